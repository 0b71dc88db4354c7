//! Advances the workers, and delivers heartbeats, their responses and commands.

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use lichencrank::transport::{ListenerKind, Request, Response};
use lichencrank_testkit::values::text;

use super::{scaled, Fleet, FleetEnvironment};
use crate::simulated::checker::{Invariant, Observation};
use crate::simulated::deployment::MACHINE_TYPE;
use crate::simulated::event_queue::Event;
use crate::simulated::history::Mark;
use crate::simulated::ids::{CallHandle, TaskId};
use crate::simulated::network::{RemoteEnd, Requester};
use crate::simulated::worker::{HeartbeatId, QueuedCommand, TaskChange, TaskEvent, Worker};

/// The interval between two heartbeats is that of the deployment times a random factor, which is at least
/// `MIN_INTERVAL_SHARE` and less than the sum of both constants.
const MIN_INTERVAL_SHARE: f64 = 0.75;
const INTERVAL_SHARE_SPREAD: f64 = 0.5;
/// Delay of the heartbeat to a controller that another one has named as the leader, in milliseconds.
const REDIRECTION_DELAY_MS: std::ops::Range<u64> = 0..500;

impl Fleet {
    /// Advances all hosts to the current time.
    pub fn advance(&mut self, environment: &mut FleetEnvironment) {
        let now = environment.context.now();
        for host in self.host_names() {
            if self.workers[&host].is_reclaimed(now) {
                environment.context.mark(Mark::HostReclaimed);
                self.remove_host(environment, &host);
                continue;
            }
            self.with_worker(&host, |fleet, worker| {
                fleet.advance_worker(environment, worker);
            });
        }
    }

    pub(super) fn host_names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// Runs `action` with a worker that is removed from the fleet for the duration of the call.
    fn with_worker(&mut self, host: &str, action: impl FnOnce(&mut Fleet, &mut Worker)) {
        if let Some(mut worker) = self.workers.remove(host) {
            action(self, &mut worker);
            self.workers.insert(host.to_owned(), worker);
        }
    }

    fn advance_worker(&mut self, environment: &mut FleetEnvironment, worker: &mut Worker) {
        let now = environment.context.now();
        if now < worker.up_at() {
            return;
        }
        if !worker.has_booted() {
            worker.boot(now, self.worker_lease);
            let spec = worker.spec();
            environment.context.observe(Observation::HostUp {
                host: spec.name.clone(),
                zone: spec.zone.clone(),
                is_spot: spec.is_spot,
                cpus: MACHINE_TYPE.cpus,
            });
        }
        if worker.update_pause(now) {
            return;
        }
        if worker.advance(now) {
            environment.context.mark(Mark::WorkerLeaseExpired);
        }
        for QueuedCommand { call, command } in worker.take_queued_commands() {
            execute_command(environment, worker, call, &command);
        }
        let random = environment.context.random().f64();
        let share = MIN_INTERVAL_SHARE + INTERVAL_SHARE_SPREAD * random;
        let interval = scaled(self.heartbeat_interval, share);
        if worker.heartbeats_mut().is_due(now, interval) {
            self.send_heartbeat(environment, worker);
        }
        observe_tasks(environment, worker);
    }

