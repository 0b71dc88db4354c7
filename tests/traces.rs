//! Replays the kept traces in `tests/traces/`: what happened, and what the controller did about it.
//!
//! Lines that begin with `>` are the controller's doing; all others are events. A trace is right if
//! replaying its events gives exactly its `>` lines. `UPDATE_TRACES=1 cargo test` writes them anew,
//! for a person to read and judge before they are kept. `tests/traces/README.md` has the events.

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
const FOREVER: Time = Time(u64::MAX);

fn machine(name: &str, cpus: f64, memory: f64, price: f64, zones: &[&str]) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: Amount(cpus),
        gpus: Amount(0.0),
        memory_gb: Amount(memory),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(price),
        spot_price_per_hour: Amount(price / 3.0),
        boot_time_s: Amount(30.0),
        zones: zones.iter().map(|z| (*z).to_owned()).collect(),
    }
}

fn team(name: &str, guaranteed: f64, limit: f64) -> Team {
    Team {
        name: name.into(),
        guaranteed_cpus: Some(guaranteed),
        max_cpus: Some(limit),
        guaranteed_gpus: None,
        max_gpus: None,
    }
}

fn rules() -> Policy {
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
    controller: Leader,
    now: Time,
    version: u64,
    out: String,
    /// Direct commands without an answer, by machine.
    commands: BTreeMap<String, (Incarnation, Vec<Command>)>,
    /// Kind, zone and spot of the machines that a trace names.
    machines: BTreeMap<String, (String, String, bool)>,
}

fn id(number: &str) -> JobId {
    JobId(number.parse().expect("a job's number"))
}

fn host(name: &str) -> HostName {
    HostName::new(name)
}

/// `7/0#1` is attempt 1 of task 0 of job 7.
fn attempt(text: &str) -> (TaskId, Attempt) {
    let (task, attempt) = text.split_once('#').expect("task#attempt");
    let (job, index) = task.split_once('/').expect("job/index");
    let index = index.parse().expect("an index");
    (
        TaskId {
            job: id(job),
            index,
        },
        Attempt(attempt.parse().expect("an attempt")),
    )
}

fn show(task: TaskId, attempt: Attempt) -> String {
    format!("{}/{}#{attempt}", task.job.0, task.index)
}

fn show_order(order: &Command) -> String {
    match order {
        Command::Run { task, attempt } => format!("run {}", show(*task, *attempt)),
        Command::Stop { task, attempt, .. } => format!("stop {}", show(*task, *attempt)),
        Command::Clear { task, attempt } => format!("clear {}", show(*task, *attempt)),
    }
}

fn show_orders(orders: &[Command]) -> String {
    let orders: Vec<String> = orders.iter().map(show_order).collect();
    if orders.is_empty() {
        "nothing".into()
    } else {
        orders.join(", ")
    }
}

impl Replay {
    fn new() -> Replay {
        let types = vec![
            machine("small", 4.0, 16.0, 0.3, &["a", "b"]),
            machine("big", 16.0, 64.0, 1.2, &["a"]),
        ];
        let mut controller = Leader::new(TERM, Version(1), rules(), types, Time(0));
        controller.set_lease_valid_until(FOREVER);
        Replay {
            controller,
            now: Time(0),
            version: 10,
            out: String::new(),
            commands: BTreeMap::new(),
            machines: BTreeMap::new(),
        }
    }

    fn say(&mut self, line: &str) {
        writeln!(self.out, "> {line}").expect("writing to a string");
    }

