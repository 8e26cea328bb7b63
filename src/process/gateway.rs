//! The gateway of a node: one actor for each target that the node owns.
//!
//! An actor ties together the [`Gate`], which decides, and the connections, which carry out. Only the
//! owner of a target connects to it; see `docs/design.md`, section 5, and
//! `docs/decisions/001-one-gateway-per-target.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::header::HeaderValue;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use tokio::sync::{Notify, mpsc};
use tokio_util::task::AbortOnDropHandle;

use super::gate::{Action, Completion, Event, Gate, Job, JobKey};
use super::metrics::Metrics;
use super::ramp::Stage;
use crate::connection::target::{
    Connection, ConnectionEvent, Operation, OperationOutcome, Reply, Search, Status, Target,
};
use crate::time::{Clock, Moment};
use crate::version::policy;
use crate::wire::exchange::{Holding, Summary};
use crate::wire::{Batch, Frame, Load, Outcome, Reason, Subrequest, Version};

/// Connections beyond one per slot; they carry status and cancel calls while all slots are in use.
pub const SPARE_CONNECTIONS: u16 = 2;

/// The period of status calls. They find new versions and restarts of idle targets; everything else
/// is observed sooner by the searches themselves.
pub const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// The period of status calls while versions are moving.
pub const STATUS_PERIOD_MOVING: Duration = Duration::from_millis(200);

/// How long versions count as moving after some target of the node held something new.
///
/// Versions roll over the targets of an index one after the other. A query can only move to a version
/// whose targets are known, so a change at one target makes the others worth asking.
pub const MOVING_HOLD: Duration = Duration::from_secs(10);

/// The time for which a target that answered "draining" gets no work, unless it restarts; its status
/// may lag and still say that it takes work.
pub const DRAINING_HOLD: Duration = Duration::from_secs(10);

/// The period in which a target that accepts no connections is tried again.
pub const RECONNECT_PERIOD: Duration = Duration::from_millis(200);

/// The time for which a version that a target refused as not held counts as gone, whatever its
/// possibly stale status says.
pub const GONE_HOLD: Duration = Duration::from_secs(3);

/// The least time between connections that are opened in advance, so that a target that closes each
/// connection at once causes no busy loop.
pub const PREOPEN_PAUSE: Duration = Duration::from_millis(20);

/// The time since the last search within which connections are opened in advance of need.
pub const PREOPEN_WINDOW: Duration = Duration::from_secs(10);

/// Versions of which a target's holdings are kept at most; a target holds two or three at a time.
pub const HOLDINGS_MAX: usize = 64;

/// What a node knows of a target that it owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owned {
    /// The target's name.
    pub name: String,
    /// Where the target listens.
    pub address: SocketAddr,
    /// What the target bears.
    pub policy: policy::Target,
    /// The moment before which nothing may be dispatched, because an earlier owner may still do so.
    pub valid_from: Moment,
    /// Whether the target and its data centre are in service.
    pub in_service: bool,
}

/// The handle of a node's gateway; clones share it.
#[derive(Debug, Clone)]
pub struct Gateway {
    common: Arc<Common>,
}

/// What all actors of a gateway share.
#[derive(Debug)]
struct Common {
    clock: Clock,
    metrics: Metrics,
    /// Work may be dispatched before this moment, in microseconds of the clock.
    permit_until: AtomicU64,
    /// Counts the changes of ownership; an actor dispatches only if it knows the newest one.
    epoch: AtomicU64,
    /// Versions count as moving until this moment, in microseconds of the clock.
    moving_until: AtomicU64,
    owned: ArcSwap<HashMap<String, Entry>>,
    /// Held while the set of owned targets changes.
    owning: tokio::sync::Mutex<()>,
    /// Actors of targets that were given up while work still ran.
    closing: Mutex<HashMap<(String, SocketAddr), ActorRef<Message>>>,
    board: Mutex<Board>,
}

/// One actor as the gateway knows it.
#[derive(Debug, Clone)]
struct Entry {
    owned: Owned,
    actor: ActorRef<Message>,
}

/// The summaries of the owned targets, each with the mark of its last change.
#[derive(Debug, Default)]
struct Board {
    mark: u64,
    targets: HashMap<String, (u64, Summary)>,
}

/// A batch that was offered; dropping it cancels the subrequests that have no result yet.
#[must_use = "dropping the handle cancels the batch"]
#[derive(Debug)]
pub struct Offered {
    header: Arc<Header>,
    actors: SmallVec<[ActorRef<Message>; 8]>,
}

impl Drop for Offered {
    fn drop(&mut self) {
        if self.header.missing.load(Ordering::Acquire) == 0 {
            return;
        }
        for actor in &self.actors {
            // An actor that has ended has no job left to cancel.
            let _ended = actor.cast(Message::CancelBatch(Arc::clone(&self.header)));
        }
    }
}

