//! Tests of the datagrams that carry heartbeats.

use std::net::SocketAddr;

use redwinggrade::balancing::Load;
use redwinggrade::connection::keyspace::Revision;
use redwinggrade::process::heartbeat::{Reports, decode, encode};
use redwinggrade::process::roster::Heartbeat;
use redwinggrade::quota::Demand;
use redwinggrade::version::item::Node;
use redwinggrade::wire::Incarnation;

fn heartbeat() -> Heartbeat {
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    Heartbeat {
        node: Node {
            name: "n1".to_owned(),
            incarnation: Incarnation(7),
            data_centre: "dc1".to_owned(),
            caller: address(80),
            peer: address(81),
            heartbeat: address(82),
            millicores: 250,
        },
        ready: true,
        fresh: true,
        revision: Revision(1),
    }
}

/// Nodes of two versions must count each other as live during an upgrade.
#[test]
fn heartbeat_is_readable_with_and_without_reports() {
    let alone = rmp_serde::to_vec(&heartbeat()).expect("a heartbeat encodes");
    assert_eq!(encode(&heartbeat(), &Reports::default()), alone);
    assert_eq!(decode(&alone), Some((heartbeat(), Reports::default())));

    let unknown_list = rmp_serde::to_vec(&std::collections::BTreeMap::from([("later", [1, 2])]));
    let followed = [&*alone, &unknown_list.expect("a map encodes")].concat();
    let read_by_older_version: Heartbeat =
        rmp_serde::from_slice(&followed).expect("what follows a heartbeat is ignored");
    assert_eq!(read_by_older_version, heartbeat());
    assert_eq!(decode(&followed), Some((heartbeat(), Reports::default())));
}

/// A report of loads must not be lost on the way, nor hide the reports of other parts.
#[test]
fn heartbeat_carries_loads_beside_other_reports() {
    let reports = Reports {
        demands: vec![Demand {
            tenant: 7,
            admitted: 0,
            per_second: 1.5,
        }],
        loads: vec![Load(1, 12), Load(u32::MAX, u8::MAX)],
        rollouts: Vec::new(),
    };
    let bytes = encode(&heartbeat(), &reports);
    assert_eq!(decode(&bytes), Some((heartbeat(), reports)));
}

/// Bytes after a heartbeat that cannot be read must not hide that its sender lives.
#[test]
fn heartbeat_counts_although_its_reports_are_broken() {
    let alone = rmp_serde::to_vec(&heartbeat()).expect("a heartbeat encodes");
    let broken = [&*alone, &[0xc1, 0xff]].concat();
    assert_eq!(decode(&broken), Some((heartbeat(), Reports::default())));
    assert_eq!(decode(&alone[..alone.len() - 1]), None);
}
