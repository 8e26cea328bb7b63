//! An HTTP/1.1 server that lets running requests finish when it is closed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use rustix::net::sockopt;
use slotmap::{SlotMap, new_key_type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use super::head;
use super::memory::{Budget, Permit};
use crate::time::{Clock, Moment};

/// The delay before accepting again after a failure, for example for lack of file descriptors.
/// Without it, the server would retry in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long a server that stops still accepts connections, which the runtime may learn of only after its next
/// turn.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(10);
/// How long a server that stops waits for the first bytes on connections that it has just accepted.
const FIRST_READ_TIME: Duration = Duration::from_millis(20);

/// The smallest buffer for the head of a request that the HTTP library accepts.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;

/// The default maximum head of a request: its request line and headers.
pub const HEAD_MAX_BYTES: usize = 64 << 10;

/// The cost of a connection beside its largest head: the buffer for writing and the second one for reading, 8 KiB
/// each, and 4 KiB for its task and the entries of the system for it.
const CONNECTION_BASE_BYTES: usize = 20 << 10;
/// The receive buffer that the system is asked for on each connection; it grants twice as much. Without a bound, the
/// system lets the buffers of all connections grow beyond the memory of the machine while the process is busy.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// The send buffer that the system is asked for on each connection; it grants twice as much. What callers do not read
/// beyond it stays with the process, which counts it.
const SEND_BUFFER_BYTES: usize = 16 << 10;
/// How long a connection may be open without a request before a new one may displace it. The first request of a
/// caller usually arrives with the connection.
const DISPLACEMENT_AGE_MIN: Duration = Duration::from_millis(250);

/// Returns the memory that a connection holds whose heads have at most the given size.
pub const fn connection_cost(head_max_bytes: usize) -> usize {
    let head_max_bytes = if head_max_bytes < HEAD_BUFFER_MIN_BYTES {
        HEAD_BUFFER_MIN_BYTES
    } else {
        head_max_bytes
    };
    CONNECTION_BASE_BYTES + head_max_bytes
}

/// The limits of a server and of each of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a connection may stay idle before the next request.
    pub idle_timeout: Duration,
    /// Time limit from the first to the last byte of the head of a request.
    pub head_timeout: Duration,
    /// Maximum size of the request line and the headers. Values below 8 KiB count as 8 KiB.
    pub head_max_bytes: usize,
    /// Maximum number of open connections, to bound memory. A further one takes the place of one without a
    /// request; if there is none, it is closed immediately.
    pub max_connections: usize,
    /// Whether a connection beyond the maximum may also displace a stalled body that the budget is receiving, because
    /// the bodies come over connections of this server.
    pub displaces_bodies: bool,
}

/// A running server. It stops accepting connections when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server that passes each request to `handler`, with its [`head::Place`] as an extension.
    ///
    /// Each connection keeps the limits that `limits` returned when the connection was accepted. The
    /// number of connections is fixed when the server starts. Connections are counted in `memory`.
    pub fn spawn<L, H, F>(
        listener: TcpListener,
        limits: L,
        memory: Budget,
        handler: H,
    ) -> std::io::Result<Self>
    where
        L: Fn() -> Limits + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        // Accepted connections inherit the sizes.
        sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES)?;
        sockopt::set_socket_send_buffer_size(&listener, SEND_BUFFER_BYTES)?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, limits, memory, handler, stop.clone()));
        Ok(Self {
            address,
            stop,
            task: Some(task),
        })
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the running requests have finished. Callers whose
    /// connection was complete before are served.
    pub async fn close(mut self) {
        self.stop.cancel();
        if let Some(Err(e)) = async { Some(self.task.take()?.await) }.await {
            log::error!(error:% = e; "HTTP server task failed; its requests may have been cut off");
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept<L, H, F>(
    listener: TcpListener,
    limits: L,
    memory: Budget,
    handler: H,
    stop: CancellationToken,
) where
    L: Fn() -> Limits + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let connections = Connections::open(limits(), memory);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        serve(stream, &connections, limits(), &handler, &graceful);
    }
    // The system has completed the connections in the queue, so their callers wait for an answer.
    let end = Instant::now() + LAST_ACCEPT_TIME;
    while let Ok(Ok((stream, _))) = timeout_at(end, listener.accept()).await {
        serve(stream, &connections, limits(), &handler, &graceful);
    }
    drop(listener);
    // The shutdown closes connections on which nothing has been read.
    tokio::time::sleep(FIRST_READ_TIME).await;
    graceful.shutdown().await;
}

