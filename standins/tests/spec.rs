//! The specs of the two users have the sizes of the design page.

use std::collections::{BTreeSet, HashMap, HashSet};

use rstest::rstest;
use standins::spec::{Builder, User};
use standins::target::spec::Spec;
use standins::target::{self, Config};

/// Guards against a demo of another size than the users have.
#[rstest]
#[case(User::Magnolia, &[("proof-viewing", 40), ("dealer-catalog", 60), ("order-desk", 7), ("shipment-tracking", 3)])]
#[case(User::Tamar, &[("design-search", 40), ("invoicing", 60), ("parent-portal", 13), ("stock-ledger", 6)])]
fn has_the_targets_of_the_user(#[case] user: User, #[case] sizes: &[(&str, usize)]) {
    let spec = Builder::new(user).build();
    spec.check().expect("a valid spec");
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for target in &spec.targets {
        *counts.entry(&target.index).or_default() += 1;
    }
    assert_eq!(counts, sizes.iter().copied().collect());
}

/// Guards against a data centre whose loss takes all replicas of a shard with it.
#[rstest]
#[case(User::Magnolia)]
#[case(User::Tamar)]
fn spreads_the_replicas_of_a_service(#[case] user: User) {
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

/// Guards against a spec that cannot be written to a file, or that a process cannot serve.
#[rstest]
#[case(User::Magnolia, 110)]
#[case(User::Tamar, 119)]
#[tokio::test]
async fn serves_all_targets_in_one_process(#[case] user: User, #[case] count: usize) {
    let spec = Builder::new(user).build();
    let written = spec.to_yaml().expect("YAML");
    let spec = Spec::parse(&written).expect("what was written");
    assert_eq!(spec, Builder::new(user).build());
    let targets = target::bind(Config::new(spec)).await.expect("free ports");
    let ports: HashSet<_> = targets.addresses().into_values().collect();
    assert_eq!(ports.len(), count);
}
