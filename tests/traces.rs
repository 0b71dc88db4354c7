//! Replays the recorded traces in `tests/traces/`: sequences of events, and what the leader does in response.
//!
//! Lines that begin with `>` are the leader's output, lines that begin with `#` are comments, and all others are
//! events. A trace passes if replaying its events gives exactly its `>` lines. `UPDATE_TRACES=1 cargo test`
//! rewrites these lines; review the difference before committing it. `tests/traces/README.md` describes the
//! events.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use lichencrank::coordination::autoscaling::provisioning::ProvisionResult;
use lichencrank::coordination::{Action, CommandResult, Leader, LeadershipLost, Policy};
use lichencrank::protocol::cloud::{ListedHost, ListedHostState, MachineType};
use lichencrank::protocol::users::{JobKind, JobSpec, JobState, Priority};
use lichencrank::protocol::workers::{
    AttemptState, AttemptStatus, Command, EndReason, WorkerHeartbeat,
};
use lichencrank::protocol::Amount;
use lichencrank::settings::{Team, Tuning};
use lichencrank::storage::records::{
    AllocationEntry, JobRecord, OutcomeRecord, RunRecord, RunRecordId,
};
use lichencrank::storage::store::Outcome;
use lichencrank::types::{
    Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time, Version,
};
use lichencrank_store::Change;
use std::time::Duration;

const TERM: Term = Term(5);
/// The end of a lease that never expires.
const NO_EXPIRY: Time = Time(u64::MAX);

fn machine_type(
    name: &str,
    cpus: f64,
    memory_gb: f64,
    on_demand_price_per_hour: f64,
    zones: &[&str],
) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: Amount(cpus),
        gpus: Amount(0.0),
        memory_gb: Amount(memory_gb),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(on_demand_price_per_hour),
        spot_price_per_hour: Amount(on_demand_price_per_hour / 3.0),
        boot_time_s: Amount(30.0),
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

fn team(name: &str, guaranteed_cpus: f64, max_cpus: f64) -> Team {
    Team {
        name: name.into(),
        guaranteed_cpus: Some(guaranteed_cpus),
        max_cpus: Some(max_cpus),
        guaranteed_gpus: None,
        max_gpus: None,
    }
}

/// The policy of a trace that doesn't change it.
fn default_policy() -> Policy {
    Policy {
        heartbeat_interval: Duration::from_secs(3),
        worker_lease: Duration::from_secs(16),
        cancellation_timeout: Duration::from_secs(40),
        max_host_list_lag: Duration::from_secs(10),
        tasks_per_record: 4,
        max_probes_in_flight: 4,
        max_commands_in_flight: 8,
        max_queued_records_per_priority: 100,
        max_value_bytes: 16 * 1024,
        max_txn_changes: 16,
        quota: None,
        zones: None,
        wait_objectives_s: Vec::new(),
        teams: vec![team("open", 0.0, 0.0), team("tight", 4.0, 8.0)],
        tuning: Tuning::default(),
    }
}

/// A trace being replayed.
struct Replay {
    leader: Leader,
    now: Time,
    /// Version of the last change in the simulated state service.
    store_version: u64,
    /// The lines of the replayed trace.
    output: String,
    /// Direct commands that have not been answered, by host.
    unanswered_commands: BTreeMap<String, (Incarnation, Vec<Command>)>,
    /// Machine type, zone and spot flag of the hosts that the trace declares.
    declared_hosts: BTreeMap<String, (String, String, bool)>,
}

fn job_id(number: &str) -> JobId {
    JobId(number.parse().expect("a job number"))
}

fn host_name(name: &str) -> HostName {
    HostName::new(name)
}

/// Parses an attempt: `7/0#1` is attempt 1 of task 0 of job 7.
fn parse_attempt(text: &str) -> (TaskId, Attempt) {
    let (task, attempt) = text.split_once('#').expect("TASK#ATTEMPT");
    let (job, index) = task.split_once('/').expect("JOB/INDEX");
    let index = index.parse().expect("a task index");
    (
        TaskId {
            job: job_id(job),
            index,
        },
        Attempt(attempt.parse().expect("an attempt number")),
    )
}

