//! Guards against a model that loses or invents queries, for every scenario and policy.

mod support;

use redwinggrade_bench::policy::{ALL, OURS};
use redwinggrade_bench::report::Row;
use redwinggrade_bench::scenario::Scenario;
use rstest::rstest;
use support::{SEED, ours, run};

fn assert_conserved(row: &Row) {
    let offered: u64 = row.seconds.iter().map(|second| second.offered).sum();
    let good: u64 = row.seconds.iter().map(|second| second.good).sum();
    let failed: u64 = row.failures.values().sum();
    assert!(row.queries > 0, "some queries begin");
    assert_eq!(offered, row.queries, "each query is offered in one second");
    assert_eq!(good + failed, row.queries, "each query ends exactly once");
    assert_eq!(row.violations.not_once, 0);
}

/// Guards against queries that never end or end twice under a fault.
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
    assert_conserved(&ours(scenario));
}

/// Guards against policies whose other paths lose queries.
#[test]
fn every_query_ends_exactly_once_with_every_policy() {
    for policy in ALL {
        assert_conserved(&run(Scenario::ColdStart, policy, SEED));
    }
}

/// Guards against gateways that send more than the slots of a target allow.
#[rstest]
fn no_target_is_above_its_slots_with_one_gateway(
    #[values(Scenario::Overload, Scenario::StoreOutage)] scenario: Scenario,
) {
    assert_eq!(run(scenario, OURS, SEED).violations.over_slots, 0);
}

/// Guards against a model of targets that hides overload from the check above.
#[test]
fn static_shares_exceed_the_slots_of_targets() {
    let shares = ALL.into_iter().find(|policy| !policy.gateway);
    let row = run(
        Scenario::Overload,
        shares.expect("one policy has shares"),
        SEED,
    );
    assert!(row.violations.over_slots > 0);
}

/// Guards against a model in which stragglers cost nothing and a hedge gains nothing.
#[test]
fn hedges_shorten_the_tail_of_stragglers() {
    let none = ALL.into_iter().find(|policy| policy.name == "no-hedge");
    let without = run(Scenario::Straggler, none.expect("the policy exists"), SEED);
    assert!(ours(Scenario::Straggler).p99_ms < without.p99_ms);
}
