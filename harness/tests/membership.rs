//! Members of cells that end and start together, and nodes that start without a store.
//!
//! In every row the journal must show no more work at a target than its slots, because two gateways of
//! one target would each fill them.

use anyhow::ensure;
use redwinggrade_demo::fixture::{Fixture, Layout};
use rstest::rstest;
use serde_json::json;
use standins::process::Signal;

/// The most reads of one node in a second: its head reads, and those for its start.
const MAX_READS_PER_NODE_PER_SECOND: u64 = 10;
/// The most writes of one node in a second: two for each change of a cell's record, and retries after
/// another member was first.
const MAX_WRITES_PER_NODE_PER_SECOND: u64 = 10;

/// Part or all of a cell ends while the other cell serves, and starts again.
#[rstest]
#[case::two_of_three(Layout::ONE_CELL, &[1, 2])]
#[case::a_whole_cell(Layout::TWO_CELLS, &[0, 2, 4])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_cell_members_rejoin_after_restart(
    #[case] layout: Layout,
    #[case] members: &[usize],
) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(layout).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    for member in members {
        fixture.fleet.kill_node(*member)?;
    }
    fixture.wait_for_requests(&load).await?;
    fixture.wait_for_requests(&load).await?;
    for member in members {
        fixture.fleet.restart_node(*member)?;
    }
    fixture.fleet.wait_for_members("dc1-0", 3).await?;
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_for_requests(&load).await?;
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// All nodes start again at once: service returns, and the store's calls stay within its limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_of_all_nodes_stays_within_store_limits() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::THREE_CELLS).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    let mut records = load.finish().await?;
    let nodes = fixture.fleet.nodes.len();
    for node in 0..nodes {
        fixture.fleet.kill_node(node)?;
    }
    for node in 0..nodes {
        fixture.fleet.restart_node(node)?;
    }
    for cell in ["dc1-0", "dc2-0", "dc3-0"] {
        fixture.fleet.wait_for_members(cell, 3).await?;
    }
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_until_complete().await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    records.extend(load.finish().await?);
    fixture.check_guarantees(records).await?;
    let calls = fixture.fleet.store_call_counts().await?;
    let most = |field: &str| calls[field].as_u64().unwrap_or(u64::MAX);
    let count = nodes as u64;
    ensure!(
        most("highest_reads_per_second") <= count * MAX_READS_PER_NODE_PER_SECOND
            && most("highest_writes_per_second") <= count * MAX_WRITES_PER_NODE_PER_SECOND,
        "too many calls to the store: {calls}"
    );
    Ok(())
}

/// A node that starts while the store is down cannot prove anything: it gets no permit, coordinates
/// and dispatches nothing, and joins when the store is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_started_without_store_gets_no_permit() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    fixture
        .fleet
        .set_store_faults(&json!({"down": true}))
        .await?;
    fixture.fleet.kill_node(2)?;
    fixture.wait_for_requests(&load).await?;
    fixture.fleet.restart_node(2)?;
    let until = load.ended_requests() + 150;
    fixture
        .fleet
        .wait_until("requests beside the new node", async || {
            let status = fixture.fleet.node_status(2).await.unwrap_or_default();
            assert_ne!(status["permit"], json!(true), "a permit without proof");
            load.ended_requests() >= until
        })
        .await?;
    // Idempotent requests carry their coordinator's name and run, so that the journal shows whether
    // the new run of the node coordinated any.
    let status = fixture.fleet.node_status(2).await?;
    let run = status["incarnation"].as_u64().unwrap_or_default();
    let ours = format!("node-3.{run:x}.");
    let coordinated = |journal: Vec<standins::target::Entry>| {
        let mut entries = journal.into_iter();
        entries.any(|entry| entry.request.starts_with(&ours))
    };
    ensure!(
        !coordinated(fixture.fleet.target_journal().await?),
        "work without a permit"
    );
    fixture
        .fleet
        .set_store_faults(&json!({"down": false}))
        .await?;
    fixture.fleet.wait_for_permit(2).await?;
    fixture.fleet.wait_for_members("dc1-0", 3).await?;
    fixture
        .fleet
        .wait_until("work of the new node", async || {
            let journal = fixture.fleet.target_journal().await.unwrap_or_default();
            coordinated(journal)
        })
        .await?;
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// The frozen gateway of a target thaws after another one took the target over: the two never have
/// more work there than its slots, which slow work fills.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_gateway_does_not_exceed_slots_after_takeover() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Layout::ONE_CELL).await?;
    for name in fixture.target_names() {
        let command = json!({"name": name, "slow_factor": 8.0});
        fixture.fleet.command_targets(&command).await?;
    }
    let load = fixture.start_load();
    fixture.wait_for_requests(&load).await?;
    for _ in 0..2 {
        fixture.fleet.signal_node(1, Signal::Stop)?;
        fixture.fleet.wait_for_members("dc1-0", 2).await?;
        fixture.wait_for_requests(&load).await?;
        fixture.fleet.signal_node(1, Signal::Continue)?;
        fixture.fleet.wait_for_members("dc1-0", 3).await?;
        fixture.fleet.wait_for_permits().await?;
    }
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}
