//! Monotonic time, which all decision logic takes as an argument.
//!
//! Decision logic never reads a clock, so that tests and the decision bench can replay it exactly. See
//! `docs/design.md`, section 6.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

use derive_more::Display;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in microseconds since the process started.
///
/// Moments of different processes must not be compared, because their clocks share no origin.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
pub struct Moment(u64);

impl Moment {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// A moment later than any other, which never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the moment `micros` microseconds after the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the moment `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` lies in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `later`, or zero if `later` has passed.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

/// The monotonic clock of a process, which only code that performs I/O reads.
///
/// It also counts the time for which the machine is suspended. Leases and the limits that others enforce go on
/// during that time, so a process that acts on them after a suspension must see that they have ended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// The time since the machine booted at which the process started.
    origin: Duration,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: time_since_boot(),
        }
    }

    /// Returns the present moment.
    pub fn now(self) -> Moment {
        Moment::ZERO + time_since_boot().saturating_sub(self.origin)
    }

    /// Returns a moment of this clock as the [`Instant`] that the timers of the runtime take. The timers do not
    /// count suspensions, so a timer may end later than the moment.
    pub fn instant(self, moment: Moment) -> Instant {
        /// Timers need a finite instant; no process runs for a year.
        const MAX_TIMER_DELAY: Duration = Duration::from_hours(365 * 24);
        let delay = self.now().until(moment).min(MAX_TIMER_DELAY);
        Instant::now() + delay
    }
}

/// Returns the time since the machine booted, including suspensions.
fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(now.tv_sec).unwrap_or_default(),
        u32::try_from(now.tv_nsec).unwrap_or_default(),
    )
}
