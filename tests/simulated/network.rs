//! The simulated network: the delay and loss of messages, and the calls and requests that await a response.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::clock::SimTime;
use super::context::Context;
use super::event_queue::Event;
use super::faults::FaultWindow;
use super::ids::{CallHandle, NodeIndex, ProcessId, RequestId};
use super::script::command::LinkKind;
use super::worker::HeartbeatId;

/// Who awaits the response to a request to a controller.
#[derive(Clone, Debug)]
pub enum Requester {
    /// Another controller.
    Controller(CallHandle),
    /// A worker that sent a heartbeat.
    Worker(HeartbeatId),
    /// A user.
    User(RequestId),
    /// Nobody, as the request is a late copy of a heartbeat.
    Nobody,
}

/// The other end of a connection of a controller.
#[derive(Clone, Copy, Debug)]
pub enum RemoteEnd<'a> {
    /// The key-value store.
    Store,
    /// Another controller.
    Controller(NodeIndex),
    /// A worker.
    Worker {
        /// Zone of its host.
        zone: &'a str,
    },
    /// A user.
    User,
}

impl RemoteEnd<'_> {
    fn link_kind(self) -> LinkKind {
        match self {
            RemoteEnd::Store => LinkKind::Store,
            RemoteEnd::Controller(_) => LinkKind::Controllers,
            RemoteEnd::Worker { .. } => LinkKind::Workers,
            RemoteEnd::User => LinkKind::Users,
        }
    }
}

/// A partition between a controller and other components.
#[derive(Debug)]
pub struct Partition {
    /// The controller.
    pub node: NodeIndex,
    /// To which kinds of components its connections are cut.
    pub links: Vec<LinkKind>,
    /// When the partition is active.
    pub window: FaultWindow,
    /// Whether messages are held back until the partition ends. Otherwise they are lost.
    pub holds_messages: bool,
}

impl Partition {
    fn cuts(&self, now: SimTime, node: NodeIndex, remote: RemoteEnd) -> bool {
        let is_partitioned_node = self.node == node
            || matches!(remote, RemoteEnd::Controller(other) if other == self.node);
        is_partitioned_node
            && self.window.is_active(now)
            && self.links.contains(&remote.link_kind())
    }
}

/// The isolation of a zone, whose controllers and hosts reach nothing outside.
#[derive(Clone, Debug)]
pub struct ZoneIsolation {
    /// The zone.
    pub zone: String,
    /// When it began.
    pub started_at: SimTime,
    /// When it is active.
    pub window: FaultWindow,
}

/// Calls and requests that await a response, and faults of the network.
#[derive(Debug)]
pub struct Network {
    /// The zone of each controller.
    controller_zones: Vec<String>,
    /// Calls whose callers await the result.
    open_calls: BTreeSet<CallHandle>,
    /// The requester of each open request, by the process that received it and the serial number of the connection.
    open_requests: HashMap<(ProcessId, u64), Requester>,
    partitions: Vec<Partition>,
    zone_separation: FaultWindow,
    /// The most recent isolation of a zone.
    isolation: Option<ZoneIsolation>,
}

impl Network {
    /// A network without faults.
    pub fn new(controller_zones: Vec<String>) -> Network {
        Network {
            controller_zones,
            open_calls: BTreeSet::new(),
            open_requests: HashMap::new(),
            partitions: Vec::new(),
            zone_separation: FaultWindow::default(),
            isolation: None,
        }
    }

    /// Starts a partition.
    pub fn partition(&mut self, partition: Partition) {
        self.partitions.push(partition);
    }

    /// Cuts all zones off from each other during the given window.
    pub fn separate_zones(&mut self, window: FaultWindow) {
        self.zone_separation = window;
    }

    /// Isolates a zone, which ends any earlier isolation.
    pub fn isolate_zone(&mut self, isolation: ZoneIsolation) {
        self.isolation = Some(isolation);
    }

