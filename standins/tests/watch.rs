//! Tests of watches, which stream every change of their keys in order.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::{Value, json};
use standins::store::{self, CallKind, Config};
use support::{
    decode_base64, encode_base64, header_revision, parse_number, post_json, put, start_store,
};
use tokio::net::TcpStream;

/// Limit for the wait for a line of a watch.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Client side of a watch.
struct Watch {
    body: Incoming,
    buffer: Vec<u8>,
    // Kept because dropping it would end the request.
    _sender: http1::SendRequest<Full<Bytes>>,
}

impl Watch {
    async fn open(address: SocketAddr, create_request: Value) -> Self {
        let stream = TcpStream::connect(address)
            .await
            .expect("connection should be accepted");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("HTTP handshake should succeed");
        tokio::spawn(connection);
        let body = json!({ "create_request": create_request }).to_string();
        let request = Request::post("/v3/watch")
            .header("Host", "store")
            .body(Full::from(body))
            .expect("request should be valid");
        let response = sender
            .send_request(request)
            .await
            .expect("request should be answered");
        Self {
            body: response.into_body(),
            buffer: Vec::new(),
            _sender: sender,
        }
    }

    /// Returns the next result, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let value: Value = serde_json::from_slice(&line).expect("body should be JSON");
                return Some(value["result"].clone());
            }
            let frame = tokio::time::timeout(WAIT_TIMEOUT, self.body.frame()).await;
            let frame = frame.expect("watch should send a line in time")?.ok()?;
            self.buffer.extend_from_slice(frame.data_ref()?);
        }
    }
}

/// Fails if a watch misses or repeats a change, or reports one of another key.
#[rstest]
#[tokio::test]
async fn watch_reports_changes_of_its_keys_in_order() {
    let store = start_store().await;
    let address = store.address();
    let prefix = json!({ "key": encode_base64("cells/"), "range_end": encode_base64("cells0"), "prev_kv": true });
    let mut watch = Watch::open(address, prefix).await;
    let created = watch
        .next()
        .await
        .expect("watch should send its first line");
    assert_eq!(created["created"], true);
    assert_eq!(header_revision(&created), 1);

    put(address, "other", "x").await;
    put(address, "cells/1", "a").await;
    put(address, "cells/1", "b").await;
    post_json(
        address,
        "/v3/kv/deleterange",
        json!({ "key": encode_base64("cells/1") }),
    )
    .await;

    let first = watch.next().await.expect("watch should report a change");
    assert_eq!(
        header_revision(&first),
        3,
        "watch reported the change of another key"
    );
    let event = &first["events"][0];
    assert_eq!(event.get("type"), None, "type of a put was not left out");
    assert_eq!(decode_base64(&event["kv"]["value"]), "a");
    let second = watch.next().await.expect("watch should report a change");
    assert_eq!(decode_base64(&second["events"][0]["prev_kv"]["value"]), "a");
    let third = watch.next().await.expect("watch should report a change");
    let event = &third["events"][0];
    assert_eq!(event["type"], "DELETE");
    assert_eq!(parse_number(&event["kv"]["mod_revision"]), 5);
    let calls = store.calls();
    assert_eq!(
        calls.kinds[&CallKind::Watch],
        1,
        "watch was not counted as one call"
    );
}

/// Fails if changes are lost between a read and a watch that starts at the revision of that read.
#[rstest]
#[tokio::test]
async fn watch_starts_at_past_revision() {
    let store = start_store().await;
    let address = store.address();
    put(address, "k", "a").await;
    let from = put(address, "k", "b").await;
    put(address, "k", "c").await;
    let request = json!({ "key": encode_base64("k"), "start_revision": from.to_string() });
    let mut watch = Watch::open(address, request).await;
    watch
        .next()
        .await
        .expect("watch should send its first line");
    for value in ["b", "c"] {
        let change = watch.next().await.expect("watch should report a change");
        assert_eq!(decode_base64(&change["events"][0]["kv"]["value"]), value);
    }
}

/// Fails if a watch that starts before the kept history skips changes without reporting it.
#[rstest]
#[tokio::test]
async fn watch_from_compacted_revision_is_cancelled() {
    let config = Config {
        history_revisions: 10,
        ..Config::default()
    };
    let store = store::bind(config)
        .await
        .expect("free port should be available");
    let address = store.address();
    for _ in 0..20 {
        put(address, "k", "v").await;
    }
    let request = json!({ "key": encode_base64("k"), "start_revision": "2" });
    let mut watch = Watch::open(address, request).await;
    watch
        .next()
        .await
        .expect("watch should send its first line");
    let end = watch.next().await.expect("watch should report its end");
    assert_eq!(end["canceled"], true);
    // The writes created the revisions 2 to 21, of which the last ten are kept.
    let oldest = parse_number(&end["compact_revision"]);
    assert_eq!(oldest, 12);
    assert_eq!(watch.next().await, None);

    let request = json!({ "key": encode_base64("k"), "start_revision": oldest.to_string() });
    let mut watch = Watch::open(address, request).await;
    watch
        .next()
        .await
        .expect("watch should send its first line");
    for revision_of_change in 12..=21 {
        let change = watch.next().await.expect("watch should report a change");
        assert_eq!(header_revision(&change), revision_of_change);
    }
}

/// Fails if a watch does not end when the store goes down, so that its reader would wait forever.
#[rstest]
#[tokio::test]
async fn watch_ends_when_store_goes_down() {
    let store = start_store().await;
    let address = store.address();
    let mut watch = Watch::open(address, json!({ "key": encode_base64("k") })).await;
    watch
        .next()
        .await
        .expect("watch should send its first line");
    post_json(address, "/admin/faults", json!({ "down": true })).await;
    assert_eq!(watch.next().await, None);
}
