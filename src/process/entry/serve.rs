//! Runs one request of a caller: admission, then its fan-out over connections to the targets.

use std::ops::Range;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;

use super::report::{Report, id_text, millis_rounded};
use super::{Entry, IncomingRequest, Shared};
use crate::connection::head::Place;
use crate::connection::outbound::{Call, Endpoint, Protocol, RateLimit};
use crate::overload::share::Claim;
use crate::overload::{crowd, retry};
use crate::process::placement::{LimitChange, Observation, Stats};
use crate::process::registry::TargetKey;
use crate::process::slot::Slot;
use crate::quota::{Charge, Limit, Throttled};
use crate::request::fanout::{
    Action, Event, Fanout, Plan, REPLY_MARGIN, REPLY_MARGIN_OPEN_CONNECTION,
};
use crate::request::reply::{FailureCause, Invalid, Outcome, Reason, Verdict};
use crate::rollout::evidence::Sample;
use crate::tenancy::Sender;
use crate::time::Moment;
use crate::version::route::{Destination, Kind, Route};
use crate::wire;

/// How long subrequests may continue after their request has been answered, such as the slower one of a
/// hedged pair.
const HEDGE_LOSER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of requests that run at the same time. The memory of an instance allows many more, but
/// its processor does not complete them in time.
const RUNNING_REQUESTS_MAX: usize = 256;
/// The time reserved for the transfer of the answer to the caller, before the caller's deadline.
const REPLY_TRANSIT_TIME: Duration = Duration::from_millis(15);
/// The retry delay for callers of a node without settings. Most callers retry once, and a node that has
/// started while the store is unavailable may have to wait until the store returns.
const RETRY_AFTER_NO_SETTINGS: Duration = Duration::from_millis(800);
/// The retry delay for callers whose query admission control refused. It is random, so that they do not
/// retry at the same time, and shorter than the third of a deadline for which most callers wait.
const RETRY_AFTER_OVERLOAD: Range<Duration> =
    Duration::from_millis(150)..Duration::from_millis(600);
/// The retry delay for callers of a node that has too many requests, that has read the request too late, or
/// whose route table may be out of date.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(300);

