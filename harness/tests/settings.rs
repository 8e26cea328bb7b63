//! P4 and P10: operators' changes under faults and load.
//!
//! What an exit code says must hold: 0 means in force at every node, 4 and 1 mean nothing changed.

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

/// The time after acceptance within which work at what was taken out must end (docs/design.md, P4).
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Requests that wait at a frozen node.
const WAITING_REQUESTS: usize = 40;
/// Exit codes of the operators' client.
const ACCEPTED_EXIT_CODE: Option<i32> = Some(0);
const ERROR_EXIT_CODE: Option<i32> = Some(1);
const CONFLICT_EXIT_CODE: Option<i32> = Some(4);
const UNKNOWN_EXIT_CODE: Option<i32> = Some(5);

/// Applies the settings with one value changed.
fn apply_limit(fixture: &Fixture, limit: u32, base: u64, name: &str) -> anyhow::Result<Output> {
    let file = fixture.write_settings_file(name, |settings| {
        settings["defaults"]["limit"] = json!(limit);
    })?;
    let file = file.to_str().context("the path is not text")?;
    let base = base.to_string();
    let arguments = ["apply", file, "--base", &base, "--timeout", "20"];
    fixture.fleet.run_operator_client(&arguments)
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Returns the versions that the store stand-in's journal shows as written to the log.
async fn count_logged_versions(fleet: &Fleet) -> anyhow::Result<usize> {
    let journal = fleet.store_journal().await?;
    let writes = journal["writes"].as_array().context("a list")?;
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

/// Returns the wall-clock times of the starts at targets that `at` selects, by the targets' journal.
async fn start_times<F>(fleet: &Fleet, at: F) -> anyhow::Result<Vec<u64>>
where
    F: Fn(&standins::target::Entry) -> bool,
{
    let origin = fleet.target_verdict().await?.started_unix_ms;
    let journal = fleet.target_journal().await?;
    let entries = journal.iter().filter(|entry| at(entry));
    let starts = entries.filter_map(|entry| entry.started_ms);
    Ok(starts.map(|ms| origin + ms).collect())
}

/// P10: when `apply` ends with 0, every node has the version; a write whose answer the store lost is
/// neither reported as failed nor made twice.
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
    assert_eq!(versions, [2; 6], "accepted, but not in force everywhere");
    assert_eq!(
        count_logged_versions(&fixture.fleet).await?,
        2,
        "the change was not stored once"
    );
    fixture.wait_for_requests(&load).await?;
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// P4: what operators take out gets no new work 2 s after acceptance, and works again once it is in.
#[rstest]
#[case::data_centre("data-centre", "dc2")]
#[case::target("instance", "search-s00-0")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_centre_or_target_taken_out_gets_no_new_work(
    #[case] command: &str,
    #[case] name: &str,
) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::TWO_CELLS).await?;
    let there =
        |entry: &standins::target::Entry| &*entry.data_centre == name || &*entry.target == name;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    ensure!(
        !start_times(&fixture.fleet, there).await?.is_empty(),
        "no work to end"
    );
    fixture.fleet.run_accepted_change(&[command, "out", name])?;
    let out = unix_ms()?;
    let until = load.elapsed() + LEAVE_LIMIT * 2;
    fixture
        .fleet
        .wait_until("load past the limit", async || load.elapsed() >= until)
        .await?;
    fixture.wait_for_requests(&load).await?;
    let last = start_times(&fixture.fleet, there)
        .await?
        .into_iter()
        .max()
        .unwrap_or(0);
    let late = last.saturating_sub(out);
    ensure!(
        u128::from(late) <= LEAVE_LIMIT.as_millis(),
        "work started at {name} {late} ms after it was taken out"
    );
    fixture.fleet.run_accepted_change(&[command, "in", name])?;
    let back = unix_ms()?;
    fixture
        .fleet
        .wait_until("work where operators brought back", async || {
            let starts = start_times(&fixture.fleet, there).await.unwrap_or_default();
            starts.iter().any(|at| *at >= back)
        })
        .await?;
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// P4: callers are no longer sent to a node that operators take out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn address_lists_omit_node_taken_out() -> anyhow::Result<()> {
    let fixture = Fixture::start(Layout::ONE_CELL).await?;
    let out = json!(fixture.fleet.nodes[1].caller.to_string());
    fixture
        .fleet
        .run_accepted_change(&["instance", "out", "node-2"])?;
    for node in &fixture.fleet.nodes {
        let list = http::call_json(node.caller, "GET", "/v1/addresses", &Json::Null).await?;
        let addresses = list["addresses"].as_array().context("a list")?;
        ensure!(!addresses.contains(&out), "{} names it", node.name);
    }
    fixture
        .fleet
        .run_accepted_change(&["instance", "in", "node-2"])?;
    // Acceptance says nothing on when callers come back: a node that missed an exchange is left out of
    // the lists for a moment, whatever the settings say.
    let node = fixture.fleet.nodes[0].caller;
    fixture
        .fleet
        .wait_until("node-2 in the address lists", async || {
            let list = http::call_json(node, "GET", "/v1/addresses", &Json::Null).await;
            let list = list.unwrap_or_default();
            let addresses = list["addresses"].as_array();
            addresses.is_some_and(|addresses| addresses.contains(&out))
        })
        .await
}

