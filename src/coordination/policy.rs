//! The limits, intervals and team policies that the leader's decisions depend on, derived from settings, tuning and
//! features.

use std::time::Duration;

use crate::coordination::quota_policy;
use crate::features::Features;
use crate::settings::{SharedSettings, Team, Tuning};
use crate::types::duration_from_seconds;

/// The parameters of the leader's decisions.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Interval between the heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// How long a worker keeps its tasks without a response from a leader.
    pub worker_lease: Duration,
    /// How long after the confirmed cancellation of a job its tasks may still run.
    pub cancellation_timeout: Duration,
    /// The longest lag of the cloud's list of hosts: twice the usual lag that the settings state.
    pub max_host_list_lag: Duration,
    /// Number of tasks that share a run record.
    pub tasks_per_record: u32,
    /// Probes of hosts that may be in flight at once. Each occupies a socket until its response or its timeout.
    pub max_probes_in_flight: usize,
    /// Direct command requests that may be in flight at once, limited as each occupies a socket too. Further ones are
    /// queued.
    pub max_commands_in_flight: usize,
    /// Largest size of a value in the state service.
    pub max_value_bytes: usize,
    /// Most changes that one transaction may hold.
    pub max_txn_changes: usize,
    /// With this many urgent records queued for writing, no more tasks of the lowest priority are allocated; each
    /// higher priority raises the limit by the same number. Tasks allocated beyond the limit would only keep hosts
    /// idle, as a task starts after its record is written.
    pub max_queued_records_per_priority: usize,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The policy of the teams' allowances, if the `quota` feature is enabled.
    pub quota: Option<lichencrank_quota::QuotaPolicy>,
    /// How the loss of a zone is detected, and how fast its silent hosts are released and it takes tasks again once it
    /// returns, if the `zones` feature is enabled.
    pub zones: Option<lichencrank_zones::ZoneSettings>,
    /// Job classes that have a wait objective, each with the time in seconds within which its tasks are to start.
    pub wait_objectives_s: Vec<(String, f64)>,
    /// The operators' tuning.
    pub tuning: Tuning,
}

impl Policy {
    /// Derives the policy from settings, tuning and features.
    pub fn new(settings: &SharedSettings, tuning: &Tuning, features: &Features) -> Policy {
        Policy {
            heartbeat_interval: settings.workers.heartbeat_interval(),
            worker_lease: settings.workers.lease(),
            cancellation_timeout: settings.workers.cancellation_timeout(),
            max_host_list_lag: duration_from_seconds(settings.cloud.list_lag_s) * 2,
            tasks_per_record: crate::storage::records::tasks_per_record(
                settings.state_service.max_value_kib,
            ),
            max_probes_in_flight: (settings.resources.max_sockets / 20).max(2),
            max_commands_in_flight: (settings.resources.max_sockets / 16).max(4),
            max_value_bytes: (settings.state_service.max_value_kib * 1024.0) as usize,
            max_txn_changes: settings.state_service.max_txn_changes,
            max_queued_records_per_priority: (settings.state_service.changes_per_s / 2.0).max(4.0)
                as usize,
            teams: settings.teams.clone(),
            quota: quota_policy(&settings.teams, &features.quota),
            zones: features.zones.settings_if_enabled(),
            wait_objectives_s: settings.wait_objectives(),
            tuning: tuning.clone(),
        }
    }

    /// The usual time without a heartbeat after which a host is declared lost.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval
            .mul_f64(self.tuning.lost_after_heartbeat_intervals)
    }

    /// The team with the given name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
