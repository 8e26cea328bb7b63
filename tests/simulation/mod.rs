//! A model of some nodes, their links, their clocks and the store, for tests of `process::cell`.
//!
//! Messages wait in a queue in the order of sending; faults cut links, hold messages back, and stop
//! nodes. Time advances only by [`World::advance`].

#![allow(
    dead_code,
    clippy::allow_attributes_without_reason,
    reason = "each test file uses a part of the model"
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

/// Clocks start here, so that no age reaches back before the start of a clock.
pub const START: Moment = Moment::from_millis(60_000);
/// Targets of the model: two replicas of each of these services.
pub const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Number of targets.
pub const TARGETS: usize = SERVICES.len() * 2;
/// Moments further away than this are equal in their effect: the longest wait of the rule is
/// `BALLOT_TIMEOUT` with three ranks, and back-off of a swap ends within 5 s.
const HORIZON: Duration = Duration::from_secs(5);

/// The rate of a clock in thousandths of true time.
pub type Rate = u64;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    Ask {
        from: usize,
        incarnation: u64,
        to: usize,
        sent: Moment,
        exchange: Exchange,
    },
    Answer {
        from: usize,
        to: usize,
        incarnation: u64,
        sent: Moment,
        report: ReportKey,
    },
    Read {
        to: usize,
        incarnation: u64,
        started: Moment,
        heads: Heads,
    },
    Swap {
        from: usize,
        incarnation: u64,
        expected: Option<u64>,
        record: Record,
    },
    Swapped {
        to: usize,
        incarnation: u64,
        expected: Option<u64>,
        outcome: SwapOutcome,
    },
}

/// The parts of a report that a cell uses, which can be hashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReportKey {
    pub from: Member,
    pub revision: Revision,
    pub proof_age_us: Option<u64>,
    pub record: Option<Record>,
    pub stopping: bool,
    pub released: bool,
    pub settled: bool,
}

