//! Scheduling lag of the process: how long runnable tasks wait for the processor.
//!
//! An instance may have less processor time than its load needs. Requests that it reads then have waited in
//! socket buffers, so their callers have less time left than the deadline in the request says. The lag is
//! measured by a task that should wake periodically and records how late it wakes, because every other task
//! waits as long as this one.

use std::time::Duration;

use crate::time::Moment;

/// The period of the measuring task. A shorter one would cost more processor time than the precision is
/// worth: the time limit that a target gets may be half a second too long.
pub const WAKE_PERIOD: Duration = Duration::from_millis(50);

/// The measured scheduling lag of the process.
#[derive(Debug)]
pub struct Lag {
    next_wake: Moment,
    last_lateness: Duration,
}

impl Lag {
    /// Creates a measurement without lag; its task wakes for the first time after a [`WAKE_PERIOD`].
    pub fn open(now: Moment) -> Self {
        Self {
            next_wake: now + WAKE_PERIOD,
            last_lateness: Duration::ZERO,
        }
    }

    /// Returns when the measuring task should wake next.
    pub const fn next_wake(&self) -> Moment {
        self.next_wake
    }

    /// Records that the measuring task woke, and how late.
    pub fn record_wake(&mut self, now: Moment) {
        self.last_lateness = now.since(self.next_wake);
        self.next_wake = now + WAKE_PERIOD;
    }

    /// Returns how long data that is read now may have waited to be read.
    pub fn at(&self, now: Moment) -> Duration {
        // A wake-up that is already overdue can exceed the lateness of the previous one.
        self.last_lateness.max(now.since(self.next_wake))
    }
}
