//! Chooses the index version to which a query is pinned, so that all hits come from one version.
//!
//! `docs/decisions/004-snapshot-and-coverage.md` gives the reasons.

use crate::version::directory::{Directory, VersionCoverage};
use crate::wire::Version;

/// A version is sparse if an older one has more than this many times its usable replicas.
///
/// A smaller ratio would be safer for the load of the new version's targets, but queries would stay longer
/// with a version that targets are dropping.
const SPARSE_RATIO: u32 = 2;

/// A version to which a query can be pinned, with its coverage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version of the index.
    pub version: Version,
    /// The number of shards in the version's map: the denominator of coverage.
    pub shards: u32,
    /// The number of shards for which some target takes work.
    pub covered_shards: u32,
    /// The number of targets that take work, each counted once for every shard that it holds.
    pub usable_replicas: u32,
}

impl From<VersionCoverage> for VersionChoice {
    fn from(coverage: VersionCoverage) -> Self {
        Self {
            version: coverage.version,
            shards: coverage.shards,
            covered_shards: coverage.covered_shards,
            usable_replicas: coverage.usable_replicas,
        }
    }
}

/// Returns the newest version of which every shard is covered, or else the one with the best coverage.
///
/// Of versions with equal coverage, a newer one is chosen only if it has at least half of the usable
/// replicas of the older one. Versions below `least` are not considered. Returns `None` if no version is
/// known.
pub fn choose(directory: &Directory, index: &str, least: Option<Version>) -> Option<VersionChoice> {
    choose_if(directory, index, |version| {
        least.is_none_or(|least| version >= least)
    })
}

/// Returns the best version other than `gone`, which targets have dropped; see [`choose`] for the order.
pub fn choose_other(directory: &Directory, index: &str, gone: Version) -> Option<VersionChoice> {
    choose_if(directory, index, |version| version != gone)
}

fn choose_if<F>(directory: &Directory, index: &str, is_eligible: F) -> Option<VersionChoice>
where
    F: Fn(Version) -> bool,
{
    let mut best: Option<VersionChoice> = None;
    // Versions come in ascending order, so a tie goes to the newer one unless it is sparse.
    for &coverage in directory.versions(index) {
        let candidate = VersionChoice::from(coverage);
        if is_eligible(candidate.version) && best.is_none_or(|best| !is_better(best, candidate)) {
            best = Some(candidate);
        }
    }
    best
}

/// Returns whether an older version is preferred to a newer one.
fn is_better(older: VersionChoice, newer: VersionChoice) -> bool {
    covers_more(older, newer) || (!covers_more(newer, older) && is_sparse(newer, older))
}

/// Returns whether the newer version has so few usable replicas that they may lack capacity for all queries.
///
/// While targets load a new version, each of its shards may be held by one target long before most targets
/// hold it.
fn is_sparse(newer: VersionChoice, older: VersionChoice) -> bool {
    newer.usable_replicas.saturating_mul(SPARSE_RATIO) < older.usable_replicas
}

/// Returns whether `left` covers a larger share of its shards than `right` does of its own.
fn covers_more(left: VersionChoice, right: VersionChoice) -> bool {
    u64::from(left.covered_shards) * u64::from(right.shards)
        > u64::from(right.covered_shards) * u64::from(left.shards)
}