fn format_attempt(task: TaskId, attempt: Attempt) -> String {
    format!("{}/{}#{attempt}", task.job.0, task.index)
}

fn format_command(command: &Command) -> String {
    match command {
        Command::Run { task, attempt } => format!("run {}", format_attempt(*task, *attempt)),
        Command::Stop { task, attempt, .. } => format!("stop {}", format_attempt(*task, *attempt)),
        Command::Clear { task, attempt } => format!("clear {}", format_attempt(*task, *attempt)),
    }
}

fn format_commands(commands: &[Command]) -> String {
    let commands: Vec<String> = commands.iter().map(format_command).collect();
    if commands.is_empty() {
        "nothing".into()
    } else {
        commands.join(", ")
    }
}

impl Replay {
    fn new() -> Replay {
        let machine_types = vec![
            machine_type("small", 4.0, 16.0, 0.3, &["a", "b"]),
            machine_type("big", 16.0, 64.0, 1.2, &["a"]),
        ];
        let mut leader = Leader::new(TERM, Version(1), default_policy(), machine_types, Time(0));
        leader.set_lease_valid_until(NO_EXPIRY);
        Replay {
            leader,
            now: Time(0),
            store_version: 10,
            output: String::new(),
            unanswered_commands: BTreeMap::new(),
            declared_hosts: BTreeMap::new(),
        }
    }

    fn print(&mut self, line: &str) {
        writeln!(self.output, "> {line}").expect("writing to a string");
    }

    /// Prints what the leader requests of the node.
    fn print_actions(&mut self) {
        for action in self.leader.take_actions() {
            match action {
                Action::SendCommands {
                    host,
                    incarnation,
                    commands,
                    ..
                } => {
                    self.print(&format!("command {host}: {}", format_commands(&commands)));
                    self.unanswered_commands
                        .insert(host.to_string(), (incarnation, commands));
                }
                Action::ScaleOut(request) => {
                    let pricing = if request.is_spot { "spot" } else { "ordinary" };
                    let (name, count) = (&request.name, request.count);
                    self.print(&format!(
                        "rent {name}: {count} {} in {}, {pricing}",
                        request.machine_type, request.zone
                    ));
                }
                Action::ScaleIn(hosts) => {
                    let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
                    self.print(&format!("release {}", names.join(" ")));
                }
                Action::ForceRelease(hosts) => {
                    let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
                    self.print(&format!("remove {}", names.join(" ")));
                }
            }
        }
    }

    fn print_leadership_loss(&mut self, result: Result<(), LeadershipLost>) {
        if let Err(LeadershipLost(term)) = result {
            self.print(&format!("deposed by term {term}"));
        }
    }

    /// Handles `job N …`.
    fn on_job(&mut self, words: &[&str]) {
        let field = |name: &str| {
            let index = words.iter().position(|word| *word == name)?;
            words.get(index + 1).copied()
        };
        let number = |name: &str, default: f64| {
            field(name).map_or(default, |value| value.parse().expect("a number"))
        };
        let spec = JobSpec {
            id: job_id(words[0]),
            class: field("class").unwrap_or("work").into(),
            team: field("team").unwrap_or("open").into(),
            kind: if words.contains(&"service") {
                JobKind::Service
            } else {
                JobKind::Array
            },
            priority: match field("priority") {
                Some("critical") => Priority::Critical,
                Some("high") => Priority::High,
                Some("low") => Priority::BestEffort,
                _ => Priority::Normal,
            },
            task_count: number("tasks", 1.0) as u64,
            cpus: Amount(number("cpus", 2.0)),
            gpus: Amount(0.0),
            memory_gb: Amount(number("memory", 2.0)),
            image: "img".into(),
            image_gb: Amount(1.0),
            allowed_machine_types: None,
            required_zone: field("zone").map(str::to_owned),
            same_zone: words.contains(&"together"),
            spread: words.contains(&"apart"),
            allows_spot: !words.contains(&"ordinary"),
            estimated_run_time_s: Amount(number("guess", 30.0)),
            checkpoint_interval_s: Amount(number("saves", 0.0)),
            save_time_s: Amount(2.0),
            deadline_s: field("due").map(|value| Amount(value.parse().expect("a number"))),
        };
        self.store_version += 1;
        let record = JobRecord {
            spec,
            submitted_at_ms: self.now.0,
            tasks_per_record: 4,
        };
        self.leader
            .on_job_record(record, Version(self.store_version));
    }

