//! Asking for a larger allowance, and giving back what others wait for.
//!
//! A client that waits for more keeps nothing that it can't use meanwhile: if its first request can't be
//! granted what it needs, the client gives back all that is unspent and waits for the whole. So no two
//! clients, and no two teams, wait for each other.

use super::operation::{Effect, Operation, TransactionBuilder};
use super::record_cache::CacheMiss;
use super::QuotaClient;
use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::ids::{AdmissionId, AllowanceId};
use crate::records::{AllowanceRecord, Record, RecordKey};
use crate::resource_vector::ResourceVector;

impl QuotaClient {
    /// Brings the allowance in line with what is pending: larger for requests that wait here, smaller if
    /// it is idle.
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

    /// Grows the allowance for pending requests. If not even the first one can be granted what it needs,
    /// gives back what is unspent and registers the demand, so that others make room.
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
        self.commit_allowance(quota, &own, &target, Effect::None)
            .map(Some)
    }

    /// Grants what the first request misses, and while nobody else waits also what the other pending
    /// requests need.
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
        let effect = Effect::AllowanceGrown {
            team: team.clone(),
            reserved: unspent.component_min(&first_usage) + needed,
        };
        self.commit_allowance(quota, &self.own_allowance(team), &target, effect)
    }

    /// Nothing is pending: withdraws the registered demand, and gives back what has been idle.
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
        self.commit_allowance(quota, &own, &target, Effect::None)
            .map(Some)
    }

    /// Gives back what is unspent if a client or a team ahead of this one waits for it, or if the
    /// capacity or the limit have shrunk. This goes before requests of this client, which would starve
    /// the others otherwise. What is reserved for own requests is kept from those that wait, but not
    /// from a shrunken capacity or limit.
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
        self.commit_allowance(quota, &own, &target, Effect::None)
            .map(Some)
    }

    /// The transaction that changes an allowance together with the team's record and the pool.
    pub(super) fn commit_allowance(
        &self,
        quota: &TeamQuota,
        id: &AllowanceId,
        target: &AllowanceTarget,
        effect: Effect,
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
            // What may be granted was computed from the pool, so it must not have changed either.
            let version = self.cache.version(&RecordKey::Pool)?;
            transaction.require(&RecordKey::Pool, version);
        } else {
            let pool = Record::Pool(updated.pool);
            transaction.put_cached(&self.cache, RecordKey::Pool, pool)?;
        }
        Ok(transaction.commit(effect))
    }
}
