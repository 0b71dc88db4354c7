//! Calls to the cloud: machine types, the list of hosts, provisioning and releases.

use super::*;

impl LeaderDuties {
    /// Reads the machine types and the list of hosts if they are due, unless the rate limit is nearly exhausted.
    pub(super) fn poll_cloud(&mut self, network: &mut impl Network, now: Time) {
        if self.cloud_rate_limit.available(now) < 2.0 {
            return;
        }
        if self.machine_types_read.start_if_due(now) {
            self.call_cloud(
                network,
                "GET",
                "/machine_types",
                &[],
                Call::ListMachineTypes,
                now,
            );
        }
        if self.host_list_read.start_if_due(now) {
            self.listed_hosts.clear();
            self.request_host_page(network, "", now);
        }
    }

    /// Requests the page of the list of hosts after the given name.
    pub(super) fn request_host_page(&mut self, network: &mut impl Network, after: &str, now: Time) {
        let target = if after.is_empty() {
            format!("/hosts?page={HOST_LIST_PAGE_SIZE}")
        } else {
            format!("/hosts?after={after}&page={HOST_LIST_PAGE_SIZE}")
        };
        self.call_cloud(network, "GET", &target, &[], Call::ListHosts, now);
    }

    /// Calls the cloud, charged to its rate limit.
    pub(super) fn call_cloud(
        &mut self,
        network: &mut impl Network,
        method: &str,
        target: &str,
        body: &[u8],
        leader_call: Call,
        now: Time,
    ) {
        self.cloud_rate_limit.spend(now, 1.0);
        let call = network.call(self.cloud_address, method, target, body, CLOUD_TIMEOUT);
        self.calls.insert(call, leader_call);
    }

    /// Whether the rate limit and the leader's lease permit to carry out the action. Forced releases need no valid
    /// lease.
    pub(super) fn can_call_cloud(
        &mut self,
        network: &impl Network,
        action: &Action,
        now: Time,
    ) -> bool {
        let is_forced = matches!(action, Action::ForceRelease(_));
        self.cloud_rate_limit.available(now) >= 1.0 && (is_forced || self.has_valid_lease(network))
    }

    /// Handles a page of the list of hosts. The leader gets the whole list after the last page; if a page can't be
    /// read, the list is discarded.
    pub(super) fn on_host_list_page(
        &mut self,
        network: &mut impl Network,
        result: Result<Response, CallError>,
        now: Time,
    ) {
        let page = result
            .ok()
            .filter(|r| r.status == 200)
            .and_then(|r| decode::<HostList>(&r.body).ok());
        let Some(page) = page else {
            self.host_list_read.is_running = false;
            return;
        };
        let has_more = page.has_more_pages;
        self.listed_hosts.extend(page.hosts);
        let last = self.listed_hosts.last().map(|h| h.name.clone());
        if let Some(last) = last.filter(|_| has_more) {
            self.request_host_page(network, last.as_str(), now);
            return;
        }
        self.host_list_read.is_running = false;
        let listed_hosts = std::mem::take(&mut self.listed_hosts);
        self.leader.on_host_list(&listed_hosts, now);
    }

    /// Stores the machine types in the state service, once a term, for restarts during an outage of the cloud.
    pub(super) fn write_machine_types(&mut self) {
        if self.has_written_machine_types || self.leader.machine_types().is_empty() {
            return;
        }
        let types = MachineTypes {
            machine_types: self.leader.machine_types().to_vec(),
        };
        if records::json_size(&types) > self.leader.max_value_bytes() {
            // Controllers then read them from the cloud.
            tracing::info!(
                "machine types not stored: they exceed the maximum value size of the state service"
            );
            self.has_written_machine_types = true;
            return;
        }
        let mut txn = Txn::default();
        txn.require(
            records::LEADER_KEY.to_owned(),
            self.leader.leader_key_version(),
        );
        txn.changes.push(Change::put(
            records::MACHINE_TYPES_KEY.to_owned(),
            value(&types),
        ));
        self.queued_requests.push((
            RequestClass::Records,
            StoreRequest::Txn(txn),
            RECORD_REQUEST_TIMEOUT,
            LeaderRequest::WriteMachineTypes,
        ));
    }
}

/// What the response to a provisioning request says about the hosts.
pub(super) fn provision_result(result: Result<Response, CallError>) -> ProvisionResult {
    match result {
        Ok(r) if r.status == 200 => match decode::<HostNames>(&r.body) {
            Ok(names) => ProvisionResult::Provisioned(names.hosts),
            Err(_) => ProvisionResult::Unknown,
        },
        Ok(r) if r.status == 503 && !is_cloud_failure(&r.body) => ProvisionResult::NoCapacity,
        Ok(r) if matches!(r.status, 400 | 429 | 503) => ProvisionResult::Refused,
        Ok(_) | Err(CallError::Lost) => ProvisionResult::Unknown,
        Err(CallError::NotSent | CallError::NoSocket) => ProvisionResult::Refused,
    }
}

/// Whether a response with status 503 is due to a failure of the cloud. A lack of capacity has the same status, with
/// another error.
pub(super) fn is_cloud_failure(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct ErrorBody {
        error: String,
    }
    decode::<ErrorBody>(body).map_or(true, |body| body.error != "no capacity")
}
