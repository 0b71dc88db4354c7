//! The machines: the cloud that rents them, the worker on each, and what happens between them and the
//! controllers.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use lichencrank::transport::{ListenerKind, Request, Response};
use lichencrank_testkit::values::{get, list, map, number, text};

use super::checker::{HeldTask, Observation};
use super::clock::SimTime;
use super::cloud::Cloud;
use super::context::Context;
use super::controllers::Controllers;
use super::deployment::{Deployment, MACHINE_TYPE};
use super::event_queue::Event;
use super::faults::{FaultWindow, RandomFault};
use super::history::Mark;
use super::ids::{CallHandle, JobId, NodeIndex, TaskId};
use super::network::{Network, RemoteEnd, Requester};
use super::script::command::{MachineFault, ReplicaEnd};
use super::transport::OutgoingCall;
use super::users::Users;
use super::worker::{HeartbeatId, MachineSpec, QueuedCommand, TaskChange, TaskEvent, Worker};

/// By then a leader has noticed that a zone is isolated.
const ISOLATION_NOTICED_AFTER: Duration = Duration::from_secs(15);
/// By then a healthy worker has sent a heartbeat after an isolation.
const ZONE_RETURNED_AFTER: Duration = Duration::from_secs(8);
/// The share of heartbeats that are kept for the next leader.
const RETAINED_SHARE: f64 = 0.3;
/// When retained heartbeats reach each controller after a takeover.
const RETAINED_HEARTBEAT_DELAY: Duration = Duration::from_millis(5);
const RETAINED_HEARTBEAT_SPREAD_MS: u64 = 600;
/// The least delay of a late copy of a heartbeat; the most is two leases more.
const LATE_HEARTBEAT_DELAY: Duration = Duration::from_secs(2);
/// A machine boots in this share of the usual time at least, and in so much more at random.
const LEAST_BOOT_SHARE: f64 = 0.6;
const BOOT_SHARE_SPREAD: f64 = 0.9;
/// Heartbeats go out after this share of the interval at least, and so much later at random.
const LEAST_INTERVAL_SHARE: f64 = 0.75;
const INTERVAL_SHARE_SPREAD: f64 = 0.5;
const LEAST_IMAGE_LOAD_TIME: Duration = Duration::from_millis(300);
const IMAGE_LOAD_SPREAD_MS: u64 = 900;
/// Time that the cloud takes for an answer.
const CLOUD_LATENCY: Duration = Duration::from_millis(20);
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
    late_heartbeats: RandomFault,
    heartbeat_retention: RandomFault,
    /// Copies of heartbeats for the next leader.
    retained_heartbeats: Vec<Request>,
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
            late_heartbeats: RandomFault::default(),
            heartbeat_retention: RandomFault::default(),
            retained_heartbeats: Vec::new(),
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

