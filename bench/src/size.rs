//! The sizes that the bench models: the indexes of both users, and one large index.
//!
//! Targets, slots, connections and link delays are the figures of `docs/design.md`, section 1. That
//! section gives no service times; the medians here are assumptions and are printed with each result.

use serde::Serialize;

/// Data centres of every size.
pub const DATA_CENTRES: usize = 3;
/// Nodes of every size; each data centre has one cell of three.
pub const NODES: usize = 9;

/// Which set of indexes a run models.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Size {
    /// The four indexes of Magnolia Etchworks.
    Magnolia,
    /// The four indexes of Tamar Crest Stitchworks Authority.
    Tamar,
    /// One index of 83 shards with two replicas each.
    Large,
}

/// One index, its targets, and the links around it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Index {
    /// The name of the user and of the index.
    pub name: &'static str,
    /// Services, each of which holds one shard.
    pub shards: u32,
    /// Targets per service.
    pub replicas: u32,
    /// Requests that a target runs at once.
    pub slots: u16,
    /// Connections that a target accepts.
    pub connections: u16,
    /// The time that a new connection takes, in milliseconds.
    pub connect_ms: u64,
    /// The median service time of a target, in microseconds.
    pub median_us: u64,
    /// The least one-way delay between data centres, in microseconds.
    pub link_least_us: u64,
    /// The largest one-way delay between data centres without loss, in microseconds.
    pub link_most_us: u64,
    /// The one-way delay between callers and nodes, in microseconds.
    pub caller_us: u64,
    /// The time within which a query must be answered, in milliseconds.
    pub deadline_ms: u64,
}

impl Size {
    /// All sizes.
    pub const ALL: [Self; 3] = [Self::Magnolia, Self::Tamar, Self::Large];

    /// Returns the indexes of the size; each one is run on its own.
    pub const fn indexes(self) -> &'static [Index] {
        match self {
            Self::Magnolia => &MAGNOLIA,
            Self::Tamar => &TAMAR,
            Self::Large => &LARGE,
        }
    }
}

const SCATTERED: Index = Index {
    name: "magnolia/proof-viewing",
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect_ms: 5,
    median_us: 8_000,
    link_least_us: 4_000,
    link_most_us: 5_000,
    caller_us: 3_000,
    deadline_ms: 200,
};

const SINGLE: Index = Index {
    name: "magnolia/order-desk",
    shards: 1,
    replicas: 7,
    slots: 4,
    connections: 110,
    connect_ms: 1,
    median_us: 4_000,
    ..SCATTERED
};

const MAGNOLIA: [Index; 4] = [
    SCATTERED,
    Index {
        name: "magnolia/dealer-catalog",
        shards: 30,
        ..SCATTERED
    },
    SINGLE,
    Index {
        name: "magnolia/shipment-tracking",
        replicas: 3,
        ..SINGLE
    },
];

/// Tamar's queries have a longer deadline, because a partial match is worse than a slow one.
const DESIGN_SEARCH: Index = Index {
    name: "tamar/design-search",
    slots: 3,
    connections: 30,
    link_most_us: 4_000,
    caller_us: 1_000,
    deadline_ms: 400,
    ..SCATTERED
};

const PORTAL: Index = Index {
    name: "tamar/parent-portal",
    shards: 1,
    replicas: 13,
    slots: 4,
    connections: 45,
    connect_ms: 1,
    median_us: 4_000,
    ..DESIGN_SEARCH
};

const TAMAR: [Index; 4] = [
    DESIGN_SEARCH,
    Index {
        name: "tamar/invoicing",
        shards: 30,
        ..DESIGN_SEARCH
    },
    PORTAL,
    Index {
        name: "tamar/stock-ledger",
        replicas: 6,
        ..PORTAL
    },
];

const LARGE: [Index; 1] = [Index {
    name: "large",
    shards: 83,
    slots: 4,
    connections: 30,
    deadline_ms: 400,
    ..SCATTERED
}];
