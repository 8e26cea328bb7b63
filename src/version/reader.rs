//! Parses settings files and collects their faults with line and key.
//!
//! Aliases and nesting are bounded, so that the cost of a file is proportional to its length.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value as Json;
use serde_saphyr::{NonFiniteFloatPolicy, Spanned};

use super::draft::Draft;
use super::key;
use super::section::Section;
use super::tree::Fault;

/// The maximum number of YAML nodes in a file.
///
/// A file of [`super::tree::MAX_FILE_BYTES`] has fewer unless aliases multiply them.
const MAX_YAML_NODES: usize = 500_000;
/// The maximum number of YAML nodes that all aliases together may repeat, which bounds their expansion.
const MAX_ALIAS_NODES: usize = 20_000;
/// The maximum nesting of YAML nodes; the deepest value of a valid file lies at seven levels.
const MAX_NESTING: usize = 16;

/// A YAML node; keys and values of mappings carry their lines.
#[derive(Debug)]
enum YamlNode {
    Leaf(Json),
    Map(Vec<(Spanned<Json>, Spanned<YamlNode>)>),
}

fn read_yaml(text: &str) -> Result<Spanned<YamlNode>, Fault> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: MAX_YAML_NODES,
            max_depth: MAX_NESTING,
            max_documents: 1,
        },
        alias_limits: serde_saphyr::alias_limits! {
            max_total_replayed_events: MAX_ALIAS_NODES,
        },
        // Only `true` and `false` are booleans, so that a data centre may have the name `no`.
        strict_booleans: true,
        // As strings they reach the validation of their key, whose error names the key.
        non_finite_float_policy: NonFiniteFloatPolicy::AsString,
        with_snippet: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let line = error.location().map(|location| location.line());
        Fault {
            line: line.filter(|line| *line > 0),
            key: String::new(),
            reason: format!("cannot be read as YAML: {}", error.without_snippet()),
        }
    })
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(YamlNodeVisitor)
    }
}

struct YamlNodeVisitor;

impl<'de> Visitor<'de> for YamlNodeVisitor {
    type Value = YamlNode;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a mapping, a list or a value")
    }

    fn visit_bool<E>(self, v: bool) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf(Json::from(v)))
    }

    fn visit_i64<E>(self, v: i64) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf(Json::from(v)))
    }

    fn visit_u64<E>(self, v: u64) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf(Json::from(v)))
    }

    fn visit_f64<E>(self, v: f64) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf(Json::from(v)))
    }

    fn visit_str<E>(self, v: &str) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf(Json::from(v)))
    }

    fn visit_unit<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf(Json::Null))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<YamlNode, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Json>()? {
            list.push(item);
        }
        Ok(YamlNode::Leaf(Json::Array(list)))
    }

    fn visit_map<A>(self, mut map: A) -> Result<YamlNode, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key()? {
            entries.push((key, map.next_value()?));
        }
        Ok(YamlNode::Map(entries))
    }
}

/// Collects sections and faults from a YAML document.
#[derive(Default)]
pub(crate) struct Reader {
    pub(crate) draft: Draft,
    faults: Vec<Fault>,
    /// The line of each section and value, by path.
    pub(crate) lines: BTreeMap<String, u64>,
}

/// A mapping below a section that holds named sections, such as the services of an index.
///
/// The first field is the key of the mapping, the second makes the section of a name in it.
type Subsection = (
    &'static str,
    for<'a> fn(Section<'a>, &'a str) -> Section<'a>,
);

