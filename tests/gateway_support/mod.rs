//! A scripted target and helpers for the tests of the gateway.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use redwinggrade::process::gateway::{Gateway, OwnedTarget};
use redwinggrade::process::metrics::Metrics;
use redwinggrade::time::{Clock, Moment};
use redwinggrade::version::policy;
use redwinggrade::wire::{Batch, Cause, Frame, Subrequest, Version};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Maximum time that a test waits for a condition or a result.
pub const WAIT_MAX: Duration = Duration::from_secs(20);

/// How the target handles a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Answers at once.
    Answer,
    /// Answers when [`FakeTarget::release_held_searches`] is called.
    Hold,
    /// Answers with this HTTP status.
    Status(u16),
    /// Reads the request and closes the connection without an answer.
    CloseConnection,
    /// Answers with the number of another attempt.
    Mismatch,
}

/// A target whose behaviour the test sets, with counters of what it received.
#[derive(Debug)]
pub struct FakeTarget {
    pub address: SocketAddr,
    pub script: Mutex<Script>,
    pub generation: AtomicU64,
    pub serving: AtomicBool,
    pub searches: AtomicU32,
    pub running: AtomicU32,
    pub running_max: AtomicU32,
    pub connections: AtomicU32,
    pub cancels: AtomicU32,
    pub release_held: Notify,
    pub close_connections: Notify,
}

impl FakeTarget {
    pub async fn open() -> Arc<Self> {
        Self::bind("127.0.0.1:0".parse().unwrap()).await.0
    }

    /// Starts a target at the given address. Aborting the returned task closes the listener.
    pub async fn bind(address: SocketAddr) -> (Arc<Self>, JoinHandle<()>) {
        let listener = TcpListener::bind(address).await.unwrap();
        let target = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            script: Mutex::new(Script::Answer),
            generation: AtomicU64::new(1),
            serving: AtomicBool::new(true),
            searches: AtomicU32::new(0),
            running: AtomicU32::new(0),
            running_max: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            cancels: AtomicU32::new(0),
            release_held: Notify::new(),
            close_connections: Notify::new(),
        });
        let shared_target = Arc::clone(&target);
        let accept = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                shared_target.connections.fetch_add(1, Ordering::SeqCst);
                let service_target = Arc::clone(&shared_target);
                let shared_target = Arc::clone(&shared_target);
                let service = service_fn(move |request| {
                    let shared_target = Arc::clone(&shared_target);
                    async move { shared_target.answer(request).await }
                });
                let connection_target = Arc::clone(&service_target);
                tokio::spawn(async move {
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ended = connection => {}
                        () = connection_target.close_connections.notified() => {}
                    }
                });
            }
        });
        (target, accept)
    }

    pub fn set_script(&self, script: Script) {
        *self.script.lock().unwrap() = script;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.close_connections.notify_waiters();
    }

    pub fn release_held_searches(&self) {
        self.release_held.notify_waiters();
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let (parts, body) = request.into_parts();
        body.collect().await.map_err(std::io::Error::other)?;
        let response =
            Response::builder().header("generation", self.generation.load(Ordering::SeqCst));
        match parts.uri.path() {
            "/status" => {
                let body = serde_json::json!({
                    "generation": self.generation.load(Ordering::SeqCst),
                    "state": if self.serving.load(Ordering::SeqCst) { "serving" } else { "draining" },
                    "versions": [{"version": 7, "shard": 3, "shards": 20}],
                    "load": 0,
                });
                Ok(response.body(body.to_string().into()).unwrap())
            }
            "/cancel" => {
                self.cancels.fetch_add(1, Ordering::SeqCst);
                Ok(response.body(Full::default()).unwrap())
            }
            _ => self.search(&parts, response).await,
        }
    }

    async fn search(
        &self,
        parts: &hyper::http::request::Parts,
        mut response: hyper::http::response::Builder,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        self.searches.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.running_max.fetch_max(running, Ordering::SeqCst);
        let script = *self.script.lock().unwrap();
        if script == Script::Hold {
            self.release_held.notified().await;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        for name in ["request-id", "attempt", "index-version", "shard"] {
            response = response.header(name, &parts.headers[name]);
        }
        match script {
            Script::Status(status) => response = response.status(status),
            Script::CloseConnection => return Err(std::io::Error::other("scripted")),
            Script::Mismatch => {
                response.headers_mut().unwrap().insert("attempt", 99.into());
            }
            Script::Answer | Script::Hold => {}
        }
        Ok(response
            .body(Bytes::from_static(b"{\"hits\":[]}").into())
            .unwrap())
    }
}

pub fn target_policy() -> policy::Target {
    policy::Target {
        slots: 2,
        connections: 25,
        connect: Duration::from_millis(5),
        cold_concurrency: 1,
        cold_rate: 1_000,
        cold_answers: 4,
        queue: 8,
    }
}

pub fn owned_target(target: &FakeTarget) -> OwnedTarget {
    OwnedTarget {
        name: "s00-0".into(),
        address: target.address,
        policy: target_policy(),
        valid_from: Moment::ZERO,
        in_service: true,
    }
}

/// Opens a gateway that owns the target and has a permit that does not end.
pub async fn open_gateway(target: &FakeTarget) -> Gateway {
    let gateway = Gateway::open(Clock::start(), Metrics::open());
    gateway.set_permit(Moment::NEVER);
    gateway
        .set_owned_targets(vec![owned_target(target)])
        .await
        .unwrap();
    gateway
}

/// Returns a batch of `subrequests` subrequests, all for the single target of these tests.
pub fn make_batch(request: &str, subrequests: u32, remaining: Duration) -> Batch {
    let subrequest = |number| Subrequest {
        number,
        target: "s00-0".into(),
        shard: 3,
        version: Version(7),
        attempt: number,
        cause: Cause::First,
    };
    Batch {
        request: request.into(),
        index: "proof-viewing".into(),
        remaining_us: remaining.as_micros() as u64,
        priority: 1,
        idempotent: true,
        subrequests: (0..subrequests).map(subrequest).collect(),
        body: Bytes::from_static(b"monogram"),
    }
}

/// Passes a batch to the gateway and returns its results, sorted by the number of the subrequest.
pub async fn run_batch(gateway: &Gateway, batch: Batch) -> Vec<Frame> {
    let (reply, mut frames) = tokio::sync::mpsc::unbounded_channel();
    let _offered = gateway.offer(batch, &reply);
    drop(reply);
    let mut results = Vec::new();
    while let Some(frame) = tokio::time::timeout(WAIT_MAX, frames.recv()).await.unwrap() {
        results.push(frame);
    }
    results.sort_by_key(|frame: &Frame| frame.subrequest);
    results
}

/// Waits until `condition` holds.
pub async fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_MAX, waiting).await.is_ok(),
        "timed out after {WAIT_MAX:?} while waiting until {what}"
    );
}
