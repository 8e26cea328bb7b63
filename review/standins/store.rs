//! A stand-in for the platform's metadata store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Message, Reply, serve};
use crate::record;

/// The number of items in one page of a range read.
const PAGE_ITEMS: usize = 50;
/// For how long the connection of a lost call stays open, longer than a case takes.
const LOST_CALL_TIME: Duration = Duration::from_secs(300);
/// How often leases are checked for their end.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(50);

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// The contents of the store at one revision.
#[derive(Debug, Clone, Default)]
pub struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changed keys, by the revisions of their changes.
    history: Vec<(u64, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Debug, Default)]
struct State {
    contents: Contents,
    /// The header `Store-Era` of all answers, if the store sends one.
    era: Option<u64>,
    /// Whether the store is away, and answers no call that it gets or that waits.
    away: bool,
    silent: bool,
    /// An older copy from which a replica answers stale reads after the first page.
    lagging: Option<Contents>,
}

/// A running store. Clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store, which states its era in all answers if `era` is given.
    pub fn start(era: Option<u64>) -> std::io::Result<Self> {
        let state = State {
            contents: Contents {
                revision: 100,
                ..Contents::default()
            },
            era,
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let handling = Store {
            address: ([127, 0, 0, 1], 0).into(),
            shared: Arc::clone(&shared),
        };
        let expiring = handling.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LEASE_CHECK_PERIOD);
                expiring.expire();
            }
        });
        let server = serve(move |request| {
            handling
                .handle(&request)
                .map_or(Reply::Close, Reply::Answer)
        })?;
        Ok(Self {
            address: server.address,
            shared,
        })
    }

    /// Writes an item, as the operator or a leaf does, and records the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        let revision = state.contents.put(key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.shared.1.notify_all();
        let value = if value.len() > 160 {
            "(document)"
        } else {
            value
        };
        record::log(&format!(
            "store acknowledges {key} at revision {revision}: {value}"
        ));
    }

    /// Removes an item, as the store does with the entry of a leaf that is silent.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        let revision = state.contents.remove(key);
        drop(state);
        self.shared.1.notify_all();
        record::log(&format!("store removes {key} at revision {revision}"));
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Contents {
        self.state().contents.clone()
    }

    /// Returns the present revision.
    pub fn revision(&self) -> u64 {
        self.state().contents.revision
    }

    /// Sets whether the store is away. Calls that it gets meanwhile or that wait are never answered; if `silent`,
    /// their connections stay open.
    pub fn set_away(&self, away: bool, silent: bool) {
        let mut state = self.state();
        (state.away, state.silent) = (away, silent);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Comes back from an older copy: revisions go back, and the era rises by one.
    pub fn restore(&self, copy: Contents) {
        let mut state = self.state();
        state.contents = copy;
        state.era = state.era.map(|era| era + 1);
        state.away = false;
        drop(state);
        self.shared.1.notify_all();
    }

    /// Sets a copy from which stale reads after the first page are answered, as by a replica that lags behind.
    pub fn set_lagging(&self, copy: Option<Contents>) {
        self.state().lagging = copy;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .contents
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        if !ended.is_empty() && !state.away {
            for lease in ended {
                state.contents.end_lease(lease);
            }
            drop(state);
            self.shared.1.notify_all();
        }
    }

    fn handle(&self, request: &Message) -> Option<Message> {
        if self.state().away {
            return self.lose_call();
        }
        let mut response = match (request.method(), request.path()) {
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request)?,
            ("POST", "/-/kv-txn") => self.txn(request),
            ("POST", "/-/kv-lease") => {
                let ttl = number_field(&request.body, "ttl_ms").unwrap_or(15_000);
                let lifetime = Duration::from_millis(ttl);
                let mut state = self.state();
                state.contents.last_lease += 1;
                let lease = state.contents.last_lease;
                state
                    .contents
                    .leases
                    .insert(lease, (lifetime, Instant::now() + lifetime));
                Message::json(200, format!("{{\"lease_id\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease: u64 = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state();
                match state.contents.leases.get_mut(&lease) {
                    Some((lifetime, until)) => {
                        *until = Instant::now() + *lifetime;
                        Message::json(200, format!("{{\"ttl_ms\":{}}}", lifetime.as_millis()))
                    }
                    None => Message::json(404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease: u64 = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.state().contents.end_lease(lease);
                self.shared.1.notify_all();
                Message::json(200, "{}".into())
            }
            _ => Message::json(404, "{}".into()),
        };
        if let Some(era) = self.state().era {
            response.headers.push(("store-era".into(), era.to_string()));
        }
        Some(response)
    }

    /// Ends a call without an answer.
    fn lose_call(&self) -> Option<Message> {
        if self.state().silent {
            std::thread::sleep(LOST_CALL_TIME);
        }
        None
    }

    fn range(&self, request: &Message) -> Message {
        let state = self.state();
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let stale = request.parameter("allow_stale").is_some_and(|it| it == "1");
        let lagging = state
            .lagging
            .as_ref()
            .filter(|_| stale && !after.is_empty());
        let contents = lagging.unwrap_or(&state.contents);
        let mut rows = contents
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let page: Vec<String> = rows
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item.encode(key))
            .collect();
        let more = rows.next().is_some();
        if !page.is_empty() {
            record::log(&format!(
                "store answers a list (stale allowed: {stale}, after {after:?}): {} items at revision {}{}",
                page.len(),
                contents.revision,
                if lagging.is_some() {
                    " by the replica that lags behind"
                } else {
                    ""
                },
            ));
        }
        let items = page.join(",");
        let revision = contents.revision;
        Message::json(
            200,
            format!("{{\"items\":[{items}],\"has_more\":{more},\"current_rev\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Message) -> Option<Message> {
        let number = |name: &str| {
            request
                .parameter(name)
                .and_then(|it| it.parse::<u64>().ok())
        };
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state();
        loop {
            if state.away {
                drop(state);
                return self.lose_call();
            }
            if after > state.contents.revision {
                return Some(Message::json(410, "{}".into()));
            }
            let events = state.contents.events(&prefix, after);
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, revision) = (events.join(","), state.contents.revision);
                return Some(Message::json(
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                ));
            }
            let waited = self.shared.1.wait_timeout(state, end - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn txn(&self, request: &Message) -> Message {
        // The nodes write one key without a condition.
        let (Some(key), Some(value)) = (
            text_field(&request.body, "key"),
            text_field(&request.body, "value"),
        ) else {
            return Message::json(400, "{}".into());
        };
        let lease = number_field(&request.body, "lease_id").unwrap_or(0);
        if key.starts_with("op/") || key.starts_with("servers/") {
            return Message::json(403, "{}".into());
        }
        let mut state = self.state();
        if lease != 0 && !state.contents.leases.contains_key(&lease) {
            return Message::json(404, "{}".into());
        }
        let revision = state.contents.put(&key, decode_base64(&value), lease);
        drop(state);
        self.shared.1.notify_all();
        record::log(&format!("store acknowledges {key} at revision {revision}"));
        Message::json(200, format!("{{\"revision\":{revision}}}"))
    }
}

impl Contents {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(
            key.to_owned(),
            Item {
                value,
                revision,
                created,
                lease,
            },
        );
        self.history.push((revision, key.to_owned()));
        revision
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

    fn remove(&mut self, key: &str) -> u64 {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
        self.revision
    }

    /// Returns the last change of each key with the prefix after a revision, in the order of the revisions.
    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        for (revision, key) in &self.history {
            if *revision > after && key.starts_with(prefix) {
                latest.insert(key, *revision);
            }
        }
        let mut changes: Vec<(u64, &str)> = latest.into_iter().map(|(key, at)| (at, key)).collect();
        changes.sort_unstable();
        changes
            .into_iter()
            .map(|(at, key)| match self.items.get(key) {
                Some(item) => item.encode(key),
                None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"compacted\":true}}"),
            })
            .collect()
    }
}

impl Item {
    fn encode(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease_id\":{}}}",
            encode_base64(&self.value),
            self.revision,
            self.created,
            self.lease,
        )
    }
}

/// Returns the value of the first text field of the name in a JSON document without escapes.
fn text_field(body: &[u8], name: &str) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns the value of the first number field of the name in a JSON document.
fn number_field(body: &[u8], name: &str) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(
                    BASE64[(group >> (18 - 6 * index) & 63) as usize],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let digit = |byte: u8| BASE64.iter().position(|known| *known == byte);
    let digits: Vec<u32> = text.bytes().filter_map(digit).map(|it| it as u32).collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let group = (0..4).fold(0, |group, index| {
            group << 6 | chunk.get(index).copied().unwrap_or(0)
        });
        for index in 1..chunk.len() {
            bytes.push((group >> (24 - 8 * index)) as u8);
        }
    }
    bytes
}
