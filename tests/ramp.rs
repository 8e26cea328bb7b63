//! Tests of the slow start of one target: each test passes answers and faults to a [`Ramp`] and checks its
//! limits.

use std::time::Duration;

use redwinggrade::process::ramp::{
    IDLE_BEFORE_COLD, IDLE_BEFORE_SUSPECT, OVERLOADS_BEFORE_COLD, RECOVERY_STEP_ANSWERS, Ramp,
    SHED_DELAY, SLOW_ANSWERS_BEFORE_SUSPECT, SUSPICION_END_ANSWERS, Stage, WARMING_STEP_ANSWERS,
};
use redwinggrade::time::Moment;
use redwinggrade::version::policy;
use redwinggrade::wire::Reason;
use rstest::rstest;

const LATENCY: Duration = Duration::from_millis(2);

fn policy() -> policy::Target {
    policy::Target {
        slots: 8,
        connections: 25,
        connect: Duration::from_millis(5),
        cold_concurrency: 1,
        cold_rate: 100,
        cold_answers: 10,
        queue: 8,
    }
}

/// A ramp with a simulated clock. It runs one request at a time.
struct TestRamp {
    ramp: Ramp,
    now: Moment,
}

impl TestRamp {
    fn cold() -> Self {
        let now = Moment::from_millis(1_000);
        let ramp = Ramp::open(policy(), now);
        Self { ramp, now }
    }

    fn warm() -> Self {
        let mut harness = Self::cold();
        harness.answer_many(1_000, 1);
        assert_eq!(harness.stage_and_limit(), (Stage::Warm, 8));
        harness
    }

    fn stage_and_limit(&self) -> (Stage, u16) {
        (self.ramp.stage(), self.ramp.limit())
    }

    fn start_request(&mut self) -> Moment {
        self.now = self.now.max(self.ramp.next_start());
        self.ramp.observe_idle_time(0, self.now);
        self.ramp.record_start(self.now);
        self.now
    }

    fn answer_after(&mut self, latency: Duration, generation: u64) {
        let started = self.start_request();
        self.now = started + latency;
        self.ramp.record_answer(started, Some(generation), self.now);
    }

    fn answer_many(&mut self, count: u32, generation: u64) {
        for _ in 0..count {
            self.answer_after(LATENCY, generation);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let started = self.start_request();
        self.now = started + LATENCY;
        match fault {
            Fault::Refused(reason) => self.ramp.record_refusal(reason, started, self.now),
            Fault::Lost(reason) => self.ramp.record_loss(reason, started, self.now),
            Fault::Restart => self.ramp.record_answer(started, Some(2), self.now),
            Fault::Idle(time) => {
                self.ramp.record_answer(started, Some(1), self.now);
                self.now = self.now + time;
                self.ramp.observe_idle_time(0, self.now);
            }
            Fault::SlowAnswers => {
                for _ in 0..SLOW_ANSWERS_BEFORE_SUSPECT {
                    self.answer_after(LATENCY * 20, 1);
                }
            }
        }
    }
}

/// A fault of the target, or a time without requests.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Refused(Reason),
    Lost(Reason),
    Restart,
    Idle(Duration),
    SlowAnswers,
}

/// Guards against a cold start that is faster than the settings allow, and against one that never ends.
#[test]
fn cold_target_is_paced_and_its_limit_grows_in_steps() {
    let mut harness = TestRamp::cold();
    let first = harness.start_request();
    assert_eq!(harness.ramp.next_start(), first + Duration::from_millis(11));
    assert_eq!(harness.stage_and_limit(), (Stage::Cold, 1));
    // The first answer reports the generation, which counts as a restart, so it is not a good answer.
    harness.answer_many(1 + policy().cold_answers - 1, 1);
    assert_eq!(harness.stage_and_limit(), (Stage::Cold, 1));
    harness.answer_many(1, 1);
    assert_eq!(harness.stage_and_limit(), (Stage::Warming, 2));
    harness.answer_many(WARMING_STEP_ANSWERS, 1);
    assert_eq!(harness.stage_and_limit(), (Stage::Warming, 4));
    harness.answer_many(1_000, 1);
    assert_eq!(harness.stage_and_limit(), (Stage::Warm, 8));
    assert_eq!(harness.ramp.start_interval(), Duration::ZERO);
}

/// Guards against full load on a target that became cold, in every stage of the slow start.
#[rstest]
fn each_sign_of_a_cold_target_limits_load_to_cold(
    #[values(0, 5, 12, 17, 25, 1_000)] answers: u32,
    #[values(
        Fault::Restart,
        Fault::Refused(Reason::NotSent),
        Fault::Refused(Reason::Draining),
        Fault::Lost(Reason::ConnectionLost),
        Fault::Lost(Reason::TargetError),
        Fault::Lost(Reason::MismatchedAnswer),
        Fault::Idle(IDLE_BEFORE_SUSPECT),
        Fault::Idle(IDLE_BEFORE_COLD),
        Fault::SlowAnswers
    )]
    fault: Fault,
) {
    let mut harness = TestRamp::cold();
    harness.answer_many(answers, 1);
    harness.inject(fault);
    assert_eq!(harness.stage_and_limit(), (Stage::Cold, 1));
    assert!(harness.ramp.start_interval() >= Duration::from_millis(10));
}

