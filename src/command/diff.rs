//! `redwinggrade diff FILE [--at VERSION]`
//!
//! Prints the edits that would turn the newest settings, or those of VERSION, into the file.

use clap::Args;
use serde_json::json;

use super::{Context, Failure, Report, read_settings_file};
use crate::connection::settings;
use crate::version::Tree;
use crate::version::edit::{self, Edit};
use crate::version::section::Path;

/// Print the edits between the settings and a file.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The settings file, or `-` for standard input.
    file: String,
    /// The settings version to compare with instead of the newest.
    #[arg(long, value_name = "VERSION")]
    at: Option<u64>,
}

/// Compares the stored settings with the file and reports the edits.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let new = Tree::parse(&read_settings_file(&arguments.file)?, &arguments.file)?;
    let stored_head = settings::read_head(&store).await?;
    let version = arguments.at.unwrap_or_else(|| stored_head.version());
    let old = settings::read_tree(&store, &stored_head, version).await?;
    let edits = edit::diff(&old, &new);
    let mut text = format!("{} edits to version {version}\n", edits.len());
    for edit in &edits {
        text.push_str(&describe_edit(edit, &old));
        text.push('\n');
    }
    let json = json!({"version": version, "edits": edits});
    Ok(Report::ok(text, json))
}

/// Returns one line for an edit: `+` adds a value, `~` replaces one, `-` removes one.
pub fn describe_edit(edit: &Edit, old: &Tree) -> String {
    let before = Path::parse(edit.path())
        .ok()
        .and_then(|path| old.own_value(path.section, path.key?.name))
        .map(ToString::to_string);
    match (edit, before) {
        (Edit::Set { path, value }, None) if value.is_null() => format!("+ {path}"),
        (Edit::Set { path, value }, None) => format!("+ {path} = {value}"),
        (Edit::Set { path, value }, Some(before)) => format!("~ {path} = {value} (was {before})"),
        (Edit::Unset { path }, None) => format!("- {path}"),
        (Edit::Unset { path }, Some(before)) => format!("- {path} (was {before})"),
    }
}
