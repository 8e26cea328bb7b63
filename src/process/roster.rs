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

/// The period of pulses between nodes.
pub const PULSE: Duration = Duration::from_millis(300);
/// A node that was not heard for this time leaves the address lists; three pulses in a row are lost
/// rarely.
pub const SILENCE: Duration = Duration::from_secs(1);
/// Nodes of one data centre that serve callers at least. More of them than the load needs would hold more
/// connections to each target and know less of each: on grown Magnolia, worth was 0.443 with four and 0.505
/// with two.
pub const FRONT_MIN: usize = 2;
/// The processor time of the nodes of one data centre that serve callers, in thousandths of a core. Bursts of
/// four times the usual traffic take 0.7 cores in all three; with 0.5 in each, less was served than with 0.75.
pub const FRONT_MILLICORES: u32 = 750;
/// Rounds of pulses after which a node that does not serve callers sends one, and gets one from other data
/// centres.
pub const REST_ROUNDS: u32 = 10;
/// The silence that counts where pulses come only every [`REST_ROUNDS`].
pub const REST_SILENCE: Duration = Duration::from_secs(4);
/// How long a node that is neither listed nor heard is remembered and sent pulses.
pub const FORGET: Duration = Duration::from_secs(15);
/// The longest address list that callers use.
pub const ADDRESSES_MAX: usize = 64;
/// Nodes in a list at least, if so many serve: a caller whose node fails needs another one.
pub const ADDRESSES_MIN: usize = 2;

/// What a node says of itself to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
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
struct Known {
    node: Node,
    listed: bool,
    ready: bool,
    fresh: bool,
    heard: Option<Moment>,
    /// The last sign of any kind.
    seen: Moment,
    /// Since when it has been expected to serve callers, and so to send pulses to everyone.
    front: Option<Moment>,
}

impl Known {
    /// Tells whether the node was heard lately, or has not had time to be heard.
    fn may_serve(&self, silence: Duration, now: Moment) -> bool {
        let Some(front) = self.front else {
            return false;
        };
        let last = self.heard.map_or(front, |heard| heard.max(front));
        now.since(last) < silence && (self.ready || self.heard.is_none_or(|heard| heard < front))
    }
}

/// All other nodes, by name.
#[derive(Debug, Default)]
pub struct Roster {
    nodes: BTreeMap<String, Known>,
    /// Since when this node has been one of those that serve callers.
    front: Option<Moment>,
    /// Whether this node should watch the store.
    watches: bool,
    data_centre: String,
}

impl Roster {
    /// Takes the record of a node.
    pub fn list(&mut self, node: Node, now: Moment) {
        if let Some(known) = self.nodes.get_mut(&node.name) {
            known.listed = true;
            known.seen = now;
            // Pulses tell sooner than records which run of a node is the present one.
            if known.heard.is_none() {
                known.node = node;
            }
            return;
        }
        let known = Known {
            listed: true,
            ready: false,
            fresh: false,
            heard: None,
            seen: now,
            front: None,
            node,
        };
        self.nodes.insert(known.node.name.clone(), known);
    }

    /// Takes the end of a node's record.
    pub fn unlist(&mut self, name: &str, now: Moment) {
        if let Some(known) = self.nodes.get_mut(name) {
            known.listed = false;
            known.seen = now;
        }
    }

    /// Takes a pulse.
    pub fn hear(&mut self, pulse: Pulse, now: Moment) {
        let before = self.nodes.get(&pulse.node.name);
        let known = Known {
            listed: before.is_some_and(|known| known.listed),
            front: before.and_then(|known| known.front),
            ready: pulse.ready,
            fresh: pulse.fresh,
            heard: Some(now),
            seen: now,
            node: pulse.node,
        };
        self.nodes.insert(known.node.name.clone(), known);
    }

    /// Forgets nodes that gave no sign for long.
    pub fn expire(&mut self, now: Moment) {
        self.nodes
            .retain(|_, known| known.listed || now.since(known.seen) < FORGET);
    }

