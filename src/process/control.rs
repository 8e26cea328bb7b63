//! The actor that owns what is decided through the store: settings, cell record and permit.
//!
//! It feeds the pure state machines [`Cell`] and [`Replica`] with events, carries out their actions,
//! and publishes a [`View`]. `docs/design.md`, section 5, gives the rule that it serves.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use super::cell::{self, Cell, Heads, LIVE, Swapped};
use super::gateway::Gateway;
use super::metrics::Metrics;
use super::record;
use super::view::{Assignment, Reported, Sources, View};
use crate::connection::members::{self, List};
use crate::connection::peer::{self, Peers};
use crate::connection::settings;
use crate::connection::store::{self, Outcome, Store};
use crate::time::{Clock, Moment};
use crate::version::acceptance::{Roster, Sighting, Status};
use crate::version::log as layout;
use crate::version::replica::{self, Deltas, Replica};
use crate::wire::exchange::Record;
use crate::wire::{Exchange, Incarnation, Member, Report};

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

struct Worker;

/// Starts the node outside its cell's record.
fn join(config: &Config, settings: u64, now: Moment) -> Cell {
    let cell = cell::Config {
        cell: config.cell.clone(),
        me: config.me.clone(),
        settings,
        rules: cell::Rules::default(),
    };
    Cell::open(cell, now)
}

