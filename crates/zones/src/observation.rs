//! What a scheduler observes of a zone, and whether the zone is therefore disrupted.

/// Whether the controllers of a zone answer the observer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControllerReach {
    /// The zone has no controller.
    #[default]
    NoController,
    /// At least one controller answers, or the observer itself is in the zone.
    Reachable,
    /// The zone has controllers, but none answers.
    Unreachable,
}

/// What is observed of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostObservation {
    /// Whether the host's heartbeats are missing, or it doesn't receive commands.
    pub is_silent: bool,
    /// Whether it is a spot host, which the cloud may reclaim at any time.
    pub is_spot: bool,
}

/// What is observed of one zone at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    /// Hosts that have sent a heartbeat to some leader, or should have by now, and that are not being
    /// released. Hosts that may still be booting don't count: their silence says nothing about the zone.
    pub hosts: usize,
    /// How many of the hosts are silent.
    pub silent_hosts: usize,
    /// How many of the hosts are on-demand hosts rather than spot hosts.
    pub on_demand_hosts: usize,
    /// How many of the on-demand hosts are silent.
    pub silent_on_demand_hosts: usize,
    /// Whether the zone's controllers answer.
    pub controllers: ControllerReach,
}

/// Fewer silent hosts than this may have failed independently. They count as a disruption of the zone only if
/// they are all of its hosts and its controllers don't answer either.
const MIN_SILENT_HOSTS: usize = 3;
/// A zone is disrupted if more than one in this many of its hosts is silent.
const DISRUPTED_DIVISOR: usize = 2;
/// Up to one in this many hosts of a healthy zone may be silent, having failed independently.
const INDEPENDENT_FAILURES_DIVISOR: usize = 10;

impl ZoneObservation {
    /// Counts one host.
    pub fn add(&mut self, host: HostObservation) {
        self.hosts += 1;
        self.silent_hosts += usize::from(host.is_silent);
        if !host.is_spot {
            self.on_demand_hosts += 1;
            self.silent_on_demand_hosts += usize::from(host.is_silent);
        }
    }

    /// Whether hosts and controllers together show that the zone is cut off, rather than that hosts failed
    /// independently.
    pub fn is_disrupted(&self) -> bool {
        let are_controllers_unreachable = self.controllers == ControllerReach::Unreachable;
        if self.silent_hosts < MIN_SILENT_HOSTS {
            return are_controllers_unreachable
                && self.hosts > 0
                && self.silent_hosts == self.hosts;
        }
        if !are_controllers_unreachable && self.only_spot_hosts_are_silent() {
            return false;
        }
        self.most_are_silent()
    }

    /// Whether at least half of the hosts respond, which proves that the zone is reachable.
    pub fn most_hosts_respond(&self) -> bool {
        self.hosts > 0 && !self.is_disrupted() && !self.most_are_silent()
    }

    /// Whether so few hosts are silent that they may have failed independently.
    pub fn nearly_all_hosts_respond(&self) -> bool {
        self.silent_hosts < MIN_SILENT_HOSTS
            || self.silent_hosts * INDEPENDENT_FAILURES_DIVISOR <= self.hosts
    }

    /// Whether the zone has no host that could respond, and nothing shows that new hosts couldn't.
    pub fn is_empty_and_reachable(&self) -> bool {
        self.hosts == 0 && self.controllers != ControllerReach::Unreachable
    }

    fn most_are_silent(&self) -> bool {
        self.silent_hosts * DISRUPTED_DIVISOR > self.hosts
    }

    /// Whether on-demand hosts exist and all respond: the cloud has then reclaimed the silent spot hosts.
    fn only_spot_hosts_are_silent(&self) -> bool {
        self.on_demand_hosts > 0 && self.silent_on_demand_hosts == 0
    }
}
