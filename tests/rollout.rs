//! Tests roll-outs in virtual time: several nodes with the real decision code exchange reports and share a modelled
//! store, while targets of two versions answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use redwinggrade::connection::keyspace::{Era, Revision};
use redwinggrade::process::heartbeat::Reports;
use redwinggrade::rollout::evidence::{Sample, Tally};
use redwinggrade::rollout::report::{REPORTS_MAX_BYTES, Report};
use redwinggrade::rollout::run::Targets;
use redwinggrade::rollout::share::{Share, slack_part};
use redwinggrade::rollout::state::{Event, Output, Rollouts, Side};
use redwinggrade::rollout::verdict::{Comparison, Fault, judge};
use redwinggrade::rollout::{Bounds, Order, Phase, Record, RunId};
use redwinggrade::time::Moment;
use redwinggrade::wire::Cause;
use rstest::rstest;

const BOUNDS: Bounds = Bounds {
    canary_share: 0.1,
    canary_slack: 50.0,
    rollback: Duration::from_secs(5),
};
/// The requests a second of the service, over all nodes.
const RATE: f64 = 40.0;
const DURATION: Duration = Duration::from_secs(12);
/// When the order is written, in milliseconds; before, the nodes only see each other.
const ORDER_AT: u64 = 2_000;
const HEARTBEAT: u64 = 300;
const ROUTES: [&str; 2] = ["read", "list"];

fn service() -> Arc<str> {
    Arc::from("s0")
}

fn order(version: &str) -> Order {
    Order {
        version: Arc::from(version),
        duration: DURATION,
    }
}

/// How targets of the new version answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Good,
    FailsAtOnce,
    /// From five seconds after the order.
    FailsLater,
    /// While more than half of the service's requests go to the version.
    FailsUnderLoad,
    /// On the second route.
    FailsOnOneRoute,
    /// Half of the answers take five times as long.
    Slow,
    /// Only the first of the three targets fails, and only half of its answers, for five seconds.
    OneTargetFails,
}

/// What happens besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The first decider is lost five seconds after the order.
    DeciderLost,
    /// All nodes write, whatever their place.
    TwoDeciders,
    /// Each node starts again within the roll-out, one per second.
    Restarts,
    /// One report in five is lost.
    ReportsLost,
    /// Half of the answers of the store are lost, although it has written.
    AnswersLost,
    /// The store comes back from a copy without the order and the record, and the operator writes the order again.
    Restored,
    /// The store is down from two to six seconds after the order.
    StoreDown,
}

#[derive(Debug)]
enum Message {
    To(usize, Event),
    /// A write of a node arrives at the store.
    Write(usize, Record),
    /// The result of a request.
    Result(usize, usize, usize, bool, Sample),
}

struct Node {
    name: String,
    state: Rollouts,
    alive: bool,
    tick_offset: u64,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    at: u64,
    to_new: bool,
}

struct Simulation {
    nodes: Vec<Node>,
    behaviour: Behaviour,
    trouble: Trouble,
    rate: f64,
    new_targets: usize,
    random: Pcg32,
    queue: Vec<(u64, Message)>,
    sent: Vec<Sent>,
    bad_at: Vec<u64>,
    era: u64,
    number: u64,
    order: Option<(Order, Revision)>,
    record: Option<Record>,
    /// The phases that the store has held, with their times.
    phases: Vec<(u64, RunId, Phase)>,
}

impl Simulation {
    fn new(nodes: usize, behaviour: Behaviour, trouble: Trouble, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let nodes = (0..nodes).map(|number| {
            let name = format!("n{number}");
            Node {
                state: Rollouts::open(Some(BOUNDS), &name),
                name,
                alive: true,
                tick_offset: random.random_range(0..HEARTBEAT),
            }
        });
        Self {
            nodes: nodes.collect(),
            behaviour,
            trouble,
            rate: RATE,
            new_targets: 3,
            random,
            queue: Vec::new(),
            sent: Vec::new(),
            bad_at: Vec::new(),
            era: 1,
            number: 10,
            order: None,
            record: None,
            phases: Vec::new(),
        }
    }

    fn revision(&mut self) -> Revision {
        self.number += 1;
        Revision::in_era(Era(self.era), self.number)
    }

