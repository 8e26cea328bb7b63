//! Tests the rule by which a change of the settings counts as accepted.
//!
//! `docs/design.md`, section 5, "Acceptance", describes the rule.

use std::collections::BTreeMap;
use std::time::Duration;

use redwinggrade::time::Moment;
use redwinggrade::version::acceptance::{Acceptance, GRACE, MemberList, SeenMember, Status};
use redwinggrade::wire::exchange::Record;
use redwinggrade::wire::{Incarnation, Member};
use rstest::rstest;

/// The version whose acceptance is tested.
const VERSION: u64 = 7;

/// Returns a cell record with the named members.
fn record(revision: u64, names: &[&str]) -> Record {
    let member = |name: &&str| Member {
        name: (*name).to_owned(),
        incarnation: Incarnation(1),
        peer: "127.0.0.1:1".parse().unwrap(),
        caller: "127.0.0.1:2".parse().unwrap(),
    };
    Record {
        revision,
        members: names.iter().map(member).collect(),
        ballot: None,
    }
}

fn records(cells: &[(&str, Record)]) -> BTreeMap<String, Record> {
    cells
        .iter()
        .map(|(cell, record)| ((*cell).to_owned(), record.clone()))
        .collect()
}

/// Returns the status of node `a` of cell `c`, which reports the versions of other members.
fn status(version: u64, seen: &[(&str, u64)]) -> Status {
    Status {
        node: "a".to_owned(),
        data_centre: "dc1".to_owned(),
        cell: "c".to_owned(),
        incarnation: 1,
        settings_version: version,
        permit: true,
        record: None,
        seen: seen
            .iter()
            .map(|(name, settings)| SeenMember {
                name: (*name).to_owned(),
                settings: *settings,
                cell: 1,
                age_ms: 0,
            })
            .collect(),
    }
}

/// Guards against a cell that confirms too early, too late or not at all.
///
/// `expected` tells whether one status confirms the cell at once, after the grace period, or not at all:
/// all members, a majority, or fewer are at the version.
#[rstest]
#[case::all(&["a", "b", "c"], 7, &[("b", 7), ("c", 7)], "confirmed")]
#[case::later(&["a", "b", "c"], 8, &[("b", 9), ("c", 7)], "confirmed")]
#[case::majority(&["a", "b", "c"], 7, &[("b", 7), ("c", 6)], "grace")]
#[case::majority_unseen(&["a", "b", "c"], 7, &[("b", 7)], "grace")]
#[case::minority(&["a", "b", "c"], 7, &[("b", 6), ("c", 6)], "no majority")]
#[case::half(&["a", "b", "c", "d"], 7, &[("b", 7), ("c", 6)], "no majority")]
#[case::two_of_two(&["a", "b"], 7, &[("b", 7)], "confirmed")]
#[case::one_of_two(&["a", "b"], 7, &[("b", 6)], "no majority")]
#[case::strangers(&["a", "b", "c"], 7, &[("x", 7), ("y", 7)], "no majority")]
#[case::asked_is_no_member(&["b", "c", "d"], 7, &[("b", 7)], "no majority")]
#[case::empty(&[], 6, &[], "confirmed")]
fn cell_confirms_by_all_members_or_by_majority_after_grace(
    #[case] members: &[&str],
    #[case] own: u64,
    #[case] seen: &[(&str, u64)],
    #[case] expected: &str,
) {
    let mut acceptance = Acceptance::new(VERSION, ["c"]);
    let first = Moment::from_millis(5_000);
    acceptance.add_records(&records(&[("c", record(1, members))]), first - GRACE);
    acceptance.add_status(&status(own, seen), first);
    let is_unconfirmed =
        |acceptance: &mut Acceptance, now| !acceptance.unconfirmed_cells(now).is_empty();
    assert_eq!(
        is_unconfirmed(&mut acceptance, first),
        expected != "confirmed"
    );
    let early = first + GRACE - Duration::from_micros(1);
    assert_eq!(
        is_unconfirmed(&mut acceptance, early),
        expected != "confirmed"
    );
    assert_eq!(
        is_unconfirmed(&mut acceptance, first + GRACE),
        expected == "no majority"
    );
}

