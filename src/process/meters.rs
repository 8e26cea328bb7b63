//! Meters: the metrics of an entry instance, in the Prometheus text format. The metrics of a gateway or
//! coordinator node are in [`super::metrics`].

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::journal;
use crate::connection::memory;

/// Labels of a request or subrequest that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// How it ended, for example `answered`, `refused` or `failed`.
    pub outcome: &'static str,
    /// The reason for that outcome, or an empty string if there is none to tell.
    pub reason: String,
}

/// Label of a subrequest that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// Why it was sent: `first`, `hedge` or `retry`.
    pub cause: &'static str,
}

/// Labels of a call to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// The operation, for example `put` or `renew`.
    pub call: &'static str,
    /// The result: `ok` or `failed`.
    pub outcome: &'static str,
}

/// Label of what was refused or given up because the memory for callers was used up.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MemoryRefusalLabel {
    /// What it was, for example `refused_body` or `displaced_connection`.
    pub what: &'static str,
}

/// Label of a probe, that is, a connection opened to a target that does not answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProbeLabel {
    /// The result: `reached` or `failed`.
    pub outcome: &'static str,
}

/// Label of the roll-outs in a phase.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabel {
    /// The phase, for example `canary`.
    pub phase: String,
}

/// All metrics of an entry instance; clones share the same values.
#[derive(Debug, Clone)]
pub struct Meters {
    registry: Arc<Registry>,
    /// Requests that ended, by outcome and reason.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Subrequests that were sent, by cause.
    pub subrequests: Family<CauseLabel, Counter>,
    /// Subrequests that were sent to targets that state a limit on their requests, by cause.
    pub limited_subrequests: Family<CauseLabel, Counter>,
    /// Subrequests that ended, by outcome and reason.
    pub subrequest_ends: Family<OutcomeLabels, Counter>,
    /// Calls to the platform's store, by operation and result.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Probes of targets that do not answer, by result.
    pub target_probes: Family<ProbeLabel, Counter>,
    /// Items of the store that could not be decoded.
    pub unreadable_items: Counter,
    /// Changes from the store that were ignored, because newer ones of their keys were known.
    pub outdated_changes: Counter,
    /// Log lines that were dropped because of their rate limit or because the queue was full.
    pub dropped_log_lines: Gauge,
    /// The version of the settings in force; zero before any are known.
    pub settings_version: Gauge,
    /// Milliseconds for which nothing has confirmed the settings in force; zero while they are confirmed.
    pub settings_unconfirmed_ms: Gauge,
    /// One while the store answers, else zero.
    pub store_up: Gauge,
    /// Targets in the registry.
    pub targets: Gauge,
    /// Targets that state a limit on their requests.
    pub limited_targets: Gauge,
    /// Targets that get no subrequests because they have turned one away for a stated time.
    pub turned_away_targets: Gauge,
    /// Subrequests that have no result yet.
    pub open_subrequests: Gauge,
    /// Requests refused because their tenant had spent its quota.
    pub throttled_requests: Counter,
    /// The share of this node's part of a quota that the tenant's requests took, for each tenant with requests.
    pub quota_usage: Histogram,
    /// Targets that this node or others have found to be slow; zero unless loads are shared.
    pub slow_targets: Gauge,
    /// Subrequests of this node to its busiest target in the last 10 s, over the mean of all targets.
    pub busiest_to_mean: Gauge<f64, AtomicU64>,
    /// Other nodes whose heartbeats arrived lately.
    pub nodes: Gauge,
    /// Bytes that callers make the node hold.
    pub memory_held: Gauge,
    /// Bytes that callers may make the node hold.
    pub memory_capacity: Gauge,
    /// What was refused or given up because the memory for callers was used up.
    pub memory_refusals: Family<MemoryRefusalLabel, Counter>,
    /// Bytes that connections to targets hold.
    pub target_memory_held: Gauge,
    /// Bytes that connections to targets may hold.
    pub target_memory_capacity: Gauge,
    /// What was closed or given up because the memory for connections to targets was used up.
    pub target_memory_refusals: Family<MemoryRefusalLabel, Counter>,
    /// Roll-outs of services, by phase.
    pub rollouts: Family<PhaseLabel, Gauge>,
    /// Answers of targets of versions that are rolled out, by outcome.
    pub rollout_answers: Family<OutcomeLabels, Counter>,
    /// Requests that are being served.
    pub running_requests: Gauge,
    /// The time from sending a request, as far as the node knows it, to its answer, in seconds.
    pub request_time: Histogram,
    /// The time from sending a subrequest to its end, in seconds.
    pub subrequest_time: Histogram,
    /// The share of the shards that answered, for each merged answer to a query.
    pub coverage: Histogram,
}