    /// Parses a heartbeat such as `vm-1 1/5 token 5: 7/0#1 running, 7/1#1 ended done`.
    fn parse_heartbeat(&self, text: &str) -> WorkerHeartbeat {
        let (head, tasks) = text.split_once(':').unwrap_or((text, ""));
        let words: Vec<&str> = head.split_whitespace().collect();
        let (incarnation, sequence) = words[1].split_once('/').expect("INCARNATION/SEQUENCE");
        let number_after = |name: &str| {
            let index = words.iter().position(|word| *word == name)?;
            words
                .get(index + 1)
                .and_then(|value| value.parse::<f64>().ok())
        };
        let (machine_type, zone, is_spot) = self.declared_hosts.get(words[0]).cloned().unwrap_or((
            "small".into(),
            "a".into(),
            true,
        ));
        let statuses = tasks
            .split(',')
            .filter(|status| !status.trim().is_empty())
            .map(|status| {
                let words: Vec<&str> = status.split_whitespace().collect();
                let (task, attempt) = parse_attempt(words[0]);
                let state = match words[1] {
                    "fetching" => AttemptState::Fetching,
                    "running" => AttemptState::Running,
                    "saving" => AttemptState::Saving,
                    _ => AttemptState::Ended,
                };
                let end_reason = words.get(2).map(|reason| match *reason {
                    "done" => EndReason::Completed,
                    "halted" => EndReason::Stopped,
                    "error" => EndReason::Failed,
                    "no_room" => EndReason::InsufficientResources,
                    _ => EndReason::Other,
                });
                AttemptStatus {
                    task,
                    attempt,
                    state,
                    end_reason,
                }
            });
        WorkerHeartbeat {
            host: host_name(words[0]),
            address: "127.0.0.1:9000".into(),
            machine_type,
            zone,
            is_spot,
            incarnation: Incarnation(incarnation.parse().expect("an incarnation")),
            sequence_number: SequenceNumber(sequence.parse().expect("a sequence number")),
            fencing_token: Term(number_after("token").unwrap_or(TERM.0 as f64) as u64),
            reclaim_notice_s: number_after("notice").map(Amount),
            attempts: statuses.collect(),
        }
    }

    /// Handles `write …`: takes the next batch, prints it and reports its outcome to the leader.
    fn write_batch(&mut self, outcome_words: &[&str]) {
        let Some(txn) = self.leader.next_batch(16, true) else {
            return self.print("nothing to write");
        };
        for change in &txn.changes {
            let line = match change {
                Change::Put { key, value, .. } => match value.deserialized::<RunRecord>() {
                    Ok(record) => {
                        let allocations: Vec<String> = record
                            .allocations
                            .iter()
                            .map(|entry| {
                                format!(
                                    "{}#{}@{}/{}",
                                    entry.offset, entry.attempt, entry.host, entry.incarnation
                                )
                            })
                            .collect();
                        let done = record.done_count();
                        format!("set {key}: {done} done, booked [{}]", allocations.join(" "))
                    }
                    Err(_) => format!("set {key}"),
                },
                Change::Delete { key } => format!("remove {key}"),
            };
            self.print(&line);
        }
        let conditions: Vec<String> = txn
            .conditions
            .iter()
            .map(|condition| format!("{}={}", condition.key, condition.version))
            .collect();
        self.print(&format!("if {}", conditions.join(" ")));
        let now = self.now;
        let outcome = match outcome_words {
            [] => {
                self.store_version += 1;
                Outcome::Committed(Version(self.store_version))
            }
            ["lost"] => Outcome::Unknown,
            ["refused"] => Outcome::Unavailable,
            ["conflict", keys @ ..] => {
                Outcome::Conflict(keys.iter().map(|key| (*key).to_owned()).collect())
            }
            other => panic!("unknown outcome of a write: {other:?}"),
        };
        let result = self.leader.on_batch_outcome(outcome, now);
        self.print_leadership_loss(result);
    }

