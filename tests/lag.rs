//! Tests the measurement of scheduling lag.

use std::time::Duration;

use redwinggrade::process::lag::{Lag, WAKE_PERIOD};
use redwinggrade::time::Moment;

const LATE: Duration = Duration::from_millis(700);

/// Guards against lag that is reported although the process is not late.
#[test]
fn reports_no_lag_after_punctual_wakes() {
    let mut lag = Lag::open(Moment::ZERO);
    for _ in 0..5 {
        lag.record_wake(lag.next_wake());
    }
    assert_eq!(lag.at(lag.next_wake()), Duration::ZERO);
}

/// Guards against lag that is reported only after the process has become responsive again.
#[test]
fn reports_overdue_wake_before_it_happens() {
    let lag = Lag::open(Moment::ZERO);
    assert_eq!(lag.at(Moment::ZERO + WAKE_PERIOD + LATE), LATE);
}

/// Guards against lag that is forgotten before the next measurement.
#[test]
fn reports_late_wake_until_next_one() {
    let mut lag = Lag::open(Moment::ZERO);
    let now = Moment::ZERO + WAKE_PERIOD + LATE;
    lag.record_wake(now);
    assert_eq!(lag.at(now), LATE);
    lag.record_wake(lag.next_wake());
    assert_eq!(lag.at(lag.next_wake()), Duration::ZERO);
}
