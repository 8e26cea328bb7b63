//! The memory that callers make a node hold, under one bound for all of them.
//!
//! Connections, bodies of requests, and bodies of answers are counted at what they cost, and what would exceed
//! the bound is refused before it is kept. See `docs/design/memory.md`.
//!
//! Bodies above [`STEP_BYTES`] lie in memory maps of their own. The C library keeps freed blocks that lie between
//! others, and raises the size from which it maps blocks with each that is freed, so that a crowd of bodies would
//! otherwise occupy memory long after it has gone.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use memmap2::MmapMut;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;

use crate::time::Moment;

/// The size up to which a body counts as small, and the unit in which larger ones are counted and their progress is
/// measured. It is a multiple of the page size of nearly all systems.
pub const STEP_BYTES: usize = 16 << 10;
/// The unit in which small bodies are counted and their progress is measured. The answers of all shards to a query
/// are held at the same time, and most of them are smaller than this.
const SMALL_STEP_BYTES: usize = 1 << 10;
/// One part in this number of the budget is kept for connections and small bodies.
const RESERVE_ONE_IN: usize = 4;
/// How long a body must have made no step before another one may displace it. A caller on a slow link of
/// 1 Mbit/s makes a step of 16 KiB in half of this time.
const STALL_MIN: Duration = Duration::from_millis(250);

new_key_type! {
    /// Identifies a body that is being received.
    struct BodyKey;
}

/// A bound on bytes. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Mutex<State>>);

/// What a budget holds, and what it has refused since it was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// The bytes that are held.
    pub held: usize,
    /// The bytes that may be held.
    pub capacity: usize,
    /// Connections that were closed when they were opened.
    pub refused_connections: u64,
    /// Connections without a request that were closed for new ones.
    pub displaced_connections: u64,
    /// Bodies of requests that found no room.
    pub refused_bodies: u64,
    /// Bodies of requests that made the least progress and were given up for others.
    pub displaced_bodies: u64,
    /// Requests that were refused because the room for their answers was used up.
    pub refused_requests: u64,
    /// Answers of targets that found no room.
    pub refused_answers: u64,
}

impl Usage {
    /// Returns how often something was refused or displaced for lack of room.
    pub const fn refusals(&self) -> u64 {
        self.refused_connections
            + self.displaced_connections
            + self.refused_bodies
            + self.displaced_bodies
            + self.refused_requests
            + self.refused_answers
    }
}

/// There is no room for more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory for callers is used up")]
pub struct Exceeded;

#[derive(Debug, Default)]
struct State {
    usage: Usage,
    bodies: SlotMap<BodyKey, Body>,
}

/// A body that is being received.
#[derive(Debug)]
struct Body {
    buffer: Buffer,
    /// When the body began or last needed a further step.
    stepped_at: Moment,
    /// Dropped with the body, which wakes the task that receives it.
    _displaced: oneshot::Sender<Infallible>,
}

impl Budget {
    /// Returns a budget of `capacity` bytes.
    pub fn open(capacity: usize) -> Self {
        let usage = Usage {
            capacity,
            ..Usage::default()
        };
        Self(Arc::new(Mutex::new(State {
            usage,
            bodies: SlotMap::default(),
        })))
    }

    /// Returns a budget that nothing exceeds.
    pub fn unlimited() -> Self {
        Self::open(usize::MAX)
    }

    /// Returns what is held and what has been refused.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// Tells whether new work displaces what makes no progress.
    pub fn is_short(&self) -> bool {
        let state = self.lock();
        state.usage.held > state.unreserved()
    }

    /// Holds the cost of a connection, for which the whole budget may be used and stalled bodies are displaced.
    pub fn hold_connection(&self, bytes: usize, now: Moment) -> Result<Permit, Exceeded> {
        let mut state = self.lock();
        let capacity = state.usage.capacity;
        state.reserve_displacing(bytes, capacity, now, None)?;
        drop(state);
        Ok(Permit {
            budget: self.clone(),
            bytes,
        })
    }

