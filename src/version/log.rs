//! The layout of the settings in the platform's store: keys, encodings and checksums.
//!
//! | key | value |
//! |---|---|
//! | `settings/head` | [`Head`] |
//! | `settings/log/<version>` | [`Entry`], the edits of one change |
//! | `settings/snapshot/<version>/<n>` | [`Chunk`], a part of the canonical text of a whole tree |
//! | `cells/<cell>` | [`crate::wire::exchange::Record`] |
//!
//! Numbers in keys have a fixed width, so that the order of keys is the order of versions. Every
//! settings value is a JSON object whose `check` field is a checksum of all other fields, and every
//! head, entry and chunk holds the digest of the tree at its version. A value that was truncated or
//! edited by hand does not match one of the two. See `docs/design.md`, section 5.

use std::fmt::Display;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use xxhash_rust::xxh3::xxh3_128;

use super::edit::{self, Edit};
use super::tree::{Digest, Tree};

/// The key of the [`Head`].
pub const HEAD_KEY: &str = "settings/head";
/// The prefix of the keys of log entries.
pub const LOG_PREFIX: &str = "settings/log/";
/// The prefix of the keys of snapshot chunks.
pub const SNAPSHOT_PREFIX: &str = "settings/snapshot/";
/// The prefix of the keys of cell records.
pub const CELL_PREFIX: &str = "cells/";
/// The maximum length of a value in the store.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// The maximum length of the text in one chunk; JSON escapes at most double it.
pub const MAX_CHUNK_BYTES: usize = 400 * 1024;
/// The maximum length of the encoded edits in one entry.
///
/// A longer change is stored as a snapshot, so that a read of [`MAX_READ_ENTRIES`] entries returns at
/// most 4 MiB.
pub const MAX_EDITS_BYTES: usize = 64 * 1024;
/// The maximum number of entries that one read requests.
pub const MAX_READ_ENTRIES: u64 = 64;
/// The number of versions between two regular snapshots, which are written at its multiples.
pub const VERSIONS_PER_SNAPSHOT: u64 = 256;

/// The record of the newest version of the settings, which each change replaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest version; the first one is 1.
    pub version: u64,
    /// The digest of the tree at this version.
    pub digest: Digest,
    /// The id of the operation that wrote this version.
    pub operation: String,
    /// The newest version that has a snapshot in the store.
    pub snapshot_version: u64,
}

/// The log entry of one change of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that the change led to.
    pub version: u64,
    /// The version that the change was made from.
    pub base: u64,
    /// The id of the operation that wrote the entry, by which the outcome of a lost write is looked up.
    pub operation: String,
    /// The user who made the change.
    pub author: String,
    /// When the change was made, in Unix milliseconds of the author's clock; only for display.
    pub written_ms: u64,
    /// The digest of the tree at `version`.
    pub digest: Digest,
    /// The edits from `base` to `version`; absent if the version is only stored as a snapshot.
    pub edits: Option<Vec<Edit>>,
}

/// A part of a snapshot, short enough for one value of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The version of the tree.
    pub version: u64,
    /// The digest of the whole tree.
    pub digest: Digest,
    /// The index of the chunk in the snapshot, from zero.
    pub part: usize,
    /// The number of chunks of the snapshot.
    pub parts: usize,
    /// The part of the canonical text.
    pub text: String,
}

/// A settings value of the store that is missing or damaged.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the store's value {key} is damaged: {reason}")]
pub struct Error {
    /// The key of the value, or the prefix of the keys of a snapshot.
    pub key: String,
    /// What was expected and what was found.
    pub reason: String,
}

impl Error {
    pub(crate) fn new<K, R>(key: K, reason: &R) -> Self
    where
        K: Into<String>,
        R: Display + ?Sized,
    {
        Self {
            key: key.into(),
            reason: reason.to_string(),
        }
    }
}

/// Returns the key of the log entry that led to the version.
pub fn entry_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Returns the key of one chunk of the snapshot at the version; `part` is its index.
pub fn chunk_key(version: u64, part: usize) -> String {
    format!("{SNAPSHOT_PREFIX}{version:020}/{part:06}")
}

/// Returns the prefix of the keys of all chunks of the snapshot at the version.
pub fn snapshot_prefix(version: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{version:020}/")
}

/// Returns the version in the key of a snapshot chunk; absent for any other key.
pub fn snapshot_version(key: &str) -> Option<u64> {
    let (version, _) = key.strip_prefix(SNAPSHOT_PREFIX)?.split_once('/')?;
    version.parse().ok()
}

/// Returns the key of the record of the cell.
pub fn cell_key(cell: &str) -> String {
    format!("{CELL_PREFIX}{cell}")
}

/// Encodes a head, entry or chunk as JSON and adds its checksum.
pub fn encode<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    let mut json = serde_json::to_value(value).expect("settings values have text keys only");
    let check = checksum(&json);
    if let Some(fields) = json.as_object_mut() {
        fields.insert("check".to_owned(), Json::from(check));
    }
    json.to_string().into()
}

/// Decodes the value under `key` and verifies its checksum.
pub fn decode<T>(key: &str, value: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let mut json: Json = serde_json::from_slice(value).map_err(|error| Error::new(key, &error))?;
    let check = json
        .as_object_mut()
        .and_then(|fields| fields.remove("check"))
        .ok_or_else(|| Error::new(key, "expected a check field, found none"))?;
    if check.as_str() != Some(&checksum(&json)) {
        return Err(Error::new(
            key,
            "its check field does not match its other fields",
        ));
    }
    serde_json::from_value(json).map_err(|error| Error::new(key, &error))
}

