//! Chooses the replica that a leg goes to.
//!
//! `docs/decisions/005-tail.md` gives the reasons.

use crate::version::directory::{Directory, Target, TargetKey};
use crate::wire::Load;

/// Requests per unit of its limit above which a target counts as full.
///
/// Capacity elsewhere is then preferred: four service times of waiting exceed the time to another data
/// centre and back at the latencies of today.
const FULL: u64 = 4;

/// How replicas are ordered; the simpler ways exist for comparison by the benchmark.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Local before remote, then the least expected wait.
    #[default]
    LeastWait,
    /// Local before remote, then at random.
    Random,
    /// Local before remote, then in turn; the caller counts the turns.
    RoundRobin(u64),
}

/// What the order of replicas depends on besides their state.
#[derive(Debug, Clone, Copy)]
pub struct Preference<'a> {
    /// How replicas are ordered.
    pub policy: Policy,
    /// The data centre of the coordinator.
    pub data_centre: &'a str,
    /// Decides between equal replicas; the same seed gives the same choice.
    pub seed: u64,
}

/// Chooses among `replicas` the best one that takes work and is not `tried`.
pub fn pick<F>(
    directory: &Directory,
    replicas: &[TargetKey],
    preference: Preference<'_>,
    tried: F,
) -> Option<TargetKey>
where
    F: Fn(&Target) -> bool,
{
    let eligible = replicas.iter().copied().filter(|&key| {
        let target = directory.target(key);
        target.takes_work() && !tried(target)
    });
    let remote = |key: TargetKey| *directory.target(key).data_centre != *preference.data_centre;
    match preference.policy {
        Policy::LeastWait => eligible.min_by_key(|&key| {
            let load = directory.target(key).load;
            (
                is_full(load),
                remote(key),
                magnitude(wait(load)),
                mix(preference.seed, key),
            )
        }),
        Policy::Random => eligible.min_by_key(|&key| (remote(key), mix(preference.seed, key))),
        Policy::RoundRobin(turn) => {
            let local = eligible.clone().filter(|&key| !remote(key)).count() as u64;
            if local > 0 {
                eligible
                    .filter(|&key| !remote(key))
                    .nth((turn % local) as usize)
            } else {
                let all = eligible.clone().count().max(1) as u64;
                eligible.clone().nth((turn % all) as usize)
            }
        }
    }
}

fn is_full(load: Load) -> bool {
    u64::from(load.queued) + u64::from(load.running) >= FULL * u64::from(load.limit.max(1))
}

/// Returns the expected wait in microseconds; a target without a reported limit counts as one slot.
fn wait(load: Load) -> u64 {
    let ahead = u64::from(load.queued) + u64::from(load.running);
    ahead * u64::from(load.latency_us.max(1)) / u64::from(load.limit.max(1))
}

/// Reduces a wait to its order of magnitude in powers of two.
///
/// Reported loads are up to one exchange period old. If the slightly smaller one always won, all
/// coordinators would send to the same replica until the next report.
const fn magnitude(wait: u64) -> u32 {
    u64::BITS - wait.leading_zeros()
}

/// Mixes a seed and a key into a uniformly distributed number (the finaliser of `SplitMix64`).
const fn mix(seed: u64, key: TargetKey) -> u64 {
    let mut value = seed ^ (key.number() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
