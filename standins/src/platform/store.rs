//! A stand-in for the platform's store: items, paged range reads, watches, transactions and leases.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{
    Disconnect, Handle, Reply, Tasks, accept_connections, error_response, json_response, not_found,
    read_json,
};

/// The path of watches.
const WATCH_PATH: &str = "/-/kv-watch";
/// The maximum number of items in one page of a range read.
const PAGE_MAX_ITEMS: usize = 50;
/// The maximum number of writes and deletions kept for watches; older ones are compacted.
const HISTORY_MAX_CHANGES: usize = 10_000;
/// The interval at which expired leases are removed.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// How the store fails at one of its listeners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// The store works normally.
    #[default]
    None,
    /// The store accepts calls and never answers.
    NeverAnswer,
    /// The store never answers watches.
    NeverAnswerWatch,
    /// The store answers with status 503 and does not execute the call.
    Unavailable,
    /// The store closes each connection without an answer and does not execute the call.
    Reset,
    /// The store executes the call and closes the connection without an answer.
    DropAnswer,
    /// The store executes the call after this time.
    Delay(Duration),
}

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    /// The store's revision at the last write of the item.
    revision: u64,
    /// The store's revision at which the item was created.
    created: u64,
    /// The id of the lease that the item is bound to; 0 if it has none.
    lease: u64,
}

/// A copy of the data of a store, from which it can come back.
#[derive(Debug, Clone)]
pub struct Copy(Data);

#[derive(Debug, Clone, Default)]
struct Data {
    /// The number of the first era.
    first_era: u64,
    /// How often the store has come back from an older copy.
    restores: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changed keys with the revisions of their changes, oldest first.
    history: Vec<(u64, String)>,
    /// Watches from revisions before this one are refused as compacted.
    compacted_revision: u64,
    /// The lifetime and the time of expiry of each lease, by lease id.
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease_id: u64,
    call_counts: HashMap<&'static str, u64>,
}

/// A running store; it stops when this is dropped.
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
    /// Counts updates of the data, so that waiting watches notice them.
    changed: watch::Sender<u64>,
    /// Always false, because outages are simulated by the fault of each listener.
    down: watch::Sender<bool>,
}

/// One of the addresses on which the store listens, with its own fault.
#[derive(Debug)]
pub struct Listener {
    /// The address on which the store accepts calls.
    pub address: SocketAddr,
    /// How the store fails for calls to this address.
    pub fault: watch::Sender<Fault>,
}

#[derive(Debug)]
struct Handler {
    shared: Arc<Shared>,
    fault: watch::Receiver<Fault>,
}

impl Store {
    /// Starts an empty store with one listener.
    pub async fn spawn() -> anyhow::Result<Self> {
        let shared = Arc::new(Shared {
            data: Mutex::default(),
            changed: watch::Sender::new(0),
            down: watch::Sender::new(false),
        });
        let tasks = Tasks::new();
        let listener = shared.listen(&tasks).await?;
        let leases = Arc::clone(&shared);
        let stop = tasks.stop.clone();
        tasks.tracker.spawn(async move {
            let expire = async {
                loop {
                    tokio::time::sleep(LEASE_CHECK_PERIOD).await;
                    leases.expire(Instant::now());
                }
            };
            tokio::select! {
                () = expire => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(Self {
            address: listener.address,
            fault: listener.fault,
            shared,
            tasks,
        })
    }

    /// Sets the number that the store has stated as its era before it first came back from an older copy; 0 by default.
    pub fn set_first_era(&self, first_era: u64) {
        self.shared.update(|data| data.first_era = first_era);
    }

    /// Adds a listener with its own fault, for example to refuse the calls of one node only.
    pub async fn add_listener(&self) -> anyhow::Result<Listener> {
        self.shared.listen(&self.tasks).await
    }

    /// Returns the address of the first listener.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the store fails at its first listener.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Writes an item without a lease, as an operator or a target does, and returns its revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        self.shared.update(|data| data.put(key, value.into(), 0))
    }

    /// Removes an item, if it exists.
    pub fn remove(&self, key: &str) {
        self.shared.update(|data| data.remove(key));
    }

    /// Returns the value of an item, or `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.shared.data();
        data.items.get(key).map(|item| item.value.clone())
    }

    /// Discards the history, so that watches from earlier revisions are refused as compacted.
    pub fn compact(&self) {
        let mut data = self.shared.data();
        data.compacted_revision = data.revision;
        data.history.clear();
        drop(data);
        self.shared.notify_watches();
    }

    /// Revokes all leases and removes their items, without notice to the holders.
    pub fn revoke_all_leases(&self) {
        self.shared.update(|data| {
            let leases: Vec<u64> = data.leases.keys().copied().collect();
            for lease in leases {
                data.end_lease(lease);
            }
        });
    }

    /// Returns a copy of the present data.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.data().clone())
    }

