//! One entry instance of the query tier.

use std::process::ExitCode;

use clap::Parser;
use redwinggrade::command::node;

fn main() -> ExitCode {
    node::run(&node::Args::parse())
}
