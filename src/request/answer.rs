//! The JSON bodies of the callers' interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};

use super::merge::Hit;
use super::scatter::{self, Verdict};
use crate::wire::run::Reply;
use crate::wire::{Reason, Version};

/// How many of an index's shards an answer covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards that answered.
    pub answered: u32,
    /// Shards that the version has in all.
    pub total: u32,
}

/// Extra subrequests that an answer took, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extra {
    /// Subrequests sent because the first was slow.
    pub hedge: u32,
    /// Subrequests sent because an earlier one was refused or lost.
    pub retry: u32,
    /// Subrequests sent because the query restarted at another version.
    pub restart: u32,
}

/// An answer to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The version of the index that every hit comes from.
    pub snapshot: Version,
    /// How much of that version the answer covers.
    pub coverage: Coverage,
    /// Whether every shard answered.
    pub complete: bool,
    /// The merged hits, best first.
    pub hits: Vec<Hit>,
    /// Subrequests sent in all.
    pub attempts: u32,
    /// Subrequests beyond one per shard.
    pub extra: Extra,
}

/// A refusal.
#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What went wrong, for a person.
    pub error: String,
    /// What went wrong, for a program.
    pub reason: Reason,
    /// Whether the request certainly did not run anywhere.
    pub not_run: bool,
    /// When to try again.
    #[serde(rename = "retry_after_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
    /// Where to try again.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// How many shards answered, if the query got as far as that.
    #[serde(default)]
    pub coverage: Option<Coverage>,
}

/// The addresses that a caller may use.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may keep them.
    #[serde(rename = "keep_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep: Duration,
    /// A session for request ids.
    pub session: String,
}

impl Refusal {
    /// Makes a refusal whose "not run" follows from its reason.
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

    /// Encodes the refusal with the HTTP status of its reason.
    pub fn reply(&self) -> Reply {
        Reply {
            status: status(self.reason),
            body: encode(self),
        }
    }
}

/// Turns the end of a query into the reply to its caller.
pub fn conclude(verdict: Verdict) -> Result<Answer, Refusal> {
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
            let mut refusal = Refusal::new(reason, explanation(reason));
            refusal.not_run = not_run;
            refusal.coverage = (total > 0).then_some(Coverage { answered, total });
            Err(refusal)
        }
    }
}

const fn explanation(reason: Reason) -> &'static str {
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
    /// Encodes the answer.
    pub fn reply(&self) -> Reply {
        Reply {
            status: 200,
            body: encode(self),
        }
    }
}

impl Addresses {
    /// Encodes the addresses.
    pub fn reply(&self) -> Reply {
        Reply {
            status: 200,
            body: encode(self),
        }
    }
}

fn encode<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    serde_json::to_vec(value)
        .expect("plain data always encodes")
        .into()
}

/// Returns the HTTP status of a refusal.
pub const fn status(reason: Reason) -> u16 {
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
