//! Guards against orders of preference that send all subrequests of one exchange period to one replica.

use std::net::{Ipv4Addr, SocketAddr};

use redwinggrade::request::replica_choice::{Policy, Preference, pick};
use redwinggrade::request::version_choice;
use redwinggrade::version::directory::{Directory, Target};
use redwinggrade::wire::exchange::Holding;
use redwinggrade::wire::{Incarnation, Load, Member, Version};

/// The number of seeds that each test draws with; shares are checked with wide margins.
const DRAWS: u64 = 4_000;

fn target(replica: u32, data_centre: &str, version: u64, load: Load) -> Target {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000));
    Target {
        name: format!("v{version}-r{replica}").into(),
        address,
        data_centre: data_centre.into(),
        index: "index".into(),
        service: "s0".into(),
        replica,
        gateway: Some(Member {
            name: "node".to_owned(),
            incarnation: Incarnation(1),
            peer: address,
            caller: address,
        }),
        usable: true,
        holdings: vec![Holding {
            version: Version(version),
            shard: 0,
            shards: 1,
        }],
        load,
    }
}

const fn load(queued: u16, running: u16, limit: u16, latency_us: u32) -> Load {
    Load {
        queued,
        running,
        limit,
        latency_us,
    }
}

/// Returns the share of draws in which a node of `dc1` chooses each of two targets.
fn shares(targets: &[Target; 2]) -> [f64; 2] {
    let names = targets.each_ref().map(|target| &target.name);
    let directory = Directory::build(targets.to_vec());
    let replicas = directory.replicas("index", Version(1), 0);
    let mut counts = [0.0; 2];
    for draw in 0..DRAWS {
        let preference = Preference {
            policy: Policy::LeastWait,
            data_centre: "dc1",
            seed: draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let chosen = pick(&directory, replicas, preference, |_| false)
            .expect("no target was chosen although both take work");
        let at = names
            .iter()
            .position(|name| **name == directory.target(chosen).name);
        counts[at.expect("the chosen target is none of the two")] += 1.0 / DRAWS as f64;
    }
    counts
}

/// Guards against coordinators that overfill the queue of a cold target, whose starts are paced, because it
/// is local.
#[test]
fn cold_local_replica_gets_half_of_its_share_by_rate() {
    let cold = target(0, "dc1", 1, load(0, 0, 1, 50_000));
    let warm = target(1, "dc2", 1, load(0, 0, 2, 8_000));
    let [cold, _] = shares(&[cold, warm]);
    // The cold target serves 20 subrequests/s and the warm one 250/s; half of 20 / 270 is 3.7%.
    assert!((0.02..0.06).contains(&cold), "share {cold}");
}

/// Guards against cold targets that get no subrequests and so never become warm.
#[test]
fn cold_replica_gets_all_subrequests_if_no_other_takes_work() {
    let cold = target(0, "dc1", 1, load(0, 0, 1, 50_000));
    let mut gone = target(1, "dc2", 1, load(0, 0, 2, 8_000));
    gone.usable = false;
    let [cold, _] = shares(&[cold, gone]);
    assert!(cold > 0.99, "share {cold}");
}

/// Guards against a replica that gets all subrequests until the next load report because the other is busy.
#[test]
fn busy_replica_gets_a_quarter_of_the_subrequests() {
    let busy = target(0, "dc1", 1, load(1, 2, 2, 8_000));
    let free = target(1, "dc1", 1, load(0, 1, 2, 8_000));
    let [busy, _] = shares(&[busy, free]);
    assert!((0.2..0.3).contains(&busy), "share {busy}");
}

/// Guards against subrequests to another data centre although a local target has free capacity.
#[test]
fn local_replica_with_free_capacity_gets_all_subrequests() {
    let local = target(0, "dc1", 1, load(0, 1, 2, 8_000));
    let remote = target(1, "dc2", 1, load(0, 0, 2, 8_000));
    let [local, _] = shares(&[local, remote]);
    assert!(local > 0.99, "share {local}");
}

/// Guards against subrequests that queue at a full local target while a remote one has free capacity.
#[test]
fn full_local_replica_gets_one_subrequest_in_eight() {
    let full = target(0, "dc1", 1, load(6, 2, 2, 8_000));
    let remote = target(1, "dc2", 1, load(0, 0, 2, 8_000));
    let [full, _] = shares(&[full, remote]);
    assert!((0.09..0.16).contains(&full), "share {full}");
}

/// Returns the version to which a query is pinned if the given numbers of targets hold the old and the new
/// version.
fn pinned_version(old_holders: u32, new_holders: u32) -> Version {
    let idle = load(0, 0, 2, 8_000);
    let holders = (0..old_holders).map(|replica| target(replica, "dc1", 1, idle));
    let holders = holders.chain((0..new_holders).map(|replica| target(replica, "dc1", 2, idle)));
    let directory = Directory::build(holders.collect());
    let choice = version_choice::choose(&directory, "index", None);
    choice.expect("no version was chosen").version
}

/// Guards against all queries moving to the first target that holds a new version, which it would overload.
#[test]
fn chooses_new_version_once_half_as_many_targets_hold_it() {
    assert_eq!(pinned_version(6, 1), Version(1));
    assert_eq!(pinned_version(5, 2), Version(1));
    assert_eq!(pinned_version(4, 2), Version(2));
    assert_eq!(pinned_version(0, 1), Version(2));
}
