//! The leader of one term: hands events to its components and collects the actions that they ask for.

mod dispatch;
mod heartbeats;
mod jobs;
mod records;
mod status;

pub use records::WriteBacklog;
pub use status::WorkerReach;

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

/// The leader of one term. Its components own its state; it hands events to them.
pub struct Leader {
    /// The leader's term.
    term: Term,
    /// How far its view of the cluster is.
    phase: LeaderPhase,
    /// Until when the own lease surely stands. It is looked at whenever something is begun, as the
    /// process may have stood still since it was last asked.
    lease_valid_until: Time,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    pub(crate) started_at: Time,
    /// Hosts, jobs, allocations, and the records still to be written.
    pub(crate) cluster: ClusterState,
    pub(crate) scheduler: Scheduler,
    pub(crate) autoscaler: Autoscaler,
    /// Which hosts and zones are unreachable.
    pub(crate) failure_detector: FailureDetector,
    pub(crate) dispatcher: CommandDispatcher,
    cancellations: Cancellations,
    /// What teams may use.
    pub(crate) quota: TeamQuota,
    pub(crate) run_times: RunTimes,
    pub(crate) actions: Vec<Action>,
}

/// The times of the event that is being handled.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    /// The steady clock.
    pub(crate) now: Time,
    /// The time of day in milliseconds, by which deadlines are judged.
    pub(crate) wall_clock_ms: u64,
}

/// The round of heartbeats is over after this if no host is known.
const EMPTY_ROUND: Duration = Duration::from_millis(500);
/// Hosts that have been heard are used after this part of the first heartbeat interval.
const EARLY_ROUND_PART: u32 = 4;

impl Leader {
    /// A leader that has read nothing yet. `leader_key` is the version of its key in the store.
    pub fn new(
        term: Term,
        leader_key: Version,
        policy: Policy,
        types: Vec<MachineType>,
        now: Time,
    ) -> Self {
        Leader {
            term,
            phase: LeaderPhase::LoadingRecords,
            lease_valid_until: Time::default(),
            clock: Clock {
                now,
                wall_clock_ms: 0,
            },
            started_at: now,
            cluster: ClusterState::new(types, leader_key, &policy),
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

    /// The hosts, jobs and allocations, to look at.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// The machine types, as far as they are known.
    pub fn machine_types(&self) -> &[MachineType] {
        self.cluster.machine_types()
    }

    /// The jobs that are not over, or whose records are not deleted yet.
    pub fn job_ids(&self) -> impl Iterator<Item = JobId> + '_ {
        self.cluster.jobs().keys().copied()
    }

    /// How many tasks of the job are done, and how many are allocated.
    pub fn task_counts(&self, job: JobId) -> Option<(u64, u64)> {
        let job = self.cluster.jobs().get(&job)?;
        Some((u64::from(job.done_count), u64::from(job.allocated_count)))
    }

    /// The term, which is the fencing token.
    pub fn term(&self) -> Term {
        self.term
    }

    /// How far the view of the cluster is.
    pub fn phase(&self) -> LeaderPhase {
        self.phase
    }

    /// Until when the own lease surely stands.
    pub fn lease_valid_until(&self) -> Time {
        self.lease_valid_until
    }

    /// Notes until when the own lease surely stands.
    pub fn set_lease_valid_until(&mut self, until: Time) {
        self.lease_valid_until = until;
    }

    /// Notes which controllers answer this one: `without_peer` are the zones of which none does.
    pub fn set_controller_reach(
        &mut self,
        without_peer: Vec<String>,
        by_zone: BTreeMap<String, ControllerReach>,
    ) {
        self.failure_detector.zones_without_reachable_peer = without_peer;
        self.failure_detector.controller_reach_by_zone = by_zone;
    }

    /// What decisions read.
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

    /// Takes what is to be done outside.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether the own lease surely stands: without it nothing is begun.
    pub(crate) fn may_act(&self, now: Time) -> bool {
        now < self.lease_valid_until
    }

    /// The process was paused for longer than its lease, while the world went on.
    pub fn on_process_resumed(&mut self) {
        self.cluster.mark_all_unresponsive();
    }

    /// The one place where the phase changes.
    fn set_phase(&mut self, phase: LeaderPhase) {
        tracing::info!("term {}: {:?} -> {phase:?}", self.term, self.phase);
        self.phase = phase;
        self.cluster.request_scheduling();
    }

    /// Does what is due. `wall_clock_ms` is the time of day in milliseconds.
    pub fn tick(&mut self, now: Time, wall_clock_ms: u64) {
        self.clock = Clock { now, wall_clock_ms };
        match self.phase {
            LeaderPhase::LoadingRecords => return,
            LeaderPhase::AwaitingHeartbeats { until } if !self.is_round_over(until, now) => {
                return self.schedule_early(now);
            }
            LeaderPhase::AwaitingHeartbeats { .. } => self.set_phase(LeaderPhase::Scheduling),
            LeaderPhase::Scheduling => {}
        }
        let may_act = self.may_act(now);
        if self.failure_detector.begin_check(now) {
            self.check_hosts(now, may_act);
            if may_act {
                self.move_replicas(now);
            }
        }
        if may_act {
            // Jobs that were told to wait after a failure become ready without any event.
            let is_requested = self.cluster.take_scheduling_request();
            if is_requested || self.scheduler.is_pass_due(now) {
                self.scheduler.begin_pass(now);
                self.place_waiting_tasks(now);
            }
            if self.has_claimed_allowances() {
                self.run_autoscaler(now);
            }
        }
    }

    /// Whether the round of heartbeats is over in which a new leader completes its view: at the latest at `until`, sooner
    /// if all known hosts have been heard or none is known.
    fn is_round_over(&self, until: Time, now: Time) -> bool {
        let elapsed = now.since(self.started_at);
        let hosts = self.cluster.hosts();
        let all_up = hosts.values().all(|host| host.is_up());
        now >= until
            || all_up && elapsed >= self.policy.heartbeat_interval
            || hosts.is_empty() && elapsed >= EMPTY_ROUND
    }

    /// Uses the hosts that have been heard before the round is over. The records hold what is allocated to the others, and
    /// none of these takes anything before it has been heard.
    fn schedule_early(&mut self, now: Time) {
        let is_early =
            now.since(self.started_at) < self.policy.heartbeat_interval / EARLY_ROUND_PART;
        if is_early || !self.may_act(now) {
            return;
        }
        if self.cluster.take_scheduling_request() {
            self.place_waiting_tasks(now);
        }
        self.provision_standby(now);
    }

    /// The cloud confirmed that these hosts and all on them are gone.
    pub fn on_hosts_gone(&mut self, names: &[HostName], now: Time) {
        self.cluster.remove_hosts(names, now);
    }

    /// Takes in the machine types that the cloud offers.
    pub fn on_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.cluster.set_machine_types(machine_types);
    }
}
