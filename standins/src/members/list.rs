//! The instances and the changes that the list does not show yet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of the query tier.
    Node,
    /// A back end.
    Target,
}

/// Whether an instance stays.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance serves.
    #[default]
    Live,
    /// The instance will stop soon.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The name, which identifies the entry.
    pub name: String,
    /// What the instance does.
    pub role: Role,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: String,
    /// The index of a target; empty for a node.
    #[serde(default)]
    pub index: String,
    /// The service of a target; empty for a node.
    #[serde(default)]
    pub service: String,
    /// The number of a target within its service.
    #[serde(default)]
    pub replica: u32,
    /// Whether it stays.
    #[serde(default)]
    pub state: State,
}

/// An answer of `GET /instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision that the answer shows; pass it as `since` to get later changes only.
    pub revision: u64,
    /// The instances that changed after `since`, ordered by name.
    pub instances: Vec<Instance>,
    /// The names that were removed after `since`; empty if the whole list was asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    at: Instant,
    name: String,
    instance: Option<Instance>,
}

#[derive(Debug)]
pub(super) struct List {
    lag: Duration,
    /// The revision of the newest change, shown or not.
    newest: u64,
    /// The revision of the newest change that an answer shows.
    shown: u64,
    /// Shown entries with the revision of their last change; `None` marks a removed one.
    entries: BTreeMap<String, (u64, Option<Instance>)>,
    pending: VecDeque<Change>,
}

impl List {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            newest: 0,
            shown: 0,
            entries: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Records instances as one change.
    pub(super) fn upsert(&mut self, instances: Vec<Instance>, now: Instant) {
        self.newest += 1;
        let revision = self.newest;
        self.pending
            .extend(instances.into_iter().map(|instance| Change {
                revision,
                at: now,
                name: instance.name.clone(),
                instance: Some(instance),
            }));
    }

    /// Records a removal; returns whether the name was listed, shown or not.
    pub(super) fn remove(&mut self, name: &str, now: Instant) -> bool {
        let last = self.pending.iter().rev().find(|change| change.name == name);
        let listed = last.map_or_else(
            || {
                self.entries
                    .get(name)
                    .is_some_and(|(_, entry)| entry.is_some())
            },
            |change| change.instance.is_some(),
        );
        if listed {
            self.newest += 1;
            self.pending.push_back(Change {
                revision: self.newest,
                at: now,
                name: name.to_owned(),
                instance: None,
            });
        }
        listed
    }

    pub(super) fn listing(&mut self, since: u64, now: Instant) -> Listing {
        while self
            .pending
            .front()
            .is_some_and(|change| change.at + self.lag <= now)
        {
            if let Some(change) = self.pending.pop_front() {
                self.shown = change.revision;
                self.entries
                    .insert(change.name, (change.revision, change.instance));
            }
        }
        let mut listing = Listing {
            revision: self.shown,
            ..Listing::default()
        };
        for (name, (revision, instance)) in &self.entries {
            match instance {
                Some(instance) if *revision > since => listing.instances.push(instance.clone()),
                None if since > 0 && *revision > since => listing.removed.push(name.clone()),
                _ => {}
            }
        }
        listing
    }
}
