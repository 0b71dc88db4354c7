//! Bringing guarantees, limits and the capacity into the store as operators set them.
//!
//! A lowered limit is in force once nobody can charge above it any more: what clients have not spent is
//! reclaimed as from lost ones. A client that lives goes on with what it has charged. Work that was
//! admitted under the higher limit is not stopped, and nothing of its team is admitted before it fits.

use std::collections::BTreeMap;

use super::operation::{Effect, Operation, TransactionBuilder};
use super::record_cache::CacheMiss;
use super::{QuotaClient, QuotaEvent};
use crate::allocation::TeamQuota;
use crate::ids::{ClientName, TeamName};
use crate::policy::{QuotaPolicy, TeamPolicy};
use crate::records::{PoolRecord, Record, RecordKey, TeamRecord};
use crate::resource_vector::ResourceVector;

/// A policy that is being brought into the store.
#[derive(Debug)]
pub(super) struct PolicyUpdate {
    capacity: ResourceVector,
    /// Teams whose records may differ from the policy.
    remaining_teams: BTreeMap<TeamName, TeamPolicy>,
}

impl PolicyUpdate {
    fn next_team(&self) -> Option<(TeamName, TeamPolicy)> {
        let (team, policy) = self.remaining_teams.last_key_value()?;
        Some((team.clone(), *policy))
    }
}

impl QuotaClient {
    /// Brings a policy into the store. [`QuotaEvent::PolicyApplied`] tells when all of it is there; the
    /// reclaims that a lowered limit leads to follow. Teams that the policy doesn't name stay as they
    /// are.
    pub fn set_policy(&mut self, policy: QuotaPolicy) {
        self.cache.invalidate(&RecordKey::Pool);
        for team in policy.teams.keys() {
            self.cache.invalidate(&RecordKey::Team(team.clone()));
        }
        self.policy_update = Some(PolicyUpdate {
            capacity: policy.capacity,
            remaining_teams: policy.teams,
        });
    }

    pub(super) fn plan_policy_update(&mut self) -> Result<Option<Operation>, CacheMiss> {
        while let Some(update) = &self.policy_update {
            let capacity = update.capacity;
            let next_team = update.next_team();
            let pool = self.pool()?;
            if pool.capacity != capacity {
                return self.put_pool(PoolRecord { capacity, ..pool }).map(Some);
            }
            let Some((team, policy)) = next_team else {
                self.policy_update = None;
                self.events.push(QuotaEvent::PolicyApplied);
                return Ok(None);
            };
            let record = self.cache.team(&team)?.record.cloned();
            if let Some(record) = record.as_ref().filter(|record| policy.matches(record)) {
                self.reclaim_above_limit(&team, record);
                self.finish_team(&team);
                continue;
            }
            let quota = TeamQuota {
                name: team,
                team: record.unwrap_or_default(),
                pool,
            };
            return self.put_quota(quota.with_policy(&policy)).map(Some);
        }
        Ok(None)
    }

    fn put_pool(&self, pool: PoolRecord) -> Result<Operation, CacheMiss> {
        let mut transaction = TransactionBuilder::default();
        transaction.put_cached(&self.cache, RecordKey::Pool, Record::Pool(pool))?;
        Ok(transaction.commit(Effect::None))
    }

    fn put_quota(&self, quota: TeamQuota) -> Result<Operation, CacheMiss> {
        let mut transaction = TransactionBuilder::default();
        let team = RecordKey::Team(quota.name);
        transaction.put_cached(&self.cache, team, Record::Team(quota.team))?;
        transaction.put_cached(&self.cache, RecordKey::Pool, Record::Pool(quota.pool))?;
        Ok(transaction.commit(Effect::None))
    }

    fn finish_team(&mut self, team: &TeamName) {
        if let Some(update) = &mut self.policy_update {
            update.remaining_teams.remove(team);
        }
    }

    /// If more is granted than the limit allows, reclaims what other clients have not spent. This client
    /// gives its part back when it next rebalances.
    fn reclaim_above_limit(&mut self, team: &TeamName, record: &TeamRecord) {
        if record.total_granted().fits_within(&record.limit) {
            return;
        }
        let clients: Vec<ClientName> = record.allowances.keys().cloned().collect();
        for client in clients {
            self.reclaim(team.clone(), client);
        }
    }
}

impl TeamPolicy {
    fn matches(&self, record: &TeamRecord) -> bool {
        record.guarantee == self.guarantee && record.limit == self.limit
    }
}
