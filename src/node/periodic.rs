//! The node's periodic tasks, and sending what its components have queued.

use super::*;
use lichencrank_store::outcome::RATE_LIMIT_PAUSE;

impl<N: Network> Node<N> {
    /// Runs the tasks that are due.
    pub(super) fn run_periodic_tasks(&mut self) {
        let now = self.network.now();
        let action = self.election.tick(now);
        self.execute_election_action(action);
        self.send_heartbeats(now);
        if let Some(duties) = &self.duties {
            let leader_types = duties.leader.machine_types();
            if !leader_types.is_empty() && self.machine_types.is_empty() {
                self.machine_types = leader_types.to_vec();
            }
        }
        if self.machine_types.is_empty() && now >= self.machine_types_due_at {
            self.machine_types_due_at = now.after(MACHINE_TYPES_RETRY_DELAY);
            let request = StoreRequest::Get(records::MACHINE_TYPES_KEY.to_owned());
            let id =
                self.store
                    .enqueue(now, RequestClass::Records, request, CONTROL_REQUEST_TIMEOUT);
            self.request_origins.insert(id, RequestOrigin::MachineTypes);
        }
        self.log_peer_reachability(now);
        self.update_store_rates(now);
        for job in self.api.take_cancelled_jobs() {
            self.on_job_cancelled(job, self.settings.shared.workers.cancellation_timeout() * 2);
        }
        self.cancelled_jobs
            .retain(|_, expires_at| *expires_at > now);
        self.api.expire_requests(now);
        let is_reachable = self.is_store_reachable(now);
        if is_reachable != self.is_store_logged_as_reachable {
            self.is_store_logged_as_reachable = is_reachable;
            let status = if is_reachable {
                "answers"
            } else {
                "does not answer"
            };
            tracing::info!("the state service {status}");
        }
        if now >= self.locality_check_due_at {
            self.locality_check_due_at = now.after(LOCALITY_CHECK_INTERVAL);
            self.check_zone_isolation(now);
            self.check_leader_locality(now);
        }
        if now >= self.summary_due_at {
            self.summary_due_at = now.after(SUMMARY_INTERVAL);
            self.log_summary();
        }
    }

    /// Logs the state of the queues, the sockets and, while this controller leads, the cluster.
    pub(super) fn log_summary(&mut self) {
        let (queued, oldest_age) = self.store.request_backlog(self.network.now());
        tracing::debug!("state service: {queued} requests queued, the oldest for {oldest_age:?}");
        let sockets = self.network.socket_usage();
        tracing::debug!("sockets: {} of {} in use", sockets.open, sockets.max);
        if let Some(duties) = &self.duties {
            tracing::info!("{}", duties.leader.summary());
            if let Some(wait) = duties.leader.longest_wait(self.network.now()) {
                tracing::info!("{wait}");
            }
            let backlog = duties.leader.write_backlog();
            tracing::debug!(
                "records to write: {} urgent, {} other",
                backlog.urgent,
                backlog.other
            );
        }
        if let Some(histogram) = &mut self.iteration_times_us {
            tracing::debug!(
                "event loop: {} iterations, median {} us, 99th percentile {} us, maximum {} us",
                histogram.len(),
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
                histogram.max()
            );
            histogram.reset();
        }
    }

    /// Sends everything that the components have queued, as far as the rate limits allow.
    pub(super) fn send_pending(&mut self) {
        let now = self.network.now();
        if let Some(duties) = &mut self.duties {
            duties
                .leader
                .set_lease_valid_until(self.election.lease_valid_until());
            duties.run_due_work(&mut self.network, &mut self.store.write_rate_limit, now);
            let term = duties.leader.term();
            for (class, request, timeout, leader_request) in duties.take_requests() {
                let id = self.store.enqueue(now, class, request, timeout);
                self.request_origins
                    .insert(id, RequestOrigin::LeaderDuties(term, leader_request));
            }
            if duties.is_term_raise_due() {
                let action = self.election.begin_term_raise(now);
                self.execute_election_action(action);
            }
        }
        self.flush_api(now);
        loop {
            let now = self.network.now();
            let has_valid_lease = self.election.is_lease_valid(now);
            let Some(next) = self.store.next_outgoing(now, has_valid_lease) else {
                return;
            };
            match next {
                Ok(outgoing) => {
                    let store_address = self.settings.service_addresses.state_service;
                    let call = self.network.call(
                        store_address,
                        outgoing.method,
                        &outgoing.target,
                        &outgoing.body,
                        outgoing.response_timeout,
                    );
                    self.store.on_sent(outgoing.id, call);
                }
                Err(id) => {
                    self.on_outcome(
                        id,
                        Outcome::RateLimited {
                            retry_after: RATE_LIMIT_PAUSE,
                        },
                    );
                    self.flush_api(now);
                }
            }
        }
    }

    /// Carries out the actions that the API requests, until it requests no more.
    pub(super) fn flush_api(&mut self, now: Time) {
        self.api.send_shared_transactions();
        loop {
            let actions = self.api.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    ApiAction::Relay(id, request) => self.relay(id, &request),
                    ApiAction::InformLeader(job) => self.inform_leader(job),
                    ApiAction::Respond(conn, response) => self.network.respond(conn, &response),
                    ApiAction::SendStoreRequest(class, request, purpose) => {
                        // While the state service is unreachable, a short timeout lets the request be relayed to
                        // another controller early.
                        let timeout = if self.is_store_reachable(now) {
                            self.store.response_timeout()
                        } else {
                            UNREACHABLE_STORE_TIMEOUT
                        };
                        let id = self.store.enqueue(now, class, request, timeout);
                        self.request_origins
                            .insert(id, RequestOrigin::ApiServer(purpose));
                    }
                }
            }
        }
    }
}
