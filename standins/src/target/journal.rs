//! Journal of all requests that reached a target of the process.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Limit for the number of requests in the journal. Once it is full, requests are refused and no verdict
/// is given, because a verdict on a part of the requests could miss a violation.
pub const MAX_JOURNAL_ENTRIES: usize = 2_000_000;

/// Request that reached a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a separate column of the journal"
)]
pub struct JournalEntry {
    /// Time at which the request had arrived completely, in milliseconds since the process started.
    pub at_ms: u64,
    /// Name of the target.
    pub target: Arc<str>,
    /// Data centre of the target.
    pub data_centre: Arc<str>,
    /// Request id.
    pub request: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Index version that was asked for.
    pub version: u64,
    /// Shard that was asked for.
    pub shard: u32,
    /// Whether the sender allows the request to run more than once.
    pub idempotent: bool,
    /// Whether the work started.
    pub started: bool,
    /// Time at which the work started, in milliseconds since the process started.
    pub started_ms: Option<u64>,
    /// Whether the work ran to its end.
    pub finished: bool,
    /// Time at which the work ended for any reason, in milliseconds since the process started.
    pub ended_ms: Option<u64>,
    /// Whether an answer or a refusal was sent.
    pub answered: bool,
    /// Whether the request was cancelled, before or after its start.
    pub cancelled: bool,
    /// HTTP status of the response, or 0 if none was sent.
    pub status: u16,
    /// Whether the answer was sent to another request, by the fault `cross_answers`.
    pub crossed: bool,
    /// Generation of the target when the request arrived.
    pub generation: u64,
    /// Whether the target was cold when the request arrived.
    pub cold: bool,
    /// Number of accepted requests of the target, this one included.
    pub at_once: u32,
    /// Number of requests to a cold target in the second that ends with this one.
    pub rate: u32,
    /// Whether the request exceeded what a cold target can take.
    pub overrun: bool,
    /// Whether the target had become cold without a new generation and not answered since, so that no
    /// observer could know.
    pub unannounced: bool,
    /// Time at which the target was told to drain or to leave, if the request arrived later, in
    /// milliseconds since the process started.
    pub leaving_ms: Option<u64>,
}

/// Journal entries, and the clock to which their times refer.
#[derive(Debug)]
pub(super) struct Journal {
    started: Instant,
    /// Wall-clock time at which the process started, in milliseconds since the Unix epoch.
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

    /// Returns a time in milliseconds since the process started.
    pub(super) fn elapsed_ms(&self, at: Instant) -> u64 {
        (at - self.started).as_millis() as u64
    }

    pub(super) fn entries(&self) -> MutexGuard<'_, Vec<JournalEntry>> {
        self.entries.lock().expect("no holder of this lock panics")
    }

    /// Adds an entry and returns its position, or `None` if the journal is full.
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