/// Renting and giving up machines.
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

    /// Answers a controller's request to the cloud.
    pub fn handle_cloud_request(
        &mut self,
        surroundings: &mut Surroundings,
        call: CallHandle,
        request: &OutgoingCall,
    ) {
        let now = surroundings.context.now();
        let body = decode(&request.body).unwrap_or(Value::Null);
        let path = request.target.split('?').next().unwrap_or("");
        let (status, answer) = match (request.method.as_str(), path) {
            _ if self.cloud.is_away(now) => (503, error("trouble")),
            ("GET", "/machine_types") => (200, self.machine_types.clone()),
            ("POST", "/hosts") => self.rent(surroundings, &body),
            ("POST", "/hosts/release") => {
                let hosts = list(&body, "hosts").iter();
                let hosts: Vec<String> = hosts
                    .filter_map(|host| host.as_text().map(str::to_owned))
                    .collect();
                self.release(surroundings, &hosts);
                (200, map(vec![]))
            }
            _ => (200, self.cloud.list(now, &request.target)),
        };
        let delay = CLOUD_LATENCY + surroundings.context.network_latency();
        let response = Response::new(status, encode(&answer));
        let reply = Event::ControllerReply {
            call,
            result: Ok(response),
        };
        surroundings.context.schedule_after(delay, reply);
    }

    fn rent(&mut self, surroundings: &mut Surroundings, body: &Value) -> (u16, Value) {
        let key = text(body, "ask");
        if let Some(answer) = self.cloud.earlier_rental_answer(&key) {
            return (200, answer.clone());
        }
        let is_spot = get(body, "loaners").and_then(Value::as_bool) == Some(true);
        let zone = text(body, "hall");
        if is_known_to_be_isolated(surroundings, &zone) {
            surroundings.context.mark(Mark::RentedInIsolatedZone);
        }
        let available = self.cloud.available_machines() as u64;
        let count = number(body, "howMany").min(available);
        if count == 0 {
            return (503, error("no capacity"));
        }
        let hosts = (0..count).map(|_| {
            let host = self.add_machine(surroundings.context, &zone, is_spot, None);
            Value::from(host)
        });
        let answer = map(vec![("hosts", Value::Array(hosts.collect()))]);
        self.cloud.keep_rental_answer(key, answer.clone());
        (200, answer)
    }

    fn release(&mut self, surroundings: &mut Surroundings, hosts: &[String]) {
        self.judge_release(surroundings, hosts);
        for host in hosts {
            self.remove_machine(surroundings, host);
        }
    }

    /// What the leader gives up of an isolated zone, or right after the isolation, is judged.
    fn judge_release(&self, surroundings: &mut Surroundings, hosts: &[String]) {
        let now = surroundings.context.now();
        let Some(isolation) = surroundings.network.last_isolation() else {
            return;
        };
        let machines: BTreeMap<String, Vec<HeldTask>> = self
            .workers_in(&isolation.zone)
            .map(|worker| (worker.spec().host.clone(), worker.tasks().held_tasks()))
            .collect();
        let released = || hosts.iter().filter_map(|host| machines.get(host));
        if isolation.window.is_active(now) {
            if self.judges_zone_releases {
                for _ in released() {
                    surroundings.context.mark(Mark::ReleasedInIsolatedZone);
                }
                let checker = surroundings.context.checker_mut();
                checker.observe_zone_release(now, hosts, &machines);
            }
        } else if now < isolation.window.ends_at() + ZONE_RETURNED_AFTER {
            for tasks in released() {
                if surroundings.context.checker().is_wanted_work(tasks) {
                    surroundings.context.mark(Mark::ReleasedAfterIsolation);
                }
            }
        }
    }

    /// The machine and all on it are gone.
    fn remove_machine(&mut self, surroundings: &mut Surroundings, host: &str) {
        let now = surroundings.context.now();
        if let Some(mut worker) = self.workers.remove(host) {
            worker.shut_down();
            observe_tasks(surroundings, &mut worker);
            let gone = Observation::MachineGone(host.to_owned());
            surroundings.context.observe(gone);
        }
        self.cloud.remove(host, now);
    }
}

fn is_known_to_be_isolated(surroundings: &Surroundings, zone: &str) -> bool {
    let now = surroundings.context.now();
    let isolation = surroundings.network.last_isolation();
    surroundings.network.is_isolated(now, zone)
        && isolation.is_some_and(|isolation| now > isolation.started_at + ISOLATION_NOTICED_AFTER)
}

/// Workers, their heartbeats and commands.
impl Fleet {
    /// Time passes for all machines.
    pub fn advance(&mut self, surroundings: &mut Surroundings) {
        let now = surroundings.context.now();
        for host in self.hosts() {
            if self.workers[&host].is_preempted(now) {
                surroundings.context.mark(Mark::MachinePreempted);
                self.remove_machine(surroundings, &host);
                continue;
            }
            self.with_worker(&host, |fleet, worker| {
                fleet.advance_worker(surroundings, worker);
            });
        }
    }

