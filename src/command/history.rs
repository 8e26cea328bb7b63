//! `redwinggrade history [--limit N] [--operation ID] [--timeout SECONDS]`
//!
//! Lists the newest changes. With `--operation`, determines the outcome of one write: exit code 0 if it
//! is in force everywhere, 3 if it is stored and not confirmed, 4 if another change became that version
//! and the write never takes effect, 5 if the write may still take effect.

use std::time::Duration;

use clap::Args;
use serde_json::json;

use super::change::{self, WaitOptions};
use super::{Context, Exit, Failure, Report};
use crate::connection::settings;
use crate::connection::store::Store;
use crate::version::acceptance::Acceptance;
use crate::version::edit::Edit;
use crate::version::log::{self, Entry};

/// List changes, or determine the outcome of one.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The id of the operation whose outcome is determined.
    #[arg(long, value_name = "ID")]
    operation: Option<String>,
    /// How many changes to list, newest first.
    #[arg(
        long,
        default_value_t = 20,
        value_parser = clap::value_parser!(u64).range(1..=log::MAX_READ_ENTRIES)
    )]
    limit: u64,
    #[command(flatten)]
    wait: WaitOptions,
}

/// Lists the newest changes, or reports the outcome of one operation.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    match &arguments.operation {
        Some(operation) => report_outcome(arguments, context, &store, operation).await,
        None => list_changes(arguments, &store).await,
    }
}

/// Looks the operation up in the log, and waits for confirmation if it is there.
async fn report_outcome(
    arguments: &Arguments,
    context: &Context,
    store: &Store,
    operation: &str,
) -> Result<Report, Failure> {
    let base = change::base_version(operation).ok_or_else(|| {
        Failure::new(Exit::Usage, format!("{operation} is not an operation id"))
            .with_hint("use the id that the command printed, such as 17-0123456789abcdef")
    })?;
    let found = match settings::read_entry(store, base + 1).await {
        Err(settings::Error::Store(error)) => {
            return Err(change::unknown_outcome(operation, &error.to_string()));
        }
        found => found?,
    };
    match found {
        None => Err(change::unknown_outcome(operation, "it is not in the log")),
        Some(entry) if entry.operation != operation => Err(Failure::new(
            Exit::Conflict,
            format!(
                "operation {operation} did not take effect and never will: version {} is of operation {}",
                entry.version, entry.operation
            ),
        )
        .with_hint("start again from `redwinggrade show`")),
        Some(entry) => {
            let deadline = context.clock.now() + Duration::from_secs(arguments.wait.timeout);
            let acceptance = Acceptance::new(entry.version, Vec::<String>::new());
            Ok(change::await_confirmation(context, store, &entry, acceptance, deadline).await)
        }
    }
}

/// Lists the newest changes; log entries that cannot be decoded are reported by their error.
async fn list_changes(arguments: &Arguments, store: &Store) -> Result<Report, Failure> {
    let stored_head = settings::read_head(store).await?;
    let newest = stored_head.version();
    let first = (newest + 1).saturating_sub(arguments.limit).max(1);
    let mut entries = Vec::new();
    let mut lines = Vec::new();
    if newest > 0 {
        for (version, value) in (first..).zip(settings::read_entries(store, first, newest).await?) {
            match log::decode::<Entry>(&log::entry_key(version), &value) {
                Ok(entry) => entries.push(entry),
                Err(error) => lines.push(error.to_string()),
            }
        }
    }
    entries.reverse();
    lines.extend(entries.iter().map(describe_entry));
    if newest == 0 {
        lines.push("no version is stored".to_owned());
    }
    Ok(Report::ok(
        lines.join("\n"),
        json!({"version": newest, "entries": entries}),
    ))
}

/// Returns one line for a change, with the first paths that it edits.
fn describe_entry(entry: &Entry) -> String {
    /// Maximum number of edited paths that one line shows.
    const MAX_PATHS: usize = 3;
    let edits = match &entry.edits {
        None => "whole tree".to_owned(),
        Some(edits) => {
            let mut paths: Vec<&str> = edits.iter().map(Edit::path).take(MAX_PATHS).collect();
            if edits.len() > MAX_PATHS {
                paths.push("...");
            }
            format!("{} edits: {}", edits.len(), paths.join(" "))
        }
    };
    format!(
        "version {} operation {} author {} written_ms {} {edits}",
        entry.version, entry.operation, entry.author, entry.written_ms
    )
}
