//! The idle connection pool: client connections that are kept open for the next call to their server.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::event::CallId;

/// Most idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The client connections that are idle. The connections themselves are in the table of sockets.
#[derive(Debug, Default)]
pub(super) struct IdlePool {
    /// The idle connections to each address, in the order in which they became idle.
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// All idle connections, in the order of their last calls.
    by_last_call: BTreeMap<CallId, IdleConnection>,
}

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdleConnection {
    /// Its slot in the table of sockets.
    pub(super) slot: usize,
    /// The server's address.
    pub(super) address: SocketAddr,
    /// The last call on it.
    pub(super) last_call: CallId,
}

impl IdlePool {
    /// How many connections are idle.
    pub(super) fn len(&self) -> usize {
        self.by_last_call.len()
    }

    /// Adds a connection, unless it is in the pool already. If that exceeds the limit for its address, the connection
    /// to that address that has been idle longest is removed from the pool and returned, to be closed.
    pub(super) fn add(&mut self, connection: IdleConnection) -> Option<IdleConnection> {
        let idle_to_address = self.by_address.entry(connection.address).or_default();
        if idle_to_address.contains(&connection) {
            return None;
        }
        idle_to_address.push(connection);
        self.by_last_call.insert(connection.last_call, connection);
        if idle_to_address.len() <= MAX_IDLE_PER_ADDRESS {
            return None;
        }
        let surplus = idle_to_address.first().copied()?;
        self.remove(&surplus);
        Some(surplus)
    }

    /// Takes the connection to an address that became idle last.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<IdleConnection> {
        let connection = *self.by_address.get(&address)?.last()?;
        self.remove(&connection);
        Some(connection)
    }

    /// Takes the connection whose last call is the oldest of all.
    pub(super) fn take_oldest(&mut self) -> Option<IdleConnection> {
        let connection = *self.by_last_call.first_key_value()?.1;
        self.remove(&connection);
        Some(connection)
    }

    /// Removes a connection, if it is in the pool.
    pub(super) fn remove(&mut self, connection: &IdleConnection) {
        self.by_last_call.remove(&connection.last_call);
        if let Some(idle_to_address) = self.by_address.get_mut(&connection.address) {
            idle_to_address.retain(|other| other != connection);
            if idle_to_address.is_empty() {
                self.by_address.remove(&connection.address);
            }
        }
    }
}