/// What the subrequests of one batch share.
#[derive(Debug)]
struct Header {
    request: HeaderValue,
    deadline: Moment,
    priority: u8,
    idempotent: bool,
    body: Bytes,
    /// Subrequests without a result.
    missing: AtomicU32,
}

impl Gateway {
    /// Opens the gateway of a node that owns no target yet and holds no permit.
    pub fn open(clock: Clock, metrics: Metrics) -> Self {
        Self {
            common: Arc::new(Common {
                clock,
                metrics,
                permit_until: AtomicU64::new(0),
                epoch: AtomicU64::new(0),
                moving_until: AtomicU64::new(0),
                owned: ArcSwap::default(),
                owning: tokio::sync::Mutex::default(),
                closing: Mutex::default(),
                board: Mutex::default(),
            }),
        }
    }

    /// Allows dispatching before `until`; the moment of an earlier call no longer counts.
    pub fn permit(&self, until: Moment) {
        self.common
            .permit_until
            .store(until.as_micros(), Ordering::Release);
    }

    /// Stops dispatching at once, until [`Gateway::own`] has reached each target's actor.
    ///
    /// A permit that is given meanwhile reaches an actor only after the new ownership.
    pub fn suspend(&self) {
        self.common.epoch.fetch_add(1, Ordering::AcqRel);
        self.permit(Moment::ZERO);
    }

    /// Starts the subrequests of a batch; `reply` gets exactly one frame for each subrequest.
    pub fn offer(&self, batch: Batch, reply: &mpsc::UnboundedSender<Frame>) -> Offered {
        let now = self.common.clock.now();
        let request = HeaderValue::try_from(batch.request);
        let valid = request.is_ok();
        let header = Arc::new(Header {
            request: request.unwrap_or_else(|_| HeaderValue::from_static("")),
            deadline: now + Duration::from_micros(batch.remaining_us),
            priority: batch.priority,
            idempotent: batch.idempotent,
            body: batch.body,
            missing: AtomicU32::new(u32::try_from(batch.subrequests.len()).unwrap_or(u32::MAX)),
        });
        let owned = self.common.owned.load();
        let mut actors = SmallVec::new();
        for subrequest in batch.subrequests {
            let entry = owned.get(&subrequest.target).filter(|_| valid);
            let work = Work::new(&subrequest, Arc::clone(&header), reply.clone());
            let refused = match entry {
                None => Some((
                    work,
                    if valid {
                        Reason::NotOwner
                    } else {
                        Reason::BadRequestId
                    },
                )),
                Some(entry) => match entry.actor.cast(Message::Offer(work)) {
                    Ok(()) => {
                        actors.push(entry.actor.clone());
                        None
                    }
                    // The actor ended after ownership was lost.
                    Err(ractor::MessagingErr::SendErr(Message::Offer(work))) => {
                        Some((work, Reason::NotOwner))
                    }
                    Err(_) => None,
                },
            };
            if let Some((mut work, reason)) = refused {
                work.answer(
                    Outcome::Failure(reason),
                    Load::default(),
                    &self.common.metrics,
                );
            }
        }
        Offered { header, actors }
    }

    /// Cancels one subrequest of a request at the named target.
    pub fn cancel(&self, target: &str, request: &str, subrequest: u32) {
        let owned = self.common.owned.load();
        let Some(entry) = owned.get(target) else {
            return;
        };
        if let Ok(request) = HeaderValue::try_from(request) {
            // An actor that has ended has no job left to cancel.
            let _ended = entry.actor.cast(Message::Cancel {
                request,
                subrequest,
            });
        }
    }

