//! State machine of one request over the services of its route, each of which serves one shard.
//!
//! It sends one subrequest to a target of each service, hedges slow subrequests, retries refused and lost
//! ones, and merges the answers. A request for a single target is a fan-out to one service. The state
//! machine uses no clock and no socket; `docs/decisions/008-platform.md` gives the reasons.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::record;
use super::reply::{self, Answer, Outcome, Reason, Verdict};
use crate::process::placement::{Observation, Placement};
use crate::process::registry::TargetKey;
use crate::process::slot::Slot;
use crate::time::Moment;
use crate::version::route::{Destination, Kind, Route, Table};
use crate::wire::Cause;

/// How long before the latency objective an incomplete answer is sent, so that it arrives in time.
///
/// The caller's latency includes its handshake, the request and the answer, which take up to 4 ms each way
/// between neighbouring data centres, and this node shares a processor core with other processes. At 26 ms,
/// two fifths of the answers to a query with an objective of 60 ms over 90 shards reached the caller after it.
pub const REPLY_MARGIN: Duration = Duration::from_millis(34);
/// The same time for a request on a connection that was open already. Its caller has not waited for a handshake,
/// which takes up to 4 ms each way.
pub const REPLY_MARGIN_OPEN_CONNECTION: Duration = Duration::from_millis(26);
/// The limit on subrequests for one shard, including refused and lost ones. A shard that needs a further one
/// fails with [`Reason::Shed`], however the earlier ones ended.
pub const MAX_SUBREQUESTS_PER_SHARD: usize = 6;
/// The delay before a shard is sent again after all of its targets were busy or refused it.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The same delay once the request has exceeded its latency objective, so that requests that can still meet
/// theirs get free capacity first.
const LATE_BUSY_RETRY_DELAY: Duration = Duration::from_millis(60);
/// A request that has sent no subrequest waits for capacity for the latency objective divided by this. It is
/// then refused while its caller still has time to go to another node, which may have capacity.
const CAPACITY_WAIT_DIVISOR: u32 = 4;
/// The delay after which a hedge is tried again for which there was no budget or no target.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(40);
/// The `Retry-After` for a service that has no target. Targets that register again do so within about two
/// seconds, and most callers retry once.
const RETRY_AFTER_NO_TARGET: Duration = Duration::from_millis(800);
/// The `Retry-After` if targets have no free capacity or the budget for extra subrequests is used up; also
/// the lower bound for services without a target.
const RETRY_AFTER_SHED: Duration = Duration::from_millis(100);

/// The `Retry-After` if the node has no memory for the subrequests of a query. It is random, so that callers do not
/// come back at the same time, and shorter than the third of a deadline for which most callers wait.
const RETRY_AFTER_NO_ROOM: Range<Duration> = Duration::from_millis(150)..Duration::from_millis(600);

/// The parameters of one request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The route table of the settings version that was in force when the request arrived.
    pub table: Arc<Table>,
    /// The route of the request, which sets its kind, destination, objective and limits.
    pub route: Arc<Route>,
    /// The services that get a subrequest, one for each shard.
    pub services: Vec<Arc<str>>,
    /// The moment at which the caller sent the request.
    pub sent_at: Moment,
    /// The moment at which the request expires.
    pub deadline: Moment,
    /// The usual latency of a subrequest of this route.
    pub expected_latency: Duration,
    /// The time without a result after which a subrequest is hedged.
    pub hedge_delay: Duration,
    /// How long before the latency objective an incomplete answer is sent.
    pub reply_margin: Duration,
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Starts the request.
    Start,
    /// A subrequest ended.
    Result {
        /// The number of the subrequest.
        subrequest: usize,
        /// The answer of the target, or the cause why there is none.
        outcome: Outcome,
    },
    /// The moment that [`Fanout::next_wake`] returned has come.
    Tick,
    /// The request must be answered by this moment, because the node stops then.
    AnswerBy(Moment),
}

/// An output of the state machine, which the process carries out.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a subrequest.
    Send {
        /// The number of the subrequest, counted from zero within the request.
        subrequest: usize,
        /// The slot of the target to send it to, which must be kept until the subrequest has ended.
        slot: Slot,
        /// Whether it is a first subrequest, a hedge or a retry.
        cause: Cause,
    },
    /// Reply to the caller; no action follows this one.
    Finish(Verdict),
}

