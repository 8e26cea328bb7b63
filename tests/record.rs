//! Tests the merge of the records that the parts of a query return.

use proptest::prelude::*;
use redwinggrade::request::record::{RECORD_BYTES, merge};

fn record(first_byte: u8) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[0] = first_byte;
    record
}

/// Guards against an answer in the wrong order, or one that drops records which are equal to others.
#[test]
fn merges_in_descending_order_and_keeps_equal_records() {
    let left = [record(1), record(9), record(5)].concat();
    let right = [record(5), record(9)].concat();
    let merged = merge([left.as_slice(), right.as_slice()], 4);
    assert_eq!(
        merged,
        [record(9), record(9), record(5), record(5)].concat()
    );
}

/// Guards against bytes at the end of a part that are taken for a record although they are too few.
#[test]
fn ignores_incomplete_record_at_the_end_of_a_part() {
    let mut part = record(7).to_vec();
    part.extend([255; RECORD_BYTES - 1]);
    assert_eq!(merge([part.as_slice()], 5).as_ref(), record(7));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a selection of the greatest records that differs from a full sort of all parts.
    #[test]
    fn merge_equals_full_sort_of_all_parts(
        parts in prop::collection::vec(
            prop::collection::vec(any::<[u8; RECORD_BYTES]>(), 0..12),
            0..6,
        ),
        limit in 0_usize..20,
    ) {
        let bytes: Vec<Vec<u8>> = parts.iter().map(|part| part.concat()).collect();
        let mut all: Vec<[u8; RECORD_BYTES]> = parts.into_iter().flatten().collect();
        all.sort_unstable();
        all.reverse();
        all.truncate(limit);
        prop_assert_eq!(merge(bytes.iter().map(Vec::as_slice), limit).to_vec(), all.concat());
    }
}
