//! How much load a target bears now: the cold start of one target.
//!
//! A cold target serves only a small load and fails under a full one. The ramp therefore limits how
//! many requests run at once and how soon the next may start, and it raises both step by step while
//! answers are good. `docs/decisions/002-cold-start.md` gives the alternatives.

use std::time::Duration;

use crate::time::Moment;
use crate::version::policy;
use crate::wire::Reason;

/// Good answers after which a warming target moves one step up.
///
/// Each step at most doubles the load, so four answers show the effect of a step before the next.
pub const WARMING_STEP_ANSWERS: u32 = 4;

/// Good answers after which a target that shed load gets one more slot.
///
/// Growth after load shedding is slower than in a cold start, because the limit was just exceeded.
pub const RECOVERY_STEP_ANSWERS: u32 = 16;

/// The delay of the next start after a shed answer; it doubles with each further shed answer.
pub const SHED_DELAY: Duration = Duration::from_millis(20);

/// The longest delay after shed answers, so that a recovered target is found within a second.
pub const SHED_DELAY_MAX: Duration = Duration::from_secs(1);

/// Consecutive shed answers after which the target counts as cold.
pub const SHED_ANSWER_LIMIT: u32 = 3;

/// Idle time after which a target may have been restarted unnoticed and must prove itself again.
pub const IDLE_BEFORE_SUSPECT: Duration = Duration::from_secs(5);

/// Idle time after which a target counts as cold, because its caches no longer hold the index.
pub const IDLE_BEFORE_COLD: Duration = Duration::from_mins(1);

/// The factor over the recent latency from which an answer counts as slow.
pub const SLOW_LATENCY_FACTOR: u32 = 3;

/// The least excess over the recent latency of a slow answer; it keeps the jitter of fast targets
/// from counting as a surge.
pub const SLOW_LATENCY_EXCESS: Duration = Duration::from_millis(5);

/// Consecutive slow answers that make a target cold; single stragglers are normal.
pub const SLOW_ANSWER_LIMIT: u32 = 4;

/// Good answers that end a suspicion. An answer is good for this if it takes at most twice the
/// recent latency, because a target that turned cold in place still answers, but slower.
pub const SUSPICION_END_ANSWERS: u32 = 2;

/// The share by which a cold target is paced below its rate, as one in this number. Starts that the
/// network delays unevenly then still stay within the rate in every span of one second.
const PACING_MARGIN_DIVISOR: u32 = 10;

/// The age beyond which a latency figure decides nothing, so that an outdated high figure cannot
/// refuse all the work that would correct it.
pub const LATENCY_AGE_MAX: Duration = Duration::from_secs(1);

/// The weight of one answer in the recent latency is one in this number.
const LATENCY_SAMPLE_DIVISOR: u64 = 8;

/// The longest interval between starts to which load shedding slows a cold target down.
const START_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// What the ramp takes the target for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The target bears only the cold concurrency and the cold rate.
    Cold,
    /// Concurrency and rate double with each step.
    Warming,
    /// The target shed load; concurrency grows by one with each step.
    Recovering,
    /// All slots may be used at any rate.
    Warm,
}

/// The load that a target bears in one stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Level {
    stage: Stage,
    /// Requests that may run at once.
    limit: u16,
    /// The time between two starts; zero is unpaced.
    interval: Duration,
    /// Good answers at this level.
    good_answers: u32,
    /// Answers to requests that started earlier say nothing about this level.
    since: Moment,
}

/// The cold start of one target.
#[derive(Debug, Clone)]
pub struct Ramp {
    policy: policy::Target,
    level: Level,
    /// The level to return to if the next answers show that the target did not turn cold.
    level_before_suspicion: Option<Level>,
    next_start: Moment,
    generation: Option<u64>,
    latency_us: u64,
    latency_measured_at: Option<Moment>,
    slow_answers: u32,
    shed_answers: u32,
    last_shed_at: Moment,
    last_start_at: Moment,
    last_used_at: Moment,
}

impl Ramp {
    /// Opens the ramp of a target of which nothing is known, so it counts as cold.
    pub fn open(policy: policy::Target, now: Moment) -> Self {
        Self {
            policy,
            level: Level::cold(&policy, now),
            level_before_suspicion: None,
            next_start: now,
            generation: None,
            latency_us: 0,
            latency_measured_at: None,
            slow_answers: 0,
            shed_answers: 0,
            last_shed_at: Moment::ZERO,
            last_start_at: Moment::ZERO,
            last_used_at: now,
        }
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self) -> u16 {
        self.level.limit.min(max_concurrency(&self.policy))
    }

    /// Returns the earliest moment at which the next request may start.
    pub const fn next_start(&self) -> Moment {
        self.next_start
    }

    /// Returns the time between two starts, which is zero once the target is unpaced.
    pub const fn start_interval(&self) -> Duration {
        self.level.interval
    }