impl Meters {
    /// Creates and registers all metrics.
    pub fn open() -> Self {
        // From 1 ms in steps of a factor of 1.6 to beyond the longest relevant deadline.
        let latency_histogram = || Histogram::new(exponential_buckets(0.001, 1.6, 20));
        let mut meters = Self {
            registry: Arc::default(),
            requests: Family::default(),
            subrequests: Family::default(),
            limited_subrequests: Family::default(),
            subrequest_ends: Family::default(),
            store_calls: Family::default(),
            target_probes: Family::default(),
            unreadable_items: Counter::default(),
            outdated_changes: Counter::default(),
            dropped_log_lines: Gauge::default(),
            settings_version: Gauge::default(),
            settings_unconfirmed_ms: Gauge::default(),
            store_up: Gauge::default(),
            targets: Gauge::default(),
            limited_targets: Gauge::default(),
            turned_away_targets: Gauge::default(),
            open_subrequests: Gauge::default(),
            throttled_requests: Counter::default(),
            quota_usage: Histogram::new([0.1, 0.25, 0.5, 0.75, 0.9, 1.0, 1.25, 1.5, 2.0, 4.0]),
            slow_targets: Gauge::default(),
            busiest_to_mean: Gauge::default(),
            nodes: Gauge::default(),
            memory_held: Gauge::default(),
            memory_capacity: Gauge::default(),
            memory_refusals: Family::default(),
            target_memory_held: Gauge::default(),
            target_memory_capacity: Gauge::default(),
            target_memory_refusals: Family::default(),
            rollouts: Family::default(),
            rollout_answers: Family::default(),
            running_requests: Gauge::default(),
            request_time: latency_histogram(),
            subrequest_time: latency_histogram(),
            coverage: Histogram::new([0.5, 0.75, 0.8, 0.85, 0.9, 0.95, 0.99, 1.0]),
        };
        meters.registry = Arc::new(meters.register());
        meters
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("redwinggrade");
        registry.register("requests", "Requests by their end", self.requests.clone());
        registry.register(
            "legs",
            "Subrequests sent, by cause",
            self.subrequests.clone(),
        );
        registry.register(
            "limited_legs",
            "Subrequests sent to targets that state a limit, by cause",
            self.limited_subrequests.clone(),
        );
        registry.register(
            "leg_ends",
            "Subrequests by their end",
            self.subrequest_ends.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "target_probes",
            "Connections opened to targets that gave no answer",
            self.target_probes.clone(),
        );
        registry.register(
            "unreadable_items",
            "Items of the store that could not be read",
            self.unreadable_items.clone(),
        );
        registry.register(
            "outdated_changes",
            "Changes from the store older than those known of their keys",
            self.outdated_changes.clone(),
        );
        registry.register(
            "dropped_log_lines",
            "Log lines above their rate or beyond the queue",
            self.dropped_log_lines.clone(),
        );
        registry.register(
            "settings_version",
            "Version of the settings in force",
            self.settings_version.clone(),
        );
        registry.register(
            "settings_unconfirmed_ms",
            "Milliseconds for which nothing has confirmed the settings in force",
            self.settings_unconfirmed_ms.clone(),
        );
        registry.register(
            "store_up",
            "Whether the store answers",
            self.store_up.clone(),
        );
        registry.register("targets", "Targets that take work", self.targets.clone());
        registry.register(
            "limited_targets",
            "Targets that state a limit on their requests",
            self.limited_targets.clone(),
        );
        registry.register(
            "turned_away_targets",
            "Targets that have turned requests away for a stated time",
            self.turned_away_targets.clone(),
        );
        registry.register(
            "open_legs",
            "Subrequests that have no result yet",
            self.open_subrequests.clone(),
        );
        registry.register(
            "throttled_requests",
            "Requests refused because their tenant had spent its quota",
            self.throttled_requests.clone(),
        );
        registry.register(
            "quota_usage_ratio",
            "Share of this node's part of a tenant's quota that its requests took",
            self.quota_usage.clone(),
        );
        registry.register(
            "slow_targets",
            "Targets that this node or others have found to be slow",
            self.slow_targets.clone(),
        );
        registry.register(
            "busiest_to_mean",
            "Subrequests to the busiest target in 10 s, over the mean of all targets",
            self.busiest_to_mean.clone(),
        );
        registry.register("nodes", "Other nodes heard lately", self.nodes.clone());
        registry.register(
            "caller_memory_bytes",
            "Memory that callers make the node hold",
            self.memory_held.clone(),
        );
        registry.register(
            "caller_memory_limit_bytes",
            "Memory that callers may make the node hold",
            self.memory_capacity.clone(),
        );
        registry.register(
            "caller_memory_refusals",
            "What was refused or given up for lack of memory or connections",
            self.memory_refusals.clone(),
        );
        registry.register(
            "target_memory_bytes",
            "Memory that connections to targets hold",
            self.target_memory_held.clone(),
        );
        registry.register(
            "target_memory_limit_bytes",
            "Memory that connections to targets may hold",
            self.target_memory_capacity.clone(),
        );
        registry.register(
            "target_memory_refusals",
            "Idle connections closed and answers given up for lack of memory",
            self.target_memory_refusals.clone(),
        );
        registry.register(
            "rollouts",
            "Roll-outs of services, by phase",
            self.rollouts.clone(),
        );
        registry.register(
            "rollout_answers",
            "Answers of targets of versions that are rolled out, by outcome",
            self.rollout_answers.clone(),
        );
        registry.register(
            "running_requests",
            "Requests that run now",
            self.running_requests.clone(),
        );
        registry.register_with_unit(
            "request_time",
            "Time from a request's arrival to its answer",
            Unit::Seconds,
            self.request_time.clone(),
        );
        registry.register_with_unit(
            "leg_time",
            "Time from sending a subrequest to its answer",
            Unit::Seconds,
            self.subrequest_time.clone(),
        );
        registry.register(
            "coverage_ratio",
            "Share of the shards in the answers of queries",
            self.coverage.clone(),
        );
        registry
    }

