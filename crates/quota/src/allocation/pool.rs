//! Computations on the pool's record.

use crate::ids::TeamName;
use crate::records::{PoolRecord, TeamDemand};
use crate::resource_vector::ResourceVector;

/// Maximum number of teams with a demand in the pool's record, so that it stays small.
const MAX_WAITING_TEAMS: usize = 8;

impl PoolRecord {
    /// What the team may still borrow: the capacity less all guarantees, all borrowing and the demands of
    /// teams ahead of it. Zero if the capacity does not suffice for the guarantees.
    pub(crate) fn borrowable_by(&self, team: &TeamName) -> ResourceVector {
        let committed = self.committed() + self.demand_ahead_of(team);
        self.capacity.saturating_sub(&committed)
    }

    /// What still has to become free for the demands of the teams ahead of this one.
    pub(crate) fn shortfall_ahead_of(&self, team: &TeamName) -> ResourceVector {
        let ahead = self.demand_ahead_of(team);
        ahead.saturating_sub(&self.uncommitted())
    }

    /// The part of the borrowing that exceeds the capacity left over by the guarantees.
    pub(crate) fn overcommitted(&self) -> ResourceVector {
        let excess = self.committed().saturating_sub(&self.capacity);
        excess.component_min(&self.total_borrowed)
    }

    /// The part of the capacity that is neither guaranteed nor borrowed.
    pub(crate) fn uncommitted(&self) -> ResourceVector {
        self.capacity.saturating_sub(&self.committed())
    }

    /// Sets how much more the team waits to borrow. A new demand is appended if there is space for it, a
    /// changed one keeps its position, and `None` removes it.
    pub(crate) fn set_demand(&mut self, team: &TeamName, amount: Option<ResourceVector>) {
        let Some(amount) = amount else {
            self.unmet_demands.retain(|demand| demand.team != *team);
            return;
        };
        let mut demands = self.unmet_demands.iter_mut();
        if let Some(demand) = demands.find(|demand| demand.team == *team) {
            demand.amount = amount;
        } else if self.unmet_demands.len() < MAX_WAITING_TEAMS {
            let team = team.clone();
            self.unmet_demands.push(TeamDemand { team, amount });
        }
    }

    fn committed(&self) -> ResourceVector {
        self.total_guaranteed + self.total_borrowed
    }

    /// The sum of the demands of teams ahead of this one; of all teams if this one doesn't wait.
    fn demand_ahead_of(&self, team: &TeamName) -> ResourceVector {
        let demands = self.unmet_demands.iter();
        let ahead = demands.take_while(|demand| demand.team != *team);
        ahead.map(|demand| demand.amount).sum()
    }
}
