//! Serving one request: its fan-out, tied to the connections and the clock.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;

use super::{Arrival, Entry, Shared};
use crate::connection::outbound::{Call, Peer, Protocol};
use crate::process::placement::Sign;
use crate::process::registry::TargetKey;
use crate::request::fanout::{Action, Event, Fanout, Plan};
use crate::request::reply::{Cause, Invalid, Outcome, Reason, Verdict};
use crate::time::Moment;
use crate::version::route::{Destination, Kind, Route};

/// How long the losers of hedges may finish after their request has been answered.
const LINGER: Duration = Duration::from_millis(400);
/// Requests that run at once at most. The memory of an instance bears many more, but its processor
/// does not serve them in time.
const RUNNING_MAX: usize = 256;
/// The time for the way back to the caller, by which the final answer precedes the caller's deadline.
const WAY_BACK: Duration = Duration::from_millis(15);
/// When a caller should come back to a node that has no settings yet: most callers come back once, and a
/// node that has just started without the store needs the store's return.
const RETRY_AFTER_SETTINGS: Duration = Duration::from_millis(800);
/// When a caller should come back to a node that has too much to do, or is not sure of a route.
const RETRY_AFTER: Duration = Duration::from_millis(300);

impl<P> Entry<P>
where
    P: Protocol,
{
    /// Serves a request; dropping the future cancels its legs.
    pub async fn answer(&self, arrival: Arrival) -> Verdict {
        let shared = &self.shared;
        let now = shared.clock.now();
        let _running = Running::new(shared);
        let refused = |reason| Verdict::Refused {
            reason,
            retry_after: match reason {
                Reason::NoSettings => RETRY_AFTER_SETTINGS,
                _ => RETRY_AFTER,
            },
        };
        if shared.running.load(Ordering::Relaxed) > RUNNING_MAX {
            return refused(Reason::Overload);
        }
        let Some(table) = shared.table.load_full() else {
            return refused(Reason::NoSettings);
        };
        let Some(route) = table.find(&arrival.host, arrival.call.path.path()) else {
            return if shared.is_uncertain(now) {
                refused(Reason::UncertainRoute)
            } else {
                Verdict::Invalid(Invalid::NoRoute)
            };
        };
        let route = Arc::clone(route);
        let services = services(&route);
        let (expected, hedge) = shared.expect(&route, services.len());
        let patience = arrival
            .patience
            .map_or(route.timeout, |it| it.saturating_sub(WAY_BACK));
        let plan = Plan {
            deadline: now + patience.min(route.timeout),
            table,
            route,
            services,
            arrived: now,
            expected,
            hedge,
        };
        run(Arc::clone(shared), plan, arrival.call).await
    }
}

/// Returns the services that a request of the route asks.
fn services(route: &Route) -> Vec<Arc<str>> {
    match &route.destination {
        Destination::All(gather) => gather.shards.clone(),
        Destination::One(backends) => {
            let sum: f64 = backends.iter().map(|(_, weight)| weight).sum();
            let mut draw = rand::rng().random::<f64>() * sum;
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

async fn run<P>(shared: Arc<Shared<P>>, plan: Plan, call: Call) -> Verdict
where
    P: Protocol,
{
    let call = Arc::new(call);
    let (deadline, expected) = (plan.deadline, plan.expected);
    let route = Arc::clone(&plan.route);
    let mut fanout = Fanout::open(plan);
    let mut legs = FuturesUnordered::new();
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
                Action::Send { leg, target } => {
                    let leg = Leg {
                        shared: Arc::clone(&shared),
                        number: leg,
                        target,
                        expected,
                        deadline,
                        route: Arc::clone(&route),
                    };
                    legs.push(leg.run(Arc::clone(&call)));
                }
                Action::Finish(verdict) => {
                    if !legs.is_empty() {
                        let finish = async move { while legs.next().await.is_some() {} };
                        tokio::spawn(tokio::time::timeout(LINGER, finish));
                    }
                    return verdict;
                }
            }
        }
        if fanout.wake() != wake {
            wake = fanout.wake();
            sleep.as_mut().reset(shared.clock.instant(wake).into());
        }
        event = tokio::select! {
            biased;
            Some((leg, outcome)) = legs.next(), if !legs.is_empty() => {
                Event::Result { leg, outcome }
            }
            () = &mut sleep => Event::Tick,
        };
    }
}

/// One request to one target.
struct Leg<P> {
    shared: Arc<Shared<P>>,
    number: usize,
    target: TargetKey,
    expected: Duration,
    deadline: Moment,
    route: Arc<Route>,
}

impl<P> Leg<P>
where
    P: Protocol,
{
    async fn run(self, call: Arc<Call>) -> (usize, Outcome) {
        let shared = &self.shared;
        let start = shared.clock.now();
        let mut open = Open {
            shared,
            target: self.target,
            sign: Sign::Dropped,
        };
        let peer = {
            let placement = shared.placement();
            placement.registry.get(self.target).map(|target| Peer {
                key: self.target,
                name: Arc::clone(&target.name),
                address: target.report.address,
                alone: self.route.kind == Kind::Once,
            })
        };
        let Some(peer) = peer else {
            return (self.number, Outcome::NotRun(Cause::Gone));
        };
        let heard = shared
            .pool
            .call(&shared.protocol, &call, &peer, self.deadline)
            .await;
        let now = shared.clock.now();
        let took = now.since(start);
        open.sign = Option::<Sign>::from(&heard.outcome).unwrap_or(Sign::Answered {
            took,
            expected: self.expected,
        });
        if let Some(cold) = heard.cold {
            shared.placement().registry.cool(self.target, cold, now);
        }
        if matches!(heard.outcome, Outcome::Done(_)) {
            shared.record(&self.route.name, took);
        }
        drop(open);
        (self.number, heard.outcome)
    }
}

/// Tells the placement what became of a leg, also if it is dropped.
struct Open<'a, P> {
    shared: &'a Shared<P>,
    target: TargetKey,
    sign: Sign,
}

impl<P> Drop for Open<'_, P> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.placement().observe(self.target, self.sign, now);
    }
}

/// Counts a request of a caller for as long as it lives.
struct Running<'a, P>(&'a Shared<P>);

impl<'a, P> Running<'a, P> {
    fn new(shared: &'a Shared<P>) -> Self {
        shared.running.fetch_add(1, Ordering::AcqRel);
        Self(shared)
    }
}

impl<P> Drop for Running<'_, P> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}
