//! Reads settings files and collects their faults with file, line and key.
//!
//! Aliases and nesting are bounded, so that a file cannot cost more than its length suggests.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value as Json;
use serde_saphyr::{NonFiniteFloatPolicy, Spanned};

use super::draft::Draft;
use super::key;
use super::place::Place;
use super::tree::Fault;

/// Most YAML nodes in a file; a file of [`FILE_LIMIT`] bytes has fewer unless aliases multiply them.
const NODE_LIMIT: usize = 500_000;
/// Most nodes that aliases may repeat in all, which bounds expansion.
const ALIAS_LIMIT: usize = 20_000;
/// Deepest nesting; the deepest value lies at seven levels.
const DEPTH_LIMIT: usize = 16;

/// A YAML node with the lines of its keys.
#[derive(Debug)]
enum Node {
    Leaf(Json),
    Map(Vec<(Spanned<Json>, Spanned<Node>)>),
}

fn read_yaml(text: &str) -> Result<Spanned<Node>, Fault> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: NODE_LIMIT,
            max_depth: DEPTH_LIMIT,
            max_documents: 1,
        },
        alias_limits: serde_saphyr::alias_limits! {
            max_total_replayed_events: ALIAS_LIMIT,
        },
        // Only `true` and `false` are booleans, so that a data centre may be called `no`.
        strict_booleans: true,
        // They reach the check of their key, which names the key in its message.
        non_finite_float_policy: NonFiniteFloatPolicy::AsString,
        with_snippet: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|fault| {
        let line = fault.location().map(|location| location.line());
        Fault {
            line: line.filter(|line| *line > 0),
            key: String::new(),
            reason: format!("cannot be read as YAML: {}", fault.without_snippet()),
        }
    })
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a mapping, a list or a value")
    }

    fn visit_bool<E>(self, v: bool) -> Result<Node, E> {
        Ok(Node::Leaf(Json::from(v)))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Node, E> {
        Ok(Node::Leaf(Json::from(v)))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Node, E> {
        Ok(Node::Leaf(Json::from(v)))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Node, E> {
        Ok(Node::Leaf(Json::from(v)))
    }

    fn visit_str<E>(self, v: &str) -> Result<Node, E> {
        Ok(Node::Leaf(Json::from(v)))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Leaf(Json::Null))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Node, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Json>()? {
            list.push(item);
        }
        Ok(Node::Leaf(Json::Array(list)))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Node, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key()? {
            entries.push((key, map.next_value()?));
        }
        Ok(Node::Map(entries))
    }
}

/// Collects sections and faults from a YAML document.
#[derive(Default)]
pub(crate) struct Reader {
    pub(crate) draft: Draft,
    faults: Vec<Fault>,
    /// The line of each section and value.
    pub(crate) lines: BTreeMap<String, u64>,
}

/// The named parts below a section, such as the services of an index.
type Part = (&'static str, for<'a> fn(Place<'a>, &'a str) -> Place<'a>);

fn parts(place: Place<'_>) -> &'static [Part] {
    const DATA_CENTRES: Part = ("data_centres", |parent, name| match parent {
        Place::Index(index) => Place::IndexAt(index, name),
        Place::Kind(index, kind) => Place::KindAt(index, kind, name),
        Place::Service(index, service) => Place::ServiceAt(index, service, name),
        other => other,
    });
    const KINDS: Part = ("kinds", |parent, name| match parent {
        Place::Index(index) => Place::Kind(index, name),
        other => other,
    });
    const SERVICES: Part = ("services", |parent, name| match parent {
        Place::Index(index) => Place::Service(index, name),
        other => other,
    });
    match place {
        Place::Index(_) => &[DATA_CENTRES, KINDS, SERVICES],
        Place::Kind(..) | Place::Service(..) => &[DATA_CENTRES],
        _ => &[],
    }
}

impl Reader {
    /// Reads a settings file; only references between sections are left to check.
    pub(crate) fn open(text: &str) -> Result<Self, Vec<Fault>> {
        let document = read_yaml(text).map_err(|fault| vec![fault])?;
        let mut reader = Self::default();
        reader.root(&document);
        if reader.faults.is_empty() {
            Ok(reader)
        } else {
            Err(reader.faults)
        }
    }

    fn fault(&mut self, line: u64, key: impl Display, reason: impl Into<String>) {
        let mut fault = Fault::new(key, reason);
        fault.line = Some(line);
        self.faults.push(fault);
    }

    fn root(&mut self, document: &Spanned<Node>) {
        const ROOT: &str = "expects the sections defaults, data_centres, instances and indexes";
        let entries = match &document.value {
            Node::Leaf(Json::Null) => return,
            Node::Leaf(_) => {
                return self.fault(document.referenced.line().max(1), "", ROOT);
            }
            Node::Map(entries) => entries,
        };
        for (key, node) in entries {
            match key.value.as_str() {
                Some("defaults") => self.section(Place::Defaults, line(key), node),
                Some("data_centres") => {
                    self.named("data_centres", line(key), node, Place::DataCentre);
                }
                Some("instances") => self.named("instances", line(key), node, Place::Instance),
                Some("indexes") => self.named("indexes", line(key), node, Place::Index),
                _ => self.fault(
                    line(key),
                    text(&key.value),
                    format!("unknown section; {ROOT}"),
                ),
            }
        }
    }

    /// Reads a mapping from names to sections.
    fn named<'n, F>(&mut self, path: &str, at: u64, node: &'n Spanned<Node>, place: F)
    where
        F: Fn(&'n str) -> Place<'n>,
    {
        let noun = place("").noun();
        let entries = match &node.value {
            Node::Leaf(Json::Null) => return,
            Node::Map(entries) => entries,
            Node::Leaf(Json::Array(_)) => {
                let reason = format!("{noun} has no name; expects a mapping from names to values");
                return self.fault(at, path, reason);
            }
            Node::Leaf(other) => {
                let reason = format!("expects a mapping from names to values, found {other}");
                return self.fault(at, path, reason);
            }
        };
        for (key, node) in entries {
            // Unquoted names such as 2024 read as numbers; without a text they cannot be looked up.
            let name = match &key.value {
                Json::String(name) => name.as_str(),
                Json::Null => "",
                other => {
                    let reason = format!("{noun} has the name {other}; put it in quotes");
                    self.fault(line(key), path, reason);
                    continue;
                }
            };
            match key::check_name(name) {
                Ok(()) => self.section(place(name), line(key), node),
                Err(reason) => self.fault(line(key), path, format!("{noun} {reason}")),
            }
        }
    }

    /// Reads the values of a section, and its parts.
    fn section(&mut self, place: Place<'_>, at: u64, node: &Spanned<Node>) {
        let path = place.to_string();
        self.draft.declare(place);
        self.lines.insert(path.clone(), at);
        let entries = match &node.value {
            Node::Leaf(Json::Null) => return,
            Node::Map(entries) => entries,
            Node::Leaf(other) => {
                return self.fault(at, &path, format!("expects a mapping, found {other}"));
            }
        };
        for (key, node) in entries {
            let name = text(&key.value);
            let inner = format!("{path}.{name}");
            if let Some((_, child)) = parts(place).iter().find(|(part, _)| *part == name) {
                self.named(&inner, line(key), node, |name| child(place, name));
                continue;
            }
            let value = match &node.value {
                Node::Leaf(value) => value,
                Node::Map(_) => &Json::Object(serde_json::Map::new()),
            };
            match place
                .key(&name)
                .and_then(|key| Ok((key, key.check(value)?)))
            {
                Ok((known, value)) => {
                    self.draft.declare(place).insert(known.name, value);
                    self.lines.insert(inner, line(key));
                }
                Err(reason) => self.fault(line(key), inner, reason),
            }
        }
    }
}

fn line<T>(spanned: &Spanned<T>) -> u64 {
    spanned.referenced.line()
}

fn text(key: &Json) -> String {
    key.as_str().map_or_else(|| key.to_string(), str::to_owned)
}
