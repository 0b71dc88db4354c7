//! What follows from the settings for every decision.

use std::time::Duration;

use crate::coordination::quota_policy;
use crate::features::Features;
use crate::settings::{Service, Team, Tuning};
use crate::types::duration_from_seconds;

/// The settings that decisions depend on.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Interval of reports.
    pub heartbeat_interval: Duration,
    /// Lease of workers.
    pub worker_lease: Duration,
    /// Time for cancellations.
    pub cancellation_timeout: Duration,
    /// How far the cloud's list lags at the most.
    pub max_host_list_lag: Duration,
    /// How many tasks share a run record.
    pub tasks_per_record: u32,
    /// Machines that may be asked at once whether they hear: each takes a socket for a while.
    pub max_probes_in_flight: usize,
    /// Direct commands that may be under way at once, for the same reason; the others wait.
    pub max_commands_in_flight: usize,
    /// What a value and a transaction may hold at the most.
    pub max_value_bytes: usize,
    /// Changes that a transaction may hold.
    pub max_txn_changes: usize,
    /// Records of the lowest priority that may wait for being written; each higher one may have as
    /// many again. What is booked beyond that would only hold machines idle.
    pub max_queued_records_per_priority: usize,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The policy of the teams' allowances, where that feature is on.
    pub quota: Option<lichencrank_quota::QuotaPolicy>,
    /// How lost zones are judged and emptied, where that feature is on.
    pub zones: Option<lichencrank_zones::ZoneSettings>,
    /// Classes that are to begin within so many seconds.
    pub wait_objectives_s: Vec<(String, f64)>,
    /// What operators have tuned.
    pub tuning: Tuning,
}

impl Policy {
    /// The policy that follows from the settings.
    pub fn new(service: &Service, tuning: &Tuning, features: &Features) -> Policy {
        Policy {
            heartbeat_interval: service.workers.report(),
            worker_lease: service.workers.lease(),
            cancellation_timeout: service.workers.cancel(),
            max_host_list_lag: duration_from_seconds(service.cloud.list_lag_s) * 2,
            tasks_per_record: crate::storage::records::tasks_per_record(service.state.value_kb),
            max_probes_in_flight: (service.resources.sockets / 20).max(2),
            max_commands_in_flight: (service.resources.sockets / 16).max(4),
            max_value_bytes: (service.state.value_kb * 1024.0) as usize,
            max_txn_changes: service.state.txn_ops,
            max_queued_records_per_priority: (service.state.write_rps / 2.0).max(4.0) as usize,
            teams: service.teams.clone(),
            quota: quota_policy(&service.teams, &features.quota),
            zones: features.zones.settings_if_enabled(),
            wait_objectives_s: service.hurried(),
            tuning: tuning.clone(),
        }
    }

    /// A machine without a report for longer counts as silent.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval.mul_f64(self.tuning.silent_reports)
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
