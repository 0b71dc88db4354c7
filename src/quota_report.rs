//! What `lichencrank quota` shows: limits, guarantees, allowances and use, read from the state service.

use std::fmt::Write;
use std::time::Duration;

use lichencrank_quota::leader::LEADER_CLIENT_NAME;
use lichencrank_quota::records::TeamRecord;
use lichencrank_quota::{AllowanceId, ClientName, Ledger, ResourceVector, TeamName};
use lichencrank_store::{BlockingClient, ConditionalStore, Outcome, Request};

use crate::settings::Settings;
use crate::storage::records::{RunRecord, RUN_PREFIX};

/// How long an answer of the state service is awaited.
const PATIENCE: Duration = Duration::from_secs(5);
/// Run records read at once.
const PAGE: u32 = 200;

/// Reads everything and puts it into lines. The error says what could not be read.
pub fn report(settings: &Settings) -> Result<String, String> {
    let mut store = BlockingClient::new(settings.service_addresses.state_service, PATIENCE);
    let mut ledger = Ledger::read(&mut store).map_err(|error| error.to_string())?;
    add_bookings(&mut store, &mut ledger)?;
    Ok(render(&ledger))
}

/// The leader's charges are the allocations in the run records.
fn add_bookings(store: &mut dyn ConditionalStore, ledger: &mut Ledger) -> Result<(), String> {
    let mut after = String::new();
    loop {
        let list = Request::List {
            prefix: RUN_PREFIX.to_owned(),
            after: after.clone(),
            limit: PAGE,
        };
        let Outcome::Page(page) = store.execute(&list) else {
            return Err("the state service does not answer".into());
        };
        for item in &page.items {
            let Some(record) = item.record::<RunRecord>() else {
                continue;
            };
            let booked = record.allocations.len() as u64;
            let usage = ResourceVector::rounded_up(record.cpus, record.gpus).saturating_mul(booked);
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
        for want in &pool.unmet_demands {
            let _ = writeln!(out, "  team {} waits to borrow {}", want.team, want.amount);
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
        let state = if allowance.is_fenced {
            ", fenced off"
        } else {
            ""
        };
        let _ = writeln!(
            out,
            "  {client}: {} charged of {}, epoch {}{state}",
            ledger.charged(team, client),
            allowance.granted,
            allowance.epoch
        );
    }
    for want in &record.unmet_demands {
        let _ = writeln!(out, "  {} waits for {}", want.client, want.amount);
    }
}
