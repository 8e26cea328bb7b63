//! What is counted and logged of one request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::header::HeaderValue;
use xxhash_rust::xxh3::xxh3_64;

use super::{Arrival, Shared};
use crate::request::fanout::{ExtraSubrequests, Fanout};
use crate::request::reply::Verdict;
use crate::time::Moment;
use crate::version::route::Route;

/// Counts a request of a caller for as long as it lives, and reports its end, also if its caller leaves.
pub(super) struct Report<P> {
    shared: Arc<Shared<P>>,
    id: HeaderValue,
    /// When the caller sent it.
    sent: Moment,
    /// When it had been read.
    read: Moment,
    pub(super) sampled: bool,
    pub(super) version: u64,
    pub(super) route: Option<Arc<Route>>,
    answered: usize,
    shards: usize,
    subrequests: usize,
    extra: ExtraSubrequests,
    missing: Vec<String>,
    /// Why services are missing.
    causes: String,
    ended: bool,
}

impl<P> Report<P> {
    /// One request in this number is logged in full.
    const SAMPLE: u64 = 64;
    /// Services that a line names at most.
    const MISSING_MAX: usize = 5;

    pub(super) fn open(shared: &Arc<Shared<P>>, arrival: &Arrival) -> Self {
        shared.running.fetch_add(1, Ordering::AcqRel);
        let id = &arrival.call.request_id;
        Self {
            shared: Arc::clone(shared),
            id: id.clone(),
            sent: arrival.sent,
            read: shared.clock.now(),
            sampled: xxh3_64(id.as_bytes()).is_multiple_of(Self::SAMPLE),
            version: 0,
            route: None,
            answered: 0,
            shards: 0,
            subrequests: 0,
            extra: ExtraSubrequests::default(),
            missing: Vec::new(),
            causes: String::new(),
            ended: false,
        }
    }

    pub(super) fn fanout(&mut self, fanout: &Fanout) {
        (self.answered, self.shards) = fanout.coverage();
        self.subrequests = fanout.subrequests();
        self.extra = fanout.extra();
        let missing = fanout.unanswered_services().take(Self::MISSING_MAX);
        self.missing = missing.map(str::to_owned).collect();
        let causes = fanout.failure_counts().into_iter();
        let causes: Vec<String> = causes
            .map(|(cause, count)| format!("{cause}:{count}"))
            .collect();
        self.causes = causes.join(",");
    }

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
                retry_after = Some(millis(*after));
                ("refused", reason.to_string())
            }
            Verdict::OutcomeUnknown(reason) => ("unknown", reason.to_string()),
            Verdict::Expired => ("expired", String::new()),
            Verdict::Invalid(invalid) => ("invalid", invalid.to_string()),
        };
        if matches!(verdict, Verdict::Merged { .. }) {
            let coverage = self.answered as f64 / self.shards.max(1) as f64;
            self.shared.meters.coverage.observe(coverage);
        }
        self.write(outcome, &reason, retry_after);
    }

    fn write(&mut self, outcome: &'static str, reason: &str, retry_after: Option<f64>) {
        self.ended = true;
        let now = self.shared.clock.now();
        let took = now.since(self.sent);
        self.shared
            .meters
            .record_request(outcome, reason.to_owned(), took);
        let route = self.route.as_ref();
        let late = route.is_some_and(|route| took > route.latency_objective);
        let wanted = self.sampled || late || outcome != "answered";
        if !wanted || !self.shared.lines().requests.admit(now) {
            return;
        }
        log::info!(
            request:% = text(&self.id), outcome, reason, late, took_ms = millis(took),
            waited_ms = millis(self.read.since(self.sent)),
            objective_ms = route.map(|route| millis(route.latency_objective)),
            route = route.map_or("", |route| &*route.name), version = self.version,
            answered = self.answered, shards = self.shards, missing = self.missing.join(","),
            causes = self.causes,
            legs = self.subrequests, hedges = self.extra.hedges, retries = self.extra.retries,
            retry_after_ms = retry_after;
            "request ended"
        );
    }
}

impl<P> Drop for Report<P> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::AcqRel);
        if !self.ended {
            self.write("abandoned", "", None);
        }
    }
}

/// Returns milliseconds with one decimal, which is what log lines show.
pub(super) fn millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

/// Returns a request id as text.
pub(super) fn text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("not text")
}
