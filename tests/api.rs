//! Users' requests at one controller: the requests to the state service that they cause, and their responses.

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

/// The API server of one controller, with the requests and responses that it has sent.
struct ApiHarness {
    api: ApiServer,
    last_conn_serial: u64,
    /// Requests to the state service without an outcome yet, the oldest first.
    store_requests: Vec<(StoreRequest, StoreRequestPurpose)>,
    /// HTTP status and job state of each response, by the serial number of the connection.
    responses: BTreeMap<u64, (u16, String)>,
    relay_count: usize,
    /// Cancelled jobs that the leader is asked to acknowledge.
    jobs_to_acknowledge: Vec<JobId>,
    now: Time,
    has_spare_store_budget: bool,
    is_store_reachable: bool,
}

fn machine_types() -> Vec<MachineType> {
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

fn job_name(job: u64) -> String {
    JobId(job).to_string()
}

/// The body of a submission of a job with four tasks.
fn submission_body(job: u64) -> Vec<u8> {
    let fields: Vec<(&str, Value)> = vec![
        ("ref", job_name(job).into()),
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
    let fields = fields
        .into_iter()
        .map(|(name, value)| (name.into(), value))
        .collect();
    encode(&Value::Map(fields))
}

/// A team without a limit.
fn unlimited_team() -> Team {
    Team {
        name: "open".into(),
        guaranteed_cpus: None,
        max_cpus: None,
        guaranteed_gpus: None,
        max_gpus: None,
    }
}

impl ApiHarness {
    fn new() -> ApiHarness {
        ApiHarness {
            api: ApiServer::new(vec![unlimited_team()], 32.0, 24),
            last_conn_serial: 0,
            store_requests: Vec::new(),
            responses: BTreeMap::new(),
            relay_count: 0,
            jobs_to_acknowledge: Vec::new(),
            now: Time(10_000),
            has_spare_store_budget: false,
            is_store_reachable: true,
        }
    }

    fn new_client(&mut self) -> Client {
        self.last_conn_serial += 1;
        let conn = ConnectionId {
            slot: 0,
            serial: self.last_conn_serial,
        };
        let is_relayed = false;
        Client { conn, is_relayed }
    }

    /// Lets the API server send what is ready, and records it.
    fn process_actions(&mut self) {
        self.api.send_shared_transactions();
        for action in self.api.take_actions() {
            match action {
                ApiAction::SendStoreRequest(_, request, purpose) => {
                    self.store_requests.push((request, purpose))
                }
                ApiAction::Respond(conn, response) => {
                    let fields: BTreeMap<String, Value> =
                        decode(&response.body).unwrap_or_default();
                    let job_state = fields.get("status").and_then(|state| state.as_text());
                    let job_state = job_state.unwrap_or("").to_owned();
                    if response.status == 503 {
                        assert!(
                            response.retry_after.is_some(),
                            "a 503 response without Retry-After"
                        );
                    }
                    self.responses
                        .insert(conn.serial, (response.status, job_state));
                }
                ApiAction::Relay(..) => self.relay_count += 1,
                ApiAction::InformLeader(job) => self.jobs_to_acknowledge.push(job),
            }
        }
    }

    /// Delivers the outcome of the oldest request to the state service.
    fn complete_oldest(&mut self, outcome: Outcome) {
        let (_, purpose) = self.store_requests.remove(0);
        let view = NodeView {
            leader_task_counts: &|_| None,
            has_spare_store_budget: self.has_spare_store_budget,
            is_store_reachable: self.is_store_reachable,
        };
        self.api.on_outcome(purpose, outcome, &view, self.now);
        self.process_actions();
    }

    /// Sends a status query. Returns the serial number of its connection.
    fn query_status(&mut self, job: u64) -> u64 {
        let client = self.new_client();
        self.api.query_status(client, &job_name(job), self.now);
        self.process_actions();
        client.conn.serial
    }

    /// Submits jobs, which are accepted with records of the given version.
    fn accept_jobs(&mut self, jobs: std::ops::Range<u64>, version: u64) {
        for job in jobs {
            let client = self.new_client();
            let body = submission_body(job);
            self.api
                .submit(client, &body, &machine_types(), 1000, self.now);
            self.process_actions();
        }
        while !self.store_requests.is_empty() {
            self.complete_oldest(Outcome::Committed(Version(version)));
        }
        assert!(self.responses.values().all(|(status, _)| *status == 201));
        self.responses.clear();
    }

    /// The number of jobs in the version check that is at `index` among the requests to the state service.
    fn checked_job_count(&self, index: usize) -> usize {
        match &self.store_requests[index].0 {
            StoreRequest::Txn(txn) if txn.changes.is_empty() => txn.conditions.len(),
            other => panic!("{other:?} is not a version check"),
        }
    }
}

/// With a read for each status query, a surge of queries once led to eight times as many reads. That exceeded the rate
/// limit of all controllers together, and renewals of the leader's lease were refused with the reads.
#[test]
fn status_queries_for_many_jobs_share_one_version_check() {
    let mut harness = ApiHarness::new();
    harness.accept_jobs(1..61, 7);
    let first_query = harness.query_status(1);
    let queries: Vec<u64> = (0..6)
        .flat_map(|_| 1..61)
        .map(|job| harness.query_status(job))
        .collect();
    // This check was sent before the other queries arrived, so it does not count for them.
    assert_eq!(
        (harness.store_requests.len(), harness.checked_job_count(0)),
        (1, 1)
    );
    harness.complete_oldest(Outcome::Committed(Version(9)));
    assert_eq!(harness.responses.len(), 1);
    assert_eq!(harness.responses[&first_query], (200, "queued".into()));
    // All other queries share one check.
    assert_eq!(
        (harness.store_requests.len(), harness.checked_job_count(0)),
        (1, 60)
    );
    harness.complete_oldest(Outcome::Committed(Version(9)));
    let answered = queries
        .iter()
        .filter(|conn| harness.responses[*conn].0 == 200)
        .count();
    assert!(answered == 360, "{answered} of 360 queries answered");
    assert_eq!(harness.responses.len(), 361);
    assert!(harness.store_requests.is_empty());
}

/// After a controller has stopped, its users turn to the others, which know none of their jobs. A read for each job
/// exceeded the rate limit, and most queries were answered 503.
#[test]
fn many_unknown_jobs_are_read_by_one_listing() {
    let mut harness = ApiHarness::new();
    // A single job is read on its own.
    let single = harness.query_status(1);
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::Get(key) if key == "live/job-000001")
    );
    harness.complete_oldest(Outcome::Item(None));
    harness.complete_oldest(Outcome::Item(None));
    assert_eq!(harness.responses[&single].0, 404);

    let queries: Vec<u64> = (1..31)
        .map(|job| {
            let client = harness.new_client();
            harness
                .api
                .query_status(client, &job_name(job), harness.now);
            client.conn.serial
        })
        .collect();
    harness.process_actions();
    let item = |job: u64, value: Value| Item {
        key: format!("live/{}", job_name(job)),
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
    assert_eq!(harness.store_requests.len(), 1);
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::List { after, .. } if after.is_empty())
    );
    let first_items = (1..20).map(|job| item(job, Value::Map(Vec::new())));
    harness.complete_oldest(page(first_items.collect(), true));
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::List { after, .. } if after == "live/job-000019")
    );
    // The record of job 29 holds its outcome. Job 30 is not listed any more, and its outcome is read.
    let outcome = OutcomeRecord {
        state: JobState::Done,
        tasks: 4,
    };
    let mut second_items: Vec<Item> = (20..29)
        .map(|job| item(job, Value::Map(Vec::new())))
        .collect();
    second_items.push(item(29, value(&UnarchivedOutcome { outcome })));
    harness.complete_oldest(page(second_items, false));
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::Get(key) if key == "over/job-000030")
    );
    harness.complete_oldest(Outcome::Item(None));
    let states: Vec<&str> = queries
        .iter()
        .map(|conn| harness.responses[conn].1.as_str())
        .collect();
    assert!(states[..28].iter().all(|state| *state == "queued"));
    assert_eq!(states[28], "done");
    assert_eq!(harness.responses[&queries[29]].0, 404);
    // A later query needs only a version check.
    harness.query_status(5);
    assert_eq!(harness.checked_job_count(0), 1);
}

