//! Guards the evenness of the load on targets that many nodes choose at the same time, and the reports by which nodes
//! tell each other of slow targets.

mod balancing_support;
mod entry_support;

use std::time::Duration;

use balancing_support::{Figures, Scenario, percentile, play};
use entry_support::{
    AMPLE_BOUND, EXPECTED_LATENCY, Node, add_target_pairs, at, gather, ms, placement, route,
    single_target, table,
};
use redwinggrade::balancing::{ENTRIES_MAX, Load, Mode};
use redwinggrade::process::heartbeat::Reports;
use redwinggrade::process::placement::Observation;
use redwinggrade::process::registry::TargetKey;
use redwinggrade::time::Moment;
use redwinggrade::version::route::{Kind, Table};
use redwinggrade::wire::Cause;
use rstest::rstest;

/// The time of an answer of a slow target.
const SLOW: Duration = Duration::from_millis(160);
/// The time of an answer of another target.
const USUAL: Duration = Duration::from_millis(20);

/// Plays ten seconds with each of these seeds.
fn figures(
    mode: Mode,
    nodes: usize,
    queries_per_second: f64,
    slow_targets: usize,
    seeds: u64,
) -> Figures {
    let mut sum = Figures::default();
    for seed in 0..seeds {
        let scenario = Scenario {
            nodes,
            queries_per_second,
            slow_targets,
            length: ms(10_000),
            seed,
        };
        sum.add(play(scenario, |placement| placement.set_balancing(mode)));
    }
    sum
}

/// Guards against loads that are no more even than by the choice of each node alone, or only at the price of more
/// traffic between data centres, more refusals or slower queries. A twentieth is the least gain for which reports are
/// worth their bytes.
#[rstest]
#[case::few_nodes(6, 0, 0.95)]
#[case::few_nodes_and_slow_targets(6, 3, 0.95)]
#[case::many_nodes(24, 0, 0.95)]
#[case::many_nodes_and_slow_targets(24, 3, 0.95)]
fn shared_loads_are_more_even_than_separate_choices(
    #[case] nodes: usize,
    #[case] slow_targets: usize,
    #[case] ratio_max: f64,
) {
    let [separate, shared] =
        [Mode::Separate, Mode::Shared].map(|mode| figures(mode, nodes, 40.0, slow_targets, 3));
    let ratios = [&shared, &separate].map(Figures::mean_busiest_to_mean);
    assert!(ratios[0] < ratio_max * ratios[1], "{ratios:?}");
    assert!(shared.remote_share() <= separate.remote_share());
    assert!(shared.shed <= separate.shed);
    let coverage = [&shared, &separate].map(|it| percentile(&it.coverage_times, 0.95));
    assert!(coverage[0] <= coverage[1], "{coverage:?}");
}

/// Guards against targets that no node chooses, because all nodes rank them last.
#[test]
fn no_target_is_starved() {
    let figures = figures(Mode::Shared, 6, 40.0, 0, 2);
    let equal_share = figures.arrivals as f64 / figures.per_target.len() as f64;
    let least = figures.per_target.iter().min().copied().unwrap_or_default() as f64;
    assert!(least > 0.2 * equal_share, "{least} of {equal_share}");
}

/// Guards against a slow target that all nodes go on to choose, and against one that all leave, so that none notices
/// when it is as fast as usual again.
#[rstest]
#[case::few_nodes(6)]
#[case::many_nodes(24)]
fn slow_target_gets_less_but_not_nothing(#[case] nodes: usize) {
    let share = figures(Mode::Shared, nodes, 40.0, 3, 2).slow_share();
    assert!((0.01..0.5).contains(&share), "{share} of an equal share");
}

fn shared_placement(services: usize) -> (Node, Vec<[TargetKey; 2]>) {
    let mut placement = placement(AMPLE_BOUND);
    placement.set_balancing(Mode::Shared);
    let keys = add_target_pairs(&mut placement, services, at(0));
    (placement, keys)
}

fn one_service() -> std::sync::Arc<Table> {
    table(route(Kind::Idempotent, 2, single_target()), 1, None)
}

