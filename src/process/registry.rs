//! The targets that a node knows, by service.
//!
//! Entries come from the store. While the store is away, entries lapse although their targets live, so
//! a removal during an outage or shortly after it takes effect only if the target does not come back.
//! See `docs/decisions/008-platform.md`.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use crate::time::Moment;
use crate::version::item::{TargetReport, TargetState};

new_key_type! {
    /// Identifies one start of a target.
    pub struct TargetKey;
}

/// How long after an outage of the store a lapsed entry may still come back. Targets register again
/// about two seconds after the store's return (PROTOCOL, "Service discovery").
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// One start of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The name that the target has in the store and towards callers.
    pub name: Arc<str>,
    /// What it reported last.
    pub report: TargetReport,
    /// Until when it counts as cold.
    pub cold_until: Moment,
    /// Since when its entry has been missing because of an outage.
    missing_since: Option<Moment>,
    /// Whether another target answered at its address.
    misdirected: bool,
}

/// The targets that a node knows.
#[derive(Debug, Default)]
pub struct Registry {
    targets: SlotMap<TargetKey, Target>,
    keys_by_name: HashMap<Arc<str>, TargetKey>,
    keys_by_service: HashMap<Arc<str>, SmallVec<[TargetKey; 4]>>,
    evacuated_data_centres: BTreeSet<Arc<str>>,
    outage: Outage,
}

/// Whether entries in the store say what is true.
#[derive(Debug, Clone, Copy, Default)]
enum Outage {
    #[default]
    None,
    /// The store does not answer.
    Ongoing,
    /// The store has been back since this moment.
    Over(Moment),
}

/// What a change did to the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A start of a target is new.
    Added(TargetKey),
    /// A known target changed.
    Changed(TargetKey),
    /// This start of a target is over, or gets no more requests.
    Removed(TargetKey),
}

/// The effects of one change, in order.
pub type Effects = SmallVec<[Effect; 2]>;

impl Registry {
    /// Takes the present report of a target.
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
            report,
        };
        let service = Arc::clone(&target.report.service);
        let key = self.targets.insert(target);
        self.keys_by_name.insert(Arc::clone(name), key);
        self.keys_by_service.entry(service).or_default().push(key);
        effects.push(Effect::Added(key));
        effects
    }

    /// Takes the removal of a target's entry.
    pub fn remove(&mut self, name: &str, now: Moment) -> Option<Effect> {
        let key = *self.keys_by_name.get(name)?;
        if self.keeps_missing_targets(now) {
            self.targets[key].missing_since.get_or_insert(now);
            return Some(Effect::Changed(key));
        }
        self.remove_key(key)
    }

    /// Takes an entry that names no usable target.
    pub fn invalidate(&mut self, name: &str) -> Option<Effect> {
        let key = *self.keys_by_name.get(name)?;
        self.remove_key(key)
    }

    /// Notes that another target answered at the address of this one.
    pub fn mark_misdirected(&mut self, key: TargetKey) -> Option<Effect> {
        let target = self.targets.get_mut(key)?;
        target.misdirected = true;
        Some(Effect::Changed(key))
    }

    /// Takes the time that a target says it stays cold.
    pub fn set_cold(&mut self, key: TargetKey, cold: Duration, now: Moment) {
        if let Some(target) = self.targets.get_mut(key) {
            target.cold_until = now + cold;
        }
    }

    /// Starts or ends the evacuation of a data centre.
    pub fn set_evacuated(&mut self, data_centre: &Arc<str>, evacuated: bool) {
        if evacuated {
            self.evacuated_data_centres.insert(Arc::clone(data_centre));
        } else {
            self.evacuated_data_centres.remove(data_centre);
        }
    }

    /// Notes whether the store answers.
    pub fn set_store_reachable(&mut self, answers: bool, now: Moment) {
        self.outage = match (self.outage, answers) {
            (_, false) => Outage::Ongoing,
            (Outage::Ongoing, true) => Outage::Over(now),
            (outage, true) => outage,
        };
    }

    /// Drops the targets that did not come back after an outage.
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

    /// Returns a target that is still known.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// Returns the targets of a service that take new work.
    pub fn usable(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.keys_by_service.get(service).into_iter().flatten();
        keys.map(|&key| (key, &self.targets[key]))
            .filter(|(_, target)| self.takes_work(target))
    }

    fn takes_work(&self, target: &Target) -> bool {
        target.report.state == TargetState::Ready
            && !target.misdirected
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