    /// Decides which nodes serve callers: the strongest of each data centre that live, as
    /// many as have [`FRONT_MILLICORES`].
    ///
    /// Every node decides for itself from what it hears. A node that stands in for a silent one begins
    /// to send pulses to everyone, and is in the lists as soon as it is heard.
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
        let (mut data_centre, mut serving, mut power, mut watched) = (String::new(), 0, 0, false);
        for (place, millicores, name) in order {
            if place != data_centre {
                (data_centre, serving, power, watched) = (place, 0, 0, false);
            }
            let front = serving < FRONT_MIN || power < FRONT_MILLICORES;
            let silence = self.silence(&data_centre, now);
            let serves = match self.nodes.get_mut(&name) {
                Some(known) if front => {
                    known.front.get_or_insert(now);
                    watched |= known.fresh && is_alive(known, now);
                    known.may_serve(silence, now)
                }
                Some(known) => {
                    known.front = None;
                    false
                }
                None => {
                    self.front = front.then(|| self.front.unwrap_or(now));
                    self.watches = front && !watched;
                    front
                }
            };
            if serves {
                serving += 1;
                power += millicores;
            }
        }
    }

    /// Tells whether this node is one of those that serve callers.
    pub const fn serves(&self) -> bool {
        self.front.is_some()
    }

    /// Tells whether this node should watch the store: it serves callers, and no node of its data centre
    /// that comes before it does so.
    ///
    /// Each watch is paid for with every change, and nodes of one data centre give changes to each other
    /// for nothing.
    pub const fn watches(&self) -> bool {
        self.watches
    }

    /// Returns the silence after which a node of a data centre counts as gone.
    fn silence(&self, data_centre: &str, now: Moment) -> Duration {
        let serves = self.front.is_some_and(|since| now.since(since) >= SILENCE);
        if serves || data_centre == self.data_centre {
            SILENCE
        } else {
            REST_SILENCE
        }
    }

    /// Returns the nodes that share the bounds, without this one: those that serve callers.
    pub fn names(&self, now: Moment) -> impl Iterator<Item = &str> {
        self.nodes
            .iter()
            .filter(move |(_, known)| {
                let silence = self.silence(&known.node.data_centre, now);
                known.may_serve(silence, now)
            })
            .map(|(name, _)| name.as_str())
    }

    /// Returns where pulses go in a round: if this node serves callers, to its data centre and to those
    /// that serve callers elsewhere, and now and then to everyone; else now and then to those that serve.
    pub fn pulses(&self, round: u32) -> impl Iterator<Item = SocketAddr> {
        let rest = round.is_multiple_of(REST_ROUNDS);
        self.nodes
            .values()
            .filter(move |known| {
                let near = known.node.data_centre == self.data_centre;
                match self.front {
                    Some(_) => near || rest || known.front.is_some(),
                    None => rest && known.front.is_some(),
                }
            })
            .map(|known| known.node.pulse)
    }

    /// Tells whether a node is known.
    pub fn knows(&self, pulse: SocketAddr) -> bool {
        self.nodes.values().any(|known| known.node.pulse == pulse)
    }

    /// Returns the nodes that were heard lately.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = &Node> {
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
            .filter(|known| known.ready && known.front.is_some() && is_alive(known, now))
            .map(|known| &known.node);
        let mut nodes: Vec<&Node> = others.chain(own.filter(|_| self.front.is_some())).collect();
        if nodes.is_empty() {
            // A node that hears nobody still serves those who ask it.
            nodes.extend(own);
        }
        nodes.shuffle(random);
        // The sort is stable and keeps the random order among equals.
        nodes.sort_by_key(|node| node.data_centre != data_centre);
        let near = nodes
            .iter()
            .filter(|node| node.data_centre == data_centre)
            .count();
        nodes.truncate(near.clamp(ADDRESSES_MIN, ADDRESSES_MAX));
        nodes.iter().map(|node| node.caller).collect()
    }
}

fn is_alive(known: &Known, now: Moment) -> bool {
    known.heard.is_some_and(|heard| now.since(heard) < SILENCE)
}
