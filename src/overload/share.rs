//! Divides a limited rate of queries among urgencies, tenants and kinds of requests.
//!
//! Loads that it answers: more queries than the targets can run, a tenant that sends several times its usual rate, and
//! a burst of one kind of request. The rules are in `docs/design/overload.md`:
//!
//! - The less urgent is refused first.
//! - Queries of a tenant beyond its usual rate come after those of all others, and queries of a kind beyond its usual
//!   rate after the others of the same urgency.
//! - Each kind and each tenant is served at least [`FLOOR`] times as often as all queries together.
//!
//! Queries are put into turns by these rules. The rate goes to the turns in their order, as far as their queries of the
//! last second ask for it; the turn at which it ends gets the rest, divided at random. What the estimates miss is held in
//! a balance and corrected in the following half second.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::tenancy::{Sender, Urgency};
use crate::time::Moment;
use crate::version::route::Route;

/// Each kind and each tenant is served at least this share as often as all queries together. The requirement is a
/// quarter. The difference makes up for the time until the counts show a new load.
pub const FLOOR: f64 = 0.45;
/// The time over which it is counted how often kinds and tenants are served. With ten seconds, the counts from before a
/// load kept the floor from taking effect until it ended.
const TALLY_TIME: Duration = Duration::from_secs(3);
/// The time over which the usual rate of a kind or tenant is taken. A tenant that sends nine times its usual rate for
/// seven seconds raises its usual rate less than twofold.
const USUAL_TIME: Duration = Duration::from_mins(1);
/// A kind or tenant may send this multiple of its usual rate without coming after the others.
const USUAL_TOLERANCE: f64 = 1.1;
/// Queries that a kind or tenant may send at once without coming after the others, in addition to one second's.
/// Arrivals are random, and a small tenant may send all queries of a minute in a second.
const USUAL_BURST: f64 = 5.0;
/// The time over which the demand of each turn is taken.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// The time within which queries that ran beyond the rate, or below it, are made up for.
const CORRECTION_TIME: Duration = Duration::from_millis(500);
/// Time of the rate by which the queries that ran may exceed it at most, and by which they may be owed.
const BALANCE_TIME: Duration = Duration::from_millis(500);
/// The same in queries, if that is more, so that low rates leave room for the randomness of arrivals.
const BALANCE_MIN: f64 = 4.0;
/// A demand below this rate, in queries per second, is forgotten.
const DEMAND_MIN: f64 = 0.01;
/// Maximum number of kinds, and of tenants, that are counted. When it is reached, those without a query for
/// [`USUAL_TIME`] are dropped, and if there are none, all are.
const ACCOUNTS_MAX: usize = 4_096;

/// What a request states when it asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// How urgent it is.
    pub urgency: Urgency,
    /// The name of the tenant, empty for all requests of nobody known; absent if there are no tenants.
    pub tenant: Option<Arc<str>>,
    /// The kind of request, which is the name of its route.
    pub kind: Arc<str>,
}

impl Claim {
    /// Returns the claim of a request.
    pub fn new(route: &Route, sender: &Sender) -> Self {
        let tenant = sender.tenant();
        Self {
            urgency: Urgency::new(tenant.map(|tenant| &**tenant), route.priority),
            tenant: match sender {
                Sender::Undeclared => None,
                Sender::Anonymous => Some(Arc::from("")),
                Sender::Tenant(tenant) => Some(Arc::clone(&tenant.name)),
            },
            kind: Arc::clone(&route.name),
        }
    }
}

/// When it is a query's turn; the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    tenant_exceeds: bool,
    urgency: Urgency,
    kind_exceeds: bool,
}

/// How many queries came and ran, with the older ones counting less.
#[derive(Debug, Clone, Copy)]
struct Tally {
    offered: f64,
    served: f64,
    at: Moment,
}

impl Tally {
    const fn new(now: Moment) -> Self {
        Self {
            offered: 0.0,
            served: 0.0,
            at: now,
        }
    }

    fn count_offered(&mut self, now: Moment) {
        let kept = decay(now.since(self.at), TALLY_TIME);
        self.offered = self.offered * kept + 1.0;
        self.served *= kept;
        self.at = now;
    }

