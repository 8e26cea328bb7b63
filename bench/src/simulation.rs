//! The event loop: runs the decision code of all nodes against model targets in virtual time.
//!
//! The model covers the inputs of the decisions: network delay and loss between callers, nodes and
//! targets, service times, slots, cold starts, and directories that lag behind the gateways by the
//! exchange period.
//!
//! Simplifications: a lost message arrives one retransmission later; a node reads all summaries,
//! including those of its own targets, once per exchange period; processing takes no time; the
//! address lists that callers cache expire evenly over their lifetime.

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
use crate::scenario::{Change, NEW_VERSION, OLD_VERSION, Scenario, new_shard_count};
use crate::size::{DATA_CENTRE_COUNT, Index, NODE_COUNT};
use crate::stats::Stats;
use crate::target::{Dispatch, ServiceTime, Target};

/// The time of the first query; the cells form before it.
pub const FIRST_QUERY_AT: Moment = Moment::from_millis(10_000);
/// The time from the first query to the measured part. Queries in it are not measured, because the
/// decision code has no observed latencies yet.
pub const UNMEASURED_PERIOD: Duration = Duration::from_secs(2);
/// The probability that a message between data centres is lost. Section 1 of the design gives no loss
/// rate, so this is an assumption.
pub const MESSAGE_LOSS_PROBABILITY: f64 = 0.001;
/// Round trips until a lost message is sent again, as with a tail loss probe.
pub const RETRANSMISSION_ROUND_TRIPS: u32 = 2;
/// Minimum one-way delay within a data centre; a random delay of up to the same length is added.
pub const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// One-way delay of a message between a node and the store.
pub const STORE_DELAY: Duration = Duration::from_millis(2);
/// The lifetime of the address lists that callers cache. Within this time after a data centre is taken
/// out of service, all callers stop using its nodes.
pub const ADDRESS_LIST_LIFETIME: Duration = Duration::from_secs(2);
/// The time after which no request may start in a data centre that was taken out of service (P4).
pub const MAX_START_AFTER_OUT: Duration = Duration::from_secs(2);
/// The period of the status calls of each gate; the phases of the gates are spread over it.
const STATUS_POLL_PERIOD: Duration = STATUS_PERIOD;
/// The time for which the event loop continues after the last query begins, so that all queries end.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);
/// The name of the only index in a run.
const INDEX_NAME: &str = "index";

/// The configuration of one run.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The offered load and the faults.
    pub scenario: Scenario,
    /// The modelled index with its targets and network delays.
    pub index: Index,
    /// The settings of the decision code.
    pub policy: Policy,
    /// The share of requests that are stragglers.
    pub straggler_share: f64,
    /// The seed of the random generators; equal seeds give equal runs.
    pub seed: u64,
    /// The length of the measured part, in seconds of virtual time.
    pub seconds: u64,
}

impl Config {
    /// Returns the queries per second at which all slots are in use.
    pub fn capacity(&self) -> f64 {
        let targets = f64::from(self.index.shards * self.index.replicas);
        // A reference run without stragglers gets the same arrivals as the run that it is compared with,
        // so the straggler share of the scenario applies here.
        let service_time = ServiceTime {
            straggler_share: self.scenario.straggler_share(),
            ..self.service_time()
        };
        targets * f64::from(self.index.slots)
            / service_time.mean_seconds()
            / f64::from(self.index.shards)
    }

    fn service_time(&self) -> ServiceTime {
        ServiceTime {
            median_us: self.index.median_service_time_us,
            straggler_share: self.straggler_share,
        }
    }

    fn measured_duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Returns the load that a target can take, with the built-in settings for cold starts.
    fn target_limits(&self) -> policy::Target {
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

    /// Returns the limits that the policy configures at each gate of a target.
    ///
    /// Without a single gateway, every node has a gate with its share of the limits.
    fn gate_limits(&self) -> policy::Target {
        let mut limits = self.target_limits();
        if !self.policy.single_gateway {
            let nodes = NODE_COUNT as u16;
            limits.slots = limits.slots.div_ceil(nodes);
            limits.cold_rate = limits.cold_rate.div_ceil(NODE_COUNT as u32);
            limits.cold_answers = limits.cold_answers.div_ceil(NODE_COUNT as u32);
        }
        if !self.policy.ramp {
            limits = without_ramp(limits);
        }
        limits
    }
}

/// Returns limits without a ramp: the first answer makes a target warm.
fn without_ramp(policy: policy::Target) -> policy::Target {
    policy::Target {
        cold_concurrency: policy.slots,
        cold_rate: 1_000_000,
        cold_answers: 1,
        ..policy
    }
}

/// The figures of one run.
#[derive(Debug)]
pub struct RunResult {
    /// Latencies, coverage, counts and violations.
    pub stats: Stats,
    /// The highest number of requests at once at a cold target.
    pub max_cold_running: usize,
    /// The highest number of starts within a second at a cold target.
    pub max_cold_rate: usize,
    /// The load that a target can take, warm and cold.
    pub limits: policy::Target,
    /// The number of events that the event loop handled.
    pub events: u64,
}

/// The outcome of one request at a target.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TargetReply {
    /// The target answered.
    Answer,
    /// The target did not start the request.
    Refused(Reason),
    /// The process of the target ended while the request ran.
    Lost,
    /// The gate cancelled the request while it ran.
    Cancelled,
}

/// A subrequest on its way to the gate of its target.
#[derive(Debug)]
pub(crate) struct RoutedSubrequest {
    target: usize,
    subrequest: Subrequest,
}

