//! HTTP/1.1 connections to one target.
//!
//! Each connection is one task, which drives the protocol and runs one call at a time. The task tells
//! a request that was never written from one that may have run; see `docs/design.md`, section 6.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::time::Moment;
use crate::wire::exchange::Holding;
use crate::wire::{Outcome, Reason, Version};

/// The longest time to wait for a connection; targets are at most a few tens of milliseconds away.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time for a status or a cancel call, which targets answer without queueing.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest answer of a target, in bytes; it bounds the memory that one slot can take.
pub const ANSWER_MAX_BYTES: usize = 1 << 20;

/// Handovers between call and connection per run of their task: an answer takes three, for its
/// head, its body and its end.
pub(super) const POLL_ROUNDS: usize = 3;

/// Read buffer of one connection, in bytes; usual answers fit, and many connections stay open.
const READ_BUFFER_BYTES: usize = 16 << 10;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const ATTEMPT: HeaderName = HeaderName::from_static("attempt");
const INDEX_VERSION: HeaderName = HeaderName::from_static("index-version");
const SHARD: HeaderName = HeaderName::from_static("shard");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const IDEMPOTENT: HeaderName = HeaderName::from_static("idempotent");
const GENERATION: HeaderName = HeaderName::from_static("generation");

/// One search for a target.
#[derive(Debug, Clone)]
pub struct Search {
    /// The request id, which the target echoes.
    pub request_id: HeaderValue,
    /// The attempt, which the target echoes.
    pub attempt: u32,
    /// The version that the answer must come from.
    pub version: Version,
    /// The shard that the answer must be for.
    pub shard: u32,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
    /// The time left for the answer.
    pub remaining: Duration,
    /// The moment by which the answer must be there; the search is not sent later.
    pub deadline: Moment,
    /// The query.
    pub body: Bytes,
}

/// What a target is asked.
#[derive(Debug, Clone)]
pub enum Operation {
    /// `POST /search`.
    Search(Search),
    /// `POST /cancel`.
    Cancel {
        /// The request id of the search to cancel.
        request_id: HeaderValue,
        /// The attempt of the search to cancel.
        attempt: u32,
    },
    /// `GET /status`.
    Status,
}

/// What a target, or the way to it, answered.
#[derive(Debug)]
pub enum OperationOutcome {
    /// The target answered the search with the same request id, attempt, version and shard.
    Answer(Outcome),
    /// The target refused the search before starting it.
    Refused(Reason),
    /// The search may have run, but has no usable answer.
    Lost(Reason),
    /// The target described itself.
    Status(Status),
    /// The target took note of a cancellation; the search itself gets its own answer.
    Cancelled,
    /// The control call failed.
    Failed,
}

/// The result of a call.
#[derive(Debug)]
pub struct Reply {
    /// What was answered.
    pub outcome: OperationOutcome,
    /// The generation that the target reported with it.
    pub generation: Option<u64>,
}

/// The answer to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Changes when the target restarts.
    pub generation: u64,
    /// Whether the target says that it takes work.
    pub serving: bool,
    /// Whether the target says that it is cold.
    pub cold: bool,
    /// What the target says that it holds.
    pub holdings: Vec<Holding>,
}

/// What a connection reports to its owner.
#[derive(Debug)]
pub enum ConnectionEvent<T> {
    /// The connection was established; it is idle unless it was opened with a call.
    Opened,
    /// The call ended and the connection is idle again.
    Done(T, Reply),
    /// The connection ended; `T` is the call that it had, and whether it was never written.
    Closed(Option<(T, Reply)>),
}

/// The handle of one connection; dropping it closes the connection, even during a call.
#[derive(Debug)]
pub struct Connection<T> {
    calls: mpsc::Sender<(T, Operation)>,
}

impl<T> Connection<T>
where
    T: Send + 'static,
{
    /// Opens a connection to `target`, beginning with `first` if there is one.
    ///
    /// `check` is called with the deadline immediately before each search is written, and its error
    /// refuses the search. `on_event` is called for every change; the last call is [`ConnectionEvent::Closed`], unless the handle was dropped before.
    pub fn open<M, S>(target: &Target, first: Option<(T, Operation)>, check: M, on_event: S) -> Self
    where
        M: Fn(Moment) -> Result<(), Reason> + Send + Sync + 'static,
        S: Fn(ConnectionEvent<T>) + Send + Sync + 'static,
    {
        let (sender, calls) = mpsc::channel(1);
        let task = ConnectionTask {
            target: target.clone(),
            calls,
            check,
            on_event,
            version: None,
        };
        tokio::spawn(task.run(first));
        Self { calls: sender }
    }

    /// Starts a call on an idle connection; the call is given back if the connection has ended.
    pub fn call(&self, tag: T, operation: Operation) -> Result<(), (T, Operation)> {
        self.calls
            .try_send((tag, operation))
            .map_err(mpsc::error::TrySendError::into_inner)
    }
}

