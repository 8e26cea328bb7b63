//! Placement: chooses the target of each subrequest among the targets of a service.
//!
//! The choice uses only what this node observes in its own subrequests; targets give no other sign of
//! trouble. Any node may call any target. The selection copes with targets that pause for a few hundred
//! milliseconds, become slow, fail, refuse work or stop answering. It uses no clock, socket or global random
//! number generator. See `docs/decisions/008-platform.md`.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use super::budget::Budget;
use super::pacing::{Pacing, Rate};
use super::registry::{Effect, Effects, Registry, Target, TargetKey};
use super::slot::{Returns, Slot, Slots};
use crate::balancing::{self, Load, Loads};
use crate::connection::outbound::RateLimit;
use crate::rollout::run::Targets;
use crate::rollout::state::{Event, Output, Rollouts, Side, Split};
use crate::time::Moment;
use crate::version::item::TargetReport;
use crate::version::route::Table;
use crate::wire::Cause;

/// The weight of one latency in the moving average of a target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// The time after which an observation has lost half of its weight, so that a target that was slow is tried
/// again. Slow periods last several seconds.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(3);
/// The weight of one result in the moving average of a target's error rate.
const ERROR_WEIGHT: f64 = 0.2;
/// Cost of a target that fails every subrequest: about the time of a second subrequest after the first one
/// failed.
const ERROR_COST: Duration = Duration::from_millis(200);
/// Cost of a subrequest to another data centre in addition to its latency, because that traffic is paid for.
const CROSS_DATA_CENTRE_COST: Duration = Duration::from_millis(5);
/// Delay before the first probe of a target that could not be reached. A target that already counts as
/// stalled, or was probed without an answer to a subrequest since, keeps its longer delay.
const UNREACHABLE_PROBE_BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Maximum delay between probes of a target that could not be reached. It applies from the next probe on; a
/// delay that has already begun is not shortened.
const UNREACHABLE_PROBE_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Delay before the first probe of a target with an overdue subrequest. Ordinary pauses of a target are
/// shorter.
const OVERDUE_PROBE_BACKOFF_MIN: Duration = Duration::from_millis(700);
/// Maximum delay between probes of a stalled target that was not found unreachable.
const OVERDUE_PROBE_BACKOFF_MAX: Duration = Duration::from_millis(2_800);
/// The time from now after which a due probe of an unreachable target is assumed to have a result. The wait
/// for the next round of probes may make it longer.
const PROBE_DURATION_MAX: Duration = Duration::from_millis(100);
/// Maximum number of probes that start in one round; the crash of many targets must not take processor time
/// from requests.
const PROBES_PER_ROUND_MAX: usize = 32;
/// How long a target gets no subrequests after it closed a new connection, which it does when it has too many
/// connections.
const CONNECTION_CUT_BACKOFF: Duration = Duration::from_millis(100);
/// Minimum number of nodes that a node assumes to share the limits with it after its start, until it has had
/// time to discover the others. Targets still count the connections of earlier processes that lost power, so
/// a new process starts with a small share.
const ASSUMED_NODES_AT_START: usize = 24;
/// Cost of each earlier canary request to a target, more than any other cost, so that they are spread evenly over the
/// targets of the new version.
const CANARY_COST: Duration = Duration::from_secs(100);
/// One part in this number of the subrequests that a node may have open is kept for requests to single targets. Queries
/// over many shards whose targets do not answer take all others.
const SINGLE_TARGET_RESERVE_ONE_IN: u32 = 8;
/// Maximum random increase of the time for which a target wants no subrequests, as a fraction.
const RETURN_SPREAD: f64 = 0.25;
/// Maximum random increase of a target's cost, as a fraction, so that nodes do not all choose the same
/// target.
const COST_JITTER: f64 = 0.15;

