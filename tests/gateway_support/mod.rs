//! A scripted target and small helpers for the tests of the gateway.

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
use redwinggrade::process::gateway::{Gateway, Owned};
use redwinggrade::process::metrics::Metrics;
use redwinggrade::time::{Clock, Moment};
use redwinggrade::version::policy;
use redwinggrade::wire::{Batch, Cause, Frame, Subrequest, Version};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// The longest time that a test waits for a stated condition.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What the target does with a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Answers at once.
    Answer,
    /// Answers when [`Fake::release`] is called.
    Hold,
    /// Answers with this status.
    Status(u16),
    /// Reads the request and closes the connection.
    Hangup,
    /// Answers with the attempt of another request.
    Mismatch,
}

/// A target whose behaviour the test sets.
#[derive(Debug)]
pub struct Fake {
    pub address: SocketAddr,
    pub script: Mutex<Script>,
    pub generation: AtomicU64,
    pub serving: AtomicBool,
    pub searches: AtomicU32,
    pub running: AtomicU32,
    pub most_running: AtomicU32,
    pub connections: AtomicU32,
    pub cancels: AtomicU32,
    pub released: Notify,
    pub cut: Notify,
}

impl Fake {
    pub async fn open() -> Arc<Self> {
        Self::bind("127.0.0.1:0".parse().unwrap()).await.0
    }

    /// Listens at a fixed address; aborting the handle stops accepting.
    pub async fn bind(address: SocketAddr) -> (Arc<Self>, JoinHandle<()>) {
        let listener = TcpListener::bind(address).await.unwrap();
        let fake = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            script: Mutex::new(Script::Answer),
            generation: AtomicU64::new(1),
            serving: AtomicBool::new(true),
            searches: AtomicU32::new(0),
            running: AtomicU32::new(0),
            most_running: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            cancels: AtomicU32::new(0),
            released: Notify::new(),
            cut: Notify::new(),
        });
        let served = Arc::clone(&fake);
        let accept = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                served.connections.fetch_add(1, Ordering::SeqCst);
                let served_too = Arc::clone(&served);
                let served = Arc::clone(&served);
                let service = service_fn(move |request| {
                    let served = Arc::clone(&served);
                    async move { served.answer(request).await }
                });
                let cutting = Arc::clone(&served_too);
                tokio::spawn(async move {
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ended = connection => {}
                        () = cutting.cut.notified() => {}
                    }
                });
            }
        });
        (fake, accept)
    }

    pub fn play(&self, script: Script) {
        *self.script.lock().unwrap() = script;
    }

    /// Closes all connections.
    pub fn cut(&self) {
        self.cut.notify_waiters();
    }

    pub fn release(&self) {
        self.released.notify_waiters();
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let (head, body) = request.into_parts();
        body.collect().await.map_err(std::io::Error::other)?;
        let response =
            Response::builder().header("generation", self.generation.load(Ordering::SeqCst));
        match head.uri.path() {
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
            _ => self.search(&head, response).await,
        }
    }

    async fn search(
        &self,
        head: &hyper::http::request::Parts,
        mut response: hyper::http::response::Builder,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        self.searches.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_running.fetch_max(running, Ordering::SeqCst);
        let script = *self.script.lock().unwrap();
        if script == Script::Hold {
            self.released.notified().await;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        for name in ["request-id", "attempt", "index-version", "shard"] {
            response = response.header(name, &head.headers[name]);
        }
        match script {
            Script::Status(status) => response = response.status(status),
            Script::Hangup => return Err(std::io::Error::other("scripted")),
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

pub fn policy() -> policy::Target {
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

pub fn owned(fake: &Fake) -> Owned {
    Owned {
        name: "s00-0".into(),
        address: fake.address,
        policy: policy(),
        valid_from: Moment::ZERO,
        in_service: true,
    }
}

/// Opens a gateway that owns the target and has a permit without end.
pub async fn gateway(fake: &Fake) -> Gateway {
    let gateway = Gateway::open(Clock::start(), Metrics::open());
    gateway.permit(Moment::NEVER);
    gateway.own(vec![owned(fake)]).await.unwrap();
    gateway
}

/// Makes a batch of `subrequests` subrequests, all for the one target of these tests.
pub fn batch(request: &str, subrequests: u32, remaining: Duration) -> Batch {
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

/// Offers a batch and returns its results in the order of the subrequests.
pub async fn offer(gateway: &Gateway, batch: Batch) -> Vec<Frame> {
    let (reply, mut frames) = tokio::sync::mpsc::unbounded_channel();
    let _offered = gateway.offer(batch, &reply);
    drop(reply);
    let mut results = Vec::new();
    while let Some(frame) = tokio::time::timeout(PATIENCE, frames.recv()).await.unwrap() {
        results.push(frame);
    }
    results.sort_by_key(|frame: &Frame| frame.subrequest);
    results
}

/// Waits until `condition` holds.
pub async fn eventually<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(
        tokio::time::timeout(PATIENCE, waiting).await.is_ok(),
        "waited in vain until {what}"
    );
}
