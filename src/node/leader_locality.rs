//! Leader locality: which controller is best placed to lead. The leader should be in the zone with the most hosts,
//! and should receive the heartbeats of most workers.

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_zones::{ControllerReach, DampingSettings, FlapDamping};

use super::{Node, CAMPAIGN_DELAY, TRANSFER_DELAY, WORKER_HEARTBEAT_VALIDITY};
use crate::coordination::WorkerReach;
use crate::protocol::cloud::MachineType;
use crate::transport::Network;
use crate::types::{Term, Time};

/// How long it is remembered that no controller of the home zone claimed the free key in an election. During that time
/// a leader that is partitioned from the home zone does not resign in its favour, as the controllers there cannot reach
/// the state service whenever the home zone is partitioned.
const HOME_ZONE_ABSENCE: Duration = Duration::from_secs(600);

/// What this controller knows about the zones that matters for the choice of the leader.
#[derive(Debug, Default)]
pub(super) struct Locality {
    /// The home zone: the zone with the most hosts, as far as this controller knows.
    pub(super) home_zone: Option<String>,
    /// Since when this controller's zone has been partitioned from the other zones and from the state service.
    pub(super) zone_isolated_since: Option<Time>,
    /// Since when a peer has been better placed to lead than this controller, which leads.
    better_peer_since: Option<Time>,
    home_zone_flaps: HomeZoneFlaps,
}

/// The partitions between this controller and the home zone.
#[derive(Debug, Default)]
struct HomeZoneFlaps {
    damping: FlapDamping,
    is_partitioned: bool,
    /// When this controller last won an election in which no controller of the home zone could take part.
    won_without_home_zone_at: Option<Time>,
}

/// After one partition the leadership is not transferred to the home zone for three minutes, after several for
/// longer.
fn home_zone_damping() -> DampingSettings {
    DampingSettings {
        half_life_s: 180.0,
        reuse_threshold: 500.0,
        ..DampingSettings::default()
    }
}

impl HomeZoneFlaps {
    /// Updates the damping. `is_partitioned` says whether this leader reaches neither the controllers of the home zone
    /// nor most workers. Unreachable controllers alone are no partition.
    fn update(&mut self, is_partitioned: bool, now: Time) {
        let settings = home_zone_damping();
        if is_partitioned && !self.is_partitioned {
            self.damping.on_loss(now, &settings);
        }
        self.is_partitioned = is_partitioned;
        self.damping.update(now, &settings);
    }

    /// Whether the home zone has recently been unreachable. It may soon be so again, and a leader there would then
    /// have to be replaced.
    fn is_unstable(&self, now: Time) -> bool {
        let settings = home_zone_damping();
        self.damping.penalty(now, &settings) >= settings.reuse_threshold
    }

    /// Whether the controllers of the home zone are known to be unable to claim a free key while they are unreachable.
    fn is_absent_when_partitioned(&self, now: Time) -> bool {
        self.won_without_home_zone_at
            .is_some_and(|won_at| now.since(won_at) < HOME_ZONE_ABSENCE)
    }
}

impl<N: Network> Node<N> {
    /// Records that this controller won an election. Controllers of the home zone campaign first. So if this controller
    /// is in another zone and reaches none of them, none of them could claim the key.
    pub(super) fn on_election_won(&mut self, now: Time) {
        if !self.is_in_home_zone() && !self.is_home_zone_reachable(now) {
            self.locality.home_zone_flaps.won_without_home_zone_at = Some(now);
        }
    }

