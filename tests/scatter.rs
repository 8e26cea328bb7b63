//! Guards what callers are promised about one query (P1, P2, P5, P6, P7) against faults at each step.

mod support;

use redwinggrade::request::scatter::Verdict;
use redwinggrade::wire::Reason;
use std::time::Duration;
use support::World;

#[test]
fn a_query_without_faults_is_answered_whole_from_the_newest_version() {
    let mut world = World::open(support::targets(&[(7, 2), (8, 2)], 2), support::policy());
    world.start();
    for leg in world.open_legs() {
        world.answer(leg);
    }
    let Verdict::Answer {
        version,
        answered,
        total,
        hits,
        attempts,
        ..
    } = world.verdict()
    else {
        panic!("refused: {:?}", world.verdict());
    };
    assert_eq!((version.0, *answered, *total, *attempts), (8, 2, 2, 2));
    assert_eq!(hits.len(), 2);
}

#[test]
fn a_refused_leg_is_retried_at_another_replica() {
    let mut world = World::open(support::targets(&[(7, 1)], 2), support::policy());
    world.start();
    world.fail(0, Reason::Shed);
    assert_eq!(world.legs[1].target, "s0-1");
    world.advance(Duration::from_millis(10));
    world.answer(1);
    assert!(world.finished());
}
