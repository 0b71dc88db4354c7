//! What the leader asks its process to do, and what came of it.

use std::net::SocketAddr;

use crate::protocol::cloud::ProvisionRequest;
use crate::protocol::workers::{Command, WorkerHeartbeat};
use crate::types::{HostName, Incarnation, Term};

/// What the leader wants done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a worker commands.
    SendCommands {
        /// Its machine.
        host: HostName,
        /// Where to send them.
        address: SocketAddr,
        /// Incarnation that they are meant for.
        incarnation: Incarnation,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Rent machines.
    ScaleOut(ProvisionRequest),
    /// Return machines, as they are not needed.
    ScaleIn(Vec<HostName>),
    /// The same, and so pressing that it goes out without a lease too: these machines hold cancelled
    /// work whose time is nearly up. Another leader could lose no more by it than a machine.
    ForceRelease(Vec<HostName>),
}

/// How a direct command ended.
#[derive(Debug)]
pub enum CommandResult {
    /// The worker answered with its report, whether or not it executed anything.
    Heartbeat(Box<WorkerHeartbeat>),
    /// Surely not executed.
    NotExecuted,
    /// Never left this process, so it says nothing of the machine either.
    NotAttempted,
    /// May have been executed, or may yet be.
    NoResponse,
}

/// A worker has seen a higher token: another controller leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipLost(pub Term);
