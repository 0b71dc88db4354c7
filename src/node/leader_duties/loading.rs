//! Reading of the job and run records at the start of a term, and the watch for changes of the job records.

use super::*;

impl LeaderDuties {
    /// Reads the next page of the job records.
    pub(super) fn read_jobs(&mut self, after: String) {
        self.read_page(records::LIVE_PREFIX, after, |after| {
            LeaderRequest::ReadJobs { after }
        });
    }

    /// Reads the next page of the run records.
    fn read_run_records(&mut self, after: String) {
        self.read_page(records::RUN_PREFIX, after, |after| {
            LeaderRequest::ReadRunRecords { after }
        });
    }

    /// Reads the next page of the records below a prefix.
    fn read_page(
        &mut self,
        prefix: &str,
        after: String,
        leader_request: fn(String) -> LeaderRequest,
    ) {
        let request = StoreRequest::List {
            prefix: prefix.to_owned(),
            after: after.clone(),
            limit: LOAD_PAGE_SIZE,
        };
        self.queued_requests.push((
            RequestClass::Records,
            request,
            LOAD_TIMEOUT,
            leader_request(after),
        ));
    }

    /// Waits for changes of the job records since the last known revision.
    pub(super) fn watch(&mut self) {
        let prefix = records::LIVE_PREFIX.to_owned();
        let request = StoreRequest::Watch {
            prefix,
            after: self.watch_revision,
            max_wait: WATCH_HOLD_TIME,
        };
        self.queued_requests.push((
            RequestClass::Records,
            request,
            WATCH_RESPONSE_MARGIN,
            LeaderRequest::WatchJobs,
        ));
    }

    /// Handles the outcome of a request to the state service.
    pub(in crate::node) fn on_outcome(
        &mut self,
        request: LeaderRequest,
        outcome: Outcome,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        let _span = self.span.clone().entered();
        self.store_answered_since_watch |= outcome.is_answer();
        match request {
            LeaderRequest::ReadJobs { after } => match outcome {
                Outcome::Page(page) => self.on_jobs_page(after.is_empty(), page, now),
                _ => self.read_jobs(after),
            },
            LeaderRequest::ReadRunRecords { after } => match outcome {
                Outcome::Page(page) => self.on_run_records_page(page, now),
                _ => self.read_run_records(after),
            },
            LeaderRequest::WatchJobs => self.on_watch_outcome(outcome, now),
            LeaderRequest::WriteBatch => return self.leader.on_batch_outcome(outcome, now),
            LeaderRequest::ReadRunRecordVersion(id) => {
                let version = match outcome {
                    Outcome::Item(item) => Some(item.map_or(Version(0), |i| i.version)),
                    _ => None,
                };
                self.leader.on_run_record_version(id, version);
            }
            LeaderRequest::ReadQuota {
                prefix_index,
                after,
            } => self.on_quota_page(prefix_index, after, outcome, now),
            LeaderRequest::WriteQuota => return self.on_quota_txn(outcome),
            LeaderRequest::ReadZonesRecord => self.on_zones_record(outcome, now),
            LeaderRequest::WriteZonesRecord => return self.on_zones_txn(outcome, now),
            LeaderRequest::WriteMachineTypes => {
                self.machine_types_written = matches!(outcome, Outcome::Committed(_))
            }
        }
        Ok(())
    }

    /// Passes a job record to the leader: the job, or its outcome that is not archived yet.
    pub(super) fn apply_job_record(&mut self, item: &Item) {
        let Some(id) = records::parse_live_key(&item.key) else {
            return;
        };
        if let Some(jobs_read) = &mut self.jobs_read {
            jobs_read.insert(id);
        }
        if let Some(outcome) = records::unarchived_outcome(&item.value) {
            self.leader.on_outcome_record(id, outcome, item.version);
        } else if let Some(record) = item.record() {
            self.leader.on_job(record, item.version);
        }
    }

    /// Handles a page of the job records. After the last one, reads the run records at the start of the term; later,
    /// removes the jobs that are gone and watches for changes again.
    pub(super) fn on_jobs_page(&mut self, is_first: bool, page: Page, now: Time) {
        if is_first {
            // The watch begins at the revision of the first page. Later pages may already show some of the changes
            // that it then reports.
            self.watch_revision = page.revision;
            self.jobs_read = Some(BTreeSet::new());
        }
        for item in &page.items {
            self.apply_job_record(item);
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            self.read_jobs(last.key.clone());
            return;
        }
        let jobs_read = self.jobs_read.take().unwrap_or_default();
        if self.is_loaded {
            let deleted_jobs: Vec<JobId> = self
                .leader
                .job_ids()
                .filter(|id| !jobs_read.contains(id))
                .collect();
            for id in deleted_jobs {
                self.leader.on_job_deleted(id, now);
            }
            self.watch();
        } else {
            self.read_run_records(String::new());
        }
    }

    /// Handles a page of the run records. After the last one, the leader begins its work and the watch starts.
    pub(super) fn on_run_records_page(&mut self, page: Page, now: Time) {
        for item in &page.items {
            let Some(id) = records::parse_run_key(&item.key) else {
                continue;
            };
            if let Some(record) = item.record() {
                self.leader.on_run_record(id, &record, item.version, now);
            }
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            self.read_run_records(last.key.clone());
            return;
        }
        self.is_loaded = true;
        self.leader.on_loaded(now);
        tracing::info!("records read: {}", self.leader.summary());
        self.watch();
    }

    /// Handles the outcome of a watch, and watches again. Reads all jobs instead if the state service no longer holds
    /// the changes since the last known revision, or if watches fail repeatedly.
    pub(super) fn on_watch_outcome(&mut self, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::WatchEvents(changes) => {
                self.failed_watches = 0;
                self.store_answered_since_watch = false;
                self.watch_revision = self.watch_revision.max(changes.revision);
                for event in changes.events {
                    if let (Some(key), Some(value)) = (event.put_key, event.value) {
                        self.apply_job_record(&Item {
                            key,
                            value,
                            version: event.version,
                        });
                    } else if let Some(id) = event
                        .deleted_key
                        .as_deref()
                        .and_then(records::parse_live_key)
                    {
                        self.leader.on_job_deleted(id, now);
                    }
                }
                self.watch();
            }
            Outcome::RevisionTooOld => self.read_jobs(String::new()),
            Outcome::Unknown => {
                self.failed_watches += 1;
                if self.failed_watches >= MAX_CONSECUTIVE_WATCH_FAILURES
                    && self.store_answered_since_watch
                {
                    self.failed_watches = 0;
                    self.read_jobs(String::new());
                } else {
                    self.watch();
                }
            }
            _ => self.watch(),
        }
    }
}