/// The number of subrequests that were paid for from the budget, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExtraSubrequests {
    /// Subrequests sent because another one was slow.
    pub hedges: u32,
    /// Subrequests sent because a target refused, failed or did not answer another one. A subrequest after
    /// one whose target could not be reached needs no budget and is not counted.
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
    /// The target answered with a failure.
    TargetAnswer(Answer),
    /// No answer came, for this reason.
    NoAnswer(Reason),
}

#[derive(Debug)]
struct Shard {
    service: Arc<str>,
    progress: Progress,
    /// Targets that have been sent a subrequest; cleared once the shard waits for capacity.
    tried: SmallVec<[TargetKey; 4]>,
    /// The number of subrequests without a result.
    open_subrequests: usize,
    sent_subrequests: usize,
    /// Targets that may have run the request.
    may_have_run_at: SmallVec<[TargetKey; 2]>,
    /// Whether the next subrequest needs budget, because a target refused, failed or did not answer an
    /// earlier one, or because a hedge was sent.
    next_needs_budget: bool,
    /// The moment at which an open subrequest is hedged.
    hedge_at: Moment,
    /// The moment of the next attempt to send a subrequest after no target had capacity.
    retry_at: Moment,
}

#[derive(Debug)]
struct Subrequest {
    /// The index into [`Fanout::shards`].
    shard_index: usize,
    target: TargetKey,
    open: bool,
}

/// The state of one request.
#[derive(Debug)]
pub struct Fanout {
    plan: Plan,
    shards: Vec<Shard>,
    subrequests: Vec<Subrequest>,
    pending_shards: usize,
    answered_shards: usize,
    needed_shards: usize,
    /// The limit on merged records; `None` for a request to a single target.
    record_limit: Option<usize>,
    extra: ExtraSubrequests,
    finished: bool,
}

