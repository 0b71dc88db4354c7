//! Gossip: what the controllers tell each other once a second, and what is made of it.

use std::time::Duration;

use super::{Node, HEADROOM, HEARD_FOR, HELLO_EVERY};
use crate::bookkeeping::budget::share_of;
use crate::protocol::peers::{self, Hello};
use crate::transport::{Network, Response};
use crate::types::{JobId, Term, Time};

impl<N: Network> Node<N> {
    pub(super) fn hello(&self) -> Hello {
        Hello {
            from: self.settings.name.clone(),
            term: self.leadership.term.0,
            leader: self.leadership.leader.clone(),
            state_ok: self.state_answers(self.net.now()),
            home: self.home.clone(),
            workers: self.workers.len() as u32,
            made_room: self.leadership.made_room(self.net.now()),
            spends: (self.spends.0.ceil() as u32, self.spends.1.ceil() as u32),
            cancelled: self.cancelled_to_tell(),
        }
    }

    /// A peer's gossip may be a late copy: of it only the term counts, which never goes back. That
    /// a peer is there shows in its answers to our own.
    pub(super) fn on_hello(&mut self, body: &[u8]) -> Response {
        match peers::decode(body) {
            Some(hello) => {
                self.term_from_peer(&hello);
                Response::new(200, peers::encode(&self.hello()))
            }
            None => Response::new(400, Vec::new()),
        }
    }

    pub(super) fn term_from_peer(&mut self, hello: &Hello) {
        let most = self.settings.settings.workers.cancel() * 2;
        for (job, left) in &hello.cancelled {
            let left = Duration::from_millis(u64::from(*left)).min(most);
            self.on_cancelled(JobId(*job), left);
        }
        let term = Term(hello.term);
        let wish = self.leadership.heard_of(term, hello.leader.as_deref());
        self.grant(wish);
    }

    /// A controller that falls silent shows in the logs of the others.
    pub(super) fn tell_of_peers(&mut self, now: Time) {
        for (named, peer) in self.settings.peers.iter().zip(&mut self.peers) {
            let heard = peer.heard.as_ref();
            let heard = heard.is_some_and(|(at, _)| now.since(*at) < HEARD_FOR);
            // At the start all are given the time to answer.
            if heard != peer.told_heard && now >= Time::default().after(HEARD_FOR) {
                peer.told_heard = heard;
                let how = if heard { "heard again" } else { "not heard" };
                log::info!("{}: {how}", named.name);
            }
        }
    }

    /// The nodes share the state service's budgets: each spends what the others leave.
    pub(super) fn share_budgets(&mut self, now: Time) {
        let passed = now.since(self.spent_at);
        if passed < HELLO_EVERY {
            return;
        }
        self.spent_at = now;
        let spent = self.store.spent();
        let rate = |now: f64, before: f64| (now - before) / passed.as_secs_f64();
        self.spends = (rate(spent.0, self.spent.0), rate(spent.1, self.spent.1));
        self.spent = spent;
        let heard = self.peers.iter().filter(|p| self.hears(p, now));
        let others = heard.filter_map(|p| p.heard.as_ref().map(|(_, h)| h.spends));
        let others = others.fold((0.0, 0.0), |sum: (f64, f64), spends| {
            (sum.0 + f64::from(spends.0), sum.1 + f64::from(spends.1))
        });
        let state = &self.settings.settings.state;
        let nodes = self.peers.len() + 1;
        let rps = share_of(state.rps * HEADROOM, nodes, others.0);
        let write_rps = share_of(state.write_rps * HEADROOM, nodes, others.1);
        self.store.set_rates(now, rps, write_rps);
    }
}
