//! Tests the budget of extra requests: all nodes together must stay within the bound in every window,
//! whatever load each node has.

use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redwinggrade::process::budget::{Bound, Budget};
use rstest::rstest;

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 58.0,
};

/// Guards against extra requests beyond the bound when full buckets are spent at the start of a busy period.
#[rstest]
#[case::one_node(1)]
#[case::nine_nodes(9)]
#[case::twelve_nodes(12)]
#[case::more_nodes_than_tokens(58)]
fn nodes_together_stay_within_bound_in_every_window(#[case] nodes: usize) {
    const WINDOW_SECONDS: usize = 10;
    let service: Arc<str> = Arc::from("s0");
    let mut random = Pcg32::seed_from_u64(11);
    let mut budgets: Vec<Budget> = (0..nodes).map(|_| Budget::open(BOUND, nodes)).collect();
    let (mut requests, mut extra) = (Vec::new(), Vec::new());
    for second in 0..120 {
        // Idle and busy periods alternate, so that the buckets are full when a busy period begins.
        let rate = if second / 15 % 2 == 0 { 1 } else { 20 };
        let (mut arrived, mut sent) = (0, 0);
        for budget in &mut budgets {
            for _ in 0..random.random_range(0..=rate) {
                budget.deposit(&service);
                arrived += 1;
                while rate > 1 && budget.try_withdraw(&service) {
                    sent += 1;
                }
            }
        }
        requests.push(arrived);
        extra.push(sent);
    }
    for start in 0..requests.len() - WINDOW_SECONDS {
        let window = start..start + WINDOW_SECONDS;
        let arrived: u32 = requests[window.clone()].iter().sum();
        let sent: u32 = extra[window].iter().sum();
        let most = BOUND.ratio * f64::from(arrived) + BOUND.slack;
        assert!(
            f64::from(sent) <= most,
            "{sent} extra requests for {arrived} requests in the window from second {start}"
        );
    }
    assert!(
        extra.iter().sum::<u32>() > 0,
        "the budget allowed no extra request"
    );
}

/// Guards against extra requests for a service to which no caller has sent a request.
#[test]
fn denies_extra_request_for_unknown_service() {
    let mut budget = Budget::open(BOUND, 9);
    assert!(!budget.try_withdraw("s0"));
}

/// Guards against tokens that are lost when an extra request is not sent.
#[test]
fn refunded_token_can_be_withdrawn_again() {
    let service: Arc<str> = Arc::from("s0");
    let mut budget = Budget::open(BOUND, 58);
    for _ in 0..10 {
        budget.deposit(&service);
    }
    while budget.try_withdraw(&service) {}
    assert!(!budget.try_withdraw(&service));
    budget.refund(&service);
    assert!(budget.try_withdraw(&service));
}
