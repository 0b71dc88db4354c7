//! The idle connection pool: client connections that are kept open for the next call to their server.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::event::CallId;

/// The most idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// Which client connections are idle. The connections themselves are in the table of sockets.
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

    /// Adds a connection, unless it is in the pool already. If there are more connections to its address
    /// than are kept, the one that has been idle longest leaves the pool and is returned, to be closed.
    pub(super) fn add(&mut self, connection: IdleConnection) -> Option<IdleConnection> {
        let idle = self.by_address.entry(connection.address).or_default();
        if idle.contains(&connection) {
            return None;
        }
        idle.push(connection);
        self.by_last_call.insert(connection.last_call, connection);
        if idle.len() <= MAX_IDLE_PER_ADDRESS {
            return None;
        }
        let surplus = idle.first().copied()?;
        self.remove(&surplus);
        Some(surplus)
    }

    /// Takes the connection to that address that became idle last.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<IdleConnection> {
        let connection = *self.by_address.get(&address)?.last()?;
        self.remove(&connection);
        Some(connection)
    }

    /// Takes the connection whose last call is the oldest.
    pub(super) fn take_oldest(&mut self) -> Option<IdleConnection> {
        let connection = *self.by_last_call.first_key_value()?.1;
        self.remove(&connection);
        Some(connection)
    }

    /// Removes a connection, if it is in the pool.
    pub(super) fn remove(&mut self, connection: &IdleConnection) {
        self.by_last_call.remove(&connection.last_call);
        if let Some(idle) = self.by_address.get_mut(&connection.address) {
            idle.retain(|other| other != connection);
            if idle.is_empty() {
                self.by_address.remove(&connection.address);
            }
        }
    }
}
