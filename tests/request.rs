//! Tests the parts of a query: the directory, the choice of version and replica, hedging and merging.

#[path = "support/targets.rs"]
mod targets;

use std::time::Duration;

use redwinggrade::request::hedge::{self, DELAY_CEILING, HedgeController};
use redwinggrade::request::merge::HitMerger;
use redwinggrade::request::replica_choice::Policy::{self, LeastWait, Random, RoundRobin};
use redwinggrade::request::replica_choice::{Preference, pick};
use redwinggrade::request::version_choice;
use redwinggrade::time::Moment;
use redwinggrade::version::directory::{Directory, MAX_SHARDS, Target};
use redwinggrade::wire::Version;
use rstest::rstest;
use targets::{load, targets};

/// Guards against an invalid report that makes a partial answer look complete or uses much memory.
#[test]
fn directory_tolerates_invalid_reports() {
    let mut all = targets(&[(8, 3)], 2);
    // One target reports two sizes of the same version; two others report an impossible shard or size.
    all[0].holdings = [all[0].holdings[0]; 2].to_vec();
    all[0].holdings[1].shards = 5;
    all[4].holdings[0].shard = 3;
    all[5].holdings[0].shards = MAX_SHARDS + 1;
    all[2].usable = false;
    all[3].gateway = None;
    all.push(all[1].clone());
    let directory = Directory::build(all);
    let extents = directory.versions("tins").iter();
    let sizes: Vec<_> = extents.map(|it| (it.shards, it.covered_shards)).collect();
    assert_eq!(sizes, [(5, 1)]);
    let held = |shard| directory.replicas("tins", Version(8), shard).len();
    assert_eq!([0, 1, 2, 3, 4].map(held), [2, 2, 0, 0, 0]);
}

/// Guards against a query that is pinned to a version with less coverage than another one has.
/// Each version is given as (version, shards, shards with a usable target).
#[rstest]
#[case::newest_complete(&[(7, 2, 2), (8, 3, 3)], None, Some(8))]
#[case::newest_incomplete(&[(7, 2, 2), (8, 3, 2)], None, Some(7))]
#[case::best_coverage(&[(7, 2, 1), (8, 3, 2), (9, 4, 1)], None, Some(8))]
#[case::newer_of_equal_coverage(&[(7, 2, 1), (8, 4, 2)], None, Some(8))]
#[case::not_below_least_version(&[(7, 2, 2), (8, 3, 1)], Some(8), Some(8))]
#[case::no_version_known(&[], None, None)]
#[case::all_below_least_version(&[(7, 2, 2)], Some(8), None)]
fn chooses_version_with_best_coverage(
    #[case] versions: &[(u64, u32, usize)],
    #[case] least: Option<u64>,
    #[case] expected: Option<u64>,
) {
    let mut all = Vec::new();
    for &(version, shards, usable) in versions {
        for (at, mut target) in targets(&[(version, shards)], 1).into_iter().enumerate() {
            target.name = format!("{version}-{at}").into();
            target.usable = at < usable;
            all.push(target);
        }
    }
    let choice = version_choice::choose(&Directory::build(all), "tins", least.map(Version));
    assert_eq!(choice.map(|it| it.version.0), expected);
}

/// Stands for the load of a target that is not usable.
const UNUSABLE: u16 = 99;
/// Stands for the load of a target without a gateway.
const NO_GATEWAY: u16 = 98;
/// Stands for the load of a target that is excluded because it already has a subrequest.
const EXCLUDED: u16 = 97;

/// Guards against a choice that ignores locality, load or usability, or that sends all subrequests to one
/// replica. The cases give the running subrequests of four replicas with a limit of four each, of which the
/// first two are local, and the share of subrequests that follows from the constants of `replica_choice`.
#[rstest]
#[case::free_capacity(LeastWait, [3, 1, 0, 0], [0.5, 0.5, 0.0, 0.0])]
#[case::one_busy(LeastWait, [5, 1, 0, 0], [0.25, 0.75, 0.0, 0.0])]
#[case::both_busy(LeastWait, [5, 6, 0, 0], [0.5, 0.5, 0.0, 0.0])]
#[case::one_full(LeastWait, [16, 1, 0, 0], [0.031, 0.969, 0.0, 0.0])]
#[case::local_full(LeastWait, [16, 16, 1, 1], [0.117, 0.117, 0.383, 0.383])]
#[case::all_full(LeastWait, [16, 16, 16, 16], [0.41, 0.41, 0.09, 0.09])]
#[case::local_unusable(LeastWait, [UNUSABLE, UNUSABLE, 1, 1], [0.0, 0.0, 0.5, 0.5])]
#[case::no_gateway(LeastWait, [1, NO_GATEWAY, 0, 0], [1.0, 0.0, 0.0, 0.0])]
#[case::one_excluded(LeastWait, [EXCLUDED, 1, 0, 0], [0.0, 1.0, 0.0, 0.0])]
#[case::all_unusable(LeastWait, [UNUSABLE; 4], [0.0; 4])]
#[case::random(Random, [3, 1, 0, 0], [0.5, 0.5, 0.0, 0.0])]
#[case::round_robin(RoundRobin(0), [3, 1, 0, 0], [0.5, 0.5, 0.0, 0.0])]
#[case::round_robin_remote(RoundRobin(0), [UNUSABLE, UNUSABLE, 0, 0], [0.0, 0.0, 0.5, 0.5])]
fn shares_subrequests_among_preferred_replicas(
    #[case] policy: Policy,
    #[case] running: [u16; 4],
    #[case] expected: [f64; 4],
) {
    /// The standard deviation of a share over this many draws is below 0.01.
    const DRAWS: u64 = 3_000;
    let mut all = targets(&[(8, 1)], 4);
    all[1].data_centre = "dc1".into();
    for (target, running) in all.iter_mut().zip(running) {
        target.usable = running != UNUSABLE;
        target.gateway.take_if(|_| running == NO_GATEWAY);
        target.load = load(running);
    }
    let directory = Directory::build(all);
    let replicas = directory.replicas("tins", Version(8), 0);
    let mut counts = [0; 4];
    for seed in 0..DRAWS {
        let mut preference = Preference {
            policy,
            data_centre: "dc1",
            seed,
        };
        if let Policy::RoundRobin(turn) = &mut preference.policy {
            *turn = seed;
        }
        let excluded = |it: &Target| it.load.running == EXCLUDED;
        let choose = || pick(&directory, replicas, preference, excluded);
        assert_eq!(
            choose(),
            choose(),
            "one seed chooses two different replicas"
        );
        if let Some(key) = choose() {
            counts[directory.target(key).replica as usize] += 1;
        }
    }
    for (share, count) in expected.into_iter().zip(counts) {
        let got = f64::from(count) / DRAWS as f64;
        assert!(
            (share - got).abs() <= 0.03,
            "share {got} instead of {share}: {counts:?}"
        );
        assert_eq!(
            share == 0.0,
            count == 0,
            "count {count} for share {share}: {counts:?}"
        );
    }
}

