//! An entry instance: accepts the requests of callers and sends subrequests directly to the targets.
//!
//! The decisions are made elsewhere: [`Fanout`](crate::request::fanout::Fanout) runs a request, [`Placement`]
//! chooses targets, [`Roster`] tracks the other nodes, and [`follow`](super::follow) replicates the store.
//! This module connects them to the clock and the sockets.

mod control;
mod report;
mod rollouts;
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
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::budget::{Bound, Budget};
use super::journal::RateLimiter;
use super::lag::Lag;
use super::meters::Meters;
use super::mirror::Mirror;
use super::placement::Placement;
use super::roster::Roster;
use crate::balancing;
use crate::connection::head::Place;
use crate::connection::keyspace::{Keyspace, Revision};
use crate::connection::memory;
use crate::connection::mirror::Update;
use crate::connection::outbound::{self, Call, Pool, Protocol};
use crate::overload::admission::Admission;
use crate::overload::share::Claim;
use crate::quota::{self, Quotas};
use crate::request::latency::LatencyEstimator;
use crate::rollout::Bounds;
use crate::rollout::state::Rollouts;
use crate::tenancy::Credential;
use crate::time::{Clock, Moment};
use crate::version::item::{Codec, Node};
use crate::version::route::{Destination, Kind, Limits, Route, Table};

/// How long callers may cache an address list. Some cache it three times as long, and [`DRAIN_PERIOD`]
/// covers them.
pub const ADDRESS_LIST_LIFETIME: Duration = Duration::from_secs(1);
/// How long a stopping node still accepts requests after it has left the address lists, so that callers
/// with a cached list are served.
pub const DRAIN_PERIOD: Duration = Duration::from_millis(3_400);
/// The last part of the platform's grace period, which is reserved for the exit of the process.
pub const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// How long before [`EXIT_MARGIN`] all running requests are answered, so that their answers still reach the callers.
pub const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The configuration of an entry instance.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name, the addresses and the capacity of this node.
    pub node: Node,
    /// The peer addresses of hosts on which other nodes may run. Heartbeats go to the hosts until the nodes
    /// are known, and a node without settings asks these addresses for them if the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// The bound on hedges and retries, over all nodes.
    pub extra_request_bound: Bound,
    /// The bound on the requests of each tenant, over all nodes.
    pub quota_bound: quota::Bound,
    /// How long a planned stop may take before the platform kills the process.
    pub grace_period: Duration,
    /// The interval at which targets write to the store.
    pub target_heartbeat: Duration,
    /// The memory that callers may make the node hold.
    pub memory: memory::Budget,
    /// The memory that connections to targets may hold, which also bounds their number.
    pub target_memory: outbound::Memory,
    /// How the node estimates the slowness of targets.
    pub balancing: balancing::Mode,
    /// The bounds on the exposure to versions that are rolled out; absent if roll-outs are off.
    pub rollout: Option<Bounds>,
}

/// The adapters through which an entry instance uses a platform.
#[derive(Debug)]
pub struct Platform<K, P, C> {
    /// The platform's key-value store.
    pub keyspace: Arc<K>,
    /// The protocol in which targets are called.
    pub protocol: P,
    /// The codec for the items in the store.
    pub codec: C,
}

/// A request of a caller, as it was read from its connection.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The host name in the request, which selects the route together with the path.
    pub host: String,
    /// The part of the request that is sent to targets.
    pub call: Call,
    /// The key in the request; absent if it has none, or several.
    pub credential: Option<Credential>,
    /// How long the caller waits for the answer, counted from `sent_at`. If absent, the timeout of the
    /// route applies.
    pub caller_timeout: Option<Duration>,
    /// The estimated time at which the caller sent the request; see [`Entry::estimate_sent_at`].
    pub sent_at: Moment,
    /// The place of the request on its connection.
    pub place: Place,
}

/// The handle of a running entry instance. Clones refer to the same instance.
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

