//! Heartbeats: what the controllers tell each other once a second, and what each makes of it.

use std::net::SocketAddr;
use std::time::Duration;

use super::{peer_messages, Node, HEADROOM};
use crate::protocol::peers::{self, PeerHeartbeat, StoreUsage};
use crate::transport::{CallError, CallId, Network, Response};
use crate::types::{JobId, Term, Time};
use lichencrank_store::rate_limit::node_share;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);
/// A peer that has not answered for longer is unreachable.
const REACHABLE_FOR: Duration = Duration::from_secs(3);

/// What this controller knows of one of its peers.
pub(super) struct PeerLink {
    pub(super) addr: SocketAddr,
    /// The heartbeat under way.
    call: Option<CallId>,
    due: Time,
    sent_at: Time,
    /// When the last heartbeat that it answered was sent, whatever the answer said.
    reached_at: Option<Time>,
    /// Since when its answers have come without a break.
    reachable_since: Time,
    /// The last answer that was understood, and when the heartbeat before it was sent.
    heartbeat: Option<(Time, PeerHeartbeat)>,
    logged_reachable: bool,
}

impl PeerLink {
    pub(super) fn new(addr: SocketAddr) -> PeerLink {
        PeerLink {
            addr,
            call: None,
            due: Time::default(),
            sent_at: Time::default(),
            reached_at: None,
            reachable_since: Time::default(),
            heartbeat: None,
            logged_reachable: true,
        }
    }

    /// Whether that call is the heartbeat under way.
    pub(super) fn awaits(&self, call: CallId) -> bool {
        self.call == Some(call)
    }

    /// The next heartbeat leaves at once.
    pub(super) fn hurry(&mut self, now: Time) {
        self.due = now;
    }

    /// It answered lately. An answer that is not understood, such as one of another version, shows
    /// as well as any other that the peer is there.
    pub(super) fn is_reachable(&self, now: Time) -> bool {
        self.reached_at
            .is_some_and(|at| now.since(at) < REACHABLE_FOR)
    }

    /// For how long it has been reachable.
    pub(super) fn reachable_for(&self, now: Time) -> Option<Duration> {
        self.is_reachable(now)
            .then(|| now.since(self.reachable_since))
    }

    fn answered_heartbeat(&mut self, now: Time) {
        if !self.is_reachable(now) {
            self.reachable_since = now;
        }
        self.reached_at = Some(self.sent_at);
    }

    /// What it said last, if that is not too long ago.
    pub(super) fn recent_heartbeat(&self, now: Time) -> Option<&PeerHeartbeat> {
        let (at, heartbeat) = self.heartbeat.as_ref()?;
        (now.since(*at) < REACHABLE_FOR).then_some(heartbeat)
    }

    /// What it said last, however long ago.
    pub(super) fn last_heartbeat(&self) -> Option<&PeerHeartbeat> {
        self.heartbeat.as_ref().map(|(_, heartbeat)| heartbeat)
    }
}

impl<N: Network> Node<N> {
    fn heartbeat(&self) -> PeerHeartbeat {
        let now = self.net.now();
        PeerHeartbeat {
            sender: self.settings.name.clone(),
            term: self.leadership.highest_term.0,
            leader: self.leadership.known_leader.clone(),
            is_store_reachable: self.state_answers(now),
            home_zone: self.locality.home.clone(),
            reporting_worker_count: self.workers.len() as u32,
            has_transferred_leadership: self.leadership.has_recently_resigned(now),
            store_usage: StoreUsage {
                requests_per_s: self.spends.0.ceil() as u32,
                changes_per_s: self.spends.1.ceil() as u32,
            },
            recent_cancellations: self.recent_cancellations(),
        }
    }

