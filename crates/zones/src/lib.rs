//! Decides whether a zone is lost, which machines in it are given up, in which order and at what rate,
//! and how new work returns to it once it is back.
//!
//! [`ZoneTracker`] is fed with what a scheduler observes of each zone and with the time. Nothing here
//! does input or output, and nothing here ends a booking: the scheduler releases the machines that are
//! named to it and waits for the proof that they are gone.
//!
//! - [`observation`]: what is seen of a zone, and whether that means that it is disrupted.
//! - [`state`]: the states of a zone, with one function for every change.
//! - [`damping`]: the penalty of a zone that flaps.
//! - [`budget`]: how many machines are given up or rented in a stretch of time.
//! - [`displacement`]: the order in which machines are given up.
//! - [`ramp`]: how much new work a zone takes while it returns.
//! - [`record`]: what the next leader continues with.

pub mod budget;
pub mod damping;
pub mod displacement;
pub mod observation;
pub mod ramp;
pub mod record;
pub mod settings;
pub mod state;
pub mod tracker;

pub use budget::Budget;
pub use damping::FlapDamping;
pub use displacement::{Candidate, Urgency};
pub use observation::{ControllerReach, ZoneObservation};
pub use record::ZonesRecord;
pub use settings::{DampingSettings, SettingsError, ZoneSettings};
pub use state::{ZoneState, ZoneTransition};
pub use tracker::{ZoneStatus, ZoneTracker};
