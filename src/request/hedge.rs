//! Decides when a slow subrequest is hedged, and bounds the extra load of hedges and retries.
//!
//! `docs/decisions/005-tail.md` gives the reasons.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::latency::LatencyEstimator;
use super::stall::StallDetector;
use crate::time::Moment;
use crate::wire::Load;

/// The lower bound of the adaptive hedge delay; below it, scheduling noise alone would cause hedges.
pub const DELAY_FLOOR: Duration = Duration::from_millis(2);
/// The upper bound of the adaptive hedge delay, which also applies while too few latencies are known.
pub const DELAY_CEILING: Duration = Duration::from_millis(100);
/// The number of retry tokens that 100 first subrequests deposit.
pub const RETRY_PERCENT: f64 = 10.0;
/// The number of retry tokens added per second to the budget of one coordinator, however few subrequests it
/// sends, so that queries of a rarely used index survive the loss of one replica. A retry to a service of
/// high utilisation costs more of them.
pub const RETRY_FLOOR_PER_SECOND: f64 = 5.0;
/// The number of tokens in a new budget. One token pays for one extra subrequest to a service whose
/// utilisation is at most [`BUDGET_SHRINK_UTILISATION`].
pub const BUDGET_INITIAL_TOKENS: f64 = 10.0;
/// The limit on tokens in a budget, which bounds a burst of extra subrequests after a time without any.
pub const BUDGET_MAX_TOKENS: f64 = 100.0;
/// The utilisation of a service above which the budget available to it shrinks linearly, to zero at 1.0.
pub const BUDGET_SHRINK_UTILISATION: f64 = 0.7;
/// The limit on services whose latency and load are recorded; it bounds the memory if services are renamed
/// often.
pub const MAX_SERVICES: usize = 65_536;

/// When hedges are sent; the benchmark compares the default with the simpler policies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// No hedges are sent.
    None,
    /// Hedges are sent after a constant delay.
    Fixed(Duration),
    /// Hedges are sent after the 95th percentile of the recent latencies of the service.
    #[default]
    Adaptive,
}

/// The latencies, utilisation and budgets of one coordinator, shared by all of its queries.
#[derive(Debug)]
pub struct HedgeController {
    policy: Policy,
    services: HashMap<Arc<str>, Service>,
    hedge_budget: Budget,
    retry_budget: Budget,
    /// Detects gateways that return no results.
    pub stalls: StallDetector,
}

impl HedgeController {
    /// Creates a controller without latencies, whose budgets hold their initial tokens.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            services: HashMap::new(),
            hedge_budget: Budget::new(),
            retry_budget: Budget::new(),
            stalls: StallDetector::default(),
        }
    }

    /// Returns the time after which a subrequest to `service` is hedged, or `None` if it never is.
    pub fn delay(&self, service: &str) -> Option<Duration> {
        match self.policy {
            Policy::None => None,
            Policy::Fixed(delay) => Some(delay),
            Policy::Adaptive => Some(self.expected_latency(service)),
        }
    }

    /// Returns the 95th percentile of the recent latencies of `service`, clamped to [`DELAY_FLOOR`] and
    /// [`DELAY_CEILING`].
    pub fn expected_latency(&self, service: &str) -> Duration {
        let percentile = self
            .services
            .get(service)
            .and_then(|it| it.latency.percentile());
        percentile
            .unwrap_or(DELAY_CEILING)
            .clamp(DELAY_FLOOR, DELAY_CEILING)
    }

    /// Adds the tokens that one first subrequest pays into both budgets.
    pub fn deposit(&mut self, hedge_percent: f64) {
        self.hedge_budget.deposit(hedge_percent / 100.0);
        self.retry_budget.deposit(RETRY_PERCENT / 100.0);
    }

    /// Records the latency of a subrequest to `service`, or a lower bound if it was cancelled.
    pub fn record_latency(&mut self, service: &Arc<str>, latency: Duration) {
        if let Some(service) = self.service(service) {
            service.latency.record(latency);
        }
    }

    /// Records the load that a gateway reported for a target of `service`; ignores reports without a limit.
    pub fn record_load(&mut self, service: &Arc<str>, load: Load) {
        if load.limit > 0
            && let Some(service) = self.service(service)
        {
            service.add_load(load);
        }
    }

    /// Withdraws the budget for one hedge to `service`; returns `false` if there is not enough.
    pub fn withdraw_hedge(&mut self, service: &str) -> bool {
        let budget_factor = self.budget_factor(service);
        self.hedge_budget.try_withdraw(budget_factor)
    }

    /// Withdraws the budget for one retry to `service`; returns `false` if there is not enough.
    pub fn withdraw_retry(&mut self, service: &str, now: Moment) -> bool {
        self.retry_budget.refill(now);
        let budget_factor = self.budget_factor(service);
        self.retry_budget.try_withdraw(budget_factor)
    }

    /// Returns the factor from 0 to 1 that makes extra subrequests to a highly utilised `service` dearer:
    /// each costs `1 / factor` tokens.
    fn budget_factor(&self, service: &str) -> f64 {
        let utilisation = self.services.get(service).map_or(0.0, |it| it.utilisation);
        ((1.0 - utilisation) / (1.0 - BUDGET_SHRINK_UTILISATION)).clamp(0.0, 1.0)
    }

    fn service(&mut self, name: &Arc<str>) -> Option<&mut Service> {
        if !self.services.contains_key(name) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(Arc::clone(name), Service::default());
        }
        self.services.get_mut(name)
    }
}

/// The recent latency and load of one service.
#[derive(Debug, Default)]
struct Service {
    latency: LatencyEstimator,
    /// An exponential moving average of (queued + running) / limit over the load reports of its targets.
    utilisation: f64,
}

impl Service {
    /// The weight of one report in the moving average of the utilisation.
    const REPORT_WEIGHT: f64 = 1.0 / 32.0;
    /// The limit on the utilisation of one report, so that one long queue does not stop the hedges of a
    /// whole service for long.
    const MAX_REPORTED_UTILISATION: f64 = 2.0;

    fn add_load(&mut self, load: Load) {
        let requests = f64::from(load.queued) + f64::from(load.running);
        let reported = (requests / f64::from(load.limit)).min(Self::MAX_REPORTED_UTILISATION);
        self.utilisation += (reported - self.utilisation) * Self::REPORT_WEIGHT;
    }
}

/// A token bucket for extra subrequests; each first subrequest deposits a fraction of a token.
#[derive(Debug)]
struct Budget {
    tokens: f64,
    last_refill: Moment,
}

impl Budget {
    const fn new() -> Self {
        Self {
            tokens: BUDGET_INITIAL_TOKENS,
            last_refill: Moment::ZERO,
        }
    }

    const fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(BUDGET_MAX_TOKENS);
    }

    /// Adds the tokens for the time since the last refill, at [`RETRY_FLOOR_PER_SECOND`].
    fn refill(&mut self, now: Moment) {
        self.deposit(now.since(self.last_refill).as_secs_f64() * RETRY_FLOOR_PER_SECOND);
        self.last_refill = self.last_refill.max(now);
    }

    /// Withdraws `1 / factor` tokens, so that the rate of extra subrequests is proportional to the factor;
    /// returns `false` if there are too few.
    fn try_withdraw(&mut self, factor: f64) -> bool {
        if factor * self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0 / factor;
        true
    }
}
