//! Requests and responses of the interface of targets.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::json;

use super::answer;
use crate::http::{self, Body};

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const ATTEMPT: HeaderName = HeaderName::from_static("attempt");
const INDEX_VERSION: HeaderName = HeaderName::from_static("index-version");
const SHARD: HeaderName = HeaderName::from_static("shard");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const IDEMPOTENT: HeaderName = HeaderName::from_static("idempotent");
const GENERATION: HeaderName = HeaderName::from_static("generation");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Limit for the time to a deadline; longer times are reduced to it.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Headers of `POST /search`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SearchRequest {
    pub request_id: String,
    pub attempt: u32,
    pub version: u64,
    pub shard: u32,
    /// Time to the deadline when the request arrived.
    pub time_left: Duration,
    pub idempotent: bool,
}

/// Response with status 200.
#[derive(Debug, Clone)]
pub(super) struct SearchResponse {
    /// Position of its journal entry.
    pub entry: usize,
    pub request_id: String,
    pub attempt: u32,
    pub version: u64,
    pub shard: u32,
    pub generation: u64,
    pub body: Bytes,
}

impl SearchRequest {
    /// Reads the headers of a search; the error names the header that is missing or invalid.
    pub(super) fn parse(headers: &HeaderMap) -> Result<Self, String> {
        let (request_id, attempt) = request_identity(headers)?;
        Ok(Self {
            request_id,
            attempt,
            version: header(headers, &INDEX_VERSION)?,
            shard: header(headers, &SHARD)?,
            time_left: Duration::from_millis(header(headers, &DEADLINE_MS)?).min(MAX_DEADLINE),
            idempotent: match headers.get(&IDEMPOTENT) {
                None => true,
                Some(_) => header(headers, &IDEMPOTENT)?,
            },
        })
    }
}

/// Returns the request id and the attempt, which identify a request.
pub(super) fn request_identity(headers: &HeaderMap) -> Result<(String, u32), String> {
    Ok((header(headers, &REQUEST_ID)?, header(headers, &ATTEMPT)?))
}

/// Reads a header as a value of type `T`.
fn header<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<T, String> {
    let value = headers
        .get(name)
        .ok_or_else(|| format!("the header {name} is missing"))?;
    let text = value.to_str().ok();
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| format!("the header {name} has the value {value:?}"))
}

impl SearchResponse {
    /// Returns the correct response to a search.
    pub(super) fn new(entry: usize, search: &SearchRequest, generation: u64, query: &[u8]) -> Self {
        let hits = answer::expected_hits(search.version, search.shard, query);
        let body = serde_json::to_vec(&answer::Answer { hits });
        Self {
            entry,
            request_id: search.request_id.clone(),
            attempt: search.attempt,
            version: search.version,
            shard: search.shard,
            generation,
            body: body.expect("scores are finite").into(),
        }
    }

    pub(super) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(http::full_body(self.body));
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(hyper::header::CONTENT_TYPE, json);
        set_identity_headers(headers, &self.request_id, self.attempt, self.generation);
        headers.insert(INDEX_VERSION, self.version.into());
        headers.insert(SHARD, self.shard.into());
        response
    }
}

/// Sets the headers that tell which request and generation a response belongs to.
fn set_identity_headers(headers: &mut HeaderMap, request_id: &str, attempt: u32, generation: u64) {
    if let Ok(request) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, request);
    }
    headers.insert(ATTEMPT, attempt.into());
    headers.insert(GENERATION, generation.into());
}

/// Returns a response other than 200; `started` tells whether the work had begun.
pub(super) fn error_response(
    search: &SearchRequest,
    generation: u64,
    status: u16,
    error: &str,
    started: bool,
    retry_after_ms: u64,
) -> Response<Body> {
    let status = StatusCode::from_u16(status).expect("all statuses are constants");
    let mut response = http::json_response(status, &json!({ "error": error, "started": started }));
    let headers = response.headers_mut();
    set_identity_headers(headers, &search.request_id, search.attempt, generation);
    if status == StatusCode::TOO_MANY_REQUESTS {
        headers.insert(RETRY_AFTER_MS, retry_after_ms.into());
    }
    response
}
