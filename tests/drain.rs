//! Guards the planned stop of a node.

use std::time::Duration;

use redwinggrade::process::address::LIST_LIFETIME;
use redwinggrade::process::drain::{Drain, Event, FINISH_MAX, MARGIN, Phase, REFUSE};
use redwinggrade::time::Moment;
use rstest::rstest;

const START: Moment = Moment::from_millis(1_000);
const MILLI: Duration = Duration::from_millis(1);

/// Returns a drain in a phase that has just begun, and the time.
fn at(phase: Phase) -> (Drain, Moment) {
    let mut drain = Drain::open(START);
    let mut now = START;
    if phase > Phase::Serving {
        drain.step(Event::Stop, now);
    }
    while drain.phase() < phase {
        now = drain.wake().expect("a stop goes on by itself");
        drain.step(Event::Tick { running: 0 }, now);
    }
    (drain, now)
}

/// Guards against a phase that ends too early, or never.
#[rstest]
#[case(Phase::Unlisted, LIST_LIFETIME + MARGIN, 0, Phase::Refusing)]
#[case(Phase::Unlisted, LIST_LIFETIME + MARGIN, 3, Phase::Refusing)]
#[case(Phase::Refusing, REFUSE, 0, Phase::Finishing)]
#[case(Phase::Finishing, Duration::ZERO, 0, Phase::Done)]
#[case(Phase::Finishing, FINISH_MAX, 2, Phase::Done)]
fn phases_end_in_time(
    #[case] phase: Phase,
    #[case] wait: Duration,
    #[case] running: usize,
    #[case] next: Phase,
) {
    let (mut drain, begun) = at(phase);
    if !wait.is_zero() {
        let early = begun + wait - MILLI;
        assert_eq!(drain.step(Event::Tick { running }, early), phase);
    }
    assert_eq!(drain.step(Event::Tick { running }, begun + wait), next);
    assert_eq!(drain.interrupted(), next == Phase::Done && running > 0);
}

/// Guards against a refused caller who holds a list that is still valid.
#[test]
fn serves_for_as_long_as_callers_may_keep_a_list() {
    let (mut drain, begun) = at(Phase::Unlisted);
    drain.step(Event::Tick { running: 0 }, begun + LIST_LIFETIME);
    assert!(drain.accepts() && !drain.listed());
}

/// Guards against a stop that a second signal restarts or that resumes serving.
#[rstest]
#[case(Phase::Unlisted)]
#[case(Phase::Refusing)]
#[case(Phase::Finishing)]
#[case(Phase::Done)]
fn a_second_stop_changes_nothing(#[case] phase: Phase) {
    let (mut drain, begun) = at(phase);
    let before = drain;
    drain.step(Event::Stop, begun + MILLI);
    assert_eq!(drain, before);
}

/// Guards against a node that stops by itself.
#[test]
fn a_serving_node_goes_on_serving() {
    let (mut drain, now) = at(Phase::Serving);
    let later = now + Duration::from_hours(1);
    assert_eq!(
        drain.step(Event::Tick { running: 0 }, later),
        Phase::Serving
    );
    assert_eq!(drain.wake(), None);
}
