//! A node's copy of the settings, kept current from the store and from peers.
//!
//! The machine decides what to read and when to adopt a version; the control actor does the reading.
//! Events may be lost, repeated or reordered: whatever arrives is used only if it leads from the
//! adopted version to a later one and its digests match. See `docs/design.md`, section 5.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::{self, Entry, Head, Step};
use super::tree::{Digest, Tree};
use crate::time::Moment;

/// A read without an answer for this long counts as lost and is made again.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between attempts after a failed or damaged read; bounds the load that damage puts on the store.
pub const RETRY: Duration = Duration::from_secs(1);
/// Most entries kept for peers; at 63,000 changes a day they cover about six minutes.
pub const RECENT_LIMIT: usize = 256;
/// Most bytes of entries kept for peers, by their encoded length.
pub const RECENT_BYTES: usize = 1 << 20;

/// What a peer gives for a request on `/peer/settings`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Deltas {
    /// The entries after the version that was asked for, oldest first.
    Entries(Vec<Entry>),
    /// The whole tree, for a version that is too old for entries.
    Snapshot {
        /// The version of the tree.
        version: u64,
        /// Its digest.
        digest: Digest,
        /// Its canonical text.
        text: String,
    },
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The store's head was read.
    Head {
        /// The value of [`log::HEAD_KEY`].
        value: Option<Bytes>,
        /// When the read started.
        started: Moment,
    },
    /// Log entries were read from the store.
    Entries {
        /// The values, in the order of their versions.
        values: Vec<Bytes>,
    },
    /// A snapshot was read from the store.
    Snapshot {
        /// The version that was asked for.
        version: u64,
        /// The values of its pieces, in order.
        values: Vec<Bytes>,
    },
    /// A peer reported a version in an exchange.
    Peer {
        /// The peer's name.
        peer: String,
        /// The version of its settings.
        version: u64,
    },
    /// A peer answered [`Action::AskPeer`].
    Deltas {
        /// What it gave.
        deltas: Deltas,
    },
    /// The read that was under way failed.
    Failed,
    /// Time has passed.
    Tick,
}

/// What the control actor is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read these log entries from the store.
    ReadEntries {
        /// The first version.
        first: u64,
        /// The last version.
        last: u64,
    },
    /// Read the snapshot of the version from the store.
    ReadSnapshot {
        /// The version.
        version: u64,
    },
    /// Ask a peer for what follows the version.
    AskPeer {
        /// The peer's name.
        peer: String,
        /// The version that the replica has.
        since: u64,
    },
    /// Put the version in force.
    Adopt {
        /// The version.
        version: u64,
        /// Its settings.
        tree: Arc<Tree>,
    },
    /// Tell the operators; the version in force stays.
    Report(log::Error),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Store,
    Peer,
}

/// The state of a replica.
#[derive(Debug)]
pub struct Replica {
    version: u64,
    tree: Arc<Tree>,
    adopted: Moment,
    /// The newest head, and when the newest read that showed it started.
    head: Option<(Head, Moment)>,
    /// The last read that found no head although it started after the replica was opened.
    empty: Option<Moment>,
    /// The highest version that any peer reported, and the peer.
    ahead: Option<(u64, String)>,
    /// The read that is under way, and until when it counts.
    busy: Option<(Source, Moment)>,
    /// The last read of the store failed or gave damaged values, so that a peer is asked first.
    doubtful: bool,
    /// No read before this moment.
    rest: Moment,
    /// The entry after the adopted version cannot be used; only a snapshot leads further.
    blocked: bool,
    reported: Option<log::Error>,
    recent: VecDeque<(Entry, usize)>,
    recent_bytes: usize,
}