    /// Goes back to an older copy: what was written since is gone, revisions and lease ids are given out again, and
    /// the era rises by one.
    pub fn restore(&self, copy: &Copy) {
        self.shared.update(|data| {
            let restores = data.restores + 1;
            let call_counts = std::mem::take(&mut data.call_counts);
            *data = copy.0.clone();
            data.restores = restores;
            data.call_counts = call_counts;
        });
    }

    /// Returns the number of calls received, by operation.
    pub fn call_counts(&self) -> HashMap<&'static str, u64> {
        self.shared.data().call_counts.clone()
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
        self.record_change(key);
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record_change(key);
        }
    }

    fn record_change(&mut self, key: &str) {
        self.history.push((self.revision, key.to_owned()));
        if self.history.len() > HISTORY_MAX_CHANGES {
            let (revision, _) = self.history.remove(0);
            self.compacted_revision = revision;
        }
    }

    fn end_lease(&mut self, lease: u64) {
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

    fn encode_item(key: &str, item: &Item) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(&item.value),
            "revision": item.revision,
            "created_rev": item.created,
            "lease_id": item.lease,
        })
    }

    /// Returns the latest change of each key with the prefix that changed after a revision.
    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let changed = self.history.iter().filter(|(at, _)| *at > after);
        let mut keys: Vec<(&str, u64)> = Vec::new();
        for (at, key) in changed.filter(|(_, key)| key.starts_with(prefix)) {
            keys.retain(|(known, _)| known != key);
            keys.push((key, *at));
        }
        keys.into_iter()
            .map(|(key, at)| match self.items.get(key) {
                Some(item) => Self::encode_item(key, item),
                None => json!({ "key": key, "revision": at, "compacted": true }),
            })
            .collect()
    }
}

impl Shared {
    async fn listen(self: &Arc<Self>, tasks: &Tasks) -> anyhow::Result<Listener> {
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
        Ok(Listener { address, fault })
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Data) -> T,
    {
        let result = change(&mut self.data());
        self.notify_watches();
        result
    }

    fn notify_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn expire(&self, now: Instant) {
        let ended: Vec<u64> = {
            let data = self.data();
            let ended = data.leases.iter().filter(|(_, (_, until))| *until <= now);
            ended.map(|(lease, _)| *lease).collect()
        };
        if !ended.is_empty() {
            self.update(|data| ended.into_iter().for_each(|lease| data.end_lease(lease)));
        }
    }