/// The open connections of a server. Clones share them.
#[derive(Debug, Clone)]
struct Connections {
    open: Arc<Mutex<SlotMap<ConnectionKey, Connection>>>,
    max: usize,
    displaces_bodies: bool,
    memory: Budget,
    clock: Clock,
}

new_key_type! {
    /// Identifies an open connection of a server.
    struct ConnectionKey;
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    opened_at: Moment,
    progress: head::Progress,
    _memory: Permit,
    /// Dropped with the entry, which closes the connection if it has no request.
    _displaced: oneshot::Sender<Infallible>,
}

/// The place of a connection among those of its server, until this is dropped.
#[derive(Debug)]
struct Slot {
    connections: Connections,
    key: ConnectionKey,
}

impl Connections {
    fn open(limits: Limits, memory: Budget) -> Self {
        Self {
            open: Arc::default(),
            max: limits.max_connections,
            displaces_bodies: limits.displaces_bodies,
            memory,
            clock: Clock::start(),
        }
    }

    /// Makes room for a connection of the given cost; absent if there is none.
    fn take_slot(
        &self,
        progress: &head::Progress,
        cost: usize,
    ) -> Option<(Slot, oneshot::Receiver<Infallible>)> {
        let now = self.clock.now();
        let mut open = self.lock();
        let memory = loop {
            let has_slot = open.len() < self.max;
            if has_slot && let Ok(memory) = self.memory.hold_connection(cost, now) {
                break memory;
            }
            if let Some(displaced) = select_displaced(&open, now) {
                open.remove(displaced);
                self.memory.count_displaced_connection();
                continue;
            }
            // The connection of a displaced body ends at the next turn of its task.
            if !has_slot
                && self.displaces_bodies
                && self.memory.displace_body(now)
                && let Ok(memory) = self.memory.hold_connection(cost, now)
            {
                break memory;
            }
            self.memory.count_refused_connection();
            return None;
        };
        let (sender, displaced) = oneshot::channel();
        let key = open.insert(Connection {
            opened_at: now,
            progress: progress.clone(),
            _memory: memory,
            _displaced: sender,
        });
        drop(open);
        let slot = Slot {
            connections: self.clone(),
            key,
        };
        Some((slot, displaced))
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.lock().remove(self.key);
    }
}

/// Returns the connection that a new one displaces: the oldest one that has never had a request, or else the
/// oldest one that has none now.
fn select_displaced(
    open: &SlotMap<ConnectionKey, Connection>,
    now: Moment,
) -> Option<ConnectionKey> {
    open.iter()
        .filter(|(_, it)| now.since(it.opened_at) >= DISPLACEMENT_AGE_MIN)
        .filter(|(_, it)| it.progress.has_no_request())
        .min_by_key(|(_, it)| (it.progress.has_had_request(), it.opened_at))
        .map(|(key, _)| key)
}

/// Starts to serve a connection, or closes it if there are too many.
fn serve<H, F>(
    stream: TcpStream,
    connections: &Connections,
    limits: Limits,
    handler: &H,
    graceful: &GracefulShutdown,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let progress = head::Progress::default();
    let cost = connection_cost(limits.head_max_bytes);
    let Some((slot, displaced)) = connections.take_slot(&progress, cost) else {
        return;
    };
    // A failure is ignored: without this option, answers are only slower.
    let _ = stream.set_nodelay(true);
    let handler = handler.clone();
    let stream = head::TrackedStream::open(stream, progress.clone());
    let request_progress = progress.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let place = request_progress.start_request();
        request.extensions_mut().insert(place);
        let (request_progress, response) = (request_progress.clone(), handler(request));
        async move {
            let response = response.await;
            request_progress.finish_request();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_max_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // The client detects a broken connection itself.
        let timeouts = head::Timeouts {
            head: limits.head_timeout,
            write: limits.idle_timeout,
        };
        let is_short = || slot.connections.memory.is_short();
        progress
            .run_connection(connection, timeouts, is_short, displaced)
            .await;
        drop(slot);
    });
}
