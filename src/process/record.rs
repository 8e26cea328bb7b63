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
pub struct StoredRecord {
    /// The record; an unknown cell has an empty one.
    pub record: Record,
    /// The store's revision at the last change, zero for a cell without a record.
    pub mod_revision: u64,
}

/// What one read tells about everything that the store decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The store's revision; the next read asks for changes after it.
    pub revision: u64,
    /// The value of the settings head, for [`crate::version::replica::Event::Head`].
    pub settings_head: Option<Bytes>,
    /// The cell records that changed, by the name of the cell.
    pub records: BTreeMap<String, StoredRecord>,
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
/// The store counts this as one call. A caller passes `Changes::revision + 1` of its last read, or
/// zero to read every record.
pub async fn read_changes(store: &Store, min_mod_revision: u64) -> Result<Changes, store::Error> {
    let mut cells = Range::prefix(log::CELL_PREFIX);
    if min_mod_revision > 0 {
        cells = cells.changed_since(min_mod_revision);
    }
    let reading = store.ranges(&[Range::key(log::HEAD_KEY), cells]).await?;
    let mut changes = Changes {
        revision: reading.revision,
        settings_head: None,
        records: BTreeMap::new(),
        damaged: Vec::new(),
    };
    let [settings_head, cells] = reading.ranges.as_slice() else {
        return Err(store::Error::Unknown("it lacks a range".to_owned()));
    };
    changes.settings_head = settings_head.first().map(KeyValue::value);
    for key_value in cells {
        let key = key_value.key();
        match decode(&key, key_value) {
            Ok(stored) => {
                let cell = key.trim_start_matches(log::CELL_PREFIX).to_owned();
                changes.records.insert(cell, stored);
            }
            Err(e) => changes.damaged.push(e),
        }
    }
    Ok(changes)
}

/// Reads the record of one cell.
pub async fn read(store: &Store, cell: &str) -> Result<StoredRecord, Error> {
    let key = log::cell_key(cell);
    let (_, key_values) = store.range(&Range::key(key.clone())).await?;
    match key_values.first() {
        Some(key_value) => Ok(decode(&key, key_value)?),
        None => Ok(StoredRecord::default()),
    }
}

/// Replaces the record of a cell if the store still holds the one that was read.
///
/// After [`store::Error::Unknown`] the caller reads the record and compares; it never writes again
/// without a new read.
pub async fn compare_and_swap(
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

fn decode(key: &str, key_value: &KeyValue) -> Result<StoredRecord, log::Error> {
    let record =
        serde_json::from_slice(&key_value.value()).map_err(|e| log::Error::new(key, &e))?;
    Ok(StoredRecord {
        record,
        mod_revision: key_value.mod_revision,
    })
}
