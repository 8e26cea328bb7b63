//! The event loop: runs the decision code of all nodes against model targets in virtual time.
//!
//! The model has what the decisions see: hops between callers, nodes and targets with delay and loss,
//! service times, slots, cold starts, and directories that are as stale as the exchanges make them.
//! Simplifications: a lost message arrives one retransmission later; a node reads all summaries,
//! including those of its own targets, once per exchange period; processor time costs nothing; the
//! caches of callers' address lists run out evenly over their lifetime.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;
use redwinggrade::process::cell::{self, Cell};
use redwinggrade::process::gate::{self, Completion, Gate, Job, JobKey};
use redwinggrade::process::gateway::{STATUS_PERIOD, VERSION_GONE_HOLD};
use redwinggrade::request::hedge::HedgeController;
use redwinggrade::request::scatter::{
    Action, Event as QueryEvent, Plan, Scatter, Selection, Verdict,
};
use redwinggrade::time::Moment;
use redwinggrade::version::directory::{self, Directory};
use redwinggrade::version::policy;
use redwinggrade::wire::exchange::{Holding, Record};
use redwinggrade::wire::{
    Exchange, Incarnation, Load, Member, Outcome, Reason, Subrequest, Version,
};
use slotmap::SlotMap;

use crate::policy::Policy;
use crate::scenario::{Change, NEW, OLD, Scenario, new_shards};
use crate::size::{DATA_CENTRES, Index, NODES};
use crate::stats::Stats;
use crate::target::{Dispatch, Service, Target};

/// Queries begin at this moment; before it, the cells form.
pub const START: Moment = Moment::from_millis(10_000);
/// The first part of the queries is not measured, because no latencies are known yet.
pub const SETTLE: Duration = Duration::from_secs(2);
/// The share of messages between data centres that are lost; an assumption, as section 1 of the
/// design gives none.
pub const LOSS: f64 = 0.001;
/// Round trips until a lost message is sent again, as a tail loss probe does.
pub const PROBE_ROUND_TRIPS: u32 = 2;
/// One-way delay within a data centre, without its variable part of up to the same again.
pub const LOCAL_HOP: Duration = Duration::from_micros(100);
/// One-way delay between a node and the store.
pub const STORE_HOP: Duration = Duration::from_millis(2);
/// The lifetime of callers' address lists, within which a node that left gets no new callers.
pub const LISTS: Duration = Duration::from_secs(2);
/// The time after which a data centre that was taken out must get no new work (P4).
pub const OUT_AIM: Duration = Duration::from_secs(2);
/// The period of status calls, spread over the gates.
const POLL: Duration = STATUS_PERIOD;
/// The time for which the loop goes on after the last query began, so that all queries end.
const DRAIN: Duration = Duration::from_secs(2);
/// The name of the one index.
const INDEX: &str = "index";

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// What happens.
    pub scenario: Scenario,
    /// The index and its targets.
    pub index: Index,
    /// How decisions are made.
    pub policy: Policy,
    /// The share of stragglers.
    pub stragglers: f64,
    /// Runs with the same seed are equal.
    pub seed: u64,
    /// The length of the measured part.
    pub seconds: u64,
}

impl Setup {
    /// Returns the queries per second at which all slots are in use.
    pub fn capacity(&self) -> f64 {
        let targets = f64::from(self.index.shards * self.index.replicas);
        // Runs without stragglers have the arrivals of the run that they are compared with.
        let service = Service {
            stragglers: self.scenario.stragglers(),
            ..self.service()
        };
        targets * f64::from(self.index.slots) / service.mean() / f64::from(self.index.shards)
    }

    fn service(&self) -> Service {
        Service {
            median_us: self.index.median_us,
            stragglers: self.stragglers,
        }
    }

    fn run(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// What a target bears, with the built-in values of the settings tree for cold starts.
    fn bears(&self) -> policy::Target {
        policy::Target {
            slots: self.index.slots,
            connections: self.index.connections,
            connect: Duration::from_millis(self.index.connect_ms),
            cold_concurrency: 1,
            cold_rate: 20,
            cold_answers: 100,
            queue: 64,
        }
    }

    /// What the gates of the policy are told that a target bears.
    fn told(&self) -> policy::Target {
        let mut told = self.bears();
        if !self.policy.gateway {
            let nodes = NODES as u16;
            told.slots = told.slots.div_ceil(nodes);
            told.cold_rate = told.cold_rate.div_ceil(NODES as u32);
            told.cold_answers = told.cold_answers.div_ceil(NODES as u32);
        }
        if !self.policy.ramp {
            told = unramped(told);
        }
        told
    }
}

/// Returns a policy under which the first answer makes a target warm.
fn unramped(policy: policy::Target) -> policy::Target {
    policy::Target {
        cold_concurrency: policy.slots,
        cold_rate: 1_000_000,
        cold_answers: 1,
        ..policy
    }
}

/// What one run showed.
#[derive(Debug)]
pub struct Outcomes {
    /// The figures.
    pub stats: Stats,
    /// The most requests at once at a cold target.
    pub cold_running: usize,
    /// The most starts within a second at a cold target.
    pub cold_rate: usize,
    /// What a cold target bears.
    pub bears: policy::Target,
    /// Events that the loop handled.
    pub events: u64,
}

/// What a target said about one request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Said {
    Answer,
    Refused(Reason),
    Lost,
    Cancelled,
}

