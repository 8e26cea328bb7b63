//! Reconciliation: brings what a node knows in line with a store that has come back from an older copy.
//!
//! The copy lacks what was acknowledged last, until those who had written it write it again. It lists targets that
//! have left since, and lacks targets that have come. A change that only the copy shows is therefore held back
//! for a while, and dropped if its key is written meanwhile. See `docs/decisions/011-restored-store.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::mirror::{Change, KeyState};
use super::registry::REREGISTRATION_GRACE;
use crate::time::Moment;

/// For how many heartbeats of a target an entry of the copy is held back. The store removes the entry of a target
/// after three heartbeats of silence, so the one that is still there belongs to a target that runs.
const COPIED_ENTRY_HEARTBEATS: u32 = 4;

/// The changes that are held back, by key.
#[derive(Debug)]
pub struct Reconciliation {
    copied_entry_hold: Duration,
    held: BTreeMap<String, Held>,
}

#[derive(Debug)]
struct Held {
    change: Change,
    until: Moment,
}

impl Reconciliation {
    /// Creates a reconciliation without changes. `target_heartbeat` is the interval at which targets write to the
    /// store.
    pub const fn open(target_heartbeat: Duration) -> Self {
        Self {
            copied_entry_hold: target_heartbeat.saturating_mul(COPIED_ENTRY_HEARTBEATS),
            held: BTreeMap::new(),
        }
    }

    /// Takes a change that the copy shows, and the state that its key had before. Returns the change if it takes
    /// effect at once: nothing is known of its key.
    pub fn hold(&mut self, change: Change, before: KeyState, now: Moment) -> Option<Change> {
        let hold = match (&change, before) {
            (_, KeyState::Unknown) => return Some(change),
            (Change::Removed(_), _) => REREGISTRATION_GRACE,
            (Change::Put(..), _) => self.copied_entry_hold,
        };
        let until = now + hold;
        self.held
            .insert(change.key().to_owned(), Held { change, until });
        None
    }

    /// Drops the held change of a key that has been written since.
    pub fn supersede(&mut self, key: &str) {
        self.held.remove(key);
    }

    /// Returns the changes that are held back no longer.
    pub fn due(&mut self, now: Moment) -> Vec<Change> {
        let due = self.held.extract_if(.., |_, held| held.until <= now);
        due.map(|(_, held)| held.change).collect()
    }
}
