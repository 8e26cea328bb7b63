//! Connections to the store that are idle go silent, as DEPLOY.md says that open connections may. The
//! operator then moves a route to another service.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{CONFIG_APPLY, LEAD, STABLE, Violations, configuration};
use crate::leaf::Leaf;
use crate::node::Fleet;
use crate::proxy::Proxy;
use crate::record::{elapsed, log, note};
use crate::store::Store;

/// Connections without a byte for this long go silent.
const IDLE: Duration = Duration::from_millis(3_500);
/// How long requests are sent after the change must be in force.
const OBSERVED: f64 = 6.0;

pub fn run(trouble: bool) -> Result<Violations> {
    let services = ["order-desk", "ship-tracker"];
    let store = Store::start(Some(1))?;
    let proxy = Proxy::start(store.address)?;
    let old = Leaf::start("i-old", services[0], "se-atl")?;
    let new = Leaf::start("i-new", services[1], "se-bhm")?;
    store.put(
        "op/config",
        &configuration(1, &[("/a/", services[0])], &services),
    );
    old.report(&store, "ready");
    new.report(&store, "ready");
    let fleet = Fleet::open(3)?;
    let mut nodes = Vec::new();
    for (number, zone) in [(1, "se-atl"), (2, "se-bhm"), (3, "se-clt")] {
        nodes.push(fleet.start(number, zone, proxy.address, 3)?);
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
    // A leaf writes its entry, so the watches have just been renewed.
    old.report(&store, "ready");
    sleep(IDLE + Duration::from_millis(300));
    if trouble {
        let count = proxy.silence_idle(IDLE);
        note(&format!(
            "{count} idle connections to the store go silent; new ones work"
        ));
        if count == 0 {
            return Err(Error::other("no connection was idle"));
        }
    }
    sleep(Duration::from_secs_f64(STABLE + 1.0));
    store.put(
        "op/config",
        &configuration(2, &[("/a/", services[1]), ("/b/", services[1])], &services),
    );
    let acknowledged = elapsed();
    note("the operator's version 2, which moves /a/ to ship-tracker and adds /b/, is acknowledged");
    let mut violations = Vec::new();
    let mut number = 0;
    let mut first_new = None;
    while elapsed() < acknowledged + CONFIG_APPLY + OBSERVED {
        for node in &nodes {
            for path in ["/a/1", "/b/1"] {
                number += 1;
                let id = format!("after-{number}");
                let sent = elapsed();
                let answer = fleet.send(node, path, &id);
                let is_due = sent > acknowledged + CONFIG_APPLY + 0.1;
                let handled_as_old = match &answer {
                    Ok(answer) if path == "/b/1" => answer.status() == 404,
                    _ => old.runs().iter().any(|run| run.request == id),
                };
                let late = sent - acknowledged;
                if !handled_as_old
                    && answer.is_ok_and(|it| it.status() == 200)
                    && first_new.is_none()
                {
                    first_new = Some(late);
                    log(&format!(
                        "first request handled by version 2, {late:.1} s after the acknowledgement"
                    ));
                }
                if is_due && handled_as_old {
                    violations.push(format!(
                        "CONFIG: {id} was sent to {} {late:.1} s after the acknowledgement of version 2, \
                         and handled as version 1 says ({path})", node.name
                    ));
                }
            }
        }
        sleep(Duration::from_millis(150));
    }
    Ok(violations)
}