/// What the node knows of another node apart from its cell's rule.
#[derive(Debug)]
struct Contact {
    member: Member,
    /// The mark up to which its summaries are known.
    mark: u64,
    heard: Moment,
    stopping: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
struct State {
    config: Config,
    shared: Arc<Shared>,
    myself: ActorRef<Message>,
    store: Arc<Store>,
    cell: Cell,
    replica: Replica,
    /// Shared with the reads under way, because at 58,000 targets a copy costs tens of megabytes.
    list: Arc<List>,
    /// The store's revision up to which all cell records are known.
    read_to: u64,
    /// The records of all cells; of the own cell as the state machine has adopted it.
    records: BTreeMap<String, Record>,
    /// The modification revision of the own cell's record as last read.
    own: Option<(Record, u64)>,
    contacts: HashMap<String, Contact>,
    summaries: HashMap<String, Reported>,
    /// Since when each incarnation is known as a member of its cell.
    joined: HashMap<(String, Incarnation), Moment>,
    own_mark: u64,
    assignment: Assignment,
    /// Whether nothing is dispatched until the gates know a change.
    suspended: bool,
    announced: bool,
    leaving: bool,
    permitted: bool,
    /// Since when the node has had no permit, until that was logged.
    unpermitted: Option<Moment>,
    store_reachable: bool,
    next_foreign: Moment,
    next_records: Moment,
    next_members: Moment,
    next_view: Moment,
    dirty: bool,
}

impl Actor for Worker {
    type Msg = Message;
    type State = State;
    type Arguments = (Config, Arc<Shared>);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (config, shared): (Config, Arc<Shared>),
    ) -> Result<State, ActorProcessingErr> {
        let now = config.clock.now();
        Ok(State {
            store: Arc::new(Store::open(config.store.clone())),
            cell: join(&config, 0, now),
            replica: Replica::open(),
            list: Arc::default(),
            read_to: 0,
            records: BTreeMap::new(),
            own: None,
            contacts: HashMap::new(),
            summaries: HashMap::new(),
            joined: HashMap::new(),
            own_mark: 0,
            assignment: Assignment::default(),
            suspended: false,
            announced: false,
            leaving: false,
            permitted: false,
            unpermitted: None,
            store_reachable: true,
            next_foreign: now,
            next_records: now,
            next_members: now,
            next_view: now,
            dirty: true,
            config,
            shared,
            myself,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.config.clock.now();
        state.receive(message, now);
        if state.suspended || (state.dirty && now >= state.next_view) {
            state.rebuild(now).await;
        }
        state.publish_permit(state.config.clock.now());
        Ok(())
    }
}

impl State {
    fn receive(&mut self, message: Message, now: Moment) {
        match message {
            Message::Tick => self.tick(now),
            Message::Heads(started, result) => self.heads_read(started, result, now),
            Message::Swapped(expected, result) => self.swapped(expected, result, now),
            Message::Report(sent, report) => self.reported(sent, report, now),
            Message::NoReport(peer) => {
                self.config.metrics.exchange_failures.inc();
                self.cell_step(cell::Event::NoAnswer { peer }, now);
            }
            Message::Exchange(exchange, reply) => self.exchange(exchange, reply, now),
            Message::Records(known, reply) => answer(reply, self.newer(&known)),
            Message::Newer(newer) => self.adopt_records(newer.0),
            Message::Deltas(since, reply) => answer(reply, self.replica.deltas(since)),
            Message::Settings(event) => self.replica_step(event, now),
            Message::Members(result) => self.members_read(result),
            Message::Status(reply) => answer(reply, self.status(now)),
            Message::Announce => self.announced = true,
            Message::Leave => {
                self.leaving = true;
                self.cell_step(cell::Event::Stopping, now);
            }
        }
    }

    /// Joins the cell again under a new incarnation if the present one was removed.
    ///
    /// The others remove a node that does not answer, for example while it is paused. The removed
    /// incarnation never dispatches again, so that they may use its targets.
    fn rejoin(&mut self, now: Moment) {
        if !self.cell.removed() || self.leaving {
            return;
        }
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let fresh = started.map_or(0, |it| u64::try_from(it.as_micros()).unwrap_or(u64::MAX));
        let me = &mut self.config.me;
        // The wall clock may have gone back; a later incarnation must still have a higher number.
        me.incarnation = Incarnation(fresh.max(me.incarnation.0 + 1));
        log::warn!(incarnation:% = me.incarnation; "removed from the cell; joining again");
        self.cell = join(&self.config, self.replica.version(), now);
        self.suspend();
    }

    fn tick(&mut self, now: Moment) {
        self.rejoin(now);
        self.cell_step(cell::Event::Tick, now);
        self.replica_step(replica::Event::Tick, now);
        self.take_summaries();
        if now >= self.next_foreign {
            self.next_foreign = now + FOREIGN_EXCHANGE;
            self.exchange_foreign();
        }
        if now >= self.next_records {
            self.next_records = now + RECORDS;
            self.ask_records(now);
        }
        if now >= self.next_members {
            self.next_members = now + MEMBERS;
            self.read_members();
        }
    }

    fn cell_step(&mut self, event: cell::Event, now: Moment) {
        let actions = self.cell.step(event, now);
        if actions.contains(&cell::Action::Changed) {
            self.suspend();
        }
        for action in actions {
            match action {
                cell::Action::Read => self.read_heads(now),
                cell::Action::Swap { expected, record } => self.swap(expected, record),
                cell::Action::Exchange { peer, exchange } => self.send_exchange(peer, exchange),
                cell::Action::Changed => self.cell_changed(),
            }
        }
    }

    /// Stops dispatching until the gates know the new members or settings.
    ///
    /// Peers take a reported revision for the promise that this node acts on it: a former owner
    /// releases its targets by it, and a change of the settings is accepted by it.
    fn suspend(&mut self) {
        self.suspended = true;
        self.config.gateway.suspend();
        self.shared.permit_until.store(0, Ordering::Release);
    }

    fn cell_changed(&mut self) {
        let revision = self.cell.revision().cell;
        self.config
            .metrics
            .cell_revision
            .set(revision.cast_signed());
        if let Some(record) = self.cell.record() {
            let members: Vec<&str> = record.members.iter().map(|it| it.name.as_str()).collect();
            log::info!(revision, members:? = members; "cell record adopted");
            self.records
                .insert(self.config.cell.clone(), record.clone());
        }
    }

    fn replica_step(&mut self, event: replica::Event, now: Moment) {
        for action in self.replica.step(event, now) {
            match action {
                replica::Action::ReadEntries { first, last } => {
                    let store = Arc::clone(&self.store);
                    self.fetch(async move {
                        let values = settings::read_entries(&store, first, last).await;
                        values.map(|values| replica::Event::Entries { values })
                    });
                }
                replica::Action::ReadSnapshot { version } => {
                    let store = Arc::clone(&self.store);
                    self.fetch(async move {
                        let values = settings::read_snapshot(&store, version).await;
                        values.map(|values| replica::Event::Snapshot { version, values })
                    });
                }
                replica::Action::AskPeer { peer, since } => self.ask_settings(&peer, since),
                replica::Action::Adopt { version, .. } => {
                    self.suspend();
                    self.config
                        .metrics
                        .settings_version
                        .set(version.cast_signed());
                    log::info!(version; "settings adopted");
                    self.cell_step(cell::Event::Settings { version }, now);
                }
                replica::Action::Report(fault) => {
                    log::error!(fault:% = fault; "settings in the store cannot be used; the last good version stays in force");
                }
            }
        }
    }

    fn fetch<F>(&self, read: F)
    where
        F: Future<Output = Result<replica::Event, store::Error>> + Send + 'static,
    {
        let myself = self.myself.clone();
        self.config.metrics.store_calls.inc();
        tokio::spawn(async move {
            let event = read.await.unwrap_or(replica::Event::Failed);
            send(&myself, Message::Settings(event));
        });
    }

    fn ask_settings(&self, peer: &str, since: u64) {
        let Some(contact) = self.contacts.get(peer) else {
            send(&self.myself, Message::Settings(replica::Event::Failed));
            return;
        };
        let (peers, myself) = (self.config.peers.clone(), self.myself.clone());
        let address = contact.member.peer;
        tokio::spawn(async move {
            let answer: Result<Deltas, peer::Error> = peers
                .call(address, SETTINGS_PATH, &since, SETTINGS_TIMEOUT)
                .await;
            let event = answer.map_or(replica::Event::Failed, |deltas| replica::Event::Deltas {
                deltas,
            });
            send(&myself, Message::Settings(event));
        });
    }

    fn read_heads(&self, now: Moment) {
        let (store, myself) = (Arc::clone(&self.store), self.myself.clone());
        let from = if self.read_to == 0 {
            0
        } else {
            self.read_to + 1
        };
        self.config.metrics.store_calls.inc();
        tokio::spawn(async move {
            let result = record::heads(&store, from).await;
            send(&myself, Message::Heads(now, result));
        });
    }

    fn heads_read(
        &mut self,
        started: Moment,
        result: Result<record::Heads, store::Error>,
        now: Moment,
    ) {
        let heads = match result {
            Ok(heads) => heads,
            Err(e) => {
                self.store_failed(&e);
                self.cell_step(
                    cell::Event::Read {
                        started,
                        heads: None,
                    },
                    now,
                );
                return;
            }
        };
        self.store_answered();
        for fault in &heads.damaged {
            log::error!(fault:% = fault; "cell record in the store cannot be used");
        }
        if heads.damaged.is_empty() {
            self.read_to = heads.revision;
        }
        let mut foreign = Vec::new();
        for (cell, stored) in heads.records {
            if cell == self.config.cell {
                self.own = Some((stored.record, stored.mod_revision));
            } else {
                foreign.push((cell, stored.record));
            }
        }
        self.adopt_records(foreign);
        // A head that cannot be decoded proves nothing; the replica reports it.
        let settings = settings_version(heads.head.as_ref());
        let value = heads.head;
        self.replica_step(replica::Event::Head { value, started }, now);
        let heads = settings.map(|settings| Heads {
            settings,
            record: self.own.clone(),
        });
        self.cell_step(cell::Event::Read { started, heads }, now);
    }

    fn store_failed(&mut self, error: &store::Error) {
        self.config.metrics.store_failures.inc();
        if std::mem::replace(&mut self.store_reachable, false) {
            log::warn!(error:% = error; "the store cannot be read; settings and members stay as they are");
        }
    }

    fn store_answered(&mut self) {
        if !std::mem::replace(&mut self.store_reachable, true) {
            log::info!("the store can be read again");
        }
    }

    fn swap(&self, expected: Option<u64>, record: Record) {
        let (store, myself) = (Arc::clone(&self.store), self.myself.clone());
        let cell = self.config.cell.clone();
        self.config.metrics.store_calls.inc();
        tokio::spawn(async move {
            let result = record::swap(&store, &cell, expected.unwrap_or(0), &record).await;
            send(&myself, Message::Swapped(expected, result));
        });
    }

    fn swapped(
        &mut self,
        expected: Option<u64>,
        result: Result<Outcome, store::Error>,
        now: Moment,
    ) {
        let outcome = match result {
            Ok(Outcome::Done { .. }) => Swapped::Done,
            Ok(Outcome::Conflict) => Swapped::Conflict,
            Err(e) => {
                self.store_failed(&e);
                Swapped::Unknown
            }
        };
        self.cell_step(cell::Event::Swapped { expected, outcome }, now);
    }

    fn send_exchange(&mut self, peer: Member, mut exchange: Exchange) {
        exchange.since = self.contact(&peer).mark;
        let (peers, myself) = (self.config.peers.clone(), self.myself.clone());
        let clock = self.config.clock;
        tokio::spawn(async move {
            let sent = clock.now();
            let answer: Result<Report, peer::Error> = peers
                .call(peer.peer, EXCHANGE_PATH, &exchange, EXCHANGE_TIMEOUT)
                .await;
            let message = match answer {
                Ok(report) => Message::Report(sent, report),
                Err(_) => Message::NoReport(peer.name),
            };
            send(&myself, message);
        });
    }

    fn exchange_foreign(&mut self) {
        let foreign: Vec<Member> = self
            .records
            .iter()
            .filter(|(cell, _)| **cell != self.config.cell)
            .flat_map(|(_, record)| record.members.iter().cloned())
            .collect();
        for member in foreign {
            let exchange = Exchange {
                from: self.config.me.clone(),
                cell: self.config.cell.clone(),
                revision: self.cell.revision(),
                since: 0,
            };
            self.send_exchange(member, exchange);
        }
    }

    fn exchange(&mut self, exchange: Exchange, reply: RpcReplyPort<Report>, now: Moment) {
        let mut report = self.cell.report(&exchange, now);
        (report.targets, report.mark) = self.config.gateway.summaries(exchange.since);
        report.stopping |= self.announced;
        // Only the status of this node itself shows what it has seen.
        report.seen.clear();
        answer(reply, report);
        self.contact(&exchange.from);
        let (peer, version) = (exchange.from.name.clone(), exchange.revision.settings);
        self.replica_step(replica::Event::Peer { peer, version }, now);
        self.cell_step(cell::Event::Asked(exchange), now);
    }

    fn reported(&mut self, sent: Moment, report: Report, now: Moment) {
        let from = report.from.clone();
        let contact = self.contact(&from);
        contact.heard = contact.heard.max(sent);
        contact.mark = report.mark;
        let stopping = std::mem::replace(&mut contact.stopping, report.stopping);
        self.dirty |= stopping != report.stopping || !report.targets.is_empty();
        for summary in &report.targets {
            let reported = Reported {
                by: from.clone(),
                summary: summary.clone(),
            };
            self.summaries.insert(summary.target.clone(), reported);
        }
        let version = report.revision.settings;
        self.replica_step(
            replica::Event::Peer {
                peer: from.name,
                version,
            },
            now,
        );
        if report.cell == self.config.cell {
            self.cell_step(cell::Event::Answer { sent, report }, now);
        }
    }

    /// Returns what is known of a node; a new incarnation starts with nothing.
    fn contact(&mut self, member: &Member) -> &mut Contact {
        let now = self.config.clock.now();
        let fresh = || Contact {
            member: member.clone(),
            mark: 0,
            heard: now,
            stopping: false,
        };
        let contact = self
            .contacts
            .entry(member.name.clone())
            .or_insert_with(fresh);
        if contact.member != *member && contact.member.incarnation <= member.incarnation {
            *contact = fresh();
        }
        contact
    }

    fn take_summaries(&mut self) {
        let (changed, mark) = self.config.gateway.summaries(self.own_mark);
        self.own_mark = mark;
        self.dirty |= !changed.is_empty();
        for summary in changed {
            let reported = Reported {
                by: self.config.me.clone(),
                summary,
            };
            self.summaries
                .insert(reported.summary.target.clone(), reported);
        }
    }

    fn ask_records(&self, now: Moment) {
        // Peers of the own cell that answer take turns.
        let peers: Vec<&Contact> = self
            .cell
            .record()
            .into_iter()
            .flat_map(|record| &record.members)
            .filter_map(|member| self.contacts.get(&member.name))
            .filter(|contact| now.since(contact.heard) < LIVE)
            .collect();
        let turn = now.as_micros() / u64::try_from(RECORDS.as_micros()).unwrap_or(u64::MAX);
        let Some(contact) = peers.get(turn as usize % peers.len().max(1)) else {
            return;
        };
        let known = self.records.iter();
        let known = Known(
            known
                .map(|(cell, it)| (cell.clone(), it.revision))
                .collect(),
        );
        let (connections, myself) = (self.config.peers.clone(), self.myself.clone());
        let address = contact.member.peer;
        tokio::spawn(async move {
            let answer = connections
                .call(address, RECORDS_PATH, &known, EXCHANGE_TIMEOUT)
                .await;
            if let Ok(newer) = answer {
                send(&myself, Message::Newer(newer));
            }
        });
    }

    fn newer(&self, known: &Known) -> Newer {
        let known: HashMap<&str, u64> = known
            .0
            .iter()
            .map(|(cell, revision)| (cell.as_str(), *revision))
            .collect();
        let newer = self.records.iter().filter(|(cell, record)| {
            known
                .get(cell.as_str())
                .is_none_or(|it| *it < record.revision)
        });
        Newer(
            newer
                .map(|(cell, record)| (cell.clone(), record.clone()))
                .collect(),
        )
    }

    fn adopt_records(&mut self, records: Vec<(String, Record)>) {
        for (cell, record) in records {
            // The own cell's record is the state machine's; it gets it by exchanges and reads.
            let newer = self
                .records
                .get(&cell)
                .is_none_or(|it| it.revision < record.revision);
            if cell != self.config.cell && newer {
                self.records.insert(cell, record);
                self.dirty = true;
            }
        }
    }

    fn read_members(&self) {
        let (list, address) = (Arc::clone(&self.list), self.config.members);
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let result = list.read(address).await;
            send(&myself, Message::Members(result));
        });
    }

