//! A worker is told to forget an ended attempt only once no late copy of its direct `run` can be executed any more,
//! however many ended attempts it lists and however old they are.

mod fixtures;

use std::time::Duration;

use lichencrank::coordination::{Action, CommandResult, Leader, Policy};
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::{
    AttemptState, AttemptStatus, Command, EndReason, WorkerHeartbeat,
};
use lichencrank::protocol::Amount;
use lichencrank::storage::records::JobRecord;
use lichencrank::storage::store::Outcome;
use lichencrank::types::{
    Attempt, HostName, Incarnation, JobId, SequenceNumber, TaskId, Term, Time, Version,
};

const TERM: Term = Term(5);
const RAISED_TOKEN: Term = Term(6);
const HOST: &str = "vm-1";
const WORKER_LEASE: Duration = Duration::from_secs(16);
const TASK_COUNT: u32 = 300;

fn policy() -> Policy {
    Policy {
        worker_lease: WORKER_LEASE,
        tasks_per_record: 64,
        max_queued_records_per_priority: 10_000,
        max_value_bytes: 32 * 1024,
        max_txn_changes: 24,
        ..fixtures::policy()
    }
}

fn job_record() -> JobRecord {
    let spec = JobSpec {
        id: JobId(7),
        class: "work".into(),
        team: "open".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: u64::from(TASK_COUNT),
        cpus: Amount(0.1),
        gpus: Amount(0.0),
        memory_gb: Amount(0.2),
        image: "img".into(),
        image_gb: Amount(1.0),
        allowed_machine_types: None,
        required_zone: None,
        same_zone: false,
        spread: false,
        allows_spot: true,
        estimated_run_time_s: Amount(4.0),
        checkpoint_interval_s: Amount(0.0),
        save_time_s: Amount(0.0),
        deadline_s: None,
    };
    JobRecord {
        spec,
        submitted_at_ms: 0,
        tasks_per_record: 64,
    }
}

/// A leader with one host, whose worker is part of the test.
struct Cluster {
    leader: Leader,
    now: Time,
    store_version: u64,
    sequence: u64,
    /// The attempts that the worker lists.
    listed: Vec<(TaskId, Attempt)>,
}

impl Cluster {
    fn new() -> Cluster {
        let machine_types = vec![fixtures::wide_machine_type(32.0, 128.0)];
        let mut leader = Leader::new(TERM, Version(1), policy(), machine_types, Time(0));
        leader.set_lease_valid_until(Time(u64::MAX));
        leader.on_loaded(Time(0));
        let mut cluster = Cluster {
            leader,
            now: Time(4000),
            store_version: 10,
            sequence: 0,
            listed: Vec::new(),
        };
        cluster.tick();
        cluster.report(TERM, AttemptState::Running);
        cluster
    }

    fn tick(&mut self) {
        self.leader.tick(self.now, self.now.0);
    }

    fn heartbeat(&mut self, token: Term, state: AttemptState) -> WorkerHeartbeat {
        self.sequence += 1;
        let end_reason = (state == AttemptState::Ended).then_some(EndReason::Completed);
        let attempts = self.listed.iter().map(|(task, attempt)| AttemptStatus {
            task: *task,
            attempt: *attempt,
            state,
            end_reason,
        });
        WorkerHeartbeat {
            host: HostName::new(HOST),
            address: "127.0.0.1:9000".into(),
            machine_type: "wide".into(),
            zone: "a".into(),
            is_spot: true,
            incarnation: Incarnation(1),
            sequence_number: SequenceNumber(self.sequence),
            fencing_token: token,
            reclaim_notice_s: None,
            attempts: attempts.collect(),
        }
    }

    /// The worker sends a heartbeat with all its attempts in the given state. Returns how many it is told to forget.
    fn report(&mut self, token: Term, state: AttemptState) -> usize {
        let heartbeat = self.heartbeat(token, state);
        let commands = self.leader.on_heartbeat(&heartbeat, self.now);
        let commands = commands.expect("the leader still leads");
        let is_clear = |command: &&Command| matches!(command, Command::Clear { .. });
        commands.iter().filter(is_clear).count()
    }

    /// Places all tasks of the job and starts them by direct commands, which the worker answers.
    fn start_all_directly(&mut self) {
        self.leader.on_job_record(job_record(), Version(9));
        self.tick();
        self.write_records();
        for action in self.leader.take_actions() {
            let Action::SendCommands { commands, .. } = action else {
                continue;
            };
            for command in &commands {
                if let Command::Run { task, attempt } = command {
                    self.listed.push((*task, *attempt));
                }
            }
            let heartbeat = self.heartbeat(TERM, AttemptState::Running);
            let result = CommandResult::Heartbeat(Box::new(heartbeat));
            let name = HostName::new(HOST);
            self.leader
                .on_command_result(&name, Incarnation(1), &commands, result, self.now)
                .expect("the leader still leads");
        }
        assert_eq!(self.listed.len(), TASK_COUNT as usize);
    }

