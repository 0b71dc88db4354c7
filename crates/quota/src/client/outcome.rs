//! Handling the outcomes of operations.

use std::time::Duration;

use lichencrank_store::{Item, Outcome, Page, Time, Version};

use super::operation::{CommitEffect, Purpose, RecordWrite};
use super::pending_operation::SentOperation;
use super::review::ReviewReason;
use super::QuotaClient;
use crate::ids::AllowanceId;
use crate::records::{Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// Pause before the next request after the store was unavailable.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(200);

/// A record in a page of a listing.
#[derive(Clone, Debug)]
pub(super) struct PageRecord {
    pub(super) key: RecordKey,
    pub(super) version: Version,
    pub(super) record: Record,
}

impl QuotaClient {
    /// Handles the outcome of the request that [`Self::poll`] returned last.
    pub fn on_outcome(&mut self, now: Time, outcome: Outcome) {
        self.now = self.now.max(now);
        let Some(sent) = self.pending_operation.take_sent() else {
            return;
        };
        match sent.operation.purpose.clone() {
            Purpose::Commit { writes, effect } => {
                self.on_commit_outcome(sent, writes, effect, outcome);
            }
            purpose => self.on_read_outcome(purpose, outcome),
        }
    }

    fn on_commit_outcome(
        &mut self,
        sent: SentOperation,
        writes: Vec<RecordWrite>,
        effect: CommitEffect,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Committed(version) => {
                for RecordWrite { key, record } in writes {
                    self.cache.insert(key, version, record);
                }
                let elapsed = self.now.since(sent.first_sent_at);
                let is_late = elapsed > self.config.reconfirm_after;
                self.on_committed(effect, version, is_late);
            }
            Outcome::Conflict(failed) => {
                self.on_conflict(&failed, writes, &effect, sent.is_retry);
            }
            Outcome::Unknown => self.pending_operation.retry(sent),
            outcome => {
                self.pause(&outcome);
                if sent.is_retry {
                    // This copy was not carried out, but an earlier copy may have been.
                    self.pending_operation.retry(sent);
                } else if matches!(outcome, Outcome::Invalid) {
                    tracing::error!("the store rejected a quota transaction as invalid");
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
                self.on_sweep_page(parse_page(&page), next_key(&page));
            }
            (_, outcome) => self.pause(&outcome),
        }
    }

    /// Caches a record that was read, or its absence.
    fn on_record(&mut self, key: RecordKey, item: Option<&Item>) {
        let version = item.map_or(Version::ABSENT, |item| item.version);
        let record = item.and_then(|item| key.read_record(item));
        if let RecordKey::Allowance(id) = &key {
            self.check_ownership(id, record.as_ref());
        }
        self.cache.insert(key, version, record);
    }

    /// Pauses requests after the store did not carry out one.
    fn pause(&mut self, outcome: &Outcome) {
        let pause = match outcome {
            Outcome::RateLimited { retry_after } => *retry_after,
            _ => UNAVAILABLE_PAUSE,
        };
        self.paused_until = self.now.after(pause);
    }

    /// Handles a page of a team's charges: those to the allowance are either this client's own or those of
    /// a client whose allowance is being reclaimed.
    fn on_charges(&mut self, allowance: &AllowanceId, page: &Page) {
        let mut records = parse_page(page);
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

    fn on_committed(&mut self, effect: CommitEffect, version: Version, is_late: bool) {
        match effect {
            CommitEffect::None => {}
            CommitEffect::AllowanceAcquired { team, epoch } => self.on_acquired(&team, epoch),
            CommitEffect::AllowanceGrown { team, reserved } => {
                self.team_mut(&team).reserve(reserved)
            }
            CommitEffect::Charged(ids) => self.on_charged(ids, is_late),
            CommitEffect::Released(ids) => self.on_releases_committed(ids),
            CommitEffect::Fenced(allowance) => self.on_fenced(&allowance, version),
            CommitEffect::Reclaimed => self.on_reclaimed(),
            CommitEffect::Revoked(ids) => self.on_marked(&ids),
        }
    }

    /// The transaction was not committed, because the records of the `failed` keys have other versions. If
    /// it is a retry, an earlier copy without a response may have changed them.
    fn on_conflict(
        &mut self,
        failed: &[String],
        writes: Vec<RecordWrite>,
        effect: &CommitEffect,
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
        if let CommitEffect::Revoked(_) = effect {
            // An admission was released, or marked by another client. The next sweep reads it again.
            self.revocation_sweep.abort();
        }
    }

    /// Drops or reviews a cached record that is, or may be, outdated.
    fn on_uncertain_record(&mut self, key: RecordKey) {
        match key {
            RecordKey::Charge(id) => self.review(ReviewReason::UncertainOutcome, id),
            key => self.cache.invalidate(&key),
        }
    }
}

/// Parses the records of a page. Items that are not records of this package are skipped.
fn parse_page(page: &Page) -> Vec<PageRecord> {
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

/// The key that the next page follows; `None` if this is the last page.
fn next_key(page: &Page) -> Option<String> {
    let last = page.items.last().filter(|_| page.has_more);
    last.map(|item| item.key.clone())
}
