//! Command lines of the programs. The module itself holds the operators' client: its global options, exit
//! codes and the dispatch to one module per command. The node and the callers' client are in [`node`] and
//! [`query`].
//!
//! `docs/OPERATIONS.md` describes each task with its command, its output and its exit codes.

pub mod apply;
pub mod change;
pub mod check;
pub mod data_centre;
pub mod diff;
pub mod explain;
pub mod history;
pub mod instance;
pub mod logs;
pub mod node;
pub mod query;
pub mod show;
pub mod status;
pub mod trace;

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use derive_more::Display;
use serde_json::{Value as Json, json};

use crate::connection::settings;
use crate::connection::store::{self, Store};
use crate::time::Clock;
use crate::version::tree;

/// Maximum number of bytes read from a settings file: one more than permitted, so that a file that is too
/// long is detected.
const MAX_READ_BYTES: u64 = tree::MAX_FILE_BYTES as u64 + 1;

/// Operates redwinggrade: shows, checks and changes its settings.
///
/// Exit codes: 0 accepted or ok; 1 error, nothing was changed; 2 wrong usage; 3 stored but not yet
/// confirmed by every cell; 4 conflict with a newer version, nothing was changed; 5 the store did
/// not answer and the outcome is unknown until it is read back.
#[derive(Debug, Parser)]
#[command(name = "redwinggrade", version)]
pub struct Options {
    /// Addresses of the platform's store, tried in this order.
    #[arg(
        long,
        global = true,
        value_name = "ADDR",
        value_delimiter = ',',
        env = "REDWINGGRADE_STORE"
    )]
    store: Vec<SocketAddr>,
    /// Admin addresses of nodes that confirm a change; at least one node of each cell.
    #[arg(
        long,
        global = true,
        value_name = "ADDR",
        value_delimiter = ',',
        env = "REDWINGGRADE_NODE"
    )]
    node: Vec<SocketAddr>,
    /// Print one JSON object instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Show(show::Arguments),
    Explain(explain::Arguments),
    Check(check::Arguments),
    Diff(diff::Arguments),
    Apply(apply::Arguments),
    History(history::Arguments),
    DataCentre(data_centre::Arguments),
    Instance(instance::Arguments),
    Status(status::Arguments),
    Trace(trace::Arguments),
    Logs(logs::Arguments),
}

/// The exit codes of the operators' client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[repr(u8)]
pub enum Exit {
    /// The command did what was asked; a change is in force everywhere.
    #[display("ok")]
    Ok = 0,
    /// The command failed and changed nothing.
    #[display("error")]
    Error = 1,
    /// The command line is wrong or incomplete.
    #[display("usage")]
    Usage = 2,
    /// The change is stored, but some cells have not confirmed it.
    #[display("unconfirmed")]
    Unconfirmed = 3,
    /// A newer version exists; nothing was changed.
    #[display("conflict")]
    Conflict = 4,
    /// The store did not answer, and whether the change is stored is unknown.
    #[display("unknown")]
    Unknown = 5,
}

/// The output of a command that ran.
#[derive(Debug)]
pub struct Report {
    /// The exit code; it may be other than [`Exit::Ok`], for example for an unconfirmed change.
    pub exit: Exit,
    /// The output without `--json`.
    pub text: String,
    /// The object printed with `--json`; the key `outcome` is added when it is printed.
    pub json: Json,
}

impl Report {
    /// Returns a report with [`Exit::Ok`].
    pub fn ok<T: Into<String>>(text: T, json: Json) -> Self {
        Self {
            exit: Exit::Ok,
            text: text.into(),
            json,
        }
    }
}

/// Why a command failed, and what the operator can do about it.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// The exit code, never [`Exit::Ok`].
    pub exit: Exit,
    /// What failed, and why.
    pub message: String,
    /// What the operator can do next, if there is advice.
    pub hint: Option<String>,
}

impl Failure {
    /// Returns a failure without a hint.
    pub fn new<M: Into<String>>(exit: Exit, message: M) -> Self {
        Self {
            exit,
            message: message.into(),
            hint: None,
        }
    }

    /// Adds advice on what the operator can do next.
    pub fn with_hint<H: Into<String>>(mut self, hint: H) -> Self {
        self.hint = Some(hint.into());
        self
    }
}