/// The known targets, what this node has observed of them, and the limits on what it sends to them.
#[derive(Debug)]
pub struct Placement {
    /// The targets that are listed in the store.
    pub registry: Registry,
    /// The budget for hedges, retries and other extra subrequests.
    pub budget: Budget,
    /// This node's part of the rates of cold targets and of targets that state a limit.
    pub pacing: Pacing,
    loads: Loads,
    balancing: balancing::Mode,
    /// The roll-outs, which decide between the versions of a service's targets.
    pub rollouts: Rollouts,
    data_centre: Arc<str>,
    health: SecondaryMap<TargetKey, Health>,
    /// The subrequests of all targets that have no result yet.
    open: Slots,
    /// The maximum number of open subrequests, which the memory for connections bounds.
    subrequests_max: u32,
    /// The costs of subrequests that were not sent, until they are taken back.
    returns: Returns,
    node_count: usize,
    random: Pcg32,
}

/// What this node has observed of a target.
#[derive(Debug)]
struct Health {
    /// The subrequests to the target that have no result yet.
    slots: Slots,
    /// Subrequests to the target since the load was last measured.
    sent: u32,
    /// Moving average of the latency as a multiple of what the route expects; 1.0 is as expected.
    slowness: f64,
    /// Moving average of the share of subrequests that failed, from 0 to 1; a refusal counts half.
    error_rate: f64,
    updated_at: Moment,
    /// Since when the target counts as stalled, because a subrequest was overdue or a connection could not be
    /// opened; `None` before that and again after an answer or a probe that reached the target.
    stalled_since: Option<Moment>,
    /// Whether the last attempt to connect failed.
    unreachable: bool,
    /// Whether the target is on trial, as in the half-open state of a circuit breaker: a probe has reached it
    /// and no subrequest has been answered since. One subrequest at a time is allowed.
    half_open: bool,
    /// When the target is probed next, while it is stalled.
    next_probe: Moment,
    /// The delay before that probe; it doubles with each probe until the target answers.
    probe_backoff: Duration,
    /// Until when the target gets no subrequests because it closed a connection.
    avoid_until: Moment,
    /// Until when the target gets no subrequests because it has turned one away for a stated time.
    turned_away_until: Moment,
    /// Whether the target gets one subrequest at a time, because it has turned one away for a stated time and has
    /// answered none since.
    returning: bool,
    /// The limit on the rate of requests that the target states, while it does.
    rate_limit: Option<StatedLimit>,
    /// The requests that this node sent to the target as one of a version that is rolled out.
    sent_as_new: u32,
}

/// A limit on the rate of requests that a target states in its answers.
#[derive(Debug, Clone, Copy)]
struct StatedLimit {
    /// The requests per second that the target takes from all nodes together.
    per_second: f64,
    /// When an answer stated a limit first, after others that did not.
    since: Moment,
    /// The subrequests of this node since the first of these answers.
    sent: u32,
    /// When the last answer arrived that stated the limit.
    confirmed_at: Moment,
}

/// A change of whether a target states a limit on the rate of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target states a limit, and did not before.
    Stated {
        /// The requests per second that the target takes from all nodes together.
        per_second: f64,
    },
    /// The target states no limit any more.
    Lifted {
        /// For how long it has stated one.
        after: Duration,
        /// The subrequests that this node sent to it meanwhile.
        sent: u32,
    },
}

impl Health {
    fn new(now: Moment) -> Self {
        Self {
            slots: Slots::default(),
            sent: 0,
            slowness: 1.0,
            error_rate: 0.0,
            updated_at: now,
            stalled_since: None,
            unreachable: false,
            half_open: false,
            next_probe: Moment::NEVER,
            probe_backoff: Duration::ZERO,
            avoid_until: Moment::ZERO,
            turned_away_until: Moment::ZERO,
            returning: false,
            rate_limit: None,
            sent_as_new: 0,
        }
    }

    /// Marks the target as stalled, unless it already is. It is probed after `backoff`, or after a longer
    /// delay if no subrequest was answered since earlier probes.
    fn mark_stalled(&mut self, backoff: Duration, now: Moment) {
        if self.stalled_since.is_none() {
            self.stalled_since = Some(now);
            self.probe_backoff = self.probe_backoff.max(backoff);
            self.next_probe = now + self.probe_backoff;
        }
    }

