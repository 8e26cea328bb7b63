//! Entries of the membership list, and changes that responses do not show yet because of the configured
//! lag.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of process that an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Node of the query tier, to which callers send queries.
    Node,
    /// Target, to which nodes send subrequests.
    Target,
}

/// Announced state of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance serves requests.
    #[default]
    Live,
    /// The instance is going to stop soon.
    Leaving,
}

/// One instance in the membership list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the instance, unique in the list.
    pub name: String,
    /// Whether the instance is a node or a target.
    pub role: Role,
    /// Address on which the instance listens.
    pub address: SocketAddr,
    /// Data centre in which the instance runs.
    pub data_centre: String,
    /// Index that a target serves; empty for a node.
    #[serde(default)]
    pub index: String,
    /// Service to which a target belongs; empty for a node.
    #[serde(default)]
    pub service: String,
    /// Number of a target within its service; 0 for a node.
    #[serde(default)]
    pub replica: u32,
    /// Announced state; `live` if absent.
    #[serde(default)]
    pub state: State,
}

/// Response to `GET /instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the newest change that the response includes. A later request passes it as `since` to
    /// get only the changes after it.
    pub revision: u64,
    /// Instances that were added or changed after `since`, ordered by name.
    pub instances: Vec<Instance>,
    /// Names of the instances that were removed after `since`; empty in a response with the whole list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// Change that responses do not show until the lag has passed.
#[derive(Debug)]
struct Change {
    revision: u64,
    recorded_at: Instant,
    name: String,
    /// New entry, or `None` if the instance was removed.
    instance: Option<Instance>,
}

#[derive(Debug)]
pub(super) struct List {
    lag: Duration,
    /// Revision of the newest change, whether or not responses show it yet.
    latest_revision: u64,
    /// Revision of the newest change that responses show.
    visible_revision: u64,
    /// Entries that responses show, with the revision of their last change; `None` marks a removed one.
    entries: BTreeMap<String, (u64, Option<Instance>)>,
    pending: VecDeque<Change>,
}

impl List {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            latest_revision: 0,
            visible_revision: 0,
            entries: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces instances as one change with one revision.
    pub(super) fn upsert(&mut self, instances: Vec<Instance>, now: Instant) {
        self.latest_revision += 1;
        let revision = self.latest_revision;
        self.pending
            .extend(instances.into_iter().map(|instance| Change {
                revision,
                recorded_at: now,
                name: instance.name.clone(),
                instance: Some(instance),
            }));
    }

    /// Removes an instance; returns whether it was in the list, counting changes that responses do not
    /// show yet.
    pub(super) fn remove(&mut self, name: &str, now: Instant) -> bool {
        let last_change = self.pending.iter().rev().find(|change| change.name == name);
        let listed = last_change.map_or_else(
            || {
                self.entries
                    .get(name)
                    .is_some_and(|(_, entry)| entry.is_some())
            },
            |change| change.instance.is_some(),
        );
        if listed {
            self.latest_revision += 1;
            self.pending.push_back(Change {
                revision: self.latest_revision,
                recorded_at: now,
                name: name.to_owned(),
                instance: None,
            });
        }
        listed
    }

    /// Applies the changes whose lag has passed and returns what changed after `since`; 0 returns the
    /// whole list.
    pub(super) fn listing(&mut self, since: u64, now: Instant) -> Listing {
        while self
            .pending
            .front()
            .is_some_and(|change| change.recorded_at + self.lag <= now)
        {
            if let Some(change) = self.pending.pop_front() {
                self.visible_revision = change.revision;
                self.entries
                    .insert(change.name, (change.revision, change.instance));
            }
        }
        let mut listing = Listing {
            revision: self.visible_revision,
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
