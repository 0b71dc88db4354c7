//! A cloud whose machines are up at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use ciborium::Value;
use lichencrank_testkit::http::{serve, HttpResponse};
use lichencrank_testkit::sync::lock;
use lichencrank_testkit::values::{list, map, number, text};

use super::worker::{self, StartLog};

struct Machine {
    name: String,
    released: Arc<AtomicBool>,
}

struct Cloud {
    controllers: Vec<SocketAddr>,
    starts: StartLog,
    machines: Vec<Machine>,
    /// The answers to provisioning requests, by their names.
    provisioned: BTreeMap<String, Value>,
}

impl Cloud {
    fn provision(&mut self, request: &Value) -> HttpResponse {
        let name = text(request, "ask");
        if let Some(answer) = self.provisioned.get(&name) {
            return HttpResponse::ok(answer.clone());
        }
        let count = number(request, "howMany");
        let names = (0..count).map(|_| Value::from(self.start_machine()));
        let answer = map(vec![("hosts", Value::Array(names.collect()))]);
        self.provisioned.insert(name, answer.clone());
        HttpResponse::ok(answer)
    }

    fn start_machine(&mut self) -> String {
        let name = format!("vm-{:06}", self.machines.len());
        let released = Arc::new(AtomicBool::new(false));
        worker::start(
            name.clone(),
            self.controllers.clone(),
            self.starts.clone(),
            released.clone(),
        );
        self.machines.push(Machine {
            name: name.clone(),
            released,
        });
        name
    }

    fn release(&mut self, request: &Value) -> HttpResponse {
        for name in list(request, "hosts").iter().filter_map(Value::as_text) {
            let mut machines = self.machines.iter();
            if let Some(machine) = machines.find(|machine| machine.name == name) {
                machine.released.store(true, Ordering::SeqCst);
            }
        }
        HttpResponse::ok(map(vec![]))
    }
}

fn machine_types() -> Value {
    let machine_type = map(vec![
        ("sku", "c4".into()),
        ("cpus", 4.0.into()),
        ("cards", 0.into()),
        ("ramGb", 16.0.into()),
        ("cacheGb", 50.0.into()),
        ("pullGbPerS", 1.0.into()),
        ("rate", 0.4.into()),
        ("lowPrice", 0.1.into()),
        ("startupS", 1.0.into()),
        ("halls", Value::Array(vec!["a".into()])),
    ]);
    map(vec![("hosttypes", Value::Array(vec![machine_type]))])
}

fn empty_host_list() -> Value {
    map(vec![
        ("hosts", Value::Array(vec![])),
        ("truncated", false.into()),
    ])
}

/// Starts a cloud whose machines report to these controllers.
pub fn start(controllers: Vec<SocketAddr>, starts: StartLog) -> SocketAddr {
    let cloud = Mutex::new(Cloud {
        controllers,
        starts,
        machines: Vec::new(),
        provisioned: BTreeMap::new(),
    });
    serve(move |method, target, body| {
        let path = target.split('?').next().unwrap_or("");
        match (method, path) {
            ("GET", "/machine_types") => HttpResponse::ok(machine_types()),
            ("POST", "/hosts") => lock(&cloud).provision(body),
            ("POST", "/hosts/release") => lock(&cloud).release(body),
            _ => HttpResponse::ok(empty_host_list()),
        }
    })
}
