//! Drives the gate of one target through lists of events.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use redwinggrade::process::gate::{
    ABANDONED_SLOT_HOLD_MAX, Action, Completion, Event, Gate, Job, JobKey,
};
use redwinggrade::process::ramp::Stage;
use redwinggrade::time::Moment;
use redwinggrade::version::policy;
use redwinggrade::wire::Reason;
use rstest::rstest;
use slotmap::SlotMap;

const MS: Duration = Duration::from_millis(1);

fn policy() -> policy::Target {
    policy::Target {
        slots: 2,
        connections: 25,
        connect: Duration::from_millis(5),
        cold_concurrency: 2,
        cold_rate: 1_000_000,
        cold_answers: 4,
        queue: 3,
    }
}

/// A gate with its own clock and a permit without end.
struct Bench {
    gate: Gate,
    keys: SlotMap<JobKey, ()>,
    now: Moment,
    permit: Moment,
}

impl Bench {
    fn open() -> Self {
        let now = Moment::from_millis(1_000);
        Self {
            gate: Gate::open(policy(), Moment::ZERO, now),
            keys: SlotMap::with_key(),
            now,
            permit: Moment::NEVER,
        }
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now + MS;
        self.gate.step(event, self.now, self.permit).to_vec()
    }

    fn job(&mut self, priority: u8, remaining_ms: u32) -> Job {
        Job {
            key: self.keys.insert(()),
            deadline: self.now + MS * remaining_ms,
            priority,
            idempotent: true,
        }
    }

    fn offer(&mut self, priority: u8, remaining_ms: u32) -> (JobKey, Vec<Action>) {
        let job = self.job(priority, remaining_ms);
        (job.key, self.step(Event::Offer(job)))
    }

    /// Fills both slots and returns the running jobs.
    fn fill(&mut self) -> [JobKey; 2] {
        [(); 2].map(|()| {
            let (key, actions) = self.offer(1, 10_000);
            assert_eq!(actions, [Action::Dispatch(key)]);
            key
        })
    }

    fn finish(&mut self, key: JobKey, result: Completion) -> Vec<Action> {
        self.step(Event::Finished { key, result })
    }
}

const ANSWERED: Completion = Completion::Answered {
    generation: Some(1),
};

/// Guards against urgent work that waits behind other work.
#[test]
fn the_queue_follows_priority_and_deadline() {
    let mut bench = Bench::open();
    let [first, _] = bench.fill();
    let (late, _) = bench.offer(1, 900);
    let (soon, _) = bench.offer(1, 800);
    let (urgent, _) = bench.offer(0, 1_000);
    let mut running = first;
    for next in [urgent, soon, late] {
        assert_eq!(bench.finish(running, ANSWERED), [Action::Dispatch(next)]);
        running = next;
    }
}

/// Guards against an unbounded queue, and against one that keeps the wrong entries.
#[test]
fn a_full_queue_drops_the_worst_entry() {
    let mut bench = Bench::open();
    bench.fill();
    let (worst, _) = bench.offer(2, 900);
    bench.offer(1, 900);
    bench.offer(1, 900);
    let (_, actions) = bench.offer(0, 900);
    assert_eq!(actions, [Action::Refuse(worst, Reason::QueueFull)]);
    let (key, actions) = bench.offer(3, 900);
    assert_eq!(actions, [Action::Refuse(key, Reason::QueueFull)]);
}

/// Guards against dispatching expired work, whatever its place in the queue.
#[test]
fn expired_work_is_refused_from_the_queue() {
    let mut bench = Bench::open();
    bench.fill();
    bench.offer(0, 900);
    let (key, _) = bench.offer(1, 20);
    let wake = bench.gate.next_tick().unwrap();
    assert!(wake <= bench.now + MS * 20);
    bench.now = bench.now + MS * 20;
    assert_eq!(
        bench.step(Event::Tick),
        [Action::Refuse(key, Reason::Expired)]
    );
}

