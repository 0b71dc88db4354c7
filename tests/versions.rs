//! Compatibility of versions that run side by side in a rolling upgrade: this version can read what earlier versions send
//! and store, and they can read what it writes. `tests/versions/` holds recorded bytes of earlier versions; its README
//! describes how they were recorded.

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

// ---- messages between controllers

/// Layout of the heartbeat in the version in production, with the field names of that version.
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

fn encode_message<T: borsh::BorshSerialize>(message: &T) -> Vec<u8> {
    peers::encode(message).expect("a message that can be encoded")
}

/// The bytes of the heartbeat that [`heartbeat`] returns, as the version in production sends it.
const HEARTBEAT_BYTES: &[u8] = b"\x02\0\0\0n1\x07\0\0\0\0\0\0\0\x01\x02\0\0\0n0\x01\0\x2c\x01\0\0\0\x14\0\0\0\x05\0\0\0\x01\0\0\0\x9c\x01\0\0\0\0\0\0\x30\x75\0\0";

#[test]
fn messages_keep_their_bytes() {
    assert_eq!(encode_message(&heartbeat()), HEARTBEAT_BYTES);
    assert_eq!(peers::decode(HEARTBEAT_BYTES), Ok(heartbeat()));
    assert!(peers::decode::<ProductionHeartbeat>(&encode_message(&heartbeat())).is_ok());
    assert_eq!(
        encode_message(&RelayedRequest::Status("job-000412".into())),
        b"\x01\x0a\0\0\0job-000412"
    );
    assert_eq!(
        encode_message(&RelayedRequest::Submit(vec![1])),
        b"\0\x01\0\0\0\x01"
    );
    assert_eq!(
        encode_message(&RelayedRequest::Cancel("job-000412".into())),
        b"\x02\x0a\0\0\0job-000412"
    );
    let relayed_response = RelayedResponse {
        status: 503,
        retry_after_s: Some(1),
        body: vec![9],
    };
    assert_eq!(
        encode_message(&relayed_response),
        b"\xf7\x01\x01\x01\0\0\0\x01\0\0\0\x09"
    );
    let jobs = vec![412];
    assert_eq!(
        encode_message(&CancelledJobs { jobs: jobs.clone() }),
        b"\x01\0\0\0\x9c\x01\0\0\0\0\0\0"
    );
    assert_eq!(
        encode_message(&AcknowledgedJobs { jobs }),
        b"\x01\0\0\0\x9c\x01\0\0\0\0\0\0"
    );
}

/// Messages of another layout, as a later version might send them, are decoding errors.
#[test]
fn messages_of_another_layout_are_rejected() {
    let mut extended = HEARTBEAT_BYTES.to_vec();
    extended.push(0);
    let result = peers::decode::<PeerHeartbeat>(&extended);
    assert_eq!(result, Err(DecodeError::TrailingBytes(1)));
    for length in 0..HEARTBEAT_BYTES.len() {
        let result = peers::decode::<PeerHeartbeat>(&HEARTBEAT_BYTES[..length]);
        assert!(matches!(result, Err(DecodeError::Malformed(_))), "{length}");
    }
    assert!(peers::decode::<RelayedRequest>(b"\x09\0\0\0\0").is_err());
    assert!(peers::decode::<CancelledJobs>(b"\xff\xff\xff\xff").is_err());
}

// ---- records

/// A job record as the version in production stores it.
const JOB_RECORD_JSON: &str = r#"{"spec":{"ref":"job-000412","jobclass":"train","crew":"vision",
    "shape":"sweep","urgency":"high","pieces":600,"cpus":8.0,"cards":0.0,"ramGb":64.0,
    "bundle":"img-07","imageGb":6.2,"hosttypes":["g8"],"samePlace":false,"apart":false,
    "loaners":true,"guessS":240.0,"snapshotS":0.0,"stashS":0.0,"dueS":900.0},
    "at_ms":1700000000000,"chunk":256}"#;

/// A run record as the version in production stores it.
const RUN_RECORD_JSON: &str = r#"{"first":256,"size":256,"team":"vision","cpus":8.0,"gpus":0.0,"mem":64.0,
    "done":[[0,3]],"booked":[[4,2,"vm-000231",1]],"tried":[[7,1]],"rest":[0,0]}"#;

/// Layout of the run record in the version in production.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct ProductionRunRecord {
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

/// Layout of the job record in the version in production.
#[derive(Debug, Deserialize)]
struct ProductionJobRecord {
    spec: SpecFields,
    at_ms: u64,
    chunk: u32,
}

/// Fields of a job specification, by their stored names.
type SpecFields = std::collections::BTreeMap<String, Value>;

