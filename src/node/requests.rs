//! Routing of requests from users, workers, health checks and other controllers.

use super::*;

impl<N: Network> Node<N> {
    /// Handles a request. Peers use the internal listener, all others the public one.
    pub(super) fn on_request(
        &mut self,
        conn: ConnectionId,
        listener: ListenerKind,
        request: Request,
    ) {
        let now = self.network.now();
        let path = request.target.split('?').next().unwrap_or("");
        let method = request.method.as_str();
        if listener == ListenerKind::Internal {
            return self.on_peer_request(conn, method, path, &request.body);
        }
        let client = Client {
            conn,
            is_relayed: false,
        };
        let job_path = path.strip_prefix("/api/jobs/");
        let cancelled_job = job_path.and_then(|j| j.strip_suffix("/withdraw"));
        match (method, path, job_path, cancelled_job) {
            ("GET", "/healthz", ..) => {
                let is_healthy = self.is_healthy(now);
                let response = if is_healthy {
                    Response::new(200, Vec::new())
                } else {
                    Response::retry_later(503, 1)
                };
                self.network.respond(conn, &response);
            }
            ("POST", "/agent/beat", ..) => {
                let response = self.on_worker_heartbeat(&request.body);
                self.network.respond(conn, &response);
            }
            ("POST", "/api/jobs", ..) => {
                self.api.submit(
                    client,
                    &request.body,
                    &self.machine_types,
                    self.network.wall_clock_ms(),
                    now,
                );
            }
            ("POST", _, _, Some(id)) => self.api.cancel(client, id, now),
            ("GET", _, Some(id), None) if !id.contains('/') => {
                self.api.query_status(client, id, now)
            }
            (_, "/healthz" | "/agent/beat" | "/api/jobs", ..) | (_, _, _, Some(_)) => {
                self.network.respond(conn, &Response::new(405, Vec::new()));
            }
            (_, _, Some(id), None) if !id.contains('/') => {
                self.network.respond(conn, &Response::new(405, Vec::new()));
            }
            _ => self.network.respond(conn, &Response::new(404, Vec::new())),
        }
    }

    /// Handles a request on the internal listener.
    pub(super) fn on_peer_request(
        &mut self,
        conn: ConnectionId,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let now = self.network.now();
        let client = Client {
            conn,
            is_relayed: true,
        };
        let response = match (method, path) {
            ("POST", peers::HEARTBEAT_PATH) => self.on_peer_heartbeat(body),
            ("POST", peers::CANCELLED_PATH) => self.on_peer_cancellations(body),
            ("POST", peers::RELAY_PATH) => match peers::decode(body) {
                Ok(RelayedRequest::Submit(job_spec)) => {
                    self.api.submit(
                        client,
                        &job_spec,
                        &self.machine_types,
                        self.network.wall_clock_ms(),
                        now,
                    );
                    return;
                }
                Ok(RelayedRequest::Status(id)) => return self.api.query_status(client, &id, now),
                Ok(RelayedRequest::Cancel(id)) => return self.api.cancel(client, &id, now),
                Err(error) => peer_messages::refusal(path, &error),
            },
            _ => Response::new(404, Vec::new()),
        };
        self.network.respond(conn, &response);
    }

    /// Relays a user's request to a peer that reaches the state service.
    pub(super) fn relay(&mut self, id: ApiRequestId, request: &RelayedRequest) {
        let now = self.network.now();
        let peer_with_store = self.peers.iter().find(|p| {
            p.recent_heartbeat(now)
                .is_some_and(|h| h.is_store_reachable)
        });
        let Some(peer) = peer_with_store else {
            return self.api.on_relay_response(id, None, now);
        };
        let peer_address = peer.address;
        let call = peer_messages::send(
            &mut self.network,
            peer_address,
            peers::RELAY_PATH,
            request,
            RELAY_TIMEOUT,
        );
        match call {
            Some(call) => {
                self.relay_calls.insert(call, id);
            }
            None => self.api.on_relay_response(id, None, now),
        }
    }

