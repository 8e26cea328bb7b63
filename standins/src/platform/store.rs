//! A stand-in of the platform's store: items, ranges with pages, watches, transactions and leases.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{
    Disconnect, Handle, Reply, Tasks, accept_connections, error_response, json_response, not_found,
    read_json,
};

/// Items in one page.
const PAGE: usize = 50;
/// Deletions and writes that are kept for watches.
const HISTORY: usize = 10_000;
/// How often leases are checked.
const LEASE_PERIOD: Duration = Duration::from_millis(20);

/// How the store fails at one of its addresses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// It accepts calls and never answers.
    Silent,
    /// It answers 503 and does nothing.
    Busy,
    /// It closes each connection without an answer.
    Reset,
    /// It does what it is asked and closes the connection without an answer.
    Lost,
    /// It answers after this time.
    Slow(Duration),
}

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changed keys with their revisions.
    history: Vec<(u64, String)>,
    /// Watches from earlier revisions are refused.
    compacted: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    calls: HashMap<&'static str, u64>,
}

/// A running store; dropping it ends it.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    fault: watch::Sender<Fault>,
    tasks: Tasks,
}

#[derive(Debug)]
struct Shared {
    data: Mutex<Data>,
    changed: watch::Sender<u64>,
    /// Never set; outages are a matter of each address.
    down: watch::Sender<bool>,
}

/// One address of the store.
#[derive(Debug)]
pub struct Door {
    /// The address.
    pub address: SocketAddr,
    /// How the store fails at it.
    pub fault: watch::Sender<Fault>,
}

#[derive(Debug)]
struct Handler {
    shared: Arc<Shared>,
    fault: watch::Receiver<Fault>,
}

impl Store {
    /// Starts an empty store.
    pub async fn spawn() -> anyhow::Result<Self> {
        let shared = Arc::new(Shared {
            data: Mutex::default(),
            changed: watch::Sender::new(0),
            down: watch::Sender::new(false),
        });
        let tasks = Tasks::new();
        let door = shared.open(&tasks).await?;
        let leases = Arc::clone(&shared);
        let stop = tasks.stop.clone();
        tasks.tracker.spawn(async move {
            let expire = async {
                loop {
                    tokio::time::sleep(LEASE_PERIOD).await;
                    leases.expire(Instant::now());
                }
            };
            tokio::select! {
                () = expire => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(Self {
            address: door.address,
            fault: door.fault,
            shared,
            tasks,
        })
    }

    /// Opens another address, whose faults are its own: the store of a node that is turned away.
    pub async fn door(&self) -> anyhow::Result<Door> {
        self.shared.open(&self.tasks).await
    }

    /// Returns the first address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the store fails at its first address.
    pub fn fail(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Writes an item as the operator or a target does, and returns its revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        self.shared.change(|data| data.put(key, value.into(), 0))
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.shared.change(|data| data.remove(key));
    }

    /// Returns the value of an item.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.shared.data();
        data.items.get(key).map(|item| item.value.clone())
    }

    /// Drops the history, so that watches from earlier revisions are refused.
    pub fn compact(&self) {
        let mut data = self.shared.data();
        data.compacted = data.revision;
        data.history.clear();
        drop(data);
        self.shared.wake();
    }

    /// Ends all leases at once, without a sign to their holders.
    pub fn revoke(&self) {
        self.shared.change(|data| {
            let leases: Vec<u64> = data.leases.keys().copied().collect();
            for lease in leases {
                data.end(lease);
            }
        });
    }

    /// Returns how often each call was made.
    pub fn calls(&self) -> HashMap<&'static str, u64> {
        self.shared.data().calls.clone()
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.note(key);
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.note(key);
        }
    }

    fn note(&mut self, key: &str) {
        self.history.push((self.revision, key.to_owned()));
        if self.history.len() > HISTORY {
            let (revision, _) = self.history.remove(0);
            self.compacted = revision;
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn row(key: &str, item: &Item) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(&item.value),
            "revision": item.revision,
            "created_rev": item.created,
            "lease_id": item.lease,
        })
    }

    /// Returns the changes under a prefix after a revision.
    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let changed = self.history.iter().filter(|(at, _)| *at > after);
        let mut keys: Vec<(&str, u64)> = Vec::new();
        for (at, key) in changed.filter(|(_, key)| key.starts_with(prefix)) {
            keys.retain(|(known, _)| known != key);
            keys.push((key, *at));
        }
        keys.into_iter()
            .map(|(key, at)| match self.items.get(key) {
                Some(item) => Self::row(key, item),
                None => json!({ "key": key, "revision": at, "compacted": true }),
            })
            .collect()
    }
}

impl Shared {
    async fn open(self: &Arc<Self>, tasks: &Tasks) -> anyhow::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = watch::Sender::new(Fault::None);
        let handler = Arc::new(Handler {
            shared: Arc::clone(self),
            fault: fault.subscribe(),
        });
        let down = self.down.subscribe();
        let (stop, tracker) = (tasks.stop.clone(), tasks.tracker.clone());
        tasks
            .tracker
            .spawn(accept_connections(listener, handler, down, stop, tracker));
        Ok(Door { address, fault })
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Data) -> T,
    {
        let result = change(&mut self.data());
        self.wake();
        result
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn expire(&self, now: Instant) {
        let ended: Vec<u64> = {
            let data = self.data();
            let ended = data.leases.iter().filter(|(_, (_, until))| *until <= now);
            ended.map(|(lease, _)| *lease).collect()
        };
        if !ended.is_empty() {
            self.change(|data| ended.into_iter().for_each(|lease| data.end(lease)));
        }
    }

    fn count(&self, call: &'static str) {
        *self.data().calls.entry(call).or_default() += 1;
    }
}

