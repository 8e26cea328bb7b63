//! Guards the measure of how late a process is.

use std::time::Duration;

use redwinggrade::process::lag::{Lag, WAKE_PERIOD};
use redwinggrade::time::Moment;

const LATE: Duration = Duration::from_millis(700);

#[test]
fn a_wake_in_time_means_no_lag() {
    let mut lag = Lag::open(Moment::ZERO);
    for _ in 0..5 {
        lag.record_wake(lag.next_wake());
    }
    assert_eq!(lag.at(lag.next_wake()), Duration::ZERO);
}

#[test]
fn a_wake_that_is_overdue_counts_before_it_comes() {
    let lag = Lag::open(Moment::ZERO);
    assert_eq!(lag.at(Moment::ZERO + WAKE_PERIOD + LATE), LATE);
}

#[test]
fn a_late_wake_counts_until_the_next_one() {
    let mut lag = Lag::open(Moment::ZERO);
    let now = Moment::ZERO + WAKE_PERIOD + LATE;
    lag.record_wake(now);
    assert_eq!(lag.at(now), LATE);
    lag.record_wake(lag.next_wake());
    assert_eq!(lag.at(lag.next_wake()), Duration::ZERO);
}
