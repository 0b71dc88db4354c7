//! Keeping the record of the zones: what the next leader continues with.

use lichencrank_zones::record::KEY;
use lichencrank_zones::ZonesRecord;

use super::*;

/// One record is written.
const CHANGES: f64 = 1.0;

impl LeaderDuties {
    /// Reads what the earlier leader recorded.
    pub(super) fn read_zones_record(&mut self) {
        if !self.controller.tracks_zones() {
            return;
        }
        let ask = StoreRequest::Get(KEY.to_owned());
        let what = LeaderRequest::ZonesRecord;
        self.pending
            .push((RequestClass::Records, ask, LOAD_LIMIT, what));
    }

    pub(super) fn on_zones_record(&mut self, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Item(item) => {
                let version = item.as_ref().map_or(Version(0), |item| item.version);
                self.zones_version = Some(version);
                let record = item.and_then(|item| item.record::<ZonesRecord>());
                self.controller.on_zones_record(record.as_ref(), now);
            }
            _ => self.read_zones_record(),
        }
    }

    /// Writes the record after a change of state, on condition that this node leads. An earlier write
    /// that is carried out late fails on the version.
    pub(super) fn keep_zones_record(&mut self, writes: &mut RateLimit, now: Time) {
        if !self.loaded || writes.available(now) < CHANGES {
            return;
        }
        let Some(version) = self.zones_version else {
            return;
        };
        let Some(record) = self.controller.next_zones_record(now) else {
            return;
        };
        let mut txn = Txn::default();
        let holder = self.controller.leader_key_version();
        txn.require(records::LEADER_KEY.to_owned(), holder);
        txn.require(KEY.to_owned(), version);
        txn.changes
            .push(Change::put(KEY.to_owned(), value(&record)));
        let ask = StoreRequest::Txn(txn);
        let what = LeaderRequest::ZonesTxn;
        self.pending
            .push((RequestClass::Records, ask, BATCH_LIMIT, what));
    }

    pub(super) fn on_zones_txn(
        &mut self,
        outcome: Outcome,
        now: Time,
    ) -> Result<(), LeadershipLost> {
        let written = matches!(outcome, Outcome::Committed(_));
        self.controller.on_zones_recorded(written, now);
        match outcome {
            Outcome::Committed(version) => self.zones_version = Some(version),
            Outcome::Conflict(failed) if failed.iter().any(|key| key == records::LEADER_KEY) => {
                return Err(LeadershipLost(self.controller.term()));
            }
            // It may have been carried out, or may yet be.
            Outcome::Conflict(_) | Outcome::Unknown => {
                self.zones_version = None;
                self.read_zones_record();
            }
            _ => {}
        }
        Ok(())
    }
}
