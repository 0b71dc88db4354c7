//! Actions that the leader requests of the node, and the results of commands.

use std::net::SocketAddr;

use crate::protocol::cloud::ProvisionRequest;
use crate::protocol::workers::{Command, WorkerHeartbeat};
use crate::types::{HostName, Incarnation, Term};

/// A request to a worker or to the cloud that the leader has decided on.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send commands to a worker, or a probe if there are none.
    SendCommands {
        /// The worker's host.
        host: HostName,
        /// The worker's address.
        address: SocketAddr,
        /// The fencing token that the commands were chosen under. They are sent with it even if the leader has raised its
        /// token meanwhile, as late copies are excluded by it.
        fencing_token: Term,
        /// Incarnation of the worker that the commands are meant for.
        incarnation: Incarnation,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Provision hosts.
    ScaleOut(ProvisionRequest),
    /// Release hosts that are not needed.
    ScaleIn(Vec<HostName>),
    /// Release hosts on which tasks of a cancelled job still run although the cancellation timeout is about to expire.
    /// This action does not need a valid leader lease: if another controller leads already, it loses no more than these
    /// hosts.
    ForceRelease(Vec<HostName>),
}

/// The result of a direct command request or a probe.
#[derive(Debug)]
pub enum CommandResult {
    /// The worker responded with a heartbeat, whether or not it executed any command.
    Heartbeat(Box<WorkerHeartbeat>),
    /// The commands were certainly not executed.
    NotExecuted,
    /// The request was never sent, so the result says nothing about the host.
    NotAttempted,
    /// No response arrived: the commands may have been executed, or may still be.
    NoResponse,
}

/// Another controller leads: a worker has seen a higher fencing token, or a condition on the leader's key failed.
/// Holds the term of that controller, or the own term if the other one is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipLost(pub Term);
