//! State machine of one query over the shards of one index version.
//!
//! It sends one subrequest to a replica of each shard, hedges slow subrequests, retries refused and lost
//! ones, restarts once at another version if targets have dropped the pinned one, and merges the hits.
//!
//! `docs/decisions/004-snapshot-and-coverage.md` and `docs/decisions/005-tail.md` give the reasons.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::hedge::HedgeController;
use super::merge::{Hit, HitMerger};
use super::replica_choice::{self, Preference};
use super::version_choice::{self, VersionChoice};
use crate::time::Moment;
use crate::version::directory::{Directory, Target, TargetKey};
use crate::version::policy::Query;
use crate::wire::{Cause, Load, Outcome, Reason, Subrequest, Version};

/// The limit on subrequests for one shard at one version, including the first one.
///
/// Services have from two to thirteen replicas; the limit bounds what one shard costs if all of them refuse.
pub const MAX_ATTEMPTS_PER_SHARD: u32 = 4;

/// The shards that a query is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// Every shard of the version.
    All,
    /// One shard: this hash of the routing key, modulo the number of shards.
    One(u64),
}

/// The parameters of one query.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The request id, unique over all nodes; targets echo it.
    pub request_id: String,
    /// The name of the index.
    pub index: String,
    /// The data centre of this node.
    pub data_centre: String,
    /// The shards that the query is sent to.
    pub selection: Selection,
    /// The policy of the query kind: coverage, hedging, idempotence and the limit on hits.
    pub policy: Query,
    /// The order in which replicas of a shard are preferred.
    pub replica_policy: replica_choice::Policy,
    /// The moment at which the caller stops waiting.
    pub deadline: Moment,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Starts the query; ignored once it runs.
    Start,
    /// A subrequest ended.
    Result {
        /// The number of the subrequest.
        subrequest: u32,
        /// The answer of the target, or the reason why there is none.
        outcome: Outcome,
        /// The load of the target once the subrequest had ended.
        load: Load,
    },
    /// The moment that [`Scatter::next_wake`] returned has come.
    Tick,
    /// The caller has disconnected.
    Cancel,
}

/// An output of the state machine, which the process carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a subrequest.
    Send {
        /// The subrequest to send.
        subrequest: Subrequest,
        /// The target, a key into the directory that was passed with the event.
        target: TargetKey,
    },
    /// Cancel a subrequest whose result is no longer needed.
    Cancel {
        /// The number of the subrequest.
        subrequest: u32,
        /// The name of the target that it was sent to.
        target: Arc<str>,
    },
    /// Reply to the caller; no action follows this one.
    Finish(Verdict),
}

/// The number of subrequests beyond the first one for each shard, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExtraSubrequests {
    /// Subrequests sent because another one was slow.
    pub hedges: u32,
    /// Subrequests sent because another one was refused or lost.
    pub retries: u32,
    /// Subrequests sent because the query restarted at another version.
    pub restarts: u32,
}

impl ExtraSubrequests {
    const fn count(&mut self, cause: Cause) {
        match cause {
            Cause::First => {}
            Cause::Hedge => self.hedges += 1,
            Cause::Retry => self.retries += 1,
            Cause::Restart => self.restarts += 1,
        }
    }
}

/// How a query ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The shards that answered reach the least coverage of the query kind.
    Answer {
        /// The version that every hit comes from.
        version: Version,
        /// The number of shards that answered.
        answered: u32,
        /// The number of shards to which the query is sent: all shards of the version, or one.
        total: u32,
        /// The best hits of these shards, best first.
        hits: Vec<Hit>,
        /// The number of subrequests sent, including extra ones.
        attempts: u32,
        /// Subrequests sent beyond the first for each shard.
        extra: ExtraSubrequests,
    },
    /// The query has no answer.
    Refusal {
        /// The reason that the caller gets.
        reason: Reason,
        /// Whether it is certain that no target started any subrequest.
        not_run: bool,
        /// The number of shards that answered.
        answered: u32,
        /// The number of shards to which the query is sent; zero if no version was known.
        total: u32,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for [`Event::Start`].
    Waiting,
    Running,
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Pending,
    Answered,
    Failed,
}