    fn acted(&mut self) {
        for action in self.controller.take_actions() {
            match action {
                Action::SendCommands {
                    host,
                    incarnation: session,
                    commands: orders,
                    ..
                } => {
                    self.say(&format!("command {host}: {}", show_orders(&orders)));
                    self.commands.insert(host.to_string(), (session, orders));
                }
                Action::ScaleOut(r) => {
                    let spot = if r.is_spot { "spot" } else { "ordinary" };
                    let (request, count) = (&r.name, r.count);
                    self.say(&format!(
                        "rent {request}: {count} {} in {}, {spot}",
                        r.machine_type, r.zone
                    ));
                }
                Action::ScaleIn(hosts) => {
                    let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
                    self.say(&format!("release {}", names.join(" ")));
                }
                Action::ForceRelease(hosts) => {
                    let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
                    self.say(&format!("remove {}", names.join(" ")));
                }
            }
        }
    }

    fn checked(&mut self, result: Result<(), LeadershipLost>) {
        if let Err(LeadershipLost(term)) = result {
            self.say(&format!("deposed by term {term}"));
        }
    }

    fn job(&mut self, words: &[&str]) {
        let field = |name: &str| {
            let at = words.iter().position(|w| *w == name)?;
            words.get(at + 1).copied()
        };
        let number = |name: &str, default: f64| {
            field(name).map_or(default, |v| v.parse().expect("a number"))
        };
        let spec = JobSpec {
            id: id(words[0]),
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
            deadline_s: field("due").map(|d| Amount(d.parse().expect("a number"))),
        };
        self.version += 1;
        let record = JobRecord {
            spec,
            submitted_at_ms: self.now.0,
            tasks_per_record: 4,
        };
        self.controller.on_job(record, Version(self.version));
    }

