//! The leases of the store, whose keys are deleted when they expire.

use std::collections::BTreeMap;

/// Id of a lease. On the wire, 0 stands for none.
pub(super) type LeaseId = u64;

struct Lease {
    /// How long the lease lasts without a renewal.
    ttl_ms: u64,
    expires_at_ms: u64,
}

impl Lease {
    fn renew(&mut self, now_ms: u64) {
        self.expires_at_ms = now_ms + self.ttl_ms;
    }
}

/// All leases that have not been ended.
#[derive(Default)]
pub(super) struct LeaseTable {
    leases: BTreeMap<LeaseId, Lease>,
    last_id: LeaseId,
}

impl LeaseTable {
    pub(super) fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> LeaseId {
        self.last_id += 1;
        let lease = Lease {
            ttl_ms,
            expires_at_ms: now_ms + ttl_ms,
        };
        self.leases.insert(self.last_id, lease);
        self.last_id
    }

    /// Renews a lease. Returns whether it exists.
    pub(super) fn renew(&mut self, id: LeaseId, now_ms: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.map(|lease| lease.renew(now_ms)).is_some()
    }

    pub(super) fn renew_all(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.renew(now_ms);
        }
    }

    pub(super) fn contains(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id)
    }

    /// The leases that have expired by `now_ms` and are still in the table.
    pub(super) fn expired(&self, now_ms: u64) -> Vec<LeaseId> {
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| lease.expires_at_ms <= now_ms);
        expired.map(|(id, _)| *id).collect()
    }

    pub(super) fn remove(&mut self, id: LeaseId) {
        self.leases.remove(&id);
    }
}
