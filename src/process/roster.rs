//! The roster: the other nodes that this node knows, and the address lists that it returns to callers.
//!
//! The store lists the nodes, but only heartbeats show that a node is alive. A missing record does not prove
//! that a node has failed, because the store may revoke the leases of live nodes; and a record does not prove
//! that its node is alive, because it outlives the node. See `docs/decisions/008-platform.md`.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::connection::keyspace::Revision;
use crate::time::Moment;
use crate::version::item::Node;

/// The interval of heartbeats between nodes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// A node without a heartbeat for this time leaves the address lists. Three consecutive heartbeats are rarely
/// lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum number of nodes of one data centre that serve callers, if that many are live. No more are elected
/// than this and [`SERVING_MILLICORES_MIN`] require: more nodes open more connections to each target, and
/// each has less data about each target. Four nodes do the same work clearly worse than two.
pub const SERVING_NODES_MIN: usize = 2;
/// Minimum processor capacity of the nodes of one data centre that serve callers, in thousandths of a core.
/// Bursts of four times the usual traffic take 0.7 cores in all three data centres. With 0.5 cores in each,
/// fewer requests of a burst are served.
pub const SERVING_MILLICORES_MIN: u32 = 750;
/// A node that does not serve callers sends heartbeats, and gets them from other data centres, once in this
/// number of rounds.
pub const STANDBY_INTERVAL_ROUNDS: u32 = 10;
/// The heartbeat timeout between nodes that exchange heartbeats only every [`STANDBY_INTERVAL_ROUNDS`], which
/// is every 3 s. Two lost heartbeats do not exceed it.
pub const STANDBY_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a node without a record in the store and without heartbeats stays known and is sent heartbeats.
pub const NODE_EXPIRY: Duration = Duration::from_secs(15);
/// The number of nodes of each data centre, the strongest ones, that get a whole copy of the store's contents at once:
/// those that serve callers, and some to stand in for them.
pub const FIRST_COPIES: usize = 4;
/// The interval at which the other nodes of a data centre get one, one after the other. At 300 nodes and 1,350
/// targets, a copy has 0.7 MB, and the link of the store carries 125 MB/s.
pub const COPY_INTERVAL: Duration = Duration::from_millis(60);
/// The time after which every node gets one, however many are before it.
pub const COPY_DELAY_MAX: Duration = Duration::from_secs(6);
/// How long no node of a data centre may watch the store before nodes that do not serve callers begin to. One serving
/// node takes over from another within two intervals of [`HEARTBEAT_INTERVAL`] and the time on the way.
pub const WATCH_GAP_MAX: Duration = Duration::from_millis(700);
/// The interval at which these nodes begin, one after the other, until one of them reaches the store.
pub const WATCH_ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of addresses that callers use from a list.
pub const ADDRESSES_MAX: usize = 64;
/// Minimum number of addresses in a list, if that many nodes serve callers. A caller whose node fails needs
/// another one.
pub const ADDRESSES_MIN: usize = 2;

/// The state that a node sends to other nodes periodically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The name, the addresses and the capacity of the sender.
    pub node: Node,
    /// Whether the sender accepts requests of callers.
    pub ready: bool,
    /// Whether the sender watches the store and the store has confirmed the sender's state recently.
    pub fresh: bool,
    /// The revision of the newest change that the sender has applied.
    pub revision: Revision,
}

/// The state of another node as this node knows it.
#[derive(Debug, Clone)]
struct KnownNode {
    node: Node,
    /// Whether the store has a record of the node.
    listed: bool,
    /// Whether the node accepts requests of callers, according to its last heartbeat.
    ready: bool,
    /// Whether the node watches the store and the store has confirmed the node's state recently, according to
    /// its last heartbeat.
    fresh: bool,
    last_heartbeat: Option<Moment>,
    /// When the last heartbeat arrived or the record of the node last changed.
    last_seen: Moment,
    /// Since when the node has been elected to serve callers, and so is expected to send heartbeats to all
    /// nodes.
    elected_since: Option<Moment>,
}

