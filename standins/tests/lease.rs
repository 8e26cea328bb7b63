//! Tests of leases: expiry, renewal and revocation.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use standins::http::call_json;
use support::{encode_base64, get, post_json, put, start_store};

/// Time to live of a lease that expires, in seconds. Its keys must be written before, also on a machine
/// that stalls for a second.
const SHORT_TTL_S: &str = "3";

/// Limit for the wait for an expiry.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

async fn grant(address: SocketAddr, ttl: &str) -> Value {
    let granted = post_json(address, "/v3/lease/grant", json!({ "TTL": ttl })).await;
    assert_eq!(granted["TTL"], ttl);
    granted["ID"].clone()
}

async fn put_with_lease(address: SocketAddr, key: &str, lease: &Value) {
    let body = json!({ "key": encode_base64(key), "value": encode_base64("v"), "lease": lease });
    post_json(address, "/v3/kv/put", body).await;
}

async fn wait_until_gone(address: SocketAddr, key: &str) {
    let gone = async {
        while get(address, key).await.is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, gone)
        .await
        .expect("lease should expire");
}

/// Fails if a lease does not expire, or if its expiry deletes a key that was written again without the
/// lease.
#[rstest]
#[tokio::test]
async fn expiry_deletes_only_keys_attached_to_lease() {
    let store = start_store().await;
    let address = store.address();
    let lease = grant(address, SHORT_TTL_S).await;
    put_with_lease(address, "held", &lease).await;
    put_with_lease(address, "rewritten", &lease).await;
    put(address, "rewritten", "without a lease").await;
    wait_until_gone(address, "held").await;
    assert_eq!(
        get(address, "rewritten").await,
        Some("without a lease".to_owned())
    );
    let last = store
        .journal()
        .pop()
        .expect("journal should contain writes");
    assert_eq!((last.puts, last.deletes), (vec![], vec!["held".to_owned()]));
    let renewed = post_json(address, "/v3/lease/keepalive", json!({ "ID": lease })).await;
    assert_eq!(
        renewed["result"].get("TTL"),
        None,
        "expired lease was renewed"
    );
}

/// Fails if a renewal has no effect: the renewed lease must outlive one that is not renewed.
#[rstest]
#[tokio::test]
async fn renewal_extends_lease() {
    let store = start_store().await;
    let address = store.address();
    let renewed = grant(address, "3600").await;
    let expiring = grant(address, SHORT_TTL_S).await;
    put_with_lease(address, "renewed", &renewed).await;
    put_with_lease(address, "expiring", &expiring).await;
    let answer = post_json(address, "/v3/lease/keepalive", json!({ "ID": renewed })).await;
    assert_eq!(answer["result"]["TTL"], "3600");
    wait_until_gone(address, "expiring").await;
    assert!(get(address, "renewed").await.is_some());
}

/// Fails if the keys of a revoked lease stay, or are deleted in more than one revision.
#[rstest]
#[tokio::test]
async fn revocation_deletes_keys_in_one_revision() {
    let store = start_store().await;
    let address = store.address();
    let lease = grant(address, "3600").await;
    put_with_lease(address, "a", &lease).await;
    put_with_lease(address, "b", &lease).await;
    post_json(address, "/v3/lease/revoke", json!({ "ID": lease })).await;
    assert_eq!(
        (get(address, "a").await, get(address, "b").await),
        (None, None)
    );
    assert_eq!(
        store.journal().len(),
        3,
        "revocation did not delete both keys in one revision"
    );
    call_json(address, "POST", "/v3/lease/revoke", &json!({ "ID": lease }))
        .await
        .expect_err("revoked lease should be unknown");
}
