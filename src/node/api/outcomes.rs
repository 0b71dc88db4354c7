//! Handling of the outcomes of requests to the state service and of the leader's acknowledgements of cancellations.

use super::*;

impl ApiServer {
    /// Handles the outcome of a request to the state service.
    pub fn on_outcome(
        &mut self,
        purpose: StoreRequestPurpose,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        // The outcome may have waited while this process was paused. Requests past their deadline are answered 503, so
        // that no user gets an outdated response.
        let request_ids = match &purpose {
            StoreRequestPurpose::SubmissionBatch(ids) | StoreRequestPurpose::VersionCheck(ids) => {
                &ids[..]
            }
            StoreRequestPurpose::Single(id) => std::slice::from_ref(id),
            StoreRequestPurpose::JobListing => &[],
        };
        for id in request_ids {
            if self
                .open_requests
                .get(id)
                .is_some_and(|request| now >= request.deadline)
            {
                self.finish(*id, unavailable_response());
            }
        }
        match purpose {
            StoreRequestPurpose::SubmissionBatch(ids) => {
                self.on_submission_batch(ids, outcome, view, now)
            }
            StoreRequestPurpose::Single(id) => self.on_single_outcome(id, outcome, view, now),
            StoreRequestPurpose::VersionCheck(ids) => {
                self.on_version_check(ids, outcome, view, now)
            }
            StoreRequestPurpose::JobListing => self.on_listing_page(outcome, view, now),
        }
    }

    pub(super) fn on_submission_batch(
        &mut self,
        request_ids: Vec<ApiRequestId>,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        self.is_batch_in_flight = false;
        for id in request_ids {
            let Some(request) = self.open_requests.get(&id) else {
                continue;
            };
            let job = request.job;
            match &outcome {
                Outcome::Committed(revision) => {
                    if !self.cached_outcomes.contains_key(&job) {
                        self.note_unfinished_job(job, *revision);
                    }
                    let mut response = self.status_response(job, 0, 0);
                    response.status = 201;
                    self.finish(id, response);
                }
                Outcome::Conflict(failed) => {
                    let (live_key, outcome_key) =
                        (records::live_key(job), records::outcome_key(job));
                    if failed
                        .iter()
                        .any(|key| *key == live_key || *key == outcome_key)
                    {
                        self.enter_stage(id, Stage::ReadingJobRecord);
                    } else {
                        self.enter_stage(id, Stage::Batching);
                    }
                }
                // The conditions let the transaction succeed only once, so it may be repeated, also by another
                // controller.
                _ => self.on_failed_store_request(id, &outcome, view, now),
            }
        }
    }

    pub(super) fn on_single_outcome(
        &mut self,
        id: ApiRequestId,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        let Some(request) = self.open_requests.get(&id) else {
            return;
        };
        let (job, stage) = (request.job, request.stage.clone());
        match (stage, outcome) {
            (Stage::ReadingJobRecord, Outcome::Item(Some(item))) => {
                self.on_job_record(id, job, &item, view);
            }
            (Stage::ReadingJobRecord, Outcome::Item(None)) => {
                self.enter_stage(id, Stage::ReadingOutcome)
            }
            (Stage::ReadingTaskCounts, Outcome::Item(item)) => {
                self.on_task_counts(id, job, item, now)
            }
            (Stage::ReadingOutcome, Outcome::Item(Some(item))) => {
                self.on_outcome_record(id, job, &item)
            }
            // There is neither a job record nor an outcome. As one transaction moves a job from the former to the
            // latter, and nothing moves it back, the job was never accepted.
            (Stage::ReadingOutcome, Outcome::Item(None)) => self.on_job_not_found(id),
            (Stage::Cancelling, Outcome::Committed(_)) => {
                self.cancelled_jobs.push(job);
                self.enter_stage(id, Stage::AwaitingLeader);
            }
            (Stage::ReadingAllocations, Outcome::Page(page)) => self.on_run_records(id, job, &page),
            // The job was finished or cancelled meanwhile.
            (Stage::Cancelling, Outcome::Conflict(_)) => {
                self.enter_stage(id, Stage::ReadingJobRecord);
            }
            // The job is known to be unfinished, and the task counts are only for display.
            (Stage::ReadingTaskCounts, _) => {
                let (done, running) = self
                    .known_jobs
                    .get(&job)
                    .map_or((0, 0), |known_job| known_job.task_counts);
                self.finish_with_status(id, job, done, running);
            }
            (_, outcome) => self.on_failed_store_request(id, &outcome, view, now),
        }
    }

    pub(super) fn is_cancellation(&self, id: ApiRequestId) -> bool {
        let request = self.open_requests.get(&id);
        request.is_some_and(|request| matches!(request.operation, Operation::Cancel))
    }

