//! The reasons for which requests fail, and the causes for which subrequests are sent.
//!
//! Each reason is a label value of a counter (`docs/OPERATIONS.md`) and decides whether the refusal may
//! report "not run" (`docs/CALLERS.md`).

use derive_more::Display;
use prometheus_client::encoding::EncodeLabelValue;
use serde::{Deserialize, Serialize};

/// The reason for which a request, or one subrequest of it, got no answer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EncodeLabelValue, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The settings have no such index.
    #[display("unknown_index")]
    UnknownIndex,
    /// The index has no such query kind.
    #[display("unknown_kind")]
    UnknownKind,
    /// The request does not conform to the interface for callers.
    #[display("bad_request")]
    BadRequest,
    /// The deadline is not a whole number of milliseconds from 1 to 60,000.
    #[display("bad_deadline")]
    BadDeadline,
    /// The request body is longer than the limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The content type of the request is not accepted.
    #[display("bad_content_type")]
    BadContentType,
    /// The request body did not arrive completely within the time limit.
    #[display("slow_body")]
    SlowBody,
    /// The request id is missing, malformed or was not issued by this system.
    #[display("bad_request_id")]
    BadRequestId,
    /// The request id was used before with another body.
    #[display("reused_request_id")]
    ReusedRequestId,
    /// The request id is lower than the watermark of its session.
    #[display("request_id_too_old")]
    RequestIdTooOld,
    /// The node is stopping and takes no new work.
    #[display("stopping")]
    Stopping,
    /// The node has no permit: it cannot prove that its settings and its cell record are current.
    #[display("no_permit")]
    NoPermit,
    /// The node does not own the target.
    #[display("not_owner")]
    NotOwner,
    /// No usable target exists for the shard.
    #[display("no_target")]
    NoTarget,
    /// The data centre or the target is out of service or is leaving the system.
    #[display("out_of_service")]
    OutOfService,
    /// A bounded queue or table is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline passed before the request was dispatched, or can no longer be met.
    #[display("expired")]
    Expired,
    /// The target refused the request because of its load.
    #[display("shed")]
    Shed,
    /// The target refused the request because it is draining.
    #[display("draining")]
    Draining,
    /// The target no longer holds the index version that the query is pinned to.
    #[display("version_gone")]
    VersionGone,
    /// The connection to the target could not be made, or the request was never written to it.
    #[display("not_sent")]
    NotSent,
    /// The request was cancelled before it was dispatched.
    #[display("cancelled")]
    Cancelled,
    /// The connection was lost after the request was written and before an answer arrived.
    #[display("connection_lost")]
    ConnectionLost,
    /// The deadline passed after the request was dispatched.
    #[display("timeout")]
    Timeout,
    /// The answer belongs to another request than the one that was sent.
    #[display("mismatched_answer")]
    MismatchedAnswer,
    /// The target answered with an error after it may have started to execute the request.
    #[display("target_error")]
    TargetError,
    /// The node that may have had the request executed is gone or unreachable.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// Fewer shards answered than the query kind requires.
    #[display("low_coverage")]
    LowCoverage,
}

impl Reason {
    /// Returns whether this reason proves that no target started to execute the request.
    pub const fn not_run(self) -> bool {
        match self {
            Self::UnknownIndex
            | Self::UnknownKind
            | Self::BadRequest
            | Self::BadDeadline
            | Self::BodyTooLarge
            | Self::BadContentType
            | Self::SlowBody
            | Self::BadRequestId
            | Self::Stopping
            | Self::NoPermit
            | Self::NotOwner
            | Self::NoTarget
            | Self::OutOfService
            | Self::QueueFull
            | Self::Expired
            | Self::Shed
            | Self::Draining
            | Self::VersionGone
            | Self::NotSent
            | Self::Cancelled => true,
            // A reused or old id belongs to an earlier request, which may have been executed.
            Self::ReusedRequestId
            | Self::RequestIdTooOld
            | Self::ConnectionLost
            | Self::Timeout
            | Self::MismatchedAnswer
            | Self::TargetError
            | Self::OutcomeUnknown
            | Self::LowCoverage => false,
        }
    }
}

/// The cause for which a subrequest was sent; every cause except `First` adds load.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EncodeLabelValue, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The first subrequest for its shard.
    #[display("first")]
    First,
    /// A second subrequest for a shard, sent because the first one is slow.
    #[display("hedge")]
    Hedge,
    /// A subrequest for a shard, sent because an earlier one was refused or lost.
    #[display("retry")]
    Retry,
    /// A subrequest sent because the query restarted at another version of the index.
    #[display("restart")]
    Restart,
}
