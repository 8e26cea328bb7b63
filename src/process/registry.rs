//! Registry: the targets that a node knows, by service, as listed in the platform's store.
//!
//! During an outage of the store, entries expire there although their targets are alive. A removal during an
//! outage or shortly after it therefore takes effect only if the target does not register again. See
//! `docs/decisions/008-platform.md`.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use crate::time::Moment;
use crate::version::item::{TargetReport, TargetState};

new_key_type! {
    /// Identifies one run of a target: a restart under the same name gets a new key.
    pub struct TargetKey;
}

/// How long after an outage of the store an expired entry may still be registered again. Targets register
/// again about two seconds after the store returns (PROTOCOL, "Service discovery").
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// One run of a target, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The name of the target in the store and towards callers.
    pub name: Arc<str>,
    /// The last report of the target.
    pub report: TargetReport,
    /// Until when the target counts as cold and gets requests at a limited rate.
    pub cold_until: Moment,
    /// Since when the target's entry has been missing in the store, if it was removed during or shortly after
    /// an outage.
    missing_since: Option<Moment>,
    /// Whether another target answered at this target's address; it then gets no work until it starts again.
    misdirected: bool,
    /// Whether the target has stated in an answer that it is leaving; it then gets no work until it starts again.
    leaving: bool,
}

/// All known targets, with the data centres that are evacuated and the state of the store.
#[derive(Debug, Default)]
pub struct Registry {
    targets: SlotMap<TargetKey, Target>,
    keys_by_name: HashMap<Arc<str>, TargetKey>,
    keys_by_service: HashMap<Arc<str>, SmallVec<[TargetKey; 4]>>,
    evacuated_data_centres: BTreeSet<Arc<str>>,
    outage: Outage,
}

/// Whether the store can be relied on: the entries of live targets expire during an outage.
#[derive(Debug, Clone, Copy, Default)]
enum Outage {
    #[default]
    None,
    /// The store does not answer.
    Ongoing,
    /// The store answers again, since this moment.
    Over(Moment),
}

/// What a change did to one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A run of a target was added.
    Added(TargetKey),
    /// A known target changed; a removed entry that is kept because of an outage also counts as changed.
    Changed(TargetKey),
    /// A run of a target was removed from the registry.
    Removed(TargetKey),
}

/// The effects of one change, in the order in which they must be applied.
pub type Effects = SmallVec<[Effect; 2]>;

impl Registry {
    /// Adds a target or updates its report. A new process, address or service under a known name replaces the
    /// old run of that target.
    pub fn put(&mut self, name: &Arc<str>, report: TargetReport, now: Moment) -> Effects {
        let mut effects = Effects::new();
        if let Some(&key) = self.keys_by_name.get(name) {
            let known = &mut self.targets[key];
            let same_start = known.report.born == report.born
                && known.report.address == report.address
                && known.report.service == report.service;
            if same_start {
                known.cold_until = now + report.cold;
                known.report = report;
                known.missing_since = None;
                effects.push(Effect::Changed(key));
                return effects;
            }
            effects.extend(self.remove_key(key));
        }
        let target = Target {
            name: Arc::clone(name),
            cold_until: now + report.cold,
            missing_since: None,
            misdirected: false,
            leaving: false,
            report,
        };
        let service = Arc::clone(&target.report.service);
        let key = self.targets.insert(target);
        self.keys_by_name.insert(Arc::clone(name), key);
        self.keys_by_service.entry(service).or_default().push(key);
        effects.push(Effect::Added(key));
        effects
    }

    /// Compares the start of the process that a report tells of with that of the known process of the target.
    /// Returns `None` if the target is unknown or either does not state its start.
    pub fn compare_start(&self, name: &str, report: &TargetReport) -> Option<Ordering> {
        let key = self.keys_by_name.get(name)?;
        let known = self.targets[*key].report.born?;
        Some(report.born?.cmp(&known))
    }

    /// Applies what a report restricts that may be older than the last one: the target drains or is cold.
    pub fn restrict(&mut self, name: &str, report: &TargetReport, now: Moment) {
        let Some(target) = self
            .keys_by_name
            .get(name)
            .and_then(|key| self.targets.get_mut(*key))
        else {
            return;
        };
        target.cold_until = target.cold_until.max(now + report.cold);
        if report.state == TargetState::Draining {
            target.report.state = TargetState::Draining;
        }
    }

