//! The hosts: the cloud that provisions them, the worker on each, and their messages to and from the controllers.

mod command_copies;
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
use super::worker::{HostSpec, Worker};
use command_copies::CommandCopies;
use heartbeat_copies::HeartbeatCopies;
use messages::observe_tasks;

/// The boot time of a host is that of the deployment times a random factor, which is at least `MIN_BOOT_TIME_SHARE` and
/// less than the sum of both constants.
const MIN_BOOT_TIME_SHARE: f64 = 0.6;
const BOOT_TIME_SHARE_SPREAD: f64 = 0.9;
const MIN_IMAGE_LOAD_TIME: Duration = Duration::from_millis(300);
const IMAGE_LOAD_SPREAD_MS: u64 = 900;
const HOSTS_PER_SUBNET: usize = 250;

/// The other components of the simulation that hosts interact with.
pub struct FleetEnvironment<'a> {
    /// Time, random numbers, history and checker.
    pub context: &'a mut Context,
    /// The network.
    pub network: &'a Network,
    /// The controllers.
    pub controllers: &'a Controllers,
    /// The users, who know the profiles of tasks and are told when tasks complete.
    pub users: &'a mut Users,
}

/// All hosts with their workers, and the cloud.
pub struct Fleet {
    cloud: Cloud,
    /// The workers of all present hosts, by the hosts' names.
    workers: BTreeMap<String, Worker>,
    machine_types: Value,
    controller_count: usize,
    boot_time: Duration,
    heartbeat_interval: Duration,
    worker_lease: Duration,
    /// Whether the checker judges releases in isolated zones.
    checks_zone_releases: bool,
    heartbeat_copies: HeartbeatCopies,
    command_copies: CommandCopies,
}

impl Fleet {
    /// A fleet without hosts. The seed determines which commands to workers are copied.
    pub fn new(deployment: &Deployment, seed: u64) -> Fleet {
        Fleet {
            cloud: Cloud::new(deployment.host_capacity, deployment.host_list_lag),
            workers: BTreeMap::new(),
            machine_types: deployment.machine_types(),
            controller_count: deployment.controller_count,
            boot_time: deployment.boot_time,
            heartbeat_interval: deployment.heartbeat_interval,
            worker_lease: deployment.worker_lease,
            checks_zone_releases: deployment.tracks_zones,
            heartbeat_copies: HeartbeatCopies::new(deployment.worker_lease),
            command_copies: CommandCopies::new(seed),
        }
    }

    /// The cloud.
    pub fn cloud_mut(&mut self) -> &mut Cloud {
        &mut self.cloud
    }

    /// The host whose worker has the given address.
    pub fn find_by_address(&self, address: &str) -> Option<&HostSpec> {
        let mut specs = self.workers.values().map(Worker::spec);
        specs.find(|spec| spec.address == address)
    }

    /// The zone of a present host.
    pub fn zone_of(&self, host: &str) -> Option<&str> {
        let worker = self.workers.get(host)?;
        Some(&worker.spec().zone)
    }

    /// The number of present hosts in a zone.
    pub fn host_count(&self, zone: &str) -> usize {
        self.workers_in(zone).count()
    }

    fn workers_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Worker> {
        let workers = self.workers.values();
        workers.filter(move |worker| worker.spec().zone == zone)
    }
}

/// Adding and removing hosts.
impl Fleet {
    /// Adds an on-demand host that is up at once.
    pub fn add_running_host(&mut self, context: &mut Context, zone: &str) {
        self.add_host(context, zone, false, Some(Duration::ZERO));
    }

