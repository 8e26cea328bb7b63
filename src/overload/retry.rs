//! Decides after which time the caller of a refused query should come back.
//!
//! Load that it answers: the return of all refused callers at once, which would be a further burst. They are sent away
//! for random times, the longer the more of them there are for the rate that can run.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::time::Moment;

/// Minimum time after which a refused caller comes back. The rate of admitted queries changes once in 200 ms.
const RETURN_MIN: Duration = Duration::from_millis(150);
/// Minimum end of the range from which the time is drawn.
const RANGE_END_MIN: Duration = Duration::from_millis(600);
/// Callers come back only if it is at most this part of the time that they have left.
const CALLER_PATIENCE: u32 = 3;
/// The time within which refused callers are counted as waiting to return.
const WAITING_TIME: Duration = Duration::from_secs(1);

/// Returns a random time after which a caller should come back: until `cleared_after`, and at most a third of the time
/// that the caller has left. `draw` is a random number from 0 to 1.
pub fn spread(cleared_after: Duration, time_left: Duration, draw: f64) -> Duration {
    let latest = time_left / CALLER_PATIENCE;
    let end = cleared_after.max(RANGE_END_MIN).min(latest);
    // A caller with little time left gets the second half of what it can wait.
    let start = RETURN_MIN.min(end / 2);
    start + end.saturating_sub(start).mul_f64(draw)
}

/// The callers that were refused lately and are to come back.
#[derive(Debug)]
pub struct Returns {
    /// How many were refused within [`WAITING_TIME`], with the older ones counting less.
    waiting: f64,
    at: Moment,
    random: Pcg32,
}

impl Returns {
    /// Creates a record without any refused caller.
    pub fn new(now: Moment, seed: u64) -> Self {
        Self {
            waiting: 0.0,
            at: now,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Counts a refused caller, and returns after which time it should come back: at random until all of those refused
    /// lately could run at `rate` queries per second, and at most a third of the time that the caller has left.
    pub fn refuse(&mut self, rate: f64, time_left: Duration, now: Moment) -> Duration {
        let passed = now.since(self.at).as_secs_f64() / WAITING_TIME.as_secs_f64();
        self.waiting = self.waiting * (-passed).exp() + 1.0;
        self.at = now;
        let cleared_after = Duration::try_from_secs_f64(self.waiting / rate).unwrap_or(time_left);
        spread(cleared_after, time_left, self.random.random())
    }
}
