//! Guards the rule by which a change counts as accepted (design section 5, "Acceptance").

use std::collections::BTreeMap;
use std::time::Duration;

use redwinggrade::time::Moment;
use redwinggrade::version::acceptance::{Acceptance, GRACE, MemberList, SeenMember, Status};
use redwinggrade::wire::exchange::Record;
use redwinggrade::wire::{Incarnation, Member};
use rstest::rstest;

const VERSION: u64 = 7;

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

/// A status of node `a` of cell `c` that reports the versions of others.
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

/// What one look at a cell of the given members gives: nothing missing, only time, or members.
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
fn a_cell_confirms(
    #[case] members: &[&str],
    #[case] own: u64,
    #[case] seen: &[(&str, u64)],
    #[case] expected: &str,
) {
    let mut acceptance = Acceptance::new(VERSION, ["c"]);
    let first = Moment::from_millis(5_000);
    acceptance.add_records(&records(&[("c", record(1, members))]), first - GRACE);
    acceptance.add_status(&status(own, seen), first);
    let waiting = |acceptance: &mut Acceptance, now| !acceptance.unconfirmed_cells(now).is_empty();
    assert_eq!(waiting(&mut acceptance, first), expected != "confirmed");
    let early = first + GRACE - Duration::from_micros(1);
    assert_eq!(waiting(&mut acceptance, early), expected != "confirmed");
    assert_eq!(
        waiting(&mut acceptance, first + GRACE),
        expected == "no majority"
    );
}

/// Guards against acceptance while a cell that still has members was not looked at.
#[test]
fn cells_without_a_record_count_only_after_a_read_of_the_store() {
    let mut acceptance = Acceptance::new(VERSION, ["c"]);
    let now = Moment::ZERO;
    let cells = |acceptance: &mut Acceptance| -> Vec<String> {
        let waiting = acceptance.unconfirmed_cells(now);
        waiting.into_iter().map(|cell| cell.cell).collect()
    };
    assert_eq!(cells(&mut acceptance), ["*", "c"]);
    acceptance.add_status(&status(VERSION, &[]), now);
    assert_eq!(cells(&mut acceptance), ["*", "c"]);
    acceptance.add_records(&records(&[("gone", record(1, &["g"]))]), now);
    assert_eq!(cells(&mut acceptance), ["c", "gone"]);

    let mut vacant = Acceptance::new(VERSION, ["c"]);
    vacant.add_records(&BTreeMap::new(), now);
    assert_eq!(cells(&mut vacant), Vec::<String>::new());
}

/// Guards against a majority of an older member list that is taken for one of the newer list.
#[test]
fn a_new_member_list_starts_the_grace_again() {
    let mut acceptance = Acceptance::new(VERSION, ["c"]);
    let first = Moment::from_millis(100);
    acceptance.add_records(&records(&[("c", record(1, &["a", "b", "x"]))]), first);
    acceptance.add_status(&status(VERSION, &[("b", VERSION)]), first);
    assert_eq!(acceptance.unconfirmed_cells(first).len(), 1);
    let second = first + GRACE;
    let mut newer = status(VERSION, &[]);
    newer.record = Some(MemberList::from(&record(2, &["a", "b", "y"])));
    acceptance.add_status(&newer, second);
    // An older list that arrives late changes nothing.
    acceptance.add_records(&records(&[("c", record(1, &["a", "b"]))]), second);
    assert_eq!(acceptance.unconfirmed_cells(second)[0].members, ["y"]);
    assert_eq!(acceptance.unconfirmed_cells(second + GRACE), vec![]);
}

/// Guards against acceptance while a node that was just removed may still use its permit.
#[rstest]
#[case::unknown(None, 1_700)]
#[case::young(Some(1_000), 700)]
#[case::old(Some(1_700), 0)]
fn a_member_list_counts_once_it_is_old_enough(#[case] age_ms: Option<u64>, #[case] wait_ms: u64) {
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
    // A change of the ballot alone leaves the list and its age.
    acceptance.add_records(&records(&[("c", record(3, &["a", "b"]))]), end);
    assert_eq!(acceptance.unconfirmed_cells(end), vec![]);
}

#[test]
fn the_status_of_the_design_page_is_read() {
    let text = r#"{"node": "dc1-0-a", "data_centre": "dc1", "cell": "dc1-0", "incarnation": 17,
        "settings_version": 7, "permit": true,
        "record": {"revision": 3, "members": [{"name": "dc1-0-a", "peer": "127.0.0.1:1",
            "caller": "127.0.0.1:2"}], "ballot": null},
        "seen": [{"name": "dc1-0-b", "settings": 7, "cell": 3, "age_ms": 120}], "more": 1}"#;
    let status: Status = serde_json::from_str(text).unwrap();
    assert_eq!(status.record.unwrap().members[0].name, "dc1-0-a");
}
