//! Where the leader sits: near the machines, and where it hears most of them.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_zones::{ControllerReach, DampingSettings, FlapDamping};

use super::{Node, CAMPAIGN_DELAY, TRANSFER_AFTER, WORKERS_FOR};
use crate::coordination::WorkerReach;
use crate::protocol::cloud::MachineType;
use crate::transport::Network;
use crate::types::{Term, Time};

/// After an election in which no node of the home zone claimed the free key, none is waited for in
/// the next cuts: the state service is out of their reach whenever the home zone is cut off.
const HOME_ABSENT_FOR: Duration = Duration::from_secs(600);

/// What this node knows of zones, as far as it matters for who leads.
#[derive(Debug, Default)]
pub(super) struct Locality {
    /// The zone that holds the most machines, as far as this node has heard.
    pub(super) home: Option<String>,
    /// Since when this node's zone has been cut off from everything else.
    pub(super) zone_isolated_since: Option<Time>,
    /// Since when a peer in the home zone has been fit to lead while this node does.
    better_since: Option<Time>,
    home_flaps: HomeFlaps,
}

/// What this node has seen of cuts between itself and the home zone.
#[derive(Debug, Default)]
struct HomeFlaps {
    damping: FlapDamping,
    is_cut_off: bool,
    /// When this node last won an election in which no node of the home zone took part.
    won_without_home: Option<Time>,
}

/// After one cut no leader moves to the home zone for three minutes, after several for longer.
fn home_damping() -> DampingSettings {
    DampingSettings {
        half_life_s: 180.0,
        reuse_threshold: 500.0,
        ..DampingSettings::default()
    }
}

impl HomeFlaps {
    /// Whether this leader hears neither nodes nor most machines of the home zone: a node that is away
    /// alone is no cut.
    fn update(&mut self, is_cut_off: bool, now: Time) {
        let settings = home_damping();
        if is_cut_off && !self.is_cut_off {
            self.damping.on_loss(now, &settings);
        }
        self.is_cut_off = is_cut_off;
        self.damping.update(now, &settings);
    }

    /// Whether the home zone was out of reach lately. It may be again soon, and then a leader there
    /// would have to be replaced.
    fn is_unsteady(&self, now: Time) -> bool {
        let settings = home_damping();
        self.damping.penalty(now, &settings) >= settings.reuse_threshold
    }

    /// Whether the nodes of the home zone can't claim a free key while they can't be heard.
    fn home_is_absent_in_cuts(&self, now: Time) -> bool {
        self.won_without_home
            .is_some_and(|at| now.since(at) < HOME_ABSENT_FOR)
    }
}

impl<N: Network> Node<N> {
    /// An election was won. Nodes at home go first, so if this one is away from home and hears none of
    /// them, none of them could claim the key.
    pub(super) fn note_election_won(&mut self, now: Time) {
        if !self.is_at_home() && !self.reaches_home(now) {
            self.locality.home_flaps.won_without_home = Some(now);
        }
    }

