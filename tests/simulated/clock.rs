//! Simulated time. It stands still while code runs and jumps from one event to the next.

use std::cell::Cell;
use std::fmt;
use std::ops::Add;
use std::rc::Rc;
use std::time::Duration;

/// A moment of a simulation, in whole milliseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimTime(u64);

impl SimTime {
    /// When the simulation starts.
    pub const START: SimTime = SimTime(0);
    /// Later than all that happens.
    pub const MAX: SimTime = SimTime(u64::MAX);

    /// The moment so many milliseconds after the start.
    pub const fn from_millis(milliseconds: u64) -> SimTime {
        SimTime(milliseconds)
    }

    /// Milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// How long this is after `earlier`; zero if it is before.
    pub fn since(self, earlier: SimTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment so long before, or the start if there is none.
    pub fn saturating_sub(self, duration: Duration) -> SimTime {
        SimTime(self.0.saturating_sub(duration.as_millis() as u64))
    }
}

impl Add<Duration> for SimTime {
    type Output = SimTime;

    fn add(self, duration: Duration) -> SimTime {
        SimTime(self.0.saturating_add(duration.as_millis() as u64))
    }
}

/// Seconds, to the millisecond.
impl fmt::Display for SimTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = format!("{}.{:03} s", self.0 / 1000, self.0 % 1000);
        formatter.pad(&seconds)
    }
}

/// The clock of a simulation. Its clones show the same time.
#[derive(Clone, Debug, Default)]
pub struct SimClock(Rc<Cell<SimTime>>);

impl SimClock {
    /// The present moment.
    pub fn now(&self) -> SimTime {
        self.0.get()
    }

    /// Moves the clock and all its clones.
    pub fn advance_to(&self, time: SimTime) {
        self.0.set(time);
    }
}

/// A number of seconds as a duration, cut to whole milliseconds.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1000.0) as u64)
}

/// A duration of whole milliseconds in seconds, rounded once: unlike `Duration::as_secs_f64`, which adds
/// two rounded numbers.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_millis() as f64 / 1000.0
}
