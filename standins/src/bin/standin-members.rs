//! Program that runs the stand-in for the membership list.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use standins::members::{self, Config};

/// Serves a membership list for tests and the demo.
#[derive(Debug, Parser)]
struct Arguments {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Time from a change until responses show it, in milliseconds.
    #[arg(long, default_value_t = 0)]
    lag_ms: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let members = members::bind(Config {
        listen: arguments.listen,
        lag: Duration::from_millis(arguments.lag_ms),
    })
    .await?;
    println!("listening on {}", members.address());
    pending().await
}
