//! Tests of the operators' client: each command makes at most one change, exit codes state the outcome, and
//! nothing is written twice.

mod operator;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use operator::{Fault, LAYERED_SETTINGS, Workdir};
use redwinggrade::connection::settings;
use redwinggrade::connection::store::Store;
use redwinggrade::version::edit::{self, Edit};
use redwinggrade::version::log::{self, Change, Entry, Origin};
use rstest::rstest;
use serde_json::{Value as Json, json};

/// Returns the keys and values that a change by another operator to the newest version would write.
async fn prepare_concurrent_change(
    workdir: &Workdir,
    path: &str,
    value: Json,
) -> BTreeMap<String, Vec<u8>> {
    let store = Store::open(vec![workdir.store.address]);
    let stored_head = settings::read_head(&store).await.unwrap();
    let old = settings::read_tree(&store, &stored_head, stored_head.version())
        .await
        .unwrap();
    let path = path.to_owned();
    let new = edit::apply(&old, &[Edit::set(path, value)]).unwrap();
    let origin = Origin {
        operation: format!("{}-00000000000000aa", stored_head.version()),
        ..Origin::default()
    };
    let change = Change::prepare(stored_head.version(), 1, Some(&old), &new, origin);
    let entry = (
        log::entry_key(change.entry.version),
        log::encode(&change.entry),
    );
    let head = (log::HEAD_KEY.to_owned(), log::encode(&change.head));
    [entry, head]
        .map(|(key, value)| (key, value.to_vec()))
        .into()
}

/// Returns the operation ids in the store's settings log, by version.
fn logged_operations(workdir: &Workdir) -> Vec<String> {
    let data = workdir.store.data.lock().unwrap();
    let log = data
        .values
        .iter()
        .filter(|(key, _)| key.starts_with(log::LOG_PREFIX));
    log.map(|(key, (value, _))| log::decode::<Entry>(key, value).unwrap().operation)
        .collect()
}

/// Guards against a `show` that loses or changes settings, so that applying its output again has an effect.
#[tokio::test]
async fn shown_settings_can_be_edited_and_applied_again() {
    let workdir = Workdir::open().await;
    let file = workdir.write_file("levels.yaml", LAYERED_SETTINGS);
    let first = workdir.run(&["apply", &file]).await;
    assert_eq!(first.exit_code, 0, "{first:?}");
    assert!(
        first.stdout.starts_with("accepted: version 1 "),
        "{}",
        first.stdout
    );

    let shown = workdir.run(&["show"]).await.stdout;
    assert!(
        shown.starts_with("# redwinggrade settings, version 1\n"),
        "{shown}"
    );
    let unedited = workdir.write_file("same.yaml", &shown);
    let unchanged = workdir.run(&["apply", &unedited]).await;
    assert!(unchanged.stdout.starts_with("no change"), "{unchanged:?}");

    let edited = workdir.write_file("edited.yaml", &shown.replace("queue: 10", "queue: 12"));
    let diff = workdir.run(&["diff", &edited]).await;
    assert!(
        diff.stdout.contains("~ defaults.queue = 12 (was 10)"),
        "{}",
        diff.stdout
    );
    assert_eq!(workdir.run(&["apply", &edited]).await.exit_code, 0);
    let explained = workdir
        .run(&["explain", "indexes.viewing.services.s01.queue"])
        .await;
    assert!(
        explained
            .stdout
            .contains("queue = 12, set by defaults (version 2)"),
        "{explained:?}"
    );
    assert!(
        explained.stdout.contains("overrides 64 of built-in"),
        "{explained:?}"
    );
    assert_eq!(workdir.run(&["show", "--at", "1"]).await.stdout, shown);
    assert_eq!(workdir.run(&["show", "--at", "9"]).await.exit_code, 1);
}

