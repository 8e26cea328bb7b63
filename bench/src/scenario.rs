//! The scenarios: what load is offered, and which faults happen when.

use std::time::Duration;

use redwinggrade::wire::Version;
use redwinggrade::wire::exchange::Holding;

use crate::size::Index;
use crate::target;

/// What a run does to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Scenario {
    /// 1% of the targets' answers take ten times as long.
    Straggler,
    /// One replica of every service is lost.
    ReplicaLoss,
    /// One replica of every service restarts cold without warning.
    ColdStart,
    /// A data centre is taken out, and its targets return cold.
    DcLeaveReturn,
    /// The load steps to twice the capacity and back.
    Overload,
    /// A version with another shard count rolls over the targets.
    Repartition,
    /// The store is down while a node dies.
    StoreOutage,
}

/// The share of the capacity that is offered in normal times; the loss of half the replicas doubles
/// the load of the others.
pub const NORMAL_LOAD: f64 = 0.35;
/// The steps of `overload`: the share of the run at which each begins, and its share of the capacity.
pub const OVERLOAD_STEPS: [(f64, f64); 6] = [
    (0.0, NORMAL_LOAD),
    (0.1, 0.7),
    (0.2, 1.0),
    (0.35, 1.5),
    (0.45, 2.0),
    (0.7, NORMAL_LOAD),
];
/// The data centre that is taken out.
pub const LEAVING_DATA_CENTRE: usize = 0;
/// The node that dies during the store outage.
pub const FAILED_NODE: usize = 1;
/// The version before a repartition.
pub const OLD_VERSION: Version = Version(1);
/// The version that a repartition brings.
pub const NEW_VERSION: Version = Version(2);
/// The time between the end of a target's process and its cold restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Something that happens to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The process of a target ends.
    KillTarget(usize),
    /// The process of a target starts, cold.
    RestartTarget(usize),
    /// The settings take a data centre out.
    TakeOutDataCentre(usize),
    /// The settings bring a data centre back.
    RestoreDataCentre(usize),
    /// A target replaces what it holds.
    ReplaceHolding(usize, Holding),
    /// The store stops answering.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// The process of a node ends.
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

    /// Returns the name on the command line.
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

    /// Returns the policies that are compared if the command line names none.
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

    /// Returns the share of stragglers.
    pub const fn straggler_share(self) -> f64 {
        match self {
            Self::Straggler => target::STRAGGLER_SHARE,
            _ => target::BACKGROUND_STRAGGLER_SHARE,
        }
    }

    /// Returns the offered load in shares of the capacity, at a share of the run.
    pub fn load(self, at: f64) -> f64 {
        match self {
            Self::Overload => OVERLOAD_STEPS
                .iter()
                .rfind(|(start, _)| at >= *start)
                .map_or(NORMAL_LOAD, |(_, load)| *load),
            _ => NORMAL_LOAD,
        }
    }

    /// Returns what happens, with the share of the run at which it does.
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

/// Returns the shards of the new version: four fifths of the old ones, or two instead of one.
pub const fn new_shard_count(index: &Index) -> u32 {
    if index.shards == 1 {
        2
    } else {
        index.shards * 4 / 5
    }
}
