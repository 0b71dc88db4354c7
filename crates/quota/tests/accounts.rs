//! The leader's accounts beside a holder that shares the team's limit with them.

mod support;

use std::collections::BTreeMap;

use lichencrank_quota::accounts::LEADER;
use lichencrank_quota::records::KEY_PREFIX;
use lichencrank_quota::{
    ClientName, Demand, LeaderAccounts, QuotaPolicy, ResourceVector, TeamName,
};
use lichencrank_store::{ConditionalStore, Outcome, Request, Version};
use support::{id, policy, request, team, Cluster};

/// One leader, which reads and writes at once.
struct Leader {
    accounts: LeaderAccounts,
    demands: BTreeMap<TeamName, Demand>,
}

impl Leader {
    fn new(term: u64, policy: QuotaPolicy) -> Leader {
        Leader {
            accounts: LeaderAccounts::new(term, policy),
            demands: BTreeMap::new(),
        }
    }

    fn uses(&mut self, name: &str, used: u64, waiting: u64) {
        let demand = Demand {
            used: ResourceVector::from_cpus(used),
            waiting: ResourceVector::from_cpus(waiting),
            front: ResourceVector::from_cpus(waiting.min(1)),
        };
        self.demands.insert(team(name), demand);
    }

    fn read(&mut self, store: &mut dyn ConditionalStore) {
        self.accounts.begin_reading();
        let list = Request::List {
            prefix: KEY_PREFIX.to_owned(),
            after: String::new(),
            limit: 1000,
        };
        let Outcome::Page(page) = store.execute(&list) else {
            panic!("no page");
        };
        for item in &page.items {
            self.accounts.take(item);
        }
        self.accounts.all_read();
    }

    /// Reads and writes until nothing has to change.
    fn keep(&mut self, store: &mut dyn ConditionalStore) {
        self.read(store);
        for _ in 0..20 {
            let Some(txn) = self.accounts.plan(&self.demands, 4) else {
                return;
            };
            assert!(txn.changes.len() <= 4, "{txn:?}");
            match store.execute(&Request::Txn(txn)) {
                Outcome::Committed(version) => self.accounts.committed(version),
                other => panic!("not written: {other:?}"),
            }
        }
        panic!("it never rests");
    }

    fn granted(&self, name: &str) -> ResourceVector {
        let granted = self.accounts.granted(&team(name)).unwrap_or_default();
        ResourceVector {
            gpus: ResourceVector::ZERO.gpus,
            ..granted
        }
    }
}

#[test]
fn a_leader_takes_all_that_is_free_and_gives_back_what_others_wait_for() {
    let rules = policy(None, &[("vision", 0, 20)]);
    let mut cluster = Cluster::new(2, rules.clone());
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, rules);
    assert_eq!(leader.accounts.granted(&team("vision")), None);
    leader.uses("vision", 6, 0);
    leader.keep(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(20));
    cluster.holders[0].request(request(&id("vision", 1, 1), 10.0));
    cluster.settle();
    assert!(cluster.running.is_empty());
    leader.keep(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(10));
    cluster.settle();
    assert_eq!(cluster.running.len(), 1);
    // What runs already is never given back.
    leader.uses("vision", 10, 5);
    cluster.holders[1].request(request(&id("vision", 2, 1), 4.0));
    cluster.settle();
    leader.keep(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(10));
    assert_eq!(cluster.running.len(), 1);
    assert_eq!(cluster.ledger().audit(), []);
}

/// The next leader claims the allowances: whatever the one before has under way depends on a version
/// that is no more.
#[test]
fn the_next_leader_fences_the_one_before() {
    let rules = policy(None, &[("vision", 0, 20)]);
    let cluster = Cluster::new(1, rules.clone());
    let mut store = cluster.shared.client(9);
    let mut first = Leader::new(4, rules.clone());
    first.keep(&mut store);
    let (key, before) = first.accounts.fence(&team("vision")).expect("claimed");
    let mut second = Leader::new(5, rules);
    second.read(&mut store);
    // Before it has claimed them nothing may be booked.
    assert_eq!(second.accounts.granted(&team("vision")), None);
    assert_eq!(second.accounts.fence(&team("vision")), None);
    second.keep(&mut store);
    let (same, after) = second.accounts.fence(&team("vision")).expect("claimed");
    assert_eq!(same, key);
    assert!(after > before);
    first.read(&mut store);
    assert_eq!(first.accounts.fence(&team("vision")), None);
}

/// A version that knows no allowances has booked above the limit: that counts at once, and others get
/// nothing before it fits.
#[test]
fn what_was_booked_without_allowances_counts() {
    let rules = policy(None, &[("vision", 0, 20)]);
    let mut cluster = Cluster::new(2, rules.clone());
    cluster.holders[0].request(request(&id("vision", 1, 1), 8.0));
    cluster.settle();
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, rules);
    leader.uses("vision", 20, 3);
    leader.keep(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(20));
    cluster.lenient = true;
    cluster.holders[1].request(request(&id("vision", 2, 1), 1.0));
    cluster.settle();
    assert_eq!(cluster.running.len(), 1);
    // As it ends, the leader's part shrinks to what is left of the limit.
    leader.uses("vision", 11, 0);
    leader.keep(&mut store);
    assert_eq!(leader.granted("vision"), ResourceVector::from_cpus(11));
    cluster.settle();
    assert_eq!(cluster.running.len(), 2);
}

/// With a capacity the leader takes what its work needs, and holds nothing that another of its teams
/// waits for.
#[test]
fn with_a_capacity_a_leader_takes_what_it_needs() {
    let rules = policy(Some(40), &[("a", 10, 40), ("b", 10, 40)]);
    let cluster = Cluster::new(1, rules.clone());
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, rules);
    leader.uses("a", 0, 100);
    leader.uses("b", 0, 0);
    leader.keep(&mut store);
    assert_eq!(leader.granted("a"), ResourceVector::from_cpus(30));
    leader.uses("a", 12, 0);
    leader.uses("b", 0, 100);
    for _ in 0..4 {
        leader.keep(&mut store);
    }
    assert_eq!(leader.granted("a"), ResourceVector::from_cpus(12));
    assert_eq!(leader.granted("b"), ResourceVector::from_cpus(28));
    assert_eq!(cluster.ledger().audit(), []);
}

/// A leader's charges are in its own records: nobody else can sum them up, so nobody reclaims them.
#[test]
fn nobody_reclaims_what_a_leader_holds() {
    let rules = policy(None, &[("vision", 0, 20)]);
    let mut cluster = Cluster::new(1, rules.clone());
    let mut store = cluster.shared.client(9);
    let mut leader = Leader::new(4, rules);
    leader.keep(&mut store);
    let fence = leader.accounts.fence(&team("vision"));
    cluster.holders[0].reclaim(team("vision"), ClientName::new(LEADER));
    cluster.settle();
    leader.read(&mut store);
    assert_eq!(leader.accounts.fence(&team("vision")), fence);
    assert!(fence.is_some_and(|(_, version)| version > Version::ABSENT));
}
