//! The leader of one term: passes events to its components and collects the actions that they request.

mod dispatch;
mod fencing;
mod heartbeats;
mod jobs;
mod records;
mod status;

pub use records::WriteBacklog;
pub use status::WorkerReach;

use fencing::FencingToken;
use jobs::Cancellations;

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_zones::ControllerReach;

use crate::coordination::autoscaling::Autoscaler;
use crate::coordination::cluster::ClusterState;
use crate::coordination::dispatch::CommandDispatcher;
use crate::coordination::failure_detection::FailureDetector;
use crate::coordination::quota::TeamQuota;
use crate::coordination::run_times::RunTimes;
use crate::coordination::scheduling::Scheduler;
use crate::coordination::{Action, Policy, View};
use crate::protocol::cloud::MachineType;
use crate::types::{HostName, JobId, Term, Time, Version};

/// How complete a leader's view of the cluster is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderPhase {
    /// The records are being read.
    LoadingRecords,
    /// The leader waits for a heartbeat of each host, so that its view is complete before it declares any host lost.
    /// Tasks are placed only on hosts that have sent one.
    AwaitingHeartbeats {
        /// When this phase ends at the latest.
        until: Time,
    },
    /// The view is complete: tasks are placed on all hosts that accept them, and hosts may be declared lost.
    Scheduling,
}

/// The leader of one term. Its components own its state; it passes events to them.
pub struct Leader {
    /// The term of office, in which whatever the leader numbers is unique.
    term: Term,
    fencing: FencingToken,
    phase: LeaderPhase,
    /// Until when the own lease is certainly valid. It is checked whenever something is started, as the process may
    /// have been paused since the last check.
    lease_valid_until: Time,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    /// When all records had been read, or, while they still are, when the term began.
    pub(crate) started_at: Time,
    /// Hosts, jobs, allocations, and the records still to be written.
    pub(crate) cluster: ClusterState,
    pub(crate) scheduler: Scheduler,
    pub(crate) autoscaler: Autoscaler,
    /// Which hosts and zones are unreachable.
    pub(crate) failure_detector: FailureDetector,
    pub(crate) dispatcher: CommandDispatcher,
    cancellations: Cancellations,
    /// How much each team may use.
    pub(crate) quota: TeamQuota,
    pub(crate) run_times: RunTimes,
    /// Actions that the node has not taken yet.
    pub(crate) actions: Vec<Action>,
}

/// The time at which the current event is handled, by both clocks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    /// The monotonic clock.
    pub(crate) now: Time,
    /// The wall clock in milliseconds since the Unix epoch, by which submission times and deadlines are judged.
    pub(crate) wall_clock_ms: u64,
}

/// How long a leader waits for first heartbeats if it knows no host.
const HEARTBEAT_ROUND_WITHOUT_HOSTS: Duration = Duration::from_millis(500);
/// A new leader begins to place tasks after the heartbeat interval divided by this, on those hosts that have already
/// sent a heartbeat.
const EARLY_SCHEDULING_DIVISOR: u32 = 4;

impl Leader {
    /// A leader that has not read any record yet. `leader_key_version` is the version of its key in the state service.
    pub fn new(
        term: Term,
        leader_key_version: Version,
        policy: Policy,
        machine_types: Vec<MachineType>,
        now: Time,
    ) -> Self {
        Leader {
            term,
            fencing: FencingToken::new(term, now),
            phase: LeaderPhase::LoadingRecords,
            lease_valid_until: Time::default(),
            clock: Clock {
                now,
                wall_clock_ms: 0,
            },
            started_at: now,
            cluster: ClusterState::new(machine_types, leader_key_version, &policy),
            scheduler: Scheduler::new(now),
            autoscaler: Autoscaler::new(term),
            failure_detector: FailureDetector::new(&policy, now),
            dispatcher: CommandDispatcher::new(&policy),
            cancellations: Cancellations::default(),
            quota: TeamQuota::new(term, &policy),
            run_times: RunTimes::default(),
            actions: Vec::new(),
            policy,
        }
    }

    /// The hosts, jobs and allocations.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// The machine types that the cloud offers, as far as they are known.
    pub fn machine_types(&self) -> &[MachineType] {
        self.cluster.machine_types()
    }