/// One shard of the pinned version.
#[derive(Debug)]
struct Shard {
    number: u32,
    progress: Progress,
    /// The numbers of the subrequests sent for this shard, in order.
    subrequests: SmallVec<[u32; 2]>,
    /// The number of subrequests without a result.
    open_subrequests: u32,
    /// Whether a target refused a subrequest because it does not hold the version.
    version_gone: bool,
    hedge_at: Moment,
}

#[derive(Debug)]
struct SentSubrequest {
    /// The index into [`Scatter::shards`].
    shard_index: usize,
    attempt: u32,
    target: Arc<str>,
    service: Arc<str>,
    sent_at: Moment,
    /// Whether a result would still count: not after a first result, a cancellation or a restart.
    open: bool,
}

/// The state of one query.
#[derive(Debug)]
pub struct Scatter {
    plan: Plan,
    tie_break_seed: u64,
    phase: Phase,
    restarted: bool,
    /// Whether a subrequest that is no longer open may have started at its target.
    may_have_run: bool,
    /// Whether a non-idempotent subrequest ended although its target may have run it without an answer.
    outcome_unknown: bool,
    version: Version,
    /// The number of shards that the query is sent to: the denominator of coverage.
    total_shards: u32,
    shards: Vec<Shard>,
    pending_shards: u32,
    answered_shards: u32,
    open_subrequests: u32,
    /// The moment at which the least coverage was reached.
    coverage_reached_at: Option<Moment>,
    /// A lower bound of [`Shard::hedge_at`] over all pending shards.
    next_hedge_at: Moment,
    subrequests: Vec<SentSubrequest>,
    extra: ExtraSubrequests,
    merger: HitMerger,
}

impl Scatter {
    /// Creates the state of a query; no subrequest is sent before [`Event::Start`].
    pub fn new(plan: Plan, _now: Moment) -> Self {
        Self {
            tie_break_seed: xxh3_64(plan.request_id.as_bytes()),
            phase: Phase::Waiting,
            restarted: false,
            may_have_run: false,
            outcome_unknown: false,
            version: Version::default(),
            total_shards: 0,
            shards: Vec::new(),
            pending_shards: 0,
            answered_shards: 0,
            open_subrequests: 0,
            coverage_reached_at: None,
            next_hedge_at: Moment::NEVER,
            subrequests: Vec::new(),
            extra: ExtraSubrequests::default(),
            merger: HitMerger::new(plan.policy.limit),
            plan,
        }
    }

    /// Returns the moment at which the next [`Event::Tick`] is due, or `None` once the query has finished.
    pub fn next_wake(&self) -> Option<Moment> {
        if self.phase == Phase::Finished {
            return None;
        }
        let straggler_deadline = self.straggler_deadline().unwrap_or(Moment::NEVER);
        Some(
            self.plan
                .deadline
                .min(straggler_deadline)
                .min(self.next_hedge_at),
        )
    }

    /// Handles one event and returns the actions to carry out; ignores events after [`Action::Finish`].
    pub fn step(
        &mut self,
        event: Event,
        now: Moment,
        directory: &Directory,
        hedge: &mut HedgeController,
    ) -> Vec<Action> {
        if self.phase == Phase::Finished {
            return Vec::new();
        }
        let mut context = StepContext {
            now,
            directory,
            hedge,
            actions: Vec::new(),
        };
        match event {
            Event::Start if self.phase == Phase::Running => {}
            Event::Start => self.start(&mut context),
            Event::Result {
                subrequest,
                outcome,
                load,
            } => self.on_result(subrequest, outcome, load, &mut context),
            Event::Tick => self.send_due_hedges(&mut context),
            Event::Cancel => {
                self.refuse(Reason::Cancelled, &mut context);
                return context.actions;
            }
        }
        if self.is_over(now) {
            self.finish(&mut context);
        }
        context.actions
    }

    fn start(&mut self, context: &mut StepContext<'_>) {
        self.phase = Phase::Running;
        if context.now >= self.plan.deadline {
            return;
        }
        if let Some(choice) = version_choice::choose(context.directory, &self.plan.index, None) {
            self.start_at_version(choice, Cause::First, context);
        }
    }

