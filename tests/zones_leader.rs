//! The leader's decisions while a zone is lost: which hosts are released first, when their tasks are placed again, where
//! nothing is provisioned, and what the next leader reads from the record.

use lichencrank::coordination::cluster::host::HostLifecycle;
use lichencrank::coordination::{Action, Leader, Policy};
use lichencrank::features::Features;
use lichencrank::protocol::cloud::{ListedHost, ListedHostState, MachineType};
use lichencrank::protocol::users::{JobKind, JobSpec, Priority};
use lichencrank::protocol::workers::{AttemptState, AttemptStatus, WorkerHeartbeat};
use lichencrank::protocol::Amount;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::storage::records::JobRecord;
use lichencrank::storage::store::Outcome;
use lichencrank::types::{HostName, Incarnation, JobId, SequenceNumber, Term, Time, Version};
use lichencrank_zones::{ControllerReach, ZoneState, ZonesRecord};

const TERM: Term = Term(3);
const SETTINGS: &str = r#"{
    "host_name": "node-0", "area": "a", "front": "127.0.0.1:1", "internal_addr": "127.0.0.1:2",
    "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "settings": {
        "zones": ["a", "b"],
        "teams": [{"name": "team", "cpus": 1000.0, "cpus_max": 0.0}],
        "workers": {"report_s": 3.0, "lease_s": 16.0, "cancel_s": 41.0},
        "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 10.0}, "resources": {"sockets": 500}
    }
}"#;
/// The number of hosts in each zone.
const HOSTS_PER_ZONE: u64 = 8;

fn machine_type() -> MachineType {
    MachineType {
        name: "c8".into(),
        cpus: Amount(8.0),
        gpus: Amount(0.0),
        memory_gb: Amount(32.0),
        image_cache_gb: Amount(50.0),
        image_fetch_gb_per_s: Amount(1.0),
        on_demand_price_per_hour: Amount(1.0),
        spot_price_per_hour: Amount(0.3),
        boot_time_s: Amount(30.0),
        zones: vec!["a".into(), "b".into()],
    }
}

fn job_record(number: u64, priority: Priority, zone: Option<&str>) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JobId(number),
            class: "any".into(),
            team: "team".into(),
            kind: JobKind::Array,
            priority,
            task_count: 1,
            cpus: Amount(8.0),
            gpus: Amount(0.0),
            memory_gb: Amount(1.0),
            image: "img".into(),
            image_gb: Amount(0.0),
            allowed_machine_types: None,
            required_zone: zone.map(str::to_owned),
            same_zone: false,
            spread: false,
            allows_spot: true,
            estimated_run_time_s: Amount(600.0),
            checkpoint_interval_s: Amount(0.0),
            save_time_s: Amount(0.0),
            deadline_s: None,
        },
        submitted_at_ms: 0,
        tasks_per_record: 100,
    }
}

fn host_name(zone: &str, number: u64) -> HostName {
    HostName::new(&format!("vm-{zone}-{number:04}"))
}

/// A leader with simulated hosts and a simulated store.
struct LeaderSimulation {
    leader: Leader,
    now: Time,
    heartbeat_sequence: u64,
    store_version: u64,
    /// Partitioned zones: no heartbeat from there arrives.
    partitioned_zones: Vec<&'static str>,
    /// Zones in which the leader reaches no controller.
    zones_without_peer: Vec<String>,
    /// The zone of each provisioning request.
    provisioned_zones: Vec<String>,
    released_hosts: Vec<HostName>,
}