/// The value that is stored for a record in JSON.
fn stored(json: &str) -> Value {
    let json: serde_json::Value = serde_json::from_str(json).expect("JSON");
    Value::serialized(&json).expect("a value")
}

#[test]
fn records_of_production_are_read_and_written_back_completely() {
    let job_record: JobRecord = stored(JOB_RECORD_JSON)
        .deserialized()
        .expect("a job record");
    assert_eq!(
        (job_record.spec.task_count, job_record.tasks_per_record),
        (600, 256)
    );
    let rewritten: ProductionJobRecord = value(&job_record)
        .deserialized()
        .expect("a record of production");
    let original: ProductionJobRecord = stored(JOB_RECORD_JSON)
        .deserialized()
        .expect("a record of production");
    assert_eq!(
        (rewritten.at_ms, rewritten.chunk),
        (original.at_ms, original.chunk)
    );
    let field_names =
        |record: &ProductionJobRecord| record.spec.keys().cloned().collect::<Vec<_>>();
    assert_eq!(field_names(&rewritten), field_names(&original));

    let run_record: RunRecord = stored(RUN_RECORD_JSON)
        .deserialized()
        .expect("a run record");
    let allocation = AllocationEntry {
        offset: 4,
        attempt: Attempt(2),
        host: HostName::new("vm-000231"),
        incarnation: Incarnation(1),
    };
    assert_eq!(run_record.allocations, [allocation]);
    let rewritten: ProductionRunRecord = value(&run_record)
        .deserialized()
        .expect("a record of production");
    let original: ProductionRunRecord = stored(RUN_RECORD_JSON)
        .deserialized()
        .expect("a record of production");
    assert_eq!(rewritten, original);
}

/// Earlier versions find the records under the same keys.
#[test]
fn keys_are_unchanged() {
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

/// Earlier versions store the machine types without the size of the image cache.
#[test]
fn machine_types_without_cache_size_are_read() {
    let json = r#"{"hosttypes":[{"sku":"g8","cpus":96.0,"cards":8.0,"ramGb":768.0,"pullGbPerS":1.0,
        "rate":12.0,"lowPrice":4.5,"startupS":45.0,"halls":["a","b"]}]}"#;
    let types: MachineTypes = decode(&encode(&stored(json))).expect("machine types");
    assert_eq!(types.machine_types.len(), 1);
}

// ---- recorded bytes of earlier versions

/// Commits of the versions that may run beside this version.
const EARLIER_VERSIONS: [&str; 2] = ["87cd4a4", "b348541"];

/// One message or record of an earlier version: a line of a file in `tests/versions/`.
struct RecordedBytes {
    version: &'static str,
    kind: String,
    bytes: Vec<u8>,
}

impl RecordedBytes {
    fn parse(version: &'static str, line: &str) -> RecordedBytes {
        let (kind, hex) = line.split_once(' ').expect("a kind and its bytes");
        let digits: Vec<u32> = hex.chars().map(|c| c.to_digit(16).expect("hex")).collect();
        let bytes = digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8);
        RecordedBytes {
            version,
            kind: kind.to_owned(),
            bytes: bytes.collect(),
        }
    }

    /// A description for the messages of failed assertions.
    fn description(&self) -> String {
        format!("{} of {}: {:?}", self.kind, self.version, self.bytes)
    }

    /// Decodes a message and asserts that encoding it yields the same bytes, so that the earlier version can decode it.
    fn message<T: borsh::BorshSerialize + borsh::BorshDeserialize>(&self) -> T {
        let message = peers::decode(&self.bytes);
        let message: T = message.unwrap_or_else(|e| panic!("{}: {e}", self.description()));
        assert_eq!(
            encode_message(&message),
            self.bytes,
            "{}",
            self.description()
        );
        message
    }

    /// Decodes a record and asserts that encoding it yields the same bytes.
    fn record<T: Serialize + DeserializeOwned>(&self) -> T {
        let record: T =
            decode(&self.bytes).unwrap_or_else(|e| panic!("{}: {e}", self.description()));
        assert_eq!(
            encode(&value(&record)),
            self.bytes,
            "{}",
            self.description()
        );
        record
    }
}

fn recorded_bytes() -> Vec<RecordedBytes> {
    let mut all = Vec::new();
    for version in EARLIER_VERSIONS {
        let file = format!(
            "{}/tests/versions/{version}.bytes",
            env!("CARGO_MANIFEST_DIR")
        );
        let text = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{file}: {e}"));
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        all.extend(lines.map(|line| RecordedBytes::parse(version, line)));
    }
    all
}

