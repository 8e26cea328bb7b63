//! Plays loads in virtual time against a model of the targets, and checks what callers of each urgency, tenant and kind
//! get.

mod entry_support;
mod shard_model;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use entry_support::{at, ms, route, single_target};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redwinggrade::overload::admission::Admission;
use redwinggrade::overload::crowd;
use redwinggrade::overload::retry::Returns;
use redwinggrade::overload::share::Claim;
use redwinggrade::tenancy::{Directory, Tenant, Urgency};
use redwinggrade::time::Moment;
use redwinggrade::version::route::{Kind, Limits, Route, Table, TableVersion};
use rstest::rstest;
use shard_model::{CAPACITY_PER_SECOND, SHARDS, ShardModel, is_answered, is_in_time};

/// The share of the queries of others that must run beside a tenant or kind that sends more than usual. The rest is the
/// room for the rate to adapt.
const OTHERS_SERVED_MIN: f64 = 0.9;
/// When the load of each test begins and ends, in seconds; before and after it, rates are the usual ones.
const LOAD: std::ops::Range<u64> = 60..75;
/// The time after the start of a load within which it is detected; the checks begin after it.
const DETECTION_S: u64 = 2;
/// The time within which an overload must have ended by itself after its load.
const RECOVERY_S: u64 = 10;
const END_S: u64 = 95;

/// A source of queries that all make the same claim.
struct Source {
    claim: Claim,
    /// Usual queries per second, over all nodes.
    usual: f64,
    /// The multiple of the usual rate during the load.
    factor: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    offered: u32,
    admitted: u32,
    in_time: u32,
}

impl Tally {
    /// The share of queries that ran.
    fn served(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.offered.max(1))
    }

    /// The share of queries that were answered in time.
    fn in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }

    fn plus(self, other: Self) -> Self {
        Self {
            offered: self.offered + other.offered,
            admitted: self.admitted + other.admitted,
            in_time: self.in_time + other.in_time,
        }
    }
}

/// What the sources got during the load and after the recovery.
struct Outcome {
    during: Vec<Tally>,
    after: Vec<Tally>,
}

impl Outcome {
    fn all_during(&self) -> Tally {
        self.during
            .iter()
            .copied()
            .fold(Tally::default(), Tally::plus)
    }

    /// Checks that every source is served again once the load has ended.
    fn assert_recovered(&self) {
        for tally in &self.after {
            assert_eq!(tally.admitted, tally.offered, "{:?}", self.after);
            assert!(tally.in_time() > 0.98, "{:?}", self.after);
        }
    }
}

fn source(tenant: Option<(&str, u8)>, kind: &str, priority: u8, usual: f64, factor: f64) -> Source {
    let entry = tenant.map(|(name, tenant_priority)| Tenant {
        name: Arc::from(name),
        priority: Some(tenant_priority),
        limit: None,
    });
    Source {
        claim: Claim {
            urgency: Urgency::new(entry.as_ref(), priority),
            tenant: entry.map(|tenant| tenant.name),
            kind: Arc::from(kind),
        },
        usual,
        factor,
    }
}

/// Whether the nodes get the claims of queries, or admit them without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claims {
    Stated,
    Unknown,
}

/// What targets and callers do beside the rates of the sources.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    /// The multiple of their usual time that the targets need during the load.
    slowdown: f64,
    /// How often a caller asks again that was refused, or whose query got too few answers.
    repeats: u32,
}

/// Plays the load against nodes that share the targets.
fn play(sources: &[Source], nodes: usize, claims: Claims, seed: u64) -> Outcome {
    let none = Trouble {
        slowdown: 1.0,
        repeats: 0,
    };
    play_trouble(sources, nodes, claims, none, seed)
}

