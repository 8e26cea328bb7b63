//! `redwinggrade check FILE`
//!
//! Checks a settings file without contacting the store. Each error is printed with file, line and
//! key. `-` reads standard input.

use clap::Args;
use serde_json::json;

use super::{Failure, Report, read_settings_file};
use crate::version::Tree;

/// Check a settings file.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The settings file, or `-` for standard input.
    file: String,
}

/// Parses the file and reports how many data centres, indexes and services it has.
pub fn run(arguments: &Arguments) -> Result<Report, Failure> {
    let tree = Tree::parse(&read_settings_file(&arguments.file)?, &arguments.file)?;
    let indexes = tree.indexes().count();
    let services: usize = tree
        .indexes()
        .map(|index| tree.services(index).count())
        .sum();
    let data_centres = tree.data_centres().count();
    let text = format!(
        "{}: ok, {data_centres} data centres, {indexes} indexes, {services} services, digest {}",
        arguments.file,
        tree.digest()
    );
    let json = json!({
        "data_centres": data_centres,
        "indexes": indexes,
        "services": services,
        "digest": tree.digest(),
    });
    Ok(Report::ok(text, json))
}
