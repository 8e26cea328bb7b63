//! Guards the operators' client: one change per command, true exit codes, nothing written twice.

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

/// Prepares the change that another operator makes from the newest version.
async fn other_change(workdir: &Workdir, path: &str, value: Json) -> BTreeMap<String, Vec<u8>> {
    let store = Store::open(vec![workdir.store.address]);
    let mark = settings::read_head(&store).await.unwrap();
    let old = settings::read_tree(&store, &mark, mark.version())
        .await
        .unwrap();
    let path = path.to_owned();
    let new = edit::apply(&old, &[Edit::set(path, value)]).unwrap();
    let origin = Origin {
        operation: format!("{}-00000000000000aa", mark.version()),
        ..Origin::default()
    };
    let change = Change::prepare(mark.version(), 1, Some(&old), &new, origin);
    let entry = (
        log::entry_key(change.entry.version),
        log::encode(&change.entry),
    );
    let head = (log::HEAD_KEY.to_owned(), log::encode(&change.head));
    [entry, head]
        .map(|(key, value)| (key, value.to_vec()))
        .into()
}

/// The store's log, as operations by version.
fn operations(workdir: &Workdir) -> Vec<String> {
    let data = workdir.store.data.lock().unwrap();
    let log = data
        .values
        .iter()
        .filter(|(key, _)| key.starts_with(log::LOG_PREFIX));
    log.map(|(key, (value, _))| log::decode::<Entry>(key, value).unwrap().operation)
        .collect()
}

