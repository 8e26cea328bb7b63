//! P4 and P10: settings changes by operators under faults and load.
//!
//! The exit codes of the operators' client must be true: 0 means that the change is in force at every node, 1
//! and 4 mean that nothing was changed.

use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, ensure};
use redwinggrade_demo::fixture::{Fixture, Layout};
use redwinggrade_demo::fleet::Fleet;
use rstest::rstest;
use serde_json::{Value as Json, json};
use standins::http;
use standins::process::Signal;

/// The time after acceptance after which no request may start at what was taken out (docs/design.md, P4).
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// The number of requests that wait in the sockets of a frozen node.
const WAITING_REQUESTS: usize = 40;
/// Exit codes of the operators' client.
const ACCEPTED_EXIT_CODE: Option<i32> = Some(0);
const ERROR_EXIT_CODE: Option<i32> = Some(1);
const CONFLICT_EXIT_CODE: Option<i32> = Some(4);
const UNKNOWN_EXIT_CODE: Option<i32> = Some(5);

/// Applies the settings with another default hit limit, as a change of version `base`.
fn apply_limit(fixture: &Fixture, limit: u32, base: u64, name: &str) -> anyhow::Result<Output> {
    let file = fixture.write_settings_file(name, |settings| {
        settings["defaults"]["limit"] = json!(limit);
    })?;
    let file = file
        .to_str()
        .context("the settings path is not valid UTF-8")?;
    let base = base.to_string();
    let arguments = ["apply", file, "--base", &base, "--timeout", "20"];
    fixture.fleet.run_operator_client(&arguments)
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Returns the number of versions written to the settings log, as the store stand-in's journal shows.
async fn count_logged_versions(fleet: &Fleet) -> anyhow::Result<usize> {
    let journal = fleet.store_journal().await?;
    let writes = journal["writes"]
        .as_array()
        .context("expected a JSON array")?;
    let puts = writes.iter().filter_map(|write| write["puts"].as_array());
    let keys = puts.flatten().filter_map(Json::as_str);
    Ok(keys.filter(|key| key.starts_with("settings/log/")).count())
}

async fn settings_versions(fleet: &Fleet) -> anyhow::Result<Vec<u64>> {
    let mut versions = Vec::new();
    for number in 0..fleet.nodes.len() {
        let status = fleet.node_status(number).await?;
        versions.push(status["settings_version"].as_u64().unwrap_or(0));
    }
    Ok(versions)
}

fn unix_ms() -> anyhow::Result<u64> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(u64::try_from(now.as_millis())?)
}

/// Returns the wall-clock start times, in milliseconds, of those requests in the targets' journal that
/// `selects` accepts.
async fn start_times<F>(fleet: &Fleet, selects: F) -> anyhow::Result<Vec<u64>>
where
    F: Fn(&standins::target::JournalEntry) -> bool,
{
    let origin_ms = fleet.target_verdict().await?.started_unix_ms;
    let journal = fleet.target_journal().await?;
    let entries = journal.iter().filter(|entry| selects(entry));
    let starts = entries.filter_map(|entry| entry.started_ms);
    Ok(starts.map(|ms| origin_ms + ms).collect())
}

