//! A pool of HTTP/1.1 connections to all targets, for nodes that reach every target directly.
//!
//! A connection is driven by the call that uses it and needs no task of its own. It returns to the pool only
//! after a complete answer that settles the subrequest, be it a success, a failure or a refusal, and if no
//! bytes followed that answer. In all other cases it is closed, because a late answer on it would otherwise be
//! taken for the answer to the next request.
//!
//! A target may send bytes without end. Each exchange may read [`EXCHANGE_MAX_BYTES`], and all exchanges that
//! wait for the rest of a body may hold [`BODIES_MAX_BYTES`] together. Connections and their buffers, which hold
//! unfinished heads, count in a budget of their own; see `docs/design/memory.md`.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use slotmap::SecondaryMap;
use smallvec::SmallVec;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use super::memory::{Budget, Permit, STEP_BYTES, Usage};
use super::metered::{Allowance, Buffer, MeteredStream};
use super::target::{ANSWER_MAX_BYTES, POLL_ROUNDS};
use crate::process::registry::TargetKey;
use crate::request::reply::{FailureCause, Outcome};
use crate::tenancy::Sender;
use crate::time::{Clock, Moment};

/// Time limit for opening a connection. Targets are a few milliseconds away. A lost packet of the
/// handshake is sent again only after a second, and it is better to try another target at once: no
/// request has been sent yet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The send buffer that the system is asked for on each connection; it grants twice as much. Without a bound, bodies for
/// targets that do not read them fill the memory of the machine once for each shard.
const SEND_BUFFER_BYTES: usize = 16 << 10;
/// How long sent bytes may stay unacknowledged before TCP closes the connection.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept if the target's answer has no keep-alive time-out.
/// [`KEEP_ALIVE_MARGIN`] is not subtracted from it.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);
/// How long each further idle connection to the same target is kept. If a node loses power, the target
/// counts its connections until it closes them itself, so a node keeps few.
const KEEP_ALIVE_FURTHER: Duration = Duration::from_millis(500);
/// How much earlier than the target's keep-alive time-out a connection is discarded. A request that is
/// sent while the target closes the connection is lost.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum head of an answer, the usual maximum of the heads of requests. The buffer of a connection grows up to this
/// size only when needed.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Maximum size of a connection's buffer, which the HTTP library may double to make room for the next bytes.
const BUFFER_MAX_BYTES: usize = 2 * HEAD_MAX_BYTES;
/// The least memory that a connection holds: buffers for writing and for reading, 8 KiB each, and 8 KiB for the state of
/// the connection and of the exchange that uses it.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Maximum number of bytes that one exchange may read. The encoding of a body in chunks may multiply its size,
/// and interim responses precede the head.
pub const EXCHANGE_MAX_BYTES: usize = HEAD_MAX_BYTES + 4 * ANSWER_MAX_BYTES;
/// Maximum size of all bodies that are being received. A query over hundreds of shards could otherwise fill
/// the memory of a small instance if many targets send bodies without end. Bodies above [`STEP_BYTES`] may use three
/// quarters, so that they do not keep out those of other targets.
pub const BODIES_MAX_BYTES: usize = 16 << 20;
/// The number of requests that a connection remembers, so that a repeated request gets another connection.
const REMEMBERED_REQUESTS: usize = 4;

/// A caller's request as it is forwarded to each target.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request id of the caller's attempt.
    pub request_id: HeaderValue,
    /// The HTTP method of the caller's request.
    pub method: Method,
    /// The path with its query string.
    pub path: PathAndQuery,
    /// The caller's headers, without the hop-by-hop headers of its connection.
    pub headers: HeaderMap,
    /// Who sent the request, which decides what targets are told of it.
    pub sender: Sender,
    /// The complete body.
    pub body: Bytes,
}

/// The target of a subrequest.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The target's key in the registry.
    pub key: TargetKey,
    /// The instance name that the process at the address must have.
    pub name: Arc<str>,
    /// The address that the target listens at.
    pub address: SocketAddr,
    /// Whether the subrequest gets a new connection that is not reused. A reused one may be broken without a
    /// sign of it, or deliver a late answer, and a request that must not be repeated would then be lost.
    pub dedicated: bool,
}

