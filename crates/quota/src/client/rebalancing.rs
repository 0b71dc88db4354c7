//! Growing the allowance for pending requests, and returning the part that others wait for.
//!
//! A client that waits for more holds no unspent allowance meanwhile: if its first request can't be
//! granted, the client returns all of its unspent allowance and registers a demand for the whole request.
//! This prevents deadlocks, in which clients or teams wait for the allowances of each other.

use super::operation::{CommitEffect, Operation, TransactionBuilder};
use super::record_cache::CacheMiss;
use super::QuotaClient;
use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::ids::{AdmissionId, AllowanceId};
use crate::records::{AllowanceRecord, Record, RecordKey};
use crate::resource_vector::ResourceVector;

impl QuotaClient {
    /// Adjusts the allowance to the pending requests: grows it for them, or shrinks it if it is idle.
    pub(super) fn plan_rebalancing(
        &mut self,
        quota: &TeamQuota,
    ) -> Result<Option<Operation>, CacheMiss> {
        let first = self.team_mut(&quota.name).queue().next().cloned();
        match first {
            Some(first) => self.plan_growth(quota, &first),
            None => self.plan_idle_return(quota),
        }
    }

    /// Grows the allowance for pending requests. If not even the first one can be granted, returns the
    /// unspent part and registers a demand, so that others return theirs.
    fn plan_growth(
        &mut self,
        quota: &TeamQuota,
        first: &AdmissionId,
    ) -> Result<Option<Operation>, CacheMiss> {
        let usage = self.admissions.usage(first);
        let unspent = self.unspent(&quota.name)?;
        let missing = usage.saturating_sub(&unspent);
        if missing.fits_within(&quota.grantable_to(&self.config.name)) {
            return self.plan_grant(quota, usage, missing).map(Some);
        }
        let registered = quota.team.demand_of(&self.config.name);
        if unspent.is_zero() && registered == Some(usage) {
            return Ok(None);
        }
        let target = AllowanceTarget {
            granted: self.granted(&quota.name)?.saturating_sub(&unspent),
            unmet_demand: Some(usage),
        };
        let own = self.own_allowance(&quota.name);
        self.commit_allowance(quota, &own, &target, CommitEffect::None)
            .map(Some)
    }

    /// Grants what the first request lacks, and if nobody else waits, also what the other pending requests
    /// lack.
    fn plan_grant(
        &self,
        quota: &TeamQuota,
        first_usage: ResourceVector,
        missing: ResourceVector,
    ) -> Result<Operation, CacheMiss> {
        let team = &quota.name;
        let unspent = self.unspent(team)?;
        let mut needed = missing;
        if !quota.is_contended() {
            let missing_for_all = self
                .admissions
                .pending_usage(team)
                .saturating_sub(&unspent)
                .component_min(&quota.grantable_to(&self.config.name));
            needed = needed.component_max(&missing_for_all);
        }
        let grant = quota.grant_size(&self.config.name, needed, self.config.expected_clients);
        let target = AllowanceTarget {
            granted: self.granted(team)? + grant,
            unmet_demand: None,
        };
        let effect = CommitEffect::AllowanceGrown {
            team: team.clone(),
            reserved: unspent.component_min(&first_usage) + needed,
        };
        self.commit_allowance(quota, &self.own_allowance(team), &target, effect)
    }

    /// Without pending requests: withdraws the registered demand, and returns the unspent allowance once
    /// it has been idle for long enough.
    fn plan_idle_return(&mut self, quota: &TeamQuota) -> Result<Option<Operation>, CacheMiss> {
        let team = &quota.name;
        let (now, idle_return_after) = (self.now, self.config.idle_return_after);
        let state = self.team_mut(team);
        state.clear_reserved();
        let is_idle = now.since(state.last_charge_at()) >= idle_return_after;
        let unspent = self.unspent(team)?;
        let returned = if is_idle {
            unspent
        } else {
            ResourceVector::ZERO
        };
        let has_demand = quota.team.demand_of(&self.config.name).is_some();
        if !has_demand && returned.is_zero() {
            return Ok(None);
        }
        let target = AllowanceTarget {
            granted: self.granted(team)?.saturating_sub(&returned),
            unmet_demand: None,
        };
        let own = self.own_allowance(team);
        self.commit_allowance(quota, &own, &target, CommitEffect::None)
            .map(Some)
    }

    /// Returns the unspent allowance if a client or a team ahead of this one waits for it, or if the
    /// capacity or the limit was lowered. This has precedence over pending requests of this client, which
    /// would otherwise starve the others. The part that is reserved for own requests is not returned to
    /// others that wait, but it is after a lowered capacity or limit.
    pub(super) fn plan_yielding(
        &mut self,
        quota: &TeamQuota,
    ) -> Result<Option<Operation>, CacheMiss> {
        let team = &quota.name;
        let unspent = self.unspent(team)?;
        let unreserved = unspent.saturating_sub(&self.team_mut(team).reserved());
        let owed = quota.owed_by(&self.config.name);
        let borrowed = quota.team.borrowed();
        let overcommitted = borrowed.component_min(&quota.pool.overcommitted());
        let above_limit = quota.team.granted_above_limit();
        let yielded = owed
            .component_min(&unreserved)
            .component_max(&above_limit)
            .component_max(&overcommitted)
            .component_min(&unspent);
        if yielded.is_zero() {
            return Ok(None);
        }
        let target = AllowanceTarget {
            granted: self.granted(team)?.saturating_sub(&yielded),
            unmet_demand: quota.team.demand_of(&self.config.name),
        };
        let own = self.own_allowance(team);
        self.commit_allowance(quota, &own, &target, CommitEffect::None)
            .map(Some)
    }

    /// Builds the transaction that changes an allowance together with the team's record and the pool.
    pub(super) fn commit_allowance(
        &self,
        quota: &TeamQuota,
        id: &AllowanceId,
        target: &AllowanceTarget,
        effect: CommitEffect,
    ) -> Result<Operation, CacheMiss> {
        let record = self.cache.allowance(id)?.record.cloned();
        let allowance = AllowanceRecord {
            granted: target.granted,
            ..record.unwrap_or_default()
        };
        let updated = quota.with_allowance(&id.client, target);
        let mut transaction = TransactionBuilder::default();
        transaction.put_cached(
            &self.cache,
            RecordKey::Team(id.team.clone()),
            Record::Team(updated.team),
        )?;
        transaction.put_cached(
            &self.cache,
            RecordKey::Allowance(id.clone()),
            Record::Allowance(allowance),
        )?;
        if updated.pool == quota.pool {
            // The grant was computed from the pool, so the pool must not have changed either.
            let version = self.cache.version(&RecordKey::Pool)?;
            transaction.require(&RecordKey::Pool, version);
        } else {
            let pool = Record::Pool(updated.pool);
            transaction.put_cached(&self.cache, RecordKey::Pool, pool)?;
        }
        Ok(transaction.commit(effect))
    }
}
