//! The actor that applies changes from the store and from other nodes, and that sends heartbeats.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};

use super::report::millis_rounded;
use super::rollouts::RolloutDriver;
use super::{Shared, heartbeat_address};
use crate::connection::keyspace::{self, Freshness, Keyspace, Revision};
use crate::connection::mirror::{self, Update};
use crate::connection::outbound::Protocol;
use crate::process::follow::{Follower, Notification};
use crate::process::heartbeat::{Reports, Socket};
use crate::process::mirror::{Change, Export, Mirror};
use crate::process::reconciliation::Reconciliation;
use crate::process::registry::Effect;
use crate::process::roster::{HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, Heartbeat, copy_delay};
use crate::tenancy::Directory;
use crate::time::Moment;
use crate::version::item::{Codec, Item, ItemKind, Node};
use crate::version::route::Table;

/// How long the last answer of the store that shows its revision, or the last heartbeat of a peer with the same state,
/// proves that no newer route table exists. A change must be in force within three seconds.
const FRESHNESS_PERIOD: Duration = Duration::from_secs(2);
/// How long a node that watches the store may lack changes that another node has, before it restarts its
/// watch and fetches them from that node. A watch holds changes back for at most 400 ms to batch them, or for
/// 1.2 s in the first seconds of the process.
const WATCH_RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// How long a node that does not watch the store, or cannot because the store is unavailable, waits before it
/// fetches changes from a node in another data centre. Usually a node of its own data centre has them soon,
/// and traffic within a data centre is free.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(500);
/// Minimum time between a fetch of changes and the next one from a node of the own data centre, for a node
/// that does not serve callers.
const STANDBY_FETCH_INTERVAL: Duration = Duration::from_millis(900);
/// How long a node with unconfirmed settings waits for heartbeats that tell of newer changes: two intervals of
/// [`HEARTBEAT_INTERVAL`] and the time on the way.
const NEWER_CHANGES_WAIT: Duration = Duration::from_millis(700);
/// The time after its start within which a node has received heartbeats of all other nodes.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(10);
/// The rounds of heartbeats after which a node that is elected to serve callers lists the store without waiting
/// for its turn. Before, it may be elected only because it does not know the other nodes yet.
const STARTUP_ROUNDS: u32 = 2;
/// The usage of quotas is metered once in this number of rounds, which is every 6 s.
const QUOTA_USAGE_ROUNDS: u32 = 20;
/// Heartbeats go to seed hosts without a known node once in this number of rounds.
const SEED_INTERVAL_ROUNDS: u32 = 3;
/// The evenness of the load is measured over this number of rounds, about 10 s. A query sends one subrequest to a target
/// of each shard, so that a shorter time would show only its last few queries.
const LOAD_INTERVAL_ROUNDS: u32 = 33;

/// A message to the control actor.
#[derive(Debug)]
pub enum Message {
    /// A change or the availability of the store, from the follower.
    Store(Notification),
    /// A heartbeat of another node, and what the node reports beside it.
    Heartbeat(Heartbeat, Reports),
    /// The changes fetched from another node; `None` if the fetch failed.
    PeerUpdate {
        /// When the changes were requested.
        requested_at: Moment,
        /// The changes.
        update: Option<Update>,
    },
    /// The node has waited for its turn to list the store.
    StartListing,
    /// [`HEARTBEAT_INTERVAL`] has passed.
    Tick,
    /// The node stops: revoke its lease and tell the other nodes.
    Stop,
}

/// Starts the control actor with its follower of the store and its heartbeat socket.
pub async fn spawn<K, P>(
    shared: Arc<Shared<P>>,
    keyspace: &Arc<K>,
    codec: Arc<dyn Codec>,
) -> anyhow::Result<ActorRef<Message>>
where
    K: Keyspace,
    P: Protocol,
{
    let failed = shared.failed.clone();
    let arguments = Arguments {
        shared,
        keyspace: Arc::clone(keyspace),
        codec,
    };
    let (actor, ended) = Actor::spawn(None, Control(std::marker::PhantomData), arguments).await?;
    tokio::spawn(async move {
        // The actor is never stopped, so it ends only by an error or a panic.
        let _ended = ended.await;
        failed.cancel();
    });
    Ok(actor)
}

struct Arguments<K, P> {
    shared: Arc<Shared<P>>,
    keyspace: Arc<K>,
    codec: Arc<dyn Codec>,
}

struct Control<K, P>(std::marker::PhantomData<fn() -> (K, P)>);

