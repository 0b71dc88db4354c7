//! The state of the cluster as the leader knows it: hosts, jobs, the allocations of tasks to hosts, and the
//! records of them that are still to be written.
//!
//! [`ClusterState`] is the only place that changes any of it. Everything else gets shared references, decides,
//! and calls its methods. They keep what belongs together in step: an allocation stands with its host, with its
//! task, in its team's usage and in a record; it is recorded before its task is started, and it is freed only
//! when the attempt is proven to have ended.

mod allocation;
mod allocations;
mod commands;
pub mod host;
mod hosts;
pub mod job;
mod jobs;
mod loading;
mod persistence;
mod reconciliation;
mod record_writer;

pub(crate) use allocations::StopEffect;
pub(crate) use commands::CommandContext;
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

/// Hosts, jobs and allocations of one leader, and the records that are to be written of them.
pub struct ClusterState {
    machine_types: Vec<MachineType>,
    hosts: BTreeMap<HostName, Host>,
    jobs: Jobs,
    record_writer: RecordWriter,
    /// Allocations whose run record is not known to be written.
    uncommitted_allocations: BTreeMap<RunRecordId, Vec<AllocatedTask>>,
    /// What each team's allocations take, until they are proven to have ended.
    team_usage: BTreeMap<String, ResourceVector>,
    /// Hosts whose release the cloud confirmed lately, and when. Late heartbeats and the lagging list may still
    /// name them.
    released_hosts: BTreeMap<HostName, Time>,
    /// Whether all records have been read. Before that it is not known what is allocated.
    is_loaded: bool,
    scheduling_requested: bool,
}

impl ClusterState {
    /// A state in which nothing is known but the machine types. `leader_key` is the version of the leader's key,
    /// on which every write is conditional.
    pub(crate) fn new(
        machine_types: Vec<MachineType>,
        leader_key: Version,
        policy: &Policy,
    ) -> ClusterState {
        ClusterState {
            machine_types,
            hosts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            record_writer: RecordWriter::new(
                leader_key,
                policy.max_value_bytes,
                policy.max_txn_changes,
            ),
            uncommitted_allocations: BTreeMap::new(),
            team_usage: BTreeMap::new(),
            released_hosts: BTreeMap::new(),
            is_loaded: false,
            scheduling_requested: false,
        }
    }

    /// The hosts by name.
    pub fn hosts(&self) -> &BTreeMap<HostName, Host> {
        &self.hosts
    }

    /// The host of that name.
    pub fn host(&self, name: &HostName) -> Option<&Host> {
        self.hosts.get(name)
    }

    /// The jobs by id, with those that are over until their records are deleted.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The job of that id.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The machine types that the cloud offers, as far as they are known.
    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// The type of a host, once it is known.
    pub(crate) fn machine_type_of(&self, host: &Host) -> Option<&MachineType> {
        self.machine_types.get(host.type_index?)
    }

    /// The records that are to be written.
    pub(crate) fn record_writer(&self) -> &RecordWriter {
        &self.record_writer
    }

    /// What the team's allocations take, until they are proven to have ended.
    pub(crate) fn team_usage(&self, team: &str) -> ResourceVector {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Whether the cloud confirmed lately that the host is gone.
    pub(crate) fn was_released(&self, host: &HostName) -> bool {
        self.released_hosts.contains_key(host)
    }

    /// Asks for a scheduling pass, as something changed that may let a task start.
    pub(crate) fn request_scheduling(&mut self) {
        self.scheduling_requested = true;
    }

    /// Whether a scheduling pass was asked for since this was last called.
    pub(crate) fn take_scheduling_request(&mut self) -> bool {
        std::mem::take(&mut self.scheduling_requested)
    }

    /// Takes in the machine types. Hosts keep their type by its name, as its index may change.
    pub(crate) fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        if machine_types == self.machine_types {
            return;
        }
        let old = std::mem::replace(&mut self.machine_types, machine_types);
        for host in self.hosts.values_mut() {
            let old_type = host.type_index.and_then(|index| old.get(index));
            host.type_index = old_type.and_then(|old_type| {
                let mut types = self.machine_types.iter();
                types.position(|new_type| new_type.name == old_type.name)
            });
        }
        self.request_scheduling();
    }

    /// Adds what an allocation takes to its team's usage.
    fn charge(&mut self, team: &str, resources: &Resources) {
        let usage = self.team_usage.entry(team.to_owned()).or_default();
        *usage += ResourceVector::rounded_up(resources.cpus, resources.gpus);
    }

    /// Removes what an ended allocation took from its team's usage.
    fn discharge(&mut self, team: &str, resources: &Resources) {
        if let Some(usage) = self.team_usage.get_mut(team) {
            *usage =
                usage.saturating_sub(&ResourceVector::rounded_up(resources.cpus, resources.gpus));
        }
    }
}
