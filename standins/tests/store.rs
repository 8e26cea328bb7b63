//! Tests that the store stand-in behaves like the key-value part of the etcd v3 JSON mapping.

mod support;

use rstest::rstest;
use serde_json::{Value, json};
use standins::http::{call, call_json};
use standins::store::{CallKind, MAX_VALUE_BYTES};
use support::{
    decode_base64, encode_base64, get, header_revision, parse_number, post_json, put, start_store,
};
use tokio::task::JoinSet;

fn keys(answer: &Value) -> Vec<String> {
    let kvs = answer["kvs"].as_array().cloned().unwrap_or_default();
    kvs.iter().map(|kv| decode_base64(&kv["key"])).collect()
}

/// Fails if two of many concurrent transactions create the same key.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_one_concurrent_creation_succeeds() {
    let store = start_store().await;
    let address = store.address();
    let mut creators = JoinSet::new();
    for creator in 0..32 {
        creators.spawn(async move {
            let body = json!({
                "compare": [{ "key": encode_base64("k"), "target": "VERSION", "version": "0" }],
                "success": [{ "request_put": { "key": encode_base64("k"), "value": encode_base64(creator.to_string()) } }],
                "failure": [{ "request_range": { "key": encode_base64("k") } }],
            });
            (creator.to_string(), post_json(address, "/v3/kv/txn", body).await)
        });
    }
    let outcomes = creators.join_all().await;
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
            assert_eq!(Some(decode_base64(&range["kvs"][0]["value"])), winner);
        }
    }
    assert_eq!(
        store.journal().len(),
        1,
        "transaction with a failed comparison wrote"
    );
}

/// Fails if an update is lost between concurrent writers that compare the revision.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_compare_and_swap_loses_no_increment() {
    const WRITERS: i64 = 8;
    const INCREMENTS: i64 = 25;
    let store = start_store().await;
    let address = store.address();
    put(address, "n", "0").await;
    let mut writers = JoinSet::new();
    for _ in 0..WRITERS {
        writers.spawn(async move {
            let mut done = 0;
            while done < INCREMENTS {
                let read = post_json(address, "/v3/kv/range", json!({ "key": encode_base64("n") })).await;
                let kv = &read["kvs"][0];
                let next: i64 = decode_base64(&kv["value"]).parse::<i64>().expect("value should be a number") + 1;
                let body = json!({
                    "compare": [{
                        "key": encode_base64("n"), "target": "MOD", "result": "EQUAL",
                        "mod_revision": kv["mod_revision"],
                    }],
                    "success": [{ "request_put": { "key": encode_base64("n"), "value": encode_base64(next.to_string()) } }],
                });
                let answer = post_json(address, "/v3/kv/txn", body).await;
                done += i64::from(answer.get("succeeded").is_some());
            }
        });
    }
    writers.join_all().await;
    let total = WRITERS * INCREMENTS;
    assert_eq!(get(address, "n").await, Some(total.to_string()));
    let read = post_json(
        address,
        "/v3/kv/range",
        json!({ "key": encode_base64("n") }),
    )
    .await;
    assert_eq!(parse_number(&read["kvs"][0]["version"]), total + 1);
}

/// Fails if a comparison, on which every compare-and-swap depends, has the wrong result.
#[rstest]
#[case::version_equal("VERSION", "EQUAL", json!({ "version": "2" }), true)]
#[case::version_as_number("VERSION", "EQUAL", json!({ "version": 2 }), true)]
#[case::version_greater("VERSION", "GREATER", json!({ "version": "2" }), false)]
#[case::create_less("CREATE", "LESS", json!({ "create_revision": "3" }), true)]
#[case::create_camel_case("CREATE", "EQUAL", json!({ "createRevision": "2" }), true)]
#[case::mod_equal("MOD", "EQUAL", json!({ "mod_revision": "3" }), true)]
#[case::mod_not_equal("MOD", "NOT_EQUAL", json!({ "mod_revision": "3" }), false)]
#[case::value_equal("VALUE", "EQUAL", json!({ "value": encode_base64("b") }), true)]
#[case::value_greater("VALUE", "GREATER", json!({ "value": encode_base64("a") }), true)]
#[case::value_of_absent_key("VALUE", "NOT_EQUAL", json!({ "key": encode_base64("absent"), "value": encode_base64("b") }), false)]
#[case::mod_of_absent_key("MOD", "EQUAL", json!({ "key": encode_base64("absent") }), true)]
#[tokio::test]
async fn evaluates_comparisons(
    #[case] target: &str,
    #[case] result: &str,
    #[case] attributes: Value,
    #[case] is_true: bool,
) {
    let store = start_store().await;
    let address = store.address();
    put(address, "k", "a").await;
    put(address, "k", "b").await;
    let mut compare = json!({ "key": encode_base64("k"), "target": target, "result": result });
    let attributes = attributes
        .as_object()
        .expect("value should be a JSON object")
        .clone();
    compare
        .as_object_mut()
        .expect("value should be a JSON object")
        .extend(attributes);
    let answer = post_json(address, "/v3/kv/txn", json!({ "compare": [compare] })).await;
    assert_eq!(answer.get("succeeded").is_some(), is_true);
}

