//! Drives one query through `Scatter`, as the process does, and judges each step against the promises.

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

/// Wants every shard, within 400 ms.
pub fn policy() -> Query {
    serde_json::from_value(json!({
        "deadline_ms": 400, "least_coverage": 1.0, "straggler_wait_ms": 20, "hedge_percent": 5.0,
        "priority": 0, "idempotent": true, "scatter": "all", "limit": 10,
    }))
    .expect("a valid query kind")
}

/// The version, the answered and all shards of an answer, or whether a refusal says "not run".
pub type End = Result<(u64, u32, u32), bool>;

/// What was seen of a query.
#[derive(Default)]
pub struct Seen {
    /// All subrequests sent, by number.
    pub subrequests: Vec<Subrequest>,
    /// Subrequests that neither ended nor were cancelled.
    pub open: Vec<u32>,
    /// Subrequests that certainly did not run.
    not_run: BTreeSet<u32>,
    /// The shards that answered, by version.
    answered: HashMap<Version, BTreeSet<u32>>,
    pub end: Option<End>,
}

/// One query with everything around it.
pub struct World {
    now: Moment,
    pub directory: Directory,
    policy: Query,
    hedge: HedgeController,
    scatter: Scatter,
    pub seen: Seen,
}

impl World {
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
            seen: Seen::default(),
        }
    }

    pub fn step(&mut self, event: Event) {
        let (now, directory) = (self.now, &self.directory);
        for action in self.scatter.step(event, now, directory, &mut self.hedge) {
            assert!(self.seen.end.is_none(), "follows the end: {action:?}");
            match action {
                Action::Send { subrequest, target } => {
                    assert!(directory.target(target).takes_work(), "P8: unusable");
                    self.seen.send(subrequest, self.policy.idempotent);
                }
                Action::Cancel { subrequest, target } => {
                    assert_eq!(*target, *self.seen.subrequests[subrequest as usize].target);
                    assert!(
                        self.seen.open.contains(&subrequest),
                        "cancels an ended subrequest"
                    );
                    self.seen.open.retain(|&it| it != subrequest);
                }
                Action::Finish(verdict) => {
                    self.seen.end = Some(self.seen.judge(verdict, &self.policy));
                }
            }
        }
        assert_eq!(self.scatter.next_wake().is_none(), self.seen.end.is_some());
    }

    /// Advances time and delivers the ticks that the query asks for.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(wake) = self.scatter.next_wake().filter(|&wake| wake <= until) {
            self.now = self.now.max(wake);
            self.step(Event::Tick);
        }
        self.now = until;
    }

    /// The result that a subrequest's target owes, with one part wrong: 0 none, 1 request, 2 version, 3
    /// shard, 4 attempt, 5 body.
    pub fn result(&self, subrequest: u32, wrong: u8) -> Outcome {
        let subrequest = &self.seen.subrequests[subrequest as usize];
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

    /// Delivers the right answer of a subrequest, which may be late or a duplicate.
    pub fn answer(&mut self, subrequest: u32) {
        if self.seen.open.contains(&subrequest) {
            let subrequest = &self.seen.subrequests[subrequest as usize];
            let answered = self.seen.answered.entry(subrequest.version).or_default();
            answered.insert(subrequest.shard);
        }
        self.deliver(subrequest, self.result(subrequest, 0));
    }

    pub fn fail(&mut self, subrequest: u32, reason: Reason) {
        if self.seen.open.contains(&subrequest) && reason.not_run() {
            self.seen.not_run.insert(subrequest);
        }
        self.deliver(subrequest, Outcome::Failure(reason));
    }

    pub fn deliver(&mut self, subrequest: u32, outcome: Outcome) {
        self.seen.open.retain(|&it| it != subrequest);
        let load = load(1);
        self.step(Event::Result {
            subrequest,
            outcome,
            load,
        });
    }
}

impl Seen {
    fn send(&mut self, subrequest: Subrequest, idempotent: bool) {
        assert_eq!(subrequest.number as usize, self.subrequests.len());
        for it in &self.subrequests {
            let here = it.target == subrequest.target;
            assert!(
                !here || it.attempt != subrequest.attempt,
                "cancelled together"
            );
            let same = (it.version, it.shard) == (subrequest.version, subrequest.shard);
            assert!(!same || !here, "asks a replica again");
            let apart = it.version == subrequest.version && !same;
            let harmless = idempotent || apart || self.not_run.contains(&it.number);
            assert!(harmless, "P7: may run twice: {subrequest:?}");
        }
        self.open.push(subrequest.number);
        self.subrequests.push(subrequest);
    }

    /// An open subrequest for the version and shard of another one.
    pub fn open_like(&self, subrequest: u32) -> Option<u32> {
        let place = |subrequest: u32| {
            let subrequest = &self.subrequests[subrequest as usize];
            (subrequest.version, subrequest.shard)
        };
        let mut open = self.open.iter().copied();
        open.find(|&it| place(it) == place(subrequest))
    }

    fn judge(&self, verdict: Verdict, policy: &Query) -> End {
        assert!(self.open.is_empty(), "a subrequest outlives its query");
        let answers: usize = self.answered.values().map(BTreeSet::len).sum();
        let unknown = self.subrequests.len() - self.not_run.len() - answers;
        let known = policy.idempotent || unknown == 0;
        if let Verdict::Refusal {
            reason, not_run, ..
        } = verdict
        {
            let truth = self.not_run.len() == self.subrequests.len();
            assert_eq!(not_run, truth, "P6: {reason}");
            assert!(not_run || !reason.not_run(), "P6: {reason}");
            assert!(known || reason == Reason::OutcomeUnknown, "P7: {reason}");
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
            unreachable!("a verdict is a refusal or an answer")
        };
        assert!(known, "P7: an outcome is unknown");
        let shards = &self.answered[&version];
        assert_eq!(answered as usize, shards.len(), "P2: coverage");
        let sent = self.subrequests.iter().filter(|it| it.version == version);
        assert!(sent.map(|it| it.shard).max() < Some(total), "P2: total");
        assert!(f64::from(answered) >= policy.least_coverage * f64::from(total));
        let hits = hits.into_iter().map(|it| (it.id, it.score as u32));
        let right = shards.iter().rev().map(|&it| (version.to_string(), it));
        assert!(hits.eq(right), "P1, P5: hits of another version or answer");
        Ok((version.0, answered, total))
    }
}
