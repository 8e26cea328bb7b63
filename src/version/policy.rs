//! The settings that decisions use, resolved from the settings tree.
//!
//! `docs/design.md`, section 7, describes the tree and the order of inheritance.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// What a target bears.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Requests that the target runs at once.
    pub slots: u16,
    /// Connections that the target accepts in all.
    pub connections: u16,
    /// The time that a new connection takes.
    #[serde(rename = "connect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub connect: Duration,
    /// Requests that the target runs at once while it is cold.
    pub cold_concurrency: u16,
    /// Requests per second that the target bears while it is cold.
    pub cold_rate: u32,
    /// Answers after which a cold target counts as warm.
    pub cold_answers: u32,
    /// Requests that may wait for the target in its gateway's queue.
    pub queue: u16,
}

/// How a query kind is answered.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The time within which a query is answered if the caller sends no deadline.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// The share of shards below which an answer is refused, from 0 to 1.
    pub least_coverage: f64,
    /// The time to wait for further shards once the least coverage is reached.
    #[serde(rename = "straggler_wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub straggler_wait: Duration,
    /// Hedges allowed, in percent of the subrequests sent.
    pub hedge_percent: f64,
    /// The place in the targets' queues; lower numbers go first.
    pub priority: u8,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Which shards a request consults.
    pub scatter: Scatter,
    /// Hits that an answer holds at most.
    pub limit: u32,
}

/// Which shards a request consults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scatter {
    /// Every shard of the index.
    All,
    /// The one shard that the routing key falls on.
    One,
}
