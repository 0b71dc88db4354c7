//! What the answer to a batch means for the records in it.

use super::*;

impl RecordWriter {
    /// The transaction under way was carried out at that revision.
    pub(crate) fn on_committed(
        &mut self,
        jobs: &mut Jobs,
        revision: Version,
        now: Time,
    ) -> CommitResult {
        let InFlight::Sent(batch) = std::mem::replace(&mut self.in_flight, InFlight::Idle) else {
            return CommitResult::Retry;
        };
        let mut written = Vec::new();
        if let Some(step) = &batch.split_step {
            written = self.step_applied(jobs, step, revision);
        }
        for (id, number, changes) in batch.chunks {
            if let Some(chunk) = jobs.get_mut(&id).and_then(|j| j.chunk_mut(number)) {
                chunk.record_version = revision;
                chunk.written_change = changes;
                written.push((id, number));
            }
        }
        for (id, number) in batch.garbage {
            if let Some(job) = jobs.get_mut(&id) {
                job.abandoned_records.remove(&number);
            }
            if let Some(slot) = jobs
                .get_mut(&id)
                .and_then(|j| j.chunks.get_mut(number as usize))
            {
                *slot = None;
            }
        }
        for id in batch.archived {
            if let Some(job) = jobs.get_mut(&id) {
                job.unarchived_outcome = None;
            }
        }
        for id in batch.finished {
            if let Some(job) = jobs.get_mut(&id) {
                job.on_outcome_written(revision);
                job.set_phase(JobPhase::GarbageCollecting, now);
                self.garbage.insert(id);
            }
        }
        self.forget_garbage_collected(jobs);
        CommitResult::Committed(written)
    }

    pub(crate) fn forget_garbage_collected(&mut self, jobs: &mut Jobs) {
        let swept = |id: &JobId| {
            jobs.get(id).is_none_or(|j| {
                let unwritten = |c: &Chunk| !c.may_have_record();
                let moved = j.unarchived_outcome.is_none();
                j.phase == JobPhase::GarbageCollecting
                    && moved
                    && j.abandoned_records.is_empty()
                    && j.chunks.iter().flatten().all(|c| unwritten(c))
            })
        };
        let gone: Vec<JobId> = self.garbage.iter().copied().filter(swept).collect();
        for id in gone {
            self.garbage.remove(&id);
            jobs.remove(&id);
        }
    }

    /// Conditions failed: nothing was written, at least not now.
    pub(crate) fn on_conflict(&mut self, jobs: &mut Jobs, failed: &[String]) -> CommitResult {
        let InFlight::Sent(batch) = std::mem::replace(&mut self.in_flight, InFlight::Idle) else {
            return CommitResult::Retry;
        };
        if failed.iter().any(|key| key == records::LEADER_KEY) {
            return CommitResult::LeadershipLost;
        }
        let mut cancelled = Vec::new();
        for key in failed {
            if let Some(id) = records::parse_live_key(key) {
                if batch.split_step.as_ref().is_some_and(|step| step.job == id) {
                    // Cancelled, or an earlier transaction, thought lost, was carried out: the watch
                    // says which.
                    continue;
                }
                if batch.archived.contains(&id) {
                    // Only we move these: an earlier transaction, thought lost, was carried out.
                    if let Some(job) = jobs.get_mut(&id) {
                        job.unarchived_outcome = None;
                    }
                }
                cancelled.push(id);
            } else if let Some((id, number)) = records::parse_run_key(key) {
                // Only we write these: an earlier transaction, thought lost, was carried out.
                if let Some(chunk) = jobs.get_mut(&id).and_then(|j| j.chunk_mut(number)) {
                    chunk.version_unknown = true;
                    self.version_unknown.insert((id, number));
                }
            }
        }
        let is_fence = |key: &String| {
            self.allowance_fences
                .values()
                .any(|(fence, _)| fence == key)
        };
        let outdated_allowance = failed.iter().any(is_fence);
        self.requeue(batch);
        CommitResult::Conflict {
            cancelled,
            outdated_allowance,
        }
    }

    pub(crate) fn requeue(&mut self, batch: Batch) {
        for (id, number, _) in batch.chunks {
            self.mark_dirty(id, number, true);
        }
        self.finishing.extend(batch.finished);
        self.garbage.extend(batch.archived);
        self.garbage.extend(batch.garbage.iter().map(|(id, _)| *id));
    }

    /// Surely not carried out: its contents are gathered anew.
    pub(crate) fn on_refused(&mut self) {
        if let InFlight::Sent(batch) = std::mem::replace(&mut self.in_flight, InFlight::Idle) {
            self.requeue(batch);
        }
    }

    /// Refused for its size. It is split, and what is too large by itself is known to be so.
    pub(crate) fn on_invalid(&mut self) {
        let InFlight::Sent(batch) = std::mem::replace(&mut self.in_flight, InFlight::Idle) else {
            return;
        };
        let count = batch.txn.changes.len();
        let values = batch.txn.changes.iter().filter_map(|c| match c {
            Change::Put { value, .. } => Some(records::size(value)),
            Change::Delete { .. } => None,
        });
        let largest = values.max().unwrap_or(0);
        if count > LEAST_OPS {
            self.max_txn_changes = (count / 2).max(LEAST_OPS);
        } else {
            self.max_value_bytes = self
                .max_value_bytes
                .min(largest.saturating_sub(1))
                .max(LEAST_VALUE);
        }
        tracing::info!(
            "the state service refuses {count} changes, the largest of {largest} bytes: from now on {} and {}",
            self.max_txn_changes,
            self.max_value_bytes
        );
        self.requeue(batch);
    }

    /// No answer: it may be carried out at any time, so only the very same may follow.
    pub(crate) fn on_response_lost(&mut self) {
        if let InFlight::Sent(batch) = std::mem::replace(&mut self.in_flight, InFlight::Idle) {
            self.in_flight = InFlight::Repeat(batch);
        }
    }
}
