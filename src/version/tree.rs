//! The settings tree: one version of all settings, checked and resolved when it is built.
//!
//! A tree is a set of sections (see [`Section`]), each with the values that it sets itself. Inherited
//! values are resolved into tables when the tree is built, so that a lookup for a request costs two or
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

/// The maximum length of a settings file; the store accepts values up to the same length.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// The maximum number of faults that one error lists.
pub const MAX_LISTED_FAULTS: usize = 20;

/// The faults for which a settings file or a list of edits was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The name of the settings file; absent for edits and canonical text.
    pub file: Option<String>,
    /// The faults in the order of their lines, at most [`MAX_LISTED_FAULTS`].
    pub faults: Vec<Fault>,
}

/// One fault of a settings file or of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line in the settings file, counted from one; absent for edits and canonical text.
    pub line: Option<u64>,
    /// The path of the section or value at fault; empty if the text cannot be read as YAML.
    pub key: String,
    /// What was expected and what was found.
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

/// Whether operators have a data centre or an instance in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum State {
    /// In service: it may be given new work.
    #[display("in")]
    In,
    /// Taken out of service by operators: it gets no new work.
    #[display("out")]
    Out,
}

/// A 128-bit hash of a settings tree, or of one of its indexes; equal trees have equal digests.
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

/// A value in force and the level of inheritance that sets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The value in force.
    pub value: Value,
    /// The path of the section that sets the value, or [`BUILT_IN_LEVEL`].
    pub level: String,
    /// The less specific levels that also set the key, with their values, most specific first.
    pub overridden: Vec<(String, Value)>,
}

/// The name of the level that holds for keys that no section sets.
pub const BUILT_IN_LEVEL: &str = "built-in";

/// The settings of one version, with inheritance resolved.
///
/// Consecutive versions share the indexes that no edit touched, so that the cost of a change depends
/// on the size of the index that it concerns and not on the size of the whole tree.
#[derive(Debug, Clone)]
pub struct Tree {
    /// The sections outside the indexes, by path.
    root: Sections,
    indexes: BTreeMap<String, Arc<Index>>,
    /// The values that every index inherits from outside.
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
        Self::build(Draft::default()).expect("an empty tree has no reference that could be missing")
    }
}

#[derive(Debug, Clone)]
struct DataCentre {
    /// The position of the data centre in the per-data-centre tables of indexes.
    position: usize,
    state: State,
    cells: Vec<String>,
    committed_rate: u64,
}

impl Tree {
    /// Parses a settings file; `file` is the name that errors give.
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

    /// Builds a tree from a draft: checks references and cell owners, then resolves inheritance.
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
                        unreachable!("the inherited values cover every declared data centre");
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

    /// Returns a draft with the content of this tree, to which edits can be applied.
    pub(crate) fn to_draft(&self) -> Draft {
        Draft::from_tree(self.root.clone(), &self.indexes, &self.inherited)
    }

    /// Returns the load limits of the targets of the service in the data centre.
    pub fn target_policy(&self, index: &str, service: &str, data_centre: &str) -> Option<Target> {
        let position = self.data_centres.get(data_centre)?.position;
        self.indexes.get(index)?.target_policy(service, position)
    }

    /// Returns the settings for queries of the kind at nodes of the data centre.
    pub fn query_policy(&self, index: &str, kind: &str, data_centre: &str) -> Option<Query> {
        let position = self.data_centres.get(data_centre)?.position;
        self.indexes.get(index)?.query_policy(kind, position)
    }

    /// Returns whether the settings declare the index.
    pub fn has_index(&self, index: &str) -> bool {
        self.indexes.contains_key(index)
    }

    /// Returns whether the data centre is in service, or nothing if the settings do not declare it.
    pub fn data_centre_state(&self, name: &str) -> Option<State> {
        self.data_centres.get(name).map(|found| found.state)
    }

    /// Returns whether the node or target is in service, which it is unless the settings say otherwise.
    pub fn instance_state(&self, name: &str) -> State {
        self.instances.get(name).copied().unwrap_or(State::In)
    }

