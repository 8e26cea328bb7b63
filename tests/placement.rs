//! Tests target selection when targets are slow, stalled, unreachable, cold or failing. The node can see such
//! trouble only in the results of its own subrequests.

mod entry_support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use entry_support::{
    AMPLE_BOUND, EXPECTED_LATENCY, LOCAL, Node, REMOTE, add_target, add_target_pairs, at, gather,
    ms, placement, route, single_target, table, target_report,
};
use redwinggrade::connection::keyspace::{Era, Revision};
use redwinggrade::connection::outbound::RateLimit;
use redwinggrade::process::placement::{LimitChange, Observation, Placement};
use redwinggrade::process::registry::{Effect, TargetKey};
use redwinggrade::process::slot::Slot;
use redwinggrade::rollout::state::{Event, Rollouts};
use redwinggrade::rollout::{Bounds, Order, Phase, Record, RunId};
use redwinggrade::time::Moment;
use redwinggrade::version::item::TargetReport;
use redwinggrade::version::route::{Kind, Table};
use redwinggrade::wire::Cause;
use rstest::rstest;

fn pick(placement: &mut Node, table: &Table, now: Moment) -> Option<TargetKey> {
    placement.pick(table, "s0", &[], Cause::First, now)
}

fn answered(millis: u64) -> Observation {
    Observation::Answered {
        took: ms(millis),
        expected: EXPECTED_LATENCY,
    }
}

/// Sends `subrequests` subrequests one after the other and returns how many went to `target`.
fn count_sent_to(
    placement: &mut Node,
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

/// Guards against paid traffic to another data centre while the target in the own one answers normally.
#[test]
fn prefers_own_data_centre_while_its_target_is_healthy() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert!(count_sent_to(&mut placement, &table, home, 100, at(1)) > 90);
}

/// Guards against load on a slow, failing or refusing target, and against avoiding it for ever: without
/// subrequests, only the decay of old observations can bring it back.
#[rstest]
#[case::slow(answered(160), 4)]
#[case::failing(Observation::Failed, 4)]
#[case::refusing(Observation::Refused, 8)]
fn avoids_slow_or_failing_target_until_observations_decay(
    #[case] observation: Observation,
    #[case] repetitions: u32,
) {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    for _ in 0..repetitions {
        placement.observe(home, observation, at(1));
    }
    let sent_during = count_sent_to(&mut placement, &table, home, 50, at(2));
    assert!(
        sent_during < 10,
        "{sent_during} of 50 subrequests went to the slow or failing target"
    );
    let sent_after = count_sent_to(&mut placement, &table, home, 50, at(30_000));
    assert!(
        sent_after > 40,
        "{sent_after} of 50 subrequests went to the target after the observations decayed"
    );
}

/// Guards against subrequests that wait for a target that pauses, and against losing it after the pause.
#[test]
fn sends_nothing_to_stalled_target_until_it_answers() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, away] = add_target_pairs(&mut placement, 1, at(0))[0];
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert_eq!(pick(&mut placement, &table, at(0)), Some(home));
    placement.mark_overdue(home, at(40));
    assert_eq!(pick(&mut placement, &table, at(41)), Some(away));
    placement.observe(home, answered(150), at(150));
    placement.observe(away, answered(20), at(150));
    let sent_after = count_sent_to(&mut placement, &table, home, 20, at(10_000));
    assert!(
        sent_after > 15,
        "{sent_after} of 20 subrequests went to the target that answers again"
    );
}

/// Simulates three seconds with one subrequest every 20 ms. Returns how many subrequests went to `target`,
/// and how often it was probed; `alive` tells whether the probes reach it.
fn simulate(placement: &mut Node, target: TargetKey, alive: bool) -> (usize, usize) {
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    let (mut subrequests, mut probes) = (0, 0);
    for millis in (0..3_000).step_by(20) {
        let now = at(millis);
        let picked = pick(placement, &table, now).expect("the other target takes work");
        if picked == target {
            subrequests += 1;
            placement.mark_overdue(picked, now);
            placement.observe(picked, Observation::NoResult, now);
        } else {
            placement.observe(picked, answered(20), now);
        }
        for key in placement.due_probes(now) {
            probes += 1;
            placement.record_probe(key, alive);
        }
    }
    (subrequests, probes)
}

