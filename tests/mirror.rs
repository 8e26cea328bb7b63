//! Guards the copy of the store: changes apply once and in the order of their revisions, whether they
//! come from a listing, a watch or another node.

use bytes::Bytes;
use redwinggrade::connection::keyspace::{Event, Item, Revision};
use redwinggrade::process::mirror::{Change, Export, Mirror};

fn item(key: &str, value: &'static str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Bytes::from_static(value.as_bytes()),
        revision: Revision(revision),
    }
}

fn put(key: &str, value: &'static str) -> Change {
    Change::Put(key.to_owned(), Bytes::from_static(value.as_bytes()))
}

fn gone(key: &str) -> Change {
    Change::Removed(key.to_owned())
}

fn removed(key: &str, revision: u64) -> Event {
    Event::Removed {
        key: key.to_owned(),
        revision: Revision(revision),
    }
}

#[test]
fn a_listing_adds_and_removes() {
    let mut mirror = Mirror::open("");
    let changes = mirror.replace(vec![item("a", "1", 3), item("b", "1", 4)], Revision(5));
    assert_eq!(changes, [put("a", "1"), put("b", "1")]);
    let changes = mirror.replace(vec![item("a", "2", 6)], Revision(7));
    assert_eq!(changes, [gone("b"), put("a", "2")]);
    assert_eq!(mirror.revision(), Revision(7));
}

#[test]
fn an_older_change_has_no_effect() {
    let mut mirror = Mirror::open("");
    mirror.apply(Event::Put(item("a", "2", 6)));
    assert_eq!(mirror.apply(Event::Put(item("a", "1", 5))), None);
    assert_eq!(mirror.apply(removed("a", 5)), None);
    assert_eq!(mirror.apply(Event::Put(item("a", "2", 6))), None);
}

#[test]
fn an_older_copy_of_another_node_revives_nothing() {
    let mut mirror = Mirror::open("");
    mirror.apply(Event::Put(item("a", "1", 5)));
    assert_eq!(mirror.apply(removed("a", 8)), Some(gone("a")));
    assert!(
        mirror
            .replace(vec![item("a", "1", 5)], Revision(6))
            .is_empty()
    );
    assert_eq!(
        mirror.apply(Event::Put(item("a", "3", 9))),
        Some(put("a", "3"))
    );
}

#[test]
fn an_older_copy_removes_nothing_that_is_newer() {
    let mut mirror = Mirror::open("");
    mirror.apply(Event::Put(item("a", "1", 9)));
    assert!(mirror.replace(Vec::new(), Revision(8)).is_empty());
    assert_eq!(mirror.replace(Vec::new(), Revision(9)), [gone("a")]);
}

#[test]
fn a_copy_carries_everything_to_another_node() {
    let mut first = Mirror::open("");
    first.replace(vec![item("a", "1", 3), item("b", "1", 4)], Revision(5));
    let export = first.export(Revision(0));
    let mut second = Mirror::open("");
    let changes = second.import(export);
    assert_eq!(changes, [put("a", "1"), put("b", "1")]);
    assert_eq!(second.latest_change(), first.latest_change());
}

#[test]
fn a_node_that_lacks_some_changes_gets_only_those() {
    let mut first = Mirror::open("");
    first.replace(vec![item("a", "1", 3), item("b", "1", 4)], Revision(5));
    let mut second = Mirror::open("");
    second.import(first.export(second.revision()));
    first.apply(removed("a", 6));
    first.apply(Event::Put(item("c", "1", 7)));
    first.advance(Revision(7));
    let export = first.export(second.revision());
    assert_eq!(
        export,
        Export::Changes {
            events: vec![Event::Put(item("c", "1", 7)), removed("a", 6)],
            revision: Revision(7),
        }
    );
    assert_eq!(second.import(export), [put("c", "1"), gone("a")]);
    assert_eq!(second.revision(), Revision(7));
}

/// A node that has just listed the store does not know which keys ended before.
#[test]
fn changes_are_given_only_as_far_back_as_they_are_known() {
    let mut second = Mirror::open("");
    second.replace(vec![item("a", "1", 3)], Revision(4));
    let mut first = Mirror::open("");
    first.replace(vec![item("b", "1", 8)], Revision(9));
    let export = first.export(second.revision());
    assert!(matches!(export, Export::Whole { .. }));
    assert_eq!(second.import(export), [gone("a"), put("b", "1")]);
}

#[test]
fn a_node_that_forgot_removals_gives_everything() {
    let mut first = Mirror::open("");
    first.replace(vec![item("a", "1", 1)], Revision(1));
    first.apply(removed("a", 2));
    for number in 0..5_000 {
        first.apply(removed(&format!("gone-{number}"), 3 + number));
    }
    assert!(matches!(first.export(Revision(1)), Export::Whole { .. }));
    assert!(matches!(
        first.export(Revision(5_000)),
        Export::Changes { .. }
    ));
}
