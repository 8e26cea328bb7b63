//! Merges the hits of all shards into the answer.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Hits are cut back to the limit when this many times the limit have gathered.
const SLACK: usize = 4;

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
struct Body {
    hits: Vec<Hit>,
}

/// The body of an answer is not what targets are specified to send.
#[derive(Debug, Error)]
#[error("malformed answer of a target: {0}")]
pub struct Malformed(#[from] serde_json::Error);

/// The best hits so far.
#[derive(Debug)]
pub struct Merge {
    limit: usize,
    hits: Vec<Hit>,
}

impl Merge {
    /// Opens a merge that keeps the best `limit` hits.
    pub const fn open(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            hits: Vec::new(),
        }
    }

    /// Adds the answer of one shard; a malformed body leaves the merge unchanged.
    pub fn add(&mut self, body: &[u8]) -> Result<(), Malformed> {
        let mut body: Body = serde_json::from_slice(body)?;
        if self.hits.is_empty() {
            self.hits = body.hits;
        } else {
            self.hits.append(&mut body.hits);
        }
        if self.hits.len() > self.limit.saturating_mul(SLACK) {
            self.cut();
        }
        Ok(())
    }

    /// Removes all hits, because the query restarts at another version.
    pub fn clear(&mut self) {
        self.hits.clear();
    }

    /// Returns the best hits, by descending score and then by id.
    pub fn finish(&mut self) -> Vec<Hit> {
        self.cut();
        let mut hits = std::mem::take(&mut self.hits);
        hits.sort_unstable_by(before);
        hits
    }

    fn cut(&mut self) {
        if self.hits.len() > self.limit && self.limit > 0 {
            self.hits.select_nth_unstable_by(self.limit - 1, before);
        }
        self.hits.truncate(self.limit);
    }
}

/// Orders by descending score, then by id, so that equal scores have one order.
fn before(left: &Hit, right: &Hit) -> Ordering {
    let score = right.score.total_cmp(&left.score);
    score.then_with(|| left.id.cmp(&right.id))
}
