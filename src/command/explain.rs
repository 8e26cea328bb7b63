//! `redwinggrade explain PATH`
//!
//! Prints the value in force at a path, the level of the settings tree that sets it, and the values of
//! less specific levels that it overrides.
//!
//! The path may name a value that its section inherits, for example
//! `indexes.proof-viewing.services.s00.data_centres.dc2.slots`.

use clap::Args;
use serde_json::json;

use super::{Context, Failure, Report};
use crate::connection::settings;

/// Print a value and the level that sets it.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The path of the value, such as `defaults.queue`.
    path: String,
    /// The settings version to read instead of the newest.
    #[arg(long, value_name = "VERSION")]
    at: Option<u64>,
}

/// Looks the value up in the stored settings and reports it.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let stored_head = settings::read_head(&store).await?;
    let version = arguments.at.unwrap_or_else(|| stored_head.version());
    let tree = settings::read_tree(&store, &stored_head, version).await?;
    let resolved = tree.explain(&arguments.path)?;
    let mut lines = vec![format!(
        "{} = {}, set by {} (version {version})",
        arguments.path, resolved.value, resolved.level
    )];
    let overridden = resolved.overridden.iter();
    lines.extend(overridden.map(|(level, value)| format!("  overrides {value} of {level}")));
    let overridden: Vec<_> = resolved
        .overridden
        .iter()
        .map(|(level, value)| json!({"level": level, "value": value.to_json()}))
        .collect();
    let json = json!({
        "version": version,
        "path": arguments.path,
        "value": resolved.value.to_json(),
        "level": resolved.level,
        "overridden": overridden,
    });
    Ok(Report::ok(lines.join("\n"), json))
}
