//! The store: the etcd v3 JSON mapping with compare-and-swap, leases and watches.
//!
//! `GET /admin/calls` shows the calls by kind, `GET /admin/journal` the successful writes, and
//! `POST /admin/faults` sets faults.

mod calls;
mod data;
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
pub use calls::{CallCounts, CallKind};
pub use data::{MAX_VALUE_BYTES, Write};

/// How often leases are checked when none is about to end.
const LEASE_PERIOD: Duration = Duration::from_millis(100);

/// How a store stand-in starts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// How many revisions a watch can start in the past; older ones count as compacted.
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

/// Faults to set; an absent field keeps its value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether connections are closed instead of served.
    pub down: Option<bool>,
    /// The delay of each call in milliseconds, one half before it takes effect and one half after.
    ///
    /// A call takes effect even if its caller goes away during the first half.
    pub delay_ms: Option<u64>,
    /// How many of the next writes take effect and get no answer. A transaction that writes nothing,
    /// because its comparison failed or the taken branch only reads, is answered.
    pub lose_answers: Option<u64>,
    /// Whether answers show only the first half of each value.
    pub truncate_values: Option<bool>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Disturbance {
    delay: Duration,
    lose_answers: u64,
}

#[derive(Debug)]
struct Service {
    data: Mutex<data::Data>,
    counter: Mutex<calls::Counter>,
    disturbance: Mutex<Disturbance>,
    down: channel::Sender<bool>,
    /// Carries the newest revision and wakes the watches.
    changed: channel::Sender<i64>,
    stop: CancellationToken,
    tracker: TaskTracker,
}

/// A running store stand-in; it stops when dropped.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    service: Arc<Service>,
    tasks: Tasks,
}

