//! Cell records in the platform's store, and the read that covers them together with the settings head.
//!
//! The record of a cell lists the nodes that are its members. One read of both proves to a node that its
//! settings and its member list are current.
//!
//! `docs/design.md`, section 5, describes the records and why one read covers both.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::connection::store::{self, Compare, KeyValue, Outcome, Put, Range, Store};
use crate::version::log;
use crate::wire::exchange::Record;

/// A cell record as the store holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record; it is empty if the store has none for the cell.
    pub record: Record,
    /// The store's revision at the last change of the record, or zero if the store has none.
    pub mod_revision: u64,
}

/// The settings head and the changed cell records, as one read showed them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The store's revision at the read; the next read asks for changes after it.
    pub revision: u64,
    /// The encoded settings head, absent if the store has none; it goes into
    /// [`crate::version::replica::Event::HeadRead`].
    pub settings_head: Option<Bytes>,
    /// The cell records that changed, by the name of the cell.
    pub records: BTreeMap<String, StoredRecord>,
    /// One error for each record that cannot be decoded; the last good ones stay in force.
    pub damaged: Vec<log::Error>,
}

/// The reason why a cell record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call to the store failed.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The record cannot be decoded.
    #[error(transparent)]
    Damaged(#[from] log::Error),
}

/// Reads the settings head and the cell records that changed at or after a revision of the store.
///
/// The store counts this as one call. `min_mod_revision` is `Changes::revision + 1` of the last read, or zero
/// to read every record.
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
        return Err(store::Error::Unknown(
            "the answer lacks one of the two ranges".to_owned(),
        ));
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

/// Reads the record of one cell from the store.
pub async fn read(store: &Store, cell: &str) -> Result<StoredRecord, Error> {
    let key = log::cell_key(cell);
    let (_, key_values) = store.range(&Range::key(key.clone())).await?;
    match key_values.first() {
        Some(key_value) => Ok(decode(&key, key_value)?),
        None => Ok(StoredRecord::default()),
    }
}

/// Writes the record of a cell if the stored one still has the given modification revision.
///
/// After [`store::Error::Unknown`] the write may have taken effect, so the caller reads the record and
/// compares it before it writes again.
pub async fn compare_and_swap(
    store: &Store,
    cell: &str,
    mod_revision: u64,
    record: &Record,
) -> Result<Outcome, store::Error> {
    let key = log::cell_key(cell);
    let value = serde_json::to_vec(record).expect("a cell record always encodes as JSON");
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
