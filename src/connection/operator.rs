//! The server of a node for operators: metrics and status.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::memory::Budget;
use super::server::{HEAD_MAX_BYTES, Limits, Server};

/// The limits of the server. Only a few tools are connected to a node at a time.
const SERVER_LIMITS: Limits = Limits {
    idle_timeout: Duration::from_secs(10),
    head_timeout: Duration::from_secs(10),
    head_max_bytes: HEAD_MAX_BYTES,
    max_connections: 100,
    displaces_bodies: false,
};

/// Provides the data that a node shows to operators.
pub trait Handler: Send + Sync + 'static {
    /// Renders the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Renders the status as JSON.
    fn status(&self) -> impl Future<Output = String> + Send;
}

/// Starts the server for operators.
pub fn spawn<H>(listener: TcpListener, handler: Arc<H>) -> std::io::Result<Server>
where
    H: Handler,
{
    Server::spawn(
        listener,
        || SERVER_LIMITS,
        Budget::unlimited(),
        move |request| {
            let handler = Arc::clone(&handler);
            async move { serve(request, &*handler).await }
        },
    )
}

async fn serve<H>(request: Request<Incoming>, handler: &H) -> Response<Full<Bytes>>
where
    H: Handler,
{
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => {
            let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            respond(StatusCode::OK, content_type, handler.metrics())
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

fn respond(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
