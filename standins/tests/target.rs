//! The targets' interface: answers, refusals, cancellation and deadlines.

mod support;

use rstest::rstest;
use serde_json::{Value, json as object};
use standins::http::{call, call_json};
use standins::target::spec::Spec;
use standins::target::{self, Answer, Config, expected_hits};
use support::target::{
    ENDLESS_MS, QUERY, Search, WAIT_TIMEOUT, command, constant_time, header, holding, json, open,
    search, spec, wait, wait_arrived, wait_started,
};

/// Guards against answers that a checker cannot recompute.
#[rstest]
#[tokio::test]
async fn answers_as_expected() {
    let targets = open(vec![spec("a"), spec("b")]).await;
    let a = targets.address("a").expect("a target");
    let mut request = Search::new("r1");
    request.attempt = 3;
    let answer = request.send(a).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "Request-Id"), "r1");
    assert_eq!(header(&answer, "Attempt"), "3");
    assert_eq!(header(&answer, "Index-Version"), "1");
    assert_eq!(header(&answer, "Shard"), "0");
    let status = call_json(a, "GET", "/status", &Value::Null)
        .await
        .expect("the status");
    assert_eq!(
        header(&answer, "Generation"),
        status["generation"].to_string()
    );
    assert_eq!(status["state"], "warm");
    assert_eq!(
        status["versions"],
        object!([{ "version": 1, "shard": 0, "shards": 2 }])
    );

    let body: Answer = serde_json::from_slice(answer.body()).expect("hits");
    assert_eq!(body.hits, expected_hits(1, 0, QUERY.as_bytes()));
    let b = targets.address("b").expect("a target");
    assert_eq!(
        search(b, "r2").await.body(),
        answer.body(),
        "replicas agree"
    );
}

