//! A node's share of the requests that a cold target bears.
//!
//! All nodes together may send a cold target its rate, half as much again and a few more in any second.
//! One rate split over all nodes would leave none of them a whole request, so a few nodes, drawn by
//! rendezvous hashing for each target, split it. Each of them may send one request at once, and their
//! number is part of the bound.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Moment;

/// Nodes that share one cold target at most. With one request at once each, they stay below the five
/// requests that the bound allows beside the rate, also if two views of the nodes differ by one.
const SHARERS: usize = 3;

/// Targets that are remembered; older ones are warm by then.
const TARGETS_MAX: usize = 4_096;

/// The cold targets that this node may use.
#[derive(Debug)]
pub struct Warmup {
    node: String,
    nodes: Vec<String>,
    next: HashMap<Arc<str>, Slot>,
}

/// When the next request may go to a target.
#[derive(Debug, Clone, Copy)]
struct Slot {
    next: Moment,
    interval: Duration,
}

impl Warmup {
    /// Opens the rates of a node that knows no other one.
    pub fn open(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            nodes: vec![node.to_owned()],
            next: HashMap::new(),
        }
    }

    /// Sets which nodes share the cold targets.
    pub fn set_nodes(&mut self, nodes: &[String]) {
        self.nodes = nodes.to_vec();
        if !self.nodes.contains(&self.node) {
            self.nodes.push(self.node.clone());
        }
    }

    /// Tells whether a request may go to a cold target that bears `rate` requests a second.
    pub fn may_send(&mut self, target: &Arc<str>, rate: f64, now: Moment) -> bool {
        let sharers = SHARERS.min(self.nodes.len());
        let weight = |node: &str| xxh3_64_with_seed(target.as_bytes(), hash(node));
        let own = weight(&self.node);
        let above = self.nodes.iter().filter(|node| weight(node) > own).count();
        if above >= sharers || rate <= 0.0 {
            return false;
        }
        if self.next.len() >= TARGETS_MAX {
            self.next.retain(|_, slot| slot.next > now);
        }
        let interval = Duration::from_secs_f64(sharers as f64 / rate);
        let slot = self.next.entry(Arc::clone(target)).or_insert(Slot {
            next: now,
            interval,
        });
        slot.interval = interval;
        slot.next <= now
    }

    /// Counts a request to a cold target.
    pub fn record_sent(&mut self, target: &str, now: Moment) {
        if let Some(slot) = self.next.get_mut(target) {
            slot.next = now + slot.interval;
        }
    }
}

fn hash(node: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(node.as_bytes())
}
