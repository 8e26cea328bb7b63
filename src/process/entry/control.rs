//! The actor that applies what the store and other nodes say.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};

use super::report::millis;
use super::{Shared, pulse_of};
use crate::connection::keyspace::{Freshness, Keyspace, Revision};
use crate::connection::mirror::{self, Update};
use crate::connection::outbound::Protocol;
use crate::process::follow::{Follow, Notice};
use crate::process::mirror::{Change, Mirror};
use crate::process::pulse::Socket;
use crate::process::registry::Effect;
use crate::process::roster::{PULSE, Pulse};
use crate::time::Moment;
use crate::version::item::{Dialect, Item, ItemKind, Node};

/// How long the last word of the store or of a peer proves that no newer table exists. A change must
/// be in force within three seconds.
const FRESH: Duration = Duration::from_secs(2);
/// How long another node may know of changes that this one lacks, although it watches the store, before
/// the watch starts again. Watches gather changes for less than half a second.
const BEHIND_WATCHING: Duration = Duration::from_millis(1_500);
/// The same for a node that watches nothing, if the other node is in another data centre: one of its own
/// will know soon, and its bytes cost nothing.
const BEHIND_FAR: Duration = Duration::from_millis(500);
/// The time between two questions for changes by a node that does not serve callers.
const BEHIND_RESTING: Duration = Duration::from_millis(900);
/// How long after its start a node has heard of all others.
const SETTLED: Duration = Duration::from_secs(10);
/// Rounds of pulses between two looks at the seeds.
const SEED_ROUNDS: u32 = 3;

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// The store said something.
    Notice(Notice),
    /// Another node said something.
    Pulse(Pulse),
    /// Another node gave what this one lacks, or did not answer.
    Update(Option<Update>),
    /// A period has passed.
    Tick,
    /// The node stops.
    Leave,
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
    follow: Follow,
    socket: Socket,
    store_answers: bool,
    /// Whether the store has answered this node's watch since it began.
    watched: bool,
    behind: Option<Behind>,
    pulling: bool,
    pulled: Moment,
    /// The members as of the last tick.
    members: Members,
    rounds: u32,
}

/// Who does what, as this node sees it.
#[derive(Default)]
struct Members {
    /// Whether this node serves callers.
    serves: bool,
    /// Whether this node watches the store.
    watches: bool,
    /// The other nodes that serve callers.
    serving: BTreeSet<String>,
}

/// What another node knows and this one lacks.
struct Behind {
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
        let socket = Socket::bind(node.pulse, move |pulse| {
            // The actor runs as long as the process.
            let _running = actor.cast(Message::Pulse(pulse));
        })
        .await?;
        let actor = myself.clone();
        let follow = Follow::spawn(
            &keyspace,
            dialect.prefixes(),
            dialect.encode_node(node),
            shared.meters.clone(),
            move |notice| {
                let _running = actor.cast(Message::Notice(notice));
            },
        );
        myself.send_interval(PULSE, || Message::Tick);
        shared.meters.store_up.set(1);
        Ok(State {
            shared,
            dialect,
            follow,
            socket,
            store_answers: true,
            watched: false,
            behind: None,
            pulling: false,
            pulled: Moment::ZERO,
            members: Members::default(),
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
            Message::Notice(notice) => state.notice(notice),
            Message::Pulse(pulse) => state.hear(pulse, &myself),
            Message::Update(update) => state.adopt(update),
            Message::Tick => state.tick(&myself),
            Message::Leave => {
                state.follow.leave();
                state.pulse(0);
            }
        }
        Ok(())
    }
}