impl<P> Entry<P>
where
    P: Protocol,
{
    /// Handles a request of a caller. Dropping the future cancels its subrequests.
    pub async fn handle_request(&self, request: IncomingRequest) -> Verdict {
        let shared = &self.shared;
        let mut report = Report::open(shared, &request);
        let verdict = self.admit_and_run(request, &mut report).await;
        report.end(&verdict);
        verdict
    }

    /// Refuses the request if it cannot be served in time; otherwise runs it.
    async fn admit_and_run(&self, mut request: IncomingRequest, report: &mut Report<P>) -> Verdict {
        let shared = &self.shared;
        let now = shared.clock.now();
        let refused = |reason| Verdict::Refused {
            reason,
            retry_after: match reason {
                Reason::NoSettings => RETRY_AFTER_NO_SETTINGS,
                _ => RETRY_AFTER_DEFAULT,
            },
        };
        if shared.running_requests.load(Ordering::Relaxed) > RUNNING_REQUESTS_MAX {
            return refused(Reason::Overload);
        }
        let Some(table) = shared.route_table.load_full() else {
            return refused(Reason::NoSettings);
        };
        report.version = table.version.0;
        report.confirmed = !shared.is_uncertain(now);
        let Some(route) = table.find(&request.host, request.call.path.path()) else {
            return if report.confirmed {
                Verdict::Invalid(Invalid::NoRoute)
            } else {
                refused(Reason::UncertainRoute)
            };
        };
        let route = Arc::clone(route);
        report.route = Some(Arc::clone(&route));
        let Some(sender) = table.identify(&route, request.credential.as_ref()) else {
            return if report.confirmed {
                Verdict::Invalid(Invalid::UnknownKey)
            } else {
                refused(Reason::UncertainKey)
            };
        };
        report.tenant = sender.tenant().cloned();
        request.call.sender = sender.clone();
        let timeout = request.caller_timeout.map_or(route.timeout, |timeout| {
            timeout.saturating_sub(REPLY_TRANSIT_TIME)
        });
        let deadline = request.sent_at + timeout.min(route.timeout);
        if deadline <= now {
            return refused(Reason::ReadLate);
        }
        let claim = table.grades_requests().then(|| Claim::new(&route, &sender));
        if let Some(claim) = &claim {
            let running = shared.running_requests.load(Ordering::Relaxed);
            let (lag, draw) = (table.lag(claim.urgency), rand::rng().random());
            if !crowd::admits(running, RUNNING_REQUESTS_MAX, lag, draw) {
                let retry_after = retry::spread(
                    RETRY_AFTER_DEFAULT,
                    now.until(deadline),
                    rand::rng().random(),
                );
                return Verdict::Refused {
                    reason: Reason::Overload,
                    retry_after,
                };
            }
        }
        let charge = tenant_limit(&sender)
            .map(|(tenant, limit)| shared.quotas().admit(tenant, limit, now))
            .transpose();
        let mut charge = match charge {
            Ok(charge) => charge,
            Err(Throttled { retry_after }) => return Verdict::Throttled { retry_after },
        };
        let (admitted, strained) = shared.admit(&route, claim.as_ref(), now);
        if !admitted {
            let return_time = claim
                .and_then(|_| shared.return_time(&route, now.until(deadline), now))
                .unwrap_or_else(|| rand::rng().random_range(RETRY_AFTER_OVERLOAD));
            return Verdict::Refused {
                reason: Reason::Overload,
                retry_after: return_time,
            };
        }
        let services = select_services(&route);
        let (expected, mut hedge) = shared.estimate_latency(&route, services.len());
        if strained {
            // Hedges would increase the load on targets that are already overloaded.
            hedge = route.timeout;
        }
        let plan = Plan {
            deadline,
            table,
            route,
            services,
            sent_at: request.sent_at,
            expected_latency: expected,
            hedge_delay: hedge,
            reply_margin: match request.place {
                Place::First => REPLY_MARGIN,
                Place::Later => REPLY_MARGIN_OPEN_CONNECTION,
            },
        };
        let charge = charge.as_mut();
        run_fanout(Arc::clone(shared), plan, request.call, charge, report).await
    }
}

/// Returns the tenant that sent a request and its limit, if it has one.
fn tenant_limit(sender: &Sender) -> Option<(&Arc<str>, Limit)> {
    let tenant = sender.tenant()?;
    Some((&tenant.name, tenant.limit?))
}

/// Returns the services to which a request of the route is sent: all shards, or one backend drawn by weight.
fn select_services(route: &Route) -> Vec<Arc<str>> {
    match &route.destination {
        Destination::AllShards(gather) => gather.shards.clone(),
        Destination::OneTarget(backends) => {
            let total_weight: f64 = backends.iter().map(|(_, weight)| weight).sum();
            let mut draw = rand::rng().random::<f64>() * total_weight;
            let chosen = backends.iter().find(|(_, weight)| {
                draw -= weight;
                draw < 0.0
            });
            let chosen = chosen.or(backends.last());
            chosen
                .map(|(name, _)| Arc::clone(name))
                .into_iter()
                .collect()
        }
    }
}

