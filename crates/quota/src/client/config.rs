//! Configuration of a quota client.

use std::time::Duration;

use lichencrank_store::StoreLimits;

use crate::ids::ClientName;

/// Name and timing of a client, and the limits of its store.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Name of the client. If several processes have the same name, only the one that acquired an allowance
    /// last may charge to it.
    pub name: ClientName,
    /// Limits of the store on values and transactions.
    pub store_limits: StoreLimits,
    /// Approximate number of clients. The more there are, the less is granted to each ahead of demand.
    pub expected_clients: u64,
    /// How often a client that has charges, unspent allowance or pending requests reads the team and pool
    /// records again, which other clients change.
    pub refresh_interval: Duration,
    /// Time since the last charge after which a client without pending requests returns its unspent
    /// allowance.
    pub idle_return_after: Duration,
    /// If the response to a charge takes longer than this, the charge is read again before the work may
    /// start, because other clients may have released it since.
    pub reconfirm_after: Duration,
}
