//! Preemption: makes room for urgent jobs by stopping tasks that lose little run time by it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::cluster::host::{Allocation, Host, StopReason};
use crate::coordination::cluster::job::Job;
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::is_zone_allowed;
use crate::coordination::scheduling::scoring::{self, capacity};
use crate::coordination::{Leader, View};
use crate::protocol::users::{JobSpec, Priority};
use crate::types::{duration_from_seconds, HostName, JobId, TaskId, Time};

/// The most run time that a preempted task may lose, unless another of these limits applies.
const MAX_LOSS_S: f64 = 4.0;
/// The limit for best-effort tasks, which exist to use otherwise idle capacity.
const MAX_BEST_EFFORT_LOSS_S: f64 = 20.0;
/// The limit if the room is for a service, whose outages users notice at once and which takes few resources.
const MAX_LOSS_FOR_SERVICE_S: f64 = 120.0;
/// A task that is expected to end within this time is not preempted.
const ENDS_SOON_S: f64 = 5.0;
/// A job that was submitted long enough ago to count as starving is protected while none of its tasks is done and at
/// most this many are allocated.
const MAX_PROTECTED_TASKS: u32 = 4;
/// A task of a protected job is not preempted before it has run for this time.
const PROTECTED_RUN_S: f64 = 30.0;
/// The most hosts on which one round preempts tasks.
const MAX_HOSTS_PER_ROUND: usize = 24;

/// The tasks to stop on one host to make room for a task.
struct PreemptionPlan {
    /// Whether all of the tasks are best-effort.
    only_best_effort: bool,
    /// Run time that the tasks lose, in CPU-seconds.
    lost: f64,
    host: HostName,
    tasks: Vec<TaskId>,
}

