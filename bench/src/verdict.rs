//! The targets that a run must meet, stated before any run, and their comparison with the figures.

use serde::Serialize;

use crate::scenario::{OVERLOAD_STEPS, Scenario};
use crate::stats::{Second, percent};
use crate::target::RATE_SLACK;
use crate::world::{Outcomes, Setup};

/// Query p99 with stragglers, in multiples of the p99 of the same run without them.
pub const STRAGGLER_P99: f64 = 1.25;
/// Extra load with stragglers, in percent of the first subrequests.
pub const STRAGGLER_EXTRA: f64 = 5.0;
/// Mean coverage, in percent, with one replica of every service lost.
pub const LOSS_COVERAGE: f64 = 99.95;
/// Goodput at twice the capacity, in percent of the best goodput of any step of the load.
pub const OVERLOAD_GOODPUT: f64 = 90.0;
/// Seconds after the end of the overload within which the goodput is back to normal.
pub const OVERLOAD_RECOVERY: f64 = 5.0;
/// The goodput, in percent of the offered load, that counts as normal.
pub const NORMAL_GOODPUT: f64 = 99.0;
/// Extra load in the worst second of any run with a single fault, in percent of the first subrequests.
pub const EXTRA_MOST: f64 = 10.0;
/// Failed queries while a data centre leaves and returns.
pub const LEAVE_FAILED: f64 = 0.0;
/// Query p99 of the large index, in milliseconds.
pub const LARGE_P99: f64 = 210.0;

/// One target and what was measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Check {
    /// What was measured.
    pub name: &'static str,
    /// The figure.
    pub measured: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the figure is within the bound.
    pub pass: bool,
    /// Whether the figure must be at least the bound, instead of at most.
    pub at_least: bool,
    /// Whether the check is a promise of the design rather than a measured target.
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

/// Compares a run with its targets; `reference` is the same run without stragglers.
pub fn checks(setup: &Setup, outcomes: &Outcomes, reference: Option<&Outcomes>) -> Vec<Check> {
    let mut checks = safety(outcomes);
    let stats = &outcomes.stats;
    let p99 = |outcomes: &Outcomes| outcomes.stats.latency.value_at_quantile(0.99) as f64 / 1e3;
    let total = stats.total();
    match setup.scenario {
        Scenario::Straggler => {
            if let Some(reference) = reference {
                let ratio = p99(outcomes) / p99(reference);
                checks.push(Check::at_most(
                    "p99 / p99 without stragglers",
                    ratio,
                    STRAGGLER_P99,
                ));
            }
            let extra = total.extra_percent();
            checks.push(Check::at_most("extra load %", extra, STRAGGLER_EXTRA));
        }
        Scenario::ReplicaLoss => {
            let coverage = 100.0 * stats.coverage_sum / stats.ended.max(1) as f64;
            checks.push(Check::at_least("mean coverage %", coverage, LOSS_COVERAGE));
        }
        Scenario::DcLeaveReturn => {
            checks.push(Check::at_most(
                "failed queries",
                stats.below as f64,
                LEAVE_FAILED,
            ));
        }
        Scenario::Overload => checks.extend(overload(setup, &stats.seconds)),
        Scenario::ColdStart | Scenario::Repartition | Scenario::StoreOutage => {}
    }
    // An overload is not a fault, but extra load would make it worse.
    let worst = stats.seconds.iter().map(Second::extra_percent);
    let worst = worst.fold(0.0, f64::max);
    checks.push(Check::at_most(
        "extra load in the worst second %",
        worst,
        EXTRA_MOST,
    ));
    if setup.index.name == "large" && setup.scenario != Scenario::Overload {
        checks.push(Check::at_most("p99 ms", p99(outcomes), LARGE_P99));
    }
    checks
}

fn safety(outcomes: &Outcomes) -> Vec<Check> {
    let violations = outcomes.stats.violations;
    let count = |name, count: u64| Check::safety(name, count as f64, 0.0);
    let bears = outcomes.bears;
    let rate = f64::from(bears.cold_rate) + RATE_SLACK as f64;
    vec![
        count("mixed snapshots", violations.mixed),
        count("false coverage", violations.false_coverage),
        count("queries not ended exactly once", violations.not_once),
        count("targets above their slots", violations.over_slots),
        count("starts in a data centre that is out", violations.out),
        count("dispatches without a permit", violations.no_permit),
        Check::safety(
            "requests at once at a cold target",
            outcomes.cold_running as f64,
            f64::from(bears.cold_concurrency),
        ),
        Check::safety(
            "starts per second at a cold target",
            outcomes.cold_rate as f64,
            rate,
        ),
    ]
}

fn overload(setup: &Setup, seconds: &[Second]) -> [Check; 2] {
    let position = |share: f64| (share * setup.seconds as f64).round() as usize;
    let ends = OVERLOAD_STEPS
        .iter()
        .skip(1)
        .map(|(start, _)| position(*start));
    let ends: Vec<usize> = ends.chain([seconds.len()]).collect();
    let mean = |step: usize| {
        let start = position(OVERLOAD_STEPS[step].0);
        let part = &seconds[start.min(seconds.len())..ends[step]];
        // The first second of a step still shows the step before.
        let part = part.get(1..).unwrap_or_default();
        part.iter().map(|second| second.good).sum::<u64>() as f64 / part.len().max(1) as f64
    };
    let peak = (0..OVERLOAD_STEPS.len()).map(mean).fold(0.0, f64::max);
    let most = OVERLOAD_STEPS.iter().position(|(_, load)| *load >= 2.0);
    let most = most.expect("one step is twice the capacity");
    let goodput = 100.0 * mean(most) / peak.max(1e-9);
    let end = ends[most];
    let bad = |second: &Second| percent(second.good, second.offered) < NORMAL_GOODPUT;
    let recovery = seconds[end..]
        .iter()
        .rposition(bad)
        .map_or(0, |last| last + 1);
    [
        Check::at_least(
            "goodput at 2 x capacity, % of its peak",
            goodput,
            OVERLOAD_GOODPUT,
        ),
        Check::at_most("seconds until normal", recovery as f64, OVERLOAD_RECOVERY),
    ]
}
