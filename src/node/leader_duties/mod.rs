//! The input and output of the leader: reads records, watches for jobs, writes batches of records, and calls the
//! cloud and the workers.

mod cloud;
mod loading;
mod quota;
mod zones;

use cloud::provision_result;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::autoscaling::provisioning::ProvisionResult;
use crate::coordination::{Action, CommandResult, Leader, LeadershipLost};
use crate::protocol::cloud::{
    HostList, HostNames, ListedHost, MachineTypes, ProvisionRequest, HOST_LIST_PAGE_SIZE,
};
use crate::protocol::workers::{Command, CommandRequest};
use crate::protocol::{decode, encode};
use crate::storage::records::{self, RunRecordId};
use crate::storage::store::{Outcome, RequestClass, StoreRequest};
use crate::transport::{CallError, CallId, Network, Response};
use crate::types::{HostName, Incarnation, JobId, Time, Version};
use lichencrank_store::rate_limit::RateLimit;
use lichencrank_store::{value, Change, Item, Page, Txn};

/// What the leader has requested from the state service.
#[derive(Clone, Debug)]
pub(super) enum LeaderRequest {
    /// Reads a page of the job records after a key.
    ReadJobs { after: String },
    /// Reads a page of the run records after a key.
    ReadRunRecords { after: String },
    /// Watches the job records for changes.
    WatchJobs,
    /// Writes a batch of records.
    WriteBatch,
    /// Reads the version of a run record.
    ReadRunRecordVersion(RunRecordId),
    /// Writes the machine types.
    WriteMachineTypes,
    /// Reads a page of the quota records after a key, below the prefix with this index.
    ReadQuota { prefix_index: usize, after: String },
    /// Writes changed quota records.
    WriteQuota,
    /// Reads the zones record.
    ReadZonesRecord,
    /// Writes the zones record.
    WriteZonesRecord,
}

/// What the leader has requested from a worker or from the cloud.
#[derive(Debug)]
enum Call {
    SendCommands {
        host: HostName,
        incarnation: Incarnation,
        commands: Vec<Command>,
    },
    Provision(ProvisionRequest),
    Release(Vec<HostName>),
    ListHosts,
    ListMachineTypes,
}

const LOAD_PAGE_SIZE: u32 = 200;
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);
const RECORD_REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
const WATCH_HOLD_TIME: Duration = Duration::from_secs(2);
/// How long the response to a watch may take beyond the time that the state service holds it.
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_millis(1500);
/// After this many consecutive watch failures while other requests are answered, the jobs are read page by page
/// instead: after a burst of changes, the response to the watch may be too long, and would be so again on each retry.
const MAX_CONSECUTIVE_WATCH_FAILURES: u32 = 3;
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);
const CLOUD_TIMEOUT: Duration = Duration::from_secs(6);
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between reads of the quota records, which show whether other clients wait for a part of the leader's
/// allowances.
const QUOTA_RELOAD_INTERVAL: Duration = Duration::from_secs(2);
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(20);
/// Longest pause between two rounds of decisions.
const MAX_DECISION_PAUSE: Duration = Duration::from_millis(500);
/// Below this available fraction of the write rate limit's bucket, only urgent records are written.
const SPARE_WRITE_BUDGET_FRACTION: f64 = 0.4;
/// Changes of the smallest batch: a run record, and the first run record of its job, which counts the job's tasks.
const MIN_BATCH_CHANGES: usize = 2;
/// A batch is delayed until the rate limit permits this many changes, or all queued ones if they are fewer.
const FULL_BATCH_CHANGES: usize = 6;

/// A read that is repeated at an interval, one at a time.
struct PeriodicRead {
    interval: Duration,
    due_at: Time,
    is_running: bool,
}

impl PeriodicRead {
    fn new(interval: Duration, now: Time) -> PeriodicRead {
        PeriodicRead {
            interval,
            due_at: now,
            is_running: false,
        }
    }

