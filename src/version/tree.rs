//! The settings tree: checked once when it is read, resolved once per version.
//!
//! A tree is a set of sections (see [`Place`]) with the values that each sets itself. Inherited
//! values are resolved into tables when the tree is built, so that lookups by requests cost two or
//! three map accesses. See `docs/design.md`, section 7.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter, Write};
use std::time::Duration;

use derive_more::Display;
use serde_json::Value as Json;
use xxhash_rust::xxh3::xxh3_128;

use super::key::{self, Group, Key, Value};
use super::place::{Path, Place};
use super::policy::{Query, Scatter, Target};
use super::reader::Reader;

/// Longest settings file, in bytes; the store takes values up to the same size.
pub const FILE_LIMIT: usize = 1 << 20;
/// Most faults that one error lists.
pub const FAULT_LIMIT: usize = 20;
/// Why a settings file or a set of edits was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The name of the file, if the settings come from one.
    pub file: Option<String>,
    /// What is wrong, in the order of the file; at most [`FAULT_LIMIT`] are listed.
    pub faults: Vec<Fault>,
}

/// One fault of a settings file or of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, counted from one, if the settings come from a file.
    pub line: Option<u64>,
    /// The path of the key; it is empty where the text is not YAML at all.
    pub key: String,
    /// What is wrong and what is expected.
    pub reason: String,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.faults.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            if let Some(file) = &self.file {
                write!(f, "{file}:")?;
            }
            if let Some(line) = fault.line {
                write!(f, "{line}:")?;
            }
            if self.file.is_some() || fault.line.is_some() {
                f.write_str(" ")?;
            }
            if !fault.key.is_empty() {
                write!(f, "{}: ", fault.key)?;
            }
            f.write_str(&fault.reason)?;
        }
        Ok(())
    }
}

impl Fault {
    pub(crate) fn new<K, R>(key: K, reason: R) -> Self
    where
        K: Display,
        R: Into<String>,
    {
        Self {
            line: None,
            key: key.to_string(),
            reason: reason.into(),
        }
    }
}

/// Whether a data centre or an instance takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum State {
    /// It takes work.
    #[display("in")]
    In,
    /// Operators have taken it out of service.
    #[display("out")]
    Out,
}

/// The digest of a tree's canonical text.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, serde::Serialize, serde::Deserialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct Digest(pub u128);

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// A value and the level that it comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The value in force.
    pub value: Value,
    /// The level that sets it, or `built-in`.
    pub level: String,
    /// Values that the level overrides, most specific first.
    pub overridden: Vec<(String, Value)>,
}

/// The level of values that no section sets.
pub const BUILT_IN: &str = "built-in";

/// The values that one section sets itself, by the name of the key.
pub(crate) type Values = BTreeMap<&'static str, Value>;
/// All sections by their path; every named section has an entry, even if it sets nothing.
pub(crate) type Sections = BTreeMap<String, Values>;

/// One version of the settings.
#[derive(Debug, Clone)]
pub struct Tree {
    sections: Sections,
    digest: Digest,
    data_centres: BTreeMap<String, DataCentre>,
    instances: BTreeMap<String, State>,
    indexes: BTreeMap<String, Index>,
}

impl PartialEq for Tree {
    fn eq(&self, other: &Self) -> bool {
        self.sections == other.sections
    }
}

impl Default for Tree {
    fn default() -> Self {
        Self::build(Sections::new()).expect("an empty tree refers to nothing")
    }
}

#[derive(Debug, Clone)]
struct DataCentre {
    /// The place of the data centre in the tables of values by data centre.
    slot: usize,
    state: State,
    cells: Vec<String>,
    committed_rate: u64,
}

#[derive(Debug, Clone, Default)]
struct Index {
    /// The values of services without sections of their own, by data centre.
    shared: Vec<Target>,
    /// Services; those that set values have a table of their own.
    services: BTreeMap<String, Option<Box<[Target]>>>,
    kinds: BTreeMap<String, Kind>,
}

#[derive(Debug, Clone)]
struct Kind {
    everywhere: Query,
    by_data_centre: BTreeMap<usize, Query>,
}