impl LeaderSimulation {
    fn new(features: &str) -> LeaderSimulation {
        let settings = Settings::parse(SETTINGS).expect("the settings of the test are valid");
        let features = Features::parse(features).expect("the features of the test are valid");
        let tuning = Tuning {
            idle_release_s: 86_400.0,
            ..Tuning::default()
        };
        let policy = Policy::new(&settings.shared, &tuning, &features);
        let mut leader = Leader::new(TERM, Version(1), policy, vec![machine_type()], Time(0));
        leader.set_lease_valid_until(Time(u64::MAX));
        leader.on_zones_record_read(None, Time(0));
        leader.on_loaded(Time(0));
        let mut simulation = LeaderSimulation {
            leader,
            now: Time(0),
            heartbeat_sequence: 0,
            store_version: 10,
            partitioned_zones: Vec::new(),
            zones_without_peer: Vec::new(),
            provisioned_zones: Vec::new(),
            released_hosts: Vec::new(),
        };
        simulation.advance(9);
        simulation
    }

    /// Advances the time by `seconds`. Hosts outside of partitioned zones send a heartbeat every three seconds.
    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = Time(self.now.0 + 1000);
            if self.now.0 % 3000 == 0 {
                self.send_heartbeats();
            }
            let reach = |zone: &str| {
                if self.partitioned_zones.contains(&zone) {
                    ControllerReach::Unreachable
                } else {
                    ControllerReach::Reachable
                }
            };
            let reach_by_zone = ["a", "b"].map(|zone| (zone.to_owned(), reach(zone)));
            let zones_without_peer = self.zones_without_peer.clone();
            self.leader
                .set_controller_reach(zones_without_peer, reach_by_zone.into());
            self.leader.tick(self.now, self.now.0);
            self.commit_batches();
            self.record_actions();
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeat_sequence += 1;
        let partitioned_zones = self.partitioned_zones.clone();
        for zone in ["a", "b"]
            .into_iter()
            .filter(|zone| !partitioned_zones.contains(zone))
        {
            for number in 0..HOSTS_PER_ZONE {
                let host = host_name(zone, number);
                if !self.released_hosts.contains(&host) {
                    self.send_heartbeat(zone, host);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, zone: &str, host: HostName) {
        let known_host = self.leader.cluster().hosts().get(&host);
        let allocations = known_host
            .into_iter()
            .flat_map(|host| host.allocations.iter());
        let attempts = allocations.map(|(task, allocation)| AttemptStatus {
            task: *task,
            attempt: allocation.attempt,
            state: AttemptState::Running,
            end_reason: None,
        });
        let heartbeat = WorkerHeartbeat {
            host,
            address: "127.0.0.1:9000".into(),
            machine_type: "c8".into(),
            zone: zone.into(),
            is_spot: true,
            incarnation: Incarnation(1),
            sequence_number: SequenceNumber(self.heartbeat_sequence),
            fencing_token: TERM,
            reclaim_notice_s: None,
            attempts: attempts.collect(),
        };
        self.leader
            .on_heartbeat(&heartbeat, self.now)
            .expect("the leader still leads");
    }

    fn commit_batches(&mut self) {
        while let Some(txn) = self.leader.next_batch(16, true) {
            assert!(!txn.conditions.is_empty());
            self.store_version += 1;
            let outcome = Outcome::Committed(Version(self.store_version));
            self.leader
                .on_batch_outcome(outcome, self.now)
                .expect("the leader still leads");
        }
    }

    fn record_actions(&mut self) {
        for action in self.leader.take_actions() {
            match action {
                Action::ScaleOut(request) => self.provisioned_zones.push(request.zone),
                Action::ScaleIn(hosts) => self.released_hosts.extend(hosts),
                Action::ForceRelease(_) | Action::SendCommands { .. } => {}
            }
        }
    }

    fn submit(&mut self, number: u64, priority: Priority, zone: Option<&str>) {
        self.store_version += 1;
        self.leader.on_job_record(
            job_record(number, priority, zone),
            Version(self.store_version),
        );
    }

    fn waiting_task_count(&self, number: u64) -> u32 {
        self.leader.cluster().jobs()[&JobId(number)].waiting_count()
    }

    fn host_of(&self, number: u64) -> HostName {
        let job = &self.leader.cluster().jobs()[&JobId(number)];
        job.allocated_hosts()
            .next()
            .expect("the task is allocated")
            .clone()
    }

    /// Fills both zones with jobs: those with the numbers from 1 to [`HOSTS_PER_ZONE`] run in zone b.
    fn fill_zones(&mut self) {
        for number in 1..=HOSTS_PER_ZONE {
            // Every second job in zone b is urgent.
            let priority = if number % 2 == 0 {
                Priority::High
            } else {
                Priority::Normal
            };
            self.submit(number, priority, Some("b"));
            self.submit(50 + number, Priority::Normal, Some("a"));
        }
        self.advance(6);
        assert!((1..=HOSTS_PER_ZONE).all(|number| self.waiting_task_count(number) == 0));
    }
}

/// The features with zone tracking enabled.
const ZONES_ENABLED: &str = "zones: {enabled: true}";

/// The displacement budget of a zone with eight hosts is two hosts at once and six per minute. Hosts with urgent tasks use
/// it first, as a delay costs their tasks most.
#[test]
fn hosts_with_urgent_tasks_are_released_first_and_within_the_budget() {
    let mut simulation = LeaderSimulation::new(ZONES_ENABLED);
    simulation.fill_zones();
    simulation.partitioned_zones.push("b");
    simulation.advance(46);
    let urgent_hosts: Vec<HostName> = [2, 4, 6, 8].map(|n| simulation.host_of(n)).into();
    assert_eq!(
        simulation.released_hosts.len(),
        2,
        "{:?}",
        simulation.released_hosts
    );
    assert!(simulation
        .released_hosts
        .iter()
        .all(|host| urgent_hosts.contains(host)));
    simulation.advance(20);
    assert_eq!(
        simulation.released_hosts.len(),
        4,
        "{:?}",
        simulation.released_hosts
    );
    assert!(simulation
        .released_hosts
        .iter()
        .all(|host| urgent_hosts.contains(host)));
    // All hosts of a zone that does not return are released at the rate of the budget.
    simulation.advance(60);
    assert_eq!(simulation.released_hosts.len(), HOSTS_PER_ZONE as usize);
}

/// Without zone tracking all hosts of a partitioned zone are released at once after three leases.
#[test]
fn without_zone_tracking_all_hosts_are_released_after_three_leases() {
    let mut simulation = LeaderSimulation::new("");
    simulation.fill_zones();
    simulation.partitioned_zones.push("b");
    simulation.advance(46);
    assert_eq!(simulation.released_hosts.len(), 0);
    simulation.advance(6);
    assert_eq!(simulation.released_hosts.len(), HOSTS_PER_ZONE as usize);
}

/// An allocation ends only when its task has provably ended: the task is placed again only after the cloud has confirmed
/// the release of its host. Otherwise two attempts at it could run at the same time.
#[test]
fn displaced_tasks_wait_for_the_confirmed_release_of_their_host() {
    let mut simulation = LeaderSimulation::new(ZONES_ENABLED);
    simulation.fill_zones();
    simulation.partitioned_zones.push("b");
    simulation.advance(46);
    let released_hosts = simulation.released_hosts.clone();
    let displaced_jobs: Vec<u64> = (1..=HOSTS_PER_ZONE)
        .filter(|number| released_hosts.contains(&simulation.host_of(*number)))
        .collect();
    assert_eq!(displaced_jobs.len(), 2);
    assert!(displaced_jobs
        .iter()
        .all(|number| simulation.waiting_task_count(*number) == 0));
    simulation
        .leader
        .on_release_result(&released_hosts, false, simulation.now);
    assert!(displaced_jobs
        .iter()
        .all(|number| simulation.waiting_task_count(*number) == 0));
    simulation
        .leader
        .on_release_result(&released_hosts, true, simulation.now);
    assert!(displaced_jobs
        .iter()
        .all(|number| simulation.waiting_task_count(*number) == 1));
}

/// A host whose heartbeats arrive again before it was released stays and keeps its tasks: once the zone is back, none of
/// its remaining hosts is released.
#[test]
fn hosts_whose_heartbeats_return_keep_their_tasks() {
    let mut simulation = LeaderSimulation::new(ZONES_ENABLED);
    simulation.fill_zones();
    simulation.partitioned_zones.push("b");
    simulation.advance(46);
    let released_count = simulation.released_hosts.len();
    simulation.partitioned_zones.clear();
    simulation.advance(60);
    assert_eq!(simulation.released_hosts.len(), released_count);
    let hosts = simulation.leader.cluster().hosts().values();
    let up_in_zone_b = hosts.filter(|h| h.zone == "b" && h.lifecycle == HostLifecycle::Up);
    assert_eq!(
        up_in_zone_b.count(),
        HOSTS_PER_ZONE as usize - released_count
    );
}

/// The heartbeats of a host in a lost zone don't reach the leader, so waiting tasks need hosts in other zones.
#[test]
fn nothing_is_provisioned_in_a_lost_zone() {
    let mut simulation = LeaderSimulation::new(ZONES_ENABLED);
    simulation.fill_zones();
    simulation.partitioned_zones.push("b");
    simulation.advance(14);
    for number in 100..130 {
        simulation.submit(number, Priority::High, None);
    }
    simulation.advance(10);
    assert!(!simulation.provisioned_zones.is_empty());
    assert!(simulation.provisioned_zones.iter().all(|zone| zone == "a"));
}

#[test]
fn the_zones_record_is_written_on_changes_and_read_by_the_next_leader() {
    let mut simulation = LeaderSimulation::new(ZONES_ENABLED);
    simulation.fill_zones();
    assert!(simulation
        .leader
        .next_zones_record(simulation.now)
        .is_none());
    simulation.partitioned_zones.push("b");
    simulation.advance(14);
    let record = simulation.leader.next_zones_record(simulation.now);
    let record: ZonesRecord = record.expect("a zone changed its state");
    let is_lost = |zone: &&lichencrank_zones::record::ZoneRecord| zone.state == ZoneState::Lost;
    assert_eq!(record.zones.iter().filter(is_lost).count(), 1);
    // A write that is not known to have been committed is repeated; a committed one is not.
    simulation
        .leader
        .on_zones_record_written(false, simulation.now);
    simulation.advance(2);
    assert!(simulation
        .leader
        .next_zones_record(simulation.now)
        .is_some());
    simulation
        .leader
        .on_zones_record_written(true, simulation.now);
    simulation.advance(2);
    assert!(simulation
        .leader
        .next_zones_record(simulation.now)
        .is_none());
    let mut next_simulation = LeaderSimulation::new(ZONES_ENABLED);
    next_simulation.partitioned_zones.push("b");
    next_simulation
        .leader
        .on_zones_record_read(Some(&record), next_simulation.now);
    assert!(next_simulation.leader.tracks_zones());
}

/// Hosts in a partitioned zone cannot send heartbeats to a new leader, even if the cloud lists them as running. The leader
/// must not conclude that they never booted, and release them early.
#[test]
fn a_new_leader_does_not_take_hosts_of_a_partitioned_zone_for_unbooted() {
    let mut simulation = LeaderSimulation::new("");
    simulation.partitioned_zones.push("b");
    simulation.zones_without_peer.push("b".to_owned());
    let silent_host = host_name("b", 99);
    let listed = ListedHost {
        name: silent_host.clone(),
        address: "127.0.0.1:9000".into(),
        machine_type: "c8".into(),
        zone: "b".into(),
        is_spot: true,
        state: ListedHostState::Running,
        age_s: Amount(300.0),
    };
    simulation.leader.on_host_list(&[listed], simulation.now);
    simulation.advance(40);
    assert!(!simulation.released_hosts.contains(&silent_host));
    simulation.advance(20);
    assert!(simulation.released_hosts.contains(&silent_host));
}
