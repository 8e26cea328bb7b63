//! Stand-ins for targets: many targets in one process, described by a YAML spec.
//!
//! Every target listens on a port of its own with the interface of `docs/design.md`, section 6. The
//! process has one admin interface. `POST /admin/target` sets faults, `GET /admin/targets` returns the
//! targets, `GET /admin/journal` the requests that reached them, and `GET /admin/verdict` the evaluation
//! of these requests.

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

/// Configuration of the targets of one process.
#[derive(Debug, Clone)]
pub struct Config {
    /// Description of the targets.
    pub spec: spec::Spec,
    /// Address of the admin interface; port 0 selects a free port.
    pub admin: SocketAddr,
    /// Address of the membership list at which the targets register, if they do.
    pub members: Option<SocketAddr>,
    /// Limit for the number of requests in the journal.
    pub journal_limit: usize,
}

impl Config {
    /// Returns a configuration with a free admin port, without registration.
    pub fn new(spec: spec::Spec) -> Self {
        Self {
            spec,
            admin: SocketAddr::from(([127, 0, 0, 1], 0)),
            members: None,
            journal_limit: MAX_JOURNAL_ENTRIES,
        }
    }
}

/// Target as `GET /admin/targets` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the target, unique in the process.
    pub name: String,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: String,
    /// Index that the target serves.
    pub index: String,
    /// Service of which the target is a replica.
    pub service: String,
    /// Number of the target within its service.
    pub replica: u32,
    /// Generation, which grows with each restart.
    pub generation: u64,
    /// Whether the target is cold, even if its own status claims otherwise.
    pub cold: bool,
    /// Index versions and shards that the target holds.
    pub versions: Vec<spec::Holding>,
}

/// Target with its address and the state of its port.
#[derive(Debug)]
struct Endpoint {
    instance: Arc<Instance>,
    address: SocketAddr,
    /// Whether the port is open.
    listening: watch::Receiver<bool>,
}

/// State behind the admin interface.
#[derive(Debug)]
struct AdminState {
    endpoints: Vec<Endpoint>,
    /// Position in `endpoints` of each target by name.
    positions: HashMap<String, usize>,
    journal: Arc<Journal>,
    /// Queue of changes for the membership list, if the targets register at one.
    registration: Option<registration::Queue>,
}

/// Running targets of a process, which stop when this value is dropped.
#[derive(Debug)]
pub struct Targets {
    admin: SocketAddr,
    admin_state: Arc<AdminState>,
    tasks: Tasks,
}

/// Starts all targets of a spec and, if configured, registers them at the membership list.
pub async fn bind(config: Config) -> anyhow::Result<Targets> {
    config.spec.check()?;
    let tasks = Tasks::new();
    let journal = Arc::new(Journal::new(config.journal_limit));
    // Starting from the time of day makes generations grow from one process to the next on the same
    // ports.
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

    /// Returns the address of a target, or `None` if no target has this name.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let position = self.admin_state.positions.get(name)?;
        Some(self.admin_state.endpoints[*position].address)
    }

    /// Returns the addresses of all targets by name.
    pub fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        let endpoints = self.admin_state.endpoints.iter();
        endpoints
            .map(|endpoint| (endpoint.instance.spec.name.clone(), endpoint.address))
            .collect()
    }

    /// Returns all targets, as `GET /admin/targets` does.
    pub fn summaries(&self) -> Vec<Summary> {
        self.admin_state.summaries()
    }

    /// Changes targets, as `POST /admin/target` does.
    pub async fn command(&self, command: Command) -> anyhow::Result<()> {
        self.admin_state.command(command).await
    }

    /// Returns the whole journal in the order of arrival.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.admin_state.journal.entries().clone()
    }

    /// Returns the verdict, as `GET /admin/verdict` does; fails if the journal is full.
    pub fn verdict(&self) -> anyhow::Result<Verdict> {
        self.admin_state.verdict()
    }

    /// Stops all targets and waits until every connection is closed.
    pub async fn close(self) {
        self.tasks.close().await;
    }
}
