//! The slow start of one target: limits the load while the target is cold.
//!
//! A cold target can serve only a small load and fails under the full one. The ramp limits how many requests
//! run at once and how soon the next one may start, and raises both limits in steps while the target answers
//! quickly and without error. `docs/decisions/002-cold-start.md` gives the alternatives.

use std::time::Duration;

use crate::time::Moment;
use crate::version::policy;
use crate::wire::Reason;

/// Number of good answers after which the limits of a warming target are raised by one step.
///
/// Each step at most doubles the load, and only answers to requests that started after a step count towards
/// the next one.
pub const WARMING_STEP_ANSWERS: u32 = 4;

/// Number of good answers after which the limit on concurrency of a target that shed load is
/// raised by one.
///
/// The limit grows more slowly after load shedding than in a cold start, because it was just exceeded.
pub const RECOVERY_STEP_ANSWERS: u32 = 16;

/// Delay of the next start after the target shed a request. It doubles each time the target sheds again.
pub const SHED_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay after load shedding, so that the recovery of a target is noticed within a second.
pub const SHED_DELAY_MAX: Duration = Duration::from_secs(1);

/// Number of consecutive overloads, without a good answer between them, after which the target counts as
/// cold.
pub const OVERLOADS_BEFORE_COLD: u32 = 3;

/// Idle time after which a target may have been restarted unnoticed and is suspected of being cold.
pub const IDLE_BEFORE_SUSPECT: Duration = Duration::from_secs(5);

/// Idle time after which a target counts as cold, because its caches no longer hold the index.
pub const IDLE_BEFORE_COLD: Duration = Duration::from_mins(1);

/// An answer counts as slow if its latency is above the recent latency times this factor and also meets
/// [`SLOW_LATENCY_EXCESS`]. While a target is suspected of being cold, more than twice the recent latency is
/// enough.
pub const SLOW_LATENCY_FACTOR: u32 = 3;

/// An answer counts as slow only if its latency exceeds the recent latency by more than this, so that the
/// jitter of fast targets does not count.
pub const SLOW_LATENCY_EXCESS: Duration = Duration::from_millis(5);

/// Number of consecutive slow answers after which the target is suspected of being cold. Single slow answers
/// are normal.
pub const SLOW_ANSWERS_BEFORE_SUSPECT: u32 = 4;

/// Number of good answers that end the suspicion that the target is cold. Such an answer takes at most twice
/// the recent latency, because a target that became cold without a restart still answers, but more slowly.
pub const SUSPICION_END_ANSWERS: u32 = 2;

/// The interval between starts at a cold target is longer than its rate allows by one part in this number.
/// Starts that the network delays unevenly then still stay within the rate in every span of one second.
const PACING_MARGIN_DIVISOR: u32 = 10;

/// Maximum age of a latency on which refusals are based. Without a limit, an outdated high latency would
/// cause the refusal of every request whose answer could correct it.
pub const LATENCY_AGE_MAX: Duration = Duration::from_secs(1);

/// Each answer contributes one part in this number to the recent latency, a moving average.
const LATENCY_SAMPLE_DIVISOR: u64 = 8;

/// Maximum interval between starts at a cold target that sheds load, unless its rate requires a longer one.
const START_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// The stage of the slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The target gets at most the concurrency and the rate that its settings allow for a cold target.
    Cold,
    /// The target answered well while cold; the limits on concurrency and rate double with each step.
    Warming,
    /// The target shed load; the limit on concurrency grows by one with each step.
    Recovering,
    /// All slots may be used, without a limit on the rate.
    Warm,
}

/// The limits on the load of the target at the current step of the slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Level {
    stage: Stage,
    /// Maximum number of requests that run at once.
    limit: u16,
    /// Minimum time between two starts; zero if the rate is not limited.
    interval: Duration,
    /// Number of good answers at this level.
    good_answers: u32,
    /// The moment at which the level was reached. Good answers to requests that started earlier do not count
    /// for it; slow ones do.
    since: Moment,
}

/// The slow start of one target.
#[derive(Debug, Clone)]
pub struct Ramp {
    policy: policy::Target,
    level: Level,
    /// While the target is suspected of being cold: the level to restore if the next answers show that it is
    /// not.
    level_before_suspicion: Option<Level>,
    next_start: Moment,
    /// The generation that the target reported last; it changes when the target restarts. `None` until the
    /// target has reported one.
    generation: Option<u64>,
    /// The recent latency: a moving average without the latencies of slow answers.
    latency_us: u64,
    /// The moment of the last update of `latency_us`; `None` if the target has given no answer since it was
    /// last reset to cold.
    latency_measured_at: Option<Moment>,
    /// Number of slow answers and slow timeouts since the last answer that counted as good for a level.
    slow_answers: u32,
    /// Number of overloads since the last answer that counted as good for a level. A good answer to a request
    /// that started before the level was reached does not reset it.
    consecutive_overloads: u32,
    last_shed_at: Moment,
    last_start_at: Moment,
    last_used_at: Moment,
}

