//! The platform's settings (JSON) and the operators' own tuning (YAML).

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::types::seconds;

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    #[serde(rename = "host_name")]
    pub name: String,
    #[serde(rename = "area")]
    pub zone: String,
    pub front: SocketAddr,
    #[serde(rename = "internal_addr")]
    pub internal: SocketAddr,
    #[serde(rename = "others", default, deserialize_with = "null_is_empty")]
    pub peers: Vec<Peer>,
    pub outside: Outside,
    pub settings: Service,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    #[serde(rename = "host_name")]
    pub name: String,
    #[serde(rename = "area")]
    pub zone: String,
    pub addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub resources: Resources,
    /// What is expected of classes of jobs.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub objectives: Vec<Objective>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
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
    pub name: String,
    #[serde(default)]
    pub cpus: Option<f64>,
    #[serde(default)]
    pub cpus_max: Option<f64>,
    #[serde(default)]
    pub gpus: Option<f64>,
    #[serde(default)]
    pub gpus_max: Option<f64>,
}

impl Team {
    pub fn guaranteed(&self) -> (f64, f64) {
        (self.cpus.unwrap_or(0.0), self.gpus.unwrap_or(0.0))
    }

    pub fn limits(&self) -> (f64, f64) {
        let open = |limit: Option<f64>| limit.filter(|l| *l > 0.0).unwrap_or(f64::INFINITY);
        (open(self.cpus_max), open(self.gpus_max))
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

impl Workers {
    pub fn report(&self) -> Duration {
        seconds(self.report_s)
    }

    pub fn lease(&self) -> Duration {
        seconds(self.lease_s)
    }

    pub fn cancel(&self) -> Duration {
        seconds(self.cancel_s)
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// The limits from some moment on, of which nobody tells.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Each field that is missing stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct NextState {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
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

#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    /// How far the list usually lags; at times twice that.
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Resources {
    pub sockets: usize,
}

/// What the largest step that can't be split takes.
const LEAST_OPS: usize = 4;

fn null_is_empty<'de, D, T>(d: D) -> Result<Vec<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(d)?.unwrap_or_default())
}

impl Settings {
    pub fn load(file: &Path) -> Result<Settings, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Settings::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

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
        let s = &self.settings;
        let positive = [
            ("settings.workers.report_s", s.workers.report_s),
            ("settings.workers.lease_s", s.workers.lease_s),
            ("settings.workers.cancel_s", s.workers.cancel_s),
            ("settings.state.rps", s.state.rps),
            ("settings.state.write_rps", s.state.write_rps),
            ("settings.state.value_kb", s.state.value_kb),
            ("settings.cloud.rps", s.cloud.rps),
        ];
        let next = s.state.next.clone().unwrap_or_default();
        let next_limits = [
            ("settings.state.next.rps", next.rps),
            ("settings.state.next.write_rps", next.write_rps),
            ("settings.state.next.value_kb", next.value_kb),
        ];
        let next_limits = next_limits.iter().filter_map(|(f, v)| v.map(|v| (*f, v)));
        let positive = positive.into_iter().chain(next_limits);
        let lag = s.cloud.list_lag_s;
        if !(lag.is_finite() && lag >= 0.0) {
            return Err(format!(
                "settings.cloud.list_lag_s: must not be negative, is {lag}"
            ));
        }
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(format!("{field}: must be above 0, is {value}"));
            }
        }
        if s.workers.lease_s <= s.workers.report_s {
            return Err("settings.workers.lease_s: must be above report_s".into());
        }
        let next_ops = next.txn_ops.unwrap_or(s.state.txn_ops);
        for (field, ops) in [("txn_ops", s.state.txn_ops), ("next.txn_ops", next_ops)] {
            if ops < LEAST_OPS {
                return Err(format!(
                    "settings.state.{field}: at least {LEAST_OPS} are needed to finish a job"
                ));
            }
        }
        if s.resources.sockets < 32 {
            return Err("settings.resources.sockets: at least 32 are needed".into());
        }
        if s.zones.is_empty() {
            return Err("settings.zones: names no zone".into());
        }
        if self.name.is_empty() {
            return Err("host_name: is empty".into());
        }
        for (i, peer) in self.peers.iter().enumerate() {
            if peer.name == self.name || self.peers[..i].iter().any(|p| p.name == peer.name) {
                return Err(format!("others: {} stands there twice", peer.name));
            }
        }
        for (i, team) in s.teams.iter().enumerate() {
            if s.teams[..i].iter().any(|t| t.name == team.name) {
                return Err(format!("settings.teams: {} stands there twice", team.name));
            }
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts
                .iter()
                .flatten()
                .any(|a| !(a.is_finite() && *a >= 0.0))
            {
                return Err(format!(
                    "settings.teams: {} has a negative amount",
                    team.name
                ));
            }
            let (guaranteed, limits) = (team.guaranteed(), team.limits());
            if guaranteed.0 > limits.0 || guaranteed.1 > limits.1 {
                return Err(format!(
                    "settings.teams: {} is guaranteed more than its limit",
                    team.name
                ));
            }
        }
        Ok(())
    }
}

/// What operators may tune; every field has a default and a checked range.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Tuning {
    /// How long the leader's lease lasts without a renewal.
    pub leader_lease_s: f64,
    /// The least time between two batches of records.
    pub batch_interval_s: f64,
    /// Machines that the peak demand of this long did not need are cordoned and returned.
    pub idle_return_s: f64,
    /// How much more than that peak is kept.
    pub spare_share: f64,
    /// A machine silent for this many report intervals is given up.
    pub silent_reports: f64,
    /// A rented machine that is not up after this many times its boot time is replaced.
    pub boot_patience: f64,
    /// A job of which nothing has begun for this long goes before all others.
    pub starve_after_s: f64,
    /// CPUs on ordinary machines that are kept ready for classes of which no job has come yet, if they
    /// are to begin sooner than a machine boots.
    pub standby_cpus: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            leader_lease_s: 3.0,
            batch_interval_s: 0.0,
            idle_return_s: 25.0,
            spare_share: 0.0,
            silent_reports: 3.5,
            boot_patience: 2.5,
            starve_after_s: 100.0,
            standby_cpus: 16.0,
        }
    }
}

impl Tuning {
    pub fn load(file: &Path) -> Result<Tuning, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Tuning::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    pub fn parse(text: &str) -> Result<Tuning, String> {
        // An empty file is an ordinary way to say "all defaults".
        let tuning: Option<Tuning> = serde_norway::from_str(text).map_err(|e| e.to_string())?;
        let tuning = tuning.unwrap_or_default();
        let ranges = [
            ("leader_lease_s", tuning.leader_lease_s, 1.0, 60.0),
            ("batch_interval_s", tuning.batch_interval_s, 0.0, 10.0),
            ("idle_return_s", tuning.idle_return_s, 0.0, 86_400.0),
            ("spare_share", tuning.spare_share, 0.0, 10.0),
            ("silent_reports", tuning.silent_reports, 2.0, 100.0),
            ("boot_patience", tuning.boot_patience, 1.5, 100.0),
            ("starve_after_s", tuning.starve_after_s, 1.0, 86_400.0),
            ("standby_cpus", tuning.standby_cpus, 0.0, 100_000.0),
        ];
        for (field, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!(
                    "{field}: must be from {least} to {most}, is {value}"
                ));
            }
        }
        Ok(tuning)
    }
}
