//! The table of all open sockets, the poller that watches them, and the limit on open sockets.

use mio::event::Source;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use super::client_connection::ClientConnection;
use super::event::ListenerKind;
use super::server_connection::ServerConnection;
use super::SocketUsage;

/// File descriptors that the process needs besides its sockets, such as the poller and the standard streams.
const RESERVED_DESCRIPTORS: usize = 8;
/// One in this many sockets is reserved for outgoing calls, so that no number of incoming connections can cut this
/// process off from the state service and the cloud.
const CALL_RESERVE_DIVISOR: usize = 8;
/// At most one in this many sockets is an idle client connection. The heartbeats of a host occupy a socket all the
/// time, a second socket is occupied only while a command is sent to the host.
const IDLE_CLIENT_DIVISOR: usize = 8;
/// Most readiness events that one call of the poller returns.
const MAX_POLL_EVENTS: usize = 256;

/// An open socket.
pub(super) enum Socket {
    Listener(Listener),
    Server(Box<ServerConnection>),
    Client(Box<ClientConnection>),
}

impl Socket {
    fn source(&mut self) -> &mut dyn Source {
        match self {
            Socket::Listener(listener) => &mut listener.socket,
            Socket::Server(connection) => connection.stream(),
            Socket::Client(connection) => connection.stream(),
        }
    }

    fn interest(&self) -> Interest {
        match self {
            Socket::Listener(_) => Interest::READABLE,
            Socket::Server(_) | Socket::Client(_) => Interest::READABLE | Interest::WRITABLE,
        }
    }
}

/// A listening socket.
pub(super) struct Listener {
    socket: TcpListener,
    kind: ListenerKind,
}

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// If the address is in use or is not an address of this host.
    pub(super) fn bind(address: SocketAddr, kind: ListenerKind) -> io::Result<Listener> {
        let socket = TcpListener::bind(address)?;
        Ok(Listener { socket, kind })
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if no connection is waiting; others if a connection could not be accepted.
    pub(super) fn accept(&self) -> io::Result<TcpStream> {
        self.socket.accept().map(|(stream, _)| stream)
    }

    pub(super) fn kind(&self) -> ListenerKind {
        self.kind
    }
}

/// A socket that can be read or written without blocking.
#[derive(Clone, Copy, Debug)]
pub(super) struct Readiness {
    pub(super) slot: usize,
    /// Also set if the peer has closed its side or the connection failed; a read tells which.
    pub(super) readable: bool,
    /// Also set if the connection failed.
    pub(super) writable: bool,
}

/// All open sockets. Each has a slot, the number under which it is registered with the poller; slots are reused.
pub(super) struct SocketTable {
    poll: Poll,
    poll_events: Events,
    sockets: Slab<Socket>,
    max_sockets: usize,
}

impl SocketTable {
    /// An empty table for a process that may have `max_descriptors` open file descriptors.
    ///
    /// # Errors
    ///
    /// If the operating system provides no poller.
    pub(super) fn new(max_descriptors: usize) -> io::Result<SocketTable> {
        Ok(SocketTable {
            poll: Poll::new()?,
            poll_events: Events::with_capacity(MAX_POLL_EVENTS),
            sockets: Slab::new(),
            max_sockets: max_descriptors.saturating_sub(RESERVED_DESCRIPTORS),
        })
    }

    /// Waits until a socket is ready, for `timeout` at most. Readiness is reported once (edge-triggered): a socket has
    /// to be read or written until it would block.
    ///
    /// # Errors
    ///
    /// `Interrupted` if a signal arrived; others if the poller failed.
    pub(super) fn wait(&mut self, timeout: Duration) -> io::Result<Vec<Readiness>> {
        self.poll.poll(&mut self.poll_events, Some(timeout))?;
        let readiness = self.poll_events.iter().map(|event| {
            let has_failed = event.is_error();
            Readiness {
                slot: event.token().0,
                readable: event.is_readable() || has_failed || event.is_read_closed(),
                writable: event.is_writable() || has_failed || event.is_write_closed(),
            }
        });
        Ok(readiness.collect())
    }

    /// Adds the socket that `build` creates for its slot, and registers it with the poller.
    ///
    /// # Errors
    ///
    /// If the poller can't register the socket, which is closed in that case.
    pub(super) fn insert(&mut self, build: impl FnOnce(usize) -> Socket) -> io::Result<usize> {
        let entry = self.sockets.vacant_entry();
        let slot = entry.key();
        let mut socket = build(slot);
        let interest = socket.interest();
        self.poll
            .registry()
            .register(socket.source(), Token(slot), interest)?;
        entry.insert(socket);
        Ok(slot)
    }

    /// Closes a socket, if it is open.
    pub(super) fn close(&mut self, slot: usize) {
        if let Some(mut socket) = self.sockets.try_remove(slot) {
            let _ = self.poll.registry().deregister(socket.source());
        }
    }

    pub(super) fn get_mut(&mut self, slot: usize) -> Option<&mut Socket> {
        self.sockets.get_mut(slot)
    }

    pub(super) fn listener(&self, slot: usize) -> Option<&Listener> {
        match self.sockets.get(slot) {
            Some(Socket::Listener(listener)) => Some(listener),
            _ => None,
        }
    }

    pub(super) fn server(&mut self, slot: usize) -> Option<&mut ServerConnection> {
        match self.sockets.get_mut(slot) {
            Some(Socket::Server(connection)) => Some(connection),
            _ => None,
        }
    }

    pub(super) fn client(&mut self, slot: usize) -> Option<&mut ClientConnection> {
        match self.sockets.get_mut(slot) {
            Some(Socket::Client(connection)) => Some(connection),
            _ => None,
        }
    }

    /// The slot of the accepted connection that has been idle longest, waiting for a request.
    pub(super) fn longest_idle_server(&self) -> Option<usize> {
        let idle_servers = self
            .sockets
            .iter()
            .filter_map(|(slot, socket)| match socket {
                Socket::Server(connection) if connection.is_idle() => {
                    Some((connection.last_active_at(), slot))
                }
                _ => None,
            });
        idle_servers.min().map(|(_, slot)| slot)
    }

    /// Whether one more incoming connection is within the limit.
    pub(super) fn has_room_for_accepted(&self) -> bool {
        let reserved_for_calls = self.max_sockets / CALL_RESERVE_DIVISOR;
        self.sockets.len() < self.max_sockets - reserved_for_calls
    }

    /// Whether one more outgoing connection is within the limit.
    pub(super) fn has_room_for_call(&self) -> bool {
        self.sockets.len() < self.max_sockets
    }

    /// How many idle client connections may be kept for later calls.
    pub(super) fn max_idle_clients(&self) -> usize {
        self.max_sockets / IDLE_CLIENT_DIVISOR
    }

    pub(super) fn usage(&self) -> SocketUsage {
        SocketUsage {
            open: self.sockets.len(),
            max: self.max_sockets,
        }
    }
}
