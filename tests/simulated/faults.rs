//! Faults that last for a while.

use super::clock::SimTime;

/// A fault that lasts until a given time. By default it is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultWindow {
    ends_at: SimTime,
}

impl FaultWindow {
    /// A fault from now to that time.
    pub fn until(ends_at: SimTime) -> FaultWindow {
        FaultWindow { ends_at }
    }

    /// Whether the fault still lasts.
    pub fn is_active(self, now: SimTime) -> bool {
        now < self.ends_at
    }

    /// When it is over.
    pub fn ends_at(self) -> SimTime {
        self.ends_at
    }
}

/// A fault that hits some messages, at random, while it lasts. By default it is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomFault {
    /// The probability for each message.
    pub probability: f64,
    /// How long the fault lasts.
    pub window: FaultWindow,
}
