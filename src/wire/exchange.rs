//! What nodes tell each other periodically: revisions, the age of store proofs, and target summaries.
//!
//! `docs/design.md`, section 5, gives the rule that these messages serve.

use serde::{Deserialize, Serialize};

use super::{Incarnation, Load, Member, Version};

/// What a node knows of everything that the store decides.
///
/// Two nodes support each other only while these numbers are equal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// The version of the settings.
    pub settings: u64,
    /// The revision of the record of the node's own cell.
    pub cell: u64,
}

/// A member list that is proposed but not yet current.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The list that becomes current if the ballot succeeds; it differs from the current one by one member.
    pub members: Vec<Member>,
}

/// The record of a cell as the store holds it under `cells/<cell>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Increases by one with each change of the record.
    pub revision: u64,
    /// The current members, sorted by name.
    pub members: Vec<Member>,
    /// The change that is under way.
    pub ballot: Option<Ballot>,
}

/// What one node asks of another in its cell, or of a member of another cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: Member,
    /// The sender's cell.
    pub cell: String,
    /// What the sender knows.
    pub revision: Revision,
    /// The sender wants target summaries that are newer than this mark of the receiver's.
    pub since: u64,
}

/// The answer to an [`Exchange`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The receiver.
    pub from: Member,
    /// The receiver's cell.
    pub cell: String,
    /// What the receiver knows.
    pub revision: Revision,
    /// The age of the receiver's newest store proof for `revision`, in microseconds.
    pub proof_age_us: Option<u64>,
    /// The receiver's cell record, if it is newer than the sender's.
    pub record: Option<Record>,
    /// Whether the receiver is stopping and wants no new work.
    pub stopping: bool,
    /// Targets that the receiver owns and that changed since the mark.
    pub targets: Vec<Summary>,
    /// The receiver's mark after `targets`.
    pub mark: u64,
    /// Whether this incarnation of the receiver dispatches nothing to targets any more, so that the
    /// members that gain its targets need not wait for its permit to expire.
    #[serde(default)]
    pub released: bool,
    /// Whether `HANDOVER_GRACE` has passed since the receiver first saw its cell's member list, so that no
    /// node removed before can still hold a permit. Acceptance by all members relies on it.
    #[serde(default)]
    pub settled: bool,
}

/// The revision that a member was last heard at.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRevision {
    /// The member's name.
    pub name: String,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// What it knew.
    pub revision: Revision,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}

/// The part of an index that a target holds at one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The version of the index.
    pub version: Version,
    /// The shard that the target holds.
    pub shard: u32,
    /// The number of shards that this version has in all; it is the denominator of coverage.
    pub shards: u32,
}

/// What the gateway of a target knows about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The target's name.
    pub target: String,
    /// Whether the target takes new work.
    pub usable: bool,
    /// What the target holds.
    pub holdings: Vec<Holding>,
    /// The gateway's count of its load.
    pub load: Load,
}