/// The address of a target, prepared for requests.
#[derive(Debug, Clone)]
pub struct Target {
    address: SocketAddr,
    host: HeaderValue,
}

impl Target {
    /// Prepares an address.
    pub fn new(address: SocketAddr) -> Self {
        let host = HeaderValue::try_from(address.to_string())
            .expect("a socket address is a valid header value");
        Self { address, host }
    }

    /// Returns the address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Builds the request; `version` keeps the header of the version that was asked for last.
    fn request(
        &self,
        operation: &Operation,
        version: &mut Option<(Version, HeaderValue)>,
    ) -> Request<Full<Bytes>> {
        let (method, path, body) = match operation {
            Operation::Search(search) => (Method::POST, "/search", search.body.clone()),
            Operation::Cancel { .. } => (Method::POST, "/cancel", Bytes::new()),
            Operation::Status => (Method::GET, "/status", Bytes::new()),
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = hyper::Uri::from_static(path);
        let headers = request.headers_mut();
        headers.reserve(8);
        headers.insert(HOST, self.host.clone());
        match operation {
            Operation::Search(search) => {
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                headers.insert(REQUEST_ID, search.request_id.clone());
                headers.insert(ATTEMPT, decimal_header(search.attempt.into()));
                let (_, text) = match version.take() {
                    Some(last) if last.0 == search.version => version.insert(last),
                    _ => version.insert((search.version, search.version.0.into())),
                };
                headers.insert(INDEX_VERSION, text.clone());
                headers.insert(SHARD, decimal_header(search.shard.into()));
                let remaining = u64::try_from(search.remaining.as_millis()).unwrap_or(u64::MAX);
                headers.insert(DEADLINE_MS, decimal_header(remaining.max(1)));
                if !search.idempotent {
                    headers.insert(IDEMPOTENT, HeaderValue::from_static("false"));
                }
            }
            Operation::Cancel {
                request_id,
                attempt,
            } => {
                headers.insert(REQUEST_ID, request_id.clone());
                headers.insert(ATTEMPT, decimal_header((*attempt).into()));
            }
            Operation::Status => {}
        }
        request
    }
}

/// Returns the header value of a number.
///
/// Attempts, shards and deadlines are small numbers, whose texts are kept for the life of the
/// process; making a header value of a new text allocates twice.
fn decimal_header(number: u64) -> HeaderValue {
    /// Numbers below this one are kept; their texts take 4 KB.
    const CACHED_COUNT: u64 = 1_024;
    static CACHED_TEXTS: LazyLock<Vec<&'static str>> = LazyLock::new(|| {
        (0..CACHED_COUNT)
            .map(|number| &*number.to_string().leak())
            .collect()
    });
    let cached = usize::try_from(number)
        .ok()
        .and_then(|index| CACHED_TEXTS.get(index));
    cached.map_or_else(|| number.into(), |text| HeaderValue::from_static(text))
}

/// The task of one connection.
struct ConnectionTask<T, M, S> {
    target: Target,
    calls: mpsc::Receiver<(T, Operation)>,
    check: M,
    on_event: S,
    version: Option<(Version, HeaderValue)>,
}

/// How one call on a connection ended.
enum OperationEnd {
    /// The connection can be used again.
    Reusable(Reply),
    /// The connection must not be used again.
    Unusable(Reply),
    /// The owner dropped the handle.
    Dropped,
}

