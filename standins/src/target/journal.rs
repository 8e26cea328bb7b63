//! The record of every request that reached a target of the process.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How many requests the journal holds. Once it is full, requests are refused and no verdict is
/// given, because a verdict on part of the requests could call a violation a pass.
pub const MAX_JOURNAL_ENTRIES: usize = 2_000_000;

/// One request that reached a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a separate column of the journal"
)]
pub struct JournalEntry {
    /// When it had arrived whole, in milliseconds since the process started.
    pub at_ms: u64,
    /// The target's name.
    pub target: Arc<str>,
    /// The target's data centre.
    pub data_centre: Arc<str>,
    /// The request id.
    pub request: String,
    /// The attempt.
    pub attempt: u32,
    /// The version that was asked for.
    pub version: u64,
    /// The shard that was asked for.
    pub shard: u32,
    /// Whether the sender allows the request to run more than once.
    pub idempotent: bool,
    /// Whether its work started.
    pub started: bool,
    /// When its work started.
    pub started_ms: Option<u64>,
    /// Whether its work ran to the end.
    pub finished: bool,
    /// When its work ended, in any way.
    pub ended_ms: Option<u64>,
    /// Whether an answer or a refusal was sent.
    pub answered: bool,
    /// Whether it was cancelled, before or after its start.
    pub cancelled: bool,
    /// The status of the answer, or 0 if there was none.
    pub status: u16,
    /// Whether its answer went to another request.
    pub crossed: bool,
    /// The target's generation when it arrived.
    pub generation: u64,
    /// Whether the target was cold when it arrived.
    pub cold: bool,
    /// How many requests the target had, this one included.
    pub at_once: u32,
    /// How many requests a cold target got in the second that ends with this one.
    pub rate: u32,
    /// Whether a cold target got more with this request than it bears.
    pub overrun: bool,
    /// Whether the target had turned cold in the same generation and not answered since, so that no
    /// observer could know.
    pub unannounced: bool,
    /// When the target was told to drain or to leave, if it arrived after that.
    pub leaving_ms: Option<u64>,
}

/// The clock of the process and the entries.
#[derive(Debug)]
pub(super) struct Journal {
    started: Instant,
    pub started_unix_ms: u64,
    entries: Mutex<Vec<JournalEntry>>,
    limit: usize,
}

impl Journal {
    pub(super) fn new(limit: usize) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_unix_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
            entries: Mutex::default(),
            limit,
        }
    }

    /// Returns the milliseconds since the process started.
    pub(super) fn elapsed_ms(&self, at: Instant) -> u64 {
        (at - self.started).as_millis() as u64
    }

    pub(super) fn entries(&self) -> MutexGuard<'_, Vec<JournalEntry>> {
        self.entries.lock().expect("no holder of this lock panics")
    }

    /// Adds an entry and returns its number, or nothing if the journal is full.
    pub(super) fn add(&self, entry: JournalEntry) -> Option<usize> {
        let mut entries = self.entries();
        if entries.len() >= self.limit {
            return None;
        }
        entries.push(entry);
        Some(entries.len() - 1)
    }

    pub(super) fn update(&self, position: usize, change: impl FnOnce(&mut JournalEntry)) {
        change(&mut self.entries()[position]);
    }

    pub(super) fn is_full(&self) -> bool {
        self.entries().len() >= self.limit
    }
}
