//! Membership of a cell, permits and the basis of target ownership.
//!
//! [`Cell`] decides when a node reads the store, which changes of the cell record it proposes, and
//! until when it may dispatch. `docs/design.md`, section 5, states the rule and why it is safe;
//! `tests/cell_enumeration.rs` checks it against combinations of faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Moment;
use crate::wire::exchange::{Ballot, Record, Seen};
use crate::wire::{Exchange, Incarnation, Member, Report, Revision};

/// How long a store proof or a peer's support is valid, from the moment its request was sent.
pub const PERMIT: Duration = Duration::from_millis(1_500);
/// How long a gaining owner waits after it first saw the change.
///
/// It exceeds `PERMIT` x 1.05 / 0.95 = 1,658 ms, which covers a slow clock at the old owner and a
/// fast clock at the new one.
pub const GRACE: Duration = Duration::from_millis(1_700);
/// Period of exchanges with the members of the own cell.
pub const EXCHANGE: Duration = Duration::from_millis(300);
/// Period of the store reads that the first live member makes for its cell.
pub const HEAD_READ: Duration = Duration::from_millis(300);
/// A node that learned of no newer store proof for this long reads the store itself.
pub const PROOF_WAIT: Duration = Duration::from_millis(600);
/// A member that answered no exchange for this long is proposed for removal.
pub const SUSPECT: Duration = Duration::from_millis(1_500);
/// A silent member is proposed for removal only after this many unanswered exchanges, so that a node
/// that was itself paused does not suspect the others when it resumes.
pub const SUSPECT_EXCHANGES: u32 = 3;
/// A member that answered an exchange sent within this time counts as live (three exchanges).
pub const LIVE: Duration = Duration::from_millis(900);
/// A ballot that is still open after this time is cancelled.
pub const BALLOT_LIMIT: Duration = Duration::from_secs(3);
/// Ranks by name wait multiples of this time before they do what an earlier rank should have done.
pub const RANK_STEP: Duration = Duration::from_millis(200);
/// A node joins this long after the last change of the record at the earliest. It bounds the writes
/// of a data centre that restarts as a whole: at most three joins a second in each of its cells.
pub const JOIN_PAUSE: Duration = Duration::from_millis(200);
/// Joining nodes spread their first swap over this many slots of [`JOIN_SLOT`].
pub const JOIN_SLOTS: u64 = 8;
/// Width of one slot; it exceeds a store round trip, so that later slots see the swap of earlier ones.
pub const JOIN_SLOT: Duration = Duration::from_millis(50);
/// Least time between two swap attempts of a node after a conflict; doubles with each conflict.
pub const SWAP_PAUSE: Duration = Duration::from_millis(250);
/// Back-off of swaps and of failing reads stops doubling after this many steps.
pub const BACKOFF_STEPS: u32 = 4;
/// A store call whose outcome was not reported for this long counts as failed (a read) or unknown (a swap).
pub const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Largest number of members of a cell.
pub const MEMBERS_MAX: usize = 16;
/// Largest number of peers that a node remembers: members, and as many joining nodes.
const PEERS_MAX: usize = 4 * MEMBERS_MAX;
/// Proofs and supports kept at revisions that the node has not reached yet.
const AHEAD_MAX: usize = 4;

/// The guards of the rule, as switches for the tests that show that each guard is necessary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is switched off on its own by a test"
)]
pub struct Rules {
    /// A gaining owner waits [`GRACE`].
    pub grace: bool,
    /// Support and relayed proofs count from the sending of the request, not from the answer's arrival.
    pub from_sent: bool,
    /// A ballot succeeds only after a majority reported having seen it.
    pub majority_seen: bool,
    /// Under a ballot a node dispatches only to targets that it owns under both lists.
    pub both_lists: bool,
    /// One ballot changes one member.
    pub single_change: bool,
    /// Only the listed incarnation of a member supports a permit.
    pub exact_incarnation: bool,
    /// A node that may have missed a member list waits [`GRACE`] for all its targets.
    pub continuity: bool,
    /// A node joins only with the settings that its last store read showed.
    pub joins_current: bool,
    /// The only member of a list needs a store proof before its own support counts.
    pub lone_proof: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            grace: true,
            from_sent: true,
            majority_seen: true,
            both_lists: true,
            single_change: true,
            exact_incarnation: true,
            continuity: true,
            joins_current: true,
            lone_proof: true,
        }
    }
}

/// What a node needs to know to take part in its cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// The name of the cell.
    pub cell: String,
    /// The node itself.
    pub me: Member,
    /// The version of the settings that the node starts with.
    pub settings: u64,
    /// The guards; all are on except in tests.
    pub rules: Rules,
}

