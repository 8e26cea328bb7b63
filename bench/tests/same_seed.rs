//! Tests that the result of a run depends only on its configuration and seed.

mod support;

use redwinggrade_bench::policy::{POLICIES, PRODUCTION};
use redwinggrade_bench::scenario::Scenario;
use rstest::rstest;
use support::{SEED, run};

/// Guards against results that vary through iteration over unordered maps, reads of the clock or unseeded
/// random generators.
#[rstest]
fn equal_seeds_give_equal_rows(
    #[values(
        Scenario::Straggler,
        Scenario::DcLeaveReturn,
        Scenario::Repartition,
        Scenario::StoreOutage
    )]
    scenario: Scenario,
) {
    assert_eq!(
        run(scenario, PRODUCTION, SEED),
        run(scenario, PRODUCTION, SEED)
    );
}

/// Guards against arrivals that ignore the seed.
#[test]
fn different_seeds_give_different_rows() {
    let rows = [1, 2].map(|seed| run(Scenario::Straggler, PRODUCTION, seed));
    assert_ne!(rows[0].queries, rows[1].queries);
}

/// Guards against policies that are compared on different arrivals, for example because a policy draws from
/// the generator of the arrivals.
#[test]
fn all_policies_receive_the_same_arrivals() {
    let offered = |policy| -> Vec<u64> {
        let row = run(Scenario::Overload, policy, SEED);
        row.seconds.iter().map(|second| second.offered).collect()
    };
    let expected = offered(PRODUCTION);
    for policy in POLICIES {
        assert_eq!(
            offered(policy),
            expected,
            "arrivals differ with policy {}",
            policy.name
        );
    }
}
