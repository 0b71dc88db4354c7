//! Which hosts and zones are unreachable, and which hosts are declared lost.

mod hosts;
pub(crate) mod zones;

pub use hosts::max_heartbeat_delay;

use std::collections::BTreeMap;

use lichencrank_zones::ControllerReach;

use std::time::Duration;

use crate::coordination::Policy;
use crate::types::Time;
use zones::Zones;

/// How often hosts are checked for missed heartbeats.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of unreachable hosts and zones.
pub(crate) struct FailureDetector {
    /// Zones of which this node reaches no other node: what is silent there is partitioned.
    pub zones_without_reachable_peer: Vec<String>,
    /// Zones of which most hosts missed heartbeats, and when that was last so.
    pub(crate) partitioned_zones: BTreeMap<String, Time>,
    /// Whether the controllers of each zone answer this node.
    pub controller_reach_by_zone: BTreeMap<String, ControllerReach>,
    /// The states of zones, where they are tracked.
    pub(crate) zones: Option<Zones>,
    next_check_at: Time,
}

impl FailureDetector {
    pub(crate) fn new(policy: &Policy, now: Time) -> FailureDetector {
        let settings = policy.zones.clone();
        FailureDetector {
            zones_without_reachable_peer: Vec::new(),
            partitioned_zones: BTreeMap::new(),
            controller_reach_by_zone: BTreeMap::new(),
            zones: settings.map(|settings| Zones::new(settings, now)),
            next_check_at: now,
        }
    }

    /// Whether the hosts are to be checked now; the next check follows after the interval.
    pub(crate) fn begin_check(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_check_at;
        if is_due {
            self.next_check_at = now.after(CHECK_INTERVAL);
        }
        is_due
    }
}
