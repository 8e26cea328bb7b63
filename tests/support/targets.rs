//! Builds targets for tests of the request path.

use std::net::SocketAddr;

use redwinggrade::version::directory::Target;
use redwinggrade::wire::exchange::Holding;
use redwinggrade::wire::{Load, Member, Version};
use serde_json::json;

pub fn load(running: u16) -> Load {
    let load = json!({"queued": 0, "running": running, "limit": 4, "latency_us": 5_000});
    serde_json::from_value(load).expect("a valid load")
}

/// Builds `replicas` targets for each shard of the given (version, number of shards).
///
/// Each target holds its shard of every version that has one. Only replica 0 is in the local data centre.
pub fn targets(versions: &[(u64, u32)], replicas: u32) -> Vec<Target> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let gateway = json!({"name": "node-1", "incarnation": 1, "peer": address, "caller": address});
    let gateway: Member = serde_json::from_value(gateway).expect("a valid member");
    let max_shards = versions.iter().map(|it| it.1).max().unwrap_or(0);
    let target = |shard: u32, replica: u32| Target {
        name: format!("s{shard}-{replica}").into(),
        address,
        data_centre: if replica == 0 { "dc1" } else { "dc2" }.into(),
        index: "tins".into(),
        service: format!("s{shard}").into(),
        replica,
        gateway: Some(gateway.clone()),
        usable: true,
        holdings: versions
            .iter()
            .filter(|it| shard < it.1)
            .map(|&(version, shards)| Holding {
                version: Version(version),
                shard,
                shards,
            })
            .collect(),
        load: load(1),
    };
    let shards =
        (0..max_shards).flat_map(|shard| (0..replicas).map(move |replica| (shard, replica)));
    shards
        .map(|(shard, replica)| target(shard, replica))
        .collect()
}
