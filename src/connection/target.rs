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
pub const ANSWER_MAX: usize = 1 << 20;

/// Handovers between call and connection per run of their task: an answer takes three, for its
/// head, its body and its end.
pub(super) const HANDOVERS: usize = 3;

/// Read buffer of one connection, in bytes; usual answers fit, and many connections stay open.
const READ_BUFFER: usize = 16 << 10;

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
    pub request: HeaderValue,
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
pub enum Ask {
    /// `POST /search`.
    Search(Search),
    /// `POST /cancel`.
    Cancel {
        /// The request id of the search to cancel.
        request: HeaderValue,
        /// The attempt of the search to cancel.
        attempt: u32,
    },
    /// `GET /status`.
    Status,
}

/// What a target, or the way to it, answered.
#[derive(Debug)]
pub enum Said {
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
    pub said: Said,
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
pub enum Signal<T> {
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
    calls: mpsc::Sender<(T, Ask)>,
}

impl<T> Connection<T>
where
    T: Send + 'static,
{
    /// Opens a connection to `target`, beginning with `first` if there is one.
    ///
    /// `check` is called with the deadline immediately before each search is written, and its error
    /// refuses the search. `signal` is called for every change; the last call is [`Signal::Closed`], unless the handle was dropped before.
    pub fn open<M, S>(target: &Target, first: Option<(T, Ask)>, check: M, signal: S) -> Self
    where
        M: Fn(Moment) -> Result<(), Reason> + Send + Sync + 'static,
        S: Fn(Signal<T>) + Send + Sync + 'static,
    {
        let (sender, calls) = mpsc::channel(1);
        let task = Task {
            target: target.clone(),
            calls,
            check,
            signal,
            version: None,
        };
        tokio::spawn(task.run(first));
        Self { calls: sender }
    }

    /// Starts a call on an idle connection; the call is given back if the connection has ended.
    pub fn call(&self, tag: T, ask: Ask) -> Result<(), (T, Ask)> {
        self.calls
            .try_send((tag, ask))
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
        ask: &Ask,
        version: &mut Option<(Version, HeaderValue)>,
    ) -> Request<Full<Bytes>> {
        let (method, path, body) = match ask {
            Ask::Search(search) => (Method::POST, "/search", search.body.clone()),
            Ask::Cancel { .. } => (Method::POST, "/cancel", Bytes::new()),
            Ask::Status => (Method::GET, "/status", Bytes::new()),
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = hyper::Uri::from_static(path);
        let headers = request.headers_mut();
        headers.reserve(8);
        headers.insert(HOST, self.host.clone());
        match ask {
            Ask::Search(search) => {
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                headers.insert(REQUEST_ID, search.request.clone());
                headers.insert(ATTEMPT, decimal(search.attempt.into()));
                let (_, text) = match version.take() {
                    Some(last) if last.0 == search.version => version.insert(last),
                    _ => version.insert((search.version, search.version.0.into())),
                };
                headers.insert(INDEX_VERSION, text.clone());
                headers.insert(SHARD, decimal(search.shard.into()));
                let remaining = u64::try_from(search.remaining.as_millis()).unwrap_or(u64::MAX);
                headers.insert(DEADLINE_MS, decimal(remaining.max(1)));
                if !search.idempotent {
                    headers.insert(IDEMPOTENT, HeaderValue::from_static("false"));
                }
            }
            Ask::Cancel { request, attempt } => {
                headers.insert(REQUEST_ID, request.clone());
                headers.insert(ATTEMPT, decimal((*attempt).into()));
            }
            Ask::Status => {}
        }
        request
    }
}

/// Returns the header value of a number.
///
/// Attempts, shards and deadlines are small numbers, whose texts are kept for the life of the
/// process; making a header value of a new text allocates twice.
fn decimal(number: u64) -> HeaderValue {
    /// Numbers below this one are kept; their texts take 4 KB.
    const KEPT: u64 = 1_024;
    static TEXTS: LazyLock<Vec<&'static str>> = LazyLock::new(|| {
        (0..KEPT)
            .map(|number| &*number.to_string().leak())
            .collect()
    });
    let kept = usize::try_from(number)
        .ok()
        .and_then(|index| TEXTS.get(index));
    kept.map_or_else(|| number.into(), |text| HeaderValue::from_static(text))
}

