//! The phases of the demo, each with one fault.

use std::collections::BTreeMap;
use std::time::Duration;

use redwinggrade::client::Error;
use redwinggrade_demo::fleet::{Config, Fleet};
use redwinggrade_demo::judge::{Verdict, judge};
use redwinggrade_demo::load::{Load, MAGNOLIA, Record, TAMAR};
use serde_json::{Value as Json, json};
use standins::process::Signal;
use standins::spec::{Builder, User};
use standins::target::spec::ServiceTime;

use crate::{Args, Customer};

/// The median service time of the targets, in milliseconds.
const MEDIAN_MS: f64 = 4.0;
/// Callers that send the load.
const CALLERS: usize = 12;
/// The time after a data centre is taken out within which new work there must end.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// One phase: a fault, and how long the load runs with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Steady,
    DataCentreOut,
    DataCentreIn,
    Kill,
    Restart,
    Freeze,
    Stop,
    StoreDown,
    StoreBack,
    Versions,
    Repartition,
    TargetFaults,
    ColdTargets,
}

impl Phase {
    const ALL: [Self; 13] = [
        Self::Steady,
        Self::DataCentreOut,
        Self::DataCentreIn,
        Self::Kill,
        Self::Restart,
        Self::Freeze,
        Self::Stop,
        Self::StoreDown,
        Self::StoreBack,
        Self::Versions,
        Self::Repartition,
        Self::TargetFaults,
        Self::ColdTargets,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::DataCentreOut => "dc-out",
            Self::DataCentreIn => "dc-in",
            Self::Kill => "kill",
            Self::Restart => "restart",
            Self::Freeze => "freeze",
            Self::Stop => "stop",
            Self::StoreDown => "store-down",
            Self::StoreBack => "store-back",
            Self::Versions => "versions",
            Self::Repartition => "repartition",
            Self::TargetFaults => "target-faults",
            Self::ColdTargets => "cold-targets",
        }
    }

    const fn what(self) -> &'static str {
        match self {
            Self::Steady => "no fault",
            Self::DataCentreOut => "operators take dc2 out",
            Self::DataCentreIn => "dc2 returns with cold targets",
            Self::Kill => "node-4 is killed",
            Self::Restart => "node-4 is started again",
            Self::Freeze => "node-5 is frozen for 2 s",
            Self::Stop => "node-6 stops as planned and is started again",
            Self::StoreDown => "the store is down, and node-7 is killed",
            Self::StoreBack => "the store is back, and node-7 is started again",
            Self::Versions => "a new index version rolls over the targets",
            Self::Repartition => "a version with four more shards rolls over the targets",
            Self::TargetFaults => "targets lose answers and answer crosswise",
            Self::ColdTargets => "targets restart cold without warning",
        }
    }
}

/// When a phase began and ended, since the load began.
#[derive(Debug)]
struct Span {
    phase: Phase,
    from: Duration,
    to: Duration,
}

/// Runs the demo; returns whether every promise was kept.
pub async fn run(args: &Args) -> anyhow::Result<bool> {
    let say = |text: &str| {
        if !args.json {
            println!("{text}");
        }
    };
    let user = User::from(args.user);
    say("starting the stand-ins and nine nodes in three data centres");
    let mut scene = Scene::start(args, user).await?;
    say("settings are in force; warming up");
    scene.warm_up(args).await?;
    let kinds = match args.user {
        Customer::Magnolia => MAGNOLIA,
        Customer::Tamar => TAMAR,
    };
    let load = Load::spawn(&kinds, CALLERS, &scene.fleet.callers(), args.seed);
    let mut spans = Vec::new();
    for phase in Phase::ALL {
        if !args.only.is_empty() && !args.only.iter().any(|name| name == phase.name()) {
            continue;
        }
        say(&format!("{:>14}: {}", phase.name(), phase.what()));
        let from = load.elapsed();
        let before = scene.fleet.counters().await?;
        scene
            .bring_about(phase, Duration::from_secs(args.phase))
            .await?;
        if args.counters {
            grown(&before, &scene.fleet.counters().await?);
        }
        let to = load.elapsed();
        spans.push(Span { phase, from, to });
    }
    let records = load.finish().await?;
    scene.report(args, &records, &spans).await
}

struct Scene {
    fleet: Fleet,
    index: &'static str,
    late_after_out_ms: Option<u64>,
}

impl Scene {
    async fn start(args: &Args, user: User) -> anyhow::Result<Self> {
        let time = ServiceTime {
            median_ms: MEDIAN_MS,
            straggler_probability: 0.01,
            ..ServiceTime::default()
        };
        let file = match args.user {
            Customer::Magnolia => "magnolia.yaml",
            Customer::Tamar => "tamar.yaml",
        };
        let config = Config {
            spec: Builder::new(user)
                .seed(args.seed)
                .service_time(time)
                .build(),
            data_centres: ["dc1", "dc2", "dc3"].map(str::to_owned).to_vec(),
            nodes: 9,
            settings: args.examples.join(file),
            threads: 2,
        };
        Ok(Self {
            fleet: Fleet::start(config).await?,
            index: match args.user {
                Customer::Magnolia => "proof-viewing",
                Customer::Tamar => "design-search",
            },
            late_after_out_ms: None,
        })
    }

