//! `redwinggrade data-centre out|in NAME [--timeout SECONDS]`
//!
//! Takes a data centre out of service or brings it back. While it is out, its targets get no new
//! work and callers are not sent to its nodes.

use std::time::Duration;

use clap::{Args, Subcommand};

use super::change::{self, Wait};
use super::{Context, Exit, Failure, Report};
use crate::connection::settings;
use crate::version::edit::Edit;
use crate::version::section::{Path, Section};

/// Take a data centre out of service, or bring it back.
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
    /// The data centre.
    name: String,
    #[command(flatten)]
    wait: Wait,
}

/// Runs the command.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let (state, target) = match &arguments.direction {
        Direction::Out(target) => ("out", target),
        Direction::In(target) => ("in", target),
    };
    known(context, &target.name).await?;
    let path = format!("{}.state", Section::DataCentre(&target.name));
    if let Err(reason) = Path::parse(&path) {
        return Err(Failure::new(
            Exit::Usage,
            format!("{}: {reason}", target.name),
        ));
    }
    let edit = Edit::set(path, state);
    let timeout = Duration::from_secs(target.wait.timeout);
    change::edit(context, &[edit], timeout).await
}

/// Refuses a name that the settings do not have, because setting its state would declare it.
async fn known(context: &Context, name: &str) -> Result<(), Failure> {
    let store = context.store()?;
    let mark = settings::read_head(&store).await?;
    let tree = settings::read_tree(&store, &mark, mark.version()).await?;
    if tree.data_centre_state(name).is_some() {
        return Ok(());
    }
    let names: Vec<&str> = tree.data_centres().collect();
    let failure = Failure::new(Exit::Error, format!("no data centre is named {name}"));
    Err(failure.hint(format!("the data centres are: {}", names.join(", "))))
}
