//! Decides whether a zone is lost, which machines in it are given up, in which order and at what rate,
//! and how new work returns to it once it is back.
//!
//! [`ZoneTracker`] is fed with what a scheduler observes of each zone and with the time. Nothing here
//! does input or output, and nothing here ends an allocation: the scheduler releases the machines that
//! [`ZoneTracker::displace`] returns and waits for the proof that they are gone.
//!
//! - [`observation`]: what is observed of a zone, and whether that means that it is disrupted.
//! - [`state`]: the states of a zone and what leads from one to the next.
//! - [`damping`]: flap damping, a penalty for zones that are lost again and again.
//! - [`displacement`]: the order in which machines are given up.
//! - [`record`]: what is stored for the next leader.
//! - [`settings`]: thresholds and budgets, with their ranges.
//! - [`tracker`]: all zones together.

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
