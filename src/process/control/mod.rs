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
const TICK_PERIOD: Duration = Duration::from_millis(25);
/// The time allowed for an exchange; a later answer still counts from its sending, but would be old.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Period of exchanges with the members of other cells, which carry summaries of their targets.
const FOREIGN_EXCHANGE_PERIOD: Duration = Duration::from_millis(300);
/// Period of asking a peer for the records of other cells.
const RECORD_FETCH_PERIOD: Duration = Duration::from_millis(600);
/// Period of reading the membership list.
const MEMBERSHIP_READ_PERIOD: Duration = Duration::from_secs(1);
/// The least time between two views, so that many small changes cost one rebuild.
const VIEW_REBUILD_PAUSE: Duration = Duration::from_millis(50);
/// How long a permit must be missing before a log line says so.
const PERMIT_LOSS_LOG_DELAY: Duration = Duration::from_millis(250);
/// The time allowed for fetching settings from a peer.
const SETTINGS_FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The cell records that a peer knows, by their revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRevisions(pub Vec<(String, u64)>);

/// Cell records that are newer than the ones in [`RecordRevisions`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordUpdates(pub Vec<(String, Record)>);

/// The messages of the actor.
#[derive(Debug)]
pub enum Message {
    /// Time has passed.
    Tick,
    /// A read of the store ended.
    StoreRead(Moment, Result<record::Changes, store::Error>),
    /// A compare-and-swap of the cell record ended.
    SwapEnded(Option<u64>, Result<Outcome, store::Error>),
    /// A peer answered an exchange that was sent at the moment.
    ExchangeAnswered(Moment, Report),
    /// A peer did not answer an exchange.
    ExchangeFailed(String),
    /// A peer asks for an exchange.
    AnswerExchange(Exchange, RpcReplyPort<Report>),
    /// A peer asks for cell records.
    GetRecords(RecordRevisions, RpcReplyPort<RecordUpdates>),
    /// A peer gave cell records.
    RecordsFetched(RecordUpdates),
    /// A peer asks for settings after a version.
    GetDeltas(u64, RpcReplyPort<Deltas>),
    /// Something happened to the settings replica.
    Replica(replica::Event),
    /// The membership list was read.
    MembershipRead(Result<Option<List>, members::Error>),
    /// Somebody asks for the status.
    GetStatus(RpcReplyPort<Status>),
    /// The node will stop as planned; peers leave it out of address lists.
    AnnounceStop,
    /// The node leaves its cell.
    LeaveCell,
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
    pub store_addresses: Vec<SocketAddr>,
    /// The platform's membership list.
    pub membership_address: SocketAddr,
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
    published: Arc<Published>,
}

/// What the actor publishes.
#[derive(Debug, Default)]
struct Published {
    view: ArcSwap<View>,
    permit_until: AtomicU64,
}

impl Control {
    /// Starts the actor.
    pub async fn spawn(config: Config) -> Result<Self, ractor::SpawnErr> {
        let published = Arc::<Published>::default();
        let (actor, task) = Actor::spawn(None, Worker, (config, Arc::clone(&published))).await?;
        actor.send_interval(TICK_PERIOD, || Message::Tick);
        Ok(Self {
            actor,
            task,
            published,
        })
    }

    /// Returns the newest view.
    pub fn view(&self) -> arc_swap::Guard<Arc<View>> {
        self.published.view.load()
    }

    /// Tells whether the node may take new work now.
    pub fn has_permit(&self, now: Moment) -> bool {
        now < Moment::from_micros(self.published.permit_until.load(Ordering::Acquire))
    }

    /// Answers an exchange of a peer; nothing if the actor has ended.
    pub async fn answer_exchange(&self, exchange: Exchange) -> Option<Report> {
        self.call(|reply| Message::AnswerExchange(exchange, reply))
            .await
    }

    /// Gives cell records to a peer.
    pub async fn newer_records(&self, known: RecordRevisions) -> Option<RecordUpdates> {
        self.call(|reply| Message::GetRecords(known, reply)).await
    }

    /// Gives settings to a peer.
    pub async fn settings_deltas(&self, since: u64) -> Option<Deltas> {
        self.call(|reply| Message::GetDeltas(since, reply)).await
    }

    /// Returns the status.
    pub async fn status(&self) -> Option<Status> {
        self.call(Message::GetStatus).await
    }

    /// Tells peers that callers should no longer be sent here; the node goes on serving.
    pub fn announce_stop(&self) {
        // An actor that has ended serves nobody.
        let _ended = self.actor.cast(Message::AnnounceStop);
    }

    /// Leaves the cell; from now on the node gets no permit.
    pub fn leave_cell(&self) {
        // An actor that has ended has left already.
        let _ended = self.actor.cast(Message::LeaveCell);
    }

    async fn call<T, F>(&self, message: F) -> Option<T>
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
