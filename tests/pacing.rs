//! Tests the division of a target's rate: all nodes together must not send a target more than its bound allows.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redwinggrade::process::pacing::{Pacing, Rate};
use redwinggrade::time::Moment;
use rstest::rstest;

/// The bound in any window is the rate times this factor, plus [`EXTRA_REQUESTS`].
const RATE_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// The interval at which each node has a request for the target.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Opens the pacing of `nodes` nodes. The odd ones know only the first `known` of them.
fn open_nodes(nodes: usize, known: usize, now: Moment) -> Vec<Pacing> {
    let names: Vec<String> = (0..nodes).map(|n| format!("n{n}")).collect();
    let open = |(n, name): (usize, &String)| {
        let mut pacing = Pacing::open(name);
        let known = if n % 2 == 0 { nodes } else { known };
        pacing.set_nodes(&names[..known], 1, now);
        pacing
    };
    names.iter().enumerate().map(open).collect()
}

/// Lets all nodes send whatever they may for a while, and returns when requests were sent.
fn send_all(
    nodes: &mut [Pacing],
    target: &Arc<str>,
    rate: Rate,
    start: Moment,
    duration: Duration,
) -> Vec<Moment> {
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + duration {
        for pacing in &mut *nodes {
            if pacing.next_send(target, rate, now) <= now {
                drop(pacing.take_turn(target, now));
                sent.push(now);
            }
        }
        now = now + REQUEST_INTERVAL;
    }
    sent
}

/// Returns the largest number of requests within one window.
fn max_in_window(sent: &[Moment], window: Duration) -> usize {
    let counts = sent.iter().map(|&start| {
        let in_window = sent
            .iter()
            .filter(|&&at| at >= start && at < start + window);
        in_window.count()
    });
    counts.max().unwrap_or_default()
}

/// Guards against nodes that together overload a cold target, also if they differ in which nodes they know.
#[rstest]
#[case::slow(1.0, 9, 9)]
#[case::usual(4.0, 9, 9)]
#[case::fast(20.0, 9, 9)]
#[case::many_nodes(4.0, 90, 90)]
#[case::few_nodes(4.0, 2, 2)]
#[case::one_half_knows_one_node_less(4.0, 9, 8)]
fn nodes_together_stay_within_cold_rate_in_any_second(
    #[case] rate: f64,
    #[case] nodes: usize,
    #[case] known: usize,
) {
    let start = Moment::from_millis(10_000);
    for target in 0..4 {
        let target: Arc<str> = Arc::from(format!("t{target}"));
        let mut nodes = open_nodes(nodes, known, start);
        let duration = Duration::from_secs(5);
        let sent = send_all(&mut nodes, &target, Rate::cold(rate), start, duration);
        assert!(!sent.is_empty(), "no node may send a request to {target}");
        let second = max_in_window(&sent, Duration::from_secs(1));
        assert!(
            second as f64 <= rate * RATE_FACTOR + EXTRA_REQUESTS,
            "{second} requests to {target} within one second at a rate of {rate} per second"
        );
    }
}

/// Guards against nodes that together exceed the limit that a target states, or leave most of it unused.
#[rstest]
#[case::takes_nothing(0.0, 9, 9)]
#[case::below_one(0.4, 9, 9)]
#[case::usual(7.5, 9, 9)]
#[case::usual_with_many_nodes(7.5, 30, 30)]
#[case::very_many_nodes(7.5, 100, 100)]
#[case::fast(40.0, 9, 9)]
#[case::one_node(7.5, 1, 1)]
#[case::one_half_knows_one_node_less(24.7, 9, 8)]
fn nodes_together_stay_within_stated_limit_in_any_four_seconds(
    #[case] limit: f64,
    #[case] nodes: usize,
    #[case] known: usize,
) {
    let window = Duration::from_secs(4);
    let start = Moment::from_millis(10_000);
    for target in 0..4 {
        let target: Arc<str> = Arc::from(format!("t{target}"));
        let mut nodes = open_nodes(nodes, known, start);
        let duration = Duration::from_secs(40);
        let sent = send_all(&mut nodes, &target, Rate::stated(limit), start, duration);
        let most = max_in_window(&sent, window) as f64;
        let allowed = RATE_FACTOR * limit * window.as_secs_f64() + EXTRA_REQUESTS;
        assert!(
            most <= allowed,
            "{most} requests to {target} in four seconds, of {allowed}"
        );
        assert!(
            !sent.is_empty(),
            "no node finds out whether the limit holds"
        );
        assert!(
            sent.len() as f64 >= 0.9 * limit * duration.as_secs_f64(),
            "{target} got {} requests",
            sent.len()
        );
    }
}

