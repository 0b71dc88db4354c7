//! When a worker sends heartbeats, and to which controller.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::NodeIndex;

/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// The shortest interval between two heartbeats, which applies when the worker's status has changed.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before a worker tries the next controller.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a heartbeat that awaits its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatId {
    /// Name of the worker's host.
    pub host: String,
    /// Its number within the worker's incarnation.
    pub sequence_number: u64,
    /// When it was sent.
    pub sent_at: SimTime,
}

/// Times and targets of one worker's heartbeats.
#[derive(Debug)]
pub struct HeartbeatSchedule {
    /// Target of the next heartbeat, as a node index modulo the number of controllers.
    next_controller: usize,
    in_flight: Option<HeartbeatId>,
    next_at: SimTime,
    last_sent_at: SimTime,
    /// Whether the worker's status has changed since the last heartbeat.
    has_changes: bool,
}

impl HeartbeatSchedule {
    /// Creates a schedule whose first heartbeat goes to the given controller once [`HeartbeatSchedule::start`] is
    /// called.
    pub fn new(first_controller: NodeIndex) -> HeartbeatSchedule {
        HeartbeatSchedule {
            next_controller: first_controller.0,
            in_flight: None,
            next_at: SimTime::MAX,
            last_sent_at: SimTime::START,
            has_changes: false,
        }
    }

    /// Makes the first heartbeat due now.
    pub fn start(&mut self, now: SimTime) {
        self.next_at = now;
    }

    /// The controller that gets the next heartbeat.
    pub fn controller(&self, controller_count: usize) -> NodeIndex {
        NodeIndex(self.next_controller % controller_count)
    }

    /// Notes that the worker's status has changed, so that the next heartbeat is sent early.
    pub fn note_change(&mut self) {
        self.has_changes = true;
    }

    /// Whether a heartbeat is due now. If so, the next one is due after `interval`, or earlier if the status changes.
    /// None is due while the last one awaits its response; if that has timed out, this schedules a retry with the next
    /// controller.
    pub fn is_due(&mut self, now: SimTime, interval: Duration) -> bool {
        if let Some(heartbeat) = &self.in_flight {
            if now >= heartbeat.sent_at + RESPONSE_TIMEOUT {
                self.try_next_controller(now);
            }
            return false;
        }
        let is_change_due = self.has_changes && now >= self.last_sent_at + MIN_INTERVAL;
        let is_due = now >= self.next_at || is_change_due;
        if is_due {
            self.has_changes = false;
            self.last_sent_at = now;
            self.next_at = now + interval;
        }
        is_due
    }

    /// Notes that a heartbeat is sent.
    pub fn record_sent(&mut self, heartbeat: HeartbeatId) {
        self.in_flight = Some(heartbeat);
    }

    /// Whether the worker still waits for the response to the given heartbeat.
    pub fn awaits(&self, heartbeat: &HeartbeatId) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.sequence_number == heartbeat.sequence_number)
    }

    /// Stops waiting for a response.
    pub fn clear_in_flight(&mut self) {
        self.in_flight = None;
    }

    /// Sends the next heartbeat to the next controller, after `RETRY_INTERVAL`.
    pub fn try_next_controller(&mut self, now: SimTime) {
        self.in_flight = None;
        self.next_controller += 1;
        self.has_changes = false;
        self.next_at = now + RETRY_INTERVAL;
    }

    /// Sends the next heartbeat to the controller that the last one has named as the leader.
    pub fn redirect(&mut self, controller: NodeIndex, next_at: SimTime) {
        self.in_flight = None;
        self.next_controller = controller.0;
        self.next_at = next_at;
    }
}
