//! Tests that the specs of the two users have the sizes of the design.

use std::collections::{BTreeSet, HashMap, HashSet};

use rstest::rstest;
use standins::spec::{Builder, User};
use standins::target::spec::Spec;
use standins::target::{self, Config};

/// Fails if a spec has another number of targets than the user has.
#[rstest]
#[case(User::Magnolia, &[("proof-viewing", 40), ("dealer-catalog", 60), ("order-desk", 7), ("shipment-tracking", 3)])]
#[case(User::Tamar, &[("design-search", 40), ("invoicing", 60), ("parent-portal", 13), ("stock-ledger", 6)])]
fn spec_has_the_target_counts_of_the_user(#[case] user: User, #[case] sizes: &[(&str, usize)]) {
    let spec = Builder::new(user).build();
    spec.check().expect("spec should be valid");
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for target in &spec.targets {
        *counts.entry(&target.index).or_default() += 1;
    }
    assert_eq!(counts, sizes.iter().copied().collect());
}

/// Fails if replicas of a service share a data centre without need, so that the loss of one takes all
/// replicas of a shard, or if a shard has no target.
#[rstest]
#[case(User::Magnolia)]
#[case(User::Tamar)]
fn replicas_of_a_service_are_in_different_data_centres(#[case] user: User) {
    let spec = Builder::new(user).build();
    let mut places: HashMap<(&str, &str), (usize, HashSet<&str>)> = HashMap::new();
    let mut shards: HashMap<&str, (u32, BTreeSet<u32>)> = HashMap::new();
    for target in &spec.targets {
        let place = places.entry((&target.index, &target.service)).or_default();
        place.0 += 1;
        place.1.insert(&target.data_centre);
        let held = target.versions[0];
        let shards = shards.entry(&target.index).or_default();
        shards.0 = held.shards;
        shards.1.insert(held.shard);
    }
    for (service, (replicas, data_centres)) in places {
        assert_eq!(data_centres.len(), replicas.min(3), "{service:?}");
    }
    for (index, (count, held)) in shards {
        assert!(held.into_iter().eq(0..count), "{index} has every shard");
    }
}

/// Fails if a spec does not survive writing and reading, or if one process cannot serve all its targets.
#[rstest]
#[case(User::Magnolia, 110)]
#[case(User::Tamar, 119)]
#[tokio::test]
async fn serves_all_targets_in_one_process(#[case] user: User, #[case] count: usize) {
    let spec = Builder::new(user).build();
    let written = spec.to_yaml().expect("spec should be writable as YAML");
    let spec = Spec::parse(&written).expect("written spec should be readable");
    assert_eq!(spec, Builder::new(user).build());
    let targets = target::bind(Config::new(spec))
        .await
        .expect("free ports should be available");
    let ports: HashSet<_> = targets.addresses().into_values().collect();
    assert_eq!(ports.len(), count);
}
