//! The cloud's side of machines: which are rented, and a list of them that lags.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use lichencrank_testkit::values::map;

use super::clock::{seconds, SimTime};
use super::faults::FaultWindow;
use super::worker::HostSpec;

/// A machine that is or was rented.
struct RentedMachine {
    spec: HostSpec,
    rented_at: SimTime,
    up_at: SimTime,
    gone_at: Option<SimTime>,
}

/// The cloud.
pub struct Cloud {
    machines: BTreeMap<String, RentedMachine>,
    /// The answers to requests to rent, by the key that makes a repeated one idempotent.
    rental_answers: BTreeMap<String, Value>,
    host_capacity: usize,
    list_lag: Duration,
    /// How long machines boot, where a scenario sets it.
    fixed_boot_time: Option<Duration>,
    outage: FaultWindow,
}

impl Cloud {
    /// A cloud that rents so many machines in all, and whose list lags.
    pub fn new(host_capacity: usize, list_lag: Duration) -> Cloud {
        Cloud {
            machines: BTreeMap::new(),
            rental_answers: BTreeMap::new(),
            host_capacity,
            list_lag,
            fixed_boot_time: None,
            outage: FaultWindow::default(),
        }
    }

    /// All requests are refused while this lasts.
    pub fn start_outage(&mut self, window: FaultWindow) {
        self.outage = window;
    }

    /// Whether all requests are refused now.
    pub fn is_away(&self, now: SimTime) -> bool {
        self.outage.is_active(now)
    }

    /// Machines that are rented from now on boot that fast.
    pub fn set_boot_time(&mut self, boot_time: Duration) {
        self.fixed_boot_time = Some(boot_time);
    }

    /// How long machines boot, if that is set.
    pub fn fixed_boot_time(&self) -> Option<Duration> {
        self.fixed_boot_time
    }

    /// How many machines have been rented so far.
    pub fn rental_count(&self) -> usize {
        self.machines.len()
    }

    /// How many machines may be rented now.
    pub fn available_machines(&self) -> usize {
        let machines = self.machines.values();
        let rented = machines.filter(|machine| machine.gone_at.is_none()).count();
        self.host_capacity.saturating_sub(rented)
    }

    /// The answer that a request to rent with that key got before.
    pub fn earlier_rental_answer(&self, key: &str) -> Option<&Value> {
        self.rental_answers.get(key)
    }

    /// Keeps the answer to a request to rent.
    pub fn keep_rental_answer(&mut self, key: String, answer: Value) {
        self.rental_answers.insert(key, answer);
    }

    /// A machine is rented now.
    pub fn add(&mut self, spec: HostSpec, now: SimTime, up_at: SimTime) {
        let machine = RentedMachine {
            spec: spec.clone(),
            rented_at: now,
            up_at,
            gone_at: None,
        };
        self.machines.insert(spec.name, machine);
    }

    /// A machine is gone now, unless it is already.
    pub fn remove(&mut self, host: &str, now: SimTime) {
        if let Some(machine) = self.machines.get_mut(host) {
            machine.gone_at.get_or_insert(now);
        }
    }

    /// The list of machines, as it was some time ago.
    pub fn list(&self, now: SimTime, target: &str) -> Value {
        let seen_at = now.saturating_sub(self.list_lag);
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut parameters = query.split('&');
        let after = parameters.find_map(|parameter| parameter.strip_prefix("after="));
        let listed = self.machines.iter().filter(|(host, machine)| {
            let is_gone = machine.gone_at.is_some_and(|gone_at| gone_at <= seen_at);
            let is_on_page = after.is_none_or(|after| host.as_str() > after);
            machine.rented_at <= seen_at && !is_gone && is_on_page
        });
        let hosts = listed.map(|(_, machine)| list_entry(machine, seen_at));
        let hosts = Value::Array(hosts.collect());
        map(vec![("hosts", hosts), ("truncated", false.into())])
    }
}

fn list_entry(machine: &RentedMachine, seen_at: SimTime) -> Value {
    let is_up = machine.up_at <= seen_at;
    let status = if is_up { "running" } else { "starting" };
    let age = seen_at.since(machine.rented_at);
    let mut fields = machine.spec.fields("ref");
    fields.push(("status", status.into()));
    fields.push(("ageS", seconds(age).into()));
    map(fields)
}