/// A job whose record has changed is read again. The failed version check says nothing about the other jobs, which are
/// checked again.
#[test]
fn changed_job_is_read_again() {
    let mut harness = ApiHarness::new();
    harness.accept_jobs(1..4, 7);
    let earlier_query = harness.query_status(3);
    let (first_query, second_query) = (harness.query_status(1), harness.query_status(2));
    harness.complete_oldest(Outcome::Committed(Version(9)));
    assert_eq!(harness.responses[&earlier_query].0, 200);
    harness.complete_oldest(Outcome::Conflict(vec!["live/job-000001".into()]));
    assert!(
        !harness.responses.contains_key(&first_query)
            && !harness.responses.contains_key(&second_query)
    );
    // Job 1 is done: its record holds the outcome instead of the specification.
    let outcome = OutcomeRecord {
        state: JobState::Done,
        tasks: 4,
    };
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::Get(key) if key == "live/job-000001")
    );
    harness.complete_oldest(Outcome::Item(Some(Item {
        key: "live/job-000001".into(),
        value: value(&UnarchivedOutcome { outcome }),
        version: Version(8),
    })));
    assert_eq!(harness.responses[&first_query], (200, "done".into()));
    assert_eq!(harness.checked_job_count(0), 1);
    harness.complete_oldest(Outcome::Committed(Version(9)));
    assert_eq!(harness.responses[&second_query], (200, "queued".into()));
    // An outcome is final, so a later query needs no request to the state service.
    let later_query = harness.query_status(1);
    assert_eq!(harness.responses[&later_query], (200, "done".into()));
    assert!(harness.store_requests.is_empty());
}

