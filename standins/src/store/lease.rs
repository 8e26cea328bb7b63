//! Leases, which delete their keys when their holder stops renewing them.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::keyspace::{Keyspace, LEASE_NOT_FOUND, Lease, RequestError, invalid_argument};
use super::message::DeleteRange;

impl Keyspace {
    /// Grants a lease for `ttl` seconds and returns its id; an `id` of 0 selects a free one.
    pub(super) fn grant(&mut self, id: i64, ttl: i64, now: Instant) -> Result<i64, RequestError> {
        if ttl <= 0 {
            return Err(invalid_argument(
                "etcdserver: the TTL of a lease must be positive",
            ));
        }
        let id = if id == 0 {
            self.last_lease_id += 1;
            self.last_lease_id
        } else {
            id
        };
        if self.leases.contains_key(&id) {
            return Err(RequestError {
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

    /// Renews a lease and returns its time to live in seconds, or 0 if it is unknown or expired.
    pub(super) fn keep_alive(&mut self, id: i64, now: Instant) -> i64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.deadline = now + Duration::from_secs(lease.ttl as u64);
            lease.ttl
        })
    }

    /// Ends a lease and deletes its keys, all in one revision.
    pub(super) fn revoke(&mut self, id: i64, now: Instant) -> Result<(), RequestError> {
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

    /// Ends the leases that have expired by `now`; returns the time at which the next one expires.
    pub(super) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let _ = self.revoke(id, now);
        }
        self.leases.values().map(|lease| lease.deadline).min()
    }
}
