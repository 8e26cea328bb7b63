//! Runs the stand-ins for the targets of a spec file.

use std::future::pending;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::Parser;
use standins::spec::{Builder, User};
use standins::target::spec::Spec;
use standins::target::{self, Config};

/// Serves many targets from one process for tests and the demo.
///
/// Prints the targets' addresses as one line of JSON, unless --addresses is given, and then the
/// address of the admin interface.
#[derive(Debug, Parser)]
struct Arguments {
    /// The YAML file that describes the targets.
    #[arg(long, required_unless_present = "user", conflicts_with = "user")]
    spec: Option<PathBuf>,
    /// Serves the targets of a user, magnolia or tamar, in place of a spec file.
    #[arg(long)]
    user: Option<User>,
    /// Prints the spec as YAML and exits.
    #[arg(long)]
    print_spec: bool,
    /// Where the admin interface listens; port 0 takes a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin: SocketAddr,
    /// The file that gets the targets' addresses as JSON.
    #[arg(long)]
    addresses: Option<PathBuf>,
    /// The address of the membership list to register at.
    #[arg(long)]
    members: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let spec = read(&arguments)?;
    if arguments.print_spec {
        println!("{}", spec.to_yaml()?);
        return Ok(());
    }
    let mut config = Config::new(spec);
    config.admin = arguments.admin;
    config.members = arguments.members;
    let targets = target::bind(config).await?;
    let addresses = serde_json::to_string(&targets.addresses())?;
    match &arguments.addresses {
        Some(path) => std::fs::write(path, addresses)
            .with_context(|| format!("cannot write {}", path.display()))?,
        None => println!("{addresses}"),
    }
    println!("listening on {}", targets.admin());
    pending().await
}

fn read(arguments: &Arguments) -> anyhow::Result<Spec> {
    if let Some(user) = arguments.user {
        return Ok(Builder::new(user).build());
    }
    let path = arguments.spec.as_ref().context("no spec is given")?;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    Spec::parse(&text).with_context(|| path.display().to_string())
}
