//! Reads and writes the settings in the platform's store, in the layout of [`crate::version::log`].
//!
//! A change takes effect by one transaction that compares the head. If the answer to it is lost,
//! [`find_outcome`] reads the log to learn the outcome; the transaction is never sent again.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::store::{self, Compare, KeyValue, Outcome, Put, Range, Store};
use crate::version::Tree;
use crate::version::log::{self, Applied, Change, Chunk, Entry, Head};
use crate::version::tree::Digest;

/// Maximum number of attempts to write a change whose snapshot chunks another writer replaces.
const SNAPSHOT_ATTEMPTS_MAX: usize = 3;
/// Maximum number of chunks of one snapshot. At 400 KiB each, they hold a tree of 40 MB.
const CHUNKS_MAX: u64 = 100;

/// Why the settings cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// A value in the store is missing, cannot be decoded or does not match the log.
    #[error(transparent)]
    Damaged(#[from] log::Error),
    /// The requested version is newer than the newest one, or cannot be rebuilt from the log.
    #[error("the settings have no version {version}; the newest is {newest}")]
    NoVersion {
        /// The requested version.
        version: u64,
        /// The newest version that the head names.
        newest: u64,
    },
}

/// The head of the settings log as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredHead {
    /// The decoded head. If there is none, the settings are empty and at version 0.
    pub head: Option<Head>,
    /// The store's revision of the head's key, or zero if the key does not exist.
    pub mod_revision: u64,
}

impl StoredHead {
    /// Returns the newest version of the settings.
    pub fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.version)
    }

    /// Returns the newest version that has a snapshot.
    pub fn snapshot_version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.snapshot_version)
    }
}

/// The outcome of writing a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change is stored as the version after its base.
    Stored,
    /// Another change was stored as that version first. This one has no effect and never will.
    Conflict,
    /// The write was sent, is not found in the log, and may still take effect. The text says why.
    Unknown(String),
}

/// Reads the head of the settings log.
pub async fn read_head(store: &Store) -> Result<StoredHead, Error> {
    let (_, found) = store.range(&Range::key(log::HEAD_KEY)).await?;
    let Some(found) = found.first() else {
        return Ok(StoredHead {
            head: None,
            mod_revision: 0,
        });
    };
    Ok(StoredHead {
        head: Some(log::decode(log::HEAD_KEY, &found.value())?),
        mod_revision: found.mod_revision,
    })
}

/// Returns a head that allows a change after version `base` to replace a damaged head.
///
/// Fails unless `base` is the newest version in the log.
pub async fn head_for_repair(store: &Store, base: u64) -> Result<StoredHead, Error> {
    let ranges = [
        Range::key(log::HEAD_KEY),
        Range::key(log::entry_key(base)).keys_only(),
        Range::key(log::entry_key(base + 1)).keys_only(),
    ];
    let result = store.ranges(&ranges).await?;
    let [head, base_entry, next_entry] = result.ranges.as_slice() else {
        return Err(store::Error::Unknown("the answer lacks a range".to_owned()).into());
    };
    if base_entry.is_empty() || !next_entry.is_empty() {
        let reason = format!("version {base} is not the newest in the log");
        return Err(log::Error::new(log::HEAD_KEY, &reason).into());
    }
    Ok(StoredHead {
        head: Some(Head {
            version: base,
            digest: Digest(0),
            operation: String::new(),
            snapshot_version: 0,
        }),
        mod_revision: head.first().map_or(0, |head| head.mod_revision),
    })
}

/// Reads the tree at a version that is not newer than the head's.
pub async fn read_tree(store: &Store, head: &StoredHead, version: u64) -> Result<Tree, Error> {
    if version > head.version() {
        return Err(Error::NoVersion {
            version,
            newest: head.version(),
        });
    }
    if version == 0 {
        return Ok(Tree::default());
    }
    let newest = head.snapshot_version();
    if newest <= version {
        return replay(store, newest, version).await;
    }
    let mut failure = None;
    for snapshot in snapshot_versions(store, version).await?.into_iter().rev() {
        // A writer whose transaction conflicted may have left chunks under a version that has no
        // snapshot.
        match replay(store, snapshot, version).await {
            Err(Error::Damaged(error)) => failure = Some(Error::Damaged(error)),
            result => return result,
        }
    }
    Err(failure.unwrap_or(Error::NoVersion {
        version,
        newest: head.version(),
    }))
}

/// Returns the versions up to `last` that have chunks of a snapshot.
async fn snapshot_versions(store: &Store, last: u64) -> Result<BTreeSet<u64>, Error> {
    let span = Range::span(log::snapshot_prefix(0), log::snapshot_prefix(last + 1)).keys_only();
    let (_, found) = store.range(&span).await?;
    Ok(found
        .iter()
        .filter_map(|found| log::snapshot_version(&found.key()))
        .collect())
}

