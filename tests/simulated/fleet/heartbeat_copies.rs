//! Copies of heartbeats that the network delivers late.

use std::time::Duration;

use lichencrank::transport::{ListenerKind, Request};

use crate::simulated::context::Context;
use crate::simulated::event_queue::Event;
use crate::simulated::faults::{FaultWindow, RandomFault};
use crate::simulated::history::Mark;
use crate::simulated::ids::NodeIndex;
use crate::simulated::network::Requester;

/// Probability with which a heartbeat is retained for the next leader.
const RETENTION_PROBABILITY: f64 = 0.3;
/// Shortest delay after a takeover until retained heartbeats reach a controller, and its random addition.
const MIN_RETAINED_COPY_DELAY: Duration = Duration::from_millis(5);
const RETAINED_COPY_SPREAD_MS: u64 = 600;
/// Shortest delay of a late copy of a heartbeat. The longest is two worker leases more.
const MIN_LATE_COPY_DELAY: Duration = Duration::from_secs(2);

/// Which heartbeats are copied, and the copies that are retained until a takeover.
pub struct HeartbeatCopies {
    /// The lease of workers. Late copies are delayed by up to two leases beyond [`MIN_LATE_COPY_DELAY`].
    worker_lease: Duration,
    late_copies: RandomFault,
    retention: RandomFault,
    retained: Vec<Request>,
}

impl HeartbeatCopies {
    /// Copies no heartbeats until a fault starts.
    pub fn new(worker_lease: Duration) -> HeartbeatCopies {
        HeartbeatCopies {
            worker_lease,
            late_copies: RandomFault::default(),
            retention: RandomFault::default(),
            retained: Vec::new(),
        }
    }

    /// Delivers late copies of some heartbeats.
    pub fn start_late_copies(&mut self, fault: RandomFault) {
        self.late_copies = fault;
    }

    /// Retains copies of some heartbeats for the next leader, during the given window.
    pub fn start_retention(&mut self, window: FaultWindow) {
        self.retention = RandomFault {
            probability: RETENTION_PROBABILITY,
            window,
        };
    }

    /// Copies a heartbeat that is sent to a controller, if a fault applies to it.
    pub fn copy(&mut self, context: &mut Context, node: NodeIndex, request: &Request) {
        if context.occurs(self.retention) {
            self.retained.push(request.clone());
        }
        if context.occurs(self.late_copies) {
            context.mark(Mark::HeartbeatDelayed);
            let lease_ms = self.worker_lease.as_millis() as u64;
            let delay = MIN_LATE_COPY_DELAY + context.random_millis(0..lease_ms * 2);
            context.schedule_after(delay, arrival(node, request));
        }
    }

    /// Sends the retained copies to all controllers after a takeover.
    pub fn send_retained(&mut self, context: &mut Context, controller_count: usize) {
        for request in std::mem::take(&mut self.retained) {
            context.mark(Mark::OldHeartbeatAtNewLeader);
            for node in (0..controller_count).map(NodeIndex) {
                let spread = context.random_millis(0..RETAINED_COPY_SPREAD_MS);
                let delay = MIN_RETAINED_COPY_DELAY + spread;
                context.schedule_after(delay, arrival(node, &request));
            }
        }
    }
}

fn arrival(node: NodeIndex, request: &Request) -> Event {
    Event::ControllerRequest {
        node,
        listener: ListenerKind::Public,
        requester: Requester::Nobody,
        request: request.clone(),
    }
}
