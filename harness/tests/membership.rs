//! Cell members that are killed and restarted together, and nodes that start while the store is down.
//!
//! In every test the targets' journal must show no more concurrent requests at a target than its slots,
//! because two gateways of one target would each fill all slots.

use anyhow::ensure;
use redwinggrade_demo::fixture::{Fixture, Layout};
use rstest::rstest;
use serde_json::json;
use standins::process::Signal;

/// The limit of store reads per node: regular reads of the settings head, and the reads of a starting node.
const MAX_READS_PER_NODE_PER_SECOND: u64 = 10;
/// The limit of store writes per node: two for each change of a cell record, and retries after another
/// member has changed the record first.
const MAX_WRITES_PER_NODE_PER_SECOND: u64 = 10;

/// Guards against lost requests and double ownership when two of three members, or all members of a cell
/// while another cell serves, are killed and restarted.
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

/// Guards against an overload of the store when all nodes are killed and restarted at once; queries must be
/// answered completely again.
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
    let highest = |field: &str| calls[field].as_u64().unwrap_or(u64::MAX);
    let count = nodes as u64;
    ensure!(
        highest("highest_reads_per_second") <= count * MAX_READS_PER_NODE_PER_SECOND
            && highest("highest_writes_per_second") <= count * MAX_WRITES_PER_NODE_PER_SECOND,
        "calls to the store exceed the limit per second: {calls}"
    );
    Ok(())
}

/// Guards against work by a node that cannot read the store: a node that starts while the store is down must
/// get no permit and coordinate no request, and must join its cell when the store is back.
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
    let required = load.ended_requests() + 150;
    fixture
        .fleet
        .wait_until(
            "requests while the restarted node has no permit",
            async || {
                let status = fixture.fleet.node_status(2).await.unwrap_or_default();
                assert_ne!(
                    status["permit"],
                    json!(true),
                    "the node holds a permit although it has not read the store"
                );
                load.ended_requests() >= required
            },
        )
        .await?;
    // The id of an idempotent request contains its coordinator's name and incarnation, so the journal shows
    // whether the restarted node has coordinated any.
    let status = fixture.fleet.node_status(2).await?;
    let incarnation = status["incarnation"].as_u64().unwrap_or_default();
    let id_prefix = format!("node-3.{incarnation:x}.");
    let coordinated = |journal: Vec<standins::target::JournalEntry>| {
        let mut entries = journal.into_iter();
        entries.any(|entry| entry.request.starts_with(&id_prefix))
    };
    ensure!(
        !coordinated(fixture.fleet.target_journal().await?),
        "the node coordinated a request without a permit"
    );
    fixture
        .fleet
        .set_store_faults(&json!({"down": false}))
        .await?;
    fixture.fleet.wait_for_permit(2).await?;
    fixture.fleet.wait_for_members("dc1-0", 3).await?;
    fixture
        .fleet
        .wait_until(
            "a request that the restarted node coordinates",
            async || {
                let journal = fixture.fleet.target_journal().await.unwrap_or_default();
                coordinated(journal)
            },
        )
        .await?;
    fixture.wait_until_complete().await?;
    fixture.check_guarantees(load.finish().await?).await?;
    Ok(())
}

/// Guards against two gateways of one target: a gateway is frozen, replaced and resumed, while slow requests
/// fill the slots. Old and new gateway together must not exceed the slots.
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
