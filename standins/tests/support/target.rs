//! Helpers for tests of targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use serde_json::Value;
use standins::http::call;
use standins::target::spec::{Holding, OverrunEffect, ServiceTime, Spec, Target};
use standins::target::{self, Command, Config, JournalEntry, Targets};

/// Limit for the wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Service time, in milliseconds, that no test waits for.
pub const ENDLESS_MS: f64 = 3_600_000.0;

/// Query of all searches.
pub const QUERY: &str = "monogram";

/// Returns a warm target with a service time of 1 ms that holds shard 0 of version 1.
pub fn warm_target(name: &str) -> Target {
    Target {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        data_centre: "dc1".to_owned(),
        index: "proof-viewing".to_owned(),
        service: "s00".to_owned(),
        replica: 0,
        slots: 2,
        connections: 25,
        connect_ms: 0,
        time: constant_time(1.0),
        queue: 0,
        retry_after_ms: 70,
        cold_answers: 0,
        cold_concurrency: 1,
        cold_rate: 1_000,
        cold_factor: 1.0,
        cold_overrun: OverrunEffect::default(),
        versions: vec![first_shard_of_version(1)],
    }
}

/// Returns a constant service time.
pub fn constant_time(median_ms: f64) -> ServiceTime {
    ServiceTime {
        median_ms,
        sigma: 0.0,
        ..ServiceTime::default()
    }
}

/// Returns the first of two shards of a version.
pub const fn first_shard_of_version(version: u64) -> Holding {
    Holding {
        version,
        shard: 0,
        shards: 2,
    }
}

/// Starts targets in this process.
pub async fn start_targets(targets: Vec<Target>) -> Targets {
    let spec = Spec { seed: 1, targets };
    target::bind(Config::new(spec))
        .await
        .expect("free ports should be available")
}

/// Search request to a target.
#[derive(Debug, Clone)]
pub struct SearchRequest {
    pub id: String,
    pub attempt: u32,
    pub version: u64,
    pub shard: u32,
    pub deadline_ms: u64,
    pub idempotent: bool,
}

impl SearchRequest {
    /// Returns an idempotent request for shard 0 of version 1 with a deadline that no test reaches.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            attempt: 0,
            version: 1,
            shard: 0,
            deadline_ms: 600_000,
            idempotent: true,
        }
    }

    /// Sends the request over a new connection and returns the response.
    pub async fn send(&self, address: SocketAddr) -> anyhow::Result<Response<Bytes>> {
        let attempt = self.attempt.to_string();
        let version = self.version.to_string();
        let shard = self.shard.to_string();
        let deadline = self.deadline_ms.to_string();
        let headers = [
            ("Request-Id", self.id.as_str()),
            ("Attempt", &attempt),
            ("Index-Version", &version),
            ("Shard", &shard),
            ("Deadline-Ms", &deadline),
            ("Idempotent", if self.idempotent { "true" } else { "false" }),
        ];
        call(address, "POST", "/search", &headers, QUERY).await
    }

    /// Sends the request in a separate task.
    pub fn spawn(
        self,
        address: SocketAddr,
    ) -> tokio::task::JoinHandle<anyhow::Result<Response<Bytes>>> {
        tokio::spawn(async move { self.send(address).await })
    }
}

/// Sends a search with this request id and returns the response.
pub async fn send_search(address: SocketAddr, id: &str) -> Response<Bytes> {
    SearchRequest::new(id)
        .send(address)
        .await
        .expect("request should be answered")
}

/// Sends a command for one target, which must accept it.
pub async fn send_command(targets: &Targets, name: &str, change: impl FnOnce(&mut Command)) {
    let mut command = Command::target(name);
    change(&mut command);
    targets
        .command(command)
        .await
        .expect("command should be valid");
}

/// Waits until the journal meets a condition.
pub async fn wait_for_journal(targets: &Targets, condition: impl Fn(&[JournalEntry]) -> bool) {
    let met = async {
        while !condition(&targets.journal()) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, met)
        .await
        .expect("journal should meet the condition in time");
}

/// Waits until this number of requests have arrived.
pub async fn wait_for_arrivals(targets: &Targets, count: usize) {
    wait_for_journal(targets, |entries| entries.len() >= count).await;
}

/// Waits until this number of requests have started.
pub async fn wait_for_starts(targets: &Targets, count: usize) {
    wait_for_journal(targets, |entries| {
        entries.iter().filter(|entry| entry.started).count() >= count
    })
    .await;
}

/// Returns the text of a header of a response.
pub fn header_text<'a>(answer: &'a Response<Bytes>, name: &str) -> &'a str {
    let value = answer
        .headers()
        .get(name)
        .expect("header should be present");
    value.to_str().expect("value should be UTF-8 text")
}

/// Returns the body of a response as JSON.
pub fn json_body(answer: &Response<Bytes>) -> Value {
    serde_json::from_slice(answer.body()).expect("body should be JSON")
}
