//! The targets that a node knows: index, version, shard, and the targets that hold it.
//!
//! A directory is built whole from target summaries and is never changed afterwards, so that a
//! decision sees one consistent state. Keys are valid only for the directory that gave them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::wire::exchange::Holding;
use crate::wire::{Load, Member, Version};

/// Shards that one version may have; a target that reports more is wrong, and its holding is ignored.
///
/// Each query allocates state per shard, so the bound also limits what a wrong report can cost.
pub const MAX_SHARDS: u32 = 4_096;

/// Identifies a target within one [`Directory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(u32);

impl TargetKey {
    /// Returns the position of the target in its directory.
    pub const fn position(self) -> u32 {
        self.0
    }
}

/// What is known about one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The target's name, unique over all indexes.
    pub name: Arc<str>,
    /// Where its gateway reaches it.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// The index that it serves.
    pub index: Arc<str>,
    /// The service that it is a replica of.
    pub service: Arc<str>,
    /// Its number among the replicas of the service.
    pub replica: u32,
    /// The node that owns it, if known.
    pub gateway: Option<Member>,
    /// Whether it takes new work, by its gateway, the settings and the membership list.
    pub usable: bool,
    /// What it holds.
    pub holdings: Vec<Holding>,
    /// Its load as last reported.
    pub load: Load,
}

impl Target {
    /// Tells whether a leg can be sent to the target now.
    pub const fn takes_work(&self) -> bool {
        self.usable && self.gateway.is_some()
    }
}

/// One version of an index and its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionCoverage {
    /// The version.
    pub version: Version,
    /// Shards in the version's map, including those that no target holds.
    pub shards: u32,
    /// Shards for which some target takes work.
    pub covered_shards: u32,
    /// Targets that hold a shard and take work, counted once per shard.
    pub usable_replicas: u32,
}

/// The shard map of one version: two arrays sorted by shard, then key.
#[derive(Debug, Default)]
struct ShardMap {
    shards: Vec<u32>,
    keys: Vec<TargetKey>,
}

impl ShardMap {
    fn replicas(&self, shard: u32) -> &[TargetKey] {
        let start = self.shards.partition_point(|&held| held < shard);
        let count = self.shards[start..].partition_point(|&held| held == shard);
        &self.keys[start..start + count]
    }
}

/// The versions of one index, in ascending order; both vectors have the same length.
#[derive(Debug, Default)]
struct Index {
    coverages: Vec<VersionCoverage>,
    maps: Vec<ShardMap>,
}

/// All known targets at one moment.
#[derive(Debug, Default)]
pub struct Directory {
    targets: Vec<Target>,
    names: HashMap<Arc<str>, TargetKey>,
    indexes: HashMap<Arc<str>, Index>,
}

impl Directory {
    /// Builds a directory; of several targets with the same name only the last counts.
    pub fn build(targets: Vec<Target>) -> Self {
        let mut names = HashMap::with_capacity(targets.len());
        let mut kept: Vec<Target> = Vec::with_capacity(targets.len());
        for target in targets {
            let next = TargetKey(u32::try_from(kept.len()).expect("fewer than 2^32 targets"));
            let key = *names.entry(Arc::clone(&target.name)).or_insert(next);
            if key == next {
                kept.push(target);
            } else {
                kept[key.0 as usize] = target;
            }
        }
        let indexes = group_holdings(&kept);
        Self {
            targets: kept,
            names,
            indexes,
        }
    }

    /// Returns a target by its key, which must come from this directory.
    pub fn target(&self, key: TargetKey) -> &Target {
        &self.targets[key.0 as usize]
    }

    /// Finds a target by its name.
    pub fn find(&self, name: &str) -> Option<TargetKey> {
        self.names.get(name).copied()
    }

    /// Returns all targets with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        (0_u32..).map(TargetKey).zip(&self.targets)
    }

    /// Returns the known versions of an index in ascending order.
    pub fn versions(&self, index: &str) -> &[VersionCoverage] {
        self.indexes
            .get(index)
            .map_or(&[], |index| index.coverages.as_slice())
    }

    /// Returns one version of an index.
    pub fn coverage(&self, index: &str, version: Version) -> Option<VersionCoverage> {
        let coverages = self.versions(index);
        let found = coverages.binary_search_by_key(&version, |coverage| coverage.version);
        found.ok().map(|position| coverages[position])
    }

    /// Returns every target that holds a shard, including those that take no work.
    pub fn replicas(&self, index: &str, version: Version, shard: u32) -> &[TargetKey] {
        let Some(index) = self.indexes.get(index) else {
            return &[];
        };
        index
            .coverages
            .binary_search_by_key(&version, |coverage| coverage.version)
            .map_or(&[], |position| index.maps[position].replicas(shard))
    }
}

/// Groups the holdings of all targets by index, version and shard.
fn group_holdings(targets: &[Target]) -> HashMap<Arc<str>, Index> {
    let mut rows = Vec::new();
    for (key, target) in (0_u32..).map(TargetKey).zip(targets) {
        for holding in &target.holdings {
            if holding.shard < holding.shards && holding.shards <= MAX_SHARDS {
                rows.push((
                    &target.index,
                    holding.version,
                    holding.shard,
                    key,
                    holding.shards,
                ));
            }
        }
    }
    rows.sort_unstable();
    rows.dedup();
    let mut indexes: HashMap<Arc<str>, Index> = HashMap::new();
    for group in rows.chunk_by(|left, right| (left.0, left.1) == (right.0, right.1)) {
        let (name, version) = (group[0].0, group[0].1);
        let mut map = ShardMap::default();
        // If targets disagree about the size of a version, the largest counts: a size that is too
        // small would report a partial answer as complete.
        let shards = group.iter().map(|row| row.4).max().unwrap_or_default();
        let (mut covered_shards, mut usable_replicas) = (0, 0);
        for holders in group.chunk_by(|left, right| left.2 == right.2) {
            let mut is_covered = false;
            for &(_, _, shard, key, _) in holders {
                let takes_work = targets[key.0 as usize].takes_work();
                is_covered |= takes_work;
                // A target that reports the same shard with two sizes is still one replica.
                if map.keys.last() != Some(&key) || map.shards.last() != Some(&shard) {
                    map.shards.push(shard);
                    map.keys.push(key);
                    usable_replicas += u32::from(takes_work);
                }
            }
            covered_shards += u32::from(is_covered);
        }
        let index = indexes.entry(Arc::clone(name)).or_default();
        index.coverages.push(VersionCoverage {
            version,
            shards,
            covered_shards,
            usable_replicas,
        });
        index.maps.push(map);
    }
    indexes
}
