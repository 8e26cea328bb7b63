//! Metrics of a node that runs a coordinator or gateway, in the Prometheus text format: counts of requests,
//! refusals, retries and hedges, by reason.

use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::wire::{Cause, Reason};

/// Label of a refused request or a failed subrequest.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Why the request was refused, or the subrequest got no answer.
    pub reason: Reason,
}

/// Label of a subrequest that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// Why the subrequest was sent.
    pub cause: Cause,
}

/// All metrics of a node; clones share the same values.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Requests received from callers.
    pub requests: Counter,
    /// Requests answered with a result.
    pub answers: Counter,
    /// Requests refused, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Subrequests sent to gateways, by cause.
    pub subrequests: Family<CauseLabel, Counter>,
    /// Subrequests that ended without an answer, by reason.
    pub subrequest_failures: Family<ReasonLabel, Counter>,
    /// Requests dispatched to targets.
    pub dispatches: Counter,
    /// Connections opened to targets.
    pub target_connections: Counter,
    /// Calls to the platform's store, whether they succeed or not.
    pub store_calls: Counter,
    /// Calls to the platform's store that failed or timed out.
    pub store_failures: Counter,
    /// Exchanges of state with other nodes that failed.
    pub exchange_failures: Counter,
    /// Control messages of other nodes that this node answered.
    pub control_calls: Counter,
    /// Bytes of these control messages and of their answers, without HTTP framing.
    pub control_bytes: Counter,
    /// The version of the settings in force.
    pub settings_version: Gauge,
    /// The revision of the cell record in force.
    pub cell_revision: Gauge,
    /// One while the node holds a permit to dispatch, else zero.
    pub permit: Gauge,
    /// Number of targets that this node owns.
    pub owned_targets: Gauge,
    /// The time from a request's arrival to its answer, in seconds.
    pub latency: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn open() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            requests: Counter::default(),
            answers: Counter::default(),
            refusals: Family::default(),
            subrequests: Family::default(),
            subrequest_failures: Family::default(),
            dispatches: Counter::default(),
            target_connections: Counter::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            exchange_failures: Counter::default(),
            control_calls: Counter::default(),
            control_bytes: Counter::default(),
            settings_version: Gauge::default(),
            cell_revision: Gauge::default(),
            permit: Gauge::default(),
            owned_targets: Gauge::default(),
            // From 0.5 ms in steps of a factor of 1.6 to beyond the longest relevant deadline.
            latency: Histogram::new(exponential_buckets(0.000_5, 1.6, 20)),
        };
        metrics.registry = Arc::new(metrics.register());
        metrics
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("redwinggrade");
        registry.register("requests", "Requests from callers", self.requests.clone());
        registry.register(
            "answers",
            "Requests answered with a result",
            self.answers.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "legs",
            "Subrequests sent to gateways, by cause",
            self.subrequests.clone(),
        );
        registry.register(
            "leg_failures",
            "Subrequests without an answer",
            self.subrequest_failures.clone(),
        );
        registry.register(
            "dispatches",
            "Requests dispatched to targets",
            self.dispatches.clone(),
        );
        registry.register(
            "target_connections",
            "New connections to targets",
            self.target_connections.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform's store",
            self.store_calls.clone(),
        );
        registry.register(
            "store_failures",
            "Failed store calls",
            self.store_failures.clone(),
        );
        registry.register(
            "exchange_failures",
            "Failed exchanges with other nodes",
            self.exchange_failures.clone(),
        );
        registry.register(
            "control_calls",
            "Control messages answered",
            self.control_calls.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of control messages and their answers",
            self.control_bytes.clone(),
        );
        registry.register(
            "settings_version",
            "Settings version in force",
            self.settings_version.clone(),
        );
        registry.register(
            "cell_revision",
            "Cell record revision in force",
            self.cell_revision.clone(),
        );
        registry.register(
            "permit",
            "Whether the node holds a permit",
            self.permit.clone(),
        );
        registry.register("owned_targets", "Targets owned", self.owned_targets.clone());
        registry.register_with_unit(
            "latency",
            "Time from arrival to answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry
    }

    /// Counts a request that was refused.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a subrequest that was sent.
    pub fn count_subrequest(&self, cause: Cause) {
        self.subrequests.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a subrequest that ended without an answer.
    pub fn count_subrequest_failure(&self, reason: Reason) {
        self.subrequest_failures
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
