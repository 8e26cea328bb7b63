//! Targets: many back ends in one process, described by a YAML spec.
//!
//! Every target has a port of its own with the interface of `docs/design.md`, section 6. One admin
//! port per process sets faults with `POST /admin/target` and shows `GET /admin/targets`,
//! `GET /admin/journal` and `GET /admin/verdict`.

mod admin;
mod answer;
mod instance;
mod journal;
mod port;
mod registration;
mod request;
mod serve;
pub mod spec;
mod state;
mod verdict;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{self, Tasks};
pub use admin::{Command, JournalPage};
pub use answer::{Answer, HITS_PER_SHARD, Hit, expected_hits};
pub use journal::{JournalEntry, MAX_JOURNAL_ENTRIES};
pub use verdict::{ColdLoad, DataCentreTotals, LateRequests, Verdict};

use instance::Instance;
use journal::Journal;
use port::Port;
use serve::Server;

/// How the targets of a process start.
#[derive(Debug, Clone)]
pub struct Config {
    /// The targets.
    pub spec: spec::Spec,
    /// Where the admin interface listens; port 0 takes a free port.
    pub admin: SocketAddr,
    /// The membership list that the targets register at.
    pub members: Option<SocketAddr>,
    /// How many requests the journal holds.
    pub journal_limit: usize,
}

impl Config {
    /// Returns a configuration with a free admin port and no registration.
    pub fn new(spec: spec::Spec) -> Self {
        Self {
            spec,
            admin: SocketAddr::from(([127, 0, 0, 1], 0)),
            members: None,
            journal_limit: MAX_JOURNAL_ENTRIES,
        }
    }
}

/// A target as `GET /admin/targets` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: String,
    /// The index that it serves.
    pub index: String,
    /// The service that it is a replica of.
    pub service: String,
    /// Its number within the service.
    pub replica: u32,
    /// The current generation.
    pub generation: u64,
    /// Whether it is cold, whatever its status says.
    pub cold: bool,
    /// The parts of the index that it holds.
    pub versions: Vec<spec::Holding>,
}

/// One target with the means to reach it.
#[derive(Debug)]
struct Endpoint {
    instance: Arc<Instance>,
    address: SocketAddr,
    listening: watch::Receiver<bool>,
}

/// What the admin interface works on.
#[derive(Debug)]
struct AdminState {
    endpoints: Vec<Endpoint>,
    positions: HashMap<String, usize>,
    journal: Arc<Journal>,
    registration: Option<registration::Queue>,
}

/// The running targets of a process; they stop when this value is dropped.
#[derive(Debug)]
pub struct Targets {
    admin: SocketAddr,
    admin_state: Arc<AdminState>,
    tasks: Tasks,
}

/// Starts all targets of a spec.
pub async fn bind(config: Config) -> anyhow::Result<Targets> {
    config.spec.check()?;
    let tasks = Tasks::new();
    let journal = Arc::new(Journal::new(config.journal_limit));
    // Generations grow from one process to the next on the same ports.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let generation = since_epoch.map_or(0, |since| since.as_micros() as u64);
    let mut endpoints = Vec::new();
    let mut positions = HashMap::new();
    for target in config.spec.targets {
        let name = target.name.clone();
        let bound = Port::reserve(target.address)
            .and_then(|port| port.listen().map(|listener| (port, listener)));
        let (port, listener) =
            bound.with_context(|| format!("{name}: cannot listen on {}", target.address))?;
        let address = port.address;
        let journal = Arc::clone(&journal);
        let seed = config.spec.seed;
        let instance = Arc::new(Instance::new(target, seed, generation, journal));
        let (sender, listening) = watch::channel(true);
        let server = Server {
            instance: Arc::clone(&instance),
            stop: tasks.stop.clone(),
            tracker: tasks.tracker.clone(),
        };
        tasks.tracker.spawn(server.accept(port, listener, sender));
        positions.insert(name, endpoints.len());
        endpoints.push(Endpoint {
            instance,
            address,
            listening,
        });
    }
    let registration = match config.members {
        Some(members) => {
            let all = endpoints.iter().map(Endpoint::listed_instance).collect();
            registration::register_instances(members, all)
                .await
                .with_context(|| format!("cannot register at {members}"))?;
            let queue = registration::Queue::default();
            let run = queue.clone().send_changes(members, tasks.stop.clone());
            tasks.tracker.spawn(run);
            Some(queue)
        }
        None => None,
    };
    let listener = TcpListener::bind(config.admin)
        .await
        .with_context(|| format!("cannot listen on {}", config.admin))?;
    let admin = listener.local_addr()?;
    let admin_state = Arc::new(AdminState {
        endpoints,
        positions,
        journal,
        registration,
    });
    let never_down = watch::Sender::new(false);
    let serving = http::accept_connections(
        listener,
        Arc::clone(&admin_state),
        never_down.subscribe(),
        tasks.stop.clone(),
        tasks.tracker.clone(),
    );
    tasks.tracker.spawn(async move {
        serving.await;
        drop(never_down);
    });
    Ok(Targets {
        admin,
        admin_state,
        tasks,
    })
}

impl Targets {
    /// Returns the address of the admin interface.
    pub const fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the address of a target.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let number = self.admin_state.positions.get(name)?;
        Some(self.admin_state.endpoints[*number].address)
    }

    /// Returns the addresses of all targets.
    pub fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        let endpoints = self.admin_state.endpoints.iter();
        endpoints
            .map(|endpoint| (endpoint.instance.spec.name.clone(), endpoint.address))
            .collect()
    }

    /// Returns all targets, like `GET /admin/targets`.
    pub fn summaries(&self) -> Vec<Summary> {
        self.admin_state.summaries()
    }

    /// Changes targets, like `POST /admin/target`.
    pub async fn command(&self, command: Command) -> anyhow::Result<()> {
        self.admin_state.command(command).await
    }

    /// Returns the whole journal.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.admin_state.journal.entries().clone()
    }

    /// Returns the verdict, like `GET /admin/verdict`; a full journal is an error.
    pub fn verdict(&self) -> anyhow::Result<Verdict> {
        self.admin_state.verdict()
    }

    /// Stops and waits until every connection is closed.
    pub async fn close(self) {
        self.tasks.close().await;
    }
}
