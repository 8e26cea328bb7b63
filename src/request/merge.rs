//! Merges the hits of all shards into the answer.

use std::borrow::Cow;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One match of a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// The record that matched.
    pub id: String,
    /// How well it matched; higher is better.
    pub score: f64,
}

/// The body of a target's answer.
#[derive(Debug, Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    hits: Vec<BorrowedHit<'a>>,
}

/// A hit that is not copied out of the body unless it belongs to the best.
#[derive(Debug, Deserialize)]
struct BorrowedHit<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    score: f64,
}

/// The body of an answer is not what targets are specified to send.
#[derive(Debug, Error)]
#[error("malformed answer of a target: {0}")]
pub struct MalformedBody(#[from] serde_json::Error);

/// The best hits so far.
#[derive(Debug)]
pub struct HitMerger {
    limit: usize,
    /// The worst of the kept hits is on top.
    best: BinaryHeap<RankedHit>,
}

impl HitMerger {
    /// Opens a merge that keeps the best `limit` hits.
    pub const fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            best: BinaryHeap::new(),
        }
    }

    /// Adds the answer of one shard; a malformed body leaves the merge unchanged.
    pub fn add(&mut self, body: &[u8]) -> Result<(), MalformedBody> {
        let body: Body<'_> = serde_json::from_slice(body)?;
        for hit in body.hits {
            if self.best.len() >= self.limit {
                let better = |worst: &RankedHit| compare(hit.score, &hit.id, &worst.0).is_lt();
                if !self.best.peek().is_some_and(better) {
                    continue;
                }
                self.best.pop();
            }
            self.best.push(RankedHit(Hit {
                id: hit.id.into_owned(),
                score: hit.score,
            }));
        }
        assert!(self.best.len() <= self.limit, "the limit bounds the hits");
        Ok(())
    }

    /// Removes all hits, because the query restarts at another version.
    pub fn clear(&mut self) {
        self.best.clear();
    }

    /// Returns the best hits, by descending score and then by id, and leaves none.
    pub fn finish(&mut self) -> Vec<Hit> {
        let best = std::mem::take(&mut self.best).into_sorted_vec();
        best.into_iter().map(|kept| kept.0).collect()
    }
}

/// A hit in the order of the answer, so that the greatest one is the worst.
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

/// Orders by descending score, then by id, so that equal scores have one order.
fn compare(score: f64, id: &str, other: &Hit) -> Ordering {
    let by_score = other.score.total_cmp(&score);
    by_score.then_with(|| id.cmp(&other.id))
}