    /// Sends load until the targets have answered enough to count as warm.
    async fn warm_up(&self, args: &Args) -> anyhow::Result<()> {
        let kinds = match args.user {
            Customer::Magnolia => MAGNOLIA,
            Customer::Tamar => TAMAR,
        };
        let load = Load::spawn(&kinds, CALLERS, &self.fleet.callers(), args.seed + 1);
        tokio::time::sleep(WARM_UP).await;
        load.finish().await?;
        Ok(())
    }

    async fn bring_about(&mut self, phase: Phase, length: Duration) -> anyhow::Result<()> {
        match phase {
            Phase::Steady => tokio::time::sleep(length).await,
            Phase::DataCentreOut => self.take_out(length).await?,
            Phase::DataCentreIn => {
                self.fleet
                    .target(&json!({"data_centre": "dc2", "restart": true}))
                    .await?;
                self.fleet.accepted(&["data-centre", "in", "dc2"])?;
                tokio::time::sleep(length).await;
            }
            Phase::Kill => {
                self.fleet.kill(3)?;
                tokio::time::sleep(length).await;
            }
            Phase::Restart => self.restart(3, length).await?,
            Phase::Freeze => {
                self.fleet.signal(4, Signal::Stop)?;
                tokio::time::sleep(FREEZE).await;
                self.fleet.signal(4, Signal::Continue)?;
                tokio::time::sleep(length).await;
                self.fleet.wait_permit(4).await?;
            }
            Phase::Stop => {
                self.fleet.signal(5, Signal::Terminate)?;
                anyhow::ensure!(self.fleet.wait_end(5).await?, "the planned stop failed");
                self.restart(5, length).await?;
            }
            Phase::StoreDown => {
                self.fleet.store_faults(&json!({"down": true})).await?;
                tokio::time::sleep(length / 2).await;
                self.fleet.kill(6)?;
                tokio::time::sleep(length / 2).await;
            }
            Phase::StoreBack => {
                self.fleet.store_faults(&json!({"down": false})).await?;
                self.restart(6, length).await?;
            }
            Phase::Versions => {
                self.roll(2, false, length).await?;
            }
            Phase::Repartition => {
                self.roll(3, true, length).await?;
            }
            Phase::TargetFaults => self.misbehave(length).await?,
            Phase::ColdTargets => {
                for target in self.names().into_iter().step_by(7) {
                    self.fleet
                        .target(&json!({"name": target, "restart": true}))
                        .await?;
                }
                tokio::time::sleep(length).await;
            }
        }
        Ok(())
    }

    async fn take_out(&mut self, length: Duration) -> anyhow::Result<()> {
        self.fleet.accepted(&["data-centre", "out", "dc2"])?;
        let accepted = std::time::SystemTime::now();
        tokio::time::sleep(length.max(LEAVE_LIMIT)).await;
        let verdict = self.fleet.verdict().await?;
        let accepted = accepted.duration_since(std::time::UNIX_EPOCH)?.as_millis() as u64;
        let last = verdict
            .data_centres
            .get("dc2")
            .and_then(|centre| centre.last_start_ms)
            .map_or(0, |last| verdict.started_unix_ms + last);
        self.late_after_out_ms = Some(last.saturating_sub(accepted));
        Ok(())
    }

    async fn restart(&mut self, number: usize, length: Duration) -> anyhow::Result<()> {
        self.fleet.restart(number)?;
        tokio::time::sleep(length).await;
        self.fleet.wait_permit(number).await
    }