    /// Marks the read as running if it is due. Returns whether it was.
    fn start_if_due(&mut self, now: Time) -> bool {
        let is_due = !self.is_running && now >= self.due_at;
        if is_due {
            self.is_running = true;
            self.due_at = now.after(self.interval);
        }
        is_due
    }
}

/// The requests and calls of the leader of one term.
pub(super) struct LeaderDuties {
    pub leader: Leader,
    /// The tracing span with the leader's term. It is created once, as creating a span takes longer than entering
    /// one.
    span: tracing::Span,
    cloud_address: SocketAddr,
    cloud_rate_limit: RateLimit,
    /// Calls in flight.
    calls: HashMap<CallId, Call>,
    /// Requests to the state service that the node has yet to take, each with its timeout.
    queued_requests: Vec<(RequestClass, StoreRequest, Duration, LeaderRequest)>,
    /// The revision after which the next watch reports changes.
    watch_revision: Version,
    /// Consecutive failed watches. A response without changes is a success.
    consecutive_watch_failures: u32,
    /// Whether the state service has answered other requests since the last response to a watch.
    has_store_answered_since_watch: bool,
    /// While all jobs are read: those read so far.
    jobs_read: Option<BTreeSet<JobId>>,
    /// Whether all records have been read.
    is_loaded: bool,
    /// The pages read so far of the cloud's list of hosts.
    listed_hosts: Vec<ListedHost>,
    /// The periodic read of the cloud's list of hosts.
    host_list_read: PeriodicRead,
    /// The periodic read of the machine types from the cloud.
    machine_types_read: PeriodicRead,
    /// Whether the machine types have been written in this term, or are too large to be written.
    has_written_machine_types: bool,
    /// The periodic read of the quota records; also marked as running while they are written.
    quota_reload: PeriodicRead,
    /// When the quota records are next checked for due changes.
    quota_check_due_at: Time,
    /// Whether a write of the zones record is in flight.
    is_writing_zones_record: bool,
    /// Version of the zones record; unknown until it is read, and after a write without a response.
    zones_record_version: Option<Version>,
    batch_interval: Duration,
    next_batch_at: Time,
    max_txn_changes: usize,
    /// Actions that wait for the cloud's rate limit or for a valid lease.
    deferred_actions: Vec<Action>,
    /// When the leader may next make decisions.
    next_decision_at: Time,
}

impl LeaderDuties {
    pub(super) fn new(
        leader: Leader,
        cloud_address: SocketAddr,
        cloud_calls_per_s: f64,
        max_txn_changes: usize,
        batch_interval: Duration,
        now: Time,
    ) -> LeaderDuties {
        let mut duties = LeaderDuties {
            span: tracing::info_span!("leader", term = leader.term().0),
            leader,
            cloud_address,
            cloud_rate_limit: RateLimit::new(cloud_calls_per_s * 0.8, cloud_calls_per_s),
            calls: HashMap::new(),
            queued_requests: Vec::new(),
            watch_revision: Version(0),
            consecutive_watch_failures: 0,
            has_store_answered_since_watch: false,
            jobs_read: Some(BTreeSet::new()),
            is_loaded: false,
            listed_hosts: Vec::new(),
            host_list_read: PeriodicRead::new(HOST_LIST_INTERVAL, now),
            machine_types_read: PeriodicRead::new(MACHINE_TYPES_INTERVAL, now),
            has_written_machine_types: false,
            quota_reload: PeriodicRead::new(QUOTA_RELOAD_INTERVAL, now),
            quota_check_due_at: now,
            is_writing_zones_record: false,
            zones_record_version: None,
            batch_interval,
            next_batch_at: now,
            max_txn_changes,
            deferred_actions: Vec::new(),
            next_decision_at: now,
        };
        duties.read_zones_record();
        duties.read_jobs(String::new());
        duties
    }

    /// Takes the queued requests to the state service.
    pub(super) fn take_requests(
        &mut self,
    ) -> Vec<(RequestClass, StoreRequest, Duration, LeaderRequest)> {
        std::mem::take(&mut self.queued_requests)
    }

