//! The forwarding of a non-idempotent request to the node that issued its session.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A request that only the node that issued its session may start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The request id as the caller sent it.
    pub request: String,
    /// The name of the index.
    pub index: String,
    /// The name of the query kind.
    pub kind: String,
    /// The caller's routing key, if it sent one.
    pub routing_key: Option<String>,
    /// The time left until the caller's deadline, in microseconds at the moment of sending.
    pub remaining_us: u64,
    /// The caller's query, passed on to the targets without being parsed.
    pub body: Bytes,
}

/// The complete reply to a caller, which a node that forwarded the request passes on unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The JSON body.
    pub body: Bytes,
}
