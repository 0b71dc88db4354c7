//! The cloud's side of the simulated world: what was rented, and the list that lags.

use ciborium::Value;
use std::collections::BTreeMap;

use super::site::Site;
use super::worker::Worker;
use lichencrank_testkit::values::map;

pub struct Machine {
    described: Vec<(&'static str, Value)>,
    rented_at: u64,
    pub up_at: u64,
    pub begun: bool,
    gone_at: Option<u64>,
}

pub struct Cloud {
    pub machines: BTreeMap<String, Machine>,
    pub asked: BTreeMap<String, Value>,
    /// How long machines take to boot, where a case wants it otherwise.
    pub boot_ms: Option<u64>,
    lag: u64,
}

impl Cloud {
    pub fn new(site: &Site) -> Cloud {
        Cloud {
            machines: BTreeMap::new(),
            asked: BTreeMap::new(),
            boot_ms: None,
            lag: (site.list_lag_s * 1000.0) as u64,
        }
    }

    pub fn add(&mut self, worker: &Worker, now: u64, up_at: u64) {
        let described = vec![
            ("ref", worker.name.as_str().into()),
            ("address", worker.address.as_str().into()),
            ("hosttype", worker.kind.as_str().into()),
            ("hall", worker.zone.as_str().into()),
            ("loaners", worker.spot.into()),
        ];
        let machine = Machine {
            described,
            rented_at: now,
            up_at,
            begun: false,
            gone_at: None,
        };
        self.machines.insert(worker.name.clone(), machine);
    }

    pub fn begin(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.begun = true;
        }
    }

    pub fn remove(&mut self, name: &str, now: u64) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.gone_at.get_or_insert(now);
        }
    }

    /// How many machines are rented now.
    pub fn there(&self) -> usize {
        let there = |m: &&Machine| m.gone_at.is_none();
        self.machines.values().filter(there).count()
    }

    pub fn list(&self, now: u64, target: &str) -> Value {
        let seen = now.saturating_sub(self.lag);
        let query = target.split_once('?').map_or("", |(_, q)| q);
        let after = query.split('&').find_map(|p| p.strip_prefix("after="));
        let there = self.machines.iter().filter(|(name, m)| {
            let gone = m.gone_at.is_some_and(|at| at <= seen);
            m.rented_at <= seen && !gone && after.is_none_or(|a| name.as_str() > a)
        });
        let hosts = there.map(|(_, m)| {
            let up = m.up_at <= seen;
            let status = if up { "running" } else { "starting" };
            let mut fields = m.described.clone();
            fields.push(("status", status.into()));
            let age = (seen - m.rented_at) as f64 / 1000.0;
            fields.push(("ageS", age.into()));
            map(fields)
        });
        let hosts = Value::Array(hosts.collect());
        map(vec![("hosts", hosts), ("truncated", false.into())])
    }
}
