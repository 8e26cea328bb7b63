//! The state of the control actor and the handling of each of its messages.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::SystemTime;

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use super::{
    Config, FOREIGN_EXCHANGE_PERIOD, MEMBERSHIP_READ_PERIOD, Message, PERMIT_LOSS_LOG_DELAY,
    Published, RECORD_FETCH_PERIOD, SETTINGS_FETCH_TIMEOUT, SETTINGS_PATH, VIEW_REBUILD_PAUSE,
};
use crate::connection::members::{self, List};
use crate::connection::peer;
use crate::connection::settings;
use crate::connection::store::{self, Outcome, Store};
use crate::process::cell::{self, Cell, Heads, SwapOutcome};
use crate::process::record;
use crate::process::view::{Assignment, ReportedSummary, Sources, View};
use crate::time::Moment;
use crate::version::acceptance::{MemberList, SeenMember, Status};
use crate::version::log as layout;
use crate::version::replica::{self, Deltas, Replica};
use crate::wire::exchange::Record;
use crate::wire::{Incarnation, Member};

pub(super) struct Worker;

/// Opens the state machine of a node that is not yet listed in its cell's record.
fn open_cell(config: &Config, settings_version: u64, now: Moment) -> Cell {
    let cell = cell::Config {
        cell: config.cell.clone(),
        local: config.me.clone(),
        settings: settings_version,
        safeguards: cell::Safeguards::default(),
    };
    Cell::open(cell, now)
}

