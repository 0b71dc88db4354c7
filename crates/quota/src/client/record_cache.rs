//! Cache of the records in the store.
//!
//! All writes are conditional on the versions in this cache, so an outdated record only costs a conflict
//! and another read.

use std::collections::BTreeMap;

use lichencrank_store::Version;
use thiserror::Error;

use crate::completed::CompletedRecord;
use crate::ids::{AdmissionId, AllowanceId, RequesterId, TeamName};
use crate::records::{AllowanceRecord, ChargeRecord, PoolRecord, Record, RecordKey, TeamRecord};

/// A record that has to be read before an operation can be planned.
#[derive(Debug, Error)]
#[error("{0:?} is not cached")]
pub(super) struct CacheMiss(pub(super) RecordKey);

/// A record, or its absence, with the version at which it was read or written.
#[derive(Clone, Debug)]
pub(super) struct Cached<T> {
    pub(super) version: Version,
    pub(super) record: Option<T>,
}

/// Cached records by key.
#[derive(Debug, Default)]
pub(super) struct RecordCache {
    records: BTreeMap<RecordKey, Cached<Record>>,
}

impl RecordCache {
    pub(super) fn pool(&self) -> Result<Cached<&PoolRecord>, CacheMiss> {
        self.find(RecordKey::Pool, |record| match record {
            Record::Pool(pool) => Some(pool),
            _ => None,
        })
    }

    pub(super) fn team(&self, team: &TeamName) -> Result<Cached<&TeamRecord>, CacheMiss> {
        self.find(RecordKey::Team(team.clone()), |record| match record {
            Record::Team(team) => Some(team),
            _ => None,
        })
    }

    pub(super) fn allowance(
        &self,
        id: &AllowanceId,
    ) -> Result<Cached<&AllowanceRecord>, CacheMiss> {
        self.find(RecordKey::Allowance(id.clone()), |record| match record {
            Record::Allowance(allowance) => Some(allowance),
            _ => None,
        })
    }

    pub(super) fn charge(&self, id: &AdmissionId) -> Result<Cached<&ChargeRecord>, CacheMiss> {
        self.find(RecordKey::Charge(id.clone()), |record| match record {
            Record::Charge(charge) => Some(charge),
            _ => None,
        })
    }

    pub(super) fn completed(
        &self,
        id: &RequesterId,
    ) -> Result<Cached<&CompletedRecord>, CacheMiss> {
        self.find(RecordKey::Completed(id.clone()), |record| match record {
            Record::Completed(completed) => Some(completed),
            _ => None,
        })
    }

    /// Looks up a record and converts it to its type by `as_type`.
    fn find<T>(
        &self,
        key: RecordKey,
        as_type: for<'r> fn(&'r Record) -> Option<&'r T>,
    ) -> Result<Cached<&T>, CacheMiss> {
        let Some(cached) = self.records.get(&key) else {
            return Err(CacheMiss(key));
        };
        Ok(Cached {
            version: cached.version,
            record: cached.record.as_ref().and_then(as_type),
        })
    }

    /// The cached version of a record, also if the record is cached as absent.
    pub(super) fn version(&self, key: &RecordKey) -> Result<Version, CacheMiss> {
        let cached = self.records.get(key);
        cached
            .map(|cached| cached.version)
            .ok_or_else(|| CacheMiss(key.clone()))
    }

    /// Caches a record that was read or written; `None` for a key that does not exist.
    pub(super) fn insert(&mut self, key: RecordKey, version: Version, record: Option<Record>) {
        self.records.insert(key, Cached { version, record });
    }

    /// Drops a record that may be outdated.
    pub(super) fn invalidate(&mut self, key: &RecordKey) {
        self.records.remove(key);
    }

    /// Drops all records.
    pub(super) fn invalidate_all(&mut self) {
        self.records.clear();
    }
}