    /// Marks the target as answering and resets its probe delay.
    const fn mark_alive(&mut self) {
        self.stalled_since = None;
        self.unreachable = false;
        self.half_open = false;
        self.probe_backoff = Duration::ZERO;
    }

    /// Returns the preference class of the target.
    fn class(&self) -> Class {
        // After a successful probe, a single subrequest shows whether the target also answers requests.
        if self.stalled_since.is_some() || (self.half_open && self.slots.taken() > 0) {
            Class::Stalled
        } else {
            Class::Responsive
        }
    }

    /// Reduces the weight of old observations exponentially.
    fn decay(&mut self, now: Moment) {
        let remaining_weight = 0.5_f64
            .powf(now.since(self.updated_at).as_secs_f64() / OBSERVATION_HALF_LIFE.as_secs_f64());
        self.slowness = 1.0 + (self.slowness - 1.0) * remaining_weight;
        self.error_rate *= remaining_weight;
        self.updated_at = now;
    }
}

/// A snapshot of what a node has observed of a target, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stats {
    /// Subrequests of this node to the target that have no result yet.
    pub in_flight: u32,
    /// Moving average of the latency as a multiple of what the route expects; 1.0 is as expected.
    pub slowness: f64,
    /// The slowness by the answers to all nodes, as far as this node takes it into account; 1.0 unless loads are
    /// shared and the target is known as slow.
    pub shared_slowness: f64,
    /// Moving average of the share of subrequests that failed, from 0 to 1; a refusal counts half.
    pub error_rate: f64,
    /// For how long the target has given no answer; `None` while it answers.
    pub stalled_for: Option<Duration>,
    /// The requests per second that the target takes from all nodes together; `None` if it states no limit.
    pub rate_limit: Option<f64>,
}

/// Preference class of a target; targets of a lower class are chosen first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// The target answers.
    Responsive,
    /// The target has an overdue subrequest or failed connection, or a trial subrequest after a probe.
    Stalled,
}

/// What the result of a subrequest shows about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The target answered.
    Answered {
        /// The time from sending the subrequest to the answer.
        took: Duration,
        /// The latency that the route expects.
        expected: Duration,
    },
    /// The target refused the subrequest before it started to run it.
    Refused,
    /// The subrequest failed, or its connection broke before the answer was complete.
    Failed,
    /// No connection to the target could be opened.
    Unreachable,
    /// The target closed a new connection without an answer.
    ConnectionCut,
    /// Another target answered at the address of this one.
    Misdirected,
    /// The subrequest was cancelled or not sent, so it shows nothing about the target.
    NoResult,
}

impl Observation {
    /// Tells whether the target has answered, be it with a refusal.
    const fn is_answer(self) -> bool {
        matches!(
            self,
            Self::Answered { .. } | Self::Refused | Self::Failed | Self::Misdirected
        )
    }
}

impl Placement {
    /// Creates a placement without targets. `node` is this node's name; `seed` starts the random numbers.
    pub fn open(data_centre: Arc<str>, budget: Budget, node: &str, seed: u64) -> Self {
        Self {
            registry: Registry::default(),
            budget,
            pacing: Pacing::open(node),
            loads: Loads::open(node),
            balancing: balancing::Mode::default(),
            rollouts: Rollouts::default(),
            data_centre,
            health: SecondaryMap::new(),
            open: Slots::default(),
            subrequests_max: u32::MAX,
            returns: Returns::default(),
            node_count: ASSUMED_NODES_AT_START,
            random: Pcg32::new(seed, 0xa02_bdbf_7bb3_c0a7),
        }
    }

    /// Sets how this node estimates the load of targets.
    pub const fn set_balancing(&mut self, mode: balancing::Mode) {
        self.balancing = mode;
    }

