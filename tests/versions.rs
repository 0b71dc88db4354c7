//! Versions side by side: what earlier versions sent and stored is read by this one, and what this one
//! writes is read by them. `tests/versions/` holds their bytes; its README tells how they were made.

use borsh::{BorshDeserialize, BorshSerialize};
use ciborium::Value;
use lichencrank::node::Node;
use lichencrank::protocol::cloud::MachineTypes;
use lichencrank::protocol::peers::{
    self, AcknowledgedJobs, CancelledJobs, DecodeError, PeerHeartbeat, RecentCancellation,
    RelayedRequest, RelayedResponse, StoreUsage,
};
use lichencrank::protocol::{decode, encode};
use lichencrank::settings::{Settings, Tuning};
use lichencrank::storage::records::{self, AllocationEntry, JobRecord, RunRecord, RunRecordId};
use lichencrank::storage::records::{LeaderRecord, OutcomeRecord, TermRecord, UnarchivedOutcome};
use lichencrank::transport::{
    CallId, ConnectionId, ListenerKind, Network, Request, Response, SocketUsage, TransportEvent,
};
use lichencrank::types::{Attempt, HostName, Incarnation, JobId, Time};
use lichencrank_store::value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

// ---- messages between processes

#[derive(Debug, PartialEq, BorshSerialize, BorshDeserialize)]
struct ProductionHeartbeat {
    from: String,
    term: u64,
    leader: Option<String>,
    state_ok: bool,
    home: Option<String>,
    workers: u32,
    made_room: bool,
    spends: (u32, u32),
    cancelled: Vec<(u64, u32)>,
}

fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        sender: "n1".into(),
        term: 7,
        leader: Some("n0".into()),
        is_store_reachable: true,
        home_zone: None,
        reporting_worker_count: 300,
        has_transferred_leadership: false,
        store_usage: StoreUsage {
            requests_per_s: 20,
            changes_per_s: 5,
        },
        recent_cancellations: vec![RecentCancellation {
            job: 412,
            remaining_ms: 30_000,
        }],
    }
}

fn encoded<T: borsh::BorshSerialize>(message: &T) -> Vec<u8> {
    peers::encode(message).expect("a message with an encoding")
}

/// A heartbeat as production puts it on the wire, byte by byte.
const HEARTBEAT: &[u8] = b"\x02\0\0\0n1\x07\0\0\0\0\0\0\0\x01\x02\0\0\0n0\x01\0\x2c\x01\0\0\0\x14\0\0\0\x05\0\0\0\x01\0\0\0\x9c\x01\0\0\0\0\0\0\x30\x75\0\0";

#[test]
fn messages_keep_their_bytes() {
    assert_eq!(encoded(&heartbeat()), HEARTBEAT);
    assert_eq!(peers::decode(HEARTBEAT), Ok(heartbeat()));
    assert!(peers::decode::<ProductionHeartbeat>(&encoded(&heartbeat())).is_ok());
    assert_eq!(
        encoded(&RelayedRequest::Status("job-000412".into())),
        b"\x01\x0a\0\0\0job-000412"
    );
    assert_eq!(
        encoded(&RelayedRequest::Submit(vec![1])),
        b"\0\x01\0\0\0\x01"
    );
    assert_eq!(
        encoded(&RelayedRequest::Cancel("job-000412".into())),
        b"\x02\x0a\0\0\0job-000412"
    );
    let relayed = RelayedResponse {
        status: 503,
        retry_after_s: Some(1),
        body: vec![9],
    };
    assert_eq!(encoded(&relayed), b"\xf7\x01\x01\x01\0\0\0\x01\0\0\0\x09");
    let jobs = vec![412];
    assert_eq!(
        encoded(&CancelledJobs { jobs: jobs.clone() }),
        b"\x01\0\0\0\x9c\x01\0\0\0\0\0\0"
    );
    assert_eq!(
        encoded(&AcknowledgedJobs { jobs }),
        b"\x01\0\0\0\x9c\x01\0\0\0\0\0\0"
    );
}

