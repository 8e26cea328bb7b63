//! Drives one query through `Scatter`, as the process does, and judges each step against the promises.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use redwinggrade::request::choice;
use redwinggrade::request::hedge::{self, Hedge};
use redwinggrade::request::scatter::{Action, Event, Plan, Scatter, Selection, Verdict};
use redwinggrade::time::Moment;
use redwinggrade::version::directory::{Directory, Target};
use redwinggrade::version::policy::{self, Query};
use redwinggrade::wire::exchange::Holding;
use redwinggrade::wire::{Incarnation, Leg, Load, Member, Outcome, Reason, Version};

/// Wants every shard, within 400 ms.
pub const POLICY: Query = Query {
    deadline: Duration::from_millis(400),
    least_coverage: 1.0,
    straggler_wait: Duration::from_millis(20),
    hedge_percent: 5.0,
    priority: 0,
    idempotent: true,
    scatter: policy::Scatter::All,
    limit: 10,
};

fn load(running: u16) -> Load {
    Load {
        running,
        limit: 4,
        latency_us: 5_000,
        ..Load::default()
    }
}

/// Builds `replicas` targets for each shard of each (version, shards); each target holds its shard of
/// every version that has one, and replica 0 alone is local.
pub fn targets(versions: &[(u64, u32)], replicas: u32) -> Vec<Target> {
    let address = "127.0.0.1:1".parse().expect("a valid address");
    let (name, incarnation) = ("node-1".into(), Incarnation(1));
    let gateway = Member {
        name,
        incarnation,
        peer: address,
        caller: address,
    };
    let most = versions.iter().map(|it| it.1).max().unwrap_or(0);
    let target = |shard: u32, replica: u32| Target {
        name: format!("s{shard}-{replica}").into(),
        address,
        data_centre: if replica == 0 { "dc1" } else { "dc2" }.into(),
        index: "tins".into(),
        service: format!("s{shard}").into(),
        replica,
        gateway: Some(gateway.clone()),
        usable: true,
        holdings: versions
            .iter()
            .filter(|it| shard < it.1)
            .map(|&(version, shards)| Holding {
                version: Version(version),
                shard,
                shards,
            })
            .collect(),
        load: load(1),
    };
    let shards = (0..most).flat_map(|shard| (0..replicas).map(move |replica| (shard, replica)));
    shards
        .map(|(shard, replica)| target(shard, replica))
        .collect()
}

/// One query with everything around it.
pub struct World {
    pub now: Moment,
    pub directory: Directory,
    pub policy: Query,
    hedge: Hedge,
    scatter: Scatter,
    /// All legs sent, by number.
    pub legs: Vec<Leg>,
    /// Legs that neither ended nor were cancelled.
    pub open: Vec<u32>,
    /// Legs that certainly did not run.
    not_run: BTreeSet<u32>,
    /// The shards that answered, by version.
    answered: HashMap<Version, BTreeSet<u32>>,
    pub verdict: Option<Verdict>,
}

impl World {
    pub fn open(targets: Vec<Target>, policy: Query) -> Self {
        let selection = match policy.scatter {
            policy::Scatter::All => Selection::All,
            policy::Scatter::One => Selection::One(0),
        };
        let plan = Plan {
            request: "q-1".into(),
            index: "tins".into(),
            data_centre: "dc1".into(),
            selection,
            policy,
            choice: choice::Policy::LeastWait,
            deadline: Moment::ZERO + policy.deadline,
        };
        Self {
            now: Moment::ZERO,
            directory: Directory::build(targets),
            policy,
            hedge: Hedge::open(hedge::Policy::Adaptive),
            scatter: Scatter::open(plan, Moment::ZERO),
            legs: Vec::new(),
            open: Vec::new(),
            not_run: BTreeSet::new(),
            answered: HashMap::new(),
            verdict: None,
        }
    }

