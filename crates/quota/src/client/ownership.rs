//! Acquiring the allowance of a team, reading the charges to it, and refreshing both.
//!
//! A process acquires an allowance by raising its epoch. That changes the version on which every charge
//! is conditional, so charges that an earlier process of the same client name has in flight fail. The
//! charges that the earlier process made are read before anything more is charged.

use std::collections::BTreeSet;

use super::operation::{CommitEffect, Operation, TransactionBuilder};
use super::outcome::PageRecord;
use super::record_cache::CacheMiss;
use super::team_state::Ownership;
use super::QuotaClient;
use crate::admission::RejectReason;
use crate::allocation::TeamQuota;
use crate::ids::{AdmissionId, AllowanceId, TeamName};
use crate::records::{AllowanceRecord, Record, RecordKey, TeamRecord};

/// Minimum number of refresh intervals from one reading of the charges to the next.
const REFRESHES_PER_RELOAD: u32 = 4;

impl QuotaClient {
    /// The next operation for one team, if one is needed.
    pub(super) fn plan_team(&mut self, team: &TeamName) -> Result<Option<Operation>, CacheMiss> {
        self.start_refresh_if_due(team);
        let Some(record) = self.cache.team(team)?.record.cloned() else {
            self.reject_pending(team, RejectReason::UnknownTeam);
            return Ok(None);
        };
        match self.team_mut(team).ownership().clone() {
            Ownership::Unowned => self.plan_acquisition(team).map(Some),
            Ownership::Loading { after, .. } => Ok(Some(self.scan_own_charges(team, after))),
            Ownership::Owned { epoch } if self.is_reload_due(team, &record)? => {
                self.start_loading(team, epoch);
                Ok(Some(self.scan_own_charges(team, String::new())))
            }
            Ownership::Owned { .. } => self.plan_owned(team, record),
        }
    }

    /// The next operation for a team whose allowance is owned and whose charges are known: returns
    /// allowance that others wait for, then charges pending requests, then rebalances the allowance.
    fn plan_owned(
        &mut self,
        team: &TeamName,
        record: TeamRecord,
    ) -> Result<Option<Operation>, CacheMiss> {
        let quota = TeamQuota {
            name: team.clone(),
            team: record,
            pool: self.pool()?,
        };
        let next_refresh = self.now.after(self.config.refresh_interval);
        self.team_mut(team).finish_refresh(next_refresh);
        if let Some(operation) = self.plan_yielding(&quota)? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_charges(&quota)? {
            return Ok(Some(operation));
        }
        self.plan_rebalancing(&quota)
    }

    fn reject_pending(&mut self, team: &TeamName, reason: RejectReason) {
        let pending: Vec<AdmissionId> = self.team_mut(team).queue().cloned().collect();
        for id in pending {
            self.reject(id, reason);
        }
    }

    // ---- refreshing

    /// Drops the cached team and pool records once per refresh interval, as other clients change them, so
    /// that they are read again. Applies only while this client has pending requests, charges or unspent
    /// allowance.
    fn start_refresh_if_due(&mut self, team: &TeamName) {
        let now = self.now;
        let has_unspent = self.unspent(team).is_ok_and(|unspent| !unspent.is_zero());
        let Some(state) = self.admissions.team_mut(team) else {
            return;
        };
        let is_active = has_unspent || state.pending_count() > 0 || !state.charged().is_zero();
        if is_active && state.start_refresh(now) {
            self.cache.invalidate(&RecordKey::Team(team.clone()));
            self.cache.invalidate(&RecordKey::Pool);
        }
    }

    /// Whether the charges are to be read again. Other clients release charges of this client if they
    /// learn first that the work has ended. Reading the charges again only matters while anyone waits for
    /// allowance or capacity.
    fn is_reload_due(&mut self, team: &TeamName, record: &TeamRecord) -> Result<bool, CacheMiss> {
        let now = self.now;
        let pool = self.pool()?;
        let has_shortage =
            !pool.shortfall_ahead_of(team).is_zero() || !pool.overcommitted().is_zero();
        let state = self.team_mut(team);
        let is_contended =
            has_shortage || !record.unmet_demands.is_empty() || state.pending_count() > 0;
        Ok(is_contended && !state.charged().is_zero() && state.is_reload_due(now))
    }

    // ---- acquiring

    /// Raises the epoch of the allowance, so that only this process can charge to it.
    fn plan_acquisition(&mut self, team: &TeamName) -> Result<Operation, CacheMiss> {
        let id = self.own_allowance(team);
        let cached = self.cache.allowance(&id)?;
        let version = cached.version;
        let current = cached.record.cloned().unwrap_or_default();
        let epoch = current.epoch + 1;
        let acquired = AllowanceRecord {
            epoch,
            is_fenced: false,
            ..current
        };
        let mut transaction = TransactionBuilder::default();
        let key = RecordKey::Allowance(id);
        transaction.put(key, version, Record::Allowance(acquired));
        Ok(transaction.commit(CommitEffect::AllowanceAcquired {
            team: team.clone(),
            epoch,
        }))
    }

    pub(super) fn on_acquired(&mut self, team: &TeamName, epoch: u64) {
        self.team_mut(team).acquire(epoch);
        self.start_loading(team, epoch);
    }

    /// Checks an allowance that was read. If its epoch is not the one at which this process acquired it,
    /// another process of the same client name has acquired it, or another client has fenced it off.
    pub(super) fn check_ownership(&mut self, id: &AllowanceId, record: Option<&Record>) {
        if id.client != self.config.name {
            return;
        }
        let Some(state) = self.admissions.team_mut(&id.team) else {
            return;
        };
        let stored_epoch = match record {
            Some(Record::Allowance(allowance)) => Some(allowance.epoch),
            _ => None,
        };
        let owned_epoch = state.owned_epoch();
        if owned_epoch.is_some() && owned_epoch != stored_epoch {
            state.lose_ownership();
        }
    }

    // ---- reading charges

    fn start_loading(&mut self, team: &TeamName, epoch: u64) {
        let interval = self.config.refresh_interval * REFRESHES_PER_RELOAD;
        let reload_at = self.now.after(interval);
        self.team_mut(team).start_loading(epoch, reload_at);
    }

    fn scan_own_charges(&self, team: &TeamName, after: String) -> Operation {
        Operation::scan_charges(self.own_allowance(team), after)
    }

    /// Takes in a page of the charges to this client's allowance.
    pub(super) fn on_own_charges(
        &mut self,
        team: &TeamName,
        records: Vec<PageRecord>,
        next: Option<String>,
    ) {
        for PageRecord {
            key,
            version,
            record,
        } in records
        {
            if let (RecordKey::Charge(id), Record::Charge(charge)) = (&key, &record) {
                self.team_mut(team).add_loaded(id.clone());
                self.on_own_charge(id, charge);
            }
            self.cache.insert(key, version, Some(record));
        }
        if let Some(loaded) = self.team_mut(team).finish_page(next) {
            self.on_charges_loaded(team, &loaded);
        }
    }

    /// All charges to the allowance were read. Charges that are missing were released by other clients.
    fn on_charges_loaded(&mut self, team: &TeamName, loaded: &BTreeSet<AdmissionId>) {
        for id in self.admissions.charged_but_not_in(team, loaded) {
            self.on_released(&id);
        }
    }
}
