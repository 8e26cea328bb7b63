//! Merges the records of several targets' answers into the body of one answer.

use bytes::{BufMut, Bytes, BytesMut};

/// The size of one record in the body of a target's answer.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `limit` records of the bodies `parts`, in descending order.
///
/// Records compare byte by byte. Equal records are all kept. Trailing bytes of a part that are shorter than a
/// record are ignored.
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
