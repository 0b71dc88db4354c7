//! Taking back what a client that was given up has not spent.
//!
//! First the version of its allowance changes, so that nothing it has under way can be charged any more.
//! Only then are its charges summed up: from there on they can only become fewer. The sum stays granted
//! until the end of the charged work is proven.

use lichencrank_store::Version;

use super::operation::{Effect, Operation, TransactionBuilder};
use super::reclaim_queue::{Reclaim, ReclaimPhase};
use super::record_cache::CacheMiss;
use super::{QuotaClient, QuotaEvent};
use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::ids::{AllowanceId, ClientName, TeamName};
use crate::records::{AllowanceRecord, Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// Whether a reclaim freed what was unspent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReclaimResult {
    Reclaimed,
    NotReclaimed,
}

impl QuotaClient {
    /// Gives up another client: what it has not spent of its allowance of that team becomes free.
    /// Reported as [`QuotaEvent::Reclaimed`] or [`QuotaEvent::NotReclaimed`]. If the other client still
    /// lives, its next charge fails; it then goes on with what it has charged.
    pub fn reclaim(&mut self, team: TeamName, client: ClientName) {
        if client == self.config.name {
            return;
        }
        let allowance = AllowanceId { team, client };
        if self.reclaims.push(allowance.clone()) {
            self.cache.invalidate(&RecordKey::Allowance(allowance));
        }
    }

    pub(super) fn plan_reclaim(&mut self) -> Result<Option<Operation>, CacheMiss> {
        while let Some(Reclaim { allowance, phase }) = self.reclaims.first().cloned() {
            let operation = match phase {
                ReclaimPhase::Fence => self.plan_fence(&allowance)?,
                ReclaimPhase::SumCharges { after, .. } => {
                    Some(Operation::scan_charges(allowance, after))
                }
                ReclaimPhase::Reduce {
                    fenced_version,
                    charged,
                } => self.plan_reduction(&allowance, fenced_version, charged)?,
            };
            if operation.is_some() {
                return Ok(operation);
            }
        }
        Ok(None)
    }

    /// Changes the version and the epoch of the allowance, so that no charge to it succeeds any more.
    fn plan_fence(&mut self, id: &AllowanceId) -> Result<Option<Operation>, CacheMiss> {
        let cached = self.cache.allowance(id)?;
        let version = cached.version;
        let reclaimable = cached.record.filter(|record| !record.has_external_charges);
        let Some(record) = reclaimable.cloned() else {
            self.finish_reclaim(ReclaimResult::NotReclaimed);
            return Ok(None);
        };
        if record.is_fenced {
            self.reclaims.on_fenced(version);
            return Ok(None);
        }
        let fenced = AllowanceRecord {
            epoch: record.epoch + 1,
            is_fenced: true,
            ..record
        };
        let mut transaction = TransactionBuilder::default();
        let key = RecordKey::Allowance(id.clone());
        transaction.put(key, version, Record::Allowance(fenced));
        Ok(Some(transaction.commit(Effect::Fenced(id.clone()))))
    }

    pub(super) fn on_fenced(&mut self, id: &AllowanceId, version: Version) {
        tracing::info!("team {}: {} is fenced off", id.team, id.client);
        self.reclaims.on_fenced(version);
    }

    /// Reduces the allowance to what is charged to it, if that is not done already. If the allowance has
    /// changed since it was fenced off, the charges may be more than were summed up.
    fn plan_reduction(
        &mut self,
        id: &AllowanceId,
        fenced_version: Version,
        charged: ResourceVector,
    ) -> Result<Option<Operation>, CacheMiss> {
        let cached = self.cache.allowance(id)?;
        if cached.version != fenced_version {
            let is_fenced = cached.record.is_some_and(|record| record.is_fenced);
            if is_fenced {
                self.reclaims.restart_first();
            } else {
                self.finish_reclaim(ReclaimResult::NotReclaimed);
            }
            return Ok(None);
        }
        let granted = cached
            .record
            .map_or(ResourceVector::ZERO, |record| record.granted);
        let team = self.cache.team(&id.team)?.record.cloned();
        let team = team.unwrap_or_default();
        let is_reduced = granted == charged && team.granted_to(&id.client) == charged;
        if is_reduced && team.demand_of(&id.client).is_none() {
            self.finish_reclaim(ReclaimResult::Reclaimed);
            return Ok(None);
        }
        let quota = TeamQuota {
            name: id.team.clone(),
            team,
            pool: self.pool()?,
        };
        let target = AllowanceTarget {
            granted: charged,
            unmet_demand: None,
        };
        self.commit_allowance(&quota, id, &target, Effect::Reclaimed)
            .map(Some)
    }

    /// The allowance was reduced to what is charged to it.
    pub(super) fn on_reclaimed(&mut self) {
        self.finish_reclaim(ReclaimResult::Reclaimed);
    }

    fn finish_reclaim(&mut self, result: ReclaimResult) {
        let Some(AllowanceId { team, client }) = self.reclaims.pop_first() else {
            return;
        };
        self.events.push(match result {
            ReclaimResult::Reclaimed => {
                tracing::info!("team {team}: the unspent allowance of {client} is taken back");
                QuotaEvent::Reclaimed { team, client }
            }
            ReclaimResult::NotReclaimed => QuotaEvent::NotReclaimed { team, client },
        });
    }

    /// A page of the charges of the client that is being given up was read.
    pub(super) fn on_charges_of_other(&mut self, found: ResourceVector, next: Option<String>) {
        self.reclaims.on_charges(found, next);
    }
}
