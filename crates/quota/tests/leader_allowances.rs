//! The leader's allowances, with clients that share the team's limit.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::leader::LEADER_CLIENT_NAME;
use lichencrank_quota::records::KEY_PREFIX;
use lichencrank_quota::{
    ClientName, LeaderAllowances, QuotaPolicy, ResourceVector, TeamName, TeamWorkload,
};
use lichencrank_store::{ConditionalStore, Outcome, Request, Version};
use support::{admission_id, policy, team, Cluster};

/// Maximum number of changes in one transaction.
const MAX_CHANGES: usize = 4;
/// Maximum number of transactions until the records are in their target state.
const MAX_TRANSACTIONS: usize = 20;

/// A leader whose reads and writes complete immediately.
struct Leader {
    allowances: LeaderAllowances,
    workloads: BTreeMap<TeamName, TeamWorkload>,
}

impl Leader {
    fn new(term: u64, policy: QuotaPolicy) -> Leader {
        Leader {
            allowances: LeaderAllowances::new(term, policy),
            workloads: BTreeMap::new(),
        }
    }

    /// Sets the workload of a team: charged CPUs, and pending tasks of one CPU each.
    fn set_workload(&mut self, name: &str, charged_cpus: u64, pending_tasks: u64) {
        let workload = TeamWorkload {
            charged: ResourceVector::from_cpus(charged_cpus),
            pending: ResourceVector::from_cpus(pending_tasks),
            largest_pending_task: ResourceVector::from_cpus(pending_tasks.min(1)),
        };
        self.workloads.insert(team(name), workload);
    }

    fn read(&mut self, store: &mut dyn ConditionalStore) {
        self.allowances.begin_reading();
        let list = Request::List {
            prefix: KEY_PREFIX.to_owned(),
            after: String::new(),
            limit: 1000,
        };
        let page = match store.execute(&list) {
            Outcome::Page(page) => page,
            other => panic!("expected a page of records, got {other:?}"),
        };
        for item in &page.items {
            self.allowances.insert_item(item);
        }
        self.allowances.finish_reading();
    }

    /// Reads the records, and writes until they are in their target state.
    fn synchronize(&mut self, store: &mut dyn ConditionalStore) {
        self.read(store);
        for _ in 0..MAX_TRANSACTIONS {
            let Some(txn) = self
                .allowances
                .next_transaction(&self.workloads, MAX_CHANGES)
            else {
                return;
            };
            assert!(
                txn.changes.len() <= MAX_CHANGES,
                "too many changes: {txn:?}"
            );
            match store.execute(&Request::Txn(txn)) {
                Outcome::Committed(version) => self.allowances.on_committed(version),
                other => panic!("expected a commit, got {other:?}"),
            }
        }
        panic!("records still change after {MAX_TRANSACTIONS} transactions");
    }

    /// CPUs that may be charged to the team; 0 before the allowance is acquired.
    fn granted(&self, name: &str) -> ResourceVector {
        let granted = self.allowances.granted(&team(name)).unwrap_or_default();
        ResourceVector {
            gpus: ResourceVector::ZERO.gpus,
            ..granted
        }
    }
}

#[test]
fn leader_takes_all_that_is_free_and_gives_back_what_others_wait_for() {
    let policy = policy(None, &[("vision", 0, 20)]);
    let mut cluster = Cluster::new(2, policy.clone());
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, policy);
    assert_eq!(leader.allowances.granted(&team("vision")), None);
    leader.set_workload("vision", 6, 0);
    leader.synchronize(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(20));
    cluster.request(0, &admission_id("vision", 1, 1), 10.0);
    cluster.run_until_quiet();
    cluster.assert_running_count(0);
    leader.synchronize(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(10));
    cluster.run_until_quiet();
    cluster.assert_running_count(1);
    // The charged part of an allowance is never returned.
    leader.set_workload("vision", 10, 5);
    cluster.request(1, &admission_id("vision", 2, 1), 4.0);
    cluster.run_until_quiet();
    leader.synchronize(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(10));
    cluster.assert_running_count(1);
    cluster.assert_consistent();
}

