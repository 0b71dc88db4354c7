//! What the leading controller decides. No input or output happens here: events and the time come
//! in, actions go out, so that kept traces can be replayed.

mod allocation;
mod commands;
mod failure_detector;
pub mod fleet;
mod forecast;
pub mod hosts;
pub mod jobs;
pub mod leadership;
mod lifecycle;
mod markets;
mod placement;
mod policy;
mod preemption;
mod quota;
pub mod ranking;
mod recording;
mod reports;
pub mod resources;
mod run_times;
mod scaling;
pub mod scoring;
mod services;
mod summary;
mod task_ends;
mod timeline;
mod type_eligibility;
mod zones;

pub use failure_detector::longest_report_delay;
pub use policy::Policy;
pub use quota::quota_policy;
pub use summary::WorkerReach;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::cloud::{MachineType, ProvisionRequest};
use crate::protocol::workers::{Command, WorkerHeartbeat};
use crate::settings::{Service, Team, Tuning};
use crate::storage::write_batcher::{Jobs, WriteBatcher};
use lichencrank_quota::{LeaderAccounts, Usage};
use lichencrank_zones::ControllerReach;

use crate::types::{seconds, HostName, Incarnation, JobId, TaskId, Term, Time, Version};

use fleet::Autoscaler;
use hosts::{Host, HostLifecycle};
use jobs::Job;
use zones::Zones;

/// What the leader wants done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a worker commands.
    SendCommands {
        /// Its machine.
        host: HostName,
        /// Where to send them.
        to: SocketAddr,
        /// Incarnation that they are meant for.
        incarnation: Incarnation,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Rent machines.
    ScaleOut(ProvisionRequest),
    /// Return machines, as they are not needed.
    ScaleIn(Vec<HostName>),
    /// The same, and so pressing that it goes out without a lease too: these machines hold cancelled
    /// work whose time is nearly up. Another leader could lose no more by it than a machine.
    ForceRelease(Vec<HostName>),
}

/// How a direct command ended.
#[derive(Debug)]
pub enum CommandResult {
    /// The worker answered with its report, whether or not it executed anything.
    Heartbeat(Box<WorkerHeartbeat>),
    /// Surely not executed.
    NotSent,
    /// Never left this process, so it says nothing of the machine either.
    NotAttempted,
    /// May have been executed, or may yet be.
    NoResponse,
}

/// A worker has seen a higher token: another controller leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipLost(pub Term);

/// How far a leader's picture is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderPhase {
    /// Records are being read.
    LoadingRecords,
    /// One report round passes, so that the picture is whole before machines are judged; work goes
    /// only to those that have reported.
    AwaitingHeartbeats {
        /// When the round of reports is over at the latest.
        until: Time,
    },
    /// The picture is complete: work is placed.
    Scheduling,
}

