//! Simulates bursts of queries against a model of the targets, and checks how many queries are answered in
//! time.

mod shard_model;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redwinggrade::overload::admission::Admission;
use redwinggrade::time::Moment;
use rstest::rstest;
use shard_model::{CAPACITY_PER_SECOND, SHARDS, ShardModel, is_in_time};

const NODES: usize = 9;
/// Usual rate of queries per second; the capacity of the targets is 320 per second.
const USUAL_QUERIES_PER_SECOND: f64 = 90.0;

/// Numbers of queries that were offered, answered in time and refused.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    offered: u32,
    in_time: u32,
    refused: u32,
}

/// Simulates `seconds` seconds of queries; `factor` returns the multiple of the usual rate in a given second.
fn simulate(with_admission: bool, factor: impl Fn(u64) -> f64, seconds: u64) -> Vec<Tally> {
    let mut random = Pcg32::seed_from_u64(5);
    let mut nodes: Vec<Admission> = (0..NODES)
        .map(|_| Admission::new(Moment::ZERO, SHARDS, 1))
        .collect();
    let mut shards = ShardModel::new();
    let mut results: BinaryHeap<Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    let mut tallies = vec![Tally::default(); seconds as usize];
    let mut now_us = 0_u64;
    loop {
        let second = now_us / 1_000_000;
        if second >= seconds {
            return tallies;
        }
        let rate = USUAL_QUERIES_PER_SECOND * factor(second);
        let arrival_gap_s = -(1.0 - random.random::<f64>()).ln() / rate;
        now_us += (arrival_gap_s * 1e6) as u64;
        while let Some(&Reverse((at, node, ratio))) = results.peek()
            && at <= now_us
        {
            results.pop();
            nodes[node].record(ratio as f64 / 1e3, Moment::from_micros(at));
        }
        let tally = &mut tallies[(now_us / 1_000_000).min(seconds - 1) as usize];
        tally.offered += 1;
        let node = random.random_range(0..NODES);
        if with_admission && !nodes[node].try_begin(Moment::from_micros(now_us)) {
            tally.refused += 1;
            continue;
        }
        let answers = shards.send(now_us, &mut random);
        tally.in_time += u32::from(is_in_time(&answers));
        results.extend(
            answers
                .iter()
                .map(|it| Reverse((it.at_us, node, it.ratio_per_mille))),
        );
    }
}

fn sum(tallies: &[Tally]) -> Tally {
    tallies.iter().fold(Tally::default(), |sum, it| Tally {
        offered: sum.offered + it.offered,
        in_time: sum.in_time + it.in_time,
        refused: sum.refused + it.refused,
    })
}

/// Guards against a burst in which most queries lose some shards, so that the targets work for queries that
/// fail.
#[rstest]
#[case::five_times_usual(5.0)]
#[case::six_times_usual(6.0)]
#[case::eight_times_usual(8.0)]
fn serves_more_than_half_of_capacity_during_burst(#[case] factor: f64) {
    let burst = |second: u64| {
        if (5..20).contains(&second) {
            factor
        } else {
            1.0
        }
    };
    let limited = sum(&simulate(true, burst, 25)[7..20]);
    let unlimited = sum(&simulate(false, burst, 25)[7..20]);
    let capacity = CAPACITY_PER_SECOND * 13.0;
    assert!(
        f64::from(limited.in_time) > 0.5 * capacity,
        "answered in time: {limited:?} of a capacity of {capacity} queries"
    );
    assert!(
        limited.in_time > unlimited.in_time * 5 / 4,
        "with admission control {limited:?}, without {unlimited:?}"
    );
}

/// Guards against refusals under usual load, and against a limit that stays after a burst has ended.
#[test]
fn refuses_nothing_before_and_after_burst() {
    let burst = |second: u64| if (10..15).contains(&second) { 6.0 } else { 1.0 };
    let tallies = simulate(true, burst, 30);
    assert_eq!(sum(&tallies[..10]).refused, 0);
    let after = sum(&tallies[20..]);
    assert_eq!(after.refused, 0, "{after:?}");
    assert!(after.in_time > after.offered * 99 / 100, "{after:?}");
}

/// Guards against refusals because some targets pause or all are a little slower: neither means overload.
#[rstest]
#[case::few_subrequests_much_slower(0.2, 9.0)]
#[case::most_subrequests_a_little_slower(0.9, 1.7)]
fn does_not_limit_queries_while_median_stays_below_overload(
    #[case] share: f64,
    #[case] slowdown: f64,
) {
    let mut random = Pcg32::seed_from_u64(9);
    let mut admission = Admission::new(Moment::ZERO, SHARDS, 1);
    for step in 0..20_000_u64 {
        let now = Moment::from_millis(step * 2);
        let affected = step > 5_000 && random.random::<f64>() < share;
        let ratio = if affected { slowdown } else { 1.0 };
        admission.record(ratio * (0.8 + 0.4 * random.random::<f64>()), now);
        assert!(admission.try_begin(now));
    }
    assert!(!admission.is_limited());
}

/// Guards against a limit that never ends because the targets have become slower for good.
#[test]
fn adopts_lasting_slowdown_as_baseline() {
    let mut admission = Admission::new(Moment::ZERO, SHARDS, 1);
    let mut refused = 0;
    for step in 0..120_000_u64 {
        let now = Moment::from_millis(step * 2);
        let ratio = if step < 2_000 { 1.0 } else { 3.0 };
        admission.record(ratio, now);
        if step > 110_000 {
            refused += u32::from(!admission.try_begin(now));
        } else {
            admission.try_begin(now);
        }
    }
    assert_eq!(refused, 0);
    assert_eq!(admission.rate(), None);
}

/// Guards against a limit caused by one slow query. The subrequests of a query over many shards could fill a
/// window alone, and all of them meet the same load at the same time.
#[test]
fn does_not_limit_queries_after_single_slow_queries_over_many_shards() {
    const MANY_SHARDS: usize = 90;
    let mut random = Pcg32::seed_from_u64(11);
    let mut admission = Admission::new(Moment::ZERO, MANY_SHARDS, 1);
    for query in 0..240_u64 {
        let now = Moment::from_millis(query * 250);
        assert!(admission.try_begin(now), "query {query} was refused");
        // For one query in four, its node or the targets are busy.
        let slowdown = if random.random_range(0..4) == 0 {
            3.0
        } else {
            1.0
        };
        for subrequest in 0..MANY_SHARDS as u64 {
            let ratio = slowdown * (0.7 + 0.6 * random.random::<f64>());
            admission.record(ratio, Moment::from_millis(query * 250 + subrequest));
        }
    }
}
