//! Tests the choice of a route and the minimum number of shards that must answer.

mod entry_support;

use entry_support::{route, single_target, table};
use redwinggrade::version::route::{Gather, Kind, Limits, Route, Table, TableVersion};
use rstest::rstest;
use std::sync::Arc;

/// Returns a route with the name and the path prefix.
fn named_route(name: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        prefix: prefix.to_owned(),
        ..route(Kind::Idempotent, 1, single_target())
    }
}

/// Guards against a request that takes the route of another host or of a shorter prefix.
#[rstest]
#[case::longest_prefix("host.example", "/a/b/c", Some("long"))]
#[case::shorter_prefix("host.example", "/a/c", Some("short"))]
#[case::no_prefix("host.example", "/b/c", None)]
#[case::prefix_is_whole_segments("host.example", "/a/bc", Some("short"))]
#[case::other_host("other.example", "/a/b/c", None)]
fn finds_route_with_longest_prefix_of_host(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = [named_route("short", "/a/"), named_route("long", "/a/b/")];
    let table = Table::new(TableVersion(1), Limits::default(), routes, []);
    assert_eq!(table.find(host, path).map(|route| &*route.name), expected);
}

/// Guards against a minimum that is one too high or too low by rounding.
#[rstest]
#[case(20, 0.89, 18)]
#[case(20, 0.9, 18)]
#[case(20, 0.75, 15)]
#[case(90, 0.95, 86)]
#[case(3, 0.0, 1)]
#[case(3, 1.0, 3)]
fn rounds_least_coverage_up_to_whole_shards(
    #[case] shards: usize,
    #[case] least_coverage: f64,
    #[case] expected: usize,
) {
    let gather = Gather {
        shards: (0..shards).map(|n| Arc::from(n.to_string())).collect(),
        limit: 1,
        least_coverage,
    };
    assert_eq!(gather.min_answered_shards(), expected);
}

#[test]
fn finds_service_by_name() {
    let table = table(route(Kind::NonIdempotent, 1, single_target()), 1, Some(4.0));
    assert_eq!(table.service("s0").and_then(|it| it.cold_rate), Some(4.0));
    assert!(table.service("s1").is_none());
}
