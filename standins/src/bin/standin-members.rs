//! Runs the stand-in for the platform's membership list.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use standins::members::{self, Config};

/// Serves the membership list of a platform for tests and the demo.
#[derive(Debug, Parser)]
struct Arguments {
    /// The address to listen on; port 0 takes a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// How far answers lag behind changes, in milliseconds.
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