/// What one read of the store showed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Heads {
    /// The version in `settings/head`.
    pub settings: u64,
    /// The present record of the cell with the store's modification revision, or nothing if the store
    /// has none. A read that asks only for newer records repeats the last one here.
    pub record: Option<(Record, u64)>,
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Swapped {
    /// The record was written; the read that follows shows its modification revision.
    Done,
    /// Another write came first.
    Conflict,
    /// The answer was lost; the record may have been written.
    Unknown,
}

/// What happened to a cell member.
#[derive(Debug, Clone)]
pub enum Event {
    /// A read of the store ended.
    Read {
        /// When the read was sent.
        started: Moment,
        /// What it showed, or nothing if it failed.
        heads: Option<Heads>,
    },
    /// A compare-and-swap ended.
    Swapped {
        /// The modification revision that it expected.
        expected: Option<u64>,
        /// What became of it.
        outcome: Swapped,
    },
    /// A peer answered an exchange.
    Answer {
        /// When the exchange was sent.
        sent: Moment,
        /// The answer.
        report: Report,
    },
    /// A peer did not answer an exchange.
    NoAnswer {
        /// The name of the peer.
        peer: String,
    },
    /// A peer asked; the answer comes from [`Cell::report`].
    Asked(Exchange),
    /// The settings replica adopted a version.
    Settings {
        /// The version now in force at this node.
        version: u64,
    },
    /// The node stops as planned.
    Stopping,
    /// Time passed.
    Tick,
}

/// What a cell member wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the settings head and the cell record in one transaction.
    Read,
    /// Write the cell record if its modification revision is the expected one.
    Swap {
        /// The expected modification revision, or nothing if the record must be absent.
        expected: Option<u64>,
        /// The new record.
        record: Record,
    },
    /// Send an exchange.
    Exchange {
        /// The receiver.
        peer: Member,
        /// The message.
        exchange: Exchange,
    },
    /// The record or the basis of ownership changed.
    ///
    /// It must take effect at the gates before the next [`Cell::report`], because a report of the new
    /// revision tells the gaining owners that this node no longer dispatches to their targets.
    Changed,
}

/// A member list and when the node first saw it as the current one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Listed {
    /// The members.
    pub members: Vec<Member>,
    /// The revision of the first record that the node saw with this current list.
    pub revision: u64,
    /// When the node first saw a record with this current list.
    pub since: Moment,
}

/// The member lists that decide which targets a node may dispatch to, and from when.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Basis {
    /// The node itself.
    pub me: Member,
    /// Consecutive current lists, oldest first; the last one is in force.
    pub lists: Vec<Listed>,
    /// The proposed list while a ballot is open.
    pub proposed: Option<Vec<Member>>,
    /// Incarnations that dispatch nothing any more.
    pub ended: BTreeSet<(String, Incarnation)>,
    /// The newest record revision that each peer reported.
    pub seen: Vec<(Member, u64)>,
    rules: Rules,
}

