//! Guards against subrequests that are sent to a gateway that returns no results, and against avoiding a
//! gateway that returns some.

use std::time::Duration;

use redwinggrade::request::stall::{STALL_EXPIRY, STALL_THRESHOLD, StallDetector};
use redwinggrade::time::Moment;
use rstest::rstest;

const START: Moment = Moment::from_millis(1_000);

#[rstest]
#[case::without_batches(&[], STALL_THRESHOLD, false)]
#[case::below_threshold(&["sent"], STALL_THRESHOLD / 2, false)]
#[case::no_result(&["sent"], STALL_THRESHOLD, true)]
#[case::recent_result(&["sent", "heard"], STALL_THRESHOLD, false)]
#[case::no_result_after_an_earlier_one(&["sent", "heard"], STALL_THRESHOLD * 2, true)]
#[case::batch_ended(&["sent", "ended"], STALL_THRESHOLD, false)]
#[case::one_of_two_batches_ended(&["sent", "sent", "ended"], STALL_THRESHOLD, true)]
#[case::new_batch_after_idle_time(&["sent", "ended", "sent"], STALL_THRESHOLD, false)]
#[case::after_expiry(&["sent"], STALL_EXPIRY, false)]
fn detects_gateway_without_results(
    #[case] events: &[&str],
    #[case] after: Duration,
    #[case] expected: bool,
) {
    let mut stalls = StallDetector::default();
    // The first event is at the start, the others half of the threshold later.
    let mut now = START;
    for event in events {
        match *event {
            "sent" => stalls.batch_sent("node-5", now),
            "heard" => stalls.result_received("node-5", now),
            _ => stalls.batch_ended("node-5"),
        }
        now = START + STALL_THRESHOLD / 2;
    }
    assert_eq!(stalls.is_stalled("node-5", START + after), expected);
    assert!(!stalls.is_stalled("node-6", START + after));
}
