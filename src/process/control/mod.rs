//! The actor that owns what is decided through the store: settings, cell record and permit.
//!
//! It feeds the pure state machines `process::cell` and `version::replica` with events, carries out their actions,
//! and publishes a [`View`]. `docs/design.md`, section 5, gives the rule that it serves.

mod exchange;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use ractor::{Actor, ActorRef, RpcReplyPort};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use self::state::Worker;
use super::gateway::Gateway;
use super::metrics::Metrics;
use super::record;
use super::view::View;
use crate::connection::members::{self, List};
use crate::connection::peer::Peers;
use crate::connection::store::{self, Outcome};
use crate::time::{Clock, Moment};
use crate::version::acceptance::Status;
use crate::version::replica::{self, Deltas};
use crate::wire::exchange::Record;
use crate::wire::{Exchange, Member, Report};

/// The path of an exchange between nodes.
pub const EXCHANGE_PATH: &str = "/peer/exchange";
/// The path on which a node gives settings to a peer.
pub const SETTINGS_PATH: &str = "/peer/settings";
/// The path on which a node gives the records of other cells to a peer.
pub const RECORDS_PATH: &str = "/peer/records";

/// The resolution of the state machines' timers.
const TICK: Duration = Duration::from_millis(25);
/// The time allowed for an exchange; a later answer still counts from its sending, but would be old.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Period of exchanges with the members of other cells, which carry summaries of their targets.
const FOREIGN_EXCHANGE: Duration = Duration::from_millis(300);
/// Period of asking a peer for the records of other cells.
const RECORDS: Duration = Duration::from_millis(600);
/// Period of reading the membership list.
const MEMBERS: Duration = Duration::from_secs(1);
/// The least time between two views, so that many small changes cost one rebuild.
const REBUILD: Duration = Duration::from_millis(50);
/// How long a permit must be missing before a log line says so.
const PERMIT_LOST: Duration = Duration::from_millis(250);
/// The time allowed for fetching settings from a peer.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);

/// The cell records that a peer knows, by their revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known(pub Vec<(String, u64)>);

/// Cell records that are newer than the ones in [`Known`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newer(pub Vec<(String, Record)>);

/// The messages of the actor.
#[derive(Debug)]
pub enum Message {
    /// Time has passed.
    Tick,
    /// A read of the store ended.
    Heads(Moment, Result<record::Heads, store::Error>),
    /// A compare-and-swap of the cell record ended.
    Swapped(Option<u64>, Result<Outcome, store::Error>),
    /// A peer answered an exchange that was sent at the moment.
    Report(Moment, Report),
    /// A peer did not answer an exchange.
    NoReport(String),
    /// A peer asks for an exchange.
    Exchange(Exchange, RpcReplyPort<Report>),
    /// A peer asks for cell records.
    Records(Known, RpcReplyPort<Newer>),
    /// A peer gave cell records.
    Newer(Newer),
    /// A peer asks for settings after a version.
    Deltas(u64, RpcReplyPort<Deltas>),
    /// Something happened to the settings replica.
    Settings(replica::Event),
    /// The membership list was read.
    Members(Result<Option<List>, members::Error>),
    /// Somebody asks for the status.
    Status(RpcReplyPort<Status>),
    /// The node will stop as planned; peers leave it out of address lists.
    Announce,
    /// The node leaves its cell.
    Leave,
}

/// What the actor needs to start.
#[derive(Debug)]
pub struct Config {
    /// The node itself.
    pub me: Member,
    /// The node's cell.
    pub cell: String,
    /// The node's data centre.
    pub data_centre: String,
    /// The platform's store.
    pub store: Vec<SocketAddr>,
    /// The platform's membership list.
    pub members: SocketAddr,
    /// The clock of the process.
    pub clock: Clock,
    /// The counters of the process.
    pub metrics: Metrics,
    /// The connections to other nodes.
    pub peers: Peers,
    /// The gateway of the node.
    pub gateway: Gateway,
}

/// The handle of the running actor.
#[derive(Debug)]
pub struct Control {
    actor: ActorRef<Message>,
    task: JoinHandle<()>,
    shared: Arc<Shared>,
}

/// What the actor publishes.
#[derive(Debug, Default)]
struct Shared {
    view: ArcSwap<View>,
    permit_until: AtomicU64,
}

impl Control {
    /// Starts the actor.
    pub async fn spawn(config: Config) -> Result<Self, ractor::SpawnErr> {
        let shared = Arc::<Shared>::default();
        let (actor, task) = Actor::spawn(None, Worker, (config, Arc::clone(&shared))).await?;
        actor.send_interval(TICK, || Message::Tick);
        Ok(Self {
            actor,
            task,
            shared,
        })
    }

    /// Returns the newest view.
    pub fn view(&self) -> arc_swap::Guard<Arc<View>> {
        self.shared.view.load()
    }

    /// Tells whether the node may take new work now.
    pub fn has_permit(&self, now: Moment) -> bool {
        now < Moment::from_micros(self.shared.permit_until.load(Ordering::Acquire))
    }

    /// Answers an exchange of a peer; nothing if the actor has ended.
    pub async fn exchange(&self, exchange: Exchange) -> Option<Report> {
        self.ask(|reply| Message::Exchange(exchange, reply)).await
    }

    /// Gives cell records to a peer.
    pub async fn records(&self, known: Known) -> Option<Newer> {
        self.ask(|reply| Message::Records(known, reply)).await
    }

    /// Gives settings to a peer.
    pub async fn deltas(&self, since: u64) -> Option<Deltas> {
        self.ask(|reply| Message::Deltas(since, reply)).await
    }

    /// Returns the status.
    pub async fn status(&self) -> Option<Status> {
        self.ask(Message::Status).await
    }

    /// Tells peers that callers should no longer be sent here; the node goes on serving.
    pub fn announce_stop(&self) {
        // An actor that has ended serves nobody.
        let _ended = self.actor.cast(Message::Announce);
    }

    /// Leaves the cell; from now on the node gets no permit.
    pub fn leave(&self) {
        // An actor that has ended has left already.
        let _ended = self.actor.cast(Message::Leave);
    }

    async fn ask<T, F>(&self, message: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(RpcReplyPort<T>) -> Message,
    {
        match self.actor.call(message, None).await {
            Ok(ractor::rpc::CallResult::Success(answer)) => Some(answer),
            _ => None,
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.task.abort();
    }
}
