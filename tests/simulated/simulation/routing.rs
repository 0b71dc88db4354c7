//! Routes messages between controllers and the other simulated parts.

use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use lichencrank::transport::{
    CallError, ConnectionId, ListenerKind, Request, Response, TransportEvent,
};

use super::Simulation;
use crate::simulated::deployment::{CLOUD_ADDRESS, STORE_ADDRESS};
use crate::simulated::event_queue::Event;
use crate::simulated::ids::{CallHandle, NodeIndex, ProcessId, RequestId};
use crate::simulated::load_balancer;
use crate::simulated::network::{RemoteEnd, Requester};
use crate::simulated::process::Version;
use crate::simulated::store::{Delivery, StoreOutcome, StoreResponse, WatchResponse};
use crate::simulated::transport::{Outgoing, OutgoingCall};
use crate::simulated::users::{Membership, PlannedRequest};
use crate::simulated::worker::{HeartbeatId, HostSpec};

/// The least time that a call to the cloud takes, in addition to the network latency.
const CLOUD_CALL_DELAY: Duration = Duration::from_millis(50);
/// Calls to the cloud take up to this much longer than [`CLOUD_CALL_DELAY`], at random.
const CLOUD_CALL_SPREAD_MS: u64 = 100;

/// Running controllers.
impl Simulation {
    pub(super) fn start_controller(&mut self, node: NodeIndex) {
        let messages = self.controllers.start(&mut self.context, node);
        self.send_all(node, messages);
    }

    pub(super) fn run_controller_timer(&mut self, process: ProcessId) {
        let messages = self.controllers.run_timer(&mut self.context, process);
        self.send_all(process.node, messages);
    }

    fn run_controller(&mut self, node: NodeIndex, event: TransportEvent) {
        let messages = self.controllers.run(&mut self.context, node, Some(event));
        self.send_all(node, messages);
    }

    fn send_all(&mut self, node: NodeIndex, messages: Vec<Outgoing>) {
        let process = self.controllers.last_process(node);
        for message in messages {
            match message {
                Outgoing::Response {
                    connection,
                    response,
                } => self.send_response(process, connection, response),
                Outgoing::Call(call) => self.send_call(process, call),
            }
        }
    }
}

/// Requests to controllers, and their responses.
impl Simulation {
    pub(super) fn deliver_request(
        &mut self,
        node: NodeIndex,
        listener: ListenerKind,
        requester: Requester,
        request: Request,
    ) {
        if !self.controllers.has_process(node) {
            if let Requester::Controller(call) = requester {
                self.deliver_reply(call, Err(CallError::NotSent));
            }
            return;
        }
        let serial = self.context.next_connection_number();
        let process = self.controllers.last_process(node);
        self.network.open_request(process, serial, requester);
        let event = TransportEvent::Request {
            connection: ConnectionId { slot: 0, serial },
            listener,
            request,
        };
        self.run_controller(node, event);
    }

    fn send_response(&mut self, process: ProcessId, connection: ConnectionId, response: Response) {
        let Some(requester) = self.network.close_request(process, connection.serial) else {
            return;
        };
        let node = process.node;
        let latency = self.context.network_latency();
        let (context, network) = (&mut self.context, &self.network);
        match requester {
            Requester::Nobody => {}
            Requester::Controller(call) => {
                let remote = RemoteEnd::Controller(call.process.node);
                let result = Ok(response);
                let arrival = Event::ControllerReply { call, result };
                network.send(context, node, remote, latency, arrival);
            }
            Requester::Worker(heartbeat) => {
                let Some(zone) = self.fleet.zone_of(&heartbeat.host) else {
                    return;
                };
                let arrival = Event::HeartbeatResponse {
                    heartbeat,
                    response,
                };
                network.send(context, node, RemoteEnd::Worker { zone }, latency, arrival);
            }
            Requester::User(request) => {
                let arrival = Event::UserResponse { request, response };
                network.send(context, node, RemoteEnd::User, latency, arrival);
            }
        }
    }
}

/// Calls of controllers, and their outcomes.
impl Simulation {
    fn send_call(&mut self, process: ProcessId, call: OutgoingCall) {
        let handle = CallHandle {
            process,
            call: call.id,
        };
        self.network.open_call(handle);
        let timeout = Event::ControllerReply {
            call: handle,
            result: Err(CallError::Lost),
        };
        self.context.schedule_after(call.timeout, timeout);
        let latency = self.context.network_latency();
        let address = call.server.to_string();
        if address == STORE_ADDRESS {
            self.call_store(handle, call, latency);
        } else if address == CLOUD_ADDRESS {
            self.call_cloud(handle, call, latency);
        } else if let Some(peer) = self.controllers.find_by_internal_address(call.server) {
            self.call_controller(handle, call, peer, latency);
        } else if let Some(host_spec) = self.fleet.find_by_address(&address) {
            let host_spec = host_spec.clone();
            self.call_worker(handle, &call, host_spec, latency);
        }
    }

