//! Warm-up: limits the rate of requests that a node sends to a cold target.
//!
//! In any second, all nodes together may send a cold target 1.5 times its rate plus five requests. If every
//! node had a share of the rate, most shares would be less than one request, so only a few nodes, which
//! rendezvous hashing selects for each target, share the rate. Each of them may send one request without
//! delay, so the bound must also cover one request for each of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Moment;

/// Maximum number of nodes that share the rate of one cold target. Each may send one request at once; three
/// stay below the five requests that the bound allows in addition to the rate, also if two nodes' membership
/// views differ by one node.
const SENDERS_PER_TARGET_MAX: usize = 3;

/// Maximum number of targets whose schedule is kept. Beyond it, schedules whose next send time has passed are
/// dropped; the targets of the oldest ones are warm by then.
const TRACKED_TARGETS_MAX: usize = 4_096;

/// The schedules of this node for requests to cold targets.
#[derive(Debug)]
pub struct Warmup {
    node: String,
    nodes: Vec<String>,
    schedules: HashMap<Arc<str>, Schedule>,
}

/// When this node may send the next request to a cold target.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    next_send: Moment,
    interval: Duration,
}

impl Warmup {
    /// Creates the limits of a node that knows no other node.
    pub fn open(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            nodes: vec![node.to_owned()],
            schedules: HashMap::new(),
        }
    }

    /// Sets the names of the nodes that share the cold targets; this node is added if it is missing.
    pub fn set_nodes(&mut self, nodes: &[String]) {
        self.nodes = nodes.to_vec();
        if !self.nodes.contains(&self.node) {
            self.nodes.push(self.node.clone());
        }
    }

    /// Returns whether this node may send a request to a cold target now. `rate` is the target's limit in
    /// requests per second over all nodes.
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
        let interval = Duration::try_from_secs_f64(senders as f64 / rate).unwrap_or(Duration::MAX);
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

    /// Records that a request was sent to a cold target, which delays the next one.
    pub fn record_sent(&mut self, target: &str, now: Moment) {
        if let Some(schedule) = self.schedules.get_mut(target) {
            schedule.next_send = now + schedule.interval;
        }
    }
}

fn hash_node(node: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(node.as_bytes())
}
