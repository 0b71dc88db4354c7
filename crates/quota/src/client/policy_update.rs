//! Writing the guarantees, limits and capacity that operators set into the store.
//!
//! A lowered limit takes effect once no client can charge above it: the unspent allowances are reclaimed
//! as from lost clients. A client that is alive keeps its charges. Work that was admitted under the higher
//! limit is not stopped, and no more work of its team is admitted before it fits under the new limit.

use std::collections::BTreeMap;

use super::operation::{CommitEffect, Operation, TransactionBuilder};
use super::record_cache::CacheMiss;
use super::{QuotaClient, QuotaEvent};
use crate::allocation::TeamQuota;
use crate::ids::{ClientName, TeamName};
use crate::policy::{QuotaPolicy, TeamPolicy};
use crate::records::{PoolRecord, Record, RecordKey, TeamRecord};
use crate::resource_vector::ResourceVector;

/// A policy that is being written into the store.
#[derive(Debug)]
pub(super) struct PolicyUpdate {
    capacity: ResourceVector,
    /// Teams whose records have not been compared with the policy, or differ from it.
    remaining_teams: BTreeMap<TeamName, TeamPolicy>,
}

impl PolicyUpdate {
    fn next_team(&self) -> Option<(TeamName, TeamPolicy)> {
        let (team, policy) = self.remaining_teams.last_key_value()?;
        Some((team.clone(), *policy))
    }
}

impl QuotaClient {
    /// Writes a policy into the store. [`QuotaEvent::PolicyApplied`] reports that all of it is written; the
    /// reclaims that follow from a lowered limit come later. Teams that are not in the policy keep their
    /// quotas.
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
        Ok(transaction.commit(CommitEffect::None))
    }

    fn put_quota(&self, quota: TeamQuota) -> Result<Operation, CacheMiss> {
        let mut transaction = TransactionBuilder::default();
        let team = RecordKey::Team(quota.name);
        transaction.put_cached(&self.cache, team, Record::Team(quota.team))?;
        transaction.put_cached(&self.cache, RecordKey::Pool, Record::Pool(quota.pool))?;
        Ok(transaction.commit(CommitEffect::None))
    }

    fn finish_team(&mut self, team: &TeamName) {
        if let Some(update) = &mut self.policy_update {
            update.remaining_teams.remove(team);
        }
    }

    /// If more is granted than the limit allows, reclaims the unspent allowances of other clients. This
    /// client returns its own part when it plans the next operation of the team.
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