    /// Tells all nodes of a change in the store. Each sees it with a delay of its own.
    fn publish(&mut self, event: &Event, now: u64) {
        for index in 0..self.nodes.len() {
            let at = now + self.random.random_range(50..1_200);
            self.queue.push((at, Message::To(index, event.clone())));
        }
    }

    fn write_order(&mut self, order: Order, now: u64) {
        let revision = self.revision();
        self.order = Some((order.clone(), revision));
        let event = Event::Order {
            service: service(),
            order,
            revision,
            live: true,
        };
        self.publish(&event, now);
    }

    fn remove_order(&mut self, now: u64) {
        self.order = None;
        self.publish(&Event::OrderRemoved { service: service() }, now);
    }

    fn is_store_down(&self, now: u64) -> bool {
        self.trouble == Trouble::StoreDown && (ORDER_AT + 2_000..ORDER_AT + 6_000).contains(&now)
    }

    /// Writes a record as the writer does: not over a later phase of the same run or the record of a later order.
    fn write_record(&mut self, record: Record, now: u64) -> Record {
        let known = self.record.as_ref().filter(|known| {
            let is_same_run = known.run == record.run;
            is_same_run && (known.phase > record.phase || known.phase.is_final())
                || !is_same_run && known.order_revision() > record.order_revision()
        });
        if let Some(known) = known
            && (known.phase != record.phase || known.order_revision() >= record.order_revision())
        {
            return known.clone();
        }
        self.revision();
        self.record = Some(record.clone());
        self.phases.push((now, record.run, record.phase));
        let event = Event::Record {
            service: service(),
            record: record.clone(),
        };
        self.publish(&event, now);
        record
    }

    fn sample(&mut self, route: usize, target: usize, now: u64) -> Sample {
        let recent = self.sent.iter().rev().take(20);
        let load = recent.filter(|it| it.to_new).count();
        let draw: f64 = self.random.random();
        let fails = match self.behaviour {
            Behaviour::Good | Behaviour::Slow => false,
            Behaviour::FailsAtOnce => draw < 0.3,
            Behaviour::FailsLater => now > ORDER_AT + 5_000 && draw < 0.3,
            Behaviour::FailsUnderLoad => load > 10 && draw < 0.4,
            Behaviour::FailsOnOneRoute => route == 1 && draw < 0.5,
            Behaviour::OneTargetFails => {
                target == 0 && (ORDER_AT + 2_000..ORDER_AT + 7_000).contains(&now) && draw < 0.5
            }
        };
        let usual = self.random.random_range(15.0..45.0);
        let factor = if self.behaviour == Behaviour::Slow && draw < 0.5 {
            5.0
        } else {
            1.0
        };
        if fails {
            Sample::Failed
        } else {
            Sample::Good(Duration::from_secs_f64(usual * factor / 1_000.0))
        }
    }

