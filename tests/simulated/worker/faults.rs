//! What can be wrong with a worker or its machine.

use crate::simulated::clock::SimTime;
use crate::simulated::faults::FaultWindow;

/// The faults of one machine; each lasts for a while.
#[derive(Debug, Default)]
pub struct WorkerFaults {
    /// The worker stands still.
    pub pause: FaultWindow,
    /// Nothing that is sent to the worker arrives.
    pub inbound_loss: FaultWindow,
    /// No heartbeat arrives.
    pub outbound_loss: FaultWindow,
    /// Nothing that is sent to the worker arrives, and no heartbeat.
    pub isolation: FaultWindow,
    /// Every task that starts fails.
    pub failing_tasks: FaultWindow,
}

impl WorkerFaults {
    /// Whether messages to the worker arrive.
    pub fn lets_in(&self, now: SimTime) -> bool {
        !self.inbound_loss.is_active(now) && !self.isolation.is_active(now)
    }

    /// Whether heartbeats arrive.
    pub fn lets_out(&self, now: SimTime) -> bool {
        !self.outbound_loss.is_active(now) && !self.isolation.is_active(now)
    }
}
