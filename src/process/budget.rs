//! A node's share of the extra requests that all nodes together may send to one service.
//!
//! The bound holds for a sliding window over all nodes: `ratio` times the requests for the service plus
//! `slack`. A token bucket that earns `ratio` per request and holds the node's share of the slack keeps
//! its part of the bound in every window, whatever the other nodes do.

use std::collections::HashMap;
use std::sync::Arc;

/// The bound for one service over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Extra requests for each request of a caller.
    pub ratio: f64,
    /// Extra requests beside those.
    pub slack: f64,
}

/// The part of the bound that is used. Requests that a stopped process counted, and an instance that
/// is not known yet, take the rest.
const USED_SHARE: f64 = 0.85;

/// The part of its share with which a process starts, because the run before it may have spent one.
const INITIAL_FILL: f64 = 0.5;

/// The tokens of each service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    node_count: usize,
    tokens: HashMap<Arc<str>, f64>,
}

impl Budget {
    /// Opens the budget of a node that knows no other one.
    pub fn open(bound: Bound, nodes: usize) -> Self {
        Self {
            bound,
            node_count: nodes.max(1),
            tokens: HashMap::new(),
        }
    }

    /// Sets the bound.
    pub const fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Sets the number of nodes that share the bound.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1);
    }

    /// Counts a request of a caller for a service.
    pub fn deposit(&mut self, service: &Arc<str>) {
        let capacity = self.bucket_capacity();
        let deposit = self.bound.ratio * USED_SHARE;
        if let Some(tokens) = self.tokens.get_mut(service) {
            *tokens = (*tokens + deposit).min(capacity);
        } else {
            self.tokens.insert(
                Arc::clone(service),
                (capacity * INITIAL_FILL + deposit).min(capacity),
            );
        }
    }

    /// Takes the token for one extra request, if there is one.
    pub fn try_withdraw(&mut self, service: &str) -> bool {
        match self.tokens.get_mut(service) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Gives back the token of an extra request that was not sent.
    pub fn refund(&mut self, service: &str) {
        if let Some(tokens) = self.tokens.get_mut(service) {
            *tokens += 1.0;
        }
    }

    /// Returns the most tokens that one service's bucket holds.
    fn bucket_capacity(&self) -> f64 {
        // Less than one token could never be spent.
        (self.bound.slack * USED_SHARE / self.node_count as f64).max(1.0)
    }
}
