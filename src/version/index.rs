//! One index of the settings tree, with inheritance resolved for every data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use super::draft::{Sections, Values};
use super::key::{self, Group, Key, Value};
use super::policy::{Query, Scatter, Target};
use super::section::Section;
use super::tree::{Digest, section_of, write_section};

/// The values that every index inherits from the sections outside the indexes.
///
/// If they change, every index is resolved again. Whether a data centre is in service is not among
/// them, so that taking one out of service resolves no index.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Inherited {
    defaults: Values,
    /// The name and the target values of each data centre, sorted by name.
    data_centres: Vec<(String, Values)>,
}

impl Inherited {
    pub(crate) fn new(root: &Sections) -> Self {
        let mut defaults = Values::new();
        let mut data_centres = Vec::new();
        for (path, values) in root {
            match section_of(path) {
                Section::Defaults => defaults.clone_from(values),
                Section::DataCentre(name) => {
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

    /// Returns the position of the data centre in the per-data-centre tables of an index.
    pub(crate) fn position(&self, name: &str) -> Option<usize> {
        self.data_centres
            .binary_search_by(|(known, _)| known.as_str().cmp(name))
            .ok()
    }

    fn data_centre_values(&self, name: &str) -> Option<&Values> {
        self.position(name)
            .map(|position| &self.data_centres[position].1)
    }

    pub(crate) fn data_centre_names(&self) -> impl Iterator<Item = &str> {
        self.data_centres.iter().map(|(name, _)| name.as_str())
    }
}

/// An index: its sections, and the resolved values that requests look up.
#[derive(Debug)]
pub(crate) struct Index {
    sections: Sections,
    digest: Digest,
    /// The values of services that set none themselves, by position of the data centre.
    default_targets: Box<[Target]>,
    /// The services; one that sets values has a table of its own, by position of the data centre.
    services: BTreeMap<String, Option<Box<[Target]>>>,
    kinds: BTreeMap<String, Kind>,
}

/// The resolved values of a query kind.
#[derive(Debug)]
struct Kind {
    /// The values in data centres for which the kind has no section.
    default: Query,
    /// The values in data centres for which the kind has a section, by position.
    by_data_centre: BTreeMap<usize, Query>,
}

impl Index {
    /// Resolves the values of the index for every data centre.
    ///
    /// Sections are sorted by path, so that each one comes after its parent, whose path is its prefix.
    pub(crate) fn resolve(name: &str, sections: Sections, inherited: &Inherited) -> Self {
        let table = |resolve_at: &dyn Fn(&str) -> Target| -> Box<[Target]> {
            inherited.data_centre_names().map(resolve_at).collect()
        };
        let default_targets =
            table(&|at| resolve_target(inherited, &sections, Section::IndexInDataCentre(name, at)));
        let mut services: BTreeMap<String, Option<Box<[Target]>>> = BTreeMap::new();
        let mut kinds: BTreeMap<String, Kind> = BTreeMap::new();
        let mut text = String::new();
        for (path, values) in &sections {
            write_section(&mut text, path, values);
            let section = section_of(path);
            match section {
                Section::Kind(_, kind) => {
                    let kind_values = Kind {
                        default: resolve_query(inherited, &sections, section),
                        by_data_centre: BTreeMap::new(),
                    };
                    kinds.insert(kind.to_owned(), kind_values);
                }
                Section::KindInDataCentre(_, kind, at) => {
                    if let (Some(kind), Some(position)) =
                        (kinds.get_mut(kind), inherited.position(at))
                    {
                        let found = resolve_query(inherited, &sections, section);
                        kind.by_data_centre.insert(position, found);
                    }
                }
                Section::Service(_, service) => {
                    let resolve = |at: &str| {
                        resolve_target(
                            inherited,
                            &sections,
                            Section::ServiceInDataCentre(name, service, at),
                        )
                    };
                    let own = if values.is_empty() {
                        None
                    } else {
                        Some(table(&resolve))
                    };
                    services.insert(service.to_owned(), own);
                }
                Section::ServiceInDataCentre(_, service, at) => {
                    if let (Some(own), Some(position)) =
                        (services.get_mut(service), inherited.position(at))
                    {
                        let table = own.get_or_insert_with(|| default_targets.clone());
                        table[position] = resolve_target(inherited, &sections, section);
                    }
                }
                _ => {}
            }
        }
        Self {
            digest: Digest(xxh3_128(text.as_bytes())),
            sections,
            default_targets,
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

    pub(crate) fn target_policy(&self, service: &str, position: usize) -> Option<Target> {
        let own = self.services.get(service)?;
        own.as_ref()
            .unwrap_or(&self.default_targets)
            .get(position)
            .copied()
    }

    pub(crate) fn query_policy(&self, kind: &str, position: usize) -> Option<Query> {
        let kind = self.kinds.get(kind)?;
        let here = kind.by_data_centre.get(&position).copied();
        Some(here.unwrap_or(kind.default))
    }
}

/// The sections in which the values of one section are looked up, most specific first.
struct Levels<'a>(smallvec::SmallVec<[&'a Values; 6]>);

impl<'a> Levels<'a> {
    fn new(
        inherited: &'a Inherited,
        sections: &'a Sections,
        section: Section<'_>,
        group: Group,
    ) -> Self {
        let found = section
            .lookup_levels(group)
            .into_iter()
            .filter_map(|level| match level {
                Section::Defaults => Some(&inherited.defaults),
                Section::DataCentre(name) => inherited.data_centre_values(name),
                _ => sections.get(&level.to_string()),
            });
        Self(found.collect())
    }

    fn get(&self, name: &str) -> Value {
        self.0
            .iter()
            .find_map(|values| values.get(name).cloned())
            .or_else(|| key::find(name).map(Key::built_in))
            .expect("the key is in the table of keys")
    }

    fn integer(&self, name: &str) -> u64 {
        match self.get(name) {
            Value::Integer(number) => number,
            other => unreachable!("the key {name} only takes whole numbers, found {other}"),
        }
    }

    fn narrow_integer<N>(&self, name: &str) -> N
    where
        N: TryFrom<u64>,
    {
        let Ok(number) = N::try_from(self.integer(name)) else {
            unreachable!("the allowed range of the key {name} fits its integer type");
        };
        number
    }

    fn decimal(&self, name: &str) -> f64 {
        match self.get(name) {
            Value::Decimal(millionths) => f64::from(millionths) / 1e6,
            other => unreachable!("the key {name} only takes decimals, found {other}"),
        }
    }
}

fn resolve_target(inherited: &Inherited, sections: &Sections, section: Section<'_>) -> Target {
    let levels = Levels::new(inherited, sections, section, Group::Target);
    Target {
        slots: levels.narrow_integer("slots"),
        connections: levels.narrow_integer("connections"),
        connect: Duration::from_millis(levels.integer("connect_ms")),
        cold_concurrency: levels.narrow_integer("cold_concurrency"),
        cold_rate: levels.narrow_integer("cold_rate"),
        cold_answers: levels.narrow_integer("cold_answers"),
        queue: levels.narrow_integer("queue"),
    }
}

fn resolve_query(inherited: &Inherited, sections: &Sections, section: Section<'_>) -> Query {
    let levels = Levels::new(inherited, sections, section, Group::Query);
    Query {
        deadline: Duration::from_millis(levels.integer("deadline_ms")),
        least_coverage: levels.decimal("least_coverage"),
        straggler_wait: Duration::from_millis(levels.integer("straggler_wait_ms")),
        hedge_percent: levels.decimal("hedge_percent"),
        priority: levels.narrow_integer("priority"),
        idempotent: levels.get("idempotent") == Value::Bool(true),
        scatter: match levels.get("scatter") {
            Value::Choice("one") => Scatter::One,
            _ => Scatter::All,
        },
        limit: levels.narrow_integer("limit"),
    }
}
