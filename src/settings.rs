//! Settings of a controller, provided by the platform as a JSON file.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

pub use crate::tuning::Tuning;
use crate::types::duration_from_seconds;

/// The settings file of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone of this controller.
    #[serde(rename = "area")]
    pub zone: String,
    /// Listening address for users, workers and health checks.
    #[serde(rename = "front")]
    pub public_address: SocketAddr,
    /// Listening address for the other controllers.
    #[serde(rename = "internal_addr")]
    pub internal_address: SocketAddr,
    /// The other controllers.
    #[serde(rename = "others", default, deserialize_with = "null_is_empty")]
    pub peers: Vec<Peer>,
    /// Addresses of the services that the controller uses.
    #[serde(rename = "outside")]
    pub service_addresses: ServiceAddresses,
    /// The settings that are the same for all controllers.
    #[serde(rename = "settings")]
    pub shared: SharedSettings,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone of the controller.
    #[serde(rename = "area")]
    pub zone: String,
    /// Address on which the controller listens for other controllers.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
}

/// Addresses of the services that the controller uses.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceAddresses {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the state service.
    #[serde(rename = "state")]
    pub state_service: SocketAddr,
}

/// The settings that are the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct SharedSettings {
    /// Zones of the deployment.
    pub zones: Vec<String>,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Heartbeats, leases and cancellation of tasks on the workers.
    pub workers: WorkerSettings,
    /// Rate and size limits of the state service.
    #[serde(rename = "state")]
    pub state_service: StateServiceLimits,
    /// Rate limit and host list lag of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub resources: ProcessLimits,
    /// Service level objectives of job classes.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub objectives: Vec<Objective>,
}

/// A service level objective of a job class.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Kind of the objective. Only `wait` has an effect: it limits the time until tasks start.
    pub kind: String,
    /// Job class that the objective applies to.
    #[serde(rename = "class", default)]
    pub job_class: Option<String>,
    /// Seconds within which tasks of the class should start.
    #[serde(rename = "within_s", default)]
    pub start_within_s: Option<f64>,
}

impl SharedSettings {
    /// The job classes with a wait objective, and the seconds within which their tasks should start.
    pub fn wait_objectives(&self) -> Vec<(String, f64)> {
        let wait_objectives = self
            .objectives
            .iter()
            .filter(|objective| objective.kind == "wait");
        wait_objectives
            .filter_map(|objective| Some((objective.job_class.clone()?, objective.start_within_s?)))
            .collect()
    }
}

/// A team's guarantee and limit. A limit of 0 means that there is no limit; a guarantee of 0 guarantees nothing.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs guaranteed to the team.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: Option<f64>,
    /// Upper limit of the CPUs that the team may use.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: Option<f64>,
    /// GPUs guaranteed to the team.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: Option<f64>,
    /// Upper limit of the GPUs that the team may use.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: Option<f64>,
}

impl Team {
    /// CPUs and GPUs guaranteed to the team; 0 if nothing is guaranteed.
    pub fn guaranteed(&self) -> (f64, f64) {
        (
            self.guaranteed_cpus.unwrap_or(0.0),
            self.guaranteed_gpus.unwrap_or(0.0),
        )
    }

    /// Upper limits of CPUs and GPUs; infinite if there is no limit.
    pub fn limits(&self) -> (f64, f64) {
        let limit_or_infinity =
            |limit: Option<f64>| limit.filter(|limit| *limit > 0.0).unwrap_or(f64::INFINITY);
        (
            limit_or_infinity(self.max_cpus),
            limit_or_infinity(self.max_gpus),
        )
    }
}

/// Timing of the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerSettings {
    /// Interval between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// How long a worker keeps its tasks running without a response to its heartbeats.
    pub lease_s: f64,
    /// How long after the confirmed cancellation of a job its tasks may still run.
    #[serde(rename = "cancel_s")]
    pub cancellation_timeout_s: f64,
}

impl WorkerSettings {
    /// Interval between two heartbeats of a worker.
    pub fn heartbeat_interval(&self) -> Duration {
        duration_from_seconds(self.heartbeat_interval_s)
    }

    /// How long a worker keeps its tasks running without a response to its heartbeats.
    pub fn lease(&self) -> Duration {
        duration_from_seconds(self.lease_s)
    }

    /// How long after the confirmed cancellation of a job its tasks may still run.
    pub fn cancellation_timeout(&self) -> Duration {
        duration_from_seconds(self.cancellation_timeout_s)
    }
}

/// Rate and size limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateServiceLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Puts and deletes per second.
    #[serde(rename = "write_rps")]
    pub changes_per_s: f64,
    /// Upper limit of the size of a value, in KiB of JSON.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Upper limit of the number of changes in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_txn_changes: usize,
    /// Limits that will apply from an unannounced time on.
    #[serde(rename = "next", default)]
    pub future_limits: Option<FutureLimits>,
}

/// Future limits of the state service. The limit of a missing field does not change.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FutureLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: Option<f64>,
    /// Puts and deletes per second.
    #[serde(rename = "write_rps")]
    pub changes_per_s: Option<f64>,
    /// Upper limit of the size of a value, in KiB of JSON.
    #[serde(rename = "value_kb")]
    pub max_value_kib: Option<f64>,
    /// Upper limit of the number of changes in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_txn_changes: Option<usize>,
}

