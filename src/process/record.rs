//! Cell records in the platform's store, and the combined read that proves settings and records.
//!
//! `docs/design.md`, section 5, describes the records and why one read covers both.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::connection::store::{self, Compare, KeyValue, Outcome, Put, Range, Store};
use crate::version::log;
use crate::wire::exchange::Record;

/// A record and the store's revision at its last change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stored {
    /// The record; an unknown cell has an empty one.
    pub record: Record,
    /// The store's revision at the last change, zero for a cell without a record.
    pub mod_revision: u64,
}

/// What one read tells about everything that the store decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heads {
    /// The store's revision; the next read asks for changes after it.
    pub revision: u64,
    /// The value of the settings head, for [`crate::version::replica::Event::HeadRead`].
    pub head: Option<Bytes>,
    /// The cell records that changed, by the name of the cell.
    pub records: BTreeMap<String, Stored>,
    /// Records that cannot be used; the last good ones stay in force.
    pub damaged: Vec<log::Error>,
}

/// Why a cell record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store did not do its part.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The record cannot be used.
    #[error(transparent)]
    Damaged(#[from] log::Error),
}

/// Reads the settings head and the cell records that changed at or after the revision.
///
/// The store counts this as one call. A caller passes `Heads::revision + 1` of its last read, or
/// zero to read every record.
pub async fn heads(store: &Store, min_mod_revision: u64) -> Result<Heads, store::Error> {
    let mut cells = Range::prefix(log::CELL_PREFIX);
    if min_mod_revision > 0 {
        cells = cells.changed_since(min_mod_revision);
    }
    let reading = store.ranges(&[Range::key(log::HEAD_KEY), cells]).await?;
    let mut heads = Heads {
        revision: reading.revision,
        head: None,
        records: BTreeMap::new(),
        damaged: Vec::new(),
    };
    let [head, cells] = reading.ranges.as_slice() else {
        return Err(store::Error::Unknown("it lacks a range".to_owned()));
    };
    heads.head = head.first().map(KeyValue::value);
    for found in cells {
        let key = found.key();
        match decode(&key, found) {
            Ok(stored) => {
                let cell = key.trim_start_matches(log::CELL_PREFIX).to_owned();
                heads.records.insert(cell, stored);
            }
            Err(damage) => heads.damaged.push(damage),
        }
    }
    Ok(heads)
}

/// Reads the record of one cell.
pub async fn read(store: &Store, cell: &str) -> Result<Stored, Error> {
    let key = log::cell_key(cell);
    let (_, found) = store.range(&Range::key(key.clone())).await?;
    match found.first() {
        Some(found) => Ok(decode(&key, found)?),
        None => Ok(Stored::default()),
    }
}

/// Replaces the record of a cell if the store still holds the one that was read.
///
/// After [`store::Error::Unknown`] the caller reads the record and compares; it never writes again
/// without a new read.
pub async fn swap(
    store: &Store,
    cell: &str,
    mod_revision: u64,
    record: &Record,
) -> Result<Outcome, store::Error> {
    let key = log::cell_key(cell);
    let value = serde_json::to_vec(record).expect("records have text keys only");
    store
        .txn(
            &[Compare::unchanged(key.clone(), mod_revision)],
            &[Put::new(key, value)],
        )
        .await
}

fn decode(key: &str, found: &KeyValue) -> Result<Stored, log::Error> {
    let record =
        serde_json::from_slice(&found.value()).map_err(|fault| log::Error::new(key, &fault))?;
    Ok(Stored {
        record,
        mod_revision: found.mod_revision,
    })
}
