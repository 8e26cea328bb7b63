//! The keys of the settings tree: value ranges, built-in values, and the sections that accept them.
//!
//! Settings files, edits and the `explain` command all use the one table [`KEYS`], so that they cannot
//! disagree. See `docs/design.md`, section 7.

use std::fmt::{self, Display, Formatter};

use serde_json::Value as Json;

/// The maximum length of the name of an index, service, kind, data centre, instance or cell.
pub const MAX_NAME_BYTES: usize = 64;
/// The maximum number of cells that one data centre lists; a system of the design scale has about 22.
pub const MAX_CELLS_PER_DATA_CENTRE: usize = 1_000;
/// Decimals are stored as integers in this fraction, so that digests do not depend on float formatting.
const MILLIONTHS: f64 = 1e6;

/// A validated value of the settings tree.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Value {
    /// True or false.
    Bool(bool),
    /// A whole number.
    Integer(u64),
    /// A decimal number, in millionths.
    Decimal(u32),
    /// One of a fixed set of words.
    Choice(&'static str),
    /// A list of names.
    Names(Vec<String>),
}

impl Value {
    /// Returns the value as JSON, as edits, settings files and the operators' client hold it.
    pub fn to_json(&self) -> Json {
        match self {
            Self::Bool(flag) => Json::from(*flag),
            Self::Integer(number) => Json::from(*number),
            Self::Decimal(millionths) => Json::from(f64::from(*millionths) / MILLIONTHS),
            Self::Choice(choice) => Json::from(*choice),
            Self::Names(names) => Json::from(names.clone()),
        }
    }
}

impl Display for Value {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Choice(choice) => f.write_str(choice),
            other => write!(f, "{}", other.to_json()),
        }
    }
}

/// A group of keys that may be set in the same sections; see [`super::section::Section::accepts`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Load limits of a target.
    Target,
    /// Settings of a query kind.
    Query,
    /// Properties that only a data centre has.
    DataCentre,
    /// Whether a data centre or an instance is in service.
    State,
}

/// The values that a key takes.
#[derive(Debug, Clone, Copy)]
enum Constraint {
    Integer {
        minimum: u64,
        maximum: u64,
        unit: &'static str,
    },
    Decimal {
        maximum: u32,
    },
    Bool,
    Choice(&'static [&'static str]),
    Names,
}

/// A built-in value, in a form that a static table can hold.
#[derive(Debug, Clone, Copy)]
enum BuiltIn {
    Integer(u64),
    Decimal(u32),
    Bool(bool),
    Choice(&'static str),
    NoNames,
}

/// One key of the settings tree.
#[derive(Debug)]
pub struct Key {
    /// The name of the key in settings files; a suffix such as `_ms` gives its unit.
    pub name: &'static str,
    /// The group that decides which sections accept the key.
    pub group: Group,
    constraint: Constraint,
    built_in: BuiltIn,
}

const fn integer_key(
    name: &'static str,
    group: Group,
    built_in: u64,
    range: (u64, u64),
    unit: &'static str,
) -> Key {
    Key {
        name,
        group,
        constraint: Constraint::Integer {
            minimum: range.0,
            maximum: range.1,
            unit,
        },
        built_in: BuiltIn::Integer(built_in),
    }
}

/// Every key of the settings tree, with the value that holds where no section sets it.
///
/// The built-in limits for cold targets are low because the two errors cost differently: a warm target
/// that is taken for cold loses a few seconds of capacity, while a cold target under full load fails.
pub static KEYS: [Key; 18] = [
    integer_key("slots", Group::Target, 2, (1, 10_000), "requests"),
    integer_key("connections", Group::Target, 25, (1, 60_000), "connections"),
    integer_key("connect_ms", Group::Target, 5, (1, 10_000), "milliseconds"),
    integer_key(
        "cold_concurrency",
        Group::Target,
        1,
        (1, 10_000),
        "requests",
    ),
    integer_key(
        "cold_rate",
        Group::Target,
        20,
        (1, 1_000_000),
        "requests per second",
    ),
    integer_key(
        "cold_answers",
        Group::Target,
        100,
        (1, 1_000_000),
        "answers",
    ),
    integer_key("queue", Group::Target, 64, (1, 60_000), "requests"),
    integer_key(
        "deadline_ms",
        Group::Query,
        200,
        (1, 60_000),
        "milliseconds",
    ),
    Key {
        name: "least_coverage",
        group: Group::Query,
        constraint: Constraint::Decimal { maximum: 1 },
        built_in: BuiltIn::Decimal(1_000_000),
    },
    integer_key(
        "straggler_wait_ms",
        Group::Query,
        10,
        (0, 60_000),
        "milliseconds",
    ),
    Key {
        name: "hedge_percent",
        group: Group::Query,
        constraint: Constraint::Decimal { maximum: 100 },
        built_in: BuiltIn::Decimal(5_000_000),
    },
    integer_key("priority", Group::Query, 100, (0, 255), "ranks"),
    Key {
        name: "idempotent",
        group: Group::Query,
        constraint: Constraint::Bool,
        built_in: BuiltIn::Bool(true),
    },
    Key {
        name: "scatter",
        group: Group::Query,
        constraint: Constraint::Choice(&["all", "one"]),
        built_in: BuiltIn::Choice("all"),
    },
    integer_key("limit", Group::Query, 100, (1, 100_000), "hits"),
    Key {
        name: "state",
        group: Group::State,
        constraint: Constraint::Choice(&["in", "out"]),
        built_in: BuiltIn::Choice("in"),
    },
    Key {
        name: "cells",
        group: Group::DataCentre,
        constraint: Constraint::Names,
        built_in: BuiltIn::NoNames,
    },
    integer_key(
        "committed_rate",
        Group::DataCentre,
        0,
        (0, 1_000_000_000),
        "requests per second",
    ),
];

/// Returns the key of the name, if there is one.
pub fn find(name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.name == name)
}

