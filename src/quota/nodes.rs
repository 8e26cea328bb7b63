//! The nodes among which quotas are divided, and the share of this one.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use derive_more::Display;

use super::Demand;
use crate::time::Moment;

/// A node counts as heard for this time after its last heartbeat, of which there are three in a second.
const HEARD_PERIOD: Duration = Duration::from_secs(1);
/// How long a node that is heard keeps its part after it has left the serving nodes.
const RELEASE_DELAY: Duration = Duration::from_secs(2);
/// How long a silent node keeps its part. It may be cut off from the others and serve callers all the same, so its part
/// is divided only when it has long used no more than [`LONG_MINORITY_SHARE`] of it.
const SILENT_RELEASE_DELAY: Duration = Duration::from_secs(30);
/// How long a node without a majority uses a whole even part.
const MINORITY_PERIOD: Duration = Duration::from_secs(25);
/// The part of an even share that a node uses after [`MINORITY_PERIOD`]. Fewer than half of the nodes are cut off from
/// a majority, so all of them together use less than 0.15 of the quota.
const LONG_MINORITY_SHARE: f64 = 0.3;
/// How long a node that has started to serve uses no more than an even part. Within this time all nodes know it.
const JOIN_PERIOD: Duration = Duration::from_millis(1_500);
/// How long a node that knows no other node takes the expected number of nodes for the true one.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(10);
/// The most nodes that are expected before any is heard. No deployment elects more to serve callers.
const EXPECTED_NODES_MAX: usize = 24;
/// The part of an even share that a node uses while it does not serve callers. Only a few requests reach such nodes.
const STANDBY_SHARE: f64 = 0.1;

/// Maximum number of tenants whose counts are kept for each node; beyond it, they start anew.
const COUNTS_MAX: usize = 2_048;

/// How a node divides quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Standing {
    /// It hears most of the serving nodes and divides by demand.
    #[display("majority")]
    Majority,
    /// It hears at most half of them and uses an even part only.
    #[display("minority")]
    Minority,
    /// It has just begun to serve and uses an even part only.
    #[display("joining")]
    Joining,
    /// It does not serve callers and uses a small part.
    #[display("standby")]
    Standby,
}

/// Another node that serves callers, or did lately.
#[derive(Debug)]
struct Member {
    /// When it was last among the serving nodes.
    listed_at: Moment,
}

/// What another node has reported.
#[derive(Debug)]
struct Heard {
    at: Moment,
    demands: HashMap<u32, f64>,
    /// The last count of admitted requests of each tenant.
    counts: HashMap<u32, u16>,
}

/// The nodes among which quotas are divided.
#[derive(Debug)]
pub(super) struct Nodes {
    members: BTreeMap<String, Member>,
    heard: BTreeMap<String, Heard>,
    standing: Standing,
    /// Since when this node serves callers.
    serving_since: Option<Moment>,
    /// Since when this node has heard less than half of the members, so that others may be a majority.
    outnumbered_since: Option<Moment>,
    /// The number of members that are heard.
    heard_members: usize,
    /// The demand of each tenant at the members that are heard.
    totals: HashMap<u32, f64>,
    expected: usize,
    others_known: usize,
    /// Whether another serving node has ever been heard.
    has_heard: bool,
    started_at: Moment,
    now: Moment,
}

impl Nodes {
    pub(super) fn open(expected: usize, now: Moment) -> Self {
        Self {
            members: BTreeMap::new(),
            heard: BTreeMap::new(),
            standing: Standing::Joining,
            serving_since: None,
            outnumbered_since: None,
            heard_members: 0,
            totals: HashMap::new(),
            expected: expected.clamp(1, EXPECTED_NODES_MAX),
            others_known: 0,
            has_heard: false,
            started_at: now,
            now,
        }
    }

    /// Records that a node was heard, and its demands. Returns how many requests of each tenant it has admitted since
    /// its last report of the tenant.
    pub(super) fn record(
        &mut self,
        node: &str,
        demands: &[Demand],
        now: Moment,
    ) -> HashMap<u32, u16> {
        let mut counts = self
            .heard
            .remove(node)
            .map(|it| it.counts)
            .unwrap_or_default();
        if counts.len() > COUNTS_MAX {
            counts.clear();
        }
        let admitted = demands
            .iter()
            .map(|demand| {
                // After a start of either process, the requests of about the last second count.
                let recent = (demand.per_second.ceil() as u16).min(demand.admitted);
                let previous = counts.insert(demand.tenant, demand.admitted);
                let since = previous.map(|previous| demand.admitted.wrapping_sub(previous));
                let is_continued = since.filter(|since| *since < u16::MAX / 2);
                (demand.tenant, is_continued.unwrap_or(recent))
            })
            .collect();
        let demands = demands
            .iter()
            .map(|demand| (demand.tenant, f64::from(demand.per_second)))
            .filter(|(_, per_second)| per_second.is_finite() && *per_second > 0.0)
            .collect();
        self.heard.insert(
            node.to_owned(),
            Heard {
                at: now,
                demands,
                counts,
            },
        );
        self.sum_demands();
        admitted
    }

    /// Returns the tenants in the last report of a node.
    pub(super) fn tenants_of(&self, node: &str) -> impl Iterator<Item = u32> {
        let heard = self.heard.get(node);
        heard.into_iter().flat_map(|it| it.demands.keys().copied())
    }

