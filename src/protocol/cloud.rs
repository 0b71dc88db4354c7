//! The cloud's messages.

use serde::{Deserialize, Serialize};

use super::{null_is_empty, Amount};
use crate::types::HostName;

/// A machine type. It is also kept in the state service, for times when the cloud is away.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a machine.
    pub cpus: Amount,
    /// GPUs of a machine.
    #[serde(rename = "cards")]
    pub gpus: Amount,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: Amount,
    /// Images that it keeps.
    #[serde(rename = "cacheGb", default)]
    pub image_cache_gb: Amount,
    /// How fast images are fetched, in GB a second.
    #[serde(rename = "pullGbPerS")]
    pub image_fetch_gb_per_s: Amount,
    /// Price of an ordinary machine, an hour.
    #[serde(rename = "rate")]
    pub on_demand_price_per_hour: Amount,
    /// Present price of a spot machine, an hour.
    #[serde(rename = "lowPrice")]
    pub spot_price_per_hour: Amount,
    /// Usual boot time in seconds.
    #[serde(rename = "startupS")]
    pub boot_time_s: Amount,
    /// Zones in which it is offered.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// Answer of the cloud: the machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types.
    #[serde(rename = "hosttypes")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProvisionRequest {
    /// Name of the request. One that was answered 200 is never used again.
    #[serde(rename = "ask")]
    pub name: String,
    /// Machine type.
    #[serde(rename = "hosttype")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot machines rather than ordinary ones.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// How many.
    #[serde(rename = "howMany")]
    pub count: u64,
}

/// The most machines one rental may ask for, and one release may name.
pub const MAX_PROVISION_COUNT: u64 = 50;
/// Machines that one release may name.
pub const MAX_RELEASE_COUNT: usize = 100;
/// The most machines one page of the list holds.
pub const HOST_LIST_PAGE_SIZE: usize = 500;

/// Names of machines, as rented or to be released.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostNames {
    /// The names.
    pub hosts: Vec<HostName>,
}

/// A page of the cloud's machine list.
#[derive(Debug, Deserialize)]
pub struct HostList {
    /// Machines in the order of their names.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub hosts: Vec<ListedHost>,
    /// More pages follow.
    #[serde(rename = "truncated", default)]
    pub has_more_pages: bool,
}

/// A machine as the list shows it, some seconds ago.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedHost {
    /// Its name.
    #[serde(rename = "ref")]
    pub name: HostName,
    /// Address of its worker.
    #[serde(default)]
    pub address: String,
    /// Machine type.
    #[serde(rename = "hosttype")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Its state.
    #[serde(rename = "status")]
    pub state: ListedHostState,
    /// Seconds since it was rented.
    #[serde(rename = "ageS")]
    pub age_s: Amount,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedHostState {
    /// It boots.
    #[serde(rename = "starting")]
    Starting,
    /// It is up.
    #[serde(rename = "running")]
    Running,
    /// It stopped by itself, and is listed until it is released.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}
