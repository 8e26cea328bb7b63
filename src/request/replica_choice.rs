//! Chooses the replica that a subrequest goes to.
//!
//! `docs/decisions/005-tail.md` gives the reasons.

use crate::version::directory::{Directory, Target, TargetKey};
use crate::wire::Load;

/// Requests per unit of its limit above which a target counts as full.
///
/// Capacity elsewhere is then preferred: four service times of waiting exceed the time to another data
/// centre and back at the latencies of today.
const FULL: u64 = 4;

/// A full replica keeps its rank for one in this number of subrequests.
///
/// Its queue shrinks between two reports, and the others might not bear all of its load.
const FULL_TURN: u64 = 8;

/// A replica that serves less than this part of what the best one does counts as slow.
const SLOW: u64 = 4;

/// The part of its capacity, as one in this number, that is offered to a slow replica.
///
/// Subrequests arrive at random, so that a cold target that is offered its whole rate would have a queue as
/// long as the deadline.
const SLOW_USE: u64 = 2;

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
        Policy::LeastWait => {
            let usable = replicas.iter().map(|&key| directory.target(key));
            let rates = usable
                .filter(|target| target.takes_work())
                .map(|target| rate(target.load));
            let (best, sum) = rates.fold((0, 0), |(best, sum), rate| (rate.max(best), sum + rate));
            eligible.min_by_key(|&key| {
                let load = directory.target(key).load;
                let draw = mix(preference.seed, key);
                let class = Class::of(load, best, sum, draw);
                (class, remote(key), draw >> u32::from(!is_busy(load)))
            })
        }
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

/// The first criterion of the order by least wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// A slow replica whose turn it is.
    Turn,
    Usual,
    /// Mostly a full replica, or a slow one whose turn it is not.
    Last,
}

impl Class {
    /// Classes a replica by its load, the highest rate and the sum of the rates of all replicas.
    ///
    /// A slow replica, such as one in cold start, gets at most a share of the subrequests in proportion to
    /// its rate. Its reported load cannot show this in time: between two reports all coordinators
    /// would send it their subrequests, which would then expire in its queue.
    fn of(load: Load, best: u64, sum: u64, draw: u64) -> Self {
        let rate = rate(load);
        if is_full(load) && !draw.is_multiple_of(FULL_TURN) {
            Self::Last
        } else if rate.saturating_mul(SLOW) >= best {
            Self::Usual
        } else if draw % sum.saturating_mul(SLOW_USE).max(1) < rate {
            Self::Turn
        } else {
            Self::Last
        }
    }
}

/// Returns the subrequests per second that a target serves at its reported limit and latency.
fn rate(load: Load) -> u64 {
    u64::from(load.limit.max(1)) * 1_000_000 / u64::from(load.latency_us.max(1))
}

fn is_full(load: Load) -> bool {
    u64::from(load.queued) + u64::from(load.running) >= FULL * u64::from(load.limit.max(1))
}

/// Tells whether all slots of a target are in use.
///
/// Of two replicas, a busy one gets a quarter of the subrequests and not none: reported loads are up to one
/// exchange period old, which is much longer than a service time. If the less loaded one got all
/// subrequests, its queue would fill until the next report, and the replicas would swap roles.
fn is_busy(load: Load) -> bool {
    u64::from(load.queued) + u64::from(load.running) >= u64::from(load.limit.max(1))
}

/// Mixes a seed and a key into a uniformly distributed number (the finaliser of `SplitMix64`).
const fn mix(seed: u64, key: TargetKey) -> u64 {
    let mut value = seed ^ (key.position() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
