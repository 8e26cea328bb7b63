//! A deterministic simulation of the nodes of a cell, their links and clocks, and the store, for tests
//! of `process::cell`.
//!
//! Messages wait in a queue in the order of sending. Faults cut links, hold messages back, and stop
//! nodes. Time advances only by [`Simulation::advance_clocks`].

#![allow(
    dead_code,
    clippy::allow_attributes_without_reason,
    reason = "each test file uses a part of the simulation"
)]

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::LazyLock;
use std::time::Duration;

use redwinggrade::process::cell::{
    Action, Cell, Config, Event, Heads, PERMIT_TTL, Safeguards, SwapOutcome,
};
use redwinggrade::process::owner::owner_of;
use redwinggrade::time::Moment;
use redwinggrade::wire::exchange::Record;
use redwinggrade::wire::{Exchange, Incarnation, Member, Report, Revision};
use xxhash_rust::xxh3::xxh3_128;

/// Start of all clocks. It is late enough that no age reaches back before zero.
pub const CLOCK_START: Moment = Moment::from_millis(60_000);
/// The services of the simulation; each has two replicas, which are its targets.
pub const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Number of targets in the simulation.
pub const TARGET_COUNT: usize = SERVICES.len() * 2;
/// Two moments that are at least this far from the present have the same effect: the longest wait of
/// the membership rule is `BALLOT_TIMEOUT` with three ranks, and the back-off of a swap ends within 5 s.
const AGE_MAX: Duration = Duration::from_secs(5);

/// The rate of a clock, in thousandths of the rate of true time.
pub type ClockRate = u64;

/// A message in transit. Nodes are given by their number, with the incarnation that waits for a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// A request from node `from` to node `to`.
    Exchange {
        from: usize,
        incarnation: u64,
        to: usize,
        sent: Moment,
        exchange: Exchange,
    },
    /// The answer of node `from` to an exchange of node `to`.
    Report {
        from: usize,
        to: usize,
        incarnation: u64,
        sent: Moment,
        report: HashableReport,
    },
    /// The result of a store read of node `to`.
    ReadDone {
        to: usize,
        incarnation: u64,
        started: Moment,
        heads: Heads,
    },
    /// A compare-and-swap of the cell record by node `from`.
    Swap {
        from: usize,
        incarnation: u64,
        expected: Option<u64>,
        record: Record,
    },
    /// The result of a compare-and-swap of node `to`.
    SwapDone {
        to: usize,
        incarnation: u64,
        expected: Option<u64>,
        outcome: SwapOutcome,
    },
}

/// The fields of a report that a cell uses. Unlike the report it can be hashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HashableReport {
    pub from: Member,
    pub revision: Revision,
    pub proof_age_us: Option<u64>,
    pub record: Option<Record>,
    pub stopping: bool,
    pub released: bool,
    pub settled: bool,
}

impl HashableReport {
    fn from_report(report: Report) -> Self {
        Self {
            from: report.from,
            revision: report.revision,
            proof_age_us: report.proof_age_us,
            record: report.record,
            stopping: report.stopping,
            released: report.released,
            settled: report.settled,
        }
    }

    fn into_report(self) -> Report {
        Report {
            from: self.from,
            cell: "dc1-0".to_owned(),
            revision: self.revision,
            proof_age_us: self.proof_age_us,
            record: self.record,
            stopping: self.stopping,
            released: self.released,
            settled: self.settled,
            targets: Vec::new(),
            mark: 0,
        }
    }
}

/// A simulated node, running or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent")]
pub struct Node {
    /// The state machine of the node, if it runs.
    pub cell: Option<Cell>,
    /// The number of starts so far.
    pub incarnation: u64,
    /// The time by the node's own clock.
    pub now: Moment,
    pub clock_rate: ClockRate,
    pub paused: bool,
    /// Whether answers to this node's exchanges are held back.
    pub answers_held: bool,
    /// Whether the node cannot reach the store.
    pub cut_from_store: bool,
    /// The newest settings version that the node can obtain.
    pub settings_limit: u64,
    /// Whether the node has had its tick in the present step.
    pub ticked: bool,
    /// Messages that arrived while the node was paused or its answers were held back.
    pub held_messages: Vec<Message>,
}