    fn members_read(&mut self, result: Result<Option<List>, members::Error>) {
        // The list lags by nature; while it cannot be read, the last one stays in use.
        if let Ok(Some(list)) = result {
            self.list = Arc::new(list);
            self.dirty = true;
        }
    }

    fn status(&self, now: Moment) -> Status {
        let seen = self.cell.seen(now).into_iter();
        let lists = self.cell.owned_basis().lists;
        let list_age = lists.last().map_or(0, |list| {
            u64::try_from(now.since(list.since).as_millis()).unwrap_or(u64::MAX)
        });
        Status {
            node: self.config.me.name.clone(),
            data_centre: self.config.data_centre.clone(),
            cell: self.config.cell.clone(),
            incarnation: self.config.me.incarnation.0,
            settings_version: self.replica.version(),
            permit: self.cell.permit_until(now) > now,
            record: self.cell.record().map(|record| Roster {
                age_ms: Some(list_age),
                ..Roster::from(record)
            }),
            seen: seen
                .map(|seen| Sighting {
                    name: seen.name,
                    settings: seen.revision.settings,
                    cell: seen.revision.cell,
                    age_ms: seen.age_ms,
                })
                .collect(),
        }
    }

    fn publish_permit(&mut self, now: Moment) {
        let until = self.cell.permit_until(now);
        self.config.gateway.permit(until);
        self.shared
            .permit_until
            .store(until.as_micros(), Ordering::Release);
        let permitted = until > now;
        self.config.metrics.permit.set(i64::from(permitted));
        self.log_permit(permitted, now);
    }

