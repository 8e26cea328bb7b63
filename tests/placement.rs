//! Guards the choice of targets under the troubles that a node can see only in its own subrequests.

mod entry_support;

use entry_support::{
    AMPLE_BOUND, EXPECTED_LATENCY, LOCAL, REMOTE, add_target, add_target_pairs, at, gather, ms,
    placement, route, single_target, table, target_report,
};
use redwinggrade::process::placement::{Placement, Sign};
use redwinggrade::process::registry::{Effect, TargetKey};
use redwinggrade::time::Moment;
use redwinggrade::version::item::TargetReport;
use redwinggrade::version::route::{Kind, Table};
use rstest::rstest;

fn pick(placement: &mut Placement, table: &Table, now: Moment) -> Option<TargetKey> {
    placement.pick(table, "s0", &[], EXPECTED_LATENCY, now)
}

fn answered(millis: u64) -> Sign {
    Sign::Answered {
        took: ms(millis),
        expected: EXPECTED_LATENCY,
    }
}

/// Sends `subrequests` one after the other and returns how many went to `target`.
fn share(
    placement: &mut Placement,
    table: &Table,
    target: TargetKey,
    subrequests: u32,
    now: Moment,
) -> u32 {
    let mut count = 0;
    for _ in 0..subrequests {
        let picked = pick(placement, table, now).expect("some target takes work");
        count += u32::from(picked == target);
        placement.observe(picked, answered(20), now);
    }
    count
}

#[test]
fn the_own_data_centre_is_preferred_while_its_target_is_sound() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert!(share(&mut placement, &table, home, 100, at(1)) > 90);
}

#[rstest]
#[case::slow(answered(160), 4)]
#[case::failing(Sign::Failed, 4)]
#[case::refusing(Sign::Refused, 8)]
fn a_troubled_target_loses_its_subrequests_and_gets_them_back(
    #[case] sign: Sign,
    #[case] signs: u32,
) {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    for _ in 0..signs {
        placement.observe(home, sign, at(1));
    }
    let during = share(&mut placement, &table, home, 50, at(2));
    assert!(
        during < 10,
        "{during} of 50 subrequests went to the troubled target"
    );
    let after = share(&mut placement, &table, home, 50, at(30_000));
    assert!(after > 40, "{after} of 50 subrequests went to it later");
}

#[test]
fn a_stalled_target_gets_nothing_until_it_answers() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, away] = add_target_pairs(&mut placement, 1, at(0))[0];
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert_eq!(pick(&mut placement, &table, at(0)), Some(home));
    placement.overdue(home, at(40));
    assert_eq!(pick(&mut placement, &table, at(41)), Some(away));
    placement.observe(home, answered(150), at(150));
    placement.observe(away, answered(20), at(150));
    let back = share(&mut placement, &table, home, 20, at(10_000));
    assert!(
        back > 15,
        "{back} of 20 subrequests went to the target that woke up"
    );
}

/// Plays three seconds with a subrequest every 20 ms; returns the subrequests that went to the target and its
/// probes.
fn play(placement: &mut Placement, target: TargetKey, lives: bool) -> (usize, usize) {
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    let (mut subrequests, mut probes) = (0, 0);
    for millis in (0..3_000).step_by(20) {
        let now = at(millis);
        let picked = pick(placement, &table, now).expect("the replica takes work");
        if picked == target {
            subrequests += 1;
            placement.overdue(picked, now);
            placement.observe(picked, Sign::Dropped, now);
        } else {
            placement.observe(picked, answered(20), now);
        }
        for key in placement.probes(now) {
            probes += 1;
            placement.probed(key, lives);
        }
    }
    (subrequests, probes)
}

#[test]
fn no_subrequest_of_a_caller_tries_a_dead_target() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    placement.overdue(home, at(0));
    let (subrequests, probes) = play(&mut placement, home, false);
    assert_eq!(subrequests, 0);
    assert!(
        (2..=5).contains(&probes),
        "{probes} probes in three seconds"
    );
}

