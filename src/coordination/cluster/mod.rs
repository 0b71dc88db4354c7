//! The state of the cluster as the leader knows it: hosts, jobs and allocations, and the records of them
//! that are still to be written.

mod allocate;
mod attempt_ends;
mod heartbeats;
pub mod host;
pub mod job;
mod record_split;
pub mod record_writer;
mod recording;

use std::collections::BTreeMap;

use lichencrank_quota::Usage;

use crate::coordination::Policy;
use crate::protocol::cloud::MachineType;
use crate::types::{HostName, JobId, TaskId, Time, Version};
use host::Host;
use job::Job;
use record_writer::{Jobs, WriteBatcher};

/// Hosts, jobs and allocations of one leader.
pub struct ClusterState {
    /// The machine types.
    pub types: Vec<MachineType>,
    /// The hosts by name.
    pub hosts: BTreeMap<HostName, Host>,
    /// The jobs by id.
    pub jobs: Jobs,
    /// Writes what changes.
    pub records: WriteBatcher,
    /// Allocations that wait for their record to be committed, by the record.
    pub(crate) uncommitted_allocations: BTreeMap<(JobId, u32), Vec<(HostName, TaskId)>>,
    /// What each team's allocations take, all that are not proven ended.
    pub(crate) team_usage: BTreeMap<String, Usage>,
    /// Hosts whose release the cloud confirmed lately, and when: late heartbeats and the lagging
    /// list may still name them.
    pub(crate) released_hosts: BTreeMap<HostName, Time>,
    /// Something changed that may let a task start.
    pub(crate) scheduling_requested: bool,
}

impl ClusterState {
    pub(crate) fn new(
        types: Vec<MachineType>,
        leader_key: Version,
        policy: &Policy,
    ) -> ClusterState {
        let mut records = WriteBatcher::new(leader_key);
        records.max_value_bytes = policy.max_value;
        records.max_txn_changes = policy.txn_ops;
        ClusterState {
            types,
            hosts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            records,
            uncommitted_allocations: BTreeMap::new(),
            team_usage: BTreeMap::new(),
            released_hosts: BTreeMap::new(),
            scheduling_requested: false,
        }
    }

    /// The hosts by name.
    pub fn hosts(&self) -> &BTreeMap<HostName, Host> {
        &self.hosts
    }

    /// The jobs by id.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }
}
