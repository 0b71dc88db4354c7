//! What is kept in the state service, so that the next leader continues. A record that is absent, of
//! another version or unreadable means that every zone is healthy; it never stops anything.

use serde::{Deserialize, Serialize};

use crate::state::ZoneState;

/// Key of the record.
pub const KEY: &str = "zones";
/// Version of the layout below.
pub const VERSION: u32 = 1;

/// All zones that a leader has observed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesRecord {
    /// Version of the layout.
    pub version: u32,
    /// The zones, by name.
    pub zones: Vec<ZoneRecord>,
}

/// One zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Its name.
    pub zone: String,
    /// Its state.
    pub state: ZoneState,
    /// When it entered that state, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Its penalty at that time.
    pub penalty: f64,
    /// Whether it was suppressed.
    #[serde(rename = "suppressed")]
    pub is_suppressed: bool,
    /// Its machines when the record was written.
    #[serde(rename = "machines", default)]
    pub hosts: u64,
    /// How many of them were silent.
    #[serde(rename = "silent", default)]
    pub silent_hosts: u64,
    /// How many silent machines waited for the displacement budget.
    #[serde(rename = "waiting", default)]
    pub waiting_hosts: u64,
}

impl ZonesRecord {
    /// Whether this version of the program can use the record.
    pub fn is_supported(&self) -> bool {
        self.version == VERSION
    }

    /// Whether both records list the same zones in the same states.
    pub(crate) fn has_same_states(&self, other: &ZonesRecord) -> bool {
        fn name_and_state(zone: &ZoneRecord) -> (&str, ZoneState) {
            (&zone.zone, zone.state)
        }
        let states = self.zones.iter().map(name_and_state);
        states.eq(other.zones.iter().map(name_and_state))
    }
}
