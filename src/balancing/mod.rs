//! Even load: what the choice of a target takes into account beyond the requests of one node.
//!
//! Many nodes choose at the same moment, each from few observations of its own. Two rules of [`Mode::Shared`] keep the
//! load even. Differences in speed that are usual among targets do not count, because otherwise nodes crowd at the
//! fastest targets and send paid traffic to other data centres for nothing. And nodes tell each other, in heartbeats
//! that are sent anyway, of targets that are much slower than usual, so that not every node has to find out by itself.
//!
//! The functions use no clock, socket or global random number generator. `docs/design/even-load.md` gives what was
//! weighed, with the figures.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::process::registry::TargetKey;
use crate::time::Moment;

/// The slowness above 1.0 that counts as usual. Targets differ in speed by up to a third, and the moving average of a
/// few answers varies by about as much.
const TOLERATED_SLOWNESS: f64 = 0.5;
/// An answer that takes this multiple of the expected time is evidence that its target is slow. About one answer in a
/// thousand of a target of usual speed takes that long.
const SLOW_RATIO: f64 = 3.0;
/// The number of such answers in a row, over all nodes, after which a target counts as slow.
const SLOW_ANSWERS_MIN: u32 = 3;
/// Minimum time from the first to the last of them. The answers that one pause of 200 ms delays are closer together.
const SLOW_ROW_DURATION_MIN: Duration = Duration::from_millis(250);
/// The time without such an answer after which a row ends.
const SLOW_ROW_GAP_MAX: Duration = Duration::from_secs(2);
/// How long a target must have been stalled to be reported as stalled. Ordinary answers take less.
const REPORTED_STALL_MIN: Duration = Duration::from_millis(100);
/// How long a target that another node reported as stalled counts as [`SLOW_RATIO`] times as slow as usual: until the
/// next heartbeat of that node. A pause of 200 ms and the work that it delayed end about then.
const STALL_DURATION: Duration = Duration::from_millis(300);
/// The reported ratio of a target that was stalled when the heartbeat was sent, and may have paused or become slow.
const STALLED: u8 = u8::MAX;
/// How long a target must have been stalled to count as if it had given a slow answer. Pauses are shorter. Slow answers
/// themselves are rarely seen, because their requests end before.
const STALL_MIN: Duration = Duration::from_millis(250);
/// The time after which what is known of a slow target has lost half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The weight of one answer in the moving average of a slow target's slowness.
const ANSWER_WEIGHT: f64 = 0.25;
/// The slowness above which a target is not known to be as fast as usual again.
const DOUBTFUL_SLOWNESS: f64 = 1.3;
/// The share of the choices that disregard that a target is slow, so that some node notices when it no longer is.
const TRIAL_SHARE: f64 = 0.02;
/// Minimum share of a report that a node takes into account. The share differs between nodes for each target, so that
/// they do not all return to a target at the same time.
const REPORT_WEIGHT_MIN: f64 = 0.5;
/// Maximum ratio of an answer's time to the expected time that counts.
const RATIO_MAX: f64 = 20.0;
/// The units of a reported ratio in 1.0.
const RATIO_UNITS: f64 = 4.0;
/// Maximum number of entries in a report. An entry takes at most 8 bytes, and a report at most 250.
pub const ENTRIES_MAX: usize = 30;

/// How a node estimates the slowness of targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// From its own requests alone.
    #[default]
    Separate,
    /// From its own requests and what other nodes report, without differences that are usual among targets.
    Shared,
}

/// What a node has seen of one target since its last report: the hash of the target's name, and the mean time of its
/// answers as a multiple of the expected time, in quarters, or the greatest number if it was stalled and gave none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load(pub u32, pub u8);

/// What this node and others have seen of the targets, as far as it shows which ones are slow.
#[derive(Debug)]
pub struct Loads {
    /// The hash of this node's name.
    node_hash: u64,
    evidence: SecondaryMap<TargetKey, Evidence>,
    keys: HashMap<u32, TargetKey>,
    /// The expected time of the last answer.
    expected: Duration,
}

/// What is known of one target.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// The hash of the target's name.
    name: u32,
    /// The share of the slowness that this node takes into account.
    weight: f64,
    /// The number of slow answers since the last one that was not slow.
    slow_answers: u32,
    /// When the first and the last of them came.
    slow_row: (Moment, Moment),
    /// Moving average of the answers' times as multiples of the expected time, once the target counts as slow; 1.0
    /// otherwise.
    slowness: f64,
    updated_at: Moment,
    /// Until when the target counts as stalled because another node reported it.
    stalled_until: Moment,
    /// Whether the target is to be reported as stalled.
    is_stalled: bool,
    /// The sum and the number of the ratios that are not reported yet.
    unreported: (f64, u32),
}

impl Evidence {
    fn slowness_at(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(half_lives)
    }

    fn add(&mut self, ratio: f64, now: Moment) {
        self.slowness = self.slowness_at(now);
        self.updated_at = now;
        if ratio < SLOW_RATIO {
            self.slow_answers = 0;
            self.stalled_until = now;
        } else {
            if self.slow_answers == 0 || now.since(self.slow_row.1) > SLOW_ROW_GAP_MAX {
                self.slow_answers = 0;
                self.slow_row.0 = now;
            }
            self.slow_answers = self.slow_answers.saturating_add(1);
            self.slow_row.1 = now;
        }
        let is_slow = self.slow_answers >= SLOW_ANSWERS_MIN
            && now.since(self.slow_row.0) >= SLOW_ROW_DURATION_MIN;
        if is_slow || ratio < self.slowness {
            self.slowness += (ratio.max(1.0) - self.slowness) * ANSWER_WEIGHT;
        }
    }

