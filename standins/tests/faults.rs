//! Faults of targets, and what the verdict says about drains and connections.

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
    ENDLESS_MS, Search, WAIT_TIMEOUT, command, constant_time, header, open, search, spec, wait,
    wait_arrived, wait_started,
};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

async fn state(address: SocketAddr) -> String {
    let status = call_json(address, "GET", "/status", &Value::Null).await;
    let status = status.expect("the status");
    status["state"].as_str().expect("a state").to_owned()
}

/// Guards against a restart that leaves work or connections of the earlier run behind.
#[rstest]
#[tokio::test]
async fn a_restart_cuts_connections_and_ends_work() {
    let mut only = spec("a");
    only.slots = 1;
    only.connections = 1;
    only.time = constant_time(ENDLESS_MS);
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let cut = Search::new("cut").spawn(address);
    wait_started(&targets, 1).await;
    command(&targets, "a", |command| command.restart = true).await;
    cut.await.expect("a task").expect_err("no answer");
    wait(&targets, |entries| entries[0].ended_ms.is_some()).await;
    let _next = Search::new("next").spawn(address);
    wait_started(&targets, 2).await;
    let verdict = targets.verdict().expect("a verdict");
    assert_eq!(
        (
            verdict.finished,
            verdict.answered,
            verdict.connection_overruns
        ),
        (0, 0, 0)
    );
}

