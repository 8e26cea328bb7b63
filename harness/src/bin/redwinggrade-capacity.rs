//! Measures the cost of the control plane per node as the number of nodes, targets, changes or queries
//! grows.
//!
//! CPU time and memory are read from `/proc`, bytes and calls from the nodes' metrics, and store calls from
//! the store stand-in. `docs/CAPACITY.md` extrapolates from these figures.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::{Parser, ValueEnum};
use redwinggrade_demo::fleet::{Config, Fleet};
use redwinggrade_demo::load::{Load, QueryKind};
use serde_json::json;
use standins::spec::Builder;
use standins::target::spec::Spec;

/// The command line of the measurement.
#[derive(Debug, Clone, Parser)]
#[command(
    name = "redwinggrade-capacity",
    version,
    about = "Measures the cost of the control plane per node"
)]
struct Args {
    /// The quantity that grows from one measurement to the next
    #[arg(value_enum)]
    series: Series,
    /// The sizes to measure; if left out, four sizes that suit the series
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Length of each measurement in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Series {
    /// Members of one cell
    Members,
    /// Cells of three members each
    Cells,
    /// Targets in the membership list that the nodes do not own
    Targets,
    /// Settings changes per second
    Changes,
    /// Queries per second, each to 20 shards
    Queries,
}

impl Series {
    fn sizes(self) -> Vec<usize> {
        match self {
            Self::Members => vec![2, 4, 8, 16],
            Self::Cells => vec![1, 2, 4, 8],
            Self::Targets => vec![0, 1_000, 4_000, 16_000],
            Self::Changes => vec![0, 1, 2, 4],
            Self::Queries => vec![0, 100, 200, 400],
        }
    }
}

/// Resource use: totals as read, or rates per second and node (store calls: over all nodes).
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    control_bytes: f64,
    control_calls: f64,
    subrequests: f64,
    store_calls: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("redwinggrade-capacity: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> anyhow::Result<()> {
    let sizes = if args.sizes.is_empty() {
        args.series.sizes()
    } else {
        args.sizes.clone()
    };
    println!(
        "series {:?}, {} s each; bytes and calls per node count both directions",
        args.series, args.seconds
    );
    println!(
        "  size  cpu % of a core  memory MB  control B/s  control calls/s  legs/s  cpu us/leg  store calls/s (all)"
    );
    for size in sizes {
        let (usage, memory_mb) = measure(args, size).await?;
        let per_subrequest = if usage.subrequests > 0.0 {
            usage.cpu_s * 1e6 / usage.subrequests
        } else {
            0.0
        };
        println!(
            "{size:6}  {:15.2}  {memory_mb:9.1}  {:11.0}  {:15.1}  {:6.0}  {per_subrequest:10.1}  {:7.1}",
            usage.cpu_s * 100.0,
            usage.control_bytes * 2.0,
            usage.control_calls * 2.0,
            usage.subrequests,
            usage.store_calls,
        );
    }
    Ok(())
}

async fn measure(args: &Args, size: usize) -> anyhow::Result<(Usage, f64)> {
    let (data_centre_count, nodes) = match args.series {
        Series::Members => (1, size),
        Series::Cells => (size, size * 3),
        Series::Changes => (3, 9),
        Series::Targets | Series::Queries => (3, 3),
    };
    let directory = tempfile::tempdir()?;
    let data_centres: Vec<String> = (1..=data_centre_count)
        .map(|number| format!("dc{number}"))
        .collect();
    let settings = directory.path().join("settings.yaml");
    std::fs::write(&settings, settings_yaml(&data_centres))?;
    let spec = match args.series {
        Series::Queries => {
            let index = standins::spec::Index {
                slots: 16,
                ..standins::spec::MAGNOLIA[0]
            };
            Builder::with_indexes(vec![index]).build()
        }
        _ => Spec {
            seed: 1,
            targets: Vec::new(),
        },
    };
    let config = Config {
        spec,
        data_centres: data_centres.clone(),
        nodes,
        settings,
        threads: 1,
        memory_mb: None,
    };
    let fleet = Fleet::start(config).await?;
    if args.series == Series::Targets && size > 0 {
        fleet
            .add_listed_instances(&json!(listed_targets(size)))
            .await?;
    }
    let load = (args.series == Series::Queries && size > 0).then(|| {
        let kind = QueryKind {
            index: "proof-viewing",
            kind: "match",
            rate: size as f64,
            deadline: Duration::from_secs(1),
            idempotent: true,
            has_routing_key: false,
        };
        Load::spawn(&[kind], 12, &fleet.caller_addresses(), 1)
    });
    // Joining and warming up are not part of the steady-state cost.
    tokio::time::sleep(SETTLE_DURATION).await;
    let before = read_usage(&fleet).await?;
    let started_at = tokio::time::Instant::now();
    let changing = async {
        if args.series == Series::Changes && size > 0 {
            apply_changes(&fleet, size, args.seconds).await
        } else {
            tokio::time::sleep(Duration::from_secs(args.seconds)).await;
            Ok(())
        }
    };
    changing.await?;
    let after = read_usage(&fleet).await?;
    let seconds = started_at.elapsed().as_secs_f64();
    if let Some(load) = load {
        load.finish().await?;
    }
    let node_seconds = nodes as f64 * seconds;
    let usage = Usage {
        cpu_s: (after.cpu_s - before.cpu_s) / node_seconds,
        control_bytes: (after.control_bytes - before.control_bytes) / node_seconds,
        control_calls: (after.control_calls - before.control_calls) / node_seconds,
        subrequests: (after.subrequests - before.subrequests) / node_seconds,
        store_calls: (after.store_calls - before.store_calls) / seconds,
    };
    Ok((usage, mean_resident_mb(&fleet)?))
}

/// The time for the nodes to join their cells, read the membership list and warm the targets.
const SETTLE_DURATION: Duration = Duration::from_secs(8);

/// Takes a target out and in, `rate` times per second, as operators do.
async fn apply_changes(fleet: &Fleet, rate: usize, seconds: u64) -> anyhow::Result<()> {
    let started_at = tokio::time::Instant::now();
    for number in 1..=rate * seconds as usize {
        let due = started_at + Duration::from_secs_f64(number as f64 / rate as f64);
        tokio::time::sleep_until(due).await;
        let direction = if number % 2 == 0 { "in" } else { "out" };
        // Waiting for the confirmation of a change would delay the next one; exit code 3 says that it is
        // missing.
        let output =
            fleet.run_operator_client(&["instance", direction, "target-1", "--timeout", "0"])?;
        let code = output.status.code();
        anyhow::ensure!(
            matches!(code, Some(0 | 3)),
            "expected exit code 0 or 3 from a settings change, found {code:?}: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    Ok(())
}

fn settings_yaml(data_centres: &[String]) -> String {
    use std::fmt::Write;

    let mut text = "defaults: { slots: 16 }
data_centres:
"
    .to_owned();
    for name in data_centres {
        writeln!(text, "  {name}: {{ state: in, cells: [{name}-0] }}")
            .expect("writing to a string never fails");
    }
    text += "indexes:\n  proof-viewing:\n    kinds:\n      match: {}\n    services:\n";
    for number in 0..20 {
        writeln!(text, "      s{number:02}: {{}}").expect("writing to a string never fails");
    }
    text
}

fn listed_targets(count: usize) -> Vec<serde_json::Value> {
    (0..count)
        .map(|number| {
            json!({
                "name": format!("far-{number}"),
                "role": "target",
                "address": format!("127.0.0.1:{}", 1 + number % 60_000),
                "data_centre": "dc99",
                "index": "proof-viewing",
                "service": format!("s{:02}", number % 20),
                "replica": number / 20,
                "state": "live",
            })
        })
        .collect()
}

async fn read_usage(fleet: &Fleet) -> anyhow::Result<Usage> {
    let counters = fleet.counters().await?;
    let counter = |name: &str| counters.get(name).copied().unwrap_or(0.0);
    let subrequests = counters
        .iter()
        .filter(|(name, _)| name.starts_with("legs_total"));
    let calls = fleet.store_call_counts().await?;
    let total = |name: &str| calls[name].as_f64().unwrap_or(0.0);
    let mut cpu_s = 0.0;
    for number in 0..fleet.nodes.len() {
        cpu_s += cpu_seconds(fleet.process_id(number).context("a node does not run")?)?;
    }
    Ok(Usage {
        cpu_s,
        control_bytes: counter("control_bytes_total"),
        control_calls: counter("control_calls_total"),
        subrequests: subrequests.map(|(_, value)| value).sum(),
        store_calls: total("reads") + total("writes"),
    })
}

/// Returns the CPU time that a process has used in user and kernel mode, in seconds.
fn cpu_seconds(id: u32) -> anyhow::Result<f64> {
    /// The kernel reports CPU time in units of 10 ms.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The program name in parentheses may contain spaces; the fields after it do not.
    let (_, rest) = stat
        .rsplit_once(')')
        .context("expected a program name in parentheses in /proc/<id>/stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |place: usize| -> anyhow::Result<f64> {
        Ok(fields
            .get(place)
            .context("/proc/<id>/stat has too few fields")?
            .parse::<f64>()?)
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Returns the mean resident memory of the nodes, in MB.
fn mean_resident_mb(fleet: &Fleet) -> anyhow::Result<f64> {
    let mut total = 0.0;
    for number in 0..fleet.nodes.len() {
        let id = fleet.process_id(number).context("a node does not run")?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        total += kilobytes
            .context("no VmRSS line in /proc/<id>/status")?
            .parse::<f64>()?
            / 1024.0;
    }
    Ok(total / fleet.nodes.len() as f64)
}