/// Guards against work that waits for a target that cannot answer in time; a replica might.
#[test]
fn work_that_cannot_finish_in_time_is_refused_early() {
    let mut bench = Bench::open();
    let [first, second] = bench.fill();
    bench.now = bench.now + MS * 50;
    bench.finish(first, ANSWERED);
    bench.finish(second, ANSWERED);
    let (key, actions) = bench.offer(1, 30);
    assert_eq!(actions, [Action::Refuse(key, Reason::Expired)]);
    bench.fill();
    // A queued job needs the time of a running one before its own.
    let (key, actions) = bench.offer(1, 70);
    assert_eq!(actions, [Action::Refuse(key, Reason::Expired)]);
    assert_eq!(bench.offer(1, 500).1, []);
}

/// Guards against an overloaded queue that runs only jobs which are about to expire, so that none is
/// answered and the latency stays unknown.
#[test]
fn a_job_that_waited_half_its_time_is_left_to_a_replica() {
    let mut bench = Bench::open();
    let [first, _] = bench.fill();
    let (key, _) = bench.offer(1, 100);
    assert!(bench.gate.next_tick().unwrap() <= bench.now + MS * 50);
    bench.now = bench.now + MS * 50;
    assert_eq!(
        bench.finish(first, ANSWERED),
        [Action::Refuse(key, Reason::Expired)]
    );
}

/// Guards against a slot that is used twice because the answer of its job is no longer waited for.
#[rstest]
#[case::cancelled(false)]
#[case::timed_out(true)]
fn an_abandoned_job_keeps_its_slot(#[case] timeout: bool, #[values(true, false)] confirmed: bool) {
    let mut bench = Bench::open();
    let (abandoned, _) = bench.offer(1, 100);
    bench.offer(1, 10_000);
    let actions = if timeout {
        bench.now = bench.now + MS * 100;
        bench.step(Event::Tick)
    } else {
        bench.step(Event::Cancel(abandoned))
    };
    assert_eq!(actions, [Action::Abort(abandoned)]);
    let (waiting, actions) = bench.offer(1, 9_000);
    assert_eq!(actions, []);
    if confirmed {
        let actions = bench.finish(abandoned, Completion::Refused(Reason::Cancelled));
        assert_eq!(actions, [Action::Dispatch(waiting)]);
    } else {
        bench.now = bench.now + ABANDONED_SLOT_HOLD_MAX;
        let actions = bench.step(Event::Tick);
        assert_eq!(
            actions,
            [Action::Release(abandoned), Action::Dispatch(waiting)]
        );
        assert_eq!(bench.finish(abandoned, ANSWERED), []);
    }
    assert_eq!(bench.gate.load().running, 2);
}

/// Guards against a slot that counts as free although the target may still work after the loss of
/// its connection.
#[test]
fn a_lost_connection_keeps_its_slot_for_a_while() {
    let mut bench = Bench::open();
    let [first, _] = bench.fill();
    assert_eq!(
        bench.finish(first, Completion::Lost(Reason::ConnectionLost)),
        []
    );
    assert_eq!(bench.gate.load().running, 2);
    bench.now = bench.now + ABANDONED_SLOT_HOLD_MAX;
    assert_eq!(bench.step(Event::Tick), [Action::Release(first)]);
    assert_eq!(bench.gate.load().running, 1);
}

/// Guards against suspicion of a target that answers a cancelled search with an error, as it should.
#[rstest]
#[case(true, Stage::Warm)]
#[case(false, Stage::Cold)]
fn an_error_answer_to_a_cancelled_search_is_no_fault(
    #[case] cancelled: bool,
    #[case] expected: Stage,
) {
    let mut bench = Bench::open();
    while bench.gate.ramp().stage() != Stage::Warm {
        let (key, _) = bench.offer(1, 900);
        bench.finish(key, ANSWERED);
    }
    let (key, _) = bench.offer(1, 900);
    if cancelled {
        assert_eq!(bench.step(Event::Cancel(key)), [Action::Abort(key)]);
    }
    bench.finish(key, Completion::Lost(Reason::TargetError));
    assert_eq!(bench.gate.ramp().stage(), expected);
    assert_eq!(bench.gate.load().running, 0);
}

