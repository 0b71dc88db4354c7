//! Heartbeat responses to the workers of an isolated zone, which is partitioned from all other zones and from the
//! state service.
//!
//! The workers of an isolated zone may reach no leader, and its controllers can't read from the state service who
//! leads. So that the workers' leases do not expire for that reason, a controller of the zone responds to their
//! heartbeats with the highest term that it knows. It starts no tasks, and stops those of cancelled jobs.

use std::time::Duration;

use super::Node;
use crate::protocol::workers::WorkerHeartbeat;
use crate::transport::Network;
use crate::types::{Term, Time};

/// The part of the difference between the cancellation timeout and a worker's lease for which heartbeats in an isolated
/// zone are responded to. An isolated zone learns of no cancellation, so the workers' leases have to expire in time for
/// every cancellation that is confirmed elsewhere meanwhile, even if nobody can release the hosts.
const RESPONSE_PERIOD_FRACTION: f64 = 0.75;

impl<N: Network> Node<N> {
    /// Updates whether this controller's zone seems to be isolated.
    pub(super) fn check_zone_isolation(&mut self, now: Time) {
        let is_isolated = self.reaches_only_own_zone(now) && !self.is_store_reachable(now);
        match (is_isolated, self.locality.zone_isolated_since) {
            (true, None) => {
                tracing::info!(
                    "zone {} is partitioned from the other zones and the state service",
                    self.settings.zone
                );
                self.locality.zone_isolated_since = Some(now);
            }
            (false, Some(_)) => {
                tracing::info!(
                    "zone {} is no longer partitioned from the other zones and the state service",
                    self.settings.zone
                );
                self.locality.zone_isolated_since = None;
            }
            _ => {}
        }
    }

    /// Whether no controller of another zone is reachable while one of this zone is. A controller that reaches no peer
    /// at all is partitioned by itself, unless it is the only one of its zone.
    fn reaches_only_own_zone(&self, now: Time) -> bool {
        let peers = || self.settings.peers.iter().zip(&self.peers);
        let is_own_zone = |zone: &str| zone == self.settings.zone;
        let mut zone_peers = peers()
            .filter(|(peer_settings, _)| is_own_zone(&peer_settings.zone))
            .peekable();
        let mut remote_peers = peers()
            .filter(|(peer_settings, _)| !is_own_zone(&peer_settings.zone))
            .peekable();
        let reaches_own_zone =
            zone_peers.peek().is_none() || zone_peers.any(|(_, peer)| peer.is_reachable(now));
        let has_remote_peers = remote_peers.peek().is_some();
        reaches_own_zone
            && has_remote_peers
            && !remote_peers.any(|(_, peer)| peer.is_reachable(now))
    }

    /// The fencing token for a heartbeat response to a worker while the zone of both is isolated: the term of an
    /// elected leader. The worker must have accepted a term before; a worker without one is redirected instead, so that
    /// it finds a leader that can place tasks on its host.
    pub(super) fn isolation_proxy_token(
        &self,
        heartbeat: &WorkerHeartbeat,
        now: Time,
    ) -> Option<Term> {
        let isolated_since = self.locality.zone_isolated_since?;
        let workers = &self.settings.shared.workers;
        let slack = workers
            .cancellation_timeout()
            .saturating_sub(workers.lease());
        let is_in_time = now.since(isolated_since) <= slack.mul_f64(RESPONSE_PERIOD_FRACTION);
        let has_known_term = heartbeat.fencing_token > Term(0)
            && heartbeat.fencing_token <= self.election.highest_term;
        let is_zone_follower = heartbeat.zone == self.settings.zone && !self.election.is_leading();
        (is_in_time && has_known_term && is_zone_follower && !self.is_leader_reachable(now))
            .then_some(self.election.highest_term)
    }

    /// Whether the leader is reachable from this controller, so that the worker can change to it.
    fn is_leader_reachable(&self, now: Time) -> bool {
        let leader = self.election.known_leader.as_deref();
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(peer_settings, peer)| {
            leader == Some(&peer_settings.name) && peer.is_reachable(now)
        })
    }

    /// How long a peer has to have been reachable before the number of workers that it reports is compared with the
    /// leader's: after this time every healthy worker has tried to reach this leader once.
    pub(super) fn settling_time(&self) -> Duration {
        crate::coordination::max_heartbeat_delay(self.settings.shared.workers.heartbeat_interval())
    }
}
