//! Drives one query through `Scatter`, as the process does, and checks the guarantees at each step.

mod targets;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use redwinggrade::request::hedge::{self, HedgeController};
use redwinggrade::request::replica_choice;
use redwinggrade::request::scatter::{Action, Event, Plan, Scatter, Selection, Verdict};
use redwinggrade::time::Moment;
use redwinggrade::version::directory::{Directory, Target};
use redwinggrade::version::policy::{self, Query};
use redwinggrade::wire::{Outcome, Reason, Subrequest, Version};
use serde_json::json;
pub use targets::{load, targets};

/// Returns a policy that requires every shard within 400 ms.
pub fn policy() -> Query {
    serde_json::from_value(json!({
        "deadline_ms": 400, "least_coverage": 1.0, "straggler_wait_ms": 20, "hedge_percent": 5.0,
        "priority": 0, "idempotent": true, "scatter": "all", "limit": 10,
    }))
    .expect("a valid query kind")
}

/// The version, answered shards and total shards of an answer, or whether a refusal says "not run".
pub type Ending = Result<(u64, u32, u32), bool>;

/// The subrequests, answers and ending observed of a query.
#[derive(Default)]
pub struct Observed {
    /// All subrequests sent, in order of their numbers.
    pub subrequests: Vec<Subrequest>,
    /// The numbers of the subrequests that neither ended nor were cancelled.
    pub open: Vec<u32>,
    /// The numbers of the subrequests that certainly did not run.
    not_run: BTreeSet<u32>,
    /// The shards that answered, by version.
    answered: HashMap<Version, BTreeSet<u32>>,
    pub ending: Option<Ending>,
}

/// One query with its clock, directory and hedge state.
pub struct QueryDriver {
    now: Moment,
    pub directory: Directory,
    policy: Query,
    hedge: HedgeController,
    scatter: Scatter,
    pub observed: Observed,
}

impl QueryDriver {
    pub fn open(targets: Vec<Target>, policy: Query) -> Self {
        let selection = match policy.scatter {
            policy::Scatter::All => Selection::All,
            policy::Scatter::One => Selection::One(0),
        };
        let plan = Plan {
            request_id: "q-1".into(),
            index: "tins".into(),
            data_centre: "dc1".into(),
            selection,
            policy,
            replica_policy: replica_choice::Policy::LeastWait,
            deadline: Moment::ZERO + policy.deadline,
        };
        Self {
            now: Moment::ZERO,
            directory: Directory::build(targets),
            policy,
            hedge: HedgeController::new(hedge::Policy::Adaptive),
            scatter: Scatter::new(plan, Moment::ZERO),
            observed: Observed::default(),
        }
    }

    pub fn step(&mut self, event: Event) {
        let (now, directory) = (self.now, &self.directory);
        for action in self.scatter.step(event, now, directory, &mut self.hedge) {
            assert!(
                self.observed.ending.is_none(),
                "action after the query finished: {action:?}"
            );
            match action {
                Action::Send { subrequest, target } => {
                    assert!(
                        directory.target(target).takes_work(),
                        "P8: subrequest sent to a target that takes no work"
                    );
                    self.observed.send(subrequest, self.policy.idempotent);
                }
                Action::Cancel { subrequest, target } => {
                    assert_eq!(
                        *target,
                        *self.observed.subrequests[subrequest as usize].target
                    );
                    assert!(
                        self.observed.open.contains(&subrequest),
                        "cancels a subrequest that has ended"
                    );
                    self.observed.open.retain(|&it| it != subrequest);
                }
                Action::Finish(verdict) => {
                    self.observed.ending = Some(self.observed.check_verdict(verdict, &self.policy));
                }
            }
        }
        assert_eq!(
            self.scatter.next_wake().is_none(),
            self.observed.ending.is_some()
        );
    }

