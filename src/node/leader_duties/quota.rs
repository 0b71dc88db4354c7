//! Reading and writing the quota records in the state service.

use super::*;

use lichencrank_quota::records::{ALLOWANCE_PREFIX, POOL_KEY, TEAM_PREFIX};

/// The prefixes of the quota records, in the order in which they are read.
const QUOTA_PREFIXES: [&str; 3] = [POOL_KEY, TEAM_PREFIX, ALLOWANCE_PREFIX];
/// Interval between checks whether quota records have to change. Each check goes through all jobs.
const QUOTA_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Changes that the quota of one team takes: the team's record, the allowance and the pool.
const CHANGES_PER_QUOTA_TXN: f64 = 3.0;

impl LeaderDuties {
    /// Reads the quota records at an interval, and writes due changes. Allocations are committed on condition of the
    /// records' versions, so no change is written while a batch of records is in flight.
    pub(super) fn update_quota(&mut self, write_rate_limit: &mut RateLimit, now: Time) {
        if self.leader.quota_policy().is_none() {
            return;
        }
        if self.leader.take_quota_reload_request() {
            self.quota_reload.due_at = now;
        }
        if self.quota_reload.start_if_due(now) {
            self.leader.begin_loading_quota();
            self.read_quota(0, String::new());
            return;
        }
        // The allocations are charged to the quota, so nothing is changed before their records are read.
        if now < self.quota_check_due_at || !self.is_loaded {
            return;
        }
        self.quota_check_due_at = now.after(QUOTA_CHECK_INTERVAL);
        let is_idle = !self.quota_reload.is_running && self.leader.is_write_idle();
        if !is_idle || write_rate_limit.available(now) < CHANGES_PER_QUOTA_TXN {
            return;
        }
        if let Some(txn) = self.leader.next_quota_txn() {
            self.quota_reload.is_running = true;
            let request = StoreRequest::Txn(txn);
            self.queued_requests.push((
                RequestClass::Records,
                request,
                RECORD_REQUEST_TIMEOUT,
                LeaderRequest::WriteQuota,
            ));
        }
    }

    /// Whether a change of quota records is in flight, whose new versions would make a batch fail.
    pub(super) fn is_writing_quota_changes(&self) -> bool {
        self.quota_reload.is_running && self.leader.is_writing_quota()
    }

    /// Reads the next page of the quota records below the prefix with this index.
    fn read_quota(&mut self, prefix_index: usize, after: String) {
        let request = StoreRequest::List {
            prefix: QUOTA_PREFIXES[prefix_index].to_owned(),
            after: after.clone(),
            limit: LOAD_PAGE_SIZE,
        };
        let leader_request = LeaderRequest::ReadQuota {
            prefix_index,
            after,
        };
        self.queued_requests
            .push((RequestClass::Records, request, LOAD_TIMEOUT, leader_request));
    }

    /// Handles a page of the quota records, and reads the next one.
    pub(super) fn on_quota_page(
        &mut self,
        prefix_index: usize,
        after: String,
        outcome: Outcome,
        now: Time,
    ) {
        let Outcome::Page(page) = outcome else {
            return self.read_quota(prefix_index, after);
        };
        for item in &page.items {
            self.leader.on_quota_item(item);
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            return self.read_quota(prefix_index, last.key.clone());
        }
        if prefix_index + 1 < QUOTA_PREFIXES.len() {
            return self.read_quota(prefix_index + 1, String::new());
        }
        self.quota_reload.is_running = false;
        self.quota_reload.due_at = now.after(QUOTA_RELOAD_INTERVAL);
        self.leader.on_quota_loaded();
    }

    /// Handles the outcome of writing quota records.
    pub(super) fn on_quota_txn(&mut self, outcome: Outcome) -> Result<(), LeadershipLost> {
        self.quota_reload.is_running = false;
        match outcome {
            Outcome::Committed(version) => self.leader.on_quota_committed(version),
            Outcome::Conflict(failed) if failed.iter().any(|key| key == records::LEADER_KEY) => {
                return Err(LeadershipLost(self.leader.term()));
            }
            // The transaction may have been committed, or may still be. The records' versions show which, and ensure
            // that it is committed only once.
            Outcome::Conflict(_) | Outcome::Unknown => {
                self.leader.on_quota_not_committed();
                self.leader.request_quota_reload();
            }
            _ => self.leader.on_quota_not_committed(),
        }
        Ok(())
    }
}
