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
    pub front: SocketAddr,
    /// Address for the other controllers.
    #[serde(rename = "internal_addr")]
    pub internal: SocketAddr,
    /// The other controllers.
    #[serde(rename = "others", default, deserialize_with = "null_is_empty")]
    pub peers: Vec<Peer>,
    /// Addresses of other services.
    pub outside: Outside,
    /// What holds for all controllers.
    pub settings: Service,
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
    pub addr: SocketAddr,
}

/// Addresses of the services that the controller uses.
#[derive(Clone, Debug, Deserialize)]
pub struct Outside {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// The settings that all controllers share.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// Zones of the deployment.
    pub zones: Vec<String>,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Times of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud.
    pub cloud: Cloud,
    /// Limits of this process.
    pub resources: Resources,
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
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds within which its tasks are to begin.
    #[serde(default)]
    pub within_s: Option<f64>,
}

impl Service {
    /// Classes that are to begin within so many seconds.
    pub fn hurried(&self) -> Vec<(String, f64)> {
        let waits = self.objectives.iter().filter(|o| o.kind == "wait");
        waits
            .filter_map(|o| Some((o.class.clone()?, o.within_s?)))
            .collect()
    }
}

/// A team's guarantee and limit. A limit of 0 means none; a guarantee of 0 guarantees nothing.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: Option<f64>,
    /// Most CPUs.
    #[serde(default)]
    pub cpus_max: Option<f64>,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: Option<f64>,
    /// Most GPUs.
    #[serde(default)]
    pub gpus_max: Option<f64>,
}

impl Team {
    /// Guaranteed CPUs and GPUs.
    pub fn guaranteed(&self) -> (f64, f64) {
        (self.cpus.unwrap_or(0.0), self.gpus.unwrap_or(0.0))
    }

    /// Most CPUs and GPUs; infinite where there is no limit.
    pub fn limits(&self) -> (f64, f64) {
        let open = |limit: Option<f64>| limit.filter(|l| *l > 0.0).unwrap_or(f64::INFINITY);
        (open(self.cpus_max), open(self.gpus_max))
    }
}

/// Times of the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Interval of reports.
    pub report_s: f64,
    /// How long a worker keeps its tasks without an answer.
    pub lease_s: f64,
    /// How long after its confirmation a cancelled job may have tasks.
    pub cancel_s: f64,
}

impl Workers {
    /// Interval of reports.
    pub fn report(&self) -> Duration {
        duration_from_seconds(self.report_s)
    }

    /// Lease of a worker.
    pub fn lease(&self) -> Duration {
        duration_from_seconds(self.lease_s)
    }

    /// Time for cancellations.
    pub fn cancel(&self) -> Duration {
        duration_from_seconds(self.cancel_s)
    }
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct State {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Size of a value, in KiB of JSON.
    pub value_kb: f64,
    /// Changes of a transaction.
    pub txn_ops: usize,
    /// The limits from some moment on, of which nobody tells.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Each field that is missing stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct NextState {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    pub write_rps: Option<f64>,
    /// Size of a value, in KiB of JSON.
    pub value_kb: Option<f64>,
    /// Changes of a transaction.
    pub txn_ops: Option<usize>,
}

impl State {
    /// What holds now and later: the smaller of both limits, so that no moment matters.
    fn within_next(&mut self) {
        let next = self.next.clone().unwrap_or_default();
        self.rps = next.rps.map_or(self.rps, |n| n.min(self.rps));
        self.write_rps = next
            .write_rps
            .map_or(self.write_rps, |n| n.min(self.write_rps));
        self.value_kb = next
            .value_kb
            .map_or(self.value_kb, |n| n.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    /// Calls a second.
    pub rps: f64,
    /// How far the list usually lags; at times twice that.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize)]
pub struct Resources {
    /// Open sockets.
    pub sockets: usize,
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
        settings.settings.state.within_next();
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let service = &self.settings;
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
        service.state.check_txn_ops()?;
        if service.workers.lease_s <= service.workers.report_s {
            return Err("settings.workers.lease_s: must be above report_s".into());
        }
        if service.resources.sockets < LEAST_SOCKETS {
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

impl Service {
    /// Amounts that have to be above zero, and the one that must not be below.
    fn check_amounts(&self) -> Result<(), String> {
        let next = self.state.next.clone().unwrap_or_default();
        let positive = [
            ("workers.report_s", Some(self.workers.report_s)),
            ("workers.lease_s", Some(self.workers.lease_s)),
            ("workers.cancel_s", Some(self.workers.cancel_s)),
            ("state.rps", Some(self.state.rps)),
            ("state.write_rps", Some(self.state.write_rps)),
            ("state.value_kb", Some(self.state.value_kb)),
            ("state.next.rps", next.rps),
            ("state.next.write_rps", next.write_rps),
            ("state.next.value_kb", next.value_kb),
            ("cloud.rps", Some(self.cloud.rps)),
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

impl State {
    fn check_txn_ops(&self) -> Result<(), String> {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        for (field, ops) in [("txn_ops", Some(self.txn_ops)), ("next.txn_ops", next)] {
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
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
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
