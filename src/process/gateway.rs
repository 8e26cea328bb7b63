//! The gateway of a node: sends subrequests to the targets that the node owns.
//!
//! Each owned target has one actor. The actor passes events to the target's [`Gate`], which decides what is
//! dispatched, queued or refused, and carries out the decisions on its pool of connections. Only the owner of
//! a target connects to it; see `docs/design.md`, section 5, and
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
use crate::connection::memory::Budget;
use crate::connection::target::{
    ANSWERS_MAX_BYTES, Connection, ConnectionEvent, Operation, OperationOutcome, Reply, Search,
    Status, Target,
};
use crate::time::{Clock, Moment};
use crate::version::policy;
use crate::wire::exchange::{Holding, Summary};
use crate::wire::{Batch, Frame, Load, Outcome, Reason, Subrequest, Version};

/// Number of connections to a target beyond one per slot. They carry status and cancel calls while all slots
/// are in use.
pub const SPARE_CONNECTIONS: u16 = 2;

/// Period of status calls to a target. They detect new versions and restarts of idle targets; everything else
/// is observed earlier from the answers to searches.
pub const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// Period of status calls while a version rollout is under way.
pub const ROLLOUT_STATUS_PERIOD: Duration = Duration::from_millis(200);

/// How long a version rollout counts as under way after the holdings of any target of the node changed.
///
/// The targets of an index switch to a new version one after the other. A query can use a version only once
/// the node knows which targets hold it, so after a change at one target the others are asked more often.
pub const ROLLOUT_HOLD: Duration = Duration::from_secs(10);

/// How long a target gets no work after an answer or a status said that it is draining, unless it restarts.
/// A later status may be stale and still say that it accepts work.
pub const DRAINING_HOLD: Duration = Duration::from_secs(10);

/// Delay between attempts to connect to a target that accepts no connections.
pub const RECONNECT_PERIOD: Duration = Duration::from_millis(200);

/// How long a version that a target refused as not held counts as gone at that target. Its status, which may
/// be stale, does not override this.
pub const VERSION_GONE_HOLD: Duration = Duration::from_secs(3);

/// Minimum time between two connections that are opened in advance. It prevents a busy loop when a target
/// closes each connection at once.
pub const PREOPEN_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// Connections are opened in advance only if the last search started within this time.
pub const PREOPEN_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of holdings kept per target. A holding is a pair of a version and a shard, and a target
/// holds two or three versions at a time.
pub const HOLDINGS_MAX: usize = 64;

/// A target that the node owns, with its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedTarget {
    /// The target's name.
    pub name: String,
    /// The address on which the target listens for searches.
    pub address: SocketAddr,
    /// The limits on the load of the target.
    pub policy: policy::Target,
    /// Nothing may be dispatched before this moment, because an earlier owner may still dispatch.
    pub valid_from: Moment,
    /// Whether the target and its data centre are in service.
    pub in_service: bool,
}

/// A handle to the gateway of a node. Clones refer to the same gateway.
#[derive(Debug, Clone)]
pub struct Gateway {
    shared: Arc<Shared>,
}

/// The state that all actors of a gateway share.
#[derive(Debug)]
struct Shared {
    clock: Clock,
    metrics: Metrics,
    /// The end of the node's permit to dispatch, in microseconds of the clock.
    permit_until_us: AtomicU64,
    /// Number of the latest change of ownership. An actor dispatches only if it has seen this change.
    epoch: AtomicU64,
    /// A version rollout counts as under way until this moment, in microseconds of the clock.
    rollout_until_us: AtomicU64,
    /// The owned targets by name.
    owned: ArcSwap<HashMap<String, TargetHandle>>,
    /// Serialises changes of the set of owned targets.
    ownership_change: tokio::sync::Mutex<()>,
    /// Actors of targets that were given up and whose running searches have not all ended.
    closing: Mutex<HashMap<(String, SocketAddr), ActorRef<Message>>>,
    summaries: Mutex<SummaryTable>,
    /// The memory for the answers of all owned targets.
    answers: Budget,
}

/// An owned target and the actor that serves it.
#[derive(Debug, Clone)]
struct TargetHandle {
    owned: OwnedTarget,
    actor: ActorRef<Message>,
}

/// The summaries of the owned targets, each with the sequence number of its last change.
#[derive(Debug, Default)]
struct SummaryTable {
    /// The sequence number of the latest change of any summary.
    sequence: u64,
    targets: HashMap<String, (u64, Summary)>,
}

/// Keeps a batch running. Dropping the guard cancels the subrequests that have no result yet.
#[must_use = "dropping the guard cancels the batch"]
#[derive(Debug)]
pub struct BatchGuard {
    context: Arc<BatchContext>,
    actors: SmallVec<[ActorRef<Message>; 8]>,
}

impl Drop for BatchGuard {
    fn drop(&mut self) {
        if self.context.unanswered.load(Ordering::Acquire) == 0 {
            return;
        }
        for actor in &self.actors {
            // The send fails only if the actor has ended, and then it has no subrequest left to cancel.
            let _ended = actor.cast(Message::CancelBatch(Arc::clone(&self.context)));
        }
    }
}