    /// The most recent isolation of a zone, which may have ended.
    pub fn last_isolation(&self) -> Option<&ZoneIsolation> {
        self.isolation.as_ref()
    }

    /// The zone of a controller.
    pub fn zone_of(&self, node: NodeIndex) -> &str {
        &self.controller_zones[node.0]
    }

    /// Whether the zone is isolated now.
    pub fn is_isolated(&self, now: SimTime, zone: &str) -> bool {
        let isolation = self.isolation.as_ref();
        isolation.is_some_and(|isolation| isolation.zone == zone && isolation.window.is_active(now))
    }

    /// Whether two zones are cut off from each other now.
    fn are_separated(&self, now: SimTime, one: &str, other: &str) -> bool {
        let are_disconnected = self.zone_separation.is_active(now)
            || self.is_isolated(now, one)
            || self.is_isolated(now, other);
        one != other && are_disconnected
    }

    fn is_cut_by_zones(&self, now: SimTime, node: NodeIndex, remote: RemoteEnd) -> bool {
        let zone = self.zone_of(node);
        match remote {
            RemoteEnd::Controller(other) => self.are_separated(now, zone, self.zone_of(other)),
            RemoteEnd::Worker { zone: other } => self.are_separated(now, zone, other),
            RemoteEnd::Store | RemoteEnd::User => self.is_isolated(now, zone),
        }
    }

    /// The delay of a message between a controller and the other end, where `latency` is the delay without faults.
    /// `None` if the message is lost.
    pub fn delay(
        &self,
        now: SimTime,
        node: NodeIndex,
        remote: RemoteEnd,
        latency: Duration,
    ) -> Option<Duration> {
        let is_cut_by_zones = self.is_cut_by_zones(now, node, remote);
        let mut partitions = self.partitions.iter();
        match partitions.find(|partition| partition.cuts(now, node, remote)) {
            Some(partition) if partition.holds_messages => {
                // A message that is held back arrives even if its zones are separated, unless it is to or from a
                // worker.
                let is_lost = is_cut_by_zones && matches!(remote, RemoteEnd::Worker { .. });
                (!is_lost).then(|| partition.window.ends_at().since(now) + latency)
            }
            Some(_) => None,
            None => (!is_cut_by_zones).then_some(latency),
        }
    }

    /// Whether messages sent now between a controller and the other end arrive.
    pub fn is_connected(&self, now: SimTime, node: NodeIndex, remote: RemoteEnd) -> bool {
        let delay = self.delay(now, node, remote, Duration::ZERO);
        delay.is_some()
    }

    /// Schedules the arrival of a message between a controller and the other end, unless it is lost.
    pub fn send(
        &self,
        context: &mut Context,
        node: NodeIndex,
        remote: RemoteEnd,
        latency: Duration,
        arrival: Event,
    ) {
        if let Some(delay) = self.delay(context.now(), node, remote, latency) {
            context.schedule_after(delay, arrival);
        }
    }

    /// Records that a controller awaits the result of a call.
    pub fn open_call(&mut self, call: CallHandle) {
        self.open_calls.insert(call);
    }

    /// Records that the result of a call has arrived. Returns `false` if the caller no longer awaits it.
    pub fn close_call(&mut self, call: CallHandle) -> bool {
        self.open_calls.remove(&call)
    }

    /// Removes the calls of a process that has ended.
    pub fn drop_calls_of(&mut self, process: ProcessId) {
        self.open_calls.retain(|call| call.process != process);
    }

    /// Records that a process has received a request.
    pub fn open_request(&mut self, process: ProcessId, connection: u64, requester: Requester) {
        self.open_requests.insert((process, connection), requester);
    }

    /// Records that a process responds to a request, and returns the requester. `None` if the process has already
    /// responded.
    pub fn close_request(&mut self, process: ProcessId, connection: u64) -> Option<Requester> {
        self.open_requests.remove(&(process, connection))
    }
}
