//! Reading charges again about which the client may be wrong.

use super::record_cache::CacheMiss;
use super::{QuotaClient, QuotaEvent};
use crate::admission::{AdmissionEvent, AdmissionRequest};
use crate::ids::AdmissionId;
use crate::records::{ChargeRecord, ChargeState, RecordKey};

/// Why a charge has to be read again. Reviews are done in the order of these reasons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReviewReason {
    /// A transaction failed on its version, or an earlier copy of one may have been carried out.
    UncertainOutcome,
    /// It was charged, but the answer came so late that others may have released it meanwhile.
    LateAnswer,
    /// It was requested again although it is charged.
    RepeatedRequest,
}

/// A charge that has to be read again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ChargeReview {
    reason: ReviewReason,
    id: AdmissionId,
}

impl QuotaClient {
    /// Has a charge read again.
    pub(super) fn review(&mut self, reason: ReviewReason, id: AdmissionId) {
        self.cache.invalidate(&RecordKey::Charge(id.clone()));
        self.reviews.insert(ChargeReview { reason, id });
    }

    /// Does all reviews whose charges have been read.
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

    /// There is no charge: the admission is still pending, or was released.
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

    /// The work may start only if its charge is still there.
    fn confirm_charge(&mut self, id: &AdmissionId, charge: Option<ChargeRecord>) {
        match charge {
            Some(charge) if charge.client == self.config.name => {
                self.events.push(QuotaEvent::Admitted(id.clone()));
                self.on_own_charge(id, &charge);
            }
            _ => self.on_released(id),
        }
    }

    /// Takes in a charge to this client's allowance as the store has it.
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
            // An earlier process may have reported it as admitted, and its work may run.
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

    /// The charge of an admission is gone, by a release of this client or of another one.
    pub(super) fn on_released(&mut self, id: &AdmissionId) {
        self.admissions.transition(id, AdmissionEvent::EndProven);
        self.ended.remove(id);
        let event = AdmissionEvent::ReleaseCommitted;
        if self.admissions.transition(id, event) {
            self.events.push(QuotaEvent::Released(id.clone()));
        }
    }
}