/// Guards against an unknown outcome of non-idempotent work that was going to be known.
#[test]
fn running_non_idempotent_work_is_not_cancelled() {
    let mut bench = Bench::open();
    let mut job = bench.job(1, 900);
    job.idempotent = false;
    bench.step(Event::Offer(job));
    assert_eq!(bench.step(Event::Cancel(job.key)), []);
}

/// Guards against queued work that runs although nobody waits for it.
#[test]
fn queued_work_is_cancelled_as_not_run() {
    let mut bench = Bench::open();
    let [first, _] = bench.fill();
    let (key, _) = bench.offer(1, 900);
    assert_eq!(
        bench.step(Event::Cancel(key)),
        [Action::Refuse(key, Reason::Cancelled)]
    );
    assert_eq!(bench.finish(first, ANSWERED), []);
}

/// Guards against a dispatch without a permit when the permit ends between offer and dispatch.
#[test]
fn a_permit_that_ends_refuses_the_queue() {
    let mut bench = Bench::open();
    let [first, _] = bench.fill();
    let (key, actions) = bench.offer(1, 900);
    assert_eq!(actions, []);
    bench.permit = bench.now + MS;
    let actions = bench.finish(first, ANSWERED);
    assert_eq!(actions, [Action::Refuse(key, Reason::NoPermit)]);
}

/// Guards against a dispatch by a new owner while the earlier owner may still dispatch.
#[test]
fn nothing_is_dispatched_before_the_ownership_is_valid() {
    let mut bench = Bench::open();
    bench.gate = Gate::open(policy(), bench.now + MS * 3, bench.now);
    let (key, actions) = bench.offer(1, 900);
    assert_eq!(actions, [Action::Refuse(key, Reason::NoPermit)]);
    bench.offer(1, 900);
    let (key, actions) = bench.offer(1, 900);
    assert_eq!(actions, [Action::Dispatch(key)]);
}

/// Guards against new work for a target that is given up, leaving or out, and against the loss of
/// its running work.
#[rstest]
fn a_closed_gate_refuses_and_finishes(
    #[values(Reason::NotOwner, Reason::OutOfService, Reason::Draining)] reason: Reason,
) {
    let mut bench = Bench::open();
    let [first, second] = bench.fill();
    let (queued, _) = bench.offer(1, 900);
    assert_eq!(
        bench.step(Event::Close(reason)),
        [Action::Refuse(queued, reason)]
    );
    let (later, actions) = bench.offer(1, 900);
    assert_eq!(actions, [Action::Refuse(later, reason)]);
    assert!(!bench.gate.is_idle());
    bench.finish(first, ANSWERED);
    bench.finish(second, ANSWERED);
    assert!(bench.gate.is_idle());
    bench.step(Event::Reopen(bench.now));
    assert_eq!(bench.gate.ramp().stage(), Stage::Cold);
    let (key, actions) = bench.offer(1, 900);
    assert_eq!(actions, [Action::Dispatch(key)]);
}

/// Guards against more running work than changed settings allow.
#[test]
fn fewer_slots_apply_to_the_next_dispatch() {
    let mut bench = Bench::open();
    let [first, second] = bench.fill();
    bench.step(Event::SetPolicy(policy::Target {
        slots: 1,
        ..policy()
    }));
    let (key, _) = bench.offer(1, 900);
    assert_eq!(bench.finish(first, ANSWERED), []);
    assert_eq!(bench.finish(second, ANSWERED), [Action::Dispatch(key)]);
}

/// One random step: the time before it, what happens, and two numbers that choose the details.
type Move = (u32, u8, u32, u32);

const RESULTS: [Completion; 6] = [
    ANSWERED,
    Completion::Answered {
        generation: Some(2),
    },
    Completion::Refused(Reason::Shed),
    Completion::Refused(Reason::NotSent),
    Completion::Lost(Reason::ConnectionLost),
    Completion::Lost(Reason::TargetError),
];

