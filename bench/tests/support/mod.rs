//! A small index and short runs, so that the tests stay fast in a debug build.

#![allow(
    dead_code,
    clippy::allow_attributes_without_reason,
    reason = "each test file uses a part of the helpers"
)]

use redwinggrade_bench::policy::{self, Policy};
use redwinggrade_bench::report::{Experiment, Row};
use redwinggrade_bench::scenario::Scenario;
use redwinggrade_bench::size::{Index, Size};

/// The seed of all tests that do not compare seeds.
pub const SEED: u64 = 7;
/// The length of the runs; a data centre that is out stays out for longer than the two seconds
/// within which it may still get work.
pub const SECONDS: u64 = 8;

/// Returns an index with fewer shards than any of today, but more than data centres.
pub fn index() -> Index {
    Index {
        name: "test",
        shards: 5,
        ..Size::Magnolia.indexes()[0]
    }
}

/// Runs a scenario with a policy.
pub fn run(scenario: Scenario, policy: Policy, seed: u64) -> Row {
    Experiment {
        scenario,
        index: index(),
        seed,
        seconds: SECONDS,
    }
    .run_policy(policy)
}

/// Runs a scenario with the policy of the nodes.
pub fn run_production(scenario: Scenario) -> Row {
    run(scenario, policy::PRODUCTION, SEED)
}
