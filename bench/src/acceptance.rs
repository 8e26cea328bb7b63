//! Acceptance criteria: the bounds that a run must keep, and their comparison with its figures.

use serde::Serialize;

use crate::scenario::{OVERLOAD_STEPS, Scenario};
use crate::simulation::{Config, RunResult};
use crate::stats::{Counters, percent};
use crate::target::COLD_RATE_SLACK;

/// Upper bound of the query p99 with stragglers, as a multiple of the p99 of the same run without them.
pub const MAX_STRAGGLER_P99_RATIO: f64 = 1.25;
/// Upper bound of the extra load with stragglers, in percent of the first subrequests.
pub const MAX_STRAGGLER_EXTRA_PERCENT: f64 = 5.0;
/// Lower bound of the mean coverage with one replica of every service lost.
pub const MIN_REPLICA_LOSS_COVERAGE_PERCENT: f64 = 99.95;
/// Lower bound of the goodput at twice the capacity, in percent of the highest goodput of any load step.
pub const MIN_OVERLOAD_GOODPUT_PERCENT: f64 = 90.0;
/// Upper bound of the time from the end of the overload until the goodput is back to normal.
pub const MAX_OVERLOAD_RECOVERY_SECONDS: f64 = 5.0;
/// The lowest goodput that counts as normal, in percent of the offered load.
pub const NORMAL_GOODPUT_PERCENT: f64 = 99.0;
/// Upper bound of the extra load in the worst second of any run, in percent of the first subrequests.
pub const MAX_EXTRA_PERCENT: f64 = 10.0;
/// Upper bound of the failed queries while a data centre leaves and returns.
pub const MAX_LEAVE_FAILED_QUERIES: f64 = 0.0;
/// Upper bound of the query p99 of the large index, in all scenarios other than `overload`.
pub const MAX_LARGE_P99_MS: f64 = 210.0;

/// One acceptance criterion with the figure of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Check {
    /// The name of the figure, with its unit.
    pub name: &'static str,
    /// The figure of the run.
    pub measured: f64,
    /// The lower or upper bound of the figure, in the same unit.
    pub bound: f64,
    /// Whether the figure keeps the bound.
    pub pass: bool,
    /// Whether the bound is a lower one; otherwise it is an upper one.
    pub at_least: bool,
    /// Whether the criterion is a safety guarantee of the design rather than a performance goal.
    pub safety: bool,
}

impl Check {
    const fn at_most(name: &'static str, measured: f64, bound: f64) -> Self {
        Self {
            name,
            measured,
            bound,
            pass: measured <= bound,
            at_least: false,
            safety: false,
        }
    }

    const fn at_least(name: &'static str, measured: f64, bound: f64) -> Self {
        Self {
            name,
            measured,
            bound,
            pass: measured >= bound,
            at_least: true,
            safety: false,
        }
    }

    const fn safety(name: &'static str, measured: f64, bound: f64) -> Self {
        Self {
            safety: true,
            ..Self::at_most(name, measured, bound)
        }
    }
}