/// Checks every action of one run against what the gate was told.
fn check(moves: &[Move]) -> Result<(), TestCaseError> {
    let mut bench = Bench::open();
    let mut jobs: HashMap<JobKey, Job> = HashMap::new();
    let mut order = Vec::new();
    let (mut dispatched, mut settled) = (HashSet::new(), HashSet::new());
    let mut occupied: Vec<JobKey> = Vec::new();
    let (mut slots, mut valid_from, mut open) = (2, Moment::ZERO, true);
    for (pause, kind, x, y) in moves.iter().copied() {
        bench.now = bench.now + MS * pause;
        let event = match kind {
            0..=5 => {
                let job = Job {
                    idempotent: x % 2 == 0,
                    ..bench.job((x % 3) as u8, y % 300)
                };
                jobs.insert(job.key, job);
                order.push(job.key);
                Event::Offer(job)
            }
            6..=11 => {
                let Some(key) = occupied.get(x as usize % 8).copied() else {
                    continue;
                };
                let result = RESULTS[y as usize % RESULTS.len()];
                if result != Completion::Lost(Reason::ConnectionLost) {
                    occupied.retain(|other| *other != key);
                }
                Event::Finished { key, result }
            }
            12..=13 => {
                let Some(key) = order.iter().rev().nth(x as usize % 20) else {
                    continue;
                };
                Event::Cancel(*key)
            }
            14..=15 => {
                bench.permit = bench.now + MS * (x % 400);
                continue;
            }
            16 => {
                slots = x as usize % 5;
                Event::SetPolicy(policy::Target {
                    slots: slots as u16,
                    cold_concurrency: 1 + (y % 3) as u16,
                    cold_rate: 1 + y % 2_000,
                    ..policy()
                })
            }
            17 => Event::ReportGeneration(1 + u64::from(x % 2)),
            18 => Event::SuspectCold,
            19 => {
                open = false;
                Event::Close(Reason::OutOfService)
            }
            20 => {
                (open, valid_from) = (true, bench.now + MS * (x % 50));
                Event::Reopen(valid_from)
            }
            _ => Event::Tick,
        };
        let actions = bench.step(event);
        let load = bench.gate.load();
        let fresh = actions
            .iter()
            .any(|action| matches!(action, Action::Dispatch(_)));
        for action in actions {
            match action {
                Action::Dispatch(key) => {
                    prop_assert!(open && bench.now < bench.permit && bench.now >= valid_from);
                    prop_assert!(
                        bench.now < jobs[&key].deadline,
                        "dispatched after its deadline"
                    );
                    prop_assert!(dispatched.insert(key), "dispatched twice");
                    prop_assert!(!settled.contains(&key), "dispatched after a refusal");
                    occupied.push(key);
                }
                Action::Refuse(key, reason) => {
                    prop_assert!(reason.not_run() && !dispatched.contains(&key));
                    prop_assert!(settled.insert(key), "refused twice");
                }
                Action::Abort(key) => prop_assert!(dispatched.contains(&key)),
                Action::Release(key) => occupied.retain(|other| *other != key),
            }
        }
        prop_assert_eq!(
            occupied.len(),
            usize::from(load.running),
            "the slots are miscounted"
        );
        if fresh {
            prop_assert!(occupied.len() <= slots.min(usize::from(load.limit)));
        }
        prop_assert!(load.queued <= policy().queue);
        let waiting = jobs.len() - dispatched.len() - settled.len();
        prop_assert_eq!(
            waiting,
            usize::from(load.queued),
            "a job is neither refused nor queued"
        );
        // Whatever waits or runs is looked at again by its deadline.
        let due = bench.gate.next_tick().unwrap_or(Moment::NEVER);
        prop_assert!(bench.gate.is_idle() || due < Moment::NEVER);
    }
    Ok(())
}

/// Guards the promises of the gate against every order of events that 2,000 cases find.
#[test]
fn no_order_of_events_breaks_a_promise() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let moves = prop::collection::vec((0..20_u32, 0..24_u8, 0..6_000_u32, 0..6_000_u32), 1..200);
    if let Err(error) = runner.run(&moves, |moves| check(&moves)) {
        panic!("{error}");
    }
}