impl<P> State<P>
where
    P: Protocol,
{
    fn notice(&mut self, notice: Notice) {
        let now = self.shared.clock.now();
        match notice {
            Notice::Listed {
                prefix,
                items,
                revision,
                age,
            } => {
                let changes = self.mirror(prefix, |mirror| mirror.replace(items, revision));
                self.apply(changes, now);
                if age == Freshness::Latest {
                    self.shared.refresh(now + FRESH);
                }
            }
            Notice::Changed {
                prefix,
                events,
                revision,
            } => {
                let changes = self.mirror(prefix, |mirror| {
                    let changes = events.into_iter().filter_map(|event| mirror.apply(event));
                    let changes = changes.collect();
                    mirror.advance(revision);
                    changes
                });
                self.apply(changes, now);
                self.shared.refresh(now + FRESH);
                self.watched = true;
            }
            Notice::Store { answers, cause } => {
                if answers {
                    log::info!("store regained");
                } else {
                    let cause = cause.map(|cause| cause.to_string());
                    log::warn!(cause:? = cause; "store lost");
                }
                self.store_answers = answers;
                self.shared.meters.store_up.set(i64::from(answers));
                self.shared
                    .placement()
                    .registry
                    .set_store_reachable(answers, now);
            }
        }
    }

    fn mirror<F>(&self, prefix: &str, change: F) -> Vec<Change>
    where
        F: FnOnce(&mut Mirror) -> Vec<Change>,
    {
        let mut mirrors = self.shared.mirrors();
        let mirror = mirrors.iter_mut().find(|it| it.prefix() == prefix);
        mirror.map(change).unwrap_or_default()
    }

    fn apply(&self, changes: Vec<Change>, now: Moment) {
        for change in changes {
            match change {
                Change::Put(key, value) => {
                    let item = self.dialect.decode(&key, &value);
                    self.put(&key, self.dialect.classify(&key), item, now);
                }
                Change::Removed(key) => self.remove(self.dialect.classify(&key), now),
            }
        }
    }

    fn put(&self, key: &str, kind: ItemKind, item: Item, now: Moment) {
        match (kind, item) {
            (ItemKind::Settings, Item::Settings(table)) => {
                let known = self.shared.table.load();
                let known = known.as_ref().map(|known| known.version);
                if known.is_some_and(|known| known >= table.version) {
                    log::warn!(version = table.version.0; "older settings ignored");
                    return;
                }
                let previous = known.map_or(0, |known| known.0);
                log::info!(version = table.version.0, previous; "settings in force");
                let version = i64::try_from(table.version.0).unwrap_or(i64::MAX);
                self.shared.meters.settings_version.set(version);
                self.shared.table.store(Some(Arc::new(table)));
            }
            (ItemKind::Evacuation(data_centre), Item::Evacuation) => {
                log::info!(data_centre:% = data_centre; "data centre evacuated");
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
                    "target reported"
                );
                let effects = self.shared.placement().put(&name, report, now);
                for effect in effects {
                    self.effect(effect);
                }
            }
            (ItemKind::Node(name), Item::Node(node)) if *name != *self.shared.config.node.name => {
                self.shared.roster().list(node, now);
            }
            (ItemKind::Target(name), item) => {
                self.shared.meters.unreadable_items.inc();
                let cause = match item {
                    Item::Unreadable(cause) => cause,
                    _ => "not an entry".to_owned(),
                };
                log::warn!(key, cause; "entry names no target");
                let effect = self.shared.placement().registry.invalidate(&name);
                if let Some(effect) = effect {
                    self.effect(effect);
                }
            }
            (kind, Item::Unreadable(cause)) if kind != ItemKind::Other => {
                self.shared.meters.unreadable_items.inc();
                log::warn!(key, cause; "item unreadable, last good one kept");
            }
            _ => {}
        }
    }

    fn remove(&self, kind: ItemKind, now: Moment) {
        match kind {
            ItemKind::Target(name) => {
                let effect = self.shared.placement().registry.remove(&name, now);
                let kept = matches!(effect, Some(Effect::Changed(_)));
                log::info!(target_name:% = name, kept; "target entry removed");
                if let Some(effect) = effect {
                    self.effect(effect);
                }
            }
            ItemKind::Evacuation(data_centre) => {
                log::info!(data_centre:% = data_centre; "data centre back");
                self.shared
                    .placement()
                    .registry
                    .set_evacuated(&data_centre, false);
            }
            ItemKind::Node(name) => {
                self.shared.roster().unlist(&name, now);
            }
            ItemKind::Settings | ItemKind::Other => {}
        }
    }

    fn effect(&self, effect: Effect) {
        if let Effect::Removed(key) = effect {
            self.shared.placement().forget(key);
            self.shared.pool.close_idle(key);
        }
    }

    /// Tells the bounds which nodes share them.
    fn share(&self, now: Moment) {
        let own = &self.shared.config.node.name;
        let names = self.members.serving.iter().chain([own]);
        let names: Vec<String> = names.cloned().collect();
        let settled = now.since(Moment::ZERO) >= SETTLED;
        self.shared.placement().set_nodes(&names, settled);
    }

    fn hear(&mut self, pulse: Pulse, myself: &ActorRef<Message>) {
        let own = &self.shared.config.node;
        if pulse.node.name == own.name {
            return;
        }
        let now = self.shared.clock.now();
        let latest = self.latest();
        let follows = !self.is_watching() || !self.store_answers;
        if pulse.revision > latest {
            let near = |node: &Node| node.data_centre == own.data_centre;
            let since = self.behind.as_ref().map_or(now, |behind| behind.since);
            let farther = |behind: &Behind| !near(&behind.node) && near(&pulse.node);
            if self.behind.as_ref().is_none_or(farther) {
                self.behind = Some(Behind {
                    since,
                    node: pulse.node.clone(),
                    revision: pulse.revision,
                });
            }
        } else if pulse.revision == latest && follows && pulse.fresh {
            self.shared.refresh(now + FRESH);
        }
        self.shared.roster().hear(pulse, now);
        self.catch_up(myself, now);
    }

    fn is_watching(&self) -> bool {
        self.shared.roster().watches()
    }

    /// Returns the revision of the last change that this node has applied.
    fn latest(&self) -> Revision {
        let mirrors = self.shared.mirrors();
        let latest = mirrors.iter().map(Mirror::latest);
        latest.max().unwrap_or_default()
    }

    fn pulse(&self, round: u32) {
        let now = self.shared.clock.now();
        let pulse = Pulse {
            node: self.shared.config.node.clone(),
            ready: self.shared.ready(),
            fresh: self.watched && self.store_answers && !self.shared.is_uncertain(now),
            revision: self.latest(),
        };
        let own = self.shared.config.node.pulse;
        let roster = self.shared.roster();
        let known: Vec<_> = roster.pulses(round).collect();
        let seeds = self
            .shared
            .config
            .seeds
            .iter()
            .map(|seed| pulse_of(seed.ip(), own))
            .filter(|seed| {
                self.rounds.is_multiple_of(SEED_ROUNDS) && *seed != own && !roster.knows(*seed)
            });
        self.socket.send(&pulse, known.iter().copied().chain(seeds));
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        let now = self.shared.clock.now();
        self.rounds = self.rounds.wrapping_add(1);
        let node = &self.shared.config.node;
        self.shared.roster().elect(node, now);
        self.watch();
        self.observe_members(now);
        self.share(now);
        self.pulse(self.rounds);
        self.shared.roster().expire(now);
        self.shared.pool.close_expired(now);
        let effects = self.shared.placement().registry.expire(now);
        if !effects.is_empty() {
            log::info!(count = effects.len(); "targets did not come back after the store's outage");
        }
        for effect in effects {
            self.effect(effect);
        }
        if self.watched && self.store_answers {
            self.shared.refresh_if_quiet(now + FRESH);
        }
        self.probe(now);
        self.gauge(now);
        self.catch_up(myself, now);
    }

    /// Tries to reach the targets that gave no answer.
    fn probe(&self, now: Moment) {
        let mut placement = self.shared.placement();
        for key in placement.due_probes(now) {
            let Some(target) = placement.registry.get(key) else {
                continue;
            };
            let (name, address) = (Arc::clone(&target.name), target.report.address);
            let silent = placement.stats(key, now).and_then(|it| it.stalled_for);
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move {
                let reached = shared.pool.probe(key, address).await;
                shared.placement().record_probe(key, reached);
                shared.meters.count_probe(reached);
                if shared.lines().subrequests.admit(shared.clock.now()) {
                    let silent_ms = silent.map(millis);
                    log::info!(target_name:% = name, reached, silent_ms; "target probed");
                }
            });
        }
    }

    fn gauge(&self, now: Moment) {
        let meters = &self.shared.meters;
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let targets = self.shared.placement().registry.targets().count();
        meters.targets.set(count(targets));
        meters
            .nodes
            .set(count(self.shared.roster().alive(now).count()));
        let running = self.shared.running.load(Ordering::Relaxed);
        meters.running_requests.set(count(running));
    }

    /// Begins or ends to watch the store, as the roster says.
    fn watch(&mut self) {
        self.follow.serve(self.shared.roster().serves());
        let watches = self.is_watching();
        self.watched &= watches;
        let mirrors = self.shared.mirrors();
        // The watches share one revision, from which every mirror must be complete.
        let known = mirrors.iter().map(Mirror::revision).min();
        drop(mirrors);
        self.follow.watch(known.filter(|_| watches));
    }

    /// Notes who serves callers and who watches the store, and logs what has changed.
    fn observe_members(&mut self, now: Moment) {
        let roster = self.shared.roster();
        let members = Members {
            serves: roster.serves(),
            watches: roster.watches(),
            serving: roster.names(now).map(str::to_owned).collect(),
        };
        drop(roster);
        let before = std::mem::replace(&mut self.members, members);
        let Members {
            serves,
            watches,
            serving,
        } = &self.members;
        if (before.serves, before.watches) != (*serves, *watches) {
            log::info!(serves, watches; "duties changed");
        }
        for name in serving.difference(&before.serving) {
            log::info!(name, serving = serving.len(); "node serves");
        }
        for name in before.serving.difference(serving) {
            log::info!(name, serving = serving.len(); "node gone");
        }
    }

    /// Asks another node for what this one lacks, and starts the watches again if they should have
    /// brought it.
    fn catch_up(&mut self, myself: &ActorRef<Message>, now: Moment) {
        let latest = self.latest();
        self.behind.take_if(|behind| behind.revision <= latest);
        let without_settings = self.shared.table.load().is_none() && !self.store_answers;
        let from = match &self.behind {
            Some(behind) if self.is_due(behind, now) => Some(behind.node.peer),
            None if without_settings => {
                let seeds = &self.shared.config.seeds;
                seeds
                    .get(self.rounds as usize % seeds.len().max(1))
                    .copied()
            }
            _ => None,
        };
        let Some(from) = from.filter(|_| !self.pulling) else {
            return;
        };
        self.behind = None;
        if self.store_answers && self.is_watching() {
            self.follow.refresh();
        }
        self.pulling = true;
        self.pulled = now;
        let after: Vec<Revision> = self.shared.mirrors().iter().map(Mirror::revision).collect();
        let actor = myself.clone();
        tokio::spawn(async move {
            let update = mirror::fetch_update(from, &after).await;
            if let Err(e) = &update {
                log::info!(peer:% = from, error:% = e; "no copy from another node");
            }
            let _running = actor.cast(Message::Update(update.ok()));
        });
    }

    /// Tells whether it is time to ask another node.
    fn is_due(&self, behind: &Behind, now: Moment) -> bool {
        let own = &self.shared.config.node;
        let waited = now.since(behind.since);
        let roster = self.shared.roster();
        if roster.watches() && self.store_answers {
            waited >= BEHIND_WATCHING
        } else if behind.node.data_centre != own.data_centre {
            waited >= BEHIND_FAR
        } else {
            roster.serves() || now.since(self.pulled) >= BEHIND_RESTING
        }
    }

    fn adopt(&mut self, update: Option<Update>) {
        self.pulling = false;
        let Some(update) = update else { return };
        let now = self.shared.clock.now();
        let changes = {
            let mut mirrors = self.shared.mirrors();
            let pairs = mirrors.iter_mut().zip(update.copies);
            pairs
                .flat_map(|(mirror, copy)| mirror.adopt(copy))
                .collect()
        };
        self.apply(changes, now);
        self.shared.refresh(now + update.fresh_for);
    }
}

impl<P> Shared<P> {
    /// Notes that the table is the newest one until the moment.
    fn refresh(&self, until: Moment) {
        self.fresh_until
            .fetch_max(until.as_micros(), Ordering::AcqRel);
    }

    /// Prolongs the freshness while the store answers; watches that bring nothing say so only when
    /// they end.
    fn refresh_if_quiet(&self, until: Moment) {
        if self.fresh_until.load(Ordering::Acquire) > 0 {
            self.refresh(until);
        }
    }
}