/// The task of one connection.
struct Task<T, M, S> {
    target: Target,
    calls: mpsc::Receiver<(T, Ask)>,
    check: M,
    signal: S,
    version: Option<(Version, HeaderValue)>,
}

/// How one call on a connection ended.
enum Ending {
    /// The connection can be used again.
    Idle(Reply),
    /// The connection must not be used again.
    Ended(Reply),
    /// The owner dropped the handle.
    Dropped,
}

impl<T, M, S> Task<T, M, S>
where
    T: Send + 'static,
    M: Fn(Moment) -> Result<(), Reason> + Send + Sync + 'static,
    S: Fn(Signal<T>) + Send + Sync + 'static,
{
    async fn run(mut self, first: Option<(T, Ask)>) {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.target.address));
        let opened = tokio::select! {
            opened = connect => opened,
            () = closed(&mut self.calls) => return,
        };
        let Ok(Ok((mut sender, connection))) = opened else {
            let call = first.map(|(tag, ask)| (tag, not_sent(&ask)));
            (self.signal)(Signal::Closed(call));
            return;
        };
        let mut connection = pin!(connection);
        let mut next = first;
        (self.signal)(Signal::Opened);
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
                        let call = call.map(|(tag, ask)| (tag, not_sent(&ask)));
                        (self.signal)(Signal::Closed(call));
                        return;
                    }
                    call = self.calls.recv() => call,
                }
            };
            let Some((tag, ask)) = call else {
                return;
            };
            match self.drive(&mut sender, connection.as_mut(), &ask).await {
                Ending::Idle(reply) => (self.signal)(Signal::Done(tag, reply)),
                Ending::Ended(reply) => {
                    (self.signal)(Signal::Closed(Some((tag, reply))));
                    return;
                }
                Ending::Dropped => return,
            }
        }
    }

    /// Runs one call while driving the connection.
    async fn drive<C>(
        &mut self,
        sender: &mut http1::SendRequest<Full<Bytes>>,
        mut connection: Pin<&mut C>,
        ask: &Ask,
    ) -> Ending
    where
        C: Future<Output = hyper::Result<()>>,
    {
        let is_search = matches!(ask, Ask::Search(_));
        if let Ask::Search(search) = ask
            && let Err(reason) = (self.check)(search.deadline)
        {
            return Ending::Idle(Reply {
                said: Said::Refused(reason),
                generation: None,
            });
        }
        let mut ended = false;
        let answering = AtomicBool::new(false);
        let request = self.target.request(ask, &mut self.version);
        let call = async {
            let reply = exchange(sender, request, ask, &answering).await;
            // A call on a connection that is not ready would be given back as not sent.
            let ready = sender.ready().await.is_ok();
            (reply, ready)
        };
        let mut call = pin!(call);
        // Call and connection hand data to each other several times per answer. Polling them in
        // turn here costs less than a new run of the task for each handover.
        let exchange = poll_fn(|cx| {
            for _ in 0..HANDOVERS {
                if let Poll::Ready(done) = call.as_mut().poll(cx) {
                    return Poll::Ready(done);
                }
                if !ended {
                    ended = connection.as_mut().poll(cx).is_ready();
                }
                if !answering.load(Ordering::Relaxed) {
                    // Either the head of the answer has come by now, or nothing more will.
                    let done = call.as_mut().poll(cx);
                    if done.is_ready() || !answering.load(Ordering::Relaxed) {
                        return done;
                    }
                }
            }
            call.as_mut().poll(cx)
        });
        let done = tokio::select! {
            biased;
            done = exchange => Some(done),
            () = closed(&mut self.calls) => return Ending::Dropped,
            // The gate watches the deadlines of searches.
            () = tokio::time::sleep(CONTROL_TIMEOUT), if !is_search => None,
        };
        let Some((reply, ready)) = done else {
            return Ending::Ended(Reply {
                said: Said::Failed,
                generation: None,
            });
        };
        let mismatched = matches!(reply.said, Said::Lost(Reason::MismatchedAnswer));
        // After a mismatch, the next answer may belong to an earlier request, too.
        if ready && !ended && !mismatched {
            Ending::Idle(reply)
        } else {
            Ending::Ended(reply)
        }
    }
}

