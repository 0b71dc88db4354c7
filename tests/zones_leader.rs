//! What the leader decides while a zone is lost: who is given up first, what waits for proof, where
//! nothing is rented, and what the next leader continues with.

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
/// Machines of a zone.
const MACHINES: u64 = 8;

fn kind() -> MachineType {
    MachineType {
        name: "c8".into(),
        cpus: Amount(8.0),
        gpus: Amount(0.0),
        memory_gb: Amount(32.0),
        cache_gb: Amount(50.0),
        fetch_gb_per_s: Amount(1.0),
        on_demand_price: Amount(1.0),
        spot_price: Amount(0.3),
        boot_s: Amount(30.0),
        zones: vec!["a".into(), "b".into()],
    }
}

fn job(number: u64, priority: Priority, zone: Option<&str>) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: JobId(number),
            class: "any".into(),
            team: "team".into(),
            kind: JobKind::Array,
            priority,
            tasks: 1,
            cpus: Amount(8.0),
            gpus: Amount(0.0),
            memory_gb: Amount(1.0),
            image: "img".into(),
            image_gb: Amount(0.0),
            machine_types: None,
            zone: zone.map(str::to_owned),
            same_zone: false,
            spread: false,
            spot: true,
            estimate_s: Amount(600.0),
            checkpoint_s: Amount(0.0),
            save_s: Amount(0.0),
            deadline_s: None,
        },
        submitted_at_ms: 0,
        tasks_per_record: 100,
    }
}

fn name(zone: &str, number: u64) -> HostName {
    HostName::new(&format!("vm-{zone}-{number:04}"))
}

struct SimulatedLeader {
    controller: Leader,
    now: Time,
    tick: u64,
    revision: u64,
    /// Zones that are cut off.
    cut: Vec<&'static str>,
    /// Zones of which the leader reaches no controller.
    without_peer: Vec<String>,
    rented_in: Vec<String>,
    released: Vec<HostName>,
}

impl SimulatedLeader {
    fn new(features: &str) -> SimulatedLeader {
        let settings = Settings::parse(SETTINGS).expect("the settings here");
        let features = Features::parse(features).expect("the features here");
        let tuning = Tuning {
            idle_return_s: 86_400.0,
            ..Tuning::default()
        };
        let rules = Policy::new(&settings.settings, &tuning, &features);
        let mut controller = Leader::new(TERM, Version(1), rules, vec![kind()], Time(0));
        controller.set_lease_valid_until(Time(u64::MAX));
        controller.on_zones_record_read(None, Time(0));
        controller.on_loaded(Time(0));
        let mut leader = SimulatedLeader {
            controller,
            now: Time(0),
            tick: 0,
            revision: 10,
            cut: Vec::new(),
            without_peer: Vec::new(),
            rented_in: Vec::new(),
            released: Vec::new(),
        };
        leader.pass(9);
        leader
    }

