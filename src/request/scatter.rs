//! Runs one query over the shards of one version: subrequests, hedges, retries, restart and finish.
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

/// Subrequests for one shard at one version, counting the first one.
///
/// Services have from two to thirteen replicas; four subrequests bound what one shard costs if all refuse.
pub const MAX_ATTEMPTS_PER_SHARD: u32 = 4;

/// Which shards a query consults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// Every shard.
    All,
    /// The shard on which this hash of the routing key falls.
    One(u64),
}

/// What a query needs to run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The request id, unique over all nodes; targets echo it.
    pub request_id: String,
    /// The name of the index.
    pub index: String,
    /// The data centre of this node.
    pub data_centre: String,
    /// Which shards are consulted.
    pub selection: Selection,
    /// How the query kind is answered.
    pub policy: Query,
    /// How replicas are ordered.
    pub replica_policy: replica_choice::Policy,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

/// What happens to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The query begins.
    Start,
    /// A subrequest ended.
    Result {
        /// The number of the subrequest.
        subrequest: u32,
        /// What became of it.
        outcome: Outcome,
        /// The load of its target after it.
        load: Load,
    },
    /// The moment given by [`Scatter::next_wake`] has come.
    Tick,
    /// The caller is gone.
    Cancel,
}

/// What the process must do for a query.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a subrequest to a target of the directory that was passed with the event.
    Send {
        /// The subrequest.
        subrequest: Subrequest,
        /// Its target.
        target: TargetKey,
    },
    /// Tell a target that a subrequest is no longer needed.
    Cancel {
        /// The number of the subrequest.
        subrequest: u32,
        /// The name of its target.
        target: Arc<str>,
    },
    /// Reply to the caller; nothing follows.
    Finish(Verdict),
}

/// Extra subrequests by cause.
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
    /// Enough shards answered.
    Answer {
        /// The version that every hit comes from.
        version: Version,
        /// Shards that answered.
        answered: u32,
        /// Shards in the map of the version.
        total: u32,
        /// The best hits.
        hits: Vec<Hit>,
        /// Subrequests sent in all.
        attempts: u32,
        /// Subrequests sent beyond the first for each shard.
        extra: ExtraSubrequests,
    },
    /// The query has no answer.
    Refusal {
        /// Why.
        reason: Reason,
        /// Whether certainly no target started any subrequest.
        not_run: bool,
        /// Shards that answered.
        answered: u32,
        /// Shards in the map of the version; zero if no version was known.
        total: u32,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Before [`Event::Start`].
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
    /// The subrequests of this shard, by number.
    subrequests: SmallVec<[u32; 2]>,
    /// Subrequests that have not ended.
    open: u32,
    /// Whether some target refused because it does not hold the version.
    gone: bool,
    hedge_at: Moment,
}

#[derive(Debug)]
struct Sent {
    /// The position of the shard in [`Scatter::shards`].
    shard: usize,
    attempt: u32,
    target: Arc<str>,
    service: Arc<str>,
    at: Moment,
    /// Whether the subrequest can still count; it is closed by its result, by a cancellation or by a restart.
    open: bool,
}

/// A running query.
#[derive(Debug)]
pub struct Scatter {
    plan: Plan,
    seed: u64,
    phase: Phase,
    restarted: bool,
    /// Whether some subrequest may have started at a target, apart from the open ones.
    may_have_run: bool,
    /// Whether a non-idempotent subrequest ended without a known outcome.
    unknown: bool,
    version: Version,
    /// The denominator of coverage.
    total: u32,
    shards: Vec<Shard>,
    pending: u32,
    answered: u32,
    open: u32,
    /// When the least coverage was reached.
    reached: Option<Moment>,
    /// No hedge is due before this moment.
    hedge_at: Moment,
    subrequests: Vec<Sent>,
    extra: ExtraSubrequests,
    merge: HitMerger,
}

