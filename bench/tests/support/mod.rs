//! Helpers that run scenarios on a small index for a short time, so that the tests are fast in debug builds.

#![allow(
    dead_code,
    clippy::allow_attributes_without_reason,
    reason = "each test file uses only some of the helpers"
)]

use redwinggrade_bench::policy::{self, Policy};
use redwinggrade_bench::report::{Experiment, Row};
use redwinggrade_bench::scenario::Scenario;
use redwinggrade_bench::size::{Index, Size};

/// The seed of all tests other than the comparison of seeds.
pub const SEED: u64 = 7;
/// The length of the runs in virtual seconds. A data centre that is taken out stays out for longer than the
/// two seconds within which requests may still start there.
pub const RUN_SECONDS: u64 = 8;

/// Returns an index with fewer shards than the modelled scattered indexes, but more than data centres.
pub fn index() -> Index {
    Index {
        name: "test",
        shards: 5,
        ..Size::Magnolia.indexes()[0]
    }
}

/// Runs a scenario with a policy and a seed, and returns the result row.
pub fn run(scenario: Scenario, policy: Policy, seed: u64) -> Row {
    Experiment {
        scenario,
        index: index(),
        seed,
        seconds: RUN_SECONDS,
    }
    .run_policy(policy)
}

/// Runs a scenario with the production policy.
pub fn run_production(scenario: Scenario) -> Row {
    run(scenario, policy::PRODUCTION, SEED)
}