    /// Takes over `targets` and gives up all others.
    ///
    /// A changed `valid_from` means that another node owned the target in between, so the target
    /// counts as cold; it must stay the same while the ownership continues.
    ///
    /// Work that runs at a target that is given up finishes; what is queued is refused.
    pub async fn own(&self, targets: Vec<Owned>) -> anyhow::Result<()> {
        let _alone = self.common.owning.lock().await;
        let epoch = self.common.epoch.load(Ordering::Acquire);
        let before = self.common.owned.load_full();
        let mut after = HashMap::with_capacity(targets.len());
        for owned in targets {
            let same = before
                .get(&owned.name)
                .filter(|entry| entry.owned.address == owned.address);
            let actor = if let Some(entry) = same {
                if entry.owned != owned {
                    // An actor runs until it has been removed from the map and from `closing`.
                    let _running = entry.actor.cast(Message::Own(owned.clone()));
                }
                entry.actor.clone()
            } else if let Some(actor) = self.common.reclaim(&owned) {
                actor
            } else {
                self.spawn(&owned).await?
            };
            after.insert(owned.name.clone(), Entry { owned, actor });
        }
        let given_up = before.iter().filter(|(name, entry)| {
            after
                .get(*name)
                .is_none_or(|kept: &Entry| kept.actor.get_id() != entry.actor.get_id())
        });
        let given_up: Vec<&Entry> = given_up.map(|(_, entry)| entry).collect();
        self.common
            .metrics
            .owned_targets
            .set(i64::try_from(after.len()).unwrap_or(i64::MAX));
        let after = Arc::new(after);
        self.common.owned.store(Arc::clone(&after));
        self.common
            .board()
            .targets
            .retain(|name, _| after.contains_key(name));
        for entry in given_up {
            self.common.disown(entry);
        }
        for entry in after.values() {
            // Messages keep their order, so the actor knows its ownership before it goes on.
            let _running = entry.actor.cast(Message::Resume(epoch));
        }
        Ok(())
    }

    /// Returns the summaries that changed after `since`, and the mark to ask with next time.
    ///
    /// A mark from another run of this process may exceed all marks of this one; it counts as zero.
    pub fn summaries(&self, since: u64) -> (Vec<Summary>, u64) {
        let board = self.common.board();
        let since = if since > board.mark { 0 } else { since };
        let changed = board.targets.values().filter(|(mark, _)| *mark > since);
        let changed = changed.map(|(_, summary)| summary.clone()).collect();
        (changed, board.mark)
    }

    /// Gives up all targets and waits until the running work has finished.
    pub async fn close(&self) {
        let owned = self.common.owned.swap(Arc::default());
        for entry in owned.values() {
            self.common.disown(entry);
        }
        let closing: Vec<_> = self.common.closing().values().cloned().collect();
        for actor in closing {
            // Waiting fails only if the actor has ended already.
            let _ended = actor.wait(None).await;
        }
        self.common.board().targets.clear();
    }

    async fn spawn(&self, owned: &Owned) -> anyhow::Result<ActorRef<Message>> {
        let arguments = (Arc::clone(&self.common), owned.clone());
        let (actor, _ended) = Actor::spawn(None, Worker, arguments).await?;
        Ok(actor)
    }
}

impl Common {
    fn permit_until(&self) -> Moment {
        Moment::from_micros(self.permit_until.load(Ordering::Acquire))
    }

    /// Notes that some target holds something new.
    fn set_moving(&self, now: Moment) {
        let until = (now + MOVING_HOLD).as_micros();
        self.moving_until.store(until, Ordering::Release);
    }

    /// Returns until when an actor that knows the ownership of `epoch` may dispatch.
    fn permit_of(&self, epoch: &AtomicU64) -> Moment {
        if epoch.load(Ordering::Acquire) == self.epoch.load(Ordering::Acquire) {
            self.permit_until()
        } else {
            Moment::ZERO
        }
    }

    /// Tells why a search must not be written now, if there is a reason.
    fn check(&self, epoch: &AtomicU64, deadline: Moment) -> Result<(), Reason> {
        let now = self.clock.now();
        if now >= self.permit_of(epoch) {
            Err(Reason::NoPermit)
        } else if now >= deadline {
            Err(Reason::Expired)
        } else {
            Ok(())
        }
    }

    /// Lets the actor of a target that is given up finish its work and end.
    fn disown(&self, entry: &Entry) {
        let key = (entry.owned.name.clone(), entry.owned.address);
        self.closing().insert(key, entry.actor.clone());
        // The actor runs until it removes itself from `closing`.
        let _running = entry.actor.cast(Message::Disown);
    }

    /// Returns the actor that still finishes earlier work of a target, with the new ownership.
    ///
    /// A second actor for the same target would not know which slots that work occupies.
    fn reclaim(&self, owned: &Owned) -> Option<ActorRef<Message>> {
        let mut closing = self.closing();
        let actor = closing.remove(&(owned.name.clone(), owned.address))?;
        actor.cast(Message::Own(owned.clone())).ok().map(|()| actor)
    }

    /// Tells whether the actor of a target that was given up may end; if not, it was reclaimed.
    fn release(&self, owned: &Owned) -> bool {
        let key = (owned.name.clone(), owned.address);
        self.closing().remove(&key).is_some()
    }

