//! `redwinggrade show [--at VERSION]`
//!
//! Prints the settings as a file that `apply` takes. The first line names the version, so that
//! `apply` notices if another operator changes the settings in the meantime.

use clap::Args;
use serde_json::json;

use super::{Context, Failure, Report};
use crate::connection::settings;

/// The start of the line that names the version of a shown file.
const HEADER: &str = "# redwinggrade settings, version ";
/// Lines in which the version of a shown file is looked for.
const HEADER_LINES: usize = 10;

/// Print the settings.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The version to print instead of the newest.
    #[arg(long, value_name = "VERSION")]
    at: Option<u64>,
}

/// Runs the command.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let mark = settings::read_head(&store).await?;
    let version = arguments.at.unwrap_or_else(|| mark.version());
    let tree = settings::read_tree(&store, &mark, version).await?;
    let yaml = tree.to_yaml();
    let json = json!({
        "version": version,
        "digest": tree.digest(),
        "settings": yaml,
    });
    Ok(Report::ok(format!("{HEADER}{version}\n{yaml}"), json))
}

/// Returns the version that a shown file names.
pub fn shown_version(text: &str) -> Option<u64> {
    text.lines()
        .take(HEADER_LINES)
        .find_map(|line| line.strip_prefix(HEADER)?.trim().parse().ok())
}
