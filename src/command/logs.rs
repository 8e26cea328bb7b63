//! `redwinggrade logs check [FILE]...`
//!
//! Checks that every line of the nodes' logs can be parsed. Without files it reads standard input.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use clap::{Args, Subcommand};
use serde_json::json;

use super::{Exit, Failure, Report};
use crate::process::journal::read::Line;

/// Maximum number of malformed lines that the report lists.
const MAX_LISTED_LINES: usize = 20;

/// Check the nodes' logs.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Report malformed lines, with file and line number.
    Check {
        /// Log files; standard input if none is given.
        files: Vec<String>,
    },
}

/// Parses every line and reports the malformed ones.
pub fn run(arguments: &Arguments) -> Result<Report, Failure> {
    let Command::Check { files } = &arguments.command;
    let (mut lines, mut malformed) = (0_u64, 0_u64);
    let mut listed = Vec::new();
    for_each_line(files, |file, number, text| {
        lines += 1;
        if let Err(error) = Line::parse(text) {
            malformed += 1;
            if listed.len() < MAX_LISTED_LINES {
                listed.push(format!("{file}:{number}: {error}"));
            }
        }
    })?;
    if malformed > 0 {
        let message = format!(
            "{malformed} of {lines} lines are malformed\n{}",
            listed.join("\n")
        );
        return Err(Failure::new(Exit::Error, message));
    }
    Ok(Report::ok(
        format!("{lines} lines, all well formed"),
        json!({ "lines": lines }),
    ))
}

/// Calls `visit` with the file name, the line number and the text of every line that is not empty.
///
/// The text starts at the first `{`: a prefix that a log shipper adds is removed.
pub(super) fn for_each_line<F>(files: &[String], mut visit: F) -> Result<(), Failure>
where
    F: FnMut(&str, u64, &str),
{
    let mut read = |name: &str, reader: &mut dyn BufRead| {
        let to_failure = |error: io::Error| Failure::new(Exit::Error, format!("{name}: {error}"));
        let mut bytes = Vec::new();
        let mut number = 0;
        while reader.read_until(b'\n', &mut bytes).map_err(to_failure)? > 0 {
            number += 1;
            let line = String::from_utf8_lossy(&bytes);
            let line = line.trim();
            if !line.is_empty() {
                let start = line.find('{').unwrap_or(0);
                visit(name, number, &line[start..]);
            }
            bytes.clear();
        }
        Ok(())
    };
    if files.is_empty() {
        return read("standard input", &mut io::stdin().lock());
    }
    for name in files {
        let file = File::open(name)
            .map_err(|error| Failure::new(Exit::Error, format!("{name}: {error}")))?;
        read(name, &mut BufReader::new(file))?;
    }
    Ok(())
}
