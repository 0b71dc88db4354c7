//! Charging admissions within the allowance.

use lichencrank_store::{json_size, Request, Time, Version};

use super::account::{Claim, Loading};
use super::cache::Unread;
use super::operation::{Draft, Effect, Operation, Purpose};
use super::{QuotaClient, QuotaEvent, BATCH_BYTES, LOAD_PAGE};
use crate::admission::{AdmissionRequest, AdmissionState, RejectReason};
use crate::ids::{AdmissionId, AllowanceId, TeamName};
use crate::records::{
    team_charges_prefix, AllowanceRecord, ChargeRecord, ChargeState, Record, RecordKey, TeamRecord,
};
use crate::resource_vector::ResourceVector;

/// About the size of an open admission in a transaction.
const OPEN_BYTES: usize = 400;
/// A requester whose settled numbers take this part of a value has to wait until gaps close.
const GAPS_PART: f64 = 0.75;

/// Own charges are read again every so many refreshes at the most.
const RELOAD_REFRESHES: u32 = 4;

/// What becomes of the request that waits in front.
enum Front {
    /// It is charged in this transaction.
    Charge,
    /// It was answered without a charge.
    Answered,
    /// There is not enough room.
    NoRoom,
}

impl QuotaClient {
    /// The next operation for one team, if there is any.
    pub(super) fn plan_account(&mut self, team: &TeamName) -> Result<Option<Operation>, Unread> {
        self.refresh(team);
        let Some(record) = self.cache.team(team)?.record.cloned() else {
            self.reject_all(team, RejectReason::UnknownTeam);
            return Ok(None);
        };
        let claim = self.account(team).claim.clone();
        match claim {
            Claim::None => self.plan_claim(team).map(Some),
            Claim::Loading { after, .. } => {
                let holder = self.config.name.clone();
                let loading = Loading {
                    team: team.clone(),
                    holder,
                    after,
                    charged: ResourceVector::ZERO,
                };
                Ok(Some(load(loading)))
            }
            Claim::Held { epoch } if self.is_reload_due(team, &record)? => {
                self.begin_loading(team, epoch);
                self.plan_account(team)
            }
            Claim::Held { .. } => self.plan_held(team, &record),
        }
    }

    /// What others have a better claim on goes back, what waits is charged, and the allowance follows.
    fn plan_held(
        &mut self,
        team: &TeamName,
        record: &TeamRecord,
    ) -> Result<Option<Operation>, Unread> {
        self.refreshed(team)?;
        let quota = self.quota(team)?;
        if let Some(operation) = self.plan_yielding(&quota)? {
            return Ok(Some(operation));
        }
        if let Some(operation) = self.plan_charge(team, record)? {
            return Ok(Some(operation));
        }
        self.plan_rebalancing(&quota)
    }

    /// What others may have changed is read again every so often, while anything waits or is lent here.
    fn refresh(&mut self, team: &TeamName) {
        let now = self.now;
        let unspent = self.room(team).is_ok_and(|room| !room.is_zero());
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        let matters = unspent || !account.waiting.is_empty() || !account.charged.is_zero();
        if now < account.refresh_at || !matters {
            return;
        }
        account.refresh_at = Time(u64::MAX);
        self.cache.forget(&RecordKey::Team(team.clone()));
        self.cache.forget(&RecordKey::Pool);
    }

    /// The next refresh counts from when this one is over: where the store is slow, nothing else would
    /// ever be done.
    fn refreshed(&mut self, team: &TeamName) -> Result<(), Unread> {
        self.pool()?;
        let next = self.now.after(self.config.refresh_interval);
        let account = self.account(team);
        if account.refresh_at == Time(u64::MAX) {
            account.refresh_at = next;
        }
        Ok(())
    }

    /// Others settle admissions of ours when they hear of the end first. That matters where somebody
    /// waits for room.
    fn is_reload_due(&mut self, team: &TeamName, record: &TeamRecord) -> Result<bool, Unread> {
        let now = self.now;
        let pool = self.pool()?;
        let short = !pool.shortfall_ahead_of(team).is_zero() || !pool.overcommitted().is_zero();
        let account = self.account(team);
        let contended = short || !record.unmet_demands.is_empty() || !account.waiting.is_empty();
        Ok(contended && !account.charged.is_zero() && now >= account.reload_at)
    }