    pub fn step(&mut self, event: Event) {
        for action in self
            .scatter
            .step(event, self.now, &self.directory, &mut self.hedge)
        {
            assert!(
                self.verdict.is_none(),
                "something follows the end: {action:?}"
            );
            match action {
                Action::Send { leg, target } => {
                    assert!(
                        self.directory.target(target).takes_work(),
                        "P8: unusable target"
                    );
                    assert_eq!(leg.number as usize, self.legs.len(), "numbers have no gaps");
                    let rival = |it: &&Leg| it.version != leg.version || it.shard == leg.shard;
                    let safe = self
                        .legs
                        .iter()
                        .filter(rival)
                        .all(|it| self.not_run.contains(&it.number));
                    assert!(safe || self.policy.idempotent, "P7: runs twice: {leg:?}");
                    self.open.push(leg.number);
                    self.legs.push(leg);
                }
                Action::Cancel { leg, target } => {
                    assert_eq!(*target, *self.legs[leg as usize].target);
                    assert!(self.open.contains(&leg), "only open legs are cancelled");
                    self.open.retain(|&it| it != leg);
                }
                Action::Finish(verdict) => {
                    self.judge(&verdict);
                    self.verdict = Some(verdict);
                }
            }
        }
        assert_eq!(self.scatter.wake().is_none(), self.verdict.is_some());
    }

    fn judge(&self, verdict: &Verdict) {
        assert!(self.open.is_empty(), "a leg outlives its query");
        match verdict {
            Verdict::Answer {
                version,
                answered,
                total,
                hits,
                ..
            } => {
                let shards = &self.answered[version];
                assert_eq!(*answered as usize, shards.len(), "P2: coverage");
                let sent = self.legs.iter().filter(|it| it.version == *version);
                assert!(
                    sent.map(|it| it.shard).max() < Some(*total),
                    "P2: denominator"
                );
                assert!(f64::from(*answered) >= self.policy.least_coverage * f64::from(*total));
                let expected = shards
                    .iter()
                    .rev()
                    .map(|&it| (version.to_string(), f64::from(it)));
                let hits = hits.iter().map(|it| (it.id.clone(), it.score));
                assert!(
                    hits.eq(expected),
                    "P1, P5: hits of another version or answer"
                );
            }
            Verdict::Refusal {
                reason, not_run, ..
            } => {
                assert_eq!(
                    *not_run,
                    self.not_run.len() == self.legs.len(),
                    "P6: {reason}"
                );
                assert!(*not_run || !reason.not_run(), "P6: {reason} claims not run");
            }
        }
    }

    /// Advances time and delivers the ticks that the query asks for.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(wake) = self.scatter.wake().filter(|&wake| wake <= until) {
            self.now = self.now.max(wake);
            self.step(Event::Tick);
        }
        self.now = until;
    }

    /// The result that a leg's target owes, with one part wrong: 0 none, 1 request, 2 version, 3 shard,
    /// 4 attempt, 5 body.
    pub fn result(&self, leg: u32, wrong: u8) -> Outcome {
        let leg = &self.legs[leg as usize];
        let body = format!(
            r#"{{"hits":[{{"id":"{}","score":{}}}]}}"#,
            leg.version, leg.shard
        );
        Outcome::Answer {
            request: if wrong == 1 { "q-2" } else { "q-1" }.into(),
            version: Version(leg.version.0 + u64::from(wrong == 2)),
            shard: leg.shard + u32::from(wrong == 3),
            attempt: leg.attempt + u32::from(wrong == 4),
            body: body[usize::from(wrong == 5)..].to_owned().into(),
        }
    }

    /// Delivers the right answer of a leg, which may be late or a duplicate.
    pub fn answer(&mut self, leg: u32) {
        if self.open.contains(&leg) {
            let leg = &self.legs[leg as usize];
            self.answered
                .entry(leg.version)
                .or_default()
                .insert(leg.shard);
        }
        self.end(leg, self.result(leg, 0));
    }

    pub fn fail(&mut self, leg: u32, reason: Reason) {
        if self.open.contains(&leg) && reason.not_run() {
            self.not_run.insert(leg);
        }
        self.end(leg, Outcome::Failure(reason));
    }

    pub fn end(&mut self, leg: u32, outcome: Outcome) {
        self.open.retain(|&it| it != leg);
        self.step(Event::Result {
            leg,
            outcome,
            load: load(1),
        });
    }
}
