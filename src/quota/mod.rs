//! Quotas: limits on the rate of a tenant's requests that all nodes keep together.

use serde::{Deserialize, Serialize};

/// The limit on the requests of one tenant, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that the tenant may send; positive.
    pub per_second: f64,
    /// Requests that the tenant may send in addition at any time.
    pub burst: f64,
}

/// The demand of one tenant at one node, as the node tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The hash of the tenant's name.
    pub tenant: u32,
    /// Requests per second that the tenant's callers send to the node, refused ones included.
    pub per_second: f32,
}