/// Fails if losing a response also loses the write, or if more responses are lost than were set.
#[rstest]
#[tokio::test]
async fn write_with_lost_response_takes_effect() {
    let store = start_store().await;
    let address = store.address();
    post_json(address, "/admin/faults", json!({ "lose_answers": 1 })).await;
    let body = json!({ "key": encode_base64("k"), "value": encode_base64("v") });
    call_json(address, "POST", "/v3/kv/put", &body)
        .await
        .expect_err("response should be lost");
    assert_eq!(get(address, "k").await, Some("v".to_owned()));
    assert_eq!(
        put(address, "k", "w").await,
        3,
        "write with the lost response did not create revision 2"
    );
}

/// Fails if the fault that loses responses is used up by a transaction that writes nothing.
#[rstest]
#[tokio::test]
async fn failed_comparison_does_not_consume_lost_answer() {
    let store = start_store().await;
    let address = store.address();
    post_json(address, "/admin/faults", json!({ "lose_answers": 1 })).await;
    let create = |version: &str| {
        json!({
            "compare": [{ "key": encode_base64("k"), "target": "VERSION", "version": version }],
            "success": [{ "request_put": { "key": encode_base64("k"), "value": encode_base64("v") } }],
        })
    };
    post_json(address, "/v3/kv/txn", create("1")).await;
    call_json(address, "POST", "/v3/kv/txn", &create("0"))
        .await
        .expect_err("response to the first write should be lost");
    assert_eq!(get(address, "k").await, Some("v".to_owned()));
}

/// Fails if a range read misses or repeats the keys changed since the last read.
#[rstest]
#[tokio::test]
async fn reads_range_by_prefix_and_revision() {
    let store = start_store().await;
    let address = store.address();
    for key in ["a", "cells/1", "cells/2", "cells/3", "d"] {
        put(address, key, "v").await;
    }
    let last = put(address, "cells/2", "w").await;
    let prefix = json!({ "key": encode_base64("cells/"), "range_end": encode_base64("cells0") });
    let range = |extra: Value| {
        let mut body = prefix.clone();
        let extra = extra
            .as_object()
            .expect("value should be a JSON object")
            .clone();
        body.as_object_mut()
            .expect("value should be a JSON object")
            .extend(extra);
        post_json(address, "/v3/kv/range", body)
    };
    let all = range(json!({ "serializable": true })).await;
    assert_eq!(keys(&all), ["cells/1", "cells/2", "cells/3"]);
    assert_eq!(all["count"], "3");
    assert_eq!(header_revision(&all), last);

    let changed = range(json!({ "min_mod_revision": last.to_string() })).await;
    assert_eq!(keys(&changed), ["cells/2"]);
    let none = range(json!({ "min_mod_revision": (last + 1).to_string() })).await;
    assert_eq!(none.get("kvs"), None, "zero value was not left out");

    let limited = range(json!({ "limit": "2" })).await;
    assert_eq!(keys(&limited), ["cells/1", "cells/2"]);
    assert_eq!(limited["more"], true);
    let keys_only = range(json!({ "keys_only": true })).await;
    assert_eq!(keys_only["kvs"][0].get("value"), None);

    let body = json!({ "key": encode_base64("cells/3"), "range_end": encode_base64("\0") });
    let from = post_json(address, "/v3/kv/range", body).await;
    assert_eq!(keys(&from), ["cells/3", "d"]);
    let body = json!({ "key": encode_base64("b"), "range_end": encode_base64("a") });
    let empty = post_json(address, "/v3/kv/range", body).await;
    assert_eq!(empty.get("count"), None);
}

/// Fails if a transaction takes effect in part or creates more than one revision.
#[rstest]
#[tokio::test]
async fn transaction_takes_effect_as_one_revision() {
    let store = start_store().await;
    let address = store.address();
    put(address, "old", "v").await;
    let body = json!({ "success": [
        { "request_put": { "key": encode_base64("a"), "value": encode_base64("1") } },
        { "request_delete_range": { "key": encode_base64("old") } },
        { "request_range": { "key": encode_base64("a") } },
    ] });
    let answer = post_json(address, "/v3/kv/txn", body).await;
    assert_eq!(header_revision(&answer), 3);
    let responses = &answer["responses"];
    assert_eq!(responses[1]["response_delete_range"]["deleted"], "1");
    let read = &responses[2]["response_range"]["kvs"][0];
    assert_eq!(
        (
            decode_base64(&read["value"]),
            parse_number(&read["mod_revision"])
        ),
        ("1".to_owned(), 3)
    );

    let too_large = encode_base64(vec![b'x'; MAX_VALUE_BYTES + 1]);
    let body = json!({ "success": [
        { "request_put": { "key": encode_base64("b"), "value": encode_base64("1") } },
        { "request_put": { "key": encode_base64("c"), "value": too_large } },
    ] });
    call_json(address, "POST", "/v3/kv/txn", &body)
        .await
        .expect_err("request should be rejected");
    assert_eq!(get(address, "b").await, None);
    let journal = call_json(address, "GET", "/admin/journal", &Value::Null).await;
    let journal = journal.expect("journal should be readable");
    let last = &journal["writes"][1];
    assert_eq!(last["revision"], 3);
    assert_eq!(
        (&last["puts"], &last["deletes"]),
        (&json!(["a"]), &json!(["old"]))
    );
    assert_eq!(journal["writes"][2], Value::Null);
}

