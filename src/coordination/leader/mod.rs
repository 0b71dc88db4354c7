//! The leader of one term: hands events to its components and collects the actions that they ask for.

mod job_events;
mod records;
mod status;

pub use records::WriteBacklog;
pub use status::WorkerReach;

use std::collections::BTreeMap;
use std::time::Duration;

use lichencrank_zones::ControllerReach;

use crate::coordination::autoscaling::Autoscaler;
use crate::coordination::cluster::host::HostLifecycle;
use crate::coordination::cluster::ClusterState;
use crate::coordination::dispatch::CommandDispatcher;
use crate::coordination::failure_detection::FailureDetector;
use crate::coordination::quota::TeamQuota;
use crate::coordination::run_times::RunTimes;
use crate::coordination::scheduling::Scheduler;
use crate::coordination::{Action, Policy};
use crate::protocol::cloud::MachineType;
use crate::types::{HostName, JobId, TaskId, Term, Time, Version};

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
    pub(crate) cancellations: Cancellations,
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
    pub(crate) day_ms: u64,
}

/// Jobs that some node told its user were cancelled, and when this leader heard of it.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    pub(crate) jobs: BTreeMap<JobId, Time>,
}

/// Names of released machines are kept as long as a list or a late report may still show them.
const KEPT_RELEASED: Duration = Duration::from_secs(600);
/// How often the machines are looked through for silent ones.
const WATCH_EVERY: Duration = Duration::from_millis(250);
/// The longest time between two passes over the waiting tasks.
const PLACE_EVERY: Duration = Duration::from_secs(1);
/// Machines that have reported get work after this part of the first report round.
const EARLY_PART: u32 = 4;

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
            clock: Clock { now, day_ms: 0 },
            started_at: now,
            cluster: ClusterState::new(types, leader_key, &policy),
            scheduler: Scheduler::new(now),
            autoscaler: Autoscaler::new(term),
            failure_detector: FailureDetector::new(&policy, now),
            dispatcher: CommandDispatcher::default(),
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
        &self.cluster.types
    }

    /// The jobs that are not over, or whose records are not deleted yet.
    pub fn job_ids(&self) -> impl Iterator<Item = JobId> + '_ {
        self.cluster.jobs.keys().copied()
    }

    /// How many tasks of the job are done, and how many are allocated.
    pub fn task_counts(&self, job: JobId) -> Option<(u64, u64)> {
        let job = self.cluster.jobs.get(&job)?;
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
        self.failure_detector.zone_controllers = by_zone;
    }

    /// Takes what is to be done outside.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether the own lease surely stands: without it nothing is begun.
    pub(crate) fn may_act(&self, now: Time) -> bool {
        now < self.lease_valid_until
    }

    /// The process stood still for longer than its lease, while the world went on. What was heard
    /// before is old, and so is what comes in now: it waited here for as long. A machine is used
    /// again once it has been heard twice, or has answered a probe.
    pub fn resumed_after_pause(&mut self) {
        for host in self.cluster.hosts.values_mut() {
            if host.lifecycle == HostLifecycle::Up {
                host.set_lifecycle(HostLifecycle::Unresponsive);
            }
        }
    }

    /// The one place where the controller changes its phase.
    pub(crate) fn enter(&mut self, phase: LeaderPhase) {
        tracing::info!("term {}: {:?} -> {phase:?}", self.term, self.phase);
        self.phase = phase;
        self.cluster.scheduling_requested = true;
    }

    // ---- time

    /// Does what time alone calls for.
    pub fn tick(&mut self, now: Time, day_ms: u64) {
        let may_act = self.may_act(now);
        self.clock.day_ms = day_ms;
        self.clock.now = now;
        match self.phase {
            LeaderPhase::LoadingRecords => return,
            LeaderPhase::AwaitingHeartbeats { until } => {
                let all_up = self
                    .cluster
                    .hosts
                    .values()
                    .all(|h| h.lifecycle == HostLifecycle::Up);
                let round_over =
                    now >= until || (all_up && now.since(self.started_at) >= self.policy.report);
                let nothing_known = self.cluster.hosts.is_empty()
                    && now.since(self.started_at) >= Duration::from_millis(500);
                if !round_over && !nothing_known {
                    // What has reported may be used meanwhile: the records hold what is booked on
                    // the others, and none of these takes anything before it has reported.
                    let early = now.since(self.started_at) >= self.policy.report / EARLY_PART;
                    if may_act && early {
                        if std::mem::take(&mut self.cluster.scheduling_requested) {
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
        if now >= self.failure_detector.next_check_at {
            self.failure_detector.next_check_at = now.after(WATCH_EVERY);
            self.watch_hosts(now, may_act);
            if may_act {
                self.move_replicas(now);
            }
        }
        if may_act {
            // Jobs that were told to wait after a failure come back without any event.
            if std::mem::take(&mut self.cluster.scheduling_requested)
                || now >= self.scheduler.next_pass_at
            {
                self.scheduler.next_pass_at = now.after(PLACE_EVERY);
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
            if let Some(mut host) = self.cluster.hosts.remove(name) {
                let tasks: Vec<TaskId> = host.allocations.keys().copied().collect();
                for task in tasks {
                    self.end_booking(&mut host, task, false, now);
                }
            }
            self.cluster.released_hosts.insert(name.clone(), now);
        }
        self.cluster
            .released_hosts
            .retain(|_, at| now.since(*at) <= KEPT_RELEASED);
        self.cluster.scheduling_requested = true;
    }

    /// Takes in the machine types.
    pub fn on_machine_types(&mut self, types: Vec<MachineType>) {
        if types == self.cluster.types {
            return;
        }
        let names: Vec<String> = self.cluster.types.iter().map(|t| t.name.clone()).collect();
        for host in self.cluster.hosts.values_mut() {
            let kind = host.type_index.and_then(|k| names.get(k));
            host.type_index = kind.and_then(|k| types.iter().position(|t| t.name == *k));
        }
        self.cluster.types = types;
        self.cluster.scheduling_requested = true;
    }
}
