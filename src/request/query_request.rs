//! A caller's query after its HTTP request was parsed and validated.

use std::time::Duration;

use bytes::Bytes;

/// A query of a caller, as received by the callers' interface (`docs/CALLERS.md`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryRequest {
    /// The name of the index.
    pub index: String,
    /// The name of the query kind.
    pub kind: String,
    /// The time that the caller allows, if it sent one; the query kind has a default.
    pub deadline: Option<Duration>,
    /// The request id, if the caller sent one; non-idempotent query kinds require it.
    pub request_id: Option<String>,
    /// The key that selects the shard, if the caller sent one; query kinds of one shard require it.
    pub routing_key: Option<String>,
    /// The query, passed on to the targets without being parsed.
    pub body: Bytes,
}