/// Guards against a file that silently reverts changes that were made after `show` printed it.
#[tokio::test]
async fn refuses_file_made_from_older_version() {
    let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    let shown = workdir.run(&["show"]).await.stdout;
    assert_eq!(
        workdir.run(&["data-centre", "out", "dc1"]).await.exit_code,
        0
    );
    let writes = workdir.store.writes();
    let stale = workdir.write_file("stale.yaml", &shown.replace("queue: 10", "queue: 12"));
    let run = workdir.run(&["apply", &stale]).await;
    assert_eq!(run.exit_code, 4, "{run:?}");
    assert!(run.stderr.contains("hint: "), "{run:?}");
    let without_version = workdir.write_file("nameless.yaml", LAYERED_SETTINGS);
    let run = workdir.run(&["apply", &without_version]).await;
    assert_eq!(run.exit_code, 2, "{run:?}");
    assert!(run.stderr.contains("--base 2"), "{run:?}");
    assert_eq!(workdir.store.writes(), writes);
}

/// Guards against a lost update: another operator's write reaches the store between the read of the newest
/// version and the write that is based on it.
#[tokio::test]
async fn conflict_refuses_file_but_repeats_single_edit() {
    let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    let shown = workdir.run(&["show"]).await.stdout;
    let concurrent_write = prepare_concurrent_change(&workdir, "defaults.slots", 9.into()).await;
    workdir.store.data.lock().unwrap().concurrent_write = Some(concurrent_write);
    let file = workdir.write_file("mine.yaml", &shown.replace("queue: 10", "queue: 12"));
    let run = workdir.run(&["apply", &file]).await;
    assert_eq!(run.exit_code, 4, "{run:?}");
    assert_eq!(logged_operations(&workdir)[1], "1-00000000000000aa");

    // An edit of a single value does not depend on the base version, so that it is repeated on the newest.
    let concurrent_write = prepare_concurrent_change(&workdir, "defaults.slots", 8.into()).await;
    workdir.store.data.lock().unwrap().concurrent_write = Some(concurrent_write);
    let run = workdir.run(&["data-centre", "out", "dc1"]).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    let shown = workdir.run(&["show"]).await.stdout;
    assert!(
        shown.contains("slots: 8") && shown.contains("version 4"),
        "{shown}"
    );
    let state = workdir.run(&["explain", "data_centres.dc1.state"]).await;
    assert!(state.stdout.contains("state = out"), "{state:?}");
}

/// Guards against a second write of a change: the store receives a write, or never does, and its answer does
/// not reach the client. The client must read the outcome from the log instead of writing again.
#[tokio::test]
async fn outcome_of_unanswered_write_is_read_from_log() {
    let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    workdir.store.inject_fault(Fault::LoseAnswer);
    let run = workdir.run(&["instance", "out", "node-7"]).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    assert_eq!(logged_operations(&workdir).len(), 2);

    workdir.store.inject_fault(Fault::LoseRequest);
    let run = workdir
        .run(&["instance", "out", "node-8", "--timeout", "0"])
        .await;
    assert_eq!(run.exit_code, 5, "{run:?}");
    assert_eq!(logged_operations(&workdir).len(), 2);
    // The operation id is printed before the write, for the case that the client is stopped.
    let operation = run.stderr.split("operation ").nth(1).unwrap();
    let operation = operation.split(' ').next().unwrap();
    assert_eq!(
        workdir
            .run(&["history", "--operation", operation])
            .await
            .exit_code,
        5
    );
    assert_eq!(
        workdir.run(&["instance", "out", "node-9"]).await.exit_code,
        0
    );
    let run = workdir.run(&["history", "--operation", operation]).await;
    assert_eq!(run.exit_code, 4, "{run:?}");
    assert!(run.stderr.contains("never will"), "{run:?}");
    let newest = logged_operations(&workdir).pop().unwrap();
    assert_eq!(
        workdir
            .run(&["history", "--operation", &newest])
            .await
            .exit_code,
        0
    );
    let history = workdir.run(&["history", "--limit", "2"]).await.stdout;
    assert!(
        history.starts_with("version 3 ") && history.contains("author tester"),
        "{history}"
    );
}

