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
use crate::wire::exchange::{Ballot, PeerRevision, Record};
use crate::wire::{Exchange, Incarnation, Member, Report, Revision};

/// How long a store proof or a peer's support is valid, from the moment its request was sent.
pub const PERMIT_TTL: Duration = Duration::from_millis(1_500);
/// How long a gaining owner waits after it first saw the change.
///
/// It exceeds `PERMIT_TTL` x 1.05 / 0.95 = 1,658 ms, which covers a slow clock at the old owner and a
/// fast clock at the new one.
pub const HANDOVER_GRACE: Duration = Duration::from_millis(1_700);
/// Period of exchanges with the members of the own cell.
pub const EXCHANGE_PERIOD: Duration = Duration::from_millis(300);
/// Period of the store reads that the first live member makes for its cell.
pub const HEAD_READ_PERIOD: Duration = Duration::from_millis(300);
/// A node that learned of no newer store proof for this long reads the store itself.
pub const PROOF_TIMEOUT: Duration = Duration::from_millis(600);
/// A member that answered no exchange for this long is proposed for removal.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A silent member is proposed for removal only after this many unanswered exchanges, so that a node
/// that was itself paused does not suspect the others when it resumes.
pub const SUSPICION_MISSED_EXCHANGES: u32 = 3;
/// A member that answered an exchange sent within this time counts as live (three exchanges).
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(900);
/// A ballot that is still open after this time is cancelled.
pub const BALLOT_TIMEOUT: Duration = Duration::from_secs(3);
/// Ranks by name wait multiples of this time before they do what an earlier rank should have done.
pub const RANK_DELAY: Duration = Duration::from_millis(200);
/// A node joins this long after the last change of the record at the earliest. It bounds the writes
/// of a data centre that restarts as a whole: at most three joins a second in each of its cells.
pub const JOIN_DELAY: Duration = Duration::from_millis(200);
/// Joining nodes spread their first swap over this many slots of [`JOIN_SLOT_WIDTH`].
pub const JOIN_SLOT_COUNT: u64 = 8;
/// Width of one slot; it exceeds a store round trip, so that later slots see the swap of earlier ones.
pub const JOIN_SLOT_WIDTH: Duration = Duration::from_millis(50);
/// Least time between two swap attempts of a node after a conflict; doubles with each conflict.
pub const SWAP_BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Back-off of swaps and of failing reads stops doubling after this many steps.
pub const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// A store call whose outcome was not reported for this long counts as failed (a read) or unknown (a swap).
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of members of a cell.
pub const MEMBERS_MAX: usize = 16;
/// Largest number of peers that a node remembers: members, and as many joining nodes.
const PEERS_MAX: usize = 4 * MEMBERS_MAX;
/// Proofs and supports kept at revisions that the node has not reached yet.
const TRACKED_REVISIONS_MAX: usize = 4;

/// The guards of the rule, as switches for the tests that show that each guard is necessary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is switched off on its own by a test"
)]
pub struct Safeguards {
    /// A gaining owner waits [`HANDOVER_GRACE`].
    pub handover_grace: bool,
    /// Support and relayed proofs count from the sending of the request, not from the answer's arrival.
    pub count_from_send: bool,
    /// A ballot succeeds only after a majority reported having seen it.
    pub ballot_needs_majority: bool,
    /// Under a ballot a node dispatches only to targets that it owns under both lists.
    pub own_under_both_lists: bool,
    /// One ballot changes one member.
    pub single_member_change: bool,
    /// Only the listed incarnation of a member supports a permit.
    pub exact_incarnation: bool,
    /// A node that may have missed a member list waits [`HANDOVER_GRACE`] for all its targets.
    pub wait_after_missed_lists: bool,
    /// A node joins only with the settings that its last store read showed.
    pub join_with_current_settings: bool,
    /// The only member of a list needs a store proof before its own support counts.
    pub sole_member_needs_proof: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            handover_grace: true,
            count_from_send: true,
            ballot_needs_majority: true,
            own_under_both_lists: true,
            single_member_change: true,
            exact_incarnation: true,
            wait_after_missed_lists: true,
            join_with_current_settings: true,
            sole_member_needs_proof: true,
        }
    }
}

