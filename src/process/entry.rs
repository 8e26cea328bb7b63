//! An entry instance that reaches targets directly: what callers, other nodes and the platform meet.
//!
//! The decisions are elsewhere: [`Fanout`] runs a request, [`Placement`] chooses targets, [`Roster`]
//! knows the nodes, [`follow`] keeps up with the store. This module ties them to time and sockets.

mod control;
mod report;
mod serve;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use anyhow::Context;
use arc_swap::ArcSwapOption;
use ractor::ActorRef;
use rand::Rng;

use super::budget::{Bound, Budget};
use super::journal::Limit;
use super::lag::Lag;
use super::meters::Meters;
use super::mirror::Mirror;
use super::placement::Placement;
use super::roster::Roster;
use crate::connection::keyspace::{Keyspace, Revision};
use crate::connection::mirror::Update;
use crate::connection::outbound::{Call, Pool, Protocol};
use crate::request::admission::Admission;
use crate::request::latency::Latency;
use crate::time::{Clock, Moment};
use crate::version::item::{Dialect, Node};
use crate::version::route::{Destination, Kind, Limits, Route, Table};

/// How long callers may keep an address list. Some keep it three times as long, which a planned stop
/// waits for.
pub const ADDRESS_LIST_LIFETIME: Duration = Duration::from_secs(1);
/// How long a node serves after it left the address lists.
pub const DRAIN_PERIOD: Duration = Duration::from_millis(3_400);
/// Time at the end of the platform's grace that is kept for the exit itself.
pub const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// What an entry instance is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where this node can be reached.
    pub node: Node,
    /// Hosts on which other nodes may run.
    pub seeds: Vec<SocketAddr>,
    /// The bound on extra requests.
    pub extra_request_bound: Bound,
    /// How long a planned stop may take.
    pub grace_period: Duration,
}

/// The adapters of a platform.
#[derive(Debug)]
pub struct Platform<K, P, D> {
    /// The store.
    pub keyspace: Arc<K>,
    /// How targets are called.
    pub protocol: P,
    /// What the store's items mean.
    pub dialect: D,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The host that the caller named.
    pub host: String,
    /// What goes to targets.
    pub call: Call,
    /// How long the caller waits, counted from when it sent the request.
    pub caller_timeout: Option<Duration>,
    /// When the caller sent the request, as far as this node knows.
    pub sent_at: Moment,
}

/// The handle of a running entry instance.
#[derive(Debug)]
pub struct Entry<P> {
    shared: Arc<Shared<P>>,
    control: ActorRef<control::Message>,
}

impl<P> Clone for Entry<P> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            control: self.control.clone(),
        }
    }
}

/// What all requests of a node share.
#[derive(Debug)]
struct Shared<P> {
    config: Config,
    clock: Clock,
    protocol: P,
    route_table: ArcSwapOption<Table>,
    placement: Mutex<Placement>,
    pool: Pool,
    roster: Mutex<Roster>,
    mirrors: Mutex<Vec<Mirror>>,
    latency_estimates: Mutex<HashMap<Arc<str>, Estimate>>,
    /// The admission of queries, by the first of their shards.
    admissions: Mutex<HashMap<Arc<str>, Admission>>,
    /// Until when the table is known to be the newest one, in microseconds of the clock.
    fresh_until: AtomicU64,
    /// How long a planned stop may take, in microseconds.
    grace_period_us: AtomicU64,
    stopping: AtomicBool,
    running_requests: AtomicUsize,
    lag: Mutex<Lag>,
    meters: Meters,
    log_limits: Mutex<LogLimits>,
}

/// The rates of the kinds of log lines that requests cause.
#[derive(Debug)]
struct LogLimits {
    requests: Limit,
    subrequests: Limit,
}

impl LogLimits {
    /// Failed and refused requests that are logged a second; an overloaded node refuses many more.
    const REQUESTS_PER_SECOND: u32 = 50;
    /// Subrequests that are logged a second: a query over twenty shards may fail at all of them.
    const SUBREQUESTS_PER_SECOND: u32 = 100;
}

/// How long subrequests of a route take.
#[derive(Debug)]
struct Estimate {
    mean: Duration,
    /// The mean of the first subrequests, which relates the routes of a destination to each other.
    baseline_mean: Duration,
    baseline_samples: u32,
    high_percentile: Latency,
}

impl Estimate {
    /// Subrequests after which gathers hedge, as one in this number. A query over twenty shards is late if
    /// one subrequest is, and the budget bears a subrequest in six.
    const QUERY_HEDGE_ONE_IN: u16 = 10;
    /// The same for queries over [`Self::WIDE_QUERY_MIN_SHARDS`] shards or more, nearly all of which met a slow subrequest:
    /// with one subrequest in ten, hedges left so late that half of the queries took three quarters of their
    /// objective.
    const WIDE_QUERY_HEDGE_ONE_IN: u16 = 5;
    /// Shards from which a query is wide.
    const WIDE_QUERY_MIN_SHARDS: usize = 40;
    /// The same for requests to one target.
    const SINGLE_TARGET_HEDGE_ONE_IN: u16 = 20;
    /// The weight of one latency in the mean, as one in this number.
    const MEAN_WEIGHT_ONE_IN: u32 = 32;
    /// Subrequests from which the usual time is learned.
    const BASELINE_SAMPLES: u32 = 200;
    /// The shortest time after which a subrequest is hedged.
    const HEDGE_DELAY_MIN: Duration = Duration::from_millis(8);

