//! One operation against the store at a time, and what its outcome will mean.

use lichencrank_store::{Change, Request, Time, Txn, Version};

use super::account::Loading;
use super::cache::{Cache, Unread};
use crate::ids::{AdmissionId, ClientName, TeamName};
use crate::records::{Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// What follows once a transaction is committed, beside the records that it wrote.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Effect {
    /// Nothing else.
    None,
    /// The allowance is ours at this epoch.
    Claimed { team: TeamName, epoch: u64 },
    /// Our allowance has grown by that for the requests that wait.
    Lent {
        team: TeamName,
        usage: ResourceVector,
    },
    /// These admissions are charged.
    Charged(Vec<AdmissionId>),
    /// The charges of these are taken back.
    Released(Vec<AdmissionId>),
    /// The other holder can charge nothing more.
    Fenced { team: TeamName, holder: ClientName },
    /// The other holder's allowance is no more than what it has charged.
    Collected { team: TeamName, holder: ClientName },
    /// These admissions are to end.
    Revoked(Vec<AdmissionId>),
}

/// What an operation is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// To know a record.
    Read(RecordKey),
    /// To know a team's open admissions.
    Load(Loading),
    /// To know all teams or all open admissions.
    Survey,
    /// To change records.
    Commit {
        writes: Vec<(RecordKey, Option<Record>)>,
        effect: Effect,
    },
}

/// A request and its purpose.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub(super) request: Request,
    pub(super) purpose: Purpose,
}

/// The operation under way.
#[derive(Debug, Default)]
pub(super) enum Flight {
    /// There is none.
    #[default]
    Idle,
    /// Its outcome is awaited.
    Sent {
        operation: Operation,
        /// When it was sent first.
        since: Time,
        /// It was sent before, and may have been carried out then.
        repeated: bool,
    },
    /// It may have been carried out, or may yet be: only the very same may follow.
    Repeat { operation: Operation, since: Time },
}

/// Puts a transaction together: what it compares, and what it writes.
#[derive(Default)]
pub(super) struct Draft {
    txn: Txn,
    writes: Vec<(RecordKey, Option<Record>)>,
}

impl Draft {
    /// Adds a condition.
    pub(super) fn require(&mut self, key: &RecordKey, version: Version) {
        self.txn.require(key.path(), version);
    }

    /// Writes a record whose version is known, on condition that it still has that version.
    pub(super) fn replace(
        &mut self,
        cache: &Cache,
        key: RecordKey,
        record: Option<Record>,
    ) -> Result<(), Unread> {
        let Some(version) = cache.version(&key) else {
            return Err(Unread(key));
        };
        self.write(key, version, record);
        Ok(())
    }

    /// Writes a record on condition that it has that version.
    pub(super) fn write(&mut self, key: RecordKey, version: Version, record: Option<Record>) {
        self.require(&key, version);
        let change = match &record {
            Some(record) => Change::put(key.path(), record.to_value()),
            None => Change::delete(key.path()),
        };
        self.txn.changes.push(change);
        self.writes.push((key, record));
    }

    /// The transaction so far.
    pub(super) fn txn(&self) -> &Txn {
        &self.txn
    }

    /// So many changes there are.
    pub(super) fn changes(&self) -> usize {
        self.txn.changes.len()
    }

    /// The operation that commits it.
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