    /// Pins the query to a version and sends one subrequest for each shard.
    ///
    /// Results of subrequests for an earlier version no longer count.
    fn start_at_version(
        &mut self,
        choice: VersionChoice,
        cause: Cause,
        context: &mut StepContext<'_>,
    ) {
        self.version = choice.version;
        let shards = match self.plan.selection {
            Selection::All => 0..choice.shards,
            Selection::One(hash) => {
                let shard = (hash % u64::from(choice.shards.max(1))) as u32;
                shard..shard + 1
            }
        };
        self.total_shards = shards.end - shards.start;
        self.pending_shards = self.total_shards;
        self.answered_shards = 0;
        self.coverage_reached_at = None;
        self.merger.clear();
        self.shards.clear();
        self.shards.extend(shards.map(|number| Shard {
            number,
            progress: Progress::Pending,
            subrequests: SmallVec::new(),
            open_subrequests: 0,
            version_gone: false,
            hedge_at: Moment::NEVER,
        }));
        context.actions.reserve(self.shards.len());
        self.subrequests.reserve(self.shards.len());
        for shard_index in 0..self.shards.len() {
            if let Some(target) = self.pick_replica(shard_index, context) {
                if cause == Cause::First {
                    context.hedge.deposit(self.plan.policy.hedge_percent);
                }
                self.send(shard_index, target, cause, context);
            } else {
                self.mark_failed(shard_index);
            }
        }
    }

    /// Chooses a replica that has not been sent a subrequest for this shard.
    ///
    /// Replicas behind a stalled gateway are chosen only if there is no other.
    fn pick_replica(&self, shard_index: usize, context: &StepContext<'_>) -> Option<TargetKey> {
        let shard = &self.shards[shard_index];
        let replicas = context
            .directory
            .replicas(&self.plan.index, self.version, shard.number);
        let preference = Preference {
            policy: self.plan.replica_policy,
            data_centre: &self.plan.data_centre,
            // The seed differs between shards, so that the subrequests of one query spread over replicas.
            seed: self.tie_break_seed.wrapping_add(u64::from(shard.number)),
        };
        let already_tried = |target: &Target| {
            let same =
                |&subrequest: &u32| self.subrequests[subrequest as usize].target == target.name;
            shard.subrequests.iter().any(same)
        };
        let stalled = |target: &Target| {
            let stalls = &context.hedge.stalls;
            let gateway = target.gateway.as_ref();
            gateway.is_some_and(|gateway| stalls.is_stalled(&gateway.name, context.now))
        };
        replica_choice::pick(context.directory, replicas, preference, |target| {
            already_tried(target) || stalled(target)
        })
        // A stalled gateway may still answer, so it is better than no replica.
        .or_else(|| replica_choice::pick(context.directory, replicas, preference, already_tried))
    }

    fn send(
        &mut self,
        shard_index: usize,
        key: TargetKey,
        cause: Cause,
        context: &mut StepContext<'_>,
    ) {
        let target = context.directory.target(key);
        let number = self.subrequests.len() as u32;
        let shard = &mut self.shards[shard_index];
        // Targets identify the subrequest to cancel by request id and attempt number, so attempt numbers
        // must not repeat after a restart.
        let attempt_offset = if self.restarted {
            MAX_ATTEMPTS_PER_SHARD
        } else {
            0
        };
        let attempt = attempt_offset + shard.subrequests.len() as u32;
        shard.subrequests.push(number);
        shard.open_subrequests += 1;
        self.open_subrequests += 1;
        let idempotent = self.plan.policy.idempotent;
        assert!(
            idempotent || shard.open_subrequests == 1,
            "a shard of a non-idempotent query has more than one open subrequest"
        );
        let delay = context.hedge.delay(&target.service);
        shard.hedge_at = match delay {
            Some(delay) if idempotent => context.now + delay,
            _ => Moment::NEVER,
        };
        self.next_hedge_at = self.next_hedge_at.min(shard.hedge_at);
        self.extra.count(cause);
        self.subrequests.push(SentSubrequest {
            shard_index,
            attempt,
            target: Arc::clone(&target.name),
            service: Arc::clone(&target.service),
            sent_at: context.now,
            open: true,
        });
        let subrequest = Subrequest {
            number,
            target: target.name.to_string(),
            shard: shard.number,
            version: self.version,
            attempt,
            cause,
        };
        context.actions.push(Action::Send {
            subrequest,
            target: key,
        });
    }