/// Guards against acceptance although a cell that still has members was overlooked.
#[test]
fn ignores_cell_without_record_only_after_read_of_store() {
    let mut acceptance = Acceptance::new(VERSION, ["c"]);
    let now = Moment::ZERO;
    let unconfirmed_names = |acceptance: &mut Acceptance| -> Vec<String> {
        let unconfirmed = acceptance.unconfirmed_cells(now);
        unconfirmed.into_iter().map(|cell| cell.cell).collect()
    };
    assert_eq!(unconfirmed_names(&mut acceptance), ["*", "c"]);
    acceptance.add_status(&status(VERSION, &[]), now);
    assert_eq!(unconfirmed_names(&mut acceptance), ["*", "c"]);
    acceptance.add_records(&records(&[("gone", record(1, &["g"]))]), now);
    assert_eq!(unconfirmed_names(&mut acceptance), ["c", "gone"]);

    let mut without_records = Acceptance::new(VERSION, ["c"]);
    without_records.add_records(&BTreeMap::new(), now);
    assert_eq!(
        unconfirmed_names(&mut without_records),
        Vec::<String>::new()
    );
}

/// Guards against a majority of an older member list that counts as one of the newer list.
#[test]
fn new_member_list_restarts_grace() {
    let mut acceptance = Acceptance::new(VERSION, ["c"]);
    let first = Moment::from_millis(100);
    acceptance.add_records(&records(&[("c", record(1, &["a", "b", "x"]))]), first);
    acceptance.add_status(&status(VERSION, &[("b", VERSION)]), first);
    assert_eq!(acceptance.unconfirmed_cells(first).len(), 1);
    let second = first + GRACE;
    let mut newer = status(VERSION, &[]);
    newer.record = Some(MemberList::from(&record(2, &["a", "b", "y"])));
    acceptance.add_status(&newer, second);
    // An older member list that arrives late must change nothing.
    acceptance.add_records(&records(&[("c", record(1, &["a", "b"]))]), second);
    assert_eq!(acceptance.unconfirmed_cells(second)[0].members, ["y"]);
    assert_eq!(acceptance.unconfirmed_cells(second + GRACE), vec![]);
}

/// Guards against acceptance while a node that was just removed from the cell may still use its permit.
#[rstest]
#[case::unknown(None, 1_700)]
#[case::young(Some(1_000), 700)]
#[case::old(Some(1_700), 0)]
fn member_list_counts_once_known_for_grace(#[case] age_ms: Option<u64>, #[case] wait_ms: u64) {
    let mut acceptance = Acceptance::new(VERSION, ["c"]);
    let first = Moment::from_millis(9_000);
    acceptance.add_records(
        &records(&[("c", record(1, &["a", "b", "x"]))]),
        first - GRACE * 2,
    );
    let mut report = status(VERSION, &[("b", VERSION)]);
    let list = MemberList::from(&record(2, &["a", "b"]));
    report.record = Some(MemberList { age_ms, ..list });
    acceptance.add_status(&report, first);
    let end = first + Duration::from_millis(wait_ms);
    assert_eq!(acceptance.unconfirmed_cells(end), vec![]);
    let just_before = acceptance.unconfirmed_cells(end - Duration::from_millis(1));
    assert!(!just_before.is_empty());
    // A new revision that changes only the ballot must keep the list and its age.
    acceptance.add_records(&records(&[("c", record(3, &["a", "b"]))]), end);
    assert_eq!(acceptance.unconfirmed_cells(end), vec![]);
}

/// Guards against a status format that differs from `docs/design.md` or refuses unknown fields.
#[test]
fn reads_status_as_documented() {
    let text = r#"{"node": "dc1-0-a", "data_centre": "dc1", "cell": "dc1-0", "incarnation": 17,
        "settings_version": 7, "permit": true,
        "record": {"revision": 3, "members": [{"name": "dc1-0-a", "peer": "127.0.0.1:1",
            "caller": "127.0.0.1:2"}], "ballot": null},
        "seen": [{"name": "dc1-0-b", "settings": 7, "cell": 3, "age_ms": 120}], "more": 1}"#;
    let status: Status = serde_json::from_str(text).unwrap();
    assert_eq!(status.record.unwrap().members[0].name, "dc1-0-a");
}
