//! Tests the arithmetic of moments, which permits and deadlines depend on, and the "not run" reasons.

use std::time::Duration;

use redwinggrade::time::Moment;
use redwinggrade::wire::Reason;
use rstest::rstest;

/// Guards against an elapsed time that underflows if the earlier moment lies in the future.
#[rstest]
#[case(5, 3, 2)]
#[case(3, 5, 0)]
fn time_since_future_moment_is_zero(#[case] now: u64, #[case] earlier: u64, #[case] expected: u64) {
    let elapsed = Moment::from_millis(now).since(Moment::from_millis(earlier));
    assert_eq!(elapsed, Duration::from_millis(expected));
}

/// Guards against an overflow that turns a moment that never comes into an early one.
#[test]
fn never_plus_duration_is_never() {
    assert_eq!(Moment::NEVER + Duration::from_secs(1), Moment::NEVER);
}

/// Guards against a reason that reports "not run" although a target may have started the request.
#[rstest]
#[case(Reason::ConnectionLost)]
#[case(Reason::Timeout)]
#[case(Reason::MismatchedAnswer)]
#[case(Reason::TargetError)]
#[case(Reason::OutcomeUnknown)]
fn reasons_with_unknown_outcome_never_report_not_run(#[case] reason: Reason) {
    assert!(!reason.not_run());
}