impl<T, M, S> ConnectionTask<T, M, S>
where
    T: Send + 'static,
    M: Fn(Moment) -> Result<(), Reason> + Send + Sync + 'static,
    S: Fn(ConnectionEvent<T>) + Send + Sync + 'static,
{
    async fn run(mut self, first: Option<(T, Operation)>) {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.target.address));
        let opened = tokio::select! {
            opened = connect => opened,
            () = handle_dropped(&mut self.calls) => return,
        };
        let Ok(Ok((mut sender, connection))) = opened else {
            let call = first.map(|(tag, operation)| (tag, not_sent_reply(&operation)));
            (self.on_event)(ConnectionEvent::Closed(call));
            return;
        };
        let mut connection = pin!(connection);
        let mut next = first;
        (self.on_event)(ConnectionEvent::Opened);
        loop {
            let call = if let Some(call) = next.take() {
                Some(call)
            } else {
                tokio::select! {
                    // The connection goes first, so that its end is seen before a call is taken.
                    biased;
                    _ = &mut connection => {
                        self.calls.close();
                        let call = self.calls.try_recv().ok();
                        let call = call.map(|(tag, operation)| (tag, not_sent_reply(&operation)));
                        (self.on_event)(ConnectionEvent::Closed(call));
                        return;
                    }
                    call = self.calls.recv() => call,
                }
            };
            let Some((tag, operation)) = call else {
                return;
            };
            match self
                .run_operation(&mut sender, connection.as_mut(), &operation)
                .await
            {
                OperationEnd::Reusable(reply) => (self.on_event)(ConnectionEvent::Done(tag, reply)),
                OperationEnd::Unusable(reply) => {
                    (self.on_event)(ConnectionEvent::Closed(Some((tag, reply))));
                    return;
                }
                OperationEnd::Dropped => return,
            }
        }
    }

    /// Runs one call while driving the connection.
    async fn run_operation<C>(
        &mut self,
        sender: &mut http1::SendRequest<Full<Bytes>>,
        mut connection: Pin<&mut C>,
        operation: &Operation,
    ) -> OperationEnd
    where
        C: Future<Output = hyper::Result<()>>,
    {
        let is_search = matches!(operation, Operation::Search(_));
        if let Operation::Search(search) = operation
            && let Err(reason) = (self.check)(search.deadline)
        {
            return OperationEnd::Reusable(Reply {
                outcome: OperationOutcome::Refused(reason),
                generation: None,
            });
        }
        let mut ended = false;
        let head_received = AtomicBool::new(false);
        let request = self.target.request(operation, &mut self.version);
        let call = async {
            let reply = send_request(sender, request, operation, &head_received).await;
            // A call on a connection that is not ready would be given back as not sent.
            let ready = sender.ready().await.is_ok();
            (reply, ready)
        };
        let mut call = pin!(call);
        // Call and connection hand data to each other several times per answer. Polling them in
        // turn here costs less than a new run of the task for each handover.
        let response = poll_fn(|cx| {
            for _ in 0..POLL_ROUNDS {
                if let Poll::Ready(done) = call.as_mut().poll(cx) {
                    return Poll::Ready(done);
                }
                if !ended {
                    ended = connection.as_mut().poll(cx).is_ready();
                }
                if !head_received.load(Ordering::Relaxed) {
                    // Either the head of the answer has come by now, or nothing more will.
                    let done = call.as_mut().poll(cx);
                    if done.is_ready() || !head_received.load(Ordering::Relaxed) {
                        return done;
                    }
                }
            }
            call.as_mut().poll(cx)
        });
        let done = tokio::select! {
            biased;
            done = response => Some(done),
            () = handle_dropped(&mut self.calls) => return OperationEnd::Dropped,
            // The gate watches the deadlines of searches.
            () = tokio::time::sleep(CONTROL_TIMEOUT), if !is_search => None,
        };
        let Some((reply, ready)) = done else {
            return OperationEnd::Unusable(Reply {
                outcome: OperationOutcome::Failed,
                generation: None,
            });
        };
        let mismatched = matches!(
            reply.outcome,
            OperationOutcome::Lost(Reason::MismatchedAnswer)
        );
        // After a mismatch, the next answer may belong to an earlier request, too.
        if ready && !ended && !mismatched {
            OperationEnd::Reusable(reply)
        } else {
            OperationEnd::Unusable(reply)
        }
    }
}

type Handshake = (
    http1::SendRequest<Full<Bytes>>,
    http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
);

async fn connect(address: SocketAddr) -> anyhow::Result<Handshake> {
    let stream = TcpStream::connect(address).await?;
    // Requests are small and complete, so waiting for more data only delays them.
    stream.set_nodelay(true)?;
    let opened = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok(opened)
}

