//! Guards the arithmetic that permits and deadlines rest on.

use std::time::Duration;

use redwinggrade::time::Moment;
use redwinggrade::wire::Reason;
use rstest::rstest;

#[rstest]
#[case(5, 3, 2)]
#[case(3, 5, 0)]
fn since_never_underflows(#[case] now: u64, #[case] earlier: u64, #[case] expected: u64) {
    let elapsed = Moment::from_millis(now).since(Moment::from_millis(earlier));
    assert_eq!(elapsed, Duration::from_millis(expected));
}

#[test]
fn adding_to_never_stays_never() {
    assert_eq!(Moment::NEVER + Duration::from_secs(1), Moment::NEVER);
}

/// Guards against a reason that claims "not run" although a target may have started the work.
#[rstest]
#[case(Reason::ConnectionLost)]
#[case(Reason::Timeout)]
#[case(Reason::MismatchedAnswer)]
#[case(Reason::TargetError)]
#[case(Reason::OutcomeUnknown)]
fn doubtful_reasons_never_claim_not_run(#[case] reason: Reason) {
    assert!(!reason.not_run());
}
