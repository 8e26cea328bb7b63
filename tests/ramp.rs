//! Drives the cold start of one target through lists of events.

use std::time::Duration;

use redwinggrade::process::ramp::{
    IDLE_BEFORE_COLD, IDLE_BEFORE_SUSPECT, RECOVERY_STEP_ANSWERS, Ramp, SHED_ANSWER_LIMIT,
    SHED_DELAY, SLOW_ANSWER_LIMIT, SUSPICION_END_ANSWERS, Stage, WARMING_STEP_ANSWERS,
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

/// A ramp with its own clock, which runs one request after the other.
struct Bench {
    ramp: Ramp,
    now: Moment,
}

impl Bench {
    fn cold() -> Self {
        let now = Moment::from_millis(1_000);
        let ramp = Ramp::open(policy(), now);
        Self { ramp, now }
    }

    fn warm() -> Self {
        let mut bench = Self::cold();
        bench.answers(1_000, 1);
        assert_eq!(bench.stage(), (Stage::Warm, 8));
        bench
    }

    fn stage(&self) -> (Stage, u16) {
        (self.ramp.stage(), self.ramp.limit())
    }

    fn start(&mut self) -> Moment {
        self.now = self.now.max(self.ramp.next_start());
        self.ramp.observe_idle_time(0, self.now);
        self.ramp.record_start(self.now);
        self.now
    }

    fn answer_after(&mut self, latency: Duration, generation: u64) {
        let started = self.start();
        self.now = started + latency;
        self.ramp.record_answer(started, Some(generation), self.now);
    }

    fn answers(&mut self, count: u32, generation: u64) {
        for _ in 0..count {
            self.answer_after(LATENCY, generation);
        }
    }

    fn fail(&mut self, fault: Fault) {
        let started = self.start();
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
            Fault::Surge => {
                for _ in 0..SLOW_ANSWER_LIMIT {
                    self.answer_after(LATENCY * 20, 1);
                }
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Refused(Reason),
    Lost(Reason),
    Restart,
    Idle(Duration),
    Surge,
}

/// Guards against a cold start that is faster than the settings allow, and against one that never
/// ends.
#[test]
fn a_cold_target_is_paced_and_warms_in_steps() {
    let mut bench = Bench::cold();
    let first = bench.start();
    assert_eq!(bench.ramp.next_start(), first + Duration::from_millis(11));
    assert_eq!(bench.stage(), (Stage::Cold, 1));
    // The first answer shows the generation, so it cannot count for it.
    bench.answers(1 + policy().cold_answers - 1, 1);
    assert_eq!(bench.stage(), (Stage::Cold, 1));
    bench.answers(1, 1);
    assert_eq!(bench.stage(), (Stage::Warming, 2));
    bench.answers(WARMING_STEP_ANSWERS, 1);
    assert_eq!(bench.stage(), (Stage::Warming, 4));
    bench.answers(1_000, 1);
    assert_eq!(bench.stage(), (Stage::Warm, 8));
    assert_eq!(bench.ramp.start_interval(), Duration::ZERO);
}

/// Guards against full load on a target that turned cold, at every stage of its life.
#[rstest]
fn doubt_means_cold(
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
        Fault::Surge
    )]
    fault: Fault,
) {
    let mut bench = Bench::cold();
    bench.answers(answers, 1);
    bench.fail(fault);
    assert_eq!(bench.stage(), (Stage::Cold, 1));
    assert!(bench.ramp.start_interval() >= Duration::from_millis(10));
}

/// Guards against more starts per second than a cold target bears, at the edges of every second.
#[rstest]
fn no_second_holds_more_starts_than_the_cold_rate(#[values(1, 5, 100)] cold_rate: u32) {
    let mut bench = Bench::cold();
    let policy = policy::Target {
        cold_rate,
        ..policy()
    };
    bench.ramp.set_policy(policy, bench.now);
    let starts: Vec<Moment> = (0..cold_rate * 3).map(|_| bench.start()).collect();
    for first in &starts {
        let last = *first + Duration::from_secs(1);
        let count = starts
            .iter()
            .filter(|start| (*first..=last).contains(start));
        assert!(count.count() <= cold_rate as usize);
    }
}

/// Guards against a full cold start after a mere lost connection, and against a return to full load
/// on the word of answers that were on their way before, that are of another generation, or that
/// are slower than those of a warm target.
#[rstest]
#[case::same_generation(false, 1, 1, Stage::Warm)]
#[case::other_generation(false, 2, 1, Stage::Cold)]
#[case::started_before(true, 1, 1, Stage::Cold)]
#[case::slower(false, 1, 3, Stage::Cold)]
fn only_new_answers_like_before_end_suspicion(
    #[case] before: bool,
    #[case] generation: u64,
    #[case] slower: u32,
    #[case] expected: Stage,
) {
    let mut bench = Bench::warm();
    let early = bench.start();
    bench.now = bench.now + LATENCY;
    bench
        .ramp
        .record_loss(Reason::ConnectionLost, early, bench.now);
    assert!(bench.ramp.is_suspect());
    for _ in 0..SUSPICION_END_ANSWERS {
        let started = if before { early } else { bench.start() };
        bench.now = started + LATENCY * slower;
        bench
            .ramp
            .record_answer(started, Some(generation), bench.now);
    }
    assert_eq!(bench.ramp.stage(), expected);
}

/// Guards against a return to full load after repeated errors, which a cold target gives under load.
#[test]
fn a_second_failure_in_a_row_makes_cold() {
    let mut bench = Bench::warm();
    bench.fail(Fault::Lost(Reason::TargetError));
    bench.fail(Fault::Lost(Reason::TargetError));
    assert!(!bench.ramp.is_suspect());
    assert_eq!(bench.stage(), (Stage::Cold, 1));
}

/// Guards against answers of the warm time that count for the cold time.
#[test]
fn answers_to_earlier_requests_do_not_warm() {
    let mut bench = Bench::warm();
    let early = bench.start();
    bench.fail(Fault::Restart);
    for _ in 0..policy().cold_answers * 2 {
        bench.ramp.record_answer(early, Some(2), bench.now);
    }
    assert_eq!(bench.stage(), (Stage::Cold, 1));
}

/// Guards against pressure on a target that sheds load, and against growth that is too quick after.
#[test]
fn shedding_lowers_and_delays() {
    let mut bench = Bench::warm();
    bench.fail(Fault::Refused(Reason::Shed));
    assert_eq!(bench.stage(), (Stage::Recovering, 4));
    assert_eq!(bench.ramp.next_start(), bench.now + SHED_DELAY);
    bench.answers(RECOVERY_STEP_ANSWERS, 1);
    assert_eq!(bench.stage(), (Stage::Recovering, 5));
    for _ in 0..SHED_ANSWER_LIMIT {
        bench.fail(Fault::Refused(Reason::Shed));
    }
    assert_eq!(bench.stage(), (Stage::Cold, 1));
}

/// Guards against one overload that counts as many because several requests ran.
#[test]
fn requests_shed_together_count_once() {
    let mut bench = Bench::warm();
    let started = bench.start();
    bench.now = bench.now + LATENCY;
    for _ in 0..5 {
        bench.ramp.record_refusal(Reason::Shed, started, bench.now);
    }
    assert_eq!(bench.stage(), (Stage::Recovering, 4));
}

/// Guards against a cold start because of a single straggler, or because of refusals that say
/// nothing about load.
#[rstest]
#[case(Reason::VersionGone)]
#[case(Reason::Expired)]
#[case(Reason::NoPermit)]
#[case(Reason::Cancelled)]
#[case(Reason::QueueFull)]
fn harmless_events_leave_a_target_warm(#[case] reason: Reason) {
    let mut bench = Bench::warm();
    bench.fail(Fault::Refused(reason));
    bench.answer_after(LATENCY * 50, 1);
    bench.answers(1, 1);
    bench.answer_after(LATENCY * 50, 1);
    assert_eq!(bench.stage(), (Stage::Warm, 8));
}

/// Guards against more load than changed settings allow, and against a jump to untested slots.
#[test]
fn settings_apply_at_once() {
    let mut bench = Bench::warm();
    let fewer = policy::Target {
        slots: 3,
        ..policy()
    };
    bench.ramp.set_policy(fewer, bench.now);
    assert_eq!(bench.stage(), (Stage::Warm, 3));
    bench.ramp.set_policy(policy(), bench.now);
    assert_eq!(bench.stage(), (Stage::Warming, 3));
    bench.ramp.reset_to_cold(bench.now);
    let slower = policy::Target {
        cold_rate: 10,
        ..policy()
    };
    bench.ramp.set_policy(slower, bench.now);
    assert_eq!(bench.ramp.start_interval(), Duration::from_millis(110));
}
