//! Parses the log lines of several nodes, and puts together the trace of one request.

use std::fmt::Write as _;

use serde_json::{Map, Value};
use thiserror::Error;

use super::field;

/// One parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The name of the node that wrote the line.
    pub node: String,
    /// Microseconds since the Unix epoch on the node's wall clock.
    pub unix_us: u64,
    /// Microseconds since the start of the node's process, on its monotonic clock.
    pub at_us: u64,
    /// The message, which names the event.
    pub event: String,
    /// All fields of the line, including those above.
    pub fields: Map<String, Value>,
}

/// Why a log line cannot be parsed.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The line is not a JSON object, for example because it was cut off.
    #[error("not a JSON object: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The named field, which every line has, is missing or has the wrong type.
    #[error("field `{0}` is missing or has the wrong type")]
    Field(&'static str),
}

impl Line {
    /// Parses one line and checks the fields that every line has.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let fields: Map<String, Value> = serde_json::from_str(text)?;
        let number = |name| {
            let value = fields.get(name).and_then(Value::as_u64);
            value.ok_or(ParseError::Field(name))
        };
        let string = |name| {
            let value = fields.get(name).and_then(Value::as_str);
            value.map(str::to_owned).ok_or(ParseError::Field(name))
        };
        string(field::LEVEL)?;
        Ok(Self {
            node: string(field::NODE)?,
            unix_us: number(field::UNIX_US)?,
            at_us: number(field::AT_US)?,
            event: string(field::EVENT)?,
            fields,
        })
    }

    /// Returns whether the line belongs to the request with this id.
    pub fn concerns(&self, request: &str) -> bool {
        let known = self.fields.get(field::REQUEST).and_then(Value::as_str);
        known == Some(request)
    }

    /// Returns the event and the fields that not every line has, as text for people.
    fn describe(&self) -> String {
        let mut text = self.event.clone();
        let common_fields = [
            field::AT_US,
            field::UNIX_US,
            field::NODE,
            field::LEVEL,
            field::EVENT,
            field::REQUEST,
        ];
        for (name, value) in &self.fields {
            if common_fields.contains(&name.as_str()) {
                continue;
            }
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            // Writing to a string cannot fail.
            let _ = write!(text, " {name}={value}");
        }
        text
    }
}

/// The log lines of one request, from all nodes.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Vec<Line>,
}

impl Trace {
    /// Adds a line if it belongs to the request with this id.
    pub fn add(&mut self, line: Line, request: &str) {
        if line.concerns(request) {
            self.lines.push(line);
        }
    }

    /// Returns the lines in order of time. The wall clock may jump, so only the wall clock of each node's
    /// first line is used; later lines of the node follow its monotonic clock.
    pub fn into_lines(mut self) -> Vec<Line> {
        let mut first_lines: Vec<(String, u64, u64)> = Vec::new();
        for line in &self.lines {
            match first_lines
                .iter_mut()
                .find(|(node, _, _)| *node == line.node)
            {
                Some((_, at_us, unix_us)) if line.at_us < *at_us => {
                    (*at_us, *unix_us) = (line.at_us, line.unix_us);
                }
                Some(_) => {}
                None => first_lines.push((line.node.clone(), line.at_us, line.unix_us)),
            }
        }
        self.lines.sort_by_key(|line| {
            let start = first_lines.iter().find(|(node, _, _)| *node == line.node);
            let (at_us, unix_us) = start.map_or((0, 0), |(_, at_us, unix_us)| (*at_us, *unix_us));
            unix_us + (line.at_us - at_us)
        });
        self.lines
    }

    /// Returns whether no line belongs to the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Formats a trace as text for people: for each line the time since the first one, the node, and the event
/// with its fields.
pub fn render(lines: &[Line]) -> String {
    let mut text = String::new();
    let mut starts: Vec<(&str, u64)> = Vec::new();
    let origin_us = lines.first().map_or(0, |line| line.unix_us);
    for line in lines {
        let start = starts.iter().find(|(node, _)| *node == line.node).copied();
        let node_origin_us = start.map_or_else(
            || {
                // The clocks of nodes agree only roughly, so each node counts from its own first line.
                let node_origin_us = line
                    .at_us
                    .saturating_sub(line.unix_us.saturating_sub(origin_us));
                starts.push((&line.node, node_origin_us));
                node_origin_us
            },
            |(_, node_origin_us)| node_origin_us,
        );
        let elapsed_ms = line.at_us.saturating_sub(node_origin_us) as f64 / 1_000.0;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{elapsed_ms:>10.3} ms  {}  {}",
            line.node,
            line.describe()
        );
    }
    text
}
