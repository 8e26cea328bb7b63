//! What a request that was passed on comes to: the answers of targets, and the reply to the caller.

use bytes::Bytes;
use derive_more::Display;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use std::time::Duration;

/// The whole answer of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers that go to the caller, without those of the connection.
    pub headers: HeaderMap,
    /// The signature by which the target vouches for the answer.
    pub seal: Option<HeaderValue>,
    /// The whole body.
    pub body: Bytes,
}

/// How a subrequest ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The target ran the request and succeeded.
    Succeeded(Answer),
    /// The target ran the request and failed.
    Failed(Answer),
    /// The target certainly did not run the request.
    NotRun(FailureCause),
    /// The target may have run the request, and no whole answer came.
    Lost(FailureCause),
}

/// Why a subrequest has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum FailureCause {
    /// The target refused for want of room.
    #[display("shed")]
    Shed,
    /// Another target answered at the address.
    #[display("misdirected")]
    Misdirected,
    /// No connection could be made.
    #[display("unreachable")]
    Unreachable,
    /// The target is gone from the registry.
    #[display("gone")]
    Unregistered,
    /// The connection ended before the answer was whole.
    #[display("broken")]
    Truncated,
    /// A new connection ended before any answer.
    #[display("cut")]
    ClosedUnanswered,
    /// The answer belongs to another request, or bears no signature.
    #[display("foreign")]
    Unverified,
    /// The answer did not come in time.
    #[display("timeout")]
    Timeout,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of one target, success or failure, unchanged.
    Single(Answer),
    /// The answer merged from several shards.
    Merged {
        /// The signatures of the parts.
        seals: Vec<HeaderValue>,
        /// Shards that are left out.
        missing_shards: usize,
        /// The merged records.
        records: Bytes,
    },
    /// The request has not run and will not run.
    Refused {
        /// Why.
        reason: Reason,
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// The request may have run.
    OutcomeUnknown(Reason),
    /// The deadline passed; the request may have run.
    Expired,
    /// The request cannot be served by any version that is in force.
    Invalid(Invalid),
}

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// The node knows no settings yet.
    #[display("no_settings")]
    NoSettings,
    /// The node cannot tell whether the route exists, because it has not heard from the store lately.
    #[display("uncertain_route")]
    UncertainRoute,
    /// No target of a service takes work.
    #[display("no_target")]
    NoTarget,
    /// Every target that was asked refused.
    #[display("shed")]
    Shed,
    /// Too few shards can answer.
    #[display("low_coverage")]
    LowCoverage,
    /// The budget for extra requests is spent.
    #[display("no_budget")]
    NoBudget,
    /// The target broke off, or its answer was unusable.
    #[display("lost_answer")]
    LostAnswer,
    /// The target did not answer in time.
    #[display("timeout")]
    Timeout,
    /// The caller's patience had ended when the node read the request.
    #[display("read_late")]
    ReadLate,
    /// Too many requests run at this node.
    #[display("overload")]
    Overload,
}

/// Why a request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Invalid {
    /// No route takes the host and path.
    #[display("no_route")]
    NoRoute,
    /// The request lacks a header that it must have, or has a malformed one.
    #[display("bad_request")]
    BadRequest,
    /// The body did not come in time; nothing was sent to a target.
    #[display("slow_body")]
    SlowBody,
    /// The body is too long.
    #[display("too_large")]
    TooLarge,
}
