//! The sections of the settings tree, their paths, and the sections that each inherits from.
//!
//! A section is written as a path, for example `indexes.proof-viewing.services.s00`. Names cannot
//! contain the separator, so that every path is unambiguous.

use std::fmt::{self, Display, Formatter};

use derive_more::Display;

use super::key::{self, Group, Key};

/// A section of the settings tree, identified by the names in its path.
///
/// A named section exists once it is declared; it may set values, and the others are inherited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Section<'a> {
    /// The values that every index inherits at the lowest precedence.
    #[display("defaults")]
    Defaults,
    /// A data centre: its name.
    #[display("data_centres.{_0}")]
    DataCentre(&'a str),
    /// An instance, which is a node or a target: its name.
    #[display("instances.{_0}")]
    Instance(&'a str),
    /// An index: its name.
    #[display("indexes.{_0}")]
    Index(&'a str),
    /// An index in one data centre: the names of both.
    #[display("indexes.{_0}.data_centres.{_1}")]
    IndexInDataCentre(&'a str, &'a str),
    /// A query kind of an index: the names of the index and the kind.
    #[display("indexes.{_0}.kinds.{_1}")]
    Kind(&'a str, &'a str),
    /// A query kind in one data centre: the names of the index, the kind and the data centre.
    #[display("indexes.{_0}.kinds.{_1}.data_centres.{_2}")]
    KindInDataCentre(&'a str, &'a str, &'a str),
    /// A service of an index: the names of the index and the service.
    #[display("indexes.{_0}.services.{_1}")]
    Service(&'a str, &'a str),
    /// A service in one data centre: the names of the index, the service and the data centre.
    #[display("indexes.{_0}.services.{_1}.data_centres.{_2}")]
    ServiceInDataCentre(&'a str, &'a str, &'a str),
}

/// A path in the settings tree, which names a whole section or one value in it.
#[derive(Debug, Clone, Copy)]
pub struct Path<'a> {
    /// The section that the path names or that holds the value.
    pub section: Section<'a>,
    /// The key of the value; absent if the path names a whole section.
    pub key: Option<&'static Key>,
}

impl Display for Path<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.key {
            Some(key) => write!(f, "{}.{}", self.section, key.name),
            None => write!(f, "{}", self.section),
        }
    }
}

impl<'a> Path<'a> {
    /// Parses a path; the error says which part is wrong.
    pub fn parse(text: &'a str) -> Result<Self, String> {
        /// One more than the seven parts of the longest valid path, so that a longer one is detected.
        const MAX_PARTS: usize = 8;
        let parts: smallvec::SmallVec<[&str; MAX_PARTS]> = text.splitn(MAX_PARTS, '.').collect();
        let (section, rest) = Section::parse_prefix(&parts)?;
        for name in section.names().into_iter().flatten() {
            key::validate_name(name).map_err(|reason| format!("{} {reason}", section.noun()))?;
        }
        match rest {
            [] => Ok(Self { section, key: None }),
            [name] => Ok(Self {
                section,
                key: Some(section.key(name)?),
            }),
            [_, extra, ..] => Err(format!(
                "expects no further part after a key, found {extra}"
            )),
        }
    }
}

impl<'a> Section<'a> {
    fn parse_prefix<'p>(parts: &'p [&'a str]) -> Result<(Self, &'p [&'a str]), String> {
        Ok(match parts {
            ["defaults", rest @ ..] => (Self::Defaults, rest),
            ["data_centres", name, rest @ ..] => (Self::DataCentre(name), rest),
            ["instances", name, rest @ ..] => (Self::Instance(name), rest),
            ["indexes", index, "data_centres", name, rest @ ..] => {
                (Self::IndexInDataCentre(index, name), rest)
            }
            [
                "indexes",
                index,
                "kinds",
                kind,
                "data_centres",
                name,
                rest @ ..,
            ] => (Self::KindInDataCentre(index, kind, name), rest),
            ["indexes", index, "kinds", kind, rest @ ..] => (Self::Kind(index, kind), rest),
            [
                "indexes",
                index,
                "services",
                service,
                "data_centres",
                name,
                rest @ ..,
            ] => (Self::ServiceInDataCentre(index, service, name), rest),
            ["indexes", index, "services", service, rest @ ..] => {
                (Self::Service(index, service), rest)
            }
            ["indexes", index, rest @ ..] => (Self::Index(index), rest),
            [section @ ("data_centres" | "instances" | "indexes")] => {
                return Err(format!("a name must follow {section}"));
            }
            [other, ..] => return Err(format!("no section is named {other}")),
            [] => return Err("the path is empty".to_owned()),
        })
    }

    fn names(self) -> [Option<&'a str>; 3] {
        match self {
            Self::Defaults => [None; 3],
            Self::DataCentre(a) | Self::Instance(a) | Self::Index(a) => [Some(a), None, None],
            Self::IndexInDataCentre(a, b) | Self::Kind(a, b) | Self::Service(a, b) => {
                [Some(a), Some(b), None]
            }
            Self::KindInDataCentre(a, b, c) | Self::ServiceInDataCentre(a, b, c) => {
                [Some(a), Some(b), Some(c)]
            }
        }
    }

    /// Returns the noun phrase for this type of section in error messages.
    pub fn noun(self) -> &'static str {
        match self {
            Self::Defaults => "the defaults",
            Self::DataCentre(_) => "a data centre",
            Self::Instance(_) => "an instance",
            Self::Index(_) => "an index",
            Self::IndexInDataCentre(..) => "an index in a data centre",
            Self::Kind(..) => "a kind",
            Self::KindInDataCentre(..) => "a kind in a data centre",
            Self::Service(..) => "a service",
            Self::ServiceInDataCentre(..) => "a service in a data centre",
        }
    }

    /// Returns whether keys of the group may be set in this section.
    pub fn accepts(self, group: Group) -> bool {
        match self {
            Self::Defaults | Self::Index(_) => matches!(group, Group::Target | Group::Query),
            Self::DataCentre(_) => group != Group::Query,
            Self::Instance(_) => group == Group::State,
            Self::Kind(..) | Self::KindInDataCentre(..) => group == Group::Query,
            Self::IndexInDataCentre(..) | Self::Service(..) | Self::ServiceInDataCentre(..) => {
                group == Group::Target
            }
        }
    }

    /// Returns the key of the name, which must be one that this section accepts.
    ///
    /// The error names the key that differs only in its unit suffix, if there is one.
    pub fn key(self, name: &str) -> Result<&'static Key, String> {
        match key::find(name) {
            Some(key) if self.accepts(key.group) => Ok(key),
            Some(_) => Err(format!("the key cannot be set for {}", self.noun())),
            None => Err(key::KEYS
                .iter()
                .find(|key| differs_only_in_unit(key.name, name))
                .map_or_else(
                    || "unknown key".to_owned(),
                    |key| format!("unknown key; the key and its unit are {}", key.name),
                )),
        }
    }

    /// Returns the name of the index that the section belongs to; absent outside the indexes.
    pub fn index_name(self) -> Option<&'a str> {
        match self {
            Self::Defaults | Self::DataCentre(_) | Self::Instance(_) => None,
            Self::Index(index)
            | Self::IndexInDataCentre(index, _)
            | Self::Kind(index, _)
            | Self::KindInDataCentre(index, _, _)
            | Self::Service(index, _)
            | Self::ServiceInDataCentre(index, _, _) => Some(index),
        }
    }

    /// Returns the section that must be declared for this one to exist.
    pub fn parent(self) -> Option<Self> {
        match self {
            Self::Defaults | Self::DataCentre(_) | Self::Instance(_) | Self::Index(_) => None,
            Self::IndexInDataCentre(index, _) | Self::Kind(index, _) | Self::Service(index, _) => {
                Some(Self::Index(index))
            }
            Self::KindInDataCentre(index, kind, _) => Some(Self::Kind(index, kind)),
            Self::ServiceInDataCentre(index, service, _) => Some(Self::Service(index, service)),
        }
    }

    /// Returns the name of the data centre that the section refers to, which another section declares.
    pub fn referenced_data_centre(self) -> Option<&'a str> {
        match self {
            Self::IndexInDataCentre(_, name)
            | Self::KindInDataCentre(_, _, name)
            | Self::ServiceInDataCentre(_, _, name) => Some(name),
            _ => None,
        }
    }

    /// Returns the sections in which a value of the group is looked up, most specific first.
    ///
    /// A target value is also looked up in the section of the data centre; a query value is not, because
    /// a query kind has a section of its own for each data centre.
    pub fn lookup_levels(self, group: Group) -> Vec<Self> {
        let data_centre = |name| (group == Group::Target).then_some(Self::DataCentre(name));
        let levels = match self {
            Self::Defaults => vec![Some(Self::Defaults)],
            Self::DataCentre(_) if group == Group::Target => vec![Some(self), Some(Self::Defaults)],
            Self::DataCentre(_) | Self::Instance(_) => vec![Some(self)],
            Self::Index(_) => vec![Some(self), Some(Self::Defaults)],
            Self::Kind(index, _) | Self::Service(index, _) => {
                vec![Some(self), Some(Self::Index(index)), Some(Self::Defaults)]
            }
            Self::IndexInDataCentre(index, name) => vec![
                Some(self),
                Some(Self::Index(index)),
                data_centre(name),
                Some(Self::Defaults),
            ],
            Self::KindInDataCentre(index, kind, _) => vec![
                Some(self),
                Some(Self::Kind(index, kind)),
                Some(Self::Index(index)),
                Some(Self::Defaults),
            ],
            Self::ServiceInDataCentre(index, service, name) => vec![
                Some(self),
                Some(Self::Service(index, service)),
                Some(Self::IndexInDataCentre(index, name)),
                Some(Self::Index(index)),
                data_centre(name),
                Some(Self::Defaults),
            ],
        };
        levels.into_iter().flatten().collect()
    }
}

/// Returns whether an unknown key differs from a known one only in its unit suffix.
fn differs_only_in_unit(known: &str, given: &str) -> bool {
    let stem = |name: &str| {
        ["_ms", "_percent", "_s", "_us", "_seconds", "_millis"]
            .iter()
            .find_map(|suffix| name.strip_suffix(suffix))
            .unwrap_or(name)
            .to_owned()
    };
    stem(known) == stem(given)
}