/// Guards against writes by a leader that was replaced: the next leader acquires the allowances, so the
/// previous leader's transactions in flight are conditional on an outdated version and fail.
#[test]
fn next_leader_fences_off_the_previous_one() {
    let policy = policy(None, &[("vision", 0, 20)]);
    let cluster = Cluster::new(1, policy.clone());
    let mut store = cluster.shared.client(9);
    let mut first = Leader::new(4, policy.clone());
    first.synchronize(&mut store);
    let before = first.allowances.fence(&team("vision")).expect("acquired");
    let mut second = Leader::new(5, policy);
    second.read(&mut store);
    assert_eq!(second.allowances.granted(&team("vision")), None);
    assert_eq!(second.allowances.fence(&team("vision")), None);
    second.synchronize(&mut store);
    let after = second.allowances.fence(&team("vision")).expect("acquired");
    assert_eq!(after.key, before.key);
    assert!(
        after.version > before.version,
        "version {} after {}",
        after.version,
        before.version
    );
    first.read(&mut store);
    assert_eq!(first.allowances.fence(&team("vision")), None);
}

/// After a version without allowances, which allocated tasks above the limit: these allocations count
/// immediately, and other clients are granted nothing until the usage fits under the limit.
#[test]
fn allocations_without_allowances_are_charged() {
    let policy = policy(None, &[("vision", 0, 20)]);
    let mut cluster = Cluster::new(2, policy.clone());
    cluster.request(0, &admission_id("vision", 1, 1), 8.0);
    cluster.run_until_quiet();
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, policy);
    leader.set_workload("vision", 20, 3);
    leader.synchronize(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(20));
    cluster.is_excess_allowed = true;
    cluster.request(1, &admission_id("vision", 2, 1), 1.0);
    cluster.run_until_quiet();
    cluster.assert_running_count(1);
    // As allocations end, the leader's allowance shrinks to the rest of the limit, less the demand of the
    // waiting client.
    leader.set_workload("vision", 11, 0);
    leader.synchronize(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(11));
    cluster.run_until_quiet();
    cluster.assert_running_count(2);
}

/// With a limited capacity, the leader takes only what its work needs, and holds no unspent allowance that
/// another of its teams waits for.
#[test]
fn with_limited_capacity_a_leader_takes_what_it_needs() {
    let policy = policy(Some(40), &[("a", 10, 40), ("b", 10, 40)]);
    let cluster = Cluster::new(1, policy.clone());
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, policy);
    leader.set_workload("a", 0, 100);
    leader.set_workload("b", 0, 0);
    leader.synchronize(&mut store);
    assert_eq!(leader.granted("a"), ResourceVector::from_cpus(30));
    leader.set_workload("a", 12, 0);
    leader.set_workload("b", 0, 100);
    for _ in 0..4 {
        leader.synchronize(&mut store);
    }
    assert_eq!(leader.granted("a"), ResourceVector::from_cpus(12));
    assert_eq!(leader.granted("b"), ResourceVector::from_cpus(28));
    cluster.assert_consistent();
}

/// A leader's charges are in its own records. Other clients can't sum them up, so they must not reclaim its
/// allowance.
#[test]
fn allowances_of_a_leader_are_not_reclaimed() {
    let policy = policy(None, &[("vision", 0, 20)]);
    let mut cluster = Cluster::new(1, policy.clone());
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, policy);
    leader.synchronize(&mut store);
    let fence = leader.allowances.fence(&team("vision"));
    cluster.clients[0].reclaim(team("vision"), ClientName::new(LEADER_CLIENT_NAME));
    cluster.run_until_quiet();
    leader.read(&mut store);
    assert_eq!(leader.allowances.fence(&team("vision")), fence);
    let version = fence.map(|condition| condition.version);
    assert!(version > Some(Version::ABSENT), "{version:?}");
}
