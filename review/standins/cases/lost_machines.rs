//! The leafs of services that are seldom used name a limit. Machines are lost, and after a pause the services
//! are used again.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{LEAD, Violations, configuration};
use crate::leaf::{Behaviour, Leaf};
use crate::node::Fleet;
use crate::record::note;
use crate::store::Store;

/// The machines of the small deployments, three in each of three zones, and how many of them are lost.
const MACHINES: u8 = 9;
const LOST: usize = 6;
/// The limit that the leafs name, in requests a second. They never get half of it.
const LIMIT: f64 = 10.0;
/// The services on the routes that are added later; each has one leaf.
const LATER_SERVICES: usize = 12;
/// How long the later routes are not used.
const PAUSE: Duration = Duration::from_secs(13);
/// The number of rounds of requests, one to each machine on each route, and the pause between them.
const ROUNDS: usize = 5;
const ROUND_PAUSE: Duration = Duration::from_secs(2);

pub fn run(trouble: bool) -> Result<Violations> {
    let names: Vec<String> = (0..LATER_SERVICES)
        .map(|number| format!("desk-{number}"))
        .collect();
    let prefixes: Vec<String> = (0..LATER_SERVICES)
        .map(|number| format!("/p{number}/"))
        .collect();
    let mut services = vec!["order-desk"];
    services.extend(names.iter().map(String::as_str));
    let zones = ["se-atl", "se-bhm", "se-clt"];
    let store = Store::start(Some(1))?;
    let mut routes = vec![("/first/", services[0])];
    store.put("op/config", &configuration(1, &routes, &services));
    let mut leafs = Vec::new();
    for (number, service) in services.iter().enumerate() {
        let leaf = Leaf::start(&format!("i-{number}"), service, zones[number % 3])?;
        let limit = (number > 0).then_some(LIMIT);
        leaf.set_behaviour(Behaviour {
            limit,
            ..Behaviour::default()
        });
        leaf.report(&store, "ready");
        leafs.push(leaf);
    }
    let fleet = Fleet::open(MACHINES)?;
    let mut nodes = Vec::new();
    for number in 1..=MACHINES {
        let zone = zones[usize::from(number - 1) % zones.len()];
        nodes.push(fleet.start(number, zone, store.address, 3)?);
    }
    fleet.wait_ready(&nodes)?;
    sleep(LEAD);
    routes.extend(
        prefixes
            .iter()
            .map(String::as_str)
            .zip(services[1..].iter().copied()),
    );
    store.put("op/config", &configuration(2, &routes, &services));
    note(&format!(
        "version 2, which adds {LATER_SERVICES} routes, is acknowledged"
    ));
    sleep(Duration::from_secs(4));
    for round in 0..3 {
        for node in &nodes {
            for (route, (prefix, _)) in routes.iter().enumerate() {
                let answer = fleet.send(
                    node,
                    prefix,
                    &format!("early-{round}-{}-{route}", node.number),
                )?;
                if answer.status() != 200 {
                    return Err(Error::other(
                        "a request before the disruption was not served",
                    ));
                }
            }
        }
        sleep(ROUND_PAUSE);
    }
    if trouble {
        for node in nodes.drain(..LOST) {
            fleet.kill(&node);
        }
        note(&format!("{LOST} of {MACHINES} machines are lost for good"));
    }
    sleep(PAUSE);
    let (mut first, mut later, mut unanswered) = ((0, 0), (0, 0), Vec::new());
    for round in 0..ROUNDS {
        for node in &nodes {
            for (route, (prefix, _)) in routes.iter().enumerate() {
                let id = format!("late-{round}-{}-{route}", node.number);
                let answer = fleet.send(node, prefix, &id);
                let (sent, served) = if route == 0 { &mut first } else { &mut later };
                *sent += 1;
                match answer {
                    Ok(answer) => *served += usize::from(answer.status() == 200),
                    Err(e) => unanswered.push(format!(
                        "{id} was sent to {} and got no answer: {e}",
                        node.name
                    )),
                }
            }
        }
        sleep(ROUND_PAUSE);
    }
    for node in &nodes {
        let output = fleet.output(node);
        let panics = output
            .lines()
            .filter(|line| line.contains("panicked"))
            .count();
        note(&format!("{} has written of {panics} panics", node.name));
    }
    note(&format!(
        "of {} requests on the first route {} were served; of {} on routes that were added later {} were served, \
         and {} got no answer at all",
        first.0,
        first.1,
        later.0,
        later.1,
        unanswered.len()
    ));
    // "get 20 or more requests on routes that were added later, and serve them less than a quarter as often"
    let is_broken = later.0 >= 20 && 4 * later.1 * first.0 < first.1 * later.0;
    if !is_broken {
        return Ok(Vec::new());
    }
    let summary = format!(
        "CONFIG: {} of {} requests on the routes that were added later were served, and {} of {} on the first",
        later.1, later.0, first.1, first.0
    );
    Ok([vec![summary], unanswered].concat())
}