/// A scheduled event. Nodes, targets and gates are given by their numbers, queries by `id`.
///
/// The low 8 bits of a query's `id` count the coordinators that failed; the bits above are the number of the
/// query, which stays the same.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller sends the next query.
    QueryArrival,
    /// A query arrives at another coordinator after its former one failed.
    StartQuery {
        id: u64,
        node: usize,
        /// When the caller sent the query.
        began: Moment,
        /// The time that the caller lost with failed nodes, beyond what the event time includes.
        failover_time: Duration,
    },
    /// A query has to act at this time, unless an earlier wake-up replaced this one.
    WakeQuery { id: u64, at: Moment },
    /// A gateway receives the subrequests of a query for its targets.
    BatchReceived {
        node: usize,
        id: u64,
        /// The time until the deadline of the query, at the time of sending.
        remaining: Duration,
        subrequests: Vec<RoutedSubrequest>,
    },
    /// A coordinator receives the result of a subrequest.
    ResultReceived {
        id: u64,
        subrequest: u32,
        outcome: Outcome,
        load: Load,
    },
    /// A gateway receives the cancellation of a subrequest.
    CancelSubrequest {
        node: usize,
        target: usize,
        id: u64,
        subrequest: u32,
    },
    /// A gate has to act at this time.
    GateTick(usize),
    /// A gate notices that its connections to the target broke; the target may be cold from now on.
    SuspectCold(usize),
    /// All gates become warm, shortly before the first query.
    WarmGates,
    /// A target receives a dispatched request.
    RequestReceived(Dispatch),
    /// The service time of a request at a target ends.
    ServiceEnded { target: usize, start: u64 },
    /// A gate receives the outcome of a request.
    ReplyReceived {
        dispatch: Dispatch,
        reply: TargetReply,
        /// The generation that the target reports, if it is alive.
        generation: Option<u64>,
    },
    /// A target receives the cancellation of a request.
    CancelJob(Dispatch),
    /// A node collects the summaries of all gateways.
    RefreshDirectory(usize),
    /// A node starts to use a directory.
    AdoptDirectory(usize, Rc<Directory>),
    /// A gate calls the status of its target.
    PollTarget(usize),
    /// A fault or an operator action of the scenario takes place.
    ApplyChange(Change),
    /// The cell of a node has to act at this time.
    CellTick(usize),
    /// The cell of a node receives an answer from a peer or the store.
    StepCell(usize, cell::Event),
    /// A node receives an exchange from a member of its cell.
    ExchangeReceived {
        to: usize,
        from: usize,
        sent: Moment,
        exchange: Exchange,
    },
    /// The store receives a read of the settings version and the cell record.
    ReadStore { node: usize, started: Moment },
    /// The store receives a compare-and-swap of a cell record.
    SwapRecord {
        node: usize,
        expected: Option<u64>,
        record: Record,
    },
    /// A node has fetched a settings version.
    AdoptSettings { node: usize, version: u64 },
}

/// An event in the heap; events at the same time are handled in the order of scheduling.
#[derive(Debug)]
struct ScheduledEvent {
    at: Moment,
    /// The number of scheduled events so far, which orders events at the same time.
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A node: coordinator, gateway and cell member.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) data_centre: usize,
    /// When the process of the node ended; absent while it runs.
    pub(crate) died_at: Option<Moment>,
    pub(crate) cell: Cell,
    /// The end of the node's permit to dispatch requests.
    pub(crate) permit: Moment,
    /// The settings version that is in effect at the node.
    pub(crate) settings_version: u64,
    /// Whether the settings in effect take each data centre out of service.
    pub(crate) out_data_centres: [bool; DATA_CENTRE_COUNT],
    /// The earliest tick of the cell that is scheduled.
    pub(crate) scheduled_tick: Moment,
    hedge: HedgeController,
    directory: Rc<Directory>,
    /// The number of queries that the node coordinated, for round-robin replica choice.
    turn: u64,
}

/// A subrequest that waits or runs in a gate.
#[derive(Debug)]
struct GateJob {
    id: u64,
    subrequest: Subrequest,
    /// Whether the coordinator already has the result.
    answered: bool,
}

/// The gate of a node for a target, with the node's knowledge of the target.
#[derive(Debug)]
pub(crate) struct TargetGate {
    node: usize,
    target: usize,
    gate: Gate,
    jobs: SlotMap<JobKey, GateJob>,
    /// Whether the node is the owner of the target.
    pub(crate) owned: bool,
    /// The time from which the node may send to the target as its owner.
    pub(crate) valid_from: Moment,
    /// Whether the node's settings have the data centre of the target in service.
    pub(crate) in_service: bool,
    /// Whether the last reply or status call reached the target.
    reachable: bool,
    /// The index versions and shards that the target is known to hold.
    holdings: Vec<Holding>,
    /// The version that the target last refused as no longer held, and the time of the refusal.
    gone_version: Option<(Version, Moment)>,
    /// The earliest tick of the gate that is scheduled.
    scheduled_tick: Moment,
}

/// A running query at its coordinator.
#[derive(Debug)]
struct Query {
    scatter: Scatter,
    /// The node that coordinates the query.
    node: usize,
    directory: Rc<Directory>,
    /// When the caller sent the query.
    began: Moment,
    /// The time that the caller lost with failed nodes, beyond the time since `began`.
    failover_time: Duration,
    /// The earliest wake-up that is scheduled.
    scheduled_wake: Moment,
    /// The gateway and the target of each subrequest, by subrequest number.
    subrequests: Vec<(usize, usize)>,
}

/// The part of the platform's store that cells use.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    /// The record of the cell in each data centre, with its revision.
    pub(crate) records: [Option<(Record, u64)>; DATA_CENTRE_COUNT],
    /// The revision of the latest write of a record.
    pub(crate) revision: u64,
    /// The latest settings version.
    pub(crate) settings_version: u64,
    /// Whether each settings version takes each data centre out of service.
    pub(crate) out_by_version: Vec<[bool; DATA_CENTRE_COUNT]>,
}

