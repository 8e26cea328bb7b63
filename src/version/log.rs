//! How the platform's store holds the settings: keys, encodings, and what detects damage.
//!
//! | key | value |
//! |---|---|
//! | `settings/head` | [`Head`] |
//! | `settings/log/<version>` | [`Entry`], the edits of one change |
//! | `settings/snapshot/<version>/<n>` | [`Chunk`], a piece of the canonical text of a whole tree |
//! | `cells/<cell>` | [`crate::wire::exchange::Record`] |
//!
//! Numbers in keys have a fixed width, so that the order of keys is the order of versions. Every
//! settings value is a JSON object with a `check` field, the digest of all other fields, and every
//! head, entry and chunk names the digest of the tree at its version. A value that was truncated or
//! edited by hand fails one of the two checks. See `docs/design.md`, section 5.

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
/// The prefix of the log's keys.
pub const LOG_PREFIX: &str = "settings/log/";
/// The prefix of the snapshots' keys.
pub const SNAPSHOT_PREFIX: &str = "settings/snapshot/";
/// The prefix of the cell records' keys.
pub const CELL_PREFIX: &str = "cells/";
/// Longest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest piece of canonical text in one chunk, in bytes; quoting at most doubles it.
pub const MAX_CHUNK_BYTES: usize = 400 * 1024;
/// Longest encoded edits in one entry, in bytes. A longer change is stored as a snapshot, which
/// bounds a read of [`MAX_READ_ENTRIES`] entries to 4 MiB.
pub const MAX_EDITS_BYTES: usize = 64 * 1024;
/// Most entries that one read asks for.
pub const MAX_READ_ENTRIES: u64 = 64;
/// A snapshot is written with each version that is a multiple of this number.
pub const VERSIONS_PER_SNAPSHOT: u64 = 256;

/// The newest version of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version; the first one is 1.
    pub version: u64,
    /// The digest of the tree at this version.
    pub digest: Digest,
    /// The operation that wrote this version.
    pub operation: String,
    /// The newest version that has a snapshot.
    pub snapshot_version: u64,
}

/// One change of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that the change led to.
    pub version: u64,
    /// The version that the change was made from.
    pub base: u64,
    /// Identifies the write, so that its outcome can be looked up.
    pub operation: String,
    /// Who made the change.
    pub author: String,
    /// When the change was written, in milliseconds of the author's wall clock; only for display.
    pub written_ms: u64,
    /// The digest of the tree at `version`.
    pub digest: Digest,
    /// The edits, unless the version is only held as a snapshot.
    pub edits: Option<Vec<Edit>>,
}

/// A piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The version of the tree.
    pub version: u64,
    /// The digest of the whole tree.
    pub digest: Digest,
    /// The number of the piece, from zero.
    pub part: usize,
    /// The number of pieces.
    pub parts: usize,
    /// The piece of the canonical text.
    pub text: String,
}

/// A value of the store that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the store's value {key} is damaged: {reason}")]
pub struct Error {
    /// The key of the value.
    pub key: String,
    /// What is wrong with it.
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

/// Returns the key of the entry that led to the version.
pub fn entry_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Returns the key of a piece of the snapshot at the version.
pub fn chunk_key(version: u64, part: usize) -> String {
    format!("{SNAPSHOT_PREFIX}{version:020}/{part:06}")
}

/// Returns the prefix of the keys of all pieces of the snapshot at the version.
pub fn snapshot_prefix(version: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{version:020}/")
}

/// Returns the version that a snapshot's key names.
pub fn snapshot_version(key: &str) -> Option<u64> {
    let (version, _) = key.strip_prefix(SNAPSHOT_PREFIX)?.split_once('/')?;
    version.parse().ok()
}

/// Returns the key of a cell's record.
pub fn cell_key(cell: &str) -> String {
    format!("{CELL_PREFIX}{cell}")
}

/// Encodes a head, entry or chunk together with its check.
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

/// Decodes the value of `key` and verifies its check.
pub fn decode<T>(key: &str, value: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let mut json: Json = serde_json::from_slice(value).map_err(|fault| Error::new(key, &fault))?;
    let check = json
        .as_object_mut()
        .and_then(|fields| fields.remove("check"))
        .ok_or_else(|| Error::new(key, "it has no check field"))?;
    if check.as_str() != Some(&checksum(&json)) {
        return Err(Error::new(key, "its check does not match its fields"));
    }
    serde_json::from_value(json).map_err(|fault| Error::new(key, &fault))
}

/// Maps of `serde_json` are sorted, so that equal fields give equal text.
fn checksum(json: &Json) -> String {
    Digest(xxh3_128(json.to_string().as_bytes())).to_string()
}

/// Cuts the canonical text of the tree into pieces that the store takes.
pub fn split_snapshot(version: u64, tree: &Tree) -> Vec<Chunk> {
    let canonical = tree.canonical_text();
    let mut texts = vec![String::new()];
    for line in canonical.split_inclusive('\n') {
        let last = texts.last_mut().expect("the list starts with one piece");
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

/// Joins the pieces of a snapshot, in the order of their keys, and verifies the digest.
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
            return Err(Error::new(key, "it belongs to another snapshot"));
        }
        text.push_str(&chunk.text);
    }
    let digest = digest.ok_or_else(|| Error::new(snapshot_prefix(version), "it is missing"))?;
    restore_tree(version, digest, &text)
}

/// Reads a canonical text and verifies its digest.
pub fn restore_tree(version: u64, digest: Digest, text: &str) -> Result<Tree, Error> {
    let tree = Tree::from_canonical_text(text)
        .map_err(|fault| Error::new(snapshot_prefix(version), &fault))?;
    if tree.digest() == digest {
        return Ok(tree);
    }
    Err(Error::new(
        snapshot_prefix(version),
        "its text does not match its digest",
    ))
}

/// What an entry leads to.
#[derive(Debug)]
pub enum Applied {
    /// The tree at the entry's version.
    Tree(Tree),
    /// The version is only held as a snapshot.
    SnapshotOnly,
}

/// Applies the entry that follows `version`.
pub fn apply_entry(version: u64, tree: &Tree, entry: &Entry) -> Result<Applied, Error> {
    let key = entry_key(version + 1);
    if entry.version != version + 1 || entry.base != version {
        return Err(Error::new(
            key,
            &format!("it leads from {} to {}", entry.base, entry.version),
        ));
    }
    let Some(edits) = &entry.edits else {
        return Ok(Applied::SnapshotOnly);
    };
    let next = edit::apply(tree, edits).map_err(|fault| Error::new(&key, &fault))?;
    if next.digest() != entry.digest {
        return Err(Error::new(key, "its edits do not lead to its digest"));
    }
    Ok(Applied::Tree(next))
}

/// Everything that one change writes.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The new head.
    pub head: Head,
    /// The log entry.
    pub entry: Entry,
    /// The pieces of a snapshot, if the change writes one.
    pub chunks: Vec<Chunk>,
}

/// Who makes a change, and when.
#[derive(Debug, Clone, Default)]
pub struct Origin {
    /// Identifies the write.
    pub operation: String,
    /// Who makes the change.
    pub author: String,
    /// The author's wall clock, in milliseconds.
    pub written_ms: u64,
}

impl Change {
    /// Prepares the change from `old`, which is the tree at the head, to `new`.
    ///
    /// Without a usable old tree the change is stored as a snapshot, which repairs a damaged log.
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

fn fits_entry(edits: &[Edit]) -> bool {
    serde_json::to_vec(edits).is_ok_and(|encoded| encoded.len() <= MAX_EDITS_BYTES)
}
