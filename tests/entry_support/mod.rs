//! Builders of targets, routes and placements for the tests of the parts of an entry instance.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use redwinggrade::process::budget::{Bound, Budget};
use redwinggrade::process::placement::{Observation, Placement};
use redwinggrade::process::registry::TargetKey;
use redwinggrade::process::slot::Slot;
use redwinggrade::time::Moment;
use redwinggrade::version::item::{TargetReport, TargetState};
use redwinggrade::version::route::{
    Destination, Gather, Kind, Limits, Route, Service, Table, TableVersion,
};
use redwinggrade::wire::Cause;

/// The data centre of the node under test.
pub const LOCAL: &str = "dc1";
/// Another data centre.
pub const REMOTE: &str = "dc2";
/// The latency that the routes expect of a subrequest.
pub const EXPECTED_LATENCY: Duration = Duration::from_millis(20);
/// A bound with ample room for extra requests.
pub const AMPLE_BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 100.0,
};

/// Returns the moment this many milliseconds after the time origin of the tests.
pub const fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the report of a warm target that takes new work.
pub fn target_report(service: &str, data_centre: &str, port: u16) -> TargetReport {
    TargetReport {
        version: Arc::from("v1"),
        service: Arc::from(service),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: Arc::from(data_centre),
        slots: 2,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: Some(1),
    }
}

/// Returns a service with this number of connections to each target and this rate for cold targets.
pub fn service(connections: u32, cold_rate: Option<f64>) -> Service {
    Service {
        health_path: "/health".to_owned(),
        connections,
        warmup: ms(3_000),
        cold_rate,
    }
}

/// Returns a route with a latency objective of 150 ms and a timeout of 2 s.
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
        anonymous: false,
        destination,
    }
}

/// Returns the destination of a query over shards `s0`, `s1` and so on.
pub fn gather(shards: usize, least_coverage: f64) -> Destination {
    Destination::AllShards(Gather {
        shards: (0..shards).map(|n| Arc::from(format!("s{n}"))).collect(),
        limit: 3,
        least_coverage,
    })
}

/// Returns the destination of a request to one target of service `s0`.
pub fn single_target() -> Destination {
    Destination::OneTarget(vec![(Arc::from("s0"), 1.0)])
}

/// Returns a table with the route and services `s0`, `s1` and so on.
pub fn table(route: Route, services: usize, cold_rate: Option<f64>) -> Arc<Table> {
    let services = (0..services).map(|n| (Arc::from(format!("s{n}")), service(26, cold_rate)));
    Arc::new(Table::new(
        TableVersion(1),
        Limits::default(),
        [route],
        services.collect::<Vec<_>>(),
    ))
}

/// A placement with the slots of the subrequests that have no result yet.
#[derive(Debug)]
pub struct Node {
    placement: Placement,
    slots: Vec<Slot>,
}

impl Node {
    /// Returns the node of a placement without subrequests.
    pub const fn open(placement: Placement) -> Self {
        Self {
            placement,
            slots: Vec::new(),
        }
    }

    /// Ends all subrequests and returns the placement.
    pub fn into_placement(self) -> Placement {
        self.placement
    }

    /// Chooses a target as [`Placement::pick`] does, and sends it a subrequest.
    pub fn pick(
        &mut self,
        table: &Table,
        service: &str,
        tried: &[TargetKey],
        cause: Cause,
        now: Moment,
    ) -> Option<TargetKey> {
        let expected = EXPECTED_LATENCY;
        let slot = self
            .placement
            .pick(table, service, tried, cause, expected, now)?;
        Some(self.send(slot))
    }

    /// Sends the subrequest of a slot, keeps the slot and returns its target.
    pub fn send(&mut self, slot: Slot) -> TargetKey {
        let target = slot.target();
        slot.is_sent().store(true, Ordering::Relaxed);
        self.slots.push(slot);
        target
    }

    /// Ends a subrequest to the target, if one is open, with a result.
    pub fn observe(&mut self, target: TargetKey, observation: Observation, now: Moment) {
        let open = self.slots.iter().position(|slot| slot.target() == target);
        if let Some(open) = open {
            drop(self.slots.swap_remove(open));
        }
        self.placement.observe(target, observation, now);
    }
}

impl Deref for Node {
    type Target = Placement;

    fn deref(&self) -> &Placement {
        &self.placement
    }
}

impl DerefMut for Node {
    fn deref_mut(&mut self) -> &mut Placement {
        &mut self.placement
    }
}

/// Returns a node without targets in [`LOCAL`], which shares its bounds with one other node.
pub fn placement(bound: Bound) -> Node {
    let mut placement = Placement::open(Arc::from(LOCAL), Budget::open(bound, 2), "n1", 7);
    placement.set_nodes(&["n1".to_owned(), "n2".to_owned()], true, at(0));
    Node::open(placement)
}

/// Adds a target and returns its key.
pub fn add_target(
    placement: &mut Placement,
    name: &str,
    report: TargetReport,
    now: Moment,
) -> TargetKey {
    placement.put(&Arc::from(name), report, now);
    placement
        .registry
        .targets()
        .find(|(_, target)| &*target.name == name)
        .map(|(key, _)| key)
        .expect("the target was added")
}

/// Adds two targets for each service, the first in [`LOCAL`] and the second in [`REMOTE`].
pub fn add_target_pairs(
    placement: &mut Placement,
    services: usize,
    now: Moment,
) -> Vec<[TargetKey; 2]> {
    (0..services)
        .map(|n| {
            let name = format!("s{n}");
            let port = 1_000 + 10 * u16::try_from(n).expect("few services");
            [
                add_target(
                    placement,
                    &format!("{name}-home"),
                    target_report(&name, LOCAL, port),
                    now,
                ),
                add_target(
                    placement,
                    &format!("{name}-away"),
                    target_report(&name, REMOTE, port + 1),
                    now,
                ),
            ]
        })
        .collect()
}
