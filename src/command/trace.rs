//! `redwinggrade trace ID [FILE]...`
//!
//! Prints the log lines of all nodes that concern one request, in order. Without files it reads
//! standard input. Malformed lines, such as the last line of a truncated file, are counted and skipped.

use std::fmt::Write as _;

use clap::Args;
use serde_json::{Value as Json, json};

use super::{Exit, Failure, Report, logs};
use crate::process::journal::read::{Line, Trace, render};

/// Print the log lines of one request from the nodes' logs.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The id of the request.
    request: String,
    /// Log files; standard input if none is given.
    files: Vec<String>,
}

/// Collects the log lines of the request and reports them.
pub fn run(arguments: &Arguments) -> Result<Report, Failure> {
    let mut trace = Trace::default();
    let mut malformed = 0_u64;
    logs::for_each_line(&arguments.files, |_, _, text| match Line::parse(text) {
        Ok(line) => trace.add(line, &arguments.request),
        Err(_) => malformed += 1,
    })?;
    if trace.is_empty() {
        let message = format!(
            "no line is about request {} ({malformed} malformed lines passed over)",
            arguments.request
        );
        return Err(Failure::new(Exit::Error, message).with_hint(
            "requests that were answered in time are logged one in 64; failed ones always, up to \
             the rate in docs/OPERATIONS.md",
        ));
    }
    let lines = trace.into_lines();
    let mut text = render(&lines);
    if malformed > 0 {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{malformed} malformed lines passed over");
    }
    let lines: Vec<Json> = lines
        .into_iter()
        .map(|it| Json::Object(it.fields))
        .collect();
    Ok(Report::ok(
        text,
        json!({ "lines": lines, "malformed": malformed }),
    ))
}
