//! What is kept in the state service, so that the next leader continues. A record that is absent, of
//! another version or unreadable means that every zone is healthy; it never stops anything.

use serde::{Deserialize, Serialize};

use crate::state::ZoneState;

/// Key of the record.
pub const KEY: &str = "zones";
/// Version of the layout below.
pub const VERSION: u32 = 1;

/// All zones that are not healthy, or have a penalty.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesRecord {
    /// Version of the layout.
    pub version: u32,
    /// The zones.
    pub zones: Vec<ZoneRecord>,
}

/// One zone. Times are of the day, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Its name.
    pub zone: String,
    /// Its state.
    pub state: ZoneState,
    /// Since when it has been in that state.
    pub since_ms: u64,
    /// Its penalty at that time.
    pub penalty: f64,
    /// Whether it was suppressed.
    pub suppressed: bool,
    /// Its machines when the record was written.
    #[serde(default)]
    pub machines: u64,
    /// Of these, the silent ones.
    #[serde(default)]
    pub silent: u64,
    /// Silent machines that waited for the budget.
    #[serde(default)]
    pub waiting: u64,
}

impl ZonesRecord {
    /// Whether this version understands the record.
    pub fn is_understood(&self) -> bool {
        self.version == VERSION
    }
}
