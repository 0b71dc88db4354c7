//! Records of what is booked: taking them in at the start, writing them, and what follows once they are
//! written.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichencrank_store::Txn;

use super::hosts::{Booking, BookingPhase, Host, HostLifecycle, StopWhy};
use super::jobs::{Job, JobPhase};
use super::{Controller, Deposed, Phase};
use crate::storage::records::RunRecord;
use crate::storage::write_batcher::{Verdict, Written};
use crate::types::{HostName, JobId, SequenceNumber, TaskId, Time, Version};

impl Controller {
    /// Takes in a run record while the records are read.
    pub fn on_run_record(
        &mut self,
        id: JobId,
        number: u32,
        record: &RunRecord,
        version: Version,
        now: Time,
    ) {
        let job = self
            .jobs
            .entry(id)
            .or_insert_with(|| Job::orphan(id, record, now));
        let (need, team) = (job.need, job.team.clone());
        let stop = (job.phase == JobPhase::Cancelled).then_some(StopWhy::Cancelled);
        for (index, attempt, name, incarnation) in job.load(number, record, version) {
            let task = TaskId { job: id, index };
            let host = self
                .hosts
                .entry(name.clone())
                .or_insert_with(|| Host::new(name, now));
            host.incarnation = host.incarnation.max(incarnation);
            host.book(
                task,
                Booking {
                    attempt,
                    incarnation,
                    need,
                    phase: BookingPhase::Ordered,
                    change: 0,
                    sent: true,
                    direct: false,
                    answered: SequenceNumber(0),
                    stop_told: SequenceNumber(0),
                    stop,
                    saving: false,
                    fetching: false,
                    since: now,
                    started: None,
                },
            );
            self.charge(&team, &need);
        }
    }

    /// All records are in: from now on reports complete the picture.
    pub fn on_loaded(&mut self, now: Time) {
        let round = self.rules.report.mul_f64(1.25) + Duration::from_millis(500);
        self.started_at = now;
        self.enter(Phase::Gathering {
            until: now.after(round),
        });
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.loaded();
            }
            self.settle(id, now);
        }
        for host in self.hosts.values_mut() {
            // Only records speak for them; whether they are cut off or gone will show.
            host.heard_at = now;
            host.enter(HostLifecycle::Silent);
        }
    }

    /// A record of the job has become too large: they are split. What waits for one of them waits for
    /// the new one that holds it.
    fn split(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The last step writes the description too, which production may have left too large.
        job.shorten_description(self.batcher.max_value, &self.types);
        if !self.batcher.split(job) {
            return;
        }
        let (of_job, others) = std::mem::take(&mut self.recording)
            .into_iter()
            .partition(|((job, _), _)| *job == id);
        self.recording = others;
        let of_job: BTreeMap<(JobId, u32), Vec<(HostName, TaskId)>> = of_job;
        for (host, task) in of_job.into_values().flatten() {
            let number = job.chunk_of(task.index);
            let waiting = self.recording.entry((id, number)).or_default();
            waiting.push((host, task));
        }
    }

    /// Puts together the next transaction of at most so many changes.
    pub fn next_batch(&mut self, max_changes: usize, spare: bool) -> Option<Txn> {
        if self.phase == Phase::Loading {
            return None;
        }
        for id in self.batcher.take_too_large() {
            self.split(id);
        }
        self.batcher.next_batch(&mut self.jobs, max_changes, spare)
    }

    /// Takes in what became of a batch.
    pub fn on_verdict(&mut self, verdict: Verdict, now: Time) -> Result<(), Deposed> {
        match verdict {
            Verdict::Written(written) => self.on_written(&written, now),
            Verdict::Conflict {
                cancelled,
                outdated_allowance,
            } => {
                self.quota_outdated |= outdated_allowance;
                for id in cancelled {
                    self.on_job_gone(id, now);
                }
            }
            Verdict::Deposed => return Err(Deposed(self.term)),
            Verdict::Again => {}
        }
        Ok(())
    }

    /// Bookings that are now in the records may run.
    pub(super) fn on_written(&mut self, written: &Written, now: Time) {
        if written.chunks.is_empty() {
            return;
        }
        // Bookings may have waited for room among the records.
        self.place_wanted = true;
        for (id, _) in &written.chunks {
            self.settle(*id, now);
        }
        let mut ready: BTreeSet<HostName> = BTreeSet::new();
        for key in &written.chunks {
            let Some(waiting) = self.recording.remove(key) else {
                continue;
            };
            let done = self.jobs.get(&key.0).and_then(|j| j.chunk(key.1));
            let done = done.map_or(0, |c| c.written);
            let mut later = Vec::new();
            for (name, task) in waiting {
                let booking = self.hosts.get_mut(&name);
                let booking = booking.and_then(|h| h.bookings.get_mut(&task));
                let Some(booking) = booking.filter(|b| b.phase == BookingPhase::Recording) else {
                    continue;
                };
                if done >= booking.change {
                    booking.phase = BookingPhase::Ordered;
                    ready.insert(name);
                } else {
                    later.push((name, task));
                }
            }
            if !later.is_empty() {
                self.recording.insert(*key, later);
            }
        }
        for name in ready {
            if let Some(mut host) = self.hosts.remove(&name) {
                self.command(&mut host, now);
                self.hosts.insert(name, host);
            }
        }
    }
}
