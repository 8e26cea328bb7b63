//! HTTP/1.1 client connections to one target, used by the gateway that owns the target.
//!
//! Each connection is a task that drives the protocol and runs one operation at a time. The task
//! distinguishes a request that was never written from one that the target may have run; see
//! `docs/design.md`, section 6.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::memory::Budget;
use crate::time::Moment;
use crate::wire::exchange::Holding;
use crate::wire::{Outcome, Reason, Version};

/// Time limit for opening a connection; targets are at most a few tens of milliseconds away.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for a status or cancel operation, which targets answer without queueing.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum body of a target's answer; it bounds the memory that one running subrequest takes.
pub const ANSWER_MAX_BYTES: usize = 1 << 20;

/// Maximum size of the bodies of all answers that a gateway holds.
pub const ANSWERS_MAX_BYTES: usize = 32 << 20;

/// Number of times that one run of a task polls the request and its connection in turn. An answer
/// takes three rounds: one each for its head, its body and its end.
pub(super) const POLL_ROUNDS: usize = 3;

/// Read buffer of one connection. Typical answers fit, and the buffer stays small because many
/// connections are open at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const ATTEMPT: HeaderName = HeaderName::from_static("attempt");
const INDEX_VERSION: HeaderName = HeaderName::from_static("index-version");
const SHARD: HeaderName = HeaderName::from_static("shard");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const IDEMPOTENT: HeaderName = HeaderName::from_static("idempotent");
const GENERATION: HeaderName = HeaderName::from_static("generation");

/// A search request for a target.
#[derive(Debug, Clone)]
pub struct Search {
    /// The request id. The target echoes it.
    pub request_id: HeaderValue,
    /// The number of earlier searches for the same shard of this request. The target echoes it.
    pub attempt: u32,
    /// The index version that the answer must come from.
    pub version: Version,
    /// The shard that the answer must be for.
    pub shard: u32,
    /// Whether the target may run the search more than once.
    pub idempotent: bool,
    /// The time left for the answer. It is sent to the target.
    pub remaining: Duration,
    /// The moment by which the answer must have arrived. The search is not sent after it.
    pub deadline: Moment,
    /// The query, as the caller sent it.
    pub body: Bytes,
}

/// An operation that a target is asked to perform.
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

/// The outcome of an operation, decided by the target's answer or by the failure to get one.
#[derive(Debug)]
pub enum OperationOutcome {
    /// The target answered the search, and the answer echoes its request id, attempt, version and
    /// shard.
    SearchAnswer(Outcome),
    /// The search did not start: it was never written, or the target refused it.
    Refused(Reason),
    /// The search may have run, but there is no usable answer.
    Lost(Reason),
    /// The target reported its status.
    Status(Status),
    /// The target accepted a cancellation. The cancelled search still gets its own answer.
    Cancelled,
    /// The status or cancel operation failed.
    Failed,
}

/// The result of an operation.
#[derive(Debug)]
pub struct Reply {
    /// How the operation ended.
    pub outcome: OperationOutcome,
    /// The generation that the target reported in the answer, if any.
    pub generation: Option<u64>,
}

/// The answer to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The target's generation, which changes when the target restarts.
    pub generation: u64,
    /// Whether the target reports that it takes new work.
    pub serving: bool,
    /// Whether the target reports that it is cold, that is, still warming up.
    pub cold: bool,
    /// The index versions and shards that the target reports to hold.
    pub holdings: Vec<Holding>,
}

/// An event that a connection reports to its owner.
#[derive(Debug)]
pub enum ConnectionEvent<T> {
    /// The connection was established. It is idle unless it was opened with an operation.
    Opened,
    /// The operation with this tag ended, and the connection is idle again.
    Done(T, Reply),
    /// The connection ended, or could not be opened. Holds the tag and result of the operation that
    /// was running or about to start, if any.
    Closed(Option<(T, Reply)>),
}

/// The handle of one connection. Dropping it closes the connection, even during an operation.
#[derive(Debug)]
pub struct Connection<T> {
    operations: mpsc::Sender<(T, Operation)>,
}