/// P10: guards against an exit code 0 of `apply` before every node has the version, and against a write that
/// is reported as failed or repeated because the store's answer was lost.
#[rstest]
#[case::without_a_fault(json!({}))]
#[case::store_answer_lost(json!({"lose_answers": 1}))]
#[case::store_slow(json!({"delay_ms": 300}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_change_is_in_force_at_every_node(#[case] fault: Json) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::TWO_CELLS).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.set_store_faults(&fault).await?;
    let output = apply_limit(&fixture, 99, 1, "change.yaml")?;
    let versions = settings_versions(&fixture.fleet).await?;
    ensure!(
        output.status.code() == ACCEPTED_EXIT_CODE,
        "{}",
        output_text(&output)
    );
    assert_eq!(
        versions, [2; 6],
        "the change was accepted but is not in force at every node"
    );
    assert_eq!(
        count_logged_versions(&fixture.fleet).await?,
        2,
        "the change was not stored exactly once"
    );
    fixture.wait_for_requests(&load).await?;
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// P4: guards against requests that start at a data centre or target more than 2 s after operators took it
/// out. Requests must start there again once it is brought back in.
#[rstest]
#[case::data_centre("data-centre", "dc2")]
#[case::target("instance", "search-s00-0")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_centre_or_target_taken_out_gets_no_new_work(
    #[case] command: &str,
    #[case] name: &str,
) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::TWO_CELLS).await?;
    let at_place = |entry: &standins::target::JournalEntry| {
        &*entry.data_centre == name || &*entry.target == name
    };
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    ensure!(
        !start_times(&fixture.fleet, at_place).await?.is_empty(),
        "no request started at {name} before it was taken out"
    );
    fixture.fleet.run_accepted_change(&[command, "out", name])?;
    let out_ms = unix_ms()?;
    let until = load.elapsed() + LEAVE_LIMIT * 2;
    fixture
        .fleet
        .wait_until("load for twice the limit", async || load.elapsed() >= until)
        .await?;
    fixture.wait_for_requests(&load).await?;
    let last = start_times(&fixture.fleet, at_place)
        .await?
        .into_iter()
        .max()
        .unwrap_or(0);
    let late = last.saturating_sub(out_ms);
    ensure!(
        u128::from(late) <= LEAVE_LIMIT.as_millis(),
        "a request started at {name} {late} ms after it was taken out"
    );
    fixture.fleet.run_accepted_change(&[command, "in", name])?;
    let back_ms = unix_ms()?;
    fixture
        .fleet
        .wait_until("a start where operators brought back in", async || {
            let starts = start_times(&fixture.fleet, at_place)
                .await
                .unwrap_or_default();
            starts.iter().any(|start| *start >= back_ms)
        })
        .await?;
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// P4: guards against callers that are still sent to a node that operators have taken out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn address_lists_omit_node_taken_out() -> anyhow::Result<()> {
    let fixture = Fixture::start(Layout::ONE_CELL).await?;
    let out_address = json!(fixture.fleet.nodes[1].caller.to_string());
    fixture
        .fleet
        .run_accepted_change(&["instance", "out", "node-2"])?;
    for node in &fixture.fleet.nodes {
        let list = http::call_json(node.caller, "GET", "/v1/addresses", &Json::Null).await?;
        let addresses = list["addresses"]
            .as_array()
            .context("expected a JSON array")?;
        ensure!(
            !addresses.contains(&out_address),
            "the address list of {} contains the node that is out",
            node.name
        );
    }
    fixture
        .fleet
        .run_accepted_change(&["instance", "in", "node-2"])?;
    // An accepted change does not imply that the node is listed at once: a node that has missed an exchange
    // is omitted from the lists for a moment, whatever the settings say.
    let node = fixture.fleet.nodes[0].caller;
    fixture
        .fleet
        .wait_until("node-2 in the address lists", async || {
            let list = http::call_json(node, "GET", "/v1/addresses", &Json::Null).await;
            let list = list.unwrap_or_default();
            let addresses = list["addresses"].as_array();
            addresses.is_some_and(|addresses| addresses.contains(&out_address))
        })
        .await
}

