//! Messages of the etcd v3 JSON mapping, with the fields that the stand-in supports.
//!
//! Unknown fields are refused, so that a client that relies on an unsupported option fails at once.
//! Fields with zero values are absent from responses, as in the real mapping.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, PickFirst, serde_as};

/// Body of `POST /v3/kv/range`.
#[serde_as]
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_field_names, reason = "the protocol names the fields")]
pub(super) struct Range {
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    #[serde_as(as = "Base64")]
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub limit: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(alias = "minModRevision")]
    pub min_mod_revision: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(alias = "maxModRevision")]
    pub max_mod_revision: i64,
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    #[serde(alias = "countOnly")]
    pub count_only: bool,
    /// Accepted and ignored: the stand-in is a single process, so every read is linearizable.
    #[serde(rename = "serializable")]
    pub _serializable: bool,
}

/// Body of `POST /v3/kv/put`.
#[serde_as]
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Put {
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub lease: i64,
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Body of `POST /v3/kv/deleterange`.
#[serde_as]
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct DeleteRange {
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    #[serde_as(as = "Base64")]
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Body of `POST /v3/kv/txn`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Txn {
    pub compare: Vec<Compare>,
    pub success: Vec<Op>,
    pub failure: Vec<Op>,
}

/// Attribute of a key that a comparison reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

/// Relation that the attribute must have to the given value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// Condition of a transaction.
#[serde_as]
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Compare {
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    pub target: CompareTarget,
    pub result: CompareResult,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub version: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(alias = "createRevision")]
    pub create_revision: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(alias = "modRevision")]
    pub mod_revision: i64,
    #[serde_as(as = "Base64")]
    pub value: Bytes,
}

/// Operation in a branch of a transaction.
#[derive(Debug, Clone, Deserialize)]
pub(super) enum Op {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRange),
}

impl Op {
    pub(super) const fn is_write(&self) -> bool {
        !matches!(self, Self::Range(_))
    }
}

/// Body of `POST /v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct LeaseRequest {
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(rename = "ID")]
    pub id: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(rename = "TTL")]
    pub ttl: i64,
}

/// Body of `POST /v3/watch`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Watch {
    #[serde(alias = "createRequest")]
    pub create_request: CreateRequest,
}

/// Keys that a watch reports, and the revision from which it starts; 0 means the next one.
#[serde_as]
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct CreateRequest {
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    #[serde_as(as = "Base64")]
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(alias = "startRevision")]
    pub start_revision: i64,
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Key with its value and revisions, as responses show it.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct KeyValue {
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub create_revision: i64,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub mod_revision: i64,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub version: i64,
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub lease: i64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(number: &i64) -> bool {
    *number == 0
}

/// Header of every response. The stand-in is a cluster with one member, which has id 1.
#[serde_as]
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Header {
    #[serde_as(as = "DisplayFromStr")]
    cluster_id: u64,
    #[serde_as(as = "DisplayFromStr")]
    member_id: u64,
    #[serde_as(as = "DisplayFromStr")]
    revision: i64,
    #[serde_as(as = "DisplayFromStr")]
    raft_term: u64,
}

impl Header {
    pub(super) const fn new(revision: i64) -> Self {
        Self {
            cluster_id: 1,
            member_id: 1,
            revision,
            raft_term: 1,
        }
    }
}
