//! Runs one request over the services of its route: one subrequest for each, hedges, retries, and the end.
//!
//! A request for a single target is a fan-out to one service. The decisions use no clock and no socket;
//! `docs/decisions/008-platform.md` gives the reasons.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::record;
use super::reply::{self, Answer, Outcome, Reason, Verdict};
use crate::process::placement::{Placement, Sign};
use crate::process::registry::TargetKey;
use crate::time::Moment;
use crate::version::route::{Destination, Kind, Route, Table};
use crate::wire::Cause;

/// How long before the latency objective an incomplete answer leaves, so that it arrives in time.
///
/// The caller counts its handshake, its request and the answer, up to 4 ms each way between neighbouring
/// data centres, and this node shares a core: at 20 ms, 26 of 1,540 answers came just too late.
pub const REPLY_MARGIN: Duration = Duration::from_millis(26);
/// Subrequests of one shard at most, counting those that were refused.
pub const MAX_SUBREQUESTS_PER_SHARD: usize = 6;
/// The pause of a shard whose targets are all busy or have refused it.
const PAUSE: Duration = Duration::from_millis(10);
/// The same once the request is late, so that it takes room that requests in time leave.
const PAUSE_LATE: Duration = Duration::from_millis(60);
/// The part of the latency objective for which a request waits for room before its first subrequest. Another
/// node may have room, and its caller still has time to go there.
const ROOM_SHARE: u32 = 4;
/// When a hedge for which there was no budget or no target is tried again.
const HEDGE_AGAIN: Duration = Duration::from_millis(40);
/// When a caller should come back to a service that has no target. Targets that register again do so
/// within about two seconds, and most callers come back once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(800);
/// When a caller should come back to targets that are full.
const RETRY_AFTER_SHED: Duration = Duration::from_millis(100);

/// What a request needs to run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The version that was in force when the request arrived.
    pub table: Arc<Table>,
    /// The route.
    pub route: Arc<Route>,
    /// The services that are asked.
    pub services: Vec<Arc<str>>,
    /// When the caller sent the request.
    pub sent_at: Moment,
    /// When the final answer is due.
    pub deadline: Moment,
    /// How long a subrequest usually takes.
    pub expected_latency: Duration,
    /// After which time a subrequest is hedged.
    pub hedge_delay: Duration,
}

/// What happens to a request.
#[derive(Debug, Clone)]
pub enum Event {
    /// The request begins.
    Start,
    /// A subrequest ended.
    Result {
        /// The number of the subrequest.
        subrequest: usize,
        /// How it ended.
        outcome: Outcome,
    },
    /// The moment that [`Fanout::next_wake`] named has come.
    Tick,
}

/// What the process must do for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a subrequest.
    Send {
        /// The number of the subrequest.
        subrequest: usize,
        /// The target.
        target: TargetKey,
        /// Why it is sent.
        cause: Cause,
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
}

#[derive(Debug)]
enum Progress {
    Pending,
    Answered(Answer),
    Failed(Failure),
}

/// Why a shard has no answer.
#[derive(Debug, Clone)]
enum Failure {
    /// The target's own answer says so.
    Answer(Answer),
    /// There is none.
    Reason(Reason),
}

#[derive(Debug)]
struct Shard {
    service: Arc<str>,
    progress: Progress,
    /// Targets that are not asked again for now.
    tried: SmallVec<[TargetKey; 4]>,
    /// Subrequests without a result.
    open: usize,
    subrequests: usize,
    /// Targets that may have run the request.
    ran: SmallVec<[TargetKey; 2]>,
    /// Whether some subrequest may have reached a target, so that the next one is extra.
    arrived: bool,
    /// When a slow subrequest is hedged.
    hedge_at: Moment,
    /// When a refused subrequest is sent again.
    retry_at: Moment,
}

#[derive(Debug)]
struct Subrequest {
    shard: usize,
    target: TargetKey,
    open: bool,
}

/// One running request.
#[derive(Debug)]
pub struct Fanout {
    plan: Plan,
    shards: Vec<Shard>,
    subrequests: Vec<Subrequest>,
    pending: usize,
    answered: usize,
    needed: usize,
    limit: Option<usize>,
    extra: ExtraSubrequests,
    finished: bool,
}