    /// Tells whether answers at the usual speed are worth reporting.
    fn is_doubtful(&self, now: Moment) -> bool {
        self.slow_answers > 0 || self.slowness_at(now) > DOUBTFUL_SLOWNESS
    }
}

impl Loads {
    /// Creates a record without targets; `node` is the name of this node.
    pub fn open(node: &str) -> Self {
        Self {
            node_hash: xxh3_64(node.as_bytes()),
            evidence: SecondaryMap::new(),
            keys: HashMap::new(),
            expected: Duration::ZERO,
        }
    }

    /// Adds a target.
    pub fn add(&mut self, key: TargetKey, name: &str, now: Moment) {
        /// Steps of the share that a node takes into account.
        const STEPS: u64 = 1_024;
        let draw = xxh3_64_with_seed(name.as_bytes(), self.node_hash) % STEPS;
        let evidence = Evidence {
            name: xxh3_64(name.as_bytes()) as u32,
            weight: REPORT_WEIGHT_MIN + (1.0 - REPORT_WEIGHT_MIN) * draw as f64 / STEPS as f64,
            slow_answers: 0,
            slow_row: (now, now),
            slowness: 1.0,
            updated_at: now,
            stalled_until: now,
            is_stalled: false,
            unreported: (0.0, 0),
        };
        self.keys.insert(evidence.name, key);
        self.evidence.insert(key, evidence);
    }

    /// Removes a target. Another run of it may have been added before.
    pub fn forget(&mut self, key: TargetKey) {
        if let Some(evidence) = self.evidence.remove(key)
            && self.keys.get(&evidence.name) == Some(&key)
        {
            self.keys.remove(&evidence.name);
        }
    }

    /// Records the time of an answer to this node.
    pub fn observe(&mut self, key: TargetKey, took: Duration, expected: Duration, now: Moment) {
        self.expected = expected;
        let Some(evidence) = self.evidence.get_mut(key) else {
            return;
        };
        let ratio = (took.as_secs_f64() / expected.as_secs_f64().max(0.001)).min(RATIO_MAX);
        evidence.add(ratio, now);
        evidence.unreported.0 += ratio;
        evidence.unreported.1 += 1;
    }

    /// Records that a target has been stalled for this long, although it could be reached when it was last tried.
    pub fn observe_stall(&mut self, key: TargetKey, stalled_for: Duration, now: Moment) {
        if stalled_for >= REPORTED_STALL_MIN
            && let Some(evidence) = self.evidence.get_mut(key)
        {
            evidence.is_stalled = true;
        }
        if stalled_for >= STALL_MIN && !self.expected.is_zero() {
            self.observe(key, stalled_for, self.expected, now);
        }
    }

    /// Returns the slowness that counts in the choice of a target. `own` is the slowness by this node's requests.
    pub fn slowness<R>(&self, key: TargetKey, own: f64, random: &mut R, now: Moment) -> f64
    where
        R: Rng,
    {
        let own = (own - TOLERATED_SLOWNESS).max(1.0);
        let shared = self.shared_slowness(key, now);
        if shared > 1.0 && random.random_bool(TRIAL_SHARE) {
            return 1.0;
        }
        own.max(shared)
    }

    /// Returns the slowness by the answers to all nodes, as far as this node takes it into account; 1.0 unless the
    /// target is known as slow or stalled.
    pub fn shared_slowness(&self, key: TargetKey, now: Moment) -> f64 {
        let Some(evidence) = self.evidence.get(key) else {
            return 1.0;
        };
        let stalled = if evidence.stalled_until > now {
            SLOW_RATIO
        } else {
            1.0
        };
        let slowness = evidence.slowness_at(now);
        if slowness > DOUBTFUL_SLOWNESS {
            stalled.max(1.0 + (slowness - 1.0) * evidence.weight)
        } else {
            stalled
        }
    }

    /// Returns what the next heartbeat says of targets: those that were slow, and those that others may still take for
    /// slow. If they are more than [`ENTRIES_MAX`], the fastest are left out.
    pub fn report(&mut self, now: Moment) -> Vec<Load> {
        let mut loads = Vec::new();
        for evidence in self.evidence.values_mut() {
            let (sum, count) = std::mem::take(&mut evidence.unreported);
            let is_stalled = std::mem::take(&mut evidence.is_stalled);
            if count == 0 {
                if is_stalled {
                    loads.push(Load(evidence.name, STALLED));
                }
                continue;
            }
            let ratio = sum / f64::from(count);
            if ratio >= SLOW_RATIO || evidence.is_doubtful(now) {
                loads.push(Load(evidence.name, (ratio * RATIO_UNITS) as u8));
            }
        }
        if loads.len() > ENTRIES_MAX {
            loads.sort_unstable_by_key(|load| Reverse(load.1));
            loads.truncate(ENTRIES_MAX);
        }
        loads
    }

    /// Records the report of another node.
    pub fn record(&mut self, loads: &[Load], now: Moment) {
        for &Load(name, ratio) in loads.iter().take(ENTRIES_MAX) {
            let key = self.keys.get(&name);
            if let Some(evidence) = key.and_then(|key| self.evidence.get_mut(*key)) {
                if ratio == STALLED {
                    evidence.stalled_until = now + STALL_DURATION;
                    continue;
                }
                evidence.add((f64::from(ratio) / RATIO_UNITS).min(RATIO_MAX), now);
            }
        }
    }

    /// Returns the number of targets that are known as slow.
    pub fn slow_targets(&self, now: Moment) -> usize {
        let slow = self.evidence.values();
        slow.filter(|it| it.slowness_at(now) > DOUBTFUL_SLOWNESS)
            .count()
    }
}
