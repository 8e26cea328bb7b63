//! Guards the client of the platform's store: what it sends, and what it says about failed calls.

mod operator;

use operator::{Fault, StoreStandin};
use redwinggrade::connection::settings;
use redwinggrade::connection::store::{Compare, Error, KeyValue, Outcome, Put, Range, Store};
use redwinggrade::process::record;
use redwinggrade::version::edit::{self, Edit};
use redwinggrade::version::log::{self, Change, Origin};
use redwinggrade::wire::exchange::Record;
use rstest::rstest;

async fn pair() -> (StoreStandin, Store) {
    let standin = StoreStandin::bind().await;
    let store = Store::open(vec![standin.address]);
    (standin, store)
}

#[tokio::test]
async fn transactions_compare_and_ranges_select() {
    let (_standin, store) = pair().await;
    let put = [Put::new("a/1", "one"), Put::new("a/2", "two")];
    let created = [Compare::unchanged("a/1", 0)];
    assert_eq!(
        store.txn(&created, &put).await,
        Ok(Outcome::Done { revision: 1 })
    );
    assert_eq!(store.txn(&created, &put).await, Ok(Outcome::Conflict));
    let swap = [Compare::unchanged("a/2", 1)];
    let put = [Put::new("a/2", "new")];
    assert_eq!(
        store.txn(&swap, &put).await,
        Ok(Outcome::Done { revision: 2 })
    );
    let ranges = [
        Range::key("a/1"),
        Range::prefix("a/").changed_since(2),
        Range::span("a/1", "a/2"),
        Range::prefix("a/").limit(1),
        Range::key("b"),
    ];
    let reading = store.ranges(&ranges).await.unwrap();
    let keys: Vec<Vec<String>> = reading
        .ranges
        .iter()
        .map(|found| found.iter().map(KeyValue::key).collect())
        .collect();
    assert_eq!(
        keys,
        [vec!["a/1"], vec!["a/2"], vec!["a/1"], vec!["a/1"], vec![]]
    );
    assert_eq!(reading.ranges[1][0].value(), "new");
    assert_eq!(reading.revision, 2);
}

/// Guards against a write that is repeated, or called "not sent", although it may have run.
#[rstest]
#[case(Fault::LoseAnswer, 1)]
#[case(Fault::LoseRequest, 0)]
#[tokio::test]
async fn a_lost_answer_to_a_write_is_unknown(#[case] fault: Fault, #[case] writes: usize) {
    let (standin, _) = pair().await;
    let store = Store::open(vec![standin.address; 3]);
    // A kept connection takes the same way as a new one.
    store.range(&Range::key("x")).await.unwrap();
    standin.fail(fault);
    let result = store.txn(&[], &[Put::new("x", "1")]).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert_eq!(standin.writes(), writes);
}

#[tokio::test]
async fn refusals_and_unreachable_addresses_are_told_apart() {
    let (standin, store) = pair().await;
    standin.fail(Fault::Refuse);
    let result = store.txn(&[], &[Put::new("x", "1")]).await;
    assert!(
        matches!(result, Err(Error::Refused { status: 429, .. })),
        "{result:?}"
    );
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let result = Store::open(vec![gone]).txn(&[], &[]).await;
    assert!(matches!(result, Err(Error::NotSent(_))), "{result:?}");
    let result = Store::open(Vec::new()).range(&Range::key("x")).await;
    assert!(matches!(result, Err(Error::NotSent(_))), "{result:?}");
    let second = Store::open(vec![gone, standin.address]);
    assert_eq!(
        second.txn(&[], &[Put::new("x", "1")]).await,
        Ok(Outcome::Done { revision: 1 })
    );
}

/// Guards against more than one call for a head read, and against missed or repeated records.
#[tokio::test]
async fn one_read_covers_the_head_and_the_changed_records() {
    let (standin, store) = pair().await;
    let record = Record {
        revision: 1,
        ..Record::default()
    };
    for cell in ["c1", "c2"] {
        let outcome = record::swap(&store, cell, 0, &record).await;
        assert!(matches!(outcome, Ok(Outcome::Done { .. })), "{outcome:?}");
    }
    assert_eq!(
        record::swap(&store, "c1", 0, &record).await,
        Ok(Outcome::Conflict)
    );
    let first = record::heads(&store, 0).await.unwrap();
    assert_eq!(first.records.len(), 2);
    let stored = record::read(&store, "c2").await.unwrap();
    assert_eq!(stored, first.records["c2"]);
    let newer = Record {
        revision: 2,
        ..Record::default()
    };
    record::swap(&store, "c2", stored.mod_revision, &newer)
        .await
        .unwrap();
    standin.keys.lock().unwrap().put("cells/c3", b"{".to_vec());
    let second = record::heads(&store, first.revision + 1).await.unwrap();
    assert_eq!(second.records.keys().collect::<Vec<_>>(), ["c2"]);
    assert_eq!(second.records["c2"].record, newer);
    assert_eq!(second.damaged[0].key, "cells/c3");
    assert_eq!(second.head, None);
    assert_eq!(record::read(&store, "c9").await.unwrap().mod_revision, 0);
}

/// Guards against versions that cannot be shown any more once newer snapshots exist.
#[tokio::test]
async fn every_version_can_be_read_across_snapshots() {
    let (standin, store) = pair().await;
    let mut trees = vec![
        settings::tree(&store, &settings::head(&store).await.unwrap(), 0)
            .await
            .unwrap(),
    ];
    for version in 1..=300 {
        let mark = settings::head(&store).await.unwrap();
        let old = trees.last().unwrap();
        let edit = Edit::set("defaults.queue", version);
        let new = edit::apply(old, &[edit]).unwrap();
        let change = Change::prepare(
            version - 1,
            mark.snapshot_version(),
            Some(old),
            &new,
            Origin::default(),
        );
        let written = settings::write(&store, &mark, &change).await.unwrap();
        assert_eq!(written, settings::Written::Stored);
        trees.push(new);
    }
    // A writer that lost its race may leave pieces without a head that names them.
    let orphan = log::encode(&log::split_snapshot(290, &trees[5])[0]);
    standin
        .keys
        .lock()
        .unwrap()
        .put(&log::chunk_key(290, 0), orphan.to_vec());
    let mark = settings::head(&store).await.unwrap();
    assert_eq!(mark.snapshot_version(), 256);
    for version in [1, 2, 255, 256, 257, 289, 290, 291, 300] {
        let tree = settings::tree(&store, &mark, version).await.unwrap();
        assert_eq!(tree, trees[version as usize], "version {version}");
    }
}
