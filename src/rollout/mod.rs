//! Roll-outs: moves the traffic of a service to targets of another version of their software, and back if that version
//! answers worse than the present one.
//!
//! An operator orders a roll-out through the store. Each node sends a small share of the service's requests to the new
//! version, counts the answers of both versions, and shares the counts with the other nodes. Every node judges the
//! version by the sum; one of them writes the phases to the store. See `docs/design/rollout.md`.

pub mod evidence;
pub mod report;
pub mod run;
pub mod share;
pub mod state;
pub mod verdict;
pub mod writer;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::connection::keyspace::{Era, Revision};
use crate::process::owner::hash_parts;

/// The bounds on the exposure of callers to a bad version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The share of a service's requests, from 0 to 1, that may go to a bad version until the deadline of its order.
    pub canary_share: f64,
    /// The number of requests that may go to it in addition.
    pub canary_slack: f64,
    /// The time after clear evidence from which the version gets no more requests.
    pub rollback: Duration,
}

/// An operator's order to move a service to targets of a version.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The version to move to.
    pub version: Arc<str>,
    /// The time from the order to its deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
}

/// Identifies the execution of one order. All nodes that read the order from the store compute the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{_0:08x}")]
pub struct RunId(pub u32);

impl RunId {
    /// Returns the id of the execution of an order that the store holds with this revision.
    pub fn new(service: &str, order: &Order, revision: Revision) -> Self {
        let mut hash = hash_parts([service, &*order.version]);
        hash.update(&order.duration.as_micros().to_le_bytes());
        hash.update(&revision.0.to_le_bytes());
        Self(hash.digest() as u32)
    }
}

/// How far a roll-out has come. A phase is never followed by an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A small share of the requests goes to the new version.
    #[display("canary")]
    Canary,
    /// All requests go to the new version, and the old targets are still there.
    #[display("shifting")]
    Shifting,
    /// The service has moved to the new version.
    #[display("completed")]
    Completed,
    /// The service stays with the old version.
    #[display("rolled_back")]
    RolledBack,
}

impl Phase {
    /// Tells whether the roll-out has ended.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// What the store holds of a roll-out, for the nodes of this system.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The execution of the order that the record is about.
    pub run: RunId,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// The era of the order's revision.
    pub order_era: Era,
    /// The number of the order's revision.
    pub order_number: u64,
    /// How far the roll-out has come.
    pub phase: Phase,
    /// The time since the order at the writing of the record. Nodes have no common clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    /// Versions of earlier orders that were not completed; their targets get no requests.
    #[serde(default)]
    pub rejected: Vec<Arc<str>>,
}

impl Record {
    /// Returns the revision of the order.
    pub const fn order_revision(&self) -> Revision {
        Revision::in_era(self.order_era, self.order_number)
    }
}

/// Returns the hash by which reports name a service or a route.
pub fn short_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