    /// Logs that the permit was obtained or lost; a short loss while a new version is adopted is not
    /// worth a line.
    fn log_permit(&mut self, permitted: bool, now: Moment) {
        if permitted {
            self.unpermitted = None;
            if !std::mem::replace(&mut self.permitted, true) {
                log::info!("permit obtained");
            }
            return;
        }
        let since = *self.unpermitted.get_or_insert(now);
        if self.permitted && now.since(since) >= PERMIT_LOST {
            self.permitted = false;
            log::warn!("permit lost; no new work until settings and members are proved current");
        }
    }

    async fn rebuild(&mut self, now: Moment) {
        self.dirty = false;
        self.suspended = false;
        self.next_view = now + REBUILD;
        let tree = Arc::clone(self.replica.tree());
        let place = (self.config.data_centre.as_str(), self.config.cell.as_str());
        let basis = self.cell.owned_basis();
        let owned = self.assignment.owned(&self.list, &tree, place, &basis, now);
        self.config
            .metrics
            .owned_targets
            .set(owned.len().cast_signed() as i64);
        if let Err(e) = self.config.gateway.own(owned).await {
            log::error!(error:% = e; "a target's gateway could not be started");
            self.dirty = true;
        }
        self.note_members(now);
        let unseen = self.unseen(now);
        let stopping = self.stopping();
        let view = View::build(&Sources {
            settings: self.replica.version(),
            tree: &tree,
            list: &self.list,
            records: &self.records,
            summaries: &self.summaries,
            unseen: &unseen,
            stopping: &stopping,
            joined: &self.joined,
        });
        self.shared.view.store(Arc::new(view));
    }

