//! Scenarios: the offered load over time, and the faults and operator actions with their times.

use std::time::Duration;

use redwinggrade::wire::Version;
use redwinggrade::wire::exchange::Holding;

use crate::size::Index;
use crate::target;

/// A named load profile with a sequence of faults or operator actions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Scenario {
    /// 1% of the requests to targets take ten times as long as usual.
    Straggler,
    /// One replica of every service fails and does not return.
    ReplicaLoss,
    /// One replica of every service crashes and restarts cold.
    ColdStart,
    /// A data centre is taken out of service and returns with cold targets.
    DcLeaveReturn,
    /// The offered load rises in steps to twice the capacity and falls back.
    Overload,
    /// A rolling update of the targets to an index version with another shard count.
    Repartition,
    /// The store is unavailable while a node fails.
    StoreOutage,
}

/// The offered load outside overloads, as a share of the capacity. It is below one half because the loss
/// of half the replicas doubles the load of the others.
pub const NORMAL_LOAD: f64 = 0.35;
/// The load steps of `overload`: the share of the run at which each begins, and its load as a share of
/// the capacity.
pub const OVERLOAD_STEPS: [(f64, f64); 6] = [
    (0.0, NORMAL_LOAD),
    (0.1, 0.7),
    (0.2, 1.0),
    (0.35, 1.5),
    (0.45, 2.0),
    (0.7, NORMAL_LOAD),
];
/// The data centre that is taken out of service in `dc-leave-return`.
pub const LEAVING_DATA_CENTRE: usize = 0;
/// The node that fails during the outage in `store-outage`.
pub const FAILED_NODE: usize = 1;
/// The index version that all targets hold at the start.
pub const OLD_VERSION: Version = Version(1);
/// The index version that targets adopt in `repartition`.
pub const NEW_VERSION: Version = Version(2);
/// The time between the crash of a target's process and its cold restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// A fault or an operator action. Targets, data centres and nodes are given by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Ends the process of a target; its running requests are lost.
    KillTarget(usize),
    /// Starts the process of a target again, cold.
    RestartTarget(usize),
    /// Takes a data centre out of service in the settings.
    TakeOutDataCentre(usize),
    /// Brings a data centre back into service in the settings; its targets restart cold.
    RestoreDataCentre(usize),
    /// Replaces the index version and shard that a target holds.
    ReplaceHolding(usize, Holding),
    /// Makes the store unavailable.
    StoreDown,
    /// Makes the store available again.
    StoreUp,
    /// Ends the process of a node.
    KillNode(usize),
}

impl Scenario {
    /// All scenarios, in the order in which `all` runs them.
    pub const ALL: [Self; 7] = [
        Self::Straggler,
        Self::ReplicaLoss,
        Self::ColdStart,
        Self::DcLeaveReturn,
        Self::Overload,
        Self::Repartition,
        Self::StoreOutage,
    ];

    /// Returns the name used on the command line and in result rows.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Straggler => "straggler",
            Self::ReplicaLoss => "replica-loss",
            Self::ColdStart => "cold-start",
            Self::DcLeaveReturn => "dc-leave-return",
            Self::Overload => "overload",
            Self::Repartition => "repartition",
            Self::StoreOutage => "store-outage",
        }
    }

    /// Returns the names of the policies to compare if the command line gives none.
    pub const fn default_policies(self) -> &'static [&'static str] {
        match self {
            Self::Straggler | Self::StoreOutage => {
                &["ours", "no-hedge", "fixed-hedge", "random", "round-robin"]
            }
            Self::ReplicaLoss | Self::Repartition => &["ours", "no-hedge", "random", "round-robin"],
            Self::ColdStart | Self::DcLeaveReturn => &["ours", "no-ramp", "static-share", "random"],
            Self::Overload => &["ours", "fixed-hedge", "static-share", "random"],
        }
    }

    /// Returns the share of requests with a straggler's service time.
    pub const fn straggler_share(self) -> f64 {
        match self {
            Self::Straggler => target::STRAGGLER_SHARE,
            _ => target::BACKGROUND_STRAGGLER_SHARE,
        }
    }

    /// Returns the offered load as a share of the capacity; `at` is the elapsed share of the run.
    pub fn load(self, at: f64) -> f64 {
        match self {
            Self::Overload => OVERLOAD_STEPS
                .iter()
                .rfind(|(start, _)| at >= *start)
                .map_or(NORMAL_LOAD, |(_, load)| *load),
            _ => NORMAL_LOAD,
        }
    }

    /// Returns the faults and operator actions, each with its time after the start of the measured part.
    pub fn changes(self, index: &Index, run: Duration) -> Vec<(Duration, Change)> {
        let at = |share: f64| run.mul_f64(share);
        let first = 0..index.shards as usize;
        match self {
            Self::Straggler | Self::Overload => Vec::new(),
            Self::ReplicaLoss => first
                .map(|target| (at(0.3), Change::KillTarget(target)))
                .collect(),
            Self::ColdStart => first
                .flat_map(|target| {
                    [
                        (at(0.2), Change::KillTarget(target)),
                        (at(0.2) + RESTART_DELAY, Change::RestartTarget(target)),
                    ]
                })
                .collect(),
            Self::DcLeaveReturn => vec![
                (at(0.2), Change::TakeOutDataCentre(LEAVING_DATA_CENTRE)),
                (at(0.6), Change::RestoreDataCentre(LEAVING_DATA_CENTRE)),
            ],
            Self::Repartition => {
                let targets = (index.shards * index.replicas) as usize;
                let shards = new_shard_count(index);
                let adopt = |target: usize| {
                    let holding = Holding {
                        version: NEW_VERSION,
                        shard: target as u32 % shards,
                        shards,
                    };
                    let share = 0.2 + 0.6 * target as f64 / targets as f64;
                    (at(share), Change::ReplaceHolding(target, holding))
                };
                (0..targets).map(adopt).collect()
            }
            Self::StoreOutage => vec![
                (at(0.2), Change::StoreDown),
                (at(0.3), Change::KillNode(FAILED_NODE)),
                (at(0.7), Change::StoreUp),
            ],
        }
    }
}

/// Returns the shard count of the new index version: four fifths of the old count, or two for an index
/// with one shard.
pub const fn new_shard_count(index: &Index) -> u32 {
    if index.shards == 1 {
        2
    } else {
        index.shards * 4 / 5
    }
}
