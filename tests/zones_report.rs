//! The output of `lichencrank zones` for zones records that a leader has written.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use lichencrank::settings::Settings;
use lichencrank::zones_report::{render, report};
use lichencrank_store::{value, BlockingClient, Change, ConditionalStore, Outcome, Request, Txn};
use lichencrank_testkit::loopback::start_store;
use lichencrank_zones::record::{ZoneRecord, KEY, VERSION};
use lichencrank_zones::{ZoneState, ZonesRecord};

const WALL_CLOCK_MS: u64 = 1_700_000_000_000;

fn record() -> ZonesRecord {
    ZonesRecord {
        version: VERSION,
        zones: vec![ZoneRecord {
            zone: "b".into(),
            state: ZoneState::Lost,
            since_ms: WALL_CLOCK_MS - 42_000,
            penalty: 1616.2,
            is_suppressed: true,
            hosts: 20,
            silent_hosts: 19,
            waiting_hosts: 3,
        }],
    }
}

#[test]
fn a_zone_is_printed_with_the_cause_of_its_state() {
    let lines = render(Some(&record()), WALL_CLOCK_MS);
    let expected = "zone b: lost for 42 s, takes no new work\n  \
        at that change: 19 of 20 machines silent, penalty 1616, 3 waited for the budget\n";
    assert_eq!(lines, expected);
}

#[test]
fn a_record_of_another_version_is_reported() {
    let mut newer = record();
    newer.version += 1;
    assert!(render(Some(&newer), WALL_CLOCK_MS).contains("another version"));
    assert!(render(None, WALL_CLOCK_MS).contains("another version"));
}

fn settings(store: std::net::SocketAddr) -> Settings {
    let text = r#"{
        "host_name": "node-0", "area": "a", "front": "127.0.0.1:1", "internal_addr": "127.0.0.1:2",
        "outside": {"cloud": "127.0.0.1:3", "state": "STATE"},
        "settings": {
            "zones": ["a"], "teams": [],
            "workers": {"report_s": 3.0, "lease_s": 16.0, "cancel_s": 41.0},
            "state": {"rps": 100.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 10.0}, "resources": {"sockets": 500}
        }
    }"#;
    let text = text.replace("STATE", &store.to_string());
    Settings::parse(&text).expect("valid settings")
}

#[test]
fn the_record_is_read_from_the_state_service() {
    let is_unavailable = Arc::new(AtomicBool::new(false));
    let store = start_store(is_unavailable.clone());
    let settings = settings(store);
    assert!(report(&settings).expect("a report").contains("no record"));
    let mut client = BlockingClient::new(store, Duration::from_secs(5));
    let mut txn = Txn::default();
    txn.changes
        .push(Change::put(KEY.to_owned(), value(&record())));
    let outcome = client.execute(&Request::Txn(txn));
    assert!(matches!(outcome, Outcome::Committed(_)));
    let printed = report(&settings).expect("a report of the record");
    assert!(printed.starts_with("zone b: lost for"), "{printed}");
    is_unavailable.store(true, Ordering::SeqCst);
    assert!(report(&settings).is_err());
}
