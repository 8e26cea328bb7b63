//! The at-most-once table: makes sure that each non-idempotent request runs at most once.
//!
//! It holds the state of the request ids that this incarnation issued. The table never forgets that an id was
//! used: either it still has the entry, or it refuses the id because it is not above a watermark. See
//! `docs/decisions/003-at-most-once.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::id::Request;
use crate::time::Moment;
use crate::wire::Reason;
use crate::wire::run::Reply;

/// Estimated memory of an entry without its reply, including its share of the maps.
const ENTRY_BYTES: usize = 256;

/// Limits on the size of the table, and on the age of its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of entries in all sessions.
    pub entries: usize,
    /// Maximum number of sessions that have entries or a watermark.
    pub sessions: usize,
    /// Maximum memory of the entries and their replies, in bytes.
    pub bytes: usize,
    /// Memory that is reserved for the reply of a running request, in bytes.
    pub reply_bytes: usize,
    /// How long a settled entry is kept at least.
    pub retention: Duration,
    /// How long a request may run before its outcome counts as unknown; must exceed the longest deadline.
    pub running_timeout: Duration,
}

impl Default for Limits {
    /// Returns limits that hold about one minute of 1,000 requests per second with replies of 1 KiB.
    ///
    /// Settled entries are kept for two minutes, so at that rate the table is full before the first entry can
    /// be evicted, and new requests are refused.
    fn default() -> Self {
        Self {
            entries: 65_536,
            sessions: 65_536,
            bytes: 96 << 20,
            reply_bytes: 1 << 10,
            retention: Duration::from_mins(2),
            running_timeout: Duration::from_mins(2),
        }
    }
}

/// What the caller of the table must do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Disposition {
    /// Run the request now, and settle it afterwards.
    Start,
    /// The request is already running; wait for its result.
    Running,
    /// The request was already answered; send this answer again.
    Answer(Reply),
    /// Refuse the request for this reason.
    Refuse(Reason),
}

/// How the run of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request was answered with this reply.
    Answered(Reply),
    /// The request has certainly not been run.
    NotRun(Reason),
    /// It is unknown whether the request was run.
    Unknown,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(Reply),
    NotRun,
    Unknown,
}

#[derive(Debug)]
struct Entry {
    digest: u128,
    state: State,
    /// When the entry reached its state.
    since: Moment,
    /// The memory that the entry is charged with, in bytes.
    bytes: usize,
}

/// The entries of one session, by sequence number.
#[derive(Debug, Default)]
struct Session {
    /// The highest sequence number whose entry was evicted; numbers up to it are refused unless they still
    /// have an entry.
    watermark: Option<u64>,
    entries: BTreeMap<u64, Entry>,
}

/// The key of an entry in order of age: when it reached its state, session number, sequence number.
type AgeKey = (Moment, u64, u64);

/// The at-most-once table of one incarnation.
///
/// Requests must have been verified by [`super::id::Issuer::verify`], because the table identifies sessions
/// by their number alone.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    sessions: BTreeMap<u64, Session>,
    /// The highest number of an evicted session; sessions up to it are refused unless they are in the table.
    session_watermark: Option<u64>,
    running: BTreeSet<AgeKey>,
    settled: BTreeSet<AgeKey>,
    bytes: usize,
}