/// The state that all requests and the control actor of a node share.
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
    quotas: Mutex<Quotas>,
    latency_estimates: Mutex<HashMap<Arc<str>, Estimate>>,
    /// The admission control of queries over all shards, keyed by the first shard of their destination.
    admissions: Mutex<HashMap<Arc<str>, Admission>>,
    /// Until when the route table is known to be the newest one, in microseconds of the clock. Zero until
    /// the store or another node has confirmed it for the first time.
    fresh_until: AtomicU64,
    /// How long a planned stop may take, in microseconds.
    grace_period_us: AtomicU64,
    stopping: AtomicBool,
    /// When every request must have been answered: never, unless a planned stop has begun.
    answer_by: watch::Sender<Moment>,
    /// Cancelled when the control actor has ended.
    failed: CancellationToken,
    running_requests: AtomicUsize,
    lag: Mutex<Lag>,
    meters: Meters,
    log_limits: Mutex<LogLimits>,
}

/// The rate limits of the log lines that requests cause.
#[derive(Debug)]
struct LogLimits {
    requests: RateLimiter,
    subrequests: RateLimiter,
}

impl LogLimits {
    /// Maximum number of "request ended" lines per second. An overloaded node refuses many more requests.
    const REQUESTS_PER_SECOND: u32 = 50;
    /// Maximum number of lines about subrequests and probes per second. A query over twenty shards may
    /// fail at all of them.
    const SUBREQUESTS_PER_SECOND: u32 = 100;
}

/// The latency of the subrequests of one route.
#[derive(Debug)]
struct Estimate {
    /// The exponentially weighted mean of all latencies.
    mean: Duration,
    /// The mean after the first [`Self::BASELINE_SAMPLES`] latencies. Admission control gets latencies
    /// divided by it, so that the routes of one destination can be compared.
    baseline_mean: Duration,
    /// The number of latencies in `baseline_mean`, up to [`Self::BASELINE_SAMPLES`].
    baseline_samples: u32,
    /// The percentile of recent latencies above which subrequests are hedged.
    high_percentile: LatencyEstimator,
}

impl Estimate {
    /// Queries over all shards hedge the slowest subrequests, one in this number. A query over twenty shards
    /// is late if one subrequest is. The budget limits extra requests as well; with one in six subrequests
    /// allowed, it covers these hedges.
    const QUERY_HEDGE_ONE_IN: u16 = 10;
    /// Queries over [`Self::WIDE_QUERY_MIN_SHARDS`] shards or more hedge the slowest subrequests, one in this
    /// number. Nearly all of these queries have a slow subrequest. If only one subrequest in ten is hedged,
    /// hedges are sent so late that half of these queries take three quarters of their latency objective. The
    /// budget may allow fewer hedges than this.
    const WIDE_QUERY_HEDGE_ONE_IN: u16 = 5;
    /// The number of shards from which a query counts as wide.
    const WIDE_QUERY_MIN_SHARDS: usize = 40;
    /// Requests to a single target hedge the slowest subrequests, one in this number.
    const SINGLE_TARGET_HEDGE_ONE_IN: u16 = 20;
    /// A new latency contributes one part in this number to the mean.
    const MEAN_WEIGHT_ONE_IN: u32 = 32;
    /// The number of latencies from which the baseline is computed.
    const BASELINE_SAMPLES: u32 = 200;
    /// Minimum time after which a subrequest is hedged.
    const HEDGE_DELAY_MIN: Duration = Duration::from_millis(8);

