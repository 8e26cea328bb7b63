//! The keys of the settings tree: their ranges, their built-in values, and where they may stand.
//!
//! One table serves files, edits and explanations, so that they cannot disagree. See
//! `docs/design.md`, section 7.

use std::fmt::{self, Display, Formatter};

use serde_json::Value as Json;

/// Longest name of an index, service, kind, data centre, instance or cell, in bytes.
pub const NAME_LIMIT: usize = 64;
/// Most cells that one data centre lists; the target scale has about 22.
pub const CELL_LIMIT: usize = 1_000;
/// Decimals are held in millionths, so that digests do not depend on how a float is printed.
const MILLION: f64 = 1e6;

/// A checked value of the settings tree.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Value {
    /// True or false.
    Flag(bool),
    /// A whole number.
    Whole(u64),
    /// A decimal number in millionths.
    Decimal(u32),
    /// One of a fixed set of words.
    Word(&'static str),
    /// A list of names.
    Names(Vec<String>),
}

impl Value {
    /// Converts the value for edits, files and the operators' client.
    pub fn to_json(&self) -> Json {
        match self {
            Self::Flag(flag) => Json::from(*flag),
            Self::Whole(number) => Json::from(*number),
            Self::Decimal(millionths) => Json::from(f64::from(*millionths) / MILLION),
            Self::Word(word) => Json::from(*word),
            Self::Names(names) => Json::from(names.clone()),
        }
    }
}

impl Display for Value {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Word(word) => f.write_str(word),
            other => write!(f, "{}", other.to_json()),
        }
    }
}

/// The levels at which a key may be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// What a target bears.
    Target,
    /// How a query kind is answered.
    Query,
    /// What only a data centre has.
    DataCentre,
    /// Whether a data centre or an instance is in service.
    State,
}

#[derive(Debug, Clone, Copy)]
enum Check {
    Whole {
        least: u64,
        most: u64,
        unit: &'static str,
    },
    Decimal {
        most: u32,
    },
    Flag,
    Word(&'static [&'static str]),
    Names,
}

#[derive(Debug, Clone, Copy)]
enum BuiltIn {
    Whole(u64),
    Decimal(u32),
    Flag(bool),
    Word(&'static str),
    NoNames,
}

/// One key of the settings tree.
#[derive(Debug)]
pub struct Key {
    /// The key as files spell it; a suffix names its unit.
    pub name: &'static str,
    /// Where the key may stand.
    pub group: Group,
    check: Check,
    built_in: BuiltIn,
}

const fn whole(
    name: &'static str,
    group: Group,
    built_in: u64,
    range: (u64, u64),
    unit: &'static str,
) -> Key {
    Key {
        name,
        group,
        check: Check::Whole {
            least: range.0,
            most: range.1,
            unit,
        },
        built_in: BuiltIn::Whole(built_in),
    }
}

/// Every key of the settings tree, with the value that holds where no level sets it.
///
/// The cold-start values are deliberately low: a target that is taken for cold by mistake loses a
/// few seconds of capacity, while a cold target under full load fails.
pub static KEYS: [Key; 18] = [
    whole("slots", Group::Target, 2, (1, 10_000), "requests"),
    whole("connections", Group::Target, 25, (1, 60_000), "connections"),
    whole("connect_ms", Group::Target, 5, (1, 10_000), "milliseconds"),
    whole(
        "cold_concurrency",
        Group::Target,
        1,
        (1, 10_000),
        "requests",
    ),
    whole(
        "cold_rate",
        Group::Target,
        20,
        (1, 1_000_000),
        "requests per second",
    ),
    whole(
        "cold_answers",
        Group::Target,
        100,
        (1, 1_000_000),
        "answers",
    ),
    whole("queue", Group::Target, 64, (1, 60_000), "requests"),
    whole(
        "deadline_ms",
        Group::Query,
        200,
        (1, 60_000),
        "milliseconds",
    ),
    Key {
        name: "least_coverage",
        group: Group::Query,
        check: Check::Decimal { most: 1 },
        built_in: BuiltIn::Decimal(1_000_000),
    },
    whole(
        "straggler_wait_ms",
        Group::Query,
        10,
        (0, 60_000),
        "milliseconds",
    ),
    Key {
        name: "hedge_percent",
        group: Group::Query,
        check: Check::Decimal { most: 100 },
        built_in: BuiltIn::Decimal(5_000_000),
    },
    whole("priority", Group::Query, 100, (0, 255), "ranks"),
    Key {
        name: "idempotent",
        group: Group::Query,
        check: Check::Flag,
        built_in: BuiltIn::Flag(true),
    },
    Key {
        name: "scatter",
        group: Group::Query,
        check: Check::Word(&["all", "one"]),
        built_in: BuiltIn::Word("all"),
    },
    whole("limit", Group::Query, 100, (1, 100_000), "hits"),
    Key {
        name: "state",
        group: Group::State,
        check: Check::Word(&["in", "out"]),
        built_in: BuiltIn::Word("in"),
    },
    Key {
        name: "cells",
        group: Group::DataCentre,
        check: Check::Names,
        built_in: BuiltIn::NoNames,
    },
    whole(
        "committed_rate",
        Group::DataCentre,
        0,
        (0, 1_000_000_000),
        "requests per second",
    ),
];

/// Finds a key by its name.
pub fn find(name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.name == name)
}

