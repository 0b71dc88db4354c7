//! Two versions side by side: what the version in production wrote is read by this one, and what this
//! one writes is read by that one. Its shapes stand here as it declares them.

use borsh::{BorshDeserialize, BorshSerialize};
use ciborium::Value;
use lichencrank::bookkeeping::records::{self, ChunkRecord, JobRecord};
use lichencrank::protocol::peers::{self, Cancelled, Hello, Relay, Relayed, Secured};
use lichencrank::protocol::state::value;
use lichencrank::protocol::{decode, encode};
use lichencrank::types::{Attempt, HostName, JobId, Session};
use serde::{Deserialize, Serialize};

// ---- messages between processes

#[derive(Debug, PartialEq, BorshSerialize, BorshDeserialize)]
struct OldHello {
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

fn hello() -> Hello {
    Hello {
        from: "n1".into(),
        term: 7,
        leader: Some("n0".into()),
        state_ok: true,
        home: None,
        workers: 300,
        made_room: false,
        spends: (20, 5),
        cancelled: vec![(412, 30_000)],
    }
}

/// A greeting as production puts it on the wire, byte by byte.
const HELLO: &[u8] = b"\x02\0\0\0n1\x07\0\0\0\0\0\0\0\x01\x02\0\0\0n0\x01\0\x2c\x01\0\0\0\x14\0\0\0\x05\0\0\0\x01\0\0\0\x9c\x01\0\0\0\0\0\0\x30\x75\0\0";

#[test]
fn messages_keep_their_bytes() {
    assert_eq!(peers::encode(&hello()), HELLO);
    assert_eq!(peers::decode::<Hello>(HELLO), Some(hello()));
    assert!(peers::decode::<OldHello>(&peers::encode(&hello())).is_some());
    assert_eq!(
        peers::encode(&Relay::Poll("job-000412".into())),
        b"\x01\x0a\0\0\0job-000412"
    );
    assert_eq!(peers::encode(&Relay::Submit(vec![1])), b"\0\x01\0\0\0\x01");
    assert_eq!(
        peers::encode(&Relay::Withdraw("job-000412".into())),
        b"\x02\x0a\0\0\0job-000412"
    );
    let relayed = Relayed {
        status: 503,
        retry_after: Some(1),
        body: vec![9],
    };
    assert_eq!(
        peers::encode(&relayed),
        b"\xf7\x01\x01\x01\0\0\0\x01\0\0\0\x09"
    );
    let jobs = vec![412];
    assert_eq!(
        peers::encode(&Cancelled { jobs: jobs.clone() }),
        b"\x01\0\0\0\x9c\x01\0\0\0\0\0\0"
    );
    assert_eq!(
        peers::encode(&Secured { jobs }),
        b"\x01\0\0\0\x9c\x01\0\0\0\0\0\0"
    );
}

/// What a version of later may send: it is not understood, and that is all.
#[test]
fn strange_messages_are_refused_quietly() {
    let mut longer = HELLO.to_vec();
    longer.push(0);
    assert_eq!(peers::decode::<Hello>(&longer), None);
    for cut in 0..HELLO.len() {
        assert_eq!(peers::decode::<Hello>(&HELLO[..cut]), None);
    }
    assert_eq!(peers::decode::<Relay>(b"\x09\0\0\0\0"), None);
    assert_eq!(peers::decode::<Cancelled>(b"\xff\xff\xff\xff"), None);
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
    assert_eq!((description.spec.tasks, description.chunk), (600, 256));
    let again: OldDescription = value(&description).deserialized().expect("an old one");
    let before: OldDescription = stored(DESCRIPTION).deserialized().expect("an old one");
    assert_eq!((again.at_ms, again.chunk), (before.at_ms, before.chunk));
    let names = |d: &OldDescription| d.spec.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&again), names(&before));

    let run: ChunkRecord = stored(RUN).deserialized().expect("a run record");
    let booked = (4, Attempt(2), HostName::new("vm-000231"), Session(1));
    assert_eq!(run.booked, [booked]);
    let again: OldChunk = value(&run).deserialized().expect("an old one");
    let before: OldChunk = stored(RUN).deserialized().expect("an old one");
    assert_eq!(again, before);
}

/// Keys keep their names.
#[test]
fn keys_are_the_same() {
    let job = JobId(412);
    assert_eq!(records::live_key(job), "live/job-000412");
    assert_eq!(records::over_key(job), "over/job-000412");
    assert_eq!(records::run_key(job, 3), "run/job-000412/00003");
    assert_eq!(records::HOLDER, "lead/holder");
    assert_eq!(records::TERM, "lead/term");
    assert_eq!(records::TYPES, "types");
}

/// Production keeps the machine types without the size of their caches.
#[test]
fn types_of_production_are_read() {
    let old = r#"{"hosttypes":[{"sku":"g8","cpus":96.0,"cards":8.0,"ramGb":768.0,"pullGbPerS":1.0,
        "rate":12.0,"lowPrice":4.5,"startupS":45.0,"halls":["a","b"]}]}"#;
    let types: lichencrank::protocol::cloud::MachineTypes =
        decode(&encode(&stored(old))).expect("machine types");
    assert_eq!(types.types.len(), 1);
}