/// What a node needs to know to take part in its cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// The name of the cell.
    pub cell: String,
    /// The node itself.
    pub local: Member,
    /// The version of the settings that the node starts with.
    pub settings: u64,
    /// The guards; all are on except in tests.
    pub safeguards: Safeguards,
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
pub enum SwapOutcome {
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
    ReadEnded {
        /// When the read was sent.
        started: Moment,
        /// What it showed, or nothing if it failed.
        heads: Option<Heads>,
    },
    /// A compare-and-swap ended.
    SwapEnded {
        /// The modification revision that it expected.
        expected: Option<u64>,
        /// What became of it.
        outcome: SwapOutcome,
    },
    /// A peer answered an exchange.
    ExchangeAnswered {
        /// When the exchange was sent.
        sent: Moment,
        /// The answer.
        report: Report,
    },
    /// A peer did not answer an exchange.
    ExchangeFailed {
        /// The name of the peer.
        peer: String,
    },
    /// A peer asked; the answer comes from [`Cell::report`].
    ExchangeReceived(Exchange),
    /// The settings replica adopted a version.
    SettingsAdopted {
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
    ReadStore,
    /// Write the cell record if its modification revision is the expected one.
    SwapRecord {
        /// The expected modification revision, or nothing if the record must be absent.
        expected: Option<u64>,
        /// The new record.
        record: Record,
    },
    /// Send an exchange.
    SendExchange {
        /// The receiver.
        peer: Member,
        /// The message.
        exchange: Exchange,
    },
    /// The record or the basis of ownership changed.
    ///
    /// It must take effect at the gates before the next [`Cell::report`], because a report of the new
    /// revision tells the gaining owners that this node no longer dispatches to their targets.
    MembershipChanged,
}

/// A member list and when the node first saw it as the current one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberList {
    /// The members.
    pub members: Vec<Member>,
    /// The revision of the first record that the node saw with this current list.
    pub revision: u64,
    /// When the node first saw a record with this current list.
    pub current_since: Moment,
}

/// The member lists that decide which targets a node may dispatch to, and from when.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// The node itself.
    pub local: Member,
    /// Consecutive current lists, oldest first; the last one is in force.
    pub member_lists: Vec<MemberList>,
    /// The proposed list while a ballot is open.
    pub proposed: Option<Vec<Member>>,
    /// Incarnations that dispatch nothing any more.
    pub ended_incarnations: BTreeSet<(String, Incarnation)>,
    /// The newest record revision that each peer reported.
    pub reported: Vec<(Member, u64)>,
    safeguards: Safeguards,
}