/// P10: of two changes from one version, one is accepted and the other is told of the conflict.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_concurrent_changes_is_accepted() -> anyhow::Result<()> {
    let fixture = Fixture::start(Layout::ONE_CELL).await?;
    let limits = [41, 42];
    let outputs = std::thread::scope(|scope| {
        let threads = limits.map(|limit| {
            let fixture = &fixture;
            scope.spawn(move || apply_limit(fixture, limit, 1, &format!("{limit}.yaml")))
        });
        threads.map(|thread| thread.join().expect("the operator does not panic"))
    });
    let [first, second] = outputs;
    let (first, second) = (first?, second?);
    let codes = [first.status.code(), second.status.code()];
    let winner = codes.iter().position(|code| *code == ACCEPTED_EXIT_CODE);
    let winner = winner.with_context(|| format!("none is accepted: {codes:?}"))?;
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

/// P10: while the store is down nothing is accepted, and what the client says holds afterwards.
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
            "\"nothing was changed\" is untrue"
        );
    }
    // The same change is accepted now, from the same base.
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

/// P10: a change that takes out a target is accepted while the target's gateway is frozen, because its
/// permit has ended; after it thaws it must not start work there from the old version.
///
/// The gateway is frozen before any load runs, so that no request is between its check and its write.
/// Requests wait in its sockets, because other nodes take back what they sent to a frozen node; without
/// them a trial without permits passed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_gateway_starts_no_work_at_target_taken_out() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let target = "search-s00-0";
    let frozen = fixture
        .gateway_of(target)
        .context("the target has a gateway")?;
    fixture.fleet.signal_node(frozen, Signal::Stop)?;
    let load = fixture.start_load();
    fixture
        .fleet
        .run_accepted_change(&["instance", "out", target])?;
    let accepted = unix_ms()?;
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
    let late: Vec<_> = late.into_iter().filter(|at| *at > accepted).collect();
    ensure!(late.is_empty(), "{} starts after acceptance", late.len());
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// Sends one search to a node, which may answer or refuse it.
async fn send_search(node: std::net::SocketAddr, number: usize) -> anyhow::Result<()> {
    let headers = [
        ("Content-Type", "application/json"),
        ("Deadline-Ms", "5000"),
    ];
    let path = "/v1/query/search/match";
    http::call(node, "POST", path, &headers, format!("waiting {number}")).await?;
    Ok(())
}

/// P10: no run of a node reports an older version than before, and none holds a permit for a version
/// older than an accepted one, while changes follow each other and a node is replaced.
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
        ensure!(watcher.await?? > 0, "a node was never observed");
    }
    fixture.wait_until_complete().await
}

async fn watch_status(
    admin: std::net::SocketAddr,
    accepted: Arc<AtomicU64>,
    done: Arc<AtomicBool>,
) -> anyhow::Result<u64> {
    let mut last = (0, 0);
    let mut seen = 0;
    while !done.load(Ordering::Acquire) {
        // The version must be at least the one that was accepted before the question was sent.
        let floor = accepted.load(Ordering::Acquire);
        let Ok(status) = http::call_json(admin, "GET", "/admin/status", &Json::Null).await else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let number = |field: &str| status[field].as_u64().unwrap_or(0);
        let now = (number("incarnation"), number("settings_version"));
        ensure!(
            now.0 != last.0 || now.1 >= last.1,
            "the version went back from {} to {}",
            last.1,
            now.1
        );
        ensure!(
            status["permit"] != json!(true) || now.1 >= floor,
            "a permit at version {} after {floor} was accepted",
            now.1
        );
        last = now;
        seen += 1;
    }
    Ok(seen)
}

/// P10: a damaged value leaves the last good version in force, and the node's log says so.
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
        .wait_until("a log line on the damaged value", async || {
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
