//! Revoking borrowed work when guarantees and borrowed work together exceed the capacity, such as after
//! the capacity was lowered or a guarantee was raised.

use super::operation::Operation;
use super::outcome::PageRecord;
use super::record_cache::CacheMiss;
use super::{QuotaClient, QuotaEvent};
use crate::admission::{AdmissionEvent, AdmissionState};
use crate::ids::AdmissionId;
use crate::records::{ChargeState, Record, RecordKey};

/// Minimum number of refresh intervals between the starts of two sweeps.
const REFRESHES_PER_SWEEP: u32 = 2;

impl QuotaClient {
    pub(super) fn plan_revocation(&mut self) -> Result<Option<Operation>, CacheMiss> {
        if self.admissions.has_no_team() {
            return Ok(None);
        }
        let pool = self.pool()?;
        if self.revocation_sweep.is_idle() {
            if pool.overcommitted().is_zero() || !self.revocation_sweep.is_due(self.now) {
                return Ok(None);
            }
            let interval = self.config.refresh_interval * REFRESHES_PER_SWEEP;
            self.revocation_sweep.start(self.now.after(interval));
        }
        if let Some(operation) = self.revocation_sweep.next_page() {
            return Ok(Some(operation));
        }
        let max_changes = self.config.store_limits.max_changes;
        Ok(self.revocation_sweep.plan_marks(max_changes))
    }

    /// Takes in a page of teams or charges.
    pub(super) fn on_sweep_page(&mut self, records: Vec<PageRecord>, next: Option<String>) {
        for record in records {
            if let (RecordKey::Charge(id), Record::Charge(charge)) = (&record.key, &record.record) {
                let is_own = charge.client == self.config.name;
                if is_own && charge.state == ChargeState::Revoked {
                    self.on_revoked(id);
                }
            }
            self.revocation_sweep.insert(record);
        }
        let pool = self.pool().ok();
        self.revocation_sweep.finish_page(next, pool.as_ref());
    }

    /// The transaction that marks these admissions as revoked was committed.
    pub(super) fn on_marked(&mut self, ids: &[AdmissionId]) {
        self.revocation_sweep.on_marked(ids);
        for id in ids {
            self.on_revoked(id);
        }
    }

    /// An admission is marked as revoked in the store: if this client handles it, its work has to end.
    pub(super) fn on_revoked(&mut self, id: &AdmissionId) {
        let state = self.admissions.state(id);
        let can_end = matches!(
            state,
            Some(AdmissionState::Charged | AdmissionState::Running)
        );
        let event = AdmissionEvent::RevocationSeen;
        if can_end && self.admissions.transition(id, event) {
            self.events.push(QuotaEvent::Revoked(id.clone()));
        }
    }
}
