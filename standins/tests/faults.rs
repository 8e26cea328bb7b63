//! Tests of the faults of targets, and of the verdict on drains and connections.

mod support;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use standins::http::{call, call_json};
use standins::members;
use standins::target::spec::Spec;
use standins::target::{self, Config};
use support::target::{
    ENDLESS_MS, SearchRequest, WAIT_TIMEOUT, constant_time, header_text, send_command, send_search,
    start_targets, wait_for_arrivals, wait_for_journal, wait_for_starts, warm_target,
};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

async fn state(address: SocketAddr) -> String {
    let status = call_json(address, "GET", "/status", &Value::Null).await;
    let status = status.expect("status should be readable");
    status["state"]
        .as_str()
        .expect("state should be a string")
        .to_owned()
}

/// Fails if a restart leaves work or connections of the earlier generation behind.
#[rstest]
#[tokio::test]
async fn restart_closes_connections_and_ends_work() {
    let mut target = warm_target("a");
    target.slots = 1;
    target.connections = 1;
    target.time = constant_time(ENDLESS_MS);
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let interrupted = SearchRequest::new("cut").spawn(address);
    wait_for_starts(&targets, 1).await;
    send_command(&targets, "a", |command| command.restart = true).await;
    interrupted
        .await
        .expect("task should not panic")
        .expect_err("connection should be closed without a response");
    wait_for_journal(&targets, |entries| entries[0].ended_ms.is_some()).await;
    let _next = SearchRequest::new("next").spawn(address);
    wait_for_starts(&targets, 2).await;
    let verdict = targets.verdict().expect("verdict should be available");
    assert_eq!(
        (
            verdict.finished,
            verdict.answered,
            verdict.connection_overruns
        ),
        (0, 0, 0)
    );
}

/// Fails if swapped responses are incomplete; headers and body must both be those of the other request.
#[rstest]
#[tokio::test]
async fn cross_answers_swaps_complete_responses() {
    let mut target = warm_target("a");
    target
        .versions
        .push(support::target::first_shard_of_version(2));
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    send_command(&targets, "a", |command| command.cross_answers = Some(1)).await;
    let one = SearchRequest::new("one");
    let mut two = SearchRequest::new("two");
    two.version = 2;
    let (one, two) = tokio::join!(one.send(address), two.send(address));
    let (one, two) = (
        one.expect("request should be answered"),
        two.expect("request should be answered"),
    );
    let identity = |answer| {
        (
            header_text(answer, "Request-Id").to_owned(),
            header_text(answer, "Index-Version").to_owned(),
        )
    };
    assert_eq!(identity(&one), ("two".to_owned(), "2".to_owned()));
    assert_eq!(identity(&two), ("one".to_owned(), "1".to_owned()));
    assert_ne!(one.body(), two.body());
    assert!(
        targets
            .journal()
            .iter()
            .all(|entry| entry.crossed && entry.answered)
    );
    assert_eq!(
        header_text(&send_search(address, "three").await, "Request-Id"),
        "three"
    );
}

/// Fails if a response waits beyond its deadline for another one to swap with.
#[rstest]
#[tokio::test]
async fn sends_own_answer_if_no_request_to_swap_with() {
    let targets = start_targets(vec![warm_target("a")]).await;
    send_command(&targets, "a", |command| command.cross_answers = Some(1)).await;
    let mut alone = SearchRequest::new("alone");
    alone.deadline_ms = 2_000;
    let answer = alone
        .send(targets.address("a").expect("target should be in the spec"))
        .await;
    let answer = answer.expect("request should be answered");
    assert_eq!(header_text(&answer, "Request-Id"), "alone");
    assert!(!targets.journal()[0].crossed);
}

/// Fails if the work of a lost answer did not run, or if more answers are lost than were set.
#[rstest]
#[tokio::test]
async fn lose_answers_drops_answer_after_work() {
    let targets = start_targets(vec![warm_target("a")]).await;
    let address = targets.address("a").expect("target should be in the spec");
    send_command(&targets, "a", |command| command.lose_answers = Some(1)).await;
    SearchRequest::new("lost")
        .send(address)
        .await
        .expect_err("connection should be closed without a response");
    assert_eq!(send_search(address, "next").await.status(), 200);
    let journal = targets.journal();
    let flags = |number: usize| (journal[number].finished, journal[number].answered);
    assert_eq!((flags(0), flags(1)), ((true, false), (true, true)));
}

