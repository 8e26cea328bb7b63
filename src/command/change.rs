//! The steps common to all commands that change the settings: one write, reading back its outcome, and
//! waiting for the cells to confirm the new version.
//!
//! Each write carries an operation id. If the store's answer is lost, the log is read until the outcome
//! is known or the time limit passes; nothing is written a second time. See `docs/design.md`, section 5.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Args;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::{Context, Exit, Failure, Report};
use crate::connection::admin;
use crate::connection::settings::{self, StoredHead, WriteOutcome};
use crate::connection::store::Store;
use crate::process::record;
use crate::time::{Clock, Moment};
use crate::version::Tree;
use crate::version::acceptance::{Acceptance, Status, Unconfirmed};
use crate::version::edit::{self, Edit};
use crate::version::log::{Change, Entry, Origin};
use crate::wire::exchange::Record;

/// Time between two reads of the store, and between two status requests to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of attempts for edits that conflict with other changes. Each attempt starts from the
/// newest version.
const MAX_TRIES: usize = 5;

/// Number of hexadecimal digits that follow the base version in an operation id.
const OPERATION_TAG_DIGITS: usize = 16;

/// The options of commands that wait for a change.
#[derive(Debug, Args)]
pub struct WaitOptions {
    /// Time limit for the outcome and the confirmations, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub timeout: u64,
}

