//! How many machines there are: demand, capacity pools, scale-out, scale-in and warm spares.

pub mod forecast;
pub mod pools;
pub mod provisioning;
mod scale_in;
mod services;
pub mod timeline;

pub(crate) use provisioning::Autoscaler;
