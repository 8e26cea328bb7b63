//! A caller's request after its syntax was checked.

use std::time::Duration;

use bytes::Bytes;

/// A request as the callers' interface hands it on (`docs/CALLERS.md`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryRequest {
    /// The name of the index.
    pub index: String,
    /// The name of the query kind.
    pub kind: String,
    /// The deadline that the caller sent.
    pub deadline: Option<Duration>,
    /// The request id that the caller sent.
    pub request_id: Option<String>,
    /// The key that selects one shard.
    pub routing_key: Option<String>,
    /// The query, passed to the targets unread.
    pub body: Bytes,
}
