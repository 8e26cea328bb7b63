//! Guards what callers are promised about one query (P1, P2, P5, P6, P7) against faults at each step.
//!
//! The driver in `support` checks the promises at every step; the tables here state how queries end.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use redwinggrade::request::scatter::{Event, Verdict};
use redwinggrade::version::directory::Directory;
use redwinggrade::version::policy::{Query, Scatter};
use redwinggrade::wire::Reason;
use rstest::rstest;
use support::{POLICY, World, targets};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The leg ends for this reason.
    Fail(Reason),
    /// The leg ends with an answer that is wrong in one part.
    Wrong(u8),
    /// The answer comes twice.
    Duplicate,
    /// Every replica of the shard has dropped the version.
    Gone,
    /// The directory changes to another version; targets go on answering from the old one.
    Repartition,
    /// The directory changes, and targets have dropped the old version.
    RepartitionGone,
    Deadline,
    Cancel,
}

/// The moments of a query at which a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Moment {
    BeforeStart,
    AfterStart,
    /// Some shard has answered; a query of one shard has finished.
    AfterAnswer,
    DuringHedge,
    DuringRetry,
    AfterEnd,
}

fn reach(world: &mut World, moment: Moment) {
    if moment != Moment::BeforeStart {
        world.step(Event::Start);
    }
    match moment {
        Moment::BeforeStart | Moment::AfterStart => {}
        Moment::AfterAnswer => world.answer(0),
        Moment::DuringHedge => world.advance(Duration::from_millis(150)),
        Moment::DuringRetry => world.fail(0, Reason::Shed),
        Moment::AfterEnd => (0..world.legs.len() as u32).for_each(|leg| world.answer(leg)),
    }
}

fn strike(world: &mut World, fault: Fault) {
    if matches!(fault, Fault::Repartition | Fault::RepartitionGone) {
        world.directory = Directory::build(targets(&[(9, 3)], 2));
    }
    // A query that has no open leg gets the result of one that it closed, or never sent.
    let victim = world.open.first().copied().unwrap_or(0);
    let known = !world.legs.is_empty();
    match fault {
        Fault::Fail(reason) => world.fail(victim, reason),
        Fault::Wrong(part) if known => world.end(victim, world.result(victim, part)),
        Fault::Duplicate if known => [victim; 2].into_iter().for_each(|leg| world.answer(leg)),
        Fault::Gone | Fault::RepartitionGone if known => {
            let (version, shard) = (
                world.legs[victim as usize].version,
                world.legs[victim as usize].shard,
            );
            let same = |world: &World, leg: &u32| {
                let leg = &world.legs[*leg as usize];
                (leg.version, leg.shard) == (version, shard)
            };
            while let Some(leg) = world.open.clone().into_iter().find(|it| same(world, it)) {
                world.fail(leg, Reason::VersionGone);
            }
        }
        Fault::Deadline => world.advance(POLICY.deadline),
        Fault::Cancel => world.step(Event::Cancel),
        _ => {}
    }
}

/// Guards against a fault at any step that breaks a promise or needlessly costs the answer.
#[rstest]
fn a_fault_at_any_step_keeps_the_promises(
    #[values(true, false)] idempotent: bool,
    #[values(
        Moment::BeforeStart,
        Moment::AfterStart,
        Moment::AfterAnswer,
        Moment::DuringHedge,
        Moment::DuringRetry,
        Moment::AfterEnd
    )]
    moment: Moment,
) {
    use Reason::*;
    let refused = [
        NoPermit,
        NotOwner,
        OutOfService,
        QueueFull,
        Expired,
        Shed,
        Draining,
        NotSent,
        Cancelled,
    ];
    let lost = [ConnectionLost, Timeout, TargetError, OutcomeUnknown];
    let faults = refused.into_iter().chain(lost).map(Fault::Fail);
    let faults = faults.chain((1..=5).map(Fault::Wrong));
    let rest = [
        Fault::Duplicate,
        Fault::Gone,
        Fault::Repartition,
        Fault::RepartitionGone,
    ];
    for fault in faults.chain(rest).chain([Fault::Deadline, Fault::Cancel]) {
        let scatter = if idempotent {
            Scatter::All
        } else {
            Scatter::One
        };
        let mut world = World::open(
            targets(&[(7, 2), (8, 2)], 3),
            Query {
                idempotent,
                scatter,
                ..POLICY
            },
        );
        reach(&mut world, moment);
        let over = world.verdict.clone();
        let before = world.legs.is_empty();
        strike(&mut world, fault);
        world.step(Event::Start);
        while let Some(&leg) = world.open.first() {
            world.answer(leg);
        }
        let verdict = world
            .verdict
            .as_ref()
            .unwrap_or_else(|| panic!("no end after {fault:?}"));
        if let Some(over) = over {
            assert_eq!(*verdict, over, "{fault:?} changed the end");
            continue;
        }
        let doubtful = match fault {
            Fault::Fail(reason) => !reason.not_run(),
            Fault::Wrong(_) => true,
            _ => false,
        };
        let expected = match fault {
            Fault::Deadline | Fault::Cancel if before => Err(true),
            Fault::Deadline | Fault::Cancel => Err(false),
            _ if doubtful && !idempotent && !before => Err(false),
            Fault::Gone if !before => Ok(7),
            Fault::RepartitionGone => Ok(9),
            Fault::Repartition if before => Ok(9),
            _ => Ok(8),
        };
        let got = match verdict {
            Verdict::Answer {
                version,
                answered,
                total,
                ..
            } if answered == total => Ok(version.0),
            Verdict::Answer { .. } => panic!("partial after {fault:?}: {verdict:?}"),
            Verdict::Refusal { not_run, .. } => Err(*not_run),
        };
        assert_eq!(got, expected, "{fault:?}: {verdict:?}");
    }
}

