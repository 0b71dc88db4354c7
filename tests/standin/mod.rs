//! Stand-ins for the outside: a state service, a cloud whose machines have real workers, and the
//! means to run our own binary against them. Just enough of each protocol, on loopback.

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub type Fields = Vec<(&'static str, Value)>;

pub fn map(fields: Fields) -> Value {
    Value::Map(
        fields
            .into_iter()
            .map(|(k, v)| (Value::from(k), v))
            .collect(),
    )
}

pub fn get<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    let pairs = value.as_map()?;
    pairs
        .iter()
        .find(|(k, _)| k.as_text() == Some(key))
        .map(|(_, v)| v)
}

pub fn text(value: &Value, key: &str) -> String {
    get(value, key)
        .and_then(Value::as_text)
        .unwrap_or("")
        .to_owned()
}

pub fn number(value: &Value, key: &str) -> u64 {
    let integer = get(value, key).and_then(Value::as_integer);
    integer.and_then(|i| u64::try_from(i).ok()).unwrap_or(0)
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    get(value, key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads one message: its first line and its body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|l| l.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, v)| v.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head.lines().next()?.to_owned(), body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Serves requests on a free port, a thread for each connection.
pub fn serve(
    handle: impl Fn(&str, &str, &Value) -> (u16, Value) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || answer_all(stream, &*handle));
        }
    });
    at
}

fn answer_all(mut stream: TcpStream, handle: &dyn Fn(&str, &str, &Value) -> (u16, Value)) {
    let mut buffer = Vec::new();
    while let Some((line, body)) = read_message(&mut stream, &mut buffer) {
        let mut words = line.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let body = decode(&body).unwrap_or(Value::Null);
        let (status, answer) = handle(method, target, &body);
        let answer = encode(&answer);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        if stream
            .write_all(&[head.as_bytes(), &answer].concat())
            .is_err()
        {
            return;
        }
    }
}

/// One request on a connection of its own; `None` if there was no answer in time.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &[u8]) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let (line, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, decode(&body).unwrap_or(Value::Null)))
}

// ---- the state service

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, (Value, u64, u64)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    changes: Vec<(u64, String, Option<Value>)>,
    /// Every transaction that was carried out.
    carried_out: Vec<Value>,
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.changes.push((self.revision, key, None));
        }
    }

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let failed: Vec<Value> = list(body, "if")
            .iter()
            .filter(|c| {
                let is = self
                    .keys
                    .get(&text(c, "path"))
                    .map_or(0, |(_, stamp, _)| *stamp);
                is != number(c, "stamp")
            })
            .map(|c| Value::from(text(c, "path")))
            .collect();
        if !failed.is_empty() {
            let failed = Value::Array(failed);
            return (
                409,
                map(vec![
                    ("failed", failed),
                    ("ledgerRev", self.revision.into()),
                ]),
            );
        }
        let changes = list(body, "apply");
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            if let Some(key) = get(change, "set").and_then(Value::as_text) {
                let data = get(change, "data").cloned().unwrap_or(Value::Null);
                let held = (data.clone(), self.revision, number(change, "hold"));
                self.keys.insert(key.to_owned(), held);
                self.changes
                    .push((self.revision, key.to_owned(), Some(data)));
            } else {
                let key = text(change, "remove");
                self.keys.remove(&key);
                self.changes.push((self.revision, key, None));
            }
        }
        (200, map(vec![("ledgerRev", self.revision.into())]))
    }

    fn item(key: &str, (data, stamp, hold): &(Value, u64, u64)) -> Value {
        let (path, data) = (Value::from(key), data.clone());
        map(vec![
            ("path", path),
            ("data", data),
            ("stamp", (*stamp).into()),
            ("hold", (*hold).into()),
        ])
    }

    fn news(&self, prefix: &str, after: u64) -> Vec<Value> {
        let seen = self
            .changes
            .iter()
            .filter(|(r, k, _)| *r > after && k.starts_with(prefix));
        seen.map(|(revision, key, data)| match data {
            Some(data) => {
                let (key, data) = (Value::from(key.as_str()), data.clone());
                map(vec![
                    ("set", key),
                    ("data", data),
                    ("stamp", (*revision).into()),
                ])
            }
            None => map(vec![
                ("remove", key.as_str().into()),
                ("stamp", (*revision).into()),
            ]),
        })
        .collect()
    }
}

fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    let found = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name);
    found.map_or(String::new(), |(_, v)| v.to_owned())
}

