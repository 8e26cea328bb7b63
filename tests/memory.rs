//! Tests the budget for the memory that callers make a node hold.

use std::task::{Context, Waker};

use bytes::Bytes;
use proptest::prelude::*;
use redwinggrade::connection::memory::{Budget, Exceeded, Reception, STEP_BYTES, hold};
use redwinggrade::time::Moment;

const MIB: usize = 1 << 20;
/// Larger than any body of these tests.
const BODY_MAX_BYTES: usize = 256 << 10;

fn part(length: usize) -> Vec<u8> {
    vec![1; length]
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn start(budget: &Budget, millis: u64) -> Reception {
    budget.start_body(BODY_MAX_BYTES, at(millis))
}

/// Tells whether the task of a body is woken because the body has been given up.
fn is_displaced(body: &mut Reception) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    body.poll_displaced(&mut context).is_ready()
}

/// Guards against callers that take memory only by announcing bodies.
#[test]
fn body_costs_nothing_before_its_bytes_arrive() {
    let budget = Budget::open(MIB);
    let _bodies: Vec<_> = (0..1_000).map(|_| start(&budget, 0)).collect();
    assert_eq!(budget.usage().held, 0);
}

/// Guards against bytes that are lost or put in the wrong order where a body outgrows its first buffer, and against
/// memory that stays counted or is released too early.
#[test]
fn complete_body_has_all_bytes_and_counts_until_its_last_copy_is_dropped() {
    for length in [
        1,
        STEP_BYTES - 1,
        STEP_BYTES,
        STEP_BYTES + 1,
        BODY_MAX_BYTES,
    ] {
        let budget = Budget::open(MIB);
        let sent: Vec<u8> = (0..length).map(|number| (number % 251) as u8).collect();
        let mut body = start(&budget, 0);
        for part in sent.chunks(1_000) {
            body.append(part, at(0)).expect("there is room");
        }
        let received = body.finish().expect("it was not displaced");
        assert_eq!(received, sent);
        let held = budget.usage().held;
        assert!((length..length + STEP_BYTES).contains(&held), "{held}");
        let copy = received.slice(..1);
        drop(received);
        assert_eq!(budget.usage().held, held);
        drop(copy);
        assert_eq!(budget.usage().held, 0);
    }
}

#[test]
fn refuses_bytes_beyond_announced_length() {
    let budget = Budget::open(MIB);
    let mut body = budget.start_body(10, at(0));
    assert_eq!(body.append(&part(11), at(0)), Err(Exceeded));
    drop(body);
    assert_eq!(budget.usage().held, 0);
}

/// Guards against large bodies that leave no room for connections and small bodies.
#[test]
fn large_bodies_leave_a_quarter_to_small_ones() {
    let budget = Budget::open(MIB);
    let mut large = Vec::new();
    let refused = loop {
        let mut body = start(&budget, 0);
        match body.append(&part(2 * STEP_BYTES), at(0)) {
            Ok(()) => large.push(body),
            Err(e) => break e,
        }
    };
    assert_eq!(refused, Exceeded);
    assert!(budget.usage().held <= MIB * 3 / 4);
    let mut small = start(&budget, 0);
    assert_eq!(small.append(&part(4_096), at(0)), Ok(()));
    let connection = budget.hold_connection(36 << 10, at(0));
    drop(connection.expect("there is room"));
    assert_eq!(budget.admit_request(at(0)), Ok(()));
}

/// Guards against stalled bodies that keep new ones out, and against giving up bodies that make progress.
#[test]
fn body_without_progress_for_longest_is_displaced_first() {
    let budget = Budget::open(8 * STEP_BYTES);
    // Three quarters of the budget hold three bodies of two steps each.
    let mut bodies: Vec<_> = (0..3).map(|number| start(&budget, number)).collect();
    for (body, millis) in bodies.iter_mut().zip(0..) {
        body.append(&part(STEP_BYTES + 1), at(millis))
            .expect("there is room");
    }
    // One byte is no step, so the first body still counts as the one that made none for longest.
    bodies[0].append(&part(1), at(900)).expect("there is room");
    bodies[1]
        .append(&part(STEP_BYTES), at(900))
        .expect("the first body gives way");
    assert!(is_displaced(&mut bodies[0]));
    assert!(!is_displaced(&mut bodies[2]));
    drop(bodies);
    let mut stalled = start(&budget, 0);
    stalled
        .append(&part(3 * STEP_BYTES), at(0))
        .expect("there is room");
    let mut moving = start(&budget, 0);
    moving
        .append(&part(2 * STEP_BYTES), at(800))
        .expect("there is room");
    let mut new = start(&budget, 1_000);
    new.append(&part(3 * STEP_BYTES), at(1_000))
        .expect("a stalled body gives way");
    assert!(is_displaced(&mut stalled));
    assert_eq!(stalled.append(&part(1), at(1_000)), Err(Exceeded));
    assert_eq!(stalled.finish(), Err(Exceeded));
    assert!(!is_displaced(&mut moving));
    moving.append(&part(1), at(1_000)).expect("it has room");
    assert_eq!(budget.usage().displaced_bodies, 2);
}

