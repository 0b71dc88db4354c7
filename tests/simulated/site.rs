//! The deployment that a scenario plays in.

use std::collections::BTreeMap;

use ciborium::Value;
use lichencrank_testkit::values::map;

use super::script::{ms, Words, CLOUD, STATE};

#[derive(Clone, Debug)]
pub struct Site {
    pub nodes: usize,
    pub zones: Vec<String>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub list_lag_s: f64,
    pub market: usize,
    pub boot_s: f64,
    /// Limits of the state service from some moment on.
    pub next: Option<(f64, usize, f64)>,
    /// The features file.
    pub features: String,
    /// Whether the leader tracks zones.
    pub tracks_zones: bool,
    pub teams: Vec<(String, f64)>,
    kinds: Vec<(String, f64, Vec<String>)>,
    /// Machines that are up when the case begins.
    pub up: Vec<(String, String, usize)>,
}

impl Site {
    pub fn empty() -> Site {
        Site {
            nodes: 3,
            zones: vec!["a".into()],
            report_s: 3.0,
            lease_s: 16.0,
            cancel_s: 41.0,
            rps: 200.0,
            write_rps: 100.0,
            value_kb: 16.0,
            txn_ops: 16,
            list_lag_s: 5.0,
            market: 0,
            boot_s: 20.0,
            next: None,
            features: String::new(),
            tracks_zones: false,
            teams: Vec::new(),
            kinds: vec![("c8".into(), 8.0, Vec::new())],
            up: Vec::new(),
        }
    }

    pub fn limits(&self) -> BTreeMap<String, f64> {
        let limited = self.teams.iter().filter(|(_, limit)| *limit > 0.0);
        limited.cloned().collect()
    }

    pub fn cpus(&self, kind: &str) -> f64 {
        let found = self.kinds.iter().find(|(name, ..)| name == kind);
        found.map_or(8.0, |(_, cpus, _)| *cpus)
    }

    pub fn boot_ms(&self, _kind: &str) -> u64 {
        ms(self.boot_s)
    }

    pub fn types(&self) -> Value {
        let kinds = self.kinds.iter().map(|(name, cpus, zones)| {
            let zones = if zones.is_empty() { &self.zones } else { zones };
            let zones = zones.iter().map(|z| z.as_str().into()).collect();
            map(vec![
                ("sku", name.as_str().into()),
                ("cpus", (*cpus).into()),
                ("cards", 0.0.into()),
                ("ramGb", (*cpus * 4.0).into()),
                ("cacheGb", 50.0.into()),
                ("pullGbPerS", 1.0.into()),
                ("rate", (*cpus * 0.05).into()),
                ("lowPrice", (*cpus * 0.02).into()),
                ("startupS", self.boot_s.into()),
                ("halls", Value::Array(zones)),
            ])
        });
        map(vec![("hosttypes", Value::Array(kinds.collect()))])
    }

    /// The settings file of a node; `upgraded` ones tell of the next limits.
    pub fn settings(&self, at: usize, upgraded: bool) -> String {
        let next = self.next.filter(|_| upgraded).map(
            |(kb, ops, rps)| serde_json::json!({"value_kb": kb, "txn_ops": ops, "write_rps": rps}),
        );
        let name = |n: usize| format!("node-{n}");
        let zone = |n: usize| self.zones[n % self.zones.len()].clone();
        let others: Vec<serde_json::Value> = (0..self.nodes)
            .filter(|n| *n != at)
            .map(|n| {
                let addr = format!("10.0.0.{}:8081", n + 1);
                serde_json::json!({"host_name": name(n), "area": zone(n), "addr": addr})
            })
            .collect();
        let teams: Vec<serde_json::Value> = self
            .teams
            .iter()
            .map(|(name, limit)| {
                let cpus = limit / 2.0;
                serde_json::json!({"name": name, "cpus": cpus, "cpus_max": limit})
            })
            .collect();
        let settings = serde_json::json!({
            "host_name": name(at), "area": zone(at),
            "front": format!("10.0.0.{}:8080", at + 1),
            "internal_addr": format!("10.0.0.{}:8081", at + 1),
            "others": others,
            "outside": {"cloud": CLOUD, "state": STATE},
            "settings": {
                "zones": self.zones, "teams": teams,
                "workers": {"report_s": self.report_s, "lease_s": self.lease_s, "cancel_s": self.cancel_s},
                "state": {"rps": self.rps, "write_rps": self.write_rps,
                          "value_kb": self.value_kb, "txn_ops": self.txn_ops, "next": next},
                "cloud": {"rps": 20.0, "list_lag_s": self.list_lag_s},
                "resources": {"sockets": 1000},
            }
        });
        settings.to_string()
    }

    pub fn read(&mut self, words: &Words) {
        let figures: [(&str, &mut f64); 9] = [
            ("report", &mut self.report_s),
            ("lease", &mut self.lease_s),
            ("cancel", &mut self.cancel_s),
            ("rps", &mut self.rps),
            ("write_rps", &mut self.write_rps),
            ("value_kb", &mut self.value_kb),
            ("lag", &mut self.list_lag_s),
            ("boot", &mut self.boot_s),
            ("unused", &mut 0.0),
        ];
        for (word, figure) in figures {
            if let Some(value) = words.number(word) {
                *figure = value;
            }
        }
        self.nodes = words.number("nodes").map_or(self.nodes, |n| n as usize);
        self.txn_ops = words.number("txn_ops").map_or(self.txn_ops, |n| n as usize);
        self.market = words.number("market").map_or(self.market, |n| n as usize);
        if let Some(value_kb) = words.number("next_value_kb") {
            let ops = words.number("next_txn_ops").unwrap_or(5.0) as usize;
            let rps = words.number("next_write_rps").unwrap_or(20.0);
            self.next = Some((value_kb, ops, rps));
        }
        if let Some(zones) = words.after("zones") {
            self.zones = zones.split(',').map(str::to_owned).collect();
        }
    }
}