/// What this node knows of another node, apart from what the state machine of the cell tracks.
#[derive(Debug)]
pub(super) struct PeerState {
    /// The peer, with the incarnation that the other fields describe.
    pub(super) member: Member,
    /// The peer's mark up to which its target summaries are known.
    pub(super) summary_mark: u64,
    /// When the newest answered exchange was sent, or when this node first knew the peer.
    pub(super) last_answered: Moment,
    /// Whether the peer announced a planned stop.
    pub(super) stopping: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub(super) struct State {
    pub(super) config: Config,
    pub(super) published: Arc<Published>,
    pub(super) myself: ActorRef<Message>,
    pub(super) store: Arc<Store>,
    pub(super) cell: Cell,
    pub(super) replica: Replica,
    /// The platform's membership list. Running reads share it, because at 58,000 targets a copy takes tens of
    /// megabytes.
    pub(super) membership: Arc<List>,
    /// The store's revision up to which all cell records are known, or zero before the first read.
    pub(super) records_revision: u64,
    /// The records of all cells by the name of the cell; the own cell's is the one that its state machine
    /// adopted.
    pub(super) cell_records: BTreeMap<String, Record>,
    /// The own cell's record as last read from the store, with its modification revision.
    pub(super) own_record: Option<(Record, u64)>,
    /// Other nodes by name.
    pub(super) peer_states: HashMap<String, PeerState>,
    /// The newest summary of each target, by the name of the target.
    pub(super) target_summaries: HashMap<String, ReportedSummary>,
    /// When this node first saw each incarnation as a member of its cell.
    pub(super) first_seen: HashMap<(String, Incarnation), Moment>,
    /// The mark of the own gateway up to which `target_summaries` holds its summaries.
    pub(super) own_summary_mark: u64,
    pub(super) assignment: Assignment,
    /// Whether dispatching is suspended until the gates know the new members or settings.
    pub(super) dispatch_suspended: bool,
    pub(super) stop_announced: bool,
    pub(super) leaving: bool,
    /// Whether the last log line about the permit reported it as obtained.
    pub(super) last_logged_as_held: bool,
    /// Since when the node has had no permit; absent while it holds one.
    pub(super) permit_missing_since: Option<Moment>,
    pub(super) store_reachable: bool,
    pub(super) next_foreign_exchange: Moment,
    pub(super) next_record_fetch: Moment,
    pub(super) next_membership_read: Moment,
    pub(super) next_view_rebuild: Moment,
    pub(super) view_outdated: bool,
}

impl Actor for Worker {
    type Msg = Message;
    type State = State;
    type Arguments = (Config, Arc<Published>);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (config, published): (Config, Arc<Published>),
    ) -> Result<State, ActorProcessingErr> {
        let now = config.clock.now();
        Ok(State {
            store: Arc::new(Store::open(config.store_addresses.clone())),
            cell: open_cell(&config, 0, now),
            replica: Replica::empty(),
            membership: Arc::default(),
            records_revision: 0,
            cell_records: BTreeMap::new(),
            own_record: None,
            peer_states: HashMap::new(),
            target_summaries: HashMap::new(),
            first_seen: HashMap::new(),
            own_summary_mark: 0,
            assignment: Assignment::default(),
            dispatch_suspended: false,
            stop_announced: false,
            leaving: false,
            last_logged_as_held: false,
            permit_missing_since: None,
            store_reachable: true,
            next_foreign_exchange: now,
            next_record_fetch: now,
            next_membership_read: now,
            next_view_rebuild: now,
            view_outdated: true,
            config,
            published,
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
        state.handle_message(message, now);
        if state.dispatch_suspended || (state.view_outdated && now >= state.next_view_rebuild) {
            state.rebuild_view(now).await;
        }
        state.publish_permit(state.config.clock.now());
        Ok(())
    }
}

impl State {
    fn handle_message(&mut self, message: Message, now: Moment) {
        match message {
            Message::Tick => self.tick(now),
            Message::StoreRead(started, result) => self.on_store_read(started, result, now),
            Message::SwapEnded(expected, result) => self.on_swap_ended(expected, result, now),
            Message::ExchangeAnswered(sent, report) => self.on_exchange_answered(sent, report, now),
            Message::ExchangeFailed(peer) => {
                self.config.metrics.exchange_failures.inc();
                self.step_cell(cell::Event::ExchangeFailed { peer }, now);
            }
            Message::AnswerExchange(exchange, reply) => self.answer_exchange(exchange, reply, now),
            Message::GetRecords(known, reply) => reply_with(reply, self.newer_records(&known)),
            Message::RecordsFetched(newer) => self.adopt_records(newer.0),
            Message::GetDeltas(since, reply) => reply_with(reply, self.replica.deltas(since)),
            Message::Replica(event) => self.step_replica(event, now),
            Message::MembershipRead(result) => self.on_membership_read(result),
            Message::GetStatus(reply) => reply_with(reply, self.status(now)),
            Message::AnnounceStop => self.stop_announced = true,
            Message::LeaveCell => {
                self.leaving = true;
                self.step_cell(cell::Event::Stopping, now);
            }
        }
    }

    /// Joins the cell again under a new incarnation if the present one was removed.
    ///
    /// The other members remove a node that does not answer, for example while its process is paused. The
    /// removed incarnation never dispatches again, so that they may use its targets.
    fn rejoin(&mut self, now: Moment) {
        if !self.cell.is_removed() || self.leaving {
            return;
        }
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now_us = since_epoch.map_or(0, |it| u64::try_from(it.as_micros()).unwrap_or(u64::MAX));
        let me = &mut self.config.me;
        // The wall clock may have gone back; a later incarnation must still have a higher number.
        me.incarnation = Incarnation(now_us.max(me.incarnation.0 + 1));
        log::warn!(
            incarnation:% = me.incarnation;
            "node removed from its cell; joining again under a new incarnation"
        );
        self.cell = open_cell(&self.config, self.replica.version(), now);
        self.suspend_dispatch();
    }

    fn tick(&mut self, now: Moment) {
        self.rejoin(now);
        self.step_cell(cell::Event::Tick, now);
        self.step_replica(replica::Event::Tick, now);
        self.collect_own_summaries();
        if now >= self.next_foreign_exchange {
            self.next_foreign_exchange = now + FOREIGN_EXCHANGE_PERIOD;
            self.send_foreign_exchanges();
        }
        if now >= self.next_record_fetch {
            self.next_record_fetch = now + RECORD_FETCH_PERIOD;
            self.fetch_records(now);
        }
        if now >= self.next_membership_read {
            self.next_membership_read = now + MEMBERSHIP_READ_PERIOD;
            self.read_membership();
        }
    }

    pub(super) fn step_cell(&mut self, event: cell::Event, now: Moment) {
        let actions = self.cell.step(event, now);
        if actions.contains(&cell::Action::MembershipChanged) {
            self.suspend_dispatch();
        }
        for action in actions {
            match action {
                cell::Action::ReadStore => self.read_store(now),
                cell::Action::SwapRecord { expected, record } => self.swap_record(expected, record),
                cell::Action::SendExchange { peer, exchange } => self.send_exchange(peer, exchange),
                cell::Action::MembershipChanged => self.on_cell_changed(),
            }
        }
    }

    /// Suspends dispatching until the gates know the new members or settings.
    ///
    /// Peers take a reported revision as a promise that this node acts on it: it tells them that a former
    /// owner has released its targets, and it counts towards the acceptance of a settings change.
    fn suspend_dispatch(&mut self) {
        self.dispatch_suspended = true;
        self.config.gateway.suspend();
        self.published.permit_until.store(0, Ordering::Release);
    }

    fn on_cell_changed(&mut self) {
        let revision = self.cell.revision().cell;
        self.config
            .metrics
            .cell_revision
            .set(revision.cast_signed());
        if let Some(record) = self.cell.record() {
            let members: Vec<&str> = record.members.iter().map(|it| it.name.as_str()).collect();
            log::info!(revision, members:? = members; "cell record adopted");
            self.cell_records
                .insert(self.config.cell.clone(), record.clone());
        }
    }

    pub(super) fn step_replica(&mut self, event: replica::Event, now: Moment) {
        for action in self.replica.step(event, now) {
            match action {
                replica::Action::ReadEntries { first, last } => {
                    let store = Arc::clone(&self.store);
                    self.read_settings(async move {
                        let values = settings::read_entries(&store, first, last).await;
                        values.map(|values| replica::Event::EntriesRead { values })
                    });
                }
                replica::Action::ReadSnapshot { version } => {
                    let store = Arc::clone(&self.store);
                    self.read_settings(async move {
                        let values = settings::read_snapshot(&store, version).await;
                        values.map(|values| replica::Event::SnapshotRead { version, values })
                    });
                }
                replica::Action::AskPeer { peer, since } => self.fetch_settings(&peer, since),
                replica::Action::Adopt { version, .. } => {
                    self.suspend_dispatch();
                    self.config
                        .metrics
                        .settings_version
                        .set(version.cast_signed());
                    log::info!(version; "settings adopted");
                    self.step_cell(cell::Event::SettingsAdopted { version }, now);
                }
                replica::Action::Report(fault) => {
                    log::error!(
                        fault:% = fault;
                        "settings in the store cannot be used; the last good version stays in force"
                    );
                }
            }
        }
    }

    /// Runs a read of settings from the store in its own task and passes the result to the replica.
    fn read_settings<F>(&self, read: F)
    where
        F: Future<Output = Result<replica::Event, store::Error>> + Send + 'static,
    {
        let myself = self.myself.clone();
        self.config.metrics.store_calls.inc();
        tokio::spawn(async move {
            let event = read.await.unwrap_or(replica::Event::ReadFailed);
            send(&myself, Message::Replica(event));
        });
    }

    fn fetch_settings(&self, peer: &str, since: u64) {
        let Some(peer_state) = self.peer_states.get(peer) else {
            send(&self.myself, Message::Replica(replica::Event::ReadFailed));
            return;
        };
        let (peers, myself) = (self.config.peers.clone(), self.myself.clone());
        let address = peer_state.member.peer;
        tokio::spawn(async move {
            let answer: Result<Deltas, peer::Error> = peers
                .call(address, SETTINGS_PATH, &since, SETTINGS_FETCH_TIMEOUT)
                .await;
            let event = answer.map_or(replica::Event::ReadFailed, |deltas| {
                replica::Event::PeerDeltas { deltas }
            });
            send(&myself, Message::Replica(event));
        });
    }

    fn read_store(&self, now: Moment) {
        let (store, myself) = (Arc::clone(&self.store), self.myself.clone());
        let from = if self.records_revision == 0 {
            0
        } else {
            self.records_revision + 1
        };
        self.config.metrics.store_calls.inc();
        tokio::spawn(async move {
            let result = record::read_changes(&store, from).await;
            send(&myself, Message::StoreRead(now, result));
        });
    }

    fn on_store_read(
        &mut self,
        started: Moment,
        result: Result<record::Changes, store::Error>,
        now: Moment,
    ) {
        let changes = match result {
            Ok(changes) => changes,
            Err(e) => {
                self.store_failed(&e);
                self.step_cell(
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
        for fault in &changes.damaged {
            log::error!(
                fault:% = fault;
                "cell record in the store cannot be used; the last good record stays in force"
            );
        }
        if changes.damaged.is_empty() {
            self.records_revision = changes.revision;
        }
        let mut foreign = Vec::new();
        for (cell, stored) in changes.records {
            if cell == self.config.cell {
                self.own_record = Some((stored.record, stored.mod_revision));
            } else {
                foreign.push((cell, stored.record));
            }
        }
        self.adopt_records(foreign);
        // A settings head that cannot be decoded proves nothing; the replica reports it.
        let settings_version = decode_settings_version(changes.settings_head.as_ref());
        let value = changes.settings_head;
        self.step_replica(replica::Event::HeadRead { value, started }, now);
        let heads = settings_version.map(|settings| Heads {
            settings,
            record: self.own_record.clone(),
        });
        self.step_cell(cell::Event::ReadEnded { started, heads }, now);
    }

    fn store_failed(&mut self, error: &store::Error) {
        self.config.metrics.store_failures.inc();
        if std::mem::replace(&mut self.store_reachable, false) {
            log::warn!(
                error:% = error;
                "call to the store failed; the last known settings and cell records stay in force"
            );
        }
    }

    fn store_answered(&mut self) {
        if !std::mem::replace(&mut self.store_reachable, true) {
            log::info!("the store answers again");
        }
    }

    fn swap_record(&self, expected: Option<u64>, record: Record) {
        let (store, myself) = (Arc::clone(&self.store), self.myself.clone());
        let cell = self.config.cell.clone();
        self.config.metrics.store_calls.inc();
        tokio::spawn(async move {
            let result =
                record::compare_and_swap(&store, &cell, expected.unwrap_or(0), &record).await;
            send(&myself, Message::SwapEnded(expected, result));
        });
    }

    fn on_swap_ended(
        &mut self,
        expected: Option<u64>,
        result: Result<Outcome, store::Error>,
        now: Moment,
    ) {
        let outcome = match result {
            Ok(Outcome::Committed { .. }) => SwapOutcome::Done,
            Ok(Outcome::Conflict) => SwapOutcome::Conflict,
            Err(e) => {
                self.store_failed(&e);
                SwapOutcome::Unknown
            }
        };
        self.step_cell(cell::Event::SwapEnded { expected, outcome }, now);
    }

    fn read_membership(&self) {
        let (membership, address) = (Arc::clone(&self.membership), self.config.membership_address);
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let result = membership.refresh(address).await;
            send(&myself, Message::MembershipRead(result));
        });
    }

    fn on_membership_read(&mut self, result: Result<Option<List>, members::Error>) {
        // The membership list may lag behind in any case; while it cannot be read, the last one stays in use.
        if let Ok(Some(list)) = result {
            self.membership = Arc::new(list);
            self.view_outdated = true;
        }
    }

    fn status(&self, now: Moment) -> Status {
        let seen = self.cell.peer_revisions(now).into_iter();
        let lists = self.cell.ownership().member_lists;
        let list_age_ms = lists.last().map_or(0, |list| {
            u64::try_from(now.since(list.current_since).as_millis()).unwrap_or(u64::MAX)
        });
        Status {
            node: self.config.me.name.clone(),
            data_centre: self.config.data_centre.clone(),
            cell: self.config.cell.clone(),
            incarnation: self.config.me.incarnation.0,
            settings_version: self.replica.version(),
            permit: self.cell.permit_until(now) > now,
            record: self.cell.record().map(|record| MemberList {
                age_ms: Some(list_age_ms),
                ..MemberList::from(record)
            }),
            seen: seen
                .map(|seen| SeenMember {
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
        self.config.gateway.set_permit(until);
        self.published
            .permit_until
            .store(until.as_micros(), Ordering::Release);
        let permitted = until > now;
        self.config.metrics.permit.set(i64::from(permitted));
        self.log_permit(permitted, now);
    }

    /// Logs that the permit was obtained or lost, but not its short loss while a new settings version or cell
    /// record is adopted. A node that has never held a permit logs no loss.
    fn log_permit(&mut self, permitted: bool, now: Moment) {
        if permitted {
            self.permit_missing_since = None;
            if !std::mem::replace(&mut self.last_logged_as_held, true) {
                log::info!("permit obtained");
            }
            return;
        }
        let since = *self.permit_missing_since.get_or_insert(now);
        if self.last_logged_as_held && now.since(since) >= PERMIT_LOSS_LOG_DELAY {
            self.last_logged_as_held = false;
            log::warn!("permit lost; dispatching to owned targets is stopped until a new permit");
        }
    }

    async fn rebuild_view(&mut self, now: Moment) {
        self.view_outdated = false;
        self.dispatch_suspended = false;
        self.next_view_rebuild = now + VIEW_REBUILD_PAUSE;
        let tree = Arc::clone(self.replica.tree());
        let location = (self.config.data_centre.as_str(), self.config.cell.as_str());
        let basis = self.cell.ownership();
        let owned = self
            .assignment
            .owned(&self.membership, &tree, location, &basis, now);
        if let Err(e) = self.config.gateway.set_owned_targets(owned).await {
            log::error!(
                error:% = e;
                "gateway actor of a target could not be started; retrying at the next view rebuild"
            );
            self.view_outdated = true;
        }
        self.update_first_seen(now);
        let unresponsive = self.unresponsive_nodes(now);
        let stopping = self.stopping_nodes();
        let view = View::build(&Sources {
            settings_version: self.replica.version(),
            tree: &tree,
            membership: &self.membership,
            cell_records: &self.cell_records,
            summaries: &self.target_summaries,
            unresponsive: &unresponsive,
            stopping: &stopping,
            first_seen: &self.first_seen,
        });
        self.published.view.store(Arc::new(view));
    }
}

/// Returns the version of a settings head, zero if there is none, or nothing if it cannot be decoded.
fn decode_settings_version(head: Option<&Bytes>) -> Option<u64> {
    match head {
        Some(value) => layout::decode::<layout::Head>(layout::HEAD_KEY, value)
            .ok()
            .map(|head| head.version),
        None => Some(0),
    }
}

pub(super) fn reply_with<T>(reply: RpcReplyPort<T>, value: T) {
    // A requester that no longer waits asks again.
    let _gone = reply.send(value);
}

pub(super) fn send(actor: &ActorRef<Message>, message: Message) {
    // The actor ends only with the process.
    let _ended = actor.cast(message);
}
