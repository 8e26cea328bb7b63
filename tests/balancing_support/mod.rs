//! A model of many nodes and targets in virtual time, which measures how evenly the nodes load the targets.
//!
//! The decisions are those of the program: each node has its own [`Placement`], and each query is a [`Fanout`]. The
//! targets, the network and the callers are modelled. `docs/design/even-load.md` states what the model leaves out.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg32;
use redwinggrade::process::budget::{Bound, Budget};
use redwinggrade::process::placement::{Observation, Placement};
use redwinggrade::process::registry::TargetKey;
use redwinggrade::process::roster::HEARTBEAT_INTERVAL;
use redwinggrade::process::slot::Slot;
use redwinggrade::request::fanout::{Action, Event, Fanout, Plan, REPLY_MARGIN};
use redwinggrade::request::latency::LatencyEstimator;
use redwinggrade::request::reply::{Answer, FailureCause, Outcome};
use redwinggrade::time::Moment;
use redwinggrade::version::route::{Kind, Limits, Route, Table, TableVersion};

use crate::entry_support::{gather, ms, route, service, target_report};

const SHARDS: usize = 90;
const DATA_CENTRES: usize = 3;
const TARGETS: usize = SHARDS * DATA_CENTRES;
const SLOTS: usize = 2;
const QUEUE: usize = 12;
/// Each shard has one target of each speed, and each data centre has targets of all speeds.
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.3];
/// Requests take a log-normal time with this median at speed 1.0, in seconds.
const MEDIAN_SERVICE_SECONDS: f64 = 0.03;
const SERVICE_SIGMA: f64 = 0.35;
const PAUSE_INTERVAL: Duration = Duration::from_millis(4_500);
const PAUSE: Duration = Duration::from_millis(200);
const SLOW_FACTOR: f64 = 8.0;
const SLOW_PERIOD: Duration = Duration::from_secs(8);
/// The first target turns slow at this time, and each further one a second later.
const FIRST_SLOW_AT: Moment = Moment::from_millis(2_500);
/// What happens before this moment is not measured: the nodes know nothing of the targets yet.
const MEASURED_FROM: Moment = Moment::from_millis(2_000);
const WINDOW: Duration = Duration::from_millis(100);
/// How long subrequests go on after their query has ended, as in `entry::serve`.
const HEDGE_LOSER_TIMEOUT: Duration = Duration::from_millis(400);
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
const LEAST_COVERAGE: f64 = 0.95;
const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 58.0,
};
const CONNECTIONS: u32 = 67;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// The nodes that serve callers; a third of them are in each data centre.
    pub nodes: usize,
    /// The queries of all callers; each of them reaches a random node.
    pub queries_per_second: f64,
    /// The targets that turn slow, one after the other.
    pub slow_targets: usize,
    /// The virtual time that is played.
    pub length: Duration,
    /// Starts all random numbers.
    pub seed: u64,
}

/// What was measured.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// For each window of 100 ms, the open requests over slots of the busiest target over the mean of all targets.
    pub busiest_to_mean: Vec<f64>,
    /// Subrequests that reached a target.
    pub arrivals: usize,
    /// Of these, those that found no free slot.
    pub queued: usize,
    /// Of these, those that the target refused because its queue was full.
    pub shed: usize,
    /// Of these, those that came from another data centre.
    pub remote: usize,
    /// Subrequests to slow targets, and what they had got at an equal share of their shard.
    pub to_slow: (usize, f64),
    /// Subrequests that reached each target.
    pub per_target: Vec<usize>,
    /// Hedges that were sent.
    pub hedges: usize,
    /// The times of the answers that came before their subrequests were given up.
    pub subrequest_times: Vec<Duration>,
    /// Until the end of the query, at which its slowest shard has answered or the latency objective is near.
    pub query_times: Vec<Duration>,
    /// Until the least coverage was reached.
    pub coverage_times: Vec<Duration>,
    /// Bytes of reports about loads per second, sent by one node to one other.
    pub report_bytes_per_second: f64,
}

