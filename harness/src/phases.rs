//! The phases of the demo, each with one fault, and the report at the end.

use std::collections::BTreeMap;
use std::time::Duration;

use redwinggrade::client::Error;
use redwinggrade_demo::checker::{Verdict, check_run};
use redwinggrade_demo::fleet::{Config, Fleet};
use redwinggrade_demo::load::{Load, MAGNOLIA_KINDS, Record, TAMAR_KINDS};
use serde_json::{Value as Json, json};
use standins::process::Signal;
use standins::spec::{Builder, User};
use standins::target::spec::ServiceTime;

use crate::{Args, Customer};

/// The median service time of the targets, in milliseconds.
const MEDIAN_SERVICE_TIME_MS: f64 = 4.0;
/// The number of callers that send the load.
const CALLER_COUNT: usize = 12;
/// The time after a data centre is taken out after which no request may start there.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// A phase of the demo: one fault, or the recovery from one, while the load runs.
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

    const fn description(self) -> &'static str {
        match self {
            Self::Steady => "no fault",
            Self::DataCentreOut => "operators take dc2 out",
            Self::DataCentreIn => "operators bring dc2 back in, with cold targets",
            Self::Kill => "node-4 is killed",
            Self::Restart => "node-4 is started again",
            Self::Freeze => "node-5 is frozen for 2 s",
            Self::Stop => "node-6 makes a planned stop and is started again",
            Self::StoreDown => "the store is down, and node-7 is killed",
            Self::StoreBack => "the store is back, and node-7 is started again",
            Self::Versions => "a new index version is rolled out to the targets",
            Self::Repartition => "a version with four more shards is rolled out to the targets",
            Self::TargetFaults => {
                "targets lose answers, swap answers between requests or report a wrong status"
            }
            Self::ColdTargets => "targets restart cold without notice",
        }
    }
}

/// The start and end of a phase, as times since the start of the load.
#[derive(Debug)]
struct PhaseSpan {
    phase: Phase,
    from: Duration,
    to: Duration,
}

/// Runs the demo and prints its report; returns whether every guarantee was kept.
pub async fn run(args: &Args) -> anyhow::Result<bool> {
    let print_progress = |text: &str| {
        if !args.json {
            println!("{text}");
        }
    };
    let user = User::from(args.user);
    print_progress("starting the stand-ins and nine nodes in three data centres");
    let mut demo = Demo::start(args, user).await?;
    print_progress("settings are in force; warming up");
    demo.warm_up(args).await?;
    let kinds = match args.user {
        Customer::Magnolia => MAGNOLIA_KINDS,
        Customer::Tamar => TAMAR_KINDS,
    };
    let load = Load::spawn(
        &kinds,
        CALLER_COUNT,
        &demo.fleet.caller_addresses(),
        args.seed,
    );
    let mut spans = Vec::new();
    for phase in Phase::ALL {
        if !args.only.is_empty() && !args.only.iter().any(|name| name == phase.name()) {
            continue;
        }
        print_progress(&format!("{:>14}: {}", phase.name(), phase.description()));
        let from = load.elapsed();
        let before = demo.fleet.counters().await?;
        demo.run_phase(phase, Duration::from_secs(args.phase))
            .await?;
        if args.counters {
            print_counter_growth(&before, &demo.fleet.counters().await?);
        }
        let to = load.elapsed();
        spans.push(PhaseSpan { phase, from, to });
    }
    let records = load.finish().await?;
    demo.report(args, &records, &spans).await
}

struct Demo {
    fleet: Fleet,
    index: &'static str,
    last_start_after_out_ms: Option<u64>,
}

impl Demo {
    async fn start(args: &Args, user: User) -> anyhow::Result<Self> {
        let time = ServiceTime {
            median_ms: MEDIAN_SERVICE_TIME_MS,
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
            memory_mb: None,
        };
        Ok(Self {
            fleet: Fleet::start(config).await?,
            index: match args.user {
                Customer::Magnolia => "proof-viewing",
                Customer::Tamar => "design-search",
            },
            last_start_after_out_ms: None,
        })
    }

    /// Sends load for [`WARM_UP_DURATION`], in which the targets give enough answers to count as warm.
    async fn warm_up(&self, args: &Args) -> anyhow::Result<()> {
        let kinds = match args.user {
            Customer::Magnolia => MAGNOLIA_KINDS,
            Customer::Tamar => TAMAR_KINDS,
        };
        let load = Load::spawn(
            &kinds,
            CALLER_COUNT,
            &self.fleet.caller_addresses(),
            args.seed + 1,
        );
        tokio::time::sleep(WARM_UP_DURATION).await;
        load.finish().await?;
        Ok(())
    }