    /// Whether a peer in the home zone is reachable.
    fn is_home_zone_reachable(&self, now: Time) -> bool {
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(peer_settings, peer)| {
            Some(&peer_settings.zone) == self.locality.home_zone.as_ref() && peer.is_reachable(now)
        })
    }

    /// Sets the campaign delay and, as the leader, transfers the leadership if a peer is better placed. During a
    /// partition between zones, workers that do not reach the leader lose their tasks. So controllers of the home zone
    /// campaign first, and a leader in another zone, or one that most workers do not reach, resigns.
    pub(super) fn check_leader_locality(&mut self, now: Time) {
        self.worker_heartbeats
            .retain(|_, received_at| now.since(*received_at) < WORKER_HEARTBEAT_VALIDITY);
        if self.locality.home_zone.is_none() {
            self.locality.home_zone = zone_with_most_machine_types(&self.machine_types);
        }
        self.election.campaign_delay = self.campaign_delay();
        let unreachable_zones = self.unreachable_zones(now);
        let controller_reach = self.controller_reach_by_zone(now);
        let Some(duties) = &mut self.duties else {
            return;
        };
        duties
            .leader
            .set_controller_reach(unreachable_zones, controller_reach);
        let worker_reach = duties.leader.worker_reach(now);
        if worker_reach.home_zone.is_some() {
            self.locality.home_zone.clone_from(&worker_reach.home_zone);
        }
        let is_home_zone_partitioned = worker_reach.is_partitioned()
            && !self.is_in_home_zone()
            && !self.is_home_zone_reachable(now);
        self.locality
            .home_zone_flaps
            .update(is_home_zone_partitioned, now);
        let peer_has_more_workers = self.has_peer_with_more_workers(&worker_reach, now);
        let has_better_peer = peer_has_more_workers || self.has_fit_peer_in_home_zone(now);
        if has_better_peer {
            self.locality.better_peer_since.get_or_insert(now);
        } else {
            self.locality.better_peer_since = None;
        }
        let better_peer_for = self
            .locality
            .better_peer_since
            .map(|since| now.since(since));
        let is_transfer_due = better_peer_for.is_some_and(|time| time >= TRANSFER_DELAY)
            && !self.locality.home_zone_flaps.is_unstable(now);
        // A leader that is partitioned from the home zone can't see whether the controllers there are fit to lead, but
        // they will find the key free if it resigns. The leader doesn't resign if a controller of its own zone has just
        // resigned without success.
        let can_resign_for_home_zone = !self.is_in_home_zone()
            && !self.has_zone_peer_resigned()
            && !self
                .locality
                .home_zone_flaps
                .is_absent_when_partitioned(now);
        let should_resign_now =
            worker_reach.is_partitioned() && (can_resign_for_home_zone || peer_has_more_workers);
        if (is_transfer_due || should_resign_now) && self.election.is_lease_valid(now) {
            self.transfer_leadership(&worker_reach, now);
        }
    }

    /// Whether this controller is in the home zone, or there is only one zone, or the home zone is unknown.
    fn is_in_home_zone(&self) -> bool {
        let has_several_zones = self.settings.shared.zones.len() > 1;
        !has_several_zones
            || self
                .locality
                .home_zone
                .as_ref()
                .is_none_or(|zone| *zone == self.settings.zone)
    }

    /// How long the leader's key must have been free before this controller claims it.
    fn campaign_delay(&self) -> Duration {
        let has_several_zones = self.settings.shared.zones.len() > 1;
        let knows_nothing = self.machine_types.is_empty() && self.election.highest_term == Term(0);
        if has_several_zones && knows_nothing {
            CAMPAIGN_DELAY * 2
        } else if !self.is_in_home_zone() {
            CAMPAIGN_DELAY
        } else {
            Duration::ZERO
        }
    }

    /// Whether a peer that reaches the state service is in the home zone while this controller is not.
    fn has_fit_peer_in_home_zone(&self, now: Time) -> bool {
        if self.is_in_home_zone() {
            return false;
        }
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(peer_settings, peer)| {
            let reaches_store = peer
                .recent_heartbeat(now)
                .is_some_and(|h| h.is_store_reachable);
            reaches_store && Some(&peer_settings.zone) == self.locality.home_zone.as_ref()
        })
    }

    /// Whether most workers do not reach this controller, and a peer that reaches the state service receives the
    /// heartbeats of more of them. Right after a partition a peer still counts workers that are about to change to this
    /// controller, so a peer is considered only after it has been reachable for the settling time.
    fn has_peer_with_more_workers(&self, worker_reach: &WorkerReach, now: Time) -> bool {
        if !worker_reach.is_partitioned() {
            return false;
        }
        let settling_time = self.settling_time();
        self.peers.iter().any(|peer| {
            let reachable_for = peer.reachable_for(now);
            let has_settled = reachable_for.is_some_and(|time| time >= settling_time);
            let has_more_workers = peer.recent_heartbeat(now).is_some_and(|h| {
                h.is_store_reachable
                    && !h.has_transferred_leadership
                    && h.reporting_worker_count as usize > worker_reach.reachable_hosts
            });
            has_settled && has_more_workers
        })
    }

    /// Whether a peer of this controller's zone had recently resigned as the leader when it sent its last heartbeat.
    fn has_zone_peer_resigned(&self) -> bool {
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(peer_settings, peer)| {
            peer_settings.zone == self.settings.zone
                && peer
                    .last_heartbeat()
                    .is_some_and(|h| h.has_transferred_leadership)
        })
    }

    /// Resigns as the leader, unless this controller has recently done so.
    fn transfer_leadership(&mut self, worker_reach: &WorkerReach, now: Time) {
        self.locality.better_peer_since = None;
        let action = self.election.resign(now);
        if action.is_some() {
            let WorkerReach {
                reachable_hosts,
                known_hosts,
                ..
            } = worker_reach;
            tracing::info!(
                "resigning as the leader: {reachable_hosts} of {known_hosts} hosts reach this controller"
            );
        }
        self.execute_election_action(action);
    }

    /// For each zone, whether any of its controllers is reachable from this one.
    fn controller_reach_by_zone(&self, now: Time) -> BTreeMap<String, ControllerReach> {
        let mut reach_by_zone = BTreeMap::new();
        for (peer_settings, peer) in self.settings.peers.iter().zip(&self.peers) {
            let reach = reach_by_zone
                .entry(peer_settings.zone.clone())
                .or_insert(ControllerReach::Unreachable);
            if peer.is_reachable(now) {
                *reach = ControllerReach::Reachable;
            }
        }
        reach_by_zone.insert(self.settings.zone.clone(), ControllerReach::Reachable);
        reach_by_zone
    }

    /// Zones of which no controller is reachable.
    fn unreachable_zones(&self, now: Time) -> Vec<String> {
        let peers = || self.settings.peers.iter().zip(&self.peers);
        let is_zone_reachable = |zone: &str| {
            *zone == self.settings.zone
                || peers().any(|(peer_settings, peer)| {
                    peer_settings.zone == zone && peer.is_reachable(now)
                })
        };
        let zones = peers().map(|(peer_settings, _)| peer_settings.zone.clone());
        zones.filter(|zone| !is_zone_reachable(zone)).collect()
    }
}

/// The zone that offers the most machine types: an estimate of the home zone until hosts are known.
fn zone_with_most_machine_types(machine_types: &[MachineType]) -> Option<String> {
    let mut type_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for zone in machine_types.iter().flat_map(|t| &t.zones) {
        *type_counts.entry(zone).or_default() += 1;
    }
    let largest = type_counts.iter().max_by_key(|(_, count)| **count);
    largest.map(|(zone, _)| (*zone).to_owned())
}
