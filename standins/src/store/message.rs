//! Messages of the etcd v3 JSON mapping, as far as the stand-in supports them.
//!
//! Unknown fields are refused, so that a client notices at once when it relies on an option that the
//! stand-in lacks. Fields with zero values are absent from answers, as in the real mapping.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, PickFirst, serde_as};

/// `POST /v3/kv/range`.
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

/// `POST /v3/kv/put`.
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

/// `POST /v3/kv/deleterange`.
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

/// `POST /v3/kv/txn`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Txn {
    pub compare: Vec<Compare>,
    pub success: Vec<Op>,
    pub failure: Vec<Op>,
}

/// The attribute of a key that a comparison looks at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

/// How the attribute must relate to the given value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// One condition of a transaction.
#[serde_as]
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Compare {
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    pub target: Target,
    pub result: Relation,
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

/// One operation of a transaction.
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

/// `POST /v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Lease {
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(rename = "ID")]
    pub id: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(rename = "TTL")]
    pub ttl: i64,
}

/// `POST /v3/watch`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Watch {
    #[serde(alias = "createRequest")]
    pub create_request: CreateRequest,
}

/// What a watch reports.
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

/// A key with its value, as answers show it.
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

/// The header of every answer.
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