/// P10: guards against a lost update when two operators change the same version concurrently: one change must
/// be accepted and the other refused with a conflict.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_concurrent_changes_is_accepted() -> anyhow::Result<()> {
    let fixture = Fixture::start(Layout::ONE_CELL).await?;
    let limits = [41, 42];
    let outputs = std::thread::scope(|scope| {
        let threads = limits.map(|limit| {
            let fixture = &fixture;
            scope.spawn(move || apply_limit(fixture, limit, 1, &format!("{limit}.yaml")))
        });
        threads.map(|thread| thread.join().expect("the thread of an operator panicked"))
    });
    let [first, second] = outputs;
    let (first, second) = (first?, second?);
    let codes = [first.status.code(), second.status.code()];
    let winner = codes.iter().position(|code| *code == ACCEPTED_EXIT_CODE);
    let winner =
        winner.with_context(|| format!("neither change was accepted: exit codes {codes:?}"))?;
    ensure!(
        codes[1 - winner] == CONFLICT_EXIT_CODE,
        "{codes:?}: {} {}",
        output_text(&first),
        output_text(&second)
    );
    let shown = output_text(&fixture.fleet.run_operator_client(&["show"])?);
    let (won, lost) = (limits[winner], limits[1 - winner]);
    ensure!(shown.contains(&format!("limit: {won}")), "{shown}");
    ensure!(!shown.contains(&format!("limit: {lost}")), "{shown}");
    assert_eq!(count_logged_versions(&fixture.fleet).await?, 2);
    assert_eq!(settings_versions(&fixture.fleet).await?, [2; 3]);
    Ok(())
}

/// P10: guards against a change that is accepted while the store is down, and against an exit code 1
/// ("nothing was changed") although the change was stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_not_accepted_while_store_is_down() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    fixture
        .fleet
        .set_store_faults(&json!({"down": true}))
        .await?;
    let output = apply_limit(&fixture, 77, 1, "down.yaml")?;
    let code = output.status.code();
    ensure!(
        code == ERROR_EXIT_CODE || code == UNKNOWN_EXIT_CODE,
        "{code:?} {}",
        output_text(&output)
    );
    fixture.wait_for_requests(&load).await?;
    assert_eq!(settings_versions(&fixture.fleet).await?, [1; 3]);
    fixture
        .fleet
        .set_store_faults(&json!({"down": false}))
        .await?;
    fixture.wait_for_requests(&load).await?;
    if code == ERROR_EXIT_CODE {
        assert_eq!(
            count_logged_versions(&fixture.fleet).await?,
            1,
            "the client said that nothing was changed, but the change was stored"
        );
    }
    // With the store back, the same change to the same base version is accepted.
    let output = apply_limit(&fixture, 77, 1, "down.yaml")?;
    ensure!(
        output.status.code() == ACCEPTED_EXIT_CODE,
        "{}",
        output_text(&output)
    );
    assert_eq!(settings_versions(&fixture.fleet).await?, [2; 3]);
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// P10: guards against work from an old version of the settings. A change that takes out a target is accepted
/// while the target's gateway is frozen, because the gateway's permit has expired; the resumed gateway must
/// not start requests there.
///
/// The gateway is frozen before any load runs, so that no request is between the permit check and the write
/// to the target. Other nodes take back the requests that they sent to a frozen node, so the test sends
/// requests that wait in its sockets; without them the test would pass even if permits were not checked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_gateway_starts_no_work_at_target_taken_out() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let target = "search-s00-0";
    let frozen = fixture
        .gateway_of(target)
        .context("the target has no gateway")?;
    fixture.fleet.signal_node(frozen, Signal::Stop)?;
    let load = fixture.start_load();
    fixture
        .fleet
        .run_accepted_change(&["instance", "out", target])?;
    let accepted_ms = unix_ms()?;
    fixture.wait_for_requests(&load).await?;
    let address = fixture.fleet.nodes[frozen].caller;
    let waiting: Vec<_> = (0..WAITING_REQUESTS)
        .map(|number| tokio::spawn(send_search(address, number)))
        .collect();
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.signal_node(frozen, Signal::Continue)?;
    for request in waiting {
        request.await??;
    }
    fixture.fleet.wait_for_members("dc1-0", 3).await?;
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_for_requests(&load).await?;
    let late = start_times(&fixture.fleet, |entry| &*entry.target == target).await?;
    let late: Vec<_> = late
        .into_iter()
        .filter(|start| *start > accepted_ms)
        .collect();
    ensure!(
        late.is_empty(),
        "{} requests started at the target after the change was accepted",
        late.len()
    );
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// Sends one search request to a node, which may answer or refuse it.
async fn send_search(node: std::net::SocketAddr, number: usize) -> anyhow::Result<()> {
    let headers = [
        ("Content-Type", "application/json"),
        ("Deadline-Ms", "5000"),
    ];
    let path = "/v1/query/search/match";
    http::call(node, "POST", path, &headers, format!("waiting {number}")).await?;
    Ok(())
}

