//! Guards the address lists that callers get.

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

fn lists(candidates: &[Candidate], seed: u64) -> Vec<SocketAddr> {
    select(candidates, &mut Pcg64Mcg::seed_from_u64(seed), NOW)
}

/// Guards against lists that send every caller to the same node first.
#[test]
fn first_addresses_are_spread_evenly() {
    let candidates: Vec<_> = (0..9)
        .map(|node| candidate(node, true, 0, State::Serving))
        .collect();
    let mut first = [0; 9];
    for seed in 0..900 {
        first[usize::from(lists(&candidates, seed)[0].port())] += 1;
    }
    assert!(
        first.iter().all(|times| (60..140).contains(times)),
        "{first:?}"
    );
}

/// Guards against callers that are sent to a node which will not serve them.
#[rstest]
#[case(State::Stopping)]
#[case(State::OutOfService)]
#[case(State::Unresponsive)]
fn unusable_nodes_are_never_listed(#[case] state: State) {
    let candidates = [
        candidate(1, true, 0, State::Serving),
        candidate(2, true, 0, state),
    ];
    for seed in 0..20 {
        assert_eq!(lists(&candidates, seed), [address(1)]);
    }
}

/// Guards against full load on a node that has just joined, and against a detour to another data centre.
#[rstest]
#[case(50_001, [1, 2, 3])]
#[case(50_000, [2, 1, 3])]
fn new_nodes_come_last_in_their_data_centre(#[case] joined: u64, #[case] ports: [u16; 3]) {
    let candidates = [
        candidate(1, true, 0, State::Serving),
        candidate(2, true, joined, State::Serving),
        candidate(3, false, 0, State::Serving),
    ];
    let orders: Vec<_> = (0..20).map(|seed| lists(&candidates, seed)).collect();
    assert!(orders.contains(&ports.map(address).to_vec()), "{orders:?}");
    let new_first = orders.iter().any(|order| order[0] == address(2));
    assert_eq!(new_first, joined == 50_000);
    assert!(orders.iter().all(|order| order[2] == address(3)));
}

/// Guards against a list of one data centre only, which is useless when that data centre fails.
#[test]
fn long_lists_keep_room_for_other_data_centres() {
    let candidates: Vec<_> = (0..40)
        .map(|node| candidate(node, node < 30, 0, State::Serving))
        .collect();
    let list = lists(&candidates, 1);
    assert_eq!(list.len(), ADDRESSES_MAX);
    let remote = list.iter().filter(|address| address.port() >= 30).count();
    assert_eq!(remote, REMOTE_ADDRESSES_MIN);
    assert!(
        list[ADDRESSES_MAX - REMOTE_ADDRESSES_MIN..]
            .iter()
            .all(|address| address.port() >= 30)
    );
}