    fn on_result(
        &mut self,
        number: u32,
        outcome: Outcome,
        load: Load,
        context: &mut StepContext<'_>,
    ) {
        let Some(subrequest) = self.subrequests.get_mut(number as usize) else {
            return;
        };
        context.hedge.record_load(&subrequest.service, load);
        // Ignores a duplicate result, or one that arrives after the subrequest was cancelled.
        if !subrequest.open {
            return;
        }
        subrequest.open = false;
        self.open_subrequests -= 1;
        let shard_index = subrequest.shard_index;
        self.shards[shard_index].open_subrequests -= 1;
        match self.merge_answer(number as usize, outcome, context) {
            Ok(()) => self.on_answer(shard_index, context),
            Err(reason) => self.on_failure(shard_index, number as usize, reason, context),
        }
    }

    /// Merges an answer if it echoes the request id, version, shard and attempt, and is well formed.
    fn merge_answer(
        &mut self,
        number: usize,
        outcome: Outcome,
        context: &mut StepContext<'_>,
    ) -> Result<(), Reason> {
        let subrequest = &self.subrequests[number];
        let (request, version, shard, attempt, body) = match outcome {
            Outcome::Failure(reason) => return Err(reason),
            Outcome::Answer {
                request,
                version,
                shard,
                attempt,
                body,
            } => (request, version, shard, attempt, body),
        };
        let expected = (
            self.version,
            self.shards[subrequest.shard_index].number,
            subrequest.attempt,
        );
        if request != self.plan.request_id || (version, shard, attempt) != expected {
            return Err(Reason::MismatchedAnswer);
        }
        if self.merger.add(&body).is_err() {
            return Err(Reason::TargetError);
        }
        let latency = context.now.since(subrequest.sent_at);
        context.hedge.record_latency(&subrequest.service, latency);
        Ok(())
    }

    fn on_answer(&mut self, shard_index: usize, context: &mut StepContext<'_>) {
        let shard = &mut self.shards[shard_index];
        assert_eq!(
            shard.progress,
            Progress::Pending,
            "a shard was answered twice"
        );
        shard.progress = Progress::Answered;
        self.may_have_run = true;
        self.pending_shards -= 1;
        self.answered_shards += 1;
        if shard.open_subrequests > 0 {
            let superseded = shard.subrequests.clone();
            for number in superseded {
                self.cancel(number as usize, context);
            }
        }
        if self.coverage_reached_at.is_none() && self.answered_shards >= self.needed_shards() {
            self.coverage_reached_at = Some(context.now);
        }
    }

    /// Cancels a subrequest unless its result no longer counts.
    fn cancel(&mut self, number: usize, context: &mut StepContext<'_>) {
        let subrequest = &mut self.subrequests[number];
        if !subrequest.open {
            return;
        }
        subrequest.open = false;
        self.open_subrequests -= 1;
        self.shards[subrequest.shard_index].open_subrequests -= 1;
        self.may_have_run = true;
        // The elapsed time is a lower bound of the latency. Leaving out slow subrequests that were overtaken
        // by a hedge would bias the percentile downwards; so would recording those cancelled early.
        let latency = context.now.since(subrequest.sent_at);
        if latency >= context.hedge.expected_latency(&subrequest.service) {
            context.hedge.record_latency(&subrequest.service, latency);
        }
        context.actions.push(Action::Cancel {
            subrequest: number as u32,
            target: Arc::clone(&subrequest.target),
        });
    }

    fn on_failure(
        &mut self,
        shard_index: usize,
        number: usize,
        reason: Reason,
        context: &mut StepContext<'_>,
    ) {
        let idempotent = self.plan.policy.idempotent;
        self.may_have_run |= !reason.not_run();
        self.outcome_unknown |= !reason.not_run() && !idempotent;
        let shard = &mut self.shards[shard_index];
        shard.version_gone |= reason == Reason::VersionGone;
        if shard.open_subrequests > 0 || self.outcome_unknown {
            return;
        }
        if self.may_retry(shard_index, context.now)
            && let Some(target) = self.pick_replica(shard_index, context)
            && self.charge_retry_budget(number, reason, context)
        {
            self.send(shard_index, target, Cause::Retry, context);
        } else if !self.try_restart(shard_index, number, context) {
            self.mark_failed(shard_index);
        }
    }

