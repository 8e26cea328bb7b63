//! Load while a component fails and after it has recovered (P1, P2, P3, P5, P6, P7, P9).
//!
//! Every test fails if the targets' journal or the answers show a non-idempotent request that started twice,
//! an answer with wrong hits, mixed versions or untrue coverage, a false "not run", more load at a cold
//! target or more connections than allowed, or more concurrent requests at a target than its slots.

use redwinggrade_demo::fixture::{Fixture, Layout, SEARCH_INDEX};
use redwinggrade_demo::load::Load;
use rstest::rstest;
use serde_json::{Value as Json, json};
use standins::process::Signal;

/// The way in which a node fails.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// The node gets SIGKILL and is restarted later with the same name and addresses.
    Killed,
    /// The node gets SIGSTOP, and SIGCONT after its permit has expired.
    Frozen,
}

/// Guards against lost, repeated or wrong work when a node fails and returns. Each of the three nodes
/// coordinates a third of the queries and is the gateway of a third of the targets, so the fault affects both
/// roles.
#[rstest]
#[case::killed(Failure::Killed)]
#[case::frozen(Failure::Frozen)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_failure_under_load_keeps_guarantees(#[case] failure: Failure) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    match failure {
        Failure::Killed => fixture.fleet.kill_node(1)?,
        Failure::Frozen => {
            fixture.fleet.signal_node(1, Signal::Stop)?;
            // The other nodes reassign the frozen node's targets only after its permit has expired.
            fixture.fleet.wait_for_members("dc1-0", 2).await?;
        }
    }
    fixture.wait_for_requests(&load).await?;
    match failure {
        Failure::Killed => fixture.fleet.restart_node(1)?,
        Failure::Frozen => fixture.fleet.signal_node(1, Signal::Continue)?,
    }
    fixture.fleet.wait_for_members("dc1-0", 3).await?;
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_for_requests(&load).await?;
    finish_and_check(fixture, load).await
}

/// P9: guards against requests that are cut off by a planned stop of a node: every request that is sent
/// meanwhile must be answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_no_request() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.signal_node(1, Signal::Terminate)?;
    anyhow::ensure!(
        fixture.fleet.wait_for_exit(1).await?,
        "the node did not exit with status 0 after SIGTERM"
    );
    fixture.wait_for_requests(&load).await?;
    let records = load.finish().await?;
    let verdict = fixture.check_guarantees(records).await?;
    anyhow::ensure!(
        verdict.answered == verdict.queries,
        "not every request was answered: {verdict:#?}"
    );
    Ok(())
}

async fn finish_and_check(mut fixture: Fixture, load: Load) -> anyhow::Result<()> {
    fixture.wait_until_complete().await?;
    let records = load.finish().await?;
    fixture.check_guarantees(records).await?;
    Ok(())
}

/// P1 to P7: guards against a loss of permits while the store fails, when the support of a majority of the
/// cell renews them, and against taking a store write whose answer is lost for one that failed.
#[rstest]
#[case::down(json!({"down": true}), json!({"down": false}))]
#[case::slow(json!({"delay_ms": 2_000}), json!({"delay_ms": 0}))]
#[case::answers_lost(json!({"lose_answers": 3}), json!({"lose_answers": 0}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_failure_under_load_keeps_guarantees(
    #[case] fault: Json,
    #[case] end: Json,
) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.fleet.set_store_faults(&fault).await?;
    // Requests end for longer than two permits are valid, which shows that the majority renews permits.
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    // A node that is killed while the store fails leaves targets without a gateway, and replacing it takes
    // writes to the store.
    fixture.fleet.kill_node(2)?;
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.set_store_faults(&end).await?;
    fixture.fleet.restart_node(2)?;
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_for_requests(&load).await?;
    finish_and_check(fixture, load).await
}

/// Guards against a loss of service when the membership list lags or is down: the list can only exclude
/// targets, so targets that serve must stay in use.
#[rstest]
#[case::lags(json!({"lag_ms": 60_000}), json!({"lag_ms": 0}))]
#[case::down(json!({"down": true}), json!({"down": false}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn membership_list_failure_under_load_keeps_guarantees(
    #[case] fault: Json,
    #[case] end: Json,
) -> anyhow::Result<()> {
    let fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.fleet.set_membership_faults(&fault).await?;
    fixture.wait_for_requests(&load).await?;
    // The list does not report these changes in time, so the nodes must observe them at the targets.
    fixture
        .fleet
        .command_targets(&json!({"name": "search-s00-0", "drain": true}))
        .await?;
    fixture
        .fleet
        .command_targets(&json!({"name": "search-s01-0", "restart": true}))
        .await?;
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.set_membership_faults(&end).await?;
    fixture
        .fleet
        .command_targets(&json!({"name": "search-s00-0", "restore": true}))
        .await?;
    fixture.wait_for_requests(&load).await?;
    finish_and_check(fixture, load).await
}

