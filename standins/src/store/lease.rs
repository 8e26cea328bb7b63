//! Leases: keys that are deleted when their holder stops renewing.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::data::{Data, LEASE_NOT_FOUND, Lease, Refusal, invalid};
use super::message::DeleteRange;

impl Data {
    /// Grants a lease and returns its id.
    pub(super) fn grant(&mut self, id: i64, ttl: i64, now: Instant) -> Result<i64, Refusal> {
        if ttl <= 0 {
            return Err(invalid("etcdserver: the TTL of a lease must be positive"));
        }
        let id = if id == 0 {
            self.next_lease += 1;
            self.next_lease
        } else {
            id
        };
        if self.leases.contains_key(&id) {
            return Err(Refusal {
                code: 9,
                message: "etcdserver: lease already exists",
            });
        }
        self.leases.insert(
            id,
            Lease {
                ttl,
                deadline: now + Duration::from_secs(ttl as u64),
                keys: BTreeSet::new(),
            },
        );
        Ok(id)
    }

    /// Renews a lease and returns its time to live, or zero if it is unknown or expired.
    pub(super) fn keep_alive(&mut self, id: i64, now: Instant) -> i64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.deadline = now + Duration::from_secs(lease.ttl as u64);
            lease.ttl
        })
    }

    /// Ends a lease and deletes its keys.
    pub(super) fn revoke(&mut self, id: i64, now: Instant) -> Result<(), Refusal> {
        let lease = self.leases.remove(&id).ok_or(LEASE_NOT_FOUND)?;
        let next = self.revision + 1;
        let mut events = Vec::new();
        for key in lease.keys {
            let request = DeleteRange {
                key,
                ..DeleteRange::default()
            };
            self.delete_keys(&request, next, &mut events);
        }
        self.commit(events, now);
        Ok(())
    }

    /// Ends the leases whose time is over; returns when the next one ends.
    pub(super) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let over: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let _ = self.revoke(id, now);
        }
        self.leases.values().map(|lease| lease.deadline).min()
    }
}
