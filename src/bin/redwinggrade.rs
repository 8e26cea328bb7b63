//! The operators' client.

use std::process::ExitCode;

use clap::Parser;
use redwinggrade::command::{self, Options};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    command::run(Options::parse()).await
}