impl Figures {
    pub fn mean_busiest_to_mean(&self) -> f64 {
        self.busiest_to_mean.iter().sum::<f64>() / self.busiest_to_mean.len() as f64
    }

    pub fn remote_share(&self) -> f64 {
        self.remote as f64 / self.arrivals as f64
    }

    /// Returns the subrequests to slow targets, over those at an equal share of their shards.
    pub fn slow_share(&self) -> f64 {
        self.to_slow.0 as f64 / self.to_slow.1.max(1.0)
    }

    /// Adds the figures of another run of the same scenario with another seed.
    pub fn add(&mut self, other: Self) {
        self.busiest_to_mean.extend(other.busiest_to_mean);
        self.arrivals += other.arrivals;
        self.queued += other.queued;
        self.shed += other.shed;
        self.remote += other.remote;
        self.to_slow.0 += other.to_slow.0;
        self.to_slow.1 += other.to_slow.1;
        self.per_target.extend(other.per_target);
        self.hedges += other.hedges;
        self.subrequest_times.extend(other.subrequest_times);
        self.query_times.extend(other.query_times);
        self.coverage_times.extend(other.coverage_times);
        self.report_bytes_per_second = self
            .report_bytes_per_second
            .max(other.report_bytes_per_second);
    }
}

/// Returns a value below which this share of the values lies.
pub fn percentile<T>(values: &[T], share: f64) -> T
where
    T: PartialOrd + Copy,
{
    let mut sorted = values.to_vec();
    sorted.sort_by(|a, b| a.partial_cmp(b).expect("no value is NaN"));
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let times = |times: &[Duration]| {
            [0.5, 0.95, 0.99]
                .map(|share| (percentile(times, share).as_secs_f64() * 1_000.0).round())
                .map(|time| time.to_string())
                .join(" / ")
        };
        let of_arrivals = |count: usize| 100.0 * count as f64 / self.arrivals as f64;
        write!(
            f,
            "{:.2} | {:.2} | {:.2} | {:.1} | {:.3} | {:.1} | {:.1} | {} | {} | {} | {:.2} | {:.0}",
            self.mean_busiest_to_mean(),
            percentile(&self.busiest_to_mean, 0.5),
            percentile(&self.busiest_to_mean, 0.95),
            of_arrivals(self.queued),
            of_arrivals(self.shed),
            of_arrivals(self.remote),
            of_arrivals(self.hedges),
            times(&self.subrequest_times),
            times(&self.query_times),
            times(&self.coverage_times),
            self.slow_share(),
            self.report_bytes_per_second,
        )
    }
}

/// Plays the scenario; `set_up` is called with each new placement.
pub fn play<F>(scenario: Scenario, set_up: F) -> Figures
where
    F: Fn(&mut Placement),
{
    let mut model = Model::new(scenario, set_up);
    while let Some(Reverse((now, _, occurrence))) = model.pending.pop() {
        if now > Moment::ZERO + scenario.length {
            break;
        }
        model.handle(occurrence, now);
    }
    model.figures
}

/// Something that is due at a moment; fields are indices into the lists of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Query,
    /// A subrequest reaches its target.
    Reach(usize),
    /// A target has run a subrequest.
    Done(usize),
    /// The answer or the refusal of a subrequest reaches its node.
    Result(usize),
    Tick(usize),
    /// The subrequests of a query that has ended are given up.
    GiveUp(usize),
    Heartbeat(usize),
    Window,
}

struct Node {
    placement: Placement,
    data_centre: usize,
    mean: Duration,
    high_percentile: LatencyEstimator,
}

struct Query {
    fanout: Fanout,
    node: usize,
    sent_at: Moment,
    expected: Duration,
    subrequests: Vec<usize>,
    next_tick: Moment,
    has_coverage: bool,
    ended: bool,
}

struct Subrequest {
    query: usize,
    number: usize,
    target: usize,
    sent_at: Moment,
    shed: bool,
    /// The slot at the target; absent once the subrequest has ended.
    slot: Option<Slot>,
}

