//! The YAML file that describes the targets of one process.

use std::collections::HashSet;
use std::net::SocketAddr;

use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};

/// All targets of a process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The seed of all service times.
    #[serde(default)]
    pub seed: u64,
    /// The targets.
    pub targets: Vec<Target>,
}

/// A part of an index that a target holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The version of the index.
    pub version: u64,
    /// The number of the shard.
    pub shard: u32,
    /// How many shards that version of the index has.
    pub shards: u32,
}

/// The distribution of service times: log-normal, with rare stragglers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The median in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of the logarithm.
    pub sigma: f64,
    /// The share of requests that straggle, from 0 to 1.
    pub straggler_probability: f64,
    /// How many times as long a straggler takes.
    pub straggler_factor: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median_ms: 4.0,
            sigma: 0.4,
            straggler_probability: 0.0,
            straggler_factor: 10.0,
        }
    }
}

/// What a cold target does when it gets more load than it bears.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OverrunEffect {
    /// Requests that start during the next `for_ms` take `factor` times as long.
    Slow {
        /// How many times as long a request takes.
        factor: f64,
        /// How long this lasts after the last overrun, in milliseconds.
        for_ms: u64,
    },
    /// Requests that arrive during the next `for_ms` are answered with status 500 and do not start.
    Fail {
        /// How long this lasts after the last overrun, in milliseconds.
        for_ms: u64,
    },
}

impl Default for OverrunEffect {
    fn default() -> Self {
        Self::Slow {
            factor: 5.0,
            for_ms: 1_000,
        }
    }
}

/// One target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name, unique in the process.
    pub name: String,
    /// Where it listens; port 0 takes a free port.
    #[serde(default = "any_port")]
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: String,
    /// The index that it serves.
    pub index: String,
    /// The service that it is a replica of.
    pub service: String,
    /// Its number within the service.
    pub replica: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts at once.
    pub connections: u32,
    /// How long a new connection takes before its first request is read, in milliseconds.
    #[serde(default)]
    pub connect_ms: u64,
    /// How long requests run.
    #[serde(default)]
    pub time: ServiceTime,
    /// How many requests wait while all slots are taken; more are answered with status 429.
    #[serde(default)]
    pub queue: u32,
    /// The `Retry-After-Ms` of a refusal for load.
    #[serde(default = "retry_after")]
    pub retry_after_ms: u64,
    /// How many answers it gives before it is warm; 0 for a target that is never cold.
    #[serde(default)]
    pub cold_answers: u64,
    /// How many requests it bears at once while it is cold, waiting ones included.
    #[serde(default = "one")]
    pub cold_concurrency: u32,
    /// How many requests it bears in any span of one second while it is cold.
    #[serde(default = "cold_rate")]
    pub cold_rate: u32,
    /// How many times as long requests run while it is cold.
    #[serde(default = "unchanged")]
    pub cold_factor: f64,
    /// What happens when a cold target gets more.
    #[serde(default)]
    pub cold_overrun: OverrunEffect,
    /// The parts of the index that it holds.
    pub versions: Vec<Holding>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

const fn retry_after() -> u64 {
    50
}

const fn one() -> u32 {
    1
}

const fn cold_rate() -> u32 {
    50
}

const fn unchanged() -> f64 {
    1.0
}

impl Spec {
    /// Reads a spec file's text and checks it.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let spec: Self = serde_saphyr::from_str(text).context("the spec is not valid")?;
        spec.check()?;
        Ok(spec)
    }

    /// Writes the spec as YAML.
    pub fn to_yaml(&self) -> anyhow::Result<String> {
        Ok(serde_saphyr::to_string(self)?)
    }

    /// Checks that names are unique and that the figures make sense.
    pub fn check(&self) -> anyhow::Result<()> {
        let mut names = HashSet::new();
        for target in &self.targets {
            let name = &target.name;
            ensure!(!name.is_empty(), "a target has no name");
            ensure!(names.insert(name), "the target name {name} occurs twice");
            ensure!(target.slots > 0, "{name}: slots must be at least 1");
            ensure!(
                target.connections > 0,
                "{name}: connections must be at least 1"
            );
            ensure!(
                target.cold_concurrency > 0 && target.cold_rate > 0,
                "{name}: cold_concurrency and cold_rate must be at least 1"
            );
            let ServiceTime {
                median_ms,
                sigma,
                straggler_probability,
                straggler_factor,
            } = target.time;
            ensure!(median_ms > 0.0, "{name}: median_ms must be positive");
            ensure!(
                sigma.is_finite() && sigma >= 0.0,
                "{name}: sigma must not be negative"
            );
            ensure!(
                (0.0..=1.0).contains(&straggler_probability),
                "{name}: straggler_probability must lie between 0 and 1"
            );
            let mut factors = vec![straggler_factor, target.cold_factor];
            if let OverrunEffect::Slow { factor, .. } = target.cold_overrun {
                factors.push(factor);
            }
            ensure!(
                factors
                    .iter()
                    .all(|factor| factor.is_finite() && *factor > 0.0),
                "{name}: factors must be positive"
            );
            check_holdings(name, &target.versions)?;
        }
        Ok(())
    }
}

/// Checks that every shard number lies below the number of shards.
pub(super) fn check_holdings(name: &str, versions: &[Holding]) -> anyhow::Result<()> {
    for held in versions {
        ensure!(
            held.shard < held.shards,
            "{name}: version {} has {} shards, so shard {} does not exist",
            held.version,
            held.shards,
            held.shard
        );
    }
    Ok(())
}