/// Waits until the owner has dropped the handle.
///
/// An owner starts no second call before the first has ended, so a call here is a fault of the owner.
async fn handle_dropped<T>(calls: &mut mpsc::Receiver<(T, Operation)>) {
    let call = calls.recv().await;
    debug_assert!(call.is_none(), "a busy connection gets no second call");
}

fn not_sent_reply(operation: &Operation) -> Reply {
    let outcome = match operation {
        Operation::Search(_) => OperationOutcome::Refused(Reason::NotSent),
        Operation::Cancel { .. } | Operation::Status => OperationOutcome::Failed,
    };
    Reply {
        outcome,
        generation: None,
    }
}

async fn send_request(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    operation: &Operation,
    head_received: &AtomicBool,
) -> Reply {
    let lost = || match operation {
        Operation::Search(_) => OperationOutcome::Lost(Reason::ConnectionLost),
        Operation::Cancel { .. } | Operation::Status => OperationOutcome::Failed,
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            if error.take_message().is_some() {
                return not_sent_reply(operation);
            }
            return Reply {
                outcome: lost(),
                generation: None,
            };
        }
    };
    head_received.store(true, Ordering::Relaxed);
    let (head, body) = response.into_parts();
    let generation = head.headers.get(GENERATION).map(parse_generation);
    let outcome = match Limited::new(body, ANSWER_MAX_BYTES).collect().await {
        Ok(body) => interpret_response(&Response::from_parts(head, body.to_bytes()), operation),
        Err(_) => lost(),
    };
    Reply {
        outcome,
        generation,
    }
}

/// Interprets a whole response.
fn interpret_response(response: &Response<Bytes>, operation: &Operation) -> OperationOutcome {
    match operation {
        Operation::Search(search) => match response.status() {
            StatusCode::OK => check_answer(response, search),
            StatusCode::TOO_MANY_REQUESTS => OperationOutcome::Refused(Reason::Shed),
            StatusCode::SERVICE_UNAVAILABLE => OperationOutcome::Refused(Reason::Draining),
            StatusCode::GONE => OperationOutcome::Refused(Reason::VersionGone),
            StatusCode::REQUEST_TIMEOUT => OperationOutcome::Refused(Reason::Expired),
            _ => OperationOutcome::Lost(Reason::TargetError),
        },
        Operation::Cancel { .. } if response.status().is_success() => OperationOutcome::Cancelled,
        Operation::Status if response.status().is_success() => {
            parse_status(response.body()).map_or(OperationOutcome::Failed, OperationOutcome::Status)
        }
        Operation::Cancel { .. } | Operation::Status => OperationOutcome::Failed,
    }
}

/// Accepts an answer only if it names the request that it came for.
fn check_answer(response: &Response<Bytes>, search: &Search) -> OperationOutcome {
    let headers = response.headers();
    let matches = headers.get(REQUEST_ID) == Some(&search.request_id)
        && numeric_header(headers, &ATTEMPT) == Some(search.attempt.into())
        && numeric_header(headers, &INDEX_VERSION) == Some(search.version.0)
        && numeric_header(headers, &SHARD) == Some(search.shard.into());
    if !matches {
        return OperationOutcome::Lost(Reason::MismatchedAnswer);
    }
    OperationOutcome::Answer(Outcome::Answer {
        request: search.request_id.to_str().unwrap_or_default().to_owned(),
        version: search.version,
        shard: search.shard,
        attempt: search.attempt,
        body: response.body().clone(),
    })
}

fn numeric_header(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Reads a generation, of which only equality matters.
fn parse_generation(value: &HeaderValue) -> u64 {
    generation_of(value.as_bytes())
}

fn generation_of(text: &[u8]) -> u64 {
    std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| xxh3_64(text))
}

/// The JSON form of [`Status`].
#[derive(Deserialize)]
struct StatusBody {
    generation: serde_json::Value,
    state: String,
    #[serde(default)]
    versions: Vec<Holding>,
}

fn parse_status(body: &[u8]) -> Option<Status> {
    let body: StatusBody = serde_json::from_slice(body).ok()?;
    let generation = match &body.generation {
        serde_json::Value::String(text) => generation_of(text.as_bytes()),
        other => generation_of(other.to_string().as_bytes()),
    };
    Some(Status {
        generation,
        // A target that is neither draining nor stopping takes work, whatever it calls its state.
        serving: !matches!(body.state.as_str(), "draining" | "leaving" | "stopping"),
        cold: body.state == "cold",
        holdings: body.versions,
    })
}
