//! The load that cold targets bear, and what the verdict says when they get more.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::Value;
use standins::http::call_json;
use standins::target::spec::OverrunEffect;
use support::target::{
    ENDLESS_MS, Search, command, constant_time, header, open, search, spec, wait_started,
};

async fn state(address: SocketAddr) -> String {
    let status = call_json(address, "GET", "/status", &Value::Null).await;
    let status = status.expect("the status");
    status["state"].as_str().expect("a state").to_owned()
}

/// Guards against load beyond the concurrency of a cold target that is not counted.
#[rstest]
#[tokio::test]
async fn counts_too_many_requests_at_once_while_cold() {
    let mut only = spec("a");
    only.slots = 3;
    only.cold_answers = 10;
    only.time = constant_time(ENDLESS_MS);
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let _first = Search::new("r1").spawn(address);
    wait_started(&targets, 1).await;
    assert_eq!(targets.verdict().expect("a verdict").cold_overruns, 0);
    let _second = Search::new("r2").spawn(address);
    wait_started(&targets, 2).await;
    let verdict = targets.verdict().expect("a verdict");
    assert_eq!(verdict.cold_overruns, 1);
    assert_eq!(
        verdict.cold_overruns_unannounced, 0,
        "a start is announced by the generation"
    );
    let cold = verdict.cold["a"];
    assert_eq!(
        (cold.highest_concurrency, cold.concurrency, cold.overruns),
        (2, 1, 1)
    );
}

/// Guards against a rate beyond what a cold target bears that is not counted, and against an overrun
/// without an effect. The rate is so low that only a second without requests could hide it.
#[rstest]
#[tokio::test]
async fn fails_after_too_high_a_rate_while_cold() {
    let mut only = spec("a");
    only.cold_answers = 100;
    only.cold_rate = 1;
    only.cold_overrun = OverrunEffect::Fail { for_ms: 3_600_000 };
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let mut statuses = Vec::new();
    while statuses.last() != Some(&500) {
        statuses.push(search(address, "r").await.status().as_u16());
        assert!(
            statuses.len() < 100,
            "two of the requests come within a second"
        );
    }
    assert_eq!(search(address, "r").await.status(), 500);
    let journal = targets.journal();
    let refused: Vec<_> = journal.iter().filter(|entry| entry.status == 500).collect();
    assert!(refused[0].overrun && refused[0].rate == 2);
    assert!(refused.iter().all(|entry| !entry.started));

    command(&targets, "a", |command| command.restart = true).await;
    assert_eq!(
        search(address, "r").await.status(),
        200,
        "a new generation is not strained"
    );
}

/// Guards against targets that never get warm, and against a restart that nobody could notice.
#[rstest]
#[tokio::test]
async fn gets_warm_by_answers_and_cold_by_a_restart() {
    let mut only = spec("a");
    only.cold_answers = 2;
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let first = search(address, "r1").await;
    assert_eq!(state(address).await, "cold");
    search(address, "r2").await;
    assert_eq!(state(address).await, "warm");

    command(&targets, "a", |command| command.restart = true).await;
    assert_eq!(state(address).await, "cold");
    let after = search(address, "r3").await;
    let generation = |answer| {
        header(answer, "Generation")
            .parse::<u64>()
            .expect("a number")
    };
    assert!(generation(&after) > generation(&first));

    search(address, "r4").await;
    assert_eq!(state(address).await, "warm");
    command(&targets, "a", |command| command.cold = true).await;
    let silent = search(address, "r5").await;
    assert_eq!(
        generation(&silent),
        generation(&after),
        "it turns cold without a sign"
    );
    let journal = targets.journal();
    assert!(journal[4].cold && journal[4].unannounced);
    assert!(!journal[2].unannounced);
}

/// Guards against an overrun that does not slow the target down.
#[rstest]
#[tokio::test]
async fn slows_down_after_too_high_a_rate_while_cold() {
    let mut only = spec("a");
    only.cold_answers = 1_000;
    only.cold_rate = 1;
    only.cold_overrun = OverrunEffect::Slow {
        factor: ENDLESS_MS,
        for_ms: 3_600_000,
    };
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let mut request = Search::new("r");
    request.deadline_ms = 1_000;
    for _ in 0..100 {
        let answer = request.send(address).await.expect("an answer");
        if targets.journal().iter().any(|entry| entry.overrun) {
            assert_eq!(answer.status(), 504);
            return;
        }
    }
    panic!("two of the requests come within a second");
}
