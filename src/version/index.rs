//! One index of the settings tree, resolved for every data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use super::draft::{Sections, Values};
use super::key::{self, Group, Key, Value};
use super::place::Place;
use super::policy::{Query, Scatter, Target};
use super::tree::{Digest, place_of, write_section};

/// What every index inherits from outside; an index is resolved again only if this changes.
///
/// Whether a data centre is in service is not part of it, so that taking one out costs nothing here.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Basis {
    defaults: Values,
    /// The target values of each data centre, sorted by name; the position is its slot.
    data_centres: Vec<(String, Values)>,
}

impl Basis {
    pub(crate) fn new(root: &Sections) -> Self {
        let mut defaults = Values::new();
        let mut data_centres = Vec::new();
        for (path, values) in root {
            match place_of(path) {
                Place::Defaults => defaults.clone_from(values),
                Place::DataCentre(name) => {
                    let is_target =
                        |name: &str| key::find(name).is_some_and(|key| key.group == Group::Target);
                    let values = values.iter().filter(|(name, _)| is_target(name));
                    let values = values.map(|(name, value)| (*name, value.clone()));
                    data_centres.push((name.to_owned(), values.collect()));
                }
                _ => {}
            }
        }
        data_centres.sort_by(|(a, _): &(String, Values), (b, _)| a.cmp(b));
        Self {
            defaults,
            data_centres,
        }
    }

    /// Returns the position of the data centre in the tables of indexes.
    pub(crate) fn slot(&self, name: &str) -> Option<usize> {
        self.data_centres
            .binary_search_by(|(known, _)| known.as_str().cmp(name))
            .ok()
    }

    fn values(&self, name: &str) -> Option<&Values> {
        self.slot(name).map(|slot| &self.data_centres[slot].1)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.data_centres.iter().map(|(name, _)| name.as_str())
    }
}

/// An index with its sections and the values that its requests look up.
#[derive(Debug)]
pub(crate) struct Index {
    sections: Sections,
    digest: Digest,
    /// The values of services without sections of their own, by data centre.
    shared: Box<[Target]>,
    /// Services; those that set values have a table of their own.
    services: BTreeMap<String, Option<Box<[Target]>>>,
    kinds: BTreeMap<String, Kind>,
}

#[derive(Debug)]
struct Kind {
    everywhere: Query,
    by_data_centre: BTreeMap<usize, Query>,
}

impl Index {
    /// Resolves the index; a section follows its parent, because its path is longer.
    pub(crate) fn resolve(name: &str, sections: Sections, basis: &Basis) -> Self {
        let table = |place: &dyn Fn(&str) -> Target| -> Box<[Target]> {
            basis.names().map(place).collect()
        };
        let shared = table(&|at| target(basis, &sections, Place::IndexAt(name, at)));
        let mut services: BTreeMap<String, Option<Box<[Target]>>> = BTreeMap::new();
        let mut kinds: BTreeMap<String, Kind> = BTreeMap::new();
        let mut text = String::new();
        for (path, values) in &sections {
            write_section(&mut text, path, values);
            let place = place_of(path);
            match place {
                Place::Kind(_, kind) => {
                    let kind_values = Kind {
                        everywhere: query(basis, &sections, place),
                        by_data_centre: BTreeMap::new(),
                    };
                    kinds.insert(kind.to_owned(), kind_values);
                }
                Place::KindAt(_, kind, at) => {
                    if let (Some(kind), Some(slot)) = (kinds.get_mut(kind), basis.slot(at)) {
                        let found = query(basis, &sections, place);
                        kind.by_data_centre.insert(slot, found);
                    }
                }
                Place::Service(_, service) => {
                    let resolve =
                        |at: &str| target(basis, &sections, Place::ServiceAt(name, service, at));
                    let own = if values.is_empty() {
                        None
                    } else {
                        Some(table(&resolve))
                    };
                    services.insert(service.to_owned(), own);
                }
                Place::ServiceAt(_, service, at) => {
                    if let (Some(own), Some(slot)) = (services.get_mut(service), basis.slot(at)) {
                        let table = own.get_or_insert_with(|| shared.clone());
                        table[slot] = target(basis, &sections, place);
                    }
                }
                _ => {}
            }
        }
        Self {
            digest: Digest(xxh3_128(text.as_bytes())),
            sections,
            shared,
            services,
            kinds,
        }
    }

