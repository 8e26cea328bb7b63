//! The policies that a scenario compares: ours, and simpler ones that differ from it in one respect.

use std::time::Duration;

use redwinggrade::request::{hedge, replica_choice};

/// How replicas are chosen by a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Local before remote, then the least expected wait.
    LeastWait,
    /// Local before remote, then at random.
    Random,
    /// Local before remote, then in turn.
    RoundRobin,
}

impl Order {
    /// Returns the order for the query with this number at its coordinator.
    pub const fn choice(self, turn: u64) -> replica_choice::Policy {
        match self {
            Self::LeastWait => replica_choice::Policy::LeastWait,
            Self::Random => replica_choice::Policy::Random,
            Self::RoundRobin => replica_choice::Policy::RoundRobin(turn),
        }
    }
}

/// One way of making all decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// The name on the command line.
    pub name: &'static str,
    /// When hedges are sent.
    pub hedge: hedge::Policy,
    /// Hedges allowed, in percent of the subrequests sent.
    pub hedge_percent: f64,
    /// How replicas are chosen.
    pub order: Order,
    /// Whether each target has one gateway; otherwise every node sends on its own share of the slots.
    pub gateway: bool,
    /// Whether cold targets are ramped up.
    pub ramp: bool,
}

/// The policy of the nodes.
pub const OURS: Policy = Policy {
    name: "ours",
    hedge: hedge::Policy::Adaptive,
    hedge_percent: 5.0,
    order: Order::LeastWait,
    gateway: true,
    ramp: true,
};

/// The delay of the fixed hedge: more than the 95th percentile of most services of the model.
const FIXED: Duration = Duration::from_millis(20);

/// Every policy.
pub const ALL: [Policy; 7] = [
    OURS,
    Policy {
        name: "no-hedge",
        hedge: hedge::Policy::None,
        ..OURS
    },
    Policy {
        name: "fixed-hedge",
        hedge: hedge::Policy::Fixed(FIXED),
        hedge_percent: 100.0,
        ..OURS
    },
    Policy {
        name: "random",
        order: Order::Random,
        ..OURS
    },
    Policy {
        name: "round-robin",
        order: Order::RoundRobin,
        ..OURS
    },
    Policy {
        name: "static-share",
        gateway: false,
        ..OURS
    },
    Policy {
        name: "no-ramp",
        ramp: false,
        ..OURS
    },
];

/// Finds a policy by its name.
pub fn find(name: &str) -> Option<Policy> {
    ALL.into_iter().find(|policy| policy.name == name)
}