/// A subrequest on its way to a gate.
#[derive(Debug)]
pub(crate) struct Sent {
    target: usize,
    subrequest: Subrequest,
}

#[derive(Debug)]
pub(crate) enum Event {
    Arrive,
    Begin {
        id: u64,
        node: usize,
        began: Moment,
        penalty: Duration,
    },
    Wake {
        id: u64,
        at: Moment,
    },
    Batch {
        node: usize,
        id: u64,
        /// The time that is left until the deadline at the moment of sending.
        remaining: Duration,
        subrequests: Vec<Sent>,
    },
    Frame {
        id: u64,
        subrequest: u32,
        outcome: Outcome,
        load: Load,
    },
    CancelSubrequest {
        node: usize,
        target: usize,
        id: u64,
        subrequest: u32,
    },
    GateTick(usize),
    Suspect(usize),
    Warm,
    Request(Dispatch),
    Done {
        target: usize,
        start: u64,
    },
    Reply {
        dispatch: Dispatch,
        said: Said,
        generation: Option<u64>,
    },
    CancelJob(Dispatch),
    Gather(usize),
    View(usize, Rc<Directory>),
    Poll(usize),
    Change(Change),
    CellTick(usize),
    Cell(usize, cell::Event),
    Asked {
        to: usize,
        from: usize,
        sent: Moment,
        exchange: Exchange,
    },
    Read {
        node: usize,
        started: Moment,
    },
    Swap {
        node: usize,
        expected: Option<u64>,
        record: Record,
    },
    Learn {
        node: usize,
        version: u64,
    },
}

#[derive(Debug)]
struct Entry {
    at: Moment,
    sequence: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A node: coordinator, gateway and cell member.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) data_centre: usize,
    pub(crate) died: Option<Moment>,
    pub(crate) cell: Cell,
    pub(crate) permit: Moment,
    /// The settings version in force and the data centres that it has taken out.
    pub(crate) settings: u64,
    pub(crate) out: [bool; DATA_CENTRES],
    pub(crate) next_tick: Moment,
    hedge: HedgeController,
    directory: Rc<Directory>,
    turn: u64,
}

/// A job of a gate.
#[derive(Debug)]
struct Work {
    id: u64,
    subrequest: Subrequest,
    answered: bool,
}

/// A gate with what its node knows of the target.
#[derive(Debug)]
pub(crate) struct Gated {
    node: usize,
    target: usize,
    gate: Gate,
    jobs: SlotMap<JobKey, Work>,
    pub(crate) owned: bool,
    pub(crate) valid_from: Moment,
    pub(crate) in_service: bool,
    reachable: bool,
    holdings: Vec<Holding>,
    gone: Option<(Version, Moment)>,
    alarm: Moment,
}

#[derive(Debug)]
struct Query {
    scatter: Scatter,
    node: usize,
    directory: Rc<Directory>,
    began: Moment,
    penalty: Duration,
    armed: Moment,
    /// The gateway and the target of each subrequest.
    subrequests: Vec<(usize, usize)>,
}

/// The platform's store, as far as cells use it.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    pub(crate) records: [Option<(Record, u64)>; DATA_CENTRES],
    pub(crate) revision: u64,
    pub(crate) settings: u64,
    /// The data centres that each settings version has taken out.
    pub(crate) out: Vec<[bool; DATA_CENTRES]>,
}

/// The state of one run.
#[derive(Debug)]
pub struct World {
    pub(crate) setup: Setup,
    pub(crate) now: Moment,
    sequence: u64,
    heap: BinaryHeap<Reverse<Entry>>,
    arrivals: Pcg64,
    network: Pcg64,
    pub(crate) nodes: Vec<Node>,
    targets: Vec<Target>,
    pub(crate) gates: Vec<Gated>,
    /// The gate of each node for each target, if it ever had one.
    pub(crate) gate_at: Vec<Option<usize>>,
    queries: BTreeMap<u64, Query>,
    next_query: u64,
    bodies: BTreeMap<(Version, u32), Bytes>,
    pub(crate) store: Store,
    /// When the operators last changed each data centre, and whether it is out.
    changed: [(Moment, bool); DATA_CENTRES],
    stats: Stats,
    events: u64,
}

/// Runs a setup to its end.
pub fn run(setup: Setup) -> Outcomes {
    let mut world = World::open(setup);
    world.drive();
    world.close()
}

