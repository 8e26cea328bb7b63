//! Admission control: limits the rate of new queries while their targets are overloaded.
//!
//! A query needs nearly all of its shards, so most queries fail if targets shed one subrequest in ten, and a
//! failed query has already used capacity of the other shards. In a burst of several times the usual traffic,
//! each node lowers the rate at which it starts queries until the targets answer in about their usual time
//! again. It refuses the other queries at once, as not run.
//!
//! Overload is detected by the median time of subrequests. Single targets that pause, slow down, fail or shed
//! load do not move the median, but load on all of them does.

use std::time::Duration;

use super::retry::Returns;
use super::share::{Claim, Share};
use crate::time::Moment;

/// Minimum length of the window over which the median is taken.
pub const WINDOW_MIN: Duration = Duration::from_millis(200);
/// Minimum number of queries whose subrequests fill a window. The subrequests of one query share its work and
/// its time, so a window needs those of several queries.
const WINDOW_QUERIES_MIN: usize = 6;
/// Length after which a window ends even with fewer queries.
const WINDOW_MAX: Duration = Duration::from_secs(1);
/// A median above this multiple of the baseline means overload. A target with two slots reaches twice its
/// processing time on average, half of it waiting, at about 70% of its capacity (M/M/2 queue).
const OVERLOAD_RATIO: f64 = 2.0;
/// While the rate is limited, a median above this multiple of the baseline means that there is no capacity
/// for hedges.
const HEDGE_SUPPRESSION_RATIO: f64 = 1.6;
/// The new rate after an overloaded window, as a fraction of the rate at which queries started in it or of
/// the present limit, whichever is lower.
const RATE_DECREASE_FACTOR: f64 = 0.8;
/// Growth of a limited rate in each window that is not overloaded; about a half in one second if
/// windows last [`WINDOW_MIN`].
const RATE_INCREASE_FACTOR: f64 = 1.08;
/// If queries state claims, the rate is not lowered again within this time. Queries that started before wait in the
/// targets' queues, so that their subrequests do not show yet what the lower rate has done.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Minimum growth of a limited rate in each window that is not overloaded, as a part of the demand, if queries state
/// claims. Without it, a node whose rate had fallen to 3 queries per second kept it for the rest of a load of 15 s,
/// while others ran 40.
const DEMAND_INCREASE: f64 = 0.12;
/// Minimum rate, in queries per second. Without any queries, the end of the overload could not be detected.
const RATE_MIN_PER_SECOND: f64 = 2.0;
/// Time without a refusal, counted from the start of the limit at the earliest, after which the rate is no
/// longer limited.
const UNLIMITED_AFTER: Duration = Duration::from_secs(2);
/// The part of the difference to a higher median by which the baseline rises in each window, so that targets
/// that stay slower do not count as overloaded for ever. The difference counts up to the baseline itself.
const BASELINE_RISE: f64 = 0.01;
/// The part of the difference to a lower median by which the baseline falls in each window. Adopting a lower
/// median at once would make the fastest window the baseline.
const BASELINE_FALL: f64 = 0.1;

/// The admission control of one destination, that is, of the queries over the same shards.
#[derive(Debug)]
pub struct Admission {
    /// Queries per second that may start; `None` while they are not limited.
    rate: Option<f64>,
    tokens: f64,
    refilled_at: Moment,
    /// When a query was last refused, or when the limit started, whichever is later.
    last_refusal_or_start: Moment,
    window_start: Moment,
    /// Subrequests per query.
    shards: usize,
    begun_in_window: u32,
    /// Times of the window's subrequests, as multiples of the usual time of their route.
    time_ratios: Vec<f32>,
    baseline_median: Option<f64>,
    suppresses_hedges: bool,
    /// Whether the last window was overloaded.
    overloaded: bool,
    /// When the rate was lowered last.
    lowered_at: Moment,
    /// Whether queries state claims.
    graded: bool,
    /// Divides the limited rate among queries that state a claim.
    share: Share,
    /// The refused callers whose queries state a claim.
    returns: Returns,
}

impl Admission {
    /// Creates an admission control without a limit, for queries over `shards` shards.
    ///
    /// The seed is that of the random draws among queries that state a claim.
    pub fn new(now: Moment, shards: usize, seed: u64) -> Self {
        Self {
            rate: None,
            tokens: 0.0,
            refilled_at: now,
            last_refusal_or_start: now,
            window_start: now,
            shards,
            begun_in_window: 0,
            time_ratios: Vec::new(),
            baseline_median: None,
            suppresses_hedges: false,
            overloaded: false,
            lowered_at: now,
            graded: false,
            share: Share::new(now, seed),
            returns: Returns::new(now, seed),
        }
    }

    /// Returns whether the rate of queries is limited now.
    pub const fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Returns whether hedges should not be sent, because the targets are still slower than usual.
    pub const fn suppresses_hedges(&self) -> bool {
        self.suppresses_hedges
    }

    /// Returns the queries per second that may start, or `None` while they are not limited.
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Asks to start a query; returns whether it may start or must be refused.
    pub fn try_begin(&mut self, now: Moment) -> bool {
        self.close_window_if_due(now);
        self.graded = false;
        if let Some(rate) = self.rate {
            self.tokens += now.since(self.refilled_at).as_secs_f64() * rate;
            // A burst of a tenth of a second absorbs the randomness of arrivals.
            self.tokens = self.tokens.min((rate / 10.0).max(1.0));
            self.refilled_at = now;
            if self.tokens < 1.0 {
                self.last_refusal_or_start = now;
                return false;
            }
            self.tokens -= 1.0;
        }
        self.begun_in_window += 1;
        true
    }

