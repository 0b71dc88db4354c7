//! What `lichencrank zones` prints, from the record that a leader wrote.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use lichencrank::settings::Settings;
use lichencrank::zones_report::{render, report};
use lichencrank_store::{value, BlockingClient, Change, ConditionalStore, Outcome, Request, Txn};
use lichencrank_testkit::loopback::start_store;
use lichencrank_zones::record::{ZoneRecord, KEY, VERSION};
use lichencrank_zones::{ZoneState, ZonesRecord};

const DAY_MS: u64 = 1_700_000_000_000;

fn record() -> ZonesRecord {
    ZonesRecord {
        version: VERSION,
        zones: vec![ZoneRecord {
            zone: "b".into(),
            state: ZoneState::Lost,
            since_ms: DAY_MS - 42_000,
            penalty: 1616.2,
            is_suppressed: true,
            hosts: 20,
            silent_hosts: 19,
            waiting_hosts: 3,
        }],
    }
}

#[test]
fn a_zone_is_shown_with_its_evidence() {
    let lines = render(Some(&record()), DAY_MS);
    let expected = "zone b: lost for 42 s, takes no new work\n  \
        at that change: 19 of 20 machines silent, penalty 1616, 3 waited for the budget\n";
    assert_eq!(lines, expected);
}

#[test]
fn a_record_of_another_version_is_said_to_be_one() {
    let mut newer = record();
    newer.version += 1;
    assert!(render(Some(&newer), DAY_MS).contains("another version"));
    assert!(render(None, DAY_MS).contains("another version"));
}

fn settings(state: std::net::SocketAddr) -> Settings {
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
    let text = text.replace("STATE", &state.to_string());
    Settings::parse(&text).expect("the settings here")
}

#[test]
fn the_record_is_read_from_the_state_service() {
    let away = Arc::new(AtomicBool::new(false));
    let state = start_store(away.clone());
    let settings = settings(state);
    assert!(report(&settings).expect("an answer").contains("no record"));
    let mut client = BlockingClient::new(state, Duration::from_secs(5));
    let mut txn = Txn::default();
    txn.changes
        .push(Change::put(KEY.to_owned(), value(&record())));
    let written = client.execute(&Request::Txn(txn));
    assert!(matches!(written, Outcome::Committed(_)));
    let lines = report(&settings).expect("the record");
    assert!(lines.starts_with("zone b: lost for"), "{lines}");
    away.store(true, Ordering::SeqCst);
    assert!(report(&settings).is_err());
}
