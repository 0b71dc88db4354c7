//! Decides whether a zone is lost, which of its hosts are released, in which order and at what rate, and how
//! many new tasks it takes once it returns.
//!
//! [`ZoneTracker`] takes the time and what a scheduler observes of each zone. This crate does no input or
//! output and ends no allocation: the scheduler releases the hosts that [`ZoneTracker::displace`] returns, and
//! waits for the proof that they are gone.
//!
//! - [`observation`]: what is observed of a zone, and whether the zone is therefore disrupted.
//! - [`state`]: the states of a zone and the transitions between them.
//! - [`damping`]: flap damping, a penalty for zones that are lost repeatedly.
//! - [`displacement`]: the order in which hosts are released.
//! - [`record`]: the record that is stored for the next leader.
//! - [`settings`]: thresholds and budgets, with their valid ranges.
//! - [`tracker`]: the state of all zones, and the decisions based on it.

pub mod damping;
pub mod displacement;
pub mod observation;
pub mod record;
mod return_ramp;
pub mod settings;
pub mod state;
mod token_bucket;
pub mod tracker;
mod zone;

pub use damping::FlapDamping;
pub use displacement::{Candidate, Urgency};
pub use observation::{ControllerReach, HostObservation, ZoneObservation};
pub use record::ZonesRecord;
pub use settings::{DampingSettings, SettingsError, ZoneSettings};
pub use state::{ZoneState, ZoneTransition};
pub use tracker::{ZoneStatus, ZoneTracker};
