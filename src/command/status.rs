//! `redwinggrade status`
//!
//! Prints the newest settings version in the store, and what the nodes given by `--node` report. Exit
//! code 0 if all nodes answered and have the newest version, 3 if a node has an older one, 1 if a node
//! or the store did not answer.

use clap::Args;
use serde_json::json;
use tokio::task::JoinSet;

use super::{Context, Exit, Failure, Report};
use crate::connection::{admin, settings};
use crate::version::acceptance::Status;

/// Print the state of the store and the nodes.
#[derive(Debug, Args)]
pub struct Arguments;

/// Reads the stored version and the status of each node, and reports both.
pub async fn run(_arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let mut lines = Vec::new();
    let mut exit = Exit::Ok;
    let newest = match settings::read_head(&store).await {
        Ok(stored_head) => {
            lines.push(format!("store: version {}", stored_head.version()));
            Some(stored_head.version())
        }
        Err(error) => {
            exit = Exit::Error;
            lines.push(format!("store: {error}"));
            None
        }
    };
    let mut requests = JoinSet::new();
    for address in &context.node_addresses {
        requests.spawn(admin::status(*address));
    }
    let mut nodes: Vec<Status> = Vec::new();
    for answer in requests.join_all().await {
        match answer {
            Ok(status) => nodes.push(status),
            Err(error) => {
                exit = Exit::Error;
                lines.push(format!("{error}"));
            }
        }
    }
    nodes.sort_by(|a, b| (&a.cell, &a.node).cmp(&(&b.cell, &b.node)));
    for node in &nodes {
        if exit == Exit::Ok && newest.is_some_and(|newest| node.settings_version < newest) {
            exit = Exit::Unconfirmed;
        }
        lines.push(describe_node(node));
    }
    let json = json!({"version": newest, "nodes": nodes});
    let text = lines.join("\n");
    Ok(Report { exit, text, json })
}

/// Returns one line for a node, with the settings versions of the members that it has heard from.
fn describe_node(node: &Status) -> String {
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
