//! Tests of the phases of the planned stop of a node.

use std::time::Duration;

use redwinggrade::process::address::LIST_LIFETIME;
use redwinggrade::process::drain::{
    Drain, Event, FINISHING_TIME_MAX, Phase, REFUSING_TIME, UNLISTED_MARGIN,
};
use redwinggrade::time::Moment;
use rstest::rstest;

const START: Moment = Moment::from_millis(1_000);
const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns a drain that has just entered the phase, and the current moment.
fn drain_in_phase(phase: Phase) -> (Drain, Moment) {
    let mut drain = Drain::open(START);
    let mut now = START;
    if phase > Phase::Serving {
        drain.step(Event::Stop, now);
    }
    while drain.phase() < phase {
        now = drain
            .next_tick()
            .expect("a tick is due in each phase of a stop before the last");
        drain.step(Event::Tick { running: 0 }, now);
    }
    (drain, now)
}

/// Guards against a phase that ends too early or never.
#[rstest]
#[case(Phase::Unlisted, LIST_LIFETIME + UNLISTED_MARGIN, 0, Phase::Refusing)]
#[case(Phase::Unlisted, LIST_LIFETIME + UNLISTED_MARGIN, 3, Phase::Refusing)]
#[case(Phase::Refusing, REFUSING_TIME, 0, Phase::Finishing)]
#[case(Phase::Finishing, Duration::ZERO, 0, Phase::Done)]
#[case(Phase::Finishing, FINISHING_TIME_MAX, 2, Phase::Done)]
fn each_phase_ends_exactly_on_time(
    #[case] phase: Phase,
    #[case] wait: Duration,
    #[case] running: usize,
    #[case] next: Phase,
) {
    let (mut drain, phase_started) = drain_in_phase(phase);
    if !wait.is_zero() {
        let early = phase_started + wait - MILLISECOND;
        assert_eq!(drain.step(Event::Tick { running }, early), phase);
    }
    assert_eq!(
        drain.step(Event::Tick { running }, phase_started + wait),
        next
    );
    assert_eq!(drain.was_interrupted(), next == Phase::Done && running > 0);
}

/// Guards against refusing a caller that holds an address list that is still valid.
#[test]
fn unlisted_node_accepts_requests_for_the_list_lifetime() {
    let (mut drain, phase_started) = drain_in_phase(Phase::Unlisted);
    drain.step(Event::Tick { running: 0 }, phase_started + LIST_LIFETIME);
    assert!(drain.accepts_requests() && !drain.is_listed());
}

/// Guards against a second stop event that restarts the stop or makes the node serve again.
#[rstest]
#[case(Phase::Unlisted)]
#[case(Phase::Refusing)]
#[case(Phase::Finishing)]
#[case(Phase::Done)]
fn second_stop_has_no_effect(#[case] phase: Phase) {
    let (mut drain, phase_started) = drain_in_phase(phase);
    let before = drain;
    drain.step(Event::Stop, phase_started + MILLISECOND);
    assert_eq!(drain, before);
}

/// Guards against a node that stops without being asked to.
#[test]
fn serving_node_does_not_stop_without_a_stop_event() {
    let (mut drain, now) = drain_in_phase(Phase::Serving);
    let later = now + Duration::from_hours(1);
    assert_eq!(
        drain.step(Event::Tick { running: 0 }, later),
        Phase::Serving
    );
    assert_eq!(drain.next_tick(), None);
}
