//! How a team's limit is lent to holders and comes back. Pure functions over records: whoever writes
//! their results makes the transaction conditional on the records that went in.

use crate::ids::{ClientName, TeamName};
use crate::records::{ClientDemand, PoolRecord, TeamDemand, TeamRecord};
use crate::resource_vector::ResourceVector;

/// No more than so many times what is needed is lent ahead.
const UNLIMITED_CHUNK: u64 = 64;

/// So many teams wait in the pool's record at the most.
const MAX_WAITING_TEAMS: usize = 8;

impl TeamRecord {
    /// What is lent to all holders together.
    pub fn lent_total(&self) -> ResourceVector {
        self.allowances.values().copied().sum()
    }

    /// What is lent to one holder.
    pub fn granted_to(&self, holder: &ClientName) -> ResourceVector {
        self.allowances.get(holder).copied().unwrap_or_default()
    }

    /// What is lent beyond the guarantee.
    pub fn borrowed(&self) -> ResourceVector {
        self.lent_total().saturating_sub(&self.guarantee)
    }

    /// What holders wait for that come before this one; all that wait if it is not among them.
    pub fn wanted_before(&self, holder: &ClientName) -> ResourceVector {
        let before = self
            .unmet_demands
            .iter()
            .take_while(|want| want.client != *holder);
        before.map(|want| want.amount).sum()
    }

    /// Whether a holder other than this one waits, in front of it.
    pub fn others_wait(&self, holder: &ClientName) -> bool {
        let first = self.unmet_demands.first();
        first.is_some_and(|want| want.client != *holder)
    }

    /// What can be lent to the holder now: under the limit, within what the pool lets be borrowed, and
    /// without what earlier holders wait for.
    pub fn lendable(
        &self,
        name: &TeamName,
        pool: &PoolRecord,
        holder: &ClientName,
    ) -> ResourceVector {
        let free = self.free(name, pool);
        free.saturating_sub(&self.wanted_before(holder))
    }

    /// What is not lent, whoever waits for it: under the limit, and within what may be borrowed.
    pub fn free(&self, name: &TeamName, pool: &PoolRecord) -> ResourceVector {
        let lent = self.lent_total();
        let under_limit = self.limit.saturating_sub(&lent);
        let within_guarantee = self.guarantee.saturating_sub(&lent);
        under_limit.component_min(&(within_guarantee + pool.room_to_borrow(name)))
    }

    /// How much the first one that waits has to borrow from the pool; nothing if it waits for the limit.
    fn wanted_from_pool(&self) -> Option<ResourceVector> {
        let first = self.unmet_demands.first()?;
        let lent = self.lent_total();
        if !first.amount.fits_within(&self.limit.saturating_sub(&lent)) {
            return None;
        }
        let borrowed = first
            .amount
            .saturating_sub(&self.guarantee.saturating_sub(&lent));
        (!borrowed.is_zero()).then_some(borrowed)
    }

    /// Notes that the holder waits for that much, behind those that wait already.
    pub fn note_want(&mut self, holder: &ClientName, usage: ResourceVector) {
        let waiting = self
            .unmet_demands
            .iter_mut()
            .find(|want| want.client == *holder);
        match waiting {
            Some(want) => want.amount = usage,
            None => self.unmet_demands.push(ClientDemand {
                client: holder.clone(),
                amount: usage,
            }),
        }
    }

    /// The holder waits no more.
    pub fn forget_want(&mut self, holder: &ClientName) {
        self.unmet_demands.retain(|want| want.client != *holder);
    }
}

impl PoolRecord {
    /// What may still be lent beyond guarantees. While the machines don't have what is guaranteed,
    /// nothing is.
    pub fn room_to_borrow(&self, team: &TeamName) -> ResourceVector {
        let reserved = self.total_guaranteed + self.total_borrowed + self.wanted_before(team);
        self.capacity.saturating_sub(&reserved)
    }

    /// What teams wait for that come before this one; all that wait if it is not among them.
    pub fn wanted_before(&self, team: &TeamName) -> ResourceVector {
        let before = self
            .unmet_demands
            .iter()
            .take_while(|want| want.team != *team);
        before.map(|want| want.amount).sum()
    }

    /// What is still to become free for the teams that come before this one.
    pub fn missing_before(&self, team: &TeamName) -> ResourceVector {
        self.wanted_before(team).saturating_sub(&self.free())
    }

