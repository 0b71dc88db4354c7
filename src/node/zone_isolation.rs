//! What a controller does for the workers of its zone while the zone is cut off from everything else.
//!
//! A zone that is cut off has no leader that could hear from its workers, and its controllers can't ask
//! the state service who leads. The workers' leases must not end for that: a controller of the zone
//! answers them with the highest term that it knows of. It starts nothing and stops cancelled work.

use std::time::Duration;

use super::Node;
use crate::protocol::workers::WorkerHeartbeat;
use crate::transport::Network;
use crate::types::{Term, Time};

/// Of the time that cancelled work has beyond a worker's lease, this part may pass before the answers
/// end. Whoever is cut off hears of no cancellation, so the leases end soon enough for every one that is
/// confirmed elsewhere meanwhile, even if nobody can release the machines.
const ANSWERED_PART: f64 = 0.75;

impl<N: Network> Node<N> {
    /// Notes whether this node's zone seems to be cut off.
    pub(super) fn check_zone_isolation(&mut self, now: Time) {
        let isolated = self.hears_only_own_zone(now) && !self.state_answers(now);
        match (isolated, self.locality.zone_isolated_since) {
            (true, None) => {
                tracing::info!("{} is cut off from the other zones", self.settings.zone);
                self.locality.zone_isolated_since = Some(now);
            }
            (false, Some(_)) => {
                tracing::info!("{} is no longer cut off", self.settings.zone);
                self.locality.zone_isolated_since = None;
            }
            _ => {}
        }
    }

    /// Whether no controller of another zone answers, while those of this zone do. A node whose peers
    /// are all silent is cut off alone, unless it is the only one of its zone.
    fn hears_only_own_zone(&self, now: Time) -> bool {
        let peers = || self.settings.peers.iter().zip(&self.peers);
        let is_own = |zone: &str| zone == self.settings.zone;
        let mut own = peers().filter(|(named, _)| is_own(&named.zone)).peekable();
        let mut others = peers().filter(|(named, _)| !is_own(&named.zone)).peekable();
        let hears_own = own.peek().is_none() || own.any(|(_, peer)| peer.is_reachable(now));
        let has_others = others.peek().is_some();
        hears_own && has_others && !others.any(|(_, peer)| peer.is_reachable(now))
    }

    /// The token to answer a worker with while the zone of both is cut off. It is that of a leader that
    /// was elected, and the worker has obeyed one before; a worker that reports for the first time is
    /// sent on, so that it finds whoever can use it.
    pub(super) fn proxies_in_isolation(&self, report: &WorkerHeartbeat, now: Time) -> Option<Term> {
        let since = self.locality.zone_isolated_since?;
        let workers = &self.settings.shared.workers;
        let spare = workers
            .cancellation_timeout()
            .saturating_sub(workers.lease());
        let in_time = now.since(since) <= spare.mul_f64(ANSWERED_PART);
        let fenced =
            report.fencing_token > Term(0) && report.fencing_token <= self.leadership.highest_term;
        let ours = report.zone == self.settings.zone && !self.leadership.is_leading();
        (in_time && fenced && ours && !self.leader_answers_here(now))
            .then_some(self.leadership.highest_term)
    }

    /// Whether a leader is reachable, so that the worker can go there itself.
    fn leader_answers_here(&self, now: Time) -> bool {
        let leader = self.leadership.known_leader.as_deref();
        let mut peers = self.settings.peers.iter().zip(&self.peers);
        peers.any(|(named, peer)| leader == Some(&named.name) && peer.is_reachable(now))
    }

    /// For how long a peer has to answer before the workers that it counts say where a leader hears the
    /// most: by then every healthy worker has tried this leader once.
    pub(super) fn settling_time(&self) -> Duration {
        crate::coordination::max_heartbeat_delay(self.settings.shared.workers.heartbeat_interval())
    }
}