impl Scatter {
    /// Opens a query; nothing is sent before [`Event::Start`].
    pub fn new(plan: Plan, _now: Moment) -> Self {
        Self {
            seed: xxh3_64(plan.request_id.as_bytes()),
            phase: Phase::Waiting,
            restarted: false,
            may_have_run: false,
            unknown: false,
            version: Version::default(),
            total: 0,
            shards: Vec::new(),
            pending: 0,
            answered: 0,
            open: 0,
            reached: None,
            hedge_at: Moment::NEVER,
            subrequests: Vec::new(),
            extra: ExtraSubrequests::default(),
            merge: HitMerger::new(plan.policy.limit),
            plan,
        }
    }

    /// Returns when the query wants a [`Event::Tick`], or nothing once it has finished.
    pub fn next_wake(&self) -> Option<Moment> {
        if self.phase == Phase::Finished {
            return None;
        }
        let straggler = self.straggler_end().unwrap_or(Moment::NEVER);
        Some(self.plan.deadline.min(straggler).min(self.hedge_at))
    }

    /// Handles one event; after [`Action::Finish`] every event is ignored.
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
        let mut step = Step {
            now,
            directory,
            hedge,
            actions: Vec::new(),
        };
        match event {
            Event::Start if self.phase == Phase::Running => {}
            Event::Start => self.start(&mut step),
            Event::Result {
                subrequest,
                outcome,
                load,
            } => self.result(subrequest, outcome, load, &mut step),
            Event::Tick => self.send_hedges(&mut step),
            Event::Cancel => {
                self.refuse(Reason::Cancelled, &mut step);
                return step.actions;
            }
        }
        if self.is_over(now) {
            self.conclude(&mut step);
        }
        step.actions
    }

    fn start(&mut self, step: &mut Step<'_>) {
        self.phase = Phase::Running;
        if step.now >= self.plan.deadline {
            return;
        }
        if let Some(choice) = version_choice::choose(step.directory, &self.plan.index, None) {
            self.pin(choice, Cause::First, step);
        }
    }

    /// Begins a round of subrequests at a version; the subrequests of an earlier round no longer count.
    fn pin(&mut self, choice: VersionChoice, cause: Cause, step: &mut Step<'_>) {
        self.version = choice.version;
        let shards = match self.plan.selection {
            Selection::All => 0..choice.shards,
            Selection::One(hash) => {
                let shard = (hash % u64::from(choice.shards.max(1))) as u32;
                shard..shard + 1
            }
        };
        self.total = shards.end - shards.start;
        self.pending = self.total;
        self.answered = 0;
        self.reached = None;
        self.merge.clear();
        self.shards.clear();
        self.shards.extend(shards.map(|number| Shard {
            number,
            progress: Progress::Pending,
            subrequests: SmallVec::new(),
            open: 0,
            gone: false,
            hedge_at: Moment::NEVER,
        }));
        step.actions.reserve(self.shards.len());
        self.subrequests.reserve(self.shards.len());
        for shard in 0..self.shards.len() {
            if let Some(target) = self.pick(shard, step) {
                if cause == Cause::First {
                    step.hedge.deposit(self.plan.policy.hedge_percent);
                }
                self.send(shard, target, cause, step);
            } else {
                self.give_up(shard);
            }
        }
    }

    /// Chooses a replica that the shard has not asked yet.
    fn pick(&self, shard: usize, step: &Step<'_>) -> Option<TargetKey> {
        let shard = &self.shards[shard];
        let replicas = step
            .directory
            .replicas(&self.plan.index, self.version, shard.number);
        let preference = Preference {
            policy: self.plan.replica_policy,
            data_centre: &self.plan.data_centre,
            // Each shard breaks ties in its own way, so that one query spreads over replicas.
            seed: self.seed.wrapping_add(u64::from(shard.number)),
        };
        let asked = |target: &Target| {
            let same =
                |&subrequest: &u32| self.subrequests[subrequest as usize].target == target.name;
            shard.subrequests.iter().any(same)
        };
        let stalled = |target: &Target| {
            let stalls = &step.hedge.stalls;
            let gateway = target.gateway.as_ref();
            gateway.is_some_and(|gateway| stalls.is_stalled(&gateway.name, step.now))
        };
        replica_choice::pick(step.directory, replicas, preference, |target| {
            asked(target) || stalled(target)
        })
        // A silent gateway is better than none.
        .or_else(|| replica_choice::pick(step.directory, replicas, preference, asked))
    }

    fn send(&mut self, at: usize, key: TargetKey, cause: Cause, step: &mut Step<'_>) {
        let target = step.directory.target(key);
        let number = self.subrequests.len() as u32;
        let shard = &mut self.shards[at];
        // Targets cancel by request and attempt, so a restart must not repeat an attempt number.
        let round = if self.restarted {
            MAX_ATTEMPTS_PER_SHARD
        } else {
            0
        };
        let attempt = round + shard.subrequests.len() as u32;
        shard.subrequests.push(number);
        shard.open += 1;
        self.open += 1;
        let idempotent = self.plan.policy.idempotent;
        assert!(
            idempotent || shard.open == 1,
            "a non-idempotent shard has one subrequest at a time"
        );
        let delay = step.hedge.delay(&target.service);
        shard.hedge_at = match delay {
            Some(delay) if idempotent => step.now + delay,
            _ => Moment::NEVER,
        };
        self.hedge_at = self.hedge_at.min(shard.hedge_at);
        self.extra.count(cause);
        self.subrequests.push(Sent {
            shard: at,
            attempt,
            target: Arc::clone(&target.name),
            service: Arc::clone(&target.service),
            at: step.now,
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
        step.actions.push(Action::Send {
            subrequest,
            target: key,
        });
    }

    fn result(&mut self, number: u32, outcome: Outcome, load: Load, step: &mut Step<'_>) {
        let Some(subrequest) = self.subrequests.get_mut(number as usize) else {
            return;
        };
        step.hedge.record_load(&subrequest.service, load);
        // A result that comes twice, or after its subrequest was cancelled, never counts.
        if !subrequest.open {
            return;
        }
        subrequest.open = false;
        self.open -= 1;
        let at = subrequest.shard;
        self.shards[at].open -= 1;
        match self.check(number as usize, outcome, step) {
            Ok(()) => self.answer(at, step),
            Err(reason) => self.fail(at, number as usize, reason, step),
        }
    }

    /// Merges the answer of a subrequest if it belongs to exactly this subrequest and is well formed.
    fn check(&mut self, at: usize, outcome: Outcome, step: &mut Step<'_>) -> Result<(), Reason> {
        let subrequest = &self.subrequests[at];
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
            self.shards[subrequest.shard].number,
            subrequest.attempt,
        );
        if request != self.plan.request_id || (version, shard, attempt) != expected {
            return Err(Reason::MismatchedAnswer);
        }
        if self.merge.add(&body).is_err() {
            return Err(Reason::TargetError);
        }
        let latency = step.now.since(subrequest.at);
        step.hedge.record_latency(&subrequest.service, latency);
        Ok(())
    }

    fn answer(&mut self, at: usize, step: &mut Step<'_>) {
        let shard = &mut self.shards[at];
        assert_eq!(shard.progress, Progress::Pending, "a shard counts once");
        shard.progress = Progress::Answered;
        self.may_have_run = true;
        self.pending -= 1;
        self.answered += 1;
        if shard.open > 0 {
            let losers = shard.subrequests.clone();
            for number in losers {
                self.cancel(number as usize, step);
            }
        }
        if self.reached.is_none() && self.answered >= self.needed() {
            self.reached = Some(step.now);
        }
    }

    /// Cancels a subrequest if it is open.
    fn cancel(&mut self, number: usize, step: &mut Step<'_>) {
        let subrequest = &mut self.subrequests[number];
        if !subrequest.open {
            return;
        }
        subrequest.open = false;
        self.open -= 1;
        self.shards[subrequest.shard].open -= 1;
        self.may_have_run = true;
        // The subrequest takes at least this long. Leaving out the slow subrequests that lost to a hedge
        // would bias the percentile downwards, and so would counting a subrequest that was cancelled early.
        let latency = step.now.since(subrequest.at);
        if latency >= step.hedge.expected_latency(&subrequest.service) {
            step.hedge.record_latency(&subrequest.service, latency);
        }
        step.actions.push(Action::Cancel {
            subrequest: number as u32,
            target: Arc::clone(&subrequest.target),
        });
    }

    fn fail(&mut self, at: usize, number: usize, reason: Reason, step: &mut Step<'_>) {
        let idempotent = self.plan.policy.idempotent;
        self.may_have_run |= !reason.not_run();
        self.unknown |= !reason.not_run() && !idempotent;
        let shard = &mut self.shards[at];
        shard.gone |= reason == Reason::VersionGone;
        if shard.open > 0 || self.unknown {
            return;
        }
        if self.may_retry(at, step.now)
            && let Some(target) = self.pick(at, step)
            && self.pay_retry(number, reason, step)
        {
            self.send(at, target, Cause::Retry, step);
        } else if !self.restart(at, number, step) {
            self.give_up(at);
        }
    }

    fn may_retry(&self, at: usize, now: Moment) -> bool {
        self.shards[at].subrequests.len() < MAX_ATTEMPTS_PER_SHARD as usize
            && now < self.plan.deadline
    }

    /// Takes the budget for a retry.
    ///
    /// A missing version is not a sign of load and costs the target next to nothing, and during a
    /// repartition most subrequests may need a retry for this reason; it is not charged.
    fn pay_retry(&self, number: usize, reason: Reason, step: &mut Step<'_>) -> bool {
        let service = &self.subrequests[number].service;
        reason == Reason::VersionGone || step.hedge.withdraw_retry(service, step.now)
    }

    fn give_up(&mut self, at: usize) {
        let shard = &mut self.shards[at];
        assert_eq!(shard.progress, Progress::Pending, "a shard ends once");
        shard.progress = Progress::Failed;
        self.pending -= 1;
    }

    /// Restarts the query once at another version, if targets no longer hold the pinned one.
    ///
    /// One such refusal is enough once no replica of the shard is left to ask: the others may be down
    /// while the version is being dropped.
    fn restart(&mut self, at: usize, number: usize, step: &mut Step<'_>) -> bool {
        let index = &self.plan.index;
        let dropped = step.directory.coverage(index, self.version).is_none();
        let gone = self.shards[at].gone || dropped;
        let safe = self.plan.policy.idempotent || (!self.may_have_run && self.open == 0);
        let time = step
            .hedge
            .expected_latency(&self.subrequests[number].service);
        if self.restarted || !gone || !safe || self.reached.is_some() {
            return false;
        }
        if step.now + time > self.plan.deadline {
            return false;
        }
        let Some(choice) = version_choice::choose_other(step.directory, index, self.version) else {
            return false;
        };
        if !self.improves(choice) {
            return false;
        }
        self.cancel_all(step);
        self.restarted = true;
        self.pin(choice, Cause::Restart, step);
        true
    }

    /// Tells whether another version promises a larger share than the pinned one can still reach.
    fn improves(&self, choice: VersionChoice) -> bool {
        if matches!(self.plan.selection, Selection::One(_)) {
            return choice.covered_shards > 0;
        }
        // The shard that failed is still counted as pending.
        let reachable = u64::from(self.answered + self.pending - 1);
        u64::from(choice.covered_shards) * u64::from(self.total)
            > reachable * u64::from(choice.shards)
    }

    fn send_hedges(&mut self, step: &mut Step<'_>) {
        if step.now < self.hedge_at || step.now >= self.plan.deadline {
            return;
        }
        self.hedge_at = Moment::NEVER;
        for at in 0..self.shards.len() {
            if self.shards[at].progress == Progress::Pending {
                if self.shards[at].hedge_at <= step.now {
                    self.send_hedge(at, step);
                }
                self.hedge_at = self.hedge_at.min(self.shards[at].hedge_at);
            }
        }
    }

    /// Sends a hedge for a shard, or sets the time of the next try if the budget is used up.
    fn send_hedge(&mut self, at: usize, step: &mut Step<'_>) {
        self.shards[at].hedge_at = Moment::NEVER;
        if !self.may_retry(at, step.now) {
            return;
        }
        let Some(target) = self.pick(at, step) else {
            return;
        };
        let service = &step.directory.target(target).service;
        if step.hedge.withdraw_hedge(service) {
            self.send(at, target, Cause::Hedge, step);
        } else if let Some(delay) = step.hedge.delay(service) {
            self.shards[at].hedge_at = step.now + delay.max(Duration::from_millis(1));
        }
    }

    /// Returns how many shards must answer; an answer needs at least one shard.
    fn needed(&self) -> u32 {
        /// Absorbs rounding in shares such as 0.95 of 20.
        const EPSILON: f64 = 1e-9;
        let share = self.plan.policy.least_coverage.clamp(0.0, 1.0);
        ((share * f64::from(self.total) - EPSILON).ceil() as u32).max(1)
    }

    /// Returns when the query stops waiting for the last shards.
    fn straggler_end(&self) -> Option<Moment> {
        // Finishing early would leave a non-idempotent subrequest with an unknown outcome.
        let reached = self.reached.filter(|_| self.plan.policy.idempotent)?;
        Some(reached + self.plan.policy.straggler_wait)
    }

    fn is_over(&self, now: Moment) -> bool {
        let hopeless = self.plan.policy.idempotent && self.answered + self.pending < self.needed();
        now >= self.plan.deadline
            || self.unknown
            || (self.phase == Phase::Running && (self.pending == 0 || hopeless))
            || self.straggler_end().is_some_and(|end| now >= end)
    }

    fn conclude(&mut self, step: &mut Step<'_>) {
        // The directory may have learned meanwhile that the version has more shards.
        if self.plan.selection == Selection::All
            && let Some(coverage) = step.directory.coverage(&self.plan.index, self.version)
        {
            self.total = self.total.max(coverage.shards);
        }
        assert!(self.answered <= self.total, "coverage is at most one");
        let unknown = !self.plan.policy.idempotent && (self.unknown || self.open > 0);
        if unknown {
            self.refuse(Reason::OutcomeUnknown, step);
        } else if self.answered >= self.needed() {
            self.cancel_all(step);
            self.phase = Phase::Finished;
            step.actions.push(Action::Finish(Verdict::Answer {
                version: self.version,
                answered: self.answered,
                total: self.total,
                hits: self.merge.finish(),
                attempts: self.subrequests.len() as u32,
                extra: self.extra,
            }));
        } else if !self.subrequests.is_empty() {
            self.refuse(Reason::LowCoverage, step);
        } else if step.now >= self.plan.deadline {
            self.refuse(Reason::Expired, step);
        } else {
            self.refuse(Reason::NoTarget, step);
        }
    }

    fn refuse(&mut self, reason: Reason, step: &mut Step<'_>) {
        self.cancel_all(step);
        self.phase = Phase::Finished;
        let not_run = !self.may_have_run;
        let reason = if reason.not_run() && !not_run {
            Reason::OutcomeUnknown
        } else {
            reason
        };
        step.actions.push(Action::Finish(Verdict::Refusal {
            reason,
            not_run,
            answered: self.answered,
            total: self.total,
        }));
    }

    fn cancel_all(&mut self, step: &mut Step<'_>) {
        if self.open > 0 {
            for number in 0..self.subrequests.len() {
                self.cancel(number, step);
            }
        }
        assert_eq!(self.open, 0, "no subrequest outlives its round");
    }
}

/// What one step works with.
#[derive(Debug)]
struct Step<'a> {
    now: Moment,
    directory: &'a Directory,
    hedge: &'a mut HedgeController,
    actions: Vec<Action>,
}
