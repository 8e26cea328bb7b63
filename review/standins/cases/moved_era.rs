//! The store comes back from a copy some seconds old, and `Store-Era` rises from 0 to 1. The operator and the
//! leafs write again what was lost, and the operator then changes the configuration.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{CONFIG_APPLY, LEAD, OUTER, Violations, configuration};
use crate::leaf::Leaf;
use crate::node::Fleet;
use crate::record::{elapsed, note};
use crate::store::Store;

/// How old the copy is from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(3);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// How long requests are sent after the change must be in force.
const OBSERVED: f64 = 6.0;
/// The number of leafs of each service.
const LEAFS: usize = 10;

pub fn run(trouble: bool) -> Result<Violations> {
    let services = ["order-desk", "ship-tracker"];
    // NEWS names no first number. `FIRST_ERA` replaces it for comparison.
    let first_era = std::env::var("FIRST_ERA")
        .ok()
        .and_then(|era| era.parse().ok());
    let first_era = first_era.unwrap_or(0);
    let store = Store::start(Some(first_era))?;
    let zones = ["se-atl", "se-bhm", "se-clt"];
    let start = |service: &str, prefix: &str| -> Result<Vec<Leaf>> {
        (0..LEAFS)
            .map(|number| Leaf::start(&format!("{prefix}-{number}"), service, zones[number % 3]))
            .collect()
    };
    let (old, new) = (start(services[0], "i-old")?, start(services[1], "i-new")?);
    store.put(
        "op/config",
        &configuration(1, &[("/a/", services[0])], &services),
    );
    for leaf in old.iter().chain(&new) {
        leaf.report(&store, "ready");
    }
    let fleet = Fleet::open(3)?;
    let mut nodes = Vec::new();
    for (number, zone) in (1..).zip(zones) {
        nodes.push(fleet.start(number, zone, store.address, 3)?);
    }
    fleet.wait_ready(&nodes)?;
    sleep(LEAD);
    let copy = store.copy();
    // What is lost: the leafs write their entries, and the operator version 2.
    for leaf in old.iter().chain(&new) {
        leaf.report(&store, "ready");
    }
    let second = configuration(2, &[("/a/", services[0]), ("/c/", services[0])], &services);
    store.put("op/config", &second);
    sleep(COPY_AGE);
    for node in &nodes {
        let answer = fleet.send(node, "/c/1", &format!("before-{}", node.name))?;
        if answer.status() != 200 {
            return Err(Error::other(
                "a request before the disruption was not served",
            ));
        }
    }
    if trouble {
        let before = store.revision();
        store.set_away(true, false);
        note("the store is away");
        sleep(AWAY);
        store.restore(copy);
        note(&format!(
            "the store is back from a copy of {COPY_AGE:?} ago: Store-Era {}, revision {} after {before}",
            first_era + 1,
            store.revision()
        ));
        sleep(Duration::from_millis(500));
        store.put("op/config", &second);
    }
    store.put(
        "op/config",
        &configuration(3, &[("/a/", services[1]), ("/b/", services[1])], &services),
    );
    let acknowledged = elapsed();
    note("the operator's version 3, which moves /a/ to ship-tracker and adds /b/, is acknowledged");
    if trouble {
        for leaf in old.iter().chain(&new) {
            leaf.report(&store, "ready");
        }
    }
    // An unstable store stretches the bound by OUTER at most; nothing is judged before that has passed.
    let due = acknowledged + CONFIG_APPLY + OUTER + 1.0;
    sleep(Duration::from_secs_f64(due - elapsed()));
    let mut violations = Vec::new();
    let mut number = 0;
    while elapsed() < due + OBSERVED {
        for node in &nodes {
            for path in ["/a/1", "/b/1"] {
                number += 1;
                let id = format!("after-{number}");
                let late = elapsed() - acknowledged;
                let answer = fleet.send(node, path, &id);
                let ran_old = old
                    .iter()
                    .any(|leaf| leaf.runs().iter().any(|run| run.request == id));
                let refused = path == "/b/1" && answer.is_ok_and(|it| it.status() == 404);
                if ran_old || refused {
                    violations.push(format!(
                        "CONFIG: {id} was sent to {} {late:.1} s after the acknowledgement of version 3, \
                         and handled as version 2 says ({path})", node.name
                    ));
                }
            }
        }
        sleep(Duration::from_millis(200));
    }
    Ok(violations)
}