impl KnownNode {
    /// Tells whether the node is elected and its heartbeats arrive, or have not had time to arrive since the
    /// election.
    fn may_serve(&self, heartbeat_timeout: Duration, now: Moment) -> bool {
        let Some(elected_since) = self.elected_since else {
            return false;
        };
        let last = self.last_heartbeat.map_or(elected_since, |last_heartbeat| {
            last_heartbeat.max(elected_since)
        });
        now.since(last) < heartbeat_timeout
            && (self.ready
                || self
                    .last_heartbeat
                    .is_none_or(|last_heartbeat| last_heartbeat < elected_since))
    }
}

/// The other nodes that this node knows, and the result of the election of serving nodes.
#[derive(Debug, Default)]
pub struct Roster {
    /// The other nodes, by name.
    nodes: BTreeMap<String, KnownNode>,
    /// Since when this node has been elected to serve callers.
    elected_since: Option<Moment>,
    /// Whether this node should watch the store.
    watches: bool,
    /// Since when no other node watches the store for the data centre, while this node does not serve callers but can
    /// reach the store.
    unwatched_since: Option<Moment>,
    /// The data centre of this node, as of the last election.
    data_centre: String,
}

impl Roster {
    /// Adds or updates a node that has a record in the store.
    pub fn add_record(&mut self, node: Node, now: Moment) {
        if let Some(known) = self.nodes.get_mut(&node.name) {
            known.listed = true;
            known.last_seen = now;
            // Heartbeats show the current incarnation of a node earlier than records do.
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
            elected_since: None,
            node,
        };
        self.nodes.insert(known.node.name.clone(), known);
    }

    /// Marks a node whose record has been removed from the store.
    pub fn remove_record(&mut self, name: &str, now: Moment) {
        if let Some(known) = self.nodes.get_mut(name) {
            known.listed = false;
            known.last_seen = now;
        }
    }

