//! Tests of the admission control of one target: each test passes events to a [`Gate`] and checks its
//! actions.

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

/// A gate with a simulated clock and, at first, a permit that does not end.
struct TestGate {
    gate: Gate,
    keys: SlotMap<JobKey, ()>,
    now: Moment,
    permit_until: Moment,
}

impl TestGate {
    fn open() -> Self {
        let now = Moment::from_millis(1_000);
        Self {
            gate: Gate::open(policy(), Moment::ZERO, now),
            keys: SlotMap::with_key(),
            now,
            permit_until: Moment::NEVER,
        }
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now + MS;
        self.gate.step(event, self.now, self.permit_until).to_vec()
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

    /// Dispatches a job to each of the two slots and returns the jobs.
    fn fill_slots(&mut self) -> [JobKey; 2] {
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

/// Guards against an urgent job that waits behind jobs of lower priority or with a later deadline.
#[test]
fn queue_orders_jobs_by_priority_then_deadline() {
    let mut harness = TestGate::open();
    let [first, _] = harness.fill_slots();
    let (late, _) = harness.offer(1, 900);
    let (soon, _) = harness.offer(1, 800);
    let (urgent, _) = harness.offer(0, 1_000);
    let mut running = first;
    for next in [urgent, soon, late] {
        assert_eq!(harness.finish(running, ANSWERED), [Action::Dispatch(next)]);
        running = next;
    }
}

/// Guards against a queue without a limit, and against one that refuses another job than the one that is last
/// by priority and deadline.
#[test]
fn full_queue_refuses_the_last_job_in_order() {
    let mut harness = TestGate::open();
    harness.fill_slots();
    let (worst, _) = harness.offer(2, 900);
    harness.offer(1, 900);
    harness.offer(1, 900);
    let (_, actions) = harness.offer(0, 900);
    assert_eq!(actions, [Action::Refuse(worst, Reason::QueueFull)]);
    let (key, actions) = harness.offer(3, 900);
    assert_eq!(actions, [Action::Refuse(key, Reason::QueueFull)]);
}

/// Guards against a job that stays in the queue after its deadline because another job is ahead of it.
#[test]
fn queued_job_is_refused_at_its_latest_start() {
    let mut harness = TestGate::open();
    harness.fill_slots();
    harness.offer(0, 900);
    let (key, _) = harness.offer(1, 20);
    let wake = harness.gate.next_tick().unwrap();
    assert!(wake <= harness.now + MS * 20);
    harness.now = harness.now + MS * 20;
    assert_eq!(
        harness.step(Event::Tick),
        [Action::Refuse(key, Reason::Expired)]
    );
}

/// Guards against a job that is queued although its target cannot answer in time, while a replica might.
#[test]
fn job_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut harness = TestGate::open();
    let [first, second] = harness.fill_slots();
    harness.now = harness.now + MS * 50;
    harness.finish(first, ANSWERED);
    harness.finish(second, ANSWERED);
    let (key, actions) = harness.offer(1, 30);
    assert_eq!(actions, [Action::Refuse(key, Reason::Expired)]);
    harness.fill_slots();
    // A queued job needs the time for a running job to end, and then its own.
    let (key, actions) = harness.offer(1, 70);
    assert_eq!(actions, [Action::Refuse(key, Reason::Expired)]);
    assert_eq!(harness.offer(1, 500).1, []);
}

/// Guards against an overloaded queue that dispatches only jobs that are about to expire. None of them would
/// be answered in time, so the latency would stay unknown.
#[test]
fn queued_job_is_refused_after_half_its_time_if_latency_is_unknown() {
    let mut harness = TestGate::open();
    let [first, _] = harness.fill_slots();
    let (key, _) = harness.offer(1, 100);
    assert!(harness.gate.next_tick().unwrap() <= harness.now + MS * 50);
    harness.now = harness.now + MS * 50;
    assert_eq!(
        harness.finish(first, ANSWERED),
        [Action::Refuse(key, Reason::Expired)]
    );
}

/// Guards against a slot that is used twice because nobody waits for its job any longer, although the target
/// still runs it.
#[rstest]
#[case::cancelled(false)]
#[case::timed_out(true)]
fn abandoned_job_keeps_its_slot_until_answer_or_hold_limit(
    #[case] timeout: bool,
    #[values(true, false)] confirmed: bool,
) {
    let mut harness = TestGate::open();
    let (abandoned, _) = harness.offer(1, 100);
    harness.offer(1, 10_000);
    let actions = if timeout {
        harness.now = harness.now + MS * 100;
        harness.step(Event::Tick)
    } else {
        harness.step(Event::Cancel(abandoned))
    };
    assert_eq!(actions, [Action::Abort(abandoned)]);
    let (waiting, actions) = harness.offer(1, 9_000);
    assert_eq!(actions, []);
    if confirmed {
        let actions = harness.finish(abandoned, Completion::Refused(Reason::Cancelled));
        assert_eq!(actions, [Action::Dispatch(waiting)]);
    } else {
        harness.now = harness.now + ABANDONED_SLOT_HOLD_MAX;
        let actions = harness.step(Event::Tick);
        assert_eq!(
            actions,
            [Action::Release(abandoned), Action::Dispatch(waiting)]
        );
        assert_eq!(harness.finish(abandoned, ANSWERED), []);
    }
    assert_eq!(harness.gate.load().running, 2);
}

/// Guards against a slot that counts as free after its connection was lost, although the target may still run
/// the job.
#[test]
fn lost_connection_keeps_its_slot_until_hold_limit() {
    let mut harness = TestGate::open();
    let [first, _] = harness.fill_slots();
    assert_eq!(
        harness.finish(first, Completion::Lost(Reason::ConnectionLost)),
        []
    );
    assert_eq!(harness.gate.load().running, 2);
    harness.now = harness.now + ABANDONED_SLOT_HOLD_MAX;
    assert_eq!(harness.step(Event::Tick), [Action::Release(first)]);
    assert_eq!(harness.gate.load().running, 1);
}

/// Guards against suspecting a target of being cold because it answers a cancelled search with an error,
/// which is the usual answer.
#[rstest]
#[case(true, Stage::Warm)]
#[case(false, Stage::Cold)]
fn error_answer_to_cancelled_search_does_not_cause_suspicion(
    #[case] cancelled: bool,
    #[case] expected: Stage,
) {
    let mut harness = TestGate::open();
    while harness.gate.ramp().stage() != Stage::Warm {
        let (key, _) = harness.offer(1, 900);
        harness.finish(key, ANSWERED);
    }
    let (key, _) = harness.offer(1, 900);
    if cancelled {
        assert_eq!(harness.step(Event::Cancel(key)), [Action::Abort(key)]);
    }
    harness.finish(key, Completion::Lost(Reason::TargetError));
    assert_eq!(harness.gate.ramp().stage(), expected);
    assert_eq!(harness.gate.load().running, 0);
}

/// Guards against a cancellation that makes the outcome of a running non-idempotent job unknown.
#[test]
fn running_non_idempotent_job_is_not_cancelled() {
    let mut harness = TestGate::open();
    let mut job = harness.job(1, 900);
    job.idempotent = false;
    harness.step(Event::Offer(job));
    assert_eq!(harness.step(Event::Cancel(job.key)), []);
}

/// Guards against a queued job that is dispatched although nobody waits for it.
#[test]
fn cancelled_queued_job_is_refused_and_never_dispatched() {
    let mut harness = TestGate::open();
    let [first, _] = harness.fill_slots();
    let (key, _) = harness.offer(1, 900);
    assert_eq!(
        harness.step(Event::Cancel(key)),
        [Action::Refuse(key, Reason::Cancelled)]
    );
    assert_eq!(harness.finish(first, ANSWERED), []);
}

/// Guards against a dispatch without a permit when the permit ends while the job is queued.
#[test]
fn queue_is_refused_when_the_permit_ends() {
    let mut harness = TestGate::open();
    let [first, _] = harness.fill_slots();
    let (key, actions) = harness.offer(1, 900);
    assert_eq!(actions, []);
    harness.permit_until = harness.now + MS;
    let actions = harness.finish(first, ANSWERED);
    assert_eq!(actions, [Action::Refuse(key, Reason::NoPermit)]);
}

/// Guards against a dispatch by a new owner while the earlier owner may still dispatch.
#[test]
fn no_job_is_dispatched_before_the_ownership_is_valid() {
    let mut harness = TestGate::open();
    harness.gate = Gate::open(policy(), harness.now + MS * 3, harness.now);
    let (key, actions) = harness.offer(1, 900);
    assert_eq!(actions, [Action::Refuse(key, Reason::NoPermit)]);
    harness.offer(1, 900);
    let (key, actions) = harness.offer(1, 900);
    assert_eq!(actions, [Action::Dispatch(key)]);
}

/// Guards against new jobs for a target that is given up, out of service or draining, and against the loss of
/// its running jobs.
#[rstest]
fn closed_gate_refuses_new_jobs_and_finishes_running_ones(
    #[values(Reason::NotOwner, Reason::OutOfService, Reason::Draining)] reason: Reason,
) {
    let mut harness = TestGate::open();
    let [first, second] = harness.fill_slots();
    let (queued, _) = harness.offer(1, 900);
    assert_eq!(
        harness.step(Event::Close(reason)),
        [Action::Refuse(queued, reason)]
    );
    let (later, actions) = harness.offer(1, 900);
    assert_eq!(actions, [Action::Refuse(later, reason)]);
    assert!(!harness.gate.is_idle());
    harness.finish(first, ANSWERED);
    harness.finish(second, ANSWERED);
    assert!(harness.gate.is_idle());
    harness.step(Event::Reopen(harness.now));
    assert_eq!(harness.gate.ramp().stage(), Stage::Cold);
    let (key, actions) = harness.offer(1, 900);
    assert_eq!(actions, [Action::Dispatch(key)]);
}

/// Guards against more running jobs than changed settings allow.
#[test]
fn lowered_slot_limit_applies_to_the_next_dispatch() {
    let mut harness = TestGate::open();
    let [first, second] = harness.fill_slots();
    harness.step(Event::SetPolicy(policy::Target {
        slots: 1,
        ..policy()
    }));
    let (key, _) = harness.offer(1, 900);
    assert_eq!(harness.finish(first, ANSWERED), []);
    assert_eq!(harness.finish(second, ANSWERED), [Action::Dispatch(key)]);
}

/// A random step: the milliseconds before it, the kind of event, and two numbers that select its details.
type RandomStep = (u32, u8, u32, u32);

const COMPLETIONS: [Completion; 6] = [
    ANSWERED,
    Completion::Answered {
        generation: Some(2),
    },
    Completion::Refused(Reason::Shed),
    Completion::Refused(Reason::NotSent),
    Completion::Lost(Reason::ConnectionLost),
    Completion::Lost(Reason::TargetError),
];

/// Passes the steps to a gate and checks each action, and the reported load, against a model of the jobs.
fn check_steps(steps: &[RandomStep]) -> Result<(), TestCaseError> {
    let mut harness = TestGate::open();
    let mut jobs: HashMap<JobKey, Job> = HashMap::new();
    let mut offered = Vec::new();
    let (mut dispatched, mut settled) = (HashSet::new(), HashSet::new());
    let mut slot_holders: Vec<JobKey> = Vec::new();
    let (mut slots, mut valid_from, mut is_open) = (2, Moment::ZERO, true);
    for (pause, kind, x, y) in steps.iter().copied() {
        harness.now = harness.now + MS * pause;
        let event = match kind {
            0..=5 => {
                let job = Job {
                    idempotent: x % 2 == 0,
                    ..harness.job((x % 3) as u8, y % 300)
                };
                jobs.insert(job.key, job);
                offered.push(job.key);
                Event::Offer(job)
            }
            6..=11 => {
                let Some(key) = slot_holders.get(x as usize % 8).copied() else {
                    continue;
                };
                let result = COMPLETIONS[y as usize % COMPLETIONS.len()];
                if result != Completion::Lost(Reason::ConnectionLost) {
                    slot_holders.retain(|other| *other != key);
                }
                Event::Finished { key, result }
            }
            12..=13 => {
                let Some(key) = offered.iter().rev().nth(x as usize % 20) else {
                    continue;
                };
                Event::Cancel(*key)
            }
            14..=15 => {
                harness.permit_until = harness.now + MS * (x % 400);
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
                is_open = false;
                Event::Close(Reason::OutOfService)
            }
            20 => {
                (is_open, valid_from) = (true, harness.now + MS * (x % 50));
                Event::Reopen(valid_from)
            }
            _ => Event::Tick,
        };
        let actions = harness.step(event);
        let load = harness.gate.load();
        let any_dispatched = actions
            .iter()
            .any(|action| matches!(action, Action::Dispatch(_)));
        for action in actions {
            match action {
                Action::Dispatch(key) => {
                    prop_assert!(
                        is_open && harness.now < harness.permit_until && harness.now >= valid_from
                    );
                    prop_assert!(
                        harness.now < jobs[&key].deadline,
                        "a job was dispatched after its deadline"
                    );
                    prop_assert!(dispatched.insert(key), "a job was dispatched twice");
                    prop_assert!(
                        !settled.contains(&key),
                        "a job was dispatched after its refusal"
                    );
                    slot_holders.push(key);
                }
                Action::Refuse(key, reason) => {
                    prop_assert!(reason.not_run() && !dispatched.contains(&key));
                    prop_assert!(settled.insert(key), "a job was refused twice");
                }
                Action::Abort(key) => prop_assert!(dispatched.contains(&key)),
                Action::Release(key) => slot_holders.retain(|other| *other != key),
            }
        }
        prop_assert_eq!(
            slot_holders.len(),
            usize::from(load.running),
            "the gate reports another number of occupied slots than the model"
        );
        if any_dispatched {
            prop_assert!(slot_holders.len() <= slots.min(usize::from(load.limit)));
        }
        prop_assert!(load.queued <= policy().queue);
        let queued_jobs = jobs.len() - dispatched.len() - settled.len();
        prop_assert_eq!(
            queued_jobs,
            usize::from(load.queued),
            "a job is neither queued nor dispatched nor refused"
        );
        // While a job is queued or running, a tick is due.
        let due = harness.gate.next_tick().unwrap_or(Moment::NEVER);
        prop_assert!(harness.gate.is_idle() || due < Moment::NEVER);
    }
    Ok(())
}

/// Guards against an order of events that lets the gate exceed its limits, dispatch without the right to, or
/// lose or repeat a job. Checks 2,000 random sequences.
#[test]
fn random_event_sequences_keep_gate_invariants() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec((0..20_u32, 0..24_u8, 0..6_000_u32, 0..6_000_u32), 1..200);
    if let Err(error) = runner.run(&steps, |steps| check_steps(&steps)) {
        panic!("{error}");
    }
}