/// The result of a call to a target.
#[derive(Debug)]
pub struct CallResult {
    /// How the subrequest ended.
    pub outcome: Outcome,
    /// How much longer the target stays cold, if it reports to be cold.
    pub cold_for: Option<Duration>,
    /// The keep-alive time-out of the target, if it reports one.
    pub keep_alive: Option<Duration>,
    /// The limit on its requests that the target states.
    pub rate_limit: RateLimit,
    /// Whether the target states that it is leaving.
    pub leaving: bool,
    /// For how long the target wants no further request of this node, if it states so.
    pub retry_after: Option<Duration>,
}

/// The limit on the rate of requests that an answer states, which holds for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateLimit {
    /// There is no answer that could tell.
    Unknown,
    /// The answer states a limit that cannot be read.
    Unreadable,
    /// The target states no limit.
    Unlimited,
    /// The target takes this many requests per second; finite and not negative.
    PerSecond(f64),
}

/// How requests to targets and their answers are encoded.
pub trait Protocol: std::fmt::Debug + Send + Sync + 'static {
    /// Returns the HTTP request for a target that has the time `remaining` to answer.
    fn request(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        remaining: Duration,
    ) -> Request<Full<Bytes>>;

    /// Returns the result that a complete answer stands for. `reused` tells whether the connection has carried
    /// an answer before, a second copy of which this one may be.
    fn interpret(
        &self,
        call: &Call,
        head: &response::Parts,
        body: Bytes,
        reused: bool,
    ) -> CallResult;
}

/// The memory for connections to targets. Clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    /// Holds [`CONNECTION_BYTES`] for each connection, and so bounds their number.
    connections: Budget,
    /// Holds what the buffers of all connections have grown beyond that.
    buffers: Budget,
}

impl Memory {
    /// One part in this number of the memory is for what buffers grow.
    const BUFFERS_ONE_IN: usize = 4;

    /// Returns a memory of `bytes` for at most `connections` connections, and at least one.
    pub fn open(bytes: usize, connections: usize) -> Self {
        let buffers = bytes / Self::BUFFERS_ONE_IN;
        let connections = connections.min((bytes - buffers) / CONNECTION_BYTES).max(1);
        Self {
            connections: Budget::open(connections * CONNECTION_BYTES),
            buffers: Budget::open(buffers),
        }
    }

    /// Returns the number of connections that may be open at the same time.
    pub fn connections_max(&self) -> usize {
        self.connections.usage().capacity / CONNECTION_BYTES
    }

    /// Returns what is held and what has been refused.
    pub fn usage(&self) -> Usage {
        let (connections, buffers) = (self.connections.usage(), self.buffers.usage());
        Usage {
            held: connections.held + buffers.held,
            capacity: connections.capacity + buffers.capacity,
            displaced_connections: connections.displaced_connections,
            refused_answers: buffers.refused_answers,
            ..Usage::default()
        }
    }
}

/// A pool of idle connections to all targets.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    idle: Mutex<SecondaryMap<TargetKey, Vec<Connection>>>,
    /// The size of the bodies that are being received.
    bodies: AtomicUsize,
    /// The memory of this node for callers, in which the bodies count until their last copy is dropped.
    memory: Budget,
    /// The memory for connections and their buffers.
    target_memory: Memory,
}

type Driver = http1::Connection<TokioIo<MeteredStream>, Full<Bytes>>;

/// One open connection.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    allowance: Allowance,
    closed: bool,
    /// Hashes of the ids of the last requests on this connection, the newest last. A second copy of an earlier
    /// answer to the same request could not be told from the answer to a repeated one.
    requests: SmallVec<[u64; REMEMBERED_REQUESTS]>,
    /// The connection must not be used after this moment.
    usable_until: Moment,
}

