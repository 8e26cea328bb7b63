//! Targets, routes and placements for the tests of an entry instance.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::sync::Arc;
use std::time::Duration;

use redwinggrade::process::budget::{Bound, Budget};
use redwinggrade::process::placement::Placement;
use redwinggrade::process::registry::TargetKey;
use redwinggrade::time::Moment;
use redwinggrade::version::item::{TargetReport, TargetState};
use redwinggrade::version::route::{
    Destination, Gather, Kind, Limits, Route, Service, Table, TableVersion,
};

pub const HOME: &str = "dc1";
pub const AWAY: &str = "dc2";
pub const EXPECTED: Duration = Duration::from_millis(20);
pub const ROOMY: Bound = Bound {
    ratio: 0.2,
    slack: 100.0,
};

pub const fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn report(service: &str, data_centre: &str, port: u16) -> TargetReport {
    TargetReport {
        service: Arc::from(service),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: Arc::from(data_centre),
        slots: 2,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: Some(1),
    }
}

pub fn service(connections: u32, cold_rate: Option<f64>) -> Service {
    Service {
        health_path: "/health".to_owned(),
        connections,
        warmup: ms(3_000),
        cold_rate,
    }
}

pub fn route(kind: Kind, max_attempts: u32, destination: Destination) -> Route {
    Route {
        name: Arc::from("route"),
        host: "host.example".to_owned(),
        prefix: "/q/".to_owned(),
        kind,
        max_attempts,
        timeout: ms(2_000),
        latency_objective: ms(150),
        priority: 1,
        destination,
    }
}

pub fn gather(shards: usize, least_coverage: f64) -> Destination {
    Destination::AllShards(Gather {
        shards: (0..shards).map(|n| Arc::from(format!("s{n}"))).collect(),
        limit: 3,
        least_coverage,
    })
}

pub fn one() -> Destination {
    Destination::OneTarget(vec![(Arc::from("s0"), 1.0)])
}

/// A table with a route and services `s0`, `s1` and so on.
pub fn table(route: Route, services: usize, cold_rate: Option<f64>) -> Arc<Table> {
    let services = (0..services).map(|n| (Arc::from(format!("s{n}")), service(26, cold_rate)));
    Arc::new(Table::new(
        TableVersion(1),
        Limits::default(),
        [route],
        services.collect::<Vec<_>>(),
    ))
}

/// A placement in [`HOME`] that has settled with two nodes, without targets.
pub fn placement(bound: Bound) -> Placement {
    let mut placement = Placement::open(Arc::from(HOME), Budget::open(bound, 2), "n1", 7);
    placement.set_nodes(&["n1".to_owned(), "n2".to_owned()], true);
    placement
}

/// Adds a target and returns its key.
pub fn add(placement: &mut Placement, name: &str, report: TargetReport, now: Moment) -> TargetKey {
    placement.put(&Arc::from(name), report, now);
    placement
        .registry
        .targets()
        .find(|(_, target)| &*target.name == name)
        .map(|(key, _)| key)
        .expect("the target was added")
}

/// Adds two targets for each of the services, one in each data centre.
pub fn add_pairs(placement: &mut Placement, services: usize, now: Moment) -> Vec<[TargetKey; 2]> {
    (0..services)
        .map(|n| {
            let name = format!("s{n}");
            let port = 1_000 + 10 * u16::try_from(n).expect("few services");
            [
                add(
                    placement,
                    &format!("{name}-home"),
                    report(&name, HOME, port),
                    now,
                ),
                add(
                    placement,
                    &format!("{name}-away"),
                    report(&name, AWAY, port + 1),
                    now,
                ),
            ]
        })
        .collect()
}