fn answer(placement: &mut Node, key: TargetKey, took: Duration, now: Moment) {
    let expected = EXPECTED_LATENCY;
    placement.observe(key, Observation::Answered { took, expected }, now);
}

/// Chooses `choices` times and returns how often the choice was `key`; no answer is recorded.
fn count_chosen(placement: &mut Node, key: TargetKey, choices: usize, now: Moment) -> usize {
    let table = one_service();
    let chosen = (0..choices).filter(|_| {
        let chosen = placement
            .pick(&table, "s0", &[], Cause::First, now)
            .expect("a target takes work");
        placement.observe(chosen, Observation::NoResult, now);
        chosen == key
    });
    chosen.count()
}

/// Returns the reports of a node to which a target gave an answer each 150 ms, from `from` until `until`.
fn reports_of_answers(took: Duration, from: u64, until: u64) -> Vec<(u64, Vec<Load>)> {
    let (mut reporter, keys) = shared_placement(1);
    let times = (from..until).step_by(150);
    times
        .map(|millis| {
            answer(&mut reporter, keys[0][0], took, at(millis));
            (millis, reporter.report_loads(at(millis)))
        })
        .collect()
}

/// Guards against nodes that each have to find out by themselves that a target is slow, and against leaving it for ever
/// or without any trial.
#[test]
fn reported_slow_target_is_left_and_returned_to() {
    let (mut receiver, keys) = shared_placement(1);
    let home = keys[0][0];
    assert!(count_chosen(&mut receiver, home, 200, at(0)) > 180);
    for (millis, loads) in reports_of_answers(SLOW, 0, 1_500) {
        receiver.record_loads(&loads, at(millis));
    }
    assert_eq!(receiver.slow_targets(at(1_500)), 1);
    let chosen = count_chosen(&mut receiver, home, 2_000, at(1_500));
    assert!((1..200).contains(&chosen), "{chosen} of 2000 while slow");
    assert_eq!(receiver.slow_targets(at(30_000)), 0);
    assert!(count_chosen(&mut receiver, home, 200, at(30_000)) > 180);
}

/// Guards against requests that each node sends to a target until it notices itself that the target is stalled, and
/// against leaving it for longer than a pause.
#[test]
fn target_that_another_node_reports_as_stalled_is_left_for_a_moment() {
    let (mut reporter, keys) = shared_placement(1);
    let home = keys[0][0];
    reporter.mark_overdue(home, at(0));
    let loads = reporter.report_loads(at(200));
    let (mut receiver, _) = shared_placement(1);
    receiver.record_loads(&loads, at(200));
    assert!(count_chosen(&mut receiver, home, 200, at(201)) < 20);
    assert!(count_chosen(&mut receiver, home, 200, at(600)) > 180);
    receiver.record_loads(&loads, at(1_000));
    answer(&mut receiver, home, USUAL, at(1_010));
    assert!(count_chosen(&mut receiver, home, 200, at(1_020)) > 180);
}

/// Guards against all nodes leaving a target that has only paused: the answers that the pause delayed come at once.
#[test]
fn answers_after_one_pause_do_not_make_a_target_slow() {
    let (mut receiver, keys) = shared_placement(1);
    for millis in [0, 60, 90, 150, 200, 230] {
        answer(&mut receiver, keys[0][0], SLOW, at(millis));
    }
    assert_eq!(receiver.slow_targets(at(230)), 0);
}

/// Guards against a node that is cut off from targets and makes others leave them, which reach them.
#[test]
fn answers_of_usual_speed_outweigh_reports_of_slow_ones() {
    let (mut receiver, keys) = shared_placement(1);
    for (millis, loads) in reports_of_answers(SLOW, 0, 3_000) {
        receiver.record_loads(&loads, at(millis));
        answer(&mut receiver, keys[0][0], USUAL, at(millis + 50));
    }
    assert_eq!(receiver.slow_targets(at(3_000)), 0);
}

