//! Tests of the interface of targets: responses, refusals, cancellation and deadlines.

mod support;

use rstest::rstest;
use serde_json::{Value, json};
use standins::http::{call, call_json};
use standins::target::spec::Spec;
use standins::target::{self, Answer, Config, expected_hits};
use support::target::{
    ENDLESS_MS, QUERY, SearchRequest, WAIT_TIMEOUT, constant_time, first_shard_of_version,
    header_text, json_body, send_command, send_search, start_targets, wait_for_arrivals,
    wait_for_journal, wait_for_starts, warm_target,
};

/// Fails if a test cannot compute the response of a target, or if replicas give different ones.
#[rstest]
#[tokio::test]
async fn response_has_expected_headers_and_hits() {
    let targets = start_targets(vec![warm_target("a"), warm_target("b")]).await;
    let a = targets.address("a").expect("target should be in the spec");
    let mut request = SearchRequest::new("r1");
    request.attempt = 3;
    let answer = request.send(a).await.expect("request should be answered");
    assert_eq!(answer.status(), 200);
    assert_eq!(header_text(&answer, "Request-Id"), "r1");
    assert_eq!(header_text(&answer, "Attempt"), "3");
    assert_eq!(header_text(&answer, "Index-Version"), "1");
    assert_eq!(header_text(&answer, "Shard"), "0");
    let status = call_json(a, "GET", "/status", &Value::Null)
        .await
        .expect("status should be readable");
    assert_eq!(
        header_text(&answer, "Generation"),
        status["generation"].to_string()
    );
    assert_eq!(status["state"], "warm");
    assert_eq!(
        status["versions"],
        json!([{ "version": 1, "shard": 0, "shards": 2 }])
    );

    let body: Answer = serde_json::from_slice(answer.body()).expect("body should contain hits");
    assert_eq!(body.hits, expected_hits(1, 0, QUERY.as_bytes()));
    let b = targets.address("b").expect("target should be in the spec");
    assert_eq!(
        send_search(b, "r2").await.body(),
        answer.body(),
        "replicas returned different answers"
    );
}

/// Fails if versions, shards or queries cannot be told apart by their hits.
#[rstest]
#[case::version(2, 0, "monogram")]
#[case::shard(1, 1, "monogram")]
#[case::query(1, 0, "crest")]
fn hits_differ_by_version_shard_and_query(
    #[case] version: u64,
    #[case] shard: u32,
    #[case] body: &str,
) {
    let one = expected_hits(1, 0, b"monogram");
    let other = expected_hits(version, shard, body.as_bytes());
    assert!(one.is_sorted_by(|a, b| a.score >= b.score));
    for hit in &other {
        assert!(
            one.iter()
                .all(|same| same.id != hit.id && same.score.to_bits() != hit.score.to_bits())
        );
    }
}

/// Fails if a refused request runs all the same, or is refused with the wrong status.
#[rstest]
#[case::version_not_held(410, |search: &mut SearchRequest| search.version = 2)]
#[case::shard_not_held(410, |search: &mut SearchRequest| search.shard = 1)]
#[case::deadline_passed(408, |search: &mut SearchRequest| search.deadline_ms = 0)]
#[case::malformed(400, |search: &mut SearchRequest| search.id.clear())]
#[tokio::test]
async fn rejects_request_without_starting_work(
    #[case] status: u16,
    #[case] change: fn(&mut SearchRequest),
) {
    let mut target = warm_target("a");
    target.cold_answers = 10;
    let targets = start_targets(vec![target]).await;
    let mut request = SearchRequest::new("r1");
    change(&mut request);
    let address = targets.address("a").expect("target should be in the spec");
    let answer = if status == 400 {
        call(address, "POST", "/search", &[], QUERY).await
    } else {
        request.send(address).await
    };
    assert_eq!(
        answer
            .expect("request should be answered with a refusal")
            .status(),
        status
    );
    let verdict = targets.verdict().expect("verdict should be available");
    assert_eq!(verdict.started, 0);
    assert_eq!(verdict.requests + verdict.malformed, 1);
    assert_eq!(verdict.cold_overruns, 0);
}

/// Fails if the queue is unbounded, or if a queued request never gets a slot.
#[rstest]
#[tokio::test]
async fn sheds_load_beyond_slots_and_queue() {
    let mut target = warm_target("a");
    target.slots = 1;
    target.queue = 1;
    target.time = constant_time(ENDLESS_MS);
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let running = SearchRequest::new("running").spawn(address);
    wait_for_starts(&targets, 1).await;
    let queued = SearchRequest::new("queued").spawn(address);
    wait_for_arrivals(&targets, 2).await;
    let status = call_json(address, "GET", "/status", &Value::Null)
        .await
        .expect("status should be readable");
    assert_eq!(
        status["load"],
        json!({ "running": 1, "queued": 1, "slots": 1 })
    );

    let shed = send_search(address, "shed").await;
    assert_eq!(shed.status(), 429);
    assert_eq!(header_text(&shed, "Retry-After-Ms"), "70");

    cancel(address, "running").await;
    let cancelled = running
        .await
        .expect("task should not panic")
        .expect("request should be answered");
    assert_eq!(
        (
            cancelled.status().as_u16(),
            &json_body(&cancelled)["started"]
        ),
        (499, &json!(true))
    );
    wait_for_starts(&targets, 2).await;
    cancel(address, "queued").await;
    queued
        .await
        .expect("task should not panic")
        .expect("request should be answered");
    let journal = targets.journal();
    let flags: Vec<_> = journal
        .iter()
        .map(|entry| (entry.started, entry.finished, entry.cancelled, entry.status))
        .collect();
    assert_eq!(
        flags,
        [
            (true, false, true, 499),
            (true, false, true, 499),
            (false, false, false, 429)
        ]
    );
}

