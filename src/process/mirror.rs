//! A node's copy of the items that it needs from the platform's store.
//!
//! The copy is fed by the store or by another node's copy, and applies each key's changes in the order
//! of their revisions, whatever the order in which they arrive. See `docs/decisions/008-platform.md`.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::connection::keyspace::{Event, Item, Revision};

/// Removed keys that are remembered, so that an older value from a peer does not revive them.
const REMOVED_KEYS_MAX: usize = 4_096;

/// The items under one prefix.
#[derive(Debug)]
pub struct Mirror {
    prefix: &'static str,
    items: BTreeMap<String, Value>,
    /// The removals, by key; oldest revisions are forgotten first.
    removed: BTreeMap<String, Revision>,
    /// Every change of any key after this revision is among the items and the removals.
    complete_after: Revision,
    /// Every change up to this revision is applied.
    revision: Revision,
    /// The revision of the last change that was applied.
    latest_change: Revision,
}

#[derive(Debug, Clone)]
struct Value {
    bytes: Bytes,
    revision: Revision,
}

/// What one node gives to another that lacks changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Export {
    /// All items.
    Whole {
        /// The items.
        items: Vec<Item>,
        /// Every change up to this revision is contained.
        revision: Revision,
    },
    /// What has changed since a revision that the other node has.
    Changes {
        /// The last change of each key.
        events: Vec<Event>,
        /// Every change up to this revision is contained.
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

/// A change that the mirror accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key has this value now.
    Put(String, Bytes),
    /// The key is gone.
    Removed(String),
}

impl Mirror {
    /// Opens an empty mirror of the keys under `prefix`.
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

    /// Returns the prefix of its keys.
    pub const fn prefix(&self) -> &'static str {
        self.prefix
    }

    /// Returns the revision of the last change that was applied.
    pub const fn latest_change(&self) -> Revision {
        self.latest_change
    }

    /// Returns the revision up to which every change is applied.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies one change, unless a later one of the same key has been applied.
    pub fn apply(&mut self, event: Event) -> Option<Change> {
        match event {
            Event::Put(item) => self.put(item),
            Event::Removed { key, revision } => self.remove(key, revision),
        }
    }

    /// Notes that every change up to `revision` has been applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces all items by a listing that was complete at `revision`.
    ///
    /// Items that the listing lacks are gone, unless they were written after it.
    pub fn replace(&mut self, items: Vec<Item>, revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        let listed: std::collections::HashSet<&str> =
            items.iter().map(|item| item.key.as_str()).collect();
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(key, value)| value.revision <= revision && !listed.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            changes.extend(self.remove(key, revision));
        }
        for item in items {
            changes.extend(self.put(item));
        }
        self.advance(revision);
        // Keys that were written and removed before the listing have left no trace in it.
        self.complete_after = self.complete_after.max(revision);
        changes
    }

    /// Returns what a node lacks that has every change up to `after`.
    ///
    /// Changes are far fewer than items, and every node asks for them several times a second while targets
    /// come and go. Without a continuous history since `after`, the copy is whole.
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

    /// Takes what another node gave; returns what changed.
    pub fn import(&mut self, copy: Export) -> Vec<Change> {
        match copy {
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
        if known.is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        self.removed.remove(&item.key);
        self.latest_change = self.latest_change.max(item.revision);
        let value = Value {
            bytes: item.value.clone(),
            revision: item.revision,
        };
        self.items.insert(item.key.clone(), value);
        Some(Change::Put(item.key, item.value))
    }

    fn remove(&mut self, key: String, revision: Revision) -> Option<Change> {
        if self
            .items
            .get(&key)
            .is_some_and(|known| known.revision > revision)
        {
            return None;
        }
        let before = self.removed.insert(key.clone(), revision);
        if before.is_some_and(|before| before > revision) {
            self.removed.insert(key, before.unwrap_or_default());
            return None;
        }
        if self.removed.len() > REMOVED_KEYS_MAX {
            let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                let forgotten = self.removed.remove(&oldest).unwrap_or_default();
                self.complete_after = self.complete_after.max(forgotten);
            }
        }
        self.items.remove(&key)?;
        self.latest_change = self.latest_change.max(revision);
        Some(Change::Removed(key))
    }
}