/// The data that the subrequests of one batch share.
#[derive(Debug)]
struct BatchContext {
    request_id: HeaderValue,
    deadline: Moment,
    priority: u8,
    idempotent: bool,
    body: Bytes,
    /// Number of subrequests that have no result yet.
    unanswered: AtomicU32,
}

impl Gateway {
    /// Opens the gateway of a node that owns no target yet and holds no permit.
    pub fn open(clock: Clock, metrics: Metrics) -> Self {
        Self {
            shared: Arc::new(Shared {
                clock,
                metrics,
                permit_until_us: AtomicU64::new(0),
                epoch: AtomicU64::new(0),
                rollout_until_us: AtomicU64::new(0),
                owned: ArcSwap::default(),
                ownership_change: tokio::sync::Mutex::default(),
                closing: Mutex::default(),
                summaries: Mutex::default(),
                answers: Budget::open(ANSWERS_MAX_BYTES),
            }),
        }
    }

    /// Allows dispatching before `until`. Replaces the limit of an earlier call.
    pub fn set_permit(&self, until: Moment) {
        self.shared
            .permit_until_us
            .store(until.as_micros(), Ordering::Release);
    }

    /// Stops dispatching at once. Each actor resumes when it receives the next
    /// [`Gateway::set_owned_targets`].
    ///
    /// A permit that is set in between takes effect for an actor only together with the new ownership.
    pub fn suspend(&self) {
        self.shared.epoch.fetch_add(1, Ordering::AcqRel);
        self.set_permit(Moment::ZERO);
    }

    /// Passes the subrequests of a batch to the actors of their targets. `frames` receives exactly one frame
    /// for each subrequest.
    pub fn offer(&self, batch: Batch, frames: &mpsc::UnboundedSender<Frame>) -> BatchGuard {
        let now = self.shared.clock.now();
        let request_id = HeaderValue::try_from(batch.request);
        let valid_request_id = request_id.is_ok();
        let context = Arc::new(BatchContext {
            request_id: request_id.unwrap_or_else(|_| HeaderValue::from_static("")),
            deadline: now + Duration::from_micros(batch.remaining_us),
            priority: batch.priority,
            idempotent: batch.idempotent,
            body: batch.body,
            unanswered: AtomicU32::new(u32::try_from(batch.subrequests.len()).unwrap_or(u32::MAX)),
        });
        let owned = self.shared.owned.load();
        let mut actors = SmallVec::new();
        for subrequest in batch.subrequests {
            let handle = owned.get(&subrequest.target).filter(|_| valid_request_id);
            let pending = PendingSubrequest::new(&subrequest, Arc::clone(&context), frames.clone());
            let refusal = match handle {
                None => Some((
                    pending,
                    if valid_request_id {
                        Reason::NotOwner
                    } else {
                        Reason::BadRequestId
                    },
                )),
                Some(handle) => match handle.actor.cast(Message::Offer(pending)) {
                    Ok(()) => {
                        actors.push(handle.actor.clone());
                        None
                    }
                    // The actor has ended because the node gave up the target.
                    Err(ractor::MessagingErr::SendErr(Message::Offer(pending))) => {
                        Some((pending, Reason::NotOwner))
                    }
                    Err(_) => None,
                },
            };
            if let Some((mut pending, reason)) = refusal {
                pending.answer(
                    Outcome::Failure(reason),
                    Load::default(),
                    &self.shared.metrics,
                );
            }
        }
        BatchGuard { context, actors }
    }

    /// Cancels one subrequest of a request at the named target. Does nothing if the target is not owned.
    pub fn cancel(&self, target: &str, request: &str, subrequest: u32) {
        let owned = self.shared.owned.load();
        let Some(handle) = owned.get(target) else {
            return;
        };
        if let Ok(request_id) = HeaderValue::try_from(request) {
            // The send fails only if the actor has ended, and then it has no subrequest left to cancel.
            let _ended = handle.actor.cast(Message::Cancel {
                request_id,
                subrequest,
            });
        }
    }

    /// Makes `targets` the set of owned targets and gives up all others.
    ///
    /// `valid_from` of a target must stay the same while the node owns it without interruption. A changed
    /// value means that another node owned the target in between, so the target counts as cold.
    ///
    /// Searches that run at a target that is given up finish; queued subrequests are refused.
    pub async fn set_owned_targets(&self, targets: Vec<OwnedTarget>) -> anyhow::Result<()> {
        let _exclusive = self.shared.ownership_change.lock().await;
        let epoch = self.shared.epoch.load(Ordering::Acquire);
        let before = self.shared.owned.load_full();
        let mut after = HashMap::with_capacity(targets.len());
        for owned in targets {
            let unchanged_address = before
                .get(&owned.name)
                .filter(|handle| handle.owned.address == owned.address);
            let actor = if let Some(handle) = unchanged_address {
                if handle.owned != owned {
                    // The send succeeds, because an actor runs until it is in neither the map nor `closing`.
                    let _running = handle.actor.cast(Message::SetOwned(owned.clone()));
                }
                handle.actor.clone()
            } else if let Some(actor) = self.shared.reclaim(&owned) {
                actor
            } else {
                self.spawn(&owned).await?
            };
            after.insert(owned.name.clone(), TargetHandle { owned, actor });
        }
        let given_up = before.iter().filter(|(name, handle)| {
            after
                .get(*name)
                .is_none_or(|kept: &TargetHandle| kept.actor.get_id() != handle.actor.get_id())
        });
        let given_up: Vec<&TargetHandle> = given_up.map(|(_, handle)| handle).collect();
        self.shared
            .metrics
            .owned_targets
            .set(i64::try_from(after.len()).unwrap_or(i64::MAX));
        let after = Arc::new(after);
        self.shared.owned.store(Arc::clone(&after));
        self.shared
            .lock_summaries()
            .targets
            .retain(|name, _| after.contains_key(name));
        for handle in given_up {
            self.shared.give_up(handle);
        }
        for handle in after.values() {
            // An actor handles messages in order, so it sees its new ownership before it resumes.
            let _running = handle.actor.cast(Message::Resume(epoch));
        }
        Ok(())
    }