/// Compares a run with the criteria of its scenario; `reference` is the same run without stragglers.
pub fn checks(config: &Config, result: &RunResult, reference: Option<&RunResult>) -> Vec<Check> {
    let mut checks = safety_checks(result);
    let stats = &result.stats;
    let p99 = |result: &RunResult| result.stats.latency.value_at_quantile(0.99) as f64 / 1e3;
    let total = stats.total();
    match config.scenario {
        Scenario::Straggler => {
            if let Some(reference) = reference {
                let ratio = p99(result) / p99(reference);
                checks.push(Check::at_most(
                    "p99 / p99 without stragglers",
                    ratio,
                    MAX_STRAGGLER_P99_RATIO,
                ));
            }
            let extra = total.extra_percent();
            checks.push(Check::at_most(
                "extra load %",
                extra,
                MAX_STRAGGLER_EXTRA_PERCENT,
            ));
        }
        Scenario::ReplicaLoss => {
            let coverage = 100.0 * stats.coverage_sum / stats.queries_ended.max(1) as f64;
            checks.push(Check::at_least(
                "mean coverage %",
                coverage,
                MIN_REPLICA_LOSS_COVERAGE_PERCENT,
            ));
        }
        Scenario::DcLeaveReturn => {
            checks.push(Check::at_most(
                "failed queries",
                stats.below_min_coverage as f64,
                MAX_LEAVE_FAILED_QUERIES,
            ));
        }
        Scenario::Overload => checks.extend(overload_checks(config, &stats.seconds)),
        Scenario::ColdStart | Scenario::Repartition | Scenario::StoreOutage => {}
    }
    // This bound also holds for overloads, which extra load would make worse.
    let worst = stats.seconds.iter().map(Counters::extra_percent);
    let worst = worst.fold(0.0, f64::max);
    checks.push(Check::at_most(
        "extra load in the worst second %",
        worst,
        MAX_EXTRA_PERCENT,
    ));
    if config.index.name == "large" && config.scenario != Scenario::Overload {
        checks.push(Check::at_most("p99 ms", p99(result), MAX_LARGE_P99_MS));
    }
    checks
}

fn safety_checks(result: &RunResult) -> Vec<Check> {
    let violations = result.stats.violations;
    let count = |name, count: u64| Check::safety(name, count as f64, 0.0);
    let limits = result.limits;
    let rate = f64::from(limits.cold_rate) + COLD_RATE_SLACK as f64;
    vec![
        count("mixed snapshots", violations.mixed_snapshots),
        count("false coverage", violations.false_coverage),
        count("queries not ended exactly once", violations.not_ended_once),
        count("targets above their slots", violations.over_slots),
        count(
            "starts in a data centre that is out",
            violations.starts_while_out,
        ),
        count("dispatches without a permit", violations.no_permit),
        Check::safety(
            "requests at once at a cold target",
            result.max_cold_running as f64,
            f64::from(limits.cold_concurrency),
        ),
        Check::safety(
            "starts per second at a cold target",
            result.max_cold_rate as f64,
            rate,
        ),
    ]
}

fn overload_checks(config: &Config, seconds: &[Counters]) -> [Check; 2] {
    let position = |share: f64| (share * config.seconds as f64).round() as usize;
    let ends = OVERLOAD_STEPS
        .iter()
        .skip(1)
        .map(|(start, _)| position(*start));
    let ends: Vec<usize> = ends.chain([seconds.len()]).collect();
    let mean = |step: usize| {
        let start = position(OVERLOAD_STEPS[step].0);
        let part = &seconds[start.min(seconds.len())..ends[step]];
        // Queries of the step before still affect the first second of a step.
        let part = part.get(1..).unwrap_or_default();
        part.iter().map(|second| second.good).sum::<u64>() as f64 / part.len().max(1) as f64
    };
    let peak = (0..OVERLOAD_STEPS.len()).map(mean).fold(0.0, f64::max);
    let overload_step = OVERLOAD_STEPS.iter().position(|(_, load)| *load >= 2.0);
    let overload_step = overload_step.expect("one load step is at least twice the capacity");
    let goodput = 100.0 * mean(overload_step) / peak.max(1e-9);
    let end = ends[overload_step];
    let bad = |second: &Counters| percent(second.good, second.offered) < NORMAL_GOODPUT_PERCENT;
    let recovery = seconds[end..]
        .iter()
        .rposition(bad)
        .map_or(0, |last| last + 1);
    [
        Check::at_least(
            "goodput at 2 x capacity, % of its peak",
            goodput,
            MIN_OVERLOAD_GOODPUT_PERCENT,
        ),
        Check::at_most(
            "seconds until normal",
            recovery as f64,
            MAX_OVERLOAD_RECOVERY_SECONDS,
        ),
    ]
}
