//! Cell membership, permits and the ownership of targets.
//!
//! A cell is a group of nodes in one data centre that divide a set of targets among themselves. The
//! store holds one record for each cell: the current member list and, during a ballot, a proposed
//! list that differs from it by one member. A permit allows a node to dispatch to the targets that it
//! owns. It rests on a store proof (a read of the store that showed the revision at which the node
//! is) or on the support of a majority of the members, which are at the same revision.
//!
//! [`Cell`] is the state machine of one node. It decides when the node reads the store, which changes
//! of the cell record it proposes, and until when it may dispatch. It does no input or output: it
//! takes an [`Event`] and returns an [`Action`] list. `docs/design.md`, section 5, states the rule
//! and why it is safe; `tests/cell_enumeration.rs` checks it against combinations of faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Moment;
use crate::wire::exchange::{Ballot, PeerRevision, Record};
use crate::wire::{Exchange, Incarnation, Member, Report, Revision};

/// How long a store proof or a peer's support is valid, counted from the sending of its request.
pub const PERMIT_TTL: Duration = Duration::from_millis(1_500);
/// How long a node that gains a target waits before it dispatches to it, counted from the moment at
/// which it first saw the change of owner.
///
/// It exceeds `PERMIT_TTL` x 1.05 / 0.95 = 1,658 ms, which covers a slow clock at the old owner and a
/// fast clock at the new one.
pub const HANDOVER_GRACE: Duration = Duration::from_millis(1_700);
/// Period of the exchanges with the other members of the node's cell.
pub const EXCHANGE_PERIOD: Duration = Duration::from_millis(300);
/// Least time between two periodic store reads of a node. The first live member, which reads for its
/// cell, always keeps this period; it doubles with each failed read of another node.
pub const STORE_READ_PERIOD: Duration = Duration::from_millis(300);
/// A node that has learned of no newer store proof for this long reads the store itself.
pub const PROOF_TIMEOUT: Duration = Duration::from_millis(600);
/// A member that has answered no exchange for this long is proposed for removal.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A member is proposed for removal only after this many unanswered exchanges in a row.
///
/// Without this limit a node that was itself paused would suspect all the others when it resumes.
pub const SUSPICION_MISSED_EXCHANGES: u32 = 3;
/// A member counts as live if it answered an exchange sent within this time (three exchange periods).
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(900);
/// A ballot that is still open after this time is cancelled.
pub const BALLOT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay per rank before a node closes a ballot that a node of an earlier rank has left open.
pub const RANK_DELAY: Duration = Duration::from_millis(200);
/// Least time between the moment at which a node adopted the current cell record and its proposal to
/// join; its slot delay comes on top.
///
/// It bounds the writes when a whole data centre restarts: as the opening and the closing of a ballot
/// take time as well, each of its cells takes at most three joins a second.
pub const JOIN_DELAY: Duration = Duration::from_millis(200);
/// Number of time slots, each of [`SWAP_SLOT_WIDTH`], over which nodes spread their swaps: those that
/// create the record or propose a join, and those that follow a failed swap.
pub const SWAP_SLOT_COUNT: u64 = 8;
/// Width of a time slot for swaps. It exceeds a store round trip, so that a node in a later slot sees the
/// swap of a node in an earlier one.
pub const SWAP_SLOT_WIDTH: Duration = Duration::from_millis(50);
/// Back-off after the first failed swap of a node; it doubles with each further one.
pub const SWAP_BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Largest number of times that the back-off of swaps and of failing store reads doubles.
pub const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// A store call without a result for this long counts as failed (a read) or as of unknown outcome (a
/// swap).
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of members of a cell.
pub const MEMBERS_MAX: usize = 16;
/// Largest number of peers that a node keeps: members, nodes about to join and former members.
const PEERS_MAX: usize = 4 * MEMBERS_MAX;
/// Largest number of revisions, the node's own and later ones, for which proofs or support are kept.
const TRACKED_REVISIONS_MAX: usize = 4;

