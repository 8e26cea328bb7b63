//! The items of the platform's store, independent of how a platform writes them.
//!
//! A platform's [`Codec`] decodes its keys and values into these types; no other code depends on
//! their format. See `docs/decisions/008-platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route::Table;
use crate::rollout;
use crate::wire::Incarnation;

/// The kind of an item, which its key determines.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ItemKind {
    /// The settings document of the operators.
    Settings,
    /// The evacuation of the named data centre; the item exists while the evacuation lasts.
    Evacuation(Arc<str>),
    /// The state of the named target.
    Target(Arc<str>),
    /// The addresses of the named node of this system.
    Node(Arc<str>),
    /// An operator's order to move the named service to another version.
    RolloutOrder(Arc<str>),
    /// This system's record of the roll-out of the named service.
    Rollout(Arc<str>),
    /// The state of the roll-out of the named service, for operators.
    RolloutStatus(Arc<str>),
    /// An item that this system does not use.
    Other,
}

/// The decoded value of an item.
#[derive(Debug, Clone)]
pub enum Item {
    /// The route table of a new version of the settings document.
    Settings(Table),
    /// The evacuation of a data centre, which gets no more new work.
    Evacuation,
    /// The state of a target.
    Target(TargetReport),
    /// The addresses of a node.
    Node(Node),
    /// An order to move a service to another version.
    RolloutOrder(rollout::Order),
    /// The record of a roll-out.
    Rollout(rollout::Record),
    /// The state of a roll-out, which nodes only write.
    RolloutStatus,
    /// A value that cannot be decoded, with the reason.
    Unreadable(String),
}

/// The state of a target, as the target itself reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// The service whose requests the target executes.
    pub service: Arc<str>,
    /// The version of the target's software.
    pub version: Arc<str>,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The data centre of the target.
    pub data_centre: Arc<str>,
    /// The number of requests that the target executes at the same time.
    pub slots: u32,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// The time for which the target still stays cold; zero if it is warm.
    pub cold: Duration,
    /// Identifies the start of the target's process, if the platform reports it.
    pub born: Option<u64>,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// The target takes new work.
    Ready,
    /// The target finishes its present requests and takes no new ones.
    Draining,
}

/// The addresses and the capacity of a node, as it publishes them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The name of the node.
    pub name: String,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// The data centre of the node.
    pub data_centre: String,
    /// The address on which the node accepts requests of callers.
    pub caller: SocketAddr,
    /// The address on which the node accepts requests of other nodes.
    pub peer: SocketAddr,
    /// The address on which the node receives the datagrams that nodes send each other periodically.
    #[serde(rename = "pulse")]
    pub heartbeat: SocketAddr,
    /// The processor capacity of the node, in thousandths of a core.
    pub millicores: u32,
}

/// Classifies, decodes and encodes the items of a platform's store.
pub trait Codec: std::fmt::Debug + Send + Sync + 'static {
    /// Returns the prefixes of all keys that this system uses.
    fn prefixes(&self) -> &[&'static str];

    /// Returns the kind of the item under a key.
    fn classify(&self, key: &str) -> ItemKind;

    /// Decodes the value under a key.
    fn decode(&self, key: &str, value: &[u8]) -> Item;

    /// Returns the prefix of the keys under which the nodes of a data centre publish themselves.
    fn nodes_prefix(&self, data_centre: &str) -> String;

    /// Returns the key and the encoded value under which a node publishes itself.
    fn encode_node(&self, node: &Node) -> (String, Vec<u8>);

    /// Returns the keys and the encoded values of the record of a service's roll-out and of its state for operators.
    fn encode_rollout(&self, service: &str, record: &rollout::Record) -> [(String, Vec<u8>); 2];
}
