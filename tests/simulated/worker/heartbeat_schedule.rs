//! When a worker sends heartbeats, and to which controller.

use std::time::Duration;

use crate::simulated::clock::SimTime;
use crate::simulated::ids::NodeIndex;

/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// The least time between two heartbeats, if there is news.
const LEAST_INTERVAL: Duration = Duration::from_millis(500);
/// The time until a worker tries the next controller.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A heartbeat in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatId {
    /// The worker's machine.
    pub host: String,
    /// Its number within the worker's session.
    pub tick: u64,
    /// When it was sent.
    pub sent_at: SimTime,
}

/// The heartbeats of one worker.
#[derive(Debug)]
pub struct HeartbeatSchedule {
    /// The controller that gets the next heartbeat, counted on beyond the last one.
    next_controller: usize,
    in_flight: Option<HeartbeatId>,
    next_at: SimTime,
    last_at: SimTime,
    /// Something has changed since the last heartbeat.
    has_news: bool,
}

impl HeartbeatSchedule {
    /// The first heartbeat goes to that controller, once [`HeartbeatSchedule::start`] is called.
    pub fn new(first_controller: NodeIndex) -> HeartbeatSchedule {
        HeartbeatSchedule {
            next_controller: first_controller.0,
            in_flight: None,
            next_at: SimTime::MAX,
            last_at: SimTime::START,
            has_news: false,
        }
    }

    /// The first heartbeat is due now.
    pub fn start(&mut self, now: SimTime) {
        self.next_at = now;
    }

    /// The controller that gets the next heartbeat.
    pub fn controller(&self, controller_count: usize) -> NodeIndex {
        NodeIndex(self.next_controller % controller_count)
    }

    /// Something has changed, which the next heartbeat tells.
    pub fn note_news(&mut self) {
        self.has_news = true;
    }

    /// Whether a heartbeat goes out now; the next one goes out an interval later, if there is no news.
    pub fn is_due(&mut self, now: SimTime, interval: Duration) -> bool {
        if let Some(heartbeat) = &self.in_flight {
            if now >= heartbeat.sent_at + RESPONSE_TIMEOUT {
                self.try_next_controller(now);
            }
            return false;
        }
        let is_news_due = self.has_news && now >= self.last_at + LEAST_INTERVAL;
        let is_due = now >= self.next_at || is_news_due;
        if is_due {
            self.has_news = false;
            self.last_at = now;
            self.next_at = now + interval;
        }
        is_due
    }

    /// A heartbeat goes out.
    pub fn send(&mut self, heartbeat: HeartbeatId) {
        self.in_flight = Some(heartbeat);
    }

    /// Whether the worker waits for the response to that heartbeat.
    pub fn awaits(&self, heartbeat: &HeartbeatId) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.tick == heartbeat.tick)
    }

    /// The worker no longer waits for a response.
    pub fn clear_in_flight(&mut self) {
        self.in_flight = None;
    }

    /// The last controller was of no help: the next one gets a heartbeat a while later.
    pub fn try_next_controller(&mut self, now: SimTime) {
        self.in_flight = None;
        self.next_controller += 1;
        self.has_news = false;
        self.next_at = now + RETRY_INTERVAL;
    }

    /// The last controller has named another, which gets the next heartbeat.
    pub fn redirect(&mut self, controller: NodeIndex, next_at: SimTime) {
        self.in_flight = None;
        self.next_controller = controller.0;
        self.next_at = next_at;
    }
}
