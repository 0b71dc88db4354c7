//! The injected faults of one worker and its host.

use crate::simulated::clock::SimTime;
use crate::simulated::faults::FaultWindow;

/// The faults of one host, each with the time when it ends.
#[derive(Debug, Default)]
pub struct WorkerFaults {
    /// The worker is paused.
    pub pause: FaultWindow,
    /// Messages to the worker are lost.
    pub inbound_loss: FaultWindow,
    /// Heartbeats of the worker are lost.
    pub outbound_loss: FaultWindow,
    /// Messages to the worker and its heartbeats are lost.
    pub isolation: FaultWindow,
    /// Every task fails when it starts.
    pub failing_tasks: FaultWindow,
}

impl WorkerFaults {
    /// Whether messages to the worker arrive.
    pub fn delivers_inbound(&self, now: SimTime) -> bool {
        !self.inbound_loss.is_active(now) && !self.isolation.is_active(now)
    }

    /// Whether the worker's heartbeats arrive.
    pub fn delivers_outbound(&self, now: SimTime) -> bool {
        !self.outbound_loss.is_active(now) && !self.isolation.is_active(now)
    }
}
