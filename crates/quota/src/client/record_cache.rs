//! The records of the store as a client knows them.
//!
//! Whatever the client writes is conditional on the versions in this cache. An outdated record therefore
//! costs a conflict and another read, and nothing else.

use std::collections::BTreeMap;

use lichencrank_store::Version;
use thiserror::Error;

use crate::completed::CompletedRecord;
use crate::ids::{AdmissionId, AllowanceId, RequesterId, TeamName};
use crate::records::{AllowanceRecord, ChargeRecord, PoolRecord, Record, RecordKey, TeamRecord};

/// A record has to be read before anything can be decided.
#[derive(Debug, Error)]
#[error("{0:?} is not cached")]
pub(super) struct CacheMiss(pub(super) RecordKey);

/// A record, or its absence, and the version at which it was read or written.
#[derive(Clone, Debug)]
pub(super) struct Cached<T> {
    pub(super) version: Version,
    pub(super) record: Option<T>,
}

/// Records by key.
#[derive(Debug, Default)]
pub(super) struct RecordCache {
    records: BTreeMap<RecordKey, Cached<Record>>,
}

/// Defines a lookup of records of one kind.
macro_rules! lookup {
    ($name:ident, $kind:ident, $record:ty) => {
        fn $name(&self, key: RecordKey) -> Result<Cached<&$record>, CacheMiss> {
            let Some(cached) = self.records.get(&key) else {
                return Err(CacheMiss(key));
            };
            let record = match &cached.record {
                Some(Record::$kind(record)) => Some(record),
                _ => None,
            };
            Ok(Cached {
                version: cached.version,
                record,
            })
        }
    };
}

impl RecordCache {
    lookup!(find_pool, Pool, PoolRecord);
    lookup!(find_team, Team, TeamRecord);
    lookup!(find_allowance, Allowance, AllowanceRecord);
    lookup!(find_charge, Charge, ChargeRecord);
    lookup!(find_completed, Completed, CompletedRecord);

    pub(super) fn pool(&self) -> Result<Cached<&PoolRecord>, CacheMiss> {
        self.find_pool(RecordKey::Pool)
    }

    pub(super) fn team(&self, team: &TeamName) -> Result<Cached<&TeamRecord>, CacheMiss> {
        self.find_team(RecordKey::Team(team.clone()))
    }

    pub(super) fn allowance(
        &self,
        id: &AllowanceId,
    ) -> Result<Cached<&AllowanceRecord>, CacheMiss> {
        self.find_allowance(RecordKey::Allowance(id.clone()))
    }

    pub(super) fn charge(&self, id: &AdmissionId) -> Result<Cached<&ChargeRecord>, CacheMiss> {
        self.find_charge(RecordKey::Charge(id.clone()))
    }

    pub(super) fn completed(
        &self,
        id: &RequesterId,
    ) -> Result<Cached<&CompletedRecord>, CacheMiss> {
        self.find_completed(RecordKey::Completed(id.clone()))
    }

    /// The version of a cached record or of its absence.
    pub(super) fn version(&self, key: &RecordKey) -> Result<Version, CacheMiss> {
        let cached = self.records.get(key);
        cached
            .map(|cached| cached.version)
            .ok_or_else(|| CacheMiss(key.clone()))
    }

    /// Stores what was read or written; `None` for a key that does not exist.
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