    fn new(route: &Route, shards: usize) -> Self {
        let hedge_one_in = match shards {
            0..=1 => Self::SINGLE_TARGET_HEDGE_ONE_IN,
            2..Self::WIDE_QUERY_MIN_SHARDS => Self::QUERY_HEDGE_ONE_IN,
            _ => Self::WIDE_QUERY_HEDGE_ONE_IN,
        };
        // Until latencies are known, one sixth of the latency objective stands for the mean.
        Self {
            mean: route.latency_objective / 6,
            baseline_mean: route.latency_objective / 6,
            baseline_samples: 0,
            high_percentile: LatencyEstimator::with_tail_divisor(hedge_one_in),
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

    /// Returns the time after which a subrequest is hedged: the high percentile of the latencies, but at
    /// least [`Self::HEDGE_DELAY_MIN`] and otherwise at most 9/20 of the latency objective. While the
    /// percentile is unknown, a third of the latency objective takes its place.
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
    /// Starts an entry instance: its control actor, the tasks that follow the store, and the socket for
    /// heartbeats.
    pub async fn spawn<K, C>(config: Config, platform: Platform<K, P, C>) -> anyhow::Result<Self>
    where
        K: Keyspace,
        C: Codec,
    {
        let clock = Clock::start();
        let codec: Arc<dyn Codec> = Arc::new(platform.codec);
        let budget = Budget::open(config.extra_request_bound, config.seeds.len());
        let mut placement = Placement::open(
            Arc::from(config.node.data_centre.as_str()),
            budget,
            &config.node.name,
            rand::rng().random(),
        );
        placement.set_balancing(config.balancing);
        placement.rollouts = Rollouts::open(config.rollout, &config.node.name);
        let pool = Pool::new(clock, config.memory.clone(), config.target_memory.clone());
        placement.set_subrequests_max(config.target_memory.connections_max());
        let mirrors = codec.prefixes().iter().map(|&prefix| Mirror::open(prefix));
        let shared = Arc::new(Shared {
            clock,
            protocol: platform.protocol,
            route_table: ArcSwapOption::empty(),
            placement: Mutex::new(placement),
            pool,
            roster: Mutex::default(),
            mirrors: Mutex::new(mirrors.collect()),
            quotas: Mutex::new(Quotas::open(
                config.quota_bound,
                config.seeds.len(),
                rand::rng().random(),
                clock.now(),
            )),
            latency_estimates: Mutex::default(),
            admissions: Mutex::default(),
            fresh_until: AtomicU64::new(0),
            grace_period_us: AtomicU64::new(
                u64::try_from(config.grace_period.as_micros()).unwrap_or(u64::MAX),
            ),
            stopping: AtomicBool::new(false),
            answer_by: watch::Sender::new(Moment::NEVER),
            failed: CancellationToken::new(),
            running_requests: AtomicUsize::new(0),
            lag: Mutex::new(Lag::open(clock.now())),
            meters: Meters::open(),
            log_limits: Mutex::new(LogLimits {
                requests: RateLimiter::open(LogLimits::REQUESTS_PER_SECOND),
                subrequests: RateLimiter::open(LogLimits::SUBREQUESTS_PER_SECOND),
            }),
            config,
        });
        let control = control::spawn(Arc::clone(&shared), &platform.keyspace, codec)
            .await
            .context("cannot start the control actor")?;
        tokio::spawn(track_lag(Arc::downgrade(&shared)));
        Ok(Self { shared, control })
    }

    /// Estimates when the caller sent a request whose head has just been read.
    ///
    /// A process that lacks processor time reads requests late, so its measured lag is subtracted.
    pub fn estimate_sent_at(&self) -> Moment {
        self.shared.estimate_arrival(self.shared.clock.now())
    }

    /// Returns the present moment on the clock of the instance.
    pub fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    /// Returns the memory that callers may make the node hold.
    pub fn memory(&self) -> &memory::Budget {
        &self.shared.config.memory
    }

    /// Returns the size limits for requests of callers, from the settings in force.
    pub fn limits(&self) -> Limits {
        let table = self.shared.route_table.load();
        table
            .as_ref()
            .map_or_else(Limits::default, |table| table.limits)
    }

    /// Tells whether the node accepts requests of callers: it has a confirmed route table and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Tells whether the node stops, so that connections of callers are closed after the current request.
    pub fn is_stopping(&self) -> bool {
        self.shared.stopping.load(Ordering::Acquire)
    }

    /// Returns the addresses of nodes that a caller in the data centre should use, the nearest first.
    pub fn addresses(&self, data_centre: &str) -> Vec<SocketAddr> {
        let own = self.is_ready().then_some(&self.shared.config.node);
        let now = self.shared.clock.now();
        self.shared
            .roster()
            .addresses(data_centre, own, &mut rand::rng(), now)
    }

    /// Returns the changes of the mirrors after the given revisions, one revision per mirror, for a node that
    /// has every earlier change. A missing revision counts as zero.
    pub fn update_since(&self, after: &[Revision]) -> Update {
        let now = self.shared.clock.now();
        let until = Moment::from_micros(self.shared.fresh_until.load(Ordering::Acquire));
        let after = after.iter().copied().chain(std::iter::repeat(Revision(0)));
        let mirrors = self.shared.mirrors();
        let copies = mirrors
            .iter()
            .zip(after)
            .map(|(mirror, after)| mirror.export(after));
        Update {
            copies: copies.collect(),
            fresh_for: now.until(until),
        }
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let log_limits = self.shared.log_limits();
        let rate_limited_lines = log_limits.requests.dropped() + log_limits.subrequests.dropped();
        drop(log_limits);
        let targets = self.shared.config.target_memory.usage();
        let meters = &self.shared.meters;
        meters.set_memory(&self.memory().usage(), &targets);
        let open_subrequests = self.shared.placement().open_subrequests();
        let meter = &self.shared.meters.open_subrequests;
        meter.set(i64::from(open_subrequests));
        self.shared.meters.render(rate_limited_lines)
    }

    /// Applies new bounds on extra requests and on the requests of tenants, and a new grace period for planned stops.
    pub fn reconfigure(
        &self,
        extra_request_bound: Bound,
        quota_bound: quota::Bound,
        grace_period: Duration,
    ) {
        self.shared.quotas().set_bound(quota_bound);
        self.shared
            .placement()
            .budget
            .set_bound(extra_request_bound);
        let grace_period_us = u64::try_from(grace_period.as_micros()).unwrap_or(u64::MAX);
        self.shared
            .grace_period_us
            .store(grace_period_us, Ordering::Release);
    }

    /// Waits until the node can no longer follow changes, because its control actor has ended after an error or
    /// a panic. The process must then end, so that the platform starts it again.
    pub async fn failed(&self) {
        self.shared.failed.cancelled().await;
    }

    /// Begins a planned stop: leaves the address lists, and keeps serving callers that hold an older list for
    /// [`DRAIN_PERIOD`]. Returns how long the requests that run after it may take, which ends [`EXIT_MARGIN`]
    /// before the end of the grace period.
    ///
    /// The caller must then stop accepting requests. A node that accepted them until the end would cut the last
    /// ones off. Requests whose targets have not answered [`LAST_ANSWER_MARGIN`] before the end are answered as at
    /// their deadline.
    pub async fn stop(&self) -> Duration {
        self.shared.stopping.store(true, Ordering::Release);
        let start = self.shared.clock.now();
        self.notify_control(control::Message::Stop);
        let grace_period =
            Duration::from_micros(self.shared.grace_period_us.load(Ordering::Acquire));
        let serving_time = grace_period.saturating_sub(EXIT_MARGIN);
        let answer_time = serving_time.saturating_sub(LAST_ANSWER_MARGIN);
        self.shared.answer_by.send_replace(start + answer_time);
        log::info!(
            running = self.shared.running_requests.load(Ordering::Relaxed),
            answer_ms = answer_time.as_millis() as u64;
            "running requests are answered before the planned stop ends"
        );
        tokio::time::sleep(DRAIN_PERIOD.min(serving_time)).await;
        self.shared.clock.now().until(start + serving_time)
    }

    /// Sends a message to the control actor.
    fn notify_control(&self, message: control::Message) {
        // If the actor has ended, the process ends; see `failed`.
        let _running = self.control.cast(message);
    }
}

impl<P> Shared<P> {
    fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Acquire)
            && self.route_table.load().is_some()
            && self.fresh_until.load(Ordering::Acquire) > 0
    }

