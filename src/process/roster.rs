//! The nodes that a node knows, and the address lists that it gives to callers.
//!
//! The store says which nodes there are; only what a node hears from another one says that it lives.
//! A record without a lease proves nothing, because the store may revoke leases of living nodes, and a
//! record with one proves little, because it outlives its node. See `docs/decisions/008-platform.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::connection::keyspace::Revision;
use crate::time::Moment;
use crate::version::item::Node;

/// The period of heartbeats between nodes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// A node that was not heard for this time leaves the address lists; three heartbeats in a row are lost
/// rarely.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Nodes of one data centre that serve callers at least. More of them than the load needs would hold more
/// connections to each target and know less of each: on grown Magnolia, worth was 0.443 with four and 0.505
/// with two.
pub const SERVING_NODES_MIN: usize = 2;
/// The processor time of the nodes of one data centre that serve callers, in thousandths of a core. Bursts of
/// four times the usual traffic take 0.7 cores in all three; with 0.5 in each, less was served than with 0.75.
pub const SERVING_MILLICORES_MIN: u32 = 750;
/// Rounds of heartbeats after which a node that does not serve callers sends one, and gets one from other data
/// centres.
pub const STANDBY_INTERVAL_ROUNDS: u32 = 10;
/// The silence that counts where heartbeats come only every [`STANDBY_INTERVAL_ROUNDS`].
pub const STANDBY_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a node that is neither listed nor heard is remembered and sent heartbeats.
pub const EXPIRY: Duration = Duration::from_secs(15);
/// The longest address list that callers use.
pub const ADDRESSES_MAX: usize = 64;
/// Nodes in a list at least, if so many serve: a caller whose node fails needs another one.
pub const ADDRESSES_MIN: usize = 2;

/// What a node says of itself to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Where it can be reached.
    pub node: Node,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it watches the store, and the store has confirmed its state lately.
    pub fresh: bool,
    /// The revision up to which its mirror is complete.
    pub revision: Revision,
}

/// What is known of another node.
#[derive(Debug, Clone)]
struct KnownNode {
    node: Node,
    listed: bool,
    ready: bool,
    fresh: bool,
    last_heartbeat: Option<Moment>,
    /// The last sign of any kind.
    last_seen: Moment,
    /// Since when it has been expected to serve callers, and so to send heartbeats to everyone.
    elected_at: Option<Moment>,
}

impl KnownNode {
    /// Tells whether the node was heard lately, or has not had time to be heard.
    fn may_serve(&self, heartbeat_timeout: Duration, now: Moment) -> bool {
        let Some(elected_at) = self.elected_at else {
            return false;
        };
        let last = self
            .last_heartbeat
            .map_or(elected_at, |last_heartbeat| last_heartbeat.max(elected_at));
        now.since(last) < heartbeat_timeout
            && (self.ready
                || self
                    .last_heartbeat
                    .is_none_or(|last_heartbeat| last_heartbeat < elected_at))
    }
}

/// All other nodes, by name.
#[derive(Debug, Default)]
pub struct Roster {
    nodes: BTreeMap<String, KnownNode>,
    /// Since when this node has been one of those that serve callers.
    elected_at: Option<Moment>,
    /// Whether this node should watch the store.
    watches: bool,
    data_centre: String,
}

impl Roster {
    /// Takes the record of a node.
    pub fn add_record(&mut self, node: Node, now: Moment) {
        if let Some(known) = self.nodes.get_mut(&node.name) {
            known.listed = true;
            known.last_seen = now;
            // Pulses tell sooner than records which run of a node is the present one.
            if known.last_heartbeat.is_none() {
                known.node = node;
            }
            return;
        }
        let known = KnownNode {
            listed: true,
            ready: false,
            fresh: false,
            last_heartbeat: None,
            last_seen: now,
            elected_at: None,
            node,
        };
        self.nodes.insert(known.node.name.clone(), known);
    }

    /// Takes the end of a node's record.
    pub fn remove_record(&mut self, name: &str, now: Moment) {
        if let Some(known) = self.nodes.get_mut(name) {
            known.listed = false;
            known.last_seen = now;
        }
    }

