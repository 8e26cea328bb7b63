//! Tests the record of non-idempotent requests when callers leave while they wait for its decisions.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use redwinggrade::process::ledger::{Decision, Ledger};
use redwinggrade::request::id::Request;
use redwinggrade::request::once::RunOutcome;
use redwinggrade::time::Clock;
use redwinggrade::wire::{Incarnation, Reason};
use rstest::rstest;

/// The time limit of a decision, far above the time that the ledger takes and below that after which it gives up a run.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);
const DIGEST: u128 = 1;

async fn ledger() -> (Ledger, Request) {
    let ledger = Ledger::spawn("n1", Incarnation(1), 7, Clock::start()).await;
    let ledger = ledger.expect("the ledger starts");
    let request = format!("{}-1", ledger.issue_session());
    let request = request.parse().expect("the id is valid");
    (ledger, request)
}

async fn decide(ledger: &Ledger, request: &Request) -> Decision {
    tokio::time::timeout(DECISION_TIMEOUT, ledger.begin(request.clone(), DIGEST))
        .await
        .expect("the ledger decides")
}

/// Guards against a request that never ran but counts as running, because its caller left before the permission to run
/// it arrived, or before it was taken.
#[rstest]
#[case::before_the_decision(0)]
#[case::after_the_decision(10)]
#[tokio::test]
async fn request_whose_caller_left_before_it_ran_may_run_later(#[case] turns: usize) {
    let (ledger, request) = ledger().await;
    {
        let mut waiting = pin!(ledger.begin(request.clone(), DIGEST));
        let is_pending = poll_fn(|cx| Poll::Ready(waiting.as_mut().poll(cx).is_pending())).await;
        assert!(is_pending);
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
    }
    let mut decision = decide(&ledger, &request).await;
    if matches!(decision, Decision::Refuse(Reason::Cancelled)) {
        decision = decide(&ledger, &request).await;
    }
    assert!(matches!(decision, Decision::Start(_)), "{decision:?}");
}

/// Guards against a second run of a request whose first run ended without a result, such as by a panic.
#[tokio::test]
async fn request_whose_run_was_given_up_does_not_run_again() {
    let (ledger, request) = ledger().await;
    let Decision::Start(mut run) = decide(&ledger, &request).await else {
        panic!("the request is new");
    };
    run.begin();
    drop(run);
    let decision = decide(&ledger, &request).await;
    assert!(
        matches!(decision, Decision::Refuse(Reason::OutcomeUnknown)),
        "{decision:?}"
    );
}

/// Guards against a request that stays refused although its run has ended before any target got it.
#[tokio::test]
async fn settled_run_decides_on_repetitions() {
    let (ledger, request) = ledger().await;
    let Decision::Start(mut run) = decide(&ledger, &request).await else {
        panic!("the request is new");
    };
    run.begin();
    run.settle(RunOutcome::NotRun(Reason::NoTarget));
    assert!(matches!(
        decide(&ledger, &request).await,
        Decision::Start(_)
    ));
}
