//! Reads and writes the settings in the platform's store.
//!
//! The layout is that of [`crate::version::log`]. A write is decided by one transaction that
//! compares the head; if its answer is lost, [`settle`] reads the log back and never writes again.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::store::{self, Compare, KeyValue, Outcome, Put, Range, Store};
use crate::version::Tree;
use crate::version::log::{self, Applied, Change, Chunk, Entry, Head};
use crate::version::tree::Digest;

/// How often a snapshot is written again because another writer replaced one of its pieces.
const CHUNK_ATTEMPTS: usize = 3;
/// Most pieces of one snapshot; at 400 KiB each they hold a tree of 40 MB.
const CHUNK_COUNT: u64 = 100;

/// Why the settings cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store did not do its part.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// A value in the store cannot be used.
    #[error(transparent)]
    Damaged(#[from] log::Error),
    /// The log has no such version.
    #[error("the settings have no version {version}; the newest is {newest}")]
    NoVersion {
        /// The version that was asked for.
        version: u64,
        /// The newest version.
        newest: u64,
    },
}

/// The newest version as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mark {
    /// The head; without one the settings are empty and at version 0.
    pub head: Option<Head>,
    /// The revision of the head's key, zero if it does not exist.
    pub mod_revision: u64,
}

impl Mark {
    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.version)
    }

    /// Returns the newest version that has a snapshot.
    pub fn snapshot_version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.snapshot_version)
    }
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The change is the version after its base.
    Stored,
    /// Another change took that version first; this one has no effect and never will.
    Conflict,
    /// The write was sent, is not in the log, and may still arrive.
    Unknown(String),
}

/// Reads the head.
pub async fn head(store: &Store) -> Result<Mark, Error> {
    let (_, found) = store.range(&Range::key(log::HEAD_KEY)).await?;
    let Some(found) = found.first() else {
        return Ok(Mark {
            head: None,
            mod_revision: 0,
        });
    };
    Ok(Mark {
        head: Some(log::decode(log::HEAD_KEY, &found.value())?),
        mod_revision: found.mod_revision,
    })
}

/// Returns a mark to write over a head that is damaged, after the newest version in the log.
///
/// Fails unless `base` is the newest version that the log has.
pub async fn repair(store: &Store, base: u64) -> Result<Mark, Error> {
    let ranges = [
        Range::key(log::HEAD_KEY),
        Range::key(log::entry_key(base)).keys_only(),
        Range::key(log::entry_key(base + 1)).keys_only(),
    ];
    let reading = store.ranges(&ranges).await?;
    let [head, newest, next] = reading.ranges.as_slice() else {
        return Err(store::Error::Unknown("it lacks a range".to_owned()).into());
    };
    if newest.is_empty() || !next.is_empty() {
        let reason = format!("version {base} is not the newest in the log");
        return Err(log::Error::new(log::HEAD_KEY, &reason).into());
    }
    Ok(Mark {
        head: Some(Head {
            version: base,
            digest: Digest(0),
            operation: String::new(),
            snapshot_version: 0,
        }),
        mod_revision: head.first().map_or(0, |head| head.mod_revision),
    })
}

/// Reads the tree at a version that the head covers.
pub async fn tree(store: &Store, mark: &Mark, version: u64) -> Result<Tree, Error> {
    if version > mark.version() {
        return Err(Error::NoVersion {
            version,
            newest: mark.version(),
        });
    }
    if version == 0 {
        return Ok(Tree::default());
    }
    let newest = mark.snapshot_version();
    if newest <= version {
        return replay(store, newest, version).await;
    }
    let mut failure = None;
    for snapshot in snapshots(store, version).await?.into_iter().rev() {
        // A writer that lost its race may have left pieces under a version without a snapshot.
        match replay(store, snapshot, version).await {
            Err(Error::Damaged(damage)) => failure = Some(Error::Damaged(damage)),
            decided => return decided,
        }
    }
    Err(failure.unwrap_or(Error::NoVersion {
        version,
        newest: mark.version(),
    }))
}

/// Returns the versions up to `last` that have pieces of a snapshot.
async fn snapshots(store: &Store, last: u64) -> Result<BTreeSet<u64>, Error> {
    let span = Range::span(log::snapshot_prefix(0), log::snapshot_prefix(last + 1)).keys_only();
    let (_, found) = store.range(&span).await?;
    Ok(found
        .iter()
        .filter_map(|found| log::snapshot_version(&found.key()))
        .collect())
}