    /// Sends a heartbeat to each peer to which one is due.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let is_due = |peer: &PeerLink| peer.call.is_none() && now >= peer.due;
        if !self.peers.iter().any(is_due) {
            return;
        }
        let heartbeat = self.heartbeat();
        for peer in self.peers.iter_mut().filter(|peer| is_due(peer)) {
            peer.due = now.after(HEARTBEAT_INTERVAL);
            peer.sent_at = now;
            peer.call = peer_messages::send(
                &mut self.net,
                peer.addr,
                peers::HEARTBEAT_PATH,
                &heartbeat,
                HEARTBEAT_TIMEOUT,
            );
        }
    }

    /// A peer's heartbeat may be a late copy: of it only the term and the cancellations count, which
    /// never go back. That a peer is reachable shows in its answers to our own.
    pub(super) fn on_heartbeat(&mut self, body: &[u8]) -> Response {
        match peers::decode(body) {
            Ok(heartbeat) => {
                self.learn_from_heartbeat(&heartbeat);
                peer_messages::response(&self.heartbeat())
            }
            Err(error) => peer_messages::refusal(peers::HEARTBEAT_PATH, &error),
        }
    }

    /// The answer to the heartbeat that was sent to this peer. It tells how things were at some time
    /// after that heartbeat left.
    pub(super) fn on_heartbeat_answer(&mut self, peer: usize, result: Result<Response, CallError>) {
        let now = self.net.now();
        let peer = &mut self.peers[peer];
        peer.call = None;
        if result.is_ok() {
            peer.answered_heartbeat(now);
        }
        let answer: Option<PeerHeartbeat> = peer_messages::answer(peers::HEARTBEAT_PATH, result);
        if let Some(heartbeat) = answer {
            peer.heartbeat = Some((peer.sent_at, heartbeat.clone()));
            self.learn_from_heartbeat(&heartbeat);
        }
    }

    fn learn_from_heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        let longest = self.settings.shared.workers.cancellation_timeout() * 2;
        for cancelled in &heartbeat.recent_cancellations {
            let remaining = Duration::from_millis(u64::from(cancelled.remaining_ms));
            self.on_cancelled(JobId(cancelled.job), remaining.min(longest));
        }
        let term = Term(heartbeat.term);
        let action = self
            .leadership
            .observe_term(term, heartbeat.leader.as_deref());
        self.grant(action);
    }

    /// A controller that falls silent shows in the logs of the others.
    pub(super) fn log_peer_reachability(&mut self, now: Time) {
        for (named, peer) in self.settings.peers.iter().zip(&mut self.peers) {
            let reachable = peer.is_reachable(now);
            // At the start all are given the time to answer.
            let started = now >= Time::default().after(REACHABLE_FOR);
            if started && reachable != peer.logged_reachable {
                peer.logged_reachable = reachable;
                let how = if reachable {
                    "heard again"
                } else {
                    "not heard"
                };
                tracing::info!("{}: {how}", named.name);
            }
        }
    }

    /// The nodes share the state service's budgets: each spends what the others leave.
    pub(super) fn share_budgets(&mut self, now: Time) {
        let passed = now.since(self.spent_at);
        if passed < HEARTBEAT_INTERVAL {
            return;
        }
        self.spent_at = now;
        let spent = self.store.total_spent();
        let rate = |now: f64, before: f64| (now - before) / passed.as_secs_f64();
        self.spends = (rate(spent.0, self.spent.0), rate(spent.1, self.spent.1));
        self.spent = spent;
        let mut others = (0.0, 0.0);
        for heartbeat in self.peers.iter().filter_map(|p| p.recent_heartbeat(now)) {
            others.0 += f64::from(heartbeat.store_usage.requests_per_s);
            others.1 += f64::from(heartbeat.store_usage.changes_per_s);
        }
        let state = &self.settings.shared.state_service;
        let nodes = self.peers.len() + 1;
        let rps = node_share(state.requests_per_s * HEADROOM, nodes, others.0);
        let write_rps = node_share(state.changes_per_s * HEADROOM, nodes, others.1);
        self.store.set_rates(now, rps, write_rps);
    }
}
