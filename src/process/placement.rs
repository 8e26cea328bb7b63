//! Where a subrequest goes: the choice among the targets of a service by what this node has observed.
//!
//! It answers the load of today, in which every node may reach every target: pauses of a few hundred
//! milliseconds, targets that turn slow, fail, refuse or fall silent, and no observation of it but the subrequests
//! of this node. It uses no clock, socket or global random number generator. See
//! `docs/decisions/008-platform.md`.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;
use slotmap::SecondaryMap;

use super::budget::Budget;
use super::registry::{Effect, Effects, Registry, Target, TargetKey};
use super::warmup::Warmup;
use crate::time::Moment;
use crate::version::item::TargetReport;
use crate::version::route::Table;

/// The weight of one latency in a target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// The time in which an observation loses half of its weight, so that a target that was slow is tried
/// again. Slow spells last several seconds.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(3);
/// The weight of one result in a target's error rate.
const ERROR_WEIGHT: f64 = 0.2;
/// What a certain error costs: about a second subrequest after the first one failed.
const ERROR_COST: Duration = Duration::from_millis(200);
/// What the way to another data centre costs beside its latency, because its bytes are paid for.
const CROSS_DATA_CENTRE_COST: Duration = Duration::from_millis(5);
/// The pause before the first probe of a target that could not be reached.
const UNREACHABLE_PROBE_BACKOFF_MIN: Duration = Duration::from_millis(250);
/// The longest pause between probes of such a target.
const UNREACHABLE_PROBE_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// How long a target may stay silent before it is probed. Pauses end sooner than this.
const SILENT_PROBE_BACKOFF_MIN: Duration = Duration::from_millis(700);
/// The longest pause between probes of a silent target.
const SILENT_PROBE_BACKOFF_MAX: Duration = Duration::from_millis(2_800);
/// How long a probe of a target that lives takes at most, with the wait for the next round of probes.
const PROBE_DURATION_MAX: Duration = Duration::from_millis(100);
/// Probes that begin at once at most; a crash of many targets must not take the processor from requests.
const PROBES_PER_ROUND_MAX: usize = 32;
/// How long a target gets nothing after it cut a new connection, which it does when it has too many.
const CONNECTION_CUT_BACKOFF: Duration = Duration::from_millis(100);
/// Nodes that are assumed after a start, before the others have been heard: connections of runs that
/// lost power still count at the targets.
const ASSUMED_NODES_AT_START: usize = 24;
/// The part of the cost that is drawn at random, so that nodes do not choose alike.
const COST_JITTER: f64 = 0.15;

/// The targets with what this node has seen of them.
#[derive(Debug)]
pub struct Placement {
    /// The targets that the store names.
    pub registry: Registry,
    /// The budget for extra subrequests.
    pub budget: Budget,
    /// The rates of cold targets.
    pub warmup: Warmup,
    data_centre: Arc<str>,
    health: SecondaryMap<TargetKey, Health>,
    node_count: usize,
    random: Pcg32,
}

/// What a node has seen of a target.
#[derive(Debug, Clone, Copy)]
struct Health {
    /// Subrequests without a result.
    in_flight: u32,
    /// Latencies in proportion to what their routes expect.
    slowness: f64,
    /// The part of subrequests that failed.
    error_rate: f64,
    updated_at: Moment,
    /// Since when a subrequest has been overdue or refused a connection, without an answer since.
    stalled_since: Option<Moment>,
    /// Whether the last attempt at a connection failed.
    unreachable: bool,
    /// Whether a probe has reached it and no subrequest has been answered since.
    half_open: bool,
    /// When it is probed next, while it is stalled.
    next_probe: Moment,
    /// The pause before that probe; it doubles with each one until the target answers.
    probe_backoff: Duration,
    /// Until when it gets nothing because it cut a connection.
    avoid_until: Moment,
}

impl Health {
    const fn new(now: Moment) -> Self {
        Self {
            in_flight: 0,
            slowness: 1.0,
            error_rate: 0.0,
            updated_at: now,
            stalled_since: None,
            unreachable: false,
            half_open: false,
            next_probe: Moment::NEVER,
            probe_backoff: Duration::ZERO,
            avoid_until: Moment::ZERO,
        }
    }

    /// Notes that the target gives no answer; it is probed after the pause, or a longer one if it has been
    /// probed in vain.
    fn mark_stalled(&mut self, backoff: Duration, now: Moment) {
        if self.stalled_since.is_none() {
            self.stalled_since = Some(now);
            self.probe_backoff = self.probe_backoff.max(backoff);
            self.next_probe = now + self.probe_backoff;
        }
    }

    /// Notes that the target gave a observation of life.
    const fn mark_alive(&mut self) {
        self.stalled_since = None;
        self.unreachable = false;
        self.half_open = false;
        self.probe_backoff = Duration::ZERO;
    }

