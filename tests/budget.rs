//! Guards the shared bound on extra requests: the shares of all nodes add up to less than the bound in
//! every window, whatever the nodes do.

use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redwinggrade::process::budget::{Bound, Budget};
use rstest::rstest;

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 58.0,
};

#[rstest]
#[case::one_node(1)]
#[case::today(9)]
#[case::with_spares(12)]
#[case::more_nodes_than_tokens(58)]
fn the_shares_keep_the_bound_in_every_window(#[case] nodes: usize) {
    const WINDOW: usize = 10;
    let service: Arc<str> = Arc::from("s0");
    let mut random = Pcg32::seed_from_u64(11);
    let mut budgets: Vec<Budget> = (0..nodes).map(|_| Budget::open(BOUND, nodes)).collect();
    let (mut requests, mut extra) = (Vec::new(), Vec::new());
    for second in 0..120 {
        // Quiet and busy spells alternate, so that buckets are full when a spell begins.
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
    for start in 0..requests.len() - WINDOW {
        let window = start..start + WINDOW;
        let arrived: u32 = requests[window.clone()].iter().sum();
        let sent: u32 = extra[window].iter().sum();
        let most = BOUND.ratio * f64::from(arrived) + BOUND.slack;
        assert!(
            f64::from(sent) <= most,
            "{sent} extra for {arrived} requests from second {start}"
        );
    }
    assert!(extra.iter().sum::<u32>() > 0, "the budget allows some");
}

#[test]
fn an_unknown_service_has_no_budget() {
    let mut budget = Budget::open(BOUND, 9);
    assert!(!budget.try_withdraw("s0"));
}

#[test]
fn a_refunded_token_can_be_taken_again() {
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