    /// The only direct commands that the leader has requested, and the incarnation that they are meant for.
    fn take_commands(&mut self) -> (Vec<Command>, Incarnation) {
        let actions = self.leader.take_actions();
        let commands = actions.into_iter().find_map(|action| match action {
            Action::SendCommands {
                commands,
                incarnation,
                ..
            } => Some((commands, incarnation)),
            _ => None,
        });
        commands.expect("direct commands")
    }

    fn write_records(&mut self) {
        while self.leader.next_batch(24, true).is_some() {
            self.store_version += 1;
            let committed = Outcome::Committed(Version(self.store_version));
            self.leader
                .on_batch_outcome(committed, self.now)
                .expect("the leader still leads");
        }
    }

    fn raise_token(&mut self) {
        assert!(self.leader.wants_higher_token());
        self.store_version += 1;
        let version = Version(self.store_version);
        self.leader.on_token_claim_begun(RAISED_TOKEN);
        self.leader.on_token_raised(RAISED_TOKEN, version, self.now);
    }
}

/// The first attempt that the commands start.
fn run_in(commands: &[Command]) -> (TaskId, Attempt) {
    let mut runs = commands.iter().filter_map(|command| match command {
        Command::Run { task, attempt } => Some((*task, *attempt)),
        _ => None,
    });
    runs.next().expect("a `run`")
}

/// review/7: above 200 ended attempts on a host all of them were cleared at once, also those whose direct `run` was a few
/// seconds old. A late copy then started a task beside its next attempt on another host.
#[test]
fn no_number_of_ended_attempts_makes_the_worker_forget_them() {
    let mut cluster = Cluster::new();
    cluster.start_all_directly();
    cluster.now = Time(8000);
    cluster.report(TERM, AttemptState::Ended);
    cluster.write_records();
    for _ in 0..100 {
        assert_eq!(cluster.report(TERM, AttemptState::Ended), 0);
        cluster.now = cluster.now.after(WORKER_LEASE);
        cluster.tick();
    }
    cluster.raise_token();
    // The worker has not seen the higher token yet.
    assert_eq!(cluster.report(TERM, AttemptState::Ended), 0);
    let cleared = cluster.report(RAISED_TOKEN, AttemptState::Ended);
    assert_eq!(cleared, TASK_COUNT as usize);
}

/// A command that was chosen before a raise of the token and is sent after it must carry the token that is remembered for
/// it. With the raised one, a worker that has reported it would still execute a late copy.
#[test]
fn a_command_carries_the_token_under_which_it_was_chosen() {
    let mut cluster = Cluster::new();
    cluster.leader.on_job_record(job_record(), Version(9));
    cluster.tick();
    cluster.write_records();
    cluster.store_version += 1;
    let version = Version(cluster.store_version);
    cluster.leader.on_token_claim_begun(RAISED_TOKEN);
    cluster
        .leader
        .on_token_raised(RAISED_TOKEN, version, cluster.now);
    let tokens: Vec<Term> = cluster
        .leader
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::SendCommands { fencing_token, .. } => Some(fencing_token),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, [TERM]);
}

/// A direct `run` without a response can't be executed any more once the worker has reported a higher token.
#[test]
fn a_reported_higher_token_excludes_a_lost_run() {
    let mut cluster = Cluster::new();
    cluster.leader.on_job_record(job_record(), Version(9));
    cluster.tick();
    cluster.write_records();
    let (lost, incarnation) = cluster.take_commands();
    let name = HostName::new(HOST);
    let unanswered = CommandResult::NoResponse;
    cluster
        .leader
        .on_command_result(&name, incarnation, &lost, unanswered, cluster.now)
        .expect("the leader still leads");
    cluster.store_version += 1;
    let version = Version(cluster.store_version);
    cluster.leader.on_token_claim_begun(RAISED_TOKEN);
    cluster
        .leader
        .on_token_raised(RAISED_TOKEN, version, cluster.now);
    let (task, attempt) = run_in(&lost);
    cluster.report(TERM, AttemptState::Running);
    let host = cluster.leader.cluster().host(&name).expect("the host");
    assert!(host.may_run_arrive_late(task, attempt));
    cluster.report(RAISED_TOKEN, AttemptState::Running);
    let host = cluster.leader.cluster().host(&name).expect("the host");
    assert!(!host.may_run_arrive_late(task, attempt));
}

/// A long list of ended attempts has the token raised soon, so that it does not keep growing and tasks can be started
/// directly again.
#[test]
fn many_ended_attempts_have_the_token_raised_within_half_a_lease() {
    let mut cluster = Cluster::new();
    cluster.start_all_directly();
    cluster.now = Time(4500);
    cluster.report(TERM, AttemptState::Ended);
    cluster.write_records();
    cluster.report(TERM, AttemptState::Ended);
    cluster.tick();
    // Since the beginning of the term half a lease is not over yet.
    assert!(!cluster.leader.wants_higher_token());
    cluster.now = Time(8000);
    cluster.tick();
    assert!(cluster.leader.wants_higher_token());
}
