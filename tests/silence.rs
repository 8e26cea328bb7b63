//! Guards against subrequests that are sent to a gateway that gives no results, and against avoiding a
//! gateway that does.

use std::time::Duration;

use redwinggrade::request::silence::{SILENCE, SILENCE_MAX, Silence};
use redwinggrade::time::Moment;
use rstest::rstest;

const START: Moment = Moment::from_millis(1_000);

#[rstest]
#[case::idle(&[], SILENCE, false)]
#[case::too_soon(&["sent"], SILENCE / 2, false)]
#[case::silent(&["sent"], SILENCE, true)]
#[case::heard(&["sent", "heard"], SILENCE, false)]
#[case::silent_after_a_result(&["sent", "heard"], SILENCE * 2, true)]
#[case::ended(&["sent", "ended"], SILENCE, false)]
#[case::one_of_two_ended(&["sent", "sent", "ended"], SILENCE, true)]
#[case::sent_again(&["sent", "ended", "sent"], SILENCE, false)]
#[case::too_long_ago(&["sent"], SILENCE_MAX, false)]
fn a_gateway_is_silent(#[case] events: &[&str], #[case] after: Duration, #[case] expected: bool) {
    let mut silence = Silence::default();
    // The first event is at the start, later ones follow half a time of silence later.
    let mut now = START;
    for event in events {
        match *event {
            "sent" => silence.sent("node-5", now),
            "heard" => silence.heard("node-5", now),
            _ => silence.ended("node-5"),
        }
        now = START + SILENCE / 2;
    }
    assert_eq!(silence.is_silent("node-5", START + after), expected);
    assert!(!silence.is_silent("node-6", START + after));
}