    async fn run_phase(&mut self, phase: Phase, length: Duration) -> anyhow::Result<()> {
        match phase {
            Phase::Steady => tokio::time::sleep(length).await,
            Phase::DataCentreOut => self.take_data_centre_out(length).await?,
            Phase::DataCentreIn => {
                self.fleet
                    .command_targets(&json!({"data_centre": "dc2", "restart": true}))
                    .await?;
                self.fleet
                    .run_accepted_change(&["data-centre", "in", "dc2"])?;
                tokio::time::sleep(length).await;
            }
            Phase::Kill => {
                self.fleet.kill_node(3)?;
                tokio::time::sleep(length).await;
            }
            Phase::Restart => self.restart_and_wait(3, length).await?,
            Phase::Freeze => {
                self.fleet.signal_node(4, Signal::Stop)?;
                tokio::time::sleep(FREEZE_DURATION).await;
                self.fleet.signal_node(4, Signal::Continue)?;
                tokio::time::sleep(length).await;
                self.fleet.wait_for_permit(4).await?;
            }
            Phase::Stop => {
                self.fleet.signal_node(5, Signal::Terminate)?;
                anyhow::ensure!(
                    self.fleet.wait_for_exit(5).await?,
                    "node-6 did not exit with status 0 after SIGTERM"
                );
                self.restart_and_wait(5, length).await?;
            }
            Phase::StoreDown => {
                self.fleet.set_store_faults(&json!({"down": true})).await?;
                tokio::time::sleep(length / 2).await;
                self.fleet.kill_node(6)?;
                tokio::time::sleep(length / 2).await;
            }
            Phase::StoreBack => {
                self.fleet.set_store_faults(&json!({"down": false})).await?;
                self.restart_and_wait(6, length).await?;
            }
            Phase::Versions => {
                self.roll_out_version(2, false, length).await?;
            }
            Phase::Repartition => {
                self.roll_out_version(3, true, length).await?;
            }
            Phase::TargetFaults => self.inject_target_faults(length).await?,
            Phase::ColdTargets => {
                for target in self.target_names().into_iter().step_by(7) {
                    self.fleet
                        .command_targets(&json!({"name": target, "restart": true}))
                        .await?;
                }
                tokio::time::sleep(length).await;
            }
        }
        Ok(())
    }

    async fn take_data_centre_out(&mut self, length: Duration) -> anyhow::Result<()> {
        self.fleet
            .run_accepted_change(&["data-centre", "out", "dc2"])?;
        let accepted = std::time::SystemTime::now();
        tokio::time::sleep(length.max(LEAVE_LIMIT)).await;
        let verdict = self.fleet.target_verdict().await?;
        let accepted = accepted.duration_since(std::time::UNIX_EPOCH)?.as_millis() as u64;
        let last = verdict
            .data_centres
            .get("dc2")
            .and_then(|centre| centre.last_start_ms)
            .map_or(0, |last| verdict.started_unix_ms + last);
        self.last_start_after_out_ms = Some(last.saturating_sub(accepted));
        Ok(())
    }

    async fn restart_and_wait(&mut self, number: usize, length: Duration) -> anyhow::Result<()> {
        self.fleet.restart_node(number)?;
        tokio::time::sleep(length).await;
        self.fleet.wait_for_permit(number).await
    }