/// The simulated store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Store {
    pub up: bool,
    /// The newest settings version.
    pub settings: u64,
    /// The cell record with its modification revision.
    pub record: Option<(Record, u64)>,
}

/// The complete state of a simulation.
#[derive(Debug, Clone, Hash)]
pub struct Simulation {
    pub safeguards: Safeguards,
    pub nodes: Vec<Node>,
    /// Whether the link from one node to another, both given by their numbers, is cut.
    pub link_cut: Vec<Vec<bool>>,
    pub store: Store,
    /// Messages in the order of sending.
    pub queue: VecDeque<Message>,
    /// Messages that a fault delays; they arrive at some later time.
    pub delayed_messages: Vec<Message>,
    /// The time since a majority was first at the newest settings, by the clock of an observer that runs
    /// 5% fast.
    pub majority_age: Option<Duration>,
    /// The newest settings version that counts as accepted by the rule of `version::acceptance`.
    pub accepted_settings: u64,
    pub untracked: Untracked,
}

/// Returns a node as a cell record lists it; its name is a letter that stands for its number.
pub fn member(node: usize, incarnation: u64) -> Member {
    let port = 7_000 + u16::try_from(node).expect("few nodes");
    Member {
        name: char::from(b'a' + u8::try_from(node).expect("few nodes")).to_string(),
        incarnation: Incarnation(incarnation),
        peer: ([127, 0, 0, 1], port).into(),
        caller: ([127, 0, 0, 1], port + 1_000).into(),
    }
}

impl Simulation {
    /// Returns a simulation of nodes that have not started, one for each clock rate.
    pub fn open(rates: &[ClockRate], safeguards: Safeguards) -> Self {
        let node = |rate: &ClockRate| Node {
            cell: None,
            incarnation: 0,
            now: CLOCK_START,
            clock_rate: *rate,
            paused: false,
            answers_held: false,
            cut_from_store: false,
            settings_limit: u64::MAX,
            ticked: false,
            held_messages: Vec::new(),
        };
        Self {
            safeguards,
            nodes: rates.iter().map(node).collect(),
            link_cut: vec![vec![false; rates.len()]; rates.len()],
            store: Store {
                up: true,
                settings: 1,
                record: None,
            },
            queue: VecDeque::new(),
            delayed_messages: Vec::new(),
            majority_age: None,
            accepted_settings: 1,
            untracked: Untracked {
                dispatch_sets: vec![None; rates.len()],
                swap_count: 0,
                read_count: 0,
                check_invariants: true,
                acceptance_needs_settled: true,
            },
        }
    }

    /// Starts a new incarnation of a node.
    pub fn start(&mut self, node: usize) {
        self.untracked.dispatch_sets[node] = None;
        let this = &mut self.nodes[node];
        this.incarnation += 1;
        this.paused = false;
        this.held_messages.clear();
        let config = Config {
            cell: "dc1-0".to_owned(),
            local: member(node, this.incarnation),
            settings: 0,
            safeguards: self.safeguards,
        };
        this.cell = Some(Cell::open(config, this.now));
    }

    /// Ends a node without a planned stop.
    pub fn crash(&mut self, node: usize) {
        self.untracked.dispatch_sets[node] = None;
        self.nodes[node].cell = None;
        self.nodes[node].paused = false;
        self.nodes[node].held_messages.clear();
    }

    /// Pauses a node; messages to it are held until it resumes.
    pub fn pause(&mut self, node: usize) {
        self.untracked.dispatch_sets[node] = None;
        self.nodes[node].paused = true;
    }

    /// Resumes a node that is paused or whose answers are held back, and queues the messages held so far.
    pub fn resume(&mut self, node: usize) {
        self.untracked.dispatch_sets[node] = None;
        let this = &mut self.nodes[node];
        this.paused = false;
        this.answers_held = false;
        self.queue.extend(this.held_messages.drain(..));
    }

    /// Cuts or restores the links between a node and all others.
    pub fn isolate(&mut self, node: usize, cut: bool) {
        for other in 0..self.nodes.len() {
            self.link_cut[node][other] = cut;
            self.link_cut[other][node] = cut;
        }
    }

    /// Returns the state machine of a running node.
    pub fn cell(&self, node: usize) -> &Cell {
        self.nodes[node].cell.as_ref().expect("the node runs")
    }