impl StateServiceLimits {
    /// Lowers each limit to its future value if that is smaller. The present and the future limits are then both kept
    /// at any time, so the time of the change does not matter.
    fn lower_to_future_limits(&mut self) {
        let future = self.future_limits.clone().unwrap_or_default();
        self.requests_per_s = future
            .requests_per_s
            .map_or(self.requests_per_s, |limit| limit.min(self.requests_per_s));
        self.changes_per_s = future
            .changes_per_s
            .map_or(self.changes_per_s, |limit| limit.min(self.changes_per_s));
        self.max_value_kib = future
            .max_value_kib
            .map_or(self.max_value_kib, |limit| limit.min(self.max_value_kib));
        self.max_txn_changes = future
            .max_txn_changes
            .map_or(self.max_txn_changes, |limit| {
                limit.min(self.max_txn_changes)
            });
    }
}

/// Limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Calls per second.
    #[serde(rename = "rps")]
    pub calls_per_s: f64,
    /// Usual lag of the host list in seconds. The lag is sometimes twice as long.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Upper limit of the number of open sockets.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
}

/// Number of changes in the largest transaction that cannot be split.
const MIN_TXN_CHANGES: usize = 4;
/// Fewest sockets that a controller works with: for listening, and for connections to the state service, the cloud, the
/// peers and a few workers.
const MIN_SOCKETS: usize = 32;

fn null_is_empty<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(deserializer)?.unwrap_or_default())
}

impl Settings {
    /// Reads and validates a settings file. The error names the file and, if its content is invalid, the field.
    pub fn load(file: &Path) -> Result<Settings, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Settings::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Parses and validates settings. The error names the field.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        // Adds the path of the field to the error, also if a value has the wrong type.
        let mut settings: Settings =
            serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())?;
        json.end().map_err(|e| e.to_string())?;
        settings.validate()?;
        settings.shared.state_service.lower_to_future_limits();
        Ok(settings)
    }

    fn validate(&self) -> Result<(), String> {
        let shared = &self.shared;
        if self.name.is_empty() {
            return Err("host_name: must not be empty".into());
        }
        for (index, peer) in self.peers.iter().enumerate() {
            let mut earlier_peers = self.peers[..index].iter();
            if peer.name == self.name || earlier_peers.any(|earlier| earlier.name == peer.name) {
                return Err(format!("others: {} is listed twice", peer.name));
            }
        }
        shared.validate_amounts()?;
        shared.state_service.validate_max_txn_changes()?;
        if shared.workers.lease_s <= shared.workers.heartbeat_interval_s {
            return Err("settings.workers.lease_s: must be above report_s".into());
        }
        if shared.resources.max_sockets < MIN_SOCKETS {
            return Err(format!(
                "settings.resources.sockets: at least {MIN_SOCKETS} are needed"
            ));
        }
        if shared.zones.is_empty() {
            return Err("settings.zones: must name at least one zone".into());
        }
        for (index, team) in shared.teams.iter().enumerate() {
            if shared.teams[..index]
                .iter()
                .any(|earlier| earlier.name == team.name)
            {
                return Err(format!("settings.teams: {} is listed twice", team.name));
            }
            team.validate()?;
        }
        Ok(())
    }
}

impl SharedSettings {
    /// Checks the amounts that have to be positive, and the lag, which may also be 0.
    fn validate_amounts(&self) -> Result<(), String> {
        let future = self.state_service.future_limits.clone().unwrap_or_default();
        let positive_amounts = [
            ("workers.report_s", Some(self.workers.heartbeat_interval_s)),
            ("workers.lease_s", Some(self.workers.lease_s)),
            (
                "workers.cancel_s",
                Some(self.workers.cancellation_timeout_s),
            ),
            ("state.rps", Some(self.state_service.requests_per_s)),
            ("state.write_rps", Some(self.state_service.changes_per_s)),
            ("state.value_kb", Some(self.state_service.max_value_kib)),
            ("state.next.rps", future.requests_per_s),
            ("state.next.write_rps", future.changes_per_s),
            ("state.next.value_kb", future.max_value_kib),
            ("cloud.rps", Some(self.cloud.calls_per_s)),
        ];
        for (field, value) in positive_amounts {
            if let Some(value) = value.filter(|v| !(v.is_finite() && *v > 0.0)) {
                return Err(format!("settings.{field}: must be above 0, is {value}"));
            }
        }
        let lag_s = self.cloud.list_lag_s;
        if !(lag_s.is_finite() && lag_s >= 0.0) {
            return Err(format!(
                "settings.cloud.list_lag_s: must not be negative, is {lag_s}"
            ));
        }
        Ok(())
    }
}

impl StateServiceLimits {
    fn validate_max_txn_changes(&self) -> Result<(), String> {
        let future_max_changes = self
            .future_limits
            .as_ref()
            .and_then(|limits| limits.max_txn_changes);
        for (field, max_changes) in [
            ("txn_ops", Some(self.max_txn_changes)),
            ("next.txn_ops", future_max_changes),
        ] {
            if max_changes.is_some_and(|changes| changes < MIN_TXN_CHANGES) {
                return Err(format!(
                    "settings.state.{field}: at least {MIN_TXN_CHANGES} are needed to finish a job"
                ));
            }
        }
        Ok(())
    }
}

impl Team {
    fn validate(&self) -> Result<(), String> {
        let amounts = [
            self.guaranteed_cpus,
            self.max_cpus,
            self.guaranteed_gpus,
            self.max_gpus,
        ];
        let is_invalid = |amount: &f64| !(amount.is_finite() && *amount >= 0.0);
        if amounts.iter().flatten().any(is_invalid) {
            return Err(format!(
                "settings.teams: {} has a negative amount",
                self.name
            ));
        }
        let (guaranteed, limits) = (self.guaranteed(), self.limits());
        if guaranteed.0 > limits.0 || guaranteed.1 > limits.1 {
            return Err(format!(
                "settings.teams: {} is guaranteed more than its limit",
                self.name
            ));
        }
        Ok(())
    }
}