    /// Returns what the ramp takes the target for.
    pub const fn stage(&self) -> Stage {
        self.level.stage
    }

    /// Tells whether the next answers decide if the target turned cold unnoticed.
    pub const fn is_suspect(&self) -> bool {
        self.level_before_suspicion.is_some()
    }

    /// Returns the generation that the target last reported.
    pub const fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Returns the recent time from dispatch to answer, or zero before the first answer.
    pub const fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us)
    }

    /// Returns the recent latency if it is fresh enough to base a refusal on.
    pub fn fresh_latency(&self, now: Moment) -> Option<Duration> {
        let at = self.latency_measured_at?;
        (now.since(at) <= LATENCY_AGE_MAX).then(|| self.latency())
    }

    /// Takes a change of the settings into account; a warm target stays warm.
    pub fn set_policy(&mut self, policy: policy::Target, now: Moment) {
        self.policy = policy;
        match self.level.stage {
            Stage::Cold => {
                let good_answers = self.level.good_answers;
                self.level = Level::cold(&policy, self.level.since);
                self.level.good_answers = good_answers;
            }
            Stage::Warm => {
                // More slots than before are untested, so they are reached in steps.
                if self.level.limit < max_concurrency(&policy) {
                    self.level = Level {
                        stage: Stage::Warming,
                        good_answers: 0,
                        since: now,
                        ..self.level
                    };
                }
            }
            Stage::Warming | Stage::Recovering => {}
        }
        self.level.limit = self.level.limit.min(max_concurrency(&policy));
    }

    /// Takes idle time into account; call it before a decision with the number of running requests.
    pub fn observe_idle_time(&mut self, running: usize, now: Moment) {
        if running > 0 {
            return;
        }
        let idle = now.since(self.last_used_at);
        if idle >= IDLE_BEFORE_COLD {
            self.reset_to_cold(now);
            self.last_used_at = now;
        } else if idle >= IDLE_BEFORE_SUSPECT && self.level.stage != Stage::Cold {
            self.suspect_cold(now);
        }
    }

    /// Records that a request starts now.
    pub fn record_start(&mut self, now: Moment) {
        self.last_used_at = now;
        self.last_start_at = now;
        self.next_start = now + self.level.interval;
    }

    /// Records an answer whose request started at `started`.
    pub fn record_answer(&mut self, started: Moment, generation: Option<u64>, now: Moment) {
        self.last_used_at = now;
        if let Some(generation) = generation {
            self.record_generation(generation, now);
        }
        let latency = now.since(started);
        if self.is_slow(latency) {
            self.count_slow_answer(now);
            return;
        }
        if started < self.level.since {
            self.update_latency(latency, now);
            return;
        }
        let recent = self.latency();
        if self.level_before_suspicion.is_some() && latency > recent * 2 {
            self.count_slow_answer(now);
            return;
        }
        self.slow_answers = 0;
        self.update_latency(latency, now);
        self.shed_answers = 0;
        self.level.good_answers = self.level.good_answers.saturating_add(1);
        if let Some(before) = self.level_before_suspicion {
            if self.level.good_answers >= SUSPICION_END_ANSWERS {
                self.level_before_suspicion = None;
                self.level = Level {
                    since: now,
                    ..before
                };
                self.next_start = self.next_start.min(now + self.level.interval);
            }
            return;
        }
        self.step_up(now);
    }

    /// Records a refusal of the target, or of its address, for a request that started at `started`.
    pub fn record_refusal(&mut self, reason: Reason, started: Moment, now: Moment) {
        self.last_used_at = now;
        match reason {
            Reason::Shed => self.back_off(started, now),
            Reason::NotSent | Reason::Draining => self.reset_to_cold(now),
            _ => {}
        }
    }

    /// Records that a request that started at `started` got no usable answer.
    pub fn record_loss(&mut self, reason: Reason, started: Moment, now: Moment) {
        self.last_used_at = now;
        if reason == Reason::Timeout {
            if self.is_slow(now.since(started)) {
                self.count_slow_answer(now);
            }
        } else if self.level_before_suspicion.is_some() && started >= self.level.since {
            // A second failure in a row is more than an accident.
            self.reset_to_cold(now);
        } else {
            self.suspect_cold(now);
        }
    }

    /// Records a generation that the target reported outside of an answer.
    pub fn record_generation(&mut self, generation: u64, now: Moment) {
        if self.generation.replace(generation) != Some(generation) {
            // The first generation seen is no change, and the target is cold or suspect until then.
            self.reset_to_cold(now);
        }
    }

    /// Limits the load to that of a cold target until answers show that it was not restarted.
    pub fn suspect_cold(&mut self, now: Moment) {
        if self.level.stage == Stage::Cold {
            self.level.good_answers = 0;
            self.level.since = now;
            return;
        }
        let before = self.level;
        self.level = Level::cold(&self.policy, now);
        self.level.limit = self.level.limit.min(before.limit);
        self.level_before_suspicion = Some(before);
        self.next_start = self
            .next_start
            .max(self.last_start_at + self.level.interval);
    }

    /// Treats the target as cold from now on.
    pub fn reset_to_cold(&mut self, now: Moment) {
        self.level = Level::cold(&self.policy, now);
        self.level_before_suspicion = None;
        self.slow_answers = 0;
        // Latencies of the warm target say nothing about the cold one.
        self.latency_measured_at = None;
        self.next_start = self
            .next_start
            .max(self.last_start_at + self.level.interval);
    }

    /// Lowers the limit and delays the next start after a shed answer.
    fn back_off(&mut self, started: Moment, now: Moment) {
        self.level.good_answers = 0;
        // Requests that ran together and were all shed report one overload, not several.
        if started < self.last_shed_at {
            return;
        }
        self.last_shed_at = now;
        self.shed_answers += 1;
        let delay = (SHED_DELAY * (1 << (self.shed_answers - 1).min(6))).min(SHED_DELAY_MAX);
        if self.level.stage == Stage::Cold {
            self.level.limit = (self.level.limit / 2).max(1);
            let longer_interval = (self.level.interval * 2).min(START_INTERVAL_MAX);
            self.level.interval = longer_interval.max(self.level.interval);
        } else if self.shed_answers >= SHED_ANSWER_LIMIT {
            self.reset_to_cold(now);
        } else {
            self.level = Level {
                stage: Stage::Recovering,
                limit: (self.level.limit / 2).max(1),
                good_answers: 0,
                since: now,
                ..self.level
            };
        }
        self.next_start = self.next_start.max(now + delay);
    }

    /// Moves to the next level when there are enough good answers at this one.
    fn step_up(&mut self, now: Moment) {
        let needed = match self.level.stage {
            Stage::Cold => self.policy.cold_answers.max(1),
            Stage::Warming => WARMING_STEP_ANSWERS,
            Stage::Recovering => RECOVERY_STEP_ANSWERS,
            Stage::Warm => return,
        };
        if self.level.good_answers < needed {
            return;
        }
        let max_limit = max_concurrency(&self.policy);
        let (stage, limit) = match self.level.stage {
            Stage::Recovering => (Stage::Recovering, self.level.limit.saturating_add(1)),
            _ => (Stage::Warming, self.level.limit.saturating_mul(2)),
        };
        let limit = limit.min(max_limit);
        let interval = self.level.interval / 2;
        // Once pacing allows more than the slots can use, the slots alone bound the load.
        let unpaced = interval * u32::from(max_limit) <= self.latency();
        let warm = limit >= max_limit && unpaced;
        self.level = Level {
            stage: if warm { Stage::Warm } else { stage },
            limit,
            interval: if warm { Duration::ZERO } else { interval },
            good_answers: 0,
            since: now,
        };
        self.next_start = self.next_start.min(now + self.level.interval);
    }

    /// Tells whether a latency is far above the recent one.
    ///
    /// Such a latency is left out of the average, which would otherwise hide the next one.
    fn is_slow(&self, latency: Duration) -> bool {
        let recent = self.latency();
        self.latency_measured_at.is_some()
            && latency > recent * SLOW_LATENCY_FACTOR
            && latency > recent + SLOW_LATENCY_EXCESS
    }

    /// Counts a slow answer.
    ///
    /// Slow answers may come from a target that turned cold or from a busy network or node. Both are
    /// answered with the load of a cold target; only a target that stays slow under that load must
    /// give all the answers of a cold start before it gets more.
    fn count_slow_answer(&mut self, now: Moment) {
        self.slow_answers += 1;
        if self.slow_answers < SLOW_ANSWER_LIMIT {
            return;
        }
        if self.level_before_suspicion.is_some() || self.level.stage == Stage::Cold {
            self.reset_to_cold(now);
        } else {
            self.slow_answers = 0;
            self.suspect_cold(now);
        }
    }

    fn update_latency(&mut self, latency: Duration, now: Moment) {
        let sample = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency_us = if self.latency_measured_at.is_some() {
            (self.latency_us * (LATENCY_SAMPLE_DIVISOR - 1) + sample) / LATENCY_SAMPLE_DIVISOR
        } else {
            sample
        };
        self.latency_measured_at = Some(now);
    }
}

impl Level {
    fn cold(policy: &policy::Target, now: Moment) -> Self {
        let interval = Duration::from_secs(1) / policy.cold_rate.max(1);
        let interval = interval + interval / PACING_MARGIN_DIVISOR;
        Self {
            stage: Stage::Cold,
            limit: policy
                .cold_concurrency
                .clamp(1, max_concurrency(policy).max(1)),
            interval,
            good_answers: 0,
            since: now,
        }
    }
}

/// Returns how many requests a target can run at once: each needs a slot and a connection.
fn max_concurrency(policy: &policy::Target) -> u16 {
    policy.slots.min(policy.connections)
}
