//! The platform's settings (JSON).

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

pub use crate::tuning::Tuning;
use crate::types::duration_from_seconds;

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone of this controller.
    #[serde(rename = "area")]
    pub zone: String,
    /// Address for users, workers and health checks.
    #[serde(rename = "front")]
    pub public_address: SocketAddr,
    /// Address for the other controllers.
    #[serde(rename = "internal_addr")]
    pub internal_address: SocketAddr,
    /// The other controllers.
    #[serde(rename = "others", default, deserialize_with = "null_is_empty")]
    pub peers: Vec<Peer>,
    /// Addresses of other services.
    #[serde(rename = "outside")]
    pub service_addresses: ServiceAddresses,
    /// What holds for all controllers.
    #[serde(rename = "settings")]
    pub shared: SharedSettings,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// Its address for controllers.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
}

/// Addresses of the services that the controller uses.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceAddresses {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    #[serde(rename = "state")]
    pub state_service: SocketAddr,
}

/// The settings that all controllers share.
#[derive(Clone, Debug, Deserialize)]
pub struct SharedSettings {
    /// Zones of the deployment.
    pub zones: Vec<String>,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Times of the workers.
    pub workers: WorkerSettings,
    /// Limits of the state service.
    #[serde(rename = "state")]
    pub state_service: StateServiceLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub resources: ProcessLimits,
    /// What is expected of classes of jobs.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub objectives: Vec<Objective>,
}

/// What operators expect of a class of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Kind of the objective, such as `wait`.
    pub kind: String,
    /// Class that it is about.
    #[serde(rename = "class", default)]
    pub job_class: Option<String>,
    /// Seconds within which its tasks are to begin.
    #[serde(rename = "within_s", default)]
    pub start_within_s: Option<f64>,
}

impl SharedSettings {
    /// Classes that are to begin within so many seconds.
    pub fn wait_objectives(&self) -> Vec<(String, f64)> {
        let waits = self.objectives.iter().filter(|o| o.kind == "wait");
        waits
            .filter_map(|o| Some((o.job_class.clone()?, o.start_within_s?)))
            .collect()
    }
}

/// A team's guarantee and limit. A limit of 0 means none; a guarantee of 0 guarantees nothing.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: Option<f64>,
    /// Most CPUs.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: Option<f64>,
    /// Guaranteed GPUs.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: Option<f64>,
    /// Most GPUs.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: Option<f64>,
}

impl Team {
    /// Guaranteed CPUs and GPUs.
    pub fn guaranteed(&self) -> (f64, f64) {
        (
            self.guaranteed_cpus.unwrap_or(0.0),
            self.guaranteed_gpus.unwrap_or(0.0),
        )
    }

    /// Most CPUs and GPUs; infinite where there is no limit.
    pub fn limits(&self) -> (f64, f64) {
        let open = |limit: Option<f64>| limit.filter(|l| *l > 0.0).unwrap_or(f64::INFINITY);
        (open(self.max_cpus), open(self.max_gpus))
    }
}

/// Times of the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerSettings {
    /// Interval of reports.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// How long a worker keeps its tasks without an answer.
    pub lease_s: f64,
    /// How long after its confirmation a cancelled job may have tasks.
    #[serde(rename = "cancel_s")]
    pub cancellation_timeout_s: f64,
}

impl WorkerSettings {
    /// Interval of reports.
    pub fn heartbeat_interval(&self) -> Duration {
        duration_from_seconds(self.heartbeat_interval_s)
    }

    /// Lease of a worker.
    pub fn lease(&self) -> Duration {
        duration_from_seconds(self.lease_s)
    }

    /// Time for cancellations.
    pub fn cancellation_timeout(&self) -> Duration {
        duration_from_seconds(self.cancellation_timeout_s)
    }
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateServiceLimits {
    /// Requests a second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Puts and deletes a second.
    #[serde(rename = "write_rps")]
    pub changes_per_s: f64,
    /// Size of a value, in KiB of JSON.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Changes of a transaction.
    #[serde(rename = "txn_ops")]
    pub max_txn_changes: usize,
    /// The limits from some moment on, of which nobody tells.
    #[serde(rename = "next", default)]
    pub future_limits: Option<FutureLimits>,
}

/// Each field that is missing stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FutureLimits {
    /// Requests a second.
    #[serde(rename = "rps")]
    pub requests_per_s: Option<f64>,
    /// Puts and deletes a second.
    #[serde(rename = "write_rps")]
    pub changes_per_s: Option<f64>,
    /// Size of a value, in KiB of JSON.
    #[serde(rename = "value_kb")]
    pub max_value_kib: Option<f64>,
    /// Changes of a transaction.
    #[serde(rename = "txn_ops")]
    pub max_txn_changes: Option<usize>,
}