    /// Sets the maximum number of open subrequests, at least one.
    pub fn set_subrequests_max(&mut self, max: usize) {
        self.subrequests_max = u32::try_from(max).unwrap_or(u32::MAX).max(1);
    }

    /// Tells whether `subrequests` further ones of a request over `shards` shards may be open at the same time, or as many
    /// as ever may.
    pub fn has_room(&self, subrequests: usize, shards: usize) -> bool {
        let reserve = match shards {
            0..=1 => 0,
            _ => self.subrequests_max / SINGLE_TARGET_RESERVE_ONE_IN,
        };
        let max = self.subrequests_max - reserve;
        let needed = u32::try_from(subrequests).unwrap_or(u32::MAX).min(max);
        needed <= max.saturating_sub(self.open.taken())
    }

    /// Returns a random delay within the range.
    pub fn draw_delay(&mut self, range: Range<Duration>) -> Duration {
        self.random.random_range(range)
    }

    /// Sets the nodes that share the limits. `discovery_complete` tells whether every node has had time to be
    /// discovered; until then at least `ASSUMED_NODES_AT_START` nodes are assumed.
    pub fn set_nodes(&mut self, nodes: &[String], discovery_complete: bool, now: Moment) {
        let nodes_min = if discovery_complete {
            1
        } else {
            ASSUMED_NODES_AT_START
        };
        self.node_count = nodes.len().max(nodes_min);
        self.budget.set_node_count(self.node_count);
        self.pacing.set_nodes(nodes, nodes_min, now);
    }

    /// Adds a target or updates its report.
    pub fn put(&mut self, name: &Arc<str>, report: TargetReport, now: Moment) -> Effects {
        let effects = self.registry.put(name, report, now);
        for effect in &effects {
            match *effect {
                Effect::Added(key) => {
                    self.health.insert(key, Health::new(now));
                    self.loads.add(key, name, now);
                }
                Effect::Removed(key) => self.forget(key),
                Effect::Changed(_) => {}
            }
        }
        effects
    }

    /// Removes the observations of a target that is no longer in the registry.
    pub fn forget(&mut self, key: TargetKey) {
        self.health.remove(key);
        self.loads.forget(key);
    }

    /// Returns this node's share of the connections that all nodes may open to one target of a service.
    pub fn connection_limit(&self, table: &Table, service: &str) -> u32 {
        let total = table
            .service(service)
            .map_or(1, |service| service.connections);
        (total / u32::try_from(self.node_count).unwrap_or(u32::MAX)).max(1)
    }

    /// Returns whether a target of the service takes work by a moment, that is, can be reached, is not avoided and
    /// has room within the limit that it states.
    pub fn has_available_target(&mut self, service: &str, by: Moment, now: Moment) -> bool {
        self.available_at(service, now)
            .is_some_and(|moment| moment <= by)
    }

    /// Chooses a target that is not in `tried` and may get a subrequest now, the one with the lowest cost in
    /// the best class, and takes a slot of it.
    ///
    /// Hedges do not go to targets that state a limit, whose few requests are worth more as first subrequests.
    pub fn pick(
        &mut self,
        table: &Table,
        service: &str,
        tried: &[TargetKey],
        cause: Cause,
        expected: Duration,
        now: Moment,
    ) -> Option<Slot> {
        let Some(split) = self.rollouts.split(service) else {
            return self.pick_among(table, service, tried, cause, expected, None, now);
        };
        let (has_old, has_new) = self.known_sides(service, &split);
        let sides = self.rollouts.sides(service, cause, has_old, has_new, now);
        let (side, slot) = sides.into_iter().find_map(|side| {
            let among = Some((&*split, side));
            let slot = self.pick_among(table, service, tried, cause, expected, among, now)?;
            Some((side, slot))
        })?;
        let key = slot.target();
        let is_new = side != Side::Old && self.is_new(key, &split);
        if is_new && let Some(health) = self.health.get_mut(key) {
            health.sent_as_new = health.sent_as_new.saturating_add(1);
        }
        self.rollouts.record_sent(service, cause, is_new);
        Some(slot)
    }

