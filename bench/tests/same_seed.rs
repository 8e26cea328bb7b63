//! Guards against results that depend on anything but the seed.

mod support;

use redwinggrade_bench::policy::{POLICIES, PRODUCTION};
use redwinggrade_bench::scenario::Scenario;
use rstest::rstest;
use support::{SEED, run};

/// Guards against iteration over unordered maps, clocks and unseeded generators.
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

/// Guards against a seed that is not used.
#[test]
fn different_seeds_give_different_rows() {
    let rows = [1, 2].map(|seed| run(Scenario::Straggler, PRODUCTION, seed));
    assert_ne!(rows[0].queries, rows[1].queries);
}

/// Guards against comparisons of policies that were offered different queries.
#[test]
fn all_policies_receive_the_same_arrivals() {
    let offered = |policy| -> Vec<u64> {
        let row = run(Scenario::Overload, policy, SEED);
        row.seconds.iter().map(|second| second.offered).collect()
    };
    let expected = offered(PRODUCTION);
    for policy in POLICIES {
        assert_eq!(offered(policy), expected, "policy {}", policy.name);
    }
}