#[derive(Debug, Deserialize)]
struct LeaseCall {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Txn {
    expected_rev: Vec<Expected>,
    writes: Vec<Write>,
    deletes: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Expected {
    key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Write {
    key: String,
    value: String,
    #[serde(default)]
    lease_id: u64,
}

impl Handle for Handler {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let fault = *self.fault.borrow();
        match fault {
            Fault::None | Fault::Lost => {}
            Fault::Silent => std::future::pending().await,
            Fault::Busy => {
                return Ok(error_response(StatusCode::SERVICE_UNAVAILABLE, "busy"));
            }
            Fault::Reset => return Err(Disconnect),
            Fault::Slow(time) => tokio::time::sleep(time).await,
        }
        let reply = self.answer(request).await;
        if fault == Fault::Lost {
            return Err(Disconnect);
        }
        // A call that waited while the store went away gets no answer either.
        let fault = *self.fault.borrow();
        match fault {
            Fault::Silent => std::future::pending().await,
            Fault::Reset => Err(Disconnect),
            _ => reply,
        }
    }
}

impl Handler {
    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query: HashMap<String, String> =
            form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes())
                .into_owned()
                .collect();
        let shared = &self.shared;
        Ok(match (&method, path.as_str()) {
            (&Method::GET, "/-/kv-range") => {
                shared.count("range");
                shared.range(&query)
            }
            (&Method::GET, "/-/kv-watch") => {
                shared.count("watch");
                shared.watch(&query).await
            }
            (&Method::POST, "/-/kv-lease") => {
                shared.count("lease");
                match read_json::<LeaseCall>(request.into_body()).await {
                    Ok(call) => shared.grant(Duration::from_millis(call.ttl_ms)),
                    Err(refusal) => refusal,
                }
            }
            (&Method::POST, "/-/kv-txn") => {
                shared.count("txn");
                match read_json::<Txn>(request.into_body()).await {
                    Ok(txn) => shared.txn(txn),
                    Err(refusal) => refusal,
                }
            }
            (&Method::POST, path) if path.starts_with("/-/kv-keep/") => {
                shared.count("keep");
                shared.keep(path.trim_start_matches("/-/kv-keep/"))
            }
            (&Method::DELETE, path) if path.starts_with("/-/kv-lease-end/") => {
                shared.count("lease-end");
                let lease = path.trim_start_matches("/-/kv-lease-end/").parse();
                shared.change(|data| data.end(lease.unwrap_or_default()));
                json_response(StatusCode::OK, &json!({}))
            }
            _ => not_found(),
        })
    }
}

type Answer = hyper::Response<crate::http::Body>;

impl Shared {
    fn range(&self, query: &HashMap<String, String>) -> Answer {
        let data = self.data();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (text("prefix"), text("after"));
        let mut rows = data
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let page: Vec<Value> = rows
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| Data::row(key, item))
            .collect();
        let more = rows.next().is_some();
        let body = json!({ "items": page, "has_more": more, "current_rev": data.revision });
        json_response(StatusCode::OK, &body)
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Answer {
        let number = |name: &str| query.get(name).and_then(|it| it.parse().ok());
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after: u64 = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut changed = self.changed.subscribe();
        loop {
            let (events, revision) = {
                let data = self.data();
                if after < data.compacted {
                    return error_response(StatusCode::GONE, "compacted");
                }
                (data.events(&prefix, after), data.revision)
            };
            if !events.is_empty() || Instant::now() >= end {
                let body = json!({ "events": events, "current_rev": revision });
                return json_response(StatusCode::OK, &body);
            }
            // The end of the wait is answered like a change.
            let _ = tokio::time::timeout_at(end.into(), changed.changed()).await;
        }
    }

    fn grant(&self, lifetime: Duration) -> Answer {
        let mut data = self.data();
        data.last_lease += 1;
        let lease = data.last_lease;
        data.leases
            .insert(lease, (lifetime, Instant::now() + lifetime));
        let millis = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
        json_response(
            StatusCode::OK,
            &json!({ "lease_id": lease, "ttl_ms": millis }),
        )
    }

    fn keep(&self, lease: &str) -> Answer {
        let mut data = self.data();
        let lease: u64 = lease.parse().unwrap_or_default();
        let Some((lifetime, until)) = data.leases.get_mut(&lease) else {
            return not_found();
        };
        *until = Instant::now() + *lifetime;
        let millis = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
        json_response(StatusCode::OK, &json!({ "ttl_ms": millis }))
    }

    fn txn(&self, txn: Txn) -> Answer {
        let forbidden = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if txn.writes.iter().any(|write| forbidden(&write.key)) {
            return error_response(StatusCode::FORBIDDEN, "not yours");
        }
        let mut data = self.data();
        let differs = txn.expected_rev.iter().any(|expected| {
            let known = data.items.get(&expected.key).map_or(0, |it| it.revision);
            known != expected.revision
        });
        if differs {
            return error_response(StatusCode::PRECONDITION_FAILED, "changed");
        }
        let missing = |lease: u64| lease != 0 && !data.leases.contains_key(&lease);
        if txn.writes.iter().any(|write| missing(write.lease_id)) {
            return not_found();
        }
        for write in txn.writes {
            let Ok(value) = STANDARD.decode(&write.value) else {
                return error_response(StatusCode::BAD_REQUEST, "not base64");
            };
            data.put(&write.key, value, write.lease_id);
        }
        for key in txn.deletes {
            data.remove(&key);
        }
        let revision = data.revision;
        drop(data);
        self.wake();
        json_response(StatusCode::OK, &json!({ "revision": revision }))
    }
}
