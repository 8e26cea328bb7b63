//! Which queries a node begins while their targets have more to do than they can.
//!
//! A query needs nearly all of its shards, so targets that shed one subrequest in ten fail most queries, and
//! each failed query has already used the others. The load answered here is a burst of several times
//! the usual traffic: each node lowers the rate at which it begins queries until the targets answer in
//! about their usual time again, and refuses the rest at once, as not run.
//!
//! The sign of overload is the median time of a subrequest. Single targets that pause, slow down, fail or
//! shed do not move it, and a load on all of them does.

use std::time::Duration;

use crate::time::Moment;

/// The span over which the median is taken.
pub const WINDOW_MIN: Duration = Duration::from_millis(200);
/// Queries whose subrequests make a window, at least. The subrequests of one query share its work and its
/// moment, so a window needs those of several.
const WINDOW_QUERIES_MIN: usize = 6;
/// The span after which a window ends also without them.
const WINDOW_MAX: Duration = Duration::from_secs(1);
/// A median above this multiple of the usual one means overload. At two thirds of the capacity the mean
/// wait of a target with two slots equals its work.
const OVERLOAD_RATIO: f64 = 2.0;
/// A median above this multiple means that there is no room for subrequests beyond the first.
const HEDGE_SUPPRESSION_RATIO: f64 = 1.6;
/// The rate is lowered to this part of what was begun in an overloaded window.
const RATE_DECREASE_FACTOR: f64 = 0.8;
/// The rate grows by this factor in each other window, so by half in a second.
const RATE_INCREASE_FACTOR: f64 = 1.08;
/// The lowest rate, in queries a second. Some must begin, or the end of the overload would not show.
const RATE_MIN_PER_SECOND: f64 = 2.0;
/// After this time without a refusal the rate is no longer limited.
const UNLIMITED_AFTER: Duration = Duration::from_secs(2);
/// The usual median rises towards what is seen by this part in each window, so that targets that stay
/// slower are not taken for overloaded ones for ever.
const BASELINE_RISE: f64 = 0.01;
/// It falls by this part. Taking over a lower median at once would make the luckiest window the usual.
const BASELINE_FALL: f64 = 0.1;

/// The limit on queries of one destination.
#[derive(Debug)]
pub struct Admission {
    /// Queries a second; none if they are not limited.
    rate: Option<f64>,
    tokens: f64,
    refilled_at: Moment,
    last_refusal: Moment,
    window_start: Moment,
    /// The subrequests of one query.
    shards: usize,
    begun_in_window: u32,
    /// Subrequest times in proportion to what their routes expect when nothing waits.
    time_ratios: Vec<f32>,
    baseline_median: Option<f64>,
    suppresses_hedges: bool,
    /// Whether the last window was overloaded.
    overloaded: bool,
}

impl Admission {
    /// Opens an admission without a limit, for queries over a number of shards.
    pub const fn open(now: Moment, shards: usize) -> Self {
        Self {
            rate: None,
            tokens: 0.0,
            refilled_at: now,
            last_refusal: now,
            window_start: now,
            shards,
            begun_in_window: 0,
            time_ratios: Vec::new(),
            baseline_median: None,
            suppresses_hedges: false,
            overloaded: false,
        }
    }

    /// Tells whether queries are limited now.
    pub const fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Tells whether the targets still have more to do than usual.
    pub const fn suppresses_hedges(&self) -> bool {
        self.suppresses_hedges
    }

    /// Returns the queries a second that may begin, if they are limited.
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Asks to begin a query.
    pub fn try_begin(&mut self, now: Moment) -> bool {
        self.close_window_if_due(now);
        if let Some(rate) = self.rate {
            self.tokens += now.since(self.refilled_at).as_secs_f64() * rate;
            // Tokens for a tenth of a second absorb the randomness of arrivals.
            self.tokens = self.tokens.min((rate / 10.0).max(1.0));
            self.refilled_at = now;
            if self.tokens < 1.0 {
                self.last_refusal = now;
                return false;
            }
            self.tokens -= 1.0;
        }
        self.begun_in_window += 1;
        true
    }

    /// Records how long a subrequest took in proportion to the usual time of its route.
    pub fn record(&mut self, ratio: f64, now: Moment) {
        self.close_window_if_due(now);
        self.time_ratios.push(ratio as f32);
    }

    /// Ends the window if its time has come.
    fn close_window_if_due(&mut self, now: Moment) {
        let length = now.since(self.window_start);
        if length < WINDOW_MIN {
            return;
        }
        let queries = self.time_ratios.len() / self.shards.max(1);
        let overdue = length >= WINDOW_MAX;
        // While few queries may begin, few must do.
        if queries >= WINDOW_QUERIES_MIN || (overdue && self.rate.is_some() && queries > 0) {
            let middle = self.time_ratios.len() / 2;
            let (_, median, _) = self
                .time_ratios
                .select_nth_unstable_by(middle, f32::total_cmp);
            let median = f64::from(*median);
            self.adjust_rate(median, length, now);
        } else if overdue {
            // The targets have nothing to do, or are all silent.
            self.rate = self.rate.map(|rate| rate * RATE_INCREASE_FACTOR);
        } else {
            return;
        }
        self.time_ratios.clear();
        self.begun_in_window = 0;
        self.window_start = now;
    }

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
        // A reshard or a pause of this node fills one window with slow subrequests.
        if overloaded && (was_overloaded || self.rate.is_some()) {
            let begun_per_second = f64::from(self.begun_in_window) / length.as_secs_f64();
            let limit = self
                .rate
                .map_or(begun_per_second, |rate| rate.min(begun_per_second));
            if self.rate.is_none() {
                self.tokens = 0.0;
                self.refilled_at = now;
                self.last_refusal = now;
            }
            self.rate = Some((limit * RATE_DECREASE_FACTOR).max(RATE_MIN_PER_SECOND));
        } else if let Some(rate) = self.rate {
            let release = now.since(self.last_refusal) >= UNLIMITED_AFTER;
            self.rate = (!release).then_some(rate * RATE_INCREASE_FACTOR);
        }
    }
}
