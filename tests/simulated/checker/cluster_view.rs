//! The state of the cluster as far as users and workers have observed it.

use std::collections::{BTreeMap, BTreeSet};

use crate::simulated::clock::SimTime;
use crate::simulated::ids::{JobId, TaskId};

use super::observation::{AnsweredRequest, JobAnswer, JobSpec};

/// A job and the answers that its user got.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) spec: JobSpec,
    pub(super) is_accepted: bool,
    pub(super) cancellation_requested: bool,
    /// When a user was first told that the job is done.
    pub(super) reported_done_at: Option<SimTime>,
    /// When a user was first told that the job is cancelled.
    pub(super) reported_cancelled_at: Option<SimTime>,
    pub(super) completed_tasks: BTreeSet<u32>,
    /// When the last answer arrived, or the last violation for the lack of one was reported.
    pub(super) last_answer_at: SimTime,
    pub(super) last_request_unanswered: bool,
    /// Since when one of its tasks has been waiting although a host has capacity for it.
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

    /// Whether the job was accepted and no user has requested to cancel it.
    pub(super) fn is_wanted(&self) -> bool {
        self.is_accepted && !self.cancellation_requested
    }

    /// Whether all tasks are complete.
    pub(super) fn is_complete(&self) -> bool {
        self.completed_tasks.len() >= self.spec.task_count as usize
    }

    /// Records what a user was told.
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

/// A host that is up.
#[derive(Debug)]
pub(super) struct HostRecord {
    pub(super) zone: String,
    pub(super) is_spot: bool,
    total_cpus: f64,
    accepted_tasks: BTreeSet<TaskId>,
    used_cpus: f64,
}

impl HostRecord {
    pub(super) fn new(zone: String, is_spot: bool, total_cpus: f64) -> HostRecord {
        HostRecord {
            zone,
            is_spot,
            total_cpus,
            accepted_tasks: BTreeSet::new(),
            used_cpus: 0.0,
        }
    }

    pub(super) fn free_cpus(&self) -> f64 {
        self.total_cpus - self.used_cpus
    }
}

/// Jobs, hosts, and which task runs where.
#[derive(Debug, Default)]
pub(super) struct ClusterView {
    jobs: BTreeMap<JobId, JobRecord>,
    hosts: BTreeMap<String, HostRecord>,
    /// The hosts on which each task runs. More than one is a violation.
    hosts_of_tasks: BTreeMap<TaskId, Vec<String>>,
    /// CPUs of each team's running tasks, by the team's name.
    task_cpus: BTreeMap<String, f64>,
    /// CPUs of each team's admissions in programs that embed the quota library, by the team's name.
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

    pub(super) fn add_host(&mut self, host: String, record: HostRecord) {
        self.hosts.insert(host, record);
    }

    pub(super) fn remove_host(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    pub(super) fn host(&self, host: &str) -> Option<&HostRecord> {
        self.hosts.get(host)
    }

    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.values()
    }

    /// Records that a host has accepted a task: the task uses the host's CPUs from now on.
    pub(super) fn accept_task(&mut self, host: &str, task: TaskId) {
        let job = self.jobs.get(&task.job);
        let cpus = job.map_or(0.0, |job| job.spec.cpus_per_task);
        if let Some(record) = self.hosts.get_mut(host) {
            if record.accepted_tasks.insert(task) {
                record.used_cpus += cpus;
            }
        }
    }

    /// Records that a task starts on a host. Returns the hosts on which it was running already.
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

    /// Records that a host no longer runs a task, or has given up one that it had accepted.
    pub(super) fn end_task(&mut self, host: &str, task: TaskId, is_complete: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(record) = self.hosts.get_mut(host) {
            if record.accepted_tasks.remove(&task) {
                record.used_cpus -= job.spec.cpus_per_task;
            }
        }
        // A replica of a service is never complete: one that has ended has to run again.
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

    /// Forgets on which hosts a task runs, so that a violation is reported only once.
    pub(super) fn forget_hosts(&mut self, task: TaskId) {
        self.hosts_of_tasks.remove(&task);
    }

    /// All running tasks, with their hosts.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = (TaskId, &[String])> {
        let tasks = self.hosts_of_tasks.iter();
        let running = tasks.filter(|(_, hosts)| !hosts.is_empty());
        running.map(|(task, hosts)| (*task, hosts.as_slice()))
    }

    /// The running tasks of a job, with their hosts.
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

    /// The zone of each running task of the job, without tasks whose host is gone.
    pub(super) fn zones_of_running_tasks(&self, job: JobId) -> Vec<&str> {
        let hosts = self.running_tasks_of(job).flat_map(|(_, hosts)| hosts);
        hosts
            .filter_map(|host| Some(self.hosts.get(host)?.zone.as_str()))
            .collect()
    }

    pub(super) fn set_embedded_cpus(&mut self, team: &str, cpus: f64) {
        self.embedded_cpus.insert(team.to_owned(), cpus);
    }

    /// CPUs that a team uses for tasks, and in programs that embed the quota library.
    pub(super) fn team_cpus(&self, team: &str) -> f64 {
        let in_tasks = self.task_cpus.get(team).copied().unwrap_or(0.0);
        in_tasks + self.embedded_cpus.get(team).copied().unwrap_or(0.0)
    }

    pub(super) fn started_task_count(&self) -> u64 {
        self.started_task_count
    }
}
