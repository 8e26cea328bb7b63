//! A non-idempotent request on its way to the node that minted its session.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A request that only its minting node may start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The request id as the caller sent it.
    pub request: String,
    /// The name of the index.
    pub index: String,
    /// The name of the query kind.
    pub kind: String,
    /// The caller's routing key.
    pub routing_key: Option<String>,
    /// The time left until the caller's deadline, in microseconds at the moment of sending.
    pub remaining_us: u64,
    /// The caller's query.
    pub body: Bytes,
}

/// The whole answer of the minting node, passed on to the caller unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Bytes,
}
