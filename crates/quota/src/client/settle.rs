//! Taking charges back once the end of the work is proven.

use std::collections::BTreeMap;

use super::cache::Unread;
use super::operation::{Draft, Effect, Operation};
use super::{QuotaClient, QuotaEvent};
use crate::completed::CompletedRecord;
use crate::ids::{AdmissionId, RequesterId, TeamName};
use crate::records::{Record, RecordKey};

impl QuotaClient {
    /// One transaction removes open admissions and folds them into their requesters' records, so that
    /// each is taken back once, whoever repeats it.
    pub(super) fn plan_settling(&mut self) -> Result<Option<Operation>, Unread> {
        let mut draft = Draft::default();
        let mut folded: BTreeMap<RequesterId, CompletedRecord> = BTreeMap::new();
        let mut released = Vec::new();
        let ids: Vec<AdmissionId> = {
            let most = self.config.store_limits.changes;
            let able = self
                .releasing
                .iter()
                .filter(|id| !self.is_loading(&id.team));
            able.take(most).cloned().collect()
        };
        for id in ids {
            let place = id.requester_id();
            // The removal, and one record for each requester.
            let requesters = folded.len() + usize::from(!folded.contains_key(&place));
            let changes = released.len() + 1 + requesters;
            if changes > self.config.store_limits.changes {
                break;
            }
            let open = self.cache.open(RecordKey::Charge(id.clone()))?;
            let Some(record) = open.record.cloned() else {
                self.not_open(id);
                continue;
            };
            let version = open.version;
            if !folded.contains_key(&place) {
                let known = self.cache.settled(id.requester_id())?;
                folded.insert(place.clone(), known.record.cloned().unwrap_or_default());
            }
            if let Some(settled) = folded.get_mut(&place) {
                settled.add(id.sequence, record.usage);
            }
            draft.write(RecordKey::Charge(id.clone()), version, None);
            released.push(id);
        }
        if released.is_empty() {
            return Ok(None);
        }
        for (requester, record) in folded {
            let key = RecordKey::Completed(requester);
            draft.replace(&self.cache, key, Some(Record::Completed(record)))?;
        }
        Ok(Some(draft.commit(Effect::Released(released))))
    }

    fn is_loading(&self, team: &TeamName) -> bool {
        // What is charged is being summed up; it must not change meanwhile.
        let account = self.accounts.get(team);
        account.is_some_and(|a| matches!(a.claim, super::account::Claim::Loading { .. }))
    }

    /// It was to be taken back, but is not open.
    fn not_open(&mut self, id: AdmissionId) {
        self.releasing.remove(&id);
        let counts = self.state(&id).is_some_and(|state| state.is_charged());
        if counts {
            self.found_settled(&id);
        } else {
            self.drop_request(&id);
            self.decisions.push(QuotaEvent::NotFound(id));
        }
    }
}