/// Writes `new` as the version after the stored head, and waits until every cell has confirmed it.
///
/// `old` is the tree at the stored head, or `None` if that cannot be read.
pub async fn commit(
    context: &Context,
    store: &Store,
    stored_head: &StoredHead,
    old: Option<&Tree>,
    new: &Tree,
    timeout: Duration,
) -> Result<Report, Failure> {
    if stored_head.head.is_some() && old == Some(new) {
        let text = format!(
            "no change, version {} holds these settings",
            stored_head.version()
        );
        return Ok(Report::ok(text, json!({"version": stored_head.version()})));
    }
    let deadline = context.clock.now() + timeout;
    let origin = new_origin(stored_head.version());
    let change = Change::prepare(
        stored_head.version(),
        stored_head.snapshot_version(),
        old,
        new,
        origin,
    );
    print_operation(&change.entry);
    let mut outcome = settings::write_change(store, stored_head, &change).await?;
    while let WriteOutcome::Unknown(_) = outcome {
        outcome = match settings::find_outcome(store, &change).await {
            Ok(found) => found,
            Err(error) => WriteOutcome::Unknown(error.to_string()),
        };
        let is_unknown = matches!(outcome, WriteOutcome::Unknown(_));
        if !is_unknown || context.clock.now() >= deadline {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    match outcome {
        WriteOutcome::Stored => {
            let cells = old.into_iter().chain([new]).flat_map(all_cells);
            let acceptance = Acceptance::new(change.entry.version, cells);
            Ok(await_confirmation(context, store, &change.entry, acceptance, deadline).await)
        }
        WriteOutcome::Conflict => Err(Failure::new(
            Exit::Conflict,
            format!(
                "another change became version {} first; nothing was changed",
                change.entry.version
            ),
        )
        .with_hint("see it with `redwinggrade history`, and start again from `redwinggrade show`")),
        WriteOutcome::Unknown(reason) => Err(unknown_outcome(&change.entry.operation, &reason)),
    }
}

/// Prints the operation id on standard error before the write, so that the operator can look up its
/// outcome if the command is stopped.
fn print_operation(entry: &Entry) {
    let mut err = io::stderr().lock();
    // If standard error is closed, the write still goes on.
    let _ = writeln!(
        err,
        "operation {} writes version {}",
        entry.operation, entry.version
    );
}

/// Applies edits to the newest version and waits for confirmation. On a conflict with another change, it
/// starts again from the newest version.
///
/// This is safe only for edits whose meaning does not depend on the version that they start from.
pub async fn apply_edits(
    context: &Context,
    edits: &[Edit],
    timeout: Duration,
) -> Result<Report, Failure> {
    let store = context.store()?;
    let mut attempt = 1;
    loop {
        let stored_head = settings::read_head(&store).await?;
        let old = settings::read_tree(&store, &stored_head, stored_head.version()).await?;
        let new = edit::apply(&old, edits)?;
        match commit(context, &store, &stored_head, Some(&old), &new, timeout).await {
            Err(failure) if failure.exit == Exit::Conflict && attempt < MAX_TRIES => attempt += 1,
            result => return result,
        }
    }
}

/// Returns the failure for a write whose outcome could not be read back.
pub fn unknown_outcome(operation: &str, reason: &str) -> Failure {
    let message = format!(
        "the outcome of operation {operation} is unknown: {reason}; it may still take effect"
    );
    Failure::new(Exit::Unknown, message).with_hint(format!(
        "ask again with `redwinggrade history --operation {operation}`; do not repeat the change until \
         its outcome is known"
    ))
}

/// Polls the store and the nodes until every cell has confirmed the entry's version.
///
/// Each node gives one status or error, and the records are read once, even if the deadline has passed.
pub async fn await_confirmation(
    context: &Context,
    store: &Store,
    entry: &Entry,
    mut acceptance: Acceptance,
    deadline: Moment,
) -> Report {
    let nodes: BTreeSet<SocketAddr> = context.node_addresses.iter().copied().collect();
    let mut responses = spawn_status_polls(&nodes);
    let mut progress = Progress::default();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let unconfirmed = loop {
        tokio::select! {
            Some(response) = responses.recv() =>
                progress.add_status_response(response, &mut acceptance, context.clock.now()),
            _ = ticks.tick() => progress.read_records(store, &mut acceptance, context.clock).await,
        }
        let now = context.clock.now();
        let unconfirmed = acceptance.unconfirmed_cells(now);
        let polled_all = progress.has_read_records && progress.last_errors.len() >= nodes.len();
        if unconfirmed.is_empty() || (polled_all && now >= deadline) {
            break unconfirmed;
        }
    };
    confirmation_report(entry, &unconfirmed, progress.last_errors.values().flatten())
}

/// The address of a node and its response to a status request.
type StatusResponse = (SocketAddr, Result<Status, admin::Error>);

/// Requests the status of every node repeatedly, one task per node, so that a node that does not respond
/// does not delay the others.
fn spawn_status_polls(nodes: &BTreeSet<SocketAddr>) -> mpsc::Receiver<StatusResponse> {
    let (sender, receiver) = mpsc::channel(nodes.len().max(1));
    for &address in nodes {
        let sender = sender.clone();
        tokio::spawn(async move {
            // The receiver is dropped when the wait ends; the send then fails and ends the task.
            while sender
                .send((address, admin::status(address).await))
                .await
                .is_ok()
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
    }
    receiver
}

/// The records and status responses received while waiting for confirmation.
#[derive(Debug, Default)]
struct Progress {
    /// The newest record of each cell.
    cell_records: BTreeMap<String, Record>,
    /// The store revision from which the next read of records starts.
    next_revision: u64,
    /// Whether the records were read at least once, even if that failed.
    has_read_records: bool,
    /// For each node that has responded or failed, the error of its last status request, if any.
    last_errors: BTreeMap<SocketAddr, Option<admin::Error>>,
}

impl Progress {
    /// Passes the status of a node on, or stores its error.
    fn add_status_response(
        &mut self,
        (address, response): StatusResponse,
        acceptance: &mut Acceptance,
        now: Moment,
    ) {
        match response {
            Ok(status) => {
                acceptance.add_status(&status, now);
                self.last_errors.insert(address, None);
            }
            Err(error) => {
                self.last_errors.insert(address, Some(error));
            }
        }
    }

    /// Reads the records that changed since the last read and passes all records on.
    async fn read_records(&mut self, store: &Store, acceptance: &mut Acceptance, clock: Clock) {
        self.has_read_records = true;
        let Ok(changes) = record::read_changes(store, self.next_revision).await else {
            return;
        };
        let read = changes.records.into_iter();
        self.cell_records
            .extend(read.map(|(cell, stored)| (cell, stored.record)));
        // The members of a cell with a damaged record are unknown, so that the read is repeated.
        if changes.damaged.is_empty() {
            self.next_revision = changes.revision + 1;
            acceptance.add_records(&self.cell_records, clock.now());
        }
    }
}

/// Returns the report of a stored change: accepted, or which cells have not confirmed it and why.
fn confirmation_report<'f, S>(entry: &Entry, unconfirmed: &[Unconfirmed], node_errors: S) -> Report
where
    S: Iterator<Item = &'f admin::Error>,
{
    let (version, operation) = (entry.version, &entry.operation);
    let mut json = json!({
        "version": version,
        "operation": operation,
        "base": entry.base,
    });
    if unconfirmed.is_empty() {
        let text =
            format!("accepted: version {version} is in force everywhere (operation {operation})");
        return Report::ok(text, json);
    }
    let cells: Vec<&str> = unconfirmed.iter().map(|cell| cell.cell.as_str()).collect();
    let mut lines = vec![format!(
        "stored as version {version} (operation {operation}), not yet confirmed at {}",
        cells.join(", ")
    )];
    for cell in unconfirmed {
        let missing = match cell.members.as_slice() {
            [] => String::new(),
            members => format!("; missing: {}", members.join(", ")),
        };
        lines.push(format!("  cell {}: {}{missing}", cell.cell, cell.reason));
    }
    lines.extend(node_errors.map(|error| format!("  {error}")));
    lines.push(format!(
        "ask again with `redwinggrade history --operation {operation}`, with --node for each cell above"
    ));
    json["unconfirmed"] = json!(unconfirmed);
    Report {
        exit: Exit::Unconfirmed,
        text: lines.join("\n"),
        json,
    }
}

/// Returns the names of the cells of all data centres.
fn all_cells(tree: &Tree) -> Vec<String> {
    tree.data_centres()
        .flat_map(|name| tree.cells(name).iter().cloned())
        .collect()
}

/// Returns the base version that an operation id starts with; `None` if the id is malformed.
///
/// A malformed id must not be looked up: the log does not hold it, which would be reported as "did not
/// take effect".
pub fn base_version(operation: &str) -> Option<u64> {
    let (base, tag) = operation.split_once('-')?;
    let is_tag =
        tag.len() == OPERATION_TAG_DIGITS && tag.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_tag { base.parse().ok() } else { None }
}

/// Returns a new origin. Its operation id starts with the base version, so that one log entry tells the
/// outcome.
fn new_origin(base: u64) -> Origin {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Origin {
        operation: format!("{base}-{:0OPERATION_TAG_DIGITS$x}", rand::random::<u64>()),
        author: std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()),
        written_ms: since_epoch.as_millis() as u64,
    }
}