    fn send_heartbeat(&mut self, environment: &mut FleetEnvironment, worker: &mut Worker) {
        let FleetEnvironment {
            context,
            network,
            controllers,
            ..
        } = environment;
        let now = context.now();
        let node = worker.heartbeats_mut().controller(self.controller_count);
        let status = worker.status(now);
        let heartbeat = worker.send_heartbeat(now);
        let request = Request {
            method: "POST".into(),
            target: "/agent/beat".into(),
            body: encode(&status),
            close: false,
        };
        if !worker.faults().delivers_outbound(now) {
            return;
        }
        self.heartbeat_copies.copy(context, node, &request);
        if !controllers.has_process(node) {
            worker.heartbeats_mut().try_next_controller(now);
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

    /// Delivers the response to a heartbeat.
    pub fn handle_heartbeat_response(
        &mut self,
        environment: &mut FleetEnvironment,
        heartbeat: &HeartbeatId,
        response: &Response,
    ) {
        self.with_worker(&heartbeat.host, |fleet, worker| {
            let now = environment.context.now();
            let arrives = worker.faults().delivers_inbound(now) && !worker.is_paused(now);
            if !arrives || !worker.heartbeats_mut().awaits(heartbeat) {
                return;
            }
            worker.advance(now);
            let body: Value = decode(&response.body).unwrap_or(Value::Null);
            match response.status {
                200 => {
                    let users = &environment.users;
                    let lookup = |task: &str| users.task_profile(task);
                    worker.accept_heartbeat_response(heartbeat, &body, now, &lookup);
                }
                421 => fleet.follow_redirection(environment, worker, &text(&body, "foreman")),
                _ => worker.heartbeats_mut().try_next_controller(now),
            }
            observe_tasks(environment, worker);
        });
    }

    /// Follows a response that names another controller as the leader.
    fn follow_redirection(
        &self,
        environment: &mut FleetEnvironment,
        worker: &mut Worker,
        leader: &str,
    ) {
        let now = environment.context.now();
        let named_leader = environment.controllers.find_by_name(leader);
        let current = worker.heartbeats_mut().controller(self.controller_count);
        match named_leader.filter(|named_leader| *named_leader != current) {
            Some(named_leader) => {
                let delay = environment.context.random_millis(REDIRECTION_DELAY_MS);
                worker.heartbeats_mut().redirect(named_leader, now + delay);
            }
            None => worker.heartbeats_mut().try_next_controller(now),
        }
    }

    /// Delivers a controller's command to a worker.
    pub fn handle_command(
        &mut self,
        environment: &mut FleetEnvironment,
        host: &str,
        call: CallHandle,
        command: Value,
    ) {
        self.with_worker(host, |_, worker| {
            let now = environment.context.now();
            if !worker.has_booted() || !worker.faults().delivers_inbound(now) {
                return;
            }
            if worker.is_paused(now) {
                worker.queue_command(QueuedCommand { call, command });
            } else {
                worker.advance(now);
                execute_command(environment, worker, call, &command);
            }
        });
    }
}

fn execute_command(
    environment: &mut FleetEnvironment,
    worker: &mut Worker,
    call: CallHandle,
    command: &Value,
) {
    let now = environment.context.now();
    let users = &environment.users;
    let lookup = |task: &str| users.task_profile(task);
    let is_executed = worker.execute_command(command, now, &lookup);
    if !is_executed && worker.has_forgotten_any(command) {
        environment.context.mark(Mark::LateStartRejected);
    }
    let status = if is_executed { 200 } else { 409 };
    let response = Response::new(status, encode(&worker.status(now)));
    observe_tasks(environment, worker);
    let FleetEnvironment {
        context, network, ..
    } = environment;
    let latency = context.network_latency();
    let zone = &worker.spec().zone;
    let arrival = Event::ControllerReply {
        call,
        result: Ok(response),
    };
    let node = call.process.node;
    network.send(context, node, RemoteEnd::Worker { zone }, latency, arrival);
}

/// Reports the worker's task changes to the checker and the users.
pub(super) fn observe_tasks(environment: &mut FleetEnvironment, worker: &mut Worker) {
    let now = environment.context.now();
    for TaskEvent { task, change } in worker.take_task_events() {
        let host = worker.spec().name.clone();
        let Some(task) = TaskId::parse(&task) else {
            continue;
        };
        let context = &mut *environment.context;
        context.note(format!("{host}: {task} {change:?}"));
        if let TaskChange::AcceptedAgain { attempt } = change {
            let details =
                format!("{host} starts {task} attempt {attempt}, which it was told to forget");
            context.report(Invariant::AttemptRunsOnce, details);
            continue;
        }
        context.observe(match change {
            TaskChange::Accepted | TaskChange::AcceptedAgain { .. } => {
                Observation::TaskAccepted { host, task }
            }
            TaskChange::Started => Observation::TaskStarted { host, task },
            TaskChange::Ended { is_complete } => Observation::TaskEnded {
                host,
                task,
                is_complete,
            },
        });
        if worker.is_new(now) {
            context.mark(Mark::TaskOnNewHost);
        }
        if change == (TaskChange::Ended { is_complete: true }) {
            environment.users.handle_completed_task(context, task.job);
        }
    }
}
