//! Guards what callers get from one request, whatever its subrequests come to.

mod entry_support;

use std::sync::Arc;

use bytes::Bytes;
use entry_support::{
    AMPLE_BOUND, EXPECTED_LATENCY, LOCAL, add_target, add_target_pairs, at, gather, ms, placement,
    route, single_target, table, target_report,
};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use redwinggrade::process::budget::Bound;
use redwinggrade::process::placement::{Placement, Sign};
use redwinggrade::process::registry::TargetKey;
use redwinggrade::request::fanout::{Action, Event, Fanout, Plan, REPLY_MARGIN};
use redwinggrade::request::reply::{Answer, Cause, Outcome, Reason, Verdict};
use redwinggrade::time::Moment;
use redwinggrade::version::route::{Destination, Kind};
use rstest::rstest;

const HEDGE: u64 = 40;

struct Run {
    fanout: Fanout,
    placement: Placement,
    sent: Vec<(usize, TargetKey)>,
    verdict: Option<Verdict>,
}

impl Run {
    fn open(kind: Kind, destination: Destination, services: usize, placement: Placement) -> Self {
        let route = Arc::new(route(kind, 2, destination));
        let plan = Plan {
            table: table((*route).clone(), services, None),
            services: (0..services).map(|n| Arc::from(format!("s{n}"))).collect(),
            sent: at(0),
            deadline: at(2_000),
            expected: EXPECTED_LATENCY,
            hedge: ms(HEDGE),
            route,
        };
        Self {
            fanout: Fanout::open(plan),
            placement,
            sent: Vec::new(),
            verdict: None,
        }
    }