    /// Advances the clock and delivers the ticks that fall due.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(wake) = self.scatter.next_wake().filter(|&wake| wake <= until) {
            self.now = self.now.max(wake);
            self.step(Event::Tick);
        }
        self.now = until;
    }

    /// Returns the answer of a subrequest's target with one part wrong: 0 none, 1 request id, 2 version, 3
    /// shard, 4 attempt, 5 body.
    pub fn result(&self, subrequest: u32, wrong: u8) -> Outcome {
        let subrequest = &self.observed.subrequests[subrequest as usize];
        let hit = json!({"id": subrequest.version.to_string(), "score": subrequest.shard});
        let body = json!({"hits": [hit]}).to_string();
        Outcome::Answer {
            request: if wrong == 1 { "q-2" } else { "q-1" }.into(),
            version: Version(subrequest.version.0 + u64::from(wrong == 2)),
            shard: subrequest.shard + u32::from(wrong == 3),
            attempt: subrequest.attempt + u32::from(wrong == 4),
            body: body[usize::from(wrong == 5)..].to_owned().into(),
        }
    }

    /// Delivers the correct answer of a subrequest, which may be late or a duplicate.
    pub fn answer(&mut self, subrequest: u32) {
        if self.observed.open.contains(&subrequest) {
            let subrequest = &self.observed.subrequests[subrequest as usize];
            let answered = self
                .observed
                .answered
                .entry(subrequest.version)
                .or_default();
            answered.insert(subrequest.shard);
        }
        self.deliver(subrequest, self.result(subrequest, 0));
    }

    pub fn fail(&mut self, subrequest: u32, reason: Reason) {
        if self.observed.open.contains(&subrequest) && reason.not_run() {
            self.observed.not_run.insert(subrequest);
        }
        self.deliver(subrequest, Outcome::Failure(reason));
    }

    pub fn deliver(&mut self, subrequest: u32, outcome: Outcome) {
        self.observed.open.retain(|&it| it != subrequest);
        let load = load(1);
        self.step(Event::Result {
            subrequest,
            outcome,
            load,
        });
    }
}

impl Observed {
    fn send(&mut self, subrequest: Subrequest, idempotent: bool) {
        assert_eq!(subrequest.number as usize, self.subrequests.len());
        for it in &self.subrequests {
            let same_target = it.target == subrequest.target;
            assert!(
                !same_target || it.attempt != subrequest.attempt,
                "target and attempt repeat, so a cancellation would hit both subrequests"
            );
            let same_shard = (it.version, it.shard) == (subrequest.version, subrequest.shard);
            assert!(
                !same_shard || !same_target,
                "a second subrequest for a shard goes to the same replica"
            );
            let other_shard = it.version == subrequest.version && !same_shard;
            let runs_at_most_once = idempotent || other_shard || self.not_run.contains(&it.number);
            assert!(
                runs_at_most_once,
                "P7: a non-idempotent query may run twice: {subrequest:?}"
            );
        }
        self.open.push(subrequest.number);
        self.subrequests.push(subrequest);
    }

    /// Returns an open subrequest for the version and shard of another one.
    pub fn open_for_same_shard(&self, subrequest: u32) -> Option<u32> {
        let place = |subrequest: u32| {
            let subrequest = &self.subrequests[subrequest as usize];
            (subrequest.version, subrequest.shard)
        };
        let mut open = self.open.iter().copied();
        open.find(|&it| place(it) == place(subrequest))
    }

    fn check_verdict(&self, verdict: Verdict, policy: &Query) -> Ending {
        assert!(
            self.open.is_empty(),
            "a subrequest is open after the query finished"
        );
        let answers: usize = self.answered.values().map(BTreeSet::len).sum();
        let unknown = self.subrequests.len() - self.not_run.len() - answers;
        let outcome_known = policy.idempotent || unknown == 0;
        if let Verdict::Refusal {
            reason, not_run, ..
        } = verdict
        {
            let none_ran = self.not_run.len() == self.subrequests.len();
            assert_eq!(not_run, none_ran, "P6: wrong not_run with {reason}");
            assert!(not_run || !reason.not_run(), "P6: {reason} implies not_run");
            assert!(
                outcome_known || reason == Reason::OutcomeUnknown,
                "P7: {reason} hides an unknown outcome"
            );
            return Err(not_run);
        }
        let Verdict::Answer {
            version,
            answered,
            total,
            hits,
            ..
        } = verdict
        else {
            unreachable!("neither a refusal nor an answer")
        };
        assert!(outcome_known, "P7: answered although an outcome is unknown");
        let shards = &self.answered[&version];
        assert_eq!(
            answered as usize,
            shards.len(),
            "P2: wrong number of answered shards"
        );
        let sent = self.subrequests.iter().filter(|it| it.version == version);
        assert!(
            sent.map(|it| it.shard).max() < Some(total),
            "P2: a subrequest went to a shard beyond the total"
        );
        assert!(f64::from(answered) >= policy.least_coverage * f64::from(total));
        let hits = hits.into_iter().map(|it| (it.id, it.score as u32));
        let expected = shards.iter().rev().map(|&it| (version.to_string(), it));
        assert!(
            hits.eq(expected),
            "P1, P5: hits of another version or of a wrong answer"
        );
        Ok((version.0, answered, total))
    }
}
