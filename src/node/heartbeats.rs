//! Heartbeats between controllers, sent once a second, and what a controller learns from them.

use std::net::SocketAddr;
use std::time::Duration;

use super::{peer_messages, Node, USABLE_BUDGET_FRACTION};
use crate::protocol::peers::{self, PeerHeartbeat, StoreUsage};
use crate::transport::{CallError, CallId, Network, Response};
use crate::types::{JobId, Term, Time};
use lichencrank_store::rate_limit::client_share;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);
/// A peer is unreachable once the last heartbeat that it answered was sent this long ago.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// The heartbeats to one peer, and what they show about it.
pub(super) struct PeerLink {
    pub(super) address: SocketAddr,
    /// The heartbeat in flight.
    heartbeat_call: Option<CallId>,
    heartbeat_due_at: Time,
    heartbeat_sent_at: Time,
    /// When the last heartbeat that the peer answered was sent, whatever the response was.
    answered_heartbeat_sent_at: Option<Time>,
    /// Since when the peer has been reachable without interruption.
    reachable_since: Time,
    /// The last response that could be decoded, and when the heartbeat that it answers was sent.
    last_response: Option<(Time, PeerHeartbeat)>,
    /// Whether the last log line about the peer said that it answers.
    is_logged_as_reachable: bool,
}

impl PeerLink {
    pub(super) fn new(address: SocketAddr) -> PeerLink {
        PeerLink {
            address,
            heartbeat_call: None,
            heartbeat_due_at: Time::default(),
            heartbeat_sent_at: Time::default(),
            answered_heartbeat_sent_at: None,
            reachable_since: Time::default(),
            last_response: None,
            is_logged_as_reachable: true,
        }
    }

    /// Whether the call is the heartbeat in flight.
    pub(super) fn is_awaiting(&self, call: CallId) -> bool {
        self.heartbeat_call == Some(call)
    }

    /// Makes the next heartbeat due at `now`.
    pub(super) fn schedule_heartbeat_now(&mut self, now: Time) {
        self.heartbeat_due_at = now;
    }

    /// Whether the peer has recently answered a heartbeat. A response that can't be decoded, such as one of another
    /// version, counts too, as it also shows that the peer is up.
    pub(super) fn is_reachable(&self, now: Time) -> bool {
        self.answered_heartbeat_sent_at
            .is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// How long the peer has been reachable without interruption; `None` if it is unreachable.
    pub(super) fn reachable_for(&self, now: Time) -> Option<Duration> {
        self.is_reachable(now)
            .then(|| now.since(self.reachable_since))
    }

    /// Records that the heartbeat in flight was answered.
    fn on_heartbeat_answered(&mut self, now: Time) {
        if !self.is_reachable(now) {
            self.reachable_since = now;
        }
        self.answered_heartbeat_sent_at = Some(self.heartbeat_sent_at);
    }

    /// The peer's last heartbeat, if it is recent.
    pub(super) fn recent_heartbeat(&self, now: Time) -> Option<&PeerHeartbeat> {
        let (sent_at, heartbeat) = self.last_response.as_ref()?;
        (now.since(*sent_at) < PEER_TIMEOUT).then_some(heartbeat)
    }

    /// The peer's last heartbeat, however old.
    pub(super) fn last_heartbeat(&self) -> Option<&PeerHeartbeat> {
        self.last_response.as_ref().map(|(_, heartbeat)| heartbeat)
    }
}

impl<N: Network> Node<N> {
    /// The heartbeat that describes this controller.
    fn own_heartbeat(&self) -> PeerHeartbeat {
        let now = self.network.now();
        PeerHeartbeat {
            sender: self.settings.name.clone(),
            term: self.election.highest_term.0,
            leader: self.election.known_leader.clone(),
            is_store_reachable: self.is_store_reachable(now),
            home_zone: self.locality.home_zone.clone(),
            reporting_worker_count: self.worker_heartbeats.len() as u32,
            has_transferred_leadership: self.election.has_recently_resigned(now),
            store_usage: StoreUsage {
                requests_per_s: self.store_usage_per_s.0.ceil() as u32,
                changes_per_s: self.store_usage_per_s.1.ceil() as u32,
            },
            recent_cancellations: self.recent_cancellations(),
        }
    }

    /// Sends a heartbeat to each peer for which one is due.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let is_due =
            |peer: &PeerLink| peer.heartbeat_call.is_none() && now >= peer.heartbeat_due_at;
        if !self.peers.iter().any(is_due) {
            return;
        }
        let heartbeat = self.own_heartbeat();
        for peer in self.peers.iter_mut().filter(|peer| is_due(peer)) {
            peer.heartbeat_due_at = now.after(HEARTBEAT_INTERVAL);
            peer.heartbeat_sent_at = now;
            peer.heartbeat_call = peer_messages::send(
                &mut self.network,
                peer.address,
                peers::HEARTBEAT_PATH,
                &heartbeat,
                HEARTBEAT_TIMEOUT,
            );
        }
    }