impl Tree {
    /// Reads a settings file.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let refuse = |mut faults: Vec<Fault>| {
            faults.truncate(FAULT_LIMIT);
            Error {
                file: Some(file.to_owned()),
                faults,
            }
        };
        if text.len() > FILE_LIMIT {
            let reason = format!("the file is longer than {FILE_LIMIT} bytes");
            return Err(refuse(vec![Fault::new("", reason)]));
        }
        let reader = Reader::open(text).map_err(refuse)?;
        let lines = reader.lines;
        Self::build(reader.sections).map_err(|mut faults| {
            for fault in &mut faults {
                fault.line = lines.get(&fault.key).copied();
            }
            faults.sort_by_key(|fault| fault.line);
            refuse(faults)
        })
    }

    /// Checks what sections refer to and resolves inheritance.
    pub(crate) fn build(mut sections: Sections) -> Result<Self, Vec<Fault>> {
        sections.entry(Place::Defaults.to_string()).or_default();
        let faults = check_references(&sections);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut tree = Self {
            digest: Digest(0),
            data_centres: BTreeMap::new(),
            instances: BTreeMap::new(),
            indexes: BTreeMap::new(),
            sections,
        };
        tree.resolve();
        tree.digest = Digest(xxh3_128(tree.canonical().as_bytes()));
        Ok(tree)
    }

    /// Returns what the service's targets in the data centre bear.
    pub fn target(&self, index: &str, service: &str, data_centre: &str) -> Option<Target> {
        let slot = self.data_centres.get(data_centre)?.slot;
        let index = self.indexes.get(index)?;
        let own = index.services.get(service)?;
        own.as_deref().unwrap_or(&index.shared).get(slot).copied()
    }

    /// Returns how the query kind is answered by nodes of the data centre.
    pub fn query(&self, index: &str, kind: &str, data_centre: &str) -> Option<Query> {
        let slot = self.data_centres.get(data_centre)?.slot;
        let kind = self.indexes.get(index)?.kinds.get(kind)?;
        Some(
            kind.by_data_centre
                .get(&slot)
                .copied()
                .unwrap_or(kind.everywhere),
        )
    }

    /// Tells whether the settings have the index.
    pub fn has_index(&self, index: &str) -> bool {
        self.indexes.contains_key(index)
    }

    /// Tells whether the data centre is in service; an unknown one is not in the settings at all.
    pub fn data_centre_state(&self, name: &str) -> Option<State> {
        self.data_centres.get(name).map(|found| found.state)
    }

    /// Tells whether the node or target is in service; it is unless the settings say otherwise.
    pub fn instance_state(&self, name: &str) -> State {
        self.instances.get(name).copied().unwrap_or(State::In)
    }

    /// Returns the data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.data_centres.keys().map(String::as_str)
    }

    /// Returns the cells of the data centre.
    pub fn cells(&self, data_centre: &str) -> &[String] {
        self.data_centres
            .get(data_centre)
            .map_or(&[], |found| &found.cells)
    }

    /// Returns the requests per second that are paid for in the data centre.
    pub fn committed_rate(&self, data_centre: &str) -> u64 {
        self.data_centres
            .get(data_centre)
            .map_or(0, |found| found.committed_rate)
    }

    /// Returns the indexes.
    pub fn indexes(&self) -> impl Iterator<Item = &str> {
        self.indexes.keys().map(String::as_str)
    }

    /// Returns the services of the index.
    pub fn services(&self, index: &str) -> impl Iterator<Item = &str> {
        self.indexes
            .get(index)
            .into_iter()
            .flat_map(|found| found.services.keys().map(String::as_str))
    }

    /// Returns the query kinds of the index.
    pub fn kinds(&self, index: &str) -> impl Iterator<Item = &str> {
        self.indexes
            .get(index)
            .into_iter()
            .flat_map(|found| found.kinds.keys().map(String::as_str))
    }

    /// Returns the digest of the canonical text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the canonical text: one line for each section and each value, sorted.
    ///
    /// Equal trees have equal texts, whatever the order and the comments of the files they came
    /// from. Snapshots hold this text.
    pub fn canonical(&self) -> String {
        let mut text = String::new();
        for (path, values) in &self.sections {
            text.push_str(path);
            text.push('\n');
            for (name, value) in values {
                writeln!(text, "{path}.{name}={}", value.to_json())
                    .expect("writing to a string cannot fail");
            }
        }
        text
    }

    /// Reads a canonical text.
    pub fn from_canonical(text: &str) -> Result<Self, Error> {
        let mut sections = Sections::new();
        let mut faults = Vec::new();
        for line in text.lines() {
            if let Err(reason) = read_line(line, &mut sections) {
                faults.push(Fault::new(line, reason));
            }
        }
        let refuse = |mut faults: Vec<Fault>| {
            faults.truncate(FAULT_LIMIT);
            Error { file: None, faults }
        };
        if !faults.is_empty() {
            return Err(refuse(faults));
        }
        Self::build(sections).map_err(refuse)
    }

    /// Renders the tree as a settings file.
    pub fn to_yaml(&self) -> String {
        let mut root = serde_json::Map::new();
        for (path, values) in &self.sections {
            let mut map = &mut root;
            for part in path.split('.') {
                map = map
                    .entry(part)
                    .or_insert_with(|| Json::Object(serde_json::Map::new()))
                    .as_object_mut()
                    .expect("sections and keys have different paths");
            }
            for (name, value) in values {
                map.insert((*name).to_owned(), value.to_json());
            }
        }
        serde_saphyr::to_string(&root).expect("maps with text keys can be written as YAML")
    }

    /// Returns the value at the path and the level that sets it.
    ///
    /// The path may name a value that its own section does not set, such as
    /// `indexes.proof-viewing.services.s00.data_centres.dc2.slots`.
    pub fn explain(&self, path: &str) -> Result<Explanation, Error> {
        let refuse = |reason: String| Error {
            file: None,
            faults: vec![Fault::new(path, reason)],
        };
        let parsed = Path::parse(path).map_err(refuse)?;
        let Some(key) = parsed.key else {
            return Err(refuse(format!(
                "names {} and no key; add one of: {}",
                parsed.place.noun(),
                key_names(parsed.place)
            )));
        };
        if let Some(missing) = self.missing(parsed.place) {
            return Err(refuse(format!("{missing} is not in the settings")));
        }
        let mut set = parsed
            .place
            .levels(key.group)
            .into_iter()
            .filter_map(|level| {
                let value = self.sections.get(&level.to_string())?.get(key.name)?;
                Some((level.to_string(), value.clone()))
            })
            .chain([(BUILT_IN.to_owned(), key.built_in())]);
        let (level, value) = set.next().expect("every key has a built-in value");
        Ok(Explanation {
            value,
            level,
            overridden: set.collect(),
        })
    }

    /// Returns the first section that must exist for the place to be meaningful but does not.
    fn missing(&self, place: Place<'_>) -> Option<String> {
        if let Some(name) = place.refers_to() {
            let data_centre = Place::DataCentre(name).to_string();
            if !self.sections.contains_key(&data_centre) {
                return Some(data_centre);
            }
        }
        let declared = match place.parent() {
            Some(parent) if place.refers_to().is_some() => parent,
            _ => place,
        };
        // An instance is in service unless the settings mention it.
        if matches!(declared, Place::Instance(_)) {
            return None;
        }
        let path = declared.to_string();
        (!self.sections.contains_key(&path)).then_some(path)
    }

    /// Returns the value that the section sets itself.
    pub fn own_value(&self, place: Place<'_>, key: &str) -> Option<&Value> {
        self.sections.get(&place.to_string())?.get(key)
    }

    /// Tells whether the place is a declared section.
    pub fn has(&self, place: Place<'_>) -> bool {
        self.sections.contains_key(&place.to_string())
    }

    pub(crate) fn sections(&self) -> &Sections {
        &self.sections
    }

    fn resolve(&mut self) {
        let sections = &self.sections;
        let values = |place: Place<'_>| sections.get(&place.to_string());
        let mut names: Vec<&str> = Vec::new();
        for path in sections.keys() {
            let place = place_of(path);
            match place {
                Place::DataCentre(name) => {
                    let found = DataCentre::resolve(names.len(), values(place));
                    self.data_centres.insert(name.to_owned(), found);
                    names.push(name);
                }
                Place::Instance(name) => {
                    let state = state(values(place));
                    self.instances.insert(name.to_owned(), state);
                }
                _ => {}
            }
        }
        let slots = &self.data_centres;
        // A section follows its parent in the order of paths, because its path is longer.
        for path in sections.keys() {
            let place = place_of(path);
            match place {
                Place::Index(index) => {
                    let shared = names
                        .iter()
                        .map(|name| target(sections, Place::IndexAt(index, name)))
                        .collect();
                    let found = Index {
                        shared,
                        ..Index::default()
                    };
                    self.indexes.insert(index.to_owned(), found);
                }
                Place::Kind(index, kind) => {
                    let found = Kind {
                        everywhere: query(sections, place),
                        by_data_centre: BTreeMap::new(),
                    };
                    if let Some(index) = self.indexes.get_mut(index) {
                        index.kinds.insert(kind.to_owned(), found);
                    }
                }
                Place::KindAt(index, kind, name) => {
                    let kind = self
                        .indexes
                        .get_mut(index)
                        .and_then(|index| index.kinds.get_mut(kind));
                    if let (Some(kind), Some(found)) = (kind, slots.get(name)) {
                        kind.by_data_centre
                            .insert(found.slot, query(sections, place));
                    }
                }
                Place::Service(index, service) => {
                    let own = values(place).filter(|own| !own.is_empty()).map(|_| {
                        names
                            .iter()
                            .map(|name| target(sections, Place::ServiceAt(index, service, name)))
                            .collect()
                    });
                    if let Some(index) = self.indexes.get_mut(index) {
                        index.services.insert(service.to_owned(), own);
                    }
                }
                Place::ServiceAt(index, service, name) => {
                    let Some(found) = self.indexes.get_mut(index) else {
                        continue;
                    };
                    let Some(own) = found.services.get_mut(service) else {
                        continue;
                    };
                    let table = own.get_or_insert_with(|| found.shared.clone().into());
                    if let Some(slot) = slots.get(name).map(|found| found.slot) {
                        table[slot] = target(sections, place);
                    }
                }
                Place::Defaults
                | Place::DataCentre(_)
                | Place::Instance(_)
                | Place::IndexAt(..) => {}
            }
        }
    }
}

