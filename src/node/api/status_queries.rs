//! Questions about jobs: what is shared between them, so that many cost hardly more than a few. Nothing
//! here is an answer by itself but what the state service says after the question arrived.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{ApiAction, ApiRequestId, ApiServer, NodeView, Stage, StoreRequestPurpose};
use crate::storage::records::{self, parse_live_key, OutcomeRecord};
use crate::storage::store::{Outcome, RequestClass, StoreRequest};
use crate::types::{JobId, Time, Version};
use lichencrank_store::{Condition, Txn};

/// So many polls about jobs that this node does not know are answered by one read of all jobs.
const WORTH_LISTING: usize = 8;
const LIST_PAGE: u32 = 500;
/// Counts are shown for so long before they are read again, if the budget has some to spare.
const COUNTS_FOR: Duration = Duration::from_millis(2500);
/// Jobs that are not over whose versions are kept in memory.
const MAX_KNOWN: usize = 10_000;

/// What this node last read of a job that was not over. That alone is no answer, as it grows old;
/// but one comparison shows of many jobs at once whether they still stand as they were read.
pub(super) struct Known {
    live: Version,
    /// Finished and running tasks, for display.
    pub(super) counts: (u64, u64),
    pub(super) counted: Time,
}

/// A read of all jobs that are not over, for polls about jobs that this node does not know: after a
/// controller ended, its users come to the others all at once.
#[derive(Default)]
pub(super) struct Listing {
    asked: Vec<ApiRequestId>,
    /// What the pages so far held; with the final state of those that got done.
    seen: HashMap<JobId, Option<OutcomeRecord>>,
}

impl ApiServer {
    /// A job that was not over at that version of its record.
    pub(super) fn know(&mut self, id: JobId, live: Version) {
        let counts = (0, 0);
        let counted = Time::default();
        if self.known.len() >= MAX_KNOWN && !self.known.contains_key(&id) {
            // Whichever goes is read anew when it is asked about.
            if let Some(other) = self.known.keys().next().copied() {
                self.known.remove(&other);
            }
        }
        let known = self.known.entry(id).or_insert(Known {
            live,
            counts,
            counted,
        });
        known.live = live;
    }

    /// Polls about jobs that this node does not know: a few are read one by one.
    fn list_all(&mut self, unknown: Vec<ApiRequestId>) {
        if unknown.len() < WORTH_LISTING && self.listing.is_none() {
            for id in unknown {
                self.enter(id, Stage::ReadingLive);
            }
        } else if self.listing.is_none() {
            self.listing = Some(Listing {
                asked: unknown,
                ..Listing::default()
            });
            self.list_page(String::new());
        } else {
            // The listing under way may have passed them before they were asked about.
            self.comparisons.extend(unknown);
        }
    }

    fn list_page(&mut self, after: String) {
        let ask = StoreRequest::List {
            prefix: records::LIVE_PREFIX.to_owned(),
            after,
            limit: LIST_PAGE,
        };
        self.acts.push(ApiAction::SendStoreRequest(
            RequestClass::Read,
            ask,
            StoreRequestPurpose::JobListing,
        ));
    }

    pub(super) fn on_listing(&mut self, outcome: Outcome, view: &NodeView, now: Time) {
        let Some(mut listing) = self.listing.take() else {
            return;
        };
        let Outcome::Page(page) = outcome else {
            for id in listing.asked {
                self.unanswered(id, &outcome, view, now);
            }
            return;
        };
        for item in &page.items {
            if let Some(job) = parse_live_key(&item.key) {
                let over = records::unarchived_outcome(&item.value);
                listing.seen.insert(job, over);
                if over.is_none() {
                    self.know(job, item.version);
                }
            }
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            let after = last.key.clone();
            self.listing = Some(listing);
            return self.list_page(after);
        }
        for id in listing.asked {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let job = open.job;
            match listing.seen.get(&job).copied() {
                Some(Some(over)) => {
                    self.remember(job, over);
                    self.finish(id, Self::final_answer(job, over));
                }
                Some(None) => self.still_live(id, job, view, now),
                None => self.enter(id, Stage::ReadingOver),
            }
        }
    }

    /// One transaction that changes nothing tells of many jobs whether they stand as they were read.
    /// It begins after the questions arrived, so no answer is older than it may be.
    pub(super) fn compare_all(&mut self) {
        if self.comparing || self.comparisons.is_empty() {
            return;
        }
        let mut txn = Txn::default();
        let mut compared = BTreeSet::new();
        let mut ids = Vec::new();
        let mut unknown = Vec::new();
        for id in std::mem::take(&mut self.comparisons) {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let job = open.job;
            let Some(known) = self.known.get(&job) else {
                unknown.push(id);
                continue;
            };
            if !compared.contains(&job) {
                if compared.len() >= self.max_compared {
                    self.comparisons.push_back(id);
                    continue;
                }
                compared.insert(job);
                let (key, version) = (records::live_key(job), known.live);
                txn.conditions.push(Condition { key, version });
            }
            ids.push(id);
        }
        self.list_all(unknown);
        if !ids.is_empty() {
            self.comparing = true;
            self.acts.push(ApiAction::SendStoreRequest(
                RequestClass::Read,
                StoreRequest::Txn(txn),
                StoreRequestPurpose::VersionCheck(ids),
            ));
        }
    }

    pub(super) fn on_comparison(
        &mut self,
        ids: Vec<ApiRequestId>,
        outcome: Outcome,
        view: &NodeView,
        now: Time,
    ) {
        self.comparing = false;
        let changed = match &outcome {
            Outcome::Conflict(failed) => failed.iter().filter_map(|k| parse_live_key(k)).collect(),
            _ => BTreeSet::new(),
        };
        for id in ids {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let job = open.job;
            match &outcome {
                Outcome::Committed(_) => self.still_live(id, job, view, now),
                // Those that are not named need not be the others: they are compared again.
                Outcome::Conflict(_) if !changed.is_empty() && !changed.contains(&job) => {
                    self.enter(id, Stage::Comparing);
                }
                Outcome::Conflict(_) => {
                    self.known.remove(&job);
                    self.enter(id, Stage::ReadingLive);
                }
                _ => self.unanswered(id, &outcome, view, now),
            }
        }
    }

    /// The job's record was there a moment ago; what remains is how its tasks stand.
    fn still_live(&mut self, id: ApiRequestId, job: JobId, view: &NodeView, now: Time) {
        if self.finals.contains_key(&job) {
            return self.answer_progress(id, job, 0, 0);
        }
        let known = self.known.get(&job);
        let shown = known.map(|k| (k.counts, now.since(k.counted) < COUNTS_FOR));
        match ((view.leader_task_counts)(job), shown) {
            (Some((done, running)), _) => self.answer_progress(id, job, done, running),
            (None, Some(((done, running), fresh))) if fresh || !view.has_spare_store_budget => {
                self.answer_progress(id, job, done, running);
            }
            _ => self.enter(id, Stage::ReadingCounts),
        }
    }
}