    fn new(route: &Route, shards: usize) -> Self {
        let hedge_one_in = match shards {
            0..=1 => Self::SINGLE_TARGET_HEDGE_ONE_IN,
            2..Self::WIDE_QUERY_MIN_SHARDS => Self::QUERY_HEDGE_ONE_IN,
            _ => Self::WIDE_QUERY_HEDGE_ONE_IN,
        };
        Self {
            mean: route.latency_objective / 6,
            baseline_mean: route.latency_objective / 6,
            baseline_samples: 0,
            high_percentile: Latency::above(hedge_one_in),
        }
    }

    fn record(&mut self, took: Duration) {
        self.mean = (self.mean * (Self::MEAN_WEIGHT_ONE_IN - 1) + took) / Self::MEAN_WEIGHT_ONE_IN;
        if self.baseline_samples < Self::BASELINE_SAMPLES {
            self.baseline_samples += 1;
            self.baseline_mean = self.mean;
        }
        self.high_percentile.record(took);
    }

    fn hedge_delay(&self, route: &Route) -> Duration {
        let delay_max = (route.latency_objective * 9 / 20).max(Self::HEDGE_DELAY_MIN);
        self.high_percentile
            .percentile()
            .unwrap_or(route.latency_objective / 3)
            .clamp(Self::HEDGE_DELAY_MIN, delay_max)
    }
}

impl<P> Entry<P>
where
    P: Protocol,
{
    /// Starts an entry instance.
    pub async fn spawn<K, D>(config: Config, platform: Platform<K, P, D>) -> anyhow::Result<Self>
    where
        K: Keyspace,
        D: Dialect,
    {
        let clock = Clock::start();
        let dialect: Arc<dyn Dialect> = Arc::new(platform.dialect);
        let budget = Budget::open(config.extra_request_bound, config.seeds.len());
        let placement = Placement::open(
            Arc::from(config.node.data_centre.as_str()),
            budget,
            &config.node.name,
            rand::rng().random(),
        );
        let mirrors = dialect
            .prefixes()
            .iter()
            .map(|&prefix| Mirror::open(prefix));
        let shared = Arc::new(Shared {
            clock,
            protocol: platform.protocol,
            route_table: ArcSwapOption::empty(),
            placement: Mutex::new(placement),
            pool: Pool::open(clock),
            roster: Mutex::default(),
            mirrors: Mutex::new(mirrors.collect()),
            latency_estimates: Mutex::default(),
            admissions: Mutex::default(),
            fresh_until: AtomicU64::new(0),
            grace_period_us: AtomicU64::new(
                u64::try_from(config.grace_period.as_micros()).unwrap_or(u64::MAX),
            ),
            stopping: AtomicBool::new(false),
            running_requests: AtomicUsize::new(0),
            lag: Mutex::new(Lag::open(clock.now())),
            meters: Meters::open(),
            log_limits: Mutex::new(LogLimits {
                requests: Limit::open(LogLimits::REQUESTS_PER_SECOND),
                subrequests: Limit::open(LogLimits::SUBREQUESTS_PER_SECOND),
            }),
            config,
        });
        let control = control::spawn(Arc::clone(&shared), &platform.keyspace, dialect)
            .await
            .context("cannot start the control actor")?;
        tokio::spawn(track_lag(Arc::downgrade(&shared)));
        Ok(Self { shared, control })
    }

    /// Returns when a request was sent of which the first bytes are read now.
    pub fn estimate_sent_at(&self) -> Moment {
        let now = self.shared.clock.now();
        now - self.shared.lag().at(now)
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> Limits {
        let table = self.shared.route_table.load();
        table.as_ref().map_or_else(Limits::default, |it| it.limits)
    }

    /// Tells whether the node takes callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Tells whether connections should end after the present request.
    pub fn is_stopping(&self) -> bool {
        self.shared.stopping.load(Ordering::Acquire)
    }

    /// Returns the addresses for a caller in a data centre.
    pub fn addresses(&self, data_centre: &str) -> Vec<SocketAddr> {
        let own = self.is_ready().then_some(&self.shared.config.node);
        let now = self.shared.clock.now();
        self.shared
            .roster()
            .addresses(data_centre, own, &mut rand::rng(), now)
    }

    /// Returns what another node lacks that has every change up to the revisions.
    pub fn update_since(&self, after: &[Revision]) -> Update {
        let now = self.shared.clock.now();
        let until = Moment::from_micros(self.shared.fresh_until.load(Ordering::Acquire));
        let after = after.iter().copied().chain(std::iter::repeat(Revision(0)));
        let mirrors = self.shared.mirrors();
        let copies = mirrors
            .iter()
            .zip(after)
            .map(|(it, after)| it.export(after));
        Update {
            copies: copies.collect(),
            fresh_for: now.until(until),
        }
    }

    /// Renders the meters in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let log_limits = self.shared.log_limits();
        let rate_limited_lines = log_limits.requests.dropped() + log_limits.subrequests.dropped();
        drop(log_limits);
        self.shared.meters.render(rate_limited_lines)
    }

    /// Applies changed settings.
    pub fn reconfigure(&self, bound: Bound, grace: Duration) {
        self.shared.placement().budget.set_bound(bound);
        let micros = u64::try_from(grace.as_micros()).unwrap_or(u64::MAX);
        self.shared.grace_period_us.store(micros, Ordering::Release);
    }

    /// Stops as planned: leaves the address lists, serves for as long as callers keep them, and
    /// finishes what runs.
    pub async fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        let start = self.shared.clock.now();
        self.notify_control(control::Message::Stop);
        let grace = Duration::from_micros(self.shared.grace_period_us.load(Ordering::Acquire));
        let end = start + grace.saturating_sub(EXIT_MARGIN);
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let now = self.shared.clock.now();
            let running = self.shared.running_requests.load(Ordering::Acquire);
            if now >= end || (running == 0 && now.since(start) >= DRAIN_PERIOD) {
                return;
            }
        }
    }

    fn notify_control(&self, message: control::Message) {
        // The actor runs as long as the process.
        let _running = self.control.cast(message);
    }
}

