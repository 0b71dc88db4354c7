//! Taking in the outcome of an operation.

use std::time::Duration;

use lichencrank_store::{Item, Outcome, Page, Time, Version};

use super::operation::{Effect, Purpose, Write};
use super::pending_operation::Attempt;
use super::review::ReviewReason;
use super::QuotaClient;
use crate::ids::AllowanceId;
use crate::records::{Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// Pause after the store was unavailable.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(200);

/// A record from a page of keys.
#[derive(Clone, Debug)]
pub(super) struct PageRecord {
    pub(super) key: RecordKey,
    pub(super) version: Version,
    pub(super) record: Record,
}

impl QuotaClient {
    /// Takes in the outcome of the request that [`Self::poll`] gave last.
    pub fn on_outcome(&mut self, now: Time, outcome: Outcome) {
        self.now = self.now.max(now);
        let Some(attempt) = self.pending_operation.take_sent() else {
            return;
        };
        match attempt.operation.purpose.clone() {
            Purpose::Commit { writes, effect } => {
                self.on_commit_outcome(attempt, writes, effect, outcome);
            }
            purpose => self.on_read_outcome(purpose, outcome),
        }
    }

    fn on_commit_outcome(
        &mut self,
        attempt: Attempt,
        writes: Vec<Write>,
        effect: Effect,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Committed(version) => {
                for Write { key, record } in writes {
                    self.cache.insert(key, version, record);
                }
                let elapsed = self.now.since(attempt.first_sent_at);
                let is_late = elapsed > self.config.reconfirm_after;
                self.on_committed(effect, version, is_late);
            }
            Outcome::Conflict(failed) => {
                self.on_conflict(&failed, writes, &effect, attempt.is_retry);
            }
            Outcome::Unknown => self.pending_operation.retry(attempt),
            outcome => {
                self.pause(&outcome);
                if attempt.is_retry {
                    // This copy was not carried out, but an earlier one may have been.
                    self.pending_operation.retry(attempt);
                } else if matches!(outcome, Outcome::Invalid) {
                    tracing::error!("the store refuses a transaction for what it says");
                }
            }
        }
    }

    fn on_read_outcome(&mut self, purpose: Purpose, outcome: Outcome) {
        match (purpose, outcome) {
            (Purpose::Read(key), Outcome::Item(item)) => self.on_record(key, item.as_ref()),
            (Purpose::ScanCharges(allowance), Outcome::Page(page)) => {
                self.on_charges(&allowance, &page);
            }
            (Purpose::Sweep, Outcome::Page(page)) => {
                self.on_sweep_page(read_page(&page), next_key(&page));
            }
            (_, outcome) => self.pause(&outcome),
        }
    }

    /// A record that was read, or its absence, goes into the cache.
    fn on_record(&mut self, key: RecordKey, item: Option<&Item>) {
        let version = item.map_or(Version::ABSENT, |item| item.version);
        let record = item.and_then(|item| key.read_record(item));
        if let RecordKey::Allowance(id) = &key {
            self.check_ownership(id, record.as_ref());
        }
        self.cache.insert(key, version, record);
    }

    /// Sends nothing for a while, as the store did not carry out a request.
    fn pause(&mut self, outcome: &Outcome) {
        let pause = match outcome {
            Outcome::RateLimited { retry_after } => *retry_after,
            _ => UNAVAILABLE_PAUSE,
        };
        self.paused_until = self.now.after(pause);
    }

    /// A page of a team's charges was read.
    fn on_charges(&mut self, allowance: &AllowanceId, page: &Page) {
        let mut records = read_page(page);
        records.retain(|record| match &record.record {
            Record::Charge(charge) => charge.client == allowance.client,
            _ => false,
        });
        let next = next_key(page);
        if allowance.client == self.config.name {
            return self.on_own_charges(&allowance.team, records, next);
        }
        let usages = records.iter().map(|record| match &record.record {
            Record::Charge(charge) => charge.usage,
            _ => ResourceVector::ZERO,
        });
        self.on_charges_of_other(usages.sum(), next);
    }

    fn on_committed(&mut self, effect: Effect, version: Version, is_late: bool) {
        match effect {
            Effect::None => {}
            Effect::AllowanceAcquired { team, epoch } => self.on_acquired(&team, epoch),
            Effect::AllowanceGrown { team, reserved } => self.team_mut(&team).reserve(reserved),
            Effect::Charged(ids) => self.on_charged(ids, is_late),
            Effect::Released(ids) => self.on_releases_committed(ids),
            Effect::Fenced(allowance) => self.on_fenced(&allowance, version),
            Effect::Reclaimed => self.on_reclaimed(),
            Effect::Revoked(ids) => self.on_marked(&ids),
        }
    }

    /// Nothing was written, as the records of the `failed` keys have other versions. Where an earlier
    /// copy of the transaction had no answer, it may be that one which changed them.
    fn on_conflict(
        &mut self,
        failed: &[String],
        writes: Vec<Write>,
        effect: &Effect,
        is_retry: bool,
    ) {
        for key in failed.iter().filter_map(|path| RecordKey::parse(path)) {
            self.on_uncertain_record(key);
        }
        if is_retry {
            for write in writes {
                self.on_uncertain_record(write.key);
            }
        }
        if let Effect::Revoked(_) = effect {
            // An admission was released, or marked by another client: the next sweep tells.
            self.revocation_sweep.abort();
        }
    }

    /// What is cached of a record is outdated, or may be.
    fn on_uncertain_record(&mut self, key: RecordKey) {
        match key {
            RecordKey::Charge(id) => self.review(ReviewReason::UncertainOutcome, id),
            key => self.cache.invalidate(&key),
        }
    }
}

/// The records of a page that are any of this package.
fn read_page(page: &Page) -> Vec<PageRecord> {
    let records = page.items.iter().filter_map(|item| {
        let key = RecordKey::parse(&item.key)?;
        let record = key.read_record(item)?;
        Some(PageRecord {
            key,
            version: item.version,
            record,
        })
    });
    records.collect()
}

/// The key behind which the next page begins, if there is one.
fn next_key(page: &Page) -> Option<String> {
    let last = page.items.last().filter(|_| page.has_more);
    last.map(|item| item.key.clone())
}
