//! What runs at one target, what waits for it, and what is refused.
//!
//! A gate is a pure state machine: it knows neither clock nor socket, and the caller carries out the
//! [`Action`]s that it returns. `docs/decisions/001-one-gateway-per-target.md` gives the reason for
//! one gate per target.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::new_key_type;
use smallvec::SmallVec;

use super::ramp::Ramp;
use crate::time::Moment;
use crate::version::policy;
use crate::wire::{Load, Reason};

new_key_type! {
    /// Identifies one job of one gate.
    pub struct JobKey;
}

/// The time after its deadline for which an abandoned job holds its slot if the target does not
/// answer. Targets stop at the deadline that the request carries, and an answer travels some
/// milliseconds.
pub const ABANDONED_DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// The longest time for which an abandoned job holds its slot. A target that neither answers nor
/// reacts to the cancellation for that long is stuck, and the slot is needed to find out whether it
/// recovers.
pub const ABANDONED_SLOT_HOLD_MAX: Duration = Duration::from_secs(2);

/// One request for the gate's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job {
    /// The caller's name for the job.
    pub key: JobKey,
    /// The moment by which the answer must be there.
    pub deadline: Moment,
    /// The place in the queue; lower numbers go first.
    pub priority: u8,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
}

/// How a dispatched job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered.
    Answered {
        /// The generation that the target reported.
        generation: Option<u64>,
    },
    /// The job certainly does not run at the target.
    Refused(Reason),
    /// The job may have run, or may still run, at the target.
    Lost(Reason),
}

/// What happens to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A job arrives.
    Offer(Job),
    /// A dispatched job ended.
    Finished {
        /// The job.
        key: JobKey,
        /// How it ended.
        result: Completion,
    },
    /// Nobody waits for the job any longer.
    Cancel(JobKey),
    /// The moment that [`Gate::wake`] named has come.
    Tick,
    /// The settings of the target changed.
    SetPolicy(policy::Target),
    /// The target reported its generation outside of an answer.
    ReportGeneration(u64),
    /// The target may have been restarted, for example because it closed all connections.
    SuspectCold,
    /// The target gets no new work; the reason answers what is queued and what arrives later.
    Close(Reason),
    /// The target gets new work again, at the earliest at the given moment, and counts as cold.
    Reopen(Moment),
}

/// What the caller of a gate must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the job to the target now.
    Dispatch(JobKey),
    /// Answer the job with the reason; it was never dispatched.
    Refuse(JobKey, Reason),
    /// Answer the dispatched job with [`Reason::Timeout`] and cancel it at the target.
    Abort(JobKey),
    /// Drop the connection of a job that was aborted or lost; its slot is free again.
    Release(JobKey),
}

/// The actions of one step, in the order in which to carry them out.
pub type Actions = SmallVec<[Action; 4]>;

/// A waiting job; the order of the fields is the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedJob {
    priority: u8,
    deadline: Moment,
    key: JobKey,
    idempotent: bool,
    /// The moment after which the job is refused rather than dispatched.
    latest_start: Moment,
}

/// A job that occupies a slot.
#[derive(Debug, Clone, Copy)]
struct RunningJob {
    key: JobKey,
    started: Moment,
    /// The deadline of a job that is waited for, or the end of the hold of an abandoned one.
    slot_until: Moment,
    idempotent: bool,
    abandoned: bool,
}

impl RunningJob {
    /// Keeps the slot occupied for a bounded time, because the target may still work on the job.
    fn abandon(&mut self, now: Moment) {
        self.abandoned = true;
        self.slot_until = (self.slot_until.max(now) + ABANDONED_DEADLINE_MARGIN)
            .min(now + ABANDONED_SLOT_HOLD_MAX);
    }
}

/// The gate of one owned target.
#[derive(Debug, Clone)]
pub struct Gate {
    policy: policy::Target,
    valid_from: Moment,
    ramp: Ramp,
    queue: BTreeSet<QueuedJob>,
    /// No queued job must start earlier.
    next_queue_expiry: Moment,
    running: SmallVec<[RunningJob; 8]>,
    closed: Option<Reason>,
}

impl Gate {
    /// Opens the gate of a target that may get work from `valid_from` on.
    pub fn open(policy: policy::Target, valid_from: Moment, now: Moment) -> Self {
        Self {
            policy,
            valid_from,
            ramp: Ramp::open(policy, now),
            queue: BTreeSet::new(),
            next_queue_expiry: Moment::NEVER,
            running: SmallVec::new(),
            closed: None,
        }
    }