fn subsections(section: Section<'_>) -> &'static [Subsection] {
    const DATA_CENTRES: Subsection = ("data_centres", |parent, name| match parent {
        Section::Index(index) => Section::IndexInDataCentre(index, name),
        Section::Kind(index, kind) => Section::KindInDataCentre(index, kind, name),
        Section::Service(index, service) => Section::ServiceInDataCentre(index, service, name),
        other => other,
    });
    const KINDS: Subsection = ("kinds", |parent, name| match parent {
        Section::Index(index) => Section::Kind(index, name),
        other => other,
    });
    const SERVICES: Subsection = ("services", |parent, name| match parent {
        Section::Index(index) => Section::Service(index, name),
        other => other,
    });
    match section {
        Section::Index(_) => &[DATA_CENTRES, KINDS, SERVICES],
        Section::Kind(..) | Section::Service(..) => &[DATA_CENTRES],
        _ => &[],
    }
}

impl Reader {
    /// Parses a settings file and validates each value; references between sections are not checked.
    pub(crate) fn read(text: &str) -> Result<Self, Vec<Fault>> {
        let document = read_yaml(text).map_err(|fault| vec![fault])?;
        let mut reader = Self::default();
        reader.read_root(&document);
        if reader.faults.is_empty() {
            Ok(reader)
        } else {
            Err(reader.faults)
        }
    }

    fn add_fault(&mut self, line: u64, key: impl Display, reason: impl Into<String>) {
        let mut fault = Fault::new(key, reason);
        fault.line = Some(line);
        self.faults.push(fault);
    }

    fn read_root(&mut self, document: &Spanned<YamlNode>) {
        const EXPECTED_SECTIONS: &str =
            "expects the sections defaults, data_centres, instances and indexes";
        let entries = match &document.value {
            YamlNode::Leaf(Json::Null) => return,
            YamlNode::Leaf(_) => {
                return self.add_fault(document.referenced.line().max(1), "", EXPECTED_SECTIONS);
            }
            YamlNode::Map(entries) => entries,
        };
        for (key, node) in entries {
            match key.value.as_str() {
                Some("defaults") => self.read_section(Section::Defaults, line(key), node),
                Some("data_centres") => {
                    self.read_map("data_centres", line(key), node, Section::DataCentre);
                }
                Some("instances") => self.read_map("instances", line(key), node, Section::Instance),
                Some("indexes") => self.read_map("indexes", line(key), node, Section::Index),
                _ => self.add_fault(
                    line(key),
                    key_text(&key.value),
                    format!("unknown section; {EXPECTED_SECTIONS}"),
                ),
            }
        }
    }

    /// Reads a mapping from names to sections; `to_section` makes the section of a name.
    fn read_map<'n, F>(
        &mut self,
        path: &str,
        at_line: u64,
        node: &'n Spanned<YamlNode>,
        to_section: F,
    ) where
        F: Fn(&'n str) -> Section<'n>,
    {
        let noun = to_section("").noun();
        let entries = match &node.value {
            YamlNode::Leaf(Json::Null) => return,
            YamlNode::Map(entries) => entries,
            YamlNode::Leaf(Json::Array(_)) => {
                let reason = format!("{noun} has no name; expects a mapping from names to values");
                return self.add_fault(at_line, path, reason);
            }
            YamlNode::Leaf(other) => {
                let reason = format!("expects a mapping from names to values, found {other}");
                return self.add_fault(at_line, path, reason);
            }
        };
        for (key, node) in entries {
            // YAML reads an unquoted name such as 2024 as a number, which has no canonical text to look up.
            let name = match &key.value {
                Json::String(name) => name.as_str(),
                Json::Null => "",
                other => {
                    let reason = format!("{noun} has the name {other}; put it in quotes");
                    self.add_fault(line(key), path, reason);
                    continue;
                }
            };
            match key::validate_name(name) {
                Ok(()) => self.read_section(to_section(name), line(key), node),
                Err(reason) => self.add_fault(line(key), path, format!("{noun} {reason}")),
            }
        }
    }

    /// Reads the values of a section and the sections below it.
    fn read_section(&mut self, section: Section<'_>, at_line: u64, node: &Spanned<YamlNode>) {
        let path = section.to_string();
        self.draft.declare(section);
        self.lines.insert(path.clone(), at_line);
        let entries = match &node.value {
            YamlNode::Leaf(Json::Null) => return,
            YamlNode::Map(entries) => entries,
            YamlNode::Leaf(other) => {
                return self.add_fault(at_line, &path, format!("expects a mapping, found {other}"));
            }
        };
        for (key, node) in entries {
            let name = key_text(&key.value);
            let inner = format!("{path}.{name}");
            if let Some((_, child)) = subsections(section).iter().find(|(part, _)| *part == name) {
                self.read_map(&inner, line(key), node, |name| child(section, name));
                continue;
            }
            let value = match &node.value {
                YamlNode::Leaf(value) => value,
                YamlNode::Map(_) => &Json::Object(serde_json::Map::new()),
            };
            match section
                .key(&name)
                .and_then(|key| Ok((key, key.parse(value)?)))
            {
                Ok((known, value)) => {
                    self.draft.declare(section).insert(known.name, value);
                    self.lines.insert(inner, line(key));
                }
                Err(reason) => self.add_fault(line(key), inner, reason),
            }
        }
    }
}

fn line<T>(spanned: &Spanned<T>) -> u64 {
    spanned.referenced.line()
}

fn key_text(key: &Json) -> String {
    key.as_str().map_or_else(|| key.to_string(), str::to_owned)
}
