//! Messages of the cloud's API.

use serde::{Deserialize, Serialize};

use super::{null_is_empty, Amount};
use crate::types::HostName;

/// A machine type. The types are also stored in the state service, for use while the cloud is unreachable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a host.
    pub cpus: Amount,
    /// GPUs of a host.
    #[serde(rename = "cards")]
    pub gpus: Amount,
    /// Memory of a host in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: Amount,
    /// Size of a host's image cache in GB.
    #[serde(rename = "cacheGb", default)]
    pub image_cache_gb: Amount,
    /// Rate at which a host fetches images, in GB per second.
    #[serde(rename = "pullGbPerS")]
    pub image_fetch_gb_per_s: Amount,
    /// Price of an on-demand host per hour.
    #[serde(rename = "rate")]
    pub on_demand_price_per_hour: Amount,
    /// Current price of a spot host per hour.
    #[serde(rename = "lowPrice")]
    pub spot_price_per_hour: Amount,
    /// Usual boot time in seconds.
    #[serde(rename = "startupS")]
    pub boot_time_s: Amount,
    /// Zones in which the type is offered.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// All machine types, as the cloud returns them and as the state service stores them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "hosttypes")]
    pub machine_types: Vec<MachineType>,
}

/// A request for new hosts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProvisionRequest {
    /// Name of the request. A name whose request returned 200 is never used again.
    #[serde(rename = "ask")]
    pub name: String,
    /// Machine type of the hosts.
    #[serde(rename = "hosttype")]
    pub machine_type: String,
    /// Zone of the hosts.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether to provision spot hosts instead of on-demand ones.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Number of hosts.
    #[serde(rename = "howMany")]
    pub count: u64,
}

/// Upper limit of the number of hosts in a provisioning request.
pub const MAX_PROVISION_COUNT: u64 = 50;
/// Upper limit of the number of hosts in a release request.
pub const MAX_RELEASE_COUNT: usize = 100;
/// Upper limit of the number of hosts on a page of the host list.
pub const HOST_LIST_PAGE_SIZE: usize = 500;

/// Names of hosts that were provisioned or are to be released.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostNames {
    /// Names of the hosts.
    pub hosts: Vec<HostName>,
}

/// A page of the cloud's host list.
#[derive(Debug, Deserialize)]
pub struct HostList {
    /// Hosts in the order of their names.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub hosts: Vec<ListedHost>,
    /// Whether more pages follow.
    #[serde(rename = "truncated", default)]
    pub has_more_pages: bool,
}

/// A host in the host list, which lags behind the actual state by some seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    #[serde(rename = "ref")]
    pub name: HostName,
    /// Address of the host's worker.
    #[serde(default)]
    pub address: String,
    /// Machine type of the host.
    #[serde(rename = "hosttype")]
    pub machine_type: String,
    /// Zone of the host.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the host is a spot host.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// State of the host.
    #[serde(rename = "status")]
    pub state: ListedHostState,
    /// Seconds since the host was provisioned.
    #[serde(rename = "ageS")]
    pub age_s: Amount,
}

/// State of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedHostState {
    /// The host is booting.
    #[serde(rename = "starting")]
    Starting,
    /// The host is up.
    #[serde(rename = "running")]
    Running,
    /// The host stopped without having been released. It stays in the list until it is released.
    #[serde(rename = "failed")]
    Failed,
    /// A state of a later protocol version.
    #[serde(other)]
    Other,
}