/// Guards against crossed answers that are not whole, headers included.
#[rstest]
#[tokio::test]
async fn crosses_the_answers_of_concurrent_requests() {
    let mut only = spec("a");
    only.versions.push(support::target::holding(2));
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    command(&targets, "a", |command| command.cross_answers = Some(1)).await;
    let one = Search::new("one");
    let mut two = Search::new("two");
    two.version = 2;
    let (one, two) = tokio::join!(one.send(address), two.send(address));
    let (one, two) = (one.expect("an answer"), two.expect("an answer"));
    let identity = |answer| {
        (
            header(answer, "Request-Id").to_owned(),
            header(answer, "Index-Version").to_owned(),
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
        header(&search(address, "three").await, "Request-Id"),
        "three"
    );
}

/// Guards against a request that waits forever for an answer to cross with.
#[rstest]
#[tokio::test]
async fn gives_its_own_answer_when_nothing_crosses() {
    let targets = open(vec![spec("a")]).await;
    command(&targets, "a", |command| command.cross_answers = Some(1)).await;
    let mut alone = Search::new("alone");
    alone.deadline_ms = 2_000;
    let answer = alone.send(targets.address("a").expect("a target")).await;
    let answer = answer.expect("an answer");
    assert_eq!(header(&answer, "Request-Id"), "alone");
    assert!(!targets.journal()[0].crossed);
}

/// Guards against a lost answer whose work did not run, and against losing more than was asked.
#[rstest]
#[tokio::test]
async fn loses_answers_after_the_work() {
    let targets = open(vec![spec("a")]).await;
    let address = targets.address("a").expect("a target");
    command(&targets, "a", |command| command.lose_answers = Some(1)).await;
    Search::new("lost")
        .send(address)
        .await
        .expect_err("no answer");
    assert_eq!(search(address, "next").await.status(), 200);
    let journal = targets.journal();
    let flags = |number: usize| (journal[number].finished, journal[number].answered);
    assert_eq!((flags(0), flags(1)), ((true, false), (true, true)));
}

/// Guards against connections beyond the limit that are served or not counted.
#[rstest]
#[tokio::test]
async fn closes_connections_beyond_the_limit() {
    let mut only = spec("a");
    only.connections = 2;
    only.time = constant_time(ENDLESS_MS);
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let held = [
        Search::new("r1").spawn(address),
        Search::new("r2").spawn(address),
    ];
    wait_started(&targets, 2).await;
    let mut beyond = TcpStream::connect(address).await.expect("accepted");
    let closed = tokio::time::timeout(WAIT_TIMEOUT, beyond.read_u8()).await;
    closed.expect("it is closed").expect_err("without a byte");
    assert_eq!(targets.verdict().expect("a verdict").connection_overruns, 1);
    for request in held {
        request.abort();
    }
}

/// Guards against a connection that costs no time, so that reconnecting would look free.
#[rstest]
#[tokio::test]
async fn reads_nothing_until_the_connection_is_set_up() {
    let mut only = spec("a");
    only.connections = 1;
    only.connect_ms = 3_600_000;
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let requests = [
        Search::new("r1").spawn(address),
        Search::new("r2").spawn(address),
    ];
    let counted = async {
        while targets.verdict().expect("a verdict").connection_overruns == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, counted)
        .await
        .expect("one has a place, the other has none");
    assert_eq!(targets.journal(), []);
    for request in requests {
        request.abort();
    }
}

/// Guards against slowness that is set and has no effect.
#[rstest]
#[case::by_command(0, Some(ENDLESS_MS))]
#[case::while_cold(10, None)]
#[tokio::test]
async fn slows_down(#[case] cold_answers: u64, #[case] slow_factor: Option<f64>) {
    let mut only = spec("a");
    only.cold_answers = cold_answers;
    only.cold_factor = ENDLESS_MS;
    let targets = open(vec![only]).await;
    command(&targets, "a", |command| command.slow_factor = slow_factor).await;
    let mut request = Search::new("slow");
    request.deadline_ms = 300;
    let answer = request.send(targets.address("a").expect("a target")).await;
    assert_eq!(answer.expect("an answer").status(), 504);
}

/// Guards against a hanging target that answers or that starts work.
#[rstest]
#[tokio::test]
async fn hangs_without_an_answer() {
    let targets = open(vec![spec("a")]).await;
    let address = targets.address("a").expect("a target");
    command(&targets, "a", |command| command.hang = Some(true)).await;
    let hung = Search::new("hung").spawn(address);
    wait_arrived(&targets, 1).await;
    assert!(!targets.journal()[0].started);
    command(&targets, "a", |command| command.restore = true).await;
    hung.await
        .expect("a task")
        .expect_err("cut without an answer");
    assert_eq!(search(address, "next").await.status(), 200);
}

/// Guards against a target that loses its port while it is down, or that is not quite down.
#[rstest]
#[tokio::test]
async fn refuses_connections_while_down() {
    let targets = open(vec![spec("a")]).await;
    let address = targets.address("a").expect("a target");
    let mut idle = TcpStream::connect(address).await.expect("connected");
    for _ in 0..3 {
        command(&targets, "a", |command| command.down = Some(true)).await;
        let refused = TcpStream::connect(address).await.expect_err("refused");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        let other = TcpSocket::new_v4().expect("a socket");
        other.bind(address).expect_err("the port stays reserved");
        command(&targets, "a", |command| command.restore = true).await;
        assert_eq!(search(address, "r").await.status(), 200);
    }
    let ended = tokio::time::timeout(WAIT_TIMEOUT, idle.read_u8()).await;
    ended.expect("it is cut").expect_err("without a byte");
}

/// Guards against a status that is true when a test needs a wrong one.
#[rstest]
#[tokio::test]
async fn shows_a_misleading_status() {
    let mut only = spec("a");
    only.cold_answers = 10;
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    assert_eq!(state(address).await, "cold");
    command(&targets, "a", |command| {
        command.misleading_status = Some(true);
    })
    .await;
    assert_eq!(state(address).await, "warm");
    assert!(targets.summaries()[0].cold);
}

/// Guards against work after a drain that the verdict does not show, in the list or in its counts.
#[rstest]
#[tokio::test]
async fn reports_drains_to_the_list_and_in_the_verdict() {
    let list = members::bind(members::Config::default())
        .await
        .expect("a free port");
    let mut other = spec("b");
    other.data_centre = "dc2".to_owned();
    let targets = vec![spec("a"), other];
    let mut config = Config::new(Spec { seed: 1, targets });
    config.members = Some(list.address());
    let targets = target::bind(config).await.expect("free ports");
    let states = async || {
        let listing = call_json(list.address(), "GET", "/instances", &Value::Null).await;
        let listing: members::Listing =
            serde_json::from_value(listing.expect("the list")).expect("a listing");
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
            .expect("the list shows it");
    };
    assert_eq!(states().await, [live("a"), live("b")]);

    let drain = serde_json::json!({ "data_centre": "dc1", "drain": true });
    call_json(targets.admin(), "POST", "/admin/target", &drain)
        .await
        .expect("accepted");
    wait_for(&[leaving("a"), live("b")]).await;
    let a = targets.address("a").expect("a target");
    assert_eq!(search(a, "r1").await.status(), 503);
    assert_eq!(state(a).await, "draining");

    command(&targets, "b", |command| command.leave = Some(true)).await;
    wait_for(&[leaving("a"), leaving("b")]).await;
    let b = targets.address("b").expect("a target");
    assert_eq!(search(b, "r2").await.status(), 200);
    let verdict = targets.verdict().expect("a verdict");
    assert_eq!(
        (
            verdict.arrived_after_drain.count,
            verdict.started_after_drain.count
        ),
        (2, 1)
    );

    command(&targets, "a", |command| command.restore = true).await;
    wait_for(&[live("a"), leaving("b")]).await;
    assert_eq!(search(a, "r3").await.status(), 200);
    let verdict = targets.verdict().expect("a verdict");
    assert_eq!(
        verdict.arrived_after_drain.count, 2,
        "a restored target takes work"
    );
    assert_eq!(verdict.data_centres["dc1"].started, 1);
}

/// Guards against commands with a typing error that silently do nothing.
#[rstest]
#[case(r#"{ "name": "unknown", "drain": true }"#)]
#[case(r#"{ "drain": true }"#)]
#[case(r#"{ "name": "a", "data_centre": "dc1" }"#)]
#[case(r#"{ "name": "a", "drained": true }"#)]
#[case(r#"{ "name": "a", "slow_factor": 0 }"#)]
#[case(r#"{ "name": "a", "versions": [{ "version": 1, "shard": 2, "shards": 2 }] }"#)]
#[tokio::test]
async fn refuses_wrong_commands(#[case] body: &'static str) {
    let targets = open(vec![spec("a")]).await;
    let answer = call(targets.admin(), "POST", "/admin/target", &[], body).await;
    assert!(answer.expect("an answer").status().is_client_error());
}