    /// Handles the job's record under `live/`, which exists while the job is unfinished. Once the job is done it holds
    /// the outcome until that is moved to `over/`.
    pub(super) fn on_job_record(
        &mut self,
        id: ApiRequestId,
        job: JobId,
        item: &Item,
        view: &NodeView,
    ) {
        if let Some(outcome) = records::unarchived_outcome(&item.value) {
            self.cache_outcome(job, outcome);
            self.finish(id, Self::outcome_response(job, outcome));
            return;
        }
        self.note_unfinished_job(job, item.version);
        if self.is_cancellation(id) {
            self.send_cancellation(id, job, item.version);
        } else if let Some((done, running)) = (view.leader_task_counts)(job) {
            self.finish_with_status(id, job, done, running);
        } else {
            self.enter_stage(id, Stage::ReadingTaskCounts);
        }
    }

    /// Handles the first run record, which holds the task counts of the other run records too.
    pub(super) fn on_task_counts(
        &mut self,
        id: ApiRequestId,
        job: JobId,
        item: Option<Item>,
        now: Time,
    ) {
        let record: Option<RunRecord> = item.and_then(|item| item.record());
        let (done, running) = record.map_or((0, 0), |record| {
            (
                record.done_count() + record.other_records.done,
                record.allocations.len() as u64 + record.other_records.allocated,
            )
        });
        if let Some(known_job) = self.known_jobs.get_mut(&job) {
            known_job.task_counts = (done, running);
            known_job.counted_at = now;
        }
        self.finish_with_status(id, job, done, running);
    }

    pub(super) fn on_outcome_record(&mut self, id: ApiRequestId, job: JobId, item: &Item) {
        match item.record::<OutcomeRecord>() {
            Some(outcome) if outcome.state == JobState::Cancelled => {
                if self.is_cancellation(id) {
                    self.cancelled_jobs.push(job);
                }
                self.enter_stage(id, Stage::AwaitingLeader);
            }
            Some(outcome) => {
                self.cache_outcome(job, outcome);
                self.finish(id, Self::outcome_response(job, outcome));
            }
            None => self.finish(id, unavailable_response()),
        }
    }

    /// Handles the run records of a cancelled job, read after the cancellation. It is confirmed only if they show no
    /// allocation; a record that cannot be decoded, or a further page, counts as one.
    pub(super) fn on_run_records(&mut self, id: ApiRequestId, job: JobId, page: &Page) {
        let may_hold_allocations = |item: &Item| {
            let record: Option<RunRecord> = item.record();
            record.is_none_or(|record| !record.allocations.is_empty())
        };
        if page.has_more || page.items.iter().any(may_hold_allocations) {
            self.finish(id, unavailable_response());
        } else {
            self.confirm_cancellation(id, job);
        }
    }

    /// Handles the leader's response to a cancellation. If the leader acknowledged it, the leader alone commands the
    /// workers that hold tasks of the job, and stops these tasks. If it did not, or could not be asked, the run records
    /// decide.
    pub fn on_leader_response(&mut self, job: JobId, is_acknowledged: bool, now: Time) {
        let waiting_requests = self.open_requests.iter();
        let waiting_requests = waiting_requests
            .filter(|(_, request)| request.job == job && request.stage == Stage::AwaitingLeader);
        for id in waiting_requests.map(|(id, _)| *id).collect::<Vec<_>>() {
            let is_expired = self
                .open_requests
                .get(&id)
                .is_some_and(|request| now >= request.deadline);
            if is_expired {
                self.finish(id, unavailable_response());
            } else if is_acknowledged {
                self.confirm_cancellation(id, job);
            } else {
                self.enter_stage(id, Stage::ReadingAllocations);
            }
        }
    }

    pub(super) fn confirm_cancellation(&mut self, id: ApiRequestId, job: JobId) {
        let (state, tasks) = (JobState::Cancelled, 0);
        let outcome = OutcomeRecord { state, tasks };
        self.cache_outcome(job, outcome);
        self.finish(id, Self::outcome_response(job, outcome));
    }

    pub(super) fn send_cancellation(
        &mut self,
        id: ApiRequestId,
        job: JobId,
        record_version: Version,
    ) {
        let outcome = OutcomeRecord {
            state: JobState::Cancelled,
            tasks: 0,
        };
        let mut txn = Txn::default();
        txn.require(records::live_key(job), record_version);
        txn.changes.push(Change::delete(records::live_key(job)));
        txn.changes
            .push(Change::put(records::outcome_key(job), value(&outcome)));
        self.enter_stage(id, Stage::Cancelling);
        let store_request = StoreRequest::Txn(txn);
        self.actions.push(ApiAction::SendStoreRequest(
            RequestClass::User,
            store_request,
            StoreRequestPurpose::Single(id),
        ));
    }

    pub(super) fn on_job_not_found(&mut self, id: ApiRequestId) {
        let Some(request) = self.open_requests.get(&id) else {
            return;
        };
        if self.known_jobs.contains_key(&request.job)
            || self.cached_outcomes.contains_key(&request.job)
        {
            // This controller accepted the job while the records were being read.
            return self.enter_stage(id, Stage::ReadingJobRecord);
        }
        match request.operation.clone() {
            Operation::RejectUnlessKnown { rejection } => self.finish(id, rejection),
            // The submission conflicted with a record, such as that of a cancellation, that was not found afterwards.
            Operation::Submit(_) => self.enter_stage(id, Stage::Batching),
            Operation::QueryStatus | Operation::Cancel => {
                self.finish(id, error_response(404, "no such job"))
            }
        }
    }
}