    /// Returns how willingly the target is used.
    const fn class(&self) -> Class {
        // After a probe, one subrequest shows whether the target also answers.
        if self.stalled_since.is_some() || (self.half_open && self.in_flight > 0) {
            Class::Stalled
        } else {
            Class::Responsive
        }
    }

    /// Lets old observations fade.
    fn decay(&mut self, now: Moment) {
        let remaining_weight = 0.5_f64
            .powf(now.since(self.updated_at).as_secs_f64() / OBSERVATION_HALF_LIFE.as_secs_f64());
        self.slowness = 1.0 + (self.slowness - 1.0) * remaining_weight;
        self.error_rate *= remaining_weight;
        self.updated_at = now;
    }
}

/// What the choice of a target was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stats {
    /// Subrequests of this node without a result.
    pub in_flight: u32,
    /// Its latencies in proportion to what routes expect.
    pub slowness: f64,
    /// The part of its subrequests that failed.
    pub error_rate: f64,
    /// For how long some subrequest has been overdue.
    pub stalled_for: Option<Duration>,
}

/// How willingly a target is used; better ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// It answers.
    Responsive,
    /// Some subrequest to it is overdue.
    Stalled,
}

/// What a subrequest's result says of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It answered after this time, where the route expects the other.
    Answered {
        /// The time from sending to the answer.
        took: Duration,
        /// What the route expects.
        expected: Duration,
    },
    /// It refused before it started.
    Refused,
    /// It failed, or broke off.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// It cut a new connection without an answer.
    ConnectionCut,
    /// Another target answered at its address.
    Misdirected,
    /// Nobody waited for the result.
    NoResult,
}

impl Placement {
    /// Opens the placement of a node that knows no target.
    pub fn open(data_centre: Arc<str>, budget: Budget, node: &str, seed: u64) -> Self {
        Self {
            registry: Registry::default(),
            budget,
            warmup: Warmup::open(node),
            data_centre,
            health: SecondaryMap::new(),
            node_count: ASSUMED_NODES_AT_START,
            random: Pcg32::new(seed, 0xa02_bdbf_7bb3_c0a7),
        }
    }

    /// Sets which nodes share the bounds; `discovery_complete` tells whether all of them have had time to be heard.
    pub fn set_nodes(&mut self, nodes: &[String], discovery_complete: bool) {
        let nodes_min = if discovery_complete {
            1
        } else {
            ASSUMED_NODES_AT_START
        };
        self.node_count = nodes.len().max(nodes_min);
        self.budget.set_node_count(self.node_count);
        self.warmup.set_nodes(nodes);
    }

    /// Takes the present report of a target.
    pub fn put(&mut self, name: &Arc<str>, report: TargetReport, now: Moment) -> Effects {
        let effects = self.registry.put(name, report, now);
        for effect in &effects {
            match *effect {
                Effect::Added(key) => {
                    self.health.insert(key, Health::new(now));
                }
                Effect::Removed(key) => self.forget(key),
                Effect::Changed(_) => {}
            }
        }
        effects
    }

    /// Forgets what was seen of a target that the registry has dropped.
    pub fn forget(&mut self, key: TargetKey) {
        self.health.remove(key);
    }

    /// Returns this node's share of the connections to one target of a service.
    pub fn connection_limit(&self, table: &Table, service: &str) -> u32 {
        let total = table
            .service(service)
            .map_or(1, |service| service.connections);
        (total / u32::try_from(self.node_count).unwrap_or(u32::MAX)).max(1)
    }

    /// Tells whether some target of a service takes work, apart from those that are out of use for now.
    pub fn has_available_target(&self, service: &str, now: Moment) -> bool {
        self.available_at(service, now)
            .is_some_and(|moment| moment <= now)
    }

    /// Chooses a target of a service that is not in `tried` and counts a subrequest to it.
    pub fn pick(
        &mut self,
        table: &Table,
        service: &str,
        tried: &[TargetKey],
        expected: Duration,
        now: Moment,
    ) -> Option<TargetKey> {
        let connections = self.connection_limit(table, service);
        let rate = table.service(service).and_then(|known| known.cold_rate);
        let mut best: Option<(Class, f64, TargetKey)> = None;
        for (key, target) in self.registry.usable(service) {
            if tried.contains(&key) {
                continue;
            }
            let Some(health) = self.health.get_mut(key) else {
                continue;
            };
            // More requests than the target has slots for would only wait there.
            let in_flight_max = connections.min(target.report.slots + 1);
            if health.unreachable || health.avoid_until > now || health.in_flight >= in_flight_max {
                continue;
            }
            if target.cold_until > now
                && let Some(rate) = rate
                && !self.warmup.may_send(&target.name, rate, now)
            {
                continue;
            }
            let class = health.class();
            health.decay(now);
            let cost = estimated_cost(health, target, &self.data_centre, expected)
                * (1.0 + COST_JITTER * self.random.random::<f64>());
            if best.is_none_or(|(best_class, best_cost, _)| (class, cost) < (best_class, best_cost))
            {
                best = Some((class, cost, key));
            }
        }
        let (_, _, key) = best?;
        let target = self.registry.get(key)?;
        if target.cold_until > now && rate.is_some() {
            self.warmup.record_sent(&target.name, now);
        }
        let health = self.health.get_mut(key)?;
        health.in_flight += 1;
        Some(key)
    }

