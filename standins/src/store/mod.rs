//! Stand-in for the key-value store, with the etcd v3 JSON mapping: reads, compare-and-swap
//! transactions, leases and watches.
//!
//! `GET /admin/calls` returns the counts of calls by kind and `GET /admin/journal` the successful writes.
//! A `POST` request to `/admin/faults` sets faults.

mod call_counts;
mod keyspace;
mod lease;
mod message;
mod txn;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch as channel;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http::{self, Body, Disconnect, Reply, Tasks};
pub use call_counts::{CallCounts, CallKind};
pub use keyspace::{MAX_VALUE_BYTES, Write};

/// Longest interval between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a store stand-in.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Number of past revisions that a watch can start at; older ones are compacted.
    pub history_revisions: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            history_revisions: 10_000,
        }
    }
}

/// Faults to set; an absent field leaves its fault unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether connections other than those of admin requests are closed without a response.
    pub down: Option<bool>,
    /// Delay of each call in milliseconds: one half before it takes effect and one half after.
    ///
    /// A call takes effect even if its caller disconnects during the first half.
    pub delay_ms: Option<u64>,
    /// Number of further writes that take effect without a response. A transaction that writes nothing,
    /// because its comparison failed or the taken branch only reads, is answered.
    pub lose_answers: Option<u64>,
    /// Whether responses contain only the first half of each value.
    pub truncate_values: Option<bool>,
}

/// Faults that affect single calls.
#[derive(Debug, Clone, Copy, Default)]
struct ActiveFaults {
    delay: Duration,
    lose_answers: u64,
}

#[derive(Debug)]
struct Service {
    keyspace: Mutex<keyspace::Keyspace>,
    counter: Mutex<call_counts::Counter>,
    active_faults: Mutex<ActiveFaults>,
    down: channel::Sender<bool>,
    /// Newest revision; a change wakes the watches.
    revision_changed: channel::Sender<i64>,
    stop: CancellationToken,
    tracker: TaskTracker,
}

/// Running store stand-in, which stops when this value is dropped.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    service: Arc<Service>,
    tasks: Tasks,
}

/// Binds the listening socket and starts a store stand-in.
pub async fn bind(config: Config) -> io::Result<Store> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let tasks = Tasks::new();
    let service = Arc::new(Service {
        keyspace: Mutex::new(keyspace::Keyspace::new(
            Instant::now(),
            config.history_revisions,
        )),
        counter: Mutex::default(),
        active_faults: Mutex::default(),
        down: channel::Sender::new(false),
        revision_changed: channel::Sender::new(1),
        stop: tasks.stop.clone(),
        tracker: tasks.tracker.clone(),
    });
    tasks.tracker.spawn(http::accept_connections(
        listener,
        Arc::clone(&service),
        service.down.subscribe(),
        tasks.stop.clone(),
        tasks.tracker.clone(),
    ));
    tasks.tracker.spawn(expire_leases(Arc::clone(&service)));
    Ok(Store {
        address,
        service,
        tasks,
    })
}

impl Store {
    /// Returns the address on which the stand-in listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets faults, as `POST /admin/faults` does.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Returns the counts of calls, as `GET /admin/calls` does.
    pub fn calls(&self) -> CallCounts {
        self.service.calls()
    }

    /// Returns the successful writes, as `GET /admin/journal` does.
    pub fn journal(&self) -> Vec<Write> {
        self.service.keyspace().journal.clone()
    }

    /// Stops the stand-in and waits until every connection is closed.
    pub async fn close(self) {
        self.tasks.close().await;
    }
}

/// Ends leases when they expire, until the stand-in stops.
async fn expire_leases(service: Arc<Service>) {
    loop {
        let next = service.apply(keyspace::Keyspace::expire);
        let wake = Instant::now() + LEASE_CHECK_INTERVAL;
        tokio::select! {
            () = service.stop.cancelled() => return,
            () = tokio::time::sleep_until(next.map_or(wake, |next| next.min(wake))) => {}
        }
    }
}

