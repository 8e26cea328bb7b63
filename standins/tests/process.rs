//! The binaries and the helper that starts them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use standins::http::call_json;
use standins::members::Listing;
use standins::process::{Process, Signal, WAIT_TIMEOUT, binary_path};
use standins::spec::{Builder, User};

const PREFIX: &str = "listening on ";

fn address(process: &Process) -> SocketAddr {
    process.announced().parse().expect("an address")
}

fn start(name: &str, arguments: &[&str]) -> Process {
    let path = binary_path(name).expect("the binary was built");
    Process::start(&path, arguments, PREFIX).expect("the process starts")
}

/// Guards against binaries that do not tell their address, or that tell it before they listen.
#[rstest]
#[case("standin-store", "/admin/calls")]
#[case("standin-members", "/instances")]
#[tokio::test]
async fn announces_its_address(#[case] name: &str, #[case] path: &str) {
    let process = start(name, &[]);
    call_json(address(&process), "GET", path, &Value::Null)
        .await
        .expect("it listens");
}

/// Guards against targets that a demo cannot find through the file or the membership list.
#[rstest]
#[tokio::test]
async fn targets_write_their_addresses_and_register() {
    let members = start("standin-members", &[]);
    let folder = tempfile::tempdir().expect("a folder");
    let spec = folder.path().join("spec.yaml");
    let file = folder.path().join("addresses.json");
    let small = Builder::new(User::Tamar).with_at_most(2, 2).build();
    std::fs::write(&spec, small.to_yaml().expect("YAML")).expect("written");
    let text = |path: &Path| path.to_str().expect("text").to_owned();
    let (spec, file) = (text(&spec), text(&file));
    let arguments = [
        "--spec",
        &spec,
        "--addresses",
        &file,
        "--members",
        members.announced(),
    ];
    let targets = start("standin-targets", &arguments);

    let written = std::fs::read_to_string(file).expect("written before the announcement");
    let addresses: BTreeMap<String, SocketAddr> = serde_json::from_str(&written).expect("JSON");
    assert_eq!(addresses.len(), small.targets.len());
    let listing = call_json(address(&members), "GET", "/instances", &Value::Null).await;
    let listing: Listing = serde_json::from_value(listing.expect("the list")).expect("a listing");
    let listed: BTreeMap<_, _> = listing
        .instances
        .into_iter()
        .map(|instance| (instance.name, instance.address))
        .collect();
    assert_eq!(listed, addresses);

    let drain = json!({ "name": "invoicing-s00-0", "drain": true });
    call_json(address(&targets), "POST", "/admin/target", &drain)
        .await
        .expect("the announced address is the admin interface");
    let target = addresses["invoicing-s00-0"];
    let status = call_json(target, "GET", "/status", &Value::Null).await;
    assert_eq!(status.expect("the status")["state"], "draining");
}

/// Guards against a printed spec that differs from what the process serves.
#[rstest]
fn targets_print_the_spec_of_a_user() {
    let path = binary_path("standin-targets").expect("the binary was built");
    let arguments = ["--user", "magnolia", "--print-spec"];
    let mut printing = Process::spawn(&path, &arguments).expect("it starts");
    let (status, lines) = printing.finish().expect("it ends");
    assert!(status.success());
    let spec = standins::target::spec::Spec::parse(&lines.join("\n")).expect("a spec");
    assert_eq!(spec, Builder::new(User::Magnolia).build());
}

/// Guards against a frozen process that answers, and against one that does not come back.
#[rstest]
#[tokio::test]
async fn freezes_and_continues() {
    let mut store = start("standin-store", &[]);
    let address = address(&store);
    store.signal(Signal::Stop).expect("it runs");
    let call = async move { call_json(address, "GET", "/admin/calls", &Value::Null).await };
    let mut call = Box::pin(call);
    // Any answer within this time is a fault; no answer proves nothing, so the time can be short.
    let early = tokio::time::timeout(Duration::from_millis(200), call.as_mut()).await;
    assert!(early.is_err(), "a frozen process answers nothing");
    store.signal(Signal::Continue).expect("it is frozen");
    let answer = tokio::time::timeout(WAIT_TIMEOUT, call)
        .await
        .expect("it continues");
    answer.expect("an answer");
}

/// Guards against processes that outlive their test.
#[rstest]
#[case(Signal::Kill, 9)]
#[case(Signal::Terminate, 15)]
fn ends_by_signal(#[case] signal: Signal, #[case] number: i32) {
    use std::os::unix::process::ExitStatusExt;
    let mut store = start("standin-store", &[]);
    store.signal(signal).expect("it runs");
    let status = store.wait().expect("it ends");
    assert_eq!(status.signal(), Some(number));
    store
        .signal(Signal::Kill)
        .expect_err("its id may belong to another process now");
}

/// Guards against a drop that leaves a frozen process behind.
#[rstest]
#[tokio::test]
async fn is_killed_when_dropped() {
    let mut store = start("standin-store", &[]);
    let address = address(&store);
    store.signal(Signal::Stop).expect("it runs");
    drop(store);
    call_json(address, "GET", "/admin/calls", &Value::Null)
        .await
        .expect_err("nobody listens");
}

/// Guards against a wait for the whole bound when the process has ended without its line.
#[rstest]
fn reports_a_process_that_ends_early() {
    let path = binary_path("standin-targets").expect("the binary was built");
    let missing = ["--spec", "/nonexistent/spec.yaml"];
    let error = Process::start(&path, &missing, PREFIX).expect_err("it ends");
    assert!(
        error.to_string().contains("ended without a line"),
        "{error}"
    );
}