/// Starts a store stand-in.
pub async fn bind(config: Config) -> io::Result<Store> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let tasks = Tasks::new();
    let service = Arc::new(Service {
        data: Mutex::new(data::Data::new(Instant::now(), config.history_revisions)),
        counter: Mutex::default(),
        disturbance: Mutex::default(),
        down: channel::Sender::new(false),
        changed: channel::Sender::new(1),
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
    tasks.tracker.spawn(expire(Arc::clone(&service)));
    Ok(Store {
        address,
        service,
        tasks,
    })
}

impl Store {
    /// Returns the address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets faults, like `POST /admin/faults`.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Returns the counts of calls, like `GET /admin/calls`.
    pub fn calls(&self) -> CallCounts {
        self.service.calls()
    }

    /// Returns the successful writes, like `GET /admin/journal`.
    pub fn journal(&self) -> Vec<Write> {
        self.service.data().journal.clone()
    }

    /// Stops and waits until every connection is closed.
    pub async fn close(self) {
        self.tasks.close().await;
    }
}

async fn expire(service: Arc<Service>) {
    loop {
        let next = service.apply(data::Data::expire);
        let wake = Instant::now() + LEASE_PERIOD;
        tokio::select! {
            () = service.stop.cancelled() => return,
            () = tokio::time::sleep_until(next.map_or(wake, |next| next.min(wake))) => {}
        }
    }
}

impl Service {
    fn data(&self) -> MutexGuard<'_, data::Data> {
        self.data.lock().expect("no holder of this lock panics")
    }

    fn calls(&self) -> CallCounts {
        let counter = self.counter.lock();
        counter.expect("no holder of this lock panics").calls()
    }

    fn disturbance(&self) -> MutexGuard<'_, Disturbance> {
        let disturbance = self.disturbance.lock();
        disturbance.expect("no holder of this lock panics")
    }

    /// Runs an operation on the data as of now and wakes the watches if there is a new revision.
    fn apply<T>(&self, operation: impl FnOnce(&mut data::Data, Instant) -> T) -> T {
        let mut data = self.data();
        let now = Instant::now();
        data.expire(now);
        let result = operation(&mut data, now);
        let revision = data.revision;
        self.changed.send_if_modified(|newest| {
            let modified = *newest != revision;
            *newest = revision;
            modified
        });
        result
    }

    fn set_faults(&self, faults: Faults) {
        let mut disturbance = self.disturbance();
        if let Some(delay) = faults.delay_ms {
            disturbance.delay = Duration::from_millis(delay);
        }
        if let Some(writes) = faults.lose_answers {
            disturbance.lose_answers = writes;
        }
        drop(disturbance);
        if let Some(truncate) = faults.truncate_values {
            self.data().truncate_values = truncate;
        }
        if let Some(down) = faults.down {
            self.down.send_replace(down);
        }
    }

    /// Counts a call, runs it with the delay that is set, and loses its answer if that is set.
    async fn run(
        self: Arc<Self>,
        kind: CallKind,
        operation: impl FnOnce(&mut data::Data, Instant) -> Result<Value, data::Refusal>
        + Send
        + 'static,
    ) -> Reply {
        let counter = self.counter.lock();
        counter
            .expect("no holder of this lock panics")
            .count(kind, Instant::now());
        let half = self.disturbance().delay / 2;
        let service = Arc::clone(&self);
        // A task of its own, because a call must take effect even if its caller goes away.
        let effect = self.tracker.spawn(async move {
            if !half.is_zero() {
                tokio::time::sleep(half).await;
            }
            service.apply(|data, now| {
                let before = data.revision;
                let result = operation(data, now);
                (result, data.revision > before || kind.is_lease())
            })
        });
        let stop = self.stop.clone();
        let (result, wrote) = tokio::select! {
            () = stop.cancelled() => return Err(Disconnect),
            effect = effect => effect.map_err(|_ended| Disconnect)?,
        };
        if !half.is_zero() {
            tokio::time::sleep(half).await;
        }
        if wrote && result.is_ok() {
            let mut disturbance = self.disturbance();
            if disturbance.lose_answers > 0 {
                disturbance.lose_answers -= 1;
                return Err(Disconnect);
            }
        }
        Ok(match result {
            Ok(answer) => http::json_response(StatusCode::OK, &answer),
            Err(refusal) => refuse(refusal.code, refusal.message),
        })
    }

    async fn kv(self: Arc<Self>, path: &str, body: Incoming) -> Result<Reply, Response<Body>> {
        Ok(match path {
            "/v3/kv/range" => {
                let request = parse(body).await?;
                self.run(CallKind::Range, move |data, _| data.range(&request))
                    .await
            }
            "/v3/kv/put" => {
                let request = parse(body).await?;
                self.run(CallKind::Put, |data, now| data.put(request, now))
                    .await
            }
            "/v3/kv/deleterange" => {
                let request = parse(body).await?;
                self.run(CallKind::DeleteRange, |data, now| {
                    data.delete_range(request, now)
                })
                .await
            }
            "/v3/kv/txn" => {
                let request: message::Txn = parse(body).await?;
                let mut ops = request.success.iter().chain(&request.failure);
                let kind = if ops.any(message::Op::is_write) {
                    CallKind::TxnWrite
                } else {
                    CallKind::TxnRead
                };
                self.run(kind, |data, now| data.txn(request, now)).await
            }
            "/v3/lease/grant" => {
                let message::Lease { id, ttl } = parse(body).await?;
                self.run(CallKind::LeaseGrant, move |data, now| {
                    let id = data.grant(id, ttl, now)?;
                    let (id, ttl) = (id.to_string(), ttl.to_string());
                    Ok(json!({ "header": data.header(), "ID": id, "TTL": ttl }))
                })
                .await
            }
            "/v3/lease/keepalive" => {
                let message::Lease { id, .. } = parse(body).await?;
                self.run(CallKind::LeaseKeepalive, move |data, now| {
                    let mut result = json!({ "header": data.header(), "ID": id.to_string() });
                    let ttl = data.keep_alive(id, now);
                    if ttl > 0 {
                        result["TTL"] = json!(ttl.to_string());
                    }
                    Ok(json!({ "result": result }))
                })
                .await
            }
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                let message::Lease { id, .. } = parse(body).await?;
                self.run(CallKind::LeaseRevoke, move |data, now| {
                    data.revoke(id, now)?;
                    Ok(json!({ "header": data.header() }))
                })
                .await
            }
            "/v3/watch" => {
                let request: message::Watch = parse(body).await?;
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
                let journal = json!({ "writes": self.data().journal });
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
            (&Method::POST, _) => match self.kv(&path, request.into_body()).await {
                Ok(reply) => reply,
                Err(refusal) => Ok(refusal),
            },
            _ => Ok(http::not_found()),
        }
    }
}

async fn parse<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let bytes = http::read(body).await?;
    // The real store answers code 3 (invalid argument) to JSON that does not fit the message.
    serde_json::from_slice(&bytes).map_err(|error| refuse(3, &error.to_string()))
}

/// Builds the error answer of the mapping for a gRPC status code.
fn refuse(code: u8, message: &str) -> Response<Body> {
    let status = match code {
        3 | 9 => StatusCode::BAD_REQUEST,
        5 => StatusCode::NOT_FOUND,
        8 => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let body = json!({ "error": message, "code": code, "message": message });
    http::json_response(status, &body)
}
