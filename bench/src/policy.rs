//! The policies that a scenario compares: ours, and simpler ones that differ from it in one respect.

use std::time::Duration;

use redwinggrade::request::{hedge, replica_choice};

/// How replicas are chosen by a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChoice {
    /// Local before remote, then the least expected wait.
    LeastWait,
    /// Local before remote, then at random.
    Random,
    /// Local before remote, then in turn.
    RoundRobin,
}

impl ReplicaChoice {
    /// Returns the order for the query with this number at its coordinator.
    pub const fn to_policy(self, turn: u64) -> replica_choice::Policy {
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
    pub replica_choice: ReplicaChoice,
    /// Whether each target has one gateway; otherwise every node sends on its own share of the slots.
    pub single_gateway: bool,
    /// Whether cold targets are ramped up.
    pub ramp: bool,
}

/// The policy of the nodes.
pub const PRODUCTION: Policy = Policy {
    name: "ours",
    hedge: hedge::Policy::Adaptive,
    hedge_percent: 5.0,
    replica_choice: ReplicaChoice::LeastWait,
    single_gateway: true,
    ramp: true,
};

/// The delay of the fixed hedge: more than the 95th percentile of most services of the model.
const FIXED_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Every policy.
pub const POLICIES: [Policy; 7] = [
    PRODUCTION,
    Policy {
        name: "no-hedge",
        hedge: hedge::Policy::None,
        ..PRODUCTION
    },
    Policy {
        name: "fixed-hedge",
        hedge: hedge::Policy::Fixed(FIXED_HEDGE_DELAY),
        hedge_percent: 100.0,
        ..PRODUCTION
    },
    Policy {
        name: "random",
        replica_choice: ReplicaChoice::Random,
        ..PRODUCTION
    },
    Policy {
        name: "round-robin",
        replica_choice: ReplicaChoice::RoundRobin,
        ..PRODUCTION
    },
    Policy {
        name: "static-share",
        single_gateway: false,
        ..PRODUCTION
    },
    Policy {
        name: "no-ramp",
        ramp: false,
        ..PRODUCTION
    },
];

/// Finds a policy by its name.
pub fn find(name: &str) -> Option<Policy> {
    POLICIES.into_iter().find(|policy| policy.name == name)
}
