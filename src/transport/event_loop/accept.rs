//! Listeners, and the limit on accepted connections.

use mio::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Timer, Transport};
use crate::transport::event::{ConnectionId, ListenerKind};
use crate::transport::server_connection::{ServerConnection, TRANSFER_TIMEOUT};
use crate::transport::sockets::{Listener, Socket};
use crate::transport::Network;

/// Most connections that are accepted from one listener per wake-up, so that a flood of them can't delay other work.
const MAX_ACCEPTS_PER_WAKEUP: usize = 64;
/// Delay before accepting is retried after it failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Transport {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// If the address is in use or is not an address of this host.
    pub fn listen(&mut self, address: SocketAddr, kind: ListenerKind) -> io::Result<()> {
        let listener = Listener::bind(address, kind)?;
        self.sockets.insert(|_| Socket::Listener(listener))?;
        Ok(())
    }

    /// Accepts the connections that wait at the listener in a slot.
    pub(super) fn accept_connections(&mut self, slot: usize) {
        for _ in 0..MAX_ACCEPTS_PER_WAKEUP {
            let Some(listener) = self.sockets.listener(slot) else {
                return;
            };
            let kind = listener.kind();
            match listener.accept() {
                Ok(stream) => self.add_accepted(stream, kind),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock => return,
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted => {}
                    _ => return self.on_accept_failed(slot, &error),
                },
            }
        }
        self.unfinished_accepts.push(slot);
    }

    fn on_accept_failed(&mut self, slot: usize, error: &io::Error) {
        tracing::debug!("accepting a connection failed, will retry: {error}");
        self.evict_idle_connection();
        let retry_at = self.now().after(ACCEPT_RETRY_DELAY);
        self.timers.schedule(retry_at, Timer::AcceptRetry(slot));
    }

    /// Adds an accepted connection to the table of sockets, or closes it if the limit on sockets is reached and no
    /// connection is idle.
    fn add_accepted(&mut self, stream: TcpStream, listener: ListenerKind) {
        if !self.sockets.has_room_for_accepted() && !self.evict_idle_connection() {
            return;
        }
        let _ = stream.set_nodelay(true);
        let now = self.now();
        let serial = self.next_id();
        let inserted = self.sockets.insert(|slot| {
            let id = ConnectionId { slot, serial };
            Socket::Server(Box::new(ServerConnection::new(stream, id, listener, now)))
        });
        match inserted {
            Ok(slot) => {
                let id = ConnectionId { slot, serial };
                let deadline = now.after(TRANSFER_TIMEOUT);
                self.timers
                    .schedule(deadline, Timer::ConnectionDeadline(id));
            }
            Err(error) => tracing::debug!(
                "registering an accepted connection with the poller failed: {error}"
            ),
        }
    }
}
