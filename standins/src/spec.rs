//! Specs for targets in the sizes of the two users of `docs/design.md`, section 1.

use std::net::SocketAddr;
use std::str::FromStr;

use anyhow::bail;

use crate::target::spec::{Holding, OverrunEffect, ServiceTime, Spec, Target};

/// User of the query tier, whose sizes the specs have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Magnolia Etchworks, with the indexes [`MAGNOLIA`].
    Magnolia,
    /// Tamar Crest Stitchworks Authority, with the indexes [`TAMAR`].
    Tamar,
}

impl FromStr for User {
    type Err = anyhow::Error;

    fn from_str(name: &str) -> anyhow::Result<Self> {
        match name {
            "magnolia" => Ok(Self::Magnolia),
            "tamar" => Ok(Self::Tamar),
            _ => bail!("unknown user {name}: expected magnolia or tamar"),
        }
    }
}

/// Size of one index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Index {
    /// Name of the index.
    pub name: &'static str,
    /// Number of services of the index; each service holds one shard.
    pub services: u32,
    /// Number of targets of each service.
    pub replicas: u32,
    /// Number of requests that a target runs at once.
    pub slots: u32,
    /// Number of connections that a target accepts at once.
    pub connections: u32,
    /// Time from accepting a connection until its first request is read, in milliseconds.
    pub connect_ms: u64,
}

const fn index(
    name: &'static str,
    (services, replicas): (u32, u32),
    (slots, connections, connect_ms): (u32, u32, u64),
) -> Index {
    Index {
        name,
        services,
        replicas,
        slots,
        connections,
        connect_ms,
    }
}

/// Indexes of Magnolia Etchworks.
pub const MAGNOLIA: [Index; 4] = [
    index("proof-viewing", (20, 2), (2, 25, 5)),
    index("dealer-catalog", (30, 2), (2, 25, 5)),
    index("order-desk", (1, 7), (4, 110, 1)),
    index("shipment-tracking", (1, 3), (4, 110, 1)),
];

/// Indexes of Tamar Crest Stitchworks Authority.
pub const TAMAR: [Index; 4] = [
    index("design-search", (20, 2), (3, 30, 5)),
    index("invoicing", (30, 2), (3, 30, 5)),
    index("parent-portal", (1, 13), (4, 45, 1)),
    index("stock-ledger", (1, 6), (4, 45, 1)),
];

/// Builder of a spec; every setting has a default.
#[derive(Debug, Clone)]
pub struct Builder {
    indexes: Vec<Index>,
    data_centres: Vec<String>,
    seed: u64,
    version: u64,
    time: ServiceTime,
    /// Answers that make a target warm, and the requests at once and per second that it can take until
    /// then.
    cold: (u64, u32, u32),
    cold_factor: f64,
    cold_overrun: OverrunEffect,
}

impl Builder {
    /// Returns a builder with all indexes of a user, in the data centres dc1 to dc3.
    pub fn new(user: User) -> Self {
        let indexes = match user {
            User::Magnolia => MAGNOLIA,
            User::Tamar => TAMAR,
        };
        Self::with_indexes(indexes.to_vec())
    }

    /// Returns a builder with the given indexes, in the data centres dc1 to dc3.
    pub fn with_indexes(indexes: Vec<Index>) -> Self {
        Self {
            indexes,
            data_centres: ["dc1", "dc2", "dc3"].map(str::to_owned).to_vec(),
            seed: 1,
            version: 1,
            time: ServiceTime {
                straggler_probability: 0.01,
                ..ServiceTime::default()
            },
            cold: (50, 1, 50),
            cold_factor: 1.0,
            cold_overrun: OverrunEffect::default(),
        }
    }

    /// Sets the names of the data centres over which targets are spread.
    pub fn data_centres(mut self, names: &[&str]) -> Self {
        self.data_centres = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Sets the seed from which service times are drawn.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the index version that all targets hold at the start.
    pub fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// Sets the distribution of service times of all targets.
    pub fn service_time(mut self, time: ServiceTime) -> Self {
        self.time = time;
        self
    }

    /// Sets how many answers make a target warm, and the load that a cold target can take: requests at
    /// once (`concurrency`) and requests per second (`rate`).
    pub fn cold(mut self, answers: u64, concurrency: u32, rate: u32) -> Self {
        self.cold = (answers, concurrency, rate);
        self
    }

    /// Sets the factor by which requests take longer at a cold target.
    pub fn cold_factor(mut self, factor: f64) -> Self {
        self.cold_factor = factor;
        self
    }

    /// Sets the effect of more load than a cold target can take.
    pub fn cold_overrun(mut self, overrun: OverrunEffect) -> Self {
        self.cold_overrun = overrun;
        self
    }

    /// Limits the number of services of each index and the number of targets of each service.
    pub fn with_at_most(mut self, services: u32, replicas: u32) -> Self {
        for index in &mut self.indexes {
            index.services = index.services.min(services);
            index.replicas = index.replicas.min(replicas);
        }
        self
    }

    /// Builds the spec. The replicas of a service are in different data centres as far as there are
    /// enough of them, and successive services begin in successive data centres.
    pub fn build(&self) -> Spec {
        let mut targets = Vec::new();
        for index in &self.indexes {
            for service in 0..index.services {
                for replica in 0..index.replicas {
                    targets.push(self.target(index, service, replica));
                }
            }
        }
        Spec {
            seed: self.seed,
            targets,
        }
    }

    /// Returns one target with the number `replica` of a service.
    fn target(&self, index: &Index, service: u32, replica: u32) -> Target {
        let data_centre_index = (service + replica) as usize % self.data_centres.len();
        let (cold_answers, cold_concurrency, cold_rate) = self.cold;
        Target {
            name: format!("{}-s{service:02}-{replica}", index.name),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_centre: self.data_centres[data_centre_index].clone(),
            index: index.name.to_owned(),
            service: format!("s{service:02}"),
            replica,
            slots: index.slots,
            connections: index.connections,
            connect_ms: index.connect_ms,
            time: self.time,
            queue: index.slots,
            retry_after_ms: 50,
            cold_answers,
            cold_concurrency,
            cold_rate,
            cold_factor: self.cold_factor,
            cold_overrun: self.cold_overrun,
            versions: vec![Holding {
                version: self.version,
                shard: service,
                shards: index.services,
            }],
        }
    }
}