/// Starts a state service; while `away` is set it answers 503 to everything.
pub fn state_service(away: Arc<AtomicBool>) -> SocketAddr {
    let state = Mutex::new(State::default());
    serve(move |method, target, body| {
        if away.load(Ordering::SeqCst) {
            let mut state = lock(&state);
            for (ttl, until) in state.leases.values_mut() {
                *until = Instant::now() + *ttl;
            }
            return (503, Value::Null);
        }
        let path = target.split('?').next().unwrap_or("");
        if path == "/changes" {
            let after = query(target, "after").parse().unwrap_or(0);
            let hold: u64 = query(target, "holdMs").parse().unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(hold);
            loop {
                let mut state = lock(&state);
                state.expire();
                let news = state.news(&query(target, "prefix"), after);
                if !news.is_empty() || Instant::now() >= until {
                    let news = Value::Array(news);
                    return (
                        200,
                        map(vec![("ledgerRev", state.revision.into()), ("news", news)]),
                    );
                }
                drop(state);
                thread::sleep(Duration::from_millis(10));
            }
        }
        let mut state = lock(&state);
        state.expire();
        match (method, path) {
            ("POST", "/txn") => {
                let answer = state.txn(body);
                if answer.0 == 200 {
                    state.carried_out.push(body.clone());
                }
                answer
            }
            // Late copies of all that was carried out so far.
            ("POST", "/copies") => {
                let copies = state.carried_out.clone();
                let statuses = copies.iter().map(|copy| state.txn(copy).0);
                let again = statuses.filter(|status| *status == 200).count() as u64;
                let all = copies.len() as u64;
                (200, map(vec![("all", all.into()), ("again", again.into())]))
            }
            ("POST", "/grants") => {
                let lease = state.leases.keys().last().map_or(1, |l| l + 1);
                let ttl = Duration::from_millis(number(body, "ttlMs"));
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, map(vec![("hold", lease.into())]))
            }
            ("GET", "/kv") => {
                let (prefix, after) = (query(target, "prefix"), query(target, "after"));
                let items = state
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items = items.map(|(k, v)| State::item(k, v)).collect();
                let items = Value::Array(items);
                (
                    200,
                    map(vec![("pairs", items), ("ledgerRev", state.revision.into())]),
                )
            }
            ("GET", _) => {
                let key = path.strip_prefix("/kv/").unwrap_or("");
                match state.keys.get(key) {
                    Some(held) => (200, State::item(key, held)),
                    None => (404, map(vec![("ledgerRev", state.revision.into())])),
                }
            }
            _ => {
                let lease = path
                    .split('/')
                    .nth(2)
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(0);
                let Some((ttl, until)) = state.leases.get_mut(&lease) else {
                    return (404, Value::Null);
                };
                *until = Instant::now() + *ttl;
                if method == "DELETE" {
                    state.end(lease);
                }
                (200, Value::Null)
            }
        }
    })
}

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
            return (500, Value::Null);
        }
        let mut worker = lock(&own);
        let status = if worker.obey(body, &log) { 200 } else { 409 };
        (status, worker.report())
    });
    lock(&worker).address = address.to_string();
    thread::spawn(move || {
        let mut at = 0;
        while !gone.load(Ordering::SeqCst) {
            let report = encode(&lock(&worker).report());
            match call(nodes[at % nodes.len()], "POST", "/agent/beat", &report) {
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
                (200, map(vec![("hosttypes", Value::Array(vec![kind]))]))
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
                (200, answer.clone())
            }
            ("POST", "/hosts/release") => {
                for name in list(body, "hosts").iter().filter_map(Value::as_text) {
                    if let Some((_, gone)) = machines.iter().find(|(n, _)| n == name) {
                        gone.store(true, Ordering::SeqCst);
                    }
                }
                (200, map(vec![]))
            }
            _ => (
                200,
                map(vec![
                    ("hosts", Value::Array(vec![])),
                    ("truncated", false.into()),
                ]),
            ),
        }
    })
}

// ---- our own nodes

pub struct Node {
    pub front: SocketAddr,
    settings: std::path::PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_lichencrank"))
            .arg("--config")
            .arg(&self.settings)
            .env("LOG_LEVEL", "info")
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the binary starts"));
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

impl World {
    pub fn start(name: &str) -> World {
        let starts = Starts::default();
        let state_away = Arc::new(AtomicBool::new(false));
        let state = state_service(state_away.clone());
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
                    "teams": [{"name": "vision", "cpus": 0.0, "cpus_max": 0.0}],
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
