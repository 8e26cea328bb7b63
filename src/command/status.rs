//! `redwinggrade status`
//!
//! Prints the newest version in the store, and what the nodes given by `--node` report. Exit code 0
//! if all of them answered and are at the newest version, 3 if one is behind, 1 if one did not
//! answer or the store did not.

use clap::Args;
use serde_json::json;
use tokio::task::JoinSet;

use super::{Context, Exit, Failure, Report};
use crate::connection::{admin, settings};
use crate::version::acceptance::Status;

/// Print the state of the store and the nodes.
#[derive(Debug, Args)]
pub struct Arguments;

/// Runs the command.
pub async fn run(_arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let mut lines = Vec::new();
    let mut exit = Exit::Ok;
    let newest = match settings::read_head(&store).await {
        Ok(mark) => {
            lines.push(format!("store: version {}", mark.version()));
            Some(mark.version())
        }
        Err(fault) => {
            exit = Exit::Error;
            lines.push(format!("store: {fault}"));
            None
        }
    };
    let mut asked = JoinSet::new();
    for address in &context.nodes {
        asked.spawn(admin::status(*address));
    }
    let mut nodes: Vec<Status> = Vec::new();
    for answer in asked.join_all().await {
        match answer {
            Ok(status) => nodes.push(status),
            Err(fault) => {
                exit = Exit::Error;
                lines.push(format!("{fault}"));
            }
        }
    }
    nodes.sort_by(|a, b| (&a.cell, &a.node).cmp(&(&b.cell, &b.node)));
    for node in &nodes {
        if exit == Exit::Ok && newest.is_some_and(|newest| node.settings_version < newest) {
            exit = Exit::Unconfirmed;
        }
        lines.push(line(node));
    }
    let json = json!({"version": newest, "nodes": nodes});
    let text = lines.join("\n");
    Ok(Report { exit, text, json })
}

fn line(node: &Status) -> String {
    let permit = if node.permit { "yes" } else { "no" };
    let mut line = format!(
        "cell {} node {} data centre {} version {} permit {permit}",
        node.cell, node.node, node.data_centre, node.settings_version
    );
    for seen in &node.seen {
        line += "; saw ";
        line += &seen.name;
        line += " at ";
        line += &seen.settings.to_string();
    }
    line
}
