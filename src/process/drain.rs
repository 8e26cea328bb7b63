//! The planned stop of a node, which interrupts no request.
//!
//! Callers may use a kept address list for [`LIST_LIFETIME`], so a node serves for that time after it left
//! the lists, and only then refuses new requests. See `docs/design.md`, sections 2 (P9) and 6.

use std::time::Duration;

use super::address::LIST_LIFETIME;
use crate::time::Moment;

/// Time beyond [`LIST_LIFETIME`] for which the node still serves: other nodes list it until the next exchange
/// shows that it stops (300 ms, twice if one is lost), and a list takes time to reach the caller.
pub const MARGIN: Duration = Duration::from_secs(1);
/// Time for which the node refuses new requests even if nothing runs, so that callers that were about
/// to connect are told another address instead of meeting a closed port.
pub const REFUSE: Duration = Duration::from_millis(500);
/// Longest time to wait for running requests; it equals the longest deadline that callers may set.
pub const FINISH_MAX: Duration = Duration::from_mins(1);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// No stop is planned.
    Serving,
    /// The node is in no new address list, but serves callers that have an older one.
    Unlisted,
    /// New requests are refused with "not run" and other addresses.
    Refusing,
    /// New requests are refused, and the node waits for the running ones.
    Finishing,
    /// The process may end.
    Done,
}

/// What happened to a node that may stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The operator or the platform asks the node to stop.
    Stop,
    /// Time passed, or a request ended.
    Tick {
        /// Requests of callers and subrequests of other nodes that run now.
        running: usize,
    },
}

/// The course of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Drain {
    phase: Phase,
    since: Moment,
    /// Set when the wait for running requests ended before they did.
    interrupted: bool,
}

impl Drain {
    /// Starts a node that serves.
    pub fn open(now: Moment) -> Self {
        Self {
            phase: Phase::Serving,
            since: now,
            interrupted: false,
        }
    }

    /// Takes an event and returns the phase after it. Phases only advance.
    pub fn step(&mut self, event: Event, now: Moment) -> Phase {
        let elapsed = now.since(self.since);
        let next = match (self.phase, event) {
            (Phase::Serving, Event::Stop) => Some(Phase::Unlisted),
            (Phase::Unlisted, Event::Tick { .. }) if elapsed >= LIST_LIFETIME + MARGIN => {
                Some(Phase::Refusing)
            }
            (Phase::Refusing, Event::Tick { .. }) if elapsed >= REFUSE => Some(Phase::Finishing),
            (Phase::Finishing, Event::Tick { running })
                if running == 0 || elapsed >= FINISH_MAX =>
            {
                self.interrupted = running > 0;
                Some(Phase::Done)
            }
            _ => None,
        };
        if let Some(next) = next {
            self.phase = next;
            self.since = now;
        }
        self.phase
    }

    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the node belongs in callers' address lists.
    pub fn listed(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether the node takes new requests from callers.
    pub fn accepts(&self) -> bool {
        self.phase <= Phase::Unlisted
    }

    /// Returns whether the stop ended while requests were still running.
    pub fn interrupted(&self) -> bool {
        self.interrupted
    }

    /// Returns when the next [`Event::Tick`] is due, apart from requests that end.
    pub fn wake(&self) -> Option<Moment> {
        let wait = match self.phase {
            Phase::Serving | Phase::Done => return None,
            Phase::Unlisted => LIST_LIFETIME + MARGIN,
            Phase::Refusing => REFUSE,
            Phase::Finishing => FINISH_MAX,
        };
        Some(self.since + wait)
    }
}
