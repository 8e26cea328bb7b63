//! `redwinggrade logs check [FILE]...`
//!
//! Checks that every line of the nodes' logs can be read again. Without files it reads standard input.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use clap::{Args, Subcommand};
use serde_json::json;

use super::{Exit, Failure, Report};
use crate::process::journal::read::Line;

/// Malformed lines that are named at most.
const NAMED_MAX: usize = 20;

/// Work with the nodes' logs.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Refuse malformed lines, with file and line.
    Check {
        /// Log files; standard input if none is given.
        files: Vec<String>,
    },
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> Result<Report, Failure> {
    let Command::Check { files } = &arguments.command;
    let (mut lines, mut malformed) = (0_u64, 0_u64);
    let mut named = Vec::new();
    each_line(files, |file, number, text| {
        lines += 1;
        if let Err(fault) = Line::parse(text) {
            malformed += 1;
            if named.len() < NAMED_MAX {
                named.push(format!("{file}:{number}: {fault}"));
            }
        }
    })?;
    if malformed > 0 {
        let message = format!(
            "{malformed} of {lines} lines are malformed\n{}",
            named.join("\n")
        );
        return Err(Failure::new(Exit::Error, message));
    }
    Ok(Report::ok(
        format!("{lines} lines, all well formed"),
        json!({ "lines": lines }),
    ))
}

/// Calls `each` with the file, the number and the text of every line.
///
/// What a log shipper puts before the object is left out.
pub(super) fn each_line<F>(files: &[String], mut each: F) -> Result<(), Failure>
where
    F: FnMut(&str, u64, &str),
{
    let mut read = |name: &str, reader: &mut dyn BufRead| {
        let refuse = |fault: io::Error| Failure::new(Exit::Error, format!("{name}: {fault}"));
        let mut bytes = Vec::new();
        let mut number = 0;
        while reader.read_until(b'\n', &mut bytes).map_err(refuse)? > 0 {
            number += 1;
            let line = String::from_utf8_lossy(&bytes);
            let line = line.trim();
            if !line.is_empty() {
                let start = line.find('{').unwrap_or(0);
                each(name, number, &line[start..]);
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
            .map_err(|fault| Failure::new(Exit::Error, format!("{name}: {fault}")))?;
        read(name, &mut BufReader::new(file))?;
    }
    Ok(())
}
