//! The model of a target: service times, slots, cold start and loss.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg32;
use redwinggrade::process::gate::JobKey;
use redwinggrade::time::Moment;
use redwinggrade::version::policy;
use redwinggrade::wire::exchange::Holding;
use redwinggrade::wire::{Reason, Version};

/// The standard deviation of the logarithm of service times; the 95th percentile is 1.78 medians.
pub const SERVICE_TIME_SIGMA: f64 = 0.35;
/// Service times of a straggler, in multiples of the usual one.
pub const STRAGGLER_FACTOR: f64 = 10.0;
/// The share of stragglers in the scenario `straggler`.
pub const STRAGGLER_SHARE: f64 = 0.01;
/// The share of stragglers in all other scenarios.
pub const BACKGROUND_STRAGGLER_SHARE: f64 = 0.001;
/// The factor on service times while a target is cold.
pub const COLD_FACTOR: f64 = 3.0;
/// The further factor for a request with which a cold target has more than it bears. Such a request
/// also resets the progress of the warm-up.
pub const COLD_OVERLOAD_FACTOR: f64 = 10.0;
/// Starts beyond the cold rate that a sliding second may hold at exact pacing: both ends can count.
pub const COLD_RATE_SLACK: usize = 1;

/// The distribution of service times.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    /// The median in microseconds.
    pub median_us: u64,
    /// The share of stragglers.
    pub straggler_share: f64,
}

impl ServiceTime {
    /// Returns the mean service time in seconds.
    pub fn mean_seconds(self) -> f64 {
        let usual =
            self.median_us as f64 / 1e6 * (SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp();
        usual * (1.0 + self.straggler_share * (STRAGGLER_FACTOR - 1.0))
    }

    /// Draws the service time of one attempt.
    ///
    /// The draw depends only on its seed, so that policies meet the same service times.
    pub fn sample(self, seed: u64) -> Duration {
        let mut random = Pcg32::seed_from_u64(seed);
        let usual = LogNormal::new((self.median_us as f64).ln(), SERVICE_TIME_SIGMA);
        let mut micros: f64 = usual.expect("the deviation is finite").sample(&mut random);
        if random.random::<f64>() < self.straggler_share {
            micros *= STRAGGLER_FACTOR;
        }
        Duration::from_micros(micros as u64)
    }
}

/// Names one dispatch: the gate that made it, and its job there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The number of the gate.
    pub gate: usize,
    /// The job.
    pub key: JobKey,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    /// The number of its data centre.
    pub data_centre: usize,
    /// The name of the service it belongs to.
    pub service: u32,
    /// Its number among the replicas.
    pub replica: u32,
    /// What it bears.
    pub limits: policy::Target,
    /// Whether its process runs.
    pub alive: bool,
    /// Changes with each restart.
    pub generation: u64,
    /// What it holds.
    pub holding: Holding,
    /// Requests that run now, with the number of the start.
    pub running: Vec<(u64, Dispatch)>,
    /// Whether it still bears only the cold load.
    pub cold: bool,
    warm_up_answers: u32,
    recent_starts: VecDeque<Moment>,
    last_start_number: u64,
    /// The most requests that ran at once while it was cold.
    pub max_cold_running: usize,
    /// The most starts within one second while it was cold.
    pub max_cold_rate: usize,
    /// The most requests that were at the target at once, refused ones included.
    pub max_running: usize,
}

impl Target {
    /// Returns a warm target.
    pub fn new(
        data_centre: usize,
        (service, replica): (u32, u32),
        limits: policy::Target,
        holding: Holding,
    ) -> Self {
        Self {
            data_centre,
            service,
            replica,
            limits,
            alive: true,
            generation: 1,
            holding,
            running: Vec::new(),
            cold: false,
            warm_up_answers: 0,
            recent_starts: VecDeque::new(),
            last_start_number: 0,
            max_cold_running: 0,
            max_cold_rate: 0,
            max_running: 0,
        }
    }

    /// Takes a request, or refuses it; returns the number of the start and the factor on its time.
    pub fn start(
        &mut self,
        dispatch: Dispatch,
        version: Version,
        now: Moment,
    ) -> Result<(u64, f64), Reason> {
        if !self.alive {
            return Err(Reason::NotSent);
        }
        if self.holding.version != version {
            return Err(Reason::VersionGone);
        }
        self.max_running = self.max_running.max(self.running.len() + 1);
        if self.running.len() >= usize::from(self.limits.slots) {
            return Err(Reason::Shed);
        }
        self.last_start_number += 1;
        self.running.push((self.last_start_number, dispatch));
        let mut factor = 1.0;
        if self.cold {
            self.recent_starts.push_back(now);
            while self
                .recent_starts
                .front()
                .is_some_and(|&start| now.since(start) >= Duration::from_secs(1))
            {
                self.recent_starts.pop_front();
            }
            self.max_cold_running = self.max_cold_running.max(self.running.len());
            self.max_cold_rate = self.max_cold_rate.max(self.recent_starts.len());
            factor = COLD_FACTOR;
            if self.running.len() > usize::from(self.limits.cold_concurrency)
                || self.recent_starts.len() > self.limits.cold_rate as usize + COLD_RATE_SLACK
            {
                factor *= COLD_OVERLOAD_FACTOR;
                self.warm_up_answers = 0;
            }
        }
        Ok((self.last_start_number, factor))
    }

    /// Ends a request that was started; nothing if it was cancelled or lost.
    pub fn finish(&mut self, start: u64) -> Option<Dispatch> {
        let at = self
            .running
            .iter()
            .position(|(number, _)| *number == start)?;
        let (_, dispatch) = self.running.swap_remove(at);
        self.warm_up_answers += 1;
        if self.warm_up_answers >= self.limits.cold_answers {
            self.cold = false;
        }
        Some(dispatch)
    }

    /// Cancels a request; tells whether it was running.
    pub fn cancel(&mut self, dispatch: Dispatch) -> bool {
        let before = self.running.len();
        self.running.retain(|(_, running)| *running != dispatch);
        self.running.len() < before
    }

    /// Ends the process; returns the requests that are lost.
    pub fn kill(&mut self) -> Vec<Dispatch> {
        self.alive = false;
        self.running
            .drain(..)
            .map(|(_, dispatch)| dispatch)
            .collect()
    }

    /// Starts the process again, cold.
    pub fn restart(&mut self) {
        self.alive = true;
        self.generation += 1;
        self.cold = true;
        self.warm_up_answers = 0;
        self.recent_starts.clear();
    }
}