    /// Returns the summaries that changed after sequence number `since`, and the number to pass next time.
    ///
    /// A number that exceeds all numbers of this process was issued before a restart; it counts as zero.
    pub fn summaries(&self, since: u64) -> (Vec<Summary>, u64) {
        let summaries = self.shared.lock_summaries();
        let since = if since > summaries.sequence { 0 } else { since };
        let changed = summaries
            .targets
            .values()
            .filter(|(sequence, _)| *sequence > since);
        let changed = changed.map(|(_, summary)| summary.clone()).collect();
        (changed, summaries.sequence)
    }

    /// Gives up all targets and waits until the running searches have ended.
    pub async fn close(&self) {
        let owned = self.shared.owned.swap(Arc::default());
        for handle in owned.values() {
            self.shared.give_up(handle);
        }
        let closing: Vec<_> = self.shared.lock_closing().values().cloned().collect();
        for actor in closing {
            // Waiting fails only if the actor has ended already.
            let _ended = actor.wait(None).await;
        }
        self.shared.lock_summaries().targets.clear();
    }

    async fn spawn(&self, owned: &OwnedTarget) -> anyhow::Result<ActorRef<Message>> {
        let arguments = (Arc::clone(&self.shared), owned.clone());
        let (actor, _ended) = Actor::spawn(None, TargetActor, arguments).await?;
        Ok(actor)
    }
}

impl Shared {
    fn permit_until(&self) -> Moment {
        Moment::from_micros(self.permit_until_us.load(Ordering::Acquire))
    }

    /// Records that the holdings of a target changed, so that the actors make status calls more often.
    fn note_rollout(&self, now: Moment) {
        let until = (now + ROLLOUT_HOLD).as_micros();
        self.rollout_until_us.store(until, Ordering::Release);
    }

    /// Returns the end of the permit for an actor whose latest known change of ownership is `epoch`. Returns
    /// [`Moment::ZERO`] if there is a later change.
    fn permit_for_epoch(&self, epoch: &AtomicU64) -> Moment {
        if epoch.load(Ordering::Acquire) == self.epoch.load(Ordering::Acquire) {
            self.permit_until()
        } else {
            Moment::ZERO
        }
    }

    /// Returns an error with the reason if a search with this deadline must not be written to a connection
    /// now.
    fn check_dispatch(&self, epoch: &AtomicU64, deadline: Moment) -> Result<(), Reason> {
        let now = self.clock.now();
        if now >= self.permit_for_epoch(epoch) {
            Err(Reason::NoPermit)
        } else if now >= deadline {
            Err(Reason::Expired)
        } else {
            Ok(())
        }
    }

    /// Tells the actor of a target that it is given up. The actor ends after its running searches.
    fn give_up(&self, handle: &TargetHandle) {
        let key = (handle.owned.name.clone(), handle.owned.address);
        self.lock_closing().insert(key, handle.actor.clone());
        // The send succeeds, because the actor runs until it removes itself from `closing`.
        let _running = handle.actor.cast(Message::GiveUp);
    }

    /// Gives a target back to its former actor if that actor still has running searches.
    ///
    /// A new actor for the same target would not know which slots those searches occupy.
    fn reclaim(&self, owned: &OwnedTarget) -> Option<ActorRef<Message>> {
        let mut closing = self.lock_closing();
        let actor = closing.remove(&(owned.name.clone(), owned.address))?;
        actor
            .cast(Message::SetOwned(owned.clone()))
            .ok()
            .map(|()| actor)
    }

    /// Returns whether the actor of a target that was given up may end. Returns false if it was reclaimed.
    fn finish_closing(&self, owned: &OwnedTarget) -> bool {
        let key = (owned.name.clone(), owned.address);
        self.lock_closing().remove(&key).is_some()
    }

