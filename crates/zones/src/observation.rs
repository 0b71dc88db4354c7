//! What a scheduler observes of a zone, and whether that means that the zone is disrupted.

/// Whether the controllers of a zone answer the observer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControllerReach {
    /// The zone has no controller.
    #[default]
    NoController,
    /// At least one answers, or the observer itself is in the zone.
    Reachable,
    /// None answers.
    Unreachable,
}

/// What is observed of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineObservation {
    /// Whether its heartbeats are missing, or it doesn't receive commands.
    pub silent: bool,
    /// Whether it is a spot machine, which the cloud may take back at any time.
    pub spot: bool,
}

/// What is observed of one zone at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    /// Machines whose heartbeats some leader has received and that were not given up. Machines that still
    /// boot don't count: their silence says nothing.
    pub machines: usize,
    /// How many of the machines are silent.
    pub silent: usize,
    /// How many of the machines are on-demand, not spot ones.
    pub on_demand: usize,
    /// How many of the on-demand machines are silent.
    pub silent_on_demand: usize,
    /// Whether the zone's controllers answer.
    pub controllers: ControllerReach,
}

/// So few silent machines may have failed independently; only if the controllers don't answer either do
/// they prove anything about the zone.
const MIN_SILENT_MACHINES: usize = 3;
/// A zone is disrupted if more than one in that many machines is silent.
const DISRUPTED_DIVISOR: usize = 2;
/// Up to one in that many machines may be silent without the zone being the cause.
const INDEPENDENT_FAILURES_DIVISOR: usize = 10;

impl ZoneObservation {
    /// Counts one machine.
    pub fn add(&mut self, machine: MachineObservation) {
        self.machines += 1;
        self.silent += usize::from(machine.silent);
        if !machine.spot {
            self.on_demand += 1;
            self.silent_on_demand += usize::from(machine.silent);
        }
    }

    /// Whether machines and controllers together show that the zone is cut off, rather than that machines
    /// failed independently.
    pub fn is_disrupted(&self) -> bool {
        let unreachable = self.controllers == ControllerReach::Unreachable;
        if self.silent < MIN_SILENT_MACHINES {
            return unreachable && self.machines > 0 && self.silent == self.machines;
        }
        if !unreachable && self.only_spot_machines_are_silent() {
            return false;
        }
        self.most_are_silent()
    }

    /// Whether at least half of the machines respond, which proves that the zone is reachable.
    pub fn most_machines_respond(&self) -> bool {
        self.machines > 0 && !self.is_disrupted() && !self.most_are_silent()
    }

    /// Whether no more machines are silent than fail independently.
    pub fn nearly_all_machines_respond(&self) -> bool {
        self.silent < MIN_SILENT_MACHINES
            || self.silent * INDEPENDENT_FAILURES_DIVISOR <= self.machines
    }

    /// Whether there is no machine that could respond, and nothing shows that new ones could not.
    pub fn is_empty_and_reachable(&self) -> bool {
        self.machines == 0 && self.controllers != ControllerReach::Unreachable
    }

    fn most_are_silent(&self) -> bool {
        self.silent * DISRUPTED_DIVISOR > self.machines
    }

    /// The cloud has taken spot machines back; the on-demand ones of the zone still respond.
    fn only_spot_machines_are_silent(&self) -> bool {
        self.on_demand > 0 && self.silent_on_demand == 0
    }
}
