//! Routing of responses to the node's calls, and of the outcomes of its requests to the state service, to the
//! components that sent them.

use super::*;

impl<N: Network> Node<N> {
    /// Passes the response to a call to the component that made the call.
    pub(super) fn on_reply(
        &mut self,
        call: CallId,
        result: Result<Response, crate::transport::CallError>,
    ) {
        let now = self.network.now();
        if let Some(peer_index) = self.peers.iter().position(|p| p.is_awaiting(call)) {
            return self.on_heartbeat_response(peer_index, result);
        }
        if self
            .acknowledgement_call
            .as_ref()
            .is_some_and(|(c, _)| *c == call)
        {
            return self.on_acknowledgement(result);
        }
        if let Some(id) = self.relay_calls.remove(&call) {
            let relayed = peer_messages::decode_response(peers::RELAY_PATH, result);
            self.api.on_relay_response(id, relayed, now);
            return;
        }
        if self.machine_types_call == Some(call) {
            self.machine_types_call = None;
            let response = result.ok().filter(|r| r.status == 200);
            if let Some(types) = response.and_then(|r| decode::<MachineTypes>(&r.body).ok()) {
                self.machine_types = types.machine_types;
            }
            return;
        }
        let mut result = Some(result);
        if self.store.owns_call(call) {
            if let Some(result) = result.take() {
                if let Some((id, outcome)) = self.store.on_response(now, call, result) {
                    self.on_outcome(id, outcome);
                }
            }
            return;
        }
        if let (Some(duties), Some(result)) = (&mut self.duties, result) {
            if let Err(LeadershipLost(term)) = duties.on_reply(&mut self.network, call, result, now)
            {
                self.on_leadership_lost(term);
            }
        }
    }

    /// Passes the outcome of a request to the state service to the component that sent the request.
    pub(super) fn on_outcome(&mut self, id: StoreRequestId, outcome: Outcome) {
        let now = self.network.now();
        match self.request_origins.remove(&id) {
            None => {}
            Some(RequestOrigin::Election(ElectionStep::ReadRecords, sent_at)) => {
                let election_records = match outcome {
                    Outcome::Page(page) => Some(parse_election_records(&page)),
                    _ => None,
                };
                let action = self
                    .election
                    .on_records_read(election_records, sent_at, now);
                self.execute_election_action(action);
            }
            Some(RequestOrigin::Election(step, sent_at)) => {
                let action = self.election.on_outcome(step, outcome, sent_at, now);
                self.execute_election_action(action);
            }
            Some(RequestOrigin::LeaderDuties(term, request)) => {
                // Outcomes of requests from an earlier term of this process are discarded.
                if let Some(duties) = self
                    .duties
                    .as_mut()
                    .filter(|duties| duties.leader.term() == term)
                {
                    if let Err(LeadershipLost(term)) = duties.on_outcome(request, outcome, now) {
                        self.on_leadership_lost(term);
                    }
                }
            }
            Some(RequestOrigin::ApiServer(request)) => {
                // Without a valid lease, the leader's task counts may be out of date.
                let has_valid_lease = self.election.is_lease_valid(now);
                let duties = self.duties.as_ref().filter(|_| has_valid_lease);
                let counts = |job| duties.and_then(|duties| duties.task_counts(job));
                let view = NodeView {
                    leader_task_counts: &counts,
                    has_spare_store_budget: self.store.has_spare_budget(now),
                    is_store_reachable: self.is_store_reachable(now),
                };
                self.api.on_outcome(request, outcome, &view, now);
            }
            Some(RequestOrigin::MachineTypes) => {
                if let Outcome::Item(Some(item)) = outcome {
                    if let Some(types) = item.record::<MachineTypes>() {
                        self.machine_types = types.machine_types;
                    }
                } else {
                    self.request_machine_types();
                }
            }
        }
    }

    /// Reads the machine types from the cloud, as no leader has stored them in the state service yet.
    pub(super) fn request_machine_types(&mut self) {
        if self.machine_types_call.is_none() && self.machine_types.is_empty() {
            let cloud_address = self.settings.service_addresses.cloud;
            let timeout = Duration::from_secs(4);
            self.machine_types_call =
                Some(
                    self.network
                        .call(cloud_address, "GET", "/machine_types", &[], timeout),
                );
        }
    }
}
