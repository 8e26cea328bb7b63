//! Names and numbers that identify nodes, targets and versions.

use std::net::SocketAddr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Identifies one run of a node's process; a later run of the same name has a higher number.
///
/// The number is the wall-clock start time in microseconds, and it is only compared between runs of
/// the same name, which cannot overlap because they bind the same peer address.
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

/// A version of an index, as targets report it.
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

/// One node as a cell record lists it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The node's name, tied to its peer address.
    pub name: String,
    /// The run of the node's process that is a member.
    pub incarnation: Incarnation,
    /// Where other nodes reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub caller: SocketAddr,
}
