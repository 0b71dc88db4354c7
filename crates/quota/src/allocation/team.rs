//! Computations on a team's record.

use crate::ids::ClientName;
use crate::records::{ClientDemand, TeamRecord};
use crate::resource_vector::ResourceVector;

impl TeamRecord {
    /// The sum of the allowances of all clients.
    pub fn total_granted(&self) -> ResourceVector {
        self.allowances.values().copied().sum()
    }

    /// The allowance of one client; zero if it has none.
    pub fn granted_to(&self, client: &ClientName) -> ResourceVector {
        self.allowances.get(client).copied().unwrap_or_default()
    }

    /// The part of the allowances that exceeds the guarantee.
    pub fn borrowed(&self) -> ResourceVector {
        self.total_granted().saturating_sub(&self.guarantee)
    }

    /// The part of the allowances that exceeds the limit, such as after the limit was lowered.
    pub(crate) fn granted_above_limit(&self) -> ResourceVector {
        self.total_granted().saturating_sub(&self.limit)
    }

    /// How much more the client waits for; `None` if it doesn't wait.
    pub(crate) fn demand_of(&self, client: &ClientName) -> Option<ResourceVector> {
        let mut demands = self.unmet_demands.iter();
        let demand = demands.find(|demand| demand.client == *client);
        demand.map(|demand| demand.amount)
    }

    /// The sum of the demands of clients ahead of this one; of all clients if this one doesn't wait.
    pub(crate) fn demand_ahead_of(&self, client: &ClientName) -> ResourceVector {
        let demands = self.unmet_demands.iter();
        let ahead = demands.take_while(|demand| demand.client != *client);
        ahead.map(|demand| demand.amount).sum()
    }

    /// Whether another client is the first in the order of unmet demands.
    pub(crate) fn is_other_client_first(&self, client: &ClientName) -> bool {
        let first = self.unmet_demands.first();
        first.is_some_and(|demand| demand.client != *client)
    }

    /// Sets how much more the client waits for. A new demand is appended, a changed one keeps its position,
    /// and `None` removes it.
    pub(crate) fn set_demand(&mut self, client: &ClientName, amount: Option<ResourceVector>) {
        let Some(amount) = amount else {
            self.unmet_demands.retain(|demand| demand.client != *client);
            return;
        };
        let mut demands = self.unmet_demands.iter_mut();
        match demands.find(|demand| demand.client == *client) {
            Some(demand) => demand.amount = amount,
            None => self.unmet_demands.push(ClientDemand {
                client: client.clone(),
                amount,
            }),
        }
    }

    /// How much the team would have to borrow for the first unmet demand. `None` if there is no demand, if the
    /// guarantee covers it, or if it does not fit into the ungranted part of the limit: then the client waits for
    /// the limit and not for capacity, so borrowing would not help.
    pub(crate) fn demand_on_pool(&self) -> Option<ResourceVector> {
        let first = self.unmet_demands.first()?;
        let granted = self.total_granted();
        let under_limit = self.limit.saturating_sub(&granted);
        if !first.amount.fits_within(&under_limit) {
            return None;
        }
        let within_guarantee = self.guarantee.saturating_sub(&granted);
        let borrowed = first.amount.saturating_sub(&within_guarantee);
        (!borrowed.is_zero()).then_some(borrowed)
    }
}