/// What a version of later may send: it is not understood, and that is all.
#[test]
fn strange_messages_are_refused_quietly() {
    let mut longer = HEARTBEAT.to_vec();
    longer.push(0);
    let refused = peers::decode::<PeerHeartbeat>(&longer);
    assert_eq!(refused, Err(DecodeError::TrailingBytes(1)));
    for cut in 0..HEARTBEAT.len() {
        let refused = peers::decode::<PeerHeartbeat>(&HEARTBEAT[..cut]);
        assert!(matches!(refused, Err(DecodeError::Malformed(_))), "{cut}");
    }
    assert!(peers::decode::<RelayedRequest>(b"\x09\0\0\0\0").is_err());
    assert!(peers::decode::<CancelledJobs>(b"\xff\xff\xff\xff").is_err());
}

// ---- records

/// A description as production stores it.
const DESCRIPTION: &str = r#"{"spec":{"ref":"job-000412","jobclass":"train","crew":"vision",
    "shape":"sweep","urgency":"high","pieces":600,"cpus":8.0,"cards":0.0,"ramGb":64.0,
    "bundle":"img-07","imageGb":6.2,"hosttypes":["g8"],"samePlace":false,"apart":false,
    "loaners":true,"guessS":240.0,"snapshotS":0.0,"stashS":0.0,"dueS":900.0},
    "at_ms":1700000000000,"chunk":256}"#;

/// A run record as production stores it.
const RUN: &str = r#"{"first":256,"size":256,"team":"vision","cpus":8.0,"gpus":0.0,"mem":64.0,
    "done":[[0,3]],"booked":[[4,2,"vm-000231",1]],"tried":[[7,1]],"rest":[0,0]}"#;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldChunk {
    first: u32,
    size: u32,
    team: String,
    cpus: f64,
    gpus: f64,
    mem: f64,
    #[serde(default)]
    done: Vec<(u32, u32)>,
    #[serde(default)]
    booked: Vec<(u32, u64, String, u64)>,
    #[serde(default)]
    tried: Vec<(u32, u64)>,
    #[serde(default)]
    rest: (u64, u64),
}

#[derive(Debug, Deserialize)]
struct OldDescription {
    spec: BTreeSpec,
    at_ms: u64,
    chunk: u32,
}

type BTreeSpec = std::collections::BTreeMap<String, Value>;

fn stored(json: &str) -> Value {
    let json: serde_json::Value = serde_json::from_str(json).expect("JSON");
    Value::serialized(&json).expect("a value")
}

#[test]
fn records_of_production_are_read_and_written_back_whole() {
    let description: JobRecord = stored(DESCRIPTION).deserialized().expect("a description");
    assert_eq!(
        (description.spec.task_count, description.tasks_per_record),
        (600, 256)
    );
    let again: OldDescription = value(&description).deserialized().expect("an old one");
    let before: OldDescription = stored(DESCRIPTION).deserialized().expect("an old one");
    assert_eq!((again.at_ms, again.chunk), (before.at_ms, before.chunk));
    let names = |d: &OldDescription| d.spec.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&again), names(&before));

    let run: RunRecord = stored(RUN).deserialized().expect("a run record");
    let allocation = AllocationEntry {
        offset: 4,
        attempt: Attempt(2),
        host: HostName::new("vm-000231"),
        incarnation: Incarnation(1),
    };
    assert_eq!(run.allocations, [allocation]);
    let again: OldChunk = value(&run).deserialized().expect("an old one");
    let before: OldChunk = stored(RUN).deserialized().expect("an old one");
    assert_eq!(again, before);
}

/// Keys keep their names.
#[test]
fn keys_are_the_same() {
    let job = JobId(412);
    assert_eq!(records::live_key(job), "live/job-000412");
    assert_eq!(records::outcome_key(job), "over/job-000412");
    assert_eq!(
        records::run_key(RunRecordId { job, number: 3 }),
        "run/job-000412/00003"
    );
    assert_eq!(records::LEADER_KEY, "lead/holder");
    assert_eq!(records::TERM_KEY, "lead/term");
    assert_eq!(records::MACHINE_TYPES_KEY, "types");
}