async fn replay(store: &Store, snapshot: u64, version: u64) -> Result<Tree, Error> {
    let chunks = read_snapshot(store, snapshot).await?;
    let mut tree = log::join_snapshot(snapshot, &chunks)?;
    let written = read_entry(store, snapshot).await?;
    if written.is_none_or(|entry| entry.digest != tree.digest()) {
        let reason = "the snapshot does not have the digest in the log entry of its version";
        return Err(log::Error::new(log::snapshot_prefix(snapshot), &reason).into());
    }
    let mut current = snapshot;
    while current < version {
        let last = version.min(current + log::MAX_READ_ENTRIES);
        let entries = read_entries(store, current + 1, last).await?;
        if entries.is_empty() {
            return Err(
                log::Error::new(log::entry_key(current + 1), "the log entry is missing").into(),
            );
        }
        for value in entries {
            let entry: Entry = log::decode(&log::entry_key(current + 1), &value)?;
            tree = match log::apply_entry(current, &tree, &entry)? {
                Applied::Tree(tree) => tree,
                Applied::SnapshotOnly => {
                    log::join_snapshot(current + 1, &read_snapshot(store, current + 1).await?)?
                }
            };
            current += 1;
        }
    }
    Ok(tree)
}

/// Reads the encoded chunks of a snapshot.
pub async fn read_snapshot(store: &Store, version: u64) -> Result<Vec<Bytes>, store::Error> {
    let mut chunks = Vec::new();
    // Reading one chunk per call keeps every answer small. Most snapshots have a single chunk.
    for part in 0..CHUNKS_MAX {
        let key = Range::key(log::chunk_key(version, part as usize));
        let (_, found) = store.range(&key).await?;
        let Some(found) = found.first() else { break };
        chunks.push(found.value());
        let declared = log::decode::<Chunk>("", &found.value()).map(|chunk| chunk.parts);
        if declared.is_ok_and(|parts| parts <= chunks.len()) {
            break;
        }
    }
    Ok(chunks)
}

/// Reads the encoded log entries from `first` to `last`, but at most [`log::MAX_READ_ENTRIES`] of them.
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
pub async fn read_entry(store: &Store, version: u64) -> Result<Option<Entry>, Error> {
    let key = log::entry_key(version);
    let (_, found) = store.range(&Range::key(key.clone())).await?;
    match found.first() {
        Some(found) => Ok(Some(log::decode(&key, &found.value())?)),
        None => Ok(None),
    }
}

/// Writes a change that was prepared on top of `head`.
pub async fn write_change(
    store: &Store,
    head: &StoredHead,
    change: &Change,
) -> Result<WriteOutcome, Error> {
    let version = change.entry.version;
    let head_unchanged = Compare::unchanged(log::HEAD_KEY, head.mod_revision);
    for _ in 0..SNAPSHOT_ATTEMPTS_MAX {
        let Some(mut compares) = write_chunks(store, &head_unchanged, change).await? else {
            return Ok(WriteOutcome::Conflict);
        };
        compares.push(head_unchanged.clone());
        // An entry that is newer than the head was written by hand; it must not be overwritten.
        compares.push(Compare::unchanged(log::entry_key(version), 0));
        let puts = [
            Put::new(log::entry_key(version), log::encode(&change.entry)),
            Put::new(log::HEAD_KEY, log::encode(&change.head)),
        ];
        match store.txn(&compares, &puts).await {
            Ok(Outcome::Committed { .. }) => return Ok(WriteOutcome::Stored),
            Ok(Outcome::Conflict) => {}
            Err(store::Error::Unknown(reason)) => return Ok(WriteOutcome::Unknown(reason)),
            Err(error) => return Err(error.into()),
        }
        let stored_head = read_head(store).await?;
        if stored_head.mod_revision != head.mod_revision {
            return Ok(WriteOutcome::Conflict);
        }
        // The head is unchanged, so another writer has replaced a chunk of the snapshot.
    }
    Ok(WriteOutcome::Conflict)
}

/// Writes the chunks of a snapshot and returns the conditions that no other writer has replaced them,
/// or nothing if the head has changed.
///
/// The chunks have no effect until a head names them. The final transaction compares their revisions,
/// so that two writers that prepare the same version cannot mix their chunks.
async fn write_chunks(
    store: &Store,
    head_unchanged: &Compare,
    change: &Change,
) -> Result<Option<Vec<Compare>>, Error> {
    let mut compares = Vec::new();
    for chunk in &change.chunks {
        let key = log::chunk_key(chunk.version, chunk.part);
        let put = Put::new(key.clone(), log::encode(chunk));
        match store
            .txn(std::slice::from_ref(head_unchanged), &[put])
            .await?
        {
            Outcome::Committed { revision } => compares.push(Compare::unchanged(key, revision)),
            Outcome::Conflict => return Ok(None),
        }
    }
    Ok(Some(compares))
}

/// Looks up the outcome of a write whose answer was lost.
///
/// Only the version after the base can hold the change, because the write compares the head.
pub async fn find_outcome(store: &Store, change: &Change) -> Result<WriteOutcome, Error> {
    match read_entry(store, change.entry.version).await? {
        Some(entry) if entry.operation == change.entry.operation => Ok(WriteOutcome::Stored),
        Some(_) => Ok(WriteOutcome::Conflict),
        None => Ok(WriteOutcome::Unknown(
            "the change is not in the log yet".to_owned(),
        )),
    }
}
