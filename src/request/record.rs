//! Merges the records of all parts into the answer of a query.

use bytes::{BufMut, Bytes, BytesMut};

/// The size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `limit` records of the parts, greatest first.
///
/// Records compare byte by byte, equal ones all count, and a remainder that is shorter than a record
/// is none.
pub fn merge<'a, P>(parts: P, limit: usize) -> Bytes
where
    P: IntoIterator<Item = &'a [u8]>,
{
    let mut records: Vec<&[u8]> = parts
        .into_iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > limit && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |a, b| b.cmp(a));
    }
    records.truncate(limit);
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.put_slice(record);
    }
    merged.freeze()
}
