//! The command line of a node: reads its settings file and serves until a signal stops it.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};

use crate::process::config::Config;
use crate::process::log as logging;
use crate::process::node::Node;

const USAGE: &str = "\
Joins the cell that the settings file names and serves callers until it is asked to stop. The first
line on standard output gives the addresses, the log goes to standard error.

SIGTERM or SIGINT stops the node as planned: it leaves the address lists, serves for as long as
callers keep them, refuses new requests and names other addresses, and finishes accepted requests.

Exit codes: 0 stopped as planned, 1 the settings file or an address cannot be used, 2 bad usage.

    redwinggrade-node node-1.yaml";

/// The command-line options of a node.
#[derive(Debug, Clone, Parser)]
#[command(name = "redwinggrade-node", version, about = "Runs a node", after_help = USAGE)]
pub struct Args {
    /// The settings file of the node
    config: PathBuf,
    /// Check the settings file and exit
    #[arg(long)]
    check: bool,
    /// Worker threads; by default one per core
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=256))]
    threads: Option<u16>,
}

/// Runs a node until it is stopped, and returns the exit code.
pub fn run(args: &Args) -> ExitCode {
    logging::open();
    match try_run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("redwinggrade-node: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings file and, unless it is only to be checked, serves until the node is stopped.
fn try_run(args: &Args) -> anyhow::Result<()> {
    let config = Config::read(&args.config)?;
    if args.check {
        return Ok(());
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all();
    if let Some(threads) = args.threads {
        builder.worker_threads(usize::from(threads));
    }
    builder
        .build()
        .context("cannot start the runtime")?
        .block_on(serve_until_signal(config))
}

/// Starts the node, prints its addresses, and performs a planned stop on SIGTERM or SIGINT.
async fn serve_until_signal(config: Config) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let name = config.name.clone();
    let node = Node::bind(config).await?;
    println!(
        "listening {name} caller={} peer={} admin={}",
        node.caller(),
        node.peer(),
        node.admin()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}
