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
const SENDERS_PER_TARGET_MAX: usize = 3;

/// Targets that are remembered; older ones are warm by then.
const TRACKED_TARGETS_MAX: usize = 4_096;

/// The cold targets that this node may use.
#[derive(Debug)]
pub struct Warmup {
    node: String,
    nodes: Vec<String>,
    schedules: HashMap<Arc<str>, Schedule>,
}

/// When the next request may go to a target.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    next_send: Moment,
    interval: Duration,
}

impl Warmup {
    /// Opens the rates of a node that knows no other one.
    pub fn open(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            nodes: vec![node.to_owned()],
            schedules: HashMap::new(),
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
        let senders = SENDERS_PER_TARGET_MAX.min(self.nodes.len());
        let weight = |node: &str| xxh3_64_with_seed(target.as_bytes(), hash_node(node));
        let own_weight = weight(&self.node);
        let heavier_nodes = self
            .nodes
            .iter()
            .filter(|node| weight(node) > own_weight)
            .count();
        if heavier_nodes >= senders || rate <= 0.0 {
            return false;
        }
        if self.schedules.len() >= TRACKED_TARGETS_MAX {
            self.schedules
                .retain(|_, schedule| schedule.next_send > now);
        }
        let interval = Duration::from_secs_f64(senders as f64 / rate);
        let schedule = self
            .schedules
            .entry(Arc::clone(target))
            .or_insert(Schedule {
                next_send: now,
                interval,
            });
        schedule.interval = interval;
        schedule.next_send <= now
    }

    /// Counts a request to a cold target.
    pub fn record_sent(&mut self, target: &str, now: Moment) {
        if let Some(schedule) = self.schedules.get_mut(target) {
            schedule.next_send = now + schedule.interval;
        }
    }
}

fn hash_node(node: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(node.as_bytes())
}