/// The safeguards of the membership rule. Tests switch off one at a time to show that it is necessary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each safeguard is switched off on its own by a test"
)]
pub struct Safeguards {
    /// A node that gains a target waits [`HANDOVER_GRACE`] before it dispatches to it.
    pub handover_grace: bool,
    /// The age of support and of relayed proofs counts from the sending of the request, not from the
    /// arrival of the answer.
    pub count_from_send: bool,
    /// A ballot succeeds only after a majority of the current members has reported having seen it.
    pub ballot_needs_majority: bool,
    /// During a ballot a node dispatches only to targets that it owns under both the current and the
    /// proposed list.
    pub own_under_both_lists: bool,
    /// A ballot changes one member only.
    pub single_member_change: bool,
    /// Support counts only if it comes from the listed incarnation of a member.
    pub exact_incarnation: bool,
    /// A node that may have missed a member list waits [`HANDOVER_GRACE`] before it dispatches to any
    /// target.
    pub wait_after_missed_lists: bool,
    /// A node joins only if it has in force at least the settings version that its store reads showed.
    pub join_with_current_settings: bool,
    /// The sole member of a list needs a store proof before its own support counts as a majority.
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

/// The configuration of a node's [`Cell`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// The name of the cell.
    pub cell: String,
    /// The node itself, with its present incarnation.
    pub local: Member,
    /// The settings version that the node has in force at its start.
    pub settings: u64,
    /// The safeguards; all are on except in tests.
    pub safeguards: Safeguards,
}

/// The newest settings version and cell record, as one read of the store showed them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Heads {
    /// The settings version in `settings/head`.
    pub settings: u64,
    /// The record of the cell with its modification revision in the store, or nothing if the store holds
    /// none. After a read that asks for newer records only, the caller puts the last known one here.
    pub record: Option<(Record, u64)>,
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SwapOutcome {
    /// The record was written. The next read shows its modification revision.
    Done,
    /// The record was not written, because another write changed the stored one first.
    Conflict,
    /// The store's answer was lost, so the record may or may not have been written.
    Unknown,
}

/// An input of [`Cell::step`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A read of the store ended, see [`Action::ReadStore`].
    ReadEnded {
        /// When the read was sent.
        started: Moment,
        /// What the read showed, or nothing if it failed.
        heads: Option<Heads>,
    },
    /// A compare-and-swap of the cell record ended, see [`Action::SwapRecord`].
    SwapEnded {
        /// The modification revision that the swap expected, to match it with its start.
        expected: Option<u64>,
        /// Whether the record was written.
        outcome: SwapOutcome,
    },
    /// A peer answered an exchange that this node sent.
    ExchangeAnswered {
        /// When the exchange was sent.
        sent: Moment,
        /// The peer's answer.
        report: Report,
    },
    /// A peer did not answer an exchange that this node sent.
    ExchangeFailed {
        /// The name of the peer.
        peer: String,
    },
    /// A peer sent an exchange. Its answer comes from [`Cell::report`].
    ExchangeReceived(Exchange),
    /// The settings replica of the node put a version into force.
    SettingsAdopted {
        /// The settings version now in force at this node.
        version: u64,
    },
    /// A planned stop of the node begins; the node leaves its cell.
    Stopping,
    /// Time has passed, so that actions may have become due; see [`Cell::next_tick`].
    Tick,
}

/// An output of [`Cell::step`], for its caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the settings head and the cell record in one store transaction.
    ReadStore,
    /// Write the cell record if its modification revision in the store is still the expected one.
    SwapRecord {
        /// The expected modification revision, or nothing if the store must hold no record of the cell.
        expected: Option<u64>,
        /// The record to write.
        record: Record,
    },
    /// Send an exchange to a peer.
    SendExchange {
        /// The peer to send it to.
        peer: Member,
        /// The exchange to send.
        exchange: Exchange,
    },
    /// The cell record or the result of [`Cell::ownership`] changed.
    ///
    /// The change must take effect at the gates before the next [`Cell::report`], because a report of
    /// the new revision tells the nodes that gain targets that this node no longer dispatches to them.
    MembershipChanged,
}

/// A member list and the time since when it is current.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberList {
    /// The members, sorted by name.
    pub members: Vec<Member>,
    /// The revision of the first record that the node saw with this list as the current one.
    pub revision: u64,
    /// When the node first saw a record with this list as the current one, or earlier if a peer reported
    /// that it had known the list for [`HANDOVER_GRACE`].
    pub current_since: Moment,
}

