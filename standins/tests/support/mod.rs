//! Helpers for tests of the store, and in [`target`] for tests of targets.

#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

pub mod target;

use std::net::SocketAddr;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use standins::http::call_json;
use standins::store::{self, Config, Store};

/// Starts a store on a free port.
pub async fn start_store() -> Store {
    store::bind(Config::default())
        .await
        .expect("free port should be available")
}

/// Encodes a key or value as base64.
pub fn encode_base64(text: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(text)
}

/// Decodes a key or value from base64; an absent field is empty.
pub fn decode_base64(value: &Value) -> String {
    let bytes = BASE64_STANDARD.decode(value.as_str().unwrap_or(""));
    String::from_utf8(bytes.expect("value should be base64")).expect("value should be UTF-8 text")
}

/// Sends a request that the store must accept and returns the response.
pub async fn post_json(address: SocketAddr, path: &str, body: Value) -> Value {
    call_json(address, "POST", path, &body)
        .await
        .expect("store should accept the request")
}

/// Writes a value and returns the new revision.
pub async fn put(address: SocketAddr, key: &str, value: &str) -> i64 {
    let body = json!({ "key": encode_base64(key), "value": encode_base64(value) });
    header_revision(&post_json(address, "/v3/kv/put", body).await)
}

/// Returns the value of a key, or `None` if it does not exist.
pub async fn get(address: SocketAddr, key: &str) -> Option<String> {
    let answer = post_json(
        address,
        "/v3/kv/range",
        json!({ "key": encode_base64(key) }),
    )
    .await;
    answer.get("kvs").map(|kvs| decode_base64(&kvs[0]["value"]))
}

/// Returns the revision in the header of a response.
pub fn header_revision(answer: &Value) -> i64 {
    parse_number(&answer["header"]["revision"])
}

/// Returns a 64-bit number, which the JSON mapping writes as a string.
pub fn parse_number(value: &Value) -> i64 {
    let text = value
        .as_str()
        .expect("number should be written as a string");
    text.parse().expect("value should be a number")
}
