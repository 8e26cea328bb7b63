//! Runs a scenario with a policy and formats the figures as a text block or a JSON row.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::acceptance::{self, Check};
use crate::policy::{self, Policy};
use crate::scenario::Scenario;
use crate::simulation::{self, Config, RunResult};
use crate::size::Index;
use crate::stats::{Counters, Violations};

/// The figures of one policy in one scenario on one index, as printed or encoded as JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The name of the scenario, as given on the command line.
    pub scenario: &'static str,
    /// The name of the modelled index.
    pub index: &'static str,
    /// The name of the policy, as given to `--policy`.
    pub policy: &'static str,
    /// The seed of the random generators.
    pub seed: u64,
    /// The capacity: queries per second at which all slots are in use.
    pub capacity: f64,
    /// Queries that began in the measured part.
    pub queries: u64,
    /// The median query latency as seen by the caller, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the query latency, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the query latency, in milliseconds.
    pub p999_ms: f64,
    /// The mean coverage of all queries, in percent.
    pub coverage_mean: f64,
    /// The lowest coverage of any query, in percent.
    pub coverage_min: f64,
    /// The share of queries that did not reach their minimum coverage, in percent.
    pub below_percent: f64,
    /// Queries that ended without an answer, by reason.
    pub failures: BTreeMap<String, u64>,
    /// Subrequests that ended without an answer, by reason.
    #[serde(rename = "leg_failures")]
    pub subrequest_failures: BTreeMap<String, u64>,
    /// Queries and subrequests, summed over the measured part.
    #[serde(rename = "legs")]
    pub subrequests: Counters,
    /// Hedges, retries and restarts in percent of the first subrequests.
    pub extra_percent: f64,
    /// The highest number of requests at once at a cold target.
    #[serde(rename = "cold_running")]
    pub max_cold_running: usize,
    /// The highest number of starts within a second at a cold target.
    #[serde(rename = "cold_rate")]
    pub max_cold_rate: usize,
    /// The time between taking a data centre out of service and the last start of a request there, in
    /// milliseconds; zero if there was none.
    #[serde(rename = "last_out_ms")]
    pub last_start_after_out_ms: f64,
    /// Counts of broken safety guarantees.
    pub violations: Violations,
    /// Counts for each second of the measured part.
    pub seconds: Vec<Counters>,
    /// The acceptance criteria; empty for all policies other than the production policy.
    pub checks: Vec<Check>,
    /// The number of events that the simulation handled.
    pub events: u64,
}

impl Row {
    fn new(config: &Config, result: RunResult, checks: Vec<Check>) -> Self {
        let stats = result.stats;
        let quantile = |share: f64| stats.latency.value_at_quantile(share) as f64 / 1e3;
        let ended = stats.queries_ended.max(1) as f64;
        Self {
            scenario: config.scenario.name(),
            index: config.index.name,
            policy: config.policy.name,
            seed: config.seed,
            capacity: config.capacity(),
            queries: stats.queries_started,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            coverage_mean: 100.0 * stats.coverage_sum / ended,
            coverage_min: 100.0 * stats.coverage_min,
            below_percent: 100.0 * stats.below_min_coverage as f64 / ended,
            subrequests: stats.total(),
            extra_percent: stats.total().extra_percent(),
            failures: stats.failures,
            subrequest_failures: stats.subrequest_failures,
            max_cold_running: result.max_cold_running,
            max_cold_rate: result.max_cold_rate,
            last_start_after_out_ms: stats.last_start_after_out_us as f64 / 1e3,
            violations: stats.violations,
            seconds: stats.seconds,
            checks,
            events: result.events,
        }
    }

    /// Returns whether the run meets all acceptance criteria.
    pub fn passes(&self) -> bool {
        self.checks.iter().all(|check| check.pass)
    }

