//! Mutable state of a target: its generation, load and faults, and the random source of its service
//! times.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::journal::JournalEntry;
use super::request::{SearchRequest, SearchResponse};
use super::spec::{Holding, OverrunEffect, Target};

/// Span over which the rate of requests to a cold target is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Faults of a target, set by `POST /admin/target`.
#[derive(Debug, Clone, Copy, PartialEq)]
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

/// One generation of a target, from a start to the next restart.
#[derive(Debug)]
pub(super) struct Run {
    pub generation: u64,
    pub slots: Semaphore,
    /// Cancelled by a restart, which ends all work of this generation.
    pub ended: CancellationToken,
}

/// Response that waits to be swapped with the response to another request.
#[derive(Debug)]
pub(super) struct PendingSwap {
    pub response: SearchResponse,
    pub other_response: oneshot::Sender<SearchResponse>,
}

#[derive(Debug)]
pub(super) struct State {
    pub run: Arc<Run>,
    pub faults: Faults,
    pub versions: Vec<Holding>,
    /// Time at which the target was told to drain or to leave, in milliseconds since the process
    /// started.
    pub leaving_ms: Option<u64>,
    /// Number of answers since the target became cold.
    pub answers: u64,
    /// Whether the target became cold without a new generation.
    pub silently_cold: bool,
    /// Number of requests of this generation that were accepted and have not ended.
    pub accepted: u32,
    pub running: u32,
    /// Cancellation of each accepted request, by request id and attempt.
    pub cancellations: HashMap<(String, u32), CancellationToken>,
    pub pending_swap: Option<PendingSwap>,
    /// Number of open connections that were opened since all were last closed.
    pub connections: u32,
    pub connection_overruns: u64,
    pub malformed: u64,
    /// Arrival times of the requests of the last second, recorded only while the target is cold.
    arrivals: VecDeque<Instant>,
    /// Time until which the effect of the last overload lasts.
    overloaded_until: Option<Instant>,
    rng: Pcg64Mcg,
}

impl Run {
    pub(super) fn new(spec: &Target, generation: u64) -> Self {
        Self {
            generation,
            slots: Semaphore::new(spec.slots as usize),
            ended: CancellationToken::new(),
        }
    }
}

impl State {
    pub(super) fn new(spec: &Target, seed: u64, generation: u64) -> Self {
        Self {
            run: Arc::new(Run::new(spec, generation)),
            faults: Faults::default(),
            versions: spec.versions.clone(),
            leaving_ms: None,
            answers: 0,
            silently_cold: false,
            accepted: 0,
            running: 0,
            cancellations: HashMap::new(),
            pending_swap: None,
            connections: 0,
            connection_overruns: 0,
            malformed: 0,
            arrivals: VecDeque::new(),
            overloaded_until: None,
            rng: Pcg64Mcg::seed_from_u64(seed ^ xxh3_64(spec.name.as_bytes())),
        }
    }

    /// Returns whether the target has given fewer answers than it needs to be warm.
    pub(super) const fn is_cold(&self, spec: &Target) -> bool {
        self.answers < spec.cold_answers
    }

    /// Makes the target cold without a new generation.
    pub(super) fn make_cold(&mut self) {
        self.answers = 0;
        self.silently_cold = true;
        self.arrivals.clear();
        self.overloaded_until = None;
    }

    /// Returns the status and the error of a request that does not run, or `None` for one that does, and
    /// fills in the fields of its journal entry about load.
    pub(super) fn rejection(
        &mut self,
        spec: &Target,
        search: &SearchRequest,
        entry: &mut JournalEntry,
        now: Instant,
    ) -> Option<(u16, &'static str)> {
        if self.faults.hang {
            return None;
        }
        if self.faults.drain {
            return Some((503, "draining"));
        }
        if search.time_left.is_zero() {
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
                .is_some_and(|at| now - *at >= RATE_WINDOW)
            {
                self.arrivals.pop_front();
            }
            entry.rate = self.arrivals.len() as u32;
            entry.overrun = entry.at_once > spec.cold_concurrency || entry.rate > spec.cold_rate;
            entry.unannounced = self.silently_cold && self.answers == 0;
            if entry.overrun {
                let (OverrunEffect::Slow { for_ms, .. } | OverrunEffect::Fail { for_ms }) =
                    spec.cold_overrun;
                self.overloaded_until = Some(now + Duration::from_millis(for_ms));
            }
            if matches!(spec.cold_overrun, OverrunEffect::Fail { .. }) && self.is_overloaded(now) {
                return Some((500, "overloaded while cold"));
            }
        }
        if entry.at_once > spec.slots + spec.queue {
            return Some((429, "load shed"));
        }
        None
    }

    /// Returns whether the effect of an overload while cold still lasts.
    fn is_overloaded(&self, now: Instant) -> bool {
        self.overloaded_until.is_some_and(|until| now < until)
    }

    /// Draws the service time of a request that starts at `now`.
    pub(super) fn service_time(&mut self, spec: &Target, now: Instant) -> Duration {
        let time = spec.time;
        let distribution = LogNormal::new(time.median_ms.ln(), time.sigma);
        let distribution = distribution.expect("the spec was checked");
        let mut ms = distribution.sample(&mut self.rng);
        if self.rng.random_bool(time.straggler_probability) {
            ms *= time.straggler_factor;
        }
        if self.is_cold(spec) {
            ms *= spec.cold_factor;
        }
        if let (true, OverrunEffect::Slow { factor, .. }) =
            (self.is_overloaded(now), spec.cold_overrun)
        {
            ms *= factor;
        }
        Duration::from_secs_f64(ms * self.faults.slow_factor / 1_000.0)
    }
}