    /// Estimates when something arrived at this process that it handles now.
    fn estimate_arrival(&self, now: Moment) -> Moment {
        now - self.lag().at(now)
    }

    /// Tells whether a newer route table may exist that this node does not have yet.
    fn is_uncertain(&self, now: Moment) -> bool {
        now.as_micros() >= self.fresh_until.load(Ordering::Acquire)
    }

    fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    fn quotas(&self) -> MutexGuard<'_, Quotas> {
        lock(&self.quotas)
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

    /// Returns the mean latency of a subrequest of the route, and the time after which it is hedged.
    /// A request that is not idempotent is never hedged: its delay is the timeout.
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

    /// Records the latency of an answered subrequest, for the estimate of the route and for admission
    /// control.
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

    /// Asks admission control to start a request. Returns whether it is admitted, and whether its
    /// destination is too loaded for hedges.
    ///
    /// A claim is given if it matters whose request is refused.
    fn admit(&self, route: &Route, claim: Option<&Claim>, now: Moment) -> (bool, bool) {
        match &route.destination {
            Destination::OneTarget(_) => (true, false),
            Destination::AllShards(gather) if gather.shards.is_empty() => (true, false),
            Destination::AllShards(gather) => {
                self.with_admission(&gather.shards, now, |admission| {
                    let admitted = match claim {
                        Some(claim) => admission.try_begin_claim(claim, now),
                        None => admission.try_begin(now),
                    };
                    (admitted, admission.suppresses_hedges())
                })
            }
        }
    }

