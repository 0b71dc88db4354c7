//! Preemption: room for urgent work, made by stopping what loses little by it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::cluster::host::{Allocation, Host, StopReason};
use crate::coordination::cluster::job::Job;
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::placement::is_zone_allowed;
use crate::coordination::scheduling::scoring::capacity;
use crate::coordination::{Leader, View};
use crate::protocol::users::{JobSpec, Priority};
use crate::types::{seconds, HostName, JobId, TaskId, Time};

/// A task is preempted only if it loses no more than this.
const PREEMPT_LOSS_S: f64 = 4.0;
/// So it is with work of the lowest priority, which is there to use what idles.
const IDLE_LOSS_S: f64 = 20.0;
/// For a service, which is missed at every moment and takes little, more may be lost.
const SERVICE_LOSS_S: f64 = 120.0;
/// A task that ends so soon is not worth stopping.
const SOON_S: f64 = 5.0;
/// A job that has waited too long has begun once so many of its tasks have run for so long.
const FEW: u32 = 4;
const BEGUN_S: f64 = 30.0;
/// Machines on which room is made at once.
const MAX_PREEMPTED: usize = 24;

/// How one machine could make room.
struct Way {
    /// All that would be stopped is of the lowest priority.
    idle: bool,
    lost: f64,
    name: HostName,
    tasks: Vec<TaskId>,
}

impl View<'_> {
    /// The tasks on the machine whose stopping makes room for one of the job, and the run time that
    /// is lost by it.
    fn way_to_room(&self, host: &Host, job: &Job, spec: &JobSpec, now: Time) -> Option<Way> {
        let kind = self.cluster.machine_types().get(host.type_index?)?;
        let mut victims: Vec<(f64, TaskId, Resources)> = host
            .allocations
            .iter()
            .filter_map(|(task, b)| {
                let lost = self.loss(*task, b, job, spec, now)?;
                Some((lost, *task, b.resources))
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = capacity(kind).minus(&host.allocated);
        let mut lost = 0.0;
        let mut stopped = Vec::new();
        for (loss, task, need) in victims {
            if job.task_resources.fits(&free) {
                break;
            }
            free.add(&need);
            lost += loss * need.cpus;
            stopped.push(task);
        }
        let lowest = |task: &TaskId| {
            let job = self.cluster.jobs().get(&task.job);
            job.is_some_and(|j| j.priority() == Priority::BestEffort)
        };
        (job.task_resources.fits(&free) && !stopped.is_empty()).then(|| Way {
            idle: stopped.iter().all(lowest),
            lost,
            name: host.name.clone(),
            tasks: stopped,
        })
    }

    /// The run time that a task would lose; `None` if it may not, or had better not, be stopped.
    fn loss(
        &self,
        task: TaskId,
        allocation: &Allocation,
        for_job: &Job,
        by: &JobSpec,
        now: Time,
    ) -> Option<f64> {
        let job = self.cluster.jobs().get(&task.job)?;
        let spec = job.spec.as_ref()?;
        let ran = allocation
            .started_at
            .map_or(0.0, |s| now.since(s).as_secs_f64());
        // One that saves when it is stopped loses the time that takes.
        let saves = spec.checkpoint_s.0 > 0.0;
        let lost = if saves { spec.save_s.0.min(ran) } else { ran };
        let may = self.may_preempt(job, for_job) && allocation.stop_reason.is_none();
        // The first tasks of a job that has waited too long are to have begun for good.
        let starve_after = seconds(self.policy.tuning.starve_after_s);
        let waited = Duration::from_millis(self.clock.day_ms.saturating_sub(job.submitted_at_ms));
        let young = ran < BEGUN_S && job.done_count == 0 && job.allocated_count <= FEW;
        if waited >= starve_after && young {
            return None;
        }
        // What ends by itself that soon makes room without being stopped.
        let ends = self
            .run_times
            .expected_remaining_s(job, allocation.started_at, now)
            < SOON_S;
        let most = if self.serves_guarantee(job, for_job) {
            // A guarantee holds whatever it costs those who borrow.
            f64::INFINITY
        } else if by.is_service() {
            SERVICE_LOSS_S
        } else if spec.priority == Priority::BestEffort {
            IDLE_LOSS_S
        } else {
            PREEMPT_LOSS_S
        };
        (may && !ends && lost <= most).then_some(lost)
    }
}

impl Leader {
    /// Makes room for a job of higher priority by stopping tasks of lower priority that lose little by
    /// it. The next pass sees what came of it.
    pub(crate) fn preempt_for(&mut self, id: JobId, spec: &JobSpec, usable: &[bool], now: Time) {
        let under_way = |h: &Host| {
            let mut allocations = h.allocations.values();
            allocations.any(|b| b.stop_reason == Some(StopReason::Preempted))
        };
        let lowest = spec.priority == Priority::BestEffort;
        if spec.same_zone || spec.spread || lowest || !self.scheduler.begin_preemption(now) {
            return;
        }
        if self.cluster.hosts().values().any(under_way) {
            return;
        }
        let Some(job) = self.cluster.job(id) else {
            return;
        };
        let room = self
            .view()
            .team_room(job)
            .min(u64::from(job.schedulable_count()));
        let most = (room as usize).min(MAX_PREEMPTED);
        let mut ways: Vec<Way> = Vec::new();
        for host in self.cluster.hosts().values() {
            let suits = host
                .type_index
                .is_some_and(|k| usable.get(k) == Some(&true));
            let open = suits && self.view().accepts_tasks(host, now) && (spec.spot || !host.spot);
            if open && is_zone_allowed(spec, &host.zone, &BTreeMap::new()) {
                ways.extend(self.view().way_to_room(host, job, spec, now));
            }
        }
        ways.sort_by(|a, b| {
            a.idle
                .cmp(&b.idle)
                .reverse()
                .then(a.lost.total_cmp(&b.lost))
        });
        // Only what is there to use what idles makes room on many machines at once: the others' tasks
        // have just begun, and their images were fetched for nothing.
        let idle = ways.iter().filter(|w| w.idle).count();
        let many = if spec.is_service() { most } else { idle };
        let many = many.min(most).max(1);
        for way in ways.into_iter().take(many) {
            let Way {
                lost, name, tasks, ..
            } = way;
            tracing::debug!(
                "{id}: {} tasks on {name} make room, {lost} s lost",
                tasks.len()
            );
            for task in tasks {
                self.stop_task(&name, task, StopReason::Preempted, now);
            }
        }
    }
}