/// Guards against callers' queries that are delayed because a subrequest tries whether a dead target is back.
#[test]
fn probes_dead_target_instead_of_sending_subrequests() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    placement.mark_overdue(home, at(0));
    let (subrequests, probes) = simulate(&mut placement, home, false);
    assert_eq!(subrequests, 0);
    assert!(
        (2..=5).contains(&probes),
        "{probes} probes in three seconds"
    );
}

/// Guards against subrequests lost to a target whose process hangs: its kernel still accepts connections, so
/// that probes succeed.
#[test]
fn sends_few_subrequests_to_target_that_accepts_connections_but_never_answers() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    placement.mark_overdue(home, at(0));
    let (subrequests, _) = simulate(&mut placement, home, true);
    assert!(
        (1..=2).contains(&subrequests),
        "{subrequests} subrequests in three seconds"
    );
}

/// Guards against a burst of subrequests to a target of which only a connection is known to work.
#[test]
fn allows_one_trial_subrequest_after_successful_probe() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let other = add_target(&mut placement, "t2", target_report("s0", REMOTE, 2), at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    placement.mark_overdue(key, at(0));
    assert_eq!(placement.due_probes(at(1_000)), [key]);
    placement.record_probe(key, true);
    assert_eq!(pick(&mut placement, &table, at(1_000)), Some(key));
    assert_eq!(pick(&mut placement, &table, at(1_000)), Some(other));
    placement.observe(key, answered(20), at(1_020));
    assert_eq!(pick(&mut placement, &table, at(1_020)), Some(key));
}

/// Guards against subrequests to a target that refuses connections, before a probe shows that it is back.
#[test]
fn sends_nothing_to_unreachable_target_until_probe_succeeds() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert_eq!(pick(&mut placement, &table, at(0)), Some(key));
    placement.observe(key, Observation::Unreachable, at(1));
    assert_eq!(pick(&mut placement, &table, at(2)), None);
    let available_at = placement
        .available_at("s0", at(2))
        .expect("the service has a usable target");
    assert!(available_at > at(2) && !placement.has_available_target("s0", at(2), at(2)));
    assert!(placement.due_probes(at(2)).is_empty());
    assert_eq!(placement.due_probes(available_at), [key]);
    placement.record_probe(key, false);
    assert_eq!(pick(&mut placement, &table, available_at), None);
    let next_available_at = placement
        .available_at("s0", available_at)
        .expect("the service has a usable target");
    assert_eq!(placement.due_probes(next_available_at), [key]);
    placement.record_probe(key, true);
    assert_eq!(pick(&mut placement, &table, next_available_at), Some(key));
}

/// Guards against nodes that together exceed the number of connections that a target accepts.
#[test]
fn limits_connections_to_share_of_node() {
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
    assert_eq!(
        picked, 13,
        "wrong share of 26 connections for one of two nodes"
    );
}

/// Guards against too many connections after a start, when a node does not know yet with how many nodes it
/// shares a target's connections.
#[test]
fn assumes_many_nodes_until_discovery_is_complete() {
    let mut placement = placement(AMPLE_BOUND);
    placement.set_nodes(&["n1".to_owned()], false, at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert_eq!(placement.connection_limit(&table, "s0"), 1);
}

/// Guards against overload of a cold target to which all requests go because it is the only one of its
/// service.
#[test]
fn limits_rate_to_only_target_while_it_is_cold() {
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
        count_sent_to(&mut placement, &table, key, 50, at(10_000)) == 50,
        "the warm target did not get every subrequest"
    );
}

/// Guards against probes of a target after its removal from the registry.
#[test]
fn stops_probing_removed_target() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    placement.mark_overdue(key, at(0));
    assert_eq!(
        placement.registry.remove("t1", at(1)),
        Some(Effect::Removed(key))
    );
    placement.forget(key);
    assert!(placement.due_probes(at(10_000)).is_empty());
}

/// States a limit in an answer to a subrequest that was sent at `sent_at`.
fn answer_with(
    placement: &mut Node,
    key: TargetKey,
    rate_limit: RateLimit,
    sent_at: u64,
    now: u64,
) -> Option<LimitChange> {
    placement.record_rate_limit(key, rate_limit, at(sent_at), at(now))
}