    fn hosts(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// Does something with a worker that is taken out of the fleet meanwhile.
    fn with_worker(&mut self, host: &str, action: impl FnOnce(&mut Fleet, &mut Worker)) {
        if let Some(mut worker) = self.workers.remove(host) {
            action(self, &mut worker);
            self.workers.insert(host.to_owned(), worker);
        }
    }

    fn advance_worker(&mut self, surroundings: &mut Surroundings, worker: &mut Worker) {
        let now = surroundings.context.now();
        if now < worker.up_at() {
            return;
        }
        if !worker.has_booted() {
            worker.boot(now, self.worker_lease);
            let spec = worker.spec();
            surroundings.context.observe(Observation::MachineUp {
                host: spec.host.clone(),
                zone: spec.zone.clone(),
                is_spot: spec.is_spot,
                cpus: MACHINE_TYPE.cpus,
            });
        }
        if worker.update_pause(now) {
            return;
        }
        if worker.advance(now) {
            surroundings.context.mark(Mark::WorkerLeaseExpired);
        }
        for QueuedCommand { call, command } in worker.take_queued_commands() {
            execute_command(surroundings, worker, call, &command);
        }
        let random = surroundings.context.random().f64();
        let share = LEAST_INTERVAL_SHARE + INTERVAL_SHARE_SPREAD * random;
        let interval = scaled(self.heartbeat_interval, share);
        if worker.heartbeats().is_due(now, interval) {
            self.send_heartbeat(surroundings, worker);
        }
        observe_tasks(surroundings, worker);
    }

    fn send_heartbeat(&mut self, surroundings: &mut Surroundings, worker: &mut Worker) {
        let Surroundings {
            context,
            network,
            controllers,
            ..
        } = surroundings;
        let now = context.now();
        let node = worker.heartbeats().controller(self.controller_count);
        let status = worker.status(now);
        let heartbeat = worker.send_heartbeat(now);
        let request = Request {
            method: "POST".into(),
            target: "/agent/beat".into(),
            body: encode(&status),
            close: false,
        };
        if !worker.faults().lets_out(now) {
            return;
        }
        self.copy_heartbeat(context, node, &request);
        if !controllers.has_process(node) {
            worker.heartbeats().try_next_controller(now);
            return;
        }
        let latency = context.network_latency();
        let zone = &worker.spec().zone;
        let arrival = Event::ControllerRequest {
            node,
            listener: ListenerKind::Public,
            requester: Requester::Worker(heartbeat),
            request,
        };
        network.send(context, node, RemoteEnd::Worker { zone }, latency, arrival);
    }

    /// Copies of some heartbeats are retained for the next leader, and copies of some arrive late.
    fn copy_heartbeat(&mut self, context: &mut Context, node: NodeIndex, request: &Request) {
        if context.occurs(self.heartbeat_retention) {
            self.retained_heartbeats.push(request.clone());
        }
        if context.occurs(self.late_heartbeats) {
            context.mark(Mark::HeartbeatDelayed);
            let lease_ms = self.worker_lease.as_millis() as u64;
            let delay = LATE_HEARTBEAT_DELAY + context.random_millis(0..lease_ms * 2);
            context.schedule_after(delay, late_copy(node, request));
        }
    }

    /// Sends copies of retained heartbeats to all controllers after a takeover.
    pub fn send_retained_heartbeats(&mut self, context: &mut Context) {
        for request in std::mem::take(&mut self.retained_heartbeats) {
            context.mark(Mark::OldHeartbeatAtNewLeader);
            for node in (0..self.controller_count).map(NodeIndex) {
                let spread = context.random_millis(0..RETAINED_HEARTBEAT_SPREAD_MS);
                let delay = RETAINED_HEARTBEAT_DELAY + spread;
                context.schedule_after(delay, late_copy(node, &request));
            }
        }
    }

    /// The response to a heartbeat arrives.
    pub fn handle_heartbeat_response(
        &mut self,
        surroundings: &mut Surroundings,
        heartbeat: &HeartbeatId,
        response: &Response,
    ) {
        self.with_worker(&heartbeat.host, |fleet, worker| {
            let now = surroundings.context.now();
            let arrives = worker.faults().lets_in(now) && !worker.is_paused(now);
            if !arrives || !worker.heartbeats().awaits(heartbeat) {
                return;
            }
            worker.advance(now);
            let body: Value = decode(&response.body).unwrap_or(Value::Null);
            match response.status {
                200 => {
                    let users = &surroundings.users;
                    let lookup = |task: &str| users.task_profile(task);
                    worker.accept_heartbeat_response(heartbeat, &body, now, &lookup);
                }
                421 => fleet.follow_redirection(surroundings, worker, &text(&body, "foreman")),
                _ => worker.heartbeats().try_next_controller(now),
            }
            observe_tasks(surroundings, worker);
        });
    }

    /// A controller says that another one leads.
    fn follow_redirection(
        &self,
        surroundings: &mut Surroundings,
        worker: &mut Worker,
        leader: &str,
    ) {
        let now = surroundings.context.now();
        let named = surroundings.controllers.find_by_name(leader);
        let present = worker.heartbeats().controller(self.controller_count);
        match named.filter(|named| *named != present) {
            Some(named) => {
                let delay = surroundings.context.random_millis(0..500);
                worker.heartbeats().redirect(named, now + delay);
            }
            None => worker.heartbeats().try_next_controller(now),
        }
    }

    /// A command of a controller arrives at a worker.
    pub fn handle_command(
        &mut self,
        surroundings: &mut Surroundings,
        host: &str,
        call: CallHandle,
        command: Value,
    ) {
        self.with_worker(host, |_, worker| {
            let now = surroundings.context.now();
            if !worker.has_booted() || !worker.faults().lets_in(now) {
                return;
            }
            if worker.is_paused(now) {
                worker.queue_command(QueuedCommand { call, command });
            } else {
                worker.advance(now);
                execute_command(surroundings, worker, call, &command);
            }
        });
    }
}

fn late_copy(node: NodeIndex, request: &Request) -> Event {
    Event::ControllerRequest {
        node,
        listener: ListenerKind::Public,
        requester: Requester::Nobody,
        request: request.clone(),
    }
}

fn execute_command(
    surroundings: &mut Surroundings,
    worker: &mut Worker,
    call: CallHandle,
    command: &Value,
) {
    let now = surroundings.context.now();
    let users = &surroundings.users;
    let lookup = |task: &str| users.task_profile(task);
    let is_executed = worker.execute_command(command, now, &lookup);
    let status = if is_executed { 200 } else { 409 };
    let response = Response::new(status, encode(&worker.status(now)));
    observe_tasks(surroundings, worker);
    let Surroundings {
        context, network, ..
    } = surroundings;
    let latency = context.network_latency();
    let zone = &worker.spec().zone;
    let arrival = Event::ControllerReply {
        call,
        result: Ok(response),
    };
    let node = call.process.node;
    network.send(context, node, RemoteEnd::Worker { zone }, latency, arrival);
}

/// Tells the checker and the users what has happened to tasks.
fn observe_tasks(surroundings: &mut Surroundings, worker: &mut Worker) {
    let now = surroundings.context.now();
    for TaskEvent { task, change } in worker.take_task_events() {
        let host = worker.spec().host.clone();
        let Some(task) = TaskId::parse(&task) else {
            continue;
        };
        let context = &mut *surroundings.context;
        context.note(format!("{host}: {task} {change:?}"));
        context.observe(match change {
            TaskChange::Accepted => Observation::TaskAccepted { host, task },
            TaskChange::Started => Observation::TaskStarted { host, task },
            TaskChange::Ended { is_complete } => Observation::TaskEnded {
                host,
                task,
                is_complete,
            },
        });
        if worker.is_new(now) {
            context.mark(Mark::WorkOnNewMachine);
        }
        if change == (TaskChange::Ended { is_complete: true }) {
            surroundings.users.handle_completed_task(context, task.job);
        }
    }
}

/// Faults.
impl Fleet {
    /// Copies of heartbeats arrive late.
    pub fn delay_heartbeats(&mut self, fault: RandomFault) {
        self.late_heartbeats = fault;
    }

    /// Copies of some heartbeats are kept for the next leader while this lasts.
    pub fn retain_heartbeats(&mut self, window: FaultWindow) {
        self.heartbeat_retention = RandomFault {
            probability: RETAINED_SHARE,
            window,
        };
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
        fault: MachineFault,
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
                MachineFault::Pause => worker.faults_mut().pause = window,
                MachineFault::InboundLoss => worker.faults_mut().inbound_loss = window,
                MachineFault::OutboundLoss => worker.faults_mut().outbound_loss = window,
                MachineFault::Isolation => worker.faults_mut().isolation = window,
                MachineFault::Crash => self.remove_machine(surroundings, &host),
                MachineFault::PreemptionNotice => {
                    worker.give_notice(until);
                    surroundings.context.mark(Mark::PreemptionNotice);
                }
                MachineFault::FailingTasks => worker.faults_mut().failing_tasks = window,
            }
        }
    }
}

fn scaled(duration: Duration, factor: f64) -> Duration {
    let milliseconds = duration.as_millis() as f64 * factor;
    Duration::from_millis(milliseconds as u64)
}

fn error(message: &str) -> Value {
    map(vec![("error", message.into())])
}
