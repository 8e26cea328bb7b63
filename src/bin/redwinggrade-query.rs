//! The callers' client: sends one query to the query tier and prints its outcome.

use std::process::ExitCode;

use clap::Parser;
use redwinggrade::command::query;

#[tokio::main]
async fn main() -> ExitCode {
    query::run(query::Args::parse()).await
}
