//! Guards the promises of `docs/design.md`, section 2, that the decisions must keep in every scenario.

mod support;

use redwinggrade_bench::policy::POLICIES;
use redwinggrade_bench::scenario::Scenario;
use redwinggrade_bench::stats::Violations;
use rstest::rstest;
use support::{SEED, run, run_production};

/// Guards against mixed snapshots, false coverage, work for a data centre that is out, dispatches
/// without a permit, and cold targets above what they bear.
#[rstest]
fn every_scenario_passes_all_safety_checks(
    #[values(
        Scenario::Straggler,
        Scenario::ReplicaLoss,
        Scenario::ColdStart,
        Scenario::DcLeaveReturn,
        Scenario::Overload,
        Scenario::Repartition,
        Scenario::StoreOutage
    )]
    scenario: Scenario,
) {
    let row = run_production(scenario);
    assert_eq!(row.violations, Violations::default());
    let broken: Vec<_> = row
        .checks
        .iter()
        .filter(|check| check.safety && !check.pass)
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a scenario whose fault never reaches a target.
#[rstest]
fn cold_targets_receive_requests(
    #[values(Scenario::ColdStart, Scenario::DcLeaveReturn)] scenario: Scenario,
) {
    assert!(run_production(scenario).max_cold_running > 0);
}

/// Guards against a check of cold starts that no policy could fail.
#[test]
fn cold_targets_are_overloaded_without_a_ramp() {
    let no_ramp = POLICIES.into_iter().find(|policy| !policy.ramp);
    let row = run(
        Scenario::ColdStart,
        no_ramp.expect("one policy has no ramp"),
        SEED,
    );
    assert!(row.max_cold_running > 1 || row.max_cold_rate > 21);
}

/// Guards against a repartition in which no query meets the new version.
#[test]
fn repartition_causes_retries_or_restarts() {
    let subrequests = run_production(Scenario::Repartition).subrequests;
    assert!(subrequests.retries + subrequests.restarts > 0);
}
