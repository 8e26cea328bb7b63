//! Watches stream every change of their keys in order.

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
use support::{decode, encode, number, open, post, put, revision};
use tokio::net::TcpStream;

/// Bounds the wait for a line of a watch.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

struct Watch {
    body: Incoming,
    buffer: Vec<u8>,
    // Dropping it would end the request.
    _sender: http1::SendRequest<Full<Bytes>>,
}

impl Watch {
    async fn open(address: SocketAddr, create_request: Value) -> Self {
        let stream = TcpStream::connect(address).await.expect("connected");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("a connection");
        tokio::spawn(connection);
        let body = json!({ "create_request": create_request }).to_string();
        let request = Request::post("/v3/watch")
            .header("Host", "store")
            .body(Full::from(body))
            .expect("a request");
        let response = sender.send_request(request).await.expect("an answer");
        Self {
            body: response.into_body(),
            buffer: Vec::new(),
            _sender: sender,
        }
    }

    /// Returns the next result, or nothing at the end of the stream.
    async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let value: Value = serde_json::from_slice(&line).expect("JSON");
                return Some(value["result"].clone());
            }
            let frame = tokio::time::timeout(WAIT_TIMEOUT, self.body.frame()).await;
            let frame = frame.expect("the watch continues")?.ok()?;
            self.buffer.extend_from_slice(frame.data_ref()?);
        }
    }
}

/// Guards against changes that a watch misses, repeats or reports for other keys.
#[rstest]
#[tokio::test]
async fn reports_changes_of_its_keys() {
    let store = open().await;
    let address = store.address();
    let prefix = json!({ "key": encode("cells/"), "range_end": encode("cells0"), "prev_kv": true });
    let mut watch = Watch::open(address, prefix).await;
    let created = watch.next().await.expect("the start");
    assert_eq!(created["created"], true);
    assert_eq!(revision(&created), 1);

    put(address, "other", "x").await;
    put(address, "cells/1", "a").await;
    put(address, "cells/1", "b").await;
    post(
        address,
        "/v3/kv/deleterange",
        json!({ "key": encode("cells/1") }),
    )
    .await;

    let first = watch.next().await.expect("a change");
    assert_eq!(revision(&first), 3, "the change of another key is left out");
    let event = &first["events"][0];
    assert_eq!(
        event.get("type"),
        None,
        "a put has the zero type, which is absent"
    );
    assert_eq!(decode(&event["kv"]["value"]), "a");
    let second = watch.next().await.expect("a change");
    assert_eq!(decode(&second["events"][0]["prev_kv"]["value"]), "a");
    let third = watch.next().await.expect("a change");
    let event = &third["events"][0];
    assert_eq!(event["type"], "DELETE");
    assert_eq!(number(&event["kv"]["mod_revision"]), 5);
    let calls = store.calls();
    assert_eq!(
        calls.kinds[&CallKind::Watch],
        1,
        "a waiting watch is one call"
    );
}

/// Guards against a gap between a read and the watch that continues from its revision.
#[rstest]
#[tokio::test]
async fn starts_at_a_past_revision() {
    let store = open().await;
    let address = store.address();
    put(address, "k", "a").await;
    let from = put(address, "k", "b").await;
    put(address, "k", "c").await;
    let request = json!({ "key": encode("k"), "start_revision": from.to_string() });
    let mut watch = Watch::open(address, request).await;
    watch.next().await.expect("the start");
    for value in ["b", "c"] {
        let change = watch.next().await.expect("a change");
        assert_eq!(decode(&change["events"][0]["kv"]["value"]), value);
    }
}

/// Guards against a watch that starts too far in the past and silently skips changes.
#[rstest]
#[tokio::test]
async fn tells_that_the_history_is_gone() {
    let config = Config {
        history_revisions: 10,
        ..Config::default()
    };
    let store = store::bind(config).await.expect("a free port");
    let address = store.address();
    for _ in 0..20 {
        put(address, "k", "v").await;
    }
    let request = json!({ "key": encode("k"), "start_revision": "2" });
    let mut watch = Watch::open(address, request).await;
    watch.next().await.expect("the start");
    let end = watch.next().await.expect("the end");
    assert_eq!(end["canceled"], true);
    // The writes made the revisions 2 to 21, of which the last ten are kept.
    let oldest = number(&end["compact_revision"]);
    assert_eq!(oldest, 12);
    assert_eq!(watch.next().await, None);

    let request = json!({ "key": encode("k"), "start_revision": oldest.to_string() });
    let mut watch = Watch::open(address, request).await;
    watch.next().await.expect("the start");
    for revision_of_change in 12..=21 {
        let change = watch.next().await.expect("a change");
        assert_eq!(revision(&change), revision_of_change);
    }
}

/// Guards against watchers that do not notice an outage of the store.
#[rstest]
#[tokio::test]
async fn ends_when_the_store_goes_down() {
    let store = open().await;
    let address = store.address();
    let mut watch = Watch::open(address, json!({ "key": encode("k") })).await;
    watch.next().await.expect("the start");
    post(address, "/admin/faults", json!({ "down": true })).await;
    assert_eq!(watch.next().await, None);
}
