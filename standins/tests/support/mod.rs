//! Helpers for the tests of the store.

#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

pub mod target;

use std::net::SocketAddr;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use standins::http::call_json;
use standins::store::{self, Config, Store};

/// Starts a store on a free port.
pub async fn open() -> Store {
    store::bind(Config::default()).await.expect("a free port")
}

/// Encodes a key or value.
pub fn encode(text: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(text)
}

/// Decodes a key or value; an absent field is empty.
pub fn decode(value: &Value) -> String {
    let bytes = BASE64_STANDARD.decode(value.as_str().unwrap_or(""));
    String::from_utf8(bytes.expect("base64")).expect("text")
}

/// Sends a request that must succeed.
pub async fn post(address: SocketAddr, path: &str, body: Value) -> Value {
    call_json(address, "POST", path, &body)
        .await
        .expect("the store accepts the request")
}

/// Puts a value and returns the revision.
pub async fn put(address: SocketAddr, key: &str, value: &str) -> i64 {
    let body = json!({ "key": encode(key), "value": encode(value) });
    revision(&post(address, "/v3/kv/put", body).await)
}

/// Reads one key.
pub async fn get(address: SocketAddr, key: &str) -> Option<String> {
    let answer = post(address, "/v3/kv/range", json!({ "key": encode(key) })).await;
    answer.get("kvs").map(|kvs| decode(&kvs[0]["value"]))
}

/// Returns the revision in the header of an answer.
pub fn revision(answer: &Value) -> i64 {
    number(&answer["header"]["revision"])
}

/// Reads a 64-bit number, which the mapping writes as a string.
pub fn number(value: &Value) -> i64 {
    let text = value.as_str().expect("a string");
    text.parse().expect("a number")
}
