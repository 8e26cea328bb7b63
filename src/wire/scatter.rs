//! Subrequests of a query: what a coordinator asks of a gateway, and what streams back.
//!
//! A subrequest is a request to one target as part of a query; logs and metrics call it a leg.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Cause, Reason, Version};

/// One request to one target, as part of a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subrequest {
    /// The number of the subrequest within its query; answers name it.
    pub number: u32,
    /// The target's name.
    pub target: String,
    /// The shard that the subrequest asks for.
    pub shard: u32,
    /// The version that the query is pinned to.
    pub version: Version,
    /// How many subrequests were sent for this shard before.
    pub attempt: u32,
    /// Why the subrequest was sent.
    pub cause: Cause,
}

/// The subrequests of one query for one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The request id, unique over all nodes; targets echo it.
    pub request: String,
    /// The name of the index.
    pub index: String,
    /// The time left until the caller's deadline, in microseconds at the moment of sending.
    pub remaining_us: u64,
    /// The priority of the query kind; lower numbers go first.
    pub priority: u8,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
    /// The subrequests.
    #[serde(rename = "legs")]
    pub subrequests: Vec<Subrequest>,
    /// The caller's query, passed to the targets unread.
    pub body: Bytes,
}

/// What became of a subrequest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered.
    Answer {
        /// The request id that the target echoed.
        request: String,
        /// The version that the target answered from.
        version: Version,
        /// The shard that the target answered for.
        shard: u32,
        /// The attempt that the target echoed.
        attempt: u32,
        /// The body of the answer, unread.
        body: Bytes,
    },
    /// The subrequest has no answer; [`Reason::not_run`] tells whether it may have started.
    Failure(Reason),
}

/// The load of a target as its gateway counts it, which is exact where the target's own endpoint lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Subrequests that wait in the gateway's queue.
    pub queued: u16,
    /// Subrequests that run at the target.
    pub running: u16,
    /// Subrequests that may run at once now; small while the target is cold.
    pub limit: u16,
    /// Recent time from dispatch to answer, in microseconds, or the time between starts times the
    /// limit if starts are paced and this is longer.
    pub latency_us: u32,
}

/// The result of one subrequest, streamed back as soon as it is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The number of the subrequest.
    #[serde(rename = "leg")]
    pub subrequest: u32,
    /// What became of it.
    pub outcome: Outcome,
    /// The load of the subrequest's target after it.
    pub load: Load,
}
