//! Decides how many hosts of which types there are: the demand forecast, capacity pools, scale-out, scale-in and
//! standby capacity for services.

pub mod forecast;
pub mod pools;
pub mod provisioning;
mod scale_in;
mod services;
mod start_options;
pub mod timeline;

pub(crate) use provisioning::Autoscaler;
