//! Keeping the leader's accounts with the state service: reading them, and writing what changes.

use super::*;

use lichencrank_quota::records::{ALLOWANCE_PREFIX, POOL_KEY, TEAM_PREFIX};

/// What is read, one after the other.
const PREFIXES: [&str; 3] = [POOL_KEY, TEAM_PREFIX, ALLOWANCE_PREFIX];
/// How often is looked whether the accounts have to change: that goes through all jobs.
const ACCOUNTS_EVERY: Duration = Duration::from_millis(200);
/// Changes that one team of the accounts takes: its record, the allowance and the pool.
const QUOTA_CHANGES: f64 = 3.0;

impl LeaderDuties {
    /// Reads the accounts every so often, and writes what has to change. Bookings depend on the versions,
    /// so nothing is written while a batch is under way.
    pub(super) fn keep_accounts(&mut self, writes: &mut RateLimit, now: Time) {
        if self.controller.quota_policy().is_none() {
            return;
        }
        if self.controller.take_quota_reload_request() {
            self.quota.due = now;
        }
        if self.quota.starts(now) {
            self.controller.begin_loading_quota();
            self.read_quota(0, String::new());
            return;
        }
        // What is booked counts, so nothing changes before the records are read.
        if now < self.accounts_at || !self.loaded {
            return;
        }
        self.accounts_at = now.after(ACCOUNTS_EVERY);
        let free = !self.quota.busy && self.controller.is_write_idle();
        if !free || writes.available(now) < QUOTA_CHANGES {
            return;
        }
        if let Some(txn) = self.controller.next_quota_txn() {
            self.quota.busy = true;
            let ask = StoreRequest::Txn(txn);
            self.pending.push((
                RequestClass::Records,
                ask,
                BATCH_LIMIT,
                LeaderRequest::QuotaTxn,
            ));
        }
    }

    /// Whether a change of the accounts is under way, on whose versions a batch would fail.
    pub(super) fn is_changing_accounts(&self) -> bool {
        self.quota.busy && self.controller.is_writing_quota()
    }

    fn read_quota(&mut self, prefix: usize, after: String) {
        let ask = StoreRequest::List {
            prefix: PREFIXES[prefix].to_owned(),
            after: after.clone(),
            limit: LOAD_PAGE,
        };
        let what = LeaderRequest::Quota { prefix, after };
        self.pending
            .push((RequestClass::Records, ask, LOAD_LIMIT, what));
    }

    pub(super) fn on_quota_page(
        &mut self,
        prefix: usize,
        after: String,
        outcome: Outcome,
        now: Time,
    ) {
        let Outcome::Page(page) = outcome else {
            return self.read_quota(prefix, after);
        };
        for item in &page.items {
            self.controller.on_quota_item(item);
        }
        if let Some(last) = page.items.last().filter(|_| page.has_more) {
            return self.read_quota(prefix, last.key.clone());
        }
        if prefix + 1 < PREFIXES.len() {
            return self.read_quota(prefix + 1, String::new());
        }
        self.quota.busy = false;
        self.quota.due = now.after(QUOTA_EVERY);
        self.controller.on_quota_loaded();
    }

    pub(super) fn on_quota_txn(&mut self, outcome: Outcome) -> Result<(), LeadershipLost> {
        self.quota.busy = false;
        match outcome {
            Outcome::Committed(version) => self.controller.on_quota_committed(version),
            Outcome::Conflict(failed) if failed.iter().any(|key| key == records::LEADER_KEY) => {
                return Err(LeadershipLost(self.controller.term()));
            }
            // It may have been carried out, or may yet be: versions tell, and let it be so only once.
            Outcome::Conflict(_) | Outcome::Unknown => {
                self.controller.on_quota_not_committed();
                self.controller.request_quota_reload();
            }
            _ => self.controller.on_quota_not_committed(),
        }
        Ok(())
    }
}
