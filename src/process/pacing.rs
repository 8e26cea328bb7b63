//! Pacing: limits the rate of requests that a node sends to a target whose rate is bounded over all nodes.
//!
//! A cold target bears few requests, and a target in need states in its answers how many it takes. If every
//! node had an equal share of such a rate, most shares would be less than one request, so only a few nodes,
//! which rendezvous hashing selects for each target, share the rate. Each of them may send one request without
//! delay, so the bound must also cover one request for each of them. See
//! `docs/decisions/010-stated-limits.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::time::Moment;

/// Maximum number of nodes that share the rate of one cold target. Each may send one request at once; three
/// stay below the five requests that the bound allows in addition to the rate, also if two nodes' membership
/// views differ by one node.
const COLD_SENDERS_MAX: usize = 3;
/// Maximum number of nodes that share a stated rate of less than one request per second. Each further request
/// per second adds a node: the bound, over four seconds, grows by six requests with it.
const STATED_SENDERS_MIN: usize = 2;
/// Minimum rate, in requests per second, of a target that states a lower limit. Only its answers show that it
/// states none any more.
const STATED_RATE_MIN: f64 = 0.25;
/// The window, in seconds, in which a stated limit is bounded.
const STATED_WINDOW_SECONDS: f64 = 4.0;
/// How often a node that does not serve callers may send a request to a target that has stated a limit. Such
/// nodes are many, and they get hardly any requests.
const STANDBY_TRIAL_INTERVAL: Duration = Duration::from_secs(30);
/// How long nodes that are no longer known count when rates are divided. They may still send requests, because
/// a node that is cut off from the others need not be cut off from the targets.
const DEPARTED_NODES_COUNT_FOR: Duration = Duration::from_secs(10);

/// Maximum number of targets whose schedule is kept. Beyond it, schedules older than [`SCHEDULE_LIFETIME`] are
/// dropped.
const TRACKED_TARGETS_MAX: usize = 4_096;
/// How long a schedule is kept at least.
const SCHEDULE_LIFETIME: Duration = Duration::from_mins(1);

/// A rate of requests to one target that holds for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    per_second: f64,
    /// The maximum number of nodes that share the rate.
    senders_max: usize,
    /// Whether the other nodes send a request now and then, to find out whether the bound still holds.
    has_trials: bool,
}

impl Rate {
    /// Returns the rate of a cold target, in requests per second. In any second, all nodes together may send
    /// 1.5 times the rate plus five requests.
    pub const fn cold(per_second: f64) -> Self {
        Self {
            per_second,
            senders_max: COLD_SENDERS_MAX,
            has_trials: false,
        }
    }

    /// Returns the rate that a target has stated, in requests per second. In any four seconds, all nodes
    /// together may send 1.5 times the rate plus five requests.
    pub const fn stated(per_second: f64) -> Self {
        Self {
            per_second: per_second.max(STATED_RATE_MIN),
            senders_max: STATED_SENDERS_MIN.saturating_add(per_second as usize),
            has_trials: true,
        }
    }

    /// Returns the rate that keeps to both bounds.
    pub const fn and(self, other: Self) -> Self {
        Self {
            per_second: self.per_second.min(other.per_second),
            senders_max: if self.senders_max < other.senders_max {
                self.senders_max
            } else {
                other.senders_max
            },
            has_trials: self.has_trials && other.has_trials,
        }
    }

    /// Returns the interval at which each of this many other nodes may send a request. Together they send at
    /// most a quarter of what the bound allows beyond the rate itself.
    fn trial_interval(self, nodes: usize) -> Duration {
        let requests_per_window = self.per_second / 2.0 + 1.0;
        seconds(STATED_WINDOW_SECONDS * nodes as f64 / requests_per_window)
    }
}

/// The schedules of this node for requests to targets with a bounded rate.
#[derive(Debug)]
pub struct Pacing {
    own: u64,
    /// Hashes of the names of the nodes that serve callers, and of this node.
    nodes: Vec<u64>,
    /// The number of changes of `nodes` and `node_count`.
    nodes_version: u64,
    /// Whether the other nodes count this one among those that serve callers.
    is_serving: bool,
    /// The largest number of `nodes` for [`DEPARTED_NODES_COUNT_FOR`].
    node_count_peak: usize,
    /// Until when `node_count_peak` is not lowered.
    peak_until: Moment,
    /// The number of nodes by which rates are divided, at least that of `nodes`.
    node_count: usize,
    schedules: HashMap<Arc<str>, Schedule>,
}

/// The last request of this node to a target with a bounded rate.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// When the last request was sent; before the first one, when the bound became known.
    since: Moment,
    has_sent: bool,
    place: Place,
    /// The `nodes_version` for which `place` holds.
    place_version: u64,
}

/// One request of this node to a target with a bounded rate.
#[derive(Debug)]
pub struct Turn {
    target: Arc<str>,
    taken_at: Moment,
    /// When the request before was sent, as in [`Schedule`].
    since: Moment,
    has_sent: bool,
}

/// The place of this node in the order of the nodes for a target.
#[derive(Debug, Clone, Copy)]
struct Place {
    /// The number of nodes that come before this one, less than `nodes`.
    position: usize,
    /// The number of nodes by which the rate is divided.
    nodes: usize,
}

