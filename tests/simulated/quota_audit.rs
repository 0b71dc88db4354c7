//! The audit of what controllers and embedding programs have charged to the teams' limits together.

use lichencrank::storage::records::RunRecord;
use lichencrank_quota::leader::LEADER_CLIENT_NAME;
use lichencrank_quota::{AllowanceId, ClientName, Discrepancy, Ledger, ResourceVector, TeamName};
use lichencrank_store::{Item, Version};
use lichencrank_testkit::InMemoryStore;

/// Everything in the records that does not add up. After a leader of a version without the feature its charges
/// may exceed its allowance until the next leader has taken them in: unless `all_know_quota`, that is left
/// out.
pub fn differences(store: &InMemoryStore, all_know_quota: bool) -> Vec<String> {
    let differences = ledger(store).audit().into_iter();
    differences
        .filter(|difference| all_know_quota || !may_follow_from_earlier_leader(difference))
        .map(|difference| difference.to_string())
        .collect()
}

fn may_follow_from_earlier_leader(difference: &Discrepancy) -> bool {
    matches!(
        difference,
        Discrepancy::AllowanceExceeded { .. } | Discrepancy::LimitExceeded { .. }
    )
}

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