impl<T> Connection<T>
where
    T: Send + 'static,
{
    /// Opens a connection to `target` and starts with the operation `first`, if any.
    ///
    /// `check` is called with the deadline immediately before each search is written; if it returns
    /// an error, the search is refused with that reason. `on_event` is called for every event. The
    /// last one is [`ConnectionEvent::Closed`], unless the handle is dropped first.
    pub fn open<M, S>(target: &Target, first: Option<(T, Operation)>, check: M, on_event: S) -> Self
    where
        M: Fn(Moment) -> Result<(), Reason> + Send + Sync + 'static,
        S: Fn(ConnectionEvent<T>) + Send + Sync + 'static,
    {
        let (sender, operations) = mpsc::channel(1);
        let task = ConnectionTask {
            target: target.clone(),
            operations,
            check,
            on_event,
            version: None,
        };
        tokio::spawn(task.run(first));
        Self { operations: sender }
    }

    /// Starts an operation on an idle connection, or returns it if the connection has ended.
    pub fn start(&self, tag: T, operation: Operation) -> Result<(), (T, Operation)> {
        self.operations
            .try_send((tag, operation))
            .map_err(mpsc::error::TrySendError::into_inner)
    }
}

/// The address of a target, the `Host` header of requests to it, and the memory for its answers.
#[derive(Debug, Clone)]
pub struct Target {
    address: SocketAddr,
    host: HeaderValue,
    answers: Budget,
}

impl Target {
    /// Creates a target from its address. The bodies of its answers count in `answers` until they are dropped.
    pub fn new(address: SocketAddr, answers: Budget) -> Self {
        let host = HeaderValue::try_from(address.to_string())
            .expect("a socket address is a valid header value");
        Self {
            address,
            host,
            answers,
        }
    }

