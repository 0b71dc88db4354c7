//! Faults that last for a limited time.

use super::clock::SimTime;

/// A fault that lasts until a given time. The default is a fault that is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultWindow {
    ends_at: SimTime,
}

impl FaultWindow {
    /// A fault that lasts from now until `ends_at`.
    pub fn until(ends_at: SimTime) -> FaultWindow {
        FaultWindow { ends_at }
    }

    /// Whether the fault is not over yet.
    pub fn is_active(self, now: SimTime) -> bool {
        now < self.ends_at
    }

    /// When the fault ends.
    pub fn ends_at(self) -> SimTime {
        self.ends_at
    }
}

/// A fault that affects some messages or jobs, chosen at random, while it lasts. The default is a fault that is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomFault {
    /// The probability with which it affects each message or job.
    pub probability: f64,
    /// How long the fault lasts.
    pub window: FaultWindow,
}
