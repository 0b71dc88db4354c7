//! Users' requests at one node: what is asked of the state service for them, and what they are told.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use lichencrank::node::api::{ApiAction, ApiServer, Client, NodeView, StoreRequestPurpose};
use lichencrank::protocol::cloud::MachineType;
use lichencrank::protocol::users::JobState;
use lichencrank::protocol::{decode, encode, Amount};
use lichencrank::settings::Team;
use lichencrank::storage::records::{
    self, AllocationEntry, JobRecord, OutcomeRecord, RunRecord, UnarchivedOutcome,
};
use lichencrank::storage::store::{Outcome, StoreRequest};
use lichencrank::transport::ConnectionId;
use lichencrank::types::{Attempt, HostName, Incarnation, JobId, Time, Version};
use lichencrank_store::outcome::RATE_LIMIT_PAUSE;
use lichencrank_store::{value, Change, Item, Page};

/// A node's front, and what it asked and answered so far.
struct Desk {
    api: ApiServer,
    next: u64,
    asked: Vec<(StoreRequest, StoreRequestPurpose)>,
    answers: BTreeMap<u64, (u16, String)>,
    relays: usize,
    /// Cancelled jobs that the leader is asked to take in hand.
    acknowledged: Vec<JobId>,
    now: Time,
    spare: bool,
    answering: bool,
}

fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "small".into(),
        cpus: Amount(4.0),
        gpus: Amount(0.0),
        memory_gb: Amount(16.0),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(0.3),
        spot_price_per_hour: Amount(0.1),
        boot_time_s: Amount(30.0),
        zones: vec!["a".into()],
    }]
}

fn name(job: u64) -> String {
    JobId(job).to_string()
}

fn description(job: u64) -> Vec<u8> {
    let fields: Vec<(&str, Value)> = vec![
        ("ref", name(job).into()),
        ("jobclass", "work".into()),
        ("crew", "open".into()),
        ("shape", "sweep".into()),
        ("urgency", "normal".into()),
        ("pieces", 4.into()),
        ("cpus", 1.0.into()),
        ("cards", 0.0.into()),
        ("ramGb", 1.0.into()),
        ("bundle", "img".into()),
        ("imageGb", 1.0.into()),
        ("samePlace", false.into()),
        ("apart", false.into()),
        ("loaners", true.into()),
        ("guessS", 10.0.into()),
        ("snapshotS", 0.0.into()),
        ("stashS", 0.0.into()),
    ];
    let fields = fields.into_iter().map(|(k, v)| (k.into(), v)).collect();
    encode(&Value::Map(fields))
}

/// A team without a limit.
fn open_team() -> Team {
    Team {
        name: "open".into(),
        guaranteed_cpus: None,
        max_cpus: None,
        guaranteed_gpus: None,
        max_gpus: None,
    }
}

impl Desk {
    fn new() -> Desk {
        Desk {
            api: ApiServer::new(vec![open_team()], 32.0, 24),
            next: 0,
            asked: Vec::new(),
            answers: BTreeMap::new(),
            relays: 0,
            acknowledged: Vec::new(),
            now: Time(10_000),
            spare: false,
            answering: true,
        }
    }

    fn client(&mut self) -> Client {
        self.next += 1;
        let conn = ConnectionId {
            slot: 0,
            serial: self.next,
        };
        let is_relayed = false;
        Client { conn, is_relayed }
    }

    fn pump(&mut self) {
        self.api.send_shared_transactions();
        for act in self.api.take_actions() {
            match act {
                ApiAction::SendStoreRequest(_, ask, what) => self.asked.push((ask, what)),
                ApiAction::Respond(conn, response) => {
                    let fields: BTreeMap<String, Value> =
                        decode(&response.body).unwrap_or_default();
                    let told = fields.get("status").and_then(|s| s.as_text());
                    let told = told.unwrap_or("").to_owned();
                    if response.status == 503 {
                        assert!(response.retry_after.is_some(), "when to come back");
                    }
                    self.answers.insert(conn.serial, (response.status, told));
                }
                ApiAction::Relay(..) => self.relays += 1,
                ApiAction::InformLeader(job) => self.acknowledged.push(job),
            }
        }
    }

