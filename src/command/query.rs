//! The command line of the callers' client: sends one query and prints the outcome.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args as ClapArgs;
use clap::Parser;
use serde_json::json;

use crate::client::{Caller, Error, Outcome, Query};

const USAGE: &str = "\
Asks one of the given nodes for addresses, keeps them for as long as they are valid, sends the query
to one of them and retries where that is safe.

Exit codes: 0 answered, 1 not run (refused, or no node reachable), 2 bad usage, 3 the request may
have run and its outcome is unknown.

    redwinggrade-query --node 127.0.0.1:8080 proof-viewing rush 'monogram ABC'
    redwinggrade-query --node 127.0.0.1:8080 --once --key tin-7 order-desk engrave 'Ann'";

/// The command-line options of the callers' client.
#[derive(Debug, Clone, Parser)]
#[command(name = "redwinggrade-query", version, about = "Sends a query", after_help = USAGE)]
pub struct Args {
    /// A node to ask for addresses; may be given several times
    #[arg(long = "node", required = true, value_name = "IP:PORT")]
    nodes: Vec<SocketAddr>,
    /// Print the outcome as one JSON line
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    query: QueryArgs,
}

/// The query to send.
#[derive(Debug, Clone, ClapArgs)]
struct QueryArgs {
    /// The time limit for the answer, in milliseconds
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    deadline_ms: u64,
    /// The key that selects one shard, for kinds that ask one shard only
    #[arg(long)]
    key: Option<String>,
    /// The kind is not idempotent: the request must run at most once
    #[arg(long)]
    once: bool,
    /// The name of the index
    index: String,
    /// The name of the query kind
    kind: String,
    /// The query text
    text: String,
}

/// Sends the query, prints the outcome and returns the exit code.
pub async fn run(args: Args) -> ExitCode {
    let caller = Caller::open(args.nodes);
    let query = Query {
        index: args.query.index,
        kind: args.query.kind,
        deadline: Duration::from_millis(args.query.deadline_ms),
        routing_key: args.query.key,
        idempotent: !args.query.once,
        body: args.query.text.into_bytes().into(),
    };
    let outcome = caller.query(&query).await;
    if args.json {
        println!("{}", to_json(&outcome));
    } else {
        print_outcome(&outcome);
    }
    exit_code(&outcome)
}

/// Returns the object that `--json` prints.
fn to_json(outcome: &Outcome) -> serde_json::Value {
    let mut json = json!({
        "requests": outcome.request_ids,
        "attempts": outcome.attempts,
        "elapsed_ms": outcome.elapsed.as_secs_f64() * 1_000.0,
    });
    match &outcome.result {
        Ok(answer) => json["answer"] = json!(answer),
        Err(Error::Refused(refusal)) => json["refusal"] = json!(refusal),
        Err(e) => json["error"] = json!({ "error": e.to_string(), "not_run": e.not_run() }),
    }
    json
}

/// Prints an answer on standard output and an error on standard error.
fn print_outcome(outcome: &Outcome) {
    match &outcome.result {
        Ok(answer) => {
            let mut out = std::io::stdout().lock();
            // A reader such as `head` may close the pipe early; that is no error.
            let _closed = writeln!(
                out,
                "snapshot {}, {} of {} shards, {} attempts, {:.1} ms",
                answer.snapshot,
                answer.coverage.answered,
                answer.coverage.total,
                outcome.attempts,
                outcome.elapsed.as_secs_f64() * 1_000.0,
            );
            for hit in &answer.hits {
                let _closed = writeln!(out, "{:.4} {}", hit.score, hit.id);
            }
        }
        Err(e) => eprintln!("redwinggrade-query: {e}{}", execution_note(e)),
    }
}

fn execution_note(error: &Error) -> &'static str {
    if error.not_run() {
        "; it did not run"
    } else {
        "; it may have run"
    }
}

/// Returns the exit code as the usage text defines it.
fn exit_code(outcome: &Outcome) -> ExitCode {
    match &outcome.result {
        Ok(_) => ExitCode::SUCCESS,
        Err(e) if e.not_run() => ExitCode::from(1),
        Err(_) => ExitCode::from(3),
    }
}