/// Guards against an "unknown" outcome although the store certainly did not write, because it refused the
/// request or could not be reached.
#[tokio::test]
async fn reports_nothing_changed_if_store_did_not_write() {
    let mut workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    workdir.store.inject_fault(Fault::Refuse);
    let run = workdir.run(&["instance", "out", "node-7"]).await;
    assert_eq!(run.exit_code, 1, "{run:?}");
    assert!(
        run.stderr.contains("429") && run.stderr.contains("nothing was changed"),
        "{run:?}"
    );
    assert_eq!(logged_operations(&workdir).len(), 1);
    // The listener is dropped here, so that connections to its port are refused.
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    workdir.store.address = unused_address;
    let run = workdir.run(&["instance", "out", "node-7"]).await;
    assert_eq!(run.exit_code, 1, "{run:?}");
    assert!(run.stderr.contains("cannot be reached"), "{run:?}");
}

/// Returns an encoded cell record with these members.
fn cell_record(names: &[&str]) -> Vec<u8> {
    let member = |name: &&str| json!({"name": name, "incarnation": 1, "peer": "127.0.0.1:1", "caller": "127.0.0.1:2"});
    let members: Vec<Json> = names.iter().map(member).collect();
    json!({"revision": 1, "members": members, "ballot": null})
        .to_string()
        .into()
}

/// Guards against "accepted" while a cell that the settings or the store name has not confirmed the change,
/// for example because one of its members has an older version.
#[tokio::test]
async fn reports_acceptance_only_after_every_cell_confirmed() {
    let mut workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    for cell in ["dc1-0", "left-behind"] {
        let names = [format!("{cell}-a"), format!("{cell}-b")];
        let names = [names[0].as_str(), names[1].as_str()];
        workdir
            .store
            .data
            .lock()
            .unwrap()
            .put(&log::cell_key(cell), cell_record(&names));
    }
    let run = workdir
        .run(&["instance", "out", "n", "--timeout", "0", "--json"])
        .await;
    assert_eq!(run.exit_code, 3, "{run:?}");
    let report: Json = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(report["outcome"], "unconfirmed");
    assert_eq!(report["unconfirmed"][0]["cell"], "dc1-0");
    assert_eq!(report["unconfirmed"][1]["cell"], "left-behind");

    let status = |cell: &str, version: u64, seen: u64| {
        json!({
            "node": format!("{cell}-a"), "data_centre": "dc1", "cell": cell, "incarnation": 1,
            "settings_version": version, "permit": true,
            "record": {"revision": 1, "age_ms": 5000, "members": [
                {"name": format!("{cell}-a")}, {"name": format!("{cell}-b")},
            ]},
            "seen": [{"name": format!("{cell}-b"), "settings": seen, "cell": 1, "age_ms": 5}],
        })
    };
    let dc1_status = Arc::new(Mutex::new(status("dc1-0", 2, 2)));
    let left_behind_status = Arc::new(Mutex::new(status("left-behind", 2, 1)));
    for status in [&dc1_status, &left_behind_status] {
        workdir
            .node_addresses
            .push(operator::serve_status(Arc::clone(status)).await);
    }
    let operation = report["operation"].as_str().unwrap();
    let history_command = ["history", "--operation", operation, "--timeout", "0"];
    let run = workdir.run(&history_command).await;
    assert_eq!(run.exit_code, 3, "{run:?}");
    assert!(
        run.stdout.contains("not yet confirmed at left-behind\n"),
        "{}",
        run.stdout
    );
    assert!(
        run.stdout.contains("missing: left-behind-b"),
        "{}",
        run.stdout
    );
    assert_eq!(workdir.run(&["status"]).await.exit_code, 0);
    *left_behind_status.lock().unwrap() = status("left-behind", 2, 2);
    let run = workdir.run(&history_command).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    *left_behind_status.lock().unwrap() = status("left-behind", 1, 1);
    assert_eq!(workdir.run(&["status"]).await.exit_code, 3);
}

