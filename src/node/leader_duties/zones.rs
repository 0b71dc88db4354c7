//! Reading and writing the zones record, from which the next leader continues.

use lichencrank_zones::record::KEY as ZONES_KEY;
use lichencrank_zones::ZonesRecord;

use super::*;

/// Changes in a transaction that writes the zones record.
const CHANGES_PER_ZONES_TXN: f64 = 1.0;

impl LeaderDuties {
    /// Reads the record that the previous leader wrote.
    pub(super) fn read_zones_record(&mut self) {
        if !self.leader.tracks_zones() {
            return;
        }
        let request = StoreRequest::Get(ZONES_KEY.to_owned());
        let leader_request = LeaderRequest::ReadZonesRecord;
        self.queued_requests
            .push((RequestClass::Records, request, LOAD_TIMEOUT, leader_request));
    }

    /// Handles the zones record that was read; reads it again if that failed.
    pub(super) fn on_zones_record(&mut self, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Item(item) => {
                let version = item.as_ref().map_or(Version(0), |item| item.version);
                self.zones_record_version = Some(version);
                let record = item.and_then(|item| item.record::<ZonesRecord>());
                self.leader.on_zones_record_read(record.as_ref(), now);
            }
            _ => self.read_zones_record(),
        }
    }

    /// Writes the zones record after a change of a zone's state, on condition that this controller leads. An earlier
    /// write that is carried out late fails on the version.
    pub(super) fn update_zones_record(&mut self, write_rate_limit: &mut RateLimit, now: Time) {
        if !self.is_loaded || write_rate_limit.available(now) < CHANGES_PER_ZONES_TXN {
            return;
        }
        let Some(version) = self.zones_record_version else {
            return;
        };
        let Some(record) = self.leader.next_zones_record(now) else {
            return;
        };
        let mut txn = Txn::default();
        let leader_key_version = self.leader.leader_key_version();
        txn.require(records::LEADER_KEY.to_owned(), leader_key_version);
        txn.require(ZONES_KEY.to_owned(), version);
        txn.changes
            .push(Change::put(ZONES_KEY.to_owned(), value(&record)));
        self.is_writing_zones_record = true;
        let request = StoreRequest::Txn(txn);
        let leader_request = LeaderRequest::WriteZonesRecord;
        self.queued_requests.push((
            RequestClass::Records,
            request,
            RECORD_REQUEST_TIMEOUT,
            leader_request,
        ));
    }

    /// Handles the outcome of writing the zones record.
    pub(super) fn on_zones_txn(
        &mut self,
        outcome: Outcome,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        self.is_writing_zones_record = false;
        let is_written = matches!(outcome, Outcome::Committed(_));
        self.leader.on_zones_record_written(is_written, now);
        match outcome {
            Outcome::Committed(version) => self.zones_record_version = Some(version),
            Outcome::Conflict(failed) if failed.iter().any(|key| key == records::LEADER_KEY) => {
                return Err(LeadershipLost(self.leader.term()));
            }
            // The transaction may have been committed, or may still be.
            Outcome::Conflict(_) | Outcome::Unknown => {
                self.zones_record_version = None;
                self.read_zones_record();
            }
            _ => {}
        }
        Ok(())
    }
}