    /// The state service answers the oldest open request, if it asks as expected.
    fn reply(&mut self, outcome: Outcome) {
        let (_, what) = self.asked.remove(0);
        let view = NodeView {
            leader_task_counts: &|_| None,
            has_spare_store_budget: self.spare,
            is_store_reachable: self.answering,
        };
        self.api.on_outcome(what, outcome, &view, self.now);
        self.pump();
    }

    fn poll(&mut self, job: u64) -> u64 {
        let client = self.client();
        self.api.query_status(client, &name(job), self.now);
        self.pump();
        client.conn.serial
    }

    /// Accepts these jobs, all at the same version.
    fn accept(&mut self, jobs: std::ops::Range<u64>, version: u64) {
        for job in jobs {
            let client = self.client();
            let body = description(job);
            self.api.submit(client, &body, &types(), 1000, self.now);
            self.pump();
        }
        while !self.asked.is_empty() {
            self.reply(Outcome::Committed(Version(version)));
        }
        assert!(self.answers.values().all(|(status, _)| *status == 201));
        self.answers.clear();
    }

    fn compared(&self, at: usize) -> usize {
        match &self.asked[at].0 {
            StoreRequest::Txn(txn) if txn.changes.is_empty() => txn.conditions.len(),
            other => panic!("{other:?} is no comparison"),
        }
    }
}

/// Many times as many questions used to cost eight times as many reads, beyond the budget of all
/// nodes together, and the leader's lease was refused with them.
#[test]
fn questions_about_many_jobs_share_one_comparison() {
    let mut desk = Desk::new();
    desk.accept(1..61, 7);
    let first = desk.poll(1);
    let asked: Vec<u64> = (0..6)
        .flat_map(|_| 1..61)
        .map(|job| desk.poll(job))
        .collect();
    // One that began before the others arrived, and says nothing of them.
    assert_eq!((desk.asked.len(), desk.compared(0)), (1, 1));
    desk.reply(Outcome::Committed(Version(9)));
    assert_eq!(desk.answers.len(), 1);
    assert_eq!(desk.answers[&first], (200, "queued".into()));
    // The rest share one.
    assert_eq!((desk.asked.len(), desk.compared(0)), (1, 60));
    desk.reply(Outcome::Committed(Version(9)));
    let told = asked.iter().filter(|id| desk.answers[*id].0 == 200).count();
    assert!(told == 360, "{told} were told");
    assert_eq!(desk.answers.len(), 361);
    assert!(desk.asked.is_empty());
}

/// After a controller ended, its users came to the others, which knew none of their jobs: a read for
/// each went beyond the budget, and most were answered 503.
#[test]
fn unknown_jobs_are_read_all_at_once() {
    let mut desk = Desk::new();
    // A few are read one by one.
    let alone = desk.poll(1);
    assert!(matches!(&desk.asked[0].0, StoreRequest::Get(key) if key == "live/job-000001"));
    desk.reply(Outcome::Item(None));
    desk.reply(Outcome::Item(None));
    assert_eq!(desk.answers[&alone].0, 404);

    let asked: Vec<u64> = (1..31)
        .map(|job| {
            let client = desk.client();
            desk.api.query_status(client, &name(job), desk.now);
            client.conn.serial
        })
        .collect();
    desk.pump();
    let item = |job: u64, value: Value| Item {
        key: format!("live/{}", name(job)),
        value,
        version: Version(7),
    };
    let page = |items: Vec<Item>, has_more: bool| {
        Outcome::Page(Page {
            items,
            has_more,
            revision: Version(9),
        })
    };
    assert_eq!(desk.asked.len(), 1);
    assert!(matches!(&desk.asked[0].0, StoreRequest::List { after, .. } if after.is_empty()));
    let first = (1..20).map(|job| item(job, Value::Map(Vec::new())));
    desk.reply(page(first.collect(), true));
    assert!(
        matches!(&desk.asked[0].0, StoreRequest::List { after, .. } if after == "live/job-000019")
    );
    // One has its final state in place; the last is no longer there, and its final state is read.
    let over = OutcomeRecord {
        state: JobState::Done,
        tasks: 4,
    };
    let mut second: Vec<Item> = (20..29)
        .map(|job| item(job, Value::Map(Vec::new())))
        .collect();
    second.push(item(29, value(&UnarchivedOutcome { outcome: over })));
    desk.reply(page(second, false));
    assert!(matches!(&desk.asked[0].0, StoreRequest::Get(key) if key == "over/job-000030"));
    desk.reply(Outcome::Item(None));
    let told: Vec<&str> = asked.iter().map(|id| desk.answers[id].1.as_str()).collect();
    assert!(told[..28].iter().all(|state| *state == "queued"));
    assert_eq!(told[28], "done");
    assert_eq!(desk.answers[&asked[29]].0, 404);
    // From now on one comparison does.
    desk.poll(5);
    assert_eq!(desk.compared(0), 1);
}

