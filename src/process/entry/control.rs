//! The actor that applies what the store and other nodes say.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};

use super::report::millis_rounded;
use super::{Shared, heartbeat_address};
use crate::connection::keyspace::{Freshness, Keyspace, Revision};
use crate::connection::mirror::{self, Update};
use crate::connection::outbound::Protocol;
use crate::process::follow::{Follower, Notification};
use crate::process::heartbeat::Socket;
use crate::process::mirror::{Change, Mirror};
use crate::process::registry::Effect;
use crate::process::roster::{HEARTBEAT_INTERVAL, Heartbeat};
use crate::time::Moment;
use crate::version::item::{Dialect, Item, ItemKind, Node};

/// How long the last word of the store or of a peer proves that no newer table exists. A change must
/// be in force within three seconds.
const FRESHNESS_PERIOD: Duration = Duration::from_secs(2);
/// How long another node may know of changes that this one lacks, although it watches the store, before
/// the watch starts again. Watches gather changes for less than half a second.
const WATCH_RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// The same for a node that watches nothing, if the other node is in another data centre: one of its own
/// will know soon, and its bytes cost nothing.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(500);
/// The time between two questions for changes by a node that does not serve callers.
const STANDBY_FETCH_INTERVAL: Duration = Duration::from_millis(900);
/// How long after its start a node has heard of all others.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(10);
/// Rounds of heartbeats between two looks at the seeds.
const SEED_INTERVAL_ROUNDS: u32 = 3;

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// The store said something.
    Store(Notification),
    /// Another node said something.
    Heartbeat(Heartbeat),
    /// Another node gave what this one lacks, or did not answer.
    PeerUpdate(Option<Update>),
    /// A period has passed.
    Tick,
    /// The node stops.
    Stop,
}

/// Starts the actor.
pub async fn spawn<K, P>(
    shared: Arc<Shared<P>>,
    keyspace: &Arc<K>,
    dialect: Arc<dyn Dialect>,
) -> anyhow::Result<ActorRef<Message>>
where
    K: Keyspace,
    P: Protocol,
{
    let arguments = Arguments {
        shared,
        keyspace: Arc::clone(keyspace),
        dialect,
    };
    let (actor, _ended) = Actor::spawn(None, Control(std::marker::PhantomData), arguments).await?;
    Ok(actor)
}

struct Arguments<K, P> {
    shared: Arc<Shared<P>>,
    keyspace: Arc<K>,
    dialect: Arc<dyn Dialect>,
}

struct Control<K, P>(std::marker::PhantomData<fn() -> (K, P)>);

struct State<P> {
    shared: Arc<Shared<P>>,
    dialect: Arc<dyn Dialect>,
    follower: Follower,
    socket: Socket,
    store_available: bool,
    /// Whether the store has answered this node's watch since it began.
    watch_confirmed: bool,
    newer_peer: Option<NewerPeer>,
    is_fetching: bool,
    last_fetch: Moment,
    /// The membership as of the last tick.
    membership: Membership,
    rounds: u32,
}

/// Who does what, as this node sees it.
#[derive(Default)]
struct Membership {
    /// Whether this node serves callers.
    serves: bool,
    /// Whether this node watches the store.
    watches: bool,
    /// The other nodes that serve callers.
    serving_nodes: BTreeSet<String>,
}

