//! Small installations for fault tests: few nodes and targets, matching settings, and the checks of the
//! documented guarantees against the targets' journal that end each test.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, ensure};
use redwinggrade::client::{Caller, Query};
use redwinggrade::process::owner::owner_of;
use redwinggrade::request::answer::Addresses;
use redwinggrade::wire::{Incarnation, Member};
use serde_json::{Value as Json, json};
use standins::http;
use standins::spec::{Builder, Index};
use standins::target::JournalEntry;
use standins::target::spec::ServiceTime;
use tempfile::TempDir;

use crate::checker::{self, Verdict, check_run};
use crate::fleet::{Config, Fleet};
use crate::load::{Load, QueryKind, Record};

/// The index whose queries are sent to all shards.
pub const SEARCH_INDEX: Index = Index {
    name: "search",
    services: 3,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect_ms: 1,
};
/// The index whose requests are not idempotent, so that each must run at most once.
pub const ORDERS_INDEX: Index = Index {
    name: "orders",
    services: 1,
    replicas: 3,
    slots: 4,
    connections: 25,
    connect_ms: 1,
};
/// The names of the targets of [`ORDERS_INDEX`].
pub const ORDER_TARGETS: [&str; 3] = ["orders-s00-0", "orders-s00-1", "orders-s00-2"];

/// The query kinds of the load: an idempotent one that is sent to all shards, and one whose requests must
/// run at most once.
pub const QUERY_KINDS: [QueryKind; 2] = [
    QueryKind {
        index: "search",
        kind: "match",
        rate: 25.0,
        deadline: LOAD_DEADLINE,
        idempotent: true,
        has_routing_key: false,
    },
    QueryKind {
        index: "orders",
        kind: "engrave",
        rate: 15.0,
        deadline: LOAD_DEADLINE,
        idempotent: false,
        has_routing_key: true,
    },
];

/// The number of callers that send the load.
const CALLER_COUNT: usize = 6;
/// The number of consecutive complete answers after which service counts as restored.
const CONSECUTIVE_COMPLETE_ANSWERS: u32 = 12;
/// The number of requests that must end while a fault lasts, so that it affects requests in every state.
const REQUESTS_PER_FAULT: u64 = 60;
/// The number of requests that must end between two steps of a version rollout.
const REQUESTS_PER_ROLLOUT_STEP: u64 = 15;
/// The deadline of the requests of the load. It exceeds the time that a node stays frozen: callers wait
/// for a frozen node until the deadline, and a request that expired meanwhile would count as lost
/// although the system works as specified.
const LOAD_DEADLINE: Duration = Duration::from_secs(20);
/// The ratio of the service time of a cold target to that of a warm one. It is large enough that requests
/// overlap at a cold target whose concurrency is not limited; if cold targets were as fast as warm ones,
/// the tests would pass without the limit.
const COLD_FACTOR: f64 = 5.0;
/// The deadline of an [`Order`], far above the service times of the targets.
const ORDER_DEADLINE: Duration = Duration::from_secs(5);

/// The size of an installation, and how its targets behave while they are cold.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// The names of the data centres; each has one cell.
    pub data_centres: &'static [&'static str],
    /// The number of nodes, assigned to the data centres round-robin.
    pub nodes: usize,
    /// The number of answers after which a target is warm; 0 if targets are never cold.
    pub cold_answers: u64,
    /// The ratio of the service time of a cold target to that of a warm one.
    pub cold_factor: f64,
    /// The memory that the settings file of each node states, in MiB; absent if it states none.
    pub memory_mb: Option<u64>,
}

impl Layout {
    /// One cell of three nodes.
    pub const ONE_CELL: Self = Self {
        data_centres: &["dc1"],
        nodes: 3,
        cold_answers: 20,
        cold_factor: COLD_FACTOR,
        memory_mb: None,
    };
    /// Two data centres with a cell of three nodes each.
    pub const TWO_CELLS: Self = Self {
        data_centres: &["dc1", "dc2"],
        nodes: 6,
        cold_answers: 20,
        cold_factor: COLD_FACTOR,
        memory_mb: None,
    };
    /// Three data centres with a cell of three nodes each.
    pub const THREE_CELLS: Self = Self {
        data_centres: &["dc1", "dc2", "dc3"],
        nodes: 9,
        cold_answers: 20,
        cold_factor: COLD_FACTOR,
        memory_mb: None,
    };
}