impl StateServiceLimits {
    /// What holds now and later: the smaller of both limits, so that no moment matters.
    fn lower_to_future_limits(&mut self) {
        let next = self.future_limits.clone().unwrap_or_default();
        self.requests_per_s = next
            .requests_per_s
            .map_or(self.requests_per_s, |n| n.min(self.requests_per_s));
        self.changes_per_s = next
            .changes_per_s
            .map_or(self.changes_per_s, |n| n.min(self.changes_per_s));
        self.max_value_kib = next
            .max_value_kib
            .map_or(self.max_value_kib, |n| n.min(self.max_value_kib));
        self.max_txn_changes = next
            .max_txn_changes
            .map_or(self.max_txn_changes, |n| n.min(self.max_txn_changes));
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    #[serde(rename = "rps")]
    pub calls_per_s: f64,
    /// How far the list usually lags; at times twice that.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Open sockets.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
}

/// What the largest step that can't be split takes.
const LEAST_OPS: usize = 4;
/// Sockets for listening, the state service, the cloud, peers and a few workers.
const LEAST_SOCKETS: usize = 32;

fn null_is_empty<'de, D, T>(d: D) -> Result<Vec<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(d)?.unwrap_or_default())
}

impl Settings {
    /// Reads and checks a settings file. The error names the file and the field.
    pub fn load(file: &Path) -> Result<Settings, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Settings::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Reads and checks settings. The error names the field.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        // The path says which field is meant, also where a value is just of the wrong kind.
        let mut settings: Settings =
            serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())?;
        json.end().map_err(|e| e.to_string())?;
        settings.check()?;
        settings.shared.state_service.lower_to_future_limits();
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let service = &self.shared;
        if self.name.is_empty() {
            return Err("host_name: is empty".into());
        }
        for (at, peer) in self.peers.iter().enumerate() {
            let mut before = self.peers[..at].iter();
            if peer.name == self.name || before.any(|p| p.name == peer.name) {
                return Err(format!("others: {} stands there twice", peer.name));
            }
        }
        service.check_amounts()?;
        service.state_service.check_max_txn_changes()?;
        if service.workers.lease_s <= service.workers.heartbeat_interval_s {
            return Err("settings.workers.lease_s: must be above report_s".into());
        }
        if service.resources.max_sockets < LEAST_SOCKETS {
            return Err(format!(
                "settings.resources.sockets: at least {LEAST_SOCKETS} are needed"
            ));
        }
        if service.zones.is_empty() {
            return Err("settings.zones: names no zone".into());
        }
        for (at, team) in service.teams.iter().enumerate() {
            if service.teams[..at].iter().any(|t| t.name == team.name) {
                return Err(format!("settings.teams: {} stands there twice", team.name));
            }
            team.check()?;
        }
        Ok(())
    }
}

impl SharedSettings {
    /// Amounts that have to be above zero, and the one that must not be below.
    fn check_amounts(&self) -> Result<(), String> {
        let next = self.state_service.future_limits.clone().unwrap_or_default();
        let positive = [
            ("workers.report_s", Some(self.workers.heartbeat_interval_s)),
            ("workers.lease_s", Some(self.workers.lease_s)),
            (
                "workers.cancel_s",
                Some(self.workers.cancellation_timeout_s),
            ),
            ("state.rps", Some(self.state_service.requests_per_s)),
            ("state.write_rps", Some(self.state_service.changes_per_s)),
            ("state.value_kb", Some(self.state_service.max_value_kib)),
            ("state.next.rps", next.requests_per_s),
            ("state.next.write_rps", next.changes_per_s),
            ("state.next.value_kb", next.max_value_kib),
            ("cloud.rps", Some(self.cloud.calls_per_s)),
        ];
        for (field, value) in positive {
            if let Some(value) = value.filter(|v| !(v.is_finite() && *v > 0.0)) {
                return Err(format!("settings.{field}: must be above 0, is {value}"));
            }
        }
        let lag = self.cloud.list_lag_s;
        if !(lag.is_finite() && lag >= 0.0) {
            return Err(format!(
                "settings.cloud.list_lag_s: must not be negative, is {lag}"
            ));
        }
        Ok(())
    }
}

impl StateServiceLimits {
    fn check_max_txn_changes(&self) -> Result<(), String> {
        let next = self
            .future_limits
            .as_ref()
            .and_then(|next| next.max_txn_changes);
        for (field, ops) in [
            ("txn_ops", Some(self.max_txn_changes)),
            ("next.txn_ops", next),
        ] {
            if ops.is_some_and(|ops| ops < LEAST_OPS) {
                return Err(format!(
                    "settings.state.{field}: at least {LEAST_OPS} are needed to finish a job"
                ));
            }
        }
        Ok(())
    }
}

impl Team {
    fn check(&self) -> Result<(), String> {
        let amounts = [
            self.guaranteed_cpus,
            self.max_cpus,
            self.guaranteed_gpus,
            self.max_gpus,
        ];
        let wrong = |amount: &f64| !(amount.is_finite() && *amount >= 0.0);
        if amounts.iter().flatten().any(wrong) {
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