impl Key {
    /// Returns the value that holds where no section sets the key.
    pub fn built_in(&self) -> Value {
        match self.built_in {
            BuiltIn::Integer(number) => Value::Integer(number),
            BuiltIn::Decimal(millionths) => Value::Decimal(millionths),
            BuiltIn::Bool(flag) => Value::Bool(flag),
            BuiltIn::Choice(choice) => Value::Choice(choice),
            BuiltIn::NoNames => Value::Names(Vec::new()),
        }
    }

    /// Validates a value from a file or an edit; the error says what was expected and what was found.
    pub fn parse(&self, raw: &Json) -> Result<Value, String> {
        let checked = match self.constraint {
            Constraint::Integer {
                minimum, maximum, ..
            } => raw
                .as_u64()
                .filter(|number| (minimum..=maximum).contains(number))
                .map(Value::Integer),
            Constraint::Decimal { maximum } => parse_decimal(raw, maximum).map(Value::Decimal),
            Constraint::Bool => raw.as_bool().map(Value::Bool),
            Constraint::Choice(choices) => raw
                .as_str()
                .and_then(|text| choices.iter().find(|choice| **choice == text))
                .map(|choice| Value::Choice(choice)),
            Constraint::Names => return parse_names(raw).map(Value::Names),
        };
        checked.ok_or_else(|| format!("expects {}, found {raw}", self.expectation()))
    }

    fn expectation(&self) -> String {
        match self.constraint {
            Constraint::Integer {
                minimum,
                maximum,
                unit,
            } => {
                format!(
                    "a whole number of {unit} from {minimum} to {maximum}, written without a unit"
                )
            }
            Constraint::Decimal { maximum } => {
                format!(
                    "a number from 0 to {maximum} with at most six decimals and no sign or unit"
                )
            }
            Constraint::Bool => "true or false".to_owned(),
            Constraint::Choice(choices) => choices.join(" or "),
            Constraint::Names => "a list of names".to_owned(),
        }
    }
}

fn parse_decimal(raw: &Json, maximum: u32) -> Option<u32> {
    /// The rounding error of a decimal in binary, in millionths; a larger difference is a seventh decimal.
    const ROUNDING_TOLERANCE: f64 = 1e-4;
    let scaled = raw.as_f64()? * MILLIONTHS;
    let fits = (0.0..=f64::from(maximum) * MILLIONTHS).contains(&scaled)
        && (scaled - scaled.round()).abs() < ROUNDING_TOLERANCE;
    fits.then(|| scaled.round() as u32)
}

fn parse_names(raw: &Json) -> Result<Vec<String>, String> {
    let list = raw
        .as_array()
        .ok_or_else(|| format!("expects a list of names, found {raw}"))?;
    if list.len() > MAX_CELLS_PER_DATA_CENTRE {
        return Err(format!("lists more than {MAX_CELLS_PER_DATA_CENTRE} names"));
    }
    let mut names = Vec::with_capacity(list.len());
    for item in list {
        let name = item
            .as_str()
            .ok_or_else(|| format!("expects names, found {item}"))?;
        validate_name(name)?;
        if names.iter().any(|known| known == name) {
            return Err(format!("lists {name} twice"));
        }
        names.push(name.to_owned());
    }
    Ok(names)
}

/// Validates the name of an index, service, kind, data centre, instance or cell.
///
/// Names become parts of paths and store keys, so they exclude the separators `.` and `/`.
pub fn validate_name(name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err("has no name".to_owned());
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(format!("has a name longer than {MAX_NAME_BYTES} bytes"));
    }
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(format!(
        "has the name {name:?}; names consist of letters, digits, '-' and '_'"
    ))
}
