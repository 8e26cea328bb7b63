//! The outcomes of a forwarded request: the answers of targets, and the reply to the caller.

use bytes::Bytes;
use derive_more::Display;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use std::time::Duration;

/// A complete HTTP response of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status of the target.
    pub status: StatusCode,
    /// The headers that are passed on to the caller; hop-by-hop headers are left out.
    pub headers: HeaderMap,
    /// The signature of the target over its answer; absent if it sent none.
    pub signature: Option<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
}

/// How a subrequest ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The target ran the request and answered with a success.
    Succeeded(Answer),
    /// The target ran the request and answered with a failure.
    Failed(Answer),
    /// It is certain that the target did not run the request.
    NotRun(FailureCause),
    /// The target may have run the request, but no complete and valid answer arrived.
    Lost(FailureCause),
}

/// The reason for which a subrequest has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum FailureCause {
    /// The target refused the request because of its load.
    #[display("shed")]
    Shed,
    /// The address belongs to another target, which refused the request.
    #[display("misdirected")]
    Misdirected,
    /// No connection to the target could be made, or a new one ended before the request was written to it.
    #[display("unreachable")]
    Unreachable,
    /// The deadline passed before the request was written.
    #[display("unsent")]
    Unsent,
    /// The target was removed from the registry before the request was sent.
    #[display("gone")]
    Unregistered,
    /// The request was written to a reused connection, and the connection ended before the answer was
    /// complete.
    #[display("broken")]
    ReusedConnectionClosed,
    /// The request was written to a new connection, and the connection ended before the answer was complete.
    #[display("cut")]
    NewConnectionClosed,
    /// The target sent more bytes than an answer may have.
    #[display("too_large")]
    TooLarge,
    /// The answer carries the id of another request, lacks an id on a connection that has carried an answer
    /// before, has no signature or has an encoded body.
    #[display("foreign")]
    Unverified,
    /// The status of the answer is not one that ends a request, that is, not from 200 to 599.
    #[display("bad_status")]
    InvalidStatus,
    /// No answer arrived before the deadline.
    #[display("timeout")]
    Timeout,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of one target, success or failure, passed on unchanged.
    Single(Answer),
    /// The answer merged from several shards.
    Merged {
        /// The signatures of the merged answers.
        signatures: Vec<HeaderValue>,
        /// The number of shards without an answer.
        missing_shards: usize,
        /// The merged records, in descending order.
        records: Bytes,
    },
    /// No target has run the request or will run it.
    Refused {
        /// The reason for the refusal.
        reason: Reason,
        /// The time after which the caller should try again.
        retry_after: Duration,
    },
    /// The request exceeds the quota of its tenant. No target has run it or will run it.
    Throttled {
        /// The time after which the caller should try again.
        retry_after: Duration,
    },
    /// A target may have run the request, and the caller gets no answer, for this reason.
    OutcomeUnknown(Reason),
    /// The deadline passed; a target may have run the request.
    Expired,
    /// The request is invalid, and nothing was sent to a target.
    Invalid(Invalid),
}

/// The reason for which a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// The node has not loaded any settings yet.
    #[display("no_settings")]
    NoSettings,
    /// No route matches, but the node has had no contact with the store recently and may lack a new one.
    #[display("uncertain_route")]
    UncertainRoute,
    /// No tenant holds the key, but the node has had no contact with the store recently and may lack a new one.
    #[display("uncertain_key")]
    UncertainKey,
    /// A service has no target that takes work.
    #[display("no_target")]
    NoTarget,
    /// The limits that the targets of a service state leave no room.
    #[display("target_limit")]
    TargetLimit,
    /// The targets of a service have turned requests away and stated for how long.
    #[display("target_wait")]
    TargetWait,
    /// No target has capacity, or the shard has reached its limit on subrequests.
    #[display("shed")]
    Shed,
    /// Fewer shards can answer than the least coverage requires.
    #[display("low_coverage")]
    LowCoverage,
    /// The budget for extra subrequests is used up.
    #[display("no_budget")]
    NoBudget,
    /// The target closed the connection before its answer was complete, or the answer was invalid.
    #[display("lost_answer")]
    LostAnswer,
    /// The target did not answer before the deadline.
    #[display("timeout")]
    Timeout,
    /// The caller's deadline had passed when the node read the request.
    #[display("read_late")]
    ReadLate,
    /// This node runs too many requests or is overloaded.
    #[display("overload")]
    Overload,
    /// The memory of this node for callers, or for connections to targets, is used up.
    #[display("memory")]
    Memory,
}

/// The reason for which a request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Invalid {
    /// No route matches the host and path.
    #[display("no_route")]
    NoRoute,
    /// The route needs a key, and the request has none that identifies a tenant.
    #[display("unknown_key")]
    UnknownKey,
    /// A required header is missing, or a header is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The body did not arrive completely in time; nothing was sent to a target.
    #[display("slow_body")]
    SlowBody,
    /// The body exceeds the size limit.
    #[display("too_large")]
    TooLarge,
}