type Opened = (
    http1::SendRequest<Full<Bytes>>,
    http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
);

async fn connect(address: SocketAddr) -> anyhow::Result<Opened> {
    let stream = TcpStream::connect(address).await?;
    // Requests are small and complete, so waiting for more data only delays them.
    stream.set_nodelay(true)?;
    let opened = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok(opened)
}

/// Waits until the owner has dropped the handle.
///
/// An owner starts no second call before the first has ended, so a call here is a fault of the owner.
async fn closed<T>(calls: &mut mpsc::Receiver<(T, Ask)>) {
    let call = calls.recv().await;
    debug_assert!(call.is_none(), "a busy connection gets no second call");
}

fn not_sent(ask: &Ask) -> Reply {
    let said = match ask {
        Ask::Search(_) => Said::Refused(Reason::NotSent),
        Ask::Cancel { .. } | Ask::Status => Said::Failed,
    };
    Reply {
        said,
        generation: None,
    }
}

async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    ask: &Ask,
    answering: &AtomicBool,
) -> Reply {
    let lost = || match ask {
        Ask::Search(_) => Said::Lost(Reason::ConnectionLost),
        Ask::Cancel { .. } | Ask::Status => Said::Failed,
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            if error.take_message().is_some() {
                return not_sent(ask);
            }
            return Reply {
                said: lost(),
                generation: None,
            };
        }
    };
    answering.store(true, Ordering::Relaxed);
    let (head, body) = response.into_parts();
    let generation = head.headers.get(GENERATION).map(parse_generation);
    let said = match Limited::new(body, ANSWER_MAX).collect().await {
        Ok(body) => read(&Response::from_parts(head, body.to_bytes()), ask),
        Err(_) => lost(),
    };
    Reply { said, generation }
}

/// Interprets a whole response.
fn read(response: &Response<Bytes>, ask: &Ask) -> Said {
    match ask {
        Ask::Search(search) => match response.status() {
            StatusCode::OK => match_answer(response, search),
            StatusCode::TOO_MANY_REQUESTS => Said::Refused(Reason::Shed),
            StatusCode::SERVICE_UNAVAILABLE => Said::Refused(Reason::Draining),
            StatusCode::GONE => Said::Refused(Reason::VersionGone),
            StatusCode::REQUEST_TIMEOUT => Said::Refused(Reason::Expired),
            _ => Said::Lost(Reason::TargetError),
        },
        Ask::Cancel { .. } if response.status().is_success() => Said::Cancelled,
        Ask::Status if response.status().is_success() => {
            parse_status(response.body()).map_or(Said::Failed, Said::Status)
        }
        Ask::Cancel { .. } | Ask::Status => Said::Failed,
    }
}

/// Accepts an answer only if it names the request that it came for.
fn match_answer(response: &Response<Bytes>, search: &Search) -> Said {
    let headers = response.headers();
    let matches = headers.get(REQUEST_ID) == Some(&search.request)
        && number(headers, &ATTEMPT) == Some(search.attempt.into())
        && number(headers, &INDEX_VERSION) == Some(search.version.0)
        && number(headers, &SHARD) == Some(search.shard.into());
    if !matches {
        return Said::Lost(Reason::MismatchedAnswer);
    }
    Said::Answer(Outcome::Answer {
        request: search.request.to_str().unwrap_or_default().to_owned(),
        version: search.version,
        shard: search.shard,
        attempt: search.attempt,
        body: response.body().clone(),
    })
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
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
