//! Reclaiming the unspent allowance of a client that is considered lost.
//!
//! First the version of its allowance is changed, so that charges that the client has in flight fail.
//! Only then are its charges summed up: from there on they can only decrease. The sum stays granted until
//! the charged work is proven to have ended.

use lichencrank_store::Version;

use super::operation::{CommitEffect, Operation, TransactionBuilder};
use super::reclaim_queue::{Reclaim, ReclaimPhase};
use super::record_cache::CacheMiss;
use super::{QuotaClient, QuotaEvent};
use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::ids::{AllowanceId, ClientName, TeamName};
use crate::records::{AllowanceRecord, Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// Whether a reclaim freed the unspent part of the allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReclaimResult {
    Reclaimed,
    NotReclaimed,
}

impl QuotaClient {
    /// Reclaims the unspent part of the allowance that another client, considered lost, has of a team.
    /// Reports [`QuotaEvent::Reclaimed`] or [`QuotaEvent::NotReclaimed`]. If the other client is still
    /// alive, its next charge fails; it then acquires the allowance again and keeps its charges.
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

    /// Raises the epoch of the allowance, which changes its version, and marks it as fenced: no charge to it
    /// succeeds, not even one in flight, until a process of the client acquires it again.
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
        Ok(Some(transaction.commit(CommitEffect::Fenced(id.clone()))))
    }

    pub(super) fn on_fenced(&mut self, id: &AllowanceId, version: Version) {
        tracing::info!(
            "team {}: the allowance of {} is fenced off until it is acquired again",
            id.team,
            id.client
        );
        self.reclaims.on_fenced(version);
    }

    /// Reduces the allowance to the sum of its charges, unless that is done already. If the allowance has
    /// changed since it was fenced off, there may be more charges than were summed up: they are summed up
    /// again while the allowance is still fenced off, otherwise the reclaim ends.
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
        self.commit_allowance(&quota, id, &target, CommitEffect::Reclaimed)
            .map(Some)
    }

    /// The allowance was reduced to the sum of its charges.
    pub(super) fn on_reclaimed(&mut self) {
        self.finish_reclaim(ReclaimResult::Reclaimed);
    }

    fn finish_reclaim(&mut self, result: ReclaimResult) {
        let Some(AllowanceId { team, client }) = self.reclaims.pop_first() else {
            return;
        };
        self.events.push(match result {
            ReclaimResult::Reclaimed => {
                tracing::info!("team {team}: reclaimed the unspent allowance of {client}");
                QuotaEvent::Reclaimed { team, client }
            }
            ReclaimResult::NotReclaimed => QuotaEvent::NotReclaimed { team, client },
        });
    }

    /// Takes in a page of the charges to the allowance that is being reclaimed, which add up to
    /// `page_charges`.
    pub(super) fn on_charges_of_other(
        &mut self,
        page_charges: ResourceVector,
        next: Option<String>,
    ) {
        self.reclaims.on_charges(page_charges, next);
    }
}