    /// Notes that a subrequest has taken longer than expected, although it may still be answered.
    pub fn mark_overdue(&mut self, key: TargetKey, now: Moment) {
        if let Some(health) = self.health.get_mut(key) {
            health.mark_stalled(SILENT_PROBE_BACKOFF_MIN, now);
        }
    }

    /// Returns the targets to which a connection should be opened now, to see whether they live.
    ///
    /// A subrequest of a caller that tries a dead target makes its whole query late: with a fifth of the
    /// targets dark, a query over 135 shards met four of them.
    pub fn due_probes(&mut self, now: Moment) -> Vec<TargetKey> {
        let due = self
            .health
            .iter_mut()
            .filter(|(_, health)| health.stalled_since.is_some() && health.next_probe <= now);
        let due = due.take(PROBES_PER_ROUND_MAX).map(|(key, health)| {
            let backoff_max = if health.unreachable {
                UNREACHABLE_PROBE_BACKOFF_MAX
            } else {
                SILENT_PROBE_BACKOFF_MAX
            };
            health.probe_backoff = (health.probe_backoff * 2).min(backoff_max);
            health.next_probe = now + health.probe_backoff;
            key
        });
        due.collect()
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, key: TargetKey, reached: bool) {
        if let Some(health) = self
            .health
            .get_mut(key)
            .filter(|health| health.stalled_since.is_some())
        {
            health.unreachable = !reached;
            if reached {
                health.stalled_since = None;
                health.half_open = true;
            }
        }
    }

    /// Takes what the result of a subrequest says of its target.
    pub fn observe(&mut self, key: TargetKey, observation: Observation, now: Moment) {
        if observation == Observation::Misdirected {
            self.registry.mark_misdirected(key);
        }
        let Some(health) = self.health.get_mut(key) else {
            return;
        };
        health.in_flight = health.in_flight.saturating_sub(1);
        health.decay(now);
        match observation {
            Observation::Answered { took, expected } => {
                let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                health.slowness += (ratio.min(20.0) - health.slowness) * SLOWNESS_WEIGHT;
                health.error_rate *= 1.0 - ERROR_WEIGHT;
                health.mark_alive();
            }
            Observation::Refused => {
                health.error_rate += (0.5 - health.error_rate) * ERROR_WEIGHT;
                health.mark_alive();
            }
            Observation::Failed => health.error_rate += (1.0 - health.error_rate) * ERROR_WEIGHT,
            Observation::ConnectionCut => {
                health.error_rate += (1.0 - health.error_rate) * ERROR_WEIGHT;
                health.avoid_until = now + CONNECTION_CUT_BACKOFF;
            }
            Observation::Unreachable => {
                health.unreachable = true;
                health.mark_stalled(UNREACHABLE_PROBE_BACKOFF_MIN, now);
            }
            Observation::Misdirected | Observation::NoResult => {}
        }
    }

    /// Returns what the choice of a target was based on.
    pub fn stats(&self, key: TargetKey, now: Moment) -> Option<Stats> {
        let health = self.health.get(key)?;
        Some(Stats {
            in_flight: health.in_flight,
            slowness: health.slowness,
            error_rate: health.error_rate,
            stalled_for: health.stalled_since.map(|since| now.since(since)),
        })
    }

    /// Returns when the first target of a service that is out of use may be tried again.
    pub fn available_at(&self, service: &str, now: Moment) -> Option<Moment> {
        self.registry
            .usable(service)
            .filter_map(|(key, _)| self.health.get(key))
            .map(|health| {
                if health.unreachable {
                    // A probe that is due has no result yet.
                    health.next_probe.max(now + PROBE_DURATION_MAX)
                } else {
                    health.avoid_until.max(now)
                }
            })
            .min()
    }
}

/// Estimates the time until a target answers, plus what the way costs.
fn estimated_cost(
    health: &Health,
    target: &Target,
    own_data_centre: &str,
    expected: Duration,
) -> f64 {
    let queued_share = f64::from(health.in_flight) / f64::from(target.report.slots.max(1));
    let time = expected.as_secs_f64() * health.slowness * (1.0 + queued_share);
    let errors = ERROR_COST.as_secs_f64() * health.error_rate;
    let transfer = if *target.report.data_centre == *own_data_centre {
        0.0
    } else {
        CROSS_DATA_CENTRE_COST.as_secs_f64()
    };
    time + errors + transfer
}