/// Executes the actions of the fan-out until it finishes. A request that ends or is dropped before it may have run
/// leaves its charge unspent.
async fn run_fanout<P>(
    shared: Arc<Shared<P>>,
    plan: Plan,
    call: Call,
    mut charge: Option<&mut Charge>,
    report: &mut Report<P>,
) -> Verdict
where
    P: Protocol,
{
    let call = Arc::new(call);
    let mut answer_by = shared.answer_by.subscribe();
    let plan = Plan {
        deadline: plan.deadline.min(*answer_by.borrow_and_update()),
        ..plan
    };
    let (deadline, expected) = (plan.deadline, plan.expected_latency);
    let route = Arc::clone(&plan.route);
    let mut fanout = Fanout::new(plan);
    let mut subrequests = FuturesUnordered::new();
    let mut event = Event::Start;
    let mut wake = Moment::NEVER;
    let mut sleep = pin!(tokio::time::sleep_until(shared.clock.instant(wake).into()));
    loop {
        let actions = {
            let mut placement = shared.placement();
            fanout.step(event, shared.clock.now(), &mut placement)
        };
        for action in actions {
            match action {
                Action::Send {
                    subrequest,
                    slot,
                    cause,
                } => {
                    if let Some(charge) = &mut charge {
                        charge.set_may_have_run(true);
                    }
                    let subrequest = Subrequest {
                        shared: Arc::clone(&shared),
                        index: subrequest,
                        service: Arc::clone(fanout.service(subrequest)),
                        slot,
                        cause,
                        sampled: report.sampled,
                        expected,
                        deadline,
                        route: Arc::clone(&route),
                    };
                    subrequests.push(subrequest.run(Arc::clone(&call)));
                }
                Action::Finish(verdict) => {
                    report.record_fanout(&fanout);
                    if matches!(verdict, Verdict::Refused { .. })
                        && let Some(charge) = charge
                    {
                        charge.set_may_have_run(false);
                    }
                    if !subrequests.is_empty() {
                        let finish = async move { while subrequests.next().await.is_some() {} };
                        tokio::spawn(tokio::time::timeout(HEDGE_LOSER_TIMEOUT, finish));
                    }
                    return verdict;
                }
            }
        }
        if fanout.next_wake() != wake {
            wake = fanout.next_wake();
            sleep.as_mut().reset(shared.clock.instant(wake).into());
        }
        event = tokio::select! {
            biased;
            Some((subrequest, outcome)) = subrequests.next(), if !subrequests.is_empty() => {
                Event::Result { subrequest, outcome }
            }
            () = &mut sleep => Event::Tick,
            // Fails only when the sender is dropped, which this task shares.
            Ok(()) = answer_by.changed() => Event::AnswerBy(*answer_by.borrow_and_update()),
        };
    }
}

/// A request to one target as part of a caller's request.
struct Subrequest<P> {
    shared: Arc<Shared<P>>,
    /// The index of the subrequest within its fan-out.
    index: usize,
    service: Arc<str>,
    /// The slot of the target.
    slot: Slot,
    cause: wire::Cause,
    /// Whether all subrequests of the request are logged.
    sampled: bool,
    /// The mean latency of subrequests of the route.
    expected: Duration,
    deadline: Moment,
    route: Arc<Route>,
}

