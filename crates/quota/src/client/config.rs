//! Configuration of a quota client.

use std::time::Duration;

use lichencrank_store::StoreLimits;

use crate::ids::ClientName;

/// What a client is told about itself and the store.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Name of the client. Of several processes with the same name, only the one that acquired an
    /// allowance last may charge to it.
    pub name: ClientName,
    /// Limits of the store on a transaction.
    pub store_limits: StoreLimits,
    /// About how many clients there are. The more, the less is granted to each ahead of demand.
    pub expected_clients: u64,
    /// How often a client that has charges or pending requests reads what others may have changed.
    pub refresh_interval: Duration,
    /// After this time without pending requests, what is unspent of an allowance is given back.
    pub idle_return_after: Duration,
    /// If the answer to a charge takes longer than this, the charge is read again before the work may
    /// start, as others may have released it meanwhile.
    pub reconfirm_after: Duration,
}
