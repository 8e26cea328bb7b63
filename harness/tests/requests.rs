//! Requests under load while a part fails, and after it is back (P1, P2, P3, P5, P6, P7, P9).
//!
//! Every row fails if the journals show work that was doubled, mixed, untrue or wrong, a false "not
//! run", a cold target or a connection limit overrun, or more work at a target than its slots.

use redwinggrade_demo::fixture::{Fixture, Layout, SEARCH};
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
async fn a_node_fails_under_load(#[case] failure: Failure) -> anyhow::Result<()> {
    let mut it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.meet(&load).await?;
    match failure {
        Failure::Killed => it.fleet.kill(1)?,
        Failure::Frozen => {
            it.fleet.signal(1, Signal::Stop)?;
            // The other nodes hand the frozen node's targets on, which proves that it is past its
            // permit.
            it.fleet.wait_members("dc1-0", 2).await?;
        }
    }
    it.meet(&load).await?;
    match failure {
        Failure::Killed => it.fleet.restart(1)?,
        Failure::Frozen => it.fleet.signal(1, Signal::Continue)?,
    }
    it.fleet.wait_members("dc1-0", 3).await?;
    it.fleet.wait_permits().await?;
    it.meet(&load).await?;
    finish(it, load).await
}

/// P9: a planned stop cuts nothing, so every request sent meanwhile is answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_no_request() -> anyhow::Result<()> {
    let mut it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.meet(&load).await?;
    it.fleet.signal(1, Signal::Terminate)?;
    anyhow::ensure!(it.fleet.wait_end(1).await?, "the planned stop failed");
    it.meet(&load).await?;
    let records = load.finish().await?;
    let verdict = it.check(records).await?;
    anyhow::ensure!(
        verdict.answered == verdict.queries,
        "not every request was answered: {verdict:#?}"
    );
    Ok(())
}

async fn finish(mut it: Fixture, load: Load) -> anyhow::Result<()> {
    it.wait_complete().await?;
    let records = load.finish().await?;
    it.check(records).await?;
    Ok(())
}

/// P1 to P7: majority support renews permits while the store is down, and a lost answer to a write
/// must not be taken for a write that failed.
#[rstest]
#[case::down(json!({"down": true}), json!({"down": false}))]
#[case::slow(json!({"delay_ms": 2_000}), json!({"delay_ms": 0}))]
#[case::answers_lost(json!({"lose_answers": 3}), json!({"lose_answers": 0}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_store_fails_under_load(#[case] fault: Json, #[case] end: Json) -> anyhow::Result<()> {
    let mut it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.fleet.store_faults(&fault).await?;
    // Requests that end over more than two permits show that support renews them.
    it.meet(&load).await?;
    it.meet(&load).await?;
    it.meet(&load).await?;
    // A node that ends while the store fails leaves targets without a gateway, and its replacement
    // needs writes.
    it.fleet.kill(2)?;
    it.meet(&load).await?;
    it.fleet.store_faults(&end).await?;
    it.fleet.restart(2)?;
    it.fleet.wait_permits().await?;
    it.meet(&load).await?;
    finish(it, load).await
}

/// The membership list only makes targets less usable, so a list that lags or is down changes nothing
/// about those that serve.
#[rstest]
#[case::lags(json!({"lag_ms": 60_000}), json!({"lag_ms": 0}))]
#[case::down(json!({"down": true}), json!({"down": false}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_membership_list_fails_under_load(
    #[case] fault: Json,
    #[case] end: Json,
) -> anyhow::Result<()> {
    let it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.fleet.members_faults(&fault).await?;
    it.meet(&load).await?;
    // What the list cannot tell meanwhile, the node must observe itself.
    it.fleet
        .target(&json!({"name": "search-s00-0", "drain": true}))
        .await?;
    it.fleet
        .target(&json!({"name": "search-s01-0", "restart": true}))
        .await?;
    it.meet(&load).await?;
    it.fleet.members_faults(&end).await?;
    it.fleet
        .target(&json!({"name": "search-s00-0", "restore": true}))
        .await?;
    it.meet(&load).await?;
    finish(it, load).await
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
async fn targets_fail_under_load(#[case] fault: Json) -> anyhow::Result<()> {
    let it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.meet(&load).await?;
    let names: Vec<String> = it
        .targets()
        .into_iter()
        .filter(|name| name.ends_with("-0"))
        .collect();
    for name in &names {
        let mut command = fault.clone();
        command["name"] = json!(name);
        it.fleet.target(&command).await?;
    }
    it.meet(&load).await?;
    it.meet(&load).await?;
    for name in &names {
        let command = json!({"name": name, "restore": true});
        it.fleet.target(&command).await?;
    }
    it.meet(&load).await?;
    finish(it, load).await
}

/// P3: a target turns cold in place, which only its slower answers show.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_turn_cold_in_place_under_load() -> anyhow::Result<()> {
    let layout = Layout {
        cold_factor: 10.0,
        ..Layout::CELL
    };
    let it = Fixture::start(layout).await?;
    let load = it.load();
    it.meet(&load).await?;
    for name in it.targets().iter().filter(|name| name.ends_with("-0")) {
        let command = json!({"name": name, "cold": true});
        it.fleet.target(&command).await?;
    }
    it.meet(&load).await?;
    it.meet(&load).await?;
    finish(it, load).await
}

/// P1 and P2: queries that run while versions change are answered from one of them, and their
/// coverage counts the shards of that one.
#[rstest]
#[case::rolling(SEARCH.services)]
#[case::repartition(SEARCH.services + 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_rolls_under_load(#[case] shards: u32) -> anyhow::Result<()> {
    let mut it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.meet(&load).await?;
    it.roll(&load, 2, shards).await?;
    it.meet(&load).await?;
    it.wait_complete().await?;
    let records = load.finish().await?;
    let last = records.iter().rev().find_map(|record| {
        let answer = record.outcome.result.as_ref().ok()?;
        (record.query.index == SEARCH.name).then_some(answer)
    });
    let seen = last.map(|answer| (answer.snapshot.0, answer.coverage.total));
    it.check(records).await?;
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
async fn a_leaving_target_gets_no_work(#[case] fault: Json) -> anyhow::Result<()> {
    let it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.meet(&load).await?;
    let mut command = fault;
    command["name"] = json!("search-s00-0");
    it.fleet.target(&command).await?;
    // Load runs for longer than the promise, so that late work would show.
    let ended = load.elapsed() + LEAVE_LIMIT * 2;
    it.fleet
        .wait("load past the limit", async || load.elapsed() >= ended)
        .await?;
    it.meet(&load).await?;
    let late = it.fleet.verdict().await?.arrived_after_drain;
    assert!(
        u128::from(late.latest_ms) <= LEAVE_LIMIT.as_millis(),
        "work arrived {} ms after the target began to leave",
        late.latest_ms
    );
    finish(it, load).await
}

/// The time after which a leaving target gets no new work (docs/design.md, P8).
const LEAVE_LIMIT: std::time::Duration = std::time::Duration::from_secs(2);
