//! The identifiers of processes, index versions and cell members.

use std::net::SocketAddr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// The incarnation of a node: identifies one run of its process.
///
/// The number is the wall-clock start time in microseconds. It is only compared between runs of nodes
/// of the same name, which cannot overlap because they bind the same peer address; the later run has
/// the higher number.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:x}")]
pub struct Incarnation(pub u64);

/// The version of an index, as targets report it; later versions have higher numbers.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Version(pub u64);

/// A member of a cell: one run of a node, as the cell record lists it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the node, which always has the same peer address.
    pub name: String,
    /// The incarnation of the node's process that is the member.
    pub incarnation: Incarnation,
    /// The address on which the node accepts requests of other nodes.
    pub peer: SocketAddr,
    /// The address on which the node accepts requests of callers.
    pub caller: SocketAddr,
}
