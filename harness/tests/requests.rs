//! Requests under load while a part fails, and after it is back (P1, P2, P3, P5, P6, P7, P9).
//!
//! Every row fails if the journals show work that was doubled, mixed, untrue or wrong, a false "not
//! run", a cold target or a connection limit overrun, or more work at a target than its slots.

use redwinggrade_demo::fixture::{Fixture, Layout, SEARCH_INDEX};
use redwinggrade_demo::load::Load;
use rstest::rstest;
use serde_json::{Value as Json, json};
use standins::process::Signal;

/// What happens to a node.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// SIGKILL and a later start with the same name and addresses.
    Killed,
    /// SIGSTOP for longer than a permit is valid, then SIGCONT.
    Frozen,
}

/// Each of three nodes coordinates a third of the queries and is the gateway of a third of the targets,
/// so that every row meets both roles.
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
            // The other nodes hand the frozen node's targets on, which proves that it is past its
            // permit.
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

/// P9: a planned stop cuts nothing, so every request sent meanwhile is answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_no_request() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.signal_node(1, Signal::Terminate)?;
    anyhow::ensure!(
        fixture.fleet.wait_for_exit(1).await?,
        "the planned stop failed"
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

/// P1 to P7: majority support renews permits while the store is down, and a lost answer to a write
/// must not be taken for a write that failed.
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
    // Requests that end over more than two permits show that support renews them.
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    // A node that ends while the store fails leaves targets without a gateway, and its replacement
    // needs writes.
    fixture.fleet.kill_node(2)?;
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.set_store_faults(&end).await?;
    fixture.fleet.restart_node(2)?;
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_for_requests(&load).await?;
    finish_and_check(fixture, load).await
}

/// The membership list only makes targets less usable, so a list that lags or is down changes nothing
/// about those that serve.
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
    // What the list cannot tell meanwhile, the node must observe itself.
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

/// Targets that misbehave: of each service the first replica, so that another one can serve.
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

/// P3: a target turns cold in place, which only its slower answers show.
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

/// P1 and P2: queries that run while versions change are answered from one of them, and their
/// coverage counts the shards of that one.
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
    let last = records.iter().rev().find_map(|record| {
        let answer = record.outcome.result.as_ref().ok()?;
        (record.query.index == SEARCH_INDEX.name).then_some(answer)
    });
    let seen = last.map(|answer| (answer.snapshot.0, answer.coverage.total));
    fixture.check_guarantees(records).await?;
    assert_eq!(seen, Some((2, shards)), "the new version is not answered");
    Ok(())
}

/// P8: a target that leaves gets no new work after 2 s.
///
/// The target's own status shows that it leaves, and so does the membership list. With a misleading
/// status only the list does; a trial without the list's state passed the other rows.
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
    // Load runs for longer than the promise, so that late work would show.
    let ended = load.elapsed() + LEAVE_LIMIT * 2;
    fixture
        .fleet
        .wait_until("load past the limit", async || load.elapsed() >= ended)
        .await?;
    fixture.wait_for_requests(&load).await?;
    let late = fixture.fleet.target_verdict().await?.arrived_after_drain;
    assert!(
        u128::from(late.latest_ms) <= LEAVE_LIMIT.as_millis(),
        "work arrived {} ms after the target began to leave",
        late.latest_ms
    );
    finish_and_check(fixture, load).await
}

/// The time after which a leaving target gets no new work (docs/design.md, P8).
const LEAVE_LIMIT: std::time::Duration = std::time::Duration::from_secs(2);