impl View<'_> {
    /// Whether tasks of the previous round are still being stopped. A host that is silent or half-open does not count,
    /// as it may keep a preempted task for as long as it is not given up.
    fn is_preemption_in_progress(&self) -> bool {
        let is_preempted =
            |allocation: &Allocation| allocation.stop_reason == Some(StopReason::Preempted);
        let hosts = self.cluster.hosts().values();
        let mut reachable = hosts.filter(|host| host.is_up() && !host.is_half_open());
        reachable.any(|host| host.allocations.values().any(is_preempted))
    }

    /// Plans which tasks on the host to stop, those that lose least first, to make room for a task of the job; `None`
    /// if that is not possible, or if there is room already.
    fn preemption_plan(
        &self,
        host: &Host,
        job: &Job,
        spec: &JobSpec,
        now: Time,
    ) -> Option<PreemptionPlan> {
        let machine_type = self.cluster.machine_types().get(host.type_index?)?;
        let mut victims: Vec<(f64, TaskId, Resources)> = host
            .allocations
            .iter()
            .filter_map(|(task, allocation)| {
                let loss_s = self.preemption_loss_s(*task, allocation, job, spec, now)?;
                Some((loss_s, *task, allocation.resources))
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = capacity(machine_type).saturating_sub(&host.allocated_resources);
        let mut lost_cpu_s = 0.0;
        let mut tasks = Vec::new();
        for (loss_s, task, resources) in victims {
            if job.task_resources.fits(&free) {
                break;
            }
            free.add(&resources);
            lost_cpu_s += loss_s * resources.cpus;
            tasks.push(task);
        }
        let is_best_effort = |task: &TaskId| {
            let job = self.cluster.jobs().get(&task.job);
            job.is_some_and(|job| job.priority() == Priority::BestEffort)
        };
        (job.task_resources.fits(&free) && !tasks.is_empty()).then(|| PreemptionPlan {
            only_best_effort: tasks.iter().all(is_best_effort),
            lost: lost_cpu_s,
            host: host.name.clone(),
            tasks,
        })
    }

    /// Whether the run time that a task of the job would lose does not keep a service of a higher priority from stopping
    /// it.
    pub(crate) fn is_loss_small_for_service(
        &self,
        job: &Job,
        allocation: &Allocation,
        now: Time,
    ) -> bool {
        self.loss_if_stopped_s(job, allocation, now)
            .is_some_and(|loss_s| loss_s <= MAX_LOSS_FOR_SERVICE_S)
    }

    /// Whether the task makes room without being stopped.
    pub(crate) fn ends_soon(&self, job: &Job, allocation: &Allocation, now: Time) -> bool {
        let remaining_s = self
            .run_times
            .expected_remaining_s(job, allocation.started_at, now);
        remaining_s < ENDS_SOON_S
    }

    /// The run time in seconds that a task would lose if it were stopped; `None` if it is protected.
    fn loss_if_stopped_s(&self, job: &Job, allocation: &Allocation, now: Time) -> Option<f64> {
        let spec = job.spec.as_ref()?;
        let run_time_s = allocation
            .started_at
            .map_or(0.0, |started_at| now.since(started_at).as_secs_f64());
        // The first tasks of a job that was starving have to keep running, or the job would starve again.
        let starve_after = duration_from_seconds(self.policy.tuning.starvation_threshold_s);
        let waited =
            Duration::from_millis(self.clock.wall_clock_ms.saturating_sub(job.submitted_at_ms));
        let has_just_begun = run_time_s < PROTECTED_RUN_S
            && job.done_count == 0
            && job.allocated_count <= MAX_PROTECTED_TASKS;
        if waited >= starve_after && has_just_begun {
            return None;
        }
        // A task that saves its progress when it is stopped loses only the time that saving takes.
        let saves_progress = spec.checkpoint_interval_s.0 > 0.0;
        Some(if saves_progress {
            spec.save_time_s.0.min(run_time_s)
        } else {
            run_time_s
        })
    }

    /// The run time in seconds that a task would lose if it were stopped for a task of `preemptor`; `None` if it may
    /// not be stopped, or if that is not worth it.
    fn preemption_loss_s(
        &self,
        task: TaskId,
        allocation: &Allocation,
        preemptor: &Job,
        preemptor_spec: &JobSpec,
        now: Time,
    ) -> Option<f64> {
        let job = self.cluster.jobs().get(&task.job)?;
        let spec = job.spec.as_ref()?;
        let loss_s = self.loss_if_stopped_s(job, allocation, now)?;
        let is_allowed = self.may_preempt(job, preemptor) && allocation.stop_reason.is_none();
        let ends_soon = self.ends_soon(job, allocation, now);
        let max_loss_s = if self.serves_guarantee(job, preemptor) {
            // A team's guarantee holds regardless of the run time that tasks beyond another team's guarantee lose.
            f64::INFINITY
        } else if preemptor_spec.is_service() {
            MAX_LOSS_FOR_SERVICE_S
        } else if spec.priority == Priority::BestEffort {
            MAX_BEST_EFFORT_LOSS_S
        } else {
            MAX_LOSS_S
        };
        (is_allowed && !ends_soon && loss_s <= max_loss_s).then_some(loss_s)
    }
}

impl Leader {
    /// Makes room for tasks of the job by stopping tasks that may be preempted and lose little by it. `types` says of
    /// each machine type whether the job may use it. A later placement pass uses the room once the tasks have ended.
    pub(crate) fn preempt_for(&mut self, id: JobId, spec: &JobSpec, types: &[bool], now: Time) {
        let best_effort = spec.priority == Priority::BestEffort;
        if spec.same_zone || spec.spread || best_effort || !self.scheduler.begin_preemption(now) {
            return;
        }
        if self.view().is_preemption_in_progress() {
            return;
        }
        let Some(job) = self.cluster.job(id) else {
            return;
        };
        let task_limit = self
            .view()
            .tasks_within_team_quota(job)
            .min(u64::from(job.schedulable_count()));
        let limit = (task_limit as usize).min(MAX_HOSTS_PER_ROUND);
        let mut plans: Vec<PreemptionPlan> = Vec::new();
        for host in self.cluster.hosts().values() {
            let suits = host.type_index.is_some_and(|i| types.get(i) == Some(&true));
            let is_usable = suits
                && self.view().accepts_tasks(host, now)
                && (spec.allows_spot || !host.is_spot);
            if is_usable && is_zone_allowed(spec, &host.zone, &BTreeMap::new()) {
                plans.extend(self.view().preemption_plan(host, job, spec, now));
            }
        }
        plans.sort_by(|a, b| {
            a.only_best_effort
                .cmp(&b.only_best_effort)
                .reverse()
                .then(a.lost.total_cmp(&b.lost))
        });
        // Unless the room is for a service, only best-effort tasks are stopped on several hosts at once: other tasks
        // that may be stopped have only just started, and the fetch of their images would be wasted.
        let preferred = plans.iter().filter(|p| p.only_best_effort).count();
        let host_count = if spec.is_service() { limit } else { preferred };
        let host_count = host_count.min(limit).max(1);
        for plan in plans.into_iter().take(host_count) {
            self.preempt(plan, id, spec, now);
        }
    }

    /// Stops the tasks of the plan. The room is kept for a service; other jobs compete for it in the order of the queue.
    fn preempt(&mut self, plan: PreemptionPlan, id: JobId, spec: &JobSpec, now: Time) {
        let PreemptionPlan {
            lost, host, tasks, ..
        } = plan;
        tracing::debug!(
            "{id}: preempting {} tasks on {host}, losing {lost} CPU-seconds",
            tasks.len()
        );
        for task in tasks {
            self.stop_task(&host, task, StopReason::Preempted, now);
        }
        if spec.is_service() {
            let resources = scoring::task_resources(spec);
            let reservations = &mut self.scheduler.room_reservations;
            reservations.reserve(host, id, resources, now);
        }
    }
}
