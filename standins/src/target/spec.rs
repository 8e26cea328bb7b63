//! YAML description of the targets of one process.

use std::collections::HashSet;
use std::net::SocketAddr;

use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};

/// Description of all targets of one process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Seed from which all service times are drawn.
    #[serde(default)]
    pub seed: u64,
    /// Targets, with unique names.
    pub targets: Vec<Target>,
}

/// Shard of one index version that a target holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Version of the index.
    pub version: u64,
    /// Number of the shard, from 0.
    pub shard: u32,
    /// Number of shards of that version of the index.
    pub shards: u32,
}

/// Distribution of service times: log-normal, with rare stragglers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Median in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the natural logarithm of the time.
    pub sigma: f64,
    /// Fraction of requests that are stragglers, from 0 to 1.
    pub straggler_probability: f64,
    /// Factor by which a straggler takes longer.
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

/// Effect of more load than a cold target can take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OverrunEffect {
    /// Requests that start within `for_ms` after the overload take `factor` times as long.
    Slow {
        /// Factor by which a request takes longer.
        factor: f64,
        /// Duration of the effect after the last overload, in milliseconds.
        for_ms: u64,
    },
    /// Requests that arrive within `for_ms` after the overload are answered with status 500 and do not
    /// start.
    Fail {
        /// Duration of the effect after the last overload, in milliseconds.
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

/// Description of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target, unique in the process.
    pub name: String,
    /// Address to listen on; port 0, the default, selects a free port.
    #[serde(default = "any_port")]
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: String,
    /// Index that the target serves.
    pub index: String,
    /// Service of which the target is a replica.
    pub service: String,
    /// Number of the target within its service.
    pub replica: u32,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Number of connections that the target accepts at once.
    pub connections: u32,
    /// Time from accepting a connection until its first request is read, in milliseconds.
    #[serde(default)]
    pub connect_ms: u64,
    /// Distribution of service times.
    #[serde(default)]
    pub time: ServiceTime,
    /// Number of requests that wait while all slots are taken; further ones are answered with status
    /// 429.
    #[serde(default)]
    pub queue: u32,
    /// Value of `Retry-After-Ms` in a response with status 429, in milliseconds.
    #[serde(default = "retry_after")]
    pub retry_after_ms: u64,
    /// Number of answers after which the target is warm; 0 for a target that is never cold.
    #[serde(default)]
    pub cold_answers: u64,
    /// Number of requests, waiting ones included, that the target can take at once while it is cold.
    #[serde(default = "one")]
    pub cold_concurrency: u32,
    /// Number of requests that the target can take in any span of one second while it is cold.
    #[serde(default = "cold_rate")]
    pub cold_rate: u32,
    /// Factor by which requests take longer while the target is cold.
    #[serde(default = "unchanged")]
    pub cold_factor: f64,
    /// Effect of more load than the target can take while it is cold.
    #[serde(default)]
    pub cold_overrun: OverrunEffect,
    /// Index versions and shards that the target holds at the start.
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
    /// Reads a spec from YAML and checks it.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let spec: Self = serde_saphyr::from_str(text).context("the spec is not valid")?;
        spec.check()?;
        Ok(spec)
    }

    /// Returns the spec as YAML.
    pub fn to_yaml(&self) -> anyhow::Result<String> {
        Ok(serde_saphyr::to_string(self)?)
    }

    /// Checks that names are unique and that all numbers are in their ranges.
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

/// Checks that every shard number is below the number of shards.
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
