//! The deployment of a scenario: controllers, zones, limits and teams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ciborium::Value;
use lichencrank_testkit::values::map;
use serde_json::json;

use super::checker::Bounds;
use super::clock::seconds;
use super::ids::NodeIndex;

/// Address of the key-value store.
pub const STORE_ADDRESS: &str = "10.2.0.1:2379";
/// Address of the cloud's API.
pub const CLOUD_ADDRESS: &str = "10.2.0.2:8443";

/// A machine type of the cloud.
#[derive(Clone, Copy, Debug)]
pub struct MachineType {
    /// Name of the machine type.
    pub name: &'static str,
    /// CPUs of a host that tasks can use.
    pub cpus: f64,
}

/// The machine type of all hosts.
pub const MACHINE_TYPE: MachineType = MachineType {
    name: "c8",
    cpus: 8.0,
};

/// A team of users.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Most CPUs that the team may use at the same time. `None` if it has no limit.
    pub cpu_limit: Option<f64>,
}

/// The limits of the key-value store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Most requests per second.
    pub requests_per_second: f64,
    /// Most changes per second.
    pub writes_per_second: f64,
    /// Size of the largest value, in units of 1024 bytes of JSON.
    pub value_kilobytes: f64,
    /// Most changes in a transaction.
    pub transaction_operations: usize,
}

/// Limits of the key-value store that are applied during a scenario.
#[derive(Clone, Copy, Debug)]
pub struct LoweredStoreLimits {
    /// Size of the largest value, in units of 1024 bytes of JSON.
    pub value_kilobytes: f64,
    /// Most changes in a transaction.
    pub transaction_operations: usize,
    /// Most changes per second.
    pub writes_per_second: f64,
}

/// Hosts of one zone that are up when the scenario starts.
#[derive(Clone, Debug)]
pub struct InitialHosts {
    /// Number of hosts.
    pub count: usize,
    /// Zone of the hosts.
    pub zone: String,
}

/// The deployment of a scenario.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of controllers, which are assigned to the zones in turn.
    pub controller_count: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Interval between the heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// How long a worker keeps its tasks without a response from the leader to its heartbeats.
    pub worker_lease: Duration,
    /// Time from the confirmation of a job's cancellation until its tasks have to have ended.
    pub cancellation_timeout: Duration,
    /// Limits of the key-value store at the start.
    pub store_limits: StoreLimits,
    /// Limits that are applied later. The settings of upgraded controllers announce them.
    pub next_store_limits: Option<LoweredStoreLimits>,
    /// Lag of the cloud's list of hosts.
    pub host_list_lag: Duration,
    /// Most hosts that the cloud provides at the same time.
    pub host_capacity: usize,
    /// Approximate time that a host takes to boot.
    pub boot_time: Duration,
    /// Contents of the features file.
    pub features: String,
    /// Whether the feature `zones` is enabled, with which the leader tracks the state of zones.
    pub tracks_zones: bool,
    /// The teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Hosts that are up when the scenario starts.
    pub initial_hosts: Vec<InitialHosts>,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            controller_count: 3,
            zones: vec!["a".to_owned()],
            heartbeat_interval: Duration::from_secs(3),
            worker_lease: Duration::from_secs(16),
            cancellation_timeout: Duration::from_secs(41),
            store_limits: StoreLimits {
                requests_per_second: 200.0,
                writes_per_second: 100.0,
                value_kilobytes: 16.0,
                transaction_operations: 16,
            },
            next_store_limits: None,
            host_list_lag: Duration::from_secs(5),
            host_capacity: 0,
            boot_time: Duration::from_secs(20),
            features: String::new(),
            tracks_zones: false,
            teams: Vec::new(),
            initial_hosts: Vec::new(),
        }
    }
}

impl Deployment {
    /// All controllers.
    pub fn controllers(&self) -> impl Iterator<Item = NodeIndex> {
        (0..self.controller_count).map(NodeIndex)
    }

    /// The zone of a controller.
    pub fn zone_of(&self, node: NodeIndex) -> &str {
        &self.zones[node.0 % self.zones.len()]
    }