/// Plays the load and the trouble against nodes that share the targets.
fn play_trouble(
    sources: &[Source],
    nodes: usize,
    claims: Claims,
    trouble: Trouble,
    seed: u64,
) -> Outcome {
    /// The time within which callers want their answer.
    const DEADLINE: Duration = Duration::from_secs(2);
    let mut random = Pcg32::seed_from_u64(seed);
    let mut nodes: Vec<Admission> = (0..nodes)
        .map(|node| Admission::new(Moment::ZERO, SHARDS, node as u64))
        .collect();
    let mut shards = ShardModel::new();
    let mut results: BinaryHeap<Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    let mut during = vec![Tally::default(); sources.len()];
    let mut after = during.clone();
    // Callers that ask again: when, at which source, when their first query came, and how often they have repeated it.
    let mut repeats: BinaryHeap<Reverse<(u64, usize, u64, u32)>> = BinaryHeap::new();
    let mut next_first_us = 0_u64;
    let mut now_us = 0_u64;
    loop {
        let second = now_us / 1_000_000;
        if second >= END_S {
            return Outcome { during, after };
        }
        let loaded = LOAD.contains(&second);
        shards.slowdown = if loaded { trouble.slowdown } else { 1.0 };
        let rate = |it: &Source| it.usual * if loaded { it.factor } else { 1.0 };
        let total: f64 = sources.iter().map(rate).sum();
        if next_first_us <= now_us {
            let gap_s = -(1.0 - random.random::<f64>()).ln() / total;
            next_first_us = now_us + ((gap_s * 1e6) as u64).max(1);
        }
        let repeat = repeats.peek().is_some_and(|it| it.0.0 < next_first_us);
        let repeat = repeat.then(|| repeats.pop()).flatten();
        now_us = repeat.map_or(next_first_us, |it| it.0.0.max(now_us));
        while let Some(&Reverse((at_us, node, ratio))) = results.peek()
            && at_us <= now_us
        {
            results.pop();
            nodes[node].record(ratio as f64 / 1e3, Moment::from_micros(at_us));
        }
        let (index, first_us, repeated) =
            if let Some(Reverse((_, index, first_us, repeated))) = repeat {
                (index, first_us, repeated)
            } else {
                let mut draw = random.random::<f64>() * total;
                let chosen = sources.iter().position(|it| {
                    draw -= rate(it);
                    draw < 0.0
                });
                (chosen.unwrap_or(sources.len() - 1), now_us, 0)
            };
        let node = random.random_range(0..nodes.len());
        let now = Moment::from_micros(now_us);
        let admitted = match claims {
            Claims::Stated => nodes[node].try_begin_claim(&sources[index].claim, now),
            Claims::Unknown => nodes[node].try_begin(now),
        };
        let mut again_us = None;
        if !admitted {
            let time_left = now.until(Moment::from_micros(first_us) + DEADLINE);
            let after = nodes[node].return_time(time_left, now);
            again_us = Some((now + after).as_micros());
        }
        let in_time = admitted && {
            let answers = shards.send(now_us, &mut random);
            if !is_answered(&answers) {
                again_us = Some(now_us);
            }
            let times = answers
                .iter()
                .map(|it| Reverse((it.at_us, node, it.ratio_per_mille)));
            results.extend(times);
            is_in_time(&answers)
        };
        if let Some(again_us) = again_us
            && repeated < trouble.repeats
        {
            repeats.push(Reverse((again_us, index, first_us, repeated + 1)));
        }
        let tally = if (LOAD.start + DETECTION_S..LOAD.end).contains(&second) {
            &mut during[index]
        } else if second >= LOAD.end + RECOVERY_S {
            &mut after[index]
        } else {
            continue;
        };
        tally.offered += 1;
        tally.admitted += u32::from(admitted);
        tally.in_time += u32::from(in_time);
    }
}

