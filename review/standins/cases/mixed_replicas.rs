//! A machine is added while a leaf drains. Its stale list is answered page by page, the first page by a replica
//! that is up to date and the next ones by a replica that lags behind.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{DRAIN, LEAD, STABLE, Violations, configuration};
use crate::leaf::Leaf;
use crate::node::Fleet;
use crate::record::{elapsed, note};
use crate::store::Store;

/// How far the replica lags behind.
const LAG: Duration = Duration::from_secs(2);
/// How long the leaf serves after its report; the page says "at times many seconds".
const LEAF_STAYS: f64 = 16.0;
/// The number of leafs, more than one page of items.
const LEAFS: usize = 60;

pub fn run(trouble: bool) -> Result<Violations> {
    let services = ["order-desk", "ship-tracker"];
    let zones = ["se-atl", "se-bhm", "se-clt"];
    let store = Store::start(Some(1))?;
    store.put(
        "op/config",
        &configuration(1, &[("/a/", services[0]), ("/b/", services[1])], &services),
    );
    let mut leafs = Vec::new();
    for number in 0..LEAFS {
        // Three leafs of ship-tracker, whose keys are the last ones; the others are of order-desk.
        let service = services[usize::from(number >= LEAFS - 3)];
        let leaf = Leaf::start(&format!("i-{number:02}"), service, zones[number % 3])?;
        leaf.report(&store, "ready");
        leafs.push(leaf);
    }
    let fleet = Fleet::open(3)?;
    let mut nodes = Vec::new();
    for (number, zone) in [(1, zones[0]), (2, zones[1])] {
        nodes.push(fleet.start(number, zone, store.address, 2)?);
    }
    fleet.wait_ready(&nodes)?;
    sleep(LEAD);
    for node in &nodes {
        let answer = fleet.send(node, "/b/1", &format!("before-{}", node.name))?;
        if answer.status() != 200 {
            return Err(Error::other(
                "a request before the disruption was not served",
            ));
        }
    }
    let lagging = store.copy();
    let draining = leafs.last().ok_or_else(|| Error::other("no leafs"))?;
    draining.report(&store, "draining");
    let acknowledged = elapsed();
    note(&format!(
        "the report of {} that it drains is acknowledged",
        draining.id
    ));
    sleep(LAG / 2);
    if trouble {
        store.set_lagging(Some(lagging));
        note("stale reads of later pages are answered by a replica that is up to 2 s behind");
    }
    let started = elapsed();
    nodes.push(fleet.start(3, zones[2], store.address, 2)?);
    note("a machine is added");
    fleet.wait_ready(&nodes)?;
    sleep(LAG / 2);
    store.set_lagging(None);
    note("all replicas are up to date");
    let due = (acknowledged + DRAIN).max(started + STABLE) + 0.5;
    sleep(Duration::from_secs_f64((due - elapsed()).max(0.0)));
    let mut violations = Vec::new();
    let mut number = 0;
    while elapsed() < acknowledged + LEAF_STAYS {
        for node in &nodes {
            number += 1;
            let id = format!("after-{number}");
            let late = elapsed() - acknowledged;
            let _answer = fleet.send(node, "/b/1", &id);
            if draining.runs().iter().any(|run| run.request == id) {
                violations.push(format!(
                    "DRAIN: {id}, sent to {}, reached {} {late:.1} s after the report that it drains was \
                     acknowledged", node.name, draining.id
                ));
            }
        }
        sleep(Duration::from_millis(100));
    }
    Ok(violations)
}
