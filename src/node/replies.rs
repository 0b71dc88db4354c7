//! Replies to the calls of this controller: whose each is, and what it means.

use super::*;

impl<N: Network> Node<N> {
    pub(super) fn on_reply(
        &mut self,
        call: CallId,
        result: Result<Response, crate::transport::CallError>,
    ) {
        let now = self.net.now();
        if let Some(at) = self.peers.iter().position(|p| p.awaits(call)) {
            return self.on_heartbeat_answer(at, result);
        }
        if self.acknowledging.as_ref().is_some_and(|(c, _)| *c == call) {
            return self.on_leader_answer(result);
        }
        if let Some(id) = self.relays.remove(&call) {
            let relayed = peer_messages::answer(peers::RELAY_PATH, result);
            self.api.on_relay_response(id, relayed, now);
            return;
        }
        if self.types_call == Some(call) {
            self.types_call = None;
            let types = result.ok().filter(|r| r.status == 200);
            if let Some(types) = types.and_then(|r| decode::<MachineTypes>(&r.body).ok()) {
                self.types = types.machine_types;
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
            if let Err(LeadershipLost(term)) = duties.on_reply(&mut self.net, call, result, now) {
                self.deposed(term);
            }
        }
    }

    pub(super) fn on_outcome(&mut self, id: StoreRequestId, outcome: Outcome) {
        let now = self.net.now();
        match self.purposes.remove(&id) {
            None => {}
            Some(Purpose::Lead(ElectionStep::ReadRecords, sent)) => {
                let seen = match outcome {
                    Outcome::Page(page) => Some(read_lead(&page)),
                    _ => None,
                };
                let action = self.leadership.on_records_read(seen, sent, now);
                self.grant(action);
            }
            Some(Purpose::Lead(step, sent)) => {
                let action = self.leadership.on_outcome(step, outcome, sent, now);
                self.grant(action);
            }
            Some(Purpose::LeaderDuties(term, ask)) => {
                // What an earlier term of this process asked is of no interest any more.
                if let Some(duties) = self.duties.as_mut().filter(|o| o.controller.term() == term) {
                    if let Err(LeadershipLost(term)) = duties.on_outcome(ask, outcome, now) {
                        self.deposed(term);
                    }
                }
            }
            Some(Purpose::ApiServer(ask)) => {
                // Without a lease that stands, what this node knows of tasks may be long past.
                let certain = self.leadership.is_lease_valid(now);
                let duties = self.duties.as_ref().filter(|_| certain);
                let counts = |job| duties.and_then(|o| o.counts(job));
                let view = NodeView {
                    leader_task_counts: &counts,
                    has_spare_store_budget: self.store.has_spare_budget(now),
                    is_store_reachable: self.state_answers(now),
                };
                self.api.on_outcome(ask, outcome, &view, now);
            }
            Some(Purpose::Types) => {
                if let Outcome::Item(Some(item)) = outcome {
                    if let Some(types) = item.record::<MachineTypes>() {
                        self.types = types.machine_types;
                    }
                } else {
                    self.ask_cloud_for_types();
                }
            }
        }
    }

    /// Before any leader has kept the types, every node asks the cloud itself.
    pub(super) fn ask_cloud_for_types(&mut self) {
        if self.types_call.is_none() && self.types.is_empty() {
            let cloud = self.settings.service_addresses.cloud;
            let limit = Duration::from_secs(4);
            self.types_call = Some(self.net.call(cloud, "GET", "/machine_types", &[], limit));
        }
    }
}
