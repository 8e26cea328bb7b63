//! HTTP/1.1 plumbing that the stand-ins share: servers whose connections can be cut, and a client.

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

/// The longest request body that a stand-in reads; the store's largest transaction fits into it.
const BODY_LIMIT: usize = 16 << 20;

/// The path prefix under which tests control a stand-in; it works while the stand-in is down.
const ADMIN: &str = "/admin/";

/// How long a connection to a stand-in that is down may stay silent before it is closed.
const SILENCE: Duration = Duration::from_millis(100);

pub(crate) type Body = UnsyncBoxBody<Bytes, Infallible>;
pub(crate) type Reply = Result<Response<Body>, Disconnect>;

/// Returned by a handler to close the connection without an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Disconnect;

impl fmt::Display for Disconnect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Disconnect {}

/// Answers the requests of one server.
pub(crate) trait Handle: Send + Sync + 'static {
    fn call(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// The tasks of a running stand-in, which end when this value is dropped.
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

    /// Ends all tasks and waits until they have ended.
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

/// Accepts connections until `stop`; while `down` is true, only admin requests are answered.
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
                    tracker.spawn(connection(stream, handler, down.clone(), stop.clone()));
                }
                Err(error) => wait_after_accept_error(&error).await,
            },
        }
    }
}

/// Waits before the next accept, because errors such as a lack of descriptors persist for a while.
pub(crate) async fn wait_after_accept_error(error: &io::Error) {
    eprintln!("accept failed: {error}; trying again");
    tokio::time::sleep(Duration::from_millis(10)).await;
}

async fn connection<H: Handle>(
    stream: TcpStream,
    handler: Arc<H>,
    mut down: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    if *down.borrow_and_update() && !is_admin(&stream).await {
        return;
    }
    let _ = stream.set_nodelay(true);
    let admin = Arc::new(AtomicBool::new(false));
    let service = service_fn({
        let admin = Arc::clone(&admin);
        let down = down.clone();
        move |request: Request<Incoming>| {
            let is_admin = request.uri().path().starts_with(ADMIN);
            admin.store(is_admin, Ordering::Relaxed);
            let refused = *down.borrow() && !is_admin;
            let handler = Arc::clone(&handler);
            async move {
                if refused {
                    return Err(Disconnect);
                }
                handler.call(request).await
            }
        }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let mut closing = false;
    loop {
        tokio::select! {
            _ = serving.as_mut() => return,
            () = stop.cancelled() => return,
            changed = down.changed(), if !closing => {
                if changed.is_err() {
                    return;
                }
                if *down.borrow_and_update() {
                    // The request that takes the stand-in down still gets its answer.
                    if !admin.load(Ordering::Relaxed) {
                        return;
                    }
                    serving.as_mut().graceful_shutdown();
                    closing = true;
                }
            }
        }
    }
}

/// Tells whether the first bytes of a connection begin an admin request.
async fn is_admin(stream: &TcpStream) -> bool {
    let mut first = [0; 16];
    let looked = tokio::time::timeout(SILENCE, stream.peek(&mut first)).await;
    let Ok(Ok(length)) = looked else { return false };
    let first = &first[..length];
    first.starts_with(b"GET /admin/") || first.starts_with(b"POST /admin/")
}

/// Reads a whole request body.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, BODY_LIMIT).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// Reads a request body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let bytes = read(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("the stand-ins' answers have string keys");
    let mut response = Response::new(full(bytes));
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

/// Sends one request over a new connection and reads the whole answer.
///
/// Tests and the targets' registration use it; it opens a connection per call, so that a fault never
/// hits a connection that an earlier call left behind.
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
    let answered = async {
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
    answered
}

/// Sends JSON and reads a JSON answer; an answer other than 2xx is an error that quotes the body.
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
