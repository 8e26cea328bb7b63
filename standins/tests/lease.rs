//! Leases delete their keys when nobody renews them.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use standins::http::call_json;
use support::{encode, get, open, post, put};

/// The time to live of a lease that expires, in seconds. Its keys must be put before that, also on a
/// machine that stalls for a second.
const SHORT: &str = "3";

/// Bounds the wait for an expiry.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

async fn grant(address: SocketAddr, ttl: &str) -> Value {
    let granted = post(address, "/v3/lease/grant", json!({ "TTL": ttl })).await;
    assert_eq!(granted["TTL"], ttl);
    granted["ID"].clone()
}

async fn put_with(address: SocketAddr, key: &str, lease: &Value) {
    let body = json!({ "key": encode(key), "value": encode("v"), "lease": lease });
    post(address, "/v3/kv/put", body).await;
}

async fn wait_until_gone(address: SocketAddr, key: &str) {
    let gone = async {
        while get(address, key).await.is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, gone)
        .await
        .expect("the lease expires");
}

/// Guards against leases that never expire, or that take keys with them that they no longer hold.
#[rstest]
#[tokio::test]
async fn expiry_deletes_the_keys_of_the_lease() {
    let store = open().await;
    let address = store.address();
    let lease = grant(address, SHORT).await;
    put_with(address, "held", &lease).await;
    put_with(address, "rewritten", &lease).await;
    put(address, "rewritten", "without a lease").await;
    wait_until_gone(address, "held").await;
    assert_eq!(
        get(address, "rewritten").await,
        Some("without a lease".to_owned())
    );
    let last = store.journal().pop().expect("writes");
    assert_eq!((last.puts, last.deletes), (vec![], vec!["held".to_owned()]));
    let renewed = post(address, "/v3/lease/keepalive", json!({ "ID": lease })).await;
    assert_eq!(
        renewed["result"].get("TTL"),
        None,
        "an expired lease is not renewed"
    );
}

/// Guards against a renewal that has no effect: the renewed lease outlives one that was not renewed.
#[rstest]
#[tokio::test]
async fn renewal_keeps_the_keys() {
    let store = open().await;
    let address = store.address();
    let renewed = grant(address, "3600").await;
    let expiring = grant(address, SHORT).await;
    put_with(address, "renewed", &renewed).await;
    put_with(address, "expiring", &expiring).await;
    let answer = post(address, "/v3/lease/keepalive", json!({ "ID": renewed })).await;
    assert_eq!(answer["result"]["TTL"], "3600");
    wait_until_gone(address, "expiring").await;
    assert!(get(address, "renewed").await.is_some());
}

/// Guards against a holder that gives up its lease and stays visible.
#[rstest]
#[tokio::test]
async fn revocation_deletes_the_keys() {
    let store = open().await;
    let address = store.address();
    let lease = grant(address, "3600").await;
    put_with(address, "a", &lease).await;
    put_with(address, "b", &lease).await;
    post(address, "/v3/lease/revoke", json!({ "ID": lease })).await;
    assert_eq!(
        (get(address, "a").await, get(address, "b").await),
        (None, None)
    );
    assert_eq!(store.journal().len(), 3, "one revision deletes both keys");
    call_json(address, "POST", "/v3/lease/revoke", &json!({ "ID": lease }))
        .await
        .expect_err("the lease is gone");
}
