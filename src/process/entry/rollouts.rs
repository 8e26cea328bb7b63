//! Connects the roll-outs to the store, the clock and the other nodes.

use std::sync::Arc;

use super::Shared;
use crate::connection::keyspace::Keyspace;
use crate::process::meters::PhaseLabel;
use crate::process::mirror::Change;
use crate::rollout::report::Report;
use crate::rollout::state::{Event, Output};
use crate::rollout::{Phase, Record, writer};
use crate::time::Moment;
use crate::version::item::{Codec, Item, ItemKind};

/// The part of the bound on roll-backs within which more than half of the nodes must have been heard for a node to count as
/// in touch. The rest is for the verdict itself and for the requests under way.
const TOUCH_DIVISOR: u32 = 4;

/// Writes a record to the store in a task of its own.
type Write<P> = Box<dyn Fn(Arc<Shared<P>>, Arc<str>, Record) + Send>;

/// Carries out what the roll-outs decide.
pub struct RolloutDriver<P> {
    shared: Arc<Shared<P>>,
    codec: Arc<dyn Codec>,
    write: Write<P>,
}

impl<P> RolloutDriver<P>
where
    P: Send + Sync + 'static,
{
    /// Creates the driver. Writes run in tasks of their own, never in a request.
    pub fn open<K>(shared: &Arc<Shared<P>>, keyspace: &Arc<K>, codec: &Arc<dyn Codec>) -> Self
    where
        K: Keyspace,
    {
        let (keyspace, writer_codec) = (Arc::clone(keyspace), Arc::clone(codec));
        let write = move |shared: Arc<Shared<P>>, service: Arc<str>, record: Record| {
            let (keyspace, codec) = (Arc::clone(&keyspace), Arc::clone(&writer_codec));
            tokio::spawn(async move {
                let record = writer::write(&*keyspace, &codec, &service, record).await;
                shared.meters.count_store_call("rollout", record.is_some());
                shared.step_rollouts(Event::Written { service, record });
            });
        };
        Self {
            shared: Arc::clone(shared),
            codec: Arc::clone(codec),
            write: Box::new(write),
        }
    }

    fn is_on(&self) -> bool {
        self.shared.config.rollout.is_some()
    }

    /// Applies a change of an order or a record. Returns whether the change is one of these.
    pub fn apply(&self, change: &Change, now: Moment) -> bool {
        let kind = self.codec.classify(change.key());
        let event = match (kind, change) {
            (ItemKind::RolloutOrder(_) | ItemKind::Rollout(_), _) if !self.is_on() => None,
            (ItemKind::RolloutOrder(service), Change::Removed(_)) => {
                log::info!(service:% = service; "order of a roll-out removed");
                Some(Event::OrderRemoved { service })
            }
            (ItemKind::RolloutOrder(service), Change::Put(key, value)) => {
                let mirrors = self.shared.mirrors();
                let revision = mirrors.iter().filter_map(|it| it.revision_of(key));
                let revision = revision.max().unwrap_or_default();
                drop(mirrors);
                match self.codec.decode(key, value) {
                    Item::RolloutOrder(order) => Some(Event::Order {
                        service,
                        order,
                        revision,
                        live: self.shared.is_ready() && !self.shared.is_uncertain(now),
                    }),
                    item => self.reject(key, &item),
                }
            }
            (ItemKind::Rollout(service), Change::Put(key, value)) => {
                match self.codec.decode(key, value) {
                    Item::Rollout(record) => Some(Event::Record { service, record }),
                    item => self.reject(key, &item),
                }
            }
            (ItemKind::Rollout(service), Change::Removed(_)) => {
                Some(Event::RecordRemoved { service })
            }
            (ItemKind::RolloutStatus(_), _) => None,
            _ => return false,
        };
        if let Some(event) = event {
            self.shared.step_rollouts(event);
        }
        true
    }

    fn reject(&self, key: &str, item: &Item) -> Option<Event> {
        self.shared.meters.unreadable_items.inc();
        if let Item::Unreadable(cause) = item {
            log::warn!(key, cause; "item unreadable, last good one kept");
        }
        None
    }

    /// Returns the changes that a restored copy shows without those of orders. What was acknowledged last stays in force:
    /// the operator writes an order again that the copy lacks.
    pub fn without_orders(&self, changes: Vec<Change>) -> Vec<Change> {
        let is_order = |change: &Change| {
            let kind = self.codec.classify(change.key());
            matches!(kind, ItemKind::RolloutOrder(_)) && self.is_on()
        };
        changes.into_iter().filter(|it| !is_order(it)).collect()
    }

    /// Forgets which records the store holds, because it has come back from an older copy.
    pub fn reset_stored(&self) {
        self.shared.step_rollouts(Event::Restored);
    }

    /// Takes in the reports of another node.
    pub fn hear(&self, node: &str, reports: Vec<Report>) {
        if !reports.is_empty() {
            let node = node.to_owned();
            self.shared.step_rollouts(Event::Heard { node, reports });
        }
    }

    /// Returns the reports for the next heartbeat.
    pub fn report(&self) -> Vec<Report> {
        let now = self.shared.clock.now();
        self.shared.placement().rollouts.report(now)
    }

    /// Judges the versions, and writes what this node has to write.
    pub fn tick(&self, serves: bool, now: Moment) {
        let Some(bounds) = self.shared.config.rollout else {
            return;
        };
        if self.shared.placement().rollouts.is_empty() && !serves {
            return;
        }
        let roster = self.shared.roster();
        let serving = roster.serving_nodes(now).map(str::to_owned).collect();
        let (heard, known) = roster.count_heard(bounds.rollback / TOUCH_DIVISOR, now);
        drop(roster);
        // Without the store, all settings are unconfirmed, but verdicts still come with the heartbeats.
        let in_touch = !self.shared.is_uncertain(now) || (known > 0 && 2 * heard > known);
        let nodes = Event::Nodes {
            serving,
            serves,
            in_touch,
        };
        let outputs = self.shared.placement().tick_rollouts(nodes, now);
        for output in outputs {
            match output {
                Output::Write { service, record } => {
                    (self.write)(Arc::clone(&self.shared), service, record);
                }
                Output::Changed { .. } => log_change(&output),
            }
        }
        let placement = self.shared.placement();
        for phase in [
            Phase::Canary,
            Phase::Shifting,
            Phase::Completed,
            Phase::RolledBack,
        ] {
            let label = PhaseLabel {
                phase: phase.to_string(),
            };
            let count = placement.rollouts.count_in(phase);
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.shared.meters.rollouts.get_or_create(&label).set(count);
        }
    }
}

impl<P> Shared<P> {
    /// Passes an event that asks for no writes to the roll-outs. The next tick writes what follows from it.
    fn step_rollouts(&self, event: Event) {
        let now = self.clock.now();
        let outputs = self.placement().rollouts.step(event, now);
        outputs.iter().for_each(log_change);
    }
}

fn log_change(output: &Output) {
    let Output::Changed {
        service,
        version,
        phase,
        fault,
        bad,
        evidence,
    } = output
    else {
        return;
    };
    let fault = fault.map_or_else(String::new, |fault| fault.to_string());
    log::info!(
        service:% = service, version:% = version, phase:% = phase, bad, fault,
        new_answers = evidence.new.total(), new_failed = evidence.new.failed,
        old_answers = evidence.old.total(), old_failed = evidence.old.failed;
        "roll-out changed"
    );
}
