//! Rolling upgrades: which controllers are upgraded, and which is next.

use super::ids::NodeIndex;
use super::network::Network;
use super::process::Version;
use super::script::command::UpgradeOrder;

/// How far an upgrade has got.
pub struct RollingUpgrade {
    /// What controllers run that are not upgraded.
    first_version: Version,
    /// Whether each controller is upgraded.
    is_upgraded: Vec<bool>,
}

impl RollingUpgrade {
    /// No controller is upgraded.
    pub fn new(first_version: Version, controller_count: usize) -> RollingUpgrade {
        RollingUpgrade {
            first_version,
            is_upgraded: vec![false; controller_count],
        }
    }

    /// What controllers run that are not upgraded.
    pub fn first_version(&self) -> Version {
        self.first_version
    }

    /// Whether a controller's settings tell of the limits to come. Where a real earlier version runs, they
    /// are in all settings files; else only upgraded controllers know of them.
    pub fn knows_next_limits(&self, node: NodeIndex) -> bool {
        self.is_upgraded[node.0] || self.first_version == Version::Earlier
    }

    /// Chooses the next controller, which counts as upgraded from now on. `None` if all are.
    pub fn upgrade_next(
        &mut self,
        order: &UpgradeOrder,
        leader: Option<NodeIndex>,
        network: &Network,
    ) -> Option<NodeIndex> {
        let nodes = (0..self.is_upgraded.len()).map(NodeIndex);
        let mut left: Vec<NodeIndex> = nodes.filter(|node| !self.is_upgraded[node.0]).collect();
        let leads = |node: &NodeIndex| Some(*node) == leader;
        match order {
            UpgradeOrder::ByPosition => {}
            UpgradeOrder::LeaderFirst => left.sort_by_key(|node| !leads(node)),
            UpgradeOrder::LeaderLast => left.sort_by_key(leads),
            UpgradeOrder::ZoneFirst(zone) => {
                left.sort_by_key(|node| network.zone_of(*node) != zone);
            }
        }
        let next = left.first().copied()?;
        self.is_upgraded[next.0] = true;
        Some(next)
    }

    /// A controller goes back to the first version. `false` if it is not upgraded.
    pub fn roll_back(&mut self, node: NodeIndex) -> bool {
        std::mem::take(&mut self.is_upgraded[node.0])
    }
}
