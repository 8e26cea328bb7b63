//! Guards against subrequests that are sent to a gateway that gives no results, and against avoiding a
//! gateway that does.

use std::time::Duration;

use redwinggrade::request::stall::{STALL_EXPIRY, STALL_THRESHOLD, StallDetector};
use redwinggrade::time::Moment;
use rstest::rstest;

const START: Moment = Moment::from_millis(1_000);

#[rstest]
#[case::idle(&[], STALL_THRESHOLD, false)]
#[case::too_soon(&["sent"], STALL_THRESHOLD / 2, false)]
#[case::silent(&["sent"], STALL_THRESHOLD, true)]
#[case::heard(&["sent", "heard"], STALL_THRESHOLD, false)]
#[case::silent_after_a_result(&["sent", "heard"], STALL_THRESHOLD * 2, true)]
#[case::ended(&["sent", "ended"], STALL_THRESHOLD, false)]
#[case::one_of_two_ended(&["sent", "sent", "ended"], STALL_THRESHOLD, true)]
#[case::sent_again(&["sent", "ended", "sent"], STALL_THRESHOLD, false)]
#[case::too_long_ago(&["sent"], STALL_EXPIRY, false)]
fn a_gateway_is_silent(#[case] events: &[&str], #[case] after: Duration, #[case] expected: bool) {
    let mut stalls = StallDetector::default();
    // The first event is at the start, later ones follow half a time of silence later.
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