/// Guards against bodies of callers on fast links that displace each other in turns, so that none is complete.
#[test]
fn body_that_made_a_step_lately_is_not_displaced() {
    let budget = Budget::open(8 * STEP_BYTES);
    let mut first = start(&budget, 0);
    first
        .append(&part(6 * STEP_BYTES), at(0))
        .expect("there is room");
    let mut second = start(&budget, 100);
    assert_eq!(second.append(&part(2 * STEP_BYTES), at(100)), Err(Exceeded));
    assert!(!is_displaced(&mut first));
    assert_eq!(budget.usage().refused_bodies, 1);
}

/// Guards against stalled bodies that keep ordinary callers from connecting, or the answers to running requests out.
#[test]
fn connections_requests_and_answers_displace_stalled_bodies() {
    let fill = || {
        let budget = Budget::open(8 * STEP_BYTES);
        let mut body = start(&budget, 0);
        body.append(&part(6 * STEP_BYTES), at(0))
            .expect("there is room");
        let other = budget.hold_existing(2 * STEP_BYTES);
        (budget, body, other)
    };
    let (budget, mut body, _other) = fill();
    let refused = budget.hold_connection(1, at(100));
    assert_eq!(refused.map(drop), Err(Exceeded));
    let held = budget.hold_connection(1, at(1_000));
    assert_eq!(held.map(drop), Ok(()));
    assert!(is_displaced(&mut body));
    let (budget, mut body, _other) = fill();
    assert_eq!(budget.admit_request(at(100)), Err(Exceeded));
    assert_eq!(budget.admit_request(at(1_000)), Ok(()));
    assert!(is_displaced(&mut body));
    let (budget, mut body, _other) = fill();
    let mut answer = budget.start_answer(BODY_MAX_BYTES);
    assert_eq!(answer.append(&part(1), at(100)), Err(Exceeded));
    assert_eq!(answer.append(&part(1), at(1_000)), Ok(()));
    assert!(is_displaced(&mut body));
}

/// Guards against refusals in calm: the answers of all shards to a query are held at the same time.
#[test]
fn small_answers_cost_little() {
    let budget = Budget::open(16 * MIB);
    let answers: Vec<_> = (0..270)
        .map(|_| {
            let mut answer = budget.start_answer(800);
            answer.append(&part(800), at(0)).expect("there is room");
            answer.finish()
        })
        .collect();
    assert!(budget.usage().held < 512 << 10);
    drop(answers);
    assert_eq!(budget.usage().held, 0);
}

#[test]
fn existing_bytes_count_even_beyond_the_budget() {
    let budget = Budget::open(1_000);
    let bytes = hold(Bytes::from(vec![1; 5_000]), &budget);
    assert_eq!(bytes[..], [1; 5_000]);
    assert_eq!(budget.usage().held, 5_000);
    assert_eq!(budget.admit_request(at(0)), Err(Exceeded));
    drop(bytes);
    assert_eq!(budget.usage().held, 0);
}

/// Guards against buffers that grow beyond the budget, and against growth that is not returned.
#[test]
fn permits_grow_up_to_the_budget_and_return_it() {
    let budget = Budget::open(1_000);
    let mut grown = budget.hold(600).expect("there is room");
    let mut other = budget.hold_nothing();
    assert_eq!(other.grow(500), Err(Exceeded));
    assert_eq!(other.grow(400), Ok(()));
    assert_eq!(grown.grow(1), Err(Exceeded));
    assert_eq!(budget.usage().held, 1_000);
    drop(other);
    assert_eq!(grown.grow(400), Ok(()));
    drop(grown);
    assert_eq!(budget.usage().held, 0);
}

proptest! {
    /// Guards against counts that drift: whatever happens, no more than the budget is held, and nothing stays
    /// counted at the end.
    #[test]
    fn count_never_exceeds_budget_and_returns_to_zero(
        steps in proptest::collection::vec((0_usize..12, 0_u8..4, 1_usize..40_000), 1..200),
    ) {
        let budget = Budget::open(MIB);
        let mut bodies: Vec<Option<Reception>> = (0..12).map(|_| None).collect();
        let mut complete = Vec::new();
        for (millis, (place, action, length)) in (0..).step_by(60).zip(steps) {
            let now = at(millis);
            let body = &mut bodies[place];
            match (action, body.take()) {
                (0, Some(given_up)) => drop(given_up),
                (1, Some(received)) => complete.push(received.finish()),
                (_, Some(mut receiving)) => {
                    if receiving.append(&part(length), now).is_ok() {
                        *body = Some(receiving);
                    }
                }
                (_, None) => *body = Some(budget.start_body(BODY_MAX_BYTES, now)),
            }
            prop_assert!(budget.usage().held <= MIB);
            if complete.len() > 4 {
                complete.clear();
            }
        }
        drop((bodies, complete));
        prop_assert_eq!(budget.usage().held, 0);
    }
}
