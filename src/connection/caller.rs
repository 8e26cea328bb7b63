//! The server for callers: HTTP/1.1 with JSON, as described in `docs/CALLERS.md`.
//!
//! Every request is read completely, within limits of size and time, before any work starts.
//! Therefore, each refusal of this module can state that the request did not run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response};
use tokio::net::TcpListener;

use super::body;
use super::memory::Budget;
use super::server::{HEAD_MAX_BYTES, Limits, Server};
use crate::request::answer::Refusal;
use crate::request::query_request::QueryRequest;
use crate::time::Clock;
use crate::wire::Reason;
use crate::wire::run::Reply;

/// Maximum body of a query.
pub const BODY_MAX_BYTES: usize = 64 * 1024;
/// Time limit for receiving the complete body of a query.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum value of the `Deadline-Ms` header.
pub const DEADLINE_MAX: Duration = Duration::from_mins(1);
/// After which time a caller whose query found no memory should send it again.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_millis(300);
/// The limits of the server. Callers keep their connections open between requests, so many are idle.
const SERVER_LIMITS: Limits = Limits {
    idle_timeout: Duration::from_secs(30),
    head_timeout: Duration::from_secs(30),
    head_max_bytes: HEAD_MAX_BYTES,
    max_connections: 10_000,
    displaces_bodies: true,
};

/// Handles well-formed requests of callers.
pub trait Handler: Send + Sync + 'static {
    /// Returns the node addresses that the caller may send queries to.
    fn addresses(&self) -> Reply;

    /// Runs a query and returns its answer or its failure.
    fn query(&self, query: QueryRequest) -> impl Future<Output = Reply> + Send;

    /// Counts a refusal that this module decided, and returns the reply to the caller.
    fn refuse(&self, refusal: Refusal) -> Reply;

    /// Returns whether callers are to close their connections after the current request.
    fn closing(&self) -> bool;
}

/// Starts the server for callers, whose connections and bodies count in `memory`.
pub fn spawn<H>(
    listener: TcpListener,
    memory: Budget,
    clock: Clock,
    handler: Arc<H>,
) -> std::io::Result<Server>
where
    H: Handler,
{
    let bodies = memory.clone();
    Server::spawn(
        listener,
        || SERVER_LIMITS,
        memory,
        move |request| {
            let (handler, bodies) = (Arc::clone(&handler), bodies.clone());
            async move { serve(request, &bodies, clock, &*handler).await }
        },
    )
}

async fn serve<H>(
    request: Request<Incoming>,
    memory: &Budget,
    clock: Clock,
    handler: &H,
) -> Response<Full<Bytes>>
where
    H: Handler,
{
    let closing = handler.closing();
    let (reply, body_unread) = match route(request, memory, clock, handler).await {
        Ok(reply) => (reply, false),
        Err(refusal) => (handler.refuse(refusal), true),
    };
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply
        .status
        .try_into()
        .expect("replies carry valid statuses");
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if closing || body_unread {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn route<H>(
    request: Request<Incoming>,
    memory: &Budget,
    clock: Clock,
    handler: &H,
) -> Result<Reply, Refusal>
where
    H: Handler,
{
    let path = request.uri().path();
    if path == "/v1/addresses" {
        return match *request.method() {
            Method::GET => Ok(handler.addresses()),
            _ => Err(Refusal::new(
                Reason::BadRequest,
                "use GET for /v1/addresses",
            )),
        };
    }
    let Some((index, kind)) = parse_query_path(path) else {
        let text = "unknown path; use GET /v1/addresses or POST /v1/query/{index}/{kind}";
        return Err(Refusal::new(Reason::BadRequest, text));
    };
    if *request.method() != Method::POST {
        return Err(Refusal::new(
            Reason::BadRequest,
            "use POST for /v1/query/{index}/{kind}",
        ));
    }
    let (index, kind) = (index.to_owned(), kind.to_owned());
    let (parts, body) = request.into_parts();
    let deadline = parse_deadline(&parts.headers)?;
    check_content_type(&parts.headers)?;
    let request = text_header(&parts.headers, "request-id", Reason::BadRequestId)?;
    let routing_key = text_header(&parts.headers, "routing-key", Reason::BadRequest)?;
    let body = read_body(body, memory, clock).await?;
    Ok(handler
        .query(QueryRequest {
            index,
            kind,
            deadline,
            request_id: request,
            routing_key,
            body,
        })
        .await)
}

/// Returns the index and the query kind of a path `/v1/query/{index}/{kind}`.
fn parse_query_path(path: &str) -> Option<(&str, &str)> {
    let (index, kind) = path.strip_prefix("/v1/query/")?.split_once('/')?;
    (!index.is_empty() && !kind.is_empty() && !kind.contains('/')).then_some((index, kind))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get("deadline-ms") else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match millis.map(Duration::from_millis) {
        Some(limit) if !limit.is_zero() && limit <= DEADLINE_MAX => Ok(Some(limit)),
        _ => Err(Refusal::new(
            Reason::BadDeadline,
            "Deadline-Ms must be from 1 to 60000",
        )),
    }
}

fn check_content_type(headers: &HeaderMap) -> Result<(), Refusal> {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return Ok(());
    };
    let media_type = value
        .as_bytes()
        .split(|&b| b == b';')
        .next()
        .unwrap_or_default();
    match media_type.trim_ascii() {
        b"application/json" | b"application/octet-stream" => Ok(()),
        _ => Err(Refusal::new(
            Reason::BadContentType,
            "Content-Type must be application/json or application/octet-stream",
        )),
    }
}

fn text_header(headers: &HeaderMap, name: &str, reason: Reason) -> Result<Option<String>, Refusal> {
    /// Maximum value of a header.
    const VALUE_MAX_BYTES: usize = 256;
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= VALUE_MAX_BYTES => Ok(Some(text.to_owned())),
        _ => Err(Refusal::new(
            reason,
            format!("{name} must be 1 to 256 visible characters"),
        )),
    }
}

async fn read_body(body: Incoming, memory: &Budget, clock: Clock) -> Result<Bytes, Refusal> {
    let limits = body::Limits {
        max_bytes: BODY_MAX_BYTES,
        timeout: BODY_TIMEOUT,
    };
    let read = body::read(body, limits, memory, || clock.now()).await;
    read.map_err(|e| {
        let (reason, retry_after) = match e {
            body::Error::TooLarge(_) => (Reason::BodyTooLarge, None),
            body::Error::Slow(_) => (Reason::SlowBody, None),
            body::Error::Broken(_) => (Reason::BadRequest, None),
            body::Error::NoMemory(_) => (Reason::QueueFull, Some(RETRY_AFTER_NO_MEMORY)),
        };
        Refusal {
            retry_after,
            ..Refusal::new(reason, e.to_string())
        }
    })
}
