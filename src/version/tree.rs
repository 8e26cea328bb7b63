//! The settings tree: checked once when it is read, resolved once per version.
//!
//! A tree is a set of sections (see [`Section`]) with the values that each sets itself. Inherited
//! values are resolved into tables when the tree is built, so that lookups by requests cost two or
//! three map accesses. See `docs/design.md`, section 7.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter, Write};
use std::sync::Arc;

use derive_more::Display;
use serde_json::Value as Json;
use xxhash_rust::xxh3::xxh3_128;

use super::draft::{Draft, Sections, Values};
use super::index::{Index, Inherited};
use super::key::{self, Value};
use super::policy::{Query, Target};
use super::reader::Reader;
use super::section::{Path, Section};

/// Longest settings file, in bytes; the store takes values up to the same size.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// Most faults that one error lists.
pub const MAX_LISTED_FAULTS: usize = 20;

/// Why a settings file or a set of edits was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The name of the file, if the settings come from one.
    pub file: Option<String>,
    /// What is wrong, in the order of the file; at most [`MAX_LISTED_FAULTS`] are listed.
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
pub const BUILT_IN_LEVEL: &str = "built-in";

/// One version of the settings.
///
/// Versions share the indexes that no edit touched, so that a change costs as much as the index that
/// it concerns and not as much as the whole tree.
#[derive(Debug, Clone)]
pub struct Tree {
    /// The sections outside the indexes.
    root: Sections,
    indexes: BTreeMap<String, Arc<Index>>,
    inherited: Arc<Inherited>,
    data_centres: BTreeMap<String, DataCentre>,
    instances: BTreeMap<String, State>,
    digest: Digest,
}

impl PartialEq for Tree {
    fn eq(&self, other: &Self) -> bool {
        self.root == other.root
            && self.indexes.len() == other.indexes.len()
            && self.indexes.iter().zip(&other.indexes).all(|(a, b)| {
                Arc::ptr_eq(a.1, b.1) || (a.0 == b.0 && a.1.sections() == b.1.sections())
            })
    }
}

impl Default for Tree {
    fn default() -> Self {
        Self::build(Draft::default()).expect("an empty tree refers to nothing")
    }
}

#[derive(Debug, Clone)]
struct DataCentre {
    /// The section of the data centre in the tables of values by data centre.
    position: usize,
    state: State,
    cells: Vec<String>,
    committed_rate: u64,
}

