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
/// The number of answers below which a version is not judged by its median time.
const ANSWERS_MIN: u32 = 5;
/// The number of answers below which a version is not judged by its upper quartile, which short pauses of targets reach
/// more easily.
const ANSWERS_MIN_QUARTILE: u32 = 12;
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

/// Judges a version by the answers on one route, all of them and the recent ones. Recent answers show a version that was
/// good at first.
pub fn judge(all: &Tally, recent: &Tally) -> Option<Fault> {
    // In the shift old targets get no requests, so recent answers are compared with their earlier ones.
    let recent_old = if recent.old.total() >= 2 * ANSWERS_MIN_QUARTILE {
        &recent.old
    } else {
        &all.old
    };
    let pairs = [(&all.new, &all.old), (&recent.new, recent_old)];
    let is_one_target = all.failed_targets.is_power_of_two() && all.asked_targets.count_ones() > 1;
    let failed_min = if is_one_target {
        FAILED_BY_ONE_TARGET_MIN
    } else {
        FAILED_MIN
    };
    let fails = pairs
        .iter()
        .any(|(new, old)| new.failed >= failed_min && fails_more(new, old));
    if fails {
        return Some(Fault::Failures);
    }
    let slow = pairs.iter().any(|(new, old)| is_slower(new, old));
    slow.then_some(Fault::Slow)
}

/// Compares the shares of failures by a test for two proportions, with a correction for small counts.
fn fails_more(new: &Answers, old: &Answers) -> bool {
    if old.total() == 0 {
        return false;
    }
    let (new_total, old_total) = (f64::from(new.total()), f64::from(old.total()));
    let (new_share, old_share) = (
        f64::from(new.failed) / new_total,
        f64::from(old.failed) / old_total,
    );
    let pooled = f64::from(new.failed + old.failed) / (new_total + old_total);
    let spread = new_total.recip() + old_total.recip();
    let error = (pooled * (1.0 - pooled) * spread).sqrt();
    let difference = new_share - old_share - spread / 2.0;
    new_share > 2.0 * old_share && difference > SCORE_MIN * error
}

fn is_slower(new: &Answers, old: &Answers) -> bool {
    if new.good() < ANSWERS_MIN || old.good() < ANSWERS_MIN {
        return false;
    }
    let is_later = |quarter| new.times.quarter(quarter) >= old.times.quarter(quarter) + SLOW_RANGES;
    is_later(2) || (new.good() >= ANSWERS_MIN_QUARTILE && is_later(3))
}