/// A request that the rate limit refuses is repeated, not relayed as in an outage, until its user's deadline is near.
/// Then it is answered 503 with a Retry-After header.
#[test]
fn rate_limited_request_is_retried_until_its_deadline() {
    let mut harness = ApiHarness::new();
    harness.accept_jobs(1..2, 7);
    let query = harness.query_status(1);
    for _ in 0..3 {
        harness.now = harness.now.after(Duration::from_millis(400));
        harness.complete_oldest(Outcome::RateLimited {
            retry_after: RATE_LIMIT_PAUSE,
        });
        assert!(harness.responses.is_empty() && harness.relay_count == 0);
    }
    harness.now = harness.now.after(Duration::from_millis(450));
    harness.complete_oldest(Outcome::RateLimited {
        retry_after: RATE_LIMIT_PAUSE,
    });
    assert_eq!(harness.responses[&query].0, 503);
}

/// A request to the state service whose response is lost is repeated once if other responses arrive. If none do, or if
/// the next response is lost too, the user's request is relayed to another controller.
#[test]
fn request_with_a_lost_response_is_repeated_once() {
    let mut harness = ApiHarness::new();
    let client = harness.new_client();
    harness.api.submit(
        client,
        &submission_body(5),
        &machine_types(),
        1000,
        harness.now,
    );
    harness.process_actions();
    harness.complete_oldest(Outcome::Unknown);
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::Txn(txn) if txn.changes.len() == 1)
    );
    // The first transaction was carried out after all.
    harness.complete_oldest(Outcome::Conflict(vec!["live/job-000005".into()]));
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::Get(key) if key == "live/job-000005")
    );
    harness.complete_oldest(Outcome::Unknown);
    assert_eq!((harness.store_requests.len(), harness.relay_count), (0, 1));

    let mut harness = ApiHarness::new();
    harness.is_store_reachable = false;
    harness.query_status(5);
    harness.complete_oldest(Outcome::Unknown);
    assert_eq!((harness.store_requests.len(), harness.relay_count), (0, 1));
}

/// A failed read of the task counts does not fail a status query: that the job is unfinished is known, and the counts
/// are only for display.
#[test]
fn failed_read_of_task_counts_does_not_fail_a_status_query() {
    let mut harness = ApiHarness::new();
    harness.accept_jobs(1..2, 7);
    harness.has_spare_store_budget = true;
    let query = harness.query_status(1);
    harness.complete_oldest(Outcome::Committed(Version(9)));
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::Get(key) if key == "run/job-000001/00000")
    );
    harness.complete_oldest(Outcome::Unavailable);
    assert_eq!(harness.responses[&query], (200, "queued".into()));
}