    /// Whether all records have been read.
    pub(super) fn has_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Runs what is due: decisions, writes, and calls to workers and the cloud.
    pub(super) fn run_due_work(
        &mut self,
        network: &mut impl Network,
        write_rate_limit: &mut RateLimit,
        now: Time,
    ) {
        let _span = self.span.clone().entered();
        if now >= self.next_decision_at {
            self.leader.tick(now, network.wall_clock_ms());
            // Pauses three times as long as the decisions took, so that heartbeats and users' requests get most of
            // the time even if decisions take long.
            let decided_at = network.now();
            self.next_decision_at =
                decided_at.after((decided_at.since(now) * 3).min(MAX_DECISION_PAUSE));
        }
        if self.has_valid_lease(network) {
            if !self.leader.wants_higher_token() {
                self.update_quota(write_rate_limit, now);
                self.update_zones_record(write_rate_limit, now);
            }
            self.write_batch(write_rate_limit, now);
        }
        for id in self.leader.take_records_of_unknown_version() {
            let request = StoreRequest::Get(records::run_key(id));
            self.queued_requests.push((
                RequestClass::Records,
                request,
                RECORD_REQUEST_TIMEOUT,
                LeaderRequest::ReadRunRecordVersion(id),
            ));
        }
        if self.has_valid_lease(network) {
            self.poll_cloud(network, now);
        }
        let mut actions = std::mem::take(&mut self.deferred_actions);
        actions.extend(self.leader.take_actions());
        for action in actions {
            self.execute(network, action, now);
        }
    }

    /// Whether the leader's lease is valid. Reads the clock again, as the iteration of the event loop may have begun
    /// long ago.
    fn has_valid_lease(&self, network: &impl Network) -> bool {
        network.now() < self.leader.lease_valid_until()
    }

    /// Writes the next batch of records if one is due and the rate limit permits it.
    fn write_batch(&mut self, write_rate_limit: &mut RateLimit, now: Time) {
        // A batch whose response was lost is repeated before a higher token is claimed.
        let awaits_higher_token =
            self.leader.wants_higher_token() && self.leader.is_write_settled();
        if !self.leader.is_write_idle()
            || now < self.next_batch_at
            || self.is_writing_quota_changes()
            || awaits_higher_token
        {
            return;
        }
        let has_spare_budget =
            write_rate_limit.available_fraction(now) > SPARE_WRITE_BUDGET_FRACTION;
        if !self.leader.has_urgent_writes() && !has_spare_budget {
            return;
        }
        // Many changes share a transaction if many are queued, as each transaction counts as one request against the
        // rate limit.
        let permitted_changes = write_rate_limit.available(now).max(0.0) as usize;
        let max_changes = permitted_changes.min(self.max_txn_changes);
        let backlog = self.leader.write_backlog();
        let full_batch = FULL_BATCH_CHANGES.min(self.max_txn_changes);
        if max_changes < (backlog.urgent + backlog.other).clamp(MIN_BATCH_CHANGES, full_batch) {
            return;
        }
        if let Some(txn) = self.leader.next_batch(max_changes, has_spare_budget) {
            self.next_batch_at = now.after(self.batch_interval);
            self.queued_requests.push((
                RequestClass::Records,
                StoreRequest::Txn(txn),
                RECORD_REQUEST_TIMEOUT,
                LeaderRequest::WriteBatch,
            ));
        }
    }

    /// Whether the leader's term is to be raised now, which changes the leader's key: no write that depends on the
    /// version of the key is in flight, and none begins before the leader has the higher token.
    pub(super) fn is_term_raise_due(&self) -> bool {
        self.leader.wants_higher_token()
            && self.leader.is_write_settled()
            && !self.is_writing_quota_changes()
            && !self.is_writing_zones_record
    }

