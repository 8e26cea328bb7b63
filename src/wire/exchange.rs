//! The periodic exchange between nodes, and the cell record that the store holds.
//!
//! A node sends an [`Exchange`] and receives a [`Report`] with the other's revision, the age of its
//! store proof and its target summaries. A store proof is a read of the store that showed a revision to
//! be current. `docs/design.md`, section 5, gives the rule that these messages serve.

use serde::{Deserialize, Serialize};

use super::{Incarnation, Load, Member, Version};

/// The settings version and the cell record revision that a node has in force.
///
/// Two nodes of a cell support each other's permits only while both numbers are equal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// The settings version.
    pub settings: u64,
    /// The revision of the record of the node's own cell, zero if it has none.
    pub cell: u64,
}

/// A proposed change of a cell's member list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The list that becomes current if the ballot succeeds, sorted by name. It differs from the current
    /// one by one member.
    pub members: Vec<Member>,
}

/// The record of a cell, as the store holds it under `cells/<cell>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The number of the record's present state. It starts at one and increases by one with each change.
    pub revision: u64,
    /// The current members, sorted by name.
    pub members: Vec<Member>,
    /// The proposed change of the member list, or nothing if none is open.
    pub ballot: Option<Ballot>,
}

/// The request of an exchange, from one node to another of its own cell or of another one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Exchange {
    /// The node that sends the request.
    pub from: Member,
    /// The name of the sender's cell.
    pub cell: String,
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// The [`Report::mark`] of the receiver's last answer. The sender asks for the target summaries that
    /// have changed since; zero asks for all of them.
    pub since: u64,
}

/// The answer to an [`Exchange`], from its receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The node that answers.
    pub from: Member,
    /// The name of the answering node's cell.
    pub cell: String,
    /// The revision that the answering node has in force.
    pub revision: Revision,
    /// The age of the answering node's newest store proof for `revision`, in microseconds, or nothing if
    /// it has no valid one.
    pub proof_age_us: Option<u64>,
    /// The answering node's cell record, if both nodes are in the same cell and it is newer than the
    /// asking node's.
    pub record: Option<Record>,
    /// Whether the answering node is stopping and takes no new work.
    pub stopping: bool,
    /// Summaries of the targets that the answering node owns, as far as they changed after
    /// [`Exchange::since`].
    pub targets: Vec<Summary>,
    /// The number of the answering node's last change of a summary, for the next [`Exchange::since`].
    pub mark: u64,
    /// Whether this incarnation of the answering node dispatches to no target any more, so that the
    /// members that gain its targets need not wait for its permit to expire.
    #[serde(default)]
    pub released: bool,
    /// Whether the answering node has known its cell's member list for `HANDOVER_GRACE`, so that no node
    /// that was removed before can still hold a permit. A change of the settings counts as accepted by
    /// all members only if this holds.
    #[serde(default)]
    pub settled: bool,
}

/// The revision that a node of the cell last reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRevision {
    /// The name of the node that reported.
    pub name: String,
    /// The incarnation of the node that reported.
    pub incarnation: Incarnation,
    /// The newest revision that it reported.
    pub revision: Revision,
    /// The time since its last report, in milliseconds.
    pub age_ms: u64,
}

/// The part of an index that a target holds at one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The version of the index.
    pub version: Version,
    /// The number of the shard that the target holds, from zero.
    pub shard: u32,
    /// The number of shards that this version has in all, the denominator of coverage.
    pub shards: u32,
}

/// The state of a target, as its gateway (the node that owns it) reports it to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The target's name.
    pub target: String,
    /// Whether the target takes new work.
    pub usable: bool,
    /// The index versions and shards that the target holds.
    pub holdings: Vec<Holding>,
    /// The target's load, as its gateway counts it.
    pub load: Load,
}
