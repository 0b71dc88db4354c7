//! What the outcome of an operation changes.

use lichencrank_store::{Item, Outcome, Page, Time, Version};
use std::time::Duration;

use super::account::{Claim, Loading};
use super::enforce;
use super::operation::{Effect, Flight, Operation, Purpose};
use super::{QuotaClient, QuotaEvent};
use crate::admission::AdmissionEvent;
use crate::ids::{AdmissionId, AllowanceId, TeamName};
use crate::records::{Record, RecordKey};
use crate::resource_vector::ResourceVector;

/// After a refusal nothing is sent for this long.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

impl QuotaClient {
    /// Takes what became of the request that was sent last.
    pub fn on_outcome(&mut self, now: Time, outcome: Outcome) {
        self.now = self.now.max(now);
        let Flight::Sent {
            operation,
            since,
            repeated,
        } = std::mem::take(&mut self.flight)
        else {
            return;
        };
        let Purpose::Commit { writes, effect } = operation.purpose.clone() else {
            return self.on_read(operation, outcome);
        };
        match outcome {
            Outcome::Committed(version) => {
                for (key, record) in writes {
                    self.cache.put(key, version, record);
                }
                let late = self.now.since(since) > self.config.reconfirm_after;
                self.on_committed(effect, version, late);
            }
            Outcome::Conflict(failed) => self.on_conflict(&failed, writes, effect, repeated),
            Outcome::Unknown => self.flight = Flight::Repeat { operation, since },
            other => {
                self.back_off(&other);
                if repeated {
                    // This one was not carried out, but an earlier copy may have been.
                    self.flight = Flight::Repeat { operation, since };
                } else if matches!(other, Outcome::Invalid) {
                    tracing::error!("the store refuses a transaction for what it says");
                }
            }
        }
    }

    fn back_off(&mut self, outcome: &Outcome) {
        let pause = match outcome {
            Outcome::RateLimited { retry_after } => *retry_after,
            _ => REFUSED_PAUSE,
        };
        self.pause_until = self.now.after(pause);
    }

    // ---- reads

    fn on_read(&mut self, operation: Operation, outcome: Outcome) {
        match (operation.purpose, outcome) {
            (Purpose::Read(key), Outcome::Item(item)) => self.on_item(key, item.as_ref()),
            (Purpose::Load(loading), Outcome::Page(page)) => self.on_open_page(&loading, &page),
            (Purpose::Survey, Outcome::Page(page)) => self.on_survey_page(&page),
            (_, outcome) => self.back_off(&outcome),
        }
    }

    fn on_item(&mut self, key: RecordKey, item: Option<&Item>) {
        let version = item.map_or(Version::ABSENT, |item| item.version);
        let record = item.and_then(|item| key.read_record(item));
        if let RecordKey::Allowance(AllowanceId { team, client }) = &key {
            let epoch = match &record {
                Some(Record::Allowance(allowance)) => Some(allowance.epoch),
                _ => None,
            };
            if *client == self.config.name {
                self.check_claim(team, epoch);
            }
        }
        self.cache.put(key, version, record);
    }