    /// Holds bytes, for which the whole budget may be used and nothing is displaced.
    pub fn hold(&self, bytes: usize) -> Result<Permit, Exceeded> {
        let mut permit = self.hold_nothing();
        permit.grow(bytes)?;
        Ok(permit)
    }

    /// Returns a permit that may grow.
    pub fn hold_nothing(&self) -> Permit {
        Permit {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Holds bytes that exist already, even beyond the budget; new work is refused until they are released.
    pub fn hold_existing(&self, bytes: usize) -> Permit {
        self.lock().usage.held += bytes;
        Permit {
            budget: self.clone(),
            bytes,
        }
    }

    /// Counts a connection that was closed when it was opened.
    pub fn count_refused_connection(&self) {
        self.lock().usage.refused_connections += 1;
    }

    /// Counts an answer that found no room.
    pub fn count_refused_answer(&self) {
        self.lock().usage.refused_answers += 1;
    }

    /// Counts a connection that was closed for a new one.
    pub fn count_displaced_connection(&self) {
        self.lock().usage.displaced_connections += 1;
    }

    /// Tells whether a request may start, that is, whether there is room for its answer; stalled bodies are displaced
    /// for it. A request for which there is none must be refused before anything is sent to a target.
    pub fn admit_request(&self, now: Moment) -> Result<(), Exceeded> {
        let mut state = self.lock();
        // Half of the reserve is left for the answers of requests that have started.
        let limit = state.usage.capacity - state.usage.capacity / RESERVE_ONE_IN / 2;
        let admitted = state.reserve_displacing(0, limit, now, None);
        if admitted.is_err() {
            state.usage.refused_requests += 1;
        }
        admitted
    }

    /// Gives up the body that has made no step for longest, if it is stalled, so that its connection ends. Returns
    /// whether there was one.
    pub fn displace_body(&self, now: Moment) -> bool {
        let mut state = self.lock();
        let stalled = state.find_stalled(now, |_| true);
        stalled.is_some_and(|body| {
            state.displace(body);
            true
        })
    }

    /// Starts to receive the body of a request of at most `max_bytes`. Nothing is held before a byte arrives.
    pub fn start_body(&self, max_bytes: usize, now: Moment) -> Reception {
        let (sender, displaced) = oneshot::channel();
        let key = self.lock().bodies.insert(Body {
            buffer: Buffer::new(max_bytes),
            stepped_at: now,
            _displaced: sender,
        });
        Reception {
            budget: self.clone(),
            key,
            displaced,
        }
    }

    /// Starts to receive the body of an answer of at most `max_bytes`. It is never displaced.
    /// Stalled bodies of requests are displaced for it.
    pub fn start_answer(&self, max_bytes: usize) -> AnswerReception {
        AnswerReception {
            permit: self.hold_nothing(),
            buffer: Buffer::new(max_bytes),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves the counts usable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the bytes that are not kept for connections and small bodies.
    const fn unreserved(&self) -> usize {
        self.usage.capacity - self.usage.capacity / RESERVE_ONE_IN
    }

    /// Holds bytes if no more than `limit` are held then.
    fn reserve(&mut self, bytes: usize, limit: usize) -> Result<(), Exceeded> {
        let held = self.usage.held.checked_add(bytes).ok_or(Exceeded)?;
        if held > limit {
            return Err(Exceeded);
        }
        self.usage.held = held;
        Ok(())
    }

    /// Holds bytes if no more than `limit` are held then. While there is no room, stalled bodies are displaced; for
    /// a body that grows, only those whose last step is older than its own.
    fn reserve_displacing(
        &mut self,
        bytes: usize,
        limit: usize,
        now: Moment,
        growing: Option<BodyKey>,
    ) -> Result<(), Exceeded> {
        let own_step = growing.and_then(|key| self.bodies.get(key).map(|it| it.stepped_at));
        loop {
            if self.reserve(bytes, limit).is_ok() {
                return Ok(());
            }
            let stalled = self
                .find_stalled(now, |it| it.buffer.cost() > 0)
                .ok_or(Exceeded)?;
            let is_older = |own_step| self.bodies[stalled].stepped_at < own_step;
            if growing == Some(stalled) || !own_step.is_none_or(is_older) {
                return Err(Exceeded);
            }
            self.displace(stalled);
        }
    }

    /// Returns the body with the oldest step among those that `filter` accepts, if it is stalled.
    fn find_stalled<F>(&self, now: Moment, filter: F) -> Option<BodyKey>
    where
        F: Fn(&Body) -> bool,
    {
        let bodies = self.bodies.iter().filter(|(_, it)| filter(it));
        bodies
            .min_by_key(|(_, it)| it.stepped_at)
            .filter(|(_, it)| now.since(it.stepped_at) >= STALL_MIN)
            .map(|(key, _)| key)
    }

    fn displace(&mut self, key: BodyKey) {
        self.release_body(key);
        self.usage.displaced_bodies += 1;
    }

    /// Adds received bytes to a body, for which others may be displaced.
    fn append(&mut self, key: BodyKey, data: &[u8], now: Moment) -> Result<(), Exceeded> {
        let body = self.bodies.get(key).ok_or(Exceeded)?;
        let needed = body.buffer.cost_with(data.len()) - body.buffer.cost();
        let capacity = self.usage.capacity;
        let limit = if body.buffer.cost() + needed <= STEP_BYTES {
            capacity
        } else {
            self.unreserved()
        };
        if needed > 0 {
            let reserved = self.reserve_displacing(needed, limit, now, Some(key));
            reserved.or_else(|_exceeded| self.refuse_body())?;
        }
        let body = self.bodies.get_mut(key).ok_or(Exceeded)?;
        if needed > 0 {
            body.stepped_at = now;
        }
        if body.buffer.append(data).is_err() {
            self.usage.held -= needed;
            return self.refuse_body();
        }
        Ok(())
    }

    const fn refuse_body(&mut self) -> Result<(), Exceeded> {
        self.usage.refused_bodies += 1;
        Err(Exceeded)
    }

    /// Gives up a body and its memory, and wakes its task.
    fn release_body(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.remove(key) {
            self.usage.held -= body.buffer.cost();
        }
    }
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Permit {
    budget: Budget,
    bytes: usize,
}

impl Permit {
    /// Holds more bytes, for which the whole budget may be used.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let mut state = self.budget.lock();
        let capacity = state.usage.capacity;
        state.reserve(bytes, capacity)?;
        drop(state);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.lock().usage.held -= self.bytes;
    }
}

/// The body of a request that is being received. Dropping it gives the body up.
#[derive(Debug)]
pub struct Reception {
    budget: Budget,
    key: BodyKey,
    displaced: oneshot::Receiver<Infallible>,
}

impl Reception {
    /// Copies received bytes, which must not exceed the maximum in total.
    pub fn append(&mut self, data: &[u8], now: Moment) -> Result<(), Exceeded> {
        self.budget.lock().append(self.key, data, now)
    }

    /// Completes when the body has been given up for others.
    pub fn poll_displaced(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.displaced).poll(cx).map(|_closed| ())
    }

    /// Returns the complete body, which stays counted until its last copy is dropped.
    pub fn finish(self) -> Result<Bytes, Exceeded> {
        let body = self.budget.lock().bodies.remove(self.key);
        let buffer = body.ok_or(Exceeded)?.buffer;
        let permit = Permit {
            budget: self.budget.clone(),
            bytes: buffer.cost(),
        };
        Ok(buffer.into_bytes(permit))
    }
}

impl Drop for Reception {
    fn drop(&mut self) {
        self.budget.lock().release_body(self.key);
    }
}

/// The body of an answer that is being received. Dropping it gives the body up.
#[derive(Debug)]
pub struct AnswerReception {
    permit: Permit,
    buffer: Buffer,
}

impl AnswerReception {
    /// Copies received bytes, which must not exceed the maximum in total.
    pub fn append(&mut self, data: &[u8], now: Moment) -> Result<(), Exceeded> {
        let needed = self.buffer.cost_with(data.len()) - self.buffer.cost();
        let mut state = self.permit.budget.lock();
        let capacity = state.usage.capacity;
        if state
            .reserve_displacing(needed, capacity, now, None)
            .is_err()
        {
            state.usage.refused_answers += 1;
            return Err(Exceeded);
        }
        drop(state);
        self.permit.bytes += needed;
        self.buffer.append(data)
    }

    /// Returns the complete body, which stays counted until its last copy is dropped.
    pub fn finish(self) -> Bytes {
        self.buffer.into_bytes(self.permit)
    }
}

/// The received part of a body, in one piece.
#[derive(Debug)]
struct Buffer {
    max_bytes: usize,
    content: Content,
}

#[derive(Debug)]
enum Content {
    Small(Vec<u8>),
    /// Only the pages that have been written to cost memory.
    Mapped {
        map: MmapMut,
        length: usize,
    },
}

impl Buffer {
    const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            content: Content::Small(Vec::new()),
        }
    }

    const fn len(&self) -> usize {
        match &self.content {
            Content::Small(content) => content.len(),
            Content::Mapped { length, .. } => *length,
        }
    }

    /// Returns the memory that the buffer holds.
    const fn cost(&self) -> usize {
        self.cost_with(0)
    }

    /// Returns the memory that the buffer holds with more bytes in it.
    const fn cost_with(&self, more: usize) -> usize {
        let length = self.len() + more;
        if length <= STEP_BYTES {
            length.next_multiple_of(SMALL_STEP_BYTES)
        } else {
            length.next_multiple_of(STEP_BYTES)
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), Exceeded> {
        let end = self.len() + data.len();
        if end > self.max_bytes {
            return Err(Exceeded);
        }
        match &mut self.content {
            Content::Small(content) if end <= STEP_BYTES => {
                if end > content.capacity() {
                    let capacity = end.next_multiple_of(SMALL_STEP_BYTES);
                    content.reserve_exact(capacity - content.len());
                }
                content.extend_from_slice(data);
            }
            Content::Small(content) => {
                let mut map = MmapMut::map_anon(self.max_bytes).map_err(|_no_memory| Exceeded)?;
                map[..content.len()].copy_from_slice(content);
                map[content.len()..end].copy_from_slice(data);
                self.content = Content::Mapped { map, length: end };
            }
            Content::Mapped { map, length } => {
                map[*length..end].copy_from_slice(data);
                *length = end;
            }
        }
        Ok(())
    }

    fn into_bytes(self, permit: Permit) -> Bytes {
        if self.len() == 0 {
            return Bytes::new();
        }
        Bytes::from_owner(Held {
            content: self.content,
            _permit: permit,
        })
    }
}

/// A complete body with the permit for its memory.
struct Held {
    content: Content,
    _permit: Permit,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        match &self.content {
            Content::Small(content) => content,
            Content::Mapped { map, length } => &map[..*length],
        }
    }
}

/// Returns bytes that exist already, counted until their last copy is dropped.
pub fn hold(bytes: Bytes, budget: &Budget) -> Bytes {
    struct Existing(
        Bytes,
        #[allow(dead_code, reason = "it is released when dropped")] Permit,
    );
    impl AsRef<[u8]> for Existing {
        fn as_ref(&self) -> &[u8] {
            &self.0
        }
    }
    if bytes.is_empty() {
        return bytes;
    }
    let permit = budget.hold_existing(bytes.len());
    Bytes::from_owner(Existing(bytes, permit))
}
