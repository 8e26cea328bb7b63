//! Tests the reply to one request for each outcome of its subrequests.

mod entry_support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use entry_support::{
    AMPLE_BOUND, EXPECTED_LATENCY, LOCAL, Node, add_target, add_target_pairs, at, gather, ms,
    placement, route, single_target, table, target_report,
};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use redwinggrade::connection::outbound::RateLimit;
use redwinggrade::process::budget::Bound;
use redwinggrade::process::placement::Observation;
use redwinggrade::process::registry::TargetKey;
use redwinggrade::request::fanout::{
    Action, Event, Fanout, Plan, REPLY_MARGIN, REPLY_MARGIN_OPEN_CONNECTION,
};
use redwinggrade::request::reply::{Answer, FailureCause, Outcome, Reason, Verdict};
use redwinggrade::time::Moment;
use redwinggrade::version::route::{Destination, Kind};
use redwinggrade::wire::Cause;
use rstest::rstest;

const HEDGE_DELAY_MS: u64 = 40;
const ANSWERED: Observation = Observation::Answered {
    took: EXPECTED_LATENCY,
    expected: EXPECTED_LATENCY,
};

struct RequestDriver {
    fanout: Fanout,
    placement: Node,
    sent: Vec<(usize, TargetKey)>,
    verdict: Option<Verdict>,
}

impl RequestDriver {
    fn open(kind: Kind, destination: Destination, services: usize, placement: Node) -> Self {
        Self::open_with_margin(kind, destination, services, placement, REPLY_MARGIN)
    }

    fn open_with_margin(
        kind: Kind,
        destination: Destination,
        services: usize,
        placement: Node,
        reply_margin: Duration,
    ) -> Self {
        let route = Arc::new(route(kind, 2, destination));
        let plan = Plan {
            table: table((*route).clone(), services, None),
            services: (0..services).map(|n| Arc::from(format!("s{n}"))).collect(),
            sent_at: at(0),
            deadline: at(2_000),
            expected_latency: EXPECTED_LATENCY,
            hedge_delay: ms(HEDGE_DELAY_MS),
            reply_margin,
            route,
        };
        Self {
            fanout: Fanout::new(plan),
            placement,
            sent: Vec::new(),
            verdict: None,
        }
    }

    fn step(&mut self, event: Event, now: Moment) -> &mut Self {
        for action in self.fanout.step(event, now, &mut self.placement) {
            match action {
                Action::Send {
                    subrequest, slot, ..
                } => self.sent.push((subrequest, self.placement.send(slot))),
                Action::Finish(verdict) => self.verdict = Some(verdict),
            }
        }
        self
    }

    fn start(&mut self) -> &mut Self {
        self.step(Event::Start, at(0))
    }

    fn end(&mut self, subrequest: usize, outcome: Outcome, now: Moment) -> &mut Self {
        self.step(
            Event::Result {
                subrequest,
                outcome,
            },
            now,
        )
    }
}

fn answer(status: StatusCode, record: u8) -> Answer {
    Answer {
        status,
        headers: HeaderMap::new(),
        signature: HeaderValue::try_from(format!("seal-{record}")).ok(),
        body: Bytes::from(vec![record; 16]),
    }
}

fn succeeded(record: u8) -> Outcome {
    Outcome::Succeeded(answer(StatusCode::OK, record))
}

fn failed() -> Outcome {
    Outcome::Failed(answer(StatusCode::INTERNAL_SERVER_ERROR, 0))
}

fn placement_with_pairs(services: usize) -> Node {
    let mut placement = placement(AMPLE_BOUND);
    add_target_pairs(&mut placement, services, at(0));
    placement
}

/// Guards against a merged answer that lacks the records or the signature of a shard.
#[test]
fn merges_answers_of_all_shards() {
    let mut driver = RequestDriver::open(
        Kind::Idempotent,
        gather(4, 0.75),
        4,
        placement_with_pairs(4),
    );
    driver.start();
    assert_eq!(driver.sent.len(), 4);
    for subrequest in 0..4 {
        assert_eq!(driver.verdict, None);
        driver.end(subrequest, succeeded(subrequest as u8 + 1), at(20));
    }
    let Some(Verdict::Merged {
        signatures,
        missing_shards,
        records,
    }) = &driver.verdict
    else {
        panic!("expected a merged answer, got {:?}", driver.verdict);
    };
    assert_eq!((signatures.len(), *missing_shards), (4, 0));
    assert_eq!(records[..], [[4; 16], [3; 16], [2; 16]].concat());
}