    /// Handles `record …`, for example `record 7 0 booked 0#1@vm-1/1`: a run record with these allocations, without
    /// finished tasks, whose version is 9.
    fn on_run_record(&mut self, words: &[&str]) {
        let mut record = RunRecord {
            tasks_per_record: 4,
            team: "open".into(),
            cpus: 2.0,
            memory_gb: 2.0,
            ..RunRecord::default()
        };
        let entries_start = words
            .iter()
            .position(|word| *word == "booked")
            .map_or(words.len(), |index| index + 1);
        for word in words[entries_start.min(words.len())..]
            .iter()
            .filter(|word| word.contains('@'))
        {
            let (task, worker) = word
                .split_once('@')
                .expect("OFFSET#ATTEMPT@HOST/INCARNATION");
            let (offset, attempt) = task.split_once('#').expect("OFFSET#ATTEMPT");
            let (host, incarnation) = worker.split_once('/').expect("HOST/INCARNATION");
            record.allocations.push(AllocationEntry {
                offset: offset.parse().expect("an offset"),
                attempt: Attempt(attempt.parse().expect("an attempt number")),
                host: host_name(host),
                incarnation: Incarnation(incarnation.parse().expect("an incarnation")),
            });
        }
        let id = RunRecordId {
            job: job_id(words[0]),
            number: words[1].parse().expect("the number of a run record"),
        };
        self.leader.on_run_record(id, &record, Version(9), self.now);
    }