impl ApiHarness {
    /// Cancels a job, up to the point where its records say so. Returns the serial number of the connection.
    fn cancel_in_records(&mut self, job: u64) -> u64 {
        let client = self.new_client();
        self.api.cancel(client, &job_name(job), self.now);
        self.process_actions();
        self.complete_oldest(Outcome::Item(Some(Item {
            key: format!("live/{}", job_name(job)),
            value: Value::Map(Vec::new()),
            version: Version(7),
        })));
        self.complete_oldest(Outcome::Committed(Version(8)));
        client.conn.serial
    }

    /// Delivers the leader's response to the cancellation of a job.
    fn respond_as_leader(&mut self, job: u64, is_acknowledged: bool) {
        self.api
            .on_leader_response(JobId(job), is_acknowledged, self.now);
        self.process_actions();
    }
}

/// A cancellation is passed on to the other controllers, and it is confirmed to the user only after the leader has
/// acknowledged it. Otherwise the tasks could outlive the cancellation timeout: the controller that confirms it may
/// stop at once, and the leader may be unable to read the records for longer than the timeout.
#[test]
fn cancellation_is_confirmed_after_the_leader_acknowledged_it() {
    let mut harness = ApiHarness::new();
    harness.accept_jobs(1..2, 7);
    let cancellation = harness.cancel_in_records(1);
    assert_eq!(harness.api.take_cancelled_jobs(), [JobId(1)]);
    assert_eq!(harness.jobs_to_acknowledge, [JobId(1)]);
    assert!(!harness.responses.contains_key(&cancellation));
    harness.respond_as_leader(1, true);
    assert_eq!(harness.responses[&cancellation], (200, "cancelled".into()));
    // The outcome is known now, so a later query needs no request to the state service.
    let later_query = harness.query_status(1);
    assert_eq!(harness.responses[&later_query], (200, "cancelled".into()));
}

