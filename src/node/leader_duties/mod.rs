//! The leader's duties towards the outside: reading the records, watching for jobs, writing
//! batches, and talking to the cloud and to workers.

mod cloud;
mod loading;
mod quota;
mod zones;

use cloud::rental_result;

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

/// Which request to the state service an outcome answers.
#[derive(Clone, Debug)]
pub(super) enum LeaderRequest {
    Live {
        after: String,
    },
    Runs {
        after: String,
    },
    Watch,
    Batch,
    RunRecordVersion(RunRecordId),
    Types,
    /// Reading the records of the accounts: which prefix, behind which key.
    Quota {
        prefix: usize,
        after: String,
    },
    QuotaTxn,
    /// Reading the record of the zones, and writing it.
    ZonesRecord,
    ZonesTxn,
}

/// Which call to a worker or the cloud a reply answers.
#[derive(Debug)]
enum LeaderCall {
    SendCommands {
        host: HostName,
        incarnation: Incarnation,
        commands: Vec<Command>,
    },
    Rent(ProvisionRequest),
    Release(Vec<HostName>),
    List,
    Types,
}

const LOAD_PAGE: u32 = 200;
const LOAD_LIMIT: Duration = Duration::from_secs(2);
const BATCH_LIMIT: Duration = Duration::from_millis(1500);
const WATCH_HOLD: Duration = Duration::from_secs(2);
const WATCH_SLACK: Duration = Duration::from_millis(1500);
/// After so many failed watches, while other requests are answered, the jobs are read page by page: news
/// of a flood may be too long for one answer, and would be so again.
const MAX_FAILED_WATCHES: u32 = 3;
const COMMAND_LIMIT: Duration = Duration::from_secs(4);
const CLOUD_LIMIT: Duration = Duration::from_secs(6);
const LIST_EVERY: Duration = Duration::from_secs(4);
/// How often is looked whether others wait for a part of the allowances.
const QUOTA_EVERY: Duration = Duration::from_secs(2);
const TYPES_EVERY: Duration = Duration::from_secs(20);
/// The longest time that decisions rest after a long pass.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Below this share of the write budget only urgent records are written.
const SPARE: f64 = 0.4;
/// What the smallest step takes: a record and the first one of its job.
const LEAST_BATCH: usize = 2;
/// A transaction waits until the budget allows so many changes, if there are as many.
const FULL_BATCH: usize = 6;

/// How often something is done, and whether it is being done.
struct PeriodicTask {
    every: Duration,
    due: Time,
    busy: bool,
}

impl PeriodicTask {
    fn new(every: Duration, now: Time) -> PeriodicTask {
        PeriodicTask {
            every,
            due: now,
            busy: false,
        }
    }

    fn starts(&mut self, now: Time) -> bool {
        let starts = !self.busy && now >= self.due;
        if starts {
            self.busy = true;
            self.due = now.after(self.every);
        }
        starts
    }
}

pub(super) struct LeaderDuties {
    pub controller: Leader,
    /// Marks log lines with the term; made once, as making one takes longer than entering it.
    span: tracing::Span,
    cloud: SocketAddr,
    cloud_budget: RateLimit,
    calls: HashMap<CallId, LeaderCall>,
    pending: Vec<(RequestClass, StoreRequest, Duration, LeaderRequest)>,
    watch_from: Version,
    /// Watches in a row that brought nothing, not even that nothing has changed.
    failed_watches: u32,
    /// Other requests were answered since a watch last brought anything.
    answered_meanwhile: bool,
    /// While the jobs are read again in full: those seen so far.
    seen: Option<BTreeSet<JobId>>,
    loaded: bool,
    listing: Vec<ListedHost>,
    list: PeriodicTask,
    types: PeriodicTask,
    types_written: bool,
    /// When the accounts are read again, and whether they are being read or written.
    quota: PeriodicTask,
    accounts_at: Time,
    /// Version of the record of the zones; unknown after a write without an answer.
    zones_version: Option<Version>,
    batch_interval: Duration,
    batch_at: Time,
    txn_ops: usize,
    waiting: Vec<Action>,
    /// Decisions rest until then.
    decide_at: Time,
}