    fn request(&mut self, now: u64) {
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].alive)
            .collect();
        let node = alive[self.random.random_range(0..alive.len())];
        let moment = Moment::from_millis(now);
        let has_new = self.new_targets > 0;
        let state = &mut self.nodes[node].state;
        let sides = state.sides("s0", Cause::First, true, has_new, moment);
        let usable = |side: &Side| *side == Side::Old || (*side == Side::New && has_new);
        let to_new = sides.into_iter().find(usable) == Some(Side::New);
        state.record_sent("s0", Cause::First, to_new);
        self.sent.push(Sent { at: now, to_new });
        let route = self.random.random_range(0..ROUTES.len());
        let target = self.random.random_range(0..3);
        let sample = if to_new {
            self.sample(route, target, now)
        } else {
            Sample::Good(Duration::from_millis(self.random.random_range(15..45)))
        };
        let took = match sample {
            Sample::Good(took) => took.as_millis() as u64,
            _ => 20,
        };
        let message = Message::Result(node, route, target, to_new, sample);
        self.queue.push((now + took, message));
    }

    fn tick(&mut self, index: usize, now: u64) {
        let moment = Moment::from_millis(now);
        let others = self.nodes.iter().filter(|node| node.alive);
        let others = others.map(|node| node.name.clone());
        let own = self.nodes[index].name.clone();
        let serving: BTreeSet<String> = others.filter(|name| *name != own).collect();
        let targets = Targets {
            new: self.new_targets,
            old: 3,
            open_old: 0,
        };
        let state = &mut self.nodes[index].state;
        let mut outputs = Vec::new();
        // Without knowledge of other nodes, each is the first to write.
        let serving = match self.trouble {
            Trouble::TwoDeciders if index < 2 => BTreeSet::new(),
            _ => serving,
        };
        for event in [
            Event::Nodes {
                serving,
                serves: true,
                in_touch: true,
            },
            Event::Targets {
                service: service(),
                targets,
            },
            Event::Tick,
        ] {
            outputs.extend(state.step(event, moment));
        }
        let reports = state.report(moment);
        for output in outputs {
            if let Output::Write { record, .. } = output {
                let at = now + self.random.random_range(5..60);
                self.queue.push((at, Message::Write(index, record)));
            }
        }
        for other in 0..self.nodes.len() {
            let is_lost = self.trouble == Trouble::ReportsLost && self.random.random_bool(0.2);
            if other == index || is_lost || reports.is_empty() {
                continue;
            }
            let event = Event::Heard {
                node: own.clone(),
                reports: reports.clone(),
            };
            let at = now + self.random.random_range(1..8);
            self.queue.push((at, Message::To(other, event)));
        }
    }

    fn handle(&mut self, message: Message, now: u64) {
        let moment = Moment::from_millis(now);
        match message {
            Message::To(index, event) => {
                let is_cut = self.is_store_down(now)
                    && matches!(event, Event::Record { .. } | Event::Order { .. });
                if is_cut {
                    self.queue.push((now + 500, Message::To(index, event)));
                } else if self.nodes[index].alive {
                    self.nodes[index].state.step(event, moment);
                }
            }
            Message::Write(index, record) => {
                let stored = if self.is_store_down(now) {
                    None
                } else {
                    let stored = self.write_record(record, now);
                    let is_lost =
                        self.trouble == Trouble::AnswersLost && self.random.random_bool(0.5);
                    (!is_lost).then_some(stored)
                };
                let event = Event::Written {
                    service: service(),
                    record: stored,
                };
                self.queue.push((now + 20, Message::To(index, event)));
            }
            Message::Result(index, route, target, is_new, sample) => {
                if is_new && sample == Sample::Failed {
                    self.bad_at.push(now);
                }
                let version = if is_new { "v2" } else { "v1" };
                let target = format!("{version}-{target}");
                let state = &mut self.nodes[index].state;
                state.record_result("s0", ROUTES[route], (&target, version), sample);
            }
        }
    }

    fn make_trouble(&mut self, now: u64) {
        match self.trouble {
            Trouble::DeciderLost if now == ORDER_AT + 5_000 => {
                let writer = self.record.as_ref().map(|record| record.run);
                assert!(writer.is_some(), "a record is written within five seconds");
                // Whichever node decides, half of the nodes are lost with it or without.
                let lost = self.nodes.len() / 2;
                for node in &mut self.nodes[..lost] {
                    node.alive = false;
                }
            }
            Trouble::Restarts if now > ORDER_AT && now.is_multiple_of(1_000) => {
                let index = (now / 1_000) as usize % self.nodes.len();
                let node = &mut self.nodes[index];
                node.state = Rollouts::open(Some(BOUNDS), &node.name);
                let (order, revision) = self.order.clone().expect("the order is written");
                let mut events = vec![Event::Order {
                    service: service(),
                    order,
                    revision,
                    live: false,
                }];
                events.extend(self.record.clone().map(|record| Event::Record {
                    service: service(),
                    record,
                }));
                for event in events {
                    self.queue.push((now + 100, Message::To(index, event)));
                }
            }
            Trouble::Restored if now == ORDER_AT + 9_500 => {
                self.era += 1;
                self.number = 5;
                self.record = None;
                self.publish(&Event::Restored, now);
            }
            Trouble::Restored if now == ORDER_AT + 10_000 => {
                let (order, _) = self.order.clone().expect("the order is written");
                self.write_order(order, now);
            }
            _ => {}
        }
    }

    /// Plays the time from `from` to `to`, in milliseconds.
    fn play(&mut self, from: u64, to: u64) {
        for now in from..to {
            self.make_trouble(now);
            let due = |(at, _): &mut (u64, Message)| *at <= now;
            for (_, message) in self.queue.extract_if(.., due).collect::<Vec<_>>() {
                self.handle(message, now);
            }
            for index in 0..self.nodes.len() {
                let is_due = (now + self.nodes[index].tick_offset).is_multiple_of(HEARTBEAT);
                if is_due && self.nodes[index].alive {
                    self.tick(index, now);
                }
            }
            if self.random.random::<f64>() < self.rate / 1_000.0 {
                self.request(now);
            }
        }
    }

    fn run(&mut self) {
        self.play(0, ORDER_AT);
        self.write_order(order("v2"), ORDER_AT);
        self.play(ORDER_AT, ORDER_AT + 20_000);
    }

    fn final_phase(&self) -> Option<Phase> {
        self.record.as_ref().map(|record| record.phase)
    }

    /// When the store first held a phase.
    fn reached_at(&self, phase: Phase) -> Option<u64> {
        let reached = self.phases.iter().find(|(_, _, known)| *known == phase);
        reached.map(|(at, ..)| *at)
    }

    fn assert_exposure(&self) {
        let deadline = ORDER_AT + DURATION.as_millis() as u64;
        let until_deadline = self
            .sent
            .iter()
            .filter(|it| (ORDER_AT..deadline).contains(&it.at))
            .count();
        let to_new = self.sent.iter().filter(|it| it.to_new).count();
        let allowed = BOUNDS.canary_share * until_deadline as f64 + BOUNDS.canary_slack;
        assert!(
            to_new as f64 <= allowed,
            "{to_new} requests to the version, {allowed} allowed"
        );
        if let Some(clear_at) = self.bad_at.get(49) {
            let late = self
                .sent
                .iter()
                .filter(|it| it.to_new && it.at > clear_at + 5_000);
            assert_eq!(late.count(), 0);
        }
    }

    fn assert_phases_advance(&self) {
        for pair in self.phases.windows(2) {
            let ((_, run, phase), (_, next_run, next)) = (pair[0], pair[1]);
            assert!(
                run != next_run || phase <= next && (phase == next || !phase.is_final()),
                "{:?}",
                self.phases
            );
        }
    }
}