/// Production keeps the machine types without the size of their caches.
#[test]
fn types_of_production_are_read() {
    let old = r#"{"hosttypes":[{"sku":"g8","cpus":96.0,"cards":8.0,"ramGb":768.0,"pullGbPerS":1.0,
        "rate":12.0,"lowPrice":4.5,"startupS":45.0,"halls":["a","b"]}]}"#;
    let types: MachineTypes = decode(&encode(&stored(old))).expect("machine types");
    assert_eq!(types.machine_types.len(), 1);
}

// ---- bytes of earlier versions

/// Commits whose processes may run beside this version.
const EARLIER: [&str; 2] = ["87cd4a4", "b348541"];

/// A line of a file in `tests/versions/`.
struct Kept {
    version: &'static str,
    kind: String,
    bytes: Vec<u8>,
}

impl Kept {
    fn parse(version: &'static str, line: &str) -> Kept {
        let (kind, hex) = line.split_once(' ').expect("a kind and its bytes");
        let digits: Vec<u32> = hex.chars().map(|c| c.to_digit(16).expect("hex")).collect();
        let bytes = digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8);
        Kept {
            version,
            kind: kind.to_owned(),
            bytes: bytes.collect(),
        }
    }

    fn name(&self) -> String {
        format!("{} of {}: {:?}", self.kind, self.version, self.bytes)
    }

    /// Reads a message and writes it back: the same bytes, so that version reads them again.
    fn message<T: borsh::BorshSerialize + borsh::BorshDeserialize>(&self) -> T {
        let message = peers::decode(&self.bytes);
        let message: T = message.unwrap_or_else(|e| panic!("{}: {e}", self.name()));
        assert_eq!(encoded(&message), self.bytes, "{}", self.name());
        message
    }

    /// The same for a record.
    fn record<T: Serialize + DeserializeOwned>(&self) -> T {
        let record: T = decode(&self.bytes).unwrap_or_else(|e| panic!("{}: {e}", self.name()));
        assert_eq!(encode(&value(&record)), self.bytes, "{}", self.name());
        record
    }
}

fn kept() -> Vec<Kept> {
    let mut all = Vec::new();
    for version in EARLIER {
        let file = format!(
            "{}/tests/versions/{version}.bytes",
            env!("CARGO_MANIFEST_DIR")
        );
        let text = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{file}: {e}"));
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        all.extend(lines.map(|line| Kept::parse(version, line)));
    }
    all
}

/// Guards every rename of a type or field: all that both earlier versions sent and stored is read, and
/// written back byte by byte, so that their processes read it too.
#[test]
fn bytes_of_earlier_versions_are_read_and_written_back() {
    let mut kinds = BTreeSet::new();
    let mut bookings = 0;
    let mut attempts = 0;
    for kept in kept() {
        kinds.insert((kept.version, kept.kind.clone()));
        match kept.kind.as_str() {
            "heartbeat" => drop(kept.message::<PeerHeartbeat>()),
            "relay" => drop(kept.message::<RelayedRequest>()),
            "relay-answer" => drop(kept.message::<RelayedResponse>()),
            "cancelled" => drop(kept.message::<CancelledJobs>()),
            "acknowledged" => drop(kept.message::<AcknowledgedJobs>()),
            "job-array" => assert!(!kept.record::<JobRecord>().spec.is_service()),
            "job-service" => assert!(kept.record::<JobRecord>().spec.is_service()),
            "final" => drop(kept.record::<UnarchivedOutcome>()),
            "over-done" | "over-cancelled" => drop(kept.record::<OutcomeRecord>()),
            "holder" => drop(kept.record::<LeaderRecord>()),
            "term" => drop(kept.record::<TermRecord>()),
            "run" => {
                let record: RunRecord = kept.record();
                bookings += record.allocations.len();
                attempts += record.attempted.len();
            }
            "types" => assert_types_survive(&kept),
            other => panic!("{other}: no kind of message or record"),
        }
    }
    // Thirteen kinds that both versions know, and the service, which only the later one does.
    assert_eq!(kinds.len(), 2 * 13 + 1, "{kinds:?}");
    assert!(bookings > 0 && attempts > 0, "{bookings} {attempts}");
}

