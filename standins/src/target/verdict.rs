//! Whether the requests kept the promises that targets rely on, as the journal shows it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::journal::JournalEntry;
use super::spec;

/// How many offending request ids a verdict names.
const MAX_DOUBLED_IDS: usize = 20;

/// Requests that reached a target after it was told to drain or to leave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateRequests {
    /// How many there were.
    pub count: u64,
    /// The longest time from the command to such a request, in milliseconds.
    pub latest_ms: u64,
}

impl LateRequests {
    fn record(&mut self, delay_ms: u64) {
        self.count += 1;
        self.latest_ms = self.latest_ms.max(delay_ms);
    }
}

/// The load of a target while it was cold, against what it bears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLoad {
    /// The most requests at once.
    pub highest_concurrency: u32,
    /// How many requests at once it bears.
    pub concurrency: u32,
    /// The most requests in any span of one second.
    pub highest_rate: u32,
    /// How many requests per second it bears.
    pub rate: u32,
    /// How many requests were more than it bears.
    pub overruns: u64,
}

/// What the targets of a data centre got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreTotals {
    /// How many requests arrived.
    pub requests: u64,
    /// How many started.
    pub started: u64,
    /// When the last request arrived, in milliseconds since the process started.
    pub last_arrival_ms: Option<u64>,
    /// When the last request started, in milliseconds since the process started.
    pub last_start_ms: Option<u64>,
}

/// The verdict over all targets of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The wall-clock time at which the process started, for comparison with other processes.
    pub started_unix_ms: u64,
    /// How many requests arrived.
    pub requests: u64,
    /// How many started.
    pub started: u64,
    /// How many ran to their end.
    pub finished: u64,
    /// How many got an answer or a refusal.
    pub answered: u64,
    /// How many were cancelled.
    pub cancelled: u64,
    /// How many requests got each status; 0 stands for none.
    pub statuses: BTreeMap<u16, u64>,
    /// How many started requests carried `Idempotent: false`; without any, `doubled` proves nothing.
    pub non_idempotent_started: u64,
    /// How many non-idempotent request ids started more than once over all targets.
    pub doubled: u64,
    /// Some of these ids.
    pub doubled_ids: Vec<String>,
    /// How many requests gave a cold target more than it bears.
    pub cold_overruns: u64,
    /// How many of these arrived before any observer could know that the target had turned cold.
    pub cold_overruns_unannounced: u64,
    /// How many connections were closed because the target had its limit.
    pub connection_overruns: u64,
    /// How many requests were malformed; the journal does not hold them.
    pub malformed: u64,
    /// The targets that got requests while cold.
    pub cold: BTreeMap<Arc<str>, ColdLoad>,
    /// Requests that arrived after their target was told to drain or to leave, refused ones included.
    pub arrived_after_drain: LateRequests,
    /// Those of them that started. A draining target refuses, so only leaving ones start any.
    pub started_after_drain: LateRequests,
    /// What each data centre got.
    pub data_centres: BTreeMap<Arc<str>, DataCentreTotals>,
}

/// Judges journal entries; counts that the journal does not hold are left at zero.
pub(super) fn judge<'a>(
    entries: &[JournalEntry],
    targets: impl Iterator<Item = &'a spec::Target>,
) -> Verdict {
    let targets: HashMap<&str, &spec::Target> =
        targets.map(|spec| (spec.name.as_str(), spec)).collect();
    let mut verdict = Verdict::default();
    let mut starts: HashMap<&str, u64> = HashMap::new();
    for entry in entries {
        verdict.requests += 1;
        verdict.started += u64::from(entry.started);
        verdict.finished += u64::from(entry.finished);
        verdict.answered += u64::from(entry.answered);
        verdict.cancelled += u64::from(entry.cancelled);
        *verdict.statuses.entry(entry.status).or_default() += 1;
        if entry.started && !entry.idempotent {
            verdict.non_idempotent_started += 1;
            *starts.entry(&entry.request).or_default() += 1;
        }
        if entry.cold {
            let cold = verdict.cold.entry(Arc::clone(&entry.target)).or_default();
            cold.highest_concurrency = cold.highest_concurrency.max(entry.at_once);
            cold.highest_rate = cold.highest_rate.max(entry.rate);
            cold.overruns += u64::from(entry.overrun);
            if let Some(spec) = targets.get(&*entry.target) {
                cold.concurrency = spec.cold_concurrency;
                cold.rate = spec.cold_rate;
            }
        }
        verdict.cold_overruns += u64::from(entry.overrun);
        verdict.cold_overruns_unannounced += u64::from(entry.overrun && entry.unannounced);
        if let Some(leaving_ms) = entry.leaving_ms {
            verdict.arrived_after_drain.record(entry.at_ms - leaving_ms);
            if let Some(started_ms) = entry.started_ms {
                verdict.started_after_drain.record(started_ms - leaving_ms);
            }
        }
        let name = Arc::clone(&entry.data_centre);
        let data_centre = verdict.data_centres.entry(name).or_default();
        data_centre.requests += 1;
        data_centre.started += u64::from(entry.started);
        data_centre.last_arrival_ms = data_centre.last_arrival_ms.max(Some(entry.at_ms));
        data_centre.last_start_ms = data_centre.last_start_ms.max(entry.started_ms);
    }
    let mut doubled_ids: Vec<String> = starts
        .into_iter()
        .filter(|(_, starts)| *starts > 1)
        .map(|(id, _)| id.to_owned())
        .collect();
    verdict.doubled = doubled_ids.len() as u64;
    doubled_ids.sort();
    doubled_ids.truncate(MAX_DOUBLED_IDS);
    verdict.doubled_ids = doubled_ids;
    verdict
}