/// The picture and the decisions of one term.
pub struct Leader {
    /// The leader's term.
    pub term: Term,
    /// How far its picture is.
    pub phase: LeaderPhase,
    /// Until when the own lease surely stands. It is looked at whenever something is begun, as the
    /// process may have stood still since it was last asked.
    pub lease_valid_until: Time,
    policy: Policy,
    /// The machine types.
    pub types: Vec<MachineType>,
    /// The machines by name.
    pub hosts: BTreeMap<HostName, Host>,
    /// The jobs by id.
    pub jobs: Jobs,
    /// Writes what changes.
    pub batcher: WriteBatcher,
    autoscaler: Autoscaler,
    /// Zones of which this node hears no other node: what is silent there is cut off.
    pub zones_without_reachable_peer: Vec<String>,
    /// Zones of which most machines were silent, and when that was last so.
    partitioned_zones: BTreeMap<String, Time>,
    /// Whether the controllers of each zone answer this node.
    pub zone_controllers: BTreeMap<String, ControllerReach>,
    /// The states of zones, where they are tracked.
    zones: Option<Zones>,
    /// What each team's allocations take, all that are not proven ended.
    team_usage: BTreeMap<String, Usage>,
    /// What machines report of each team that is not booked there.
    unrecorded_usage: BTreeMap<String, Usage>,
    /// The allowances that allocations are charged to, where that feature is on.
    accounts: Option<LeaderAccounts>,
    /// Machines whose release the cloud confirmed lately, and when: late reports and the lagging
    /// list may still speak of them.
    released_hosts: BTreeMap<HostName, Time>,
    /// Jobs that are cancelled by a node's word.
    cancelled_jobs: BTreeMap<JobId, Time>,
    /// Probes on their way, and other direct commands.
    probes_in_flight: usize,
    commands_in_flight: usize,
    /// Machines whose commands wait until fewer commands are under way.
    hosts_to_command: VecDeque<HostName>,
    /// Bookings that wait for their record, by the record.
    uncommitted_allocations: BTreeMap<(JobId, u32), Vec<(HostName, TaskId)>>,
    /// A allocation failed, as its allowance has changed: the accounts have to be read again.
    pub quota_outdated: bool,
    actions: Vec<Action>,
    /// Something changed that may let a task start.
    scheduling_requested: bool,
    next_scheduling_at: Time,
    next_preemption_at: Time,
    next_host_check_at: Time,
    started_at: Time,
    /// When it was last told the time.
    now: Time,
    /// The time of day, in milliseconds, by which deadlines are judged.
    day_ms: u64,
    /// Classes of which this leader has seen a job.
    seen_classes: BTreeSet<String>,
    /// No replica is moved for the price alone before.
    next_idle_move_at: Time,
    /// How long tasks of a class ran, and how long their owners had guessed.
    run_times: BTreeMap<String, (f64, f64)>,
}

/// Names of released machines are kept as long as a list or a late report may still show them.
const KEPT_RELEASED: Duration = Duration::from_secs(600);
/// How often the machines are looked through for silent ones.
const WATCH_EVERY: Duration = Duration::from_millis(250);
/// The longest time between two passes over the waiting tasks.
const PLACE_EVERY: Duration = Duration::from_secs(1);
/// Machines that have reported get work after this part of the first report round.
const EARLY_PART: u32 = 4;
/// Cancelled jobs remembered by a node's word, of some ten bytes each; several heartbeats' worth.
const MAX_CANCELLED: usize = 12_000;
/// A new leader that can't read the records answers workers for this part of what cancellations have
/// beyond a worker's lease. The rest is for those confirmed just before its term.
const BLIND_PART: f64 = 0.6;
/// Classes remembered.
const MAX_CLASSES: usize = 1000;
/// A failure on a machine keeps the job's tasks away from it for this long.
const AVOID: Duration = Duration::from_secs(20);

impl Leader {
    /// A leader that has read nothing yet. `holder` is the version of its key.
    pub fn new(
        term: Term,
        holder: Version,
        rules: Policy,
        types: Vec<MachineType>,
        now: Time,
    ) -> Self {
        let policy = rules.quota.clone();
        let accounts = policy.map(|policy| LeaderAccounts::new(term.0, policy));
        let tracked = rules.zones.clone();
        let tracked = tracked.map(|settings| Zones::new(settings, now));
        let mut batcher = WriteBatcher::new(holder);
        batcher.max_value_bytes = rules.max_value;
        batcher.max_txn_changes = rules.txn_ops;
        Leader {
            term,
            phase: LeaderPhase::LoadingRecords,
            lease_valid_until: Time::default(),
            policy: rules,
            types,
            hosts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            batcher,
            autoscaler: Autoscaler::new(term),
            zones_without_reachable_peer: Vec::new(),
            partitioned_zones: BTreeMap::new(),
            zone_controllers: BTreeMap::new(),
            zones: tracked,
            team_usage: BTreeMap::new(),
            unrecorded_usage: BTreeMap::new(),
            accounts,
            released_hosts: BTreeMap::new(),
            cancelled_jobs: BTreeMap::new(),
            probes_in_flight: 0,
            commands_in_flight: 0,
            hosts_to_command: VecDeque::new(),
            uncommitted_allocations: BTreeMap::new(),
            quota_outdated: false,
            actions: Vec::new(),
            scheduling_requested: false,
            next_scheduling_at: now,
            next_preemption_at: now,
            next_host_check_at: now,
            started_at: now,
            now,
            day_ms: 0,
            seen_classes: BTreeSet::new(),
            next_idle_move_at: now,
            run_times: BTreeMap::new(),
        }
    }

