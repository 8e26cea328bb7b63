//! Tests the roster: which nodes the address lists contain, which nodes are elected to serve callers and to
//! watch the store, and where heartbeats are sent.

mod entry_support;

use std::net::SocketAddr;

use entry_support::{LOCAL, REMOTE, at, ms};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use redwinggrade::connection::keyspace::Revision;
use redwinggrade::process::roster::{
    COPY_DELAY_MAX, COPY_INTERVAL, FIRST_COPIES, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, Heartbeat,
    NODE_EXPIRY, Roster, STANDBY_INTERVAL_ROUNDS, WATCH_ATTEMPT_INTERVAL, WATCH_GAP_MAX,
    copy_delay,
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
    roster.elect(own.unwrap_or(&elsewhere), true, now);
    let mut addresses = roster.addresses(LOCAL, own, &mut random, now);
    addresses.sort();
    addresses
}

fn count_known(roster: &Roster) -> usize {
    usize::from(roster.knows_address(node(2, LOCAL).heartbeat))
}

fn caller_addresses(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|&n| node(n, LOCAL).caller).collect()
}

/// A record in the store does not prove that its node runs, so an address from a record alone may be dead.
#[test]
fn lists_only_nodes_with_heartbeats() {
    let mut roster = Roster::default();
    roster.add_record(node(1, LOCAL), at(0));
    roster.add_record(node(2, LOCAL), at(0));
    roster.record_heartbeat(heartbeat(2, LOCAL), at(10));
    roster.record_heartbeat(heartbeat(3, LOCAL), at(10));
    assert_eq!(
        addresses(&mut roster, None, at(20)),
        caller_addresses(&[2, 3])
    );
}

/// The record of a killed node stays in the store until its lease expires. Callers must not get its address
/// until then.
#[test]
fn removes_silent_node_from_lists_despite_its_record() {
    let mut roster = Roster::default();
    roster.add_record(node(2, LOCAL), at(0));
    roster.record_heartbeat(heartbeat(2, LOCAL), at(0));
    assert_eq!(
        addresses(&mut roster, None, at(0) + HEARTBEAT_TIMEOUT - ms(1)),
        caller_addresses(&[2])
    );
    assert!(addresses(&mut roster, None, at(0) + HEARTBEAT_TIMEOUT).is_empty());
}

/// The store may revoke the lease of a live node. The node must then stay in the lists because its heartbeats
/// still arrive.
#[test]
fn keeps_live_node_in_lists_without_its_record() {
    let mut roster = Roster::default();
    roster.add_record(node(2, LOCAL), at(0));
    roster.remove_record("n2", at(100));
    let mut now = at(100);
    while now < at(100) + NODE_EXPIRY * 2 {
        roster.record_heartbeat(heartbeat(2, LOCAL), now);
        roster.expire(now);
        assert_eq!(addresses(&mut roster, None, now), caller_addresses(&[2]));
        now = now + HEARTBEAT_INTERVAL;
    }
}

/// A stopping node says so in its heartbeat. It must leave the lists at once and not only when its heartbeats
/// time out, or callers would still connect to it.
#[test]
fn removes_stopping_node_from_lists_on_next_heartbeat() {
    let mut roster = Roster::default();
    roster.record_heartbeat(heartbeat(2, LOCAL), at(0));
    roster.record_heartbeat(
        Heartbeat {
            ready: false,
            ..heartbeat(2, LOCAL)
        },
        at(1),
    );
    assert!(addresses(&mut roster, None, at(2)).is_empty());
}

/// Guards against lists with a single address, which leave a caller without a node if that one fails.
#[test]
fn lists_local_nodes_and_fills_short_list_with_remote_ones() {
    let mut roster = Roster::default();
    for (number, data_centre) in [(2, LOCAL), (3, REMOTE), (4, REMOTE)] {
        roster.record_heartbeat(heartbeat(number, data_centre), at(0));
    }
    let own = node(1, LOCAL);
    assert_eq!(
        addresses(&mut roster, Some(&own), at(1)),
        caller_addresses(&[1, 2])
    );
    let filled = addresses(&mut roster, None, at(1));
    assert_eq!(filled.len(), 2);
    assert!(filled.contains(&node(2, LOCAL).caller));
}

