//! A node's replica of the settings, kept current from the store and from peers.
//!
//! This state machine decides what to read and when to adopt a version; the control actor does the
//! reading. Events may be lost, repeated or reordered: data is used only if it leads from the adopted
//! version to a later one and its digests match. See `docs/design.md`, section 5.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::{self, Applied, Entry, Head};
use super::tree::{Digest, Tree};
use crate::time::Moment;

/// The time after which a read without an answer counts as failed and is repeated.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before the next read after a failed one or one that gave damaged values.
///
/// It bounds the load that damaged values put on the store.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum number of log entries kept for peers; at 63,000 changes a day they cover six minutes.
pub const MAX_RECENT_ENTRIES: usize = 256;
/// The maximum encoded length of all log entries kept for peers.
pub const MAX_RECENT_BYTES: usize = 1 << 20;

/// A peer's answer on `/peer/settings`: what leads from the requested version to the peer's own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Deltas {
    /// The log entries after the requested version, oldest first.
    Entries(Vec<Entry>),
    /// The peer's whole tree, because it no longer has all entries after the requested version.
    Snapshot {
        /// The version of the tree.
        version: u64,
        /// The digest of the tree.
        digest: Digest,
        /// The canonical text of the tree.
        text: String,
    },
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// The store's head was read, which no [`Action`] of the replica requests.
    HeadRead {
        /// The value under [`log::HEAD_KEY`]; absent if the key does not exist.
        value: Option<Bytes>,
        /// When the read started.
        started: Moment,
    },
    /// Log entries were read from the store.
    EntriesRead {
        /// The encoded entries, in the order of their versions.
        values: Vec<Bytes>,
    },
    /// A snapshot was read from the store.
    SnapshotRead {
        /// The version of the snapshot that was requested.
        version: u64,
        /// The encoded chunks of the snapshot, in order.
        values: Vec<Bytes>,
    },
    /// A peer reported the version of its settings in an exchange.
    PeerVersion {
        /// The name of the peer.
        peer: String,
        /// The version of the settings that the peer has in force.
        version: u64,
    },
    /// A peer answered [`Action::AskPeer`].
    PeerDeltas {
        /// The peer's answer.
        deltas: Deltas,
    },
    /// The pending read from the store or a peer failed.
    ReadFailed,
    /// Time has passed; a pending read may have timed out and a delayed one may be due.
    Tick,
}

/// An output of the state machine, which the control actor carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read a range of log entries from the store.
    ReadEntries {
        /// The version of the first entry.
        first: u64,
        /// The version of the last entry, inclusive.
        last: u64,
    },
    /// Read a snapshot from the store.
    ReadSnapshot {
        /// The version of the snapshot.
        version: u64,
    },
    /// Request the changes after a version from a peer.
    AskPeer {
        /// The name of the peer.
        peer: String,
        /// The version that the replica has.
        since: u64,
    },
    /// Put a new version of the settings in force.
    Adopt {
        /// The number of the version.
        version: u64,
        /// The settings of the version.
        tree: Arc<Tree>,
    },
    /// Report a damaged value to the operators; the version in force stays.
    Report(log::Error),
}

/// The source of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Store,
    Peer,
}

/// The state machine of a replica: the version in force, and what is known of later ones.
#[derive(Debug)]
pub struct Replica {
    /// The version in force; 0 before the first one is adopted.
    version: u64,
    /// The settings of the version in force.
    tree: Arc<Tree>,
    /// When the version in force was adopted.
    adopted_at: Moment,
    /// The newest head that was read, and the start of the latest read that returned it.
    head: Option<(Head, Moment)>,
    /// The start of the latest read that found no head while the replica was at version 0.
    no_head_read_at: Option<Moment>,
    /// The highest version that a peer reported, and the name of the peer.
    newest_peer: Option<(u64, String)>,
    /// The source of the pending read, and when the read times out.
    pending_read: Option<(Source, Moment)>,
    /// Whether a peer that reports a later version is read even if the store has one, too, because the store
    /// failed or gave damaged values. If the store is not known to have one, the peer is read in any case.
    prefer_peer: bool,
    /// The earliest time of the next read.
    next_read_at: Moment,
    /// Whether the entry after the adopted version is unusable, so that a snapshot is read if the store has a
    /// later one; otherwise the entries are read again.
    needs_snapshot: bool,
    /// The last damage that was reported since the version in force was adopted.
    last_reported: Option<log::Error>,
    /// The log entries that led to the version in force, with their encoded lengths, oldest first.
    recent_entries: VecDeque<(Entry, usize)>,
    /// The encoded length of all recent entries.
    recent_bytes: usize,
}