impl Basis {
    /// Returns the moment from which the node may dispatch to a target, or nothing if it does not own it.
    ///
    /// `owner` ranks the target over a member list, as [`super::owner::owner`] does.
    pub fn usable_from<Owner>(&self, owner: Owner) -> Option<Moment>
    where
        Owner: for<'m> Fn(&'m [Member]) -> Option<&'m Member>,
    {
        let mine = |members: &[Member]| owner(members).is_some_and(|member| *member == self.me);
        if self.proposed.as_deref().is_some_and(|list| !mine(list)) {
            return None;
        }
        let (first, earlier) = self
            .lists
            .iter()
            .rposition(|list| !mine(&list.members))
            .map_or((0, None), |before| (before + 1, self.lists.get(before)));
        let gained = self.lists.get(first)?;
        if !self.rules.grace {
            return Some(Moment::ZERO);
        }
        // Owners under still earlier lists are covered by the wait that the list before imposes.
        let since = match earlier {
            Some(list)
                if owner(&list.members)
                    .is_none_or(|previous| self.released(previous, gained.revision)) =>
            {
                list.since
            }
            _ => gained.since,
        };
        Some(since + GRACE)
    }

    /// Returns whether a former owner ended, or has seen the record under which it owns the target no more.
    fn released(&self, previous: &Member, revision: u64) -> bool {
        let knows = |(peer, seen): &(Member, u64)| peer == previous && *seen >= revision;
        let ended = (previous.name.clone(), previous.incarnation);
        self.ended.contains(&ended) || self.seen.iter().any(knows)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Peer {
    member: Member,
    /// The newest request that the peer answered, per revision that it answered at.
    supports: SmallVec<[(Revision, Moment); AHEAD_MAX]>,
    /// The newest revision that the peer reported.
    seen: Revision,
    /// When `seen` was reported.
    seen_at: Moment,
    /// The sending of the newest exchange that it answered, or when the node first knew the peer.
    heard: Moment,
    /// Exchanges sent since the last answer, up to [`SUSPECT_EXCHANGES`].
    unanswered: u32,
    /// Whether it answered at all.
    answered: bool,
    stopping: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Swap {
    expected: Option<u64>,
    started: Moment,
}

/// One node's view of its cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Cell {
    config: Config,
    settings: u64,
    /// The newest settings version that a store read showed.
    settings_head: u64,
    record: Option<Record>,
    /// When the node first saw the record's revision.
    record_since: Moment,
    /// The record's modification revision, if a read or a swap showed it.
    mod_revision: Option<u64>,
    /// The last read showed that the cell has no record.
    absent: bool,
    lists: Vec<Listed>,
    ended: BTreeSet<(String, Incarnation)>,
    peers: BTreeMap<String, Peer>,
    proofs: SmallVec<[(Revision, Moment); AHEAD_MAX]>,
    /// The start of the newest store read that the node knows of, own or relayed.
    newest_proof: Moment,
    /// When `newest_proof` last advanced.
    proof_learned: Moment,
    /// A store proof showed a record that lists this incarnation.
    proven: bool,
    member: bool,
    stopping: bool,
    released: bool,
    removed: bool,
    reading: Option<Moment>,
    read_failures: u32,
    next_read: Moment,
    swap: Option<Swap>,
    /// A swap ended at this moment; only a read that started later shows the record after it.
    unsettled: Option<Moment>,
    conflicts: u32,
    next_swap: Moment,
    next_exchange: Moment,
    ask: BTreeSet<String>,
    changed: bool,
}

impl Cell {
    /// Starts a node outside its cell's record.
    pub fn open(config: Config, now: Moment) -> Self {
        Self {
            settings: config.settings,
            settings_head: 0,
            record: None,
            record_since: now,
            mod_revision: None,
            absent: false,
            lists: Vec::new(),
            ended: BTreeSet::new(),
            peers: BTreeMap::new(),
            proofs: SmallVec::new(),
            newest_proof: Moment::ZERO,
            proof_learned: now,
            proven: false,
            member: false,
            stopping: false,
            released: false,
            removed: false,
            reading: None,
            read_failures: 0,
            next_read: now,
            swap: None,
            unsettled: None,
            conflicts: 0,
            next_swap: now,
            next_exchange: now,
            ask: BTreeSet::new(),
            changed: false,
            config,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Read { started, heads } => self.read_ended(started, heads, now),
            Event::Swapped { expected, outcome } => self.swap_ended(expected, outcome, now),
            Event::Answer { sent, report } => self.answered(sent, report, now),
            Event::Asked(exchange) => self.asked(&exchange, now),
            Event::Settings { version } => {
                // Versions never go back, whatever order the replica reports them in.
                if version > self.settings {
                    self.settings = version;
                    self.revision_changed(now);
                }
            }
            Event::Stopping => self.stopping = true,
            Event::NoAnswer { .. } | Event::Tick => {}
        }
        self.act(now)
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn wake(&self, now: Moment) -> Option<Moment> {
        if self.removed {
            return Some(self.next_exchange);
        }
        [
            Some(self.next_exchange),
            Some(self.next_read),
            Some(self.proof_learned + PROOF_WAIT),
            self.reading.map(|started| started + CALL_LIMIT),
            self.swap.as_ref().map(|swap| swap.started + CALL_LIMIT),
            self.proposal(now).map(|(due, _)| due),
        ]
        .into_iter()
        .flatten()
        .filter(|due| *due > now)
        .min()
    }

    /// Returns until when the node may dispatch at its present revision, or [`Moment::ZERO`].
    pub fn permit_until(&self, now: Moment) -> Moment {
        let Some(record) = &self.record else {
            return Moment::ZERO;
        };
        if self.removed || self.released || !record.members.contains(&self.config.me) {
            return Moment::ZERO;
        }
        let until = self.proof().max(self.support(record, now)) + PERMIT;
        if until > now { until } else { Moment::ZERO }
    }

    /// Returns what the node knows.
    pub fn revision(&self) -> Revision {
        Revision {
            settings: self.settings,
            cell: self.record.as_ref().map_or(0, |record| record.revision),
        }
    }

    /// Returns the cell record that the node has adopted.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// Returns what decides the targets that the node may dispatch to; a permit is needed as well.
    pub fn owned_basis(&self) -> Basis {
        let listed = !self.removed && !self.released;
        Basis {
            me: self.config.me.clone(),
            lists: if listed {
                self.lists.clone()
            } else {
                Vec::new()
            },
            proposed: self
                .record
                .as_ref()
                .and_then(|record| record.ballot.as_ref())
                .filter(|_| self.config.rules.both_lists)
                .map(|ballot| ballot.members.clone()),
            ended: self.ended.clone(),
            seen: self
                .peers
                .values()
                .map(|peer| (peer.member.clone(), peer.seen.cell))
                .collect(),
            rules: self.config.rules,
        }
    }

    /// Returns the age of the newest store proof of the present revision.
    pub fn proof_age(&self, now: Moment) -> Option<Duration> {
        Some(now.since(self.proof())).filter(|age| self.proof() > Moment::ZERO && *age < PERMIT)
    }

    /// Returns the newest settings version that a store read or a peer reported.
    pub fn settings_known(&self) -> u64 {
        let peers = self.peers.values().map(|peer| peer.seen.settings);
        peers.fold(self.settings.max(self.settings_head), u64::max)
    }

    /// Returns whether this incarnation was removed or replaced; it never dispatches again.
    pub fn removed(&self) -> bool {
        self.removed
    }

    /// Returns whether the node is in the current member list.
    pub fn is_member(&self) -> bool {
        self.member && !self.removed
    }

    /// Returns the peers of the cell that are stopping or did not answer lately.
    pub fn unavailable(&self, now: Moment) -> Vec<&str> {
        self.peers
            .values()
            .filter(|peer| peer.stopping || now.since(peer.heard) >= LIVE)
            .map(|peer| peer.member.name.as_str())
            .collect()
    }

    /// Returns the revision that each known peer last reported, for `status`.
    pub fn seen(&self, now: Moment) -> Vec<Seen> {
        self.peers
            .values()
            .map(|peer| Seen {
                name: peer.member.name.clone(),
                incarnation: peer.member.incarnation,
                revision: peer.seen,
                age_ms: u64::try_from(now.since(peer.seen_at).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    /// Answers an exchange; target summaries are added by the caller.
    pub fn report(&self, exchange: &Exchange, now: Moment) -> Report {
        let same_cell = exchange.cell == self.config.cell;
        Report {
            from: self.config.me.clone(),
            cell: self.config.cell.clone(),
            revision: self.revision(),
            proof_age_us: self
                .proof_age(now)
                .and_then(|age| u64::try_from(age.as_micros()).ok()),
            record: self
                .record
                .clone()
                .filter(|record| same_cell && record.revision > exchange.revision.cell),
            stopping: self.stopping,
            released: self.released || self.removed,
            settled: self
                .lists
                .last()
                .is_some_and(|list| now.since(list.since) >= GRACE),
            targets: Vec::new(),
            mark: 0,
        }
    }

    /// Applies a function to every moment of the state, so that tests can compare states of different
    /// times; the function also takes the age from which on the moment has no further effect.
    pub fn map_moments<Map>(&mut self, mut map: Map)
    where
        Map: FnMut(Moment, Duration) -> Moment,
    {
        let ballot = BALLOT_LIMIT + RANK_STEP * MEMBERS_MAX as u32;
        for (moment, age) in [
            (&mut self.record_since, ballot),
            (&mut self.newest_proof, 2 * PERMIT),
            (&mut self.proof_learned, PROOF_WAIT),
            (&mut self.next_read, Duration::ZERO),
            (&mut self.next_swap, Duration::ZERO),
            (&mut self.next_exchange, Duration::ZERO),
        ] {
            *moment = map(*moment, age);
        }
        for list in &mut self.lists {
            list.since = map(list.since, GRACE);
        }
        for (_, started) in &mut self.proofs {
            *started = map(*started, PERMIT);
        }
        let swap = self.swap.iter_mut().map(|swap| &mut swap.started);
        let unsettled = self.unsettled.iter_mut();
        for started in self.reading.iter_mut().chain(swap).chain(unsettled) {
            *started = map(*started, CALL_LIMIT);
        }
        for peer in self.peers.values_mut() {
            peer.heard = map(peer.heard, SUSPECT);
            peer.seen_at = map(peer.seen_at, SUSPECT);
            for (_, sent) in &mut peer.supports {
                *sent = map(*sent, PERMIT);
            }
        }
    }

    fn proof(&self) -> Moment {
        let revision = self.revision();
        let proofs = self.proofs.iter().filter(|(at, _)| *at == revision);
        proofs
            .map(|(_, started)| *started)
            .max()
            .unwrap_or_default()
    }

    /// Returns the moment from which a majority supports the present revision.
    fn support(&self, record: &Record, now: Moment) -> Moment {
        let rules = self.config.rules;
        if rules.lone_proof && record.members.len() == 1 && !self.proven {
            return Moment::ZERO;
        }
        let revision = self.revision();
        let mut sent: SmallVec<[Moment; MEMBERS_MAX]> = record
            .members
            .iter()
            .filter_map(|member| {
                if *member == self.config.me {
                    return Some(now);
                }
                let peer = self.peers.get(&member.name)?;
                if rules.exact_incarnation && peer.member != *member {
                    return None;
                }
                let supports = peer.supports.iter().filter(|(at, _)| *at == revision);
                supports.map(|(_, sent)| *sent).max()
            })
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let last = majority(record.members.len()).checked_sub(1);
        last.and_then(|last| sent.get(last).copied())
            .unwrap_or_default()
    }

    fn read_ended(&mut self, started: Moment, heads: Option<Heads>, now: Moment) {
        self.reading = None;
        let Some(heads) = heads else {
            self.read_failures = (self.read_failures + 1).min(BACKOFF_STEPS);
            self.next_read = now + self.read_period(now);
            return;
        };
        self.read_failures = 0;
        self.settings_head = self.settings_head.max(heads.settings);
        let settles = self.unsettled.is_none_or(|ended| started >= ended);
        if settles {
            self.unsettled = None;
        } else {
            self.next_read = now;
        }
        let Some((record, mod_revision)) = heads.record else {
            // A record that vanished is not created again by nodes that knew it, because its
            // revisions would go back.
            self.absent = settles && self.record.is_none();
            return;
        };
        self.absent = false;
        let revision = Revision {
            settings: heads.settings,
            cell: record.revision,
        };
        self.adopt(record, now);
        if settles && self.revision().cell == revision.cell {
            self.mod_revision = Some(mod_revision);
        }
        self.prove(revision, started, now);
    }

    fn swap_ended(&mut self, expected: Option<u64>, outcome: Swapped, now: Moment) {
        let Some(swap) = self.swap.take_if(|swap| swap.expected == expected) else {
            return;
        };
        match outcome {
            // The write itself is adopted by the read that follows, which also proves the settings.
            Swapped::Done => self.conflicts = 0,
            Swapped::Conflict | Swapped::Unknown => {
                self.next_swap = now + SWAP_PAUSE * 2_u32.pow(self.conflicts) + self.jitter();
                self.conflicts = (self.conflicts + 1).min(BACKOFF_STEPS);
            }
        }
        debug_assert!(swap.started <= now, "a swap ends after it started");
        self.unsettled = Some(now);
        self.mod_revision = None;
        self.next_read = now;
    }

    fn answered(&mut self, sent: Moment, report: Report, now: Moment) {
        if report.cell != self.config.cell || report.from.name == self.config.me.name {
            return;
        }
        let counted = if self.config.rules.from_sent {
            sent
        } else {
            now
        };
        let Some(peer) = self.meet(&report.from, now) else {
            return;
        };
        peer.answered = true;
        peer.unanswered = 0;
        peer.heard = peer.heard.max(counted);
        peer.stopping |= report.stopping;
        let advanced = peer.see(report.revision, now);
        keep_newest(&mut peer.supports, report.revision, counted);
        let ended = report.released
            && self
                .ended
                .insert((report.from.name, report.from.incarnation));
        self.changed |= self.lists.len() > 1 && (advanced || ended);
        if let Some(record) = report.record {
            self.adopt(record, now);
        }
        let same_list = report.revision.cell == self.revision().cell;
        if let Some(list) = self
            .lists
            .last_mut()
            .filter(|_| report.settled && same_list)
        {
            // GRACE has passed at the peer, so every permit under an earlier list has expired.
            let settled = list.since.min(now - GRACE);
            self.changed |= settled != list.since;
            list.since = settled;
        }
        if let Some(age) = report.proof_age_us {
            self.prove(report.revision, counted - Duration::from_micros(age), now);
        }
    }

    /// Takes note of a peer's exchange; it supports nothing, because its age is unknown.
    fn asked(&mut self, exchange: &Exchange, now: Moment) {
        if exchange.cell != self.config.cell || exchange.from.name == self.config.me.name {
            return;
        }
        let newer = exchange.revision.cell > self.revision().cell;
        if let Some(peer) = self.meet(&exchange.from, now) {
            let advanced = peer.see(exchange.revision, now);
            self.changed |= self.lists.len() > 1 && advanced;
            if newer {
                self.ask.insert(exchange.from.name.clone());
            }
        }
    }

    /// Returns the entry of a peer, unless a newer incarnation of its name is known.
    fn meet(&mut self, member: &Member, now: Moment) -> Option<&mut Peer> {
        if let Some(known) = self.peers.get(&member.name) {
            if known.member.incarnation > member.incarnation {
                return None;
            }
            let listed = |record: &Record| record.members.contains(&known.member);
            if known.member.peer != member.peer && self.record.as_ref().is_some_and(listed) {
                // A name at a second address proves nothing about the listed member.
                return None;
            }
            if known.member != *member {
                if known.member.peer == member.peer {
                    // Both runs bind the same address, so the older one has ended.
                    self.ended
                        .insert((member.name.clone(), known.member.incarnation));
                }
                self.peers.remove(&member.name);
            }
        }
        if self.peers.len() >= PEERS_MAX {
            let listed = self.contacts();
            self.peers
                .retain(|name, _| listed.iter().any(|member| member.name == *name));
        }
        Some(
            self.peers
                .entry(member.name.clone())
                .or_insert_with(|| Peer {
                    member: member.clone(),
                    supports: SmallVec::new(),
                    seen: Revision::default(),
                    seen_at: now,
                    heard: now,
                    unanswered: 0,
                    answered: false,
                    stopping: false,
                }),
        )
    }

    fn prove(&mut self, revision: Revision, started: Moment, now: Moment) {
        if started > self.newest_proof {
            self.newest_proof = started;
            self.proof_learned = now;
        }
        let own = self.revision();
        if revision.settings < own.settings || revision.cell < own.cell {
            return;
        }
        keep_newest(&mut self.proofs, revision, started);
        self.note_proven(now);
    }

    fn note_proven(&mut self, now: Moment) {
        self.proven |= self.member && now.since(self.proof()) < PERMIT;
    }

    /// Adopts a record unless the node knows a newer one.
    fn adopt(&mut self, record: Record, now: Moment) {
        let known = self.record.as_ref();
        let revision = known.map_or(0, |known| known.revision);
        if record.revision <= revision {
            return;
        }
        // Opening and closing a ballot takes two revisions, so a step of two skips no member list.
        let consecutive = known.is_some() && record.revision <= revision + 2;
        if self.config.rules.continuity && !consecutive {
            self.lists.clear();
        }
        if self
            .lists
            .last()
            .is_none_or(|list| list.members != record.members)
        {
            self.lists.push(Listed {
                members: record.members.clone(),
                revision: record.revision,
                since: now,
            });
        }
        // Lists before one that has been current for GRACE no longer matter.
        if let Some(settled) = self
            .lists
            .iter()
            .rposition(|list| now.since(list.since) >= GRACE)
        {
            self.lists.drain(..settled);
        }
        if self.lists.len() > MEMBERS_MAX {
            // Forgetting the oldest list only lengthens waits.
            self.lists.remove(0);
        }
        let listed = record.members.contains(&self.config.me);
        let replaced = record.members.iter().any(|member| {
            member.name == self.config.me.name && member.incarnation > self.config.me.incarnation
        });
        self.removed |= (self.member && !listed) || replaced;
        self.member |= listed;
        let leaves = record
            .ballot
            .as_ref()
            .is_some_and(|ballot| !ballot.members.contains(&self.config.me));
        self.released |= self.stopping && listed && leaves;
        for member in &record.members {
            if let Some(peer) = self.peers.get(&member.name)
                && peer.member.peer == member.peer
                && peer.member.incarnation > member.incarnation
            {
                self.ended.insert((member.name.clone(), member.incarnation));
            }
            if member.name == self.config.me.name
                && member.peer == self.config.me.peer
                && member.incarnation < self.config.me.incarnation
            {
                self.ended.insert((member.name.clone(), member.incarnation));
            }
        }
        let lists = &self.lists;
        self.ended.retain(|(name, incarnation)| {
            lists.iter().any(|list| {
                let mut members = list.members.iter();
                members.any(|member| member.name == *name && member.incarnation == *incarnation)
            })
        });
        for member in record.members.iter().chain(
            record
                .ballot
                .iter()
                .flat_map(|ballot| ballot.members.iter()),
        ) {
            if member.name != self.config.me.name {
                self.meet(member, now);
            }
        }
        self.record = Some(record);
        self.record_since = now;
        self.mod_revision = None;
        self.absent = false;
        self.changed = true;
        self.revision_changed(now);
    }

    fn revision_changed(&mut self, now: Moment) {
        let own = self.revision();
        let ahead =
            |at: &mut (Revision, Moment)| at.0.settings >= own.settings && at.0.cell >= own.cell;
        self.proofs.retain(ahead);
        for peer in self.peers.values_mut() {
            peer.supports.retain(ahead);
        }
        self.note_proven(now);
        self.next_exchange = now;
    }

    /// Returns the other nodes of the record, current and proposed, and of lists that were replaced
    /// lately: a removed node that answers has released its targets.
    fn contacts(&self) -> Vec<Member> {
        let Some(record) = &self.record else {
            return Vec::new();
        };
        let former = self.lists.iter().flat_map(|list| &list.members);
        let proposed = record.ballot.iter().flat_map(|ballot| &ballot.members);
        let mut contacts: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in former.chain(&record.members).chain(proposed) {
            if member.name != self.config.me.name {
                contacts.insert(&member.name, member);
            }
        }
        contacts.into_values().cloned().collect()
    }

    fn act(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        if std::mem::take(&mut self.changed) {
            actions.push(Action::Changed);
        }
        self.expire_calls(now);
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE;
            self.ask.clear();
            for member in self.contacts() {
                if let Some(peer) = self.peers.get_mut(&member.name) {
                    peer.unanswered = (peer.unanswered + 1).min(SUSPECT_EXCHANGES);
                }
                actions.push(self.exchange_with(member));
            }
        }
        for name in std::mem::take(&mut self.ask) {
            if let Some(peer) = self.peers.get(&name) {
                actions.push(self.exchange_with(peer.member.clone()));
            }
        }
        if self.removed {
            // A removed node may still coordinate queries while it stops, so it goes on exchanging.
            return actions;
        }
        if self.swap.is_none()
            && self.unsettled.is_none()
            && let Some((due, record)) = self.proposal(now)
            && now >= due
        {
            if self.record.is_none() || self.mod_revision.is_some() {
                let expected = self.mod_revision;
                self.swap = Some(Swap {
                    expected,
                    started: now,
                });
                actions.push(Action::Swap { expected, record });
            } else if now >= self.next_read {
                self.read(now, &mut actions);
            }
        }
        if now >= self.next_read && self.wants_read(now) {
            self.read(now, &mut actions);
        }
        actions
    }

    fn exchange_with(&self, peer: Member) -> Action {
        Action::Exchange {
            peer,
            exchange: Exchange {
                from: self.config.me.clone(),
                cell: self.config.cell.clone(),
                revision: self.revision(),
                since: 0,
            },
        }
    }

    fn expire_calls(&mut self, now: Moment) {
        if let Some(started) = self.reading
            && now.since(started) >= CALL_LIMIT
        {
            self.read_ended(started, None, now);
        }
        if let Some(swap) = &self.swap
            && now.since(swap.started) >= CALL_LIMIT
        {
            self.swap_ended(swap.expected, Swapped::Unknown, now);
        }
    }

    fn read(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.reading.is_none() {
            self.reading = Some(now);
            self.next_read = now + self.read_period(now);
            actions.push(Action::Read);
        }
    }

    fn wants_read(&self, now: Moment) -> bool {
        self.unsettled.is_some()
            || self.record.is_none()
            || self.first_live(now)
            || now.since(self.proof_learned) >= PROOF_WAIT
    }

    /// The first live member keeps its period while the store fails, so that its return is noticed;
    /// the others back off, so that a slow store is not asked by every node of every cell.
    fn read_period(&self, now: Moment) -> Duration {
        if self.first_live(now) {
            HEAD_READ
        } else {
            HEAD_READ * 2_u32.pow(self.read_failures)
        }
    }

    fn live(&self, member: &Member, now: Moment) -> bool {
        *member == self.config.me
            || self.peers.get(&member.name).is_some_and(|peer| {
                peer.member == *member && peer.answered && now.since(peer.heard) < LIVE
            })
    }

    /// Returns whether the node is the first live member by name.
    fn first_live(&self, now: Moment) -> bool {
        let Some(record) = &self.record else {
            return false;
        };
        let mut members = record.members.iter();
        members.find(|member| self.live(member, now)) == Some(&self.config.me)
    }

    /// Returns the change of the record that the node would make next, and when.
    fn proposal(&self, now: Moment) -> Option<(Moment, Record)> {
        let me = &self.config.me;
        let current_settings =
            self.settings >= self.settings_head || !self.config.rules.joins_current;
        let spread = self.jitter();
        let Some(record) = &self.record else {
            let create = self.absent && current_settings && !self.stopping;
            return create.then(|| {
                let record = Record {
                    revision: 1,
                    members: vec![me.clone()],
                    ballot: None,
                };
                ((self.record_since + spread).max(self.next_swap), record)
            });
        };
        let next = |members: &[Member], ballot: Option<Vec<Member>>| Record {
            revision: record.revision + 1,
            members: members.to_vec(),
            ballot: ballot.map(|members| Ballot { members }),
        };
        if let Some(ballot) = &record.ballot {
            let late_joiner = !self.config.rules.single_change
                && !self.member
                && !ballot.members.iter().any(|member| member.name == me.name);
            if late_joiner {
                let proposed = with(&ballot.members, me);
                return Some((now, next(&record.members, Some(proposed))));
            }
            let wait = RANK_STEP * self.rank(record, ballot);
            return if self.seen_by_majority(record) {
                let due = (self.record_since + wait).max(self.next_swap);
                Some((due, next(&ballot.members, None)))
            } else {
                let due = (self.record_since + BALLOT_LIMIT + wait).max(self.next_swap);
                Some((due, next(&record.members, None)))
            };
        }
        if !record.members.contains(me) {
            if self.stopping || !current_settings {
                return None;
            }
            let known = record.members.iter().find(|member| member.name == me.name);
            let may_join = known.map_or(record.members.len() < MEMBERS_MAX, |known| {
                // A name that moved to another address proves nothing about the old process, which
                // must be removed as a silent member first.
                known.incarnation < me.incarnation && known.peer == me.peer
            });
            return may_join.then(|| {
                let due = (self.record_since + JOIN_PAUSE + spread).max(self.next_swap);
                (due, next(&record.members, Some(with(&record.members, me))))
            });
        }
        let due = self.record_since.max(self.next_swap);
        if self.stopping {
            return Some((
                due,
                next(&record.members, Some(without(&record.members, me))),
            ));
        }
        let silent = self.silent(record, now)?;
        Some((
            due,
            next(&record.members, Some(without(&record.members, silent))),
        ))
    }

    /// Returns the member to propose for removal, if this node is the one to propose it.
    fn silent<'r>(&self, record: &'r Record, now: Moment) -> Option<&'r Member> {
        // Without a live majority the ballot could not succeed and would only withhold targets.
        let live = |member: &&Member| self.live(member, now) || self.vouched(member, now);
        let enough = record.members.iter().filter(live).count() >= majority(record.members.len());
        if !enough || !self.first_live(now) {
            return None;
        }
        record.members.iter().find(|member| {
            **member != self.config.me
                && !self.vouched(member, now)
                && self.peers.get(&member.name).is_none_or(|peer| {
                    peer.unanswered >= SUSPECT_EXCHANGES && now.since(peer.heard) >= SUSPECT
                })
        })
    }

    /// Returns whether a newer incarnation of a member was met lately; it replaces the member itself.
    fn vouched(&self, member: &Member, now: Moment) -> bool {
        self.peers.get(&member.name).is_some_and(|peer| {
            peer.member.peer == member.peer
                && peer.member.incarnation > member.incarnation
                && now.since(peer.seen_at) < SUSPECT
        })
    }

    /// Returns whether a majority of the names in the current list have seen the record.
    fn seen_by_majority(&self, record: &Record) -> bool {
        if !self.config.rules.majority_seen {
            return true;
        }
        let seen = record.members.iter().filter(|member| {
            let same_place = |other: &Member| {
                other.name == member.name
                    && other.peer == member.peer
                    && other.incarnation >= member.incarnation
            };
            same_place(&self.config.me)
                || self.peers.get(&member.name).is_some_and(|peer| {
                    same_place(&peer.member) && peer.seen.cell >= record.revision
                })
        });
        seen.count() >= majority(record.members.len())
    }

    /// Returns the order in which nodes close a ballot: who joins, then the proposed members by name,
    /// then who leaves, then all others. The others matter if every listed incarnation has ended.
    fn rank(&self, record: &Record, ballot: &Ballot) -> u32 {
        let me = &self.config.me;
        let joins = ballot
            .members
            .iter()
            .filter(|member| !record.members.contains(member));
        let stays = ballot
            .members
            .iter()
            .filter(|member| record.members.contains(member));
        let leaves = record
            .members
            .iter()
            .filter(|member| !ballot.members.contains(member));
        let order: SmallVec<[&Member; MEMBERS_MAX]> = joins.chain(stays).chain(leaves).collect();
        let place = order.iter().position(|member| *member == me);
        place.unwrap_or(order.len()) as u32
    }

    /// Returns a delay that differs between nodes and between revisions.
    fn jitter(&self) -> Duration {
        let name = self.config.me.name.as_bytes();
        let slot = xxh3_64_with_seed(name, self.revision().cell) % JOIN_SLOTS;
        JOIN_SLOT * u32::try_from(slot).unwrap_or(0)
    }
}

impl Peer {
    /// Notes a reported revision and returns whether the record's revision advanced.
    fn see(&mut self, revision: Revision, now: Moment) -> bool {
        let advanced = revision.cell > self.seen.cell;
        self.seen.settings = self.seen.settings.max(revision.settings);
        self.seen.cell = self.seen.cell.max(revision.cell);
        self.seen_at = now;
        advanced
    }
}

/// Returns the size of a majority; an empty list needs nobody's consent.
pub const fn majority(members: usize) -> usize {
    if members == 0 { 0 } else { members / 2 + 1 }
}

fn keep_newest(
    known: &mut SmallVec<[(Revision, Moment); AHEAD_MAX]>,
    revision: Revision,
    moment: Moment,
) {
    if let Some((_, newest)) = known.iter_mut().find(|(at, _)| *at == revision) {
        *newest = moment.max(*newest);
        return;
    }
    if known.len() >= AHEAD_MAX {
        known.remove(0);
    }
    known.push((revision, moment));
}

/// Returns a list with a member added, in place of an older incarnation of its name.
fn with(members: &[Member], member: &Member) -> Vec<Member> {
    let mut members: Vec<Member> = members
        .iter()
        .filter(|other| other.name != member.name)
        .cloned()
        .collect();
    members.push(member.clone());
    members.sort_unstable();
    members
}

fn without(members: &[Member], member: &Member) -> Vec<Member> {
    let members = members.iter().filter(|other| *other != member);
    members.cloned().collect()
}
