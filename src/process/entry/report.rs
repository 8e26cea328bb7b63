//! What is counted and logged of one request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::header::HeaderValue;
use xxhash_rust::xxh3::xxh3_64;

use super::{IncomingRequest, Shared};
use crate::request::fanout::{Extra, Fanout};
use crate::request::reply::Verdict;
use crate::time::Moment;
use crate::version::route::Route;

/// Counts a request of a caller for as long as it lives, and reports its end, also if its caller leaves.
pub(super) struct Report<P> {
    shared: Arc<Shared<P>>,
    id: HeaderValue,
    /// When the caller sent it.
    sent_at: Moment,
    /// When it had been read.
    read_at: Moment,
    pub(super) sampled: bool,
    pub(super) version: u64,
    pub(super) route: Option<Arc<Route>>,
    answered: usize,
    shards: usize,
    subrequests: usize,
    extra: Extra,
    missing_services: Vec<String>,
    /// Why services are missing.
    missing_causes: String,
    ended: bool,
}

impl<P> Report<P> {
    /// One request in this number is logged in full.
    const SAMPLE_ONE_IN: u64 = 64;
    /// Services that a line names at most.
    const MISSING_SERVICES_LOGGED_MAX: usize = 5;

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
            route: None,
            answered: 0,
            shards: 0,
            subrequests: 0,
            extra: Extra::default(),
            missing_services: Vec::new(),
            missing_causes: String::new(),
            ended: false,
        }
    }

    pub(super) fn record_fanout(&mut self, fanout: &Fanout) {
        (self.answered, self.shards) = fanout.coverage();
        self.subrequests = fanout.subrequests();
        self.extra = fanout.extra();
        let missing = fanout.missing().take(Self::MISSING_SERVICES_LOGGED_MAX);
        self.missing_services = missing.map(str::to_owned).collect();
        let causes = fanout.causes().into_iter();
        let causes: Vec<String> = causes
            .map(|(cause, count)| format!("{cause}:{count}"))
            .collect();
        self.missing_causes = causes.join(",");
    }

    pub(super) fn end(&mut self, verdict: &Verdict) {
        let mut retry_after = None;
        let (outcome, reason) = match verdict {
            Verdict::Single(answer) if answer.status.is_success() => ("answered", String::new()),
            Verdict::Single(answer) => ("failed", answer.status.as_u16().to_string()),
            Verdict::Merged { missing: 0, .. } => ("answered", String::new()),
            Verdict::Merged { .. } => ("partial", String::new()),
            Verdict::Refused {
                reason,
                retry_after: after,
            } => {
                retry_after = Some(millis_rounded(*after));
                ("refused", reason.to_string())
            }
            Verdict::Unknown(reason) => ("unknown", reason.to_string()),
            Verdict::Expired => ("expired", String::new()),
            Verdict::Invalid(invalid) => ("invalid", invalid.to_string()),
        };
        if matches!(verdict, Verdict::Merged { .. }) {
            let coverage = self.answered as f64 / self.shards.max(1) as f64;
            self.shared.meters.coverage.observe(coverage);
        }
        self.log_end(outcome, &reason, retry_after);
    }

    fn log_end(&mut self, outcome: &'static str, reason: &str, retry_after: Option<f64>) {
        self.ended = true;
        let now = self.shared.clock.now();
        let took = now.since(self.sent_at);
        self.shared.meters.request(outcome, reason.to_owned(), took);
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
            answered = self.answered, shards = self.shards, missing = self.missing_services.join(","),
            causes = self.missing_causes,
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

/// Returns milliseconds with one decimal, which is what log lines show.
pub(super) fn millis_rounded(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

/// Returns a request id as text.
pub(super) fn id_text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("not text")
}
