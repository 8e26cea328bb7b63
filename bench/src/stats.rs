//! The figures that a run collects: latencies, coverage, subrequest counts and violations.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use redwinggrade::wire::{Cause, Reason};
use serde::Serialize;

/// The longest latency that the histogram holds; far above the deadlines of all modelled indexes.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counts of queries and subrequests in one second of the run, or their sums over the run.
///
/// Subrequests count in the second in which they are sent, queries in the one in which they begin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Queries that began in the second.
    pub offered: u64,
    /// Queries that began in the second and were answered before their deadline.
    pub good: u64,
    /// Subrequests that are the first one of their query for a shard.
    pub first: u64,
    /// Subrequests sent because an earlier one for the same shard was slow.
    pub hedges: u64,
    /// Subrequests sent because an earlier one for the same shard was refused or lost.
    pub retries: u64,
    /// Subrequests sent because the query started again with another index version.
    pub restarts: u64,
}

impl Counters {
    /// Counts a subrequest by its cause.
    pub const fn count_subrequest(&mut self, cause: Cause) {
        match cause {
            Cause::First => self.first += 1,
            Cause::Hedge => self.hedges += 1,
            Cause::Retry => self.retries += 1,
            Cause::Restart => self.restarts += 1,
        }
    }

    /// Returns hedges, retries and restarts in percent of the first subrequests.
    pub fn extra_percent(&self) -> f64 {
        percent(self.hedges + self.retries + self.restarts, self.first)
    }
}

/// Counts of broken safety guarantees; every count must be zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Answers that contain hits of another index version than their own.
    #[serde(rename = "mixed")]
    pub mixed_snapshots: u64,
    /// Answers whose stated coverage differs from the share of shards that they contain.
    pub false_coverage: u64,
    /// Queries that ended twice or never.
    #[serde(rename = "not_once")]
    pub not_ended_once: u64,
    /// Targets that received a request while all their slots were in use.
    pub over_slots: u64,
    /// Requests that started in a data centre more than two seconds after it was taken out of service.
    #[serde(rename = "out")]
    pub starts_while_out: u64,
    /// Subrequests that a node dispatched without a valid permit.
    pub no_permit: u64,
}

/// The figures of one run; queries that begin before the measured part are left out.
#[derive(Debug)]
pub struct Stats {
    /// Query latencies in microseconds, as seen by the caller. A failed query counts with at least its
    /// deadline.
    pub latency: Histogram<u64>,
    /// The sum of the coverage of all queries that ended; a coverage is between 0 and 1.
    pub coverage_sum: f64,
    /// The lowest coverage of any query, between 0 and 1.
    pub coverage_min: f64,
    /// Queries that failed; a query fails if it does not reach its minimum coverage.
    pub below_min_coverage: u64,
    /// Queries that began in the measured part.
    pub queries_started: u64,
    /// Queries that ended with an answer or a failure.
    pub queries_ended: u64,
    /// Queries without an answer, by reason.
    pub failures: BTreeMap<String, u64>,
    /// Subrequests that ended without an answer, by reason.
    pub subrequest_failures: BTreeMap<String, u64>,
    /// Counts for each second of the measured part.
    pub seconds: Vec<Counters>,
    /// Counts of broken safety guarantees.
    pub violations: Violations,
    /// The time between taking a data centre out of service and the last start of a request there, in
    /// microseconds; zero if there was none.
    pub last_start_after_out_us: u64,
}

impl Stats {
    /// Returns empty figures for a run with this many measured seconds.
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

    /// Records a query that ended; `second` is the one in which it began.
    ///
    /// `answered` and `total` are numbers of shards; `failure` is absent if the query was answered.
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

    /// Returns the sums of the counts over all seconds.
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

/// Returns `part` in percent of `whole`; a `whole` of zero counts as one.
pub fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