impl Fanout {
    /// Opens a request; nothing is sent before [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let shards: Vec<Shard> = plan
            .services
            .iter()
            .map(|service| Shard {
                service: Arc::clone(service),
                progress: Progress::Pending,
                tried: SmallVec::new(),
                open: 0,
                subrequests: 0,
                ran: SmallVec::new(),
                arrived: false,
                hedge_at: Moment::NEVER,
                retry_at: Moment::NEVER,
            })
            .collect();
        let (needed, limit) = match &plan.route.destination {
            Destination::OneTarget(_) => (1, None),
            Destination::AllShards(gather) => (gather.min_answered_shards(), Some(gather.limit)),
        };
        Self {
            pending: shards.len(),
            shards,
            subrequests: Vec::new(),
            answered: 0,
            needed,
            limit,
            extra: ExtraSubrequests::default(),
            finished: false,
            plan,
        }
    }

    /// Returns the service of a subrequest.
    pub fn service(&self, subrequest: usize) -> &Arc<str> {
        &self.shards[self.subrequests[subrequest].shard].service
    }

    /// Returns the extra subrequests.
    pub const fn extra(&self) -> ExtraSubrequests {
        self.extra
    }

    /// Returns the shards that answered and all shards.
    pub const fn coverage(&self) -> (usize, usize) {
        (self.answered, self.shards.len())
    }

    /// Returns the number of subrequests sent.
    pub const fn subrequests(&self) -> usize {
        self.subrequests.len()
    }

    /// Returns the services without an answer.
    pub fn unanswered_services(&self) -> impl Iterator<Item = &str> {
        let open = self
            .shards
            .iter()
            .filter(|shard| !matches!(shard.progress, Progress::Answered(_)));
        open.map(|shard| &*shard.service)
    }

    /// Returns why services have no answer, with the number of services for each cause.
    pub fn failure_counts(&self) -> BTreeMap<String, usize> {
        let mut causes = BTreeMap::new();
        for shard in &self.shards {
            let cause = match &shard.progress {
                Progress::Answered(_) => continue,
                Progress::Pending if shard.open > 0 => "waiting".to_owned(),
                Progress::Pending => "no_room".to_owned(),
                Progress::Failed(Failure::Answer(answer)) => answer.status.as_u16().to_string(),
                Progress::Failed(Failure::Reason(reason)) => reason.to_string(),
            };
            *causes.entry(cause).or_default() += 1;
        }
        causes
    }

    /// Returns when the request needs a [`Event::Tick`].
    pub fn next_wake(&self) -> Moment {
        let shards = self
            .shards
            .iter()
            .filter(|shard| matches!(shard.progress, Progress::Pending))
            .map(|shard| shard.hedge_at.min(shard.retry_at))
            .min();
        shards
            .unwrap_or(Moment::NEVER)
            .min(self.plan.deadline)
            .min(self.cut())
    }

    /// Handles one event; after [`Action::Finish`] every event is ignored.
    pub fn step(&mut self, event: Event, now: Moment, placement: &mut Placement) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        match event {
            Event::Start => {
                if let Some(verdict) = self.infeasible(now, placement) {
                    self.finished = true;
                    return vec![Action::Finish(verdict)];
                }
                actions.reserve(self.shards.len());
                for at in 0..self.shards.len() {
                    placement.budget.earn(&self.shards[at].service);
                    self.send(at, now, placement, &mut actions);
                }
            }
            Event::Result {
                subrequest,
                outcome,
            } => {
                self.result(subrequest, outcome, now, placement, &mut actions);
            }
            Event::Tick => {
                for at in 0..self.shards.len() {
                    self.tick(at, now, placement, &mut actions);
                }
            }
        }
        if let Some(verdict) = self.verdict(now, placement) {
            self.finished = true;
            actions.push(Action::Finish(verdict));
        }
        actions
    }

    /// Refuses a request at once if too few services have a target that could answer.
    fn infeasible(&self, now: Moment, placement: &Placement) -> Option<Verdict> {
        let services = || self.shards.iter().map(|shard| &*shard.service);
        let able = services().filter(|service| placement.has_target(service, now));
        if able.count() >= self.needed {
            return None;
        }
        // The time by which the last of the services that lack a target may have one again.
        let reopens = services().map(|service| placement.reopens(service, now));
        let wait = reopens
            .map(|moment| moment.map_or(RETRY_AFTER_MIN, |moment| now.until(moment)))
            .max();
        Some(Verdict::Refused {
            reason: Reason::NoTarget,
            retry_after: wait.unwrap_or_default().max(RETRY_AFTER_SHED),
        })
    }

    /// Sends the first subrequest of a shard, or one after a refusal.
    fn send(
        &mut self,
        at: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) {
        let shard = &mut self.shards[at];
        shard.retry_at = Moment::NEVER;
        if shard.subrequests >= MAX_SUBREQUESTS_PER_SHARD {
            self.fail(at, Reason::Shed);
            return;
        }
        let service = Arc::clone(&shard.service);
        let extra = shard.arrived;
        if extra && !placement.budget.take(&service) {
            self.fail(at, Reason::NoBudget);
            return;
        }
        let (table, expected) = (&self.plan.table, self.plan.expected_latency);
        let target = placement.pick(table, &service, &shard.tried, expected, now);
        if let Some(target) = target {
            let cause = if self.shards[at].tried.is_empty() && !extra {
                Cause::First
            } else {
                Cause::Retry
            };
            self.dispatch(at, target, cause, now, actions);
            self.extra.retries += u32::from(extra);
            return;
        }
        if extra {
            placement.budget.refund(&service);
        }
        match placement.reopens(&service, now) {
            // All targets are busy or have refused; they may have room a little later.
            Some(moment) if moment <= now => {
                let first = self.subrequests.is_empty();
                let patience = self.plan.route.latency_objective / ROOM_SHARE;
                if first && now + PAUSE > self.plan.sent_at + patience {
                    self.fail(at, Reason::Shed);
                    return;
                }
                let shard = &mut self.shards[at];
                shard.tried.clear();
                let late = now >= self.plan.sent_at + self.plan.route.latency_objective;
                shard.retry_at = now + if late { PAUSE_LATE } else { PAUSE };
            }
            _ => self.fail(at, Reason::NoTarget),
        }
    }

    fn dispatch(
        &mut self,
        at: usize,
        target: TargetKey,
        cause: Cause,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        let shard = &mut self.shards[at];
        shard.tried.push(target);
        shard.open += 1;
        shard.subrequests += 1;
        shard.hedge_at = match self.plan.route.kind {
            Kind::Idempotent => now + self.plan.hedge_delay,
            Kind::NonIdempotent => Moment::NEVER,
        };
        let subrequest = self.subrequests.len();
        self.subrequests.push(Subrequest {
            shard: at,
            target,
            open: true,
        });
        actions.push(Action::Send {
            subrequest,
            target,
            cause,
        });
    }

    fn result(
        &mut self,
        number: usize,
        outcome: Outcome,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) {
        let Some(subrequest) = self
            .subrequests
            .get_mut(number)
            .filter(|subrequest| subrequest.open)
        else {
            return;
        };
        subrequest.open = false;
        let (at, target) = (subrequest.shard, subrequest.target);
        let shard = &mut self.shards[at];
        shard.open -= 1;
        if !matches!(shard.progress, Progress::Pending) {
            return;
        }
        match outcome {
            Outcome::Succeeded(answer) => {
                shard.progress = Progress::Answered(answer);
                self.pending -= 1;
                self.answered += 1;
            }
            Outcome::Failed(answer) => {
                shard.arrived = true;
                shard.ran.push(target);
                if !self.again(at, now, placement, actions) {
                    self.end(at, Failure::Answer(answer));
                }
            }
            Outcome::Lost(cause) => {
                shard.arrived = true;
                shard.ran.push(target);
                if !self.again(at, now, placement, actions) {
                    let reason = match cause {
                        reply::FailureCause::Timeout => Reason::Timeout,
                        _ => Reason::LostAnswer,
                    };
                    self.fail(at, reason);
                }
            }
            Outcome::NotRun(cause) => {
                shard.arrived |= matches!(
                    cause,
                    reply::FailureCause::Shed | reply::FailureCause::Misdirected
                );
                if shard.open == 0 {
                    self.send(at, now, placement, actions);
                }
            }
        }
    }

    /// Tries a shard again after a target may have run it; tells whether an answer may still come.
    fn again(
        &mut self,
        at: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.plan.route.kind == Kind::NonIdempotent {
            return false;
        }
        if self.shards[at].open > 0 {
            return true;
        }
        if self.shards[at].ran.len() >= self.plan.route.max_attempts as usize {
            return false;
        }
        let before = self.subrequests.len();
        self.send(at, now, placement, actions);
        self.subrequests.len() > before || self.shards[at].retry_at < Moment::NEVER
    }

    /// Sends what is due for a shard: a refused subrequest again, or a hedge for a slow one.
    fn tick(
        &mut self,
        at: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) {
        let shard = &self.shards[at];
        if !matches!(shard.progress, Progress::Pending) {
            return;
        }
        if shard.retry_at <= now {
            self.send(at, now, placement, actions);
        } else if shard.hedge_at <= now && shard.open > 0 {
            self.hedge(at, now, placement, actions);
        }
    }

    fn hedge(
        &mut self,
        at: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) {
        for subrequest in self
            .subrequests
            .iter()
            .filter(|subrequest| subrequest.shard == at && subrequest.open)
        {
            placement.overdue(subrequest.target, now);
        }
        let attempts = self.plan.route.max_attempts as usize;
        let shard = &mut self.shards[at];
        shard.hedge_at = now + HEDGE_AGAIN;
        if shard.open + shard.ran.len() >= attempts
            || shard.subrequests >= MAX_SUBREQUESTS_PER_SHARD
        {
            shard.hedge_at = Moment::NEVER;
            return;
        }
        let service = Arc::clone(&shard.service);
        if !placement.budget.take(&service) {
            return;
        }
        let (table, expected) = (&self.plan.table, self.plan.expected_latency);
        let target = placement.pick(table, &service, &shard.tried, expected, now);
        if let Some(target) = target {
            self.extra.hedges += 1;
            self.shards[at].arrived = true;
            self.dispatch(at, target, Cause::Hedge, now, actions);
        } else {
            placement.budget.refund(&service);
        }
    }

    fn fail(&mut self, at: usize, reason: Reason) {
        if self.shards[at].open == 0 {
            self.end(at, Failure::Reason(reason));
        }
    }

    fn end(&mut self, at: usize, failure: Failure) {
        let shard = &mut self.shards[at];
        if matches!(shard.progress, Progress::Pending) {
            shard.progress = Progress::Failed(failure);
            self.pending -= 1;
        }
    }

    /// Returns when an incomplete answer is better than a complete one that comes later.
    ///
    /// Before the latency objective it is worth waiting for every shard. After it, the caller is late
    /// anyway, and gets a full answer if one comes in as much time again.
    fn cut(&self) -> Moment {
        if self.limit.is_none() || self.answered < self.needed {
            return Moment::NEVER;
        }
        self.plan.sent_at
            + self
                .plan
                .route
                .latency_objective
                .saturating_sub(REPLY_MARGIN)
    }

    fn verdict(&mut self, now: Moment, placement: &Placement) -> Option<Verdict> {
        let over = now >= self.plan.deadline;
        if self.limit.is_none() {
            return self.single(over, now, placement);
        }
        if self.answered >= self.needed && (self.pending == 0 || over || now >= self.cut()) {
            return Some(self.merged());
        }
        if self.answered + self.pending < self.needed {
            return Some(self.unserved(Reason::LowCoverage, now, placement));
        }
        over.then_some(Verdict::Expired)
    }

    fn single(&mut self, over: bool, now: Moment, placement: &Placement) -> Option<Verdict> {
        match &self.shards.first()?.progress {
            Progress::Answered(answer) | Progress::Failed(Failure::Answer(answer)) => {
                Some(Verdict::Single(answer.clone()))
            }
            Progress::Failed(Failure::Reason(reason)) => {
                Some(self.unserved(*reason, now, placement))
            }
            Progress::Pending => over.then(|| {
                if self.may_have_run() {
                    Verdict::Expired
                } else {
                    self.unserved(Reason::Shed, now, placement)
                }
            }),
        }
    }

    fn merged(&self) -> Verdict {
        let answers = || {
            self.shards
                .iter()
                .filter_map(|shard| match &shard.progress {
                    Progress::Answered(answer) => Some(answer),
                    Progress::Pending | Progress::Failed(_) => None,
                })
        };
        let limit = self.limit.unwrap_or_default();
        Verdict::Merged {
            seals: answers().filter_map(|answer| answer.seal.clone()).collect(),
            missing_shards: self.shards.len() - self.answered,
            records: record::merge(answers().map(|answer| &*answer.body), limit),
        }
    }

    /// Says truthfully that the request has no answer.
    fn unserved(&self, reason: Reason, now: Moment, placement: &Placement) -> Verdict {
        if self.may_have_run() {
            return match reason {
                Reason::Timeout => Verdict::Expired,
                _ => Verdict::OutcomeUnknown(reason),
            };
        }
        let reopens = self
            .shards
            .iter()
            .filter(|shard| matches!(shard.progress, Progress::Failed(_)))
            .filter_map(|shard| placement.reopens(&shard.service, now))
            .max();
        let retry_after = match (reason, reopens) {
            (Reason::Shed | Reason::NoBudget, _) => RETRY_AFTER_SHED,
            (_, Some(moment)) => now.until(moment).max(RETRY_AFTER_SHED),
            (_, None) => RETRY_AFTER_MIN,
        };
        Verdict::Refused {
            reason,
            retry_after,
        }
    }

    /// Tells whether some target may have run the request, or may still run it.
    fn may_have_run(&self) -> bool {
        self.shards.iter().any(|shard| {
            shard.open > 0
                || !shard.ran.is_empty()
                || matches!(shard.progress, Progress::Answered(_))
        })
    }
}

impl From<&Outcome> for Option<Sign> {
    /// Returns what an outcome says of its target, apart from answers, whose latency matters too.
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Succeeded(_) => None,
            Outcome::Lost(reply::FailureCause::ClosedUnanswered) => Some(Sign::Cut),
            Outcome::Failed(_) | Outcome::Lost(_) => Some(Sign::Failed),
            Outcome::NotRun(reply::FailureCause::Misdirected) => Some(Sign::Misdirected),
            Outcome::NotRun(reply::FailureCause::Unreachable) => Some(Sign::Unreachable),
            Outcome::NotRun(reply::FailureCause::Unregistered) => Some(Sign::Dropped),
            Outcome::NotRun(_) => Some(Sign::Refused),
        }
    }
}