/// Guards against renames of types or fields that change an encoding: everything that the earlier versions sent and stored
/// is decoded, and encoded to the same bytes, so that their processes can read it too.
#[test]
fn bytes_of_earlier_versions_are_read_and_written_back() {
    let mut kinds = BTreeSet::new();
    let mut allocation_count = 0;
    let mut attempted_count = 0;
    for recorded in recorded_bytes() {
        kinds.insert((recorded.version, recorded.kind.clone()));
        match recorded.kind.as_str() {
            "heartbeat" => drop(recorded.message::<PeerHeartbeat>()),
            "relay" => drop(recorded.message::<RelayedRequest>()),
            "relay-answer" => drop(recorded.message::<RelayedResponse>()),
            "cancelled" => drop(recorded.message::<CancelledJobs>()),
            "acknowledged" => drop(recorded.message::<AcknowledgedJobs>()),
            "job-array" => assert!(!recorded.record::<JobRecord>().spec.is_service()),
            "job-service" => assert!(recorded.record::<JobRecord>().spec.is_service()),
            "final" => drop(recorded.record::<UnarchivedOutcome>()),
            "over-done" | "over-cancelled" => drop(recorded.record::<OutcomeRecord>()),
            "holder" => drop(recorded.record::<LeaderRecord>()),
            "term" => drop(recorded.record::<TermRecord>()),
            "run" => {
                let record: RunRecord = recorded.record();
                allocation_count += record.allocations.len();
                attempted_count += record.attempted.len();
            }
            "types" => assert_machine_types_survive(&recorded),
            other => panic!("{other}: unknown kind of message or record"),
        }
    }
    // Both versions know 13 kinds; only the later one knows services.
    assert_eq!(kinds.len(), 2 * 13 + 1, "{kinds:?}");
    assert!(
        allocation_count > 0 && attempted_count > 0,
        "{allocation_count} {attempted_count}"
    );
}

/// Asserts that all fields of recorded machine types are written back. The first version stores them without the size of the
/// image cache and ignores that field, so the bytes may differ.
fn assert_machine_types_survive(recorded: &RecordedBytes) {
    let machine_types: MachineTypes = decode(&recorded.bytes).expect("machine types");
    let rewritten: Value = decode(&encode(&value(&machine_types))).expect("a value");
    let original: Value = decode(&recorded.bytes).expect("a value");
    let mut field_names = Vec::new();
    for (name, field) in first_type_fields(&original) {
        assert!(
            first_type_fields(&rewritten).contains(&(name.clone(), field)),
            "{name:?}"
        );
        field_names.push(name);
    }
    assert!(field_names.len() >= 9, "{field_names:?}");
}

/// Fields of the first machine type.
fn first_type_fields(machine_types: &Value) -> Vec<(Value, Value)> {
    let list = machine_types
        .as_map()
        .and_then(|fields| fields.first())
        .expect("a field");
    let first = list
        .1
        .as_array()
        .and_then(|types| types.first())
        .expect("a type");
    first.as_map().expect("a map").clone()
}

