//! `redwinggrade explain PATH`
//!
//! Prints the value in force at a path, the level that sets it, and the values that it overrides.
//! The path may name a value that its own section inherits, for example
//! `indexes.proof-viewing.services.s00.data_centres.dc2.slots`.

use clap::Args;
use serde_json::json;

use super::{Context, Failure, Report};
use crate::connection::settings;

/// Print a value and the level that sets it.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The path of the value.
    path: String,
    /// The version to look at instead of the newest.
    #[arg(long, value_name = "VERSION")]
    at: Option<u64>,
}

/// Runs the command.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let mark = settings::read_head(&store).await?;
    let version = arguments.at.unwrap_or_else(|| mark.version());
    let tree = settings::read_tree(&store, &mark, version).await?;
    let found = tree.explain(&arguments.path)?;
    let mut lines = vec![format!(
        "{} = {}, set by {} (version {version})",
        arguments.path, found.value, found.level
    )];
    let overridden = found.overridden.iter();
    lines.extend(overridden.map(|(level, value)| format!("  overrides {value} of {level}")));
    let overridden: Vec<_> = found
        .overridden
        .iter()
        .map(|(level, value)| json!({"level": level, "value": value.to_json()}))
        .collect();
    let json = json!({
        "version": version,
        "path": arguments.path,
        "value": found.value.to_json(),
        "level": found.level,
        "overridden": overridden,
    });
    Ok(Report::ok(lines.join("\n"), json))
}
