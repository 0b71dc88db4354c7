//! The cluster as the checker has observed it, from users and workers alone.

use std::collections::{BTreeMap, BTreeSet};

use crate::simulated::clock::SimTime;
use crate::simulated::ids::{JobId, TaskId};

use super::observation::{AnsweredRequest, JobAnswer, JobSpec};

/// A job and what its user was told of it.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) spec: JobSpec,
    pub(super) is_accepted: bool,
    pub(super) cancellation_requested: bool,
    /// When a user was first told that it is done.
    pub(super) reported_done_at: Option<SimTime>,
    /// When a user was first told that it is cancelled.
    pub(super) reported_cancelled_at: Option<SimTime>,
    pub(super) completed_tasks: BTreeSet<u32>,
    /// When the last answer came, or a complaint about the lack of one.
    pub(super) last_answer_at: SimTime,
    pub(super) last_request_unanswered: bool,
    /// Since when one of its tasks waits although a machine has room for it.
    pub(super) startable_since: Option<SimTime>,
}

impl JobRecord {
    pub(super) fn new(spec: JobSpec, now: SimTime) -> JobRecord {
        JobRecord {
            spec,
            is_accepted: false,
            cancellation_requested: false,
            reported_done_at: None,
            reported_cancelled_at: None,
            completed_tasks: BTreeSet::new(),
            last_answer_at: now,
            last_request_unanswered: false,
            startable_since: None,
        }
    }

    /// Whether the job was accepted and nobody wants it cancelled.
    pub(super) fn is_wanted(&self) -> bool {
        self.is_accepted && !self.cancellation_requested
    }

    /// Whether all tasks are complete.
    pub(super) fn is_complete(&self) -> bool {
        self.completed_tasks.len() >= self.spec.task_count as usize
    }

    /// Takes in what a user was told.
    pub(super) fn record_answer(&mut self, now: SimTime, request: &AnsweredRequest) {
        self.last_request_unanswered = request.answer == JobAnswer::Unanswered;
        if !self.last_request_unanswered {
            self.last_answer_at = now;
        }
        match request.answer {
            JobAnswer::Open => self.is_accepted = true,
            JobAnswer::Done => {
                self.reported_done_at.get_or_insert(now);
            }
            JobAnswer::Cancelled => {
                self.reported_cancelled_at.get_or_insert(now);
            }
            JobAnswer::Unknown | JobAnswer::Rejected | JobAnswer::Unanswered => {}
        }
    }
}

/// A machine that is up.
#[derive(Debug)]
pub(super) struct MachineRecord {
    pub(super) zone: String,
    pub(super) is_spot: bool,
    cpus: f64,
    accepted_tasks: BTreeSet<TaskId>,
    used_cpus: f64,
}

impl MachineRecord {
    pub(super) fn new(zone: String, is_spot: bool, cpus: f64) -> MachineRecord {
        MachineRecord {
            zone,
            is_spot,
            cpus,
            accepted_tasks: BTreeSet::new(),
            used_cpus: 0.0,
        }
    }

    pub(super) fn free_cpus(&self) -> f64 {
        self.cpus - self.used_cpus
    }
}

/// Jobs, machines, and which task runs where.
#[derive(Debug, Default)]
pub(super) struct ClusterView {
    jobs: BTreeMap<JobId, JobRecord>,
    machines: BTreeMap<String, MachineRecord>,
    /// The machines on which each task runs: more than one is a violation.
    hosts_of_tasks: BTreeMap<TaskId, Vec<String>>,
    /// CPUs of each team's running tasks.
    task_cpus: BTreeMap<String, f64>,
    /// CPUs of each team's work in embedding programs.
    embedded_cpus: BTreeMap<String, f64>,
    started_task_count: u64,
}

impl ClusterView {
    pub(super) fn add_job(&mut self, job: JobId, spec: JobSpec, now: SimTime) {
        let record = || JobRecord::new(spec, now);
        self.jobs.entry(job).or_insert_with(record);
    }

    pub(super) fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    pub(super) fn job_mut(&mut self, job: JobId) -> Option<&mut JobRecord> {
        self.jobs.get_mut(&job)
    }

