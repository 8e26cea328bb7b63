//! Keys with their revisions and leases, the history for watches and the journal of writes, without any
//! I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tokio::time::Instant;

use super::message::{Header, KeyValue, Range};
use super::txn::validate_key;

/// Limit for a value in a put. The platform promises that values of up to a megabyte fit.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Limit for the total size of the values that the history holds for watches.
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// Limit for the writes in the journal; once it is full, further writes are refused.
pub(super) const MAX_JOURNAL_WRITES: usize = 1_000_000;

/// Error response of the store; `code` is the gRPC status code that the real store returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestError {
    pub code: u8,
    pub message: &'static str,
}

/// Returns the error for gRPC status code 3, `INVALID_ARGUMENT`.
pub(super) const fn invalid_argument(message: &'static str) -> RequestError {
    RequestError { code: 3, message }
}

pub(super) const LEASE_NOT_FOUND: RequestError = RequestError {
    code: 5,
    message: "etcdserver: requested lease not found",
};

/// Successful write, as the journal shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Revision that the write created.
    pub revision: i64,
    /// Time at which the write took effect, in milliseconds since the stand-in started.
    pub at_ms: u64,
    /// Keys that were written, as text.
    pub puts: Vec<String>,
    /// Keys that were deleted, as text.
    pub deletes: Vec<String>,
}

/// Change of one key, as watches report it.
#[derive(Debug, Clone)]
pub(super) struct Event {
    /// The key and value after a put; after a delete only the key and the revision are set.
    pub kv: KeyValue,
    pub deleted: bool,
    /// The key and value before the change, if the key existed.
    pub previous: Option<KeyValue>,
}

/// Lease with the keys that are deleted when it ends.
#[derive(Debug)]
pub(super) struct Lease {
    /// Time to live after each renewal, in seconds.
    pub ttl: i64,
    pub deadline: Instant,
    pub keys: BTreeSet<Bytes>,
}

/// Contents of the store.
#[derive(Debug)]
pub(super) struct Keyspace {
    started: Instant,
    pub revision: i64,
    pub keys: BTreeMap<Bytes, KeyValue>,
    pub leases: BTreeMap<i64, Lease>,
    /// Id of the last lease that was granted without an id from the caller.
    pub last_lease_id: i64,
    /// Changes by revision, oldest first, which watches can start from.
    history: VecDeque<(i64, Vec<Event>)>,
    /// Total size of the values in `history`.
    history_bytes: usize,
    /// Limit for the number of revisions in `history`.
    history_revisions: usize,
    /// Newest revision that `history` no longer holds.
    compacted_revision: i64,
    pub journal: Vec<Write>,
    /// Fault: whether responses contain only the first half of each value.
    pub truncate_values: bool,
}

/// Returns whether `key` is in the range from `start` to `end`, by the rules of etcd: an empty `end`
/// selects the key `start` only, and a zero byte selects all keys from `start` on.
pub(super) fn in_range(start: &[u8], end: &[u8], key: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}

impl Keyspace {
    pub(super) const fn new(started: Instant, history_revisions: usize) -> Self {
        Self {
            started,
            // The first revision of the real store is 1, so that 0 can mean "none".
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease_id: 7_001,
            history: VecDeque::new(),
            history_bytes: 0,
            history_revisions,
            compacted_revision: 1,
            journal: Vec::new(),
            truncate_values: false,
        }
    }

    pub(super) const fn header(&self) -> Header {
        Header::new(self.revision)
    }

    /// Returns the keys in a range with their values, in key order.
    pub(super) fn entries_in_range(
        &self,
        start: &[u8],
        end: &[u8],
    ) -> impl Iterator<Item = &KeyValue> {
        self.keys
            .range::<[u8], _>((Bound::Included(start), Bound::Unbounded))
            .map(|(_, kv)| kv)
            .take_while(move |kv| in_range(start, end, &kv.key))
    }

    /// Returns a key and its value as responses show them.
    pub(super) fn response_kv(&self, kv: &KeyValue) -> KeyValue {
        let mut kv = kv.clone();
        if self.truncate_values {
            kv.value.truncate(kv.value.len() / 2);
        }
        kv
    }

    /// Returns the response to a range read.
    pub(super) fn range(&self, request: &Range) -> Result<Value, RequestError> {
        validate_key(&request.key)?;
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
        for kv in self.entries_in_range(&request.key, &request.range_end) {
            count += 1;
            if kv.mod_revision < request.min_mod_revision || kv.mod_revision > max {
                continue;
            }
            if kvs.len() >= limit {
                more = true;
                continue;
            }
            let mut kv = self.response_kv(kv);
            if request.keys_only {
                kv.value.clear();
            }
            kvs.push(kv);
        }
        let mut answer = self.response_with_header();
        if !request.count_only {
            if !kvs.is_empty() {
                answer.insert("kvs".to_owned(), json!(kvs));
            }
            if more {
                answer.insert("more".to_owned(), json!(true));
            }
        }
        // As in the real store, the count includes keys that a revision filter or the limit left out.
        if count > 0 {
            answer.insert("count".to_owned(), json!(count.to_string()));
        }
        Ok(Value::Object(answer))
    }

    /// Returns a response that contains only the header.
    pub(super) fn response_with_header(&self) -> Map<String, Value> {
        let mut answer = Map::new();
        answer.insert("header".to_owned(), json!(self.header()));
        answer
    }

    /// Adds a revision with these changes, unless there are none, to the journal and the history, and
    /// drops the oldest history beyond its limits.
    pub(super) fn commit(&mut self, events: Vec<Event>, now: Instant) {
        if events.is_empty() {
            return;
        }
        self.revision += 1;
        let keys = |deleted: bool| {
            let of_kind = events.iter().filter(|event| event.deleted == deleted);
            of_kind
                .map(|event| String::from_utf8_lossy(&event.kv.key).into_owned())
                .collect()
        };
        self.journal.push(Write {
            revision: self.revision,
            at_ms: (now - self.started).as_millis() as u64,
            puts: keys(false),
            deletes: keys(true),
        });
        self.history_bytes += value_bytes(&events);
        self.history.push_back((self.revision, events));
        while self.history.len() > self.history_revisions || self.history_bytes > MAX_HISTORY_BYTES
        {
            let Some((revision, events)) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= value_bytes(&events);
            self.compacted_revision = revision;
        }
    }

    /// Returns the changes since a revision; the error is the oldest revision that a watch can start at.
    pub(super) fn events_since(&self, revision: i64) -> Result<Vec<(i64, &[Event])>, i64> {
        if revision <= self.compacted_revision && revision > 0 && self.compacted_revision > 1 {
            return Err(self.compacted_revision + 1);
        }
        let skipped = self.history.partition_point(|(at, _)| *at < revision);
        let later = self.history.iter().skip(skipped);
        Ok(later.map(|(at, events)| (*at, events.as_slice())).collect())
    }
}

/// Returns the total size of the values in changes.
fn value_bytes(events: &[Event]) -> usize {
    events.iter().map(|event| event.kv.value.len()).sum()
}
