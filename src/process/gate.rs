//! Admission control for one target: decides which jobs are dispatched, queued or refused.
//!
//! A gate is a state machine without input or output: the time is passed in, and the code that uses the gate
//! carries out the [`Action`]s that it returns. `docs/decisions/001-one-gateway-per-target.md` gives the
//! reason for one gate per target.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::new_key_type;
use smallvec::SmallVec;

use super::ramp::Ramp;
use crate::time::Moment;
use crate::version::policy;
use crate::wire::{Load, Reason};

new_key_type! {
    /// Identifies a job within its gate.
    pub struct JobKey;
}

/// How long after its deadline an abandoned job occupies its slot if the target does not answer. Targets stop
/// at the deadline that the request carries, and an answer takes a few milliseconds to arrive.
pub const ABANDONED_DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Maximum time for which an abandoned job occupies its slot. A target that neither answers nor reacts to the
/// cancellation for that long is stuck, and the slot is needed to find out whether it recovers.
pub const ABANDONED_SLOT_HOLD_MAX: Duration = Duration::from_secs(2);

/// A request to the target, as the gate sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job {
    /// The key of the job, unique within the gate.
    pub key: JobKey,
    /// The moment by which the answer must have arrived.
    pub deadline: Moment,
    /// The priority in the queue; lower numbers are dispatched first.
    pub priority: u8,
    /// Whether the job may be run more than once.
    pub idempotent: bool,
}

/// How a dispatched job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered with a result.
    Answered {
        /// The generation that the target reported, if the answer had one.
        generation: Option<u64>,
    },
    /// The job did not run at the target and will not, for this reason.
    Refused(Reason),
    /// No usable answer arrived, for this reason. The job may have run at the target, or may still run.
    Lost(Reason),
}

/// An input to the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A job arrives and is to be dispatched, queued or refused.
    Offer(Job),
    /// A dispatched job ended.
    Finished {
        /// The key of the job that ended.
        key: JobKey,
        /// How the job ended.
        result: Completion,
    },
    /// Nobody waits for the result of the job any longer.
    Cancel(JobKey),
    /// The moment that [`Gate::next_tick`] returned has come.
    Tick,
    /// The limits on the load of the target changed.
    SetPolicy(policy::Target),
    /// The target reported its generation outside of an answer.
    ReportGeneration(u64),
    /// The target may have been restarted and be cold, for example because it closed connections.
    SuspectCold,
    /// Stop dispatching. Queued jobs and jobs that arrive later are refused with this reason.
    Close(Reason),
    /// Dispatch again from the given moment on. The target counts as cold.
    Reopen(Moment),
}

/// An instruction to the code that uses the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the job to the target now.
    Dispatch(JobKey),
    /// Answer the job with the reason. It was never dispatched.
    Refuse(JobKey, Reason),
    /// Answer the dispatched job with [`Reason::Timeout`] and cancel it at the target.
    Abort(JobKey),
    /// Drop the connection of a job that was aborted or lost. Its slot is free again.
    Release(JobKey),
}

/// The actions that one step returns, in the order in which they must be carried out.
pub type Actions = SmallVec<[Action; 4]>;

/// A job in the queue. The order of the fields determines the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedJob {
    priority: u8,
    deadline: Moment,
    key: JobKey,
    idempotent: bool,
    /// The moment after which the job is refused instead of dispatched.
    latest_start: Moment,
}

/// A job that occupies a slot.
#[derive(Debug, Clone, Copy)]
struct RunningJob {
    key: JobKey,
    started: Moment,
    /// The deadline of the job, or, if the job was abandoned, the moment at which its slot becomes free.
    slot_until: Moment,
    idempotent: bool,
    /// Whether the job was answered although the target may still run it.
    abandoned: bool,
}

impl RunningJob {
    /// Marks the job as abandoned. Its slot stays occupied for a limited time, because the target may still
    /// run the job.
    fn abandon(&mut self, now: Moment) {
        self.abandoned = true;
        self.slot_until = (self.slot_until.max(now) + ABANDONED_DEADLINE_MARGIN)
            .min(now + ABANDONED_SLOT_HOLD_MAX);
    }
}