impl Replica {
    /// Starts a replica at version 0, the empty tree.
    pub fn open() -> Self {
        Self {
            version: 0,
            tree: Arc::new(Tree::default()),
            adopted: Moment::ZERO,
            head: None,
            empty: None,
            ahead: None,
            busy: None,
            doubtful: false,
            rest: Moment::ZERO,
            blocked: false,
            reported: None,
            recent: VecDeque::new(),
            recent_bytes: 0,
        }
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the settings in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns when the newest store read started that showed the version in force as the newest.
    ///
    /// A store proof for the settings is valid for `PERMIT_TTL` after this moment.
    pub fn current_as_of(&self) -> Option<Moment> {
        match &self.head {
            Some((head, started)) => self.is_current(head).then_some(*started),
            None => self.empty.filter(|_| self.version == 0),
        }
    }

    /// Returns what a peer at the version needs.
    pub fn deltas(&self, since: u64) -> Deltas {
        if since >= self.version {
            return Deltas::Entries(Vec::new());
        }
        let missing = usize::try_from(self.version - since).unwrap_or(usize::MAX);
        let Some(skipped) = self.recent.len().checked_sub(missing) else {
            return Deltas::Snapshot {
                version: self.version,
                digest: self.tree.digest(),
                text: self.tree.canonical(),
            };
        };
        let entries = self.recent.iter().skip(skipped);
        Deltas::Entries(entries.map(|(entry, _)| entry.clone()).collect())
    }

    /// Takes an event and returns what follows from it.
    pub fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let before = self.version;
        let mut actions = Vec::new();
        match event {
            Event::Head { value, started } => self.head_read(value, started, &mut actions),
            Event::Entries { values } => {
                self.busy = None;
                self.entries_read(&values, now, &mut actions);
            }
            Event::Snapshot { version, values } => {
                self.busy = None;
                if version > self.version {
                    let tree = log::join(version, &values);
                    self.restored(version, tree, now, &mut actions);
                }
            }
            Event::Peer { peer, version } => {
                let known = self.ahead.as_ref().map_or(0, |(known, _)| *known);
                if version >= known {
                    self.ahead = Some((version, peer));
                }
            }
            Event::Deltas { deltas } => {
                self.busy = None;
                self.ahead = None;
                self.deltas_read(deltas, now, &mut actions);
            }
            Event::Failed => self.lost(now),
            Event::Tick => {}
        }
        assert!(
            self.version >= before,
            "a replica never goes back to an older version"
        );
        if self.version > before {
            self.adopted = now;
            self.rest = now;
            self.reported = None;
            actions.push(Action::Adopt {
                version: self.version,
                tree: Arc::clone(&self.tree),
            });
        }
        actions.extend(self.plan(now));
        actions
    }

    /// Decides the next read; at most one is under way.
    fn plan(&mut self, now: Moment) -> Option<Action> {
        if let Some((_, until)) = self.busy {
            if now < until {
                return None;
            }
            self.lost(now);
        }
        if now < self.rest {
            return None;
        }
        let action = self.next_read()?;
        let source = match action {
            Action::AskPeer { .. } => Source::Peer,
            _ => Source::Store,
        };
        self.busy = Some((source, now + FETCH_TIMEOUT));
        Some(action)
    }

    /// Prepares another attempt, from the other source if possible.
    fn lost(&mut self, now: Moment) {
        match self.busy.take() {
            Some((Source::Store, _)) => self.doubtful = true,
            Some((Source::Peer, _)) => {
                self.doubtful = false;
                self.ahead = None;
            }
            None => {}
        }
        self.rest = now + RETRY;
    }

    fn next_read(&self) -> Option<Action> {
        let (newest, snapshot) = match &self.head {
            Some((head, _)) => (head.version, head.snapshot_version),
            None => (0, 0),
        };
        if let Some((version, peer)) = &self.ahead
            && *version > self.version
            && (self.doubtful || newest <= self.version)
        {
            return Some(Action::AskPeer {
                peer: peer.clone(),
                since: self.version,
            });
        }
        let far = newest.saturating_sub(self.version) > log::READ_LIMIT;
        if snapshot > self.version && (self.blocked || self.version == 0 || far) {
            return Some(Action::ReadSnapshot { version: snapshot });
        }
        (newest > self.version).then(|| Action::ReadEntries {
            first: self.version + 1,
            last: newest.min(self.version + log::READ_LIMIT),
        })
    }

