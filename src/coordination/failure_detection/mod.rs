//! Which hosts and zones are unreachable, and which hosts are declared lost.

mod hosts;
pub(crate) mod zones;

pub use hosts::longest_report_delay;

use std::collections::BTreeMap;

use lichencrank_zones::ControllerReach;

use crate::coordination::Policy;
use crate::types::Time;
use zones::Zones;

/// What is known of unreachable hosts and zones.
pub(crate) struct FailureDetector {
    /// Zones of which this node reaches no other node: what is silent there is partitioned.
    pub zones_without_reachable_peer: Vec<String>,
    /// Zones of which most hosts missed heartbeats, and when that was last so.
    pub(crate) partitioned_zones: BTreeMap<String, Time>,
    /// Whether the controllers of each zone answer this node.
    pub zone_controllers: BTreeMap<String, ControllerReach>,
    /// The states of zones, where they are tracked.
    pub(crate) zones: Option<Zones>,
    pub(crate) next_check_at: Time,
}

impl FailureDetector {
    pub(crate) fn new(policy: &Policy, now: Time) -> FailureDetector {
        let settings = policy.zones.clone();
        FailureDetector {
            zones_without_reachable_peer: Vec::new(),
            partitioned_zones: BTreeMap::new(),
            zone_controllers: BTreeMap::new(),
            zones: settings.map(|settings| Zones::new(settings, now)),
            next_check_at: now,
        }
    }
}
