//! What a holder knows of the store. Whatever it writes is conditional on the versions in here, so
//! that what has become outdated costs a repetition and nothing else.

use std::collections::BTreeMap;

use lichencrank_store::Version;

use crate::completed::CompletedRecord;
use crate::ids::{AllowanceId, ClientName, RequesterId, TeamName};
use crate::records::{AllowanceRecord, ChargeRecord, PoolRecord, Record, RecordKey, TeamRecord};

/// A record that has to be read before anything can be decided.
#[derive(Debug)]
pub(super) struct Unread(pub(super) RecordKey);

/// A record, or its absence, at a version.
#[derive(Clone, Debug)]
pub(super) struct Known<T> {
    pub(super) version: Version,
    pub(super) record: Option<T>,
}

#[derive(Debug, Default)]
pub(super) struct Cache {
    records: BTreeMap<RecordKey, Known<Record>>,
}

macro_rules! lookup {
    ($name:ident, $kind:ident, $record:ty) => {
        fn $name(&self, key: RecordKey) -> Result<Known<&$record>, Unread> {
            let Some(known) = self.records.get(&key) else {
                return Err(Unread(key));
            };
            let record = match &known.record {
                Some(Record::$kind(record)) => Some(record),
                _ => None,
            };
            Ok(Known {
                version: known.version,
                record,
            })
        }
    };
}

impl Cache {
    lookup!(find_pool, Pool, PoolRecord);
    lookup!(find_team, Team, TeamRecord);
    lookup!(find_allowance, Allowance, AllowanceRecord);
    lookup!(find_open, Charge, ChargeRecord);
    lookup!(find_settled, Completed, CompletedRecord);

    pub(super) fn pool(&self) -> Result<Known<PoolRecord>, Unread> {
        let known = self.find_pool(RecordKey::Pool)?;
        Ok(Known {
            version: known.version,
            record: known.record.cloned(),
        })
    }

    pub(super) fn team(&self, team: &TeamName) -> Result<Known<&TeamRecord>, Unread> {
        self.find_team(RecordKey::Team(team.clone()))
    }

    pub(super) fn allowance(
        &self,
        team: &TeamName,
        holder: &ClientName,
    ) -> Result<Known<&AllowanceRecord>, Unread> {
        self.find_allowance(RecordKey::Allowance(AllowanceId::new(team, holder)))
    }

    pub(super) fn open(&self, key: RecordKey) -> Result<Known<&ChargeRecord>, Unread> {
        self.find_open(key)
    }

    pub(super) fn settled(
        &self,
        requester: RequesterId,
    ) -> Result<Known<&CompletedRecord>, Unread> {
        self.find_settled(RecordKey::Completed(requester))
    }

    /// Notes what the store holds.
    pub(super) fn put(&mut self, key: RecordKey, version: Version, record: Option<Record>) {
        self.records.insert(key, Known { version, record });
    }

    /// What is known of a record may be outdated.
    pub(super) fn forget(&mut self, key: &RecordKey) {
        self.records.remove(key);
    }

    /// All of it may be outdated.
    pub(super) fn forget_all(&mut self) {
        self.records.clear();
    }

    pub(super) fn version(&self, key: &RecordKey) -> Option<Version> {
        self.records.get(key).map(|known| known.version)
    }
}