#[tokio::test]
async fn apply_show_and_apply_again() {
    let workdir = Workdir::open().await;
    let file = workdir.file("levels.yaml", LAYERED_SETTINGS);
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
    let same = workdir.file("same.yaml", &shown);
    let unchanged = workdir.run(&["apply", &same]).await;
    assert!(unchanged.stdout.starts_with("no change"), "{unchanged:?}");

    let edited = workdir.file("edited.yaml", &shown.replace("queue: 10", "queue: 12"));
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

/// Guards against a file that silently undoes changes made since it was written.
#[tokio::test]
async fn a_stale_base_is_refused() {
    let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    let shown = workdir.run(&["show"]).await.stdout;
    assert_eq!(
        workdir.run(&["data-centre", "out", "dc1"]).await.exit_code,
        0
    );
    let writes = workdir.store.writes();
    let stale = workdir.file("stale.yaml", &shown.replace("queue: 10", "queue: 12"));
    let run = workdir.run(&["apply", &stale]).await;
    assert_eq!(run.exit_code, 4, "{run:?}");
    assert!(run.stderr.contains("hint: "), "{run:?}");
    let nameless = workdir.file("nameless.yaml", LAYERED_SETTINGS);
    let run = workdir.run(&["apply", &nameless]).await;
    assert_eq!(run.exit_code, 2, "{run:?}");
    assert!(run.stderr.contains("--base 2"), "{run:?}");
    assert_eq!(workdir.store.writes(), writes);
}

/// Guards against a lost update when two operators write at the same moment.
#[tokio::test]
async fn the_loser_of_a_race_changes_nothing() {
    let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    let shown = workdir.run(&["show"]).await.stdout;
    let race = other_change(&workdir, "defaults.slots", 9.into()).await;
    workdir.store.data.lock().unwrap().concurrent_write = Some(race);
    let file = workdir.file("mine.yaml", &shown.replace("queue: 10", "queue: 12"));
    let run = workdir.run(&["apply", &file]).await;
    assert_eq!(run.exit_code, 4, "{run:?}");
    assert_eq!(operations(&workdir)[1], "1-00000000000000aa");

    // A single-value change keeps its meaning on any version and is made again on the newest.
    let race = other_change(&workdir, "defaults.slots", 8.into()).await;
    workdir.store.data.lock().unwrap().concurrent_write = Some(race);
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

/// Guards against a second write after a lost answer.
#[tokio::test]
async fn a_lost_answer_is_settled_by_reading() {
    let workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    workdir.store.inject_fault(Fault::LoseAnswer);
    let run = workdir.run(&["instance", "out", "node-7"]).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    assert_eq!(operations(&workdir).len(), 2);

    workdir.store.inject_fault(Fault::LoseRequest);
    let run = workdir
        .run(&["instance", "out", "node-8", "--timeout", "0"])
        .await;
    assert_eq!(run.exit_code, 5, "{run:?}");
    assert_eq!(operations(&workdir).len(), 2);
    // The id is named before the write, in case the client is stopped.
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
    let newest = operations(&workdir).pop().unwrap();
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

/// Guards against a doubtful report when the store certainly did not write.
#[tokio::test]
async fn a_refusal_of_the_store_changes_nothing() {
    let mut workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    workdir.store.inject_fault(Fault::Refuse);
    let run = workdir.run(&["instance", "out", "node-7"]).await;
    assert_eq!(run.exit_code, 1, "{run:?}");
    assert!(
        run.stderr.contains("429") && run.stderr.contains("nothing was changed"),
        "{run:?}"
    );
    assert_eq!(operations(&workdir).len(), 1);
    // Nothing listens on the port of a listener that is gone.
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    workdir.store.address = gone;
    let run = workdir.run(&["instance", "out", "node-7"]).await;
    assert_eq!(run.exit_code, 1, "{run:?}");
    assert!(run.stderr.contains("cannot be reached"), "{run:?}");
}

fn record(names: &[&str]) -> Vec<u8> {
    let member = |name: &&str| json!({"name": name, "incarnation": 1, "peer": "127.0.0.1:1", "caller": "127.0.0.1:2"});
    let members: Vec<Json> = names.iter().map(member).collect();
    json!({"revision": 1, "members": members, "ballot": null})
        .to_string()
        .into()
}

/// Guards against "accepted" before every cell has confirmed.
#[tokio::test]
async fn a_change_is_accepted_when_every_cell_has_confirmed() {
    let mut workdir = Workdir::with_settings(LAYERED_SETTINGS).await;
    for cell in ["dc1-0", "left-behind"] {
        let names = [format!("{cell}-a"), format!("{cell}-b")];
        let names = [names[0].as_str(), names[1].as_str()];
        workdir
            .store
            .data
            .lock()
            .unwrap()
            .put(&log::cell_key(cell), record(&names));
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
    let near = Arc::new(Mutex::new(status("dc1-0", 2, 2)));
    let far = Arc::new(Mutex::new(status("left-behind", 2, 1)));
    for status in [&near, &far] {
        workdir
            .node_addresses
            .push(operator::serve_status(Arc::clone(status)).await);
    }
    let operation = report["operation"].as_str().unwrap();
    let ask = ["history", "--operation", operation, "--timeout", "0"];
    let run = workdir.run(&ask).await;
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
    *far.lock().unwrap() = status("left-behind", 2, 2);
    let run = workdir.run(&ask).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    *far.lock().unwrap() = status("left-behind", 1, 1);
    assert_eq!(workdir.run(&["status"]).await.exit_code, 3);
}

#[tokio::test]
async fn data_centres_and_instances_go_out_and_in() {
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

/// Guards against a damaged store that operators cannot see or repair.
#[rstest]
#[case::truncated(|value: &mut Vec<u8>| value.truncate(value.len() / 2))]
#[case::edited(|value: &mut Vec<u8>| *value = String::from_utf8(value.clone()).unwrap().replace(":1", ":2").into())]
#[tokio::test]
async fn damage_is_reported_and_repaired(#[case] change: fn(&mut Vec<u8>)) {
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
        let file = workdir.file("good.yaml", LAYERED_SETTINGS);
        let run = workdir
            .run(&["apply", &file, "--base", "1", "--rewrite"])
            .await;
        assert_eq!(run.exit_code, 0, "{run:?}");
        assert_eq!(workdir.run(&["show"]).await.exit_code, 0);
    }
}

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
async fn wrong_input_is_refused(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] reason: &str,
) {
    let workdir = Workdir::open().await;
    let file = workdir.file("bad.yaml", "defaults:\n  slots: 0\n");
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
