//! The modelled sets of indexes: those of both users, and one large index.
//!
//! Targets, slots, connections and link delays are the figures of `docs/design.md`, section 1. That
//! section gives no service times; the medians here are assumptions.

use serde::Serialize;

/// The number of data centres in every run.
pub const DATA_CENTRE_COUNT: usize = 3;
/// The number of nodes in every run; each data centre has one cell of three nodes.
pub const NODE_COUNT: usize = 9;

/// A set of indexes to model; the value of `--size`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Size {
    /// The four indexes of Magnolia Etchworks.
    Magnolia,
    /// The four indexes of Tamar Crest Stitchworks Authority.
    Tamar,
    /// One index of 83 shards with two replicas each.
    Large,
}

/// The model of one index: its targets, and the network between callers, nodes and data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Index {
    /// The user and the index, separated by a slash; the large index has a name of its own.
    pub name: &'static str,
    /// The number of services; each one holds one shard.
    pub shards: u32,
    /// The number of targets per service.
    pub replicas: u32,
    /// The number of requests that a target runs at once.
    pub slots: u16,
    /// The number of connections that a target accepts.
    pub connections: u16,
    /// The time to open a connection to a target, in milliseconds.
    pub connect_ms: u64,
    /// The median service time of a target, in microseconds.
    #[serde(rename = "median_us")]
    pub median_service_time_us: u64,
    /// The minimum one-way delay between data centres, in microseconds.
    #[serde(rename = "link_least_us")]
    pub min_link_delay_us: u64,
    /// The maximum one-way delay between data centres without message loss, in microseconds.
    #[serde(rename = "link_most_us")]
    pub max_link_delay_us: u64,
    /// The one-way delay between callers and nodes, in microseconds.
    #[serde(rename = "caller_us")]
    pub caller_delay_us: u64,
    /// The time limit of a query, in milliseconds.
    pub deadline_ms: u64,
}

impl Size {
    /// All sets of indexes, in the order in which they run by default.
    pub const ALL: [Self; 3] = [Self::Magnolia, Self::Tamar, Self::Large];

    /// Returns the indexes of the set; each one runs in a simulation of its own.
    pub const fn indexes(self) -> &'static [Index] {
        match self {
            Self::Magnolia => &MAGNOLIA_INDEXES,
            Self::Tamar => &TAMAR_INDEXES,
            Self::Large => &LARGE_INDEXES,
        }
    }
}

const MAGNOLIA_PROOF_VIEWING: Index = Index {
    name: "magnolia/proof-viewing",
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect_ms: 5,
    median_service_time_us: 8_000,
    min_link_delay_us: 4_000,
    max_link_delay_us: 5_000,
    caller_delay_us: 3_000,
    deadline_ms: 200,
};

const MAGNOLIA_ORDER_DESK: Index = Index {
    name: "magnolia/order-desk",
    shards: 1,
    replicas: 7,
    slots: 4,
    connections: 110,
    connect_ms: 1,
    median_service_time_us: 4_000,
    ..MAGNOLIA_PROOF_VIEWING
};

const MAGNOLIA_INDEXES: [Index; 4] = [
    MAGNOLIA_PROOF_VIEWING,
    Index {
        name: "magnolia/dealer-catalog",
        shards: 30,
        ..MAGNOLIA_PROOF_VIEWING
    },
    MAGNOLIA_ORDER_DESK,
    Index {
        name: "magnolia/shipment-tracking",
        replicas: 3,
        ..MAGNOLIA_ORDER_DESK
    },
];

/// Tamar's queries have a longer deadline, because for this user a partial result is worse than a slow one.
const TAMAR_DESIGN_SEARCH: Index = Index {
    name: "tamar/design-search",
    slots: 3,
    connections: 30,
    max_link_delay_us: 4_000,
    caller_delay_us: 1_000,
    deadline_ms: 400,
    ..MAGNOLIA_PROOF_VIEWING
};

const TAMAR_PARENT_PORTAL: Index = Index {
    name: "tamar/parent-portal",
    shards: 1,
    replicas: 13,
    slots: 4,
    connections: 45,
    connect_ms: 1,
    median_service_time_us: 4_000,
    ..TAMAR_DESIGN_SEARCH
};

const TAMAR_INDEXES: [Index; 4] = [
    TAMAR_DESIGN_SEARCH,
    Index {
        name: "tamar/invoicing",
        shards: 30,
        ..TAMAR_DESIGN_SEARCH
    },
    TAMAR_PARENT_PORTAL,
    Index {
        name: "tamar/stock-ledger",
        replicas: 6,
        ..TAMAR_PARENT_PORTAL
    },
];

const LARGE_INDEXES: [Index; 1] = [Index {
    name: "large",
    shards: 83,
    slots: 4,
    connections: 30,
    deadline_ms: 400,
    ..MAGNOLIA_PROOF_VIEWING
}];
