//! Where the leader sits: near the machines, and where it hears most of them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Node, CAMPAIGN_DELAY, TRANSFER_AFTER, WORKERS_FOR};
use crate::coordination::Reach;
use crate::protocol::cloud::MachineType;
use crate::transport::Network;
use crate::types::{Term, Time};

impl<N: Network> Node<N> {
    /// Where the leader sits matters when zones are cut apart: workers that can't reach it lose
    /// their work. So nodes of the zone with the most machines go first, and a leader elsewhere, or
    /// one that most workers don't reach, makes room.
    pub(super) fn check_leader_locality(&mut self, now: Time) {
        self.workers.retain(|_, at| now.since(*at) < WORKERS_FOR);
        if self.home.is_none() {
            self.home = widest_zone(&self.types);
        }
        self.leadership.campaign_delay = self.campaign_delay();
        let unheard = self.unheard_zones(now);
        let Some(duties) = &mut self.duties else {
            return;
        };
        duties.controller.unheard_zones = unheard;
        let reach = duties.controller.reach(now);
        if reach.home.is_some() {
            self.home.clone_from(&reach.home);
        }
        let better_placed = self.has_better_placed_peer(&reach, now);
        if better_placed {
            self.better_since.get_or_insert(now);
        } else {
            self.better_since = None;
        }
        let calm = self
            .better_since
            .is_some_and(|at| now.since(at) >= TRANSFER_AFTER);
        // Cut off from the home zone, its nodes can't be heard either; they will find the key free.
        // Unless one of our own zone has just tried that in vain.
        let away = !self.is_at_home() && !self.transferred_in_vain();
        let cut_off = reach.is_cut_off() && (away || better_placed);
        if (calm || cut_off) && self.leadership.is_certain(now) {
            self.transfer_leadership(&reach, now);
        }
    }

    /// Whether this node is in the zone with the most machines, or there is but one zone.
    fn is_at_home(&self) -> bool {
        let several = self.settings.settings.zones.len() > 1;
        !several || self.home.as_ref().is_none_or(|z| *z == self.settings.zone)
    }

    /// How long this node lets a free key lie before it takes it.
    fn campaign_delay(&self) -> Duration {
        let several = self.settings.settings.zones.len() > 1;
        let nothing_known = self.types.is_empty() && self.leadership.term == Term(0);
        if several && nothing_known {
            CAMPAIGN_DELAY * 2
        } else if !self.is_at_home() {
            CAMPAIGN_DELAY
        } else {
            Duration::ZERO
        }
    }

    /// Whether a peer that the state service answers is at home while this node is not, or hears more
    /// workers than this one, which most of them don't reach.
    fn has_better_placed_peer(&self, reach: &Reach, now: Time) -> bool {
        let away = !self.is_at_home();
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(named, peer)| {
            peer.recent_heartbeat(now).is_some_and(|h| {
                let hears_more = h.workers as usize > reach.heard && !h.transferred_leadership;
                let hears_more = hears_more && reach.is_cut_off();
                let at_home = away && Some(&named.zone) == self.home.as_ref();
                h.state_ok && (hears_more || at_home)
            })
        })
    }

    /// Whether a peer of this zone has just transferred the leadership away.
    fn transferred_in_vain(&self) -> bool {
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(named, peer)| {
            named.zone == self.settings.zone
                && peer
                    .last_heartbeat()
                    .is_some_and(|h| h.transferred_leadership)
        })
    }

    fn transfer_leadership(&mut self, reach: &Reach, now: Time) {
        self.better_since = None;
        let action = self.leadership.resign(now);
        if action.is_some() {
            let Reach { heard, known, .. } = reach;
            tracing::info!("{heard} of {known} machines are heard here: leadership is transferred");
        }
        self.grant(action);
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
