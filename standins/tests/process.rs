//! Tests of the stand-in programs, and of the helper that starts them as processes.

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

const ADDRESS_PREFIX: &str = "listening on ";

fn address(process: &Process) -> SocketAddr {
    process
        .announced()
        .parse()
        .expect("announced text should be an address")
}

fn start(name: &str, arguments: &[&str]) -> Process {
    let path = binary_path(name).expect("program should have been built");
    Process::start(&path, arguments, ADDRESS_PREFIX).expect("process should start")
}

/// Fails if a program does not print its address, or prints it before it listens.
#[rstest]
#[case("standin-store", "/admin/calls")]
#[case("standin-members", "/instances")]
#[tokio::test]
async fn prints_its_address_once_it_listens(#[case] name: &str, #[case] path: &str) {
    let process = start(name, &[]);
    call_json(address(&process), "GET", path, &Value::Null)
        .await
        .expect("process should listen");
}

/// Fails if the file of addresses or the membership list lacks a target, or if the printed address is
/// not that of the admin interface.
#[rstest]
#[tokio::test]
async fn targets_write_addresses_and_register() {
    let members = start("standin-members", &[]);
    let folder = tempfile::tempdir().expect("temporary directory should be created");
    let spec = folder.path().join("spec.yaml");
    let file = folder.path().join("addresses.json");
    let small = Builder::new(User::Tamar).with_at_most(2, 2).build();
    std::fs::write(
        &spec,
        small.to_yaml().expect("spec should be writable as YAML"),
    )
    .expect("file should be writable");
    let text = |path: &Path| {
        path.to_str()
            .expect("value should be UTF-8 text")
            .to_owned()
    };
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

    let written =
        std::fs::read_to_string(file).expect("addresses should be written before the announcement");
    let addresses: BTreeMap<String, SocketAddr> =
        serde_json::from_str(&written).expect("body should be JSON");
    assert_eq!(addresses.len(), small.targets.len());
    let listing = call_json(address(&members), "GET", "/instances", &Value::Null).await;
    let listing: Listing = serde_json::from_value(listing.expect("membership list should answer"))
        .expect("response should be a listing");
    let listed: BTreeMap<_, _> = listing
        .instances
        .into_iter()
        .map(|instance| (instance.name, instance.address))
        .collect();
    assert_eq!(listed, addresses);

    let drain = json!({ "name": "invoicing-s00-0", "drain": true });
    call_json(address(&targets), "POST", "/admin/target", &drain)
        .await
        .expect("announced address should be the admin interface");
    let target = addresses["invoicing-s00-0"];
    let status = call_json(target, "GET", "/status", &Value::Null).await;
    assert_eq!(
        status.expect("status should be readable")["state"],
        "draining"
    );
}

/// Fails if the printed spec differs from the one that the process would serve.
#[rstest]
fn targets_print_the_spec_of_a_user() {
    let path = binary_path("standin-targets").expect("program should have been built");
    let arguments = ["--user", "magnolia", "--print-spec"];
    let mut printing = Process::spawn(&path, &arguments).expect("process should start");
    let (status, lines) = printing.finish().expect("process should end");
    assert!(status.success());
    let spec = standins::target::spec::Spec::parse(&lines.join("\n"))
        .expect("output should be a valid spec");
    assert_eq!(spec, Builder::new(User::Magnolia).build());
}

/// Fails if a process answers while it is stopped by a signal, or does not answer after it continues.
#[rstest]
#[tokio::test]
async fn stopped_process_answers_after_continue() {
    let mut store = start("standin-store", &[]);
    let address = address(&store);
    store
        .signal(Signal::Stop)
        .expect("process should be running");
    let call = async move { call_json(address, "GET", "/admin/calls", &Value::Null).await };
    let mut call = Box::pin(call);
    // Any response within this time is a fault. A response that comes later would go unnoticed, so the
    // time can be short.
    let early = tokio::time::timeout(Duration::from_millis(200), call.as_mut()).await;
    assert!(early.is_err(), "frozen process answered");
    store
        .signal(Signal::Continue)
        .expect("process should be frozen");
    let answer = tokio::time::timeout(WAIT_TIMEOUT, call)
        .await
        .expect("process should answer after it continues");
    answer.expect("request should be answered");
}

/// Fails if a process does not exit on a signal, which would let it outlive its test.
#[rstest]
#[case(Signal::Kill, 9)]
#[case(Signal::Terminate, 15)]
fn exits_with_the_signal_sent(#[case] signal: Signal, #[case] number: i32) {
    use std::os::unix::process::ExitStatusExt;
    let mut store = start("standin-store", &[]);
    store.signal(signal).expect("process should be running");
    let status = store.wait().expect("process should end");
    assert_eq!(status.signal(), Some(number));
    store
        .signal(Signal::Kill)
        .expect_err("signal to an exited process should fail");
}

/// Fails if dropping the handle leaves a stopped process behind, which cannot handle signals other than
/// `SIGKILL`.
#[rstest]
#[tokio::test]
async fn dropped_process_is_killed_even_if_frozen() {
    let mut store = start("standin-store", &[]);
    let address = address(&store);
    store
        .signal(Signal::Stop)
        .expect("process should be running");
    drop(store);
    call_json(address, "GET", "/admin/calls", &Value::Null)
        .await
        .expect_err("connection should be refused");
}

/// Fails if the wait for a line lasts until the time-out although the process has exited without
/// printing it.
#[rstest]
fn start_fails_if_process_exits_before_its_line() {
    let path = binary_path("standin-targets").expect("program should have been built");
    let missing = ["--spec", "/nonexistent/spec.yaml"];
    let error = Process::start(&path, &missing, ADDRESS_PREFIX)
        .expect_err("start should fail when the process exits");
    assert!(
        error.to_string().contains("ended without a line"),
        "{error}"
    );
}
