//! The admissions that a holder has in hand.

use super::operation::{Flight, Purpose};
use super::{Admission, QuotaClient, QuotaEvent};
use crate::admission::{AdmissionEvent, AdmissionRequest, AdmissionState, RejectReason};
use crate::ids::AdmissionId;
use crate::records::{ChargeRecord, ChargeState, RecordKey};

impl QuotaClient {
    /// The one place where an admission in hand changes its state and its team's sum. Returns whether it
    /// did.
    pub(super) fn change(&mut self, id: &AdmissionId, event: AdmissionEvent) -> bool {
        let Some(admission) = self.admissions.get_mut(id) else {
            return false;
        };
        let _admission = tracing::debug_span!("admission", %id).entered();
        let before = admission.state;
        let after = match before.after(event) {
            Ok(after) => after,
            Err(error) => {
                tracing::warn!("admission {id}: {error}");
                return false;
            }
        };
        tracing::trace!("{before:?} -> {after:?}");
        admission.state = after;
        let usage = admission.request.usage;
        let place = admission.place();
        let account = self.account(&id.team);
        if !before.is_charged() && after.is_charged() {
            account.charged += usage;
            account.earmarked = account.earmarked.saturating_sub(&usage);
            account.waiting.remove(&place);
        }
        if before.is_charged() && !after.is_charged() {
            account.charged = account.charged.saturating_sub(&usage);
        }
        if after == AdmissionState::Released {
            self.admissions.remove(id);
        }
        before != after
    }

    /// Nothing more is known of a request that was never charged.
    pub(super) fn drop_request(&mut self, id: &AdmissionId) {
        if let Some(admission) = self.admissions.remove(id) {
            let place = admission.place();
            self.account(&id.team).waiting.remove(&place);
        }
    }

    pub(super) fn reject(&mut self, id: AdmissionId, reason: RejectReason) {
        tracing::info!("admission {id}: rejected, {reason}");
        self.drop_request(&id);
        self.decisions.push(QuotaEvent::Rejected { id, reason });
    }

    /// Takes in an open admission of ours as the store has it.
    pub(super) fn see_own_open(&mut self, id: &AdmissionId, record: &ChargeRecord) {
        if !self.admissions.contains_key(id) {
            self.arrivals += 1;
            let request = AdmissionRequest {
                id: id.clone(),
                usage: record.usage,
                priority: record.priority,
            };
            let admission = Admission {
                request,
                state: AdmissionState::Pending,
                arrival: self.arrivals,
            };
            self.admissions.insert(id.clone(), admission);
            self.change(id, AdmissionEvent::ChargeCommitted);
            self.decisions.push(QuotaEvent::Recovered(id.clone()));
        } else if self.state(id) == Some(AdmissionState::Pending) {
            self.change(id, AdmissionEvent::ChargeCommitted);
            // An earlier process may have told that it is admitted, and its work may run.
            let own = self.account(&id.team).epochs.contains(&record.epoch);
            self.decisions.push(if own {
                QuotaEvent::Admitted(id.clone())
            } else {
                QuotaEvent::Recovered(id.clone())
            });
        }
        if record.state == ChargeState::Revoked {
            self.see_revocation(id);
        }
    }

    pub(super) fn see_revocation(&mut self, id: &AdmissionId) {
        let state = self.state(id);
        let can_end = matches!(
            state,
            Some(AdmissionState::Charged | AdmissionState::Running)
        );
        if can_end && self.change(id, AdmissionEvent::RevocationSeen) {
            self.decisions.push(QuotaEvent::Revoked(id.clone()));
        }
    }

    pub(super) fn is_in_flight(&self, id: &AdmissionId) -> bool {
        let (Flight::Sent { operation, .. } | Flight::Repeat { operation, .. }) = &self.flight
        else {
            return false;
        };
        let Purpose::Commit { writes, .. } = &operation.purpose else {
            return false;
        };
        let key = RecordKey::Charge(id.clone());
        writes.iter().any(|(written, _)| *written == key)
    }
}
