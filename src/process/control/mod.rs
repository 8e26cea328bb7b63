//! The control actor: keeps the settings, the cell record and the permit of a node current.
//!
//! A permit is a short-lived authorisation to dispatch requests to targets. The actor passes events to the
//! pure state machines `process::cell` and `version::replica`, carries out the actions that they return, and
//! publishes a [`View`]. `docs/design.md`, section 5, gives the rule that it serves.

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

/// The path on which a node answers exchanges of its peers.
pub const EXCHANGE_PATH: &str = "/peer/exchange";
/// The path on which a node returns settings to a peer.
pub const SETTINGS_PATH: &str = "/peer/settings";
/// The path on which a node returns cell records to a peer.
pub const RECORDS_PATH: &str = "/peer/records";

/// Period of the tick that drives the timers of the state machines; it is their resolution.
const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Time limit of an exchange. An answer counts from the moment its exchange was sent, so a later one would
/// already be old.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Period of exchanges with the members of other cells, which carry summaries of their targets.
const FOREIGN_EXCHANGE_PERIOD: Duration = Duration::from_millis(300);
/// Period of fetching the records of other cells from a peer.
const RECORD_FETCH_PERIOD: Duration = Duration::from_millis(600);
/// Period of reading the platform's membership list.
const MEMBERSHIP_READ_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time between two rebuilds of the view, so that many small changes cost one rebuild.
///
/// A change of the members or the settings is not delayed by it.
const VIEW_REBUILD_PAUSE: Duration = Duration::from_millis(50);
/// How long the permit must be missing before its loss is logged.
const PERMIT_LOSS_LOG_DELAY: Duration = Duration::from_millis(250);
/// Time limit of fetching settings from a peer.
const SETTINGS_FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The names of the cells whose records a node has, each with the revision of its record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRevisions(pub Vec<(String, u64)>);

/// Cell records that are newer than in a given [`RecordRevisions`], each with the name of its cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordUpdates(pub Vec<(String, Record)>);

/// A message to the control actor.
#[derive(Debug)]
pub enum Message {
    /// The periodic tick is due.
    Tick,
    /// A read of the settings head and the cell records ended; the moment is when it was sent.
    StoreRead(Moment, Result<record::Changes, store::Error>),
    /// A compare-and-swap of the own cell's record ended; the number is the modification revision that it
    /// expected, absent if it expected no record.
    SwapEnded(Option<u64>, Result<Outcome, store::Error>),
    /// A peer answered an exchange; the moment is when the exchange was sent.
    ExchangeAnswered(Moment, Report),
    /// The exchange with the named peer failed or timed out.
    ExchangeFailed(String),
    /// A peer sent an exchange and waits for the report of this node.
    AnswerExchange(Exchange, RpcReplyPort<Report>),
    /// A peer asks for the cell records that are newer than its own.
    GetRecords(RecordRevisions, RpcReplyPort<RecordUpdates>),
    /// A peer returned the cell records that are newer than the ones of this node.
    RecordsFetched(RecordUpdates),
    /// A peer asks for the settings changes after the given version.
    GetDeltas(u64, RpcReplyPort<Deltas>),
    /// An event for the settings replica.
    Replica(replica::Event),
    /// A read of the membership list ended; it gives no list if nothing changed.
    MembershipRead(Result<Option<List>, members::Error>),
    /// An operator asks for the status of the node.
    GetStatus(RpcReplyPort<Status>),
    /// A planned stop began; the node still serves, but peers leave it out of address lists.
    AnnounceStop,
    /// The node leaves its cell and does not join it again.
    LeaveCell,
}

/// The configuration and the handles with which the control actor starts.
#[derive(Debug)]
pub struct Config {
    /// This node as a member of its cell; the actor raises the incarnation when it rejoins.
    pub me: Member,
    /// The name of the node's cell.
    pub cell: String,
    /// The name of the node's data centre.
    pub data_centre: String,
    /// The addresses of the platform's store.
    pub store_addresses: Vec<SocketAddr>,
    /// The address of the platform's membership list.
    pub membership_address: SocketAddr,
    /// The clock of the process.
    pub clock: Clock,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The connections to other nodes.
    pub peers: Peers,
    /// The gateway of the node, which dispatches to the targets that the node owns.
    pub gateway: Gateway,
}

/// The handle of the running control actor; dropping it aborts the actor.
#[derive(Debug)]
pub struct Control {
    actor: ActorRef<Message>,
    task: JoinHandle<()>,
    published: Arc<Published>,
}

/// What the actor publishes for the request handlers, which read it without a message.
#[derive(Debug, Default)]
struct Published {
    view: ArcSwap<View>,
    /// The end of the permit, in microseconds of the process clock; zero without a permit.
    permit_until: AtomicU64,
}

impl Control {
    /// Starts the actor and its periodic tick.
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

    /// Returns whether the node holds a permit at `now` and so may take new work.
    pub fn has_permit(&self, now: Moment) -> bool {
        now < Moment::from_micros(self.published.permit_until.load(Ordering::Acquire))
    }

    /// Returns the report that answers a peer's exchange, or nothing if the actor has ended.
    pub async fn answer_exchange(&self, exchange: Exchange) -> Option<Report> {
        self.call(|reply| Message::AnswerExchange(exchange, reply))
            .await
    }

    /// Returns the cell records that are newer than the known ones, or nothing if the actor has ended.
    pub async fn newer_records(&self, known: RecordRevisions) -> Option<RecordUpdates> {
        self.call(|reply| Message::GetRecords(known, reply)).await
    }

    /// Returns the settings changes after version `since`, or nothing if the actor has ended.
    pub async fn settings_deltas(&self, since: u64) -> Option<Deltas> {
        self.call(|reply| Message::GetDeltas(since, reply)).await
    }

    /// Returns the status of the node, or nothing if the actor has ended.
    pub async fn status(&self) -> Option<Status> {
        self.call(Message::GetStatus).await
    }

    /// Announces a planned stop in every further report, so that peers leave the node out of address lists.
    ///
    /// The node still serves callers that reach it.
    pub fn announce_stop(&self) {
        // An actor that has ended sends no reports.
        let _ended = self.actor.cast(Message::AnnounceStop);
    }

    /// Leaves the cell; the node gets no permit from then on.
    pub fn leave_cell(&self) {
        // An actor that has ended renews no permit.
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
