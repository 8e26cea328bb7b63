//! Chooses the version of the index that a query is pinned to.
//!
//! `docs/decisions/004-snapshot-and-coverage.md` gives the reasons.

use crate::version::directory::{Directory, VersionCoverage};
use crate::wire::Version;

/// A version is thin if an older one has more than this many times its usable targets.
///
/// A larger part would be safer for the load, but queries would stay longer with a version that
/// targets are dropping.
const THIN: u32 = 2;

/// The version that a query is pinned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version.
    pub version: Version,
    /// Shards in the version's map; this is the denominator of coverage.
    pub shards: u32,
    /// Shards for which some target takes work.
    pub covered_shards: u32,
    /// Targets that hold a shard and take work.
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

/// Chooses the newest version that is wholly covered, else the one with the best coverage.
///
/// Of versions with equal coverage, a newer one is chosen only if it has at least half of the usable
/// targets of the older one.
///
/// Versions below `least` are not considered. Returns nothing if no version is known.
pub fn choose(directory: &Directory, index: &str, least: Option<Version>) -> Option<VersionChoice> {
    best(directory, index, |version| {
        least.is_none_or(|least| version >= least)
    })
}

/// Chooses as [`choose`] does, but never `gone`, which targets have been seen not to hold.
pub fn choose_other(directory: &Directory, index: &str, gone: Version) -> Option<VersionChoice> {
    best(directory, index, |version| version != gone)
}

fn best<F>(directory: &Directory, index: &str, admits: F) -> Option<VersionChoice>
where
    F: Fn(Version) -> bool,
{
    let mut best: Option<VersionChoice> = None;
    // Versions come in ascending order, so a tie goes to the newer one unless it is thin.
    for &coverage in directory.versions(index) {
        let candidate = VersionChoice::from(coverage);
        if admits(candidate.version) && best.is_none_or(|best| !is_better(best, candidate)) {
            best = Some(candidate);
        }
    }
    best
}

/// Tells whether an older version stays the choice although a newer one is known.
fn is_better(older: VersionChoice, newer: VersionChoice) -> bool {
    covers_more(older, newer) || (!covers_more(newer, older) && is_thin(newer, older))
}

/// Tells whether a version has so few usable targets that they might not bear the load of all.
///
/// While a version rolls over the targets, each shard of it may be held by one target long before
/// most targets hold it.
fn is_thin(newer: VersionChoice, older: VersionChoice) -> bool {
    newer.usable_replicas.saturating_mul(THIN) < older.usable_replicas
}

/// Tells whether `left` covers a larger share of its own map than `right` does.
fn covers_more(left: VersionChoice, right: VersionChoice) -> bool {
    u64::from(left.covered_shards) * u64::from(right.shards)
        > u64::from(right.covered_shards) * u64::from(left.shards)
}
