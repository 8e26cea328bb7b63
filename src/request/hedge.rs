//! Decides when a slow subrequest gets a second one, and how much extra load hedges and retries may cause.
//!
//! `docs/decisions/005-tail.md` gives the reasons.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::latency::LatencyEstimator;
use super::stall::StallDetector;
use crate::time::Moment;
use crate::wire::Load;

/// The shortest adaptive delay; below it, scheduling noise alone would cause hedges.
pub const DELAY_FLOOR: Duration = Duration::from_millis(2);
/// The longest adaptive delay, also used while too few latencies are known.
pub const DELAY_CEILING: Duration = Duration::from_millis(100);
/// The share of subrequests, in percent, that may be followed by a retry.
pub const RETRY_PERCENT: f64 = 10.0;
/// Retries per second that are allowed however few subrequests are sent, so that a rarely used index survives
/// the loss of one replica.
pub const RETRY_FLOOR_PER_SECOND: f64 = 5.0;
/// Tokens that a budget starts with.
pub const BUDGET_INITIAL_TOKENS: f64 = 10.0;
/// Tokens that a budget holds at most, which bounds a burst of extra subrequests after a quiet time.
pub const BUDGET_MAX_TOKENS: f64 = 100.0;
/// The utilisation from which budgets shrink; they reach zero at full utilisation.
pub const BUDGET_SHRINK_UTILISATION: f64 = 0.7;
/// Services with recorded latencies; it bounds the memory if services are renamed often.
pub const MAX_SERVICES: usize = 65_536;

/// When hedges are sent; the simpler ways exist for comparison by the benchmark.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Never.
    None,
    /// After a constant delay.
    Fixed(Duration),
    /// After the 95th percentile of the service's recent latencies.
    #[default]
    Adaptive,
}

/// Latencies, utilisation and budgets of one node, shared by its queries.
#[derive(Debug)]
pub struct HedgeController {
    policy: Policy,
    services: HashMap<Arc<str>, Service>,
    hedges: Budget,
    retries: Budget,
    /// Gateways that give no results.
    pub stalls: StallDetector,
}

impl HedgeController {
    /// Opens the state without any latencies.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            services: HashMap::new(),
            hedges: Budget::new(),
            retries: Budget::new(),
            stalls: StallDetector::default(),
        }
    }

    /// Returns the time after which a subrequest to `service` is hedged, or nothing if it never is.
    pub fn delay(&self, service: &str) -> Option<Duration> {
        match self.policy {
            Policy::None => None,
            Policy::Fixed(delay) => Some(delay),
            Policy::Adaptive => Some(self.expected_latency(service)),
        }
    }

    /// Returns the 95th percentile of the recent latencies of `service`, within the floor and ceiling.
    pub fn expected_latency(&self, service: &str) -> Duration {
        let known = self
            .services
            .get(service)
            .and_then(|it| it.latency.percentile());
        known
            .unwrap_or(DELAY_CEILING)
            .clamp(DELAY_FLOOR, DELAY_CEILING)
    }

    /// Adds the budget that one first subrequest brings.
    pub fn deposit(&mut self, hedge_percent: f64) {
        self.hedges.deposit(hedge_percent / 100.0);
        self.retries.deposit(RETRY_PERCENT / 100.0);
    }

    /// Records how long a subrequest to `service` took, or at least took before it was cancelled.
    pub fn record_latency(&mut self, service: &Arc<str>, latency: Duration) {
        if let Some(service) = self.service(service) {
            service.latency.record(latency);
        }
    }

    /// Records the load that a gateway reported for a target of `service`.
    pub fn record_load(&mut self, service: &Arc<str>, load: Load) {
        if load.limit > 0
            && let Some(service) = self.service(service)
        {
            service.add_load(load);
        }
    }

    /// Takes the budget for one hedge to `service`, if there is enough.
    pub fn withdraw_hedge(&mut self, service: &str) -> bool {
        let allowance = self.allowance(service);
        self.hedges.try_withdraw(allowance)
    }

    /// Takes the budget for one retry to `service`, if there is enough.
    pub fn withdraw_retry(&mut self, service: &str, now: Moment) -> bool {
        self.retries.refill(now);
        let allowance = self.allowance(service);
        self.retries.try_withdraw(allowance)
    }

    /// Returns the part of the budget that is left at the utilisation of `service`, from 0 to 1.
    fn allowance(&self, service: &str) -> f64 {
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

/// What is known about one service.
#[derive(Debug, Default)]
struct Service {
    latency: LatencyEstimator,
    /// A moving average of (queued + running) / limit over the reports of its targets.
    utilisation: f64,
}

impl Service {
    /// The weight of one report in the moving average.
    const WEIGHT: f64 = 1.0 / 32.0;
    /// The largest utilisation that one report counts for, so that one long queue does not stop
    /// hedging for a whole service for long.
    const MOST: f64 = 2.0;

    fn add_load(&mut self, load: Load) {
        let ahead = f64::from(load.queued) + f64::from(load.running);
        let reported = (ahead / f64::from(load.limit)).min(Self::MOST);
        self.utilisation += (reported - self.utilisation) * Self::WEIGHT;
    }
}

/// Tokens for extra subrequests; first subrequests deposit fractions of a token.
#[derive(Debug)]
struct Budget {
    tokens: f64,
    refilled: Moment,
}

impl Budget {
    const fn new() -> Self {
        Self {
            tokens: BUDGET_INITIAL_TOKENS,
            refilled: Moment::ZERO,
        }
    }

    const fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(BUDGET_MAX_TOKENS);
    }

    /// Adds what is earned by time alone.
    fn refill(&mut self, now: Moment) {
        self.deposit(now.since(self.refilled).as_secs_f64() * RETRY_FLOOR_PER_SECOND);
        self.refilled = self.refilled.max(now);
    }

    /// Takes one token at full allowance, and more as the allowance shrinks: the rate of extra subrequests
    /// then falls in proportion to the allowance.
    fn try_withdraw(&mut self, allowance: f64) -> bool {
        if allowance * self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0 / allowance;
        true
    }
}