    /// Adds or updates the sender of a heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) {
        let before = self.nodes.get(&heartbeat.node.name);
        let known = KnownNode {
            listed: before.is_some_and(|known| known.listed),
            elected_since: before.and_then(|known| known.elected_since),
            ready: heartbeat.ready,
            fresh: heartbeat.fresh,
            last_heartbeat: Some(now),
            last_seen: now,
            node: heartbeat.node,
        };
        self.nodes.insert(known.node.name.clone(), known);
    }

    /// Removes nodes without a record that have shown no sign of life for [`NODE_EXPIRY`].
    pub fn expire(&mut self, now: Moment) {
        self.nodes
            .retain(|_, known| known.listed || now.since(known.last_seen) < NODE_EXPIRY);
    }

    /// Elects the nodes that serve callers: in each data centre the nodes with the most processor capacity,
    /// until they are at least [`SERVING_NODES_MIN`] and have [`SERVING_MILLICORES_MIN`].
    ///
    /// A node whose heartbeats are missing, or which is not ready, stays elected but does not count towards
    /// these minimums, so that the next node is elected as well. This node always counts while it is elected.
    ///
    /// Each node computes the election from the heartbeats that it receives. A node that replaces a failed
    /// one starts to send heartbeats to all nodes, and enters the address lists with the first one that
    /// arrives.
    ///
    /// The first elected node that reaches the store watches it. The store may turn some nodes away and serve the
    /// others, so if no elected node watches it for [`WATCH_GAP_MAX`], the first other node that reaches it does.
    /// `reaches_store` tells whether the store answers this node and has delivered its contents.
    pub fn elect(&mut self, own: &Node, reaches_store: bool, now: Moment) {
        self.data_centre.clone_from(&own.data_centre);
        let mut order: Vec<(String, u32, String)> = self
            .nodes
            .values()
            .map(|known| &known.node)
            .chain([own])
            .map(|node| (node.data_centre.clone(), node.millicores, node.name.clone()))
            .collect();
        order.sort_by(|a, b| {
            a.0.cmp(&b.0)
                .then_with(|| strength_order((a.1, &a.2), (b.1, &b.2)))
        });
        let (mut data_centre, mut serving, mut total_millicores) = (String::new(), 0, 0);
        let (mut has_watcher, mut standby) = (false, 0);
        for (node_data_centre, millicores, name) in order {
            if node_data_centre != data_centre {
                (data_centre, serving, total_millicores) = (node_data_centre, 0, 0);
                (has_watcher, standby) = (false, 0);
            }
            let elected = serving < SERVING_NODES_MIN || total_millicores < SERVING_MILLICORES_MIN;
            // Depends on `self.elected_since`, which the `None` arm below may change for later nodes.
            let heartbeat_timeout = self.heartbeat_timeout(&data_centre, now);
            let may_serve = match self.nodes.get_mut(&name) {
                Some(known) if elected => {
                    known.elected_since.get_or_insert(now);
                    has_watcher |= known.fresh && is_alive(known, now);
                    known.may_serve(heartbeat_timeout, now)
                }
                Some(known) => {
                    known.elected_since = None;
                    has_watcher |= known.fresh && is_alive(known, now);
                    standby += 1;
                    false
                }
                // The only name that is not among the other nodes is that of this node.
                None => {
                    self.elected_since = elected.then(|| self.elected_since.unwrap_or(now));
                    let is_unwatched = !elected && !has_watcher && reaches_store;
                    self.unwatched_since =
                        is_unwatched.then(|| self.unwatched_since.unwrap_or(now));
                    let turn = WATCH_GAP_MAX + WATCH_ATTEMPT_INTERVAL * standby;
                    let stands_in = self
                        .unwatched_since
                        .is_some_and(|since| now.since(since) >= turn);
                    self.watches = stands_in || (elected && !has_watcher);
                    elected
                }
            };
            if may_serve {
                serving += 1;
                total_millicores += millicores;
            }
        }
    }

    /// Tells whether this node is elected to serve callers.
    pub const fn serves_callers(&self) -> bool {
        self.elected_since.is_some()
    }

    /// Tells whether this node should watch the store: no node before it in the election of its data centre watches
    /// the store, and it is elected to serve callers or stands in for those that are.
    ///
    /// Every change is paid for once per watch, whereas nodes of one data centre exchange changes for free.
    pub const fn watches_store(&self) -> bool {
        self.watches
    }

    /// Returns the heartbeat timeout for nodes of a data centre. It is longer for nodes of other data centres
    /// while this node does not serve callers, because they rarely send heartbeats to it.
    fn heartbeat_timeout(&self, data_centre: &str, now: Moment) -> Duration {
        let is_serving = self
            .elected_since
            .is_some_and(|since| now.since(since) >= HEARTBEAT_TIMEOUT);
        if is_serving || data_centre == self.data_centre {
            HEARTBEAT_TIMEOUT
        } else {
            STANDBY_HEARTBEAT_TIMEOUT
        }
    }

    /// Returns the names of the other nodes that serve callers and share the bounds on extra requests and
    /// connections with this one.
    pub fn serving_nodes(&self, now: Moment) -> impl Iterator<Item = &str> {
        self.nodes
            .iter()
            .filter(move |(_, known)| {
                let heartbeat_timeout = self.heartbeat_timeout(&known.node.data_centre, now);
                known.may_serve(heartbeat_timeout, now)
            })
            .map(|(name, _)| name.as_str())
    }

    /// Returns how many of the other nodes that are elected to serve callers were heard within the period, and how many
    /// are elected.
    pub fn count_heard(&self, period: Duration, now: Moment) -> (usize, usize) {
        let elected = self.nodes.values().filter(|it| it.elected_since.is_some());
        let heard = elected.clone().filter(|known| {
            let last = known.last_heartbeat;
            last.is_some_and(|last_heartbeat| now.since(last_heartbeat) <= period)
        });
        (heard.count(), elected.count())
    }

    /// Returns the addresses to which heartbeats are sent in a round.
    ///
    /// A node that serves callers or watches the store sends them to its own data centre and to all serving nodes, and
    /// every [`STANDBY_INTERVAL_ROUNDS`] to all nodes. Another node sends them only every
    /// [`STANDBY_INTERVAL_ROUNDS`], to the serving nodes.
    pub fn heartbeat_addresses(&self, round: u32) -> impl Iterator<Item = SocketAddr> {
        let is_standby_round = round.is_multiple_of(STANDBY_INTERVAL_ROUNDS);
        let has_duty = self.elected_since.is_some() || self.watches;
        self.nodes
            .values()
            .filter(move |known| {
                let is_local = known.node.data_centre == self.data_centre;
                let serves = known.elected_since.is_some();
                if has_duty {
                    is_local || is_standby_round || serves
                } else {
                    is_standby_round && serves
                }
            })
            .map(|known| known.node.heartbeat)
    }

    /// Tells whether a node with the heartbeat address is known.
    pub fn knows_address(&self, address: SocketAddr) -> bool {
        self.nodes
            .values()
            .any(|known| known.node.heartbeat == address)
    }

    /// Returns all other nodes that this node knows.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().map(|known| &known.node)
    }

    /// Returns the nodes whose last heartbeat arrived within [`HEARTBEAT_TIMEOUT`].
    pub fn live_nodes(&self, now: Moment) -> impl Iterator<Item = &Node> {
        self.nodes
            .values()
            .filter(move |known| is_alive(known, now))
            .map(|known| &known.node)
    }

    /// Returns the address list for a caller in a data centre. `own` is this node, if it accepts callers.
    ///
    /// The list contains the serving nodes of the caller's data centre in random order. If they are fewer
    /// than [`ADDRESSES_MIN`], nodes of other data centres follow, so that the caller has another node if one
    /// fails.
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
            .filter(|known| known.ready && known.elected_since.is_some() && is_alive(known, now))
            .map(|known| &known.node);
        let mut nodes: Vec<&Node> = others
            .chain(own.filter(|_| self.elected_since.is_some()))
            .collect();
        if nodes.is_empty() {
            // A node that receives no heartbeats still serves the callers that reach it.
            nodes.extend(own);
        }
        nodes.shuffle(random);
        // The sort is stable and keeps the random order within each group.
        nodes.sort_by_key(|node| node.data_centre != data_centre);
        let local_count = nodes
            .iter()
            .filter(|node| node.data_centre == data_centre)
            .count();
        nodes.truncate(local_count.clamp(ADDRESSES_MIN, ADDRESSES_MAX));
        nodes.iter().map(|node| node.caller).collect()
    }
}