/// Guards against nodes that stay known, and are sent heartbeats, for ever after they have left.
#[test]
fn forgets_node_without_sign_of_life() {
    let mut roster = Roster::default();
    roster.record_heartbeat(heartbeat(2, LOCAL), at(0));
    roster.expire(at(0) + NODE_EXPIRY - ms(1));
    assert_eq!(count_known(&roster), 1);
    roster.expire(at(0) + NODE_EXPIRY);
    assert_eq!(count_known(&roster), 0);
}

/// Runs a number of elections, one per heartbeat interval, with a heartbeat of each live node before each of
/// them. Returns the time of the next election.
fn run_elections(
    roster: &mut Roster,
    own: &Node,
    live_nodes: &[Node],
    from: Moment,
    elections: u32,
) -> Moment {
    let mut now = from;
    for _ in 0..elections {
        for node in live_nodes {
            let heartbeat = Heartbeat {
                node: node.clone(),
                ..heartbeat(1, LOCAL)
            };
            roster.record_heartbeat(heartbeat, now);
        }
        roster.elect(own, true, now);
        now = now + HEARTBEAT_INTERVAL;
    }
    now
}

fn local_node(number: u8, millicores: u32) -> Node {
    Node {
        millicores,
        ..node(number, LOCAL)
    }
}

/// Guards against address lists without enough capacity after serving nodes have failed.
#[test]
fn elects_strongest_nodes_and_replaces_silent_ones() {
    let mut roster = Roster::default();
    let own = node(99, "elsewhere");
    let nodes: Vec<Node> = (1..=8).map(|n| local_node(n, 190 + u32::from(n))).collect();
    for node in &nodes {
        roster.add_record(node.clone(), at(0));
    }
    let now = run_elections(&mut roster, &own, &nodes[4..], at(0), 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL),
        caller_addresses(&[5, 6, 7, 8])
    );
    // The heartbeats of the strongest two stop. The next two are elected and send heartbeats.
    let now = run_elections(&mut roster, &own, &nodes[2..6], now, 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL),
        caller_addresses(&[3, 4, 5, 6])
    );
    // The strongest two send heartbeats again.
    let now = run_elections(&mut roster, &own, &nodes[2..], now, 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL),
        caller_addresses(&[5, 6, 7, 8])
    );
}

/// Heartbeats between all nodes would grow with the square of their number, so only serving nodes send them
/// to all.
#[test]
fn sends_heartbeats_to_all_nodes_only_while_serving_callers() {
    let mut roster = Roster::default();
    let own = local_node(9, 100);
    let nodes: Vec<Node> = (1..=4).map(|n| local_node(n, 200)).collect();
    let now = run_elections(&mut roster, &own, &nodes, at(0), 10);
    assert_eq!(roster.heartbeat_addresses(1).count(), 0);
    assert_eq!(
        roster.heartbeat_addresses(STANDBY_INTERVAL_ROUNDS).count(),
        4
    );
    run_elections(&mut roster, &own, &nodes[1..], now, 10);
    assert_eq!(
        roster.heartbeat_addresses(1).count(),
        4,
        "the node does not send heartbeats to all nodes after it has replaced a silent one"
    );
}

/// Each watch is paid for, so one node per data centre watches the store; if it fails or cannot reach the
/// store, the next node must take over, or changes would not arrive.
#[test]
fn elects_one_store_watcher_and_replaces_it() {
    let mut roster = Roster::default();
    let own = local_node(2, 300);
    let first = local_node(1, 400);
    assert!({
        roster.elect(&own, true, at(0));
        roster.watches_store()
    });
    let now = run_elections(&mut roster, &own, std::slice::from_ref(&first), at(0), 3);
    assert!(!roster.watches_store());
    // The first node is alive but cannot reach the store.
    let heartbeat = Heartbeat {
        node: first.clone(),
        fresh: false,
        ..heartbeat(1, LOCAL)
    };
    roster.record_heartbeat(heartbeat, now);
    roster.elect(&own, true, now);
    assert!(roster.watches_store());
    let now = run_elections(&mut roster, &own, &[first], now, 3);
    assert!(!roster.watches_store());
    // The heartbeats of the first node stop.
    roster.elect(&own, true, now + HEARTBEAT_TIMEOUT);
    assert!(roster.watches_store());
}

