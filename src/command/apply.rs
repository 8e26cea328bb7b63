//! `redwinggrade apply FILE [--base VERSION] [--timeout SECONDS] [--rewrite]`
//!
//! Stores the file as the newest settings and waits until every cell has confirmed them. The base is
//! the version that the file was made from: the first line of a file from `show` names it, and `--base`
//! overrides that. If the base is not the newest version, nothing is changed. With an empty store the
//! file becomes version 1.

use std::time::Duration;

use clap::Args;

use super::change::{self, WaitOptions};
use super::{Context, Exit, Failure, Report, read_settings_file, show};
use crate::connection::settings::{self, StoredHead};
use crate::connection::store::Store;
use crate::version::Tree;

/// Store a settings file and wait until it is in force everywhere.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The settings file, or `-` for standard input.
    file: String,
    /// The settings version that the file was made from.
    #[arg(long, value_name = "VERSION")]
    base: Option<u64>,
    /// Store the whole file without reading the settings log, to repair a damaged log; needs --base.
    #[arg(long, requires = "base")]
    rewrite: bool,
    #[command(flatten)]
    wait: WaitOptions,
}

/// Checks the base version, stores the file and waits for confirmation.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let text = read_settings_file(&arguments.file)?;
    let new = Tree::parse(&text, &arguments.file)?;
    let base = arguments.base.or_else(|| show::header_version(&text));
    let stored_head = read_stored_head(&store, arguments, base).await?;
    let newest = stored_head.version();
    match base {
        Some(base) if base != newest => return Err(stale_base(base, newest)),
        None if newest > 0 => {
            return Err(Failure::new(
                Exit::Usage,
                format!("{} does not name the settings version it was made from", arguments.file),
            )
            .with_hint(format!(
                "compare with `redwinggrade diff {0}`, then `redwinggrade apply {0} --base {newest}`",
                arguments.file
            )));
        }
        _ => {}
    }
    // Without the old tree the change stores the whole new tree, so that no reader needs earlier log entries.
    let old = if arguments.rewrite {
        None
    } else {
        Some(settings::read_tree(&store, &stored_head, newest).await?)
    };
    let timeout = Duration::from_secs(arguments.wait.timeout);
    change::commit(context, &store, &stored_head, old.as_ref(), &new, timeout).await
}

/// Reads the stored head. With `--rewrite`, a damaged head is replaced by one for the base version.
async fn read_stored_head(
    store: &Store,
    arguments: &Arguments,
    base: Option<u64>,
) -> Result<StoredHead, Failure> {
    match (settings::read_head(store).await, base) {
        (Err(settings::Error::Damaged(_)), Some(base)) if arguments.rewrite => {
            Ok(settings::head_for_repair(store, base).await?)
        }
        (head, _) => Ok(head?),
    }
}

/// Returns the failure for a file that was not made from the newest version.
fn stale_base(base: u64, newest: u64) -> Failure {
    let message = format!(
        "the file was made from version {base}, but the newest is {newest}; nothing was changed"
    );
    Failure::new(Exit::Conflict, message).with_hint(format!(
        "see what changed with `redwinggrade history`, carry your edits over to the output of \
         `redwinggrade show`, and apply with --base {newest}"
    ))
}
