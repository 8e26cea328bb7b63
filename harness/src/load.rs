//! An open-loop load generator with several callers, which records the outcome of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use redwinggrade::client::{Caller, Outcome, Query};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The load of one query kind.
#[derive(Debug, Clone, Copy)]
pub struct QueryKind {
    /// The name of the index.
    pub index: &'static str,
    /// The name of the query kind.
    pub kind: &'static str,
    /// The requests per second, summed over all callers.
    pub rate: f64,
    /// The time from sending within which callers expect the answer.
    pub deadline: Duration,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether callers send a routing key.
    pub has_routing_key: bool,
}

const fn query_kind(
    index: &'static str,
    kind: &'static str,
    rate: f64,
    deadline_ms: u64,
    (idempotent, has_routing_key): (bool, bool),
) -> QueryKind {
    QueryKind {
        index,
        kind,
        rate,
        deadline: Duration::from_millis(deadline_ms),
        idempotent,
        has_routing_key,
    }
}

/// The query kinds of Magnolia's callers.
pub const MAGNOLIA_KINDS: [QueryKind; 6] = [
    query_kind("proof-viewing", "match", 30.0, 1_000, (true, false)),
    query_kind("proof-viewing", "rush", 15.0, 1_000, (true, false)),
    query_kind("dealer-catalog", "browse", 15.0, 1_000, (true, false)),
    query_kind("order-desk", "history", 20.0, 1_000, (true, true)),
    query_kind("order-desk", "engrave", 20.0, 2_000, (false, true)),
    query_kind("shipment-tracking", "track", 10.0, 1_000, (true, true)),
];

/// The query kinds of Tamar's callers.
pub const TAMAR_KINDS: [QueryKind; 6] = [
    query_kind("design-search", "search", 30.0, 1_000, (true, false)),
    query_kind("design-search", "thread", 15.0, 1_000, (true, false)),
    query_kind("invoicing", "lookup", 15.0, 1_000, (true, false)),
    query_kind("invoicing", "bill", 20.0, 2_000, (false, true)),
    query_kind("parent-portal", "status", 20.0, 2_000, (true, true)),
    query_kind("stock-ledger", "level", 10.0, 1_000, (true, true)),
];

/// One request and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request as it was sent.
    pub query: Query,
    /// The time from the start of the load until the request was sent.
    pub sent_after: Duration,
    /// The result, with the attempts, their request ids and the elapsed time.
    pub outcome: Outcome,
}

/// A running load, which sends requests until [`Load::finish`] is called.
#[derive(Debug)]
pub struct Load {
    task: tokio::task::JoinHandle<Vec<Record>>,
    stop: tokio::sync::watch::Sender<bool>,
    started_at: Instant,
    ended_count: Arc<AtomicU64>,
}

impl Load {
    /// Starts a load with Poisson arrivals from `callers` callers; `seed` determines the arrivals.
    pub fn spawn(kinds: &[QueryKind], callers: usize, bootstrap: &[SocketAddr], seed: u64) -> Self {
        let callers: Vec<Arc<Caller>> = (0..callers)
            .map(|number| {
                // Each caller begins at another node, so that the first requests are spread over all nodes.
                let mut addresses = bootstrap.to_vec();
                let offset = number % addresses.len().max(1);
                addresses.rotate_left(offset);
                Arc::new(Caller::open(addresses))
            })
            .collect();
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let started_at = Instant::now();
        let ended_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&ended_count);
        let task = tokio::spawn(send_load(
            kinds.to_vec(),
            callers,
            seed,
            stopped,
            started_at,
            counter,
        ));
        Self {
            task,
            stop,
            started_at,
            ended_count,
        }
    }

    /// Returns the number of requests that have ended, with an answer or without one.
    pub fn ended_requests(&self) -> u64 {
        self.ended_count.load(Ordering::Relaxed)
    }

    /// Returns the time since the load was started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Stops sending, waits for the requests in flight, and returns all records ordered by time of sending.
    pub async fn finish(self) -> anyhow::Result<Vec<Record>> {
        // The send fails only if the task has panicked, which awaiting it reports.
        let _ended = self.stop.send(true);
        Ok(self.task.await?)
    }
}

async fn send_load(
    kinds: Vec<QueryKind>,
    callers: Vec<Arc<Caller>>,
    seed: u64,
    mut stopped: tokio::sync::watch::Receiver<bool>,
    started_at: Instant,
    ended_count: Arc<AtomicU64>,
) -> Vec<Record> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut running = JoinSet::new();
    let mut records = Vec::new();
    let total: f64 = kinds.iter().map(|kind| kind.rate).sum();
    let mut due = Duration::ZERO;
    for number in 0_u64.. {
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / total);
        tokio::select! {
            _ = stopped.changed() => break,
            () = tokio::time::sleep_until(started_at + due) => {}
        }
        let query = random_query(&kinds, total, number, &mut random);
        let caller = Arc::clone(&callers[random.random_range(0..callers.len())]);
        let sent_after = started_at.elapsed();
        let ended_count = Arc::clone(&ended_count);
        running.spawn(async move {
            let outcome = caller.query(&query).await;
            ended_count.fetch_add(1, Ordering::Relaxed);
            Record {
                query,
                sent_after,
                outcome,
            }
        });
        while let Some(Ok(record)) = running.try_join_next() {
            records.push(record);
        }
    }
    while let Some(Ok(record)) = running.join_next().await {
        records.push(record);
    }
    records.sort_by_key(|record| record.sent_after);
    records
}

fn random_query(kinds: &[QueryKind], total: f64, number: u64, random: &mut Pcg64Mcg) -> Query {
    let mut remaining = random.random::<f64>() * total;
    let kind = kinds
        .iter()
        .find(|kind| {
            remaining -= kind.rate;
            remaining < 0.0
        })
        .unwrap_or(&kinds[0]);
    Query {
        index: kind.index.to_owned(),
        kind: kind.kind.to_owned(),
        deadline: kind.deadline,
        routing_key: kind
            .has_routing_key
            .then(|| format!("key-{}", number % 1_000)),
        idempotent: kind.idempotent,
        // Each body is unique, so that the answer to another request never passes the check.
        body: format!("{}/{} {number}", kind.index, kind.kind).into(),
    }
}
