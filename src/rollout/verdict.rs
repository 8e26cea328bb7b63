//! The verdict on a version: whether its answers are worse than those of the present one on the same route.

use derive_more::Display;

use super::evidence::{Answers, Tally};

/// The number of failures below which a version is not judged by them.
const FAILED_MIN: u32 = 3;
/// The number of failures below which those of a single target do not count against the version, if other targets of it
/// answer. Targets fail for some seconds for reasons of their own, and get a few canary requests meanwhile.
const FAILED_BY_ONE_TARGET_MIN: u32 = 8;
/// The standard score from which failures are clearly more frequent. Many services are judged several times a second, so a
/// score that chance reaches once in a hundred cases would roll back good versions.
const SCORE_MIN: f64 = 3.0;
/// The standard score from which failures are a doubt that keeps a service with few requests from a shift.
const DOUBT_SCORE_MIN: f64 = 2.0;
/// The number of answers below which a version is not judged by its median time.
const ANSWERS_MIN: u32 = 5;
/// The number of answers below which a version is not judged by its upper quartile, which short pauses of targets reach
/// more easily.
const ANSWERS_MIN_QUARTILE: u32 = 12;
/// The number of answers of old targets below which times are not compared.
const OLD_ANSWERS_MIN: u32 = 20;
/// The number of half octaves by which a slow version is slower. Times of three ranges later are 2 to 4 times as long, and
/// each time that is 2.9 times as long is at least three ranges later.
const SLOW_RANGES: usize = 3;

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fault {
    /// Its targets fail more often than those of the present version.
    #[display("failures")]
    Failures,
    /// Its answers take several times as long.
    #[display("slow")]
    Slow,
}

/// The answers of both sides on one route: all of them, and the recent ones.
#[derive(Debug, Clone, Copy)]
pub struct Comparison {
    /// The answers since the order.
    pub all: Tally,
    /// The answers of the last seconds, which show a version that was good at first.
    pub recent: Tally,
}

impl Comparison {
    /// Returns the recent answers with those of old targets that they are compared with. In the shift old targets get no
    /// requests, so their earlier answers take their place.
    fn recent_pair(&self) -> Pair {
        let old = if self.recent.old.total() >= OLD_ANSWERS_MIN {
            self.recent.old
        } else {
            self.all.old
        };
        Pair {
            new: self.recent.new,
            old,
        }
    }

    const fn all_pair(&self) -> Pair {
        Pair {
            new: self.all.new,
            old: self.all.old,
        }
    }
}

/// The answers of both sides in the same time on one route.
#[derive(Debug, Clone, Copy)]
struct Pair {
    new: Answers,
    old: Answers,
}

impl Pair {
    fn failures(&self) -> Sample {
        Sample {
            new: (self.new.failed, self.new.total()),
            old: (self.old.failed, self.old.total()),
        }
    }
}

/// Returns the number of failures from which they count.
fn failed_min<'a>(routes: impl Iterator<Item = &'a Tally>) -> u32 {
    let (failed, asked) = routes.fold((0_u8, 0_u8), |(failed, asked), tally| {
        (failed | tally.failed_targets, asked | tally.asked_targets)
    });
    if failed.is_power_of_two() && asked.count_ones() > 1 {
        FAILED_BY_ONE_TARGET_MIN
    } else {
        FAILED_MIN
    }
}

/// Tells whether failures since the order, given by route, make a version doubtful although they do not suffice for a
/// verdict.
pub fn is_doubtful<'a>(routes: impl Iterator<Item = &'a Tally> + Clone) -> bool {
    let failed_min = failed_min(routes.clone());
    let samples = routes.map(|tally| {
        let (new, old) = (tally.new, tally.old);
        Pair { new, old }.failures()
    });
    is_more_frequent(&samples.collect::<Vec<_>>(), failed_min, DOUBT_SCORE_MIN)
}

/// Judges a version by its answers on all routes.
pub fn judge(routes: &[Comparison]) -> Option<Fault> {
    let failed_min = failed_min(routes.iter().map(|route| &route.all));
    let all: Vec<Pair> = routes.iter().map(Comparison::all_pair).collect();
    let recent: Vec<Pair> = routes.iter().map(Comparison::recent_pair).collect();
    let fails = |pairs: &[Pair]| {
        let samples: Vec<Sample> = pairs.iter().map(Pair::failures).collect();
        // One route may fail among many good ones, and few failures on each route may be many together.
        let mut alone = samples.iter().map(std::slice::from_ref);
        is_more_frequent(&samples, failed_min, SCORE_MIN)
            || alone.any(|sample| is_more_frequent(sample, failed_min, SCORE_MIN))
    };
    if fails(&all) || fails(&recent) {
        return Some(Fault::Failures);
    }
    let slow = all.iter().chain(&recent).any(is_slower);
    slow.then_some(Fault::Slow)
}

/// How many of the requests on each side have a property.
#[derive(Debug, Clone, Copy)]
struct Sample {
    new: (u32, u32),
    old: (u32, u32),
}

/// Tells whether a property is clearly more frequent on the new side, by the test of Mantel and Haenszel: each sample is
/// compared in itself, and the differences are added. Requests without others to compare with do not count.
fn is_more_frequent(samples: &[Sample], count_min: u32, score_min: f64) -> bool {
    let (mut count, mut usual, mut expected, mut variance) = (0, 0.0, 0.0, 0.0);
    for sample in samples {
        let (new_count, new_total) = sample.new;
        let (old_count, old_total) = sample.old;
        if new_total == 0 || old_total == 0 {
            continue;
        }
        let (new_total, old_total) = (f64::from(new_total), f64::from(old_total));
        let total = new_total + old_total;
        let share = f64::from(new_count + old_count) / total;
        count += new_count;
        usual += new_total * f64::from(old_count) / old_total;
        expected += new_total * share;
        variance += new_total * old_total / total * share * (1.0 - share);
    }
    // The half is the usual correction for counts, which are whole.
    let excess = f64::from(count) - expected - 0.5;
    count >= count_min && f64::from(count) > 2.0 * usual && excess > score_min * variance.sqrt()
}

/// Tells whether the median or the upper quartile is several times as long. Answers from that range on must also be
/// clearly more frequent than usual, as quartiles of few answers differ by chance.
fn is_slower(pair: &Pair) -> bool {
    let Pair { new, old } = pair;
    if new.good() < ANSWERS_MIN || old.good() < OLD_ANSWERS_MIN {
        return false;
    }
    let is_later = |quarter| {
        let limit = old.times.quarter(quarter) + SLOW_RANGES;
        let sample = Sample {
            new: (new.times.count_from(limit), new.good()),
            old: (old.times.count_from(limit), old.good()),
        };
        new.times.quarter(quarter) >= limit && is_more_frequent(&[sample], FAILED_MIN, SCORE_MIN)
    };
    is_later(2) || (new.good() >= ANSWERS_MIN_QUARTILE && is_later(3))
}