/// This node's part of a rate.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// The node is one of those that share the rate.
    Sender(Duration),
    /// The node only finds out whether the bound still holds.
    Trial {
        /// The delay of the first request. It differs between the nodes, which learn of the bound together.
        first: Duration,
        interval: Duration,
    },
    /// The node sends no requests.
    None,
}

impl Pacing {
    /// Creates the schedules of a node that knows no other node.
    pub fn open(node: &str) -> Self {
        let own = hash_node(node);
        Self {
            own,
            nodes: vec![own],
            nodes_version: 0,
            is_serving: true,
            node_count_peak: 1,
            peak_until: Moment::ZERO,
            node_count: 1,
            schedules: HashMap::new(),
        }
    }

    /// Sets the names of the nodes that serve callers; this node is added if it is missing. At least
    /// `node_count_min` nodes are assumed.
    pub fn set_nodes(&mut self, nodes: &[String], node_count_min: usize, now: Moment) {
        let mut hashes: Vec<u64> = nodes.iter().map(|name| hash_node(name)).collect();
        if !hashes.contains(&self.own) {
            hashes.push(self.own);
        }
        let previous_count = self.node_count;
        let is_changed = hashes != self.nodes;
        self.nodes = hashes;
        if self.nodes.len() >= self.node_count_peak || now >= self.peak_until {
            self.node_count_peak = self.nodes.len();
            self.peak_until = now + DEPARTED_NODES_COUNT_FOR;
        }
        self.node_count = self.node_count_peak.max(node_count_min);
        self.nodes_version += u64::from(is_changed || self.node_count != previous_count);
    }

    /// Sets whether the other nodes count this one among those that serve callers.
    pub const fn set_serving(&mut self, is_serving: bool) {
        self.is_serving = is_serving;
    }

    /// Returns when this node may send the next request to the target.
    ///
    /// The first call for a target starts its schedule, whether or not a request follows, so that a request that is
    /// refused because of it is not the last one.
    pub fn next_send(&mut self, target: &Arc<str>, rate: Rate, now: Moment) -> Moment {
        if self.schedules.len() >= TRACKED_TARGETS_MAX {
            self.schedules
                .retain(|_, schedule| now.since(schedule.since) < SCHEDULE_LIFETIME);
        }
        let known = self.schedules.get(target).copied();
        let schedule = match known {
            Some(known) if known.place_version == self.nodes_version => known,
            _ => {
                let schedule = Schedule {
                    since: known.map_or(now, |known| known.since),
                    has_sent: known.is_some_and(|known| known.has_sent),
                    place: self.place(target),
                    place_version: self.nodes_version,
                };
                self.schedules.insert(Arc::clone(target), schedule);
                schedule
            }
        };
        match self.part(schedule.place, rate) {
            Part::Sender(_) if !schedule.has_sent => schedule.since,
            Part::Trial { first, .. } if !schedule.has_sent => schedule.since + first,
            Part::Sender(interval) | Part::Trial { interval, .. } => schedule.since + interval,
            Part::None => Moment::NEVER,
        }
    }

    /// Takes the turn for a request to the target, which delays the next one; absent if it has no schedule.
    pub fn take_turn(&mut self, target: &Arc<str>, now: Moment) -> Option<Turn> {
        let schedule = self.schedules.get_mut(target)?;
        let turn = Turn {
            target: Arc::clone(target),
            taken_at: now,
            since: schedule.since,
            has_sent: schedule.has_sent,
        };
        schedule.since = now;
        schedule.has_sent = true;
        Some(turn)
    }

    /// Takes back the turn of a request that was not sent, unless a later one was taken.
    pub fn take_back(&mut self, turn: &Turn) {
        let schedule = self.schedules.get_mut(&turn.target);
        if let Some(schedule) = schedule.filter(|it| it.since == turn.taken_at) {
            schedule.since = turn.since;
            schedule.has_sent = turn.has_sent;
        }
    }

    /// Forgets the requests to a target whose rate is not bounded any more.
    pub fn forget(&mut self, target: &str) {
        self.schedules.remove(target);
    }

    /// Returns the place of this node in the order for the target.
    fn place(&self, target: &str) -> Place {
        let weight = |node: u64| xxh3_64_with_seed(target.as_bytes(), node);
        let own_weight = weight(self.own);
        let heavier = self.nodes.iter().filter(|it| weight(**it) > own_weight);
        Place {
            position: heavier.count(),
            nodes: self.node_count,
        }
    }

    fn part(&self, Place { position, nodes }: Place, rate: Rate) -> Part {
        if rate.has_trials && !self.is_serving {
            return Part::Trial {
                first: STANDBY_TRIAL_INTERVAL,
                interval: STANDBY_TRIAL_INTERVAL,
            };
        }
        let senders = rate.senders_max.min(nodes);
        if rate.per_second <= 0.0 {
            Part::None
        } else if position < senders {
            Part::Sender(seconds(senders as f64 / rate.per_second))
        } else if rate.has_trials {
            let others = nodes - senders;
            let interval = rate.trial_interval(others);
            let share = (position - senders + 1) as f64 / others as f64;
            Part::Trial {
                first: seconds(interval.as_secs_f64() * share),
                interval,
            }
        } else {
            Part::None
        }
    }
}

fn hash_node(node: &str) -> u64 {
    xxh3_64(node.as_bytes())
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
