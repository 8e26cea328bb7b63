//! The model of a target: service times, slots, cold starts and crashes.

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

/// The standard deviation of the logarithm of service times; the 95th percentile is 1.78 times the median.
pub const SERVICE_TIME_SIGMA: f64 = 0.35;
/// The factor on the service time of a straggler.
pub const STRAGGLER_FACTOR: f64 = 10.0;
/// The share of requests that are stragglers in the scenario `straggler`.
pub const STRAGGLER_SHARE: f64 = 0.01;
/// The share of requests that are stragglers in all other scenarios.
pub const BACKGROUND_STRAGGLER_SHARE: f64 = 0.001;
/// The factor on service times while a target is cold.
pub const COLD_FACTOR: f64 = 3.0;
/// The additional factor on the service time of a request that takes a cold target beyond its limits of
/// concurrency or rate. Such a request also resets the progress of the warm-up.
pub const COLD_OVERLOAD_FACTOR: f64 = 10.0;
/// Starts beyond the cold rate that are allowed within a sliding second: with exact pacing, the starts at
/// both ends of the second can count.
pub const COLD_RATE_SLACK: usize = 1;

/// The distribution of service times: log-normal, with a share of stragglers.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    /// The median without stragglers, in microseconds.
    pub median_us: u64,
    /// The share of requests that are stragglers.
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
    /// The result depends only on the seed, so that all policies get the same service times.
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

/// Identifies one dispatched request by its gate and its job in that gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The number of the gate in the simulation.
    pub gate: usize,
    /// The key of the job in the gate.
    pub key: JobKey,
}

/// A model target: one replica of one service.
#[derive(Debug)]
pub struct Target {
    /// The number of the data centre in which the target runs.
    pub data_centre: usize,
    /// The number of the service that the target belongs to.
    pub service: u32,
    /// The number of the target among the replicas of its service.
    pub replica: u32,
    /// The load that the target can take, warm and cold.
    pub limits: policy::Target,
    /// Whether the process of the target runs.
    pub alive: bool,
    /// The number of the current process; each restart increases it.
    pub generation: u64,
    /// The index version and shard that the target serves.
    pub holding: Holding,
    /// The running requests, each with its start number.
    pub running: Vec<(u64, Dispatch)>,
    /// Whether the target is cold: slower, and limited to the cold concurrency and rate.
    pub cold: bool,
    /// Answers since the cold start or the last cold overload; enough of them make the target warm.
    warm_up_answers: u32,
    /// Starts within the last second while the target is cold, for its start rate.
    recent_starts: VecDeque<Moment>,
    last_start_number: u64,
    /// The highest number of requests that ran at once while the target was cold.
    pub max_cold_running: usize,
    /// The highest number of starts within one second while the target was cold.
    pub max_cold_rate: usize,
    /// The highest number of requests at the target at once, including ones refused for lack of a slot.
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

    /// Starts a request and returns its start number and the factor on its service time.
    ///
    /// Fails if the process is down, the version is not held or all slots are in use.
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

    /// Ends the request with this start number; returns `None` if it was cancelled or lost before.
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

    /// Cancels a request; returns whether it was running.
    pub fn cancel(&mut self, dispatch: Dispatch) -> bool {
        let before = self.running.len();
        self.running.retain(|(_, running)| *running != dispatch);
        self.running.len() < before
    }

    /// Ends the process; returns the running requests, which are lost.
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