    /// Records that a worker sends its heartbeats to this controller. Each such worker holds a socket, so the number of
    /// sockets bounds them; the limit is twice that, as workers that have just changed to another controller are still
    /// counted.
    fn record_worker_heartbeat(&mut self, host: &HostName, now: Time) {
        let max_workers =
            MIN_COUNTED_WORKER_LIMIT.max(self.settings.shared.resources.max_sockets * 2);
        if self.worker_heartbeats.len() < max_workers || self.worker_heartbeats.contains_key(host) {
            self.worker_heartbeats.insert(host.clone(), now);
        } else {
            tracing::warn!("{host}: heartbeats of its worker are not counted: the limit of {max_workers} workers is reached");
        }
    }

    /// Handles a worker's heartbeat: as the leader, or on the leader's behalf, or by a redirect to the leader.
    pub(super) fn on_worker_heartbeat(&mut self, body: &[u8]) -> Response {
        let heartbeat: WorkerHeartbeat = match decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                tracing::warn!("rejected a worker heartbeat that could not be decoded: {e}");
                return Response::new(400, Vec::new());
            }
        };
        let now = self.network.now();
        self.record_worker_heartbeat(&heartbeat.host, now);
        if let Some(duties) = &mut self.duties {
            if duties.leader.must_let_leases_expire(now) {
                return Response::retry_later(503, 1);
            }
            if duties.leader.is_token_undecided(heartbeat.fencing_token) {
                // The worker would drop a response with the lower token, and stay here while its lease expires.
                return Response::retry_later(503, 1);
            }
            match duties.leader.on_heartbeat(&heartbeat, now) {
                Ok(commands) => {
                    let fencing_token = duties.leader.fencing_token();
                    return Response::new(
                        200,
                        encode(&HeartbeatResponse {
                            fencing_token,
                            commands: &commands,
                        }),
                    );
                }
                Err(LeadershipLost(term)) => self.on_leadership_lost(term),
            }
        } else {
            let action = self.election.observe_term(heartbeat.fencing_token, None);
            self.execute_election_action(action);
        }
        let proxy_token = self
            .leader_proxy_token(heartbeat.fencing_token, now)
            .or_else(|| self.isolation_proxy_token(&heartbeat, now));
        if let Some(fencing_token) = proxy_token {
            let commands = &self.stop_cancelled_commands(&heartbeat);
            return Response::new(
                200,
                encode(&HeartbeatResponse {
                    fencing_token,
                    commands,
                }),
            );
        }
        let leader = self.election.known_leader.as_deref();
        let leader = leader.filter(|leader| *leader != self.settings.name);
        Response::new(421, encode(&LeaderRedirect { leader }))
    }

    /// The fencing token for a heartbeat response on the leader's behalf. The state service has recently confirmed
    /// that the leader leads, but the leader is unreachable from here. The worker could then not reach it either and
    /// would lose its tasks when its lease expires. Such a response starts no tasks, it only stops those of cancelled
    /// jobs.
    pub(super) fn leader_proxy_token(&self, worker_term: Term, now: Time) -> Option<Term> {
        let (term, leader) = self.election.confirmed_leader(now)?;
        let peer_index = self.settings.peers.iter().position(|p| p.name == leader)?;
        let is_unreachable = !self.peers[peer_index].is_reachable(now);
        (is_unreachable && worker_term <= term).then_some(term)
    }

    /// Whether the controller can serve users. A controller that does not reach the state service relays requests to a
    /// peer that does, so only a controller that reaches neither the state service nor any peer is unhealthy. An outage
    /// of the state service that affects all controllers removes none of them from the load balancer, as they reach
    /// each other.
    pub(super) fn is_healthy(&self, now: Time) -> bool {
        let reaches_a_peer = self.peers.iter().any(|p| p.is_reachable(now));
        self.is_store_reachable(now) || reaches_a_peer || self.peers.is_empty()
    }
}