    fn call_store(&mut self, handle: CallHandle, call: OutgoingCall, latency: Duration) {
        let now = self.context.now();
        let node = handle.process.node;
        let Some(delay) = self.network.delay(now, node, RemoteEnd::Store, latency) else {
            return;
        };
        let faults = self.store.draw_faults(&mut self.context, &call);
        let arrival = Event::StoreRequest {
            call: handle,
            request: call,
            delivery: faults.delivery,
        };
        self.context.schedule_after(delay + faults.delay, arrival);
    }

    fn call_cloud(&mut self, handle: CallHandle, call: OutgoingCall, latency: Duration) {
        let zone = self.network.zone_of(handle.process.node);
        if self.network.is_isolated(self.context.now(), zone) {
            return;
        }
        let spread = self.context.random_millis(0..CLOUD_CALL_SPREAD_MS);
        let arrival = Event::CloudRequest {
            call: handle,
            request: call,
        };
        self.context
            .schedule_after(latency + CLOUD_CALL_DELAY + spread, arrival);
    }

    fn call_controller(
        &mut self,
        handle: CallHandle,
        call: OutgoingCall,
        peer: NodeIndex,
        latency: Duration,
    ) {
        let arrival = Event::ControllerRequest {
            node: peer,
            listener: ListenerKind::Internal,
            requester: Requester::Controller(handle),
            request: call.into_request(),
        };
        let remote = RemoteEnd::Controller(peer);
        let node = handle.process.node;
        self.network
            .send(&mut self.context, node, remote, latency, arrival);
    }

    fn call_worker(
        &mut self,
        handle: CallHandle,
        call: &OutgoingCall,
        host_spec: HostSpec,
        latency: Duration,
    ) {
        let command = decode(&call.body).unwrap_or(Value::Null);
        // Earlier versions do not withstand copies of their commands.
        if self.controllers.version(handle.process.node) == Version::Current {
            let copies = self.fleet.command_copies_mut();
            copies.copy(&mut self.context, &host_spec.name, handle, &command);
        }
        let arrival = Event::WorkerCommand {
            host: host_spec.name,
            call: handle,
            command,
        };
        let remote = RemoteEnd::Worker {
            zone: &host_spec.zone,
        };
        let node = handle.process.node;
        self.network
            .send(&mut self.context, node, remote, latency, arrival);
    }

    pub(super) fn deliver_reply(&mut self, call: CallHandle, result: Result<Response, CallError>) {
        if !self.network.close_call(call) {
            return;
        }
        let CallHandle { process, call } = call;
        if self.controllers.last_process(process.node) == process {
            self.run_controller(process.node, TransportEvent::Reply { call, result });
        }
    }
}

/// Users, workers and the cloud.
impl Simulation {
    pub(super) fn send_user_request(&mut self, planned: PlannedRequest) {
        let Simulation {
            context,
            controllers,
            network,
            users,
            ..
        } = self;
        let balanced = load_balancer::choose_controller(context, controllers, network);
        users.send(context, network, planned, balanced);
    }

    /// Passes a response to the user. `None` means that the request has timed out.
    pub(super) fn deliver_to_user(&mut self, request: RequestId, response: Option<Response>) {
        let membership = Membership {
            controller_count: self.controllers.count(),
            leader: self.leadership.leader(),
        };
        self.users
            .handle_response(&mut self.context, request, response, membership);
    }

    pub(super) fn deliver_to_worker(&mut self, host: &str, call: CallHandle, command: Value) {
        let (fleet, mut environment) = self.fleet_and_environment();
        fleet.handle_command(&mut environment, host, call, command);
    }

    pub(super) fn deliver_heartbeat_response(
        &mut self,
        heartbeat: &HeartbeatId,
        response: &Response,
    ) {
        let (fleet, mut environment) = self.fleet_and_environment();
        fleet.handle_heartbeat_response(&mut environment, heartbeat, response);
    }

    pub(super) fn deliver_to_cloud(&mut self, call: CallHandle, request: &OutgoingCall) {
        let (fleet, mut environment) = self.fleet_and_environment();
        fleet.handle_cloud_request(&mut environment, call, request);
    }
}

/// The key-value store.
impl Simulation {
    pub(super) fn deliver_to_store(
        &mut self,
        call: CallHandle,
        request: OutgoingCall,
        delivery: Delivery,
    ) {
        let context = &mut self.context;
        let response = match self.store.handle(context, call, request, delivery) {
            StoreOutcome::Unanswered => return,
            StoreOutcome::Refused(response) => response,
            StoreOutcome::Processed(response) => {
                self.observe_leadership();
                response
            }
        };
        if delivery == Delivery::ResponseDelivered {
            self.send_store_response(call, response);
        }
    }

    pub(super) fn answer_watches(&mut self) {
        let responses = self.store.take_watch_responses(self.context.now());
        for WatchResponse { call, response } in responses {
            self.send_store_response(call, response);
        }
    }

    fn send_store_response(&mut self, call: CallHandle, response: StoreResponse) {
        let latency = self.context.network_latency();
        let node = call.process.node;
        let arrival = Event::ControllerReply {
            call,
            result: Ok(Response::new(response.status, encode(&response.body))),
        };
        self.network
            .send(&mut self.context, node, RemoteEnd::Store, latency, arrival);
    }
}