    /// Whether the allowance is still ours: another process of this name, or one that had given us up,
    /// may have been there.
    fn check_claim(&mut self, team: &TeamName, in_store: Option<u64>) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        let ours = match account.claim {
            Claim::Held { epoch } | Claim::Loading { epoch, .. } => epoch,
            Claim::None => return,
        };
        if in_store != Some(ours) {
            account.enter(team, Claim::None);
        }
    }

    fn on_open_page(&mut self, loading: &Loading, page: &Page) {
        let own = loading.holder == self.config.name;
        let mut found = ResourceVector::ZERO;
        for (key, version, record) in read_page(page) {
            let (RecordKey::Charge(id), Record::Charge(open)) = (&key, &record) else {
                continue;
            };
            if open.client != loading.holder {
                continue;
            }
            found += open.usage;
            if own {
                self.account(&loading.team).seen.insert(id.clone());
                self.see_own_open(id, open);
                self.cache.put(key, version, Some(record));
            }
        }
        let next = next_key(page);
        if own {
            self.own_page_read(&loading.team, next);
        } else {
            self.collected_page(found, next);
        }
    }

    fn own_page_read(&mut self, team: &TeamName, next: Option<String>) {
        let account = self.account(team);
        let Claim::Loading { epoch, .. } = account.claim else {
            return;
        };
        if let Some(after) = next {
            account.claim = Claim::Loading { epoch, after };
            return;
        }
        let seen = std::mem::take(&mut account.seen);
        account.enter(team, Claim::Held { epoch });
        let of_team = self.admissions.iter().filter(|(id, _)| id.team == *team);
        let counted = of_team.filter(|(id, a)| a.state.is_charged() && !seen.contains(id));
        let settled: Vec<AdmissionId> = counted.map(|(id, _)| id.clone()).collect();
        for id in settled {
            self.found_settled(&id);
        }
    }

    fn on_survey_page(&mut self, page: &Page) {
        self.surveyed(read_page(page), next_key(page));
    }

    // ---- commits

    fn on_committed(&mut self, effect: Effect, version: Version, late: bool) {
        match effect {
            Effect::None => {}
            Effect::Claimed { team, epoch } => {
                self.account(&team).epochs.insert(epoch);
                self.begin_loading(&team, epoch);
            }
            Effect::Lent { team, usage } => self.account(&team).earmarked += usage,
            Effect::Charged(ids) => self.charged_now(ids, late),
            Effect::Released(ids) => {
                for id in ids {
                    self.released_now(id);
                }
            }
            Effect::Fenced { team, holder } => {
                tracing::info!("team {team}: {holder} is fenced off");
                self.fenced(version);
            }
            Effect::Collected { .. } => self.end_collection(true),
            Effect::Revoked(ids) => {
                self.marked(&ids);
                for id in ids {
                    self.see_revocation(&id);
                }
            }
        }
    }

    fn charged_now(&mut self, ids: Vec<AdmissionId>, late: bool) {
        for id in ids {
            self.change(&id, AdmissionEvent::ChargeCommitted);
            if self.releasing.contains(&id) {
                self.change(&id, AdmissionEvent::EndProven);
            } else if late {
                self.cache.forget(&RecordKey::Charge(id.clone()));
                self.unconfirmed.insert(id);
            } else {
                self.decisions.push(QuotaEvent::Admitted(id));
            }
        }
    }

    fn released_now(&mut self, id: AdmissionId) {
        self.releasing.remove(&id);
        self.cache.forget(&RecordKey::Charge(id.clone()));
        match self.state(&id) {
            Some(state) if state.is_charged() => self.found_settled(&id),
            _ => self.decisions.push(QuotaEvent::Released(id)),
        }
    }

    /// Nothing was written now. Where an earlier copy of the transaction had no answer, it may be that
    /// one which changed the versions.
    fn on_conflict(
        &mut self,
        failed: &[String],
        writes: Vec<(RecordKey, Option<Record>)>,
        effect: Effect,
        repeated: bool,
    ) {
        for key in failed.iter().filter_map(|path| RecordKey::parse(path)) {
            self.cache.forget(&key);
            if let RecordKey::Charge(id) = key {
                self.suspects.insert(id);
            }
        }
        if repeated {
            for (key, _) in writes {
                self.cache.forget(&key);
                if let RecordKey::Charge(id) = key {
                    self.suspects.insert(id);
                }
            }
        }
        if let Effect::Revoked(_) = effect {
            // Settled, or marked by somebody else: the next survey tells.
            self.enforcement.step = enforce::Step::Rest;
        }
    }
}

fn read_page(page: &Page) -> Vec<(RecordKey, Version, Record)> {
    let read = page.items.iter().filter_map(|item| {
        let key = RecordKey::parse(&item.key)?;
        let record = key.read_record(item)?;
        Some((key, item.version, record))
    });
    read.collect()
}

/// Behind which key the next page begins, if there is one.
fn next_key(page: &Page) -> Option<String> {
    let last = page.items.last().filter(|_| page.more);
    last.map(|item| item.key.clone())
}