/// The first version keeps the machine types without the size of their caches, and ignores it.
fn assert_types_survive(kept: &Kept) {
    let types: MachineTypes = decode(&kept.bytes).expect("machine types");
    let again: Value = decode(&encode(&value(&types))).expect("a value");
    let before: Value = decode(&kept.bytes).expect("a value");
    let mut fields = Vec::new();
    for (name, field) in type_fields(&before) {
        assert!(
            type_fields(&again).contains(&(name.clone(), field)),
            "{name:?}"
        );
        fields.push(name);
    }
    assert!(fields.len() >= 9, "{fields:?}");
}

fn type_fields(types: &Value) -> Vec<(Value, Value)> {
    let list = types.as_map().and_then(|m| m.first()).expect("a field");
    let first = list.1.as_array().and_then(|a| a.first()).expect("a type");
    first.as_map().expect("a map").clone()
}

/// The version rule: whatever is not exactly one message ends in a typed error, and nothing panics.
#[test]
fn truncated_extended_and_random_input_is_an_error() {
    fn check<T: borsh::BorshDeserialize + Debug>(bytes: &[u8], random: &mut fastrand::Rng) {
        for cut in 0..bytes.len() {
            let refused = peers::decode::<T>(&bytes[..cut]);
            assert!(
                matches!(refused, Err(DecodeError::Malformed(_))),
                "{refused:?}"
            );
        }
        let extended = [bytes, &[random.u8(..)]].concat();
        let refused = peers::decode::<T>(&extended);
        assert!(
            matches!(refused, Err(DecodeError::TrailingBytes(1))),
            "{refused:?}"
        );
        for _ in 0..200 {
            let mut changed = bytes.to_vec();
            for _ in 0..3 {
                if !changed.is_empty() {
                    let at = random.usize(..changed.len());
                    changed[at] = random.u8(..);
                }
            }
            // It may still be a message. That it ends, without a panic, is what counts.
            drop(peers::decode::<T>(&changed));
        }
    }
    let mut random = fastrand::Rng::with_seed(7);
    for kept in kept() {
        let bytes = &kept.bytes;
        match kept.kind.as_str() {
            "heartbeat" => check::<PeerHeartbeat>(bytes, &mut random),
            "relay" => check::<RelayedRequest>(bytes, &mut random),
            "relay-answer" => check::<RelayedResponse>(bytes, &mut random),
            "cancelled" => check::<CancelledJobs>(bytes, &mut random),
            "acknowledged" => check::<AcknowledgedJobs>(bytes, &mut random),
            _ => check_record(bytes, &mut random),
        }
    }
}

fn check_record(bytes: &[u8], random: &mut fastrand::Rng) {
    for cut in 0..bytes.len() {
        assert!(decode::<Value>(&bytes[..cut]).is_err());
    }
    assert!(decode::<Value>(&[bytes, &[0]].concat()).is_err());
    for _ in 0..200 {
        let mut changed = bytes.to_vec();
        let at = random.usize(..changed.len());
        changed[at] = random.u8(..);
        drop(decode::<JobRecord>(&changed));
        drop(decode::<RunRecord>(&changed));
        drop(decode::<UnarchivedOutcome>(&changed));
        drop(decode::<LeaderRecord>(&changed));
        drop(decode::<MachineTypes>(&changed));
    }
}

// ---- a node that is sent what it does not understand

/// Records what a node sends; time stands still unless it is moved.
#[derive(Clone, Default)]
struct Recorder(Rc<RefCell<Recorded>>);

#[derive(Default)]
struct Recorded {
    now: u64,
    calls: Vec<String>,
    responses: Vec<(u64, u16)>,
}

impl Network for Recorder {
    fn now(&self) -> Time {
        Time(self.0.borrow().now)
    }

    fn wall_clock_ms(&self) -> u64 {
        1_700_000_000_000
    }

    fn respond(&mut self, conn: ConnectionId, response: &Response) {
        let answered = (conn.serial, response.status);
        self.0.borrow_mut().responses.push(answered);
    }

