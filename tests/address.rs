//! Tests which node addresses callers get, and in which order.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use redwinggrade::process::address::{
    ADDRESSES_MAX, Candidate, REMOTE_ADDRESSES_MIN, State, select,
};
use redwinggrade::time::Moment;
use rstest::rstest;

const NOW: Moment = Moment::from_millis(60_000);

fn candidate(number: u16, local: bool, first_seen_ms: u64, state: State) -> Candidate {
    Candidate {
        caller_address: address(number),
        local,
        first_seen: Moment::from_millis(first_seen_ms),
        state,
    }
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn address_list(candidates: &[Candidate], seed: u64) -> Vec<SocketAddr> {
    select(candidates, &mut Pcg64Mcg::seed_from_u64(seed), NOW)
}

/// Guards against lists that all begin with the same node, which would get every caller.
#[test]
fn first_addresses_are_spread_evenly() {
    let candidates: Vec<_> = (0..9)
        .map(|node| candidate(node, true, 0, State::Serving))
        .collect();
    let mut first_counts = [0; 9];
    for seed in 0..900 {
        first_counts[usize::from(address_list(&candidates, seed)[0].port())] += 1;
    }
    assert!(
        first_counts.iter().all(|count| (60..140).contains(count)),
        "callers are not spread evenly over the first addresses: {first_counts:?}"
    );
}

/// Guards against callers that are sent to a node which does not serve them.
#[rstest]
#[case(State::Stopping)]
#[case(State::OutOfService)]
#[case(State::Unresponsive)]
fn lists_serving_nodes_only(#[case] state: State) {
    let candidates = [
        candidate(1, true, 0, State::Serving),
        candidate(2, true, 0, state),
    ];
    for seed in 0..20 {
        assert_eq!(address_list(&candidates, seed), [address(1)]);
    }
}

/// Guards against full load on a node that was first seen a moment ago, and against callers that are sent to
/// another data centre instead.
#[rstest]
#[case(50_001, [1, 2, 3])]
#[case(50_000, [2, 1, 3])]
fn ranks_new_nodes_last_in_their_data_centre(#[case] first_seen_ms: u64, #[case] ports: [u16; 3]) {
    let candidates = [
        candidate(1, true, 0, State::Serving),
        candidate(2, true, first_seen_ms, State::Serving),
        candidate(3, false, 0, State::Serving),
    ];
    let orders: Vec<_> = (0..20)
        .map(|seed| address_list(&candidates, seed))
        .collect();
    assert!(
        orders.contains(&ports.map(address).to_vec()),
        "expected order is missing: {orders:?}"
    );
    let new_first = orders.iter().any(|order| order[0] == address(2));
    assert_eq!(new_first, first_seen_ms == 50_000);
    assert!(orders.iter().all(|order| order[2] == address(3)));
}

/// Guards against a full list of one data centre only, which is useless when that data centre fails.
#[test]
fn full_list_keeps_addresses_of_other_data_centres() {
    let candidates: Vec<_> = (0..40)
        .map(|node| candidate(node, node < 30, 0, State::Serving))
        .collect();
    let list = address_list(&candidates, 1);
    assert_eq!(list.len(), ADDRESSES_MAX);
    let remote_count = list.iter().filter(|address| address.port() >= 30).count();
    assert_eq!(remote_count, REMOTE_ADDRESSES_MIN);
    assert!(
        list[ADDRESSES_MAX - REMOTE_ADDRESSES_MIN..]
            .iter()
            .all(|address| address.port() >= 30)
    );
}