impl World {
    fn open(setup: Setup) -> Self {
        let index = setup.index;
        let bears = setup.bears();
        let mut targets = Vec::new();
        for replica in 0..index.replicas {
            for service in 0..index.shards {
                let holding = Holding {
                    version: OLD,
                    shard: service,
                    shards: index.shards,
                };
                let data_centre = (service + replica) as usize % DATA_CENTRES;
                targets.push(Target::new(data_centre, (service, replica), bears, holding));
            }
        }
        let nodes: Vec<Node> = (0..NODES).map(|node| open_node(node, setup)).collect();
        let mut world = Self {
            setup,
            now: Moment::ZERO,
            sequence: 0,
            heap: BinaryHeap::new(),
            arrivals: Pcg64::seed_from_u64(setup.seed),
            network: Pcg64::seed_from_u64(setup.seed ^ 0x006e_6574),
            gate_at: vec![None; nodes.len() * targets.len()],
            nodes,
            targets,
            gates: Vec::new(),
            queries: BTreeMap::new(),
            next_query: 0,
            bodies: BTreeMap::new(),
            store: Store {
                out: vec![[false; DATA_CENTRES]],
                ..Store::default()
            },
            changed: [(Moment::ZERO, false); DATA_CENTRES],
            stats: Stats::open(setup.seconds),
            events: 0,
        };
        world.schedule();
        world
    }

    /// Puts the first event of everything that repeats into the heap.
    fn schedule(&mut self) {
        for node in 0..NODES {
            let phase = Duration::from_millis(33 * node as u64);
            self.at(Moment::ZERO + phase, Event::CellTick(node));
            self.at(Moment::ZERO + phase, Event::Gather(node));
        }
        for (after, change) in self
            .setup
            .scenario
            .changes(&self.setup.index, self.setup.run())
        {
            self.at(START + SETTLE + after, Event::Change(change));
        }
        self.at(START - cell::EXCHANGE_PERIOD, Event::Warm);
        self.at(START, Event::Arrive);
    }

    fn drive(&mut self) {
        let end = self.end() + DRAIN;
        while let Some(Reverse(entry)) = self.heap.pop() {
            if entry.at > end {
                return;
            }
            self.now = entry.at;
            self.events += 1;
            self.handle(entry.event);
        }
    }

    fn close(mut self) -> Outcomes {
        let end = self.end();
        let left = self.queries.values().filter(|query| query.began < end);
        self.stats.violations.not_once += left.count() as u64;
        let max = |figure: fn(&Target) -> usize| self.targets.iter().map(figure).max();
        Outcomes {
            cold_running: max(|target| target.cold_running).unwrap_or(0),
            cold_rate: max(|target| target.cold_rate).unwrap_or(0),
            bears: self.setup.bears(),
            events: self.events,
            stats: {
                let slots = usize::from(self.setup.bears().slots);
                let over = self.targets.iter().filter(|it| it.most_running > slots);
                self.stats.violations.over_slots = over.count() as u64;
                self.stats
            },
        }
    }

    fn end(&self) -> Moment {
        START + SETTLE + self.setup.run()
    }

