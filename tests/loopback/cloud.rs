//! A cloud whose hosts boot without delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use ciborium::Value;
use lichencrank_testkit::http::{serve, HttpResponse};
use lichencrank_testkit::sync::lock;
use lichencrank_testkit::values::{list, map, number, text};

use super::worker::{self, StartLog};

struct Host {
    name: String,
    is_released: Arc<AtomicBool>,
}

struct Cloud {
    controllers: Vec<SocketAddr>,
    start_log: StartLog,
    hosts: Vec<Host>,
    /// Responses to provisioning requests by the names of the requests: a repetition gets the same hosts.
    provision_responses: BTreeMap<String, Value>,
}

impl Cloud {
    fn provision(&mut self, request: &Value) -> HttpResponse {
        let request_name = text(request, "ask");
        if let Some(response) = self.provision_responses.get(&request_name) {
            return HttpResponse::ok(response.clone());
        }
        let count = number(request, "howMany");
        let host_names = (0..count).map(|_| Value::from(self.start_host()));
        let response = map(vec![("hosts", Value::Array(host_names.collect()))]);
        self.provision_responses
            .insert(request_name, response.clone());
        HttpResponse::ok(response)
    }

    fn start_host(&mut self) -> String {
        let name = format!("vm-{:06}", self.hosts.len());
        let is_released = Arc::new(AtomicBool::new(false));
        worker::start(
            name.clone(),
            self.controllers.clone(),
            self.start_log.clone(),
            is_released.clone(),
        );
        self.hosts.push(Host {
            name: name.clone(),
            is_released,
        });
        name
    }

    fn release(&mut self, request: &Value) -> HttpResponse {
        for name in list(request, "hosts").iter().filter_map(Value::as_text) {
            let mut hosts = self.hosts.iter();
            if let Some(host) = hosts.find(|host| host.name == name) {
                host.is_released.store(true, Ordering::SeqCst);
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

/// Starts a cloud whose hosts send heartbeats to these controllers.
pub fn start(controllers: Vec<SocketAddr>, start_log: StartLog) -> SocketAddr {
    let cloud = Mutex::new(Cloud {
        controllers,
        start_log,
        hosts: Vec::new(),
        provision_responses: BTreeMap::new(),
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