/// Guards against a good version that does not get all traffic before its deadline, whatever happens to nodes, reports and
/// the store meanwhile.
#[rstest]
fn good_version_completes_before_deadline(
    #[values(3, 8, 24)] nodes: usize,
    #[values(
        Trouble::None,
        Trouble::DeciderLost,
        Trouble::TwoDeciders,
        Trouble::Restarts,
        Trouble::ReportsLost,
        Trouble::AnswersLost,
        Trouble::StoreDown
    )]
    trouble: Trouble,
) {
    for seed in 1..=5 {
        let mut simulation = Simulation::new(nodes, Behaviour::Good, trouble, seed);
        simulation.run();
        simulation.assert_phases_advance();
        let completed = simulation.reached_at(Phase::Completed);
        let deadline = ORDER_AT + DURATION.as_millis() as u64;
        assert!(
            completed.is_some_and(|at| at <= deadline),
            "seed {seed}: {:?}",
            simulation.phases
        );
        assert_eq!(simulation.final_phase(), Some(Phase::Completed));
        let last = simulation.sent.last().expect("requests are sent");
        assert!(last.to_new, "old targets get nothing after the end");
    }
}

/// Guards against callers that get more of a bad version than the bounds allow.
#[rstest]
fn bad_version_is_rolled_back_within_bounds(
    #[values(3, 8, 24)] nodes: usize,
    #[values(
        Behaviour::FailsAtOnce,
        Behaviour::FailsLater,
        Behaviour::FailsUnderLoad,
        Behaviour::FailsOnOneRoute,
        Behaviour::Slow
    )]
    behaviour: Behaviour,
    #[values(
        Trouble::None,
        Trouble::DeciderLost,
        Trouble::ReportsLost,
        Trouble::AnswersLost,
        Trouble::StoreDown
    )]
    trouble: Trouble,
) {
    for seed in 1..=5 {
        let mut simulation = Simulation::new(nodes, behaviour, trouble, seed);
        simulation.run();
        simulation.assert_phases_advance();
        assert_eq!(
            simulation.final_phase(),
            Some(Phase::RolledBack),
            "seed {seed}: {:?}",
            simulation.phases
        );
        simulation.assert_exposure();
    }
}

