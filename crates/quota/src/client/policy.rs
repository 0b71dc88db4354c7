//! Guarantees, limits and capacity as the operators want them, brought into the store.
//!
//! A limit that was lowered is in force once nobody can charge above it any more: unspent allowances
//! are recalled in the way in which those of lost holders are taken back. A holder that lives goes on
//! with what it has charged. Work that was admitted under the higher limit is not stopped; nothing new
//! of its team is admitted before it fits.

use super::cache::Unread;
use super::operation::{Draft, Effect, Operation};
use super::{QuotaClient, QuotaEvent};
use crate::allocation::TeamQuota;
use crate::ids::{ClientName, TeamName};
use crate::policy::{QuotaPolicy, TeamPolicy};
use crate::records::{PoolRecord, Record, RecordKey, TeamRecord};
use crate::resource_vector::ResourceVector;

/// A policy on its way into the store.
#[derive(Debug)]
pub(super) struct PolicyChange {
    capacity: ResourceVector,
    /// Teams that may differ from it.
    left: Vec<(TeamName, TeamPolicy)>,
}

impl QuotaClient {
    /// Brings a policy into the store; [`QuotaEvent::PolicyWritten`] tells when all of it is there, and
    /// the reclaims that it leads to follow. Teams that it does not name stay as they are.
    pub fn set_policy(&mut self, policy: QuotaPolicy) {
        self.cache.forget(&RecordKey::Pool);
        for team in policy.teams.keys() {
            self.cache.forget(&RecordKey::Team(team.clone()));
        }
        self.policy_change = Some(PolicyChange {
            capacity: policy.capacity,
            left: policy.teams.into_iter().collect(),
        });
    }

    pub(super) fn plan_policy(&mut self) -> Result<Option<Operation>, Unread> {
        let Some(change) = &self.policy_change else {
            return Ok(None);
        };
        let (capacity, next) = (change.capacity, change.left.last().cloned());
        let pool = self.pool()?;
        if pool.capacity != capacity {
            let changed = PoolRecord { capacity, ..pool };
            let mut draft = Draft::default();
            draft.replace(&self.cache, RecordKey::Pool, Some(Record::Pool(changed)))?;
            return Ok(Some(draft.commit(Effect::None)));
        }
        let Some((team, wanted)) = next else {
            self.policy_change = None;
            self.decisions.push(QuotaEvent::PolicyApplied);
            return Ok(None);
        };
        let known = self.cache.team(&team)?.record.cloned();
        let before = known.clone().unwrap_or_default();
        if known.is_some() && before.guarantee == wanted.guarantee && before.limit == wanted.limit {
            self.recall_above_limit(&team, &before);
            if let Some(change) = &mut self.policy_change {
                change.left.pop();
            }
            return self.plan_policy();
        }
        let quota = TeamQuota {
            name: team.clone(),
            team: before,
            pool,
        };
        let TeamQuota {
            team: record, pool, ..
        } = quota.with_policy(&wanted);
        let mut draft = Draft::default();
        let key = RecordKey::Team(team);
        draft.replace(&self.cache, key, Some(Record::Team(record)))?;
        draft.replace(&self.cache, RecordKey::Pool, Some(Record::Pool(pool)))?;
        Ok(Some(draft.commit(Effect::None)))
    }

    /// More is lent than the limit allows: what is not spent of it comes back.
    fn recall_above_limit(&mut self, team: &TeamName, record: &TeamRecord) {
        if record.total_granted().fits_within(&record.limit) {
            return;
        }
        let holders: Vec<ClientName> = record.allowances.keys().cloned().collect();
        for holder in holders {
            // What is lent here is given back by the rules of lending.
            self.reclaim(team.clone(), holder);
        }
    }
}
