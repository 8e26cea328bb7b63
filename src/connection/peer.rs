//! HTTP/2 connections between nodes: the client and the server side.
//!
//! Each node keeps one connection to each other node that it calls, and reconnects with a bounded
//! back-off. Bodies are encoded by `rmp-serde`. The answer to a scatter request is a stream of frames,
//! each preceded by its length as a big-endian `u32`.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, client, server};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::wire::{Batch, Frame};

/// The path of a scatter request, which sends a [`Batch`] and is answered by a stream of frames.
pub const SCATTER_PATH: &str = "/peer/scatter";

/// Time limit for opening a connection. It allows for one lost packet of the TCP handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The delay after the first failed attempt to connect. It doubles with each further failure.
pub const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// The longest delay between attempts to connect. It is below the 1,500 ms of the permit, which the
/// peer's support extends: if attempts fail at once, a peer that returns is reconnected before this node's
/// permit expires. An attempt that hangs takes up to [`CONNECT_TIMEOUT`] in addition.
pub const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// The interval of HTTP/2 pings on a connection with open streams, and the time limit for the answer.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum body of a request, and of an answer that is not a stream. A batch holds a query of at most
/// 64 KiB; settings and records take at most a few hundred KiB.
pub const BODY_MAX_BYTES: usize = 4 << 20;

/// Maximum frame of a scatter answer: the answer of a target and its metadata.
pub const FRAME_MAX_BYTES: usize = (1 << 20) + 4_096;

/// Time limit for receiving the complete body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of streams that one peer may have open at once; further ones wait at the sender. It also
/// limits the streams that were reset and whose state a connection still keeps.
pub const STREAMS_MAX: u32 = 4_096;

/// Maximum number of frames that are written together.
const FRAMES_PER_WRITE_MAX: usize = 64;

