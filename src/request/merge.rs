//! Merges the hits of all shards into the best hits of a query.

use std::borrow::Cow;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One match of a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// The id of the record that matched.
    pub id: String,
    /// The score of the match; a higher one is better.
    pub score: f64,
}

/// The body of a target's answer.
#[derive(Debug, Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    hits: Vec<BorrowedHit<'a>>,
}

/// A hit that borrows its id from the body, so that only hits that are kept are copied.
#[derive(Debug, Deserialize)]
struct BorrowedHit<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    score: f64,
}

/// A target's answer is not JSON with a list `hits` of objects with `id` and `score`.
#[derive(Debug, Error)]
#[error("expected a JSON object with hits from a target: {0}")]
pub struct MalformedBody(#[from] serde_json::Error);

/// Collects the best hits of the answers added so far.
#[derive(Debug)]
pub struct HitMerger {
    limit: usize,
    /// The kept hits; the worst one is on top.
    best_hits: BinaryHeap<RankedHit>,
}

impl HitMerger {
    /// Creates a merger that keeps the best `limit` hits.
    pub const fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            best_hits: BinaryHeap::new(),
        }
    }

    /// Adds the hits of one shard's answer; a malformed body adds none.
    pub fn add(&mut self, body: &[u8]) -> Result<(), MalformedBody> {
        let body: Body<'_> = serde_json::from_slice(body)?;
        for hit in body.hits {
            if self.best_hits.len() >= self.limit {
                let better = |worst: &RankedHit| compare(hit.score, &hit.id, &worst.0).is_lt();
                if !self.best_hits.peek().is_some_and(better) {
                    continue;
                }
                self.best_hits.pop();
            }
            self.best_hits.push(RankedHit(Hit {
                id: hit.id.into_owned(),
                score: hit.score,
            }));
        }
        assert!(
            self.best_hits.len() <= self.limit,
            "more hits kept than the limit"
        );
        Ok(())
    }

    /// Removes all hits, because the query restarts at another version.
    pub fn clear(&mut self) {
        self.best_hits.clear();
    }

    /// Removes and returns the best hits, by descending score and then by id.
    pub fn finish(&mut self) -> Vec<Hit> {
        let hits = std::mem::take(&mut self.best_hits).into_sorted_vec();
        hits.into_iter().map(|ranked| ranked.0).collect()
    }
}

/// A hit with the order of the answer, in which the worst hit is the greatest.
#[derive(Debug)]
struct RankedHit(Hit);

impl Ord for RankedHit {
    fn cmp(&self, other: &Self) -> Ordering {
        compare(self.0.score, &self.0.id, &other.0)
    }
}

impl PartialOrd for RankedHit {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedHit {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedHit {}

/// Compares by descending score and then by id, so that hits of equal score have a fixed order.
fn compare(score: f64, id: &str, other: &Hit) -> Ordering {
    let by_score = other.score.total_cmp(&score);
    by_score.then_with(|| id.cmp(&other.id))
}
