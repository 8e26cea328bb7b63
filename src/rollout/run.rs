//! The execution of one order, as one node knows it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::evidence::{Sample, Tally};
use super::report::Report;
use super::share::Share;
use super::verdict::{self, Comparison, Fault};
use super::{Order, Phase, Record, RunId, short_hash};
use crate::connection::keyspace::Revision;
use crate::time::Moment;

/// The time before the deadline at which the shift begins. It takes two writes to the store, two heartbeats each for the
/// news of the shift and its confirmation, and up to [`OPEN_REQUESTS_WAIT`]; nodes may see an order one second late.
const SHIFT_TIME: Duration = Duration::from_millis(4_500);
/// The time before the deadline at which the shift begins even if the evidence is thin or some targets are missing.
const LAST_SHIFT_TIME: Duration = Duration::from_millis(3_500);
/// The time before the deadline until which a shift is watched. A version that fails only under load shows it in the shift,
/// and a completed roll-out cannot be turned back. A lost write is tried again within this time.
const END_TIME: Duration = Duration::from_millis(2_500);
/// How long a shift is watched after all nodes have confirmed it, unless only [`END_TIME_MIN`] is left. A trial with 21 seeds
/// without it completed a version of which half of the answers on one route failed.
const WATCH_TIME: Duration = Duration::from_millis(800);
/// The time before the deadline that the end of a shift needs in any case: a heartbeat, a write, and the time by which the
/// order was seen late. 1 s was too short by 23 ms when an order was seen late.
const END_TIME_MIN: Duration = Duration::from_millis(1_500);
/// The number of good answers of the new version from which the evidence is enough.
const GOOD_ANSWERS_MIN: u32 = 20;
/// The number of failures from which a version is not shifted to, if the evidence is thin and a quarter or more of its
/// answers are failures, and twice as many as usual. Without this, services with few requests could only try it out on all
/// callers.
const DOUBTFUL_FAILURES_MIN: u32 = 2;
/// The number of requests without any good answer from which a version is not shifted to.
const UNANSWERED_MAX: u32 = 5;
/// How long the end of a shift waits for open requests to old targets, after all nodes have confirmed it.
const OPEN_REQUESTS_WAIT: Duration = Duration::from_secs(2);
/// The number of its own failed canary requests from which a node sends no more of them, if they are a quarter or more of
/// all.
const OWN_FAILURES_MAX: u32 = 2;
/// The interval of the sums that recent answers are counted from.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of such sums.
const SNAPSHOTS: usize = 3;

/// The targets of a service, as one node sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Targets {
    /// The targets of the new version that take work.
    pub new: usize,
    /// The other targets that take work.
    pub old: usize,
    /// This node's open requests to other targets.
    pub open_old: u32,
}

/// What a node knows of another node's part in a run.
#[derive(Debug, Clone, Default)]
struct Peer {
    phase: Option<Phase>,
    open_old: u8,
    tallies: HashMap<u32, Tally>,
}

/// The execution of an order at one node.
#[derive(Debug)]
pub struct Run {
    /// The execution's id.
    pub id: RunId,
    /// The order.
    pub order: Order,
    /// The revision of the order in the store.
    pub revision: Revision,
    /// How far the roll-out has come, as far as this node knows.
    pub phase: Phase,
    /// Whether the version is known to be bad.
    pub bad: bool,
    /// Whether the order has been removed.
    pub removed: bool,
    /// The record that the store is known to hold; unknown after the store has come back from a copy.
    pub stored: Option<(Phase, Revision)>,
    /// The share of requests that this node sends to the new version.
    pub share: Share,
    /// The requests that this node may send to the new version beyond its share.
    pub extra: u32,
    /// Whether this node's own failures keep it from sending more canary requests.
    pub held: bool,
    /// The targets of the service.
    pub targets: Targets,
    /// Since when this node wants to write another record than the stored one.
    pub unsaved_since: Option<Moment>,
    /// When this node may write a record again; never while it is writing one.
    pub next_write: Moment,
    /// When the run ended.
    pub ended_at: Option<Moment>,
    /// The phase and the verdict that were last reported.
    pub reported: Option<(Phase, bool)>,
    /// When the counts were last reported.
    pub reported_at: Moment,
    seen_at: Moment,
    age_when_seen: Duration,
    own: HashMap<u32, Tally>,
    peers: BTreeMap<String, Peer>,
    snapshots: VecDeque<(Moment, HashMap<u32, Tally>)>,
    /// Since when all nodes have confirmed the shift.
    confirmed_since: Option<Moment>,
}