    pub(super) fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(job, record)| (*job, record))
    }

    pub(super) fn jobs_mut(&mut self) -> impl Iterator<Item = (JobId, &mut JobRecord)> {
        self.jobs.iter_mut().map(|(job, record)| (*job, record))
    }

    pub(super) fn add_machine(&mut self, host: String, machine: MachineRecord) {
        self.machines.insert(host, machine);
    }

    pub(super) fn remove_machine(&mut self, host: &str) {
        self.machines.remove(host);
    }

    pub(super) fn machine(&self, host: &str) -> Option<&MachineRecord> {
        self.machines.get(host)
    }

    pub(super) fn machines(&self) -> impl Iterator<Item = &MachineRecord> {
        self.machines.values()
    }

    /// A machine keeps room for a task from now on.
    pub(super) fn accept_task(&mut self, host: &str, task: TaskId) {
        let job = self.jobs.get(&task.job);
        let cpus = job.map_or(0.0, |job| job.spec.cpus_per_task);
        if let Some(machine) = self.machines.get_mut(host) {
            if machine.accepted_tasks.insert(task) {
                machine.used_cpus += cpus;
            }
        }
    }

    /// A task runs on that machine from now on. Returns those where it ran already.
    pub(super) fn start_task(&mut self, host: &str, task: TaskId) -> Vec<String> {
        self.started_task_count += 1;
        let hosts = self.hosts_of_tasks.entry(task).or_default();
        let earlier_hosts = hosts.clone();
        hosts.push(host.to_owned());
        if let Some(job) = self.jobs.get(&task.job) {
            let team_cpus = self.task_cpus.entry(job.spec.team.clone()).or_default();
            *team_cpus += job.spec.cpus_per_task;
        }
        earlier_hosts
    }

    pub(super) fn end_task(&mut self, host: &str, task: TaskId, is_complete: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(host) {
            if machine.accepted_tasks.remove(&task) {
                machine.used_cpus -= job.spec.cpus_per_task;
            }
        }
        // A replica that ended has to run again: it is never complete.
        if is_complete && !job.spec.is_service {
            job.completed_tasks.insert(task.index);
        }
        let hosts = self.hosts_of_tasks.entry(task).or_default();
        let host_count = hosts.len();
        hosts.retain(|other| other != host);
        if hosts.len() < host_count {
            if let Some(team_cpus) = self.task_cpus.get_mut(&job.spec.team) {
                *team_cpus -= job.spec.cpus_per_task;
            }
        }
    }

    /// Forgets where a task runs, once a violation has been reported for it.
    pub(super) fn forget_hosts(&mut self, task: TaskId) {
        self.hosts_of_tasks.remove(&task);
    }

    /// All tasks that run, with their machines.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = (TaskId, &[String])> {
        let tasks = self.hosts_of_tasks.iter();
        let running = tasks.filter(|(_, hosts)| !hosts.is_empty());
        running.map(|(task, hosts)| (*task, hosts.as_slice()))
    }

    /// The tasks of a job that run, with their machines.
    pub(super) fn running_tasks_of(&self, job: JobId) -> impl Iterator<Item = (TaskId, &[String])> {
        let first = TaskId { job, index: 0 };
        let last = TaskId {
            job,
            index: u32::MAX,
        };
        let tasks = self.hosts_of_tasks.range(first..=last);
        let running = tasks.filter(|(_, hosts)| !hosts.is_empty());
        running.map(|(task, hosts)| (*task, hosts.as_slice()))
    }

    /// The zone of each running task of the job, as far as its machine is still there.
    pub(super) fn zones_of_running_tasks(&self, job: JobId) -> Vec<&str> {
        let hosts = self.running_tasks_of(job).flat_map(|(_, hosts)| hosts);
        hosts
            .filter_map(|host| Some(self.machines.get(host)?.zone.as_str()))
            .collect()
    }

    pub(super) fn set_embedded_cpus(&mut self, team: &str, cpus: f64) {
        self.embedded_cpus.insert(team.to_owned(), cpus);
    }

    /// CPUs that a team uses, in tasks and in embedding programs.
    pub(super) fn team_cpus(&self, team: &str) -> f64 {
        let in_tasks = self.task_cpus.get(team).copied().unwrap_or(0.0);
        in_tasks + self.embedded_cpus.get(team).copied().unwrap_or(0.0)
    }

    pub(super) fn started_task_count(&self) -> u64 {
        self.started_task_count
    }
}