    fn step(&mut self, event: Event, now: Moment) -> &mut Self {
        for action in self.fanout.step(event, now, &mut self.placement) {
            match action {
                Action::Send {
                    subrequest, target, ..
                } => self.sent.push((subrequest, target)),
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
        seal: HeaderValue::try_from(format!("seal-{record}")).ok(),
        body: Bytes::from(vec![record; 16]),
    }
}

fn done(record: u8) -> Outcome {
    Outcome::Done(answer(StatusCode::OK, record))
}

fn failed() -> Outcome {
    Outcome::Failed(answer(StatusCode::INTERNAL_SERVER_ERROR, 0))
}

fn pairs(services: usize) -> Placement {
    let mut placement = placement(AMPLE_BOUND);
    add_target_pairs(&mut placement, services, at(0));
    placement
}

#[test]
fn a_complete_answer_merges_all_parts() {
    let mut run = Run::open(Kind::Idempotent, gather(4, 0.75), 4, pairs(4));
    run.start();
    assert_eq!(run.sent.len(), 4);
    for subrequest in 0..4 {
        assert_eq!(run.verdict, None);
        run.end(subrequest, done(subrequest as u8 + 1), at(20));
    }
    let Some(Verdict::Merged {
        seals,
        missing,
        records,
    }) = &run.verdict
    else {
        panic!("no merged answer: {:?}", run.verdict);
    };
    assert_eq!((seals.len(), *missing), (4, 0));
    assert_eq!(records[..], [[4; 16], [3; 16], [2; 16]].concat());
}

#[test]
fn a_slow_subrequest_is_hedged_once_and_only_the_first_answer_counts() {
    let mut run = Run::open(Kind::Idempotent, gather(2, 1.0), 2, pairs(2));
    run.start().end(0, done(1), at(20));
    run.step(Event::Tick, at(HEDGE));
    assert_eq!(run.sent.len(), 3);
    assert_ne!(
        run.sent[1].1, run.sent[2].1,
        "the hedge goes to the replica"
    );
    run.step(Event::Tick, at(3 * HEDGE));
    assert_eq!(run.sent.len(), 3);
    run.end(2, done(2), at(3 * HEDGE)).end(1, done(3), at(130));
    let Some(Verdict::Merged { seals, .. }) = &run.verdict else {
        panic!("no merged answer: {:?}", run.verdict);
    };
    assert_eq!(seals, &["seal-1", "seal-2"]);
}

#[rstest]
#[case::enough(15, true)]
#[case::too_few(14, false)]
fn an_incomplete_answer_leaves_at_the_objective_if_it_covers_enough(
    #[case] answered: usize,
    #[case] expected: bool,
) {
    let mut run = Run::open(Kind::Idempotent, gather(20, 0.75), 20, pairs(20));
    run.start();
    for subrequest in 0..answered {
        run.end(subrequest, done(1), at(20));
    }
    let objective = at(150) - REPLY_MARGIN;
    run.step(Event::Tick, objective - ms(1));
    assert_eq!(run.verdict, None);
    run.step(Event::Tick, objective);
    let merged = matches!(run.verdict, Some(Verdict::Merged { missing: 5, .. }));
    assert_eq!(merged, expected, "{:?}", run.verdict);
}

#[test]
fn too_few_services_with_a_target_are_refused_before_anything_is_sent() {
    let mut placement = placement(AMPLE_BOUND);
    add_target_pairs(&mut placement, 2, at(0));
    let mut run = Run::open(Kind::Idempotent, gather(4, 0.75), 4, placement);
    run.start();
    assert!(run.sent.is_empty());
    assert!(
        matches!(
            run.verdict,
            Some(Verdict::Refused {
                reason: Reason::NoTarget,
                ..
            })
        ),
        "{:?}",
        run.verdict
    );
}

#[test]
fn a_shard_without_a_target_is_left_out_at_once() {
    let mut placement = placement(AMPLE_BOUND);
    add_target_pairs(&mut placement, 3, at(0));
    let mut run = Run::open(Kind::Idempotent, gather(4, 0.75), 4, placement);
    run.start();
    for subrequest in 0..3 {
        run.end(subrequest, done(1), at(20));
    }
    assert!(matches!(
        run.verdict,
        Some(Verdict::Merged { missing: 1, .. })
    ));
}

#[rstest]
#[case::lost(Outcome::Lost(Cause::Broken))]
#[case::foreign(Outcome::Lost(Cause::Foreign))]
#[case::failed(failed())]
fn a_request_that_may_run_again_is_tried_at_the_replica(#[case] outcome: Outcome) {
    let mut run = Run::open(Kind::Idempotent, single_target(), 1, pairs(1));
    run.start().end(0, outcome, at(5));
    assert_eq!(run.sent.len(), 2);
    assert_ne!(run.sent[0].1, run.sent[1].1);
    run.end(1, done(1), at(20));
    assert!(matches!(&run.verdict, Some(Verdict::Single(answer)) if answer.status == 200));
}

#[rstest]
#[case::lost(Outcome::Lost(Cause::Broken))]
#[case::timeout(Outcome::Lost(Cause::Timeout))]
#[case::failed(failed())]
fn a_request_that_runs_once_is_never_sent_after_it_may_have_run(#[case] outcome: Outcome) {
    let mut run = Run::open(Kind::NonIdempotent, single_target(), 1, pairs(1));
    run.start()
        .step(Event::Tick, at(500))
        .end(0, outcome, at(501));
    assert_eq!(run.sent.len(), 1);
    assert!(
        matches!(
            run.verdict,
            Some(Verdict::Unknown(_) | Verdict::Expired | Verdict::Single(_))
        ),
        "{:?} promises that it has not run",
        run.verdict
    );
}

#[rstest]
#[case::shed(Cause::Shed)]
#[case::unreachable(Cause::Unreachable)]
#[case::misdirected(Cause::Misdirected)]
fn a_request_that_runs_once_is_sent_again_if_it_certainly_has_not_run(#[case] cause: Cause) {
    let mut run = Run::open(Kind::NonIdempotent, single_target(), 1, pairs(1));
    run.start().end(0, Outcome::NotRun(cause), at(5));
    assert_eq!(run.sent.len(), 2);
    run.end(1, done(1), at(50));
    assert!(matches!(run.verdict, Some(Verdict::Single(_))));
}

#[test]
fn refusals_of_all_targets_are_passed_on_as_not_run_within_a_bounded_number_of_subrequests() {
    let mut run = Run::open(Kind::NonIdempotent, single_target(), 1, pairs(1));
    run.start();
    let mut now = at(1);
    while run.verdict.is_none() {
        let open = run.sent.len() - 1;
        run.end(open, Outcome::NotRun(Cause::Shed), now);
        now = now + ms(5);
        while run.verdict.is_none() && run.sent.len() - 1 == open {
            run.step(Event::Tick, now);
            now = now + ms(5);
        }
    }
    assert!(run.sent.len() <= 6, "{} subrequests", run.sent.len());
    assert!(
        matches!(run.verdict, Some(Verdict::Refused { .. })),
        "{:?}",
        run.verdict
    );
}

#[test]
fn without_budget_nothing_extra_is_sent() {
    let tight = Bound {
        ratio: 0.0,
        slack: 0.0,
    };
    let mut budgetless = placement(tight);
    add_target_pairs(&mut budgetless, 2, at(0));
    for service in ["s0", "s1"] {
        budgetless.budget.earn(&Arc::from(service));
        while budgetless.budget.take(service) {}
    }
    let mut run = Run::open(Kind::Idempotent, gather(2, 1.0), 2, budgetless);
    run.start().step(Event::Tick, at(HEDGE));
    run.end(0, Outcome::Lost(Cause::Broken), at(50));
    assert_eq!(run.sent.len(), 2);
    assert!(
        matches!(run.verdict, Some(Verdict::Unknown(_))),
        "{:?}",
        run.verdict
    );
}

#[test]
fn an_unreached_target_costs_no_budget() {
    let tight = Bound {
        ratio: 0.0,
        slack: 0.0,
    };
    let mut budgetless = placement(tight);
    add_target_pairs(&mut budgetless, 1, at(0));
    budgetless.budget.earn(&Arc::from("s0"));
    while budgetless.budget.take("s0") {}
    let mut run = Run::open(Kind::Idempotent, single_target(), 1, budgetless);
    run.start()
        .end(0, Outcome::NotRun(Cause::Unreachable), at(1));
    assert_eq!(run.sent.len(), 2);
}

#[rstest]
#[case::started(Kind::NonIdempotent)]
#[case::repeatable(Kind::Idempotent)]
fn the_deadline_ends_a_request_without_a_promise(#[case] kind: Kind) {
    let mut placement = placement(AMPLE_BOUND);
    add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let mut run = Run::open(kind, single_target(), 1, placement);
    run.start().step(Event::Tick, at(2_000));
    assert_eq!(run.verdict, Some(Verdict::Expired));
}

#[test]
fn the_failure_of_the_only_target_is_passed_on_unchanged() {
    let mut placement = placement(AMPLE_BOUND);
    add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let mut run = Run::open(Kind::NonIdempotent, single_target(), 1, placement);
    run.start().end(0, failed(), at(5));
    assert!(matches!(&run.verdict, Some(Verdict::Single(answer)) if answer.status == 500));
}

/// Takes all room at the targets of a service.
fn fill(placement: &mut Placement, service: &str) -> Vec<TargetKey> {
    let table = table(route(Kind::Idempotent, 2, single_target()), 2, None);
    let mut taken = Vec::new();
    while let Some(key) = placement.pick(&table, service, &[], EXPECTED_LATENCY, at(0)) {
        taken.push(key);
    }
    taken
}

/// Lets the request have its ticks until the moment.
fn pass(run: &mut Run, until: Moment) {
    while run.verdict.is_none() && run.fanout.wake() <= until {
        let now = run.fanout.wake();
        run.step(Event::Tick, now);
    }
}

/// A node that has just started has one connection to each target, and all callers come at once.
#[test]
fn a_shard_without_room_is_waited_for_once_other_shards_have_run() {
    let mut run = Run::open(Kind::Idempotent, gather(2, 1.0), 2, pairs(2));
    let taken = fill(&mut run.placement, "s1");
    run.start().end(0, done(1), at(20));
    pass(&mut run, at(900));
    assert_eq!(run.verdict, None);
    let sign = Sign::Answered {
        took: EXPECTED_LATENCY,
        expected: EXPECTED_LATENCY,
    };
    run.placement.observe(taken[0], sign, at(900));
    pass(&mut run, at(1_000));
    assert_eq!(
        run.sent.len(),
        2,
        "the room is used within a tenth of a second"
    );
    run.end(1, done(2), at(1_020));
    assert!(matches!(
        run.verdict,
        Some(Verdict::Merged { missing: 0, .. })
    ));
}

#[rstest]
#[case::one(single_target(), 1)]
#[case::gather(gather(2, 1.0), 2)]
fn a_request_that_finds_no_room_at_all_is_refused_early(
    #[case] destination: Destination,
    #[case] services: usize,
) {
    let mut run = Run::open(Kind::Idempotent, destination, services, pairs(2));
    for service in ["s0", "s1"] {
        fill(&mut run.placement, service);
    }
    let objective = route(Kind::Idempotent, 2, single_target()).latency_objective;
    run.start();
    pass(&mut run, at(0) + objective / 4);
    assert!(
        matches!(run.verdict, Some(Verdict::Refused { .. })),
        "{:?}",
        run.verdict
    );
}
