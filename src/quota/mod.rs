//! Quotas: limits on the rate of a tenant's requests that all nodes keep together, without a coordinator.
//!
//! Each node admits requests from a token bucket per tenant. The nodes divide the rate among them by the demand that
//! each of them announces in its heartbeats. See `docs/design/quotas.md` for the reasons why the parts do not exceed
//! the limit in sum.

mod bucket;
mod nodes;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use self::bucket::{Bucket, Part};
use self::nodes::Nodes;
pub use self::nodes::Standing;
use crate::time::Moment;

/// The limit on the requests of one tenant, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that the tenant may send; positive.
    pub per_second: f64,
    /// Requests that the tenant may send in addition at any time.
    pub burst: f64,
}

/// The bound on the requests of a tenant that all nodes together admit in any window.
///
/// They admit at most `(rate * window + burst) * (1 + overshoot) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The length of the window.
    pub window: Duration,
    /// The share of the quota that may be admitted in addition.
    pub overshoot: f64,
    /// The requests that may be admitted in addition.
    pub slack: f64,
}

impl Default for Bound {
    /// Returns the bound for settings that give none, which allows nothing beyond the quota.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.0,
            slack: 0.0,
        }
    }
}

/// The demand of one tenant at one node, as the node tells the others.
///
/// It is encoded as a list of its three numbers, in 14 bytes at most.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, f32, u16)", into = "(u32, f32, u16)")]
pub struct Demand {
    /// The hash of the tenant's name.
    pub tenant: u32,
    /// Requests per second that the tenant's callers send to the node, refused ones included.
    pub per_second: f32,
    /// The number of the tenant's requests that the node has admitted; it wraps around, and a new process starts at
    /// zero. A sum since the start tells all after a lost datagram.
    pub admitted: u16,
}

impl From<(u32, f32, u16)> for Demand {
    fn from((tenant, per_second, admitted): (u32, f32, u16)) -> Self {
        Self {
            tenant,
            per_second,
            admitted,
        }
    }
}

impl From<Demand> for (u32, f32, u16) {
    fn from(demand: Demand) -> Self {
        (demand.tenant, demand.per_second, demand.admitted)
    }
}

/// A refusal of a request beyond its tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Throttled {
    /// The time after which this node expects to have a token for the caller.
    pub retry_after: Duration,
}

/// The token that an admitted request has taken from the quota of its tenant.
///
/// Dropping it puts the token back if the request has not run. The future of a request may be dropped at any moment,
/// because its caller has left.
#[derive(Debug, Default)]
#[must_use = "a charge that is dropped puts its token back"]
pub struct Charge {
    returned: Arc<AtomicU32>,
    may_have_run: bool,
}

impl Charge {
    const fn open(returned: Arc<AtomicU32>) -> Self {
        Self {
            returned,
            may_have_run: false,
        }
    }

    /// Sets whether the request may have run, which spends the token.
    pub const fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.returned.fetch_add(1, Ordering::AcqRel);
        }
    }
}

/// Maximum number of tenants in a report. Together they take at most 398 of the 400 bytes that quotas have in a
/// datagram.
pub const REPORTED_TENANTS_MAX: usize = 28;
/// Announced demand below this many requests per second counts as none. A single request falls below it after 4 s.
const DEMAND_MIN: f64 = 0.02;
/// The share of the overshoot by which the divided rate exceeds the quota. It makes up for the small parts that nodes
/// without demand keep; the rest of the overshoot covers reports that arrive late.
const OVERSHOOT_RATE_SHARE: f64 = 0.3;
/// The share of the slack that is added to the burst. The rest covers the least token of each node, processes that
/// have started again, and nodes that join.
const SLACK_BURST_SHARE: f64 = 0.3;
/// The share of the rate that is divided evenly, so that a node whose demand is not announced yet has some part.
const EVEN_SHARE: f64 = 0.05;
/// A tenant whose demand exceeds its rate by more than this many requests per second counts as over its quota. One
/// request raises the smoothed demand by 1, and three that come together do not show more demand than usual.
const OVER_QUOTA_MARGIN: f64 = 3.0;
/// The tokens that all nodes together may borrow between two reports beside what their demand allows.
const LOANS_EVEN: f64 = 12.0;
/// How long a full bucket is kept without requests.
const BUCKET_EXPIRY: Duration = Duration::from_secs(30);
/// Maximum number of buckets; a settings document with more tenants shares the memory of those asked last.
const BUCKETS_MAX: usize = 8_192;