/// What another node knows and this one lacks.
struct NewerPeer {
    since: Moment,
    node: Node,
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
            dialect,
        } = args;
        let node = &shared.config.node;
        let actor = myself.clone();
        let socket = Socket::bind(node.heartbeat, move |heartbeat| {
            // The actor runs as long as the process.
            let _running = actor.cast(Message::Heartbeat(heartbeat));
        })
        .await?;
        let actor = myself.clone();
        let follower = Follower::spawn(
            &keyspace,
            dialect.prefixes(),
            dialect.encode_node(node),
            shared.meters.clone(),
            move |notification| {
                let _running = actor.cast(Message::Store(notification));
            },
        );
        myself.send_interval(HEARTBEAT_INTERVAL, || Message::Tick);
        shared.meters.store_up.set(1);
        Ok(State {
            shared,
            dialect,
            follower,
            socket,
            store_available: true,
            watch_confirmed: false,
            newer_peer: None,
            is_fetching: false,
            last_fetch: Moment::ZERO,
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
            Message::Store(notification) => state.handle_notification(notification),
            Message::Heartbeat(heartbeat) => state.handle_heartbeat(heartbeat, &myself),
            Message::PeerUpdate(update) => state.import_update(update),
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
    fn handle_notification(&mut self, notification: Notification) {
        let now = self.shared.clock.now();
        match notification {
            Notification::Listed {
                prefix,
                items,
                revision,
                freshness,
            } => {
                let changes = self.update_mirror(prefix, |mirror| mirror.replace(items, revision));
                self.apply_changes(changes, now);
                if freshness == Freshness::Latest {
                    self.shared.extend_freshness(now + FRESHNESS_PERIOD);
                }
            }
            Notification::Changed {
                prefix,
                events,
                revision,
            } => {
                let changes = self.update_mirror(prefix, |mirror| {
                    let changes = events.into_iter().filter_map(|event| mirror.apply(event));
                    let changes = changes.collect();
                    mirror.advance(revision);
                    changes
                });
                self.apply_changes(changes, now);
                self.shared.extend_freshness(now + FRESHNESS_PERIOD);
                self.watch_confirmed = true;
            }
            Notification::Availability { available, cause } => {
                if available {
                    log::info!("store regained");
                } else {
                    let cause = cause.map(|cause| cause.to_string());
                    log::warn!(cause:? = cause; "store lost");
                }
                self.store_available = available;
                self.shared.meters.store_up.set(i64::from(available));
                self.shared.placement().registry.set_store(available, now);
            }
        }
    }

    fn update_mirror<F>(&self, prefix: &str, change: F) -> Vec<Change>
    where
        F: FnOnce(&mut Mirror) -> Vec<Change>,
    {
        let mut mirrors = self.shared.mirrors();
        let mirror = mirrors.iter_mut().find(|it| it.prefix() == prefix);
        mirror.map(change).unwrap_or_default()
    }

    fn apply_changes(&self, changes: Vec<Change>, now: Moment) {
        for change in changes {
            match change {
                Change::Put(key, value) => {
                    let item = self.dialect.decode(&key, &value);
                    self.put_item(&key, self.dialect.classify(&key), item, now);
                }
                Change::Removed(key) => self.remove_item(self.dialect.classify(&key), now),
            }
        }
    }

    fn put_item(&self, key: &str, kind: ItemKind, item: Item, now: Moment) {
        match (kind, item) {
            (ItemKind::Settings, Item::Settings(table)) => {
                let known = self.shared.route_table.load();
                let known = known.as_ref().map(|known| known.version);
                if known.is_some_and(|known| known >= table.version) {
                    log::warn!(version = table.version.0; "older settings ignored");
                    return;
                }
                let previous = known.map_or(0, |known| known.0);
                log::info!(version = table.version.0, previous; "settings in force");
                let version = i64::try_from(table.version.0).unwrap_or(i64::MAX);
                self.shared.meters.settings_version.set(version);
                self.shared.route_table.store(Some(Arc::new(table)));
            }
            (ItemKind::Evacuation(data_centre), Item::Evacuation) => {
                log::info!(data_centre:% = data_centre; "data centre evacuated");
                self.shared
                    .placement()
                    .registry
                    .evacuate(&data_centre, true);
            }
            (ItemKind::Target(name), Item::Target(report)) => {
                let (service, address) = (Arc::clone(&report.service), report.address);
                let (state, cold_ms) = (report.state, report.cold.as_millis());
                log::info!(
                    target_name:% = name, service:% = service, address:% = address, state:? = state,
                    cold_ms = cold_ms as u64;
                    "target reported"
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
                self.shared.meters.unreadable.inc();
                let cause = match item {
                    Item::Unreadable(cause) => cause,
                    _ => "not an entry".to_owned(),
                };
                log::warn!(key, cause; "entry names no target");
                let effect = self.shared.placement().registry.invalidate(&name);
                if let Some(effect) = effect {
                    self.apply_effect(effect);
                }
            }
            (kind, Item::Unreadable(cause)) if kind != ItemKind::Other => {
                self.shared.meters.unreadable.inc();
                log::warn!(key, cause; "item unreadable, last good one kept");
            }
            _ => {}
        }
    }

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
                log::info!(data_centre:% = data_centre; "data centre back");
                self.shared
                    .placement()
                    .registry
                    .evacuate(&data_centre, false);
            }
            ItemKind::Node(name) => {
                self.shared.roster().remove_record(&name, now);
            }
            ItemKind::Settings | ItemKind::Other => {}
        }
    }

    fn apply_effect(&self, effect: Effect) {
        if let Effect::Gone(key) = effect {
            self.shared.placement().forget(key);
            self.shared.pool.close_idle(key);
        }
    }

    /// Tells the bounds which nodes share them.
    fn share_bounds(&self, now: Moment) {
        let own = &self.shared.config.node.name;
        let names = self.membership.serving_nodes.iter().chain([own]);
        let names: Vec<String> = names.cloned().collect();
        let settled = now.since(Moment::ZERO) >= DISCOVERY_PERIOD;
        self.shared.placement().share(&names, settled);
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat, myself: &ActorRef<Message>) {
        let own = &self.shared.config.node;
        if heartbeat.node.name == own.name {
            return;
        }
        let now = self.shared.clock.now();
        let latest = self.latest_change();
        let trusts_peers = !self.is_watching() || !self.store_available;
        if heartbeat.revision > latest {
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
        } else if heartbeat.revision == latest && trusts_peers && heartbeat.fresh {
            self.shared.extend_freshness(now + FRESHNESS_PERIOD);
        }
        self.shared.roster().record_heartbeat(heartbeat, now);
        self.fetch_if_behind(myself, now);
    }

    fn is_watching(&self) -> bool {
        self.shared.roster().watches_store()
    }

    /// Returns the revision of the last change that this node has applied.
    fn latest_change(&self) -> Revision {
        let mirrors = self.shared.mirrors();
        let latest = mirrors.iter().map(Mirror::latest_change);
        latest.max().unwrap_or_default()
    }

    fn send_heartbeats(&self, round: u32) {
        let now = self.shared.clock.now();
        let heartbeat = Heartbeat {
            node: self.shared.config.node.clone(),
            ready: self.shared.is_ready(),
            fresh: self.watch_confirmed && self.store_available && !self.shared.is_uncertain(now),
            revision: self.latest_change(),
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
            .send(&heartbeat, known.iter().copied().chain(seeds));
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        let now = self.shared.clock.now();
        self.rounds = self.rounds.wrapping_add(1);
        let node = &self.shared.config.node;
        self.shared.roster().elect(node, now);
        self.update_follower();
        self.update_membership(now);
        self.share_bounds(now);
        self.send_heartbeats(self.rounds);
        self.shared.roster().expire(now);
        self.shared.pool.close_expired(now);
        let effects = self.shared.placement().registry.expire(now);
        if !effects.is_empty() {
            log::info!(count = effects.len(); "targets did not come back after the store's outage");
        }
        for effect in effects {
            self.apply_effect(effect);
        }
        if self.watch_confirmed && self.store_available {
            self.shared
                .extend_freshness_if_known(now + FRESHNESS_PERIOD);
        }
        self.probe_targets(now);
        self.update_gauges(now);
        self.fetch_if_behind(myself, now);
    }

    /// Tries to reach the targets that gave no answer.
    fn probe_targets(&self, now: Moment) {
        let mut placement = self.shared.placement();
        for key in placement.probes(now) {
            let Some(target) = placement.registry.get(key) else {
                continue;
            };
            let (name, address) = (Arc::clone(&target.name), target.report.address);
            let silent = placement.evidence(key, now).and_then(|it| it.stalled);
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move {
                let reached = shared.pool.probe(key, address).await;
                shared.placement().probed(key, reached);
                shared.meters.probe(reached);
                if shared.log_limits().subrequests.admit(shared.clock.now()) {
                    let silent_ms = silent.map(millis_rounded);
                    log::info!(target_name:% = name, reached, silent_ms; "target probed");
                }
            });
        }
    }

    fn update_gauges(&self, now: Moment) {
        let meters = &self.shared.meters;
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let targets = self.shared.placement().registry.targets().count();
        meters.targets.set(count(targets));
        meters
            .nodes
            .set(count(self.shared.roster().live_nodes(now).count()));
        let running = self.shared.running_requests.load(Ordering::Relaxed);
        meters.running.set(count(running));
    }

    /// Begins or ends to watch the store, as the roster says.
    fn update_follower(&mut self) {
        self.follower
            .set_serving(self.shared.roster().serves_callers());
        let watches = self.is_watching();
        self.watch_confirmed &= watches;
        let mirrors = self.shared.mirrors();
        // The watches share one revision, from which every mirror must be complete.
        let known = mirrors.iter().map(Mirror::revision).min();
        drop(mirrors);
        self.follower.set_watching(known.filter(|_| watches));
    }

    /// Notes who serves callers and who watches the store, and logs what has changed.
    fn update_membership(&mut self, now: Moment) {
        let roster = self.shared.roster();
        let membership = Membership {
            serves: roster.serves_callers(),
            watches: roster.watches_store(),
            serving_nodes: roster.serving_nodes(now).map(str::to_owned).collect(),
        };
        drop(roster);
        let before = std::mem::replace(&mut self.membership, membership);
        let Membership {
            serves,
            watches,
            serving_nodes,
        } = &self.membership;
        if (before.serves, before.watches) != (*serves, *watches) {
            log::info!(serves, watches; "duties changed");
        }
        for name in serving_nodes.difference(&before.serving_nodes) {
            log::info!(name, serving = serving_nodes.len(); "node serves");
        }
        for name in before.serving_nodes.difference(serving_nodes) {
            log::info!(name, serving = serving_nodes.len(); "node gone");
        }
    }

    /// Asks another node for what this one lacks, and starts the watches again if they should have
    /// brought it.
    fn fetch_if_behind(&mut self, myself: &ActorRef<Message>, now: Moment) {
        let latest = self.latest_change();
        self.newer_peer
            .take_if(|newer_peer| newer_peer.revision <= latest);
        let without_settings = self.shared.route_table.load().is_none() && !self.store_available;
        let from = match &self.newer_peer {
            Some(newer_peer) if self.is_fetch_due(newer_peer, now) => Some(newer_peer.node.peer),
            None if without_settings => {
                let seeds = &self.shared.config.seeds;
                seeds
                    .get(self.rounds as usize % seeds.len().max(1))
                    .copied()
            }
            _ => None,
        };
        let Some(from) = from.filter(|_| !self.is_fetching) else {
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
            let update = mirror::fetch_update(from, &after).await;
            if let Err(e) = &update {
                log::info!(peer:% = from, error:% = e; "no copy from another node");
            }
            let _running = actor.cast(Message::PeerUpdate(update.ok()));
        });
    }

    /// Tells whether it is time to ask another node.
    fn is_fetch_due(&self, newer_peer: &NewerPeer, now: Moment) -> bool {
        let own = &self.shared.config.node;
        let waited = now.since(newer_peer.since);
        let roster = self.shared.roster();
        if roster.watches_store() && self.store_available {
            waited >= WATCH_RESTART_DELAY
        } else if newer_peer.node.data_centre != own.data_centre {
            waited >= REMOTE_FETCH_DELAY
        } else {
            roster.serves_callers() || now.since(self.last_fetch) >= STANDBY_FETCH_INTERVAL
        }
    }

    fn import_update(&mut self, update: Option<Update>) {
        self.is_fetching = false;
        let Some(update) = update else { return };
        let now = self.shared.clock.now();
        let changes = {
            let mut mirrors = self.shared.mirrors();
            let pairs = mirrors.iter_mut().zip(update.copies);
            pairs
                .flat_map(|(mirror, copy)| mirror.import(copy))
                .collect()
        };
        self.apply_changes(changes, now);
        self.shared.extend_freshness(now + update.fresh_for);
    }
}

impl<P> Shared<P> {
    /// Notes that the table is the newest one until the moment.
    fn extend_freshness(&self, until: Moment) {
        self.fresh_until
            .fetch_max(until.as_micros(), Ordering::AcqRel);
    }

    /// Prolongs the freshness while the store answers; watches that bring nothing say so only when
    /// they end.
    fn extend_freshness_if_known(&self, until: Moment) {
        if self.fresh_until.load(Ordering::Acquire) > 0 {
            self.extend_freshness(until);
        }
    }
}