/// Guards against a state change that does not reach the settings, or that declares an unknown data centre.
#[tokio::test]
async fn takes_data_centres_and_instances_out_and_back_in() {
    let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    for (direction, state) in [("out", "out"), ("in", "in")] {
        assert_eq!(
            workdir
                .run(&["data-centre", direction, "dc1"])
                .await
                .exit_code,
            0
        );
        let found = workdir
            .run(&["explain", "data_centres.dc1.state"])
            .await
            .stdout;
        assert!(found.contains(&format!("state = {state}")), "{found}");
        assert_eq!(
            workdir.run(&["instance", direction, "t-1"]).await.exit_code,
            0
        );
        let found = workdir
            .run(&["explain", "instances.t-1.state"])
            .await
            .stdout;
        assert!(found.contains(&format!("state = {state}")), "{found}");
    }
    let run = workdir.run(&["data-centre", "out", "dc9"]).await;
    assert_eq!(run.exit_code, 1);
    assert!(
        run.stderr
            .contains("hint: the data centres are: dc1, dc2, dc3"),
        "{run:?}"
    );
    assert_eq!(workdir.run(&["instance", "out", "a.b"]).await.exit_code, 2);
}

/// Guards against damage to a stored head, log entry or snapshot that commands do not report, or that
/// `apply --rewrite` cannot repair.
#[rstest]
#[case::truncated(|value: &mut Vec<u8>| value.truncate(value.len() / 2))]
#[case::edited(|value: &mut Vec<u8>| *value = String::from_utf8(value.clone()).unwrap().replace(":1", ":2").into())]
#[tokio::test]
async fn damaged_settings_are_reported_and_repaired_by_rewrite(#[case] change: fn(&mut Vec<u8>)) {
    for key in [
        log::HEAD_KEY.to_owned(),
        log::entry_key(1),
        log::chunk_key(1, 0),
    ] {
        let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
        workdir.store.damage(&key, change);
        let run = workdir.run(&["show"]).await;
        assert_eq!(run.exit_code, 1, "{run:?}");
        assert!(
            run.stderr.contains("is damaged") && run.stderr.contains("--rewrite"),
            "{run:?}"
        );
        let file = workdir.write_file("good.yaml", LAYERED_SETTINGS);
        let run = workdir
            .run(&["apply", &file, "--base", "1", "--rewrite"])
            .await;
        assert_eq!(run.exit_code, 0, "{run:?}");
        assert_eq!(workdir.run(&["show"]).await.exit_code, 0);
    }
}

/// Guards against a command that accepts invalid input, or refuses it without a usable reason.
#[rstest]
#[case(&["check", "FILE"], 1, "bad.yaml:2: defaults.slots: expects a whole number")]
#[case(&["apply", "FILE"], 1, "bad.yaml:2: defaults.slots: expects a whole number")]
#[case(&["check", "/no/such/file"], 1, "No such file")]
#[case(&["explain", "defaults.nothing"], 1, "unknown key")]
#[case(&["history", "--operation", "nonsense"], 2, "not an operation id")]
#[case(&["history", "--operation", "0-0123456789abcdef,"], 2, "not an operation id")]
#[case(&["apply", "FILE", "--rewrite"], 2, "--base")]
#[case(&["unknown"], 2, "unrecognized subcommand")]
#[tokio::test]
async fn rejects_invalid_input_without_writing(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] reason: &str,
) {
    let workdir = Workdir::open().await;
    let file = workdir.write_file("bad.yaml", "defaults:\n  slots: 0\n");
    let arguments: Vec<&str> = arguments
        .iter()
        .map(|argument| {
            if *argument == "FILE" {
                file.as_str()
            } else {
                argument
            }
        })
        .collect();
    let run = workdir.run(&arguments).await;
    assert_eq!(run.exit_code, code, "{run:?}");
    assert!(run.stderr.contains(reason), "{run:?}");
    assert_eq!(workdir.store.writes(), 0);
}
