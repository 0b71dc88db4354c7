//! Listeners, and which connections are accepted.

use mio::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Timer, Transport};
use crate::transport::event::{ConnectionId, ListenerKind};
use crate::transport::server_connection::{ServerConnection, TRANSFER_TIMEOUT};
use crate::transport::sockets::{Listener, Socket};
use crate::transport::Network;

/// The most connections that are accepted from one listener at one wake-up, so that a flood of them can't
/// keep other work waiting.
const MAX_ACCEPTS_PER_WAKEUP: usize = 64;
/// When accepting is tried again after it failed, as for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Transport {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// If the address is in use or not one of this machine.
    pub fn listen(&mut self, address: SocketAddr, kind: ListenerKind) -> io::Result<()> {
        let listener = Listener::bind(address, kind)?;
        self.sockets.insert(|_| Socket::Listener(listener))?;
        Ok(())
    }

    /// Accepts the connections that wait at the listener in that slot.
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
        tracing::debug!("accept: {error}");
        self.make_room();
        let retry_at = self.now().after(ACCEPT_RETRY_DELAY);
        self.timers.schedule(retry_at, Timer::AcceptRetry(slot));
    }

    /// Keeps an accepted connection, or closes it if no room can be made for it.
    fn add_accepted(&mut self, stream: TcpStream, listener: ListenerKind) {
        if !self.sockets.has_room_for_accepted() && !self.make_room() {
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
                let due = now.after(TRANSFER_TIMEOUT);
                self.timers.schedule(due, Timer::ConnectionDeadline(id));
            }
            Err(error) => tracing::debug!("register: {error}"),
        }
    }
}