    /// Returns the names of the declared data centres in ascending order.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.data_centres.keys().map(String::as_str)
    }

    /// Returns the names of the cells of the data centre; empty if it is not declared.
    pub fn cells(&self, data_centre: &str) -> &[String] {
        self.data_centres
            .get(data_centre)
            .map_or(&[], |found| &found.cells)
    }

    /// Returns the requests per second that capacity is paid for in the data centre; 0 if not set.
    pub fn committed_rate(&self, data_centre: &str) -> u64 {
        self.data_centres
            .get(data_centre)
            .map_or(0, |found| found.committed_rate)
    }

    /// Returns the names of the declared indexes in ascending order.
    pub fn indexes(&self) -> impl Iterator<Item = &str> {
        self.indexes.keys().map(String::as_str)
    }

    /// Returns the names of the services of the index in ascending order.
    pub fn services(&self, index: &str) -> impl Iterator<Item = &str> {
        self.indexes
            .get(index)
            .into_iter()
            .flat_map(|found| found.services())
    }

    /// Returns the names of the query kinds of the index in ascending order.
    pub fn kinds(&self, index: &str) -> impl Iterator<Item = &str> {
        self.indexes
            .get(index)
            .into_iter()
            .flat_map(|found| found.kinds())
    }

    /// Returns the digest of all sections and values.
    ///
    /// It covers the canonical text of the sections outside the indexes and the digest of each index,
    /// so that a change of one index does not require a digest of the others.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the canonical text: one line for each section and each value, sorted.
    ///
    /// Equal trees have equal texts, whatever the order and the comments of the files that they were
    /// read from. Snapshots in the store hold this text.
    pub fn canonical_text(&self) -> String {
        let mut text = String::new();
        for (path, values) in self.sections() {
            write_section(&mut text, path, values);
        }
        text
    }

    /// Parses a canonical text, as [`Tree::canonical_text`] returns it.
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

    /// Returns the tree as the YAML text of a settings file.
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

    /// Returns the value in force at the path, the level that sets it and the levels that it overrides.
    ///
    /// The path may name a value that its section inherits, such as
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

    /// Returns the path of a section that must be declared for `section` to exist, but is not.
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
        // The settings need not declare an instance: without a section it has the built-in values.
        if matches!(declared, Section::Instance(_)) {
            return None;
        }
        (!self.has_section(declared)).then(|| declared.to_string())
    }

    /// Returns the value that the section sets itself, without inheritance.
    pub fn own_value(&self, section: Section<'_>, key: &str) -> Option<&Value> {
        self.own_values(section)?.get(key)
    }

    /// Returns whether the section is declared.
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

    /// Returns all sections with their paths: those outside the indexes, then those of each index.
    pub(crate) fn sections(&self) -> impl Iterator<Item = (&String, &Values)> {
        let indexes = self.indexes.values();
        self.root
            .iter()
            .chain(indexes.flat_map(|index| index.sections()))
    }

    /// Returns the sections of this tree that may differ from those of `other`.
    ///
    /// Indexes that both trees hold by the same `Arc` are left out, as they are equal. The sections outside
    /// the indexes are always included.
    pub(crate) fn sections_that_may_differ_from<'t>(
        &'t self,
        other: &'t Self,
    ) -> impl Iterator<Item = (&'t String, &'t Values)> {
        let not_shared = self.indexes.iter().filter(|(name, index)| {
            let counterpart = other.indexes.get(*name);
            counterpart.is_none_or(|counterpart| !Arc::ptr_eq(counterpart, index))
        });
        self.root
            .iter()
            .chain(not_shared.flat_map(|(_, index)| index.sections()))
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

/// Appends the canonical lines of a section to the text: its path, then one line for each value.
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
        .expect("section paths were validated when the sections were inserted")
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
            let raw = serde_json::from_str(raw).map_err(|error| error.to_string())?;
            draft
                .declare(path.section)
                .insert(key.name, key.parse(&raw)?);
            Ok(())
        }
        _ => Err(
            "expects the path of a section, or the path of a value, '=' and the value".to_owned(),
        ),
    }
}

/// Returns a fault for each cell that more than one data centre lists.
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
