//! The machines: the cloud that rents them, the worker on each, and what happens between them and the
//! controllers.

mod heartbeat_copies;
mod messages;
mod rental;

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;

use super::checker::Observation;
use super::clock::SimTime;
use super::cloud::Cloud;
use super::context::Context;
use super::controllers::Controllers;
use super::deployment::Deployment;
use super::faults::FaultWindow;
use super::history::Mark;
use super::ids::{JobId, NodeIndex};
use super::network::Network;
use super::script::command::{HostFault, ReplicaEnd};
use super::users::Users;
use super::worker::{MachineSpec, Worker};
use heartbeat_copies::HeartbeatCopies;
use messages::observe_tasks;

/// A machine boots in this share of the usual time at least, and in so much more at random.
const LEAST_BOOT_SHARE: f64 = 0.6;
const BOOT_SHARE_SPREAD: f64 = 0.9;
const LEAST_IMAGE_LOAD_TIME: Duration = Duration::from_millis(300);
const IMAGE_LOAD_SPREAD_MS: u64 = 900;
const MACHINES_IN_A_SUBNET: usize = 250;

/// What the machines deal with.
pub struct Surroundings<'a> {
    /// Time, random numbers, history and checker.
    pub context: &'a mut Context,
    /// The network.
    pub network: &'a Network,
    /// The controllers.
    pub controllers: &'a Controllers,
    /// The users, who know their tasks and learn that they end.
    pub users: &'a mut Users,
}

/// All machines.
pub struct Fleet {
    cloud: Cloud,
    /// The workers of the machines that are there, by the machines' names.
    workers: BTreeMap<String, Worker>,
    machine_types: Value,
    controller_count: usize,
    boot_time: Duration,
    heartbeat_interval: Duration,
    worker_lease: Duration,
    /// Whether releases in isolated zones are judged.
    judges_zone_releases: bool,
    heartbeat_copies: HeartbeatCopies,
}

impl Fleet {
    /// No machines yet.
    pub fn new(deployment: &Deployment) -> Fleet {
        Fleet {
            cloud: Cloud::new(deployment.rentable_machines, deployment.machine_list_lag),
            workers: BTreeMap::new(),
            machine_types: deployment.machine_types(),
            controller_count: deployment.controller_count,
            boot_time: deployment.boot_time,
            heartbeat_interval: deployment.heartbeat_interval,
            worker_lease: deployment.worker_lease,
            judges_zone_releases: deployment.tracks_zones,
            heartbeat_copies: HeartbeatCopies::new(deployment.worker_lease),
        }
    }

    /// The cloud.
    pub fn cloud_mut(&mut self) -> &mut Cloud {
        &mut self.cloud
    }

    /// The machine whose worker is at that address.
    pub fn find_by_address(&self, address: &str) -> Option<&MachineSpec> {
        let mut specs = self.workers.values().map(Worker::spec);
        specs.find(|spec| spec.address == address)
    }

    /// The zone of a machine that is there.
    pub fn zone_of(&self, host: &str) -> Option<&str> {
        let worker = self.workers.get(host)?;
        Some(&worker.spec().zone)
    }

    /// How many machines are in a zone.
    pub fn machine_count(&self, zone: &str) -> usize {
        self.workers_in(zone).count()
    }

    fn workers_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Worker> {
        let workers = self.workers.values();
        workers.filter(move |worker| worker.spec().zone == zone)
    }
}

/// Machines come and go.
impl Fleet {
    /// Rents a machine that is up at once.
    pub fn add_machine_that_is_up(&mut self, context: &mut Context, zone: &str) {
        self.add_machine(context, zone, false, Some(Duration::ZERO));
    }