/// Load: all callers send five times as much. Guards against a kind that is served less often, or later, than a less
/// urgent one, and against one that starves. The bounds are those of the requirements.
#[rstest]
#[case::equal_parts([30.0, 30.0, 30.0], 9)]
#[case::much_urgent([60.0, 20.0, 10.0], 9)]
#[case::little_urgent([10.0, 20.0, 60.0], 9)]
#[case::urgent_alone_too_much([90.0, 10.0, 5.0], 9)]
#[case::few_nodes([30.0, 30.0, 30.0], 3)]
#[case::many_nodes([30.0, 30.0, 30.0], 24)]
fn refuses_less_urgent_kinds_first(#[case] usual: [f64; 3], #[case] nodes: usize) {
    for seed in 1..=3 {
        let [a, b, c] = usual;
        let sources = [
            source(None, "a", 0, a, 5.0),
            source(None, "b", 1, b, 5.0),
            source(None, "c", 2, c, 5.0),
        ];
        let outcome = play(&sources, nodes, Claims::Stated, seed);
        let kinds = &outcome.during;
        let all = outcome.all_during();
        let capacity = CAPACITY_PER_SECOND * (LOAD.end - LOAD.start - DETECTION_S) as f64;
        assert!(f64::from(all.in_time) > 0.5 * capacity, "{all:?}");
        for pair in kinds.windows(2) {
            assert!(pair[0].served() > pair[1].served() - 0.05, "{kinds:?}");
            assert!(pair[0].in_time() > pair[1].in_time() - 0.15, "{kinds:?}");
        }
        for kind in kinds {
            assert!(kind.served() > all.served() / 4.0, "{kinds:?}");
        }
        outcome.assert_recovered();
    }
}

/// Load: as before, with the priorities of tenants and routes crossed. Guards against an order in which the route's
/// priority goes before the tenant's.
#[test]
fn refuses_by_tenant_before_route() {
    let sources = [
        source(Some(("first", 0)), "a", 3, 30.0, 5.0),
        source(Some(("second", 1)), "b", 0, 30.0, 5.0),
        source(Some(("second", 1)), "c", 1, 30.0, 5.0),
    ];
    let outcome = play(&sources, 9, Claims::Stated, 1);
    for pair in outcome.during.windows(2) {
        assert!(pair[0].served() > pair[1].served(), "{:?}", outcome.during);
    }
    outcome.assert_recovered();
}

/// Load: the largest of the tenants sends nine times its usual rate. Guards against others who pay for it, and against
/// the tenant being refused altogether.
#[rstest]
#[case::as_urgent_as_others(1, 9)]
#[case::more_urgent_than_others(0, 9)]
#[case::few_nodes(1, 3)]
#[case::many_nodes(1, 24)]
fn hot_tenant_costs_only_itself(#[case] priority_of_hot: u8, #[case] nodes: usize) {
    for seed in 1..=3 {
        let mut sources = vec![source(Some(("hot", priority_of_hot)), "a", 1, 22.0, 9.0)];
        let names: Vec<String> = (0..30).map(|number| format!("t{number}")).collect();
        let others = names
            .iter()
            .map(|name| source(Some((name, 1)), "a", 1, 6.0, 1.0));
        sources.extend(others);
        let outcome = play(&sources, nodes, Claims::Stated, seed);
        let (hot, others) = outcome.during.split_first().expect("there are sources");
        let all = outcome.all_during();
        let rest = others.iter().copied().fold(Tally::default(), Tally::plus);
        assert!(hot.served() < rest.served(), "{hot:?} {rest:?}");
        assert!(rest.served() > OTHERS_SERVED_MIN, "{hot:?} {rest:?}");
        assert!(hot.served() > all.served() / 4.0, "{hot:?} {all:?}");
        let without = play(&sources, nodes, Claims::Unknown, seed);
        let paid = without.during[1..]
            .iter()
            .copied()
            .fold(Tally::default(), Tally::plus);
        assert!(paid.served() < rest.served(), "{paid:?} {rest:?}");
        outcome.assert_recovered();
    }
}