    /// Returns the address that requests are sent to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Builds the HTTP request. `version` caches the header value of the version used last.
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

/// Returns a number as a decimal header value.
///
/// Attempts, shards and deadlines are small numbers. Their texts are cached for the life of the
/// process, because a header value from a new text takes two allocations.
fn decimal_header(number: u64) -> HeaderValue {
    /// Numbers below this one are cached; their texts take 4 KB in all.
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

/// The task that drives one connection.
struct ConnectionTask<T, M, S> {
    target: Target,
    operations: mpsc::Receiver<(T, Operation)>,
    check: M,
    on_event: S,
    version: Option<(Version, HeaderValue)>,
}

/// The state of a connection after an operation.
enum OperationEnd {
    /// The connection can be used for the next operation.
    Reusable(Reply),
    /// The connection must be closed.
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
            () = handle_dropped(&mut self.operations) => return,
        };
        let Ok(Ok((mut sender, connection))) = opened else {
            let tagged = first.map(|(tag, operation)| (tag, not_sent_reply(&operation)));
            (self.on_event)(ConnectionEvent::Closed(tagged));
            return;
        };
        let mut connection = pin!(connection);
        let mut next = first;
        (self.on_event)(ConnectionEvent::Opened);
        loop {
            let tagged = if let Some(tagged) = next.take() {
                Some(tagged)
            } else {
                tokio::select! {
                    // Polls the connection first, so that its end is seen before an operation is
                    // taken.
                    biased;
                    _ = &mut connection => {
                        self.operations.close();
                        let tagged = self.operations.try_recv().ok();
                        let tagged = tagged.map(|(tag, operation)| (tag, not_sent_reply(&operation)));
                        (self.on_event)(ConnectionEvent::Closed(tagged));
                        return;
                    }
                    tagged = self.operations.recv() => tagged,
                }
            };
            let Some((tag, operation)) = tagged else {
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

    /// Runs one operation while driving the connection.
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
        let mut connection_ended = false;
        let head_received = AtomicBool::new(false);
        let request = self.target.request(operation, &mut self.version);
        let answers = self.target.answers.clone();
        let exchange = async {
            let reply = send_request(sender, request, operation, &head_received, &answers).await;
            // An operation on a connection that is not ready would be reported as not sent.
            let ready = sender.ready().await.is_ok();
            (reply, ready)
        };
        let mut exchange = pin!(exchange);
        // The request and the connection exchange data several times per answer. Polling them in
        // turn costs less than running the task again each time.
        let response = poll_fn(|cx| {
            for _ in 0..POLL_ROUNDS {
                if let Poll::Ready(done) = exchange.as_mut().poll(cx) {
                    return Poll::Ready(done);
                }
                if !connection_ended {
                    connection_ended = connection.as_mut().poll(cx).is_ready();
                }
                if !head_received.load(Ordering::Relaxed) {
                    // Unless the head of the answer has arrived by now, no more data is available.
                    let done = exchange.as_mut().poll(cx);
                    if done.is_ready() || !head_received.load(Ordering::Relaxed) {
                        return done;
                    }
                }
            }
            exchange.as_mut().poll(cx)
        });
        let done = tokio::select! {
            biased;
            done = response => Some(done),
            () = handle_dropped(&mut self.operations) => return OperationEnd::Dropped,
            // Searches need no time limit here: the target's gate (`process::gate`) enforces their deadlines.
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
        // After a mismatched answer, the next one may belong to an earlier request, too.
        if ready && !connection_ended && !mismatched {
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
    // Each request is written in one piece, so waiting for more data would only delay it.
    stream.set_nodelay(true)?;
    let opened = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok(opened)
}

/// Waits until the owner drops the handle.
///
/// The owner must not start an operation while another one is running.
async fn handle_dropped<T>(operations: &mut mpsc::Receiver<(T, Operation)>) {
    let operation = operations.recv().await;
    debug_assert!(
        operation.is_none(),
        "the owner started an operation on a busy connection"
    );
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
    answers: &Budget,
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
    let outcome = match receive_body(body, answers).await {
        Some(body) => interpret_response(&Response::from_parts(head, body), operation),
        None => lost(),
    };
    Reply {
        outcome,
        generation,
    }
}

/// Receives a body; absent if the connection ends or there is no memory for the rest.
///
/// The received parts are copied into one buffer: each of them keeps the whole read buffer that it lies in, also if it
/// is a chunk of one byte.
async fn receive_body(mut body: Incoming, answers: &Budget) -> Option<Bytes> {
    let mut reception = answers.start_answer(ANSWER_MAX_BYTES);
    while let Some(frame) = body.frame().await {
        // Trailers are not used.
        if let Ok(data) = frame.ok()?.into_data() {
            // The budget receives no bodies of requests that could be displaced, so that the time does not matter.
            reception.append(&data, Moment::ZERO).ok()?;
        }
    }
    Some(reception.finish())
}

/// Returns the outcome that a complete response stands for.
///
/// The statuses 429, 503, 410 and 408 are taken to mean that the target did not start the search; after any
/// other status but 200, it may have run.
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

/// Returns the answer if it echoes the identifiers of the search; otherwise reports it as mismatched.
fn check_answer(response: &Response<Bytes>, search: &Search) -> OperationOutcome {
    let headers = response.headers();
    let matches = headers.get(REQUEST_ID) == Some(&search.request_id)
        && numeric_header(headers, &ATTEMPT) == Some(search.attempt.into())
        && numeric_header(headers, &INDEX_VERSION) == Some(search.version.0)
        && numeric_header(headers, &SHARD) == Some(search.shard.into());
    if !matches {
        return OperationOutcome::Lost(Reason::MismatchedAnswer);
    }
    OperationOutcome::SearchAnswer(Outcome::Answer {
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

/// Parses a generation. Generations are only compared for equality.
fn parse_generation(value: &HeaderValue) -> u64 {
    generation_of(value.as_bytes())
}

/// Returns the generation as a number, or a hash of it if it is not one.
fn generation_of(text: &[u8]) -> u64 {
    std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| xxh3_64(text))
}

/// The JSON body of an answer to `GET /status`.
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
        // Any state other than these three means that the target takes new work.
        serving: !matches!(body.state.as_str(), "draining" | "leaving" | "stopping"),
        cold: body.state == "cold",
        holdings: body.versions,
    })
}
