//! Status queries. They share requests to the state service, so that many queries cost hardly more than a few. What
//! this controller remembers of a job is never a response by itself: the state service has to confirm it after the
//! query has arrived.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{ApiAction, ApiRequestId, ApiServer, NodeView, Stage, StoreRequestPurpose};
use crate::storage::records::{self, parse_live_key, OutcomeRecord};
use crate::storage::store::{Outcome, RequestClass, StoreRequest};
use crate::types::{JobId, Time, Version};
use lichencrank_store::{Condition, Txn};

/// From this number of queries for unknown jobs on, all unfinished jobs are listed instead of reading each job.
const MIN_QUERIES_FOR_LISTING: usize = 8;
const LISTING_PAGE_SIZE: u32 = 500;
/// Task counts are read again when they are older than this, if the rate limit leaves room for it.
const TASK_COUNTS_VALIDITY: Duration = Duration::from_millis(2500);
/// Unfinished jobs whose record versions are kept in memory.
const MAX_KNOWN_JOBS: usize = 10_000;

/// What this controller last read of an unfinished job. It may be outdated, so it is no response by itself; but one
/// transaction can check for many jobs at once whether their records are unchanged.
pub(super) struct KnownJob {
    record_version: Version,
    /// Numbers of finished and of running tasks, for display.
    pub(super) task_counts: (u64, u64),
    /// When the task counts were read.
    pub(super) counted_at: Time,
}

/// A listing of all unfinished jobs, for queries for jobs that this controller does not know: when a controller stops,
/// all its users turn to the others at once.
#[derive(Default)]
pub(super) struct JobListing {
    request_ids: Vec<ApiRequestId>,
    /// The jobs on the pages read so far, with their outcome if their record holds one.
    listed_jobs: HashMap<JobId, Option<OutcomeRecord>>,
}

impl ApiServer {
    /// Remembers that the job was unfinished at that version of its record.
    pub(super) fn note_unfinished_job(&mut self, job: JobId, record_version: Version) {
        let task_counts = (0, 0);
        let counted_at = Time::default();
        if self.known_jobs.len() >= MAX_KNOWN_JOBS && !self.known_jobs.contains_key(&job) {
            // Any entry may be evicted: its job is read again at the next query.
            if let Some(evicted) = self.known_jobs.keys().next().copied() {
                self.known_jobs.remove(&evicted);
            }
        }
        let known_job = self.known_jobs.entry(job).or_insert(KnownJob {
            record_version,
            task_counts,
            counted_at,
        });
        known_job.record_version = record_version;
    }

    /// Reads the jobs of these queries, which this controller does not know: a few one by one, many by a listing.
    fn read_unknown_jobs(&mut self, request_ids: Vec<ApiRequestId>) {
        if request_ids.len() < MIN_QUERIES_FOR_LISTING && self.job_listing.is_none() {
            for id in request_ids {
                self.enter_stage(id, Stage::ReadingJobRecord);
            }
        } else if self.job_listing.is_none() {
            self.job_listing = Some(JobListing {
                request_ids,
                ..JobListing::default()
            });
            self.request_listing_page(String::new());
        } else {
            // The listing in flight may have read past these jobs before their queries arrived.
            self.version_check_queue.extend(request_ids);
        }
    }

    fn request_listing_page(&mut self, after: String) {
        let store_request = StoreRequest::List {
            prefix: records::LIVE_PREFIX.to_owned(),
            after,
            limit: LISTING_PAGE_SIZE,
        };
        self.actions.push(ApiAction::SendStoreRequest(
            RequestClass::Read,
            store_request,
            StoreRequestPurpose::JobListing,
        ));
    }