/// A job that is no longer as it was read is read again; the comparison says nothing of the others.
#[test]
fn what_has_changed_is_read_again() {
    let mut desk = Desk::new();
    desk.accept(1..4, 7);
    let blocking = desk.poll(3);
    let (one, two) = (desk.poll(1), desk.poll(2));
    desk.reply(Outcome::Committed(Version(9)));
    assert_eq!(desk.answers[&blocking].0, 200);
    desk.reply(Outcome::Conflict(vec!["live/job-000001".into()]));
    assert!(!desk.answers.contains_key(&one) && !desk.answers.contains_key(&two));
    // Job 1 got done; its final record stands where its description was.
    let over = OutcomeRecord {
        state: JobState::Done,
        tasks: 4,
    };
    assert!(matches!(&desk.asked[0].0, StoreRequest::Get(key) if key == "live/job-000001"));
    desk.reply(Outcome::Item(Some(Item {
        key: "live/job-000001".into(),
        value: value(&UnarchivedOutcome { outcome: over }),
        version: Version(8),
    })));
    assert_eq!(desk.answers[&one], (200, "done".into()));
    assert_eq!(desk.compared(0), 1);
    desk.reply(Outcome::Committed(Version(9)));
    assert_eq!(desk.answers[&two], (200, "queued".into()));
    // Done is for ever: that needs no question any more.
    let again = desk.poll(1);
    assert_eq!(desk.answers[&again], (200, "done".into()));
    assert!(desk.asked.is_empty());
}

/// Where the budget is short a request is asked again while its user waits; then it is answered at
/// once with when to come back.
#[test]
fn a_short_budget_is_no_outage() {
    let mut desk = Desk::new();
    desk.accept(1..2, 7);
    let user = desk.poll(1);
    for _ in 0..3 {
        desk.now = desk.now.after(Duration::from_millis(400));
        desk.reply(Outcome::RateLimited {
            retry_after: RATE_LIMIT_PAUSE,
        });
        assert!(desk.answers.is_empty() && desk.relays == 0);
    }
    desk.now = desk.now.after(Duration::from_millis(450));
    desk.reply(Outcome::RateLimited {
        retry_after: RATE_LIMIT_PAUSE,
    });
    assert_eq!(desk.answers[&user].0, 503);
}

/// A lost answer is asked for once more where others come; where none do, another node is asked.
#[test]
fn a_lost_answer_is_asked_for_once_more() {
    let mut desk = Desk::new();
    let client = desk.client();
    desk.api
        .submit(client, &description(5), &types(), 1000, desk.now);
    desk.pump();
    desk.reply(Outcome::Unknown);
    assert!(matches!(&desk.asked[0].0, StoreRequest::Txn(txn) if txn.changes.len() == 1));
    // The first was carried out after all.
    desk.reply(Outcome::Conflict(vec!["live/job-000005".into()]));
    assert!(matches!(&desk.asked[0].0, StoreRequest::Get(key) if key == "live/job-000005"));
    desk.reply(Outcome::Unknown);
    assert_eq!((desk.asked.len(), desk.relays), (0, 1));

    let mut desk = Desk::new();
    desk.answering = false;
    desk.poll(5);
    desk.reply(Outcome::Unknown);
    assert_eq!((desk.asked.len(), desk.relays), (0, 1));
}