/// The flow-control window of one stream. The answers of one batch usually fit.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// The flow-control window of one connection.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// Maximum number of bytes per stream that wait to be written.
const SEND_BUFFER_BYTES: usize = 1 << 20;

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was not written to a connection.
    #[error("the request was not sent: {0}")]
    NotSent(&'static str),
    /// The request was written, and the connection ended before the complete answer.
    #[error("the connection ended before the complete answer arrived")]
    Lost(#[source] Option<hyper::Error>),
    /// No complete answer arrived in time. The peer may have handled the request.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer refused the request.
    #[error("the peer answered with status {0} instead of 200")]
    Status(StatusCode),
    /// The request or the answer could not be encoded or decoded.
    #[error("the message cannot be encoded or decoded: {0}")]
    Invalid(String),
}

impl Error {
    /// Returns whether the peer certainly did not receive the request.
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

type Sender = client::conn::http2::SendRequest<Full<Bytes>>;

/// The connections of this node to other nodes. Clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    connections: Arc<RwLock<HashMap<SocketAddr, Arc<PeerConnection>>>>,
}

/// The connection to one peer.
#[derive(Debug)]
struct PeerConnection {
    address: SocketAddr,
    state: Mutex<ConnectionState>,
}

/// The state of the connection to one peer.
#[derive(Debug)]
enum ConnectionState {
    /// There is no connection, and no attempt to open one is made before `retry_at`.
    Disconnected {
        retry_at: Instant,
        backoff: Duration,
    },
    /// A connection is being opened. The channel closes when the attempt has ended.
    Connecting(watch::Receiver<()>),
    /// The connection is open, and requests can be sent.
    Connected(Sender),
}

impl Peers {
    /// Returns a set without connections. Each connection is opened on first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the connection to each peer for which `keep` returns false, once its streams have ended.
    pub fn retain<F>(&self, mut keep: F)
    where
        F: FnMut(SocketAddr) -> bool,
    {
        let mut connections = self
            .connections
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|address, _| keep(*address));
    }

    /// Sends a message and waits for the complete answer.
    pub async fn call<Req, Res>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Req,
        timeout: Duration,
    ) -> Result<Res, Error>
    where
        Req: Serialize + Sync + ?Sized,
        Res: DeserializeOwned,
    {
        let deadline = Instant::now() + timeout;
        let body = self.send(address, path, message, deadline).await?.await?;
        let body = tokio::time::timeout_at(deadline, Limited::new(body, BODY_MAX_BYTES).collect())
            .await
            .map_err(|_elapsed| Error::Timeout)?
            .map_err(|error| match error.downcast::<hyper::Error>() {
                Ok(error) => Error::Lost(Some(*error)),
                Err(error) => Error::Invalid(error.to_string()),
            })?
            .to_bytes();
        rmp_serde::from_slice(&body).map_err(|error| Error::Invalid(error.to_string()))
    }

    /// Sends a batch and returns the stream of its results. Dropping the stream cancels the batch.
    ///
    /// Waits only for a connection. The results, or the failure of the batch, arrive by the stream.
    pub async fn scatter(
        &self,
        address: SocketAddr,
        batch: &Batch,
        timeout: Duration,
    ) -> Result<Frames, Error> {
        let deadline = Instant::now() + timeout;
        let answer = self.send(address, SCATTER_PATH, batch, deadline).await?;
        Ok(Frames {
            source: FrameSource::Pending(Box::pin(answer)),
            buffer: Bytes::new(),
            deadline,
        })
    }

    /// Passes a message to the connection and returns a future that waits for the head of the answer.
    async fn send<Req>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Req,
        deadline: Instant,
    ) -> Result<impl Future<Output = Result<Incoming, Error>> + Send + 'static + use<Req>, Error>
    where
        Req: Serialize + Sync + ?Sized,
    {
        let body = rmp_serde::to_vec(message).map_err(|error| Error::Invalid(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let mut sender = tokio::time::timeout_at(deadline, self.connection(address).sender())
            .await
            .map_err(|_elapsed| Error::NotSent("the connection was not opened in time"))??;
        let answer = sender.try_send_request(request);
        Ok(async move {
            let response = tokio::time::timeout_at(deadline, answer)
                .await
                .map_err(|_elapsed| Error::Timeout)?
                .map_err(|mut error| {
                    if error.take_message().is_some() {
                        Error::NotSent("the connection ended before the request was written")
                    } else {
                        Error::Lost(Some(error.into_error()))
                    }
                })?;
            if response.status() != StatusCode::OK {
                return Err(Error::Status(response.status()));
            }
            Ok(response.into_body())
        })
    }

    fn connection(&self, address: SocketAddr) -> Arc<PeerConnection> {
        let connections = self
            .connections
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(connection) = connections.get(&address) {
            return Arc::clone(connection);
        }
        drop(connections);
        let mut connections = self
            .connections
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let connection = connections.entry(address).or_insert_with(|| {
            Arc::new(PeerConnection {
                address,
                state: Mutex::new(ConnectionState::Disconnected {
                    retry_at: Instant::now(),
                    backoff: BACKOFF_MIN,
                }),
            })
        });
        Arc::clone(connection)
    }
}

impl PeerConnection {
    /// Returns a sender for the open connection, and opens a connection if there is none. Fails at once while
    /// the back-off after a failed attempt lasts.
    async fn sender(self: &Arc<Self>) -> Result<Sender, Error> {
        let mut attempt_ended = match self.current()? {
            Ok(sender) => return Ok(sender),
            Err(opening) => opening,
        };
        // No value is sent: the channel closes when the attempt has ended.
        let _ended = attempt_ended.changed().await;
        match &*self.lock() {
            ConnectionState::Connected(sender) => Ok(sender.clone()),
            ConnectionState::Disconnected { .. } | ConnectionState::Connecting(_) => {
                Err(Error::NotSent("the connection could not be opened"))
            }
        }
    }

    /// Returns `Ok(Ok(_))` with the open connection, `Ok(Err(_))` with a channel that closes when the attempt
    /// to open one has ended, or an error while the back-off after a failed attempt lasts.
    fn current(self: &Arc<Self>) -> Result<Result<Sender, watch::Receiver<()>>, Error> {
        let mut state = self.lock();
        let backoff = match &*state {
            ConnectionState::Connected(sender) if !sender.is_closed() => {
                return Ok(Ok(sender.clone()));
            }
            ConnectionState::Connecting(opening) => return Ok(Err(opening.clone())),
            ConnectionState::Disconnected { retry_at, .. } if Instant::now() < *retry_at => {
                return Err(Error::NotSent(
                    "the last attempt to connect failed, and the next one is not due yet",
                ));
            }
            ConnectionState::Disconnected { backoff, .. } => *backoff,
            ConnectionState::Connected(_) => BACKOFF_MIN,
        };
        let (ended, opening) = watch::channel(());
        *state = ConnectionState::Connecting(opening.clone());
        let connection = Arc::clone(self);
        // The attempt outlives the call that started it, because later calls need the connection, too.
        tokio::spawn(async move {
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, connect(connection.address)).await;
            *connection.lock() = match opened {
                Ok(Ok(sender)) => ConnectionState::Connected(sender),
                Ok(Err(_)) | Err(_) => ConnectionState::Disconnected {
                    retry_at: Instant::now() + backoff,
                    backoff: (backoff * 2).min(BACKOFF_MAX),
                },
            };
            drop(ended);
        });
        Ok(Err(opening))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> anyhow::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = client::conn::http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .max_concurrent_reset_streams(STREAMS_MAX as usize)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL)
        .handshake(TokioIo::new(stream))
        .await?;
    // The sender reports the end of the connection, so the result of the task is not needed.
    tokio::spawn(connection);
    Ok(sender)
}