impl From<settings::Error> for Failure {
    fn from(error: settings::Error) -> Self {
        let failure = Self::new(Exit::Error, error.to_string());
        match error {
            settings::Error::Store(error) => error.into(),
            settings::Error::Damaged(_) => failure.with_hint(
                "the nodes keep the last good version; store a good file with \
                 `redwinggrade apply FILE --base VERSION --rewrite`",
            ),
            settings::Error::NoVersion { .. } => {
                failure.with_hint("`redwinggrade history` lists the versions")
            }
        }
    }
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Self {
        Self::new(Exit::Error, format!("{error}; nothing was changed"))
            .with_hint("repeat the command when the store is back; nodes keep serving meanwhile")
    }
}

impl From<tree::Error> for Failure {
    fn from(error: tree::Error) -> Self {
        Self::new(Exit::Error, error.to_string())
    }
}

/// The addresses and the clock that commands use.
#[derive(Debug)]
pub struct Context {
    node_addresses: Vec<SocketAddr>,
    store_addresses: Vec<SocketAddr>,
    clock: Clock,
}

impl Context {
    /// Returns a client of the store, or a failure if no store address was given.
    pub fn store(&self) -> Result<Store, Failure> {
        if self.store_addresses.is_empty() {
            return Err(
                Failure::new(Exit::Usage, "no address of the store is given")
                    .with_hint("give --store ADDR or set REDWINGGRADE_STORE"),
            );
        }
        Ok(Store::open(self.store_addresses.clone()))
    }
}

/// Runs the command that the options select, prints its result and returns the exit code.
pub async fn run(options: Options) -> ExitCode {
    let context = Context {
        node_addresses: options.node,
        store_addresses: options.store,
        clock: Clock::start(),
    };
    let result = match &options.command {
        Command::Show(arguments) => show::run(arguments, &context).await,
        Command::Explain(arguments) => explain::run(arguments, &context).await,
        Command::Check(arguments) => check::run(arguments),
        Command::Diff(arguments) => diff::run(arguments, &context).await,
        Command::Apply(arguments) => apply::run(arguments, &context).await,
        Command::History(arguments) => history::run(arguments, &context).await,
        Command::DataCentre(arguments) => data_centre::run(arguments, &context).await,
        Command::Instance(arguments) => instance::run(arguments, &context).await,
        Command::Status(arguments) => status::run(arguments, &context).await,
        Command::Trace(arguments) => trace::run(arguments),
        Command::Logs(arguments) => logs::run(arguments),
    };
    match print_result(result, options.json) {
        Ok(exit) => ExitCode::from(exit as u8),
        // The output cannot be written, for example because a pipe was closed.
        Err(_) => ExitCode::from(Exit::Error as u8),
    }
}

/// Prints a report on standard output, and a failure on standard error or, with `--json`, on standard output.
fn print_result(result: Result<Report, Failure>, as_json: bool) -> io::Result<Exit> {
    let mut out = io::stdout().lock();
    match result {
        Ok(report) if as_json => {
            let mut json = report.json;
            json["outcome"] = Json::from(report.exit.to_string());
            writeln!(out, "{json}")?;
            Ok(report.exit)
        }
        Ok(report) => {
            writeln!(out, "{}", report.text.trim_end())?;
            Ok(report.exit)
        }
        Err(failure) if as_json => {
            let json = json!({
                "outcome": failure.exit.to_string(),
                "error": failure.message,
                "hint": failure.hint,
            });
            writeln!(out, "{json}")?;
            Ok(failure.exit)
        }
        Err(failure) => {
            let mut err = io::stderr().lock();
            writeln!(err, "error: {}", failure.message)?;
            if let Some(hint) = failure.hint {
                writeln!(err, "hint: {hint}")?;
            }
            Ok(failure.exit)
        }
    }
}

/// Reads a settings file up to the size limit; `-` reads standard input.
pub(crate) fn read_settings_file(file: &str) -> Result<String, Failure> {
    use std::io::Read;
    let to_failure = |error: io::Error| Failure::new(Exit::Error, format!("{file}: {error}"));
    let mut text = String::new();
    if file == "-" {
        io::stdin()
            .lock()
            .take(MAX_READ_BYTES)
            .read_to_string(&mut text)
            .map_err(to_failure)?;
    } else {
        std::fs::File::open(file)
            .map_err(to_failure)?
            .take(MAX_READ_BYTES)
            .read_to_string(&mut text)
            .map_err(to_failure)?;
    }
    Ok(text)
}
