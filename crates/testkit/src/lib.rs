//! Stand-ins for the services around lichencrank. They speak the published protocols, hold everything
//! in memory and serve tests, on loopback or in simulated time.

pub mod faults;
pub mod http;
pub mod loopback;
pub mod state_service;
pub mod values;

pub use faults::{FaultyStore, SharedState};
pub use state_service::{Limits, StateService};