/// The stream of the results of one batch. Dropping it cancels the subrequests that have no result yet.
pub struct Frames {
    source: FrameSource,
    buffer: Bytes,
    deadline: Instant,
}

/// The state of the answer that frames are read from.
enum FrameSource {
    /// The head of the answer has not arrived.
    Pending(Pin<Box<dyn Future<Output = Result<Incoming, Error>> + Send>>),
    /// The body of the answer is being read.
    Body(Incoming),
    /// The request failed before the head of its answer arrived.
    Failed,
}

impl std::fmt::Debug for Frames {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Frames")
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

impl Frames {
    /// Waits for the next result. Returns `None` when the peer sends no more.
    ///
    /// A subrequest that has no frame by then may still have run.
    pub async fn next(&mut self) -> Option<Result<Frame, Error>> {
        loop {
            match self.parse_frame() {
                Ok(Some(frame)) => return Some(Ok(frame)),
                Ok(None) => {}
                Err(error) => return Some(Err(error)),
            }
            let body = match &mut self.source {
                FrameSource::Body(body) => body,
                FrameSource::Failed => return None,
                FrameSource::Pending(answer) => {
                    match answer.await {
                        Ok(body) => self.source = FrameSource::Body(body),
                        Err(error) => {
                            self.source = FrameSource::Failed;
                            return Some(Err(error));
                        }
                    }
                    continue;
                }
            };
            let Ok(chunk) = tokio::time::timeout_at(self.deadline, body.frame()).await else {
                return Some(Err(Error::Timeout));
            };
            match chunk {
                None if self.buffer.is_empty() => return None,
                None => return Some(Err(Error::Lost(None))),
                Some(Err(error)) => return Some(Err(Error::Lost(Some(error)))),
                Some(Ok(chunk)) => {
                    if let Ok(data) = chunk.into_data() {
                        self.append_to_buffer(data);
                    }
                }
            }
        }
    }

    fn append_to_buffer(&mut self, data: Bytes) {
        if self.buffer.is_empty() {
            self.buffer = data;
            return;
        }
        let mut joined = BytesMut::with_capacity(self.buffer.len() + data.len());
        joined.extend_from_slice(&self.buffer);
        joined.extend_from_slice(&data);
        self.buffer = joined.freeze();
    }

