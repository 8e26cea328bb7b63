//! One target: what it accepts, how long it takes, and which faults are set.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::journal::{Entry, Journal};
use super::request::{Answer, Search};
use super::spec::{Holding, Overrun, Target};

/// The span over which the rate of requests to a cold target is counted.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// What a target's faults look like from outside, set by `POST /admin/target`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults are independent of each other"
)]
pub(super) struct Faults {
    pub drain: bool,
    pub leave: bool,
    pub hang: bool,
    pub down: bool,
    pub misleading_status: bool,
    pub slow_factor: f64,
    pub lose_answers: u64,
    pub cross_answers: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            drain: false,
            leave: false,
            hang: false,
            down: false,
            misleading_status: false,
            slow_factor: 1.0,
            lose_answers: 0,
            cross_answers: 0,
        }
    }
}

/// One run of a target, from a start to the next restart.
#[derive(Debug)]
pub(super) struct Run {
    pub generation: u64,
    pub slots: Semaphore,
    /// Cancelled by a restart, which ends all work of this run.
    pub ended: CancellationToken,
}

/// An answer that waits for another one to be swapped with.
#[derive(Debug)]
pub(super) struct Parked {
    pub answer: Answer,
    pub other: oneshot::Sender<Answer>,
}

#[derive(Debug)]
pub(super) struct State {
    pub run: Arc<Run>,
    pub faults: Faults,
    pub versions: Vec<Holding>,
    /// When it was told to drain or to leave.
    pub leaving_ms: Option<u64>,
    /// The answers given since it turned cold.
    pub answers: u64,
    /// Whether it turned cold without a new generation.
    pub silently_cold: bool,
    /// The requests that were accepted in this run and have not ended.
    pub accepted: u32,
    pub running: u32,
    /// The cancellations of accepted requests, by request id and attempt.
    pub work: HashMap<(String, u32), CancellationToken>,
    pub parked: Option<Parked>,
    /// The connections since all were last cut.
    pub connections: u32,
    pub connection_overruns: u64,
    pub malformed: u64,
    /// When the requests of the last second arrived, counted only while cold.
    arrivals: VecDeque<Instant>,
    /// Until when the effect of an overrun lasts.
    strained_until: Option<Instant>,
    random: Pcg64Mcg,
}

/// What happens to a request that arrived.
#[derive(Debug)]
pub(super) enum Admission {
    /// It runs, or waits for a slot.
    Accepted {
        entry: usize,
        run: Arc<Run>,
        cancel: CancellationToken,
    },
    /// It is answered at once and does not run.
    Refused {
        entry: usize,
        status: u16,
        error: &'static str,
    },
    /// It is never answered.
    Hung,
    /// The journal cannot hold it.
    JournalFull,
}

#[derive(Debug)]
pub(super) struct Instance {
    pub spec: Target,
    name: Arc<str>,
    data_centre: Arc<str>,
    pub journal: Arc<Journal>,
    state: Mutex<State>,
    /// Whether the target accepts connections; its listener follows.
    pub open: watch::Sender<bool>,
    /// Counts the events that cut all connections.
    pub cut: watch::Sender<u64>,
}

