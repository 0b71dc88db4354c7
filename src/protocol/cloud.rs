//! The cloud's messages.

use serde::{Deserialize, Serialize};

use super::{null_is_empty, Amount};
use crate::types::HostName;

/// A machine type. It is also kept in the state service, for times when the cloud is away.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cpus: Amount,
    #[serde(rename = "cards")]
    pub gpus: Amount,
    #[serde(rename = "ramGb")]
    pub memory_gb: Amount,
    /// Images that it keeps.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: Amount,
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: Amount,
    #[serde(rename = "rate")]
    pub price: Amount,
    #[serde(rename = "lowPrice")]
    pub spot_price: Amount,
    #[serde(rename = "startupS")]
    pub boot_s: Amount,
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "hosttypes")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rental {
    #[serde(rename = "ask")]
    pub request: String,
    #[serde(rename = "hosttype")]
    pub kind: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "howMany")]
    pub count: u64,
}

/// The most machines one rental may ask for, and one release may name.
pub const MAX_RENTAL: u64 = 50;
pub const MAX_RELEASE: usize = 100;
/// The most machines one page of the list holds.
pub const LIST_PAGE: usize = 500;

#[derive(Debug, Serialize, Deserialize)]
pub struct HostNames {
    pub hosts: Vec<HostName>,
}

#[derive(Debug, Deserialize)]
pub struct HostList {
    #[serde(default, deserialize_with = "null_is_empty")]
    pub hosts: Vec<ListedHost>,
    #[serde(default)]
    pub truncated: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ListedHost {
    #[serde(rename = "ref")]
    pub name: HostName,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "hosttype")]
    pub kind: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub status: ListedStatus,
    #[serde(rename = "ageS")]
    pub age_s: Amount,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedStatus {
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
    #[serde(other)]
    Other,
}