    /// Returns the share that ran, which is 1 if none came.
    fn served_share(&self) -> f64 {
        if self.offered > 0.0 {
            self.served / self.offered
        } else {
            1.0
        }
    }
}

/// What is known of one kind or one tenant.
#[derive(Debug)]
struct Account {
    tally: Tally,
    /// Queries within [`USUAL_TIME`], with the older ones counting less; counted while the rate is not limited.
    usual: f64,
    /// How much of `usual` could have been counted, from 0 to 1.
    usual_known: f64,
    usual_at: Moment,
    /// Queries that may still come at once without exceeding the usual rate.
    allowance: f64,
    allowance_at: Moment,
}

impl Account {
    const fn new(now: Moment) -> Self {
        Self {
            tally: Tally::new(now),
            usual: 0.0,
            usual_known: 0.0,
            usual_at: now,
            allowance: USUAL_BURST,
            allowance_at: now,
        }
    }

    /// Returns the usual rate in queries per second; zero for a kind or tenant that came first under a limit.
    fn usual_rate(&self) -> f64 {
        if self.usual_known > 0.0 {
            self.usual / (USUAL_TIME.as_secs_f64() * self.usual_known)
        } else {
            0.0
        }
    }

    /// Counts a query that came. Returns whether it exceeds the usual rate, if the rate of all is limited.
    fn offer(&mut self, limited: bool, now: Moment) -> bool {
        self.tally.count_offered(now);
        let allowed_per_second = self.usual_rate() * USUAL_TOLERANCE;
        if !limited {
            let kept = decay(now.since(self.usual_at), USUAL_TIME);
            self.usual = self.usual * kept + 1.0;
            self.usual_known = 1.0 - (1.0 - self.usual_known) * kept;
            self.usual_at = now;
            self.allowance = USUAL_BURST + allowed_per_second;
            self.allowance_at = now;
            return false;
        }
        // What passes under a limit says nothing of the usual rate.
        self.usual_at = now;
        let gained = now.since(self.allowance_at).as_secs_f64() * allowed_per_second;
        self.allowance = (self.allowance + gained).min(USUAL_BURST + allowed_per_second);
        self.allowance_at = now;
        if self.allowance < 1.0 {
            return true;
        }
        self.allowance -= 1.0;
        false
    }

    /// Returns how many queries must run for this kind or tenant to be served [`FLOOR`] times as often as all.
    fn owed(&self, served_share_of_all: f64) -> f64 {
        FLOOR * served_share_of_all * self.tally.offered - self.tally.served
    }
}

/// Divides the rate of one destination.
#[derive(Debug)]
pub struct Share {
    /// Queries that may run now by the rate; negative if more have run.
    balance: f64,
    balance_at: Moment,
    limited: bool,
    /// All queries that came, and those that ran.
    offered: Demand,
    ran: Demand,
    all: Tally,
    /// The demand of each turn while the rate is limited.
    turns: BTreeMap<Turn, Demand>,
    kinds: HashMap<Arc<str>, Account>,
    tenants: HashMap<Arc<str>, Account>,
    random: Pcg32,
}