/// Guards against bounds that hold only at a usual rate of requests.
#[rstest]
#[case::lowest(5.0, Behaviour::FailsAtOnce)]
#[case::low(10.0, Behaviour::FailsAtOnce)]
#[case::half(20.0, Behaviour::FailsAtOnce)]
#[case::half_slow(20.0, Behaviour::Slow)]
#[case::high(200.0, Behaviour::FailsAtOnce)]
#[case::high_under_load(200.0, Behaviour::FailsUnderLoad)]
#[case::high_slow(200.0, Behaviour::Slow)]
#[case::highest(600.0, Behaviour::FailsAtOnce)]
#[case::highest_under_load(600.0, Behaviour::FailsUnderLoad)]
fn bounds_hold_at_other_rates(#[case] rate: f64, #[case] behaviour: Behaviour) {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(24, behaviour, Trouble::None, seed);
        simulation.rate = rate;
        simulation.run();
        assert_eq!(simulation.final_phase(), Some(Phase::RolledBack), "{seed}");
        simulation.assert_exposure();
    }
}

/// Guards against a good version that is rolled back for a fault of one of its targets.
#[rstest]
fn fault_of_one_target_does_not_count_against_version(#[values(3, 24)] nodes: usize) {
    for seed in 1..=10 {
        let mut simulation = Simulation::new(nodes, Behaviour::OneTargetFails, Trouble::None, seed);
        simulation.run();
        assert_eq!(simulation.final_phase(), Some(Phase::Completed), "{seed}");
    }
}

/// Guards against a store that comes back from an older copy and so turns the traffic back or ends the roll-out.
#[rstest]
#[case::good(Behaviour::Good, Phase::Completed)]
#[case::bad(Behaviour::FailsAtOnce, Phase::RolledBack)]
fn phase_survives_store_from_older_copy(#[case] behaviour: Behaviour, #[case] end: Phase) {
    for seed in 1..=5 {
        let mut simulation = Simulation::new(8, behaviour, Trouble::Restored, seed);
        simulation.run();
        assert_eq!(simulation.final_phase(), Some(end), "seed {seed}");
        let record = simulation.record.as_ref().expect("a record is stored");
        let order = simulation.order.as_ref().expect("the order is stored");
        assert_eq!(record.order_revision(), order.1);
        let runs: BTreeSet<u32> = simulation.phases.iter().map(|(_, run, _)| run.0).collect();
        assert_eq!(runs.len(), 1, "the order is the same one");
    }
}

/// Guards against a roll-out without targets that completes, and against one without traffic that never ends.
#[rstest]
#[case::no_targets(0, RATE, Phase::RolledBack)]
#[case::no_traffic(3, 0.0, Phase::Completed)]
#[case::little_traffic(3, 1.0, Phase::Completed)]
fn ends_without_targets_or_traffic(
    #[case] new_targets: usize,
    #[case] rate: f64,
    #[case] end: Phase,
) {
    let mut simulation = Simulation::new(8, Behaviour::Good, Trouble::None, 1);
    simulation.new_targets = new_targets;
    simulation.rate = rate;
    simulation.run();
    assert_eq!(simulation.final_phase(), Some(end));
}

/// Guards against an order whose removal leaves its version in use, and against one that is written again and is taken for
/// the removed one.
#[test]
fn removed_order_is_rolled_back_and_can_be_written_again() {
    let mut simulation = Simulation::new(8, Behaviour::Good, Trouble::None, 1);
    simulation.play(0, ORDER_AT);
    simulation.write_order(order("v2"), ORDER_AT);
    simulation.play(ORDER_AT, ORDER_AT + 4_000);
    simulation.remove_order(ORDER_AT + 4_000);
    simulation.play(ORDER_AT + 4_000, ORDER_AT + 8_000);
    assert_eq!(simulation.final_phase(), Some(Phase::RolledBack));
    let before = simulation.sent.len();
    simulation.play(ORDER_AT + 8_000, ORDER_AT + 10_000);
    assert!(simulation.sent[before..].iter().all(|it| !it.to_new));
    simulation.write_order(order("v2"), ORDER_AT + 10_000);
    simulation.play(ORDER_AT + 10_000, ORDER_AT + 24_000);
    assert_eq!(simulation.final_phase(), Some(Phase::Completed));
}