    fn may_retry(&self, shard_index: usize, now: Moment) -> bool {
        self.shards[shard_index].subrequests.len() < MAX_ATTEMPTS_PER_SHARD as usize
            && now < self.plan.deadline
    }

    /// Withdraws the budget for a retry; returns whether the retry may be sent.
    ///
    /// A retry after [`Reason::VersionGone`] is free: the refusal costs the target next to nothing and is no
    /// sign of load, and during a repartition most subrequests may need such a retry.
    fn charge_retry_budget(
        &self,
        number: usize,
        reason: Reason,
        context: &mut StepContext<'_>,
    ) -> bool {
        let service = &self.subrequests[number].service;
        reason == Reason::VersionGone || context.hedge.withdraw_retry(service, context.now)
    }

    fn mark_failed(&mut self, shard_index: usize) {
        let shard = &mut self.shards[shard_index];
        assert_eq!(shard.progress, Progress::Pending, "a shard ended twice");
        shard.progress = Progress::Failed;
        self.pending_shards -= 1;
    }

    /// Restarts the query, once, at another version if targets have dropped the pinned one.
    ///
    /// One refusal with [`Reason::VersionGone`] is enough once no further subrequest for the shard may be
    /// sent: the other replicas may be down while the version is being dropped.
    fn try_restart(
        &mut self,
        shard_index: usize,
        failed_subrequest: usize,
        context: &mut StepContext<'_>,
    ) -> bool {
        let index = &self.plan.index;
        let not_in_directory = context.directory.coverage(index, self.version).is_none();
        let version_unavailable = self.shards[shard_index].version_gone || not_in_directory;
        let may_repeat =
            self.plan.policy.idempotent || (!self.may_have_run && self.open_subrequests == 0);
        let expected_latency = context
            .hedge
            .expected_latency(&self.subrequests[failed_subrequest].service);
        if self.restarted
            || !version_unavailable
            || !may_repeat
            || self.coverage_reached_at.is_some()
        {
            return false;
        }
        if context.now + expected_latency > self.plan.deadline {
            return false;
        }
        let Some(choice) = version_choice::choose_other(context.directory, index, self.version)
        else {
            return false;
        };
        if !self.improves_coverage(choice) {
            return false;
        }
        self.cancel_open_subrequests(context);
        self.restarted = true;
        self.start_at_version(choice, Cause::Restart, context);
        true
    }

    /// Returns whether another version covers a larger share of its shards than the pinned one can still
    /// reach. For a query to one shard, it is enough that any shard of the other version is covered.
    fn improves_coverage(&self, choice: VersionChoice) -> bool {
        if matches!(self.plan.selection, Selection::One(_)) {
            return choice.covered_shards > 0;
        }
        // The shard that has just failed still counts as pending.
        let reachable = u64::from(self.answered_shards + self.pending_shards - 1);
        u64::from(choice.covered_shards) * u64::from(self.total_shards)
            > reachable * u64::from(choice.shards)
    }

    fn send_due_hedges(&mut self, context: &mut StepContext<'_>) {
        if context.now < self.next_hedge_at || context.now >= self.plan.deadline {
            return;
        }
        self.next_hedge_at = Moment::NEVER;
        for shard_index in 0..self.shards.len() {
            if self.shards[shard_index].progress == Progress::Pending {
                if self.shards[shard_index].hedge_at <= context.now {
                    self.send_hedge(shard_index, context);
                }
                self.next_hedge_at = self.next_hedge_at.min(self.shards[shard_index].hedge_at);
            }
        }
    }

