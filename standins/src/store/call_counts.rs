//! Counts of store calls, from which tests check the limits that the platform sets for reads and writes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of a store call. A watch counts as one call, when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Read of a key or a range of keys.
    Range,
    /// Transaction whose two branches only read.
    TxnRead,
    /// Start of a watch.
    Watch,
    /// Write of one key.
    Put,
    /// Transaction with a write in either branch, whether or not that branch was taken.
    TxnWrite,
    /// Deletion of a key or a range of keys.
    DeleteRange,
    /// Grant of a lease.
    LeaseGrant,
    /// Renewal of a lease.
    LeaseKeepalive,
    /// Revocation of a lease.
    LeaseRevoke,
}

impl CallKind {
    /// Returns whether the call counts against the limit for reads; other calls count against the one
    /// for writes.
    pub const fn is_read(self) -> bool {
        matches!(self, Self::Range | Self::TxnRead | Self::Watch)
    }

    /// Returns whether the call changes a lease, which takes effect without a new revision.
    pub(super) const fn is_lease(self) -> bool {
        matches!(
            self,
            Self::LeaseGrant | Self::LeaseKeepalive | Self::LeaseRevoke
        )
    }
}

/// Counts since the stand-in started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of calls of each kind.
    pub kinds: BTreeMap<CallKind, u64>,
    /// Number of all reads.
    pub reads: u64,
    /// Number of all writes.
    pub writes: u64,
    /// Highest number of reads in any span of one second.
    pub highest_reads_per_second: u64,
    /// Highest number of writes in any span of one second.
    pub highest_writes_per_second: u64,
}

/// Counts calls and keeps the times of those in the last second.
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
