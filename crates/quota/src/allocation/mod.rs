//! How a team's limit is divided into allowances, and what may be granted to whom.
//!
//! All of it is computed from records, without side effects. Whoever writes a result makes the
//! transaction conditional on the versions of the records that it was computed from.

mod pool;
mod team;

use crate::ids::{ClientName, TeamName};
use crate::policy::TeamPolicy;
use crate::records::{PoolRecord, TeamRecord};
use crate::resource_vector::ResourceVector;

/// While nobody waits, a client is granted at most this many times what it needs now.
const MAX_PREFETCH_FACTOR: u64 = 64;

/// While nobody waits, a client is granted this part of its equal share of what is left.
const PREFETCH_SHARE_DIVISOR: u64 = 2;

/// What becomes of a client's allowance, and of its place among the clients that wait for more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AllowanceTarget {
    /// What the client may charge.
    pub(crate) granted: ResourceVector,
    /// How much more it waits for; `None` if it doesn't wait.
    pub(crate) unmet_demand: Option<ResourceVector>,
}

/// A team's record and the pool's record, over which grants are decided together.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TeamQuota {
    pub(crate) name: TeamName,
    pub(crate) team: TeamRecord,
    pub(crate) pool: PoolRecord,
}

impl TeamQuota {
    /// What is granted to nobody, whoever waits for it: under the team's limit, and within what it may
    /// borrow.
    pub(crate) fn ungranted(&self) -> ResourceVector {
        let granted = self.team.total_granted();
        let under_limit = self.team.limit.saturating_sub(&granted);
        let within_guarantee = self.team.guarantee.saturating_sub(&granted);
        let borrowable = self.pool.borrowable_by(&self.name);
        under_limit.component_min(&(within_guarantee + borrowable))
    }

    /// What can be granted to the client now: all that is ungranted, less what clients ahead of it wait
    /// for.
    pub(crate) fn grantable_to(&self, client: &ClientName) -> ResourceVector {
        let ahead = self.team.demand_ahead_of(client);
        self.ungranted().saturating_sub(&ahead)
    }

    /// What has to become free for those ahead of the client: teams that wait to borrow, and clients
    /// that wait for a larger allowance of this team. Of that, no client gives back more than it has
    /// left.
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

    /// Whether any client of the team, or any team, waits for more.
    pub(crate) fn is_contended(&self) -> bool {
        !self.team.unmet_demands.is_empty() || !self.pool.unmet_demands.is_empty()
    }

    /// How much is granted to a client that needs `needed` more. While nobody waits, a share of what is
    /// left is granted ahead of demand, so that not every admission takes a transaction on the team's
    /// record. Under contention it is no more than what is needed.
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
        // A share of what is unlimited would be unlimited as well.
        let share = grantable
            .divided_by(shares)
            .component_min(&needed.saturating_mul(MAX_PREFETCH_FACTOR));
        needed.component_max(&share).component_min(&grantable)
    }

    /// The records after the client's allowance became `target`, be it more or less than before.
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

    /// The records after the team's guarantee and limit changed. Allowances stay as they are; what the
    /// pool holds of the team follows.
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

    /// Replaces the team's record and brings its borrowing and its demand in the pool up to date.
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