#[derive(Clone)]
struct Target {
    speed: f64,
    /// When the first pause starts.
    phase: Duration,
    slow_from: Moment,
    running: usize,
    queue: VecDeque<usize>,
    /// Open requests times seconds in the present window.
    area: f64,
    area_until: Moment,
}

impl Target {
    fn open(&self) -> usize {
        self.running + self.queue.len()
    }

    fn is_slow(&self, now: Moment) -> bool {
        now >= self.slow_from && now < self.slow_from + SLOW_PERIOD
    }

    fn add_area(&mut self, now: Moment) {
        self.area += self.open() as f64 * now.since(self.area_until).as_secs_f64();
        self.area_until = now;
    }

    /// Returns when work ends that needs this time without pauses.
    fn end_of_work(&self, start: Moment, work: Duration) -> Moment {
        let micros = |time: Duration| time.as_micros() as u64;
        let (interval, pause) = (micros(PAUSE_INTERVAL), micros(PAUSE));
        // Each interval begins with a pause.
        let position = (start.as_micros() + interval - micros(self.phase)) % interval;
        let rest_of_pause = pause.saturating_sub(position);
        let until_pause = interval - position.max(pause);
        let beyond = micros(work).checked_sub(until_pause);
        let pauses = beyond.map_or(0, |beyond| 1 + beyond / (interval - pause));
        start + Duration::from_micros(rest_of_pause + micros(work) + pauses * pause)
    }
}

struct Model {
    scenario: Scenario,
    random: Pcg32,
    pending: BinaryHeap<Reverse<(Moment, u64, Occurrence)>>,
    scheduled: u64,
    nodes: Vec<Node>,
    targets: Vec<Target>,
    keys: Vec<TargetKey>,
    indices: HashMap<TargetKey, usize>,
    table: Arc<Table>,
    route: Arc<Route>,
    queries: Vec<Query>,
    subrequests: Vec<Subrequest>,
    figures: Figures,
}

fn data_centre_name(number: usize) -> String {
    format!("dc{number}")
}

impl Model {
    fn new<F>(scenario: Scenario, set_up: F) -> Self
    where
        F: Fn(&mut Placement),
    {
        let mut random = Pcg32::seed_from_u64(scenario.seed);
        let names: Vec<String> = (0..scenario.nodes).map(|n| format!("n{n}")).collect();
        let nodes: Vec<Node> = (0..scenario.nodes)
            .map(|n| {
                let data_centre = n % DATA_CENTRES;
                let mut placement = Placement::open(
                    Arc::from(data_centre_name(data_centre)),
                    Budget::open(BOUND, scenario.nodes),
                    &names[n],
                    random.random(),
                );
                placement.set_nodes(&names, true, Moment::ZERO);
                for target in 0..TARGETS {
                    let report = target_report(
                        &format!("s{}", target / DATA_CENTRES),
                        &data_centre_name(target % DATA_CENTRES),
                        1_000 + u16::try_from(target).expect("few targets"),
                    );
                    placement.put(&Arc::from(format!("t{target}")), report, Moment::ZERO);
                }
                set_up(&mut placement);
                Node {
                    placement,
                    data_centre,
                    mean: LATENCY_OBJECTIVE / 6,
                    high_percentile: LatencyEstimator::with_tail_divisor(5),
                }
            })
            .collect();
        // All nodes add the targets in the same order, so that their keys are the same.
        let indices: HashMap<TargetKey, usize> = nodes[0]
            .placement
            .registry
            .targets()
            .map(|(key, target)| {
                (
                    key,
                    target.name[1..].parse().expect("the name ends in a number"),
                )
            })
            .collect();
        let mut keys: Vec<(usize, TargetKey)> = indices.iter().map(|(key, n)| (*n, *key)).collect();
        keys.sort_unstable();
        let mut targets: Vec<Target> = (0..TARGETS)
            .map(|target| Target {
                speed: SPEEDS[(target / DATA_CENTRES + target % DATA_CENTRES) % 3],
                phase: Duration::from_micros(
                    random.random_range(0..PAUSE_INTERVAL.as_micros() as u64),
                ),
                slow_from: Moment::NEVER,
                running: 0,
                queue: VecDeque::new(),
                area: 0.0,
                area_until: Moment::ZERO,
            })
            .collect();
        for n in 0..scenario.slow_targets {
            let target = random.random_range(0..TARGETS);
            targets[target].slow_from = FIRST_SLOW_AT + ms(1_000 * n as u64);
        }
        let route = Route {
            latency_objective: LATENCY_OBJECTIVE,
            ..route(Kind::Idempotent, 2, gather(SHARDS, LEAST_COVERAGE))
        };
        let services =
            (0..SHARDS).map(|n| (Arc::from(format!("s{n}")), service(CONNECTIONS, None)));
        let table = Table::new(
            TableVersion(1),
            Limits::default(),
            [route.clone()],
            services.collect::<Vec<_>>(),
        );
        let mut model = Self {
            scenario,
            random,
            pending: BinaryHeap::new(),
            scheduled: 0,
            keys: keys.into_iter().map(|(_, key)| key).collect(),
            indices,
            nodes,
            targets,
            table: Arc::new(table),
            route: Arc::new(route),
            queries: Vec::new(),
            subrequests: Vec::new(),
            figures: Figures {
                per_target: vec![0; TARGETS],
                ..Figures::default()
            },
        };
        model.schedule(Moment::ZERO, Occurrence::Query);
        model.schedule(MEASURED_FROM, Occurrence::Window);
        for node in 0..scenario.nodes {
            let phase = model
                .random
                .random_range(0..HEARTBEAT_INTERVAL.as_micros() as u64);
            model.schedule(Moment::from_micros(phase), Occurrence::Heartbeat(node));
        }
        model
    }