impl ReportKey {
    fn of(report: Report) -> Self {
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

    fn report(self) -> Report {
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

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent")]
pub struct Node {
    pub cell: Option<Cell>,
    pub incarnation: u64,
    pub now: Moment,
    pub rate: Rate,
    pub paused: bool,
    /// Answers to this node are held back.
    pub slow: bool,
    pub store_cut: bool,
    /// The newest settings version that the node can obtain.
    pub settings_limit: u64,
    pub woken: bool,
    /// What arrives while the node is paused or slow.
    pub held: Vec<Message>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Store {
    pub up: bool,
    pub settings: u64,
    pub record: Option<(Record, u64)>,
}

#[derive(Debug, Clone, Hash)]
pub struct World {
    pub safeguards: Safeguards,
    pub nodes: Vec<Node>,
    pub cut: Vec<Vec<bool>>,
    pub store: Store,
    pub queue: VecDeque<Message>,
    /// Messages that arrive at some later time.
    pub late: Vec<Message>,
    /// How long ago a majority was first at the newest settings, on an observer's clock that is fast.
    pub majority_for: Option<Duration>,
    /// The newest settings version that the acceptance rule calls accepted.
    pub accepted: u64,
    pub untracked: Untracked,
}

pub fn member(node: usize, incarnation: u64) -> Member {
    let port = 7_000 + u16::try_from(node).expect("few nodes");
    Member {
        name: char::from(b'a' + u8::try_from(node).expect("few nodes")).to_string(),
        incarnation: Incarnation(incarnation),
        peer: ([127, 0, 0, 1], port).into(),
        caller: ([127, 0, 0, 1], port + 1_000).into(),
    }
}

impl World {
    /// A world of nodes that have not started.
    pub fn open(rates: &[Rate], safeguards: Safeguards) -> Self {
        let node = |rate: &Rate| Node {
            cell: None,
            incarnation: 0,
            now: START,
            rate: *rate,
            paused: false,
            slow: false,
            store_cut: false,
            settings_limit: u64::MAX,
            woken: false,
            held: Vec::new(),
        };
        Self {
            safeguards,
            nodes: rates.iter().map(node).collect(),
            cut: vec![vec![false; rates.len()]; rates.len()],
            store: Store {
                up: true,
                settings: 1,
                record: None,
            },
            queue: VecDeque::new(),
            late: Vec::new(),
            majority_for: None,
            accepted: 1,
            untracked: Untracked {
                sets: vec![None; rates.len()],
                swaps: 0,
                reads: 0,
                checked: true,
                settled: true,
            },
        }
    }

    /// Starts a new incarnation of a node.
    pub fn start(&mut self, node: usize) {
        self.untracked.sets[node] = None;
        let this = &mut self.nodes[node];
        this.incarnation += 1;
        this.paused = false;
        this.held.clear();
        let config = Config {
            cell: "dc1-0".to_owned(),
            local: member(node, this.incarnation),
            settings: 0,
            safeguards: self.safeguards,
        };
        this.cell = Some(Cell::open(config, this.now));
    }

    pub fn crash(&mut self, node: usize) {
        self.untracked.sets[node] = None;
        self.nodes[node].cell = None;
        self.nodes[node].paused = false;
        self.nodes[node].held.clear();
    }

    pub fn pause(&mut self, node: usize) {
        self.untracked.sets[node] = None;
        self.nodes[node].paused = true;
    }

    pub fn resume(&mut self, node: usize) {
        self.untracked.sets[node] = None;
        let this = &mut self.nodes[node];
        this.paused = false;
        this.slow = false;
        self.queue.extend(this.held.drain(..));
    }

    pub fn isolate(&mut self, node: usize, cut: bool) {
        for other in 0..self.nodes.len() {
            self.cut[node][other] = cut;
            self.cut[other][node] = cut;
        }
    }

    pub fn cell(&self, node: usize) -> &Cell {
        self.nodes[node].cell.as_ref().expect("the node runs")
    }

    fn running(&self, node: usize, incarnation: u64) -> bool {
        let this = &self.nodes[node];
        this.cell.is_some() && this.incarnation == incarnation
    }

    /// Gives an event to a node and queues what it sends.
    pub fn event(&mut self, node: usize, event: Event) {
        self.untracked.sets[node] = None;
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
            "a revision went back: {before:?} -> {after:?}"
        );
        for action in actions {
            match action {
                Action::ReadStore => {
                    self.untracked.reads += 1;
                    let heads = Heads {
                        settings: self.store.settings,
                        record: self.store.record.clone(),
                    };
                    if self.store.up && !self.nodes[node].store_cut {
                        self.queue.push_back(Message::Read {
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
                        self.event(node, lost);
                    }
                }
                Action::SwapRecord { expected, record } => self.queue.push_back(Message::Swap {
                    from: node,
                    incarnation,
                    expected,
                    record,
                }),
                Action::SendExchange { peer, exchange } => {
                    let to = place(&peer);
                    self.queue.push_back(Message::Ask {
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
        self.replicate(node);
    }

    /// Brings the settings that a node knows of to it, if the store or a node that has them is in reach.
    fn replicate(&mut self, node: usize) {
        let Some(cell) = &self.nodes[node].cell else {
            return;
        };
        let (known, own) = (cell.newest_settings_version(), cell.revision().settings);
        if known <= own {
            return;
        }
        let store = (self.store.up && !self.nodes[node].store_cut).then_some(self.store.settings);
        let peers = (0..self.nodes.len())
            .filter(|&peer| !self.cut[node][peer] && !self.nodes[peer].paused)
            .filter_map(|peer| Some(self.nodes[peer].cell.as_ref()?.revision().settings));
        let limit = self.nodes[node].settings_limit;
        let newest = peers.chain(store).max().map(|version| version.min(limit));
        if let Some(version) = newest.filter(|version| *version > own) {
            self.event(node, Event::SettingsAdopted { version });
        }
    }

    /// Delivers the message at the front of the queue.
    pub fn deliver(&mut self) {
        let Some(message) = self.queue.pop_front() else {
            return;
        };
        match message {
            Message::Ask {
                from,
                incarnation,
                to,
                sent,
                exchange,
            } => {
                if self.cut[from][to] {
                    return;
                }
                if self.nodes[to].paused {
                    // A later exchange of the same sender replaces an earlier one that still waits.
                    self.nodes[to].held.retain(
                        |held| !matches!(held, Message::Ask { from: other, .. } if *other == from),
                    );
                    self.nodes[to].held.push(Message::Ask {
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
                let report = ReportKey::of(cell.report(&exchange, now));
                self.queue.push_back(Message::Answer {
                    from: to,
                    to: from,
                    incarnation,
                    sent,
                    report,
                });
                self.event(to, Event::ExchangeReceived(exchange));
            }
            Message::Answer {
                from,
                to,
                incarnation,
                sent,
                report,
            } => {
                if !self.running(to, incarnation) || self.cut[from][to] {
                    return;
                }
                if self.nodes[to].paused || self.nodes[to].slow {
                    self.nodes[to].held.push(Message::Answer {
                        from,
                        to,
                        incarnation,
                        sent,
                        report,
                    });
                    return;
                }
                let report = report.report();
                self.event(to, Event::ExchangeAnswered { sent, report });
            }
            Message::Read {
                to,
                incarnation,
                started,
                heads,
            } => {
                if !self.running(to, incarnation) {
                    return;
                }
                if self.nodes[to].paused {
                    self.nodes[to].held.push(Message::Read {
                        to,
                        incarnation,
                        started,
                        heads,
                    });
                    return;
                }
                let heads = Some(heads);
                self.event(to, Event::ReadEnded { started, heads });
            }
            Message::Swap {
                from,
                incarnation,
                expected,
                record,
            } => {
                let outcome = if self.store.up && !self.nodes[from].store_cut {
                    self.swap(expected, record)
                } else {
                    SwapOutcome::Unknown
                };
                self.queue.push_back(Message::Swapped {
                    to: from,
                    incarnation,
                    expected,
                    outcome,
                });
            }
            Message::Swapped {
                to,
                incarnation,
                expected,
                outcome,
            } => {
                if !self.running(to, incarnation) {
                    return;
                }
                if self.nodes[to].paused {
                    self.nodes[to].held.push(Message::Swapped {
                        to,
                        incarnation,
                        expected,
                        outcome,
                    });
                    return;
                }
                self.event(to, Event::SwapEnded { expected, outcome });
            }
        }
    }

    /// Loses the swap at the front of the queue, or only its answer.
    pub fn lose_swap(&mut self, takes_effect: bool) {
        if let Some(Message::Swap {
            from,
            incarnation,
            expected,
            record,
        }) = self.queue.pop_front()
        {
            if takes_effect && self.store.up && !self.nodes[from].store_cut {
                self.swap(expected, record);
            }
            self.queue.push_back(Message::Swapped {
                to: from,
                incarnation,
                expected,
                outcome: SwapOutcome::Unknown,
            });
        }
    }

    /// The store's linearizable compare-and-swap.
    pub fn swap(&mut self, expected: Option<u64>, record: Record) -> SwapOutcome {
        self.untracked.swaps += 1;
        let held = self.store.record.as_ref();
        if held.map(|(_, mod_revision)| *mod_revision) != expected {
            return SwapOutcome::Conflict;
        }
        let revision = held.map_or(0, |(record, _)| record.revision);
        assert_eq!(record.revision, revision + 1, "revisions increase by one");
        self.store.record = Some((record, expected.unwrap_or(100) + 1));
        SwapOutcome::Done
    }

    /// Gives a node the time.
    pub fn tick(&mut self, node: usize) {
        self.nodes[node].woken = true;
        if !self.nodes[node].paused {
            self.event(node, Event::Tick);
        }
    }

    /// Advances true time; each clock advances at its own rate.
    pub fn advance(&mut self, step: Duration) {
        self.untracked.sets.fill(None);
        let rated = |rate: u64| Duration::from_micros(step.as_millis() as u64 * rate);
        for node in &mut self.nodes {
            node.now = node.now + rated(node.rate);
            node.woken = false;
            // The answers to a slow node are bounded: one that is this old supports nothing.
            let (now, slow) = (node.now, node.slow);
            node.held.retain(|held| {
                !matches!(held, Message::Answer { sent, .. } if slow && now.since(*sent) > PERMIT_TTL)
            });
        }
        self.majority_for = self
            .majority_for
            .map(|elapsed| (elapsed + rated(1_050)).min(HORIZON));
    }

    /// Delivers everything, then lets each node act and advances time, without further faults.
    pub fn round(&mut self, step: Duration) {
        self.settle();
        for node in 0..self.nodes.len() {
            if !self.nodes[node].woken {
                self.tick(node);
                self.settle();
            }
        }
        self.advance(step);
    }

    /// Returns whether the store's record has a ballot.
    pub fn ballot_open(&self) -> bool {
        let record = self.store.record.as_ref();
        record.is_some_and(|(record, _)| record.ballot.is_some())
    }

    /// Goes on until a condition holds, which is checked after each message.
    pub fn until<Holds>(&mut self, step: Duration, holds: Holds)
    where
        Holds: Fn(&Self) -> bool,
    {
        for _ in 0..100_000 {
            if holds(self) {
                return;
            }
            if !self.queue.is_empty() {
                self.deliver();
            } else if let Some(node) = self.nodes.iter().position(|node| !node.woken) {
                self.tick(node);
            } else {
                self.advance(step);
            }
            self.check();
        }
        panic!("the condition never holds: {self:#?}");
    }

    pub fn settle(&mut self) {
        while !self.queue.is_empty() {
            self.deliver();
            self.check();
        }
        self.check();
    }

    pub fn run(&mut self, rounds: usize, step: Duration) {
        for _ in 0..rounds {
            self.round(step);
        }
    }

    /// Returns the targets that a node may dispatch to now, as a bit set.
    pub fn dispatches(&self, node: usize) -> u32 {
        let this = &self.nodes[node];
        let Some(cell) = &this.cell else { return 0 };
        if this.paused || cell.permit_until(this.now) <= this.now {
            return 0;
        }
        let basis = cell.ownership();
        (0..TARGETS)
            .filter(|target| {
                let usable = basis.usable_from(|members| ranked(*target, members));
                usable.is_some_and(|from| from <= this.now)
            })
            .fold(0, |set, target| set | 1 << target)
    }

    /// Returns the targets that some node may dispatch to.
    pub fn served(&self) -> u32 {
        (0..self.nodes.len()).fold(0, |set, node| set | self.dispatches(node))
    }

    /// Returns the broken promise of section 5, if any.
    pub fn violation(&mut self) -> Option<String> {
        self.observe_acceptance();
        let mut taken = 0;
        for node in 0..self.nodes.len() {
            let set = self.untracked.sets[node].unwrap_or_else(|| self.dispatches(node));
            self.untracked.sets[node] = Some(set);
            if set & taken != 0 {
                return Some(format!(
                    "two nodes may dispatch to targets {:#b}, one of them {node}",
                    set & taken
                ));
            }
            taken |= set;
            if set != 0 && self.cell(node).revision().settings < self.accepted {
                return Some(format!("node {node} dispatches with outdated settings"));
            }
        }
        None
    }

    pub fn check(&mut self) {
        if !self.untracked.checked {
            return;
        }
        let violation = self.violation();
        assert_eq!(violation, None, "{self:#?}");
    }

    /// Applies the acceptance rule with a client that sees everything at once.
    fn observe_acceptance(&mut self) {
        let version = self.store.settings;
        if self.accepted == version {
            return;
        }
        let members = self
            .store
            .record
            .as_ref()
            .map_or(&[][..], |(record, _)| &record.members);
        let cells = || {
            members.iter().filter_map(|member| {
                let node = &self.nodes[place(member)];
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
            self.majority_for.get_or_insert(Duration::ZERO);
        }
        let grace = redwinggrade::process::cell::HANDOVER_GRACE;
        if (at == members.len() && (settled || members.is_empty() || !self.untracked.settled))
            || self.majority_for.is_some_and(|elapsed| elapsed >= grace)
        {
            self.accepted = version;
        }
    }

    /// Returns a hash that is equal for states that differ only by the passing of time.
    pub fn digest(&self) -> u128 {
        let mut canonical = self.clone();
        let relative = |now: Moment, moment: Moment, age: Duration| {
            if moment > now {
                START + now.until(moment).min(HORIZON)
            } else {
                START - now.since(moment).min(age)
            }
        };
        let nows: Vec<Moment> = self.nodes.iter().map(|node| node.now).collect();
        let shift = |message: &mut Message| match message {
            Message::Ask { from, sent, .. } => *sent = relative(nows[*from], *sent, PERMIT_TTL),
            Message::Answer { to, sent, .. } => *sent = relative(nows[*to], *sent, PERMIT_TTL),
            Message::Read { to, started, .. } => *started = relative(nows[*to], *started, HORIZON),
            Message::Swap { .. } | Message::Swapped { .. } => {}
        };
        canonical.queue.iter_mut().for_each(shift);
        canonical.late.iter_mut().for_each(shift);
        for node in &mut canonical.nodes {
            node.held.iter_mut().for_each(shift);
            if let Some(cell) = &mut node.cell {
                cell.map_moments(|moment, age| relative(node.now, moment, age));
            }
            node.now = START;
        }
        let mut bytes = Bytes(Vec::with_capacity(4_096));
        canonical.hash(&mut bytes);
        xxh3_128(&bytes.0)
    }
}

/// Collects what is hashed, because hashing it at once is much faster in a debug build.
struct Bytes(Vec<u8>);

impl Hasher for Bytes {
    fn finish(&self) -> u64 {
        unreachable!("only the collected bytes are used")
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

/// Returns the owner of a target; the ranking is computed once for every set of names, because the
/// enumeration asks it often.
fn ranked(target: usize, members: &[Member]) -> Option<&Member> {
    const NODES: usize = 4;
    static OWNERS: LazyLock<Vec<[usize; TARGETS]>> = LazyLock::new(|| {
        let owners = |set: usize| {
            let nodes: Vec<usize> = (0..NODES).filter(|node| set & 1 << node != 0).collect();
            let members: Vec<Member> = nodes.iter().map(|node| member(*node, 1)).collect();
            std::array::from_fn(|target| {
                let replica = u32::try_from(target % 2).expect("two replicas");
                owner_of("index", SERVICES[target / 2], replica, &members).map_or(NODES, place)
            })
        };
        (0..1 << NODES).map(owners).collect()
    });
    if members.iter().any(|member| place(member) >= NODES) {
        let replica = u32::try_from(target % 2).expect("two replicas");
        return owner_of("index", SERVICES[target / 2], replica, members);
    }
    let set = members
        .iter()
        .fold(0, |set, member| set | 1 << place(member));
    let owner = OWNERS[set][target];
    members.iter().find(|member| place(member) == owner)
}

/// Returns the number of a node, which its name encodes.
fn place(member: &Member) -> usize {
    usize::from(member.name.as_bytes()[0] - b'a')
}

/// What is not a part of the state.
#[derive(Debug, Clone)]
pub struct Untracked {
    /// The targets that each node may dispatch to, as far as they are computed.
    sets: Vec<Option<u32>>,
    /// Swaps that the store was asked for.
    pub swaps: u32,
    /// Reads that the store was asked for.
    pub reads: u32,
    /// Whether each delivery is followed by a check of the promises.
    pub checked: bool,
    /// Whether acceptance by all members needs one that has known the list for `HANDOVER_GRACE`.
    pub settled: bool,
}

impl Hash for Untracked {
    fn hash<State>(&self, _: &mut State)
    where
        State: Hasher,
    {
    }
}