/// A running installation, with its settings and the probe requests that a test has sent to it.
#[derive(Debug)]
pub struct Fixture {
    /// The processes of the installation.
    pub fleet: Fleet,
    /// The settings that are applied at the start.
    pub settings: Json,
    directory: TempDir,
    /// The results of the probes: single requests that are not part of any load.
    probe_records: Vec<Record>,
    probe_count: u64,
}

/// The HTTP response to one request, read without the client library.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body; null if it is not valid JSON.
    pub body: Json,
}

impl Reply {
    /// Returns whether the reply is an answer, as opposed to a refusal or a failure.
    pub fn is_answer(&self) -> bool {
        self.status == 200
    }

    /// Returns whether the reply states that the request did not run.
    pub fn not_run(&self) -> bool {
        self.body["not_run"] == json!(true)
    }

    /// Returns the reason of a refusal, or an empty string if the reply names none.
    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or_default()
    }
}

/// A non-idempotent request to [`ORDERS_INDEX`] whose request id the test sets.
#[derive(Debug, Clone)]
pub struct Order {
    /// The value of the `Request-Id` header.
    pub id: String,
    /// The request body.
    pub body: String,
}

impl Order {
    /// Sends the request to a node and returns the reply, or `None` if the connection broke.
    pub async fn send(&self, node: std::net::SocketAddr) -> Option<Reply> {
        let deadline = ORDER_DEADLINE.as_millis().to_string();
        let headers = [
            ("Content-Type", "application/json"),
            ("Deadline-Ms", deadline.as_str()),
            ("Request-Id", self.id.as_str()),
            ("Routing-Key", "key"),
        ];
        let path = "/v1/query/orders/engrave";
        let reply = http::call(node, "POST", path, &headers, self.body.clone()).await;
        let reply = reply.ok()?;
        Some(Reply {
            status: reply.status().as_u16(),
            body: serde_json::from_slice(reply.body()).unwrap_or_default(),
        })
    }
}

fn settings(layout: &Layout) -> Json {
    let data_centres: serde_json::Map<String, Json> = layout
        .data_centres
        .iter()
        .map(|name| {
            let data_centre = json!({
                "state": "in",
                "cells": [format!("{name}-0")],
                "committed_rate": 5_000,
            });
            ((*name).to_owned(), data_centre)
        })
        .collect();
    json!({
        "defaults": {
            "slots": SEARCH_INDEX.slots,
            "connections": SEARCH_INDEX.connections,
            "connect_ms": SEARCH_INDEX.connect_ms,
            "cold_concurrency": 1,
            "cold_rate": 40,
            "cold_answers": layout.cold_answers.max(1),
            "queue": 64,
            "deadline_ms": 5_000,
            "least_coverage": 0.3,
            "straggler_wait_ms": 1_000,
            "hedge_percent": 5,
            "limit": 100,
        },
        "data_centres": data_centres,
        "instances": {},
        "indexes": {
            "search": {
                "kinds": { "match": { "priority": 10 } },
                "services": { "s00": {}, "s01": {}, "s02": {} },
            },
            "orders": {
                "slots": ORDERS_INDEX.slots,
                "least_coverage": 1.0,
                "kinds": { "engrave": { "priority": 10, "idempotent": false, "scatter": "one" } },
                "services": { "s00": {} },
            },
        },
    })
}

impl Fixture {
    /// Starts an installation and waits until all its answers are complete.
    pub async fn start(layout: Layout) -> anyhow::Result<Self> {
        let directory = tempfile::tempdir()?;
        let settings = settings(&layout);
        let file = directory.path().join("settings.yaml");
        // Every JSON document is also valid YAML.
        std::fs::write(&file, serde_json::to_vec(&settings)?)?;
        let time = ServiceTime {
            median_ms: 3.0,
            ..ServiceTime::default()
        };
        let spec = Builder::with_indexes(vec![SEARCH_INDEX, ORDERS_INDEX])
            .data_centres(layout.data_centres)
            .service_time(time)
            .cold(layout.cold_answers, 1, 60)
            .cold_factor(layout.cold_factor)
            .build();
        let fleet = Fleet::start(Config {
            spec,
            data_centres: layout
                .data_centres
                .iter()
                .map(|name| (*name).into())
                .collect(),
            nodes: layout.nodes,
            settings: file,
            threads: 2,
            memory_mb: layout.memory_mb,
        })
        .await?;
        let mut fixture = Self {
            fleet,
            settings,
            directory,
            probe_records: Vec::new(),
            probe_count: 0,
        };
        fixture.wait_until_complete().await?;
        Ok(fixture)
    }