impl Share {
    /// Creates the division of a rate that is not limited yet.
    pub fn new(now: Moment, seed: u64) -> Self {
        Self {
            balance: 0.0,
            balance_at: now,
            limited: false,
            offered: Demand::new(now),
            ran: Demand::new(now),
            all: Tally::new(now),
            turns: BTreeMap::new(),
            kinds: HashMap::new(),
            tenants: HashMap::new(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Decides whether a query may run under a limit in queries per second, or without one.
    pub fn admit(&mut self, claim: &Claim, rate: Option<f64>, now: Moment) -> bool {
        self.all.count_offered(now);
        self.offered.count(now);
        let limited = rate.is_some();
        let kind = account(&mut self.kinds, &claim.kind, now);
        let kind_exceeds = kind.offer(limited, now);
        let served_share = self.all.served_share();
        let mut owed = kind.owed(served_share);
        let mut tenant_exceeds = false;
        if let Some(tenant) = &claim.tenant {
            let tenant = account(&mut self.tenants, tenant, now);
            tenant_exceeds = tenant.offer(limited, now);
            owed = owed.max(tenant.owed(served_share));
        }
        let admitted = match rate {
            None => true,
            Some(rate) => {
                self.credit(rate, now);
                let turn = Turn {
                    tenant_exceeds,
                    urgency: claim.urgency,
                    kind_exceeds,
                };
                let share = self.share_of(turn, rate, now).max(owed);
                self.balance > -balance_max(rate) && self.random.random::<f64>() < share
            }
        };
        self.limited = limited;
        if admitted {
            self.balance -= f64::from(u8::from(limited));
            self.ran.count(now);
            self.all.served += 1.0;
            account(&mut self.kinds, &claim.kind, now).tally.served += 1.0;
            if let Some(tenant) = &claim.tenant {
                account(&mut self.tenants, tenant, now).tally.served += 1.0;
            }
        }
        admitted
    }

    /// Returns the queries per second that came lately.
    pub fn offered_per_second(&self, now: Moment) -> f64 {
        self.offered.per_second(now)
    }

    /// Returns the queries per second that ran lately.
    pub fn ran_per_second(&self, now: Moment) -> f64 {
        self.ran.per_second(now)
    }

    /// Adds to the balance what the rate allows since the last query.
    fn credit(&mut self, rate: f64, now: Moment) {
        if self.limited {
            let gained = now.since(self.balance_at).as_secs_f64() * rate;
            self.balance = (self.balance + gained).min(balance_max(rate));
        } else {
            self.balance = 0.0;
            self.turns.clear();
        }
        self.balance_at = now;
    }

    /// Returns the share of the queries of a turn that run, from 0 to 1: what the earlier turns leave of the rate.
    fn share_of(&mut self, turn: Turn, rate: f64, now: Moment) -> f64 {
        self.turns
            .retain(|_, demand| demand.per_second(now) > DEMAND_MIN);
        let demand = self.turns.entry(turn).or_insert_with(|| Demand::new(now));
        demand.count(now);
        let own = demand.per_second(now);
        let earlier: f64 = self
            .turns
            .range(..turn)
            .map(|(_, demand)| demand.per_second(now))
            .sum();
        let room = rate + self.balance / CORRECTION_TIME.as_secs_f64();
        ((room - earlier) / own).clamp(0.0, 1.0)
    }
}

/// The queries of one turn within [`DEMAND_TIME`], with the older ones counting less.
#[derive(Debug)]
struct Demand {
    queries: f64,
    at: Moment,
}

impl Demand {
    const fn new(now: Moment) -> Self {
        Self {
            queries: 0.0,
            at: now,
        }
    }

    fn count(&mut self, now: Moment) {
        self.queries = self.queries * decay(now.since(self.at), DEMAND_TIME) + 1.0;
        self.at = now;
    }

    fn per_second(&self, now: Moment) -> f64 {
        self.queries * decay(now.since(self.at), DEMAND_TIME) / DEMAND_TIME.as_secs_f64()
    }
}

/// Returns the largest difference between the queries that ran and those that the rate allows.
fn balance_max(rate: f64) -> f64 {
    BALANCE_MIN.max(rate * BALANCE_TIME.as_secs_f64())
}

/// Returns the part that remains of a count after a time.
fn decay(passed: Duration, time: Duration) -> f64 {
    (-passed.as_secs_f64() / time.as_secs_f64()).exp()
}

/// Returns the account of a name, and makes room for it if there are too many.
fn account<'a>(
    accounts: &'a mut HashMap<Arc<str>, Account>,
    name: &Arc<str>,
    now: Moment,
) -> &'a mut Account {
    if accounts.len() >= ACCOUNTS_MAX && !accounts.contains_key(name) {
        accounts.retain(|_, account| now.since(account.tally.at) < USUAL_TIME);
        if accounts.len() >= ACCOUNTS_MAX {
            accounts.clear();
        }
    }
    accounts
        .entry(Arc::clone(name))
        .or_insert_with(|| Account::new(now))
}