impl Service {
    fn keyspace(&self) -> MutexGuard<'_, keyspace::Keyspace> {
        self.keyspace.lock().expect("no holder of this lock panics")
    }

    fn calls(&self) -> CallCounts {
        let counter = self.counter.lock();
        counter.expect("no holder of this lock panics").calls()
    }

    fn active_faults(&self) -> MutexGuard<'_, ActiveFaults> {
        let active_faults = self.active_faults.lock();
        active_faults.expect("no holder of this lock panics")
    }

    /// Expires leases, runs an operation on the contents and wakes the watches if there is a new
    /// revision.
    fn apply<T>(&self, operation: impl FnOnce(&mut keyspace::Keyspace, Instant) -> T) -> T {
        let mut keyspace = self.keyspace();
        let now = Instant::now();
        keyspace.expire(now);
        let result = operation(&mut keyspace, now);
        let revision = keyspace.revision;
        self.revision_changed.send_if_modified(|newest| {
            let modified = *newest != revision;
            *newest = revision;
            modified
        });
        result
    }

    fn set_faults(&self, faults: Faults) {
        let mut active_faults = self.active_faults();
        if let Some(delay) = faults.delay_ms {
            active_faults.delay = Duration::from_millis(delay);
        }
        if let Some(writes) = faults.lose_answers {
            active_faults.lose_answers = writes;
        }
        drop(active_faults);
        if let Some(truncate) = faults.truncate_values {
            self.keyspace().truncate_values = truncate;
        }
        if let Some(down) = faults.down {
            self.down.send_replace(down);
        }
    }

    /// Counts a call, runs it with the configured delay, and drops its response if that fault is set.
    async fn run_call(
        self: Arc<Self>,
        kind: CallKind,
        operation: impl FnOnce(
            &mut keyspace::Keyspace,
            Instant,
        ) -> Result<Value, keyspace::RequestError>
        + Send
        + 'static,
    ) -> Reply {
        let counter = self.counter.lock();
        counter
            .expect("no holder of this lock panics")
            .count(kind, Instant::now());
        let half_delay = self.active_faults().delay / 2;
        let service = Arc::clone(&self);
        // A separate task, because a call must take effect even if its caller disconnects.
        let execution = self.tracker.spawn(async move {
            if !half_delay.is_zero() {
                tokio::time::sleep(half_delay).await;
            }
            service.apply(|keyspace, now| {
                let before = keyspace.revision;
                let result = operation(keyspace, now);
                (result, keyspace.revision > before || kind.is_lease())
            })
        });
        let stop = self.stop.clone();
        let (result, wrote) = tokio::select! {
            () = stop.cancelled() => return Err(Disconnect),
            execution = execution => execution.map_err(|_ended| Disconnect)?,
        };
        if !half_delay.is_zero() {
            tokio::time::sleep(half_delay).await;
        }
        if wrote && result.is_ok() {
            let mut active_faults = self.active_faults();
            if active_faults.lose_answers > 0 {
                active_faults.lose_answers -= 1;
                return Err(Disconnect);
            }
        }
        Ok(match result {
            Ok(answer) => http::json_response(StatusCode::OK, &answer),
            Err(refusal) => grpc_error_response(refusal.code, refusal.message),
        })
    }

    /// Handles a request of the store protocol; the error is the response to a body that cannot be read.
    async fn handle_call(
        self: Arc<Self>,
        path: &str,
        body: Incoming,
    ) -> Result<Reply, Response<Body>> {
        Ok(match path {
            "/v3/kv/range" => {
                let request = parse_body(body).await?;
                self.run_call(CallKind::Range, move |keyspace, _| keyspace.range(&request))
                    .await
            }
            "/v3/kv/put" => {
                let request = parse_body(body).await?;
                self.run_call(CallKind::Put, |keyspace, now| keyspace.put(request, now))
                    .await
            }
            "/v3/kv/deleterange" => {
                let request = parse_body(body).await?;
                self.run_call(CallKind::DeleteRange, |keyspace, now| {
                    keyspace.delete_range(request, now)
                })
                .await
            }
            "/v3/kv/txn" => {
                let request: message::Txn = parse_body(body).await?;
                let mut ops = request.success.iter().chain(&request.failure);
                let kind = if ops.any(message::Op::is_write) {
                    CallKind::TxnWrite
                } else {
                    CallKind::TxnRead
                };
                self.run_call(kind, |keyspace, now| keyspace.txn(request, now))
                    .await
            }
            "/v3/lease/grant" => {
                let message::LeaseRequest { id, ttl } = parse_body(body).await?;
                self.run_call(CallKind::LeaseGrant, move |keyspace, now| {
                    let id = keyspace.grant(id, ttl, now)?;
                    let (id, ttl) = (id.to_string(), ttl.to_string());
                    Ok(json!({ "header": keyspace.header(), "ID": id, "TTL": ttl }))
                })
                .await
            }
            "/v3/lease/keepalive" => {
                let message::LeaseRequest { id, .. } = parse_body(body).await?;
                self.run_call(CallKind::LeaseKeepalive, move |keyspace, now| {
                    let mut result = json!({ "header": keyspace.header(), "ID": id.to_string() });
                    let ttl = keyspace.keep_alive(id, now);
                    if ttl > 0 {
                        result["TTL"] = json!(ttl.to_string());
                    }
                    Ok(json!({ "result": result }))
                })
                .await
            }
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                let message::LeaseRequest { id, .. } = parse_body(body).await?;
                self.run_call(CallKind::LeaseRevoke, move |keyspace, now| {
                    keyspace.revoke(id, now)?;
                    Ok(json!({ "header": keyspace.header() }))
                })
                .await
            }
            "/v3/watch" => {
                let request: message::Watch = parse_body(body).await?;
                let counter = self.counter.lock();
                counter
                    .expect("no holder of this lock panics")
                    .count(CallKind::Watch, Instant::now());
                Ok(watch::start(&self, request.create_request))
            }
            _ => Ok(http::not_found()),
        })
    }
}

impl http::Handle for Service {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/calls") => {
                Ok(http::json_response(StatusCode::OK, &self.calls()))
            }
            (&Method::GET, "/admin/journal") => {
                let journal = json!({ "writes": self.keyspace().journal });
                Ok(http::json_response(StatusCode::OK, &journal))
            }
            (&Method::POST, "/admin/faults") => {
                Ok(match http::read_json(request.into_body()).await {
                    Ok(faults) => {
                        self.set_faults(faults);
                        http::json_response(StatusCode::OK, &json!({}))
                    }
                    Err(refusal) => refusal,
                })
            }
            (&Method::POST, _) => match self.handle_call(&path, request.into_body()).await {
                Ok(reply) => reply,
                Err(refusal) => Ok(refusal),
            },
            _ => Ok(http::not_found()),
        }
    }
}

/// Reads a request body as a message; the error is the response to send.
async fn parse_body<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let bytes = http::read_body(body).await?;
    // The real store responds with code 3, `INVALID_ARGUMENT`, to JSON that does not match the message.
    serde_json::from_slice(&bytes).map_err(|error| grpc_error_response(3, &error.to_string()))
}

/// Returns the error response of the JSON mapping for a gRPC status code.
fn grpc_error_response(code: u8, message: &str) -> Response<Body> {
    let status = match code {
        3 | 9 => StatusCode::BAD_REQUEST,
        5 => StatusCode::NOT_FOUND,
        8 => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let body = json!({ "error": message, "code": code, "message": message });
    http::json_response(status, &body)
}