/// Guards against nodes that use the whole limit because they are cut off from others, which use it as well.
#[test]
fn nodes_that_lose_sight_of_others_keep_to_their_part_for_some_seconds() {
    let (limit, target) = (20.0, Arc::from("t"));
    let start = Moment::from_millis(10_000);
    let mut nodes = open_nodes(9, 9, start);
    let cut_at = start + Duration::from_secs(1);
    for (n, pacing) in nodes.iter_mut().enumerate() {
        let group = if n < 3 { 0..3 } else { 3..9 };
        let names: Vec<String> = group.map(|n| format!("n{n}")).collect();
        pacing.set_nodes(&names, 1, cut_at);
    }
    let duration = Duration::from_secs(8);
    let sent = send_all(&mut nodes, &target, Rate::stated(limit), cut_at, duration);
    let most = max_in_window(&sent, Duration::from_secs(4)) as f64;
    assert!(
        most <= RATE_FACTOR * limit * 4.0 + EXTRA_REQUESTS,
        "{most} requests"
    );
}

/// Guards against a started node that knows no other one yet and takes the whole limit for itself.
#[test]
fn node_that_knows_no_other_yet_takes_part_of_the_limit() {
    let (limit, target) = (20.0, Arc::from("t"));
    let start = Moment::from_millis(1_000);
    let mut nodes = open_nodes(1, 1, start);
    nodes[0].set_nodes(&[], 24, start);
    let sent = send_all(
        &mut nodes,
        &target,
        Rate::stated(limit),
        start,
        Duration::from_secs(4),
    );
    assert!(sent.len() <= 5, "{} requests in four seconds", sent.len());
}

/// Guards against hundreds of standby nodes, each with a request now and then, which no other node counts.
#[test]
fn node_that_serves_no_callers_sends_to_limited_target_once_in_a_while() {
    let (limit, target) = (20.0, Arc::from("t"));
    let start = Moment::from_millis(10_000);
    let mut nodes = open_nodes(9, 9, start);
    nodes[0].set_serving(false);
    let duration = Duration::from_secs(61);
    let sent = send_all(
        &mut nodes[..1],
        &target,
        Rate::stated(limit),
        start,
        duration,
    );
    assert_eq!(sent.len(), 2, "one request in 30 s");
}

/// Guards against arithmetic that panics for node sets that grow and shrink, and for any number as a rate.
#[test]
fn any_rate_and_any_change_of_nodes_has_a_next_request_or_none() {
    const STEPS: usize = 20_000;
    let mut random = Pcg32::seed_from_u64(1);
    let names: Vec<String> = (0..40).map(|n| format!("n{n}")).collect();
    let targets: Vec<Arc<str>> = (0..8).map(|n| Arc::from(format!("t{n}"))).collect();
    let mut pacing = Pacing::open(&names[0]);
    let mut now = Moment::from_millis(10_000);
    for _ in 0..STEPS {
        now = now + Duration::from_millis(random.random_range(0..4_000));
        let per_second = match random.random_range(0..6) {
            0 => 0.0,
            1 => f64::INFINITY,
            2 => f64::NAN,
            3 => -1.0,
            _ => 10_f64.powf(random.random_range(-9.0..9.0)),
        };
        let (stated, cold) = (Rate::stated(per_second), Rate::cold(per_second));
        let rate = [stated, cold, stated.and(cold)][random.random_range(0..3)];
        let target = &targets[random.random_range(0..targets.len())];
        match random.random_range(0..8) {
            0 => {
                let known = random.random_range(0..names.len());
                pacing.set_nodes(&names[..known], random.random_range(1..30), now);
            }
            1 => pacing.set_serving(random.random()),
            2 => pacing.forget(target),
            _ if pacing.next_send(target, rate, now) <= now => drop(pacing.take_turn(target, now)),
            _ => {}
        }
    }
}