    fn closing(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<(String, SocketAddr), ActorRef<Message>>> {
        self.closing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn board(&self) -> std::sync::MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One subrequest on its way to its target.
#[derive(Debug)]
struct Work {
    header: Arc<Header>,
    subrequest: u32,
    attempt: u32,
    version: Version,
    shard: u32,
    /// Taken when the subrequest gets its result.
    reply: Option<mpsc::UnboundedSender<Frame>>,
    /// Whether the search was given to a connection.
    dispatched: bool,
    /// Whether the search was given back unsent by a kept connection before.
    resent: bool,
}

impl Drop for Work {
    /// Gives the subrequest its frame if its actor ended before the subrequest had a result.
    fn drop(&mut self) {
        let reason = if self.dispatched {
            Reason::ConnectionLost
        } else {
            Reason::NotOwner
        };
        self.send(Outcome::Failure(reason), Load::default());
    }
}

impl Work {
    fn new(
        subrequest: &Subrequest,
        header: Arc<Header>,
        reply: mpsc::UnboundedSender<Frame>,
    ) -> Self {
        Self {
            header,
            subrequest: subrequest.number,
            attempt: subrequest.attempt,
            version: subrequest.version,
            shard: subrequest.shard,
            reply: Some(reply),
            dispatched: false,
            resent: false,
        }
    }

    fn answer(&mut self, outcome: Outcome, load: Load, metrics: &Metrics) {
        if let (Outcome::Failure(reason), Some(_)) = (&outcome, &self.reply) {
            metrics.count_subrequest_failure(*reason);
        }
        self.send(outcome, load);
    }

    /// Sends the frame of the subrequest, unless it was sent before.
    fn send(&mut self, outcome: Outcome, load: Load) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        self.header.missing.fetch_sub(1, Ordering::Release);
        // A coordinator that no longer listens has no use for the result.
        let _unheard = reply.send(Frame {
            subrequest: self.subrequest,
            outcome,
            load,
        });
    }
}

new_key_type! {
    /// Identifies one connection of one actor.
    struct LinkKey;
}

/// What a call on a connection was made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Search(JobKey),
    Cancel,
    Status,
}

/// What an actor is told.
#[derive(Debug)]
enum Message {
    Offer(Work),
    /// Cancels one subrequest of a request.
    Cancel {
        request: HeaderValue,
        subrequest: u32,
    },
    /// Cancels all subrequests of a batch.
    CancelBatch(Arc<Header>),
    Link(LinkKey, ConnectionEvent<Purpose>),
    Own(Owned),
    Disown,
    /// The ownership of this epoch has been made known.
    Resume(u64),
    Tick,
    Poll,
    Retry,
}

/// The actor of one target.
#[derive(Debug)]
struct Worker;

/// The timer of an actor: the gate's wake-up time changes far more often than it comes.
#[derive(Debug, Default)]
struct Alarm {
    at: AtomicU64,
    earlier: Notify,
}

/// One connection as its actor knows it.
#[derive(Debug)]
struct Link {
    connection: Connection<Purpose>,
    /// What the connection is doing.
    purpose: Option<Purpose>,
    /// Whether the connection is known to have been established.
    opened: bool,
}

/// The state of an actor.
#[derive(Debug)]
struct State {
    common: Arc<Common>,
    /// The newest change of ownership that the actor knows.
    epoch: Arc<AtomicU64>,
    myself: ActorRef<Message>,
    owned: Owned,
    target: Target,
    gate: Gate,
    jobs: SlotMap<JobKey, Work>,
    links: SlotMap<LinkKey, Link>,
    /// Idle connections; the last used one is used first, so that surplus ones stay idle.
    idle: Vec<LinkKey>,
    alarm: Arc<Alarm>,
    _timer: AbortOnDropHandle<()>,
    alarm_at: Moment,
    holdings: Vec<Holding>,
    /// Versions that the target refused as not held, with the time of the refusal.
    gone: Vec<(Version, Moment)>,
    /// When the last regular status call was made.
    polled: Moment,
    /// The end of the time for which the target counts as draining, and its generation then.
    draining: Option<(Moment, Option<u64>)>,
    /// Whether the target was reached since the last failure to reach it.
    reachable: bool,
    /// Whether an attempt to reach the target again is scheduled.
    retrying: bool,
    last_search: Moment,
    last_preopen: Moment,
    disowned: bool,
    published: Option<(u64, Class)>,
}

/// The part of a summary whose change is worth telling other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Class {
    usable: bool,
    limit: u16,
    /// How full the queue is: empty, up to half, or more.
    queue: u8,
    /// The power of two of the latency.
    latency: u32,
}