    /// Asks to start a query of a deployment in which urgency or tenants differ; returns whether it may start or must be
    /// refused.
    pub fn try_begin_claim(&mut self, claim: &Claim, now: Moment) -> bool {
        self.close_window_if_due(now);
        self.graded = true;
        let admitted = self.share.admit(claim, self.rate, now);
        if admitted {
            self.begun_in_window += 1;
        } else {
            self.last_refusal_or_start = now;
        }
        admitted
    }

    /// Returns after which time the caller of a query with a claim that was refused just now should come back.
    pub fn return_time(&mut self, time_left: Duration, now: Moment) -> Duration {
        let rate = self.rate.unwrap_or(RATE_MIN_PER_SECOND);
        self.returns.refuse(rate, time_left, now)
    }

    /// Records the time of a subrequest, as a multiple of the usual time of its route.
    pub fn record(&mut self, ratio: f64, now: Moment) {
        self.close_window_if_due(now);
        self.time_ratios.push(ratio as f32);
    }

    /// Ends the window and adjusts the rate if the window is long enough.
    fn close_window_if_due(&mut self, now: Moment) {
        let length = now.since(self.window_start);
        if length < WINDOW_MIN {
            return;
        }
        let queries = self.time_ratios.len() / self.shards.max(1);
        let overdue = length >= WINDOW_MAX;
        // While the rate is limited, few queries start, so few must suffice.
        if queries >= WINDOW_QUERIES_MIN || (overdue && self.rate.is_some() && queries > 0) {
            let middle = self.time_ratios.len() / 2;
            let (_, median, _) = self
                .time_ratios
                .select_nth_unstable_by(middle, f32::total_cmp);
            let median = f64::from(*median);
            self.adjust_rate(median, length, now);
        } else if overdue {
            // The targets are idle, or none of them answers.
            self.rate = self.rate.map(|rate| self.increased(rate, now));
        } else {
            return;
        }
        self.time_ratios.clear();
        self.begun_in_window = 0;
        self.window_start = now;
    }

    /// Adjusts the baseline and the rate to the median of the window that ends now.
    ///
    /// The second overloaded window in a row starts the limit, and each further one lowers the rate. Other
    /// windows raise a limited rate, until [`UNLIMITED_AFTER`] has passed without a refusal.
    fn adjust_rate(&mut self, median: f64, length: Duration, now: Moment) {
        let baseline_median = self.baseline_median.unwrap_or(median);
        self.baseline_median = Some(if median < baseline_median {
            baseline_median - (baseline_median - median) * BASELINE_FALL
        } else {
            baseline_median + (median - baseline_median).min(baseline_median) * BASELINE_RISE
        });
        let overloaded = median > baseline_median * OVERLOAD_RATIO;
        let was_overloaded = std::mem::replace(&mut self.overloaded, overloaded);
        self.suppresses_hedges =
            self.rate.is_some() && median > baseline_median * HEDGE_SUPPRESSION_RATIO;
        // A single overloaded window does not start the limit: a change of shards or a pause of this node
        // fills one window with slow subrequests.
        if overloaded && (was_overloaded || self.rate.is_some()) {
            let settling = self.graded && now.since(self.lowered_at) < SETTLING_TIME;
            if settling && self.rate.is_some() {
                return;
            }
            self.lowered_at = now;
            let begun_per_second = self.begun_per_second(length, now);
            let limit = self
                .rate
                .map_or(begun_per_second, |rate| rate.min(begun_per_second));
            if self.rate.is_none() {
                self.tokens = 0.0;
                self.refilled_at = now;
                self.last_refusal_or_start = now;
            }
            self.rate = Some((limit * RATE_DECREASE_FACTOR).max(RATE_MIN_PER_SECOND));
        } else if let Some(rate) = self.rate {
            let lift_limit = now.since(self.last_refusal_or_start) >= UNLIMITED_AFTER;
            self.rate = (!lift_limit).then_some(self.increased(rate, now));
        }
    }

    /// Returns the rate at which queries started in a window of this length.
    ///
    /// With claims, it is at least that of the last second, and at least the limit if more came than that. Few queries
    /// start in a window, and by their number the rate would fall far below what the targets can run.
    fn begun_per_second(&self, length: Duration, now: Moment) -> f64 {
        let in_window = f64::from(self.begun_in_window) / length.as_secs_f64();
        if !self.graded {
            return in_window;
        }
        let offered = self.share.offered_per_second(now);
        let limit = self.rate.filter(|rate| *rate <= offered);
        in_window
            .max(self.share.ran_per_second(now))
            .max(limit.unwrap_or_default())
    }

    /// Returns a limited rate after a window that was not overloaded. With claims, it also grows by a part of the demand,
    /// so that nodes whose rates have fallen to different parts of their demands come to the same part again.
    fn increased(&self, rate: f64, now: Moment) -> f64 {
        let increased = rate * RATE_INCREASE_FACTOR;
        if self.graded {
            increased.max(rate + self.share.offered_per_second(now) * DEMAND_INCREASE)
        } else {
            increased
        }
    }
}