    /// Reads what is charged to our allowance.
    pub(super) fn begin_loading(&mut self, team: &TeamName, epoch: u64) {
        let reload_at = self
            .now
            .after(self.config.refresh_interval * RELOAD_REFRESHES);
        let account = self.account(team);
        account.reload_at = reload_at;
        account.seen.clear();
        let after = String::new();
        account.enter(team, Claim::Loading { epoch, after });
    }

    fn reject_all(&mut self, team: &TeamName, reason: RejectReason) {
        let waiting = std::mem::take(&mut self.account(team).waiting);
        for (_, _, id) in waiting {
            self.reject(id, reason);
        }
    }

    /// Makes the allowance ours: whoever held it under this name before can charge nothing more.
    fn plan_claim(&mut self, team: &TeamName) -> Result<Operation, Unread> {
        let holder = self.config.name.clone();
        let known = self.cache.allowance(team, &holder)?;
        let before = known.record.cloned().unwrap_or_default();
        let epoch = before.epoch + 1;
        let claimed = AllowanceRecord {
            epoch,
            fenced: false,
            ..before
        };
        let mut draft = Draft::default();
        let key = RecordKey::Allowance(AllowanceId::new(team, &holder));
        draft.write(key, known.version, Some(Record::Allowance(claimed)));
        Ok(draft.commit(Effect::Claimed {
            team: team.clone(),
            epoch,
        }))
    }

    /// What the allowance has left.
    pub(super) fn room(&self, team: &TeamName) -> Result<ResourceVector, Unread> {
        let known = self.cache.allowance(team, &self.config.name)?;
        let granted = known.record.map_or(ResourceVector::ZERO, |a| a.granted);
        Ok(granted.saturating_sub(&self.charged(team)))
    }

    fn plan_charge(
        &mut self,
        team: &TeamName,
        record: &TeamRecord,
    ) -> Result<Option<Operation>, Unread> {
        let mut room = self.room(team)?;
        let mut draft = Draft::default();
        let allowance = RecordKey::Allowance(AllowanceId::new(team, &self.config.name));
        let held = self.cache.allowance(team, &self.config.name)?.version;
        draft.require(&allowance, held);
        let mut charged = Vec::new();
        let waiting: Vec<AdmissionId> = {
            let most = self.config.store_limits.changes;
            let account = self.account(team);
            account
                .waiting
                .iter()
                .take(most)
                .map(|p| p.2.clone())
                .collect()
        };
        for id in waiting {
            if !self.fits_batch(&draft) {
                break;
            }
            match self.charge_front(&id, record, &mut room, &mut draft)? {
                Front::Charge => charged.push(id),
                Front::Answered => {}
                Front::NoRoom => break,
            }
        }
        if charged.is_empty() {
            return Ok(None);
        }
        let now = self.now;
        self.account(team).used_at = now;
        Ok(Some(draft.commit(Effect::Charged(charged))))
    }

    /// Whether one more charge fits into the transaction.
    fn fits_batch(&self, draft: &Draft) -> bool {
        let changes = draft.changes() + 1;
        // One for the allowance, and two for each charge.
        let conditions = draft.txn().conditions.len() + 2;
        changes <= self.config.store_limits.changes
            && conditions <= self.config.store_limits.conditions()
            && changes * OPEN_BYTES <= BATCH_BYTES
    }

    /// Adds the charge of the request in front, if it has to be charged and there is room.
    fn charge_front(
        &mut self,
        id: &AdmissionId,
        team: &TeamRecord,
        room: &mut ResourceVector,
        draft: &mut Draft,
    ) -> Result<Front, Unread> {
        let Some(admission) = self.admissions.get(id) else {
            return Ok(Front::Answered);
        };
        let AdmissionRequest {
            usage, priority, ..
        } = admission.request;
        if !usage.fits_within(&team.limit) {
            self.reject(id.clone(), RejectReason::LargerThanLimit);
            return Ok(Front::Answered);
        }
        let settled = self.cache.settled(id.requester_id())?;
        let version = settled.version;
        if settled
            .record
            .is_some_and(|r| r.sequences.contains(id.sequence))
        {
            self.drop_request(id);
            self.decisions
                .push(QuotaEvent::AlreadyCompleted(id.clone()));
            return Ok(Front::Answered);
        }
        let most = self.config.store_limits.value_bytes as f64 * GAPS_PART;
        if settled.record.is_some_and(|r| json_size(r) as f64 > most) {
            self.reject(id.clone(), RejectReason::TooManySequenceGaps);
            return Ok(Front::Answered);
        }
        if !usage.fits_within(room) {
            return Ok(Front::NoRoom);
        }
        *room = room.saturating_sub(&usage);
        let epoch = self.account(&id.team).epochs.last().copied();
        let open = ChargeRecord {
            client: self.config.name.clone(),
            epoch: epoch.unwrap_or_default(),
            usage,
            priority,
            state: ChargeState::Charged,
        };
        let key = RecordKey::Charge(id.clone());
        draft.write(key, Version::ABSENT, Some(Record::Charge(open)));
        // A settled admission is open no more either; this tells the two apart, also much later.
        draft.require(&RecordKey::Completed(id.requester_id()), version);
        Ok(Front::Charge)
    }

