//! What the answers of the state service and of the leader mean for the users that wait.

use super::*;

impl ApiServer {
    /// Takes in the outcome of a request to the state service.
    pub fn on_outcome(
        &mut self,
        ask: StoreRequestPurpose,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        // What lay here while this process stood still is an old answer; nobody gets it any more.
        let asked = match &ask {
            StoreRequestPurpose::SubmissionBatch(ids) | StoreRequestPurpose::VersionCheck(ids) => {
                &ids[..]
            }
            StoreRequestPurpose::Single(id) => std::slice::from_ref(id),
            StoreRequestPurpose::JobListing => &[],
        };
        for id in asked {
            if self.open.get(id).is_some_and(|open| now >= open.until) {
                self.finish(*id, unavailable());
            }
        }
        match ask {
            StoreRequestPurpose::SubmissionBatch(ids) => self.on_batch(ids, outcome, view, now),
            StoreRequestPurpose::Single(id) => self.on_one(id, outcome, view, now),
            StoreRequestPurpose::VersionCheck(ids) => self.on_comparison(ids, outcome, view, now),
            StoreRequestPurpose::JobListing => self.on_listing(outcome, view, now),
        }
    }

    pub(super) fn on_batch(
        &mut self,
        ids: Vec<ApiRequestId>,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        self.in_flight = false;
        for id in ids {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let job = open.job;
            match &outcome {
                Outcome::Committed(revision) => {
                    if !self.finals.contains_key(&job) {
                        self.know(job, *revision);
                    }
                    let mut response = self.standing(job, 0, 0);
                    response.status = 201;
                    self.finish(id, response);
                }
                Outcome::Conflict(failed) => {
                    let (live, over) = (records::live_key(job), records::outcome_key(job));
                    if failed.iter().any(|k| *k == live || *k == over) {
                        self.enter(id, Stage::ReadingLive);
                    } else {
                        self.enter(id, Stage::Queued);
                    }
                }
                // It can be carried out only once, so repeating it is safe, also by another node.
                _ => self.unanswered(id, &outcome, view, now),
            }
        }
    }

    pub(super) fn on_one(
        &mut self,
        id: ApiRequestId,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (job, stage) = (open.job, open.stage.clone());
        match (stage, outcome) {
            (Stage::ReadingLive, Outcome::Item(Some(item))) => {
                self.on_live_record(id, job, &item, view);
            }
            (Stage::ReadingLive, Outcome::Item(None)) => self.enter(id, Stage::ReadingOver),
            (Stage::ReadingCounts, Outcome::Item(item)) => self.on_counts(id, job, item, now),
            (Stage::ReadingOver, Outcome::Item(Some(item))) => self.on_final_record(id, job, &item),
            // Neither live nor over: as that move is atomic and one-way, it was never accepted.
            (Stage::ReadingOver, Outcome::Item(None)) => self.never_accepted(id),
            (Stage::Cancelling, Outcome::Committed(_)) => {
                self.cancelled.push(job);
                self.enter(id, Stage::AwaitingLeader);
            }
            (Stage::ReadingBookings, Outcome::Page(page)) => self.on_bookings(id, job, &page),
            // It was finished or cancelled by another: look again.
            (Stage::Cancelling, Outcome::Conflict(_)) => {
                self.enter(id, Stage::ReadingLive);
            }
            // That the job is not over is known; the counts are for display.
            (Stage::ReadingCounts, _) => {
                let (done, running) = self.known.get(&job).map_or((0, 0), |k| k.counts);
                self.answer_progress(id, job, done, running);
            }
            (_, outcome) => self.unanswered(id, &outcome, view, now),
        }
    }

    pub(super) fn cancels(&self, id: ApiRequestId) -> bool {
        let open = self.open.get(&id);
        open.is_some_and(|open| matches!(open.intent, Intent::Cancel))
    }