/// What decides which targets a node may dispatch to, and from when.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// The node itself.
    pub local: Member,
    /// Consecutive current lists, oldest first; the last one is in force. Empty if the node may dispatch
    /// to no target.
    pub member_lists: Vec<MemberList>,
    /// The proposed list while a ballot is open, otherwise nothing.
    pub proposed: Option<Vec<Member>>,
    /// Former members, by name and incarnation, that are known to dispatch to no target any more.
    pub ended_incarnations: BTreeSet<(String, Incarnation)>,
    /// The newest cell record revision that each peer reported.
    pub reported: Vec<(Member, u64)>,
    safeguards: Safeguards,
}

impl Ownership {
    /// Returns the moment from which the node may dispatch to a target, or nothing if it does not own it.
    ///
    /// `owner` returns the target's owner among the members of a list, as [`super::owner::owner_of`]
    /// does.
    pub fn usable_from<Owner>(&self, owner: Owner) -> Option<Moment>
    where
        Owner: for<'m> Fn(&'m [Member]) -> Option<&'m Member>,
    {
        let owns = |members: &[Member]| owner(members).is_some_and(|member| *member == self.local);
        if self.proposed.as_deref().is_some_and(|list| !owns(list)) {
            return None;
        }
        let (first, earlier) = self
            .member_lists
            .iter()
            .rposition(|list| !owns(&list.members))
            .map_or((0, None), |before| {
                (before + 1, self.member_lists.get(before))
            });
        let gained = self.member_lists.get(first)?;
        if !self.safeguards.handover_grace {
            return Some(Moment::ZERO);
        }
        // The wait counted from the list before also covers the owners under still earlier lists.
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

    /// Returns whether a former owner has ended, or has seen the record under which it no longer owns the
    /// target.
    fn has_released(&self, previous: &Member, revision: u64) -> bool {
        let knows = |(peer, seen): &(Member, u64)| peer == previous && *seen >= revision;
        let ended = (previous.name.clone(), previous.incarnation);
        self.ended_incarnations.contains(&ended) || self.reported.iter().any(knows)
    }
}

/// What the node knows of another node of its cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Peer {
    member: Member,
    /// The sending of the newest exchange that the peer answered, for each revision that it answered at.
    support_times: SmallVec<[(Revision, Moment); TRACKED_REVISIONS_MAX]>,
    /// The newest revision that the peer reported in an exchange or an answer.
    reported: Revision,
    /// When the peer last reported a revision.
    reported_at: Moment,
    /// The sending of the newest exchange that the peer answered, or when the node first learned of the peer.
    last_contact: Moment,
    /// Exchanges sent since the last answer, up to [`SUSPICION_MISSED_EXCHANGES`].
    unanswered_exchanges: u32,
    /// Whether the peer has answered any exchange.
    has_answered: bool,
    /// Whether the peer has announced its stop.
    stopping: bool,
}

/// A compare-and-swap without a result so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingSwap {
    /// The modification revision that the swap expects.
    expected: Option<u64>,
    started: Moment,
}

/// The state machine of one node in its cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Cell {
    config: Config,
    /// The settings version in force at this node.
    settings: u64,
    /// The newest settings version that a store read showed.
    settings_head: u64,
    record: Option<Record>,
    /// When the node adopted the record's revision, or when it started if it has no record.
    record_adopted_at: Moment,
    /// The modification revision of `record`, once a store read has shown it.
    mod_revision: Option<u64>,
    /// Whether the last read showed that the store has no record of the cell.
    record_absent: bool,
    /// Consecutive current lists, oldest first; lists that no longer affect ownership are dropped.
    member_lists: Vec<MemberList>,
    /// Listed members, by name and incarnation, that are known to dispatch to no target any more.
    ended_incarnations: BTreeSet<(String, Incarnation)>,
    peers: BTreeMap<String, Peer>,
    /// The start of the newest store read that proves a revision, for the present one and later ones.
    store_proofs: SmallVec<[(Revision, Moment); TRACKED_REVISIONS_MAX]>,
    /// The start of the newest store read that the node knows of, its own or one that a peer reported.
    newest_proof: Moment,
    /// When `newest_proof` last advanced.
    proof_learned: Moment,
    /// Whether a store proof has shown a record that lists this incarnation.
    membership_proven: bool,
    /// Whether an adopted record has listed this incarnation.
    joined: bool,
    /// Whether a planned stop has begun.
    stopping: bool,
    /// Whether the node, while stopping, has given up its targets because a ballot removes it.
    released: bool,
    /// Whether this incarnation was removed from the record or replaced by a newer one.
    removed: bool,
    /// The start of the store read under way.
    read_started: Option<Moment>,
    /// Store reads that failed in a row, up to [`BACKOFF_DOUBLINGS_MAX`].
    read_failures: u32,
    next_read: Moment,
    pending_swap: Option<PendingSwap>,
    /// When the last swap ended, until a store read that started later shows the record after it.
    swap_unconfirmed_since: Option<Moment>,
    /// Swaps in a row that did not succeed, up to [`BACKOFF_DOUBLINGS_MAX`].
    swap_failures: u32,
    next_swap: Moment,
    next_exchange: Moment,
    /// Names of peers that reported a newer record; they get an exchange at once to fetch it.
    peers_to_ask: BTreeSet<String>,
    /// Whether [`Action::MembershipChanged`] is due.
    membership_changed: bool,
}

