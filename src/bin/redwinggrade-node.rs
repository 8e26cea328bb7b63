//! The node: one instance of the query tier, which serves callers and dispatches to targets.

use std::process::ExitCode;

use clap::Parser;
use redwinggrade::command::node;

fn main() -> ExitCode {
    node::run(&node::Args::parse())
}
