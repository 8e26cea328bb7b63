//! The state of the control actor: what it owns, and how it handles each message.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::SystemTime;

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use super::{
    Config, FOREIGN_EXCHANGE, MEMBERS, Message, PERMIT_LOST, REBUILD, RECORDS, SETTINGS_PATH,
    SETTINGS_TIMEOUT, Shared,
};
use crate::connection::members::{self, List};
use crate::connection::peer;
use crate::connection::settings;
use crate::connection::store::{self, Outcome, Store};
use crate::process::cell::{self, Cell, Heads, SwapOutcome};
use crate::process::record;
use crate::process::view::{Assignment, Reported, Sources, View};
use crate::time::Moment;
use crate::version::acceptance::{Roster, Sighting, Status};
use crate::version::log as layout;
use crate::version::replica::{self, Deltas, Replica};
use crate::wire::exchange::Record;
use crate::wire::{Incarnation, Member};

pub(super) struct Worker;

/// Starts the node outside its cell's record.
fn join(config: &Config, settings: u64, now: Moment) -> Cell {
    let cell = cell::Config {
        cell: config.cell.clone(),
        local: config.me.clone(),
        settings,
        safeguards: cell::Safeguards::default(),
    };
    Cell::open(cell, now)
}

/// What the node knows of another node apart from its cell's rule.
#[derive(Debug)]
pub(super) struct Contact {
    pub(super) member: Member,
    /// The mark up to which its summaries are known.
    pub(super) mark: u64,
    pub(super) heard: Moment,
    pub(super) stopping: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub(super) struct State {
    pub(super) config: Config,
    pub(super) shared: Arc<Shared>,
    pub(super) myself: ActorRef<Message>,
    pub(super) store: Arc<Store>,
    pub(super) cell: Cell,
    pub(super) replica: Replica,
    /// Shared with the reads under way, because at 58,000 targets a copy costs tens of megabytes.
    pub(super) list: Arc<List>,
    /// The store's revision up to which all cell records are known.
    pub(super) read_to: u64,
    /// The records of all cells; of the own cell as the state machine has adopted it.
    pub(super) records: BTreeMap<String, Record>,
    /// The modification revision of the own cell's record as last read.
    pub(super) own: Option<(Record, u64)>,
    pub(super) contacts: HashMap<String, Contact>,
    pub(super) summaries: HashMap<String, Reported>,
    /// Since when each incarnation is known as a member of its cell.
    pub(super) joined: HashMap<(String, Incarnation), Moment>,
    pub(super) own_mark: u64,
    pub(super) assignment: Assignment,
    /// Whether nothing is dispatched until the gates know a change.
    pub(super) suspended: bool,
    pub(super) announced: bool,
    pub(super) leaving: bool,
    pub(super) permitted: bool,
    /// Since when the node has had no permit, until that was logged.
    pub(super) unpermitted: Option<Moment>,
    pub(super) store_reachable: bool,
    pub(super) next_foreign: Moment,
    pub(super) next_records: Moment,
    pub(super) next_members: Moment,
    pub(super) next_view: Moment,
    pub(super) dirty: bool,
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
                self.cell_step(cell::Event::ExchangeFailed { peer }, now);
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
        if !self.cell.is_removed() || self.leaving {
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

    pub(super) fn cell_step(&mut self, event: cell::Event, now: Moment) {
        let actions = self.cell.step(event, now);
        if actions.contains(&cell::Action::MembershipChanged) {
            self.suspend();
        }
        for action in actions {
            match action {
                cell::Action::ReadStore => self.read_heads(now),
                cell::Action::SwapRecord { expected, record } => self.swap(expected, record),
                cell::Action::SendExchange { peer, exchange } => self.send_exchange(peer, exchange),
                cell::Action::MembershipChanged => self.cell_changed(),
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

    pub(super) fn replica_step(&mut self, event: replica::Event, now: Moment) {
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
                    self.cell_step(cell::Event::SettingsAdopted { version }, now);
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
                    cell::Event::ReadEnded {
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
        self.cell_step(cell::Event::ReadEnded { started, heads }, now);
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
            Ok(Outcome::Done { .. }) => SwapOutcome::Done,
            Ok(Outcome::Conflict) => SwapOutcome::Conflict,
            Err(e) => {
                self.store_failed(&e);
                SwapOutcome::Unknown
            }
        };
        self.cell_step(cell::Event::SwapEnded { expected, outcome }, now);
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
        let seen = self.cell.peer_revisions(now).into_iter();
        let lists = self.cell.ownership().member_lists;
        let list_age = lists.last().map_or(0, |list| {
            u64::try_from(now.since(list.current_since).as_millis()).unwrap_or(u64::MAX)
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
        let basis = self.cell.ownership();
        let owned = self.assignment.owned(&self.list, &tree, place, &basis, now);
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
}

fn settings_version(head: Option<&Bytes>) -> Option<u64> {
    match head {
        Some(value) => layout::decode::<layout::Head>(layout::HEAD_KEY, value)
            .ok()
            .map(|head| head.version),
        None => Some(0),
    }
}

pub(super) fn answer<T>(reply: RpcReplyPort<T>, value: T) {
    // A peer that no longer waits asks again with its next exchange.
    let _gone = reply.send(value);
}

pub(super) fn send(actor: &ActorRef<Message>, message: Message) {
    // The actor ends only with the process.
    let _ended = actor.cast(message);
}