    /// `vm-1 1/5 token 5: 7/0#1 running, 7/1#1 ended done`
    fn report(&self, text: &str) -> WorkerHeartbeat {
        let (head, tasks) = text.split_once(':').unwrap_or((text, ""));
        let words: Vec<&str> = head.split_whitespace().collect();
        let (session, tick) = words[1].split_once('/').expect("session/tick");
        let after = |name: &str| {
            let at = words.iter().position(|w| *w == name)?;
            words.get(at + 1).and_then(|v| v.parse::<f64>().ok())
        };
        let (kind, zone, spot) =
            self.machines
                .get(words[0])
                .cloned()
                .unwrap_or(("small".into(), "a".into(), true));
        let tasks = tasks.split(',').filter(|t| !t.trim().is_empty()).map(|t| {
            let words: Vec<&str> = t.split_whitespace().collect();
            let (task, attempt) = attempt(words[0]);
            let state = match words[1] {
                "fetching" => AttemptState::Fetching,
                "running" => AttemptState::Running,
                "saving" => AttemptState::Saving,
                _ => AttemptState::Ended,
            };
            let cause = words.get(2).map(|c| match *c {
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
                end_reason: cause,
            }
        });
        WorkerHeartbeat {
            host: host(words[0]),
            address: "127.0.0.1:9000".into(),
            machine_type: kind,
            zone,
            is_spot: spot,
            incarnation: Incarnation(session.parse().expect("a session")),
            sequence_number: SequenceNumber(tick.parse().expect("a tick")),
            fencing_token: Term(after("token").unwrap_or(TERM.0 as f64) as u64),
            reclaim_notice_s: after("notice").map(Amount),
            attempts: tasks.collect(),
        }
    }

    fn write(&mut self, how: &[&str]) {
        let Some(txn) = self.controller.next_batch(16, true) else {
            return self.say("nothing to write");
        };
        for change in &txn.changes {
            let line = match change {
                Change::Put { key, value, .. } => match value.deserialized::<RunRecord>() {
                    Ok(r) => {
                        let booked: Vec<String> = r
                            .allocations
                            .iter()
                            .map(|b| {
                                format!("{}#{}@{}/{}", b.offset, b.attempt, b.host, b.incarnation)
                            })
                            .collect();
                        let done = r.done_count();
                        format!("set {key}: {done} done, booked [{}]", booked.join(" "))
                    }
                    Err(_) => format!("set {key}"),
                },
                Change::Delete { key } => format!("remove {key}"),
            };
            self.say(&line);
        }
        let guards: Vec<String> = txn
            .conditions
            .iter()
            .map(|c| format!("{}={}", c.key, c.version))
            .collect();
        self.say(&format!("if {}", guards.join(" ")));
        let now = self.now;
        let outcome = match how {
            [] => {
                self.version += 1;
                Outcome::Committed(Version(self.version))
            }
            ["lost"] => Outcome::Unknown,
            ["refused"] => Outcome::Unavailable,
            ["conflict", keys @ ..] => {
                Outcome::Conflict(keys.iter().map(|k| (*k).to_owned()).collect())
            }
            other => panic!("write {other:?}?"),
        };
        let result = self.controller.on_batch_outcome(outcome, now);
        self.checked(result);
    }

    fn run_record(&mut self, words: &[&str]) {
        // `record 7 0 version 9 booked 0#1@vm-1/1 ... done 2`
        let mut record = RunRecord {
            tasks_per_record: 4,
            team: "open".into(),
            cpus: 2.0,
            memory_gb: 2.0,
            ..RunRecord::default()
        };
        let at = words
            .iter()
            .position(|w| *w == "booked")
            .map_or(words.len(), |p| p + 1);
        for word in words[at.min(words.len())..]
            .iter()
            .filter(|w| w.contains('@'))
        {
            let (task, place) = word.split_once('@').expect("task@place");
            let (offset, attempt) = task.split_once('#').expect("offset#attempt");
            let (name, session) = place.split_once('/').expect("host/session");
            record.allocations.push(AllocationEntry {
                offset: offset.parse().expect("an offset"),
                attempt: Attempt(attempt.parse().expect("an attempt")),
                host: host(name),
                incarnation: Incarnation(session.parse().expect("an incarnation")),
            });
        }
        let id = RunRecordId {
            job: id(words[0]),
            number: words[1].parse().expect("the number of a run record"),
        };
        self.controller
            .on_run_record(id, &record, Version(9), self.now);
    }

    fn event(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let rest = line.split_once(' ').map_or("", |(_, rest)| rest);
        let now = self.now;
        match words[0] {
            "at" => self.now = Time((words[1].parse::<f64>().expect("seconds") * 1000.0) as u64),
            "machine" => {
                let spot = !words.contains(&"ordinary");
                let is = (words[2].to_owned(), words[3].to_owned(), spot);
                self.machines.insert(words[1].to_owned(), is);
            }
            "job" => self.job(&words[1..]),
            "record" => self.run_record(&words[1..]),
            "records" => {
                let mut rules = rules();
                rules.max_queued_records_per_priority = words[1].parse().expect("a number");
                let types = self.controller.machine_types().to_vec();
                self.controller = Leader::new(TERM, Version(1), rules, types, Time(0));
                self.controller.set_lease_valid_until(FOREVER);
            }
            "loaded" => self.controller.on_loaded(now),
            "cancel" => self.controller.on_job_deleted(id(words[1]), now),
            "told" => self.controller.on_cancellation(id(words[1]), now),
            "done" => {
                let over = OutcomeRecord {
                    state: JobState::Done,
                    tasks: 1,
                };
                let id = id(words[1]);
                self.controller.on_outcome_record(id, over, Version(9));
            }
            "report" => {
                let report = self.report(rest);
                match self.controller.on_heartbeat(&report, now) {
                    Ok(orders) => self.say(&format!("answer: {}", show_orders(&orders))),
                    Err(LeadershipLost(term)) => self.say(&format!("deposed by term {term}")),
                }
            }
            "executed" | "unsent" | "held" | "lost" => {
                let Some((session, orders)) = self.commands.remove(words[1]) else {
                    return self.say("no command is open");
                };
                let result = match words[0] {
                    "executed" => CommandResult::Heartbeat(Box::new(self.report(rest))),
                    "unsent" => CommandResult::NotExecuted,
                    "held" => CommandResult::NotAttempted,
                    _ => CommandResult::NoResponse,
                };
                let name = host(words[1]);
                let result = self
                    .controller
                    .on_command_result(&name, session, &orders, result, now);
                self.checked(result);
            }
            "write" => self.write(&words[1..]),
            "reread" => {
                let version = Version(words[1].parse().expect("a version"));
                for id in self.controller.take_records_of_unknown_version() {
                    let version = Some(version);
                    self.controller.on_run_record_version(id, version);
                }
            }
            "lease" => {
                self.controller.set_lease_valid_until(match words[1] {
                    "stands" => FOREVER,
                    until => Time((until.parse::<f64>().expect("seconds") * 1000.0) as u64),
                });
            }
            "thaw" => self.controller.on_process_resumed(),
            "tick" => self.controller.tick(now, now.0),
            "rented" => {
                let result = match &words[2..] {
                    ["unknown"] => ProvisionResult::Unknown,
                    ["none"] => ProvisionResult::NoCapacity,
                    names => ProvisionResult::Provisioned(names.iter().map(|n| host(n)).collect()),
                };
                self.controller.on_provision_result(words[1], result, now);
            }
            "released" => {
                let confirmed = !words.contains(&"unknown");
                let names = [host(words[1])];
                self.controller.on_release_result(&names, confirmed, now);
            }
            "listed" => {
                let status = match words[2] {
                    "running" => ListedHostState::Running,
                    "failed" => ListedHostState::Failed,
                    _ => ListedHostState::Starting,
                };
                let item = ListedHost {
                    name: host(words[1]),
                    address: "127.0.0.1:9000".into(),
                    machine_type: "small".into(),
                    zone: "a".into(),
                    is_spot: true,
                    state: status,
                    age_s: Amount(words.get(4).map_or(0.0, |a| a.parse().expect("an age"))),
                };
                self.controller.on_host_list(&[item], now);
            }
            "machines" => {
                let known = self.controller.cluster().hosts().values();
                let known: Vec<String> = known
                    .map(|h| format!("{} {:?}", h.name, h.lifecycle))
                    .collect();
                self.say(&known.join(", "));
            }
            "unheard" => {
                let zones = words[1..].iter().map(|z| (*z).to_owned());
                self.controller
                    .set_controller_reach(zones.collect(), BTreeMap::new());
            }
            "show" => match self.controller.cluster().jobs().get(&id(words[1])) {
                Some(j) => {
                    let line = format!(
                        "{:?}: {} waiting, {} booked, {} done",
                        j.phase,
                        j.waiting_count(),
                        j.allocated_count,
                        j.done_count
                    );
                    self.say(&line);
                }
                None => self.say("forgotten"),
            },
            other => panic!("unknown event {other:?}"),
        }
        self.acted();
    }
}

fn replay(trace: &str) -> String {
    let mut replay = Replay::new();
    for line in trace.lines().filter(|l| !l.starts_with('>')) {
        writeln!(replay.out, "{line}").expect("writing to a string");
        if !line.trim().is_empty() && !line.starts_with('#') {
            replay.event(line);
        }
    }
    replay.out
}

#[test]
fn kept_traces_replay_to_the_letter() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut wrong = Vec::new();
    let mut count = 0;
    for entry in fs::read_dir(dir).expect("the traces") {
        let path = entry.expect("a trace").path();
        if path.extension().is_none_or(|e| e != "trace") {
            continue;
        }
        count += 1;
        let kept = fs::read_to_string(&path).expect("a trace");
        let replayed = replay(&kept);
        if replayed == kept {
            continue;
        }
        if std::env::var_os("UPDATE_TRACES").is_some() {
            fs::write(&path, replayed).expect("writing a trace");
        } else {
            let differs = kept.lines().zip(replayed.lines()).find(|(a, b)| a != b);
            wrong.push(format!("{}: {differs:?}", path.display()));
        }
    }
    assert!(count >= 15, "only {count} traces were found");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
