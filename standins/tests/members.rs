//! Tests of the membership stand-in: responses by revision, the lag and the other faults.

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::{Value, json};
use standins::http::{call, call_json};
use standins::members::{self, Config, Faults, Instance, Role, State};

fn instance(name: &str, state: State) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Target,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "dc1".to_owned(),
        index: "proof-viewing".to_owned(),
        service: "s00".to_owned(),
        replica: 0,
        state,
    }
}

async fn list(address: SocketAddr, since: Value) -> Value {
    let path = if since.is_null() {
        "/instances".to_owned()
    } else {
        format!("/instances?since={since}")
    };
    call_json(address, "GET", &path, &Value::Null)
        .await
        .expect("membership list should answer")
}

fn names(listing: &Value) -> Vec<&str> {
    let instances = listing["instances"]
        .as_array()
        .expect("instances should be an array");
    instances
        .iter()
        .filter_map(|instance| instance["name"].as_str())
        .collect()
}

/// Fails if a response to `since` leaves out a change or repeats one that the reader has.
#[rstest]
#[tokio::test]
async fn since_returns_only_later_changes() {
    let members = members::bind(Config::default())
        .await
        .expect("free port should be available");
    let address = members.address();
    let both = json!([instance("a", State::Live), instance("b", State::Live)]);
    call_json(address, "POST", "/admin/instances", &both)
        .await
        .expect("request should be accepted");
    let whole = list(address, Value::Null).await;
    assert_eq!(names(&whole), ["a", "b"]);
    assert_eq!(whole["instances"][0]["role"], "target");
    let unchanged = list(address, whole["revision"].clone()).await;
    assert_eq!(names(&unchanged), [] as [&str; 0]);
    assert_eq!(unchanged["revision"], whole["revision"]);

    members.upsert(vec![instance("b", State::Leaving)]);
    assert!(members.remove("a"));
    assert!(
        !members.remove("a"),
        "removed instance was removed a second time"
    );
    let later = list(address, whole["revision"].clone()).await;
    assert_eq!(names(&later), ["b"]);
    assert_eq!(later["instances"][0]["state"], "leaving");
    assert_eq!(later["removed"], json!(["a"]));
    let whole = list(address, Value::Null).await;
    assert_eq!(names(&whole), ["b"]);
}

/// Fails if the lag is not applied; then no test would exercise a stale list.
#[rstest]
#[tokio::test]
async fn changes_are_not_shown_during_the_lag() {
    let members = members::bind(Config::default())
        .await
        .expect("free port should be available");
    members.set_faults(Faults {
        lag_ms: Some(3_600_000),
        ..Faults::default()
    });
    members.upsert(vec![instance("a", State::Live)]);
    let hidden = list(members.address(), Value::Null).await;
    assert_eq!(names(&hidden), [] as [&str; 0]);
    assert_eq!(hidden["revision"], 0);
    let shorter = json!({ "lag_ms": 0 });
    call_json(members.address(), "POST", "/admin/faults", &shorter)
        .await
        .expect("request should be accepted");
    assert_eq!(names(&list(members.address(), Value::Null).await), ["a"]);
}

/// Fails if the stand-in answers while it is down, or if it cannot be brought back.
#[rstest]
#[tokio::test]
async fn down_closes_connections_except_admin() {
    let members = members::bind(Config::default())
        .await
        .expect("free port should be available");
    let address = members.address();
    let down = |down: bool| json!({ "down": down });
    call_json(address, "POST", "/admin/faults", &down(true))
        .await
        .expect("request that sets the fault should be answered");
    call(address, "GET", "/instances", &[], "")
        .await
        .expect_err("request should not be answered while down");
    call_json(address, "POST", "/admin/faults", &down(false))
        .await
        .expect("admin interface should work while down");
    list(address, Value::Null).await;
}

/// Fails if a misspelt field or name in a test is accepted without an effect.
#[rstest]
#[case("/admin/faults", json!({ "lag": 1 }))]
#[case("/admin/instances", json!([{ "name": "a" }]))]
#[case("/admin/remove", json!({ "name": "unknown" }))]
#[case("/admin/nothing", json!({}))]
#[tokio::test]
async fn rejects_unknown_fields_names_and_paths(#[case] path: &str, #[case] body: Value) {
    let members = members::bind(Config::default())
        .await
        .expect("free port should be available");
    call_json(members.address(), "POST", path, &body)
        .await
        .expect_err("request should be rejected");
    call(members.address(), "GET", "/instances?since=x", &[], "")
        .await
        .map(|answer| assert_eq!(answer.status(), 400))
        .expect("request should be answered");
}