    fn call(
        &mut self,
        _to: SocketAddr,
        _method: &str,
        target: &str,
        _body: &[u8],
        _limit: Duration,
    ) -> CallId {
        let calls = &mut self.0.borrow_mut().calls;
        calls.push(target.to_owned());
        CallId(calls.len() as u64)
    }

    fn socket_usage(&self) -> SocketUsage {
        SocketUsage { open: 0, max: 32 }
    }
}

struct LoneNode {
    node: Node<Recorder>,
    seen: Recorder,
    requests: u64,
}

impl LoneNode {
    fn new() -> LoneNode {
        let settings = serde_json::json!({
            "host_name": "n0", "area": "a", "front": "10.0.0.1:1", "internal_addr": "10.0.0.1:2",
            "others": [{"host_name": "n1", "area": "a", "addr": "10.0.0.2:2"}],
            "outside": {"cloud": "10.0.0.3:1", "state": "10.0.0.3:2"},
            "settings": {
                "zones": ["a"], "teams": [],
                "workers": {"report_s": 3.0, "lease_s": 16.0, "cancel_s": 41.0},
                "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 24},
                "cloud": {"rps": 5.0}, "resources": {"sockets": 800}
            }
        });
        let settings = Settings::parse(&settings.to_string()).expect("settings");
        let seen = Recorder::default();
        let mut node = Node::new(settings, Tuning::default(), seen.clone(), 1);
        node.run_due_work();
        LoneNode {
            node,
            seen,
            requests: 0,
        }
    }

    fn status_of(
        &mut self,
        listener: ListenerKind,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> u16 {
        self.requests += 1;
        let connection = ConnectionId {
            slot: 0,
            serial: self.requests,
        };
        let request = Request {
            method: method.into(),
            target: target.into(),
            body: body.to_vec(),
            close: false,
        };
        self.node.handle_event(TransportEvent::Request {
            connection,
            listener,
            request,
        });
        let responses = &self.seen.0.borrow().responses;
        let last = responses.last().expect("an answer at once");
        assert_eq!(last.0, self.requests);
        last.1
    }
}

/// Guards the rule at each path: 400 for what is no message, 404 for a path of a later version.
#[test]
fn a_node_refuses_what_it_does_not_understand() {
    let mut lone = LoneNode::new();
    let mut random = fastrand::Rng::with_seed(3);
    for path in [
        peers::HEARTBEAT_PATH,
        peers::RELAY_PATH,
        peers::CANCELLED_PATH,
    ] {
        assert_eq!(
            lone.status_of(ListenerKind::Internal, "POST", path, &[0xff; 9]),
            400
        );
        for length in 0..60 {
            let body: Vec<u8> = (0..length).map(|_| random.u8(..)).collect();
            if peers::decode::<CancelledJobs>(&body).is_err() {
                assert_eq!(
                    lone.status_of(ListenerKind::Internal, "POST", path, &body),
                    400
                );
            }
        }
    }
    let later = lone.status_of(ListenerKind::Internal, "POST", "/peer/of-later", &[]);
    assert_eq!(later, 404);
    // Those that are understood are answered as ever, by a process that still runs.
    let known = lone.status_of(
        ListenerKind::Internal,
        "POST",
        peers::HEARTBEAT_PATH,
        HEARTBEAT,
    );
    assert_eq!(known, 200);
}

/// A peer whose answer is not understood is there all the same: it is no reason to call the node
/// unhealthy, or the peer's zone cut off.
#[test]
fn a_peer_that_is_not_understood_is_reachable() {
    let mut lone = LoneNode::new();
    assert_eq!(
        lone.status_of(ListenerKind::Public, "GET", "/healthz", &[]),
        503
    );
    let heartbeat = |calls: &[String]| calls.iter().position(|c| c == peers::HEARTBEAT_PATH);
    let sent = heartbeat(&lone.seen.0.borrow().calls).expect("a heartbeat") as u64 + 1;
    let longer = [HEARTBEAT, &[1, 2, 3]].concat();
    lone.node.handle_event(TransportEvent::Reply {
        call: CallId(sent),
        result: Ok(Response::new(200, longer)),
    });
    assert_eq!(
        lone.status_of(ListenerKind::Public, "GET", "/healthz", &[]),
        200
    );
}
