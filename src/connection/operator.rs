//! The operators' interface of a node: metrics, status and a planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// The time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// What the node answers to operators.
pub trait Handler: Send + Sync + 'static {
    /// Renders the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Renders the status as JSON.
    fn status(&self) -> impl Future<Output = String> + Send;
}

/// The running server; it ends when the handle is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to accept operators' tools.
    pub fn spawn<H>(listener: TcpListener, handler: Arc<H>) -> std::io::Result<Self>
    where
        H: Handler,
    {
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    /// Returns the address of the interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H>(listener: TcpListener, handler: Arc<H>)
where
    H: Handler,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(serve(request, &*handler).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
}

async fn serve<H>(request: Request<Incoming>, handler: &H) -> Response<Full<Bytes>>
where
    H: Handler,
{
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => {
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            respond(StatusCode::OK, kind, handler.metrics())
        }
        (&Method::GET, "/admin/status") => {
            respond(StatusCode::OK, "application/json", handler.status().await)
        }
        _ => {
            let text = "unknown path; use GET /metrics or GET /admin/status\n".to_owned();
            respond(StatusCode::NOT_FOUND, "text/plain", text)
        }
    }
}

fn respond(status: StatusCode, kind: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
