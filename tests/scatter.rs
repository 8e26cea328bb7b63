//! Tests that one query keeps the guarantees to callers (P1, P2, P5, P6, P7) under faults at each step.
//!
//! The driver in `support` checks the guarantees at every step; the tables here state how queries end.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use redwinggrade::request::scatter::{Event, MAX_ATTEMPTS_PER_SHARD};
use redwinggrade::version::directory::Directory;
use redwinggrade::version::policy::Scatter;
use redwinggrade::wire::Reason;
use rstest::rstest;
use support::{Ending, QueryDriver, policy, targets};

use Fault::*;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// An open subrequest fails for this reason.
    Fail(Reason),
    /// An open subrequest gets an answer in which the part of this number is wrong.
    WrongAnswer(u8),
    /// The answer of an open subrequest arrives twice.
    DuplicateAnswer,
    /// Every replica of one shard has dropped the pinned version.
    VersionDropped,
    /// The directory lists another version only; targets still answer from the pinned one.
    OtherVersionListed,
    /// The directory lists another version only, and targets have dropped the pinned one.
    VersionReplaced,
    DeadlinePassed,
    CallerCancels,
}

/// Drives a query to the moment at which a fault is injected.
fn drive_to(driver: &mut QueryDriver, moment: &str) {
    if moment != "new" {
        driver.step(Event::Start);
    }
    match moment {
        // A query of one shard finishes with its first answer.
        "answered" => driver.answer(0),
        "hedged" => driver.advance(Duration::from_millis(150)),
        "retried" => driver.fail(0, Reason::Shed),
        "ended" => {
            (0..driver.observed.subrequests.len() as u32)
                .for_each(|subrequest| driver.answer(subrequest));
        }
        _ => {}
    }
}

fn inject(driver: &mut QueryDriver, fault: Fault) {
    if matches!(fault, OtherVersionListed | VersionReplaced) {
        driver.directory = Directory::build(targets(&[(9, 3)], 2));
    }
    // Without an open subrequest, the result belongs to one that is closed or was never sent.
    let faulty = driver.observed.open.first().copied().unwrap_or(0);
    let was_sent = !driver.observed.subrequests.is_empty();
    match fault {
        Fail(reason) => driver.fail(faulty, reason),
        WrongAnswer(part) if was_sent => driver.deliver(faulty, driver.result(faulty, part)),
        DuplicateAnswer if was_sent => [faulty; 2]
            .into_iter()
            .for_each(|subrequest| driver.answer(subrequest)),
        VersionDropped | VersionReplaced if was_sent => {
            // Also fails the retries that follow for the same shard.
            while let Some(subrequest) = driver.observed.open_for_same_shard(faulty) {
                driver.fail(subrequest, Reason::VersionGone);
            }
        }
        DeadlinePassed => driver.advance(policy().deadline),
        CallerCancels => driver.step(Event::Cancel),
        _ => {}
    }
}

/// The reasons for which a subrequest has no answer; those after which it may have run come last.
const FAILURE_REASONS: &str = "no_permit not_owner out_of_service queue_full expired shed draining \
    not_sent cancelled connection_lost timeout target_error outcome_unknown";
const OTHER_FAULTS: [Fault; 6] = [
    DuplicateAnswer,
    VersionDropped,
    OtherVersionListed,
    VersionReplaced,
    DeadlinePassed,
    CallerCancels,
];

/// Guards against a fault at any step of a query that breaks a guarantee or needlessly costs the answer.
#[rstest]
fn keeps_guarantees_after_any_fault_at_any_step(
    #[values("all", "one")] scatter: &str,
    #[values("new", "started", "answered", "hedged", "retried", "ended")] moment: &str,
) {
    let reason = |it: &str| serde_json::from_value(it.into()).expect("a reason");
    let faults = FAILURE_REASONS
        .split_whitespace()
        .map(|it| Fail(reason(it)));
    for fault in faults.chain((1..=5).map(WrongAnswer)).chain(OTHER_FAULTS) {
        let idempotent = scatter == "all";
        let mut query = policy();
        query.idempotent = idempotent;
        query.scatter = serde_json::from_value(scatter.into()).expect("a selection");
        let mut driver = QueryDriver::open(targets(&[(7, 2), (8, 2)], 3), query);
        drive_to(&mut driver, moment);
        let (ending_before, nothing_sent) = (
            driver.observed.ending,
            driver.observed.subrequests.is_empty(),
        );
        inject(&mut driver, fault);
        driver.step(Event::Start);
        while let Some(&subrequest) = driver.observed.open.first() {
            driver.answer(subrequest);
        }
        let may_have_run = match fault {
            Fail(reason) => !reason.not_run(),
            WrongAnswer(_) => true,
            _ => false,
        };
        let version = match fault {
            DeadlinePassed | CallerCancels => Err(nothing_sent),
            _ if may_have_run && !idempotent && !nothing_sent => Err(false),
            VersionDropped if !nothing_sent => Ok(7),
            VersionReplaced => Ok(9),
            OtherVersionListed if nothing_sent => Ok(9),
            _ => Ok(8),
        };
        let total = match version {
            _ if !idempotent => 1,
            Ok(9) => 3,
            _ => 2,
        };
        let expected = version.map(|version| (version, total, total));
        assert_eq!(
            driver.observed.ending,
            ending_before.or(Some(expected)),
            "wrong end of the query after {fault:?}"
        );
    }
}