/// Load: one kind comes 2.3 times as often. Guards against kinds of the same urgency that pay for it.
#[test]
fn burst_of_kind_costs_only_itself_among_equally_urgent() {
    for seed in 1..=3 {
        let sources = [
            source(None, "burst", 1, 140.0, 2.3),
            source(None, "same", 1, 60.0, 1.0),
            source(None, "urgent", 0, 20.0, 1.0),
        ];
        let outcome = play(&sources, 9, Claims::Stated, seed);
        let [burst, same, urgent] = outcome.during[..] else {
            panic!("three sources")
        };
        assert!(same.served() > OTHERS_SERVED_MIN, "{:?}", outcome.during);
        assert!(
            urgent.served() > same.served() - 0.05,
            "{:?}",
            outcome.during
        );
        assert!(burst.served() < same.served(), "{:?}", outcome.during);
        assert!(
            burst.served() > outcome.all_during().served() / 4.0,
            "{:?}",
            outcome.during
        );
        outcome.assert_recovered();
    }
}

/// Load: the targets lose most of their capacity for 15 s, and callers ask again when they are refused or get too few
/// answers. Guards against an overload that keeps itself up by repeated queries after its cause has ended.
#[rstest]
#[case::half_the_capacity(2.0)]
#[case::quarter_of_the_capacity(4.0)]
#[case::eighth_of_the_capacity(8.0)]
fn shortage_ends_although_callers_ask_again(#[case] slowdown: f64) {
    for seed in 1..=3 {
        let sources = [
            source(None, "a", 0, 80.0, 1.0),
            source(None, "b", 1, 80.0, 1.0),
            source(None, "c", 2, 80.0, 1.0),
        ];
        let trouble = Trouble {
            slowdown,
            repeats: 4,
        };
        let outcome = play_trouble(&sources, 9, Claims::Stated, trouble, seed);
        let kinds = &outcome.during;
        for pair in kinds.windows(2) {
            assert!(pair[0].served() > pair[1].served() - 0.05, "{kinds:?}");
        }
        for kind in kinds {
            let all = outcome.all_during();
            assert!(kind.served() > all.served() / 4.0, "{kinds:?}");
        }
        outcome.assert_recovered();
    }
}

/// Load: thousands of tenants of one query each. Guards against state that grows without end and against queries that are
/// refused without a limit.
#[test]
fn admits_everything_without_limit_whatever_the_number_of_tenants() {
    let mut admission = Admission::new(Moment::ZERO, SHARDS, 1);
    for number in 0..20_000_u64 {
        let name = format!("t{number}");
        let claim = source(Some((&name, 1)), &name, 1, 0.0, 1.0).claim;
        assert!(admission.try_begin_claim(&claim, at(number)));
    }
}

/// Guards against decisions that change in a deployment whose document asks for none of this.
#[test]
fn urgency_counts_only_if_priorities_differ_or_tenants_exist() {
    let with = |priorities: &[u8]| {
        let routes = priorities.iter().map(|&priority| Route {
            name: Arc::from(format!("r{priority}")),
            priority,
            ..route(Kind::Idempotent, 1, single_target())
        });
        Table::new(TableVersion(1), Limits::default(), routes, [])
    };
    assert!(!with(&[]).grades_requests());
    assert!(!with(&[1]).grades_requests());
    assert!(!with(&[3, 3, 3]).grades_requests());
    assert!(with(&[3, 3, 1]).grades_requests());
    assert!(with(&[3]).with_tenants(Directory::new()).grades_requests());
}