impl Run {
    /// Creates the execution of an order that has just been seen.
    pub fn new(id: RunId, order: Order, revision: Revision, extra: u32, now: Moment) -> Self {
        Self {
            id,
            order,
            revision,
            phase: Phase::Canary,
            bad: false,
            removed: false,
            stored: None,
            share: Share::default(),
            extra,
            held: false,
            targets: Targets::default(),
            unsaved_since: None,
            next_write: Moment::ZERO,
            ended_at: None,
            reported: None,
            reported_at: Moment::ZERO,
            seen_at: now,
            age_when_seen: Duration::ZERO,
            own: HashMap::new(),
            peers: BTreeMap::new(),
            snapshots: VecDeque::new(),
            confirmed_since: None,
        }
    }

    /// Returns the time since the order, as far as this node knows.
    pub fn age(&self, now: Moment) -> Duration {
        self.age_when_seen + now.since(self.seen_at)
    }

    /// Learns that the order is at least this old. A node sees an order some time after it was written, and one that has
    /// started again does not know when that was.
    pub fn raise_age(&mut self, age: Duration, now: Moment) {
        let missing = age.saturating_sub(self.age(now));
        self.age_when_seen += missing;
    }

    /// Learns of a phase from the store or from another node. Returns whether it is news.
    pub fn adopt(&mut self, phase: Phase, now: Moment) -> bool {
        if phase <= self.phase || self.phase.is_final() {
            return false;
        }
        self.phase = phase;
        self.confirmed_since = None;
        if phase.is_final() {
            self.ended_at = Some(now);
        }
        true
    }

    /// Counts the result of one of this node's requests.
    pub fn record(&mut self, route: &str, target: &str, is_new: bool, sample: Sample) {
        if self.phase.is_final() {
            return;
        }
        let tally = self.own.entry(short_hash(route)).or_default();
        if is_new {
            tally.record_new(target, sample);
        } else {
            tally.record_old(sample);
        }
        if is_new && sample == Sample::Failed {
            let (failed, total) = self.own.values().fold((0, 0), |(failed, total), tally| {
                (failed + tally.new.failed, total + tally.new.total())
            });
            self.held |= failed >= OWN_FAILURES_MAX && failed * 4 >= total;
        }
    }

    /// Records what another node tells of the run. Returns whether a phase or a verdict is news.
    pub fn hear(&mut self, node: &str, report: Report, now: Moment) -> bool {
        self.raise_age(report.age, now);
        if !self.phase.is_final() {
            let peer = self.peers.entry(node.to_owned()).or_default();
            peer.phase = Some(report.phase);
            peer.open_old = report.open_old;
            peer.tallies.extend(report.routes);
        }
        let verdict_is_news = report.bad && !self.bad && !self.phase.is_final();
        self.bad |= report.bad;
        self.adopt(report.phase, now) || verdict_is_news
    }

    /// Returns the sums over all nodes, by route.
    pub fn totals(&self) -> HashMap<u32, Tally> {
        let mut totals = self.own.clone();
        for (route, tally) in self.peers.values().flat_map(|peer| &peer.tallies) {
            totals.entry(*route).or_default().add(tally);
        }
        totals
    }

