//! Tests the warm-up limits: all nodes together must not send a cold target more than its rate allows.

use std::sync::Arc;
use std::time::Duration;

use redwinggrade::process::warmup::Warmup;
use redwinggrade::time::Moment;
use rstest::rstest;

/// The bound in any second is the rate times this factor, plus [`EXTRA_REQUESTS`].
const RATE_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;

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
    let names: Vec<String> = (0..nodes).map(|n| format!("n{n}")).collect();
    for target in 0..4 {
        let target: Arc<str> = Arc::from(format!("t{target}"));
        let mut warmups: Vec<Warmup> = names
            .iter()
            .enumerate()
            .map(|(n, name)| {
                let mut warmup = Warmup::open(name);
                let known_nodes = if n % 2 == 0 {
                    names.as_slice()
                } else {
                    &names[..known]
                };
                warmup.set_nodes(known_nodes);
                warmup
            })
            .collect();
        let mut sent = Vec::new();
        for millis in (0..5_000).step_by(5) {
            let now = Moment::from_millis(10_000 + millis);
            for warmup in &mut warmups {
                if warmup.may_send(&target, rate, now) {
                    warmup.record_sent(&target, now);
                    sent.push(now);
                }
            }
        }
        assert!(!sent.is_empty(), "no node may send a request to {target}");
        for &start in &sent {
            let end = start + Duration::from_secs(1);
            let second = sent.iter().filter(|&&at| at >= start && at < end).count();
            assert!(
                second as f64 <= rate * RATE_FACTOR + EXTRA_REQUESTS,
                "{second} requests to {target} within one second at a rate of {rate} per second"
            );
        }
    }
}