/// Guards against snapshots, shards or queries that cannot be told apart by their hits.
#[rstest]
#[case::version(2, 0, "monogram")]
#[case::shard(1, 1, "monogram")]
#[case::query(1, 0, "crest")]
fn hits_differ_by(#[case] version: u64, #[case] shard: u32, #[case] body: &str) {
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

/// Guards against refused work that runs all the same, or that is refused for the wrong reason.
#[rstest]
#[case::other_version(410, |search: &mut Search| search.version = 2)]
#[case::other_shard(410, |search: &mut Search| search.shard = 1)]
#[case::no_time_left(408, |search: &mut Search| search.deadline_ms = 0)]
#[case::malformed(400, |search: &mut Search| search.id.clear())]
#[tokio::test]
async fn refuses_before_the_start(#[case] status: u16, #[case] change: fn(&mut Search)) {
    let mut only = spec("a");
    only.cold_answers = 10;
    let targets = open(vec![only]).await;
    let mut request = Search::new("r1");
    change(&mut request);
    let address = targets.address("a").expect("a target");
    let answer = if status == 400 {
        call(address, "POST", "/search", &[], QUERY).await
    } else {
        request.send(address).await
    };
    assert_eq!(answer.expect("a refusal").status(), status);
    let verdict = targets.verdict().expect("a verdict");
    assert_eq!(verdict.started, 0);
    assert_eq!(verdict.requests + verdict.malformed, 1);
    assert_eq!(verdict.cold_overruns, 0);
}

/// Guards against a queue without a bound, and against queued work that never gets its slot.
#[rstest]
#[tokio::test]
async fn sheds_load_beyond_slots_and_queue() {
    let mut only = spec("a");
    only.slots = 1;
    only.queue = 1;
    only.time = constant_time(ENDLESS_MS);
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let running = Search::new("running").spawn(address);
    wait_started(&targets, 1).await;
    let queued = Search::new("queued").spawn(address);
    wait_arrived(&targets, 2).await;
    let status = call_json(address, "GET", "/status", &Value::Null)
        .await
        .expect("the status");
    assert_eq!(
        status["load"],
        object!({ "running": 1, "queued": 1, "slots": 1 })
    );

    let shed = search(address, "shed").await;
    assert_eq!(shed.status(), 429);
    assert_eq!(header(&shed, "Retry-After-Ms"), "70");

    cancel(address, "running").await;
    let cancelled = running.await.expect("a task").expect("an answer");
    assert_eq!(
        (cancelled.status().as_u16(), &json(&cancelled)["started"]),
        (499, &object!(true))
    );
    wait_started(&targets, 2).await;
    cancel(address, "queued").await;
    queued.await.expect("a task").expect("an answer");
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
        .expect("an answer");
    assert_eq!(json(&answer), object!({ "cancelled": true }));
}

/// Guards against a cancelled request in the queue that is counted as run.
#[rstest]
#[tokio::test]
async fn cancels_queued_work_before_its_start() {
    let mut only = spec("a");
    only.slots = 1;
    only.queue = 1;
    only.time = constant_time(ENDLESS_MS);
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let _running = Search::new("running").spawn(address);
    wait_started(&targets, 1).await;
    let queued = Search::new("queued").spawn(address);
    wait_arrived(&targets, 2).await;
    cancel(address, "queued").await;
    let answer = queued.await.expect("a task").expect("an answer");
    assert_eq!(
        (answer.status().as_u16(), &json(&answer)["started"]),
        (499, &object!(false))
    );
    assert!(!targets.journal()[1].started);
    let headers = [("Request-Id", "unknown"), ("Attempt", "0")];
    let answer = call(address, "POST", "/cancel", &headers, "")
        .await
        .expect("an answer");
    assert_eq!(json(&answer), object!({ "cancelled": false }));
}

/// Guards against a passed deadline that says "not run" about work that had begun.
#[rstest]
#[tokio::test]
async fn ends_at_the_deadline() {
    let mut only = spec("a");
    only.slots = 1;
    only.queue = 1;
    only.time = constant_time(ENDLESS_MS);
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let mut short = Search::new("at work");
    short.deadline_ms = 2_000;
    let running = short.spawn(address);
    wait_started(&targets, 1).await;
    let mut short = Search::new("queued");
    short.deadline_ms = 1;
    let queued = short.send(address).await.expect("an answer");
    assert_eq!(
        (queued.status().as_u16(), &json(&queued)["started"]),
        (408, &object!(false))
    );
    let running = running.await.expect("a task").expect("an answer");
    assert_eq!(
        (running.status().as_u16(), &json(&running)["started"]),
        (504, &object!(true))
    );
}

/// Guards against work that dies with its connection: a target goes on without a reader.
#[rstest]
#[tokio::test]
async fn runs_on_when_the_caller_leaves() {
    let mut only = spec("a");
    only.connections = 1;
    only.time = constant_time(ENDLESS_MS);
    let targets = open(vec![only]).await;
    let address = targets.address("a").expect("a target");
    let left = Search::new("left").spawn(address);
    wait_started(&targets, 1).await;
    left.abort();
    // The only place is free again once the target has noticed that the connection ended.
    let headers = [("Request-Id", "left"), ("Attempt", "0")];
    let answered = async {
        loop {
            if let Ok(answer) = call(address, "POST", "/cancel", &headers, "").await {
                return json(&answer);
            }
        }
    };
    let answer = tokio::time::timeout(WAIT_TIMEOUT, answered)
        .await
        .expect("a place");
    assert_eq!(answer, object!({ "cancelled": true }), "it still ran");
    wait(&targets, |entries| entries[0].cancelled).await;
    let entry = &targets.journal()[0];
    assert_eq!((entry.answered, entry.status), (false, 0));
}

/// Guards against a non-idempotent request that runs twice unnoticed.
#[rstest]
#[tokio::test]
async fn counts_doubled_requests_over_all_targets() {
    let targets = open(vec![spec("a"), spec("b")]).await;
    let a = targets.address("a").expect("a target");
    let b = targets.address("b").expect("a target");
    let send = async |id: &str, attempt: u32, idempotent: bool, address| {
        let mut request = Search::new(id);
        request.attempt = attempt;
        request.idempotent = idempotent;
        request.send(address).await.expect("an answer")
    };
    send("once", 0, false, a).await;
    send("hedged", 0, true, a).await;
    send("hedged", 1, true, b).await;
    command(&targets, "b", |command| command.drain = Some(true)).await;
    send("refused first", 0, false, b).await;
    send("refused first", 1, false, a).await;
    let verdict = targets.verdict().expect("a verdict");
    assert_eq!((verdict.non_idempotent_started, verdict.doubled), (2, 0));

    command(&targets, "b", |command| command.restore = true).await;
    send("once", 1, false, b).await;
    let verdict = call_json(targets.admin(), "GET", "/admin/verdict", &Value::Null).await;
    let verdict = verdict.expect("a verdict");
    assert_eq!(
        (&verdict["doubled"], &verdict["doubled_ids"]),
        (&object!(1), &object!(["once"]))
    );
}

/// Guards against a version move that the targets do not follow.
#[rstest]
#[tokio::test]
async fn moves_to_another_version() {
    let targets = open(vec![spec("a")]).await;
    let address = targets.address("a").expect("a target");
    command(&targets, "a", |command| {
        command.versions = Some(vec![holding(2), holding(3)]);
    })
    .await;
    assert_eq!(search(address, "old").await.status(), 410);
    let mut request = Search::new("new");
    request.version = 2;
    let answer = request.send(address).await.expect("an answer");
    let body: Answer = serde_json::from_slice(answer.body()).expect("hits");
    assert_eq!(body.hits, expected_hits(2, 0, QUERY.as_bytes()));
}

/// Guards against a verdict on a part of the requests.
#[rstest]
#[tokio::test]
async fn gives_no_verdict_when_the_journal_is_full() {
    let spec = Spec {
        seed: 1,
        targets: vec![spec("a")],
    };
    let mut config = Config::new(spec);
    config.journal_limit = 2;
    let targets = target::bind(config).await.expect("free ports");
    let address = targets.address("a").expect("a target");
    search(address, "r1").await;
    targets.verdict().expect("the journal has room");
    search(address, "r2").await;
    targets.verdict().expect_err("the journal is full");
    assert_eq!(search(address, "r3").await.status(), 507);
    let answer = call(targets.admin(), "GET", "/admin/verdict", &[], "").await;
    assert_eq!(answer.expect("an answer").status(), 507);
}

/// Guards against a journal whose pages lose entries.
#[rstest]
#[tokio::test]
async fn shows_the_journal_from_a_number() {
    let targets = open(vec![spec("a")]).await;
    let address = targets.address("a").expect("a target");
    for id in ["r1", "r2", "r3"] {
        search(address, id).await;
    }
    let page = call_json(
        targets.admin(),
        "GET",
        "/admin/journal?from=1",
        &Value::Null,
    )
    .await;
    let page: target::JournalPage = serde_json::from_value(page.expect("a page")).expect("a page");
    assert_eq!((page.total, page.next), (3, None));
    assert_eq!(page.entries, targets.journal()[1..]);
    let ended = page.entries[1].ended_ms.expect("it ended");
    let verdict = targets.verdict().expect("a verdict");
    let dc1 = verdict.data_centres["dc1"];
    assert_eq!((dc1.requests, dc1.started), (3, 3));
    assert!(dc1.last_start_ms.expect("a start") <= ended);
}

/// Guards against a spec whose error shows only in a wrong measurement.
#[rstest]
#[case::twice("name: a", "name: b")]
#[case::no_slots("slots: 2", "slots: 0")]
#[case::shard_beyond("shard: 1", "shard: 2")]
#[case::probability("straggler_probability: 0.5", "straggler_probability: 1.5")]
#[case::unknown_field("queue: 3", "queues: 3")]
fn refuses_a_wrong_spec(#[case] right: &str, #[case] wrong: &str) {
    let yaml = "
targets:
- { name: a, data_centre: dc1, index: i, service: s, replica: 0, slots: 2, connections: 9,
    queue: 3, time: { straggler_probability: 0.5 }, cold_overrun: { fail: { for_ms: 5 } },
    versions: [{ version: 1, shard: 1, shards: 2 }] }
- { name: b, data_centre: dc1, index: i, service: s, replica: 1, slots: 2, connections: 9,
    versions: [] }
";
    let spec = Spec::parse(yaml).expect("a right spec");
    let written = spec.to_yaml().expect("YAML");
    assert_eq!(Spec::parse(&written).expect("what was written"), spec);
    Spec::parse(&yaml.replacen(right, wrong, 1)).expect_err("a wrong spec");
}

/// Guards against targets that outlive the value that a test drops.
#[rstest]
#[tokio::test]
async fn closes() {
    let targets = open(vec![spec("a")]).await;
    let address = targets.address("a").expect("a target");
    let closing = tokio::time::timeout(WAIT_TIMEOUT, targets.close());
    closing.await.expect("all tasks end");
    Search::new("r1")
        .send(address)
        .await
        .expect_err("nobody listens");
}
