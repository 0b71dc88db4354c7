//! Several quota clients with a shared in-memory store, which is audited after every revision.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

mod checks;
mod cluster;

use std::time::Duration;

use lichencrank_quota::{
    AdmissionId, AdmissionRequest, ClientConfig, ClientName, Priority, QuotaPolicy, RequesterName,
    ResourceVector, TeamName, TeamPolicy,
};
use lichencrank_store::StoreLimits;
use lichencrank_testkit::Limits;

pub(crate) use cluster::Cluster;

const STORE_LIMITS: StoreLimits = StoreLimits {
    max_value_bytes: 16 * 1024,
    max_changes: 16,
    requests_per_second: 1e9,
    changes_per_second: 1e9,
};
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
const IDLE_RETURN_AFTER: Duration = Duration::from_secs(5);
const RECONFIRM_AFTER: Duration = Duration::from_secs(3);

fn service_limits() -> Limits {
    Limits {
        max_value_bytes: STORE_LIMITS.max_value_bytes,
        max_changes: STORE_LIMITS.max_changes,
    }
}

pub(crate) fn team(name: &str) -> TeamName {
    TeamName::new(name)
}

pub(crate) fn client_name(number: usize) -> ClientName {
    ClientName::new(&format!("controller-{number}"))
}

/// The id of an admission that a user, given by number, requests for a team.
pub(crate) fn admission_id(team_name: &str, user: usize, sequence: u32) -> AdmissionId {
    AdmissionId {
        team: team(team_name),
        requester: RequesterName::new(&format!("user-{user}")),
        sequence,
    }
}

pub(crate) fn admission_request(id: &AdmissionId, cpus: f64) -> AdmissionRequest {
    AdmissionRequest {
        id: id.clone(),
        usage: ResourceVector::rounded_up(cpus, 0.0),
        priority: Priority::Normal,
    }
}

fn client_config(number: usize, expected_clients: usize) -> ClientConfig {
    ClientConfig {
        name: client_name(number),
        store_limits: STORE_LIMITS,
        expected_clients: expected_clients as u64,
        refresh_interval: REFRESH_INTERVAL,
        idle_return_after: IDLE_RETURN_AFTER,
        reconfirm_after: RECONFIRM_AFTER,
    }
}

/// A policy with a capacity of `capacity_cpus`, unlimited if `None`. Each team is given by its name, its guarantee and
/// its limit, both in CPUs; a limit of 0 means no limit.
pub(crate) fn policy(capacity_cpus: Option<u64>, teams: &[(&str, u64, u64)]) -> QuotaPolicy {
    let teams = teams.iter().map(|(name, guarantee, limit)| {
        let policy = TeamPolicy {
            guarantee: ResourceVector::from_cpus(*guarantee),
            limit: ResourceVector::from_limit_settings(*limit as f64, 0.0),
        };
        (team(name), policy)
    });
    QuotaPolicy {
        capacity: capacity_cpus.map_or(ResourceVector::UNLIMITED, |cpus| ResourceVector {
            gpus: ResourceVector::UNLIMITED.gpus,
            ..ResourceVector::from_cpus(cpus)
        }),
        teams: teams.collect(),
    }
}