/// Fails if the stand-in accepts what the real store refuses.
#[rstest]
#[case::missing_key("/v3/kv/put", json!({ "value": encode_base64("v") }))]
#[case::value_too_large("/v3/kv/put", json!({ "key": encode_base64("k"), "value": encode_base64(vec![0; MAX_VALUE_BYTES + 1]) }))]
#[case::unknown_lease("/v3/kv/put", json!({ "key": encode_base64("k"), "lease": "77" }))]
#[case::key_not_base64("/v3/kv/range", json!({ "key": "k" }))]
#[case::unknown_field("/v3/kv/range", json!({ "key": encode_base64("k"), "keyz": 1 }))]
#[case::key_put_twice("/v3/kv/txn", json!({ "success": [
    { "request_put": { "key": encode_base64("k") } }, { "request_put": { "key": encode_base64("k") } },
] }))]
#[case::unknown_compare_target("/v3/kv/txn", json!({ "compare": [{ "key": encode_base64("k"), "target": "OTHER" }] }))]
#[case::unknown_path("/v3/kv/compaction", json!({}))]
#[tokio::test]
async fn rejects_invalid_requests(#[case] path: &str, #[case] body: Value) {
    let store = start_store().await;
    let answer = call(store.address(), "POST", path, &[], body.to_string())
        .await
        .expect("request should be answered");
    assert!(answer.status().is_client_error(), "{}", answer.status());
    assert_eq!(store.journal(), []);
}

/// Fails if the limit for values is off by one.
#[rstest]
#[tokio::test]
async fn accepts_value_of_maximum_size() {
    let store = start_store().await;
    let value = "x".repeat(MAX_VALUE_BYTES);
    put(store.address(), "k", &value).await;
    assert_eq!(get(store.address(), "k").await, Some(value));
}

/// Fails if calls are counted wrongly. Tests judge the cost of the control plane per node from these
/// counts.
#[rstest]
#[tokio::test]
async fn counts_calls_by_kind() {
    let store = start_store().await;
    let address = store.address();
    put(address, "k", "v").await;
    get(address, "k").await;
    let read = json!({ "success": [{ "request_range": { "key": encode_base64("k") } }] });
    post_json(address, "/v3/kv/txn", read).await;
    let write = json!({ "failure": [{ "request_put": { "key": encode_base64("k") } }] });
    post_json(address, "/v3/kv/txn", write).await;
    post_json(address, "/v3/lease/grant", json!({ "TTL": "60" })).await;
    let calls = call_json(address, "GET", "/admin/calls", &Value::Null).await;
    let calls: standins::store::CallCounts =
        serde_json::from_value(calls.expect("counts of calls should be readable"))
            .expect("counts of calls should be readable");
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

/// Fails if calls are served during an outage, or if the outage cannot be ended.
#[rstest]
#[tokio::test]
async fn answers_nothing_while_down() {
    let store = start_store().await;
    let address = store.address();
    put(address, "k", "v").await;
    post_json(address, "/admin/faults", json!({ "down": true })).await;
    call(address, "POST", "/v3/kv/range", &[], "{}")
        .await
        .expect_err("request should not be answered while down");
    assert_eq!(store.calls().reads, 0);
    post_json(address, "/admin/faults", json!({ "down": false })).await;
    assert_eq!(get(address, "k").await, Some("v".to_owned()));
}

/// Fails if truncation has no effect, so that tests of damaged records would test nothing.
#[rstest]
#[tokio::test]
async fn truncate_values_shortens_values_in_responses() {
    let store = start_store().await;
    let address = store.address();
    put(address, "k", "abcdef").await;
    post_json(address, "/admin/faults", json!({ "truncate_values": true })).await;
    assert_eq!(get(address, "k").await, Some("abc".to_owned()));
    post_json(
        address,
        "/admin/faults",
        json!({ "truncate_values": false }),
    )
    .await;
    assert_eq!(get(address, "k").await, Some("abcdef".to_owned()));
}

/// Fails if a delayed write is lost when its caller disconnects; it must take effect later.
#[rstest]
#[tokio::test]
async fn delayed_write_takes_effect_after_caller_disconnects() {
    let store = start_store().await;
    let address = store.address();
    post_json(address, "/admin/faults", json!({ "delay_ms": 400 })).await;
    let body = json!({ "key": encode_base64("k"), "value": encode_base64("v") });
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