/// Guards against a limit that an answer lifts which the target gave before it stated the limit.
#[test]
fn keeps_limit_until_an_answer_to_a_later_subrequest_has_none() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, _] = add_target_pairs(&mut placement, 1, at(0))[0];
    let stated = answer_with(&mut placement, home, RateLimit::PerSecond(2.0), 0, 10);
    assert_eq!(stated, Some(LimitChange::Stated { per_second: 2.0 }));
    for unchanged in [RateLimit::Unknown, RateLimit::Unreadable] {
        assert_eq!(answer_with(&mut placement, home, unchanged, 20, 30), None);
    }
    assert_eq!(
        answer_with(&mut placement, home, RateLimit::Unlimited, 5, 40),
        None
    );
    assert_eq!(placement.limited_targets(), 1);
    let lifted = answer_with(&mut placement, home, RateLimit::Unlimited, 50, 60);
    assert!(matches!(lifted, Some(LimitChange::Lifted { .. })));
    assert_eq!(placement.limited_targets(), 0);
}

/// Guards against a panic for a target that states a limit, after nodes that shared it have been lost.
#[test]
fn limited_target_stays_available_after_nodes_are_lost() {
    let mut placement = placement(AMPLE_BOUND);
    let nodes: Vec<String> = (1..10).map(|n| format!("n{n}")).collect();
    placement.set_nodes(&nodes, true, at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    for n in 0..16 {
        let report = target_report("s0", LOCAL, 1_000 + n);
        let key = add_target(&mut placement, &format!("t{n}"), report, at(0));
        answer_with(&mut placement, key, RateLimit::PerSecond(10.0), 0, 1);
    }
    pick(&mut placement, &table, at(2));
    for millis in [1_000, 12_000] {
        placement.set_nodes(&[], true, at(millis));
    }
    assert!(placement.has_available_target("s0", at(12_000), at(12_000)));
}

/// Guards against hedges that use up the few requests that a target in need takes.
#[test]
fn sends_no_hedge_to_a_target_that_states_a_limit() {
    let mut placement = placement(AMPLE_BOUND);
    let [home, away] = add_target_pairs(&mut placement, 1, at(0))[0];
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    answer_with(&mut placement, away, RateLimit::PerSecond(20.0), 0, 1);
    let mut pick_other = |cause| {
        let picked = placement.pick(&table, "s0", &[home], cause, at(2));
        picked.inspect(|key| placement.observe(*key, answered(20), at(3)))
    };
    assert_eq!(pick_other(Cause::Hedge), None);
    assert_eq!(pick_other(Cause::Retry), Some(away));
}

/// Returns a placement with three targets of `v1` and three of `v2`, in two data centres, and the keys of those of `v2`.
fn placement_in_rollout() -> (Node, Vec<TargetKey>) {
    let mut placement = placement(AMPLE_BOUND);
    let bounds = Bounds {
        canary_share: 0.1,
        canary_slack: 0.0,
        rollback: Duration::from_secs(5),
    };
    placement.rollouts = Rollouts::open(Some(bounds), "n1");
    let mut new = Vec::new();
    for port in 1..=6_u16 {
        let data_centre = if port % 3 == 0 { REMOTE } else { LOCAL };
        let mut report = target_report("s0", data_centre, port);
        report.slots = 50;
        report.version = Arc::from(if port > 3 { "v2" } else { "v1" });
        let key = add_target(&mut placement, &format!("t{port}"), report, at(0));
        new.extend((port > 3).then_some(key));
    }
    let event = Event::Order {
        service: Arc::from("s0"),
        order: order(),
        revision: Revision(9),
        live: true,
    };
    placement.rollouts.step(event, at(0));
    tick_rollouts(&mut placement);
    (placement, new)
}

fn order() -> Order {
    Order {
        version: Arc::from("v2"),
        duration: Duration::from_secs(12),
    }
}

fn tick_rollouts(placement: &mut Node) {
    let nodes = Event::Nodes {
        serving: BTreeSet::new(),
        serves: true,
        in_touch: true,
    };
    placement.tick_rollouts(nodes, at(0));
}

/// Guards against canaries above the share, against canaries at only one target of the version, and against hedges and
/// retries that reach it beside the share.
#[test]
fn canaries_keep_to_the_share_and_spread_over_targets() {
    let (mut placement, new) = placement_in_rollout();
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    let mut counts = [0; 3];
    for _ in 0..1_000 {
        let picked = pick(&mut placement, &table, at(1)).expect("some target takes work");
        if let Some(index) = new.iter().position(|key| *key == picked) {
            counts[index] += 1;
        }
        placement.observe(picked, answered(20), at(1));
        for cause in [Cause::Retry, Cause::Hedge] {
            let again = placement.pick(&table, "s0", &[picked], cause, at(1));
            let again = again.expect("an old target takes work");
            assert!(!new.contains(&again));
            placement.observe(again, answered(20), at(1));
        }
    }
    // The product of the shares is rounded down.
    assert!(
        (69..=70).contains(&counts.iter().sum::<u32>()),
        "{counts:?}"
    );
    let (least, most) = (counts.iter().min(), counts.iter().max());
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least <= 1),
        "{counts:?}"
    );
}