    /// So many seconds pass; machines that are not cut off report every three.
    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = Time(self.now.0 + 1000);
            if self.now.0 % 3000 == 0 {
                self.reports();
            }
            let reach = |zone: &str| {
                if self.cut.contains(&zone) {
                    ControllerReach::Unreachable
                } else {
                    ControllerReach::Reachable
                }
            };
            let controllers = ["a", "b"].map(|zone| (zone.to_owned(), reach(zone)));
            let without_peer = self.without_peer.clone();
            self.controller
                .set_controller_reach(without_peer, controllers.into());
            self.controller.tick(self.now, self.now.0);
            self.write();
            self.act();
        }
    }

    fn reports(&mut self) {
        self.tick += 1;
        let cut = self.cut.clone();
        for zone in ["a", "b"].into_iter().filter(|z| !cut.contains(z)) {
            for number in 0..MACHINES {
                let host = name(zone, number);
                if !self.released.contains(&host) {
                    self.report(zone, host);
                }
            }
        }
    }

    fn report(&mut self, zone: &str, host: HostName) {
        let booked = self.controller.cluster().hosts().get(&host);
        let bookings = booked.into_iter().flat_map(|h| h.allocations.iter());
        let tasks = bookings.map(|(task, booking)| AttemptStatus {
            task: *task,
            attempt: booking.attempt,
            state: AttemptState::Running,
            end_reason: None,
        });
        let report = WorkerHeartbeat {
            host,
            address: "127.0.0.1:9000".into(),
            machine_type: "c8".into(),
            zone: zone.into(),
            spot: true,
            incarnation: Incarnation(1),
            sequence: SequenceNumber(self.tick),
            fencing_token: TERM,
            notice_s: None,
            tasks: tasks.collect(),
        };
        self.controller
            .on_heartbeat(&report, self.now)
            .expect("its term");
    }

    fn write(&mut self) {
        while let Some(txn) = self.controller.next_batch(16, true) {
            assert!(!txn.conditions.is_empty());
            self.revision += 1;
            let outcome = Outcome::Committed(Version(self.revision));
            self.controller
                .on_batch_outcome(outcome, self.now)
                .expect("its term");
        }
    }

    fn act(&mut self) {
        for action in self.controller.take_actions() {
            match action {
                Action::ScaleOut(rental) => self.rented_in.push(rental.zone),
                Action::ScaleIn(hosts) => self.released.extend(hosts),
                Action::ForceRelease(_) | Action::SendCommands { .. } => {}
            }
        }
    }

    fn submit(&mut self, number: u64, priority: Priority, zone: Option<&str>) {
        self.revision += 1;
        self.controller
            .on_job(job(number, priority, zone), Version(self.revision));
    }

    fn waiting(&self, number: u64) -> u32 {
        self.controller.cluster().jobs()[&JobId(number)].waiting_count()
    }

    fn host_of(&self, number: u64) -> HostName {
        let job = &self.controller.cluster().jobs()[&JobId(number)];
        job.allocated_hosts().next().expect("booked").clone()
    }

    fn fill_zone_b(&mut self) {
        for number in 1..=MACHINES {
            // Every other job is urgent.
            let priority = if number % 2 == 0 {
                Priority::High
            } else {
                Priority::Normal
            };
            self.submit(number, priority, Some("b"));
            self.submit(50 + number, Priority::Normal, Some("a"));
        }
        self.pass(6);
        assert!((1..=MACHINES).all(|number| self.waiting(number) == 0));
    }
}

const ON: &str = "zones: {enabled: true}";

/// The budget of eight machines is two at once and six a minute: urgent machines take all of it first.
#[test]
fn urgent_work_is_given_up_first_and_within_the_budget() {
    let mut leader = SimulatedLeader::new(ON);
    leader.fill_zone_b();
    leader.cut.push("b");
    leader.pass(46);
    let urgent: Vec<HostName> = [2, 4, 6, 8].map(|n| leader.host_of(n)).into();
    assert_eq!(leader.released.len(), 2, "{:?}", leader.released);
    assert!(leader.released.iter().all(|host| urgent.contains(host)));
    leader.pass(20);
    assert_eq!(leader.released.len(), 4, "{:?}", leader.released);
    assert!(leader.released.iter().all(|host| urgent.contains(host)));
    // A zone that never returns is emptied at that rate.
    leader.pass(60);
    assert_eq!(leader.released.len(), MACHINES as usize);
}

/// Without the feature all go in one pass, as before.
#[test]
fn without_the_feature_all_are_given_up_after_three_leases() {
    let mut leader = SimulatedLeader::new("");
    leader.fill_zone_b();
    leader.cut.push("b");
    leader.pass(46);
    assert_eq!(leader.released.len(), 0);
    leader.pass(6);
    assert_eq!(leader.released.len(), MACHINES as usize);
}