/// Guards against a changed order that goes on with the evidence and the phase of the earlier one.
#[test]
fn changed_order_starts_anew_and_rejects_unfinished_version() {
    let mut simulation = Simulation::new(8, Behaviour::Good, Trouble::None, 1);
    simulation.play(0, ORDER_AT);
    simulation.write_order(order("v2"), ORDER_AT);
    simulation.play(ORDER_AT, ORDER_AT + 8_500);
    assert_eq!(simulation.final_phase(), Some(Phase::Shifting));
    let changed_at = ORDER_AT + 8_500;
    simulation.write_order(order("v3"), changed_at);
    simulation.play(changed_at, changed_at + 3_000);
    assert_eq!(simulation.final_phase(), Some(Phase::Canary));
    let split = simulation.nodes[0].state.split("s0");
    let split = split.expect("the service has a roll-out");
    assert!(split.contains(Side::New, "v3") && split.contains(Side::Old, "v1"));
    assert!(!split.contains(Side::New, "v2") && !split.contains(Side::Old, "v2"));
    simulation.play(changed_at + 3_000, changed_at + 14_000);
    assert_eq!(simulation.final_phase(), Some(Phase::Completed));
}

/// Guards against a node that does not know whether its state is current and sends more requests to the version.
#[test]
fn node_out_of_touch_sends_nothing_to_version() {
    let mut state = Rollouts::open(Some(BOUNDS), "n0");
    let now = Moment::from_millis(10_000);
    let event = Event::Order {
        service: service(),
        order: order("v2"),
        revision: Revision(7),
        live: true,
    };
    state.step(event, now);
    for in_touch in [true, false] {
        let nodes = Event::Nodes {
            serving: BTreeSet::new(),
            serves: true,
            in_touch,
        };
        state.step(nodes, now);
        state.step(Event::Tick, now);
        let sides = state.sides("s0", Cause::First, true, true, now);
        assert_eq!(sides.contains(&Side::New), in_touch);
        let after_pause = now + Duration::from_secs(3);
        let sides = state.sides("s0", Cause::First, true, true, after_pause);
        assert_eq!(sides.as_slice(), [Side::Old]);
    }
    let retry = state.sides("s0", Cause::Retry, true, true, now);
    assert_eq!(retry.as_slice(), [Side::Old]);
}

/// Guards against roll-outs in deployments that give no bounds.
#[test]
fn without_bounds_orders_have_no_effect() {
    let mut state = Rollouts::open(None, "n0");
    let event = Event::Order {
        service: service(),
        order: order("v2"),
        revision: Revision(7),
        live: true,
    };
    assert_eq!(state.step(event, Moment::ZERO), []);
    assert!(state.is_empty() && state.split("s0").is_none());
    assert_eq!(state.report(Moment::ZERO), []);
}

/// Guards against canaries beyond the share, and against parts of the slack that sum up to more than the slack.
#[test]
fn share_and_slack_are_exact() {
    let mut share = Share::default();
    for seen in 1..=1_000_u32 {
        let to_new = share.admits(0.07, 2);
        share.record(to_new);
        assert!(share.sent() as f64 <= 0.07 * f64::from(seen) + 2.0);
    }
    assert_eq!(share.sent(), 72);
    for nodes in [1, 7, 24, 60] {
        let parts = (0..nodes).map(|rank| slack_part(20, rank, nodes));
        assert_eq!(parts.sum::<u32>(), 20);
    }
}

fn tally(new: (u32, u32, u64), old: (u32, u32, u64)) -> Tally {
    let mut tally = Tally::default();
    for index in 0..new.0 {
        let took = Duration::from_millis(new.2);
        tally.record_new(&format!("t{}", index % 5), Sample::Good(took));
    }
    for index in 0..new.1 {
        tally.record_new(&format!("t{}", index % 5), Sample::Failed);
    }
    for _ in 0..old.0 {
        tally.record_old(Sample::Good(Duration::from_millis(old.2)));
    }
    for _ in 0..old.1 {
        tally.record_old(Sample::Failed);
    }
    tally
}

