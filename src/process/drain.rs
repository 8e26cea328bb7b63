//! The phases of the planned stop of a node, which lets running requests finish.
//!
//! Callers may use an address list for [`LIST_LIFETIME`] after they received it. A node that stops therefore
//! goes on serving for that time after it was removed from new lists, and only then refuses new requests. See
//! `docs/design.md`, sections 2 (P9) and 6.

use std::time::Duration;

use super::address::LIST_LIFETIME;
use crate::time::Moment;

/// Time beyond [`LIST_LIFETIME`] for which a node still serves after it was removed from its own address
/// lists. Other nodes list it until their next exchange with it (every 300 ms, so 600 ms if one is lost), and
/// a list takes time to reach the caller.
pub const UNLISTED_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a node refuses new requests even if none is running. Callers that are about to connect then
/// get a refusal with other addresses instead of a closed port.
pub const REFUSING_TIME: Duration = Duration::from_millis(500);
/// Maximum wait for running requests. It equals the longest deadline that callers may set.
pub const FINISHING_TIME_MAX: Duration = Duration::from_mins(1);

/// The phase of a planned stop. Phases are passed in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// No stop is planned.
    Serving,
    /// The node is in no new address list, but still serves callers that hold an older list.
    Unlisted,
    /// New requests are refused as not run, with the addresses of other nodes.
    Refusing,
    /// New requests are refused, and the node waits for running requests to end.
    Finishing,
    /// All running requests have ended, or the wait was too long. The process may exit.
    Done,
}

/// An input to the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The operator or the platform asks the node to stop.
    Stop,
    /// Time has passed or a request has ended.
    Tick {
        /// Number of requests of callers that are running now.
        running: usize,
    },
}

/// The state of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Drain {
    phase: Phase,
    phase_started: Moment,
    /// Whether requests were still running when [`FINISHING_TIME_MAX`] was over.
    interrupted: bool,
}

impl Drain {
    /// Returns the state of a node that serves, in [`Phase::Serving`].
    pub fn open(now: Moment) -> Self {
        Self {
            phase: Phase::Serving,
            phase_started: now,
            interrupted: false,
        }
    }

    /// Handles an event and returns the resulting phase. The phase never goes back.
    pub fn step(&mut self, event: Event, now: Moment) -> Phase {
        let elapsed = now.since(self.phase_started);
        let next = match (self.phase, event) {
            (Phase::Serving, Event::Stop) => Some(Phase::Unlisted),
            (Phase::Unlisted, Event::Tick { .. }) if elapsed >= LIST_LIFETIME + UNLISTED_MARGIN => {
                Some(Phase::Refusing)
            }
            (Phase::Refusing, Event::Tick { .. }) if elapsed >= REFUSING_TIME => {
                Some(Phase::Finishing)
            }
            (Phase::Finishing, Event::Tick { running })
                if running == 0 || elapsed >= FINISHING_TIME_MAX =>
            {
                self.interrupted = running > 0;
                Some(Phase::Done)
            }
            _ => None,
        };
        if let Some(next) = next {
            self.phase = next;
            self.phase_started = now;
        }
        self.phase
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the node belongs in the address lists that it gives to callers.
    pub fn is_listed(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether the node accepts new requests from callers.
    pub fn accepts_requests(&self) -> bool {
        self.phase <= Phase::Unlisted
    }

    /// Returns whether the stop ended while requests were still running, which are then interrupted.
    pub fn was_interrupted(&self) -> bool {
        self.interrupted
    }

    /// Returns the moment at which an [`Event::Tick`] is due, unless a request ends earlier. Returns `None`
    /// if no stop is in progress.
    pub fn next_tick(&self) -> Option<Moment> {
        let wait = match self.phase {
            Phase::Serving | Phase::Done => return None,
            Phase::Unlisted => LIST_LIFETIME + UNLISTED_MARGIN,
            Phase::Refusing => REFUSING_TIME,
            Phase::Finishing => FINISHING_TIME_MAX,
        };
        Some(self.phase_started + wait)
    }
}