/// A booking ends by proof: the task waits until the cloud has confirmed that its machine is gone.
#[test]
fn displaced_work_waits_for_the_release_of_its_machine() {
    let mut leader = SimulatedLeader::new(ON);
    leader.fill_zone_b();
    leader.cut.push("b");
    leader.pass(46);
    let released = leader.released.clone();
    let displaced: Vec<u64> = (1..=MACHINES)
        .filter(|number| released.contains(&leader.host_of(*number)))
        .collect();
    assert_eq!(displaced.len(), 2);
    assert!(displaced.iter().all(|number| leader.waiting(*number) == 0));
    leader
        .controller
        .on_release_result(&released, false, leader.now);
    assert!(displaced.iter().all(|number| leader.waiting(*number) == 0));
    leader
        .controller
        .on_release_result(&released, true, leader.now);
    assert!(displaced.iter().all(|number| leader.waiting(*number) == 1));
}

/// What is heard again before it was released keeps its tasks; the rest of the zone is not given up.
#[test]
fn machines_that_are_heard_again_keep_their_tasks() {
    let mut leader = SimulatedLeader::new(ON);
    leader.fill_zone_b();
    leader.cut.push("b");
    leader.pass(46);
    let released = leader.released.len();
    leader.cut.clear();
    leader.pass(60);
    assert_eq!(leader.released.len(), released);
    let hosts = leader.controller.cluster().hosts().values();
    let up = hosts.filter(|h| h.zone == "b" && h.lifecycle == HostLifecycle::Up);
    assert_eq!(up.count(), MACHINES as usize - released);
}

#[test]
fn nothing_is_rented_in_a_lost_zone() {
    let mut leader = SimulatedLeader::new(ON);
    leader.fill_zone_b();
    leader.cut.push("b");
    leader.pass(14);
    for number in 100..130 {
        leader.submit(number, Priority::High, None);
    }
    leader.pass(10);
    assert!(!leader.rented_in.is_empty());
    assert!(leader.rented_in.iter().all(|zone| zone == "a"));
}

#[test]
fn the_next_leader_reads_what_this_one_recorded() {
    let mut leader = SimulatedLeader::new(ON);
    leader.fill_zone_b();
    assert!(leader.controller.next_zones_record(leader.now).is_none());
    leader.cut.push("b");
    leader.pass(14);
    let record = leader.controller.next_zones_record(leader.now);
    let record: ZonesRecord = record.expect("a change of state");
    let lost = |zone: &&lichencrank_zones::record::ZoneRecord| zone.state == ZoneState::Lost;
    assert_eq!(record.zones.iter().filter(lost).count(), 1);
    // A write without an answer is made again, a confirmed one is not.
    leader.controller.on_zones_record_written(false, leader.now);
    leader.pass(2);
    assert!(leader.controller.next_zones_record(leader.now).is_some());
    leader.controller.on_zones_record_written(true, leader.now);
    leader.pass(2);
    assert!(leader.controller.next_zones_record(leader.now).is_none());
    let mut next = SimulatedLeader::new(ON);
    next.cut.push("b");
    next.controller
        .on_zones_record_read(Some(&record), next.now);
    assert!(next.controller.tracks_zones());
}

/// Machines that the cloud calls running can't report from a cut zone, least of all to a new leader: that
/// they have not done so does not mean that they never booted.
#[test]
fn a_new_leader_does_not_take_machines_of_a_cut_zone_for_unbooted() {
    let mut leader = SimulatedLeader::new("");
    leader.cut.push("b");
    leader.without_peer.push("b".to_owned());
    let unheard = name("b", 99);
    let listed = ListedHost {
        name: unheard.clone(),
        address: "127.0.0.1:9000".into(),
        machine_type: "c8".into(),
        zone: "b".into(),
        spot: true,
        state: ListedHostState::Running,
        age_s: Amount(300.0),
    };
    leader.controller.on_host_list(&[listed], leader.now);
    leader.pass(40);
    assert!(!leader.released.contains(&unheard));
    leader.pass(20);
    assert!(leader.released.contains(&unheard));
}
