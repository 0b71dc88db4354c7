//! What a scheduler sees of a zone, and whether that means that the zone is disrupted.

/// Whether controllers of the zone answer the observer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControllerReach {
    /// The zone has no controller besides the observer itself.
    #[default]
    NoController,
    /// At least one answers, or the observer is in that zone.
    Reachable,
    /// None answers.
    Unreachable,
}

/// What is seen of one zone at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    /// Machines that have reported to some leader and were not given up. Machines that still boot don't
    /// count: their silence says nothing.
    pub machines: usize,
    /// Of these, the ones that are not heard, or are heard but don't hear what they are told.
    pub silent: usize,
    /// Of the machines, those that the cloud does not take back at will.
    pub ordinary: usize,
    /// Of these, the silent ones.
    pub ordinary_silent: usize,
    /// Whether the zone's controllers answer.
    pub controllers: ControllerReach,
}

/// Fewer machines than this fail one by one; only together with the controllers do they tell of a zone.
const FEW_MACHINES: usize = 3;

impl ZoneObservation {
    /// Counts one machine.
    pub fn count(&mut self, silent: bool, spot: bool) {
        self.machines += 1;
        self.silent += usize::from(silent);
        if !spot {
            self.ordinary += 1;
            self.ordinary_silent += usize::from(silent);
        }
    }

    /// Whether machines and controllers together speak for the zone being cut off, rather than for
    /// machines that failed one by one.
    pub fn is_disrupted(&self) -> bool {
        let unreachable = self.controllers == ControllerReach::Unreachable;
        if self.silent < FEW_MACHINES {
            return unreachable && self.machines > 0 && self.silent == self.machines;
        }
        if !unreachable && self.only_spot_machines_are_gone() {
            return false;
        }
        self.silent * 2 > self.machines
    }

    /// The cloud took spot machines back; the ordinary ones of the zone go on.
    fn only_spot_machines_are_gone(&self) -> bool {
        self.ordinary > 0 && self.ordinary_silent == 0
    }

    /// Whether most machines are heard again, which proves that the zone is reachable.
    pub fn is_heard(&self) -> bool {
        self.machines > 0 && !self.is_disrupted() && self.silent * 2 <= self.machines
    }

    /// Whether no more machines are silent than fail in the course of things.
    pub fn is_mostly_heard(&self) -> bool {
        self.silent < FEW_MACHINES || self.silent * 10 <= self.machines
    }

    /// No machine is left to be heard, and nothing says that new ones would not be.
    pub fn is_empty_and_reachable(&self) -> bool {
        self.machines == 0 && self.controllers != ControllerReach::Unreachable
    }
}