/// Guards against a target that stays left after it has become as fast as usual, because only slow answers are reported.
#[test]
fn answers_of_usual_speed_are_reported_while_others_may_take_the_target_for_slow() {
    let (mut node, keys) = shared_placement(1);
    answer(&mut node, keys[0][0], USUAL, at(0));
    assert_eq!(node.report_loads(at(0)), []);
    for (millis, loads) in reports_of_answers(SLOW, 0, 1_500) {
        node.record_loads(&loads, at(millis));
    }
    answer(&mut node, keys[0][0], USUAL, at(1_600));
    let loads = node.report_loads(at(1_600));
    assert!(matches!(loads[..], [Load(_, 4)]), "{loads:?}");
}

/// Guards against a target that is never known as slow, because no request waits for its answers.
#[test]
fn stalled_target_is_reported_unless_it_cannot_be_reached() {
    let (mut node, keys) = shared_placement(1);
    let [slow, unreachable] = keys[0];
    answer(&mut node, slow, USUAL, at(0));
    node.mark_overdue(slow, at(100));
    node.observe(unreachable, Observation::Unreachable, at(100));
    assert_eq!(node.report_loads(at(150)), []);
    let loads = node.report_loads(at(250));
    assert!(matches!(loads[..], [Load(_, u8::MAX)]), "{loads:?}");
    let loads = node.report_loads(at(700));
    assert!(matches!(loads[..], [Load(_, 12..=80)]), "{loads:?}");
}

/// Guards against reports that fill the datagrams of heartbeats when very many targets are slow, and against leaving out
/// the slowest ones.
#[test]
fn report_of_many_slow_targets_keeps_its_size() {
    let (mut node, keys) = shared_placement(90);
    for (n, [home, away]) in keys.iter().enumerate() {
        answer(&mut node, *home, SLOW + ms(n as u64), at(0));
        answer(&mut node, *away, SLOW, at(0));
    }
    let loads = node.report_loads(at(0));
    assert_eq!(loads.len(), ENTRIES_MAX);
    assert!(loads.iter().all(|load| load.1 > 40), "{loads:?}");
    let reports = Reports {
        loads,
        ..Reports::default()
    };
    let bytes = rmp_serde::to_vec_named(&reports).expect("reports encode");
    assert!(bytes.len() <= 250, "{} bytes", bytes.len());
}

/// Guards against a deployment that is served otherwise than before although its settings do not ask for it.
#[test]
fn separate_choice_neither_sends_nor_uses_reports() {
    let (mut node, keys) = shared_placement(1);
    node.set_balancing(Mode::default());
    for (millis, loads) in reports_of_answers(SLOW, 0, 1_500) {
        node.record_loads(&loads, at(millis));
        assert_eq!(node.report_loads(at(millis)), []);
    }
    assert_eq!(node.slow_targets(at(1_500)), 0);
    assert!(count_chosen(&mut node, keys[0][0], 200, at(1_500)) > 180);
    answer(&mut node, keys[0][0], SLOW, at(1_500));
    assert_eq!(node.report_loads(at(1_500)), []);
}

/// Guards the meter of the evenness as one node sees it.
#[test]
fn busiest_to_mean_counts_subrequests_since_the_last_measurement() {
    let (mut node, _) = shared_placement(2);
    assert_eq!(node.take_busiest_to_mean(), None);
    let table = table(route(Kind::Idempotent, 2, gather(2, 1.0)), 2, None);
    for service in ["s0", "s0", "s0", "s1"] {
        node.pick(&table, service, &[], Cause::First, at(0))
            .expect("a target takes work");
    }
    let ratio = node.take_busiest_to_mean().expect("subrequests were sent");
    assert!((2.0..=3.0).contains(&ratio), "{ratio}");
    assert_eq!(node.take_busiest_to_mean(), None);
}

/// Prints the rows of the table in `docs/design/even-load.md`; it guards against nothing.
#[test]
#[ignore = "prints figures for docs/design/even-load.md"]
fn print_figures() {
    for mode in [Mode::Separate, Mode::Shared] {
        for (queries_per_second, slow_targets) in [(40.0, 0), (40.0, 3), (80.0, 3)] {
            for nodes in [3, 6, 24, 60] {
                let figures = figures(mode, nodes, queries_per_second, slow_targets, 4);
                println!(
                    "| {mode:?} | {queries_per_second} | {slow_targets} | {nodes} | {figures} |"
                );
            }
        }
    }
}
