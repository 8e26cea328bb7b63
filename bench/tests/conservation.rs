//! Tests that the simulation neither loses nor duplicates queries, in any scenario and with any policy.

mod support;

use redwinggrade_bench::policy::{POLICIES, PRODUCTION};
use redwinggrade_bench::report::Row;
use redwinggrade_bench::scenario::Scenario;
use rstest::rstest;
use support::{SEED, run, run_production};

fn assert_conserved(row: &Row) {
    let offered: u64 = row.seconds.iter().map(|second| second.offered).sum();
    let good: u64 = row.seconds.iter().map(|second| second.good).sum();
    let failed: u64 = row.failures.values().sum();
    assert!(row.queries > 0, "no query began");
    assert_eq!(
        offered, row.queries,
        "the offered queries of all seconds differ from the queries that began"
    );
    assert_eq!(
        good + failed,
        row.queries,
        "answered and failed queries differ from the queries that began"
    );
    assert_eq!(row.violations.not_ended_once, 0);
}

/// Guards against queries that never end, or end twice, when targets, nodes or the store fail.
#[rstest]
fn every_query_ends_exactly_once_in_every_scenario(
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
    assert_conserved(&run_production(scenario));
}

/// Guards against lost queries on code paths that only some policies take, such as dispatch without a
/// single gateway.
#[test]
fn every_query_ends_exactly_once_with_every_policy() {
    for policy in POLICIES {
        assert_conserved(&run(Scenario::ColdStart, policy, SEED));
    }
}

/// Guards against gateways that dispatch more requests to a target than it has slots, under overload or
/// when the owner of a target fails.
#[rstest]
fn single_gateway_keeps_targets_within_their_slots(
    #[values(Scenario::Overload, Scenario::StoreOutage)] scenario: Scenario,
) {
    assert_eq!(run(scenario, PRODUCTION, SEED).violations.over_slots, 0);
}

/// Guards against a target model that cannot detect too many requests, in which case the test of the
/// single gateway could not fail.
#[test]
fn static_shares_exceed_target_slots_under_overload() {
    let static_share = POLICIES.into_iter().find(|policy| !policy.single_gateway);
    let row = run(
        Scenario::Overload,
        static_share.expect("no policy without a single gateway"),
        SEED,
    );
    assert!(row.violations.over_slots > 0);
}

/// Guards against a model in which stragglers do not raise the latency or hedges do not lower it.
#[test]
fn hedging_lowers_p99_with_stragglers() {
    let no_hedge = POLICIES
        .into_iter()
        .find(|policy| policy.name == "no-hedge");
    let without_hedge = run(
        Scenario::Straggler,
        no_hedge.expect("no policy named no-hedge"),
        SEED,
    );
    assert!(run_production(Scenario::Straggler).p99_ms < without_hedge.p99_ms);
}