#[test]
fn a_target_that_accepts_connections_and_never_answers_gets_few_subrequests() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    placement.overdue(home, at(0));
    let (subrequests, _) = play(&mut placement, home, true);
    assert!(
        (1..=2).contains(&subrequests),
        "{subrequests} subrequests in three seconds"
    );
}

#[test]
fn a_target_that_a_probe_reached_gets_one_subrequest_until_it_answers() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let other = add_target(&mut placement, "t2", target_report("s0", REMOTE, 2), at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    placement.overdue(key, at(0));
    assert_eq!(placement.probes(at(1_000)), [key]);
    placement.probed(key, true);
    assert_eq!(pick(&mut placement, &table, at(1_000)), Some(key));
    assert_eq!(pick(&mut placement, &table, at(1_000)), Some(other));
    placement.observe(key, answered(20), at(1_020));
    assert_eq!(pick(&mut placement, &table, at(1_020)), Some(key));
}

#[test]
fn an_unreachable_target_gets_nothing_until_a_probe_reaches_it() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert_eq!(pick(&mut placement, &table, at(0)), Some(key));
    placement.observe(key, Sign::Unreachable, at(1));
    assert_eq!(pick(&mut placement, &table, at(2)), None);
    let reopens = placement.reopens("s0", at(2)).expect("it may come back");
    assert!(reopens > at(2) && !placement.has_target("s0", at(2)));
    assert!(placement.probes(at(2)).is_empty());
    assert_eq!(placement.probes(reopens), [key]);
    placement.probed(key, false);
    assert_eq!(pick(&mut placement, &table, reopens), None);
    let again = placement.reopens("s0", reopens).expect("it may come back");
    assert_eq!(placement.probes(again), [key]);
    placement.probed(key, true);
    assert_eq!(pick(&mut placement, &table, again), Some(key));
}

#[test]
fn a_node_keeps_its_share_of_the_connections() {
    let mut placement = placement(AMPLE_BOUND);
    let roomy = TargetReport {
        slots: 100,
        ..target_report("s0", LOCAL, 1)
    };
    add_target(&mut placement, "t1", roomy, at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    let picked = (0..40)
        .filter_map(|_| pick(&mut placement, &table, at(1)))
        .count();
    assert_eq!(picked, 13, "two nodes share 26 connections");
}

#[test]
fn a_node_that_has_just_started_assumes_a_large_fleet() {
    let mut placement = placement(AMPLE_BOUND);
    placement.share(&["n1".to_owned()], false);
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert_eq!(placement.connections(&table, "s0"), 1);
}

#[test]
fn a_cold_target_keeps_its_rate_also_if_it_is_the_only_one() {
    let mut placement = placement(AMPLE_BOUND);
    let cold = TargetReport {
        cold: ms(10_000),
        ..target_report("s0", REMOTE, 1)
    };
    let key = add_target(&mut placement, "t1", cold, at(0));
    let table = table(route(Kind::Idempotent, 2, gather(1, 1.0)), 1, Some(4.0));
    let mut sent = 0;
    for millis in (0..1_000).step_by(10) {
        if let Some(key) = pick(&mut placement, &table, at(millis)) {
            sent += 1;
            placement.observe(key, answered(5), at(millis));
        }
    }
    assert!(
        (1..=3).contains(&sent),
        "{sent} requests in a second at half of the rate of 4"
    );
    assert!(
        share(&mut placement, &table, key, 50, at(10_000)) == 50,
        "it is warm"
    );
}

#[test]
fn a_target_that_is_gone_is_not_probed_any_more() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    placement.overdue(key, at(0));
    assert_eq!(
        placement.registry.remove("t1", at(1)),
        Some(Effect::Gone(key))
    );
    placement.forget(key);
    assert!(placement.probes(at(10_000)).is_empty());
}
