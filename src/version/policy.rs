//! The settings of one target and of one query kind, with inheritance resolved.
//!
//! `docs/design.md`, section 7, describes the settings tree and the order of inheritance.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The load limits of a target.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The number of requests that the target runs at the same time.
    pub slots: u16,
    /// The number of connections that the target accepts in total.
    pub connections: u16,
    /// The expected time to open a connection to the target.
    #[serde(rename = "connect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub connect: Duration,
    /// The number of requests that the target runs at the same time while it is cold.
    pub cold_concurrency: u16,
    /// The requests per second that the target sustains while it is cold.
    pub cold_rate: u32,
    /// The number of good answers after which a target leaves the cold stage; its limits on concurrency and
    /// rate then rise in steps until it counts as warm.
    pub cold_answers: u32,
    /// The maximum number of requests that wait for the target in the queue of its gateway.
    pub queue: u16,
}

/// The settings of a query kind.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The deadline of a query if the caller sends none.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// The share of shards, from 0 to 1, that must answer; below it the query is refused.
    pub least_coverage: f64,
    /// The time to wait for the remaining shards once the least coverage is reached.
    #[serde(rename = "straggler_wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub straggler_wait: Duration,
    /// The maximum number of hedges, in percent of the subrequests sent.
    pub hedge_percent: f64,
    /// The priority in the queues of targets; lower numbers go first.
    pub priority: u8,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// The shards that a request is sent to.
    pub scatter: Scatter,
    /// The maximum number of hits in an answer.
    pub limit: u32,
}

/// The shards that a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scatter {
    /// Every shard of the index.
    All,
    /// The one shard that the hash of the routing key selects.
    One,
}