    /// Takes back the turns and the budget of subrequests that were chosen and not sent, because their callers left or
    /// no connection could be opened.
    pub fn take_back_unsent(&mut self) {
        for costs in self.returns.take() {
            if let Some(turn) = costs.turn {
                self.pacing.take_back(&turn);
            }
            if let Some(service) = costs.extra {
                self.budget.refund(&service);
            }
        }
    }

    /// Tells whether targets are known of the old side and of the new version of a service, in whatever state.
    fn known_sides(&self, service: &str, split: &Split) -> (bool, bool) {
        let has = |side| {
            let mut known = self.registry.known(service);
            known.any(|(_, target)| split.contains(side, &target.report.version))
        };
        (has(Side::Old), has(Side::New))
    }

    fn is_new(&self, key: TargetKey, split: &Split) -> bool {
        let target = self.registry.get(key);
        target.is_some_and(|target| split.contains(Side::New, &target.report.version))
    }

    /// Returns the sides of a service's targets that requests may go to now, if it has a roll-out.
    fn allowed_sides(
        &self,
        service: &str,
        now: Moment,
    ) -> Option<(Arc<Split>, SmallVec<[Side; 2]>)> {
        let split = self.rollouts.split(service)?;
        let (has_old, has_new) = self.known_sides(service, &split);
        // Canary requests are first ones; a service has no room if only its new targets have.
        let sides = self
            .rollouts
            .sides(service, Cause::Retry, has_old, has_new, now);
        Some((split, sides))
    }

    /// Passes the targets of each service with a roll-out and the present nodes to the roll-outs, and returns what is to be
    /// done.
    pub fn tick_rollouts(&mut self, nodes: Event, now: Moment) -> Vec<Output> {
        let mut outputs = self.rollouts.step(nodes, now);
        let services: Vec<Arc<str>> = self.rollouts.services().cloned().collect();
        for service in services {
            let Some(split) = self.rollouts.split(&service) else {
                continue;
            };
            let usable = |side| {
                let usable = self.registry.usable(&service);
                usable
                    .filter(|(_, target)| split.contains(side, &target.report.version))
                    .count()
            };
            let old = self.registry.known(&service);
            let old = old.filter(|(_, target)| !split.contains(Side::New, &target.report.version));
            let open_old = old.filter_map(|(key, _)| self.health.get(key));
            let targets = Targets {
                new: usable(Side::New),
                old: usable(Side::Old),
                open_old: open_old.map(|health| health.slots.taken()).sum(),
            };
            outputs.extend(self.rollouts.step(Event::Targets { service, targets }, now));
        }
        outputs.extend(self.rollouts.step(Event::Tick, now));
        outputs
    }