    /// Handles one event; new work is dispatched only before `permit_until`.
    pub fn step(&mut self, event: Event, now: Moment, permit_until: Moment) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Offer(job) => self.offer(job, now, &mut actions),
            Event::Finished { key, result } => self.finish(key, result, now),
            Event::Cancel(key) => self.cancel(key, now, &mut actions),
            Event::Tick => {}
            Event::SetPolicy(policy) => {
                self.policy = policy;
                self.ramp.set_policy(policy, now);
            }
            Event::ReportGeneration(generation) => self.ramp.record_generation(generation, now),
            Event::SuspectCold => self.ramp.suspect_cold(now),
            Event::Close(reason) => {
                self.closed = Some(reason);
                self.refuse_queue(reason, &mut actions);
            }
            Event::Reopen(valid_from) => {
                self.closed = None;
                self.valid_from = valid_from;
                self.ramp.reset_to_cold(now);
            }
        }
        self.expire_running_jobs(now, &mut actions);
        self.dispatch(now, permit_until, &mut actions);
        self.expire_queued_jobs(now, &mut actions);
        while self.queue.len() > usize::from(self.policy.queue) {
            if let Some(lowest) = self.queue.pop_last() {
                actions.push(Action::Refuse(lowest.key, Reason::QueueFull));
            }
        }
        actions
    }

    /// Returns when the gate needs a [`Event::Tick`] at the latest, if nothing else happens.
    pub fn next_tick(&self) -> Option<Moment> {
        let running = self.running.iter().map(|running| running.slot_until).min();
        let queue = (!self.queue.is_empty()).then_some(self.next_queue_expiry);
        let start =
            (!self.queue.is_empty() && self.has_free_slot()).then(|| self.ramp.next_start());
        [running, queue, start].into_iter().flatten().min()
    }

    /// Returns the load of the target as the gate counts it.
    ///
    /// While starts are paced, the pace takes the place of the latency if it allows less, so that
    /// limit and latency show the rate that the target serves.
    pub fn load(&self) -> Load {
        let limit = self.ramp.limit();
        let pacing_delay = self.ramp.start_interval().saturating_mul(u32::from(limit));
        let latency = self.ramp.latency().max(pacing_delay);
        Load {
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            running: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            limit,
            latency_us: u32::try_from(latency.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the ramp of the target.
    pub const fn ramp(&self) -> &Ramp {
        &self.ramp
    }

    /// Returns why the gate takes no work, if it is closed.
    pub const fn closed(&self) -> Option<Reason> {
        self.closed
    }

    /// Tells whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    fn offer(&mut self, job: Job, now: Moment, actions: &mut Actions) {
        if let Some(reason) = self.closed {
            actions.push(Action::Refuse(job.key, reason));
            return;
        }
        self.ramp.observe_idle_time(self.running.len(), now);
        let remaining = now.until(job.deadline);
        let latency = self.ramp.fresh_latency(now);
        // A job that waits needs a margin over the mean. Otherwise an overloaded queue, whose head
        // is always the job nearest to its deadline, spends the slots on jobs that time out; with an
        // unknown latency, no answer would ever make it known.
        let reserved = latency.map_or(remaining / 2, |latency| latency * 2);
        let queued = QueuedJob {
            priority: job.priority,
            deadline: job.deadline,
            key: job.key,
            idempotent: job.idempotent,
            latest_start: (job.deadline - reserved).max(now),
        };
        let wait = self.expected_wait(&queued, now);
        if remaining <= latency.unwrap_or_default() || now + wait > queued.latest_start {
            actions.push(Action::Refuse(job.key, Reason::Expired));
            return;
        }
        self.next_queue_expiry = self.next_queue_expiry.min(queued.latest_start);
        let inserted = self.queue.insert(queued);
        debug_assert!(inserted, "a job key is offered once");
    }

    /// Estimates the time until the start of a job if it is queued now.
    fn expected_wait(&self, job: &QueuedJob, now: Moment) -> Duration {
        let jobs_ahead = u32::try_from(self.queue.range(..job).count()).unwrap_or(u32::MAX);
        let pacing_delay = now.until(self.ramp.next_start())
            + self.ramp.start_interval().saturating_mul(jobs_ahead);
        let limit = u32::from(self.ramp.limit().max(1));
        let free_slots =
            limit.saturating_sub(u32::try_from(self.running.len()).unwrap_or(u32::MAX));
        let rounds = if jobs_ahead < free_slots {
            0
        } else {
            (jobs_ahead - free_slots) / limit + 1
        };
        let latency = self.ramp.fresh_latency(now).unwrap_or_default();
        pacing_delay.max(latency.saturating_mul(rounds))
    }

    fn finish(&mut self, key: JobKey, result: Completion, now: Moment) {
        let Some(index) = self.running.iter().position(|running| running.key == key) else {
            // The slot was already released; the answer comes too late to say anything new.
            return;
        };
        let started = self.running[index].started;
        match result {
            Completion::Answered { generation } => {
                self.running.swap_remove(index);
                self.ramp.record_answer(started, generation, now);
            }
            Completion::Refused(reason) => {
                self.running.swap_remove(index);
                self.ramp.record_refusal(reason, started, now);
            }
            Completion::Lost(reason @ (Reason::TargetError | Reason::MismatchedAnswer)) => {
                // The target answered, so it no longer works on the job. An error is the usual
                // answer to a cancelled search.
                if !self.running.swap_remove(index).abandoned {
                    self.ramp.record_loss(reason, started, now);
                }
            }
            Completion::Lost(reason) => {
                let running = &mut self.running[index];
                if !running.abandoned {
                    running.abandon(now);
                }
                self.ramp.record_loss(reason, started, now);
            }
        }
    }

    fn cancel(&mut self, key: JobKey, now: Moment, actions: &mut Actions) {
        if let Some(queued) = self.queue.iter().find(|queued| queued.key == key).copied() {
            self.queue.remove(&queued);
            actions.push(Action::Refuse(key, Reason::Cancelled));
            return;
        }
        let running = self.running.iter_mut().find(|running| running.key == key);
        // Non-idempotent work that has started is left to finish, because cancelling it would make
        // an outcome unknown that the at-most-once table can still learn.
        if let Some(running) = running.filter(|running| running.idempotent && !running.abandoned) {
            running.abandon(now);
            actions.push(Action::Abort(key));
        }
    }

    /// Aborts running jobs whose deadline has passed and frees slots whose hold has ended.
    fn expire_running_jobs(&mut self, now: Moment, actions: &mut Actions) {
        let ramp = &mut self.ramp;
        self.running.retain(|running| {
            if running.slot_until > now {
                return true;
            }
            if running.abandoned {
                actions.push(Action::Release(running.key));
                return false;
            }
            running.abandon(now);
            ramp.record_loss(Reason::Timeout, running.started, now);
            actions.push(Action::Abort(running.key));
            true
        });
    }

    /// Refuses queued jobs that must have started by now, while a replica may still answer in time.
    fn expire_queued_jobs(&mut self, now: Moment, actions: &mut Actions) {
        if now < self.next_queue_expiry {
            return;
        }
        self.next_queue_expiry = Moment::NEVER;
        let next_expiry = &mut self.next_queue_expiry;
        self.queue.retain(|queued| {
            if queued.latest_start > now {
                *next_expiry = (*next_expiry).min(queued.latest_start);
                return true;
            }
            actions.push(Action::Refuse(queued.key, Reason::Expired));
            false
        });
    }

    fn dispatch(&mut self, now: Moment, permit_until: Moment, actions: &mut Actions) {
        if now >= permit_until || now < self.valid_from {
            // A replica may have a gateway that may dispatch, so waiting for a permit costs time.
            self.refuse_queue(Reason::NoPermit, actions);
            return;
        }
        while self.has_free_slot() && self.ramp.next_start() <= now {
            let Some(job) = self.queue.pop_first() else {
                return;
            };
            let latency = self.ramp.fresh_latency(now).unwrap_or_default();
            if job.latest_start < now || now + latency >= job.deadline {
                actions.push(Action::Refuse(job.key, Reason::Expired));
                continue;
            }
            self.ramp.record_start(now);
            self.running.push(RunningJob {
                key: job.key,
                started: now,
                slot_until: job.deadline,
                idempotent: job.idempotent,
                abandoned: false,
            });
            assert!(
                self.running.len() <= usize::from(self.policy.slots),
                "more jobs run than the target has slots"
            );
            actions.push(Action::Dispatch(job.key));
        }
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.ramp.limit().min(self.policy.slots))
    }

    fn refuse_queue(&mut self, reason: Reason, actions: &mut Actions) {
        while let Some(queued) = self.queue.pop_first() {
            actions.push(Action::Refuse(queued.key, reason));
        }
        self.next_queue_expiry = Moment::NEVER;
    }
}
