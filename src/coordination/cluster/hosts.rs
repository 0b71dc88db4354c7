//! Hosts as they are provisioned, listed, cordoned and released.

use std::collections::BTreeSet;
use std::time::Duration;

use super::host::{CordonReason, Host, HostLifecycle};
use super::ClusterState;
use crate::protocol::cloud::{ListedHost, ListedHostState};
use crate::types::{HostName, TaskId, Time};

/// How long the names of released hosts are kept: a list or a late heartbeat may still name them.
const RELEASED_HOSTS_KEPT_FOR: Duration = Duration::from_secs(600);

/// Hosts that the cloud has provisioned.
#[derive(Debug)]
pub(crate) struct ProvisionedHosts {
    pub(crate) names: Vec<HostName>,
    /// Index of their machine type.
    pub(crate) type_index: usize,
    pub(crate) zone: String,
    pub(crate) is_spot: bool,
    /// When they were asked for.
    pub(crate) requested_at: Time,
}

impl ClusterState {
    /// Adds hosts that were provisioned, or fills in what is known of them.
    pub(crate) fn add_provisioned(&mut self, provisioned: ProvisionedHosts, now: Time) {
        for name in provisioned.names {
            if self.was_released(&name) {
                continue;
            }
            let host = self
                .hosts
                .entry(name.clone())
                .or_insert_with(|| Host::new(name, now));
            host.type_index = Some(provisioned.type_index);
            host.zone.clone_from(&provisioned.zone);
            host.is_spot = provisioned.is_spot;
            host.provisioned_at = provisioned.requested_at;
        }
    }

    /// Takes in the cloud's list, whole. It lags by up to `max_lag`: what it lacks proves nothing. Returns the hosts
    /// that have failed, which are to be released.
    pub(crate) fn on_host_list(
        &mut self,
        listed: &[ListedHost],
        max_lag: Duration,
        now: Time,
    ) -> Vec<HostName> {
        let names: BTreeSet<&HostName> = listed.iter().map(|item| &item.name).collect();
        for host in self.hosts.values_mut() {
            // Once listed, a host stays listed until it is gone; only a list from before it was provisioned could
            // lack it, and that is ruled out by its age. This frees no allocation; the release's response does.
            let is_older_than_list = now.since(host.provisioned_at) > max_lag;
            host.is_missing_from_list =
                host.was_listed && is_older_than_list && !names.contains(&host.name);
        }
        let mut failed = Vec::new();
        for item in listed {
            if self.was_released(&item.name) {
                continue;
            }
            if self.on_listed_host(item, now) {
                failed.push(item.name.clone());
            }
        }
        failed
    }

    /// Takes in one host of the list. Returns whether it is to be released, as it has failed.
    fn on_listed_host(&mut self, item: &ListedHost, now: Time) -> bool {
        let type_index = self
            .machine_types
            .iter()
            .position(|machine_type| machine_type.name == item.machine_type);
        let host = self.hosts.entry(item.name.clone()).or_insert_with(|| {
            tracing::info!("{}: found in the list", item.name);
            let age_ms = (item.age_s.0.max(0.0) * 1000.0) as u64;
            let mut host = Host::new(item.name.clone(), now);
            host.provisioned_at = Time(now.0.saturating_sub(age_ms));
            host
        });
        host.type_index = host.type_index.or(type_index);
        if host.zone.is_empty() {
            host.zone.clone_from(&item.zone);
            host.is_spot = item.spot;
        }
        host.was_listed = true;
        if host.address.is_none() {
            host.address = item.address.parse().ok();
        }
        match item.state {
            ListedHostState::Running => {
                host.listed_running_since.get_or_insert(now);
                false
            }
            ListedHostState::Failed => {
                if host.lifecycle != HostLifecycle::Releasing {
                    tracing::info!("{}: failed, says the cloud", item.name);
                }
                host.begin_release(CordonReason::Lost)
            }
            ListedHostState::Starting | ListedHostState::Other => false,
        }
    }

    /// The cloud confirmed that these hosts and all on them are gone, which ends their allocations.
    pub(crate) fn remove_hosts(&mut self, names: &[HostName], now: Time) {
        for name in names {
            if let Some(mut host) = self.hosts.remove(name) {
                let tasks: Vec<TaskId> = host.allocations.keys().copied().collect();
                for task in tasks {
                    self.end_allocation(&mut host, task, false, now);
                }
            }
            self.released_hosts.insert(name.clone(), now);
        }
        self.released_hosts
            .retain(|_, released_at| now.since(*released_at) <= RELEASED_HOSTS_KEPT_FOR);
        self.request_scheduling();
    }

    /// The process was paused for longer than its lease. Everything heard before is outdated, and so is what arrives
    /// now, as it waited here. A host is used again once it has been heard twice or has answered a probe.
    pub(crate) fn mark_all_unresponsive(&mut self) {
        for host in self.hosts.values_mut() {
            if host.is_up() {
                host.set_lifecycle(HostLifecycle::Unresponsive);
            }
        }
    }

    /// The host missed heartbeats for too long.
    pub(crate) fn mark_unresponsive(&mut self, name: &HostName) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.set_lifecycle(HostLifecycle::Unresponsive);
        }
    }

    /// Cordons the host for good and marks it as being released. Returns false if it was already.
    pub(crate) fn begin_release(&mut self, name: &HostName, reason: CordonReason) -> bool {
        let host = self.hosts.get_mut(name);
        host.is_some_and(|host| host.begin_release(reason))
    }

    /// Marks the host as being released by force, whatever its state is.
    pub(crate) fn begin_forced_release(&mut self, name: &HostName, now: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.cordon(CordonReason::Lost);
            host.set_lifecycle(HostLifecycle::Releasing);
            host.force_released_at = Some(now);
        }
    }

    /// Marks an empty host that is cordoned already as being released.
    pub(crate) fn begin_release_of_empty(&mut self, name: &HostName) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.set_lifecycle(HostLifecycle::Releasing);
        }
    }

    /// Cordons a host that the present demand does not need.
    pub(crate) fn cordon_surplus(&mut self, name: &HostName, now: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.cordon(CordonReason::Surplus);
            if host.cordon_reason == Some(CordonReason::Surplus) {
                host.surplus_since.get_or_insert(now);
            }
        }
    }

    /// Uncordons a host that was cordoned as surplus, and asks for a scheduling pass if it was.
    pub(crate) fn uncordon_surplus(&mut self, name: &HostName) -> bool {
        let host = self.hosts.get_mut(name);
        let was_cordoned = host.is_some_and(Host::uncordon);
        if was_cordoned {
            self.request_scheduling();
        }
        was_cordoned
    }

    /// Keeps a host from being cordoned as surplus until then.
    pub(crate) fn keep_uncordoned_until(&mut self, name: &HostName, until: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.keep_uncordoned_until = until;
        }
    }

    /// A probe was sent to the host; the next one may follow at `next_probe_at`.
    pub(crate) fn on_probe_sent(&mut self, name: &HostName, next_probe_at: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.next_probe_at = next_probe_at;
            host.has_command_in_flight = true;
        }
    }
}
