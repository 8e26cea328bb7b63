//! The JSON bodies of responses to callers: answers, refusals and address lists.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};

use super::merge::Hit;
use super::scatter::{self, Verdict};
use crate::wire::run::Reply;
use crate::wire::{Reason, Version};

/// How many of the shards of an index an answer covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards that answered.
    pub answered: u32,
    /// All shards of the index version.
    pub total: u32,
}

/// Subrequests that an answer needed beyond one per shard, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extra {
    /// Subrequests that were sent because an earlier one was slow.
    pub hedge: u32,
    /// Subrequests that were sent because an earlier one was refused or lost.
    pub retry: u32,
    /// Subrequests that were sent because the query started again at another version of the index.
    pub restart: u32,
}

/// The body of an answer to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The version of the index from which all hits come.
    pub snapshot: Version,
    /// How much of that version the answer covers.
    pub coverage: Coverage,
    /// Whether every shard of the version answered.
    pub complete: bool,
    /// The merged hits, best first.
    pub hits: Vec<Hit>,
    /// The number of all subrequests that were sent.
    pub attempts: u32,
    /// The subrequests beyond one per shard.
    pub extra: Extra,
}

/// The body of a refused request.
#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason as text for people.
    pub error: String,
    /// The reason as a code for programs.
    pub reason: Reason,
    /// Whether the request has certainly not been run anywhere, so that it can safely be repeated.
    pub not_run: bool,
    /// After which time the caller should try again, if that makes sense.
    #[serde(rename = "retry_after_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
    /// Addresses of other instances where the caller should try again; may be empty.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// How many shards answered; `None` if no shard was asked.
    #[serde(default)]
    pub coverage: Option<Coverage>,
}

/// The body of a list of addresses that a caller may use.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Addresses, in the order in which the caller should try them.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may use the list.
    #[serde(rename = "keep_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep: Duration,
    /// A new session, under which the caller can number its requests.
    pub session: String,
}

impl Refusal {
    /// Creates a refusal; whether the request was not run follows from the reason.
    pub fn new(reason: Reason, error: impl Into<String>) -> Self {
        Self {
            error: error.into(),
            reason,
            not_run: reason.not_run(),
            retry_after: None,
            addresses: Vec::new(),
            coverage: None,
        }
    }

    /// Encodes the refusal as a reply with the HTTP status of its reason.
    pub fn reply(&self) -> Reply {
        Reply {
            status: http_status(self.reason),
            body: encode_json(self),
        }
    }
}

/// Converts the verdict on a query into the body for its caller.
pub fn answer_or_refusal(verdict: Verdict) -> Result<Answer, Refusal> {
    match verdict {
        Verdict::Answer {
            version,
            answered,
            total,
            hits,
            attempts,
            extra,
        } => Ok(Answer {
            snapshot: version,
            coverage: Coverage { answered, total },
            complete: answered == total,
            hits,
            attempts,
            extra: extra.into(),
        }),
        Verdict::Refusal {
            reason,
            not_run,
            answered,
            total,
        } => {
            let mut refusal = Refusal::new(reason, refusal_message(reason));
            refusal.not_run = not_run;
            refusal.coverage = (total > 0).then_some(Coverage { answered, total });
            Err(refusal)
        }
    }
}

const fn refusal_message(reason: Reason) -> &'static str {
    match reason {
        Reason::LowCoverage => "too few shards answered before the deadline",
        Reason::OutcomeUnknown => "the request may have run, and its answer was lost",
        Reason::NoTarget => "no target can be asked for the shards of this index",
        Reason::Expired | Reason::Timeout => "the deadline passed",
        Reason::QueueFull | Reason::Shed => "the targets have no capacity left",
        _ => "the query could not be run",
    }
}

impl From<scatter::ExtraSubrequests> for Extra {
    fn from(extra: scatter::ExtraSubrequests) -> Self {
        Self {
            hedge: extra.hedges,
            retry: extra.retries,
            restart: extra.restarts,
        }
    }
}

impl Answer {
    /// Encodes the answer as a reply with status 200.
    pub fn reply(&self) -> Reply {
        Reply {
            status: 200,
            body: encode_json(self),
        }
    }
}

impl Addresses {
    /// Encodes the addresses as a reply with status 200.
    pub fn reply(&self) -> Reply {
        Reply {
            status: 200,
            body: encode_json(self),
        }
    }
}

fn encode_json<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    serde_json::to_vec(value)
        .expect("plain data always encodes")
        .into()
}

/// Returns the HTTP status of a refusal for this reason.
pub const fn http_status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest | Reason::BadDeadline | Reason::BadRequestId => 400,
        Reason::UnknownIndex | Reason::UnknownKind => 404,
        Reason::SlowBody => 408,
        Reason::ReusedRequestId => 409,
        Reason::RequestIdTooOld => 410,
        Reason::BodyTooLarge => 413,
        Reason::BadContentType => 415,
        Reason::MismatchedAnswer | Reason::TargetError => 502,
        Reason::Stopping
        | Reason::NoPermit
        | Reason::NotOwner
        | Reason::NoTarget
        | Reason::OutOfService
        | Reason::QueueFull
        | Reason::Shed
        | Reason::Draining
        | Reason::VersionGone
        | Reason::NotSent
        | Reason::Cancelled
        | Reason::LowCoverage => 503,
        Reason::Expired | Reason::ConnectionLost | Reason::Timeout | Reason::OutcomeUnknown => 504,
    }
}