/// Guards against an answer that waits for stragglers, or leaves them out, contrary to the policy.
#[rstest]
#[case::refused_below_least_coverage(true, 1.0, 3, 400, Err(false))]
#[case::answered_at_least_coverage(true, 0.75, 3, 20, Ok((8, 3, 4)))]
#[case::refused_without_any_answer(true, 0.0, 0, 400, Err(false))]
#[case::refused_with_unknown_outcome(false, 0.75, 3, 400, Err(false))]
fn waits_for_unresponsive_shard_as_the_policy_allows(
    #[case] idempotent: bool,
    #[case] least_coverage: f64,
    #[case] answers: u32,
    #[case] millis: u64,
    #[case] expected: Ending,
) {
    let mut query = policy();
    (query.idempotent, query.least_coverage) = (idempotent, least_coverage);
    let mut driver = QueryDriver::open(targets(&[(8, 4)], 1), query);
    driver.step(Event::Start);
    (0..answers).for_each(|subrequest| driver.answer(subrequest));
    driver.advance(Duration::from_millis(millis - 1));
    assert_eq!(
        driver.observed.ending, None,
        "the query finished before the straggler wait or deadline ended"
    );
    driver.advance(Duration::from_millis(1));
    assert_eq!(driver.observed.ending, Some(expected));
}

/// Guards against a coverage that leaves out shards which no target holds or which the directory adds later.
#[test]
fn counts_shards_without_targets_as_missing() {
    let mut query = policy();
    query.least_coverage = 0.5;
    let mut driver = QueryDriver::open(targets(&[(8, 4)], 1)[..3].to_vec(), query);
    driver.step(Event::Start);
    driver.directory = Directory::build(targets(&[(8, 5)], 1));
    (0..3).for_each(|subrequest| driver.answer(subrequest));
    assert_eq!(driver.observed.ending, Some(Ok((8, 3, 5))));
}

/// Guards against a restart that is too late, needless, or without better coverage. Targets drop one of two
/// shards of version 8, and hold `held` shards of version 7.
#[rstest]
#[case::no_better_coverage(1, 0, false)]
#[case::too_late(2, 350, false)]
#[case::coverage_already_reached(2, 0, true)]
fn restarts_only_if_coverage_improves_in_time(
    #[case] held: usize,
    #[case] millis: u64,
    #[case] reached: bool,
) {
    let mut all = targets(&[(7, 2), (8, 2)], 1);
    for target in &mut all[held..] {
        target.holdings.remove(0);
    }
    let mut query = policy();
    query.least_coverage = 0.5;
    let mut driver = QueryDriver::open(all, query);
    driver.step(Event::Start);
    driver.advance(Duration::from_millis(millis));
    if reached {
        driver.answer(1);
    }
    driver.fail(0, Reason::VersionGone);
    driver.answer(1);
    assert_eq!(driver.observed.ending, Some(Ok((8, 1, 2))));
}

/// Guards against extra subrequests beyond the budget: 83 subrequests pay for 8 retries and 4 hedges on top
/// of the initial 10. Retries after a dropped version need no budget; attempts per shard are limited.
#[rstest]
#[case::refused(83, 2, Some(Reason::Shed), 18)]
#[case::version_gone(83, 2, Some(Reason::VersionGone), 83)]
#[case::unanswered(83, 2, None, 14)]
#[case::attempts_per_shard(1, 9, Some(Reason::Shed), MAX_ATTEMPTS_PER_SHARD - 1)]
fn limits_extra_subrequests(
    #[case] shards: u32,
    #[case] replicas: u32,
    #[case] reason: Option<Reason>,
    #[case] expected: u32,
) {
    let mut query = policy();
    query.least_coverage = 0.0;
    let mut driver = QueryDriver::open(targets(&[(8, shards)], replicas), query);
    driver.step(Event::Start);
    match reason {
        Some(reason) => (0..shards * 4).for_each(|subrequest| driver.fail(subrequest, reason)),
        None => driver.advance(Duration::from_millis(150)),
    }
    assert_eq!(driver.observed.subrequests.len() as u32, shards + expected);
}

/// Guards against combinations of faults that the tables above do not list, by random sequences of events.
#[test]
fn keeps_guarantees_under_random_events() {
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
        let mut driver = QueryDriver::open(targets(&[(7, 2), (8, 3)], 3), query);
        for (event, at, millis) in events {
            let subrequest = driver.observed.open.get(at).copied().unwrap_or(at as u32);
            let was_sent = (subrequest as usize) < driver.observed.subrequests.len();
            match event {
                0 | 1 => driver.step(Event::Start),
                2..=4 if was_sent => driver.answer(subrequest),
                5 => driver.fail(subrequest, Reason::Shed),
                6 => driver.fail(subrequest, Reason::ConnectionLost),
                7 | 8 => driver.fail(subrequest, Reason::VersionGone),
                9 if was_sent => {
                    driver.deliver(subrequest, driver.result(subrequest, at as u8 % 5 + 1));
                }
                10 if at == 0 => driver.step(Event::Cancel),
                11 if at == 0 => driver.directory = Directory::build(targets(&[(8, 3), (9, 4)], 2)),
                _ => driver.advance(Duration::from_millis(millis)),
            }
        }
        driver.advance(policy().deadline);
        prop_assert!(driver.observed.ending.is_some(), "the query goes on after its deadline");
    });
}