async fn replay(store: &Store, snapshot: u64, version: u64) -> Result<Tree, Error> {
    let pieces = read_snapshot(store, snapshot).await?;
    let mut tree = log::join_snapshot(snapshot, &pieces)?;
    let written = entry(store, snapshot).await?;
    if written.is_none_or(|entry| entry.digest != tree.digest()) {
        let reason = "it is not the snapshot of its version";
        return Err(log::Error::new(log::snapshot_prefix(snapshot), &reason).into());
    }
    let mut reached = snapshot;
    while reached < version {
        let last = version.min(reached + log::MAX_READ_ENTRIES);
        let entries = read_entries(store, reached + 1, last).await?;
        if entries.is_empty() {
            return Err(log::Error::new(log::entry_key(reached + 1), "it is missing").into());
        }
        for value in entries {
            let entry: Entry = log::decode(&log::entry_key(reached + 1), &value)?;
            tree = match log::apply_entry(reached, &tree, &entry)? {
                Applied::Tree(tree) => tree,
                Applied::SnapshotOnly => {
                    log::join_snapshot(reached + 1, &read_snapshot(store, reached + 1).await?)?
                }
            };
            reached += 1;
        }
    }
    Ok(tree)
}

/// Reads the pieces of a snapshot.
pub async fn read_snapshot(store: &Store, version: u64) -> Result<Vec<Bytes>, store::Error> {
    let mut pieces = Vec::new();
    // One piece per call keeps every answer small; trees of today have a single piece.
    for part in 0..CHUNK_COUNT {
        let key = Range::key(log::chunk_key(version, part as usize));
        let (_, found) = store.range(&key).await?;
        let Some(found) = found.first() else { break };
        pieces.push(found.value());
        let declared = log::decode::<Chunk>("", &found.value()).map(|chunk| chunk.parts);
        if declared.is_ok_and(|parts| parts <= pieces.len()) {
            break;
        }
    }
    Ok(pieces)
}

/// Reads the values of the log entries from `first` to `last`, at most [`log::MAX_READ_ENTRIES`].
pub async fn read_entries(
    store: &Store,
    first: u64,
    last: u64,
) -> Result<Vec<Bytes>, store::Error> {
    let span = Range::span(
        log::entry_key(first),
        log::entry_key(last.saturating_add(1)),
    )
    .limit(log::MAX_READ_ENTRIES);
    let (_, found) = store.range(&span).await?;
    Ok(found.iter().map(KeyValue::value).collect())
}

/// Reads one log entry.
pub async fn entry(store: &Store, version: u64) -> Result<Option<Entry>, Error> {
    let key = log::entry_key(version);
    let (_, found) = store.range(&Range::key(key.clone())).await?;
    match found.first() {
        Some(found) => Ok(Some(log::decode(&key, &found.value())?)),
        None => Ok(None),
    }
}

/// Writes a change that was prepared from the mark.
pub async fn write(store: &Store, mark: &Mark, change: &Change) -> Result<Written, Error> {
    let version = change.entry.version;
    let unmoved = Compare::unchanged(log::HEAD_KEY, mark.mod_revision);
    for _ in 0..CHUNK_ATTEMPTS {
        let Some(mut compares) = write_chunks(store, &unmoved, change).await? else {
            return Ok(Written::Conflict);
        };
        compares.push(unmoved.clone());
        // An entry that the head does not cover was left by hand; it is not overwritten unseen.
        compares.push(Compare::unchanged(log::entry_key(version), 0));
        let puts = [
            Put::new(log::entry_key(version), log::encode(&change.entry)),
            Put::new(log::HEAD_KEY, log::encode(&change.head)),
        ];
        match store.txn(&compares, &puts).await {
            Ok(Outcome::Done { .. }) => return Ok(Written::Stored),
            Ok(Outcome::Conflict) => {}
            Err(store::Error::Unknown(reason)) => return Ok(Written::Unknown(reason)),
            Err(fault) => return Err(fault.into()),
        }
        let now = head(store).await?;
        if now.mod_revision != mark.mod_revision {
            return Ok(Written::Conflict);
        }
        // The head has not moved, so another writer has replaced a piece of the snapshot.
    }
    Ok(Written::Conflict)
}

/// Writes the pieces of a snapshot, and returns the conditions that they are still this change's.
///
/// The pieces mean nothing until a head names them. The final transaction compares their revisions,
/// so that two writers who prepare the same version cannot mix their pieces.
async fn write_chunks(
    store: &Store,
    unmoved: &Compare,
    change: &Change,
) -> Result<Option<Vec<Compare>>, Error> {
    let mut compares = Vec::new();
    for chunk in &change.chunks {
        let key = log::chunk_key(chunk.version, chunk.part);
        let put = Put::new(key.clone(), log::encode(chunk));
        match store.txn(std::slice::from_ref(unmoved), &[put]).await? {
            Outcome::Done { revision } => compares.push(Compare::unchanged(key, revision)),
            Outcome::Conflict => return Ok(None),
        }
    }
    Ok(Some(compares))
}

/// Looks up the outcome of a write whose answer was lost.
///
/// Only the version after the base can hold the change, because the write compares the head.
pub async fn settle(store: &Store, change: &Change) -> Result<Written, Error> {
    match entry(store, change.entry.version).await? {
        Some(entry) if entry.operation == change.entry.operation => Ok(Written::Stored),
        Some(_) => Ok(Written::Conflict),
        None => Ok(Written::Unknown("it is not in the log yet".to_owned())),
    }
}
