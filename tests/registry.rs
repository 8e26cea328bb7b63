//! Tests the registry of targets: which targets take work, expired entries after an outage of the store, and
//! restarts under the same name.

mod entry_support;

use std::sync::Arc;
use std::time::Duration;

use entry_support::{LOCAL, REMOTE, at, ms, target_report};
use redwinggrade::process::registry::{Effect, REREGISTRATION_GRACE, Registry};
use redwinggrade::version::item::{TargetReport, TargetState};
use rstest::rstest;

fn usable(registry: &Registry) -> Vec<String> {
    let mut names: Vec<String> = registry
        .usable("s0")
        .map(|(_, target)| target.name.to_string())
        .collect();
    names.sort();
    names
}

fn registry_with_two_targets() -> Registry {
    let mut registry = Registry::default();
    registry.put(&Arc::from("t1"), target_report("s0", LOCAL, 1), at(0));
    registry.put(&Arc::from("t2"), target_report("s0", REMOTE, 2), at(0));
    registry
}

/// Guards against new work for targets that finish their requests or whose data centre is evacuated.
#[test]
fn excludes_draining_and_evacuated_targets() {
    let mut registry = registry_with_two_targets();
    let draining = TargetReport {
        state: TargetState::Draining,
        ..target_report("s0", LOCAL, 1)
    };
    registry.put(&Arc::from("t1"), draining, at(1));
    assert_eq!(usable(&registry), ["t2"]);
    registry.set_evacuated(&Arc::from(REMOTE), true);
    assert!(usable(&registry).is_empty());
    registry.set_evacuated(&Arc::from(REMOTE), false);
    assert_eq!(usable(&registry), ["t2"]);
}

/// Guards against requests to a target that has left, when no outage of the store explains the removal.
#[test]
fn removes_target_at_once_while_store_answers() {
    let mut registry = registry_with_two_targets();
    assert!(matches!(
        registry.remove("t1", at(1)),
        Some(Effect::Removed(_))
    ));
    assert_eq!(usable(&registry), ["t2"]);
}

/// Guards against the loss of live targets after an outage of the store, during which their entries expire.
#[rstest]
#[case::registered_in_time(true, &["t1", "t2"])]
#[case::never_registered(false, &["t2"])]
fn keeps_target_after_outage_until_reregistration_grace_ends(
    #[case] registered: bool,
    #[case] expected: &[&str],
) {
    let mut registry = registry_with_two_targets();
    registry.set_store_reachable(false, at(1_000));
    registry.set_store_reachable(true, at(5_000));
    registry.remove("t1", at(5_100));
    assert_eq!(
        usable(&registry),
        ["t1", "t2"],
        "a target that may be alive was removed"
    );
    if registered {
        registry.put(&Arc::from("t1"), target_report("s0", LOCAL, 1), at(6_500));
    }
    registry.expire(at(5_000) + REREGISTRATION_GRACE);
    assert_eq!(usable(&registry), expected);
}

/// Guards against observations of an earlier process that are applied to its successor.
#[test]
fn treats_restart_under_same_name_as_new_target() {
    let mut registry = registry_with_two_targets();
    let again = TargetReport {
        born: Some(2),
        ..target_report("s0", LOCAL, 1)
    };
    let effects = registry.put(&Arc::from("t1"), again, at(1));
    assert!(matches!(
        effects[..],
        [Effect::Removed(_), Effect::Added(_)]
    ));
}

/// Guards against requests to a target by an old report after its entry became unreadable.
#[test]
fn removes_target_with_unreadable_entry() {
    let mut registry = registry_with_two_targets();
    registry.invalidate("t1");
    assert_eq!(usable(&registry), ["t2"]);
    assert_eq!(registry.invalidate("t9"), None);
}

/// Guards against requests that go to another target because it has taken over the address.
#[test]
fn excludes_target_whose_address_another_target_uses() {
    let mut registry = registry_with_two_targets();
    let key = registry.usable("s0").next().expect("a target is usable").0;
    let name = registry
        .get(key)
        .expect("the target is known")
        .name
        .to_string();
    registry.mark_misdirected(key);
    assert!(!usable(&registry).contains(&name));
}

/// Guards against a target that counts as warm too early: the report tells the remaining cold time.
#[test]
fn counts_cold_time_from_report() {
    let mut registry = Registry::default();
    let cold = TargetReport {
        cold: Duration::from_millis(700),
        ..target_report("s0", LOCAL, 1)
    };
    registry.put(&Arc::from("t1"), cold, at(100));
    let (_, target) = registry.targets().next().expect("the target is known");
    assert_eq!(target.cold_until, at(800));
}

/// Guards against work for a target that drains or is cold, because the report that says so may be old.
#[test]
fn older_report_restricts_target_and_permits_nothing() {
    let mut registry = Registry::default();
    let name: Arc<str> = Arc::from("t");
    let warm = target_report("s0", LOCAL, 1);
    registry.put(&name, warm.clone(), at(0));
    let cold = TargetReport {
        cold: ms(900),
        ..warm.clone()
    };
    registry.restrict(&name, &cold, at(100));
    registry.restrict(&name, &warm, at(200));
    let cold_until = registry.targets().next().map(|(_, it)| it.cold_until);
    assert_eq!(cold_until, Some(at(1_000)));
    let draining = TargetReport {
        state: TargetState::Draining,
        ..warm.clone()
    };
    registry.restrict(&name, &draining, at(300));
    registry.restrict(&name, &warm, at(400));
    assert_eq!(registry.usable("s0").count(), 0);
}
