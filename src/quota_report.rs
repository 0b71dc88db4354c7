//! The output of `lichencrank quota`: limits, guarantees, allowances and usage of all teams, read from the state
//! service.

use std::fmt::Write;
use std::time::Duration;

use lichencrank_quota::leader::LEADER_CLIENT_NAME;
use lichencrank_quota::records::TeamRecord;
use lichencrank_quota::{AllowanceId, ClientName, Ledger, ResourceVector, TeamName};
use lichencrank_store::{BlockingClient, ConditionalStore, Outcome, Request};

use crate::settings::Settings;
use crate::storage::records::{RunRecord, RUN_PREFIX};

/// Timeout of a request to the state service.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of run records read per request.
const RUN_RECORDS_PER_PAGE: u32 = 200;

/// Reads the quota and run records and renders the report. The error says what could not be read.
pub fn report(settings: &Settings) -> Result<String, String> {
    let mut store = BlockingClient::new(settings.service_addresses.state_service, STORE_TIMEOUT);
    let mut ledger = Ledger::read(&mut store).map_err(|error| error.to_string())?;
    add_leader_charges(&mut store, &mut ledger)?;
    Ok(render(&ledger))
}

/// Adds the usage that the leader charges to its allowances, which is the sum of the allocations in the run records.
fn add_leader_charges(store: &mut dyn ConditionalStore, ledger: &mut Ledger) -> Result<(), String> {
    let mut after = String::new();
    loop {
        let list_request = Request::List {
            prefix: RUN_PREFIX.to_owned(),
            after: after.clone(),
            limit: RUN_RECORDS_PER_PAGE,
        };
        let Outcome::Page(page) = store.execute(&list_request) else {
            return Err("the state service does not answer".into());
        };
        for item in &page.items {
            let Some(record) = item.record::<RunRecord>() else {
                continue;
            };
            let allocation_count = record.allocations.len() as u64;
            let usage = ResourceVector::rounded_up(record.cpus, record.gpus)
                .saturating_mul(allocation_count);
            let team = TeamName::new(&record.team);
            let allowance = AllowanceId::new(&team, &ClientName::new(LEADER_CLIENT_NAME));
            *ledger.external_charges.entry(allowance).or_default() += usage;
        }
        match page.items.last() {
            Some(last) if page.has_more => after = last.key.clone(),
            _ => return Ok(()),
        }
    }
}

/// The lines of the report, which operators' tools read.
fn render(ledger: &Ledger) -> String {
    let mut out = String::new();
    if ledger.teams.is_empty() {
        out.push_str("no team has a record: the feature is off, or no leader has begun with it\n");
        return out;
    }
    if let Some(pool) = &ledger.pool {
        let _ = writeln!(
            out,
            "pool: capacity {}; {} guaranteed, {} lent beyond guarantees",
            pool.capacity, pool.total_guaranteed, pool.total_borrowed
        );
        for demand in &pool.unmet_demands {
            let _ = writeln!(
                out,
                "  team {} waits to borrow {}",
                demand.team, demand.amount
            );
        }
    }
    for (team, record) in &ledger.teams {
        render_team(&mut out, ledger, team, record);
    }
    let differences = ledger.audit();
    for difference in &differences {
        let _ = writeln!(out, "differs: {difference}");
    }
    if differences.is_empty() {
        out.push_str("audit: all totals agree with the admissions\n");
    }
    out
}

fn render_team(out: &mut String, ledger: &Ledger, team: &TeamName, record: &TeamRecord) {
    let _ = writeln!(
        out,
        "team {team}: uses {} of {}, {} guaranteed; {} told to end",
        ledger.used(team),
        record.limit,
        record.guarantee,
        ledger.revoked(team)
    );
    let allowances = ledger.allowances.iter();
    for (AllowanceId { client, .. }, allowance) in allowances.filter(|(id, _)| id.team == *team) {
        let fenced_suffix = if allowance.is_fenced {
            ", fenced off"
        } else {
            ""
        };
        let _ = writeln!(
            out,
            "  {client}: {} charged of {}, epoch {}{fenced_suffix}",
            ledger.charged(team, client),
            allowance.granted,
            allowance.epoch
        );
    }
    for demand in &record.unmet_demands {
        let _ = writeln!(out, "  {} waits for {}", demand.client, demand.amount);
    }
}
