//! The keys, their revisions and their leases, without any I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tokio::time::Instant;

use super::message::{Header, KeyValue, Range};
use super::txn::check_key;

/// The longest value that a put may carry; the platform promises values up to a megabyte.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// How many bytes of values the history of the watches may hold.
const HISTORY_BYTES: usize = 64 << 20;

/// How many writes the journal holds; once it is full, writes are refused.
pub(super) const MAX_JOURNAL_WRITES: usize = 1_000_000;

/// Why the store refuses a request; the code is the gRPC status code of the real store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Refusal {
    pub code: u8,
    pub message: &'static str,
}

pub(super) const fn invalid(message: &'static str) -> Refusal {
    Refusal { code: 3, message }
}

pub(super) const LEASE_NOT_FOUND: Refusal = Refusal {
    code: 5,
    message: "etcdserver: requested lease not found",
};

/// One successful write, as the journal shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The revision that the write made.
    pub revision: i64,
    /// When the write took effect, in milliseconds since the stand-in started.
    pub at_ms: u64,
    /// The keys that were put, as text.
    pub puts: Vec<String>,
    /// The keys that were deleted, as text.
    pub deletes: Vec<String>,
}

/// A change of one key.
#[derive(Debug, Clone)]
pub(super) struct Event {
    /// The key after a put; after a delete only its key and revision are set.
    pub kv: KeyValue,
    pub deleted: bool,
    pub previous: Option<KeyValue>,
}

#[derive(Debug)]
pub(super) struct Lease {
    pub ttl: i64,
    pub deadline: Instant,
    pub keys: BTreeSet<Bytes>,
}

#[derive(Debug)]
pub(super) struct Data {
    started: Instant,
    pub revision: i64,
    pub keys: BTreeMap<Bytes, KeyValue>,
    pub leases: BTreeMap<i64, Lease>,
    pub next_lease: i64,
    history: VecDeque<(i64, Vec<Event>)>,
    history_bytes: usize,
    history_revisions: usize,
    /// The newest revision that the history no longer holds.
    compacted: i64,
    pub journal: Vec<Write>,
    /// Whether answers show only the first half of each value.
    pub truncate_values: bool,
}

/// Tells whether `key` lies in the range of a request.
pub(super) fn covers(start: &[u8], end: &[u8], key: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}

impl Data {
    pub(super) const fn new(started: Instant, history_revisions: usize) -> Self {
        Self {
            started,
            // The real store counts from 1, so that revision 0 can mean "none".
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 7_001,
            history: VecDeque::new(),
            history_bytes: 0,
            history_revisions,
            compacted: 1,
            journal: Vec::new(),
            truncate_values: false,
        }
    }

    pub(super) const fn header(&self) -> Header {
        Header::new(self.revision)
    }

    pub(super) fn select(&self, start: &[u8], end: &[u8]) -> impl Iterator<Item = &KeyValue> {
        self.keys
            .range::<[u8], _>((Bound::Included(start), Bound::Unbounded))
            .map(|(_, kv)| kv)
            .take_while(move |kv| covers(start, end, &kv.key))
    }

    /// Returns the key and value as answers show them.
    pub(super) fn shown(&self, kv: &KeyValue) -> KeyValue {
        let mut kv = kv.clone();
        if self.truncate_values {
            kv.value.truncate(kv.value.len() / 2);
        }
        kv
    }

    pub(super) fn range(&self, request: &Range) -> Result<Value, Refusal> {
        check_key(&request.key)?;
        let mut count = 0;
        let mut kvs = Vec::new();
        let mut more = false;
        let max = match request.max_mod_revision {
            0 => i64::MAX,
            max => max,
        };
        let limit = match usize::try_from(request.limit) {
            Ok(limit) if limit > 0 => limit,
            _ => usize::MAX,
        };
        for kv in self.select(&request.key, &request.range_end) {
            count += 1;
            if kv.mod_revision < request.min_mod_revision || kv.mod_revision > max {
                continue;
            }
            if kvs.len() >= limit {
                more = true;
                continue;
            }
            let mut kv = self.shown(kv);
            if request.keys_only {
                kv.value.clear();
            }
            kvs.push(kv);
        }
        let mut answer = self.answer();
        if !request.count_only {
            if !kvs.is_empty() {
                answer.insert("kvs".to_owned(), json!(kvs));
            }
            if more {
                answer.insert("more".to_owned(), json!(true));
            }
        }
        // The count covers the whole range, also keys that a revision filter or the limit left out.
        if count > 0 {
            answer.insert("count".to_owned(), json!(count.to_string()));
        }
        Ok(Value::Object(answer))
    }

    pub(super) fn answer(&self) -> Map<String, Value> {
        let mut answer = Map::new();
        answer.insert("header".to_owned(), json!(self.header()));
        answer
    }

    /// Makes a revision of the events, if there are any.
    pub(super) fn commit(&mut self, events: Vec<Event>, now: Instant) {
        if events.is_empty() {
            return;
        }
        self.revision += 1;
        let names = |deleted: bool| {
            let of_kind = events.iter().filter(|event| event.deleted == deleted);
            of_kind
                .map(|event| String::from_utf8_lossy(&event.kv.key).into_owned())
                .collect()
        };
        self.journal.push(Write {
            revision: self.revision,
            at_ms: (now - self.started).as_millis() as u64,
            puts: names(false),
            deletes: names(true),
        });
        self.history_bytes += bytes_of(&events);
        self.history.push_back((self.revision, events));
        while self.history.len() > self.history_revisions || self.history_bytes > HISTORY_BYTES {
            let Some((revision, events)) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= bytes_of(&events);
            self.compacted = revision;
        }
    }

    /// Returns the events since a revision, or the oldest revision that a watch can start at.
    pub(super) fn events_since(&self, revision: i64) -> Result<Vec<(i64, &[Event])>, i64> {
        if revision <= self.compacted && revision > 0 && self.compacted > 1 {
            return Err(self.compacted + 1);
        }
        let skipped = self.history.partition_point(|(at, _)| *at < revision);
        let later = self.history.iter().skip(skipped);
        Ok(later.map(|(at, events)| (*at, events.as_slice())).collect())
    }
}

fn bytes_of(events: &[Event]) -> usize {
    events.iter().map(|event| event.kv.value.len()).sum()
}
