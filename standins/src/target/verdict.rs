//! Evaluation of the journal: whether the requests respected the guarantees that targets rely on.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::journal::JournalEntry;
use super::spec;

/// Limit for the number of request ids that a verdict names.
const MAX_DOUBLED_IDS: usize = 20;

/// Requests that arrived or started after their target was told to drain or to leave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateRequests {
    /// Number of these requests.
    pub count: u64,
    /// Longest time from the command to such a request, in milliseconds.
    pub latest_ms: u64,
}

impl LateRequests {
    fn record(&mut self, delay_ms: u64) {
        self.count += 1;
        self.latest_ms = self.latest_ms.max(delay_ms);
    }
}

/// Load of a target while it was cold, and the load that it can take then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLoad {
    /// Highest number of requests at once.
    pub highest_concurrency: u32,
    /// Number of requests at once that the target can take.
    pub concurrency: u32,
    /// Highest number of requests in any span of one second.
    pub highest_rate: u32,
    /// Number of requests per second that the target can take.
    pub rate: u32,
    /// Number of requests that exceeded what the target can take.
    pub overruns: u64,
}

/// Totals over the targets of a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreTotals {
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests that started.
    pub started: u64,
    /// Arrival time of the last request, in milliseconds since the process started.
    pub last_arrival_ms: Option<u64>,
    /// Start time of the last request that started, in milliseconds since the process started.
    pub last_start_ms: Option<u64>,
}

/// Verdict over all targets of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Wall-clock time at which the process started, in milliseconds since the Unix epoch. It relates
    /// the times in this verdict to those of other processes.
    pub started_unix_ms: u64,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests that started.
    pub started: u64,
    /// Number of requests that ran to their end.
    pub finished: u64,
    /// Number of requests that got an answer or a refusal.
    pub answered: u64,
    /// Number of requests that were cancelled.
    pub cancelled: u64,
    /// Number of requests by HTTP status; 0 stands for no response.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of started requests with `Idempotent: false`. If it is 0, `doubled` proves nothing.
    pub non_idempotent_started: u64,
    /// Number of non-idempotent request ids that started more than once over all targets.
    pub doubled: u64,
    /// First of these ids in alphabetical order.
    pub doubled_ids: Vec<String>,
    /// Number of requests that exceeded what a cold target can take.
    pub cold_overruns: u64,
    /// Number of these requests that arrived before any observer could know that the target had become
    /// cold.
    pub cold_overruns_unannounced: u64,
    /// Number of connections that were closed because the target had as many as it accepts.
    pub connection_overruns: u64,
    /// Number of malformed requests, which the journal does not contain.
    pub malformed: u64,
    /// Targets that got requests while they were cold, by name.
    pub cold: BTreeMap<Arc<str>, ColdLoad>,
    /// Requests that arrived after their target was told to drain or to leave, refused ones included.
    pub arrived_after_drain: LateRequests,
    /// Requests that started after their target was told to drain or to leave. A draining target refuses
    /// requests, so these are requests to leaving targets.
    pub started_after_drain: LateRequests,
    /// Totals by data centre.
    pub data_centres: BTreeMap<Arc<str>, DataCentreTotals>,
}

/// Returns the verdict on journal entries. The counts that the journal does not contain stay zero.
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