impl Pool {
    /// Returns an empty pool, whose bodies count in `memory` and whose connections count in `target_memory`.
    pub fn new(clock: Clock, memory: Budget, target_memory: Memory) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
            bodies: AtomicUsize::new(0),
            memory,
            target_memory,
        }
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, key: TargetKey) {
        self.lock_idle().remove(key);
    }

    /// Closes the idle connections whose keep-alive time has expired, that the target has closed, or on which
    /// it has sent bytes that belong to no request.
    pub fn close_unusable(&self, now: Moment) {
        for (_, connections) in self.lock_idle().iter_mut() {
            connections
                .retain_mut(|connection| connection.usable_until > now && !connection.has_ended());
        }
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<Connection, FailureCause> {
        // The placement opens no more subrequests than there may be connections, so only probes can have used them up.
        let memory = self.hold_connection().ok_or(FailureCause::Unsent)?;
        let opened = Connection::open(address, memory, &self.target_memory.buffers).await;
        opened.map_err(|_unreachable| FailureCause::Unreachable)
    }

    /// Holds the memory of a connection, for which idle connections are closed; absent if there is none.
    fn hold_connection(&self) -> Option<Permit> {
        loop {
            let connections = &self.target_memory.connections;
            if let Ok(permit) = connections.hold(CONNECTION_BYTES) {
                return Some(permit);
            }
            let mut idle = self.lock_idle();
            let first_to_expire = idle
                .iter()
                .flat_map(|(key, connections)| {
                    let expiries = connections.iter().map(|it| it.usable_until).enumerate();
                    expiries.map(move |(number, expiry)| (expiry, key, number))
                })
                .min_by_key(|(expiry, ..)| *expiry);
            let (_, key, number) = first_to_expire?;
            drop(idle.get_mut(key)?.remove(number));
            connections.count_displaced_connection();
        }
    }

    /// Opens a connection to a target to check that it can be reached, and keeps it for the next subrequest. Returns
    /// nothing if there is no memory for it.
    pub async fn probe(&self, key: TargetKey, address: SocketAddr) -> Option<bool> {
        let memory = self.hold_connection()?;
        let buffers = &self.target_memory.buffers;
        let reached = match Connection::open(address, memory, buffers).await {
            Ok(connection) => {
                self.put_idle(key, connection, None);
                true
            }
            Err(_unreachable) => {
                // The idle connections to an unreachable target are of no further use.
                self.close_idle(key);
                false
            }
        };
        Some(reached)
    }

    /// Sends a request to a target and waits until `deadline` for the complete answer. Sets `sent` before the first
    /// byte of the request can have been written.
    pub async fn call<P>(
        &self,
        protocol: &P,
        call: &Call,
        endpoint: &Endpoint,
        deadline: Moment,
        sent: &AtomicBool,
    ) -> CallResult
    where
        P: Protocol,
    {
        let remaining = self.clock.now().until(deadline);
        let exchange = pin!(self.exchange_with_retry(protocol, call, endpoint, deadline, sent));
        match tokio::time::timeout(remaining, exchange).await {
            Ok(result) => result,
            Err(_elapsed) if sent.load(Ordering::Relaxed) => {
                CallResult::unanswered(Outcome::Lost(FailureCause::Timeout))
            }
            Err(_elapsed) => CallResult::unanswered(Outcome::NotRun(FailureCause::Unsent)),
        }
    }

    /// Sends a request to a target and returns the result, without a time limit for the answer. Sets `sent`
    /// before the first byte of the request can have been written.
    ///
    /// If a reused connection ends before the request is written to it, the request goes to another
    /// connection.
    async fn exchange_with_retry<P>(
        &self,
        protocol: &P,
        call: &Call,
        endpoint: &Endpoint,
        deadline: Moment,
        sent: &AtomicBool,
    ) -> CallResult
    where
        P: Protocol,
    {
        let request_hash = xxh3_64(call.request_id.as_bytes());
        loop {
            let reused = if endpoint.dedicated {
                None
            } else {
                self.take_idle(endpoint.key, request_hash)
            };
            let is_new = reused.is_none();
            let mut connection = match reused {
                Some(connection) => connection,
                None => match self.open_connection(endpoint.address).await {
                    Ok(connection) => connection,
                    Err(cause) => return CallResult::unanswered(Outcome::NotRun(cause)),
                },
            };
            let has_carried_answer = !connection.requests.is_empty();
            connection.remember(request_hash);
            let remaining = self.clock.now().until(deadline);
            if remaining.is_zero() {
                // The process was paused or late, and the target would only refuse the request.
                return CallResult::unanswered(Outcome::NotRun(FailureCause::Unsent));
            }
            let request = protocol.request(call, endpoint, remaining);
            let error = match connection.send_and_receive(request, sent, self).await {
                Ok((head, body)) => {
                    let answer = protocol.interpret(call, &head, body, has_carried_answer);
                    if !endpoint.dedicated && !matches!(answer.outcome, Outcome::Lost(_)) {
                        self.put_idle(endpoint.key, connection, answer.keep_alive);
                    }
                    return answer;
                }
                Err(e) => e,
            };
            let outcome = match error {
                // The reused connection ended before the request was written; tries another one.
                ExchangeError::Unsent if !is_new => {
                    sent.store(false, Ordering::Relaxed);
                    continue;
                }
                ExchangeError::Unsent => Outcome::NotRun(FailureCause::Unreachable),
                ExchangeError::Closed if is_new => Outcome::Lost(FailureCause::NewConnectionClosed),
                ExchangeError::Closed => Outcome::Lost(FailureCause::ReusedConnectionClosed),
                ExchangeError::TooLarge => Outcome::Lost(FailureCause::TooLarge),
            };
            return CallResult::unanswered(outcome);
        }
    }

    /// Takes an idle connection that has not carried the request before.
    fn take_idle(&self, key: TargetKey, request_hash: u64) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock_idle();
        let connections = idle.get_mut(key)?;
        connections.retain(|connection| connection.usable_until > now);
        // The most recently used connection is the least likely to have been closed.
        let found = connections
            .iter()
            .rposition(|connection| !connection.requests.contains(&request_hash))?;
        Some(connections.remove(found))
    }

    fn put_idle(&self, key: TargetKey, mut connection: Connection, keep_alive: Option<Duration>) {
        // Idle connections must not hold the memory in which the buffers of others grow.
        if connection.closed || self.target_memory.buffers.is_short() {
            return;
        }
        let keep_alive = keep_alive.map_or(KEEP_ALIVE_DEFAULT, |keep| {
            keep.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        let mut idle = self.lock_idle();
        let Some(entry) = idle.entry(key) else {
            return;
        };
        let connections = entry.or_default();
        // The first connection stays at the bottom of the stack and is used when the others are busy.
        let keep_alive = if connections.is_empty() {
            keep_alive
        } else {
            keep_alive.min(KEEP_ALIVE_FURTHER)
        };
        connection.usable_until = self.clock.now() + keep_alive;
        connections.push(connection);
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, SecondaryMap<TargetKey, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallResult {
    const fn unanswered(outcome: Outcome) -> Self {
        Self {
            outcome,
            cold_for: None,
            keep_alive: None,
            rate_limit: RateLimit::Unknown,
            leaving: false,
            retry_after: None,
        }
    }
}

/// Why a request got no answer.
enum ExchangeError {
    /// The request was not written.
    Unsent,
    /// The request was written, so the target may have received it, and the connection ended before the answer
    /// was complete.
    Closed,
    /// The request was written, and the target sent more bytes than an answer may have.
    TooLarge,
}

impl Connection {
    /// Opens a connection that holds the memory until it is dropped.
    async fn open(address: SocketAddr, memory: Permit, buffers: &Budget) -> std::io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await??;
        let allowance = Allowance::default();
        let buffer = Buffer::open(memory, buffers, BUFFER_MAX_BYTES);
        let stream = MeteredStream::open(stream, allowance.clone(), buffer);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            allowance,
            closed: false,
            requests: SmallVec::new(),
            usable_until: Moment::NEVER,
        })
    }

    fn remember(&mut self, request_hash: u64) {
        if self.requests.len() == REMEMBERED_REQUESTS {
            self.requests.remove(0);
        }
        self.requests.push(request_hash);
    }

    /// Tells whether an idle connection has ended or received bytes that belong to no request.
    fn has_ended(&mut self) -> bool {
        // The connection is polled again when it is used, so that no waker is needed now.
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        self.closed = self.closed || self.driver.as_mut().poll(&mut context).is_ready();
        self.closed
    }

    /// Sends a request on this connection and waits for the complete answer of at most [`ANSWER_MAX_BYTES`].
    /// Sets `sent` when the request is handed over for writing.
    async fn send_and_receive(
        &mut self,
        request: Request<Full<Bytes>>,
        sent: &AtomicBool,
        pool: &Pool,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        self.allowance.set(EXCHANGE_MAX_BYTES);
        // Detects, before the request is written, that the target has closed a reused connection or
        // has sent data on it.
        let ready = poll_until_ready(&mut self.driver, &mut self.closed, self.sender.ready()).await;
        if ready.is_err() || self.closed {
            return Err(ExchangeError::Unsent);
        }
        sent.store(true, Ordering::Relaxed);
        let sending = self.sender.try_send_request(request);
        let response = poll_until_ready(&mut self.driver, &mut self.closed, sending)
            .await
            .map_err(|mut failure| match failure.take_message() {
                Some(_unsent) => ExchangeError::Unsent,
                None if self.allowance.is_used_up() || failure.error().is_parse_too_large() => {
                    ExchangeError::TooLarge
                }
                None => ExchangeError::Closed,
            })?;
        let (head, body) = response.into_parts();
        let collected = collect_body(body, pool);
        let body = poll_until_ready(&mut self.driver, &mut self.closed, collected).await;
        let body = body.map_err(|e| match e {
            ExchangeError::Closed if self.allowance.is_used_up() => ExchangeError::TooLarge,
            e => e,
        })?;
        // Bytes that arrived together with the answer belong to no request.
        self.has_ended();
        Ok((head, body))
    }
}

