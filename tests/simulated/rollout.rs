//! Rolling upgrades of the simulated controllers, and breaking them off.

use super::process::Version;
use super::{Event, World};

/// Which controller is upgraded next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeOrder {
    ByNumber,
    LeaderFirst,
    LeaderLast,
    /// All of that zone before the others.
    ZoneFirst(String),
}

/// How long a controller is down when its version is replaced.
const RESTART_MS: u64 = 2000;

impl World {
    /// Every controller is upgraded, one each `every_ms`.
    pub(super) fn schedule_upgrade(&mut self, every_ms: u64, order: &UpgradeOrder) {
        for step in 0..self.slots.len() as u64 {
            let when = self.now() + step * every_ms;
            self.at(when, Event::Upgrade(order.clone()));
        }
    }

    /// Those that are upgraded by then go back to the version before, one each `every_ms`.
    pub(super) fn schedule_roll_back(&mut self, every_ms: u64) {
        for node in 0..self.slots.len() {
            let when = self.now() + node as u64 * every_ms;
            self.at(when, Event::RollBack(node));
        }
    }

    pub(super) fn upgrade_next(&mut self, order: &UpgradeOrder) {
        let Some(node) = self.next_to_upgrade(order) else {
            return;
        };
        self.slots[node].upgraded = true;
        self.replace(node, Version::Current);
        self.mark("upgraded");
    }

    pub(super) fn roll_back(&mut self, node: usize) {
        if !std::mem::take(&mut self.slots[node].upgraded) {
            return;
        }
        self.replace(node, self.launcher.first);
        self.mark("rolled-back");
    }

    fn next_to_upgrade(&self, order: &UpgradeOrder) -> Option<usize> {
        let mut left: Vec<usize> = (0..self.slots.len())
            .filter(|n| !self.slots[*n].upgraded)
            .collect();
        let leads = |n: &usize| Some(*n) == self.leader;
        match order {
            UpgradeOrder::ByNumber => {}
            UpgradeOrder::LeaderFirst => left.sort_by_key(|n| !leads(n)),
            UpgradeOrder::LeaderLast => left.sort_by_key(leads),
            UpgradeOrder::ZoneFirst(zone) => {
                left.sort_by_key(|n| self.slots[*n].settings.zone != *zone);
            }
        }
        left.first().copied()
    }

    /// The process ends and comes back with that version and its settings.
    fn replace(&mut self, node: usize, version: Version) {
        let (json, settings) = self.settings_of(node, self.slots[node].upgraded);
        let slot = &mut self.slots[node];
        slot.version = version;
        slot.settings_json = json;
        slot.settings = settings;
        self.kill(node, Some(RESTART_MS));
    }

    /// Where real earlier versions run, all read the settings file of the new one. Else the upgraded
    /// ones are told of the next limits, and the others are not.
    pub(super) fn settings_of(
        &self,
        node: usize,
        upgraded: bool,
    ) -> (String, lichencrank::settings::Settings) {
        let told = upgraded || self.launcher.first == Version::Earlier;
        let json = self.site.settings(node, told);
        let settings = lichencrank::settings::Settings::parse(&json);
        (json, settings.expect("the settings of a scenario"))
    }

    /// Marks who took over from whom.
    pub(super) fn mark_takeover(&mut self) {
        self.mark("takeover");
        let Some(leader) = self.leader else { return };
        let version = self.slots[leader].version;
        match (self.leader_version.replace(version), version) {
            (Some(Version::Current), Version::Earlier) => self.mark("earlier-after-current"),
            (Some(Version::Earlier), Version::Current) => self.mark("current-after-earlier"),
            _ => {}
        }
    }
}
