//! What is due by time, and sending what is ready.

use super::*;
use lichencrank_store::outcome::RATE_LIMIT_PAUSE;

impl<N: Network> Node<N> {
    pub(super) fn due(&mut self) {
        let now = self.net.now();
        let action = self.leadership.tick(now);
        self.grant(action);
        self.send_heartbeats(now);
        if let Some(duties) = &self.duties {
            let known_types = duties.controller.machine_types();
            if !known_types.is_empty() && self.types.is_empty() {
                self.types = known_types.to_vec();
            }
        }
        if self.types.is_empty() && now >= self.types_due {
            self.types_due = now.after(TYPES_RETRY);
            let ask = StoreRequest::Get(records::MACHINE_TYPES_KEY.to_owned());
            let id = self
                .store
                .enqueue(now, RequestClass::Records, ask, LEAD_LIMIT);
            self.purposes.insert(id, Purpose::Types);
        }
        self.log_peer_reachability(now);
        self.share_budgets(now);
        for job in self.api.take_cancelled_jobs() {
            self.on_cancelled(job, self.settings.shared.workers.cancellation_timeout() * 2);
        }
        self.cancelled.retain(|_, until| *until > now);
        self.api.expire_requests(now);
        let answers = self.state_answers(now);
        if answers != self.state_ok {
            self.state_ok = answers;
            let how = if answers {
                "answers"
            } else {
                "does not answer"
            };
            tracing::info!("the state service {how}");
        }
        if now >= self.locality_at {
            self.locality_at = now.after(LOCALITY_INTERVAL);
            self.check_zone_isolation(now);
            self.check_leader_locality(now);
        }
        if now >= self.summary_at {
            self.summary_at = now.after(SUMMARY_EVERY);
            self.log_summary();
        }
    }

    pub(super) fn log_summary(&mut self) {
        let (waiting, oldest) = self.store.request_backlog(self.net.now());
        tracing::debug!("state service: {waiting} requests wait, the oldest for {oldest:?}");
        let sockets = self.net.socket_usage();
        tracing::debug!("sockets: {} of {}", sockets.open, sockets.max);
        if let Some(duties) = &self.duties {
            tracing::info!("{}", duties.controller.summary());
            if let Some(wait) = duties.controller.longest_wait(self.net.now()) {
                tracing::info!("{wait}");
            }
            let backlog = duties.controller.write_backlog();
            tracing::debug!(
                "records to write: {} urgent, {} others",
                backlog.urgent,
                backlog.other
            );
        }
        if let Some(turns) = &mut self.turns {
            tracing::debug!(
                "turns: {}, half within {} us, 99% within {} us, at most {} us",
                turns.len(),
                turns.value_at_quantile(0.5),
                turns.value_at_quantile(0.99),
                turns.max()
            );
            turns.reset();
        }
    }

    /// Sends all that is ready and allowed.
    pub(super) fn pump(&mut self) {
        let now = self.net.now();
        if let Some(duties) = &mut self.duties {
            duties
                .controller
                .set_lease_valid_until(self.leadership.lease_valid_until());
            duties.turn(&mut self.net, &mut self.store.write_rate_limit, now);
            let term = duties.controller.term();
            for (class, ask, limit, what) in duties.take_pending() {
                let id = self.store.enqueue(now, class, ask, limit);
                self.purposes.insert(id, Purpose::LeaderDuties(term, what));
            }
        }
        self.flush_front(now);
        loop {
            let now = self.net.now();
            let may_book = self.leadership.is_lease_valid(now);
            let Some(next) = self.store.next_outgoing(now, may_book) else {
                return;
            };
            match next {
                Ok(out) => {
                    let state = self.settings.service_addresses.state_service;
                    let call = self.net.call(
                        state,
                        out.method,
                        &out.target,
                        &out.body,
                        out.response_timeout,
                    );
                    self.store.on_sent(out.id, call);
                }
                Err(id) => {
                    self.on_outcome(
                        id,
                        Outcome::RateLimited {
                            retry_after: RATE_LIMIT_PAUSE,
                        },
                    );
                    self.flush_front(now);
                }
            }
        }
    }

    /// Does what the front wants, until it wants nothing more.
    pub(super) fn flush_front(&mut self, now: Time) {
        self.api.send_shared_transactions();
        loop {
            let acts = self.api.take_actions();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                match act {
                    ApiAction::Relay(id, relay) => self.relay(id, &relay),
                    ApiAction::InformLeader(job) => self.inform_leader(job),
                    ApiAction::Respond(conn, response) => self.net.respond(conn, &response),
                    ApiAction::SendStoreRequest(class, ask, what) => {
                        // Where nothing is answered another node is asked without much ado.
                        let limit = if self.state_answers(now) {
                            self.store.response_timeout()
                        } else {
                            UNANSWERED_LIMIT
                        };
                        let id = self.store.enqueue(now, class, ask, limit);
                        self.purposes.insert(id, Purpose::ApiServer(what));
                    }
                }
            }
        }
    }
}
