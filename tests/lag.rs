//! Guards the measure of how late a process is.

use std::time::Duration;

use redwinggrade::process::lag::{Lag, PERIOD};
use redwinggrade::time::Moment;

const LATE: Duration = Duration::from_millis(700);

#[test]
fn a_wake_in_time_means_no_lag() {
    let mut lag = Lag::open(Moment::ZERO);
    for _ in 0..5 {
        lag.wake(lag.due());
    }
    assert_eq!(lag.at(lag.due()), Duration::ZERO);
}

#[test]
fn a_wake_that_is_overdue_counts_before_it_comes() {
    let lag = Lag::open(Moment::ZERO);
    assert_eq!(lag.at(Moment::ZERO + PERIOD + LATE), LATE);
}

#[test]
fn a_late_wake_counts_until_the_next_one() {
    let mut lag = Lag::open(Moment::ZERO);
    let now = Moment::ZERO + PERIOD + LATE;
    lag.wake(now);
    assert_eq!(lag.at(now), LATE);
    lag.wake(lag.due());
    assert_eq!(lag.at(lag.due()), Duration::ZERO);
}