    /// Writes a changed copy of the settings to a new file and returns its path.
    pub fn write_settings_file(
        &self,
        name: &str,
        change: impl FnOnce(&mut Json),
    ) -> anyhow::Result<PathBuf> {
        let mut settings = self.settings.clone();
        change(&mut settings);
        let file = self.directory.path().join(name);
        std::fs::write(&file, serde_json::to_vec(&settings)?)?;
        Ok(file)
    }

    /// Starts the load of [`QUERY_KINDS`].
    pub fn start_load(&self) -> Load {
        Load::spawn(
            &QUERY_KINDS,
            CALLER_COUNT,
            &self.fleet.caller_addresses(),
            1,
        )
    }

    /// Waits until [`REQUESTS_PER_FAULT`] more requests of the load have ended, so that a fault affects
    /// requests in every state.
    pub async fn wait_for_requests(&self, load: &Load) -> anyhow::Result<()> {
        let required = load.ended_requests() + REQUESTS_PER_FAULT;
        self.fleet
            .wait_until("requests under the fault", async || {
                load.ended_requests() >= required
            })
            .await
    }

    /// Rolls out a version of [`SEARCH_INDEX`]: each target first holds it next to the old version and
    /// later without it. [`REQUESTS_PER_ROLLOUT_STEP`] requests end between two steps.
    ///
    /// Shards that the old version does not have go to the first services.
    pub async fn roll_out_version(
        &self,
        load: &Load,
        version: u64,
        shards: u32,
    ) -> anyhow::Result<()> {
        for keep_old in [true, false] {
            for target in &self.fleet.target_spec().targets {
                if target.index != SEARCH_INDEX.name {
                    continue;
                }
                let service = target.versions[0].shard;
                let mut holdings: Vec<Json> = (0..shards)
                    .filter(|shard| shard % SEARCH_INDEX.services == service)
                    .map(|shard| json!({"version": version, "shard": shard, "shards": shards}))
                    .collect();
                if keep_old {
                    holdings.push(json!(target.versions[0]));
                }
                let command = json!({"name": target.name, "versions": holdings});
                self.fleet.command_targets(&command).await?;
                let required = load.ended_requests() + REQUESTS_PER_ROLLOUT_STEP;
                self.fleet
                    .wait_until("requests between steps", async || {
                        load.ended_requests() >= required
                    })
                    .await?;
            }
        }
        Ok(())
    }

    /// Waits until a caller gets [`CONSECUTIVE_COMPLETE_ANSWERS`], with probes of all query kinds in turn.
    pub async fn wait_until_complete(&mut self) -> anyhow::Result<()> {
        let caller = Caller::open(self.fleet.caller_addresses());
        let deadline = std::time::Instant::now() + crate::fleet::CONDITION_TIMEOUT;
        let mut consecutive = 0;
        let mut last = None;
        while consecutive < CONSECUTIVE_COMPLETE_ANSWERS {
            ensure!(
                std::time::Instant::now() < deadline,
                "queries are not answered completely again; result of the last one: {last:?}"
            );
            let kind = &QUERY_KINDS[self.probe_count as usize % QUERY_KINDS.len()];
            let query = self.next_probe(kind);
            let sent_after = Duration::ZERO;
            let outcome = caller.query(&query).await;
            let complete = matches!(&outcome.result, Ok(answer) if answer.complete);
            consecutive = if complete { consecutive + 1 } else { 0 };
            last = Some(outcome.result.clone().map(|answer| answer.coverage));
            self.probe_records.push(Record {
                query,
                sent_after,
                outcome,
            });
        }
        Ok(())
    }

    fn next_probe(&mut self, kind: &QueryKind) -> Query {
        self.probe_count += 1;
        Query {
            index: kind.index.to_owned(),
            kind: kind.kind.to_owned(),
            deadline: kind.deadline,
            routing_key: kind
                .has_routing_key
                .then(|| format!("probe-{}", self.probe_count)),
            idempotent: kind.idempotent,
            body: format!("probe {}", self.probe_count).into(),
        }
    }

    /// Returns an order whose request id belongs to a new session, issued by a node.
    pub async fn new_order(&self, node: usize, body: &str) -> anyhow::Result<Order> {
        let address = self.fleet.nodes[node].caller;
        let reply = http::call_json(address, "GET", "/v1/addresses", &Json::Null).await?;
        let addresses: Addresses = serde_json::from_value(reply)?;
        Ok(Order {
            id: format!("{}-1", addresses.session),
            body: body.to_owned(),
        })
    }