    /// Returns after which time the caller of a query should come back that admission control has refused.
    fn return_time(&self, route: &Route, time_left: Duration, now: Moment) -> Option<Duration> {
        let Destination::AllShards(gather) = &route.destination else {
            return None;
        };
        if gather.shards.is_empty() {
            return None;
        }
        Some(self.with_admission(&gather.shards, now, |admission| {
            admission.return_time(time_left, now)
        }))
    }

    /// Calls `f` with the admission control of a destination, which must have at least one shard.
    fn with_admission<F, T>(&self, shards: &[Arc<str>], now: Moment, f: F) -> T
    where
        F: FnOnce(&mut Admission) -> T,
    {
        /// Maximum number of destinations. When it is reached, all are discarded, including those of
        /// older settings versions.
        const DESTINATIONS_MAX: usize = 64;
        let mut admissions = lock(&self.admissions);
        if admissions.len() >= DESTINATIONS_MAX {
            admissions.clear();
        }
        let admission = admissions
            .entry(Arc::clone(&shards[0]))
            .or_insert_with(|| Admission::new(now, shards.len(), rand::rng().random()));
        f(admission)
    }
}

/// Locks a mutex even if it is poisoned, because a panic elsewhere leaves the value usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the heartbeat address of the node on a host. All instances use the same port.
const fn heartbeat_address(host: IpAddr, own: SocketAddr) -> SocketAddr {
    SocketAddr::new(host, own.port())
}

/// Updates the lag measurement of this process until the entry instance is dropped.
async fn track_lag<P>(shared: Weak<Shared<P>>) {
    loop {
        let Some(due) = shared
            .upgrade()
            .map(|shared| shared.clock.instant(shared.lag().next_wake()))
        else {
            return;
        };
        tokio::time::sleep_until(due.into()).await;
        if let Some(shared) = shared.upgrade() {
            let now = shared.clock.now();
            shared.lag().record_wake(now);
        }
    }
}
