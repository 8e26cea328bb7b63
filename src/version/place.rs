//! Where a value stands in the settings tree, and the levels that it inherits from.
//!
//! A place is written as a path, for example `indexes.proof-viewing.services.s00`. Names cannot
//! contain the separator, so that a path reads in one way only.

use std::fmt::{self, Display, Formatter};

use derive_more::Display;

use super::key::{self, Group, Key};

/// A section of the tree that holds values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Place<'a> {
    /// Values for everything.
    #[display("defaults")]
    Defaults,
    /// A data centre.
    #[display("data_centres.{_0}")]
    DataCentre(&'a str),
    /// A node or target.
    #[display("instances.{_0}")]
    Instance(&'a str),
    /// An index.
    #[display("indexes.{_0}")]
    Index(&'a str),
    /// An index in one data centre.
    #[display("indexes.{_0}.data_centres.{_1}")]
    IndexAt(&'a str, &'a str),
    /// A query kind of an index.
    #[display("indexes.{_0}.kinds.{_1}")]
    Kind(&'a str, &'a str),
    /// A query kind in one data centre.
    #[display("indexes.{_0}.kinds.{_1}.data_centres.{_2}")]
    KindAt(&'a str, &'a str, &'a str),
    /// A service of an index.
    #[display("indexes.{_0}.services.{_1}")]
    Service(&'a str, &'a str),
    /// A service in one data centre.
    #[display("indexes.{_0}.services.{_1}.data_centres.{_2}")]
    ServiceAt(&'a str, &'a str, &'a str),
}

/// What a path names: a whole section, or one value in it.
#[derive(Debug, Clone, Copy)]
pub struct Path<'a> {
    /// The section.
    pub place: Place<'a>,
    /// The value's key, if the path names a value.
    pub key: Option<&'static Key>,
}

impl Display for Path<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.key {
            Some(key) => write!(f, "{}.{}", self.place, key.name),
            None => write!(f, "{}", self.place),
        }
    }
}

impl<'a> Path<'a> {
    /// Reads a path; the error says which part is wrong.
    pub fn parse(text: &'a str) -> Result<Self, String> {
        /// A path has at most seven parts; one more suffices to see that it is too long.
        const PARTS: usize = 8;
        let parts: smallvec::SmallVec<[&str; PARTS]> = text.splitn(PARTS, '.').collect();
        let (place, rest) = Place::split(&parts)?;
        for name in place.names().into_iter().flatten() {
            key::check_name(name).map_err(|fault| format!("{} {fault}", place.noun()))?;
        }
        match rest {
            [] => Ok(Self { place, key: None }),
            [name] => Ok(Self {
                place,
                key: Some(place.key(name)?),
            }),
            [_, extra, ..] => Err(format!("nothing named {extra} can stand here")),
        }
    }
}

impl<'a> Place<'a> {
    fn split<'p>(parts: &'p [&'a str]) -> Result<(Self, &'p [&'a str]), String> {
        Ok(match parts {
            ["defaults", rest @ ..] => (Self::Defaults, rest),
            ["data_centres", name, rest @ ..] => (Self::DataCentre(name), rest),
            ["instances", name, rest @ ..] => (Self::Instance(name), rest),
            ["indexes", index, "data_centres", name, rest @ ..] => {
                (Self::IndexAt(index, name), rest)
            }
            [
                "indexes",
                index,
                "kinds",
                kind,
                "data_centres",
                name,
                rest @ ..,
            ] => (Self::KindAt(index, kind, name), rest),
            ["indexes", index, "kinds", kind, rest @ ..] => (Self::Kind(index, kind), rest),
            [
                "indexes",
                index,
                "services",
                service,
                "data_centres",
                name,
                rest @ ..,
            ] => (Self::ServiceAt(index, service, name), rest),
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
            Self::IndexAt(a, b) | Self::Kind(a, b) | Self::Service(a, b) => {
                [Some(a), Some(b), None]
            }
            Self::KindAt(a, b, c) | Self::ServiceAt(a, b, c) => [Some(a), Some(b), Some(c)],
        }
    }

    /// Names the sort of section in messages.
    pub fn noun(self) -> &'static str {
        match self {
            Self::Defaults => "the defaults",
            Self::DataCentre(_) => "a data centre",
            Self::Instance(_) => "an instance",
            Self::Index(_) => "an index",
            Self::IndexAt(..) => "an index in a data centre",
            Self::Kind(..) => "a kind",
            Self::KindAt(..) => "a kind in a data centre",
            Self::Service(..) => "a service",
            Self::ServiceAt(..) => "a service in a data centre",
        }
    }

    /// Tells whether keys of the group may stand in this section.
    pub fn takes(self, group: Group) -> bool {
        match self {
            Self::Defaults | Self::Index(_) => matches!(group, Group::Target | Group::Query),
            Self::DataCentre(_) => group != Group::Query,
            Self::Instance(_) => group == Group::State,
            Self::Kind(..) | Self::KindAt(..) => group == Group::Query,
            Self::IndexAt(..) | Self::Service(..) | Self::ServiceAt(..) => group == Group::Target,
        }
    }

    /// Finds a key that may stand in this section; the error names the nearest key, if any.
    pub fn key(self, name: &str) -> Result<&'static Key, String> {
        match key::find(name) {
            Some(key) if self.takes(key.group) => Ok(key),
            Some(_) => Err(format!("the key cannot be set for {}", self.noun())),
            None => Err(key::KEYS
                .iter()
                .find(|key| is_near(key.name, name))
                .map_or_else(
                    || "unknown key".to_owned(),
                    |key| format!("unknown key; the key and its unit are {}", key.name),
                )),
        }
    }

    /// Returns the index that the section belongs to.
    pub fn index(self) -> Option<&'a str> {
        match self {
            Self::Defaults | Self::DataCentre(_) | Self::Instance(_) => None,
            Self::Index(index)
            | Self::IndexAt(index, _)
            | Self::Kind(index, _)
            | Self::KindAt(index, _, _)
            | Self::Service(index, _)
            | Self::ServiceAt(index, _, _) => Some(index),
        }
    }

    /// Returns the section that must exist for this one to exist.
    pub fn parent(self) -> Option<Self> {
        match self {
            Self::Defaults | Self::DataCentre(_) | Self::Instance(_) | Self::Index(_) => None,
            Self::IndexAt(index, _) | Self::Kind(index, _) | Self::Service(index, _) => {
                Some(Self::Index(index))
            }
            Self::KindAt(index, kind, _) => Some(Self::Kind(index, kind)),
            Self::ServiceAt(index, service, _) => Some(Self::Service(index, service)),
        }
    }

    /// Returns the data centre that the section refers to without declaring it.
    pub fn refers_to(self) -> Option<&'a str> {
        match self {
            Self::IndexAt(_, name) | Self::KindAt(_, _, name) | Self::ServiceAt(_, _, name) => {
                Some(name)
            }
            _ => None,
        }
    }

    /// Returns the levels that a value of the group is looked up in, most specific first.
    ///
    /// Target values take the data centre into account, query values do not: a kind has its own
    /// section for each data centre.
    pub fn levels(self, group: Group) -> Vec<Self> {
        let data_centre = |name| (group == Group::Target).then_some(Self::DataCentre(name));
        let levels = match self {
            Self::Defaults => vec![Some(Self::Defaults)],
            Self::DataCentre(_) if group == Group::Target => vec![Some(self), Some(Self::Defaults)],
            Self::DataCentre(_) | Self::Instance(_) => vec![Some(self)],
            Self::Index(_) => vec![Some(self), Some(Self::Defaults)],
            Self::Kind(index, _) | Self::Service(index, _) => {
                vec![Some(self), Some(Self::Index(index)), Some(Self::Defaults)]
            }
            Self::IndexAt(index, name) => vec![
                Some(self),
                Some(Self::Index(index)),
                data_centre(name),
                Some(Self::Defaults),
            ],
            Self::KindAt(index, kind, _) => vec![
                Some(self),
                Some(Self::Kind(index, kind)),
                Some(Self::Index(index)),
                Some(Self::Defaults),
            ],
            Self::ServiceAt(index, service, name) => vec![
                Some(self),
                Some(Self::Service(index, service)),
                Some(Self::IndexAt(index, name)),
                Some(Self::Index(index)),
                data_centre(name),
                Some(Self::Defaults),
            ],
        };
        levels.into_iter().flatten().collect()
    }
}

/// Tells whether a misspelt key differs from a known one only by its unit suffix.
fn is_near(known: &str, given: &str) -> bool {
    let stem = |name: &str| {
        ["_ms", "_percent", "_s", "_us", "_seconds", "_millis"]
            .iter()
            .find_map(|suffix| name.strip_suffix(suffix))
            .unwrap_or(name)
            .to_owned()
    };
    stem(known) == stem(given)
}