/// Guards against more starts than the cold rate allows in any span of one second, with both ends included.
#[rstest]
fn starts_in_any_second_stay_within_the_cold_rate(#[values(1, 5, 100)] cold_rate: u32) {
    let mut harness = TestRamp::cold();
    let policy = policy::Target {
        cold_rate,
        ..policy()
    };
    harness.ramp.set_policy(policy, harness.now);
    let starts: Vec<Moment> = (0..cold_rate * 3)
        .map(|_| harness.start_request())
        .collect();
    for first in &starts {
        let last = *first + Duration::from_secs(1);
        let count = starts
            .iter()
            .filter(|start| (*first..=last).contains(start));
        assert!(count.count() <= cold_rate as usize);
    }
}

/// Guards against a whole cold start after a single lost connection. Guards also against a return to full
/// load after answers to earlier requests, answers of another generation, or answers that are slower than
/// before.
#[rstest]
#[case::same_generation(false, 1, 1, Stage::Warm)]
#[case::other_generation(false, 2, 1, Stage::Cold)]
#[case::started_before(true, 1, 1, Stage::Cold)]
#[case::slower(false, 1, 3, Stage::Cold)]
fn suspicion_ends_only_with_new_answers_at_the_usual_latency(
    #[case] before: bool,
    #[case] generation: u64,
    #[case] slower: u32,
    #[case] expected: Stage,
) {
    let mut harness = TestRamp::warm();
    let earlier_start = harness.start_request();
    harness.now = harness.now + LATENCY;
    harness
        .ramp
        .record_loss(Reason::ConnectionLost, earlier_start, harness.now);
    assert!(harness.ramp.is_suspect());
    for _ in 0..SUSPICION_END_ANSWERS {
        let started = if before {
            earlier_start
        } else {
            harness.start_request()
        };
        harness.now = started + LATENCY * slower;
        harness
            .ramp
            .record_answer(started, Some(generation), harness.now);
    }
    assert_eq!(harness.ramp.stage(), expected);
}

/// Guards against a return to full load after repeated errors, which a cold target returns under load.
#[test]
fn second_consecutive_failure_resets_to_cold() {
    let mut harness = TestRamp::warm();
    harness.inject(Fault::Lost(Reason::TargetError));
    harness.inject(Fault::Lost(Reason::TargetError));
    assert!(!harness.ramp.is_suspect());
    assert_eq!(harness.stage_and_limit(), (Stage::Cold, 1));
}

/// Guards against answers to requests from before a restart that count towards the end of the cold start.
#[test]
fn answers_to_requests_from_before_a_restart_do_not_raise_the_limit() {
    let mut harness = TestRamp::warm();
    let earlier_start = harness.start_request();
    harness.inject(Fault::Restart);
    for _ in 0..policy().cold_answers * 2 {
        harness
            .ramp
            .record_answer(earlier_start, Some(2), harness.now);
    }
    assert_eq!(harness.stage_and_limit(), (Stage::Cold, 1));
}

/// Guards against unchanged load on a target that sheds requests, and against a limit that grows too fast
/// afterwards.
#[test]
fn shed_answer_halves_the_limit_and_delays_the_next_start() {
    let mut harness = TestRamp::warm();
    harness.inject(Fault::Refused(Reason::Shed));
    assert_eq!(harness.stage_and_limit(), (Stage::Recovering, 4));
    assert_eq!(harness.ramp.next_start(), harness.now + SHED_DELAY);
    harness.answer_many(RECOVERY_STEP_ANSWERS, 1);
    assert_eq!(harness.stage_and_limit(), (Stage::Recovering, 5));
    for _ in 0..OVERLOADS_BEFORE_COLD {
        harness.inject(Fault::Refused(Reason::Shed));
    }
    assert_eq!(harness.stage_and_limit(), (Stage::Cold, 1));
}

/// Guards against one overload that counts several times because several requests ran.
#[test]
fn concurrently_shed_requests_count_as_one_overload() {
    let mut harness = TestRamp::warm();
    let started = harness.start_request();
    harness.now = harness.now + LATENCY;
    for _ in 0..5 {
        harness
            .ramp
            .record_refusal(Reason::Shed, started, harness.now);
    }
    assert_eq!(harness.stage_and_limit(), (Stage::Recovering, 4));
}

/// Guards against a cold start because of a single slow answer, or because of refusals that say nothing about
/// the load of the target.
#[rstest]
#[case(Reason::VersionGone)]
#[case(Reason::Expired)]
#[case(Reason::NoPermit)]
#[case(Reason::Cancelled)]
#[case(Reason::QueueFull)]
fn single_slow_answers_and_unrelated_refusals_keep_a_target_warm(#[case] reason: Reason) {
    let mut harness = TestRamp::warm();
    harness.inject(Fault::Refused(reason));
    harness.answer_after(LATENCY * 50, 1);
    harness.answer_many(1, 1);
    harness.answer_after(LATENCY * 50, 1);
    assert_eq!(harness.stage_and_limit(), (Stage::Warm, 8));
}

/// Guards against more load than changed settings allow, and against the use of all new slots at once.
#[test]
fn changed_limits_apply_immediately() {
    let mut harness = TestRamp::warm();
    let fewer = policy::Target {
        slots: 3,
        ..policy()
    };
    harness.ramp.set_policy(fewer, harness.now);
    assert_eq!(harness.stage_and_limit(), (Stage::Warm, 3));
    harness.ramp.set_policy(policy(), harness.now);
    assert_eq!(harness.stage_and_limit(), (Stage::Warming, 3));
    harness.ramp.reset_to_cold(harness.now);
    let slower = policy::Target {
        cold_rate: 10,
        ..policy()
    };
    harness.ramp.set_policy(slower, harness.now);
    assert_eq!(harness.ramp.start_interval(), Duration::from_millis(110));
}
