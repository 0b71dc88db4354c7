//! Failure detection: which hosts and zones are unreachable, and which hosts are declared lost.

mod hosts;
pub(crate) mod zones;

pub use hosts::max_heartbeat_delay;

use std::collections::BTreeMap;

use lichencrank_zones::ControllerReach;

use std::time::Duration;

use crate::coordination::Policy;
use crate::types::Time;
use zones::ZoneMonitor;

/// Interval between two checks of all hosts for missed heartbeats.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What the leader knows of unreachable zones. The state of a single host is kept with the host.
pub(crate) struct FailureDetector {
    /// Zones in which this controller reaches no other one. A silent host there counts as partitioned rather than
    /// failed.
    pub zones_without_reachable_peer: Vec<String>,
    /// Zones most of whose hosts were found silent, with the time of the last such check. The empty name stands for
    /// hosts whose zone is not known.
    pub(crate) partitioned_zones: BTreeMap<String, Time>,
    /// By zone, whether its controllers answer this one.
    pub controller_reach_by_zone: BTreeMap<String, ControllerReach>,
    /// The states of zones; `None` if zone tracking is disabled.
    pub(crate) zone_monitor: Option<ZoneMonitor>,
    /// Whether the process was paused for longer than its lease, and the lease has not been valid since. Another leader
    /// may have changed everything meanwhile.
    pub(crate) is_outdated_by_pause: bool,
    next_check_at: Time,
}

impl FailureDetector {
    pub(crate) fn new(policy: &Policy, now: Time) -> FailureDetector {
        let zone_settings = policy.zones.clone();
        FailureDetector {
            zones_without_reachable_peer: Vec::new(),
            partitioned_zones: BTreeMap::new(),
            controller_reach_by_zone: BTreeMap::new(),
            zone_monitor: zone_settings.map(|settings| ZoneMonitor::new(settings, now)),
            is_outdated_by_pause: false,
            next_check_at: now,
        }
    }

    /// Returns whether a check of all hosts is due. If so, the next one is due after [`CHECK_INTERVAL`].
    pub(crate) fn begin_check(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_check_at;
        if is_due {
            self.next_check_at = now.after(CHECK_INTERVAL);
        }
        is_due
    }
}
