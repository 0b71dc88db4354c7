//! Calls to the cloud: machine types, the list of machines, renting and returning.

use super::*;

impl LeaderDuties {
    pub(super) fn run_periodic_tasks(&mut self, net: &mut impl Network, now: Time) {
        if self.cloud_budget.available(now) < 2.0 {
            return;
        }
        if self.types.starts(now) {
            self.ask_cloud(net, "GET", "/machine_types", &[], LeaderCall::Types, now);
        }
        if self.list.starts(now) {
            self.listing.clear();
            self.list_page(net, "", now);
        }
    }

    pub(super) fn list_page(&mut self, net: &mut impl Network, after: &str, now: Time) {
        let target = if after.is_empty() {
            format!("/hosts?page={HOST_LIST_PAGE_SIZE}")
        } else {
            format!("/hosts?after={after}&page={HOST_LIST_PAGE_SIZE}")
        };
        self.ask_cloud(net, "GET", &target, &[], LeaderCall::List, now);
    }

    pub(super) fn ask_cloud(
        &mut self,
        net: &mut impl Network,
        method: &str,
        target: &str,
        body: &[u8],
        what: LeaderCall,
        now: Time,
    ) {
        self.cloud_budget.spend(now, 1.0);
        let call = net.call(self.cloud, method, target, body, CLOUD_LIMIT);
        self.calls.insert(call, what);
    }

    pub(super) fn may_ask_cloud(&mut self, net: &impl Network, action: &Action, now: Time) -> bool {
        let pressing = matches!(action, Action::ForceRelease(_));
        self.cloud_budget.available(now) >= 1.0 && (pressing || self.may_act(net))
    }

    pub(super) fn on_list(
        &mut self,
        net: &mut impl Network,
        result: Result<Response, CallError>,
        now: Time,
    ) {
        let page = result
            .ok()
            .filter(|r| r.status == 200)
            .and_then(|r| decode::<HostList>(&r.body).ok());
        let Some(page) = page else {
            self.list.busy = false;
            return;
        };
        let more = page.has_more_pages;
        self.listing.extend(page.hosts);
        let last = self.listing.last().map(|h| h.name.clone());
        if let Some(last) = last.filter(|_| more) {
            self.list_page(net, last.as_str(), now);
            return;
        }
        self.list.busy = false;
        let listed = std::mem::take(&mut self.listing);
        self.controller.on_host_list(&listed, now);
    }

    /// Keeps the types for restarts during an outage of the cloud, once a term.
    pub(super) fn write_types(&mut self) {
        if self.types_written || self.controller.machine_types().is_empty() {
            return;
        }
        let types = MachineTypes {
            machine_types: self.controller.machine_types().to_vec(),
        };
        if records::json_size(&types) > self.controller.max_value_bytes() {
            // Nodes ask the cloud then.
            tracing::info!("the machine types are too large to be kept");
            self.types_written = true;
            return;
        }
        let mut txn = Txn::default();
        txn.require(
            records::LEADER_KEY.to_owned(),
            self.controller.leader_key_version(),
        );
        txn.changes.push(Change::put(
            records::MACHINE_TYPES_KEY.to_owned(),
            value(&types),
        ));
        self.pending.push((
            RequestClass::Records,
            StoreRequest::Txn(txn),
            BATCH_LIMIT,
            LeaderRequest::Types,
        ));
    }
}

pub(super) fn rental_result(result: Result<Response, CallError>) -> ProvisionResult {
    match result {
        Ok(r) if r.status == 200 => match decode::<HostNames>(&r.body) {
            Ok(names) => ProvisionResult::Provisioned(names.hosts),
            Err(_) => ProvisionResult::Unknown,
        },
        Ok(r) if r.status == 503 && !is_trouble(&r.body) => ProvisionResult::NoCapacity,
        Ok(r) if matches!(r.status, 400 | 429 | 503) => ProvisionResult::Refused,
        Ok(_) | Err(CallError::Lost) => ProvisionResult::Unknown,
        Err(CallError::NotSent | CallError::NoSocket) => ProvisionResult::Refused,
    }
}

/// An outage also answers 503, with another word.
pub(super) fn is_trouble(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Why {
        error: String,
    }
    decode::<Why>(body).map_or(true, |w| w.error != "no capacity")
}
