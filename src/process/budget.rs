//! Budget: limits the extra subrequests (hedges and retries) of a node with one token bucket per service.
//!
//! The bound holds for all nodes together in a sliding window: `ratio` times the requests for the service
//! plus `slack`. Each request deposits `ratio` tokens, and a bucket holds at most the node's share of the
//! slack. Each node thus keeps its part of the bound in every window, whatever the other nodes do.

use std::collections::HashMap;
use std::sync::Arc;

/// The bound on extra requests for one service, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Extra requests that are allowed for each request of a caller.
    pub ratio: f64,
    /// Extra requests that are allowed in addition in any window.
    pub slack: f64,
}

/// The share of the bound that nodes use. The rest covers requests that a stopped process had counted, and an
/// instance that is not known yet.
const USED_SHARE: f64 = 0.85;

/// The share of a full bucket with which a process starts, because the previous process may have spent a full
/// one.
const INITIAL_FILL: f64 = 0.5;

/// The token buckets of a node, one for each service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    node_count: usize,
    tokens: HashMap<Arc<str>, f64>,
}

impl Budget {
    /// Creates a budget without buckets, for `nodes` nodes that share the bound.
    pub fn open(bound: Bound, nodes: usize) -> Self {
        Self {
            bound,
            node_count: nodes.max(1),
            tokens: HashMap::new(),
        }
    }

    /// Replaces the bound; buckets keep their tokens.
    pub const fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Sets the number of nodes that share the bound, at least one.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1);
    }

    /// Deposits the tokens that one request of a caller adds to the bucket of its service.
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

    /// Withdraws the token for one extra request; returns whether there was one.
    pub fn try_withdraw(&mut self, service: &str) -> bool {
        match self.tokens.get_mut(service) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Returns the token of an extra request that was not sent.
    pub fn refund(&mut self, service: &str) {
        if let Some(tokens) = self.tokens.get_mut(service) {
            *tokens += 1.0;
        }
    }

    /// Returns the capacity of one service's bucket in tokens, at least one.
    fn bucket_capacity(&self) -> f64 {
        // A capacity below one token would never allow an extra request.
        (self.bound.slack * USED_SHARE / self.node_count as f64).max(1.0)
    }
}
