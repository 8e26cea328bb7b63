//! Guards what callers are promised about one query (P1, P2, P5, P6, P7) against faults at each step.
//!
//! The driver in `support` checks the promises at every step; the tables here state how queries end.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use redwinggrade::request::scatter::{Event, MAX_ATTEMPTS_PER_SHARD};
use redwinggrade::version::directory::Directory;
use redwinggrade::version::policy::Scatter;
use redwinggrade::wire::Reason;
use rstest::rstest;
use support::{End, World, policy, targets};

use Fault::*;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The subrequest ends for this reason.
    Fail(Reason),
    /// The subrequest ends with an answer that is wrong in one part.
    Wrong(u8),
    /// The answer comes twice.
    Duplicate,
    /// Every replica of the shard has dropped the version.
    Gone,
    /// The directory changes to another version; targets go on answering from the old one.
    Moved,
    /// The directory changes, and targets have dropped the old version.
    Dropped,
    Deadline,
    Cancel,
}

/// Drives a query to the moment at which a fault strikes.
fn reach(world: &mut World, moment: &str) {
    if moment != "new" {
        world.step(Event::Start);
    }
    match moment {
        // A query of one shard finishes with its first answer.
        "answered" => world.answer(0),
        "hedged" => world.advance(Duration::from_millis(150)),
        "retried" => world.fail(0, Reason::Shed),
        "ended" => {
            (0..world.seen.subrequests.len() as u32)
                .for_each(|subrequest| world.answer(subrequest));
        }
        _ => {}
    }
}

fn strike(world: &mut World, fault: Fault) {
    if matches!(fault, Moved | Dropped) {
        world.directory = Directory::build(targets(&[(9, 3)], 2));
    }
    // A query that has no open subrequest gets the result of one that it closed, or never sent.
    let victim = world.seen.open.first().copied().unwrap_or(0);
    let known = !world.seen.subrequests.is_empty();
    match fault {
        Fail(reason) => world.fail(victim, reason),
        Wrong(part) if known => world.deliver(victim, world.result(victim, part)),
        Duplicate if known => [victim; 2]
            .into_iter()
            .for_each(|subrequest| world.answer(subrequest)),
        Gone | Dropped if known => {
            // The retries that follow strike the same shard.
            while let Some(subrequest) = world.seen.open_like(victim) {
                world.fail(subrequest, Reason::VersionGone);
            }
        }
        Deadline => world.advance(policy().deadline),
        Cancel => world.step(Event::Cancel),
        _ => {}
    }
}

/// How a subrequest may end without an answer; those that may have run come last.
const REASONS: &str = "no_permit not_owner out_of_service queue_full expired shed draining not_sent \
    cancelled connection_lost timeout target_error outcome_unknown";
const REST: [Fault; 6] = [Duplicate, Gone, Moved, Dropped, Deadline, Cancel];

/// Guards against a fault at any step that breaks a promise or needlessly costs the answer.
#[rstest]
fn a_fault_at_any_step_keeps_the_promises(
    #[values("all", "one")] scatter: &str,
    #[values("new", "started", "answered", "hedged", "retried", "ended")] moment: &str,
) {
    let reason = |it: &str| serde_json::from_value(it.into()).expect("a reason");
    let faults = REASONS.split_whitespace().map(|it| Fail(reason(it)));
    for fault in faults.chain((1..=5).map(Wrong)).chain(REST) {
        let idempotent = scatter == "all";
        let mut query = policy();
        query.idempotent = idempotent;
        query.scatter = serde_json::from_value(scatter.into()).expect("a selection");
        let mut world = World::open(targets(&[(7, 2), (8, 2)], 3), query);
        reach(&mut world, moment);
        let (over, before) = (world.seen.end, world.seen.subrequests.is_empty());
        strike(&mut world, fault);
        world.step(Event::Start);
        while let Some(&subrequest) = world.seen.open.first() {
            world.answer(subrequest);
        }
        let doubtful = match fault {
            Fail(reason) => !reason.not_run(),
            Wrong(_) => true,
            _ => false,
        };
        let version = match fault {
            Deadline | Cancel => Err(before),
            _ if doubtful && !idempotent && !before => Err(false),
            Gone if !before => Ok(7),
            Dropped => Ok(9),
            Moved if before => Ok(9),
            _ => Ok(8),
        };
        let total = match version {
            _ if !idempotent => 1,
            Ok(9) => 3,
            _ => 2,
        };
        let whole = version.map(|version| (version, total, total));
        assert_eq!(world.seen.end, over.or(Some(whole)), "{fault:?}");
    }
}

