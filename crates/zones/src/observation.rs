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
pub struct HostObservation {
    /// Whether its heartbeats are missing, or it doesn't receive commands.
    pub is_silent: bool,
    /// Whether it is a spot machine, which the cloud may take back at any time.
    pub is_spot: bool,
}

/// What is observed of one zone at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    /// Machines whose heartbeats some leader has received and that were not given up. Machines that still
    /// boot don't count: their silence says nothing.
    pub hosts: usize,
    /// How many of the machines are silent.
    pub silent_hosts: usize,
    /// How many of the machines are on-demand, not spot ones.
    pub on_demand_hosts: usize,
    /// How many of the on-demand machines are silent.
    pub silent_on_demand_hosts: usize,
    /// Whether the zone's controllers answer.
    pub controllers: ControllerReach,
}

/// So few silent machines may have failed independently; only if the controllers don't answer either do
/// they prove anything about the zone.
const MIN_SILENT_HOSTS: usize = 3;
/// A zone is disrupted if more than one in that many machines is silent.
const DISRUPTED_DIVISOR: usize = 2;
/// Up to one in that many machines may be silent without the zone being the cause.
const INDEPENDENT_FAILURES_DIVISOR: usize = 10;

impl ZoneObservation {
    /// Counts one machine.
    pub fn add(&mut self, host: HostObservation) {
        self.hosts += 1;
        self.silent_hosts += usize::from(host.is_silent);
        if !host.is_spot {
            self.on_demand_hosts += 1;
            self.silent_on_demand_hosts += usize::from(host.is_silent);
        }
    }

    /// Whether machines and controllers together show that the zone is cut off, rather than that machines
    /// failed independently.
    pub fn is_disrupted(&self) -> bool {
        let unreachable = self.controllers == ControllerReach::Unreachable;
        if self.silent_hosts < MIN_SILENT_HOSTS {
            return unreachable && self.hosts > 0 && self.silent_hosts == self.hosts;
        }
        if !unreachable && self.only_spot_hosts_are_silent() {
            return false;
        }
        self.most_are_silent()
    }

    /// Whether at least half of the machines respond, which proves that the zone is reachable.
    pub fn most_hosts_respond(&self) -> bool {
        self.hosts > 0 && !self.is_disrupted() && !self.most_are_silent()
    }

    /// Whether no more machines are silent than fail independently.
    pub fn nearly_all_hosts_respond(&self) -> bool {
        self.silent_hosts < MIN_SILENT_HOSTS
            || self.silent_hosts * INDEPENDENT_FAILURES_DIVISOR <= self.hosts
    }

    /// Whether there is no machine that could respond, and nothing shows that new ones could not.
    pub fn is_empty_and_reachable(&self) -> bool {
        self.hosts == 0 && self.controllers != ControllerReach::Unreachable
    }

    fn most_are_silent(&self) -> bool {
        self.silent_hosts * DISRUPTED_DIVISOR > self.hosts
    }

    /// The cloud has taken spot machines back; the on-demand ones of the zone still respond.
    fn only_spot_hosts_are_silent(&self) -> bool {
        self.on_demand_hosts > 0 && self.silent_on_demand_hosts == 0
    }
}