    /// Counts a request that ended and records the time it took.
    pub fn record_request(&self, outcome: &'static str, reason: String, took: Duration) {
        self.requests
            .get_or_create(&OutcomeLabels { outcome, reason })
            .inc();
        self.request_time.observe(took.as_secs_f64());
    }

    /// Counts a subrequest that was sent.
    pub fn count_subrequest(&self, cause: &'static str) {
        self.subrequests.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a subrequest that was sent to a target that states a limit on its requests.
    pub fn count_limited_subrequest(&self, cause: &'static str) {
        self.limited_subrequests
            .get_or_create(&CauseLabel { cause })
            .inc();
    }

    /// Counts a subrequest that ended and records the time it took.
    pub fn record_subrequest(&self, outcome: &'static str, reason: String, took: Duration) {
        self.subrequest_ends
            .get_or_create(&OutcomeLabels { outcome, reason })
            .inc();
        self.subrequest_time.observe(took.as_secs_f64());
    }

    /// Counts a call to the platform's store.
    pub fn count_store_call(&self, call: &'static str, is_ok: bool) {
        let outcome = if is_ok { "ok" } else { "failed" };
        let labels = StoreCallLabels { call, outcome };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Counts an answer of a target whose version is rolled out.
    pub fn count_rollout_answer(&self, failed: bool) {
        let labels = OutcomeLabels {
            outcome: if failed { "failed" } else { "done" },
            reason: String::new(),
        };
        self.rollout_answers.get_or_create(&labels).inc();
    }

    /// Counts a probe of a target; `reached` tells whether a connection could be opened.
    pub fn count_probe(&self, reached: bool) {
        let outcome = if reached { "reached" } else { "failed" };
        self.target_probes
            .get_or_create(&ProbeLabel { outcome })
            .inc();
    }

    /// Takes over what the memory for callers and the one for connections to targets hold and have refused.
    pub fn set_memory(&self, callers: &memory::Usage, targets: &memory::Usage) {
        let bytes = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        let set = |counters: &Family<MemoryRefusalLabel, Counter>, what, count| {
            let counter = counters.get_or_create(&MemoryRefusalLabel { what });
            counter.inner().store(count, Ordering::Relaxed);
        };
        self.target_memory_held.set(bytes(targets.held));
        self.target_memory_capacity.set(bytes(targets.capacity));
        for (what, count) in [
            ("displaced_connection", targets.displaced_connections),
            ("refused_answer", targets.refused_answers),
        ] {
            set(&self.target_memory_refusals, what, count);
        }
        let usage = callers;
        self.memory_held.set(bytes(usage.held));
        self.memory_capacity.set(bytes(usage.capacity));
        for (what, count) in [
            ("refused_connection", usage.refused_connections),
            ("displaced_connection", usage.displaced_connections),
            ("refused_body", usage.refused_bodies),
            ("displaced_body", usage.displaced_bodies),
            ("refused_request", usage.refused_requests),
            ("refused_answer", usage.refused_answers),
        ] {
            set(&self.memory_refusals, what, count);
        }
    }

    /// Renders all metrics in the Prometheus text format. `rate_limited_lines` is the number of log lines
    /// that were dropped by rate limits.
    pub fn render(&self, rate_limited_lines: u64) -> String {
        let dropped =
            i64::try_from(journal::dropped_lines() + rate_limited_lines).unwrap_or(i64::MAX);
        self.dropped_log_lines.set(dropped);
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
