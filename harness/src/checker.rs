//! Compares what callers were told with what the targets' journal shows.

use std::collections::{BTreeMap, HashMap, HashSet};

use hdrhistogram::Histogram;
use redwinggrade::client::Error;
use redwinggrade::request::answer::Answer;
use redwinggrade::wire::Reason;
use serde::Serialize;
use standins::target::Entry;
use standins::target::expected;
use standins::target::spec::Spec;

use crate::load::Record;

/// The verdict on a run. Every count of a broken promise comes from the journal or from the answers
/// themselves, never from what the product says of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Requests that callers sent.
    pub queries: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were refused and did not run.
    pub not_run: u64,
    /// Non-idempotent requests whose outcome callers were told is unknown.
    pub unknown: u64,
    /// Idempotent requests that ended without an answer and without a refusal.
    pub lost: u64,
    /// Non-idempotent request ids that started more than once.
    pub doubled: u64,
    /// Answers whose hits do not fit the coverage that they report.
    pub untrue_coverage: u64,
    /// Answers with hits of another version than they report.
    pub mixed_snapshots: u64,
    /// Answers with hits that belong to another request.
    pub wrong_answers: u64,
    /// Requests that started although their caller was told that they did not run.
    pub false_not_run: u64,
    /// The median time to an answer.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The mean share of shards that answers cover.
    pub coverage_mean: f64,
    /// The least share.
    pub coverage_min: f64,
    /// Requests at targets beyond one for each covered shard, in percent of those.
    pub extra_load_pct: f64,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
}

impl Verdict {
    /// Tells whether every promise was kept.
    pub const fn is_clean(&self) -> bool {
        self.lost == 0
            && self.doubled == 0
            && self.untrue_coverage == 0
            && self.mixed_snapshots == 0
            && self.wrong_answers == 0
            && self.false_not_run == 0
    }
}

/// Judges a run.
///
/// `limit` is the most hits that an answer may hold, as the settings say for the smallest kind; only
/// answers with fewer hits than that can be checked for missing ones.
pub fn check_run(records: &[Record], journal: &[Entry]) -> Verdict {
    let mut verdict = Verdict {
        coverage_min: 1.0,
        ..Verdict::default()
    };
    let mut latencies = Histogram::<u64>::new_with_max(120_000_000, 3)
        .expect("the bounds of the histogram are valid");
    let started = started_requests(journal);
    let mut covered = 0;
    let mut coverage = 0.0;
    for record in records {
        verdict.queries += 1;
        match &record.outcome.result {
            Ok(answer) => {
                verdict.answered += 1;
                latencies.saturating_record(record.outcome.elapsed.as_micros() as u64);
                covered += u64::from(answer.coverage.answered);
                let share =
                    f64::from(answer.coverage.answered) / f64::from(answer.coverage.total.max(1));
                coverage += share;
                verdict.coverage_min = verdict.coverage_min.min(share);
                check_answer(answer, &record.query.body, &mut verdict);
                verdict.false_not_run += u64::from(replaced_id_started(record, &started));
            }
            Err(error) => count_failure(record, error, &started, &mut verdict),
        }
    }
    verdict.doubled = count_doubled(journal);
    let at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    (verdict.p50_ms, verdict.p99_ms, verdict.p999_ms) = (at(0.5), at(0.99), at(0.999));
    verdict.coverage_mean = coverage / verdict.answered.max(1) as f64;
    let arrived = journal.iter().filter(|entry| entry.started).count() as f64;
    verdict.extra_load_pct = (arrived / covered.max(1) as f64 - 1.0) * 100.0;
    verdict
}

fn started_requests(journal: &[Entry]) -> HashSet<&str> {
    let started = journal.iter().filter(|entry| entry.started);
    started.map(|entry| entry.request.as_str()).collect()
}

fn count_doubled(journal: &[Entry]) -> u64 {
    let mut starts: HashMap<&str, u32> = HashMap::new();
    for entry in journal
        .iter()
        .filter(|entry| entry.started && !entry.idempotent)
    {
        *starts.entry(entry.request.as_str()).or_default() += 1;
    }
    starts.values().filter(|count| **count > 1).count() as u64
}

