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
const READS_PER_NODE: u64 = 10;
/// The most writes of one node in a second: two for each change of a cell's record, and retries after
/// another member was first.
const WRITES_PER_NODE: u64 = 10;

/// Part or all of a cell ends while the other cell serves, and starts again.
#[rstest]
#[case::two_of_three(Layout::CELL, &[1, 2])]
#[case::a_whole_cell(Layout::TWO_CELLS, &[0, 2, 4])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_end_and_start_again(
    #[case] layout: Layout,
    #[case] members: &[usize],
) -> anyhow::Result<()> {
    let mut it = Fixture::start(layout).await?;
    let load = it.load();
    it.meet(&load).await?;
    for member in members {
        it.fleet.kill(*member)?;
    }
    it.meet(&load).await?;
    it.meet(&load).await?;
    for member in members {
        it.fleet.restart(*member)?;
    }
    it.fleet.wait_members("dc1-0", 3).await?;
    it.fleet.wait_permits().await?;
    it.meet(&load).await?;
    it.wait_complete().await?;
    it.check(load.finish().await?).await?;
    Ok(())
}

/// All nodes start again at once: service returns, and the store's calls stay within its limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_start_again_at_once() -> anyhow::Result<()> {
    let mut it = Fixture::start(Layout::THREE_CELLS).await?;
    let load = it.load();
    it.meet(&load).await?;
    let mut records = load.finish().await?;
    let nodes = it.fleet.nodes.len();
    for node in 0..nodes {
        it.fleet.kill(node)?;
    }
    for node in 0..nodes {
        it.fleet.restart(node)?;
    }
    for cell in ["dc1-0", "dc2-0", "dc3-0"] {
        it.fleet.wait_members(cell, 3).await?;
    }
    it.fleet.wait_permits().await?;
    it.wait_complete().await?;
    let load = it.load();
    it.meet(&load).await?;
    records.extend(load.finish().await?);
    it.check(records).await?;
    let calls = it.fleet.store_calls().await?;
    let most = |field: &str| calls[field].as_u64().unwrap_or(u64::MAX);
    let count = nodes as u64;
    ensure!(
        most("highest_reads_per_second") <= count * READS_PER_NODE
            && most("highest_writes_per_second") <= count * WRITES_PER_NODE,
        "too many calls to the store: {calls}"
    );
    Ok(())
}

/// A node that starts while the store is down cannot prove anything: it gets no permit, coordinates
/// and dispatches nothing, and joins when the store is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_starts_while_the_store_is_down() -> anyhow::Result<()> {
    let mut it = Fixture::start(Layout::CELL).await?;
    let load = it.load();
    it.meet(&load).await?;
    it.fleet.store_faults(&json!({"down": true})).await?;
    it.fleet.kill(2)?;
    it.meet(&load).await?;
    it.fleet.restart(2)?;
    let until = load.ended() + 150;
    it.fleet
        .wait("requests beside the new node", async || {
            let status = it.fleet.status(2).await.unwrap_or_default();
            assert_ne!(status["permit"], json!(true), "a permit without proof");
            load.ended() >= until
        })
        .await?;
    // Idempotent requests carry their coordinator's name and run, so that the journal shows whether
    // the new run of the node coordinated any.
    let status = it.fleet.status(2).await?;
    let run = status["incarnation"].as_u64().unwrap_or_default();
    let ours = format!("node-3.{run:x}.");
    let coordinated = |journal: Vec<standins::target::JournalEntry>| {
        let mut entries = journal.into_iter();
        entries.any(|entry| entry.request.starts_with(&ours))
    };
    ensure!(
        !coordinated(it.fleet.journal().await?),
        "work without a permit"
    );
    it.fleet.store_faults(&json!({"down": false})).await?;
    it.fleet.wait_permit(2).await?;
    it.fleet.wait_members("dc1-0", 3).await?;
    it.fleet
        .wait("work of the new node", async || {
            let journal = it.fleet.journal().await.unwrap_or_default();
            coordinated(journal)
        })
        .await?;
    it.wait_complete().await?;
    it.check(load.finish().await?).await?;
    Ok(())
}

/// The frozen gateway of a target thaws after another one took the target over: the two never have
/// more work there than its slots, which slow work fills.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_thaws_after_it_was_replaced() -> anyhow::Result<()> {
    let mut it = Fixture::start(Layout::CELL).await?;
    for name in it.targets() {
        let command = json!({"name": name, "slow_factor": 8.0});
        it.fleet.target(&command).await?;
    }
    let load = it.load();
    it.meet(&load).await?;
    for _ in 0..2 {
        it.fleet.signal(1, Signal::Stop)?;
        it.fleet.wait_members("dc1-0", 2).await?;
        it.meet(&load).await?;
        it.fleet.signal(1, Signal::Continue)?;
        it.fleet.wait_members("dc1-0", 3).await?;
        it.fleet.wait_permits().await?;
    }
    it.wait_complete().await?;
    it.check(load.finish().await?).await?;
    Ok(())
}