impl<P> Subrequest<P>
where
    P: Protocol,
{
    /// Sends the subrequest and returns its index with its outcome.
    async fn run(self, call: Arc<Call>) -> (usize, Outcome) {
        let shared = &self.shared;
        let target = self.slot.target();
        let start = shared.clock.now();
        let mut guard = OutcomeGuard {
            shared,
            target,
            observation: Observation::NoResult,
            trial: None,
        };
        let (endpoint, stats) = {
            let placement = shared.placement();
            let endpoint = placement.registry.get(target).map(|known| {
                let endpoint = Endpoint {
                    key: target,
                    name: Arc::clone(&known.name),
                    address: known.report.address,
                    dedicated: self.route.kind == Kind::NonIdempotent,
                };
                let version = Arc::clone(&known.report.version);
                (endpoint, version, known.cold_until > start)
            });
            (endpoint, placement.stats(target, start))
        };
        let Some((endpoint, version, is_cold)) = endpoint else {
            return (self.index, Outcome::NotRun(FailureCause::Unregistered));
        };
        let trial = guard.trial.insert(Trial {
            service: Arc::clone(&self.service),
            route: Arc::clone(&self.route.name),
            target: Arc::clone(&endpoint.name),
            version,
            is_cold,
            start,
            sample: None,
            is_cancelled: true,
        });
        self.log_sent(&call, &endpoint, stats, start);
        let sent = self.slot.is_sent();
        let result = shared
            .pool
            .call(&shared.protocol, &call, &endpoint, self.deadline, sent)
            .await;
        let now = shared.clock.now();
        let took = now.since(start);
        trial.record(&result.outcome, took);
        guard.observation =
            Option::<Observation>::from(&result.outcome).unwrap_or(Observation::Answered {
                took,
                expected: self.expected,
            });
        if let Some(cold) = result.cold_for {
            shared.placement().registry.set_cold(target, cold, now);
        }
        self.record_rate_limit(&endpoint, result.rate_limit, start, now);
        if result.leaving && shared.placement().registry.mark_leaving(target) {
            log::info!(
                target_name:% = endpoint.name, service:% = self.service;
                "target states that it is leaving; it gets no new work"
            );
        }
        if matches!(result.outcome, Outcome::Succeeded(_)) {
            shared.record_latency(&self.route, took, now);
        }
        drop(guard);
        self.record_turned_away(&endpoint, result.retry_after, now);
        self.log_ended(&call, &endpoint, &result.outcome, took, now);
        (self.index, result.outcome)
    }

    /// Records for how long the target wants no further request of this node, and logs it once for that time.
    fn record_turned_away(&self, endpoint: &Endpoint, time: Option<Duration>, now: Moment) {
        let shared = &self.shared;
        let Some(time) = time else {
            return;
        };
        let is_first = shared
            .placement()
            .record_turned_away(endpoint.key, time, now);
        if is_first && shared.log_limits().subrequests.admit(now) {
            log::info!(
                target_name:% = endpoint.name, service:% = self.service, for_ms = millis_rounded(time);
                "target turns requests away for a time; it gets none until then"
            );
        }
    }

    /// Records what the answer says about the target's rate limit, and logs changes of it.
    fn record_rate_limit(
        &self,
        endpoint: &Endpoint,
        rate_limit: RateLimit,
        sent_at: Moment,
        now: Moment,
    ) {
        let shared = &self.shared;
        let mut placement = shared.placement();
        let change = placement.record_rate_limit(endpoint.key, rate_limit, sent_at, now);
        drop(placement);
        if change.is_none() && rate_limit != RateLimit::Unreadable {
            return;
        }
        if !shared.log_limits().subrequests.admit(now) {
            return;
        }
        match change {
            Some(LimitChange::Stated { per_second }) => log::info!(
                target_name:% = endpoint.name, service:% = self.service, per_second;
                "target states a limit on its requests"
            ),
            Some(LimitChange::Lifted { after, sent }) => log::info!(
                target_name:% = endpoint.name, service:% = self.service, sent,
                after_ms = millis_rounded(after);
                "target states no limit any more"
            ),
            None => log::warn!(
                target_name:% = endpoint.name, service:% = self.service;
                "limit of target unreadable; the last one stays"
            ),
        }
    }

    /// Counts the subrequest, and logs it if the request is sampled or the subrequest is not the first one.
    fn log_sent(&self, call: &Call, endpoint: &Endpoint, stats: Option<Stats>, now: Moment) {
        let cause = cause_name(self.cause);
        self.shared.meters.count_subrequest(cause);
        if stats.is_some_and(|stats| stats.rate_limit.is_some()) {
            self.shared.meters.count_limited_subrequest(cause);
        }
        let is_logged = self.sampled || self.cause != wire::Cause::First;
        let (Some(stats), true) = (stats, is_logged) else {
            return;
        };
        if !self.shared.log_limits().subrequests.admit(now) {
            return;
        }
        log::info!(
            request:% = id_text(&call.request_id), leg = self.index, cause,
            service:% = self.service, target_name:% = endpoint.name, open = stats.in_flight,
            slowness = stats.slowness, shared_slowness = stats.shared_slowness, errors = stats.error_rate,
            stalled_ms = stats.stalled_for.map(millis_rounded);
            "leg sent"
        );
    }

    /// Counts the end of the subrequest, and logs it if the request is sampled or the subrequest did not
    /// succeed.
    fn log_ended(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        outcome: &Outcome,
        took: Duration,
        now: Moment,
    ) {
        let (name, reason) = match outcome {
            Outcome::Succeeded(_) => ("done", String::new()),
            Outcome::Failed(answer) => ("failed", answer.status.as_u16().to_string()),
            Outcome::NotRun(cause) => ("not_run", cause.to_string()),
            Outcome::Lost(cause) => ("lost", cause.to_string()),
        };
        self.shared
            .meters
            .record_subrequest(name, reason.clone(), took);
        let is_logged = self.sampled || name != "done";
        if is_logged && self.shared.log_limits().subrequests.admit(now) {
            log::info!(
                request:% = id_text(&call.request_id), leg = self.index, service:% = self.service,
                target_name:% = endpoint.name, outcome = name, reason,
                took_ms = millis_rounded(took), expected_ms = millis_rounded(self.expected);
                "leg ended"
            );
        }
    }
}

