//! Chooses the version of the index that a query is pinned to.
//!
//! `docs/decisions/004-snapshot-and-coverage.md` gives the reasons.

use crate::version::directory::{Directory, Extent};
use crate::wire::Version;

/// The version that a query is pinned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The version.
    pub version: Version,
    /// Shards in the version's map; this is the denominator of coverage.
    pub shards: u32,
    /// Shards for which some target takes work.
    pub covered: u32,
}

impl From<Extent> for Choice {
    fn from(extent: Extent) -> Self {
        Self {
            version: extent.version,
            shards: extent.shards,
            covered: extent.covered,
        }
    }
}

/// Chooses the newest version that is wholly covered, else the one with the best coverage.
///
/// Versions below `least` are not considered. Returns nothing if no version is known.
pub fn choose(directory: &Directory, index: &str, least: Option<Version>) -> Option<Choice> {
    best(directory, index, |version| {
        least.is_none_or(|least| version >= least)
    })
}

/// Chooses as [`choose`] does, but never `gone`, which targets have been seen not to hold.
pub fn choose_other(directory: &Directory, index: &str, gone: Version) -> Option<Choice> {
    best(directory, index, |version| version != gone)
}

fn best<F>(directory: &Directory, index: &str, admits: F) -> Option<Choice>
where
    F: Fn(Version) -> bool,
{
    let mut best: Option<Choice> = None;
    // Versions come in ascending order, so a tie goes to the newer one.
    for &extent in directory.versions(index) {
        let candidate = Choice::from(extent);
        if admits(candidate.version) && best.is_none_or(|best| !covers_more(best, candidate)) {
            best = Some(candidate);
        }
    }
    best
}

/// Tells whether `left` covers a larger share of its own map than `right` does.
fn covers_more(left: Choice, right: Choice) -> bool {
    u64::from(left.covered) * u64::from(right.shards)
        > u64::from(right.covered) * u64::from(left.shards)
}