    /// Notes since when each incarnation is a member, for the slow start of new ones.
    fn note_members(&mut self, now: Moment) {
        // At its own start a node cannot tell who is new, so that everybody counts as old.
        let now = if self.joined.is_empty() {
            Moment::ZERO
        } else {
            now
        };
        let members = self.records.values().flat_map(|record| &record.members);
        let keys = members.map(|member| (member.name.clone(), member.incarnation));
        let before = std::mem::take(&mut self.joined);
        self.joined = keys
            .map(|key| {
                let since = before.get(&key).copied().unwrap_or(now);
                (key, since)
            })
            .collect();
    }

    /// Returns the nodes that have not answered lately.
    fn unseen(&self, now: Moment) -> HashSet<&str> {
        let contacts = self.contacts.values();
        contacts
            .filter(|contact| now.since(contact.heard) >= LIVE)
            .map(|contact| contact.member.name.as_str())
            .collect()
    }

    /// Returns the nodes that have announced their stop.
    fn stopping(&self) -> HashSet<&str> {
        let contacts = self.contacts.values();
        contacts
            .filter(|contact| contact.stopping)
            .map(|contact| contact.member.name.as_str())
            .collect()
    }
}

fn settings_version(head: Option<&Bytes>) -> Option<u64> {
    match head {
        Some(value) => layout::decode::<layout::Head>(layout::HEAD_KEY, value)
            .ok()
            .map(|head| head.version),
        None => Some(0),
    }
}

fn answer<T>(reply: RpcReplyPort<T>, value: T) {
    // A peer that no longer waits asks again with its next exchange.
    let _gone = reply.send(value);
}

fn send(actor: &ActorRef<Message>, message: Message) {
    // The actor ends only with the process.
    let _ended = actor.cast(message);
}
