//! Program that runs the stand-ins for the targets of a spec.

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
/// Prints the addresses of the targets as one line of JSON, unless --addresses is given, and then the
/// address of the admin interface.
#[derive(Debug, Parser)]
struct Arguments {
    /// YAML file that describes the targets.
    #[arg(long, required_unless_present = "user", conflicts_with = "user")]
    spec: Option<PathBuf>,
    /// Serves the targets of a user, magnolia or tamar, instead of those of a spec file.
    #[arg(long)]
    user: Option<User>,
    /// Prints the spec as YAML and exits.
    #[arg(long)]
    print_spec: bool,
    /// Address of the admin interface; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin: SocketAddr,
    /// File to write the addresses of the targets to, as JSON.
    #[arg(long)]
    addresses: Option<PathBuf>,
    /// Address of the membership list at which the targets register.
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

/// Returns the spec of the given user or spec file.
fn read(arguments: &Arguments) -> anyhow::Result<Spec> {
    if let Some(user) = arguments.user {
        return Ok(Builder::new(user).build());
    }
    let path = arguments.spec.as_ref().context("no spec is given")?;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    Spec::parse(&text).with_context(|| path.display().to_string())
}
