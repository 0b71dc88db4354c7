//! The events of a simulation and the queue that orders them by time.

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

/// An event of the simulation.
pub enum Event {
    /// A controller process wakes up to do work that is due.
    ControllerTimer(ProcessId),
    /// A request arrives at a controller.
    ControllerRequest {
        /// The controller.
        node: NodeIndex,
        /// The listener that receives the request.
        listener: ListenerKind,
        /// Who awaits the response.
        requester: Requester,
        /// The request.
        request: Request,
    },
    /// The result of a call arrives at the controller that made it.
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
        /// The request.
        request: OutgoingCall,
        /// Whether the response reaches the caller.
        delivery: Delivery,
    },
    /// A call arrives at the cloud.
    CloudRequest {
        /// The call.
        call: CallHandle,
        /// The request.
        request: OutgoingCall,
    },
    /// A command of a controller arrives at a worker.
    WorkerCommand {
        /// Name of the worker's host.
        host: String,
        /// The call that carries the command.
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
    /// A user's request times out.
    UserTimeout(RequestId),
    /// Hosts and their workers are advanced to the current time.
    AdvanceHosts,
    /// The key-value store is advanced to the current time.
    AdvanceStore,
    /// The checker checks the liveness invariants.
    CheckLiveness,
    /// A command of the scenario is executed.
    ScriptCommand(Box<Command>),
    /// A controller process is started, unless the node has one.
    StartController(NodeIndex),
    /// The next controller is upgraded.
    UpgradeNext(UpgradeOrder),
    /// A controller is rolled back, if it was upgraded.
    RollBack(NodeIndex),
}

/// A queue of events, ordered by time. Events of the same time are ordered as they were scheduled.
pub struct EventQueue {
    clock: SimClock,
    pending: BTreeMap<(SimTime, u64), Event>,
    last_sequence_number: u64,
}

impl EventQueue {
    /// Creates an empty queue. It sets the clock to the time of each event that is taken.
    pub fn new(clock: SimClock) -> EventQueue {
        EventQueue {
            clock,
            pending: BTreeMap::new(),
            last_sequence_number: 0,
        }
    }

    /// The current time, which is that of the last event taken.
    pub fn now(&self) -> SimTime {
        self.clock.now()
    }

    /// Schedules an event at the given time, or now if that time is in the past.
    pub fn schedule(&mut self, at: SimTime, event: Event) {
        let sequence_number = self.next_sequence_number();
        let at = at.max(self.now());
        self.pending.insert((at, sequence_number), event);
    }

    /// A new sequence number. Events and connections share one sequence.
    pub fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Takes the next event and advances the clock to its time. `None` if there is no event until `end`.
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