    pub(super) fn on_listing_page(&mut self, outcome: Outcome, view: &NodeView, now: Time) {
        let Some(mut listing) = self.job_listing.take() else {
            return;
        };
        let Outcome::Page(page) = outcome else {
            for id in listing.request_ids {
                self.on_failed_store_request(id, &outcome, view, now);
            }
            return;
        };
        for item in &page.items {
            if let Some(job) = parse_live_key(&item.key) {
                let outcome = records::unarchived_outcome(&item.value);
                listing.listed_jobs.insert(job, outcome);
                if outcome.is_none() {
                    self.note_unfinished_job(job, item.version);
                }
            }
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            let after = last.key.clone();
            self.job_listing = Some(listing);
            return self.request_listing_page(after);
        }
        for id in listing.request_ids {
            let Some(request) = self.open_requests.get(&id) else {
                continue;
            };
            let job = request.job;
            match listing.listed_jobs.get(&job).copied() {
                Some(Some(outcome)) => {
                    self.cache_outcome(job, outcome);
                    self.finish(id, Self::outcome_response(job, outcome));
                }
                Some(None) => self.respond_unfinished(id, job, view, now),
                None => self.enter_stage(id, Stage::ReadingOutcome),
            }
        }
    }

    /// Checks with one transaction without changes whether the records of many jobs still have the versions that this
    /// controller knows. It is sent after the queries have arrived, so no response is older than its query.
    pub(super) fn send_version_check(&mut self) {
        if self.is_version_check_in_flight || self.version_check_queue.is_empty() {
            return;
        }
        let mut txn = Txn::default();
        let mut checked_jobs = BTreeSet::new();
        let mut request_ids = Vec::new();
        let mut unknown_ids = Vec::new();
        for id in std::mem::take(&mut self.version_check_queue) {
            let Some(request) = self.open_requests.get(&id) else {
                continue;
            };
            let job = request.job;
            let Some(known_job) = self.known_jobs.get(&job) else {
                unknown_ids.push(id);
                continue;
            };
            if !checked_jobs.contains(&job) {
                if checked_jobs.len() >= self.max_version_checks {
                    self.version_check_queue.push_back(id);
                    continue;
                }
                checked_jobs.insert(job);
                let (key, version) = (records::live_key(job), known_job.record_version);
                txn.conditions.push(Condition { key, version });
            }
            request_ids.push(id);
        }
        self.read_unknown_jobs(unknown_ids);
        if !request_ids.is_empty() {
            self.is_version_check_in_flight = true;
            self.actions.push(ApiAction::SendStoreRequest(
                RequestClass::Read,
                StoreRequest::Txn(txn),
                StoreRequestPurpose::VersionCheck(request_ids),
            ));
        }
    }

    pub(super) fn on_version_check(
        &mut self,
        request_ids: Vec<ApiRequestId>,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        self.is_version_check_in_flight = false;
        let changed_jobs = match &outcome {
            Outcome::Conflict(failed) => failed
                .iter()
                .filter_map(|key| parse_live_key(key))
                .collect(),
            _ => BTreeSet::new(),
        };
        for id in request_ids {
            let Some(request) = self.open_requests.get(&id) else {
                continue;
            };
            let job = request.job;
            match &outcome {
                Outcome::Committed(_) => self.respond_unfinished(id, job, view, now),
                // The conflict need not name every changed job, so the jobs that it does not name are checked again.
                Outcome::Conflict(_)
                    if !changed_jobs.is_empty() && !changed_jobs.contains(&job) =>
                {
                    self.enter_stage(id, Stage::CheckingVersion);
                }
                Outcome::Conflict(_) => {
                    self.known_jobs.remove(&job);
                    self.enter_stage(id, Stage::ReadingJobRecord);
                }
                _ => self.on_failed_store_request(id, &outcome, view, now),
            }
        }
    }

    /// Answers a query for a job that is still unfinished, after reading its task counts if necessary.
    fn respond_unfinished(&mut self, id: ApiRequestId, job: JobId, view: &NodeView, now: Time) {
        if self.cached_outcomes.contains_key(&job) {
            return self.finish_with_status(id, job, 0, 0);
        }
        let known_job = self.known_jobs.get(&job);
        let known_counts = known_job.map(|known_job| {
            (
                known_job.task_counts,
                now.since(known_job.counted_at) < TASK_COUNTS_VALIDITY,
            )
        });
        match ((view.leader_task_counts)(job), known_counts) {
            (Some((done, running)), _) => self.finish_with_status(id, job, done, running),
            (None, Some(((done, running), are_recent)))
                if are_recent || !view.has_spare_store_budget =>
            {
                self.finish_with_status(id, job, done, running);
            }
            _ => self.enter_stage(id, Stage::ReadingTaskCounts),
        }
    }
}
