//! What every command that changes the settings does: write once, settle, confirm.
//!
//! Each write carries an operation id. If its answer is lost, the log is read back until the outcome
//! is known or the time is up; nothing is written a second time. See `docs/design.md`, section 5.

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

/// Time between two looks at the store and the nodes while a change is settled or confirmed.
const POLL: Duration = Duration::from_millis(200);
/// Attempts of a single-value change that loses races; each starts from the newest version.
const ATTEMPTS: usize = 5;

/// Hexadecimal digits of an operation id after its base.
const OPERATION_DIGITS: usize = 16;

/// How long to wait for a change.
#[derive(Debug, Args)]
pub struct Wait {
    /// How long to wait for the outcome and for confirmations, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub timeout: u64,
}

/// Writes `new` as the version after the mark, and waits until every cell has confirmed it.
///
/// `old` is the tree at the mark, unless it cannot be read.
pub async fn commit(
    context: &Context,
    store: &Store,
    mark: &StoredHead,
    old: Option<&Tree>,
    new: &Tree,
    timeout: Duration,
) -> Result<Report, Failure> {
    if mark.head.is_some() && old == Some(new) {
        let text = format!("no change, version {} holds these settings", mark.version());
        return Ok(Report::ok(text, json!({"version": mark.version()})));
    }
    let until = context.clock.now() + timeout;
    let origin = origin(mark.version());
    let change = Change::prepare(mark.version(), mark.snapshot_version(), old, new, origin);
    announce(&change.entry);
    let mut written = settings::write_change(store, mark, &change).await?;
    while let WriteOutcome::Unknown(_) = written {
        written = match settings::find_outcome(store, &change).await {
            Ok(settled) => settled,
            Err(fault) => WriteOutcome::Unknown(fault.to_string()),
        };
        let waiting = matches!(written, WriteOutcome::Unknown(_));
        if !waiting || context.clock.now() >= until {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    match written {
        WriteOutcome::Stored => {
            let cells = old.into_iter().chain([new]).flat_map(cells);
            let acceptance = Acceptance::new(change.entry.version, cells);
            Ok(confirm(context, store, &change.entry, acceptance, until).await)
        }
        WriteOutcome::Conflict => Err(Failure::new(
            Exit::Conflict,
            format!(
                "another change became version {} first; nothing was changed",
                change.entry.version
            ),
        )
        .hint("see it with `redwinggrade history`, and start again from `redwinggrade show`")),
        WriteOutcome::Unknown(reason) => Err(unknown(&change.entry.operation, &reason)),
    }
}

/// Names the operation before it is written, so that its outcome can be asked for if the client is
/// stopped.
fn announce(entry: &Entry) {
    let mut err = io::stderr().lock();
    // Without a reader of the messages the write still goes on.
    let _ = writeln!(
        err,
        "operation {} writes version {}",
        entry.operation, entry.version
    );
}

/// Applies edits to the newest version, again from the start if another change comes first.
///
/// This is safe only for edits whose meaning does not depend on the version that they start from.
pub async fn edit(context: &Context, edits: &[Edit], timeout: Duration) -> Result<Report, Failure> {
    let store = context.store()?;
    let mut attempt = 1;
    loop {
        let mark = settings::read_head(&store).await?;
        let old = settings::read_tree(&store, &mark, mark.version()).await?;
        let new = edit::apply(&old, edits)?;
        match commit(context, &store, &mark, Some(&old), &new, timeout).await {
            Err(failure) if failure.exit == Exit::Conflict && attempt < ATTEMPTS => attempt += 1,
            decided => return decided,
        }
    }
}

/// Describes a write whose outcome could not be read back.
pub fn unknown(operation: &str, reason: &str) -> Failure {
    let message = format!(
        "the outcome of operation {operation} is unknown: {reason}; it may still take effect"
    );
    Failure::new(Exit::Unknown, message).hint(format!(
        "ask again with `redwinggrade history --operation {operation}`; do not repeat the change before"
    ))
}

/// Polls the store and the nodes until every cell has confirmed the entry's version.
///
/// Every node is heard and the records are read at least once, whatever the time limit.
pub async fn confirm(
    context: &Context,
    store: &Store,
    entry: &Entry,
    mut acceptance: Acceptance,
    until: Moment,
) -> Report {
    let nodes: BTreeSet<SocketAddr> = context.nodes.iter().copied().collect();
    let mut answers = poll(&nodes);
    let mut watch = Watch::default();
    let mut ticks = tokio::time::interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let waiting = loop {
        tokio::select! {
            Some(answer) = answers.recv() => watch.hear(answer, &mut acceptance, context.clock.now()),
            _ = ticks.tick() => watch.read(store, &mut acceptance, context.clock).await,
        }
        let now = context.clock.now();
        let waiting = acceptance.unconfirmed_cells(now);
        let looked = watch.has_read && watch.heard.len() >= nodes.len();
        if waiting.is_empty() || (looked && now >= until) {
            break waiting;
        }
    };
    describe(entry, &waiting, watch.heard.values().flatten())
}

/// What a node at an address answered.
type Answer = (SocketAddr, Result<Status, admin::Error>);

/// Asks every node again and again, so that a silent one does not delay what the others say.
fn poll(nodes: &BTreeSet<SocketAddr>) -> mpsc::Receiver<Answer> {
    let (sender, receiver) = mpsc::channel(nodes.len().max(1));
    for &address in nodes {
        let sender = sender.clone();
        tokio::spawn(async move {
            // The receiver is dropped when the outcome is known.
            while sender
                .send((address, admin::status(address).await))
                .await
                .is_ok()
            {
                tokio::time::sleep(POLL).await;
            }
        });
    }
    receiver
}

/// What the client has learned of cells and nodes.
#[derive(Debug, Default)]
struct Watch {
    records: BTreeMap<String, Record>,
    next_revision: u64,
    has_read: bool,
    /// The nodes that were asked, and why the last attempt gave no status.
    heard: BTreeMap<SocketAddr, Option<admin::Error>>,
}

impl Watch {
    fn hear(&mut self, (address, answer): Answer, acceptance: &mut Acceptance, now: Moment) {
        match answer {
            Ok(status) => {
                acceptance.add_status(&status, now);
                self.heard.insert(address, None);
            }
            Err(fault) => {
                self.heard.insert(address, Some(fault));
            }
        }
    }

    async fn read(&mut self, store: &Store, acceptance: &mut Acceptance, clock: Clock) {
        self.has_read = true;
        let Ok(changes) = record::read_changes(store, self.next_revision).await else {
            return;
        };
        let read = changes.records.into_iter();
        self.records
            .extend(read.map(|(cell, stored)| (cell, stored.record)));
        // A damaged record hides the members of its cell, so that the read does not count.
        if changes.damaged.is_empty() {
            self.next_revision = changes.revision + 1;
            acceptance.add_records(&self.records, clock.now());
        }
    }
}

fn describe<'f, S>(entry: &Entry, waiting: &[Unconfirmed], silent: S) -> Report
where
    S: Iterator<Item = &'f admin::Error>,
{
    let (version, operation) = (entry.version, &entry.operation);
    let mut json = json!({
        "version": version,
        "operation": operation,
        "base": entry.base,
    });
    if waiting.is_empty() {
        let text =
            format!("accepted: version {version} is in force everywhere (operation {operation})");
        return Report::ok(text, json);
    }
    let cells: Vec<&str> = waiting.iter().map(|cell| cell.cell.as_str()).collect();
    let mut lines = vec![format!(
        "stored as version {version} (operation {operation}), not yet confirmed at {}",
        cells.join(", ")
    )];
    for cell in waiting {
        let missing = match cell.members.as_slice() {
            [] => String::new(),
            members => format!("; missing: {}", members.join(", ")),
        };
        lines.push(format!("  cell {}: {}{missing}", cell.cell, cell.reason));
    }
    lines.extend(silent.map(|fault| format!("  {fault}")));
    lines.push(format!(
        "ask again with `redwinggrade history --operation {operation}`, with --node for each cell above"
    ));
    json["unconfirmed"] = json!(waiting);
    Report {
        exit: Exit::Unconfirmed,
        text: lines.join("\n"),
        json,
    }
}

fn cells(tree: &Tree) -> Vec<String> {
    tree.data_centres()
        .flat_map(|name| tree.cells(name).iter().cloned())
        .collect()
}

/// Returns the base that a well-formed operation id names.
///
/// A damaged id must not be looked up: its absence from the log would read as "never took effect".
pub fn base_of(operation: &str) -> Option<u64> {
    let (base, tag) = operation.split_once('-')?;
    let is_tag = tag.len() == OPERATION_DIGITS && tag.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_tag { base.parse().ok() } else { None }
}

/// An operation id names its base, so that its outcome is one look-up in the log.
fn origin(base: u64) -> Origin {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Origin {
        operation: format!("{base}-{:0OPERATION_DIGITS$x}", rand::random::<u64>()),
        author: std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()),
        written_ms: since_epoch.as_millis() as u64,
    }
}