struct State<P> {
    shared: Arc<Shared<P>>,
    rollouts: RolloutDriver<P>,
    codec: Arc<dyn Codec>,
    follower: Follower,
    socket: Socket,
    /// Whether the store answers, according to the follower.
    store_available: bool,
    /// Whether the store has answered this node's watch since the watch was started.
    watch_confirmed: bool,
    /// The node from which missing changes will be fetched, if a node has sent a newer revision.
    newer_peer: Option<NewerPeer>,
    /// Whether a fetch from another node is in progress.
    is_fetching: bool,
    /// When this node first had settings that neither the store nor a node with a confirmed state had
    /// confirmed.
    unconfirmed_since: Option<Moment>,
    /// When the confirmation of the settings in force expired, if a log line has told of it.
    confirmation_expired_at: Option<Moment>,
    /// When the last fetch from another node was started.
    last_fetch: Moment,
    /// The changes that only the copy shows from which the store has come back.
    reconciliation: Reconciliation,
    /// The membership as of the last tick.
    membership: Membership,
    /// The number of heartbeat rounds; it wraps around.
    rounds: u32,
}

/// The roles of this node and the other serving nodes, as this node sees them.
#[derive(Default)]
struct Membership {
    /// Whether this node serves callers.
    serves: bool,
    /// Whether this node watches the store.
    watches: bool,
    /// The other nodes that serve callers.
    serving_nodes: BTreeSet<String>,
}

/// A node that has changes that this node lacks.
struct NewerPeer {
    /// When a heartbeat first showed a newer revision.
    since: Moment,
    node: Node,
    /// The last change that the node has applied.
    revision: Revision,
}

impl<K, P> Actor for Control<K, P>
where
    K: Keyspace,
    P: Protocol,
{
    type Msg = Message;
    type State = State<P>;
    type Arguments = Arguments<K, P>;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        args: Arguments<K, P>,
    ) -> Result<State<P>, ActorProcessingErr> {
        let Arguments {
            shared,
            keyspace,
            codec,
        } = args;
        let node = &shared.config.node;
        let actor = myself.clone();
        let socket = Socket::bind(node.heartbeat, move |heartbeat, reports| {
            // The actor runs as long as the process.
            let _running = actor.cast(Message::Heartbeat(heartbeat, reports));
        })
        .await?;
        let actor = myself.clone();
        let follower = Follower::spawn(
            &keyspace,
            codec.prefixes(),
            codec.nodes_prefix(&node.data_centre),
            codec.encode_node(node),
            shared.meters.clone(),
            move |notification| {
                let _running = actor.cast(Message::Store(notification));
            },
        );
        let reconciliation = Reconciliation::open(shared.config.target_heartbeat);
        myself.send_interval(HEARTBEAT_INTERVAL, || Message::Tick);
        shared.meters.store_up.set(1);
        Ok(State {
            rollouts: RolloutDriver::open(&shared, &keyspace, &codec),
            shared,
            codec,
            follower,
            socket,
            store_available: true,
            watch_confirmed: false,
            newer_peer: None,
            is_fetching: false,
            unconfirmed_since: None,
            confirmation_expired_at: None,
            last_fetch: Moment::ZERO,
            reconciliation,
            membership: Membership::default(),
            rounds: 0,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State<P>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Store(Notification::Failed) => {
                return Err("a task that follows the store has panicked".into());
            }
            Message::Store(notification) => state.handle_notification(notification, &myself),
            Message::Heartbeat(heartbeat, reports) => {
                state.record_reports(&heartbeat.node.name, &reports);
                state.rollouts.hear(&heartbeat.node.name, reports.rollouts);
                state.handle_heartbeat(heartbeat, &myself);
            }
            Message::PeerUpdate {
                requested_at,
                update,
            } => state.import_update(update, requested_at),
            Message::StartListing => state.follower.start_listing(false),
            Message::Tick => state.tick(&myself),
            Message::Stop => {
                state.follower.revoke_lease();
                state.send_heartbeats(0);
            }
        }
        Ok(())
    }
}