/// Guards against hedges that are sent too early or too late: of 208 latencies, `slow` are 40 ms and the
/// others 4 ms.
#[rstest]
#[case::slow_at_most_five_percent(9, 4_000, 4_500)]
#[case::slow_above_five_percent(11, 40_000, 45_000)]
fn hedge_delay_is_95th_percentile(#[case] slow: u32, #[case] least: u128, #[case] most: u128) {
    let mut hedge = HedgeController::new(hedge::Policy::Adaptive);
    assert_eq!(
        hedge.expected_latency("s"),
        DELAY_CEILING,
        "latency estimated from no samples"
    );
    for at in 0..208 {
        let millis = if at < slow { 40 } else { 4 };
        hedge.record_latency(&"s".into(), Duration::from_millis(millis));
    }
    let delay = hedge
        .delay("s")
        .expect("the policy sends no hedges")
        .as_micros();
    assert!((least..=most).contains(&delay), "hedge delay {delay} us");
}

/// Guards against extra subrequests that overload targets: 1,000 subrequests pay for 50 hedges on top of the
/// initial 10, and for 100 retries on top of the initial 10 and the 5 of one second, which the limit of the
/// budget reduces to 100.
#[rstest]
#[case::below_shrink_threshold(70, 60, 100)]
#[case::half_shrunk(85, 30, 50)]
#[case::full_utilisation(100, 0, 0)]
#[case::overloaded(300, 0, 0)]
fn budgets_shrink_with_utilisation(
    #[case] percent: u16,
    #[case] hedges: usize,
    #[case] retries: usize,
) {
    let mut hedge = HedgeController::new(hedge::Policy::Adaptive);
    (0..1_000).for_each(|_| hedge.deposit(5.0));
    let mut load = load(percent);
    load.limit = 100;
    (0..1_000).for_each(|_| hedge.record_load(&"s".into(), load));
    let now = Moment::from_millis(1_000);
    let retried = (0..200).filter(|_| hedge.withdraw_retry("s", now)).count();
    let hedged = (0..200).filter(|_| hedge.withdraw_hedge("s")).count();
    assert!(
        hedged.abs_diff(hedges) <= 1,
        "{hedged} hedges allowed instead of {hedges}"
    );
    assert!(
        retried.abs_diff(retries) <= 1,
        "{retried} retries allowed instead of {retries}"
    );
}

/// Guards against an order of hits that depends on the order of answers, and against a malformed body of
/// which a part is merged.
#[rstest]
#[case::descending_score(&[("b", 1.0), ("a", 2.5)], 9, "a b")]
#[case::equal_scores_by_id(&[("b", 1.0), ("c", 1.0), ("a", 1.0)], 2, "a b")]
#[case::limit_keeps_best(&[("a", 1.0), ("b", 3.0), ("c", 2.0)], 1, "b")]
#[case::limit_of_zero(&[("a", 1.0)], 0, "")]
fn merges_hits_in_fixed_order(
    #[case] hits: &[(&str, f64)],
    #[case] limit: u32,
    #[case] expected: &str,
) {
    let mut merge = HitMerger::new(limit);
    for (id, score) in hits {
        let hit = format!(r#"{{"id":"{id}","score":{score}}}"#);
        let well_formed = format!(r#"{{"hits":[{hit}]}}"#);
        merge
            .add(well_formed.as_bytes())
            .expect("a well-formed body was rejected");
        let malformed = format!(r#"{{"hits":[{hit},{{"id":7}}]}}"#);
        merge.add(malformed.as_bytes()).unwrap_err();
    }
    let ids: Vec<String> = merge.finish().into_iter().map(|it| it.id).collect();
    assert_eq!(ids.join(" "), expected);
}