    /// Chooses a target as [`Self::pick`] does, among all targets of the service or those of one side.
    #[expect(
        clippy::too_many_arguments,
        reason = "the choice and a part of the targets"
    )]
    fn pick_among(
        &mut self,
        table: &Table,
        service: &str,
        tried: &[TargetKey],
        cause: Cause,
        expected: Duration,
        among: Option<(&Split, Side)>,
        now: Moment,
    ) -> Option<Slot> {
        if self.open.taken() >= self.subrequests_max {
            return None;
        }
        let connections = self.connection_limit(table, service);
        let cold_rate = table.service(service).and_then(|known| known.cold_rate);
        let spreads = among.is_some() && self.rollouts.is_canary(service);
        let mut best: Option<(Class, f64, TargetKey, Option<Rate>)> = None;
        for (key, target) in self.registry.usable(service) {
            if tried.contains(&key) {
                continue;
            }
            if among.is_some_and(|(split, side)| !split.contains(side, &target.report.version)) {
                continue;
            }
            let Some(health) = self.health.get_mut(key) else {
                continue;
            };
            // More subrequests than the target has slots, plus one, would only wait there.
            let in_flight_max = connections.min(target.report.slots + 1);
            if health.unreachable
                || health.avoid_until > now
                || health.slots.taken() >= in_flight_max
            {
                continue;
            }
            if health.turned_away_until > now || (health.returning && health.slots.taken() > 0) {
                continue;
            }
            if cause == Cause::Hedge && health.rate_limit.is_some() {
                continue;
            }
            let rate = bounded_rate(health, target, cold_rate, now);
            if rate.is_some_and(|rate| self.pacing.next_send(&target.name, rate, now) > now) {
                continue;
            }
            let class = health.class();
            health.decay(now);
            let slowness = match self.balancing {
                balancing::Mode::Separate => health.slowness,
                balancing::Mode::Shared => {
                    let own = health.slowness;
                    self.loads.slowness(key, own, &mut self.random, now)
                }
            };
            let mut cost = estimated_cost(health, slowness, target, &self.data_centre, expected)
                * (1.0 + COST_JITTER * self.random.random::<f64>());
            if matches!(among, Some((_, Side::New))) && spreads {
                cost += CANARY_COST.as_secs_f64() * f64::from(health.sent_as_new);
            }
            let is_better = best
                .is_none_or(|(best_class, best_cost, ..)| (class, cost) < (best_class, best_cost));
            if is_better {
                best = Some((class, cost, key, rate));
            }
        }
        let (_, _, key, rate) = best?;
        let turn = match rate {
            Some(_) => self.pacing.take_turn(&self.registry.get(key)?.name, now),
            None => None,
        };
        let health = self.health.get_mut(key)?;
        health.sent += 1;
        if let Some(limit) = &mut health.rate_limit {
            limit.sent = limit.sent.saturating_add(1);
        }
        let slot = health.slots.take(&self.open, key, turn, &self.returns);
        Some(slot)
    }

    /// Records that a subrequest has taken longer than expected; it may still be answered.
    pub fn mark_overdue(&mut self, key: TargetKey, now: Moment) {
        if let Some(health) = self.health.get_mut(key) {
            health.mark_stalled(OVERDUE_PROBE_BACKOFF_MIN, now);
        }
    }

    /// Returns the targets to which a connection should be opened now as a probe.
    ///
    /// Probes replace subrequests as the test whether a target is alive, because one subrequest to a dead
    /// target delays its whole query: with a fifth of the targets not answering, a query over 135 shards sent
    /// subrequests to four of them.
    pub fn due_probes(&mut self, now: Moment) -> Vec<TargetKey> {
        let due = self
            .health
            .iter_mut()
            .filter(|(_, health)| health.stalled_since.is_some() && health.next_probe <= now);
        let due = due.take(PROBES_PER_ROUND_MAX).map(|(key, health)| {
            let backoff_max = if health.unreachable {
                UNREACHABLE_PROBE_BACKOFF_MAX
            } else {
                OVERDUE_PROBE_BACKOFF_MAX
            };
            health.probe_backoff = (health.probe_backoff * 2).min(backoff_max);
            health.next_probe = now + health.probe_backoff;
            key
        });
        due.collect()
    }

    /// Records whether a probe reached the target.
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

    /// Records what the result of a subrequest shows about its target.
    pub fn observe(&mut self, key: TargetKey, observation: Observation, now: Moment) {
        if observation == Observation::Misdirected {
            self.registry.mark_misdirected(key);
        }
        let Some(health) = self.health.get_mut(key) else {
            return;
        };
        health.decay(now);
        // An answer to a subrequest from before says nothing about the time after.
        if observation.is_answer() && health.turned_away_until <= now {
            health.returning = false;
        }
        match observation {
            Observation::Answered { took, expected } => {
                let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                if self.balancing == balancing::Mode::Shared {
                    self.loads.observe(key, took, expected, now);
                }
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

    /// Returns what the next heartbeat says of targets; nothing unless loads are shared.
    pub fn report_loads(&mut self, now: Moment) -> Vec<Load> {
        if self.balancing == balancing::Mode::Separate {
            return Vec::new();
        }
        // Whether a target can be reached may differ between nodes, so the others are told nothing of it.
        let reachable = self.health.iter().filter(|(_, health)| !health.unreachable);
        for (key, health) in reachable {
            if let Some(since) = health.stalled_since {
                self.loads.observe_stall(key, now.since(since), now);
            }
        }
        self.loads.report(now)
    }

    /// Records what the heartbeat of another node said of targets.
    pub fn record_loads(&mut self, loads: &[Load], now: Moment) {
        if self.balancing == balancing::Mode::Shared {
            self.loads.record(loads, now);
        }
    }

    /// Returns the number of targets that this node or others have found to be slow.
    pub fn slow_targets(&self, now: Moment) -> usize {
        self.loads.slow_targets(now)
    }

    /// Returns the subrequests of this node to its busiest target over the mean of all targets, since the last call;
    /// `None` if there were none.
    pub fn take_busiest_to_mean(&mut self) -> Option<f64> {
        let (mut most, mut sum) = (0, 0);
        for health in self.health.values_mut() {
            let sent = std::mem::take(&mut health.sent);
            most = most.max(sent);
            sum += sent;
        }
        (sum > 0).then(|| f64::from(most) * self.health.len() as f64 / f64::from(sum))
    }

    /// Records what the answer to a subrequest says about the target's rate limit. `sent_at` is when the
    /// subrequest was sent: an answer without a limit lifts only one that was stated before.
    pub fn record_rate_limit(
        &mut self,
        key: TargetKey,
        rate_limit: RateLimit,
        sent_at: Moment,
        now: Moment,
    ) -> Option<LimitChange> {
        let name = &self.registry.get(key)?.name;
        let stated = &mut self.health.get_mut(key)?.rate_limit;
        match (rate_limit, &mut *stated) {
            (RateLimit::PerSecond(per_second), Some(limit)) => {
                limit.per_second = per_second;
                limit.confirmed_at = now;
                None
            }
            (RateLimit::PerSecond(per_second), None) => {
                *stated = Some(StatedLimit {
                    per_second,
                    since: now,
                    confirmed_at: now,
                    sent: 0,
                });
                Some(LimitChange::Stated { per_second })
            }
            (RateLimit::Unlimited, Some(limit)) if limit.confirmed_at <= sent_at => {
                let lifted = LimitChange::Lifted {
                    after: now.since(limit.since),
                    sent: limit.sent,
                };
                *stated = None;
                self.pacing.forget(name);
                Some(lifted)
            }
            _ => None,
        }
    }

    /// Records that the target has turned a subrequest away and wants no other one for a time. Returns whether it had not
    /// done so before.
    ///
    /// The time is drawn longer by up to [`RETURN_SPREAD`], so that nodes which were turned away together do not return
    /// together.
    pub fn record_turned_away(&mut self, key: TargetKey, time: Duration, now: Moment) -> bool {
        let Some(health) = self.health.get_mut(key) else {
            return false;
        };
        let was_turned_away = health.turned_away_until > now;
        let spread = time.mul_f64(RETURN_SPREAD * self.random.random::<f64>());
        health.turned_away_until = health.turned_away_until.max(now + time + spread);
        health.returning = true;
        !was_turned_away
    }

    /// Returns the number of targets that get no subrequests because they have turned one away for a stated time.
    pub fn turned_away_targets(&self, now: Moment) -> usize {
        let targets = self.health.values();
        targets.filter(|it| it.turned_away_until > now).count()
    }

    /// Returns whether a target of the service that can be reached has turned requests away for a stated time.
    pub fn is_turned_away(&self, service: &str, now: Moment) -> bool {
        let usable = self.registry.usable(service);
        usable
            .filter_map(|(key, _)| self.health.get(key))
            .any(|health| health.turned_away_until > now && !health.unreachable)
    }

    /// Returns the number of subrequests that have no result yet.
    pub fn open_subrequests(&self) -> u32 {
        self.open.taken()
    }

    /// Returns the number of targets that state a limit on their rate of requests.
    pub fn limited_targets(&self) -> usize {
        let limited = self.health.values().filter(|it| it.rate_limit.is_some());
        limited.count()
    }

    /// Returns what this node has observed of a target, or `None` if the target is unknown.
    pub fn stats(&self, key: TargetKey, now: Moment) -> Option<Stats> {
        let health = self.health.get(key)?;
        Some(Stats {
            in_flight: health.slots.taken(),
            slowness: health.slowness,
            shared_slowness: self.loads.shared_slowness(key, now),
            error_rate: health.error_rate,
            stalled_for: health.stalled_since.map(|since| now.since(since)),
            rate_limit: health.rate_limit.map(|limit| limit.per_second),
        })
    }

    /// Returns the earliest time at which a target of the service may be tried, or `None` if it has no usable
    /// target.
    pub fn available_at(&mut self, service: &str, now: Moment) -> Option<Moment> {
        let allowed = self.allowed_sides(service, now);
        self.registry
            .usable(service)
            .filter(|(_, target)| is_allowed(allowed.as_ref(), target))
            .filter_map(|(key, target)| Some((target, self.health.get(key)?)))
            .map(|(target, health)| {
                let reachable_at = if health.unreachable {
                    // A probe that is due now has no result yet.
                    health.next_probe.max(now + PROBE_DURATION_MAX)
                } else {
                    health.avoid_until.max(now)
                };
                let allowed_at = health.rate_limit.map_or(now, |limit| {
                    let rate = Rate::stated(limit.per_second);
                    self.pacing.next_send(&target.name, rate, now)
                });
                reachable_at.max(allowed_at).max(health.turned_away_until)
            })
            .min()
    }

    /// Returns whether a target of the service that can be reached states a limit on its requests.
    pub fn is_limited(&self, service: &str, now: Moment) -> bool {
        let allowed = self.allowed_sides(service, now);
        self.registry
            .usable(service)
            .filter(|(_, target)| is_allowed(allowed.as_ref(), target))
            .filter_map(|(key, _)| self.health.get(key))
            .any(|health| health.rate_limit.is_some() && !health.unreachable)
    }
}

/// Tells whether a target belongs to one of the sides of a roll-out that requests may go to.
fn is_allowed(allowed: Option<&(Arc<Split>, SmallVec<[Side; 2]>)>, target: &Target) -> bool {
    allowed.is_none_or(|(split, sides)| {
        sides
            .iter()
            .any(|side| split.contains(*side, &target.report.version))
    })
}

/// Returns the rate of requests to the target that all nodes share, if it is bounded: because the target states
/// a limit, or because it is cold and its service has a rate for cold targets.
fn bounded_rate(
    health: &Health,
    target: &Target,
    cold_rate: Option<f64>,
    now: Moment,
) -> Option<Rate> {
    let stated = health
        .rate_limit
        .map(|limit| Rate::stated(limit.per_second));
    let cold = cold_rate
        .filter(|_| target.cold_until > now)
        .map(Rate::cold);
    match (stated, cold) {
        (Some(stated), Some(cold)) => Some(stated.and(cold)),
        (stated, cold) => stated.or(cold),
    }
}

/// Estimates the cost of a subrequest in seconds: the time to an answer, plus penalties for errors and for
/// another data centre. `expected` is the latency that the route expects.
///
/// The caller must call [`Health::decay`] first, so that old observations have lost their weight.
fn estimated_cost(
    health: &Health,
    slowness: f64,
    target: &Target,
    own_data_centre: &str,
    expected: Duration,
) -> f64 {
    let load_share = f64::from(health.slots.taken()) / f64::from(target.report.slots.max(1));
    let time = expected.as_secs_f64() * slowness * (1.0 + load_share);
    let errors = ERROR_COST.as_secs_f64() * health.error_rate;
    let cross_data_centre_penalty = if *target.report.data_centre == *own_data_centre {
        0.0
    } else {
        CROSS_DATA_CENTRE_COST.as_secs_f64()
    };
    time + errors + cross_data_centre_penalty
}