/// P10: guards against a node that reports an older settings version than before within one incarnation, or
/// holds a permit with a version older than an accepted one, while changes follow each other and a node is
/// killed and restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_never_revert_to_older_settings_version() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let accepted = Arc::new(AtomicU64::new(1));
    let done = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = fixture
        .fleet
        .nodes
        .iter()
        .map(|node| {
            tokio::spawn(watch_status(
                node.admin,
                Arc::clone(&accepted),
                Arc::clone(&done),
            ))
        })
        .collect();
    for version in 1..=5_u64 {
        if version == 2 {
            fixture.fleet.kill_node(2)?;
        }
        let output = apply_limit(&fixture, 50 + u32::try_from(version)?, version, "next.yaml")?;
        ensure!(
            output.status.code() == ACCEPTED_EXIT_CODE,
            "{}",
            output_text(&output)
        );
        accepted.store(version + 1, Ordering::Release);
        if version == 3 {
            fixture.fleet.restart_node(2)?;
        }
    }
    fixture.fleet.wait_for_permits().await?;
    assert_eq!(settings_versions(&fixture.fleet).await?, [6; 3]);
    done.store(true, Ordering::Release);
    for watcher in watchers {
        ensure!(
            watcher.await?? > 0,
            "a node never answered a status request"
        );
    }
    fixture.wait_until_complete().await
}

async fn watch_status(
    admin: std::net::SocketAddr,
    accepted: Arc<AtomicU64>,
    done: Arc<AtomicBool>,
) -> anyhow::Result<u64> {
    let mut previous = (0, 0);
    let mut observed = 0;
    while !done.load(Ordering::Acquire) {
        // The version must be at least the latest that was accepted before the status request was sent.
        let accepted_version = accepted.load(Ordering::Acquire);
        let Ok(status) = http::call_json(admin, "GET", "/admin/status", &Json::Null).await else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let number = |field: &str| status[field].as_u64().unwrap_or(0);
        let current = (number("incarnation"), number("settings_version"));
        ensure!(
            current.0 != previous.0 || current.1 >= previous.1,
            "the settings version decreased from {} to {}",
            previous.1,
            current.1
        );
        ensure!(
            status["permit"] != json!(true) || current.1 >= accepted_version,
            "the node holds a permit with version {} although version {accepted_version} is accepted",
            current.1
        );
        previous = current;
        observed += 1;
    }
    Ok(observed)
}

/// P10: guards against a damaged value in the store taking effect: the last good version must stay in force,
/// and a node must log the damaged value.
#[rstest]
#[case::head_overwritten(None)]
#[case::values_truncated(Some(json!({"truncate_values": true})))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn damaged_store_value_leaves_last_version_in_force(
    #[case] fault: Option<Json>,
) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    match &fault {
        Some(fault) => fixture.fleet.set_store_faults(fault).await,
        None => {
            fixture
                .fleet
                .put_store_value("settings/head", b"{\"version\": ")
                .await
        }
    }?;
    fixture
        .fleet
        .wait_until("a log line that reports the damaged value", async || {
            let mut nodes = 0..fixture.fleet.nodes.len();
            nodes.any(|node| {
                fixture
                    .fleet
                    .node_log(node)
                    .iter()
                    .any(|line| line.contains("cannot be used"))
            })
        })
        .await?;
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    assert_eq!(settings_versions(&fixture.fleet).await?, [1; 3]);
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}
