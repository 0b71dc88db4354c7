//! Stand-ins for the outside: a state service, a cloud whose machines have real workers, and the
//! means to run our own binary against them. Just enough of each protocol, on loopback.

#![allow(dead_code, reason = "each test uses its part")]

use ciborium::Value;
use lichencrank::protocol::encode;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub use lichencrank_testkit::http::call;
use lichencrank_testkit::http::{serve, HttpResponse};
use lichencrank_testkit::loopback::start_store;
use lichencrank_testkit::sync::lock;
use lichencrank_testkit::values::list;
pub use lichencrank_testkit::values::{map, number, text};

// ---- workers

#[derive(Clone)]
struct Piece {
    task: String,
    attempt: u64,
    ends: Instant,
    cause: Option<&'static str>,
}

#[derive(Default)]
struct Worker {
    name: String,
    address: String,
    tick: u64,
    token: u64,
    pieces: Vec<Piece>,
}

/// Every start of a task: task, attempt, machine. Kept for the tests to judge.
pub type Starts = Arc<Mutex<Vec<(String, u64, String)>>>;

const TASK_TIME: Duration = Duration::from_millis(700);

impl Worker {
    fn report(&mut self) -> Value {
        self.tick += 1;
        let now = Instant::now();
        for piece in &mut self.pieces {
            if piece.ends <= now {
                piece.cause.get_or_insert("done");
            }
        }
        let pieces = self.pieces.iter().map(|p| {
            let status = if p.cause.is_some() {
                "ended"
            } else {
                "running"
            };
            let cause = p.cause.map_or(Value::Null, Value::from);
            let (task, attempt) = (Value::from(p.task.as_str()), Value::from(p.attempt));
            map(vec![
                ("piece", task),
                ("try", attempt),
                ("status", status.into()),
                ("cause", cause),
            ])
        });
        let pieces = Value::Array(pieces.collect());
        map(vec![
            ("host", self.name.as_str().into()),
            ("address", self.address.as_str().into()),
            ("hosttype", "c4".into()),
            ("hall", "a".into()),
            ("loaners", false.into()),
            ("tenure", 1.into()),
            ("tick", self.tick.into()),
            ("baton", self.token.into()),
            ("pieces", pieces),
        ])
    }

    /// Obeys orders whose token is not below the highest seen.
    fn obey(&mut self, message: &Value, starts: &Starts) -> bool {
        let token = number(message, "baton");
        if token < self.token || token == 0 {
            return false;
        }
        self.token = token;
        for order in list(message, "orders") {
            let (task, attempt) = (text(order, "piece"), number(order, "try"));
            let at = self
                .pieces
                .iter()
                .position(|p| p.task == task && p.attempt == attempt);
            match (text(order, "verb").as_str(), at) {
                ("run", None) => {
                    lock(starts).push((task.clone(), attempt, self.name.clone()));
                    let ends = Instant::now() + TASK_TIME;
                    self.pieces.push(Piece {
                        task,
                        attempt,
                        ends,
                        cause: None,
                    });
                }
                ("stop", Some(at)) => {
                    self.pieces[at].cause.get_or_insert("halted");
                }
                ("clear", Some(at)) if self.pieces[at].cause.is_some() => {
                    self.pieces.remove(at);
                }
                _ => {}
            }
        }
        true
    }
}

fn start_worker(name: String, nodes: Vec<SocketAddr>, starts: Starts, gone: Arc<AtomicBool>) {
    let worker = Arc::new(Mutex::new(Worker {
        name,
        ..Worker::default()
    }));
    let (own, log, end) = (worker.clone(), starts.clone(), gone.clone());
    let address = serve(move |_, _, body| {
        if end.load(Ordering::SeqCst) {
            return HttpResponse::without_body(500);
        }
        let mut worker = lock(&own);
        let status = if worker.obey(body, &log) { 200 } else { 409 };
        HttpResponse {
            status,
            body: worker.report(),
        }
    });
    lock(&worker).address = address.to_string();
    thread::spawn(move || {
        let mut at = 0;
        while !gone.load(Ordering::SeqCst) {
            let report = encode(&lock(&worker).report());
            let response = call(nodes[at % nodes.len()], "POST", "/agent/beat", &report);
            match response.map(|response| (response.status, response.body)) {
                Some((200, answer)) => {
                    lock(&worker).obey(&answer, &starts);
                }
                Some((421, answer)) => {
                    let leader = text(&answer, "foreman");
                    let named = leader.strip_prefix("node-").and_then(|n| n.parse().ok());
                    at = named.unwrap_or(at + 1);
                }
                _ => at += 1,
            }
            thread::sleep(Duration::from_millis(200));
        }
    });
}

// ---- the cloud

