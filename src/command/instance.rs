//! `redwinggrade instance out|in NAME [--timeout SECONDS]`
//!
//! Takes one node or target out of service or brings it back. The name is not checked: the settings do
//! not list instances, and the command does not read the platform's membership list.

use std::time::Duration;

use clap::{Args, Subcommand};

use super::change::{self, WaitOptions};
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
    /// Take the instance out of service.
    Out(InstanceArgs),
    /// Bring the instance back into service.
    In(InstanceArgs),
}

#[derive(Debug, Args)]
struct InstanceArgs {
    /// The name of the node or target.
    name: String,
    #[command(flatten)]
    wait: WaitOptions,
}

/// Sets or removes the state of the instance in the settings and waits for confirmation.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let (Direction::Out(instance) | Direction::In(instance)) = &arguments.direction;
    let path = Section::Instance(&instance.name).to_string();
    if let Err(reason) = Path::parse(&path) {
        return Err(Failure::new(
            Exit::Usage,
            format!("{}: {reason}", instance.name),
        ));
    }
    let edit = match &arguments.direction {
        Direction::Out(_) => Edit::set(format!("{path}.state"), "out"),
        // An instance without a section in the settings is in service, so that the section is removed.
        Direction::In(_) => Edit::unset(path),
    };
    let timeout = Duration::from_secs(instance.wait.timeout);
    change::apply_edits(context, &[edit], timeout).await
}