impl Tree {
    /// Reads a settings file.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let refuse = |mut faults: Vec<Fault>| {
            faults.truncate(MAX_LISTED_FAULTS);
            Error {
                file: Some(file.to_owned()),
                faults,
            }
        };
        if text.len() > MAX_FILE_BYTES {
            let reason = format!("the file is longer than {MAX_FILE_BYTES} bytes");
            return Err(refuse(vec![Fault::new("", reason)]));
        }
        let reader = Reader::read(text).map_err(refuse)?;
        let lines = reader.lines;
        Self::build(reader.draft).map_err(|mut faults| {
            for fault in &mut faults {
                fault.line = lines.get(&fault.key).copied();
            }
            faults.sort_by_key(|fault| fault.line);
            refuse(faults)
        })
    }

    /// Checks what sections refer to and resolves inheritance.
    pub(crate) fn build(draft: Draft) -> Result<Self, Vec<Fault>> {
        let mut faults = draft.check_references();
        let Draft {
            mut root, indexes, ..
        } = draft;
        faults.extend(check_cell_owners(&root));
        if !faults.is_empty() {
            return Err(faults);
        }
        root.entry(Section::Defaults.to_string()).or_default();
        let inherited = Arc::new(Inherited::new(&root));
        let indexes: BTreeMap<String, Arc<Index>> = indexes
            .into_iter()
            .map(|(name, index)| {
                let index = index.resolve(&name, &inherited);
                (name, index)
            })
            .collect();
        let mut tree = Self {
            digest: digest(&root, &indexes),
            data_centres: BTreeMap::new(),
            instances: BTreeMap::new(),
            indexes,
            inherited,
            root,
        };
        tree.resolve_root_sections();
        Ok(tree)
    }

    fn resolve_root_sections(&mut self) {
        for (path, values) in &self.root {
            match section_of(path) {
                Section::DataCentre(name) => {
                    let Some(position) = self.inherited.position(name) else {
                        unreachable!("the inherited holds every data centre of the root");
                    };
                    let found = DataCentre::resolve(position, values);
                    self.data_centres.insert(name.to_owned(), found);
                }
                Section::Instance(name) => {
                    self.instances.insert(name.to_owned(), state_of(values));
                }
                _ => {}
            }
        }
    }

    /// Returns a draft that starts from this tree.
    pub(crate) fn to_draft(&self) -> Draft {
        Draft::from_tree(self.root.clone(), &self.indexes, &self.inherited)
    }

    /// Returns what the service's targets in the data centre bear.
    pub fn target_policy(&self, index: &str, service: &str, data_centre: &str) -> Option<Target> {
        let position = self.data_centres.get(data_centre)?.position;
        self.indexes.get(index)?.target_policy(service, position)
    }

    /// Returns how the query kind is answered by nodes of the data centre.
    pub fn query_policy(&self, index: &str, kind: &str, data_centre: &str) -> Option<Query> {
        let position = self.data_centres.get(data_centre)?.position;
        self.indexes.get(index)?.query_policy(kind, position)
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
            .flat_map(|found| found.services())
    }

    /// Returns the query kinds of the index.
    pub fn kinds(&self, index: &str) -> impl Iterator<Item = &str> {
        self.indexes
            .get(index)
            .into_iter()
            .flat_map(|found| found.kinds())
    }

    /// Returns the digest of all sections and values.
    ///
    /// It is the digest of the digests of the indexes and of everything outside them.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the canonical text: one line for each section and each value, sorted.
    ///
    /// Equal trees have equal texts, whatever the order and the comments of the files they came
    /// from. Snapshots hold this text.
    pub fn canonical_text(&self) -> String {
        let mut text = String::new();
        for (path, values) in self.sections() {
            write_section(&mut text, path, values);
        }
        text
    }

    /// Reads a canonical text.
    pub fn from_canonical_text(text: &str) -> Result<Self, Error> {
        let mut draft = Draft::default();
        let mut faults = Vec::new();
        for line in text.lines() {
            if let Err(reason) = parse_canonical_line(line, &mut draft) {
                faults.push(Fault::new(line, reason));
            }
        }
        let refuse = |mut faults: Vec<Fault>| {
            faults.truncate(MAX_LISTED_FAULTS);
            Error { file: None, faults }
        };
        if !faults.is_empty() {
            return Err(refuse(faults));
        }
        Self::build(draft).map_err(refuse)
    }

    /// Renders the tree as a settings file.
    pub fn to_yaml(&self) -> String {
        let mut root = serde_json::Map::new();
        for (path, values) in self.sections() {
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
                parsed.section.noun(),
                accepted_key_names(parsed.section)
            )));
        };
        if let Some(missing) = self.missing_section(parsed.section) {
            return Err(refuse(format!("{missing} is not in the settings")));
        }
        let mut set = parsed
            .section
            .lookup_levels(key.group)
            .into_iter()
            .filter_map(|level| {
                let value = self.own_value(level, key.name)?;
                Some((level.to_string(), value.clone()))
            })
            .chain([(BUILT_IN_LEVEL.to_owned(), key.built_in())]);
        let (level, value) = set.next().expect("every key has a built-in value");
        Ok(Explanation {
            value,
            level,
            overridden: set.collect(),
        })
    }

    /// Returns the first section that must exist for the section to be meaningful but does not.
    fn missing_section(&self, section: Section<'_>) -> Option<String> {
        if let Some(name) = section.referenced_data_centre() {
            let data_centre = Section::DataCentre(name);
            if !self.has_section(data_centre) {
                return Some(data_centre.to_string());
            }
        }
        let declared = match section.parent() {
            Some(parent) if section.referenced_data_centre().is_some() => parent,
            _ => section,
        };
        // An instance is in service unless the settings mention it.
        if matches!(declared, Section::Instance(_)) {
            return None;
        }
        (!self.has_section(declared)).then(|| declared.to_string())
    }

    /// Returns the value that the section sets itself.
    pub fn own_value(&self, section: Section<'_>, key: &str) -> Option<&Value> {
        self.own_values(section)?.get(key)
    }

    /// Tells whether the section is a declared section.
    pub fn has_section(&self, section: Section<'_>) -> bool {
        self.own_values(section).is_some()
    }

    fn own_values(&self, section: Section<'_>) -> Option<&Values> {
        let sections = match section.index_name() {
            Some(name) => self.indexes.get(name)?.sections(),
            None => &self.root,
        };
        sections.get(&section.to_string())
    }

    /// Returns all sections: those outside the indexes, then those of each index.
    pub(crate) fn sections(&self) -> impl Iterator<Item = (&String, &Values)> {
        let indexes = self.indexes.values();
        self.root
            .iter()
            .chain(indexes.flat_map(|index| index.sections()))
    }

    /// Returns the sections of this tree that may differ from those of the other.
    pub(crate) fn sections_not_shared_with<'t>(
        &'t self,
        other: &'t Self,
    ) -> impl Iterator<Item = (&'t String, &'t Values)> {
        let apart = self.indexes.iter().filter(|(name, index)| {
            let known = other.indexes.get(*name);
            known.is_none_or(|known| !Arc::ptr_eq(known, index))
        });
        self.root
            .iter()
            .chain(apart.flat_map(|(_, index)| index.sections()))
    }

    pub(crate) fn own_values_at(&self, path: &str) -> Option<&Values> {
        self.own_values(Path::parse(path).ok()?.section)
    }
}