async fn cancel(address: std::net::SocketAddr, id: &str) {
    let headers = [("Request-Id", id), ("Attempt", "0")];
    let answer = call(address, "POST", "/cancel", &headers, "")
        .await
        .expect("request should be answered");
    assert_eq!(json_body(&answer), json!({ "cancelled": true }));
}

/// Fails if a request that was cancelled in the queue is reported as started.
#[rstest]
#[tokio::test]
async fn cancels_queued_request_without_starting_it() {
    let mut target = warm_target("a");
    target.slots = 1;
    target.queue = 1;
    target.time = constant_time(ENDLESS_MS);
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let _running = SearchRequest::new("running").spawn(address);
    wait_for_starts(&targets, 1).await;
    let queued = SearchRequest::new("queued").spawn(address);
    wait_for_arrivals(&targets, 2).await;
    cancel(address, "queued").await;
    let answer = queued
        .await
        .expect("task should not panic")
        .expect("request should be answered");
    assert_eq!(
        (answer.status().as_u16(), &json_body(&answer)["started"]),
        (499, &json!(false))
    );
    assert!(!targets.journal()[1].started);
    let headers = [("Request-Id", "unknown"), ("Attempt", "0")];
    let answer = call(address, "POST", "/cancel", &headers, "")
        .await
        .expect("request should be answered");
    assert_eq!(json_body(&answer), json!({ "cancelled": false }));
}

/// Fails if a response at the deadline says that work had not started although it had.
#[rstest]
#[tokio::test]
async fn reports_at_deadline_whether_work_started() {
    let mut target = warm_target("a");
    target.slots = 1;
    target.queue = 1;
    target.time = constant_time(ENDLESS_MS);
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let mut short = SearchRequest::new("at work");
    short.deadline_ms = 2_000;
    let running = short.spawn(address);
    wait_for_starts(&targets, 1).await;
    let mut short = SearchRequest::new("queued");
    short.deadline_ms = 1;
    let queued = short
        .send(address)
        .await
        .expect("request should be answered");
    assert_eq!(
        (queued.status().as_u16(), &json_body(&queued)["started"]),
        (408, &json!(false))
    );
    let running = running
        .await
        .expect("task should not panic")
        .expect("request should be answered");
    assert_eq!(
        (running.status().as_u16(), &json_body(&running)["started"]),
        (504, &json!(true))
    );
}