impl Ownership {
    /// Returns the moment from which the node may dispatch to a target, or nothing if it does not own it.
    ///
    /// `owner` ranks the target over a member list, as [`super::owner::owner`] does.
    pub fn usable_from<Owner>(&self, owner: Owner) -> Option<Moment>
    where
        Owner: for<'m> Fn(&'m [Member]) -> Option<&'m Member>,
    {
        let mine = |members: &[Member]| owner(members).is_some_and(|member| *member == self.local);
        if self.proposed.as_deref().is_some_and(|list| !mine(list)) {
            return None;
        }
        let (first, earlier) = self
            .member_lists
            .iter()
            .rposition(|list| !mine(&list.members))
            .map_or((0, None), |before| {
                (before + 1, self.member_lists.get(before))
            });
        let gained = self.member_lists.get(first)?;
        if !self.safeguards.handover_grace {
            return Some(Moment::ZERO);
        }
        // Owners under still earlier lists are covered by the wait that the list before imposes.
        let since = match earlier {
            Some(list)
                if owner(&list.members)
                    .is_none_or(|previous| self.has_released(previous, gained.revision)) =>
            {
                list.current_since
            }
            _ => gained.current_since,
        };
        Some(since + HANDOVER_GRACE)
    }

    /// Returns whether a former owner ended, or has seen the record under which it owns the target no more.
    fn has_released(&self, previous: &Member, revision: u64) -> bool {
        let knows = |(peer, seen): &(Member, u64)| peer == previous && *seen >= revision;
        let ended = (previous.name.clone(), previous.incarnation);
        self.ended_incarnations.contains(&ended) || self.reported.iter().any(knows)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Peer {
    member: Member,
    /// The newest request that the peer answered, per revision that it answered at.
    support_times: SmallVec<[(Revision, Moment); TRACKED_REVISIONS_MAX]>,
    /// The newest revision that the peer reported.
    reported: Revision,
    /// When `seen` was reported.
    reported_at: Moment,
    /// The sending of the newest exchange that it answered, or when the node first knew the peer.
    last_contact: Moment,
    /// Exchanges sent since the last answer, up to [`SUSPICION_MISSED_EXCHANGES`].
    unanswered_exchanges: u32,
    /// Whether it answered at all.
    has_answered: bool,
    stopping: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingSwap {
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
    record_adopted_at: Moment,
    /// The record's modification revision, if a read or a swap showed it.
    mod_revision: Option<u64>,
    /// The last read showed that the cell has no record.
    record_absent: bool,
    member_lists: Vec<MemberList>,
    ended_incarnations: BTreeSet<(String, Incarnation)>,
    peers: BTreeMap<String, Peer>,
    store_proofs: SmallVec<[(Revision, Moment); TRACKED_REVISIONS_MAX]>,
    /// The start of the newest store read that the node knows of, own or relayed.
    newest_proof: Moment,
    /// When `newest_proof` last advanced.
    proof_learned: Moment,
    /// A store proof showed a record that lists this incarnation.
    membership_proven: bool,
    joined: bool,
    stopping: bool,
    released: bool,
    removed: bool,
    read_started: Option<Moment>,
    read_failures: u32,
    next_read: Moment,
    pending_swap: Option<PendingSwap>,
    /// A swap ended at this moment; only a read that started later shows the record after it.
    swap_unconfirmed_since: Option<Moment>,
    swap_failures: u32,
    next_swap: Moment,
    next_exchange: Moment,
    peers_to_ask: BTreeSet<String>,
    membership_changed: bool,
}

impl Cell {
    /// Starts a node outside its cell's record.
    pub fn open(config: Config, now: Moment) -> Self {
        Self {
            settings: config.settings,
            settings_head: 0,
            record: None,
            record_adopted_at: now,
            mod_revision: None,
            record_absent: false,
            member_lists: Vec::new(),
            ended_incarnations: BTreeSet::new(),
            peers: BTreeMap::new(),
            store_proofs: SmallVec::new(),
            newest_proof: Moment::ZERO,
            proof_learned: now,
            membership_proven: false,
            joined: false,
            stopping: false,
            released: false,
            removed: false,
            read_started: None,
            read_failures: 0,
            next_read: now,
            pending_swap: None,
            swap_unconfirmed_since: None,
            swap_failures: 0,
            next_swap: now,
            next_exchange: now,
            peers_to_ask: BTreeSet::new(),
            membership_changed: false,
            config,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::ReadEnded { started, heads } => self.read_ended(started, heads, now),
            Event::SwapEnded { expected, outcome } => self.swap_ended(expected, outcome, now),
            Event::ExchangeAnswered { sent, report } => self.exchange_answered(sent, report, now),
            Event::ExchangeReceived(exchange) => self.exchange_received(&exchange, now),
            Event::SettingsAdopted { version } => {
                // Versions never go back, whatever order the replica reports them in.
                if version > self.settings {
                    self.settings = version;
                    self.revision_changed(now);
                }
            }
            Event::Stopping => self.stopping = true,
            Event::ExchangeFailed { .. } | Event::Tick => {}
        }
        self.due_actions(now)
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_tick(&self, now: Moment) -> Option<Moment> {
        if self.removed {
            return Some(self.next_exchange);
        }
        [
            Some(self.next_exchange),
            Some(self.next_read),
            Some(self.proof_learned + PROOF_TIMEOUT),
            self.read_started
                .map(|started| started + STORE_CALL_TIMEOUT),
            self.pending_swap
                .as_ref()
                .map(|swap| swap.started + STORE_CALL_TIMEOUT),
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
        if self.removed || self.released || !record.members.contains(&self.config.local) {
            return Moment::ZERO;
        }
        let until = self.proof_start().max(self.support_start(record, now)) + PERMIT_TTL;
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
    pub fn ownership(&self) -> Ownership {
        let listed = !self.removed && !self.released;
        Ownership {
            local: self.config.local.clone(),
            member_lists: if listed {
                self.member_lists.clone()
            } else {
                Vec::new()
            },
            proposed: self
                .record
                .as_ref()
                .and_then(|record| record.ballot.as_ref())
                .filter(|_| self.config.safeguards.own_under_both_lists)
                .map(|ballot| ballot.members.clone()),
            ended_incarnations: self.ended_incarnations.clone(),
            reported: self
                .peers
                .values()
                .map(|peer| (peer.member.clone(), peer.reported.cell))
                .collect(),
            safeguards: self.config.safeguards,
        }
    }

    /// Returns the age of the newest store proof of the present revision.
    pub fn proof_age(&self, now: Moment) -> Option<Duration> {
        Some(now.since(self.proof_start()))
            .filter(|age| self.proof_start() > Moment::ZERO && *age < PERMIT_TTL)
    }

    /// Returns the newest settings version that a store read or a peer reported.
    pub fn newest_settings_version(&self) -> u64 {
        let peers = self.peers.values().map(|peer| peer.reported.settings);
        peers.fold(self.settings.max(self.settings_head), u64::max)
    }

    /// Returns whether this incarnation was removed or replaced; it never dispatches again.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// Returns whether the node is in the current member list.
    pub fn is_member(&self) -> bool {
        self.joined && !self.removed
    }

    /// Returns the peers of the cell that are stopping or did not answer lately.
    pub fn unavailable_peers(&self, now: Moment) -> Vec<&str> {
        self.peers
            .values()
            .filter(|peer| peer.stopping || now.since(peer.last_contact) >= LIVENESS_TIMEOUT)
            .map(|peer| peer.member.name.as_str())
            .collect()
    }

    /// Returns the revision that each known peer last reported, for `status`.
    pub fn peer_revisions(&self, now: Moment) -> Vec<PeerRevision> {
        self.peers
            .values()
            .map(|peer| PeerRevision {
                name: peer.member.name.clone(),
                incarnation: peer.member.incarnation,
                revision: peer.reported,
                age_ms: u64::try_from(now.since(peer.reported_at).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    /// Answers an exchange; target summaries are added by the caller.
    pub fn report(&self, exchange: &Exchange, now: Moment) -> Report {
        let same_cell = exchange.cell == self.config.cell;
        Report {
            from: self.config.local.clone(),
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
                .member_lists
                .last()
                .is_some_and(|list| now.since(list.current_since) >= HANDOVER_GRACE),
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
        let ballot = BALLOT_TIMEOUT + RANK_DELAY * MEMBERS_MAX as u32;
        for (moment, age) in [
            (&mut self.record_adopted_at, ballot),
            (&mut self.newest_proof, 2 * PERMIT_TTL),
            (&mut self.proof_learned, PROOF_TIMEOUT),
            (&mut self.next_read, Duration::ZERO),
            (&mut self.next_swap, Duration::ZERO),
            (&mut self.next_exchange, Duration::ZERO),
        ] {
            *moment = map(*moment, age);
        }
        for list in &mut self.member_lists {
            list.current_since = map(list.current_since, HANDOVER_GRACE);
        }
        for (_, started) in &mut self.store_proofs {
            *started = map(*started, PERMIT_TTL);
        }
        let swap = self.pending_swap.iter_mut().map(|swap| &mut swap.started);
        let unsettled = self.swap_unconfirmed_since.iter_mut();
        for started in self.read_started.iter_mut().chain(swap).chain(unsettled) {
            *started = map(*started, STORE_CALL_TIMEOUT);
        }
        for peer in self.peers.values_mut() {
            peer.last_contact = map(peer.last_contact, SUSPICION_TIMEOUT);
            peer.reported_at = map(peer.reported_at, SUSPICION_TIMEOUT);
            for (_, sent) in &mut peer.support_times {
                *sent = map(*sent, PERMIT_TTL);
            }
        }
    }

    fn proof_start(&self) -> Moment {
        let revision = self.revision();
        let proofs = self.store_proofs.iter().filter(|(at, _)| *at == revision);
        proofs
            .map(|(_, started)| *started)
            .max()
            .unwrap_or_default()
    }

    /// Returns the moment from which a majority supports the present revision.
    fn support_start(&self, record: &Record, now: Moment) -> Moment {
        let safeguards = self.config.safeguards;
        if safeguards.sole_member_needs_proof
            && record.members.len() == 1
            && !self.membership_proven
        {
            return Moment::ZERO;
        }
        let revision = self.revision();
        let mut sent: SmallVec<[Moment; MEMBERS_MAX]> = record
            .members
            .iter()
            .filter_map(|member| {
                if *member == self.config.local {
                    return Some(now);
                }
                let peer = self.peers.get(&member.name)?;
                if safeguards.exact_incarnation && peer.member != *member {
                    return None;
                }
                let supports = peer.support_times.iter().filter(|(at, _)| *at == revision);
                supports.map(|(_, sent)| *sent).max()
            })
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let last = majority_size(record.members.len()).checked_sub(1);
        last.and_then(|last| sent.get(last).copied())
            .unwrap_or_default()
    }

    fn read_ended(&mut self, started: Moment, heads: Option<Heads>, now: Moment) {
        self.read_started = None;
        let Some(heads) = heads else {
            self.read_failures = (self.read_failures + 1).min(BACKOFF_DOUBLINGS_MAX);
            self.next_read = now + self.read_interval(now);
            return;
        };
        self.read_failures = 0;
        self.settings_head = self.settings_head.max(heads.settings);
        let settles = self
            .swap_unconfirmed_since
            .is_none_or(|ended| started >= ended);
        if settles {
            self.swap_unconfirmed_since = None;
        } else {
            self.next_read = now;
        }
        let Some((record, mod_revision)) = heads.record else {
            // A record that vanished is not created again by nodes that knew it, because its
            // revisions would go back.
            self.record_absent = settles && self.record.is_none();
            return;
        };
        self.record_absent = false;
        let revision = Revision {
            settings: heads.settings,
            cell: record.revision,
        };
        self.adopt_record(record, now);
        if settles && self.revision().cell == revision.cell {
            self.mod_revision = Some(mod_revision);
        }
        self.note_proof(revision, started, now);
    }

    fn swap_ended(&mut self, expected: Option<u64>, outcome: SwapOutcome, now: Moment) {
        let Some(swap) = self.pending_swap.take_if(|swap| swap.expected == expected) else {
            return;
        };
        match outcome {
            // The write itself is adopted by the read that follows, which also proves the settings.
            SwapOutcome::Done => self.swap_failures = 0,
            SwapOutcome::Conflict | SwapOutcome::Unknown => {
                self.next_swap =
                    now + SWAP_BACKOFF_MIN * 2_u32.pow(self.swap_failures) + self.jitter();
                self.swap_failures = (self.swap_failures + 1).min(BACKOFF_DOUBLINGS_MAX);
            }
        }
        debug_assert!(swap.started <= now, "a swap ends after it started");
        self.swap_unconfirmed_since = Some(now);
        self.mod_revision = None;
        self.next_read = now;
    }

    fn exchange_answered(&mut self, sent: Moment, report: Report, now: Moment) {
        if report.cell != self.config.cell || report.from.name == self.config.local.name {
            return;
        }
        let counted = if self.config.safeguards.count_from_send {
            sent
        } else {
            now
        };
        let Some(peer) = self.peer_entry(&report.from, now) else {
            return;
        };
        peer.has_answered = true;
        peer.unanswered_exchanges = 0;
        peer.last_contact = peer.last_contact.max(counted);
        peer.stopping |= report.stopping;
        let advanced = peer.note_revision(report.revision, now);
        keep_newest(&mut peer.support_times, report.revision, counted);
        let ended = report.released
            && self
                .ended_incarnations
                .insert((report.from.name, report.from.incarnation));
        self.membership_changed |= self.member_lists.len() > 1 && (advanced || ended);
        if let Some(record) = report.record {
            self.adopt_record(record, now);
        }
        let same_list = report.revision.cell == self.revision().cell;
        if let Some(list) = self
            .member_lists
            .last_mut()
            .filter(|_| report.settled && same_list)
        {
            // HANDOVER_GRACE has passed at the peer, so every permit under an earlier list has expired.
            let settled = list.current_since.min(now - HANDOVER_GRACE);
            self.membership_changed |= settled != list.current_since;
            list.current_since = settled;
        }
        if let Some(age) = report.proof_age_us {
            self.note_proof(report.revision, counted - Duration::from_micros(age), now);
        }
    }

    /// Takes note of a peer's exchange; it supports nothing, because its age is unknown.
    fn exchange_received(&mut self, exchange: &Exchange, now: Moment) {
        if exchange.cell != self.config.cell || exchange.from.name == self.config.local.name {
            return;
        }
        let newer = exchange.revision.cell > self.revision().cell;
        if let Some(peer) = self.peer_entry(&exchange.from, now) {
            let advanced = peer.note_revision(exchange.revision, now);
            self.membership_changed |= self.member_lists.len() > 1 && advanced;
            if newer {
                self.peers_to_ask.insert(exchange.from.name.clone());
            }
        }
    }

    /// Returns the entry of a peer, unless a newer incarnation of its name is known.
    fn peer_entry(&mut self, member: &Member, now: Moment) -> Option<&mut Peer> {
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
                    self.ended_incarnations
                        .insert((member.name.clone(), known.member.incarnation));
                }
                self.peers.remove(&member.name);
            }
        }
        if self.peers.len() >= PEERS_MAX {
            let listed = self.exchange_peers();
            self.peers
                .retain(|name, _| listed.iter().any(|member| member.name == *name));
        }
        Some(
            self.peers
                .entry(member.name.clone())
                .or_insert_with(|| Peer {
                    member: member.clone(),
                    support_times: SmallVec::new(),
                    reported: Revision::default(),
                    reported_at: now,
                    last_contact: now,
                    unanswered_exchanges: 0,
                    has_answered: false,
                    stopping: false,
                }),
        )
    }

    fn note_proof(&mut self, revision: Revision, started: Moment, now: Moment) {
        if started > self.newest_proof {
            self.newest_proof = started;
            self.proof_learned = now;
        }
        let own = self.revision();
        if revision.settings < own.settings || revision.cell < own.cell {
            return;
        }
        keep_newest(&mut self.store_proofs, revision, started);
        self.update_membership_proven(now);
    }

    fn update_membership_proven(&mut self, now: Moment) {
        self.membership_proven |= self.joined && now.since(self.proof_start()) < PERMIT_TTL;
    }

    /// Adopts a record unless the node knows a newer one.
    fn adopt_record(&mut self, record: Record, now: Moment) {
        let known = self.record.as_ref();
        let revision = known.map_or(0, |known| known.revision);
        if record.revision <= revision {
            return;
        }
        // Opening and closing a ballot takes two revisions, so a step of two skips no member list.
        let consecutive = known.is_some() && record.revision <= revision + 2;
        if self.config.safeguards.wait_after_missed_lists && !consecutive {
            self.member_lists.clear();
        }
        if self
            .member_lists
            .last()
            .is_none_or(|list| list.members != record.members)
        {
            self.member_lists.push(MemberList {
                members: record.members.clone(),
                revision: record.revision,
                current_since: now,
            });
        }
        // Lists before one that has been current for HANDOVER_GRACE no longer matter.
        if let Some(settled) = self
            .member_lists
            .iter()
            .rposition(|list| now.since(list.current_since) >= HANDOVER_GRACE)
        {
            self.member_lists.drain(..settled);
        }
        if self.member_lists.len() > MEMBERS_MAX {
            // Forgetting the oldest list only lengthens waits.
            self.member_lists.remove(0);
        }
        let listed = record.members.contains(&self.config.local);
        let replaced = record.members.iter().any(|member| {
            member.name == self.config.local.name
                && member.incarnation > self.config.local.incarnation
        });
        self.removed |= (self.joined && !listed) || replaced;
        self.joined |= listed;
        let leaves = record
            .ballot
            .as_ref()
            .is_some_and(|ballot| !ballot.members.contains(&self.config.local));
        self.released |= self.stopping && listed && leaves;
        for member in &record.members {
            if let Some(peer) = self.peers.get(&member.name)
                && peer.member.peer == member.peer
                && peer.member.incarnation > member.incarnation
            {
                self.ended_incarnations
                    .insert((member.name.clone(), member.incarnation));
            }
            if member.name == self.config.local.name
                && member.peer == self.config.local.peer
                && member.incarnation < self.config.local.incarnation
            {
                self.ended_incarnations
                    .insert((member.name.clone(), member.incarnation));
            }
        }
        let lists = &self.member_lists;
        self.ended_incarnations.retain(|(name, incarnation)| {
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
            if member.name != self.config.local.name {
                self.peer_entry(member, now);
            }
        }
        self.record = Some(record);
        self.record_adopted_at = now;
        self.mod_revision = None;
        self.record_absent = false;
        self.membership_changed = true;
        self.revision_changed(now);
    }

    fn revision_changed(&mut self, now: Moment) {
        let own = self.revision();
        let ahead =
            |at: &mut (Revision, Moment)| at.0.settings >= own.settings && at.0.cell >= own.cell;
        self.store_proofs.retain(ahead);
        for peer in self.peers.values_mut() {
            peer.support_times.retain(ahead);
        }
        self.update_membership_proven(now);
        self.next_exchange = now;
    }

    /// Returns the other nodes of the record, current and proposed, and of lists that were replaced
    /// lately: a removed node that answers has released its targets.
    fn exchange_peers(&self) -> Vec<Member> {
        let Some(record) = &self.record else {
            return Vec::new();
        };
        let former = self.member_lists.iter().flat_map(|list| &list.members);
        let proposed = record.ballot.iter().flat_map(|ballot| &ballot.members);
        let mut contacts: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in former.chain(&record.members).chain(proposed) {
            if member.name != self.config.local.name {
                contacts.insert(&member.name, member);
            }
        }
        contacts.into_values().cloned().collect()
    }

    fn due_actions(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        if std::mem::take(&mut self.membership_changed) {
            actions.push(Action::MembershipChanged);
        }
        self.expire_store_calls(now);
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_PERIOD;
            self.peers_to_ask.clear();
            for member in self.exchange_peers() {
                if let Some(peer) = self.peers.get_mut(&member.name) {
                    peer.unanswered_exchanges =
                        (peer.unanswered_exchanges + 1).min(SUSPICION_MISSED_EXCHANGES);
                }
                actions.push(self.exchange_with(member));
            }
        }
        for name in std::mem::take(&mut self.peers_to_ask) {
            if let Some(peer) = self.peers.get(&name) {
                actions.push(self.exchange_with(peer.member.clone()));
            }
        }
        if self.removed {
            // A removed node may still coordinate queries while it stops, so it goes on exchanging.
            return actions;
        }
        if self.pending_swap.is_none()
            && self.swap_unconfirmed_since.is_none()
            && let Some((due, record)) = self.proposal(now)
            && now >= due
        {
            if self.record.is_none() || self.mod_revision.is_some() {
                let expected = self.mod_revision;
                self.pending_swap = Some(PendingSwap {
                    expected,
                    started: now,
                });
                actions.push(Action::SwapRecord { expected, record });
            } else if now >= self.next_read {
                self.start_read(now, &mut actions);
            }
        }
        if now >= self.next_read && self.needs_read(now) {
            self.start_read(now, &mut actions);
        }
        actions
    }

    fn exchange_with(&self, peer: Member) -> Action {
        Action::SendExchange {
            peer,
            exchange: Exchange {
                from: self.config.local.clone(),
                cell: self.config.cell.clone(),
                revision: self.revision(),
                since: 0,
            },
        }
    }

    fn expire_store_calls(&mut self, now: Moment) {
        if let Some(started) = self.read_started
            && now.since(started) >= STORE_CALL_TIMEOUT
        {
            self.read_ended(started, None, now);
        }
        if let Some(swap) = &self.pending_swap
            && now.since(swap.started) >= STORE_CALL_TIMEOUT
        {
            self.swap_ended(swap.expected, SwapOutcome::Unknown, now);
        }
    }

    fn start_read(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.read_started.is_none() {
            self.read_started = Some(now);
            self.next_read = now + self.read_interval(now);
            actions.push(Action::ReadStore);
        }
    }

    fn needs_read(&self, now: Moment) -> bool {
        self.swap_unconfirmed_since.is_some()
            || self.record.is_none()
            || self.is_first_live(now)
            || now.since(self.proof_learned) >= PROOF_TIMEOUT
    }

    /// The first live member keeps its period while the store fails, so that its return is noticed;
    /// the others back off, so that a slow store is not asked by every node of every cell.
    fn read_interval(&self, now: Moment) -> Duration {
        if self.is_first_live(now) {
            HEAD_READ_PERIOD
        } else {
            HEAD_READ_PERIOD * 2_u32.pow(self.read_failures)
        }
    }

    fn is_live(&self, member: &Member, now: Moment) -> bool {
        *member == self.config.local
            || self.peers.get(&member.name).is_some_and(|peer| {
                peer.member == *member
                    && peer.has_answered
                    && now.since(peer.last_contact) < LIVENESS_TIMEOUT
            })
    }

    /// Returns whether the node is the first live member by name.
    fn is_first_live(&self, now: Moment) -> bool {
        let Some(record) = &self.record else {
            return false;
        };
        let mut members = record.members.iter();
        members.find(|member| self.is_live(member, now)) == Some(&self.config.local)
    }

    /// Returns the change of the record that the node would make next, and when.
    fn proposal(&self, now: Moment) -> Option<(Moment, Record)> {
        let local = &self.config.local;
        let current_settings = self.settings >= self.settings_head
            || !self.config.safeguards.join_with_current_settings;
        let spread = self.jitter();
        let Some(record) = &self.record else {
            let create = self.record_absent && current_settings && !self.stopping;
            return create.then(|| {
                let record = Record {
                    revision: 1,
                    members: vec![local.clone()],
                    ballot: None,
                };
                (
                    (self.record_adopted_at + spread).max(self.next_swap),
                    record,
                )
            });
        };
        let next = |members: &[Member], ballot: Option<Vec<Member>>| Record {
            revision: record.revision + 1,
            members: members.to_vec(),
            ballot: ballot.map(|members| Ballot { members }),
        };
        if let Some(ballot) = &record.ballot {
            let late_joiner = !self.config.safeguards.single_member_change
                && !self.joined
                && !ballot
                    .members
                    .iter()
                    .any(|member| member.name == local.name);
            if late_joiner {
                let proposed = with_member(&ballot.members, local);
                return Some((now, next(&record.members, Some(proposed))));
            }
            let wait = RANK_DELAY * self.ballot_rank(record, ballot);
            return if self.seen_by_majority(record) {
                let due = (self.record_adopted_at + wait).max(self.next_swap);
                Some((due, next(&ballot.members, None)))
            } else {
                let due = (self.record_adopted_at + BALLOT_TIMEOUT + wait).max(self.next_swap);
                Some((due, next(&record.members, None)))
            };
        }
        if !record.members.contains(local) {
            if self.stopping || !current_settings {
                return None;
            }
            let known = record
                .members
                .iter()
                .find(|member| member.name == local.name);
            let may_join = known.map_or(record.members.len() < MEMBERS_MAX, |known| {
                // A name that moved to another address proves nothing about the old process, which
                // must be removed as a silent member first.
                known.incarnation < local.incarnation && known.peer == local.peer
            });
            return may_join.then(|| {
                let due = (self.record_adopted_at + JOIN_DELAY + spread).max(self.next_swap);
                (
                    due,
                    next(&record.members, Some(with_member(&record.members, local))),
                )
            });
        }
        let due = self.record_adopted_at.max(self.next_swap);
        if self.stopping {
            return Some((
                due,
                next(
                    &record.members,
                    Some(without_member(&record.members, local)),
                ),
            ));
        }
        let silent = self.member_to_remove(record, now)?;
        Some((
            due,
            next(
                &record.members,
                Some(without_member(&record.members, silent)),
            ),
        ))
    }

    /// Returns the member to propose for removal, if this node is the one to propose it.
    fn member_to_remove<'r>(&self, record: &'r Record, now: Moment) -> Option<&'r Member> {
        // Without a live majority the ballot could not succeed and would only withhold targets.
        let live = |member: &&Member| {
            self.is_live(member, now) || self.newer_incarnation_seen(member, now)
        };
        let enough =
            record.members.iter().filter(live).count() >= majority_size(record.members.len());
        if !enough || !self.is_first_live(now) {
            return None;
        }
        record.members.iter().find(|member| {
            **member != self.config.local
                && !self.newer_incarnation_seen(member, now)
                && self.peers.get(&member.name).is_none_or(|peer| {
                    peer.unanswered_exchanges >= SUSPICION_MISSED_EXCHANGES
                        && now.since(peer.last_contact) >= SUSPICION_TIMEOUT
                })
        })
    }

    /// Returns whether a newer incarnation of a member was met lately; it replaces the member itself.
    fn newer_incarnation_seen(&self, member: &Member, now: Moment) -> bool {
        self.peers.get(&member.name).is_some_and(|peer| {
            peer.member.peer == member.peer
                && peer.member.incarnation > member.incarnation
                && now.since(peer.reported_at) < SUSPICION_TIMEOUT
        })
    }

    /// Returns whether a majority of the names in the current list have seen the record.
    fn seen_by_majority(&self, record: &Record) -> bool {
        if !self.config.safeguards.ballot_needs_majority {
            return true;
        }
        let seen = record.members.iter().filter(|member| {
            let same_place = |other: &Member| {
                other.name == member.name
                    && other.peer == member.peer
                    && other.incarnation >= member.incarnation
            };
            same_place(&self.config.local)
                || self.peers.get(&member.name).is_some_and(|peer| {
                    same_place(&peer.member) && peer.reported.cell >= record.revision
                })
        });
        seen.count() >= majority_size(record.members.len())
    }

    /// Returns the order in which nodes close a ballot: who joins, then the proposed members by name,
    /// then who leaves, then all others. The others matter if every listed incarnation has ended.
    fn ballot_rank(&self, record: &Record, ballot: &Ballot) -> u32 {
        let local = &self.config.local;
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
        let place = order.iter().position(|member| *member == local);
        place.unwrap_or(order.len()) as u32
    }

    /// Returns a delay that differs between nodes and between revisions.
    fn jitter(&self) -> Duration {
        let name = self.config.local.name.as_bytes();
        let slot = xxh3_64_with_seed(name, self.revision().cell) % JOIN_SLOT_COUNT;
        JOIN_SLOT_WIDTH * u32::try_from(slot).unwrap_or(0)
    }
}

impl Peer {
    /// Notes a reported revision and returns whether the record's revision advanced.
    fn note_revision(&mut self, revision: Revision, now: Moment) -> bool {
        let advanced = revision.cell > self.reported.cell;
        self.reported.settings = self.reported.settings.max(revision.settings);
        self.reported.cell = self.reported.cell.max(revision.cell);
        self.reported_at = now;
        advanced
    }
}

/// Returns the size of a majority; an empty list needs nobody's consent.
pub const fn majority_size(members: usize) -> usize {
    if members == 0 { 0 } else { members / 2 + 1 }
}

fn keep_newest(
    known: &mut SmallVec<[(Revision, Moment); TRACKED_REVISIONS_MAX]>,
    revision: Revision,
    moment: Moment,
) {
    if let Some((_, newest)) = known.iter_mut().find(|(at, _)| *at == revision) {
        *newest = moment.max(*newest);
        return;
    }
    if known.len() >= TRACKED_REVISIONS_MAX {
        known.remove(0);
    }
    known.push((revision, moment));
}

/// Returns a list with a member added, in place of an older incarnation of its name.
fn with_member(members: &[Member], member: &Member) -> Vec<Member> {
    let mut members: Vec<Member> = members
        .iter()
        .filter(|other| other.name != member.name)
        .cloned()
        .collect();
    members.push(member.clone());
    members.sort_unstable();
    members
}

fn without_member(members: &[Member], member: &Member) -> Vec<Member> {
    let members = members.iter().filter(|other| *other != member);
    members.cloned().collect()
}
