//! The record of all zones in the state service, from which the next leader restores their states. If the
//! record is absent, unreadable or of another version, every zone counts as healthy; it never stops the leader.

use serde::{Deserialize, Serialize};

use crate::state::ZoneState;

/// Key of the record in the state service.
pub const KEY: &str = "zones";
/// Version of the record's layout.
pub const VERSION: u32 = 1;

/// The record of all zones that a leader has observed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesRecord {
    /// Version of the record's layout.
    pub version: u32,
    /// The zones, by name.
    pub zones: Vec<ZoneRecord>,
}

/// The record of one zone. Some fields have other names in the stored form, given as `rename`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Name of the zone.
    pub zone: String,
    /// State of the zone.
    pub state: ZoneState,
    /// When the zone entered that state, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Penalty of the zone when it entered that state.
    pub penalty: f64,
    /// Whether the zone was suppressed when the record was written.
    #[serde(rename = "suppressed")]
    pub is_suppressed: bool,
    /// Hosts of the zone when the record was written.
    #[serde(rename = "machines", default)]
    pub hosts: u64,
    /// How many of these hosts were silent.
    #[serde(rename = "silent", default)]
    pub silent_hosts: u64,
    /// How many silent hosts waited for the displacement budget.
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