    fn schedule(&mut self, at: Moment, occurrence: Occurrence) {
        self.scheduled += 1;
        self.pending.push(Reverse((at, self.scheduled, occurrence)));
    }

    fn handle(&mut self, occurrence: Occurrence, now: Moment) {
        match occurrence {
            Occurrence::Query => self.begin_query(now),
            Occurrence::Reach(subrequest) => self.reach(subrequest, now),
            Occurrence::Done(subrequest) => self.done(subrequest, now),
            Occurrence::Result(subrequest) => self.receive(subrequest, now),
            Occurrence::Tick(query) => {
                if !self.queries[query].ended && self.queries[query].next_tick == now {
                    self.step(query, Event::Tick, now);
                }
            }
            Occurrence::GiveUp(query) => self.give_up(query, now),
            Occurrence::Heartbeat(node) => self.heartbeat(node, now),
            Occurrence::Window => self.close_window(now),
        }
    }

    /// Returns the time on the way between two data centres: in one, between near ones, and to the far one.
    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let least = match (a.min(b), a.max(b)) {
            (a, b) if a == b => 100,
            (0, 1) => 900,
            _ => 5_400,
        };
        Duration::from_micros(least + self.random.random_range(0..200))
    }

    fn begin_query(&mut self, now: Moment) {
        let gap = Exp::new(self.scenario.queries_per_second).expect("the rate is positive");
        let gap = Duration::from_secs_f64(gap.sample(&mut self.random));
        self.schedule(now + gap, Occurrence::Query);
        let number = self.random.random_range(0..self.nodes.len());
        let node = &self.nodes[number];
        let delay_max = LATENCY_OBJECTIVE * 9 / 20;
        let hedge_delay = node.high_percentile.percentile();
        let plan = Plan {
            table: Arc::clone(&self.table),
            route: Arc::clone(&self.route),
            services: (0..SHARDS).map(|n| Arc::from(format!("s{n}"))).collect(),
            sent_at: now,
            deadline: now + self.route.timeout,
            expected_latency: node.mean,
            hedge_delay: hedge_delay
                .unwrap_or(LATENCY_OBJECTIVE / 3)
                .clamp(ms(8), delay_max),
            reply_margin: REPLY_MARGIN,
        };
        self.queries.push(Query {
            expected: node.mean,
            fanout: Fanout::new(plan),
            node: number,
            sent_at: now,
            subrequests: Vec::new(),
            next_tick: Moment::NEVER,
            has_coverage: false,
            ended: false,
        });
        self.step(self.queries.len() - 1, Event::Start, now);
    }

    fn step(&mut self, number: usize, event: Event, now: Moment) {
        let node = self.queries[number].node;
        let query = &mut self.queries[number];
        let actions = query
            .fanout
            .step(event, now, &mut self.nodes[node].placement);
        for action in actions {
            match action {
                Action::Send { slot, cause, .. } => {
                    slot.is_sent().store(true, Ordering::Relaxed);
                    let target = self.indices[&slot.target()];
                    let subrequest = self.subrequests.len();
                    let number_in_query = self.queries[number].subrequests.len();
                    self.queries[number].subrequests.push(subrequest);
                    self.subrequests.push(Subrequest {
                        query: number,
                        number: number_in_query,
                        target,
                        sent_at: now,
                        shed: false,
                        slot: Some(slot),
                    });
                    if now >= MEASURED_FROM {
                        self.figures.hedges +=
                            usize::from(cause == redwinggrade::wire::Cause::Hedge);
                    }
                    let delay = self.delay(self.nodes[node].data_centre, target % DATA_CENTRES);
                    self.schedule(now + delay, Occurrence::Reach(subrequest));
                }
                Action::Finish(_) => {
                    let query = &mut self.queries[number];
                    query.ended = true;
                    if query.sent_at >= MEASURED_FROM {
                        self.figures.query_times.push(now.since(query.sent_at));
                    }
                    self.schedule(now + HEDGE_LOSER_TIMEOUT, Occurrence::GiveUp(number));
                }
            }
        }
        let query = &mut self.queries[number];
        let (answered, shards) = query.fanout.coverage();
        if !query.has_coverage && answered as f64 >= LEAST_COVERAGE * shards as f64 {
            query.has_coverage = true;
            if query.sent_at >= MEASURED_FROM {
                self.figures.coverage_times.push(now.since(query.sent_at));
            }
        }
        if !query.ended {
            let next_tick = query.fanout.next_wake().max(now);
            if next_tick != query.next_tick {
                query.next_tick = next_tick;
                self.schedule(next_tick, Occurrence::Tick(number));
            }
        }
    }

    fn reach(&mut self, number: usize, now: Moment) {
        let subrequest = &mut self.subrequests[number];
        let (target_number, node) = (subrequest.target, self.queries[subrequest.query].node);
        let target = &mut self.targets[target_number];
        let is_full = target.queue.len() >= QUEUE;
        if now >= MEASURED_FROM {
            let figures = &mut self.figures;
            figures.arrivals += 1;
            figures.per_target[target_number] += 1;
            figures.queued += usize::from(target.running >= SLOTS);
            figures.shed += usize::from(is_full);
            figures.remote +=
                usize::from(self.nodes[node].data_centre != target_number % DATA_CENTRES);
            let shard = target_number / DATA_CENTRES * DATA_CENTRES;
            if (shard..shard + DATA_CENTRES).any(|it| self.targets[it].is_slow(now)) {
                figures.to_slow.0 += usize::from(self.targets[target_number].is_slow(now));
                figures.to_slow.1 += 1.0 / DATA_CENTRES as f64;
            }
        }
        let target = &mut self.targets[target_number];
        if is_full {
            subrequest.shed = true;
            let refused_at = target.end_of_work(now, Duration::ZERO);
            self.answer(number, refused_at);
            return;
        }
        target.add_area(now);
        if target.running >= SLOTS {
            target.queue.push_back(number);
        } else {
            target.running += 1;
            self.run(number, now);
        }
    }

    fn run(&mut self, number: usize, now: Moment) {
        let target = &self.targets[self.subrequests[number].target];
        let times = LogNormal::new(MEDIAN_SERVICE_SECONDS.ln(), SERVICE_SIGMA)
            .expect("the parameters are finite");
        let factor = if target.is_slow(now) {
            SLOW_FACTOR
        } else {
            1.0
        };
        let work = Duration::from_secs_f64(times.sample(&mut self.random) * factor / target.speed);
        let end = target.end_of_work(now, work);
        self.schedule(end, Occurrence::Done(number));
    }

    fn done(&mut self, number: usize, now: Moment) {
        let target = &mut self.targets[self.subrequests[number].target];
        target.add_area(now);
        let next = target.queue.pop_front();
        if next.is_none() {
            target.running -= 1;
        }
        if let Some(next) = next {
            self.run(next, now);
        }
        self.answer(number, now);
    }

    fn answer(&mut self, number: usize, at: Moment) {
        let subrequest = &self.subrequests[number];
        let node = self.queries[subrequest.query].node;
        let target = subrequest.target;
        let delay = self.delay(self.nodes[node].data_centre, target % DATA_CENTRES);
        self.schedule(at + delay, Occurrence::Result(number));
    }

    fn receive(&mut self, number: usize, now: Moment) {
        let subrequest = &mut self.subrequests[number];
        if subrequest.slot.take().is_none() {
            return;
        }
        let (query, number) = (subrequest.query, subrequest.number);
        let took = now.since(subrequest.sent_at);
        let node = &mut self.nodes[self.queries[query].node];
        let (outcome, observation) = if subrequest.shed {
            (Outcome::NotRun(FailureCause::Shed), Observation::Refused)
        } else {
            node.mean = (node.mean * 31 + took) / 32;
            node.high_percentile.record(took);
            if subrequest.sent_at >= MEASURED_FROM {
                self.figures.subrequest_times.push(took);
            }
            let answer = Answer {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                signature: None,
                body: Bytes::new(),
            };
            let expected = self.queries[query].expected;
            let observation = Observation::Answered { took, expected };
            (Outcome::Succeeded(answer), observation)
        };
        let key = self.keys[subrequest.target];
        node.placement.observe(key, observation, now);
        if !self.queries[query].ended {
            let event = Event::Result {
                subrequest: number,
                outcome,
            };
            self.step(query, event, now);
        }
    }

    fn give_up(&mut self, query: usize, now: Moment) {
        let node = self.queries[query].node;
        for &number in &self.queries[query].subrequests {
            let subrequest = &mut self.subrequests[number];
            if subrequest.slot.take().is_some() {
                let key = self.keys[subrequest.target];
                let placement = &mut self.nodes[node].placement;
                placement.observe(key, Observation::NoResult, now);
            }
        }
    }

    fn heartbeat(&mut self, node: usize, now: Moment) {
        let placement = &mut self.nodes[node].placement;
        // The kernel of a target accepts connections while its process pauses.
        for key in placement.due_probes(now) {
            placement.record_probe(key, true);
        }
        let loads = placement.report_loads(now);
        if !loads.is_empty() {
            if now >= MEASURED_FROM {
                let seconds = self.scenario.length.as_secs_f64() - 2.0;
                let bytes = rmp_serde::to_vec(&loads).expect("loads encode").len() + 2;
                self.figures.report_bytes_per_second +=
                    bytes as f64 / seconds / self.scenario.nodes as f64;
            }
            for to in (0..self.nodes.len()).filter(|to| *to != node) {
                self.nodes[to].placement.record_loads(&loads, now);
            }
        }
        self.schedule(now + HEARTBEAT_INTERVAL, Occurrence::Heartbeat(node));
    }

    fn close_window(&mut self, now: Moment) {
        let (mut most, mut sum) = (0.0_f64, 0.0);
        for target in &mut self.targets {
            target.add_area(now);
            let area = std::mem::take(&mut target.area);
            most = most.max(area);
            sum += area;
        }
        if now > MEASURED_FROM && sum > 0.0 {
            let ratio = most / (sum / TARGETS as f64);
            self.figures.busiest_to_mean.push(ratio);
        }
        self.schedule(now + WINDOW, Occurrence::Window);
    }
}