impl Key {
    /// Returns the value that holds where no level sets the key.
    pub fn built_in(&self) -> Value {
        match self.built_in {
            BuiltIn::Whole(number) => Value::Whole(number),
            BuiltIn::Decimal(millionths) => Value::Decimal(millionths),
            BuiltIn::Flag(flag) => Value::Flag(flag),
            BuiltIn::Word(word) => Value::Word(word),
            BuiltIn::NoNames => Value::Names(Vec::new()),
        }
    }

    /// Checks a value as a file or an edit gives it; the error says what is expected.
    pub fn check(&self, raw: &Json) -> Result<Value, String> {
        let checked = match self.check {
            Check::Whole { least, most, .. } => raw
                .as_u64()
                .filter(|number| (least..=most).contains(number))
                .map(Value::Whole),
            Check::Decimal { most } => decimal(raw, most).map(Value::Decimal),
            Check::Flag => raw.as_bool().map(Value::Flag),
            Check::Word(words) => raw
                .as_str()
                .and_then(|text| words.iter().find(|word| **word == text))
                .map(|word| Value::Word(word)),
            Check::Names => return names(raw).map(Value::Names),
        };
        checked.ok_or_else(|| format!("expects {}, found {raw}", self.expectation()))
    }

    fn expectation(&self) -> String {
        match self.check {
            Check::Whole { least, most, unit } => {
                format!("a whole number of {unit} from {least} to {most}, written without a unit")
            }
            Check::Decimal { most } => {
                format!("a number from 0 to {most} with at most six decimals and no sign or unit")
            }
            Check::Flag => "true or false".to_owned(),
            Check::Word(words) => words.join(" or "),
            Check::Names => "a list of names".to_owned(),
        }
    }
}

fn decimal(raw: &Json, most: u32) -> Option<u32> {
    /// Tolerates the binary rounding of a decimal, and nothing else.
    const ROUNDING: f64 = 1e-4;
    let scaled = raw.as_f64()? * MILLION;
    let fits = (0.0..=f64::from(most) * MILLION).contains(&scaled)
        && (scaled - scaled.round()).abs() < ROUNDING;
    fits.then(|| scaled.round() as u32)
}

fn names(raw: &Json) -> Result<Vec<String>, String> {
    let list = raw
        .as_array()
        .ok_or_else(|| format!("expects a list of names, found {raw}"))?;
    if list.len() > CELL_LIMIT {
        return Err(format!("lists more than {CELL_LIMIT} names"));
    }
    let mut names = Vec::with_capacity(list.len());
    for item in list {
        let name = item
            .as_str()
            .ok_or_else(|| format!("expects names, found {item}"))?;
        check_name(name)?;
        if names.iter().any(|known| known == name) {
            return Err(format!("lists {name} twice"));
        }
        names.push(name.to_owned());
    }
    Ok(names)
}

/// Checks the name of an index, service, kind, data centre, instance or cell.
///
/// Names become parts of paths and store keys, so they exclude the separators `.` and `/`.
pub fn check_name(name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err("has no name".to_owned());
    }
    if name.len() > NAME_LIMIT {
        return Err(format!("has a name longer than {NAME_LIMIT} bytes"));
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if name.bytes().all(allowed) {
        return Ok(());
    }
    Err(format!(
        "has the name {name:?}; names consist of letters, digits, '-' and '_'"
    ))
}
