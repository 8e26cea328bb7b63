//! A mirror: a node's local replica of the store's items under one prefix.
//!
//! Changes come from the store or from the mirror of another node. The changes of each key are applied in the
//! order of their revisions, in whatever order they arrive. See `docs/decisions/008-platform.md`.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::connection::keyspace::{Event, Item, Revision};

/// Maximum number of removed keys that are remembered, so that an older value from another node does not
/// restore them.
const REMOVED_KEYS_MAX: usize = 4_096;

/// The replica of the items under one prefix.
#[derive(Debug, Clone)]
pub struct Mirror {
    prefix: &'static str,
    items: BTreeMap<String, Value>,
    /// The revisions of removed keys. The oldest ones are discarded first.
    removed: BTreeMap<String, Revision>,
    /// The items and the removals contain every change of any key between this revision and `revision`.
    complete_after: Revision,
    /// Every change up to this revision has been applied.
    revision: Revision,
    /// The revision of the newest change that has been applied.
    latest_change: Revision,
}

/// The value of a key with the revision of its last change.
#[derive(Debug, Clone)]
struct Value {
    bytes: Bytes,
    revision: Revision,
}

/// The contents or changes of a mirror, for another node that lacks changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Export {
    /// The complete contents.
    Whole {
        /// All items under the prefix.
        items: Vec<Item>,
        /// The items contain every change up to this revision.
        revision: Revision,
    },
    /// The changes since a revision up to which the other node has every change.
    Changes {
        /// The last change of each changed key.
        events: Vec<Event>,
        /// The changes are complete up to this revision.
        revision: Revision,
    },
}

impl Value {
    fn to_item(&self, key: &str) -> Item {
        Item {
            key: key.to_owned(),
            value: self.bytes.clone(),
            revision: self.revision,
        }
    }
}

/// The last known state of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// The key has a value.
    Present,
    /// The key has been removed.
    Removed,
    /// No change of the key is known.
    Unknown,
}

/// A change that a mirror has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key has been written with the value.
    Put(String, Bytes),
    /// The key has been removed.
    Removed(String),
}

impl Change {
    /// Returns the key that has been changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(key, _) | Self::Removed(key) => key,
        }
    }
}

impl Export {
    /// Returns the revision up to which the export is complete.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Whole { revision, .. } | Self::Changes { revision, .. } => *revision,
        }
    }
}

impl Mirror {
    /// Creates an empty mirror of the items under `prefix`.
    pub const fn open(prefix: &'static str) -> Self {
        Self {
            prefix,
            items: BTreeMap::new(),
            removed: BTreeMap::new(),
            complete_after: Revision(0),
            revision: Revision(0),
            latest_change: Revision(0),
        }
    }

