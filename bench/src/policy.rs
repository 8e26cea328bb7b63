//! The policies that a scenario compares: the production policy, and simpler ones that each differ from
//! it in one respect.

use std::time::Duration;

use redwinggrade::request::{hedge, replica_choice};

/// The order in which a coordinator prefers the replicas of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChoice {
    /// Replicas in the coordinator's data centre first, then by the shortest expected wait.
    LeastWait,
    /// Replicas in the coordinator's data centre first, then at random.
    Random,
    /// Replicas in the coordinator's data centre first, then in rotation.
    RoundRobin,
}

impl ReplicaChoice {
    /// Returns the replica choice for one query; `turn` counts the queries of its coordinator and sets the
    /// position in the rotation.
    pub const fn to_policy(self, turn: u64) -> replica_choice::Policy {
        match self {
            Self::LeastWait => replica_choice::Policy::LeastWait,
            Self::Random => replica_choice::Policy::Random,
            Self::RoundRobin => replica_choice::Policy::RoundRobin(turn),
        }
    }
}

/// The settings of the decision code that one run uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// The value of `--policy`, also printed in the result row.
    pub name: &'static str,
    /// When the coordinator sends a hedge for a slow subrequest.
    pub hedge: hedge::Policy,
    /// The hedge budget, in percent of the subrequests sent.
    pub hedge_percent: f64,
    /// The order in which replicas are preferred.
    pub replica_choice: ReplicaChoice,
    /// Whether each target has one gateway that all nodes send through; otherwise every node sends
    /// to the target directly, on a fixed share of its slots.
    pub single_gateway: bool,
    /// Whether gates limit the concurrency and request rate of cold targets.
    pub ramp: bool,
}

/// The policy that the nodes use in production.
pub const PRODUCTION: Policy = Policy {
    name: "ours",
    hedge: hedge::Policy::Adaptive,
    hedge_percent: 5.0,
    replica_choice: ReplicaChoice::LeastWait,
    single_gateway: true,
    ramp: true,
};

/// The delay after which the policy `fixed-hedge` sends a hedge; above the 95th percentile of the service
/// times of most modelled indexes.
const FIXED_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// All policies that can be named on the command line.
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

/// Returns the policy with this name, or `None` if there is none.
pub fn find(name: &str) -> Option<Policy> {
    POLICIES.into_iter().find(|policy| policy.name == name)
}
