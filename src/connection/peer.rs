//! HTTP/2 connections between nodes.
//!
//! Each node keeps one connection to each other node that it talks to, and reconnects with a bounded
//! backoff. Bodies are encoded by `rmp-serde`; the result of a scatter is a stream of frames, each
//! preceded by its length as a big-endian `u32`.

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

/// The path of a scatter, whose answer is a stream of frames.
pub const SCATTER_PATH: &str = "/peer/scatter";

/// The longest time to wait for a connection; it covers one lost packet of the TCP handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The delay before the second attempt to connect; it doubles with each further failure.
pub const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// The longest delay between attempts to connect, below the permit's 1,500 ms, so that a peer that
/// returns is found before its support is missed.
pub const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// The interval of HTTP/2 pings on a connection with open streams, and the time to wait for one.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The longest body of a request or of a whole answer, in bytes. A batch holds a query of at most
/// 64 KiB; settings and records are at most a few hundred KiB.
pub const BODY_MAX_BYTES: usize = 4 << 20;

/// The longest frame of a scatter, in bytes: an answer of a target and its description.
pub const FRAME_MAX_BYTES: usize = (1 << 20) + 4_096;

/// The time within which the body of a request must arrive whole.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Streams that one peer may have open at once; more wait at the sender.
pub const STREAMS_MAX: u32 = 4_096;

/// Frames that are written together at most.
const FRAMES_PER_WRITE_MAX: usize = 64;

