//! The token bucket of one tenant at one node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rand::Rng;

use super::{Charge, Limit};
use crate::time::Moment;

/// The time over which demand is smoothed.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// The longest time for which tokens are promised to refused callers one after the other. Callers that are told to come
/// back later than that rarely do, and their slots would delay all that follow.
const PROMISES_MAX: Duration = Duration::from_secs(4);
/// The time of the first retry at the earliest, so that a caller does not come back before its demand is announced.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// The longest time that a refused caller is told to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(1);

/// A node's part of the quota of one tenant.
#[derive(Debug, Clone, Copy)]
pub(super) struct Part {
    /// The share of the quota.
    pub(super) share: f64,
    /// Tokens per second.
    pub(super) per_second: f64,
    /// The part of the burst, in tokens; a bucket holds at least one all the same.
    pub(super) capacity: f64,
    /// Tokens per second that all nodes which hear each other get together; zero if this node may not borrow.
    pub(super) common_per_second: f64,
    /// The most tokens that all nodes have together.
    pub(super) common_capacity: f64,
    /// The part of the common tokens that a node may borrow between two reports whatever its demand, in tokens.
    pub(super) loans_min: f64,
    /// The demand at the other nodes, in requests per second.
    pub(super) demand_elsewhere: f64,
    /// Whether the tenant sends more than its quota to all nodes together.
    pub(super) is_over_quota: bool,
    /// The window of the bound.
    pub(super) window: Duration,
}

impl Part {
    /// Returns the most tokens that the bucket holds. Less than one would never admit a request.
    const fn tokens_max(self) -> f64 {
        self.capacity.max(1.0)
    }
}

/// The token bucket of one tenant at one node.
#[derive(Debug)]
pub(super) struct Bucket {
    tenant: u32,
    limit: Limit,
    tokens: f64,
    tokens_max: f64,
    /// The tokens that all nodes have together, as far as this node knows: what they have admitted is subtracted when
    /// they report it. Negative after more was admitted than this node knew.
    common: f64,
    /// The tokens that this node may still borrow from the common ones before its next report.
    loans: f64,
    is_over_quota: bool,
    refilled_at: Moment,
    /// The smoothed demand in requests per second, as of `demand_at`.
    demand: f64,
    demand_at: Moment,
    /// When the token is due that the last refused caller was told to wait for.
    promised_until: Moment,
    /// The number of admitted requests that is reported, and the admitted ones that have not run and are not
    /// subtracted from it yet.
    admitted_count: u16,
    refunds: u16,
    /// The tokens that dropped charges have put back since the last call of [`refill`](Self::refill).
    returned: Arc<AtomicU32>,
    /// The requests admitted and the tokens that the part has given, since the last call of
    /// [`take_usage`](Self::take_usage).
    admitted: u32,
    given: f64,
}

impl Bucket {
    /// Creates the bucket of a tenant for a process that has run for `uptime`.
    ///
    /// A process starts with one token, because the previous process may have spent a whole bucket, and the others come in
    /// at the node's rate. So does a node to which the callers of a tenant above its quota move: other nodes have spent
    /// what a full bucket would hold.
    pub(super) fn open(
        tenant: u32,
        limit: Limit,
        part: Part,
        uptime: Duration,
        now: Moment,
    ) -> Self {
        let full = part.tokens_max();
        let tokens = if part.is_over_quota {
            1.0
        } else if uptime < part.window {
            (1.0 + part.per_second * uptime.as_secs_f64()).min(full)
        } else {
            full
        };
        // The other nodes have admitted at most what they were asked for in the last second, and tokens for what they
        // admitted before have come in if the tenant is below its quota.
        let common = if uptime < part.window {
            0.0
        } else {
            let spent = part.demand_elsewhere * DEMAND_PERIOD.as_secs_f64();
            (part.common_capacity - spent).max(0.0)
        };
        Self {
            tenant,
            limit,
            tokens,
            tokens_max: full,
            common,
            loans: part.loans_min,
            is_over_quota: false,
            refilled_at: now,
            demand: 0.0,
            demand_at: now,
            promised_until: now,
            admitted_count: 0,
            refunds: 0,
            returned: Arc::default(),
            admitted: 0,
            given: 0.0,
        }
    }

    pub(super) const fn tenant(&self) -> u32 {
        self.tenant
    }

    pub(super) const fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns when the last request came.
    pub(super) const fn last_request(&self) -> Moment {
        self.demand_at
    }

