//! Slots: the places of a target that the subrequests of this node take.
//!
//! A subrequest takes its slot when its target is chosen, before the future exists that sends it. That future may be
//! dropped at any moment, even before its first turn, because the caller has left. A slot is free again when it is
//! dropped, so that no code has to run for it.

use std::sync::Arc;

use super::registry::TargetKey;

/// The slots of one target.
#[derive(Debug, Default)]
pub(super) struct Slots(Arc<()>);

impl Slots {
    /// Returns the number of slots that are taken.
    pub(super) fn taken(&self) -> u32 {
        u32::try_from(Arc::strong_count(&self.0) - 1).unwrap_or(u32::MAX)
    }

    /// Takes a slot of the target, which has the given key.
    pub(super) fn take(&self, target: TargetKey) -> Slot {
        Slot {
            target,
            _taken: Arc::clone(&self.0),
        }
    }
}

/// The place of one subrequest at its target, taken until this is dropped.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a slot that is dropped is free again"]
pub struct Slot {
    target: TargetKey,
    _taken: Arc<()>,
}

impl Slot {
    /// Returns the key of the target.
    pub const fn target(&self) -> TargetKey {
        self.target
    }
}