    fn count_call(&self, call: &'static str) {
        *self.data().call_counts.entry(call).or_default() += 1;
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
        let is_watch = request.uri().path() == WATCH_PATH;
        match fault {
            Fault::None | Fault::DropAnswer => {}
            Fault::NeverAnswerWatch if !is_watch => {}
            Fault::NeverAnswer | Fault::NeverAnswerWatch => std::future::pending().await,
            Fault::Unavailable => {
                return Ok(error_response(StatusCode::SERVICE_UNAVAILABLE, "busy"));
            }
            Fault::Reset => return Err(Disconnect),
            Fault::Delay(time) => tokio::time::sleep(time).await,
        }
        let mut reply = self.answer(request).await;
        if let Ok(response) = &mut reply {
            let data = self.shared.data();
            let era = HeaderValue::from(data.first_era + data.restores);
            drop(data);
            response.headers_mut().insert("store-era", era);
        }
        if fault == Fault::DropAnswer {
            return Err(Disconnect);
        }
        // A fault that was set while the call waited also applies to its answer.
        let fault = *self.fault.borrow();
        match fault {
            Fault::NeverAnswer => std::future::pending().await,
            Fault::NeverAnswerWatch if is_watch => std::future::pending().await,
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
                shared.count_call("range");
                shared.range(&query)
            }
            (&Method::GET, WATCH_PATH) => {
                shared.count_call("watch");
                shared.watch(&query).await
            }
            (&Method::POST, "/-/kv-lease") => {
                shared.count_call("lease");
                match read_json::<LeaseCall>(request.into_body()).await {
                    Ok(call) => shared.grant(Duration::from_millis(call.ttl_ms)),
                    Err(refusal) => refusal,
                }
            }
            (&Method::POST, "/-/kv-txn") => {
                shared.count_call("txn");
                match read_json::<Txn>(request.into_body()).await {
                    Ok(txn) => shared.txn(txn),
                    Err(refusal) => refusal,
                }
            }
            (&Method::POST, path) if path.starts_with("/-/kv-keep/") => {
                shared.count_call("keep");
                shared.renew(path.trim_start_matches("/-/kv-keep/"))
            }
            (&Method::DELETE, path) if path.starts_with("/-/kv-lease-end/") => {
                shared.count_call("lease-end");
                let lease = path.trim_start_matches("/-/kv-lease-end/").parse();
                shared.update(|data| data.end_lease(lease.unwrap_or_default()));
                json_response(StatusCode::OK, &json!({}))
            }
            _ => not_found(),
        })
    }
}

type Response = hyper::Response<crate::http::Body>;

impl Shared {
    fn range(&self, query: &HashMap<String, String>) -> Response {
        let data = self.data();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (text("prefix"), text("after"));
        let mut rows = data
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let page: Vec<Value> = rows
            .by_ref()
            .take(PAGE_MAX_ITEMS)
            .map(|(key, item)| Data::encode_item(key, item))
            .collect();
        let more = rows.next().is_some();
        let body = json!({ "items": page, "has_more": more, "current_rev": data.revision });
        json_response(StatusCode::OK, &body)
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Response {
        let number = |name: &str| query.get(name).and_then(|it| it.parse().ok());
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after: u64 = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut changed = self.changed.subscribe();
        loop {
            let (events, revision) = {
                let data = self.data();
                if after < data.compacted_revision || after > data.revision {
                    return error_response(StatusCode::GONE, "compacted");
                }
                (data.events(&prefix, after), data.revision)
            };
            if !events.is_empty() || Instant::now() >= end {
                let body = json!({ "events": events, "current_rev": revision });
                return json_response(StatusCode::OK, &body);
            }
            // The loop also answers when the waiting time has passed without a change.
            let _ = tokio::time::timeout_at(end.into(), changed.changed()).await;
        }
    }

    fn grant(&self, lifetime: Duration) -> Response {
        let mut data = self.data();
        data.last_lease_id += 1;
        let lease = data.last_lease_id;
        data.leases
            .insert(lease, (lifetime, Instant::now() + lifetime));
        let millis = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
        json_response(
            StatusCode::OK,
            &json!({ "lease_id": lease, "ttl_ms": millis }),
        )
    }

    fn renew(&self, lease: &str) -> Response {
        let mut data = self.data();
        let lease: u64 = lease.parse().unwrap_or_default();
        let Some((lifetime, until)) = data.leases.get_mut(&lease) else {
            return not_found();
        };
        *until = Instant::now() + *lifetime;
        let millis = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
        json_response(StatusCode::OK, &json!({ "ttl_ms": millis }))
    }

    fn txn(&self, txn: Txn) -> Response {
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
        self.notify_watches();
        json_response(StatusCode::OK, &json!({ "revision": revision }))
    }
}
