//! `redwinggrade instance out|in NAME [--timeout SECONDS]`
//!
//! Takes one node or target out of service or brings it back. The settings do not list instances,
//! so that the name is not checked against the platform's membership list.

use std::time::Duration;

use clap::{Args, Subcommand};

use super::change::{self, Wait};
use super::{Context, Exit, Failure, Report};
use crate::version::edit::Edit;
use crate::version::section::{Path, Section};

/// Take a node or target out of service, or bring it back.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    direction: Direction,
}

#[derive(Debug, Subcommand)]
enum Direction {
    /// Take it out of service.
    Out(Target),
    /// Bring it back into service.
    In(Target),
}

#[derive(Debug, Args)]
struct Target {
    /// The node or target.
    name: String,
    #[command(flatten)]
    wait: Wait,
}

/// Runs the command.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let (Direction::Out(target) | Direction::In(target)) = &arguments.direction;
    let path = Section::Instance(&target.name).to_string();
    if let Err(reason) = Path::parse(&path) {
        return Err(Failure::new(
            Exit::Usage,
            format!("{}: {reason}", target.name),
        ));
    }
    let edit = match &arguments.direction {
        Direction::Out(_) => Edit::set(format!("{path}.state"), "out"),
        // An instance is in service unless the settings mention it, so that the section can go.
        Direction::In(_) => Edit::unset(path),
    };
    let timeout = Duration::from_secs(target.wait.timeout);
    change::edit(context, &[edit], timeout).await
}
