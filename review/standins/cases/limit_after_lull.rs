//! One of the two leafs of a service names a limit. The service is not used for half a minute, and then gets a
//! few requests at every machine.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{LEAD, STABLE, Violations, configuration};
use crate::leaf::{Behaviour, Leaf};
use crate::node::Fleet;
use crate::record::{elapsed, log, note};
use crate::store::Store;

/// The machines of the small deployments: three in each of three zones.
const MACHINES: u8 = 9;
/// The limit that the leaf names, in requests a second.
const LIMIT: f64 = 0.3;
/// The window of rule LIMIT, in seconds.
const WINDOW: f64 = 4.0;
/// The time that the leafs work on a request.
const WORK: Duration = Duration::from_millis(120);
/// How long the service is not used.
const LULL: Duration = Duration::from_secs(30);
/// The number of requests that each machine gets at the end of the lull.
const REQUESTS: usize = 3;

pub fn run(trouble: bool) -> Result<Violations> {
    let services = ["ship-tracker"];
    let zones = ["se-atl", "se-bhm", "se-clt"];
    let store = Store::start(Some(1))?;
    store.put(
        "op/config",
        &configuration(1, &[("/a/", services[0])], &services),
    );
    let leafs = [
        Leaf::start("i-needy", services[0], zones[0])?,
        Leaf::start("i-sound", services[0], zones[1])?,
    ];
    for leaf in &leafs {
        leaf.report(&store, "ready");
        leaf.set_behaviour(Behaviour {
            work: WORK,
            ..Behaviour::default()
        });
    }
    let fleet = Fleet::open(MACHINES)?;
    let mut nodes = Vec::new();
    for number in 1..=MACHINES {
        let zone = zones[usize::from(number - 1) % zones.len()];
        nodes.push(fleet.start(number, zone, store.address, 3)?);
    }
    fleet.wait_ready(&nodes)?;
    sleep(LEAD);
    let needy = &leafs[0];
    let limit = trouble.then_some(LIMIT);
    needy.set_behaviour(Behaviour {
        limit,
        work: WORK,
        ..Behaviour::default()
    });
    let named = elapsed();
    if trouble {
        note(&format!(
            "{} names its limit of {LIMIT} requests a second from now on",
            needy.id
        ));
    }
    // Each machine passes on an answer of the leaf that names the limit.
    let mut number = 0;
    let mut send_round = |name: &str, requests: usize, path: &str| {
        std::thread::scope(|scope| {
            for node in &nodes {
                for _ in 0..requests {
                    number += 1;
                    let (fleet, id) = (&fleet, format!("{name}-{number}"));
                    scope.spawn(move || fleet.send(node, path, &id).is_ok());
                }
            }
        });
    };
    while elapsed() < named + STABLE / 2.0 {
        send_round("early", 2, "/a/1");
        sleep(Duration::from_millis(300));
    }
    let early = needy.runs().len();
    if early < nodes.len() {
        return Err(Error::other("too few requests have reached the leaf"));
    }
    while elapsed() < named + STABLE + WINDOW {
        sleep(Duration::from_millis(500));
        send_round("steady", 1, "/a/1");
    }
    note("the service is not used for a while");
    sleep(LULL);
    note("every machine gets some requests again");
    send_round("late", REQUESTS, "/a/1");
    sleep(Duration::from_secs(1));
    // The rule, from STABLE after the limit was named first.
    let arrivals: Vec<f64> = needy
        .runs()
        .iter()
        .map(|run| run.at)
        .filter(|at| *at >= named + STABLE)
        .collect();
    let allowed = 1.5 * LIMIT * WINDOW + 5.0;
    let most = arrivals
        .iter()
        .map(|start| {
            (
                arrivals
                    .iter()
                    .filter(|at| **at >= *start && **at < start + WINDOW)
                    .count(),
                *start,
            )
        })
        .max_by_key(|(count, _)| *count);
    let (most, start) = most.unwrap_or_default();
    log(&format!(
        "arrivals at {} after the limit is due: {arrivals:?}",
        needy.id
    ));
    note(&format!(
        "{} got {most} requests in {WINDOW} s at most; the limit of {LIMIT} allows {allowed}",
        needy.id
    ));
    if trouble && most as f64 > allowed {
        return Ok(vec![format!(
            "LIMIT: {} got {most} requests in {WINDOW} s from {start:.1} s, more than {allowed}",
            needy.id
        )]);
    }
    Ok(Vec::new())
}
