//! Compares the results that callers got with the requests that the targets' journal shows.

use std::collections::{BTreeMap, HashMap, HashSet};

use hdrhistogram::Histogram;
use redwinggrade::client::Error;
use redwinggrade::request::answer::Answer;
use redwinggrade::wire::Reason;
use serde::Serialize;
use standins::target::JournalEntry;
use standins::target::expected_hits;
use standins::target::spec::Spec;

use crate::load::Record;

/// The verdict on a run.
///
/// Every count of a broken guarantee comes from the targets' journal or from the answers themselves, never
/// from the metrics or logs of the system under test.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// The number of requests that callers sent.
    pub queries: u64,
    /// The number of requests that were answered.
    pub answered: u64,
    /// The number of requests whose callers were told that they did not run.
    pub not_run: u64,
    /// The number of non-idempotent requests that ended without an answer and without "not run", so that
    /// their callers do not know the outcome.
    pub unknown: u64,
    /// The number of idempotent requests that ended with neither an answer nor a refusal.
    pub lost: u64,
    /// The number of non-idempotent request ids that started more than once.
    pub doubled: u64,
    /// The number of answers whose hits do not match the coverage that they report.
    pub untrue_coverage: u64,
    /// The number of answers with hits of an index version other than the reported one.
    pub mixed_snapshots: u64,
    /// The number of answers with hits that the targets do not give for the request's body.
    pub wrong_answers: u64,
    /// The number of requests that started although their callers were told that they did not run.
    pub false_not_run: u64,
    /// The median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency of answered requests, in milliseconds.
    pub p999_ms: f64,
    /// The mean share of shards that an answer covers, from 0 to 1.
    pub coverage_mean: f64,
    /// The smallest share of shards that an answer covers, from 0 to 1.
    pub coverage_min: f64,
    /// The requests that started at targets in excess of one per covered shard, in percent of the covered
    /// shards.
    pub extra_load_pct: f64,
    /// The number of requests without an answer, by reason.
    pub refusals: BTreeMap<String, u64>,
}

impl Verdict {
    /// Returns whether no guarantee is broken.
    pub const fn is_clean(&self) -> bool {
        self.lost == 0
            && self.doubled == 0
            && self.untrue_coverage == 0
            && self.mixed_snapshots == 0
            && self.wrong_answers == 0
            && self.false_not_run == 0
    }
}

/// Checks the results of a run against the targets' journal.
///
/// Where the hit limit of the settings truncates an answer, only a complete answer can be checked for
/// missing hits: it must hold the best hits over all shards.
pub fn check_run(records: &[Record], journal: &[JournalEntry]) -> Verdict {
    let mut verdict = Verdict {
        coverage_min: 1.0,
        ..Verdict::default()
    };
    let mut latencies = Histogram::<u64>::new_with_max(120_000_000, 3)
        .expect("the bounds of the histogram are valid");
    let started = started_requests(journal);
    let mut covered_shards = 0;
    let mut coverage_sum = 0.0;
    for record in records {
        verdict.queries += 1;
        match &record.outcome.result {
            Ok(answer) => {
                verdict.answered += 1;
                latencies.saturating_record(record.outcome.elapsed.as_micros() as u64);
                covered_shards += u64::from(answer.coverage.answered);
                let share =
                    f64::from(answer.coverage.answered) / f64::from(answer.coverage.total.max(1));
                coverage_sum += share;
                verdict.coverage_min = verdict.coverage_min.min(share);
                check_answer(answer, &record.query.body, &mut verdict);
                verdict.false_not_run += u64::from(replaced_id_started(record, &started));
            }
            Err(error) => count_failure(record, error, &started, &mut verdict),
        }
    }
    verdict.doubled = count_doubled(journal);
    let quantile_ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    (verdict.p50_ms, verdict.p99_ms, verdict.p999_ms) =
        (quantile_ms(0.5), quantile_ms(0.99), quantile_ms(0.999));
    verdict.coverage_mean = coverage_sum / verdict.answered.max(1) as f64;
    let started_count = journal.iter().filter(|entry| entry.started).count() as f64;
    verdict.extra_load_pct = (started_count / covered_shards.max(1) as f64 - 1.0) * 100.0;
    verdict
}

fn started_requests(journal: &[JournalEntry]) -> HashSet<&str> {
    let started = journal.iter().filter(|entry| entry.started);
    started.map(|entry| entry.request.as_str()).collect()
}

fn count_doubled(journal: &[JournalEntry]) -> u64 {
    let mut starts: HashMap<&str, u32> = HashMap::new();
    for entry in journal
        .iter()
        .filter(|entry| entry.started && !entry.idempotent)
    {
        *starts.entry(entry.request.as_str()).or_default() += 1;
    }
    starts.values().filter(|count| **count > 1).count() as u64
}

