//! Slots: the places of a target that the subrequests of this node take.
//!
//! A subrequest takes its slot when its target is chosen, before the future exists that sends it. That future may be
//! dropped at any moment, even before its first turn, because the caller has left. A slot is free again when it is
//! dropped, so that no code has to run for it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use super::pacing::Turn;
use super::registry::TargetKey;

/// The slots of one target, or of a node.
#[derive(Debug, Default)]
pub(super) struct Slots(Arc<()>);

impl Slots {
    /// Returns the number of slots that are taken.
    pub(super) fn taken(&self) -> u32 {
        u32::try_from(Arc::strong_count(&self.0) - 1).unwrap_or(u32::MAX)
    }

    /// Takes a slot of the target, which has the given key, and of the node, with the turn if the rate of the target is
    /// bounded.
    pub(super) fn take(
        &self,
        node: &Self,
        target: TargetKey,
        turn: Option<Turn>,
        returns: &Returns,
    ) -> Slot {
        Slot {
            target,
            _taken: [Arc::clone(&self.0), Arc::clone(&node.0)],
            is_sent: AtomicBool::new(false),
            costs: Costs { turn, extra: None },
            returns: returns.clone(),
        }
    }
}

/// What a subrequest uses up when it is sent.
#[derive(Debug, Default)]
pub(super) struct Costs {
    /// The turn of this node at a target whose rate is bounded.
    pub(super) turn: Option<Turn>,
    /// The service whose budget has paid for an extra subrequest.
    pub(super) extra: Option<Arc<str>>,
}

/// The costs of subrequests that were not sent. Clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Returns(Arc<Mutex<Vec<Costs>>>);

impl Returns {
    /// Removes all costs and returns them.
    pub(super) fn take(&self) -> Vec<Costs> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The place of one subrequest at its target and among those of its node, taken until this is dropped.
#[derive(Debug)]
#[must_use = "a slot that is dropped is free again"]
pub struct Slot {
    target: TargetKey,
    _taken: [Arc<()>; 2],
    is_sent: AtomicBool,
    costs: Costs,
    returns: Returns,
}

impl Slot {
    /// Returns the key of the target.
    pub const fn target(&self) -> TargetKey {
        self.target
    }

    /// Returns whether the subrequest may have been written, which is set before its first byte. Unless it was, its
    /// costs are returned when the slot is dropped.
    pub const fn is_sent(&self) -> &AtomicBool {
        &self.is_sent
    }

    /// Records that the budget of a service has paid for the subrequest.
    pub(crate) fn set_extra(&mut self, service: Arc<str>) {
        self.costs.extra = Some(service);
    }
}

impl PartialEq for Slot {
    fn eq(&self, other: &Self) -> bool {
        self.target == other.target
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let has_costs = self.costs.turn.is_some() || self.costs.extra.is_some();
        if has_costs && !self.is_sent.load(Ordering::Relaxed) {
            let mut returns = self
                .returns
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            returns.push(std::mem::take(&mut self.costs));
        }
    }
}