impl Replica {
    /// Returns a replica at version 0, whose settings are the empty tree.
    pub fn empty() -> Self {
        Self {
            version: 0,
            tree: Arc::new(Tree::default()),
            adopted_at: Moment::ZERO,
            head: None,
            no_head_read_at: None,
            newest_peer: None,
            pending_read: None,
            prefer_peer: false,
            next_read_at: Moment::ZERO,
            needs_snapshot: false,
            last_reported: None,
            recent_entries: VecDeque::new(),
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

    /// Returns the start of the latest store read that showed the version in force to be the newest.
    ///
    /// The read proves that the settings were current at that moment; the proof is valid for `PERMIT_TTL`.
    pub fn current_as_of(&self) -> Option<Moment> {
        match &self.head {
            Some((head, started)) => self.is_current(head).then_some(*started),
            None => self.no_head_read_at.filter(|_| self.version == 0),
        }
    }

    /// Returns what a peer at version `since` needs to reach the version in force.
    pub fn deltas(&self, since: u64) -> Deltas {
        if since >= self.version {
            return Deltas::Entries(Vec::new());
        }
        let missing = usize::try_from(self.version - since).unwrap_or(usize::MAX);
        let Some(skipped) = self.recent_entries.len().checked_sub(missing) else {
            return Deltas::Snapshot {
                version: self.version,
                digest: self.tree.digest(),
                text: self.tree.canonical_text(),
            };
        };
        let entries = self.recent_entries.iter().skip(skipped);
        Deltas::Entries(entries.map(|(entry, _)| entry.clone()).collect())
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let before = self.version;
        let mut actions = Vec::new();
        match event {
            Event::HeadRead { value, started } => self.handle_head(value, started, &mut actions),
            Event::EntriesRead { values } => {
                self.pending_read = None;
                self.handle_entries(&values, now, &mut actions);
            }
            Event::SnapshotRead { version, values } => {
                self.pending_read = None;
                if version > self.version {
                    let tree = log::join_snapshot(version, &values);
                    self.adopt_snapshot(version, tree, now, &mut actions);
                }
            }
            Event::PeerVersion { peer, version } => {
                let known = self.newest_peer.as_ref().map_or(0, |(known, _)| *known);
                if version >= known {
                    self.newest_peer = Some((version, peer));
                }
            }
            Event::PeerDeltas { deltas } => {
                self.pending_read = None;
                self.newest_peer = None;
                self.handle_deltas(deltas, now, &mut actions);
            }
            Event::ReadFailed => self.read_failed(now),
            Event::Tick => {}
        }
        assert!(
            self.version >= before,
            "the replica went back to an older version"
        );
        if self.version > before {
            self.adopted_at = now;
            self.next_read_at = now;
            self.last_reported = None;
            actions.push(Action::Adopt {
                version: self.version,
                tree: Arc::clone(&self.tree),
            });
        }
        actions.extend(self.start_next_read(now));
        actions
    }

    /// Starts the next read if one is needed and due; at most one read is pending.
    fn start_next_read(&mut self, now: Moment) -> Option<Action> {
        if let Some((_, until)) = self.pending_read {
            if now < until {
                return None;
            }
            self.read_failed(now);
        }
        if now < self.next_read_at {
            return None;
        }
        let action = self.next_read()?;
        let source = match action {
            Action::AskPeer { .. } => Source::Peer,
            _ => Source::Store,
        };
        self.pending_read = Some((source, now + READ_TIMEOUT));
        Some(action)
    }

    /// Handles the failure of the pending read: the next one is delayed and goes to the other source.
    fn read_failed(&mut self, now: Moment) {
        match self.pending_read.take() {
            Some((Source::Store, _)) => self.prefer_peer = true,
            Some((Source::Peer, _)) => {
                self.prefer_peer = false;
                self.newest_peer = None;
            }
            None => {}
        }
        self.next_read_at = now + RETRY_DELAY;
    }

    /// Returns the read that leads to a later version; absent if none is known.
    ///
    /// The first version and versions more than [`log::MAX_READ_ENTRIES`] ahead are read from a snapshot, if
    /// the store has a later one.
    fn next_read(&self) -> Option<Action> {
        let (store_version, snapshot_version) = match &self.head {
            Some((head, _)) => (head.version, head.snapshot_version),
            None => (0, 0),
        };
        if let Some((version, peer)) = &self.newest_peer
            && *version > self.version
            && (self.prefer_peer || store_version <= self.version)
        {
            return Some(Action::AskPeer {
                peer: peer.clone(),
                since: self.version,
            });
        }
        let too_far_behind = store_version.saturating_sub(self.version) > log::MAX_READ_ENTRIES;
        if snapshot_version > self.version
            && (self.needs_snapshot || self.version == 0 || too_far_behind)
        {
            return Some(Action::ReadSnapshot {
                version: snapshot_version,
            });
        }
        (store_version > self.version).then(|| Action::ReadEntries {
            first: self.version + 1,
            last: store_version.min(self.version + log::MAX_READ_ENTRIES),
        })
    }

    fn handle_head(&mut self, value: Option<Bytes>, started: Moment, actions: &mut Vec<Action>) {
        let Some(value) = value else {
            if self.version == 0 {
                self.no_head_read_at = self.no_head_read_at.max(Some(started));
            } else if started > self.adopted_at {
                self.report(
                    log::Error::new(log::HEAD_KEY, "expected a value, found none"),
                    actions,
                );
            }
            return;
        };
        let head: Head = match log::decode(log::HEAD_KEY, &value) {
            Ok(head) => head,
            Err(damage) => return self.report(damage, actions),
        };
        // A read that started before the adoption may return an older head although nothing is wrong.
        if started > self.adopted_at && head.version < self.version {
            let reason = format!(
                "found version {} although version {} was in force before",
                head.version, self.version
            );
            return self.report(log::Error::new(log::HEAD_KEY, &reason), actions);
        }
        if head.version == self.version && head.digest != self.tree.digest() {
            let reason = format!(
                "found another digest for version {} than that of the tree in force",
                self.version
            );
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

    fn handle_entries(&mut self, values: &[Bytes], now: Moment, actions: &mut Vec<Action>) {
        let mut damage = None;
        let mut applied_any = false;
        for value in values {
            let key = log::entry_key(self.version + 1);
            let result = log::decode(&key, value).and_then(|entry: Entry| self.apply_entry(entry));
            match result {
                Ok(applied) => applied_any |= applied,
                Err(fault) => {
                    damage = Some(fault);
                    break;
                }
            }
        }
        if damage.is_none() && !applied_any && !self.needs_snapshot && self.is_behind() {
            let key = log::entry_key(self.version + 1);
            damage = Some(log::Error::new(key, "expected a value, found none"));
        }
        if let Some(damage) = damage {
            self.needs_snapshot = true;
            self.prefer_peer = true;
            self.next_read_at = now + RETRY_DELAY;
            self.report(damage, actions);
        }
    }

    fn handle_deltas(&mut self, deltas: Deltas, now: Moment, actions: &mut Vec<Action>) {
        match deltas {
            Deltas::Entries(entries) => {
                for entry in entries {
                    if let Err(damage) = self.apply_entry(entry) {
                        self.prefer_peer = false;
                        self.next_read_at = now + RETRY_DELAY;
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
                    let tree = log::restore_tree(version, digest, &text);
                    self.adopt_snapshot(version, tree, now, actions);
                }
            }
        }
    }

    /// Applies an entry if it directly follows the adopted version, and ignores it otherwise.
    ///
    /// Returns false if versions are missing between the adopted one and the entry.
    fn apply_entry(&mut self, entry: Entry) -> Result<bool, log::Error> {
        if entry.version != self.version + 1 {
            return Ok(entry.version <= self.version);
        }
        match log::apply_entry(self.version, &self.tree, &entry)? {
            Applied::Tree(tree) => {
                self.keep_recent(entry);
                self.adopt(self.version + 1, tree);
            }
            Applied::SnapshotOnly => self.needs_snapshot = true,
        }
        Ok(true)
    }

    fn adopt_snapshot(
        &mut self,
        version: u64,
        tree: Result<Tree, log::Error>,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        match tree {
            Ok(tree) => {
                // The entries up to the snapshot are unknown; peers at older versions get a snapshot too.
                self.recent_entries.clear();
                self.recent_bytes = 0;
                self.adopt(version, tree);
            }
            Err(damage) => {
                self.prefer_peer = !self.prefer_peer;
                self.next_read_at = now + RETRY_DELAY;
                self.report(damage, actions);
            }
        }
    }

    fn adopt(&mut self, version: u64, tree: Tree) {
        assert!(
            version > self.version,
            "the adopted version is not later than the one in force"
        );
        self.version = version;
        self.tree = Arc::new(tree);
        self.needs_snapshot = false;
        self.prefer_peer = false;
    }

    /// Keeps an applied entry for peers and drops the oldest ones beyond the limits.
    fn keep_recent(&mut self, entry: Entry) {
        let size = log::encode(&entry).len();
        self.recent_bytes += size;
        self.recent_entries.push_back((entry, size));
        while self.recent_entries.len() > MAX_RECENT_ENTRIES || self.recent_bytes > MAX_RECENT_BYTES
        {
            let Some((_, size)) = self.recent_entries.pop_front() else {
                break;
            };
            self.recent_bytes -= size;
        }
    }

    /// Reports a damaged value, unless it was the last one that was reported.
    fn report(&mut self, damage: log::Error, actions: &mut Vec<Action>) {
        if self.last_reported.as_ref() != Some(&damage) {
            self.last_reported = Some(damage.clone());
            actions.push(Action::Report(damage));
        }
    }

    /// Returns whether the head names the version in force with its digest.
    fn is_current(&self, head: &Head) -> bool {
        head.version == self.version && head.digest == self.tree.digest()
    }

    /// Returns whether the store has a later version than the one in force.
    fn is_behind(&self) -> bool {
        let newest = self.head.as_ref().map_or(0, |(head, _)| head.version);
        newest > self.version
    }
}
