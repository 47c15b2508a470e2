//! Leases of the worker stand-in.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlockhook_ports::LeaseId;

/// Active leases. An expired one stays until [`Leases::remove_expired`].
#[derive(Debug, Default)]
pub(crate) struct Leases {
    last_id: LeaseId,
    leases: HashMap<LeaseId, Lease>,
}

#[derive(Debug)]
struct Lease {
    worker: String,
    task: String,
    ttl: Duration,
    expires_at: Instant,
}

impl Leases {
    pub(crate) fn acquire(
        &mut self,
        now: Instant,
        worker: &str,
        task: String,
        ttl: Duration,
    ) -> LeaseId {
        self.last_id += 1;
        let lease = Lease {
            worker: worker.to_owned(),
            task,
            ttl,
            expires_at: now + ttl,
        };
        self.leases.insert(self.last_id, lease);
        self.last_id
    }

    /// Renews a lease for its original duration. Returns false if it is unknown or has expired.
    pub(crate) fn renew(&mut self, now: Instant, id: LeaseId) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) if lease.expires_at > now => {
                lease.expires_at = now + lease.ttl;
                true
            }
            _ => false,
        }
    }

    /// Releases a lease. Returns false if it is unknown or has expired.
    pub(crate) fn release(&mut self, now: Instant, id: LeaseId) -> bool {
        match self.leases.get(&id) {
            Some(lease) if lease.expires_at > now => self.leases.remove(&id).is_some(),
            _ => false,
        }
    }

    /// Removes the expired leases, and returns the worker and the task of each.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<(String, String)> {
        self.leases
            .extract_if(|_, lease| lease.expires_at <= now)
            .map(|(_, lease)| (lease.worker, lease.task))
            .collect()
    }
}
