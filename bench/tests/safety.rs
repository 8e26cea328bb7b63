//! Guards the promises of `docs/design.md`, section 2, that the decisions must keep in every scenario.

mod support;

use redwinggrade_bench::policy::ALL;
use redwinggrade_bench::scenario::Scenario;
use redwinggrade_bench::stats::Violations;
use rstest::rstest;
use support::{SEED, ours, run};

/// Guards against mixed snapshots, false coverage, work for a data centre that is out, dispatches
/// without a permit, and cold targets above what they bear.
#[rstest]
fn every_scenario_keeps_the_promises(
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
    let row = ours(scenario);
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
fn cold_targets_get_work(
    #[values(Scenario::ColdStart, Scenario::DcLeaveReturn)] scenario: Scenario,
) {
    assert!(ours(scenario).cold_running > 0);
}

/// Guards against a check of cold starts that no policy could fail.
#[test]
fn targets_without_a_ramp_get_more_than_they_bear() {
    let none = ALL.into_iter().find(|policy| !policy.ramp);
    let row = run(
        Scenario::ColdStart,
        none.expect("one policy has no ramp"),
        SEED,
    );
    assert!(row.cold_running > 1 || row.cold_rate > 21);
}

/// Guards against a repartition in which no query meets the new version.
#[test]
fn a_repartition_restarts_or_retries_subrequests() {
    let subrequests = ours(Scenario::Repartition).subrequests;
    assert!(subrequests.retries + subrequests.restarts > 0);
}
