//! Metrics and log lines about one request of a caller.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::header::HeaderValue;
use xxhash_rust::xxh3::xxh3_64;

use super::{IncomingRequest, Shared};
use crate::request::fanout::{ExtraSubrequests, Fanout};
use crate::request::reply::Verdict;
use crate::tenancy::Tenant;
use crate::time::Moment;
use crate::version::route::Route;

/// Counts a request as running until it is dropped, and reports its end, also if the caller disconnects.
pub(super) struct Report<P> {
    shared: Arc<Shared<P>>,
    id: HeaderValue,
    /// The estimated time at which the caller sent the request.
    sent_at: Moment,
    /// When the request had been read completely.
    read_at: Moment,
    /// Whether the request and all of its subrequests are logged.
    pub(super) sampled: bool,
    /// The settings version under which the request runs; zero before one is chosen.
    pub(super) version: u64,
    /// Whether that version was known to be the newest one when it was chosen.
    pub(super) confirmed: bool,
    pub(super) route: Option<Arc<Route>>,
    /// The tenant whose key the request has.
    pub(super) tenant: Option<Arc<Tenant>>,
    /// The number of shards that have answered.
    answered: usize,
    /// The number of shards that were asked.
    shards: usize,
    /// The number of subrequests that were sent.
    subrequests: usize,
    extra: ExtraSubrequests,
    missing_services: Vec<String>,
    /// Why services have not answered: `cause:count`, separated by commas.
    missing_causes: String,
    ended: bool,
}

impl<P> Report<P> {
    /// One request in this number is logged with all of its subrequests.
    const SAMPLE_ONE_IN: u64 = 64;
    /// Maximum number of services without an answer that a log line names.
    const MISSING_SERVICES_LOGGED_MAX: usize = 5;

    /// Starts to count a request, before any decision about it.
    pub(super) fn open(shared: &Arc<Shared<P>>, request: &IncomingRequest) -> Self {
        shared.running_requests.fetch_add(1, Ordering::AcqRel);
        let id = &request.call.request_id;
        Self {
            shared: Arc::clone(shared),
            id: id.clone(),
            sent_at: request.sent_at,
            read_at: shared.clock.now(),
            sampled: xxh3_64(id.as_bytes()).is_multiple_of(Self::SAMPLE_ONE_IN),
            version: 0,
            confirmed: false,
            route: None,
            tenant: None,
            answered: 0,
            shards: 0,
            subrequests: 0,
            extra: ExtraSubrequests::default(),
            missing_services: Vec::new(),
            missing_causes: String::new(),
            ended: false,
        }
    }

    /// Takes the coverage and the number of subrequests from a finished fan-out.
    pub(super) fn record_fanout(&mut self, fanout: &Fanout) {
        (self.answered, self.shards) = fanout.coverage();
        self.subrequests = fanout.subrequests();
        self.extra = fanout.extra();
        let missing = fanout
            .unanswered_services()
            .take(Self::MISSING_SERVICES_LOGGED_MAX);
        self.missing_services = missing.map(str::to_owned).collect();
        let causes = fanout.failure_counts().into_iter();
        let causes: Vec<String> = causes
            .map(|(cause, count)| format!("{cause}:{count}"))
            .collect();
        self.missing_causes = causes.join(",");
    }

    /// Reports the end of the request with its verdict.
    pub(super) fn end(&mut self, verdict: &Verdict) {
        let mut retry_after = None;
        let (outcome, reason) = match verdict {
            Verdict::Single(answer) if answer.status.is_success() => ("answered", String::new()),
            Verdict::Single(answer) => ("failed", answer.status.as_u16().to_string()),
            Verdict::Merged {
                missing_shards: 0, ..
            } => ("answered", String::new()),
            Verdict::Merged { .. } => ("partial", String::new()),
            Verdict::Refused {
                reason,
                retry_after: after,
            } => {
                retry_after = Some(millis_rounded(*after));
                ("refused", reason.to_string())
            }
            Verdict::Throttled { retry_after: after } => {
                retry_after = Some(millis_rounded(*after));
                self.shared.meters.throttled_requests.inc();
                ("refused", "quota".to_owned())
            }
            Verdict::OutcomeUnknown(reason) => ("unknown", reason.to_string()),
            Verdict::Expired => ("expired", String::new()),
            Verdict::Invalid(invalid) => ("invalid", invalid.to_string()),
        };
        if matches!(verdict, Verdict::Merged { .. }) {
            let coverage = self.answered as f64 / self.shards.max(1) as f64;
            self.shared.meters.coverage.observe(coverage);
        }
        self.log_end(outcome, &reason, retry_after);
    }

    /// Counts the request, and logs it if it is sampled, late or not answered completely.
    fn log_end(&mut self, outcome: &'static str, reason: &str, retry_after: Option<f64>) {
        self.ended = true;
        let now = self.shared.clock.now();
        let took = now.since(self.sent_at);
        self.shared
            .meters
            .record_request(outcome, reason.to_owned(), took);
        let route = self.route.as_ref();
        let late = route.is_some_and(|route| took > route.latency_objective);
        let is_logged = self.sampled || late || outcome != "answered";
        if !is_logged || !self.shared.log_limits().requests.admit(now) {
            return;
        }
        log::info!(
            request:% = id_text(&self.id), outcome, reason, late, took_ms = millis_rounded(took),
            waited_ms = millis_rounded(self.read_at.since(self.sent_at)),
            objective_ms = route.map(|route| millis_rounded(route.latency_objective)),
            route = route.map_or("", |route| &*route.name), version = self.version,
            confirmed = self.confirmed, tenant = self.tenant.as_ref().map(|tenant| &*tenant.name),
            answered = self.answered, shards = self.shards,
            missing = self.missing_services.join(","), causes = self.missing_causes,
            legs = self.subrequests, hedges = self.extra.hedges, retries = self.extra.retries,
            retry_after_ms = retry_after;
            "request ended"
        );
    }
}

impl<P> Drop for Report<P> {
    fn drop(&mut self) {
        self.shared.running_requests.fetch_sub(1, Ordering::AcqRel);
        if !self.ended {
            self.log_end("abandoned", "", None);
        }
    }
}

/// Returns a time in milliseconds, rounded to one decimal, as log lines show it.
pub(super) fn millis_rounded(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

/// Returns a request id for log lines, with a placeholder if it is not text.
pub(super) fn id_text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("not text")
}