/// The state of one run.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) config: Config,
    pub(crate) now: Moment,
    sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Draws the arrival times and first nodes of queries; separate, so that arrivals do not depend on
    /// the policy.
    arrival_rng: Pcg64,
    /// Draws network delays, losses and the phases of status calls.
    network_rng: Pcg64,
    pub(crate) nodes: Vec<Node>,
    targets: Vec<Target>,
    pub(crate) gates: Vec<TargetGate>,
    /// The gate number for each node and target, absent until the node first owns the target. The position
    /// is the node times the number of targets, plus the target.
    pub(crate) gate_at: Vec<Option<usize>>,
    queries: BTreeMap<u64, Query>,
    /// The number of the next query.
    next_query: u64,
    answer_bodies: BTreeMap<(Version, u32), Bytes>,
    pub(crate) store: Store,
    /// When each data centre was last taken out of service or brought back, and whether it is out.
    data_centre_changes: [(Moment, bool); DATA_CENTRE_COUNT],
    stats: Stats,
    events: u64,
}

/// Runs a simulation to its end and returns its figures.
pub fn run(config: Config) -> RunResult {
    let mut simulation = Simulation::new(config);
    simulation.run_events();
    simulation.into_result()
}

impl Simulation {
    fn new(config: Config) -> Self {
        let index = config.index;
        let limits = config.target_limits();
        let mut targets = Vec::new();
        for replica in 0..index.replicas {
            for service in 0..index.shards {
                let holding = Holding {
                    version: OLD_VERSION,
                    shard: service,
                    shards: index.shards,
                };
                let data_centre = (service + replica) as usize % DATA_CENTRE_COUNT;
                targets.push(Target::new(
                    data_centre,
                    (service, replica),
                    limits,
                    holding,
                ));
            }
        }
        let nodes: Vec<Node> = (0..NODE_COUNT).map(|node| new_node(node, config)).collect();
        let mut simulation = Self {
            config,
            now: Moment::ZERO,
            sequence: 0,
            heap: BinaryHeap::new(),
            arrival_rng: Pcg64::seed_from_u64(config.seed),
            network_rng: Pcg64::seed_from_u64(config.seed ^ 0x006e_6574),
            gate_at: vec![None; nodes.len() * targets.len()],
            nodes,
            targets,
            gates: Vec::new(),
            queries: BTreeMap::new(),
            next_query: 0,
            answer_bodies: BTreeMap::new(),
            store: Store {
                out_by_version: vec![[false; DATA_CENTRE_COUNT]],
                ..Store::default()
            },
            data_centre_changes: [(Moment::ZERO, false); DATA_CENTRE_COUNT],
            stats: Stats::new(config.seconds),
            events: 0,
        };
        simulation.schedule_initial_events();
        simulation
    }

    /// Schedules the first event of each recurring kind, and the changes of the scenario.
    fn schedule_initial_events(&mut self) {
        for node in 0..NODE_COUNT {
            let phase = Duration::from_millis(33 * node as u64);
            self.schedule_at(Moment::ZERO + phase, Event::CellTick(node));
            self.schedule_at(Moment::ZERO + phase, Event::RefreshDirectory(node));
        }
        for (after, change) in self
            .config
            .scenario
            .changes(&self.config.index, self.config.measured_duration())
        {
            self.schedule_at(
                FIRST_QUERY_AT + UNMEASURED_PERIOD + after,
                Event::ApplyChange(change),
            );
        }
        self.schedule_at(FIRST_QUERY_AT - cell::EXCHANGE_PERIOD, Event::WarmGates);
        self.schedule_at(FIRST_QUERY_AT, Event::QueryArrival);
    }

    /// Handles events in order until all queries have had the time to end.
    fn run_events(&mut self) {
        let end = self.measured_end() + DRAIN_PERIOD;
        while let Some(Reverse(entry)) = self.heap.pop() {
            if entry.at > end {
                return;
            }
            self.now = entry.at;
            self.events += 1;
            self.handle(entry.event);
        }
    }

    /// Returns the figures; counts queries that have not ended as violations.
    fn into_result(mut self) -> RunResult {
        let end = self.measured_end();
        let left = self.queries.values().filter(|query| query.began < end);
        self.stats.violations.not_ended_once += left.count() as u64;
        let max = |figure: fn(&Target) -> usize| self.targets.iter().map(figure).max();
        RunResult {
            max_cold_running: max(|target| target.max_cold_running).unwrap_or(0),
            max_cold_rate: max(|target| target.max_cold_rate).unwrap_or(0),
            limits: self.config.target_limits(),
            events: self.events,
            stats: {
                let slots = usize::from(self.config.target_limits().slots);
                let over = self.targets.iter().filter(|it| it.max_running > slots);
                self.stats.violations.over_slots = over.count() as u64;
                self.stats
            },
        }
    }

    /// Returns the end of the measured part, after which no query begins.
    fn measured_end(&self) -> Moment {
        FIRST_QUERY_AT + UNMEASURED_PERIOD + self.config.measured_duration()
    }