    /// The name of a controller.
    pub fn name_of(&self, node: NodeIndex) -> String {
        format!("node-{node}")
    }

    /// Address at which the other controllers reach a controller.
    pub fn internal_address(&self, node: NodeIndex) -> SocketAddr {
        SocketAddr::from((ip_address_of(node), 8081))
    }

    /// The limits of the deployment that the checker enforces.
    pub fn bounds(&self) -> Bounds {
        let teams = self.teams.iter();
        let limits = teams.filter_map(|team| Some((team.name.clone(), team.cpu_limit?)));
        Bounds {
            cancellation_deadline: self.cancellation_timeout,
            team_cpu_limits: limits.collect::<BTreeMap<_, _>>(),
        }
    }

    /// The cloud's list of machine types, as in its protocol.
    pub fn machine_types(&self) -> Value {
        let MachineType { name, cpus } = MACHINE_TYPE;
        let zones = self.zones.iter().map(|zone| zone.as_str().into()).collect();
        let machine_type = map(vec![
            ("sku", name.into()),
            ("cpus", cpus.into()),
            ("cards", 0.0.into()),
            ("ramGb", (cpus * 4.0).into()),
            ("cacheGb", 50.0.into()),
            ("pullGbPerS", 1.0.into()),
            ("rate", (cpus * 0.05).into()),
            ("lowPrice", (cpus * 0.02).into()),
            ("startupS", seconds(self.boot_time).into()),
            ("halls", Value::Array(zones)),
        ]);
        map(vec![("hosttypes", Value::Array(vec![machine_type]))])
    }

    /// The settings file of a controller. With `knows_next_limits` it announces [`Deployment::next_store_limits`].
    pub fn settings_file(&self, node: NodeIndex, knows_next_limits: bool) -> String {
        let settings = json!({
            "host_name": self.name_of(node),
            "area": self.zone_of(node),
            "front": SocketAddr::from((ip_address_of(node), 8080)),
            "internal_addr": self.internal_address(node),
            "others": self.peer_settings(node),
            "outside": {"cloud": CLOUD_ADDRESS, "state": STORE_ADDRESS},
            "settings": {
                "zones": self.zones,
                "teams": self.team_settings(),
                "workers": {
                    "report_s": seconds(self.heartbeat_interval),
                    "lease_s": seconds(self.worker_lease),
                    "cancel_s": seconds(self.cancellation_timeout),
                },
                "state": self.store_settings(knows_next_limits),
                "cloud": {"rps": 20.0, "list_lag_s": seconds(self.host_list_lag)},
                "resources": {"sockets": 1000},
            }
        });
        settings.to_string()
    }

    fn peer_settings(&self, node: NodeIndex) -> Vec<serde_json::Value> {
        let others = self.controllers().filter(|other| *other != node);
        others
            .map(|other| {
                json!({
                    "host_name": self.name_of(other),
                    "area": self.zone_of(other),
                    "addr": self.internal_address(other),
                })
            })
            .collect()
    }

    fn team_settings(&self) -> Vec<serde_json::Value> {
        let settings = |team: &Team| {
            let limit = team.cpu_limit.unwrap_or(0.0);
            json!({"name": team.name, "cpus": limit / 2.0, "cpus_max": limit})
        };
        self.teams.iter().map(settings).collect()
    }

    fn store_settings(&self, knows_next_limits: bool) -> serde_json::Value {
        let next = self.next_store_limits.filter(|_| knows_next_limits);
        let next = next.map(|next| {
            json!({
                "value_kb": next.value_kilobytes,
                "txn_ops": next.transaction_operations,
                "write_rps": next.writes_per_second,
            })
        });
        json!({
            "rps": self.store_limits.requests_per_second,
            "write_rps": self.store_limits.writes_per_second,
            "value_kb": self.store_limits.value_kilobytes,
            "txn_ops": self.store_limits.transaction_operations,
            "next": next,
        })
    }
}

fn ip_address_of(node: NodeIndex) -> [u8; 4] {
    [10, 0, 0, node.0 as u8 + 1]
}
