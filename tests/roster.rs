//! Guards the address lists: nodes that were killed leave them, nodes that the store forgot stay.

mod entry_support;

use std::net::SocketAddr;

use entry_support::{AWAY, HOME, at, ms};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use redwinggrade::connection::keyspace::Revision;
use redwinggrade::process::roster::{
    EXPIRY, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, Heartbeat, Roster, STANDBY_INTERVAL_ROUNDS,
};
use redwinggrade::time::Moment;
use redwinggrade::version::item::Node;
use redwinggrade::wire::Incarnation;
use rstest::rstest;

fn node(number: u8, data_centre: &str) -> Node {
    Node {
        name: format!("n{number}"),
        incarnation: Incarnation(1),
        data_centre: data_centre.to_owned(),
        caller: SocketAddr::from(([10, 0, 0, number], 80)),
        peer: SocketAddr::from(([10, 0, 0, number], 81)),
        heartbeat: SocketAddr::from(([10, 0, 0, number], 82)),
        millicores: 250,
    }
}

fn heartbeat(number: u8, data_centre: &str) -> Heartbeat {
    Heartbeat {
        node: node(number, data_centre),
        ready: true,
        fresh: true,
        revision: Revision(1),
    }
}

fn addresses(roster: &mut Roster, own: Option<&Node>, now: Moment) -> Vec<SocketAddr> {
    let mut random = Pcg32::seed_from_u64(3);
    let elsewhere = node(99, "elsewhere");
    roster.elect(own.unwrap_or(&elsewhere), now);
    let mut addresses = roster.addresses(HOME, own, &mut random, now);
    addresses.sort();
    addresses
}

fn known(roster: &Roster) -> usize {
    usize::from(roster.knows_address(node(2, HOME).heartbeat))
}

fn callers(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|&n| node(n, HOME).caller).collect()
}

#[test]
fn only_nodes_that_were_heard_are_given_to_callers() {
    let mut roster = Roster::default();
    roster.add_record(node(1, HOME), at(0));
    roster.add_record(node(2, HOME), at(0));
    roster.record_heartbeat(heartbeat(2, HOME), at(10));
    roster.record_heartbeat(heartbeat(3, HOME), at(10));
    assert_eq!(addresses(&mut roster, None, at(20)), callers(&[2, 3]));
}

#[test]
fn a_node_that_falls_silent_leaves_the_lists_although_its_record_stays() {
    let mut roster = Roster::default();
    roster.add_record(node(2, HOME), at(0));
    roster.record_heartbeat(heartbeat(2, HOME), at(0));
    assert_eq!(
        addresses(&mut roster, None, at(0) + HEARTBEAT_TIMEOUT - ms(1)),
        callers(&[2])
    );
    assert!(addresses(&mut roster, None, at(0) + HEARTBEAT_TIMEOUT).is_empty());
}

#[test]
fn a_living_node_stays_although_the_store_removed_its_record() {
    let mut roster = Roster::default();
    roster.add_record(node(2, HOME), at(0));
    roster.remove_record("n2", at(100));
    let mut now = at(100);
    while now < at(100) + EXPIRY * 2 {
        roster.record_heartbeat(heartbeat(2, HOME), now);
        roster.expire(now);
        assert_eq!(addresses(&mut roster, None, now), callers(&[2]));
        now = now + HEARTBEAT_INTERVAL;
    }
}

#[test]
fn a_stopping_node_leaves_the_lists_with_its_next_pulse() {
    let mut roster = Roster::default();
    roster.record_heartbeat(heartbeat(2, HOME), at(0));
    roster.record_heartbeat(
        Heartbeat {
            ready: false,
            ..heartbeat(2, HOME)
        },
        at(1),
    );
    assert!(addresses(&mut roster, None, at(2)).is_empty());
}

#[test]
fn the_nearest_nodes_are_given_and_others_fill_a_short_list() {
    let mut roster = Roster::default();
    for (number, data_centre) in [(2, HOME), (3, AWAY), (4, AWAY)] {
        roster.record_heartbeat(heartbeat(number, data_centre), at(0));
    }
    let own = node(1, HOME);
    assert_eq!(addresses(&mut roster, Some(&own), at(1)), callers(&[1, 2]));
    let filled = addresses(&mut roster, None, at(1));
    assert_eq!(filled.len(), 2);
    assert!(filled.contains(&node(2, HOME).caller));
}

#[test]
fn a_node_that_gave_no_sign_for_long_is_forgotten() {
    let mut roster = Roster::default();
    roster.record_heartbeat(heartbeat(2, HOME), at(0));
    roster.expire(at(0) + EXPIRY - ms(1));
    assert_eq!(known(&roster), 1);
    roster.expire(at(0) + EXPIRY);
    assert_eq!(known(&roster), 0);
}

/// Lets `elections` pass, in each of which the nodes in `living` are heard.
fn pass(roster: &mut Roster, own: &Node, living: &[Node], from: Moment, elections: u32) -> Moment {
    let mut now = from;
    for _ in 0..elections {
        for node in living {
            let heartbeat = Heartbeat {
                node: node.clone(),
                ..heartbeat(1, HOME)
            };
            roster.record_heartbeat(heartbeat, now);
        }
        roster.elect(own, now);
        now = now + HEARTBEAT_INTERVAL;
    }
    now
}