/// Guards against wrong or lost results when the first replica of each service fails in one of several ways,
/// while another replica can serve.
#[rstest]
#[case::lose_answers(json!({"lose_answers": 5}))]
#[case::answer_crosswise(json!({"cross_answers": 5}))]
#[case::hang(json!({"hang": true}))]
#[case::down(json!({"down": true}))]
#[case::restart_cold(json!({"restart": true}))]
#[case::report_misleading_status(json!({"misleading_status": true, "restart": true}))]
#[case::drain(json!({"drain": true}))]
#[case::leave(json!({"leave": true}))]
#[case::slow(json!({"slow_factor": 100.0}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_failures_under_load_keep_guarantees(#[case] fault: Json) -> anyhow::Result<()> {
    let fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    let names: Vec<String> = fixture
        .target_names()
        .into_iter()
        .filter(|name| name.ends_with("-0"))
        .collect();
    for name in &names {
        let mut command = fault.clone();
        command["name"] = json!(name);
        fixture.fleet.command_targets(&command).await?;
    }
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    for name in &names {
        let command = json!({"name": name, "restore": true});
        fixture.fleet.command_targets(&command).await?;
    }
    fixture.wait_for_requests(&load).await?;
    finish_and_check(fixture, load).await
}

/// P3: guards against overload of targets that turn cold without a restart, which shows only in slower
/// answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_turn_cold_in_place_under_load() -> anyhow::Result<()> {
    let layout = Layout {
        cold_factor: 10.0,
        ..Layout::ONE_CELL
    };
    let fixture = Fixture::start(layout).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    for name in fixture
        .target_names()
        .iter()
        .filter(|name| name.ends_with("-0"))
    {
        let command = json!({"name": name, "cold": true});
        fixture.fleet.command_targets(&command).await?;
    }
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    finish_and_check(fixture, load).await
}

/// P1 and P2: guards against answers that mix index versions during a rollout: each query must be answered
/// from one version, and its coverage must count the shards of that version.
#[rstest]
#[case::rolling(SEARCH_INDEX.services)]
#[case::repartition(SEARCH_INDEX.services + 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_rollout_answers_from_one_version(#[case] shards: u32) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    fixture.roll_out_version(&load, 2, shards).await?;
    fixture.wait_for_requests(&load).await?;
    fixture.wait_until_complete().await?;
    let records = load.finish().await?;
    let last_answer = records.iter().rev().find_map(|record| {
        let answer = record.outcome.result.as_ref().ok()?;
        (record.query.index == SEARCH_INDEX.name).then_some(answer)
    });
    let version_and_shards = last_answer.map(|answer| (answer.snapshot.0, answer.coverage.total));
    fixture.check_guarantees(records).await?;
    assert_eq!(
        version_and_shards,
        Some((2, shards)),
        "the last answer is not from the new version with all its shards"
    );
    Ok(())
}

/// P8: guards against requests at a target more than 2 s after it began to leave.
///
/// Both the target's own status and the membership list show that it leaves. With a misleading status only
/// the list shows it, so only that case fails if nodes ignore the state in the list.
#[rstest]
#[case::drains(json!({"drain": true}))]
#[case::leaves(json!({"leave": true}))]
#[case::leaves_and_says_it_serves(json!({"leave": true, "misleading_status": true}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_gets_no_new_work(#[case] fault: Json) -> anyhow::Result<()> {
    let fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    let mut command = fault;
    command["name"] = json!("search-s00-0");
    fixture.fleet.command_targets(&command).await?;
    // The load runs for longer than the limit, so that late requests would show.
    let ended = load.elapsed() + LEAVE_LIMIT * 2;
    fixture
        .fleet
        .wait_until("load for twice the limit", async || load.elapsed() >= ended)
        .await?;
    fixture.wait_for_requests(&load).await?;
    let late = fixture.fleet.target_verdict().await?.arrived_after_drain;
    assert!(
        u128::from(late.latest_ms) <= LEAVE_LIMIT.as_millis(),
        "a request arrived {} ms after the target began to leave",
        late.latest_ms
    );
    finish_and_check(fixture, load).await
}

/// The time after which a leaving target gets no new requests (docs/design.md, P8).
const LEAVE_LIMIT: std::time::Duration = std::time::Duration::from_secs(2);
