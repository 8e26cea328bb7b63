//! The actor that applies what the store and other nodes say.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};

use super::{Shared, pulse_of};
use crate::connection::exchange;
use crate::connection::keyspace::{Keyspace, Revision};
use crate::connection::outbound::Protocol;
use crate::process::follow::{Follow, Notice};
use crate::process::mirror::{Change, Copy};
use crate::process::pulse::Socket;
use crate::process::registry::Effect;
use crate::process::roster::{PULSE, Pulse};
use crate::time::Moment;
use crate::version::change::{Dialect, Meaning, Node, Subject};

/// How long the last word of the store or of a peer proves that no newer table exists. A change must
/// be in force within three seconds.
const FRESH: Duration = Duration::from_secs(2);
/// How long another node may know of changes that this one lacks before the watches start again.
const BEHIND: Duration = Duration::from_millis(400);
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
    /// Another node gave copies of its mirrors.
    Copies(Option<Vec<Copy>>),
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
    /// Since when another node has known of changes that this one lacks, and which node.
    behind: Option<(Moment, Node)>,
    pulling: bool,
    rounds: u32,
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
            dialect.publish(node),
            move |notice| {
                let _running = actor.cast(Message::Notice(notice));
            },
        );
        myself.send_interval(PULSE, || Message::Tick);
        Ok(State {
            shared,
            dialect,
            follow,
            socket,
            store_answers: true,
            behind: None,
            pulling: false,
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
            Message::Pulse(pulse) => state.hear(pulse),
            Message::Copies(copies) => state.adopt(copies),
            Message::Tick => state.tick(&myself),
            Message::Leave => {
                state.follow.leave();
                state.pulse();
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
            } => {
                let changes = self.mirror(prefix, |mirror| mirror.replace(items, revision));
                self.apply(changes, now);
                self.shared.refresh(now + FRESH);
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
            }
            Notice::Store { answers, cause } => {
                if answers {
                    log::info!("the store answers again");
                } else {
                    let cause = cause.map(|cause| cause.to_string());
                    log::warn!(cause:? = cause; "the store does not answer");
                }
                self.store_answers = answers;
                self.shared.placement().registry.set_store(answers, now);
            }
        }
    }

    fn mirror<F>(&self, prefix: &str, change: F) -> Vec<Change>
    where
        F: FnOnce(&mut crate::process::mirror::Mirror) -> Vec<Change>,
    {
        let mut mirrors = self.shared.mirrors();
        let mirror = mirrors.iter_mut().find(|it| it.prefix() == prefix);
        mirror.map(change).unwrap_or_default()
    }

    fn apply(&self, changes: Vec<Change>, now: Moment) {
        for change in changes {
            match change {
                Change::Put(key, value) => {
                    let meaning = self.dialect.meaning(&key, &value);
                    self.put(&key, self.dialect.subject(&key), meaning, now);
                }
                Change::Removed(key) => self.remove(self.dialect.subject(&key), now),
            }
        }
    }

    fn put(&self, key: &str, subject: Subject, meaning: Meaning, now: Moment) {
        match (subject, meaning) {
            (Subject::Settings, Meaning::Settings(table)) => {
                let known = self.shared.table.load();
                let known = known.as_ref().map(|known| known.number);
                if known.is_some_and(|known| known >= table.number) {
                    log::warn!(version:% = table.number; "settings that are not newer are ignored");
                    return;
                }
                log::info!(version:% = table.number; "settings are in force");
                self.shared.table.store(Some(Arc::new(table)));
            }
            (Subject::Evacuation(data_centre), Meaning::Evacuation) => {
                log::info!(data_centre:% = data_centre; "the data centre is evacuated");
                self.shared
                    .placement()
                    .registry
                    .evacuate(&data_centre, true);
            }
            (Subject::Target(name), Meaning::Target(report)) => {
                let effects = self.shared.placement().put(&name, report, now);
                for effect in effects {
                    self.effect(effect);
                }
            }
            (Subject::Node(name), Meaning::Node(node))
                if *name != *self.shared.config.node.name =>
            {
                self.shared.roster().list(node, now);
                self.share();
            }
            (Subject::Target(name), _) => {
                log::warn!(key; "the entry names no target");
                let effect = self.shared.placement().registry.invalidate(&name);
                if let Some(effect) = effect {
                    self.effect(effect);
                }
            }
            (_, Meaning::Unreadable(text)) => log::warn!(key, text; "an item is unreadable"),
            _ => {}
        }
    }

    fn remove(&self, subject: Subject, now: Moment) {
        match subject {
            Subject::Target(name) => {
                let effect = self.shared.placement().registry.remove(&name, now);
                if let Some(effect) = effect {
                    self.effect(effect);
                }
            }
            Subject::Evacuation(data_centre) => {
                log::info!(data_centre:% = data_centre; "the data centre is back");
                self.shared
                    .placement()
                    .registry
                    .evacuate(&data_centre, false);
            }
            Subject::Node(name) => {
                self.shared.roster().unlist(&name, now);
            }
            Subject::Settings | Subject::Other => {}
        }
    }

    fn effect(&self, effect: Effect) {
        if let Effect::Gone(key) = effect {
            self.shared.pool.forget(key);
        }
    }

    /// Tells the bounds which nodes share them.
    fn share(&self) {
        let mut names: Vec<String> = self.shared.roster().names().map(str::to_owned).collect();
        names.push(self.shared.config.node.name.clone());
        let now = self.shared.clock.now();
        let settled = now.since(Moment::ZERO) >= SETTLED;
        self.shared.placement().share(&names, settled);
    }

    fn hear(&mut self, pulse: Pulse) {
        let own = &self.shared.config.node;
        if pulse.node.name == own.name {
            return;
        }
        let now = self.shared.clock.now();
        if pulse.revision > self.latest() {
            self.behind.get_or_insert((now, pulse.node.clone()));
        } else if pulse.revision == self.latest() && self.store_or_peer_is_fresh(&pulse) {
            self.shared.refresh(now + FRESH);
        }
        self.shared.roster().hear(pulse, now);
        self.share();
    }

    /// Tells whether a peer with the same state proves it fresh: it is ready only while it is.
    const fn store_or_peer_is_fresh(&self, pulse: &Pulse) -> bool {
        !self.store_answers && pulse.fresh
    }

    /// Returns the revision of the last change that this node has applied.
    fn latest(&self) -> Revision {
        let mirrors = self.shared.mirrors();
        let latest = mirrors.iter().map(crate::process::mirror::Mirror::latest);
        latest.max().unwrap_or_default()
    }

    fn pulse(&self) {
        let now = self.shared.clock.now();
        let pulse = Pulse {
            node: self.shared.config.node.clone(),
            ready: self.shared.ready(),
            fresh: self.store_answers && !self.shared.is_uncertain(now),
            revision: self.latest(),
        };
        let own = self.shared.config.node.pulse;
        let known: Vec<_> = self.shared.roster().pulses().collect();
        let seeds = self
            .shared
            .config
            .seeds
            .iter()
            .map(|seed| pulse_of(seed.ip(), own))
            .filter(|seed| {
                self.rounds.is_multiple_of(SEED_ROUNDS) && *seed != own && !known.contains(seed)
            });
        self.socket.send(&pulse, known.iter().copied().chain(seeds));
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        let now = self.shared.clock.now();
        self.rounds = self.rounds.wrapping_add(1);
        self.pulse();
        self.shared.roster().expire(now);
        self.shared.pool.expire(now);
        let effects = self.shared.placement().registry.expire(now);
        for effect in effects {
            self.effect(effect);
        }
        if self.store_answers {
            self.shared.refresh_if_quiet(now + FRESH);
        }
        self.catch_up(myself, now);
    }

    /// Starts the watches again, or asks another node, if this one lacks changes.
    fn catch_up(&mut self, myself: &ActorRef<Message>, now: Moment) {
        let without_settings = self.shared.table.load().is_none() && !self.store_answers;
        let from = match &self.behind {
            Some((since, node)) if now.since(*since) >= BEHIND || !self.store_answers => {
                Some(node.peer)
            }
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
        if self.store_answers {
            self.follow.refresh();
        }
        self.pulling = true;
        let actor = myself.clone();
        tokio::spawn(async move {
            let copies = exchange::pull(from).await;
            if let Err(e) = &copies {
                log::info!(peer:% = from, error:% = e; "no copy from another node");
            }
            let _running = actor.cast(Message::Copies(copies.ok()));
        });
    }

    fn adopt(&mut self, copies: Option<Vec<Copy>>) {
        self.pulling = false;
        let Some(copies) = copies else { return };
        let now = self.shared.clock.now();
        let changes = {
            let mut mirrors = self.shared.mirrors();
            let pairs = mirrors.iter_mut().zip(copies);
            pairs
                .flat_map(|(mirror, copy)| mirror.replace(copy.items, copy.revision))
                .collect()
        };
        self.apply(changes, now);
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
