//! Reading the records after an election, and following their changes.

use super::*;

impl LeaderDuties {
    pub(super) fn read_live(&mut self, after: String) {
        self.read_page(records::LIVE_PREFIX, after, |after| LeaderRequest::Live {
            after,
        });
    }

    fn read_runs(&mut self, after: String) {
        self.read_page(records::RUN_PREFIX, after, |after| LeaderRequest::Runs {
            after,
        });
    }

    /// Reads the next page of all records below a prefix.
    fn read_page(&mut self, prefix: &str, after: String, what: fn(String) -> LeaderRequest) {
        let ask = StoreRequest::List {
            prefix: prefix.to_owned(),
            after: after.clone(),
            limit: LOAD_PAGE,
        };
        self.pending
            .push((RequestClass::Records, ask, LOAD_LIMIT, what(after)));
    }

    pub(super) fn watch(&mut self) {
        let prefix = records::LIVE_PREFIX.to_owned();
        let ask = StoreRequest::Watch {
            prefix,
            after: self.watch_from,
            max_wait: WATCH_HOLD,
        };
        self.pending.push((
            RequestClass::Records,
            ask,
            WATCH_SLACK,
            LeaderRequest::Watch,
        ));
    }

    pub(in crate::node) fn on_outcome(
        &mut self,
        ask: LeaderRequest,
        outcome: Outcome,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        let _term = self.span.clone().entered();
        self.answered_meanwhile |= outcome.is_answer();
        match ask {
            LeaderRequest::Live { after } => match outcome {
                Outcome::Page(page) => self.on_live_page(after.is_empty(), page, now),
                _ => self.read_live(after),
            },
            LeaderRequest::Runs { after } => match outcome {
                Outcome::Page(page) => self.on_run_page(page, now),
                _ => self.read_runs(after),
            },
            LeaderRequest::Watch => self.on_watch(outcome, now),
            LeaderRequest::Batch => return self.controller.on_batch_outcome(outcome, now),
            LeaderRequest::RunRecordVersion(id) => {
                let version = match outcome {
                    Outcome::Item(item) => Some(item.map_or(Version(0), |i| i.version)),
                    _ => None,
                };
                self.controller.on_run_record_version(id, version);
            }
            LeaderRequest::Quota { prefix, after } => {
                self.on_quota_page(prefix, after, outcome, now)
            }
            LeaderRequest::QuotaTxn => return self.on_quota_txn(outcome),
            LeaderRequest::ZonesRecord => self.on_zones_record(outcome, now),
            LeaderRequest::ZonesTxn => return self.on_zones_txn(outcome, now),
            LeaderRequest::Types => self.types_written = matches!(outcome, Outcome::Committed(_)),
        }
        Ok(())
    }

    pub(super) fn take_job(&mut self, item: &Item) {
        let Some(id) = records::parse_live_key(&item.key) else {
            return;
        };
        if let Some(seen) = &mut self.seen {
            seen.insert(id);
        }
        if let Some(over) = records::unarchived_outcome(&item.value) {
            self.controller.on_outcome_record(id, over, item.version);
        } else if let Some(record) = item.record() {
            self.controller.on_job(record, item.version);
        }
    }

    pub(super) fn on_live_page(&mut self, first: bool, page: Page, now: Time) {
        if first {
            // Whatever changes from here on is news; the later pages may show some of it already.
            self.watch_from = page.revision;
            self.seen = Some(BTreeSet::new());
        }
        for item in &page.items {
            self.take_job(item);
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            self.read_live(last.key.clone());
            return;
        }
        let seen = self.seen.take().unwrap_or_default();
        if self.loaded {
            let gone: Vec<JobId> = self
                .controller
                .job_ids()
                .filter(|id| !seen.contains(id))
                .collect();
            for id in gone {
                self.controller.on_job_deleted(id, now);
            }
            self.watch();
        } else {
            self.read_runs(String::new());
        }
    }

    pub(super) fn on_run_page(&mut self, page: Page, now: Time) {
        for item in &page.items {
            let Some(id) = records::parse_run_key(&item.key) else {
                continue;
            };
            if let Some(record) = item.record() {
                self.controller
                    .on_run_record(id, &record, item.version, now);
            }
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            self.read_runs(last.key.clone());
            return;
        }
        self.loaded = true;
        self.controller.on_loaded(now);
        tracing::info!("records read: {}", self.controller.summary());
        self.watch();
    }

    pub(super) fn on_watch(&mut self, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::WatchEvents(news) => {
                self.failed_watches = 0;
                self.answered_meanwhile = false;
                self.watch_from = self.watch_from.max(news.revision);
                for event in news.events {
                    if let (Some(key), Some(value)) = (event.put_key, event.value) {
                        self.take_job(&Item {
                            key,
                            value,
                            version: event.version,
                        });
                    } else if let Some(id) = event
                        .deleted_key
                        .as_deref()
                        .and_then(records::parse_live_key)
                    {
                        self.controller.on_job_deleted(id, now);
                    }
                }
                self.watch();
            }
            Outcome::RevisionTooOld => self.read_live(String::new()),
            Outcome::Unknown => {
                self.failed_watches += 1;
                if self.failed_watches >= MAX_FAILED_WATCHES && self.answered_meanwhile {
                    self.failed_watches = 0;
                    self.read_live(String::new());
                } else {
                    self.watch();
                }
            }
            _ => self.watch(),
        }
    }
}
