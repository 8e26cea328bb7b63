//! Measures the processor time per subrequest of the decision code of queries, without any I/O.
//!
//! Usage: `cargo run --release --example scatter_cost [queries] [hits per answer]`

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use redwinggrade::request::hedge::{self, HedgeController};
use redwinggrade::request::replica_choice;
use redwinggrade::request::scatter::{Action, Event, Plan, Scatter, Selection, Verdict};
use redwinggrade::time::Moment;
use redwinggrade::version::directory::{Directory, Target};
use redwinggrade::version::policy::{self, Query};
use redwinggrade::wire::exchange::Holding;
use redwinggrade::wire::{Incarnation, Load, Member, Outcome, Version};
use rustix::time::{ClockId, clock_gettime};

const SHARD_COUNT: u32 = 83;
const REPLICA_COUNT: u32 = 2;
const TARGET_LOAD: Load = Load {
    queued: 0,
    running: 1,
    limit: 4,
    latency_us: 5_000,
};

fn directory() -> anyhow::Result<Directory> {
    let address = "127.0.0.1:1".parse()?;
    let gateway = Member {
        name: "node-1".into(),
        incarnation: Incarnation(1),
        peer: address,
        caller: address,
    };
    let target = |shard, replica| Target {
        name: format!("proof-viewing-s{shard:02}-{replica}").into(),
        address,
        data_centre: format!("dc{replica}").into(),
        index: "proof-viewing".into(),
        service: format!("s{shard:02}").into(),
        replica,
        gateway: Some(gateway.clone()),
        usable: true,
        holdings: [6, 7]
            .map(|version| Holding {
                version: Version(version),
                shard,
                shards: SHARD_COUNT,
            })
            .to_vec(),
        load: TARGET_LOAD,
    };
    let shards =
        (0..SHARD_COUNT).flat_map(|shard| (0..REPLICA_COUNT).map(move |replica| (shard, replica)));
    Ok(Directory::build(
        shards
            .map(|(shard, replica)| target(shard, replica))
            .collect(),
    ))
}

fn plan(number: u64, now: Moment) -> Plan {
    let policy = Query {
        deadline: Duration::from_millis(200),
        least_coverage: 1.0,
        straggler_wait: Duration::from_millis(20),
        hedge_percent: 5.0,
        priority: 0,
        idempotent: true,
        scatter: policy::Scatter::All,
        limit: 10,
    };
    Plan {
        request_id: format!("node-1.5f.{number:x}.0123456789abcdef-1"),
        index: "proof-viewing".into(),
        data_centre: "dc0".into(),
        selection: Selection::All,
        policy,
        replica_policy: replica_choice::Policy::LeastWait,
        deadline: now + policy.deadline,
    }
}

/// Runs one query and returns the number of its subrequests.
///
/// Answers arrive 50 microseconds apart; one subrequest in 32 is slow enough to cause a hedge.
fn run_query(
    number: u64,
    now: Moment,
    directory: &Directory,
    hedge: &mut HedgeController,
    body: &Bytes,
) -> u32 {
    let plan = plan(number, now);
    let request = plan.request_id.clone();
    let mut scatter = Scatter::new(plan, now);
    let mut now = now;
    let mut subrequests = Vec::new();
    let mut event = Event::Start;
    let mut slow = Vec::new();
    loop {
        for action in scatter.step(event, now, directory, hedge) {
            match action {
                Action::Send { subrequest, .. }
                    if (u64::from(subrequest.number) + number).is_multiple_of(32) =>
                {
                    slow.push(subrequest);
                }
                Action::Send { subrequest, .. } => subrequests.push(subrequest),
                Action::Cancel { subrequest, .. } => slow.retain(|it| it.number != subrequest),
                Action::Finish(Verdict::Answer { attempts, .. }) => return attempts,
                Action::Finish(refusal) => panic!("query refused instead of answered: {refusal:?}"),
            }
        }
        now = now + Duration::from_micros(50);
        let subrequest = subrequests.pop().or_else(|| {
            now = now + Duration::from_millis(10);
            slow.pop()
        });
        event = match subrequest {
            _ if scatter.next_wake().is_some_and(|wake| wake <= now) => {
                subrequests.extend(subrequest);
                Event::Tick
            }
            None => Event::Tick,
            Some(subrequest) => Event::Result {
                subrequest: subrequest.number,
                outcome: Outcome::Answer {
                    request: request.clone(),
                    version: subrequest.version,
                    shard: subrequest.shard,
                    attempt: subrequest.attempt,
                    body: body.clone(),
                },
                load: TARGET_LOAD,
            },
        };
    }
}

/// Returns the processor time of the calling thread.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| {
        let argument = arguments.next();
        argument.map_or(Ok(default), |it| {
            it.parse()
                .context("arguments must be non-negative integers")
        })
    };
    let (queries, hits) = (number(10_000)?, number(10)?);
    let hit = |it| format!(r#"{{"id":"design-{it:06}","score":{}.25}}"#, it % 97);
    let hits: Vec<String> = (0..hits).map(hit).collect();
    let body = Bytes::from(format!(r#"{{"hits":[{}]}}"#, hits.join(",")));
    let directory = directory()?;
    let mut hedge = HedgeController::new(hedge::Policy::Adaptive);
    let start = processor_time();
    let mut subrequests = 0_u64;
    for query in 0..queries {
        let now = Moment::from_millis(query);
        subrequests += u64::from(run_query(query, now, &directory, &mut hedge, &body));
    }
    let spent = processor_time().saturating_sub(start);
    println!(
        "{queries} queries, {SHARD_COUNT} shards, {subrequests} subrequests: {:.3} us of processor time \
         per subrequest",
        spent.as_secs_f64() * 1e6 / subrequests as f64
    );
    Ok(())
}
