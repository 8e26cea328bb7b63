//! Command line of the decision benchmark: runs scenarios and prints one result row per policy.
//!
//! Usage: `redwinggrade-bench SCENARIO [--policy NAME ...] [--size magnolia|tamar|large] [--seed N]
//! [--seconds N] [--json]`

use std::process::ExitCode;
use std::time::Instant;

use anyhow::{Context, Result, bail};
use clap::{Parser, ValueEnum};
use redwinggrade_bench::policy::{self, Policy};
use redwinggrade_bench::report::Experiment;
use redwinggrade_bench::scenario::Scenario;
use redwinggrade_bench::size::Size;

/// Upper limit of `--seconds`, so that a mistyped length does not run for days.
const MAX_SECONDS: u64 = 3_600;

#[derive(Debug, Parser)]
#[command(about = "Runs the decision code in virtual time against model targets.")]
struct Args {
    /// The scenario to run: straggler, replica-loss, cold-start, dc-leave-return, overload,
    /// repartition, store-outage or all.
    scenario: String,
    /// A policy to run: ours, no-hedge, fixed-hedge, random, round-robin, static-share or no-ramp.
    /// May be given several times; by default, each scenario runs its own list of policies.
    #[arg(long = "policy")]
    policies: Vec<String>,
    /// The set of indexes to model; all sets by default.
    #[arg(long)]
    size: Option<Size>,
    /// The seed of the random generators; equal seeds give equal results.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The length of the measured part of the run, in seconds of virtual time.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
    seconds: u64,
    /// Prints each result row as one line of JSON instead of text.
    #[arg(long)]
    json: bool,
}

fn main() -> Result<ExitCode> {
    let args = Args::parse();
    let mut passes = true;
    for scenario in scenarios(&args.scenario)? {
        let policies = policies(scenario, &args.policies)?;
        let sizes = args
            .size
            .map_or_else(|| Size::ALL.to_vec(), |size| vec![size]);
        for index in sizes.into_iter().flat_map(Size::indexes) {
            let experiment = Experiment {
                scenario,
                index: *index,
                seed: args.seed,
                seconds: args.seconds,
            };
            for policy in &policies {
                passes &= report_policy(&experiment, *policy, args.json)?;
            }
        }
    }
    Ok(if passes {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Runs one policy and prints its row; returns whether the run meets all acceptance criteria.
fn report_policy(experiment: &Experiment, policy: Policy, json: bool) -> Result<bool> {
    let started = Instant::now();
    let row = experiment.run_policy(policy);
    // The elapsed real time differs between equal runs, so it goes to standard error.
    // Standard output is the same for the same seed.
    eprintln!(
        "{} {} {}: {} events in {:.2} s of real time",
        row.scenario,
        row.index,
        row.policy,
        row.events,
        started.elapsed().as_secs_f64()
    );
    if json {
        println!(
            "{}",
            serde_json::to_string(&row).context("cannot encode the result row as JSON")?
        );
    } else {
        println!("{}", row.text());
    }
    Ok(row.passes())
}

fn scenarios(name: &str) -> Result<Vec<Scenario>> {
    if name == "all" {
        return Ok(Scenario::ALL.to_vec());
    }
    let found = <Scenario as ValueEnum>::from_str(name, false);
    match found {
        Ok(scenario) => Ok(vec![scenario]),
        Err(_) => bail!("unknown scenario {name:?}; --help lists the scenarios"),
    }
}

fn policies(scenario: Scenario, names: &[String]) -> Result<Vec<Policy>> {
    let defaults = scenario.default_policies().iter().copied();
    let names: Vec<&str> = if names.is_empty() {
        defaults.collect()
    } else {
        names.iter().map(String::as_str).collect()
    };
    let find = |name| {
        policy::find(name)
            .with_context(|| format!("unknown policy {name:?}; --help lists the policies"))
    };
    names.into_iter().map(find).collect()
}
