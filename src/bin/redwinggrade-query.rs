//! The callers' client.

use std::process::ExitCode;

use clap::Parser;
use redwinggrade::command::query;

#[tokio::main]
async fn main() -> ExitCode {
    query::run(query::Args::parse()).await
}