/// Tells whether an id ran although its caller was told that it did not, and took a new one.
fn replaced_id_started(record: &Record, started: &HashSet<&str>) -> bool {
    let ids = &record.outcome.requests;
    let replaced = &ids[..ids.len().saturating_sub(1)];
    replaced.iter().any(|id| started.contains(id.as_str()))
}

/// Returns the targets that had more requests at once than they have slots, with that number.
///
/// Only the owner of a target counts its slots, so a larger number shows two owners at once.
pub fn targets_over_slots(journal: &[Entry], spec: &Spec) -> BTreeMap<String, u32> {
    let mut highest: HashMap<&str, u32> = HashMap::new();
    for entry in journal {
        let most = highest.entry(&entry.target).or_default();
        *most = entry.at_once.max(*most);
    }
    let targets = spec.targets.iter();
    targets
        .filter_map(|target| {
            let most = *highest.get(target.name.as_str())?;
            (most > target.slots).then(|| (target.name.clone(), most))
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
        // Only the targets' own journal can show that something ran.
        let ran = record
            .outcome
            .requests
            .iter()
            .any(|id| started.contains(id.as_str()));
        verdict.false_not_run += u64::from(ran);
    } else if !record.query.idempotent {
        verdict.unknown += 1;
    } else if !matches!(error, Error::Refused(refusal) if refusal.reason == Reason::LowCoverage) {
        verdict.lost += u64::from(!matches!(error, Error::Refused(_)));
    }
}

/// Checks an answer against what each shard of its version would give.
fn check_answer(answer: &Answer, body: &[u8], verdict: &mut Verdict) {
    let version = answer.snapshot.0;
    let mut shards: HashSet<u32> = HashSet::new();
    let (mut mixed, mut wrong) = (false, false);
    for hit in &answer.hits {
        let Some((of, shard)) = parse_hit_id(&hit.id) else {
            wrong = true;
            continue;
        };
        mixed |= of != version;
        let right = expected(of, shard, body);
        wrong |= !right
            .iter()
            .any(|it| it.id == hit.id && scores_equal(it.score, hit.score));
        shards.insert(shard);
    }
    verdict.mixed_snapshots += u64::from(mixed);
    verdict.wrong_answers += u64::from(wrong);
    verdict.untrue_coverage += u64::from(!hits_match_coverage(answer, &shards, body));
}

/// Tells whether the hits are those of exactly as many shards as the answer says that it covers.
///
/// Every shard has the same number of hits for any query. Where the limit cuts hits off, a shard may
/// show none, so that only the best hits of the shards that show can be compared.
fn hits_match_coverage(answer: &Answer, shards: &HashSet<u32>, body: &[u8]) -> bool {
    let claimed = answer.coverage.answered;
    if shards.len() as u32 > claimed || answer.complete != (claimed == answer.coverage.total) {
        return false;
    }
    let whole = claimed as usize * standins::target::HITS;
    if answer.hits.len() == whole {
        return shards.len() as u32 == claimed;
    }
    if answer.hits.len() > whole {
        return false;
    }
    if !answer.complete {
        return true;
    }
    // A complete answer must hold the best hits over all shards.
    let mut all: Vec<_> = (0..answer.coverage.total)
        .flat_map(|shard| expected(answer.snapshot.0, shard, body))
        .collect();
    all.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    answer
        .hits
        .iter()
        .zip(&all)
        .all(|(got, right)| got.id == right.id)
}

fn scores_equal(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

/// Returns the version and the shard that a hit's name tells.
fn parse_hit_id(id: &str) -> Option<(u64, u32)> {
    let mut parts = id.split('-');
    let version = parts.next()?.strip_prefix('v')?.parse().ok()?;
    let shard = parts.next()?.strip_prefix('s')?.parse().ok()?;
    Some((version, shard))
}