impl Actor for Worker {
    type Msg = Message;
    type State = State;
    type Arguments = (Arc<Common>, Owned);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (common, owned): (Arc<Common>, Owned),
    ) -> Result<State, ActorProcessingErr> {
        let now = common.clock.now();
        let alarm = Arc::new(Alarm {
            at: AtomicU64::new(u64::MAX),
            earlier: Notify::new(),
        });
        let timer = run_alarm(Arc::clone(&alarm), common.clock, myself.clone());
        let mut state = State {
            gate: Gate::open(owned.policy, owned.valid_from, now),
            target: Target::new(owned.address),
            alarm,
            _timer: AbortOnDropHandle::new(tokio::spawn(timer)),
            epoch: Arc::new(AtomicU64::new(common.epoch.load(Ordering::Acquire))),
            common,
            myself,
            owned,
            jobs: SlotMap::with_key(),
            links: SlotMap::with_key(),
            idle: Vec::new(),
            alarm_at: Moment::NEVER,
            holdings: Vec::new(),
            gone: Vec::new(),
            polled: Moment::ZERO,
            draining: None,
            reachable: false,
            retrying: false,
            last_search: Moment::ZERO,
            last_preopen: Moment::ZERO,
            disowned: false,
            published: None,
        };
        if !state.owned.in_service {
            state.step(Event::Close(Reason::OutOfService), now);
        }
        state.myself.cast(Message::Poll)?;
        state
            .myself
            .send_interval(STATUS_PERIOD_MOVING, || Message::Poll);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.common.clock.now();
        match message {
            Message::Offer(work) => state.offer(work, now),
            Message::Cancel {
                request,
                subrequest,
            } => {
                state.cancel(now, |work| {
                    work.header.request == request && work.subrequest == subrequest
                });
            }
            Message::CancelBatch(header) => {
                state.cancel(now, |work| Arc::ptr_eq(&work.header, &header));
            }
            Message::Link(key, signal) => state.signal(key, signal, now),
            Message::Own(owned) => state.own(owned, now),
            Message::Disown => {
                state.disowned = true;
                state.step(Event::Close(Reason::NotOwner), now);
            }
            Message::Resume(epoch) => {
                state.epoch.store(epoch, Ordering::Release);
                state.step(Event::Tick, now);
            }
            Message::Tick => {
                state.alarm_at = Moment::NEVER;
                state.step(Event::Tick, now);
            }
            Message::Poll => state.poll_due(now),
            Message::Retry => {
                state.retrying = false;
                state.poll();
            }
        }
        state.arm(now);
        state.publish(now);
        if state.disowned && state.gate.is_idle() && state.common.release(&state.owned) {
            state.myself.stop(None);
        }
        Ok(())
    }
}

