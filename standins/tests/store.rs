//! The store stand-in behaves like the key-value part of the etcd v3 JSON mapping.

mod support;

use rstest::rstest;
use serde_json::{Value, json};
use standins::http::{call, call_json};
use standins::store::{CallKind, MAX_VALUE_BYTES};
use support::{decode, encode, get, number, open, post, put, revision};
use tokio::task::JoinSet;

fn keys(answer: &Value) -> Vec<String> {
    let kvs = answer["kvs"].as_array().cloned().unwrap_or_default();
    kvs.iter().map(|kv| decode(&kv["key"])).collect()
}

/// Guards against two winners of a race for the same key.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_many_creators_wins() {
    let store = open().await;
    let address = store.address();
    let mut racers = JoinSet::new();
    for racer in 0..32 {
        racers.spawn(async move {
            let body = json!({
                "compare": [{ "key": encode("k"), "target": "VERSION", "version": "0" }],
                "success": [{ "request_put": { "key": encode("k"), "value": encode(racer.to_string()) } }],
                "failure": [{ "request_range": { "key": encode("k") } }],
            });
            (racer.to_string(), post(address, "/v3/kv/txn", body).await)
        });
    }
    let outcomes = racers.join_all().await;
    let winners: Vec<_> = outcomes
        .iter()
        .filter(|(_, answer)| answer.get("succeeded") == Some(&json!(true)))
        .collect();
    assert_eq!(winners.len(), 1);
    let winner = Some(winners[0].0.clone());
    assert_eq!(get(address, "k").await, winner);
    for (_, answer) in &outcomes {
        if answer.get("succeeded").is_none() {
            let range = &answer["responses"][0]["response_range"];
            assert_eq!(Some(decode(&range["kvs"][0]["value"])), winner);
        }
    }
    assert_eq!(store.journal().len(), 1, "losers write nothing");
}

/// Guards against lost updates between writers that compare the revision.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_increment_is_lost() {
    const WRITERS: i64 = 8;
    const INCREMENTS: i64 = 25;
    let store = open().await;
    let address = store.address();
    put(address, "n", "0").await;
    let mut writers = JoinSet::new();
    for _ in 0..WRITERS {
        writers.spawn(async move {
            let mut done = 0;
            while done < INCREMENTS {
                let read = post(address, "/v3/kv/range", json!({ "key": encode("n") })).await;
                let kv = &read["kvs"][0];
                let next: i64 = decode(&kv["value"]).parse::<i64>().expect("a number") + 1;
                let body = json!({
                    "compare": [{
                        "key": encode("n"), "target": "MOD", "result": "EQUAL",
                        "mod_revision": kv["mod_revision"],
                    }],
                    "success": [{ "request_put": { "key": encode("n"), "value": encode(next.to_string()) } }],
                });
                let answer = post(address, "/v3/kv/txn", body).await;
                done += i64::from(answer.get("succeeded").is_some());
            }
        });
    }
    writers.join_all().await;
    let total = WRITERS * INCREMENTS;
    assert_eq!(get(address, "n").await, Some(total.to_string()));
    let read = post(address, "/v3/kv/range", json!({ "key": encode("n") })).await;
    assert_eq!(number(&read["kvs"][0]["version"]), total + 1);
}

/// Guards against comparisons that hold when they must not, the base of every compare-and-swap.
#[rstest]
#[case::version_equal("VERSION", "EQUAL", json!({ "version": "2" }), true)]
#[case::version_as_number("VERSION", "EQUAL", json!({ "version": 2 }), true)]
#[case::version_greater("VERSION", "GREATER", json!({ "version": "2" }), false)]
#[case::create_less("CREATE", "LESS", json!({ "create_revision": "3" }), true)]
#[case::create_camel_case("CREATE", "EQUAL", json!({ "createRevision": "2" }), true)]
#[case::mod_equal("MOD", "EQUAL", json!({ "mod_revision": "3" }), true)]
#[case::mod_not_equal("MOD", "NOT_EQUAL", json!({ "mod_revision": "3" }), false)]
#[case::value_equal("VALUE", "EQUAL", json!({ "value": encode("b") }), true)]
#[case::value_greater("VALUE", "GREATER", json!({ "value": encode("a") }), true)]
#[case::value_of_absent_key("VALUE", "NOT_EQUAL", json!({ "key": encode("absent"), "value": encode("b") }), false)]
#[case::mod_of_absent_key("MOD", "EQUAL", json!({ "key": encode("absent") }), true)]
#[tokio::test]
async fn compares(
    #[case] target: &str,
    #[case] result: &str,
    #[case] with: Value,
    #[case] holds: bool,
) {
    let store = open().await;
    let address = store.address();
    put(address, "k", "a").await;
    put(address, "k", "b").await;
    let mut compare = json!({ "key": encode("k"), "target": target, "result": result });
    let with = with.as_object().expect("an object").clone();
    compare.as_object_mut().expect("an object").extend(with);
    let answer = post(address, "/v3/kv/txn", json!({ "compare": [compare] })).await;
    assert_eq!(answer.get("succeeded").is_some(), holds);
}