    /// The pool with the team's place among those that wait.
    fn with_want(mut self, team: &TeamName, usage: Option<ResourceVector>) -> PoolRecord {
        let place = self
            .unmet_demands
            .iter()
            .position(|want| want.team == *team);
        match (place, usage) {
            (Some(at), Some(usage)) => self.unmet_demands[at].amount = usage,
            (Some(at), None) => {
                self.unmet_demands.remove(at);
            }
            (None, Some(usage)) if self.unmet_demands.len() < MAX_WAITING_TEAMS => {
                let team = team.clone();
                self.unmet_demands.push(TeamDemand {
                    team,
                    amount: usage,
                });
            }
            (None, _) => {}
        }
        self
    }

    /// The pool after the team's record changed from one to the other.
    pub fn after_change(
        &self,
        name: &TeamName,
        before: &TeamRecord,
        after: &TeamRecord,
    ) -> PoolRecord {
        let pool = self.with_borrowing(&before.borrowed(), &after.borrowed());
        // Where there is no end of capacity nobody waits for it.
        let wanted = after
            .wanted_from_pool()
            .filter(|usage| !usage.fits_within(&pool.free()));
        pool.with_want(name, wanted)
    }

    fn free(&self) -> ResourceVector {
        self.capacity
            .saturating_sub(&(self.total_guaranteed + self.total_borrowed))
    }

    /// What is borrowed although the machines don't have it beside all guarantees.
    pub fn overcommitted(&self) -> ResourceVector {
        let reserved = self.total_guaranteed + self.total_borrowed;
        reserved
            .saturating_sub(&self.capacity)
            .component_min(&self.total_borrowed)
    }

    /// The pool after a team's borrowing changed.
    pub fn with_borrowing(&self, before: &ResourceVector, after: &ResourceVector) -> PoolRecord {
        PoolRecord {
            total_borrowed: self.total_borrowed.saturating_sub(before) + *after,
            ..self.clone()
        }
    }
}

/// How much is lent at once: what is needed now, and while there is plenty a share of the rest, so
/// that not every admission has to ask. Once anybody waits, no more than is needed.
pub fn lend_amount(
    need: ResourceVector,
    lendable: ResourceVector,
    contended: bool,
    holders: u64,
) -> ResourceVector {
    if contended {
        return need.component_min(&lendable);
    }
    let share = lendable.divided_by(holders.saturating_mul(2));
    // Of what is unlimited there is no share.
    let share = share.component_min(&need.saturating_mul(UNLIMITED_CHUNK));
    need.component_max(&share).component_min(&lendable)
}

/// What a holder's allowance and place in the queue become.
#[derive(Clone, Debug)]
pub struct NewAllowance {
    /// What it may charge.
    pub granted: ResourceVector,
    /// How much more it waits for.
    pub wanted: Option<ResourceVector>,
}

/// The holder's allowance becomes that, whether it is more or less than before.
pub fn set_allowance(
    name: &TeamName,
    team: &TeamRecord,
    pool: &PoolRecord,
    holder: &ClientName,
    new: &NewAllowance,
) -> (TeamRecord, Option<PoolRecord>) {
    let mut changed = team.clone();
    if new.granted.is_zero() {
        changed.allowances.remove(holder);
    } else {
        changed.allowances.insert(holder.clone(), new.granted);
    }
    match new.wanted {
        Some(usage) => changed.note_want(holder, usage),
        None => changed.forget_want(holder),
    }
    let after = pool.after_change(name, team, &changed);
    let pool = (after != *pool).then_some(after);
    (changed, pool)
}

/// The team gets another guarantee and limit. What is lent stays lent; the pool follows.
pub fn set_policy(
    name: &TeamName,
    team: &TeamRecord,
    pool: &PoolRecord,
    guarantee: ResourceVector,
    limit: ResourceVector,
) -> (TeamRecord, PoolRecord) {
    let changed = TeamRecord {
        guarantee,
        limit,
        ..team.clone()
    };
    let guaranteed = pool.total_guaranteed.saturating_sub(&team.guarantee) + guarantee;
    let pool = PoolRecord {
        total_guaranteed: guaranteed,
        ..pool.clone()
    };
    let pool = pool.after_change(name, team, &changed);
    (changed, pool)
}
