//! An HTTP/1.1 server that lets running requests finish when it is closed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use super::head;

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

/// The limits of a server and of each of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a connection may stay idle before the next request.
    pub idle_timeout: Duration,
    /// Time limit from the first to the last byte of the head of a request.
    pub head_timeout: Duration,
    /// Maximum size of the request line and the headers. Values below 8 KiB count as 8 KiB.
    pub head_max_bytes: usize,
    /// Maximum number of open connections. Further ones are closed immediately, to bound memory.
    pub max_connections: usize,
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
    /// number of connections is fixed when the server starts.
    pub fn spawn<L, H, F>(listener: TcpListener, limits: L, handler: H) -> std::io::Result<Self>
    where
        L: Fn() -> Limits + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, limits, handler, stop.clone()));
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

async fn accept<L, H, F>(listener: TcpListener, limits: L, handler: H, stop: CancellationToken)
where
    L: Fn() -> Limits + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let connection_slots = Arc::new(Semaphore::new(limits().max_connections));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        serve(stream, &connection_slots, limits(), &handler, &graceful);
    }
    // The system has completed the connections in the queue, so their callers wait for an answer.
    let end = Instant::now() + LAST_ACCEPT_TIME;
    while let Ok(Ok((stream, _))) = timeout_at(end, listener.accept()).await {
        serve(stream, &connection_slots, limits(), &handler, &graceful);
    }
    drop(listener);
    // The shutdown closes connections on which nothing has been read.
    tokio::time::sleep(FIRST_READ_TIME).await;
    graceful.shutdown().await;
}

/// Starts to serve a connection, or closes it if there are too many.
fn serve<H, F>(
    stream: TcpStream,
    connection_slots: &Arc<Semaphore>,
    limits: Limits,
    handler: &H,
    graceful: &GracefulShutdown,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let Ok(slot) = Arc::clone(connection_slots).try_acquire_owned() else {
        return;
    };
    // A failure is ignored: without this option, answers are only slower.
    let _ = stream.set_nodelay(true);
    let handler = handler.clone();
    let progress = head::Progress::default();
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
        progress
            .run_connection(connection, limits.head_timeout)
            .await;
        drop(slot);
    });
}