    fn head_read(&mut self, value: Option<Bytes>, started: Moment, actions: &mut Vec<Action>) {
        let Some(value) = value else {
            if self.version == 0 {
                self.empty = self.empty.max(Some(started));
            } else if started > self.adopted {
                self.report(log::Error::new(log::HEAD_KEY, "it is missing"), actions);
            }
            return;
        };
        let head: Head = match log::decode(log::HEAD_KEY, &value) {
            Ok(head) => head,
            Err(damage) => return self.report(damage, actions),
        };
        // A read that started before the adoption may show an older head without any fault.
        if started > self.adopted && head.version < self.version {
            let reason = format!(
                "it names version {} after version {}",
                head.version, self.version
            );
            return self.report(log::Error::new(log::HEAD_KEY, &reason), actions);
        }
        if head.version == self.version && head.digest != self.tree.digest() {
            let reason = format!("it names another digest for version {}", self.version);
            return self.report(log::Error::new(log::HEAD_KEY, &reason), actions);
        }
        let newer = self
            .head
            .as_ref()
            .is_none_or(|(known, at)| (head.version, started) > (known.version, *at));
        if newer && head.version >= self.version {
            self.head = Some((head, started));
        }
    }

    fn entries_read(&mut self, values: &[Bytes], now: Moment, actions: &mut Vec<Action>) {
        let mut damage = None;
        let mut reached = false;
        for value in values {
            let key = log::entry_key(self.version + 1);
            let step = log::decode(&key, value).and_then(|entry: Entry| self.advance(entry));
            match step {
                Ok(advanced) => reached |= advanced,
                Err(fault) => {
                    damage = Some(fault);
                    break;
                }
            }
        }
        if damage.is_none() && !reached && !self.blocked && self.is_behind() {
            let key = log::entry_key(self.version + 1);
            damage = Some(log::Error::new(key, "it is missing"));
        }
        if let Some(damage) = damage {
            self.blocked = true;
            self.doubtful = true;
            self.rest = now + RETRY;
            self.report(damage, actions);
        }
    }

    fn deltas_read(&mut self, deltas: Deltas, now: Moment, actions: &mut Vec<Action>) {
        match deltas {
            Deltas::Entries(entries) => {
                for entry in entries {
                    if let Err(damage) = self.advance(entry) {
                        self.doubtful = false;
                        self.rest = now + RETRY;
                        return self.report(damage, actions);
                    }
                }
            }
            Deltas::Snapshot {
                version,
                digest,
                text,
            } => {
                if version > self.version {
                    let tree = log::restore(version, digest, &text);
                    self.restored(version, tree, now, actions);
                }
            }
        }
    }

    /// Applies an entry if it follows the adopted version; others are ignored.
    fn advance(&mut self, entry: Entry) -> Result<bool, log::Error> {
        if entry.version != self.version + 1 {
            return Ok(entry.version <= self.version);
        }
        match log::advance(self.version, &self.tree, &entry)? {
            Step::Next(tree) => {
                self.keep(entry);
                self.adopt(self.version + 1, tree);
            }
            Step::Snapshot => self.blocked = true,
        }
        Ok(true)
    }

    fn restored(
        &mut self,
        version: u64,
        tree: Result<Tree, log::Error>,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        match tree {
            Ok(tree) => {
                // The entries in between are unknown, so that peers behind get a snapshot too.
                self.recent.clear();
                self.recent_bytes = 0;
                self.adopt(version, tree);
            }
            Err(damage) => {
                self.doubtful = !self.doubtful;
                self.rest = now + RETRY;
                self.report(damage, actions);
            }
        }
    }

    fn adopt(&mut self, version: u64, tree: Tree) {
        assert!(
            version > self.version,
            "only a later version may be adopted"
        );
        self.version = version;
        self.tree = Arc::new(tree);
        self.blocked = false;
        self.doubtful = false;
    }

    fn keep(&mut self, entry: Entry) {
        let size = log::encode(&entry).len();
        self.recent_bytes += size;
        self.recent.push_back((entry, size));
        while self.recent.len() > RECENT_LIMIT || self.recent_bytes > RECENT_BYTES {
            let Some((_, size)) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= size;
        }
    }

    fn report(&mut self, damage: log::Error, actions: &mut Vec<Action>) {
        if self.reported.as_ref() != Some(&damage) {
            self.reported = Some(damage.clone());
            actions.push(Action::Report(damage));
        }
    }

    fn is_current(&self, head: &Head) -> bool {
        head.version == self.version && head.digest == self.tree.digest()
    }

    fn is_behind(&self) -> bool {
        let newest = self.head.as_ref().map_or(0, |(head, _)| head.version);
        newest > self.version
    }
}
