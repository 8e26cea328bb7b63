//! Some leafs of the shards are lost for good. The other leafs of these shards name a limit for some seconds, and
//! are sound afterwards.

use std::io::{Error, Result};
use std::thread::sleep;
use std::time::Duration;

use super::{LEAD, Violations, document, route};
use crate::leaf::{Behaviour, Leaf};
use crate::node::Fleet;
use crate::record::{elapsed, note};
use crate::store::Store;

/// The machines of the small deployments: three in each of three zones.
const MACHINES: u8 = 9;
/// The shards, and how many of the forty leafs are lost. The site loses up to 0.14 of all.
const SHARDS: usize = 20;
const LOST: usize = 5;
/// When the store removes the entry of a leaf that is silent: after three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// The limit that each leaf names, in requests a second, and for how long, in seconds.
const LIMIT: f64 = 1.0;
const LIMITED: f64 = 10.0;
/// For how long the leafs are sound before the requests count, and for how long requests count, in seconds.
const RECOVERY: f64 = 15.0;
const OBSERVED: f64 = 15.0;
/// The pause between two rounds of requests, one to each machine on each route.
const PAUSE: Duration = Duration::from_millis(400);
const WORK: Duration = Duration::from_millis(15);

pub fn run(trouble: bool) -> Result<Violations> {
    let names: Vec<String> = (0..SHARDS)
        .map(|number| format!("proof-viewer-{number}"))
        .collect();
    let mut services = vec!["order-desk"];
    services.extend(names.iter().map(String::as_str));
    let list: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    let gather = format!(
        "\"gather\":[{}],\"top_k\":20,\"min_coverage\":0.89",
        list.join(",")
    );
    let routes = [
        route("/first/", 500, "\"service\":\"order-desk\""),
        route("/later/", 150, &gather),
    ];
    let store = Store::start(Some(1))?;
    store.put("op/config", &document(1, &routes[..1], &services));
    let sound = Behaviour {
        limit: None,
        work: WORK,
    };
    let start_leaf = |id: &str, service: &str, zone: &str| -> Result<Leaf> {
        let leaf = Leaf::start(id, service, zone)?;
        leaf.set_behaviour(sound);
        leaf.report(&store, "ready");
        Ok(leaf)
    };
    let _first = start_leaf("i-first", "order-desk", "se-atl")?;
    let mut pairs = Vec::new();
    for (number, name) in names.iter().enumerate() {
        pairs.push([
            start_leaf(&format!("i-{number:02}-atl"), name, "se-atl")?,
            start_leaf(&format!("i-{number:02}-bhm"), name, "se-bhm")?,
        ]);
    }
    let fleet = Fleet::open(MACHINES)?;
    let zones = ["se-atl", "se-bhm", "se-clt"];
    let mut nodes = Vec::new();
    for number in 1..=MACHINES {
        let zone = zones[usize::from(number - 1) % zones.len()];
        nodes.push(fleet.start(number, zone, store.address, 3)?);
    }
    fleet.wait_ready(&nodes)?;
    sleep(LEAD);
    store.put("op/config", &document(2, &routes, &services));
    note("version 2, which adds the route /later/ over all shards, is acknowledged");
    sleep(Duration::from_secs(4));
    // Sends one request to each machine on each route, and counts those that were served, by route.
    let mut round = 0;
    let mut send_round = |served: &mut [usize; 2]| {
        round += 1;
        for (number, path) in ["/first/1", "/later/1"].into_iter().enumerate() {
            for node in &nodes {
                let id = format!("r{round}-{number}-{}", node.number);
                let answer = fleet.send(node, path, &id);
                served[number] += usize::from(answer.is_ok_and(|it| it.status() == 200));
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
    if trouble {
        for [_, lost] in &pairs[..LOST] {
            lost.crash();
        }
        note(&format!("{LOST} of {} leafs are lost for good", 2 * SHARDS));
        let lost_at = elapsed();
        while elapsed() < lost_at + ENTRY_LIFETIME.as_secs_f64() {
            send_round(&mut served);
            sleep(PAUSE);
        }
        for [_, lost] in &pairs[..LOST] {
            store.remove(&format!("servers/{}", lost.id));
        }
        for [left, _] in &pairs[..LOST] {
            left.set_behaviour(Behaviour {
                limit: Some(LIMIT),
                work: WORK,
            });
        }
        note(&format!(
            "the other leafs of these shards name a limit of {LIMIT} requests a second"
        ));
    }
    let limited_at = elapsed();
    while elapsed() < limited_at + LIMITED {
        send_round(&mut served);
        sleep(PAUSE);
    }
    for [left, _] in &pairs[..LOST] {
        left.set_behaviour(sound);
    }
    note("no leaf names a limit any more; each shard has a sound leaf");
    let lifted_at = elapsed();
    while elapsed() < lifted_at + RECOVERY {
        send_round(&mut served);
        sleep(PAUSE);
    }
    let (mut served, mut sent) = ([0; 2], 0);
    while elapsed() < lifted_at + RECOVERY + OBSERVED {
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
