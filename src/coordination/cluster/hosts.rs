//! Lifecycle of hosts: provisioning, the cloud's host list, cordoning and release.

use std::collections::BTreeSet;
use std::time::Duration;

use super::host::{CordonReason, Host, HostLifecycle};
use super::host_attributes::{AttributeSource, HostAttributes};
use super::ClusterState;
use crate::protocol::cloud::{ListedHost, ListedHostState};
use crate::types::{HostName, TaskId, Time};

/// How long the names of released hosts are kept: the lagging host list or a delayed heartbeat may still name them.
const RELEASED_HOST_RETENTION: Duration = Duration::from_secs(600);

/// Hosts that the cloud has provisioned for one request.
#[derive(Debug)]
pub(crate) struct ProvisionedHosts {
    pub(crate) names: Vec<HostName>,
    /// What the request asked for.
    pub(crate) attributes: HostAttributes,
    /// When they were requested.
    pub(crate) requested_at: Time,
}

impl ClusterState {
    /// Adds provisioned hosts. What their workers or the host list say about them is kept.
    pub(crate) fn add_provisioned(&mut self, provisioned: ProvisionedHosts, now: Time) {
        for name in provisioned.names {
            if self.was_released(&name) {
                continue;
            }
            let host = self
                .hosts
                .entry(name.clone())
                .or_insert_with(|| Host::new(name, now));
            host.learn_attributes(
                AttributeSource::ProvisionRequest,
                provisioned.attributes.clone(),
            );
            host.provisioned_at = host.provisioned_at.min(provisioned.requested_at);
        }
    }

    /// Applies the complete host list of the cloud. The list lags by up to `max_lag`, so a host that is
    /// missing from it need not be gone. Returns the hosts that have failed, which are to be released.
    pub(crate) fn on_host_list(
        &mut self,
        listed: &[ListedHost],
        max_lag: Duration,
        now: Time,
    ) -> Vec<HostName> {
        let names: BTreeSet<&HostName> =
            listed.iter().map(|listed_host| &listed_host.name).collect();
        for host in self.hosts.values_mut() {
            // Once listed, a host stays listed until it is gone. Only a list from before the host was provisioned could
            // lack it, and the host's age rules that out. Its allocations are not freed here, but once the cloud has
            // confirmed its release.
            let is_older_than_list = now.since(host.provisioned_at) > max_lag;
            host.is_missing_from_list =
                host.was_listed && is_older_than_list && !names.contains(&host.name);
        }
        let mut failed = Vec::new();
        for listed_host in listed {
            if self.was_released(&listed_host.name) {
                continue;
            }
            if self.on_listed_host(listed_host, now) {
                failed.push(listed_host.name.clone());
            }
        }
        failed
    }

    /// Applies one entry of the host list. Returns whether the host has failed and is to be released.
    fn on_listed_host(&mut self, listed_host: &ListedHost, now: Time) -> bool {
        let type_index = self
            .machine_types
            .iter()
            .position(|machine_type| machine_type.name == listed_host.machine_type);
        let host = self
            .hosts
            .entry(listed_host.name.clone())
            .or_insert_with(|| {
                tracing::info!("{}: added from the cloud's host list", listed_host.name);
                let age_ms = (listed_host.age_s.0.max(0.0) * 1000.0) as u64;
                let mut host = Host::new(listed_host.name.clone(), now);
                host.provisioned_at = Time(now.0.saturating_sub(age_ms));
                host
            });
        let attributes = HostAttributes {
            type_index,
            zone: listed_host.zone.clone(),
            is_spot: listed_host.is_spot,
        };
        host.learn_attributes(AttributeSource::HostList, attributes);
        host.was_listed = true;
        if host.address.is_none() {
            host.address = listed_host.address.parse().ok();
        }
        match listed_host.state {
            ListedHostState::Running => {
                host.listed_running_since.get_or_insert(now);
                false
            }
            ListedHostState::Failed => {
                if host.lifecycle != HostLifecycle::Releasing {
                    tracing::info!(
                        "{}: reported as failed by the cloud; releasing it",
                        listed_host.name
                    );
                }
                host.begin_release(CordonReason::Lost)
            }
            ListedHostState::Starting | ListedHostState::Other => false,
        }
    }

    /// Removes hosts whose release the cloud has confirmed. All tasks on them are gone, so their allocations end.
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
            .retain(|_, released_at| now.since(*released_at) <= RELEASED_HOST_RETENTION);
        self.request_scheduling();
    }

    /// Marks all hosts as unresponsive after this process was paused for longer than its lease. All heartbeats from
    /// before the pause are outdated, and so are those that arrive next, as they were queued during the pause. A host
    /// is used again after two heartbeats or the response to a probe.
    pub(crate) fn mark_all_unresponsive(&mut self) {
        for host in self.hosts.values_mut() {
            if host.is_up() {
                host.set_lifecycle(HostLifecycle::Unresponsive);
            }
        }
    }

    /// Marks a host as unresponsive, as it has sent no heartbeat for too long.
    pub(crate) fn mark_unresponsive(&mut self, name: &HostName) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.set_lifecycle(HostLifecycle::Unresponsive);
        }
    }

    /// Cordons a host permanently and marks it as being released. Returns false if it was being released already.
    pub(crate) fn begin_release(&mut self, name: &HostName, reason: CordonReason) -> bool {
        let host = self.hosts.get_mut(name);
        host.is_some_and(|host| host.begin_release(reason))
    }

    /// Marks a host as being forcibly released, whatever its lifecycle and allocations.
    pub(crate) fn begin_forced_release(&mut self, name: &HostName, now: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.cordon(CordonReason::Lost);
            host.set_lifecycle(HostLifecycle::Releasing);
            host.force_released_at = Some(now);
        }
    }

    /// Marks a host that is cordoned and has no allocations as being released.
    pub(crate) fn begin_release_of_empty(&mut self, name: &HostName) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.set_lifecycle(HostLifecycle::Releasing);
        }
    }

    /// Cordons a host that current demand does not need.
    pub(crate) fn cordon_surplus(&mut self, name: &HostName, now: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.cordon(CordonReason::Surplus);
            if host.cordon_reason == Some(CordonReason::Surplus) {
                host.surplus_since.get_or_insert(now);
            }
        }
    }

    /// Uncordons a host if it is cordoned as surplus, and then requests a scheduling pass. Returns whether it was.
    pub(crate) fn uncordon_surplus(&mut self, name: &HostName) -> bool {
        let host = self.hosts.get_mut(name);
        let was_cordoned = host.is_some_and(Host::uncordon_if_surplus);
        if was_cordoned {
            self.request_scheduling();
        }
        was_cordoned
    }

    /// Keeps a host from being cordoned as surplus before `until`.
    pub(crate) fn keep_uncordoned_until(&mut self, name: &HostName, until: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.keep_uncordoned_until = until;
        }
    }

    /// Notes that a probe was sent to the host. The next one may follow from `next_probe_at` on.
    pub(crate) fn on_probe_sent(&mut self, name: &HostName, next_probe_at: Time) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.next_probe_at = next_probe_at;
            host.has_command_in_flight = true;
        }
    }
}