    fn add_machine(
        &mut self,
        context: &mut Context,
        zone: &str,
        is_spot: bool,
        boot_time: Option<Duration>,
    ) -> String {
        let now = context.now();
        let boot_time = boot_time.unwrap_or_else(|| self.random_boot_time(context));
        let number = self.cloud.rental_count();
        let subnet = number / MACHINES_IN_A_SUBNET;
        let spec = MachineSpec {
            host: format!("vm-{number:06}"),
            address: format!("10.1.{subnet}.{}:9000", 1 + number % MACHINES_IN_A_SUBNET),
            zone: zone.to_owned(),
            is_spot,
        };
        let image_load_time =
            LEAST_IMAGE_LOAD_TIME + context.random_millis(0..IMAGE_LOAD_SPREAD_MS);
        let first_controller = NodeIndex(context.random().usize(0..self.controller_count));
        let up_at = now + boot_time;
        self.cloud.add(spec.clone(), now, up_at);
        let host = spec.host.clone();
        let worker = Worker::new(spec, up_at, image_load_time, first_controller);
        self.workers.insert(host.clone(), worker);
        host
    }

    fn random_boot_time(&self, context: &mut Context) -> Duration {
        let share = LEAST_BOOT_SHARE + BOOT_SHARE_SPREAD * context.random().f64();
        let random = scaled(self.boot_time, share);
        self.cloud.fixed_boot_time().unwrap_or(random)
    }

    /// The machine and all on it are gone.
    fn remove_machine(&mut self, surroundings: &mut Surroundings, host: &str) {
        let now = surroundings.context.now();
        if let Some(mut worker) = self.workers.remove(host) {
            worker.shut_down();
            observe_tasks(surroundings, &mut worker);
            let gone = Observation::HostGone(host.to_owned());
            surroundings.context.observe(gone);
        }
        self.cloud.remove(host, now);
    }
}

/// Faults.
impl Fleet {
    /// Copies of heartbeats that arrive late.
    pub fn heartbeat_copies_mut(&mut self) -> &mut HeartbeatCopies {
        &mut self.heartbeat_copies
    }

    /// The machines that hold tasks of a job stand still.
    pub fn pause_machines_of(&mut self, job: JobId, window: FaultWindow) {
        let workers = self.workers.values_mut();
        for worker in workers.filter(|worker| worker.tasks().holds_job(job)) {
            worker.faults_mut().pause = window;
        }
    }

    /// Replicas of services end by themselves, each with that probability.
    pub fn end_replicas(&mut self, context: &mut Context, end: ReplicaEnd, probability: f64) {
        for worker in self.workers.values_mut() {
            let ended_count = worker.end_replicas(end, probability, context.random());
            for _ in 0..ended_count {
                context.mark(Mark::ReplicaEnded);
            }
        }
    }

    /// Some machines are at fault until that time: each with that probability, in one zone or in all.
    pub fn inject(
        &mut self,
        surroundings: &mut Surroundings,
        fault: HostFault,
        probability: f64,
        zone: Option<&str>,
        until: SimTime,
    ) {
        for host in self.hosts() {
            let Some(worker) = self.workers.get_mut(&host) else {
                continue;
            };
            let is_elsewhere = zone.is_some_and(|zone| zone != worker.spec().zone);
            if is_elsewhere || surroundings.context.random().f64() >= probability {
                continue;
            }
            let window = FaultWindow::until(until);
            match fault {
                HostFault::Pause => worker.faults_mut().pause = window,
                HostFault::InboundLoss => worker.faults_mut().inbound_loss = window,
                HostFault::OutboundLoss => worker.faults_mut().outbound_loss = window,
                HostFault::Isolation => worker.faults_mut().isolation = window,
                HostFault::Crash => self.remove_machine(surroundings, &host),
                HostFault::PreemptionNotice => {
                    worker.give_notice(until);
                    surroundings.context.mark(Mark::PreemptionNotice);
                }
                HostFault::FailingTasks => worker.faults_mut().failing_tasks = window,
            }
        }
    }
}

/// A share of a duration, cut to whole milliseconds.
fn scaled(duration: Duration, factor: f64) -> Duration {
    let milliseconds = duration.as_millis() as f64 * factor;
    Duration::from_millis(milliseconds as u64)
}