/// Guards against a lost answer that also loses the write, and against losing more than was asked.
#[rstest]
#[tokio::test]
async fn a_lost_answer_takes_effect() {
    let store = open().await;
    let address = store.address();
    post(address, "/admin/faults", json!({ "lose_answers": 1 })).await;
    let body = json!({ "key": encode("k"), "value": encode("v") });
    call_json(address, "POST", "/v3/kv/put", &body)
        .await
        .expect_err("the answer is lost");
    assert_eq!(get(address, "k").await, Some("v".to_owned()));
    assert_eq!(
        put(address, "k", "w").await,
        3,
        "the lost write made revision 2"
    );
}

/// Guards against a fault that is spent on a transaction without an effect.
#[rstest]
#[tokio::test]
async fn a_failed_comparison_is_answered_while_answers_are_lost() {
    let store = open().await;
    let address = store.address();
    post(address, "/admin/faults", json!({ "lose_answers": 1 })).await;
    let create = |version: &str| {
        json!({
            "compare": [{ "key": encode("k"), "target": "VERSION", "version": version }],
            "success": [{ "request_put": { "key": encode("k"), "value": encode("v") } }],
        })
    };
    post(address, "/v3/kv/txn", create("1")).await;
    call_json(address, "POST", "/v3/kv/txn", &create("0"))
        .await
        .expect_err("the answer to the first write is lost");
    assert_eq!(get(address, "k").await, Some("v".to_owned()));
}

/// Guards against a read that misses or repeats the records changed since the last read.
#[rstest]
#[tokio::test]
async fn ranges_by_prefix_and_revision() {
    let store = open().await;
    let address = store.address();
    for key in ["a", "cells/1", "cells/2", "cells/3", "d"] {
        put(address, key, "v").await;
    }
    let last = put(address, "cells/2", "w").await;
    let prefix = json!({ "key": encode("cells/"), "range_end": encode("cells0") });
    let range = |extra: Value| {
        let mut body = prefix.clone();
        let extra = extra.as_object().expect("an object").clone();
        body.as_object_mut().expect("an object").extend(extra);
        post(address, "/v3/kv/range", body)
    };
    let all = range(json!({ "serializable": true })).await;
    assert_eq!(keys(&all), ["cells/1", "cells/2", "cells/3"]);
    assert_eq!(all["count"], "3");
    assert_eq!(revision(&all), last);

    let changed = range(json!({ "min_mod_revision": last.to_string() })).await;
    assert_eq!(keys(&changed), ["cells/2"]);
    let none = range(json!({ "min_mod_revision": (last + 1).to_string() })).await;
    assert_eq!(none.get("kvs"), None, "zero values are absent");

    let limited = range(json!({ "limit": "2" })).await;
    assert_eq!(keys(&limited), ["cells/1", "cells/2"]);
    assert_eq!(limited["more"], true);
    let keys_only = range(json!({ "keys_only": true })).await;
    assert_eq!(keys_only["kvs"][0].get("value"), None);

    let body = json!({ "key": encode("cells/3"), "range_end": encode("\0") });
    let from = post(address, "/v3/kv/range", body).await;
    assert_eq!(keys(&from), ["cells/3", "d"]);
    let body = json!({ "key": encode("b"), "range_end": encode("a") });
    let empty = post(address, "/v3/kv/range", body).await;
    assert_eq!(empty.get("count"), None);
}

/// Guards against a transaction that takes effect in part or makes more than one revision.
#[rstest]
#[tokio::test]
async fn a_transaction_is_one_revision() {
    let store = open().await;
    let address = store.address();
    put(address, "old", "v").await;
    let body = json!({ "success": [
        { "request_put": { "key": encode("a"), "value": encode("1") } },
        { "request_delete_range": { "key": encode("old") } },
        { "request_range": { "key": encode("a") } },
    ] });
    let answer = post(address, "/v3/kv/txn", body).await;
    assert_eq!(revision(&answer), 3);
    let responses = &answer["responses"];
    assert_eq!(responses[1]["response_delete_range"]["deleted"], "1");
    let read = &responses[2]["response_range"]["kvs"][0];
    assert_eq!(
        (decode(&read["value"]), number(&read["mod_revision"])),
        ("1".to_owned(), 3)
    );

    let too_large = encode(vec![b'x'; MAX_VALUE_BYTES + 1]);
    let body = json!({ "success": [
        { "request_put": { "key": encode("b"), "value": encode("1") } },
        { "request_put": { "key": encode("c"), "value": too_large } },
    ] });
    call_json(address, "POST", "/v3/kv/txn", &body)
        .await
        .expect_err("refused");
    assert_eq!(get(address, "b").await, None);
    let journal = call_json(address, "GET", "/admin/journal", &Value::Null).await;
    let journal = journal.expect("the journal");
    let last = &journal["writes"][1];
    assert_eq!(last["revision"], 3);
    assert_eq!(
        (&last["puts"], &last["deletes"]),
        (&json!(["a"]), &json!(["old"]))
    );
    assert_eq!(journal["writes"][2], Value::Null);
}

