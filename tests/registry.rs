//! Guards the list of targets: who takes work, what an outage of the store hides, and restarts under
//! the same name.

mod entry_support;

use std::sync::Arc;
use std::time::Duration;

use entry_support::{LOCAL, REMOTE, at, target_report};
use redwinggrade::process::registry::{Effect, RETURN, Registry};
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

fn open() -> Registry {
    let mut registry = Registry::default();
    registry.put(&Arc::from("t1"), target_report("s0", LOCAL, 1), at(0));
    registry.put(&Arc::from("t2"), target_report("s0", REMOTE, 2), at(0));
    registry
}

#[test]
fn draining_and_evacuated_targets_take_no_work() {
    let mut registry = open();
    let draining = TargetReport {
        state: TargetState::Draining,
        ..target_report("s0", LOCAL, 1)
    };
    registry.put(&Arc::from("t1"), draining, at(1));
    assert_eq!(usable(&registry), ["t2"]);
    registry.evacuate(&Arc::from(REMOTE), true);
    assert!(usable(&registry).is_empty());
    registry.evacuate(&Arc::from(REMOTE), false);
    assert_eq!(usable(&registry), ["t2"]);
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_answers() {
    let mut registry = open();
    assert!(matches!(
        registry.remove("t1", at(1)),
        Some(Effect::Gone(_))
    ));
    assert_eq!(usable(&registry), ["t2"]);
}

#[rstest]
#[case::back_in_time(true, &["t1", "t2"])]
#[case::missing_for_good(false, &["t2"])]
fn an_entry_that_lapsed_in_an_outage_may_come_back(#[case] back: bool, #[case] left: &[&str]) {
    let mut registry = open();
    registry.set_store(false, at(1_000));
    registry.set_store(true, at(5_000));
    registry.remove("t1", at(5_100));
    assert_eq!(usable(&registry), ["t1", "t2"], "its target may live");
    if back {
        registry.put(&Arc::from("t1"), target_report("s0", LOCAL, 1), at(6_500));
    }
    registry.expire(at(5_000) + RETURN);
    assert_eq!(usable(&registry), left);
}

#[test]
fn a_restart_under_the_same_name_is_another_target() {
    let mut registry = open();
    let again = TargetReport {
        born: Some(2),
        ..target_report("s0", LOCAL, 1)
    };
    let effects = registry.put(&Arc::from("t1"), again, at(1));
    assert!(matches!(effects[..], [Effect::Gone(_), Effect::Added(_)]));
}

#[test]
fn an_unreadable_entry_names_no_target() {
    let mut registry = open();
    registry.invalidate("t1");
    assert_eq!(usable(&registry), ["t2"]);
    assert_eq!(registry.invalidate("t9"), None);
}

#[test]
fn a_target_whose_address_another_one_has_is_not_used_until_it_starts_again() {
    let mut registry = open();
    let key = registry.usable("s0").next().expect("a target is usable").0;
    let name = registry.get(key).expect("it is known").name.to_string();
    registry.misplace(key);
    assert!(!usable(&registry).contains(&name));
}

#[test]
fn the_end_of_coldness_counts_from_the_report() {
    let mut registry = Registry::default();
    let cold = TargetReport {
        cold: Duration::from_millis(700),
        ..target_report("s0", LOCAL, 1)
    };
    registry.put(&Arc::from("t1"), cold, at(100));
    let (_, target) = registry.targets().next().expect("it is known");
    assert_eq!(target.cold_until, at(800));
}
