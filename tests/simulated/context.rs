//! What all components of a simulation share: time and events, random numbers, the history and the checker.

use std::ops::Range;
use std::time::Duration;

use super::checker::{Checker, Invariant, Observation};
use super::clock::SimTime;
use super::event_queue::{Event, EventQueue};
use super::faults::RandomFault;
use super::history::{History, Mark};

/// Random part of the network latency of a message.
const NETWORK_LATENCY_MS: Range<u64> = 0..3;
const MIN_NETWORK_LATENCY: Duration = Duration::from_millis(1);

/// The state that all components of a simulation share. All random numbers come from one generator, so that a seed
/// determines the run.
pub struct Context {
    queue: EventQueue,
    random: fastrand::Rng,
    history: History,
    checker: Checker,
}

impl Context {
    /// Creates a context with an empty history.
    pub fn new(queue: EventQueue, seed: u64, checker: Checker) -> Context {
        Context {
            queue,
            random: fastrand::Rng::with_seed(seed),
            history: History::default(),
            checker,
        }
    }

    /// The current time.
    pub fn now(&self) -> SimTime {
        self.queue.now()
    }

    /// Schedules an event at the given time.
    pub fn schedule(&mut self, at: SimTime, event: Event) {
        self.queue.schedule(at, event);
    }

    /// Schedules an event after the given delay.
    pub fn schedule_after(&mut self, delay: Duration, event: Event) {
        let at = self.now() + delay;
        self.schedule(at, event);
    }

    /// Takes the next event and advances the time to it. `None` if no event is scheduled until `end`.
    pub fn next_event(&mut self, end: SimTime) -> Option<Event> {
        self.queue.pop(end)
    }

    /// A new serial number for a connection. Connections and events share one sequence of numbers.
    pub fn next_connection_number(&mut self) -> u64 {
        self.queue.next_sequence_number()
    }

    /// The random number generator of the simulation.
    pub fn random(&mut self) -> &mut fastrand::Rng {
        &mut self.random
    }

    /// A random duration within a range of milliseconds.
    pub fn random_millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.u64(range))
    }

    /// Draws the network latency of a message.
    pub fn network_latency(&mut self) -> Duration {
        MIN_NETWORK_LATENCY + self.random_millis(NETWORK_LATENCY_MS)
    }

    /// Draws whether a random fault applies now. No random number is drawn while the fault is inactive.
    pub fn occurs(&mut self, fault: RandomFault) -> bool {
        fault.window.is_active(self.now()) && self.random.f64() < fault.probability
    }

    /// Adds a line to the history.
    pub fn note(&mut self, line: impl AsRef<str>) {
        let now = self.now();
        self.history.note(now, line.as_ref());
    }

    /// Records that a marked event has taken place.
    pub fn mark(&mut self, mark: Mark) {
        let now = self.now();
        self.history.mark(now, mark);
    }

    /// The history so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Reports an observation to the checker.
    pub fn observe(&mut self, observation: Observation) {
        let now = self.now();
        self.checker.observe(now, observation);
    }

    /// Reports a violation that the checker can't detect from its observations.
    pub fn report(&mut self, invariant: Invariant, details: String) {
        let now = self.now();
        self.checker.report(now, invariant, details);
    }

    /// The checker.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    /// The checker, for reports that are not an [`Observation`].
    pub fn checker_mut(&mut self) -> &mut Checker {
        &mut self.checker
    }
}
