//! The directory of known targets: which targets hold each shard of each version of each index.
//!
//! A directory is built from all target summaries at once and never changes, so that a decision sees
//! one consistent state. A [`TargetKey`] is valid only for the directory that returned it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::wire::exchange::Holding;
use crate::wire::{Load, Member, Version};

/// The maximum number of shards of one version; a holding that reports more is ignored as invalid.
///
/// Each query allocates state per shard, so the limit also bounds the cost of an invalid report.
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

/// The last known state of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The target's name, unique over all indexes.
    pub name: Arc<str>,
    /// The address at which its gateway connects to it.
    pub address: SocketAddr,
    /// The data centre of the target.
    pub data_centre: Arc<str>,
    /// The index that the target serves.
    pub index: Arc<str>,
    /// The service that the target is a replica of.
    pub service: Arc<str>,
    /// The number of the target among the replicas of the service.
    pub replica: u32,
    /// The node that owns the target and sends requests to it, if known.
    pub gateway: Option<Member>,
    /// Whether the gateway, the settings and the member list all allow new work for the target.
    pub usable: bool,
    /// The shards that the target holds, each of one version.
    pub holdings: Vec<Holding>,
    /// The load of the target as last reported.
    pub load: Load,
}

impl Target {
    /// Returns whether a subrequest can be sent to the target now.
    pub const fn takes_work(&self) -> bool {
        self.usable && self.gateway.is_some()
    }
}

/// The size of one version of an index and how much of it is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionCoverage {
    /// The version of the index.
    pub version: Version,
    /// The number of shards of the version, including those that no target holds.
    pub shards: u32,
    /// The number of shards for which at least one target takes work.
    pub covered_shards: u32,
    /// The number of targets that take work, each counted once for every shard that it holds.
    pub usable_replicas: u32,
}

/// The targets that hold each shard of one version.
///
/// The vectors are parallel and sorted by shard, then by key.
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

/// The versions of one index, in ascending order; the vectors are parallel.
#[derive(Debug, Default)]
struct Index {
    coverages: Vec<VersionCoverage>,
    maps: Vec<ShardMap>,
}

/// All targets that are known at one moment.
#[derive(Debug, Default)]
pub struct Directory {
    targets: Vec<Target>,
    names: HashMap<Arc<str>, TargetKey>,
    indexes: HashMap<Arc<str>, Index>,
}

impl Directory {
    /// Builds a directory; of several targets with the same name, only the last is kept.
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

    /// Returns the target of a key, which must come from this directory.
    pub fn target(&self, key: TargetKey) -> &Target {
        &self.targets[key.0 as usize]
    }

    /// Returns the key of the target with the name.
    pub fn find(&self, name: &str) -> Option<TargetKey> {
        self.names.get(name).copied()
    }

    /// Returns all targets with their keys, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        (0_u32..).map(TargetKey).zip(&self.targets)
    }

    /// Returns the known versions of an index in ascending order.
    pub fn versions(&self, index: &str) -> &[VersionCoverage] {
        self.indexes
            .get(index)
            .map_or(&[], |index| index.coverages.as_slice())
    }

    /// Returns the coverage of one version of an index, if any target holds a shard of it.
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
        // If targets disagree about the number of shards of a version, the largest counts: with a
        // number that is too small, a partial answer would be reported as complete.
        let shards = group.iter().map(|row| row.4).max().unwrap_or_default();
        let (mut covered_shards, mut usable_replicas) = (0, 0);
        for holders in group.chunk_by(|left, right| left.2 == right.2) {
            let mut is_covered = false;
            for &(_, _, shard, key, _) in holders {
                let takes_work = targets[key.0 as usize].takes_work();
                is_covered |= takes_work;
                // A target that reports the same shard with two shard counts is still one replica.
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