    /// Computes the demand of each tenant at the members that are heard, as of the last update.
    fn sum_demands(&mut self) {
        self.totals.clear();
        for (name, heard) in &self.heard {
            if self.members.contains_key(name) && self.now.since(heard.at) < HEARD_PERIOD {
                for (&tenant, per_second) in &heard.demands {
                    *self.totals.entry(tenant).or_default() += per_second;
                }
            }
        }
    }

    /// Sets the serving nodes, and returns the standing of this node if it has changed.
    pub(super) fn update<'a, N>(
        &mut self,
        serving: N,
        serves: bool,
        others_known: usize,
        now: Moment,
    ) -> Option<Standing>
    where
        N: Iterator<Item = &'a str>,
    {
        self.now = now;
        self.others_known = others_known;
        for name in serving {
            if let Some(member) = self.members.get_mut(name) {
                member.listed_at = now;
            } else {
                let member = Member { listed_at: now };
                self.members.insert(name.to_owned(), member);
            }
        }
        let heard = &mut self.heard;
        let is_heard = |heard: &BTreeMap<String, Heard>, name: &str| {
            heard
                .get(name)
                .is_some_and(|it| now.since(it.at) < HEARD_PERIOD)
        };
        self.heard_members = self
            .members
            .keys()
            .filter(|name| is_heard(heard, name))
            .count();
        self.has_heard |= self.heard_members > 0;
        let has_majority = 2 * (self.heard_members + 1) > self.members.len() + 1;
        // A node that hears no majority cannot tell failed nodes from those that it is cut off from, which may use the
        // whole quota. It keeps all of them, except nodes that are heard and have left the serving nodes.
        self.members.retain(|name, member| {
            let left_for = now.since(member.listed_at);
            let heard_since = heard
                .get(name)
                .is_some_and(|it| it.at > member.listed_at + HEARD_PERIOD);
            let is_released = heard_since && left_for >= RELEASE_DELAY
                || has_majority && left_for >= SILENT_RELEASE_DELAY;
            !is_released
        });
        let members = &self.members;
        heard.retain(|name, it| members.contains_key(name) || now.since(it.at) < 2 * RELEASE_DELAY);
        self.heard_members = members.keys().filter(|name| is_heard(heard, name)).count();
        self.serving_since = serves.then(|| self.serving_since.unwrap_or(now));
        let has_majority = 2 * (self.heard_members + 1) > self.members.len() + 1;
        let standing = match self.serving_since {
            None => Standing::Standby,
            Some(since) if now.since(since) < JOIN_PERIOD => Standing::Joining,
            Some(_) if has_majority && !self.is_alone_unproved() => Standing::Majority,
            Some(_) => Standing::Minority,
        };
        self.sum_demands();
        let is_outnumbered = 2 * (self.heard_members + 1) < self.members.len() + 1;
        self.outnumbered_since = (standing == Standing::Minority && is_outnumbered)
            .then(|| self.outnumbered_since.unwrap_or(now));
        let previous = std::mem::replace(&mut self.standing, standing);
        (previous != standing).then_some(standing)
    }

    /// Returns the announced demand of a tenant at the members that are heard.
    pub(super) fn demand(&self, tenant: u32) -> f64 {
        self.totals.get(&tenant).copied().unwrap_or_default()
    }

    /// Returns the share of a tenant's quota that belongs to this node with the demand `own`, and the demand of the
    /// tenant at all nodes that are heard. `even` is demand that is counted for all nodes together in addition.
    ///
    /// A process that has not updated its nodes for some time was paused, and others may use its part.
    pub(super) fn share(&self, tenant: u32, own: f64, even: f64, now: Moment) -> (f64, f64) {
        let total = own + self.demand(tenant);
        let members = self.member_count();
        let even_share = 1.0 / members;
        let share = match self.standing {
            Standing::Majority if now.since(self.now) >= HEARD_PERIOD => even_share,
            Standing::Standby => even_share * STANDBY_SHARE,
            Standing::Joining | Standing::Minority => match self.outnumbered_since {
                Some(since) if now.since(since) >= MINORITY_PERIOD => {
                    even_share * LONG_MINORITY_SHARE
                }
                _ => even_share,
            },
            Standing::Majority => {
                let heard = self.heard_members as f64 + 1.0;
                let floor = even / heard;
                heard / members * (own + floor) / (total + even).max(f64::MIN_POSITIVE)
            }
        };
        (share, total)
    }

    /// Returns the share of the quotas that the nodes have together which this one hears; zero without a majority.
    pub(super) fn heard_share(&self, now: Moment) -> f64 {
        if self.standing == Standing::Majority && now.since(self.now) < HEARD_PERIOD {
            (self.heard_members as f64 + 1.0) / self.member_count()
        } else {
            0.0
        }
    }

    /// Returns the number of nodes that divide quotas, this one included.
    pub(super) fn member_count(&self) -> f64 {
        let members = self.members.len() + 1;
        let expected = if self.has_heard {
            1
        } else if self.others_known > 0 {
            (self.others_known + 1).min(EXPECTED_NODES_MAX)
        } else if self.now.since(self.started_at) < DISCOVERY_PERIOD {
            self.expected
        } else {
            1
        };
        members.max(expected) as f64
    }

    /// Tells whether this node hears no other node, although there may be some.
    fn is_alone_unproved(&self) -> bool {
        !self.has_heard && self.member_count() > 1.0
    }
}
