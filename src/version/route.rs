//! The route table: the destination of each request, its time limits and its number of attempts.
//!
//! A table is built from a whole settings document of the operators and never changes. Each request
//! keeps the table that was in force when it arrived, so that one version governs all of its parts. See
//! `docs/decisions/008-platform.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::tenancy::{Credential, Directory, Sender, Tenant, Urgency};

/// The version of a route table; a node never goes back to a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TableVersion(pub u64);

/// The route table: all routes and services of one version.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The version of the settings document that the table was built from.
    pub version: TableVersion,
    /// The limits on requests of callers.
    pub limits: Limits,
    /// The routes by host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    /// The tenants and their keys; absent if the document declares none, so that no request needs a key.
    tenants: Option<Directory>,
    /// The priorities of the routes, each once, in order.
    priorities: Vec<u8>,
    /// The urgencies that requests can have, each once, the most urgent first.
    urgencies: Vec<Urgency>,
}

/// The limits on the size of requests of callers and on the time that they take to arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length of the request line and the headers together.
    pub max_head_bytes: usize,
    /// The maximum length of a request body.
    pub max_body_bytes: usize,
    /// The maximum time from the first byte of a request head to its last byte.
    pub head_timeout: Duration,
    /// The maximum time for which a connection stays open between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a first version is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Kind {
    /// More than once: the request is idempotent.
    #[display("idempotent")]
    Idempotent,
    /// At most once: a second execution could repeat its effect.
    #[display("non_idempotent")]
    NonIdempotent,
}

/// A route: the requests that it matches, how they are executed, and where they are sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route, unique in the table.
    pub name: Arc<str>,
    /// The host of the requests that the route matches.
    pub host: String,
    /// The path prefix of the requests that the route matches; it begins and ends with a slash.
    pub prefix: String,
    /// How often a request may be executed.
    pub kind: Kind,
    /// The maximum number of targets that may execute one request, for each shard.
    pub max_attempts: u32,
    /// The maximum time for which a request waits for its final answer.
    pub timeout: Duration,
    /// The latency within which requests are meant to be answered.
    pub latency_objective: Duration,
    /// The priority; lower numbers are more urgent.
    pub priority: u8,
    /// Whether requests need no key, if the table has tenants.
    pub anonymous: bool,
    /// The targets to which requests are sent.
    pub destination: Destination,
}

/// The targets to which the requests of a route are sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Destination {
    /// One target of one of these services, chosen in proportion to their weights.
    OneTarget(Vec<(Arc<str>, f64)>),
    /// One target of each shard, whose answers are merged.
    AllShards(Gather),
}

/// A query that is sent to all shards and whose answers are merged.
#[derive(Debug, Clone, PartialEq)]
pub struct Gather {
    /// The services that hold the shards, one for each shard.
    pub shards: Vec<Arc<str>>,
    /// The maximum number of records in the merged answer.
    pub limit: usize,
    /// The share of the shards, from 0 to 1, that must answer.
    pub least_coverage: f64,
}

/// The settings of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The path of the health check at each target.
    pub health_path: String,
    /// The number of connections that one target accepts from all clients together.
    pub connections: u32,
    /// The time for which a target stays cold after its start.
    pub warmup: Duration,
    /// The requests per second that a cold target sustains; absent if there is no such limit.
    pub cold_rate: Option<f64>,
}

impl Gather {
    /// Returns the minimum number of shards that must answer.
    pub fn min_answered_shards(&self) -> usize {
        let share = self.least_coverage * self.shards.len() as f64;
        // Without the tolerance, a rounding error could turn a share of 0.9 of 20 shards into 19 shards.
        let needed = (share - 1e-9).ceil().max(1.0);
        (needed as usize).min(self.shards.len())
    }
}

impl Table {
    /// Builds a table from the routes and the services by name.
    pub fn new<R, S>(version: TableVersion, limits: Limits, routes: R, services: S) -> Self
    where
        R: IntoIterator<Item = Route>,
        S: IntoIterator<Item = (Arc<str>, Service)>,
    {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut priorities = Vec::new();
        for route in routes {
            priorities.push(route.priority);
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        priorities.sort_unstable();
        priorities.dedup();
        Self {
            version,
            limits,
            hosts,
            services: services.into_iter().collect(),
            tenants: None,
            urgencies: urgencies(&[None], &priorities),
            priorities,
        }
    }

    /// Returns the table with tenants, so that requests need a key of one of them unless their route is anonymous.
    pub fn with_tenants(self, tenants: Directory) -> Self {
        // Anonymous requests have no tenant.
        let mut owners = vec![None];
        owners.extend(tenants.tenants().map(|tenant| Some(&**tenant)));
        Self {
            urgencies: urgencies(&owners, &self.priorities),
            tenants: Some(tenants),
            ..self
        }
    }

    /// Returns the tenants and their keys, or `None` if the document declares none.
    pub const fn tenants(&self) -> Option<&Directory> {
        self.tenants.as_ref()
    }

    /// Returns who sent a request on a route, or `None` if the route needs a key and the request has none that
    /// identifies a tenant.
    pub fn identify(&self, route: &Route, credential: Option<&Credential>) -> Option<Sender> {
        let Some(tenants) = &self.tenants else {
            return Some(Sender::Undeclared);
        };
        let key = credential.and_then(|credential| tenants.find(credential));
        match key.and_then(|key| tenants.get(key)) {
            Some(tenant) => Some(Sender::Tenant(Arc::clone(tenant))),
            None => route.anonymous.then_some(Sender::Anonymous),
        }
    }

    /// Returns the route of a request: of the routes of its host, the one with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Tells whether some requests are more urgent than others, or belong to tenants, so that it matters under load
    /// whose request is refused.
    pub const fn grades_requests(&self) -> bool {
        self.tenants.is_some() || self.urgencies.len() > 1
    }

    /// Returns the place of an urgency among those that requests can have: 0 for the most urgent, 1 for the least urgent.
    pub fn lag(&self, urgency: Urgency) -> f64 {
        let more_urgent = self.urgencies.partition_point(|it| *it < urgency);
        more_urgent as f64 / self.urgencies.len().saturating_sub(1).max(1) as f64
    }

    /// Returns the settings of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

/// Returns the urgencies of requests of these tenants on routes of these priorities, each once, in order.
fn urgencies(tenants: &[Option<&Tenant>], priorities: &[u8]) -> Vec<Urgency> {
    let mut tenants = tenants.to_vec();
    tenants.sort_unstable_by_key(|tenant| tenant.and_then(|tenant| tenant.priority));
    tenants.dedup_by_key(|tenant| tenant.and_then(|tenant| tenant.priority));
    let of_routes = |tenant| priorities.iter().map(move |&it| Urgency::new(tenant, it));
    let mut urgencies: Vec<Urgency> = tenants.into_iter().flat_map(of_routes).collect();
    urgencies.sort_unstable();
    urgencies.dedup();
    urgencies
}
