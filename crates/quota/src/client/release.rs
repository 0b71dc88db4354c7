//! Releasing the charges of admissions that have ended.

use std::collections::BTreeMap;

use super::operation::{CommitEffect, Operation, TransactionBuilder};
use super::record_cache::CacheMiss;
use super::team_state::TeamState;
use super::{QuotaClient, QuotaEvent};
use crate::completed::CompletedRecord;
use crate::ids::{AdmissionId, RequesterId, TeamName};
use crate::records::{Record, RecordKey};

impl QuotaClient {
    /// Deletes charges and records the admissions as completed by their requesters in one transaction, so
    /// that each charge is released once even if several clients release it.
    pub(super) fn plan_releases(&mut self) -> Result<Option<Operation>, CacheMiss> {
        let max_changes = self.config.store_limits.max_changes;
        let mut transaction = TransactionBuilder::default();
        let mut completed: BTreeMap<RequesterId, CompletedRecord> = BTreeMap::new();
        let mut released = Vec::new();
        for id in self.releasable(max_changes) {
            let requester = id.requester_id();
            let is_new_requester = !completed.contains_key(&requester);
            // One change per charge, and one per requester.
            let requesters = completed.len() + usize::from(is_new_requester);
            if released.len() + 1 + requesters > max_changes {
                break;
            }
            let cached = self.cache.charge(&id)?;
            let version = cached.version;
            let Some(usage) = cached.record.map(|charge| charge.usage) else {
                self.on_release_without_charge(id);
                continue;
            };
            if is_new_requester {
                let record = self.cache.completed(&requester)?.record.cloned();
                completed.insert(requester.clone(), record.unwrap_or_default());
            }
            if let Some(record) = completed.get_mut(&requester) {
                record.add(id.sequence, usage);
            }
            transaction.delete(RecordKey::Charge(id.clone()), version);
            released.push(id);
        }
        if released.is_empty() {
            return Ok(None);
        }
        for (requester, record) in completed {
            let key = RecordKey::Completed(requester);
            transaction.put_cached(&self.cache, key, Record::Completed(record))?;
        }
        Ok(Some(transaction.commit(CommitEffect::Released(released))))
    }

    /// The first `max_count` ended admissions. Teams whose charges are being read are left out, because the
    /// charges must not change while they are summed up.
    fn releasable(&self, max_count: usize) -> Vec<AdmissionId> {
        let is_loading = |team: &TeamName| {
            let team = self.admissions.team(team);
            team.is_some_and(TeamState::is_loading)
        };
        let ended = self.ended.iter().filter(|id| !is_loading(&id.team));
        ended.take(max_count).cloned().collect()
    }

    /// The work has ended but has no charge: another client released it, or it never was charged.
    fn on_release_without_charge(&mut self, id: AdmissionId) {
        self.ended.remove(&id);
        if self.admissions.is_charged(&id) {
            self.on_released(&id);
        } else {
            self.admissions.remove_pending(&id);
            self.events.push(QuotaEvent::NotFound(id));
        }
    }

    /// The transaction that releases these charges was committed.
    pub(super) fn on_releases_committed(&mut self, ids: Vec<AdmissionId>) {
        for id in ids {
            self.ended.remove(&id);
            self.cache.invalidate(&RecordKey::Charge(id.clone()));
            if self.admissions.is_charged(&id) {
                self.on_released(&id);
            } else {
                self.events.push(QuotaEvent::Released(id));
            }
        }
    }
}
