//! Tests which changes that only an older copy of the store shows are held back, and for how long.

use std::time::Duration;

use bytes::Bytes;
use redwinggrade::process::mirror::{Change, KeyState};
use redwinggrade::process::reconciliation::Reconciliation;
use redwinggrade::process::registry::REREGISTRATION_GRACE;
use redwinggrade::time::Moment;

const TARGET_HEARTBEAT: Duration = Duration::from_millis(1_200);
const RESTORED_AT: Moment = Moment::from_millis(50_000);

fn put(key: &str) -> Change {
    Change::Put(key.to_owned(), Bytes::from_static(b"1"))
}

fn removed(key: &str) -> Change {
    Change::Removed(key.to_owned())
}

/// Guards against targets that left and are used again, and against dropping targets that register again.
#[test]
fn holds_back_what_only_the_copy_shows() {
    let mut reconciliation = Reconciliation::open(TARGET_HEARTBEAT);
    let mut hold = |change, state| reconciliation.hold(change, state, RESTORED_AT);
    assert_eq!(hold(put("new"), KeyState::Unknown), Some(put("new")));
    assert_eq!(hold(put("left"), KeyState::Removed), None);
    assert_eq!(hold(removed("came"), KeyState::Present), None);
    assert_eq!(hold(put("other"), KeyState::Present), None);
    assert!(reconciliation.due(RESTORED_AT).is_empty());
    let after_grace = RESTORED_AT + REREGISTRATION_GRACE;
    let due = reconciliation.due(after_grace);
    assert_eq!(due, [removed("came")]);
    // The store removes the entry of a silent target after three heartbeats.
    assert!(
        reconciliation
            .due(RESTORED_AT + 3 * TARGET_HEARTBEAT)
            .is_empty()
    );
    let after_heartbeats = RESTORED_AT + 4 * TARGET_HEARTBEAT;
    let due = reconciliation.due(after_heartbeats);
    assert_eq!(due, [put("left"), put("other")]);
}

/// Guards against an old state that replaces a new one, which its writer has written meanwhile.
#[test]
fn drops_held_change_of_a_key_that_is_written_again() {
    let mut reconciliation = Reconciliation::open(TARGET_HEARTBEAT);
    reconciliation.hold(removed("came"), KeyState::Present, RESTORED_AT);
    reconciliation.supersede("came");
    assert!(reconciliation.due(Moment::NEVER).is_empty());
}