/// That a job is not over is the answer; its counts are for display, and not worth failing for.
#[test]
fn counts_are_not_worth_failing_for() {
    let mut desk = Desk::new();
    desk.accept(1..2, 7);
    desk.spare = true;
    let user = desk.poll(1);
    desk.reply(Outcome::Committed(Version(9)));
    assert!(matches!(&desk.asked[0].0, StoreRequest::Get(key) if key == "run/job-000001/00000"));
    desk.reply(Outcome::Unavailable);
    assert_eq!(desk.answers[&user], (200, "queued".into()));
}

impl Desk {
    /// A cancellation, up to the point where the records say that the job is cancelled.
    fn cancel(&mut self, job: u64) -> u64 {
        let client = self.client();
        self.api.cancel(client, &name(job), self.now);
        self.pump();
        self.reply(Outcome::Item(Some(Item {
            key: format!("live/{}", name(job)),
            value: Value::Map(Vec::new()),
            version: Version(7),
        })));
        self.reply(Outcome::Committed(Version(8)));
        client.conn.serial
    }

    fn leader_says(&mut self, job: u64, acknowledged: bool) {
        self.api
            .on_leader_response(JobId(job), acknowledged, self.now);
        self.pump();
    }
}

/// What a user was told is cancelled is passed on to the other nodes, and nobody is told before the
/// leader has it in hand: the node that confirms may end at once, and the records may be out of reach
/// for longer than a cancellation has.
#[test]
fn cancellations_are_told_once_the_leader_knows() {
    let mut desk = Desk::new();
    desk.accept(1..2, 7);
    let user = desk.cancel(1);
    assert_eq!(desk.api.take_cancelled_jobs(), [JobId(1)]);
    assert_eq!(desk.acknowledged, [JobId(1)]);
    assert!(!desk.answers.contains_key(&user));
    desk.leader_says(1, true);
    assert_eq!(desk.answers[&user], (200, "cancelled".into()));
    // From now on that is known here.
    let again = desk.poll(1);
    assert_eq!(desk.answers[&again], (200, "cancelled".into()));
}

/// Without the leader's word the records decide: a job of which something is booked is not told as
/// cancelled, at no door, and its user is told at once when to come back.
#[test]
fn without_the_leader_only_what_is_not_booked_is_told_as_cancelled() {
    let mut desk = Desk::new();
    desk.accept(1..2, 7);
    let user = desk.cancel(1);
    desk.leader_says(1, false);
    let bookings = |booked: Vec<AllocationEntry>| {
        let items = vec![Item {
            key: "run/job-000001/00000".into(),
            value: value(&RunRecord {
                allocations: booked,
                ..RunRecord::default()
            }),
            version: Version(9),
        }];
        Outcome::Page(Page {
            items,
            has_more: false,
            revision: Version(9),
        })
    };
    let one = vec![AllocationEntry {
        offset: 0,
        attempt: Attempt(1),
        host: HostName::new("vm-1"),
        incarnation: Incarnation(1),
    }];
    assert!(
        matches!(&desk.asked[0].0, StoreRequest::List { prefix, .. } if prefix == "run/job-000001/")
    );
    desk.reply(bookings(one.clone()));
    assert_eq!(desk.answers[&user].0, 503);
    // Nor by a poll, nor by a repeated submission.
    let polled = desk.poll(1);
    desk.reply(Outcome::Conflict(vec!["live/job-000001".into()]));
    let over = OutcomeRecord {
        state: JobState::Cancelled,
        tasks: 0,
    };
    let cancelled = || {
        Outcome::Item(Some(Item {
            key: "over/job-000001".into(),
            value: value(&over),
            version: Version(8),
        }))
    };
    desk.reply(Outcome::Item(None));
    desk.reply(cancelled());
    desk.leader_says(1, false);
    desk.reply(bookings(one));
    assert_eq!(desk.answers[&polled].0, 503);
    // Once its bookings have ended it is told.
    let polled = desk.poll(1);
    desk.reply(Outcome::Item(None));
    desk.reply(cancelled());
    desk.leader_says(1, false);
    desk.reply(bookings(Vec::new()));
    assert_eq!(desk.answers[&polled], (200, "cancelled".into()));
}

