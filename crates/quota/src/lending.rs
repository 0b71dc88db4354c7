//! How a team's limit is lent to holders and comes back. Pure functions over records: whoever writes
//! their results makes the transaction conditional on the records that went in.

use crate::amount::Usage;
use crate::names::{HolderName, TeamName};
use crate::records::{PoolRecord, TeamRecord, TeamWant, Want};

/// No more than so many times what is needed is lent ahead.
const UNLIMITED_CHUNK: u64 = 64;

/// So many teams wait in the pool's record at the most.
const MAX_WAITING_TEAMS: usize = 8;

impl TeamRecord {
    /// What is lent to all holders together.
    pub fn lent_total(&self) -> Usage {
        self.lent.values().copied().sum()
    }

    /// What is lent to one holder.
    pub fn lent_to(&self, holder: &HolderName) -> Usage {
        self.lent.get(holder).copied().unwrap_or_default()
    }

    /// What is lent beyond the guarantee.
    pub fn borrowed(&self) -> Usage {
        self.lent_total().without(&self.guarantee)
    }

    /// What holders wait for that come before this one; all that wait if it is not among them.
    pub fn wanted_before(&self, holder: &HolderName) -> Usage {
        let before = self.wanted.iter().take_while(|want| want.holder != *holder);
        before.map(|want| want.usage).sum()
    }

    /// Whether a holder other than this one waits, in front of it.
    pub fn others_wait(&self, holder: &HolderName) -> bool {
        let first = self.wanted.first();
        first.is_some_and(|want| want.holder != *holder)
    }

    /// What can be lent to the holder now: under the limit, within what the pool lets be borrowed, and
    /// without what earlier holders wait for.
    pub fn lendable(&self, name: &TeamName, pool: &PoolRecord, holder: &HolderName) -> Usage {
        let free = self.free(name, pool);
        free.without(&self.wanted_before(holder))
    }

    /// What is not lent, whoever waits for it: under the limit, and within what may be borrowed.
    pub fn free(&self, name: &TeamName, pool: &PoolRecord) -> Usage {
        let lent = self.lent_total();
        let under_limit = self.limit.without(&lent);
        let within_guarantee = self.guarantee.without(&lent);
        under_limit.at_most(&(within_guarantee + pool.room_to_borrow(name)))
    }

    /// How much the first one that waits has to borrow from the pool; nothing if it waits for the limit.
    fn wanted_from_pool(&self) -> Option<Usage> {
        let first = self.wanted.first()?;
        let lent = self.lent_total();
        if !first.usage.fits(&self.limit.without(&lent)) {
            return None;
        }
        let borrowed = first.usage.without(&self.guarantee.without(&lent));
        (!borrowed.is_zero()).then_some(borrowed)
    }

    /// Notes that the holder waits for that much, behind those that wait already.
    pub fn note_want(&mut self, holder: &HolderName, usage: Usage) {
        let waiting = self.wanted.iter_mut().find(|want| want.holder == *holder);
        match waiting {
            Some(want) => want.usage = usage,
            None => self.wanted.push(Want {
                holder: holder.clone(),
                usage,
            }),
        }
    }

    /// The holder waits no more.
    pub fn forget_want(&mut self, holder: &HolderName) {
        self.wanted.retain(|want| want.holder != *holder);
    }
}

impl PoolRecord {
    /// What may still be lent beyond guarantees. While the machines don't have what is guaranteed,
    /// nothing is.
    pub fn room_to_borrow(&self, team: &TeamName) -> Usage {
        let reserved = self.guaranteed + self.borrowed + self.wanted_before(team);
        self.capacity.without(&reserved)
    }

    /// What teams wait for that come before this one; all that wait if it is not among them.
    pub fn wanted_before(&self, team: &TeamName) -> Usage {
        let before = self.wanted.iter().take_while(|want| want.team != *team);
        before.map(|want| want.usage).sum()
    }

    /// What is still to become free for the teams that come before this one.
    pub fn missing_before(&self, team: &TeamName) -> Usage {
        self.wanted_before(team).without(&self.free())
    }

    /// The pool with the team's place among those that wait.
    fn with_want(mut self, team: &TeamName, usage: Option<Usage>) -> PoolRecord {
        let place = self.wanted.iter().position(|want| want.team == *team);
        match (place, usage) {
            (Some(at), Some(usage)) => self.wanted[at].usage = usage,
            (Some(at), None) => {
                self.wanted.remove(at);
            }
            (None, Some(usage)) if self.wanted.len() < MAX_WAITING_TEAMS => {
                let team = team.clone();
                self.wanted.push(TeamWant { team, usage });
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
            .filter(|usage| !usage.fits(&pool.free()));
        pool.with_want(name, wanted)
    }

    fn free(&self) -> Usage {
        self.capacity.without(&(self.guaranteed + self.borrowed))
    }

    /// What is borrowed although the machines don't have it beside all guarantees.
    pub fn overcommitted(&self) -> Usage {
        let reserved = self.guaranteed + self.borrowed;
        reserved.without(&self.capacity).at_most(&self.borrowed)
    }

    /// The pool after a team's borrowing changed.
    pub fn with_borrowing(&self, before: &Usage, after: &Usage) -> PoolRecord {
        PoolRecord {
            borrowed: self.borrowed.without(before) + *after,
            ..self.clone()
        }
    }
}

/// How much is lent at once: what is needed now, and while there is plenty a share of the rest, so
/// that not every admission has to ask. Once anybody waits, no more than is needed.
pub fn lend_amount(need: Usage, lendable: Usage, contended: bool, holders: u64) -> Usage {
    if contended {
        return need.at_most(&lendable);
    }
    let share = lendable.share(holders.saturating_mul(2));
    // Of what is unlimited there is no share.
    let share = share.at_most(&need.times(UNLIMITED_CHUNK));
    need.at_least(&share).at_most(&lendable)
}

/// What a holder's allowance and place in the queue become.
#[derive(Clone, Debug)]
pub struct NewAllowance {
    /// What it may charge.
    pub granted: Usage,
    /// How much more it waits for.
    pub wanted: Option<Usage>,
}

/// The holder's allowance becomes that, whether it is more or less than before.
pub fn set_allowance(
    name: &TeamName,
    team: &TeamRecord,
    pool: &PoolRecord,
    holder: &HolderName,
    new: &NewAllowance,
) -> (TeamRecord, Option<PoolRecord>) {
    let mut changed = team.clone();
    if new.granted.is_zero() {
        changed.lent.remove(holder);
    } else {
        changed.lent.insert(holder.clone(), new.granted);
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
    guarantee: Usage,
    limit: Usage,
) -> (TeamRecord, PoolRecord) {
    let changed = TeamRecord {
        guarantee,
        limit,
        ..team.clone()
    };
    let guaranteed = pool.guaranteed.without(&team.guarantee) + guarantee;
    let pool = PoolRecord {
        guaranteed,
        ..pool.clone()
    };
    let pool = pool.after_change(name, team, &changed);
    (changed, pool)
}
