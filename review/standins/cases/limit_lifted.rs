//! The only leaf of a service names a limit for some seconds. Afterwards it is sound, and the service's route is
//! used as before.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{LEAD, STABLE, Violations, configuration};
use crate::leaf::{Behaviour, Leaf};
use crate::node::Fleet;
use crate::record::{elapsed, note};
use crate::store::Store;

/// The machines of the small deployments: three in each of three zones.
const MACHINES: u8 = 9;
/// The limit that the leaf names, in requests a second, and for how long it does.
const LIMIT: f64 = 0.5;
const LIMITED: f64 = 10.0;
/// How long the leaf is sound before the requests count.
const RECOVERY: f64 = 15.0;
/// For how long requests count.
const OBSERVED: f64 = 15.0;
/// The pause between two rounds of requests, one to each machine on each route.
const PAUSE: Duration = Duration::from_millis(400);
const WORK: Duration = Duration::from_millis(40);

pub fn run(trouble: bool) -> Result<Violations> {
    let services = ["order-desk", "ship-tracker"];
    let zones = ["se-atl", "se-bhm", "se-clt"];
    let store = Store::start(Some(1))?;
    store.put(
        "op/config",
        &configuration(1, &[("/first/", services[0])], &services),
    );
    let first = Leaf::start("i-first", services[0], zones[0])?;
    let later = Leaf::start("i-later", services[1], zones[1])?;
    for leaf in [&first, &later] {
        leaf.set_behaviour(Behaviour {
            work: WORK,
            ..Behaviour::default()
        });
        leaf.report(&store, "ready");
    }
    let fleet = Fleet::open(MACHINES)?;
    let mut nodes = Vec::new();
    for number in 1..=MACHINES {
        let zone = zones[usize::from(number - 1) % zones.len()];
        nodes.push(fleet.start(number, zone, store.address, 3)?);
    }
    fleet.wait_ready(&nodes)?;
    sleep(LEAD);
    let routes = [("/first/", services[0]), ("/later/", services[1])];
    store.put("op/config", &configuration(2, &routes, &services));
    note("version 2, which adds the route /later/, is acknowledged");
    sleep(Duration::from_secs(4));
    // Returns how many requests were served on the first and on the later route, and how many were sent on each.
    let mut round = 0;
    let mut send_round = |served: &mut [usize; 2]| {
        round += 1;
        for (route, path) in ["/first/1", "/later/1"].into_iter().enumerate() {
            for node in &nodes {
                let answer = fleet.send(node, path, &format!("r{round}-{route}-{}", node.number));
                served[route] += usize::from(answer.is_ok_and(|it| it.status() == 200));
            }
        }
        nodes.len()
    };
    let mut served = [0; 2];
    let sent = send_round(&mut served);
    if served != [sent, sent] {
        return Err(Error::other(
            "a request before the disruption was not served",
        ));
    }
    let start = elapsed();
    if trouble {
        later.set_behaviour(Behaviour {
            limit: Some(LIMIT),
            work: WORK,
            ..Behaviour::default()
        });
        note(&format!(
            "{} names its limit of {LIMIT} requests a second from now on",
            later.id
        ));
    }
    while elapsed() < start + LIMITED {
        send_round(&mut served);
        sleep(PAUSE);
    }
    later.set_behaviour(Behaviour {
        work: WORK,
        ..Behaviour::default()
    });
    note(&format!("{} names no limit any more", later.id));
    let lifted = elapsed();
    while elapsed() < lifted + RECOVERY.max(STABLE) {
        send_round(&mut served);
        sleep(PAUSE);
    }
    let (mut served, mut sent) = ([0; 2], 0);
    while elapsed() < lifted + RECOVERY + OBSERVED {
        sent += send_round(&mut served);
        sleep(PAUSE);
    }
    note(&format!(
        "from {RECOVERY} to {} s after that, of {sent} requests on each route, {} were served on the first and \
         {} on the later route",
        RECOVERY + OBSERVED,
        served[0],
        served[1]
    ));
    if sent >= 20 && served[1] * 4 < served[0] {
        return Ok(vec![format!(
            "CONFIG: {} of {sent} requests on the route that was added later were served, {} on the first route",
            served[1], served[0]
        )]);
    }
    Ok(Vec::new())
}
