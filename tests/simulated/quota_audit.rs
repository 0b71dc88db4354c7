//! Audits the quota records: what the controllers, and programs that embed the quota library, have charged to
//! the teams' limits in total.

use lichencrank::storage::records::RunRecord;
use lichencrank_quota::leader::LEADER_CLIENT_NAME;
use lichencrank_quota::{AllowanceId, ClientName, Discrepancy, Ledger, ResourceVector, TeamName};
use lichencrank_store::{Item, Version};
use lichencrank_testkit::InMemoryStore;

/// Describes each discrepancy in the records. A leader whose version doesn't support quota allocates without
/// charging its allowance, so its usage may exceed the allowance and the limit until the next leader has
/// accounted for it. Such discrepancies are reported only if `all_support_quota`.
pub fn discrepancies(store: &InMemoryStore, all_support_quota: bool) -> Vec<String> {
    let discrepancies = ledger(store).audit().into_iter();
    discrepancies
        .filter(|discrepancy| all_support_quota || !may_follow_from_earlier_leader(discrepancy))
        .map(|discrepancy| discrepancy.to_string())
        .collect()
}

/// Whether a leader without quota support can have caused the discrepancy.
fn may_follow_from_earlier_leader(discrepancy: &Discrepancy) -> bool {
    matches!(
        discrepancy,
        Discrepancy::AllowanceExceeded { .. } | Discrepancy::LimitExceeded { .. }
    )
}

/// The ledger of all quota records, with the usage of the leader's allocations according to the run records.
fn ledger(store: &InMemoryStore) -> Ledger {
    let mut ledger = Ledger::default();
    for (key, value) in store.values_with_prefix("quota/") {
        ledger.insert_item(&Item {
            key: key.to_owned(),
            value: value.clone(),
            version: Version(0),
        });
    }
    for (_, value) in store.values_with_prefix("run/") {
        let Ok(record) = value.deserialized::<RunRecord>() else {
            continue;
        };
        let team = TeamName::new(&record.team);
        let allowance = AllowanceId::new(&team, &ClientName::new(LEADER_CLIENT_NAME));
        let allocations = record.allocations.len() as u64;
        let usage =
            ResourceVector::rounded_up(record.cpus, record.gpus).saturating_mul(allocations);
        *ledger.external_charges.entry(allowance).or_default() += usage;
    }
    ledger
}