impl LeaderDuties {
    pub(super) fn new(
        controller: Leader,
        cloud: SocketAddr,
        cloud_rps: f64,
        txn_ops: usize,
        batch_interval: Duration,
        now: Time,
    ) -> LeaderDuties {
        let mut duties = LeaderDuties {
            span: tracing::info_span!("leader", term = controller.term().0),
            controller,
            cloud,
            cloud_budget: RateLimit::new(cloud_rps * 0.8, cloud_rps),
            calls: HashMap::new(),
            pending: Vec::new(),
            watch_from: Version(0),
            failed_watches: 0,
            answered_meanwhile: false,
            seen: Some(BTreeSet::new()),
            loaded: false,
            listing: Vec::new(),
            list: PeriodicTask::new(LIST_EVERY, now),
            types: PeriodicTask::new(TYPES_EVERY, now),
            types_written: false,
            quota: PeriodicTask::new(QUOTA_EVERY, now),
            accounts_at: now,
            zones_version: None,
            batch_interval,
            batch_at: now,
            txn_ops,
            waiting: Vec::new(),
            decide_at: now,
        };
        duties.read_zones_record();
        duties.read_live(String::new());
        duties
    }

    pub(super) fn take_pending(
        &mut self,
    ) -> Vec<(RequestClass, StoreRequest, Duration, LeaderRequest)> {
        std::mem::take(&mut self.pending)
    }

    /// Whether all records have been read.
    pub(super) fn has_loaded(&self) -> bool {
        self.loaded
    }

    // ---- time

    /// Everything that is due: decisions, the next batch, calls to workers and the cloud.
    pub(super) fn turn(&mut self, net: &mut impl Network, writes: &mut RateLimit, now: Time) {
        let _term = self.span.clone().entered();
        if now >= self.decide_at {
            self.controller.tick(now, net.wall_clock_ms());
            // However much there is to decide, reports and users get most of the time.
            let end = net.now();
            self.decide_at = end.after((end.since(now) * 3).min(LONGEST_PAUSE));
        }
        if self.may_act(net) {
            self.keep_accounts(writes, now);
            self.keep_zones_record(writes, now);
            self.commit(writes, now);
        }
        for id in self.controller.take_records_of_unknown_version() {
            let ask = StoreRequest::Get(records::run_key(id));
            self.pending.push((
                RequestClass::Records,
                ask,
                BATCH_LIMIT,
                LeaderRequest::RunRecordVersion(id),
            ));
        }
        if self.may_act(net) {
            self.run_periodic_tasks(net, now);
        }
        let mut actions = std::mem::take(&mut self.waiting);
        actions.extend(self.controller.take_actions());
        for action in actions {
            self.act(net, action, now);
        }
    }

    /// Asks the clock anew: the turn may have begun long ago.
    fn may_act(&self, net: &impl Network) -> bool {
        net.now() < self.controller.lease_valid_until()
    }

    fn commit(&mut self, writes: &mut RateLimit, now: Time) {
        if !self.controller.is_write_idle() || now < self.batch_at || self.is_changing_accounts() {
            return;
        }
        let spare = writes.available_fraction(now) > SPARE;
        if !self.controller.has_urgent_writes() && !spare {
            return;
        }
        // Many in one transaction where many wait: each is a request of its own.
        let affordable = writes.available(now).max(0.0) as usize;
        let most = affordable.min(self.txn_ops);
        let backlog = self.controller.write_backlog();
        let worth = FULL_BATCH.min(self.txn_ops);
        if most < (backlog.urgent + backlog.other).clamp(LEAST_BATCH, worth) {
            return;
        }
        if let Some(txn) = self.controller.next_batch(most, spare) {
            self.batch_at = now.after(self.batch_interval);
            self.pending.push((
                RequestClass::Records,
                StoreRequest::Txn(txn),
                BATCH_LIMIT,
                LeaderRequest::Batch,
            ));
        }
    }

