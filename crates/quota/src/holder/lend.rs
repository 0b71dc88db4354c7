//! Asking for a larger allowance, and giving back what others wait for.
//!
//! Nobody keeps what it can't use while it waits for more: whoever can't be lent what its first
//! request needs gives back what it has and queues for all of it. So no two holders, and no two teams,
//! wait for each other.

use super::cache::Unread;
use super::operation::{Draft, Effect, Operation};
use super::Holder;
use crate::ids::{AdmissionId, AllowanceId, ClientName, TeamName};
use crate::lending::{lend_amount, set_allowance, NewAllowance};
use crate::records::{AllowanceRecord, Record, RecordKey, TeamRecord};
use crate::resource_vector::ResourceVector;

impl Holder {
    /// What the allowance needs: more for those that wait, less for others, or nothing.
    pub(super) fn plan_lending(
        &mut self,
        team: &TeamName,
        record: &TeamRecord,
    ) -> Result<Option<Operation>, Unread> {
        let front = self.account(team).waiting.first().map(|p| p.2.clone());
        match front {
            Some(front) => self.plan_asking(team, record, &front),
            None => self.plan_idle(team, record),
        }
    }

    /// Somebody waits: the allowance grows if there is room; if not, others learn what is wanted.
    fn plan_asking(
        &mut self,
        team: &TeamName,
        record: &TeamRecord,
        front: &AdmissionId,
    ) -> Result<Option<Operation>, Unread> {
        let unspent = self.room(team)?;
        let own = self.config.name.clone();
        let pool = self.pool()?;
        let lendable = record.lendable(team, &pool, &own);
        let usage = self.usage_of(front);
        let missing = usage.saturating_sub(&unspent);
        let granted = self.granted(team)?;
        if missing.fits_within(&lendable) {
            let contended = !record.unmet_demands.is_empty() || !pool.unmet_demands.is_empty();
            let mut need = missing;
            if !contended {
                let all = self.waiting_usage(team).saturating_sub(&unspent);
                need = need.component_max(&all.component_min(&lendable));
            }
            let more = lend_amount(need, lendable, contended, self.config.holders);
            let new = NewAllowance {
                granted: granted + more,
                wanted: None,
            };
            let effect = Effect::Lent {
                team: team.clone(),
                usage: unspent.component_min(&usage) + need,
            };
            return self.draft_allowance(team, &own, &new, effect).map(Some);
        }
        let noted = record.unmet_demands.iter().find(|want| want.client == own);
        if unspent.is_zero() && noted.is_some_and(|want| want.amount == usage) {
            return Ok(None);
        }
        let new = NewAllowance {
            granted: granted.saturating_sub(&unspent),
            wanted: Some(usage),
        };
        self.draft_allowance(team, &own, &new, Effect::None)
            .map(Some)
    }

    /// Nobody waits here: what was wanted is not wanted any more, and what idles goes back.
    fn plan_idle(
        &mut self,
        team: &TeamName,
        record: &TeamRecord,
    ) -> Result<Option<Operation>, Unread> {
        let own = self.config.name.clone();
        let (now, idle_return) = (self.now, self.config.idle_return);
        let account = self.account(team);
        account.earmarked = ResourceVector::ZERO;
        let idles = now.since(account.used_at) >= idle_return;
        let unspent = self.room(team)?;
        let waits = record.unmet_demands.iter().any(|want| want.client == own);
        let returned = if idles { unspent } else { ResourceVector::ZERO };
        if !waits && returned.is_zero() {
            return Ok(None);
        }
        let granted = self.granted(team)?.saturating_sub(&returned);
        let wanted = None;
        let new = NewAllowance { granted, wanted };
        self.draft_allowance(team, &own, &new, Effect::None)
            .map(Some)
    }

    /// Gives up what is unspent, if a holder or a team in front of us waits for it, or the machines or
    /// the limit have shrunk. It goes before our own requests: those that wait here would starve the
    /// others else.
    pub(super) fn plan_yielding(
        &mut self,
        team: &TeamName,
        record: &TeamRecord,
    ) -> Result<Option<Operation>, Unread> {
        let earmarked = self.account(team).earmarked;
        let pool = self.pool()?;
        let over_limit = record.lent_total().saturating_sub(&record.limit);
        let unspent = self.room(team)?;
        let overcommitted = record.borrowed().component_min(&pool.overcommitted());
        let shrunk = over_limit.component_max(&overcommitted);
        let mut owed = ResourceVector::ZERO;
        if record.others_wait(&self.config.name) {
            let free = record.free(team, &pool);
            owed = record
                .wanted_before(&self.config.name)
                .saturating_sub(&free);
        }
        let to_teams = record.borrowed().component_min(&pool.missing_before(team));
        let owed = owed
            .component_max(&to_teams)
            .component_min(&unspent.saturating_sub(&earmarked));
        let less = unspent.component_min(&owed.component_max(&shrunk));
        if less.is_zero() {
            return Ok(None);
        }
        let own = self.config.name.clone();
        let wanted = record.unmet_demands.iter().find(|want| want.client == own);
        let new = NewAllowance {
            granted: self.granted(team)?.saturating_sub(&less),
            wanted: wanted.map(|want| want.amount),
        };
        self.draft_allowance(team, &own, &new, Effect::None)
            .map(Some)
    }

    /// The transaction that changes an allowance together with the records that count it.
    pub(super) fn draft_allowance(
        &self,
        team: &TeamName,
        holder: &ClientName,
        new: &NewAllowance,
        effect: Effect,
    ) -> Result<Operation, Unread> {
        let record = self.cache.team(team)?.record.cloned().unwrap_or_default();
        let known_pool = self.cache.pool()?;
        let pool_version = known_pool.version;
        let before = known_pool.record.unwrap_or_default();
        let allowance = self.cache.allowance(team, holder)?.record.cloned();
        let allowance = AllowanceRecord {
            granted: new.granted,
            ..allowance.unwrap_or_default()
        };
        let (record, pool) = set_allowance(team, &record, &before, holder, new);
        let mut draft = Draft::default();
        let team_key = RecordKey::Team(team.clone());
        draft.replace(&self.cache, team_key, Some(Record::Team(record)))?;
        let allowance_key = RecordKey::Allowance(AllowanceId::new(team, holder));
        let allowance = Some(Record::Allowance(allowance));
        draft.replace(&self.cache, allowance_key, allowance)?;
        match pool {
            Some(pool) => draft.write(RecordKey::Pool, pool_version, Some(Record::Pool(pool))),
            // What may be borrowed was read from it.
            None => draft.require(&RecordKey::Pool, pool_version),
        }
        Ok(draft.commit(effect))
    }

    fn granted(&self, team: &TeamName) -> Result<ResourceVector, Unread> {
        let known = self.cache.allowance(team, &self.config.name)?;
        Ok(known.record.map_or(ResourceVector::ZERO, |a| a.granted))
    }

    fn usage_of(&self, id: &AdmissionId) -> ResourceVector {
        let admission = self.admissions.get(id);
        admission.map_or(ResourceVector::ZERO, |a| a.request.usage)
    }

    fn waiting_usage(&self, team: &TeamName) -> ResourceVector {
        let Some(account) = self.accounts.get(team) else {
            return ResourceVector::ZERO;
        };
        account.waiting.iter().map(|p| self.usage_of(&p.2)).sum()
    }
}