    /// Returns whether this incarnation of a node is running.
    fn is_running(&self, node: usize, incarnation: u64) -> bool {
        let this = &self.nodes[node];
        this.cell.is_some() && this.incarnation == incarnation
    }

    /// Passes an event to a node's state machine and carries out the resulting actions.
    pub fn step_cell(&mut self, node: usize, event: Event) {
        self.untracked.dispatch_sets[node] = None;
        let this = &mut self.nodes[node];
        let now = this.now;
        let incarnation = this.incarnation;
        let Some(cell) = this.cell.as_mut() else {
            return;
        };
        let before = cell.revision();
        let actions = cell.step(event, now);
        let after = cell.revision();
        assert!(
            before.settings <= after.settings && before.cell <= after.cell,
            "a revision decreased: {before:?} -> {after:?}"
        );
        for action in actions {
            match action {
                Action::ReadStore => {
                    self.untracked.read_count += 1;
                    let heads = Heads {
                        settings: self.store.settings,
                        record: self.store.record.clone(),
                    };
                    if self.store.up && !self.nodes[node].cut_from_store {
                        self.queue.push_back(Message::ReadDone {
                            to: node,
                            incarnation,
                            started: now,
                            heads,
                        });
                    } else {
                        let lost = Event::ReadEnded {
                            started: now,
                            heads: None,
                        };
                        self.step_cell(node, lost);
                    }
                }
                Action::SwapRecord { expected, record } => self.queue.push_back(Message::Swap {
                    from: node,
                    incarnation,
                    expected,
                    record,
                }),
                Action::SendExchange { peer, exchange } => {
                    let to = node_index(&peer);
                    self.queue.push_back(Message::Exchange {
                        from: node,
                        incarnation,
                        to,
                        sent: now,
                        exchange,
                    });
                }
                Action::MembershipChanged => {}
            }
        }
        self.replicate_settings(node);
    }

    /// Puts the newest settings in reach (in the store or at another node) into force at a node, if the
    /// node knows that there are newer ones than its own.
    fn replicate_settings(&mut self, node: usize) {
        let Some(cell) = &self.nodes[node].cell else {
            return;
        };
        let (known, own) = (cell.newest_settings_version(), cell.revision().settings);
        if known <= own {
            return;
        }
        let store =
            (self.store.up && !self.nodes[node].cut_from_store).then_some(self.store.settings);
        let peers = (0..self.nodes.len())
            .filter(|&peer| !self.link_cut[node][peer] && !self.nodes[peer].paused)
            .filter_map(|peer| Some(self.nodes[peer].cell.as_ref()?.revision().settings));
        let limit = self.nodes[node].settings_limit;
        let newest = peers.chain(store).max().map(|version| version.min(limit));
        if let Some(version) = newest.filter(|version| *version > own) {
            self.step_cell(node, Event::SettingsAdopted { version });
        }
    }