    /// Rolls a new version over the targets of the main index: first beside the old one, then alone.
    async fn roll(&self, version: u64, split: bool, length: Duration) -> anyhow::Result<()> {
        let services = 20;
        let shards = if split { services + 4 } else { services };
        let names = self.index_targets();
        let pause = length / (2 * names.len().max(1)) as u32;
        let old =
            |service: u32| json!({"version": version - 1, "shard": service, "shards": services});
        let new = |service: u32| {
            let mut held = vec![json!({"version": version, "shard": service, "shards": shards})];
            // The shards that the new version adds go to the first services.
            if split && service < 4 {
                held.push(
                    json!({"version": version, "shard": services + service, "shards": shards}),
                );
            }
            held
        };
        for (name, service) in &names {
            let mut held = new(*service);
            held.push(old(*service));
            self.fleet
                .target(&json!({"name": name, "versions": held}))
                .await?;
            tokio::time::sleep(pause).await;
        }
        for (name, service) in &names {
            let command = json!({"name": name, "versions": new(*service)});
            self.fleet.target(&command).await?;
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    async fn misbehave(&self, length: Duration) -> anyhow::Result<()> {
        // Only the first replicas misbehave: the fault of this phase is one of each service.
        let names = self.names().into_iter().filter(|name| name.ends_with("-0"));
        for (number, name) in names.enumerate() {
            let command = match number % 3 {
                0 => json!({"name": name, "lose_answers": 2}),
                1 => json!({"name": name, "cross_answers": 2}),
                _ => json!({"name": name, "misleading_status": true}),
            };
            self.fleet.target(&command).await?;
        }
        tokio::time::sleep(length).await;
        Ok(())
    }

    fn names(&self) -> Vec<String> {
        let targets = &self.fleet.spec().targets;
        targets.iter().map(|target| target.name.clone()).collect()
    }

    fn index_targets(&self) -> Vec<(String, u32)> {
        let targets = self.fleet.spec().targets.iter();
        targets
            .filter(|target| target.index == self.index)
            .map(|target| (target.name.clone(), target.versions[0].shard))
            .collect()
    }

    async fn report(
        &self,
        args: &Args,
        records: &[Record],
        spans: &[Span],
    ) -> anyhow::Result<bool> {
        let journal = self.fleet.journal().await?;
        let targets = self.fleet.verdict().await?;
        let verdict = judge(records, &journal);
        let late = self.late_after_out_ms.unwrap_or(0);
        // Overruns that no observer could foresee are those at targets that turned cold unannounced.
        let overruns = targets.cold_overruns - targets.cold_overruns_unannounced;
        let store = self.fleet.store_calls().await?;
        let clean = verdict.is_clean()
            && overruns == 0
            && targets.connection_overruns == 0
            && u128::from(late) <= LEAVE_LIMIT.as_millis();
        if args.json {
            println!("{}", line(&verdict, &targets, late, &store, clean)?);
        } else {
            phases(records, spans);
            println!("{}", serde_json::to_string_pretty(&verdict)?);
            println!(
                "cold overruns {overruns}, unannounced {}",
                targets.cold_overruns_unannounced
            );
            println!("connection overruns {}", targets.connection_overruns);
            println!("last start in dc2 after it was out: {late} ms");
            println!("store calls: {store}");
            lost(records);
            println!(
                "{}",
                if clean {
                    "every promise was kept"
                } else {
                    "a promise was broken"
                }
            );
        }
        Ok(clean)
    }
}

/// The time that the load runs before the first phase, which the targets need to get warm.
const WARM_UP: Duration = Duration::from_secs(5);
/// How long a node is frozen; longer than a permit lasts.
const FREEZE: Duration = Duration::from_secs(2);

fn line(
    verdict: &Verdict,
    targets: &standins::target::Verdict,
    late: u64,
    store: &Json,
    clean: bool,
) -> anyhow::Result<String> {
    let mut line = serde_json::to_value(verdict)?;
    line["cold_overruns"] = json!(targets.cold_overruns - targets.cold_overruns_unannounced);
    line["cold_overruns_unannounced"] = json!(targets.cold_overruns_unannounced);
    line["connection_overruns"] = json!(targets.connection_overruns);
    line["started_after_drain"] = json!(targets.started_after_drain);
    line["last_start_after_out_ms"] = json!(late);
    line["store_calls"] = store.clone();
    line["clean"] = json!(clean);
    Ok(serde_json::to_string(&line)?)
}

fn phases(records: &[Record], spans: &[Span]) {
    println!(
        "{:>14}  sent  ok  not-run  other  p50 ms  p99 ms  coverage",
        "phase"
    );
    for span in spans {
        let within = |record: &&Record| record.at >= span.from && record.at < span.to;
        let part: Vec<Record> = records.iter().filter(within).cloned().collect();
        let verdict = judge(&part, &[]);
        println!(
            "{:>14}  {:4}  {:4}  {:4}  {:4}  {:6.1}  {:6.1}  {:.4} (min {:.2})  {:?}",
            span.phase.name(),
            verdict.queries,
            verdict.answered,
            verdict.not_run,
            verdict.queries - verdict.answered - verdict.not_run,
            verdict.p50_ms,
            verdict.p99_ms,
            verdict.coverage_mean,
            verdict.coverage_min,
            verdict.refusals,
        );
    }
}

/// Prints the counters of refusals, subrequests and failures that grew during a phase.
fn grown(before: &BTreeMap<String, f64>, after: &BTreeMap<String, f64>) {
    for (name, value) in after {
        let growth = value - before.get(name).unwrap_or(&0.0);
        let counts = [
            "refusals",
            "legs",
            "leg_failures",
            "dispatches",
            "target_connections",
        ];
        if growth > 0.0 && counts.iter().any(|prefix| name.starts_with(prefix)) {
            println!("{:>16}{name} +{growth}", "");
        }
    }
}

/// Prints the requests that ended without an answer and without a refusal.
fn lost(records: &[Record]) {
    let lost = |record: &&Record| {
        record
            .outcome
            .result
            .as_ref()
            .is_err_and(|e| !matches!(e, Error::Refused(_)))
    };
    for record in records.iter().filter(lost) {
        println!(
            "no answer: {}/{} at {:?}, {} attempts, {:?}, ids {:?}",
            record.query.index,
            record.query.kind,
            record.at,
            record.outcome.attempts,
            record.outcome.elapsed,
            record.outcome.request_ids,
        );
    }
}
