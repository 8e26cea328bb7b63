//! HTTP/1.1 helpers shared by the stand-ins: servers whose connections a fault can close, and a client.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Limit for the body of a request. It has room for the largest transaction of the store.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Path prefix of the admin interface, through which tests set faults. It is served even while the
/// stand-in is down.
const ADMIN_PATH_PREFIX: &str = "/admin/";

/// Limit for the wait for the first bytes of a connection while the stand-in is down. Only a connection
/// that begins with an admin request stays open.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(100);

/// Body of every response that a stand-in sends.
pub(crate) type Body = UnsyncBoxBody<Bytes, Infallible>;
/// Result of a request handler; [`Disconnect`] closes the connection without a response.
pub(crate) type Reply = Result<Response<Body>, Disconnect>;

/// Tells the server to close the connection without sending a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Disconnect;

impl fmt::Display for Disconnect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Disconnect {}

/// Handles the requests of one server.
pub(crate) trait Handle: Send + Sync + 'static {
    fn call(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// Background tasks of a running stand-in. They are cancelled when this value is dropped.
#[derive(Debug)]
pub(crate) struct Tasks {
    pub(crate) stop: CancellationToken,
    pub(crate) tracker: TaskTracker,
}

impl Tasks {
    pub(crate) fn new() -> Self {
        Self {
            stop: CancellationToken::new(),
            tracker: TaskTracker::new(),
        }
    }

    /// Cancels all tasks and waits until they have ended.
    pub(crate) async fn close(&self) {
        self.stop.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Accepts connections until `stop` is cancelled. While `down` is true, it serves only admin requests.
pub(crate) async fn accept_connections<H: Handle>(
    listener: TcpListener,
    handler: Arc<H>,
    down: watch::Receiver<bool>,
    stop: CancellationToken,
    tracker: TaskTracker,
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let handler = Arc::clone(&handler);
                    tracker.spawn(serve_connection(stream, handler, down.clone(), stop.clone()));
                }
                Err(error) => wait_after_accept_error(&error).await,
            },
        }
    }
}

/// Reports a failed accept and waits before the next attempt, because errors such as a lack of file
/// descriptors last for a while.
pub(crate) async fn wait_after_accept_error(error: &io::Error) {
    eprintln!("accept failed: {error}; trying again");
    tokio::time::sleep(Duration::from_millis(10)).await;
}

/// Serves one connection until the peer closes it, the stand-in goes down or `stop` is cancelled.
async fn serve_connection<H: Handle>(
    stream: TcpStream,
    handler: Arc<H>,
    mut down: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    if *down.borrow_and_update() && !begins_admin_request(&stream).await {
        return;
    }
    let _ = stream.set_nodelay(true);
    let serves_admin = Arc::new(AtomicBool::new(false));
    let service = service_fn({
        let serves_admin = Arc::clone(&serves_admin);
        let down = down.clone();
        move |request: Request<Incoming>| {
            let is_admin = request.uri().path().starts_with(ADMIN_PATH_PREFIX);
            serves_admin.store(is_admin, Ordering::Relaxed);
            let rejected = *down.borrow() && !is_admin;
            let handler = Arc::clone(&handler);
            async move {
                if rejected {
                    return Err(Disconnect);
                }
                handler.call(request).await
            }
        }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let mut shutting_down = false;
    loop {
        tokio::select! {
            _ = serving.as_mut() => return,
            () = stop.cancelled() => return,
            changed = down.changed(), if !shutting_down => {
                if changed.is_err() {
                    return;
                }
                if *down.borrow_and_update() {
                    // The response to the admin request that set the fault is still sent.
                    if !serves_admin.load(Ordering::Relaxed) {
                        return;
                    }
                    serving.as_mut().graceful_shutdown();
                    shutting_down = true;
                }
            }
        }
    }
}

/// Returns whether the first bytes of a connection, which stay unread, begin an admin request.
async fn begins_admin_request(stream: &TcpStream) -> bool {
    let mut first = [0; 16];
    let peeked = tokio::time::timeout(FIRST_BYTES_TIMEOUT, stream.peek(&mut first)).await;
    let Ok(Ok(length)) = peeked else { return false };
    let first = &first[..length];
    first.starts_with(b"GET /admin/") || first.starts_with(b"POST /admin/")
}

/// Reads a complete request body; the error is the response to send.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// Reads a request body as JSON; the error is the response to send.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("the stand-ins' answers have string keys");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

pub(crate) fn error_response(status: StatusCode, error: &str) -> Response<Body> {
    json_response(status, &json!({ "error": error }))
}

pub(crate) fn not_found() -> Response<Body> {
    error_response(StatusCode::NOT_FOUND, "no such path")
}

/// Sends one request over a new connection and returns the complete response.
///
/// Tests and the registration of targets use it. It opens a connection per call, so that a fault that is
/// set between two calls cannot hit an idle connection.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<Response<Bytes>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == "host") {
        request = request.header(hyper::header::HOST, address.to_string());
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = async {
        let response = sender
            .send_request(request.body(Full::new(body.into()))?)
            .await?;
        let (parts, body) = response.into_parts();
        anyhow::Ok(Response::from_parts(
            parts,
            body.collect().await?.to_bytes(),
        ))
    }
    .await;
    driver.abort();
    response
}

/// Sends a JSON request and returns the JSON response; a null `body` sends an empty one. A status other
/// than 2xx is an error that quotes the response body.
pub async fn call_json(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &serde_json::Value,
) -> anyhow::Result<serde_json::Value> {
    let bytes = if body.is_null() {
        Vec::new()
    } else {
        serde_json::to_vec(body)?
    };
    let headers = [("Content-Type", "application/json")];
    let response = call(address, method, path, &headers, bytes).await?;
    let status = response.status();
    anyhow::ensure!(
        status.is_success(),
        "{method} {path} answered {status}: {}",
        String::from_utf8_lossy(response.body())
    );
    Ok(serde_json::from_slice(response.body())?)
}