    /// Carries out an action that the leader requests. Commands that run tasks are not sent without a valid lease.
    fn execute(&mut self, network: &mut impl Network, action: Action, now: Time) {
        match action {
            Action::SendCommands {
                host,
                address,
                fencing_token,
                incarnation,
                commands,
            } => {
                let runs_tasks = commands
                    .iter()
                    .any(|command| matches!(command, Command::Run { .. }));
                if runs_tasks && !self.has_valid_lease(network) {
                    // The result holds no heartbeat, so it can't show that another controller leads.
                    let result = CommandResult::NotAttempted;
                    let _ =
                        self.leader
                            .on_command_result(&host, incarnation, &commands, result, now);
                    return;
                }
                let body = encode(&CommandRequest {
                    fencing_token,
                    incarnation,
                    commands: &commands,
                });
                let call = network.call(address, "POST", "/commands", &body, COMMAND_TIMEOUT);
                self.calls.insert(
                    call,
                    Call::SendCommands {
                        host,
                        incarnation,
                        commands,
                    },
                );
            }
            action if !self.can_call_cloud(network, &action, now) => {
                self.deferred_actions.push(action);
            }
            Action::ScaleOut(spec) => {
                let body = encode(&spec);
                self.call_cloud(network, "POST", "/hosts", &body, Call::Provision(spec), now);
            }
            Action::ScaleIn(hosts) | Action::ForceRelease(hosts) => {
                let names = HostNames { hosts };
                let body = encode(&names);
                let leader_call = Call::Release(names.hosts);
                self.call_cloud(network, "POST", "/hosts/release", &body, leader_call, now);
            }
        }
    }

    /// Handles the reply to one of the leader's calls.
    pub(super) fn on_reply(
        &mut self,
        network: &mut impl Network,
        call: CallId,
        result: Result<Response, CallError>,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        let Some(leader_call) = self.calls.remove(&call) else {
            return Ok(());
        };
        if matches!(&result, Ok(r) if r.status == 429) {
            self.cloud_rate_limit
                .back_off(now, Duration::from_millis(500));
        }
        match leader_call {
            Call::SendCommands {
                host,
                incarnation,
                commands,
            } => {
                let result = command_result(result);
                return self
                    .leader
                    .on_command_result(&host, incarnation, &commands, result, now);
            }
            Call::Provision(request) => {
                self.leader
                    .on_provision_result(&request.name, provision_result(result), now);
            }
            Call::Release(names) => {
                let is_confirmed = matches!(&result, Ok(r) if r.status == 200);
                self.leader.on_release_result(&names, is_confirmed, now);
            }
            Call::ListHosts => self.on_host_list_page(network, result, now),
            Call::ListMachineTypes => {
                self.machine_types_read.is_running = false;
                let response = result.ok().filter(|r| r.status == 200);
                if let Some(types) = response.and_then(|r| decode::<MachineTypes>(&r.body).ok()) {
                    self.leader.on_machine_types(types.machine_types);
                    self.write_machine_types();
                }
            }
        }
        Ok(())
    }

    /// The numbers of done and of allocated tasks of a job, if this leader has loaded the records and knows the job.
    pub(super) fn task_counts(&self, job: JobId) -> Option<(u64, u64)> {
        if !self.is_loaded {
            return None;
        }
        self.leader.task_counts(job)
    }
}

/// What the response to a command request says about the commands. A worker responds with its heartbeat both to
/// commands that it executes and, with status 409, to those that it does not.
fn command_result(result: Result<Response, CallError>) -> CommandResult {
    match result {
        Ok(r) if matches!(r.status, 200 | 409) => match decode(&r.body) {
            Ok(heartbeat) => CommandResult::Heartbeat(Box::new(heartbeat)),
            Err(_) => CommandResult::NoResponse,
        },
        Ok(r) if r.status == 400 => CommandResult::NotExecuted,
        Ok(_) | Err(CallError::Lost) => CommandResult::NoResponse,
        Err(CallError::NotSent) => CommandResult::NotExecuted,
        Err(CallError::NoSocket) => CommandResult::NotAttempted,
    }
}