impl Fanout {
    /// Creates the state of a request; no subrequest is sent before [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let shards: Vec<Shard> = plan
            .services
            .iter()
            .map(|service| Shard {
                service: Arc::clone(service),
                progress: Progress::Pending,
                tried: SmallVec::new(),
                open_subrequests: 0,
                sent_subrequests: 0,
                may_have_run_at: SmallVec::new(),
                next_needs_budget: false,
                hedge_at: Moment::NEVER,
                retry_at: Moment::NEVER,
            })
            .collect();
        let (needed_shards, record_limit) = match &plan.route.destination {
            Destination::OneTarget(_) => (1, None),
            Destination::AllShards(gather) => (gather.min_answered_shards(), Some(gather.limit)),
        };
        Self {
            pending_shards: shards.len(),
            shards,
            subrequests: Vec::new(),
            answered_shards: 0,
            needed_shards,
            record_limit,
            extra: ExtraSubrequests::default(),
            finished: false,
            plan,
        }
    }

    /// Returns the service to which a subrequest belongs.
    pub fn service(&self, subrequest: usize) -> &Arc<str> {
        &self.shards[self.subrequests[subrequest].shard_index].service
    }

    /// Returns the number of extra subrequests so far.
    pub const fn extra(&self) -> ExtraSubrequests {
        self.extra
    }

    /// Returns the number of shards that answered and the number of all shards.
    pub const fn coverage(&self) -> (usize, usize) {
        (self.answered_shards, self.shards.len())
    }

    /// Returns the number of subrequests sent so far.
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
    ///
    /// `waiting` means that a subrequest is open, `no_room` that none is: the shard waits for capacity.
    pub fn failure_counts(&self) -> BTreeMap<String, usize> {
        let mut causes = BTreeMap::new();
        for shard in &self.shards {
            let cause = match &shard.progress {
                Progress::Answered(_) => continue,
                Progress::Pending if shard.open_subrequests > 0 => "waiting".to_owned(),
                Progress::Pending => "no_room".to_owned(),
                Progress::Failed(Failure::TargetAnswer(answer)) => {
                    answer.status.as_u16().to_string()
                }
                Progress::Failed(Failure::NoAnswer(reason)) => reason.to_string(),
            };
            *causes.entry(cause).or_default() += 1;
        }
        causes
    }

    /// Returns the moment at which the next [`Event::Tick`] is due.
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
            .min(self.partial_answer_at())
    }

    /// Handles one event and returns the actions to carry out; ignores events after [`Action::Finish`].
    pub fn step(&mut self, event: Event, now: Moment, placement: &mut Placement) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        placement.take_back_unsent();
        // The results of subrequests tell whether a target may have run the request, so all that are known at the
        // deadline come before the verdict, which the tick brings. A process that was paused has many of them.
        let awaits_tick = now >= self.plan.deadline && matches!(event, Event::Result { .. });
        match event {
            Event::Start => {
                if let Some(verdict) = self.refusal_if_infeasible(now, placement) {
                    self.finished = true;
                    return vec![Action::Finish(verdict)];
                }
                actions.reserve(self.shards.len());
                for shard_index in 0..self.shards.len() {
                    placement.budget.deposit(&self.shards[shard_index].service);
                    self.send(shard_index, now, placement, &mut actions);
                }
            }
            Event::Result {
                subrequest,
                outcome,
            } => {
                self.on_result(subrequest, outcome, now, placement, &mut actions);
            }
            Event::Tick => {
                for shard_index in 0..self.shards.len() {
                    self.send_due(shard_index, now, placement, &mut actions);
                }
            }
            Event::AnswerBy(moment) => self.plan.deadline = self.plan.deadline.min(moment),
        }
        if !awaits_tick && let Some(verdict) = self.verdict(now, placement) {
            self.finished = true;
            actions.push(Action::Finish(verdict));
        }
        actions
    }

    /// Returns a refusal if too few services have a target for the least coverage, or if the node has no room for the
    /// subrequests of a query.
    fn refusal_if_infeasible(&self, now: Moment, placement: &mut Placement) -> Option<Verdict> {
        if self.record_limit.is_some() && !placement.has_room(self.shards.len(), self.shards.len())
        {
            return Some(Verdict::Refused {
                reason: Reason::Memory,
                retry_after: placement.draw_delay(RETRY_AFTER_NO_ROOM),
            });
        }
        let services = || self.shards.iter().map(|shard| &*shard.service);
        // A query that has to wait for several targets would take from others what they could use now.
        let available_by = match self.record_limit {
            None => now.max(self.capacity_wait_end()),
            Some(_) => now,
        };
        let available =
            services().filter(|it| placement.has_available_target(it, available_by, now));
        if available.count() >= self.needed_shards {
            return None;
        }
        // The longest time until a service may have a target again; a service without a usable target counts
        // with [`RETRY_AFTER_NO_TARGET`].
        let available_again_at = services().map(|service| placement.available_at(service, now));
        let wait = available_again_at
            .map(|moment| moment.map_or(RETRY_AFTER_NO_TARGET, |moment| now.until(moment)))
            .max();
        let reason = if services().any(|service| placement.is_limited(service, now)) {
            Reason::TargetLimit
        } else if services().any(|service| placement.is_turned_away(service, now)) {
            Reason::TargetWait
        } else {
            Reason::NoTarget
        };
        Some(Verdict::Refused {
            reason,
            retry_after: wait.unwrap_or_default().max(RETRY_AFTER_SHED),
        })
    }

    /// Sends the first subrequest of a shard, or the next one after a refusal, a failure, a loss or a lack of
    /// capacity.
    ///
    /// If no target has capacity, schedules another attempt or fails the shard.
    fn send(
        &mut self,
        shard_index: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) {
        let shard = &mut self.shards[shard_index];
        shard.retry_at = Moment::NEVER;
        if shard.sent_subrequests >= MAX_SUBREQUESTS_PER_SHARD || now >= self.plan.deadline {
            self.fail_if_none_open(shard_index, Reason::Shed);
            return;
        }
        let service = Arc::clone(&shard.service);
        let is_extra = shard.next_needs_budget;
        if is_extra && !placement.budget.try_withdraw(&service) {
            self.fail_if_none_open(shard_index, Reason::NoBudget);
            return;
        }
        let cause = if shard.tried.is_empty() && !is_extra {
            Cause::First
        } else {
            Cause::Retry
        };
        let slot = self.pick(shard_index, cause, now, placement);
        if let Some(mut slot) = slot {
            if is_extra {
                slot.set_extra(service);
            }
            self.dispatch(shard_index, slot, cause, now, actions);
            self.extra.retries += u32::from(is_extra);
            return;
        }
        if is_extra {
            placement.budget.refund(&service);
        }
        match placement.available_at(&service, now) {
            // All targets are busy or have refused the request; they may have capacity shortly.
            Some(moment) if moment <= now => {
                let late = now >= self.plan.sent_at + self.plan.route.latency_objective;
                let delay = if late {
                    LATE_BUSY_RETRY_DELAY
                } else {
                    BUSY_RETRY_DELAY
                };
                self.wait_for_capacity(shard_index, now + delay, now, Reason::Shed);
            }
            Some(moment) if placement.is_limited(&service, now) => {
                self.wait_for_capacity(shard_index, moment, now, Reason::TargetLimit);
            }
            Some(moment) if placement.is_turned_away(&service, now) => {
                self.wait_for_capacity(shard_index, moment, now, Reason::TargetWait);
            }
            _ => self.fail_if_none_open(shard_index, Reason::NoTarget),
        }
    }

    /// Chooses a target for a shard, if the node has room for a further subrequest.
    fn pick(
        &self,
        shard_index: usize,
        cause: Cause,
        now: Moment,
        placement: &mut Placement,
    ) -> Option<Slot> {
        if !placement.has_room(1, self.shards.len()) {
            return None;
        }
        let shard = &self.shards[shard_index];
        let (table, expected) = (&self.plan.table, self.plan.expected_latency);
        placement.pick(table, &shard.service, &shard.tried, cause, expected, now)
    }

    /// Schedules the next attempt to send a shard's subrequest, or fails the shard with the reason if that is
    /// later than the request may wait.
    fn wait_for_capacity(
        &mut self,
        shard_index: usize,
        retry_at: Moment,
        now: Moment,
        reason: Reason,
    ) {
        let latest = if self.subrequests.is_empty() {
            self.capacity_wait_end().min(self.plan.deadline)
        } else {
            self.plan.deadline
        };
        if retry_at.max(now + BUSY_RETRY_DELAY) > latest {
            self.fail_if_none_open(shard_index, reason);
            return;
        }
        let shard = &mut self.shards[shard_index];
        shard.tried.clear();
        shard.retry_at = retry_at;
    }

    /// Returns until when a request that has sent no subrequest waits for capacity.
    fn capacity_wait_end(&self) -> Moment {
        self.plan.sent_at + self.plan.route.latency_objective / CAPACITY_WAIT_DIVISOR
    }

    fn dispatch(
        &mut self,
        shard_index: usize,
        slot: Slot,
        cause: Cause,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        let shard = &mut self.shards[shard_index];
        shard.tried.push(slot.target());
        shard.open_subrequests += 1;
        shard.sent_subrequests += 1;
        shard.hedge_at = match self.plan.route.kind {
            Kind::Idempotent => now + self.plan.hedge_delay,
            Kind::NonIdempotent => Moment::NEVER,
        };
        let subrequest = self.subrequests.len();
        self.subrequests.push(Subrequest {
            shard_index,
            target: slot.target(),
            open: true,
        });
        actions.push(Action::Send {
            subrequest,
            slot,
            cause,
        });
    }

    fn on_result(
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
        let (shard_index, target) = (subrequest.shard_index, subrequest.target);
        let shard = &mut self.shards[shard_index];
        shard.open_subrequests -= 1;
        if !matches!(shard.progress, Progress::Pending) {
            return;
        }
        match outcome {
            Outcome::Succeeded(answer) => {
                shard.progress = Progress::Answered(answer);
                self.pending_shards -= 1;
                self.answered_shards += 1;
            }
            Outcome::Failed(answer) => {
                shard.next_needs_budget = true;
                shard.may_have_run_at.push(target);
                if !self.retry_after_run(shard_index, now, placement, actions) {
                    self.mark_failed(shard_index, Failure::TargetAnswer(answer));
                }
            }
            Outcome::Lost(cause) => {
                shard.next_needs_budget = true;
                shard.may_have_run_at.push(target);
                if !self.retry_after_run(shard_index, now, placement, actions) {
                    let reason = match cause {
                        reply::FailureCause::Timeout => Reason::Timeout,
                        _ => Reason::LostAnswer,
                    };
                    self.fail_if_none_open(shard_index, reason);
                }
            }
            Outcome::NotRun(cause) => {
                shard.next_needs_budget |= matches!(
                    cause,
                    reply::FailureCause::Shed | reply::FailureCause::Misdirected
                );
                if shard.open_subrequests == 0 {
                    self.send(shard_index, now, placement, actions);
                }
            }
        }
    }

    /// Retries a shard after a target may have run it; returns whether an answer may still come.
    fn retry_after_run(
        &mut self,
        shard_index: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.plan.route.kind == Kind::NonIdempotent {
            return false;
        }
        if self.shards[shard_index].open_subrequests > 0 {
            return true;
        }
        if self.shards[shard_index].may_have_run_at.len() >= self.plan.route.max_attempts as usize {
            return false;
        }
        let sent_before = self.subrequests.len();
        self.send(shard_index, now, placement, actions);
        self.subrequests.len() > sent_before || self.shards[shard_index].retry_at < Moment::NEVER
    }

    /// Sends what is due for a pending shard: the next attempt after a lack of capacity, otherwise a hedge.
    fn send_due(
        &mut self,
        shard_index: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) {
        let shard = &self.shards[shard_index];
        if !matches!(shard.progress, Progress::Pending) {
            return;
        }
        if shard.retry_at <= now {
            self.send(shard_index, now, placement, actions);
        } else if shard.hedge_at <= now && shard.open_subrequests > 0 {
            self.send_hedge(shard_index, now, placement, actions);
        }
    }

    fn send_hedge(
        &mut self,
        shard_index: usize,
        now: Moment,
        placement: &mut Placement,
        actions: &mut Vec<Action>,
    ) {
        for subrequest in self
            .subrequests
            .iter()
            .filter(|subrequest| subrequest.shard_index == shard_index && subrequest.open)
        {
            placement.mark_overdue(subrequest.target, now);
        }
        let attempts = self.plan.route.max_attempts as usize;
        let shard = &mut self.shards[shard_index];
        shard.hedge_at = now + HEDGE_RETRY_DELAY;
        if shard.open_subrequests + shard.may_have_run_at.len() >= attempts
            || shard.sent_subrequests >= MAX_SUBREQUESTS_PER_SHARD
        {
            shard.hedge_at = Moment::NEVER;
            return;
        }
        let service = Arc::clone(&shard.service);
        if !placement.budget.try_withdraw(&service) {
            return;
        }
        let cause = Cause::Hedge;
        let slot = self.pick(shard_index, cause, now, placement);
        if let Some(mut slot) = slot {
            slot.set_extra(service);
            self.extra.hedges += 1;
            self.shards[shard_index].next_needs_budget = true;
            self.dispatch(shard_index, slot, cause, now, actions);
        } else {
            placement.budget.refund(&service);
        }
    }

    fn fail_if_none_open(&mut self, shard_index: usize, reason: Reason) {
        if self.shards[shard_index].open_subrequests == 0 {
            self.mark_failed(shard_index, Failure::NoAnswer(reason));
        }
    }

    fn mark_failed(&mut self, shard_index: usize, failure: Failure) {
        let shard = &mut self.shards[shard_index];
        if matches!(shard.progress, Progress::Pending) {
            shard.progress = Progress::Failed(failure);
            self.pending_shards -= 1;
        }
    }

    /// Returns the moment from which an incomplete answer is sent rather than waiting for more shards.
    ///
    /// Until shortly before the latency objective it is worth waiting for every shard; from then on the
    /// answer is sent once the least coverage is reached. Requests to a single target have no such moment.
    fn partial_answer_at(&self) -> Moment {
        if self.record_limit.is_none() || self.answered_shards < self.needed_shards {
            return Moment::NEVER;
        }
        self.plan.sent_at
            + self
                .plan
                .route
                .latency_objective
                .saturating_sub(self.plan.reply_margin)
    }

    fn verdict(&mut self, now: Moment, placement: &mut Placement) -> Option<Verdict> {
        let deadline_passed = now >= self.plan.deadline;
        if self.record_limit.is_none() {
            return self.single_target_verdict(deadline_passed, now, placement);
        }
        if self.answered_shards >= self.needed_shards
            && (self.pending_shards == 0 || deadline_passed || now >= self.partial_answer_at())
        {
            return Some(self.merged_verdict());
        }
        if self.answered_shards + self.pending_shards < self.needed_shards {
            return Some(self.no_answer_verdict(Reason::LowCoverage, now, placement));
        }
        deadline_passed.then(|| self.expired_verdict(now, placement))
    }

    /// Returns the verdict at the deadline, which is a refusal if no target can have run the request.
    fn expired_verdict(&self, now: Moment, placement: &mut Placement) -> Verdict {
        if self.may_have_run() {
            Verdict::Expired
        } else {
            self.no_answer_verdict(Reason::Shed, now, placement)
        }
    }

    fn single_target_verdict(
        &mut self,
        deadline_passed: bool,
        now: Moment,
        placement: &mut Placement,
    ) -> Option<Verdict> {
        match &self.shards.first()?.progress {
            Progress::Answered(answer) | Progress::Failed(Failure::TargetAnswer(answer)) => {
                Some(Verdict::Single(answer.clone()))
            }
            Progress::Failed(Failure::NoAnswer(reason)) => {
                Some(self.no_answer_verdict(*reason, now, placement))
            }
            Progress::Pending => deadline_passed.then(|| self.expired_verdict(now, placement)),
        }
    }

    fn merged_verdict(&self) -> Verdict {
        let answers = || {
            self.shards
                .iter()
                .filter_map(|shard| match &shard.progress {
                    Progress::Answered(answer) => Some(answer),
                    Progress::Pending | Progress::Failed(_) => None,
                })
        };
        let limit = self.record_limit.unwrap_or_default();
        Verdict::Merged {
            signatures: answers()
                .filter_map(|answer| answer.signature.clone())
                .collect(),
            missing_shards: self.shards.len() - self.answered_shards,
            records: record::merge(answers().map(|answer| &*answer.body), limit),
        }
    }

    /// Returns a refusal if no target can have run the request, and an unknown or expired outcome otherwise.
    fn no_answer_verdict(&self, reason: Reason, now: Moment, placement: &mut Placement) -> Verdict {
        if self.may_have_run() {
            return match reason {
                Reason::Timeout => Verdict::Expired,
                _ => Verdict::OutcomeUnknown(reason),
            };
        }
        // Services without a usable target are left out.
        let available_again_at = self
            .shards
            .iter()
            .filter(|shard| matches!(shard.progress, Progress::Failed(_)))
            .filter_map(|shard| placement.available_at(&shard.service, now))
            .max();
        let retry_after = match (reason, available_again_at) {
            (Reason::Shed | Reason::NoBudget, _) => RETRY_AFTER_SHED,
            (_, Some(moment)) => now.until(moment).max(RETRY_AFTER_SHED),
            (_, None) => RETRY_AFTER_NO_TARGET,
        };
        Verdict::Refused {
            reason,
            retry_after,
        }
    }

    /// Returns whether some target may have run the request or may still run it.
    fn may_have_run(&self) -> bool {
        self.shards.iter().any(|shard| {
            shard.open_subrequests > 0
                || !shard.may_have_run_at.is_empty()
                || matches!(shard.progress, Progress::Answered(_))
        })
    }
}

impl From<&Outcome> for Option<Observation> {
    /// Returns what an outcome says about its target; `None` for a success, whose latency the caller adds.
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Succeeded(_) => None,
            Outcome::Lost(reply::FailureCause::NewConnectionClosed) => {
                Some(Observation::ConnectionCut)
            }
            Outcome::Failed(_) | Outcome::Lost(_) => Some(Observation::Failed),
            Outcome::NotRun(reply::FailureCause::Misdirected) => Some(Observation::Misdirected),
            Outcome::NotRun(reply::FailureCause::Unreachable) => Some(Observation::Unreachable),
            Outcome::NotRun(reply::FailureCause::Unregistered | reply::FailureCause::Unsent) => {
                Some(Observation::NoResult)
            }
            Outcome::NotRun(_) => Some(Observation::Refused),
        }
    }
}
