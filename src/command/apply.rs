//! `redwinggrade apply FILE [--base VERSION] [--timeout SECONDS] [--rewrite]`
//!
//! Makes the file the settings, and waits until every cell has confirmed them. The base is the
//! version that the file was made from: the first line of a file from `show` names it, and `--base`
//! overrides that. If the base is not the newest version, nothing is changed. With an empty store
//! the file becomes version 1.

use std::time::Duration;

use clap::Args;

use super::change::{self, Wait};
use super::{Context, Exit, Failure, Report, read_file, show};
use crate::connection::settings::{self, StoredHead};
use crate::connection::store::Store;
use crate::version::Tree;

/// Store a settings file and wait until it is in force everywhere.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The file, or `-` for standard input.
    file: String,
    /// The version that the file was made from.
    #[arg(long, value_name = "VERSION")]
    base: Option<u64>,
    /// Store the whole file without reading the log, to repair a damaged one; needs --base.
    #[arg(long, requires = "base")]
    rewrite: bool,
    #[command(flatten)]
    wait: Wait,
}

/// Runs the command.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let store = context.store()?;
    let text = read_file(&arguments.file)?;
    let new = Tree::parse(&text, &arguments.file)?;
    let base = arguments.base.or_else(|| show::shown_version(&text));
    let mark = mark(&store, arguments, base).await?;
    let newest = mark.version();
    match base {
        Some(base) if base != newest => return Err(stale(base, newest)),
        None if newest > 0 => {
            return Err(Failure::new(
                Exit::Usage,
                format!("{} does not name the version it was made from", arguments.file),
            )
            .hint(format!(
                "compare with `redwinggrade diff {0}`, then `redwinggrade apply {0} --base {newest}`",
                arguments.file
            )));
        }
        _ => {}
    }
    // Without the old tree the change is stored whole, and nothing depends on the log before it.
    let old = if arguments.rewrite {
        None
    } else {
        Some(settings::read_tree(&store, &mark, newest).await?)
    };
    let timeout = Duration::from_secs(arguments.wait.timeout);
    change::commit(context, &store, &mark, old.as_ref(), &new, timeout).await
}

async fn mark(
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

fn stale(base: u64, newest: u64) -> Failure {
    let message = format!(
        "the file was made from version {base}, but the newest is {newest}; nothing was changed"
    );
    Failure::new(Exit::Conflict, message).hint(format!(
        "see what changed with `redwinggrade history`, carry your edits over to the output of \
         `redwinggrade show`, and apply with --base {newest}"
    ))
}
