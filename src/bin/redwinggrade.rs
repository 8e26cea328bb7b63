//! The operators' client: shows, checks and changes the settings, and reads the logs of nodes.

use std::process::ExitCode;

use clap::Parser;
use redwinggrade::command::{self, Options};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    command::run(Options::parse()).await
}
