//! The output of `lichencrank zones`: the state of every zone, read from the zones record in the state service.

use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lichencrank_store::{BlockingClient, ConditionalStore, Outcome, Request};
use lichencrank_zones::record::{ZoneRecord, KEY};
use lichencrank_zones::ZonesRecord;

use crate::settings::Settings;

/// Timeout of a request to the state service.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the zones record and renders the report. The error says what could not be read.
pub fn report(settings: &Settings) -> Result<String, String> {
    let mut store = BlockingClient::new(settings.service_addresses.state_service, STORE_TIMEOUT);
    match store.execute(&Request::Get(KEY.to_owned())) {
        Outcome::Item(None) => Ok(NO_RECORD.to_owned()),
        Outcome::Item(Some(item)) => Ok(render(item.record().as_ref(), wall_clock_ms())),
        _ => Err("the state service does not answer".to_owned()),
    }
}

/// Printed if there is no zones record, which is first written when a zone ceases to be healthy.
const NO_RECORD: &str = "no record: the feature is off, or every zone has been healthy all along\n";

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// The lines of the report, which operators' tools read. `None` stands for a record that cannot be decoded.
pub fn render(record: Option<&ZonesRecord>, wall_clock_ms: u64) -> String {
    let Some(record) = record.filter(|record| record.is_supported()) else {
        return "the record is of another version: every zone counts as healthy\n".to_owned();
    };
    let mut out = String::new();
    for zone in &record.zones {
        render_zone(&mut out, zone, wall_clock_ms);
    }
    out
}

fn render_zone(out: &mut String, zone: &ZoneRecord, wall_clock_ms: u64) {
    let state_age_s = wall_clock_ms.saturating_sub(zone.since_ms) / 1000;
    let suppressed_suffix = if zone.is_suppressed {
        ", takes no new work"
    } else {
        ""
    };
    let _ = writeln!(
        out,
        "zone {}: {} for {state_age_s} s{suppressed_suffix}",
        zone.zone, zone.state
    );
    let _ = writeln!(
        out,
        "  at that change: {} of {} machines silent, penalty {:.0}, {} waited for the budget",
        zone.silent_hosts, zone.hosts, zone.penalty, zone.waiting_hosts
    );
}