    fn parse_frame(&mut self) -> Result<Option<Frame>, Error> {
        let Some(prefix) = self.buffer.first_chunk() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > FRAME_MAX_BYTES {
            return Err(Error::Invalid(format!(
                "a frame has {length} bytes, more than the limit of {FRAME_MAX_BYTES}"
            )));
        }
        if self.buffer.len() < size_of::<u32>() + length {
            return Ok(None);
        }
        self.buffer.advance(size_of::<u32>());
        let frame = self.buffer.split_to(length);
        rmp_serde::from_slice(&frame)
            .map(Some)
            .map_err(|error| Error::Invalid(error.to_string()))
    }
}

/// Appends the length of a frame and the frame to `buffer`.
fn encode_frame(frame: &Frame, buffer: &mut BytesMut) {
    let start = buffer.len();
    buffer.put_u32(0);
    rmp_serde::encode::write(&mut buffer.writer(), frame)
        .expect("a frame holds only types that can be encoded");
    let length = buffer.len() - start - size_of::<u32>();
    let length = u32::try_from(length).expect("answers are bounded far below 4 GiB");
    buffer[start..start + size_of::<u32>()].copy_from_slice(&length.to_be_bytes());
}

/// Handles the requests of other nodes.
pub trait Service: Send + Sync + 'static {
    /// Represents a running batch. Dropping it cancels the subrequests that have no result yet.
    type BatchGuard: Send + Unpin + 'static;

    /// Handles an encoded message and returns the encoded answer, or a status other than 200.
    fn call(
        &self,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<Bytes, StatusCode>> + Send;

    /// Starts a batch and sends one frame per subrequest to `reply`.
    fn scatter(&self, batch: Batch, reply: mpsc::UnboundedSender<Frame>) -> Self::BatchGuard;
}

/// A running server for the requests of other nodes.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    connections: TaskTracker,
    accept: JoinHandle<()>,
}

impl Server {
    /// Returns the address at which the server listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and streams, and waits until the open streams have ended.
    pub async fn close(self) {
        self.stop.cancel();
        self.connections.close();
        self.connections.wait().await;
        // The accept loop ends when `stop` is cancelled and does not fail.
        let _ended = self.accept.await;
    }
}

/// Serves other nodes on `listener` until the returned server is closed.
pub fn serve<S>(listener: TcpListener, service: Arc<S>) -> std::io::Result<Server>
where
    S: Service,
{
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let connections = TaskTracker::new();
    let accept = tokio::spawn(accept(listener, service, stop.clone(), connections.clone()));
    Ok(Server {
        address,
        stop,
        connections,
        accept,
    })
}

/// The delay before accepting again after a failure, for example when too many files are open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

async fn accept<S>(
    listener: TcpListener,
    service: Arc<S>,
    stop: CancellationToken,
    connections: TaskTracker,
) where
    S: Service,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _peer)) => {
                let connection = serve_connection(stream, Arc::clone(&service), stop.clone());
                connections.spawn(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<S>(stream: TcpStream, service: Arc<S>, stop: CancellationToken)
where
    S: Service,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let service = Arc::clone(&service);
        async move { Ok::<_, Infallible>(answer(&*service, request).await) }
    });
    let connection = server::conn::http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_MAX)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        // Nodes cancel batches in normal operation, so many stream resets are no sign of an attack.
        .max_pending_accept_reset_streams(STREAMS_MAX as usize)
        .max_local_error_reset_streams(None)
        .keep_alive_interval(PING_INTERVAL * 10)
        .keep_alive_timeout(PING_INTERVAL * 10)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The client detects the end of the connection itself.
        _ended = &mut connection => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