/// A body that is not exactly one message is a decoding error, and no body makes the decoder panic.
#[test]
fn truncated_extended_and_random_input_is_an_error() {
    fn check<T: borsh::BorshDeserialize + Debug>(bytes: &[u8], random: &mut fastrand::Rng) {
        for length in 0..bytes.len() {
            let result = peers::decode::<T>(&bytes[..length]);
            assert!(
                matches!(result, Err(DecodeError::Malformed(_))),
                "{result:?}"
            );
        }
        let extended = [bytes, &[random.u8(..)]].concat();
        let result = peers::decode::<T>(&extended);
        assert!(
            matches!(result, Err(DecodeError::TrailingBytes(1))),
            "{result:?}"
        );
        for _ in 0..200 {
            let mut changed = bytes.to_vec();
            for _ in 0..3 {
                if !changed.is_empty() {
                    let position = random.usize(..changed.len());
                    changed[position] = random.u8(..);
                }
            }
            // The result may still be a valid message; the decoder only must not panic.
            drop(peers::decode::<T>(&changed));
        }
    }
    let mut random = fastrand::Rng::with_seed(7);
    for recorded in recorded_bytes() {
        let bytes = &recorded.bytes;
        match recorded.kind.as_str() {
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
    for length in 0..bytes.len() {
        assert!(decode::<Value>(&bytes[..length]).is_err());
    }
    assert!(decode::<Value>(&[bytes, &[0]].concat()).is_err());
    for _ in 0..200 {
        let mut changed = bytes.to_vec();
        let position = random.usize(..changed.len());
        changed[position] = random.u8(..);
        drop(decode::<JobRecord>(&changed));
        drop(decode::<RunRecord>(&changed));
        drop(decode::<UnarchivedOutcome>(&changed));
        drop(decode::<LeaderRecord>(&changed));
        drop(decode::<MachineTypes>(&changed));
    }
}

// ---- a node that receives messages it cannot decode

/// A network that records what a node sends. Its clock does not advance.
#[derive(Clone, Default)]
struct RecordingNetwork(Rc<RefCell<SentMessages>>);

#[derive(Default)]
struct SentMessages {
    now_ms: u64,
    /// Paths of the requests that the node has sent.
    request_paths: Vec<String>,
    /// Serial number of the connection and status of each response.
    responses: Vec<(u64, u16)>,
}

impl Network for RecordingNetwork {
    fn now(&self) -> Time {
        Time(self.0.borrow().now_ms)
    }

    fn wall_clock_ms(&self) -> u64 {
        1_700_000_000_000
    }

    fn respond(&mut self, connection: ConnectionId, response: &Response) {
        let sent_response = (connection.serial, response.status);
        self.0.borrow_mut().responses.push(sent_response);
    }

    fn call(
        &mut self,
        _server: SocketAddr,
        _method: &str,
        target: &str,
        _body: &[u8],
        _timeout: Duration,
    ) -> CallId {
        let request_paths = &mut self.0.borrow_mut().request_paths;
        request_paths.push(target.to_owned());
        CallId(request_paths.len() as u64)
    }

    fn socket_usage(&self) -> SocketUsage {
        SocketUsage { open: 0, max: 32 }
    }
}

/// A node without running peers or services.
struct IsolatedNode {
    node: Node<RecordingNetwork>,
    network: RecordingNetwork,
    request_count: u64,
}

impl IsolatedNode {
    fn new() -> IsolatedNode {
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
        let network = RecordingNetwork::default();
        let mut node = Node::new(settings, Tuning::default(), network.clone(), 1);
        node.run_due_work();
        IsolatedNode {
            node,
            network,
            request_count: 0,
        }
    }

    /// Status of the immediate response to a request.
    fn response_status(
        &mut self,
        listener: ListenerKind,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> u16 {
        self.request_count += 1;
        let connection = ConnectionId {
            slot: 0,
            serial: self.request_count,
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
        let responses = &self.network.0.borrow().responses;
        let last = responses.last().expect("an immediate response");
        assert_eq!(last.0, self.request_count);
        last.1
    }
}

/// A node responds with 400 to a body that it cannot decode, on every path, and with 404 to a path that only a later version
/// knows.
#[test]
fn a_node_rejects_messages_that_it_cannot_decode() {
    let mut isolated_node = IsolatedNode::new();
    let mut random = fastrand::Rng::with_seed(3);
    for path in [
        peers::HEARTBEAT_PATH,
        peers::RELAY_PATH,
        peers::CANCELLED_PATH,
    ] {
        assert_eq!(
            isolated_node.response_status(ListenerKind::Internal, "POST", path, &[0xff; 9]),
            400
        );
        for length in 0..60 {
            let body: Vec<u8> = (0..length).map(|_| random.u8(..)).collect();
            if peers::decode::<CancelledJobs>(&body).is_err() {
                assert_eq!(
                    isolated_node.response_status(ListenerKind::Internal, "POST", path, &body),
                    400
                );
            }
        }
    }
    let unknown_path_status =
        isolated_node.response_status(ListenerKind::Internal, "POST", "/peer/of-later", &[]);
    assert_eq!(unknown_path_status, 404);
    // The process still runs and responds to valid messages.
    let valid_message_status = isolated_node.response_status(
        ListenerKind::Internal,
        "POST",
        peers::HEARTBEAT_PATH,
        HEARTBEAT_BYTES,
    );
    assert_eq!(valid_message_status, 200);
}

/// Guards against a node that reports itself as unhealthy, or the zone of a peer as isolated, because it cannot decode the
/// peer's response to a heartbeat: such a response still shows that the peer is reachable.
#[test]
fn a_peer_whose_response_cannot_be_decoded_is_reachable() {
    let mut isolated_node = IsolatedNode::new();
    assert_eq!(
        isolated_node.response_status(ListenerKind::Public, "GET", "/healthz", &[]),
        503
    );
    let heartbeat_index =
        |paths: &[String]| paths.iter().position(|path| path == peers::HEARTBEAT_PATH);
    let heartbeat_call = heartbeat_index(&isolated_node.network.0.borrow().request_paths)
        .expect("a heartbeat") as u64
        + 1;
    let extended = [HEARTBEAT_BYTES, &[1, 2, 3]].concat();
    isolated_node.node.handle_event(TransportEvent::Reply {
        call: CallId(heartbeat_call),
        result: Ok(Response::new(200, extended)),
    });
    assert_eq!(
        isolated_node.response_status(ListenerKind::Public, "GET", "/healthz", &[]),
        200
    );
}
