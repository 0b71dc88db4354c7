//! What becomes of jobs: accepted, done, cancelled; and when their tasks are stopped for it.

use super::hosts::StopWhy;
use super::jobs::{Job, JobPhase};
use super::{Controller, Phase, BLIND_PART, MAX_CANCELLED, MAX_CLASSES};
use crate::storage::records::{JobRecord, OverRecord};
use crate::storage::write_batcher::Written;
use crate::types::{HostName, JobId, TaskId, Time, Version};

impl Controller {
    /// A job's record, at the start or as news of the watch.
    pub fn on_job(&mut self, record: JobRecord, live: Version) {
        let id = record.spec.id;
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.spec.is_some()) {
            if job.record_split.is_some() && record.chunk == job.tasks_per_record {
                // The answer to the last step of its split was lost.
                let chunks = self.batcher.split_in_force(job, live);
                let written = Written {
                    chunks,
                    ..Written::default()
                };
                self.on_written(&written, self.now);
            }
            return;
        }
        tracing::debug!(
            "{id}: {} tasks, {:?}, {} CPUs, about {} s each, saves every {} s, due in {} s",
            record.spec.tasks,
            record.spec.priority,
            record.spec.cpus.0,
            record.spec.estimate_s.0,
            record.spec.checkpoint_s.0,
            record.spec.deadline_s.map_or(f64::INFINITY, |d| d.0)
        );
        let age = self.day_ms.saturating_sub(record.at_ms);
        let at = Time(self.now.0.saturating_sub(age));
        self.fleet.arrived(at, &record.spec);
        if !self.classes.contains(&record.spec.class) && self.classes.len() < MAX_CLASSES {
            self.classes.insert(record.spec.class.clone());
        }
        self.jobs.insert(id, Job::new(record, live));
        self.place_wanted = true;
        if self.cancelled.contains_key(&id) {
            // This was read before it was cancelled.
            self.on_job_gone(id, self.now);
        }
    }

    /// A job's final record where its description was. It got done under an earlier leader, or it is our
    /// own doing; the answer to that may have been lost.
    pub fn on_final(&mut self, id: JobId, over: OverRecord, live: Version) {
        let now = self.now;
        let job = self
            .jobs
            .entry(id)
            .or_insert_with(|| Job::done_before(id, over, live, now));
        if job.phase == JobPhase::Active {
            // Its tasks decide.
            return;
        }
        if job.live != live {
            job.live = live;
            job.to_archive = Some(over);
            job.enter(JobPhase::GarbageCollected, now);
        }
        self.batcher.garbage_collect(id);
    }

    /// Some node told its user that the job is cancelled. The record that says so may not reach this
    /// one for long, if the state service does not answer it.
    pub fn on_cancelled(&mut self, id: JobId, now: Time) {
        if self.cancelled.insert(id, now).is_none() {
            self.on_job_gone(id, now);
        }
        if self.cancelled.len() > MAX_CANCELLED {
            tracing::warn!("more than {MAX_CANCELLED} jobs are cancelled, the oldest is forgotten");
            let oldest = self.cancelled.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(job, _)| *job) {
                self.cancelled.remove(&oldest);
            }
        }
    }

    /// Whether no other leader can keep a task of the cancelled job going: the workers that may hold one
    /// have seen our token, so they obey nobody from before. Whoever comes after us reads the records.
    pub fn alone_commands(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| j.booked > 0) else {
            return true;
        };
        let mut hosts = job.booked_hosts().filter_map(|name| self.hosts.get(name));
        hosts.all(|host| host.token == self.term)
    }

    /// The records, and so the cancellations from before our term, have been out of reach for long. Each
    /// answer would keep cancelled work alive, and nobody else is left who knows of it; without one it
    /// ends with its worker's lease, just in time.
    pub fn is_blind(&self, now: Time) -> bool {
        let spare = self.rules.cancel.saturating_sub(self.rules.lease);
        self.phase == Phase::Loading && now.since(self.started_at) > spare.mul_f64(BLIND_PART)
    }

    /// Its record is gone: cancelled by its user, unless it was this leader that finished it.
    pub fn on_job_gone(&mut self, id: JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.phase, JobPhase::Active | JobPhase::Finishing) {
            return;
        }
        tracing::debug!("{id}: cancelled with {} tasks booked", job.booked);
        job.enter(JobPhase::Cancelled, now);
        let booked: Vec<(HostName, TaskId)> = self
            .hosts
            .values()
            .flat_map(|h| h.bookings.keys().map(|t| (h.name.clone(), *t)))
            .filter(|(_, task)| task.job == id)
            .collect();
        for (host, task) in booked {
            self.stop(&host, task, StopWhy::Cancelled, now);
        }
        // What was not written yet was ended just now, and no record of it will come.
        self.recording.retain(|(job, _), _| *job != id);
        self.settle(id, now);
        self.place_wanted = true;
    }

    /// Marks a booking to be stopped and tells its worker at once.
    pub(super) fn stop(&mut self, name: &HostName, task: TaskId, why: StopWhy, now: Time) {
        let Some(mut host) = self.hosts.remove(name) else {
            return;
        };
        if let Some(booking) = host.bookings.get_mut(&task) {
            booking.stop = Some(why);
            if !booking.sent {
                // No `run` of it ever left, so it is nowhere.
                self.end_booking(&mut host, task, false, now);
            } else {
                self.command(&mut host, now);
            }
        }
        self.hosts.insert(name.clone(), host);
    }

    /// After a booking ended or a task got done: the job may be at its end.
    pub(super) fn settle(&mut self, id: JobId, now: Time) {
        if self.phase == Phase::Loading {
            // What is booked is not known before all records are read.
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.phase {
            // A split under way changes the record that the final one replaces.
            JobPhase::Active if job.done == job.total && job.record_split.is_none() => {
                job.enter(JobPhase::Finishing, now);
                self.batcher.finish(id);
            }
            JobPhase::Cancelled if job.booked == 0 => {
                job.enter(JobPhase::GarbageCollected, now);
                self.batcher.garbage_collect(id);
            }
            _ => {}
        }
    }
}