/// Guards against an answer that waits for, or leaves out, stragglers against the kind's preferences.
#[rstest]
#[case::least_coverage_missed(true, 1.0, 3, 400, Err(false))]
#[case::least_coverage_reached(true, 0.75, 3, 20, Ok((8, 3, 4)))]
#[case::no_answer_at_all_is_not_an_answer(true, 0.0, 0, 400, Err(false))]
#[case::unknown_outcome_is_not_an_answer(false, 0.75, 3, 400, Err(false))]
fn a_silent_shard_costs_what_the_kind_allows(
    #[case] idempotent: bool,
    #[case] least_coverage: f64,
    #[case] answers: u32,
    #[case] millis: u64,
    #[case] expected: End,
) {
    let mut query = policy();
    (query.idempotent, query.least_coverage) = (idempotent, least_coverage);
    let mut world = World::open(targets(&[(8, 4)], 1), query);
    world.step(Event::Start);
    (0..answers).for_each(|subrequest| world.answer(subrequest));
    world.advance(Duration::from_millis(millis - 1));
    assert_eq!(world.seen.end, None, "finished too early");
    world.advance(Duration::from_millis(1));
    assert_eq!(world.seen.end, Some(expected));
}

/// Guards against a smaller denominator for shards that nobody holds or that a directory adds later.
#[test]
fn shards_without_targets_count_as_missing() {
    let mut query = policy();
    query.least_coverage = 0.5;
    let mut world = World::open(targets(&[(8, 4)], 1)[..3].to_vec(), query);
    world.step(Event::Start);
    world.directory = Directory::build(targets(&[(8, 5)], 1));
    (0..3).for_each(|subrequest| world.answer(subrequest));
    assert_eq!(world.seen.end, Some(Ok((8, 3, 5))));
}

/// Guards against a restart that is too late, needless, or no better: version 8 loses one of two shards,
/// and `held` shards of version 7 are there.
#[rstest]
#[case::no_better(1, 0, false)]
#[case::too_late(2, 350, false)]
#[case::needless(2, 0, true)]
fn a_restart_must_pay(#[case] held: usize, #[case] millis: u64, #[case] reached: bool) {
    let mut all = targets(&[(7, 2), (8, 2)], 1);
    for target in &mut all[held..] {
        target.holdings.remove(0);
    }
    let mut query = policy();
    query.least_coverage = 0.5;
    let mut world = World::open(all, query);
    world.step(Event::Start);
    world.advance(Duration::from_millis(millis));
    if reached {
        world.answer(1);
    }
    world.fail(0, Reason::VersionGone);
    world.answer(1);
    assert_eq!(world.seen.end, Some(Ok((8, 1, 2))));
}

/// Guards against extra subrequests beyond the budget: 83 subrequests earn 8 retries and 4 hedges on top of
/// the first 10. A version that is gone everywhere does not use up the budget; attempts per shard are
/// bounded.
#[rstest]
#[case::refused(83, 2, Some(Reason::Shed), 18)]
#[case::version_gone(83, 2, Some(Reason::VersionGone), 83)]
#[case::silent(83, 2, None, 14)]
#[case::attempts(1, 9, Some(Reason::Shed), MAX_ATTEMPTS_PER_SHARD - 1)]
fn extra_subrequests_stay_within_bounds(
    #[case] shards: u32,
    #[case] replicas: u32,
    #[case] reason: Option<Reason>,
    #[case] expected: u32,
) {
    let mut query = policy();
    query.least_coverage = 0.0;
    let mut world = World::open(targets(&[(8, shards)], replicas), query);
    world.step(Event::Start);
    match reason {
        Some(reason) => (0..shards * 4).for_each(|subrequest| world.fail(subrequest, reason)),
        None => world.advance(Duration::from_millis(150)),
    }
    assert_eq!(world.seen.subrequests.len() as u32, shards + expected);
}

/// Guards against combinations of faults that no table lists: 2,000 random event lists, fixed seed.
#[test]
fn random_events_keep_the_promises() {
    let mut config = Config::with_cases(2_000);
    config.failure_persistence = None;
    config.rng_seed = RngSeed::Fixed(1);
    let least = prop::sample::select(vec![0.0, 0.5, 1.0]);
    let kinds = (any::<bool>(), any::<bool>(), least);
    let events = prop::collection::vec((0_u8..14, 0_usize..8, 0_u64..40), 0..40);
    proptest!(config, |((idempotent, one, least_coverage) in kinds, events in events)| {
        let scatter = if one { Scatter::One } else { Scatter::All };
        let mut query = policy();
        (query.idempotent, query.scatter, query.least_coverage) = (idempotent, scatter, least_coverage);
        let mut world = World::open(targets(&[(7, 2), (8, 3)], 3), query);
        for (event, at, millis) in events {
            let subrequest = world.seen.open.get(at).copied().unwrap_or(at as u32);
            let known = (subrequest as usize) < world.seen.subrequests.len();
            match event {
                0 | 1 => world.step(Event::Start),
                2..=4 if known => world.answer(subrequest),
                5 => world.fail(subrequest, Reason::Shed),
                6 => world.fail(subrequest, Reason::ConnectionLost),
                7 | 8 => world.fail(subrequest, Reason::VersionGone),
                9 if known => world.deliver(subrequest, world.result(subrequest, at as u8 % 5 + 1)),
                10 if at == 0 => world.step(Event::Cancel),
                11 if at == 0 => world.directory = Directory::build(targets(&[(8, 3), (9, 4)], 2)),
                _ => world.advance(Duration::from_millis(millis)),
            }
        }
        world.advance(policy().deadline);
        prop_assert!(world.seen.end.is_some(), "the deadline ends every query");
    });
}
