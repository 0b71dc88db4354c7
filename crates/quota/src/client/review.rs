//! Reading charges again whose state at the client may be outdated.

use super::record_cache::CacheMiss;
use super::{QuotaClient, QuotaEvent};
use crate::admission::{AdmissionEvent, AdmissionRequest};
use crate::ids::AdmissionId;
use crate::records::{ChargeRecord, ChargeState, RecordKey};

/// Why a charge has to be read again. Reviews are processed in the order of these reasons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReviewReason {
    /// A transaction on the charge had a version conflict, or an earlier copy of the transaction may have
    /// been committed.
    UncertainOutcome,
    /// It was charged, but the response came so late that other clients may have released it since.
    LateAnswer,
    /// It was requested again while it was charged.
    RepeatedRequest,
}

/// A charge that has to be read again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ChargeReview {
    reason: ReviewReason,
    id: AdmissionId,
}

impl QuotaClient {
    /// Schedules a charge to be read again.
    pub(super) fn review(&mut self, reason: ReviewReason, id: AdmissionId) {
        self.cache.invalidate(&RecordKey::Charge(id.clone()));
        self.reviews.insert(ChargeReview { reason, id });
    }

    /// Processes all reviews whose charges have been read.
    pub(super) fn review_charges(&mut self) -> Result<(), CacheMiss> {
        while let Some(review) = self.reviews.first().cloned() {
            let charge = self.cache.charge(&review.id)?.record.cloned();
            self.reviews.remove(&review);
            let ChargeReview { reason, id } = review;
            match reason {
                ReviewReason::UncertainOutcome => self.resolve_outcome(id, charge),
                ReviewReason::LateAnswer => self.confirm_charge(&id, charge),
                ReviewReason::RepeatedRequest => self.answer_repeated_request(id, charge),
            }
        }
        Ok(())
    }

    fn resolve_outcome(&mut self, id: AdmissionId, charge: Option<ChargeRecord>) {
        match charge {
            Some(charge) if charge.client == self.config.name => self.on_own_charge(&id, &charge),
            Some(charge) => self.on_charge_elsewhere(id, charge),
            None => self.on_no_charge(&id),
        }
    }

    /// Another client has charged the admission.
    fn on_charge_elsewhere(&mut self, id: AdmissionId, charge: ChargeRecord) {
        if self.admissions.is_pending(&id) {
            self.admissions.remove_pending(&id);
            let client = charge.client;
            self.events.push(QuotaEvent::AlreadyAdmitted { id, client });
        }
    }

    /// The admission has no charge: it is still pending, or was released.
    fn on_no_charge(&mut self, id: &AdmissionId) {
        if self.admissions.is_charged(id) {
            self.on_released(id);
        }
    }

    fn answer_repeated_request(&mut self, id: AdmissionId, charge: Option<ChargeRecord>) {
        match charge {
            Some(ChargeRecord { client, .. }) => {
                self.events.push(QuotaEvent::AlreadyAdmitted { id, client });
            }
            None => {
                self.on_no_charge(&id);
                self.events.push(QuotaEvent::AlreadyCompleted(id));
            }
        }
    }

    /// The work may start only if its charge still exists.
    fn confirm_charge(&mut self, id: &AdmissionId, charge: Option<ChargeRecord>) {
        match charge {
            Some(charge) if charge.client == self.config.name => {
                self.events.push(QuotaEvent::Admitted(id.clone()));
                self.on_own_charge(id, &charge);
            }
            _ => self.on_released(id),
        }
    }

    /// Updates the state of an admission from its charge in the store, which is to this client's allowance.
    pub(super) fn on_own_charge(&mut self, id: &AdmissionId, charge: &ChargeRecord) {
        if self.admissions.state(id).is_none() {
            let request = AdmissionRequest {
                id: id.clone(),
                usage: charge.usage,
                priority: charge.priority,
            };
            self.admissions.insert(request, self.now);
            self.admissions
                .transition(id, AdmissionEvent::ChargeCommitted);
            self.events.push(QuotaEvent::Recovered(id.clone()));
        } else if self.admissions.is_pending(id) {
            self.admissions
                .transition(id, AdmissionEvent::ChargeCommitted);
            // If an earlier process charged it, that process may have reported it as admitted, and its work
            // may run.
            let is_own = self.team_mut(&id.team).is_own_epoch(charge.epoch);
            self.events.push(if is_own {
                QuotaEvent::Admitted(id.clone())
            } else {
                QuotaEvent::Recovered(id.clone())
            });
        }
        if charge.state == ChargeState::Revoked {
            self.on_revoked(id);
        }
    }

    /// The charge of an admission was released by this client or by another one.
    pub(super) fn on_released(&mut self, id: &AdmissionId) {
        self.admissions.transition(id, AdmissionEvent::EndProven);
        self.ended.remove(id);
        let event = AdmissionEvent::ReleaseCommitted;
        if self.admissions.transition(id, event) {
            self.events.push(QuotaEvent::Released(id.clone()));
        }
    }
}