    // ---- what is unclear

    /// Looks at admissions on whose keys a transaction failed, or of which it is not known whether it
    /// was carried out.
    pub(super) fn resolve_suspects(&mut self) -> Result<(), Unread> {
        while let Some(id) = self.suspects.first().cloned() {
            let open = self
                .cache
                .open(RecordKey::Charge(id.clone()))?
                .record
                .cloned();
            self.suspects.remove(&id);
            match open {
                Some(open) if open.client == self.config.name => self.see_own_open(&id, &open),
                Some(open) => self.found_elsewhere(id, open),
                None => self.found_nowhere(&id),
            }
        }
        Ok(())
    }

    /// Another holder has charged it.
    fn found_elsewhere(&mut self, id: AdmissionId, open: ChargeRecord) {
        if self.state(&id) == Some(AdmissionState::Pending) {
            self.drop_request(&id);
            let client = open.client;
            self.decisions
                .push(QuotaEvent::AlreadyAdmitted { id, client });
        }
    }

    /// It is not open: not charged yet, or settled by somebody.
    fn found_nowhere(&mut self, id: &AdmissionId) {
        let state = self.state(id);
        if state.is_some_and(AdmissionState::is_charged) {
            self.found_settled(id);
        }
    }

    /// Answers repeated requests for what is charged already, once the store has said that it still is.
    pub(super) fn answer_repeats(&mut self) -> Result<(), Unread> {
        while let Some(id) = self.repeats.first().cloned() {
            let key = RecordKey::Charge(id.clone());
            let open = self.cache.open(key)?.record.cloned();
            self.repeats.remove(&id);
            match open {
                Some(ChargeRecord { client, .. }) => {
                    self.decisions
                        .push(QuotaEvent::AlreadyAdmitted { id, client });
                }
                None => {
                    self.found_nowhere(&id);
                    self.decisions.push(QuotaEvent::AlreadyCompleted(id));
                }
            }
        }
        Ok(())
    }

    /// Before the work may start, charges whose answer came late are read again.
    pub(super) fn confirm_late_charges(&mut self) -> Result<(), Unread> {
        while let Some(id) = self.unconfirmed.first().cloned() {
            let key = RecordKey::Charge(id.clone());
            let open = self.cache.open(key)?.record.cloned();
            self.unconfirmed.remove(&id);
            match open {
                Some(open) if open.client == self.config.name => {
                    self.decisions.push(QuotaEvent::Admitted(id.clone()));
                    self.see_own_open(&id, &open);
                }
                _ => self.found_settled(&id),
            }
        }
        Ok(())
    }

    /// Somebody has settled an admission of ours.
    pub(super) fn found_settled(&mut self, id: &AdmissionId) {
        if self.state(id) != Some(AdmissionState::Releasing) {
            self.change(id, crate::admission::AdmissionEvent::EndProven);
        }
        self.releasing.remove(id);
        if self.change(id, crate::admission::AdmissionEvent::ReleaseCommitted) {
            self.decisions.push(QuotaEvent::Released(id.clone()));
        }
    }
}

/// The operation that reads the next page of a team's open admissions.
pub(super) fn load(loading: Loading) -> Operation {
    let request = Request::List {
        prefix: team_charges_prefix(&loading.team),
        after: loading.after.clone(),
        limit: LOAD_PAGE,
    };
    Operation {
        request,
        purpose: Purpose::Load(loading),
    }
}
