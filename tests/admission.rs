//! Plays bursts against model targets, and guards what callers get from them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redwinggrade::request::admission::Admission;
use redwinggrade::time::Moment;
use rstest::rstest;

const NODES: usize = 9;
const SHARDS: usize = 20;
const NEEDED: usize = 18;
/// Each shard's two targets with two slots each, as one queue.
const SLOTS: usize = 4;
const QUEUE: usize = 24;
const WORK_MS: f64 = 12.5;
const WAY_MS: u64 = 5;
/// The latency objective less the margin for the reply.
const CUT_MS: u64 = 124;
/// Queries a second on a usual day; the targets bear 320.
const USUAL: f64 = 90.0;

/// Queries that were answered in time, refused and failed.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    offered: u32,
    in_time: u32,
    refused: u32,
}

/// Plays `seconds` of traffic whose rate is a multiple of the usual one.
fn play(with_admission: bool, factor: impl Fn(u64) -> f64, seconds: u64) -> Vec<Tally> {
    let mut random = Pcg32::seed_from_u64(5);
    let mut nodes: Vec<Admission> = (0..NODES)
        .map(|_| Admission::open(Moment::ZERO, SHARDS))
        .collect();
    // When each slot of each shard is free, and the ends of waiting work.
    let mut slots = vec![vec![0_u64; SLOTS]; SHARDS];
    let mut waiting: Vec<Vec<u64>> = vec![Vec::new(); SHARDS];
    let mut reports: BinaryHeap<Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    let mut tallies = vec![Tally::default(); seconds as usize];
    let mut now_us = 0_u64;
    loop {
        let second = now_us / 1_000_000;
        if second >= seconds {
            return tallies;
        }
        let rate = USUAL * factor(second);
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        now_us += (gap * 1e6) as u64;
        while let Some(&Reverse((at, node, ratio))) = reports.peek()
            && at <= now_us
        {
            reports.pop();
            nodes[node].record(ratio as f64 / 1e3, Moment::from_micros(at));
        }
        let tally = &mut tallies[(now_us / 1_000_000).min(seconds - 1) as usize];
        tally.offered += 1;
        let node = random.random_range(0..NODES);
        if with_admission && !nodes[node].try_begin(Moment::from_micros(now_us)) {
            tally.refused += 1;
            continue;
        }
        let mut answered = 0;
        for shard in 0..SHARDS {
            waiting[shard].retain(|start| *start > now_us);
            if waiting[shard].len() >= QUEUE {
                continue;
            }
            let free = slots[shard].iter_mut().min().expect("a shard has slots");
            let start = (*free).max(now_us);
            let work = WORK_MS * (0.6 + 0.8 * random.random::<f64>());
            *free = start + (work * 1e3) as u64;
            let end = *free + WAY_MS * 1_000;
            waiting[shard].push(start);
            let took = end - now_us;
            answered += usize::from(took <= CUT_MS * 1_000);
            let ratio = took as f64 / ((WORK_MS + WAY_MS as f64) * 1e3);
            reports.push(Reverse((end, node, (ratio * 1e3) as u64)));
        }
        tally.in_time += u32::from(answered >= NEEDED);
    }
}

fn sum(tallies: &[Tally]) -> Tally {
    tallies.iter().fold(Tally::default(), |sum, it| Tally {
        offered: sum.offered + it.offered,
        in_time: sum.in_time + it.in_time,
        refused: sum.refused + it.refused,
    })
}

#[rstest]
#[case::a_quarter_too_much(5.0)]
#[case::half_as_much_again(6.0)]
#[case::eight_times_the_usual(8.0)]
fn a_burst_is_served_at_more_than_half_of_the_capacity(#[case] factor: f64) {
    let burst = |second: u64| {
        if (5..20).contains(&second) {
            factor
        } else {
            1.0
        }
    };
    let with = sum(&play(true, burst, 25)[7..20]);
    let without = sum(&play(false, burst, 25)[7..20]);
    let capacity = SLOTS as f64 / (WORK_MS / 1e3) * 13.0;
    assert!(
        f64::from(with.in_time) > 0.5 * capacity,
        "{with:?} of a capacity of {capacity}"
    );
    assert!(
        with.in_time > without.in_time * 5 / 4,
        "with {with:?}, without {without:?}"
    );
}

#[test]
fn usual_traffic_is_never_refused_and_all_is_served_after_a_burst() {
    let burst = |second: u64| if (10..15).contains(&second) { 6.0 } else { 1.0 };
    let tallies = play(true, burst, 30);
    assert_eq!(sum(&tallies[..10]).refused, 0);
    let after = sum(&tallies[20..]);
    assert_eq!(after.refused, 0, "{after:?}");
    assert!(after.in_time > after.offered * 99 / 100, "{after:?}");
}

#[rstest]
#[case::pauses_and_slow_targets(0.2, 9.0)]
#[case::most_subrequests_a_little_slower(0.9, 1.7)]
fn troubles_of_some_targets_limit_nothing(#[case] share: f64, #[case] slower: f64) {
    let mut random = Pcg32::seed_from_u64(9);
    let mut admission = Admission::open(Moment::ZERO, SHARDS);
    for step in 0..20_000_u64 {
        let now = Moment::from_millis(step * 2);
        let troubled = step > 5_000 && random.random::<f64>() < share;
        let ratio = if troubled { slower } else { 1.0 };
        admission.record(ratio * (0.8 + 0.4 * random.random::<f64>()), now);
        assert!(admission.try_begin(now));
    }
    assert!(!admission.is_limited());
}

#[test]
fn targets_that_stay_slower_become_the_usual() {
    let mut admission = Admission::open(Moment::ZERO, SHARDS);
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

/// A query over many shards is a whole window's worth of subrequests by itself, and all of them share the
/// load of its node at its moment.
#[test]
fn single_slow_queries_over_many_shards_limit_nothing() {
    const MANY: usize = 90;
    let mut random = Pcg32::seed_from_u64(11);
    let mut admission = Admission::open(Moment::ZERO, MANY);
    for query in 0..240_u64 {
        let now = Moment::from_millis(query * 250);
        assert!(admission.try_begin(now), "query {query} is refused");
        // One query in four finds its node or the targets busy.
        let slower = if random.random_range(0..4) == 0 {
            3.0
        } else {
            1.0
        };
        for subrequest in 0..MANY as u64 {
            let ratio = slower * (0.7 + 0.6 * random.random::<f64>());
            admission.record(ratio, Moment::from_millis(query * 250 + subrequest));
        }
    }
}
