//! `redwinggrade show [--at VERSION]`
//!
//! Prints the settings as a YAML file that `apply` reads. The first line names the version, so that
//! `apply` detects whether another operator has changed the settings in the meantime.

use clap::Args;
use serde_json::json;

use super::{Context, Failure, Report};
use crate::connection::settings;

/// The start of the line that names the version in a file printed by `show`.
const VERSION_HEADER: &str = "# redwinggrade settings, version ";
/// Number of lines at the start of a file that are searched for the version.
const MAX_HEADER_LINES: usize = 10;

/// Print the settings.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The settings version to print instead of the newest.
    #[arg(long, value_name = "VERSION")]
    at: Option<u64>,
}

/// Reads the stored settings and reports them as YAML.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let stored_head = settings::read_head(&store).await?;
    let version = arguments.at.unwrap_or_else(|| stored_head.version());
    let tree = settings::read_tree(&store, &stored_head, version).await?;
    let yaml = tree.to_yaml();
    let json = json!({
        "version": version,
        "digest": tree.digest(),
        "settings": yaml,
    });
    Ok(Report::ok(
        format!("{VERSION_HEADER}{version}\n{yaml}"),
        json,
    ))
}

/// Returns the version that a file printed by `show` names; `None` for any other file.
pub fn header_version(text: &str) -> Option<u64> {
    text.lines()
        .take(MAX_HEADER_LINES)
        .find_map(|line| line.strip_prefix(VERSION_HEADER)?.trim().parse().ok())
}
