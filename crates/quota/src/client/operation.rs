//! Requests to the store, and what their outcome means.

use lichencrank_store::{Change, Request, Txn, Version};

use super::record_cache::{CacheMiss, RecordCache};
use crate::ids::{AdmissionId, AllowanceId, TeamName};
use crate::records::{team_charges_prefix, Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// Charges and teams read with one request.
pub(super) const PAGE_SIZE: u32 = 500;

/// What follows on the commit of a transaction, beside the records that it wrote.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Effect {
    /// Nothing else.
    None,
    /// This client owns the allowance of the team, at this epoch.
    AllowanceAcquired { team: TeamName, epoch: u64 },
    /// The allowance has grown, and that much of it is reserved for pending requests.
    AllowanceGrown {
        team: TeamName,
        reserved: ResourceVector,
    },
    /// These admissions are charged.
    Charged(Vec<AdmissionId>),
    /// The charges of these admissions are released.
    Released(Vec<AdmissionId>),
    /// The other client can't charge to the allowance any more.
    Fenced(AllowanceId),
    /// The other client's allowance is no more than what it has charged.
    Reclaimed,
    /// These admissions are marked as revoked.
    Revoked(Vec<AdmissionId>),
}

/// A record that a transaction writes, or deletes if there is none.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) key: RecordKey,
    pub(super) record: Option<Record>,
}

/// What an operation is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Reads a record into the cache.
    Read(RecordKey),
    /// Reads a page of a team's charges, to find those to this allowance.
    ScanCharges(AllowanceId),
    /// Reads a page of all teams or all charges, for a revocation sweep.
    Sweep,
    /// Carries out a transaction.
    Commit { writes: Vec<Write>, effect: Effect },
}

/// A request to the store and its purpose.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub(super) request: Request,
    pub(super) purpose: Purpose,
}

impl Operation {
    /// Reads a record into the cache.
    pub(super) fn read(key: RecordKey) -> Operation {
        Operation {
            request: Request::Get(key.path()),
            purpose: Purpose::Read(key),
        }
    }

    /// Reads the next page of the charges of the allowance's team, those behind the key `after`.
    pub(super) fn scan_charges(allowance: AllowanceId, after: String) -> Operation {
        Operation {
            request: Request::List {
                prefix: team_charges_prefix(&allowance.team),
                after,
                limit: PAGE_SIZE,
            },
            purpose: Purpose::ScanCharges(allowance),
        }
    }
}

/// Builds a transaction: its conditions, and the records that it writes.
#[derive(Default)]
pub(super) struct TransactionBuilder {
    txn: Txn,
    writes: Vec<Write>,
}

impl TransactionBuilder {
    /// Makes the transaction conditional on the version of a record.
    pub(super) fn require(&mut self, key: &RecordKey, version: Version) {
        self.txn.require(key.path(), version);
    }

    /// Writes a record on condition that it has this version.
    pub(super) fn put(&mut self, key: RecordKey, version: Version, record: Record) {
        self.require(&key, version);
        let change = Change::put(key.path(), record.to_value());
        self.txn.changes.push(change);
        let record = Some(record);
        self.writes.push(Write { key, record });
    }

    /// Writes a record on condition that it has the version of the cache.
    ///
    /// # Errors
    ///
    /// [`CacheMiss`] if the record is not cached.
    pub(super) fn put_cached(
        &mut self,
        cache: &RecordCache,
        key: RecordKey,
        record: Record,
    ) -> Result<(), CacheMiss> {
        let version = cache.version(&key)?;
        self.put(key, version, record);
        Ok(())
    }

    /// Deletes a record on condition that it has this version.
    pub(super) fn delete(&mut self, key: RecordKey, version: Version) {
        self.require(&key, version);
        self.txn.changes.push(Change::delete(key.path()));
        self.writes.push(Write { key, record: None });
    }

    /// Number of conditions so far.
    pub(super) fn condition_count(&self) -> usize {
        self.txn.conditions.len()
    }

    /// Number of changes so far.
    pub(super) fn change_count(&self) -> usize {
        self.txn.changes.len()
    }

    /// The operation that carries out the transaction.
    pub(super) fn commit(self, effect: Effect) -> Operation {
        Operation {
            request: Request::Txn(self.txn),
            purpose: Purpose::Commit {
                writes: self.writes,
                effect,
            },
        }
    }
}