/// Guards against verdicts without a comparison, and against bad versions that pass.
#[rstest]
#[case::same((20, 0, 30), (200, 0, 30), None)]
#[case::two_failures((20, 2, 30), (200, 0, 30), None)]
#[case::three_failures((20, 3, 30), (200, 0, 30), Some(Fault::Failures))]
#[case::old_fails_as_often((20, 4, 30), (200, 40, 30), None)]
#[case::nothing_to_compare_with((20, 10, 30), (0, 0, 30), None)]
#[case::twice_as_slow((20, 0, 60), (200, 0, 30), None)]
#[case::three_times_as_slow((20, 0, 91), (200, 0, 30), Some(Fault::Slow))]
#[case::few_slow((4, 0, 300), (200, 0, 30), None)]
fn judges_by_comparison(
    #[case] new: (u32, u32, u64),
    #[case] old: (u32, u32, u64),
    #[case] fault: Option<Fault>,
) {
    let all = tally(new, old);
    let comparison = Comparison { all, recent: all };
    assert_eq!(judge(&[comparison]), fault);
}

/// Guards against a bad version whose failures are spread over many routes, and against one whose failures on one route
/// drown in the good answers of others.
#[test]
fn judges_routes_together_and_alone() {
    let compare = |all| Comparison { all, recent: all };
    let spread = tally((4, 1, 30), (80, 0, 30));
    assert_eq!(judge(&[compare(spread)]), None);
    let spread = [0, 1, 2, 3].map(|number| {
        let mut route = tally((4, 0, 30), (80, 0, 30));
        route.record_new(&format!("t{number}"), Sample::Failed);
        compare(route)
    });
    assert_eq!(judge(&spread), Some(Fault::Failures));
    let failing = tally((0, 4, 30), (40, 0, 30));
    let rough = tally((200, 0, 30), (400, 100, 30));
    let drowned = [failing, rough].map(compare);
    assert_eq!(judge(&drowned), Some(Fault::Failures));
}

/// Guards against a version that turns bad late, which all answers since the start still excuse.
#[test]
fn recent_answers_show_version_that_turned_slow() {
    let early = tally((40, 0, 30), (400, 0, 30));
    let mut all = early;
    all.add(&tally((8, 0, 150), (80, 0, 30)));
    let whole = Comparison { all, recent: all };
    assert_eq!(judge(&[whole]), None);
    let comparison = Comparison {
        all,
        recent: all.since(&early),
    };
    assert_eq!(judge(&[comparison]), Some(Fault::Slow));
}

/// Guards against reports beyond their part of a datagram, and against counts that the encoding changes.
#[test]
fn reports_fit_their_part_and_keep_their_counts() {
    let mut state = Rollouts::open(Some(BOUNDS), "n0");
    let now = Moment::from_millis(5_000);
    for number in 0..40 {
        let service: Arc<str> = Arc::from(format!("s{number}"));
        let event = Event::Order {
            service: Arc::clone(&service),
            order: order("v2"),
            revision: Revision(7),
            live: true,
        };
        state.step(event, now);
        for (route, version) in [("read", "v1"), ("read", "v2"), ("list", "v1")] {
            let sample = Sample::Good(Duration::from_millis(20));
            state.record_result(&service, route, ("t1", version), sample);
        }
    }
    let (mut seen, mut news) = (BTreeSet::new(), BTreeSet::new());
    for round in 0..40 {
        let rollouts = state.report(now + Duration::from_millis(HEARTBEAT * round));
        let reports = Reports {
            rollouts,
            ..Reports::default()
        };
        let bytes = rmp_serde::to_vec_named(&reports).expect("reports encode");
        assert!(bytes.len() <= REPORTS_MAX_BYTES, "{}", bytes.len());
        news.extend(reports.rollouts.iter().map(|it| it.service));
        if round == 3 {
            assert_eq!(news.len(), 40, "news of all come before counts");
        }
        let decoded: Reports = rmp_serde::from_slice(&bytes).expect("reports decode");
        assert_eq!(decoded, reports);
        let whole = reports.rollouts.iter().filter(|it| it.routes.len() == 2);
        seen.extend(whole.map(|it: &Report| it.service));
    }
    assert_eq!(seen.len(), 40, "each roll-out is reported in its turn");
}
