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
pub const WINDOW: Duration = Duration::from_millis(200);
/// Queries whose subrequests make a window, at least. The subrequests of one query share its work and its
/// moment, so a window needs those of several.
const QUERIES_MIN: usize = 6;
/// The span after which a window ends also without them.
const WINDOW_MAX: Duration = Duration::from_secs(1);
/// A median above this multiple of the usual one means overload. At two thirds of the capacity the mean
/// wait of a target with two slots equals its work.
const OVERLOAD: f64 = 2.0;
/// A median above this multiple means that there is no room for subrequests beyond the first.
const STRAIN: f64 = 1.6;
/// The rate is lowered to this part of what was begun in an overloaded window.
const DECREASE: f64 = 0.8;
/// The rate grows by this factor in each other window, so by half in a second.
const INCREASE: f64 = 1.08;
/// The lowest rate, in queries a second. Some must begin, or the end of the overload would not show.
const RATE_MIN: f64 = 2.0;
/// After this time without a refusal the rate is no longer limited.
const CALM: Duration = Duration::from_secs(2);
/// The usual median rises towards what is seen by this part in each window, so that targets that stay
/// slower are not taken for overloaded ones for ever.
const RISE: f64 = 0.01;
/// It falls by this part. Taking over a lower median at once would make the luckiest window the usual.
const FALL: f64 = 0.1;

/// The limit on queries of one destination.
#[derive(Debug)]
pub struct Admission {
    /// Queries a second; none if they are not limited.
    rate: Option<f64>,
    tokens: f64,
    refilled: Moment,
    refused: Moment,
    window: Moment,
    /// The subrequests of one query.
    shards: usize,
    begun: u32,
    /// Subrequest times in proportion to what their routes expect when nothing waits.
    times: Vec<f32>,
    usual: Option<f64>,
    strained: bool,
    /// Whether the last window was overloaded.
    overloaded: bool,
}

impl Admission {
    /// Opens an admission without a limit, for queries over a number of shards.
    pub const fn open(now: Moment, shards: usize) -> Self {
        Self {
            rate: None,
            tokens: 0.0,
            refilled: now,
            refused: now,
            window: now,
            shards,
            begun: 0,
            times: Vec::new(),
            usual: None,
            strained: false,
            overloaded: false,
        }
    }

    /// Tells whether queries are limited now.
    pub const fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Tells whether the targets still have more to do than usual.
    pub const fn is_strained(&self) -> bool {
        self.strained
    }

    /// Returns the queries a second that may begin, if they are limited.
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Asks to begin a query.
    pub fn begin(&mut self, now: Moment) -> bool {
        self.turn(now);
        if let Some(rate) = self.rate {
            self.tokens += now.since(self.refilled).as_secs_f64() * rate;
            // Tokens for a tenth of a second absorb the randomness of arrivals.
            self.tokens = self.tokens.min((rate / 10.0).max(1.0));
            self.refilled = now;
            if self.tokens < 1.0 {
                self.refused = now;
                return false;
            }
            self.tokens -= 1.0;
        }
        self.begun += 1;
        true
    }

    /// Records how long a subrequest took in proportion to the usual time of its route.
    pub fn record(&mut self, ratio: f64, now: Moment) {
        self.turn(now);
        self.times.push(ratio as f32);
    }

    /// Ends the window if its time has come.
    fn turn(&mut self, now: Moment) {
        let length = now.since(self.window);
        if length < WINDOW {
            return;
        }
        let queries = self.times.len() / self.shards.max(1);
        let overdue = length >= WINDOW_MAX;
        // While few queries may begin, few must do.
        if queries >= QUERIES_MIN || (overdue && self.rate.is_some() && queries > 0) {
            let middle = self.times.len() / 2;
            let (_, median, _) = self.times.select_nth_unstable_by(middle, f32::total_cmp);
            let median = f64::from(*median);
            self.adapt(median, length, now);
        } else if overdue {
            // The targets have nothing to do, or are all silent.
            self.rate = self.rate.map(|rate| rate * INCREASE);
        } else {
            return;
        }
        self.times.clear();
        self.begun = 0;
        self.window = now;
    }

    fn adapt(&mut self, median: f64, length: Duration, now: Moment) {
        let usual = self.usual.unwrap_or(median);
        self.usual = Some(if median < usual {
            usual - (usual - median) * FALL
        } else {
            usual + (median - usual).min(usual) * RISE
        });
        let overloaded = median > usual * OVERLOAD;
        let before = std::mem::replace(&mut self.overloaded, overloaded);
        self.strained = self.rate.is_some() && median > usual * STRAIN;
        // A reshard or a pause of this node fills one window with slow subrequests.
        if overloaded && (before || self.rate.is_some()) {
            let begun = f64::from(self.begun) / length.as_secs_f64();
            let limit = self.rate.map_or(begun, |rate| rate.min(begun));
            if self.rate.is_none() {
                self.tokens = 0.0;
                self.refilled = now;
                self.refused = now;
            }
            self.rate = Some((limit * DECREASE).max(RATE_MIN));
        } else if let Some(rate) = self.rate {
            let calm = now.since(self.refused) >= CALM;
            self.rate = (!calm).then_some(rate * INCREASE);
        }
    }
}
