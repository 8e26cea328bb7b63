//! The roll-outs of all services at one node, as a state machine without clock, socket or store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::{SmallVec, smallvec};

use super::evidence::{Sample, Tally};
use super::report::{self, REPORTS_MAX_BYTES, Report};
use super::run::{Run, Targets};
use super::share::{SHARE_USED, SLACK_USED, slack_part};
use super::verdict::Fault;
use super::{Bounds, Order, Phase, Record, RunId, short_hash};
use crate::connection::keyspace::Revision;
use crate::process::owner::hash_parts;
use crate::time::Moment;
use crate::wire::Cause;

/// A node that writes no news of a roll-out is replaced by the next one after this time, and that one by a third.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// The same for the end of a bad version, which is more urgent.
const TAKEOVER_DELAY_BAD: Duration = Duration::from_millis(400);
/// The number of nodes that write the news of a roll-out, one after the other.
const WRITERS_MAX: u32 = 4;
/// The delay after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The number of writes of one node that run at the same time. A store that is slow holds no more connections for them.
const WRITES_MAX: usize = 8;
/// How long a node that served callers may be silent until the end of a shift no longer waits for it.
const SILENCE_MAX: Duration = Duration::from_secs(10);
/// The time before the deadline from which only nodes that are heard are waited for. An order of 12 s would otherwise miss
/// its deadline whenever a node is lost.
const LAST_WAIT: Duration = Duration::from_millis(2_200);
/// How long a final phase is still reported.
const END_REPORT_PERIOD: Duration = Duration::from_secs(10);
/// The maximum size of a report without counts.
const BARE_REPORT_BYTES: usize = 18;
/// The maximum size of the list of reports without its entries, with its name.
const LIST_BYTES: usize = 6;
/// The time without [`Event::Tick`] after which this node counts as out of touch, because its process was paused.
const TICK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The number of rejected versions that a service keeps.
const REJECTED_MAX: usize = 4;
/// The number of services whose roll-outs a node follows.
const SERVICES_MAX: usize = 4_096;

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// An order was written.
    Order {
        /// The service.
        service: Arc<str>,
        /// The order.
        order: Order,
        /// The revision of the order in the store.
        revision: Revision,
        /// Whether this node was following the store when the order was written. A node that has just started may have
        /// used its part of the slack already.
        live: bool,
    },
    /// An order was removed.
    OrderRemoved {
        /// The service.
        service: Arc<str>,
    },
    /// The store holds a record.
    Record {
        /// The service.
        service: Arc<str>,
        /// The record.
        record: Record,
    },
    /// The store holds no record any more.
    RecordRemoved {
        /// The service.
        service: Arc<str>,
    },
    /// The store has come back from an older copy and may lack records.
    Restored,
    /// Another node's reports have arrived.
    Heard {
        /// The name of the node.
        node: String,
        /// Its reports.
        reports: Vec<Report>,
    },
    /// A write that [`Output::Write`] asked for has ended.
    Written {
        /// The service.
        service: Arc<str>,
        /// The record that the store now holds; absent if that is not known.
        record: Option<Record>,
    },
    /// The targets of a service, before each tick.
    Targets {
        /// The service.
        service: Arc<str>,
        /// The targets.
        targets: Targets,
    },
    /// The nodes that serve callers, before each tick.
    Nodes {
        /// The other nodes that serve callers and are heard.
        serving: BTreeSet<String>,
        /// Whether this node serves callers.
        serves: bool,
        /// Whether verdicts of other nodes and changes of orders reach this node.
        in_touch: bool,
    },
    /// The interval of heartbeats has passed.
    Tick,
}

/// An output of the state machine, which the process carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Write the record and the status of a service to the store, unless the store has a later phase.
    Write {
        /// The service.
        service: Arc<str>,
        /// The record.
        record: Record,
    },
    /// A roll-out has changed, for the log.
    Changed {
        /// The service.
        service: Arc<str>,
        /// The version that is rolled out.
        version: Arc<str>,
        /// The phase.
        phase: Phase,
        /// What this node has found wrong with the version, if that is the change.
        fault: Option<Fault>,
        /// Whether the version is known to be bad.
        bad: bool,
        /// The sums of all routes and nodes.
        evidence: Tally,
    },
}

