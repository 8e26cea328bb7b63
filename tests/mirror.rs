//! Tests the mirror of the store: each change is applied once and in the order of revisions, whether it comes
//! from a listing, a watch or another node.

use bytes::Bytes;
use redwinggrade::connection::keyspace::{Era, Event, Item, Revision};
use redwinggrade::process::mirror::{Change, Export, Mirror};

fn item(key: &str, value: &'static str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Bytes::from_static(value.as_bytes()),
        revision: Revision(revision.into()),
    }
}

fn put_change(key: &str, value: &'static str) -> Change {
    Change::Put(key.to_owned(), Bytes::from_static(value.as_bytes()))
}

fn removal_change(key: &str) -> Change {
    Change::Removed(key.to_owned())
}

fn removal_event(key: &str, revision: u64) -> Event {
    Event::Removed {
        key: key.to_owned(),
        revision: Revision(revision.into()),
    }
}

#[test]
fn replaces_contents_with_listing() {
    let mut mirror = Mirror::open("");
    let changes = mirror.replace(vec![item("a", "1", 3), item("b", "1", 4)], Revision(5));
    assert_eq!(changes, [put_change("a", "1"), put_change("b", "1")]);
    let changes = mirror.replace(vec![item("a", "2", 6)], Revision(7));
    assert_eq!(changes, [removal_change("b"), put_change("a", "2")]);
    assert_eq!(mirror.revision(), Revision(7));
}

/// Watches may repeat changes after a reconnect, and other nodes may send older ones.
#[test]
fn ignores_older_and_repeated_changes() {
    let mut mirror = Mirror::open("");
    mirror.apply(Event::Put(item("a", "2", 6)));
    assert_eq!(mirror.apply(Event::Put(item("a", "1", 5))), None);
    assert_eq!(mirror.apply(removal_event("a", 5)), None);
    assert_eq!(mirror.apply(Event::Put(item("a", "2", 6))), None);
}

/// Guards against a removed key coming back, when an older listing arrives after the removal.
#[test]
fn does_not_restore_removed_key_from_older_listing() {
    let mut mirror = Mirror::open("");
    mirror.apply(Event::Put(item("a", "1", 5)));
    assert_eq!(
        mirror.apply(removal_event("a", 8)),
        Some(removal_change("a"))
    );
    assert!(
        mirror
            .replace(vec![item("a", "1", 5)], Revision(6))
            .is_empty()
    );
    assert_eq!(
        mirror.apply(Event::Put(item("a", "3", 9))),
        Some(put_change("a", "3"))
    );
}

/// Guards against a removed key coming back, when an older listing arrives after the copy of another node, which does
/// not show the removal.
#[test]
fn does_not_restore_key_that_a_copy_lacks_from_older_listing() {
    let mut mirror = Mirror::open("");
    mirror.import(Export::Whole {
        items: vec![item("b", "1", 9)],
        revision: Revision(10),
    });
    let listing = vec![item("a", "1", 5), item("b", "1", 9), item("c", "1", 11)];
    let changes = mirror.replace(listing, Revision(8));
    assert_eq!(changes, [put_change("c", "1")]);
}

/// Guards against the loss of a new key, when an older listing that lacks it arrives later.
#[test]
fn keeps_items_written_after_listing() {
    let mut mirror = Mirror::open("");
    mirror.apply(Event::Put(item("a", "1", 9)));
    assert!(mirror.replace(Vec::new(), Revision(8)).is_empty());
    assert_eq!(
        mirror.replace(Vec::new(), Revision(9)),
        [removal_change("a")]
    );
}

#[test]
fn exports_complete_contents_to_empty_mirror() {
    let mut sender = Mirror::open("");
    sender.replace(vec![item("a", "1", 3), item("b", "1", 4)], Revision(5));
    let export = sender.export(Revision(0));
    let mut receiver = Mirror::open("");
    let changes = receiver.import(export);
    assert_eq!(changes, [put_change("a", "1"), put_change("b", "1")]);
    assert_eq!(receiver.latest_change(), sender.latest_change());
}

