//! Recomputes every total from the charges and reports each discrepancy.

mod discrepancy;
mod read;

use std::collections::BTreeMap;

use lichencrank_store::Item;

use crate::completed::CompletedRecord;
use crate::ids::{AdmissionId, AllowanceId, ClientName, RequesterId, TeamName};
use crate::records::{
    AllowanceRecord, ChargeRecord, ChargeState, PoolRecord, Record, RecordKey, TeamRecord,
};
use crate::resource_vector::ResourceVector;

pub use discrepancy::{Discrepancy, PoolTotals};
pub use read::ReadError;

/// All records of this package in the store.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The shared capacity; `None` if there is no record of it.
    pub pool: Option<PoolRecord>,
    /// The quotas of the teams.
    pub teams: BTreeMap<TeamName, TeamRecord>,
    /// The allowances of the clients.
    pub allowances: BTreeMap<AllowanceId, AllowanceRecord>,
    /// The charges of admissions.
    pub charges: BTreeMap<AdmissionId, ChargeRecord>,
    /// Completed admissions, by requester.
    pub completed: BTreeMap<RequesterId, CompletedRecord>,
    /// The charges that clients keep in records outside this package, summed up by allowance. The caller
    /// fills this in from those records.
    pub external_charges: BTreeMap<AllowanceId, ResourceVector>,
}

impl Ledger {
    /// Adds or replaces the record of an item. Items that are not records of this package are ignored.
    pub fn insert_item(&mut self, item: &Item) {
        let Some(key) = RecordKey::parse(&item.key) else {
            return;
        };
        let Some(record) = key.read_record(item) else {
            return;
        };
        match (key, record) {
            (RecordKey::Pool, Record::Pool(record)) => self.pool = Some(record),
            (RecordKey::Team(team), Record::Team(record)) => {
                self.teams.insert(team, record);
            }
            (RecordKey::Allowance(id), Record::Allowance(record)) => {
                self.allowances.insert(id, record);
            }
            (RecordKey::Charge(id), Record::Charge(record)) => {
                self.charges.insert(id, record);
            }
            (RecordKey::Completed(id), Record::Completed(record)) => {
                self.completed.insert(id, record);
            }
            _ => {}
        }
    }

    /// The sum of a client's charges to a team.
    pub fn charged(&self, team: &TeamName, client: &ClientName) -> ResourceVector {
        let charges = self.team_charges(team);
        let of_client = charges.filter(|charge| charge.client == *client);
        let charged: ResourceVector = of_client.map(|charge| charge.usage).sum();
        let external = self.external_charges.get(&AllowanceId::new(team, client));
        charged + external.copied().unwrap_or_default()
    }

    /// The usage of a team: the sum of all charges to it.
    ///
    /// Records outside this package may still contain charges of work that is proven to have ended. As a
    /// client never uses more than its allowance, its external charges count at most for that amount.
    pub fn used(&self, team: &TeamName) -> ResourceVector {
        let charged: ResourceVector = self.team_charges(team).map(|charge| charge.usage).sum();
        let external = self.external_charges.iter();
        let of_team = external.filter(|(allowance, _)| allowance.team == *team);
        let external = of_team.map(|(allowance, charged)| {
            let allowance = self.allowances.get(allowance);
            let granted = allowance.map_or(ResourceVector::UNLIMITED, |record| record.granted);
            charged.component_min(&granted)
        });
        charged + external.sum()
    }

    /// The sum of a team's charges that are marked as revoked.
    pub fn revoked(&self, team: &TeamName) -> ResourceVector {
        let charges = self.team_charges(team);
        let revoked = charges.filter(|charge| charge.state == ChargeState::Revoked);
        revoked.map(|charge| charge.usage).sum()
    }

    fn team_charges<'a>(&'a self, team: &'a TeamName) -> impl Iterator<Item = &'a ChargeRecord> {
        let charges = self.charges.iter();
        charges
            .filter(move |(id, _)| id.team == *team)
            .map(|(_, charge)| charge)
    }

    /// Compares all records with each other. An empty result means that every total equals the sum of its
    /// parts, and that all limits and guarantees hold.
    pub fn audit(&self) -> Vec<Discrepancy> {
        let mut discrepancies = Vec::new();
        for (team, record) in &self.teams {
            self.audit_team(team, record, &mut discrepancies);
        }
        for (id, allowance) in &self.allowances {
            self.audit_allowance(id, allowance, &mut discrepancies);
        }
        self.audit_completed(&mut discrepancies);
        self.audit_pool(&mut discrepancies);
        discrepancies
    }

    fn audit_team(
        &self,
        team: &TeamName,
        record: &TeamRecord,
        discrepancies: &mut Vec<Discrepancy>,
    ) {
        let used = self.used(team);
        if !used.fits_within(&record.limit) {
            discrepancies.push(Discrepancy::LimitExceeded {
                team: team.clone(),
                used,
                limit: record.limit,
            });
        }
        for (client, granted) in &record.allowances {
            let id = AllowanceId::new(team, client);
            if !self.allowances.contains_key(&id) {
                discrepancies.push(Discrepancy::AllowanceMismatch {
                    team: team.clone(),
                    client: client.clone(),
                    in_team_record: *granted,
                    granted: ResourceVector::ZERO,
                });
            }
        }
    }

    fn audit_allowance(
        &self,
        id: &AllowanceId,
        allowance: &AllowanceRecord,
        discrepancies: &mut Vec<Discrepancy>,
    ) {
        let AllowanceId { team, client } = id;
        let granted = allowance.granted;
        let team_record = self.teams.get(team);
        let in_team_record =
            team_record.map_or(ResourceVector::ZERO, |record| record.granted_to(client));
        if in_team_record != granted {
            discrepancies.push(Discrepancy::AllowanceMismatch {
                team: team.clone(),
                client: client.clone(),
                in_team_record,
                granted,
            });
        }
        let charged = self.charged(team, client);
        if !allowance.has_external_charges && !charged.fits_within(&granted) {
            discrepancies.push(Discrepancy::AllowanceExceeded {
                team: team.clone(),
                client: client.clone(),
                charged,
                granted,
            });
        }
    }

    fn audit_completed(&self, discrepancies: &mut Vec<Discrepancy>) {
        for id in self.charges.keys() {
            let completed = self.completed.get(&id.requester_id());
            if completed.is_some_and(|record| record.sequences.contains(id.sequence)) {
                discrepancies.push(Discrepancy::ChargedAfterCompletion(id.clone()));
            }
        }
    }

    fn audit_pool(&self, discrepancies: &mut Vec<Discrepancy>) {
        let Some(pool) = &self.pool else {
            return;
        };
        let recorded = PoolTotals {
            guaranteed: pool.total_guaranteed,
            borrowed: pool.total_borrowed,
        };
        let summed = PoolTotals {
            guaranteed: self.teams.values().map(|team| team.guarantee).sum(),
            borrowed: self.teams.values().map(TeamRecord::borrowed).sum(),
        };
        if recorded != summed {
            discrepancies.push(Discrepancy::PoolMismatch { recorded, summed });
        }
        let reserved = self.teams.iter().map(|(team, record)| {
            let used = self.used(team);
            used.component_max(&record.guarantee)
        });
        let reserved: ResourceVector = reserved.sum();
        // If the capacity does not even suffice for the guarantees, borrowing is not the cause.
        let is_feasible = summed.guaranteed.fits_within(&pool.capacity);
        if is_feasible && !reserved.fits_within(&pool.capacity) {
            discrepancies.push(Discrepancy::GuaranteeViolated {
                reserved,
                capacity: pool.capacity,
            });
        }
    }
}