    /// Whether a peer in the home zone answers.
    fn reaches_home(&self, now: Time) -> bool {
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(named, peer)| {
            Some(&named.zone) == self.locality.home.as_ref() && peer.is_reachable(now)
        })
    }

    /// Where the leader sits matters when zones are cut apart: workers that can't reach it lose
    /// their work. So nodes of the zone with the most machines go first, and a leader elsewhere, or
    /// one that most workers don't reach, makes room.
    pub(super) fn check_leader_locality(&mut self, now: Time) {
        self.workers.retain(|_, at| now.since(*at) < WORKERS_FOR);
        if self.locality.home.is_none() {
            self.locality.home = widest_zone(&self.types);
        }
        self.leadership.campaign_delay = self.campaign_delay();
        let unheard = self.unheard_zones(now);
        let controllers = self.zone_controllers(now);
        let Some(duties) = &mut self.duties else {
            return;
        };
        duties.controller.set_controller_reach(unheard, controllers);
        let reach = duties.controller.worker_reach(now);
        if reach.home_zone.is_some() {
            self.locality.home.clone_from(&reach.home_zone);
        }
        let home_is_cut_off =
            reach.is_partitioned() && !self.is_at_home() && !self.reaches_home(now);
        self.locality.home_flaps.update(home_is_cut_off, now);
        let hears_more = self.has_peer_that_hears_more(&reach, now);
        let better_placed = hears_more || self.has_peer_at_home(now);
        if better_placed {
            self.locality.better_since.get_or_insert(now);
        } else {
            self.locality.better_since = None;
        }
        let waited = self.locality.better_since.map(|at| now.since(at));
        let calm = waited.is_some_and(|waited| waited >= TRANSFER_AFTER)
            && !self.locality.home_flaps.is_unsteady(now);
        // Cut off from the home zone, its nodes can't be heard either; they will find the key free.
        // Unless one of our own zone has just tried that in vain.
        let away = !self.is_at_home()
            && !self.transferred_in_vain()
            && !self.locality.home_flaps.home_is_absent_in_cuts(now);
        let cut_off = reach.is_partitioned() && (away || hears_more);
        if (calm || cut_off) && self.leadership.is_lease_valid(now) {
            self.transfer_leadership(&reach, now);
        }
    }

    /// Whether this node is in the zone with the most machines, or there is but one zone.
    fn is_at_home(&self) -> bool {
        let several = self.settings.shared.zones.len() > 1;
        !several
            || self
                .locality
                .home
                .as_ref()
                .is_none_or(|z| *z == self.settings.zone)
    }

    /// How long this node lets a free key lie before it takes it.
    fn campaign_delay(&self) -> Duration {
        let several = self.settings.shared.zones.len() > 1;
        let nothing_known = self.types.is_empty() && self.leadership.highest_term == Term(0);
        if several && nothing_known {
            CAMPAIGN_DELAY * 2
        } else if !self.is_at_home() {
            CAMPAIGN_DELAY
        } else {
            Duration::ZERO
        }
    }

    /// Whether a peer that the state service answers is at home while this node is not.
    fn has_peer_at_home(&self, now: Time) -> bool {
        if self.is_at_home() {
            return false;
        }
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(named, peer)| {
            let answers = peer
                .recent_heartbeat(now)
                .is_some_and(|h| h.is_store_reachable);
            answers && Some(&named.zone) == self.locality.home.as_ref()
        })
    }

    /// Whether most workers don't reach this node, and a peer that the state service answers hears more
    /// of them. Right after a cut a peer still counts workers that are about to come here.
    fn has_peer_that_hears_more(&self, reach: &WorkerReach, now: Time) -> bool {
        if !reach.is_partitioned() {
            return false;
        }
        let settling_time = self.settling_time();
        self.peers.iter().any(|peer| {
            let reachable_for = peer.reachable_for(now);
            let settled = reachable_for.is_some_and(|time| time >= settling_time);
            let hears_more = peer.recent_heartbeat(now).is_some_and(|h| {
                h.is_store_reachable
                    && !h.has_transferred_leadership
                    && h.reporting_worker_count as usize > reach.reachable_hosts
            });
            settled && hears_more
        })
    }

    /// Whether a peer of this zone has just transferred the leadership away.
    fn transferred_in_vain(&self) -> bool {
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(named, peer)| {
            named.zone == self.settings.zone
                && peer
                    .last_heartbeat()
                    .is_some_and(|h| h.has_transferred_leadership)
        })
    }

    fn transfer_leadership(&mut self, reach: &WorkerReach, now: Time) {
        self.locality.better_since = None;
        let action = self.leadership.resign(now);
        if action.is_some() {
            let WorkerReach {
                reachable_hosts: heard,
                known_hosts: known,
                ..
            } = reach;
            tracing::info!("{heard} of {known} machines are heard here: leadership is transferred");
        }
        self.grant(action);
    }

    /// Whether the controllers of each zone answer this one.
    fn zone_controllers(&self, now: Time) -> BTreeMap<String, ControllerReach> {
        let mut zones = BTreeMap::new();
        for (named, peer) in self.settings.peers.iter().zip(&self.peers) {
            let reach = zones
                .entry(named.zone.clone())
                .or_insert(ControllerReach::Unreachable);
            if peer.is_reachable(now) {
                *reach = ControllerReach::Reachable;
            }
        }
        zones.insert(self.settings.zone.clone(), ControllerReach::Reachable);
        zones
    }

    /// Zones of which no node can be heard.
    fn unheard_zones(&self, now: Time) -> Vec<String> {
        let named = || self.settings.peers.iter().zip(&self.peers);
        let heard = |zone: &str| {
            *zone == self.settings.zone
                || named().any(|(n, p)| n.zone == zone && p.is_reachable(now))
        };
        let zones = named().map(|(n, _)| n.zone.clone());
        zones.filter(|z| !heard(z)).collect()
    }
}

/// The zone that offers the most machine types: a first guess at where the machines will be.
fn widest_zone(types: &[MachineType]) -> Option<String> {
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for zone in types.iter().flat_map(|t| &t.zones) {
        *zones.entry(zone).or_default() += 1;
    }
    let widest = zones.iter().max_by_key(|(_, count)| **count);
    widest.map(|(zone, _)| (*zone).to_owned())
}