    /// Judges the version by the sums over all nodes.
    pub fn judge(&mut self, now: Moment) -> Option<Fault> {
        let totals = self.totals();
        let earliest = self.snapshots.front().map(|(_, sums)| sums);
        let comparisons = totals.iter().map(|(route, all)| {
            let earlier = earliest.and_then(|sums| sums.get(route));
            Comparison {
                all: *all,
                recent: all.since(&earlier.copied().unwrap_or_default()),
            }
        });
        let fault = verdict::judge(&comparisons.collect::<Vec<_>>());
        let is_due = self
            .snapshots
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, totals));
            if self.snapshots.len() > SNAPSHOTS {
                self.snapshots.pop_front();
            }
        }
        fault
    }

    /// Returns the phase that the roll-out should be in. `awaited` are the other nodes that must confirm a shift.
    pub fn due_phase<'a>(
        &mut self,
        mut awaited: impl Iterator<Item = &'a str>,
        now: Moment,
    ) -> Phase {
        match self.phase {
            Phase::Completed | Phase::RolledBack => self.phase,
            _ if self.bad || self.removed => Phase::RolledBack,
            Phase::Canary => self.due_after_canary(now),
            Phase::Shifting => {
                let left = self.order.duration.saturating_sub(self.age(now));
                if left.is_zero() && self.targets.new == 0 {
                    return Phase::RolledBack;
                }
                let confirmed = awaited.all(|node| {
                    let peer = self.peers.get(node);
                    peer.is_some_and(|peer| peer.phase >= Some(Phase::Shifting))
                });
                if !confirmed {
                    self.confirmed_since = None;
                    return Phase::Shifting;
                }
                let since = *self.confirmed_since.get_or_insert(now);
                let is_watched = now.since(since) >= WATCH_TIME || left <= END_TIME_MIN;
                if left > END_TIME.min(self.order.duration / 6) || !is_watched {
                    return Phase::Shifting;
                }
                let is_open =
                    self.targets.open_old > 0 || self.peers.values().any(|it| it.open_old > 0);
                if self.targets.new == 0 || (is_open && now.since(since) < OPEN_REQUESTS_WAIT) {
                    Phase::Shifting
                } else {
                    Phase::Completed
                }
            }
        }
    }

    fn due_after_canary(&self, now: Moment) -> Phase {
        let duration = self.order.duration;
        let left = duration.saturating_sub(self.age(now));
        if left.is_zero() {
            return Phase::RolledBack;
        }
        if left > SHIFT_TIME.min(duration / 2) {
            return Phase::Canary;
        }
        let totals = self.totals();
        let mut sum = Tally::default();
        for tally in totals.values() {
            sum.add(tally);
        }
        let (good, total, failed) = (sum.new.good(), sum.new.total(), sum.new.failed);
        let is_usual = u64::from(failed) * u64::from(sum.old.total())
            < 2 * u64::from(sum.old.failed) * u64::from(total);
        let is_often = failed >= DOUBTFUL_FAILURES_MIN && failed * 4 >= total && !is_usual;
        let is_doubtful =
            good < GOOD_ANSWERS_MIN && (is_often || verdict::is_doubtful(totals.values()));
        let is_last = left <= LAST_SHIFT_TIME.min(duration / 4);
        let is_certain = good >= GOOD_ANSWERS_MIN && self.targets.new >= self.targets.old;
        if (good == 0 && total >= UNANSWERED_MAX) || (is_last && is_doubtful) {
            Phase::RolledBack
        } else if self.targets.new > 0 && (is_certain || is_last) {
            Phase::Shifting
        } else {
            Phase::Canary
        }
    }

    /// Returns the record that belongs to a phase of this run.
    pub fn to_record(&self, phase: Phase, rejected: &[Arc<str>], now: Moment) -> Record {
        Record {
            run: self.id,
            order: self.order.clone(),
            order_era: self.revision.era(),
            order_number: self.revision.number(),
            phase,
            age: self.age(now),
            rejected: rejected.to_vec(),
        }
    }

    /// Returns this node's report of the run. A node that is out of touch sends requests to old targets again, so it does
    /// not confirm a shift.
    pub fn to_report(&self, service: &str, in_touch: bool, now: Moment) -> Report {
        let phase = match self.phase {
            Phase::Shifting if !in_touch => Phase::Canary,
            phase => phase,
        };
        let routes = self.own.iter().map(|(route, tally)| (*route, *tally));
        Report {
            service: short_hash(service),
            run: self.id,
            phase,
            bad: self.bad && self.phase != Phase::Completed,
            age: self.age(now),
            open_old: u8::try_from(self.targets.open_old).unwrap_or(u8::MAX),
            routes: if self.phase.is_final() {
                Vec::new()
            } else {
                routes.collect()
            },
        }
    }

    /// Discards the counts of a run that has ended.
    pub fn discard_counts(&mut self) {
        self.own.clear();
        self.peers.clear();
        self.snapshots.clear();
    }
}