/// A question that was read before a cancellation was told here must not be answered after it with what
/// was read: users ask at all nodes within milliseconds.
#[test]
fn what_was_read_before_is_no_answer_after() {
    let mut desk = Desk::new();
    desk.accept(1..2, 7);
    let polled = desk.poll(1);
    let compared = desk.asked.remove(0);
    desk.cancel(1);
    desk.leader_says(1, true);
    desk.asked.push(compared);
    desk.reply(Outcome::Committed(Version(7)));
    assert_eq!(desk.answers[&polled], (200, "cancelled".into()));

    // Nor is "never accepted" after the job was accepted here.
    desk.answers.clear();
    let polled = desk.poll(2);
    desk.reply(Outcome::Item(None));
    let over = desk.asked.remove(0);
    desk.accept(2..3, 9);
    desk.asked.push(over);
    desk.reply(Outcome::Item(None));
    assert!(!desk.answers.contains_key(&polled));
    assert!(matches!(&desk.asked[0].0, StoreRequest::Get(key) if key == "live/job-000002"));
}

/// Where values may only be small, a description that names many machine types is kept without those
/// that the cloud does not offer, as nothing can run on them: it is no malformed job.
#[test]
fn a_long_description_is_shortened() {
    let mut desk = Desk::new();
    desk.api = ApiServer::new(vec![open_team()], 2.0, 5);
    let mut body: Value = decode(&description(1)).expect("a map");
    let unknown = (0..60).map(|n| Value::from(format!("{n:060}")));
    let mut allowed: Vec<Value> = unknown.collect();
    allowed.insert(30, "small".into());
    let fields = body.as_map_mut().expect("a map");
    fields.push(("hosttypes".into(), Value::Array(allowed)));
    let client = desk.client();
    let body = encode(&body);
    desk.api.submit(client, &body, &types(), 1000, desk.now);
    desk.pump();
    let StoreRequest::Txn(txn) = &desk.asked[0].0 else {
        panic!("{:?}", desk.asked[0].0);
    };
    let Change::Put { value, .. } = &txn.changes[0] else {
        panic!("{:?}", txn.changes);
    };
    let record: JobRecord = value.deserialized().expect("a description");
    assert!(records::json_size(&record) <= 2048);
    assert_eq!(
        record.spec.allowed_machine_types,
        Some(vec!["small".to_owned()])
    );
    desk.reply(Outcome::Committed(Version(7)));
    assert_eq!(desk.answers[&client.conn.serial].0, 201);
}

/// All replicas of a service run at once, so they have to fit into the team's limit together; an array
/// needs room for one task.
#[test]
fn a_service_needs_room_for_all_its_replicas() {
    let limited = |shape: &str| {
        let mut desk = Desk::new();
        let team = Team {
            name: "open".into(),
            guaranteed_cpus: None,
            max_cpus: Some(3.0),
            guaranteed_gpus: None,
            max_gpus: None,
        };
        desk.api = ApiServer::new(vec![team], 32.0, 24);
        let mut body: Value = decode(&description(1)).expect("a map");
        for (name, value) in body.as_map_mut().expect("a map") {
            if name.as_text() == Some("shape") {
                *value = shape.into();
            }
        }
        let client = desk.client();
        let body = encode(&body);
        desk.api.submit(client, &body, &types(), 1000, desk.now);
        desk.pump();
        // Whether it is known already is looked up first.
        if matches!(desk.asked[0].0, StoreRequest::Get(_)) {
            desk.reply(Outcome::Item(None));
            desk.reply(Outcome::Item(None));
        } else {
            desk.reply(Outcome::Committed(Version(7)));
        }
        desk.answers[&client.conn.serial].0
    };
    assert_eq!(limited("sweep"), 201);
    assert_eq!(limited("service"), 422);
    assert_eq!(limited("group"), 400);
}