fn strong(number: u8, millicores: u32) -> Node {
    Node {
        millicores,
        ..node(number, HOME)
    }
}

#[test]
fn the_strongest_nodes_serve_callers_and_others_stand_in_for_silent_ones() {
    let mut roster = Roster::default();
    let own = node(99, "elsewhere");
    let nodes: Vec<Node> = (1..=8).map(|n| strong(n, 190 + u32::from(n))).collect();
    for node in &nodes {
        roster.add_record(node.clone(), at(0));
    }
    let now = pass(&mut roster, &own, &nodes[4..], at(0), 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL),
        callers(&[5, 6, 7, 8])
    );
    // The strongest two fall silent; the next two are expected to speak, and do.
    let now = pass(&mut roster, &own, &nodes[2..6], now, 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL),
        callers(&[3, 4, 5, 6])
    );
    // They come back.
    let now = pass(&mut roster, &own, &nodes[2..], now, 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL),
        callers(&[5, 6, 7, 8])
    );
}

#[test]
fn a_node_speaks_to_everyone_only_while_it_serves_callers() {
    let mut roster = Roster::default();
    let own = strong(9, 100);
    let nodes: Vec<Node> = (1..=4).map(|n| strong(n, 200)).collect();
    let now = pass(&mut roster, &own, &nodes, at(0), 10);
    assert_eq!(roster.heartbeat_addresses(1).count(), 0);
    assert_eq!(
        roster.heartbeat_addresses(STANDBY_INTERVAL_ROUNDS).count(),
        4
    );
    pass(&mut roster, &own, &nodes[1..], now, 10);
    assert_eq!(
        roster.heartbeat_addresses(1).count(),
        4,
        "it stands in for a silent node"
    );
}

#[test]
fn one_node_of_a_data_centre_watches_the_store_and_the_next_stands_in_for_it() {
    let mut roster = Roster::default();
    let own = strong(2, 300);
    let first = strong(1, 400);
    assert!({
        roster.elect(&own, at(0));
        roster.watches_store()
    });
    let now = pass(&mut roster, &own, std::slice::from_ref(&first), at(0), 3);
    assert!(!roster.watches_store());
    // It lives but cannot reach the store.
    let heartbeat = Heartbeat {
        node: first.clone(),
        fresh: false,
        ..heartbeat(1, HOME)
    };
    roster.record_heartbeat(heartbeat, now);
    roster.elect(&own, now);
    assert!(roster.watches_store());
    let now = pass(&mut roster, &own, &[first], now, 3);
    assert!(!roster.watches_store());
    // It falls silent.
    roster.elect(&own, now + HEARTBEAT_TIMEOUT);
    assert!(roster.watches_store());
}

#[test]
fn a_node_that_serves_no_caller_does_not_watch_the_store() {
    let mut roster = Roster::default();
    let own = strong(9, 100);
    let nodes: Vec<Node> = (1..=4).map(|n| strong(n, 500)).collect();
    for node in &nodes {
        roster.add_record(node.clone(), at(0));
    }
    roster.elect(&own, at(0));
    assert!(!roster.watches_store());
}

#[test]
fn pulses_reach_resting_nodes_of_other_data_centres_now_and_then() {
    let mut roster = Roster::default();
    let own = strong(9, 900);
    let away: Vec<Node> = (1..=6)
        .map(|n| Node {
            millicores: 190 + u32::from(n),
            ..node(n, AWAY)
        })
        .collect();
    pass(&mut roster, &own, &away, at(0), 5);
    assert_eq!(roster.heartbeat_addresses(1).count(), 4);
    assert_eq!(
        roster.heartbeat_addresses(STANDBY_INTERVAL_ROUNDS).count(),
        6
    );
}

/// A resting node that stands in for another one must not take the others for gone, whose pulses come
/// rarely: its shares of the bounds would be too large.
#[test]
fn a_resting_node_counts_nodes_that_it_hears_rarely() {
    let mut roster = Roster::default();
    let own = strong(9, 100);
    let near: Vec<Node> = (1..=4).map(|n| strong(n, 200)).collect();
    let far = (5..=8).map(|n| Node {
        millicores: 200,
        ..node(n, AWAY)
    });
    let far: Vec<Node> = far.collect();
    let all: Vec<Node> = near.iter().chain(&far).cloned().collect();
    let now = pass(&mut roster, &own, &all, at(0), 5);
    let now = pass(&mut roster, &own, &near, now, STANDBY_INTERVAL_ROUNDS - 1);
    assert_eq!(roster.serving_nodes(now).count(), 8);
}

#[rstest]
#[case::strong(500, 2)]
#[case::quarters(250, 3)]
#[case::weak(120, 7)]
fn as_many_nodes_serve_as_have_the_processor_time(#[case] millicores: u32, #[case] serving: usize) {
    let mut roster = Roster::default();
    let own = node(99, "elsewhere");
    let nodes: Vec<Node> = (1..=9).map(|n| strong(n, millicores)).collect();
    let now = pass(&mut roster, &own, &nodes, at(0), 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL).len(),
        serving
    );
}
