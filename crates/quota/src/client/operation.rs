//! Requests to the store, and what follows from their outcomes.

use lichencrank_store::{Change, Request, Txn, Version};

use super::record_cache::{CacheMiss, RecordCache};
use crate::ids::{AdmissionId, AllowanceId, TeamName};
use crate::records::{team_charges_prefix, Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// Maximum number of records that are read with one request.
pub(super) const PAGE_SIZE: u32 = 500;

/// What follows from the commit of a transaction, apart from the changed records.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CommitEffect {
    /// Nothing follows.
    None,
    /// This client owns the allowance of the team, at this epoch.
    AllowanceAcquired { team: TeamName, epoch: u64 },
    /// The allowance has grown, and the amount `reserved` of it is for pending requests.
    AllowanceGrown {
        team: TeamName,
        reserved: ResourceVector,
    },
    /// These admissions are charged.
    Charged(Vec<AdmissionId>),
    /// The charges of these admissions are released.
    Released(Vec<AdmissionId>),
    /// Another client's allowance is fenced off: charges to it fail.
    Fenced(AllowanceId),
    /// Another client's allowance is reduced to the sum of its charges.
    Reclaimed,
    /// These admissions are marked as revoked.
    Revoked(Vec<AdmissionId>),
}

/// A record that a transaction writes, or deletes if `record` is `None`.
#[derive(Clone, Debug)]
pub(super) struct RecordWrite {
    pub(super) key: RecordKey,
    pub(super) record: Option<Record>,
}

/// What an operation is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Reads a record into the cache.
    Read(RecordKey),
    /// Reads a page of a team's charges, to select those to this allowance.
    ScanCharges(AllowanceId),
    /// Reads a page of all teams or all charges, for a revocation sweep.
    Sweep,
    /// Commits a transaction.
    Commit {
        writes: Vec<RecordWrite>,
        effect: CommitEffect,
    },
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

    /// Reads the page of the charges of the allowance's team that follows the key `after`.
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

/// Builds a transaction: its conditions and the records that it writes.
#[derive(Default)]
pub(super) struct TransactionBuilder {
    txn: Txn,
    writes: Vec<RecordWrite>,
}

impl TransactionBuilder {
    /// Makes the transaction conditional on the version of a record.
    pub(super) fn require(&mut self, key: &RecordKey, version: Version) {
        self.txn.require(key.path(), version);
    }

    /// Writes a record on condition that its version is `version`.
    pub(super) fn put(&mut self, key: RecordKey, version: Version, record: Record) {
        self.require(&key, version);
        let change = Change::put(key.path(), record.to_value());
        self.txn.changes.push(change);
        let record = Some(record);
        self.writes.push(RecordWrite { key, record });
    }

    /// Writes a record on condition that its version is the cached one.
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

    /// Deletes a record on condition that its version is `version`.
    pub(super) fn delete(&mut self, key: RecordKey, version: Version) {
        self.require(&key, version);
        self.txn.changes.push(Change::delete(key.path()));
        self.writes.push(RecordWrite { key, record: None });
    }

    /// Number of conditions so far.
    pub(super) fn condition_count(&self) -> usize {
        self.txn.conditions.len()
    }

    /// Number of changes so far.
    pub(super) fn change_count(&self) -> usize {
        self.txn.changes.len()
    }

    /// The operation that commits the transaction.
    pub(super) fn commit(self, effect: CommitEffect) -> Operation {
        Operation {
            request: Request::Txn(self.txn),
            purpose: Purpose::Commit {
                writes: self.writes,
                effect,
            },
        }
    }
}
