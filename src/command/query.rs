//! Sends queries as a caller does.

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

Exit codes: 0 answered, 1 refused and not run, 2 bad usage, 3 the request may have run and its
outcome is unknown.

    redwinggrade-query --node 127.0.0.1:8080 proof-viewing rush 'monogram ABC'
    redwinggrade-query --node 127.0.0.1:8080 --once --key tin-7 order-desk engrave 'Ann'";

/// The options of the callers' client.
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
    ask: Ask,
}

/// What is asked.
#[derive(Debug, Clone, ClapArgs)]
struct Ask {
    /// The time within which the answer is wanted, in milliseconds
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

/// Runs the command.
pub async fn run(args: Args) -> ExitCode {
    let caller = Caller::open(args.nodes);
    let query = Query {
        index: args.ask.index,
        kind: args.ask.kind,
        deadline: Duration::from_millis(args.ask.deadline_ms),
        routing_key: args.ask.key,
        idempotent: !args.ask.once,
        body: args.ask.text.into_bytes().into(),
    };
    let outcome = caller.query(&query).await;
    if args.json {
        println!("{}", line(&outcome));
    } else {
        print(&outcome);
    }
    code(&outcome)
}

fn line(outcome: &Outcome) -> serde_json::Value {
    let mut line = json!({
        "requests": outcome.request_ids,
        "attempts": outcome.attempts,
        "elapsed_ms": outcome.elapsed.as_secs_f64() * 1_000.0,
    });
    match &outcome.result {
        Ok(answer) => line["answer"] = json!(answer),
        Err(Error::Refused(refusal)) => line["refusal"] = json!(refusal),
        Err(e) => line["error"] = json!({ "error": e.to_string(), "not_run": e.not_run() }),
    }
    line
}

fn print(outcome: &Outcome) {
    match &outcome.result {
        Ok(answer) => {
            let mut out = std::io::stdout().lock();
            // A reader that has seen enough, such as `head`, may close the pipe.
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
        Err(e) => eprintln!("redwinggrade-query: {e}{}", consequence(e)),
    }
}

fn consequence(error: &Error) -> &'static str {
    if error.not_run() {
        "; it did not run"
    } else {
        "; it may have run"
    }
}

fn code(outcome: &Outcome) -> ExitCode {
    match &outcome.result {
        Ok(_) => ExitCode::SUCCESS,
        Err(e) if e.not_run() => ExitCode::from(1),
        Err(_) => ExitCode::from(3),
    }
}