    /// Adds the tokens of the time since the last call, under the part and the limit that hold now, and those that have
    /// been put back.
    pub(super) fn refill<R>(&mut self, limit: Limit, part: Part, now: Moment, random: &mut R)
    where
        R: Rng,
    {
        let full = part.tokens_max();
        for _ in 0..self.returned.swap(0, Ordering::AcqRel) {
            self.refund();
        }
        if limit != self.limit {
            // Tokens of a higher limit must not be spent under a lower one.
            let scale = (full / self.tokens_max).min(1.0);
            self.tokens *= scale;
            self.limit = limit;
        }
        self.tokens_max = full;
        let given = part.per_second * now.since(self.refilled_at).as_secs_f64();
        self.given += given;
        self.tokens = (self.tokens + given).min(full);
        let given = part.common_per_second * now.since(self.refilled_at).as_secs_f64();
        self.common = (self.common + given).min(part.common_capacity.max(1.0));
        self.refilled_at = self.refilled_at.max(now);
        if part.is_over_quota && !self.is_over_quota {
            // The least token of each node is for tenants below their quota, whose callers may come to any node. With
            // all of them together, a tenant above its quota would get a second burst.
            let kept = part.capacity.max(random.random::<f64>());
            self.tokens = self.tokens.min(kept);
        }
        self.is_over_quota = part.is_over_quota;
    }

    /// Counts a request of the tenant, admitted or not.
    pub(super) fn count_demand(&mut self, now: Moment) {
        self.demand = self.demand(now) + 1.0 / DEMAND_PERIOD.as_secs_f64();
        self.demand_at = now;
    }

    /// Returns the smoothed demand in requests per second.
    pub(super) fn demand(&self, now: Moment) -> f64 {
        let periods = now.since(self.demand_at).as_secs_f64() / DEMAND_PERIOD.as_secs_f64();
        self.demand * (-periods).exp()
    }

    /// Returns the charge of a request that has taken a token.
    pub(super) fn charge(&self) -> Charge {
        Charge::open(Arc::clone(&self.returned))
    }

    /// Takes a token if there is one.
    pub(super) fn try_withdraw(&mut self) -> bool {
        // Without the tolerance, a rounding error could refuse a caller that comes back exactly when it was told to.
        if self.tokens < 1.0 - 1e-6 {
            return false;
        }
        self.tokens -= 1.0;
        self.count_admitted();
        true
    }

    /// Takes one of the tokens that other nodes have, if they do not need all of them.
    ///
    /// A tenant below its quota leaves tokens at nodes that its callers do not use just now. Until the others know of
    /// a loan they may spend the same token, so each node borrows no more than its share between two reports.
    pub(super) fn try_borrow(&mut self, part: Part) -> bool {
        if part.common_per_second <= 0.0 || self.common < 1.0 || self.loans < 1.0 {
            return false;
        }
        self.loans -= 1.0;
        self.count_admitted();
        true
    }

    /// Sets how many tokens this node may borrow until its next report: its share of the common ones, as far as its own
    /// bucket does not hold them.
    pub(super) const fn allow_loans(&mut self, part: Part) {
        self.loans = (self.common * part.share - self.tokens).max(part.loans_min);
    }

    /// Subtracts the requests that another node has admitted.
    pub(super) fn spend_elsewhere(&mut self, admitted: u16) {
        self.common -= f64::from(admitted);
    }

    /// Returns the number of admitted requests that is reported.
    pub(super) const fn admitted_count(&self) -> u16 {
        self.admitted_count
    }

    const fn count_admitted(&mut self) {
        self.common -= 1.0;
        self.admitted += 1;
        if self.refunds > 0 {
            self.refunds -= 1;
        } else {
            self.admitted_count = self.admitted_count.wrapping_add(1);
        }
    }

    /// Puts back the token of a request that has not run.
    const fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.tokens_max);
        self.common += 1.0;
        self.admitted = self.admitted.saturating_sub(1);
        self.refunds = self.refunds.saturating_add(1);
    }

    /// Returns how long a refused caller should wait for its token, behind those refused before it.
    pub(super) fn promise<R>(&mut self, per_second: f64, now: Moment, random: &mut R) -> Duration
    where
        R: Rng,
    {
        let interval = Duration::try_from_secs_f64(1.0 / per_second)
            .unwrap_or(RETRY_AFTER_MAX)
            .min(RETRY_AFTER_MAX);
        let first = now + interval.mul_f64((1.0 - self.tokens).clamp(0.0, 1.0));
        let slot = first.max(self.promised_until + interval);
        let wait = now.until(slot);
        if wait > PROMISES_MAX.max(interval) {
            let latest = 2 * PROMISES_MAX.max(interval);
            return random.random_range(latest / 2..latest).min(RETRY_AFTER_MAX);
        }
        self.promised_until = slot;
        wait.max(RETRY_AFTER_MIN)
    }

    /// Tells whether the bucket is full and has had no request for a time.
    pub(super) fn is_idle(&self, now: Moment, expiry: Duration) -> bool {
        self.tokens >= self.tokens_max && now.since(self.demand_at) >= expiry
    }

    /// Returns the share of the tokens given since the last call that requests have taken; `None` without requests.
    pub(super) fn take_usage(&mut self) -> Option<f64> {
        let (admitted, given) = (self.admitted, self.given);
        (self.admitted, self.given) = (0, 0.0);
        (admitted > 0).then(|| f64::from(admitted) / given.max(f64::MIN_POSITIVE))
    }
}