    /// Handles a peer's heartbeat. It may be a delayed duplicate, so only the term and the cancellations are applied,
    /// which are never undone. The peer's reachability is derived from its responses to this controller's heartbeats
    /// instead.
    pub(super) fn on_peer_heartbeat(&mut self, body: &[u8]) -> Response {
        match peers::decode(body) {
            Ok(heartbeat) => {
                self.apply_peer_heartbeat(&heartbeat);
                peer_messages::response(&self.own_heartbeat())
            }
            Err(error) => peer_messages::refusal(peers::HEARTBEAT_PATH, &error),
        }
    }

    /// Handles the result of the heartbeat that was sent to a peer. A response describes the peer's state at some
    /// time after that heartbeat was sent.
    pub(super) fn on_heartbeat_response(
        &mut self,
        peer_index: usize,
        result: Result<Response, CallError>,
    ) {
        let now = self.network.now();
        let peer = &mut self.peers[peer_index];
        peer.heartbeat_call = None;
        if result.is_ok() {
            peer.on_heartbeat_answered(now);
        }
        let response: Option<PeerHeartbeat> =
            peer_messages::decode_response(peers::HEARTBEAT_PATH, result);
        if let Some(heartbeat) = response {
            peer.last_response = Some((peer.heartbeat_sent_at, heartbeat.clone()));
            self.apply_peer_heartbeat(&heartbeat);
        }
    }

    /// Applies the cancellations and the term of a peer's heartbeat.
    fn apply_peer_heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        let max_remaining = self.settings.shared.workers.cancellation_timeout() * 2;
        for cancelled in &heartbeat.recent_cancellations {
            let remaining = Duration::from_millis(u64::from(cancelled.remaining_ms));
            self.on_job_cancelled(JobId(cancelled.job), remaining.min(max_remaining));
        }
        let term = Term(heartbeat.term);
        let action = self
            .election
            .observe_term(term, heartbeat.leader.as_deref());
        self.execute_election_action(action);
    }

    /// Logs peers that became unreachable or reachable.
    pub(super) fn log_peer_reachability(&mut self, now: Time) {
        for (peer_settings, peer) in self.settings.peers.iter().zip(&mut self.peers) {
            let is_reachable = peer.is_reachable(now);
            // After the start, the peers first get the time to answer.
            let is_startup_over = now >= Time::default().after(PEER_TIMEOUT);
            if is_startup_over && is_reachable != peer.is_logged_as_reachable {
                peer.is_logged_as_reachable = is_reachable;
                let status = if is_reachable {
                    "answers heartbeats again"
                } else {
                    "does not answer heartbeats"
                };
                tracing::info!("{}: {status}", peer_settings.name);
            }
        }
    }

    /// Updates this controller's share of the state service's rate limits to what the other controllers leave of them.
    pub(super) fn update_store_rates(&mut self, now: Time) {
        let elapsed = now.since(self.store_usage_measured_at);
        if elapsed < HEARTBEAT_INTERVAL {
            return;
        }
        self.store_usage_measured_at = now;
        let total_usage = self.store.total_spent();
        let rate_per_s = |current: f64, previous: f64| (current - previous) / elapsed.as_secs_f64();
        self.store_usage_per_s = (
            rate_per_s(total_usage.0, self.store_usage_total.0),
            rate_per_s(total_usage.1, self.store_usage_total.1),
        );
        self.store_usage_total = total_usage;
        let mut peer_usage_per_s = (0.0, 0.0);
        for heartbeat in self.peers.iter().filter_map(|p| p.recent_heartbeat(now)) {
            peer_usage_per_s.0 += f64::from(heartbeat.store_usage.requests_per_s);
            peer_usage_per_s.1 += f64::from(heartbeat.store_usage.changes_per_s);
        }
        let state = &self.settings.shared.state_service;
        let controller_count = self.peers.len() + 1;
        let requests_per_s = client_share(
            state.requests_per_s * USABLE_BUDGET_FRACTION,
            controller_count,
            peer_usage_per_s.0,
        );
        let changes_per_s = client_share(
            state.changes_per_s * USABLE_BUDGET_FRACTION,
            controller_count,
            peer_usage_per_s.1,
        );
        self.store.set_rates(now, requests_per_s, changes_per_s);
    }
}