impl Instance {
    pub(super) fn new(spec: Target, seed: u64, generation: u64, journal: Arc<Journal>) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed ^ xxh3_64(spec.name.as_bytes()));
        Self {
            name: Arc::from(spec.name.as_str()),
            data_centre: Arc::from(spec.data_centre.as_str()),
            journal,
            state: Mutex::new(State {
                run: Arc::new(Run::new(&spec, generation)),
                faults: Faults::default(),
                versions: spec.versions.clone(),
                leaving_ms: None,
                answers: 0,
                silently_cold: false,
                accepted: 0,
                running: 0,
                work: HashMap::new(),
                parked: None,
                connections: 0,
                connection_overruns: 0,
                malformed: 0,
                arrivals: VecDeque::new(),
                strained_until: None,
                random,
            }),
            open: watch::Sender::new(true),
            cut: watch::Sender::new(0),
            spec,
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Decides about a request and records it.
    pub(super) fn admit(&self, search: &Search) -> Admission {
        let mut state = self.state();
        let now = Instant::now();
        let mut entry = Entry {
            at_ms: self.journal.ms(now),
            target: Arc::clone(&self.name),
            data_centre: Arc::clone(&self.data_centre),
            request: search.request.clone(),
            attempt: search.attempt,
            version: search.version,
            shard: search.shard,
            idempotent: search.idempotent,
            generation: state.run.generation,
            leaving_ms: state.leaving_ms,
            ..Entry::default()
        };
        let refusal = state.refusal(&self.spec, search, &mut entry, now);
        let hung = state.faults.hang;
        let Some(entry) = self.journal.add(entry) else {
            return Admission::JournalFull;
        };
        if hung {
            return Admission::Hung;
        }
        if let Some((status, error)) = refusal {
            return Admission::Refused {
                entry,
                status,
                error,
            };
        }
        state.accepted += 1;
        let key = (search.request.clone(), search.attempt);
        Admission::Accepted {
            entry,
            run: Arc::clone(&state.run),
            cancel: state.work.entry(key).or_default().clone(),
        }
    }

    /// Records the start of work and returns how long it takes.
    pub(super) fn start(&self, entry: usize) -> Duration {
        let mut state = self.state();
        let now = Instant::now();
        state.running += 1;
        let ms = self.journal.ms(now);
        self.journal.update(entry, |entry| {
            entry.started = true;
            entry.started_ms = Some(ms);
        });
        state.service_time(&self.spec, now)
    }

    /// Records the end of work; its slot is free again before the answer is sent.
    pub(super) fn end(&self, run: &Run, search: &Search, entry: usize, end: End) {
        let mut state = self.state();
        let ms = self.journal.ms(Instant::now());
        self.journal.update(entry, |entry| {
            entry.ended_ms = Some(ms);
            entry.finished = end == End::Finished;
            entry.cancelled = end == End::Cancelled;
        });
        if state.run.generation != run.generation {
            return;
        }
        let started = self.journal.entries()[entry].started;
        state.accepted -= 1;
        state.running -= u32::from(started);
        state.work.remove(&(search.request.clone(), search.attempt));
        if end == End::Finished {
            state.answers += 1;
        }
    }

    /// Cancels a request; returns whether it was waiting or running.
    pub(super) fn cancel(&self, request: &str, attempt: u32) -> bool {
        let state = self.state();
        let found = state.work.get(&(request.to_owned(), attempt));
        found.inspect(|cancel| cancel.cancel()).is_some()
    }

    /// Returns the answer of `GET /status`.
    pub(super) fn status(&self) -> Value {
        let state = self.state();
        let faults = state.faults;
        let shown = if faults.misleading_status {
            "warm"
        } else if faults.drain || faults.leave {
            "draining"
        } else if state.is_cold(&self.spec) {
            "cold"
        } else {
            "warm"
        };
        let (running, queued) = if faults.misleading_status {
            (0, 0)
        } else {
            (state.running, state.accepted - state.running)
        };
        json!({
            "generation": state.run.generation,
            "state": shown,
            "versions": state.versions,
            "load": { "running": running, "queued": queued, "slots": self.spec.slots },
        })
    }

    /// Starts a new run: cold, and with all work and connections of the old one cut.
    pub(super) fn restart(&self) {
        let mut state = self.state();
        let generation = state.run.generation + 1;
        state.run.ended.cancel();
        state.run = Arc::new(Run::new(&self.spec, generation));
        state.accepted = 0;
        state.running = 0;
        state.work.clear();
        state.turn_cold();
        state.silently_cold = false;
        self.cut_connections(&mut state);
    }

    /// Cuts all connections; those that follow count from zero.
    pub(super) fn cut_connections(&self, state: &mut State) {
        state.connections = 0;
        state.parked = None;
        self.cut.send_modify(|cut| *cut += 1);
    }
}

/// How work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Finished,
    Cancelled,
    Expired,
    Killed,
}

impl Run {
    fn new(spec: &Target, generation: u64) -> Self {
        Self {
            generation,
            slots: Semaphore::new(spec.slots as usize),
            ended: CancellationToken::new(),
        }
    }
}

impl State {
    pub(super) const fn is_cold(&self, spec: &Target) -> bool {
        self.answers < spec.cold_answers
    }

    /// Forgets the answers given so far.
    pub(super) fn turn_cold(&mut self) {
        self.answers = 0;
        self.silently_cold = true;
        self.arrivals.clear();
        self.strained_until = None;
    }

    /// Returns why a request does not run, if it does not, and completes its entry.
    fn refusal(
        &mut self,
        spec: &Target,
        search: &Search,
        entry: &mut Entry,
        now: Instant,
    ) -> Option<(u16, &'static str)> {
        if self.faults.hang {
            return None;
        }
        if self.faults.drain {
            return Some((503, "draining"));
        }
        if search.deadline.is_zero() {
            return Some((408, "deadline passed"));
        }
        let held = self
            .versions
            .iter()
            .any(|held| held.version == search.version && held.shard == search.shard);
        if !held {
            return Some((410, "version not held"));
        }
        entry.at_once = self.accepted + 1;
        entry.cold = self.is_cold(spec);
        if entry.cold {
            self.arrivals.push_back(now);
            while self
                .arrivals
                .front()
                .is_some_and(|at| now - *at >= RATE_SPAN)
            {
                self.arrivals.pop_front();
            }
            entry.rate = self.arrivals.len() as u32;
            entry.overrun = entry.at_once > spec.cold_concurrency || entry.rate > spec.cold_rate;
            entry.unannounced = self.silently_cold && self.answers == 0;
            if entry.overrun {
                let (Overrun::Slow { for_ms, .. } | Overrun::Fail { for_ms }) = spec.cold_overrun;
                self.strained_until = Some(now + Duration::from_millis(for_ms));
            }
            if matches!(spec.cold_overrun, Overrun::Fail { .. }) && self.is_strained(now) {
                return Some((500, "overloaded while cold"));
            }
        }
        if entry.at_once > spec.slots + spec.queue {
            return Some((429, "load shed"));
        }
        None
    }

    fn is_strained(&self, now: Instant) -> bool {
        self.strained_until.is_some_and(|until| now < until)
    }

    fn service_time(&mut self, spec: &Target, now: Instant) -> Duration {
        let time = spec.time;
        let distribution = LogNormal::new(time.median_ms.ln(), time.sigma);
        let distribution = distribution.expect("the spec was checked");
        let mut ms = distribution.sample(&mut self.random);
        if self.random.random_bool(time.straggler_probability) {
            ms *= time.straggler_factor;
        }
        if self.is_cold(spec) {
            ms *= spec.cold_factor;
        }
        if let (true, Overrun::Slow { factor, .. }) = (self.is_strained(now), spec.cold_overrun) {
            ms *= factor;
        }
        Duration::from_secs_f64(ms * self.faults.slow_factor / 1_000.0)
    }
}