    /// Formats the row as a block of text lines.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write(&mut text).expect("writing to a string succeeds");
        text
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        let subrequests = self.subrequests;
        let part = |count: u64| crate::stats::percent(count, subrequests.first);
        writeln!(
            out,
            "{} {} {} seed {}: {} queries, capacity {:.0}/s",
            self.scenario, self.index, self.policy, self.seed, self.queries, self.capacity
        )?;
        writeln!(
            out,
            "  query ms      p50 {:.1}  p99 {:.1}  p99.9 {:.1}",
            self.p50_ms, self.p99_ms, self.p999_ms
        )?;
        writeln!(
            out,
            "  coverage %    mean {:.3}  min {:.1}  below least {:.3}",
            self.coverage_mean, self.coverage_min, self.below_percent
        )?;
        writeln!(
            out,
            "  extra load %  {:.2}: hedges {:.2}  retries {:.2}  restarts {:.2}",
            self.extra_percent,
            part(subrequests.hedges),
            part(subrequests.retries),
            part(subrequests.restarts)
        )?;
        let failed = [
            ("failures     ", &self.failures),
            ("leg failures ", &self.subrequest_failures),
        ];
        for (name, counts) in failed {
            if counts.is_empty() {
                continue;
            }
            write!(out, "  {name}")?;
            for (reason, count) in counts {
                write!(out, " {reason} {count}")?;
            }
            writeln!(out)?;
        }
        if self.max_cold_running > 0 {
            writeln!(
                out,
                "  cold target   most at once {}  most starts per second {}",
                self.max_cold_running, self.max_cold_rate
            )?;
        }
        if self.last_start_after_out_ms > 0.0 {
            writeln!(
                out,
                "  out           last start {:.0} ms after the data centre was taken out",
                self.last_start_after_out_ms
            )?;
        }
        writeln!(out, "  goodput /s    {}", goodput_chart(&self.seconds))?;
        for check in &self.checks {
            if check.pass && check.safety {
                continue;
            }
            let word = if check.pass { "pass" } else { "MISS" };
            let order = if check.at_least { ">=" } else { "<=" };
            write!(
                out,
                "  {word}          {}: {:.2} {order} {:.2}",
                check.name, check.measured, check.bound
            )?;
            if !check.pass {
                write!(
                    out,
                    ", missed by {:.2}",
                    (check.measured - check.bound).abs()
                )?;
            }
            writeln!(out)?;
        }
        let safety = self.checks.iter().filter(|check| check.safety);
        if safety.clone().next().is_some() && safety.clone().all(|check| check.pass) {
            writeln!(out, "  pass          all {} safety checks", safety.count())?;
        }
        Ok(())
    }
}

/// Draws the goodput of each second as a bar; a full block is the highest offered load of any second.
fn goodput_chart(seconds: &[Counters]) -> String {
    const BLOCKS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let most = seconds.iter().map(|second| second.offered).max();
    let most = most.unwrap_or(0).max(1);
    let block = |second: &Counters| BLOCKS[(second.good * 8 / most) as usize];
    let good = seconds.iter().map(|second| second.good).max().unwrap_or(0);
    let drawn: String = seconds.iter().map(block).collect();
    format!("|{drawn}| peak {good}, offered at most {most}")
}

/// A scenario on one index with one seed, to be run with several policies.
#[derive(Debug, Clone, Copy)]
pub struct Experiment {
    /// The offered load and the faults.
    pub scenario: Scenario,
    /// The modelled index.
    pub index: Index,
    /// The seed of the random generators.
    pub seed: u64,
    /// The length of the measured part, in seconds of virtual time.
    pub seconds: u64,
}

impl Experiment {
    /// Returns the configuration of the run with a policy.
    pub fn config(&self, policy: Policy) -> Config {
        Config {
            scenario: self.scenario,
            index: self.index,
            policy,
            straggler_share: self.scenario.straggler_share(),
            seed: self.seed,
            seconds: self.seconds,
        }
    }

    /// Runs one policy and returns its row; only the production policy is checked for acceptance.
    pub fn run_policy(&self, policy: Policy) -> Row {
        let config = self.config(policy);
        let result = simulation::run(config);
        let mut checks = Vec::new();
        if policy == policy::PRODUCTION {
            let reference = (self.scenario == Scenario::Straggler).then(|| {
                simulation::run(Config {
                    straggler_share: 0.0,
                    ..config
                })
            });
            checks = acceptance::checks(&config, &result, reference.as_ref());
        }
        Row::new(&config, result, checks)
    }
}