    /// Delivers the message at the front of the queue, if there is one.
    pub fn deliver_next(&mut self) {
        let Some(message) = self.queue.pop_front() else {
            return;
        };
        match message {
            Message::Exchange {
                from,
                incarnation,
                to,
                sent,
                exchange,
            } => {
                if self.link_cut[from][to] {
                    return;
                }
                if self.nodes[to].paused {
                    // A later exchange of the same sender replaces an earlier one that is still held.
                    self.nodes[to].held_messages.retain(|held| {
                        !matches!(
                            held,
                            Message::Exchange { from: other, .. } if *other == from
                        )
                    });
                    self.nodes[to].held_messages.push(Message::Exchange {
                        from,
                        incarnation,
                        to,
                        sent,
                        exchange,
                    });
                    return;
                }
                let now = self.nodes[to].now;
                let Some(cell) = &self.nodes[to].cell else {
                    return;
                };
                let report = HashableReport::from_report(cell.report(&exchange, now));
                self.queue.push_back(Message::Report {
                    from: to,
                    to: from,
                    incarnation,
                    sent,
                    report,
                });
                self.step_cell(to, Event::ExchangeReceived(exchange));
            }
            Message::Report {
                from,
                to,
                incarnation,
                sent,
                report,
            } => {
                if !self.is_running(to, incarnation) || self.link_cut[from][to] {
                    return;
                }
                if self.nodes[to].paused || self.nodes[to].answers_held {
                    self.nodes[to].held_messages.push(Message::Report {
                        from,
                        to,
                        incarnation,
                        sent,
                        report,
                    });
                    return;
                }
                let report = report.into_report();
                self.step_cell(to, Event::ExchangeAnswered { sent, report });
            }
            Message::ReadDone {
                to,
                incarnation,
                started,
                heads,
            } => {
                if !self.is_running(to, incarnation) {
                    return;
                }
                if self.nodes[to].paused {
                    self.nodes[to].held_messages.push(Message::ReadDone {
                        to,
                        incarnation,
                        started,
                        heads,
                    });
                    return;
                }
                let heads = Some(heads);
                self.step_cell(to, Event::ReadEnded { started, heads });
            }
            Message::Swap {
                from,
                incarnation,
                expected,
                record,
            } => {
                let outcome = if self.store.up && !self.nodes[from].cut_from_store {
                    self.compare_and_swap(expected, record)
                } else {
                    SwapOutcome::Unknown
                };
                self.queue.push_back(Message::SwapDone {
                    to: from,
                    incarnation,
                    expected,
                    outcome,
                });
            }
            Message::SwapDone {
                to,
                incarnation,
                expected,
                outcome,
            } => {
                if !self.is_running(to, incarnation) {
                    return;
                }
                if self.nodes[to].paused {
                    self.nodes[to].held_messages.push(Message::SwapDone {
                        to,
                        incarnation,
                        expected,
                        outcome,
                    });
                    return;
                }
                self.step_cell(to, Event::SwapEnded { expected, outcome });
            }
        }
    }

    /// Loses the swap at the front of the queue, or only its result if it takes effect.
    pub fn lose_swap(&mut self, takes_effect: bool) {
        if let Some(Message::Swap {
            from,
            incarnation,
            expected,
            record,
        }) = self.queue.pop_front()
        {
            if takes_effect && self.store.up && !self.nodes[from].cut_from_store {
                self.compare_and_swap(expected, record);
            }
            self.queue.push_back(Message::SwapDone {
                to: from,
                incarnation,
                expected,
                outcome: SwapOutcome::Unknown,
            });
        }
    }

    /// Executes a compare-and-swap in the store, which is linearizable.
    pub fn compare_and_swap(&mut self, expected: Option<u64>, record: Record) -> SwapOutcome {
        self.untracked.swap_count += 1;
        let held = self.store.record.as_ref();
        if held.map(|(_, mod_revision)| *mod_revision) != expected {
            return SwapOutcome::Conflict;
        }
        let revision = held.map_or(0, |(record, _)| record.revision);
        assert_eq!(record.revision, revision + 1, "revisions increase by one");
        self.store.record = Some((record, expected.unwrap_or(100) + 1));
        SwapOutcome::Done
    }

    /// Passes a tick to a node unless it is paused.
    pub fn tick(&mut self, node: usize) {
        self.nodes[node].ticked = true;
        if !self.nodes[node].paused {
            self.step_cell(node, Event::Tick);
        }
    }

    /// Advances true time by a step; each clock advances at its own rate.
    pub fn advance_clocks(&mut self, step: Duration) {
        self.untracked.dispatch_sets.fill(None);
        let rated = |rate: u64| Duration::from_micros(step.as_millis() as u64 * rate);
        for node in &mut self.nodes {
            node.now = node.now + rated(node.clock_rate);
            node.ticked = false;
            // Held answers older than the permit time support nothing; dropping them bounds their number.
            let (now, answers_held) = (node.now, node.answers_held);
            node.held_messages.retain(|held| {
                !matches!(
                    held,
                    Message::Report { sent, .. } if answers_held && now.since(*sent) > PERMIT_TTL
                )
            });
        }
        self.majority_age = self
            .majority_age
            .map(|elapsed| (elapsed + rated(1_050)).min(AGE_MAX));
    }

    /// Delivers all messages, lets each node act in turn, and advances time by a step.
    pub fn run_round(&mut self, step: Duration) {
        self.deliver_all();
        for node in 0..self.nodes.len() {
            if !self.nodes[node].ticked {
                self.tick(node);
                self.deliver_all();
            }
        }
        self.advance_clocks(step);
    }