    fn lock_closing(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<(String, SocketAddr), ActorRef<Message>>> {
        self.closing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_summaries(&self) -> std::sync::MutexGuard<'_, SummaryTable> {
        self.summaries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A subrequest that an actor has received and not yet removed from its jobs.
#[derive(Debug)]
struct PendingSubrequest {
    context: Arc<BatchContext>,
    subrequest: u32,
    attempt: u32,
    version: Version,
    shard: u32,
    /// The channel for the result, which is sent as one frame; `None` once it was sent.
    frames: Option<mpsc::UnboundedSender<Frame>>,
    /// Whether the search was passed to a connection.
    dispatched: bool,
    /// Whether the search was dispatched a second time because its first connection had ended unused.
    resent: bool,
}

impl Drop for PendingSubrequest {
    /// Sends a failure if the actor ended before the subrequest had a result.
    fn drop(&mut self) {
        let reason = if self.dispatched {
            Reason::ConnectionLost
        } else {
            Reason::NotOwner
        };
        self.send(Outcome::Failure(reason), Load::default());
    }
}

impl PendingSubrequest {
    fn new(
        subrequest: &Subrequest,
        context: Arc<BatchContext>,
        frames: mpsc::UnboundedSender<Frame>,
    ) -> Self {
        Self {
            context,
            subrequest: subrequest.number,
            attempt: subrequest.attempt,
            version: subrequest.version,
            shard: subrequest.shard,
            frames: Some(frames),
            dispatched: false,
            resent: false,
        }
    }

    fn answer(&mut self, outcome: Outcome, load: Load, metrics: &Metrics) {
        if let (Outcome::Failure(reason), Some(_)) = (&outcome, &self.frames) {
            metrics.count_subrequest_failure(*reason);
        }
        self.send(outcome, load);
    }

    /// Sends the frame of the subrequest, unless it was sent before.
    fn send(&mut self, outcome: Outcome, load: Load) {
        let Some(frames) = self.frames.take() else {
            return;
        };
        self.context.unanswered.fetch_sub(1, Ordering::Release);
        // The send fails only if the coordinator has stopped waiting for results.
        let _unheard = frames.send(Frame {
            subrequest: self.subrequest,
            outcome,
            load,
        });
    }
}

new_key_type! {
    /// Identifies a connection in the pool of an actor.
    struct ConnectionKey;
}

/// The purpose of a call to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Search(JobKey),
    Cancel,
    Status,
}

/// The messages that an actor receives.
#[derive(Debug)]
enum Message {
    /// Dispatch, queue or refuse a subrequest.
    Offer(PendingSubrequest),
    /// Cancel one subrequest of a request.
    Cancel {
        request_id: HeaderValue,
        subrequest: u32,
    },
    /// Cancel all subrequests of a batch.
    CancelBatch(Arc<BatchContext>),
    /// A connection was established, finished a call or ended.
    Connection(ConnectionKey, ConnectionEvent<Purpose>),
    /// The node owns the target with these settings.
    SetOwned(OwnedTarget),
    /// The node no longer owns the target. The actor ends after its running searches.
    GiveUp,
    /// The actor has received all changes of ownership up to this epoch, and may dispatch again.
    Resume(u64),
    /// The timer has expired.
    Tick,
    /// Start a status call if one is due.
    PollStatus,
    /// Start a status call to find out whether the target accepts connections again.
    Reconnect,
}

/// The actor of one target.
#[derive(Debug)]
struct TargetActor;

/// The timer of an actor. It can be moved without starting a new task, because the next tick of the gate is
/// rescheduled far more often than it is reached.
#[derive(Debug, Default)]
struct TickTimer {
    /// The moment at which the timer expires, in microseconds of the clock; `u64::MAX` if it is not set.
    due_us: AtomicU64,
    /// Notified when `due_us` was set to an earlier moment.
    moved_earlier: Notify,
}

/// A connection in the pool of an actor.
#[derive(Debug)]
struct PooledConnection {
    connection: Connection<Purpose>,
    /// The purpose of the running call; `None` if the connection is idle.
    purpose: Option<Purpose>,
    /// Whether the connection reported that it was established.
    established: bool,
}

/// The state of an actor.
#[derive(Debug)]
struct State {
    shared: Arc<Shared>,
    /// The number of the latest change of ownership that the actor has received.
    epoch: Arc<AtomicU64>,
    myself: ActorRef<Message>,
    owned: OwnedTarget,
    target: Target,
    gate: Gate,
    jobs: SlotMap<JobKey, PendingSubrequest>,
    connections: SlotMap<ConnectionKey, PooledConnection>,
    /// Idle connections, the most recently used last. That one is used first, so that surplus connections
    /// stay idle.
    idle: Vec<ConnectionKey>,
    timer: Arc<TickTimer>,
    _timer_task: AbortOnDropHandle<()>,
    /// The moment for which the timer is set; [`Moment::NEVER`] if it is not set.
    timer_due: Moment,
    /// The versions and shards that the target held according to its last status.
    holdings: Vec<Holding>,
    /// Versions that the target refused as not held, with the moment of the refusal.
    refused_versions: Vec<(Version, Moment)>,
    /// The moment of the last periodic status call.
    last_status_call: Moment,
    /// While the target counts as draining: the moment at which this ends, and the generation of the target
    /// when it began. Another generation ends it too.
    draining: Option<(Moment, Option<u64>)>,
    /// Whether a connection was established since the last failure to connect.
    reachable: bool,
    /// Whether a [`Message::Reconnect`] is on its way.
    reconnect_scheduled: bool,
    /// The moment at which a search was last dispatched.
    last_search: Moment,
    /// The moment at which a connection was last opened in advance.
    last_preopen: Moment,
    /// Whether the node no longer owns the target.
    given_up: bool,
    /// The hash of the holdings and the class of the last published summary; `None` to publish in any case.
    last_published: Option<(u64, SummaryClass)>,
}

/// The part of a summary, in coarse steps, whose change is reported to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SummaryClass {
    usable: bool,
    limit: u16,
    /// The fill level of the queue: 0 is empty, 1 is up to half full, 2 is more.
    queue: u8,
    /// The base-2 logarithm of the latency in microseconds, rounded down.
    latency: u32,
}

impl Actor for TargetActor {
    type Msg = Message;
    type State = State;
    type Arguments = (Arc<Shared>, OwnedTarget);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (shared, owned): (Arc<Shared>, OwnedTarget),
    ) -> Result<State, ActorProcessingErr> {
        let now = shared.clock.now();
        let timer = Arc::new(TickTimer {
            due_us: AtomicU64::new(u64::MAX),
            moved_earlier: Notify::new(),
        });
        let timer_task = run_timer(Arc::clone(&timer), shared.clock, myself.clone());
        let mut state = State {
            gate: Gate::open(owned.policy, owned.valid_from, now),
            target: Target::new(owned.address, shared.answers.clone()),
            timer,
            _timer_task: AbortOnDropHandle::new(tokio::spawn(timer_task)),
            epoch: Arc::new(AtomicU64::new(shared.epoch.load(Ordering::Acquire))),
            shared,
            myself,
            owned,
            jobs: SlotMap::with_key(),
            connections: SlotMap::with_key(),
            idle: Vec::new(),
            timer_due: Moment::NEVER,
            holdings: Vec::new(),
            refused_versions: Vec::new(),
            last_status_call: Moment::ZERO,
            draining: None,
            reachable: false,
            reconnect_scheduled: false,
            last_search: Moment::ZERO,
            last_preopen: Moment::ZERO,
            given_up: false,
            last_published: None,
        };
        if !state.owned.in_service {
            state.step(Event::Close(Reason::OutOfService), now);
        }
        state.myself.cast(Message::PollStatus)?;
        state
            .myself
            .send_interval(ROLLOUT_STATUS_PERIOD, || Message::PollStatus);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.shared.clock.now();
        match message {
            Message::Offer(pending) => state.offer(pending, now),
            Message::Cancel {
                request_id,
                subrequest,
            } => {
                state.cancel(now, |pending| {
                    pending.context.request_id == request_id && pending.subrequest == subrequest
                });
            }
            Message::CancelBatch(context) => {
                state.cancel(now, |pending| Arc::ptr_eq(&pending.context, &context));
            }
            Message::Connection(key, event) => state.handle_connection_event(key, event, now),
            Message::SetOwned(owned) => state.set_ownership(owned, now),
            Message::GiveUp => {
                state.given_up = true;
                state.step(Event::Close(Reason::NotOwner), now);
            }
            Message::Resume(epoch) => {
                state.epoch.store(epoch, Ordering::Release);
                state.step(Event::Tick, now);
            }
            Message::Tick => {
                state.timer_due = Moment::NEVER;
                state.step(Event::Tick, now);
            }
            Message::PollStatus => state.poll_status_if_due(now),
            Message::Reconnect => {
                state.reconnect_scheduled = false;
                state.poll_status();
            }
        }
        state.schedule_tick(now);
        state.publish_summary(now);
        if state.given_up && state.gate.is_idle() && state.shared.finish_closing(&state.owned) {
            state.myself.stop(None);
        }
        Ok(())
    }
}