/// Receives a complete body, counted among those that the pool is receiving.
async fn collect_body(mut body: Incoming, pool: &Pool) -> Result<Bytes, ExchangeError> {
    let mut received = ReceivedBytes {
        bodies: &pool.bodies,
        own: 0,
    };
    let announced = body.size_hint().exact();
    let max_bytes = announced.and_then(|length| usize::try_from(length).ok());
    let max_bytes = max_bytes.unwrap_or(ANSWER_MAX_BYTES).min(ANSWER_MAX_BYTES);
    let mut reception = pool.memory.start_answer(max_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_broken| ExchangeError::Closed)?.into_data() else {
            // Trailers are not passed on.
            continue;
        };
        received.add(data.len())?;
        reception
            .append(&data, pool.clock.now())
            .map_err(|_exceeded| ExchangeError::TooLarge)?;
    }
    Ok(reception.finish())
}

/// The received part of one body, as counted among all bodies until it is dropped.
struct ReceivedBytes<'a> {
    bodies: &'a AtomicUsize,
    own: usize,
}

impl ReceivedBytes<'_> {
    fn add(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        self.own += bytes;
        let all = self.bodies.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let all_max = if self.own > STEP_BYTES {
            BODIES_MAX_BYTES / 4 * 3
        } else {
            BODIES_MAX_BYTES
        };
        if self.own > ANSWER_MAX_BYTES || all > all_max {
            return Err(ExchangeError::TooLarge);
        }
        Ok(())
    }
}

impl Drop for ReceivedBytes<'_> {
    fn drop(&mut self) {
        self.bodies.fetch_sub(self.own, Ordering::Relaxed);
    }
}

/// Waits for a future and polls the driver of the connection that it depends on meanwhile.
async fn poll_until_ready<F>(
    driver: &mut Pin<Box<Driver>>,
    closed: &mut bool,
    future: F,
) -> F::Output
where
    F: Future,
{
    let mut future = pin!(future);
    poll_fn(|cx| {
        for _ in 0..POLL_ROUNDS {
            if !*closed {
                // The future reports a failure of the connection in its own result.
                *closed = driver.as_mut().poll(cx).is_ready();
            }
            if let Poll::Ready(done) = future.as_mut().poll(cx) {
                return Poll::Ready(done);
            }
        }
        Poll::Pending
    })
    .await
}

/// Opens a TCP connection with the socket options that all outgoing connections have.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES)?;
    // Failures are ignored: without these options a connection is only slower, or its loss is noticed
    // later.
    let _ = stream.set_nodelay(true);
    let millis = u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    let _ = sockopt::set_tcp_user_timeout(&stream, millis);
    Ok(stream)
}
