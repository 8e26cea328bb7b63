//! Search results of the targets, which a test can compute by itself.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of hits of each shard for any query.
pub const HITS_PER_SHARD: usize = 8;

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Id of the result, which contains the version and the shard that it comes from.
    pub id: String,
    /// Score of the result; higher scores come first.
    pub score: f64,
}

/// Body of an answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Results, highest score first.
    pub hits: Vec<Hit>,
}

/// Returns the correct hits of a shard at a version for a query.
///
/// Every replica returns the same hits. Ids and scores both depend on the version, so that an answer
/// that mixes versions differs from every correct one.
pub fn expected_hits(version: u64, shard: u32, body: &[u8]) -> Vec<Hit> {
    let query = xxh3_64_with_seed(body, version);
    let mut hits: Vec<Hit> = (0..HITS_PER_SHARD as u64)
        .map(|number| {
            let hash = xxh3_64_with_seed(
                &number.to_le_bytes(),
                query ^ u64::from(shard).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            );
            Hit {
                id: format!("v{version}-s{shard}-{:08x}", hash >> 32),
                // A multiple of 1/1024 below 16,384 passes through any JSON number parser unchanged.
                score: (hash & 0xff_ffff) as f64 / 1024.0,
            }
        })
        .collect();
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    hits
}