    pub(crate) fn sections(&self) -> &Sections {
        &self.sections
    }

    pub(crate) fn digest(&self) -> Digest {
        self.digest
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    pub(crate) fn kinds(&self) -> impl Iterator<Item = &str> {
        self.kinds.keys().map(String::as_str)
    }

    pub(crate) fn target(&self, service: &str, slot: usize) -> Option<Target> {
        let own = self.services.get(service)?;
        own.as_ref().unwrap_or(&self.shared).get(slot).copied()
    }

    pub(crate) fn query(&self, kind: &str, slot: usize) -> Option<Query> {
        let kind = self.kinds.get(kind)?;
        let here = kind.by_data_centre.get(&slot).copied();
        Some(here.unwrap_or(kind.everywhere))
    }
}

/// The sections that a place inherits from, looked up once for all of its keys.
struct Levels<'a>(smallvec::SmallVec<[&'a Values; 6]>);

impl<'a> Levels<'a> {
    fn new(basis: &'a Basis, sections: &'a Sections, place: Place<'_>, group: Group) -> Self {
        let found = place
            .levels(group)
            .into_iter()
            .filter_map(|level| match level {
                Place::Defaults => Some(&basis.defaults),
                Place::DataCentre(name) => basis.values(name),
                _ => sections.get(&level.to_string()),
            });
        Self(found.collect())
    }

    fn get(&self, name: &str) -> Value {
        self.0
            .iter()
            .find_map(|values| values.get(name).cloned())
            .or_else(|| key::find(name).map(Key::built_in))
            .expect("only known keys are looked up")
    }

    fn whole(&self, name: &str) -> u64 {
        match self.get(name) {
            Value::Whole(number) => number,
            other => unreachable!("{name} is checked to be a whole number, found {other}"),
        }
    }

    fn narrow<N>(&self, name: &str) -> N
    where
        N: TryFrom<u64>,
    {
        let Ok(number) = N::try_from(self.whole(name)) else {
            unreachable!("the range of {name} fits its type");
        };
        number
    }

    fn decimal(&self, name: &str) -> f64 {
        match self.get(name) {
            Value::Decimal(millionths) => f64::from(millionths) / 1e6,
            other => unreachable!("{name} is checked to be a decimal, found {other}"),
        }
    }
}

fn target(basis: &Basis, sections: &Sections, place: Place<'_>) -> Target {
    let levels = Levels::new(basis, sections, place, Group::Target);
    Target {
        slots: levels.narrow("slots"),
        connections: levels.narrow("connections"),
        connect: Duration::from_millis(levels.whole("connect_ms")),
        cold_concurrency: levels.narrow("cold_concurrency"),
        cold_rate: levels.narrow("cold_rate"),
        cold_answers: levels.narrow("cold_answers"),
        queue: levels.narrow("queue"),
    }
}

fn query(basis: &Basis, sections: &Sections, place: Place<'_>) -> Query {
    let levels = Levels::new(basis, sections, place, Group::Query);
    Query {
        deadline: Duration::from_millis(levels.whole("deadline_ms")),
        least_coverage: levels.decimal("least_coverage"),
        straggler_wait: Duration::from_millis(levels.whole("straggler_wait_ms")),
        hedge_percent: levels.decimal("hedge_percent"),
        priority: levels.narrow("priority"),
        idempotent: levels.get("idempotent") == Value::Flag(true),
        scatter: match levels.get("scatter") {
            Value::Word("one") => Scatter::One,
            _ => Scatter::All,
        },
        limit: levels.narrow("limit"),
    }
}
