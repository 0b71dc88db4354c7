//! Charging pending requests to the allowance.

use lichencrank_store::{json_size, Version};

use super::operation::{CommitEffect, Operation, TransactionBuilder};
use super::record_cache::CacheMiss;
use super::review::ReviewReason;
use super::{QuotaClient, QuotaEvent};
use crate::admission::{AdmissionEvent, AdmissionRequest, RejectReason};
use crate::allocation::TeamQuota;
use crate::ids::AdmissionId;
use crate::records::{ChargeRecord, ChargeState, Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// Estimated size of a charge within a transaction.
const ESTIMATED_CHARGE_BYTES: usize = 400;
/// Maximum size of the charges in a transaction. The store accepts larger transactions; the rest is for
/// conditions and framing.
const MAX_BATCH_BYTES: usize = 44 * 1024;
/// Each charge is conditional on the charge's key and on the requester's completed admissions.
const CONDITIONS_PER_CHARGE: usize = 2;
/// Once the record of a requester's completed admissions exceeds this share of the maximum value size, its
/// requests are rejected, because their release might not fit into the record.
const MAX_COMPLETED_SHARE: f64 = 0.75;

/// The charges of one transaction.
struct ChargeBatch {
    transaction: TransactionBuilder,
    /// The part of the allowance that is left after these charges.
    unspent: ResourceVector,
    charged: Vec<AdmissionId>,
}

/// The result of charging a pending request.
enum ChargeResult {
    /// Its charge was added to the batch.
    Charged,
    /// It was rejected, was completed before, or is no longer pending.
    Answered,
    /// Its usage exceeds the rest of the allowance.
    InsufficientAllowance,
}

impl QuotaClient {
    /// Charges pending requests in queue order, as many as fit into the allowance and one transaction.
    pub(super) fn plan_charges(
        &mut self,
        quota: &TeamQuota,
    ) -> Result<Option<Operation>, CacheMiss> {
        let team = &quota.name;
        let allowance = self.own_allowance(team);
        let mut batch = ChargeBatch {
            transaction: TransactionBuilder::default(),
            unspent: self.unspent(team)?,
            charged: Vec::new(),
        };
        let version = self.cache.allowance(&allowance)?.version;
        let key = RecordKey::Allowance(allowance);
        batch.transaction.require(&key, version);
        let max_changes = self.config.store_limits.max_changes;
        let queue = self.team_mut(team).queue();
        let pending: Vec<AdmissionId> = queue.take(max_changes).cloned().collect();
        for id in pending {
            if !self.has_space(&batch) {
                break;
            }
            match self.try_charge(&id, &quota.team.limit, &mut batch)? {
                ChargeResult::Charged => batch.charged.push(id),
                ChargeResult::Answered => {}
                ChargeResult::InsufficientAllowance => break,
            }
        }
        if batch.charged.is_empty() {
            return Ok(None);
        }
        let now = self.now;
        self.team_mut(team).set_last_charge_at(now);
        let effect = CommitEffect::Charged(batch.charged);
        Ok(Some(batch.transaction.commit(effect)))
    }

    /// Whether one more charge fits into the transaction.
    fn has_space(&self, batch: &ChargeBatch) -> bool {
        let limits = &self.config.store_limits;
        let changes = batch.transaction.change_count() + 1;
        let conditions = batch.transaction.condition_count() + CONDITIONS_PER_CHARGE;
        changes <= limits.max_changes
            && conditions <= limits.max_conditions()
            && changes * ESTIMATED_CHARGE_BYTES <= MAX_BATCH_BYTES
    }

    /// Adds the charge of a request to the batch, unless the request is answered without a charge or does
    /// not fit into the rest of the allowance.
    fn try_charge(
        &mut self,
        id: &AdmissionId,
        limit: &ResourceVector,
        batch: &mut ChargeBatch,
    ) -> Result<ChargeResult, CacheMiss> {
        let Some(&AdmissionRequest {
            usage, priority, ..
        }) = self.admissions.request(id)
        else {
            return Ok(ChargeResult::Answered);
        };
        if self.answer_without_charge(id, &usage, limit)? {
            return Ok(ChargeResult::Answered);
        }
        if !usage.fits_within(&batch.unspent) {
            return Ok(ChargeResult::InsufficientAllowance);
        }
        batch.unspent = batch.unspent.saturating_sub(&usage);
        let charge = ChargeRecord {
            client: self.config.name.clone(),
            epoch: self.team_mut(&id.team).last_own_epoch(),
            usage,
            priority,
            state: ChargeState::Charged,
        };
        let key = RecordKey::Charge(id.clone());
        let transaction = &mut batch.transaction;
        transaction.put(key, Version::ABSENT, Record::Charge(charge));
        // A completed admission has no charge record either: without this condition, a transaction that
        // reaches the store late could charge it again.
        let requester = id.requester_id();
        let version = self.cache.completed(&requester)?.version;
        transaction.require(&RecordKey::Completed(requester), version);
        Ok(ChargeResult::Charged)
    }

    /// Answers a request that is completed already, or that has to be rejected regardless of the
    /// allowance. Returns whether the request was answered.
    fn answer_without_charge(
        &mut self,
        id: &AdmissionId,
        usage: &ResourceVector,
        limit: &ResourceVector,
    ) -> Result<bool, CacheMiss> {
        if !usage.fits_within(limit) {
            self.reject(id.clone(), RejectReason::LargerThanLimit);
            return Ok(true);
        }
        let Some(completed) = self.cache.completed(&id.requester_id())?.record else {
            return Ok(false);
        };
        if completed.sequences.contains(id.sequence) {
            self.admissions.remove_pending(id);
            self.events.push(QuotaEvent::AlreadyCompleted(id.clone()));
            return Ok(true);
        }
        let max_bytes = self.config.store_limits.max_value_bytes as f64 * MAX_COMPLETED_SHARE;
        if json_size(completed) as f64 > max_bytes {
            self.reject(id.clone(), RejectReason::TooManySequenceGaps);
            return Ok(true);
        }
        Ok(false)
    }

    /// The transaction that charges these admissions was committed. With `is_late`, the response took
    /// longer than [`reconfirm_after`](super::ClientConfig::reconfirm_after), so the charges are read again
    /// before they are reported as admitted.
    pub(super) fn on_charged(&mut self, ids: Vec<AdmissionId>, is_late: bool) {
        for id in ids {
            self.admissions
                .transition(&id, AdmissionEvent::ChargeCommitted);
            if self.ended.contains(&id) {
                self.admissions.transition(&id, AdmissionEvent::EndProven);
            } else if is_late {
                self.review(ReviewReason::LateAnswer, id);
            } else {
                self.events.push(QuotaEvent::Admitted(id));
            }
        }
    }
}
