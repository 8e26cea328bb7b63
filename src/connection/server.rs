//! An HTTP/1.1 server whose stop cuts no request.

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
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::head;

/// The wait after a connection could not be accepted, for example for want of file descriptors;
/// accepting again at once would only spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The least bound on heads that the HTTP library takes, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;

/// The usual bound on heads, in bytes.
pub const HEAD_MAX_BYTES: usize = 64 << 10;

/// What bounds a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The time within which the next request must come.
    pub idle_timeout: Duration,
    /// The time from the first byte of a head to its last one.
    pub head_timeout: Duration,
    /// Bytes of the request line and the headers.
    pub head_max_bytes: usize,
    /// Connections at once; more are closed at once so that memory stays bounded.
    pub max_connections: usize,
}

/// A running server; it accepts nothing more once it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts to accept connections and hands each request to `handler`.
    ///
    /// Each connection keeps the limits that `limits` returns when it is accepted.
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

    /// Stops accepting, lets the requests under way finish, and returns when all have.
    pub async fn close(mut self) {
        self.stop.cancel();
        if let Some(Err(e)) = async { Some(self.task.take()?.await) }.await {
            log::error!(error:% = e; "a server ended abnormally");
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
        let stream = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&connection_slots).try_acquire_owned() else {
            continue;
        };
        // Without this option answers are only slower.
        let _ = stream.set_nodelay(true);
        let limits = limits();
        let handler = handler.clone();
        let progress = head::Progress::default();
        let stream = head::TrackedStream::open(stream, progress.clone());
        let request_progress = progress.clone();
        let service = service_fn(move |request| {
            request_progress.start_request();
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
            // The other side learns of a broken connection by itself.
            progress
                .run_connection(connection, limits.head_timeout)
                .await;
            drop(slot);
        });
    }
    graceful.shutdown().await;
}