    fn act(&mut self, net: &mut impl Network, action: Action, now: Time) {
        match action {
            Action::SendCommands {
                host,
                address,
                incarnation,
                commands,
            } => {
                let starts = commands.iter().any(|o| matches!(o, Command::Run { .. }));
                if starts && !self.may_act(net) {
                    // It brings no report, so it can't tell of another leader either.
                    let result = CommandResult::NotAttempted;
                    let _ = self.controller.on_command_result(
                        &host,
                        incarnation,
                        &commands,
                        result,
                        now,
                    );
                    return;
                }
                let token = self.controller.term();
                let body = encode(&CommandRequest {
                    fencing_token: token,
                    incarnation,
                    commands: &commands,
                });
                let call = net.call(address, "POST", "/commands", &body, COMMAND_LIMIT);
                self.calls.insert(
                    call,
                    LeaderCall::SendCommands {
                        host,
                        incarnation,
                        commands,
                    },
                );
            }
            action if !self.may_ask_cloud(net, &action, now) => {
                self.waiting.push(action);
            }
            Action::ScaleOut(rental) => {
                let body = encode(&rental);
                self.ask_cloud(net, "POST", "/hosts", &body, LeaderCall::Rent(rental), now);
            }
            Action::ScaleIn(hosts) | Action::ForceRelease(hosts) => {
                let names = HostNames { hosts };
                let body = encode(&names);
                let what = LeaderCall::Release(names.hosts);
                self.ask_cloud(net, "POST", "/hosts/release", &body, what, now);
            }
        }
    }

    /// Takes the reply to one of the calls made here.
    pub(super) fn on_reply(
        &mut self,
        net: &mut impl Network,
        call: CallId,
        result: Result<Response, CallError>,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        let Some(what) = self.calls.remove(&call) else {
            return Ok(());
        };
        if matches!(&result, Ok(r) if r.status == 429) {
            self.cloud_budget.back_off(now, Duration::from_millis(500));
        }
        match what {
            LeaderCall::SendCommands {
                host,
                incarnation,
                commands,
            } => {
                let result = command_result(result);
                return self.controller.on_command_result(
                    &host,
                    incarnation,
                    &commands,
                    result,
                    now,
                );
            }
            LeaderCall::Rent(rental) => {
                self.controller
                    .on_provision_result(&rental.name, rental_result(result), now);
            }
            LeaderCall::Release(names) => {
                let confirmed = matches!(&result, Ok(r) if r.status == 200);
                self.controller.on_release_result(&names, confirmed, now);
            }
            LeaderCall::List => self.on_list(net, result, now),
            LeaderCall::Types => {
                self.types.busy = false;
                let types = result.ok().filter(|r| r.status == 200);
                if let Some(types) = types.and_then(|r| decode::<MachineTypes>(&r.body).ok()) {
                    self.controller.on_machine_types(types.machine_types);
                    self.write_types();
                }
            }
        }
        Ok(())
    }

    /// Tells of a job's tasks without a read, if this leader has it in its picture.
    pub(super) fn counts(&self, job: JobId) -> Option<(u64, u64)> {
        if !self.loaded {
            return None;
        }
        self.controller.task_counts(job)
    }
}

fn command_result(result: Result<Response, CallError>) -> CommandResult {
    match result {
        Ok(r) if matches!(r.status, 200 | 409) => match decode(&r.body) {
            Ok(report) => CommandResult::Heartbeat(Box::new(report)),
            Err(_) => CommandResult::NoResponse,
        },
        Ok(r) if r.status == 400 => CommandResult::NotExecuted,
        Ok(_) | Err(CallError::Lost) => CommandResult::NoResponse,
        Err(CallError::NotSent) => CommandResult::NotExecuted,
        Err(CallError::NoSocket) => CommandResult::NotAttempted,
    }
}
