//! Tests who counts as the sender of a request, and how urgent it is.

mod entry_support;

use std::sync::Arc;

use entry_support::{route, single_target};
use redwinggrade::tenancy::{Credential, Directory, Sender, Tenant, Urgency};
use redwinggrade::version::route::{Kind, Limits, Route, Table, TableVersion};
use rstest::rstest;

fn tenant(name: &str, priority: Option<u8>) -> Tenant {
    Tenant {
        name: Arc::from(name),
        priority,
        limit: None,
    }
}

fn key(text: &str) -> Credential {
    Credential::new(text.as_bytes()).expect("the key is not empty")
}

/// Returns tenants `a` with keys `a1`, `a2` (twice) and `shared`, `b` with `b1` and `shared`, and `c` without keys.
fn directory() -> Directory {
    let mut directory = Directory::new();
    directory.add(tenant("a", Some(2)), ["a1", "a2", "a2", "shared"].map(key));
    directory.add(tenant("b", None), ["b1", "shared"].map(key));
    directory.add(tenant("c", None), []);
    directory
}

fn table_and_route(tenants: Option<Directory>, anonymous: bool) -> (Table, Route) {
    let route = Route {
        anonymous,
        ..route(Kind::Idempotent, 1, single_target())
    };
    let table = Table::new(TableVersion(1), Limits::default(), [route.clone()], []);
    match tenants {
        Some(tenants) => (table.with_tenants(tenants), route),
        None => (table, route),
    }
}

/// Guards against a request that counts as another tenant's, or that runs without a key that identifies one.
#[rstest]
#[case::first_key(Some("a1"), false, Some("a"))]
#[case::key_listed_twice(Some("a2"), false, Some("a"))]
#[case::other_tenant(Some("b1"), false, Some("b"))]
#[case::key_of_two_tenants(Some("shared"), false, None)]
#[case::unknown(Some("a3"), false, None)]
#[case::part_of_key(Some("a"), false, None)]
#[case::none(None, false, None)]
#[case::anonymous_with_key(Some("a1"), true, Some("a"))]
#[case::anonymous_without_key(None, true, Some(""))]
#[case::anonymous_with_unknown_key(Some("a3"), true, Some(""))]
#[case::anonymous_with_key_of_two(Some("shared"), true, Some(""))]
fn identifies_tenant_by_key(
    #[case] credential: Option<&str>,
    #[case] anonymous: bool,
    #[case] expected: Option<&str>,
) {
    let (table, route) = table_and_route(Some(directory()), anonymous);
    let credential = credential.map(key);
    let sender = table.identify(&route, credential.as_ref());
    let name = sender
        .as_ref()
        .map(|sender| sender.tenant().map_or("", |tenant| &*tenant.name));
    assert_eq!(name, expected);
}

/// Guards against a deployment without tenants whose requests suddenly need a key.
#[rstest]
#[case::without_key(None)]
#[case::with_key(Some(key("a1")))]
fn needs_no_key_without_tenants(#[case] credential: Option<Credential>) {
    let (table, route) = table_and_route(None, false);
    assert_eq!(
        table.identify(&route, credential.as_ref()),
        Some(Sender::Undeclared)
    );
}

/// An empty list of tenants is not the same as none: every request needs a key, and there is none.
#[test]
fn refuses_every_key_with_empty_list_of_tenants() {
    let (table, route) = table_and_route(Some(Directory::new()), false);
    assert_eq!(table.identify(&route, Some(&key("a1"))), None);
    assert_eq!(table.identify(&route, None), None);
}

/// Guards against a key that is held by two tenants and goes unnoticed, and against a third holder for whom it counts.
#[test]
fn names_all_tenants_that_share_a_key() {
    let mut directory = directory();
    assert_eq!(names(&directory), ["a", "b"]);
    directory.add(tenant("d", None), [key("shared")]);
    assert_eq!(names(&directory), ["a", "b", "d"]);
    assert_eq!(directory.find(&key("shared")), None);
}

fn names(directory: &Directory) -> Vec<&str> {
    directory.contested().map(|name| &**name).collect()
}

/// Guards against keys in logs: whatever holds one shows only that it does.
#[test]
fn debug_output_shows_no_key() {
    let (table, _) = table_and_route(Some(directory()), false);
    let text = format!("{:?} {table:?}", key("b1"));
    assert!(text.contains("redacted"), "{text}");
    for secret in ["a1", "a2", "b1", "shared"] {
        assert!(!text.contains(secret), "{text}");
        let bytes = format!("{:?}", secret.as_bytes());
        assert!(!text.contains(&bytes), "{text}");
    }
}

#[test]
fn empty_key_is_no_key() {
    assert_eq!(Credential::new(b""), None);
}

/// Guards against an order in which the route's priority goes before the tenant's.
#[test]
fn urgency_goes_by_tenant_and_then_by_route() {
    let urgency = |tenant_priority, route| Urgency::new(Some(&tenant("a", tenant_priority)), route);
    assert!(urgency(Some(0), 9) < urgency(Some(1), 0));
    assert!(urgency(Some(1), 0) < urgency(Some(1), 1));
    // Without a tenant's priority, the route alone decides.
    assert!(Urgency::new(None, 0) < Urgency::new(None, 1));
    assert_eq!(Urgency::new(None, 1), urgency(None, 1));
    assert_eq!(Urgency::new(None, 1), urgency(Some(1), 1));
}
