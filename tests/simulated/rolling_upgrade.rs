//! Rolling upgrades: which controllers are upgraded, and which one is next.

use super::ids::NodeIndex;
use super::network::Network;
use super::process::Version;
use super::script::command::UpgradeOrder;

/// The progress of an upgrade.
pub struct RollingUpgrade {
    /// The version of controllers that are not upgraded.
    first_version: Version,
    /// Whether each controller is upgraded, by its index.
    is_upgraded: Vec<bool>,
}

impl RollingUpgrade {
    /// An upgrade that has not started.
    pub fn new(first_version: Version, controller_count: usize) -> RollingUpgrade {
        RollingUpgrade {
            first_version,
            is_upgraded: vec![false; controller_count],
        }
    }

    /// The version of controllers that are not upgraded.
    pub fn first_version(&self) -> Version {
        self.first_version
    }

    /// Whether a controller's settings file contains the next limits of the key-value store. If the first version
    /// is an earlier one, all settings files contain them. Otherwise an upgrade only changes the settings, so only
    /// those of upgraded controllers contain them.
    pub fn knows_next_limits(&self, node: NodeIndex) -> bool {
        self.is_upgraded[node.0] || self.first_version == Version::Earlier
    }

    /// Chooses the next controller and marks it as upgraded. `None` if all controllers are upgraded.
    pub fn upgrade_next(
        &mut self,
        order: &UpgradeOrder,
        leader: Option<NodeIndex>,
        network: &Network,
    ) -> Option<NodeIndex> {
        let nodes = (0..self.is_upgraded.len()).map(NodeIndex);
        let mut remaining: Vec<NodeIndex> =
            nodes.filter(|node| !self.is_upgraded[node.0]).collect();
        let leads = |node: &NodeIndex| Some(*node) == leader;
        match order {
            UpgradeOrder::ByPosition => {}
            UpgradeOrder::LeaderFirst => remaining.sort_by_key(|node| !leads(node)),
            UpgradeOrder::LeaderLast => remaining.sort_by_key(leads),
            UpgradeOrder::ZoneFirst(zone) => {
                remaining.sort_by_key(|node| network.zone_of(*node) != zone);
            }
        }
        let next = remaining.first().copied()?;
        self.is_upgraded[next.0] = true;
        Some(next)
    }

    /// Marks a controller as not upgraded any more. `false` if it was not upgraded.
    pub fn roll_back(&mut self, node: NodeIndex) -> bool {
        std::mem::take(&mut self.is_upgraded[node.0])
    }
}