    pub(crate) fn at(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Entry {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        }));
    }

    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Draws the one-way delay between two nodes.
    pub(crate) fn hop(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::from_micros(20);
        }
        if self.nodes[from].data_centre == self.nodes[to].data_centre {
            return self.local_hop();
        }
        let (least, most) = (
            self.setup.index.link_least_us,
            self.setup.index.link_most_us,
        );
        let mut micros = self.network.random_range(least..=most);
        if self.network.random::<f64>() < LOSS {
            micros += u64::from(PROBE_ROUND_TRIPS) * 2 * most;
        }
        Duration::from_micros(micros)
    }

    /// Draws the one-way delay within a data centre.
    pub(crate) fn local_hop(&mut self) -> Duration {
        LOCAL_HOP + LOCAL_HOP.mul_f64(self.network.random())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Begin {
                id,
                node,
                began,
                penalty,
            } => self.begin(id, node, began, penalty),
            Event::Wake { id, at } => self.wake(id, at),
            Event::Batch {
                node,
                id,
                remaining,
                subrequests,
            } => self.batch(node, id, remaining, subrequests),
            Event::Frame {
                id,
                subrequest,
                outcome,
                load,
            } => {
                self.count_failure(id, &outcome);
                self.step(
                    id,
                    QueryEvent::Result {
                        subrequest,
                        outcome,
                        load,
                    },
                );
            }
            Event::CancelSubrequest {
                node,
                target,
                id,
                subrequest,
            } => self.cancel_subrequest(node, target, id, subrequest),
            Event::GateTick(gate) => {
                self.gates[gate].alarm = Moment::NEVER;
                self.gate_step(gate, gate::Event::Tick);
            }
            Event::Suspect(gate) => self.gate_step(gate, gate::Event::SuspectCold),
            Event::Warm => self.warm(),
            Event::Request(dispatch) => self.request(dispatch),
            Event::Done { target, start } => self.done(target, start),
            Event::Reply {
                dispatch,
                said,
                generation,
            } => self.reply(dispatch, said, generation),
            Event::CancelJob(dispatch) => self.cancel_job(dispatch),
            Event::Gather(node) => self.gather(node),
            Event::View(node, directory) => self.nodes[node].directory = directory,
            Event::Poll(gate) => self.poll(gate),
            Event::Change(change) => self.change(change),
            other => self.handle_membership(other),
        }
    }

    // Callers.

    fn arrive(&mut self) {
        let started = self.now.since(START + SETTLE);
        let share = started.as_secs_f64() / self.setup.run().as_secs_f64();
        let rate = self.setup.scenario.load(share) * self.setup.capacity();
        let node = self.arrivals.random_range(0..NODES);
        let gap = Exp::new(rate)
            .expect("the rate is positive")
            .sample(&mut self.arrivals);
        let next = self.now + Duration::from_secs_f64(gap);
        let id = self.next_query << 8;
        self.next_query += 1;
        let (node, penalty) = self.place(id, node);
        if self.now >= START + SETTLE {
            self.stats.started += 1;
            let second = self.second(self.now);
            self.stats.seconds[second].offered += 1;
        }
        self.begin(id, node, self.now, penalty);
        if next < self.end() {
            self.at(next, Event::Arrive);
        }
    }

    /// Returns the node that a caller reaches, and the time that it lost with others.
    fn place(&self, id: u64, first: usize) -> (usize, Duration) {
        let mut random = Pcg64::seed_from_u64(self.setup.seed ^ id);
        let mut node = first;
        let mut penalty = Duration::ZERO;
        while !self.reachable(node, &mut random) {
            if self.nodes[node].died.is_some() {
                penalty += 2 * self.caller_hop();
            }
            // Lists spread callers; the next address in order would get all callers of a data centre.
            node = random.random_range(0..NODES);
        }
        (node, penalty)
    }

    /// Tells whether a caller's list still has a node, or has it again, and the node is alive.
    fn reachable(&self, node: usize, random: &mut Pcg64) -> bool {
        let (since, out) = self.changed[self.nodes[node].data_centre];
        let adapted = self.now.since(since).as_secs_f64() / LISTS.as_secs_f64();
        let listed = since == Moment::ZERO || (random.random::<f64>() < adapted) != out;
        self.nodes[node].died.is_none() && listed
    }

    fn caller_hop(&self) -> Duration {
        Duration::from_micros(self.setup.index.caller_us)
    }

    fn second(&self, at: Moment) -> usize {
        let second = at.since(START + SETTLE).as_secs() as usize;
        second.min(self.stats.seconds.len() - 1)
    }

    // Coordinators.

    fn begin(&mut self, id: u64, node: usize, began: Moment, penalty: Duration) {
        if self.nodes[node].died.is_some() {
            return self.retry(id, node, began, penalty);
        }
        let index = self.setup.index;
        let policy = self.setup.policy;
        let data_centre = self.nodes[node].data_centre;
        self.nodes[node].turn += 1;
        let plan = Plan {
            request_id: format!("{id:x}"),
            index: INDEX.to_owned(),
            data_centre: data_centre_name(data_centre).to_owned(),
            selection: if index.shards == 1 {
                Selection::One(id >> 8)
            } else {
                Selection::All
            },
            policy: policy::Query {
                deadline: Duration::from_millis(index.deadline_ms),
                least_coverage: 1.0,
                straggler_wait: Duration::from_millis(10),
                hedge_percent: policy.hedge_percent,
                priority: 100,
                idempotent: true,
                scatter: policy::Scatter::All,
                limit: 100,
            },
            replica_policy: policy.order.choice(self.nodes[node].turn),
            deadline: began + Duration::from_millis(index.deadline_ms),
        };
        let query = Query {
            scatter: Scatter::new(plan, self.now),
            node,
            directory: Rc::clone(&self.nodes[node].directory),
            began,
            penalty,
            armed: Moment::NEVER,
            subrequests: Vec::new(),
        };
        if self.queries.insert(id, query).is_some() {
            self.stats.violations.not_once += 1;
        }
        self.step(id, QueryEvent::Start);
    }

    /// Lets the caller of a dead coordinator try the next address.
    fn retry(&mut self, id: u64, node: usize, began: Moment, penalty: Duration) {
        let (node, more) = self.place(id, node);
        let round_trip = 2 * self.caller_hop();
        self.after(
            round_trip,
            Event::Begin {
                id: id + 1,
                node,
                began,
                penalty: penalty + more.saturating_sub(round_trip),
            },
        );
    }

    fn wake(&mut self, id: u64, at: Moment) {
        if let Some(query) = self.queries.get_mut(&id)
            && query.armed == at
        {
            query.armed = Moment::NEVER;
            self.step(id, QueryEvent::Tick);
        }
    }

    fn step(&mut self, id: u64, event: QueryEvent) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let (node, directory) = (query.node, Rc::clone(&query.directory));
        let hedge = &mut self.nodes[node].hedge;
        let actions = query.scatter.step(event, self.now, &directory, hedge);
        let wake = query.scatter.next_wake();
        if let Some(at) = wake.filter(|at| *at < query.armed) {
            let at = at.max(self.now);
            query.armed = at;
            self.at(at, Event::Wake { id, at });
        }
        let mut batches: BTreeMap<usize, Vec<Sent>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send { subrequest, target } => {
                    if self.now >= START + SETTLE {
                        let second = self.second(self.now);
                        self.stats.seconds[second].count(subrequest.cause);
                    }
                    let known = directory.target(target);
                    let gateway = known.gateway.as_ref().map_or(node, node_of);
                    let target = target_of(&known.name);
                    let query = self.queries.get_mut(&id).expect("the query runs");
                    query.subrequests.push((gateway, target));
                    batches
                        .entry(gateway)
                        .or_default()
                        .push(Sent { target, subrequest });
                }
                Action::Cancel { subrequest, .. } => {
                    let (gateway, target) = self.queries[&id].subrequests[subrequest as usize];
                    let delay = self.hop(node, gateway);
                    self.after(
                        delay,
                        Event::CancelSubrequest {
                            node: gateway,
                            target,
                            id,
                            subrequest,
                        },
                    );
                }
                Action::Finish(verdict) => self.finish(id, verdict),
            }
        }
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let deadline = query.began + Duration::from_millis(self.setup.index.deadline_ms);
        let remaining = self.now.until(deadline);
        for (gateway, subrequests) in batches {
            let delay = self.hop(node, gateway);
            self.after(
                delay,
                Event::Batch {
                    node: gateway,
                    id,
                    remaining,
                    subrequests,
                },
            );
        }
    }

    fn count_failure(&mut self, id: u64, outcome: &Outcome) {
        // Cancelled subrequests also fail, but their query has ended or no longer waits for them.
        if let Outcome::Failure(reason) = outcome
            && self.now >= START + SETTLE
            && *reason != Reason::Cancelled
            && self.queries.contains_key(&id)
        {
            let counts = &mut self.stats.subrequest_failures;
            *counts.entry(reason.to_string()).or_default() += 1;
        }
    }

    fn finish(&mut self, id: u64, verdict: Verdict) {
        let query = self.queries.remove(&id).expect("a query ends once");
        if query.began < START + SETTLE {
            return;
        }
        let second = self.second(query.began);
        let taken = self.now.since(query.began) + query.penalty + 2 * self.caller_hop();
        match verdict {
            Verdict::Answer {
                version,
                answered,
                total,
                hits,
                ..
            } => {
                let prefix = format!("v{version}-");
                let mixed = hits.iter().any(|hit| !hit.id.starts_with(&prefix));
                self.stats.violations.mixed += u64::from(mixed);
                let shards = match (self.setup.index.shards, version) {
                    (1, _) => 1,
                    (_, NEW) => new_shards(&self.setup.index),
                    (shards, _) => shards,
                };
                let false_coverage = hits.len() != answered as usize || total != shards;
                self.stats.violations.false_coverage += u64::from(false_coverage);
                let taken = taken.as_micros() as u64;
                self.stats.end(second, taken, (answered, total), None);
            }
            Verdict::Refusal {
                reason,
                answered,
                total,
                ..
            } => {
                let deadline = Duration::from_millis(self.setup.index.deadline_ms);
                let taken = taken.max(deadline + 2 * self.caller_hop()).as_micros() as u64;
                self.stats
                    .end(second, taken, (answered, total), Some(reason));
            }
        }
    }

    // Gateways.

    fn batch(&mut self, node: usize, id: u64, remaining: Duration, subrequests: Vec<Sent>) {
        for Sent { target, subrequest } in subrequests {
            if self.nodes[node].died.is_some() {
                self.frame(
                    node,
                    id,
                    subrequest.number,
                    Outcome::Failure(Reason::NotSent),
                    Load::default(),
                );
                continue;
            }
            let gate = self.gate_at[node * self.targets.len() + target];
            let Some(gate) = gate.filter(|gate| self.gates[*gate].owned) else {
                self.frame(
                    node,
                    id,
                    subrequest.number,
                    Outcome::Failure(Reason::NotOwner),
                    Load::default(),
                );
                continue;
            };
            // Work of a query that has ended is dropped with its stream.
            if !self.queries.contains_key(&id) {
                continue;
            }
            let gated = &mut self.gates[gate];
            let key = gated.jobs.insert(Work {
                id,
                subrequest,
                answered: false,
            });
            let job = Job {
                key,
                deadline: self.now + remaining,
                priority: 100,
                idempotent: true,
            };
            self.gate_step(gate, gate::Event::Offer(job));
        }
    }

    /// Sends the result of a subrequest to its coordinator.
    fn frame(&mut self, from: usize, id: u64, subrequest: u32, outcome: Outcome, load: Load) {
        if let Some(query) = self.queries.get(&id) {
            let delay = self.hop(from, query.node);
            self.after(
                delay,
                Event::Frame {
                    id,
                    subrequest,
                    outcome,
                    load,
                },
            );
        }
    }

    fn cancel_subrequest(&mut self, node: usize, target: usize, id: u64, subrequest: u32) {
        let Some(gate) = self.gate_at[node * self.targets.len() + target] else {
            return;
        };
        let jobs = &self.gates[gate].jobs;
        let found = jobs
            .iter()
            .find(|(_, work)| work.id == id && work.subrequest.number == subrequest);
        if let Some(key) = found.map(|(key, _)| key) {
            self.gate_step(gate, gate::Event::Cancel(key));
        }
    }

    pub(crate) fn gate_step(&mut self, number: usize, event: gate::Event) {
        let gated = &mut self.gates[number];
        let node = gated.node;
        if self.nodes[node].died.is_some() {
            return;
        }
        let actions = gated.gate.step(event, self.now, self.nodes[node].permit);
        for action in actions {
            match action {
                gate::Action::Dispatch(key) => {
                    let certain = self.nodes[node].cell.permit_until(self.now);
                    if self.setup.policy.gateway && self.now >= certain {
                        self.stats.violations.no_permit += 1;
                    }
                    let delay = self.local_hop();
                    self.after(delay, Event::Request(Dispatch { gate: number, key }));
                }
                gate::Action::Refuse(key, reason) => {
                    if let Some(work) = self.gates[number].jobs.remove(key) {
                        let load = self.gates[number].gate.load();
                        self.frame(
                            node,
                            work.id,
                            work.subrequest.number,
                            Outcome::Failure(reason),
                            load,
                        );
                    }
                }
                gate::Action::Abort(key) => self.abort(number, key),
                gate::Action::Release(key) => {
                    self.gates[number].jobs.remove(key);
                }
            }
        }
        let gated = &mut self.gates[number];
        if let Some(at) = gated.gate.next_tick().filter(|at| *at < gated.alarm) {
            gated.alarm = at.max(self.now + Duration::from_micros(1));
            self.at(self.gates[number].alarm, Event::GateTick(number));
        }
    }

    fn abort(&mut self, number: usize, key: JobKey) {
        let gated = &mut self.gates[number];
        let load = gated.gate.load();
        let Some(work) = gated.jobs.get_mut(key) else {
            return;
        };
        let (node, id, subrequest) = (gated.node, work.id, work.subrequest.number);
        if !std::mem::replace(&mut work.answered, true) {
            self.frame(
                node,
                id,
                subrequest,
                Outcome::Failure(Reason::Timeout),
                load,
            );
        }
        let delay = self.local_hop();
        self.after(delay, Event::CancelJob(Dispatch { gate: number, key }));
    }

    fn reply(&mut self, dispatch: Dispatch, said: Said, generation: Option<u64>) {
        let (number, key) = (dispatch.gate, dispatch.key);
        let node = self.gates[number].node;
        if self.nodes[node].died.is_some() {
            return;
        }
        let Some(work) = self.gates[number].jobs.remove(key) else {
            return;
        };
        if let (Some(generation), Said::Refused(_) | Said::Lost) = (generation, said) {
            self.gate_step(number, gate::Event::ReportGeneration(generation));
        }
        let gated = &mut self.gates[number];
        gated.reachable = !matches!(said, Said::Refused(Reason::NotSent));
        let (outcome, result) = match said {
            Said::Answer => (
                Outcome::Answer {
                    request: format!("{:x}", work.id),
                    version: work.subrequest.version,
                    shard: work.subrequest.shard,
                    attempt: work.subrequest.attempt,
                    body: self.body(work.subrequest.version, work.subrequest.shard),
                },
                Completion::Answered { generation },
            ),
            Said::Refused(reason) => {
                if reason == Reason::VersionGone {
                    let version = work.subrequest.version;
                    gated.holdings.retain(|holding| holding.version != version);
                    gated.gone = Some((version, self.now));
                }
                (Outcome::Failure(reason), Completion::Refused(reason))
            }
            Said::Lost => (
                Outcome::Failure(Reason::ConnectionLost),
                Completion::Lost(Reason::ConnectionLost),
            ),
            Said::Cancelled => (
                Outcome::Failure(Reason::Timeout),
                Completion::Refused(Reason::Cancelled),
            ),
        };
        self.gate_step(number, gate::Event::Finished { key, result });
        if !work.answered {
            let load = self.gates[number].gate.load();
            self.frame(node, work.id, work.subrequest.number, outcome, load);
        }
    }

    fn body(&mut self, version: Version, shard: u32) -> Bytes {
        let body = self.bodies.entry((version, shard)).or_insert_with(|| {
            format!(r#"{{"hits":[{{"id":"v{version}-s{shard}","score":1.0}}]}}"#).into()
        });
        body.clone()
    }

    fn poll(&mut self, number: usize) {
        self.after(POLL, Event::Poll(number));
        let gated = &mut self.gates[number];
        if !gated.owned || self.nodes[gated.node].died.is_some() {
            return;
        }
        let target = &self.targets[gated.target];
        gated.reachable = target.alive;
        if !target.alive {
            return;
        }
        let gone = gated
            .gone
            .filter(|(_, since)| self.now.since(*since) < VERSION_GONE_HOLD);
        gated.gone = gone;
        gated.holdings = vec![target.holding];
        gated
            .holdings
            .retain(|holding| gone.is_none_or(|(version, _)| version != holding.version));
        let generation = target.generation;
        self.gate_step(number, gate::Event::ReportGeneration(generation));
    }

    /// Opens the gate of a node for a target, as warm as the target is known to be.
    pub(crate) fn open_gate(&mut self, node: usize, target: usize, valid_from: Moment) -> usize {
        let told = self.setup.told();
        let gate = Gate::open(told, valid_from, self.now);
        let number = self.gates.len();
        self.gates.push(Gated {
            node,
            target,
            gate,
            jobs: SlotMap::with_key(),
            owned: true,
            valid_from,
            in_service: true,
            reachable: true,
            holdings: vec![self.targets[target].holding],
            gone: None,
            alarm: Moment::NEVER,
        });
        self.gate_at[node * self.targets.len() + target] = Some(number);
        let phase = POLL.mul_f64(self.network.random());
        self.after(phase, Event::Poll(number));
        number
    }

    /// Replaces all gates by ones that count their targets as warm, as after a long time of use.
    fn warm(&mut self) {
        let told = self.setup.told();
        let mut owned = vec![false; self.targets.len()];
        for number in 0..self.gates.len() {
            let gated = &self.gates[number];
            if gated.owned {
                assert!(gated.valid_from <= self.now, "the cells have formed");
                owned[gated.target] = true;
                self.gates[number].gate = self.warm_gate(told, gated.valid_from);
                self.gates[number].alarm = Moment::NEVER;
            }
        }
        assert!(
            owned.into_iter().all(|owned| owned),
            "every target has an owner"
        );
    }

    fn warm_gate(&self, told: policy::Target, valid_from: Moment) -> Gate {
        let mut keys: SlotMap<JobKey, ()> = SlotMap::with_key();
        let latency = Duration::from_micros(self.setup.index.median_us);
        let end = self.now;
        let begin = end - latency;
        let mut gate = Gate::open(unramped(told), valid_from.min(begin), begin);
        let key = keys.insert(());
        let job = Job {
            key,
            deadline: Moment::NEVER,
            priority: 0,
            idempotent: true,
        };
        gate.step(gate::Event::Offer(job), begin, Moment::NEVER);
        let result = Completion::Answered {
            generation: Some(1),
        };
        gate.step(gate::Event::ReportGeneration(1), begin, Moment::NEVER);
        gate.step(gate::Event::Finished { key, result }, end, Moment::NEVER);
        gate.step(gate::Event::SetPolicy(told), end, Moment::NEVER);
        gate
    }

    // Targets.

    fn request(&mut self, dispatch: Dispatch) {
        let gated = &self.gates[dispatch.gate];
        let number = gated.target;
        let Some(work) = gated.jobs.get(dispatch.key) else {
            return;
        };
        let (version, shard, attempt) = (
            work.subrequest.version,
            work.subrequest.shard,
            work.subrequest.attempt,
        );
        let seed = seed(self.setup.seed, work.id, shard, attempt);
        let target = &mut self.targets[number];
        match target.start(dispatch, version, self.now) {
            Ok((start, factor)) => {
                let (since, out) = self.changed[target.data_centre];
                if out {
                    let late = self.now.since(since);
                    self.stats.last_out_us = self.stats.last_out_us.max(late.as_micros() as u64);
                    self.stats.violations.out += u64::from(late > OUT_AIM);
                }
                let time = self.setup.service().draw(seed).mul_f64(factor);
                self.after(
                    time,
                    Event::Done {
                        target: number,
                        start,
                    },
                );
            }
            Err(reason) => {
                let generation = target.alive.then_some(target.generation);
                self.say(dispatch, Said::Refused(reason), generation);
            }
        }
    }

    fn done(&mut self, number: usize, start: u64) {
        let target = &mut self.targets[number];
        let generation = target.generation;
        if let Some(dispatch) = target.finish(start) {
            self.say(dispatch, Said::Answer, Some(generation));
        }
    }

    fn cancel_job(&mut self, dispatch: Dispatch) {
        let number = self.gates[dispatch.gate].target;
        if self.targets[number].cancel(dispatch) {
            self.say(dispatch, Said::Cancelled, None);
        }
    }

    fn say(&mut self, dispatch: Dispatch, said: Said, generation: Option<u64>) {
        let delay = self.local_hop();
        self.after(
            delay,
            Event::Reply {
                dispatch,
                said,
                generation,
            },
        );
    }

    // Faults and changes.

    fn change(&mut self, change: Change) {
        match change {
            Change::Kill(target) => {
                for dispatch in self.targets[target].kill() {
                    self.say(dispatch, Said::Lost, None);
                }
                for number in 0..self.gates.len() {
                    if self.gates[number].target == target {
                        self.after(LOCAL_HOP, Event::Suspect(number));
                    }
                }
            }
            Change::Restart(target) => self.targets[target].restart(),
            Change::Out(data_centre) => self.set_out(data_centre, true),
            Change::In(data_centre) => {
                // The targets were restarted while the data centre was out.
                for target in &mut self.targets {
                    if target.data_centre == data_centre {
                        target.kill();
                        target.restart();
                    }
                }
                self.set_out(data_centre, false);
            }
            Change::Adopt(target, holding) => self.targets[target].holding = holding,
            Change::StoreDown => self.store.down = true,
            Change::StoreUp => self.store.down = false,
            Change::KillNode(node) => self.kill_node(node),
        }
    }

    fn set_out(&mut self, data_centre: usize, out: bool) {
        self.changed[data_centre] = (self.now, out);
        let mut state = *self.store.out.last().expect("the first version exists");
        state[data_centre] = out;
        self.store.out.push(state);
        self.store.settings += 1;
    }

    fn kill_node(&mut self, node: usize) {
        self.nodes[node].died = Some(self.now);
        let coordinated: Vec<u64> = self
            .queries
            .iter()
            .filter(|(_, query)| query.node == node)
            .map(|(id, _)| *id)
            .collect();
        for id in coordinated {
            let query = self.queries.remove(&id).expect("the query runs");
            self.retry(id, node, query.began, query.penalty);
        }
        for number in 0..self.gates.len() {
            if self.gates[number].node != node {
                continue;
            }
            let jobs = std::mem::take(&mut self.gates[number].jobs);
            for (_, work) in jobs {
                if !work.answered {
                    let lost = Outcome::Failure(Reason::ConnectionLost);
                    self.frame(node, work.id, work.subrequest.number, lost, Load::default());
                }
            }
        }
    }

    // Directories.

    fn gather(&mut self, node: usize) {
        self.after(cell::EXCHANGE_PERIOD, Event::Gather(node));
        if self.nodes[node].died.is_some() {
            return;
        }
        let directory = Rc::new(self.directory(node));
        // The answers of the farthest gateways arrive last.
        let delay = Duration::from_micros(self.setup.index.link_most_us);
        self.after(delay, Event::View(node, directory));
    }

    /// Builds the directory of a node from the summaries of all gateways.
    pub(crate) fn directory(&self, node: usize) -> Directory {
        let targets = (0..self.targets.len()).map(|number| {
            let target = &self.targets[number];
            let gateway = if self.setup.policy.gateway {
                self.owner(node, target.data_centre, target.service, target.replica)
            } else {
                Some(node)
            };
            let gate = gateway.and_then(|it| self.gate_at[it * self.targets.len() + number]);
            let gated = gate.map(|gate| &self.gates[gate]).filter(|it| it.owned);
            let usable = gated.is_some_and(|gated| {
                let silent = self.nodes[gated.node]
                    .died
                    .is_some_and(|died| self.now.since(died) >= cell::LIVENESS_TIMEOUT);
                let valid = gated.valid_from <= self.now;
                let open = gated.reachable && gated.gate.closed().is_none() && valid;
                open && !silent && !self.nodes[node].out[target.data_centre]
            });
            directory::Target {
                name: number.to_string().into(),
                address: address(number as u16, 2),
                data_centre: data_centre_name(target.data_centre).into(),
                index: INDEX.into(),
                service: format!("s{}", target.service).into(),
                replica: target.replica,
                gateway: gateway.map(|it| self.nodes[it].member.clone()),
                usable,
                holdings: gated.map_or_else(Vec::new, |it| it.holdings.clone()),
                load: gated.map_or_else(Load::default, |it| it.gate.load()),
            }
        });
        Directory::build(targets.collect())
    }

    /// Returns the number of targets.
    pub(crate) fn targets(&self) -> usize {
        self.targets.len()
    }

    /// Returns the data centre, service and replica of a target.
    pub(crate) fn target(&self, number: usize) -> (usize, u32, u32) {
        let target = &self.targets[number];
        (target.data_centre, target.service, target.replica)
    }
}

