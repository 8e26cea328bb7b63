//! `redwinggrade data-centre out|in NAME [--timeout SECONDS]`
//!
//! Takes a data centre out of service or brings it back. While it is out, its targets get no new
//! subrequests and callers are not directed to its nodes.

use std::time::Duration;

use clap::{Args, Subcommand};

use super::change::{self, WaitOptions};
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
    /// Take the data centre out of service.
    Out(DataCentreArgs),
    /// Bring the data centre back into service.
    In(DataCentreArgs),
}

#[derive(Debug, Args)]
struct DataCentreArgs {
    /// The name of the data centre.
    name: String,
    #[command(flatten)]
    wait: WaitOptions,
}

/// Sets the state of the data centre in the settings and waits for confirmation.
pub async fn run(arguments: &Arguments, context: &Context) -> Result<Report, Failure> {
    let (state, data_centre) = match &arguments.direction {
        Direction::Out(data_centre) => ("out", data_centre),
        Direction::In(data_centre) => ("in", data_centre),
    };
    check_data_centre_exists(context, &data_centre.name).await?;
    let path = format!("{}.state", Section::DataCentre(&data_centre.name));
    if let Err(reason) = Path::parse(&path) {
        return Err(Failure::new(
            Exit::Usage,
            format!("{}: {reason}", data_centre.name),
        ));
    }
    let edit = Edit::set(path, state);
    let timeout = Duration::from_secs(data_centre.wait.timeout);
    change::apply_edits(context, &[edit], timeout).await
}

/// Returns an error if the settings have no such data centre, because setting its state would declare it.
async fn check_data_centre_exists(context: &Context, name: &str) -> Result<(), Failure> {
    let store = context.store()?;
    let stored_head = settings::read_head(&store).await?;
    let tree = settings::read_tree(&store, &stored_head, stored_head.version()).await?;
    if tree.data_centre_state(name).is_some() {
        return Ok(());
    }
    let names: Vec<&str> = tree.data_centres().collect();
    let failure = Failure::new(Exit::Error, format!("no data centre is named {name}"));
    Err(failure.with_hint(format!("the data centres are: {}", names.join(", "))))
}