    /// Rolls out a new version to the targets of the main index: each target first holds both versions, and
    /// later only the new one.
    async fn roll_out_version(
        &self,
        version: u64,
        repartition: bool,
        length: Duration,
    ) -> anyhow::Result<()> {
        let services = 20;
        let shards = if repartition { services + 4 } else { services };
        let names = self.main_index_targets();
        let pause = length / (2 * names.len().max(1)) as u32;
        let old_holding =
            |service: u32| json!({"version": version - 1, "shard": service, "shards": services});
        let new_holdings = |service: u32| {
            let mut holdings =
                vec![json!({"version": version, "shard": service, "shards": shards})];
            // The additional shards of the new version go to the first services.
            if repartition && service < 4 {
                holdings.push(
                    json!({"version": version, "shard": services + service, "shards": shards}),
                );
            }
            holdings
        };
        for (name, service) in &names {
            let mut holdings = new_holdings(*service);
            holdings.push(old_holding(*service));
            self.fleet
                .command_targets(&json!({"name": name, "versions": holdings}))
                .await?;
            tokio::time::sleep(pause).await;
        }
        for (name, service) in &names {
            let command = json!({"name": name, "versions": new_holdings(*service)});
            self.fleet.command_targets(&command).await?;
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    async fn inject_target_faults(&self, length: Duration) -> anyhow::Result<()> {
        // The faults affect only the first replica of each service, so that another one can serve.
        let names = self
            .target_names()
            .into_iter()
            .filter(|name| name.ends_with("-0"));
        for (number, name) in names.enumerate() {
            let command = match number % 3 {
                0 => json!({"name": name, "lose_answers": 2}),
                1 => json!({"name": name, "cross_answers": 2}),
                _ => json!({"name": name, "misleading_status": true}),
            };
            self.fleet.command_targets(&command).await?;
        }
        tokio::time::sleep(length).await;
        Ok(())
    }

    fn target_names(&self) -> Vec<String> {
        let targets = &self.fleet.target_spec().targets;
        targets.iter().map(|target| target.name.clone()).collect()
    }

    fn main_index_targets(&self) -> Vec<(String, u32)> {
        let targets = self.fleet.target_spec().targets.iter();
        targets
            .filter(|target| target.index == self.index)
            .map(|target| (target.name.clone(), target.versions[0].shard))
            .collect()
    }

    async fn report(
        &self,
        args: &Args,
        records: &[Record],
        spans: &[PhaseSpan],
    ) -> anyhow::Result<bool> {
        let journal = self.fleet.target_journal().await?;
        let targets = self.fleet.target_verdict().await?;
        let verdict = check_run(records, &journal);
        let late = self.last_start_after_out_ms.unwrap_or(0);
        // Unannounced overruns arrived before any observer could know that the target had turned cold, so
        // they do not count against the system.
        let overruns = targets.cold_overruns - targets.cold_overruns_unannounced;
        let store = self.fleet.store_call_counts().await?;
        let clean = verdict.is_clean()
            && overruns == 0
            && targets.connection_overruns == 0
            && u128::from(late) <= LEAVE_LIMIT.as_millis();
        if args.json {
            println!("{}", verdict_json(&verdict, &targets, late, &store, clean)?);
        } else {
            print_phase_table(records, spans);
            println!("{}", serde_json::to_string_pretty(&verdict)?);
            println!(
                "cold overruns {overruns}, unannounced {}",
                targets.cold_overruns_unannounced
            );
            println!("connection overruns {}", targets.connection_overruns);
            println!("last start in dc2 after it was out: {late} ms");
            println!("store calls: {store}");
            print_lost_requests(records);
            println!(
                "{}",
                if clean {
                    "every guarantee was kept"
                } else {
                    "a guarantee was broken"
                }
            );
        }
        Ok(clean)
    }
}

/// The time that the load runs before the first phase, so that the targets are warm.
const WARM_UP_DURATION: Duration = Duration::from_secs(5);
/// The time that a node is frozen; longer than a permit is valid.
const FREEZE_DURATION: Duration = Duration::from_secs(2);

fn verdict_json(
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

fn print_phase_table(records: &[Record], spans: &[PhaseSpan]) {
    println!(
        "{:>14}  sent  ok  not-run  other  p50 ms  p99 ms  coverage",
        "phase"
    );
    for span in spans {
        let in_phase =
            |record: &&Record| record.sent_after >= span.from && record.sent_after < span.to;
        let phase_records: Vec<Record> = records.iter().filter(in_phase).cloned().collect();
        let verdict = check_run(&phase_records, &[]);
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

/// Prints the growth of the counters of refusals, subrequests, failures, dispatches and connections during a
/// phase.
fn print_counter_growth(before: &BTreeMap<String, f64>, after: &BTreeMap<String, f64>) {
    for (name, value) in after {
        let growth = value - before.get(name).unwrap_or(&0.0);
        let prefixes = [
            "refusals",
            "legs",
            "leg_failures",
            "dispatches",
            "target_connections",
        ];
        if growth > 0.0 && prefixes.iter().any(|prefix| name.starts_with(prefix)) {
            println!("{:>16}{name} +{growth}", "");
        }
    }
}

/// Prints the requests that ended with neither an answer nor a refusal.
fn print_lost_requests(records: &[Record]) {
    let is_lost = |record: &&Record| {
        record
            .outcome
            .result
            .as_ref()
            .is_err_and(|e| !matches!(e, Error::Refused(_)))
    };
    for record in records.iter().filter(is_lost) {
        println!(
            "no answer: {}/{} at {:?}, {} attempts, {:?}, ids {:?}",
            record.query.index,
            record.query.kind,
            record.sent_after,
            record.outcome.attempts,
            record.outcome.elapsed,
            record.outcome.request_ids,
        );
    }
}