    /// The job's record is where it stands until the job is over, or shows that it got done.
    pub(super) fn on_live_record(
        &mut self,
        id: ApiRequestId,
        job: JobId,
        item: &Item,
        view: &NodeView,
    ) {
        if let Some(over) = records::unarchived_outcome(&item.value) {
            self.remember(job, over);
            self.finish(id, Self::final_answer(job, over));
            return;
        }
        self.know(job, item.version);
        if self.cancels(id) {
            self.send_cancellation(id, job, item.version);
        } else if let Some((done, running)) = (view.leader_task_counts)(job) {
            self.answer_progress(id, job, done, running);
        } else {
            self.enter(id, Stage::ReadingCounts);
        }
    }

    /// The first run record, which counts the tasks of all.
    pub(super) fn on_counts(
        &mut self,
        id: ApiRequestId,
        job: JobId,
        item: Option<Item>,
        now: Time,
    ) {
        let record: Option<RunRecord> = item.and_then(|i| i.record());
        let (done, running) = record.map_or((0, 0), |r| {
            (
                r.done_count() + r.other_records.done,
                r.allocations.len() as u64 + r.other_records.allocated,
            )
        });
        if let Some(known) = self.known.get_mut(&job) {
            known.counts = (done, running);
            known.counted = now;
        }
        self.answer_progress(id, job, done, running);
    }

    pub(super) fn on_final_record(&mut self, id: ApiRequestId, job: JobId, item: &Item) {
        match item.record::<OutcomeRecord>() {
            Some(over) if over.state == JobState::Cancelled => {
                if self.cancels(id) {
                    self.cancelled.push(job);
                }
                self.enter(id, Stage::AwaitingLeader);
            }
            Some(over) => {
                self.remember(job, over);
                self.finish(id, Self::final_answer(job, over));
            }
            None => self.finish(id, unavailable()),
        }
    }

    /// The run records of a cancelled job, read after the cancellation.
    pub(super) fn on_bookings(&mut self, id: ApiRequestId, job: JobId, page: &Page) {
        let booked = |item: &Item| {
            let record: Option<RunRecord> = item.record();
            record.is_none_or(|r| !r.allocations.is_empty())
        };
        if page.has_more || page.items.iter().any(booked) {
            self.finish(id, unavailable());
        } else {
            self.confirm_cancelled(id, job);
        }
    }

    /// The leader's word on a cancellation: whether it has it in hand.
    pub fn on_leader_response(&mut self, job: JobId, acknowledged: bool, now: Time) {
        let waiting = self.open.iter();
        let waiting = waiting.filter(|(_, o)| o.job == job && o.stage == Stage::AwaitingLeader);
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            let late = self.open.get(&id).is_some_and(|open| now >= open.until);
            if late {
                self.finish(id, unavailable());
            } else if acknowledged {
                self.confirm_cancelled(id, job);
            } else {
                self.enter(id, Stage::ReadingBookings);
            }
        }
    }

    pub(super) fn confirm_cancelled(&mut self, id: ApiRequestId, job: JobId) {
        let (state, tasks) = (JobState::Cancelled, 0);
        let over = OutcomeRecord { state, tasks };
        self.remember(job, over);
        self.finish(id, Self::final_answer(job, over));
    }

    pub(super) fn send_cancellation(&mut self, id: ApiRequestId, job: JobId, live: Version) {
        let over = OutcomeRecord {
            state: JobState::Cancelled,
            tasks: 0,
        };
        let mut txn = Txn::default();
        txn.require(records::live_key(job), live);
        txn.changes.push(Change::delete(records::live_key(job)));
        txn.changes
            .push(Change::put(records::outcome_key(job), value(&over)));
        self.enter(id, Stage::Cancelling);
        let ask = StoreRequest::Txn(txn);
        self.acts.push(ApiAction::SendStoreRequest(
            RequestClass::User,
            ask,
            StoreRequestPurpose::Single(id),
        ));
    }

    pub(super) fn never_accepted(&mut self, id: ApiRequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if self.known.contains_key(&open.job) || self.finals.contains_key(&open.job) {
            // It was accepted, here, while this was read.
            return self.enter(id, Stage::ReadingLive);
        }
        match open.intent.clone() {
            Intent::Repeat { otherwise } => self.finish(id, otherwise),
            // It lost a race against a cancellation's record that is not there: try once more.
            Intent::Submit(_) => self.enter(id, Stage::Queued),
            Intent::Poll | Intent::Cancel => self.finish(id, problem(404, "no such job")),
        }
    }
}