impl Ramp {
    /// Returns the ramp of a target of which nothing is known and which therefore counts as cold.
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
            consecutive_overloads: 0,
            last_shed_at: Moment::ZERO,
            last_start_at: Moment::ZERO,
            last_used_at: now,
        }
    }

    /// Returns the maximum number of requests that may run at once.
    pub fn limit(&self) -> u16 {
        self.level.limit.min(max_concurrency(&self.policy))
    }

    /// Returns the earliest moment at which the next request may start.
    pub const fn next_start(&self) -> Moment {
        self.next_start
    }

    /// Returns the minimum time between two starts, which is zero for a warm target.
    pub const fn start_interval(&self) -> Duration {
        self.level.interval
    }

    /// Returns the current stage of the slow start.
    pub const fn stage(&self) -> Stage {
        self.level.stage
    }

    /// Returns whether the target is suspected of having become cold, so that the next answers decide.
    pub const fn is_suspect(&self) -> bool {
        self.level_before_suspicion.is_some()
    }

    /// Returns the generation that the target last reported, or `None` before the first report.
    pub const fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Returns the moving average of the time from dispatch to answer, or zero before the first answer.
    pub const fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us)
    }

    /// Returns the recent latency, or `None` if it is too old to base a refusal on.
    pub fn fresh_latency(&self, now: Moment) -> Option<Duration> {
        let at = self.latency_measured_at?;
        (now.since(at) <= LATENCY_AGE_MAX).then(|| self.latency())
    }

    /// Applies changed limits of the target. A warm target does not become cold.
    pub fn set_policy(&mut self, policy: policy::Target, now: Moment) {
        self.policy = policy;
        match self.level.stage {
            Stage::Cold => {
                let good_answers = self.level.good_answers;
                self.level = Level::cold(&policy, self.level.since);
                self.level.good_answers = good_answers;
            }
            Stage::Warm => {
                // The target is not proven at a higher concurrency, so the limit is raised in steps.
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

    /// Checks how long the target has been idle. Must be called before each decision, with the number of
    /// running requests.
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

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Moment) {
        self.last_used_at = now;
        self.last_start_at = now;
        self.next_start = now + self.level.interval;
    }

    /// Records an answer to a request that started at `started`.
    ///
    /// A changed generation restarts the slow start. Slow answers may make the target suspected or cold. Good
    /// answers update the recent latency, end a suspicion, and raise the limits.
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
        let mean_latency = self.latency();
        // See `SUSPICION_END_ANSWERS`: under suspicion a good answer takes at most twice the recent latency.
        if self.level_before_suspicion.is_some() && latency > mean_latency * 2 {
            self.count_slow_answer(now);
            return;
        }
        self.slow_answers = 0;
        self.update_latency(latency, now);
        self.consecutive_overloads = 0;
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

    /// Records that a request that started at `started` was refused by the target or could not be sent to it.
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
            // A failure of a request that started under suspicion confirms the suspicion.
            self.reset_to_cold(now);
        } else {
            self.suspect_cold(now);
        }
    }

    /// Records the generation that the target reported. A change means that the target was restarted.
    pub fn record_generation(&mut self, generation: u64, now: Moment) {
        if self.generation.replace(generation) != Some(generation) {
            // The first generation is handled like a change. A target that answered without a generation
            // until then starts anew; any other one is still cold.
            self.reset_to_cold(now);
        }
    }

    /// Limits the load to that of a cold target until answers show that the target is not cold.
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

    /// Restarts the slow start, because the target is cold.
    pub fn reset_to_cold(&mut self, now: Moment) {
        self.level = Level::cold(&self.policy, now);
        self.level_before_suspicion = None;
        self.slow_answers = 0;
        // The latency of a warm target says nothing about the latency of a cold one.
        self.latency_measured_at = None;
        self.next_start = self
            .next_start
            .max(self.last_start_at + self.level.interval);
    }

    /// Lowers the limit and delays the next start, because the target shed a request.
    fn back_off(&mut self, started: Moment, now: Moment) {
        self.level.good_answers = 0;
        // Requests that ran at the same time and were all shed count as one overload.
        if started < self.last_shed_at {
            return;
        }
        self.last_shed_at = now;
        self.consecutive_overloads += 1;
        // Six doublings exceed `SHED_DELAY_MAX`; the limit on the exponent only avoids an overflow.
        let delay =
            (SHED_DELAY * (1 << (self.consecutive_overloads - 1).min(6))).min(SHED_DELAY_MAX);
        if self.level.stage == Stage::Cold {
            self.level.limit = (self.level.limit / 2).max(1);
            let longer_interval = (self.level.interval * 2).min(START_INTERVAL_MAX);
            self.level.interval = longer_interval.max(self.level.interval);
        } else if self.consecutive_overloads >= OVERLOADS_BEFORE_COLD {
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

    /// Raises the limits by one step if there were enough good answers at the current level.
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
        // Once pacing allows more starts than the slots can use, pacing is no longer needed.
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

    /// Returns whether a latency is far above the recent one.
    ///
    /// Such a latency is not added to the average. It would raise the average so much that the next slow
    /// answer would not be recognised.
    fn is_slow(&self, latency: Duration) -> bool {
        let mean_latency = self.latency();
        self.latency_measured_at.is_some()
            && latency > mean_latency * SLOW_LATENCY_FACTOR
            && latency > mean_latency + SLOW_LATENCY_EXCESS
    }

    /// Counts a slow answer, and suspects the target of being cold if there were several in a row.
    ///
    /// The cause may be a target that became cold, or a busy network or node. In both cases the load is
    /// limited to that of a cold target. Only a target that stays slow under this load has to go through a
    /// whole cold start before it gets more.
    fn count_slow_answer(&mut self, now: Moment) {
        self.slow_answers += 1;
        if self.slow_answers < SLOW_ANSWERS_BEFORE_SUSPECT {
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

/// Returns how many requests a target can run at once. Each needs a slot and a connection.
fn max_concurrency(policy: &policy::Target) -> u16 {
    policy.slots.min(policy.connections)
}