/// Guards against a second hedge for one shard, a hedge to the same target, and a shard that is merged twice.
#[test]
fn hedges_slow_subrequest_once_and_uses_first_answer() {
    let mut driver =
        RequestDriver::open(Kind::Idempotent, gather(2, 1.0), 2, placement_with_pairs(2));
    driver.start().end(0, succeeded(1), at(20));
    driver.step(Event::Tick, at(HEDGE_DELAY_MS));
    assert_eq!(driver.sent.len(), 3);
    assert_ne!(
        driver.sent[1].1, driver.sent[2].1,
        "the hedge went to the target of the slow subrequest"
    );
    driver.step(Event::Tick, at(3 * HEDGE_DELAY_MS));
    assert_eq!(driver.sent.len(), 3);
    driver
        .end(2, succeeded(2), at(3 * HEDGE_DELAY_MS))
        .end(1, succeeded(3), at(130));
    let Some(Verdict::Merged { signatures, .. }) = &driver.verdict else {
        panic!("expected a merged answer, got {:?}", driver.verdict);
    };
    assert_eq!(signatures, &["seal-1", "seal-2"]);
}

/// Guards against an incomplete answer that is sent too early, too late or below the least coverage.
#[rstest]
#[case::least_coverage_reached(15, true, REPLY_MARGIN)]
#[case::below_least_coverage(14, false, REPLY_MARGIN)]
#[case::open_connection(15, true, REPLY_MARGIN_OPEN_CONNECTION)]
fn sends_incomplete_answer_at_objective_with_least_coverage(
    #[case] answered: usize,
    #[case] expected: bool,
    #[case] reply_margin: Duration,
) {
    let mut driver = RequestDriver::open_with_margin(
        Kind::Idempotent,
        gather(20, 0.75),
        20,
        placement_with_pairs(20),
        reply_margin,
    );
    driver.start();
    for subrequest in 0..answered {
        driver.end(subrequest, succeeded(1), at(20));
    }
    let objective = at(150) - reply_margin;
    driver.step(Event::Tick, objective - ms(1));
    assert_eq!(driver.verdict, None);
    driver.step(Event::Tick, objective);
    let merged = matches!(
        driver.verdict,
        Some(Verdict::Merged {
            missing_shards: 5,
            ..
        })
    );
    assert_eq!(merged, expected, "{:?}", driver.verdict);
}

/// Guards against subrequests of a request that cannot reach its least coverage.
#[test]
fn refuses_without_subrequests_if_too_few_services_have_a_target() {
    let mut placement = placement(AMPLE_BOUND);
    add_target_pairs(&mut placement, 2, at(0));
    let mut driver = RequestDriver::open(Kind::Idempotent, gather(4, 0.75), 4, placement);
    driver.start();
    assert!(driver.sent.is_empty());
    assert!(
        matches!(
            driver.verdict,
            Some(Verdict::Refused {
                reason: Reason::NoTarget,
                ..
            })
        ),
        "{:?}",
        driver.verdict
    );
}

