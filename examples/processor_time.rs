//! Measures the processor time that one target request costs in its coordinator, gateway and target.
//!
//! `cargo run --release --example processor_time -- [seconds] [queries at once] [subrequests per batch]`
//!
//! Coordinators, gateway and targets run on separate threads of one process and communicate over
//! loopback, so that the socket work of the kernel counts for the thread that causes it. The
//! processor time of each part is read from `/proc/self/task/<thread>/schedstat`.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use redwinggrade::connection::peer::{self, Peers, Service};
use redwinggrade::process::gateway::{BatchGuard, Gateway, OwnedTarget};
use redwinggrade::process::metrics::Metrics;
use redwinggrade::time::{Clock, Moment};
use redwinggrade::version::policy;
use redwinggrade::wire::{Batch, Cause, Frame, Outcome, Subrequest, Version};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;

/// The number of targets of the gateway, as at the planned scale of the deployment.
const TARGET_COUNT: usize = 17;

/// The size of an answer with ten hits.
const ANSWER_BYTES: usize = 400;

struct Node(Gateway);

impl Service for Node {
    type BatchGuard = BatchGuard;

    async fn call(&self, _path: &str, _body: Bytes) -> Result<Bytes, StatusCode> {
        Err(StatusCode::NOT_FOUND)
    }

    fn scatter(&self, batch: Batch, reply: mpsc::UnboundedSender<Frame>) -> BatchGuard {
        self.0.offer(batch, &reply)
    }
}

fn runtime(name: &str, threads: usize) -> anyhow::Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

async fn answer_search(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    static BODY: [u8; ANSWER_BYTES] = [b'x'; ANSWER_BYTES];
    let (head, body) = request.into_parts();
    // A failure to read the request body is ignored; it would be a bug in this example and would appear as
    // a missing answer.
    let _body = body.collect().await;
    let mut response = Response::new(Full::new(Bytes::from_static(&BODY)));
    let headers = response.headers_mut();
    for name in ["request-id", "attempt", "index-version", "shard"] {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert("generation", 1.into());
    Ok(response)
}

async fn serve_target(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            stream.set_nodelay(true)?;
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(answer_search));
            connection.await?;
            anyhow::Ok(())
        });
    }
}

/// Returns the processor time of all threads, summed by thread name.
fn processor_time() -> anyhow::Result<HashMap<String, Duration>> {
    let mut times = HashMap::new();
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        let name = std::fs::read_to_string(path.join("comm"))?;
        let schedstat = std::fs::read_to_string(path.join("schedstat"))?;
        let nanos = schedstat.split(' ').next().unwrap_or("0").parse()?;
        *times.entry(name.trim().to_owned()).or_default() += Duration::from_nanos(nanos);
    }
    Ok(times)
}

fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut argument = |default: u64| {
        arguments
            .next()
            .map_or(Ok(default), |text| text.parse::<u64>())
    };
    let (seconds, queries, subrequests) = (argument(5)?, argument(64)?, argument(8)?);
    let targets = runtime("target", 3)?;
    let gateways = runtime("gateway", 2)?;
    let coordinators = runtime("coordinator", 2)?;

    let mut addresses = Vec::new();
    for _ in 0..TARGET_COUNT {
        let listener = targets.block_on(TcpListener::bind("127.0.0.1:0"))?;
        addresses.push(listener.local_addr()?);
        targets.spawn(serve_target(listener));
    }
    let policy = policy::Target {
        slots: 16,
        connections: 110,
        connect: Duration::from_millis(1),
        cold_concurrency: 4,
        cold_rate: 1_000,
        cold_answers: 20,
        queue: 1_000,
    };
    let owned_targets = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| OwnedTarget {
            name: format!("t{number}"),
            address: *address,
            policy,
            valid_from: Moment::ZERO,
            in_service: true,
        });
    let gateway = Gateway::open(Clock::start(), Metrics::open());
    gateway.set_permit(Moment::NEVER);
    gateways.block_on(gateway.set_owned_targets(owned_targets.collect()))?;
    let server = gateways.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        peer::serve(listener, Arc::new(Node(gateway.clone())))
    })?;

    let address = server.address();
    let answers = Arc::new(AtomicU64::new(0));
    let failures = Arc::new(AtomicU64::new(0));
    let peers = Peers::new();
    for query in 0..queries {
        let (answers, failures) = (Arc::clone(&answers), Arc::clone(&failures));
        let peers = peers.clone();
        coordinators.spawn(async move {
            for round in 0_u64.. {
                let subrequest = |number: u64| Subrequest {
                    number: number as u32,
                    target: format!("t{}", (query + round + number) % TARGET_COUNT as u64),
                    shard: number as u32,
                    version: Version(1),
                    attempt: 0,
                    cause: Cause::First,
                };
                let batch = Batch {
                    request: format!("0123456789abcdef-{query}-{round}"),
                    index: "proof-viewing".into(),
                    remaining_us: 1_000_000,
                    priority: 1,
                    idempotent: true,
                    subrequests: (0..subrequests).map(subrequest).collect(),
                    body: Bytes::from_static(&[b'q'; 200]),
                };
                let timeout = Duration::from_secs(2);
                let Ok(mut frames) = peers.scatter(address, &batch, timeout).await else {
                    failures.fetch_add(subrequests, Ordering::Relaxed);
                    continue;
                };
                while let Some(frame) = frames.next().await {
                    match frame {
                        Ok(frame) if matches!(frame.outcome, Outcome::Answer { .. }) => {
                            answers.fetch_add(1, Ordering::Relaxed)
                        }
                        Ok(_) | Err(_) => failures.fetch_add(1, Ordering::Relaxed),
                    };
                }
            }
        });
    }

    // The measurement starts after the ramp-up, when all targets count as warm.
    std::thread::sleep(Duration::from_secs(2));
    let (before, count, failed) = (
        processor_time()?,
        answers.load(Ordering::Relaxed),
        failures.load(Ordering::Relaxed),
    );
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs(seconds));
    let elapsed = start.elapsed();
    let after = processor_time()?;
    let count = answers.load(Ordering::Relaxed) - count;
    let failed = failures.load(Ordering::Relaxed) - failed;
    println!(
        "{count} target requests in {elapsed:.1?} ({:.0}/s), {failed} failures",
        count as f64 / elapsed.as_secs_f64()
    );
    for part in ["coordinator", "gateway", "target"] {
        let used = after[part].saturating_sub(before[part]);
        println!(
            "{part}: {:.2} us of processor time per target request",
            used.as_secs_f64() * 1e6 / count as f64
        );
    }
    std::process::exit(0);
}
