//! The leader's view of the cluster: hosts, jobs, allocations of tasks to hosts, and the records that are still to be
//! written to the state service.
//!
//! Only [`ClusterState`] changes this state. Other components read it through shared references and call the methods of
//! [`ClusterState`] to apply their decisions. These methods keep the parts consistent: each allocation is held by its
//! host, in the state of its task, in the usage of its team and in a run record. An allocation is recorded in the state
//! service before its task is started, and is freed only when the attempt is proven to have ended.

mod allocation;
mod allocations;
mod attempt_outcomes;
mod commands;
pub mod host;
mod host_attributes;
mod hosts;
pub mod job;
mod jobs;
mod late_runs;
mod loading;
mod persistence;
mod reconciliation;
mod record_writer;

pub(crate) use allocations::StopEffect;
pub(crate) use commands::{CommandContext, Delivery};
pub use host_attributes::AttributeSource;
pub(crate) use host_attributes::HostAttributes;
pub(crate) use hosts::ProvisionedHosts;
pub(crate) use jobs::JobRecordEffect;
pub(crate) use persistence::BatchResult;
pub(crate) use reconciliation::{HeartbeatSource, Reconciliation};

use std::collections::BTreeMap;

use lichencrank_quota::ResourceVector;

use crate::coordination::resources::Resources;
use crate::coordination::Policy;
use crate::protocol::cloud::MachineType;
use crate::storage::records::RunRecordId;
use crate::types::{HostName, JobId, TaskId, Time, Version};
use host::Host;
use job::Job;
use record_writer::{Jobs, RecordWriter};

/// A task and the host that it is allocated to.
pub(crate) type AllocatedTask = (HostName, TaskId);

/// Hosts, jobs and allocations of one leader's term, and the records of them that are still to be written.
pub struct ClusterState {
    machine_types: Vec<MachineType>,
    hosts: BTreeMap<HostName, Host>,
    jobs: Jobs,
    record_writer: RecordWriter,
    /// Allocations that are not known to be in the state service, by their run record.
    uncommitted_allocations: BTreeMap<RunRecordId, Vec<AllocatedTask>>,
    /// Resources of each team's allocations, which count until they are proven to have ended.
    team_usage: BTreeMap<String, ResourceVector>,
    /// Hosts whose release the cloud has confirmed recently, and when. Delayed heartbeats and the lagging host list may
    /// still name them.
    released_hosts: BTreeMap<HostName, Time>,
    /// Whether all records have been read. Before that, allocations may be missing.
    is_loaded: bool,
    is_scheduling_requested: bool,
    /// Whether late copies of direct `run` commands have to be excluded by a higher fencing token.
    is_token_raise_requested: bool,
}

impl ClusterState {
    /// A state without hosts and jobs. `leader_key_version` is the version of the leader key, on which every write is
    /// conditional.
    pub(crate) fn new(
        machine_types: Vec<MachineType>,
        leader_key_version: Version,
        policy: &Policy,
    ) -> ClusterState {
        ClusterState {
            machine_types,
            hosts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            record_writer: RecordWriter::new(
                leader_key_version,
                policy.max_value_bytes,
                policy.max_txn_changes,
            ),
            uncommitted_allocations: BTreeMap::new(),
            team_usage: BTreeMap::new(),
            released_hosts: BTreeMap::new(),
            is_loaded: false,
            is_scheduling_requested: false,
            is_token_raise_requested: false,
        }
    }

    /// All hosts by name.
    pub fn hosts(&self) -> &BTreeMap<HostName, Host> {
        &self.hosts
    }

    /// The host with this name.
    pub fn host(&self, name: &HostName) -> Option<&Host> {
        self.hosts.get(name)
    }

    /// All jobs by id. Done and cancelled jobs are included until their records are deleted.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The job with this id.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The machine types that the cloud offers; empty while they are unknown.
    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// The machine type of a host, once it is known.
    pub(crate) fn machine_type_of(&self, host: &Host) -> Option<&MachineType> {
        self.machine_types.get(host.type_index?)
    }

    /// The writer of the records, with those that are still to be written.
    pub(crate) fn record_writer(&self) -> &RecordWriter {
        &self.record_writer
    }

    /// Resources of the team's allocations, which count until they are proven to have ended.
    pub(crate) fn team_usage(&self, team: &str) -> ResourceVector {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Whether the cloud has recently confirmed the release of the host.
    pub(crate) fn was_released(&self, host: &HostName) -> bool {
        self.released_hosts.contains_key(host)
    }

    /// Requests a scheduling pass, after a change that may let a waiting task be placed.
    pub(crate) fn request_scheduling(&mut self) {
        self.is_scheduling_requested = true;
    }

    /// Returns whether a scheduling pass was requested since the last call, and resets that.
    pub(crate) fn take_scheduling_request(&mut self) -> bool {
        std::mem::take(&mut self.is_scheduling_requested)
    }

    /// Whether a higher fencing token was requested since the last one was claimed.
    pub(crate) fn is_token_raise_requested(&self) -> bool {
        self.is_token_raise_requested
    }

    /// The leader has claimed a higher fencing token, which has changed the leader's key.
    pub(crate) fn on_token_raised(&mut self, leader_key_version: Version) {
        self.is_token_raise_requested = false;
        self.record_writer
            .set_leader_key_version(leader_key_version);
    }

    /// Replaces the machine types. Hosts keep their type by name, as its index may change.
    pub(crate) fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        if machine_types == self.machine_types {
            return;
        }
        let old_types = std::mem::replace(&mut self.machine_types, machine_types);
        for host in self.hosts.values_mut() {
            let old_type = host.type_index.and_then(|index| old_types.get(index));
            host.type_index = old_type.and_then(|old_type| {
                let mut new_types = self.machine_types.iter();
                new_types.position(|new_type| new_type.name == old_type.name)
            });
        }
        self.request_scheduling();
    }

    /// Adds the resources of an allocation to its team's usage.
    fn add_team_usage(&mut self, team: &str, resources: &Resources) {
        let usage = self.team_usage.entry(team.to_owned()).or_default();
        *usage += ResourceVector::rounded_up(resources.cpus, resources.gpus);
    }

    /// Subtracts the resources of an ended allocation from its team's usage.
    fn subtract_team_usage(&mut self, team: &str, resources: &Resources) {
        if let Some(usage) = self.team_usage.get_mut(team) {
            *usage =
                usage.saturating_sub(&ResourceVector::rounded_up(resources.cpus, resources.gpus));
        }
    }
}
