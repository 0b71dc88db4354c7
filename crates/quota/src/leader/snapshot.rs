//! The records as the leader last read or wrote them.

use std::collections::BTreeMap;

use lichencrank_store::Version;

use crate::ids::{ClientName, TeamName};
use crate::records::{AllowanceRecord, PoolRecord, Record, RecordKey, TeamRecord};

/// A record and the version at which it was read or written.
#[derive(Clone, Debug, Default)]
pub(super) struct Versioned<T> {
    pub(super) version: Version,
    pub(super) record: T,
}

/// The pool, all teams, and the allowances of one client.
#[derive(Clone, Debug)]
pub(super) struct RecordSnapshot {
    client: ClientName,
    pool: Versioned<PoolRecord>,
    teams: BTreeMap<TeamName, Versioned<TeamRecord>>,
    allowances: BTreeMap<TeamName, Versioned<AllowanceRecord>>,
}

impl RecordSnapshot {
    /// Creates a snapshot of an empty store, for the allowances of that client.
    pub(super) fn new(client: ClientName) -> RecordSnapshot {
        RecordSnapshot {
            client,
            pool: Versioned::default(),
            teams: BTreeMap::new(),
            allowances: BTreeMap::new(),
        }
    }

    /// Adds or replaces a record. Allowances of other clients, charges and completed admissions are ignored.
    pub(super) fn insert(&mut self, key: RecordKey, version: Version, record: Record) {
        match (key, record) {
            (RecordKey::Pool, Record::Pool(record)) => self.pool = Versioned { version, record },
            (RecordKey::Team(team), Record::Team(record)) => {
                self.teams.insert(team, Versioned { version, record });
            }
            (RecordKey::Allowance(id), Record::Allowance(record)) if id.client == self.client => {
                self.allowances
                    .insert(id.team, Versioned { version, record });
            }
            _ => {}
        }
    }

    /// The version of a record; [`Version::ABSENT`] if the snapshot does not have it.
    pub(super) fn version(&self, key: &RecordKey) -> Version {
        let version = match key {
            RecordKey::Pool => Some(self.pool.version),
            RecordKey::Team(team) => self.team(team).map(|team| team.version),
            RecordKey::Allowance(id) => self.allowance(&id.team).map(|known| known.version),
            RecordKey::Charge(_) | RecordKey::Completed(_) => None,
        };
        version.unwrap_or(Version::ABSENT)
    }

    pub(super) fn pool(&self) -> &Versioned<PoolRecord> {
        &self.pool
    }

    pub(super) fn team(&self, team: &TeamName) -> Option<&Versioned<TeamRecord>> {
        self.teams.get(team)
    }

    pub(super) fn allowance(&self, team: &TeamName) -> Option<&Versioned<AllowanceRecord>> {
        self.allowances.get(team)
    }
}
