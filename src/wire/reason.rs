//! Why work was refused, and why extra work was caused.
//!
//! Each reason is the label of a counter (`docs/OPERATIONS.md`) and decides whether a refusal may say
//! "not run" (`docs/CALLERS.md`).

use derive_more::Display;
use prometheus_client::encoding::EncodeLabelValue;
use serde::{Deserialize, Serialize};

/// Why a request, or one subrequest of it, did not get an answer.
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
    /// The request does not follow the callers' interface.
    #[display("bad_request")]
    BadRequest,
    /// The deadline is missing its unit range of 1 to 60,000 ms.
    #[display("bad_deadline")]
    BadDeadline,
    /// The body is longer than the limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The content type is not accepted.
    #[display("bad_content_type")]
    BadContentType,
    /// The body did not arrive whole in time.
    #[display("slow_body")]
    SlowBody,
    /// The request id is missing, malformed or was not minted by this system.
    #[display("bad_request_id")]
    BadRequestId,
    /// The request id was used before with another body.
    #[display("reused_request_id")]
    ReusedRequestId,
    /// The request id lies below the watermark of its session.
    #[display("request_id_too_old")]
    RequestIdTooOld,
    /// The node is stopping and takes no new work.
    #[display("stopping")]
    Stopping,
    /// The node cannot prove that its settings and its cell record are current.
    #[display("no_permit")]
    NoPermit,
    /// The node does not own the target.
    #[display("not_owner")]
    NotOwner,
    /// No usable target exists for the shard.
    #[display("no_target")]
    NoTarget,
    /// The data centre or the target is out of service or leaving.
    #[display("out_of_service")]
    OutOfService,
    /// A bounded queue or table is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline passed before the work was dispatched, or cannot be met.
    #[display("expired")]
    Expired,
    /// The target refused because of its load.
    #[display("shed")]
    Shed,
    /// The target refused because it is draining.
    #[display("draining")]
    Draining,
    /// The target does not hold the pinned version.
    #[display("version_gone")]
    VersionGone,
    /// The connection could not be made or the request was never written.
    #[display("not_sent")]
    NotSent,
    /// The work was cancelled before it was dispatched.
    #[display("cancelled")]
    Cancelled,
    /// The request was written and no answer came.
    #[display("connection_lost")]
    ConnectionLost,
    /// The deadline passed after the work was dispatched.
    #[display("timeout")]
    Timeout,
    /// The answer did not match the request it came for.
    #[display("mismatched_answer")]
    MismatchedAnswer,
    /// The target answered with an error after it may have started.
    #[display("target_error")]
    TargetError,
    /// The node that may have run the request is gone or unreachable.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// Fewer shards answered than the query kind requires.
    #[display("low_coverage")]
    LowCoverage,
}

impl Reason {
    /// Tells whether work refused for this reason certainly did not start at any target.
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
            // A reused or old id belongs to an earlier request, which may well have run.
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

/// Why a subrequest was sent; every cause but `First` is extra load.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EncodeLabelValue, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The first subrequest for its shard.
    #[display("first")]
    First,
    /// A second subrequest sent because the first is slow.
    #[display("hedge")]
    Hedge,
    /// A subrequest sent because an earlier one was refused or lost.
    #[display("retry")]
    Retry,
    /// A subrequest sent because the query restarted at another version.
    #[display("restart")]
    Restart,
}