/// Returns the checksum of the fields.
///
/// Maps of `serde_json` are sorted, so that equal fields give equal texts and thus equal checksums.
fn checksum(json: &Json) -> String {
    Digest(xxh3_128(json.to_string().as_bytes())).to_string()
}

/// Splits the canonical text of the tree into chunks that fit into values of the store.
pub fn split_snapshot(version: u64, tree: &Tree) -> Vec<Chunk> {
    let canonical = tree.canonical_text();
    let mut texts = vec![String::new()];
    for line in canonical.split_inclusive('\n') {
        let last = texts.last_mut().expect("the list starts with one text");
        if last.len() + line.len() > MAX_CHUNK_BYTES && !last.is_empty() {
            texts.push(line.to_owned());
        } else {
            last.push_str(line);
        }
    }
    let parts = texts.len();
    texts
        .into_iter()
        .enumerate()
        .map(|(part, text)| Chunk {
            version,
            digest: tree.digest(),
            part,
            parts,
            text,
        })
        .collect()
}

/// Restores the tree from the chunks of a snapshot, in the order of their keys, and verifies its digest.
pub fn join_snapshot(version: u64, values: &[Bytes]) -> Result<Tree, Error> {
    let mut text = String::new();
    let mut digest = None;
    for (part, value) in values.iter().enumerate() {
        let key = chunk_key(version, part);
        let chunk: Chunk = decode(&key, value)?;
        let expected = digest.get_or_insert(chunk.digest);
        let belongs = chunk.version == version
            && chunk.part == part
            && chunk.parts == values.len()
            && chunk.digest == *expected;
        if !belongs {
            return Err(Error::new(
                key,
                "expected a chunk of this snapshot, found one of another",
            ));
        }
        text.push_str(&chunk.text);
    }
    let digest = digest
        .ok_or_else(|| Error::new(snapshot_prefix(version), "expected a value, found none"))?;
    restore_tree(version, digest, &text)
}

/// Restores the tree from its canonical text and verifies its digest.
pub fn restore_tree(version: u64, digest: Digest, text: &str) -> Result<Tree, Error> {
    let tree = Tree::from_canonical_text(text)
        .map_err(|error| Error::new(snapshot_prefix(version), &error))?;
    if tree.digest() == digest {
        return Ok(tree);
    }
    Err(Error::new(
        snapshot_prefix(version),
        "the digest of its text differs from the digest in its chunks",
    ))
}

/// The result of applying a log entry.
#[derive(Debug)]
pub enum Applied {
    /// The tree at the version of the entry.
    Tree(Tree),
    /// The entry has no edits; the tree at its version is only stored as a snapshot.
    SnapshotOnly,
}

/// Applies the log entry that follows `version` to the tree at `version`.
pub fn apply_entry(version: u64, tree: &Tree, entry: &Entry) -> Result<Applied, Error> {
    let key = entry_key(version + 1);
    if entry.version != version + 1 || entry.base != version {
        return Err(Error::new(
            key,
            &format!("it leads from version {} to {}", entry.base, entry.version),
        ));
    }
    let Some(edits) = &entry.edits else {
        return Ok(Applied::SnapshotOnly);
    };
    let next = edit::apply(tree, edits).map_err(|error| Error::new(&key, &error))?;
    if next.digest() != entry.digest {
        return Err(Error::new(
            key,
            "the tree after its edits does not match its digest",
        ));
    }
    Ok(Applied::Tree(next))
}

/// All values that one change of the settings writes.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The new head.
    pub head: Head,
    /// The log entry.
    pub entry: Entry,
    /// The chunks of the snapshot at the new version; empty if the change writes none.
    pub chunks: Vec<Chunk>,
}

/// The origin of a change: who makes it, and when.
#[derive(Debug, Clone, Default)]
pub struct Origin {
    /// The id of the operation, unique for each change.
    pub operation: String,
    /// The user who makes the change.
    pub author: String,
    /// The wall clock of the author, in Unix milliseconds.
    pub written_ms: u64,
}

impl Change {
    /// Prepares the change from `old`, which is the tree at version `base`, to `new`.
    ///
    /// `snapshot_version` is the newest version that has a snapshot. Without a usable old tree the change
    /// is stored as a snapshot, which repairs a damaged log.
    pub fn prepare(
        base: u64,
        snapshot_version: u64,
        old: Option<&Tree>,
        new: &Tree,
        origin: Origin,
    ) -> Self {
        let version = base + 1;
        let edits = old
            .map(|old| edit::diff(old, new))
            .filter(|edits| base > 0 && fits_entry(edits));
        let chunks = if edits.is_none() || version.is_multiple_of(VERSIONS_PER_SNAPSHOT) {
            split_snapshot(version, new)
        } else {
            Vec::new()
        };
        let snapshot_version = if chunks.is_empty() {
            snapshot_version
        } else {
            version
        };
        Self {
            head: Head {
                version,
                digest: new.digest(),
                operation: origin.operation.clone(),
                snapshot_version,
            },
            entry: Entry {
                version,
                base,
                operation: origin.operation,
                author: origin.author,
                written_ms: origin.written_ms,
                digest: new.digest(),
                edits,
            },
            chunks,
        }
    }
}

/// Returns whether the edits are short enough for one log entry.
fn fits_entry(edits: &[Edit]) -> bool {
    serde_json::to_vec(edits).is_ok_and(|encoded| encoded.len() <= MAX_EDITS_BYTES)
}