impl DataCentre {
    fn resolve(position: usize, values: &Values) -> Self {
        let cells = match values.get("cells") {
            Some(Value::Names(names)) => names.clone(),
            _ => Vec::new(),
        };
        let committed_rate = match values.get("committed_rate") {
            Some(Value::Integer(rate)) => *rate,
            _ => 0,
        };
        Self {
            position,
            state: state_of(values),
            cells,
            committed_rate,
        }
    }
}

fn state_of(values: &Values) -> State {
    match values.get("state") {
        Some(Value::Choice("out")) => State::Out,
        _ => State::In,
    }
}

fn digest(root: &Sections, indexes: &BTreeMap<String, Arc<Index>>) -> Digest {
    let mut text = String::new();
    for (path, values) in root {
        write_section(&mut text, path, values);
    }
    for (name, index) in indexes {
        writeln!(text, "{name} {}", index.digest()).expect("writing to a string cannot fail");
    }
    Digest(xxh3_128(text.as_bytes()))
}

/// Writes the canonical lines of a section.
pub(crate) fn write_section(text: &mut String, path: &str, values: &Values) {
    text.push_str(path);
    text.push('\n');
    for (name, value) in values {
        writeln!(text, "{path}.{name}={}", value.to_json())
            .expect("writing to a string cannot fail");
    }
}

pub(crate) fn section_of(path: &str) -> Section<'_> {
    Path::parse(path)
        .expect("the paths of sections are checked when they are inserted")
        .section
}

fn accepted_key_names(section: Section<'_>) -> String {
    let names: Vec<&str> = key::KEYS
        .iter()
        .filter(|key| section.accepts(key.group))
        .map(|key| key.name)
        .collect();
    names.join(", ")
}

fn parse_canonical_line(line: &str, draft: &mut Draft) -> Result<(), String> {
    let (path, raw) = match line.split_once('=') {
        Some((path, raw)) => (path, Some(raw)),
        None => (line, None),
    };
    let path = Path::parse(path)?;
    match (path.key, raw) {
        (None, None) => {
            draft.declare(path.section);
            Ok(())
        }
        (Some(key), Some(raw)) => {
            let raw = serde_json::from_str(raw).map_err(|fault| fault.to_string())?;
            draft
                .declare(path.section)
                .insert(key.name, key.parse(&raw)?);
            Ok(())
        }
        _ => Err("expects a section, or a key and its value".to_owned()),
    }
}

/// Finds cells that two data centres claim.
fn check_cell_owners(root: &Sections) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (path, values) in root {
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