async fn answer<S>(service: &S, request: Request<Incoming>) -> Response<ResponseBody<S::BatchGuard>>
where
    S: Service,
{
    let (parts, body) = request.into_parts();
    if parts.method != Method::POST {
        return refusal(StatusCode::METHOD_NOT_ALLOWED);
    }
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(status) => return refusal(status),
    };
    if parts.uri.path() != SCATTER_PATH {
        return match service.call(parts.uri.path(), body).await {
            Ok(body) => Response::new(ResponseBody::Message(Some(body))),
            Err(status) => refusal(status),
        };
    }
    let Ok(batch) = rmp_serde::from_slice::<Batch>(&body) else {
        return refusal(StatusCode::BAD_REQUEST);
    };
    let remaining = batch.subrequests.len();
    let (sender, mut frames) = mpsc::unbounded_channel();
    let guard = service.scatter(batch, sender);
    // Waits for the first frame, so that the head of the answer and the frame go into one write.
    let mut unwritten = Vec::new();
    frames.recv_many(&mut unwritten, FRAMES_PER_WRITE_MAX).await;
    Response::new(ResponseBody::Stream {
        frames,
        unwritten,
        remaining,
        yielded: false,
        _guard: guard,
    })
}

async fn read_body(body: Incoming) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > BODY_MAX_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, BODY_MAX_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn refusal<R>(status: StatusCode) -> Response<ResponseBody<R>> {
    let mut response = Response::new(ResponseBody::Message(None));
    *response.status_mut() = status;
    response
}

/// The body of an answer.
enum ResponseBody<R> {
    /// One encoded message.
    Message(Option<Bytes>),
    /// The results of a batch, each written as soon as it is known.
    Stream {
        frames: mpsc::UnboundedReceiver<Frame>,
        /// Frames that were received from the service and are not written yet.
        unwritten: Vec<Frame>,
        /// Number of frames that are not written yet, including those not yet received.
        remaining: usize,
        /// Whether the task has yielded since the last write.
        yielded: bool,
        _guard: R,
    },
}

impl<R> Body for ResponseBody<R>
where
    R: Unpin,
{
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, Infallible>>> {
        let data = match self.get_mut() {
            Self::Message(body) => body.take(),
            Self::Stream { remaining: 0, .. } => None,
            Self::Stream {
                frames,
                unwritten,
                remaining,
                yielded,
                ..
            } => {
                let received = if frames.is_empty() && !unwritten.is_empty() {
                    0
                } else {
                    ready!(frames.poll_recv_many(cx, unwritten, FRAMES_PER_WRITE_MAX))
                };
                // Yields once, so that connections to targets that are ready now can add their frames
                // to the same write.
                if !*yielded && !unwritten.is_empty() && unwritten.len() < *remaining {
                    *yielded = true;
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                *yielded = false;
                *remaining = if received == 0 && unwritten.is_empty() {
                    // The service dropped the sender, so no further frame arrives.
                    0
                } else {
                    remaining.saturating_sub(unwritten.len())
                };
                let mut buffer =
                    BytesMut::with_capacity(unwritten.iter().map(estimated_size).sum());
                for frame in unwritten.drain(..) {
                    encode_frame(&frame, &mut buffer);
                }
                (!buffer.is_empty()).then(|| buffer.freeze())
            }
        };
        Poll::Ready(data.map(|data| Ok(hyper::body::Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Message(body) => body.is_none(),
            Self::Stream { remaining, .. } => *remaining == 0,
        }
    }
}

/// Returns the estimated size of an encoded frame in bytes, so that its buffer rarely has to grow.
fn estimated_size(frame: &Frame) -> usize {
    /// Space for the numbers and the names of a frame.
    const OVERHEAD_BYTES: usize = 64;
    match &frame.outcome {
        crate::wire::Outcome::Answer { request, body, .. } => {
            OVERHEAD_BYTES + request.len() + body.len()
        }
        crate::wire::Outcome::Failure(_) => OVERHEAD_BYTES,
    }
}