#[test]
fn exports_only_changes_since_revision() {
    let mut sender = Mirror::open("");
    sender.replace(vec![item("a", "1", 3), item("b", "1", 4)], Revision(5));
    let mut receiver = Mirror::open("");
    receiver.import(sender.export(receiver.revision()));
    sender.apply(removal_event("a", 6));
    sender.apply(Event::Put(item("c", "1", 7)));
    sender.advance(Revision(7));
    let export = sender.export(receiver.revision());
    assert_eq!(
        export,
        Export::Changes {
            events: vec![Event::Put(item("c", "1", 7)), removal_event("a", 6)],
            revision: Revision(7),
        }
    );
    assert_eq!(
        receiver.import(export),
        [put_change("c", "1"), removal_change("a")]
    );
    assert_eq!(receiver.revision(), Revision(7));
}

/// A node that has just listed the store does not know which keys were removed before. If it exported only
/// changes, the receiver would keep such keys.
#[test]
fn exports_complete_contents_without_history() {
    let mut receiver = Mirror::open("");
    receiver.replace(vec![item("a", "1", 3)], Revision(4));
    let mut sender = Mirror::open("");
    sender.replace(vec![item("b", "1", 8)], Revision(9));
    let export = sender.export(receiver.revision());
    assert!(matches!(export, Export::Whole { .. }));
    assert_eq!(
        receiver.import(export),
        [removal_change("a"), put_change("b", "1")]
    );
}

/// The number of remembered removals is limited. Once a removal after the requested revision has been
/// discarded, an export of changes would leave out the removed key.
#[test]
fn exports_complete_contents_after_discarding_removals() {
    let mut sender = Mirror::open("");
    sender.replace(vec![item("a", "1", 1)], Revision(1));
    sender.apply(removal_event("a", 2));
    for number in 0..5_000 {
        sender.apply(removal_event(&format!("gone-{number}"), 3 + number));
    }
    assert!(matches!(sender.export(Revision(1)), Export::Whole { .. }));
    assert!(matches!(
        sender.export(Revision(5_000)),
        Export::Changes { .. }
    ));
}

/// The pages of a listing are not one snapshot. Guards against a node that takes its copy for complete because a
/// later page has the newest change, while an earlier page lacks one.
#[test]
fn listing_with_newer_change_on_later_page_is_completed_by_another_node() {
    let mut other = Mirror::open("");
    other.replace(vec![item("a", "1", 3), item("z", "1", 4)], Revision(5));
    other.apply(Event::Put(item("a", "2", 7)));
    other.apply(Event::Put(item("z", "2", 9)));
    other.advance(Revision(9));
    let mut mirror = Mirror::open("");
    mirror.replace(vec![item("a", "1", 3), item("z", "2", 9)], Revision(5));
    assert_eq!(mirror.latest_change(), other.latest_change());
    assert!(mirror.revision() < other.latest_change());
    let changes = mirror.import(other.export(mirror.revision()));
    assert_eq!(changes, [put_change("a", "2")]);
    assert_eq!(mirror.revision(), Revision(9));
}

/// Returns a revision of the store after it has come back once.
fn second_era(number: u64) -> Revision {
    Revision::in_era(Era(1), number)
}

/// Guards against changes that are ignored, or take effect too early, because their revision was given out before.
#[test]
fn change_of_later_era_counts_although_its_number_is_not_higher() {
    let mut mirror = Mirror::open("");
    mirror.replace(vec![item("a", "1", 64), item("b", "1", 3)], Revision(64));
    assert!(!mirror.is_restored_by(Revision(65)));
    assert!(mirror.is_restored_by(second_era(60)));
    let copied = |key, value, number| Item {
        revision: second_era(number),
        ..item(key, value, 0)
    };
    let changes = mirror.replace(vec![copied("a", "0", 60)], second_era(63));
    assert_eq!(changes, [removal_change("b"), put_change("a", "0")]);
    let written = mirror.apply(Event::Put(copied("a", "2", 64)));
    assert_eq!(written, Some(put_change("a", "2")));
    assert_eq!(mirror.apply(Event::Put(item("a", "3", 70))), None);
    assert!(
        matches!(mirror.export(Revision(64)), Export::Whole { .. }),
        "a node of the earlier era needs the whole contents"
    );
}

/// Guards against targets that count as cold again, because their entries come again unchanged.
#[test]
fn same_value_with_a_later_revision_is_no_change() {
    let mut mirror = Mirror::open("");
    mirror.replace(vec![item("a", "1", 3)], Revision(3));
    let listed = Item {
        revision: second_era(3),
        ..item("a", "1", 0)
    };
    assert!(mirror.replace(vec![listed], second_era(3)).is_empty());
    assert_eq!(mirror.latest_change(), second_era(3));
}