/// Starts a cloud whose machines are up at once and report to `nodes`.
pub fn cloud(nodes: Vec<SocketAddr>, starts: Starts) -> SocketAddr {
    type Rented = (Vec<(String, Arc<AtomicBool>)>, BTreeMap<String, Value>);
    let rented: Mutex<Rented> = Mutex::default();
    serve(move |method, target, body| {
        let (machines, asked) = &mut *lock(&rented);
        match (method, target.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => {
                let halls = Value::Array(vec!["a".into()]);
                let kind = map(vec![
                    ("sku", "c4".into()),
                    ("cpus", 4.0.into()),
                    ("cards", 0.into()),
                    ("ramGb", 16.0.into()),
                    ("cacheGb", 50.0.into()),
                    ("pullGbPerS", 1.0.into()),
                    ("rate", 0.4.into()),
                    ("lowPrice", 0.1.into()),
                    ("startupS", 1.0.into()),
                    ("halls", halls),
                ]);
                HttpResponse::ok(map(vec![("hosttypes", Value::Array(vec![kind]))]))
            }
            ("POST", "/hosts") => {
                let answer = asked.entry(text(body, "ask")).or_insert_with(|| {
                    let mut names = Vec::new();
                    for _ in 0..number(body, "howMany") {
                        let name = format!("vm-{:06}", machines.len());
                        let gone = Arc::new(AtomicBool::new(false));
                        start_worker(name.clone(), nodes.clone(), starts.clone(), gone.clone());
                        machines.push((name.clone(), gone));
                        names.push(Value::from(name));
                    }
                    map(vec![("hosts", Value::Array(names))])
                });
                HttpResponse::ok(answer.clone())
            }
            ("POST", "/hosts/release") => {
                for name in list(body, "hosts").iter().filter_map(Value::as_text) {
                    if let Some((_, gone)) = machines.iter().find(|(n, _)| n == name) {
                        gone.store(true, Ordering::SeqCst);
                    }
                }
                HttpResponse::ok(map(vec![]))
            }
            _ => HttpResponse::ok(map(vec![
                ("hosts", Value::Array(vec![])),
                ("truncated", false.into()),
            ])),
        }
    })
}

// ---- our own nodes

pub struct Node {
    pub front: SocketAddr,
    pub settings: std::path::PathBuf,
    features: Option<std::path::PathBuf>,
    child: Option<Child>,
}

impl Node {
    /// Starts the process and waits until it answers. One that ends by itself is started again, as the
    /// platform does: while another test's child is between its fork and its program, it still holds the
    /// socket that found this address to be free, and the address is in use.
    pub fn start(&mut self) {
        for _ in 0..50 {
            let mut command = Command::new(env!("CARGO_BIN_EXE_lichencrank"));
            command.arg("--config").arg(&self.settings);
            if let Some(features) = &self.features {
                command.arg("--features").arg(features);
            }
            let child = command
                .env("LOG_LEVEL", "info")
                .stderr(Stdio::null())
                .spawn();
            let mut child = child.expect("the binary starts");
            loop {
                if call(self.front, "GET", "/healthz", &[]).is_some() {
                    self.child = Some(child);
                    return;
                }
                if matches!(child.try_wait(), Ok(Some(_))) {
                    break;
                }
                thread::sleep(Duration::from_millis(2));
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("{} does not stay up", self.front);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Everything that a test needs.
pub struct World {
    pub nodes: Vec<Node>,
    pub starts: Starts,
    pub state_away: Arc<AtomicBool>,
    pub state: SocketAddr,
}

/// An address for a node. Each has a loopback host of its own: on 127.0.0.1 a port that is free
/// now may be given to a stand-in of another test before the node listens on it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (pid, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let host = [127, 1 + (pid % 250) as u8, (pid / 250 % 250) as u8, next];
    let listener = TcpListener::bind((std::net::Ipv4Addr::from(host), 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// What the nodes of a world start with.
#[derive(Clone, Copy)]
pub struct Setup {
    /// Most CPUs of the only team; 0 means no limit.
    pub limit: f64,
    /// The features file.
    pub features: Option<&'static str>,
}

impl World {
    pub fn start(name: &str) -> World {
        let setup = Setup {
            limit: 0.0,
            features: None,
        };
        World::start_with(name, setup)
    }

    pub fn start_with(name: &str, setup: Setup) -> World {
        let features = setup.features.map(|text| {
            let file = format!("lichencrank-{name}-{}.yaml", std::process::id());
            let file = std::env::temp_dir().join(file);
            std::fs::write(&file, text).expect("writing features");
            file
        });
        let starts = Starts::default();
        let state_away = Arc::new(AtomicBool::new(false));
        let state = start_store(state_away.clone());
        let addresses: Vec<(SocketAddr, SocketAddr)> =
            (0..3).map(|_| (free_address(), free_address())).collect();
        let fronts = addresses.iter().map(|(front, _)| *front).collect();
        let cloud = cloud(fronts, starts.clone());
        let mut nodes = Vec::new();
        for (i, (front, internal)) in addresses.iter().enumerate() {
            let others: Vec<serde_json::Value> = (0..3)
                .filter(|o| *o != i)
                .map(|o| serde_json::json!({"host_name": format!("node-{o}"), "area": "a", "addr": addresses[o].1}))
                .collect();
            let settings = serde_json::json!({
                "host_name": format!("node-{i}"), "area": "a", "front": front,
                "internal_addr": internal, "others": others,
                "outside": {"cloud": cloud, "state": state},
                "settings": {
                    "zones": ["a"],
                    "teams": [{"name": "vision", "cpus": 0.0, "cpus_max": setup.limit}],
                    "workers": {"report_s": 0.4, "lease_s": 20.0, "cancel_s": 30.0},
                    "state": {"rps": 500.0, "write_rps": 300.0, "value_kb": 16.0, "txn_ops": 16},
                    "cloud": {"rps": 20.0, "list_lag_s": 1.0},
                    "resources": {"sockets": 300},
                }
            });
            let file = format!("lichencrank-{name}-{}-{i}.json", std::process::id());
            let file = std::env::temp_dir().join(file);
            std::fs::write(&file, settings.to_string()).expect("writing settings");
            let mut node = Node {
                front: *front,
                settings: file,
                features: features.clone(),
                child: None,
            };
            node.start();
            nodes.push(node);
        }
        World {
            nodes,
            starts,
            state_away,
            state,
        }
    }
}

/// Waits for something that has to come; a test hangs rather than judges how fast it came.
pub fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + Duration::from_secs(120);
    while Instant::now() < until {
        if let Some(found) = look() {
            return found;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("never: {what}");
}
