//! The route table: which requests go where, and how long and how often they may be tried.
//!
//! A table is built once from a whole document of the operators and never changes. Each request keeps
//! the table that was in force when it arrived, so all of its parts come from one version. See
//! `docs/decisions/008-platform.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

/// The version of a table; a node never goes back to a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TableVersion(pub u64);

/// All routes and services of one version.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The version.
    pub version: TableVersion,
    /// What callers may send.
    pub limits: Limits,
    /// The routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the request line and the headers.
    pub max_head_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// The time from the first byte of a head to its last one.
    pub head_timeout: Duration,
    /// How long a connection may stay open between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits before any version is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Kind {
    /// More than once: the request is idempotent.
    #[display("idempotent")]
    Idempotent,
    /// At most once: a second execution could repeat its effect.
    #[display("non_idempotent")]
    NonIdempotent,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, unique in the table.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the paths that the route takes; it begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub kind: Kind,
    /// How many targets may run one request, for each shard.
    pub max_attempts: u32,
    /// How long a request may wait for its final answer.
    pub timeout: Duration,
    /// The latency objective.
    pub latency_objective: Duration,
    /// The rank; lower numbers are more urgent.
    pub priority: u8,
    /// Where requests go.
    pub destination: Destination,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum Destination {
    /// To one target of one of these services, in proportion to their weights.
    OneTarget(Vec<(Arc<str>, f64)>),
    /// To one target of each shard.
    AllShards(Gather),
}

/// A query over shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Gather {
    /// The services that hold the shards.
    pub shards: Vec<Arc<str>>,
    /// The number of records in an answer.
    pub limit: usize,
    /// The least share of the shards that makes an answer.
    pub least_coverage: f64,
}

/// What the operators say of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The path of the health check.
    pub health_path: String,
    /// Connections that one target accepts from all callers together.
    pub connections: u32,
    /// How long a target stays cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold target bears; none if it has no such bound.
    pub cold_rate: Option<f64>,
}

impl Gather {
    /// Returns how many shards make an answer.
    pub fn min_answered_shards(&self) -> usize {
        let share = self.least_coverage * self.shards.len() as f64;
        // A share such as 0.9 of 20 shards must not become 19 by a rounding error.
        let needed = (share - 1e-9).ceil().max(1.0);
        (needed as usize).min(self.shards.len())
    }
}

impl Table {
    /// Builds a table.
    pub fn new<R, S>(version: TableVersion, limits: Limits, routes: R, services: S) -> Self
    where
        R: IntoIterator<Item = Route>,
        S: IntoIterator<Item = (Arc<str>, Service)>,
    {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            hosts,
            services: services.into_iter().collect(),
        }
    }

    /// Returns the route of a request: the one of its host with the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns what the operators say of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