/// Guards against a place among the urgencies that doesn't follow the tenant first and the route second.
#[test]
fn least_urgent_of_all_tenants_and_routes_is_last() {
    let routes = [0, 2].map(|priority| Route {
        name: Arc::from(format!("r{priority}")),
        priority,
        ..route(Kind::Idempotent, 1, single_target())
    });
    let tenant = |name: &str, priority| Tenant {
        name: Arc::from(name),
        priority,
        limit: None,
    };
    let mut tenants = Directory::new();
    tenants.add(tenant("first", Some(0)), []);
    tenants.add(tenant("last", Some(5)), []);
    tenants.add(tenant("by route", None), []);
    let table = Table::new(TableVersion(1), Limits::default(), routes, []).with_tenants(tenants);
    let lag = |priority, route| table.lag(Urgency::new(Some(&tenant("any", priority)), route));
    // In order: 0/0, 0/2, 2/2, 5/0, 5/2.
    let lags = [
        (Some(0), 0),
        (Some(0), 2),
        (None, 2),
        (Some(5), 0),
        (Some(5), 2),
    ];
    let places = lags.map(|(priority, route)| (lag(priority, route) * 4.0).round() as u32);
    assert_eq!(places, [0, 1, 2, 3, 4]);
    assert_eq!((lag(None, 0) * 4.0).round() as u32, 0);
}

/// Load: as many requests run as the node takes. Guards against a less urgent request that takes the last room, and
/// against one that never runs.
#[test]
fn crowded_node_keeps_room_for_urgent_requests() {
    const MAX: usize = 256;
    let mut random = Pcg32::seed_from_u64(3);
    let mut admitted = |running: usize, lag: f64| {
        let draws = (0..1_000).filter(|_| crowd::admits(running, MAX, lag, random.random()));
        draws.count()
    };
    for lag in [0.0, 0.5, 1.0] {
        assert_eq!(admitted(100, lag), 1_000);
        assert_eq!(admitted(MAX + 1, lag), 0);
    }
    assert_eq!(admitted(MAX, 0.0), 1_000);
    assert_eq!(admitted(210, 0.5), 1_000);
    for lag in [0.5, 1.0] {
        let served = admitted(MAX, lag);
        assert!((200..300).contains(&served), "{served} of 1000");
    }
}

/// Load: a burst of refused callers. Guards against their return at once, and against a time at which they no longer
/// come back.
#[rstest]
#[case::long_deadline(ms(6_000), ms(2_000))]
#[case::usual_deadline(ms(2_000), ms(666))]
#[case::short_deadline(ms(300), ms(100))]
fn refused_callers_return_spread_over_the_time_that_they_wait(
    #[case] time_left: Duration,
    #[case] latest: Duration,
) {
    const REFUSED: usize = 400;
    /// The parts of the range in which returns are counted.
    const PARTS: usize = 5;
    let mut returns = Returns::new(at(0), 4);
    let mut times: Vec<Duration> = (0..REFUSED)
        .map(|_| returns.refuse(10.0, time_left, at(1)))
        .collect();
    times.sort();
    let (first, last) = (times[0], times[REFUSED - 1]);
    assert!(first > Duration::ZERO);
    assert!(last <= latest + ms(1), "{last:?}");
    let width = last.saturating_sub(first) / PARTS as u32 + Duration::from_micros(1);
    let mut parts: BTreeMap<u128, usize> = BTreeMap::new();
    for time in &times {
        let part = time.saturating_sub(first).as_micros() / width.as_micros();
        *parts.entry(part).or_default() += 1;
    }
    let fullest = parts.values().max().copied().unwrap_or(REFUSED);
    assert!(fullest < REFUSED * 2 / PARTS, "{parts:?}");
}

/// Guards against a time that is shorter than the refused ones need, while callers would wait longer.
#[test]
fn more_refused_callers_are_sent_away_for_longer() {
    let mean_after = |refused: u32| {
        let mut returns = Returns::new(at(0), 5);
        let times = (0..refused).map(|_| returns.refuse(20.0, ms(30_000), at(1)));
        let last: Vec<Duration> = times.collect();
        last.iter().sum::<Duration>() / refused
    };
    assert!(mean_after(5) < ms(600));
    assert!(mean_after(100) > ms(1_000));
}