    fn add_host(
        &mut self,
        context: &mut Context,
        zone: &str,
        is_spot: bool,
        boot_time: Option<Duration>,
    ) -> String {
        let now = context.now();
        let boot_time = boot_time.unwrap_or_else(|| self.random_boot_time(context));
        let number = self.cloud.provisioned_count();
        let subnet = number / HOSTS_PER_SUBNET;
        let spec = HostSpec {
            name: format!("vm-{number:06}"),
            address: format!("10.1.{subnet}.{}:9000", 1 + number % HOSTS_PER_SUBNET),
            zone: zone.to_owned(),
            is_spot,
        };
        let image_load_time = MIN_IMAGE_LOAD_TIME + context.random_millis(0..IMAGE_LOAD_SPREAD_MS);
        let first_controller = NodeIndex(context.random().usize(0..self.controller_count));
        let up_at = now + boot_time;
        self.cloud.add(spec.clone(), now, up_at);
        let host = spec.name.clone();
        let worker = Worker::new(spec, up_at, image_load_time, first_controller);
        self.workers.insert(host.clone(), worker);
        host
    }

    fn random_boot_time(&self, context: &mut Context) -> Duration {
        let share = MIN_BOOT_TIME_SHARE + BOOT_TIME_SHARE_SPREAD * context.random().f64();
        let random = scaled(self.boot_time, share);
        self.cloud.fixed_boot_time().unwrap_or(random)
    }

    /// Removes a host, which ends its tasks.
    fn remove_host(&mut self, environment: &mut FleetEnvironment, host: &str) {
        let now = environment.context.now();
        if let Some(mut worker) = self.workers.remove(host) {
            worker.shut_down();
            observe_tasks(environment, &mut worker);
            let gone = Observation::HostGone(host.to_owned());
            environment.context.observe(gone);
        }
        self.cloud.remove(host, now);
    }
}

/// Faults.
impl Fleet {
    /// The faults that copy heartbeats.
    pub fn heartbeat_copies_mut(&mut self) -> &mut HeartbeatCopies {
        &mut self.heartbeat_copies
    }

    /// The copies of direct commands.
    pub fn command_copies_mut(&mut self) -> &mut CommandCopies {
        &mut self.command_copies
    }

    /// Pauses the workers of the hosts with tasks of a job.
    pub fn pause_hosts_of(&mut self, job: JobId, window: FaultWindow) {
        let workers = self.workers.values_mut();
        for worker in workers.filter(|worker| worker.tasks().holds_job(job)) {
            worker.faults_mut().pause = window;
        }
    }

    /// Ends replicas of services, each with the given probability, as if they had exited by themselves.
    pub fn end_replicas(&mut self, context: &mut Context, end: ReplicaEnd, probability: f64) {
        for worker in self.workers.values_mut() {
            let ended_count = worker.end_replicas(end, probability, context.random());
            for _ in 0..ended_count {
                context.mark(Mark::ReplicaEnded);
            }
        }
    }

    /// Injects a fault into some hosts until the given time: into each with the given probability, in one zone or in
    /// all. With a reclaim notice, the cloud reclaims the host at that time.
    pub fn inject_fault(
        &mut self,
        environment: &mut FleetEnvironment,
        fault: HostFault,
        probability: f64,
        zone: Option<&str>,
        until: SimTime,
    ) {
        for host in self.host_names() {
            let Some(worker) = self.workers.get_mut(&host) else {
                continue;
            };
            let is_elsewhere = zone.is_some_and(|zone| zone != worker.spec().zone);
            if is_elsewhere || environment.context.random().f64() >= probability {
                continue;
            }
            let window = FaultWindow::until(until);
            match fault {
                HostFault::Pause => worker.faults_mut().pause = window,
                HostFault::InboundLoss => worker.faults_mut().inbound_loss = window,
                HostFault::OutboundLoss => worker.faults_mut().outbound_loss = window,
                HostFault::Isolation => worker.faults_mut().isolation = window,
                HostFault::Crash => self.remove_host(environment, &host),
                HostFault::ReclaimNotice => {
                    worker.give_reclaim_notice(until);
                    environment.context.mark(Mark::ReclaimNotice);
                }
                HostFault::FailingTasks => worker.faults_mut().failing_tasks = window,
            }
        }
    }
}

/// A duration times a factor, truncated to whole milliseconds.
fn scaled(duration: Duration, factor: f64) -> Duration {
    let milliseconds = duration.as_millis() as f64 * factor;
    Duration::from_millis(milliseconds as u64)
}