/// The quotas of a node: its token buckets, and what it knows of the demand at the other nodes.
#[derive(Debug)]
pub struct Quotas {
    bound: Bound,
    nodes: Nodes,
    buckets: HashMap<Arc<str>, Bucket>,
    /// What this node announced last, by which it divides like all others.
    announced: HashMap<u32, f64>,
    started_at: Moment,
    random: Pcg32,
}

impl Quotas {
    /// Creates the quotas of a node that has just started. `nodes_expected` is the number of nodes that may serve
    /// callers, which counts until the first of them is heard.
    pub fn open(bound: Bound, nodes_expected: usize, seed: u64, now: Moment) -> Self {
        Self {
            bound,
            nodes: Nodes::open(nodes_expected, now),
            buckets: HashMap::new(),
            announced: HashMap::new(),
            started_at: now,
            random: Pcg32::new(seed, 0xa02_bdbf_7bb3_c0a7),
        }
    }

    /// Replaces the bound; buckets keep their tokens as far as they have room for them.
    pub const fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Admits a request of a tenant, or tells when to try again.
    pub fn admit(
        &mut self,
        tenant: &Arc<str>,
        limit: Limit,
        now: Moment,
    ) -> Result<Charge, Throttled> {
        let hash = tenant_hash(tenant);
        if !self.buckets.contains_key(tenant) {
            self.make_room();
            let part = self.part(hash, limit, self.announced(hash), now);
            let bucket = Bucket::open(hash, limit, part, now.since(self.started_at), now);
            self.buckets.insert(Arc::clone(tenant), bucket);
        }
        let part = self.part(hash, limit, self.announced(hash), now);
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Ok(Charge::default());
        };
        bucket.refill(limit, part, now, &mut self.random);
        bucket.count_demand(now);
        if bucket.try_withdraw() || bucket.try_borrow(part) {
            return Ok(bucket.charge());
        }
        // The share that the others will grant once they know of this demand.
        let demand = bucket.demand(now);
        let next_part = self.part(hash, limit, demand.max(self.announced(hash)), now);
        let rate = part.per_second.max(next_part.per_second);
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Ok(Charge::default());
        };
        Err(Throttled {
            retry_after: bucket.promise(rate, now, &mut self.random),
        })
    }

    /// Returns what this node announces in its next heartbeats, the tenants nearest to their limit first. What does not
    /// fit is left out and counts as no demand, for this node as for the others.
    pub fn report(&mut self, now: Moment) -> Vec<Demand> {
        let mut nearest: Vec<(f64, Demand)> = self
            .buckets
            .values()
            .filter_map(|bucket| {
                let own = bucket.demand(now);
                let total = own + self.nodes.demand(bucket.tenant());
                (own >= DEMAND_MIN).then_some((
                    total / bucket.limit().per_second,
                    Demand {
                        tenant: bucket.tenant(),
                        per_second: own as f32,
                        admitted: bucket.admitted_count(),
                    },
                ))
            })
            .collect();
        nearest.sort_by(|a, b| {
            b.0.total_cmp(&a.0)
                .then_with(|| a.1.tenant.cmp(&b.1.tenant))
        });
        nearest.truncate(REPORTED_TENANTS_MAX);
        let demands: Vec<Demand> = nearest.into_iter().map(|(_, demand)| demand).collect();
        // Tokens for the time until now belong to the shares announced before.
        self.refill(|_| true, now);
        self.announced = demands
            .iter()
            .map(|demand| (demand.tenant, f64::from(demand.per_second)))
            .collect();
        let mut buckets = std::mem::take(&mut self.buckets);
        for bucket in buckets.values_mut() {
            let tenant = bucket.tenant();
            let part = self.part(tenant, bucket.limit(), self.announced(tenant), now);
            bucket.allow_loans(part);
        }
        self.buckets = buckets;
        demands
    }

    /// Records the report of another node, also an empty one, which shows that the node can be heard.
    pub fn record(&mut self, node: &str, demands: &[Demand], now: Moment) {
        let affected: HashSet<u32> = self
            .nodes
            .tenants_of(node)
            .chain(demands.iter().map(|demand| demand.tenant))
            .collect();
        self.refill(|tenant| affected.contains(&tenant), now);
        let admitted = self.nodes.record(node, demands, now);
        for bucket in self.buckets.values_mut() {
            if let Some(&admitted) = admitted.get(&bucket.tenant()) {
                bucket.spend_elsewhere(admitted);
            }
        }
    }

    /// Sets which other nodes serve callers and whether this one does. `others_known` is the number of all other nodes
    /// that are known, heard or not. Returns the standing of this node if it has changed.
    pub fn set_nodes<'a, N>(
        &mut self,
        serving: N,
        serves: bool,
        others_known: usize,
        now: Moment,
    ) -> Option<Standing>
    where
        N: Iterator<Item = &'a str>,
    {
        self.refill(|_| true, now);
        self.buckets
            .retain(|_, bucket| !bucket.is_idle(now, BUCKET_EXPIRY));
        self.nodes.update(serving, serves, others_known, now)
    }

    /// Returns, for each tenant with requests since the last call, the share of this node's part of the quota that
    /// they took.
    pub fn take_usage(&mut self) -> Vec<f64> {
        let buckets = self.buckets.values_mut();
        buckets.filter_map(Bucket::take_usage).collect()
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the demand of a tenant that this node announced last.
    fn announced(&self, tenant: u32) -> f64 {
        self.announced.get(&tenant).copied().unwrap_or_default()
    }

    /// Brings the buckets of some tenants to the present, before their shares change.
    fn refill<F>(&mut self, is_affected: F, now: Moment)
    where
        F: Fn(u32) -> bool,
    {
        let mut buckets = std::mem::take(&mut self.buckets);
        for bucket in buckets.values_mut() {
            let tenant = bucket.tenant();
            if is_affected(tenant) {
                let part = self.part(tenant, bucket.limit(), self.announced(tenant), now);
                bucket.refill(bucket.limit(), part, now, &mut self.random);
            }
        }
        self.buckets = buckets;
    }

    /// Returns this node's part of a tenant's quota if its own demand were `own`.
    fn part(&self, tenant: u32, limit: Limit, own: f64, now: Moment) -> Part {
        let even = EVEN_SHARE * limit.per_second;
        let (share, total) = self.nodes.share(tenant, own, even, now);
        let rate = limit.per_second * (1.0 + OVERSHOOT_RATE_SHARE * self.bound.overshoot);
        Part {
            share,
            per_second: rate * share,
            capacity: share * (limit.burst + SLACK_BURST_SHARE * self.bound.slack),
            common_per_second: limit.per_second * self.nodes.heard_share(now),
            common_capacity: limit.burst + SLACK_BURST_SHARE * self.bound.slack,
            loans_min: (LOANS_EVEN / self.nodes.member_count()).max(1.0),
            demand_elsewhere: total - own,
            is_over_quota: total > limit.per_second + OVER_QUOTA_MARGIN,
            window: self.bound.window,
        }
    }

    /// Removes the bucket that was asked for longest ago, if there are too many.
    fn make_room(&mut self) {
        if self.buckets.len() < BUCKETS_MAX {
            return;
        }
        let oldest = self
            .buckets
            .iter()
            .min_by_key(|(_, bucket)| bucket.last_request());
        if let Some(oldest) = oldest.map(|(tenant, _)| Arc::clone(tenant)) {
            self.buckets.remove(&oldest);
        }
    }
}

/// Returns the hash of a tenant's name that reports carry.
fn tenant_hash(tenant: &str) -> u32 {
    xxh3_64(tenant.as_bytes()) as u32
}