impl<P> Shared<P> {
    fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Acquire)
            && self.route_table.load().is_some()
            && self.fresh_until.load(Ordering::Acquire) > 0
    }

    /// Tells whether a route that the table lacks may exist in a newer one.
    fn is_uncertain(&self, now: Moment) -> bool {
        now.as_micros() >= self.fresh_until.load(Ordering::Acquire)
    }

    fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    fn lag(&self) -> MutexGuard<'_, Lag> {
        lock(&self.lag)
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    fn log_limits(&self) -> MutexGuard<'_, LogLimits> {
        lock(&self.log_limits)
    }

    fn mirrors(&self) -> MutexGuard<'_, Vec<Mirror>> {
        lock(&self.mirrors)
    }

    /// Returns how long a subrequest of the route usually takes, and when it is hedged.
    fn estimate_latency(&self, route: &Route, shards: usize) -> (Duration, Duration) {
        let mut estimates = lock(&self.latency_estimates);
        let estimate = estimates
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| Estimate::new(route, shards));
        let hedge_delay = match route.kind {
            Kind::Idempotent => estimate.hedge_delay(route),
            Kind::NonIdempotent => route.timeout,
        };
        (estimate.mean, hedge_delay)
    }

    /// Records how long a subrequest of the route took.
    fn record_latency(&self, route: &Route, took: Duration, now: Moment) {
        let mut estimates = lock(&self.latency_estimates);
        let Some(estimate) = estimates.get_mut(&route.name) else {
            return;
        };
        estimate.record(took);
        let baseline_mean = estimate.baseline_mean;
        drop(estimates);
        if let Destination::AllShards(gather) = &route.destination
            && !gather.shards.is_empty()
        {
            let ratio = took.as_secs_f64() / baseline_mean.as_secs_f64().max(0.001);
            self.with_admission(&gather.shards, now, |it| it.record(ratio, now));
        }
    }

    /// Asks to begin a request; tells whether it may, and whether its destination has no room
    /// for extra subrequests.
    fn admit(&self, route: &Route, now: Moment) -> (bool, bool) {
        match &route.destination {
            Destination::OneTarget(_) => (true, false),
            Destination::AllShards(gather) if gather.shards.is_empty() => (true, false),
            Destination::AllShards(gather) => {
                self.with_admission(&gather.shards, now, |admission| {
                    (admission.begin(now), admission.is_strained())
                })
            }
        }
    }

    /// Lets the admission of a destination, of one shard at least, act.
    fn with_admission<F, T>(&self, shards: &[Arc<str>], now: Moment, f: F) -> T
    where
        F: FnOnce(&mut Admission) -> T,
    {
        /// Destinations that are remembered; older versions' shards are forgotten together.
        const DESTINATIONS_MAX: usize = 64;
        let mut admissions = lock(&self.admissions);
        if admissions.len() >= DESTINATIONS_MAX {
            admissions.clear();
        }
        let admission = admissions
            .entry(Arc::clone(&shards[0]))
            .or_insert_with(|| Admission::open(now, shards.len()));
        f(admission)
    }
}

/// Locks what requests share; a panic elsewhere leaves it usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the address for datagrams of a node on the host; the port is the same on all instances.
const fn heartbeat_address(host: IpAddr, own: SocketAddr) -> SocketAddr {
    SocketAddr::new(host, own.port())
}

/// Keeps the measure of this process's lateness up to date.
async fn track_lag<P>(shared: Weak<Shared<P>>) {
    loop {
        let Some(due) = shared.upgrade().map(|it| it.clock.instant(it.lag().due())) else {
            return;
        };
        tokio::time::sleep_until(due.into()).await;
        if let Some(shared) = shared.upgrade() {
            let now = shared.clock.now();
            shared.lag().wake(now);
        }
    }
}
