//! Division of a team's limit into allowances: how much may be granted to whom.
//!
//! The functions compute new records from current ones, without side effects. A transaction that writes a
//! result has to be conditional on the versions of the records that it was computed from.

mod pool;
mod team;

use crate::ids::{ClientName, TeamName};
use crate::policy::TeamPolicy;
use crate::records::{PoolRecord, TeamRecord};
use crate::resource_vector::ResourceVector;

/// Without contention, a client is granted at most this many times what it needs now.
const MAX_PREFETCH_FACTOR: u64 = 64;

/// Without contention, a client is granted its equal share of the grantable amount divided by this number.
const PREFETCH_SHARE_DIVISOR: u64 = 2;

/// The new size of a client's allowance, and its new unmet demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AllowanceTarget {
    /// The size of the allowance: the most that the client may charge.
    pub(crate) granted: ResourceVector,
    /// How much more it waits for; `None` if it doesn't wait.
    pub(crate) unmet_demand: Option<ResourceVector>,
}

/// The records of a team and of the pool, from which grants are computed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TeamQuota {
    pub(crate) name: TeamName,
    pub(crate) team: TeamRecord,
    pub(crate) pool: PoolRecord,
}

impl TeamQuota {
    /// What can still be granted to the team's clients, within its limit and what it may borrow. Demands of
    /// the team's clients are not subtracted.
    pub(crate) fn ungranted(&self) -> ResourceVector {
        let granted = self.team.total_granted();
        let under_limit = self.team.limit.saturating_sub(&granted);
        let within_guarantee = self.team.guarantee.saturating_sub(&granted);
        let borrowable = self.pool.borrowable_by(&self.name);
        under_limit.component_min(&(within_guarantee + borrowable))
    }

    /// What can be granted to the client now: the ungranted amount less the demands of clients ahead of
    /// it.
    pub(crate) fn grantable_to(&self, client: &ClientName) -> ResourceVector {
        let ahead = self.team.demand_ahead_of(client);
        self.ungranted().saturating_sub(&ahead)
    }

    /// What has to become free for those ahead of the client: teams that wait to borrow, and clients
    /// that wait for a larger allowance of this team. The caller has to cap it at the client's unspent
    /// allowance.
    pub(crate) fn owed_by(&self, client: &ClientName) -> ResourceVector {
        let shortfall = self.pool.shortfall_ahead_of(&self.name);
        let to_teams = self.team.borrowed().component_min(&shortfall);
        if !self.team.is_other_client_first(client) {
            return to_teams;
        }
        let ahead = self.team.demand_ahead_of(client);
        let to_clients = ahead.saturating_sub(&self.ungranted());
        to_teams.component_max(&to_clients)
    }

    /// Whether any client of the team waits for more, or any team waits to borrow.
    pub(crate) fn is_contended(&self) -> bool {
        !self.team.unmet_demands.is_empty() || !self.pool.unmet_demands.is_empty()
    }

    /// How much is granted to a client that needs `needed` more. Without contention, a share of the
    /// grantable amount is granted ahead of demand, so that not every admission needs a transaction on
    /// the team's record. Under contention, no more is granted than is needed.
    pub(crate) fn grant_size(
        &self,
        client: &ClientName,
        needed: ResourceVector,
        expected_clients: u64,
    ) -> ResourceVector {
        let grantable = self.grantable_to(client);
        if self.is_contended() {
            return needed.component_min(&grantable);
        }
        let shares = expected_clients.saturating_mul(PREFETCH_SHARE_DIVISOR);
        // A share of an unlimited amount would be unlimited as well.
        let share = grantable
            .divided_by(shares)
            .component_min(&needed.saturating_mul(MAX_PREFETCH_FACTOR));
        needed.component_max(&share).component_min(&grantable)
    }

    /// The records with the client's allowance and demand set to `target`.
    pub(crate) fn with_allowance(
        &self,
        client: &ClientName,
        target: &AllowanceTarget,
    ) -> TeamQuota {
        let mut team = self.team.clone();
        if target.granted.is_zero() {
            team.allowances.remove(client);
        } else {
            team.allowances.insert(client.clone(), target.granted);
        }
        team.set_demand(client, target.unmet_demand);
        self.with_team(team)
    }

    /// The records with the team's guarantee and limit set by `policy`. Allowances are unchanged; the
    /// team's part in the pool is updated.
    pub(crate) fn with_policy(&self, policy: &TeamPolicy) -> TeamQuota {
        let team = TeamRecord {
            guarantee: policy.guarantee,
            limit: policy.limit,
            ..self.team.clone()
        };
        let guarantees_of_others = self
            .pool
            .total_guaranteed
            .saturating_sub(&self.team.guarantee);
        let pool = PoolRecord {
            total_guaranteed: guarantees_of_others + policy.guarantee,
            ..self.pool.clone()
        };
        let quota = TeamQuota {
            pool,
            ..self.clone()
        };
        quota.with_team(team)
    }

    /// The records with the team's record replaced, and its borrowing and demand in the pool updated.
    fn with_team(&self, team: TeamRecord) -> TeamQuota {
        let mut pool = self.pool.clone();
        let borrowed_by_others = pool.total_borrowed.saturating_sub(&self.team.borrowed());
        pool.total_borrowed = borrowed_by_others + team.borrowed();
        let demand = team
            .demand_on_pool()
            .filter(|demand| !demand.fits_within(&pool.uncommitted()));
        pool.set_demand(&self.name, demand);
        TeamQuota {
            name: self.name.clone(),
            team,
            pool,
        }
    }
}