impl<P> State<P>
where
    P: Protocol,
{
    /// Applies a notification of the follower.
    fn handle_notification(&mut self, notification: Notification, myself: &ActorRef<Message>) {
        let now = self.shared.clock.now();
        // An answer that waited while this process was paused proves nothing about the time since.
        let answered_at = self.shared.estimate_arrival(now);
        match notification {
            Notification::Listed {
                prefix,
                items,
                revision,
                freshness,
            } => {
                let export = Export::Whole { items, revision };
                self.import_export(prefix, export, now);
                if freshness == Freshness::Latest {
                    self.shared.extend_freshness(answered_at + FRESHNESS_PERIOD);
                }
            }
            Notification::Neighbours { items } => self.await_turn(&items, myself, now),
            Notification::Restored { era } => {
                log::warn!(
                    era = era.0;
                    "store came back from an older copy; it is read again"
                );
                // Answers prove nothing about the settings before the copy has been read.
                self.watch_confirmed = false;
                self.rollouts.reset_stored();
            }
            Notification::Failed => {}
            Notification::Confirmed => {
                if self.watch_confirmed {
                    self.shared.extend_freshness(answered_at + FRESHNESS_PERIOD);
                }
            }
            Notification::Changed {
                prefix,
                events,
                revision,
            } => {
                let mut outdated = 0;
                let changes = self.update_mirror(prefix, |mirror| {
                    outdated = events.iter().filter(|it| mirror.is_outdated(it)).count();
                    let changes = events.into_iter().filter_map(|event| mirror.apply(event));
                    let changes = changes.collect();
                    mirror.advance(revision);
                    changes
                });
                if outdated > 0 {
                    self.shared.meters.outdated_changes.inc_by(outdated as u64);
                    log::warn!(
                        outdated, revision:% = revision;
                        "changes ignored; newer ones of their keys are known"
                    );
                }
                self.apply_written(changes, now);
                self.shared.extend_freshness(answered_at + FRESHNESS_PERIOD);
                self.watch_confirmed = true;
            }
            Notification::Availability { available, cause } => {
                if available {
                    log::info!("store available again; changes are followed from it");
                } else {
                    let cause = cause.map(|cause| cause.to_string());
                    log::warn!(cause:? = cause; "store unavailable; last known items stay in use");
                }
                self.store_available = available;
                self.shared.meters.store_up.set(i64::from(available));
                self.shared
                    .placement()
                    .registry
                    .set_store_reachable(available, now);
            }
        }
    }

    /// Records the other nodes of the data centre, and starts to list the store when it is this node's turn.
    fn await_turn(&self, items: &[keyspace::Item], myself: &ActorRef<Message>, now: Moment) {
        let nodes: Vec<Node> = items
            .iter()
            .filter_map(|item| match self.codec.decode(&item.key, &item.value) {
                Item::Node(node) => Some(node),
                _ => None,
            })
            .collect();
        let own = &self.shared.config.node;
        let delay = copy_delay(own, nodes.iter());
        log::info!(
            nodes = nodes.len(), delay_ms = millis_rounded(delay);
            "nodes of the data centre read; the store is listed after the delay"
        );
        for node in nodes.into_iter().filter(|node| node.name != own.name) {
            self.shared.roster().add_record(node, now);
        }
        if delay.is_zero() {
            self.follower.start_listing(true);
        } else {
            let _waiting = myself.send_after(delay, || Message::StartListing);
        }
    }

    /// Applies `change` to the mirror of the prefix, and returns the accepted changes.
    fn update_mirror<F>(&self, prefix: &str, change: F) -> Vec<Change>
    where
        F: FnOnce(&mut Mirror) -> Vec<Change>,
    {
        let mut mirrors = self.shared.mirrors();
        let mirror = mirrors.iter_mut().find(|mirror| mirror.prefix() == prefix);
        mirror.map(change).unwrap_or_default()
    }

    /// Imports the contents or changes of the store into the mirror of the prefix, and applies the changes.
    fn import_export(&mut self, prefix: &str, export: Export, now: Moment) {
        let mut mirrors = self.shared.mirrors();
        let Some(mirror) = mirrors.iter_mut().find(|mirror| mirror.prefix() == prefix) else {
            return;
        };
        if export.revision().era() < mirror.revision().era() {
            log::info!(
                prefix, revision:% = export.revision();
                "contents of an earlier era of the store ignored"
            );
            return;
        }
        if !mirror.is_restored_by(export.revision()) {
            let changes = mirror.import(export);
            drop(mirrors);
            return self.apply_written(changes, now);
        }
        let before = mirror.clone();
        let changes = mirror.import(export);
        drop(mirrors);
        log::info!(
            prefix, changes = changes.len();
            "contents of the restored store differ from those known"
        );
        self.apply_restored(changes, &before, now);
    }

    /// Applies changes that have been written to the store.
    fn apply_written(&mut self, changes: Vec<Change>, now: Moment) {
        for change in &changes {
            self.reconciliation.supersede(change.key());
        }
        self.apply_changes(changes, now);
    }

    /// Applies the differences between the copy from which the store has come back and the mirror `before`, or holds
    /// them back.
    fn apply_restored(&mut self, changes: Vec<Change>, before: &Mirror, now: Moment) {
        let mut at_once = Vec::new();
        for change in changes {
            if self.is_certain(&change, now) {
                at_once.push(change);
            } else {
                let state = before.state(change.key());
                at_once.extend(self.reconciliation.hold(change, state, now));
            }
        }
        self.apply_changes(at_once, now);
    }

    /// Tells whether a change that a copy shows takes effect at once, however old the copy is: settings, which have a
    /// version, and targets that have started again. Applies what the report of another target restricts.
    fn is_certain(&self, change: &Change, now: Moment) -> bool {
        let Change::Put(key, value) = change else {
            return false;
        };
        match (self.codec.classify(key), self.codec.decode(key, value)) {
            (ItemKind::Settings, _) => true,
            (ItemKind::Target(name), Item::Target(report)) => {
                let registry = &mut self.shared.placement().registry;
                match registry.compare_start(&name, &report) {
                    Some(Ordering::Greater) => true,
                    Some(Ordering::Equal) => {
                        registry.restrict(&name, &report, now);
                        false
                    }
                    Some(Ordering::Less) | None => false,
                }
            }
            _ => false,
        }
    }

    /// Applies accepted changes of the mirrors to the route table, the placement and the roster.
    fn apply_changes(&self, changes: Vec<Change>, now: Moment) {
        for change in changes {
            if self.rollouts.apply(&change, now) {
                continue;
            }
            match change {
                Change::Put(key, value) => {
                    let item = self.codec.decode(&key, &value);
                    self.put_item(&key, self.codec.classify(&key), item, now);
                }
                Change::Removed(key) => self.remove_item(self.codec.classify(&key), now),
            }
        }
    }

    /// Applies a written item. An invalid settings document is ignored; an invalid target entry removes the
    /// target.
    fn put_item(&self, key: &str, kind: ItemKind, item: Item, now: Moment) {
        match (kind, item) {
            (ItemKind::Settings, Item::Settings(table)) => {
                let current = self.shared.route_table.load();
                let current_version = current.as_ref().map(|table| table.version);
                if current_version.is_some_and(|current| current >= table.version) {
                    log::warn!(
                        version = table.version.0;
                        "older settings ignored; a version at least as new is in force"
                    );
                    return;
                }
                let previous = current_version.map_or(0, |version| version.0);
                log::info!(version = table.version.0, previous; "settings in force");
                let version = i64::try_from(table.version.0).unwrap_or(i64::MAX);
                self.shared.meters.settings_version.set(version);
                warn_of_contested_keys(&table);
                self.shared.route_table.store(Some(Arc::new(table)));
            }
            (ItemKind::Evacuation(data_centre), Item::Evacuation) => {
                log::info!(
                    data_centre:% = data_centre;
                    "data centre evacuated; its targets get no new work"
                );
                self.shared
                    .placement()
                    .registry
                    .set_evacuated(&data_centre, true);
            }
            (ItemKind::Target(name), Item::Target(report)) => {
                let (service, address) = (Arc::clone(&report.service), report.address);
                let (state, cold_ms) = (report.state, report.cold.as_millis());
                log::info!(
                    target_name:% = name, service:% = service, address:% = address, state:? = state,
                    cold_ms = cold_ms as u64;
                    "target reported its state"
                );
                let effects = self.shared.placement().put(&name, report, now);
                for effect in effects {
                    self.apply_effect(effect);
                }
            }
            (ItemKind::Node(name), Item::Node(node)) if *name != *self.shared.config.node.name => {
                self.shared.roster().add_record(node, now);
            }
            (ItemKind::Target(name), item) => {
                self.shared.meters.unreadable_items.inc();
                let cause = match item {
                    Item::Unreadable(cause) => cause,
                    _ => "not a target report".to_owned(),
                };
                log::warn!(key, cause; "target entry invalid; target removed");
                let effect = self.shared.placement().registry.invalidate(&name);
                if let Some(effect) = effect {
                    self.apply_effect(effect);
                }
            }
            (
                ItemKind::RolloutOrder(_)
                | ItemKind::Rollout(_)
                | ItemKind::RolloutStatus(_)
                | ItemKind::Other,
                Item::Unreadable(_),
            ) => {}
            (_, Item::Unreadable(cause)) => {
                self.shared.meters.unreadable_items.inc();
                log::warn!(key, cause; "item unreadable, last good one kept");
            }
            _ => {}
        }
    }

    /// Applies the removal of an item. A removed settings document stays in force.
    fn remove_item(&self, kind: ItemKind, now: Moment) {
        match kind {
            ItemKind::Target(name) => {
                let effect = self.shared.placement().registry.remove(&name, now);
                let kept = matches!(effect, Some(Effect::Changed(_)));
                log::info!(target_name:% = name, kept; "target entry removed");
                if let Some(effect) = effect {
                    self.apply_effect(effect);
                }
            }
            ItemKind::Evacuation(data_centre) => {
                log::info!(
                    data_centre:% = data_centre;
                    "evacuation of data centre ended; its targets get new work again"
                );
                self.shared
                    .placement()
                    .registry
                    .set_evacuated(&data_centre, false);
            }
            ItemKind::Node(name) => {
                self.shared.roster().remove_record(&name, now);
            }
            ItemKind::Settings
            | ItemKind::RolloutOrder(_)
            | ItemKind::Rollout(_)
            | ItemKind::RolloutStatus(_)
            | ItemKind::Other => {}
        }
    }

    /// Discards the state and the idle connections of a target that the registry has removed.
    fn apply_effect(&self, effect: Effect) {
        if let Effect::Removed(key) = effect {
            self.shared.placement().forget(key);
            self.shared.pool.close_idle(key);
        }
    }

    /// Passes the nodes that share the bounds on extra requests and connections to the placement.
    fn share_bounds(&self, now: Moment) {
        let own = &self.shared.config.node.name;
        let names = self.membership.serving_nodes.iter().chain([own]);
        let names: Vec<String> = names.cloned().collect();
        let is_settled = now.since(Moment::ZERO) >= DISCOVERY_PERIOD;
        let mut placement = self.shared.placement();
        placement.set_nodes(&names, is_settled, now);
        placement.pacing.set_serving(self.membership.serves);
    }

    /// Divides the quotas of tenants among the serving nodes, and meters how much of them is used.
    fn share_quotas(&self, now: Moment) {
        let others_known = self.shared.roster().nodes().count();
        let serving = self.membership.serving_nodes.iter().map(String::as_str);
        let mut quotas = self.shared.quotas();
        let standing = quotas.set_nodes(serving, self.membership.serves, others_known, now);
        if self.rounds.is_multiple_of(QUOTA_USAGE_ROUNDS) {
            for usage in quotas.take_usage() {
                self.shared.meters.quota_usage.observe(usage);
            }
        }
        if let Some(standing) = standing.filter(|_| quotas.bucket_count() > 0) {
            log::info!(
                standing:% = standing, serving = self.membership.serving_nodes.len();
                "way of dividing quotas among nodes changed"
            );
        }
    }

    /// Records what another node reports beside its heartbeat.
    fn record_reports(&self, node: &str, reports: &Reports) {
        if node == self.shared.config.node.name {
            return;
        }
        let now = self.shared.clock.now();
        self.shared.quotas().record(node, &reports.demands, now);
        if !reports.loads.is_empty() {
            // What waited while this process was paused is as old as the pause.
            let arrived_at = self.shared.estimate_arrival(now);
            let mut placement = self.shared.placement();
            placement.record_loads(&reports.loads, arrived_at);
        }
    }

    /// Records a heartbeat. A newer revision than this node's makes it fetch the changes. An equal one from a
    /// node with a confirmed state confirms this node's state too, if it does not watch the store itself.
    fn handle_heartbeat(&mut self, heartbeat: Heartbeat, myself: &ActorRef<Message>) {
        let own = &self.shared.config.node;
        if heartbeat.node.name == own.name {
            return;
        }
        let now = self.shared.clock.now();
        let is_behind = heartbeat.revision > self.complete_revision();
        let trusts_peers = !self.is_watching() || !self.store_available;
        if is_behind {
            let is_local = |node: &Node| node.data_centre == own.data_centre;
            let since = self
                .newer_peer
                .as_ref()
                .map_or(now, |newer_peer| newer_peer.since);
            let is_farther =
                |newer_peer: &NewerPeer| !is_local(&newer_peer.node) && is_local(&heartbeat.node);
            if self.newer_peer.as_ref().is_none_or(is_farther) {
                self.newer_peer = Some(NewerPeer {
                    since,
                    node: heartbeat.node.clone(),
                    revision: heartbeat.revision,
                });
            }
        } else if heartbeat.revision == self.latest_change() && trusts_peers && heartbeat.fresh {
            // A heartbeat that waited while this process was paused proves nothing about the time since.
            let arrived_at = self.shared.estimate_arrival(now);
            self.shared.extend_freshness(arrived_at + FRESHNESS_PERIOD);
        }
        self.shared.roster().record_heartbeat(heartbeat, now);
        self.fetch_if_behind(myself, now);
    }

    fn is_watching(&self) -> bool {
        self.shared.roster().watches_store()
    }

    /// Returns the revision of the last change that this node has applied, over all prefixes.
    fn latest_change(&self) -> Revision {
        let mirrors = self.shared.mirrors();
        let latest = mirrors.iter().map(Mirror::latest_change);
        latest.max().unwrap_or_default()
    }

    /// Returns the revision up to which this node has every change. It may be lower than that of the last change,
    /// because the pages of a listing are not one snapshot.
    fn complete_revision(&self) -> Revision {
        let mirrors = self.shared.mirrors();
        mirrors
            .iter()
            .map(Mirror::revision)
            .min()
            .unwrap_or_default()
    }

    /// Sends a heartbeat to the nodes that are due in the round, and to seed hosts without a known node.
    fn send_heartbeats(&self, round: u32) {
        let now = self.shared.clock.now();
        let heartbeat = Heartbeat {
            node: self.shared.config.node.clone(),
            ready: self.shared.is_ready(),
            fresh: self.watch_confirmed && self.store_available && !self.shared.is_uncertain(now),
            revision: self.latest_change(),
        };
        // Each part takes a lock, which must be released before the next one is taken.
        let demands = self.shared.quotas().report(now);
        let loads = self.shared.placement().report_loads(now);
        let rollouts = self.rollouts.report();
        let reports = Reports {
            demands,
            loads,
            rollouts,
        };
        let own = self.shared.config.node.heartbeat;
        let roster = self.shared.roster();
        let known: Vec<_> = roster.heartbeat_addresses(round).collect();
        let seeds = self
            .shared
            .config
            .seeds
            .iter()
            .map(|seed| heartbeat_address(seed.ip(), own))
            .filter(|seed| {
                self.rounds.is_multiple_of(SEED_INTERVAL_ROUNDS)
                    && *seed != own
                    && !roster.knows_address(*seed)
            });
        self.socket
            .send(&heartbeat, &reports, known.iter().copied().chain(seeds));
    }

    /// Runs the periodic work: election, heartbeats, expiry, probes and gauges.
    fn tick(&mut self, myself: &ActorRef<Message>) {
        let now = self.shared.clock.now();
        self.rounds = self.rounds.wrapping_add(1);
        let node = &self.shared.config.node;
        let reaches_store = self.store_available && self.latest_change() > Revision::default();
        self.shared.roster().elect(node, reaches_store, now);
        self.update_follower();
        self.update_membership(now);
        self.share_bounds(now);
        self.share_quotas(now);
        self.rollouts.tick(self.membership.serves, now);
        self.send_heartbeats(self.rounds);
        self.shared.roster().expire(now);
        self.shared.pool.close_unusable(now);
        let due = self.reconciliation.due(now);
        let due = self.rollouts.without_orders(due);
        self.apply_changes(due, now);
        let effects = self.shared.placement().registry.expire(now);
        if !effects.is_empty() {
            log::info!(
                count = effects.len();
                "targets removed: not registered again after the store's outage"
            );
        }
        for effect in effects {
            self.apply_effect(effect);
        }
        self.accept_unconfirmed_settings(now);
        self.report_confirmation(now);
        self.probe_targets(now);
        self.update_gauges(now);
        self.fetch_if_behind(myself, now);
    }

    /// Opens connections to targets with overdue subrequests, to find out whether they can be reached.
    fn probe_targets(&self, now: Moment) {
        let mut placement = self.shared.placement();
        for key in placement.due_probes(now) {
            let Some(target) = placement.registry.get(key) else {
                continue;
            };
            let (name, address) = (Arc::clone(&target.name), target.report.address);
            let stalled = placement
                .stats(key, now)
                .and_then(|evidence| evidence.stalled_for);
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move {
                let Some(reached) = shared.pool.probe(key, address).await else {
                    return;
                };
                shared.placement().record_probe(key, reached);
                shared.meters.count_probe(reached);
                if shared.log_limits().subrequests.admit(shared.clock.now()) {
                    let silent_ms = stalled.map(millis_rounded);
                    log::info!(
                        target_name:% = name, reached, silent_ms;
                        "target probed with a new connection"
                    );
                }
            });
        }
    }

    fn update_gauges(&self, now: Moment) {
        let meters = &self.shared.meters;
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let mut placement = self.shared.placement();
        if self.rounds.is_multiple_of(LOAD_INTERVAL_ROUNDS) {
            let busiest_to_mean = placement.take_busiest_to_mean();
            meters.busiest_to_mean.set(busiest_to_mean.unwrap_or(0.0));
        }
        meters.slow_targets.set(count(placement.slow_targets(now)));
        meters
            .targets
            .set(count(placement.registry.targets().count()));
        meters
            .limited_targets
            .set(count(placement.limited_targets()));
        meters
            .turned_away_targets
            .set(count(placement.turned_away_targets(now)));
        drop(placement);
        meters
            .nodes
            .set(count(self.shared.roster().live_nodes(now).count()));
        let running = self.shared.running_requests.load(atomic::Ordering::Relaxed);
        meters.running_requests.set(count(running));
    }

    /// Starts or stops watching the store, and adapts the lease renewals, according to the election.
    fn update_follower(&mut self) {
        let serves = self.shared.roster().serves_callers();
        self.follower.set_serving(serves);
        if serves && self.rounds > STARTUP_ROUNDS {
            // A node that stands in for another one does not wait for its turn.
            self.follower.start_listing(true);
        }
        let watches = self.is_watching();
        self.watch_confirmed &= watches;
        // All watches start from one revision, up to which every mirror must be complete.
        let known = self.complete_revision();
        self.follower.set_watching(watches.then_some(known));
    }

    /// Records which nodes serve callers and whether this node watches the store, and logs the changes.
    fn update_membership(&mut self, now: Moment) {
        let roster = self.shared.roster();
        let membership = Membership {
            serves: roster.serves_callers(),
            watches: roster.watches_store(),
            serving_nodes: roster.serving_nodes(now).map(str::to_owned).collect(),
        };
        drop(roster);
        let previous = std::mem::replace(&mut self.membership, membership);
        let Membership {
            serves,
            watches,
            serving_nodes,
        } = &self.membership;
        if (previous.serves, previous.watches) != (*serves, *watches) {
            log::info!(
                serves, watches;
                "duties changed: serving callers or watching the store"
            );
        }
        for name in serving_nodes.difference(&previous.serving_nodes) {
            log::info!(name, serving = serving_nodes.len(); "node serves callers");
        }
        for name in previous.serving_nodes.difference(serving_nodes) {
            log::info!(
                name, serving = serving_nodes.len();
                "node gone; it no longer counts as serving callers"
            );
        }
    }

    /// Fetches missing changes from another node if this is due, and restarts the watches if they should
    /// have delivered them.
    ///
    /// A node without settings, while the store is unavailable, asks a seed host for them. The number of the
    /// heartbeat round selects the host, so that a host may be skipped while a fetch is running.
    fn fetch_if_behind(&mut self, myself: &ActorRef<Message>, now: Moment) {
        let complete = self.complete_revision();
        self.newer_peer
            .take_if(|newer_peer| newer_peer.revision <= complete);
        let without_settings = self.shared.route_table.load().is_none() && !self.store_available;
        let source_address = match &self.newer_peer {
            Some(newer_peer) if self.is_fetch_due(newer_peer, now) => Some(newer_peer.node.peer),
            None if without_settings => {
                let seeds = &self.shared.config.seeds;
                seeds
                    .get(self.rounds as usize % seeds.len().max(1))
                    .copied()
            }
            _ => None,
        };
        let Some(source_address) = source_address.filter(|_| !self.is_fetching) else {
            return;
        };
        self.newer_peer = None;
        if self.store_available && self.is_watching() {
            self.follower.restart_watches();
        }
        self.is_fetching = true;
        self.last_fetch = now;
        let after: Vec<Revision> = self.shared.mirrors().iter().map(Mirror::revision).collect();
        let actor = myself.clone();
        tokio::spawn(async move {
            let update = mirror::fetch_update(source_address, &after).await;
            if let Err(e) = &update {
                log::info!(
                    peer:% = source_address, error:% = e;
                    "cannot fetch changes from another node; the last known state stays in use"
                );
            }
            let update = update.ok();
            let _running = actor.cast(Message::PeerUpdate {
                requested_at: now,
                update,
            });
        });
    }

    /// Tells whether missing changes should be fetched from the node now.
    fn is_fetch_due(&self, newer_peer: &NewerPeer, now: Moment) -> bool {
        let own = &self.shared.config.node;
        let waited = now.since(newer_peer.since);
        let roster = self.shared.roster();
        if newer_peer.revision.era() > self.complete_revision().era() && !roster.serves_callers() {
            // The copy is whole, as the revisions of the two eras do not tell what has changed.
            return waited >= copy_delay(own, roster.nodes());
        }
        let has_contents = self.latest_change() > Revision::default();
        if !has_contents && self.store_available && !roster.serves_callers() {
            // This node lists the store when it is its turn. Copies for all nodes of a data centre would fill
            // the links of those that serve callers.
            return false;
        }
        if roster.watches_store() && self.store_available {
            waited >= WATCH_RESTART_DELAY
        } else if newer_peer.node.data_centre != own.data_centre {
            waited >= REMOTE_FETCH_DELAY
        } else {
            roster.serves_callers() || now.since(self.last_fetch) >= STANDBY_FETCH_INTERVAL
        }
    }

    /// Applies the changes fetched from another node.
    fn import_update(&mut self, update: Option<Update>, requested_at: Moment) {
        self.is_fetching = false;
        let Some(update) = update else { return };
        let now = self.shared.clock.now();
        let prefixes: Vec<&'static str> =
            self.shared.mirrors().iter().map(Mirror::prefix).collect();
        for (prefix, export) in prefixes.into_iter().zip(update.copies) {
            self.import_export(prefix, export, now);
        }
        // The other node stated the time after it had received the request.
        let fresh_for = update.fresh_for.min(FRESHNESS_PERIOD);
        if fresh_for.is_zero() {
            self.unconfirmed_since.get_or_insert(now);
        } else {
            self.shared.extend_freshness(requested_at + fresh_for);
        }
    }

    /// Lets the node accept requests with settings that nothing has confirmed, once the other nodes have had
    /// time to tell of newer changes. The node that they came from may have been cut off or paused for long.
    fn accept_unconfirmed_settings(&self, now: Moment) {
        let waited = self
            .unconfirmed_since
            .is_some_and(|since| now.since(since) >= NEWER_CHANGES_WAIT);
        if waited && self.newer_peer.is_none() && !self.is_fetching {
            // The settings count as confirmed for no time, so the node denies no route for lack of it.
            self.shared.extend_freshness(Moment::from_micros(1));
        }
    }

    /// Logs that the confirmation of the settings in force has expired, with the state of each way by which a newer
    /// version could arrive, and that they are confirmed again.
    fn report_confirmation(&mut self, now: Moment) {
        let table = self.shared.route_table.load();
        let Some(version) = table.as_ref().map(|table| table.version.0) else {
            return;
        };
        let fresh_until = self.shared.fresh_until.load(atomic::Ordering::Acquire);
        let expired_for = now.since(Moment::from_micros(fresh_until));
        let unconfirmed_ms = i64::try_from(expired_for.as_millis()).unwrap_or(i64::MAX);
        let meters = &self.shared.meters;
        meters.settings_unconfirmed_ms.set(unconfirmed_ms);
        let is_expired = self.shared.is_uncertain(now);
        match self.confirmation_expired_at {
            None if is_expired => {
                let (heard, elected) = self.shared.roster().count_heard(HEARTBEAT_TIMEOUT, now);
                log::warn!(
                    version, serves = self.membership.serves, watches = self.membership.watches,
                    store_up = self.store_available, heard, elected,
                    behind = self.newer_peer.is_some(), fetching = self.is_fetching,
                    lag_ms = millis_rounded(self.shared.lag().at(now));
                    "settings unconfirmed; a newer version may exist"
                );
                self.confirmation_expired_at = Some(now);
            }
            Some(expired_at) if !is_expired => {
                log::info!(
                    version, unconfirmed_ms = millis_rounded(now.since(expired_at));
                    "settings confirmed again"
                );
                self.confirmation_expired_at = None;
            }
            None | Some(_) => {}
        }
    }
}

impl<P> Shared<P> {
    /// Records that the route table is known to be the newest one at least until the moment.
    fn extend_freshness(&self, until: Moment) {
        self.fresh_until
            .fetch_max(until.as_micros(), atomic::Ordering::AcqRel);
    }
}

/// Warns of keys that several tenants hold, once for each version of the settings.
fn warn_of_contested_keys(table: &Table) {
    /// Maximum number of tenants that the line names, so that it stays short if all share a key.
    const TENANTS_LOGGED_MAX: usize = 10;
    let contested = table.tenants().map(Directory::contested);
    let Some(names) = contested.filter(|names| names.len() > 0) else {
        return;
    };
    let count = names.len();
    let names: Vec<&str> = names.take(TENANTS_LOGGED_MAX).map(|name| &**name).collect();
    log::warn!(
        version = table.version.0, tenants = names.join(","), count;
        "several tenants hold the same key; it identifies none of them"
    );
}