impl DataCentre {
    fn resolve(slot: usize, values: Option<&Values>) -> Self {
        let get = |name: &str| values.and_then(|values| values.get(name));
        let cells = match get("cells") {
            Some(Value::Names(names)) => names.clone(),
            _ => Vec::new(),
        };
        let committed_rate = match get("committed_rate") {
            Some(Value::Whole(rate)) => *rate,
            _ => 0,
        };
        Self {
            slot,
            state: state(values),
            cells,
            committed_rate,
        }
    }
}

fn state(values: Option<&Values>) -> State {
    match values.and_then(|values| values.get("state")) {
        Some(Value::Word("out")) => State::Out,
        _ => State::In,
    }
}

/// The sections that a place inherits from, looked up once for all of its keys.
struct Levels<'a>(smallvec::SmallVec<[&'a Values; 6]>);

impl<'a> Levels<'a> {
    fn new(sections: &'a Sections, place: Place<'_>, group: Group) -> Self {
        Self(
            place
                .levels(group)
                .into_iter()
                .filter_map(|level| sections.get(&level.to_string()))
                .collect(),
        )
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

fn target(sections: &Sections, place: Place<'_>) -> Target {
    let levels = Levels::new(sections, place, Group::Target);
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

fn query(sections: &Sections, place: Place<'_>) -> Query {
    let levels = Levels::new(sections, place, Group::Query);
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

fn place_of(path: &str) -> Place<'_> {
    Path::parse(path)
        .expect("the paths of sections are checked when they are inserted")
        .place
}

fn key_names(place: Place<'_>) -> String {
    let names: Vec<&str> = key::KEYS
        .iter()
        .filter(|key| place.takes(key.group))
        .map(|key| key.name)
        .collect();
    names.join(", ")
}

/// Inserts a section and the sections that it is part of.
pub(crate) fn declare<'s>(sections: &'s mut Sections, place: Place<'_>) -> &'s mut Values {
    if let Some(parent) = place.parent() {
        declare(sections, parent);
    }
    sections.entry(place.to_string()).or_default()
}

fn read_line(line: &str, sections: &mut Sections) -> Result<(), String> {
    let (path, raw) = match line.split_once('=') {
        Some((path, raw)) => (path, Some(raw)),
        None => (line, None),
    };
    let path = Path::parse(path)?;
    match (path.key, raw) {
        (None, None) => {
            declare(sections, path.place);
            Ok(())
        }
        (Some(key), Some(raw)) => {
            let raw = serde_json::from_str(raw).map_err(|fault| fault.to_string())?;
            declare(sections, path.place).insert(key.name, key.check(&raw)?);
            Ok(())
        }
        _ => Err("expects a section, or a key and its value".to_owned()),
    }
}

/// Finds references to data centres that do not exist, and cells that two data centres claim.
fn check_references(sections: &Sections) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (path, values) in sections {
        if let Some(name) = place_of(path).refers_to()
            && !sections.contains_key(&Place::DataCentre(name).to_string())
        {
            faults.push(Fault::new(path, format!("no data centre is named {name}")));
        }
        let Some(Value::Names(cells)) = values.get("cells") else {
            continue;
        };
        for cell in cells {
            if let Some(owner) = owners.insert(cell, path) {
                let reason = format!("the cell {cell} already belongs to {owner}");
                faults.push(Fault::new(format!("{path}.cells"), reason));
            }
        }
    }
    faults
}
