//! A zone was evacuated and taken back. Then the store is away, and the operator's write of a new evacuation gets
//! through as soon as it has come back from an older copy.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{LEAD, STABLE, Violations, configuration};
use crate::leaf::Leaf;
use crate::node::Fleet;
use crate::record::{elapsed, note};
use crate::store::Store;

/// `evacuate_ms` of the small sites, in seconds.
const EVACUATE: f64 = 5.0;
/// How old the copy is from which the store comes back, and how long the store is away.
const COPY_AGE: Duration = Duration::from_secs(2);
const AWAY: Duration = Duration::from_secs(2);
/// How soon after the store's return the operator's call gets through.
const RETRY: Duration = Duration::from_millis(100);

pub fn run(trouble: bool) -> Result<Violations> {
    let services = ["order-desk"];
    let zones = ["se-atl", "se-bhm", "se-clt"];
    let key = format!("op/evacuate/{}", zones[0]);
    let store = Store::start(Some(1))?;
    store.put(
        "op/config",
        &configuration(1, &[("/a/", services[0])], &services),
    );
    let mut leafs = Vec::new();
    for (number, zone) in (0..).zip(zones.iter().cycle().take(6)) {
        let leaf = Leaf::start(&format!("i-{number}"), services[0], zone)?;
        leaf.report(&store, "ready");
        leafs.push(leaf);
    }
    let evacuated = [&leafs[0], &leafs[3]];
    let fleet = Fleet::open(6)?;
    let mut nodes = Vec::new();
    for number in 1..=6 {
        let zone = zones[usize::from(number - 1) % zones.len()];
        nodes.push(fleet.start(number, zone, store.address, 3)?);
    }
    fleet.wait_ready(&nodes)?;
    sleep(LEAD);
    for node in &nodes {
        let answer = fleet.send(node, "/a/1", &format!("before-{}", node.name))?;
        if answer.status() != 200 {
            return Err(Error::other(
                "a request before the disruption was not served",
            ));
        }
    }
    store.put(&key, "{}");
    sleep(Duration::from_secs(6));
    store.remove(&key);
    sleep(Duration::from_secs(6));
    let copy = store.copy();
    sleep(COPY_AGE);
    if trouble {
        store.set_away(true, true);
        note("the store is away");
        sleep(AWAY);
        store.restore(copy);
        note("the store is back from an older copy");
    }
    sleep(RETRY);
    store.put(&key, "{}");
    let acknowledged = elapsed();
    note("the evacuation is acknowledged");
    let mut violations = Vec::new();
    let mut number = 0;
    while elapsed() < acknowledged + EVACUATE + 4.0 {
        for node in &nodes {
            number += 1;
            let id = format!("after-{number}");
            let sent = elapsed() - acknowledged;
            let _answer = fleet.send(node, "/a/1", &id);
            let is_due = sent > EVACUATE.max(STABLE) + 0.05;
            let reached = evacuated
                .iter()
                .find(|leaf| leaf.runs().iter().any(|run| run.request == id));
            if let Some(leaf) = reached.filter(|_| is_due) {
                violations.push(format!(
                    "EVAC: {id}, sent to {}, reached {} {sent:.2} s after the evacuation of its zone was \
                     acknowledged",
                    node.name, leaf.id
                ));
            }
        }
        sleep(Duration::from_millis(10));
    }
    Ok(violations)
}
