//! Chooses the replica to which a subrequest is sent.
//!
//! `docs/decisions/005-tail.md` gives the reasons.

use crate::version::directory::{Directory, Target, TargetKey};
use crate::wire::Load;

/// A target is full if its queued and running requests are at least its limit times this factor.
///
/// Other replicas are then preferred, because waiting for four service times takes longer than the round
/// trip to another data centre.
const FULL_LOAD_FACTOR: u64 = 4;

/// A full replica is not deprioritised for one in this number of subrequests.
///
/// Its queue shrinks between two load reports, and the other replicas may lack the capacity for all of its
/// load.
const FULL_REPLICA_DIVISOR: u64 = 8;

/// A replica is slow if it serves less than the highest rate among the replicas divided by this.
const SLOW_RATE_DIVISOR: u64 = 4;

/// A slow replica is offered its rate divided by this.
///
/// Subrequests arrive at random, so a cold target that is offered its whole rate would build up a queue whose
/// wait is as long as the deadline.
const SLOW_SHARE_DIVISOR: u64 = 2;

/// The order of preference of replicas; the benchmark compares the default with the simpler policies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Replicas of the local data centre come first, unless slow or full; busy ones are chosen less often.
    #[default]
    LeastWait,
    /// Replicas of the local data centre come first, in random order.
    Random,
    /// Replicas of the local data centre come first, in turn; the field is the number of the turn.
    RoundRobin(u64),
}

/// The inputs of the order of preference other than the state of the replicas.
#[derive(Debug, Clone, Copy)]
pub struct Preference<'a> {
    /// The order of preference of replicas.
    pub policy: Policy,
    /// The data centre of the coordinator, whose replicas are local.
    pub data_centre: &'a str,
    /// The seed of the pseudo-random draws; the same seed gives the same choice.
    pub seed: u64,
}

/// Returns the most preferred of `replicas` that takes work and is not `excluded`.
pub fn pick<F>(
    directory: &Directory,
    replicas: &[TargetKey],
    preference: Preference<'_>,
    excluded: F,
) -> Option<TargetKey>
where
    F: Fn(&Target) -> bool,
{
    let eligible = replicas.iter().copied().filter(|&key| {
        let target = directory.target(key);
        target.takes_work() && !excluded(target)
    });
    let remote = |key: TargetKey| *directory.target(key).data_centre != *preference.data_centre;
    match preference.policy {
        Policy::LeastWait => {
            let usable = replicas.iter().map(|&key| directory.target(key));
            let rates = usable
                .filter(|target| target.takes_work())
                .map(|target| requests_per_second(target.load));
            let (best_rate, total_rate) =
                rates.fold((0, 0), |(best, sum), rate| (rate.max(best), sum + rate));
            eligible.min_by_key(|&key| {
                let load = directory.target(key).load;
                let draw = mix(preference.seed, key);
                let rank = Rank::new(load, best_rate, total_rate, draw);
                (rank, remote(key), draw >> u32::from(!is_busy(load)))
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

/// The first criterion of the order of [`Policy::LeastWait`]; lower values are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A slow replica for which this draw falls within its share of the subrequests.
    SlowSelected,
    Normal,
    /// A full replica, except for one draw in [`FULL_REPLICA_DIVISOR`], or a slow one outside its share.
    Deprioritised,
}

impl Rank {
    /// Ranks a replica by its load, the highest rate and the sum of the rates of all replicas.
    ///
    /// A slow replica, such as one in cold start, gets a share of the subrequests that is at most
    /// proportional to its rate. Its reported load would reveal an overload too late: between two reports
    /// all coordinators would send it their subrequests, which would then expire in its queue.
    fn new(load: Load, best_rate: u64, total_rate: u64, draw: u64) -> Self {
        let rate = requests_per_second(load);
        if is_full(load) && !draw.is_multiple_of(FULL_REPLICA_DIVISOR) {
            Self::Deprioritised
        } else if rate.saturating_mul(SLOW_RATE_DIVISOR) >= best_rate {
            Self::Normal
        } else if draw % total_rate.saturating_mul(SLOW_SHARE_DIVISOR).max(1) < rate {
            Self::SlowSelected
        } else {
            Self::Deprioritised
        }
    }
}

/// Returns the rate that a target serves at its reported limit and latency, in subrequests per second.
fn requests_per_second(load: Load) -> u64 {
    u64::from(load.limit.max(1)) * 1_000_000 / u64::from(load.latency_us.max(1))
}

fn is_full(load: Load) -> bool {
    u64::from(load.queued) + u64::from(load.running)
        >= FULL_LOAD_FACTOR * u64::from(load.limit.max(1))
}

/// Returns whether a target has at least as many queued and running requests as its limit.
///
/// Of two replicas, a busy one gets a quarter of the subrequests rather than none. Reported loads are up to
/// one exchange period old, which is much longer than a service time: if the less loaded replica got all
/// subrequests, its queue would fill until the next report, and the replicas would swap roles.
fn is_busy(load: Load) -> bool {
    u64::from(load.queued) + u64::from(load.running) >= u64::from(load.limit.max(1))
}

/// Hashes a seed and a target key to a uniformly distributed number (the finaliser of `SplitMix64`).
const fn mix(seed: u64, key: TargetKey) -> u64 {
    let mut value = seed ^ (key.position() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
