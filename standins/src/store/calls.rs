//! Counts of calls, against which tests check the platform's limits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A kind of call; a waiting watch counts as one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A range read.
    Range,
    /// A transaction whose two branches only read.
    TxnRead,
    /// The start of a watch.
    Watch,
    /// A put.
    Put,
    /// A transaction of which a branch writes, whether or not that branch was taken.
    TxnWrite,
    /// A range deletion.
    DeleteRange,
    /// The grant of a lease.
    LeaseGrant,
    /// The renewal of a lease.
    LeaseKeepalive,
    /// The end of a lease.
    LeaseRevoke,
}

impl CallKind {
    /// Tells whether the call counts against the limit for reads.
    pub const fn is_read(self) -> bool {
        matches!(self, Self::Range | Self::TxnRead | Self::Watch)
    }

    /// Tells whether the call changes a lease, which takes effect without a revision.
    pub(super) const fn is_lease(self) -> bool {
        matches!(
            self,
            Self::LeaseGrant | Self::LeaseKeepalive | Self::LeaseRevoke
        )
    }
}

/// The counts at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// The calls of each kind.
    pub kinds: BTreeMap<CallKind, u64>,
    /// All reads.
    pub reads: u64,
    /// All writes.
    pub writes: u64,
    /// The most reads in any span of one second.
    pub highest_reads_per_second: u64,
    /// The most writes in any span of one second.
    pub highest_writes_per_second: u64,
}

/// Counts calls in a sliding window of one second.
#[derive(Debug, Default)]
pub(super) struct Counter {
    calls: CallCounts,
    recent_reads: VecDeque<Instant>,
    recent_writes: VecDeque<Instant>,
}

impl Counter {
    pub(super) fn count(&mut self, kind: CallKind, now: Instant) {
        let calls = &mut self.calls;
        *calls.kinds.entry(kind).or_default() += 1;
        let (total, highest, recent) = if kind.is_read() {
            let highest = &mut calls.highest_reads_per_second;
            (&mut calls.reads, highest, &mut self.recent_reads)
        } else {
            let highest = &mut calls.highest_writes_per_second;
            (&mut calls.writes, highest, &mut self.recent_writes)
        };
        *total += 1;
        recent.push_back(now);
        while recent
            .front()
            .is_some_and(|at| now - *at >= Duration::from_secs(1))
        {
            recent.pop_front();
        }
        *highest = (*highest).max(recent.len() as u64);
    }

    pub(super) fn calls(&self) -> CallCounts {
        self.calls.clone()
    }
}