/// The flow-control window of one stream, in bytes; the answers of one batch usually fit.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// The flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// The largest number of bytes that wait to be written per stream.
const SEND_BUFFER_BYTES: usize = 1 << 20;

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was never written to a connection.
    #[error("the request was not sent: {0}")]
    NotSent(&'static str),
    /// The request was written, and the connection ended before the answer.
    #[error("the connection ended before the answer")]
    Lost(#[source] Option<hyper::Error>),
    /// No whole answer came in time; the request may have been handled.
    #[error("no answer in time")]
    Timeout,
    /// The peer refused the request.
    #[error("the peer answered with status {0}")]
    Status(StatusCode),
    /// The request or the answer could not be encoded or decoded.
    #[error("the message is invalid: {0}")]
    Invalid(String),
}

impl Error {
    /// Tells whether the peer certainly did not get the request.
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

type Sender = client::conn::http2::SendRequest<Full<Bytes>>;

/// The connections of this node to other nodes; clones share them.
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

#[derive(Debug)]
enum ConnectionState {
    /// There is no connection, and none is opened before `retry_at`.
    Disconnected {
        retry_at: Instant,
        backoff: Duration,
    },
    /// A connection is being opened; the receiver changes when that ends.
    Connecting(watch::Receiver<()>),
    /// Requests can be sent.
    Connected(Sender),
}

impl Peers {
    /// Creates an empty set of connections; they are opened on first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the connections to all peers for which `keep` is false, once their streams have ended.
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

    /// Sends one message and waits for the whole answer.
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

    /// Sends a batch and returns the stream of its results; dropping the stream cancels the batch.
    ///
    /// Waits only for a connection; the first result, or the failure of the batch, comes by the stream.
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

    /// Hands a message to the connection; the future waits for the head of the answer.
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
            .map_err(|_elapsed| Error::NotSent("no connection in time"))??;
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
    /// Returns a sender for an open connection, and opens one if there is none.
    async fn sender(self: &Arc<Self>) -> Result<Sender, Error> {
        let mut opened = match self.current()? {
            Ok(sender) => return Ok(sender),
            Err(opening) => opening,
        };
        // The sender of the channel is dropped without a value when the attempt has ended.
        let _ended = opened.changed().await;
        match &*self.lock() {
            ConnectionState::Connected(sender) => Ok(sender.clone()),
            ConnectionState::Disconnected { .. } | ConnectionState::Connecting(_) => {
                Err(Error::NotSent("the connection could not be opened"))
            }
        }
    }

    /// Returns the open connection, or a signal for the end of the attempt to open one.
    fn current(self: &Arc<Self>) -> Result<Result<Sender, watch::Receiver<()>>, Error> {
        let mut state = self.lock();
        let backoff = match &*state {
            ConnectionState::Connected(sender) if !sender.is_closed() => {
                return Ok(Ok(sender.clone()));
            }
            ConnectionState::Connecting(opening) => return Ok(Err(opening.clone())),
            ConnectionState::Disconnected { retry_at, .. } if Instant::now() < *retry_at => {
                return Err(Error::NotSent("the last attempt to connect failed"));
            }
            ConnectionState::Disconnected { backoff, .. } => *backoff,
            ConnectionState::Connected(_) => BACKOFF_MIN,
        };
        let (ended, opening) = watch::channel(());
        *state = ConnectionState::Connecting(opening.clone());
        let connection = Arc::clone(self);
        // The attempt outlives the call that began it, because later calls need the connection, too.
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
    // The sender reports the end of the connection, so its result is not needed here.
    tokio::spawn(connection);
    Ok(sender)
}

/// The stream of the results of one batch; dropping it cancels what has no result yet.
pub struct Frames {
    source: FrameSource,
    buffer: Bytes,
    deadline: Instant,
}

/// Where the results come from.
enum FrameSource {
    /// The answer has not begun.
    Pending(Pin<Box<dyn Future<Output = Result<Incoming, Error>> + Send>>),
    /// The answer has begun.
    Body(Incoming),
    /// The batch failed before its answer began.
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
    /// Waits for the next result; `None` means that the peer sends no more.
    ///
    /// A leg without a frame by then may have run.
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
            return Err(Error::Invalid(format!("a frame has {length} bytes")));
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

/// Appends a frame and its length to `buffer`.
fn encode(frame: &Frame, buffer: &mut BytesMut) {
    let start = buffer.len();
    buffer.put_u32(0);
    rmp_serde::encode::write(&mut buffer.writer(), frame)
        .expect("a frame holds only types that can be encoded");
    let length = buffer.len() - start - size_of::<u32>();
    let length = u32::try_from(length).expect("answers are bounded far below 4 GiB");
    buffer[start..start + size_of::<u32>()].copy_from_slice(&length.to_be_bytes());
}

/// What a node does with the requests of its peers.
pub trait Service: Send + Sync + 'static {
    /// Stands for a running batch; dropping it cancels what has no result yet.
    type BatchGuard: Send + Unpin + 'static;

    /// Answers one encoded message with another, or with a status other than 200.
    fn call(
        &self,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<Bytes, StatusCode>> + Send;

    /// Starts a batch; one frame per leg goes to `reply`.
    fn scatter(&self, batch: Batch, reply: mpsc::UnboundedSender<Frame>) -> Self::BatchGuard;
}

/// A running server for peers.
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

    /// Accepts no further connections and streams, and waits until the open streams have ended.
    pub async fn close(self) {
        self.stop.cancel();
        self.connections.close();
        self.connections.wait().await;
        // The accept loop ends by the same signal and cannot fail.
        let _ended = self.accept.await;
    }
}

/// Serves peers on `listener` until the returned server is closed.
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

/// The delay after a failed accept, for example when there are too many open files.
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
        // Cancelled batches are normal between nodes, so many resets are no sign of an attack.
        .max_pending_accept_reset_streams(STREAMS_MAX as usize)
        .max_local_error_reset_streams(None)
        .keep_alive_interval(PING_INTERVAL * 10)
        .keep_alive_timeout(PING_INTERVAL * 10)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The client learns of the end of the connection by itself.
        _ended = &mut connection => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

async fn answer<S>(service: &S, request: Request<Incoming>) -> Response<ResponseBody<S::BatchGuard>>
where
    S: Service,
{
    let (head, body) = request.into_parts();
    if head.method != Method::POST {
        return refuse(StatusCode::METHOD_NOT_ALLOWED);
    }
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(status) => return refuse(status),
    };
    if head.uri.path() != SCATTER_PATH {
        return match service.call(head.uri.path(), body).await {
            Ok(body) => Response::new(ResponseBody::Message(Some(body))),
            Err(status) => refuse(status),
        };
    }
    let Ok(batch) = rmp_serde::from_slice::<Batch>(&body) else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    let remaining = batch.legs.len();
    let (sender, mut frames) = mpsc::unbounded_channel();
    let guard = service.scatter(batch, sender);
    // With the first frame at hand, the head of the answer and the frame go into one write.
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

fn refuse<R>(status: StatusCode) -> Response<ResponseBody<R>> {
    let mut response = Response::new(ResponseBody::Message(None));
    *response.status_mut() = status;
    response
}

/// The body of an answer.
enum ResponseBody<R> {
    /// One encoded message.
    Message(Option<Bytes>),
    /// The results of a batch as they come.
    Stream {
        frames: mpsc::UnboundedReceiver<Frame>,
        /// Frames that were received and are not written yet.
        unwritten: Vec<Frame>,
        /// Frames that are not written yet, received or not.
        remaining: usize,
        /// Whether the task has let others run since the last write.
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
                // Connections to targets that are ready now may add frames to the same write.
                if !*yielded && !unwritten.is_empty() && unwritten.len() < *remaining {
                    *yielded = true;
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                *yielded = false;
                *remaining = if received == 0 && unwritten.is_empty() {
                    // The service dropped the other end, so no further frame comes.
                    0
                } else {
                    remaining.saturating_sub(unwritten.len())
                };
                let mut buffer =
                    BytesMut::with_capacity(unwritten.iter().map(estimated_size).sum());
                for frame in unwritten.drain(..) {
                    encode(&frame, &mut buffer);
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

/// Estimates the encoded size of a frame, so that its buffer rarely grows.
fn estimated_size(frame: &Frame) -> usize {
    /// Covers the numbers and the field names of a frame.
    const OVERHEAD_BYTES: usize = 64;
    match &frame.outcome {
        crate::wire::Outcome::Answer { request, body, .. } => {
            OVERHEAD_BYTES + request.len() + body.len()
        }
        crate::wire::Outcome::Failure(_) => OVERHEAD_BYTES,
    }
}