    /// Sends a hedge for a shard, or postpones it by the hedge delay if the budget is used up.
    fn send_hedge(&mut self, shard_index: usize, context: &mut StepContext<'_>) {
        self.shards[shard_index].hedge_at = Moment::NEVER;
        if !self.may_retry(shard_index, context.now) {
            return;
        }
        let Some(target) = self.pick_replica(shard_index, context) else {
            return;
        };
        let service = &context.directory.target(target).service;
        if context.hedge.withdraw_hedge(service) {
            self.send(shard_index, target, Cause::Hedge, context);
        } else if let Some(delay) = context.hedge.delay(service) {
            self.shards[shard_index].hedge_at = context.now + delay.max(Duration::from_millis(1));
        }
    }

    /// Returns the number of shards that must answer for the least coverage; at least one.
    fn needed_shards(&self) -> u32 {
        /// Absorbs the rounding error of products such as 0.95 * 20.
        const EPSILON: f64 = 1e-9;
        let share = self.plan.policy.least_coverage.clamp(0.0, 1.0);
        ((share * f64::from(self.total_shards) - EPSILON).ceil() as u32).max(1)
    }

    /// Returns the moment at which the query stops waiting for stragglers, once it has the least coverage.
    fn straggler_deadline(&self) -> Option<Moment> {
        // Finishing early would leave a non-idempotent subrequest with an unknown outcome.
        let reached = self
            .coverage_reached_at
            .filter(|_| self.plan.policy.idempotent)?;
        Some(reached + self.plan.policy.straggler_wait)
    }

    fn is_over(&self, now: Moment) -> bool {
        let coverage_out_of_reach = self.plan.policy.idempotent
            && self.answered_shards + self.pending_shards < self.needed_shards();
        now >= self.plan.deadline
            || self.outcome_unknown
            || (self.phase == Phase::Running && (self.pending_shards == 0 || coverage_out_of_reach))
            || self.straggler_deadline().is_some_and(|end| now >= end)
    }

    fn finish(&mut self, context: &mut StepContext<'_>) {
        // The directory may have learned since the start that the version has more shards.
        if self.plan.selection == Selection::All
            && let Some(coverage) = context.directory.coverage(&self.plan.index, self.version)
        {
            self.total_shards = self.total_shards.max(coverage.shards);
        }
        assert!(
            self.answered_shards <= self.total_shards,
            "more shards answered than the version has"
        );
        let outcome_unknown =
            !self.plan.policy.idempotent && (self.outcome_unknown || self.open_subrequests > 0);
        if outcome_unknown {
            self.refuse(Reason::OutcomeUnknown, context);
        } else if self.answered_shards >= self.needed_shards() {
            self.cancel_open_subrequests(context);
            self.phase = Phase::Finished;
            context.actions.push(Action::Finish(Verdict::Answer {
                version: self.version,
                answered: self.answered_shards,
                total: self.total_shards,
                hits: self.merger.finish(),
                attempts: self.subrequests.len() as u32,
                extra: self.extra,
            }));
        } else if !self.subrequests.is_empty() {
            self.refuse(Reason::LowCoverage, context);
        } else if context.now >= self.plan.deadline {
            self.refuse(Reason::Expired, context);
        } else {
            self.refuse(Reason::NoTarget, context);
        }
    }

    fn refuse(&mut self, reason: Reason, context: &mut StepContext<'_>) {
        self.cancel_open_subrequests(context);
        self.phase = Phase::Finished;
        let not_run = !self.may_have_run;
        let reason = if reason.not_run() && !not_run {
            Reason::OutcomeUnknown
        } else {
            reason
        };
        context.actions.push(Action::Finish(Verdict::Refusal {
            reason,
            not_run,
            answered: self.answered_shards,
            total: self.total_shards,
        }));
    }

    fn cancel_open_subrequests(&mut self, context: &mut StepContext<'_>) {
        if self.open_subrequests > 0 {
            for number in 0..self.subrequests.len() {
                self.cancel(number, context);
            }
        }
        assert_eq!(
            self.open_subrequests, 0,
            "a subrequest is open after all were cancelled"
        );
    }
}

/// The inputs and outputs of one call of [`Scatter::step`].
#[derive(Debug)]
struct StepContext<'a> {
    now: Moment,
    directory: &'a Directory,
    hedge: &'a mut HedgeController,
    actions: Vec<Action>,
}