impl Table {
    /// Creates an empty table.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            sessions: BTreeMap::new(),
            session_watermark: None,
            running: BTreeSet::new(),
            settled: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Returns the number of entries, running and settled.
    pub fn len(&self) -> usize {
        self.running.len() + self.settled.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the entries are charged with, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides what to do with a request; `digest` identifies its content, see the function [`digest`].
    pub fn begin(&mut self, request: &Request, digest: u128, now: Moment) -> Disposition {
        let (session, sequence) = (request.session.number, request.sequence);
        self.give_up_overdue_runs(now);
        if let Some(entry) = self.entry(session, sequence) {
            if entry.digest != digest {
                return Disposition::Refuse(Reason::ReusedRequestId);
            }
            match &entry.state {
                State::Running => return Disposition::Running,
                State::Answered(reply) => return Disposition::Answer(reply.clone()),
                State::Unknown => return Disposition::Refuse(Reason::OutcomeUnknown),
                // The new run replaces the entry of a run that did not start.
                State::NotRun => self.remove(session, sequence),
            }
        } else if self.is_below_watermark(session, sequence) {
            return Disposition::Refuse(Reason::RequestIdTooOld);
        }
        if !self.make_room(session, now) {
            return Disposition::Refuse(Reason::QueueFull);
        }
        // Making room may have raised the watermark above this id, but the id has never run.
        let bytes = self.entry_reservation_bytes();
        let entry = Entry {
            digest,
            state: State::Running,
            since: now,
            bytes,
        };
        self.insert(session, sequence, entry);
        Disposition::Start
    }

    /// Records how a run ended; returns whether the request was running.
    pub fn settle(&mut self, request: &Request, outcome: RunOutcome, now: Moment) -> bool {
        let (session, sequence) = (request.session.number, request.sequence);
        let running = |entry: &&Entry| matches!(entry.state, State::Running);
        let Some(digest) = self
            .entry(session, sequence)
            .filter(running)
            .map(|entry| entry.digest)
        else {
            return false;
        };
        self.remove(session, sequence);
        let mut state = match outcome {
            RunOutcome::Answered(reply) => State::Answered(reply),
            RunOutcome::NotRun(_) => State::NotRun,
            RunOutcome::Unknown => State::Unknown,
        };
        let mut bytes = ENTRY_BYTES;
        if let State::Answered(reply) = &state {
            bytes += reply.body.len();
            while self.bytes + bytes > self.limits.bytes && self.evict(now) {}
            if self.bytes + bytes > self.limits.bytes {
                // Without room for the reply, the answer cannot be repeated, but it must stay known that the
                // request ran.
                state = State::Unknown;
                bytes = ENTRY_BYTES;
            }
        }
        let entry = Entry {
            digest,
            state,
            since: now,
            bytes,
        };
        self.insert(session, sequence, entry);
        true
    }

    /// Evicts settled entries past their retention, and marks runs that were never settled as unknown.
    pub fn expire(&mut self, now: Moment) {
        self.give_up_overdue_runs(now);
        while self.evict(now) {}
    }

    /// Marks runs that exceed [`Limits::running_timeout`] as unknown; their task is taken to be lost. The
    /// retention of the entry starts now.
    fn give_up_overdue_runs(&mut self, now: Moment) {
        while let Some(&(since, session, sequence)) = self.running.first()
            && now.since(since) >= self.limits.running_timeout
        {
            let digest = self.entry(session, sequence).map(|entry| entry.digest);
            self.remove(session, sequence);
            let entry = Entry {
                digest: digest.expect("each running id has an entry"),
                state: State::Unknown,
                since: now,
                bytes: ENTRY_BYTES,
            };
            self.insert(session, sequence, entry);
        }
    }

    const fn entry_reservation_bytes(&self) -> usize {
        ENTRY_BYTES + self.limits.reply_bytes
    }

    /// Makes room for one entry of `session`; returns whether there is room. Settled entries within their
    /// retention are kept.
    fn make_room(&mut self, session: u64, now: Moment) -> bool {
        while self.len() >= self.limits.entries
            || self.bytes + self.entry_reservation_bytes() > self.limits.bytes
        {
            if !self.evict(now) {
                return false;
            }
        }
        if self.sessions.contains_key(&session) {
            return true;
        }
        if self.sessions.len() >= self.limits.sessions {
            self.evict_idle_sessions();
        }
        self.sessions.len() < self.limits.sessions
    }

    /// Evicts the oldest settled entry if it is past its retention, and raises its session's watermark;
    /// returns whether an entry was evicted.
    fn evict(&mut self, now: Moment) -> bool {
        let Some(&(since, number, sequence)) = self.settled.first() else {
            return false;
        };
        if now.since(since) < self.limits.retention {
            return false;
        }
        self.remove(number, sequence);
        let session = self
            .sessions
            .get_mut(&number)
            .expect("each entry has a session");
        session.watermark = session.watermark.max(Some(sequence));
        true
    }

    /// Evicts the oldest sessions without entries. It evicts a sixteenth of the maximum at once, because
    /// finding them takes a pass over the whole table.
    fn evict_idle_sessions(&mut self) {
        let idle =
            |(&number, session): (&u64, &Session)| session.entries.is_empty().then_some(number);
        let count = 1 + self.limits.sessions / 16;
        let evicted: Vec<u64> = self.sessions.iter().filter_map(idle).take(count).collect();
        for number in evicted {
            self.sessions.remove(&number);
            self.session_watermark = self.session_watermark.max(Some(number));
        }
    }

    fn is_below_watermark(&self, session: u64, sequence: u64) -> bool {
        self.sessions
            .get(&session)
            .map_or(Some(session) <= self.session_watermark, |session| {
                Some(sequence) <= session.watermark
            })
    }

    fn entry(&self, session: u64, sequence: u64) -> Option<&Entry> {
        self.sessions.get(&session)?.entries.get(&sequence)
    }

    fn insert(&mut self, number: u64, sequence: u64, entry: Entry) {
        self.bytes += entry.bytes;
        let by_age = match entry.state {
            State::Running => &mut self.running,
            _ => &mut self.settled,
        };
        by_age.insert((entry.since, number, sequence));
        let session = self.sessions.entry(number).or_default();
        let previous = session.entries.insert(sequence, entry);
        assert!(previous.is_none(), "an id has one entry");
    }

    fn remove(&mut self, session: u64, sequence: u64) {
        let Some(entry) = self
            .sessions
            .get_mut(&session)
            .and_then(|session| session.entries.remove(&sequence))
        else {
            return;
        };
        self.bytes -= entry.bytes;
        let age = (entry.since, session, sequence);
        let listed = match entry.state {
            State::Running => self.running.remove(&age),
            _ => self.settled.remove(&age),
        };
        assert!(listed, "each entry is listed by age");
    }
}

/// Returns the digest of everything by which two requests are the same.
pub fn digest(index: &str, kind: &str, routing_key: Option<&str>, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in [
        index.as_bytes(),
        kind.as_bytes(),
        routing_key.unwrap_or_default().as_bytes(),
        body,
    ] {
        // The length distinguishes requests whose parts are split at different places.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