fn open_node(node: usize, setup: Setup) -> Node {
    let member = Member {
        name: format!("node-{node}"),
        incarnation: Incarnation(1),
        peer: address(node as u16, 0),
        caller: address(node as u16, 1),
    };
    let data_centre = node * DATA_CENTRES / NODES;
    let config = cell::Config {
        cell: data_centre_name(data_centre).to_owned(),
        local: member.clone(),
        settings: 0,
        safeguards: cell::Safeguards::default(),
    };
    Node {
        member,
        data_centre,
        died: None,
        cell: Cell::open(config, Moment::ZERO),
        permit: if setup.policy.gateway {
            Moment::ZERO
        } else {
            Moment::NEVER
        },
        settings: 0,
        out: [false; DATA_CENTRES],
        next_tick: Moment::NEVER,
        hedge: HedgeController::new(setup.policy.hedge),
        directory: Rc::default(),
        turn: 0,
    }
}

fn address(number: u16, kind: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1_000 + kind * 20_000 + number).into()
}

/// Returns the node of a member, whose peer address holds its number.
pub(crate) const fn node_of(member: &Member) -> usize {
    member.peer.port() as usize - 1_000
}

fn target_of(name: &Arc<str>) -> usize {
    name.parse().expect("targets are named by their number")
}

const fn data_centre_name(number: usize) -> &'static str {
    ["dc1", "dc2", "dc3"][number]
}

/// Mixes what identifies an attempt; the generator spreads the result further.
fn seed(run: u64, id: u64, shard: u32, attempt: u32) -> u64 {
    let query = (id >> 8).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    run.rotate_left(32) ^ query ^ (u64::from(shard) << 8) ^ u64::from(attempt)
}