    /// Handles the removal of a target's entry from the store. During or shortly after an outage the target
    /// is kept and only marked as missing.
    pub fn remove(&mut self, name: &str, now: Moment) -> Option<Effect> {
        let key = *self.keys_by_name.get(name)?;
        if self.keeps_missing_targets(now) {
            self.targets[key].missing_since.get_or_insert(now);
            return Some(Effect::Changed(key));
        }
        self.remove_key(key)
    }

    /// Removes the target whose entry in the store became unusable, also during an outage.
    pub fn invalidate(&mut self, name: &str) -> Option<Effect> {
        let key = *self.keys_by_name.get(name)?;
        self.remove_key(key)
    }

    /// Records that another target answered at the address of this one, which then gets no work.
    pub fn mark_misdirected(&mut self, key: TargetKey) -> Option<Effect> {
        let target = self.targets.get_mut(key)?;
        target.misdirected = true;
        Some(Effect::Changed(key))
    }

    /// Records that the target has stated in an answer that it is leaving. Its entry in the store may still say that it is
    /// ready. Returns whether this was not known.
    pub fn mark_leaving(&mut self, key: TargetKey) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| !std::mem::replace(&mut target.leaving, true))
    }

    /// Sets how long the target stays cold from now on, as the target itself reports.
    pub fn set_cold(&mut self, key: TargetKey, cold: Duration, now: Moment) {
        if let Some(target) = self.targets.get_mut(key) {
            target.cold_until = now + cold;
        }
    }

    /// Starts or ends the evacuation of a data centre, whose targets get no new work meanwhile.
    pub fn set_evacuated(&mut self, data_centre: &Arc<str>, evacuated: bool) {
        if evacuated {
            self.evacuated_data_centres.insert(Arc::clone(data_centre));
        } else {
            self.evacuated_data_centres.remove(data_centre);
        }
    }

    /// Records whether the store answers.
    pub fn set_store_reachable(&mut self, answers: bool, now: Moment) {
        self.outage = match (self.outage, answers) {
            (_, false) => Outage::Ongoing,
            (Outage::Ongoing, true) => Outage::Over(now),
            (outage, true) => outage,
        };
    }

    /// Removes the targets that were not registered again within [`REREGISTRATION_GRACE`] after an outage.
    pub fn expire(&mut self, now: Moment) -> Vec<Effect> {
        if self.keeps_missing_targets(now) {
            return Vec::new();
        }
        let gone: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| target.missing_since.is_some())
            .map(|(key, _)| key)
            .collect();
        gone.into_iter()
            .filter_map(|key| self.remove_key(key))
            .collect()
    }

    /// Returns a target, or `None` if it has been removed.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns all known targets, including those that take no work.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// Returns the targets of a service that take new work: ready, not leaving, not misdirected and not evacuated.
    pub fn usable(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.known(service)
            .filter(|(_, target)| self.takes_work(target))
    }

    /// Returns all known targets of a service, including those that take no work.
    pub fn known(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.keys_by_service.get(service).into_iter().flatten();
        keys.map(|&key| (key, &self.targets[key]))
    }

    fn takes_work(&self, target: &Target) -> bool {
        target.report.state == TargetState::Ready
            && !target.misdirected
            && !target.leaving
            && !self
                .evacuated_data_centres
                .contains(&target.report.data_centre)
    }

    fn keeps_missing_targets(&self, now: Moment) -> bool {
        match self.outage {
            Outage::None => false,
            Outage::Ongoing => true,
            Outage::Over(since) => now.since(since) < REREGISTRATION_GRACE,
        }
    }

    fn remove_key(&mut self, key: TargetKey) -> Option<Effect> {
        let target = self.targets.remove(key)?;
        self.keys_by_name.remove(&target.name);
        if let Some(keys) = self.keys_by_service.get_mut(&target.report.service) {
            keys.retain(|known| *known != key);
            if keys.is_empty() {
                self.keys_by_service.remove(&target.report.service);
            }
        }
        Some(Effect::Removed(key))
    }
}