/// Guards against a stand-in that accepts what the real store refuses.
#[rstest]
#[case::no_key("/v3/kv/put", json!({ "value": encode("v") }))]
#[case::large_value("/v3/kv/put", json!({ "key": encode("k"), "value": encode(vec![0; MAX_VALUE_BYTES + 1]) }))]
#[case::unknown_lease("/v3/kv/put", json!({ "key": encode("k"), "lease": "77" }))]
#[case::not_base64("/v3/kv/range", json!({ "key": "k" }))]
#[case::unknown_field("/v3/kv/range", json!({ "key": encode("k"), "keyz": 1 }))]
#[case::twice("/v3/kv/txn", json!({ "success": [
    { "request_put": { "key": encode("k") } }, { "request_put": { "key": encode("k") } },
] }))]
#[case::unknown_target("/v3/kv/txn", json!({ "compare": [{ "key": encode("k"), "target": "OTHER" }] }))]
#[case::unknown_path("/v3/kv/compaction", json!({}))]
#[tokio::test]
async fn refuses(#[case] path: &str, #[case] body: Value) {
    let store = open().await;
    let answer = call(store.address(), "POST", path, &[], body.to_string())
        .await
        .expect("an answer");
    assert!(answer.status().is_client_error(), "{}", answer.status());
    assert_eq!(store.journal(), []);
}

/// Guards against an off-by-one in the limit for values.
#[rstest]
#[tokio::test]
async fn takes_a_value_of_exactly_the_limit() {
    let store = open().await;
    let value = "x".repeat(MAX_VALUE_BYTES);
    put(store.address(), "k", &value).await;
    assert_eq!(get(store.address(), "k").await, Some(value));
}

/// Guards against a wrong count, from which the control plane's cost per node is judged.
#[rstest]
#[tokio::test]
async fn counts_calls_by_kind() {
    let store = open().await;
    let address = store.address();
    put(address, "k", "v").await;
    get(address, "k").await;
    let read = json!({ "success": [{ "request_range": { "key": encode("k") } }] });
    post(address, "/v3/kv/txn", read).await;
    let write = json!({ "failure": [{ "request_put": { "key": encode("k") } }] });
    post(address, "/v3/kv/txn", write).await;
    post(address, "/v3/lease/grant", json!({ "TTL": "60" })).await;
    let calls = call_json(address, "GET", "/admin/calls", &Value::Null).await;
    let calls: standins::store::CallCounts =
        serde_json::from_value(calls.expect("the calls")).expect("the calls");
    assert_eq!(calls, store.calls());
    let expected = [
        (CallKind::Range, 1),
        (CallKind::TxnRead, 1),
        (CallKind::Put, 1),
        (CallKind::TxnWrite, 1),
        (CallKind::LeaseGrant, 1),
    ];
    assert_eq!(calls.kinds, expected.into());
    assert_eq!((calls.reads, calls.writes), (2, 3));
    assert!((1..=2).contains(&calls.highest_reads_per_second));
    assert!((1..=3).contains(&calls.highest_writes_per_second));
}

/// Guards against an outage that lets calls through, and against one that cannot be ended.
#[rstest]
#[tokio::test]
async fn answers_nothing_while_down() {
    let store = open().await;
    let address = store.address();
    put(address, "k", "v").await;
    post(address, "/admin/faults", json!({ "down": true })).await;
    call(address, "POST", "/v3/kv/range", &[], "{}")
        .await
        .expect_err("no answer while down");
    assert_eq!(store.calls().reads, 0);
    post(address, "/admin/faults", json!({ "down": false })).await;
    assert_eq!(get(address, "k").await, Some("v".to_owned()));
}

/// Guards against truncation that tests of damaged records would not see.
#[rstest]
#[tokio::test]
async fn truncates_values() {
    let store = open().await;
    let address = store.address();
    put(address, "k", "abcdef").await;
    post(address, "/admin/faults", json!({ "truncate_values": true })).await;
    assert_eq!(get(address, "k").await, Some("abc".to_owned()));
    post(
        address,
        "/admin/faults",
        json!({ "truncate_values": false }),
    )
    .await;
    assert_eq!(get(address, "k").await, Some("abcdef".to_owned()));
}

/// Guards against a slow write that is lost when its caller gives up: it must land late instead.
#[rstest]
#[tokio::test]
async fn a_slow_write_lands_after_its_caller_left() {
    let store = open().await;
    let address = store.address();
    post(address, "/admin/faults", json!({ "delay_ms": 400 })).await;
    let body = json!({ "key": encode("k"), "value": encode("v") });
    let write = tokio::spawn(async move { call_json(address, "POST", "/v3/kv/put", &body).await });
    while store.calls().writes == 0 {
        tokio::task::yield_now().await;
    }
    write.abort();
    assert!(write.await.is_err_and(|error| error.is_cancelled()));
    while store.journal().is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(store.journal()[0].puts, ["k"]);
}