    /// Returns whether the record in the store has an open ballot.
    pub fn has_open_ballot(&self) -> bool {
        let record = self.store.record.as_ref();
        record.is_some_and(|(record, _)| record.ballot.is_some())
    }

    /// Runs the simulation until a condition holds, which is checked after each message and each tick.
    pub fn run_until<Holds>(&mut self, step: Duration, holds: Holds)
    where
        Holds: Fn(&Self) -> bool,
    {
        for _ in 0..100_000 {
            if holds(self) {
                return;
            }
            if !self.queue.is_empty() {
                self.deliver_next();
            } else if let Some(node) = self.nodes.iter().position(|node| !node.ticked) {
                self.tick(node);
            } else {
                self.advance_clocks(step);
            }
            self.assert_no_violation();
        }
        panic!("the condition never holds: {self:#?}");
    }

    /// Delivers messages until the queue is empty, with a check of the invariants after each one.
    pub fn deliver_all(&mut self) {
        while !self.queue.is_empty() {
            self.deliver_next();
            self.assert_no_violation();
        }
        self.assert_no_violation();
    }

    /// Runs a number of rounds, each as long as a step.
    pub fn run_rounds(&mut self, rounds: usize, step: Duration) {
        for _ in 0..rounds {
            self.run_round(step);
        }
    }

    /// Returns the targets to which a node may dispatch now, as a bit set.
    pub fn dispatchable_targets(&self, node: usize) -> u32 {
        let this = &self.nodes[node];
        let Some(cell) = &this.cell else { return 0 };
        if this.paused || cell.permit_until(this.now) <= this.now {
            return 0;
        }
        let ownership = cell.ownership();
        (0..TARGET_COUNT)
            .filter(|target| {
                let usable = ownership.usable_from(|members| cached_owner(*target, members));
                usable.is_some_and(|from| from <= this.now)
            })
            .fold(0, |set, target| set | 1 << target)
    }

    /// Returns the targets to which at least one node may dispatch now, as a bit set.
    pub fn served_targets(&self) -> u32 {
        (0..self.nodes.len()).fold(0, |set, node| set | self.dispatchable_targets(node))
    }

    /// Returns a description of the first violated invariant of `docs/design.md`, section 5, if any.
    pub fn find_violation(&mut self) -> Option<String> {
        self.update_acceptance();
        let mut taken = 0;
        for node in 0..self.nodes.len() {
            let set = self.untracked.dispatch_sets[node]
                .unwrap_or_else(|| self.dispatchable_targets(node));
            self.untracked.dispatch_sets[node] = Some(set);
            if set & taken != 0 {
                return Some(format!(
                    "two nodes may dispatch to targets {:#b}, one of them {node}",
                    set & taken
                ));
            }
            taken |= set;
            if set != 0 && self.cell(node).revision().settings < self.accepted_settings {
                return Some(format!("node {node} dispatches with outdated settings"));
            }
        }
        None
    }

    /// Fails the test if an invariant is violated, unless the checks are switched off.
    pub fn assert_no_violation(&mut self) {
        if !self.untracked.check_invariants {
            return;
        }
        let violation = self.find_violation();
        assert_eq!(violation, None, "{self:#?}");
    }

    /// Applies the acceptance rule for settings as a client that sees the state of all nodes at once.
    fn update_acceptance(&mut self) {
        let version = self.store.settings;
        if self.accepted_settings == version {
            return;
        }
        let members = self
            .store
            .record
            .as_ref()
            .map_or(&[][..], |(record, _)| &record.members);
        let cells = || {
            members.iter().filter_map(|member| {
                let node = &self.nodes[node_index(member)];
                let current = Incarnation(node.incarnation) == member.incarnation;
                node.cell
                    .as_ref()
                    .filter(|_| current)
                    .map(|cell| (cell, node.now))
            })
        };
        let at = cells()
            .filter(|(cell, _)| cell.revision().settings >= version)
            .count();
        let settled = cells().any(|(cell, now)| {
            let exchange = Exchange {
                from: member(25, 1),
                cell: String::new(),
                revision: Revision::default(),
                since: 0,
            };
            let list = cell.record().map(|record| &record.members);
            list.is_some_and(|list| list == members) && cell.report(&exchange, now).settled
        });
        if at >= redwinggrade::process::cell::majority_size(members.len()) {
            self.majority_age.get_or_insert(Duration::ZERO);
        }
        let grace = redwinggrade::process::cell::HANDOVER_GRACE;
        if (at == members.len()
            && (settled || members.is_empty() || !self.untracked.acceptance_needs_settled))
            || self.majority_age.is_some_and(|elapsed| elapsed >= grace)
        {
            self.accepted_settings = version;
        }
    }