    /// Returns the prefix of the keys in this mirror.
    pub const fn prefix(&self) -> &'static str {
        self.prefix
    }

    /// Returns the revision of the newest change that has been applied.
    pub const fn latest_change(&self) -> Revision {
        self.latest_change
    }

    /// Returns the revision up to which every change has been applied.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies a change, unless the same or a newer change of its key has been applied. Returns the change if
    /// it has an effect.
    pub fn apply(&mut self, event: Event) -> Option<Change> {
        match event {
            Event::Put(item) => self.put(item),
            Event::Removed { key, revision } => self.remove(key, revision),
        }
    }

    /// Tells whether the event has no effect although it does not repeat the last change of its key that has been
    /// applied: that change has a higher revision, or the same one with another value.
    pub fn is_outdated(&self, event: &Event) -> bool {
        let (key, revision, bytes) = match event {
            Event::Put(item) => (&item.key, item.revision, Some(&item.value)),
            Event::Removed { key, revision } => (key, *revision, None),
        };
        let written = self.items.get(key);
        let known = written.map(|value| value.revision);
        match known.max(self.removed.get(key).copied()) {
            Some(known) if known == revision => written.map(|value| &value.bytes) != bytes,
            Some(known) => known > revision,
            None => false,
        }
    }

    /// Records that every change up to `revision` has been applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Tells whether contents of this revision come from a store that has come back from an older copy since the
    /// mirror was last changed.
    pub fn is_restored_by(&self, revision: Revision) -> bool {
        self.revision > Revision::default() && revision.era() > self.revision.era()
    }

    /// Returns the revision of the last change of a key that has a value.
    pub fn revision_of(&self, key: &str) -> Option<Revision> {
        self.items.get(key).map(|value| value.revision)
    }

    /// Returns the last known state of a key.
    pub fn state(&self, key: &str) -> KeyState {
        if self.items.contains_key(key) {
            KeyState::Present
        } else if self.removed.contains_key(key) {
            KeyState::Removed
        } else {
            KeyState::Unknown
        }
    }

    /// Replaces the contents by a listing that was complete at `revision`, and returns the changes.
    ///
    /// Items that are not in the listing are removed, unless they were written after `revision`.
    pub fn replace(&mut self, items: Vec<Item>, revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        let listed: std::collections::HashSet<&str> =
            items.iter().map(|item| item.key.as_str()).collect();
        let missing_keys: Vec<String> = self
            .items
            .iter()
            .filter(|(key, value)| value.revision <= revision && !listed.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing_keys {
            changes.extend(self.remove(key, revision));
        }
        for item in items {
            changes.extend(self.put(item));
        }
        self.advance(revision);
        // The listing does not show keys that were written and removed before it.
        self.complete_after = self.complete_after.max(revision);
        changes
    }

    /// Exports the changes after `after`, for a node that has every change up to it.
    ///
    /// Changes are far fewer than items, and every node requests them several times per second while targets
    /// register and leave. If the mirror does not have every change since `after`, the export is complete.
    pub fn export(&self, after: Revision) -> Export {
        let revision = self.revision;
        if after == Revision::default() || after < self.complete_after {
            let items = self.items.iter().map(|(key, value)| value.to_item(key));
            return Export::Whole {
                items: items.collect(),
                revision,
            };
        }
        let written = self
            .items
            .iter()
            .filter(|(_, value)| value.revision > after);
        let written = written.map(|(key, value)| Event::Put(value.to_item(key)));
        let removed = self.removed.iter().filter(|(_, removed)| **removed > after);
        let removed = removed.map(|(key, revision)| Event::Removed {
            key: key.clone(),
            revision: *revision,
        });
        Export::Changes {
            events: written.chain(removed).collect(),
            revision,
        }
    }

    /// Applies an export of another node's mirror, and returns the changes that it caused.
    pub fn import(&mut self, export: Export) -> Vec<Change> {
        match export {
            Export::Whole { items, revision } => self.replace(items, revision),
            Export::Changes { events, revision } => {
                let changes = events.into_iter().filter_map(|event| self.apply(event));
                let changes = changes.collect();
                self.advance(revision);
                changes
            }
        }
    }

    fn put(&mut self, item: Item) -> Option<Change> {
        if self
            .removed
            .get(&item.key)
            .is_some_and(|removed| *removed >= item.revision)
        {
            return None;
        }
        let known = self.items.get(&item.key);
        // The mirror has every change up to its revision, so a key that it lacks was removed before.
        let known_revision = known.map_or(self.revision, |known| known.revision);
        if known_revision >= item.revision {
            return None;
        }
        let has_same_value = known.is_some_and(|known| known.bytes == item.value);
        self.removed.remove(&item.key);
        self.latest_change = self.latest_change.max(item.revision);
        let value = Value {
            bytes: item.value.clone(),
            revision: item.revision,
        };
        self.items.insert(item.key.clone(), value);
        (!has_same_value).then_some(Change::Put(item.key, item.value))
    }

    fn remove(&mut self, key: String, revision: Revision) -> Option<Change> {
        if self
            .items
            .get(&key)
            .is_some_and(|known| known.revision > revision)
        {
            return None;
        }
        let previous_removal = self.removed.insert(key.clone(), revision);
        if previous_removal.is_some_and(|previous| previous > revision) {
            self.removed
                .insert(key, previous_removal.unwrap_or_default());
            return None;
        }
        if self.removed.len() > REMOVED_KEYS_MAX {
            let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                let discarded_revision = self.removed.remove(&oldest).unwrap_or_default();
                self.complete_after = self.complete_after.max(discarded_revision);
            }
        }
        self.items.remove(&key)?;
        self.latest_change = self.latest_change.max(revision);
        Some(Change::Removed(key))
    }
}