/// Which targets of a service a request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Targets of the new version.
    New,
    /// Targets of neither the new version nor a rejected one.
    Old,
    /// All targets.
    Any,
}

/// How the versions of a service's targets are told apart.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Split {
    /// The new version.
    pub version: Arc<str>,
    /// Versions of earlier orders that were not completed.
    pub rejected: Vec<Arc<str>>,
}

impl Split {
    /// Tells whether targets of a version belong to a side.
    pub fn contains(&self, side: Side, version: &str) -> bool {
        match side {
            Side::New => *self.version == *version,
            Side::Old => {
                *self.version != *version && !self.rejected.iter().any(|it| **it == *version)
            }
            Side::Any => true,
        }
    }
}

/// A service with an order, or with the record of one.
#[derive(Debug, Default)]
struct Service {
    run: Option<Run>,
    /// The last record that the store is known to hold.
    record: Option<Record>,
    split: Arc<Split>,
}

/// The roll-outs of all services at one node.
#[derive(Debug, Default)]
pub struct Rollouts {
    /// Absent if the settings give no bounds; roll-outs are then off.
    bounds: Option<Bounds>,
    own: String,
    services: HashMap<Arc<str>, Service>,
    names: HashMap<u32, Arc<str>>,
    serving: BTreeSet<String>,
    /// When each other node that served callers was last heard.
    last_served: BTreeMap<String, Moment>,
    serves: bool,
    in_touch: bool,
    last_tick: Moment,
}

