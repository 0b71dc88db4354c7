//! What `lichencrank zones` shows: the state of every zone, from the record in the state service.

use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lichencrank_store::{BlockingClient, ConditionalStore, Outcome, Request};
use lichencrank_zones::record::{ZoneRecord, KEY};
use lichencrank_zones::ZonesRecord;

use crate::settings::Settings;

/// How long an answer of the state service is awaited.
const PATIENCE: Duration = Duration::from_secs(5);

/// Reads the record and puts it into lines. The error says what could not be read.
pub fn report(settings: &Settings) -> Result<String, String> {
    let mut store = BlockingClient::new(settings.service_addresses.state_service, PATIENCE);
    match store.execute(&Request::Get(KEY.to_owned())) {
        Outcome::Item(None) => Ok(NO_RECORD.to_owned()),
        Outcome::Item(Some(item)) => Ok(render(item.record().as_ref(), day_ms())),
        _ => Err("the state service does not answer".to_owned()),
    }
}

const NO_RECORD: &str = "no record: the feature is off, or every zone has been healthy all along\n";

fn day_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The lines for a record; `None` is one that can't be read.
pub fn render(record: Option<&ZonesRecord>, day_ms: u64) -> String {
    let Some(record) = record.filter(|record| record.is_supported()) else {
        return "the record is of another version: every zone counts as healthy\n".to_owned();
    };
    let mut out = String::new();
    for zone in &record.zones {
        render_zone(&mut out, zone, day_ms);
    }
    out
}

fn render_zone(out: &mut String, zone: &ZoneRecord, day_ms: u64) {
    let since_s = day_ms.saturating_sub(zone.since_ms) / 1000;
    let suppressed = if zone.is_suppressed {
        ", takes no new work"
    } else {
        ""
    };
    let _ = writeln!(
        out,
        "zone {}: {} for {since_s} s{suppressed}",
        zone.zone, zone.state
    );
    let _ = writeln!(
        out,
        "  at that change: {} of {} machines silent, penalty {:.0}, {} waited for the budget",
        zone.silent_hosts, zone.hosts, zone.penalty, zone.waiting_hosts
    );
}