/// If the leader does not acknowledge a cancellation, the run records decide: while a task of the job is allocated, no
/// kind of request is told that the job is cancelled. It is answered 503 with a Retry-After header instead.
#[test]
fn unacknowledged_cancellation_is_confirmed_only_without_allocations() {
    let mut harness = ApiHarness::new();
    harness.accept_jobs(1..2, 7);
    let cancellation = harness.cancel_in_records(1);
    harness.respond_as_leader(1, false);
    let run_records = |allocations: Vec<AllocationEntry>| {
        let items = vec![Item {
            key: "run/job-000001/00000".into(),
            value: value(&RunRecord {
                allocations,
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
    let one_allocation = vec![AllocationEntry {
        offset: 0,
        attempt: Attempt(1),
        host: HostName::new("vm-1"),
        incarnation: Incarnation(1),
    }];
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::List { prefix, .. } if prefix == "run/job-000001/")
    );
    harness.complete_oldest(run_records(one_allocation.clone()));
    assert_eq!(harness.responses[&cancellation].0, 503);
    // A status query does not confirm the cancellation either; a repeated submission takes the same path.
    let query = harness.query_status(1);
    harness.complete_oldest(Outcome::Conflict(vec!["live/job-000001".into()]));
    let outcome = OutcomeRecord {
        state: JobState::Cancelled,
        tasks: 0,
    };
    let outcome_item = || {
        Outcome::Item(Some(Item {
            key: "over/job-000001".into(),
            value: value(&outcome),
            version: Version(8),
        }))
    };
    harness.complete_oldest(Outcome::Item(None));
    harness.complete_oldest(outcome_item());
    harness.respond_as_leader(1, false);
    harness.complete_oldest(run_records(one_allocation));
    assert_eq!(harness.responses[&query].0, 503);
    // It is confirmed once no task is allocated any more.
    let query = harness.query_status(1);
    harness.complete_oldest(Outcome::Item(None));
    harness.complete_oldest(outcome_item());
    harness.respond_as_leader(1, false);
    harness.complete_oldest(run_records(Vec::new()));
    assert_eq!(harness.responses[&query], (200, "cancelled".into()));
}

/// A read that began before this controller confirmed a cancellation must not yield an older state after it: users send
/// requests to all controllers within milliseconds.
#[test]
fn outdated_read_does_not_override_a_newer_state() {
    let mut harness = ApiHarness::new();
    harness.accept_jobs(1..2, 7);
    let query = harness.query_status(1);
    let version_check = harness.store_requests.remove(0);
    harness.cancel_in_records(1);
    harness.respond_as_leader(1, true);
    harness.store_requests.push(version_check);
    harness.complete_oldest(Outcome::Committed(Version(7)));
    assert_eq!(harness.responses[&query], (200, "cancelled".into()));

    // A job that this controller has accepted since the read began must not be answered 404.
    harness.responses.clear();
    let query = harness.query_status(2);
    harness.complete_oldest(Outcome::Item(None));
    let outcome_read = harness.store_requests.remove(0);
    harness.accept_jobs(2..3, 9);
    harness.store_requests.push(outcome_read);
    harness.complete_oldest(Outcome::Item(None));
    assert!(!harness.responses.contains_key(&query));
    assert!(
        matches!(&harness.store_requests[0].0, StoreRequest::Get(key) if key == "live/job-000002")
    );
}

/// If a job names so many machine types that its record exceeds the size limit of a value, the record leaves out those
/// that the cloud does not offer, as no task can run on them. Such a job is not malformed.
#[test]
fn oversized_record_is_stored_without_unavailable_machine_types() {
    let mut harness = ApiHarness::new();
    harness.api = ApiServer::new(vec![unlimited_team()], 2.0, 5);
    let mut body: Value = decode(&submission_body(1)).expect("a map");
    let unavailable = (0..60).map(|n| Value::from(format!("{n:060}")));
    let mut allowed_types: Vec<Value> = unavailable.collect();
    allowed_types.insert(30, "small".into());
    let fields = body.as_map_mut().expect("a map");
    fields.push(("hosttypes".into(), Value::Array(allowed_types)));
    let client = harness.new_client();
    let body = encode(&body);
    harness
        .api
        .submit(client, &body, &machine_types(), 1000, harness.now);
    harness.process_actions();
    let StoreRequest::Txn(txn) = &harness.store_requests[0].0 else {
        panic!("{:?} is not a transaction", harness.store_requests[0].0);
    };
    let Change::Put { value, .. } = &txn.changes[0] else {
        panic!("the record is not put: {:?}", txn.changes);
    };
    let record: JobRecord = value.deserialized().expect("a job record");
    assert!(records::json_size(&record) <= 2048);
    assert_eq!(
        record.spec.allowed_machine_types,
        Some(vec!["small".to_owned()])
    );
    harness.complete_oldest(Outcome::Committed(Version(7)));
    assert_eq!(harness.responses[&client.conn.serial].0, 201);
}

/// All replicas of a service run at once, so together they have to fit into the team's limit. Of an array only one task
/// has to.
#[test]
fn all_replicas_of_a_service_have_to_fit_into_the_team_limit() {
    let submit_status = |shape: &str| {
        let mut harness = ApiHarness::new();
        let team = Team {
            name: "open".into(),
            guaranteed_cpus: None,
            max_cpus: Some(3.0),
            guaranteed_gpus: None,
            max_gpus: None,
        };
        harness.api = ApiServer::new(vec![team], 32.0, 24);
        let mut body: Value = decode(&submission_body(1)).expect("a map");
        for (name, value) in body.as_map_mut().expect("a map") {
            if name.as_text() == Some("shape") {
                *value = shape.into();
            }
        }
        let client = harness.new_client();
        let body = encode(&body);
        harness
            .api
            .submit(client, &body, &machine_types(), 1000, harness.now);
        harness.process_actions();
        // A job that cannot be accepted is read first, as it may be known already.
        if matches!(harness.store_requests[0].0, StoreRequest::Get(_)) {
            harness.complete_oldest(Outcome::Item(None));
            harness.complete_oldest(Outcome::Item(None));
        } else {
            harness.complete_oldest(Outcome::Committed(Version(7)));
        }
        harness.responses[&client.conn.serial].0
    };
    assert_eq!(submit_status("sweep"), 201);
    assert_eq!(submit_status("service"), 422);
    assert_eq!(submit_status("group"), 400);
}
