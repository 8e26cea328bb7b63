//! Evidence: counts and times of the answers of new and of old targets on one route.
//!
//! Counts only rise, and the sum over nodes is taken of the last counts of each, so a lost report loses nothing.

use std::time::Duration;

/// The number of ranges of times, each half an octave wide, from 1 ms to beyond the longest useful answer (2.9 s).
const RANGES: usize = 24;

/// The numbers of answers by their time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Times([u16; RANGES]);

impl Times {
    /// Counts an answer.
    pub fn record(&mut self, took: Duration) {
        let halves = (took.as_secs_f64() * 1_000.0).max(1.0).log2() * 2.0;
        let range = (halves as usize).min(RANGES - 1);
        self.0[range] = self.0[range].saturating_add(1);
    }

    /// Returns the number of answers.
    pub fn total(&self) -> u32 {
        self.0.iter().copied().map(u32::from).sum()
    }

    /// Returns the number of the range that contains a quantile, given in quarters.
    pub fn quarter(&self, quarters: u32) -> usize {
        let rank = (self.total() * quarters).div_ceil(4).max(1);
        let mut count = 0;
        for (range, answers) in self.0.iter().enumerate() {
            count += u32::from(*answers);
            if count >= rank {
                return range;
            }
        }
        RANGES - 1
    }

    /// Returns the number of answers in a range or a later one.
    pub fn count_from(&self, range: usize) -> u32 {
        let later = self.0.iter().skip(range);
        later.copied().map(u32::from).sum()
    }

    /// Returns the ranges that have answers, with their counts.
    pub fn filled(&self) -> impl Iterator<Item = (u16, u16)> {
        let filled = self.0.iter().enumerate().filter(|(_, count)| **count > 0);
        filled.map(|(range, count)| (range as u16, *count))
    }

    /// Sets the count of a range; ranges that do not exist are ignored.
    pub fn set(&mut self, range: u16, count: u16) {
        if let Some(known) = self.0.get_mut(usize::from(range)) {
            *known = count;
        }
    }

    fn combine(&mut self, other: &Self, change: impl Fn(u16, u16) -> u16) {
        for (count, other) in self.0.iter_mut().zip(other.0) {
            *count = change(*count, other);
        }
    }
}

/// The answers of the targets of one side.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Answers {
    /// Requests that failed: the target answered with a failure, late, or not completely.
    pub failed: u32,
    /// The good answers, by their time.
    pub times: Times,
}

impl Answers {
    /// Returns the number of good answers.
    pub fn good(&self) -> u32 {
        self.times.total()
    }

    /// Returns the number of all answers.
    pub fn total(&self) -> u32 {
        self.good() + self.failed
    }

    fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        self.times.combine(&other.times, u16::saturating_add);
    }

    /// Returns the answers since an earlier count. A node that starts again counts anew, so differences stop at zero.
    fn since(&self, earlier: &Self) -> Self {
        let mut since = *self;
        since.failed = since.failed.saturating_sub(earlier.failed);
        since.times.combine(&earlier.times, u16::saturating_sub);
        since
    }
}

/// The result of one request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The target answered well after this time.
    Good(Duration),
    /// The target answered well while it was cold, so the time shows nothing about its version.
    GoodCold,
    /// The target failed to answer, or its answer was a failure.
    Failed,
}

/// The answers of both sides on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// The answers of targets of the new version.
    pub new: Answers,
    /// The answers of the other targets.
    pub old: Answers,
    /// One bit for each target of the new version that failed; several targets may share a bit.
    pub failed_targets: u8,
    /// One bit for each target of the new version that answered or failed.
    pub asked_targets: u8,
}

impl Tally {
    /// The number of bits by which targets are told apart.
    const TARGET_BITS: u32 = 7;

    /// Counts an answer of a target of the new version.
    pub fn record_new(&mut self, target: &str, sample: Sample) {
        let bit = 1 << (super::short_hash(target) % Self::TARGET_BITS);
        self.asked_targets |= bit;
        if sample == Sample::Failed {
            self.failed_targets |= bit;
        }
        Self::record(&mut self.new, sample);
    }

    /// Counts an answer of another target.
    pub fn record_old(&mut self, sample: Sample) {
        Self::record(&mut self.old, sample);
    }

    fn record(answers: &mut Answers, sample: Sample) {
        match sample {
            Sample::Good(took) => answers.times.record(took),
            Sample::GoodCold => {}
            Sample::Failed => answers.failed += 1,
        }
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
        self.failed_targets |= other.failed_targets;
        self.asked_targets |= other.asked_targets;
    }

    /// Returns the answers since an earlier tally. The bits of the targets are those since the start.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            new: self.new.since(&earlier.new),
            old: self.old.since(&earlier.old),
            ..*self
        }
    }
}