/// Returns how long a node waits before it gets a whole copy of the store's contents, given the other nodes: after
/// a start, or when the store has come back from an older copy.
///
/// When hundreds of nodes need a copy at the same moment, the links must first carry the copies of those that
/// callers wait for.
pub fn copy_delay<'a>(own: &Node, neighbours: impl Iterator<Item = &'a Node>) -> Duration {
    let stronger = neighbours
        .filter(|node| node.data_centre == own.data_centre && node.name != own.name)
        .filter(|node| {
            strength_order((node.millicores, &node.name), (own.millicores, &own.name)).is_lt()
        })
        .count();
    let position = u32::try_from((stronger + 1).saturating_sub(FIRST_COPIES));
    COPY_INTERVAL
        .saturating_mul(position.unwrap_or(u32::MAX))
        .min(COPY_DELAY_MAX)
}

/// Compares two nodes, each given by its millicores and its name: the stronger one comes first.
fn strength_order(a: (u32, &str), b: (u32, &str)) -> Ordering {
    b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1))
}

/// Tells whether the last heartbeat of a node arrived within [`HEARTBEAT_TIMEOUT`].
fn is_alive(known: &KnownNode, now: Moment) -> bool {
    known
        .last_heartbeat
        .is_some_and(|last_heartbeat| now.since(last_heartbeat) < HEARTBEAT_TIMEOUT)
}
