//! Copies of heartbeats, which the network delivers late.

use std::time::Duration;

use lichencrank::transport::{ListenerKind, Request};

use crate::simulated::context::Context;
use crate::simulated::event_queue::Event;
use crate::simulated::faults::{FaultWindow, RandomFault};
use crate::simulated::history::Mark;
use crate::simulated::ids::NodeIndex;
use crate::simulated::network::Requester;

/// The share of heartbeats that are kept for the next leader.
const RETAINED_SHARE: f64 = 0.3;
/// When retained heartbeats reach each controller after a takeover.
const RETAINED_HEARTBEAT_DELAY: Duration = Duration::from_millis(5);
const RETAINED_HEARTBEAT_SPREAD_MS: u64 = 600;
/// The least delay of a late copy of a heartbeat; the most is two leases more.
const LATE_HEARTBEAT_DELAY: Duration = Duration::from_secs(2);

/// Which heartbeats are copied, and the copies that wait for a takeover.
pub struct HeartbeatCopies {
    /// The lease of workers: copies come up to twice as late.
    worker_lease: Duration,
    late_copies: RandomFault,
    retention: RandomFault,
    retained: Vec<Request>,
}

impl HeartbeatCopies {
    /// No heartbeats are copied.
    pub fn new(worker_lease: Duration) -> HeartbeatCopies {
        HeartbeatCopies {
            worker_lease,
            late_copies: RandomFault::default(),
            retention: RandomFault::default(),
            retained: Vec::new(),
        }
    }

    /// Copies of some heartbeats arrive late.
    pub fn start_late_copies(&mut self, fault: RandomFault) {
        self.late_copies = fault;
    }

    /// Copies of some heartbeats are kept for the next leader while this lasts.
    pub fn start_retention(&mut self, window: FaultWindow) {
        self.retention = RandomFault {
            probability: RETAINED_SHARE,
            window,
        };
    }

    /// A heartbeat goes out to a controller.
    pub fn copy(&mut self, context: &mut Context, node: NodeIndex, request: &Request) {
        if context.occurs(self.retention) {
            self.retained.push(request.clone());
        }
        if context.occurs(self.late_copies) {
            context.mark(Mark::HeartbeatDelayed);
            let lease_ms = self.worker_lease.as_millis() as u64;
            let delay = LATE_HEARTBEAT_DELAY + context.random_millis(0..lease_ms * 2);
            context.schedule_after(delay, arrival(node, request));
        }
    }

    /// After a takeover all controllers get the copies that were kept.
    pub fn send_retained(&mut self, context: &mut Context, controller_count: usize) {
        for request in std::mem::take(&mut self.retained) {
            context.mark(Mark::OldHeartbeatAtNewLeader);
            for node in (0..controller_count).map(NodeIndex) {
                let spread = context.random_millis(0..RETAINED_HEARTBEAT_SPREAD_MS);
                let delay = RETAINED_HEARTBEAT_DELAY + spread;
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