/// Sends a tick when the alarm's time has come, until the actor has ended.
async fn run_alarm(alarm: Arc<Alarm>, clock: Clock, actor: ActorRef<Message>) {
    loop {
        let at = Moment::from_micros(alarm.at.load(Ordering::Acquire));
        let sleep = tokio::time::sleep_until(clock.instant(at).into());
        tokio::select! {
            () = sleep => {}
            () = alarm.earlier.notified() => continue,
        }
        if alarm
            .at
            .compare_exchange(
                at.as_micros(),
                u64::MAX,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
            && actor.cast(Message::Tick).is_err()
        {
            return;
        }
    }
}

impl State {
    /// Lets the gate decide on an event and carries out what it decides.
    fn step(&mut self, event: Event, now: Moment) {
        let permit_until = self.common.permit_of(&self.epoch);
        for action in self.gate.step(event, now, permit_until) {
            match action {
                Action::Dispatch(key) => self.dispatch(key, now),
                Action::Refuse(key, reason) => {
                    if let Some(work) = self.jobs.remove(key) {
                        self.answer(work, Outcome::Failure(reason));
                    }
                }
                Action::Abort(key) => self.abort(key),
                Action::Release(key) => {
                    self.jobs.remove(key);
                    let busy = Some(Purpose::Search(key));
                    self.links.retain(|_, link| link.purpose != busy);
                }
            }
        }
    }

    fn offer(&mut self, work: Work, now: Moment) {
        let (deadline, priority) = (work.header.deadline, work.header.priority);
        let idempotent = work.header.idempotent;
        if work
            .reply
            .as_ref()
            .is_none_or(mpsc::UnboundedSender::is_closed)
        {
            return;
        }
        let key = self.jobs.insert(work);
        let job = Job {
            key,
            deadline,
            priority,
            idempotent,
        };
        self.step(Event::Offer(job), now);
    }

    fn cancel<F>(&mut self, now: Moment, matches: F)
    where
        F: Fn(&Work) -> bool,
    {
        let matching = self.jobs.iter().filter(|(_, work)| matches(work));
        let matching: SmallVec<[JobKey; 4]> = matching.map(|(key, _)| key).collect();
        for key in matching {
            self.step(Event::Cancel(key), now);
        }
    }

    fn dispatch(&mut self, key: JobKey, now: Moment) {
        let Some(work) = self.jobs.get_mut(key) else {
            return;
        };
        work.dispatched = true;
        let search = Operation::Search(Search {
            request_id: work.header.request.clone(),
            attempt: work.attempt,
            version: work.version,
            shard: work.shard,
            idempotent: work.header.idempotent,
            remaining: now.until(work.header.deadline),
            deadline: work.header.deadline,
            body: work.header.body.clone(),
        });
        self.last_search = now;
        self.common.metrics.dispatches.inc();
        if self.call(Purpose::Search(key), search).is_err() {
            // All connections are in use, for example by control calls. The target is not at fault,
            // so the reason must not make it cold.
            self.finish(key, OperationOutcome::Refused(Reason::QueueFull), None, now);
        }
    }

    /// Makes a call on an idle connection, or on a new one; gives it back if neither is possible.
    fn call(&mut self, purpose: Purpose, mut operation: Operation) -> Result<(), Operation> {
        while let Some(key) = self.idle.pop() {
            let Some(link) = self.links.get_mut(key) else {
                continue;
            };
            match link.connection.start(purpose, operation) {
                Ok(()) => {
                    link.purpose = Some(purpose);
                    return Ok(());
                }
                // The signal that this connection has ended is on its way.
                Err((_, unsent)) => operation = unsent,
            }
        }
        let policy = &self.owned.policy;
        let max = policy
            .connections
            .min(policy.slots.saturating_add(SPARE_CONNECTIONS));
        if self.links.len() >= usize::from(max) {
            return Err(operation);
        }
        self.connect(Some((purpose, operation)));
        Ok(())
    }

    fn connect(&mut self, first: Option<(Purpose, Operation)>) {
        self.common.metrics.target_connections.inc();
        let purpose = first.as_ref().map(|(purpose, _)| *purpose);
        let (common, myself) = (Arc::clone(&self.common), self.myself.clone());
        let epoch = Arc::clone(&self.epoch);
        let target = &self.target;
        self.links.insert_with_key(|key| Link {
            connection: Connection::open(
                target,
                first,
                move |deadline| common.check(&epoch, deadline),
                move |signal| {
                    // The actor ends before its connections only when nothing runs.
                    let _ended = myself.cast(Message::Link(key, signal));
                },
            ),
            purpose,
            opened: false,
        });
    }

    fn signal(&mut self, key: LinkKey, signal: ConnectionEvent<Purpose>, now: Moment) {
        match signal {
            ConnectionEvent::Opened => {
                self.reached(now);
                if let Some(link) = self.links.get_mut(key) {
                    link.opened = true;
                    if link.purpose.is_none() {
                        self.idle.push(key);
                    }
                }
            }
            ConnectionEvent::Done(purpose, reply) => {
                if let Some(link) = self.links.get_mut(key) {
                    link.purpose = None;
                    self.idle.push(key);
                }
                self.replied(purpose, reply, now);
            }
            ConnectionEvent::Closed(call) => {
                let opened = self.links.remove(key).is_some_and(|link| link.opened);
                self.idle.retain(|idle| *idle != key);
                let unanswered = call.as_ref().is_none_or(|(_, reply)| {
                    matches!(
                        reply.outcome,
                        OperationOutcome::Failed | OperationOutcome::Refused(Reason::NotSent)
                    )
                });
                if unanswered && opened {
                    // A target that ends connections may have been restarted.
                    self.step(Event::Suspect, now);
                } else if unanswered {
                    self.unreached(now);
                }
                if let Some((purpose, reply)) = call
                    && !(opened && self.resend(purpose, &reply, now))
                {
                    self.replied(purpose, reply, now);
                }
            }
        }
        self.preopen(now);
    }

    /// Sends a search once more if a kept connection ended before the search was written.
    fn resend(&mut self, purpose: Purpose, reply: &Reply, now: Moment) -> bool {
        let Purpose::Search(key) = purpose else {
            return false;
        };
        if !matches!(reply.outcome, OperationOutcome::Refused(Reason::NotSent)) {
            return false;
        }
        let Some(work) = self.jobs.get_mut(key).filter(|work| !work.resent) else {
            return false;
        };
        if work.reply.is_none() {
            return false;
        }
        work.resent = true;
        self.dispatch(key, now);
        true
    }

    /// Handles the reply to a call.
    fn replied(&mut self, purpose: Purpose, reply: Reply, now: Moment) {
        match purpose {
            Purpose::Search(key) => self.finish(key, reply.outcome, reply.generation, now),
            // The search itself is answered when it has ended; only that frees its slot.
            Purpose::Cancel => {}
            Purpose::Status => {
                // A failed status call says nothing beyond the end of its connection.
                if let OperationOutcome::Status(status) = reply.outcome {
                    self.take_status(status, now);
                }
            }
        }
    }

    /// Ends a search and passes its result on.
    fn finish(
        &mut self,
        key: JobKey,
        outcome: OperationOutcome,
        generation: Option<u64>,
        now: Moment,
    ) {
        let Some(work) = self.jobs.remove(key) else {
            return;
        };
        if let (Some(generation), OperationOutcome::Refused(_) | OperationOutcome::Lost(_)) =
            (generation, &outcome)
        {
            self.step(Event::Generation(generation), now);
        }
        let (outcome, result) = match outcome {
            OperationOutcome::Answer(outcome) => {
                self.hold(work.version, work.shard);
                (outcome, Completion::Answered { generation })
            }
            OperationOutcome::Refused(reason) => {
                match reason {
                    Reason::VersionGone => self.drop_version(work.version, now),
                    Reason::Draining => self.drain(now),
                    _ => {}
                }
                (Outcome::Failure(reason), Completion::Refused(reason))
            }
            OperationOutcome::Lost(reason) => (Outcome::Failure(reason), Completion::Lost(reason)),
            OperationOutcome::Cancelled
            | OperationOutcome::Status(_)
            | OperationOutcome::Failed => {
                unreachable!("a search gets the answer to a search")
            }
        };
        self.step(Event::Finished { key, result }, now);
        self.answer(work, outcome);
    }

    fn answer(&self, mut work: Work, outcome: Outcome) {
        work.answer(outcome, self.gate.load(), &self.common.metrics);
    }

    /// Answers a running job that nobody waits for any longer, and cancels it at the target.
    fn abort(&mut self, key: JobKey) {
        let load = self.gate.load();
        let Some(work) = self.jobs.get_mut(key) else {
            return;
        };
        work.answer(
            Outcome::Failure(Reason::Timeout),
            load,
            &self.common.metrics,
        );
        let cancel = Operation::Cancel {
            request_id: work.header.request.clone(),
            attempt: work.attempt,
        };
        let busy = Some(Purpose::Search(key));
        let mut links = self.links.iter();
        if let Some((unopened, _)) = links.find(|(_, link)| link.purpose == busy && !link.opened) {
            // Without the connection that is still being opened, the search is not sent late.
            self.links.remove(unopened);
            return;
        }
        // Without a free connection, the hold of the slot ends by time.
        let _busy = self.call(Purpose::Cancel, cancel);
    }

    fn own(&mut self, owned: Owned, now: Moment) {
        if owned.policy != self.owned.policy {
            self.step(Event::Policy(owned.policy), now);
        }
        let reopened = self.disowned || owned.in_service && !self.owned.in_service;
        self.disowned = false;
        if reopened || owned.valid_from != self.owned.valid_from {
            self.step(Event::Reopen(owned.valid_from), now);
        }
        if !owned.in_service {
            self.step(Event::Close(Reason::OutOfService), now);
        } else if self.draining.is_some() {
            self.step(Event::Close(Reason::Draining), now);
        }
        self.owned = owned;
        self.published = None;
    }

    /// Asks for the target's status.
    /// Makes a status call if the last one is a period ago.
    fn poll_due(&mut self, now: Moment) {
        let moving = now < Moment::from_micros(self.common.moving_until.load(Ordering::Acquire));
        // Half a tick of the interval, so that its jitter skips no call.
        let slack = STATUS_PERIOD_MOVING / 2;
        if moving || now.since(self.polled) + slack >= STATUS_PERIOD {
            self.polled = now;
            self.poll();
        }
    }

    fn poll(&mut self) {
        let polling = self
            .links
            .values()
            .any(|link| link.purpose == Some(Purpose::Status));
        if !polling && !self.disowned {
            // Without a free connection the target is busy, and its searches observe it.
            let _busy = self.call(Purpose::Status, Operation::Status);
        }
    }

    fn take_status(&mut self, status: Status, now: Moment) {
        let ramp = self.gate.ramp();
        let known = ramp.generation();
        if known.is_none() {
            self.step(Event::Generation(status.generation), now);
        } else if (status.cold || known != Some(status.generation)) && ramp.stage() != Stage::Cold {
            // The status may be stale or wrong, so searches decide whether the target turned cold.
            self.step(Event::Suspect, now);
        }
        self.gone
            .retain(|(_, refused)| now.since(*refused) < GONE_HOLD);
        if !self.holdings.is_empty() && self.holdings != status.holdings {
            self.common.set_moving(now);
        }
        self.holdings = status.holdings;
        self.holdings.truncate(HOLDINGS_MAX);
        // What the target refused recently counts more than its possibly stale status.
        let gone = &self.gone;
        self.holdings
            .retain(|holding| gone.iter().all(|(version, _)| *version != holding.version));
        if !status.serving {
            self.drain(now);
        } else if self.draining.is_some_and(|(until, generation)| {
            now >= until || generation != Some(status.generation)
        }) {
            self.draining = None;
            if self.owned.in_service && !self.disowned {
                self.step(Event::Reopen(self.owned.valid_from), now);
            }
        }
    }

    /// Notes an answer as proof that the target holds a version.
    fn hold(&mut self, version: Version, shard: u32) {
        let held = self
            .holdings
            .iter()
            .any(|holding| holding.version == version && holding.shard == shard);
        if !held {
            self.gone.retain(|(gone, _)| *gone != version);
        }
    }

    fn drop_version(&mut self, version: Version, now: Moment) {
        self.holdings.retain(|holding| holding.version != version);
        self.gone.retain(|(gone, _)| *gone != version);
        self.gone.push((version, now));
        self.common.set_moving(now);
    }

    fn drain(&mut self, now: Moment) {
        self.draining = Some((now + DRAINING_HOLD, self.gate.ramp().generation()));
        if self.gate.closed().is_none() {
            self.step(Event::Close(Reason::Draining), now);
        }
    }

    /// Notes that the target accepts connections.
    fn reached(&mut self, now: Moment) {
        self.reachable = true;
        if self.gate.closed() == Some(Reason::NotSent) {
            self.step(Event::Reopen(self.owned.valid_from), now);
        }
    }

    /// Refuses work at once while the target accepts no connections, so that replicas are tried.
    fn unreached(&mut self, now: Moment) {
        self.reachable = false;
        if self.gate.closed().is_none() {
            self.step(Event::Close(Reason::NotSent), now);
        }
        if !self.retrying && !self.disowned {
            self.retrying = true;
            self.myself.send_after(RECONNECT_PERIOD, || Message::Retry);
        }
    }

    /// Opens connections before they are needed, as many as may run at once.
    fn preopen(&mut self, now: Moment) {
        let busy = now.since(self.last_search) < PREOPEN_WINDOW;
        let warm = self.gate.ramp().stage() != Stage::Cold;
        let wanted = self.gate.load().limit.min(self.owned.policy.connections);
        let rested = now.since(self.last_preopen) >= PREOPEN_PAUSE;
        let missing = self.links.len() < usize::from(wanted);
        if busy && warm && rested && self.reachable && missing {
            self.last_preopen = now;
            self.connect(None);
        }
    }

    fn arm(&mut self, now: Moment) {
        // The target becomes usable when the ownership becomes valid.
        let valid = (now < self.owned.valid_from).then_some(self.owned.valid_from);
        let Some(wake) = self.gate.wake().into_iter().chain(valid).min() else {
            return;
        };
        // The alarm is only ever moved forward; a tick that comes early does no harm.
        if wake < self.alarm_at {
            self.alarm_at = wake;
            self.alarm.at.store(wake.as_micros(), Ordering::Release);
            self.alarm.earlier.notify_one();
        }
    }

    fn publish(&mut self, now: Moment) {
        if self.disowned {
            return;
        }
        let load = self.gate.load();
        // Before that moment an earlier owner may still dispatch, and the gate refuses all work.
        let valid = now >= self.owned.valid_from;
        let usable = valid && self.reachable && self.gate.closed().is_none();
        let class = Class {
            usable,
            limit: load.limit,
            queue: match load.queued {
                0 => 0,
                queued if queued <= self.owned.policy.queue / 2 => 1,
                _ => 2,
            },
            latency: load.latency_us.checked_ilog2().unwrap_or(0),
        };
        let holdings = digest(&self.holdings);
        if self.published == Some((holdings, class)) {
            return;
        }
        let summary = Summary {
            target: self.owned.name.clone(),
            usable,
            holdings: self.holdings.clone(),
            load,
        };
        let mut board = self.common.board();
        // Another actor may have taken over the name, or the target may have been given up.
        let owned = self.common.owned.load();
        let current = owned.get(&self.owned.name);
        if current.is_none_or(|entry| entry.actor.get_id() != self.myself.get_id()) {
            return;
        }
        board.mark += 1;
        let mark = board.mark;
        board
            .targets
            .insert(self.owned.name.clone(), (mark, summary));
        self.published = Some((holdings, class));
    }
}

/// Condenses holdings, so that publishing compares two numbers for each answer.
fn digest(holdings: &[Holding]) -> u64 {
    holdings.iter().fold(0, |digest, holding| {
        let words = [
            holding.version.0,
            holding.shard.into(),
            holding.shards.into(),
        ];
        words.iter().fold(digest, |digest: u64, word| {
            (digest ^ word)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .rotate_left(29)
        })
    })
}