    /// The jobs that are not finished, or whose records are not deleted yet.
    pub fn job_ids(&self) -> impl Iterator<Item = JobId> + '_ {
        self.cluster.jobs().keys().copied()
    }

    /// The number of completed and the number of allocated tasks of the job.
    pub fn task_counts(&self, job: JobId) -> Option<(u64, u64)> {
        let job = self.cluster.jobs().get(&job)?;
        Some((u64::from(job.done_count), u64::from(job.allocated_count)))
    }

    /// The leader's term of office, which was its first fencing token.
    pub fn term(&self) -> Term {
        self.term
    }

    /// How complete the leader's view of the cluster is.
    pub fn phase(&self) -> LeaderPhase {
        self.phase
    }

    /// Until when the own lease is certainly valid.
    pub fn lease_valid_until(&self) -> Time {
        self.lease_valid_until
    }

    /// Sets until when the own lease is certainly valid.
    pub fn set_lease_valid_until(&mut self, until: Time) {
        self.lease_valid_until = until;
    }

    /// Sets which controllers respond to this one. In `zones_without_reachable_peer` no controller does.
    pub fn set_controller_reach(
        &mut self,
        zones_without_reachable_peer: Vec<String>,
        controller_reach_by_zone: BTreeMap<String, ControllerReach>,
    ) {
        self.failure_detector.zones_without_reachable_peer = zones_without_reachable_peer;
        self.failure_detector.controller_reach_by_zone = controller_reach_by_zone;
    }

    /// The view that decisions are based on.
    pub(crate) fn view(&self) -> View<'_> {
        View {
            policy: &self.policy,
            cluster: &self.cluster,
            autoscaler: &self.autoscaler,
            failure_detector: &self.failure_detector,
            quota: &self.quota,
            run_times: &self.run_times,
            clock: self.clock,
            started_at: self.started_at,
        }
    }

    /// Takes the actions that the node is to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether the own lease is certainly valid. Without it the leader starts nothing.
    pub(crate) fn has_valid_lease(&self, now: Time) -> bool {
        now < self.lease_valid_until
    }

    /// The process was paused for longer than its lease: what it knows of the hosts is outdated.
    pub fn on_process_resumed(&mut self) {
        self.cluster.mark_all_unresponsive();
        self.failure_detector.is_outdated_by_pause = true;
    }

    /// Changes the phase. Nothing else does.
    fn set_phase(&mut self, phase: LeaderPhase) {
        tracing::info!("term {}: {:?} -> {phase:?}", self.term, self.phase);
        self.phase = phase;
        self.cluster.request_scheduling();
    }

    /// Does what is due at `now`. `wall_clock_ms` is the same time in milliseconds since the Unix epoch.
    pub fn tick(&mut self, now: Time, wall_clock_ms: u64) {
        self.clock = Clock { now, wall_clock_ms };
        match self.phase {
            LeaderPhase::LoadingRecords => return,
            LeaderPhase::AwaitingHeartbeats { until }
                if !self.is_heartbeat_wait_over(until, now) =>
            {
                return self.schedule_early(now);
            }
            LeaderPhase::AwaitingHeartbeats { .. } => self.set_phase(LeaderPhase::Scheduling),
            LeaderPhase::Scheduling => {}
        }
        let has_valid_lease = self.has_valid_lease(now);
        if has_valid_lease {
            self.update_token_demand(now);
        }
        if self.failure_detector.begin_check(now) {
            self.check_hosts(now, has_valid_lease);
            if has_valid_lease {
                self.move_replicas(now);
            }
        }
        if has_valid_lease {
            // Passes also run periodically, as jobs that wait after a failure become ready without any event.
            let is_pass_requested = self.cluster.take_scheduling_request();
            if is_pass_requested || self.scheduler.is_pass_due(now) {
                self.scheduler.begin_pass(now);
                self.place_waiting_tasks(now);
            }
            if self.has_claimed_allowances() {
                self.run_autoscaler(now);
            }
        }
    }

    /// Whether a new leader has waited long enough for the first heartbeats: at the latest at `until`, after one
    /// heartbeat interval if all known hosts have sent one, or earlier if no host is known.
    fn is_heartbeat_wait_over(&self, until: Time, now: Time) -> bool {
        let elapsed = now.since(self.started_at);
        let hosts = self.cluster.hosts();
        let all_are_up = hosts.values().all(|host| host.is_up());
        now >= until
            || all_are_up && elapsed >= self.policy.heartbeat_interval
            || hosts.is_empty() && elapsed >= HEARTBEAT_ROUND_WITHOUT_HOSTS
    }

    /// Places tasks on the hosts that have sent a heartbeat, before the view is complete. This is safe, as the records
    /// hold what is allocated to the other hosts, and nothing is allocated to those before they have sent one.
    fn schedule_early(&mut self, now: Time) {
        let is_too_early =
            now.since(self.started_at) < self.policy.heartbeat_interval / EARLY_SCHEDULING_DIVISOR;
        if is_too_early || !self.has_valid_lease(now) {
            return;
        }
        if self.cluster.take_scheduling_request() {
            self.place_waiting_tasks(now);
        }
        self.provision_standby(now);
    }

    /// The cloud confirmed that these hosts and everything on them are gone.
    pub fn on_hosts_gone(&mut self, names: &[HostName], now: Time) {
        self.cluster.remove_hosts(names, now);
    }

    /// Takes in the machine types that the cloud offers.
    pub fn on_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.cluster.set_machine_types(machine_types);
    }
}
