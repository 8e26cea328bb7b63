//! Tests the safety guarantees of `docs/design.md`, section 2, in every scenario.

mod support;

use redwinggrade_bench::policy::POLICIES;
use redwinggrade_bench::scenario::Scenario;
use redwinggrade_bench::stats::Violations;
use rstest::rstest;
use support::{SEED, run, run_production};

/// Guards against answers with mixed index versions or false coverage, requests in a data centre that is
/// out of service, dispatches without a permit, and cold targets above their limits.
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
    assert!(broken.is_empty(), "safety checks failed: {broken:?}");
}

/// Guards against a scenario in which no cold target receives a request, so that the limits of cold
/// targets are not tested.
#[rstest]
fn cold_targets_receive_requests(
    #[values(Scenario::ColdStart, Scenario::DcLeaveReturn)] scenario: Scenario,
) {
    assert!(run_production(scenario).max_cold_running > 0);
}

/// Guards against checks of cold starts that cannot fail: without a ramp, a cold target must exceed its
/// limits.
#[test]
fn cold_targets_are_overloaded_without_a_ramp() {
    let no_ramp = POLICIES.into_iter().find(|policy| !policy.ramp);
    let row = run(
        Scenario::ColdStart,
        no_ramp.expect("no policy without a ramp"),
        SEED,
    );
    assert!(row.max_cold_running > 1 || row.max_cold_rate > 21);
}

/// Guards against a repartition that no query encounters: a change of the version during a query causes
/// retries or a restart.
#[test]
fn repartition_causes_retries_or_restarts() {
    let subrequests = run_production(Scenario::Repartition).subrequests;
    assert!(subrequests.retries + subrequests.restarts > 0);
}