    /// Passes one event to the leader, and prints what it does in response.
    fn process_event(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let rest = line.split_once(' ').map_or("", |(_, rest)| rest);
        let now = self.now;
        match words[0] {
            "at" => self.now = Time((words[1].parse::<f64>().expect("seconds") * 1000.0) as u64),
            "machine" => {
                let is_spot = !words.contains(&"ordinary");
                let attributes = (words[2].to_owned(), words[3].to_owned(), is_spot);
                self.declared_hosts.insert(words[1].to_owned(), attributes);
            }
            "job" => self.on_job(&words[1..]),
            "record" => self.on_run_record(&words[1..]),
            "records" => {
                let mut policy = default_policy();
                policy.max_queued_records_per_priority = words[1].parse().expect("a number");
                let machine_types = self.leader.machine_types().to_vec();
                self.leader = Leader::new(TERM, Version(1), policy, machine_types, Time(0));
                self.leader.set_lease_valid_until(NO_EXPIRY);
            }
            "loaded" => self.leader.on_loaded(now),
            "cancel" => self.leader.on_job_deleted(job_id(words[1]), now),
            "told" => self.leader.on_cancellation(job_id(words[1]), now),
            "done" => {
                let outcome = OutcomeRecord {
                    state: JobState::Done,
                    tasks: 1,
                };
                let id = job_id(words[1]);
                self.leader.on_outcome_record(id, outcome, Version(9));
            }
            "report" => {
                let heartbeat = self.parse_heartbeat(rest);
                match self.leader.on_heartbeat(&heartbeat, now) {
                    Ok(commands) => self.print(&format!("answer: {}", format_commands(&commands))),
                    Err(LeadershipLost(term)) => self.print(&format!("deposed by term {term}")),
                }
            }
            "executed" | "unsent" | "held" | "lost" => {
                let Some((incarnation, commands)) = self.unanswered_commands.remove(words[1])
                else {
                    return self.print("no command is open");
                };
                let result = match words[0] {
                    "executed" => CommandResult::Heartbeat(Box::new(self.parse_heartbeat(rest))),
                    "unsent" => CommandResult::NotExecuted,
                    "held" => CommandResult::NotAttempted,
                    _ => CommandResult::NoResponse,
                };
                let name = host_name(words[1]);
                let result =
                    self.leader
                        .on_command_result(&name, incarnation, &commands, result, now);
                self.print_leadership_loss(result);
            }
            "write" => self.write_batch(&words[1..]),
            "reread" => {
                let version = Version(words[1].parse().expect("a version"));
                for id in self.leader.take_records_of_unknown_version() {
                    let version = Some(version);
                    self.leader.on_run_record_version(id, version);
                }
            }
            "lease" => {
                self.leader.set_lease_valid_until(match words[1] {
                    "stands" => NO_EXPIRY,
                    until => Time((until.parse::<f64>().expect("seconds") * 1000.0) as u64),
                });
            }
            "raised" => {
                let token = Term(self.leader.fencing_token().0 + 1);
                self.leader.on_token_claim_begun(token);
                self.store_version += 1;
                self.leader
                    .on_token_raised(token, Version(self.store_version), now);
            }
            "claiming" => self
                .leader
                .on_token_claim_begun(Term(words[1].parse().expect("a token"))),
            "thaw" => self.leader.on_process_resumed(),
            "tick" => {
                let wanted_before = self.leader.wants_higher_token();
                self.leader.tick(now, now.0);
                if self.leader.wants_higher_token() && !wanted_before {
                    self.print("raise the token");
                }
            }
            "rented" => {
                let result = match &words[2..] {
                    ["unknown"] => ProvisionResult::Unknown,
                    ["none"] => ProvisionResult::NoCapacity,
                    names => ProvisionResult::Provisioned(
                        names.iter().map(|name| host_name(name)).collect(),
                    ),
                };
                self.leader.on_provision_result(words[1], result, now);
            }
            "released" => {
                let is_confirmed = !words.contains(&"unknown");
                let names = [host_name(words[1])];
                self.leader.on_release_result(&names, is_confirmed, now);
            }
            "listed" => {
                let state = match words[2] {
                    "running" => ListedHostState::Running,
                    "failed" => ListedHostState::Failed,
                    _ => ListedHostState::Starting,
                };
                let listed_host = ListedHost {
                    name: host_name(words[1]),
                    address: "127.0.0.1:9000".into(),
                    machine_type: "small".into(),
                    zone: "a".into(),
                    is_spot: true,
                    state,
                    age_s: Amount(
                        words
                            .get(4)
                            .map_or(0.0, |age_s| age_s.parse().expect("an age")),
                    ),
                };
                self.leader.on_host_list(&[listed_host], now);
            }
            "machines" => {
                let hosts = self.leader.cluster().hosts().values();
                let hosts: Vec<String> = hosts
                    .map(|host| format!("{} {:?}", host.name, host.lifecycle))
                    .collect();
                self.print(&hosts.join(", "));
            }
            "unheard" => {
                let zones = words[1..].iter().map(|zone| (*zone).to_owned());
                self.leader
                    .set_controller_reach(zones.collect(), BTreeMap::new());
            }
            "show" => match self.leader.cluster().jobs().get(&job_id(words[1])) {
                Some(job) => {
                    let line = format!(
                        "{:?}: {} waiting, {} booked, {} done",
                        job.phase,
                        job.waiting_count(),
                        job.allocated_count,
                        job.done_count
                    );
                    self.print(&line);
                }
                None => self.print("forgotten"),
            },
            other => panic!("unknown event {other:?}"),
        }
        self.print_actions();
    }
}

/// Replays a trace. Returns the trace with its `>` lines replaced by what the leader prints now.
fn replay_trace(trace: &str) -> String {
    let mut replay = Replay::new();
    for line in trace.lines().filter(|line| !line.starts_with('>')) {
        writeln!(replay.output, "{line}").expect("writing to a string");
        if !line.trim().is_empty() && !line.starts_with('#') {
            replay.process_event(line);
        }
    }
    replay.output
}

#[test]
fn recorded_traces_replay_without_difference() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut mismatches = Vec::new();
    let mut count = 0;
    for entry in fs::read_dir(dir).expect("the traces") {
        let path = entry.expect("a trace").path();
        if path
            .extension()
            .is_none_or(|extension| extension != "trace")
        {
            continue;
        }
        count += 1;
        let recorded = fs::read_to_string(&path).expect("a trace");
        let replayed = replay_trace(&recorded);
        if replayed == recorded {
            continue;
        }
        if std::env::var_os("UPDATE_TRACES").is_some() {
            fs::write(&path, replayed).expect("writing a trace");
        } else {
            let first_difference = recorded.lines().zip(replayed.lines()).find(|(a, b)| a != b);
            mismatches.push(format!(
                "{}: recorded and replayed line: {first_difference:?}",
                path.display()
            ));
        }
    }
    assert!(count >= 15, "only {count} traces were found");
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}
