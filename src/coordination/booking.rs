//! Booking a task on a machine: recorded first, run later.

use super::hosts::{Booking, BookingPhase};
use super::jobs::{Job, TaskState};
use super::Controller;
use crate::types::{Attempt, HostName, SequenceNumber, TaskId, Time};

impl Controller {
    /// Books a task: recorded first, run later.
    pub(super) fn book(&mut self, job: &mut Job, task: TaskId, name: &HostName, now: Time) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let attempt = Attempt(job.last_attempt(task.index).0 + 1);
        let _attempt = tracing::debug_span!("attempt", %task, %attempt).entered();
        let incarnation = host.incarnation;
        let state = TaskState::Booked {
            host: name.clone(),
            attempt,
            incarnation,
        };
        let Some(number) = job.set_task(task.index, state) else {
            return;
        };
        let change = job.chunk(number).map_or(0, |c| c.changes);
        tracing::debug!("{task} attempt {attempt} -> {name}");
        host.book(
            task,
            Booking {
                attempt,
                incarnation,
                need: job.need,
                phase: BookingPhase::Recording,
                change,
                sent: false,
                direct: false,
                answered: SequenceNumber(0),
                stop_told: SequenceNumber(0),
                stop: None,
                saving: false,
                fetching: false,
                since: now,
                started: None,
            },
        );
        self.charge(&job.team, &job.need);
        self.batcher.changed(job.id, number, true);
        let recording = self.recording.entry((job.id, number)).or_default();
        recording.push((name.clone(), task));
    }
}