/// Guards against a paid watch by each of many standby nodes.
#[test]
fn standby_node_does_not_watch_store() {
    let mut roster = Roster::default();
    let own = local_node(9, 100);
    let nodes: Vec<Node> = (1..=4).map(|n| local_node(n, 500)).collect();
    for node in &nodes {
        roster.add_record(node.clone(), at(0));
    }
    roster.elect(&own, true, at(0));
    assert!(!roster.watches_store());
}

/// Guards against a data centre that learns of no change because the store turns its serving nodes away.
#[test]
fn standby_nodes_watch_store_in_turn_while_no_serving_node_does() {
    let mut roster = Roster::default();
    let own = local_node(9, 100);
    let serving = [local_node(1, 500), local_node(2, 500)];
    let standby = [local_node(3, 200), local_node(4, 200)];
    for node in serving.iter().chain(&standby) {
        roster.add_record(node.clone(), at(0));
    }
    let mut watches_at = |reaches_store: bool, fresh: Option<&Node>, now: Moment| {
        for node in &serving {
            let (node, fresh) = (node.clone(), fresh == Some(node));
            let heartbeat = Heartbeat {
                node,
                fresh,
                ..heartbeat(1, LOCAL)
            };
            roster.record_heartbeat(heartbeat, now);
        }
        if let Some(node) = fresh.filter(|node| standby.contains(node)) {
            let node = node.clone();
            let heartbeat = Heartbeat {
                node,
                ..heartbeat(1, LOCAL)
            };
            roster.record_heartbeat(heartbeat, now);
        }
        roster.elect(&own, reaches_store, now);
        let watches = roster.watches_store();
        assert_eq!(roster.heartbeat_addresses(1).count() > 0, watches);
        watches
    };
    let turn = WATCH_GAP_MAX + 2 * WATCH_ATTEMPT_INTERVAL;
    let start = at(1_000);
    assert!(!watches_at(true, Some(&serving[1]), start));
    assert!(!watches_at(true, None, start + ms(300)));
    assert!(!watches_at(true, None, start + ms(299) + turn));
    assert!(watches_at(true, None, start + ms(300) + turn));
    assert!(!watches_at(false, None, start + ms(600) + turn));
    assert!(!watches_at(true, None, at(5_000)));
    assert!(watches_at(true, None, at(5_000) + turn));
    assert!(!watches_at(true, Some(&standby[1]), at(5_300) + turn));
    assert!(!watches_at(true, Some(&serving[0]), at(8_000)));
}

/// Standby nodes need heartbeats of serving nodes in other data centres to compute the same election, but
/// only rarely.
#[test]
fn heartbeats_reach_remote_standby_nodes_in_standby_rounds() {
    let mut roster = Roster::default();
    let own = local_node(9, 900);
    let remote_nodes: Vec<Node> = (1..=6)
        .map(|n| Node {
            millicores: 190 + u32::from(n),
            ..node(n, REMOTE)
        })
        .collect();
    run_elections(&mut roster, &own, &remote_nodes, at(0), 5);
    assert_eq!(roster.heartbeat_addresses(1).count(), 4);
    assert_eq!(
        roster.heartbeat_addresses(STANDBY_INTERVAL_ROUNDS).count(),
        6
    );
}

