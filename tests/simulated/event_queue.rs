//! What is to happen in a simulation, ordered by time.

use std::collections::BTreeMap;

use ciborium::Value;
use lichencrank::transport::{CallError, ListenerKind, Request, Response};

use super::clock::{SimClock, SimTime};
use super::ids::{CallHandle, NodeIndex, ProcessId, RequestId};
use super::network::Requester;
use super::script::command::{Command, UpgradeOrder};
use super::store::Delivery;
use super::transport::OutgoingCall;
use super::users::PlannedRequest;
use super::worker::HeartbeatId;

/// Something that happens at a given time.
pub enum Event {
    /// A controller has work that is due.
    ControllerTimer(ProcessId),
    /// A request arrives at a controller.
    ControllerRequest {
        /// The controller.
        node: NodeIndex,
        /// On which of its listeners.
        listener: ListenerKind,
        /// Who waits for the response.
        requester: Requester,
        /// The request.
        request: Request,
    },
    /// The outcome of a call arrives at the controller that made it.
    ControllerReply {
        /// The call.
        call: CallHandle,
        /// The response, or why there is none.
        result: Result<Response, CallError>,
    },
    /// A call arrives at the key-value store.
    StoreRequest {
        /// The call.
        call: CallHandle,
        /// What it asks for.
        request: OutgoingCall,
        /// Whether its answer gets back.
        delivery: Delivery,
    },
    /// A call arrives at the cloud.
    CloudRequest {
        /// The call.
        call: CallHandle,
        /// What it asks for.
        request: OutgoingCall,
    },
    /// A command of a controller arrives at a worker.
    WorkerCommand {
        /// The worker's machine.
        host: String,
        /// The call with the command.
        call: CallHandle,
        /// The command.
        command: Value,
    },
    /// The response to a heartbeat arrives at its worker.
    HeartbeatResponse {
        /// The heartbeat.
        heartbeat: HeartbeatId,
        /// The response.
        response: Response,
    },
    /// A user sends a request.
    UserRequest(PlannedRequest),
    /// The response to a user's request arrives.
    UserResponse {
        /// The request.
        request: RequestId,
        /// The response.
        response: Response,
    },
    /// A user no longer waits for a response.
    UserTimeout(RequestId),
    /// Time passes for machines and their workers.
    AdvanceHosts,
    /// Time passes for the key-value store.
    AdvanceStore,
    /// The checker judges what should have happened by now.
    CheckLiveness,
    /// A command of the script is carried out.
    ScriptCommand(Box<Command>),
    /// A controller process starts, unless the node has one.
    StartController(NodeIndex),
    /// The next controller is upgraded.
    UpgradeNext(UpgradeOrder),
    /// A controller goes back to the version before, if it was upgraded.
    RollBack(NodeIndex),
}

/// Events by their time; those of the same time take place in the order in which they were scheduled.
pub struct EventQueue {
    clock: SimClock,
    pending: BTreeMap<(SimTime, u64), Event>,
    last_sequence_number: u64,
}

impl EventQueue {
    /// An empty queue; the clock shows the time of the last event that was taken.
    pub fn new(clock: SimClock) -> EventQueue {
        EventQueue {
            clock,
            pending: BTreeMap::new(),
            last_sequence_number: 0,
        }
    }

    /// The time of the last event that was taken.
    pub fn now(&self) -> SimTime {
        self.clock.now()
    }

    /// Adds an event; one that lies in the past takes place now.
    pub fn schedule(&mut self, at: SimTime, event: Event) {
        let sequence_number = self.next_sequence_number();
        let at = at.max(self.now());
        self.pending.insert((at, sequence_number), event);
    }

    /// A number that no event has. Connections are numbered by it too.
    pub fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Takes the next event and moves the clock to its time. `None` if that is after `end`.
    pub fn pop(&mut self, end: SimTime) -> Option<Event> {
        let entry = self.pending.first_entry()?;
        let (time, _) = *entry.key();
        if time > end {
            return None;
        }
        let event = entry.remove();
        self.clock.advance_to(time);
        Some(event)
    }
}