/// Guards against an answer that waits for, or leaves out, stragglers against the kind's preferences.
#[rstest]
#[case::least_coverage_missed(1.0, 400, None)]
#[case::least_coverage_reached(0.75, 20, Some((3, 4)))]
#[case::no_answer_at_all_is_not_an_answer(0.0, 400, None)]
fn a_silent_shard_costs_what_the_kind_allows(
    #[case] least_coverage: f64,
    #[case] millis: u64,
    #[case] expected: Option<(u32, u32)>,
) {
    let mut world = World::open(
        targets(&[(8, 4)], 1),
        Query {
            least_coverage,
            ..POLICY
        },
    );
    world.step(Event::Start);
    (0..if least_coverage > 0.0 { 3 } else { 0 }).for_each(|leg| world.answer(leg));
    world.advance(Duration::from_millis(millis - 1));
    assert_eq!(world.verdict, None, "finished too early");
    world.advance(Duration::from_millis(1));
    let coverage = match world.verdict.expect("finished in time") {
        Verdict::Answer {
            answered, total, ..
        } => Some((answered, total)),
        Verdict::Refusal { .. } => None,
    };
    assert_eq!(coverage, expected);
}

/// Guards against a smaller denominator for shards that nobody holds or that a directory adds later.
#[test]
fn shards_without_targets_count_as_missing() {
    let mut holders = targets(&[(8, 4)], 1);
    holders.truncate(3);
    let mut world = World::open(
        holders,
        Query {
            least_coverage: 0.5,
            ..POLICY
        },
    );
    world.step(Event::Start);
    world.directory = Directory::build(targets(&[(8, 5)], 1));
    (0..3).for_each(|leg| world.answer(leg));
    let Some(Verdict::Answer {
        answered, total, ..
    }) = world.verdict
    else {
        panic!("no answer: {:?}", world.verdict);
    };
    assert_eq!((answered, total), (3, 5));
}

/// Guards against combinations of faults that no table lists: 2,000 random event lists, fixed seed.
#[test]
fn random_events_keep_the_promises() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    };
    let events = prop::collection::vec((0_u8..14, 0_usize..8, 0_u64..40), 0..40);
    let kinds = (
        any::<bool>(),
        any::<bool>(),
        prop::sample::select(vec![0.0, 0.5, 1.0]),
    );
    proptest!(config, |((idempotent, one, least_coverage) in kinds, events in events)| {
        let scatter = if one { Scatter::One } else { Scatter::All };
        let query = Query { idempotent, scatter, least_coverage, ..POLICY };
        let mut world = World::open(targets(&[(7, 2), (8, 3)], 3), query);
        for (event, at, millis) in events {
            let leg = world.open.get(at).copied().unwrap_or(at as u32);
            let known = (leg as usize) < world.legs.len();
            match event {
                0 | 1 => world.step(Event::Start),
                2..=4 if known => world.answer(leg),
                5 => world.fail(leg, Reason::Shed),
                6 => world.fail(leg, Reason::ConnectionLost),
                7 | 8 => world.fail(leg, Reason::VersionGone),
                9 if known => world.end(leg, world.result(leg, at as u8 % 5 + 1)),
                10 if at == 0 => world.step(Event::Cancel),
                11 if at == 0 => world.directory = Directory::build(targets(&[(8, 3), (9, 4)], 2)),
                _ => world.advance(Duration::from_millis(millis)),
            }
        }
        world.advance(POLICY.deadline);
        prop_assert!(world.verdict.is_some(), "the deadline ends every query");
    });
}
