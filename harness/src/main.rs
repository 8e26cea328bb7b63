//! Runs redwinggrade under load through a series of faults, and checks the results that callers got.

mod phases;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use standins::spec::User;

const USAGE: &str = "\
Starts stand-ins for the platform and the targets and nine nodes in three data centres, applies the
user's settings, and sends queries while a data centre is taken out and brought back, nodes are
killed, frozen and stopped, the store is down, index versions change and targets fail.

Exit codes: 0 every guarantee was kept; 1 a guarantee was broken or the run failed; 2 bad usage.";

/// The command line of the demo.
#[derive(Debug, Clone, Parser)]
#[command(name = "redwinggrade-demo", version, about = "Runs the demo", after_help = USAGE)]
struct Args {
    /// The user whose settings and index sizes to run with
    #[arg(long, value_enum, default_value = "magnolia")]
    user: Customer,
    /// The seed of the load and of the targets' service times
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print only the verdict, as one JSON line
    #[arg(long)]
    json: bool,
    /// Length of each phase in seconds
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    phase: u64,
    /// Run only the phases with these names
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Print the counters of the nodes that grew in each phase
    #[arg(long)]
    counters: bool,
    /// The directory that holds the users' settings files
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Customer {
    Magnolia,
    Tamar,
}

impl From<Customer> for User {
    fn from(customer: Customer) -> Self {
        match customer {
            Customer::Magnolia => Self::Magnolia,
            Customer::Tamar => Self::Tamar,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match phases::run(&Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("redwinggrade-demo: {e:#}");
            ExitCode::FAILURE
        }
    }
}