impl Rollouts {
    /// Creates the state of the named node. Without bounds, roll-outs are off.
    pub fn open(bounds: Option<Bounds>, own: &str) -> Self {
        Self {
            bounds,
            own: own.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the services with an order or a record.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Tells whether no service has an order or a record.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the phase of a service's roll-out, and whether its version is known to be bad.
    pub fn phase(&self, service: &str) -> Option<(Phase, bool)> {
        let run = self.services.get(service)?.run.as_ref()?;
        Some((run.phase, run.bad))
    }

    /// Returns the number of roll-outs in a phase.
    pub fn count_in(&self, phase: Phase) -> usize {
        let runs = self.services.values().filter_map(|it| it.run.as_ref());
        runs.filter(|run| run.phase == phase).count()
    }

    /// Tells whether a service has a roll-out of which only canary requests go to the new version.
    pub fn is_canary(&self, service: &str) -> bool {
        self.phase(service) == Some((Phase::Canary, false))
    }

    /// Returns how the targets of a service are told apart, or nothing if it has no roll-out.
    pub fn split(&self, service: &str) -> Option<Arc<Split>> {
        let service = self.services.get(service)?;
        (service.run.is_some() || service.record.is_some()).then(|| Arc::clone(&service.split))
    }

    /// Returns the sides to which a request goes, the preferred one first. `has_old` and `has_new` tell whether targets of
    /// these sides are known, in whatever state.
    pub fn sides(
        &self,
        service: &str,
        cause: Cause,
        has_old: bool,
        has_new: bool,
        now: Moment,
    ) -> SmallVec<[Side; 2]> {
        let Some(known) = self.services.get(service) else {
            return smallvec![Side::Any];
        };
        if !has_old {
            // There is nothing that a bad version could be compared with or replaced by.
            return smallvec![Side::New, Side::Any];
        }
        let Some(run) = &known.run else {
            return match known.record.as_ref().map(|record| record.phase) {
                None | Some(Phase::Completed) => smallvec![Side::Any],
                Some(_) => smallvec![Side::Old],
            };
        };
        let in_touch = self.in_touch && now.since(self.last_tick) < TICK_TIMEOUT;
        match run.phase {
            Phase::Completed if has_new => smallvec![Side::New],
            Phase::Completed => smallvec![Side::Any],
            Phase::RolledBack => smallvec![Side::Old],
            _ if run.bad || run.removed => smallvec![Side::Old],
            Phase::Shifting if in_touch => smallvec![Side::New, Side::Old],
            // The version may have been found bad, or the old targets may have stopped.
            Phase::Shifting => smallvec![Side::Old, Side::New],
            Phase::Canary => {
                let share = self.bounds.map_or(0.0, |it| it.canary_share * SHARE_USED);
                let may_try = cause == Cause::First && in_touch && self.serves && !run.held;
                if may_try && run.share.admits(share, run.extra) {
                    smallvec![Side::New, Side::Old]
                } else {
                    smallvec![Side::Old]
                }
            }
        }
    }

    /// Counts a request that is sent to a target of the side.
    pub fn record_sent(&mut self, service: &str, cause: Cause, is_new: bool) {
        let run = self
            .services
            .get_mut(service)
            .and_then(|it| it.run.as_mut());
        if let Some(run) = run
            && (is_new || cause == Cause::First)
        {
            run.share.record(is_new);
        }
    }

    /// Counts the result of a request to a target. Returns whether the target has the version of a roll-out that has not
    /// ended.
    pub fn record_result(
        &mut self,
        service: &str,
        route: &str,
        (target, version): (&str, &str),
        sample: Sample,
    ) -> bool {
        let Some(known) = self.services.get_mut(service) else {
            return false;
        };
        let (split, Some(run)) = (&known.split, &mut known.run) else {
            return false;
        };
        let is_new = split.contains(Side::New, version);
        if is_new || split.contains(Side::Old, version) {
            run.record(route, target, is_new, sample);
        }
        is_new && !run.phase.is_final()
    }

    /// Handles one event and returns what is to be done.
    pub fn step(&mut self, event: Event, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.bounds.is_none() {
            return outputs;
        }
        match event {
            Event::Order {
                service,
                order,
                revision,
                live,
            } => self.on_order(&service, order, revision, live, now, &mut outputs),
            Event::OrderRemoved { service } => {
                if let Some(run) = self.run_mut(&service) {
                    run.removed = true;
                    if run.phase == Phase::Completed {
                        self.services.remove(&service);
                    }
                }
            }
            Event::Record { service, record } => {
                self.on_record(&service, record, now, &mut outputs);
            }
            Event::RecordRemoved { service } => {
                if let Some(known) = self.services.get_mut(&service) {
                    known.record = None;
                    match &mut known.run {
                        Some(run) => run.stored = None,
                        None => {
                            self.services.remove(&service);
                        }
                    }
                }
            }
            Event::Restored => {
                for known in self.services.values_mut() {
                    if let Some(run) = &mut known.run {
                        run.stored = None;
                    }
                }
            }
            Event::Heard { node, reports } => {
                for report in reports {
                    self.on_report(&node, report, now, &mut outputs);
                }
            }
            Event::Written { service, record } => {
                if let Some(run) = self.run_mut(&service) {
                    run.next_write = if record.is_some() {
                        now
                    } else {
                        now + WRITE_RETRY_DELAY
                    };
                }
                if let Some(record) = record {
                    self.on_record(&service, record, now, &mut outputs);
                }
            }
            Event::Targets { service, targets } => {
                if let Some(run) = self.run_mut(&service) {
                    run.targets = targets;
                }
            }
            Event::Nodes {
                serving,
                serves,
                in_touch,
            } => {
                for node in &serving {
                    self.last_served.insert(node.clone(), now);
                }
                self.last_served
                    .retain(|_, heard| now.since(*heard) < SILENCE_MAX);
                (self.serving, self.serves, self.in_touch) = (serving, serves, in_touch);
            }
            Event::Tick => {
                self.last_tick = now;
                self.tick(now, &mut outputs);
            }
        }
        outputs
    }

    fn run_mut(&mut self, service: &str) -> Option<&mut Run> {
        self.services.get_mut(service)?.run.as_mut()
    }

    fn on_order(
        &mut self,
        service: &Arc<str>,
        order: Order,
        revision: Revision,
        live: bool,
        now: Moment,
        outputs: &mut Vec<Output>,
    ) {
        if self.services.len() >= SERVICES_MAX && !self.services.contains_key(service) {
            return;
        }
        let extra = if live { self.slack_part(service) } else { 0 };
        self.names.insert(short_hash(service), Arc::clone(service));
        let known = self.services.entry(Arc::clone(service)).or_default();
        if let Some(run) = &mut known.run
            && run.order == order
            && !run.removed
            && (revision <= run.revision || revision.era() > run.revision.era())
        {
            // The order has been written again after the store came back from a copy.
            run.revision = run.revision.max(revision);
            return;
        }
        let mut rejected = known.split.rejected.clone();
        if let Some(record) = &known.record {
            rejected.extend(record.rejected.iter().cloned());
            if record.phase == Phase::RolledBack {
                rejected.push(Arc::clone(&record.order.version));
            }
        }
        let unfinished = known
            .run
            .as_ref()
            .filter(|run| run.phase != Phase::Completed);
        rejected.extend(unfinished.map(|run| Arc::clone(&run.order.version)));
        rejected.retain(|version| *version != order.version);
        rejected.sort();
        rejected.dedup();
        rejected.truncate(REJECTED_MAX);
        let id = RunId::new(service, &order, revision);
        known.split = Arc::new(Split {
            version: Arc::clone(&order.version),
            rejected,
        });
        let was_removed = known.run.as_ref().is_some_and(|run| run.removed);
        let run = Run::new(id, order, revision, extra, now);
        outputs.push(change(service, &run, None));
        known.run = Some(run);
        if let Some(record) = known.record.clone()
            && !was_removed
        {
            self.on_record(service, record, now, outputs);
        }
    }

    /// Compares a record that the store holds with the run of its service.
    fn on_record(
        &mut self,
        service: &Arc<str>,
        record: Record,
        now: Moment,
        outputs: &mut Vec<Output>,
    ) {
        if self.services.len() >= SERVICES_MAX && !self.services.contains_key(service) {
            return;
        }
        let known = self.services.entry(Arc::clone(service)).or_default();
        known.record = Some(record.clone());
        let Some(run) = &mut known.run else {
            // The order has been removed, or is not known yet.
            known.split = Arc::new(Split {
                version: record.order.version,
                rejected: record.rejected,
            });
            return;
        };
        let written_for = record.order_revision();
        if run.id != record.run {
            let is_same_order = run.order == record.order
                && !run.removed
                && (written_for >= run.revision || written_for.era() < run.revision.era());
            if !is_same_order {
                return;
            }
            // Another node has seen the order before the store came back from a copy, or a later order of the same
            // contents.
            *run = Run::new(
                record.run,
                record.order.clone(),
                run.revision.max(written_for),
                0,
                now,
            );
        }
        run.raise_age(record.age, now);
        run.stored = Some((record.phase, written_for));
        if run.adopt(record.phase, now) {
            outputs.push(change(service, run, None));
        }
        let unknown = record
            .rejected
            .into_iter()
            .filter(|version| !known.split.rejected.contains(version));
        let unknown: Vec<_> = unknown.collect();
        if !unknown.is_empty() {
            let split = Arc::make_mut(&mut known.split);
            split.rejected.extend(unknown);
            split.rejected.truncate(REJECTED_MAX);
        }
    }

    fn on_report(&mut self, node: &str, report: Report, now: Moment, outputs: &mut Vec<Output>) {
        let Some(service) = self.names.get(&report.service).cloned() else {
            return;
        };
        let Some(run) = self.run_mut(&service) else {
            return;
        };
        if run.id != report.run {
            return;
        }
        let has_failures = report.routes.iter().any(|(_, tally)| tally.new.failed > 0);
        if run.hear(node, report, now) {
            outputs.push(change(&service, run, None));
        }
        if has_failures {
            // A third of a second until the next tick is many requests while all of them go to the version.
            judge(&service, run, now, outputs);
        }
    }

    /// Judges the versions, and decides what this node writes.
    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let runs = self.services.values().filter_map(|it| it.run.as_ref());
        let mut writes = runs.filter(|run| run.next_write == Moment::NEVER).count();
        for (service, known) in &mut self.services {
            let Some(run) = &mut known.run else {
                continue;
            };
            judge(service, run, now, outputs);
            let left = run.order.duration.saturating_sub(run.age(now));
            let last_served = &self.last_served;
            let awaited = last_served.keys().map(String::as_str);
            let serving = &self.serving;
            let awaited = awaited.filter(|node| left > LAST_WAIT || serving.contains(*node));
            let due = run.due_phase(awaited, now);
            if run.phase.is_final() && run.ended_at.is_some_and(|at| now.since(at) > SILENCE_MAX) {
                run.discard_counts();
            }
            if run.stored == Some((due, run.revision)) {
                run.unsaved_since = None;
                continue;
            }
            let since = *run.unsaved_since.get_or_insert(now);
            let rank = rank(service, &self.own, serving);
            let takeover = if due == Phase::RolledBack {
                TAKEOVER_DELAY_BAD
            } else {
                TAKEOVER_DELAY
            };
            let is_due = self.serves
                && rank < WRITERS_MAX
                && now.since(since) >= takeover * rank
                && now >= run.next_write;
            if is_due && writes < WRITES_MAX {
                run.next_write = Moment::NEVER;
                writes += 1;
                outputs.push(Output::Write {
                    service: Arc::clone(service),
                    record: run.to_record(due, &known.split.rejected, now),
                });
            }
        }
    }

    /// Returns what this node tells the others, at most [`REPORTS_MAX_BYTES`].
    ///
    /// Runs whose phase or verdict was not reported yet come first, and share the room equally: many that shift at once are
    /// reported without counts, as their ends wait for this news. Then come those that were not reported for the longest
    /// time. A run whose counts do not fit is reported without those of some routes. What is left out comes with a
    /// later heartbeat, as all counts are sums.
    pub fn report(&mut self, now: Moment) -> Vec<Report> {
        let in_touch = self.in_touch;
        let mut runs: Vec<(Report, &mut Run)> = self
            .services
            .iter_mut()
            .filter_map(|(service, known)| Some((service, known.run.as_mut()?)))
            .filter(|(_, run)| {
                run.ended_at
                    .is_none_or(|at| now.since(at) < END_REPORT_PERIOD)
            })
            .map(|(service, run)| (run.to_report(service, in_touch, now), run))
            .collect();
        let is_news = |report: &Report, run: &Run| run.reported != Some((report.phase, report.bad));
        runs.sort_by_key(|(report, run)| (!is_news(report, run), run.reported_at));
        let mut news = runs.iter().filter(|(it, run)| is_news(it, run)).count();
        let (mut room, mut reports) = (REPORTS_MAX_BYTES - LIST_BYTES, Vec::new());
        for (whole, run) in runs {
            let routes = whole.routes.len();
            let part = if news > 1 { room / news } else { room };
            news = news.saturating_sub(1);
            let Some(report) = report::fit(whole, part.max(BARE_REPORT_BYTES).min(room)) else {
                break;
            };
            room -= report::encoded_len(&report);
            run.reported = Some((report.phase, report.bad));
            // A run with more routes than fit alone must not keep all others out.
            if report.routes.len() == routes || reports.is_empty() {
                run.reported_at = now;
            }
            reports.push(report);
        }
        reports
    }

    /// Returns this node's part of the slack, in whole requests that sum up over the serving nodes.
    fn slack_part(&self, service: &str) -> u32 {
        let slack = self.bounds.map_or(0.0, |it| it.canary_slack * SLACK_USED) as u32;
        let nodes = self.serving.len() as u32 + 1;
        slack_part(slack, rank(service, &self.own, &self.serving), nodes)
    }
}

/// Judges the version of a run that has no verdict yet.
fn judge(service: &Arc<str>, run: &mut Run, now: Moment, outputs: &mut Vec<Output>) {
    if run.phase.is_final() || run.bad {
        return;
    }
    let fault = run.judge(now);
    if fault.is_some() {
        run.bad = true;
        outputs.push(change(service, run, fault));
    }
}

fn change(service: &Arc<str>, run: &Run, fault: Option<Fault>) -> Output {
    let mut evidence = Tally::default();
    for tally in run.totals().values() {
        evidence.add(tally);
    }
    Output::Changed {
        service: Arc::clone(service),
        version: Arc::clone(&run.order.version),
        phase: run.phase,
        fault,
        bad: run.bad,
        evidence,
    }
}

/// Returns the place of a node among the serving ones for a service, from zero, by rendezvous hashing.
fn rank(service: &str, own: &str, others: &BTreeSet<String>) -> u32 {
    let own_weight = (weight(service, own), own);
    let before = others
        .iter()
        .filter(|node| (weight(service, node), node.as_str()) > own_weight);
    before.count() as u32
}

fn weight(service: &str, node: &str) -> u64 {
    hash_parts([service, node]).digest()
}