/// Guards against callers that wait in vain for a limited target, and against a refusal where the wait is short.
#[rstest]
#[case::short_wait(100.0, None)]
#[case::long_wait(2.0, Some(Reason::TargetLimit))]
fn waits_for_target_at_its_limit_only_if_the_wait_is_short(
    #[case] limit: f64,
    #[case] refused: Option<Reason>,
) {
    let mut placement = placement(AMPLE_BOUND);
    let target = add_target(
        &mut placement,
        "s0-home",
        target_report("s0", LOCAL, 1_000),
        at(0),
    );
    placement.record_rate_limit(target, RateLimit::PerSecond(limit), at(0), at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    let taken = placement.pick(&table, "s0", &[], Cause::First, at(0));
    assert_eq!(taken, Some(target), "the request before takes the target");
    let mut driver = RequestDriver::open(Kind::Idempotent, single_target(), 1, placement);
    driver.start();
    match (refused, &driver.verdict) {
        (None, None) => {
            let wake = driver.fanout.next_wake();
            assert!(
                wake > at(0) && wake <= at(37),
                "within a quarter of the objective"
            );
            driver.step(Event::Tick, wake);
            assert_eq!(driver.sent, [(0, target)]);
        }
        (
            Some(expected),
            Some(Verdict::Refused {
                reason,
                retry_after,
            }),
        ) => {
            assert_eq!(*reason, expected);
            assert_eq!(
                *retry_after,
                ms(1_000),
                "two nodes share two requests a second"
            );
        }
        (_, verdict) => panic!("{verdict:?}"),
    }
}

/// Guards against waiting for a service that has no target.
#[test]
fn leaves_out_shard_without_target() {
    let mut placement = placement(AMPLE_BOUND);
    add_target_pairs(&mut placement, 3, at(0));
    let mut driver = RequestDriver::open(Kind::Idempotent, gather(4, 0.75), 4, placement);
    driver.start();
    for subrequest in 0..3 {
        driver.end(subrequest, succeeded(1), at(20));
    }
    assert!(matches!(
        driver.verdict,
        Some(Verdict::Merged {
            missing_shards: 1,
            ..
        })
    ));
}

/// Guards against giving up an idempotent request after one failure, and against a retry at the same target.
#[rstest]
#[case::connection_lost(Outcome::Lost(FailureCause::ReusedConnectionClosed))]
#[case::unverified_answer(Outcome::Lost(FailureCause::Unverified))]
#[case::target_failed(failed())]
fn retries_idempotent_request_at_the_other_replica(#[case] outcome: Outcome) {
    let mut driver = RequestDriver::open(
        Kind::Idempotent,
        single_target(),
        1,
        placement_with_pairs(1),
    );
    driver.start().end(0, outcome, at(5));
    assert_eq!(driver.sent.len(), 2);
    assert_ne!(driver.sent[0].1, driver.sent[1].1);
    driver.end(1, succeeded(1), at(20));
    assert!(matches!(&driver.verdict, Some(Verdict::Single(answer)) if answer.status == 200));
}

/// Guards against a non-idempotent request that runs twice, or that may have run but is reported as not run.
#[rstest]
#[case::connection_lost(Outcome::Lost(FailureCause::ReusedConnectionClosed))]
#[case::timeout(Outcome::Lost(FailureCause::Timeout))]
#[case::target_failed(failed())]
fn sends_non_idempotent_request_once_after_it_may_have_run(#[case] outcome: Outcome) {
    let mut driver = RequestDriver::open(
        Kind::NonIdempotent,
        single_target(),
        1,
        placement_with_pairs(1),
    );
    driver
        .start()
        .step(Event::Tick, at(500))
        .end(0, outcome, at(501));
    assert_eq!(driver.sent.len(), 1);
    assert!(
        matches!(
            driver.verdict,
            Some(Verdict::OutcomeUnknown(_) | Verdict::Expired | Verdict::Single(_))
        ),
        "{:?} says that the request has not run",
        driver.verdict
    );
}

/// Guards against giving up a non-idempotent request that another target can still run.
#[rstest]
#[case::shed(FailureCause::Shed)]
#[case::unreachable(FailureCause::Unreachable)]
#[case::misdirected(FailureCause::Misdirected)]
fn retries_non_idempotent_request_that_has_not_run(#[case] cause: FailureCause) {
    let mut driver = RequestDriver::open(
        Kind::NonIdempotent,
        single_target(),
        1,
        placement_with_pairs(1),
    );
    driver.start().end(0, Outcome::NotRun(cause), at(5));
    assert_eq!(driver.sent.len(), 2);
    driver.end(1, succeeded(1), at(50));
    assert!(matches!(driver.verdict, Some(Verdict::Single(_))));
}

/// Guards against unlimited subrequests to targets that refuse, and against an unknown outcome for a request
/// that no target ran.
#[test]
fn refuses_after_limited_subrequests_if_all_targets_refuse() {
    let mut driver = RequestDriver::open(
        Kind::NonIdempotent,
        single_target(),
        1,
        placement_with_pairs(1),
    );
    driver.start();
    let mut now = at(1);
    while driver.verdict.is_none() {
        let open = driver.sent.len() - 1;
        driver.end(open, Outcome::NotRun(FailureCause::Shed), now);
        now = now + ms(5);
        while driver.verdict.is_none() && driver.sent.len() - 1 == open {
            driver.step(Event::Tick, now);
            now = now + ms(5);
        }
    }
    assert!(
        driver.sent.len() <= 6,
        "{} subrequests instead of at most 6",
        driver.sent.len()
    );
    assert!(
        matches!(driver.verdict, Some(Verdict::Refused { .. })),
        "{:?}",
        driver.verdict
    );
}

/// Guards against hedges and retries beyond the budget.
#[test]
fn sends_no_extra_subrequest_without_budget() {
    let tight = Bound {
        ratio: 0.0,
        slack: 0.0,
    };
    let mut placement = placement(tight);
    add_target_pairs(&mut placement, 2, at(0));
    for service in ["s0", "s1"] {
        placement.budget.deposit(&Arc::from(service));
        while placement.budget.try_withdraw(service) {}
    }
    let mut driver = RequestDriver::open(Kind::Idempotent, gather(2, 1.0), 2, placement);
    driver.start().step(Event::Tick, at(HEDGE_DELAY_MS));
    driver.end(
        0,
        Outcome::Lost(FailureCause::ReusedConnectionClosed),
        at(50),
    );
    assert_eq!(driver.sent.len(), 2);
    assert!(
        matches!(driver.verdict, Some(Verdict::OutcomeUnknown(_))),
        "{:?}",
        driver.verdict
    );
}

/// Guards against a request that fails for lack of budget although no target has received it.
#[test]
fn retry_after_unreachable_target_needs_no_budget() {
    let tight = Bound {
        ratio: 0.0,
        slack: 0.0,
    };
    let mut placement = placement(tight);
    add_target_pairs(&mut placement, 1, at(0));
    placement.budget.deposit(&Arc::from("s0"));
    while placement.budget.try_withdraw("s0") {}
    let mut driver = RequestDriver::open(Kind::Idempotent, single_target(), 1, placement);
    driver
        .start()
        .end(0, Outcome::NotRun(FailureCause::Unreachable), at(1));
    assert_eq!(driver.sent.len(), 2);
}

/// Guards against a request that outlives its deadline or is then reported as not run.
#[rstest]
#[case::non_idempotent(Kind::NonIdempotent)]
#[case::idempotent(Kind::Idempotent)]
fn deadline_ends_request_as_expired(#[case] kind: Kind) {
    let mut placement = placement(AMPLE_BOUND);
    add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let mut driver = RequestDriver::open(kind, single_target(), 1, placement);
    driver.start().step(Event::Tick, at(2_000));
    assert_eq!(driver.verdict, Some(Verdict::Expired));
}

/// Guards against replacing the answer of a target that failed by a refusal.
#[test]
fn passes_on_failure_of_only_target() {
    let mut placement = placement(AMPLE_BOUND);
    add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let mut driver = RequestDriver::open(Kind::NonIdempotent, single_target(), 1, placement);
    driver.start().end(0, failed(), at(5));
    assert!(matches!(&driver.verdict, Some(Verdict::Single(answer)) if answer.status == 500));
}

/// Picks targets of a service until none has capacity.
fn use_up_capacity(placement: &mut Node, service: &str) -> Vec<TargetKey> {
    let table = table(route(Kind::Idempotent, 2, single_target()), 2, None);
    let mut taken = Vec::new();
    while let Some(key) = placement.pick(&table, service, &[], Cause::First, at(0)) {
        taken.push(key);
    }
    taken
}

/// Delivers the ticks that fall due until a moment.
fn tick_until(driver: &mut RequestDriver, until: Moment) {
    while driver.verdict.is_none() && driver.fanout.next_wake() <= until {
        let now = driver.fanout.next_wake();
        driver.step(Event::Tick, now);
    }
}

/// Guards against failing a shard whose targets are all busy although other shards have run. All targets are
/// busy on a node that has just started: it has one connection to each while all callers connect at once.
#[test]
fn waits_for_busy_shard_once_other_shards_have_run() {
    let mut driver =
        RequestDriver::open(Kind::Idempotent, gather(2, 1.0), 2, placement_with_pairs(2));
    let taken = use_up_capacity(&mut driver.placement, "s1");
    driver.start().end(0, succeeded(1), at(20));
    tick_until(&mut driver, at(900));
    assert_eq!(driver.verdict, None);
    driver.placement.observe(taken[0], ANSWERED, at(900));
    tick_until(&mut driver, at(1_000));
    assert_eq!(
        driver.sent.len(),
        2,
        "freed capacity was not used within 100 ms"
    );
    driver.end(1, succeeded(2), at(1_020));
    assert!(matches!(
        driver.verdict,
        Some(Verdict::Merged {
            missing_shards: 0,
            ..
        })
    ));
}

/// Guards against holding a request without capacity so long that its caller cannot try another node.
#[rstest]
#[case::single_target(single_target(), 1)]
#[case::all_shards(gather(2, 1.0), 2)]
fn refuses_early_if_all_targets_are_busy(
    #[case] destination: Destination,
    #[case] services: usize,
) {
    let mut driver = RequestDriver::open(
        Kind::Idempotent,
        destination,
        services,
        placement_with_pairs(2),
    );
    for service in ["s0", "s1"] {
        use_up_capacity(&mut driver.placement, service);
    }
    let objective = route(Kind::Idempotent, 2, single_target()).latency_objective;
    driver.start();
    tick_until(&mut driver, at(0) + objective / 4);
    assert!(
        matches!(driver.verdict, Some(Verdict::Refused { .. })),
        "{:?}",
        driver.verdict
    );
}

/// Guards against 504 for a request that no target has run, which tells its caller nothing: a node that was
/// paused learns after the deadline that none of its subrequests was written.
#[rstest]
#[case::none_written(0, true)]
#[case::one_written(1, false)]
fn refuses_request_if_no_subrequest_was_written_before_deadline(
    #[case] written: usize,
    #[case] refused: bool,
) {
    let mut driver = RequestDriver::open(
        Kind::Idempotent,
        gather(4, 0.75),
        4,
        placement_with_pairs(4),
    );
    driver.start();
    let resumed = at(2_700);
    for subrequest in 0..4 {
        let outcome = if subrequest < written {
            Outcome::Lost(FailureCause::Timeout)
        } else {
            Outcome::NotRun(FailureCause::Unsent)
        };
        driver.end(subrequest, outcome, resumed);
    }
    driver.step(Event::Tick, resumed);
    assert_eq!(driver.sent.len(), 4, "sent after the deadline");
    let verdict = driver.verdict.as_ref();
    let is_refusal = verdict.is_some_and(|it| matches!(it, Verdict::Refused { .. }));
    assert!(verdict.is_some());
    assert_eq!(is_refusal, refused, "{verdict:?}");
}

/// Guards against a request that is still open when a node that stops must have answered, and against a query that then
/// loses the parts it has.
#[rstest]
#[case::query_with_enough_parts(3, true)]
#[case::query_with_too_few_parts(2, false)]
fn request_is_answered_before_the_node_stops(#[case] answered: usize, #[case] is_served: bool) {
    let mut driver = RequestDriver::open(
        Kind::Idempotent,
        gather(4, 0.75),
        4,
        placement_with_pairs(4),
    );
    driver.start();
    let answer_by = at(60);
    driver.step(Event::AnswerBy(answer_by), at(10));
    for subrequest in 0..answered {
        driver.end(subrequest, succeeded(1), at(20));
    }
    tick_until(&mut driver, at(59));
    assert_eq!(driver.verdict, None);
    tick_until(&mut driver, answer_by);
    match driver.verdict {
        Some(Verdict::Merged { missing_shards, .. }) if is_served => assert_eq!(missing_shards, 1),
        Some(Verdict::Expired) if !is_served => {}
        verdict => panic!("{verdict:?}"),
    }
}

/// Guards against queries that are refused for good because of limits that targets have stated: only a request can show
/// that they have ended. The node is none of those that share the limits.
#[rstest]
#[case::one_shard(1)]
#[case::usual_query(20)]
#[case::wide_query(270)]
fn query_is_sent_again_after_targets_have_stated_limits(#[case] shards: usize) {
    // Six nodes outside the shares send 1.5 requests in 4 s together.
    const TRIAL_INTERVAL_MS: u64 = 16_000;
    let mut placement = placement(AMPLE_BOUND);
    let nodes: Vec<String> = (1..10).map(|n| format!("n{n}")).collect();
    placement.set_nodes(&nodes, true, at(0));
    for n in 0..shards {
        let (name, service) = (format!("s{n}-only"), format!("s{n}"));
        let key = add_target(
            &mut placement,
            &name,
            target_report(&service, LOCAL, 1_000),
            at(0),
        );
        placement.record_rate_limit(key, RateLimit::PerSecond(1.0), at(0), at(0));
    }
    let is_sent = (0..=TRIAL_INTERVAL_MS / 100).any(|step| {
        let route = Arc::new(route(Kind::Idempotent, 2, gather(shards, 1.0)));
        let now = at(step * 100);
        let mut fanout = Fanout::new(Plan {
            table: table((*route).clone(), shards, None),
            services: (0..shards).map(|n| Arc::from(format!("s{n}"))).collect(),
            sent_at: now,
            deadline: now + ms(2_000),
            expected_latency: EXPECTED_LATENCY,
            hedge_delay: ms(HEDGE_DELAY_MS),
            reply_margin: REPLY_MARGIN,
            route,
        });
        let actions = fanout.step(Event::Start, now, &mut placement);
        actions.len() == shards && actions.iter().all(|it| matches!(it, Action::Send { .. }))
    });
    assert!(is_sent);
}

/// Guards against a budget for hedges and retries that is spent on subrequests that were never sent.
#[test]
fn unsent_retry_leaves_its_token() {
    let bound = Bound {
        ratio: 0.0,
        slack: 5.0,
    };
    let mut placement = placement(bound);
    add_target_pairs(&mut placement, 1, at(0));
    let mut retries = 0;
    for _ in 0..5 {
        let mut driver = RequestDriver::open(Kind::Idempotent, single_target(), 1, placement);
        driver.start();
        let event = Event::Result {
            subrequest: 0,
            outcome: Outcome::NotRun(FailureCause::Shed),
        };
        let actions = driver.fanout.step(event, at(5), &mut driver.placement);
        retries += usize::from(matches!(actions[..], [Action::Send { .. }]));
        drop(actions);
        placement = Node::open(driver.placement.into_placement());
    }
    assert_eq!(retries, 5);
}

/// Guards against queries that are refused for good because they have more shards than subrequests may be open.
#[test]
fn query_wider_than_the_room_is_served_in_parts() {
    let mut placement = placement_with_pairs(8);
    placement.set_subrequests_max(3);
    let mut driver = RequestDriver::open(Kind::Idempotent, gather(8, 1.0), 8, placement);
    driver.start();
    let mut now = at(0);
    let mut ended = 0;
    while driver.verdict.is_none() && now < at(100) {
        assert!(driver.placement.open_subrequests() <= 3);
        now = now + ms(1);
        driver.step(Event::Tick, now);
        while ended < driver.sent.len() {
            driver.end(ended, succeeded(1), now);
            let target = driver.sent[ended].1;
            driver.placement.observe(target, ANSWERED, now);
            ended += 1;
        }
    }
    assert!(
        matches!(
            driver.verdict,
            Some(Verdict::Merged {
                missing_shards: 0,
                ..
            })
        ),
        "{:?}",
        driver.verdict
    );
}

/// Guards against queries that start without room for their subrequests, against single requests that they keep out,
/// and against callers that come back at the same time.
#[test]
fn query_without_room_is_refused_and_a_single_request_is_sent() {
    let mut placement = placement_with_pairs(2);
    placement.set_subrequests_max(8);
    let taken = use_up_capacity(&mut placement, "s1");
    assert!(
        taken.len() >= 6,
        "the query has no room for two subrequests"
    );
    let mut driver = RequestDriver::open(Kind::Idempotent, gather(2, 0.5), 2, placement);
    let verdict = driver.start().verdict.take();
    let Some(Verdict::Refused {
        reason: Reason::Memory,
        retry_after,
    }) = verdict
    else {
        panic!("{verdict:?}");
    };
    assert!((ms(150)..ms(600)).contains(&retry_after), "{retry_after:?}");
    let mut driver = RequestDriver::open(Kind::Idempotent, single_target(), 1, driver.placement);
    driver.start();
    assert_eq!(driver.sent.len(), 1);
}