/// Fails if a connection beyond the limit is served or not counted.
#[rstest]
#[tokio::test]
async fn closes_connections_beyond_the_limit() {
    let mut target = warm_target("a");
    target.connections = 2;
    target.time = constant_time(ENDLESS_MS);
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let held = [
        SearchRequest::new("r1").spawn(address),
        SearchRequest::new("r2").spawn(address),
    ];
    wait_for_starts(&targets, 2).await;
    let mut beyond = TcpStream::connect(address)
        .await
        .expect("connection should be accepted");
    let closed = tokio::time::timeout(WAIT_TIMEOUT, beyond.read_u8()).await;
    closed
        .expect("connection should be closed")
        .expect_err("connection should end without data");
    assert_eq!(
        targets
            .verdict()
            .expect("verdict should be available")
            .connection_overruns,
        1
    );
    for request in held {
        request.abort();
    }
}

/// Fails if a connection takes no time to set up, so that connecting again would look free.
#[rstest]
#[tokio::test]
async fn reads_no_request_before_connect_delay() {
    let mut target = warm_target("a");
    target.connections = 1;
    target.connect_ms = 3_600_000;
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let requests = [
        SearchRequest::new("r1").spawn(address),
        SearchRequest::new("r2").spawn(address),
    ];
    let counted = async {
        while targets
            .verdict()
            .expect("verdict should be available")
            .connection_overruns
            == 0
        {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, counted)
        .await
        .expect("one connection should be accepted and the other counted as an overrun");
    assert_eq!(targets.journal(), []);
    for request in requests {
        request.abort();
    }
}

/// Fails if a factor on service times has no effect.
#[rstest]
#[case::slow_factor(0, Some(ENDLESS_MS))]
#[case::cold_factor(10, None)]
#[tokio::test]
async fn slow_factors_extend_service_time(
    #[case] cold_answers: u64,
    #[case] slow_factor: Option<f64>,
) {
    let mut target = warm_target("a");
    target.cold_answers = cold_answers;
    target.cold_factor = ENDLESS_MS;
    let targets = start_targets(vec![target]).await;
    send_command(&targets, "a", |command| command.slow_factor = slow_factor).await;
    let mut request = SearchRequest::new("slow");
    request.deadline_ms = 300;
    let answer = request
        .send(targets.address("a").expect("target should be in the spec"))
        .await;
    assert_eq!(answer.expect("request should be answered").status(), 504);
}

/// Fails if a hanging target answers or starts work.
#[rstest]
#[tokio::test]
async fn hanging_target_neither_answers_nor_starts_work() {
    let targets = start_targets(vec![warm_target("a")]).await;
    let address = targets.address("a").expect("target should be in the spec");
    send_command(&targets, "a", |command| command.hang = Some(true)).await;
    let hung = SearchRequest::new("hung").spawn(address);
    wait_for_arrivals(&targets, 1).await;
    assert!(!targets.journal()[0].started);
    send_command(&targets, "a", |command| command.restore = true).await;
    hung.await
        .expect("task should not panic")
        .expect_err("connection should be closed without a response");
    assert_eq!(send_search(address, "next").await.status(), 200);
}

/// Fails if a target loses its port while it is down, or accepts connections then.
#[rstest]
#[tokio::test]
async fn refuses_connections_while_down() {
    let targets = start_targets(vec![warm_target("a")]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let mut idle = TcpStream::connect(address)
        .await
        .expect("connection should be accepted");
    for _ in 0..3 {
        send_command(&targets, "a", |command| command.down = Some(true)).await;
        let refused = TcpStream::connect(address)
            .await
            .expect_err("connection should be refused");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        let other = TcpSocket::new_v4().expect("socket should be created");
        other
            .bind(address)
            .expect_err("port should stay reserved while the target is down");
        send_command(&targets, "a", |command| command.restore = true).await;
        assert_eq!(send_search(address, "r").await.status(), 200);
    }
    let ended = tokio::time::timeout(WAIT_TIMEOUT, idle.read_u8()).await;
    ended
        .expect("connection should be closed")
        .expect_err("connection should end without data");
}

/// Fails if the status tells the truth while a test needs a wrong one.
#[rstest]
#[tokio::test]
async fn misleading_status_hides_cold_state() {
    let mut target = warm_target("a");
    target.cold_answers = 10;
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    assert_eq!(state(address).await, "cold");
    send_command(&targets, "a", |command| {
        command.misleading_status = Some(true);
    })
    .await;
    assert_eq!(state(address).await, "warm");
    assert!(targets.summaries()[0].cold);
}

/// Fails if the verdict or the membership list does not show a drain and the work after it.
#[rstest]
#[tokio::test]
async fn reports_drain_to_membership_list_and_verdict() {
    let list = members::bind(members::Config::default())
        .await
        .expect("free port should be available");
    let mut other = warm_target("b");
    other.data_centre = "dc2".to_owned();
    let targets = vec![warm_target("a"), other];
    let mut config = Config::new(Spec { seed: 1, targets });
    config.members = Some(list.address());
    let targets = target::bind(config)
        .await
        .expect("free ports should be available");
    let states = async || {
        let listing = call_json(list.address(), "GET", "/instances", &Value::Null).await;
        let listing: members::Listing =
            serde_json::from_value(listing.expect("membership list should answer"))
                .expect("response should be a listing");
        let states = listing.instances.into_iter();
        states
            .map(|instance| (instance.name, instance.state))
            .collect::<Vec<_>>()
    };
    let live = |name: &str| (name.to_owned(), members::State::Live);
    let leaving = |name: &str| (name.to_owned(), members::State::Leaving);
    let wait_for = async |expected: &[_]| {
        let listed = async {
            while states().await != expected {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, listed)
            .await
            .expect("membership list should show the change");
    };
    assert_eq!(states().await, [live("a"), live("b")]);

    let drain = serde_json::json!({ "data_centre": "dc1", "drain": true });
    call_json(targets.admin(), "POST", "/admin/target", &drain)
        .await
        .expect("request should be accepted");
    wait_for(&[leaving("a"), live("b")]).await;
    let a = targets.address("a").expect("target should be in the spec");
    assert_eq!(send_search(a, "r1").await.status(), 503);
    assert_eq!(state(a).await, "draining");

    send_command(&targets, "b", |command| command.leave = Some(true)).await;
    wait_for(&[leaving("a"), leaving("b")]).await;
    let b = targets.address("b").expect("target should be in the spec");
    assert_eq!(send_search(b, "r2").await.status(), 200);
    let verdict = targets.verdict().expect("verdict should be available");
    assert_eq!(
        (
            verdict.arrived_after_drain.count,
            verdict.started_after_drain.count
        ),
        (2, 1)
    );

    send_command(&targets, "a", |command| command.restore = true).await;
    wait_for(&[live("a"), leaving("b")]).await;
    assert_eq!(send_search(a, "r3").await.status(), 200);
    let verdict = targets.verdict().expect("verdict should be available");
    assert_eq!(
        verdict.arrived_after_drain.count, 2,
        "requests after the restore were counted"
    );
    assert_eq!(verdict.data_centres["dc1"].started, 1);
}

/// Fails if a misspelt or invalid command is accepted without an effect.
#[rstest]
#[case(r#"{ "name": "unknown", "drain": true }"#)]
#[case(r#"{ "drain": true }"#)]
#[case(r#"{ "name": "a", "data_centre": "dc1" }"#)]
#[case(r#"{ "name": "a", "drained": true }"#)]
#[case(r#"{ "name": "a", "slow_factor": 0 }"#)]
#[case(r#"{ "name": "a", "versions": [{ "version": 1, "shard": 2, "shards": 2 }] }"#)]
#[tokio::test]
async fn rejects_invalid_commands(#[case] body: &'static str) {
    let targets = start_targets(vec![warm_target("a")]).await;
    let answer = call(targets.admin(), "POST", "/admin/target", &[], body).await;
    assert!(
        answer
            .expect("request should be answered")
            .status()
            .is_client_error()
    );
}
