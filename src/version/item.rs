//! What an item of the platform's store means to the product.
//!
//! A [`Dialect`] turns items into these types; nothing else knows how they are written. See
//! `docs/decisions/008-platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route::Table;
use crate::wire::Incarnation;

/// What a key is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ItemKind {
    /// The operators' document.
    Settings,
    /// The evacuation of a data centre.
    Evacuation(Arc<str>),
    /// A target.
    Target(Arc<str>),
    /// A node of this system.
    Node(Arc<str>),
    /// Nothing that the product uses.
    Other,
}

/// The meaning of an item's value.
#[derive(Debug, Clone)]
pub enum Item {
    /// A new version of the routes.
    Settings(Table),
    /// The data centre is to get no more work.
    Evacuation,
    /// The present state of a target.
    Target(Report),
    /// Where a node can be reached.
    Node(Node),
    /// The value cannot be read; the text says why.
    Unreadable(String),
}

/// The present state of a target, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The service whose requests the target runs.
    pub service: Arc<str>,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The data centre that the target stands in.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether the target takes new work.
    pub state: State,
    /// How much longer the target stays cold.
    pub cold: Duration,
    /// Identifies this start of the target, if it says so.
    pub born: Option<u64>,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// Where a node can be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The name of the instance.
    pub name: String,
    /// The run of the node's process.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for other nodes' requests.
    pub peer: SocketAddr,
    /// The address for other nodes' datagrams.
    pub pulse: SocketAddr,
    /// The processor that the instance has, in thousandths of a core.
    pub millicores: u32,
}

/// Reads and writes the items of the platform's store.
pub trait Dialect: std::fmt::Debug + Send + Sync + 'static {
    /// Returns the prefixes of all keys that the product uses.
    fn prefixes(&self) -> &[&'static str];

    /// Returns what a key is about.
    fn classify(&self, key: &str) -> ItemKind;

    /// Returns the meaning of a value under a key.
    fn decode(&self, key: &str, value: &[u8]) -> Item;

    /// Returns the key and the value that publish a node.
    fn encode_node(&self, node: &Node) -> (String, Vec<u8>);
}
