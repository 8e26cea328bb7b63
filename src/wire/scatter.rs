//! The subrequests that a coordinator sends to a gateway, and the results that the gateway streams back.
//!
//! A subrequest is a request to one target as part of a query; logs and metrics call it a leg.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Cause, Reason, Version};

/// One request to one target, as part of a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subrequest {
    /// The number of the subrequest within its query, by which its result is identified.
    pub number: u32,
    /// The name of the target.
    pub target: String,
    /// The shard that the target is to search.
    pub shard: u32,
    /// The index version to which the query is pinned.
    pub version: Version,
    /// The number of subrequests sent for this shard before; a restart continues with numbers not used yet.
    pub attempt: u32,
    /// Whether it is a first subrequest, a hedge, a retry or part of a restart.
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
    /// The priority of the query kind; the gateway dispatches lower numbers first.
    pub priority: u8,
    /// Whether targets may run the query more than once.
    pub idempotent: bool,
    /// The subrequests for the targets of this gateway.
    #[serde(rename = "legs")]
    pub subrequests: Vec<Subrequest>,
    /// The caller's query, passed on to the targets without being parsed.
    pub body: Bytes,
}

/// The outcome of a subrequest.
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
        /// The body of the answer, which the gateway does not parse.
        body: Bytes,
    },
    /// The subrequest has no answer; [`Reason::not_run`] tells whether it may have started.
    Failure(Reason),
}

/// The load of a target as counted by its gateway, which is exact whereas the target's own endpoint lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of subrequests in the gateway's queue.
    pub queued: u16,
    /// The number of subrequests that run at the target.
    pub running: u16,
    /// The current limit on subrequests that run at once; small while the target is cold.
    pub limit: u16,
    /// The recent time from dispatch to answer, in microseconds; if starts are paced, at least the interval
    /// between starts times the limit.
    pub latency_us: u32,
}

/// The result of one subrequest, which the gateway streams back as soon as it is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The number of the subrequest.
    #[serde(rename = "leg")]
    pub subrequest: u32,
    /// The answer of the target, or the reason why there is none.
    pub outcome: Outcome,
    /// The load of the target once the subrequest had ended.
    pub load: Load,
}
