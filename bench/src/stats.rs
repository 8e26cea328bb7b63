//! What a run measures.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use redwinggrade::wire::{Cause, Reason};
use serde::Serialize;

/// The longest time that the histogram holds; no deadline of the model comes near it.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Subrequests of one second by cause, and what became of the queries that began in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Queries that began.
    pub offered: u64,
    /// Queries that began in it and were answered in time.
    pub good: u64,
    /// First subrequests.
    pub first: u64,
    /// Subrequests sent because another one was slow.
    pub hedges: u64,
    /// Subrequests sent because another one was refused or lost.
    pub retries: u64,
    /// Subrequests sent because the query restarted.
    pub restarts: u64,
}

impl Counters {
    /// Counts a subrequest.
    pub const fn count_subrequest(&mut self, cause: Cause) {
        match cause {
            Cause::First => self.first += 1,
            Cause::Hedge => self.hedges += 1,
            Cause::Retry => self.retries += 1,
            Cause::Restart => self.restarts += 1,
        }
    }

    /// Returns the extra subrequests in percent of the first ones.
    pub fn extra_percent(&self) -> f64 {
        percent(self.hedges + self.retries + self.restarts, self.first)
    }
}

/// What must never happen; every count must be zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Answers with hits of another version than the answer's.
    #[serde(rename = "mixed")]
    pub mixed_snapshots: u64,
    /// Answers whose coverage is not the share of shards that are in them.
    pub false_coverage: u64,
    /// Queries that ended twice or never.
    #[serde(rename = "not_once")]
    pub not_ended_once: u64,
    /// Dispatches that found all slots of their target in use.
    pub over_slots: u64,
    /// Starts in a data centre that had been out for more than two seconds.
    #[serde(rename = "out")]
    pub starts_while_out: u64,
    /// Subrequests that were dispatched without a permit.
    pub no_permit: u64,
}

/// What one run measured.
#[derive(Debug)]
pub struct Stats {
    /// Times from the caller's sending to its answer; a failed query counts as its deadline.
    pub latency: Histogram<u64>,
    /// The sum of the coverage of all queries.
    pub coverage_sum: f64,
    /// The least coverage.
    pub coverage_min: f64,
    /// Queries with less than the least coverage of their kind.
    pub below_min_coverage: u64,
    /// Queries that began.
    pub queries_started: u64,
    /// Queries that ended.
    pub queries_ended: u64,
    /// Queries without an answer, by reason.
    pub failures: BTreeMap<String, u64>,
    /// Subrequests that ended without an answer, by reason.
    pub subrequest_failures: BTreeMap<String, u64>,
    /// Figures by second of the run.
    pub seconds: Vec<Counters>,
    /// What must never happen.
    pub violations: Violations,
    /// The time after a data centre was taken out at which the last request started there.
    pub last_start_after_out_us: u64,
}

impl Stats {
    /// Opens the figures of a run of some seconds.
    pub fn new(seconds: u64) -> Self {
        Self {
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
            coverage_sum: 0.0,
            coverage_min: 1.0,
            below_min_coverage: 0,
            queries_started: 0,
            queries_ended: 0,
            failures: BTreeMap::new(),
            subrequest_failures: BTreeMap::new(),
            seconds: vec![Counters::default(); seconds as usize],
            violations: Violations::default(),
            last_start_after_out_us: 0,
        }
    }

    /// Records a query that ended.
    pub fn record_query(
        &mut self,
        second: usize,
        latency_us: u64,
        (answered, total): (u32, u32),
        failure: Option<Reason>,
    ) {
        self.queries_ended += 1;
        self.latency.saturating_record(latency_us);
        let coverage = f64::from(answered) / f64::from(total.max(1));
        self.coverage_sum += coverage;
        self.coverage_min = self.coverage_min.min(coverage);
        if let Some(reason) = failure {
            self.below_min_coverage += 1;
            *self.failures.entry(reason.to_string()).or_default() += 1;
        } else {
            self.seconds[second].good += 1;
        }
    }

    /// Returns the sums over all seconds.
    pub fn total(&self) -> Counters {
        self.seconds
            .iter()
            .fold(Counters::default(), |sum, second| Counters {
                offered: sum.offered + second.offered,
                good: sum.good + second.good,
                first: sum.first + second.first,
                hedges: sum.hedges + second.hedges,
                retries: sum.retries + second.retries,
                restarts: sum.restarts + second.restarts,
            })
    }
}

/// Returns a part in percent; zero of nothing.
pub fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
