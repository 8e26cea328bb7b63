//! Program that runs the stand-in for the key-value store.

use std::future::pending;
use std::net::SocketAddr;

use clap::Parser;
use standins::store::{self, Config};

/// Serves the etcd v3 JSON mapping from memory for tests and the demo.
#[derive(Debug, Parser)]
struct Arguments {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let Arguments { listen } = Arguments::parse();
    let store = store::bind(Config {
        listen,
        ..Config::default()
    })
    .await?;
    println!("listening on {}", store.address());
    pending().await
}