/// A standby node that replaces another one must not treat nodes that rarely send heartbeats as failed, because
/// its shares of the bounds would then be too large.
#[test]
fn standby_node_counts_nodes_with_rare_heartbeats() {
    let mut roster = Roster::default();
    let own = local_node(9, 100);
    let local_nodes: Vec<Node> = (1..=4).map(|n| local_node(n, 200)).collect();
    let remote_nodes = (5..=8).map(|n| Node {
        millicores: 200,
        ..node(n, REMOTE)
    });
    let remote_nodes: Vec<Node> = remote_nodes.collect();
    let all: Vec<Node> = local_nodes.iter().chain(&remote_nodes).cloned().collect();
    let now = run_elections(&mut roster, &own, &all, at(0), 5);
    let now = run_elections(
        &mut roster,
        &own,
        &local_nodes,
        now,
        STANDBY_INTERVAL_ROUNDS - 1,
    );
    assert_eq!(roster.serving_nodes(now).count(), 8);
}

/// Guards against too few serving nodes where nodes are small: the number follows their processor capacity.
#[rstest]
#[case::half_core(500, 2)]
#[case::quarter_core(250, 3)]
#[case::eighth_core(120, 7)]
fn elects_nodes_until_their_capacity_suffices(#[case] millicores: u32, #[case] serving: usize) {
    let mut roster = Roster::default();
    let own = node(99, "elsewhere");
    let nodes: Vec<Node> = (1..=9).map(|n| local_node(n, millicores)).collect();
    let now = run_elections(&mut roster, &own, &nodes, at(0), 10);
    assert_eq!(
        addresses(&mut roster, None, now - HEARTBEAT_INTERVAL).len(),
        serving
    );
}

/// Guards against a node that counts as failed because single heartbeats to standby nodes were lost.
#[rstest]
#[case::one_lost(1)]
#[case::two_lost(2)]
fn standby_node_tolerates_lost_heartbeats(#[case] lost: u32) {
    let mut roster = Roster::default();
    let own = local_node(9, 100);
    let local_nodes: Vec<Node> = (1..=4).map(|n| local_node(n, 200)).collect();
    let remote = Node {
        millicores: 200,
        ..node(5, REMOTE)
    };
    let all: Vec<Node> = local_nodes.iter().cloned().chain([remote]).collect();
    let now = run_elections(&mut roster, &own, &all, at(0), 5);
    let silent = STANDBY_INTERVAL_ROUNDS * (lost + 1) - 1;
    let now = run_elections(&mut roster, &own, &local_nodes, now, silent);
    assert!(roster.serving_nodes(now).any(|name| name == "n5"));
}

/// A start of 300 nodes at the same moment, as after a loss of power: the nodes that serve callers must not
/// wait for copies of the store that the others read, and the link of the store must not carry all copies at
/// once.
#[test]
fn strongest_nodes_read_store_first_after_start_of_all() {
    let mut nodes: Vec<Node> = (1..=3).map(|n| local_node(n, 500)).collect();
    nodes.extend((4..=60).map(|n| local_node(n, 120)));
    let mut delays: Vec<_> = nodes
        .iter()
        .map(|own| copy_delay(own, nodes.iter()))
        .collect();
    assert!(delays[..3].iter().all(std::time::Duration::is_zero));
    let at_once = delays.iter().filter(|delay| delay.is_zero()).count();
    assert_eq!(at_once, FIRST_COPIES);
    delays.sort_unstable();
    delays.dedup();
    assert_eq!(delays.len(), nodes.len() - FIRST_COPIES + 1);
    assert_eq!(delays[1], COPY_INTERVAL);
}

/// Guards against a node that never reads the store because too many others are before it, or that waits for
/// nodes of other data centres.
#[test]
fn copy_delay_is_bounded_and_counts_own_data_centre() {
    let own = local_node(250, 120);
    let local: Vec<Node> = (1..=249).map(|n| local_node(n, 500)).collect();
    assert_eq!(copy_delay(&own, local.iter()), COPY_DELAY_MAX);
    let remote: Vec<Node> = (1..=249).map(|n| node(n, REMOTE)).collect();
    assert!(copy_delay(&own, remote.iter()).is_zero());
}