/// Guards against requests to the wrong version in each later phase, and against a service that is down because the record
/// of an old roll-out excludes all of its targets.
#[rstest]
#[case::shifting(Phase::Shifting, true)]
#[case::completed(Phase::Completed, true)]
#[case::rolled_back(Phase::RolledBack, false)]
fn requests_go_to_the_version_of_the_phase(#[case] phase: Phase, #[case] goes_to_new: bool) {
    let (mut placement, new) = placement_in_rollout();
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    let record = Record {
        run: RunId::new("s0", &order(), Revision(9)),
        order: order(),
        order_era: Era(0),
        order_number: 9,
        phase,
        age: Duration::from_secs(8),
        rejected: Vec::new(),
    };
    let event = Event::Record {
        service: Arc::from("s0"),
        record,
    };
    placement.rollouts.step(event, at(0));
    tick_rollouts(&mut placement);
    for _ in 0..50 {
        let picked = pick(&mut placement, &table, at(1)).expect("some target takes work");
        assert_eq!(new.contains(&picked), goes_to_new);
        placement.observe(picked, answered(20), at(1));
    }
    // A retry after all targets of the phase falls back only while old targets may still be used.
    let tried: Vec<TargetKey> = placement
        .registry
        .targets()
        .filter(|(key, _)| new.contains(key) == goes_to_new)
        .map(|(key, _)| key)
        .collect();
    let fallback = placement.pick(&table, "s0", &tried, Cause::Retry, at(1));
    assert_eq!(fallback.is_some(), phase == Phase::Shifting);
    for key in tried {
        let target = placement.registry.get(key).expect("the target is known");
        let name = Arc::clone(&target.name);
        placement.registry.remove(&name, at(1));
        placement.forget(key);
    }
    assert!(pick(&mut placement, &table, at(1)).is_some());
}

/// Guards against a target that is never chosen again, because the subrequests to it were dropped before they began.
#[test]
fn dropped_slot_is_free_again() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    for _ in 0..100 {
        let taken: Vec<Slot> = std::iter::from_fn(|| {
            Placement::pick(
                &mut placement,
                &table,
                "s0",
                &[],
                Cause::First,
                EXPECTED_LATENCY,
                at(1),
            )
        })
        .collect();
        let open = placement.stats(key, at(1)).map(|stats| stats.in_flight);
        assert_eq!((taken.len(), open), (3, Some(3)));
    }
    let open = placement.stats(key, at(1)).map(|stats| stats.in_flight);
    assert_eq!(open, Some(0));
}

/// Guards against requests to a target that wants none for a time, and against all waiting requests that come to it
/// when the time ends.
#[test]
fn target_that_turned_a_request_away_returns_with_one_request_at_a_time() {
    let mut placement = placement(AMPLE_BOUND);
    let key = add_target(&mut placement, "t1", target_report("s0", LOCAL, 1), at(0));
    let table = table(route(Kind::Idempotent, 2, single_target()), 1, None);
    assert_eq!(pick(&mut placement, &table, at(0)), Some(key));
    placement.observe(key, Observation::Refused, at(10));
    assert!(placement.record_turned_away(key, ms(1_000), at(10)));
    assert!(!placement.record_turned_away(key, ms(400), at(20)), "known");
    assert_eq!(pick(&mut placement, &table, at(1_000)), None);
    assert!(placement.is_turned_away("s0", at(1_000)));
    let returns_at = placement.available_at("s0", at(1_000));
    let returns_at = returns_at.expect("the service has a target");
    assert!((at(1_010)..=at(1_260)).contains(&returns_at));
    assert_eq!(pick(&mut placement, &table, returns_at), Some(key));
    assert_eq!(pick(&mut placement, &table, returns_at), None);
    placement.observe(key, answered(20), returns_at + ms(20));
    assert_eq!(pick(&mut placement, &table, returns_at + ms(20)), Some(key));
    assert_eq!(pick(&mut placement, &table, returns_at + ms(20)), Some(key));
}
