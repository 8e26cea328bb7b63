//! Tests the client of the platform's store: its requests, the errors of failed calls, and the reading
//! of settings and cell records with it.

mod operator;

use operator::{Fault, StoreStandin};
use redwinggrade::connection::settings;
use redwinggrade::connection::store::{Compare, Error, KeyValue, Outcome, Put, Range, Store};
use redwinggrade::process::record;
use redwinggrade::version::edit::{self, Edit};
use redwinggrade::version::log::{self, Change, Origin};
use redwinggrade::wire::exchange::Record;
use rstest::rstest;

async fn standin_and_client() -> (StoreStandin, Store) {
    let standin = StoreStandin::bind().await;
    let store = Store::open(vec![standin.address]);
    (standin, store)
}

#[tokio::test]
async fn transactions_check_revisions_and_ranges_select_keys() {
    let (_standin, store) = standin_and_client().await;
    let put = [Put::new("a/1", "one"), Put::new("a/2", "two")];
    let created = [Compare::unchanged("a/1", 0)];
    assert_eq!(
        store.txn(&created, &put).await,
        Ok(Outcome::Committed { revision: 1 })
    );
    assert_eq!(store.txn(&created, &put).await, Ok(Outcome::Conflict));
    let swap = [Compare::unchanged("a/2", 1)];
    let put = [Put::new("a/2", "new")];
    assert_eq!(
        store.txn(&swap, &put).await,
        Ok(Outcome::Committed { revision: 2 })
    );
    let ranges = [
        Range::key("a/1"),
        Range::prefix("a/").changed_since(2),
        Range::span("a/1", "a/2"),
        Range::prefix("a/").limit(1),
        Range::key("b"),
    ];
    let result = store.ranges(&ranges).await.unwrap();
    let keys: Vec<Vec<String>> = result
        .ranges
        .iter()
        .map(|found| found.iter().map(KeyValue::key).collect())
        .collect();
    assert_eq!(
        keys,
        [vec!["a/1"], vec!["a/2"], vec!["a/1"], vec!["a/1"], vec![]]
    );
    assert_eq!(result.ranges[1][0].value(), "new");
    assert_eq!(result.revision, 2);
}

/// Guards against a write that is sent again, or reported as not sent, although the store may have run
/// it: the connection fails after the request was sent, before or after the store applies the write.
#[rstest]
#[case(Fault::LoseAnswer, 1)]
#[case(Fault::LoseRequest, 0)]
#[tokio::test]
async fn reports_write_with_lost_answer_as_unknown(#[case] fault: Fault, #[case] writes: usize) {
    let (standin, _) = standin_and_client().await;
    let store = Store::open(vec![standin.address; 3]);
    // Opens a connection, so that the write below goes over a reused one.
    store.range(&Range::key("x")).await.unwrap();
    standin.inject_fault(fault);
    let result = store.txn(&[], &[Put::new("x", "1")]).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert_eq!(standin.writes(), writes);
}

#[tokio::test]
async fn distinguishes_refusals_from_unreachable_addresses() {
    let (standin, store) = standin_and_client().await;
    standin.inject_fault(Fault::Refuse);
    let result = store.txn(&[], &[Put::new("x", "1")]).await;
    assert!(
        matches!(result, Err(Error::Refused { status: 429, .. })),
        "{result:?}"
    );
    let unreachable = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let result = Store::open(vec![unreachable]).txn(&[], &[]).await;
    assert!(matches!(result, Err(Error::NotSent(_))), "{result:?}");
    let result = Store::open(Vec::new()).range(&Range::key("x")).await;
    assert!(matches!(result, Err(Error::NotSent(_))), "{result:?}");
    let second = Store::open(vec![unreachable, standin.address]);
    assert_eq!(
        second.txn(&[], &[Put::new("x", "1")]).await,
        Ok(Outcome::Committed { revision: 1 })
    );
}

/// Guards against a read of the head that misses changed cell records or returns unchanged ones again,
/// and against a damaged record that fails the read of the others.
#[tokio::test]
async fn reads_head_and_changed_cell_records_together() {
    let (standin, store) = standin_and_client().await;
    let record = Record {
        revision: 1,
        ..Record::default()
    };
    for cell in ["c1", "c2"] {
        let outcome = record::compare_and_swap(&store, cell, 0, &record).await;
        assert!(
            matches!(outcome, Ok(Outcome::Committed { .. })),
            "{outcome:?}"
        );
    }
    assert_eq!(
        record::compare_and_swap(&store, "c1", 0, &record).await,
        Ok(Outcome::Conflict)
    );
    let first = record::read_changes(&store, 0).await.unwrap();
    assert_eq!(first.records.len(), 2);
    let stored = record::read(&store, "c2").await.unwrap();
    assert_eq!(stored, first.records["c2"]);
    let newer = Record {
        revision: 2,
        ..Record::default()
    };
    record::compare_and_swap(&store, "c2", stored.mod_revision, &newer)
        .await
        .unwrap();
    standin.data.lock().unwrap().put("cells/c3", b"{".to_vec());
    let second = record::read_changes(&store, first.revision + 1)
        .await
        .unwrap();
    assert_eq!(second.records.keys().collect::<Vec<_>>(), ["c2"]);
    assert_eq!(second.records["c2"].record, newer);
    assert_eq!(second.damaged[0].key, "cells/c3");
    assert_eq!(second.settings_head, None);
    assert_eq!(record::read(&store, "c9").await.unwrap().mod_revision, 0);
}

/// Guards against versions that cannot be read once newer snapshots exist, and against chunks without
/// a head that break the reading of a version.
#[tokio::test]
async fn reads_every_version_across_snapshots() {
    let (standin, store) = standin_and_client().await;
    let mut trees = vec![
        settings::read_tree(&store, &settings::read_head(&store).await.unwrap(), 0)
            .await
            .unwrap(),
    ];
    for version in 1..=300 {
        let head = settings::read_head(&store).await.unwrap();
        let old = trees.last().unwrap();
        let edit = Edit::set("defaults.queue", version);
        let new = edit::apply(old, &[edit]).unwrap();
        let change = Change::prepare(
            version - 1,
            head.snapshot_version(),
            Some(old),
            &new,
            Origin::default(),
        );
        let written = settings::write_change(&store, &head, &change)
            .await
            .unwrap();
        assert_eq!(written, settings::WriteOutcome::Stored);
        trees.push(new);
    }
    // A writer whose transaction conflicted may leave chunks that no head names.
    let orphan = log::encode(&log::split_snapshot(290, &trees[5])[0]);
    standin
        .data
        .lock()
        .unwrap()
        .put(&log::chunk_key(290, 0), orphan.to_vec());
    let head = settings::read_head(&store).await.unwrap();
    assert_eq!(head.snapshot_version(), 256);
    for version in [1, 2, 255, 256, 257, 289, 290, 291, 300] {
        let tree = settings::read_tree(&store, &head, version).await.unwrap();
        assert_eq!(tree, trees[version as usize], "version {version}");
    }
}