    /// Takes what is to be done outside.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether the own lease surely stands: without it nothing is begun.
    fn may_act(&self, now: Time) -> bool {
        now < self.lease_valid_until
    }

    /// The process stood still for longer than its lease, while the world went on. What was heard
    /// before is old, and so is what comes in now: it waited here for as long. A machine is used
    /// again once it has been heard twice, or has answered a probe.
    pub fn resumed_after_pause(&mut self) {
        for host in self.hosts.values_mut() {
            if host.lifecycle == HostLifecycle::Up {
                host.set_lifecycle(HostLifecycle::Unresponsive);
            }
        }
    }

    /// The one place where the controller changes its phase.
    fn enter(&mut self, phase: LeaderPhase) {
        tracing::info!("term {}: {:?} -> {phase:?}", self.term, self.phase);
        self.phase = phase;
        self.scheduling_requested = true;
    }

    // ---- time

    /// Does what time alone calls for.
    pub fn tick(&mut self, now: Time, day_ms: u64) {
        let may_act = self.may_act(now);
        self.day_ms = day_ms;
        self.now = now;
        match self.phase {
            LeaderPhase::LoadingRecords => return,
            LeaderPhase::AwaitingHeartbeats { until } => {
                let all_up = self
                    .hosts
                    .values()
                    .all(|h| h.lifecycle == HostLifecycle::Up);
                let round_over =
                    now >= until || (all_up && now.since(self.started_at) >= self.policy.report);
                let nothing_known = self.hosts.is_empty()
                    && now.since(self.started_at) >= Duration::from_millis(500);
                if !round_over && !nothing_known {
                    // What has reported may be used meanwhile: the records hold what is booked on
                    // the others, and none of these takes anything before it has reported.
                    let early = now.since(self.started_at) >= self.policy.report / EARLY_PART;
                    if may_act && early {
                        if std::mem::take(&mut self.scheduling_requested) {
                            self.place(now);
                        }
                        self.rent_standby(now);
                    }
                    return;
                }
                self.enter(LeaderPhase::Scheduling);
            }
            LeaderPhase::Scheduling => {}
        }
        if now >= self.next_host_check_at {
            self.next_host_check_at = now.after(WATCH_EVERY);
            self.watch_hosts(now, may_act);
            if may_act {
                self.move_replicas(now);
            }
        }
        if may_act {
            // Jobs that were told to wait after a failure come back without any event.
            if std::mem::take(&mut self.scheduling_requested) || now >= self.next_scheduling_at {
                self.next_scheduling_at = now.after(PLACE_EVERY);
                self.place(now);
            }
            if self.has_claimed_allowances() {
                self.run_fleet(now);
            }
        }
    }

    /// The cloud confirmed: these machines and all on them are gone.
    pub fn on_hosts_gone(&mut self, names: &[HostName], now: Time) {
        for name in names {
            if let Some(mut host) = self.hosts.remove(name) {
                let tasks: Vec<TaskId> = host.allocations.keys().copied().collect();
                for task in tasks {
                    self.end_booking(&mut host, task, false, now);
                }
            }
            self.released_hosts.insert(name.clone(), now);
        }
        self.released_hosts
            .retain(|_, at| now.since(*at) <= KEPT_RELEASED);
        self.scheduling_requested = true;
    }

    /// Takes in the machine types.
    pub fn on_machine_types(&mut self, types: Vec<MachineType>) {
        if types == self.types {
            return;
        }
        let names: Vec<String> = self.types.iter().map(|t| t.name.clone()).collect();
        for host in self.hosts.values_mut() {
            let kind = host.type_index.and_then(|k| names.get(k));
            host.type_index = kind.and_then(|k| types.iter().position(|t| t.name == *k));
        }
        self.types = types;
        self.scheduling_requested = true;
    }
}
