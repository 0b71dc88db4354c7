//! Asking for a larger allowance, and giving back what others wait for.
//!
//! Nobody keeps what it can't use while it waits for more: whoever can't be lent what its first
//! request needs gives back what it has and queues for all of it. So no two holders, and no two teams,
//! wait for each other.

use super::cache::Unread;
use super::operation::{Draft, Effect, Operation};
use super::QuotaClient;
use crate::allocation::{AllowanceTarget, TeamQuota};
use crate::ids::{AdmissionId, AllowanceId, ClientName, TeamName};
use crate::records::{AllowanceRecord, Record, RecordKey};
use crate::resource_vector::ResourceVector;

impl QuotaClient {
    /// What the allowance needs: more for requests that wait here, less for others, or no change.
    pub(super) fn plan_rebalancing(
        &mut self,
        quota: &TeamQuota,
    ) -> Result<Option<Operation>, Unread> {
        let waiting = &self.account(&quota.name).waiting;
        match waiting.first().map(|place| place.2.clone()) {
            Some(front) => self.plan_growth(quota, &front),
            None => self.plan_idle_return(quota),
        }
    }

    /// Grows the allowance for the requests that wait here. Where there is not enough, gives back what
    /// is unspent and registers the demand, so that others learn of it.
    fn plan_growth(
        &mut self,
        quota: &TeamQuota,
        front: &AdmissionId,
    ) -> Result<Option<Operation>, Unread> {
        let team = &quota.name;
        let own = self.config.name.clone();
        let unspent = self.room(team)?;
        let granted = self.granted(team)?;
        let usage = self.usage_of(front);
        let missing = usage.saturating_sub(&unspent);
        let grantable = quota.grantable_to(&own);
        if missing.fits_within(&grantable) {
            let mut needed = missing;
            if !quota.is_contended() {
                let all = self.waiting_usage(team).saturating_sub(&unspent);
                needed = needed.component_max(&all.component_min(&grantable));
            }
            let more = quota.grant_size(&own, needed, self.config.expected_clients);
            let target = AllowanceTarget {
                granted: granted + more,
                unmet_demand: None,
            };
            let effect = Effect::Lent {
                team: team.clone(),
                usage: unspent.component_min(&usage) + needed,
            };
            return self
                .commit_allowance(quota, &own, &target, effect)
                .map(Some);
        }
        if unspent.is_zero() && quota.team.demand_of(&own) == Some(usage) {
            return Ok(None);
        }
        let target = AllowanceTarget {
            granted: granted.saturating_sub(&unspent),
            unmet_demand: Some(usage),
        };
        self.commit_allowance(quota, &own, &target, Effect::None)
            .map(Some)
    }

    /// Nothing waits here: withdraws the demand, and gives back an allowance that has been idle.
    fn plan_idle_return(&mut self, quota: &TeamQuota) -> Result<Option<Operation>, Unread> {
        let team = &quota.name;
        let own = self.config.name.clone();
        let (now, idle_return) = (self.now, self.config.idle_return_after);
        let account = self.account(team);
        account.earmarked = ResourceVector::ZERO;
        let is_idle = now.since(account.used_at) >= idle_return;
        let unspent = self.room(team)?;
        let returned = if is_idle {
            unspent
        } else {
            ResourceVector::ZERO
        };
        if quota.team.demand_of(&own).is_none() && returned.is_zero() {
            return Ok(None);
        }
        let target = AllowanceTarget {
            granted: self.granted(team)?.saturating_sub(&returned),
            unmet_demand: None,
        };
        self.commit_allowance(quota, &own, &target, Effect::None)
            .map(Some)
    }

    /// Gives up what is unspent if a client or a team ahead of this one waits for it, or if the capacity
    /// or the limit have shrunk. It goes before requests of this client, which would starve the others
    /// otherwise.
    pub(super) fn plan_yielding(&mut self, quota: &TeamQuota) -> Result<Option<Operation>, Unread> {
        let team = &quota.name;
        let own = self.config.name.clone();
        let unspent = self.room(team)?;
        let not_earmarked = unspent.saturating_sub(&self.account(team).earmarked);
        let owed = quota.owed_by(&own).component_min(&not_earmarked);
        let borrowed = quota.team.borrowed();
        let overcommitted = borrowed.component_min(&quota.pool.overcommitted());
        let above_limit = quota.team.granted_above_limit();
        let excess = above_limit.component_max(&overcommitted);
        let yielded = unspent.component_min(&owed.component_max(&excess));
        if yielded.is_zero() {
            return Ok(None);
        }
        let target = AllowanceTarget {
            granted: self.granted(team)?.saturating_sub(&yielded),
            unmet_demand: quota.team.demand_of(&own),
        };
        self.commit_allowance(quota, &own, &target, Effect::None)
            .map(Some)
    }

    /// The transaction that changes an allowance together with the records that count it.
    pub(super) fn commit_allowance(
        &self,
        quota: &TeamQuota,
        client: &ClientName,
        target: &AllowanceTarget,
        effect: Effect,
    ) -> Result<Operation, Unread> {
        let team = &quota.name;
        let allowance = self.cache.allowance(team, client)?.record.cloned();
        let allowance = AllowanceRecord {
            granted: target.granted,
            ..allowance.unwrap_or_default()
        };
        let updated = quota.with_allowance(client, target);
        let mut draft = Draft::default();
        let team_key = RecordKey::Team(team.clone());
        draft.replace(&self.cache, team_key, Some(Record::Team(updated.team)))?;
        let allowance_key = RecordKey::Allowance(AllowanceId::new(team, client));
        let allowance = Some(Record::Allowance(allowance));
        draft.replace(&self.cache, allowance_key, allowance)?;
        let pool_version = self.cache.pool()?.version;
        if updated.pool == quota.pool {
            // What may be granted was computed from it.
            draft.require(&RecordKey::Pool, pool_version);
        } else {
            let pool = Some(Record::Pool(updated.pool));
            draft.write(RecordKey::Pool, pool_version, pool);
        }
        Ok(draft.commit(effect))
    }

    /// The team's quota as far as it is known.
    pub(super) fn quota(&self, team: &TeamName) -> Result<TeamQuota, Unread> {
        let record = self.cache.team(team)?.record.cloned();
        Ok(TeamQuota {
            name: team.clone(),
            team: record.unwrap_or_default(),
            pool: self.pool()?,
        })
    }

    fn granted(&self, team: &TeamName) -> Result<ResourceVector, Unread> {
        let known = self.cache.allowance(team, &self.config.name)?;
        Ok(known.record.map_or(ResourceVector::ZERO, |a| a.granted))
    }

    fn usage_of(&self, id: &AdmissionId) -> ResourceVector {
        let admission = self.admissions.get(id);
        admission.map_or(ResourceVector::ZERO, |a| a.request.usage)
    }

    fn waiting_usage(&self, team: &TeamName) -> ResourceVector {
        let Some(account) = self.accounts.get(team) else {
            return ResourceVector::ZERO;
        };
        account.waiting.iter().map(|p| self.usage_of(&p.2)).sum()
    }
}