    /// Takes a heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) {
        let before = self.nodes.get(&heartbeat.node.name);
        let known = KnownNode {
            listed: before.is_some_and(|known| known.listed),
            elected_at: before.and_then(|known| known.elected_at),
            ready: heartbeat.ready,
            fresh: heartbeat.fresh,
            last_heartbeat: Some(now),
            last_seen: now,
            node: heartbeat.node,
        };
        self.nodes.insert(known.node.name.clone(), known);
    }

    /// Forgets nodes that gave no sign for long.
    pub fn expire(&mut self, now: Moment) {
        self.nodes
            .retain(|_, known| known.listed || now.since(known.last_seen) < EXPIRY);
    }

    /// Decides which nodes serve callers: the strongest of each data centre that live, as
    /// many as have [`SERVING_MILLICORES_MIN`].
    ///
    /// Every node decides for itself from what it hears. A node that stands in for a silent one begins
    /// to send heartbeats to everyone, and is in the lists as soon as it is heard.
    pub fn elect(&mut self, own: &Node, now: Moment) {
        self.data_centre.clone_from(&own.data_centre);
        let mut order: Vec<(String, u32, String)> = self
            .nodes
            .values()
            .map(|known| &known.node)
            .chain([own])
            .map(|node| (node.data_centre.clone(), node.millicores, node.name.clone()))
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        let (mut data_centre, mut serving, mut total_millicores, mut has_watcher) =
            (String::new(), 0, 0, false);
        for (node_data_centre, millicores, name) in order {
            if node_data_centre != data_centre {
                (data_centre, serving, total_millicores, has_watcher) =
                    (node_data_centre, 0, 0, false);
            }
            let elected = serving < SERVING_NODES_MIN || total_millicores < SERVING_MILLICORES_MIN;
            let heartbeat_timeout = self.heartbeat_timeout(&data_centre, now);
            let may_serve = match self.nodes.get_mut(&name) {
                Some(known) if elected => {
                    known.elected_at.get_or_insert(now);
                    has_watcher |= known.fresh && is_alive(known, now);
                    known.may_serve(heartbeat_timeout, now)
                }
                Some(known) => {
                    known.elected_at = None;
                    false
                }
                None => {
                    self.elected_at = elected.then(|| self.elected_at.unwrap_or(now));
                    self.watches = elected && !has_watcher;
                    elected
                }
            };
            if may_serve {
                serving += 1;
                total_millicores += millicores;
            }
        }
    }

    /// Tells whether this node is one of those that serve callers.
    pub const fn serves_callers(&self) -> bool {
        self.elected_at.is_some()
    }

    /// Tells whether this node should watch the store: it serves callers, and no node of its data centre
    /// that comes before it does so.
    ///
    /// Each watch is paid for with every change, and nodes of one data centre give changes to each other
    /// for nothing.
    pub const fn watches_store(&self) -> bool {
        self.watches
    }

    /// Returns the silence after which a node of a data centre counts as gone.
    fn heartbeat_timeout(&self, data_centre: &str, now: Moment) -> Duration {
        let is_serving = self
            .elected_at
            .is_some_and(|since| now.since(since) >= HEARTBEAT_TIMEOUT);
        if is_serving || data_centre == self.data_centre {
            HEARTBEAT_TIMEOUT
        } else {
            STANDBY_HEARTBEAT_TIMEOUT
        }
    }

    /// Returns the nodes that share the bounds, without this one: those that serve callers.
    pub fn serving_nodes(&self, now: Moment) -> impl Iterator<Item = &str> {
        self.nodes
            .iter()
            .filter(move |(_, known)| {
                let heartbeat_timeout = self.heartbeat_timeout(&known.node.data_centre, now);
                known.may_serve(heartbeat_timeout, now)
            })
            .map(|(name, _)| name.as_str())
    }

    /// Returns where heartbeats go in a round: if this node serves callers, to its data centre and to those
    /// that serve callers elsewhere, and now and then to everyone; else now and then to those that serve.
    pub fn heartbeat_addresses(&self, round: u32) -> impl Iterator<Item = SocketAddr> {
        let is_standby_round = round.is_multiple_of(STANDBY_INTERVAL_ROUNDS);
        self.nodes
            .values()
            .filter(move |known| {
                let is_local = known.node.data_centre == self.data_centre;
                match self.elected_at {
                    Some(_) => is_local || is_standby_round || known.elected_at.is_some(),
                    None => is_standby_round && known.elected_at.is_some(),
                }
            })
            .map(|known| known.node.heartbeat)
    }

    /// Tells whether a node is known.
    pub fn knows_address(&self, heartbeat: SocketAddr) -> bool {
        self.nodes
            .values()
            .any(|known| known.node.heartbeat == heartbeat)
    }

    /// Returns the nodes that were heard lately.
    pub fn live_nodes(&self, now: Moment) -> impl Iterator<Item = &Node> {
        self.nodes
            .values()
            .filter(move |known| is_alive(known, now))
            .map(|known| &known.node)
    }

    /// Returns the addresses for a caller in a data centre; `own` is this node, if it takes callers.
    ///
    /// Nodes of the caller's data centre are nearest. The list is filled up with others if it would be
    /// too short to survive the loss of a node.
    pub fn addresses<R>(
        &self,
        data_centre: &str,
        own: Option<&Node>,
        random: &mut R,
        now: Moment,
    ) -> Vec<SocketAddr>
    where
        R: Rng,
    {
        let others = self
            .nodes
            .values()
            .filter(|known| known.ready && known.elected_at.is_some() && is_alive(known, now))
            .map(|known| &known.node);
        let mut nodes: Vec<&Node> = others
            .chain(own.filter(|_| self.elected_at.is_some()))
            .collect();
        if nodes.is_empty() {
            // A node that hears nobody still serves those who ask it.
            nodes.extend(own);
        }
        nodes.shuffle(random);
        // The sort is stable and keeps the random order among equals.
        nodes.sort_by_key(|node| node.data_centre != data_centre);
        let local_count = nodes
            .iter()
            .filter(|node| node.data_centre == data_centre)
            .count();
        nodes.truncate(local_count.clamp(ADDRESSES_MIN, ADDRESSES_MAX));
        nodes.iter().map(|node| node.caller).collect()
    }
}

fn is_alive(known: &KnownNode, now: Moment) -> bool {
    known
        .last_heartbeat
        .is_some_and(|last_heartbeat| now.since(last_heartbeat) < HEARTBEAT_TIMEOUT)
}
