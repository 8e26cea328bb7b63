//! Tests of the load that cold targets can take, and of the verdict when they get more.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::Value;
use standins::http::call_json;
use standins::target::spec::OverrunEffect;
use support::target::{
    ENDLESS_MS, SearchRequest, constant_time, header_text, send_command, send_search,
    start_targets, wait_for_starts, warm_target,
};

async fn state(address: SocketAddr) -> String {
    let status = call_json(address, "GET", "/status", &Value::Null).await;
    let status = status.expect("status should be readable");
    status["state"]
        .as_str()
        .expect("state should be a string")
        .to_owned()
}

/// Fails if the verdict does not count a request beyond the concurrency that a cold target can take.
#[rstest]
#[tokio::test]
async fn counts_requests_beyond_concurrency_while_cold() {
    let mut target = warm_target("a");
    target.slots = 3;
    target.cold_answers = 10;
    target.time = constant_time(ENDLESS_MS);
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let _first = SearchRequest::new("r1").spawn(address);
    wait_for_starts(&targets, 1).await;
    assert_eq!(
        targets
            .verdict()
            .expect("verdict should be available")
            .cold_overruns,
        0
    );
    let _second = SearchRequest::new("r2").spawn(address);
    wait_for_starts(&targets, 2).await;
    let verdict = targets.verdict().expect("verdict should be available");
    assert_eq!(verdict.cold_overruns, 1);
    assert_eq!(
        verdict.cold_overruns_unannounced, 0,
        "overrun after a start was counted as unannounced"
    );
    let cold = verdict.cold["a"];
    assert_eq!(
        (cold.highest_concurrency, cold.concurrency, cold.overruns),
        (2, 1, 1)
    );
}

/// Fails if a rate beyond what a cold target can take is not counted or has no effect. The rate limit is
/// one request per second, so only a pause of a second between two requests could hide the fault.
#[rstest]
#[tokio::test]
async fn fails_requests_after_excessive_rate_while_cold() {
    let mut target = warm_target("a");
    target.cold_answers = 100;
    target.cold_rate = 1;
    target.cold_overrun = OverrunEffect::Fail { for_ms: 3_600_000 };
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let mut statuses = Vec::new();
    while statuses.last() != Some(&500) {
        statuses.push(send_search(address, "r").await.status().as_u16());
        assert!(
            statuses.len() < 100,
            "no two of the requests arrived within one second"
        );
    }
    assert_eq!(send_search(address, "r").await.status(), 500);
    let journal = targets.journal();
    let refused: Vec<_> = journal.iter().filter(|entry| entry.status == 500).collect();
    assert!(refused[0].overrun && refused[0].rate == 2);
    assert!(refused.iter().all(|entry| !entry.started));

    send_command(&targets, "a", |command| command.restart = true).await;
    assert_eq!(
        send_search(address, "r").await.status(),
        200,
        "overload effect lasted beyond a restart"
    );
}

/// Fails if answers do not make a target warm, if a restart does not change the generation, or if the
/// fault `cold` can be noticed by an observer.
#[rstest]
#[tokio::test]
async fn becomes_warm_by_answers_and_cold_by_restart() {
    let mut target = warm_target("a");
    target.cold_answers = 2;
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let first = send_search(address, "r1").await;
    assert_eq!(state(address).await, "cold");
    send_search(address, "r2").await;
    assert_eq!(state(address).await, "warm");

    send_command(&targets, "a", |command| command.restart = true).await;
    assert_eq!(state(address).await, "cold");
    let after = send_search(address, "r3").await;
    let generation = |answer| {
        header_text(answer, "Generation")
            .parse::<u64>()
            .expect("value should be a number")
    };
    assert!(generation(&after) > generation(&first));

    send_search(address, "r4").await;
    assert_eq!(state(address).await, "warm");
    send_command(&targets, "a", |command| command.cold = true).await;
    let silent = send_search(address, "r5").await;
    assert_eq!(
        generation(&silent),
        generation(&after),
        "generation changed although the target was not restarted"
    );
    let journal = targets.journal();
    assert!(journal[4].cold && journal[4].unannounced);
    assert!(!journal[2].unannounced);
}

/// Fails if exceeding the rate of a cold target does not slow it down.
#[rstest]
#[tokio::test]
async fn slows_requests_after_excessive_rate_while_cold() {
    let mut target = warm_target("a");
    target.cold_answers = 1_000;
    target.cold_rate = 1;
    target.cold_overrun = OverrunEffect::Slow {
        factor: ENDLESS_MS,
        for_ms: 3_600_000,
    };
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let mut request = SearchRequest::new("r");
    request.deadline_ms = 1_000;
    for _ in 0..100 {
        let answer = request
            .send(address)
            .await
            .expect("request should be answered");
        if targets.journal().iter().any(|entry| entry.overrun) {
            assert_eq!(answer.status(), 504);
            return;
        }
    }
    panic!("no two of the requests arrived within one second");
}
