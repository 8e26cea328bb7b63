//! How late this process does what it could do: the wait of its tasks for the processor.
//!
//! It answers the load of an instance that has less processor time than its callers ask for. What such an
//! instance reads has waited unseen in its sockets, so the caller has less patience left than the request
//! says. The measure is a task that wakes at fixed times and notes how late it was, because every other
//! task waits as long as this one.

use std::time::Duration;

use crate::time::Moment;

/// The time between two wakes. Shorter ones would cost more processor time than the precision is worth:
/// targets may be given half a second too much.
pub const WAKE_PERIOD: Duration = Duration::from_millis(50);

/// The lateness of this process.
#[derive(Debug)]
pub struct Lag {
    next_wake: Moment,
    last_lateness: Duration,
}

impl Lag {
    /// Opens a measure that wakes for the first time after a [`WAKE_PERIOD`].
    pub fn open(now: Moment) -> Self {
        Self {
            next_wake: now + WAKE_PERIOD,
            last_lateness: Duration::ZERO,
        }
    }

    /// Returns when the task should wake next.
    pub const fn next_wake(&self) -> Moment {
        self.next_wake
    }

    /// Notes a wake.
    pub fn record_wake(&mut self, now: Moment) {
        self.last_lateness = now.since(self.next_wake);
        self.next_wake = now + WAKE_PERIOD;
    }

    /// Returns how long what is read now may have waited.
    pub fn at(&self, now: Moment) -> Duration {
        // A wake that is overdue says more than the one before it.
        self.last_lateness.max(now.since(self.next_wake))
    }
}