/// The admission control of one owned target.
#[derive(Debug, Clone)]
pub struct Gate {
    policy: policy::Target,
    valid_from: Moment,
    ramp: Ramp,
    queue: BTreeSet<QueuedJob>,
    /// A lower bound of `latest_start` of all queued jobs; [`Moment::NEVER`] if none has been queued since
    /// the last update.
    next_queue_expiry: Moment,
    running: SmallVec<[RunningJob; 8]>,
    /// The reason with which new jobs are refused; `None` while the gate is open.
    closed: Option<Reason>,
}

impl Gate {
    /// Returns the gate of a cold target to which jobs may be dispatched from `valid_from` on.
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

    /// Handles an event and returns the resulting actions. Jobs are dispatched only before `permit_until`.
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
            if let Some(last) = self.queue.pop_last() {
                actions.push(Action::Refuse(last.key, Reason::QueueFull));
            }
        }
        actions
    }

    /// Returns the moment at which an [`Event::Tick`] is due, unless another event comes first.
    pub fn next_tick(&self) -> Option<Moment> {
        let running = self.running.iter().map(|running| running.slot_until).min();
        let queue = (!self.queue.is_empty()).then_some(self.next_queue_expiry);
        let start =
            (!self.queue.is_empty() && self.has_free_slot()).then(|| self.ramp.next_start());
        [running, queue, start].into_iter().flatten().min()
    }

    /// Returns the load of the target as seen by this gate.
    ///
    /// While starts are paced, the latency is at least the time that pacing needs for as many starts as the
    /// limit, so that the limit divided by the latency is never above the rate at which jobs are started.
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

    /// Returns the ramp, which limits the load during a cold start.
    pub const fn ramp(&self) -> &Ramp {
        &self.ramp
    }

    /// Returns the reason with which new jobs are refused, or `None` while the gate is open.
    pub const fn closed(&self) -> Option<Reason> {
        self.closed
    }

    /// Returns whether no job is queued and no slot is occupied.
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
        // A queued job reserves twice the mean latency. With less, an overloaded queue, whose first job is
        // the one of the highest priority that is nearest to its deadline, would spend the slots on jobs that
        // time out, and an unknown latency would stay unknown for lack of answers. While it is unknown, half
        // of the remaining time is reserved.
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

    /// Estimates how long a job would wait for its start if it were queued now: the longer of the wait for
    /// pacing and the wait for a free slot. Both pass at the same time, so they are not added.
    ///
    /// An unknown latency counts as zero, so that only pacing then adds to the wait.
    fn expected_wait(&self, job: &QueuedJob, now: Moment) -> Duration {
        let jobs_ahead = u32::try_from(self.queue.range(..job).count()).unwrap_or(u32::MAX);
        let pacing_delay = now.until(self.ramp.next_start())
            + self.ramp.start_interval().saturating_mul(jobs_ahead);
        let limit = u32::from(self.ramp.limit().max(1));
        let free_slots =
            limit.saturating_sub(u32::try_from(self.running.len()).unwrap_or(u32::MAX));
        let slot_turnovers = if jobs_ahead < free_slots {
            0
        } else {
            (jobs_ahead - free_slots) / limit + 1
        };
        let latency = self.ramp.fresh_latency(now).unwrap_or_default();
        pacing_delay.max(latency.saturating_mul(slot_turnovers))
    }

    fn finish(&mut self, key: JobKey, result: Completion, now: Moment) {
        let Some(index) = self.running.iter().position(|running| running.key == key) else {
            // The slot was released before; the result is too late to say anything about the target.
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
                // The target answered, so it no longer runs the job. An error is the usual answer to a
                // cancelled search and therefore no sign of a fault.
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
        // A running non-idempotent job is not cancelled. Cancelling would make its outcome unknown, while the
        // at-most-once table can still record the outcome if the job finishes.
        if let Some(running) = running.filter(|running| running.idempotent && !running.abandoned) {
            running.abandon(now);
            actions.push(Action::Abort(key));
        }
    }

    /// Aborts running jobs whose deadline has passed, and frees the slots of abandoned jobs whose time is
    /// over.
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

    /// Refuses queued jobs that are past their latest start, while a replica may still answer in time.
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
            // Queued jobs are refused at once, because the gateway of a replica may be allowed to dispatch
            // them.
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
                "more jobs are running than the target has slots"
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