/// Sends [`Message::Tick`] each time the timer expires, until the actor has ended.
async fn run_timer(timer: Arc<TickTimer>, clock: Clock, actor: ActorRef<Message>) {
    loop {
        let at = Moment::from_micros(timer.due_us.load(Ordering::Acquire));
        let sleep = tokio::time::sleep_until(clock.instant(at).into());
        tokio::select! {
            () = sleep => {}
            () = timer.moved_earlier.notified() => continue,
        }
        if timer
            .due_us
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
    /// Passes an event to the gate and carries out the actions that it returns.
    fn step(&mut self, event: Event, now: Moment) {
        let permit_until = self.shared.permit_for_epoch(&self.epoch);
        for action in self.gate.step(event, now, permit_until) {
            match action {
                Action::Dispatch(key) => self.dispatch_search(key, now),
                Action::Refuse(key, reason) => {
                    if let Some(pending) = self.jobs.remove(key) {
                        self.answer(pending, Outcome::Failure(reason));
                    }
                }
                Action::Abort(key) => self.abort_search(key),
                Action::Release(key) => {
                    self.jobs.remove(key);
                    let search_purpose = Some(Purpose::Search(key));
                    self.connections
                        .retain(|_, pooled| pooled.purpose != search_purpose);
                }
            }
        }
    }

    fn offer(&mut self, pending: PendingSubrequest, now: Moment) {
        let (deadline, priority) = (pending.context.deadline, pending.context.priority);
        let idempotent = pending.context.idempotent;
        if pending
            .frames
            .as_ref()
            .is_none_or(mpsc::UnboundedSender::is_closed)
        {
            return;
        }
        let key = self.jobs.insert(pending);
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
        F: Fn(&PendingSubrequest) -> bool,
    {
        let matching = self.jobs.iter().filter(|(_, pending)| matches(pending));
        let matching: SmallVec<[JobKey; 4]> = matching.map(|(key, _)| key).collect();
        for key in matching {
            self.step(Event::Cancel(key), now);
        }
    }

    fn dispatch_search(&mut self, key: JobKey, now: Moment) {
        let Some(pending) = self.jobs.get_mut(key) else {
            return;
        };
        pending.dispatched = true;
        let search = Operation::Search(Search {
            request_id: pending.context.request_id.clone(),
            attempt: pending.attempt,
            version: pending.version,
            shard: pending.shard,
            idempotent: pending.context.idempotent,
            remaining: now.until(pending.context.deadline),
            deadline: pending.context.deadline,
            body: pending.context.body.clone(),
        });
        self.last_search = now;
        self.shared.metrics.dispatches.inc();
        if self.start_call(Purpose::Search(key), search).is_err() {
            // All connections are in use, for example by status and cancel calls. The target is not at fault,
            // so the reason must not make it count as cold.
            self.finish_search(key, OperationOutcome::Refused(Reason::QueueFull), None, now);
        }
    }

    /// Starts a call on an idle connection, or on a new one. Returns the operation as the error if no
    /// connection is idle and the pool has reached its limit.
    fn start_call(&mut self, purpose: Purpose, mut operation: Operation) -> Result<(), Operation> {
        while let Some(key) = self.idle.pop() {
            let Some(pooled) = self.connections.get_mut(key) else {
                continue;
            };
            match pooled.connection.start(purpose, operation) {
                Ok(()) => {
                    pooled.purpose = Some(purpose);
                    return Ok(());
                }
                // The connection has ended, and its `Closed` event is on the way.
                Err((_, unsent)) => operation = unsent,
            }
        }
        let policy = &self.owned.policy;
        let max = policy
            .connections
            .min(policy.slots.saturating_add(SPARE_CONNECTIONS));
        if self.connections.len() >= usize::from(max) {
            return Err(operation);
        }
        self.open_connection(Some((purpose, operation)));
        Ok(())
    }

    fn open_connection(&mut self, first: Option<(Purpose, Operation)>) {
        self.shared.metrics.target_connections.inc();
        let purpose = first.as_ref().map(|(purpose, _)| *purpose);
        let (shared, myself) = (Arc::clone(&self.shared), self.myself.clone());
        let epoch = Arc::clone(&self.epoch);
        let target = &self.target;
        self.connections.insert_with_key(|key| PooledConnection {
            connection: Connection::open(
                target,
                first,
                move |deadline| shared.check_dispatch(&epoch, deadline),
                move |event| {
                    // The send fails only if the actor has ended, and then no search runs.
                    let _ended = myself.cast(Message::Connection(key, event));
                },
            ),
            purpose,
            established: false,
        });
    }

    fn handle_connection_event(
        &mut self,
        key: ConnectionKey,
        event: ConnectionEvent<Purpose>,
        now: Moment,
    ) {
        match event {
            ConnectionEvent::Opened => {
                self.mark_reachable(now);
                if let Some(pooled) = self.connections.get_mut(key) {
                    pooled.established = true;
                    if pooled.purpose.is_none() {
                        self.idle.push(key);
                    }
                }
            }
            ConnectionEvent::Done(purpose, reply) => {
                if let Some(pooled) = self.connections.get_mut(key) {
                    pooled.purpose = None;
                    self.idle.push(key);
                }
                self.handle_reply(purpose, reply, now);
            }
            ConnectionEvent::Closed(call) => {
                let established = self
                    .connections
                    .remove(key)
                    .is_some_and(|pooled| pooled.established);
                self.idle.retain(|idle| *idle != key);
                // Also true if the connection carried no call when it closed.
                let unanswered = call.as_ref().is_none_or(|(_, reply)| {
                    matches!(
                        reply.outcome,
                        OperationOutcome::Failed | OperationOutcome::Refused(Reason::NotSent)
                    )
                });
                if unanswered && established {
                    // A target that closes connections may have been restarted.
                    self.step(Event::SuspectCold, now);
                } else if unanswered {
                    self.mark_unreachable(now);
                }
                if let Some((purpose, reply)) = call
                    && !(established && self.resend_if_unsent(purpose, &reply, now))
                {
                    self.handle_reply(purpose, reply, now);
                }
            }
        }
        self.open_ahead(now);
    }

    /// Dispatches a search a second time if its connection ended before the search was written. Returns
    /// whether it did so.
    fn resend_if_unsent(&mut self, purpose: Purpose, reply: &Reply, now: Moment) -> bool {
        let Purpose::Search(key) = purpose else {
            return false;
        };
        if !matches!(reply.outcome, OperationOutcome::Refused(Reason::NotSent)) {
            return false;
        }
        let Some(pending) = self.jobs.get_mut(key).filter(|pending| !pending.resent) else {
            return false;
        };
        if pending.frames.is_none() {
            return false;
        }
        pending.resent = true;
        self.dispatch_search(key, now);
        true
    }

    /// Handles the reply to a call.
    fn handle_reply(&mut self, purpose: Purpose, reply: Reply, now: Moment) {
        match purpose {
            Purpose::Search(key) => self.finish_search(key, reply.outcome, reply.generation, now),
            // The slot becomes free when the cancelled search itself ends, or after a time limit.
            Purpose::Cancel => {}
            Purpose::Status => {
                // A failed status call needs no handling here. If its connection closed, that was handled; if
                // the response could not be used, the next status call asks again.
                if let OperationOutcome::Status(status) = reply.outcome {
                    self.apply_status(status, now);
                }
            }
        }
    }

    /// Removes a search that has ended, reports its result to the gate and answers the subrequest.
    fn finish_search(
        &mut self,
        key: JobKey,
        outcome: OperationOutcome,
        generation: Option<u64>,
        now: Moment,
    ) {
        let Some(pending) = self.jobs.remove(key) else {
            return;
        };
        if let (Some(generation), OperationOutcome::Refused(_) | OperationOutcome::Lost(_)) =
            (generation, &outcome)
        {
            self.step(Event::ReportGeneration(generation), now);
        }
        let (outcome, result) = match outcome {
            OperationOutcome::SearchAnswer(outcome) => {
                self.clear_version_refusal(pending.version, pending.shard);
                (outcome, Completion::Answered { generation })
            }
            OperationOutcome::Refused(reason) => {
                match reason {
                    Reason::VersionGone => self.record_missing_version(pending.version, now),
                    Reason::Draining => self.mark_draining(now),
                    _ => {}
                }
                (Outcome::Failure(reason), Completion::Refused(reason))
            }
            OperationOutcome::Lost(reason) => (Outcome::Failure(reason), Completion::Lost(reason)),
            OperationOutcome::Cancelled
            | OperationOutcome::Status(_)
            | OperationOutcome::Failed => {
                unreachable!("a search cannot end with the result of a status or cancel call")
            }
        };
        self.step(Event::Finished { key, result }, now);
        self.answer(pending, outcome);
    }

    fn answer(&self, mut pending: PendingSubrequest, outcome: Outcome) {
        pending.answer(outcome, self.gate.load(), &self.shared.metrics);
    }

    /// Answers a running search with a timeout and cancels it at the target, because nobody waits for it.
    fn abort_search(&mut self, key: JobKey) {
        let load = self.gate.load();
        let Some(pending) = self.jobs.get_mut(key) else {
            return;
        };
        pending.answer(
            Outcome::Failure(Reason::Timeout),
            load,
            &self.shared.metrics,
        );
        let cancel = Operation::Cancel {
            request_id: pending.context.request_id.clone(),
            attempt: pending.attempt,
        };
        let search_purpose = Some(Purpose::Search(key));
        let mut connections = self.connections.iter();
        if let Some((connecting, _)) =
            connections.find(|(_, pooled)| pooled.purpose == search_purpose && !pooled.established)
        {
            // Dropping the connection that is still being established ensures that the search is not sent
            // later.
            self.connections.remove(connecting);
            return;
        }
        // Without a free connection the target is not told, and the slot becomes free after a time limit.
        let _busy = self.start_call(Purpose::Cancel, cancel);
    }

    fn set_ownership(&mut self, owned: OwnedTarget, now: Moment) {
        if owned.policy != self.owned.policy {
            self.step(Event::SetPolicy(owned.policy), now);
        }
        let reopened = self.given_up || owned.in_service && !self.owned.in_service;
        self.given_up = false;
        if reopened || owned.valid_from != self.owned.valid_from {
            self.step(Event::Reopen(owned.valid_from), now);
        }
        if !owned.in_service {
            self.step(Event::Close(Reason::OutOfService), now);
        } else if self.draining.is_some() {
            self.step(Event::Close(Reason::Draining), now);
        }
        self.owned = owned;
        self.last_published = None;
    }

    /// Starts a status call if one is due.
    fn poll_status_if_due(&mut self, now: Moment) {
        let rollout =
            now < Moment::from_micros(self.shared.rollout_until_us.load(Ordering::Acquire));
        // The interval timer may fire up to half a period early, and no call is to be skipped for that.
        let slack = ROLLOUT_STATUS_PERIOD / 2;
        if rollout || now.since(self.last_status_call) + slack >= STATUS_PERIOD {
            self.last_status_call = now;
            self.poll_status();
        }
    }

    fn poll_status(&mut self) {
        let status_call_running = self
            .connections
            .values()
            .any(|pooled| pooled.purpose == Some(Purpose::Status));
        if !status_call_running && !self.given_up {
            // Without a free connection the target is busy, and the answers to its searches show its state.
            let _busy = self.start_call(Purpose::Status, Operation::Status);
        }
    }

    fn apply_status(&mut self, status: Status, now: Moment) {
        let ramp = self.gate.ramp();
        let known = ramp.generation();
        if known.is_none() {
            self.step(Event::ReportGeneration(status.generation), now);
        } else if (status.cold || known != Some(status.generation)) && ramp.stage() != Stage::Cold {
            // The status may be stale or wrong, so the next searches decide whether the target became cold.
            self.step(Event::SuspectCold, now);
        }
        self.refused_versions
            .retain(|(_, refused)| now.since(*refused) < VERSION_GONE_HOLD);
        if !self.holdings.is_empty() && self.holdings != status.holdings {
            self.shared.note_rollout(now);
        }
        self.holdings = status.holdings;
        self.holdings.truncate(HOLDINGS_MAX);
        // A recent refusal of a version overrides the status, which may be stale.
        let gone = &self.refused_versions;
        self.holdings
            .retain(|holding| gone.iter().all(|(version, _)| *version != holding.version));
        if !status.serving {
            self.mark_draining(now);
        } else if self.draining.is_some_and(|(until, generation)| {
            now >= until || generation != Some(status.generation)
        }) {
            self.draining = None;
            if self.owned.in_service && !self.given_up {
                self.step(Event::Reopen(self.owned.valid_from), now);
            }
        }
    }

    /// Ends the hold on a version that the target refused earlier, because it has now answered with that
    /// version. The next status may then list the version as held.
    fn clear_version_refusal(&mut self, version: Version, shard: u32) {
        let held = self
            .holdings
            .iter()
            .any(|holding| holding.version == version && holding.shard == shard);
        if !held {
            self.refused_versions.retain(|(gone, _)| *gone != version);
        }
    }

    fn record_missing_version(&mut self, version: Version, now: Moment) {
        self.holdings.retain(|holding| holding.version != version);
        self.refused_versions.retain(|(gone, _)| *gone != version);
        self.refused_versions.push((version, now));
        self.shared.note_rollout(now);
    }

    fn mark_draining(&mut self, now: Moment) {
        self.draining = Some((now + DRAINING_HOLD, self.gate.ramp().generation()));
        if self.gate.closed().is_none() {
            self.step(Event::Close(Reason::Draining), now);
        }
    }

    /// Records that the target accepts connections, and reopens the gate if it was closed for that reason.
    fn mark_reachable(&mut self, now: Moment) {
        self.reachable = true;
        if self.gate.closed() == Some(Reason::NotSent) {
            self.step(Event::Reopen(self.owned.valid_from), now);
        }
    }

    /// Closes the gate while the target accepts no connections, so that subrequests are refused at once and
    /// coordinators try a replica. Schedules an attempt to reconnect.
    fn mark_unreachable(&mut self, now: Moment) {
        self.reachable = false;
        if self.gate.closed().is_none() {
            self.step(Event::Close(Reason::NotSent), now);
        }
        if !self.reconnect_scheduled && !self.given_up {
            self.reconnect_scheduled = true;
            self.myself
                .send_after(RECONNECT_PERIOD, || Message::Reconnect);
        }
    }

    /// Opens a connection in advance if the pool has fewer than the number of searches that may run at once.
    fn open_ahead(&mut self, now: Moment) {
        let recently_used = now.since(self.last_search) < PREOPEN_WINDOW;
        let warm = self.gate.ramp().stage() != Stage::Cold;
        let wanted = self.gate.load().limit.min(self.owned.policy.connections);
        let interval_passed = now.since(self.last_preopen) >= PREOPEN_INTERVAL_MIN;
        let below_wanted = self.connections.len() < usize::from(wanted);
        if recently_used && warm && interval_passed && self.reachable && below_wanted {
            self.last_preopen = now;
            self.open_connection(None);
        }
    }

    fn schedule_tick(&mut self, now: Moment) {
        // The summary has to be published when the ownership becomes valid and the target usable.
        let valid_from = (now < self.owned.valid_from).then_some(self.owned.valid_from);
        let Some(next_tick) = self.gate.next_tick().into_iter().chain(valid_from).min() else {
            return;
        };
        // The timer is only ever moved to an earlier moment. A tick that comes too early does no harm.
        if next_tick < self.timer_due {
            self.timer_due = next_tick;
            self.timer
                .due_us
                .store(next_tick.as_micros(), Ordering::Release);
            self.timer.moved_earlier.notify_one();
        }
    }

    fn publish_summary(&mut self, now: Moment) {
        if self.given_up {
            return;
        }
        let load = self.gate.load();
        // Before `valid_from` an earlier owner may still dispatch, and the gate refuses everything.
        let valid = now >= self.owned.valid_from;
        let usable = valid && self.reachable && self.gate.closed().is_none();
        let class = SummaryClass {
            usable,
            limit: load.limit,
            queue: match load.queued {
                0 => 0,
                queued if queued <= self.owned.policy.queue / 2 => 1,
                _ => 2,
            },
            latency: load.latency_us.checked_ilog2().unwrap_or(0),
        };
        let holdings_hash = hash_holdings(&self.holdings);
        if self.last_published == Some((holdings_hash, class)) {
            return;
        }
        let summary = Summary {
            target: self.owned.name.clone(),
            usable,
            holdings: self.holdings.clone(),
            load,
        };
        let mut summaries = self.shared.lock_summaries();
        // The target may have been given up, or another actor may serve a target of the same name.
        let owned = self.shared.owned.load();
        let current = owned.get(&self.owned.name);
        if current.is_none_or(|handle| handle.actor.get_id() != self.myself.get_id()) {
            return;
        }
        summaries.sequence += 1;
        let sequence = summaries.sequence;
        summaries
            .targets
            .insert(self.owned.name.clone(), (sequence, summary));
        self.last_published = Some((holdings_hash, class));
    }
}

/// Returns a hash of the holdings, so that the check for changes after each answer is cheap.
fn hash_holdings(holdings: &[Holding]) -> u64 {
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