    /// Returns a hash that is equal for states that differ only by the passing of time.
    pub fn state_digest(&self) -> u128 {
        let mut canonical = self.clone();
        let shift = |now: Moment, moment: Moment, age: Duration| {
            if moment > now {
                CLOCK_START + now.until(moment).min(AGE_MAX)
            } else {
                CLOCK_START - now.since(moment).min(age)
            }
        };
        let nows: Vec<Moment> = self.nodes.iter().map(|node| node.now).collect();
        let shift_message = |message: &mut Message| match message {
            Message::Exchange { from, sent, .. } => *sent = shift(nows[*from], *sent, PERMIT_TTL),
            Message::Report { to, sent, .. } => *sent = shift(nows[*to], *sent, PERMIT_TTL),
            Message::ReadDone { to, started, .. } => *started = shift(nows[*to], *started, AGE_MAX),
            Message::Swap { .. } | Message::SwapDone { .. } => {}
        };
        canonical.queue.iter_mut().for_each(shift_message);
        canonical
            .delayed_messages
            .iter_mut()
            .for_each(shift_message);
        for node in &mut canonical.nodes {
            node.held_messages.iter_mut().for_each(shift_message);
            if let Some(cell) = &mut node.cell {
                cell.map_moments(|moment, age| shift(node.now, moment, age));
            }
            node.now = CLOCK_START;
        }
        let mut bytes = ByteCollector(Vec::with_capacity(4_096));
        canonical.hash(&mut bytes);
        xxh3_128(&bytes.0)
    }
}

/// Collects the bytes to hash. One hash over all of them is much faster in a debug build than many small
/// updates.
struct ByteCollector(Vec<u8>);

impl Hasher for ByteCollector {
    fn finish(&self) -> u64 {
        unreachable!("the collected bytes are hashed instead")
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

/// Returns the owner of a target. Owners are computed once for each set of names, because the
/// enumeration needs them often.
fn cached_owner(target: usize, members: &[Member]) -> Option<&Member> {
    const NODES: usize = 4;
    static OWNERS: LazyLock<Vec<[usize; TARGET_COUNT]>> = LazyLock::new(|| {
        let owners = |set: usize| {
            let nodes: Vec<usize> = (0..NODES).filter(|node| set & 1 << node != 0).collect();
            let members: Vec<Member> = nodes.iter().map(|node| member(*node, 1)).collect();
            std::array::from_fn(|target| {
                let replica = u32::try_from(target % 2).expect("two replicas");
                owner_of("index", SERVICES[target / 2], replica, &members).map_or(NODES, node_index)
            })
        };
        (0..1 << NODES).map(owners).collect()
    });
    if members.iter().any(|member| node_index(member) >= NODES) {
        let replica = u32::try_from(target % 2).expect("two replicas");
        return owner_of("index", SERVICES[target / 2], replica, members);
    }
    let set = members
        .iter()
        .fold(0, |set, member| set | 1 << node_index(member));
    let owner = OWNERS[set][target];
    members.iter().find(|member| node_index(member) == owner)
}

/// Returns the number of a node, which the letter of its name stands for.
fn node_index(member: &Member) -> usize {
    usize::from(member.name.as_bytes()[0] - b'a')
}

/// Values that are not a part of the state and are left out of its hash.
#[derive(Debug, Clone)]
pub struct Untracked {
    /// The targets to which each node may dispatch, or nothing until they are computed again.
    dispatch_sets: Vec<Option<u32>>,
    /// Number of swaps that reached the store.
    pub swap_count: u32,
    /// Number of store reads that nodes started.
    pub read_count: u32,
    /// Whether the invariants are checked after each delivery.
    pub check_invariants: bool,
    /// Whether acceptance by all members needs a member that has known the list for `HANDOVER_GRACE`.
    pub acceptance_needs_settled: bool,
}

impl Hash for Untracked {
    fn hash<State>(&self, _: &mut State)
    where
        State: Hasher,
    {
    }
}