    /// Returns how many times a request started at any target, as the targets' journal shows.
    pub async fn count_starts(&self, id: &str) -> anyhow::Result<usize> {
        let journal = self.fleet.target_journal().await?;
        let is_start = |entry: &&JournalEntry| entry.request == id && entry.started;
        Ok(journal.iter().filter(is_start).count())
    }

    /// Returns the target of each request that runs at an index, as the targets' journal shows.
    pub async fn running_targets(&self, index: &str) -> anyhow::Result<Vec<String>> {
        let journal = self.fleet.target_journal().await?;
        Ok(journal
            .iter()
            .filter(|entry| entry.started && entry.ended_ms.is_none())
            .map(|entry| entry.target.to_string())
            .filter(|target| target.starts_with(index))
            .collect())
    }

    /// Returns the position in `fleet.nodes` of the node that is the gateway of a target when all nodes of
    /// its cell are members.
    pub fn gateway_of(&self, target: &str) -> Option<usize> {
        let mut targets = self.fleet.target_spec().targets.iter();
        let target = targets.find(|candidate| candidate.name == target)?;
        let members: Vec<Member> = self
            .fleet
            .nodes
            .iter()
            .filter(|node| node.data_centre == target.data_centre)
            .map(|node| Member {
                name: node.name.clone(),
                incarnation: Incarnation(0),
                peer: node.caller,
                caller: node.caller,
            })
            .collect();
        let owner = owner_of(&target.index, &target.service, target.replica, &members)?;
        let mut nodes = self.fleet.nodes.iter();
        nodes.position(|node| node.name == owner.name)
    }

    /// Waits until the targets' journal shows that a request started, and returns the target's name.
    pub async fn wait_for_start(&self, id: &str) -> anyhow::Result<String> {
        let mut target = None;
        self.fleet
            .wait_until(&format!("the start of {id}"), async || {
                let journal = self.fleet.target_journal().await.unwrap_or_default();
                let entry = journal
                    .iter()
                    .find(|entry| entry.request == id && entry.started);
                target = entry.map(|entry| entry.target.to_string());
                target.is_some()
            })
            .await?;
        target.context("the request started at no target")
    }

    /// Sends a command to the stand-ins of all [`ORDER_TARGETS`].
    pub async fn command_order_targets(&self, command: &Json) -> anyhow::Result<()> {
        for name in ORDER_TARGETS {
            let mut command = command.clone();
            command["name"] = json!(name);
            self.fleet.command_targets(&command).await?;
        }
        Ok(())
    }

    /// Returns the names of all targets.
    pub fn target_names(&self) -> Vec<String> {
        let targets = &self.fleet.target_spec().targets;
        targets.iter().map(|target| target.name.clone()).collect()
    }

    /// Checks the records of a load, the probes and the targets' journal; returns the verdict, or an error
    /// if a guarantee is broken.
    pub async fn check_guarantees(&self, mut records: Vec<Record>) -> anyhow::Result<Verdict> {
        records.extend(self.probe_records.iter().cloned());
        let journal = self.fleet.target_journal().await?;
        let targets = self.fleet.target_verdict().await?;
        let verdict = check_run(&records, &journal);
        let overruns = targets.cold_overruns - targets.cold_overruns_unannounced;
        let over_slots = checker::targets_over_slots(&journal, self.fleet.target_spec());
        ensure!(verdict.is_clean(), "a guarantee is broken: {verdict:#?}");
        ensure!(
            targets.doubled == 0,
            "non-idempotent requests started more than once: {:?}",
            targets.doubled_ids
        );
        ensure!(
            overruns == 0,
            "P3: {overruns} requests exceeded the limits of cold targets: {:?}",
            targets.cold
        );
        ensure!(
            targets.connection_overruns == 0,
            "{} connections exceeded the connection limit of a target",
            targets.connection_overruns
        );
        ensure!(
            over_slots.is_empty(),
            "targets ran more requests at once than they have slots: {over_slots:?}"
        );
        ensure!(verdict.answered > 0, "no request was answered");
        ensure!(
            targets.non_idempotent_started > 0,
            "no non-idempotent request started, so the run does not test P7"
        );
        Ok(verdict)
    }
}