    /// Schedules an event at a time, or now if the time has passed.
    pub(crate) fn schedule_at(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        }));
    }

    pub(crate) fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Draws the one-way delay of a message between two nodes, including retransmission if it is lost.
    pub(crate) fn link_delay(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::from_micros(20);
        }
        if self.nodes[from].data_centre == self.nodes[to].data_centre {
            return self.local_delay();
        }
        let (least, most) = (
            self.config.index.min_link_delay_us,
            self.config.index.max_link_delay_us,
        );
        let mut micros = self.network_rng.random_range(least..=most);
        if self.network_rng.random::<f64>() < MESSAGE_LOSS_PROBABILITY {
            micros += u64::from(RETRANSMISSION_ROUND_TRIPS) * 2 * most;
        }
        Duration::from_micros(micros)
    }

    /// Draws the one-way delay of a message within a data centre.
    pub(crate) fn local_delay(&mut self) -> Duration {
        LOCAL_DELAY + LOCAL_DELAY.mul_f64(self.network_rng.random())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::QueryArrival => self.handle_arrival(),
            Event::StartQuery {
                id,
                node,
                began,
                failover_time,
            } => self.start_query(id, node, began, failover_time),
            Event::WakeQuery { id, at } => self.wake_query(id, at),
            Event::BatchReceived {
                node,
                id,
                remaining,
                subrequests,
            } => self.receive_batch(node, id, remaining, subrequests),
            Event::ResultReceived {
                id,
                subrequest,
                outcome,
                load,
            } => {
                self.count_subrequest_failure(id, &outcome);
                self.query_step(
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
                self.gates[gate].scheduled_tick = Moment::NEVER;
                self.gate_step(gate, gate::Event::Tick);
            }
            Event::SuspectCold(gate) => self.gate_step(gate, gate::Event::SuspectCold),
            Event::WarmGates => self.warm_gates(),
            Event::RequestReceived(dispatch) => self.receive_request(dispatch),
            Event::ServiceEnded { target, start } => self.end_service(target, start),
            Event::ReplyReceived {
                dispatch,
                reply,
                generation,
            } => self.receive_reply(dispatch, reply, generation),
            Event::CancelJob(dispatch) => self.cancel_job(dispatch),
            Event::RefreshDirectory(node) => self.refresh_directory(node),
            Event::AdoptDirectory(node, directory) => self.nodes[node].directory = directory,
            Event::PollTarget(gate) => self.poll_target(gate),
            Event::ApplyChange(change) => self.apply_change(change),
            other => self.handle_membership(other),
        }
    }

    // Callers.

    /// Starts a new query and schedules the next arrival.
    fn handle_arrival(&mut self) {
        let started = self.now.since(FIRST_QUERY_AT + UNMEASURED_PERIOD);
        let share = started.as_secs_f64() / self.config.measured_duration().as_secs_f64();
        let rate = self.config.scenario.load(share) * self.config.capacity();
        let node = self.arrival_rng.random_range(0..NODE_COUNT);
        let gap = Exp::new(rate)
            .expect("the rate is positive")
            .sample(&mut self.arrival_rng);
        let next = self.now + Duration::from_secs_f64(gap);
        let id = self.next_query << 8;
        self.next_query += 1;
        let (node, failover_time) = self.choose_node(id, node);
        if self.now >= FIRST_QUERY_AT + UNMEASURED_PERIOD {
            self.stats.queries_started += 1;
            let second = self.second_of(self.now);
            self.stats.seconds[second].offered += 1;
        }
        self.start_query(id, node, self.now, failover_time);
        if next < self.measured_end() {
            self.schedule_at(next, Event::QueryArrival);
        }
    }

    /// Returns the node that a caller reaches, and the time that it lost with failed nodes before.
    fn choose_node(&self, id: u64, first: usize) -> (usize, Duration) {
        let mut random = Pcg64::seed_from_u64(self.config.seed ^ id);
        let mut node = first;
        let mut failover_time = Duration::ZERO;
        while !self.is_reachable(node, &mut random) {
            if self.nodes[node].died_at.is_some() {
                failover_time += 2 * self.caller_delay();
            }
            // Callers pick another address at random, as the lists spread them. In order, the next
            // address would get all callers of a data centre.
            node = random.random_range(0..NODE_COUNT);
        }
        (node, failover_time)
    }

    /// Returns whether a node is alive and on the address list that a random caller has cached.
    fn is_reachable(&self, node: usize, random: &mut Pcg64) -> bool {
        let (since, out) = self.data_centre_changes[self.nodes[node].data_centre];
        let adapted = self.now.since(since).as_secs_f64() / ADDRESS_LIST_LIFETIME.as_secs_f64();
        let listed = since == Moment::ZERO || (random.random::<f64>() < adapted) != out;
        self.nodes[node].died_at.is_none() && listed
    }

    fn caller_delay(&self) -> Duration {
        Duration::from_micros(self.config.index.caller_delay_us)
    }

    /// Returns the second of the measured part at a time; the last one for later times.
    fn second_of(&self, at: Moment) -> usize {
        let second = at.since(FIRST_QUERY_AT + UNMEASURED_PERIOD).as_secs() as usize;
        second.min(self.stats.seconds.len() - 1)
    }

    // Coordinators.

    /// Starts a query at a coordinator, or at another one if the node has failed.
    fn start_query(&mut self, id: u64, node: usize, began: Moment, failover_time: Duration) {
        if self.nodes[node].died_at.is_some() {
            return self.fail_over(id, node, began, failover_time);
        }
        let index = self.config.index;
        let policy = self.config.policy;
        let data_centre = self.nodes[node].data_centre;
        self.nodes[node].turn += 1;
        let plan = Plan {
            request_id: format!("{id:x}"),
            index: INDEX_NAME.to_owned(),
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
            replica_policy: policy.replica_choice.to_policy(self.nodes[node].turn),
            deadline: began + Duration::from_millis(index.deadline_ms),
        };
        let query = Query {
            scatter: Scatter::new(plan, self.now),
            node,
            directory: Rc::clone(&self.nodes[node].directory),
            began,
            failover_time,
            scheduled_wake: Moment::NEVER,
            subrequests: Vec::new(),
        };
        if self.queries.insert(id, query).is_some() {
            self.stats.violations.not_ended_once += 1;
        }
        self.query_step(id, QueryEvent::Start);
    }

    /// Sends a query to another coordinator after its node failed, under a new id.
    fn fail_over(&mut self, id: u64, node: usize, began: Moment, failover_time: Duration) {
        let (node, more) = self.choose_node(id, node);
        let round_trip = 2 * self.caller_delay();
        self.schedule_after(
            round_trip,
            Event::StartQuery {
                id: id + 1,
                node,
                began,
                failover_time: failover_time + more.saturating_sub(round_trip),
            },
        );
    }

    /// Lets a query act at the time that it asked for; ignores wake-ups that an earlier one replaced.
    fn wake_query(&mut self, id: u64, at: Moment) {
        if let Some(query) = self.queries.get_mut(&id)
            && query.scheduled_wake == at
        {
            query.scheduled_wake = Moment::NEVER;
            self.query_step(id, QueryEvent::Tick);
        }
    }

    /// Passes an event to a query and carries out the resulting actions; ignores queries that have ended.
    fn query_step(&mut self, id: u64, event: QueryEvent) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let (node, directory) = (query.node, Rc::clone(&query.directory));
        let hedge = &mut self.nodes[node].hedge;
        let actions = query.scatter.step(event, self.now, &directory, hedge);
        let wake = query.scatter.next_wake();
        if let Some(at) = wake.filter(|at| *at < query.scheduled_wake) {
            let at = at.max(self.now);
            query.scheduled_wake = at;
            self.schedule_at(at, Event::WakeQuery { id, at });
        }
        let mut batches: BTreeMap<usize, Vec<RoutedSubrequest>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send { subrequest, target } => {
                    if self.now >= FIRST_QUERY_AT + UNMEASURED_PERIOD {
                        let second = self.second_of(self.now);
                        self.stats.seconds[second].count_subrequest(subrequest.cause);
                    }
                    let known = directory.target(target);
                    let gateway = known.gateway.as_ref().map_or(node, node_number);
                    let target = target_number(&known.name);
                    let query = self.queries.get_mut(&id).expect("the query runs");
                    query.subrequests.push((gateway, target));
                    batches
                        .entry(gateway)
                        .or_default()
                        .push(RoutedSubrequest { target, subrequest });
                }
                Action::Cancel { subrequest, .. } => {
                    let (gateway, target) = self.queries[&id].subrequests[subrequest as usize];
                    let delay = self.link_delay(node, gateway);
                    self.schedule_after(
                        delay,
                        Event::CancelSubrequest {
                            node: gateway,
                            target,
                            id,
                            subrequest,
                        },
                    );
                }
                Action::Finish(verdict) => self.finish_query(id, verdict),
            }
        }
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let deadline = query.began + Duration::from_millis(self.config.index.deadline_ms);
        let remaining = self.now.until(deadline);
        for (gateway, subrequests) in batches {
            let delay = self.link_delay(node, gateway);
            self.schedule_after(
                delay,
                Event::BatchReceived {
                    node: gateway,
                    id,
                    remaining,
                    subrequests,
                },
            );
        }
    }

    /// Counts the failure of a subrequest of a running query by its reason.
    fn count_subrequest_failure(&mut self, id: u64, outcome: &Outcome) {
        // Cancelled subrequests do not count: their query has ended or no longer waits for them.
        if let Outcome::Failure(reason) = outcome
            && self.now >= FIRST_QUERY_AT + UNMEASURED_PERIOD
            && *reason != Reason::Cancelled
            && self.queries.contains_key(&id)
        {
            let counts = &mut self.stats.subrequest_failures;
            *counts.entry(reason.to_string()).or_default() += 1;
        }
    }

    /// Removes a query that ended, and records its figures and violations.
    fn finish_query(&mut self, id: u64, verdict: Verdict) {
        let query = self.queries.remove(&id).expect("a query ends once");
        if query.began < FIRST_QUERY_AT + UNMEASURED_PERIOD {
            return;
        }
        let second = self.second_of(query.began);
        let taken = self.now.since(query.began) + query.failover_time + 2 * self.caller_delay();
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
                self.stats.violations.mixed_snapshots += u64::from(mixed);
                let shards = match (self.config.index.shards, version) {
                    (1, _) => 1,
                    (_, NEW_VERSION) => new_shard_count(&self.config.index),
                    (shards, _) => shards,
                };
                let false_coverage = hits.len() != answered as usize || total != shards;
                self.stats.violations.false_coverage += u64::from(false_coverage);
                let taken = taken.as_micros() as u64;
                self.stats
                    .record_query(second, taken, (answered, total), None);
            }
            Verdict::Refusal {
                reason,
                answered,
                total,
                ..
            } => {
                let deadline = Duration::from_millis(self.config.index.deadline_ms);
                let taken = taken.max(deadline + 2 * self.caller_delay()).as_micros() as u64;
                self.stats
                    .record_query(second, taken, (answered, total), Some(reason));
            }
        }
    }

    // Gateways.

    /// Offers subrequests to the gates of a node, or fails them if the node cannot send.
    fn receive_batch(
        &mut self,
        node: usize,
        id: u64,
        remaining: Duration,
        subrequests: Vec<RoutedSubrequest>,
    ) {
        for RoutedSubrequest { target, subrequest } in subrequests {
            if self.nodes[node].died_at.is_some() {
                self.send_result(
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
                self.send_result(
                    node,
                    id,
                    subrequest.number,
                    Outcome::Failure(Reason::NotOwner),
                    Load::default(),
                );
                continue;
            };
            // When a query ends, its stream closes and its remaining subrequests are dropped.
            if !self.queries.contains_key(&id) {
                continue;
            }
            let target_gate = &mut self.gates[gate];
            let key = target_gate.jobs.insert(GateJob {
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

    /// Sends the result of a subrequest to its coordinator, unless the query has ended.
    fn send_result(&mut self, from: usize, id: u64, subrequest: u32, outcome: Outcome, load: Load) {
        if let Some(query) = self.queries.get(&id) {
            let delay = self.link_delay(from, query.node);
            self.schedule_after(
                delay,
                Event::ResultReceived {
                    id,
                    subrequest,
                    outcome,
                    load,
                },
            );
        }
    }

    /// Cancels a subrequest in the gate of its target, if it is still there.
    fn cancel_subrequest(&mut self, node: usize, target: usize, id: u64, subrequest: u32) {
        let Some(gate) = self.gate_at[node * self.targets.len() + target] else {
            return;
        };
        let jobs = &self.gates[gate].jobs;
        let job = jobs
            .iter()
            .find(|(_, work)| work.id == id && work.subrequest.number == subrequest);
        if let Some(key) = job.map(|(key, _)| key) {
            self.gate_step(gate, gate::Event::Cancel(key));
        }
    }

    /// Passes an event to a gate and carries out the resulting actions.
    pub(crate) fn gate_step(&mut self, number: usize, event: gate::Event) {
        let target_gate = &mut self.gates[number];
        let node = target_gate.node;
        if self.nodes[node].died_at.is_some() {
            return;
        }
        let actions = target_gate
            .gate
            .step(event, self.now, self.nodes[node].permit);
        for action in actions {
            match action {
                gate::Action::Dispatch(key) => {
                    let certain = self.nodes[node].cell.permit_until(self.now);
                    if self.config.policy.single_gateway && self.now >= certain {
                        self.stats.violations.no_permit += 1;
                    }
                    let delay = self.local_delay();
                    self.schedule_after(
                        delay,
                        Event::RequestReceived(Dispatch { gate: number, key }),
                    );
                }
                gate::Action::Refuse(key, reason) => {
                    if let Some(work) = self.gates[number].jobs.remove(key) {
                        let load = self.gates[number].gate.load();
                        self.send_result(
                            node,
                            work.id,
                            work.subrequest.number,
                            Outcome::Failure(reason),
                            load,
                        );
                    }
                }
                gate::Action::Abort(key) => self.abort_job(number, key),
                gate::Action::Release(key) => {
                    self.gates[number].jobs.remove(key);
                }
            }
        }
        let target_gate = &mut self.gates[number];
        if let Some(at) = target_gate
            .gate
            .next_tick()
            .filter(|at| *at < target_gate.scheduled_tick)
        {
            target_gate.scheduled_tick = at.max(self.now + Duration::from_micros(1));
            self.schedule_at(self.gates[number].scheduled_tick, Event::GateTick(number));
        }
    }

    /// Reports a time-out of a dispatched job to its coordinator, and cancels it at the target.
    fn abort_job(&mut self, number: usize, key: JobKey) {
        let target_gate = &mut self.gates[number];
        let load = target_gate.gate.load();
        let Some(work) = target_gate.jobs.get_mut(key) else {
            return;
        };
        let (node, id, subrequest) = (target_gate.node, work.id, work.subrequest.number);
        if !std::mem::replace(&mut work.answered, true) {
            self.send_result(
                node,
                id,
                subrequest,
                Outcome::Failure(Reason::Timeout),
                load,
            );
        }
        let delay = self.local_delay();
        self.schedule_after(delay, Event::CancelJob(Dispatch { gate: number, key }));
    }

    /// Ends a job with the outcome at the target, and forwards the outcome to the coordinator.
    fn receive_reply(&mut self, dispatch: Dispatch, reply: TargetReply, generation: Option<u64>) {
        let (number, key) = (dispatch.gate, dispatch.key);
        let node = self.gates[number].node;
        if self.nodes[node].died_at.is_some() {
            return;
        }
        let Some(work) = self.gates[number].jobs.remove(key) else {
            return;
        };
        if let (Some(generation), TargetReply::Refused(_) | TargetReply::Lost) = (generation, reply)
        {
            self.gate_step(number, gate::Event::ReportGeneration(generation));
        }
        let target_gate = &mut self.gates[number];
        target_gate.reachable = !matches!(reply, TargetReply::Refused(Reason::NotSent));
        let (outcome, result) = match reply {
            TargetReply::Answer => (
                Outcome::Answer {
                    request: format!("{:x}", work.id),
                    version: work.subrequest.version,
                    shard: work.subrequest.shard,
                    attempt: work.subrequest.attempt,
                    body: self.answer_body(work.subrequest.version, work.subrequest.shard),
                },
                Completion::Answered { generation },
            ),
            TargetReply::Refused(reason) => {
                if reason == Reason::VersionGone {
                    let version = work.subrequest.version;
                    target_gate
                        .holdings
                        .retain(|holding| holding.version != version);
                    target_gate.gone_version = Some((version, self.now));
                }
                (Outcome::Failure(reason), Completion::Refused(reason))
            }
            TargetReply::Lost => (
                Outcome::Failure(Reason::ConnectionLost),
                Completion::Lost(Reason::ConnectionLost),
            ),
            TargetReply::Cancelled => (
                Outcome::Failure(Reason::Timeout),
                Completion::Refused(Reason::Cancelled),
            ),
        };
        self.gate_step(number, gate::Event::Finished { key, result });
        if !work.answered {
            let load = self.gates[number].gate.load();
            self.send_result(node, work.id, work.subrequest.number, outcome, load);
        }
    }

    /// Returns the answer of a shard in an index version, with one hit whose id names both.
    fn answer_body(&mut self, version: Version, shard: u32) -> Bytes {
        let body = self
            .answer_bodies
            .entry((version, shard))
            .or_insert_with(|| {
                format!(r#"{{"hits":[{{"id":"v{version}-s{shard}","score":1.0}}]}}"#).into()
            });
        body.clone()
    }

    /// Updates a gate from the status of its target, and schedules the next status call.
    fn poll_target(&mut self, number: usize) {
        self.schedule_after(STATUS_POLL_PERIOD, Event::PollTarget(number));
        let target_gate = &mut self.gates[number];
        if !target_gate.owned || self.nodes[target_gate.node].died_at.is_some() {
            return;
        }
        let target = &self.targets[target_gate.target];
        target_gate.reachable = target.alive;
        if !target.alive {
            return;
        }
        let gone_version = target_gate
            .gone_version
            .filter(|(_, since)| self.now.since(*since) < VERSION_GONE_HOLD);
        target_gate.gone_version = gone_version;
        target_gate.holdings = vec![target.holding];
        target_gate
            .holdings
            .retain(|holding| gone_version.is_none_or(|(version, _)| version != holding.version));
        let generation = target.generation;
        self.gate_step(number, gate::Event::ReportGeneration(generation));
    }

    /// Opens the gate of a node for a target and schedules its status calls.
    pub(crate) fn open_gate(&mut self, node: usize, target: usize, valid_from: Moment) -> usize {
        let limits = self.config.gate_limits();
        let gate = Gate::open(limits, valid_from, self.now);
        let number = self.gates.len();
        self.gates.push(TargetGate {
            node,
            target,
            gate,
            jobs: SlotMap::with_key(),
            owned: true,
            valid_from,
            in_service: true,
            reachable: true,
            holdings: vec![self.targets[target].holding],
            gone_version: None,
            scheduled_tick: Moment::NEVER,
        });
        self.gate_at[node * self.targets.len() + target] = Some(number);
        let phase = STATUS_POLL_PERIOD.mul_f64(self.network_rng.random());
        self.schedule_after(phase, Event::PollTarget(number));
        number
    }

    /// Replaces all gates by ones that treat their targets as warm, as in a system that has run for long.
    fn warm_gates(&mut self) {
        let limits = self.config.gate_limits();
        let mut owned = vec![false; self.targets.len()];
        for number in 0..self.gates.len() {
            let target_gate = &self.gates[number];
            if target_gate.owned {
                assert!(
                    target_gate.valid_from <= self.now,
                    "a gate is not valid yet when gates are warmed; the cells formed too late"
                );
                owned[target_gate.target] = true;
                self.gates[number].gate = self.warm_gate(limits, target_gate.valid_from);
                self.gates[number].scheduled_tick = Moment::NEVER;
            }
        }
        assert!(
            owned.into_iter().all(|owned| owned),
            "a target has no owner when gates are warmed"
        );
    }

    /// Returns a gate that has already received an answer, so that its target counts as warm.
    fn warm_gate(&self, limits: policy::Target, valid_from: Moment) -> Gate {
        let mut keys: SlotMap<JobKey, ()> = SlotMap::with_key();
        let latency = Duration::from_micros(self.config.index.median_service_time_us);
        let end = self.now;
        let begin = end - latency;
        let mut gate = Gate::open(without_ramp(limits), valid_from.min(begin), begin);
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
        gate.step(gate::Event::SetPolicy(limits), end, Moment::NEVER);
        gate
    }

    // Targets.

    /// Starts a request at its target, or sends back a refusal.
    fn receive_request(&mut self, dispatch: Dispatch) {
        let target_gate = &self.gates[dispatch.gate];
        let number = target_gate.target;
        let Some(work) = target_gate.jobs.get(dispatch.key) else {
            return;
        };
        let (version, shard, attempt) = (
            work.subrequest.version,
            work.subrequest.shard,
            work.subrequest.attempt,
        );
        let seed = attempt_seed(self.config.seed, work.id, shard, attempt);
        let target = &mut self.targets[number];
        match target.start(dispatch, version, self.now) {
            Ok((start, factor)) => {
                let (since, out) = self.data_centre_changes[target.data_centre];
                if out {
                    let late = self.now.since(since);
                    self.stats.last_start_after_out_us = self
                        .stats
                        .last_start_after_out_us
                        .max(late.as_micros() as u64);
                    self.stats.violations.starts_while_out += u64::from(late > MAX_START_AFTER_OUT);
                }
                let time = self.config.service_time().sample(seed).mul_f64(factor);
                self.schedule_after(
                    time,
                    Event::ServiceEnded {
                        target: number,
                        start,
                    },
                );
            }
            Err(reason) => {
                let generation = target.alive.then_some(target.generation);
                self.send_reply(dispatch, TargetReply::Refused(reason), generation);
            }
        }
    }

    /// Sends the answer of a request whose service time ended, unless it was cancelled or lost.
    fn end_service(&mut self, number: usize, start: u64) {
        let target = &mut self.targets[number];
        let generation = target.generation;
        if let Some(dispatch) = target.finish(start) {
            self.send_reply(dispatch, TargetReply::Answer, Some(generation));
        }
    }

    /// Cancels a request at its target, if it still runs there.
    fn cancel_job(&mut self, dispatch: Dispatch) {
        let number = self.gates[dispatch.gate].target;
        if self.targets[number].cancel(dispatch) {
            self.send_reply(dispatch, TargetReply::Cancelled, None);
        }
    }

    /// Sends the outcome of a request from its target to its gate.
    fn send_reply(&mut self, dispatch: Dispatch, reply: TargetReply, generation: Option<u64>) {
        let delay = self.local_delay();
        self.schedule_after(
            delay,
            Event::ReplyReceived {
                dispatch,
                reply,
                generation,
            },
        );
    }

    // Faults and changes.

    /// Applies a fault or an operator action of the scenario.
    fn apply_change(&mut self, change: Change) {
        match change {
            Change::KillTarget(target) => {
                for dispatch in self.targets[target].kill() {
                    self.send_reply(dispatch, TargetReply::Lost, None);
                }
                for number in 0..self.gates.len() {
                    if self.gates[number].target == target {
                        self.schedule_after(LOCAL_DELAY, Event::SuspectCold(number));
                    }
                }
            }
            Change::RestartTarget(target) => self.targets[target].restart(),
            Change::TakeOutDataCentre(data_centre) => self.set_out(data_centre, true),
            Change::RestoreDataCentre(data_centre) => {
                // The targets restarted while their data centre was out of service, so they return cold.
                for target in &mut self.targets {
                    if target.data_centre == data_centre {
                        target.kill();
                        target.restart();
                    }
                }
                self.set_out(data_centre, false);
            }
            Change::ReplaceHolding(target, holding) => self.targets[target].holding = holding,
            Change::StoreDown => self.store.down = true,
            Change::StoreUp => self.store.down = false,
            Change::KillNode(node) => self.kill_node(node),
        }
    }

    /// Publishes a settings version that takes a data centre out of service or brings it back.
    fn set_out(&mut self, data_centre: usize, out: bool) {
        self.data_centre_changes[data_centre] = (self.now, out);
        let mut state = *self
            .store
            .out_by_version
            .last()
            .expect("the initial settings version is always present");
        state[data_centre] = out;
        self.store.out_by_version.push(state);
        self.store.settings_version += 1;
    }

    /// Ends a node: its queries move to other coordinators, and the jobs in its gates are lost.
    fn kill_node(&mut self, node: usize) {
        self.nodes[node].died_at = Some(self.now);
        let coordinated: Vec<u64> = self
            .queries
            .iter()
            .filter(|(_, query)| query.node == node)
            .map(|(id, _)| *id)
            .collect();
        for id in coordinated {
            let query = self.queries.remove(&id).expect("the query runs");
            self.fail_over(id, node, query.began, query.failover_time);
        }
        for number in 0..self.gates.len() {
            if self.gates[number].node != node {
                continue;
            }
            let jobs = std::mem::take(&mut self.gates[number].jobs);
            for (_, work) in jobs {
                if !work.answered {
                    let lost = Outcome::Failure(Reason::ConnectionLost);
                    self.send_result(node, work.id, work.subrequest.number, lost, Load::default());
                }
            }
        }
    }

    // Directories.

    /// Builds a new directory for a node, and schedules its adoption and the next refresh.
    fn refresh_directory(&mut self, node: usize) {
        self.schedule_after(cell::EXCHANGE_PERIOD, Event::RefreshDirectory(node));
        if self.nodes[node].died_at.is_some() {
            return;
        }
        let directory = Rc::new(self.build_directory(node));
        // The directory is complete when the summaries of the farthest gateways have arrived.
        let delay = Duration::from_micros(self.config.index.max_link_delay_us);
        self.schedule_after(delay, Event::AdoptDirectory(node, directory));
    }

    /// Builds the directory of a node from the summaries of all gateways.
    pub(crate) fn build_directory(&self, node: usize) -> Directory {
        let targets = (0..self.targets.len()).map(|number| {
            let target = &self.targets[number];
            let gateway = if self.config.policy.single_gateway {
                self.owner(node, target.data_centre, target.service, target.replica)
            } else {
                Some(node)
            };
            let gate = gateway.and_then(|it| self.gate_at[it * self.targets.len() + number]);
            let target_gate = gate.map(|gate| &self.gates[gate]).filter(|it| it.owned);
            let usable = target_gate.is_some_and(|target_gate| {
                let silent = self.nodes[target_gate.node]
                    .died_at
                    .is_some_and(|died_at| self.now.since(died_at) >= cell::LIVENESS_TIMEOUT);
                let valid = target_gate.valid_from <= self.now;
                let open = target_gate.reachable && target_gate.gate.closed().is_none() && valid;
                open && !silent && !self.nodes[node].out_data_centres[target.data_centre]
            });
            directory::Target {
                name: number.to_string().into(),
                address: address(number as u16, 2),
                data_centre: data_centre_name(target.data_centre).into(),
                index: INDEX_NAME.into(),
                service: format!("s{}", target.service).into(),
                replica: target.replica,
                gateway: gateway.map(|it| self.nodes[it].member.clone()),
                usable,
                holdings: target_gate.map_or_else(Vec::new, |it| it.holdings.clone()),
                load: target_gate.map_or_else(Load::default, |it| it.gate.load()),
            }
        });
        Directory::build(targets.collect())
    }

    /// Returns the number of targets of the index.
    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the data centre, service and replica of a target.
    pub(crate) fn target_identity(&self, number: usize) -> (usize, u32, u32) {
        let target = &self.targets[number];
        (target.data_centre, target.service, target.replica)
    }
}

/// Returns a node at the start of a run. Without a single gateway, nodes need no permit.
fn new_node(node: usize, config: Config) -> Node {
    let member = Member {
        name: format!("node-{node}"),
        incarnation: Incarnation(1),
        peer: address(node as u16, 0),
        caller: address(node as u16, 1),
    };
    let data_centre = node * DATA_CENTRE_COUNT / NODE_COUNT;
    let cell_config = cell::Config {
        cell: data_centre_name(data_centre).to_owned(),
        local: member.clone(),
        settings: 0,
        safeguards: cell::Safeguards::default(),
    };
    Node {
        member,
        data_centre,
        died_at: None,
        cell: Cell::open(cell_config, Moment::ZERO),
        permit: if config.policy.single_gateway {
            Moment::ZERO
        } else {
            Moment::NEVER
        },
        settings_version: 0,
        out_data_centres: [false; DATA_CENTRE_COUNT],
        scheduled_tick: Moment::NEVER,
        hedge: HedgeController::new(config.policy.hedge),
        directory: Rc::default(),
        turn: 0,
    }
}

/// Returns an address that holds a number; `kind` separates peer, caller and target addresses.
fn address(number: u16, kind: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1_000 + kind * 20_000 + number).into()
}

/// Returns the number of the node that a member stands for, from the port of its peer address.
pub(crate) const fn node_number(member: &Member) -> usize {
    member.peer.port() as usize - 1_000
}

fn target_number(name: &Arc<str>) -> usize {
    name.parse()
        .expect("the name of a target in the directory is its number")
}

const fn data_centre_name(number: usize) -> &'static str {
    ["dc1", "dc2", "dc3"][number]
}

/// Returns the seed for the service time of one attempt.
///
/// The bits need no further mixing, because the random generator spreads them.
fn attempt_seed(run: u64, id: u64, shard: u32, attempt: u32) -> u64 {
    let query = (id >> 8).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    run.rotate_left(32) ^ query ^ (u64::from(shard) << 8) ^ u64::from(attempt)
}
