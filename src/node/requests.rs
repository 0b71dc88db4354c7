//! Requests of users, workers, health checks and other controllers: who serves which.

use super::*;

impl<N: Network> Node<N> {
    pub(super) fn on_request(
        &mut self,
        conn: ConnectionId,
        listener: ListenerKind,
        request: Request,
    ) {
        let now = self.net.now();
        let path = request.target.split('?').next().unwrap_or("");
        let method = request.method.as_str();
        if listener == ListenerKind::Internal {
            return self.on_peer_request(conn, method, path, &request.body);
        }
        let client = Client {
            conn,
            is_relayed: false,
        };
        let job = path.strip_prefix("/api/jobs/");
        let cancelled = job.and_then(|j| j.strip_suffix("/withdraw"));
        match (method, path, job, cancelled) {
            ("GET", "/healthz", ..) => {
                let healthy = self.is_healthy(now);
                let response = if healthy {
                    Response::new(200, Vec::new())
                } else {
                    Response::retry_later(503, 1)
                };
                self.net.respond(conn, &response);
            }
            ("POST", "/agent/beat", ..) => {
                let response = self.on_beat(&request.body);
                self.net.respond(conn, &response);
            }
            ("POST", "/api/jobs", ..) => {
                self.api.submit(
                    client,
                    &request.body,
                    &self.types,
                    self.net.wall_clock_ms(),
                    now,
                );
            }
            ("POST", _, _, Some(id)) => self.api.cancel(client, id, now),
            ("GET", _, Some(id), None) if !id.contains('/') => {
                self.api.query_status(client, id, now)
            }
            (_, "/healthz" | "/agent/beat" | "/api/jobs", ..) | (_, _, _, Some(_)) => {
                self.net.respond(conn, &Response::new(405, Vec::new()));
            }
            (_, _, Some(id), None) if !id.contains('/') => {
                self.net.respond(conn, &Response::new(405, Vec::new()));
            }
            _ => self.net.respond(conn, &Response::new(404, Vec::new())),
        }
    }

    pub(super) fn on_peer_request(
        &mut self,
        conn: ConnectionId,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let now = self.net.now();
        let client = Client {
            conn,
            is_relayed: true,
        };
        let response = match (method, path) {
            ("POST", peers::HEARTBEAT_PATH) => self.on_heartbeat(body),
            ("POST", peers::CANCELLED_PATH) => self.on_cancelled_by_peer(body),
            ("POST", peers::RELAY_PATH) => match peers::decode(body) {
                Ok(RelayedRequest::Submit(job)) => {
                    self.api
                        .submit(client, &job, &self.types, self.net.wall_clock_ms(), now);
                    return;
                }
                Ok(RelayedRequest::Status(id)) => return self.api.query_status(client, &id, now),
                Ok(RelayedRequest::Cancel(id)) => return self.api.cancel(client, &id, now),
                Err(error) => peer_messages::refusal(path, &error),
            },
            _ => Response::new(404, Vec::new()),
        };
        self.net.respond(conn, &response);
    }

    /// Passes a user's request on to a node that the state service answers.
    pub(super) fn relay(&mut self, id: ApiRequestId, relay: &RelayedRequest) {
        let now = self.net.now();
        let fit = self.peers.iter().find(|p| {
            p.recent_heartbeat(now)
                .is_some_and(|h| h.is_store_reachable)
        });
        let Some(peer) = fit else {
            return self.api.on_relay_response(id, None, now);
        };
        let to = peer.addr;
        let call = peer_messages::send(&mut self.net, to, peers::RELAY_PATH, relay, RELAY_TIMEOUT);
        match call {
            Some(call) => {
                self.relays.insert(call, id);
            }
            None => self.api.on_relay_response(id, None, now),
        }
    }

    /// Notes that a worker reports here. Each holds a socket, so there are about as many as there may be
    /// sockets; those that changed their node within seconds are the rest.
    fn note_worker(&mut self, host: &HostName, now: Time) {
        let most = MIN_WORKERS.max(self.settings.shared.resources.max_sockets * 2);
        if self.workers.len() < most || self.workers.contains_key(host) {
            self.workers.insert(host.clone(), now);
        } else {
            tracing::warn!("{host} is not counted: {most} workers have reported here lately");
        }
    }

    pub(super) fn on_beat(&mut self, body: &[u8]) -> Response {
        let report: WorkerHeartbeat = match decode(body) {
            Ok(report) => report,
            Err(e) => {
                tracing::warn!("a report was not understood: {e}");
                return Response::new(400, Vec::new());
            }
        };
        let now = self.net.now();
        self.note_worker(&report.host, now);
        if let Some(duties) = &mut self.duties {
            if duties.controller.must_let_leases_expire(now) {
                return Response::retry_later(503, 1);
            }
            match duties.controller.on_heartbeat(&report, now) {
                Ok(commands) => {
                    let token = duties.controller.term();
                    return Response::new(
                        200,
                        encode(&HeartbeatResponse {
                            fencing_token: token,
                            commands: &commands,
                        }),
                    );
                }
                Err(LeadershipLost(term)) => self.deposed(term),
            }
        } else {
            let action = self.leadership.observe_term(report.fencing_token, None);
            self.grant(action);
        }
        let proxied = self
            .proxies_heartbeat(report.fencing_token, now)
            .or_else(|| self.proxies_in_isolation(&report, now));
        if let Some(token) = proxied {
            let commands = &self.stops_of_cancelled(&report);
            return Response::new(
                200,
                encode(&HeartbeatResponse {
                    fencing_token: token,
                    commands,
                }),
            );
        }
        let leader = self.leadership.known_leader.as_deref();
        let leader = leader.filter(|l| *l != self.settings.name);
        Response::new(421, encode(&LeaderRedirect { leader }))
    }

    /// The token to answer a worker with on the leader's behalf: the state service has just said
    /// that it leads, but it can't be heard from here, so the worker could not reach it either and
    /// would lose its tasks with its lease. Nothing is started, only cancelled work is stopped.
    pub(super) fn proxies_heartbeat(&self, seen: Term, now: Time) -> Option<Term> {
        let (term, leader) = self.leadership.confirmed_leader(now)?;
        let at = self.settings.peers.iter().position(|p| p.name == leader)?;
        let unheard = !self.peers[at].is_reachable(now);
        (unheard && seen <= term).then_some(term)
    }

    /// A node that the state service does not answer passes requests on to one that it does. Only
    /// one that hears nobody at all can do nothing for users. An outage that all see takes none
    /// out of the balancer: they hear each other.
    pub(super) fn is_healthy(&self, now: Time) -> bool {
        let hears_others = self.peers.iter().any(|p| p.is_reachable(now));
        self.state_answers(now) || hears_others || self.peers.is_empty()
    }
}