/// Fails if work ends with its connection; a target continues without a reader.
#[rstest]
#[tokio::test]
async fn work_continues_after_caller_disconnects() {
    let mut target = warm_target("a");
    target.connections = 1;
    target.time = constant_time(ENDLESS_MS);
    let targets = start_targets(vec![target]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let left = SearchRequest::new("left").spawn(address);
    wait_for_starts(&targets, 1).await;
    left.abort();
    // The target accepts one connection, and does so again once it has noticed that the old one ended.
    let headers = [("Request-Id", "left"), ("Attempt", "0")];
    let answered = async {
        loop {
            if let Ok(answer) = call(address, "POST", "/cancel", &headers, "").await {
                return json_body(&answer);
            }
        }
    };
    let answer = tokio::time::timeout(WAIT_TIMEOUT, answered)
        .await
        .expect("connection should be accepted after the old one ended");
    assert_eq!(
        answer,
        json!({ "cancelled": true }),
        "request had ended with its connection"
    );
    wait_for_journal(&targets, |entries| entries[0].cancelled).await;
    let entry = &targets.journal()[0];
    assert_eq!((entry.answered, entry.status), (false, 0));
}

/// Fails if the verdict misses a non-idempotent request that started twice, or counts a hedge or a retry
/// after a refusal as one.
#[rstest]
#[tokio::test]
async fn counts_doubled_requests_across_targets() {
    let targets = start_targets(vec![warm_target("a"), warm_target("b")]).await;
    let a = targets.address("a").expect("target should be in the spec");
    let b = targets.address("b").expect("target should be in the spec");
    let send = async |id: &str, attempt: u32, idempotent: bool, address| {
        let mut request = SearchRequest::new(id);
        request.attempt = attempt;
        request.idempotent = idempotent;
        request
            .send(address)
            .await
            .expect("request should be answered")
    };
    send("once", 0, false, a).await;
    send("hedged", 0, true, a).await;
    send("hedged", 1, true, b).await;
    send_command(&targets, "b", |command| command.drain = Some(true)).await;
    send("refused first", 0, false, b).await;
    send("refused first", 1, false, a).await;
    let verdict = targets.verdict().expect("verdict should be available");
    assert_eq!((verdict.non_idempotent_started, verdict.doubled), (2, 0));

    send_command(&targets, "b", |command| command.restore = true).await;
    send("once", 1, false, b).await;
    let verdict = call_json(targets.admin(), "GET", "/admin/verdict", &Value::Null).await;
    let verdict = verdict.expect("verdict should be available");
    assert_eq!(
        (&verdict["doubled"], &verdict["doubled_ids"]),
        (&json!(1), &json!(["once"]))
    );
}

/// Fails if a target does not follow a change of the versions that it holds.
#[rstest]
#[tokio::test]
async fn serves_only_versions_set_by_command() {
    let targets = start_targets(vec![warm_target("a")]).await;
    let address = targets.address("a").expect("target should be in the spec");
    send_command(&targets, "a", |command| {
        command.versions = Some(vec![first_shard_of_version(2), first_shard_of_version(3)]);
    })
    .await;
    assert_eq!(send_search(address, "old").await.status(), 410);
    let mut request = SearchRequest::new("new");
    request.version = 2;
    let answer = request
        .send(address)
        .await
        .expect("request should be answered");
    let body: Answer = serde_json::from_slice(answer.body()).expect("body should contain hits");
    assert_eq!(body.hits, expected_hits(2, 0, QUERY.as_bytes()));
}

/// Fails if there is a verdict although the journal may lack requests.
#[rstest]
#[tokio::test]
async fn full_journal_allows_no_verdict() {
    let spec = Spec {
        seed: 1,
        targets: vec![warm_target("a")],
    };
    let mut config = Config::new(spec);
    config.journal_limit = 2;
    let targets = target::bind(config)
        .await
        .expect("free ports should be available");
    let address = targets.address("a").expect("target should be in the spec");
    send_search(address, "r1").await;
    targets.verdict().expect("journal should have room");
    send_search(address, "r2").await;
    targets
        .verdict()
        .expect_err("verdict on a full journal should fail");
    assert_eq!(send_search(address, "r3").await.status(), 507);
    let answer = call(targets.admin(), "GET", "/admin/verdict", &[], "").await;
    assert_eq!(answer.expect("request should be answered").status(), 507);
}

/// Fails if pages of the journal lose entries.
#[rstest]
#[tokio::test]
async fn returns_journal_from_position() {
    let targets = start_targets(vec![warm_target("a")]).await;
    let address = targets.address("a").expect("target should be in the spec");
    for id in ["r1", "r2", "r3"] {
        send_search(address, id).await;
    }
    let page = call_json(
        targets.admin(),
        "GET",
        "/admin/journal?from=1",
        &Value::Null,
    )
    .await;
    let page: target::JournalPage =
        serde_json::from_value(page.expect("response should be a journal page"))
            .expect("response should be a journal page");
    assert_eq!((page.total, page.next), (3, None));
    assert_eq!(page.entries, targets.journal()[1..]);
    let ended = page.entries[1].ended_ms.expect("request should have ended");
    let verdict = targets.verdict().expect("verdict should be available");
    let dc1 = verdict.data_centres["dc1"];
    assert_eq!((dc1.requests, dc1.started), (3, 3));
    assert!(dc1.last_start_ms.expect("request should have started") <= ended);
}

/// Fails if an invalid spec is accepted; its error would show only in wrong measurements.
#[rstest]
#[case::duplicate_name("name: a", "name: b")]
#[case::no_slots("slots: 2", "slots: 0")]
#[case::shard_beyond_number_of_shards("shard: 1", "shard: 2")]
#[case::probability_above_one("straggler_probability: 0.5", "straggler_probability: 1.5")]
#[case::unknown_field("queue: 3", "queues: 3")]
fn rejects_invalid_spec(#[case] right: &str, #[case] wrong: &str) {
    let yaml = "
targets:
- { name: a, data_centre: dc1, index: i, service: s, replica: 0, slots: 2, connections: 9,
    queue: 3, time: { straggler_probability: 0.5 }, cold_overrun: { fail: { for_ms: 5 } },
    versions: [{ version: 1, shard: 1, shards: 2 }] }
- { name: b, data_centre: dc1, index: i, service: s, replica: 1, slots: 2, connections: 9,
    versions: [] }
";
    let spec = Spec::parse(yaml).expect("spec should be valid");
    let written = spec.to_yaml().expect("spec should be writable as YAML");
    assert_eq!(
        Spec::parse(&written).expect("written spec should be readable"),
        spec
    );
    Spec::parse(&yaml.replacen(right, wrong, 1)).expect_err("invalid spec should be rejected");
}

/// Fails if targets continue to run after they were closed.
#[rstest]
#[tokio::test]
async fn close_ends_all_tasks() {
    let targets = start_targets(vec![warm_target("a")]).await;
    let address = targets.address("a").expect("target should be in the spec");
    let closing = tokio::time::timeout(WAIT_TIMEOUT, targets.close());
    closing.await.expect("all tasks should end");
    SearchRequest::new("r1")
        .send(address)
        .await
        .expect_err("connection should be refused");
}