/// What a subrequest shows about the version of its target.
struct Trial {
    service: Arc<str>,
    route: Arc<str>,
    target: Arc<str>,
    version: Arc<str>,
    is_cold: bool,
    start: Moment,
    /// The result; absent if the subrequest was cancelled or did not run.
    sample: Option<Sample>,
    is_cancelled: bool,
}

impl Trial {
    fn record(&mut self, outcome: &Outcome, took: Duration) {
        self.is_cancelled = false;
        self.sample = match outcome {
            Outcome::Failed(answer) if answer.status.is_server_error() => Some(Sample::Failed),
            Outcome::Succeeded(_) | Outcome::Failed(_) if self.is_cold => Some(Sample::GoodCold),
            Outcome::Succeeded(_) | Outcome::Failed(_) => Some(Sample::Good(took)),
            Outcome::Lost(_) => Some(Sample::Failed),
            // A refusal shows the load of a target, and not its version.
            Outcome::NotRun(_) => None,
        };
    }

    /// Returns the result. A subrequest that was cancelled because another answer came first counts if it was slow.
    fn sample(&self, now: Moment) -> Option<Sample> {
        let waited = now.since(self.start);
        let is_slow = self.is_cancelled && !self.is_cold && waited >= HEDGE_LOSER_TIMEOUT;
        self.sample
            .or_else(|| is_slow.then_some(Sample::Good(waited)))
    }
}

/// Returns the name of a cause in log lines and metrics, which do not distinguish retries from restarts.
const fn cause_name(cause: wire::Cause) -> &'static str {
    match cause {
        wire::Cause::First => "first",
        wire::Cause::Hedge => "hedge",
        wire::Cause::Retry | wire::Cause::Restart => "retry",
    }
}

/// Reports the outcome of a subrequest to the placement, also if the subrequest is cancelled while it runs.
struct OutcomeGuard<'a, P> {
    shared: &'a Shared<P>,
    target: TargetKey,
    observation: Observation,
    trial: Option<Trial>,
}

impl<P> Drop for OutcomeGuard<'_, P> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut placement = self.shared.placement();
        placement.observe(self.target, self.observation, now);
        let Some((trial, sample)) = self
            .trial
            .as_ref()
            .and_then(|trial| Some((trial, trial.sample(now)?)))
        else {
            return;
        };
        let target = (&*trial.target, &*trial.version);
        let rollouts = &mut placement.rollouts;
        if rollouts.record_result(&trial.service, &trial.route, target, sample) {
            let is_failed = sample == Sample::Failed;
            self.shared.meters.count_rollout_answer(is_failed);
        }
    }
}