impl Cell {
    /// Returns the state machine of a node that has just started and knows no cell record.
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

    /// Handles an event and returns the actions to carry out, in order.
    pub fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::ReadEnded { started, heads } => self.read_ended(started, heads, now),
            Event::SwapEnded { expected, outcome } => self.swap_ended(expected, outcome, now),
            Event::ExchangeAnswered { sent, report } => self.exchange_answered(sent, report, now),
            Event::ExchangeReceived(exchange) => self.exchange_received(&exchange, now),
            Event::SettingsAdopted { version } => {
                // Versions only increase, in whatever order the replica reports them.
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
            self.next_record_change(now).map(|(due, _)| due),
        ]
        .into_iter()
        .flatten()
        .filter(|due| *due > now)
        .min()
    }

    /// Returns until when the node may dispatch at its present revision, or [`Moment::ZERO`] if it may not
    /// dispatch now.
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

    /// Returns the settings version in force at the node and the revision of its cell record (zero if it
    /// has none).
    pub fn revision(&self) -> Revision {
        Revision {
            settings: self.settings,
            cell: self.record.as_ref().map_or(0, |record| record.revision),
        }
    }

    /// Returns the cell record that the node has adopted, if any.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// Returns what decides the targets that the node owns. To dispatch to them it also needs a permit,
    /// see [`Cell::permit_until`].
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

    /// Returns the age of the newest store proof of the present revision, or nothing if there is no valid
    /// one.
    pub fn proof_age(&self, now: Moment) -> Option<Duration> {
        Some(now.since(self.proof_start()))
            .filter(|age| self.proof_start() > Moment::ZERO && *age < PERMIT_TTL)
    }

    /// Returns the newest settings version that is in force here or that a store read or a peer reported.
    pub fn newest_settings_version(&self) -> u64 {
        let peers = self.peers.values().map(|peer| peer.reported.settings);
        peers.fold(self.settings.max(self.settings_head), u64::max)
    }

    /// Returns whether this incarnation was removed from the cell or replaced by a newer one. It never
    /// dispatches again.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// Returns whether the node has joined the cell and has not been removed since.
    pub fn is_member(&self) -> bool {
        self.joined && !self.removed
    }

    /// Returns the names of the peers that are stopping or have answered no exchange sent within
    /// [`LIVENESS_TIMEOUT`].
    pub fn unavailable_peers(&self, now: Moment) -> Vec<&str> {
        self.peers
            .values()
            .filter(|peer| peer.stopping || now.since(peer.last_contact) >= LIVENESS_TIMEOUT)
            .map(|peer| peer.member.name.as_str())
            .collect()
    }

    /// Returns the revision that each known peer last reported, for the node's status.
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

    /// Returns the answer to an exchange. The caller adds the target summaries and their mark.
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

    /// Applies a function to every moment of the state, so that tests can compare states at different
    /// times. The function also takes the age from which on the moment has no further effect.
    pub fn map_moments<Map>(&mut self, mut map: Map)
    where
        Map: FnMut(Moment, Duration) -> Moment,
    {
        let ballot_age = BALLOT_TIMEOUT + RANK_DELAY * MEMBERS_MAX as u32;
        for (moment, age) in [
            (&mut self.record_adopted_at, ballot_age),
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
        let unconfirmed_swap = self.swap_unconfirmed_since.iter_mut();
        for started in self
            .read_started
            .iter_mut()
            .chain(swap)
            .chain(unconfirmed_swap)
        {
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

    /// Returns the start of the newest store read that proves the present revision, or [`Moment::ZERO`].
    fn proof_start(&self) -> Moment {
        let revision = self.revision();
        let proofs = self.store_proofs.iter().filter(|(at, _)| *at == revision);
        proofs
            .map(|(_, started)| *started)
            .max()
            .unwrap_or_default()
    }

    /// Returns the latest moment such that a majority of the members has supported the present revision
    /// with answers to exchanges sent at that moment or later, or [`Moment::ZERO`].
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
        let confirms_swap = self
            .swap_unconfirmed_since
            .is_none_or(|ended| started >= ended);
        if confirms_swap {
            self.swap_unconfirmed_since = None;
        } else {
            self.next_read = now;
        }
        let Some((record, mod_revision)) = heads.record else {
            // A node that has known a record does not create it again after its deletion, because the
            // revisions would start again at one.
            self.record_absent = confirms_swap && self.record.is_none();
            return;
        };
        self.record_absent = false;
        let revision = Revision {
            settings: heads.settings,
            cell: record.revision,
        };
        self.adopt_record(record, now);
        if confirms_swap && self.revision().cell == revision.cell {
            self.mod_revision = Some(mod_revision);
        }
        self.note_proof(revision, started, now);
    }

    fn swap_ended(&mut self, expected: Option<u64>, outcome: SwapOutcome, now: Moment) {
        let Some(swap) = self.pending_swap.take_if(|swap| swap.expected == expected) else {
            return;
        };
        match outcome {
            // The node adopts the record from the next read, which also proves the settings version.
            SwapOutcome::Done => self.swap_failures = 0,
            SwapOutcome::Conflict | SwapOutcome::Unknown => {
                self.next_swap =
                    now + SWAP_BACKOFF_MIN * 2_u32.pow(self.swap_failures) + self.slot_delay();
                self.swap_failures = (self.swap_failures + 1).min(BACKOFF_DOUBLINGS_MAX);
            }
        }
        debug_assert!(swap.started <= now, "a swap ended before it started");
        self.swap_unconfirmed_since = Some(now);
        self.mod_revision = None;
        self.next_read = now;
    }

    fn exchange_answered(&mut self, sent: Moment, report: Report, now: Moment) {
        if report.cell != self.config.cell || report.from.name == self.config.local.name {
            return;
        }
        let counted_from = if self.config.safeguards.count_from_send {
            sent
        } else {
            now
        };
        let Some(peer) = self.peer_entry(&report.from, now) else {
            return;
        };
        peer.has_answered = true;
        peer.unanswered_exchanges = 0;
        peer.last_contact = peer.last_contact.max(counted_from);
        peer.stopping |= report.stopping;
        let advanced = peer.note_revision(report.revision, now);
        keep_newest(&mut peer.support_times, report.revision, counted_from);
        let newly_ended = report.released
            && self
                .ended_incarnations
                .insert((report.from.name, report.from.incarnation));
        self.membership_changed |= self.member_lists.len() > 1 && (advanced || newly_ended);
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
            self.note_proof(
                report.revision,
                counted_from - Duration::from_micros(age),
                now,
            );
        }
    }

    /// Notes the revision that a peer reported in an exchange. The exchange does not count as support,
    /// because its age is unknown.
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

    /// Returns the entry of a peer, which it creates if there is none.
    ///
    /// Returns nothing if a newer incarnation of the name is known, or if the name belongs to a listed
    /// member at another address.
    fn peer_entry(&mut self, member: &Member, now: Moment) -> Option<&mut Peer> {
        if let Some(known) = self.peers.get(&member.name) {
            if known.member.incarnation > member.incarnation {
                return None;
            }
            let listed = |record: &Record| record.members.contains(&known.member);
            if known.member.peer != member.peer && self.record.as_ref().is_some_and(listed) {
                // A process with this name at another address proves nothing about the listed member.
                return None;
            }
            if known.member != *member {
                if known.member.peer == member.peer {
                    // Both incarnations bind the same address, so the older one has ended.
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

    /// Notes that a store read which started at `started` showed `revision`.
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

    /// Adopts a cell record if it is newer than the one that the node has.
    fn adopt_record(&mut self, record: Record, now: Moment) {
        let known = self.record.as_ref();
        let revision = known.map_or(0, |known| known.revision);
        if record.revision <= revision {
            return;
        }
        // Each change of the list takes two revisions, one to open and one to close the ballot, so a
        // step of two skips no member list.
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
        // Permits under lists before one that has been current for HANDOVER_GRACE have expired.
        if let Some(settled) = self
            .member_lists
            .iter()
            .rposition(|list| now.since(list.current_since) >= HANDOVER_GRACE)
        {
            self.member_lists.drain(..settled);
        }
        if self.member_lists.len() > MEMBERS_MAX {
            // Without the oldest list some waits are longer than needed, which is safe.
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

    /// Drops proofs and support of earlier revisions and makes the next exchange due at once.
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

    /// Returns the other nodes of the current and the proposed list, and of lists that were replaced
    /// lately: the answer of a removed node shows that it has released its targets.
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

    /// Returns the actions that are due.
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
            // A removed node may still coordinate queries while it stops, so it goes on with its exchanges.
            return actions;
        }
        if self.pending_swap.is_none()
            && self.swap_unconfirmed_since.is_none()
            && let Some((due, record)) = self.next_record_change(now)
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

    /// Ends store calls that have had no result for [`STORE_CALL_TIMEOUT`].
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

    /// Adds a store read to the actions unless one is under way.
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

    /// Returns the least time until the next store read, which is made only if [`Self::needs_read`] then
    /// says so.
    ///
    /// The first live member keeps its period while reads fail, so that the cell notices when the store
    /// answers again. The others back off after failed reads, so that a store in trouble does not get
    /// reads from every node of every cell.
    fn read_interval(&self, now: Moment) -> Duration {
        if self.is_first_live(now) {
            STORE_READ_PERIOD
        } else {
            STORE_READ_PERIOD * 2_u32.pow(self.read_failures)
        }
    }

    /// Returns whether a member is this node or has answered an exchange sent within
    /// [`LIVENESS_TIMEOUT`].
    fn is_live(&self, member: &Member, now: Moment) -> bool {
        *member == self.config.local
            || self.peers.get(&member.name).is_some_and(|peer| {
                peer.member == *member
                    && peer.has_answered
                    && now.since(peer.last_contact) < LIVENESS_TIMEOUT
            })
    }

    /// Returns whether the node is the first live member in the order of names.
    fn is_first_live(&self, now: Moment) -> bool {
        let Some(record) = &self.record else {
            return false;
        };
        let mut members = record.members.iter();
        members.find(|member| self.is_live(member, now)) == Some(&self.config.local)
    }

    /// Returns the next cell record that this node would write, and when it may write it. The change
    /// creates the record, or opens, closes or cancels a ballot.
    fn next_record_change(&self, now: Moment) -> Option<(Moment, Record)> {
        let local = &self.config.local;
        let settings_are_current = self.settings >= self.settings_head
            || !self.config.safeguards.join_with_current_settings;
        let slot_delay = self.slot_delay();
        let Some(record) = &self.record else {
            let create = self.record_absent && settings_are_current && !self.stopping;
            return create.then(|| {
                let record = Record {
                    revision: 1,
                    members: vec![local.clone()],
                    ballot: None,
                };
                (
                    (self.record_adopted_at + slot_delay).max(self.next_swap),
                    record,
                )
            });
        };
        let next_record = |members: &[Member], ballot: Option<Vec<Member>>| Record {
            revision: record.revision + 1,
            members: members.to_vec(),
            ballot: ballot.map(|members| Ballot { members }),
        };
        if let Some(ballot) = &record.ballot {
            // Possible only in tests that switch off the safeguard `single_member_change`.
            let late_joiner = !self.config.safeguards.single_member_change
                && !self.joined
                && !ballot
                    .members
                    .iter()
                    .any(|member| member.name == local.name);
            if late_joiner {
                let proposed = with_member(&ballot.members, local);
                return Some((now, next_record(&record.members, Some(proposed))));
            }
            let wait = RANK_DELAY * self.ballot_rank(record, ballot);
            return if self.seen_by_majority(record) {
                let due = (self.record_adopted_at + wait).max(self.next_swap);
                Some((due, next_record(&ballot.members, None)))
            } else {
                let due = (self.record_adopted_at + BALLOT_TIMEOUT + wait).max(self.next_swap);
                Some((due, next_record(&record.members, None)))
            };
        }
        if !record.members.contains(local) {
            if self.stopping || !settings_are_current {
                return None;
            }
            let known = record
                .members
                .iter()
                .find(|member| member.name == local.name);
            let may_join = known.map_or(record.members.len() < MEMBERS_MAX, |known| {
                // A process that has this node's name at another address may still run. It must be
                // removed as an unresponsive member before this node can join.
                known.incarnation < local.incarnation && known.peer == local.peer
            });
            return may_join.then(|| {
                let due = (self.record_adopted_at + JOIN_DELAY + slot_delay).max(self.next_swap);
                (
                    due,
                    next_record(&record.members, Some(with_member(&record.members, local))),
                )
            });
        }
        // The record was adopted in the past, so only the back-off after a failed swap delays this change.
        let due = self.record_adopted_at.max(self.next_swap);
        if self.stopping {
            return Some((
                due,
                next_record(
                    &record.members,
                    Some(without_member(&record.members, local)),
                ),
            ));
        }
        let unresponsive = self.member_to_remove(record, now)?;
        Some((
            due,
            next_record(
                &record.members,
                Some(without_member(&record.members, unresponsive)),
            ),
        ))
    }

    /// Returns the unresponsive member to propose for removal, if this node is the first live member.
    fn member_to_remove<'r>(&self, record: &'r Record, now: Moment) -> Option<&'r Member> {
        // Without a live majority the ballot cannot succeed; while open it would only take targets out
        // of service.
        let live = |member: &&Member| {
            self.is_live(member, now) || self.newer_incarnation_seen(member, now)
        };
        let live_majority =
            record.members.iter().filter(live).count() >= majority_size(record.members.len());
        if !live_majority || !self.is_first_live(now) {
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

    /// Returns whether a newer incarnation of a member, at the same address, has been heard from within
    /// [`SUSPICION_TIMEOUT`]. It will replace the listed one by a ballot of its own.
    fn newer_incarnation_seen(&self, member: &Member, now: Moment) -> bool {
        self.peers.get(&member.name).is_some_and(|peer| {
            peer.member.peer == member.peer
                && peer.member.incarnation > member.incarnation
                && now.since(peer.reported_at) < SUSPICION_TIMEOUT
        })
    }

    /// Returns whether a majority of the names in the current list have seen the record. A newer
    /// incarnation at the same address counts for its name.
    fn seen_by_majority(&self, record: &Record) -> bool {
        if !self.config.safeguards.ballot_needs_majority {
            return true;
        }
        let seen = record.members.iter().filter(|member| {
            let same_or_newer = |other: &Member| {
                other.name == member.name
                    && other.peer == member.peer
                    && other.incarnation >= member.incarnation
            };
            same_or_newer(&self.config.local)
                || self.peers.get(&member.name).is_some_and(|peer| {
                    same_or_newer(&peer.member) && peer.reported.cell >= record.revision
                })
        });
        seen.count() >= majority_size(record.members.len())
    }

    /// Returns the rank of this node in the order in which nodes close a ballot: the node that joins, the
    /// members that stay (by name), the one that leaves, then all other nodes. The others share one rank;
    /// they have it for the case that every listed incarnation has ended.
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
        let position = order.iter().position(|member| *member == local);
        position.unwrap_or(order.len()) as u32
    }

    /// Returns the start of this node's time slot for swaps. The slot is a hash of the node's name and the
    /// revision of the cell record, so that the delay is fixed for one revision.
    fn slot_delay(&self) -> Duration {
        let name = self.config.local.name.as_bytes();
        let slot = xxh3_64_with_seed(name, self.revision().cell) % SWAP_SLOT_COUNT;
        SWAP_SLOT_WIDTH * u32::try_from(slot).unwrap_or(0)
    }
}

impl Peer {
    /// Notes a reported revision and returns whether the revision of the cell record advanced.
    fn note_revision(&mut self, revision: Revision, now: Moment) -> bool {
        let advanced = revision.cell > self.reported.cell;
        self.reported.settings = self.reported.settings.max(revision.settings);
        self.reported.cell = self.reported.cell.max(revision.cell);
        self.reported_at = now;
        advanced
    }
}

/// Returns the size of a majority of a number of members. It is zero for an empty list, which any node
/// may change.
pub const fn majority_size(members: usize) -> usize {
    if members == 0 { 0 } else { members / 2 + 1 }
}

/// Notes the moment for a revision if it is the newest one, and drops the first entry if there are too
/// many revisions.
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

/// Returns the list with a member added in place of any other incarnation of its name, sorted by name.
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

/// Returns the list without a member.
fn without_member(members: &[Member], member: &Member) -> Vec<Member> {
    let members = members.iter().filter(|other| *other != member);
    members.cloned().collect()
}