/// Returns whether a request id started although its caller was told that it did not run, and retried the
/// request under a new id.
fn replaced_id_started(record: &Record, started: &HashSet<&str>) -> bool {
    let ids = &record.outcome.request_ids;
    let replaced = &ids[..ids.len().saturating_sub(1)];
    replaced.iter().any(|id| started.contains(id.as_str()))
}

/// Returns the targets that ran more requests at once than they have slots, with the highest number.
///
/// The owner of a target counts its slots, so a number above the slots shows that two nodes acted as owner
/// at once.
pub fn targets_over_slots(journal: &[JournalEntry], spec: &Spec) -> BTreeMap<String, u32> {
    let mut highest: HashMap<&str, u32> = HashMap::new();
    for entry in journal {
        let highest_at_target = highest.entry(&entry.target).or_default();
        *highest_at_target = entry.at_once.max(*highest_at_target);
    }
    let targets = spec.targets.iter();
    targets
        .filter_map(|target| {
            let highest_at_target = *highest.get(target.name.as_str())?;
            (highest_at_target > target.slots).then(|| (target.name.clone(), highest_at_target))
        })
        .collect()
}

fn count_failure(record: &Record, error: &Error, started: &HashSet<&str>, verdict: &mut Verdict) {
    let reason = match error {
        Error::Refused(refusal) => refusal.reason.to_string(),
        Error::Unreachable => "unreachable".to_owned(),
        Error::Lost => "lost".to_owned(),
        Error::Malformed(_) => "malformed".to_owned(),
    };
    *verdict.refusals.entry(reason).or_default() += 1;
    if error.not_run() {
        verdict.not_run += 1;
        // Only the targets' journal shows whether the request ran.
        let ran = record
            .outcome
            .request_ids
            .iter()
            .any(|id| started.contains(id.as_str()));
        verdict.false_not_run += u64::from(ran);
    } else if !record.query.idempotent {
        verdict.unknown += 1;
    } else if !matches!(error, Error::Refused(refusal) if refusal.reason == Reason::LowCoverage) {
        verdict.lost += u64::from(!matches!(error, Error::Refused(_)));
    }
}

/// Checks the hits of an answer against those that each shard of its version returns for the request.
fn check_answer(answer: &Answer, body: &[u8], verdict: &mut Verdict) {
    let version = answer.snapshot.0;
    let mut shards: HashSet<u32> = HashSet::new();
    let (mut mixed, mut wrong) = (false, false);
    for hit in &answer.hits {
        let Some((hit_version, shard)) = parse_hit_id(&hit.id) else {
            wrong = true;
            continue;
        };
        mixed |= hit_version != version;
        let expected_hits = expected_hits(hit_version, shard, body);
        wrong |= !expected_hits.iter().any(|expected_hit| {
            expected_hit.id == hit.id && scores_equal(expected_hit.score, hit.score)
        });
        shards.insert(shard);
    }
    verdict.mixed_snapshots += u64::from(mixed);
    verdict.wrong_answers += u64::from(wrong);
    verdict.untrue_coverage += u64::from(!hits_match_coverage(answer, &shards, body));
}

/// Returns whether the hits come from exactly as many shards as the answer reports as covered.
///
/// Every shard returns the same number of hits for any query. Where the hit limit truncates an answer, a
/// covered shard may contribute no hit, so that only the best hits of a complete answer can be compared.
fn hits_match_coverage(answer: &Answer, shards: &HashSet<u32>, body: &[u8]) -> bool {
    let claimed = answer.coverage.answered;
    if shards.len() as u32 > claimed || answer.complete != (claimed == answer.coverage.total) {
        return false;
    }
    let untruncated_count = claimed as usize * standins::target::HITS_PER_SHARD;
    if answer.hits.len() == untruncated_count {
        return shards.len() as u32 == claimed;
    }
    if answer.hits.len() > untruncated_count {
        return false;
    }
    if !answer.complete {
        return true;
    }
    // A complete answer must hold the best hits over all shards.
    let mut expected_hits: Vec<_> = (0..answer.coverage.total)
        .flat_map(|shard| expected_hits(answer.snapshot.0, shard, body))
        .collect();
    expected_hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    answer
        .hits
        .iter()
        .zip(&expected_hits)
        .all(|(hit, expected_hit)| hit.id == expected_hit.id)
}

fn scores_equal(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

/// Returns the index version and the shard number from a hit id such as `v1-s2-0123abcd`.
fn parse_hit_id(id: &str) -> Option<(u64, u32)> {
    let mut parts = id.split('-');
    let version = parts.next()?.strip_prefix('v')?.parse().ok()?;
    let shard = parts.next()?.strip_prefix('s')?.parse().ok()?;
    Some((version, shard))
}
